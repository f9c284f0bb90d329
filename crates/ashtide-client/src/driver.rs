//! Tokio driver for the session pool. It manages sockets and timers and makes no decisions of its own.
//!
//! One task owns the [`SessionPool`] and executes its commands. Each session has a task that owns the
//! session's socket, of which there is at most one, and transfers its lines. The pool task never waits for a
//! session task. A session task processes commands of the pool even while its application does not read.

use std::collections::{HashMap, VecDeque};
use std::path::PathBuf;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use ashtide_protocol::OpenParametersError;
use bytes::Bytes;
use futures_util::{Sink, Stream};
use rand::TryRngCore;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::{CancellationToken, PollSender};

use crate::connection::{self, Command, SessionLink};
use crate::event::{SessionEvent, session_event};
use crate::pool::{Metrics, PoolCommand, PoolEvent, SessionPool};
use crate::{Address, GiveUpReason, ServerCache, SessionId, SessionRequest, Settings, SettingsError, clock};

/// Maximum number of queued lines or events in each direction between an application and its session.
pub const MAX_QUEUED_LINES: usize = 64;
/// Length of the pool task's queues for events and for client requests. Senders wait while a queue is full.
const EVENT_QUEUE_LENGTH: usize = 1024;
/// Length of the command queue of a session task, which processes commands before anything else.
const COMMAND_QUEUE_LENGTH: usize = 16;
/// Maximum time between two readings of the clock while the pool waits for a timer. Timers of the runtime do
/// not include the time that the device is suspended.
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// Minimum interval between two writes of the cache file.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Error of building a client.
#[derive(Debug, thiserror::Error)]
pub enum BuildError {
    /// A setting is out of range.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The address list is empty.
    #[error("address list is empty: at least one address is required")]
    NoAddress,
    /// The system's random number generator failed; it seeds the jitter.
    #[error("the system's random number generator failed: {0}")]
    Random(String),
}

/// Error of sending a line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The session has ended.
    #[error("the session has ended")]
    SessionEnded,
    /// The line is empty or contains a line end.
    #[error("invalid line: it is empty or contains CR or LF")]
    InvalidLine,
    /// The line is longer than the protocol permits. Contains its length in bytes.
    #[error("line too long: {0} bytes, the limit is {limit}", limit = ashtide_protocol::MAX_LINE - 2)]
    TooLong(usize),
}

/// Error of a session that gave up before its connection was established.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct ConnectError(#[from] pub GiveUpReason);

impl From<OpenParametersError> for ConnectError {
    fn from(error: OpenParametersError) -> Self {
        Self(GiveUpReason::InvalidRequest(error))
    }
}

/// Builds a [`Client`].
#[derive(Debug, Default)]
pub struct Builder {
    settings: Settings,
    addresses: Vec<Address>,
    cache_file: Option<PathBuf>,
    seed: Option<u64>,
}

impl Builder {
    /// Sets the addresses of the gateways.
    #[must_use]
    pub fn addresses(mut self, addresses: impl IntoIterator<Item = Address>) -> Self {
        self.addresses = addresses.into_iter().collect();
        self
    }

    /// Sets the settings of the session pool.
    #[must_use]
    pub fn settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets the cache file that passes rejections, failing addresses and the retry budget to the next
    /// process. An unusable file is ignored with a warning.
    #[must_use]
    pub fn cache_file(mut self, file: impl Into<PathBuf>) -> Self {
        self.cache_file = Some(file.into());
        self
    }

