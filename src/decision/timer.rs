//! The module's timers and the tokens by which they come back.

use super::interface::{RequestId, TimerToken};

const QUEUE_TOKEN: u64 = 0;
const SUBSCRIBE_TOKEN: u64 = 1;
const FIRST_DEADLINE_TOKEN: u64 = 2;

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// Queued requests are tried again.
    PlaceQueued,
    /// The endpoint list is subscribed to.
    Subscribe,
    /// The time to answer this request has passed.
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
