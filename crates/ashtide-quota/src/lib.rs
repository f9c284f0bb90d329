//! One quota a partner over all gateways: new connections a second with a burst, and open connections.
//!
//! The rights are budgets of [`ashtide_fleet::state`]: what all gateways spend is within the totals whoever is cut off.
//! What stands here decides about one connection at one gateway: what it costs, whose right it takes, and when a client
//! that is refused should come again; and it tells the shared state what each partner wants here. No socket, no clock.

mod demand;

use std::time::Duration;

use ashtide_fleet::state::{Exchange, Violation};

use demand::DemandEstimator;

/// Longest time that a refused client is told to wait, by default.
pub const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(2);
/// How much more than the demand is asked for, so that a demand that rises has room: an eighth.
const HEADROOM_DIVISOR: u64 = 8;
/// Time for which open connections are asked for ahead, by the demand.
const LOOKAHEAD: Duration = Duration::from_secs(2);
/// Of a partner's pace here, the part that connections which had to move may have without it being counted: a tenth.
const MIGRATION_DIVISOR: u64 = 10;

/// A partner's budgets, by their ids in the exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartnerBudgets {
    /// New connections a second: units are thousandths a second.
    pub rate_budget: u32,
    /// How long unspent rights to new connections are stored: the same as the budget's.
    pub burst: Duration,
    /// Open connections; none where they are not limited.
    pub connections_budget: Option<u32>,
}

/// What asks for a place. Attempts of one request are one offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionKind {
    /// A connection that its client has not asked for before.
    New,
    /// One that its client asks for again after a refusal or a failure (`r=1`). It costs what a new one does, as a
    /// refusal cost nothing, but it is no further demand.
    Retry,
    /// One that a gateway or server made move (`again=1`). Free, up to a tenth of the partner's pace here: beyond that it
    /// costs what a new one does, as anyone can say so.
    Migrated,
}

