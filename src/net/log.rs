//! Lines of trouble for the log, so many a second at most: whoever causes them decides how often.

use std::fmt::Display;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines that are logged within [`WITHIN`].
const MOST: u32 = 20;
/// See [`MOST`].
const WITHIN: Duration = Duration::from_secs(1);

/// Lines of one kind.
pub struct Limited {
    topic: &'static str,
    /// Since when lines are counted, and how many there were.
    seen: Mutex<(Option<Instant>, u32)>,
}

impl Limited {
    /// Lines that begin with this topic.
    pub const fn new(topic: &'static str) -> Self {
        Self { topic, seen: Mutex::new((None, 0)) }
    }

    /// Logs a line, unless there were many.
    pub fn say(&self, what: impl Display) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if seen.0.is_none_or(|since| now.duration_since(since) >= WITHIN) {
            if seen.1 > MOST {
                eprintln!("{}: {} more such lines", self.topic, seen.1 - MOST);
            }
            *seen = (Some(now), 0);
        }
        seen.1 += 1;
        if seen.1 <= MOST {
            eprintln!("{}: {what}", self.topic);
        }
    }
}
