//! Commands that the engine returns for its drivers to carry out.

use crate::decision::interface::{RequestId, ServerId, Span};
use crate::fleet::permits::PermitDatagram;

/// A final answer to a request that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Rejected without having run; the client may retry after this long (zero: no advice).
    Rejected(Span),
    /// Failed; it may have run.
    Failed,
}

/// What a frontend or a driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Make this attempt. The engine itself ends it after `timeout`.
    Attempt {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The server to connect to.
        server: ServerId,
        /// How long the engine waits for the outcome.
        timeout: Span,
    },
    /// Abandon this attempt now: none of its bytes may be sent afterwards.
    Close {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Send the client this final answer.
    Answer {
        /// The request.
        id: RequestId,
        /// The answer.
        answer: FinalAnswer,
    },
    /// Ask the client of this established connection to reconnect, and close the connection.
    Migrate {
        /// The request that the connection came from.
        id: RequestId,
    },
    /// Pass this established connection to the successor process.
    HandOff {
        /// The request that the connection came from.
        id: RequestId,
        /// The server at its other end.
        server: ServerId,
    },
    /// Check the health of a server.
    CheckHealth {
        /// The server.
        server: ServerId,
    },
    /// Follow the endpoint list from now on.
    Subscribe,
    /// Send this datagram to another gateway.
    SendDatagram(PermitDatagram),
}
