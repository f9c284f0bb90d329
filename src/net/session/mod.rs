//! One client of the lines front, from its first line to its end.
//!
//! Each direction has one buffer: that of the `FramedRead` it is read by, bounded by the codec. A
//! line leaves it only to be written straight to the other socket, and nothing more is read that
//! way until it has been: that is the back-pressure. `Framed`'s buffer moves its rest to the front
//! where a ring would wrap; no second buffer stands behind it.

use std::io::{Cursor, Read, Write};
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use std::time::Duration;

use ashtide_stream::{TcpReader, TcpWriter, split_tcp};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Chain};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::codec::FramedRead;

use ashtide_protocol::{
    ClientEvent, ClientSide, FAILED, LineCodec, LineError, MOVE, Open, OpenError, PONG, ServerEvent,
    ServerSide, busy,
};

use super::connect::{ConnectFailure, connect};
use super::connection_handoff::Successor;
use super::messages::{
    ConnectionRequest, DriverEvent, EventLoopHandle, SESSION_COMMAND_QUEUE, SessionCommand, to_duration,
    to_span,
};
use super::pending_clients::{ActivityNotifier, PendingClients, PendingSlot, SessionPermit};
use super::rate_limited_log::RateLimitedLog;

use crate::decision::interface::{Outcome, RequestId};
use crate::engine::FinalAnswer;
use crate::engine::open_ids::{OpenIds, RequestIdClaim};
use crate::handover::{EstablishedConnection, PendingBytes};
use crate::metrics::{CloseReason, Counter};

/// From its arrival on, a client has so long to say what it wants, whatever it says before: a true one
/// may take 2 s to write its line, and a bad one is owed an end within 3 s.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2600);
/// How long a last line may take to be written. It waits only behind what a client has not read yet, and a
/// client that stops for so long and then reads on is not cut off in the middle of a line.
const LAST_LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a socket that has been ended waits for its other end, so that no reset overtakes the
/// last line.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// What is read meanwhile and thrown away, at most: who sends more gets the reset.
const MAX_DRAINED_BYTES: usize = 256 << 10;
/// What is read at a time to be thrown away.
const DRAIN_BUFFER_SIZE: usize = 4096;
/// A connection from before the run is lost if it is not up by then.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(40);
/// Wait between tries to reach the server of a connection from before the run.
const RESTORE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// What a client over the limit is told to wait.
const OVER_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Room for a line to begin with; lines are short, and a longer one makes more.
const LINE_BUFFER_SIZE: usize = 1024;

static CLIENT_ERRORS: RateLimitedLog = RateLimitedLog::new("client");
static LIMIT_REJECTIONS: RateLimitedLog = RateLimitedLog::new("clients");
static LOCAL_FAILURES: RateLimitedLog = RateLimitedLog::new("connect");

/// Limits on time that the settings give.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// A server that has not accepted by then is not there.
    pub connect: Duration,
}

/// What another process has read of the socket and not passed on comes first.
type Source = Chain<Cursor<Bytes>, TcpReader>;
type Lines = FramedRead<Source, LineCodec>;

struct LineConnection {
    lines: Lines,
    write: TcpWriter,
}

impl LineConnection {
    fn new(stream: TcpStream) -> Self {
        Self::resume(stream, Bytes::new())
    }

    /// A socket of which so much has been read already.
    fn resume(stream: TcpStream, read_before: Bytes) -> Self {
        let _ = stream.set_nodelay(true);
        let (read, write) = split_tcp(stream);
        let source = AsyncReadExt::chain(Cursor::new(read_before), read);
        Self { lines: FramedRead::with_capacity(source, LineCodec::default(), LINE_BUFFER_SIZE), write }
    }

    /// The socket, and what has been read of it and not been taken as a line.
    fn into_parts(self) -> std::io::Result<(std::net::TcpStream, Bytes)> {
        let mut unread = self.lines.read_buffer().clone();
        let (before, read) = self.lines.into_inner().into_inner();
        let from = usize::try_from(before.position()).unwrap_or(usize::MAX).min(before.get_ref().len());
        unread.extend_from_slice(&before.get_ref()[from..]);
        let stream = read.reunite(self.write)?;
        Ok((stream.into_std()?, unread.freeze()))
    }

