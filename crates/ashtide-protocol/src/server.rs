//! Lines of a server, as a gateway reads them, and the outcome that an end of the connection indicates.

use bytes::Bytes;

use crate::text;

/// How an attempt, or the connection that it established, ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The server has served the connection to its end.
    Served,
    /// The server sent `MOVE`: the client is to reconnect.
    Moved,
    /// The server rejected the request without executing it.
    Busy,
    /// The server returned an error; the request may have been executed.
    Failed,
    /// The request was not written completely, so the server cannot have executed it.
    Unreached,
    /// The connection broke; the request may have been executed.
    Reset,
}

/// The meaning of a server's line.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerEvent {
    /// The connection is established; the line is forwarded to the client.
    Up(Bytes),
    /// The attempt ended without an established connection.
    AttemptEnded(Ending),
    /// A line to be forwarded to the client.
    Forward(Bytes),
    /// A load report, whose line is forwarded to the client. The number is the connection's load in
    /// microseconds of work a second or, if the settings say so, the time in milliseconds that messages take
    /// at the server.
    Load(Bytes, f64),
    /// A line to be forwarded to the client, after which the server closes the connection.
    FinalLine(Bytes),
}

/// Protocol state of an attempt at a server, and of the connection that it establishes.
#[derive(Debug, Default)]
pub struct ServerSide {
    /// Whether the first line has been written completely.
    request_written: bool,
    /// Whether the connection is established.
    established: bool,
    /// The ending that the server's last line has announced, if any.
    announced_ending: Option<Ending>,
}

impl ServerSide {
    /// Returns the state of a connection that is established already, such as one adopted from another
    /// process.
    pub fn established() -> Self {
        Self { request_written: true, established: true, announced_ending: None }
    }

    /// Marks the first line as written to its last byte: from now on, the server may have executed the
    /// request.
    pub fn set_request_written(&mut self) {
        self.request_written = true;
    }

    /// Processes one line that the server has sent.
    pub fn line(&mut self, line: Bytes) -> ServerEvent {
        let line_text = text(&line).unwrap_or("");
        let (keyword, rest) = line_text.split_once(' ').unwrap_or((line_text, ""));
        if self.established {
            return match keyword {
                "BYE" => self.final_line(Ending::Served, line),
                "MOVE" => self.final_line(Ending::Moved, line),
                "LOAD" => match rest.trim().parse::<f64>() {
                    Ok(load) if load.is_finite() => ServerEvent::Load(line, load),
                    _ => ServerEvent::Forward(line),
                },
                _ => ServerEvent::Forward(line),
            };
        }
        match (keyword, rest) {
            ("UP", receipt) if is_receipt(receipt) => {
                self.established = true;
                ServerEvent::Up(line)
            }
            ("BUSY", wait) if wait.bytes().all(|byte| byte.is_ascii_digit()) => {
                ServerEvent::AttemptEnded(Ending::Busy)
            }
            ("MOVE", "") => ServerEvent::AttemptEnded(Ending::Moved),
            // A malformed answer does not show whether the request was executed, even if its keyword is
            // known.
            _ => ServerEvent::AttemptEnded(Ending::Failed),
        }
    }

    fn final_line(&mut self, ending: Ending, line: Bytes) -> ServerEvent {
        self.announced_ending = Some(ending);
        ServerEvent::FinalLine(line)
    }

    /// Returns the ending that results if the connection is closed or breaks in the current state.
    pub fn ending(&self) -> Ending {
        match self.announced_ending {
            Some(ending) => ending,
            None if self.request_written => Ending::Reset,
            None => Ending::Unreached,
        }
    }
}

/// Checks whether a text is a valid receipt of an `UP` line: not blank, and printable ASCII only. A receipt
/// with a line break would be two lines to some readers.
fn is_receipt(text: &str) -> bool {
    !text.trim().is_empty() && text.bytes().all(|byte| (b' '..=b'~').contains(&byte))
}
