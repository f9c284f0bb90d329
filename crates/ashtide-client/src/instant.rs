//! Time values that the driver passes to the session pool.

use std::ops::Add;
use std::time::Duration;

/// Resolution of the pool's timers (10 ms). Due times are rounded up to the next tick: no timer fires early,
/// and none fires more than one tick late, provided that the driver wakes the pool at the requested time.
pub const TICK: Duration = Duration::from_millis(10);
const TICK_MICROS: u64 = 10_000;

/// Point in time, in microseconds of a clock that the driver chooses. The clock must be monotonic. It should
/// also run while the device is suspended (`CLOCK_BOOTTIME`); otherwise suspension extends deadlines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(u64);

impl Instant {
    /// Returns the point in time that is `micros` microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the number of microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to this point, or zero if `earlier` is later than this point.
    pub const fn duration_since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the number of the first tick at or after this point.
    pub(crate) const fn tick_at_or_after(self) -> u64 {
        self.0.div_ceil(TICK_MICROS)
    }

    /// Returns the number of the last tick at or before this point.
    pub(crate) const fn elapsed_ticks(self) -> u64 {
        self.0 / TICK_MICROS
    }

    /// Returns the point in time of a tick.
    pub(crate) const fn from_tick(tick: u64) -> Self {
        Self(tick.saturating_mul(TICK_MICROS))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;
    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}
