//! Messages between the processes of one gateway. Each message is one line of JSON.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::Decoder;

use super::ProcessState;
use crate::discovery::EndpointList;

/// Upper limit of a message in bytes, its end of line included. It admits an endpoint list of thousands of
/// servers.
pub const MAX_MESSAGE_LENGTH: usize = 1 << 20;

/// Error of reading a message from a sibling.
#[derive(Debug, thiserror::Error)]
pub enum SiblingMessageError {
    /// The message has more than [`MAX_MESSAGE_LENGTH`] bytes, its end of line included.
    #[error("sibling message exceeds {MAX_MESSAGE_LENGTH} bytes")]
    TooLong,
    /// The line is not a JSON message of this version.
    #[error("sibling message is invalid: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Reading from the socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Message to a sibling.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiblingMessage {
    /// Endpoint list of the sender.
    List(EndpointList),
    /// Process state of the sender.
    State(ProcessState),
}

impl SiblingMessage {
    /// Encodes the message with its end of line.
    pub fn encode_line(&self) -> Bytes {
        // Serialization does not fail, as messages contain only strings, numbers and maps with string keys.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line.into()
    }
}

/// Decoder of the messages in a byte stream.
#[derive(Debug, Default)]
pub struct SiblingMessageCodec {
    /// Number of leading bytes of the buffer that are known to contain no end of line, so that they are not
    /// scanned again.
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

    /// Decodes the complete messages that remain; an incomplete last line stays in the buffer.
    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<SiblingMessage>, SiblingMessageError> {
        self.decode(buffer)
    }
}
