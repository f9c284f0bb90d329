//! The QUIC front: datagrams to and from servers, placed by connection id on the same core.
//!
//! An Initial with a new id is a request; the server's first answer is its service. From then on the
//! server's ids lead to the connection, whatever address they come from. Each address that a
//! connection is seen under gets a socket of its own towards the server, so that the server sees a
//! migration and validates the new path itself (RFC 9000, section 9); a forged address gains nothing.
//!
//! `MOVE` is played by a stateless reset with the token of the id that the client used last: to the
//! client the connection is over, and it comes again with a new Initial. `BUSY` and failures are an
//! Initial that closes the connection, with `CONNECTION_REFUSED` or `INTERNAL_ERROR`.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use tracing::info;

use super::messages::{CommandSender, ConnectionRequest, DriverEvent, EventLoopHandle, SessionCommand};
use crate::config::QuicConfig;
use crate::decision::interface::{Outcome, RequestId, Span};
use crate::engine::FinalAnswer;
use crate::metrics::Counter;
use crate::quic::connection_id_table::{ConnectionIdTable, Route};
use crate::quic::header::{MIN_INITIAL_DATAGRAM, encode_version_negotiation};
use crate::quic::initial::{self, CONNECTION_REFUSED, INTERNAL_ERROR, Side};
use crate::quic::load_balancing::{QuicServerId, decode_server_id, server_id_for_name};
use crate::quic::reset::ResetKey;
use crate::quic::{ConnectionId, Header, LongPacketType};

/// Longest datagram passed on.
const MAX_DATAGRAM_LENGTH: usize = 2048;
/// Datagrams of servers that may wait for the front; past that their sockets' own queues fill.
const SERVER_DATAGRAM_QUEUE: usize = 512;
/// Commands that may wait, for each path that may be open.
const COMMANDS_PER_PATH: usize = 4;
/// Datagrams of a client kept until its server is known.
const MAX_BUFFERED_DATAGRAMS: usize = 4;
/// Addresses that one connection may be seen under at once.
const MAX_PATHS_PER_FLOW: usize = 4;
/// Ids whose final answer is remembered.
const MAX_ANSWERED_IDS: usize = 8192;
/// A client's datagram that comes this long after the server's last one wants an answer: sooner, it
/// may only acknowledge.
const RESPONSE_EXPECTED_AFTER: Duration = Duration::from_millis(500);
/// A path over which a client has sent nothing for so long is closed once another serves it.
const PATH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// A datagram that its socket has not taken by then is lost, as on any network.
const SEND_TIMEOUT: Duration = Duration::from_millis(10);
/// How often idle connections are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Why datagrams were dropped, and how often.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// No QUIC packet at its head.
    pub malformed: u64,
    /// An Initial in too small a datagram, or an unknown id on a long header.
    pub unexpected: u64,
    /// An id that has had its final answer.
    pub already_answered: u64,
    /// New connections that this copy does not take, being a backup or full.
    pub rejected: u64,
    /// The socket would not take it.
    pub send_failed: u64,
}

struct Path {
    client: SocketAddr,
    socket: Arc<UdpSocket>,
    reader: AbortHandle,
    last_used_at: Instant,
}

