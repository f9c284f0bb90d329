//! What a client asks for: its first line, and the `PING`s that may stand before it.

use std::time::Duration;

use ashtide_protocol::{ClientEvent, ClientSide, LineError, Open, OpenError, PONG};
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout_at};

use super::connection::LineConnection;
use crate::net::pending_clients::ActivityNotifier;

/// Limit on the time from a client's arrival to the end of its first line. A good client may take 2 s to write it, and a
/// bad one is owed an end within 3 s.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2600);

/// How reading a client's first line ended.
pub(super) enum FirstLine {
    /// It asks for a connection.
    Open(Box<Open>),
    /// It is answered with an error.
    Invalid(ClientError),
    /// It has sent `PING` and nothing after that.
    OnlyPinged,
    /// It has gone, and is owed no answer.
    Closed,
}

/// What a client did wrong.
#[derive(Debug, thiserror::Error)]
pub(super) enum ClientError {
    /// Its bytes are no lines.
    #[error(transparent)]
    Line(#[from] LineError),
    /// A line is no request.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// It sent no complete first line.
    #[error("nothing asked for within {FIRST_LINE_TIMEOUT:?}")]
    TimedOut,
    /// It ended within its first line.
    #[error("ended within its first line")]
    Incomplete,
    /// Its id belongs to another request.
    #[error("the id of a request that is still open")]
    DuplicateId,
    /// It names a server, which only clients from before the start may do.
    #[error("'at' after the start")]
    RestoreAfterStart,
}

/// Reads until the client has asked for a connection or its time is up. `PING`s are answered.
pub(super) async fn read_first_line(
    client: &mut LineConnection,
    side: &mut ClientSide,
    activity: &ActivityNotifier,
) -> FirstLine {
    let deadline = Instant::now() + FIRST_LINE_TIMEOUT;
    let mut answered_ping = false;
    if timeout_at(deadline, client.readable()).await.is_ok() {
        activity.mark_speaking();
    }
    loop {
        let line = timeout_at(deadline, client.lines.next()).await;
        let partial = client.has_partial_line();
        let line = match line {
            Ok(Some(Ok(line))) => line,
            Ok(None) if partial => return FirstLine::Invalid(ClientError::Incomplete),
            Ok(Some(Err(LineError::Io(_))) | None) => return FirstLine::Closed,
            Ok(Some(Err(error))) => return FirstLine::Invalid(error.into()),
            // A client that only sends `PING` is owed no error.
            Err(_) if answered_ping && !partial => return FirstLine::OnlyPinged,
            Err(_) => return FirstLine::Invalid(ClientError::TimedOut),
        };
        match side.line(line) {
            ClientEvent::Ping => {
                answered_ping = true;
                // A client that does not read its answers has no claim to more of them.
                if !matches!(timeout_at(deadline, client.writer.write_all(PONG)).await, Ok(Ok(()))) {
                    return FirstLine::Closed;
                }
            }
            ClientEvent::Open(open) => return FirstLine::Open(open),
            ClientEvent::Pass(_) => return FirstLine::Closed,
            ClientEvent::Bad(error) => return FirstLine::Invalid(error.into()),
        }
    }
}
