//! Established connections passed between processes: adopted from an older process, or handed off to the
//! successor.

use std::os::fd::{AsFd, OwnedFd};

use ashtide_protocol::{ClientSide, MOVE, Open, ServerSide};
use bytes::{Bytes, BytesMut};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::attempt::{EstablishedServer, Session};
use super::connection::{LineConnection, complete_line};
use super::frontend::{Frontend, connection_request};
use crate::decision::interface::RequestId;
use crate::engine::open_ids::RequestIdClaim;
use crate::handover::{EstablishedConnection, PendingBytes};
use crate::net::connection_handoff::ADOPTION_TIME;
use crate::net::messages::{RequestCommand, SESSION_COMMAND_QUEUE, SessionEvent};

/// Attempt number of an adopted connection. An older process made the attempt.
const ADOPTED_ATTEMPT: u32 = 0;

/// A request with an id that this process has claimed.
struct ClaimedRequest {
    open: Open,
    id_claim: RequestIdClaim,
}

impl Frontend {
    /// Relays a connection that an older process has handed off.
    pub async fn adopt_connection(
        self,
        established: EstablishedConnection,
        client: OwnedFd,
        server: OwnedFd,
    ) {
        let Ok(client) = into_stream(client) else { return };
        let Ok(server) = into_stream(server) else { return };
        let client = LineConnection::resume(client, established.to_server.read_ahead);
        let server = LineConnection::resume(server, established.to_client.read_ahead);
        let Some(ClaimedRequest { open, id_claim }) = self.claim(established.open_line) else {
            // Not expected, as the older process parsed the line and had claimed the id. The client must
            // receive an answer all the same.
            return self
                .finish_client(client, &complete_line(established.to_client.line_remainder, MOVE))
                .await;
        };
        let permit = self.pending_clients.adopt_session();
        let id = self.event_loop.next_request_id();
        let commands = self.report_adoption(id, &open, established.server).await;
        let session = Session {
            id,
            open,
            client,
            side: ClientSide::default(),
            early_lines: BytesMut::from(&established.to_server.line_remainder[..]),
            commands,
            frontend: self,
            id_claim,
        };
        let server = EstablishedServer {
            connection: server,
            side: ServerSide::established(),
            accept_line: established.to_client.line_remainder,
        };
        session.relay(ADOPTED_ATTEMPT, server, true).await;
        drop(permit);
    }

    fn claim(&self, open_line: Bytes) -> Option<ClaimedRequest> {
        let open = Open::parse(open_line).ok()?;
        let mut id_claim = self.open_ids.adopt(&open.id)?;
        id_claim.set_used(!self.is_repeatable(&open.class));
        Some(ClaimedRequest { open, id_claim })
    }

    /// Reports an adopted connection to the event loop, and returns the queue of its commands.
    async fn report_adoption(
        &self,
        id: RequestId,
        open: &Open,
        server: String,
    ) -> mpsc::Receiver<RequestCommand> {
        let (sender, commands) = mpsc::channel(SESSION_COMMAND_QUEUE);
        let request = connection_request(open);
        let event = SessionEvent::ConnectionAdopted { id, request, server, commands: sender };
        self.event_loop.send(event).await;
        commands
    }
}

impl Session {
    /// Hands the connection off to the successor, with its partly written and unread bytes. If there is no
    /// successor or the handoff fails, `MOVE` is sent to the client.
    pub(super) async fn hand_off(
        self,
        server_name: String,
        server: LineConnection,
        to_client: Bytes,
        to_server: Bytes,
    ) {
        let Self { open, client, frontend, id_claim, .. } = self;
        let Ok(client) = client.detach() else { return };
        let Ok(server) = server.detach() else { return };
        let established = EstablishedConnection {
            server: server_name,
            open_line: open.raw,
            to_client: PendingBytes { line_remainder: to_client.clone(), read_ahead: server.unread },
            to_server: PendingBytes { line_remainder: to_server, read_ahead: client.unread },
        };
        let successor = frontend.successor.borrow().clone();
        if let (Some(successor), Some(datagram)) = (successor, established.encode())
            && successor.hand_off(&datagram, [client.stream.as_fd(), server.stream.as_fd()]).await.is_ok()
        {
            tokio::spawn(release_after_adoption(id_claim));
            return;
        }
        drop(server.stream);
        drop(id_claim);
        if let Ok(client) = TcpStream::from_std(client.stream) {
            frontend.finish_client(LineConnection::new(client), &complete_line(to_client, MOVE)).await;
        }
    }
}

/// Releases the id of a connection that was handed off, once the successor has had time to claim it.
async fn release_after_adoption(id_claim: RequestIdClaim) {
    sleep(ADOPTION_TIME).await;
    drop(id_claim);
}

fn into_stream(socket: OwnedFd) -> std::io::Result<TcpStream> {
    TcpStream::from_std(std::net::TcpStream::from(socket))
}
