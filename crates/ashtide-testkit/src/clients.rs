//! Mock clients: one for the line protocol over TCP, and a set of QUIC clients that share a few sockets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use crate::mock_backend::{CLIENT_ID_LENGTH, PACKET_LENGTH, crypto_frame};
use crate::{ID_LENGTH, RESET_KEY, ScenarioError, within};
use ashtide::config::decode_hex;
use ashtide::quic::header::{MIN_INITIAL_DATAGRAM, write_long_header};
use ashtide::quic::initial::{self, Side};
use ashtide::quic::load_balancing::{QuicServerId, SERVER_ID_LENGTH, decode_server_id};
use ashtide::quic::reset::{RESET_TOKEN_LENGTH, ResetKey};
use ashtide::quic::{ConnectionId, Header, LongPacketType};
use ashtide_protocol::LineCodec;

/// Maximum number of QUIC clients that send at the same time, few enough for each socket's receive buffer.
const BATCH_SIZE: usize = 40;
/// Maximum number of times that a datagram is sent before it counts as unanswered.
const MAX_SENDS: usize = 25;
/// Time to wait for a datagram before unanswered ones are sent again.
const RESEND_TIMEOUT: Duration = Duration::from_millis(200);

/// Client of the line front end.
pub struct LineClient {
    lines: FramedRead<OwnedReadHalf, LineCodec>,
    write: OwnedWriteHalf,
}

impl LineClient {
    /// Connects and sends nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is not established.
    pub async fn connect(address: SocketAddr) -> Result<Self, ScenarioError> {
        let (read, write) = within("a connection", TcpStream::connect(address)).await??.into_split();
        Ok(Self { lines: FramedRead::new(read, LineCodec::default()), write })
    }

    /// Sends `bytes` until all are sent or the other side closes the connection. Returns the first line
    /// received, or `None` if the connection ends before.
    ///
    /// # Errors
    ///
    /// Returns an error if neither occurs within the time limit.
    pub async fn send_and_receive(&mut self, bytes: &[u8]) -> Result<Option<String>, ScenarioError> {
        let _ = within("the end of sending", self.write.write_all(bytes)).await?;
        self.next().await
    }

    /// Connects and sends a request. Returns the client and the first line received.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is not established or nothing is received.
    pub async fn open(address: SocketAddr, number: u64) -> Result<(Self, String), ScenarioError> {
        let mut client = Self::connect(address).await?;
        // Each request has a new id. Key and group identify the client.
        static NEXT_ID: AtomicU64 = AtomicU64::new(1 << 32);
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        client.send_line(&format!("OPEN {id:016x} {number:016x} c=meter,d=3000,g={number:x}")).await?;
        let answer = client.next().await?.unwrap_or_default();
        Ok((client, answer))
    }

    /// Sends the first part of a line, without a line end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended.
    pub async fn send_partial_line(&mut self, part: &str) -> Result<(), ScenarioError> {
        Ok(self.write.write_all(part.as_bytes()).await?)
    }

    /// Sends one line.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended.
    pub async fn send_line(&mut self, line: &str) -> Result<(), ScenarioError> {
        Ok(self.write.write_all(format!("{line}\r\n").as_bytes()).await?)
    }

    /// Returns the next line, or `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if neither is received within the time limit.
    pub async fn next(&mut self) -> Result<Option<String>, ScenarioError> {
        let line = within("a line", self.lines.next()).await?.and_then(Result::ok);
        Ok(line.map(|line| String::from_utf8_lossy(&line).trim_end().to_owned()))
    }

    /// Sends a line and returns whether the next line received is the same.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing is received within the time limit.
    pub async fn receives_echo(&mut self, line: &str) -> Result<bool, ScenarioError> {
        self.send_line(line).await?;
        Ok(self.next().await?.as_deref() == Some(line))
    }

    /// Returns whether the next line is `MOVE`, followed by the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing is received within the time limit.
    pub async fn receives_move(&mut self) -> Result<bool, ScenarioError> {
        Ok(self.next().await?.as_deref() == Some("MOVE") && self.next().await?.is_none())
    }
}

/// UDP sockets connected to the daemon, whose received datagrams share one queue.
pub struct SocketPool {
    sockets: Vec<Arc<UdpSocket>>,
    received: mpsc::Receiver<Bytes>,
    _readers: JoinSet<()>,
}

impl SocketPool {
    /// Opens this number of sockets connected to the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket cannot be opened.
    pub async fn open(sockets: usize, daemon: SocketAddr) -> Result<Self, ScenarioError> {
        let (sender, received) = mpsc::channel(1024);
        let (mut all, mut readers) = (Vec::new(), JoinSet::new());
        for _ in 0..sockets {
            let socket = UdpSocket::bind("127.0.0.1:0").await?;
            socket.connect(daemon).await?;
            let socket = Arc::new(socket);
            all.push(socket.clone());
            let sender = sender.clone();
            readers.spawn(async move {
                let mut buffer = [0; 2048];
                loop {
                    // A missing daemon shows as a receive error. Its clients then receive nothing.
                    if let Ok(length) = socket.recv(&mut buffer).await {
                        if sender.send(Bytes::copy_from_slice(&buffer[..length])).await.is_err() {
                            return;
                        }
                    }
                }
            });
        }
        Ok(Self { sockets: all, received, _readers: readers })
    }

