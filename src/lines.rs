//! The platform's protocol: lines of text, and what they mean on either side of the gateway.
//!
//! All of it is fed bytes or lines and knows no socket. [`LineCodec`] cuts the stream, [`ClientSide`]
//! reads what clients say, [`ServerSide`] what servers answer and what an ending means.

use std::collections::HashSet;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::interface::{Outcome, Span};

/// Longest line, its CRLF included.
pub const MAX_LINE: usize = 4096;
/// Longest id, key, name or value in an `OPEN` line: real ones have 16 characters, names a few more.
const MAX_FIELD: usize = 128;
/// Most names in the list of an `OPEN` line.
const MAX_NAMES: usize = 32;
/// Longest wait that a client may ask for, in milliseconds: classes give up after seconds.
const MAX_WAIT_MS: f64 = 600_000.0;
/// Most lines, and bytes of them, that a client may send before its connection stands.
const MAX_EARLY: (usize, usize) = (8, MAX_LINE);

/// Why a stream cannot be read on.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// More than [`MAX_LINE`] bytes without an end of line.
    #[error("line of over {MAX_LINE} bytes")]
    TooLong,
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Cuts a stream into lines. Items are whole lines with their CRLF, so that they pass on unchanged.
#[derive(Debug, Default)]
pub struct LineCodec {
    /// How much of the buffer has been searched.
    seen: usize,
}

impl Decoder for LineCodec {
    type Item = Bytes;
    type Error = LineError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, LineError> {
        let from = self.seen.min(buffer.len()).saturating_sub(1);
        let end = buffer[from..].windows(2).position(|pair| pair == b"\r\n").map(|at| from + at + 2);
        self.seen = if end.is_some() { 0 } else { buffer.len() };
        match end {
            Some(end) if end <= MAX_LINE => Ok(Some(buffer.split_to(end).freeze())),
            None if buffer.len() < MAX_LINE => Ok(None),
            _ => Err(LineError::TooLong),
        }
    }

    /// What is left without an end of line is no line: it goes nowhere.
    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, LineError> {
        self.decode(buffer)
    }
}

/// The text of a line without its CRLF, where it is UTF-8.
fn text(line: &[u8]) -> Option<&str> {
    std::str::from_utf8(line.strip_suffix(b"\r\n").unwrap_or(line)).ok()
}

