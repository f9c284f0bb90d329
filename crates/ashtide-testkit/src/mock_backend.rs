//! Stand-ins for discovery and for reading servers: lines over TCP and QUIC's ids over UDP, both at
//! the address that the list gives.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::codec::FramedRead;

use crate::attempt_log::{Arrival, AttemptLog, OpenAttempt};
use crate::{ID_LENGTH, ScenarioError};
use ashtide::discovery::{Endpoint, EndpointList, EndpointStatus};
use ashtide::quic::header::MIN_INITIAL_DATAGRAM;
use ashtide::quic::initial::{self, CONNECTION_REFUSED, Side};
use ashtide::quic::load_balancing::{encode_routable_id, server_id_for_name};
use ashtide::quic::{ConnectionId, Header, LongPacketType};
use ashtide_protocol::{LineCodec, Open, PONG};

/// Length of the ids that stand-in clients choose for themselves.
pub const CLIENT_ID_LENGTH: usize = 8;
/// A stand-in's 1-RTT packet: what would be encrypted stands open behind the id.
pub const PACKET_LENGTH: usize = 64;
/// Discovery's empty line.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a late server takes to answer a new connection.
pub const SLOW_ACCEPT_DELAY: Duration = Duration::from_millis(1200);
/// Tries to find a port that is free for both TCP and UDP.
const PORT_TRIES: usize = 50;

/// How a stand-in server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// Serves.
    Serve,
    /// Turns new connections away.
    Reject,
    /// Takes everything and says nothing.
    Silent,
    /// Serves, but is [`SLOW_ACCEPT_DELAY`] in taking a connection.
    SlowAccept,
    /// Serves, and has begun a line of its own on each connection that it never ends.
    PartialLine,
    /// Takes connections and sends lines on each for as long as somebody reads them.
    StreamLines,
}

/// What a stand-in server has seen.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Connections that it took, of either front.
    pub accepted: AtomicU64,
    /// Connections offered to it, of either front: a repeated Initial counts once.
    pub offered: AtomicU64,
    /// Packets of connections that are not its own.
    pub misrouted: AtomicU64,
}

/// One stand-in server.
pub struct MockServer {
    /// Its name on the list.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has seen.
    pub counters: Arc<ServerCounters>,
    behavior: watch::Sender<ServerBehavior>,
    fails: watch::Sender<Vec<Vec<u8>>>,
    tasks: JoinSet<()>,
}

impl MockServer {
    async fn start(name: String, attempt_log: AttemptLog) -> Result<Self, ScenarioError> {
        let (lines, quic) = Self::bind().await?;
        let address = lines.local_addr()?;
        let (counters, behavior) =
            (Arc::new(ServerCounters::default()), watch::Sender::new(ServerBehavior::Serve));
        let fails = watch::Sender::new(Vec::new());
        let mut tasks = JoinSet::new();
        let own = name.as_str().into();
        tasks.spawn(serve_lines(
            lines,
            own,
            behavior.subscribe(),
            fails.subscribe(),
            counters.clone(),
            attempt_log,
        ));
        tasks.spawn(Quic::new(&name, behavior.subscribe(), counters.clone()).serve(quic));
        Ok(Self { name, address, counters, behavior, fails, tasks })
    }

    async fn bind() -> Result<(TcpListener, UdpSocket), ScenarioError> {
        for _ in 0..PORT_TRIES {
            let lines = TcpListener::bind("127.0.0.1:0").await?;
            if let Ok(quic) = UdpSocket::bind(lines.local_addr()?).await {
                return Ok((lines, quic));
            }
        }
        Err(ScenarioError::TimedOut("a port free for both TCP and UDP"))
    }

    /// Changes its behaviour.
    pub fn set_behavior(&self, behavior: ServerBehavior) {
        self.behavior.send_replace(behavior);
    }

    /// From now on it resets new connections whose ids begin with one of these, and no others; what stands stays.
    pub fn reset_requests_with_prefixes(&self, beginnings: Vec<Vec<u8>>) {
        self.fails.send_replace(beginnings);
    }

    /// Dies: its connections are reset and new ones refused.
    pub async fn stop(&mut self) {
        self.tasks.shutdown().await;
    }
}

