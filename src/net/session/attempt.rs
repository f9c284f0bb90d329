//! The session of a request that waits for a connection to a server, and the attempts that it makes on
//! command of the event loop.

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
use crate::net::messages::{RESTORE_TIMEOUT, RequestCommand, SessionCommand, SessionEvent, to_duration};
use crate::net::rate_limited_log::RateLimitedLog;

/// Delay between two attempts to reach the server of a connection that is being restored.
const RESTORE_RETRY_DELAY: Duration = Duration::from_millis(300);

static LOCAL_FAILURES: RateLimitedLog = RateLimitedLog::new("connect");

/// One request with its client, its command queue and its id claim.
pub(super) struct Session {
    pub(super) id: RequestId,
    pub(super) open: Open,
    pub(super) client: LineConnection,
    pub(super) side: ClientSide,
    /// Lines received from the client before the connection was established. The client is read all the time,
    /// so that the end of its connection is detected; the protocol limits the size of these lines.
    pub(super) early_lines: BytesMut,
    pub(super) commands: mpsc::Receiver<RequestCommand>,
    pub(super) frontend: Frontend,
    pub(super) id_claim: RequestIdClaim,
}

/// Input from a client while its request waits for a connection.
enum ClientActivity {
    Line(Bytes),
    Ended(ClientEnd),
}

/// Why a client's request ended before a connection was established for it.
enum ClientEnd {
    Left,
    Invalid(ClientError),
}

/// A connection to a server that has accepted the request, and the server's `UP` line.
pub(super) struct EstablishedServer {
    pub(super) connection: LineConnection,
    pub(super) side: ServerSide,
    pub(super) accept_line: Bytes,
}