    /// Writes a last line and ends politely: half-close, then wait for the other end, as a close
    /// with unread input would reset the connection and take the line along. False where the line could not
    /// be written.
    async fn finish(mut self, last: &[u8]) -> bool {
        if !matches!(timeout(LAST_LINE_TIMEOUT, self.write.write_all(last)).await, Ok(Ok(()))) {
            return false;
        }
        let _ = self.write.shutdown().await;
        self.drain().await;
        true
    }

    /// Reads on, within bounds, after the sending has been shut down: a close over unread bytes would be a
    /// reset, and take along what has been written and not been read yet.
    async fn drain(self) {
        let mut read = self.lines.into_inner();
        let mut rest = BytesMut::with_capacity(DRAIN_BUFFER_SIZE);
        let drain = async {
            let mut remaining = MAX_DRAINED_BYTES;
            while let Ok(read @ 1..) = read.read_buf(&mut rest).await {
                remaining = remaining.saturating_sub(read);
                if remaining == 0 {
                    return;
                }
                rest.clear();
            }
        };
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }

    /// Writes a last line and closes at once, after what has come so far has been thrown away: unread, it
    /// would make the close a reset. What is still on its way makes it one all the same.
    fn close_immediately(self, last: &[u8]) {
        // The socket itself, as the runtime may not have heard yet what can be read from it.
        let Ok((mut stream, _)) = self.into_parts() else { return };
        let _ = stream.write(last);
        let mut rest = [0; DRAIN_BUFFER_SIZE];
        for _ in 0..MAX_DRAINED_BYTES / DRAIN_BUFFER_SIZE {
            if !matches!(stream.read(&mut rest), Ok(1..)) {
                return;
            }
        }
    }

    /// Ends as the other side did: with a reset.
    fn reset(self) {
        if let Ok(stream) = self.lines.into_inner().into_inner().1.reunite(self.write) {
            let _ = stream.set_zero_linger();
        }
    }
}

/// What all clients of the lines front share.
#[derive(Clone)]
pub struct Frontend {
    /// Who may stay.
    pub pending_clients: PendingClients,
    timeouts: Timeouts,
    event_loop: EventLoopHandle,
    open_ids: OpenIds,
    /// Who takes standing connections over when this process leaves.
    successor: watch::Receiver<Option<Arc<Successor>>>,
}

/// How a client's first lines ended.
enum FirstLine {
    Open(Box<Open>),
    Invalid(ClientError),
    /// It has asked whether this gateway is there, and rested since.
    Idle,
    /// Nothing more is owed.
    Closed,
}

/// Why a client is bad.
#[derive(Debug, thiserror::Error)]
enum ClientError {
    #[error(transparent)]
    Line(#[from] LineError),
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error("nothing asked for within {FIRST_LINE_TIMEOUT:?}")]
    TimedOut,
    #[error("ended within its first line")]
    Incomplete,
    #[error("the id of a request that is still open")]
    DuplicateId,
    #[error("'at' after the start")]
    RestoreAfterStart,
}

impl Frontend {
    /// The front, with no clients yet.
    pub fn new(
        pending_clients: PendingClients,
        timeouts: Timeouts,
        event_loop: EventLoopHandle,
        successor: watch::Receiver<Option<Arc<Successor>>>,
    ) -> Self {
        Self { pending_clients, timeouts, event_loop, open_ids: OpenIds::default(), successor }
    }

    /// Goes on with a connection that an older process has passed on.
    pub async fn adopt_connection(
        self,
        established: EstablishedConnection,
        client: OwnedFd,
        server: OwnedFd,
    ) {
        let stream = |socket: OwnedFd| TcpStream::from_std(std::net::TcpStream::from(socket));
        let (Ok(client), Ok(server)) = (stream(client), stream(server)) else { return };
        let client = LineConnection::resume(client, established.to_server.read_ahead);
        let server = LineConnection::resume(server, established.to_client.read_ahead);
        let open = Open::parse(established.open_line);
        let claim = open.as_ref().ok().and_then(|open| self.open_ids.claim(&open.id));
        let (Ok(open), Some(claim)) = (open, claim) else {
            // Neither can come of a process that read the line and held the id; the client is owed a word.
            return self
                .finish_client(client, &complete_line(established.to_client.line_remainder, MOVE))
                .await;
        };
        let permit = self.pending_clients.adopt_session();
        let (id, (port, commands)) =
            (self.event_loop.next_request_id(), mpsc::channel(SESSION_COMMAND_QUEUE));
        self.event_loop
            .send(DriverEvent::ConnectionAdopted(id, connection_request(&open), established.server, port))
            .await;
        let (front, early) = (self, BytesMut::from(&established.to_server.line_remainder[..]));
        let side = ClientSide::default();
        let session = Session {
            id,
            open,
            client,
            side,
            early_lines: early,
            commands,
            frontend: front,
            id_claim: claim,
        };
        session.relay(0, server, ServerSide::standing(), established.to_client.line_remainder, true).await;
        drop(permit);
    }

