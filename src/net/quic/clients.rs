//! Handling of datagrams received from clients.

use std::net::SocketAddr;

use rand::RngCore;

use super::flow::Flow;
use super::{InitialIds, QuicFrontend};
use crate::decision::interface::{RequestId, Span};
use crate::net::messages::{ConnectionRequest, SessionEvent};
use crate::quic::connection_id_table::Route;
use crate::quic::header::{MIN_INITIAL_DATAGRAM, encode_version_negotiation};
use crate::quic::initial::CONNECTION_REFUSED;
use crate::quic::load_balancing::decode_server_id;
use crate::quic::{ConnectionId, Header, LongPacketType};

/// Minimum length in bytes of a client's first Destination Connection ID (RFC 9000, section 7.2).
const MIN_INITIAL_DESTINATION_ID_LENGTH: usize = 8;
/// Reason phrase in the rejection of a connection that exceeds the connection limit.
const OVER_LIMIT_REASON: &str = "BUSY 1000";

impl QuicFrontend {
    /// Handles a datagram received from a client.
    pub(super) async fn handle_client_datagram(&mut self, datagram: &[u8], client: SocketAddr) {
        match Header::parse(datagram, self.config.id_length) {
            Err(_) | Ok(Header::VersionNegotiation { .. }) => self.drops.malformed += 1,
            Ok(Header::OtherVersion { destination_id, source_id }) => {
                let ids = InitialIds { destination: destination_id, source: source_id };
                self.negotiate_version(ids, datagram.len(), client).await;
            }
            Ok(Header::Long { packet_type, destination_id, source_id }) => {
                let ids = InitialIds { destination: destination_id, source: source_id };
                self.handle_long_header(packet_type, ids, datagram, client).await;
            }
            Ok(Header::Short { destination_id }) => {
                self.handle_short_header(destination_id, datagram, client).await;
            }
        }
    }

    async fn negotiate_version(&mut self, ids: InitialIds, length: usize, client: SocketAddr) {
        if length < MIN_INITIAL_DATAGRAM {
            self.drops.unexpected += 1;
            return;
        }
        if !self.may_answer(client) {
            return;
        }
        let unused_bits = self.rng.next_u32() as u8 & 0x7f;
        let packet = encode_version_negotiation(&ids.source, &ids.destination, unused_bits);
        self.send_to_client(&packet, client).await;
    }

    async fn handle_long_header(
        &mut self,
        packet_type: LongPacketType,
        ids: InitialIds,
        datagram: &[u8],
        client: SocketAddr,
    ) {
        let can_start_connection = packet_type == LongPacketType::Initial
            && datagram.len() >= MIN_INITIAL_DATAGRAM
            && ids.destination.len() >= MIN_INITIAL_DESTINATION_ID_LENGTH;
        match self.connection_ids.route(&ids.destination) {
            Some(Route::Connection(id)) => {
                self.forward_to_server(id, ids.destination, datagram, client).await;
            }
            Some(Route::Answered) => self.drops.already_answered += 1,
            None if can_start_connection => self.start_connection(ids, datagram, client).await,
            None => self.drops.unexpected += 1,
        }
    }

    async fn handle_short_header(&mut self, destination: ConnectionId, datagram: &[u8], client: SocketAddr) {
        match self.connection_ids.route(&destination) {
            Some(Route::Connection(id)) => self.forward_to_server(id, destination, datagram, client).await,
            Some(Route::Answered) => self.drops.already_answered += 1,
            None => self.restore_connection(destination, datagram, client).await,
        }
    }

    fn connection_request(&self) -> ConnectionRequest {
        ConnectionRequest {
            class: self.config.class.clone(),
            tenant: self.config.tenant.clone(),
            group: None,
            client_timeout: Span::from_micros(i64::from(self.config.deadline_ms) * 1000),
            ..ConnectionRequest::default()
        }
    }

    /// Requests a new connection from the event loop.
    async fn start_connection(&mut self, ids: InitialIds, datagram: &[u8], client: SocketAddr) {
        if !self.accepts_new_connections() {
            self.drops.rejected += 1;
            return;
        }
        if !self.flows.has_capacity() {
            self.drops.rejected += 1;
            if !self.may_answer(client) {
                return;
            }
            self.connection_ids.mark_answered(ids.destination);
            return self.reject_initial(ids, client, CONNECTION_REFUSED, OVER_LIMIT_REASON).await;
        }
        let id = self.event_loop.next_request_id();
        let mut flow = Flow::new(ids.destination, client, datagram);
        flow.initial_ids = Some(ids);
        self.connection_ids.insert(ids.destination, id);
        self.flows.insert(id, flow);
        let request = self.connection_request();
        let event = SessionEvent::ConnectionRequested { id, request, commands: self.command_sender.clone() };
        self.event_loop.send(event).await;
    }

    /// Restores a connection that was established before this process received any of its datagrams.
    ///
    /// Servers issue connection ids in encrypted packets, so the server is decoded from the id itself. An id
    /// that encodes no server of the endpoint list is answered once, with a stateless reset, but not before
    /// discovery has confirmed the list: until then, the client's datagram is dropped and sent again by it.
    async fn restore_connection(&mut self, destination: ConnectionId, datagram: &[u8], client: SocketAddr) {
        if self.handover_has_started() {
            // The client's next datagram reaches the successor.
            self.drops.rejected += 1;
            return;
        }
        let server_id = decode_server_id(&destination, self.config.rotation);
        let server = server_id.and_then(|server_id| self.servers_by_id.get(&server_id)).cloned();
        if server.is_none() && server_id.is_some() && self.list_may_be_incomplete() {
            self.drops.rejected += 1;
            return;
        }
        let Some(server) = server.filter(|_| self.flows.has_free_path()) else {
            if !self.may_answer(client) {
                return;
            }
            self.connection_ids.mark_answered(destination);
            return self.send_reset(&destination, datagram.len(), client).await;
        };
        if let Some(id) = self.flows.flow_on_path(client, server.address) {
            // The same client uses another id. The event loop must count one connection, not two.
            self.connection_ids.insert(destination, id);
            return self.forward_to_server(id, destination, datagram, client).await;
        }
        let id = self.event_loop.next_request_id();
        self.connection_ids.insert(destination, id);
        self.flows.insert(id, Flow::new(destination, client, datagram));
        let request = self.connection_request();
        let event = SessionEvent::RestoreRequested {
            id,
            request,
            server: server.name,
            commands: self.command_sender.clone(),
        };
        self.event_loop.send(event).await;
    }

    /// Forwards a client's datagram to its server, on the path of its source address.
    async fn forward_to_server(
        &mut self,
        id: RequestId,
        destination: ConnectionId,
        datagram: &[u8],
        client: SocketAddr,
    ) {
        let Some(flow) = self.flows.get_mut(id) else { return };
        flow.record_client_datagram(destination, datagram);
        if flow.attempt().is_none() {
            return;
        }
        let expects_response = flow.starts_awaiting_response();
        if self.open_path(id, client).await {
            self.send_to_server(id, client, datagram).await;
        }
        if expects_response {
            // `answer_due` is false because not every datagram has its own response.
            self.event_loop.send(SessionEvent::MessageForwarded { id, answer_due: false }).await;
        }
    }
}
