//! The `OPEN` line, with which a client requests a connection: parsed by gateways and mock servers, written
//! by clients.

use std::ops::Range;
use std::time::Duration;

use bytes::Bytes;

use crate::{MAX_LINE, text};

/// Maximum length in bytes of the id and the key of an `OPEN` line, and of each `name=value` pair of its
/// list. Usual ids have 16 characters, and usual names a few more.
pub const MAX_FIELD: usize = 128;
/// Maximum number of pairs in the list of an `OPEN` line.
const MAX_PAIRS: usize = 32;
/// Maximum time-out that a client may request, in milliseconds. The classes' own deadlines are a matter of
/// seconds.
const MAX_CLIENT_TIMEOUT_MS: f64 = 600_000.0;
/// Maximum value of a number in an `OPEN` line.
const MAX_NUMBER: f64 = 1e12;

/// An error in a client's first line, or in the lines that follow before its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// A line of another form than `OPEN ID KEY LIST`.
    #[error("not an OPEN line")]
    Form,
    /// An invalid or too large number under this name.
    #[error("bad value of '{0}'")]
    Value(&'static str),
    /// No value under this name, which the list must contain.
    #[error("'{0}' is missing")]
    Missing(&'static str),
    /// A name with two values. The server might use another one of the two than the gateway.
    #[error("a name is there twice")]
    Twice,
    /// A field of over [`MAX_FIELD`] bytes, or a list of too many pairs.
    #[error("too long a field or list")]
    Bounds,
    /// A second request, or more lines than the gateway buffers, before the answer to the first request.
    #[error("too much before the answer")]
    Early,
}

/// A parsed `OPEN` line.
#[derive(Debug, Clone, PartialEq)]
pub struct Open {
    /// The line as it was received.
    pub raw: Bytes,
    /// The id of the attempt, new for each connection.
    pub id: Bytes,
    /// Name of the request's class (`c`).
    pub class: String,
    /// Name of the tenant (`t`), if given.
    pub tenant: Option<String>,
    /// Name of the client or of its group (`g`), if given.
    pub group: Option<String>,
    /// Duration for which the client waits for its answer (`d`).
    pub client_timeout: Option<Duration>,
    /// Estimate of the connection's load (`h`), in the unit of the settings, if given.
    pub expected_load: Option<f64>,
    /// Name of the server to which the connection was established before the gateway's start (`at`). `None`
    /// if the request is for a new connection.
    pub restored_server: Option<String>,
    /// Whether this attempt repeats one that did not establish a connection (`r=1`).
    pub is_retry: bool,
    /// Whether the client reconnects after its connection was moved or broke (`again=1`).
    pub is_reconnect: bool,
    /// Byte range of the value of `d` in `raw`.
    timeout_range: Option<Range<usize>>,
}

impl Open {
    /// Parses an `OPEN` line.
    ///
    /// # Errors
    ///
    /// Fails if the line has another form, exceeds a bound, or lacks the class or the time-out. The time-out
    /// may be missing if the line gives the server of a restored connection.
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
        let (mut class, mut tenant, mut group, mut restored_server) = (None, None, None, None);
        let (mut client_timeout, mut timeout_range, mut expected_load) = (None, None, None);
        let (mut is_retry, mut is_reconnect) = (false, false);
        let mut next_start = line.len() - list.len();
        for pair in list.split(',') {
            let start = next_start;
            next_start += pair.len() + 1;
            let (name, value) = pair.split_once('=').ok_or(OpenError::Form)?;
            if pair.len() > MAX_FIELD || names.len() == MAX_PAIRS {
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
                "at" => restored_server = Some(value.to_owned()),
                "r" => is_retry = value == "1",
                "again" => is_reconnect = value == "1",
                "d" => {
                    let ms = parse_number(value).ok_or(OpenError::Value("d"))?;
                    client_timeout = Some(Duration::from_micros((ms * 1e3) as u64));
                    timeout_range = Some(start + 2..start + pair.len());
                }
                "h" => expected_load = Some(parse_number(value).ok_or(OpenError::Value("h"))?),
                _ => {}
            }
        }
        let class = class.ok_or(OpenError::Missing("c"))?;
        match client_timeout {
            None if restored_server.is_none() => return Err(OpenError::Missing("d")),
            // The time-out of a restored connection is not bounded, as its client waits for no answer.
            Some(timeout)
                if restored_server.is_none() && timeout.as_secs_f64() * 1e3 > MAX_CLIENT_TIMEOUT_MS =>
            {
                return Err(OpenError::Value("d"));
            }
            _ => {}
        }
        Ok(Self {
            id,
            class,
            tenant,
            group,
            client_timeout,
            expected_load,
            restored_server,
            is_retry,
            is_reconnect,
            timeout_range,
            raw,
        })
    }

    /// Returns the line as it is sent to a server: unchanged except for the value of `d`, which is replaced
    /// by the duration in milliseconds for which the gateway waits, at least 1.
    pub fn forward(&self, timeout: Duration) -> Bytes {
        let Some(range) = &self.timeout_range else { return self.raw.clone() };
        let ms = timeout.as_millis().max(1).to_string();
        [&self.raw[..range.start], ms.as_bytes(), &self.raw[range.end..]].concat().into()
    }
}