async fn serve_lines(
    listener: TcpListener,
    name: Arc<str>,
    behavior: watch::Receiver<ServerBehavior>,
    fails: watch::Receiver<Vec<Vec<u8>>>,
    counters: Arc<ServerCounters>,
    attempt_log: AttemptLog,
) {
    // Connections end with the server.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let (behavior, fails) = (behavior.clone(), fails.clone());
        connections.spawn(serve_line(
            stream,
            name.clone(),
            behavior,
            fails,
            counters.clone(),
            attempt_log.clone(),
        ));
    }
}

async fn serve_line(
    stream: TcpStream,
    name: Arc<str>,
    behavior: watch::Receiver<ServerBehavior>,
    fails: watch::Receiver<Vec<Vec<u8>>>,
    counters: Arc<ServerCounters>,
    attempt_log: AttemptLog,
) {
    let (read, mut write) = stream.into_split();
    let mut lines = FramedRead::new(read, LineCodec::default());
    let mut up = false;
    let mut out = None;
    while let Some(Ok(line)) = lines.next().await {
        if let (false, Ok(open)) = (up, Open::parse(line.clone())) {
            out = Some(attempt_log.record_arrival(&name, &open));
            if fails.borrow().iter().any(|beginning| open.id.starts_with(beginning)) {
                return;
            }
        }
        let now = *behavior.borrow();
        let answer: Vec<u8> = match (up, now) {
            (_, ServerBehavior::Silent) => continue,
            _ if &line[..] == b"PING\r\n" => PONG.to_vec(),
            (false, _) => {
                counters.offered.fetch_add(1, Ordering::Relaxed);
                if now == ServerBehavior::SlowAccept {
                    tokio::time::sleep(SLOW_ACCEPT_DELAY).await;
                }
                if now == ServerBehavior::Reject {
                    b"BUSY\r\n".to_vec()
                } else {
                    up = true;
                    counters.accepted.fetch_add(1, Ordering::Relaxed);
                    let number = out.as_ref().map_or(0, OpenAttempt::number);
                    let begun = if now == ServerBehavior::PartialLine { "and half a li" } else { "" };
                    format!("UP {}\r\n{begun}", Arrival::receipt(&name, number)).into_bytes()
                }
            }
            (true, _) => line.to_vec(),
        };
        // Answered: the attempt is no longer out.
        drop(out.take());
        if write.write_all(&answer).await.is_err() {
            return;
        }
        if now == ServerBehavior::StreamLines {
            let line = [&[b'x'; 1000][..], b"\r\n"].concat();
            while write.write_all(&line).await.is_ok() {}
            return;
        }
    }
}

struct Session {
    client: ConnectionId,
    number: u64,
}

/// The QUIC side of a stand-in server.
struct Quic {
    name: String,
    behavior: watch::Receiver<ServerBehavior>,
    counters: Arc<ServerCounters>,
    sessions: Vec<Session>,
    /// Ids issued, and a client's first ids, to their sessions.
    ids: HashMap<ConnectionId, usize>,
    offered: HashMap<ConnectionId, ConnectionId>,
    issued: u64,
}

impl Quic {
    fn new(name: &str, behavior: watch::Receiver<ServerBehavior>, counters: Arc<ServerCounters>) -> Self {
        Self {
            name: name.to_owned(),
            behavior,
            counters,
            sessions: Vec::new(),
            ids: HashMap::new(),
            offered: HashMap::new(),
            issued: 0,
        }
    }

    fn issue(&mut self, session: usize) -> ConnectionId {
        self.issued += 1;
        let id = encode_routable_id(0, server_id_for_name(&self.name), ID_LENGTH, self.issued);
        self.ids.insert(id, session);
        id
    }

