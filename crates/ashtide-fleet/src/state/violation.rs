//! Invariants of the shared state and their violations, numbered as in `docs/design/shared-state.md`.

use std::time::Duration;

use super::{InitialShare, Slot};

/// A violated invariant: a program error, which network faults alone cannot cause.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// C1: the row of this gateway has the incarnation of this gateway.
    #[error("C1: the own row is of generation {found}, expected {expected}")]
    OwnRow {
        /// The incarnation of the row.
        found: u64,
        /// The incarnation of this gateway.
        expected: u64,
    },
    /// C2: a row without an update for [`ROW_LIFETIME`](super::ROW_LIFETIME) is not counted.
    #[error("C2: the row of gateway {} was heard {age:?} ago and is still counted", .slot.0)]
    StaleRow {
        /// The gateway of the row.
        slot: Slot,
        /// The time since the last update of the row.
        age: Duration,
    },
    /// C3: a row has the counts that its gateway sent last, each counted once.
    #[error("C3: gateway {} is counted with {found}, it said {expected}", .slot.0)]
    MiscountedRow {
        /// The gateway of the row.
        slot: Slot,
        /// The count in the row.
        found: u32,
        /// The count at the gateway itself.
        expected: u32,
    },
    /// B1: the lent units are at most the lendable units; the floor is never lent.
    #[error("B1: {lent} units are lent of {lendable}")]
    OverLent {
        /// Units that are lent.
        lent: u64,
        /// Units that may be lent.
        lendable: u64,
    },
    /// B2: a lease ends at its holder within the lease duration from now.
    #[error("B2: a lease of gateway {} ends in {remaining:?}, at most {longest:?} is granted", .slot.0)]
    LongLease {
        /// The grantor of the lease.
        slot: Slot,
        /// The remaining time of the lease.
        remaining: Duration,
        /// The lease duration.
        longest: Duration,
    },
    /// B3: the stored credit of a budget is at most its usable units times its burst.
    #[error("B3: {stored} units x ns are stored, room for {capacity}")]
    OverStored {
        /// The stored credit, in unit-nanoseconds.
        stored: u128,
        /// The maximum of the stored credit, in unit-nanoseconds.
        capacity: u128,
    },
    /// B4: the usable units of all gateways together are at most the total.
    #[error("B4: all gateways together may use {usable} units of a total of {total}")]
    OverTotal {
        /// The sum of the usable units of all gateways.
        usable: u64,
        /// The total of the budget, in units.
        total: u64,
    },
    /// B5: the spends of all gateways in a window are at most the rate of the total times the window, plus
    /// one burst.
    #[error("B5: {spent} were spent in {window:?}, at most {most} may be")]
    OverSpent {
        /// The number of spends in the window.
        spent: u64,
        /// The maximum number of spends in the window.
        most: u64,
        /// The length of the window.
        window: Duration,
    },
    /// J1: a server is ejected only if a quorum of observers has evidence against it.
    #[error("J1: server {server:#x} is out of use by {observers} observers, a quorum is {quorum}")]
    NoQuorum {
        /// The server, by a hash of its name.
        server: u32,
        /// The number of observers with evidence of sufficient weight.
        observers: usize,
        /// The number of observers that is required.
        quorum: usize,
    },
    /// J2: outlier reports eject at most the configured part of the ready capacity.
    #[error("J2: {ejected} of {ready} ready capacity is out of use by judgements, at most {most} may be")]
    TooMuchEjected {
        /// The ejected capacity.
        ejected: u64,
        /// The capacity of all ready servers.
        ready: u64,
        /// The maximum of the ejected capacity.
        most: u64,
    },
    /// J3: the evidence of one observer has at most the weight of one full observer.
    #[error("J3: gateway {} weighs {weight} thousandths on server {server:#x}, at most 1000 is one's", .observer.0)]
    OverWeight {
        /// The observer.
        observer: Slot,
        /// The server, by a hash of its name.
        server: u32,
        /// The weight, in thousandths of one full observer.
        weight: u32,
    },
    /// A1: the active share of a gateway is at most the share that the settings assign to it, and equal to
    /// that once the settings are agreed.
    #[error(
        "A1: of budget {budget:#x} a floor of {} and {} lendable units are in use, the settings give {} and {}",
        .found.floor, .found.lendable, .expected.floor, .expected.lendable
    )]
    ShareMismatch {
        /// The ID of the budget.
        budget: u32,
        /// The active share.
        found: InitialShare,
        /// The share according to the settings.
        expected: InitialShare,
    },
    /// S1: a table has at most its maximum number of entries.
    #[error("S1: {table} has {found} entries, room for {most}")]
    OverFull {
        /// The name of the table.
        table: &'static str,
        /// The number of entries.
        found: usize,
        /// The maximum number of entries.
        most: usize,
    },
}

impl Violation {
    /// Checks the invariant S1: `table` has at most `most` entries, with `found` being their number.
    pub(super) fn check_size(table: &'static str, found: usize, most: usize) -> Result<(), Self> {
        if found > most { Err(Self::OverFull { table, found, most }) } else { Ok(()) }
    }

    /// Returns the number of the invariant, as in `docs/design/shared-state.md`.
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

    /// Returns advice for the operator.
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