    /// Serves one client. Its place is kept until it has a session or has gone.
    pub async fn serve_client(self, client: TcpStream, mut slot: PendingSlot) {
        let (mut client, mut side) = (LineConnection::new(client), ClientSide::default());
        let activity = slot.activity_notifier();
        let first = tokio::select! {
            biased;
            first = read_first_line(&mut client, &mut side, &activity) => first,
            () = slot.evicted() => return self.evict(client).await,
        };
        let admitted = match first {
            FirstLine::Open(open) => {
                let class = open.class.clone();
                self.admit(open).map_err(|(count, answer)| {
                    self.event_loop.count(count, &class);
                    answer
                })
            }
            FirstLine::Invalid(why) => Err(self.log_client_error(&why)),
            // It may ask at this very moment: what it reads then is an answer, and harmless.
            FirstLine::Idle => {
                self.event_loop.count_closed(CloseReason::NoRequest);
                Err(busy(OVER_LIMIT_RETRY_AFTER))
            }
            FirstLine::Closed => return self.event_loop.count_closed(CloseReason::NoRequest),
        };
        match admitted {
            Ok((open, permit, claim)) => {
                drop(slot);
                self.start_session(client, side, open, claim).await;
                drop(permit);
            }
            Err(answer) => tokio::select! {
                biased;
                () = self.finish_client(client, &answer) => {}
                () = slot.evicted() => {}
            },
        }
    }

    /// Ends a client with a last line, and counts one that did not read it.
    async fn finish_client(&self, client: LineConnection, last: &[u8]) {
        if !client.finish(last).await {
            self.event_loop.count_closed(CloseReason::AnswerUnread);
        }
    }

    /// Sends a client away that has not asked yet. Where another needs its descriptor only a few are waited
    /// for; at a stop nobody does, and all are.
    async fn evict(&self, client: LineConnection) {
        let stopping = self.pending_clients.is_closed();
        let graceful_close = if stopping { None } else { self.pending_clients.try_acquire_graceful_close() };
        if graceful_close.is_none() && !stopping {
            self.event_loop.count_closed(CloseReason::EvictedImmediately);
            return client.close_immediately(&busy(OVER_LIMIT_RETRY_AFTER));
        }
        self.event_loop.count_closed(if stopping {
            CloseReason::ProcessStopped
        } else {
            CloseReason::Evicted
        });
        self.finish_client(client, &busy(OVER_LIMIT_RETRY_AFTER)).await;
        drop(graceful_close);
    }

    fn log_client_error(&self, error: &ClientError) -> Bytes {
        CLIENT_ERRORS.log(error);
        Bytes::from_static(FAILED)
    }

    /// Whether the client may have what it asks for, or what it is answered at once.
    fn admit(&self, open: Box<Open>) -> Result<(Box<Open>, SessionPermit, RequestIdClaim), (Counter, Bytes)> {
        if open.at.is_some() && self.pending_clients.restore_phase_is_over() {
            return Err((Counter::Failed, self.log_client_error(&ClientError::RestoreAfterStart)));
        }
        let claim = self
            .open_ids
            .claim(&open.id)
            .ok_or_else(|| (Counter::Failed, self.log_client_error(&ClientError::DuplicateId)))?;
        let Some(permit) = self.pending_clients.try_acquire_session() else {
            LIMIT_REJECTIONS.log("all sessions are taken, one told to come again");
            return Err((Counter::Rejected, busy(OVER_LIMIT_RETRY_AFTER)));
        };
        Ok((open, permit, claim))
    }

