//! The tokio driver: sockets round the core, and decides nothing.
//!
//! One task owns the [`SessionPool`] and carries out its effects; one task a session owns the session's socket, so
//! there is never more than one, and passes lines. The pool's task never waits for a session's, and a
//! session's task goes on hearing the pool while its application does not read.

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

use crate::connection::{self, Command, Link};
use crate::event::{SessionEvent, session_event};
use crate::pool::{Metrics, PoolCommand, PoolEvent, SessionPool};
use crate::{Address, GiveUpReason, ServerCache, SessionId, SessionRequest, Settings, SettingsError, clock};

/// Lines each way that may wait between an application and its session.
pub const MAX_QUEUED_LINES: usize = 64;
/// Reports that may wait for the pool's task before sessions have to.
const EVENT_QUEUE_LENGTH: usize = 1024;
/// Commands that may wait for a session's task: it takes them at once, whatever else it does.
const COMMAND_QUEUE_LENGTH: usize = 16;
/// The pool looks at the clock at least so often while it waits for something: timers of the runtime do not
/// count the time that a device sleeps.
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// What was learnt is written at most so often.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Why no client could be built.
#[derive(Debug, thiserror::Error)]
pub enum BuildError {
    /// A setting cannot be so.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// There is no address to go to.
    #[error("addresses: none, at least one is needed")]
    NoAddress,
    /// The system has no random numbers for the jitter.
    #[error("no random numbers: {0}")]
    Random(String),
}

/// Why a line cannot be sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The session is over.
    #[error("the session is over")]
    SessionEnded,
    /// The line holds a line end, or is empty.
    #[error("a line has no line end in it, and something else")]
    InvalidLine,
    /// The line is longer than a line may be.
    #[error("a line of {0} bytes, {most} at most", most = ashtide_protocol::MAX_LINE - 2)]
    TooLong(usize),
}

/// Why a session did not come up.
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
    /// The balancers' addresses.
    #[must_use]
    pub fn addresses(mut self, addresses: impl IntoIterator<Item = Address>) -> Self {
        self.addresses = addresses.into_iter().collect();
        self
    }

    /// The knobs.
    #[must_use]
    pub fn settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Keeps in this file what was learnt, for the next process. A file that cannot be used is left out
    /// with a warning.
    #[must_use]
    pub fn cache_file(mut self, file: impl Into<PathBuf>) -> Self {
        self.cache_file = Some(file.into());
        self
    }

    /// A number of the device's own. The system's entropy is mixed in all the same.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Starts the client's task on the runtime that this is called on.
    ///
    /// # Errors
    ///
    /// Fails where a setting cannot be so, or where there is no address.
    ///
    /// # Panics
    ///
    /// Outside a tokio runtime, as `tokio::spawn` does.
    pub fn build(self) -> Result<Client, BuildError> {
        if self.addresses.is_empty() {
            return Err(BuildError::NoAddress);
        }
        let entropy =
            rand::rngs::OsRng.try_next_u64().map_err(|error| BuildError::Random(error.to_string()))?;
        let stall = self.settings.stall_within;
        let mut pool = SessionPool::new(self.settings, entropy ^ self.seed.unwrap_or_default())?;
        let now = clock::now();
        pool.handle(now, PoolEvent::AddressesChanged(self.addresses), &mut Vec::new());
        if let Some(path) = &self.cache_file {
            match ServerCache::read(path, clock::unix_ms()) {
                Ok(Some((learnt, ago))) => pool.restore_cache(now, &learnt, ago),
                Ok(None) => {}
                Err(error) => tracing::warn!(path = %path.display(), %error, "state: not used, begun anew"),
            }
        }
        let (reports, heard) = mpsc::channel(EVENT_QUEUE_LENGTH);
        let (asks, asked) = mpsc::channel(EVENT_QUEUE_LENGTH);
        let task = PoolTask {
            pool,
            sessions: HashMap::new(),
            reports: reports.clone(),
            cache_file: self.cache_file,
            saved: (Instant::now(), ServerCache::default()),
            effects: Vec::new(),
            stall_timeout: stall,
        };
        tokio::spawn(task.run(heard, asked));
        Ok(Client { requests: asks })
    }
}

/// What handles ask of the pool's task.
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

/// All sessions of a process to one site or several. Clones are handles to the same one; it ends with the
/// last of them and of its sessions.
#[derive(Debug, Clone)]
pub struct Client {
    requests: mpsc::Sender<ClientRequest>,
}

