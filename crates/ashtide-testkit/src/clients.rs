//! Stand-in clients: lines over TCP, and many QUIC connections over a few sockets.

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

/// Clients that speak at the same time: few enough for every socket's queue.
const AT_ONCE: usize = 40;
/// How often something is said again before it counts as unanswered.
const TRIES: usize = 25;
/// Wait for answers before something is said again.
const PATIENCE: Duration = Duration::from_millis(200);

/// A client of the lines front.
pub struct LineClient {
    lines: FramedRead<OwnedReadHalf, LineCodec>,
    write: OwnedWriteHalf,
}

impl LineClient {
    /// Connects and says nothing yet.
    ///
    /// # Errors
    ///
    /// Fails where the daemon takes no connection.
    pub async fn connect(address: SocketAddr) -> Result<Self, ScenarioError> {
        let (read, write) = within("a connection", TcpStream::connect(address)).await??.into_split();
        Ok(Self { lines: FramedRead::new(read, LineCodec::default()), write })
    }

    /// Sends bytes until all are sent or the other side has had enough; the first line that comes, or
    /// none before the end.
    ///
    /// # Errors
    ///
    /// Fails where neither comes.
    pub async fn send_and_receive(&mut self, bytes: &[u8]) -> Result<Option<String>, ScenarioError> {
        let _ = within("an end to sending", self.write.write_all(bytes)).await?;
        self.next().await
    }

    /// Connects and asks for a connection; its answer is the first line.
    ///
    /// # Errors
    ///
    /// Fails where the daemon takes no connection or does not answer.
    pub async fn open(address: SocketAddr, number: u64) -> Result<(Self, String), ScenarioError> {
        let mut client = Self::connect(address).await?;
        // An id is fresh for each connection; the other figures are the client's own.
        static OPENED: AtomicU64 = AtomicU64::new(1 << 32);
        let id = OPENED.fetch_add(1, Ordering::Relaxed);
        client.send_line(&format!("OPEN {id:016x} {number:016x} c=meter,d=3000,g={number:x}")).await?;
        let answer = client.next().await?.unwrap_or_default();
        Ok((client, answer))
    }

    /// Sends the beginning of a line.
    ///
    /// # Errors
    ///
    /// Fails where the connection has ended.
    pub async fn send_partial_line(&mut self, part: &str) -> Result<(), ScenarioError> {
        Ok(self.write.write_all(part.as_bytes()).await?)
    }

    /// Sends one line.
    ///
    /// # Errors
    ///
    /// Fails where the connection has ended.
    pub async fn send_line(&mut self, line: &str) -> Result<(), ScenarioError> {
        Ok(self.write.write_all(format!("{line}\r\n").as_bytes()).await?)
    }

    /// The next line; `None` at the end.
    ///
    /// # Errors
    ///
    /// Fails where neither comes.
    pub async fn next(&mut self) -> Result<Option<String>, ScenarioError> {
        let line = within("a line", self.lines.next()).await?.and_then(Result::ok);
        Ok(line.map(|line| String::from_utf8_lossy(&line).trim_end().to_owned()))
    }

    /// Says something and compares what comes back.
    ///
    /// # Errors
    ///
    /// Fails where nothing comes.
    pub async fn receives_echo(&mut self, line: &str) -> Result<bool, ScenarioError> {
        self.send_line(line).await?;
        Ok(self.next().await?.as_deref() == Some(line))
    }

    /// Whether `MOVE` comes next, and then the end.
    ///
    /// # Errors
    ///
    /// Fails where nothing comes.
    pub async fn receives_move(&mut self) -> Result<bool, ScenarioError> {
        Ok(self.next().await?.as_deref() == Some("MOVE") && self.next().await?.is_none())
    }
}

/// Sockets that share one inbox.
pub struct SocketPool {
    sockets: Vec<Arc<UdpSocket>>,
    inbox: mpsc::Receiver<Bytes>,
    _readers: JoinSet<()>,
}

