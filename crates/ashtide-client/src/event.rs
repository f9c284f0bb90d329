//! What an application receives from its session.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::{AttemptFailure, ConnectionLoss, GiveUpReason, SessionNotification};

/// An event of a session, in the order in which it happened.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionEvent {
    /// A line of the server's, without its CRLF.
    Line(Bytes),
    /// The connection stands, or stands again.
    Connected {
        /// By which balancer.
        gateway: SocketAddr,
        /// The server's receipt.
        receipt: Bytes,
        /// Attempts that it took.
        attempts: u32,
        /// Whether the session had stood before.
        reconnected: bool,
    },
    /// The balancer sent the client away; the session returns.
    Migrated,
    /// The connection broke, or the network went; the session returns.
    Disconnected {
        /// What happened.
        reason: ConnectionLoss,
        /// A line that was being written; the server may have it or not.
        interrupted_line: Option<Bytes>,
    },
    /// It tries to come back after this time.
    Reconnecting(Duration),
    /// An attempt came to nothing, and another follows.
    Retrying {
        /// What became of it.
        last: AttemptFailure,
        /// The wait until the next.
        delay: Duration,
    },
    /// The application did not read for so long that so many notices were left out here.
    MissedNotifications(u64),
    /// The session is over. Nothing follows.
    Ended(GiveUpReason),
}

/// The application's form of a notification of the core.
pub(crate) fn session_event(notice: SessionNotification) -> SessionEvent {
    match notice {
        SessionNotification::Connected { gateway: at, receipt, attempts: tries, reconnected: again } => {
            SessionEvent::Connected { gateway: at, receipt, attempts: tries, reconnected: again }
        }
        SessionNotification::Disconnected(ConnectionLoss::Migrated) => SessionEvent::Migrated,
        SessionNotification::Disconnected(why) => {
            SessionEvent::Disconnected { reason: why, interrupted_line: None }
        }
        SessionNotification::Reconnecting { delay: after } => SessionEvent::Reconnecting(after),
        SessionNotification::Retrying { last, delay: after } => SessionEvent::Retrying { last, delay: after },
    }
}
