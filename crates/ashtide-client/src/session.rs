//! What an application asks for, and what it is told.

use std::net::SocketAddr;
use std::time::Duration;

use ashtide_protocol::{OpenParameters, OpenParametersError, PeerFault};
use bytes::Bytes;

use crate::Instant;

/// A session of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// The number of an attempt within its session, from 1 on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Attempt(pub u32);

/// What an application wants: a connection of a class for a key, up by a certain time.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionRequest {
    /// Class, key, tenant and group. The pool marks retries and returns itself.
    pub parameters: OpenParameters,
    /// The connection is to stand within this time of being asked for.
    pub timeout: Duration,
    /// An attempt without an answer is given up after this time, and another may follow. Without it an
    /// attempt has all that is left of the deadline, as on sites whose servers are rarely silent.
    pub attempt_timeout: Option<Duration>,
    /// The session ends after this time, whatever it is doing.
    pub max_lifetime: Option<Duration>,
    /// Whether an attempt may be repeated that may have had an effect: after `ERR`, silence or a break.
    pub idempotent: bool,
    /// Whether the session comes back after a move or a break.
    pub reconnects: bool,
}

impl SessionRequest {
    /// A connection of this class for this key within `timeout`, with retries and reconnects.
    pub fn new(class: impl Into<String>, key: impl Into<String>, timeout: Duration) -> Self {
        let asking = OpenParameters { class: class.into(), key: key.into(), ..OpenParameters::default() };
        Self {
            parameters: asking,
            timeout,
            attempt_timeout: None,
            max_lifetime: None,
            idempotent: true,
            reconnects: true,
        }
    }
}

/// Why an attempt came to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AttemptFailure {
    /// Nothing has been tried yet.
    #[error("nothing could be tried")]
    NotAttempted,
    /// No connection came up: it never ran.
    #[error("no balancer could be reached")]
    ConnectFailed,
    /// Refused: it never ran. The advised wait, where there was one.
    #[error("refused")]
    Rejected(Option<Duration>),
    /// A failed answer: it may have run.
    #[error("failed")]
    Failed,
    /// No answer in time: it may have run.
    #[error("not answered")]
    TimedOut,
    /// The connection ended before the answer: it may have run.
    #[error("cut off before the answer")]
    ConnectionLost,
    /// The peer broke the protocol: it may have run.
    #[error("the balancer {0}")]
    ProtocolViolation(PeerFault),
    /// The network went away in mid-attempt: it may have run.
    #[error("the network went away")]
    Offline,
}

impl AttemptFailure {
    /// Whether it proves that the attempt had no effect.
    pub const fn never_executed(self) -> bool {
        matches!(
            self,
            AttemptFailure::NotAttempted | AttemptFailure::ConnectFailed | AttemptFailure::Rejected(_)
        )
    }
}

/// Why a session is over. Every session ends once, with one of these.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum GiveUpReason {
    /// The application closed it.
    #[error("closed by the application")]
    Closed,
    /// The server served it to its end.
    #[error("served to its end")]
    Completed,
    /// It was not up in time.
    #[error("not up in time: {last}")]
    DeadlineExceeded {
        /// What became of the last attempt.
        last: AttemptFailure,
    },
    /// Refused, and there is no time or try left to come again: the application may, after this time.
    #[error("refused, come again after {retry_after:?}")]
    Rejected {
        /// The wait that is left of what the refusal asked for.
        retry_after: Duration,
    },
    /// No balancer answers; the first to be tried again is so after this time.
    #[error("no balancer answers, the next is tried after {retry_after:?}")]
    NoAvailableAddress {
        /// Until then all addresses are set aside.
        retry_after: Duration,
    },
    /// All tries are used up.
    #[error("{attempts} tries came to nothing: {last}")]
    AttemptsExhausted {
        /// How many there were.
        attempts: u32,
        /// What became of the last one.
        last: AttemptFailure,
    },
    /// The process has no retry left to spend.
    #[error("the retry budget of this process is spent: {last}")]
    RetryBudgetExhausted {
        /// What became of the attempt.
        last: AttemptFailure,
    },
    /// The attempt may have had an effect and must not be repeated.
    #[error("not to be repeated: {last}")]
    NotIdempotent {
        /// What became of the attempt.
        last: AttemptFailure,
    },
    /// Its connections broke soon after they stood, again and again.
    #[error("{consecutive_losses} connections in a row broke at once")]
    Unstable {
        /// How many.
        consecutive_losses: u32,
    },
    /// Its connection ended, and it was not to return.
    #[error("the connection ended")]
    ConnectionEnded,
    /// Its time is up.
    #[error("its time is up")]
    Expired,
    /// The pool holds as many as it may.
    #[error("over {limit} sessions")]
    TooManySessions {
        /// How many it may hold.
        limit: usize,
    },
    /// No line can be written for it.
    #[error("{0}")]
    InvalidRequest(OpenParametersError),
}

