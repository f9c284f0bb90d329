//! Hands established connections over to the successor, so that their clients need not reconnect for an upgrade.
//!
//! Each connection is one datagram to a Unix socket in `$TMPDIR`, with the descriptors of the client's and the server's
//! socket as ancillary data.

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

/// How long a connection may wait for room in the successor's receive queue.
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(800);
/// Descriptors of a connection: the client's and the server's.
const DESCRIPTORS_PER_CONNECTION: usize = 2;

/// Why a received datagram is not a connection.
#[derive(Debug, thiserror::Error)]
enum ReceiveError {
    #[error(transparent)]
    Decode(#[from] HandoffDecodeError),
    #[error("{0} descriptors")]
    DescriptorCount(usize),
}

impl From<ReceiveError> for io::Error {
    fn from(error: ReceiveError) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error.to_string())
    }
}

/// The process that takes over the established connections.
#[derive(Debug)]
pub struct Successor {
    /// Rank of the process.
    pub rank: u64,
    socket: UnixDatagram,
    handoffs_in_flight: AtomicUsize,
}

impl Successor {
    /// Connects to the process of this rank that receives at `path`.
    ///
    /// # Errors
    ///
    /// Fails where no process receives there.
    pub fn connect(path: &Path, rank: u64) -> io::Result<Self> {
        let socket = UnixDatagram::unbound()?;
        socket.connect(path)?;
        Ok(Self { rank, socket, handoffs_in_flight: AtomicUsize::new(0) })
    }

    /// Whether connections are being handed over.
    pub fn has_handoffs_in_flight(&self) -> bool {
        self.handoffs_in_flight.load(Ordering::Relaxed) > 0
    }

    /// Hands a connection over. On success it belongs to the successor, and the caller must close its copies of the
    /// descriptors without shutting the sockets down.
    ///
    /// # Errors
    ///
    /// Fails where the successor is gone or has no room in time; the connection still belongs to the caller.
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

/// A connection as it was received.
#[derive(Debug)]
pub struct ReceivedConnection {
    /// State of the connection.
    pub connection: EstablishedConnection,
    /// Socket of the client.
    pub client: OwnedFd,
    /// Socket of the server.
    pub server: OwnedFd,
}

/// Receives the established connections of a process that shuts down.
#[derive(Debug)]
pub struct HandoffReceiver {
    socket: UnixDatagram,
}

impl HandoffReceiver {
    /// Binds the socket at `path`.
    ///
    /// # Errors
    ///
    /// Fails where the path cannot be bound.
    pub fn bind(path: &Path) -> io::Result<Self> {
        let _ = std::fs::remove_file(path);
        Ok(Self { socket: UnixDatagram::bind(path)? })
    }

    /// Receives the next connection.
    ///
    /// # Errors
    ///
    /// Fails where the datagram is no connection; its descriptors, if any, are closed.
    pub async fn receive(&self) -> io::Result<ReceivedConnection> {
        let (datagram, descriptors) = self.socket.async_io(Interest::READABLE, || self.try_receive()).await?;
        let connection = EstablishedConnection::decode(Bytes::from(datagram)).map_err(ReceiveError::from)?;
        let [client, server] = descriptors
            .try_into()
            .map_err(|descriptors: Vec<OwnedFd>| ReceiveError::DescriptorCount(descriptors.len()))?;
        Ok(ReceivedConnection { connection, client, server })
    }

    /// Receives a datagram and its descriptors; the datagram is empty where either was truncated.
    fn try_receive(&self) -> io::Result<(Vec<u8>, Vec<OwnedFd>)> {
        let mut datagram = vec![0; MAX_HANDOFF_LENGTH];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_PER_CONNECTION))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let buffers = &mut [IoSliceMut::new(&mut datagram)];
        let received = recvmsg(&self.socket, buffers, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
        let is_truncated = received.flags.intersects(ReturnFlags::TRUNC | ReturnFlags::CTRUNC);
        let descriptors = take_descriptors(&mut ancillary);
        datagram.truncate(if is_truncated { 0 } else { received.bytes });
        // The session keeps a part of it for as long as the connection lasts.
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