impl Client {
    /// A builder with the default settings.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Asks for a session, and returns at once: its first event says whether it stands or is over.
    pub async fn open(&self, request: SessionRequest) -> Session {
        let (answer, handles) = oneshot::channel();
        let _ = self.requests.send(ClientRequest::Open(Box::new(request), answer)).await;
        // The task only ends with its last handle, and this is one; if it was torn down with its runtime,
        // the session is over before it begins.
        let handles = handles.await.unwrap_or_else(|_| SessionChannels {
            events: mpsc::channel(1).1,
            lines: mpsc::channel(1).0,
            cancelled: CancellationToken::new(),
        });
        Session {
            events: handles.events,
            lines: PollSender::new(handles.lines),
            cancel_on_drop: handles.cancelled.drop_guard(),
            ended: false,
            _client: self.clone(),
        }
    }

    /// Asks for a session and waits until it stands. Dropping the future closes what it had begun.
    ///
    /// # Errors
    ///
    /// Fails with the reason for which the session ended before it stood.
    pub async fn connect(&self, request: SessionRequest) -> Result<Session, ConnectError> {
        let mut session = self.open(request).await;
        loop {
            match session.next_event().await {
                Some(SessionEvent::Connected { .. }) => return Ok(session),
                Some(SessionEvent::Ended(why)) => return Err(ConnectError(why)),
                Some(_) => {}
                None => return Err(ConnectError(GiveUpReason::Closed)),
            }
        }
    }

    /// Takes a new list of addresses. Standing connections stay.
    pub async fn set_addresses(&self, addresses: Vec<Address>) {
        let _ = self.requests.send(ClientRequest::Event(PoolEvent::AddressesChanged(addresses))).await;
    }

    /// The device has no network: all connections are closed, and nothing is tried.
    pub async fn network_lost(&self) {
        let _ = self.requests.send(ClientRequest::Event(PoolEvent::NetworkLost)).await;
    }

    /// The device has a network, perhaps another.
    pub async fn network_restored(&self) {
        let _ = self.requests.send(ClientRequest::Event(PoolEvent::NetworkRestored)).await;
    }

    /// Counts since the client was built, and the sessions that are not over.
    pub async fn metrics(&self) -> (Metrics, usize) {
        let (answer, figures) = oneshot::channel();
        let _ = self.requests.send(ClientRequest::Metrics(answer)).await;
        figures.await.unwrap_or_default()
    }
}

/// One session: a stream of [`SessionEvent`]s and a sink of lines. Dropping it closes it.
#[derive(Debug)]
pub struct Session {
    events: mpsc::Receiver<SessionEvent>,
    lines: PollSender<Bytes>,
    #[expect(dead_code, reason = "its drop tells the session's task that nobody wants it any more")]
    cancel_on_drop: tokio_util::sync::DropGuard,
    ended: bool,
    /// The pool's task lives for as long as a session does.
    _client: Client,
}

impl Session {
    /// The next event; none once [`SessionEvent::Ended`] has been read. Cancel-safe.
    pub async fn next_event(&mut self) -> Option<SessionEvent> {
        std::future::poll_fn(|cx| Pin::new(&mut *self).poll_next(cx)).await
    }

    /// Sends one line, without a line end. Waits while [`MAX_QUEUED_LINES`] lines are waiting; lines that have not been
    /// begun when a connection ends go out on the next one. Cancel-safe: the line is taken whole or not.
    ///
    /// # Errors
    ///
    /// Fails where the session is over or the line cannot be one.
    pub async fn send(&mut self, line: &[u8]) -> Result<(), SendError> {
        let line = encode(line)?;
        std::future::poll_fn(|cx| self.lines.poll_reserve(cx)).await.map_err(|_| SendError::SessionEnded)?;
        self.lines.send_item(line).map_err(|_| SendError::SessionEnded)
    }
}

/// A line with its CRLF, if it can be one.
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

    /// A line that was taken is the session's; what becomes of it is told by events.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<(), SendError>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<(), SendError>> {
        self.lines.close();
        Poll::Ready(Ok(()))
    }
}

/// The task that owns the pool.
struct PoolTask {
    pool: SessionPool,
    sessions: HashMap<SessionId, mpsc::Sender<Command>>,
    reports: mpsc::Sender<PoolEvent>,
    cache_file: Option<PathBuf>,
    /// When what was learnt was last looked at, and what it was then.
    saved: (Instant, ServerCache),
    effects: Vec<PoolCommand>,
    stall_timeout: Duration,
}

