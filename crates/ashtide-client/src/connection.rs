//! One session's task: its socket, of which there is never more than one, and its lines.

use std::collections::VecDeque;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use ashtide_protocol::{GatewayEvent, GatewaySide, LineCodec, LineError, PeerFault};
use ashtide_stream::{TcpReader, TcpWriter, split_tcp};
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;

use crate::event::SessionEvent;
use crate::pool::PoolEvent;
use crate::{Attempt, GiveUpReason, SessionId};

/// Notices that wait for an application that does not read; then the oldest go, and are counted.
const MAX_WAITING_EVENTS: usize = 16;
/// Room for a line to begin with; lines are short, and a longer one makes more.
const INITIAL_LINE_CAPACITY: usize = 512;

/// What the pool's task asks of a session's.
#[derive(Debug)]
pub(crate) enum Command {
    Dial(Attempt, SocketAddr),
    Write(Attempt, Bytes),
    Close(Attempt),
    Notify(SessionEvent),
    End(GiveUpReason),
}

/// What a session's task has to do with others.
pub(crate) struct Link {
    id: SessionId,
    reports: mpsc::Sender<PoolEvent>,
    commands: mpsc::Receiver<Command>,
    to_app: mpsc::Sender<SessionEvent>,
    from_app: mpsc::Receiver<Bytes>,
    gone: CancellationToken,
    stall: Duration,
    waiting: Waiting,
}

/// Events that the application has not taken yet.
#[derive(Default)]
struct Waiting {
    events: VecDeque<SessionEvent>,
    missed: u64,
}

impl Waiting {
    fn push(&mut self, event: SessionEvent) {
        if self.events.len() >= MAX_WAITING_EVENTS {
            // Lines are the server's word and stay; what happened to the connection is told in short.
            if let Some(at) = self.events.iter().position(|event| !matches!(event, SessionEvent::Line(_))) {
                self.events.remove(at);
                self.missed += 1;
            }
        }
        self.events.push_back(event);
    }

    fn is_empty(&self) -> bool {
        self.events.is_empty() && self.missed == 0
    }

    fn pop(&mut self) -> Option<SessionEvent> {
        match std::mem::take(&mut self.missed) {
            0 => self.events.pop_front(),
            missed => Some(SessionEvent::MissedNotifications(missed)),
        }
    }
}

type Dial = Pin<Box<dyn Future<Output = std::io::Result<TcpStream>> + Send>>;

enum Socket {
    None,
    Dialling(Attempt, Dial),
    Open(Box<Connection>),
}

struct Connection {
    attempt: Attempt,
    read: FramedRead<TcpReader, LineCodec>,
    write: TcpWriter,
    side: GatewaySide,
    /// What is left of the line that is being written, and all of it.
    writing: Bytes,
    whole: Bytes,
    /// When the peer last took something, while something is being written.
    last_progress_at: Instant,
    /// The pool has to say something before more is read.
    paused: bool,
    /// The pool has taken the connection for established: the application's lines may go.
    established: bool,
    /// Writing failed; what the peer said before is still to be read.
    write_failed: bool,
}

/// What a session's task woke up for.
enum Wakeup {
    HandleDropped,
    Command(Option<Command>),
    Dialled(std::io::Result<TcpStream>),
    Read(Option<Result<Bytes, LineError>>),
    Wrote(std::io::Result<usize>),
    Stalled,
    Line(Option<Bytes>),
    Deliver(bool),
}

impl Link {
    pub(crate) fn new(
        id: SessionId,
        reports: mpsc::Sender<PoolEvent>,
        commands: mpsc::Receiver<Command>,
        to_app: mpsc::Sender<SessionEvent>,
        from_app: mpsc::Receiver<Bytes>,
        gone: CancellationToken,
        stall: Duration,
    ) -> Self {
        Self { id, reports, commands, to_app, from_app, gone, stall, waiting: Waiting::default() }
    }

    async fn report(&self, event: PoolEvent) {
        // The pool's task outlives its sessions, unless the runtime is torn down with both.
        let _ = self.reports.send(event).await;
    }

    /// Hands what is left to the application, unless it goes first.
    async fn deliver_remaining(mut self) {
        while let Some(event) = self.waiting.pop() {
            tokio::select! {
                sent = self.to_app.send(event) => if sent.is_err() {
                    return;
                },
                () = self.gone.cancelled() => return,
            }
        }
    }
}

