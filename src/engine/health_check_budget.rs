//! What probes may cost: each is work for a server and has a price, and what one gateway may do alone, hundreds
//! do together. Knows no socket and no clock.

use std::collections::BTreeMap;

use crate::decision::interface::{ServerId, Span, Time};

/// One server is probed so often at most, by all gateways of the tier together. What a probe tells is renewed
/// every half to one and a half seconds, so a second one sooner is work for nothing.
const HEALTH_CHECK_INTERVAL: Span = Span::from_micros(1_000_000);

/// Who may be probed when, and how many were.
#[derive(Debug)]
pub struct HealthCheckBudget {
    enabled: bool,
    interval: Span,
    phase: f64,
    next_allowed_at: BTreeMap<ServerId, Time>,
    sent: usize,
    withheld: usize,
}

impl HealthCheckBudget {
    /// For one of `gateways` that share the servers; none is allowed where the settings allow none. `phase`,
    /// from 0 to 1, is another at each gateway: all may start at once.
    pub fn new(allowed: bool, gateways: u32, phase: f64) -> Self {
        let every = HEALTH_CHECK_INTERVAL.scale(f64::from(gateways.max(1)));
        Self {
            enabled: allowed,
            interval: every,
            phase,
            next_allowed_at: BTreeMap::new(),
            sent: 0,
            withheld: 0,
        }
    }

    /// Whether this server may be probed now; counts it either way.
    pub fn try_acquire(&mut self, now: Time, server: ServerId) -> bool {
        let next = self.next_allowed_at.entry(server).or_insert(now + self.interval.scale(self.phase));
        let may = self.enabled && now >= *next;
        if may {
            *next = now + self.interval;
            self.sent += 1;
        } else {
            self.withheld += 1;
        }
        may
    }

    /// The server is gone from the list: its row goes, too.
    pub fn forget(&mut self, server: ServerId) {
        self.next_allowed_at.remove(&server);
    }

    /// Probes sent since the start.
    pub fn sent(&self) -> usize {
        self.sent
    }

    /// Probes that were asked for and not sent.
    pub fn withheld(&self) -> usize {
        self.withheld
    }
}
