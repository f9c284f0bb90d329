//! Session requests, attempt failures, session notifications and the state of a session within the pool.

use std::net::SocketAddr;
use std::time::Duration;

use ashtide_protocol::{OpenParameters, OpenParametersError, PeerFault};
use bytes::Bytes;

use crate::Instant;

/// Identifier of a session within its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Number of an attempt within its session, starting at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Attempt(pub u32);

/// Request of an application for a connection of a class for a key, to be established within a time-out.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionRequest {
    /// Class, key, tenant and group. The pool sets the retry and reconnect flags itself.
    pub parameters: OpenParameters,
    /// Time within which the first connection must be established, counted from the request.
    pub timeout: Duration,
    /// Optional time-out of a single attempt, after which another attempt may follow. If `None`, an attempt
    /// may use all the time that remains until the deadline; this suits sites whose servers rarely fail to
    /// answer.
    pub attempt_timeout: Option<Duration>,
    /// Optional maximum lifetime of the session; it ends after this duration in any state.
    pub max_lifetime: Option<Duration>,
    /// Whether an attempt that may have had an effect may be repeated: after `ERR`, a time-out or a lost
    /// connection.
    pub idempotent: bool,
    /// Whether the session reconnects after a `MOVE` or a lost connection.
    pub reconnects: bool,
}

impl SessionRequest {
    /// Creates a request for a connection of `class` for `key` within `timeout`, with retries and reconnects.
    pub fn new(class: impl Into<String>, key: impl Into<String>, timeout: Duration) -> Self {
        let parameters = OpenParameters { class: class.into(), key: key.into(), ..OpenParameters::default() };
        Self {
            parameters,
            timeout,
            attempt_timeout: None,
            max_lifetime: None,
            idempotent: true,
            reconnects: true,
        }
    }
}

/// Reason for which an attempt did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AttemptFailure {
    /// No attempt was made.
    #[error("no attempt could be made")]
    NotAttempted,
    /// The connection could not be established; the request was not executed.
    #[error("connection to the gateway failed")]
    ConnectFailed,
    /// The gateway rejected the request, which was not executed. Contains the advised retry delay, if any.
    #[error("request rejected")]
    Rejected(Option<Duration>),
    /// The gateway answered `ERR`; the request may have been executed.
    #[error("request failed")]
    Failed,
    /// No answer was received in time; the request may have been executed.
    #[error("no answer in time")]
    TimedOut,
    /// The connection ended before the answer was received; the request may have been executed.
    #[error("connection lost before the answer")]
    ConnectionLost,
    /// The peer violated the protocol; the request may have been executed.
    #[error("the gateway {0}")]
    ProtocolViolation(PeerFault),
    /// The device lost its network during the attempt; the request may have been executed.
    #[error("the network was lost during the attempt")]
    Offline,
}

impl AttemptFailure {
    /// Returns whether this failure proves that the request of the attempt was not executed.
    pub const fn never_executed(self) -> bool {
        matches!(
            self,
            AttemptFailure::NotAttempted | AttemptFailure::ConnectFailed | AttemptFailure::Rejected(_)
        )
    }
}