/// The end of an attempt that did not result in an established connection.
enum AttemptEnd {
    Failed(Outcome),
    /// The event loop has cancelled the attempt.
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
                    let was_used = self.id_claim.is_used();
                    match self.make_attempt(attempt, address, to_duration(timeout)).await {
                        Ok(server) => return self.establish(attempt, server).await,
                        Err(AttemptEnd::Client(end)) => end,
                        Err(AttemptEnd::Cancelled) => continue,
                        Err(AttemptEnd::Failed(outcome)) => {
                            if outcome.proves_not_executed() {
                                self.id_claim.set_used(was_used);
                            }
                            self.send(SessionEvent::AttemptEnded { id: self.id, attempt, outcome }).await;
                            if self.open.restored_server.is_some() {
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
                // A command for an attempt that has already ended in this session.
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

    /// Waits for the next command. Input from the client has precedence here and in the steps of an attempt:
    /// no attempt is made for a client that has left, even if it leaves while the event loop decides on one.
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

    /// Records that the request may be executed from now on.
    fn mark_id_used(&mut self) {
        if !self.frontend.is_repeatable(&self.open.class) {
            self.id_claim.set_used(true);
        }
    }

    async fn client_left(self) {
        self.frontend.event_loop.count_closed(CloseReason::ClientLeft);
        self.send(SessionEvent::ClientLeft { id: self.id }).await;
    }

    /// Answers the client with `BUSY` after the command queue was closed without a final answer. This is not
    /// expected to happen, but every client must receive an answer.
    async fn abandon(self) {
        self.frontend.event_loop.count_closed(CloseReason::Unanswered);
        self.send(SessionEvent::ClientLeft { id: self.id }).await;
        drop(self.id_claim);
        self.frontend.finish_client(self.client, &busy(DEFAULT_RETRY_AFTER)).await;
    }

    /// Ends the request of a client that sent invalid input while it waited, and answers with an error.
    async fn reject_client(self, error: &ClientError) {
        self.send(SessionEvent::ClientLeft { id: self.id }).await;
        let answer = self.frontend.answer_client_error(error);
        self.count(Counter::Failed);
        drop(self.id_claim);
        self.frontend.finish_client(self.client, &answer).await;
    }

    async fn answer(mut self, answer: FinalAnswer) {
        if matches!(answer, FinalAnswer::Rejected(_)) {
            // A rejection states that the request was not executed.
            self.id_claim.set_used(false);
        }
        let (counter, line) = match answer {
            FinalAnswer::Rejected(wait) => (Counter::Rejected, busy(to_duration(wait))),
            FinalAnswer::Failed => (Counter::Failed, Bytes::from_static(FAILED)),
        };
        self.count(counter);
        drop(self.id_claim);
        self.frontend.finish_client(self.client, &line).await;
    }

    /// Makes one attempt until a server has accepted the request and the event loop has confirmed the
    /// connection.
    async fn make_attempt(
        &mut self,
        attempt: u32,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<EstablishedServer, AttemptEnd> {
        // If the attempt is cancelled, its socket is dropped on return, and so closed before any later step.
        let server = match self.open.restored_server {
            Some(_) => self.restore(attempt, address, timeout).await?,
            None => self.attempt(attempt, address, timeout).await?,
        };
        let event = SessionEvent::AttemptEstablished { id: self.id, attempt };
        self.await_consent(attempt, event, SessionCommand::ConfirmEstablished { attempt }).await?;
        Ok(server)
    }

    /// Connects and exchanges first lines. Nothing is written before the event loop has consented, as the
    /// connection may be established late, when the server is no longer to be used.
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
        // Yields, so that the runtime polls the sockets again and a client that has left by now is detected.
        self.run_step(attempt, yield_now()).await?;
        let line = self.open.forward(timeout.saturating_sub(started_at.elapsed()));
        let event_loop = self.frontend.event_loop.clone();
        let class = self.open.class.clone();
        let count_attempt = || event_loop.count(Counter::Attempts, &class);
        self.mark_id_used();
        self.run_step(attempt, exchange_first_lines(server, &line, count_attempt)).await?
    }

    /// Connects to the server that had the client's connection before the start. Connecting is repeated until
    /// the time limit, as no other server can restore the connection.
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
        self.mark_id_used();
        let restore_with_retries = async {
            loop {
                let result = match open_connection(address, connect_timeout).await {
                    Ok(server) => exchange_first_lines(server, &line, count_attempt).await,
                    Err(end) => Err(end),
                };
                match result {
                    Err(AttemptEnd::Failed(Outcome::ConnectError | Outcome::LocalFailure)) => {
                        sleep(RESTORE_RETRY_DELAY).await;
                    }
                    result => return result,
                }
            }
        };
        let timed_out = || Err(AttemptEnd::Failed(Outcome::TimedOut));
        let restore_until_deadline =
            async { timeout_at(deadline, restore_with_retries).await.unwrap_or_else(|_| timed_out()) };
        self.run_step(attempt, restore_until_deadline).await?
    }

    /// Reports the progress of an attempt, and waits for the event loop's consent to continue. The event loop
    /// may have cancelled the attempt at the same moment, and started another one or sent the final answer.
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

    /// Runs one step of an attempt to completion, unless the client leaves or the event loop cancels the
    /// attempt first.
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

    /// Relays an established connection. A new connection, unlike a restored one, ends the restore phase.
    async fn establish(self, attempt: u32, server: EstablishedServer) {
        if self.open.restored_server.is_none() {
            self.frontend.pending_clients.end_restore_phase();
        }
        self.relay(attempt, server, false).await;
    }
}

/// Reads the next input from a client while its request waits for a connection.
///
/// A client that closes, half-closes or resets its connection has left. The protocol requires a client to
/// wait for its answer and has no half-closed connections, and a close cannot be distinguished from a
/// half-close before something is written. No other code makes this decision.
async fn watch_client(lines: &mut Lines, side: &mut ClientSide) -> ClientActivity {
    match lines.next().await {
        Some(Ok(line)) => match side.line(line) {
            ClientEvent::Forward(line) => ClientActivity::Line(line),
            ClientEvent::Invalid(error) => ClientActivity::Ended(ClientEnd::Invalid(error.into())),
            // The protocol state machine reports neither after an `OPEN`.
            ClientEvent::Ping | ClientEvent::Open(_) => ClientActivity::Ended(ClientEnd::Left),
        },
        Some(Err(LineError::Io(_))) | None => ClientActivity::Ended(ClientEnd::Left),
        Some(Err(error)) => ClientActivity::Ended(ClientEnd::Invalid(error.into())),
    }
}

/// Connects to a server within the time limit. The socket is closed at the limit, so that no connection is
/// established later.
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

/// Writes the first line to a server, and reads the server's answer. `on_written` is called after the line
/// has been written.
async fn exchange_first_lines(
    mut server: LineConnection,
    line: &[u8],
    on_written: impl Fn(),
) -> Result<EstablishedServer, AttemptEnd> {
    let mut side = ServerSide::default();
    if server.writer.write_all(line).await.is_err() {
        return Err(AttemptEnd::Failed(side.ending().into()));
    }
    side.set_request_written();
    on_written();
    let outcome = match server.lines.next().await {
        Some(Ok(line)) => match side.line(line) {
            ServerEvent::Up(accept_line) => {
                return Ok(EstablishedServer { connection: server, side, accept_line });
            }
            ServerEvent::AttemptEnded(ending) => ending.into(),
            ServerEvent::Forward(_) | ServerEvent::Load(..) | ServerEvent::FinalLine(_) => Outcome::Failed,
        },
        Some(Err(_)) | None => side.ending().into(),
    };
    Err(AttemptEnd::Failed(outcome))
}
