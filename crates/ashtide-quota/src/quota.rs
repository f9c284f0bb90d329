//! The decisions of one gateway.

use std::time::Duration;

use ashtide_fleet::state::{Exchange, Violation};

use crate::decision::{ConnectionKind, Decision, PartnerBudgets};
use crate::demand::DemandEstimator;

/// Longest time that a rejected client is told to wait, by default.
pub const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(2);
/// More than the demand is requested by one part in so many, so that a demand that rises finds rights.
const HEADROOM_DIVISOR: u64 = 8;
/// Time for which open connections are requested ahead, by the demand.
const LOOKAHEAD: Duration = Duration::from_secs(2);
/// Of a partner's rate here, migrated connections may have one part in so many without it being counted.
const MIGRATION_DIVISOR: u64 = 10;
/// Seconds for which unused migrations are stored.
const MIGRATION_BURST_S: u64 = 5;
/// Thousandths of one connection.
const ONE_CONNECTION: u64 = 1_000;
/// Longest time between two ticks for which migrations are stored, in milliseconds.
const MAX_TICK_MS: u64 = 1_000;

#[derive(Debug, Clone)]
struct PartnerAccount {
    budgets: PartnerBudgets,
    demand: DemandEstimator,
    /// Until when rights have been promised to clients that were rejected.
    promised_until: Duration,
    /// Migrations that are still free, in thousandths.
    free_migrations: u64,
    wanted_rate: u64,
}

impl PartnerAccount {
    fn new(budgets: PartnerBudgets, now: Duration) -> Self {
        let demand = DemandEstimator::new(now);
        Self { budgets, demand, promised_until: now, free_migrations: 0, wanted_rate: 0 }
    }

    /// Tells the shared state what this partner wants here.
    fn request_units(&mut self, now: Duration, state: &mut Exchange) {
        let rate = self.demand.rate_at(now);
        self.wanted_rate = match rate {
            0 => 0,
            rate => (rate + rate / HEADROOM_DIVISOR).max(self.min_useful_rate()),
        };
        state.set_wanted_units(self.budgets.rate_budget, self.wanted_rate);
        if let Some(id) = self.budgets.connections_budget {
            let open = state.budget_mut(id).map_or(0, |budget| budget.in_use());
            let ahead = (rate * LOOKAHEAD.as_millis() as u64).div_ceil(1_000_000);
            state.set_wanted_units(id, open + ahead);
        }
    }

    /// The lowest rate that can store one whole connection within the burst.
    fn min_useful_rate(&self) -> u64 {
        let burst = self.budgets.burst.as_millis().max(1) as u64;
        1_000_000u64.div_ceil(burst) + 1
    }

    /// Stores free migrations for `passed` milliseconds with these rights.
    fn store_migrations(&mut self, passed: u64, units: u64) {
        let rate = units / MIGRATION_DIVISOR;
        let limit = ONE_CONNECTION.max(rate * MIGRATION_BURST_S);
        self.free_migrations = (self.free_migrations + rate * passed / 1_000).min(limit);
    }

    fn take_free_migration(&mut self) -> bool {
        let is_free = self.free_migrations >= ONE_CONNECTION;
        if is_free {
            self.free_migrations -= ONE_CONNECTION;
        }
        is_free
    }

    /// Promises the next right to a client that is rejected, and gives the time until then. Rights come every
    /// `interval`, the first one after `first`.
    fn promise_right(
        &mut self,
        now: Duration,
        first: Duration,
        interval: Duration,
        max_wait: Duration,
    ) -> Duration {
        let latest = now + max_wait;
        let promised_at = self.promised_until.max(now + first);
        let next = promised_at + interval;
        // Beyond the longest wait clients are spread over the whole of it again.
        let next = if next > latest { now + first + next.saturating_sub(latest) } else { next };
        self.promised_until = next.min(latest);
        promised_at.min(latest) - now
    }
}

/// The decisions of one gateway about the connections of all partners.
#[derive(Debug, Clone)]
pub struct Quota {
    accounts: Vec<PartnerAccount>,
    now: Duration,
    max_wait: Duration,
}

impl Quota {
    /// Quotas of these partners, numbered in their order.
    #[must_use]
    pub fn new(
        partners: impl IntoIterator<Item = PartnerBudgets>,
        max_wait: Duration,
        now: Duration,
    ) -> Self {
        let accounts = partners.into_iter().map(|budgets| PartnerAccount::new(budgets, now)).collect();
        Self { accounts, now, max_wait }
    }

    /// Sets other partners, numbered in their order: what is known of those that stay is kept.
    pub fn set_partners(&mut self, partners: impl IntoIterator<Item = PartnerBudgets>, max_wait: Duration) {
        let previous = std::mem::replace(self, Self::new(partners, max_wait, self.now));
        for account in &mut self.accounts {
            let same = |known: &&PartnerAccount| known.budgets.rate_budget == account.budgets.rate_budget;
            if let Some(known) = previous.accounts.iter().find(same) {
                *account = PartnerAccount { budgets: account.budgets, ..known.clone() };
                account.promised_until = account.promised_until.min(self.now + max_wait);
            }
        }
    }

