//! Limits health checks: each is work for a server, and all gateways of the fleet check the same servers. There is no I/O
//! and no clock here.

use std::collections::BTreeMap;

use crate::decision::interface::{ServerId, Span, Time};

/// Shortest time between two health checks of a server, by all gateways of the fleet together. Servers renew what they
/// report every 0.5 to 1.5 s.
const HEALTH_CHECK_INTERVAL: Span = Span::from_micros(1_000_000);

/// When each server may be checked next, and how many checks there were.
#[derive(Debug)]
pub struct HealthCheckBudget {
    enabled: bool,
    interval: Span,
    /// Delay of the first check of a server, as a fraction of the interval.
    phase: f64,
    next_allowed_at: BTreeMap<ServerId, Time>,
    sent: usize,
    withheld: usize,
}

impl HealthCheckBudget {
    /// The budget of one of `gateways` that share the servers; it allows nothing unless `enabled`. `phase`, from 0 to
    /// 1, differs between gateways, which may all start at once.
    pub fn new(enabled: bool, gateways: u32, phase: f64) -> Self {
        Self {
            enabled,
            interval: HEALTH_CHECK_INTERVAL.scale(f64::from(gateways.max(1))),
            phase,
            next_allowed_at: BTreeMap::new(),
            sent: 0,
            withheld: 0,
        }
    }

    /// Whether this server may be checked now. Counts the check as sent or withheld.
    pub fn try_acquire(&mut self, now: Time, server: ServerId) -> bool {
        let first_at = now + self.interval.scale(self.phase);
        let next_allowed_at = self.next_allowed_at.entry(server).or_insert(first_at);
        let is_allowed = self.enabled && now >= *next_allowed_at;
        if is_allowed {
            *next_allowed_at = now + self.interval;
            self.sent += 1;
        } else {
            self.withheld += 1;
        }
        is_allowed
    }

    /// Forgets a server that is gone from the list.
    pub fn forget(&mut self, server: ServerId) {
        self.next_allowed_at.remove(&server);
    }

    /// Health checks sent since the start.
    pub fn sent(&self) -> usize {
        self.sent
    }

    /// Health checks that were asked for and not allowed.
    pub fn withheld(&self) -> usize {
        self.withheld
    }
}
