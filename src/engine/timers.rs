//! Timers of the engine. They are set in engine time and run on the clock of the tokio runtime.

use std::future::poll_fn;
use std::task::Poll;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::time::DelayQueue;
use tokio_util::time::delay_queue::Key;

use crate::decision::interface::{RequestId, Span, Time, TimerToken};
use crate::fleet::permits::ServerKey;

/// Longest wait of a timer; the timer queue doesn't support arbitrarily distant instants.
const MAX_TIMER_WAIT: Span = Span::from_micros(86_400_000_000);

/// Simultaneous readings of the engine's time and of the runtime's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MonotonicEpoch {
    /// The engine's time at the epoch.
    pub time: Time,
    /// The runtime's clock at the epoch.
    pub instant: Instant,
}

impl MonotonicEpoch {
    /// Returns the engine's time at this instant; an instant before the epoch gives the time of the epoch.
    pub fn time_at(&self, instant: Instant) -> Time {
        let elapsed = instant.saturating_duration_since(self.instant);
        self.time + Span::from_micros(i64::try_from(elapsed.as_micros()).unwrap_or(i64::MAX))
    }

    fn instant_after(&self, wait: Span) -> Instant {
        self.instant + Duration::from_micros(wait.as_micros().unsigned_abs())
    }
}

/// A timer that is due. Drivers pass it to [`Engine::handle_timer`](super::Engine::handle_timer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer set by the decision module.
    Decision(TimerToken),
    /// Timeout of an attempt.
    AttemptTimeout {
        /// Id of the request to which the attempt belongs.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Migration of an established connection.
    Migrate(RequestId),
    /// Periodic check of established connections for silent and slow servers.
    Sweep,
    /// Possible end of the endpoint list's lease.
    ListExpired,
    /// Timeout of a grantor's reply to a permit request.
    PermitReplyTimeout {
        /// Key of the server for which the permit was requested.
        server: ServerKey,
        /// Number of the permit request.
        request_number: u16,
    },
    /// Deadline of the shutdown, after which no request may be open.
    ShutdownDeadline,
}

/// Pending timers of the engine.
pub(super) struct Timers {
    queue: DelayQueue<TimerEvent>,
    epoch: MonotonicEpoch,
    /// Timers fire at multiples of this time.
    granularity: Span,
    /// Latest time passed to the engine.
    latest_time: Time,
}

impl Timers {
    pub(super) fn new(epoch: MonotonicEpoch, granularity: Span) -> Self {
        Self { queue: DelayQueue::new(), epoch, granularity, latest_time: epoch.time }
    }

    /// Sets the engine's time, which never decreases.
    pub(super) fn advance_to(&mut self, now: Time) {
        self.latest_time = self.latest_time.max(now);
    }

    /// Waits for the next timer that is due.
    pub(super) async fn next(&mut self) -> TimerEvent {
        poll_fn(|context| match self.queue.poll_expired(context) {
            Poll::Ready(Some(expired)) => Poll::Ready(expired.into_inner()),
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        })
        .await
    }

    /// Sets a timer for the first multiple of the granularity at or after `due_at`.
    pub(super) fn schedule(&mut self, due_at: Time, event: TimerEvent) -> Key {
        let wait = due_at.min(self.latest_time + MAX_TIMER_WAIT).since(self.epoch.time);
        let granularity = self.granularity.as_micros();
        let ticks = (wait.as_micros() + granularity - 1) / granularity;
        let rounded = Span::from_micros(ticks * granularity);
        self.queue.insert_at(event, self.epoch.instant_after(rounded))
    }

    /// Cancels a timer if it is still pending.
    pub(super) fn cancel(&mut self, timer: Option<Key>) {
        if let Some(key) = timer {
            self.queue.try_remove(&key);
        }
    }
}
