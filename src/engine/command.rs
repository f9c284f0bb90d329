//! Commands that the engine returns to its drivers for execution.

use crate::decision::interface::{RequestId, ServerId, Span};
use crate::fleet::permits::PermitDatagram;

/// Final answer to a request for which no connection was established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Rejected without execution. The client may retry after this time; zero gives no advice.
    Rejected(Span),
    /// Failed; the server may have executed the request.
    Failed,
}

/// An instruction to a front end or a driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Starts an attempt. The engine itself ends the attempt after `timeout`.
    Attempt {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The server to connect to.
        server: ServerId,
        /// Time for which the engine waits for the outcome.
        timeout: Span,
    },
    /// Closes an attempt immediately; none of its bytes may be sent afterwards.
    Close {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Sends the final answer to the client.
    Answer {
        /// The request.
        id: RequestId,
        /// The answer.
        answer: FinalAnswer,
    },
    /// Requests the client of an established connection to reconnect, and closes the connection.
    Migrate {
        /// The request that opened the connection.
        id: RequestId,
    },
    /// Hands an established connection off to the successor process.
    HandOff {
        /// The request that opened the connection.
        id: RequestId,
        /// The server of the connection.
        server: ServerId,
    },
    /// Sends a health check to a server.
    CheckHealth {
        /// The server.
        server: ServerId,
    },
    /// Starts a watch on the endpoint list.
    Subscribe,
    /// Sends a datagram to another gateway.
    SendDatagram(PermitDatagram),
}
