//! A request that waits for a connection to a server, and the attempts that the event loop has it make.

use std::net::SocketAddr;
use std::time::Duration;

use ashtide_protocol::{
    ClientEvent, ClientSide, FAILED, LineError, MOVE, Open, ServerEvent, ServerSide, busy,
};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout_at};

use super::connection::{LineConnection, Lines};
use super::first_line::ClientError;
use super::frontend::{DEFAULT_RETRY_AFTER, Frontend};
use crate::decision::interface::{Outcome, RequestId};
use crate::engine::FinalAnswer;
use crate::engine::open_ids::RequestIdClaim;
use crate::metrics::{CloseReason, Counter};
use crate::net::connect::{ConnectFailure, connect};
use crate::net::messages::{RequestCommand, SessionCommand, SessionEvent, to_duration};
use crate::net::rate_limited_log::RateLimitedLog;

/// A connection from before the start is lost if it is not established by then.
pub(super) const RESTORE_TIMEOUT: Duration = Duration::from_secs(40);
/// Wait between attempts to reach the server of a connection from before the start.
const RESTORE_RETRY_DELAY: Duration = Duration::from_millis(300);

static LOCAL_FAILURES: RateLimitedLog = RateLimitedLog::new("connect");

/// One request, its client, and what it holds until its end.
pub(super) struct Session {
    pub(super) id: RequestId,
    pub(super) open: Open,
    pub(super) client: LineConnection,
    pub(super) side: ClientSide,
    /// The few lines that came before the connection was established. The client is read all the time, so that its
    /// leaving is noticed.
    pub(super) early_lines: BytesMut,
    pub(super) commands: mpsc::Receiver<RequestCommand>,
    pub(super) frontend: Frontend,
    pub(super) id_claim: RequestIdClaim,
}

/// What a client did while its request waited.
enum ClientActivity {
    Line(Bytes),
    Ended(ClientEnd),
}

/// How a client ended while its request waited.
enum ClientEnd {
    Left,
    Invalid(ClientError),
}

/// A server that has accepted the request, and the line that says so.
pub(super) struct EstablishedServer {
    pub(super) connection: LineConnection,
    pub(super) side: ServerSide,
    pub(super) accept_line: Bytes,
}

/// How an attempt ended that established nothing.
enum AttemptEnd {
    Failed(Outcome),
    /// The event loop has cancelled it.
    Cancelled,
    Client(ClientEnd),
}

impl From<ClientEnd> for AttemptEnd {
    fn from(end: ClientEnd) -> Self {
        Self::Client(end)
    }
}

impl Session {
    /// Carries out the event loop's commands until the request is answered or its connection has ended.
    pub(super) async fn run(mut self) {
        loop {
            let client_end = match self.next_command().await {
                Ok(Some(SessionCommand::StartAttempt { attempt, address, timeout })) => {
                    match self.make_attempt(attempt, address, to_duration(timeout)).await {
                        Ok(server) => return self.establish(attempt, server).await,
                        Err(AttemptEnd::Client(end)) => end,
                        Err(AttemptEnd::Cancelled) => continue,
                        Err(AttemptEnd::Failed(outcome)) => {
                            self.send(SessionEvent::AttemptEnded { id: self.id, attempt, outcome }).await;
                            if self.open.at.is_some() {
                                return self.answer(FinalAnswer::Failed).await;
                            }
                            continue;
                        }
                    }
                }
                Ok(Some(SessionCommand::Answer(answer))) => return self.answer(answer).await,
                Ok(Some(SessionCommand::Migrate)) => {
                    return self.frontend.finish_client(self.client, MOVE).await;
                }
                // Of an attempt that has ended here meanwhile.
                Ok(Some(_)) => continue,
                Ok(None) => return self.abandon().await,
                Err(end) => end,
            };
            return match client_end {
                ClientEnd::Left => self.client_left().await,
                ClientEnd::Invalid(error) => self.reject_client(&error).await,
            };
        }
    }

    /// Waits for the next command. The client goes before all else, here and below: one that has left gets no attempt,
    /// also where it leaves at the moment at which the event loop decides on one.
    async fn next_command(&mut self) -> Result<Option<SessionCommand>, ClientEnd> {
        loop {
            tokio::select! {
                biased;
                activity = watch_client(&mut self.client.lines, &mut self.side) => self.record_activity(activity)?,
                command = self.commands.recv() => return Ok(command.map(|command| command.command)),
            }
        }
    }

