//! Admission of partners' connections at this gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use ashtide_fleet::state::{
    AllocationAgreement, Exchange, ExchangeConfig, LeaseConfig, Mismatch, OutlierLimits, PersistedAllocation,
    Slot, StaleAllocation, Violation,
};
use ashtide_quota::{ConnectionKind, Decision, PartnerBudgets, Quota};

use super::Settings;
use super::text::mismatch_log_line;
use crate::RequestId;
use crate::settings::TenantQuota;

/// Time without a rejection after which a partner counts as within its quota again.
const WITHIN_QUOTA_AFTER: Duration = Duration::from_secs(5);

/// Numbers of decisions on a partner's connections at this gateway, since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct DecisionCounts {
    pub(super) within: u64,
    pub(super) migrated: u64,
    pub(super) borrowed: u64,
    pub(super) rejected: u64,
}

/// Decisions on the connections of a partner.
#[derive(Debug, Clone, Default)]
struct PartnerAccount {
    counts: DecisionCounts,
    rejected_since_tick: u64,
    /// Time of the last tick that found a rejection; `None` if the partner counts as within its quota.
    over_quota_since: Option<Duration>,
}

impl PartnerAccount {
    fn record(&mut self, decision: Decision) {
        match decision {
            Decision::WithinQuota => self.counts.within += 1,
            Decision::Migrated => self.counts.migrated += 1,
            Decision::Borrowed { .. } => self.counts.borrowed += 1,
            Decision::Rejected { .. } => {
                self.counts.rejected += 1;
                self.rejected_since_tick += 1;
            }
        }
    }

    /// Checks for rejections since the last call. Returns a line for the log if the partner's state has
    /// changed.
    fn tick(&mut self, name: &str, now: Duration) -> Option<String> {
        let rejected = std::mem::take(&mut self.rejected_since_tick) > 0;
        match self.over_quota_since {
            None if rejected => {
                self.over_quota_since = Some(now);
                Some(format!("quota: partner {name} is over its quota; rejecting new connections"))
            }
            Some(_) if rejected => {
                self.over_quota_since = Some(now);
                None
            }
            Some(since) if now.saturating_sub(since) >= WITHIN_QUOTA_AFTER => {
                self.over_quota_since = None;
                let total = self.counts.rejected;
                Some(format!(
                    "quota: partner {name} is within its quota again ({total} connections rejected)"
                ))
            }
            _ => None,
        }
    }
}

/// Index of a partner in the settings, and its budget.
#[derive(Debug, Clone, Copy)]
struct PartnerRef {
    index: usize,
    rate_budget: u32,
}

/// Decides which connections of partners are admitted at this gateway.
pub struct Admission {
    settings: Settings,
    /// Budgets of the partners, in the order of the settings.
    budgets: Vec<PartnerBudgets>,
    /// Index of each partner in the settings, by name.
    index_by_name: BTreeMap<String, usize>,
    slot_count: u16,
    own_slot: Slot,
    pub(super) quota: Quota,
    /// Whether the quota units are shared with other gateways.
    pub(super) is_shared: bool,
    /// Account of each partner by the id of its rate budget, which stays the same when the settings change.
    accounts: BTreeMap<u32, PartnerAccount>,
    /// Id of the rate budget of each open request or connection.
    budget_by_request: BTreeMap<RequestId, u32>,
    /// Number of open requests and connections by the id of the rate budget.
    open_connections: BTreeMap<u32, u64>,
    persisted: Option<PersistedAllocation>,
    was_agreed: bool,
    known_mismatches: BTreeMap<Slot, Mismatch>,
}

impl Admission {
    /// Creates the admission by `settings`, at the gateway that has `own_slot` of `slot_count` slots.
    pub fn new(settings: Settings, own_slot: Slot, slot_count: u16, now: Duration) -> Self {
        let mut admission = Self {
            budgets: Vec::new(),
            index_by_name: BTreeMap::new(),
            quota: Quota::new([], settings.max_wait, now),
            is_shared: false,
            settings,
            slot_count,
            own_slot,
            accounts: BTreeMap::new(),
            budget_by_request: BTreeMap::new(),
            open_connections: BTreeMap::new(),
            persisted: None,
            was_agreed: false,
            known_mismatches: BTreeMap::new(),
        };
        admission.index_partners();
        admission
    }