    /// Sets a device-specific seed. The entropy of the system is always mixed in.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Starts the pool task on the current tokio runtime and returns the client.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range, the address list is empty, or the system's random number generator
    /// fails.
    ///
    /// # Panics
    ///
    /// Panics if called outside a tokio runtime, as `tokio::spawn` does.
    pub fn build(self) -> Result<Client, BuildError> {
        if self.addresses.is_empty() {
            return Err(BuildError::NoAddress);
        }
        let entropy =
            rand::rngs::OsRng.try_next_u64().map_err(|error| BuildError::Random(error.to_string()))?;
        let stall_timeout = self.settings.stall_within;
        let mut pool = SessionPool::new(self.settings, entropy ^ self.seed.unwrap_or_default())?;
        let now = clock::now();
        pool.handle(now, PoolEvent::AddressesChanged(self.addresses), &mut Vec::new());
        if let Some(path) = &self.cache_file {
            match ServerCache::read(path, clock::unix_ms()) {
                Ok(Some((cache, age))) => pool.restore_cache(now, &cache, age),
                Ok(None) => {}
                Err(error) => {
                    tracing::warn!(path = %path.display(), %error, "cache file: unusable, ignored");
                }
            }
        }
        let (pool_events, pool_event_queue) = mpsc::channel(EVENT_QUEUE_LENGTH);
        let (requests, request_queue) = mpsc::channel(EVENT_QUEUE_LENGTH);
        let task = PoolTask {
            pool,
            sessions: HashMap::new(),
            pool_events,
            cache_file: self.cache_file,
            cache_checked_at: Instant::now(),
            saved_cache: ServerCache::default(),
            commands: Vec::new(),
            stall_timeout,
        };
        tokio::spawn(task.run(pool_event_queue, request_queue));
        Ok(Client { requests })
    }
}

/// Request of a client handle to the pool task.
enum ClientRequest {
    Open(Box<SessionRequest>, oneshot::Sender<SessionChannels>),
    Event(PoolEvent),
    Metrics(oneshot::Sender<(Metrics, usize)>),
}

struct SessionChannels {
    events: mpsc::Receiver<SessionEvent>,
    lines: mpsc::Sender<Bytes>,
    /// Cancelled when the application's handle is dropped.
    cancelled: CancellationToken,
}

/// Handle to the pool task, which manages the sessions of a process to one or more sites. Clones refer to the
/// same pool task. The task ends when all handles are dropped and all sessions have ended.
#[derive(Debug, Clone)]
pub struct Client {
    requests: mpsc::Sender<ClientRequest>,
}

impl Client {
    /// Returns a builder with the default settings.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Opens a session without waiting for its connection. Its events report whether the connection is
    /// established or the session has ended.
    pub async fn open(&self, request: SessionRequest) -> Session {
        let (reply, channels) = oneshot::channel();
        let _ = self.requests.send(ClientRequest::Open(Box::new(request), reply)).await;
        // The pool task runs as long as a handle such as this one exists. If its runtime was shut down, the
        // session has ended from the start.
        let channels = channels.await.unwrap_or_else(|_| SessionChannels {
            events: mpsc::channel(1).1,
            lines: mpsc::channel(1).0,
            cancelled: CancellationToken::new(),
        });
        Session {
            events: channels.events,
            lines: PollSender::new(channels.lines),
            cancel_on_drop: channels.cancelled.drop_guard(),
            ended: false,
            _client: self.clone(),
        }
    }

    /// Opens a session and waits until its connection is established. Dropping the future closes the session.
    ///
    /// # Errors
    ///
    /// Fails with the reason for which the session ended if its connection was not established.
    pub async fn connect(&self, request: SessionRequest) -> Result<Session, ConnectError> {
        let mut session = self.open(request).await;
        loop {
            match session.next_event().await {
                Some(SessionEvent::Connected { .. }) => return Ok(session),
                Some(SessionEvent::Ended(reason)) => return Err(ConnectError(reason)),
                Some(_) => {}
                None => return Err(ConnectError(GiveUpReason::Closed)),
            }
        }
    }

    /// Replaces the address list. Established connections are not affected.
    pub async fn set_addresses(&self, addresses: Vec<Address>) {
        let _ = self.requests.send(ClientRequest::Event(PoolEvent::AddressesChanged(addresses))).await;
    }

    /// Reports that the device lost its network. All connections are closed and no attempts are made.
    pub async fn network_lost(&self) {
        let _ = self.requests.send(ClientRequest::Event(PoolEvent::NetworkLost)).await;
    }

    /// Reports that the device has a network again, possibly a different one.
    pub async fn network_restored(&self) {
        let _ = self.requests.send(ClientRequest::Event(PoolEvent::NetworkRestored)).await;
    }

    /// Returns the counters since the client was built, and the number of sessions that have not ended.
    pub async fn metrics(&self) -> (Metrics, usize) {
        let (reply, metrics) = oneshot::channel();
        let _ = self.requests.send(ClientRequest::Metrics(reply)).await;
        metrics.await.unwrap_or_default()
    }
}

