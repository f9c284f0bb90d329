//! How the settings split a budget's total among gateways.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Slot, mix, rendezvous};

/// Thousandths of a total.
const PERMILLE: u64 = 1_000;
/// One slot in so many lends a budget.
const SLOTS_PER_LENDER: u16 = 16;
/// Slots that lend a budget, at least.
const MIN_LENDERS: usize = 3;
/// Tells the choice of lenders from other choices by rendezvous.
const LENDER_SALT: u64 = 9;

/// A gateway's part of a budget by the settings, in units.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InitialShare {
    /// Never lent: what a gateway that is cut off has for certain.
    pub floor: u64,
    /// May be lent.
    pub lendable: u64,
}

/// Splits `total` among `weights`, by largest remainder: the parts make up the total exactly, and are the same
/// wherever they are computed.
#[must_use]
pub fn split_proportionally(total: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u128 = weights.iter().map(|&weight| u128::from(weight)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let scaled = |weight: u64| u128::from(total) * u128::from(weight);
    // Below the total, so it fits.
    let mut parts: Vec<u64> = weights.iter().map(|&weight| (scaled(weight) / sum) as u64).collect();
    let remainder = total - parts.iter().sum::<u64>();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|&index| (Reverse(scaled(weights[index]) % sum), index));
    for &index in order.iter().take(remainder as usize) {
        parts[index] += 1;
    }
    parts
}

/// The initial shares of the budget `id` over all slots of the settings' list: `floor_permille` thousandths of the total
/// are floors, equal ones; the rest may be lent, by one slot in 16 and at least three, which follow from the budget's
/// id.
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
    let floor = (u128::from(total) * permille / u128::from(PERMILLE)) as u64;
    let floors = split_proportionally(floor, &vec![1; slots.len()]);
    let lendable = split_proportionally(total - floor, &vec![1; lenders.len()]);
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

/// What each of `wanted` gets of `supply`: the smallest in full, the others alike (max-min fairness).
#[must_use]
pub fn max_min_fair(supply: u64, wanted: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|&index| wanted[index]);
    let mut left = supply;
    let mut parts = vec![0; wanted.len()];
    for (done, &index) in order.iter().enumerate() {
        let part = wanted[index].min(left / (wanted.len() - done) as u64);
        parts[index] = part;
        left -= part;
    }
    parts
}
