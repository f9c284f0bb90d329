//! Quota decisions of one gateway.

use std::time::Duration;

use ashtide_fleet::state::{Exchange, Violation};

use crate::decision::{ConnectionKind, Decision, PartnerBudgets};
use crate::demand::DemandEstimator;

/// Default of the longest `Retry-After` sent to a rejected client.
pub const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(2);
/// Divisor for the headroom: the requested rate exceeds the demand by this fraction of it (1/8), so that
/// rising demand finds usable units.
const HEADROOM_DIVISOR: u64 = 8;
/// Period of expected demand for which units of open connections are requested in advance.
const LOOKAHEAD: Duration = Duration::from_secs(2);
/// Divisor for the rate of free migrations: this fraction (1/10) of a partner's rate at this gateway is
/// available to migrated connections in addition to the rate.
const MIGRATION_DIVISOR: u64 = 10;
/// Period over which unused free migrations accumulate, in seconds.
const MIGRATION_BURST_S: u64 = 5;
/// Cost of one connection, in thousandths of a connection.
const ONE_CONNECTION: u64 = 1_000;
/// Longest time between two ticks for which free migrations accumulate, in milliseconds.
const MAX_TICK_MS: u64 = 1_000;

/// Quota state of one partner at this gateway.
#[derive(Debug, Clone)]
struct PartnerAccount {
    budgets: PartnerBudgets,
    demand: DemandEstimator,
    /// Time up to which expected units are reserved for retries of rejected clients.
    reserved_until: Duration,
    /// Available free migrations, in thousandths of a connection.
    free_migrations: u64,
    /// Rate requested from the shared state, in thousandths of a connection per second.
    wanted_rate: u64,
}

impl PartnerAccount {
    fn new(budgets: PartnerBudgets, now: Duration) -> Self {
        let demand = DemandEstimator::new(now);
        Self { budgets, demand, reserved_until: now, free_migrations: 0, wanted_rate: 0 }
    }

    /// Sets the number of units that this partner wants at this gateway in the shared state.
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

    /// Returns the lowest rate at which units for one complete connection accumulate within the burst, in
    /// thousandths of a connection per second.
    fn min_useful_rate(&self) -> u64 {
        let burst = self.budgets.burst.as_millis().max(1) as u64;
        1_000_000u64.div_ceil(burst) + 1
    }

    /// Adds the free migrations of `elapsed_ms` milliseconds at a rate of `usable_units`.
    fn add_free_migrations(&mut self, elapsed_ms: u64, usable_units: u64) {
        let rate = usable_units / MIGRATION_DIVISOR;
        let limit = ONE_CONNECTION.max(rate * MIGRATION_BURST_S);
        self.free_migrations = (self.free_migrations + rate * elapsed_ms / 1_000).min(limit);
    }

    fn take_free_migration(&mut self) -> bool {
        let is_free = self.free_migrations >= ONE_CONNECTION;
        if is_free {
            self.free_migrations -= ONE_CONNECTION;
        }
        is_free
    }

    /// Reserves the next expected units for the retry of a rejected client, and returns the time until then.
    /// Units for one connection are expected after `first`, and then every `interval`.
    fn reserve_retry(
        &mut self,
        now: Duration,
        first: Duration,
        interval: Duration,
        max_wait: Duration,
    ) -> Duration {
        let latest = now + max_wait;
        let retry_at = self.reserved_until.max(now + first);
        let next = retry_at + interval;
        // Once the reservations reach the longest wait, further retries are spread over the entire period
        // again.
        let next = if next > latest { now + first + next.saturating_sub(latest) } else { next };
        self.reserved_until = next.min(latest);
        retry_at.min(latest) - now
    }
}

/// Quotas of all partners at one gateway; decides about each connection.
#[derive(Debug, Clone)]
pub struct Quota {
    accounts: Vec<PartnerAccount>,
    now: Duration,
    max_wait: Duration,
}

impl Quota {
    /// Creates the quotas of `partners`. A partner's index is its position in `partners`. `max_wait` is the
    /// longest wait of a rejected client.
    #[must_use]
    pub fn new(
        partners: impl IntoIterator<Item = PartnerBudgets>,
        max_wait: Duration,
        now: Duration,
    ) -> Self {
        let accounts = partners.into_iter().map(|budgets| PartnerAccount::new(budgets, now)).collect();
        Self { accounts, now, max_wait }
    }

