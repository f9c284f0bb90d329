//! Discovery: the server list, and the chunked HTTP answer in which a watch tells its changes.

pub mod start_times;

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_inline_default::serde_inline_default;
use tokio_util::codec::Decoder;

use crate::decision::interface::{ServerState, Span, Time};

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Longest object of a watch, however it is broken into lines: thousands of entries.
const MAX_OBJECT_BYTES: usize = 1 << 20;
/// Longest chunk-size line, its extension included.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
/// A watch on which nothing changes says so this often (PROTOCOL, "Discovery").
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2000);
/// A watch is silent a little after one beat has failed to come, whatever bytes come: what it misses counts as
/// told [`TOLD`] after the silence began, and a call for it may take 3 s.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);
/// A call has failed unless it has told something whole by then, from its begin on. Discovery itself fails one
/// that has waited 3 s.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(3500);
/// A change counts as told so long after discovery had it and could be reached (STANDING, "One clock for
/// silence"); with the grace that the rule gives beside, nothing placed until then can break it.
pub const MAX_LIST_STALENESS: Span = Span::from_micros(6_000_000);
/// Longest wait between two calls: [`TOLD`] less a call of 3 s, so that each call can be answered in time.
pub const MAX_POLL_WAIT: Span = Span::from_micros(3_000_000);

/// One entry of the list.
#[serde_inline_default]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The server's name.
    pub name: String,
    /// Where this gateway reaches it.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub group: u32,
    /// Its state.
    pub status: EndpointStatus,
    /// Its size.
    #[serde_inline_default(1.0)]
    pub weight: f64,
    /// Its last start in Unix time, in milliseconds; 0 means long ago.
    #[serde(default)]
    pub since_ms: f64,
}

/// A server's state as the list words it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EndpointStatus {
    /// Takes new connections.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Taken off the list.
    Deleted,
}

impl From<EndpointStatus> for ServerState {
    fn from(status: EndpointStatus) -> Self {
        match status {
            EndpointStatus::Serving => ServerState::Ready,
            EndpointStatus::Draining => ServerState::Draining,
            EndpointStatus::Deleted => ServerState::Removed,
        }
    }
}

/// Name of [`EndpointList`] in the texts of errors, which operators know.
type News = EndpointList;

/// The whole list or changes to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(remote = "News")]
pub struct EndpointList {
    /// The list's version.
    #[serde(default)]
    pub index: u64,
    /// Whether this is the whole list.
    #[serde(default)]
    pub snapshot: bool,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}

impl<'de> Deserialize<'de> for EndpointList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // The derived function.
        Self::deserialize(deserializer)
    }
}

impl Serialize for EndpointList {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        Self::serialize(self, serializer)
    }
}

impl EndpointList {
    /// Whether it can be laid over a list of this version: a whole list always, changes unless they are older.
    /// A service that begins anew counts its versions anew, and what it changed before these changes is unknown.
    pub fn applies_to(&self, version: u64) -> bool {
        self.snapshot || self.index >= version
    }
}

/// How a call or a watch ended, as far as it bears on what is missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchEnd {
    /// A watch in step was closed, reset or left: what was written before its end has come.
    Closed,
    /// Nothing listens where discovery should be.
    ConnectionRefused,
    /// Anything else: silence, or a call that was answered by 503, reset, given up or not understood.
    Failed,
}

/// Until when the list is vouched for. It is told events and their times, and has no socket and no clock.
///
/// While a watch that has answered is in step, the list stands. Whatever ends that, it stands for [`TOLD`] from
/// the last whole object or beat on; for a new process, from its start on. Failures that follow change nothing: a
/// 503, a reset or a time-out shows that something is there, which may have known of a change meanwhile. A
/// connection that is refused shows that nothing is there at that moment, and the time runs from it: discovery
/// could not be reached. It does so only as long as nothing else was found since a watch was in step, and while
/// the list still stands: else a change may count as told already.
#[derive(Debug, Clone, Copy)]
pub struct ListLease {
    /// None while a watch is in step.
    valid_until: Option<Time>,
    /// Something may have listened, and known of changes, since the list was last in step.
    discovery_reached: bool,
}

