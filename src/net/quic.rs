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

use super::report::{Ask, Command, Handle, Port, Report};
use crate::config::QuicFront;
use crate::engine::Answer;
use crate::figures::Count;
use crate::interface::{Outcome, RequestId, Span};
use crate::quic::header::{MIN_INITIAL, version_negotiation};
use crate::quic::initial::{self, CONNECTION_REFUSED, INTERNAL_ERROR, Side};
use crate::quic::placing::{ServerKey, server_key, server_of};
use crate::quic::reset::ResetKey;
use crate::quic::table::{Route, Table};
use crate::quic::{ConnectionId, Header, LongKind};

/// Longest datagram passed on.
const MAX_DATAGRAM: usize = 2048;
/// Datagrams of servers that may wait for the front; past that their sockets' own queues fill.
const QUEUE: usize = 512;
/// Commands that may wait, for each path that may be open.
const COMMANDS_EACH: usize = 4;
/// Datagrams of a client kept until its server is known.
const MAX_HELD: usize = 4;
/// Addresses that one connection may be seen under at once.
const PATHS_EACH: usize = 4;
/// Ids whose final answer is remembered.
const ANSWERED: usize = 8192;
/// A client's datagram that comes this long after the server's last one wants an answer: sooner, it
/// may only acknowledge.
const WANTS_ANSWER: Duration = Duration::from_millis(500);
/// A path over which a client has sent nothing for so long is closed once another serves it.
const PATH_LEFT: Duration = Duration::from_secs(3);
/// A datagram that its socket has not taken by then is lost, as on any network.
const UNSENT_AFTER: Duration = Duration::from_millis(10);
/// How often idle connections are looked for.
const SWEEP: Duration = Duration::from_secs(1);

/// Why datagrams were dropped, and how often.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Dropped {
    /// No QUIC packet at its head.
    pub malformed: u64,
    /// An Initial in too small a datagram, or an unknown id on a long header.
    pub stray: u64,
    /// An id that has had its final answer.
    pub repeated: u64,
    /// New connections that this copy does not take, being a backup or full.
    pub not_taken: u64,
    /// The socket would not take it.
    pub unsent: u64,
}

struct Path {
    client: SocketAddr,
    socket: Arc<UdpSocket>,
    reader: AbortHandle,
    used: Instant,
}