/// What is wrong with a client's first line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// Not `OPEN ID KEY LIST`.
    #[error("not an OPEN line")]
    Form,
    /// A figure in the list cannot be read.
    #[error("bad value of '{0}'")]
    Value(&'static str),
    /// A name that the list must have.
    #[error("'{0}' is missing")]
    Missing(&'static str),
    /// Which of two values counts is anybody's guess, and the server's may be another.
    #[error("a name is there twice")]
    Twice,
    /// More in the line than any client has to say.
    #[error("too long a field or list")]
    Bounds,
    /// A second request, or more than a few lines, before the first has its answer.
    #[error("too much before the answer")]
    Early,
}

/// A client's `OPEN` line.
#[derive(Debug, Clone, PartialEq)]
pub struct Open {
    /// The line as it came.
    pub raw: Bytes,
    /// The id, fresh for each connection.
    pub id: Bytes,
    /// `c`: the class.
    pub class: String,
    /// `t`: the tenant.
    pub tenant: Option<String>,
    /// `g`: the client, or its group.
    pub group: Option<String>,
    /// `d`: how long the client waits.
    pub wait: Option<Span>,
    /// `h`: a guess at the load.
    pub load: Option<f64>,
    /// `at`: the server that held the connection before the run.
    pub at: Option<String>,
    /// Where the value of `d` stands in `raw`.
    wait_at: Option<(usize, usize)>,
}

impl Open {
    /// Reads an `OPEN` line.
    ///
    /// # Errors
    ///
    /// Fails where the line has another form or lacks the class or the wait.
    pub fn parse(raw: Bytes) -> Result<Self, OpenError> {
        let line = text(&raw).ok_or(OpenError::Form)?;
        let mut parts = line.split(' ');
        let (Some("OPEN"), Some(id), Some(key), Some(list), None) =
            (parts.next(), parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(OpenError::Form);
        };
        if id.is_empty() || key.is_empty() || !line.bytes().all(|byte| (b' '..=b'~').contains(&byte)) {
            return Err(OpenError::Form);
        }
        if id.len().max(key.len()) > MAX_FIELD {
            return Err(OpenError::Bounds);
        }
        let id = raw.slice(5..5 + id.len());
        let mut names = Vec::with_capacity(8);
        let (mut class, mut tenant, mut group, mut at) = (None, None, None, None);
        let (mut wait, mut wait_at, mut load) = (None, None, None);
        let mut from = line.len() - list.len();
        for pair in list.split(',') {
            let start = from;
            from += pair.len() + 1;
            let (name, value) = pair.split_once('=').ok_or(OpenError::Form)?;
            if pair.len() > MAX_FIELD || names.len() == MAX_NAMES {
                return Err(OpenError::Bounds);
            }
            if names.contains(&name) {
                return Err(OpenError::Twice);
            }
            names.push(name);
            match name {
                "c" => class = Some(value.to_owned()),
                "t" => tenant = Some(value.to_owned()),
                "g" => group = Some(value.to_owned()),
                "at" => at = Some(value.to_owned()),
                "d" => {
                    let ms = figure(value).ok_or(OpenError::Value("d"))?;
                    wait = Some(Span::from_micros((ms * 1e3) as i64));
                    wait_at = Some((start + 2, start + pair.len()));
                }
                "h" => load = Some(figure(value).ok_or(OpenError::Value("h"))?),
                _ => {}
            }
        }
        let class = class.ok_or(OpenError::Missing("c"))?;
        match wait {
            None if at.is_none() => return Err(OpenError::Missing("d")),
            // A connection from before the run waits for no answer, and its line says as much.
            Some(wait) if at.is_none() && wait.as_secs() * 1e3 > MAX_WAIT_MS => {
                return Err(OpenError::Value("d"));
            }
            _ => {}
        }
        Ok(Self { id, class, tenant, group, wait, load, at, wait_at, raw })
    }

    /// The line as a server gets it: unchanged but for `d`, which tells how long the gateway waits.
    pub fn forward(&self, wait: Span) -> Bytes {
        let Some((from, to)) = self.wait_at else { return self.raw.clone() };
        let ms = (wait.as_micros() / 1000).max(1).to_string();
        [&self.raw[..from], ms.as_bytes(), &self.raw[to..]].concat().into()
    }
}

/// A plain decimal number from 0 on: no sign, no exponent, no name such as `inf`.
fn figure(text: &str) -> Option<f64> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|figure: &f64| digits && *figure <= 1e12)
}

/// The ids of requests and connections that are not over, for all clients of a gateway.
#[derive(Debug, Clone, Default)]
pub struct OpenIds(Arc<Mutex<HashSet<Bytes>>>);

/// Holds an id; gives it back when dropped.
#[derive(Debug)]
pub struct Claim {
    ids: OpenIds,
    id: Bytes,
}

impl OpenIds {
    /// Takes an id that no one else holds. A second bearer would be a second copy of the first's
    /// request at a server, so it gets none.
    pub fn claim(&self, id: &[u8]) -> Option<Claim> {
        // A copy, so that it does not keep the whole line in memory.
        let id = Bytes::copy_from_slice(id);
        let new = self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        new.then(|| Claim { ids: self.clone(), id })
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.ids.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}

/// What a client's line asks of the gateway.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientEvent {
    /// The front asks whether this gateway is there: answer [`PONG`].
    Ping,
    /// A connection is asked for.
    Open(Box<Open>),
    /// A line for the server.
    Pass(Bytes),
    /// Not understood: answer [`FAILED`] and end.
    Bad(OpenError),
}

