//! The wall clock.

use std::sync::LazyLock;
use std::time::{SystemTime, UNIX_EPOCH};

/// Environment variable with the milliseconds, signed, by which this process takes its machine's clock to be wrong.
///
/// For tests alone: they run processes whose clocks differ beside each other.
pub const CLOCK_OFFSET_VARIABLE: &str = "ASHTIDE_CLOCK_OFFSET_MS";

/// The time in microseconds of Unix time. Everything that other processes or machines compare is read here.
pub fn unix_micros() -> u64 {
    static OFFSET_MICROS: LazyLock<i64> = LazyLock::new(read_offset_micros);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX).saturating_add_signed(*OFFSET_MICROS)
}

fn read_offset_micros() -> i64 {
    let millis = std::env::var(CLOCK_OFFSET_VARIABLE).ok().and_then(|value| value.parse::<i64>().ok());
    millis.unwrap_or_default().saturating_mul(1000)
}
