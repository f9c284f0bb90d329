//! Mock discovery service and mock servers. A server accepts the line protocol over TCP and QUIC packets over
//! UDP, both at the address in its endpoint entry.

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

/// Length in bytes of the connection ids that mock clients choose.
pub const CLIENT_ID_LENGTH: usize = 8;
/// Length in bytes of a mock 1-RTT packet. The payload behind the connection id is not encrypted.
pub const PACKET_LENGTH: usize = 64;
/// Interval of the empty lines that the discovery service sends on an idle watch.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a server with [`ServerBehavior::SlowAccept`] takes to answer a new connection.
pub const SLOW_ACCEPT_DELAY: Duration = Duration::from_millis(1200);
/// Maximum number of ports to try until one is free for both TCP and UDP.
const PORT_ATTEMPTS: usize = 50;

/// Behaviour of a mock server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerBehavior {
    /// Accepts connections and echoes lines.
    Serve,
    /// Rejects new connections.
    Reject,
    /// Accepts everything and sends nothing.
    Silent,
    /// Serves, but accepts each connection only after [`SLOW_ACCEPT_DELAY`].
    SlowAccept,
    /// Serves, and sends the beginning of a further line with each accepted connection, without its end.
    PartialLine,
    /// Accepts connections and sends lines on each until the other side closes it.
    StreamLines,
}

/// Counters of a mock server, over both the line protocol and QUIC.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Number of accepted connections.
    pub accepted: AtomicU64,
    /// Number of connections offered to the server. A repeated Initial counts once.
    pub offered: AtomicU64,
    /// Number of packets for connection ids that the server has not issued.
    pub misrouted: AtomicU64,
}

/// Running mock server.
pub struct MockServer {
    /// Name in the endpoint list.
    pub name: String,
    /// Address for TCP and UDP.
    pub address: SocketAddr,
    /// Counters of the server.
    pub counters: Arc<ServerCounters>,
    behavior: watch::Sender<ServerBehavior>,
    reset_prefixes: watch::Sender<Vec<Vec<u8>>>,
    tasks: JoinSet<()>,
}

impl MockServer {
    async fn start(name: String, attempt_log: AttemptLog) -> Result<Self, ScenarioError> {
        let (lines, quic) = Self::bind().await?;
        let address = lines.local_addr()?;
        let counters = Arc::new(ServerCounters::default());
        let behavior = watch::Sender::new(ServerBehavior::Serve);
        let reset_prefixes = watch::Sender::new(Vec::new());
        let line_service = LineService {
            name: name.as_str().into(),
            behavior: behavior.subscribe(),
            reset_prefixes: reset_prefixes.subscribe(),
            counters: counters.clone(),
            attempt_log,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(line_service.serve(lines));
        tasks.spawn(QuicService::new(&name, behavior.subscribe(), counters.clone()).serve(quic));
        Ok(Self { name, address, counters, behavior, reset_prefixes, tasks })
    }

    async fn bind() -> Result<(TcpListener, UdpSocket), ScenarioError> {
        for _ in 0..PORT_ATTEMPTS {
            let lines = TcpListener::bind("127.0.0.1:0").await?;
            if let Ok(quic) = UdpSocket::bind(lines.local_addr()?).await {
                return Ok((lines, quic));
            }
        }
        Err(ScenarioError::TimedOut("a port free for both TCP and UDP"))
    }

    /// Changes the behaviour of the server.
    pub fn set_behavior(&self, behavior: ServerBehavior) {
        self.behavior.send_replace(behavior);
    }

    /// Sets the request id prefixes for which the server resets new connections from now on. This replaces
    /// the prefixes set before. Established connections remain.
    pub fn reset_requests_with_prefixes(&self, prefixes: Vec<Vec<u8>>) {
        self.reset_prefixes.send_replace(prefixes);
    }

    /// Stops the server: its connections are reset and new ones refused.
    pub async fn stop(&mut self) {
        self.tasks.shutdown().await;
    }
}

/// Line protocol side of a mock server.
#[derive(Clone)]
struct LineService {
    name: Arc<str>,
    behavior: watch::Receiver<ServerBehavior>,
    /// Prefixes of request ids for which connections are reset.
    reset_prefixes: watch::Receiver<Vec<Vec<u8>>>,
    counters: Arc<ServerCounters>,
    attempt_log: AttemptLog,
}

impl LineService {
    async fn serve(self, listener: TcpListener) {
        // The connections end with this task, and so with the server.
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            while connections.try_join_next().is_some() {}
            connections.spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let (read, mut write) = stream.into_split();
        let mut lines = FramedRead::new(read, LineCodec::default());
        let mut accepted = false;
        let mut open_attempt = None;
        while let Some(Ok(line)) = lines.next().await {
            if let (false, Ok(open)) = (accepted, Open::parse(line.clone())) {
                open_attempt = Some(self.attempt_log.record_arrival(&self.name, &open));
                if self.reset_prefixes.borrow().iter().any(|prefix| open.id.starts_with(prefix)) {
                    return;
                }
            }
            let behavior = *self.behavior.borrow();
            let answer: Vec<u8> = match (accepted, behavior) {
                (_, ServerBehavior::Silent) => continue,
                _ if &line[..] == b"PING\r\n" => PONG.to_vec(),
                (false, _) => {
                    self.counters.offered.fetch_add(1, Ordering::Relaxed);
                    if behavior == ServerBehavior::SlowAccept {
                        tokio::time::sleep(SLOW_ACCEPT_DELAY).await;
                    }
                    if behavior == ServerBehavior::Reject {
                        b"BUSY\r\n".to_vec()
                    } else {
                        accepted = true;
                        self.counters.accepted.fetch_add(1, Ordering::Relaxed);
                        let number = open_attempt.as_ref().map_or(0, OpenAttempt::number);
                        let partial =
                            if behavior == ServerBehavior::PartialLine { "and half a li" } else { "" };
                        format!("UP {}\r\n{partial}", Arrival::receipt(&self.name, number)).into_bytes()
                    }
                }
                (true, _) => line.to_vec(),
            };
            // The attempt ends with its answer.
            drop(open_attempt.take());
            if write.write_all(&answer).await.is_err() {
                return;
            }
            if behavior == ServerBehavior::StreamLines {
                let line = [&[b'x'; 1000][..], b"\r\n"].concat();
                while write.write_all(&line).await.is_ok() {}
                return;
            }
        }
    }
}

struct QuicSession {
    /// Connection id of the client.
    client: ConnectionId,
    /// Number of the client.
    number: u64,
}

/// QUIC side of a mock server.
struct QuicService {
    name: String,
    behavior: watch::Receiver<ServerBehavior>,
    counters: Arc<ServerCounters>,
    sessions: Vec<QuicSession>,
    /// Index of the session, by connection id issued to its client.
    session_by_id: HashMap<ConnectionId, usize>,
    /// Connection id with which the Initial was answered, by the destination id of that Initial.
    offered: HashMap<ConnectionId, ConnectionId>,
    /// Number of connection ids issued.
    issued: u64,
}

impl QuicService {
    fn new(name: &str, behavior: watch::Receiver<ServerBehavior>, counters: Arc<ServerCounters>) -> Self {
        Self {
            name: name.to_owned(),
            behavior,
            counters,
            sessions: Vec::new(),
            session_by_id: HashMap::new(),
            offered: HashMap::new(),
            issued: 0,
        }
    }