    /// Replaces the partners and the longest wait. A partner's index is its position in `partners`. Partners
    /// whose rate budget remains in the list retain their state.
    pub fn set_partners(&mut self, partners: impl IntoIterator<Item = PartnerBudgets>, max_wait: Duration) {
        let previous = std::mem::replace(self, Self::new(partners, max_wait, self.now));
        for account in &mut self.accounts {
            let same = |known: &&PartnerAccount| known.budgets.rate_budget == account.budgets.rate_budget;
            if let Some(known) = previous.accounts.iter().find(same) {
                *account = PartnerAccount { budgets: account.budgets, ..known.clone() };
                account.reserved_until = account.reserved_until.min(self.now + max_wait);
            }
        }
    }

    /// Advances the time to `now`, and sets the wanted units of all partners in the shared state. To be
    /// called every 100 ms, after [`Exchange::advance_to`].
    pub fn advance_to(&mut self, now: Duration, state: &mut Exchange) {
        let elapsed_ms = now.saturating_sub(self.now).as_millis().min(u128::from(MAX_TICK_MS)) as u64;
        if now < self.now {
            // The clock was set back: reservations made before that would make clients wait too long.
            self.accounts.iter_mut().for_each(|account| account.reserved_until = now);
        }
        self.now = now;
        for account in &mut self.accounts {
            account.request_units(now, state);
            let budget = state.budget_mut(account.budgets.rate_budget);
            let units = budget.map_or(0, |budget| budget.escrow().usable_units());
            account.add_free_migrations(elapsed_ms, units);
        }
    }

    /// Decides about one connection of `partner`. `has_capacity` means that the fleet has capacity beyond the
    /// sum of the quotas; without it, only connections within the partner's own quota are admitted. `now`
    /// must not be earlier than the time to which `state` was last advanced.
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

    /// Spends units of another partner that has no demand at this gateway, and returns the index of that
    /// partner. The units refill at their rate: an owner whose demand returns has them back within the
    /// interval of one connection. From its first connection on, none of its units are borrowed.
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
        // The budget estimates when requested units become available. Without an estimate, the first units
        // are expected after one interval of the current usable units.
        let interval = Duration::from_nanos(1_000_000_000_000 / units.max(1)).min(self.max_wait);
        let first = budget.and_then(|budget| budget.time_until_available()).unwrap_or(interval);
        let first = first.min(self.max_wait);
        Decision::Rejected { retry_after: account.reserve_retry(now, first, interval, self.max_wait) }
    }

    /// Releases the unit of an open connection of `partner` that has ended.
    pub fn release(&mut self, state: &mut Exchange, partner: usize) {
        let connections_budget =
            self.accounts.get(partner).and_then(|account| account.budgets.connections_budget);
        if let Some(budget) = connections_budget.and_then(|id| state.budget_mut(id)) {
            budget.release();
        }
    }

    /// Returns the rate that `partner` wants at this gateway, in thousandths of a connection per second.
    #[must_use]
    pub fn wanted_rate(&self, partner: usize) -> u64 {
        self.accounts.get(partner).map_or(0, |account| account.wanted_rate)
    }

    /// Checks that no reserved wait exceeds the longest wait. The budgets are checked by [`Exchange::check`].
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        let max_wait_ms = self.max_wait.as_millis() as usize;
        let waits = self.accounts.iter().map(|account| account.reserved_until.saturating_sub(self.now));
        let longest_ms = waits.max().map(|wait| wait.as_millis() as usize);
        match longest_ms.filter(|&found| found > max_wait_ms) {
            Some(found) => Err(Violation::OverFull {
                table: "reserved waits, in milliseconds,",
                found,
                most: max_wait_ms,
            }),
            None => Ok(()),
        }
    }
}

fn try_spend(state: &mut Exchange, budget: u32, now: Duration) -> bool {
    state.budget_mut(budget).is_some_and(|budget| budget.try_spend(now))
}