impl SocketPool {
    /// Opens so many sockets towards the daemon.
    ///
    /// # Errors
    ///
    /// Fails where the system has no sockets.
    pub async fn open(sockets: usize, daemon: SocketAddr) -> Result<Self, ScenarioError> {
        let (sender, inbox) = mpsc::channel(1024);
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
                    // A daemon that is not there shows as an error; its clients then hear nothing.
                    if let Ok(length) = socket.recv(&mut buffer).await {
                        if sender.send(Bytes::copy_from_slice(&buffer[..length])).await.is_err() {
                            return;
                        }
                    }
                }
            });
        }
        Ok(Self { sockets: all, inbox, _readers: readers })
    }

    /// Sends a datagram on one of the sockets.
    pub async fn send(&self, which: usize, datagram: &[u8]) {
        // Lost like any datagram where it cannot be sent.
        let _ = self.sockets[which % self.sockets.len()].send(datagram).await;
    }

    /// The next datagram, if one comes soon.
    pub async fn next(&mut self) -> Option<Bytes> {
        timeout(PATIENCE, self.inbox.recv()).await.ok().flatten()
    }
}

/// One stand-in client's connection.
#[derive(Debug, Clone)]
pub struct QuicClient {
    /// Its number, which its own id holds.
    pub number: u64,
    /// The id it begins with.
    pub first: ConnectionId,
    own: ConnectionId,
    /// The id under which it reaches its server.
    pub id: Option<ConnectionId>,
    /// A further id that its server has issued.
    pub spare: Option<ConnectionId>,
    /// The server that took it.
    pub server: Option<QuicServerId>,
    /// The last message that was answered.
    pub answered: u64,
    /// Refusals and failures: the error code and the reason of each.
    pub closed: Vec<(u64, String)>,
    /// Resets that carried the token of an id of its own.
    pub resets: u32,
}

/// All stand-in clients of a scenario.
pub struct QuicClients {
    /// The clients, by number.
    pub all: Vec<QuicClient>,
    key: ResetKey,
    tokens: HashMap<[u8; RESET_TOKEN_LENGTH], usize>,
    /// Answers that came from another server than the one that took the client.
    pub wrong_server: u64,
    /// Version negotiations that came.
    pub version_negotiations: u64,
    /// Datagrams that are none of all this.
    pub unexpected: u64,
}

fn id(bytes: &[u8]) -> ConnectionId {
    ConnectionId::new(bytes).unwrap_or_default()
}