    fn index_partners(&mut self) {
        self.budgets = self.settings.partner_budgets();
        let names = self.settings.partners.iter().map(|partner| partner.name.clone());
        self.index_by_name = names.zip(0..).collect();
        self.quota.set_partners(self.budgets.iter().copied(), self.settings.max_wait);
    }

    /// Returns the quota and budgets of each partner, in the order of the settings.
    pub(super) fn partners(&self) -> impl Iterator<Item = (&TenantQuota, &PartnerBudgets)> {
        self.settings.partners.iter().zip(&self.budgets)
    }

    pub(super) fn decision_counts(&self, rate_budget: u32) -> DecisionCounts {
        self.accounts.get(&rate_budget).map(|account| account.counts).unwrap_or_default()
    }

    pub(super) fn open_connections(&self, rate_budget: u32) -> u64 {
        self.open_connections.get(&rate_budget).copied().unwrap_or_default()
    }

    /// Creates the exchange of a gateway that does not share state yet; its units are those of the floors.
    pub fn standalone_exchange(&self, now: Duration) -> Exchange {
        let config = ExchangeConfig {
            fleet_id: 0,
            slot_count: self.slot_count,
            datagrams_per_second: 0,
            lease: LeaseConfig::default(),
            outlier_limits: OutlierLimits::default(),
        };
        let mut exchange = Exchange::new(config, self.own_slot, 0, 0, now);
        self.set_standalone_agreement(&mut exchange);
        exchange
    }

    fn set_standalone_agreement(&self, exchange: &mut Exchange) {
        let allocation = self.settings.standalone_allocation(self.slot_count);
        // The first generation is never stale, so this always succeeds.
        if let Ok(agreement) = AllocationAgreement::new(self.own_slot, allocation, None) {
            exchange.set_agreement(agreement);
        }
        self.adopt_open_connections(exchange);
    }

    /// Starts to use the units of `exchange`, which is shared with other gateways. `persisted` is the
    /// allocation that an earlier process of this gateway committed to. Returns a line for the log.
    ///
    /// # Errors
    ///
    /// Fails if the settings of the earlier process were of a later generation.
    pub fn start_sharing(
        &mut self,
        exchange: &mut Exchange,
        persisted: Option<PersistedAllocation>,
    ) -> Result<String, StaleAllocation> {
        let allocation = self.settings.allocation(self.slot_count);
        let agreement = AllocationAgreement::new(self.own_slot, allocation, persisted)?;
        exchange.set_agreement(agreement);
        self.is_shared = true;
        self.adopt_open_connections(exchange);
        Ok(self.confirm_and_describe(exchange))
    }

    fn confirm_and_describe(&mut self, exchange: &mut Exchange) -> String {
        if self.settings.operator_confirmed {
            exchange.with_agreement(AllocationAgreement::confirm);
        }
        self.was_agreed = exchange.agreement().is_some_and(AllocationAgreement::is_agreed);
        let generation = self.settings.generation;
        let partners = self.settings.partners.len();
        let state = match self.was_agreed {
            true => "agreed by all gateways",
            false => "not agreed by all gateways yet",
        };
        format!("quota: generation {generation} with {partners} partners is {state}")
    }

    /// Adds open connections to their budgets if the budgets do not count them yet.
    fn adopt_open_connections(&self, exchange: &mut Exchange) {
        for partner in &self.budgets {
            let open = self.open_connections(partner.rate_budget);
            if let Some(budget) = partner.connections_budget.and_then(|id| exchange.budget_mut(id)) {
                budget.adopt(open.saturating_sub(budget.in_use()));
            }
        }
    }

    /// Applies settings that were read again. Returns a line for the log.
    ///
    /// # Errors
    ///
    /// Fails if the settings are of an earlier generation, or differ at the same generation. No state changes
    /// then.
    pub fn reload(&mut self, exchange: &mut Exchange, settings: Settings) -> Result<String, StaleAllocation> {
        if self.is_shared {
            exchange.update_allocation(settings.allocation(self.slot_count))?;
        }
        self.settings = settings;
        self.index_partners();
        if self.is_shared {
            self.adopt_open_connections(exchange);
        } else {
            self.set_standalone_agreement(exchange);
        }
        Ok(self.confirm_and_describe(exchange))
    }

    fn find_partner(&self, tenant: &str) -> Option<PartnerRef> {
        let index = *self.index_by_name.get(tenant)?;
        Some(PartnerRef { index, rate_budget: self.budgets[index].rate_budget })
    }

