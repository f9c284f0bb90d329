//! What the module asks of the gateway.

use super::{RequestId, ServerId, Span, Time, TimerToken};

/// What the module asks of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect the request to a server.
    Attempt {
        /// Which request.
        id: RequestId,
        /// Which server.
        server: ServerId,
        /// Time after which the attempt fails.
        timeout: Span,
    },
    /// Final answer: rejected; trying again does no harm.
    Reject {
        /// Which request.
        id: RequestId,
        /// The wait before the client tries again; zero where none is stated.
        retry_after: Span,
    },
    /// Final answer: failed; it may have been executed.
    Fail {
        /// Which request.
        id: RequestId,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// Which request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Ask the client of an open connection to reconnect.
    Migrate {
        /// Which request.
        id: RequestId,
    },
    /// Set a timer, which comes back as [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Returned with the event.
        token: TimerToken,
        /// When.
        due_at: Time,
    },
    /// Request a permit to send one connection to a warming server;
    /// [`Event::PermitReply`](super::Event::PermitReply) always follows, soon.
    RequestPermit {
        /// The server.
        server: ServerId,
    },
    /// Check a server's health. The module requests none so far: slow responses show overload at no price.
    CheckHealth {
        /// Which server.
        server: ServerId,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
}
