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
        /// Id of the request for which the attempt is made.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Server to which the attempt connects.
        server: ServerId,
        /// Time for which the engine waits for the outcome.
        timeout: Span,
    },
    /// Closes an attempt immediately; none of its bytes may be sent afterwards.
    Close {
        /// Id of the request to which the attempt belongs.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Sends the final answer to the client.
    Answer {
        /// Id of the request that is answered.
        id: RequestId,
        /// Final answer that the client receives.
        answer: FinalAnswer,
    },
    /// Tells the client of an established connection to reconnect, and closes the connection.
    Migrate {
        /// Id of the request that opened the connection.
        id: RequestId,
    },
    /// Transfers an established connection to the successor process (handoff).
    HandOff {
        /// Id of the request that opened the connection.
        id: RequestId,
        /// Server of the connection.
        server: ServerId,
    },
    /// Sends a health check to a server.
    CheckHealth {
        /// Server that receives the health check.
        server: ServerId,
    },
    /// Starts a watch on the endpoint list.
    Subscribe,
    /// Sends a datagram to another gateway.
    SendDatagram(PermitDatagram),
}
