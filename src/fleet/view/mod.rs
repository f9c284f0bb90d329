//! The membership view in the daemon: its settings, and what operators are shown of it. No sockets, no clock.

mod settings;
mod text;

pub use settings::{MAX_SEEDS, Settings, ViewError, schema};
pub use text::{change_log_line, members_text, metrics_text};

/// The incarnation of a process that starts at `now_ms` (Unix time in milliseconds), given that of the process before
/// it at this address: a later one, even if the clock was put back.
pub fn next_incarnation(now_ms: u64, previous: Option<u64>) -> u64 {
    match previous {
        Some(previous) => now_ms.max(previous.saturating_add(1)),
        None => now_ms,
    }
}