    async fn start_session(
        &self,
        client: LineConnection,
        side: ClientSide,
        open: Box<Open>,
        claim: RequestIdClaim,
    ) {
        let id = self.event_loop.next_request_id();
        let (port, commands) = mpsc::channel(SESSION_COMMAND_QUEUE);
        let wait = to_span(open.wait.unwrap_or(RESTORE_TIMEOUT));
        let ask = ConnectionRequest { client_timeout: wait, ..connection_request(&open) };
        self.event_loop
            .send(match &open.at {
                Some(server) => DriverEvent::RestoreRequested(id, ask, server.clone(), port),
                None => DriverEvent::ConnectionRequested(id, ask, port),
            })
            .await;
        let (front, early) = (self.clone(), BytesMut::new());
        Session {
            id,
            open: *open,
            client,
            side,
            early_lines: early,
            commands,
            frontend: front,
            id_claim: claim,
        }
        .run()
        .await;
    }
}

/// What a client asks for, whatever it waits.
fn connection_request(open: &Open) -> ConnectionRequest {
    ConnectionRequest {
        class: open.class.clone(),
        tenant: open.tenant.clone(),
        group: open.group.clone(),
        expected_load: open.load,
        is_retry: open.retry,
        is_reconnect: open.again,
        ..ConnectionRequest::default()
    }
}

/// Reads until the client has said what it wants or its time is up.
async fn read_first_line(
    client: &mut LineConnection,
    side: &mut ClientSide,
    activity: &ActivityNotifier,
) -> FirstLine {
    let deadline = Instant::now() + FIRST_LINE_TIMEOUT;
    let mut answered_ping = false;
    if timeout_at(deadline, client.lines.get_ref().get_ref().1.readable()).await.is_ok() {
        activity.mark_speaking();
    }
    loop {
        let line = timeout_at(deadline, client.lines.next()).await;
        let begun = !client.lines.read_buffer().is_empty();
        let line = match line {
            Ok(Some(Ok(line))) => line,
            Ok(None) if begun => return FirstLine::Invalid(ClientError::Incomplete),
            Ok(Some(Err(LineError::Io(_))) | None) => return FirstLine::Closed,
            Ok(Some(Err(error))) => return FirstLine::Invalid(error.into()),
            // A `PING` has been answered; a client that only asks that is owed no error.
            Err(_) if answered_ping && !begun => return FirstLine::Idle,
            Err(_) => return FirstLine::Invalid(ClientError::TimedOut),
        };
        match side.line(line) {
            ClientEvent::Ping => {
                answered_ping = true;
                // One that does not read its answers has no claim to more of them.
                if !matches!(timeout_at(deadline, client.write.write_all(PONG)).await, Ok(Ok(()))) {
                    return FirstLine::Closed;
                }
            }
            ClientEvent::Open(open) => return FirstLine::Open(open),
            ClientEvent::Pass(_) => return FirstLine::Closed,
            ClientEvent::Bad(error) => return FirstLine::Invalid(error.into()),
        }
    }
}

/// What became of the client while an attempt was out or awaited.
enum ClientActivity {
    Line(Bytes),
    Left,
    Invalid(ClientError),
}

struct Session {
    id: RequestId,
    open: Open,
    client: LineConnection,
    side: ClientSide,
    /// The few lines that came before the connection stood. The client is read all the time, so that
    /// its leaving is seen.
    early_lines: BytesMut,
    commands: mpsc::Receiver<(RequestId, SessionCommand)>,
    frontend: Frontend,
    id_claim: RequestIdClaim,
}