impl ListLease {
    /// For a process that starts now, with whatever list.
    pub fn new(start: Time) -> Self {
        Self { valid_until: Some(start + MAX_LIST_STALENESS), discovery_reached: false }
    }

    /// Discovery has told a whole object or a beat, and the list is as it says.
    pub fn renew(&mut self) {
        *self = Self { valid_until: None, discovery_reached: false };
    }

    /// A call or watch has ended now; the list was last in step at `since`. Until when it is vouched for, if that
    /// is new.
    pub fn handle_watch_end(&mut self, now: Time, since: Time, end: WatchEnd) -> Option<Time> {
        let before = self.valid_until;
        let until = before.unwrap_or(since + MAX_LIST_STALENESS);
        self.discovery_reached |= end == WatchEnd::Failed;
        let unreached = end == WatchEnd::ConnectionRefused && !self.discovery_reached && now < until;
        let until = if unreached { now + MAX_LIST_STALENESS } else { until };
        self.valid_until = Some(until);
        (before != self.valid_until).then_some(until)
    }

    /// Whether the list stands at this time.
    pub fn is_valid(&self, now: Time) -> bool {
        self.valid_until.is_none_or(|until| now < until)
    }
}

/// Why a watch is over.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The head is no HTTP answer, or the answer is not chunked.
    #[error("not a chunked HTTP answer: {0}")]
    InvalidHead(&'static str),
    /// Discovery would not.
    #[error("status {0}")]
    Status(u16),
    /// The chunks do not follow HTTP.
    #[error("bad chunk")]
    InvalidChunk,
    /// An object is no list.
    #[error("bad list: {0}")]
    InvalidList(#[from] serde_json::Error),
    /// Nothing whole has come for so long, though something is due every [`BEAT`].
    #[error("silent for {0:?}")]
    Silent(Duration),
    /// Changes are older than the list: discovery has begun its versions anew.
    #[error("changes of version {index} to a list of version {had}")]
    StaleChanges {
        /// The list's version.
        had: u64,
        /// That of the changes.
        index: u64,
    },
    /// A head or an object is over its bound.
    #[error("over-long {0}")]
    TooLong(&'static str),
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl WatchError {
    /// What it shows of discovery, where the watch had told something whole or had not.
    pub fn watch_end(&self, in_step: bool) -> WatchEnd {
        match self {
            Self::Io(error) if !in_step && error.kind() == io::ErrorKind::ConnectionRefused => {
                WatchEnd::ConnectionRefused
            }
            Self::Io(_) if in_step => WatchEnd::Closed,
            _ => WatchEnd::Failed,
        }
    }
}

/// What a watch tells.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchEvent {
    /// A list or changes.
    List(EndpointList),
    /// Nothing new: discovery is still there.
    Heartbeat,
}

/// The request that opens a watch for what came after version `after`.
pub fn watch_request(host: &str, after: u64) -> String {
    format!(
        "GET /v1/endpoints?watch=1&after={after} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
}

#[derive(Debug, Default)]
enum CodecState {
    #[default]
    Head,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Finished,
}

/// Reads a watch's answer: head, chunks, and the objects in them, each on a line or on many.
#[derive(Debug, Default)]
pub struct WatchCodec {
    state: CodecState,
    /// What the chunks so far have begun.
    text: BytesMut,
    /// The line break that comes next ends an object, and is no beat.
    object_ended: bool,
    ready_events: VecDeque<WatchEvent>,
    /// What is wrong behind those that are ready: they were told all the same.
    pending_error: Option<WatchError>,
}

impl WatchCodec {
    fn read_head(&mut self, buffer: &mut BytesMut) -> Result<bool, WatchError> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut answer = httparse::Response::new(&mut headers);
        match answer.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => {
                let status = answer.code.unwrap_or_default();
                if status != 200 {
                    return Err(WatchError::Status(status));
                }
                let chunked = answer.headers.iter().any(|h| {
                    h.name.eq_ignore_ascii_case("transfer-encoding")
                        && h.value.eq_ignore_ascii_case(b"chunked")
                });
                if !chunked {
                    return Err(WatchError::InvalidHead("no chunks"));
                }
                buffer.advance(length);
                self.state = CodecState::ChunkSize;
                Ok(true)
            }
            Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
                Err(WatchError::TooLong("head"))
            }
            Ok(httparse::Status::Partial) => Ok(false),
            Err(_) => Err(WatchError::InvalidHead("no HTTP")),
        }
    }

    fn read_chunk_size(&mut self, buffer: &mut BytesMut) -> Result<bool, WatchError> {
        match httparse::parse_chunk_size(buffer) {
            Ok(httparse::Status::Complete((length, size))) => {
                buffer.advance(length);
                self.state = if size == 0 { CodecState::Finished } else { CodecState::ChunkData(size) };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_SIZE_LINE_BYTES => Ok(false),
            _ => Err(WatchError::InvalidChunk),
        }
    }

    fn read_chunk_data(&mut self, left: u64, buffer: &mut BytesMut) -> Result<bool, WatchError> {
        if buffer.is_empty() {
            return Ok(false);
        }
        let take = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
        for line in buffer[..take].split_inclusive(|&byte| byte == b'\n') {
            self.text.extend_from_slice(line);
            if let Err(error) = self.take_objects(line.ends_with(b"\n")) {
                self.pending_error = Some(error);
                return Ok(true);
            }
        }
        if self.text.len() > MAX_OBJECT_BYTES {
            return Err(WatchError::TooLong("object"));
        }
        buffer.advance(take);
        let left = left - take as u64;
        self.state = if left == 0 { CodecState::ChunkEnd } else { CodecState::ChunkData(left) };
        Ok(true)
    }
}

impl WatchCodec {
    /// Takes the objects that are whole off the text; at the end of a line, an empty text is a beat. A text that
    /// cannot be whole yet is not looked at: an object ends with its brace.
    fn take_objects(&mut self, line_ends: bool) -> Result<(), WatchError> {
        let text = self.text.trim_ascii();
        if text.is_empty() {
            if line_ends {
                self.text.clear();
                if !std::mem::take(&mut self.object_ended) {
                    self.ready_events.push_back(WatchEvent::Heartbeat);
                }
            }
            return Ok(());
        }
        if text.starts_with(b"{") && !text.ends_with(b"}") {
            return Ok(());
        }
        let mut objects = serde_json::Deserializer::from_slice(&self.text).into_iter();
        let mut whole = 0;
        loop {
            match objects.next() {
                Some(Ok(news)) => {
                    whole = objects.byte_offset();
                    self.ready_events.push_back(WatchEvent::List(news));
                }
                Some(Err(error)) if !error.is_eof() => return Err(error.into()),
                Some(Err(_)) | None => break,
            }
        }
        self.text.advance(whole);
        self.object_ended = self.text.trim_ascii().is_empty() && !line_ends;
        if self.text.trim_ascii().is_empty() {
            self.text.clear();
        }
        Ok(())
    }
}

impl Decoder for WatchCodec {
    type Item = WatchEvent;
    type Error = WatchError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<WatchEvent>, WatchError> {
        loop {
            if let Some(event) = self.ready_events.pop_front() {
                return Ok(Some(event));
            }
            if let Some(error) = self.pending_error.take() {
                return Err(error);
            }
            let more = match self.state {
                CodecState::Head => self.read_head(buffer)?,
                CodecState::ChunkSize => self.read_chunk_size(buffer)?,
                CodecState::ChunkData(left) => self.read_chunk_data(left, buffer)?,
                CodecState::ChunkEnd if buffer.len() < 2 => false,
                CodecState::ChunkEnd if buffer.starts_with(b"\r\n") => {
                    buffer.advance(2);
                    self.state = CodecState::ChunkSize;
                    true
                }
                CodecState::ChunkEnd => return Err(WatchError::InvalidChunk),
                CodecState::Finished => {
                    buffer.clear();
                    false
                }
            };
            if !more {
                return Ok(None);
            }
        }
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<WatchEvent>, WatchError> {
        self.decode(buffer)
    }
}
