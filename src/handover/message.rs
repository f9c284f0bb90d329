//! Messages between the processes of one gateway: a line of JSON each.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::Decoder;

use super::ProcessState;
use crate::discovery::EndpointList;

/// Longest message in bytes, its end of line excluded: a list of thousands of servers.
pub const MAX_MESSAGE_LENGTH: usize = 1 << 20;

/// Why a message cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum SiblingMessageError {
    /// More than [`MAX_MESSAGE_LENGTH`] bytes without an end of line.
    #[error("over {MAX_MESSAGE_LENGTH} bytes")]
    TooLong,
    /// Not a message of this version.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// A message to a sibling.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiblingMessage {
    /// The endpoint list of the sender.
    List(EndpointList),
    /// The state of the sender.
    State(ProcessState),
}

impl SiblingMessage {
    /// Encodes the message with its end of line.
    pub fn encode_line(&self) -> Bytes {
        // Names and numbers only: this does not fail.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line.into()
    }
}

/// Decodes the messages of a stream.
#[derive(Debug, Default)]
pub struct SiblingMessageCodec {
    /// Bytes of the buffer that are known to hold no end of line.
    scanned_length: usize,
}

impl Decoder for SiblingMessageCodec {
    type Item = SiblingMessage;
    type Error = SiblingMessageError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<SiblingMessage>, SiblingMessageError> {
        let unscanned = self.scanned_length.min(buffer.len());
        let line_end = buffer[unscanned..].iter().position(|&byte| byte == b'\n').map(|end| unscanned + end);
        self.scanned_length = if line_end.is_some() { 0 } else { buffer.len() };
        match line_end {
            Some(length) if length < MAX_MESSAGE_LENGTH => {
                let line = buffer.split_to(length + 1);
                Ok(Some(serde_json::from_slice(&line[..length])?))
            }
            None if buffer.len() < MAX_MESSAGE_LENGTH => Ok(None),
            _ => Err(SiblingMessageError::TooLong),
        }
    }

    /// Leaves a last message without an end of line unread.
    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<SiblingMessage>, SiblingMessageError> {
        self.decode(buffer)
    }
}
