//! One QUIC connection and its paths.

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

/// Datagrams of a client that are buffered until its server is known.
const MAX_BUFFERED_DATAGRAMS: usize = 4;
/// A client's datagram that comes this long after the server's last one expects a response; an earlier one may only
/// acknowledge.
const RESPONSE_EXPECTED_AFTER: Duration = Duration::from_millis(500);
/// Wait after an error of a path's socket that is not the server's.
const READ_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The socket towards the server for one address of the client.
pub(super) struct Path {
    pub(super) client: SocketAddr,
    pub(super) socket: Arc<UdpSocket>,
    pub(super) reader: AbortHandle,
    pub(super) last_used_at: Instant,
}

impl Drop for Path {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

/// State of a flow.
pub(super) enum FlowState {
    /// No attempt is in flight: datagrams are buffered.
    Waiting,
    /// This attempt is in flight, without a response yet.
    Connecting(u32),
    /// The connection of this attempt is established.
    Established(u32),
}

/// A connection.
pub(super) struct Flow {
    pub(super) state: FlowState,
    pub(super) server: Option<SocketAddr>,
    /// Ids of the client's first Initial; `None` where the connection was established before this process has seen it.
    pub(super) initial_ids: Option<InitialIds>,
    /// Connection id of the server that the client has used last.
    pub(super) last_server_connection_id: ConnectionId,
    /// Address of the client at which the server answers.
    pub(super) client: SocketAddr,
    pub(super) buffered: Vec<Bytes>,
    pub(super) paths: Vec<Path>,
    pub(super) last_activity_at: Instant,
    last_response_at: Instant,
    /// Whether the client waits for a response of the server.
    awaiting_response: bool,
}

impl Flow {
    /// A flow that starts with this datagram.
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

    /// The attempt that is in flight or established.
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

    /// Records a datagram of the client; it is buffered until the connection is established.
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

    /// Whether the client expects a response from now on, and did not before.
    pub(super) fn begins_to_await_response(&mut self) -> bool {
        let begins = self.is_established()
            && !self.awaiting_response
            && self.last_activity_at.duration_since(self.last_response_at) >= RESPONSE_EXPECTED_AFTER;
        self.awaiting_response |= begins;
        begins
    }

    /// Records a datagram of the server; returns whether the client has waited for it.
    pub(super) fn record_server_datagram(&mut self) -> bool {
        let now = Instant::now();
        self.last_activity_at = now;
        self.last_response_at = now;
        std::mem::take(&mut self.awaiting_response)
    }

    /// The server has issued its first connection id.
    pub(super) fn establish(&mut self, attempt: u32, server_connection_id: ConnectionId) {
        self.state = FlowState::Established(attempt);
        self.last_server_connection_id = server_connection_id;
        self.buffered = Vec::new();
    }

    /// Starts an attempt; returns the datagrams to send. A new connection keeps them for further attempts; one that was
    /// established before has none.
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

    /// Length of the datagram that a reset responds to.
    pub(super) fn trigger_length(&self) -> usize {
        self.buffered.first().map_or(MIN_INITIAL_DATAGRAM, Bytes::len)
    }
}

/// A datagram of a server, or why there are no more.
pub(super) struct ServerDatagram {
    pub(super) id: RequestId,
    pub(super) attempt: u32,
    /// Address of the client on whose path it came.
    pub(super) client: SocketAddr,
    pub(super) datagram: io::Result<Bytes>,
}

/// Where a path's reader delivers.
pub(super) struct PathReader {
    pub(super) id: RequestId,
    pub(super) attempt: u32,
    pub(super) client: SocketAddr,
    pub(super) datagrams: mpsc::Sender<ServerDatagram>,
}

impl PathReader {
    /// Reads a path's socket until the server's machine refuses or the path is closed.
    ///
    /// Other errors are of this machine or of the network, and pass: they are no evidence against the server.
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