    pub(super) async fn send(&self, event: SessionEvent) {
        self.frontend.event_loop.send(event).await;
    }

    pub(super) fn count(&self, counter: Counter) {
        self.frontend.event_loop.count(counter, &self.open.class);
    }

    async fn client_left(self) {
        self.frontend.event_loop.count_closed(CloseReason::ClientLeft);
        self.send(SessionEvent::ClientLeft { id: self.id }).await;
    }

    /// Ends a session whose commands have ended without an answer. That should not happen, but the client is owed one.
    async fn abandon(self) {
        self.frontend.event_loop.count_closed(CloseReason::Unanswered);
        self.send(SessionEvent::ClientLeft { id: self.id }).await;
        drop(self.id_claim);
        self.frontend.finish_client(self.client, &busy(DEFAULT_RETRY_AFTER)).await;
    }

    /// Ends the request of a client that did not wait for its answer: the answer is an error.
    async fn reject_client(self, error: &ClientError) {
        self.send(SessionEvent::ClientLeft { id: self.id }).await;
        let answer = self.frontend.answer_client_error(error);
        self.count(Counter::Failed);
        drop(self.id_claim);
        self.frontend.finish_client(self.client, &answer).await;
    }

    async fn answer(self, answer: FinalAnswer) {
        let (counter, line) = match answer {
            FinalAnswer::Rejected(wait) => (Counter::Rejected, busy(to_duration(wait))),
            FinalAnswer::Failed => (Counter::Failed, Bytes::from_static(FAILED)),
        };
        self.count(counter);
        drop(self.id_claim);
        self.frontend.finish_client(self.client, &line).await;
    }

