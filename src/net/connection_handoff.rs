//! Standing connections that go from a process that leaves to its successor, sockets and all: no client has
//! to come again for an upgrade. Each is one datagram at a Unix socket in `$TMPDIR`, with the client's and
//! the server's descriptors beside it.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use tokio::io::Interest;
use tokio::net::UnixDatagram;
use tokio::time::timeout;

use crate::handover::{EstablishedConnection, MAX_HANDOFF_LENGTH};

/// How long a connection may wait for room in the successor's queue. Its client is moved then.
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(800);

/// The way to the successor.
#[derive(Debug)]
pub struct Successor {
    /// When the successor started.
    pub rank: u64,
    socket: UnixDatagram,
    /// Connections that are being passed.
    handoffs_in_flight: AtomicUsize,
}

impl Successor {
    /// The way to the process that started then and receives here.
    ///
    /// # Errors
    ///
    /// Fails where nobody receives there.
    pub fn connect(path: &Path, started: u64) -> io::Result<Self> {
        let socket = UnixDatagram::unbound()?;
        socket.connect(path)?;
        Ok(Self { rank: started, socket, handoffs_in_flight: AtomicUsize::new(0) })
    }

    /// Whether connections are on their way.
    pub fn has_handoffs_in_flight(&self) -> bool {
        self.handoffs_in_flight.load(Ordering::Relaxed) > 0
    }

    /// Passes a connection on. Once this succeeds it is the successor's, and the caller's copies of the
    /// descriptors are to be closed without shutting anything down.
    ///
    /// # Errors
    ///
    /// Fails where the successor is gone or takes too long; the connection is still the caller's then.
    pub async fn hand_off(&self, datagram: &[u8], fds: [BorrowedFd<'_>; 2]) -> io::Result<()> {
        self.handoffs_in_flight.fetch_add(1, Ordering::Relaxed);
        let sent = self.socket.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut beside = SendAncillaryBuffer::new(&mut space);
            beside.push(SendAncillaryMessage::ScmRights(&fds));
            sendmsg(&self.socket, &[IoSlice::new(datagram)], &mut beside, SendFlags::NOSIGNAL)?;
            Ok(())
        });
        let sent =
            timeout(HANDOFF_TIMEOUT, sent).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        self.handoffs_in_flight.fetch_sub(1, Ordering::Relaxed);
        sent
    }
}

/// Where a process receives the connections of one that leaves.
#[derive(Debug)]
pub struct HandoffReceiver {
    socket: UnixDatagram,
}

impl HandoffReceiver {
    /// Receives here.
    ///
    /// # Errors
    ///
    /// Fails where the path cannot be bound.
    pub fn bind(path: &Path) -> io::Result<Self> {
        let _ = std::fs::remove_file(path);
        Ok(Self { socket: UnixDatagram::bind(path)? })
    }

    /// The next connection: what goes with it, the client's socket and the server's.
    ///
    /// # Errors
    ///
    /// Fails where the datagram is no connection; its descriptors, if any, are closed.
    pub async fn receive(&self) -> io::Result<(EstablishedConnection, [OwnedFd; 2])> {
        let bad = |why: String| io::Error::new(io::ErrorKind::InvalidData, why);
        let (bytes, fds) = self
            .socket
            .async_io(Interest::READABLE, || {
                let mut bytes = vec![0; MAX_HANDOFF_LENGTH];
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
                let mut beside = RecvAncillaryBuffer::new(&mut space);
                let into = &mut [IoSliceMut::new(&mut bytes)];
                let got = recvmsg(&self.socket, into, &mut beside, RecvFlags::CMSG_CLOEXEC)?;
                let cut = got.flags.intersects(ReturnFlags::TRUNC | ReturnFlags::CTRUNC);
                let fds: Vec<OwnedFd> = beside
                    .drain()
                    .filter_map(|message| match message {
                        RecvAncillaryMessage::ScmRights(fds) => Some(fds),
                        _ => None,
                    })
                    .flatten()
                    .collect();
                bytes.truncate(if cut { 0 } else { got.bytes });
                // The session keeps a part of it for as long as it lasts.
                bytes.shrink_to_fit();
                Ok((bytes, fds))
            })
            .await?;
        let standing =
            EstablishedConnection::decode(Bytes::from(bytes)).map_err(|error| bad(error.to_string()))?;
        let fds = fds.try_into().map_err(|fds: Vec<_>| bad(format!("{} descriptors", fds.len())))?;
        Ok((standing, fds))
    }
}
