//! Events that an application receives from its session.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::{AttemptFailure, ConnectionLoss, GiveUpReason, SessionNotification};

/// Event of a session. Events are delivered in the order in which they occurred.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionEvent {
    /// Line from the server, without its CRLF.
    Line(Bytes),
    /// The connection is established, for the first time or again.
    Connected {
        /// Address of the gateway that accepted the connection.
        gateway: SocketAddr,
        /// Receipt from the server.
        receipt: Bytes,
        /// Number of attempts that were made for this connection.
        attempts: u32,
        /// Whether the session had an established connection before.
        reconnected: bool,
    },
    /// The gateway asked the client to reconnect (`MOVE`); the session reconnects.
    Migrated,
    /// The connection broke or the network was lost; the session reconnects.
    Disconnected {
        /// Reason for the loss of the connection.
        reason: ConnectionLoss,
        /// Line that was not written completely; the server may or may not have received it.
        interrupted_line: Option<Bytes>,
    },
    /// The session makes its next connection attempt after this delay.
    Reconnecting(Duration),
    /// An attempt failed and is retried.
    Retrying {
        /// Failure of the attempt.
        last: AttemptFailure,
        /// Delay before the next attempt.
        delay: Duration,
    },
    /// Number of notifications that were dropped at this point because the application did not read its
    /// events.
    MissedNotifications(u64),
    /// The session ended; no event follows.
    Ended(GiveUpReason),
}

/// Converts a notification of the pool into the event that the application receives.
pub(crate) fn session_event(notification: SessionNotification) -> SessionEvent {
    match notification {
        SessionNotification::Connected { gateway, receipt, attempts, reconnected } => {
            SessionEvent::Connected { gateway, receipt, attempts, reconnected }
        }
        SessionNotification::Disconnected(ConnectionLoss::Migrated) => SessionEvent::Migrated,
        SessionNotification::Disconnected(reason) => {
            SessionEvent::Disconnected { reason, interrupted_line: None }
        }
        SessionNotification::Reconnecting { delay } => SessionEvent::Reconnecting(delay),
        SessionNotification::Retrying { last, delay } => SessionEvent::Retrying { last, delay },
    }
}
