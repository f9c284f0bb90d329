//! State that the gateways of a fleet share, and its guarantees while some of the gateways are partitioned.
//!
//! There are three kinds of state, each with its own type and without sockets or clocks:
//!
//! - [`ReplicatedCounts`]: counts with one row per gateway, never a sum of sums (a state-based CRDT). A count
//!   describes the past and has an age.
//! - [`Escrow`], and [`Budget`] on top of it: units of a budget, which are moved between gateways and never
//!   copied. At any moment all gateways together may use at most the total, whichever of them are
//!   partitioned.
//! - [`OutlierReports`]: what gateways observed of servers. Evidence has an age. Each gateway derives the
//!   outliers from the evidence; conclusions are never sent.
//!
//! The `check` method of each type verifies its invariants and names the violated one ([`Violation`]). The
//! invariants are numbered as in `docs/design/shared-state.md`. The time is a parameter: the monotonic time
//! of the gateway itself. Times of different gateways are never compared.

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

/// The index of a gateway in the configured list of all possible gateways; the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slot(pub u16);

/// Hashes two numbers into one, with the same result at all gateways (finalizer of SplitMix64, Steele et al.
/// 2014).
#[must_use]
pub fn mix(first: u64, second: u64) -> u64 {
    let mut mixed =
        first.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(second).wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the `count` highest-ranked of `slots` for `key` by rendezvous hashing (Thaler and Ravishankar
/// 1998), in rank order. All gateways compute the same slots, and the removal of a slot moves only the keys
/// of that slot.
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
