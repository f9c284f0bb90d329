//! What a client says, as a gateway reads it.

use bytes::Bytes;

use crate::{MAX_LINE, Open, OpenError};

/// Most lines, and bytes of them, that a client may send before its connection stands.
const MAX_EARLY: (usize, usize) = (8, MAX_LINE);

/// What a client's line asks of the gateway.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientEvent {
    /// The front asks whether this gateway is there: answer [`PONG`](crate::PONG).
    Ping,
    /// A connection is asked for.
    Open(Box<Open>),
    /// A line for the server.
    Forward(Bytes),
    /// Not understood: answer [`FAILED`](crate::FAILED) and end.
    Invalid(OpenError),
}

/// The client's side of one connection.
#[derive(Debug, Default)]
pub struct ClientSide {
    opened: bool,
    up: bool,
    /// Lines, and their bytes, that came between `OPEN` and the answer.
    early: (usize, usize),
}

impl ClientSide {
    /// The connection stands: what the client says is the server's from now on.
    pub fn set_established(&mut self) {
        self.up = true;
    }

    /// Takes one line in.
    pub fn line(&mut self, line: Bytes) -> ClientEvent {
        if self.up {
            return ClientEvent::Forward(line);
        }
        if self.opened {
            // The client should wait; a few lines are kept for the server, but never a second
            // `OPEN`, and no more than a bounded buffer.
            let (lines, bytes) = (self.early.0 + 1, self.early.1 + line.len());
            if lines > MAX_EARLY.0 || bytes > MAX_EARLY.1 || line.starts_with(b"OPEN") {
                return ClientEvent::Invalid(OpenError::Early);
            }
            self.early = (lines, bytes);
            return ClientEvent::Forward(line);
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
}
