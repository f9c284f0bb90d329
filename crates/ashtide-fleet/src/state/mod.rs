//! What the gateways of a tier share, and what it is worth when a part of them hears nothing.
//!
//! Three kinds of state, a type each, all without a socket or a clock:
//!
//! - [`Counts`]: a register a gateway, never a sum of sums. A fact of the past, told with its age.
//! - [`Escrow`], and [`Budget`] on top of it: rights to spend, which are moved and never copied. The sum of what all
//!   gateways may use at one moment is at most the total, whoever is cut off.
//! - [`Judgements`]: what gateways saw of servers. Evidence with an age; a verdict is reckoned from it, never told.
//!
//! Each says what it holds to in `check`, which names the broken invariant ([`Violation`]); the numbers are those of
//! `docs/design/shared-state.md`. Time is passed in and is a steady one of each gateway's own (no gateway's time is
//! compared with another's).

mod agreement;
mod broken;
mod budgets;
mod counts;
mod delta;
mod exchange;
mod judgements;
mod meter;
mod violation;

pub use agreement::{
    Allocation, AllocationAgreement, AllocationVersion, Mismatch, PersistedAllocation, StaleAllocation,
};
#[cfg(feature = "broken")]
pub use broken::Mutation;
pub use budgets::{
    Escrow, InitialShare, LeaseConfig, LeaseGrant, LeaseRejected, LeaseRequest, MAX_GRANTED_LEASES,
    MAX_HELD_LEASES, check_total, initial_shares, max_min_fair, split_proportionally,
};
pub use counts::{
    CountTable, CounterKey, FleetTotal, MAX_CELLS, MAX_ROWS, ROW_LIFETIME, ReplicaCounts, ReplicatedCounts,
    VersionedCount,
};
pub use delta::{StateMessage, is_shared_state};
pub use exchange::{Exchange, ExchangeConfig, GRANTORS_PER_BUDGET, REPLICAS, SAMPLE_SIZE, Traffic};
pub use judgements::{
    EVIDENCE_LIFETIME, Evidence, EvidenceKind, EvidenceMessage, EvidenceSet, MAX_EVIDENCE_SETS,
    MAX_OBSERVERS, OutlierLimits, OutlierReports,
};
pub use meter::{Budget, BudgetKind};
pub use violation::Violation;

use serde::{Deserialize, Serialize};

/// A gateway's number in the settings' list of all that may be there; the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slot(pub u16);

/// A mix of two numbers that all gateways reckon alike (the finalizer of SplitMix64, Steele and others 2014).
#[must_use]
pub fn mix(one: u64, other: u64) -> u64 {
    let mut z =
        one.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(other).wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The `count` of `slots` that come first for `key` by rendezvous (Thaler and Ravishankar 1998), the first one
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