    async fn serve(mut self, socket: UdpSocket) {
        let mut buffer = [0; 2048];
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            if let Some(answer) = self.answer(&buffer[..length]) {
                let _ = socket.send_to(&answer, from).await;
            }
        }
    }

    fn answer(&mut self, datagram: &[u8]) -> Option<Vec<u8>> {
        let behavior = *self.behavior.borrow();
        match Header::parse(datagram, ID_LENGTH).ok()? {
            Header::Long { packet_type: LongPacketType::Initial, destination_id: to, source_id: from } => {
                let opened = initial::open(datagram, &to, Side::Client)?;
                if !self.offered.contains_key(&to) {
                    self.counters.offered.fetch_add(1, Ordering::Relaxed);
                }
                match behavior {
                    ServerBehavior::Silent => None,
                    ServerBehavior::Reject => {
                        self.offered.insert(to, to);
                        let frames = initial::encode_connection_close(CONNECTION_REFUSED, "full");
                        Some(initial::seal(&to, Side::Server, &from, &to, 0, &frames, 0))
                    }
                    ServerBehavior::Serve
                    | ServerBehavior::SlowAccept
                    | ServerBehavior::PartialLine
                    | ServerBehavior::StreamLines => {
                        let own = match self.offered.get(&to) {
                            Some(own) => *own,
                            None => {
                                let number = crypto_number(&opened.frames)?;
                                self.sessions.push(Session { client: from, number });
                                self.counters.accepted.fetch_add(1, Ordering::Relaxed);
                                let own = self.issue(self.sessions.len() - 1);
                                self.offered.insert(to, own);
                                own
                            }
                        };
                        let frames = [&[0x02, 0, 0, 0, 0][..], &opened.frames].concat();
                        Some(initial::seal(&to, Side::Server, &from, &own, 0, &frames, MIN_INITIAL_DATAGRAM))
                    }
                }
            }
            Header::Short { destination_id: to } => {
                let Some(&session) = self.ids.get(&to) else {
                    self.counters.misrouted.fetch_add(1, Ordering::Relaxed);
                    return None;
                };
                if behavior == ServerBehavior::Silent {
                    return None;
                }
                let spare = self.issue(session);
                let Session { client, number } = &self.sessions[session];
                let asked = datagram.get(1 + ID_LENGTH..)?;
                // The answer: whose it is, what was asked, who answers, and a new id to go on under.
                let mut out = vec![0x40];
                out.extend_from_slice(client);
                out.extend_from_slice(&number.to_be_bytes());
                out.extend_from_slice(asked.get(..8)?);
                out.extend_from_slice(&server_id_for_name(&self.name));
                out.extend_from_slice(&spare);
                out.resize(PACKET_LENGTH, 0);
                Some(out)
            }
            _ => None,
        }
    }
}

/// The frame in which a stand-in client's Initial tells its number, as a real one's tells its hello.
pub fn crypto_frame(number: u64) -> Vec<u8> {
    [&[0x06, 0x00, 0x08][..], &number.to_be_bytes()].concat()
}

fn crypto_number(frames: &[u8]) -> Option<u64> {
    let number = frames.strip_prefix(&[0x06, 0x00, 0x08])?.get(..8)?;
    Some(u64::from_be_bytes(number.try_into().ok()?))
}

/// Discovery and its servers.
pub struct MockBackend {
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The servers.
    pub servers: Vec<MockServer>,
    /// What they have seen together.
    pub attempt_log: AttemptLog,
    list: watch::Sender<List>,
    /// The running service, and those that it replaced.
    services: JoinSet<()>,
}

#[derive(Clone, Default)]
struct List {
    version: u64,
    entries: BTreeMap<String, Endpoint>,
    late: Duration,
}

impl List {
    fn json(&self) -> Value {
        let endpoints = self.entries.values().cloned().collect();
        serde_json::to_value(EndpointList { index: self.version, snapshot: true, endpoints })
            .unwrap_or_default()
    }

    fn put(&mut self, server: &MockServer, zone: &str, since_ms: u64) {
        let entry = Endpoint {
            name: server.name.clone(),
            address: server.address,
            zone: zone.to_owned(),
            kind: "one".to_owned(),
            cell: 0,
            status: EndpointStatus::Serving,
            weight: 1.0,
            since_ms: since_ms as f64,
        };
        self.entries.insert(server.name.clone(), entry);
    }
}

impl MockBackend {
    /// Starts discovery and this many servers.
    ///
    /// # Errors
    ///
    /// Fails where the system has no ports for them.
    pub async fn start(servers: usize) -> Result<Self, ScenarioError> {
        Self::start_in(&vec!["here"; servers]).await
    }

