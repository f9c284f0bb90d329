//! Session task: owns the socket of a session, of which there is at most one, and transfers its lines.

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

/// Number of undelivered events above which the oldest notification is dropped and counted.
const MAX_UNDELIVERED_EVENTS: usize = 16;
/// Initial capacity of the read buffer in bytes. Lines are short; the buffer grows for a longer one.
const INITIAL_LINE_CAPACITY: usize = 512;

/// Command of the pool task for a session task.
#[derive(Debug)]
pub(crate) enum Command {
    Connect(Attempt, SocketAddr),
    Write(Attempt, Bytes),
    Close(Attempt),
    Notify(SessionEvent),
    End(GiveUpReason),
}

/// Channels of a session task to the pool task and the application.
pub(crate) struct SessionLink {
    id: SessionId,
    pool_events: mpsc::Sender<PoolEvent>,
    commands: mpsc::Receiver<Command>,
    to_app: mpsc::Sender<SessionEvent>,
    from_app: mpsc::Receiver<Bytes>,
    /// Cancelled when the application drops its handle.
    handle_dropped: CancellationToken,
    /// Duration without write progress after which the connection is closed.
    stall_timeout: Duration,
    undelivered: UndeliveredEvents,
}

/// Events that the application has not received yet.
#[derive(Default)]
struct UndeliveredEvents {
    events: VecDeque<SessionEvent>,
    missed: u64,
}

