//! Rate limit of health checks. Each check is work for a server, and all gateways of the fleet check the same
//! servers. This module does no I/O and reads no clock.

use std::collections::BTreeMap;

use crate::decision::interface::{ServerId, Span, Time};

/// Shortest mean time between two health checks of a server by all gateways of the fleet together. Servers
/// update their load reports every 0.5 to 1.5 s.
const HEALTH_CHECK_INTERVAL: Span = Span::from_micros(1_000_000);

/// The time from which each server may be checked again, and the numbers of checks.
#[derive(Debug)]
pub struct HealthCheckBudget {
    enabled: bool,
    /// Shortest time between two checks of a server by this gateway.
    interval: Span,
    /// Delay of the first check of a server, as a fraction of the interval.
    phase: f64,
    next_allowed_at: BTreeMap<ServerId, Time>,
    sent: usize,
    withheld: usize,
}

impl HealthCheckBudget {
    /// Creates the budget of one of `gateways` gateways that share the servers. It allows no checks unless
    /// `enabled`. `phase` is from 0 to 1 and differs between gateways, as all of them may start at the same
    /// time.
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

    /// Checks whether a server may be checked now, and counts the health check as sent or withheld.
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

    /// Removes the record of a server that was removed from the endpoint list.
    pub fn remove_server(&mut self, server: ServerId) {
        self.next_allowed_at.remove(&server);
    }

    /// Returns the number of health checks sent since the start.
    pub fn sent(&self) -> usize {
        self.sent
    }

    /// Returns the number of health checks that were requested but not allowed.
    pub fn withheld(&self) -> usize {
        self.withheld
    }
}
