//! The HTTP of a watch: its request, and the chunked body of the answer.

use bytes::{Buf, BytesMut};

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Most headers of an answer.
const MAX_HEADERS: usize = 32;
/// Longest chunk-size line, its extension included.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
const LINE_BREAK: &[u8] = b"\r\n";

/// Why an answer cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head is no HTTP.
    #[error("not a chunked HTTP answer: no HTTP")]
    NotHttp,
    /// The body is not chunked.
    #[error("not a chunked HTTP answer: no chunks")]
    NotChunked,
    /// Discovery rejects the request with this status.
    #[error("status {0}")]
    Status(u16),
    /// The chunks do not follow HTTP.
    #[error("bad chunk")]
    InvalidChunk,
    /// The head is too long.
    #[error("over-long head")]
    HeadTooLong,
}

/// The request for a watch on what changed after version `after`.
pub fn watch_request(host: &str, after: u64) -> String {
    format!(
        "GET /v1/endpoints?watch=1&after={after} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
}

#[derive(Debug, Default)]
enum State {
    #[default]
    Head,
    ChunkSize,
    /// So many bytes of the chunk are missing.
    ChunkData(u64),
    ChunkEnd,
    Finished,
}

/// Reads an answer, and returns the content of its chunks.
#[derive(Debug, Default)]
pub(super) struct ChunkedBody {
    state: State,
}

impl ChunkedBody {
    /// The next part of the body; none if more bytes are needed, or if the body is complete.
    ///
    /// # Errors
    ///
    /// Says what does not follow HTTP.
    pub(super) fn next_data(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, HttpError> {
        loop {
            let has_advanced = match self.state {
                State::Head => self.read_head(buffer)?,
                State::ChunkSize => self.read_chunk_size(buffer)?,
                State::ChunkData(missing) => return Ok(self.read_chunk_data(missing, buffer)),
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
        let mut answer = httparse::Response::new(&mut headers);
        let length = match answer.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
                return Err(HttpError::HeadTooLong);
            }
            Ok(httparse::Status::Partial) => return Ok(false),
            Err(_) => return Err(HttpError::NotHttp),
        };
        let status = answer.code.unwrap_or_default();
        if status != 200 {
            return Err(HttpError::Status(status));
        }
        if !answer.headers.iter().any(is_chunked_encoding) {
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

    fn read_chunk_data(&mut self, missing: u64, buffer: &mut BytesMut) -> Option<BytesMut> {
        if buffer.is_empty() {
            return None;
        }
        let length = usize::try_from(missing).unwrap_or(usize::MAX).min(buffer.len());
        let missing = missing - length as u64;
        self.state = if missing == 0 { State::ChunkEnd } else { State::ChunkData(missing) };
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