impl Session {
    async fn run(mut self) {
        loop {
            // The client goes before all else here and below: one that has left gets no attempt, also where it
            // leaves at the moment at which the core decides on one.
            tokio::select! {
                biased;
                seen = watch_client(&mut self.client.lines, &mut self.side) => match seen {
                    ClientActivity::Line(line) => self.early_lines.extend_from_slice(&line),
                    ClientActivity::Left => return self.client_left().await,
                    ClientActivity::Invalid(why) => return self.reject_client(&why).await,
                },
                command = self.commands.recv() => match command {
                    Some((_, SessionCommand::StartAttempt { attempt, address, timeout })) => {
                        let tried = match self.attempt(attempt, address, to_duration(timeout)).await {
                            Ok((server, side, line)) => {
                                match self.await_consent(attempt, DriverEvent::AttemptEstablished, SessionCommand::ConfirmEstablished { attempt }).await {
                                    Ok(()) => return self.establish(attempt, server, side, line).await,
                                    // Closed before anything else is done, as any attempt that is given up.
                                    Err(tried) => {
                                        drop(server);
                                        tried
                                    }
                                }
                            }
                            Err(tried) => tried,
                        };
                        match tried {
                            AttemptEnd::Failed(outcome) => {
                                self.frontend.event_loop.send(DriverEvent::AttemptEnded(self.id, attempt, outcome)).await;
                                if self.open.at.is_some() {
                                    self.count(Counter::Failed);
                                    drop(self.id_claim);
                                    return self.frontend.finish_client(self.client, FAILED).await;
                                }
                            }
                            AttemptEnd::Cancelled => {}
                            AttemptEnd::ClientLeft => return self.client_left().await,
                            AttemptEnd::ClientInvalid(why) => return self.reject_client(&why).await,
                        }
                    }
                    Some((_, SessionCommand::Answer(answer))) => return self.answer(answer).await,
                    Some((_, SessionCommand::Migrate)) => return self.frontend.finish_client(self.client, MOVE).await,
                    // Of an attempt that has ended here meanwhile.
                    Some(_) => {}
                    None => return self.abandon().await,
                },
            }
        }
    }

    fn count(&self, count: Counter) {
        self.frontend.event_loop.count(count, &self.open.class);
    }

    async fn client_left(self) {
        self.frontend.event_loop.count_closed(CloseReason::ClientLeft);
        self.frontend.event_loop.send(DriverEvent::ClientLeft(self.id)).await;
    }

    /// The core gives no answer any more. It should not come to this, but the client is owed one.
    async fn abandon(self) {
        self.frontend.event_loop.count_closed(CloseReason::Unanswered);
        self.frontend.event_loop.send(DriverEvent::ClientLeft(self.id)).await;
        drop(self.id_claim);
        self.frontend.finish_client(self.client, &busy(OVER_LIMIT_RETRY_AFTER)).await;
    }

    /// Reports where an attempt stands, and waits for the core's consent to go on: it may have given the attempt
    /// up at the same moment, and sent another or answered.
    async fn await_consent(
        &mut self,
        attempt: u32,
        event: fn(RequestId, u32) -> DriverEvent,
        consent: SessionCommand,
    ) -> Result<(), AttemptEnd> {
        self.frontend.event_loop.send(event(self.id, attempt)).await;
        loop {
            tokio::select! {
                biased;
                seen = watch_client(&mut self.client.lines, &mut self.side) => self.record_activity(seen)?,
                command = self.commands.recv() => match command {
                    Some((_, command)) if command == consent => return Ok(()),
                    Some((_, SessionCommand::CancelAttempt { attempt: which })) if which == attempt => {
                        return Err(AttemptEnd::Cancelled);
                    }
                    Some(_) => {}
                    None => return Err(AttemptEnd::Cancelled),
                },
            }
        }
    }

    /// Does a step of an attempt, unless the client leaves or the core gives the attempt up before its end.
    async fn run_step<T>(&mut self, attempt: u32, step: impl Future<Output = T>) -> Result<T, AttemptEnd> {
        tokio::pin!(step);
        loop {
            tokio::select! {
                biased;
                seen = watch_client(&mut self.client.lines, &mut self.side) => self.record_activity(seen)?,
                command = self.commands.recv() => match command {
                    Some((_, SessionCommand::CancelAttempt { attempt: which })) if which == attempt => {
                        return Err(AttemptEnd::Cancelled);
                    }
                    Some((_, SessionCommand::Migrate)) => return Err(AttemptEnd::Failed(Outcome::Cancelled)),
                    Some(_) => {}
                    None => return Err(AttemptEnd::Cancelled),
                },
                done = &mut step => return Ok(done),
            }
        }
    }