/// Runs a session's task until the session is over and the application knows.
pub(crate) async fn run(mut link: Link) {
    let (mut socket, mut left, mut lines) = (Socket::None, false, true);
    let mut cut = None;
    loop {
        let woken = {
            let Link { commands, to_app, from_app, gone, stall, waiting, .. } = &mut link;
            let room = waiting.is_empty();
            match &mut socket {
                Socket::Open(connection) => {
                    let connection = &mut **connection;
                    let stalled = connection.last_progress_at + *stall;
                    let writes = !connection.writing.is_empty();
                    let takes = connection.established && !writes && !connection.write_failed && lines;
                    let Connection { read: reader, write, writing, paused, established, .. } = connection;
                    // Lines wait in the socket until the application has taken the last one; answers do not.
                    let reads = !*paused && (room || !*established);
                    tokio::select! {
                        biased;
                        command = commands.recv() => Wakeup::Command(command),
                        () = gone.cancelled(), if !left => Wakeup::HandleDropped,
                        read = reader.next(), if reads => Wakeup::Read(read),
                        wrote = write.write_buf(writing), if writes => Wakeup::Wrote(wrote),
                        line = from_app.recv(), if takes => Wakeup::Line(line),
                        permit = to_app.reserve(), if !room => Wakeup::Deliver(deliver(permit, waiting)),
                        () = sleep_until(stalled), if writes => Wakeup::Stalled,
                    }
                }
                other => {
                    let dialling = async {
                        match other {
                            Socket::Dialling(_, dial) => dial.await,
                            _ => pending().await,
                        }
                    };
                    tokio::select! {
                        biased;
                        command = commands.recv() => Wakeup::Command(command),
                        () = gone.cancelled(), if !left => Wakeup::HandleDropped,
                        dialled = dialling => Wakeup::Dialled(dialled),
                        permit = to_app.reserve(), if !room => Wakeup::Deliver(deliver(permit, waiting)),
                    }
                }
            }
        };
        match woken {
            Wakeup::HandleDropped => {
                left = true;
                link.report(PoolEvent::CloseSession(link.id)).await;
            }
            Wakeup::Deliver(delivered) => {
                if !delivered && !left {
                    left = true;
                    link.report(PoolEvent::CloseSession(link.id)).await;
                }
            }
            Wakeup::Command(None) => {
                link.waiting.push(SessionEvent::Ended(GiveUpReason::Closed));
                drop(socket);
                return link.deliver_remaining().await;
            }
            Wakeup::Command(Some(Command::End(why))) => {
                link.waiting.push(SessionEvent::Ended(why));
                drop(socket);
                return link.deliver_remaining().await;
            }
            Wakeup::Command(Some(Command::Dial(attempt, at))) => {
                socket = Socket::Dialling(attempt, Box::pin(TcpStream::connect(at)));
            }
            Wakeup::Command(Some(Command::Write(attempt, line))) => {
                if let Socket::Open(connection) = &mut socket {
                    if connection.attempt == attempt {
                        connection.side.set_request_started();
                        connection.begin(line);
                    }
                }
            }
            Wakeup::Command(Some(Command::Close(attempt))) => {
                let ours = match &socket {
                    Socket::None => false,
                    Socket::Dialling(which, _) => *which == attempt,
                    Socket::Open(connection) => connection.attempt == attempt,
                };
                if ours {
                    cut = cut_of(&socket).or(cut);
                    // Dropped, and so closed, before anyone is told that it is.
                    socket = Socket::None;
                }
                link.report(PoolEvent::SocketClosed(link.id, attempt)).await;
            }
            Wakeup::Command(Some(Command::Notify(event))) => {
                let event = match event {
                    SessionEvent::Connected { .. } => {
                        if let Socket::Open(connection) = &mut socket {
                            connection.established = true;
                            connection.paused = false;
                        }
                        event
                    }
                    SessionEvent::Disconnected { reason: why, .. } => {
                        // Told before the close is, where the pool closes it.
                        SessionEvent::Disconnected {
                            reason: why,
                            interrupted_line: cut_of(&socket).or(cut.take()),
                        }
                    }
                    other => other,
                };
                link.waiting.push(event);
            }
            Wakeup::Dialled(dialled) => {
                let Socket::Dialling(attempt, _) = &socket else { continue };
                let attempt = *attempt;
                match dialled {
                    Ok(stream) => {
                        socket = Socket::Open(Box::new(Connection::new(attempt, stream)));
                        link.report(PoolEvent::Connected(link.id, attempt)).await;
                    }
                    Err(error) => {
                        tracing::debug!(session = link.id.0, %error, "connection: not reached");
                        socket = Socket::None;
                        link.report(PoolEvent::ConnectFailed(link.id, attempt)).await;
                    }
                }
            }
            Wakeup::Read(Some(Ok(line))) => {
                let Socket::Open(connection) = &mut socket else { continue };
                match connection.side.line(line) {
                    Ok(GatewayEvent::Line(line)) => {
                        let text = line.slice(..line.len().saturating_sub(2));
                        link.waiting.push(SessionEvent::Line(text));
                    }
                    heard => {
                        // Its answer decides what becomes of the connection: nothing more is read before.
                        connection.paused = true;
                        let attempt = connection.attempt;
                        link.report(PoolEvent::Received(link.id, attempt, heard)).await;
                    }
                }
            }
            Wakeup::Read(ended) => {
                let Socket::Open(connection) = &socket else { continue };
                let attempt = connection.attempt;
                let fault = match ended {
                    Some(Err(LineError::TooLong)) => Some(PeerFault::TooLong),
                    None if !connection.read.read_buffer().is_empty() => Some(PeerFault::Torn),
                    _ => None,
                };
                cut = cut_of(&socket).or(cut);
                socket = Socket::None;
                link.report(PoolEvent::ConnectionEnded(link.id, attempt, fault)).await;
            }
            Wakeup::Wrote(wrote) => {
                let Socket::Open(connection) = &mut socket else { continue };
                match wrote {
                    Ok(_) => connection.last_progress_at = Instant::now(),
                    Err(_) => {
                        connection.write_failed = true;
                        connection.writing.clear();
                    }
                }
            }
            Wakeup::Stalled => {
                let Socket::Open(connection) = &socket else { continue };
                let attempt = connection.attempt;
                cut = cut_of(&socket).or(cut);
                socket = Socket::None;
                link.report(PoolEvent::ConnectionEnded(link.id, attempt, Some(PeerFault::Stalled))).await;
            }
            Wakeup::Line(Some(line)) => {
                if let Socket::Open(connection) = &mut socket {
                    connection.begin(line);
                }
            }
            Wakeup::Line(None) => lines = false,
        }
    }
}

