//! Handoff of established connections to the successor, so that clients need not reconnect during an upgrade.
//!
//! Each connection is sent as one datagram to a Unix socket in `$TMPDIR`. The descriptors of the client's and
//! the server's socket are ancillary data of the datagram.

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

use crate::handover::{EstablishedConnection, HandoffDecodeError, MAX_HANDOFF_LENGTH};

/// Time limit for a connection to wait for space in the successor's receive queue.
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(800);
/// Time within which the successor claims the id of a connection that was handed off to it. Until then, both
/// processes treat the id as open.
pub(super) const ADOPTION_TIME: Duration = Duration::from_secs(1);
/// Number of descriptors of a connection: the client's socket and the server's.
const DESCRIPTORS_PER_CONNECTION: usize = 2;

/// Reason that a received datagram is not a valid connection.
#[derive(Debug, thiserror::Error)]
enum ReceiveError {
    #[error(transparent)]
    Decode(#[from] HandoffDecodeError),
    #[error("handoff datagram has {0} descriptors, expected {DESCRIPTORS_PER_CONNECTION}")]
    DescriptorCount(usize),
}

impl From<ReceiveError> for io::Error {
    fn from(error: ReceiveError) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error.to_string())
    }
}

/// Connection to the sibling that takes over the established connections.
#[derive(Debug)]
pub struct Successor {
    /// Rank of the process.
    pub rank: u64,
    socket: UnixDatagram,
    handoffs_in_flight: AtomicUsize,
}

impl Successor {
    /// Connects to the process of this rank, which receives connections at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if no process receives at `path`.
    pub fn connect(path: &Path, rank: u64) -> io::Result<Self> {
        let socket = UnixDatagram::unbound()?;
        socket.connect(path)?;
        Ok(Self { rank, socket, handoffs_in_flight: AtomicUsize::new(0) })
    }

    /// Returns whether handoffs are in progress.
    pub fn has_handoffs_in_flight(&self) -> bool {
        self.handoffs_in_flight.load(Ordering::Relaxed) > 0
    }

    /// Transfers a connection to the successor, which owns it on success. The caller must then close its
    /// copies of the descriptors without shutting down the sockets.
    ///
    /// # Errors
    ///
    /// Returns an error if the successor has exited, or if its receive queue has no space within 800 ms. The
    /// caller then still owns the connection.
    pub async fn hand_off(&self, datagram: &[u8], descriptors: [BorrowedFd<'_>; 2]) -> io::Result<()> {
        self.handoffs_in_flight.fetch_add(1, Ordering::Relaxed);
        let send = self.socket.async_io(Interest::WRITABLE, || self.try_send(datagram, &descriptors));
        let sent = timeout(HANDOFF_TIMEOUT, send).await;
        self.handoffs_in_flight.fetch_sub(1, Ordering::Relaxed);
        sent.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    fn try_send(&self, datagram: &[u8], descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_PER_CONNECTION))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        ancillary.push(SendAncillaryMessage::ScmRights(descriptors));
        sendmsg(&self.socket, &[IoSlice::new(datagram)], &mut ancillary, SendFlags::NOSIGNAL)?;
        Ok(())
    }
}

/// Established connection received from a sibling.
#[derive(Debug)]
pub struct ReceivedConnection {
    /// State of the connection.
    pub connection: EstablishedConnection,
    /// Socket of the client.
    pub client: OwnedFd,
    /// Socket of the server.
    pub server: OwnedFd,
}

/// Receives the established connections of a sibling that shuts down.
#[derive(Debug)]
pub struct HandoffReceiver {
    socket: UnixDatagram,
}

impl HandoffReceiver {
    /// Binds the receiver's socket at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the path cannot be bound.
    pub fn bind(path: &Path) -> io::Result<Self> {
        let _ = std::fs::remove_file(path);
        Ok(Self { socket: UnixDatagram::bind(path)? })
    }

    /// Receives the next connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is not a valid connection. Its descriptors are closed.
    pub async fn receive(&self) -> io::Result<ReceivedConnection> {
        let (datagram, descriptors) = self.socket.async_io(Interest::READABLE, || self.try_receive()).await?;
        let connection = EstablishedConnection::decode(Bytes::from(datagram)).map_err(ReceiveError::from)?;
        let [client, server] = descriptors
            .try_into()
            .map_err(|descriptors: Vec<OwnedFd>| ReceiveError::DescriptorCount(descriptors.len()))?;
        Ok(ReceivedConnection { connection, client, server })
    }

    /// Receives a datagram and its descriptors. The datagram is empty if either was truncated.
    fn try_receive(&self) -> io::Result<(Vec<u8>, Vec<OwnedFd>)> {
        let mut datagram = vec![0; MAX_HANDOFF_LENGTH];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_PER_CONNECTION))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let buffers = &mut [IoSliceMut::new(&mut datagram)];
        let received = recvmsg(&self.socket, buffers, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
        let is_truncated = received.flags.intersects(ReturnFlags::TRUNC | ReturnFlags::CTRUNC);
        let descriptors = take_descriptors(&mut ancillary);
        datagram.truncate(if is_truncated { 0 } else { received.bytes });
        // The session retains a part of the datagram for the lifetime of the connection.
        datagram.shrink_to_fit();
        Ok((datagram, descriptors))
    }
}

fn take_descriptors(ancillary: &mut RecvAncillaryBuffer<'_>) -> Vec<OwnedFd> {
    let mut descriptors = Vec::new();
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(received) = message {
            descriptors.extend(received);
        }
    }
    descriptors
}