    fn record_activity(&mut self, activity: ClientActivity) -> Result<(), AttemptEnd> {
        match activity {
            ClientActivity::Line(line) => {
                self.early_lines.extend_from_slice(&line);
                Ok(())
            }
            ClientActivity::Left => Err(AttemptEnd::ClientLeft),
            ClientActivity::Invalid(why) => Err(AttemptEnd::ClientInvalid(why)),
        }
    }

    /// A client that did not wait for its answer: the request is called off, and this is its answer.
    async fn reject_client(self, why: &ClientError) {
        self.frontend.event_loop.send(DriverEvent::ClientLeft(self.id)).await;
        let answer = self.frontend.log_client_error(why);
        self.count(Counter::Failed);
        drop(self.id_claim);
        self.frontend.finish_client(self.client, &answer).await;
    }

    async fn answer(self, answer: FinalAnswer) {
        let (count, line) = match answer {
            FinalAnswer::Rejected(wait) => (Counter::Rejected, busy(to_duration(wait))),
            FinalAnswer::Failed => (Counter::Failed, Bytes::from_static(FAILED)),
        };
        self.count(count);
        drop(self.id_claim);
        self.frontend.finish_client(self.client, &line).await;
    }

    /// Makes one attempt. Its socket is closed before anything else is done when it is given up, and nothing is
    /// written before the core has consented: a connection may come up late.
    async fn attempt(
        &mut self,
        attempt: u32,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<EstablishedServer, AttemptEnd> {
        let started_at = Instant::now();
        if self.open.at.is_some() {
            return self.restore(attempt, address, wait).await;
        }
        let connect = self.frontend.timeouts.connect;
        let server = self.run_step(attempt, open_connection(address, connect)).await??;
        self.await_consent(attempt, DriverEvent::AttemptConnected, SessionCommand::SendFirstLine { attempt })
            .await?;
        // The runtime looks at the sockets once more: what the client has done by now counts.
        self.run_step(attempt, yield_now()).await?;
        let line = self.open.forward(wait.saturating_sub(started_at.elapsed()));
        let (core, class) = (self.frontend.event_loop.clone(), self.open.class.clone());
        self.run_step(attempt, exchange_first_line(server, &line, || core.count(Counter::Attempts, &class)))
            .await?
    }

    /// Reaches the server of a connection that stood before the run, where there is no hurry, and nowhere else
    /// to go.
    async fn restore(
        &mut self,
        attempt: u32,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<EstablishedServer, AttemptEnd> {
        let (by, connect) = (Instant::now() + wait.max(RESTORE_TIMEOUT), self.frontend.timeouts.connect);
        let (line, core, class) =
            (self.open.raw.clone(), self.frontend.event_loop.clone(), self.open.class.clone());
        let reach = async {
            loop {
                let reached = match open_connection(address, connect).await {
                    Ok(server) => {
                        exchange_first_line(server, &line, || core.count(Counter::Attempts, &class)).await
                    }
                    Err(tried) => Err(tried),
                };
                match reached {
                    Err(AttemptEnd::Failed(Outcome::ConnectError | Outcome::LocalFailure)) => {
                        sleep(RESTORE_RETRY_DELAY).await;
                    }
                    reached => return reached,
                }
            }
        };
        let late = || Err(AttemptEnd::Failed(Outcome::TimedOut));
        self.run_step(attempt, async { timeout_at(by, reach).await.unwrap_or_else(|_| late()) }).await?
    }

    /// The connection stands.
    async fn establish(
        self,
        attempt: u32,
        server: LineConnection,
        side: ServerSide,
        established_line: Bytes,
    ) {
        if self.open.at.is_none() {
            self.frontend.pending_clients.end_restore_phase();
        }
        self.relay(attempt, server, side, established_line, false).await;
    }

    /// Passes lines both ways until either side ends or the core moves the client or hands it on; at first
    /// `to_client`. `told` where the client knows that it stands.
    async fn relay(
        mut self,
        attempt: u32,
        mut server: LineConnection,
        mut side: ServerSide,
        mut to_client: Bytes,
        mut client_informed: bool,
    ) {
        let id = self.id;
        self.side.up();
        let mut to_server = self.early_lines.split().freeze();
        let (mut server_finished, mut client_gone) = (false, false);
        let end = loop {
            if server_finished && to_client.is_empty() {
                break RelayEnd::Server(side.end().into());
            }
            tokio::select! {
                written = self.client.write.write_buf(&mut to_client), if !to_client.is_empty() => {
                    if written.is_err() {
                        // It has gone and reads nothing more, but what it said before is still on the way.
                        (client_gone, to_client) = (true, Bytes::new());
                        continue;
                    }
                    if !client_informed && to_client.is_empty() {
                        client_informed = true;
                        self.frontend.event_loop.count(Counter::Established, &self.open.class);
                    }
                }
                written = server.write.write_buf(&mut to_server), if !to_server.is_empty() => {
                    if written.is_err() {
                        break RelayEnd::Server(side.end().into());
                    }
                    if to_server.is_empty() {
                        self.frontend.event_loop.send(DriverEvent::MessageForwarded(id, true)).await;
                    }
                }
                line = server.lines.next(), if to_client.is_empty() && !server_finished && !client_gone => match line {
                    Some(Ok(line)) => match side.line(line) {
                        ServerEvent::Load(line, figure) => {
                            to_client = line;
                            self.frontend.event_loop.send(DriverEvent::LoadReported(id, figure)).await;
                        }
                        ServerEvent::Last(line) => (to_client, server_finished) = (line, true),
                        ServerEvent::Pass(line) | ServerEvent::Up(line) => {
                            to_client = line;
                            self.frontend.event_loop.send(DriverEvent::ServerResponded(id)).await;
                        }
                        ServerEvent::Over(_) => {}
                    },
                    Some(Err(_)) | None => break RelayEnd::Server(side.end().into()),
                },
                line = self.client.lines.next(), if to_server.is_empty() => match line {
                    Some(Ok(line)) => to_server = line,
                    None => break RelayEnd::Client(client_gone),
                    Some(Err(LineError::Io(_))) => break RelayEnd::Client(true),
                    Some(Err(error)) => {
                        CLIENT_ERRORS.log(error);
                        break RelayEnd::Client(false);
                    }
                },
                command = self.commands.recv() => match command {
                    Some((_, SessionCommand::Migrate)) | None => break RelayEnd::Moved,
                    // The server has said its last: there is nothing to hand on.
                    Some((_, SessionCommand::HandOff(_))) if server_finished => break RelayEnd::Server(side.end().into()),
                    Some((_, SessionCommand::HandOff(name))) => return self.hand_off(name, server, to_client, to_server).await,
                    Some(_) => {}
                },
            }
        };
        // The server's side is ended before anyone else may have the id, and before the core hears. Where it may
        // have said something that nobody reads any more, the sending is shut down first: a reset would take
        // along the client's last line.
        let (outcome, server) = match end {
            RelayEnd::Client(true) => {
                server.reset();
                (Some(Outcome::Cancelled), None)
            }
            RelayEnd::Client(false) | RelayEnd::Moved => {
                let _ = server.write.shutdown().await;
                (matches!(end, RelayEnd::Client(_)).then_some(Outcome::Cancelled), Some(server))
            }
            RelayEnd::Server(outcome) => {
                drop(server);
                (Some(outcome), None)
            }
        };
        drop(self.id_claim);
        if let Some(outcome) = outcome {
            self.frontend.event_loop.send(DriverEvent::AttemptEnded(id, attempt, outcome)).await;
        }
        let drained = async {
            if let Some(server) = server {
                server.drain().await;
            }
        };
        let last_line: &[u8] = match end {
            RelayEnd::Client(_) => {
                drop(self.client);
                return drained.await;
            }
            // A server that died says nothing: its client is told to move, and comes back soon.
            RelayEnd::Server(outcome) if !server_finished && outcome != Outcome::Ok => MOVE,
            RelayEnd::Server(_) => b"",
            RelayEnd::Moved => MOVE,
        };
        let last_bytes = complete_line(to_client, last_line);
        tokio::join!(self.frontend.finish_client(self.client, &last_bytes), drained);
    }

    /// Passes the connection to the successor as it is; where there is none or it will not, the client is
    /// told to move.
    async fn hand_off(self, name: String, server: LineConnection, to_client: Bytes, to_server: Bytes) {
        let Self { open, client, frontend: front, id_claim: claim, .. } = self;
        drop(claim);
        let (Ok((client, client_said)), Ok((server, server_said))) =
            (client.into_parts(), server.into_parts())
        else {
            return;
        };
        let established = EstablishedConnection {
            server: name,
            open_line: open.raw,
            to_client: PendingBytes { line_remainder: to_client.clone(), read_ahead: server_said },
            to_server: PendingBytes { line_remainder: to_server, read_ahead: client_said },
        };
        let successor = front.successor.borrow().clone();
        if let (Some(heir), Some(datagram)) = (successor, established.encode()) {
            if heir.hand_off(&datagram, [client.as_fd(), server.as_fd()]).await.is_ok() {
                return;
            }
        }
        drop(server);
        if let Ok(client) = TcpStream::from_std(client) {
            front.finish_client(LineConnection::new(client), &complete_line(to_client, MOVE)).await;
        }
    }
}

/// The rest of a line that has been begun, and a last one: `MOVE` stands only between lines.
fn complete_line(mut partial: Bytes, last: &[u8]) -> Bytes {
    let length = partial.remaining() + last.len();
    let mut all = partial.copy_to_bytes(partial.remaining()).to_vec();
    all.reserve_exact(length - all.len());
    all.extend_from_slice(last);
    all.into()
}

enum RelayEnd {
    /// The client ended, with a reset or without.
    Client(bool),
    Server(Outcome),
    Moved,
}

/// An attempt's connection that stands: the server, and the line that says so.
type EstablishedServer = (LineConnection, ServerSide, Bytes);

/// How an attempt ended.
enum AttemptEnd {
    Failed(Outcome),
    /// The core has given it up.
    Cancelled,
    /// The client has gone.
    ClientLeft,
    ClientInvalid(ClientError),
}

/// What the client does while it waits for its answer.
///
/// One that ends its side has left, with a close, a half-close or a reset: the protocol has a client wait for
/// its answer, knows no end of one direction alone, and a close cannot be told from a half-close before
/// something has been written. That is decided here and nowhere else.
async fn watch_client(lines: &mut Lines, side: &mut ClientSide) -> ClientActivity {
    match lines.next().await {
        Some(Ok(line)) => match side.line(line) {
            ClientEvent::Pass(line) => ClientActivity::Line(line),
            ClientEvent::Bad(error) => ClientActivity::Invalid(error.into()),
            // Neither comes behind an `OPEN`.
            ClientEvent::Ping | ClientEvent::Open(_) => ClientActivity::Left,
        },
        Some(Err(LineError::Io(_))) | None => ClientActivity::Left,
        Some(Err(error)) => ClientActivity::Invalid(error.into()),
    }
}

/// A connection to a server, if it comes up in time. One that comes up later has been closed before.
async fn open_connection(address: SocketAddr, timeout: Duration) -> Result<LineConnection, AttemptEnd> {
    let failure = match connect(address, Instant::now() + timeout).await {
        Ok(stream) => return Ok(LineConnection::new(stream)),
        Err(failure) => failure,
    };
    Err(AttemptEnd::Failed(match failure {
        ConnectFailure::LocalResources(error) => {
            LOCAL_FAILURES.log(format_args!("{address}: {error}"));
            Outcome::LocalFailure
        }
        ConnectFailure::Unreachable(_) | ConnectFailure::TimedOut => Outcome::ConnectError,
    }))
}

/// Writes the first line to a server, and reads its answer.
async fn exchange_first_line(
    mut server: LineConnection,
    line: &[u8],
    written: impl Fn(),
) -> Result<EstablishedServer, AttemptEnd> {
    let mut side = ServerSide::default();
    if server.write.write_all(line).await.is_err() {
        return Err(AttemptEnd::Failed(side.end().into()));
    }
    side.written();
    written();
    let outcome = match server.lines.next().await {
        Some(Ok(line)) => match side.line(line) {
            ServerEvent::Up(line) => return Ok((server, side, line)),
            ServerEvent::Over(ending) => ending.into(),
            ServerEvent::Pass(_) | ServerEvent::Load(..) | ServerEvent::Last(_) => Outcome::Failed,
        },
        Some(Err(_)) | None => side.end().into(),
    };
    Err(AttemptEnd::Failed(outcome))
}