/// Session of an application: a stream of [`SessionEvent`]s and a sink for lines. Dropping it closes the
/// session.
#[derive(Debug)]
pub struct Session {
    events: mpsc::Receiver<SessionEvent>,
    lines: PollSender<Bytes>,
    #[expect(dead_code, reason = "dropping it notifies the session task that the handle was dropped")]
    cancel_on_drop: tokio_util::sync::DropGuard,
    ended: bool,
    /// Handle that prevents the pool task from ending before the session.
    _client: Client,
}

impl Session {
    /// Returns the next event, or `None` after [`SessionEvent::Ended`]. This method is cancel-safe.
    pub async fn next_event(&mut self) -> Option<SessionEvent> {
        std::future::poll_fn(|cx| Pin::new(&mut *self).poll_next(cx)).await
    }

    /// Queues one line for sending; `line` has no line end. Waits while [`MAX_QUEUED_LINES`] lines are
    /// queued. Queued lines whose writing has not begun when a connection ends are sent on the next
    /// connection. This method is cancel-safe: the line is queued completely or not at all.
    ///
    /// # Errors
    ///
    /// Fails if the session has ended, or if the line is empty, too long or contains a line end.
    pub async fn send(&mut self, line: &[u8]) -> Result<(), SendError> {
        let line = encode(line)?;
        std::future::poll_fn(|cx| self.lines.poll_reserve(cx)).await.map_err(|_| SendError::SessionEnded)?;
        self.lines.send_item(line).map_err(|_| SendError::SessionEnded)
    }
}

/// Checks a line and appends CRLF.
fn encode(line: &[u8]) -> Result<Bytes, SendError> {
    if line.is_empty() || line.iter().any(|byte| matches!(byte, b'\r' | b'\n')) {
        return Err(SendError::InvalidLine);
    }
    if line.len() + 2 > ashtide_protocol::MAX_LINE {
        return Err(SendError::TooLong(line.len()));
    }
    Ok([line, b"\r\n"].concat().into())
}

impl Stream for Session {
    type Item = SessionEvent;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<SessionEvent>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let event = ready!(self.events.poll_recv(cx));
        self.ended = matches!(event, None | Some(SessionEvent::Ended(_)));
        Poll::Ready(event)
    }
}

impl Sink<Bytes> for Session {
    type Error = SendError;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), SendError>> {
        self.lines.poll_reserve(cx).map_err(|_| SendError::SessionEnded)
    }

    fn start_send(mut self: Pin<&mut Self>, line: Bytes) -> Result<(), SendError> {
        let line = encode(&line)?;
        self.lines.send_item(line).map_err(|_| SendError::SessionEnded)
    }

    /// Returns immediately. Queued lines belong to the session, and events report a line that was
    /// interrupted.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<(), SendError>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<(), SendError>> {
        self.lines.close();
        Poll::Ready(Ok(()))
    }
}

/// Task that owns the session pool.
struct PoolTask {
    pool: SessionPool,
    sessions: HashMap<SessionId, mpsc::Sender<Command>>,
    pool_events: mpsc::Sender<PoolEvent>,
    cache_file: Option<PathBuf>,
    /// Time at which the cache was last checked for changes.
    cache_checked_at: Instant,
    /// Cache as of the last write.
    saved_cache: ServerCache,
    /// Reusable buffer for the commands of the pool.
    commands: Vec<PoolCommand>,
    stall_timeout: Duration,
}

impl PoolTask {
    async fn run(
        mut self,
        mut pool_events: mpsc::Receiver<PoolEvent>,
        mut requests: mpsc::Receiver<ClientRequest>,
    ) {
        let mut has_handles = true;
        while has_handles || !self.sessions.is_empty() {
            let wake = self
                .pool
                .next_wake()
                .map(|at| Instant::now() + at.duration_since(clock::now()).min(MAX_SLEEP));
            tokio::select! {
                // Timers are processed before other events, as in the pool.
                biased;
                () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {
                    self.handle_event(PoolEvent::TimerFired);
                }
                event = pool_events.recv() => if let Some(event) = event {
                    self.handle_event(event);
                },
                request = requests.recv(), if has_handles => match request {
                    Some(request) => self.handle_request(request),
                    None => has_handles = false,
                },
            }
            self.save_cache(false);
        }
        self.save_cache(true);
    }