impl QuicClients {
    /// So many clients that have said nothing yet, their ids apart from those of other `series`.
    pub fn new(count: usize, series: u64) -> Self {
        let all = (0..count as u64).map(|at| {
            let number = (series << 32) | at;
            QuicClient {
                number,
                first: id(&(number ^ 0xa55a_c33c_0000_0000).to_be_bytes()),
                own: id(&number.to_be_bytes()),
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
            key: ResetKey::new(decode_hex(RESET_KEY).unwrap_or_default()),
            tokens: HashMap::new(),
            wrong_server: 0,
            version_negotiations: 0,
            unexpected: 0,
        }
    }

    /// A client's Initial.
    pub fn initial(&self, client: usize) -> Vec<u8> {
        let QuicClient { number, first, own, .. } = &self.all[client];
        initial::seal(first, Side::Client, first, own, 0, &crypto_frame(*number), MIN_INITIAL_DATAGRAM)
    }

    /// A message of a standing connection, under the id that it uses now.
    pub fn message(&self, client: usize, message: u64) -> Vec<u8> {
        short(&self.all[client].id.unwrap_or_default(), message)
    }

    /// Tokens of the ids that a client may be reset by.
    pub fn expect_resets(&mut self, ids: &[ConnectionId], client: usize) {
        for id in ids {
            self.tokens.insert(self.key.token(id), client);
        }
    }

    /// Takes one datagram in.
    pub fn handle_datagram(&mut self, datagram: &[u8]) {
        let token = datagram.last_chunk::<RESET_TOKEN_LENGTH>().and_then(|token| self.tokens.get(token));
        if let Some(&client) = token {
            self.all[client].resets += 1;
            return;
        }
        match Header::parse(datagram, CLIENT_ID_LENGTH) {
            Ok(Header::Long {
                packet_type: LongPacketType::Initial,
                destination_id: to,
                source_id: from,
            }) if self.own(&to).is_some() => {
                let Some(at) = self.own(&to) else { return };
                let client = &mut self.all[at];
                let Some(opened) = initial::open(datagram, &client.first, Side::Server) else {
                    self.unexpected += 1;
                    return;
                };
                if let Some(closed) = initial::find_connection_close(&opened.frames) {
                    client.closed.push(closed);
                } else if client.id.is_none() {
                    (client.id, client.server) = (Some(from), decode_server_id(&from, 0));
                    self.expect_resets(&[from], at);
                }
            }
            Ok(Header::Short { destination_id: to })
                if datagram.len() == PACKET_LENGTH && self.own(&to).is_some() =>
            {
                let Some(at) = self.own(&to) else { return };
                let rest = &datagram[1 + CLIENT_ID_LENGTH..];
                let (answered, rest) = (u64_at(rest, 8), &rest[16..]);
                let client = &mut self.all[at];
                if client.server.as_ref().map(<[u8; SERVER_ID_LENGTH]>::as_slice)
                    != rest.get(..SERVER_ID_LENGTH)
                {
                    self.wrong_server += 1;
                    return;
                }
                client.answered = client.answered.max(answered);
                client.spare = rest.get(SERVER_ID_LENGTH..SERVER_ID_LENGTH + ID_LENGTH).map(id);
            }
            Ok(Header::VersionNegotiation { .. }) => self.version_negotiations += 1,
            _ => self.unexpected += 1,
        }
    }

    fn own(&self, to: &[u8]) -> Option<usize> {
        let number = u64::from_be_bytes(to.try_into().ok()?);
        let at = (number & 0xffff_ffff) as usize;
        self.all.get(at).is_some_and(|client| client.number == number).then_some(at)
    }

    /// Has every client of `which` say something until `done`; how many are not.
    pub async fn exchange(
        &mut self,
        pool: &mut SocketPool,
        which: &[usize],
        say: impl Fn(&Self, usize) -> Vec<u8>,
        done: impl Fn(&QuicClient) -> bool,
    ) -> usize {
        let mut undone = 0;
        for some in which.chunks(AT_ONCE) {
            for _ in 0..TRIES {
                let open: Vec<usize> = some.iter().copied().filter(|&at| !done(&self.all[at])).collect();
                if open.is_empty() {
                    break;
                }
                for &at in &open {
                    pool.send(at, &say(self, at)).await;
                }
                while open.iter().any(|&at| !done(&self.all[at])) {
                    match pool.next().await {
                        Some(datagram) => self.handle_datagram(&datagram),
                        None => break,
                    }
                }
            }
            undone += some.iter().filter(|&&at| !done(&self.all[at])).count();
        }
        undone
    }

    /// Opens all connections; how many did not come up.
    pub async fn open(&mut self, pool: &mut SocketPool) -> usize {
        let all: Vec<usize> = (0..self.all.len()).collect();
        self.exchange(pool, &all, Self::initial, |client| client.id.is_some()).await
    }

    /// Has all say this message; how many were not answered.
    pub async fn exchange_message(&mut self, pool: &mut SocketPool, which: &[usize], message: u64) -> usize {
        let say = |clients: &Self, at: usize| clients.message(at, message);
        self.exchange(pool, which, say, |client| client.answered >= message).await
    }

    /// Says a version that nobody speaks and hears until the answer: all that the daemon said before
    /// has been heard then, as it answers in order.
    pub async fn flush(&mut self, pool: &mut SocketPool) -> bool {
        let before = self.version_negotiations;
        for _ in 0..TRIES {
            pool.send(0, &other_version()).await;
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

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..).and_then(|rest| rest.first_chunk::<8>()).map_or(0, |bytes| u64::from_be_bytes(*bytes))
}

/// A short-header packet for `id`.
pub fn short(id: &[u8], message: u64) -> Vec<u8> {
    let mut out = vec![0x40];
    out.extend_from_slice(id);
    out.extend_from_slice(&message.to_be_bytes());
    out.resize(PACKET_LENGTH, 0);
    out
}

/// A datagram of a version that nobody speaks.
pub fn other_version() -> Vec<u8> {
    let mut out = Vec::new();
    write_long_header(&mut out, 0xc0, 0x1a2a_3a4a, &[1; 8], &[2; 8]);
    out.resize(MIN_INITIAL_DATAGRAM, 0);
    out
}
