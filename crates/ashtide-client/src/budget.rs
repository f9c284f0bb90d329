//! The retry budget of a process: a token bucket that first tries fill.

use std::time::Duration;

use crate::{Instant, Settings};

/// Tokens, one a retry. First tries add a share of one each, so that a site that answers nobody sees first
/// tries and little else; time adds a trickle, so that a device with one session is not cut off for ever.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    tokens: f64,
    refilled_at: Instant,
    tokens_per_attempt: f64,
    capacity: f64,
    tokens_per_minute: f64,
}

impl RetryBudget {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            tokens: settings.budget_first.min(settings.budget_most),
            refilled_at: Instant::default(),
            tokens_per_attempt: settings.budget_ratio,
            capacity: settings.budget_most,
            tokens_per_minute: settings.budget_minute,
        }
    }

    fn refill(&mut self, now: Instant) {
        // At the very first call the clock's origin is not a time that has passed.
        if self.refilled_at > Instant::default() {
            let minutes = now.duration_since(self.refilled_at).as_secs_f64() / 60.0;
            self.tokens = (self.tokens + minutes * self.tokens_per_minute).min(self.capacity);
        }
        self.refilled_at = now;
    }

    /// A first try is made.
    pub(crate) fn deposit(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + self.tokens_per_attempt).min(self.capacity);
    }

    /// Takes a token for a retry, if there is one.
    pub(crate) fn withdraw(&mut self, now: Instant) -> bool {
        self.refill(now);
        let enough = self.tokens >= 1.0;
        self.tokens -= if enough { 1.0 } else { 0.0 };
        enough
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// What an earlier process had left: never more than one that has just begun.
    pub(crate) fn restore(&mut self, tokens: f64) {
        if tokens.is_finite() {
            self.tokens = tokens.clamp(0.0, self.tokens);
        }
    }
}

/// Counts drops over about a second, to tell a mass drop from one of its own.
#[derive(Debug, Clone, Default)]
pub(crate) struct DisconnectCounter {
    window: u64,
    in_window: u32,
    in_previous_window: u32,
}

impl DisconnectCounter {
    const WINDOW: Duration = Duration::from_secs(1);

    fn advance_to(&mut self, now: Instant) {
        let second = now.as_micros() / Self::WINDOW.as_micros() as u64;
        if second != self.window {
            self.in_previous_window = if second == self.window + 1 { self.in_window } else { 0 };
            self.window = second;
            self.in_window = 0;
        }
    }

    pub(crate) fn record(&mut self, now: Instant) {
        self.advance_to(now);
        self.in_window = self.in_window.saturating_add(1);
    }

    /// Drops in this second and the one before.
    pub(crate) fn recent(&mut self, now: Instant) -> u32 {
        self.advance_to(now);
        self.in_window.saturating_add(self.in_previous_window)
    }
}