impl Drop for Path {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

enum FlowState {
    /// No attempt is out: datagrams are kept.
    Waiting,
    /// This attempt is out and unanswered.
    Connecting(u32),
    /// This attempt's connection stands.
    Established(u32),
}

struct Flow {
    state: FlowState,
    server: Option<SocketAddr>,
    /// The client's first id and its own one, while only its Initial is known.
    initial_ids: Option<(ConnectionId, ConnectionId)>,
    /// The id of the server's that the client used last.
    last_server_connection_id: ConnectionId,
    client: SocketAddr,
    buffered: Vec<Bytes>,
    paths: Vec<Path>,
    last_activity_at: Instant,
    last_response_at: Instant,
    awaiting_response: bool,
}

impl Flow {
    fn attempt(&self) -> Option<u32> {
        match self.state {
            FlowState::Waiting => None,
            FlowState::Connecting(attempt) | FlowState::Established(attempt) => Some(attempt),
        }
    }
}

/// What a path's reader brings: whose, which attempt's, for which address, and what.
struct ServerDatagram {
    id: RequestId,
    attempt: u32,
    client: SocketAddr,
    datagram: std::io::Result<Bytes>,
}

/// The front.
pub struct QuicFrontend {
    config: QuicConfig,
    reset_key: ResetKey,
    rng: ChaCha8Rng,
    socket: UdpSocket,
    event_loop: EventLoopHandle,
    command_sender: CommandSender,
    commands: mpsc::Receiver<(RequestId, SessionCommand)>,
    server_datagrams: mpsc::Receiver<ServerDatagram>,
    server_datagram_sender: mpsc::Sender<ServerDatagram>,
    connection_ids: ConnectionIdTable,
    flows: HashMap<RequestId, Flow>,
    open_paths: usize,
    endpoint_addresses: watch::Receiver<BTreeMap<String, SocketAddr>>,
    servers_by_id: HashMap<QuicServerId, (String, SocketAddr)>,
    /// Which connection a client's address has at a server's.
    flows_by_path: HashMap<(SocketAddr, SocketAddr), RequestId>,
    /// Whether this copy takes new connections.
    accepts_connections: watch::Receiver<bool>,
    drops: DropCounts,
    reported_drops: DropCounts,
}

impl QuicFrontend {
    /// Binds the front's address.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn bind(
        config: QuicConfig,
        seed: u64,
        core: EventLoopHandle,
        fleet: watch::Receiver<BTreeMap<String, SocketAddr>>,
        gate: watch::Receiver<bool>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(config.listen).await?;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let key = config.reset_key_bytes().unwrap_or_else(|| {
            info!("quic: no reset_key, so clients cannot tell resets");
            let mut key = vec![0; 32];
            rng.fill_bytes(&mut key);
            key
        });
        let (port, commands) = mpsc::channel(config.paths * COMMANDS_PER_PATH);
        let (to_front, from_servers) = mpsc::channel(SERVER_DATAGRAM_QUEUE);
        Ok(Self {
            reset_key: ResetKey::new(key),
            rng,
            socket,
            event_loop: core,
            command_sender: port,
            commands,
            server_datagrams: from_servers,
            server_datagram_sender: to_front,
            connection_ids: ConnectionIdTable::new(MAX_ANSWERED_IDS),
            flows: HashMap::new(),
            open_paths: 0,
            endpoint_addresses: fleet,
            servers_by_id: HashMap::new(),
            flows_by_path: HashMap::new(),
            accepts_connections: gate,
            drops: DropCounts::default(),
            reported_drops: DropCounts::default(),
            config,
        })
    }

