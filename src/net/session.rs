//! One client of the lines front, from its first line to its end.
//!
//! Each direction has one buffer: that of the `FramedRead` it is read by, bounded by the codec. A
//! line leaves it only to be written straight to the other socket, and nothing more is read that
//! way until it has been: that is the back-pressure. `Framed`'s buffer moves its rest to the front
//! where a ring would wrap; no second buffer stands behind it.

use std::time::Duration;

use bytes::{Buf, Bytes};
use futures_util::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::codec::FramedRead;

use super::core::{Ask, COMMANDS, Command, Handle, Report, duration};
use crate::engine::Answer;
use crate::interface::{Outcome, RequestId, Span};
use crate::lines::{
    ClientEvent, ClientSide, FAILED, LineCodec, LineError, MOVE, Open, PONG, ServerEvent, ServerSide, busy,
};

/// A client that has not said what it wants by then is let go.
const FIRST_LINE: Duration = Duration::from_secs(30);
/// How long a last line may take to be written.
const LAST_LINE: Duration = Duration::from_secs(1);
/// How long a socket that has been ended waits for its other end, so that no reset overtakes the
/// last line.
const LINGER: Duration = Duration::from_secs(1);
/// A connection from before the run is lost if it is not up by then.
const EXISTING: Duration = Duration::from_secs(40);
/// Wait between tries to reach the server of a connection from before the run.
const EXISTING_AGAIN: Duration = Duration::from_millis(300);
/// What a client over the limit is told to wait.
const OVER_LIMIT: Span = Span::from_micros(1_000_000);
/// Room for a line to begin with; lines are short, and a longer one makes more.
const LINE_ROOM: usize = 1024;

/// Limits on time that the settings give.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// A server that has not accepted by then is not there.
    pub connect: Duration,
}

type Lines = FramedRead<OwnedReadHalf, LineCodec>;

struct Peer {
    lines: Lines,
    write: OwnedWriteHalf,
}

impl Peer {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Self { lines: FramedRead::with_capacity(read, LineCodec::default(), LINE_ROOM), write }
    }

    /// Writes a last line and ends politely: half-close, then wait for the other end, as a close
    /// with unread input would reset the connection and take the line along.
    async fn finish(mut self, last: &[u8]) {
        if !matches!(timeout(LAST_LINE, self.write.write_all(last)).await, Ok(Ok(()))) {
            return;
        }
        let _ = self.write.shutdown().await;
        let mut rest = [0; 512];
        let read = self.lines.get_mut();
        let _ = timeout(LINGER, async { while matches!(read.read(&mut rest).await, Ok(1..)) {} }).await;
    }

    /// Ends as the other side did: with a reset.
    fn reset(self) {
        if let Ok(stream) = self.lines.into_inner().reunite(self.write) {
            let _ = stream.set_zero_linger();
        }
    }
}

/// Tells a client over the limit to come again.
pub async fn turn_away(client: TcpStream) {
    let mut client = Peer::new(client);
    let first = timeout(LINGER, client.lines.next()).await;
    if let Ok(Some(Ok(line))) = first {
        let answer = if &line[..] == b"PING\r\n" { Bytes::from_static(PONG) } else { busy(OVER_LIMIT) };
        client.finish(&answer).await;
    }
}

/// Serves one client.
pub async fn serve(client: TcpStream, times: Times, core: Handle) {
    let mut client = Peer::new(client);
    let mut side = ClientSide::default();
    let open = loop {
        match timeout(FIRST_LINE, client.lines.next()).await {
            Ok(Some(Ok(line))) => match side.line(line) {
                ClientEvent::Ping => {
                    if client.write.write_all(PONG).await.is_err() {
                        return;
                    }
                }
                ClientEvent::Open(open) => break open,
                ClientEvent::Pass(_) => return,
                ClientEvent::Bad(error) => {
                    eprintln!("client: {error}");
                    return client.finish(FAILED).await;
                }
            },
            Ok(Some(Err(LineError::TooLong))) => {
                eprintln!("client: {}", LineError::TooLong);
                return client.finish(FAILED).await;
            }
            Ok(Some(Err(LineError::Io(_))) | None) | Err(_) => return,
        }
    };
    let id = core.next_id();
    let (port, commands) = mpsc::channel(COMMANDS);
    let wait = open.wait.unwrap_or(Span::from_micros(EXISTING.as_micros() as i64));
    let ask = Ask {
        class: open.class.clone(),
        tenant: open.tenant.clone(),
        group: open.group.clone(),
        wait,
        load: open.load,
    };
    core.tell(match &open.at {
        Some(server) => Report::Existing(id, ask, server.clone(), port),
        None => Report::Request(id, ask, port),
    })
    .await;
    Session { id, open: *open, client, early: None, commands, core, times }.run().await;
}

