//! The line that asks for a connection: read by gateways and stand-ins, written by clients.

use std::time::Duration;

use bytes::Bytes;

use crate::{MAX_LINE, text};

/// Longest id, key, name or value in an `OPEN` line: real ones have 16 characters, names a few more.
pub const MAX_FIELD: usize = 128;
/// Most names in the list of an `OPEN` line.
const MAX_NAMES: usize = 32;
/// Longest wait that a client may ask for, in milliseconds: classes give up after seconds.
const MAX_WAIT_MS: f64 = 600_000.0;

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
    pub client_timeout: Option<Duration>,
    /// `h`: a guess at the load.
    pub expected_load: Option<f64>,
    /// `at`: the server that held the connection before the run.
    pub restored_server: Option<String>,
    /// `r=1`: this attempt repeats one that did not come to anything.
    pub is_retry: bool,
    /// `again=1`: the client's connection was moved or broke.
    pub is_reconnect: bool,
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
        let (mut retry, mut again) = (false, false);
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
                "r" => retry = value == "1",
                "again" => again = value == "1",
                "d" => {
                    let ms = figure(value).ok_or(OpenError::Value("d"))?;
                    wait = Some(Duration::from_micros((ms * 1e3) as u64));
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
            Some(wait) if at.is_none() && wait.as_secs_f64() * 1e3 > MAX_WAIT_MS => {
                return Err(OpenError::Value("d"));
            }
            _ => {}
        }
        Ok(Self {
            id,
            class,
            tenant,
            group,
            client_timeout: wait,
            expected_load: load,
            restored_server: at,
            is_retry: retry,
            is_reconnect: again,
            wait_at,
            raw,
        })
    }

    /// The line as a server gets it: unchanged but for `d`, which tells how long the gateway waits.
    pub fn forward(&self, wait: Duration) -> Bytes {
        let Some((from, to)) = self.wait_at else { return self.raw.clone() };
        let ms = wait.as_millis().max(1).to_string();
        [&self.raw[..from], ms.as_bytes(), &self.raw[to..]].concat().into()
    }
}

/// A plain decimal number from 0 on: no sign, no exponent, no name such as `inf`.
fn figure(text: &str) -> Option<f64> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|figure: &f64| digits && *figure <= 1e12)
}

/// Why an `OPEN` line cannot be written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OpenParametersError {
    /// A field that must have something in it.
    #[error("{0}: is empty")]
    Empty(&'static str),
    /// Over [`MAX_FIELD`] characters.
    #[error("{field}: {length} characters, {MAX_FIELD} at most")]
    TooLong {
        /// Which field.
        field: &'static str,
        /// Its length in bytes.
        length: usize,
    },
    /// A character that ends a field or a line, or is no printable ASCII.
    #[error("{field}: has the character {found:?}, which an OPEN line cannot carry")]
    Character {
        /// Which field.
        field: &'static str,
        /// The first such character.
        found: char,
    },
    /// The whole line would be longer than a line may be.
    #[error("the line would have {0} bytes, {MAX_LINE} at most")]
    Line(usize),
}

/// What a client asks for; one `OPEN` line an attempt follows from it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct OpenParameters {
    /// The flow's key, the same for all attempts of a session.
    pub key: String,
    /// `c`: the class.
    pub class: String,
    /// `t`: the tenant.
    pub tenant: Option<String>,
    /// `g`: the client, or its group.
    pub group: Option<String>,
    /// `h`: a guess at the load, as the settings count it.
    pub expected_load: Option<f64>,
    /// `r=1`: this attempt repeats one that did not come to anything.
    pub is_retry: bool,
    /// `again=1`: the client's connection was moved or broke.
    pub is_reconnect: bool,
}

impl OpenParameters {
    /// Whether a line can be written of this; the error names the first field that stands against it.
    ///
    /// # Errors
    ///
    /// Fails where a field is empty, too long, or has a character that an `OPEN` line cannot carry.
    pub fn check(&self) -> Result<(), OpenParametersError> {
        field("key", &self.key, false)?;
        field("class", &self.class, true)?;
        self.tenant.iter().try_for_each(|tenant| field("tenant", tenant, true))?;
        self.group.iter().try_for_each(|group| field("group", group, true))?;
        match self.expected_load {
            Some(load) if !(0.0..=1e12).contains(&load) => Err(OpenParametersError::Character {
                field: "load",
                found: if load < 0.0 { '-' } else { '?' },
            }),
            _ => Ok(()),
        }
    }

    /// The line of one attempt: under a fresh `id`, for a client that waits for `wait`, rounded down to
    /// whole milliseconds but at least one.
    ///
    /// # Errors
    ///
    /// As [`check`](Self::check), and where the id cannot stand in a line.
    pub fn line(&self, id: &str, wait: Duration) -> Result<Bytes, OpenParametersError> {
        use std::fmt::Write;

        self.check()?;
        field("id", id, false)?;
        let mut line = format!("OPEN {id} {} c={}", self.key, self.class);
        // Writing to a string does not fail.
        if let Some(tenant) = &self.tenant {
            let _ = write!(line, ",t={tenant}");
        }
        let _ = write!(line, ",d={}", wait.as_millis().max(1));
        if let Some(group) = &self.group {
            let _ = write!(line, ",g={group}");
        }
        if let Some(load) = self.expected_load {
            let _ = write!(line, ",h={load}");
        }
        for (name, on) in [("r", self.is_retry), ("again", self.is_reconnect)] {
            if on {
                let _ = write!(line, ",{name}=1");
            }
        }
        line.push_str("\r\n");
        if line.len() > MAX_LINE { Err(OpenParametersError::Line(line.len())) } else { Ok(line.into()) }
    }
}

/// Checks one field; those in the list may not hold what separates its pairs.
fn field(name: &'static str, value: &str, listed: bool) -> Result<(), OpenParametersError> {
    if value.is_empty() {
        return Err(OpenParametersError::Empty(name));
    }
    // The name and its `=` count with the value in the list.
    let length = value.len() + if listed { 2 } else { 0 };
    if length > MAX_FIELD {
        return Err(OpenParametersError::TooLong { field: name, length });
    }
    let bad = |c: char| !c.is_ascii_graphic() || (listed && c == ',');
    match value.chars().find(|&c| bad(c)) {
        Some(found) => Err(OpenParametersError::Character { field: name, found }),
        None => Ok(()),
    }
}
