//! The violations that the checks of a history report.

use crate::history::{CloseReason, ExitCause};

/// Time that the gateways have to learn of a drain, in microseconds. Later attempts to the server are
/// violations.
pub(crate) const DRAIN_PROPAGATION_US: u64 = 2_000_000;

/// An invariant that a fault run violated.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Violation {
    /// An accepted request got no answer, although its gateway was neither killed nor stalled.
    #[error(
        "unanswered: request {request} to process {process} at {at_us} us: {observed}; \
         expected one final answer"
    )]
    Unanswered {
        /// The id of the request.
        request: String,
        /// The number of the process that the request was sent to.
        process: usize,
        /// The time of the request, in microseconds since the start.
        at_us: u64,
        /// The client's observation in place of an answer.
        observed: &'static str,
    },
    /// A request got a second final answer.
    #[error("duplicate answer: request {request} received {found} final answers, expected 1")]
    DuplicateAnswer {
        /// The id of the request.
        request: String,
        /// The number of final answers.
        found: usize,
    },
    /// A client got a receipt that no server issued for its request.
    #[error("forged receipt: request {request} received receipt '{receipt}', which no server issued for it")]
    ForgedReceipt {
        /// The id of the request.
        request: String,
        /// The receipt that the client got.
        receipt: String,
    },
    /// Two attempts of one request were in progress at the same time.
    #[error(
        "concurrent attempts: attempts of request {request} at {first} and {second} overlapped for {overlap_us} us, \
         expected one after the other"
    )]
    ConcurrentAttempts {
        /// The id of the request.
        request: String,
        /// The server of the earlier attempt.
        first: String,
        /// The server of the later attempt.
        second: String,
        /// The duration of the overlap, in microseconds.
        overlap_us: u64,
    },
    /// A new attempt was sent to a server after the time that gateways have to learn of its drain.
    #[error(
        "attempt after drain: request {request} reached {server} {late_us} us after its drain was listed, \
         expected {DRAIN_PROPAGATION_US} us at most"
    )]
    AttemptAfterDrain {
        /// The id of the request.
        request: String,
        /// The name of the server.
        server: String,
        /// The time from the drain to the attempt, in microseconds.
        late_us: u64,
    },
    /// All gateways together sent a newly started server more attempts than its slow-start budget allows.
    #[error(
        "slow-start budget: {server} received {found} attempts in the window from {at_us} us, \
         expected {limit:.1} at most"
    )]
    SlowStartBudgetExceeded {
        /// The name of the server.
        server: String,
        /// The start of the window, in microseconds since the start of the run.
        at_us: u64,
        /// The number of attempts in the window.
        found: usize,
        /// The permitted number of attempts.
        limit: f64,
    },
    /// An established connection was closed without `MOVE`, or stopped echoing.
    #[error(
        "connection dropped: connection {request} at process {process} ended at {at_us} us: {reason:?}; expected MOVE"
    )]
    ConnectionDropped {
        /// The id of the request that established the connection.
        request: String,
        /// The number of the process that the connection was established with.
        process: usize,
        /// The time of the end, in microseconds since the start.
        at_us: u64,
        /// The way in which the connection ended.
        reason: CloseReason,
    },
    /// A process exited without a signal from the harness, or with a status other than 0.
    #[error(
        "unexpected exit: process {process} of gateway {gateway} exited at {at_us} us ({cause:?}), \
         expected status 0 after SIGTERM"
    )]
    UnexpectedExit {
        /// The number of the process.
        process: usize,
        /// The number of its gateway.
        gateway: usize,
        /// The time of the exit, in microseconds since the start.
        at_us: u64,
        /// The cause of the exit.
        cause: ExitCause,
    },
    /// Ejections took more of the ready capacity out of use at a gateway than the limit allows.
    #[error(
        "ejection limit: process {process} at {at_us} us: {found} thousandths of a server are ejected, \
         expected {limit} at most"
    )]
    EjectionLimitExceeded {
        /// The number of the process.
        process: usize,
        /// The time of the admin sample, in microseconds since the start.
        at_us: u64,
        /// The ejected capacity, in thousandths of a server.
        found: u64,
        /// The permitted ejected capacity, in thousandths of a server.
        limit: u64,
    },
    /// All gateways together placed more new connections of a partner than its quota and one burst allow.
    #[error(
        "rate quota: {found} connections of {tenant} were placed in the {window_ms} ms from {at_us} us, \
         expected {limit:.1} at most"
    )]
    RateQuotaExceeded {
        /// The name of the partner.
        tenant: String,
        /// The start of the window, in microseconds since the start of the run.
        at_us: u64,
        /// The length of the window, in milliseconds.
        window_ms: u64,
        /// The number of connections placed in the window.
        found: usize,
        /// The permitted number of connections in the window.
        limit: f64,
    },
    /// A partner had more connections open at one time than its quota allows.
    #[error(
        "connection quota: {found} connections of {tenant} were open at {at_us} us, expected {limit} at most"
    )]
    ConnectionQuotaExceeded {
        /// The name of the partner.
        tenant: String,
        /// The time, in microseconds since the start.
        at_us: u64,
        /// The number of open connections.
        found: usize,
        /// The permitted number of open connections.
        limit: f64,
    },
    /// The fleet did not converge after the last fault.
    #[error("not converged: {what}")]
    NotConverged {
        /// The remaining difference.
        what: String,
    },
}

