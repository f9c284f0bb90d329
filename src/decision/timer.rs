//! Timers of the decision module, and the tokens that identify them when they are due.

use super::interface::{RequestId, TimerToken};

const QUEUE_TOKEN: u64 = 0;
const SUBSCRIBE_TOKEN: u64 = 1;
const FIRST_DEADLINE_TOKEN: u64 = 2;

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// Try to place queued requests again.
    PlaceQueued,
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Answer this request, since its deadline has passed.
    Deadline(RequestId),
}

impl Timer {
    pub(super) fn token(self) -> TimerToken {
        match self {
            Timer::PlaceQueued => TimerToken(QUEUE_TOKEN),
            Timer::Subscribe => TimerToken(SUBSCRIBE_TOKEN),
            Timer::Deadline(id) => TimerToken(FIRST_DEADLINE_TOKEN + u64::from(id.0)),
        }
    }

    pub(super) fn from_token(token: TimerToken) -> Self {
        match token.0 {
            QUEUE_TOKEN => Timer::PlaceQueued,
            SUBSCRIBE_TOKEN => Timer::Subscribe,
            token => Timer::Deadline(RequestId((token - FIRST_DEADLINE_TOKEN) as u32)),
        }
    }
}
