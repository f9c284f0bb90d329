//! Estimates the rate of new connections that a partner requests at this gateway.

use std::time::Duration;

/// Number of buckets in the window over which demand is counted. A shorter window follows random variation;
/// quota units would then move between gateways and lose the burst that they have stored.
const BUCKETS: usize = 8;
/// Duration of one bucket.
const BUCKET_DURATION: Duration = Duration::from_millis(250);
/// Minimum number of connections in the two newest buckets for a rise to count as more than random variation.
const MIN_RISE: u64 = 4;
/// Rate that one connection in the entire window (2 s) stands for, in thousandths of a connection per second.
const WINDOW_RATE_UNITS: u64 = 500;
/// Rate that one connection in the two newest buckets (0.5 s) stands for, in thousandths of a connection per
/// second.
const NEWEST_RATE_UNITS: u64 = 2_000;

/// Estimator of the rate of new connections over the last two seconds.
#[derive(Debug, Clone)]
pub(crate) struct DemandEstimator {
    /// Number of connections by bucket, the newest first.
    buckets: [u64; BUCKETS],
    bucket_started_at: Duration,
}

impl DemandEstimator {
    pub(crate) fn new(now: Duration) -> Self {
        Self { buckets: [0; BUCKETS], bucket_started_at: now }
    }

    pub(crate) fn record(&mut self) {
        self.buckets[0] += 1;
    }

    /// Returns the rate at `now`, in thousandths of a connection per second. To follow a rise without delay,
    /// only the two newest buckets are used if they contain more than half of the window's connections and at
    /// least [`MIN_RISE`].
    pub(crate) fn rate_at(&mut self, now: Duration) -> u64 {
        self.advance_to(now);
        let newest = self.buckets[0] + self.buckets[1];
        let window: u64 = self.buckets.iter().sum();
        if newest > window / 2 && newest >= MIN_RISE {
            newest * NEWEST_RATE_UNITS
        } else {
            window * WINDOW_RATE_UNITS
        }
    }

    fn advance_to(&mut self, now: Duration) {
        // The clock may have been set back.
        self.bucket_started_at = self.bucket_started_at.min(now);
        let elapsed = now - self.bucket_started_at;
        let passed = (elapsed.as_millis() / BUCKET_DURATION.as_millis()) as usize;
        if passed == 0 {
            return;
        }
        self.bucket_started_at += BUCKET_DURATION * passed as u32;
        self.buckets.rotate_right(passed.min(BUCKETS) % BUCKETS);
        self.buckets[..passed.min(BUCKETS)].fill(0);
    }

    /// Checks whether no connection was requested within the window.
    pub(crate) fn is_idle(&self) -> bool {
        self.buckets.iter().all(|&count| count == 0)
    }
}