/// Hands the next event over; whether there was somebody to take it.
fn deliver(
    permit: Result<mpsc::Permit<'_, SessionEvent>, mpsc::error::SendError<()>>,
    waiting: &mut Waiting,
) -> bool {
    match (permit, waiting.pop()) {
        (Ok(permit), Some(event)) => {
            permit.send(event);
            true
        }
        (Ok(_), None) => true,
        (Err(_), _) => false,
    }
}

/// A line of the application's that has been begun and not written whole.
fn cut_of(socket: &Socket) -> Option<Bytes> {
    match socket {
        Socket::Open(connection)
            if connection.established && (!connection.writing.is_empty() || connection.write_failed) =>
        {
            Some(connection.whole.slice(..connection.whole.len().saturating_sub(2)))
        }
        _ => None,
    }
}

impl Connection {
    fn new(attempt: Attempt, stream: TcpStream) -> Self {
        // Lines are short and somebody waits for each.
        let _ = stream.set_nodelay(true);
        let (read, write) = split_tcp(stream);
        Self {
            attempt,
            read: FramedRead::with_capacity(read, LineCodec::default(), INITIAL_LINE_CAPACITY),
            write,
            side: GatewaySide::default(),
            writing: Bytes::new(),
            whole: Bytes::new(),
            last_progress_at: Instant::now(),
            paused: false,
            established: false,
            write_failed: false,
        }
    }

    fn begin(&mut self, line: Bytes) {
        self.whole = line.clone();
        self.writing = line;
        self.last_progress_at = Instant::now();
    }
}
