//! The retry budget of a process: a token bucket that first tries fill.

use std::time::Duration;

use crate::{Moment, Settings};

/// Tokens, one a retry. First tries add a share of one each, so that a site that answers nobody sees first
/// tries and little else; time adds a trickle, so that a device with one session is not cut off for ever.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    tokens: f64,
    since: Moment,
    ratio: f64,
    most: f64,
    minute: f64,
}

impl Budget {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            tokens: settings.budget_first.min(settings.budget_most),
            since: Moment::default(),
            ratio: settings.budget_ratio,
            most: settings.budget_most,
            minute: settings.budget_minute,
        }
    }

    fn refill(&mut self, now: Moment) {
        // At the very first call the clock's origin is not a time that has passed.
        if self.since > Moment::default() {
            let minutes = now.since(self.since).as_secs_f64() / 60.0;
            self.tokens = (self.tokens + minutes * self.minute).min(self.most);
        }
        self.since = now;
    }

    /// A first try is made.
    pub(crate) fn deposit(&mut self, now: Moment) {
        self.refill(now);
        self.tokens = (self.tokens + self.ratio).min(self.most);
    }

    /// Takes a token for a retry, if there is one.
    pub(crate) fn withdraw(&mut self, now: Moment) -> bool {
        self.refill(now);
        let enough = self.tokens >= 1.0;
        self.tokens -= if enough { 1.0 } else { 0.0 };
        enough
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// What an earlier process had left: never more than one that has just begun.
    pub(crate) fn recall(&mut self, tokens: f64) {
        if tokens.is_finite() {
            self.tokens = tokens.clamp(0.0, self.tokens);
        }
    }
}

/// Counts drops over about a second, to tell a mass drop from one of its own.
#[derive(Debug, Clone, Default)]
pub(crate) struct Drops {
    second: u64,
    now: u32,
    before: u32,
}

impl Drops {
    const SPAN: Duration = Duration::from_secs(1);

    fn turn(&mut self, now: Moment) {
        let second = now.as_micros() / Self::SPAN.as_micros() as u64;
        if second != self.second {
            self.before = if second == self.second + 1 { self.now } else { 0 };
            (self.second, self.now) = (second, 0);
        }
    }

    pub(crate) fn note(&mut self, now: Moment) {
        self.turn(now);
        self.now = self.now.saturating_add(1);
    }

    /// Drops in this second and the one before.
    pub(crate) fn lately(&mut self, now: Moment) -> u32 {
        self.turn(now);
        self.now.saturating_add(self.before)
    }
}
