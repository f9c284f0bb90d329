//! Budgets of an exchange: lease requests, and the agreement on the totals.

use std::collections::BTreeMap;

use super::super::message::StateMessage;
use super::super::{
    Allocation, AllocationAgreement, Budget, BudgetKind, Escrow, InitialShare, Slot, StaleAllocation, mix,
    rendezvous,
};
use super::{Exchange, FANOUT};

/// Number of grantors from which a gateway requests leases of a budget.
pub const GRANTORS_PER_BUDGET: usize = 3;
/// Remaining part of a lease at which it is renewed. It leaves time for two more requests.
const RENEWAL_MARGIN: f64 = 0.6;

/// A budget and the state of its lease requests.
pub(super) struct SharedBudget {
    pub(super) budget: Budget,
    pub(super) grantors: Vec<Slot>,
    /// Units that this gateway wants to use.
    wanted_units: u64,
    /// Units that were last requested from each grantor.
    requested_portion: u64,
}

impl SharedBudget {
    /// Returns the number of units to request from each grantor; `None` if the own units suffice and nothing
    /// is leased.
    fn portion_to_request(&self) -> Option<u64> {
        let escrow = self.budget.escrow();
        let own_units = escrow.usable_units() - escrow.leased_units();
        let missing_units = self.wanted_units.saturating_sub(own_units);
        if missing_units == 0 && escrow.leased_units() == 0 {
            return None;
        }
        // Each grantor is requested an equal part. The sum exceeds the missing units, as a grantor may not
        // answer.
        Some((missing_units * 3 / 2).div_ceil(self.grantors.len().max(1) as u64))
    }

    fn has_enough(&self) -> bool {
        let escrow = self.budget.escrow();
        let own_units = escrow.usable_units() - escrow.leased_units();
        escrow.leased_units() >= self.wanted_units.saturating_sub(own_units)
    }
}

impl Exchange {
    /// Adds a budget that is split into `shares`. The escrow of this gateway starts now; for `first` see
    /// [`Escrow::new`].
    pub fn add_budget(
        &mut self,
        id: u32,
        shares: &BTreeMap<Slot, InitialShare>,
        kind: BudgetKind,
        first: bool,
    ) {
        let share = shares.get(&self.own_slot).copied().unwrap_or_default();
        let escrow = Escrow::new(self.own_slot, self.incarnation, share, self.config.lease, first, self.now);
        let shared = SharedBudget {
            budget: Budget::new(escrow, kind, self.now),
            grantors: choose_grantors(id, self.own_slot, shares),
            wanted_units: 0,
            requested_portion: 0,
        };
        self.budgets.insert(id, shared);
    }

    /// Sets the agreement, which determines the budgets and their usable shares.
    pub fn set_agreement(&mut self, agreement: AllocationAgreement) {
        self.agreement = Some(agreement);
        self.apply_shares();
    }

    /// Adopts settings that were read while the process runs.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`AllocationAgreement::update`].
    pub fn update_allocation(&mut self, allocation: Allocation) -> Result<(), StaleAllocation> {
        if let Some(agreement) = &mut self.agreement {
            agreement.update(allocation)?;
            self.apply_shares();
        }
        Ok(())
    }

    /// Returns the agreement on the allocation; `None` if none is set.
    #[must_use]
    pub fn agreement(&self) -> Option<&AllocationAgreement> {
        self.agreement.as_ref()
    }

    /// Applies `change` to the agreement, and applies the shares if the agreement is completed or reopened.
    pub fn with_agreement(&mut self, change: impl FnOnce(&mut AllocationAgreement)) {
        let Some(agreement) = &mut self.agreement else { return };
        let was_agreed = agreement.is_agreed();
        change(agreement);
        if agreement.is_agreed() != was_agreed {
            self.apply_shares();
        }
    }

    /// Applies the active shares of the agreement to the budgets.
    fn apply_shares(&mut self) {
        let Some(agreement) = self.agreement.take() else { return };
        let allocation = agreement.allocation();
        self.config.slot_count = self.config.slot_count.max(allocation.slot_count);
        for (&id, &share) in agreement.active_shares() {
            self.apply_share(allocation, id, share);
        }
        self.budgets.retain(|id, _| agreement.active_shares().contains_key(id));
        self.agreement = Some(agreement);
    }

    fn apply_share(&mut self, allocation: &Allocation, id: u32, share: InitialShare) {
        let kind = allocation.totals.get(&id).map(|&(_, kind)| kind);
        if !self.budgets.contains_key(&id) {
            let Some(kind) = kind else { return };
            // An earlier process may have lent units of this share.
            self.add_budget(id, &allocation.initial_shares(id), kind, false);
        }
        let Some(shared) = self.budgets.get_mut(&id) else { return };
        shared.budget.with_escrow(self.now, |escrow| escrow.set_share(share));
        if let Some(kind) = kind {
            shared.budget.set_kind(kind);
            shared.grantors = choose_grantors(id, self.own_slot, &allocation.initial_shares(id));
        }
    }

    /// Sets the number of units that this gateway wants to use of a budget.
    pub fn set_wanted_units(&mut self, id: u32, units: u64) {
        if let Some(shared) = self.budgets.get_mut(&id) {
            shared.wanted_units = units;
            shared.budget.with_escrow(self.now, |escrow| escrow.set_wanted_units(units));
        }
    }

    /// Returns all budgets with their IDs.
    pub fn budgets(&self) -> impl Iterator<Item = (u32, &Budget)> {
        self.budgets.iter().map(|(&id, shared)| (id, &shared.budget))
    }

    /// Returns the budget `id`; `None` if it does not exist.
    pub fn budget_mut(&mut self, id: u32) -> Option<&mut Budget> {
        self.budgets.get_mut(&id).map(|shared| &mut shared.budget)
    }

    pub(super) fn request_leases(&mut self) {
        let mut requests = Vec::new();
        let renew_before = self.now + self.config.lease.duration.mul_f64(RENEWAL_MARGIN);
        for (&id, shared) in &mut self.budgets {
            let Some(portion) = shared.portion_to_request() else { continue };
            let first_expiry = shared.budget.escrow().lease_expiries().first().map(|&(at, _)| at);
            let is_fresh = first_expiry.unwrap_or(self.now) > renew_before;
            if portion == shared.requested_portion && shared.has_enough() && is_fresh {
                continue;
            }
            shared.requested_portion = portion;
            for &grantor in &shared.grantors {
                let request = shared.budget.request_lease(self.now, grantor, portion);
                requests.push((grantor, StateMessage::LeaseRequest(id, request)));
            }
        }
        for (grantor, request) in requests {
            self.enqueue(grantor, request);
        }
    }

    /// Sends the generation and its known commitments to a few peers, until the generation is agreed.
    pub(super) fn send_allocation_version(&mut self) {
        let Some(agreement) = self.agreement.as_mut().filter(|agreement| !agreement.is_agreed()) else {
            return;
        };
        let message = StateMessage::AllocationVersion(agreement.next_message());
        for _ in 0..FANOUT.min(self.peers.len()) {
            let peer = self.random_peer();
            self.enqueue(peer, message);
        }
    }
}

/// Returns the gateways from which leases of a budget are requested.
fn choose_grantors(id: u32, own: Slot, shares: &BTreeMap<Slot, InitialShare>) -> Vec<Slot> {
    let lenders = shares.iter().filter(|&(&slot, share)| share.lendable > 0 && slot != own);
    let key = mix(u64::from(id), u64::from(own.0));
    rendezvous(key, lenders.map(|(&slot, _)| slot), GRANTORS_PER_BUDGET)
}