/// Parses a decimal number from 0 to [`MAX_NUMBER`], without a sign, an exponent or a name such as `inf`.
fn parse_number(text: &str) -> Option<f64> {
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|number: &f64| is_decimal && *number <= MAX_NUMBER)
}

/// An error in the parameters of an `OPEN` line, which prevents its encoding.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OpenParametersError {
    /// An empty value of this field.
    #[error("{0}: is empty")]
    Empty(&'static str),
    /// A field longer than [`MAX_FIELD`] bytes.
    #[error("{field}: {length} characters, {MAX_FIELD} at most")]
    TooLong {
        /// Name of the field.
        field: &'static str,
        /// Length of the field in bytes, including its name and `=` in the list.
        length: usize,
    },
    /// A character that would end a field or the line, or that is not printable ASCII.
    #[error("{field}: has the character {found:?}, which an OPEN line cannot carry")]
    Character {
        /// Name of the field.
        field: &'static str,
        /// The first invalid character.
        found: char,
    },
    /// A line of this number of bytes, more than [`MAX_LINE`].
    #[error("OPEN line would have {0} bytes, {MAX_LINE} at most")]
    Line(usize),
}

/// Parameters of a client's request, from which the `OPEN` line of each attempt is written.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct OpenParameters {
    /// Key of the flow, the same for all attempts of a session.
    pub key: String,
    /// Name of the request's class (`c`).
    pub class: String,
    /// Name of the tenant (`t`), if any.
    pub tenant: Option<String>,
    /// Name of the client or of its group (`g`), if any.
    pub group: Option<String>,
    /// Estimate of the connection's load (`h`), in the unit of the settings, if any.
    pub expected_load: Option<f64>,
    /// Whether this attempt repeats one that did not establish a connection (`r=1`).
    pub is_retry: bool,
    /// Whether the client reconnects after its connection was moved or broke (`again=1`).
    pub is_reconnect: bool,
}

impl OpenParameters {
    /// Checks whether an `OPEN` line can be written from these parameters.
    ///
    /// # Errors
    ///
    /// Fails with the first field that is empty, too long, or contains a character that an `OPEN` line cannot
    /// carry.
    pub fn check(&self) -> Result<(), OpenParametersError> {
        check_field("key", &self.key, false)?;
        check_field("class", &self.class, true)?;
        self.tenant.iter().try_for_each(|tenant| check_field("tenant", tenant, true))?;
        self.group.iter().try_for_each(|group| check_field("group", group, true))?;
        match self.expected_load {
            Some(load) if !(0.0..=MAX_NUMBER).contains(&load) => Err(OpenParametersError::Character {
                field: "load",
                found: if load < 0.0 { '-' } else { '?' },
            }),
            _ => Ok(()),
        }
    }

    /// Returns the `OPEN` line of one attempt, with a new `id`. `timeout` is the duration for which the
    /// client waits; it is rounded down to whole milliseconds, but is at least one.
    ///
    /// # Errors
    ///
    /// Fails like [`check`](Self::check), and if the line cannot carry the id.
    pub fn line(&self, id: &str, timeout: Duration) -> Result<Bytes, OpenParametersError> {
        use std::fmt::Write;

        self.check()?;
        check_field("id", id, false)?;
        let mut line = format!("OPEN {id} {} c={}", self.key, self.class);
        // Writing to a string does not fail.
        if let Some(tenant) = &self.tenant {
            let _ = write!(line, ",t={tenant}");
        }
        let _ = write!(line, ",d={}", timeout.as_millis().max(1));
        if let Some(group) = &self.group {
            let _ = write!(line, ",g={group}");
        }
        if let Some(load) = self.expected_load {
            let _ = write!(line, ",h={load}");
        }
        for (name, is_set) in [("r", self.is_retry), ("again", self.is_reconnect)] {
            if is_set {
                let _ = write!(line, ",{name}=1");
            }
        }
        line.push_str("\r\n");
        if line.len() > MAX_LINE { Err(OpenParametersError::Line(line.len())) } else { Ok(line.into()) }
    }
}

/// Checks one field. A field `in_list` must not contain the comma that separates the pairs of the list.
fn check_field(name: &'static str, value: &str, in_list: bool) -> Result<(), OpenParametersError> {
    if value.is_empty() {
        return Err(OpenParametersError::Empty(name));
    }
    // The length of a pair of the list includes its one-letter name and the `=`.
    let length = value.len() + if in_list { 2 } else { 0 };
    if length > MAX_FIELD {
        return Err(OpenParametersError::TooLong { field: name, length });
    }
    let is_invalid = |character: char| !character.is_ascii_graphic() || (in_list && character == ',');
    match value.chars().find(|&character| is_invalid(character)) {
        Some(found) => Err(OpenParametersError::Character { field: name, found }),
        None => Ok(()),
    }
}
