//! State of one QUIC connection and its paths.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::{InitialIds, MAX_DATAGRAM_LENGTH};
use crate::decision::interface::RequestId;
use crate::quic::ConnectionId;
use crate::quic::header::MIN_INITIAL_DATAGRAM;

/// Maximum number of datagrams of a client that are buffered until its connection is established.
const MAX_BUFFERED_DATAGRAMS: usize = 4;
/// Time since the server's last datagram after which a client's datagram is assumed to expect a response. An
/// earlier datagram may be a mere acknowledgement.
const RESPONSE_EXPECTED_AFTER: Duration = Duration::from_millis(500);
/// Delay after a socket error that the server did not cause.
const READ_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Path of a connection: the socket to the server for one address of the client.
pub(super) struct Path {
    /// Address of the client.
    pub(super) client: SocketAddr,
    /// Socket connected to the server.
    pub(super) socket: Arc<UdpSocket>,
    /// Task that reads the socket. It is aborted when the path is dropped.
    pub(super) reader: AbortHandle,
    /// Time of the client's last datagram on the path.
    pub(super) last_used_at: Instant,
}

impl Drop for Path {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

/// State of a flow, with the number of its attempt.
pub(super) enum FlowState {
    /// No attempt is in flight, and the client's datagrams are buffered.
    Waiting,
    /// The attempt is in flight and has no response yet.
    Connecting(u32),
    /// The connection of the attempt is established.
    Established(u32),
}

/// QUIC connection of a client, as the front end forwards it.
pub(super) struct Flow {
    pub(super) state: FlowState,
    /// Address of the server; `None` before the first attempt.
    pub(super) server: Option<SocketAddr>,
    /// Connection ids of the client's first Initial; `None` if the connection was established before this
    /// process received any of its datagrams.
    pub(super) initial_ids: Option<InitialIds>,
    /// Connection id of the server that the client used last.
    pub(super) last_server_connection_id: ConnectionId,
    /// Address of the client to which the server sent its last datagram.
    pub(super) client: SocketAddr,
    /// Datagrams of the client received before the connection was established.
    pub(super) buffered: Vec<Bytes>,
    pub(super) paths: Vec<Path>,
    /// Time of the last datagram in either direction.
    pub(super) last_activity_at: Instant,
    /// Time of the server's last datagram, initially the start of the flow.
    last_response_at: Instant,
    /// Whether the client is waiting for a response of the server.
    awaiting_response: bool,
}

impl Flow {
    /// Creates a flow that starts with this datagram.
    pub(super) fn new(destination: ConnectionId, client: SocketAddr, datagram: &[u8]) -> Self {
        let now = Instant::now();
        Self {
            state: FlowState::Waiting,
            server: None,
            initial_ids: None,
            last_server_connection_id: destination,
            client,
            buffered: vec![Bytes::copy_from_slice(datagram)],
            paths: Vec::new(),
            last_activity_at: now,
            last_response_at: now,
            awaiting_response: false,
        }
    }

    /// Returns the number of the attempt that is in flight or established.
    pub(super) fn attempt(&self) -> Option<u32> {
        match self.state {
            FlowState::Waiting => None,
            FlowState::Connecting(attempt) | FlowState::Established(attempt) => Some(attempt),
        }
    }

    pub(super) fn is_connecting(&self) -> bool {
        matches!(self.state, FlowState::Connecting(_))
    }

    pub(super) fn is_established(&self) -> bool {
        matches!(self.state, FlowState::Established(_))
    }

    /// Records a datagram of the client, which is buffered if the connection is not established.
    pub(super) fn record_client_datagram(&mut self, destination: ConnectionId, datagram: &[u8]) {
        self.last_activity_at = Instant::now();
        if self.is_established() {
            if self.initial_ids.is_none_or(|ids| ids.destination != destination) {
                self.last_server_connection_id = destination;
            }
        } else if self.buffered.len() < MAX_BUFFERED_DATAGRAMS {
            self.buffered.push(Bytes::copy_from_slice(datagram));
        }
    }

    /// Checks after a client's datagram whether the client starts waiting for a response, and records it.
    /// Returns false if the client was already waiting.
    pub(super) fn starts_awaiting_response(&mut self) -> bool {
        let starts = self.is_established()
            && !self.awaiting_response
            && self.last_activity_at.duration_since(self.last_response_at) >= RESPONSE_EXPECTED_AFTER;
        self.awaiting_response |= starts;
        starts
    }

    /// Records a datagram of the server; returns whether the client was waiting for a response.
    pub(super) fn record_server_datagram(&mut self) -> bool {
        let now = Instant::now();
        self.last_activity_at = now;
        self.last_response_at = now;
        std::mem::take(&mut self.awaiting_response)
    }

    /// Marks the connection as established once the server has issued its first connection id.
    pub(super) fn establish(&mut self, attempt: u32, server_connection_id: ConnectionId) {
        self.state = FlowState::Established(attempt);
        self.last_server_connection_id = server_connection_id;
        self.buffered = Vec::new();
    }

    /// Starts an attempt and returns the datagrams to send to the server.
    ///
    /// A new connection retains them for further attempts. A restored connection does not, because it has
    /// only one attempt.
    pub(super) fn start_attempt(&mut self, attempt: u32, server: SocketAddr) -> Vec<Bytes> {
        self.server = Some(server);
        if self.initial_ids.is_some() {
            self.state = FlowState::Connecting(attempt);
            self.buffered.clone()
        } else {
            self.state = FlowState::Established(attempt);
            std::mem::take(&mut self.buffered)
        }
    }

    /// Returns the length in bytes of the datagram that triggers a stateless reset, which limits the reset's
    /// length.
    pub(super) fn trigger_length(&self) -> usize {
        self.buffered.first().map_or(MIN_INITIAL_DATAGRAM, Bytes::len)
    }
}

/// Datagram received from a server, or the error that ended the reader of its path.
pub(super) struct ServerDatagram {
    pub(super) id: RequestId,
    pub(super) attempt: u32,
    /// Address of the client. The datagram was received on the path of this client.
    pub(super) client: SocketAddr,
    pub(super) datagram: io::Result<Bytes>,
}

/// Reader of a path's socket, with the connection and attempt to which its datagrams belong.
pub(super) struct PathReader {
    pub(super) id: RequestId,
    pub(super) attempt: u32,
    /// Address of the client.
    pub(super) client: SocketAddr,
    /// Channel to the front end.
    pub(super) datagrams: mpsc::Sender<ServerDatagram>,
}

impl PathReader {
    /// Reads a path's socket until the server's host refuses a datagram or the path is closed.
    ///
    /// Other errors come from this machine or the network and are temporary. They are no evidence against the
    /// server.
    pub(super) async fn run(self, socket: Arc<UdpSocket>) {
        let mut buffer = [0; MAX_DATAGRAM_LENGTH];
        loop {
            let datagram = match socket.recv(&mut buffer).await {
                Ok(length) => Ok(Bytes::copy_from_slice(&buffer[..length])),
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Err(error),
                Err(_) => {
                    tokio::time::sleep(READ_RETRY_DELAY).await;
                    continue;
                }
            };
            let has_failed = datagram.is_err();
            let PathReader { id, attempt, client, .. } = self;
            if self.datagrams.send(ServerDatagram { id, attempt, client, datagram }).await.is_err()
                || has_failed
            {
                return;
            }
        }
    }
}
