//! What rights permit: a rate with a burst, or a number of things in use.

use std::time::Duration;

use super::escrow::{Escrow, LeaseGrant, LeaseRejected, LeaseRequest};
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
    /// One thing in use, from its spend to its release.
    Concurrency,
}

/// What one spend costs of the stored credit: units of a spend, times nanoseconds of a second.
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
    /// A budget whose units permit `kind`, with the rights of `escrow`.
    #[must_use]
    pub fn new(escrow: Escrow, kind: BudgetKind, now: Duration) -> Self {
        Self { escrow, kind, now, stored_credit: 0, in_use: 0 }
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

    /// Sets what a unit permits from now on; what is stored beyond it is lost.
    pub fn set_kind(&mut self, kind: BudgetKind) {
        self.kind = kind;
        self.cap_stored_credit(self.escrow.usable_units());
    }

    /// Lets time pass: stores by the rights there were, to the end of each. Of a leap, which may be a clock's and not
    /// time's, no more than [`LeaseConfig::max_clock_gap`](super::LeaseConfig::max_clock_gap) is stored.
    pub fn advance_to(&mut self, now: Duration) {
        let mut units = self.escrow.usable_units();
        let last = now.min(self.now + self.escrow.config().max_clock_gap);
        let expiries = self.escrow.lease_expiries();
        for (expires_at, leased) in expiries.into_iter().filter(|&(expires_at, _)| expires_at <= now) {
            self.accrue(expires_at.min(last), units);
            units = units.saturating_sub(leased);
            self.cap_stored_credit(units);
        }
        self.accrue(last, units);
        self.now = now;
        self.escrow.advance_to(now);
        self.cap_stored_credit(self.escrow.usable_units());
    }

    fn accrue(&mut self, until: Duration, units: u64) {
        let passed = until.saturating_sub(self.now).as_nanos();
        self.stored_credit = self.stored_credit.saturating_add(passed.saturating_mul(u128::from(units)));
        self.now = self.now.max(until);
        self.cap_stored_credit(units);
    }

    fn cap_stored_credit(&mut self, units: u64) {
        self.stored_credit = self.stored_credit.min(self.credit_capacity(units));
    }

    fn credit_capacity(&self, units: u64) -> u128 {
        match self.kind {
            BudgetKind::Rate { burst } => u128::from(units).saturating_mul(burst.as_nanos()),
            BudgetKind::Concurrency => 0,
        }
    }

    /// Spends one; false where the rights do not allow it.
    pub fn try_spend(&mut self, now: Duration) -> bool {
        self.advance_to(now);
        match self.kind {
            BudgetKind::Rate { .. } => {
                let is_allowed = self.stored_credit >= ONE_SPEND;
                if is_allowed {
                    self.stored_credit -= ONE_SPEND;
                }
                is_allowed
            }
            BudgetKind::Concurrency => {
                let is_allowed = self.in_use < self.escrow.usable_units();
                if is_allowed {
                    self.in_use += 1;
                }
                is_allowed
            }
        }
    }

    /// Releases one that was in use.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Takes over things that are in use already, as of a process that this one succeeds: counted, whatever the rights.
    pub fn adopt(&mut self, in_use: u64) {
        self.in_use += in_use;
    }

    /// How many are in use.
    #[must_use]
    pub fn in_use(&self) -> u64 {
        self.in_use
    }

    /// How long until one may be spent by the present rights; none where it is not a matter of time.
    #[must_use]
    pub fn time_until_available(&self) -> Option<Duration> {
        let units = self.escrow.usable_units();
        if self.kind == BudgetKind::Concurrency || self.credit_capacity(units) < ONE_SPEND {
            return None;
        }
        let missing = ONE_SPEND.saturating_sub(self.stored_credit);
        let nanos = missing.div_ceil(u128::from(units).max(1));
        Some(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
    }

    /// Units that things in use need.
    fn units_in_use(&self) -> u64 {
        match self.kind {
            BudgetKind::Rate { .. } => 0,
            BudgetKind::Concurrency => self.in_use,
        }
    }

    /// Requests a lease of so many units of `grantor`, all told. What things in use need is not given back.
    pub fn request_lease(&mut self, now: Duration, grantor: Slot, wanted_units: u64) -> LeaseRequest {
        let in_use = self.units_in_use();
        self.with_escrow(now, |escrow| {
            let leased = escrow.units_leased_from(grantor);
            let needed = in_use.saturating_sub(escrow.usable_units() - leased);
            escrow.request_lease(grantor, wanted_units.max(needed.min(leased)))
        })
    }

    /// Answers a lease request.
    ///
    /// # Errors
    ///
    /// As [`Escrow::grant_lease`].
    pub fn grant_lease(
        &mut self,
        now: Duration,
        holder: Slot,
        request: LeaseRequest,
    ) -> Result<LeaseGrant, LeaseRejected> {
        // Units of the own share that are in use are not lent.
        let in_use = self.units_in_use();
        self.with_escrow(now, |escrow| escrow.grant_lease(holder, request, in_use))
    }

    /// Accepts a granted lease.
    ///
    /// # Errors
    ///
    /// As [`Escrow::accept_lease`].
    pub fn accept_lease(
        &mut self,
        now: Duration,
        grantor: Slot,
        grant: LeaseGrant,
    ) -> Result<(), LeaseRejected> {
        self.with_escrow(now, |escrow| escrow.accept_lease(grantor, grant))
    }

    /// Checks the invariants of the budget.
    ///
    /// # Errors
    ///
    /// Names the first that does not hold.
    pub fn check(&self) -> Result<(), Violation> {
        self.escrow.check()?;
        let room = self.credit_capacity(self.escrow.usable_units());
        if self.stored_credit > room {
            return Err(Violation::OverStored { stored: self.stored_credit, room });
        }
        Ok(())
    }
}
