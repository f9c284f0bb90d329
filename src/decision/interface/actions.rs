//! Actions: what the decision module requests of the gateway.

use super::{RequestId, ServerId, Span, Time, TimerToken};

/// An action that the gateway has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begins an attempt: connects the request to a server.
    Attempt {
        /// The request to connect.
        id: RequestId,
        /// The server to connect to.
        server: ServerId,
        /// The time after which the attempt times out.
        timeout: Span,
    },
    /// Sends the final answer "rejected": the client may safely send the request again.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// The wait before the client tries again; zero if no wait is sent.
        retry_after: Span,
    },
    /// Sends the final answer "failed": the request may have been executed.
    Fail {
        /// The failed request.
        id: RequestId,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// The request of the attempt.
        id: RequestId,
        /// The index of the attempt among those of the request; the first is 0.
        attempt: u32,
    },
    /// Tells the client of an established connection to reconnect.
    Migrate {
        /// The request from which the connection was established.
        id: RequestId,
    },
    /// Sets a timer, which is returned as [`Event::Timer`](super::Event::Timer) when it is due.
    SetTimer {
        /// The token returned with the event.
        token: TimerToken,
        /// The time at which the timer is due.
        due_at: Time,
    },
    /// Requests a permit to send one connection to a warming server.
    /// [`Event::PermitReply`](super::Event::PermitReply) always follows soon.
    RequestPermit {
        /// The warming server.
        server: ServerId,
    },
    /// Checks a server's health. The module doesn't request health checks: slow responses reveal overload at
    /// no cost.
    CheckHealth {
        /// The server to check.
        server: ServerId,
    },
    /// Subscribes to changes of the endpoint list.
    Subscribe,
}
