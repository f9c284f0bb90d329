//! Membership view in the daemon: settings, log lines and status texts. Free of sockets and clocks.

mod settings;
mod text;

pub use settings::{MAX_SEEDS, Settings, ViewError, schema};
pub use text::{change_log_line, members_text, metrics_text};

/// Returns the incarnation of a process that starts at `now_ms`, the Unix time in milliseconds. It is later
/// than `previous`, the incarnation of the previous process at this address, even if the clock was set back
/// in between.
pub fn next_incarnation(now_ms: u64, previous: Option<u64>) -> u64 {
    match previous {
        Some(previous) => now_ms.max(previous.saturating_add(1)),
        None => now_ms,
    }
}