    /// Sends a datagram on the socket with this index, modulo the number of sockets.
    pub async fn send(&self, socket: usize, datagram: &[u8]) {
        // A datagram that cannot be sent counts as lost, as in the network.
        let _ = self.sockets[socket % self.sockets.len()].send(datagram).await;
    }

    /// Returns the next datagram, or `None` if none is received within the resend time-out.
    pub async fn next(&mut self) -> Option<Bytes> {
        timeout(RESEND_TIMEOUT, self.received.recv()).await.ok().flatten()
    }
}

/// Mock QUIC client with one connection.
#[derive(Debug, Clone)]
pub struct QuicClient {
    /// Number of the client, which is also its own connection id.
    pub number: u64,
    /// Destination connection id of its Initial.
    pub initial_id: ConnectionId,
    own_id: ConnectionId,
    /// Connection id that its packets to the server use, once the server has accepted the connection.
    pub id: Option<ConnectionId>,
    /// Further connection id issued by its server.
    pub spare: Option<ConnectionId>,
    /// Server that accepted the connection.
    pub server: Option<QuicServerId>,
    /// Number of the last message that was answered.
    pub answered: u64,
    /// Error code and reason of each CONNECTION_CLOSE received.
    pub closed: Vec<(u64, String)>,
    /// Number of stateless resets received with the token of one of its ids.
    pub resets: u32,
}

/// Mock QUIC clients of a scenario.
pub struct QuicClients {
    /// Clients by index.
    pub all: Vec<QuicClient>,
    reset_key: ResetKey,
    /// Index of the client by stateless reset token.
    reset_tokens: HashMap<[u8; RESET_TOKEN_LENGTH], usize>,
    /// Number of answers from a server other than the one that accepted the client.
    pub wrong_server: u64,
    /// Number of Version Negotiation packets received.
    pub version_negotiations: u64,
    /// Number of received datagrams of no expected kind.
    pub unexpected: u64,
}

fn connection_id(bytes: &[u8]) -> ConnectionId {
    ConnectionId::new(bytes).unwrap_or_default()
}

impl QuicClients {
    /// Creates `count` clients that have sent nothing. Each `series` has its own range of ids.
    pub fn new(count: usize, series: u64) -> Self {
        let all = (0..count as u64).map(|index| {
            let number = (series << 32) | index;
            QuicClient {
                number,
                initial_id: connection_id(&(number ^ 0xa55a_c33c_0000_0000).to_be_bytes()),
                own_id: connection_id(&number.to_be_bytes()),
                id: None,
                spare: None,
                server: None,
                answered: 0,
                closed: Vec::new(),
                resets: 0,
            }
        });
        Self {
            all: all.collect(),
            reset_key: ResetKey::new(decode_hex(RESET_KEY).unwrap_or_default()),
            reset_tokens: HashMap::new(),
            wrong_server: 0,
            version_negotiations: 0,
            unexpected: 0,
        }
    }

    /// Returns the Initial of a client.
    pub fn initial(&self, client: usize) -> Vec<u8> {
        let QuicClient { number, initial_id, own_id, .. } = &self.all[client];
        initial::seal(
            initial_id,
            Side::Client,
            initial_id,
            own_id,
            0,
            &crypto_frame(*number),
            MIN_INITIAL_DATAGRAM,
        )
    }

    /// Returns a message of an established connection, under its current id.
    pub fn message(&self, client: usize, message: u64) -> Vec<u8> {
        short_header_packet(&self.all[client].id.unwrap_or_default(), message)
    }

    /// Counts stateless resets with the tokens of these ids for a client.
    pub fn expect_resets(&mut self, ids: &[ConnectionId], client: usize) {
        for id in ids {
            self.reset_tokens.insert(self.reset_key.token(id), client);
        }
    }

