//! The changes of the queue, and why one is rejected.

use ashtide_fleet::state::Slot;

use super::MachineKind;

/// A change of the queue.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Change {
    /// None: the value is only written again, where acceptors differ after a proposer went away midway.
    Nothing,
    /// An operator requests a machine.
    Request {
        /// The request.
        request_id: u64,
        /// What it is.
        kind: MachineKind,
        /// Which.
        name: String,
        /// Why.
        reason: String,
        /// Unix time in milliseconds.
        requested_at_ms: u64,
    },
    /// An operator no longer wants it out.
    Cancel {
        /// The request.
        request_id: u64,
        /// Which.
        name: String,
    },
    /// An operator has finished with it.
    Done {
        /// The request.
        request_id: u64,
        /// Which.
        name: String,
    },
    /// It is its turn.
    Grant {
        /// Which.
        name: String,
        /// The gateway that holds the grant.
        holder: Slot,
    },
    /// Its connections are gone, or the drain has lasted for its bound.
    Drained {
        /// Which.
        name: String,
        /// The grant's token.
        token: u64,
        /// Whether it is released at once, without work on it.
        return_at_once: bool,
    },
    /// It has been out for its bound.
    Expired {
        /// Which.
        name: String,
        /// The grant's token.
        token: u64,
    },
    /// Its holder is silent: another gateway holds the grant from now on, under a new token.
    TakeOver {
        /// Which.
        name: String,
        /// The token so far.
        token: u64,
        /// The new holder.
        holder: Slot,
    },
    /// All gateways have learned that it is back, or their leases have ended.
    Removed {
        /// Which.
        name: String,
        /// The ended grant's token.
        token: u64,
    },
}

impl Change {
    /// The operator's request that this change carries out.
    #[must_use]
    pub fn request_id(&self) -> Option<u64> {
        match self {
            Self::Request { request_id, .. }
            | Self::Cancel { request_id, .. }
            | Self::Done { request_id, .. } => Some(*request_id),
            _ => None,
        }
    }

    /// The machine that is changed.
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

/// Why a change is rejected. The queue is as it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum ChangeRejected {
    /// A name or reason that cannot be stored.
    #[error("a name must have 1 to 48 bytes and a reason at most 48, without control characters")]
    InvalidText,
    /// The queue has no room for another machine.
    #[error("32 machines wait or are out already")]
    QueueFull,
    /// It is in the queue already.
    #[error("the machine waits or is out already")]
    AlreadyQueued,
    /// It is not in the queue.
    #[error("the machine neither waits nor is out")]
    NotQueued,
    /// It is out: that is ended by `done`.
    #[error("the machine is out; it is not waiting any more")]
    AlreadyOut,
    /// It is not out.
    #[error("the machine is not out")]
    NotOut,
    /// The token is not that of the grant.
    #[error("the fencing token is an old one")]
    Fenced,
    /// As many are out as may be.
    #[error("as many are out as may be")]
    LimitReached,
    /// Too few ready servers would be left.
    #[error("fewer ready servers would be left than the floor")]
    TooFewReady,
}

impl ChangeRejected {
    /// What an operator can do.
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
