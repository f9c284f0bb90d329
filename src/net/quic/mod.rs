//! QUIC front end, which forwards datagrams between clients and servers by connection id. It uses the same
//! event loop as other connections.
//!
//! An Initial with a new connection id is a connection request, and the server's first response establishes
//! the connection. From then on, datagrams are routed by the connection ids that the server has issued,
//! regardless of their source address. Each source address of a connection has its own socket to the server.
//! The server therefore detects a migration of the client and validates the new path itself (RFC 9000,
//! section 9), so that a forged source address has no effect.
//!
//! The balancer migrates a connection with a stateless reset that contains the token of the connection id
//! that the client used last. The client considers the connection closed and sends a new Initial. A rejection
//! or a failure is an Initial that closes the connection with `CONNECTION_REFUSED` or `INTERNAL_ERROR`.

mod clients;
mod commands;
mod flow;
mod flow_table;
mod servers;

use std::collections::{BTreeMap, HashMap};
use std::io;

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use tracing::info;

use super::messages::{CommandSender, EventLoopHandle, RESTORE_TIMEOUT, RequestCommand, SessionEvent};
use crate::config::QuicConfig;
use crate::decision::interface::{Outcome, RequestId};
use crate::quic::ConnectionId;
use crate::quic::answer_limiter::AnswerLimiter;
use crate::quic::connection_id_table::ConnectionIdTable;
use crate::quic::initial::{self, Side};
use crate::quic::load_balancing::{QuicServerId, server_id_for_name};
use crate::quic::reset::ResetKey;
use flow::ServerDatagram;
use flow_table::FlowTable;

/// Size of the receive buffers, and thus the maximum length of a forwarded datagram, in bytes.
const MAX_DATAGRAM_LENGTH: usize = 2048;
/// Maximum number of servers' datagrams queued for the front end. Further datagrams remain in their sockets'
/// receive queues.
const SERVER_DATAGRAM_QUEUE: usize = 512;
/// Length of the command queue, per path that may be open.
const COMMANDS_PER_PATH: usize = 4;
/// Maximum number of connection ids that are recorded as having received their final answer.
const MAX_ANSWERED_IDS: usize = 8192;
/// Time limit for sending a datagram. After it the datagram is dropped, as it may be on any network.
const SEND_TIMEOUT: Duration = Duration::from_millis(10);
/// Interval at which idle connections and paths are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Length in bytes of a random reset key.
const RANDOM_RESET_KEY_LENGTH: usize = 32;

/// Numbers of dropped datagrams since the start, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Datagrams that contain no valid QUIC packet.
    pub malformed: u64,
    /// Initials in datagrams that are too small, and long headers with an unknown connection id.
    pub unexpected: u64,
    /// Datagrams with a connection id that has already received its final answer.
    pub already_answered: u64,
    /// Datagrams of new connections or paths that this process does not accept, because it is a backup, hands
    /// over to its successor, does not know their server yet or is at its limit.
    pub rejected: u64,
    /// Datagrams of no connection that exceed the limit on answers.
    pub over_answer_limit: u64,
    /// Datagrams that the socket did not accept within the time limit.
    pub send_failed: u64,
}

/// Server on the endpoint list.
#[derive(Clone)]
struct QuicServer {
    name: String,
    address: SocketAddr,
}

/// State of the daemon that the front end follows.
pub struct FrontendInputs {
    /// Listed servers' addresses by name.
    pub endpoint_addresses: watch::Receiver<BTreeMap<String, SocketAddr>>,
    /// Whether discovery has confirmed the endpoint list to this process.
    pub list_confirmed: watch::Receiver<bool>,
    /// Whether this process accepts new connections.
    pub accepts_connections: watch::Receiver<bool>,
    /// Whether this process hands over to its successor, which then uses the address for clients.
    pub handover_started: watch::Receiver<bool>,
}

