//! Violated invariants, by name. The numbers are those of `docs/design/maintenance.md`.

use std::time::Duration;

/// An invariant that does not hold: a fault of the program, never of the network.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// M1: all gateways together keep at most so many machines out at one moment.
    #[error("M1: {found} machines are kept out at once ({names}), at most {most} may be")]
    TooManyOut {
        /// How many are.
        found: usize,
        /// Which.
        names: String,
        /// How many may be.
        most: usize,
    },
    /// M2: a queue grants no more than its limits allow.
    #[error("M2: version {version} of the table gives out {found}, at most {most} may be")]
    TooManyGranted {
        /// The queue's version.
        version: u64,
        /// How many are granted.
        found: usize,
        /// How many may be.
        most: usize,
    },
    /// M3: a token is granted once, and none is higher than the last one.
    #[error("M3: version {version} of the table has token {token} twice, or over the last one, {last}")]
    InvalidToken {
        /// The queue's version.
        version: u64,
        /// The token.
        token: u64,
        /// The last one granted.
        last: u64,
    },
    /// M4: a machine is in the queue once.
    #[error("M4: version {version} of the table names '{name}' twice")]
    DuplicateMachine {
        /// The queue's version.
        version: u64,
        /// The machine.
        name: String,
    },
    /// M5: queues and buffers stay within their bounds.
    #[error("M5: {what} holds {found}, room for {room}")]
    OverFull {
        /// Which.
        what: &'static str,
        /// How many are there.
        found: usize,
        /// How many may be.
        room: usize,
    },
    /// M6: nothing is kept out after the lease has ended.
    #[error("M6: machines are kept out by what was known {age:?} ago, at most {lease:?} is allowed")]
    LeaseExpired {
        /// How long ago the queue was requested.
        age: Duration,
        /// How long it may be acted on.
        lease: Duration,
    },
    /// M7: two queues of one version are the same.
    #[error("M7: version {version} of the table has been chosen with two contents")]
    DivergentValues {
        /// The version.
        version: u64,
    },
}

impl Violation {
    /// What an operator can do.
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
