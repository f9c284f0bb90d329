//! How much a partner asks for here.

use std::time::Duration;

/// Parts that the time is counted in, and how many are looked at.
const BUCKET_DURATION: Duration = Duration::from_millis(250);
const BUCKETS: usize = 8;

/// New connections a second, over the last two seconds: what is shorter follows chance, and rights that move about are
/// lost to their stores.
#[derive(Debug, Clone)]
pub(crate) struct DemandEstimator {
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

    /// Thousandths a second up to now. A rise shows at once: the last two parts count by themselves where they
    /// are twice as much, and more than chance.
    pub(crate) fn rate_at(&mut self, now: Duration) -> u64 {
        if now < self.bucket_started_at {
            self.bucket_started_at = now;
        }
        let passed = ((now - self.bucket_started_at).as_millis() / BUCKET_DURATION.as_millis()) as usize;
        if passed > 0 {
            self.bucket_started_at += BUCKET_DURATION * passed as u32;
            self.buckets.rotate_right(passed.min(BUCKETS) % BUCKETS);
            self.buckets[..passed.min(BUCKETS)].fill(0);
        }
        let (fast, all) = (self.buckets[0] + self.buckets[1], self.buckets.iter().sum::<u64>());
        if fast > all / 2 && fast >= 4 { fast * 2_000 } else { all * 500 }
    }

    /// Nothing was asked for in the last two seconds.
    pub(crate) fn is_idle(&self) -> bool {
        self.buckets.iter().all(|&it| it == 0)
    }
}