/// Why a standing connection is no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// The balancer sent the client away.
    Migrated,
    /// It broke; the peer's fault where there was one.
    Broken(Option<PeerFault>),
    /// The network went away.
    Offline,
}

/// What a session is told, beside its lines and its end.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionNotification {
    /// The connection stands.
    Connected {
        /// By which balancer.
        gateway: SocketAddr,
        /// The server's receipt.
        receipt: Bytes,
        /// Attempts that it took.
        attempts: u32,
        /// Whether it stood before.
        reconnected: bool,
    },
    /// The connection is no more; the session will return.
    Disconnected(ConnectionLoss),
    /// It tries to come back after this time.
    Reconnecting {
        /// The wait that was drawn.
        delay: Duration,
    },
    /// An attempt came to nothing; another follows after this time.
    Retrying {
        /// What became of it.
        last: AttemptFailure,
        /// The wait.
        delay: Duration,
    },
}

/// What follows once the driver says that the socket is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterClose {
    Wait(Instant),
    CollectDisconnects,
    Offline,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// Dropped; sees how many dropped with it before it draws its wait.
    CollectingDisconnects,
    Waiting,
    /// There is no address at all.
    NoAddresses,
    Offline,
    Connecting,
    AwaitingAnswer,
    Established,
    Closing(AfterClose),
}

impl SessionState {
    /// Whether a socket of the session is, or may be, open.
    pub(crate) const fn has_socket(self) -> bool {
        matches!(
            self,
            SessionState::Connecting
                | SessionState::AwaitingAnswer
                | SessionState::Established
                | SessionState::Closing(_)
        )
    }
}

#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) request: SessionRequest,
    pub(crate) state: SessionState,
    pub(crate) attempt: Attempt,
    pub(crate) address: Option<SocketAddr>,
    /// When the state's own time is over.
    pub(crate) timer: Option<Instant>,
    /// When it must stand; none while it stands, or before its wait after a drop is drawn.
    pub(crate) deadline: Option<Instant>,
    /// When it ends whatever it does.
    pub(crate) expires_at: Option<Instant>,
    /// The tick at which the pool looks after it.
    pub(crate) scheduled_tick: Option<u64>,
    pub(crate) attempts: u32,
    pub(crate) rejections: u32,
    /// It has stood before.
    pub(crate) established_before: bool,
    pub(crate) last_loss: ConnectionLoss,
    pub(crate) last_failure: AttemptFailure,
    pub(crate) established_at: Instant,
    /// Quick breaks in a row.
    pub(crate) consecutive_early_losses: u32,
}

impl Session {
    pub(crate) fn new(request: SessionRequest, now: Instant) -> Self {
        Self {
            state: SessionState::Waiting,
            attempt: Attempt::default(),
            address: None,
            timer: None,
            deadline: Some(now + request.timeout),
            expires_at: request.max_lifetime.map(|life| now + life),
            scheduled_tick: None,
            attempts: 0,
            rejections: 0,
            established_before: false,
            last_loss: ConnectionLoss::Migrated,
            last_failure: AttemptFailure::NotAttempted,
            established_at: now,
            consecutive_early_losses: 0,
            request,
        }
    }

    /// When the pool has to look after it next.
    pub(crate) fn next_timer(&self) -> Option<Instant> {
        [self.timer, self.deadline, self.expires_at].into_iter().flatten().min()
    }
}
