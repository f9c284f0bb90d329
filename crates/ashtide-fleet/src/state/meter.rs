//! What rights permit: a pace with a burst, or a number of things held.

use std::time::Duration;

use super::budgets::{Escrow, LeaseGrant, LeaseRejected, LeaseRequest};
use super::{Slot, Violation};

/// What a unit of a budget permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BudgetKind {
    /// A thousandth of a spend a second; what is not spent is stored for at most so long.
    ///
    /// Storage begins empty with each right and is lost with it. So at any moment all gateways together have stored at
    /// most the total times `burst`, and in any window they spend at most that and the total times the window.
    Rate {
        /// How long unspent rights are stored.
        burst: Duration,
    },
    /// One thing held, from its taking to its giving back.
    Concurrency,
}

/// Units of a spend, times nanoseconds of a second: what one spend costs of a store.
const ONE_SPEND: u128 = 1_000 * 1_000_000_000;

/// One gateway's part of a budget: rights, and what is spent of them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Budget {
    escrow: Escrow,
    kind: BudgetKind,
    now: Duration,
    stored_credit: u128,
    in_use: u64,
}

impl Budget {
    /// A budget that permits `usage` by the rights of `escrow`.
    #[must_use]
    pub fn new(escrow: Escrow, usage: BudgetKind, now: Duration) -> Self {
        Self { escrow, kind: usage, now, stored_credit: 0, in_use: 0 }
    }

    /// The rights.
    #[must_use]
    pub fn escrow(&self) -> &Escrow {
        &self.escrow
    }

    /// Changes the rights; what is stored beyond them afterwards is lost.
    pub fn with_escrow<T>(&mut self, now: Duration, change: impl FnOnce(&mut Escrow) -> T) -> T {
        self.advance_to(now);
        let result = change(&mut self.escrow);
        self.cap_stored_credit(self.escrow.usable_units());
        result
    }

    /// What a unit permits from now on; what is stored beyond it is lost.
    pub fn set_kind(&mut self, usage: BudgetKind) {
        self.kind = usage;
        self.cap_stored_credit(self.escrow.usable_units());
    }

    /// Lets time pass: stores by the rights there were, to the end of each. Of a leap, which may be a clock's and not
    /// time's, no more than [`Terms::gap`](super::Terms::gap) is stored.
    pub fn advance_to(&mut self, now: Duration) {
        let mut rights = self.escrow.usable_units();
        let last = now.min(self.now + self.escrow.config().max_clock_gap);
        for (end, units) in self.escrow.lease_expiries().into_iter().filter(|it| it.0 <= now) {
            self.accrue(end.min(last), rights);
            rights = rights.saturating_sub(units);
            self.cap_stored_credit(rights);
        }
        self.accrue(last, rights);
        self.now = now;
        self.escrow.advance_to(now);
        self.cap_stored_credit(self.escrow.usable_units());
    }

    fn accrue(&mut self, until: Duration, rights: u64) {
        let passed = until.saturating_sub(self.now).as_nanos();
        self.stored_credit = self.stored_credit.saturating_add(passed.saturating_mul(u128::from(rights)));
        self.now = self.now.max(until);
        self.cap_stored_credit(rights);
    }

    fn cap_stored_credit(&mut self, rights: u64) {
        self.stored_credit = self.stored_credit.min(self.credit_capacity(rights));
    }

    fn credit_capacity(&self, rights: u64) -> u128 {
        match self.kind {
            BudgetKind::Rate { burst } => u128::from(rights).saturating_mul(burst.as_nanos()),
            BudgetKind::Concurrency => 0,
        }
    }

    /// Spends one, or takes one to hold; false where the rights do not allow it.
    pub fn try_spend(&mut self, now: Duration) -> bool {
        self.advance_to(now);
        let may = match self.kind {
            BudgetKind::Rate { .. } => self.stored_credit >= ONE_SPEND,
            BudgetKind::Concurrency => self.in_use < self.escrow.usable_units(),
        };
        if may && self.kind == BudgetKind::Concurrency {
            self.in_use += 1;
        } else if may {
            self.stored_credit -= ONE_SPEND;
        }
        may
    }

    /// Gives back one that was held.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Takes over things that are held already, as of a process that this one succeeds: counted, whatever the rights.
    pub fn adopt(&mut self, held: u64) {
        self.in_use += held;
    }

    /// How many are held.
    #[must_use]
    pub fn in_use(&self) -> u64 {
        self.in_use
    }

    /// How long until one may be spent by the present rights; none where it is not a matter of time.
    #[must_use]
    pub fn time_until_available(&self) -> Option<Duration> {
        let rights = u128::from(self.escrow.usable_units());
        if self.kind == BudgetKind::Concurrency
            || self.credit_capacity(self.escrow.usable_units()) < ONE_SPEND
        {
            return None;
        }
        let nanos = ONE_SPEND.saturating_sub(self.stored_credit).div_ceil(rights.max(1));
        Some(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
    }

    /// Asks `grantor` for so many units, all told. What things that are held need is not given back.
    pub fn request_lease(&mut self, now: Duration, grantor: Slot, wants: u64) -> LeaseRequest {
        let taken = if self.kind == BudgetKind::Concurrency { self.in_use } else { 0 };
        self.with_escrow(now, |escrow| {
            let least = taken.saturating_sub(escrow.usable_units() - escrow.units_held_from(grantor));
            escrow.request_lease(grantor, wants.max(least.min(escrow.units_held_from(grantor))))
        })
    }

    /// Answers an ask.
    ///
    /// # Errors
    ///
    /// As [`Escrow::lend`].
    pub fn grant_lease(
        &mut self,
        now: Duration,
        holder: Slot,
        ask: LeaseRequest,
    ) -> Result<LeaseGrant, LeaseRejected> {
        // What is held here of the own root is not lent.
        let kept = if self.kind == BudgetKind::Concurrency { self.in_use } else { 0 };
        self.with_escrow(now, |escrow| escrow.grant_lease(holder, ask, kept))
    }

    /// Takes in a grant.
    ///
    /// # Errors
    ///
    /// As [`Escrow::take`].
    pub fn accept_lease(
        &mut self,
        now: Duration,
        grantor: Slot,
        grant: LeaseGrant,
    ) -> Result<(), LeaseRejected> {
        self.with_escrow(now, |escrow| escrow.accept_lease(grantor, grant))
    }

    /// Holds this core against its invariants.
    ///
    /// # Errors
    ///
    /// Names the first that is broken.
    pub fn check(&self) -> Result<(), Violation> {
        self.escrow.check()?;
        let room = self.credit_capacity(self.escrow.usable_units());
        if self.stored_credit > room {
            return Err(Violation::OverStored { stored: self.stored_credit, room });
        }
        Ok(())
    }
}
