//! Use of the units of a budget: a rate with a burst, or a limit on concurrent uses.

use std::time::Duration;

use super::escrow::{Escrow, LeaseGrant, LeaseRejected, LeaseRequest};
use super::{Slot, Violation};

/// The kind of use that one unit of a budget permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BudgetKind {
    /// One unit permits a thousandth of a spend per second. Unspent credit is stored, up to the credit of
    /// `burst`.
    ///
    /// The stored credit of a unit starts at zero when the gateway obtains the unit, and is lost with the
    /// unit. So at any moment all gateways together have stored at most the total times `burst`. In any
    /// window they spend at most that plus the total times the window.
    Rate {
        /// The time for which unspent credit accumulates.
        burst: Duration,
    },
    /// One unit permits one concurrent use, from its spend to its release.
    Concurrency,
}

/// Stored credit that one spend costs, in unit-nanoseconds: 1,000 units for one second.
const ONE_SPEND: u128 = 1_000 * 1_000_000_000;

/// The part of a budget at one gateway: its units, stored credit and uses.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Budget {
    escrow: Escrow,
    kind: BudgetKind,
    now: Duration,
    /// Unspent credit, in unit-nanoseconds.
    stored_credit: u128,
    in_use: u64,
}

impl Budget {
    /// Creates a budget with the units of `escrow`, each of which permits `kind`.
    #[must_use]
    pub fn new(escrow: Escrow, kind: BudgetKind, now: Duration) -> Self {
        Self { escrow, kind, now, stored_credit: 0, in_use: 0 }
    }

    /// Returns the escrow of the budget.
    #[must_use]
    pub fn escrow(&self) -> &Escrow {
        &self.escrow
    }

    /// Applies `change` to the escrow; stored credit beyond the capacity of the remaining units is lost.
    pub fn with_escrow<T>(&mut self, now: Duration, change: impl FnOnce(&mut Escrow) -> T) -> T {
        self.advance_to(now);
        let result = change(&mut self.escrow);
        self.cap_stored_credit(self.escrow.usable_units());
        result
    }

    /// Sets what a unit permits; stored credit beyond the new capacity is lost.
    pub fn set_kind(&mut self, kind: BudgetKind) {
        self.kind = kind;
        self.cap_stored_credit(self.escrow.usable_units());
    }

    /// Advances the time to `now`. Credit accrues for the usable units, for each lease until its end. A
    /// longer gap since the last call may be a clock jump, so at most the credit of
    /// [`LeaseConfig::max_clock_gap`](super::LeaseConfig::max_clock_gap) accrues.
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

    /// Spends once. Returns false if the usable units do not permit it.
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

    /// Ends one use.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Adds uses that already exist, such as those of a predecessor process. They count even beyond the
    /// usable units.
    pub fn adopt(&mut self, in_use: u64) {
        self.in_use += in_use;
    }

    /// Returns the number of uses in progress.
    #[must_use]
    pub fn in_use(&self) -> u64 {
        self.in_use
    }

    /// Returns the time until the usable units permit a spend; `None` if they do not permit one
    /// at any time, or if the limit is on concurrent uses.
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

    /// Returns the number of units that the uses in progress occupy.
    fn units_in_use(&self) -> u64 {
        match self.kind {
            BudgetKind::Rate { .. } => 0,
            BudgetKind::Concurrency => self.in_use,
        }
    }

    /// Requests a lease of `wanted_units` from `grantor` in total. Units that uses in progress occupy are not
    /// returned.
    pub fn request_lease(&mut self, now: Duration, grantor: Slot, wanted_units: u64) -> LeaseRequest {
        let in_use = self.units_in_use();
        self.with_escrow(now, |escrow| {
            let leased = escrow.units_leased_from(grantor);
            let needed = in_use.saturating_sub(escrow.usable_units() - leased);
            escrow.request_lease(grantor, wanted_units.max(needed.min(leased)))
        })
    }

    /// Handles a lease request and returns the grant.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Escrow::grant_lease`].
    pub fn grant_lease(
        &mut self,
        now: Duration,
        holder: Slot,
        request: LeaseRequest,
    ) -> Result<LeaseGrant, LeaseRejected> {
        // Units of this gateway's share that are in use are not lent.
        let in_use = self.units_in_use();
        self.with_escrow(now, |escrow| escrow.grant_lease(holder, request, in_use))
    }

    /// Accepts a lease granted by `grantor`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Escrow::accept_lease`].
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
    /// Returns the first violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        self.escrow.check()?;
        let capacity = self.credit_capacity(self.escrow.usable_units());
        if self.stored_credit > capacity {
            return Err(Violation::OverStored { stored: self.stored_credit, capacity });
        }
        Ok(())
    }
}
