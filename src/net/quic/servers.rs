//! Paths to servers, and the handling of servers' datagrams.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout};
use tracing::info;

use super::flow::{Flow, FlowState, Path, PathReader, ServerDatagram};
use super::flow_table::PathAdmission;
use super::{QuicFrontend, SEND_TIMEOUT};
use crate::decision::interface::{Outcome, RequestId};
use crate::metrics::Counter;
use crate::net::messages::SessionEvent;
use crate::quic::initial::{self, CONNECTION_REFUSED, Side};
use crate::quic::{ConnectionId, Header, LongPacketType};

/// Decision on a datagram of a server.
enum Verdict {
    /// The datagram is forwarded to the client.
    Forward,
    /// The datagram is a Retry, which is forwarded to the client but does not establish the connection.
    ForwardRetry,
    /// The server has ended the attempt with this outcome.
    AttemptEnded(Outcome),
    /// The datagram contains no packet that is valid in the connection's state.
    Malformed,
}

impl QuicFrontend {
    /// Sends a datagram on the path of a client's address.
    pub(super) async fn send_to_server(&mut self, id: RequestId, client: SocketAddr, datagram: &[u8]) {
        let Some(path) = self.flows.path_mut(id, client) else { return };
        path.last_used_at = Instant::now();
        // A new socket is not ready until the runtime has polled it. `try_send` would therefore drop the
        // first datagram of every path, and the client would have to retransmit it after a time-out.
        let sent = timeout(SEND_TIMEOUT, path.socket.send(datagram)).await;
        self.drops.send_failed += u64::from(!matches!(sent, Ok(Ok(_))));
    }

    /// Opens a path for a client's address unless it is already open; returns whether it is open now.
    pub(super) async fn open_path(&mut self, id: RequestId, client: SocketAddr) -> bool {
        match self.flows.admit_path(id, client) {
            PathAdmission::AlreadyOpen => true,
            PathAdmission::NoServer => false,
            PathAdmission::NoCapacity => {
                self.drops.rejected += 1;
                false
            }
            PathAdmission::Allowed { attempt, server } => {
                let Some(socket) = self.connect_to_server(server).await else { return false };
                let reader =
                    PathReader { id, attempt, client, datagrams: self.server_datagram_sender.clone() };
                let reader = tokio::spawn(reader.run(socket.clone())).abort_handle();
                self.flows.add_path(
                    id,
                    Path { client, socket, reader, last_used_at: Instant::now() },
                    server,
                );
                true
            }
        }
    }

    /// Opens a socket that is connected to a server, from the front end's IP address.
    async fn connect_to_server(&self, server: SocketAddr) -> Option<Arc<UdpSocket>> {
        let any_port = SocketAddr::new(self.config.listen.ip(), 0);
        let socket = match UdpSocket::bind(any_port).await {
            Ok(socket) => socket,
            Err(error) => {
                info!("quic: cannot bind a socket for server {server}: {error}");
                return None;
            }
        };
        socket.connect(server).await.ok()?;
        Some(Arc::new(socket))
    }

    /// Handles a datagram received from a server, or the error that ended its path's reader.
    pub(super) async fn handle_server_datagram(&mut self, received: ServerDatagram) {
        let ServerDatagram { id, attempt, client, datagram } = received;
        let Some(flow) = self.flows.get_mut(id).filter(|flow| flow.attempt() == Some(attempt)) else {
            return;
        };
        let Ok(datagram) = datagram else {
            // The server's host reports that its port is closed.
            let outcome = if flow.is_connecting() { Outcome::ConnectError } else { Outcome::Reset };
            return self.end_attempt(id, attempt, outcome).await;
        };
        let is_response = flow.record_server_datagram();
        match self.inspect_server_packet(id, attempt, &datagram).await {
            Verdict::Malformed => return self.drops.malformed += 1,
            Verdict::AttemptEnded(outcome) => return self.end_attempt(id, attempt, outcome).await,
            Verdict::Forward => {}
            Verdict::ForwardRetry => return self.send_to_client(&datagram, client).await,
        }
        // A reset may be sent only to an address to which the server has responded.
        if let Some(flow) = self.flows.get_mut(id) {
            flow.client = client;
        }
        self.send_to_client(&datagram, client).await;
        if is_response {
            self.event_loop.send(SessionEvent::ServerResponded { id }).await;
        }
    }

    /// Returns the verdict on a packet of a server, and records the connection id that it issues.
    async fn inspect_server_packet(&mut self, id: RequestId, attempt: u32, datagram: &[u8]) -> Verdict {
        let is_connecting = self.flows.get(id).is_some_and(Flow::is_connecting);
        match Header::parse(datagram, 0) {
            Ok(Header::Long { packet_type, source_id, .. }) if is_connecting => {
                self.inspect_first_response(id, attempt, packet_type, source_id, datagram).await
            }
            Ok(Header::Long { source_id, .. }) => {
                self.connection_ids.insert(source_id, id);
                Verdict::Forward
            }
            Ok(Header::Short { .. }) if !is_connecting => Verdict::Forward,
            Ok(Header::VersionNegotiation { .. } | Header::OtherVersion { .. }) if is_connecting => {
                Verdict::AttemptEnded(Outcome::Failed)
            }
            _ => Verdict::Malformed,
        }
    }

    /// Returns the verdict on a response before the connection is established. Any response except a Retry or
    /// one that closes the connection establishes it.
    async fn inspect_first_response(
        &mut self,
        id: RequestId,
        attempt: u32,
        packet_type: LongPacketType,
        server_connection_id: ConnectionId,
        datagram: &[u8],
    ) -> Verdict {
        let Some(flow) = self.flows.get_mut(id) else { return Verdict::Malformed };
        let Some(ids) = &mut flow.initial_ids else { return Verdict::Malformed };
        if packet_type == LongPacketType::Retry {
            // The client sends its next Initial to this id, from which the Initial keys are derived.
            ids.destination = server_connection_id;
            self.connection_ids.insert(server_connection_id, id);
            return Verdict::ForwardRetry;
        }
        let packet = initial::open(datagram, &ids.destination, Side::Server);
        if let Some((code, _)) = packet.and_then(|packet| initial::find_connection_close(&packet.frames)) {
            let is_rejection = code == CONNECTION_REFUSED;
            return Verdict::AttemptEnded(if is_rejection { Outcome::QueueFull } else { Outcome::Failed });
        }
        // The client has reset tokens only for connection ids that the server has issued.
        flow.establish(attempt, server_connection_id);
        self.event_loop.send(SessionEvent::AttemptEstablished { id, attempt }).await;
        self.event_loop.count(Counter::Established, &self.config.class);
        self.connection_ids.insert(server_connection_id, id);
        Verdict::Forward
    }

    /// Ends an attempt and reports its outcome. An established connection is reset.
    pub(super) async fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        self.flows.close_paths(id);
        if let Some(flow) = self.flows.get_mut(id) {
            if flow.is_established() {
                self.reset_flow(id).await;
            } else {
                flow.state = FlowState::Waiting;
            }
        }
        self.report_attempt_end(id, attempt, outcome).await;
    }
}
