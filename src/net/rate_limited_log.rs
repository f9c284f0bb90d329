//! The log: complete lines on standard error. Lines whose number others decide are limited by the second.

use std::fmt::Display;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines that one log writes within [`WINDOW_LENGTH`].
const MAX_LINES_PER_WINDOW: u32 = 20;
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// Has events written as their text alone, each line by one write. A log that cannot be written is no reason to stop
/// serving.
pub fn init() {
    let lines =
        tracing_subscriber::fmt().without_time().with_level(false).with_target(false).with_ansi(false);
    lines.log_internal_errors(false).with_writer(std::io::stderr).init();
}

/// Lines of one subsystem, at most so many a second.
pub struct RateLimitedLog {
    subsystem: &'static str,
    window: Mutex<Window>,
}

/// The lines since a point in time.
struct Window {
    started_at: Option<Instant>,
    lines: u32,
}

impl RateLimitedLog {
    /// A log whose lines begin with the name of this subsystem.
    pub const fn new(subsystem: &'static str) -> Self {
        Self { subsystem, window: Mutex::new(Window { started_at: None, lines: 0 }) }
    }

    /// Logs a line, unless there were many.
    pub fn log(&self, message: impl Display) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if window.started_at.is_none_or(|started_at| now.duration_since(started_at) >= WINDOW_LENGTH) {
            if window.lines > MAX_LINES_PER_WINDOW {
                let suppressed = window.lines - MAX_LINES_PER_WINDOW;
                tracing::warn!("{}: {suppressed} more such lines", self.subsystem);
            }
            *window = Window { started_at: Some(now), lines: 0 };
        }
        window.lines += 1;
        if window.lines <= MAX_LINES_PER_WINDOW {
            tracing::warn!("{}: {message}", self.subsystem);
        }
    }
}
