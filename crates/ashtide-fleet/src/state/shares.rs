//! The split of the total of a budget among gateways.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Slot, mix, rendezvous};

/// Number of thousandths in a total.
const PERMILLE: u64 = 1_000;
/// Number of slots per lender of a budget.
const SLOTS_PER_LENDER: u16 = 16;
/// Minimum number of lenders of a budget.
const MIN_LENDERS: usize = 3;
/// Distinguishes the choice of lenders from other rendezvous hashes.
const LENDER_SALT: u64 = 9;

/// The share of a gateway in a budget according to the settings, in units.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InitialShare {
    /// Units that are never lent, and so are available to a partitioned gateway.
    pub floor: u64,
    /// Units that may be lent.
    pub lendable: u64,
}

/// Splits `total` in proportion to `weights` by the largest-remainder method. The parts sum to exactly
/// `total`, and all gateways compute the same parts. If all weights are zero, all parts are zero.
#[must_use]
pub fn split_proportionally(total: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u128 = weights.iter().map(|&weight| u128::from(weight)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let scaled = |weight: u64| u128::from(total) * u128::from(weight);
    // Each part is at most the total, so it fits into a `u64`.
    let mut parts: Vec<u64> = weights.iter().map(|&weight| (scaled(weight) / sum) as u64).collect();
    let remainder = total - parts.iter().sum::<u64>();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|&index| (Reverse(scaled(weights[index]) % sum), index));
    for &index in order.iter().take(remainder as usize) {
        parts[index] += 1;
    }
    parts
}

/// Returns the initial shares of the budget `id` for all slots of the configured list. `floor_permille`
/// thousandths of the total are split into equal floors. The rest is lendable and is split equally among the
/// lenders: one slot in 16, and at least three, chosen by a hash of the budget ID.
#[must_use]
pub fn initial_shares(
    id: u32,
    total: u64,
    slot_count: u16,
    floor_permille: u64,
) -> BTreeMap<Slot, InitialShare> {
    let slots: Vec<Slot> = (0..slot_count).map(Slot).collect();
    let lender_count = usize::from(slot_count / SLOTS_PER_LENDER).max(MIN_LENDERS);
    let lenders = rendezvous(mix(LENDER_SALT, u64::from(id)), slots.iter().copied(), lender_count);
    let permille = u128::from(floor_permille.min(PERMILLE));
    let floor_total = (u128::from(total) * permille / u128::from(PERMILLE)) as u64;
    let floors = split_proportionally(floor_total, &vec![1; slots.len()]);
    let lendable = split_proportionally(total - floor_total, &vec![1; lenders.len()]);
    let mut shares: BTreeMap<Slot, InitialShare> = slots
        .into_iter()
        .zip(floors)
        .map(|(slot, floor)| (slot, InitialShare { floor, lendable: 0 }))
        .collect();
    for (slot, lendable) in lenders.into_iter().zip(lendable) {
        shares.entry(slot).or_default().lendable = lendable;
    }
    shares
}

/// Splits `supply` among the demands `wanted` by max-min fairness: small demands are met in full, and the
/// others receive equal parts.
#[must_use]
pub fn max_min_fair(supply: u64, wanted: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|&index| wanted[index]);
    let mut remaining = supply;
    let mut parts = vec![0; wanted.len()];
    for (assigned, &index) in order.iter().enumerate() {
        let part = wanted[index].min(remaining / (wanted.len() - assigned) as u64);
        parts[index] = part;
        remaining -= part;
    }
    parts
}
