//! Violated invariants, by name. The numbers are those of `docs/design/shared-state.md`.

use std::time::Duration;

use super::{InitialShare, Slot};

/// An invariant that does not hold: a fault of the program, never of the network.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// C1: the own row is of the own life.
    #[error("C1: the own row is of generation {found}, expected {expected}")]
    OwnRow {
        /// The row's generation.
        found: u64,
        /// The own one.
        expected: u64,
    },
    /// C2: a row that has not been heard of for [`ROW_LIFETIME`](super::ROW_LIFETIME) is not counted.
    #[error("C2: the row of gateway {} was heard {age:?} ago and is still counted", .slot.0)]
    StaleRow {
        /// Whose.
        slot: Slot,
        /// Its age.
        age: Duration,
    },
    /// C3: a row says what its gateway said last, once.
    #[error("C3: gateway {} is counted with {found}, it said {expected}", .slot.0)]
    MiscountedRow {
        /// Whose.
        slot: Slot,
        /// What is counted.
        found: u32,
        /// What the gateway itself has.
        expected: u32,
    },
    /// B1: what is lent is at most what may be lent; the floor is never lent.
    #[error("B1: {lent} units are lent of {lendable}")]
    OverLent {
        /// Units on loan.
        lent: u64,
        /// Units that may be.
        lendable: u64,
    },
    /// B2: a lease that is held ends within its length from now.
    #[error("B2: a lease of gateway {} ends in {left:?}, at most {longest:?} is granted", .slot.0)]
    LongLease {
        /// Who granted it.
        slot: Slot,
        /// Time left.
        left: Duration,
        /// The longest.
        longest: Duration,
    },
    /// B3: what a budget has stored is at most its rights times its burst.
    #[error("B3: {stored} units x ns are stored, room for {room}")]
    OverStored {
        /// What is there.
        stored: u128,
        /// What may be.
        room: u128,
    },
    /// B4: the rights of all gateways together are at most the total.
    #[error("B4: all gateways together may use {usable} units of a total of {total}")]
    OverTotal {
        /// Sum of what they may use.
        usable: u64,
        /// The total.
        total: u64,
    },
    /// B5: what all gateways spend in a window is at most the total's pace times the window, and one burst.
    #[error("B5: {spent} were spent in {window:?}, at most {most} may be")]
    OverSpent {
        /// Spent.
        spent: u64,
        /// Allowed.
        most: u64,
        /// The window.
        window: Duration,
    },
    /// J1: a server is out of use only where a quorum of observers has evidence.
    #[error("J1: server {server:#x} is out of use by {observers} observers, a quorum is {quorum}")]
    NoQuorum {
        /// Which.
        server: u32,
        /// Observers with evidence that counts.
        observers: usize,
        /// Needed.
        quorum: usize,
    },
    /// J2: judgements take at most their part of the ready capacity out of use.
    #[error("J2: {out} of {ready} ready capacity is out of use by judgements, at most {most} may be")]
    TooMuchEjected {
        /// Capacity out.
        out: u64,
        /// Capacity that is ready.
        ready: u64,
        /// The most.
        most: u64,
    },
    /// J3: one observer's evidence weighs at most one.
    #[error("J3: gateway {} weighs {weight} thousandths on server {server:#x}, at most 1000 is one's", .observer.0)]
    OverWeight {
        /// Who.
        observer: Slot,
        /// On which.
        server: u32,
        /// Thousandths of one full observer.
        weight: u32,
    },
    /// A1: what a gateway uses of its root is at most what the settings give it, and all of it once they are agreed on.
    #[error(
        "A1: of budget {budget:#x} a floor of {} and {} lendable units are in use, the settings give {} and {}",
        .found.floor, .found.lendable, .due.floor, .due.lendable
    )]
    ShareMismatch {
        /// Of which.
        budget: u32,
        /// What is in use.
        found: InitialShare,
        /// What the settings give.
        due: InitialShare,
    },
    /// S1: a table stays within its bound.
    #[error("S1: {table} has {found} entries, room for {most}")]
    OverFull {
        /// Which.
        table: &'static str,
        /// Entries.
        found: usize,
        /// Room.
        most: usize,
    },
}

impl Violation {
    /// Checks that a table has at most `most` entries.
    pub(super) fn check_size(table: &'static str, found: usize, most: usize) -> Result<(), Self> {
        if found > most { Err(Self::OverFull { table, found, most }) } else { Ok(()) }
    }

    /// The invariant's number in `docs/design/shared-state.md`.
    #[must_use]
    pub fn invariant_id(&self) -> &'static str {
        match self {
            Self::OwnRow { .. } => "C1",
            Self::StaleRow { .. } => "C2",
            Self::MiscountedRow { .. } => "C3",
            Self::OverLent { .. } => "B1",
            Self::LongLease { .. } => "B2",
            Self::OverStored { .. } => "B3",
            Self::OverTotal { .. } => "B4",
            Self::OverSpent { .. } => "B5",
            Self::NoQuorum { .. } => "J1",
            Self::TooMuchEjected { .. } => "J2",
            Self::OverWeight { .. } => "J3",
            Self::ShareMismatch { .. } => "A1",
            Self::OverFull { .. } => "S1",
        }
    }

    /// What an operator can do.
    #[must_use]
    pub fn help(&self) -> &'static str {
        match self {
            Self::OwnRow { .. } => "look for a second process under this gateway's name, and stop one",
            Self::StaleRow { .. } | Self::MiscountedRow { .. } => {
                "counts mislead until the gateway named restarts: restart it, and report the line"
            }
            Self::OverLent { .. } | Self::LongLease { .. } | Self::OverStored { .. } => {
                "restart this gateway, which then lends nothing for one lease, and report the line"
            }
            Self::OverTotal { .. } | Self::OverSpent { .. } => {
                "compare the settings' list of gateways and the totals on all of them: they must be the same"
            }
            Self::NoQuorum { .. } | Self::TooMuchEjected { .. } | Self::OverWeight { .. } => {
                "turn judgements off in the settings, and report the line"
            }
            Self::ShareMismatch { .. } => {
                "restart this gateway, which keeps what it promised, and report the line"
            }
            Self::OverFull { .. } => "the list of servers or gateways is longer than this build has room for",
        }
    }
}
