//! Codec that splits a byte stream into lines.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// Maximum length of a line in bytes, including its CRLF.
pub const MAX_LINE: usize = 4096;

/// An error after which no further line can be read from a stream.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// A line that does not end within [`MAX_LINE`] bytes.
    #[error("line of over {MAX_LINE} bytes")]
    TooLong,
    /// An error of the socket.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Decoder that yields complete lines. Each line includes its CRLF, so that it can be forwarded unchanged.
#[derive(Debug, Default)]
pub struct LineCodec {
    /// Number of bytes at the start of the buffer that have been searched for a CRLF.
    searched: usize,
}

impl Decoder for LineCodec {
    type Item = Bytes;
    type Error = LineError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, LineError> {
        // The last byte that was searched may be the CR of a CRLF.
        let start = self.searched.min(buffer.len()).saturating_sub(1);
        let end =
            buffer[start..].windows(2).position(|pair| pair == b"\r\n").map(|offset| start + offset + 2);
        self.searched = if end.is_some() { 0 } else { buffer.len() };
        match end {
            Some(end) if end <= MAX_LINE => Ok(Some(buffer.split_to(end).freeze())),
            None if buffer.len() < MAX_LINE => Ok(None),
            _ => Err(LineError::TooLong),
        }
    }

    /// Decodes the remaining lines. Bytes after the last CRLF are not a line, and are left in the buffer.
    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, LineError> {
        self.decode(buffer)
    }
}
