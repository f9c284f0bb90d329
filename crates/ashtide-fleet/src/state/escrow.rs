//! Units of a budget that are moved between gateways and never copied (escrow).
//!
//! **Shares.** The settings split the total of a budget among the gateways
//! ([`initial_shares`](super::initial_shares)). The settings are the same at all gateways, so the initial
//! shares sum to exactly the total, whichever gateways run. A gateway determines its share without electing
//! or counting others.
//!
//! **Leases.** A gateway lends units of its share above the floor, on request, for [`LeaseConfig::duration`].
//! The holder measures a lease from its own time of the *request*. The grantor books the lease from its own
//! time of the *grant*, which is later, and for [`LeaseConfig::margin`] longer. So a lease has ended at its
//! holder before its grantor uses the units again, whatever the network delays and the clock readings: only
//! the lengths of two intervals are compared.
//!
//! **Requests.** A request states the total of wanted units and of leased units, never a difference, so that
//! a repeated request is booked once. Requests are numbered within the incarnation of the requester. The
//! grantor accepts only increasing numbers, and the holder accepts only the grant of its latest request. The
//! grantor books the larger of the units that the holder had and the units granted. So no unit is lent twice
//! when a grant or a request is lost. The next request, which states the units held by then, lowers the
//! booked number.
//!
//! **Restarts.** A new incarnation has no leases and no stored credit. It lends nothing until all leases that
//! its earlier process may have granted have ended ([`Escrow::new`]). The floor is never lent, so it is
//! usable immediately.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::mutation::{ActiveMutation, Mutation};
use super::shares::{InitialShare, max_min_fair};
use super::{Slot, Violation};

/// Maximum number of leases that a grantor books at a time.
pub const MAX_GRANTED_LEASES: usize = 256;
/// Maximum number of grantors that a holder has leases from at a time.
pub const MAX_LEASES: usize = 64;

/// The durations of leases; the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// Duration of a lease at its holder, from the request.
    pub duration: Duration,
    /// Additional time for which the grantor books a lease, from the grant. It covers clocks with different
    /// rates, and backward clock steps that are too short to be detected (shorter than the time between two
    /// calls).
    pub margin: Duration,
    /// Longest time between two calls that is not treated as a clock jump. Time beyond it does not shorten
    /// booked leases. Call [`Escrow::advance_to`] at least twice in this time. The margin covers shorter
    /// jumps.
    pub max_clock_gap: Duration,
}

impl LeaseConfig {
    /// Returns the duration for which a grantor books a lease.
    fn booked_duration(&self) -> Duration {
        self.duration + self.margin
    }
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            duration: Duration::from_millis(2_000),
            margin: Duration::from_millis(300),
            max_clock_gap: Duration::from_millis(100),
        }
    }
}

/// A request of a holder for units of a grantor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The incarnation of the requester.
    pub incarnation: u64,
    /// Number of the request, increasing within the incarnation and the budget.
    pub sequence: u32,
    /// Total number of units that the requester wants to lease from this grantor.
    pub wanted_units: u64,
    /// Maximum number of units that the requester has leased from this grantor until it receives a grant for
    /// this or a later request.
    pub leased_units: u64,
}

/// The answer of a grantor to a [`LeaseRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The incarnation of the requester.
    pub incarnation: u64,
    /// The sequence number of the answered request.
    pub sequence: u32,
    /// Total number of units that the holder has leased from this grantor.
    pub units: u64,
    /// Units that the grantor could lend in addition.
    pub spare_units: u64,
}

/// The reason why a request or a grant is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum LeaseRejected {
    /// The sequence number of a request is not above the last accepted one, or a grant matches no outstanding
    /// request: the message is delayed or repeated.
    #[error("lease datagram is late or repeated")]
    Duplicate,
    /// This process started less than one booked lease ago, or another process uses its slot.
    #[error("gateway has started recently and lends nothing yet")]
    NotLendingYet,
    /// The maximum number of leases is reached.
    #[error("maximum number of leases is reached")]
    Full,
    /// The lease ended before its grant arrived.
    #[error("lease ended before its grant arrived")]
    Expired,
}

impl LeaseRejected {
    /// Returns advice for the operator.
    #[must_use]
    pub fn help(self) -> &'static str {
        match self {
            Self::Duplicate => "none needed if few: the network repeats or delays datagrams",
            Self::NotLendingYet => {
                "none needed: a gateway lends one lease duration after its start; if this persists, two \
                 processes share a name"
            }
            Self::Full => "list more gateways in the settings, so that fewer of them lend this budget",
            Self::Expired => "datagrams take longer than a lease: look for an overloaded host or network",
        }
    }
}