    /// Where clients come.
    ///
    /// # Errors
    ///
    /// Fails where the system does not tell.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves until the process ends.
    pub async fn run(mut self) {
        let mut sweep = interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM_LENGTH];
        self.update_endpoints();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.handle_client_datagram(&buffer[..length], from).await;
                    }
                }
                Some(from) = self.server_datagrams.recv() => self.handle_server_datagram(from).await,
                Some((id, command)) = self.commands.recv() => self.handle_command(id, command).await,
                Ok(()) = self.endpoint_addresses.changed() => self.update_endpoints(),
                _ = sweep.tick() => self.sweep().await,
            }
        }
    }

    fn update_endpoints(&mut self) {
        let fleet = self.endpoint_addresses.borrow_and_update();
        self.servers_by_id = fleet
            .iter()
            .map(|(name, &address)| (server_id_for_name(name), (name.clone(), address)))
            .collect();
        if self.servers_by_id.len() < fleet.len() {
            info!("quic: two servers' names give one id; rename one");
        }
    }

    // ---- From clients -------------------------------------------------------------------------

    async fn handle_client_datagram(&mut self, datagram: &[u8], from: SocketAddr) {
        match Header::parse(datagram, self.config.id_length) {
            Err(_) | Ok(Header::VersionNegotiation { .. }) => self.drops.malformed += 1,
            Ok(Header::OtherVersion { destination_id: to, source_id: theirs }) => {
                if datagram.len() < MIN_INITIAL_DATAGRAM {
                    self.drops.unexpected += 1;
                } else {
                    let noise = self.rng.next_u32() as u8 & 0x7f;
                    self.send_to_client(&encode_version_negotiation(&theirs, &to, noise), from).await;
                }
            }
            Ok(Header::Long { packet_type: kind, destination_id: to, source_id: theirs }) => {
                match self.connection_ids.route(&to) {
                    Some(Route::Connection(id)) => self.forward_to_server(id, to, datagram, from).await,
                    Some(Route::Answered) => self.drops.already_answered += 1,
                    None if kind != LongPacketType::Initial
                        || datagram.len() < MIN_INITIAL_DATAGRAM
                        || to.len() < 8 =>
                    {
                        self.drops.unexpected += 1;
                    }
                    None => self.start_connection(to, theirs, datagram, from).await,
                }
            }
            Ok(Header::Short { destination_id: to }) => match self.connection_ids.route(&to) {
                Some(Route::Connection(id)) => self.forward_to_server(id, to, datagram, from).await,
                Some(Route::Answered) => self.drops.already_answered += 1,
                None => self.adopt_unknown_connection(to, datagram, from).await,
            },
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

    /// A new connection: a request to the core.
    async fn start_connection(
        &mut self,
        to: ConnectionId,
        theirs: ConnectionId,
        datagram: &[u8],
        from: SocketAddr,
    ) {
        if !*self.accepts_connections.borrow() {
            self.drops.rejected += 1;
            return;
        }
        if self.open_paths >= self.config.paths || self.flows.len() >= self.config.paths {
            // The limit is reached: refused at once, like any request that cannot be placed.
            self.drops.rejected += 1;
            self.connection_ids.mark_answered(to);
            return self.reject_initial(to, theirs, from, CONNECTION_REFUSED, "BUSY 1000").await;
        }
        let id = self.event_loop.next_request_id();
        let mut flow = self.new_flow(FlowState::Waiting, to, from);
        flow.initial_ids = Some((to, theirs));
        flow.buffered.push(Bytes::copy_from_slice(datagram));
        self.connection_ids.insert(to, id);
        self.flows.insert(id, flow);
        self.event_loop
            .send(DriverEvent::ConnectionRequested(
                id,
                self.connection_request(),
                self.command_sender.clone(),
            ))
            .await;
    }

    fn new_flow(&self, stage: FlowState, last: ConnectionId, client: SocketAddr) -> Flow {
        let now = Instant::now();
        Flow {
            state: stage,
            server: None,
            initial_ids: None,
            last_server_connection_id: last,
            client,
            buffered: Vec::new(),
            paths: Vec::new(),
            last_activity_at: now,
            last_response_at: now,
            awaiting_response: false,
        }
    }

    /// A short header whose id has never been seen. Servers issue ids under encryption, so the id
    /// itself tells the server: a connection that goes on under a new id and perhaps a new address.
    /// One that tells no server of the list gets its one final answer.
    async fn adopt_unknown_connection(&mut self, to: ConnectionId, datagram: &[u8], from: SocketAddr) {
        let server = decode_server_id(&to, self.config.rotation).and_then(|key| self.servers_by_id.get(&key));
        match server.cloned() {
            Some((name, address)) if self.open_paths < self.config.paths => {
                if let Some(&id) = self.flows_by_path.get(&(from, address)) {
                    // The same client under a further id: one connection to the core, not two.
                    self.connection_ids.insert(to, id);
                    return self.forward_to_server(id, to, datagram, from).await;
                }
                let id = self.event_loop.next_request_id();
                let mut flow = self.new_flow(FlowState::Waiting, to, from);
                flow.buffered.push(Bytes::copy_from_slice(datagram));
                self.connection_ids.insert(to, id);
                self.flows.insert(id, flow);
                self.event_loop
                    .send(DriverEvent::RestoreRequested(
                        id,
                        self.connection_request(),
                        name,
                        self.command_sender.clone(),
                    ))
                    .await;
            }
            _ => {
                self.connection_ids.mark_answered(to);
                self.send_reset(&to, datagram.len(), from).await;
            }
        }
    }

    /// Passes a client's datagram to its server, on the path of the address that it came from.
    async fn forward_to_server(
        &mut self,
        id: RequestId,
        to: ConnectionId,
        datagram: &[u8],
        from: SocketAddr,
    ) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let now = Instant::now();
        flow.last_activity_at = now;
        if matches!(flow.state, FlowState::Established(_))
            && flow.initial_ids.is_none_or(|(first, _)| first != to)
        {
            flow.last_server_connection_id = to;
        }
        if !matches!(flow.state, FlowState::Established(_)) && flow.buffered.len() < MAX_BUFFERED_DATAGRAMS {
            flow.buffered.push(Bytes::copy_from_slice(datagram));
        }
        if matches!(flow.state, FlowState::Waiting) {
            return;
        }
        let asks = matches!(flow.state, FlowState::Established(_))
            && !flow.awaiting_response
            && now.duration_since(flow.last_response_at) >= RESPONSE_EXPECTED_AFTER;
        flow.awaiting_response |= asks;
        if self.open_path(id, from).await {
            self.send_to_server(id, from, datagram).await;
        }
        if asks {
            // Not every datagram has an answer of its own.
            self.event_loop.send(DriverEvent::MessageForwarded(id, false)).await;
        }
    }

    async fn send_to_server(&mut self, id: RequestId, client: SocketAddr, datagram: &[u8]) {
        let paths = self.flows.get_mut(&id).map(|flow| &mut flow.paths);
        let path = paths.and_then(|paths| paths.iter_mut().find(|path| path.client == client));
        let Some(path) = path else { return };
        path.last_used_at = Instant::now();
        // A new socket is not ready until the runtime has looked at it, so `try_send` alone would lose
        // the first datagram of every path, and with it the time to the client's next try.
        let sent = timeout(SEND_TIMEOUT, path.socket.send(datagram)).await;
        self.drops.send_failed += u64::from(!matches!(sent, Ok(Ok(_))));
    }

    /// Makes sure that there is a path for this address; `false` where there can be none.
    async fn open_path(&mut self, id: RequestId, client: SocketAddr) -> bool {
        let full = self.open_paths >= self.config.paths;
        let Some(flow) = self.flows.get_mut(&id) else { return false };
        let (Some(server), Some(attempt)) = (flow.server, flow.attempt()) else { return false };
        if flow.paths.iter().any(|path| path.client == client) {
            return true;
        }
        if full && flow.paths.is_empty() {
            self.drops.rejected += 1;
            return false;
        }
        if full || flow.paths.len() >= MAX_PATHS_PER_FLOW {
            let oldest =
                (0..flow.paths.len()).min_by_key(|&at| flow.paths[at].last_used_at).unwrap_or_default();
            let old = flow.paths.swap_remove(oldest);
            self.open_paths -= 1;
            self.flows_by_path.remove(&(old.client, server));
        }
        // Servers see the front's own address.
        let any = SocketAddr::new(self.config.listen.ip(), 0);
        let socket = match UdpSocket::bind(any).await {
            Ok(socket) => socket,
            Err(error) => {
                info!("quic: no socket towards {server}: {error}");
                return false;
            }
        };
        if socket.connect(server).await.is_err() {
            return false;
        }
        let socket = Arc::new(socket);
        let reader =
            tokio::spawn(read_path(socket.clone(), id, attempt, client, self.server_datagram_sender.clone()));
        let path = Path { client, socket, reader: reader.abort_handle(), last_used_at: Instant::now() };
        flow.paths.push(path);
        self.open_paths += 1;
        self.flows_by_path.insert((client, server), id);
        true
    }

    fn close_paths(&mut self, id: RequestId) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        for path in flow.paths.drain(..) {
            self.open_paths -= 1;
            if let Some(server) = flow.server {
                self.flows_by_path.remove(&(path.client, server));
            }
        }
    }

    fn remove_flow(&mut self, id: RequestId) -> Option<Flow> {
        self.close_paths(id);
        self.flows.remove(&id)
    }

    // ---- From servers -------------------------------------------------------------------------

    async fn handle_server_datagram(&mut self, from: ServerDatagram) {
        let ServerDatagram { id, attempt, client, datagram } = from;
        let Some(flow) = self.flows.get_mut(&id).filter(|flow| flow.attempt() == Some(attempt)) else {
            return;
        };
        let trying = matches!(flow.state, FlowState::Connecting(_));
        let Ok(datagram) = datagram else {
            // The server's machine says that nobody listens there.
            let outcome = if trying { Outcome::ConnectError } else { Outcome::Reset };
            return self.end_attempt(id, attempt, outcome).await;
        };
        (flow.last_activity_at, flow.last_response_at) = (Instant::now(), Instant::now());
        let answered = std::mem::take(&mut flow.awaiting_response);
        match Header::parse(&datagram, 0) {
            Ok(Header::Long { packet_type: kind, source_id: issued, .. }) => {
                if let (true, Some((first, _))) = (trying, &mut flow.initial_ids) {
                    if kind == LongPacketType::Retry {
                        // The client begins again with this id, and its keys follow from it.
                        *first = issued;
                        self.connection_ids.insert(issued, id);
                        return self.send_to_client(&datagram, client).await;
                    }
                    let opened = initial::open(&datagram, first, Side::Server);
                    if let Some((code, _)) =
                        opened.and_then(|opened| initial::find_connection_close(&opened.frames))
                    {
                        let refused = code == CONNECTION_REFUSED;
                        let outcome = if refused { Outcome::QueueFull } else { Outcome::Failed };
                        return self.end_attempt(id, attempt, outcome).await;
                    }
                    // Only ids that the server issued have a token that the client can know.
                    (flow.state, flow.last_server_connection_id) = (FlowState::Established(attempt), issued);
                    flow.buffered = Vec::new();
                    self.event_loop.send(DriverEvent::AttemptEstablished(id, attempt)).await;
                    self.event_loop.count(Counter::Established, &self.config.class);
                }
                self.connection_ids.insert(issued, id);
            }
            Ok(Header::Short { .. }) if !trying => {}
            Ok(Header::VersionNegotiation { .. } | Header::OtherVersion { .. }) if trying => {
                return self.end_attempt(id, attempt, Outcome::Failed).await;
            }
            _ => return self.drops.malformed += 1,
        }
        // Only an address at which the server answers is one to which a reset may go.
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.client = client;
        }
        self.send_to_client(&datagram, client).await;
        if answered {
            self.event_loop.send(DriverEvent::ServerResponded(id)).await;
        }
    }

    /// The attempt is over, and with it the connection where one stood.
    async fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        self.close_paths(id);
        if let Some(flow) = self.flows.get_mut(&id) {
            if matches!(flow.state, FlowState::Established(_)) {
                self.reset_flow(id).await;
            } else {
                flow.state = FlowState::Waiting;
            }
        }
        self.event_loop.send(DriverEvent::AttemptEnded(id, attempt, outcome)).await;
    }

    // ---- From the core ------------------------------------------------------------------------

    async fn handle_command(&mut self, id: RequestId, command: SessionCommand) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        match command {
            SessionCommand::StartAttempt { attempt, address, .. } => {
                flow.server = Some(address);
                flow.state = if flow.initial_ids.is_some() {
                    FlowState::Connecting(attempt)
                } else {
                    FlowState::Established(attempt)
                };
                // Kept for a further attempt, which only a connection that begins can need.
                let held = if flow.initial_ids.is_some() {
                    flow.buffered.clone()
                } else {
                    std::mem::take(&mut flow.buffered)
                };
                let client = flow.client;
                if !self.open_path(id, client).await {
                    // No socket or no path is left here, which says nothing of the server.
                    return self.end_attempt(id, attempt, Outcome::LocalFailure).await;
                }
                let begins = self.flows.get(&id).is_some_and(|flow| flow.initial_ids.is_some());
                for datagram in held {
                    self.send_to_server(id, client, &datagram).await;
                }
                if begins {
                    self.event_loop.count(Counter::Attempts, &self.config.class);
                }
            }
            // No connection comes up before the first packet, and a packet of the server has gone to its client
            // already: QUIC's own handshake goes on.
            SessionCommand::SendFirstLine { .. } | SessionCommand::ConfirmEstablished { .. } => {}
            SessionCommand::CancelAttempt { attempt } => {
                if flow.attempt() == Some(attempt) {
                    flow.state = FlowState::Waiting;
                    self.close_paths(id);
                }
            }
            SessionCommand::Answer(answer) => match (flow.initial_ids, flow.client) {
                (Some((first, theirs)), client) => {
                    let (count, code, reason) = match answer {
                        FinalAnswer::Rejected(wait) => {
                            let reason = format!("BUSY {}", wait.as_micros() / 1000);
                            (Counter::Rejected, CONNECTION_REFUSED, reason)
                        }
                        FinalAnswer::Failed => (Counter::Failed, INTERNAL_ERROR, "ERR".to_owned()),
                    };
                    self.event_loop.count(count, &self.config.class);
                    self.connection_ids.close_connection(id);
                    self.remove_flow(id);
                    self.reject_initial(first, theirs, client, code, &reason).await;
                }
                (None, _) => self.reset_flow(id).await,
            },
            // Its paths are sockets of this process alone, so it is not handed on.
            SessionCommand::Migrate | SessionCommand::HandOff(_) => self.reset_flow(id).await,
        }
    }

    /// The final answer to an Initial.
    async fn reject_initial(
        &mut self,
        first: ConnectionId,
        theirs: ConnectionId,
        to: SocketAddr,
        code: u64,
        reason: &str,
    ) {
        let frames = initial::encode_connection_close(code, reason);
        let packet = initial::seal(&first, Side::Server, &theirs, &first, 0, &frames, 0);
        self.send_to_client(&packet, to).await;
    }

    /// Ends a connection in its server's name.
    async fn reset_flow(&mut self, id: RequestId) {
        if let Some(flow) = self.remove_flow(id) {
            self.connection_ids.close_connection(id);
            let length = flow.buffered.first().map_or(MIN_INITIAL_DATAGRAM, Bytes::len);
            self.send_reset(&flow.last_server_connection_id, length, flow.client).await;
        }
    }

    async fn send_reset(&mut self, id: &ConnectionId, length: usize, to: SocketAddr) {
        match self.reset_key.encode_reset(id, length, &mut self.rng) {
            Some(reset) => self.send_to_client(&reset, to).await,
            None => self.drops.unexpected += 1,
        }
    }

    async fn send_to_client(&mut self, datagram: &[u8], to: SocketAddr) {
        let sent = timeout(SEND_TIMEOUT, self.socket.send_to(datagram, to)).await;
        self.drops.send_failed += u64::from(!matches!(sent, Ok(Ok(_))));
    }

    // ---- Housekeeping -------------------------------------------------------------------------

    /// Ends idle connections and paths that their clients have left.
    async fn sweep(&mut self) {
        let idle = Duration::from_millis(u64::from(self.config.idle_ms));
        let now = Instant::now();
        let mut over = Vec::new();
        for (&id, flow) in &mut self.flows {
            if let FlowState::Established(attempt) = flow.state {
                if now.duration_since(flow.last_activity_at) >= idle {
                    over.push((id, attempt));
                }
            }
            let (server, current) = (flow.server, flow.client);
            let (paths, by_path) = (&mut self.open_paths, &mut self.flows_by_path);
            flow.paths.retain(|path| {
                let keep =
                    path.client == current || now.duration_since(path.last_used_at) < PATH_IDLE_TIMEOUT;
                if let (false, Some(server)) = (keep, server) {
                    *paths -= 1;
                    by_path.remove(&(path.client, server));
                }
                keep
            });
        }
        for (id, attempt) in over {
            self.connection_ids.remove_connection(id);
            self.remove_flow(id);
            self.event_loop.send(DriverEvent::AttemptEnded(id, attempt, Outcome::Cancelled)).await;
        }
        if self.drops != self.reported_drops {
            self.reported_drops = self.drops;
            info!(
                "quic: {} connections, {} paths, dropped {:?}",
                self.flows.len(),
                self.open_paths,
                self.drops
            );
        }
    }
}

/// After an error of a path's socket that is not the server's, the next read waits a little.
const READ_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Reads one path's socket until the server's machine refuses, or the path is given up. Other errors are of this
/// machine or of the network on the way, and pass: they say nothing of the server.
async fn read_path(
    socket: Arc<UdpSocket>,
    id: RequestId,
    attempt: u32,
    client: SocketAddr,
    front: mpsc::Sender<ServerDatagram>,
) {
    let mut buffer = [0; MAX_DATAGRAM_LENGTH];
    loop {
        let datagram = socket.recv(&mut buffer).await.map(|length| Bytes::copy_from_slice(&buffer[..length]));
        let failed = match &datagram {
            Ok(_) => false,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => true,
            Err(_) => {
                tokio::time::sleep(READ_RETRY_DELAY).await;
                continue;
            }
        };
        if front.send(ServerDatagram { id, attempt, client, datagram }).await.is_err() || failed {
            return;
        }
    }
}
