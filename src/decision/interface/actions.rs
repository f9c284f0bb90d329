//! Actions: what the decision module requests of the gateway.

use super::{RequestId, ServerId, Span, Time, TimerToken};

/// An action that the gateway has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begins an attempt: connects the request to a server.
    Attempt {
        /// Id of the request for which the attempt is made.
        id: RequestId,
        /// Server to which the attempt connects.
        server: ServerId,
        /// Time after which the attempt times out.
        timeout: Span,
    },
    /// Sends the final answer "rejected": the client may safely send the request again.
    Reject {
        /// Id of the rejected request.
        id: RequestId,
        /// Time that the client waits before it sends the request again; zero if no time is sent.
        retry_after: Span,
    },
    /// Sends the final answer "failed": the request may have been executed.
    Fail {
        /// Id of the failed request.
        id: RequestId,
    },
    /// Cancels an attempt of a request.
    CancelAttempt {
        /// Id of the request to which the attempt belongs.
        id: RequestId,
        /// Number of the attempt among those of the request, from 0.
        attempt: u32,
    },
    /// Tells the client of an established connection to reconnect.
    Migrate {
        /// Id of the request that opened the connection.
        id: RequestId,
    },
    /// Sets a timer, which is returned as [`Event::Timer`](super::Event::Timer) when it is due.
    SetTimer {
        /// Token that is returned with the event.
        token: TimerToken,
        /// Time at which the timer is due.
        due_at: Time,
    },
    /// Requests a permit to send one connection to a warming server.
    /// [`Event::PermitReply`](super::Event::PermitReply) always follows soon.
    RequestPermit {
        /// Warming server for which the permit is requested.
        server: ServerId,
    },
    /// Checks a server's health. The module doesn't request health checks: slow responses reveal overload at
    /// no cost.
    CheckHealth {
        /// Server that is checked.
        server: ServerId,
    },
    /// Subscribes to changes of the endpoint list.
    Subscribe,
}