/// What a gateway answers to `PING`.
pub const PONG: &[u8] = b"PONG\r\n";
/// A failed final answer.
pub const FAILED: &[u8] = b"ERR\r\n";
/// Sends a client away politely.
pub const MOVE: &[u8] = b"MOVE\r\n";

/// A refusal, with the wait in milliseconds where one is advised.
pub fn busy(wait: Span) -> Bytes {
    match wait.as_micros() / 1000 {
        ..=0 => Bytes::from_static(b"BUSY\r\n"),
        ms => format!("BUSY {ms}\r\n").into(),
    }
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
    pub fn up(&mut self) {
        self.up = true;
    }

    /// Takes one line in.
    pub fn line(&mut self, line: Bytes) -> ClientEvent {
        if self.up {
            return ClientEvent::Pass(line);
        }
        if self.opened {
            // The client should wait; a few lines are kept for the server, but never a second
            // `OPEN`, and no more than a bounded buffer.
            let (lines, bytes) = (self.early.0 + 1, self.early.1 + line.len());
            if lines > MAX_EARLY.0 || bytes > MAX_EARLY.1 || line.starts_with(b"OPEN") {
                return ClientEvent::Bad(OpenError::Early);
            }
            self.early = (lines, bytes);
            return ClientEvent::Pass(line);
        }
        if &line[..] == b"PING\r\n" {
            return ClientEvent::Ping;
        }
        match Open::parse(line) {
            Ok(open) => {
                self.opened = true;
                ClientEvent::Open(Box::new(open))
            }
            Err(error) => ClientEvent::Bad(error),
        }
    }
}

/// What a server's line means.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerEvent {
    /// The connection stands; the line goes to the client.
    Up(Bytes),
    /// The attempt is over before anything stood.
    Over(Outcome),
    /// A line for the client.
    Pass(Bytes),
    /// A line for the client that tells the connection's load, in microseconds of work a second.
    Load(Bytes, f64),
    /// A line for the client after which the server ends the connection.
    Last(Bytes),
}

/// The server's side of one attempt and of the connection that may come of it.
#[derive(Debug, Default)]
pub struct ServerSide {
    written: bool,
    up: bool,
    last: Option<Outcome>,
}

impl ServerSide {
    /// The first line's last byte has been written: from here on it may have run.
    pub fn written(&mut self) {
        self.written = true;
    }

    /// Takes one line in.
    pub fn line(&mut self, line: Bytes) -> ServerEvent {
        let words = text(&line).unwrap_or("");
        let (word, rest) = words.split_once(' ').unwrap_or((words, ""));
        if self.up {
            return match word {
                "BYE" => self.ends(Outcome::Ok, line),
                "MOVE" => self.ends(Outcome::Cancelled, line),
                "LOAD" => match rest.trim().parse::<f64>() {
                    Ok(load) if load.is_finite() => ServerEvent::Load(line, load),
                    _ => ServerEvent::Pass(line),
                },
                _ => ServerEvent::Pass(line),
            };
        }
        match word {
            "UP" => {
                self.up = true;
                ServerEvent::Up(line)
            }
            "BUSY" => ServerEvent::Over(Outcome::QueueFull),
            "MOVE" => ServerEvent::Over(Outcome::Cancelled),
            _ => ServerEvent::Over(Outcome::Failed),
        }
    }

    fn ends(&mut self, outcome: Outcome, line: Bytes) -> ServerEvent {
        self.last = Some(outcome);
        ServerEvent::Last(line)
    }

    /// What it means that the connection ends or breaks here.
    pub fn end(&self) -> Outcome {
        match self.last {
            Some(outcome) => outcome,
            None if self.written => Outcome::Reset,
            None => Outcome::ConnectError,
        }
    }
}
