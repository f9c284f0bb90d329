//! Logging to standard error, a complete line at a time, with a rate limit for lines that other hosts can
//! cause.

use std::fmt::Display;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of lines that one log writes within [`WINDOW_LENGTH`].
const MAX_LINES_PER_WINDOW: u32 = 20;
/// Length of a rate limit window.
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// Configures logging: each event is written as its message alone, each line with one write.
///
/// Write errors are ignored, because the process must continue to serve without a log.
pub fn init() {
    let subscriber =
        tracing_subscriber::fmt().without_time().with_level(false).with_target(false).with_ansi(false);
    subscriber.log_internal_errors(false).with_writer(std::io::stderr).init();
}

/// Log of one subsystem, with a limit on the number of lines per second.
pub struct RateLimitedLog {
    subsystem: &'static str,
    window: Mutex<Window>,
}

/// Rate limit window: its start, and the number of lines logged since.
struct Window {
    started_at: Option<Instant>,
    lines: u32,
}

impl RateLimitedLog {
    /// Creates a log whose lines begin with the name of the subsystem.
    pub const fn new(subsystem: &'static str) -> Self {
        Self { subsystem, window: Mutex::new(Window { started_at: None, lines: 0 }) }
    }

    /// Logs a line, or suppresses it if the current window has reached its limit.
    pub fn log(&self, message: impl Display) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if window.started_at.is_none_or(|started_at| now.duration_since(started_at) >= WINDOW_LENGTH) {
            if window.lines > MAX_LINES_PER_WINDOW {
                let suppressed = window.lines - MAX_LINES_PER_WINDOW;
                tracing::warn!("{}: suppressed {suppressed} log lines", self.subsystem);
            }
            *window = Window { started_at: Some(now), lines: 0 };
        }
        window.lines += 1;
        if window.lines <= MAX_LINES_PER_WINDOW {
            tracing::warn!("{}: {message}", self.subsystem);
        }
    }
}
