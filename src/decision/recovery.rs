//! Recovery ramp of a server that was saturated: a token bucket limits the rate of new connections to it.
//!
//! Without the limit, the connections that all gateways migrated off the server would return at once and
//! saturate it again.

use super::Balancer;
use super::interface::{ServerId, Time};
use super::migration::MIGRATION_SHARE;
use super::outlier::RESPONSE_TIME_INTERVAL;

/// Rate of new connections during the recovery, as a share of the rate at which connections were migrated
/// off.
const RECOVERY_RATE_SHARE: f64 = 0.5;
/// Capacity of the bucket, as a share of the tokens that are added within the overload window.
const RECOVERY_BURST_SHARE: f64 = 0.25;

/// Token bucket of a recovering server. One token admits one connection.
#[derive(Default)]
pub(super) struct RecoveryBucket {
    tokens: f64,
    refilled_at: Time,
}

impl RecoveryBucket {
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens due since the last refill, up to `burst` tokens in total. `rate` is in tokens per
    /// second.
    fn refill(&mut self, now: Time, rate: f64, burst: f64) {
        let elapsed = now.since(self.refilled_at).as_secs();
        self.tokens = (self.tokens + rate * elapsed).min(burst);
        self.refilled_at = now;
    }

    fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(super) fn take_token(&mut self) {
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
    /// Checks whether the recovery ramp admits a connection to the server now. It always admits connections
    /// to a server that is not recovering.
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
