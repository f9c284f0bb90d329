//! The driver's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::Instant;

/// The time now on a clock that goes on while the device sleeps: `CLOCK_BOOTTIME`. The runtime's own
/// stands still then, and a deadline would outlive the night.
pub(crate) fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let micros = u64::try_from(time.tv_nsec / 1000).unwrap_or_default();
    Instant::from_micros(seconds.saturating_mul(1_000_000).saturating_add(micros))
}

/// Unix time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
}