    fn record_open(&mut self, id: RequestId, rate_budget: u32) {
        self.budget_by_request.insert(id, rate_budget);
        *self.open_connections.entry(rate_budget).or_default() += 1;
    }

    /// Decides about a connection that a client requests, once for all of its attempts. `has_capacity` is set
    /// if no server has shed load recently.
    ///
    /// # Errors
    ///
    /// Returns the wait for the client if the connection is rejected.
    pub fn admit(
        &mut self,
        (now, exchange): (Duration, &mut Exchange),
        id: RequestId,
        tenant: &str,
        kind: ConnectionKind,
        has_capacity: bool,
    ) -> Result<(), Duration> {
        let Some(partner) = self.find_partner(tenant) else { return Ok(()) };
        let may_borrow = has_capacity && self.settings.allow_borrowing;
        let decision = self.quota.decide(now, exchange, partner.index, kind, may_borrow);
        self.accounts.entry(partner.rate_budget).or_default().record(decision);
        if let Decision::Rejected { retry_after } = decision {
            return Err(retry_after);
        }
        self.record_open(id, partner.rate_budget);
        Ok(())
    }

    /// Counts an established connection of the predecessor of this process, even if no units are usable.
    pub fn adopt_connection(&mut self, exchange: &mut Exchange, id: RequestId, tenant: &str) {
        let Some(partner) = self.find_partner(tenant) else { return };
        let budget_id = self.budgets[partner.index].connections_budget;
        if let Some(budget) = budget_id.and_then(|id| exchange.budget_mut(id)) {
            budget.adopt(1);
        }
        self.record_open(id, partner.rate_budget);
    }

    /// Releases the units of a request, or of its connection, that has ended at this gateway.
    pub fn release(&mut self, exchange: &mut Exchange, id: RequestId) {
        let Some(rate_budget) = self.budget_by_request.remove(&id) else { return };
        if let Some(count) = self.open_connections.get_mut(&rate_budget) {
            *count = count.saturating_sub(1);
        }
        if let Some(index) = self.budgets.iter().position(|partner| partner.rate_budget == rate_budget) {
            self.quota.release(exchange, index);
        }
    }

    /// Advances the time to `now`. Returns lines for the log.
    pub fn advance_to(&mut self, now: Duration, exchange: &mut Exchange) -> Vec<String> {
        self.quota.advance_to(now, exchange);
        let mut lines = Vec::new();
        for (partner, budgets) in self.settings.partners.iter().zip(&self.budgets) {
            if let Some(account) = self.accounts.get_mut(&budgets.rate_budget) {
                lines.extend(account.tick(&partner.name, now));
            }
        }
        if let Some(agreement) = exchange.agreement().filter(|_| self.is_shared) {
            self.record_agreement(agreement, &mut lines);
        }
        lines
    }

    fn record_agreement(&mut self, agreement: &AllocationAgreement, lines: &mut Vec<String>) {
        let generation = agreement.allocation().generation;
        if agreement.is_agreed() != self.was_agreed {
            self.was_agreed = agreement.is_agreed();
            lines.push(format!("quota: generation {generation} is agreed by all gateways"));
        }
        if *agreement.mismatches() == self.known_mismatches {
            return;
        }
        for (slot, mismatch) in agreement.mismatches() {
            if self.known_mismatches.get(slot) != Some(mismatch) {
                lines.push(mismatch_log_line(generation, *slot, *mismatch));
            }
        }
        self.known_mismatches = agreement.mismatches().clone();
    }

    /// Returns the allocation that must be persisted before this gateway commits to it; `None` if it already
    /// is.
    pub fn allocation_to_persist(&self, exchange: &Exchange) -> Option<PersistedAllocation> {
        let allocation = exchange.agreement().filter(|_| self.is_shared)?.persisted();
        (self.persisted.as_ref() != Some(&allocation)).then_some(allocation)
    }

    /// Records that `allocation` is persisted.
    pub fn mark_persisted(&mut self, exchange: &mut Exchange, allocation: PersistedAllocation) {
        self.persisted = Some(allocation);
        exchange.with_agreement(AllocationAgreement::mark_persisted);
    }

    /// Checks the invariants of the decisions. The exchange checks those of the units.
    ///
    /// # Errors
    ///
    /// Returns the first invariant that is violated.
    pub fn check(&self) -> Result<(), Violation> {
        self.quota.check()
    }
}