    fn issue_id(&mut self, session: usize) -> ConnectionId {
        self.issued += 1;
        let id = encode_routable_id(0, server_id_for_name(&self.name), ID_LENGTH, self.issued);
        self.session_by_id.insert(id, session);
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
                        let issued_id = match self.offered.get(&to) {
                            Some(id) => *id,
                            None => {
                                let number = crypto_number(&opened.frames)?;
                                self.sessions.push(QuicSession { client: from, number });
                                self.counters.accepted.fetch_add(1, Ordering::Relaxed);
                                let id = self.issue_id(self.sessions.len() - 1);
                                self.offered.insert(to, id);
                                id
                            }
                        };
                        let frames = [&[0x02, 0, 0, 0, 0][..], &opened.frames].concat();
                        Some(initial::seal(
                            &to,
                            Side::Server,
                            &from,
                            &issued_id,
                            0,
                            &frames,
                            MIN_INITIAL_DATAGRAM,
                        ))
                    }
                }
            }
            Header::Short { destination_id: to } => {
                let Some(&session) = self.session_by_id.get(&to) else {
                    self.counters.misrouted.fetch_add(1, Ordering::Relaxed);
                    return None;
                };
                if behavior == ServerBehavior::Silent {
                    return None;
                }
                let spare = self.issue_id(session);
                let QuicSession { client, number } = &self.sessions[session];
                let message = datagram.get(1 + ID_LENGTH..)?;
                // The answer holds the client's id and number, the message number, the server id and a new
                // connection id.
                let mut out = vec![0x40];
                out.extend_from_slice(client);
                out.extend_from_slice(&number.to_be_bytes());
                out.extend_from_slice(message.get(..8)?);
                out.extend_from_slice(&server_id_for_name(&self.name));
                out.extend_from_slice(&spare);
                out.resize(PACKET_LENGTH, 0);
                Some(out)
            }
            _ => None,
        }
    }
}

/// Returns the CRYPTO frame of a mock client's Initial. It holds the client's number in place of a TLS
/// ClientHello.
pub fn crypto_frame(number: u64) -> Vec<u8> {
    [&[0x06, 0x00, 0x08][..], &number.to_be_bytes()].concat()
}

fn crypto_number(frames: &[u8]) -> Option<u64> {
    let number = frames.strip_prefix(&[0x06, 0x00, 0x08])?.get(..8)?;
    Some(u64::from_be_bytes(number.try_into().ok()?))
}