impl PoolTask {
    async fn run(mut self, mut reports: mpsc::Receiver<PoolEvent>, mut asks: mpsc::Receiver<ClientRequest>) {
        let mut asking = true;
        while asking || !self.sessions.is_empty() {
            let wake = self
                .pool
                .next_wake()
                .map(|at| Instant::now() + at.duration_since(clock::now()).min(MAX_SLEEP));
            tokio::select! {
                // Time goes first, as it does in the core.
                biased;
                () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => self.handle_event(PoolEvent::TimerFired),
                report = reports.recv() => if let Some(report) = report {
                    self.handle_event(report);
                },
                ask = asks.recv(), if asking => match ask {
                    Some(ask) => self.handle_request(ask),
                    None => asking = false,
                },
            }
            self.save_cache(false);
        }
        self.save_cache(true);
    }

    fn handle_request(&mut self, ask: ClientRequest) {
        match ask {
            ClientRequest::Open(request, answer) => self.open(*request, answer),
            ClientRequest::Event(event) => self.handle_event(event),
            ClientRequest::Metrics(answer) => {
                // Who asked may have gone.
                let _ = answer.send((self.pool.metrics().clone(), self.pool.len()));
            }
        }
    }

    fn open(&mut self, request: SessionRequest, answer: oneshot::Sender<SessionChannels>) {
        let (to_app, events) = mpsc::channel(MAX_QUEUED_LINES);
        let (lines, from_app) = mpsc::channel(MAX_QUEUED_LINES);
        let (commands, commanded) = mpsc::channel(COMMAND_QUEUE_LENGTH);
        let gone = CancellationToken::new();
        let mut effects = std::mem::take(&mut self.effects);
        let id = self.pool.open(clock::now(), request, &mut effects);
        self.effects = effects;
        let link = Link::new(
            id,
            self.reports.clone(),
            commanded,
            to_app,
            from_app,
            gone.clone(),
            self.stall_timeout,
        );
        tokio::spawn(connection::run(link));
        self.sessions.insert(id, commands);
        if let Err(handles) = answer.send(SessionChannels { events, lines, cancelled: gone.clone() }) {
            // Whoever asked has gone: the session's task sees it and leaves.
            drop(handles);
            gone.cancel();
        }
        self.run_commands();
    }

    fn handle_event(&mut self, event: PoolEvent) {
        let mut effects = std::mem::take(&mut self.effects);
        self.pool.handle(clock::now(), event, &mut effects);
        self.effects = effects;
        self.run_commands();
    }

    fn run_commands(&mut self) {
        let mut behind = VecDeque::new();
        for effect in self.effects.drain(..) {
            let (id, command) = match effect {
                PoolCommand::Connect { session, attempt, gateway: at } => {
                    (session, Command::Dial(attempt, at))
                }
                PoolCommand::SendRequest { session, attempt, line } => {
                    (session, Command::Write(attempt, line))
                }
                PoolCommand::Close { session, attempt } => (session, Command::Close(attempt)),
                PoolCommand::Notify(session, notice) => (session, Command::Notify(session_event(notice))),
                PoolCommand::EndSession(session, why) => (session, Command::End(why)),
            };
            let over = matches!(command, Command::End(_));
            let Some(commands) = self.sessions.get(&id) else { continue };
            if commands.try_send(command).is_err() && !over {
                // Its task takes commands at once, so this is one that has died; the session goes with it.
                behind.push_back(id);
            }
            if over {
                self.sessions.remove(&id);
            }
        }
        while let Some(id) = behind.pop_front() {
            if self.sessions.remove(&id).is_some() {
                tracing::error!(session = id.0, "driver: a session's task does not keep up, closed");
                self.pool.handle(clock::now(), PoolEvent::CloseSession(id), &mut Vec::new());
            }
        }
    }

    /// Writes what was learnt, if it has changed and was not written just now.
    fn save_cache(&mut self, last: bool) {
        let Some(path) = &self.cache_file else { return };
        if !last && self.saved.0.elapsed() < SAVE_INTERVAL {
            return;
        }
        self.saved.0 = Instant::now();
        let learnt = self.pool.server_cache(clock::now());
        // Times shrink by themselves; that is no news.
        let same = |a: &ServerCache, b: &ServerCache| {
            a.tokens == b.tokens
                && a.rejections.len() == b.rejections.len()
                && a.failures.len() == b.failures.len()
        };
        if same(&learnt, &self.saved.1) {
            return;
        }
        if let Err(error) = learnt.write(path, clock::unix_ms()) {
            tracing::warn!(path = %path.display(), %error, "state: not written");
        }
        self.saved.1 = learnt;
    }
}