    /// Processes a received datagram.
    pub fn handle_datagram(&mut self, datagram: &[u8]) {
        let token =
            datagram.last_chunk::<RESET_TOKEN_LENGTH>().and_then(|token| self.reset_tokens.get(token));
        if let Some(&client) = token {
            self.all[client].resets += 1;
            return;
        }
        match Header::parse(datagram, CLIENT_ID_LENGTH) {
            Ok(Header::Long {
                packet_type: LongPacketType::Initial,
                destination_id: to,
                source_id: from,
            }) if self.index_of(&to).is_some() => {
                let Some(index) = self.index_of(&to) else { return };
                let client = &mut self.all[index];
                let Some(opened) = initial::open(datagram, &client.initial_id, Side::Server) else {
                    self.unexpected += 1;
                    return;
                };
                if let Some(closed) = initial::find_connection_close(&opened.frames) {
                    client.closed.push(closed);
                } else if client.id.is_none() {
                    (client.id, client.server) = (Some(from), decode_server_id(&from, 0));
                    self.expect_resets(&[from], index);
                }
            }
            Ok(Header::Short { destination_id: to })
                if datagram.len() == PACKET_LENGTH && self.index_of(&to).is_some() =>
            {
                let Some(index) = self.index_of(&to) else { return };
                let rest = &datagram[1 + CLIENT_ID_LENGTH..];
                let (answered, rest) = (u64_at(rest, 8), &rest[16..]);
                let client = &mut self.all[index];
                if client.server.as_ref().map(<[u8; SERVER_ID_LENGTH]>::as_slice)
                    != rest.get(..SERVER_ID_LENGTH)
                {
                    self.wrong_server += 1;
                    return;
                }
                client.answered = client.answered.max(answered);
                client.spare = rest.get(SERVER_ID_LENGTH..SERVER_ID_LENGTH + ID_LENGTH).map(connection_id);
            }
            Ok(Header::VersionNegotiation { .. }) => self.version_negotiations += 1,
            _ => self.unexpected += 1,
        }
    }

    fn index_of(&self, to: &[u8]) -> Option<usize> {
        let number = u64::from_be_bytes(to.try_into().ok()?);
        let index = (number & 0xffff_ffff) as usize;
        self.all.get(index).is_some_and(|client| client.number == number).then_some(index)
    }

    /// Sends the result of `datagram` for each client in `indices`, repeatedly if needed, until `done` returns
    /// true for the client. Returns the number of clients for which it still returns false.
    pub async fn exchange(
        &mut self,
        pool: &mut SocketPool,
        indices: &[usize],
        datagram: impl Fn(&Self, usize) -> Vec<u8>,
        done: impl Fn(&QuicClient) -> bool,
    ) -> usize {
        let mut unfinished = 0;
        for batch in indices.chunks(BATCH_SIZE) {
            for _ in 0..MAX_SENDS {
                let open: Vec<usize> =
                    batch.iter().copied().filter(|&index| !done(&self.all[index])).collect();
                if open.is_empty() {
                    break;
                }
                for &index in &open {
                    pool.send(index, &datagram(self, index)).await;
                }
                while open.iter().any(|&index| !done(&self.all[index])) {
                    match pool.next().await {
                        Some(received) => self.handle_datagram(&received),
                        None => break,
                    }
                }
            }
            unfinished += batch.iter().filter(|&&index| !done(&self.all[index])).count();
        }
        unfinished
    }

    /// Opens all connections. Returns the number of connections that were not established.
    pub async fn open(&mut self, pool: &mut SocketPool) -> usize {
        let all: Vec<usize> = (0..self.all.len()).collect();
        self.exchange(pool, &all, Self::initial, |client| client.id.is_some()).await
    }

    /// Sends a message from each client in `indices`. Returns the number of clients without an answer.
    pub async fn exchange_message(
        &mut self,
        pool: &mut SocketPool,
        indices: &[usize],
        message: u64,
    ) -> usize {
        let datagram = |clients: &Self, index: usize| clients.message(index, message);
        self.exchange(pool, indices, datagram, |client| client.answered >= message).await
    }

    /// Sends a datagram of an unsupported version and processes datagrams until the Version Negotiation is
    /// received. Returns whether it was. The daemon answers in order, so that everything it sent before has
    /// been received by then.
    pub async fn flush(&mut self, pool: &mut SocketPool) -> bool {
        let before = self.version_negotiations;
        for _ in 0..MAX_SENDS {
            pool.send(0, &unsupported_version_datagram()).await;
            while let Some(datagram) = pool.next().await {
                self.handle_datagram(&datagram);
                if self.version_negotiations > before {
                    return true;
                }
            }
        }
        false
    }
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    bytes.get(offset..).and_then(|rest| rest.first_chunk::<8>()).map_or(0, |bytes| u64::from_be_bytes(*bytes))
}

/// Returns a short-header packet for `id`.
pub fn short_header_packet(id: &[u8], message: u64) -> Vec<u8> {
    let mut out = vec![0x40];
    out.extend_from_slice(id);
    out.extend_from_slice(&message.to_be_bytes());
    out.resize(PACKET_LENGTH, 0);
    out
}

/// Returns a datagram of an unsupported QUIC version.
pub fn unsupported_version_datagram() -> Vec<u8> {
    let mut out = Vec::new();
    write_long_header(&mut out, 0xc0, 0x1a2a_3a4a, &[1; 8], &[2; 8]);
    out.resize(MIN_INITIAL_DATAGRAM, 0);
    out
}
