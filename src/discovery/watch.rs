//! The messages of a watch (lists, changes and heartbeats), and how a watch ends.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio_util::codec::Decoder;

use super::endpoints::EndpointList;
use super::http::{ChunkedBody, HttpError};

/// Largest size of an object on one or several lines, in bytes. It is sufficient for thousands of entries.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// The way a call or watch ended, which determines whether changes may have been missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchEnd {
    /// A watch in sync was closed, reset or abandoned; everything written before its end was received.
    Closed,
    /// The connection was refused: no process listens at the address of discovery.
    ConnectionRefused,
    /// Any other end: a silent watch, or a call that got a 503, was reset, cancelled or got an invalid
    /// answer.
    Failed,
}

/// Reason why a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The answer is not the expected chunked HTTP response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// An object is not a valid endpoint list.
    #[error("endpoint list is invalid: {0}")]
    InvalidList(#[from] serde_json::Error),
    /// No complete object or heartbeat was received for this time, although a heartbeat is due every
    /// [`HEARTBEAT_INTERVAL`](super::HEARTBEAT_INTERVAL).
    #[error("no endpoint list or heartbeat received for {0:?}")]
    Silent(Duration),
    /// Changes have an older version than the list, which shows that discovery has restarted its version
    /// numbers.
    #[error(
        "list update has version {changes_version}, older than the endpoint list of version {list_version}"
    )]
    StaleChanges {
        /// Version of the list.
        list_version: u64,
        /// Version of the changes.
        changes_version: u64,
    },
    /// An object exceeds the largest accepted size.
    #[error("object exceeds {MAX_OBJECT_BYTES} bytes")]
    ObjectTooLong,
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl WatchError {
    /// Returns the kind of watch end that this error represents. `in_sync` is whether the watch had sent a
    /// complete object or heartbeat.
    pub fn watch_end(&self, in_sync: bool) -> WatchEnd {
        match self {
            Self::Io(error) if !in_sync && error.kind() == io::ErrorKind::ConnectionRefused => {
                WatchEnd::ConnectionRefused
            }
            Self::Io(_) if in_sync => WatchEnd::Closed,
            _ => WatchEnd::Failed,
        }
    }
}

/// A message of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchEvent {
    /// The complete endpoint list, or changes to it.
    List(EndpointList),
    /// A heartbeat, which shows that discovery is reachable and the list is unchanged.
    Heartbeat,
}

/// Decoder of a watch's answer. The chunks contain objects, each on one or several lines, and empty lines as
/// heartbeats.
#[derive(Debug, Default)]
pub struct WatchCodec {
    body: ChunkedBody,
    /// Content that is not a complete object yet.
    text: BytesMut,
    /// Whether the next line break ends the line of an object and is not a heartbeat.
    object_ended: bool,
    /// Decoded events that were not returned yet.
    ready_events: VecDeque<WatchEvent>,
    /// An error that is returned after the ready events.
    pending_error: Option<WatchError>,
}

impl WatchCodec {
    /// Parses content line by line until its end or an error.
    fn read_content(&mut self, content: &[u8]) -> Result<(), WatchError> {
        for line in content.split_inclusive(|&byte| byte == b'\n') {
            self.text.extend_from_slice(line);
            self.take_objects(line.ends_with(b"\n"))?;
        }
        Ok(())
    }

    /// Removes complete objects from the text. At the end of a line, an empty text is a heartbeat. A text
    /// that can't be complete is not parsed, as an object ends with a closing brace.
    fn take_objects(&mut self, at_line_end: bool) -> Result<(), WatchError> {
        let text = self.text.trim_ascii();
        if text.is_empty() {
            if at_line_end {
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
        let parsed_length = self.parse_objects()?;
        self.text.advance(parsed_length);
        let is_empty = self.text.trim_ascii().is_empty();
        self.object_ended = is_empty && !at_line_end;
        if is_empty {
            self.text.clear();
        }
        Ok(())
    }

    /// Parses objects up to the first incomplete one and returns the length of the complete ones, in bytes.
    fn parse_objects(&mut self) -> Result<usize, WatchError> {
        let mut objects = serde_json::Deserializer::from_slice(&self.text).into_iter();
        let mut parsed_length = 0;
        loop {
            match objects.next() {
                Some(Ok(list)) => {
                    parsed_length = objects.byte_offset();
                    self.ready_events.push_back(WatchEvent::List(list));
                }
                Some(Err(error)) if !error.is_eof() => return Err(error.into()),
                Some(Err(_)) | None => return Ok(parsed_length),
            }
        }
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
            let Some(content) = self.body.next_data(buffer)? else { return Ok(None) };
            if let Err(error) = self.read_content(&content) {
                self.pending_error = Some(error);
            } else if self.text.len() > MAX_OBJECT_BYTES {
                return Err(WatchError::ObjectTooLong);
            }
        }
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<WatchEvent>, WatchError> {
        self.decode(buffer)
    }
}
