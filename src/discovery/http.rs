//! The HTTP messages of a watch: the request, and the chunked body of the response.

use bytes::{Buf, BytesMut};

/// Largest size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Largest number of response headers.
const MAX_HEADERS: usize = 32;
/// Largest size of a chunk-size line including its extension, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
const LINE_BREAK: &[u8] = b"\r\n";

/// Reason why a response is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head is not valid HTTP.
    #[error("response head cannot be parsed as HTTP/1")]
    NotHttp,
    /// The body is not chunked.
    #[error("response body is not chunked; expected 'Transfer-Encoding: chunked'")]
    NotChunked,
    /// Discovery rejected the request with this HTTP status.
    #[error("response has HTTP status {0}, expected 200")]
    Status(u16),
    /// The chunked encoding is invalid.
    #[error("response body has an invalid chunk")]
    InvalidChunk,
    /// The head exceeds the largest accepted size.
    #[error("response head exceeds {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
}

/// Returns the HTTP request for a watch on the changes after version `after`.
pub fn watch_request(host: &str, after: u64) -> String {
    format!(
        "GET /v1/endpoints?watch=1&after={after} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
}

/// The part of the response that is parsed next.
#[derive(Debug, Default)]
enum State {
    #[default]
    Head,
    ChunkSize,
    /// Chunk content, with the number of bytes still to be received.
    ChunkData(u64),
    /// The line break after a chunk.
    ChunkEnd,
    /// The body is complete.
    Finished,
}

/// Decoder of the content of a chunked response.
#[derive(Debug, Default)]
pub(super) struct ChunkedBody {
    state: State,
}

impl ChunkedBody {
    /// Returns the next part of the body; `None` if more bytes are needed or the body is complete.
    ///
    /// # Errors
    ///
    /// Returns why the response is not accepted.
    pub(super) fn next_data(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, HttpError> {
        loop {
            let has_advanced = match self.state {
                State::Head => self.read_head(buffer)?,
                State::ChunkSize => self.read_chunk_size(buffer)?,
                State::ChunkData(remaining) => return Ok(self.read_chunk_data(remaining, buffer)),
                State::ChunkEnd => self.read_chunk_end(buffer)?,
                State::Finished => {
                    buffer.clear();
                    false
                }
            };
            if !has_advanced {
                return Ok(None);
            }
        }
    }

    fn read_head(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
                return Err(HttpError::HeadTooLong);
            }
            Ok(httparse::Status::Partial) => return Ok(false),
            Err(_) => return Err(HttpError::NotHttp),
        };
        let status = response.code.unwrap_or_default();
        if status != 200 {
            return Err(HttpError::Status(status));
        }
        if !response.headers.iter().any(is_chunked_encoding) {
            return Err(HttpError::NotChunked);
        }
        buffer.advance(length);
        self.state = State::ChunkSize;
        Ok(true)
    }

    fn read_chunk_size(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpError> {
        match httparse::parse_chunk_size(buffer) {
            Ok(httparse::Status::Complete((length, size))) => {
                buffer.advance(length);
                self.state = if size == 0 { State::Finished } else { State::ChunkData(size) };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_SIZE_LINE_BYTES => Ok(false),
            _ => Err(HttpError::InvalidChunk),
        }
    }

    fn read_chunk_data(&mut self, remaining: u64, buffer: &mut BytesMut) -> Option<BytesMut> {
        if buffer.is_empty() {
            return None;
        }
        let length = usize::try_from(remaining).unwrap_or(usize::MAX).min(buffer.len());
        let remaining = remaining - length as u64;
        self.state = if remaining == 0 { State::ChunkEnd } else { State::ChunkData(remaining) };
        Some(buffer.split_to(length))
    }

    fn read_chunk_end(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpError> {
        if buffer.len() < LINE_BREAK.len() {
            return Ok(false);
        }
        if !buffer.starts_with(LINE_BREAK) {
            return Err(HttpError::InvalidChunk);
        }
        buffer.advance(LINE_BREAK.len());
        self.state = State::ChunkSize;
        Ok(true)
    }
}

fn is_chunked_encoding(header: &httparse::Header<'_>) -> bool {
    header.name.eq_ignore_ascii_case("transfer-encoding") && header.value.eq_ignore_ascii_case(b"chunked")
}