/// What became of the client while an attempt was out or awaited.
enum Client {
    Spoke(Bytes),
    Left,
}

struct Session {
    id: RequestId,
    open: Open,
    client: Peer,
    /// A line that came before the connection stood; nothing more is read until it does.
    early: Option<Bytes>,
    commands: mpsc::Receiver<(RequestId, Command)>,
    core: Handle,
    times: Times,
}

impl Session {
    async fn run(mut self) {
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some((_, Command::Attempt { attempt, address, timeout })) => {
                        match self.attempt(attempt, address, timeout).await {
                            Tried::Up(server, side, line) => {
                                return self.pass(attempt, server, side, line).await;
                            }
                            Tried::Over(outcome) => {
                                self.core.tell(Report::Ended(self.id, attempt, outcome)).await;
                                if self.open.at.is_some() {
                                    return self.client.finish(FAILED).await;
                                }
                            }
                            Tried::Closed => {}
                            Tried::Left => return self.left().await,
                        }
                    }
                    Some((_, Command::Close { .. })) => {}
                    Some((_, Command::Answer(answer))) => return self.answer(answer).await,
                    Some((_, Command::Move)) => return self.client.finish(MOVE).await,
                    // The core ends with the process only.
                    None => return,
                },
                seen = watch(&mut self.client.lines), if self.early.is_none() => match seen {
                    Client::Spoke(line) => self.early = Some(line),
                    Client::Left => return self.left().await,
                },
            }
        }
    }

    async fn left(self) {
        self.core.tell(Report::Left(self.id)).await;
    }

    async fn answer(self, answer: Answer) {
        match answer {
            Answer::Refused(wait) => self.client.finish(&busy(wait)).await,
            Answer::Failed => self.client.finish(FAILED).await,
        }
    }

    /// Makes one attempt. Its socket is closed before anything else is done when it is given up.
    async fn attempt(&mut self, attempt: u32, address: std::net::SocketAddr, wait: Span) -> Tried {
        let existing = self.open.at.is_some();
        let line = if existing { self.open.raw.clone() } else { self.open.forward(wait) };
        let by = Instant::now() + if existing { duration(wait).max(EXISTING) } else { duration(wait) };
        let connect = self.times.connect;
        let dial = async {
            loop {
                let side = ServerSide::default();
                match dial(address, &line, connect, side).await {
                    Dialled::Up(server, side, line) => return Tried::Up(server, side, line),
                    // Before the run there is no hurry, and nowhere else to go.
                    Dialled::Over(Outcome::ConnectError) if existing => sleep(EXISTING_AGAIN).await,
                    Dialled::Over(outcome) => return Tried::Over(outcome),
                }
            }
        };
        tokio::pin!(dial);
        loop {
            tokio::select! {
                tried = &mut dial => return tried,
                () = tokio::time::sleep_until(by), if existing => return Tried::Over(Outcome::TimedOut),
                command = self.commands.recv() => match command {
                    Some((_, Command::Close { attempt: which })) if which == attempt => return Tried::Closed,
                    Some((_, Command::Move)) => return Tried::Over(Outcome::Cancelled),
                    Some(_) => {}
                    None => return Tried::Left,
                },
                seen = watch(&mut self.client.lines), if self.early.is_none() => match seen {
                    Client::Spoke(line) => self.early = Some(line),
                    Client::Left => return Tried::Left,
                },
            }
        }
    }

    /// Passes lines both ways until either side ends or the core moves the client.
    async fn pass(mut self, attempt: u32, mut server: Peer, mut side: ServerSide, up: Bytes) {
        let id = self.id;
        self.core.tell(Report::Up(id, attempt)).await;
        let mut to_client = up;
        let mut to_server = self.early.take().unwrap_or_default();
        let mut last = false;
        let end = loop {
            if last && to_client.is_empty() {
                break End::Server(side.end());
            }
            tokio::select! {
                written = self.client.write.write_buf(&mut to_client), if !to_client.is_empty() => {
                    if written.is_err() {
                        break End::Client(true);
                    }
                }
                written = server.write.write_buf(&mut to_server), if !to_server.is_empty() => {
                    if written.is_err() {
                        break End::Server(side.end());
                    }
                    if to_server.is_empty() {
                        self.core.tell(Report::Asked(id)).await;
                    }
                }
                line = server.lines.next(), if to_client.is_empty() && !last => match line {
                    Some(Ok(line)) => match side.line(line) {
                        ServerEvent::Load(line, load) => {
                            to_client = line;
                            self.core.tell(Report::Load(id, load / 1e6)).await;
                        }
                        ServerEvent::Last(line) => (to_client, last) = (line, true),
                        ServerEvent::Pass(line) | ServerEvent::Up(line) => {
                            to_client = line;
                            self.core.tell(Report::Answered(id)).await;
                        }
                        ServerEvent::Over(_) => {}
                    },
                    Some(Err(_)) | None => break End::Server(side.end()),
                },
                line = self.client.lines.next(), if to_server.is_empty() => match line {
                    Some(Ok(line)) => to_server = line,
                    None => break End::Client(false),
                    Some(Err(LineError::Io(_))) => break End::Client(true),
                    Some(Err(LineError::TooLong)) => {
                        eprintln!("client: {}", LineError::TooLong);
                        break End::Client(false);
                    }
                },
                command = self.commands.recv() => match command {
                    Some((_, Command::Move)) | None => break End::Moved,
                    Some(_) => {}
                },
            }
        };
        match end {
            End::Client(reset) => {
                self.core.tell(Report::Ended(id, attempt, Outcome::Cancelled)).await;
                if reset { server.reset() } else { drop(server) }
            }
            End::Server(outcome) => {
                self.core.tell(Report::Ended(id, attempt, outcome)).await;
                drop(server);
                // A server that died says nothing: its client is told to move, and comes back soon.
                let word = if last || outcome == Outcome::Ok { &b""[..] } else { MOVE };
                self.client.finish(&rest(to_client, word)).await;
            }
            End::Moved => {
                drop(server);
                self.client.finish(&rest(to_client, MOVE)).await;
            }
        }
    }
}

