//! Changes of the queue, and the reasons for their rejection.

use ashtide_fleet::state::Slot;

use super::MachineKind;

/// Change of the queue.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Change {
    /// No change: writes the current value again after a proposer stopped in the middle of a round and left
    /// the acceptors with different values.
    Nothing,
    /// An operator requests maintenance of a machine.
    Request {
        /// Id of the operator's request.
        request_id: u64,
        /// Kind of the machine.
        kind: MachineKind,
        /// Name of the machine.
        name: String,
        /// Reason for the maintenance.
        reason: String,
        /// Unix time of the request in milliseconds.
        requested_at_ms: u64,
    },
    /// An operator cancels the maintenance of a machine before its work has started.
    Cancel {
        /// Id of the operator's request.
        request_id: u64,
        /// Name of the machine.
        name: String,
    },
    /// An operator reports that the maintenance work on a machine is done.
    Done {
        /// Id of the operator's request.
        request_id: u64,
        /// Name of the machine.
        name: String,
    },
    /// A queued machine is granted and starts to drain.
    Grant {
        /// Name of the machine.
        name: String,
        /// Gateway that becomes the holder of the grant.
        holder: Slot,
    },
    /// A machine has no open connections any more, or its drain has reached the time limit.
    Drained {
        /// Name of the machine.
        name: String,
        /// Fencing token of the grant.
        token: u64,
        /// Whether the machine is released at once, without maintenance work.
        return_at_once: bool,
    },
    /// A machine has reached the maximum time out.
    Expired {
        /// Name of the machine.
        name: String,
        /// Fencing token of the grant.
        token: u64,
    },
    /// A gateway takes over a grant with a new fencing token, because no message from the holder has been
    /// received.
    TakeOver {
        /// Name of the machine.
        name: String,
        /// Fencing token of the grant before the takeover.
        token: u64,
        /// Gateway that becomes the holder.
        holder: Slot,
    },
    /// A released machine is removed, because all gateways have learned of the release or their leases have
    /// expired.
    Removed {
        /// Name of the machine.
        name: String,
        /// Fencing token of the ended grant.
        token: u64,
    },
}

impl Change {
    /// Returns the id of the operator's request that this change executes, `None` if no operator requested
    /// it.
    #[must_use]
    pub fn request_id(&self) -> Option<u64> {
        match self {
            Self::Request { request_id, .. }
            | Self::Cancel { request_id, .. }
            | Self::Done { request_id, .. } => Some(*request_id),
            _ => None,
        }
    }

    /// Returns the name of the machine that is changed.
    #[must_use]
    pub fn machine_name(&self) -> Option<&str> {
        match self {
            Self::Nothing => None,
            Self::Request { name, .. }
            | Self::Cancel { name, .. }
            | Self::Done { name, .. }
            | Self::Grant { name, .. }
            | Self::Drained { name, .. }
            | Self::Expired { name, .. }
            | Self::TakeOver { name, .. }
            | Self::Removed { name, .. } => Some(name),
        }
    }
}

/// Reason why a change is rejected. A rejected change leaves the queue unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum ChangeRejected {
    /// The name or the reason is too short, too long, or contains control characters.
    #[error("a name must have 1 to 48 bytes and a reason at most 48, without control characters")]
    InvalidText,
    /// The queue is full.
    #[error("32 machines wait or are out already")]
    QueueFull,
    /// The machine is already in the queue.
    #[error("the machine waits or is out already")]
    AlreadyQueued,
    /// The machine is not in the queue.
    #[error("the machine neither waits nor is out")]
    NotQueued,
    /// The machine is past the phase in which this change is possible. Maintenance of a machine that is out
    /// ends with `done`.
    #[error("the machine is out; it is not waiting any more")]
    AlreadyOut,
    /// The machine is not out.
    #[error("the machine is not out")]
    NotOut,
    /// The fencing token is not that of the current grant.
    #[error("the fencing token is an old one")]
    Fenced,
    /// The maximum number of machines of this kind is out.
    #[error("as many are out as may be")]
    LimitReached,
    /// Fewer ready servers than the configured minimum would remain.
    #[error("fewer ready servers would be left than the floor")]
    TooFewReady,
}

impl ChangeRejected {
    /// Returns what an operator can do about it.
    #[must_use]
    pub fn help(self) -> &'static str {
        match self {
            Self::InvalidText => "shorten the name or the reason",
            Self::QueueFull => "wait until some are done, or cancel some that wait",
            Self::AlreadyQueued => "see `ashtide maintenance list`; it need not be asked for again",
            Self::NotQueued => "compare the name with `ashtide maintenance list`",
            Self::AlreadyOut => "finish the work and say `ashtide maintenance done NAME`",
            Self::NotOut => "say `ashtide maintenance cancel NAME` to take it off the queue",
            Self::Fenced => "nothing: another gateway has taken the grant over, and sees it through",
            Self::LimitReached => "nothing: it waits until another one is done",
            Self::TooFewReady => "bring servers back, or lower `floor` on all gateways",
        }
    }
}
