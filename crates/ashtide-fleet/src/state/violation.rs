//! Invariants of the shared state and their violations, numbered as in `docs/design/shared-state.md`.

use std::time::Duration;

use super::{InitialShare, Slot};

/// A violated invariant: a program error, which network faults alone cannot cause.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// C1: the row of this gateway has the incarnation of this gateway.
    #[error("C1: the own row has incarnation {found}, expected {expected}")]
    OwnRow {
        /// The incarnation of the row.
        found: u64,
        /// The incarnation of this gateway.
        expected: u64,
    },
    /// C2: a row without an update for [`ROW_LIFETIME`](super::ROW_LIFETIME) is not counted.
    #[error("C2: the row of gateway {} was received {age:?} ago and is still counted", .slot.0)]
    StaleRow {
        /// The gateway of the row.
        slot: Slot,
        /// The time since the last update of the row.
        age: Duration,
    },
    /// C3: a row has the counts that its gateway sent last, each counted once.
    #[error("C3: gateway {} is counted with {found}, expected its reported count of {expected}", .slot.0)]
    MiscountedRow {
        /// The gateway of the row.
        slot: Slot,
        /// The count in the row.
        found: u32,
        /// The count at the gateway itself.
        expected: u32,
    },
    /// B1: the lent units are at most the lendable units; the floor is never lent.
    #[error("B1: {lent} units are lent, expected at most {lendable}")]
    OverLent {
        /// Units that are lent.
        lent: u64,
        /// Units that may be lent.
        lendable: u64,
    },
    /// B2: a lease ends at its holder within the lease duration from now.
    #[error("B2: a lease of gateway {} ends in {remaining:?}, expected at most {longest:?}", .slot.0)]
    LongLease {
        /// The grantor of the lease.
        slot: Slot,
        /// The remaining time of the lease.
        remaining: Duration,
        /// The lease duration.
        longest: Duration,
    },
    /// B3: the stored credit of a budget is at most its usable units times its burst.
    #[error("B3: {stored} unit-nanoseconds are stored, expected at most {capacity}")]
    OverStored {
        /// The stored credit, in unit-nanoseconds.
        stored: u128,
        /// The maximum of the stored credit, in unit-nanoseconds.
        capacity: u128,
    },
    /// B4: the usable units of all gateways together are at most the total.
    #[error("B4: all gateways together may use {usable} units, expected at most the total of {total}")]
    OverTotal {
        /// The sum of the usable units of all gateways.
        usable: u64,
        /// The total of the budget, in units.
        total: u64,
    },
    /// B5: the spends of all gateways in a window are at most the rate of the total times the window, plus
    /// one burst.
    #[error("B5: {spent} units were spent in {window:?}, expected at most {most}")]
    OverSpent {
        /// The number of spends in the window.
        spent: u64,
        /// The maximum number of spends in the window.
        most: u64,
        /// The length of the window.
        window: Duration,
    },
    /// J1: a server is ejected only if a quorum of observers has evidence against it.
    #[error("J1: server {server:#x} is ejected by {observers} observers, expected a quorum of {quorum}")]
    NoQuorum {
        /// The server, by a hash of its name.
        server: u32,
        /// The number of observers with evidence of sufficient weight.
        observers: usize,
        /// The number of observers that is required.
        quorum: usize,
    },
    /// J2: outlier reports eject at most the configured part of the ready capacity.
    #[error("J2: {ejected} of {ready} ready capacity is ejected by outlier reports, expected at most {most}")]
    TooMuchEjected {
        /// The ejected capacity.
        ejected: u64,
        /// The capacity of all ready servers.
        ready: u64,
        /// The maximum of the ejected capacity.
        most: u64,
    },
    /// J3: the evidence of one observer has at most the weight of one full observer.
    #[error(
        "J3: gateway {} has a weight of {weight} thousandths on server {server:#x}, expected at most 1000",
        .observer.0
    )]
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
    #[error("S1: table '{table}' has {found} entries, expected at most {most}")]
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
            Self::OwnRow { .. } => "find the second process with this gateway's name and stop one of them",
            Self::StaleRow { .. } | Self::MiscountedRow { .. } => {
                "restart the named gateway, because counts are wrong until then, and report this line"
            }
            Self::OverLent { .. } | Self::LongLease { .. } | Self::OverStored { .. } => {
                "restart this gateway, which then lends nothing for one lease, and report this line"
            }
            Self::OverTotal { .. } | Self::OverSpent { .. } => {
                "compare the lists of gateways and the totals in the settings: all gateways need the same \
                 ones"
            }
            Self::NoQuorum { .. } | Self::TooMuchEjected { .. } | Self::OverWeight { .. } => {
                "set judgements = 'off' in the settings and report this line"
            }
            Self::ShareMismatch { .. } => {
                "restart this gateway, which retains its commitments, and report this line"
            }
            Self::OverFull { .. } => {
                "shorten the list of servers or gateways: it exceeds the capacity of this build"
            }
        }
    }
}
