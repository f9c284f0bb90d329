//! Halves of TCP and Unix streams that handle short reads and writes.
//!
//! Tokio's own halves interpret a short read or write as a sign that the socket is drained or full, and wait
//! for the next readiness event. But Linux may return a short count at any time, and reports readiness only
//! once, so that the remaining bytes would wait for an event that is never reported. Only `EWOULDBLOCK` shows
//! that a socket is drained or full (epoll(7)). The halves of this crate therefore remain ready until a call
//! returns `EWOULDBLOCK`.

#![deny(
    clippy::enum_glob_use,
    clippy::many_single_char_names,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    rustdoc::broken_intra_doc_links
)]

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpStream, UnixStream, tcp, unix};

/// Returns whether the call is to be repeated: immediately after an interruption, and once the socket is
/// ready after
/// `EWOULDBLOCK`.
fn should_repeat<T>(result: &io::Result<T>) -> bool {
    let kind = result.as_ref().err().map(io::Error::kind);
    matches!(kind, Some(ErrorKind::WouldBlock | ErrorKind::Interrupted))
}

/// Defines the halves of a stream type and the function that splits a stream into them.
macro_rules! define_halves {
    ($stream:ident, $module:ident, $reader:ident, $writer:ident, $split:ident) => {
        /// The reading half of a stream.
        #[derive(Debug)]
        pub struct $reader($module::OwnedReadHalf);

        /// The writing half of a stream. Dropping it shuts down the sending direction.
        #[derive(Debug)]
        pub struct $writer($module::OwnedWriteHalf);

        /// Splits a stream into halves that handle short reads and writes.
        pub fn $split(stream: $stream) -> ($reader, $writer) {
            let (read, write) = stream.into_split();
            ($reader(read), $writer(write))
        }

        impl $reader {
            /// Waits until bytes or the end of the stream can be read.
            ///
            /// # Errors
            ///
            /// Fails if the runtime is shut down.
            pub async fn readable(&self) -> io::Result<()> {
                self.0.readable().await
            }

            /// Waits until the peer has reset the connection, also while bytes that it sent before are unread.
            ///
            /// # Errors
            ///
            /// Fails if the runtime is shut down.
            pub async fn reset_by_peer(&self) -> io::Result<()> {
                self.0.ready(Interest::ERROR).await.map(|_| ())
            }

            /// Reunites the halves into the original stream.
            ///
            /// # Errors
            ///
            /// Fails if the halves belong to different streams.
            pub fn reunite(self, writer: $writer) -> io::Result<$stream> {
                self.0.reunite(writer.0).map_err(io::Error::other)
            }
        }

        impl AsyncRead for $reader {
            fn poll_read(
                self: Pin<&mut Self>,
                context: &mut Context<'_>,
                buffer: &mut ReadBuf<'_>,
            ) -> Poll<io::Result<()>> {
                let stream: &$stream = self.0.as_ref();
                loop {
                    ready!(stream.poll_read_ready(context))?;
                    let read = stream.try_read_buf(buffer);
                    if !should_repeat(&read) {
                        return Poll::Ready(read.map(|_| ()));
                    }
                }
            }
        }

        impl AsyncWrite for $writer {
            fn poll_write(
                self: Pin<&mut Self>,
                context: &mut Context<'_>,
                bytes: &[u8],
            ) -> Poll<io::Result<usize>> {
                self.poll_write_vectored(context, &[IoSlice::new(bytes)])
            }

            fn poll_write_vectored(
                self: Pin<&mut Self>,
                context: &mut Context<'_>,
                buffers: &[IoSlice<'_>],
            ) -> Poll<io::Result<usize>> {
                let stream: &$stream = self.0.as_ref();
                loop {
                    ready!(stream.poll_write_ready(context))?;
                    let written = match buffers {
                        [buffer] => stream.try_write(buffer),
                        buffers => stream.try_write_vectored(buffers),
                    };
                    if !should_repeat(&written) {
                        return Poll::Ready(written);
                    }
                }
            }

            fn is_write_vectored(&self) -> bool {
                true
            }

            fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
                Pin::new(&mut self.0).poll_flush(context)
            }

            fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
                Pin::new(&mut self.0).poll_shutdown(context)
            }
        }
    };
}

define_halves!(TcpStream, tcp, TcpReader, TcpWriter, split_tcp);
define_halves!(UnixStream, unix, UnixReader, UnixWriter, split_unix);