/// QUIC front end of a gateway.
pub struct QuicFrontend {
    config: QuicConfig,
    reset_key: ResetKey,
    rng: ChaCha8Rng,
    socket: UdpSocket,
    event_loop: EventLoopHandle,
    command_sender: CommandSender,
    commands: mpsc::Receiver<RequestCommand>,
    server_datagrams: mpsc::Receiver<ServerDatagram>,
    server_datagram_sender: mpsc::Sender<ServerDatagram>,
    connection_ids: ConnectionIdTable,
    flows: FlowTable,
    endpoint_addresses: watch::Receiver<BTreeMap<String, SocketAddr>>,
    /// Whether discovery has confirmed the endpoint list to this process.
    list_confirmed: watch::Receiver<bool>,
    started_at: Instant,
    servers_by_id: HashMap<QuicServerId, QuicServer>,
    /// Whether this process accepts new connections.
    accepts_connections: watch::Receiver<bool>,
    /// Whether this process hands over to its successor.
    handover_started: watch::Receiver<bool>,
    answer_limiter: AnswerLimiter,
    drops: DropCounts,
    reported_drops: DropCounts,
}

impl QuicFrontend {
    /// Creates a front end that serves clients on `socket`.
    pub fn new(
        config: QuicConfig,
        seed: u64,
        socket: UdpSocket,
        event_loop: EventLoopHandle,
        inputs: FrontendInputs,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let reset_key = config.reset_key_bytes().unwrap_or_else(|| random_reset_key(&mut rng));
        let (command_sender, commands) = mpsc::channel(config.paths * COMMANDS_PER_PATH);
        let (server_datagram_sender, server_datagrams) = mpsc::channel(SERVER_DATAGRAM_QUEUE);
        Self {
            reset_key: ResetKey::new(reset_key),
            rng,
            socket,
            event_loop,
            command_sender,
            commands,
            server_datagrams,
            server_datagram_sender,
            connection_ids: ConnectionIdTable::new(MAX_ANSWERED_IDS),
            flows: FlowTable::new(config.paths),
            endpoint_addresses: inputs.endpoint_addresses,
            list_confirmed: inputs.list_confirmed,
            started_at: Instant::now(),
            servers_by_id: HashMap::new(),
            accepts_connections: inputs.accepts_connections,
            handover_started: inputs.handover_started,
            answer_limiter: AnswerLimiter::default(),
            drops: DropCounts::default(),
            reported_drops: DropCounts::default(),
            config,
        }
    }

