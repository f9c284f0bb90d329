//! Lines of a client, as a gateway reads them.

use bytes::Bytes;

use crate::{MAX_LINE, Open, OpenError};

/// Maximum number of lines that a client may send between its `OPEN` line and the answer.
const MAX_EARLY_LINES: usize = 8;
/// Maximum number of bytes in these lines.
const MAX_EARLY_BYTES: usize = MAX_LINE;

/// The meaning of a client's line.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientEvent {
    /// A health check; the gateway answers [`PONG`](crate::PONG).
    Ping,
    /// A request for a connection.
    Open(Box<Open>),
    /// A line to be forwarded to the server.
    Forward(Bytes),
    /// An invalid line; the gateway answers [`FAILED`](crate::FAILED) and closes the connection.
    Invalid(OpenError),
}

/// Protocol state of a client's connection to the gateway.
#[derive(Debug, Default)]
pub struct ClientSide {
    /// Whether a valid `OPEN` line has been received.
    opened: bool,
    /// Whether the connection to a server is established.
    established: bool,
    /// Number of lines received between the `OPEN` line and the answer.
    early_lines: usize,
    /// Number of bytes in these lines.
    early_bytes: usize,
}

impl ClientSide {
    /// Marks the connection as established: all further lines are forwarded to the server.
    pub fn set_established(&mut self) {
        self.established = true;
    }

    /// Processes one line that the client has sent.
    pub fn line(&mut self, line: Bytes) -> ClientEvent {
        if self.established {
            return ClientEvent::Forward(line);
        }
        if self.opened {
            return self.early_line(line);
        }
        if &line[..] == b"PING\r\n" {
            return ClientEvent::Ping;
        }
        match Open::parse(line) {
            Ok(open) => {
                self.opened = true;
                ClientEvent::Open(Box::new(open))
            }
            Err(error) => ClientEvent::Invalid(error),
        }
    }

    /// Processes a line between `OPEN` and the answer. A client should wait for the answer, but a few lines
    /// are buffered for the server. A second `OPEN` is invalid, and so are lines that exceed the bounds of
    /// the buffer.
    fn early_line(&mut self, line: Bytes) -> ClientEvent {
        let (lines, bytes) = (self.early_lines + 1, self.early_bytes + line.len());
        if lines > MAX_EARLY_LINES || bytes > MAX_EARLY_BYTES || line.starts_with(b"OPEN") {
            return ClientEvent::Invalid(OpenError::Early);
        }
        (self.early_lines, self.early_bytes) = (lines, bytes);
        ClientEvent::Forward(line)
    }
}
