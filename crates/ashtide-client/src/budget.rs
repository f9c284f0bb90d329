//! Retry budget of a process (a token bucket that first attempts fill) and the counter of recent disconnects.

use std::time::Duration;

use crate::{Instant, Settings};

/// Token bucket that limits retries; one retry costs one token. Each first attempt adds a fraction of a
/// token, so that a site that answers no request receives first attempts and few retries. Tokens also accrue
/// slowly with time, so that a device with a single session is never blocked permanently.
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
        // Before the first call, `refilled_at` is the clock's origin: the time since then earns no tokens.
        if self.refilled_at > Instant::default() {
            let minutes = now.duration_since(self.refilled_at).as_secs_f64() / 60.0;
            self.tokens = (self.tokens + minutes * self.tokens_per_minute).min(self.capacity);
        }
        self.refilled_at = now;
    }

    /// Adds the tokens that a first attempt earns.
    pub(crate) fn deposit(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + self.tokens_per_attempt).min(self.capacity);
    }

    /// Takes one token for a retry. Returns whether one was available.
    pub(crate) fn withdraw(&mut self, now: Instant) -> bool {
        self.refill(now);
        let enough = self.tokens >= 1.0;
        self.tokens -= if enough { 1.0 } else { 0.0 };
        enough
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Restores the tokens that an earlier process had left, limited to the tokens that a new process starts
    /// with.
    pub(crate) fn restore(&mut self, tokens: f64) {
        if tokens.is_finite() {
            self.tokens = tokens.clamp(0.0, self.tokens);
        }
    }
}

/// Counts disconnects over one to two seconds, to distinguish a mass disconnect from a single one.
#[derive(Debug, Clone, Default)]
pub(crate) struct DisconnectCounter {
    /// Number of the current window, counted from the clock's origin.
    window: u64,
    in_window: u32,
    in_previous_window: u32,
}

impl DisconnectCounter {
    const WINDOW: Duration = Duration::from_secs(1);

    fn advance_to(&mut self, now: Instant) {
        let window = now.as_micros() / Self::WINDOW.as_micros() as u64;
        if window != self.window {
            self.in_previous_window = if window == self.window + 1 { self.in_window } else { 0 };
            self.window = window;
            self.in_window = 0;
        }
    }

    pub(crate) fn record(&mut self, now: Instant) {
        self.advance_to(now);
        self.in_window = self.in_window.saturating_add(1);
    }

    /// Returns the number of disconnects in the current window and the previous one.
    pub(crate) fn recent(&mut self, now: Instant) -> u32 {
        self.advance_to(now);
        self.in_window.saturating_add(self.in_previous_window)
    }
}