/// A lease in the records of its grantor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct GrantedLease {
    sequence: u32,
    units: u64,
    wanted_units: u64,
    expires_at: Duration,
}

/// A lease in the records of its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Lease {
    units: u64,
    expires_at: Duration,
}

/// A lease request without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct OutstandingRequest {
    sequence: u32,
    sent_at: Duration,
}

/// The incarnation of a gateway that holds a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Holder {
    slot: Slot,
    incarnation: u64,
}

/// The units of one budget at one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Escrow {
    own_slot: Slot,
    incarnation: u64,
    config: LeaseConfig,
    share: InitialShare,
    /// Upper limit of lent units. It exceeds the lendable units of the share while leases of an earlier,
    /// larger share last.
    lendable_limit: u64,
    now: Duration,
    /// Time before which nothing is lent, as leases of an earlier process may still be valid.
    lending_starts_at: Duration,
    /// Whether another process uses the slot of this gateway.
    is_relinquished: bool,
    /// Units that this gateway wants to use itself.
    wanted_units: u64,
    last_sequence: u32,
    granted: BTreeMap<Holder, GrantedLease>,
    leases: BTreeMap<Slot, Lease>,
    outstanding_requests: BTreeMap<Slot, OutstandingRequest>,
    mutation: ActiveMutation,
}

impl Escrow {
    /// Creates the escrow of the gateway at `own_slot` in this incarnation. `first` states that no earlier
    /// process can have lent units of this share (a new budget, as for a server that was never listed).
    /// Otherwise nothing is lent while leases of an earlier process may last.
    #[must_use]
    pub fn new(
        own_slot: Slot,
        incarnation: u64,
        share: InitialShare,
        config: LeaseConfig,
        first: bool,
        now: Duration,
    ) -> Self {
        let lending_starts_at = if first { now } else { now + config.booked_duration() };
        Self {
            own_slot,
            incarnation,
            config,
            share,
            lendable_limit: share.lendable,
            now,
            lending_starts_at,
            is_relinquished: false,
            wanted_units: 0,
            last_sequence: 0,
            granted: BTreeMap::new(),
            leases: BTreeMap::new(),
            outstanding_requests: BTreeMap::new(),
            mutation: ActiveMutation::default(),
        }
    }