    /// Makes one attempt, up to a server that has accepted the request and whose acceptance counts.
    async fn make_attempt(
        &mut self,
        attempt: u32,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<EstablishedServer, AttemptEnd> {
        // Its socket is closed before anything else is done where the attempt is given up: it is dropped on return.
        let server = match self.open.at {
            Some(_) => self.restore(attempt, address, timeout).await?,
            None => self.attempt(attempt, address, timeout).await?,
        };
        let event = SessionEvent::AttemptEstablished { id: self.id, attempt };
        self.await_consent(attempt, event, SessionCommand::ConfirmEstablished { attempt }).await?;
        Ok(server)
    }

    /// Connects and exchanges first lines. Nothing is written before the event loop has consented: a connection may be
    /// established late.
    async fn attempt(
        &mut self,
        attempt: u32,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<EstablishedServer, AttemptEnd> {
        let started_at = Instant::now();
        let connect_timeout = self.frontend.timeouts.connect;
        let server = self.run_step(attempt, open_connection(address, connect_timeout)).await??;
        let event = SessionEvent::AttemptConnected { id: self.id, attempt };
        self.await_consent(attempt, event, SessionCommand::SendFirstLine { attempt }).await?;
        // The runtime looks at the sockets once more: what the client has done by now counts.
        self.run_step(attempt, yield_now()).await?;
        let line = self.open.forward(timeout.saturating_sub(started_at.elapsed()));
        let event_loop = self.frontend.event_loop.clone();
        let class = self.open.class.clone();
        let count_attempt = || event_loop.count(Counter::Attempts, &class);
        self.run_step(attempt, exchange_first_lines(server, &line, count_attempt)).await?
    }

    /// Reaches the server of a connection from before the start, where there is time, and no other server to go to.
    async fn restore(
        &mut self,
        attempt: u32,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<EstablishedServer, AttemptEnd> {
        let deadline = Instant::now() + timeout.max(RESTORE_TIMEOUT);
        let connect_timeout = self.frontend.timeouts.connect;
        let line = self.open.raw.clone();
        let event_loop = self.frontend.event_loop.clone();
        let class = self.open.class.clone();
        let count_attempt = || event_loop.count(Counter::Attempts, &class);
        let reach = async {
            loop {
                let reached = match open_connection(address, connect_timeout).await {
                    Ok(server) => exchange_first_lines(server, &line, count_attempt).await,
                    Err(end) => Err(end),
                };
                match reached {
                    Err(AttemptEnd::Failed(Outcome::ConnectError | Outcome::LocalFailure)) => {
                        sleep(RESTORE_RETRY_DELAY).await;
                    }
                    reached => return reached,
                }
            }
        };
        let timed_out = || Err(AttemptEnd::Failed(Outcome::TimedOut));
        let reach = async { timeout_at(deadline, reach).await.unwrap_or_else(|_| timed_out()) };
        self.run_step(attempt, reach).await?
    }

    /// Reports how far an attempt has come, and waits for the event loop's consent to go on: it may have cancelled the
    /// attempt at the same moment, and started another or answered.
    async fn await_consent(
        &mut self,
        attempt: u32,
        event: SessionEvent,
        consent: SessionCommand,
    ) -> Result<(), AttemptEnd> {
        self.send(event).await;
        loop {
            match self.next_command().await? {
                Some(command) if command == consent => return Ok(()),
                Some(SessionCommand::CancelAttempt { attempt: cancelled }) if cancelled == attempt => {
                    return Err(AttemptEnd::Cancelled);
                }
                Some(_) => {}
                None => return Err(AttemptEnd::Cancelled),
            }
        }
    }

    /// Runs one step of an attempt, unless the client leaves or the event loop cancels the attempt before its end.
    async fn run_step<T>(&mut self, attempt: u32, step: impl Future<Output = T>) -> Result<T, AttemptEnd> {
        tokio::pin!(step);
        loop {
            tokio::select! {
                biased;
                activity = watch_client(&mut self.client.lines, &mut self.side) => self.record_activity(activity)?,
                command = self.commands.recv() => match command.map(|command| command.command) {
                    Some(SessionCommand::CancelAttempt { attempt: cancelled }) if cancelled == attempt => {
                        return Err(AttemptEnd::Cancelled);
                    }
                    Some(SessionCommand::Migrate) => return Err(AttemptEnd::Failed(Outcome::Cancelled)),
                    Some(_) => {}
                    None => return Err(AttemptEnd::Cancelled),
                },
                result = &mut step => return Ok(result),
            }
        }
    }

    fn record_activity(&mut self, activity: ClientActivity) -> Result<(), ClientEnd> {
        match activity {
            ClientActivity::Line(line) => {
                self.early_lines.extend_from_slice(&line);
                Ok(())
            }
            ClientActivity::Ended(end) => Err(end),
        }
    }

    /// Relays a connection that is established.
    async fn establish(self, attempt: u32, server: EstablishedServer) {
        if self.open.at.is_none() {
            self.frontend.pending_clients.end_restore_phase();
        }
        self.relay(attempt, server, false).await;
    }
}

/// Waits for what the client does while its request waits.
///
/// A client that ends its side has left, with a close, a half-close or a reset: the protocol has a client wait for its
/// answer, knows no end of one direction alone, and a close cannot be told from a half-close before something has been
/// written. That is decided here and nowhere else.
async fn watch_client(lines: &mut Lines, side: &mut ClientSide) -> ClientActivity {
    match lines.next().await {
        Some(Ok(line)) => match side.line(line) {
            ClientEvent::Pass(line) => ClientActivity::Line(line),
            ClientEvent::Bad(error) => ClientActivity::Ended(ClientEnd::Invalid(error.into())),
            // Neither comes behind an `OPEN`.
            ClientEvent::Ping | ClientEvent::Open(_) => ClientActivity::Ended(ClientEnd::Left),
        },
        Some(Err(LineError::Io(_))) | None => ClientActivity::Ended(ClientEnd::Left),
        Some(Err(error)) => ClientActivity::Ended(ClientEnd::Invalid(error.into())),
    }
}

/// Connects to a server within this time. A connection that is established later has been closed before.
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

/// Writes the first line to a server, and reads its answer. `on_written` is called once the line has been written.
async fn exchange_first_lines(
    mut server: LineConnection,
    line: &[u8],
    on_written: impl Fn(),
) -> Result<EstablishedServer, AttemptEnd> {
    let mut side = ServerSide::default();
    if server.writer.write_all(line).await.is_err() {
        return Err(AttemptEnd::Failed(side.end().into()));
    }
    side.written();
    on_written();
    let outcome = match server.lines.next().await {
        Some(Ok(line)) => match side.line(line) {
            ServerEvent::Up(accept_line) => {
                return Ok(EstablishedServer { connection: server, side, accept_line });
            }
            ServerEvent::Over(ending) => ending.into(),
            ServerEvent::Pass(_) | ServerEvent::Load(..) | ServerEvent::Last(_) => Outcome::Failed,
        },
        Some(Err(_)) | None => side.end().into(),
    };
    Err(AttemptEnd::Failed(outcome))
}