/// What is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Within the partner's quota.
    WithinQuota,
    /// A move, not counted against the pace.
    Migrated,
    /// On what another partner leaves unused here.
    Borrowed {
        /// Whose right it took.
        owner: usize,
    },
    /// Refused: to be told `BUSY` with so long. It is when a right is expected here by the present pace, after those
    /// who were refused before; so clients come back spread, and are then served.
    Rejected {
        /// How long.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone)]
struct PartnerAccount {
    budgets: PartnerBudgets,
    demand: DemandEstimator,
    /// Until when those who were refused have been promised a right.
    promised_until: Duration,
    /// Moves that are still free, in thousandths.
    free_migrations: u64,
    wanted_rate: u64,
}

/// The decisions of one gateway.
#[derive(Debug, Clone)]
pub struct Quota {
    accounts: Vec<PartnerAccount>,
    now: Duration,
    max_wait: Duration,
}

impl Quota {
    /// Quotas of these partners, numbered as they stand.
    #[must_use]
    pub fn new(
        partners: impl IntoIterator<Item = PartnerBudgets>,
        max_wait: Duration,
        now: Duration,
    ) -> Self {
        let account = |partner| PartnerAccount {
            budgets: partner,
            demand: DemandEstimator::new(now),
            promised_until: now,
            free_migrations: 0,
            wanted_rate: 0,
        };
        Self { accounts: partners.into_iter().map(account).collect(), now, max_wait }
    }

    /// Other partners from now on, numbered as they stand: what is known of those who stay is kept.
    pub fn set_partners(&mut self, partners: impl IntoIterator<Item = PartnerBudgets>, max_wait: Duration) {
        let before = std::mem::replace(self, Self::new(partners, max_wait, self.now));
        for account in &mut self.accounts {
            let same =
                before.accounts.iter().find(|it| it.budgets.rate_budget == account.budgets.rate_budget);
            if let Some(same) = same {
                *account = PartnerAccount { budgets: account.budgets, ..same.clone() };
                account.promised_until = account.promised_until.min(self.now + max_wait);
            }
        }
    }

    /// Lets time pass, and tells the shared state what is wanted here; call it every 100 ms, after the exchange's own.
    pub fn advance_to(&mut self, now: Duration, state: &mut Exchange) {
        let passed = now.saturating_sub(self.now).as_millis().min(1_000) as u64;
        if now < self.now {
            // Promises by a clock that was put back would keep clients waiting.
            self.accounts.iter_mut().for_each(|account| account.promised_until = now);
        }
        self.now = now;
        for account in &mut self.accounts {
            let rate = account.demand.rate_at(now);
            let burst = account.budgets.burst.as_millis().max(1) as u64;
            // Below this a right cannot store one whole connection, so it is of no use.
            let least = 1_000_000u64.div_ceil(burst) + 1;
            account.wanted_rate = if rate == 0 { 0 } else { (rate + rate / HEADROOM_DIVISOR).max(least) };
            state.set_wanted_units(account.budgets.rate_budget, account.wanted_rate);
            if let Some(id) = account.budgets.connections_budget {
                let taken = state.budget_mut(id).map_or(0, |it| it.in_use());
                let ahead = (rate * LOOKAHEAD.as_millis() as u64).div_ceil(1_000_000);
                state.set_wanted_units(id, taken + ahead);
            }
            let rights =
                state.budget_mut(account.budgets.rate_budget).map_or(0, |it| it.escrow().usable_units());
            let room = 1_000.max(rights / MIGRATION_DIVISOR * 5);
            account.free_migrations =
                (account.free_migrations + rights / MIGRATION_DIVISOR * passed / 1_000).min(room);
        }
    }

    /// Decides about one connection of `partner`. `room` says that the fleet has place beyond what the quotas promise:
    /// without it only what is within a quota is placed. `now` is not before the time that `state` was told last.
    pub fn decide(
        &mut self,
        now: Duration,
        state: &mut Exchange,
        partner: usize,
        offer: ConnectionKind,
        room: bool,
    ) -> Decision {
        let Some(account) = self.accounts.get_mut(partner) else {
            return Decision::Rejected { retry_after: self.max_wait };
        };
        if offer == ConnectionKind::New {
            account.demand.record();
        }
        let PartnerBudgets { rate_budget: pace, connections_budget: held, .. } = account.budgets;
        if held.is_some_and(|id| !state.budget_mut(id).is_some_and(|it| it.try_spend(now))) {
            return self.reject(now, state, partner);
        }
        if offer == ConnectionKind::Migrated && account.free_migrations >= 1_000 {
            account.free_migrations -= 1_000;
            return Decision::Migrated;
        }
        if state.budget_mut(pace).is_some_and(|it| it.try_spend(now)) {
            return Decision::WithinQuota;
        }
        if room && let Some(of) = self.borrow(now, state, partner) {
            return Decision::Borrowed { owner: of };
        }
        if let Some(budget) = held.and_then(|id| state.budget_mut(id)) {
            budget.release();
        }
        self.reject(now, state, partner)
    }

    /// Takes a right of another partner who wants none here. It refills at its pace, so an owner who returns finds it
    /// within one spend's time, and nothing is borrowed of it from its first connection on.
    fn borrow(&self, now: Duration, state: &mut Exchange, partner: usize) -> Option<usize> {
        let idle = self.accounts.iter().enumerate().filter(|(at, it)| *at != partner && it.demand.is_idle());
        idle.map(|(at, it)| (at, it.budgets.rate_budget))
            .find(|&(_, pace)| state.budget_mut(pace).is_some_and(|it| it.try_spend(now)))
            .map(|it| it.0)
    }

    fn reject(&mut self, now: Duration, state: &mut Exchange, partner: usize) -> Decision {
        let account = &mut self.accounts[partner];
        let budget = state.budget_mut(account.budgets.rate_budget);
        let rights = budget.as_ref().map_or(0, |it| it.escrow().usable_units());
        // What is asked for is about to come; without it, by the rights there are.
        let every = Duration::from_nanos(1_000_000_000_000 / rights.max(1)).min(self.max_wait);
        let first = budget.and_then(|it| it.time_until_available()).unwrap_or(every).min(self.max_wait);
        let at = account.promised_until.max(now + first);
        let most = now + self.max_wait;
        account.promised_until =
            if at + every > most { now + first + (at + every).saturating_sub(most) } else { at + every };
        account.promised_until = account.promised_until.min(most);
        Decision::Rejected { retry_after: at.min(most) - now }
    }

    /// A connection of `partner` has ended.
    pub fn release(&mut self, state: &mut Exchange, partner: usize) {
        let held = self.accounts.get(partner).and_then(|it| it.budgets.connections_budget);
        if let Some(budget) = held.and_then(|id| state.budget_mut(id)) {
            budget.release();
        }
    }

    /// What `partner` wants here of its pace, in thousandths a second.
    #[must_use]
    pub fn wanted_rate(&self, partner: usize) -> u64 {
        self.accounts.get(partner).map_or(0, |it| it.wanted_rate)
    }

    /// Holds the decisions against the bound on waits; the rights have [`Exchange::check`].
    ///
    /// # Errors
    ///
    /// Names what is broken.
    pub fn check(&self) -> Result<(), Violation> {
        let most = self.max_wait.as_millis() as usize;
        let far = self
            .accounts
            .iter()
            .map(|it| it.promised_until.saturating_sub(self.now).as_millis() as usize)
            .max();
        match far.filter(|&found| found > most) {
            Some(found) => {
                Err(Violation::OverFull { table: "promised waits, in milliseconds,", found, most })
            }
            None => Ok(()),
        }
    }
}
