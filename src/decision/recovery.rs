//! Recovery of a server that was saturated: what it is sent is paced by a token bucket.
//!
//! The connections that all gateways moved off it wait to come back at once; they would saturate it again.

use super::Balancer;
use super::interface::{ServerId, Time};
use super::migration::MIGRATION_SHARE;
use super::outlier::RESPONSE_TIME_INTERVAL;

/// Pace of the connections that come back, as a share of the pace at which they were moved off.
const RECOVERY_RATE_SHARE: f64 = 0.5;
/// Capacity of the bucket, as a share of what the rate gives within the overload window.
const RECOVERY_BURST_SHARE: f64 = 0.25;

/// Connections that a recovering server may be sent now.
#[derive(Default)]
pub(super) struct RecoveryBucket {
    tokens: f64,
    refilled_at: Time,
}

impl RecoveryBucket {
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds what has come since the last refill, up to `burst`. `rate` is in connections a second.
    fn refill(&mut self, now: Time, rate: f64, burst: f64) {
        let elapsed = now.since(self.refilled_at).as_secs();
        self.tokens = (self.tokens + rate * elapsed).min(burst);
        self.refilled_at = now;
    }

    fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(super) fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    pub(super) fn limit_to(&mut self, tokens: f64) {
        self.tokens = self.tokens.min(tokens);
    }

    pub(super) fn reset(&mut self, now: Time, tokens: f64) {
        self.tokens = tokens;
        self.refilled_at = now;
    }
}

impl Balancer {
    /// Whether a server that may be recovering can be sent a connection now.
    pub(super) fn recovery_admits(&mut self, now: Time, id: ServerId) -> bool {
        if !self.is_recovering(now, id) {
            return true;
        }
        let interval = RESPONSE_TIME_INTERVAL.as_secs();
        let rate = RECOVERY_RATE_SHARE * MIGRATION_SHARE * self.typical_load.connections() / interval;
        let burst = (rate * self.settings.overload_window.as_secs() * RECOVERY_BURST_SHARE).max(1.0);
        let bucket = &mut self.server_mut(id).recovery;
        bucket.refill(now, rate, burst);
        bucket.has_token()
    }

    fn is_recovering(&self, now: Time, id: ServerId) -> bool {
        let saturated_at = self.server(id).saturated_at();
        saturated_at.is_some_and(|saturated_at| now.since(saturated_at) < self.settings.warm_up_time)
    }
}
