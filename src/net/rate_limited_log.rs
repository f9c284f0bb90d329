//! The log: whole lines on standard error. Lines of trouble so many a second at most, as whoever causes them
//! decides how often.

use std::fmt::Display;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Has events written as their text alone, each line by one write. A log that cannot be written is no reason
/// to stop serving.
pub fn init() {
    let lines =
        tracing_subscriber::fmt().without_time().with_level(false).with_target(false).with_ansi(false);
    lines.log_internal_errors(false).with_writer(std::io::stderr).init();
}

/// Lines that are logged within [`WITHIN`].
const MAX_LINES_PER_WINDOW: u32 = 20;
/// See [`MOST`].
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of one kind.
pub struct RateLimitedLog {
    subsystem: &'static str,
    /// Since when lines are counted, and how many there were.
    window: Mutex<(Option<Instant>, u32)>,
}

impl RateLimitedLog {
    /// Lines that begin with this topic.
    pub const fn new(subsystem: &'static str) -> Self {
        Self { subsystem, window: Mutex::new((None, 0)) }
    }

    /// Logs a line, unless there were many.
    pub fn log(&self, message: impl Display) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if window.0.is_none_or(|since| now.duration_since(since) >= WINDOW) {
            if window.1 > MAX_LINES_PER_WINDOW {
                tracing::warn!("{}: {} more such lines", self.subsystem, window.1 - MAX_LINES_PER_WINDOW);
            }
            *window = (Some(now), 0);
        }
        window.1 += 1;
        if window.1 <= MAX_LINES_PER_WINDOW {
            tracing::warn!("{}: {message}", self.subsystem);
        }
    }
}
