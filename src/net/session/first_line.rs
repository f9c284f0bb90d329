//! Reads a client's first line, which may be preceded by `PING` lines.

use std::time::Duration;

use ashtide_protocol::{ClientEvent, ClientSide, LineError, Open, OpenError, PONG};
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout_at};

use super::connection::LineConnection;
use crate::net::pending_clients::ActivityNotifier;

/// Time limit from the accept of a client to the end of its first line. A valid client may take 2 s to write
/// the line, and the connection of an invalid one must be closed within 3 s.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2600);

/// Result of reading a client's first line.
pub(super) enum FirstLine {
    /// The client requests a connection.
    Open(Box<Open>),
    /// The client's input is invalid and is answered with an error.
    Invalid(ClientError),
    /// The client has sent `PING` lines and no request until the time limit.
    OnlyPinged,
    /// The client has closed its connection, or does not read its answers, and receives no answer.
    Closed,
}

/// An error of a client that is answered with `ERR` and logged.
#[derive(Debug, thiserror::Error)]
pub(super) enum ClientError {
    /// The input is not valid lines.
    #[error(transparent)]
    Line(#[from] LineError),
    /// The first line is not a valid request.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The client sent no complete first line within the time limit.
    #[error("no complete request received within {FIRST_LINE_TIMEOUT:?}")]
    TimedOut,
    /// The connection ended within the first line.
    #[error("connection ended within the first line")]
    Incomplete,
    /// The id of the request is in use by another open request.
    #[error("request id is already used by an open request")]
    DuplicateId,
    /// A request with the id has ended that may have been executed, and may not be executed twice.
    #[error("request id was used by a request that may have been executed")]
    UsedId,
    /// The request names a server, which is permitted only during the restore phase.
    #[error("request names a server with 'at=' after the end of the restore phase")]
    RestoreAfterStart,
}

/// Reads until the client has sent a request or the time limit is reached, and answers each `PING`.
pub(super) async fn read_first_line(
    client: &mut LineConnection,
    side: &mut ClientSide,
    activity: &ActivityNotifier,
) -> FirstLine {
    let deadline = Instant::now() + FIRST_LINE_TIMEOUT;
    let mut answered_ping = false;
    if timeout_at(deadline, client.readable()).await.is_ok() {
        activity.mark_sending();
    }
    loop {
        // A client that always has a line ready is not interrupted by the time-out.
        let line = match Instant::now() < deadline {
            true => timeout_at(deadline, client.lines.next()).await.ok(),
            false => None,
        };
        let partial = client.has_partial_line();
        let line = match line {
            Some(Some(Ok(line))) => line,
            Some(None) if partial => return FirstLine::Invalid(ClientError::Incomplete),
            Some(Some(Err(LineError::Io(_))) | None) => return FirstLine::Closed,
            Some(Some(Err(error))) => return FirstLine::Invalid(error.into()),
            // Sending only `PING` is not an error.
            None if answered_ping && !partial => return FirstLine::OnlyPinged,
            None => return FirstLine::Invalid(ClientError::TimedOut),
        };
        match side.line(line) {
            ClientEvent::Ping => {
                answered_ping = true;
                // A client that does not read its answers receives no further ones.
                if !matches!(timeout_at(deadline, client.writer.write_all(PONG)).await, Ok(Ok(()))) {
                    return FirstLine::Closed;
                }
            }
            ClientEvent::Open(open) => return FirstLine::Open(open),
            ClientEvent::Forward(_) => return FirstLine::Closed,
            ClientEvent::Invalid(error) => return FirstLine::Invalid(error.into()),
        }
    }
}