    /// Activates a mutation.
    #[cfg(feature = "mutation")]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation.mutation = Some(mutation);
        if mutation == Mutation::NoLendingDelay {
            self.lending_starts_at = self.now;
        }
    }

    /// Advances the time to `now`. A backward step ends all leases of this holder, as their age is no longer
    /// known. A forward jump extends all booked leases by the jump.
    pub fn advance_to(&mut self, now: Duration) {
        if now < self.now {
            self.leases.clear();
            self.outstanding_requests.clear();
        }
        let jump = now.saturating_sub(self.now).saturating_sub(self.config.max_clock_gap);
        if !jump.is_zero() {
            self.extend_booked(jump);
        }
        self.now = now;
        self.granted.retain(|_, lease| lease.expires_at > now);
        if !self.mutation.is(Mutation::NoExpiry) {
            self.leases.retain(|_, lease| lease.expires_at > now);
        }
        self.update_lendable_limit();
    }

    fn extend_booked(&mut self, jump: Duration) {
        if self.lending_starts_at > self.now {
            self.lending_starts_at += jump;
        }
        self.granted.values_mut().for_each(|lease| lease.expires_at += jump);
    }

    fn update_lendable_limit(&mut self) {
        self.lendable_limit = self.share.lendable.max(self.lendable_limit.min(self.lent_units()));
    }

    /// Replaces the share. Leases beyond the new share remain until they end; until then nothing more is
    /// lent, and of the share only the floor is usable. [`AllocationAgreement`](super::AllocationAgreement)
    /// decides when a share may grow.
    pub fn set_share(&mut self, share: InitialShare) {
        self.share = share;
        self.update_lendable_limit();
    }

    /// Returns whether the lent units, including those of an earlier process, are within the share.
    #[must_use]
    pub fn is_within_share(&self) -> bool {
        self.now >= self.lending_starts_at
            && !self.is_relinquished
            && self.lent_units() <= self.share.lendable
    }

    /// Stops the use and lending of the share, as another process uses the slot of this gateway. Leases from
    /// other gateways remain usable until they end.
    pub fn relinquish(&mut self) {
        self.is_relinquished = true;
    }

    /// Continues as a later incarnation of this gateway. Leases from other gateways end, and nothing is lent
    /// while leases of a process in between may last. Leases granted by this process remain booked.
    pub fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.leases.clear();
        self.outstanding_requests.clear();
        self.lending_starts_at = self.now + self.config.booked_duration();
    }

    /// Returns the durations of leases.
    #[must_use]
    pub fn config(&self) -> LeaseConfig {
        self.config
    }

    /// Returns the number of units that this gateway has booked as lent.
    #[must_use]
    pub fn lent_units(&self) -> u64 {
        self.granted.values().map(|lease| lease.units).sum()
    }

    /// Returns the number of units leased from other gateways.
    #[must_use]
    pub fn leased_units(&self) -> u64 {
        self.leases.values().map(|lease| lease.units).sum()
    }

    /// Returns the number of units leased from `grantor`.
    #[must_use]
    pub fn units_leased_from(&self, grantor: Slot) -> u64 {
        self.leases.get(&grantor).map_or(0, |lease| lease.units)
    }

    /// Returns the number of units that this gateway may use now.
    #[must_use]
    pub fn usable_units(&self) -> u64 {
        if self.is_relinquished {
            return self.leased_units();
        }
        let lendable = match self.now < self.lending_starts_at {
            true => 0,
            false => self.share.lendable.saturating_sub(self.lent_units()),
        };
        self.share.floor + lendable + self.leased_units()
    }

    /// Returns the end and the units of each lease from another gateway, ordered by their end.
    #[must_use]
    pub fn lease_expiries(&self) -> Vec<(Duration, u64)> {
        let mut expiries: Vec<_> =
            self.leases.values().map(|lease| (lease.expires_at, lease.units)).collect();
        expiries.sort_unstable();
        expiries
    }

    /// Sets the number of units that this gateway wants to use itself. It also affects the units lent.
    pub fn set_wanted_units(&mut self, units: u64) {
        self.wanted_units = units;
    }

    /// Requests a lease of `wanted_units` from `grantor` in total. Leased units beyond them are returned
    /// immediately.
    pub fn request_lease(&mut self, grantor: Slot, wanted_units: u64) -> LeaseRequest {
        self.last_sequence += 1;
        let mut leased_units = 0;
        if let Some(lease) = self.leases.get_mut(&grantor) {
            lease.units = lease.units.min(wanted_units);
            leased_units = lease.units;
        }
        self.leases.retain(|_, lease| lease.units > 0);
        let requests = &mut self.outstanding_requests;
        let has_capacity = requests.len() < MAX_LEASES || requests.contains_key(&grantor);
        if wanted_units > 0 && has_capacity {
            requests.insert(grantor, OutstandingRequest { sequence: self.last_sequence, sent_at: self.now });
        } else {
            requests.remove(&grantor);
        }
        LeaseRequest {
            incarnation: self.incarnation,
            sequence: self.last_sequence,
            wanted_units,
            leased_units,
        }
    }

    /// Handles a request of the gateway at `slot` and returns the grant. `in_use` is the number of units of
    /// this gateway that are in use and are not lent.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is rejected; the state is unchanged.
    pub fn grant_lease(
        &mut self,
        slot: Slot,
        request: LeaseRequest,
        in_use: u64,
    ) -> Result<LeaseGrant, LeaseRejected> {
        if self.now < self.lending_starts_at || self.is_relinquished {
            return Err(LeaseRejected::NotLendingYet);
        }
        let holder = Holder { slot, incarnation: request.incarnation };
        let booked = self.granted.get(&holder).copied();
        let is_repeated = booked.is_some_and(|lease| request.sequence <= lease.sequence);
        if is_repeated && !self.mutation.is(Mutation::AcceptRepeatedRequest) {
            return Err(LeaseRejected::Duplicate);
        }
        if booked.is_none() && self.granted.len() >= MAX_GRANTED_LEASES {
            return Err(LeaseRejected::Full);
        }
        // The holder cannot have more than is booked. A higher number is false, or belongs to a lease that
        // has ended.
        let leased_units = request.leased_units.min(booked.map_or(0, |lease| lease.units));
        let free = self.free_units(holder, in_use);
        let units = self.fair_portion(holder, request.wanted_units).min(free);
        let booked_units = match self.mutation.is(Mutation::ForgetUnconfirmedGrant) {
            true => leased_units,
            false => units.max(leased_units),
        };
        let lease = GrantedLease {
            sequence: request.sequence,
            units: booked_units,
            wanted_units: request.wanted_units,
            expires_at: self.now + self.config.booked_duration(),
        };
        self.granted.insert(holder, lease);
        Ok(LeaseGrant {
            incarnation: request.incarnation,
            sequence: request.sequence,
            units,
            spare_units: free.saturating_sub(units.max(leased_units)),
        })
    }

    fn leases_of_others(&self, holder: Holder) -> impl Iterator<Item = &GrantedLease> {
        self.granted.iter().filter(move |&(&other, _)| other != holder).map(|(_, lease)| lease)
    }

    /// Returns the number of units that may be lent to `holder`: those that neither other holders nor this
    /// gateway use.
    fn free_units(&self, holder: Holder, in_use: u64) -> u64 {
        let others: u64 = self.leases_of_others(holder).map(|lease| lease.units).sum();
        let in_use = in_use.saturating_sub(self.share.floor + self.leased_units());
        self.share.lendable.saturating_sub(others).saturating_sub(in_use)
    }

    /// Returns the max-min fair part of the lendable units for `holder`, by the wanted units of all holders.
    /// This gateway takes part with its own demand beyond its floor.
    fn fair_portion(&self, holder: Holder, wanted_units: u64) -> u64 {
        let mut wanted = vec![wanted_units, self.wanted_units.saturating_sub(self.share.floor)];
        wanted.extend(self.leases_of_others(holder).map(|lease| lease.wanted_units));
        max_min_fair(self.share.lendable, &wanted)[0]
    }

    /// Accepts a lease that `grantor` has granted.
    ///
    /// # Errors
    ///
    /// Returns the reason why the grant is not used.
    pub fn accept_lease(&mut self, grantor: Slot, grant: LeaseGrant) -> Result<(), LeaseRejected> {
        let request = self.outstanding_requests.get(&grantor).copied();
        let is_own = grant.incarnation == self.incarnation;
        let is_current = is_own && request.is_some_and(|request| request.sequence == grant.sequence);
        let accepts_any = is_own && self.mutation.is(Mutation::AcceptRepeatedGrant);
        if !is_current && !accepts_any {
            return Err(LeaseRejected::Duplicate);
        }
        let starts_at_grant = accepts_any || self.mutation.is(Mutation::LeaseFromGrantTime);
        let starts_at = match request {
            Some(request) if !starts_at_grant => request.sent_at,
            _ => self.now,
        };
        self.outstanding_requests.remove(&grantor);
        let expires_at = starts_at + self.config.duration;
        if expires_at <= self.now {
            return Err(LeaseRejected::Expired);
        }
        if grant.units == 0 {
            self.leases.remove(&grantor);
            return Ok(());
        }
        if self.leases.len() >= MAX_LEASES && !self.leases.contains_key(&grantor) {
            return Err(LeaseRejected::Full);
        }
        self.leases.insert(grantor, Lease { units: grant.units, expires_at });
        Ok(())
    }

    /// Checks the invariants of the escrow.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        let lent = self.lent_units();
        if lent > self.lendable_limit {
            return Err(Violation::OverLent { lent, lendable: self.lendable_limit });
        }
        let longest = self.config.duration;
        for (&slot, lease) in &self.leases {
            let remaining = lease.expires_at.saturating_sub(self.now);
            if remaining > longest || remaining.is_zero() {
                return Err(Violation::LongLease { slot, remaining, longest });
            }
        }
        Violation::check_size("loans", self.granted.len(), MAX_GRANTED_LEASES)?;
        Violation::check_size("leases", self.leases.len(), MAX_LEASES)
    }
}

/// Checks the invariant B4, which a single gateway cannot check: the units that all gateways may use at one
/// moment are at most `total`.
///
/// # Errors
///
/// Returns an error if the sum of `usable_units` exceeds `total`.
pub fn check_total(total: u64, usable_units: impl IntoIterator<Item = u64>) -> Result<(), Violation> {
    let usable = usable_units.into_iter().sum();
    if usable > total { Err(Violation::OverTotal { usable, total }) } else { Ok(()) }
}