    /// Starts discovery and a server in each of these zones, all of them warm.
    ///
    /// # Errors
    ///
    /// Fails where the system has no ports for them.
    pub async fn start_in(zones: &[impl AsRef<str>]) -> Result<Self, ScenarioError> {
        let (mut all, attempt_log) = (Vec::new(), AttemptLog::default());
        let mut list = List { version: 1, ..List::default() };
        for (number, zone) in zones.iter().enumerate() {
            all.push(MockServer::start(format!("s-{number}"), attempt_log.clone()).await?);
            list.put(&all[number], zone.as_ref(), 0);
        }
        let list = watch::Sender::new(list);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let discovery = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(discover(listener, list.subscribe()));
        Ok(Self { discovery, servers: all, attempt_log, list, services: tasks })
    }

    /// Discovery answers at a new address, with versions of its own that begin anew. The old service
    /// stays, and tells nothing new.
    ///
    /// # Errors
    ///
    /// Fails where the system has no port for it.
    pub async fn move_discovery(&mut self) -> Result<(), ScenarioError> {
        let entries = self.list.borrow().entries.clone();
        let list = List { version: 1, entries, late: Duration::ZERO };
        let old = std::mem::replace(&mut self.list, watch::Sender::new(list));
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.discovery = listener.local_addr()?;
        self.services.spawn(discover(listener, self.list.subscribe()));
        // Its watches end with their sender, so that stays.
        self.services.spawn(async move { old.closed().await });
        Ok(())
    }

    /// The list as discovery has it.
    pub fn endpoint_list(&self) -> Value {
        self.list.borrow().json()
    }

    /// Starts a further server and lists it; it says of itself that it began at `since_ms` of Unix time.
    /// Its number.
    ///
    /// # Errors
    ///
    /// Fails where the system has no port for it.
    pub async fn add(&mut self, zone: &str, since_ms: u64) -> Result<usize, ScenarioError> {
        let number = self.servers.len();
        let server = MockServer::start(format!("s-{number}"), self.attempt_log.clone()).await?;
        self.list.send_modify(|list| {
            list.version += 1;
            list.put(&server, zone, since_ms);
        });
        self.servers.push(server);
        Ok(number)
    }

    /// Changes a server's state on the list, or puts it there.
    pub fn set_status(&self, server: usize, state: EndpointStatus) {
        self.list.send_modify(|list| {
            list.version += 1;
            let server = &self.servers[server];
            if !list.entries.contains_key(&server.name) {
                list.put(server, "here", 0);
            }
            if let Some(entry) = list.entries.get_mut(&server.name) {
                entry.status = state;
            }
        });
    }

    /// Has discovery take so long to answer a call.
    pub fn set_discovery_delay(&self, late: Duration) {
        self.list.send_modify(|list| list.late = late);
    }

    /// Takes a server off the list.
    pub fn remove(&self, server: usize) {
        self.list.send_modify(|list| {
            list.version += 1;
            list.entries.remove(&self.servers[server].name);
        });
    }

    /// A sum over what all servers have seen.
    pub fn sum(&self, figure: impl Fn(&ServerCounters) -> &AtomicU64) -> u64 {
        self.servers.iter().map(|server| figure(&server.counters).load(Ordering::Relaxed)).sum()
    }
}

async fn discover(listener: TcpListener, list: watch::Receiver<List>) {
    let mut watches = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while watches.try_join_next().is_some() {}
        watches.spawn(tell(stream, list.clone()));
    }
}

async fn tell(mut stream: TcpStream, mut list: watch::Receiver<List>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) if head.len() < 4096 => head.push(byte),
            _ => return,
        }
    }
    let late = list.borrow().late;
    tokio::time::sleep(late).await;
    let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    // Nothing has changed since a version that is not behind.
    let after = String::from_utf8_lossy(&head);
    let after = after.split_once("after=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
    if after.unwrap_or(0) < list.borrow_and_update().version {
        text += &chunk(&format!("{}\n", list.borrow().json()));
    }
    while stream.write_all(text.as_bytes()).await.is_ok() {
        text = match tokio::time::timeout(KEEPALIVE_INTERVAL, list.changed()).await {
            Ok(Ok(())) => chunk(&format!("{}\n", list.borrow_and_update().json())),
            Ok(Err(_)) => return,
            Err(_) => chunk("\n"),
        };
    }
}

/// One chunk of a chunked answer.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