    /// Returns the bound address for clients.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot provide the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves until the process exits, or until it hands over and all connections have ended. The address is
    /// then free for the successor.
    pub async fn run(mut self) {
        let mut sweep = interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM_LENGTH];
        self.update_endpoints();
        while !(self.handover_has_started() && self.flows.is_empty()) {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => if let Ok((length, client)) = received {
                    self.handle_client_datagram(&buffer[..length], client).await;
                },
                Some(datagram) = self.server_datagrams.recv() => self.handle_server_datagram(datagram).await,
                Some(RequestCommand { id, command }) = self.commands.recv() => {
                    self.handle_command(id, command).await;
                }
                Ok(()) = self.endpoint_addresses.changed() => self.update_endpoints(),
                // Checked by the loop's condition.
                Ok(()) = self.handover_started.changed() => {}
                _ = sweep.tick() => self.sweep().await,
            }
        }
        info!("quic: all connections have ended; the successor may use the address");
    }

    fn handover_has_started(&self) -> bool {
        *self.handover_started.borrow()
    }

    /// Returns whether new connections are accepted. A new connection that arrives during a handover is
    /// dropped, and the client's next Initial reaches the successor.
    fn accepts_new_connections(&self) -> bool {
        *self.accepts_connections.borrow() && !self.handover_has_started()
    }

    /// Returns whether servers that clients are connected with may be missing from the list, because discovery
    /// has not confirmed it to this process yet.
    fn list_may_be_incomplete(&self) -> bool {
        !*self.list_confirmed.borrow() && self.started_at.elapsed() < RESTORE_TIMEOUT
    }

    fn update_endpoints(&mut self) {
        let addresses = self.endpoint_addresses.borrow_and_update();
        let server_with_id = |(name, &address): (&String, &SocketAddr)| {
            (server_id_for_name(name), QuicServer { name: name.clone(), address })
        };
        self.servers_by_id = addresses.iter().map(server_with_id).collect();
        if self.servers_by_id.len() < addresses.len() {
            info!("quic: the names of two servers result in the same server id; rename one of them");
        }
    }

    /// Closes idle connections and paths that their clients no longer use.
    async fn sweep(&mut self) {
        let idle_timeout = Duration::from_millis(u64::from(self.config.idle_ms));
        for idle in self.flows.sweep(Instant::now(), idle_timeout) {
            self.connection_ids.remove_connection(idle.id);
            self.flows.remove(idle.id);
            self.report_attempt_end(idle.id, idle.attempt, Outcome::Cancelled).await;
        }
        if self.drops != self.reported_drops {
            self.reported_drops = self.drops;
            self.log_drops();
        }
    }

    fn log_drops(&self) {
        let DropCounts { malformed, unexpected, already_answered, rejected, over_answer_limit, send_failed } =
            self.drops;
        info!(
            "quic: {} connections on {} paths; dropped datagrams: {malformed} malformed, \
             {unexpected} unexpected, {already_answered} already answered, {rejected} rejected, \
             {send_failed} not sent, {over_answer_limit} over the limit on answers",
            self.flows.len(),
            self.flows.open_paths(),
        );
    }

    async fn report_attempt_end(&self, id: RequestId, attempt: u32, outcome: Outcome) {
        self.event_loop.send(SessionEvent::AttemptEnded { id, attempt, outcome }).await;
    }

    /// Returns whether a datagram of no connection may be answered, and counts the answer or the drop.
    fn may_answer(&mut self, client: SocketAddr) -> bool {
        let may_answer = self.answer_limiter.try_acquire(std::time::Instant::now(), client);
        self.drops.over_answer_limit += u64::from(!may_answer);
        may_answer
    }

    /// Rejects a client's Initial with an Initial that closes the connection.
    async fn reject_initial(&mut self, ids: InitialIds, client: SocketAddr, code: u64, reason: &str) {
        let frames = initial::encode_connection_close(code, reason);
        let packet =
            initial::seal(&ids.destination, Side::Server, &ids.source, &ids.destination, 0, &frames, 0);
        self.send_to_client(&packet, client).await;
    }

    /// Removes a connection and sends its client a stateless reset on behalf of the server.
    async fn reset_flow(&mut self, id: RequestId) {
        if let Some(flow) = self.flows.remove(id) {
            self.connection_ids.close_connection(id);
            self.send_reset(&flow.last_server_connection_id, flow.trigger_length(), flow.client).await;
        }
    }

    /// Sends a stateless reset in response to a datagram of `trigger_length` bytes.
    async fn send_reset(&mut self, id: &ConnectionId, trigger_length: usize, client: SocketAddr) {
        match self.reset_key.encode_reset(id, trigger_length, &mut self.rng) {
            Some(reset) => self.send_to_client(&reset, client).await,
            None => self.drops.unexpected += 1,
        }
    }

    async fn send_to_client(&mut self, datagram: &[u8], client: SocketAddr) {
        let sent = timeout(SEND_TIMEOUT, self.socket.send_to(datagram, client)).await;
        self.drops.send_failed += u64::from(!matches!(sent, Ok(Ok(_))));
    }
}

/// Connection ids of a client's first Initial.
#[derive(Clone, Copy)]
struct InitialIds {
    /// Destination Connection ID chosen by the client, from which the Initial keys are derived.
    destination: ConnectionId,
    /// Source Connection ID of the client.
    source: ConnectionId,
}

fn random_reset_key(rng: &mut ChaCha8Rng) -> Vec<u8> {
    info!(
        "quic: no reset_key is configured, using a random one; clients will not recognize stateless resets"
    );
    let mut key = vec![0; RANDOM_RESET_KEY_LENGTH];
    rng.fill_bytes(&mut key);
    key
}