impl Drop for Path {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

enum Stage {
    /// No attempt is out: datagrams are kept.
    Waiting,
    /// This attempt is out and unanswered.
    Trying(u32),
    /// This attempt's connection stands.
    Up(u32),
}

struct Flow {
    stage: Stage,
    server: Option<SocketAddr>,
    /// The client's first id and its own one, while only its Initial is known.
    first: Option<(ConnectionId, ConnectionId)>,
    /// The id of the server's that the client used last.
    last: ConnectionId,
    client: SocketAddr,
    held: Vec<Bytes>,
    paths: Vec<Path>,
    seen: Instant,
    answered: Instant,
    asked: bool,
}

impl Flow {
    fn attempt(&self) -> Option<u32> {
        match self.stage {
            Stage::Waiting => None,
            Stage::Trying(attempt) | Stage::Up(attempt) => Some(attempt),
        }
    }
}

/// What a path's reader brings: whose, which attempt's, for which address, and what.
struct FromServer {
    id: RequestId,
    attempt: u32,
    client: SocketAddr,
    datagram: std::io::Result<Bytes>,
}

/// The front.
pub struct Front {
    config: QuicFront,
    key: ResetKey,
    rng: ChaCha8Rng,
    socket: UdpSocket,
    core: Handle,
    port: Port,
    commands: mpsc::Receiver<(RequestId, Command)>,
    from_servers: mpsc::Receiver<FromServer>,
    to_front: mpsc::Sender<FromServer>,
    table: Table,
    flows: HashMap<RequestId, Flow>,
    paths: usize,
    fleet: watch::Receiver<BTreeMap<String, SocketAddr>>,
    servers: HashMap<ServerKey, (String, SocketAddr)>,
    /// Which connection a client's address has at a server's.
    by_path: HashMap<(SocketAddr, SocketAddr), RequestId>,
    /// Whether this copy takes new connections.
    gate: watch::Receiver<bool>,
    dropped: Dropped,
    reported: Dropped,
}

impl Front {
    /// Binds the front's address.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn bind(
        config: QuicFront,
        seed: u64,
        core: Handle,
        fleet: watch::Receiver<BTreeMap<String, SocketAddr>>,
        gate: watch::Receiver<bool>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(config.listen).await?;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let key = config.key().unwrap_or_else(|| {
            info!("quic: no reset_key, so clients cannot tell resets");
            let mut key = vec![0; 32];
            rng.fill_bytes(&mut key);
            key
        });
        let (port, commands) = mpsc::channel(config.paths * COMMANDS_EACH);
        let (to_front, from_servers) = mpsc::channel(QUEUE);
        Ok(Self {
            key: ResetKey::new(key),
            rng,
            socket,
            core,
            port,
            commands,
            from_servers,
            to_front,
            table: Table::new(ANSWERED),
            flows: HashMap::new(),
            paths: 0,
            fleet,
            servers: HashMap::new(),
            by_path: HashMap::new(),
            gate,
            dropped: Dropped::default(),
            reported: Dropped::default(),
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
        let mut sweep = interval(SWEEP);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM];
        self.read_fleet();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.client_datagram(&buffer[..length], from).await;
                    }
                }
                Some(from) = self.from_servers.recv() => self.server_datagram(from).await,
                Some((id, command)) = self.commands.recv() => self.command(id, command).await,
                Ok(()) = self.fleet.changed() => self.read_fleet(),
                _ = sweep.tick() => self.sweep().await,
            }
        }
    }

    fn read_fleet(&mut self) {
        let fleet = self.fleet.borrow_and_update();
        self.servers =
            fleet.iter().map(|(name, &address)| (server_key(name), (name.clone(), address))).collect();
        if self.servers.len() < fleet.len() {
            info!("quic: two servers' names give one id; rename one");
        }
    }

    // ---- From clients -------------------------------------------------------------------------

    async fn client_datagram(&mut self, datagram: &[u8], from: SocketAddr) {
        match Header::parse(datagram, self.config.id_length) {
            Err(_) | Ok(Header::VersionNegotiation { .. }) => self.dropped.malformed += 1,
            Ok(Header::OtherVersion { to, from: theirs }) => {
                if datagram.len() < MIN_INITIAL {
                    self.dropped.stray += 1;
                } else {
                    let noise = self.rng.next_u32() as u8 & 0x7f;
                    self.say(&version_negotiation(&theirs, &to, noise), from).await;
                }
            }
            Ok(Header::Long { kind, to, from: theirs }) => match self.table.route(&to) {
                Some(Route::To(id)) => self.forward(id, to, datagram, from).await,
                Some(Route::Answered) => self.dropped.repeated += 1,
                None if kind != LongKind::Initial || datagram.len() < MIN_INITIAL || to.len() < 8 => {
                    self.dropped.stray += 1;
                }
                None => self.begin(to, theirs, datagram, from).await,
            },
            Ok(Header::Short { to }) => match self.table.route(&to) {
                Some(Route::To(id)) => self.forward(id, to, datagram, from).await,
                Some(Route::Answered) => self.dropped.repeated += 1,
                None => self.unknown(to, datagram, from).await,
            },
        }
    }

    fn ask(&self) -> Ask {
        Ask {
            class: self.config.class.clone(),
            tenant: self.config.tenant.clone(),
            group: None,
            wait: Span::from_micros(i64::from(self.config.deadline_ms) * 1000),
            ..Ask::default()
        }
    }

    /// A new connection: a request to the core.
    async fn begin(&mut self, to: ConnectionId, theirs: ConnectionId, datagram: &[u8], from: SocketAddr) {
        if !*self.gate.borrow() {
            self.dropped.not_taken += 1;
            return;
        }
        if self.paths >= self.config.paths || self.flows.len() >= self.config.paths {
            // The limit is reached: refused at once, like any request that cannot be placed.
            self.dropped.not_taken += 1;
            self.table.answer(to);
            return self.refuse(to, theirs, from, CONNECTION_REFUSED, "BUSY 1000").await;
        }
        let id = self.core.next_id();
        let mut flow = self.flow(Stage::Waiting, to, from);
        flow.first = Some((to, theirs));
        flow.held.push(Bytes::copy_from_slice(datagram));
        self.table.learn(to, id);
        self.flows.insert(id, flow);
        self.core.tell(Report::Request(id, self.ask(), self.port.clone())).await;
    }

    fn flow(&self, stage: Stage, last: ConnectionId, client: SocketAddr) -> Flow {
        let now = Instant::now();
        Flow {
            stage,
            server: None,
            first: None,
            last,
            client,
            held: Vec::new(),
            paths: Vec::new(),
            seen: now,
            answered: now,
            asked: false,
        }
    }

    /// A short header whose id has never been seen. Servers issue ids under encryption, so the id
    /// itself tells the server: a connection that goes on under a new id and perhaps a new address.
    /// One that tells no server of the list gets its one final answer.
    async fn unknown(&mut self, to: ConnectionId, datagram: &[u8], from: SocketAddr) {
        let server = server_of(&to, self.config.rotation).and_then(|key| self.servers.get(&key));
        match server.cloned() {
            Some((name, address)) if self.paths < self.config.paths => {
                if let Some(&id) = self.by_path.get(&(from, address)) {
                    // The same client under a further id: one connection to the core, not two.
                    self.table.learn(to, id);
                    return self.forward(id, to, datagram, from).await;
                }
                let id = self.core.next_id();
                let mut flow = self.flow(Stage::Waiting, to, from);
                flow.held.push(Bytes::copy_from_slice(datagram));
                self.table.learn(to, id);
                self.flows.insert(id, flow);
                self.core.tell(Report::Existing(id, self.ask(), name, self.port.clone())).await;
            }
            _ => {
                self.table.answer(to);
                self.reset(&to, datagram.len(), from).await;
            }
        }
    }

    /// Passes a client's datagram to its server, on the path of the address that it came from.
    async fn forward(&mut self, id: RequestId, to: ConnectionId, datagram: &[u8], from: SocketAddr) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let now = Instant::now();
        flow.seen = now;
        if matches!(flow.stage, Stage::Up(_)) && flow.first.is_none_or(|(first, _)| first != to) {
            flow.last = to;
        }
        if !matches!(flow.stage, Stage::Up(_)) && flow.held.len() < MAX_HELD {
            flow.held.push(Bytes::copy_from_slice(datagram));
        }
        if matches!(flow.stage, Stage::Waiting) {
            return;
        }
        let asks = matches!(flow.stage, Stage::Up(_))
            && !flow.asked
            && now.duration_since(flow.answered) >= WANTS_ANSWER;
        flow.asked |= asks;
        if self.open_path(id, from).await {
            self.send(id, from, datagram).await;
        }
        if asks {
            // Not every datagram has an answer of its own.
            self.core.tell(Report::Asked(id, false)).await;
        }
    }

    async fn send(&mut self, id: RequestId, client: SocketAddr, datagram: &[u8]) {
        let paths = self.flows.get_mut(&id).map(|flow| &mut flow.paths);
        let path = paths.and_then(|paths| paths.iter_mut().find(|path| path.client == client));
        let Some(path) = path else { return };
        path.used = Instant::now();
        // A new socket is not ready until the runtime has looked at it, so `try_send` alone would lose
        // the first datagram of every path, and with it the time to the client's next try.
        let sent = timeout(UNSENT_AFTER, path.socket.send(datagram)).await;
        self.dropped.unsent += u64::from(!matches!(sent, Ok(Ok(_))));
    }

    /// Makes sure that there is a path for this address; `false` where there can be none.
    async fn open_path(&mut self, id: RequestId, client: SocketAddr) -> bool {
        let full = self.paths >= self.config.paths;
        let Some(flow) = self.flows.get_mut(&id) else { return false };
        let (Some(server), Some(attempt)) = (flow.server, flow.attempt()) else { return false };
        if flow.paths.iter().any(|path| path.client == client) {
            return true;
        }
        if full && flow.paths.is_empty() {
            self.dropped.not_taken += 1;
            return false;
        }
        if full || flow.paths.len() >= PATHS_EACH {
            let oldest = (0..flow.paths.len()).min_by_key(|&at| flow.paths[at].used).unwrap_or_default();
            let old = flow.paths.swap_remove(oldest);
            self.paths -= 1;
            self.by_path.remove(&(old.client, server));
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
        let reader = tokio::spawn(read(socket.clone(), id, attempt, client, self.to_front.clone()));
        let path = Path { client, socket, reader: reader.abort_handle(), used: Instant::now() };
        flow.paths.push(path);
        self.paths += 1;
        self.by_path.insert((client, server), id);
        true
    }

    fn close_paths(&mut self, id: RequestId) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        for path in flow.paths.drain(..) {
            self.paths -= 1;
            if let Some(server) = flow.server {
                self.by_path.remove(&(path.client, server));
            }
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<Flow> {
        self.close_paths(id);
        self.flows.remove(&id)
    }

    // ---- From servers -------------------------------------------------------------------------

    async fn server_datagram(&mut self, from: FromServer) {
        let FromServer { id, attempt, client, datagram } = from;
        let Some(flow) = self.flows.get_mut(&id).filter(|flow| flow.attempt() == Some(attempt)) else {
            return;
        };
        let trying = matches!(flow.stage, Stage::Trying(_));
        let Ok(datagram) = datagram else {
            // The server's machine says that nobody listens there.
            let outcome = if trying { Outcome::ConnectError } else { Outcome::Reset };
            return self.server_gone(id, attempt, outcome).await;
        };
        (flow.seen, flow.answered) = (Instant::now(), Instant::now());
        let answered = std::mem::take(&mut flow.asked);
        match Header::parse(&datagram, 0) {
            Ok(Header::Long { kind, from: issued, .. }) => {
                if let (true, Some((first, _))) = (trying, &mut flow.first) {
                    if kind == LongKind::Retry {
                        // The client begins again with this id, and its keys follow from it.
                        *first = issued;
                        self.table.learn(issued, id);
                        return self.say(&datagram, client).await;
                    }
                    let opened = initial::open(&datagram, first, Side::Server);
                    if let Some((code, _)) = opened.and_then(|opened| initial::closes(&opened.frames)) {
                        let refused = code == CONNECTION_REFUSED;
                        let outcome = if refused { Outcome::QueueFull } else { Outcome::Failed };
                        return self.server_gone(id, attempt, outcome).await;
                    }
                    // Only ids that the server issued have a token that the client can know.
                    (flow.stage, flow.last) = (Stage::Up(attempt), issued);
                    flow.held = Vec::new();
                    self.core.tell(Report::Up(id, attempt)).await;
                    self.core.count(Count::Passed, &self.config.class);
                }
                self.table.learn(issued, id);
            }
            Ok(Header::Short { .. }) if !trying => {}
            Ok(Header::VersionNegotiation { .. } | Header::OtherVersion { .. }) if trying => {
                return self.server_gone(id, attempt, Outcome::Failed).await;
            }
            _ => return self.dropped.malformed += 1,
        }
        // Only an address at which the server answers is one to which a reset may go.
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.client = client;
        }
        self.say(&datagram, client).await;
        if answered {
            self.core.tell(Report::Answered(id)).await;
        }
    }

    /// The attempt is over, and with it the connection where one stood.
    async fn server_gone(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        self.close_paths(id);
        if let Some(flow) = self.flows.get_mut(&id) {
            if matches!(flow.stage, Stage::Up(_)) {
                self.send_away(id).await;
            } else {
                flow.stage = Stage::Waiting;
            }
        }
        self.core.tell(Report::Ended(id, attempt, outcome)).await;
    }

    // ---- From the core ------------------------------------------------------------------------

    async fn command(&mut self, id: RequestId, command: Command) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        match command {
            Command::Attempt { attempt, address, .. } => {
                flow.server = Some(address);
                flow.stage = if flow.first.is_some() { Stage::Trying(attempt) } else { Stage::Up(attempt) };
                // Kept for a further attempt, which only a connection that begins can need.
                let held =
                    if flow.first.is_some() { flow.held.clone() } else { std::mem::take(&mut flow.held) };
                let client = flow.client;
                if !self.open_path(id, client).await {
                    // No socket or no path is left here, which says nothing of the server.
                    return self.server_gone(id, attempt, Outcome::LocalFailure).await;
                }
                let begins = self.flows.get(&id).is_some_and(|flow| flow.first.is_some());
                for datagram in held {
                    self.send(id, client, &datagram).await;
                }
                if begins {
                    self.core.count(Count::Tries, &self.config.class);
                }
            }
            // No connection comes up before the first packet, and a packet of the server has gone to its client
            // already: QUIC's own handshake goes on.
            Command::Begin { .. } | Command::Pass { .. } => {}
            Command::Close { attempt } => {
                if flow.attempt() == Some(attempt) {
                    flow.stage = Stage::Waiting;
                    self.close_paths(id);
                }
            }
            Command::Answer(answer) => match (flow.first, flow.client) {
                (Some((first, theirs)), client) => {
                    let (count, code, reason) = match answer {
                        Answer::Refused(wait) => {
                            let reason = format!("BUSY {}", wait.as_micros() / 1000);
                            (Count::Dropped, CONNECTION_REFUSED, reason)
                        }
                        Answer::Failed => (Count::BadGateway, INTERNAL_ERROR, "ERR".to_owned()),
                    };
                    self.core.count(count, &self.config.class);
                    self.table.close(id);
                    self.remove(id);
                    self.refuse(first, theirs, client, code, &reason).await;
                }
                (None, _) => self.send_away(id).await,
            },
            // Its paths are sockets of this process alone, so it is not handed on.
            Command::Move | Command::Hand(_) => self.send_away(id).await,
        }
    }

    /// The final answer to an Initial.
    async fn refuse(
        &mut self,
        first: ConnectionId,
        theirs: ConnectionId,
        to: SocketAddr,
        code: u64,
        reason: &str,
    ) {
        let frames = initial::close_frame(code, reason);
        let packet = initial::seal(&first, Side::Server, &theirs, &first, 0, &frames, 0);
        self.say(&packet, to).await;
    }

    /// Ends a connection in its server's name.
    async fn send_away(&mut self, id: RequestId) {
        if let Some(flow) = self.remove(id) {
            self.table.close(id);
            let length = flow.held.first().map_or(MIN_INITIAL, Bytes::len);
            self.reset(&flow.last, length, flow.client).await;
        }
    }

    async fn reset(&mut self, id: &ConnectionId, length: usize, to: SocketAddr) {
        match self.key.datagram(id, length, &mut self.rng) {
            Some(reset) => self.say(&reset, to).await,
            None => self.dropped.stray += 1,
        }
    }

    async fn say(&mut self, datagram: &[u8], to: SocketAddr) {
        let sent = timeout(UNSENT_AFTER, self.socket.send_to(datagram, to)).await;
        self.dropped.unsent += u64::from(!matches!(sent, Ok(Ok(_))));
    }

    // ---- Housekeeping -------------------------------------------------------------------------

    /// Ends idle connections and paths that their clients have left.
    async fn sweep(&mut self) {
        let idle = Duration::from_millis(u64::from(self.config.idle_ms));
        let now = Instant::now();
        let mut over = Vec::new();
        for (&id, flow) in &mut self.flows {
            if let Stage::Up(attempt) = flow.stage {
                if now.duration_since(flow.seen) >= idle {
                    over.push((id, attempt));
                }
            }
            let (server, current) = (flow.server, flow.client);
            let (paths, by_path) = (&mut self.paths, &mut self.by_path);
            flow.paths.retain(|path| {
                let keep = path.client == current || now.duration_since(path.used) < PATH_LEFT;
                if let (false, Some(server)) = (keep, server) {
                    *paths -= 1;
                    by_path.remove(&(path.client, server));
                }
                keep
            });
        }
        for (id, attempt) in over {
            self.table.forget(id);
            self.remove(id);
            self.core.tell(Report::Ended(id, attempt, Outcome::Cancelled)).await;
        }
        if self.dropped != self.reported {
            self.reported = self.dropped;
            info!("quic: {} connections, {} paths, dropped {:?}", self.flows.len(), self.paths, self.dropped);
        }
    }
}

/// After an error of a path's socket that is not the server's, the next read waits a little.
const AFTER_READ_ERROR: Duration = Duration::from_millis(10);

/// Reads one path's socket until the server's machine refuses, or the path is given up. Other errors are of this
/// machine or of the network on the way, and pass: they say nothing of the server.
async fn read(
    socket: Arc<UdpSocket>,
    id: RequestId,
    attempt: u32,
    client: SocketAddr,
    front: mpsc::Sender<FromServer>,
) {
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        let datagram = socket.recv(&mut buffer).await.map(|length| Bytes::copy_from_slice(&buffer[..length]));
        let failed = match &datagram {
            Ok(_) => false,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => true,
            Err(_) => {
                tokio::time::sleep(AFTER_READ_ERROR).await;
                continue;
            }
        };
        if front.send(FromServer { id, attempt, client, datagram }).await.is_err() || failed {
            return;
        }
    }
}
