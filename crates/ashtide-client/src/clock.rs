//! Clocks of the driver.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::Instant;

/// Returns the current time of `CLOCK_BOOTTIME`, which includes the time that the device is suspended. The
/// clock of the tokio runtime stops during suspension, so a deadline measured with it would expire hours
/// late.
pub(crate) fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let micros = u64::try_from(time.tv_nsec / 1000).unwrap_or_default();
    Instant::from_micros(seconds.saturating_mul(1_000_000).saturating_add(micros))
}

/// Returns the Unix time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
}