impl UndeliveredEvents {
    fn push(&mut self, event: SessionEvent) {
        if self.events.len() >= MAX_UNDELIVERED_EVENTS {
            // Lines are data from the server and are never dropped. Notifications are replaced by their
            // number.
            if let Some(index) = self.events.iter().position(|event| !matches!(event, SessionEvent::Line(_)))
            {
                self.events.remove(index);
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

type ConnectFuture = Pin<Box<dyn Future<Output = std::io::Result<TcpStream>> + Send>>;

enum Socket {
    None,
    Connecting(Attempt, ConnectFuture),
    Open(Box<Connection>),
}

struct Connection {
    attempt: Attempt,
    read: FramedRead<TcpReader, LineCodec>,
    write: TcpWriter,
    side: GatewaySide,
    /// Unwritten remainder of the current line.
    unwritten: Bytes,
    /// The complete current line.
    current_line: Bytes,
    /// Time of the last write progress on the current line.
    last_progress_at: Instant,
    /// Whether reading is suspended until the pool has processed the last received line.
    read_paused: bool,
    /// Whether the pool regards the connection as established, so that lines of the application may be
    /// written.
    established: bool,
    /// Whether a write failed. Data that the peer sent before is still read.
    write_failed: bool,
}

/// Reason for which a session task woke up.
enum Wakeup {
    HandleDropped,
    Command(Option<Command>),
    Connected(std::io::Result<TcpStream>),
    Read(Option<Result<Bytes, LineError>>),
    Wrote(std::io::Result<usize>),
    Stalled,
    Line(Option<Bytes>),
    Deliver(bool),
}

impl SessionLink {
    pub(crate) fn new(
        id: SessionId,
        pool_events: mpsc::Sender<PoolEvent>,
        commands: mpsc::Receiver<Command>,
        to_app: mpsc::Sender<SessionEvent>,
        from_app: mpsc::Receiver<Bytes>,
        handle_dropped: CancellationToken,
        stall_timeout: Duration,
    ) -> Self {
        let undelivered = UndeliveredEvents::default();
        Self { id, pool_events, commands, to_app, from_app, handle_dropped, stall_timeout, undelivered }
    }

    async fn report(&self, event: PoolEvent) {
        // The pool task outlives its sessions unless the runtime shuts down, which ends both.
        let _ = self.pool_events.send(event).await;
    }

    /// Delivers the remaining events to the application, until it drops its handle.
    async fn deliver_remaining(mut self) {
        while let Some(event) = self.undelivered.pop() {
            tokio::select! {
                sent = self.to_app.send(event) => if sent.is_err() {
                    return;
                },
                () = self.handle_dropped.cancelled() => return,
            }
        }
    }
}

/// Runs a session task until the session has ended and the application has received all events.
pub(crate) async fn run(mut link: SessionLink) {
    let (mut socket, mut close_requested, mut app_lines_open) = (Socket::None, false, true);
    // Line of the application that was being written when the last socket was closed.
    let mut interrupted = None;
    loop {
        let wakeup = {
            let SessionLink {
                commands, to_app, from_app, handle_dropped, stall_timeout, undelivered, ..
            } = &mut link;
            let all_delivered = undelivered.is_empty();
            match &mut socket {
                Socket::Open(connection) => {
                    let connection = &mut **connection;
                    let stalls_at = connection.last_progress_at + *stall_timeout;
                    let writing = !connection.unwritten.is_empty();
                    let accept_line =
                        connection.established && !writing && !connection.write_failed && app_lines_open;
                    let Connection { read: reader, write, unwritten, read_paused, established, .. } =
                        connection;
                    // While events are undelivered, lines of an established connection stay in the socket,
                    // which slows the server down. Answers to the request are always read.
                    let reading = !*read_paused && (all_delivered || !*established);
                    tokio::select! {
                        biased;
                        command = commands.recv() => Wakeup::Command(command),
                        () = handle_dropped.cancelled(), if !close_requested => Wakeup::HandleDropped,
                        read = reader.next(), if reading => Wakeup::Read(read),
                        wrote = write.write_buf(unwritten), if writing => Wakeup::Wrote(wrote),
                        line = from_app.recv(), if accept_line => Wakeup::Line(line),
                        permit = to_app.reserve(), if !all_delivered => {
                            Wakeup::Deliver(deliver(permit, undelivered))
                        }
                        () = sleep_until(stalls_at), if writing => Wakeup::Stalled,
                    }
                }
                other => {
                    let connecting = async {
                        match other {
                            Socket::Connecting(_, connect) => connect.await,
                            _ => pending().await,
                        }
                    };
                    tokio::select! {
                        biased;
                        command = commands.recv() => Wakeup::Command(command),
                        () = handle_dropped.cancelled(), if !close_requested => Wakeup::HandleDropped,
                        connected = connecting => Wakeup::Connected(connected),
                        permit = to_app.reserve(), if !all_delivered => {
                            Wakeup::Deliver(deliver(permit, undelivered))
                        }
                    }
                }
            }
        };
        match wakeup {
            Wakeup::HandleDropped => {
                close_requested = true;
                link.report(PoolEvent::CloseSession(link.id)).await;
            }
            Wakeup::Deliver(delivered) => {
                if !delivered && !close_requested {
                    close_requested = true;
                    link.report(PoolEvent::CloseSession(link.id)).await;
                }
            }
            Wakeup::Command(None) => {
                link.undelivered.push(SessionEvent::Ended(GiveUpReason::Closed));
                drop(socket);
                return link.deliver_remaining().await;
            }
            Wakeup::Command(Some(Command::End(reason))) => {
                link.undelivered.push(SessionEvent::Ended(reason));
                drop(socket);
                return link.deliver_remaining().await;
            }
            Wakeup::Command(Some(Command::Connect(attempt, gateway))) => {
                socket = Socket::Connecting(attempt, Box::pin(TcpStream::connect(gateway)));
            }
            Wakeup::Command(Some(Command::Write(attempt, line))) => {
                if let Socket::Open(connection) = &mut socket {
                    if connection.attempt == attempt {
                        connection.side.set_request_started();
                        connection.start_writing(line);
                    }
                }
            }
            Wakeup::Command(Some(Command::Close(attempt))) => {
                let matches_socket = match &socket {
                    Socket::None => false,
                    Socket::Connecting(current, _) => *current == attempt,
                    Socket::Open(connection) => connection.attempt == attempt,
                };
                if matches_socket {
                    interrupted = interrupted_line(&socket).or(interrupted);
                    // Dropping the socket closes it before `SocketClosed` is reported.
                    socket = Socket::None;
                }
                link.report(PoolEvent::SocketClosed(link.id, attempt)).await;
            }
            Wakeup::Command(Some(Command::Notify(event))) => {
                let event = match event {
                    SessionEvent::Connected { .. } => {
                        if let Socket::Open(connection) = &mut socket {
                            connection.established = true;
                            connection.read_paused = false;
                        }
                        event
                    }
                    SessionEvent::Disconnected { reason, .. } => {
                        // If the pool closes the connection, this notification precedes the `Close` command
                        // and the socket is still open.
                        SessionEvent::Disconnected {
                            reason,
                            interrupted_line: interrupted_line(&socket).or(interrupted.take()),
                        }
                    }
                    other => other,
                };
                link.undelivered.push(event);
            }
            Wakeup::Connected(connected) => {
                let Socket::Connecting(attempt, _) = &socket else { continue };
                let attempt = *attempt;
                match connected {
                    Ok(stream) => {
                        socket = Socket::Open(Box::new(Connection::new(attempt, stream)));
                        link.report(PoolEvent::Connected(link.id, attempt)).await;
                    }
                    Err(error) => {
                        tracing::debug!(session = link.id.0, %error, "connection: gateway unreachable");
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
                        link.undelivered.push(SessionEvent::Line(text));
                    }
                    received => {
                        // The pool's reaction decides whether the connection continues; reading stops until
                        // then.
                        connection.read_paused = true;
                        let attempt = connection.attempt;
                        link.report(PoolEvent::Received(link.id, attempt, received)).await;
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
                interrupted = interrupted_line(&socket).or(interrupted);
                socket = Socket::None;
                link.report(PoolEvent::ConnectionEnded(link.id, attempt, fault)).await;
            }
            Wakeup::Wrote(wrote) => {
                let Socket::Open(connection) = &mut socket else { continue };
                match wrote {
                    Ok(_) => connection.last_progress_at = Instant::now(),
                    Err(_) => {
                        connection.write_failed = true;
                        connection.unwritten.clear();
                    }
                }
            }
            Wakeup::Stalled => {
                let Socket::Open(connection) = &socket else { continue };
                let attempt = connection.attempt;
                interrupted = interrupted_line(&socket).or(interrupted);
                socket = Socket::None;
                link.report(PoolEvent::ConnectionEnded(link.id, attempt, Some(PeerFault::Stalled))).await;
            }
            Wakeup::Line(Some(line)) => {
                if let Socket::Open(connection) = &mut socket {
                    connection.start_writing(line);
                }
            }
            Wakeup::Line(None) => app_lines_open = false,
        }
    }
}

/// Sends the next event to the application. Returns whether the application still receives events.
fn deliver(
    permit: Result<mpsc::Permit<'_, SessionEvent>, mpsc::error::SendError<()>>,
    undelivered: &mut UndeliveredEvents,
) -> bool {
    match (permit, undelivered.pop()) {
        (Ok(permit), Some(event)) => {
            permit.send(event);
            true
        }
        (Ok(_), None) => true,
        (Err(_), _) => false,
    }
}

/// Returns the line of the application that is not written completely, without its CRLF, if any.
fn interrupted_line(socket: &Socket) -> Option<Bytes> {
    match socket {
        Socket::Open(connection)
            if connection.established && (!connection.unwritten.is_empty() || connection.write_failed) =>
        {
            Some(connection.current_line.slice(..connection.current_line.len().saturating_sub(2)))
        }
        _ => None,
    }
}

impl Connection {
    fn new(attempt: Attempt, stream: TcpStream) -> Self {
        // Lines are short and their latency matters, so Nagle's algorithm is turned off.
        let _ = stream.set_nodelay(true);
        let (read, write) = split_tcp(stream);
        Self {
            attempt,
            read: FramedRead::with_capacity(read, LineCodec::default(), INITIAL_LINE_CAPACITY),
            write,
            side: GatewaySide::default(),
            unwritten: Bytes::new(),
            current_line: Bytes::new(),
            last_progress_at: Instant::now(),
            read_paused: false,
            established: false,
            write_failed: false,
        }
    }

    fn start_writing(&mut self, line: Bytes) {
        self.current_line = line.clone();
        self.unwritten = line;
        self.last_progress_at = Instant::now();
    }
}
