//! What a reading server says, as a gateway reads it, and what an ending means.

use bytes::Bytes;

use crate::text;

/// How an attempt, or the connection that came of it, ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Served to its end.
    Served,
    /// The server sent the client away.
    Moved,
    /// Turned away unseen.
    Busy,
    /// An error; it may have run.
    Failed,
    /// The request never reached the server whole.
    Unreached,
    /// The connection broke; it may have run.
    Reset,
}

/// What a server's line means.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerEvent {
    /// The connection stands; the line goes to the client.
    Up(Bytes),
    /// The attempt is over before anything stood.
    AttemptEnded(Ending),
    /// A line for the client.
    Forward(Bytes),
    /// A line for the client that tells the connection's load, in microseconds of work a second, or where
    /// the settings say so the milliseconds that messages take at the server.
    Load(Bytes, f64),
    /// A line for the client after which the server ends the connection.
    FinalLine(Bytes),
}

/// The server's side of one attempt and of the connection that may come of it.
#[derive(Debug, Default)]
pub struct ServerSide {
    written: bool,
    up: bool,
    last: Option<Ending>,
}

impl ServerSide {
    /// The side of a connection that stood before, as one taken over from another process.
    pub fn established() -> Self {
        Self { written: true, up: true, last: None }
    }

    /// The first line's last byte has been written: from here on it may have run.
    pub fn set_request_written(&mut self) {
        self.written = true;
    }

    /// Takes one line in.
    pub fn line(&mut self, line: Bytes) -> ServerEvent {
        let words = text(&line).unwrap_or("");
        let (word, rest) = words.split_once(' ').unwrap_or((words, ""));
        if self.up {
            return match word {
                "BYE" => self.ends(Ending::Served, line),
                "MOVE" => self.ends(Ending::Moved, line),
                "LOAD" => match rest.trim().parse::<f64>() {
                    Ok(load) if load.is_finite() => ServerEvent::Load(line, load),
                    _ => ServerEvent::Forward(line),
                },
                _ => ServerEvent::Forward(line),
            };
        }
        match (word, rest) {
            ("UP", receipt) if is_receipt(receipt) => {
                self.up = true;
                ServerEvent::Up(line)
            }
            ("BUSY", wait) if wait.bytes().all(|byte| byte.is_ascii_digit()) => {
                ServerEvent::AttemptEnded(Ending::Busy)
            }
            ("MOVE", "") => ServerEvent::AttemptEnded(Ending::Moved),
            // A spoilt answer says nothing of what has run, whatever it begins with.
            _ => ServerEvent::AttemptEnded(Ending::Failed),
        }
    }

    fn ends(&mut self, outcome: Ending, line: Bytes) -> ServerEvent {
        self.last = Some(outcome);
        ServerEvent::FinalLine(line)
    }

    /// What it means that the connection ends or breaks here.
    pub fn ending(&self) -> Ending {
        match self.last {
            Some(outcome) => outcome,
            None if self.written => Ending::Reset,
            None => Ending::Unreached,
        }
    }
}

/// Whether this can be what a server gives with `UP`: printable, and not two lines in one.
fn is_receipt(text: &str) -> bool {
    !text.trim().is_empty() && text.bytes().all(|byte| (b' '..=b'~').contains(&byte))
}