/// The rest of a line that has been begun, and a last one: `MOVE` stands only between lines.
fn rest(mut begun: Bytes, last: &[u8]) -> Bytes {
    let length = begun.remaining() + last.len();
    let mut all = begun.copy_to_bytes(begun.remaining()).to_vec();
    all.reserve_exact(length - all.len());
    all.extend_from_slice(last);
    all.into()
}

enum End {
    /// The client ended, with a reset or without.
    Client(bool),
    Server(Outcome),
    Moved,
}

enum Tried {
    Up(Peer, ServerSide, Bytes),
    Over(Outcome),
    Closed,
    Left,
}

enum Dialled {
    Up(Peer, ServerSide, Bytes),
    Over(Outcome),
}

async fn watch(lines: &mut Lines) -> Client {
    match lines.next().await {
        Some(Ok(line)) => Client::Spoke(line),
        Some(Err(_)) | None => Client::Left,
    }
}

async fn dial(
    address: std::net::SocketAddr,
    line: &[u8],
    connect: Duration,
    mut side: ServerSide,
) -> Dialled {
    let Ok(Ok(stream)) = timeout_at(Instant::now() + connect, TcpStream::connect(address)).await else {
        return Dialled::Over(Outcome::ConnectError);
    };
    let mut server = Peer::new(stream);
    if server.write.write_all(line).await.is_err() {
        return Dialled::Over(side.end());
    }
    side.written();
    match server.lines.next().await {
        Some(Ok(line)) => match side.line(line) {
            ServerEvent::Up(line) => Dialled::Up(server, side, line),
            ServerEvent::Over(outcome) => Dialled::Over(outcome),
            ServerEvent::Pass(_) | ServerEvent::Load(..) | ServerEvent::Last(_) => {
                Dialled::Over(Outcome::Failed)
            }
        },
        Some(Err(_)) | None => Dialled::Over(side.end()),
    }
}
