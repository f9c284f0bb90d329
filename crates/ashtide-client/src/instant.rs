//! Time as the core is told it.

use std::ops::Add;
use std::time::Duration;

/// Timers fire on multiples of this, rounded up: nothing is early, and nothing later than one tick after
/// its time, provided that the driver wakes the core when it asks.
pub const TICK: Duration = Duration::from_millis(10);
const TICK_MICROS: u64 = 10_000;

/// A point in time, in microseconds of a clock of the driver's choice. It has to be monotonic and should
/// go on while the device sleeps (`CLOCK_BOOTTIME`), or deadlines outlive the sleep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(u64);

impl Instant {
    /// The point so many microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to here; none where `earlier` lies ahead.
    pub const fn duration_since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The first tick at or after this point.
    pub(crate) const fn tick_at_or_after(self) -> u64 {
        self.0.div_ceil(TICK_MICROS)
    }

    /// The last tick at or before this point.
    pub(crate) const fn elapsed_ticks(self) -> u64 {
        self.0 / TICK_MICROS
    }

    /// When a tick is.
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
