//! What a watch sends: lists, changes and heartbeats, and how it ends.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio_util::codec::Decoder;

use super::endpoints::EndpointList;
use super::http::{ChunkedBody, HttpError};

/// Longest object, however it is broken into lines; enough for thousands of entries.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// How a call or watch ended, as far as it bears on changes that may have been missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchEnd {
    /// A watch in sync was closed, reset or left: what was written before its end has come.
    Closed,
    /// Nothing listens where discovery should be.
    ConnectionRefused,
    /// Anything else: silence, or a call that got a 503, was reset, given up or not understood.
    Failed,
}

/// Why a watch is over.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The answer is not the chunked HTTP that is expected.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// An object is no list.
    #[error("bad list: {0}")]
    InvalidList(#[from] serde_json::Error),
    /// Nothing complete has come for this long, though a heartbeat is due every
    /// [`HEARTBEAT_INTERVAL`](super::HEARTBEAT_INTERVAL).
    #[error("silent for {0:?}")]
    Silent(Duration),
    /// Changes are older than the list: discovery has started its versions anew.
    #[error("changes of version {index} to a list of version {had}")]
    StaleChanges {
        /// Version of the list.
        had: u64,
        /// Version of the changes.
        index: u64,
    },
    /// An object is too long.
    #[error("over-long object")]
    ObjectTooLong,
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl WatchError {
    /// What it shows of discovery. `in_sync`: the watch had sent something complete.
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

/// What a watch sends.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchEvent {
    /// The list or changes to it.
    List(EndpointList),
    /// Nothing has changed, and discovery is still there.
    Heartbeat,
}

/// Reads a watch's answer: the objects in its chunks, each on one line or several, and empty lines as heartbeats.
#[derive(Debug, Default)]
pub struct WatchCodec {
    body: ChunkedBody,
    /// Content that is not a complete object yet.
    text: BytesMut,
    /// The next line break ends an object, and is no heartbeat.
    object_ended: bool,
    ready_events: VecDeque<WatchEvent>,
    /// An error behind the ready events, which come before it all the same.
    pending_error: Option<WatchError>,
}

impl WatchCodec {
    /// Takes content, line by line, until it is used up or does not parse.
    fn read_content(&mut self, content: &[u8]) -> Result<(), WatchError> {
        for line in content.split_inclusive(|&byte| byte == b'\n') {
            self.text.extend_from_slice(line);
            self.take_objects(line.ends_with(b"\n"))?;
        }
        Ok(())
    }

    /// Takes complete objects off the text; at the end of a line, an empty text is a heartbeat. A text that cannot be
    /// complete is not parsed: an object ends with its brace.
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

    /// Parses objects until one is incomplete, and returns the length of those before it.
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
