//! Wall clock of the process.

use std::sync::LazyLock;
use std::time::{SystemTime, UNIX_EPOCH};

/// Environment variable with a signed offset in milliseconds that this process adds to its machine's clock.
///
/// Only tests set it, to run processes with different clocks on one machine.
pub const CLOCK_OFFSET_VARIABLE: &str = "ASHTIDE_CLOCK_OFFSET_MS";

/// Returns the Unix time in microseconds. All times that other processes or machines compare are from this
/// function.
pub fn unix_micros() -> u64 {
    static OFFSET_MICROS: LazyLock<i64> = LazyLock::new(read_offset_micros);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX).saturating_add_signed(*OFFSET_MICROS)
}

fn read_offset_micros() -> i64 {
    let millis = std::env::var(CLOCK_OFFSET_VARIABLE).ok().and_then(|value| value.parse::<i64>().ok());
    millis.unwrap_or_default().saturating_mul(1000)
}
