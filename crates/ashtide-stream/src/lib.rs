//! Streams whose reads and writes go on until the system says that the socket is drained or full.
//!
//! The runtime's own halves take a read or write that moves less than it might as the sign that nothing more can be
//! moved, and wait for the next event. Linux allows a short count at any time, and reports readiness once: the rest of
//! the bytes would then wait for an event that never comes. Only `EWOULDBLOCK` says that there is none (epoll(7)).

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

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream, tcp, unix};

/// Whether the call is made again: after an interruption at once, and after `EWOULDBLOCK` when the socket is ready.
fn again<T>(result: &io::Result<T>) -> bool {
    let kind = result.as_ref().err().map(io::Error::kind);
    matches!(kind, Some(ErrorKind::WouldBlock | ErrorKind::Interrupted))
}

macro_rules! halves {
    ($stream:ident, $module:ident, $reader:ident, $writer:ident, $split:ident) => {
        /// The reading half of a stream.
        #[derive(Debug)]
        pub struct $reader($module::OwnedReadHalf);

        /// The writing half of a stream. The sending is shut down when it is dropped.
        #[derive(Debug)]
        pub struct $writer($module::OwnedWriteHalf);

        /// Splits a stream into halves that know short reads and writes.
        pub fn $split(stream: $stream) -> ($reader, $writer) {
            let (read, write) = stream.into_split();
            ($reader(read), $writer(write))
        }

        impl $reader {
            /// Waits until there is something to read, or the end.
            ///
            /// # Errors
            ///
            /// Fails where the runtime ends.
            pub async fn readable(&self) -> io::Result<()> {
                self.0.readable().await
            }

            /// Puts the stream together again.
            ///
            /// # Errors
            ///
            /// Fails where the halves are of two streams.
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
                    if !again(&read) {
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
                parts: &[IoSlice<'_>],
            ) -> Poll<io::Result<usize>> {
                let stream: &$stream = self.0.as_ref();
                loop {
                    ready!(stream.poll_write_ready(context))?;
                    let written = match parts {
                        [part] => stream.try_write(part),
                        parts => stream.try_write_vectored(parts),
                    };
                    if !again(&written) {
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

halves!(TcpStream, tcp, TcpReader, TcpWriter, split_tcp);
halves!(UnixStream, unix, UnixReader, UnixWriter, split_unix);
