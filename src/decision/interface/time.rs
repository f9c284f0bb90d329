//! Points and spans of time, in microseconds.

use std::ops::{Add, Sub};

/// A point on the gateway's monotonic clock, in microseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(i64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(i64);

impl Time {
    /// Returns the point `us` microseconds after the clock's origin.
    pub const fn from_micros(us: i64) -> Self {
        Self(us)
    }
    /// Returns the microseconds since the clock's origin.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
    /// Returns the time passed since `earlier`, zero if `earlier` lies ahead.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0).max(0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);
    /// Returns a span of `us` microseconds.
    pub const fn from_micros(us: i64) -> Self {
        Self(us)
    }
    /// Returns the span in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
    /// Returns the span in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// Multiplies the span by a ratio; saturates, and returns zero where the ratio is not a number.
    pub fn scale(self, ratio: f64) -> Span {
        Span((self.0 as f64 * ratio) as i64)
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}