/// Reason for which a session ended. Every session ends exactly once.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum GiveUpReason {
    /// The application closed the session.
    #[error("closed by the application")]
    Closed,
    /// The server completed the session (`BYE`).
    #[error("completed by the server")]
    Completed,
    /// The connection was not established before the deadline.
    #[error("connection not established before the deadline: {last}")]
    DeadlineExceeded {
        /// Failure of the last attempt.
        last: AttemptFailure,
    },
    /// The request was rejected and no time or attempt remains for a retry. The application may open a new
    /// session after `retry_after`.
    #[error("refused, come again after {retry_after:?}")]
    Rejected {
        /// Remaining delay that the rejection requested.
        retry_after: Duration,
    },
    /// All addresses are ejected until after the deadline.
    #[error("no gateway available: all addresses ejected, the first one for another {retry_after:?}")]
    NoAvailableAddress {
        /// Time until the first ejection ends.
        retry_after: Duration,
    },
    /// The maximum number of attempts was made without success.
    #[error("all {attempts} attempts failed: {last}")]
    AttemptsExhausted {
        /// Number of attempts.
        attempts: u32,
        /// Failure of the last attempt.
        last: AttemptFailure,
    },
    /// The retry budget of the process has no token left for a retry.
    #[error("retry budget of this process exhausted: {last}")]
    RetryBudgetExhausted {
        /// Failure of the last attempt.
        last: AttemptFailure,
    },
    /// The request may have been executed and must not be repeated.
    #[error("request is not idempotent and may have been executed: {last}")]
    NotIdempotent {
        /// Failure of the last attempt.
        last: AttemptFailure,
    },
    /// Several consecutive connections broke soon after they were established.
    #[error("{consecutive_losses} consecutive connections broke soon after they were established")]
    Unstable {
        /// Number of consecutive early losses.
        consecutive_losses: u32,
    },
    /// The connection ended and the session does not reconnect.
    #[error("the connection ended")]
    ConnectionEnded,
    /// The maximum lifetime of the session elapsed.
    #[error("the maximum lifetime of the session elapsed")]
    Expired,
    /// The pool already has its maximum number of sessions.
    #[error("too many sessions: the limit is {limit}")]
    TooManySessions {
        /// Maximum number of sessions of the pool.
        limit: usize,
    },
    /// The request cannot be encoded as a protocol line.
    #[error("{0}")]
    InvalidRequest(OpenParametersError),
}

/// Reason for which an established connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// The gateway asked the client to reconnect (`MOVE`).
    Migrated,
    /// The connection broke. Contains the protocol violation of the peer, if any.
    Broken(Option<PeerFault>),
    /// The device lost its network.
    Offline,
}

/// Notification for the application of a session, apart from lines and the end of the session.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionNotification {
    /// The connection is established.
    Connected {
        /// Address of the gateway that accepted the connection.
        gateway: SocketAddr,
        /// Receipt from the server.
        receipt: Bytes,
        /// Number of attempts that were made for this connection.
        attempts: u32,
        /// Whether the session had an established connection before.
        reconnected: bool,
    },
    /// The connection ended; the session will reconnect.
    Disconnected(ConnectionLoss),
    /// The session makes its next connection attempt after a delay.
    Reconnecting {
        /// Delay before the attempt, drawn from the reconnect window.
        delay: Duration,
    },
    /// An attempt failed and is retried after a delay.
    Retrying {
        /// Failure of the attempt.
        last: AttemptFailure,
        /// Delay before the next attempt.
        delay: Duration,
    },
}

/// Next step of a session after the driver reports that its socket is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AfterClose {
    /// Wait until this time, then make the next attempt.
    Wait(Instant),
    /// Count concurrent disconnects, then choose a reconnect delay.
    CollectDisconnects,
    /// Wait for the network.
    Offline,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// The connection was lost; other disconnects are counted before the reconnect delay is chosen.
    CollectingDisconnects,
    Waiting,
    /// The address list is empty.
    NoAddresses,
    Offline,
    Connecting,
    AwaitingAnswer,
    Established,
    Closing(AfterClose),
}

impl SessionState {
    /// Returns whether the session's socket is or may be open.
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
    /// Time at which the current state times out, if it does.
    pub(crate) timer: Option<Instant>,
    /// Time by which the connection must be established. `None` while it is established and, after a network
    /// loss, until the reconnect delay is chosen.
    pub(crate) deadline: Option<Instant>,
    /// Time at which the session ends in any state.
    pub(crate) expires_at: Option<Instant>,
    /// Tick for which the session is entered in the pool's timers.
    pub(crate) scheduled_tick: Option<u64>,
    /// Number of attempts for the current connection.
    pub(crate) attempts: u32,
    /// Number of rejections for the current connection.
    pub(crate) rejections: u32,
    /// Whether the session had an established connection before.
    pub(crate) established_before: bool,
    pub(crate) last_loss: ConnectionLoss,
    pub(crate) last_failure: AttemptFailure,
    pub(crate) established_at: Instant,
    /// Number of consecutive connections that broke early.
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
            expires_at: request.max_lifetime.map(|lifetime| now + lifetime),
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

    /// Returns the time at which the pool has to process the session next, if any.
    pub(crate) fn next_timer(&self) -> Option<Instant> {
        [self.timer, self.deadline, self.expires_at].into_iter().flatten().min()
    }
}
