//! What the gateways of a tier share, and what it is worth when a part of them is cut off.
//!
//! Three kinds of state, a type each, all without a socket or a clock:
//!
//! - [`ReplicatedCounts`]: a row per gateway, never a sum of sums (a state-based CRDT). A fact of the past, with its
//!   age.
//! - [`Escrow`], and [`Budget`] on top of it: rights to spend, which are moved and never copied. The sum of what all
//!   gateways may use at one moment is at most the total, whoever is cut off.
//! - [`OutlierReports`]: what gateways observed of servers. Evidence with an age; a verdict follows from it, and is
//!   never sent.
//!
//! Each says what it holds to in `check`, which names the violated invariant ([`Violation`]); the numbers are those of
//! `docs/design/shared-state.md`. Time is passed in and is a steady one of each gateway's own (no gateway's time is
//! compared with another's).

mod allocation;
mod budget;
mod counts;
mod escrow;
mod exchange;
mod message;
mod mutation;
mod outliers;
mod shares;
mod violation;

pub use allocation::{
    Allocation, AllocationAgreement, AllocationVersion, Mismatch, PersistedAllocation, StaleAllocation,
};
pub use budget::{Budget, BudgetKind};
pub use counts::{
    CountTable, CounterKey, FleetTotal, MAX_CELLS, MAX_ROWS, ROW_LIFETIME, ReplicaCounts, ReplicatedCounts,
    VersionedCount,
};
pub use escrow::{
    Escrow, LeaseConfig, LeaseGrant, LeaseRejected, LeaseRequest, MAX_GRANTED_LEASES, MAX_LEASES, check_total,
};
pub use exchange::{Exchange, ExchangeConfig, GRANTORS_PER_BUDGET, REPLICAS, SAMPLE_SIZE, Traffic};
pub use message::{StateMessage, is_shared_state};
#[cfg(feature = "mutation")]
pub use mutation::Mutation;
pub use outliers::{
    EVIDENCE_LIFETIME, Evidence, EvidenceKind, EvidenceMessage, EvidenceSet, MAX_EVIDENCE_SETS,
    MAX_OBSERVERS, OutlierLimits, OutlierReports,
};
pub use shares::{InitialShare, initial_shares, max_min_fair, split_proportionally};
pub use violation::Violation;

use serde::{Deserialize, Serialize};

/// A gateway's number in the settings' list of all that may be there; the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slot(pub u16);

/// Mixes two numbers, alike at all gateways (the finalizer of SplitMix64, Steele and others 2014).
#[must_use]
pub fn mix(one: u64, other: u64) -> u64 {
    let mut mixed =
        one.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(other).wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The `count` of `slots` that come first for `key` by rendezvous hashing (Thaler and Ravishankar 1998), the first one
/// first: all gateways name the same, and where one goes only its keys move.
#[must_use]
pub fn rendezvous(key: u64, slots: impl IntoIterator<Item = Slot>, count: usize) -> Vec<Slot> {
    let mut ranked: Vec<(u64, Slot)> =
        slots.into_iter().map(|slot| (mix(key, u64::from(slot.0)), slot)).collect();
    let count = count.min(ranked.len());
    if count < ranked.len() {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, slot)| slot).collect()
}
