//! Estimates how many connections a partner asks for here.

use std::time::Duration;

/// The window that demand is counted over: shorter ones follow chance, and rights that move about lose what they have
/// stored.
const BUCKETS: usize = 8;
const BUCKET_DURATION: Duration = Duration::from_millis(250);
/// Connections in the two newest buckets from which a rise is more than chance.
const MIN_RISE: u64 = 4;
/// Thousandths a second of one connection in the whole window, and in the two newest buckets.
const WINDOW_RATE_UNITS: u64 = 500;
const NEWEST_RATE_UNITS: u64 = 2_000;

/// New connections a second, over the last two seconds.
#[derive(Debug, Clone)]
pub(crate) struct DemandEstimator {
    /// Connections by bucket, the newest first.
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

    /// The rate up to `now`, in thousandths a second. A rise shows at once: the two newest buckets count by themselves
    /// where they hold more than half of the window, and more than chance would.
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
        // A clock that was put back.
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

    /// Whether there was no demand within the window.
    pub(crate) fn is_idle(&self) -> bool {
        self.buckets.iter().all(|&count| count == 0)
    }
}
