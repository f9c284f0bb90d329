//! Invariant violations. The invariants are numbered as in `docs/design/maintenance.md`.

use std::time::Duration;

/// Violated invariant. The cause is a fault of the program, never of the network.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// M1: the number of machines that all gateways together cordon at a time does not exceed its limit.
    #[error("M1: {found} machines are kept out at once ({names}), at most {most} may be")]
    TooManyOut {
        /// Number of machines that are cordoned.
        found: usize,
        /// Names of these machines, separated by commas.
        names: String,
        /// Maximum number of machines that may be out.
        most: usize,
    },
    /// M2: the number of grants in a queue does not exceed its limits.
    #[error("M2: version {version} of the table gives out {found}, at most {most} may be")]
    TooManyGranted {
        /// Version of the queue.
        version: u64,
        /// Number of granted machines.
        found: usize,
        /// Maximum number of granted machines.
        most: usize,
    },
    /// M3: each fencing token is granted once, and none is higher than the last granted token.
    #[error("M3: version {version} of the table has token {token} twice, or over the last one, {last}")]
    InvalidToken {
        /// Version of the queue.
        version: u64,
        /// Fencing token that is duplicated or too high.
        token: u64,
        /// Last granted token.
        last: u64,
    },
    /// M4: each machine is in the queue at most once.
    #[error("M4: version {version} of the table names '{name}' twice")]
    DuplicateMachine {
        /// Version of the queue.
        version: u64,
        /// Name of the machine.
        name: String,
    },
    /// M5: queues and buffers do not exceed their capacity.
    #[error("M5: {what} holds {found}, room for {capacity}")]
    OverFull {
        /// Name of the queue or buffer.
        what: &'static str,
        /// Number of elements.
        found: usize,
        /// Maximum number of elements.
        capacity: usize,
    },
    /// M6: no machine is cordoned after the lease has expired.
    #[error("M6: machines are kept out by what was known {age:?} ago, at most {lease:?} is allowed")]
    LeaseExpired {
        /// Time since the queue was requested.
        age: Duration,
        /// Duration of the lease.
        lease: Duration,
    },
    /// M7: all queues with the same version are equal.
    #[error("M7: version {version} of the table has been chosen with two contents")]
    DivergentValues {
        /// Version of the queue.
        version: u64,
    },
}

impl Violation {
    /// Returns what an operator can do about it.
    #[must_use]
    pub fn help(&self) -> &'static str {
        match self {
            Self::TooManyOut { .. } | Self::TooManyGranted { .. } => {
                "compare max_out, the voters and their order on all gateways, cancel what is queued, and report the line"
            }
            Self::InvalidToken { .. } | Self::DuplicateMachine { .. } | Self::DivergentValues { .. } => {
                "cancel what is queued, see that no two gateways run under one slot, and report the line"
            }
            Self::OverFull { .. } => "restart this gateway and report the line",
            Self::LeaseExpired { .. } => {
                "restart this gateway, which then keeps nothing out until it has asked, and report"
            }
        }
    }
}