impl Violation {
    /// Returns the name of the violation in documentation and summaries.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Unanswered { .. } => "no-answer",
            Self::DuplicateAnswer { .. } => "two-answers",
            Self::ForgedReceipt { .. } => "made-up",
            Self::ConcurrentAttempts { .. } => "two-out",
            Self::AttemptAfterDrain { .. } => "after-drain",
            Self::SlowStartBudgetExceeded { .. } => "cold-budget",
            Self::ConnectionDropped { .. } => "cut-off",
            Self::UnexpectedExit { .. } => "died",
            Self::EjectionLimitExceeded { .. } => "out-of-use",
            Self::RateQuotaExceeded { .. } => "quota",
            Self::ConnectionQuotaExceeded { .. } => "open-quota",
            Self::NotConverged { .. } => "unsettled",
        }
    }

    /// Returns what an operator can do to find the cause.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Unanswered { .. } | Self::DuplicateAnswer { .. } | Self::ForgedReceipt { .. } => {
                "follow the request through the timeline, then read its gateway's log with ASHTIDE_REHEARSE_LOG=1"
            }
            Self::ConcurrentAttempts { .. } => {
                "compare the times of the two attempts with connectTimeout and the deadline of the class"
            }
            Self::AttemptAfterDrain { .. } => {
                "check whether the discovery watch of the gateway was connected when the drain was listed"
            }
            Self::SlowStartBudgetExceeded { .. } => {
                "check which gateways sent attempts: more of them than the budget was divided among, or messages were lost"
            }
            Self::ConnectionDropped { .. } => {
                "check whether its process was draining; if so, \
                 the grace period was too short for all its clients"
            }
            Self::UnexpectedExit { .. } => {
                "run again with ASHTIDE_REHEARSE_LOG=1: the last lines of the log show the cause"
            }
            Self::EjectionLimitExceeded { .. } => {
                "set 'judgements' to 'off' in the view file, and check the log lines 'state: server NAME is an outlier'"
            }
            Self::RateQuotaExceeded { .. } | Self::ConnectionQuotaExceeded { .. } => {
                "compare the lists, quotas and generations of the gateways: the admin call 'quota' shows each"
            }
            Self::NotConverged { .. } => {
                "check which gateway differs and which list update it received last; \
                 a longer settle_ms shows whether it is only slow"
            }
        }
    }
}
