//! One TCP connection of the line protocol, read as lines, written as bytes, and closed without losing the
//! last line.
//!
//! Each direction has one buffer, that of its `FramedRead`, which the codec bounds. A line is taken from it
//! only to be written to the other socket, and the next line is read after it has been written. This is the
//! back-pressure.

use std::io::{self, Cursor, Read, Write};
use std::time::Duration;

use ashtide_protocol::{LineCodec, LineError};
use ashtide_stream::{TcpReader, TcpWriter, split_tcp};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Chain};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

/// Time limit for writing the last line, which is delayed only by data that the peer has not read yet. A peer
/// that stops reading for less than this time receives the complete line.
const LAST_LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a socket whose sending side is shut down waits for the peer's end, so that no reset
/// overtakes the last line.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes read and discarded after the last line. A peer that sends more receives a reset.
const MAX_DRAINED_BYTES: usize = 256 << 10;
/// Size in bytes of the buffer for discarded input.
const DRAIN_BUFFER_SIZE: usize = 4096;
/// Initial capacity of a line buffer in bytes. A longer line makes the buffer grow.
const LINE_BUFFER_SIZE: usize = 1024;

/// The input of a connection: first the bytes that another process has read from the socket and not
/// forwarded, then the socket itself.
type Source = Chain<Cursor<Bytes>, TcpReader>;
/// The lines of one direction.
pub(super) type Lines = FramedRead<Source, LineCodec>;

/// A connection with a client or a server.
pub(super) struct LineConnection {
    pub(super) lines: Lines,
    pub(super) writer: TcpWriter,
}

/// Input of a connection while it is relayed.
pub(super) enum Input {
    /// The next line, or the end of the input.
    Line(Option<Result<Bytes, LineError>>),
    /// The peer has reset the connection.
    Reset,
}

/// A socket without a reader, and the bytes that were read from it but not returned as lines.
pub(super) struct DetachedSocket {
    pub(super) stream: std::net::TcpStream,
    pub(super) unread: Bytes,
}

impl LineConnection {
    /// Creates a connection from a socket from which nothing has been read.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self::resume(stream, Bytes::new())
    }

    /// Creates a connection from a socket from which another process has read `read_before`.
    pub(super) fn resume(stream: TcpStream, read_before: Bytes) -> Self {
        let _ = stream.set_nodelay(true);
        let (reader, writer) = split_tcp(stream);
        let source = AsyncReadExt::chain(Cursor::new(read_before), reader);
        Self { lines: FramedRead::with_capacity(source, LineCodec::default(), LINE_BUFFER_SIZE), writer }
    }

    /// Waits until the socket is readable.
    pub(super) async fn readable(&self) -> io::Result<()> {
        self.lines.get_ref().get_ref().1.readable().await
    }

    /// Reads the next line if `may_read`, and otherwise waits until the peer resets the connection. A peer that
    /// has reset it is not waiting for anything, so that its unread lines are not to be forwarded.
    pub(super) async fn next_input(lines: &mut Lines, may_read: bool) -> Input {
        if may_read {
            return Input::Line(lines.next().await);
        }
        let (_, reader) = lines.get_ref().get_ref();
        // An error means that the runtime is shut down.
        let _ = reader.reset_by_peer().await;
        Input::Reset
    }

    /// Checks whether an incomplete line is buffered.
    pub(super) fn has_partial_line(&self) -> bool {
        !self.lines.read_buffer().is_empty()
    }

    /// Returns the socket and its unread bytes, for a handoff to another process or for direct reads before a
    /// close.
    pub(super) fn detach(self) -> io::Result<DetachedSocket> {
        let mut unread = self.lines.read_buffer().clone();
        let (before, reader) = self.lines.into_inner().into_inner();
        let from = usize::try_from(before.position()).unwrap_or(usize::MAX).min(before.get_ref().len());
        unread.extend_from_slice(&before.get_ref()[from..]);
        let stream = reader.reunite(self.writer)?.into_std()?;
        Ok(DetachedSocket { stream, unread: unread.freeze() })
    }

    /// Writes the last line, shuts the sending side down and discards input until the peer ends. A close with
    /// unread input would reset the connection and discard the line. Returns false if the line could not be
    /// written.
    pub(super) async fn finish(mut self, last_line: &[u8]) -> bool {
        if !matches!(timeout(LAST_LINE_TIMEOUT, self.writer.write_all(last_line)).await, Ok(Ok(()))) {
            return false;
        }
        let _ = self.writer.shutdown().await;
        self.discard_input().await;
        true
    }

    /// Reads and discards input, within limits, after the sending side has been shut down. A close with
    /// unread input would reset the connection and discard the data that the peer has not read yet.
    pub(super) async fn discard_input(self) {
        let mut reader = self.lines.into_inner();
        let mut discarded = BytesMut::with_capacity(DRAIN_BUFFER_SIZE);
        let drain = async {
            let mut remaining = MAX_DRAINED_BYTES;
            while let Ok(read @ 1..) = reader.read_buf(&mut discarded).await {
                remaining = remaining.saturating_sub(read);
                if remaining == 0 {
                    return;
                }
                discarded.clear();
            }
        };
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }

    /// Writes the last line and closes without waiting. Input that has arrived is discarded first, as unread
    /// input would turn the close into a reset. Bytes that arrive after the close still cause one.
    pub(super) fn close_immediately(self, last_line: &[u8]) {
        // Reads from the socket directly, as the runtime may not have been notified yet that it is readable.
        let Ok(DetachedSocket { mut stream, .. }) = self.detach() else { return };
        let _ = stream.write(last_line);
        let mut discarded = [0; DRAIN_BUFFER_SIZE];
        for _ in 0..MAX_DRAINED_BYTES / DRAIN_BUFFER_SIZE {
            if !matches!(stream.read(&mut discarded), Ok(1..)) {
                return;
            }
        }
    }

    /// Closes the connection with a reset, as the other side of the relay did.
    pub(super) fn reset(self) {
        if let Ok(stream) = self.lines.into_inner().into_inner().1.reunite(self.writer) {
            let _ = stream.set_zero_linger();
        }
    }
}

/// Returns the rest of a partly written line followed by the last line, as `MOVE` is valid only between
/// lines.
pub(super) fn complete_line(mut partial: Bytes, last_line: &[u8]) -> Bytes {
    let length = partial.remaining() + last_line.len();
    let mut bytes = partial.copy_to_bytes(partial.remaining()).to_vec();
    bytes.reserve_exact(length - bytes.len());
    bytes.extend_from_slice(last_line);
    bytes.into()
}