    fn handle_request(&mut self, request: ClientRequest) {
        match request {
            ClientRequest::Open(request, reply) => self.open(*request, reply),
            ClientRequest::Event(event) => self.handle_event(event),
            ClientRequest::Metrics(reply) => {
                // The requester may have dropped its receiver.
                let _ = reply.send((self.pool.metrics().clone(), self.pool.len()));
            }
        }
    }

    fn open(&mut self, request: SessionRequest, reply: oneshot::Sender<SessionChannels>) {
        let (to_app, events) = mpsc::channel(MAX_QUEUED_LINES);
        let (lines, from_app) = mpsc::channel(MAX_QUEUED_LINES);
        let (command_sender, command_receiver) = mpsc::channel(COMMAND_QUEUE_LENGTH);
        let handle_dropped = CancellationToken::new();
        let mut commands = std::mem::take(&mut self.commands);
        let id = self.pool.open(clock::now(), request, &mut commands);
        self.commands = commands;
        let link = SessionLink::new(
            id,
            self.pool_events.clone(),
            command_receiver,
            to_app,
            from_app,
            handle_dropped.clone(),
            self.stall_timeout,
        );
        tokio::spawn(connection::run(link));
        self.sessions.insert(id, command_sender);
        let channels = SessionChannels { events, lines, cancelled: handle_dropped.clone() };
        if let Err(channels) = reply.send(channels) {
            // The requester dropped its receiver: the session task is notified and closes the session.
            drop(channels);
            handle_dropped.cancel();
        }
        self.run_commands();
    }

    fn handle_event(&mut self, event: PoolEvent) {
        let mut commands = std::mem::take(&mut self.commands);
        self.pool.handle(clock::now(), event, &mut commands);
        self.commands = commands;
        self.run_commands();
    }

    fn run_commands(&mut self) {
        let mut unresponsive = VecDeque::new();
        for pool_command in self.commands.drain(..) {
            let (id, command) = match pool_command {
                PoolCommand::Connect { session, attempt, gateway } => {
                    (session, Command::Connect(attempt, gateway))
                }
                PoolCommand::SendRequest { session, attempt, line } => {
                    (session, Command::Write(attempt, line))
                }
                PoolCommand::Close { session, attempt } => (session, Command::Close(attempt)),
                PoolCommand::Notify(session, notification) => {
                    (session, Command::Notify(session_event(notification)))
                }
                PoolCommand::EndSession(session, reason) => (session, Command::End(reason)),
            };
            let ends_session = matches!(command, Command::End(_));
            let Some(command_sender) = self.sessions.get(&id) else { continue };
            if command_sender.try_send(command).is_err() && !ends_session {
                // A session task processes commands immediately. A full or closed queue means that the task
                // has ended or hangs, so the session is closed.
                unresponsive.push_back(id);
            }
            if ends_session {
                self.sessions.remove(&id);
            }
        }
        while let Some(id) = unresponsive.pop_front() {
            if self.sessions.remove(&id).is_some() {
                tracing::error!(
                    session = id.0,
                    "driver: session task does not process its commands, session closed"
                );
                self.pool.handle(clock::now(), PoolEvent::CloseSession(id), &mut Vec::new());
            }
        }
    }

    /// Writes the cache file if the cache has changed. Does nothing within [`SAVE_INTERVAL`] after the last
    /// check, unless `force` is set.
    fn save_cache(&mut self, force: bool) {
        let Some(path) = &self.cache_file else { return };
        if !force && self.cache_checked_at.elapsed() < SAVE_INTERVAL {
            return;
        }
        self.cache_checked_at = Instant::now();
        let cache = self.pool.server_cache(clock::now());
        // Remaining durations decrease with time; that is not a change.
        let is_unchanged = |a: &ServerCache, b: &ServerCache| {
            a.tokens == b.tokens
                && a.rejections.len() == b.rejections.len()
                && a.failures.len() == b.failures.len()
        };
        if is_unchanged(&cache, &self.saved_cache) {
            return;
        }
        if let Err(error) = cache.write(path, clock::unix_ms()) {
            tracing::warn!(path = %path.display(), %error, "cache file: write failed");
        }
        self.saved_cache = cache;
    }
}
