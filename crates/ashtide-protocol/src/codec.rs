//! Cuts a stream of bytes into lines.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// Longest line, its CRLF included.
pub const MAX_LINE: usize = 4096;

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
