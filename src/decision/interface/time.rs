//! Points in time and durations, in microseconds.

use std::ops::{Add, Sub};

/// Point in time on the gateway's monotonic clock, in microseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(i64);

/// Duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(i64);

impl Time {
    /// Returns the point in time `us` microseconds after the clock's origin.
    pub const fn from_micros(us: i64) -> Self {
        Self(us)
    }
    /// Returns the microseconds since the clock's origin.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0).max(0))
    }
}

impl Span {
    /// Duration of zero microseconds.
    pub const ZERO: Span = Span(0);
    /// Returns a duration of `us` microseconds.
    pub const fn from_micros(us: i64) -> Self {
        Self(us)
    }
    /// Returns the duration in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
    /// Returns the duration in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// Multiplies the duration by `ratio`. The result saturates at the bounds of the type, and is zero if
    /// `ratio` is NaN.
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