    /// Lets time pass, and tells the shared state what is wanted here; to be called every 100 ms, after the exchange's
    /// own.
    pub fn advance_to(&mut self, now: Duration, state: &mut Exchange) {
        let passed = now.saturating_sub(self.now).as_millis().min(u128::from(MAX_TICK_MS)) as u64;
        if now < self.now {
            // Promises by a clock that was put back would keep clients waiting.
            self.accounts.iter_mut().for_each(|account| account.promised_until = now);
        }
        self.now = now;
        for account in &mut self.accounts {
            account.request_units(now, state);
            let budget = state.budget_mut(account.budgets.rate_budget);
            let units = budget.map_or(0, |budget| budget.escrow().usable_units());
            account.store_migrations(passed, units);
        }
    }

    /// Decides about one connection of `partner`. `has_capacity` means that the fleet has capacity beyond what the
    /// quotas promise: without it only what is within a quota is admitted. `now` is not before the time that `state`
    /// was told last.
    pub fn decide(
        &mut self,
        now: Duration,
        state: &mut Exchange,
        partner: usize,
        kind: ConnectionKind,
        has_capacity: bool,
    ) -> Decision {
        let Some(account) = self.accounts.get_mut(partner) else {
            return Decision::Rejected { retry_after: self.max_wait };
        };
        if kind == ConnectionKind::New {
            account.demand.record();
        }
        let PartnerBudgets { rate_budget, connections_budget, .. } = account.budgets;
        if connections_budget.is_some_and(|id| !try_spend(state, id, now)) {
            return self.reject(now, state, partner);
        }
        if kind == ConnectionKind::Migrated && account.take_free_migration() {
            return Decision::Migrated;
        }
        if try_spend(state, rate_budget, now) {
            return Decision::WithinQuota;
        }
        if has_capacity && let Some(owner) = self.borrow(now, state, partner) {
            return Decision::Borrowed { owner };
        }
        if let Some(budget) = connections_budget.and_then(|id| state.budget_mut(id)) {
            budget.release();
        }
        self.reject(now, state, partner)
    }

    /// Takes a right of another partner that wants none here. It refills at its rate, so an owner that returns finds it
    /// within the time of one connection, and nothing is borrowed of it from its first connection on.
    fn borrow(&self, now: Duration, state: &mut Exchange, partner: usize) -> Option<usize> {
        let others = self.accounts.iter().enumerate().filter(|&(index, _)| index != partner);
        others
            .filter(|(_, account)| account.demand.is_idle())
            .find(|(_, account)| try_spend(state, account.budgets.rate_budget, now))
            .map(|(index, _)| index)
    }

    fn reject(&mut self, now: Duration, state: &mut Exchange, partner: usize) -> Decision {
        let account = &mut self.accounts[partner];
        let budget = state.budget_mut(account.budgets.rate_budget);
        let units = budget.as_ref().map_or(0, |budget| budget.escrow().usable_units());
        // Rights that were requested are about to come; without them, by the rights there are.
        let interval = Duration::from_nanos(1_000_000_000_000 / units.max(1)).min(self.max_wait);
        let first = budget.and_then(|budget| budget.time_until_available()).unwrap_or(interval);
        let first = first.min(self.max_wait);
        Decision::Rejected { retry_after: account.promise_right(now, first, interval, self.max_wait) }
    }

    /// Counts that a connection of `partner` has ended.
    pub fn release(&mut self, state: &mut Exchange, partner: usize) {
        let connections_budget =
            self.accounts.get(partner).and_then(|account| account.budgets.connections_budget);
        if let Some(budget) = connections_budget.and_then(|id| state.budget_mut(id)) {
            budget.release();
        }
    }

    /// The part of its rate that `partner` wants here, in thousandths a second.
    #[must_use]
    pub fn wanted_rate(&self, partner: usize) -> u64 {
        self.accounts.get(partner).map_or(0, |account| account.wanted_rate)
    }

    /// Checks the bound on waits; the rights have [`Exchange::check`].
    ///
    /// # Errors
    ///
    /// Names the broken invariant.
    pub fn check(&self) -> Result<(), Violation> {
        let most = self.max_wait.as_millis() as usize;
        let waits = self.accounts.iter().map(|account| account.promised_until.saturating_sub(self.now));
        let longest = waits.max().map(|wait| wait.as_millis() as usize);
        match longest.filter(|&found| found > most) {
            Some(found) => {
                Err(Violation::OverFull { table: "promised waits, in milliseconds,", found, most })
            }
            None => Ok(()),
        }
    }
}

fn try_spend(state: &mut Exchange, budget: u32, now: Duration) -> bool {
    state.budget_mut(budget).is_some_and(|budget| budget.try_spend(now))
}