/// Mock discovery service and the mock servers in its endpoint list.
pub struct MockBackend {
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Mock servers of this deployment.
    pub servers: Vec<MockServer>,
    /// Log of the attempts at all servers.
    pub attempt_log: AttemptLog,
    list: watch::Sender<ListState>,
    /// Tasks of the current discovery service and of those that it replaced.
    services: JoinSet<()>,
}

#[derive(Clone, Default)]
struct ListState {
    version: u64,
    entries: BTreeMap<String, Endpoint>,
    /// Delay before the discovery service answers a watch request.
    delay: Duration,
}

impl ListState {
    fn json(&self) -> Value {
        let endpoints = self.entries.values().cloned().collect();
        serde_json::to_value(EndpointList { index: self.version, snapshot: true, endpoints })
            .unwrap_or_default()
    }

    fn insert(&mut self, server: &MockServer, zone: &str, since_ms: u64) {
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
    /// Starts the discovery service and this number of servers, all of them in zone `here`.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub async fn start(servers: usize) -> Result<Self, ScenarioError> {
        Self::start_in(&vec!["here"; servers]).await
    }

    /// Starts the discovery service and one server in each of these zones. No server is warming up.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub async fn start_in(zones: &[impl AsRef<str>]) -> Result<Self, ScenarioError> {
        let (mut all, attempt_log) = (Vec::new(), AttemptLog::default());
        let mut list = ListState { version: 1, ..ListState::default() };
        for (number, zone) in zones.iter().enumerate() {
            all.push(MockServer::start(format!("s-{number}"), attempt_log.clone()).await?);
            list.insert(&all[number], zone.as_ref(), 0);
        }
        let list = watch::Sender::new(list);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let discovery = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_discovery(listener, list.subscribe()));
        Ok(Self { discovery, servers: all, attempt_log, list, services: tasks })
    }

    /// Starts a discovery service at a new address, with the current entries and versions that start at 1.
    /// The old service keeps its watches open and sends no further changes.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn move_discovery(&mut self) -> Result<(), ScenarioError> {
        let entries = self.list.borrow().entries.clone();
        let list = ListState { version: 1, entries, delay: Duration::ZERO };
        let old = std::mem::replace(&mut self.list, watch::Sender::new(list));
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.discovery = listener.local_addr()?;
        self.services.spawn(serve_discovery(listener, self.list.subscribe()));
        // A watch ends once its sender is dropped, so the sender is retained.
        self.services.spawn(async move { old.closed().await });
        Ok(())
    }

    /// Returns the endpoint list of the discovery service.
    pub fn endpoint_list(&self) -> Value {
        self.list.borrow().json()
    }

    /// Starts a further server and adds it to the list with the start time `since_ms`, in milliseconds of
    /// Unix time. Returns the index of the server.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn add(&mut self, zone: &str, since_ms: u64) -> Result<usize, ScenarioError> {
        let number = self.servers.len();
        let server = MockServer::start(format!("s-{number}"), self.attempt_log.clone()).await?;
        self.list.send_modify(|list| {
            list.version += 1;
            list.insert(&server, zone, since_ms);
        });
        self.servers.push(server);
        Ok(number)
    }

    /// Sets the status of a server in the list, and adds the server first if it isn't listed.
    pub fn set_status(&self, server: usize, status: EndpointStatus) {
        self.list.send_modify(|list| {
            list.version += 1;
            let server = &self.servers[server];
            if !list.entries.contains_key(&server.name) {
                list.insert(server, "here", 0);
            }
            if let Some(entry) = list.entries.get_mut(&server.name) {
                entry.status = status;
            }
        });
    }

    /// Sets the delay with which the discovery service answers a watch request.
    pub fn set_discovery_delay(&self, delay: Duration) {
        self.list.send_modify(|list| list.delay = delay);
    }

    /// Removes a server from the list.
    pub fn remove(&self, server: usize) {
        self.list.send_modify(|list| {
            list.version += 1;
            list.entries.remove(&self.servers[server].name);
        });
    }

    /// Returns the sum of a counter over all servers.
    pub fn sum(&self, counter: impl Fn(&ServerCounters) -> &AtomicU64) -> u64 {
        self.servers.iter().map(|server| counter(&server.counters).load(Ordering::Relaxed)).sum()
    }
}

async fn serve_discovery(listener: TcpListener, list: watch::Receiver<ListState>) {
    let mut watches = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while watches.try_join_next().is_some() {}
        watches.spawn(serve_watch(stream, list.clone()));
    }
}

async fn serve_watch(mut stream: TcpStream, mut list: watch::Receiver<ListState>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) if head.len() < 4096 => head.push(byte),
            _ => return,
        }
    }
    let delay = list.borrow().delay;
    tokio::time::sleep(delay).await;
    let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    // A client whose version is current first receives the next change.
    let head = String::from_utf8_lossy(&head);
    let after = head.split_once("after=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
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

/// Returns `text` as one chunk of a chunked HTTP response.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
