//! Rights of a budget that are moved between gateways and never copied (escrow).
//!
//! **Shares.** The total of a budget is split among gateways by the settings ([`initial_shares`](super::initial_shares)): the same at all
//! of them, so the initial shares make up the total exactly, whoever is there. No gateway elects or counts another to
//! know its own.
//!
//! **Leases.** Of its share a gateway lends what is above its floor, on request, for [`LeaseConfig::duration`]. The
//! holder counts a lease from its own time of the *request*; the grantor books it from its own time of the *grant*,
//! which is later, and for [`LeaseConfig::margin`] longer. So a lease has ended at its holder before its grantor uses
//! the right again, whatever the network did meanwhile and whatever the clocks show: only the lengths of two intervals
//! are compared.
//!
//! **Requests.** A request has all that is wanted and all that is held, never a difference: applied twice, it books the
//! same once. It is numbered within the requester's incarnation; the grantor takes only later numbers, the holder only
//! the grant of its latest request. What is booked is the larger of what the holder had and what it is granted, so
//! neither a lost grant nor a lost request lets a right be lent again; it is lowered by the next request, which has what
//! is held by then.
//!
//! **Restarts.** A new incarnation holds nothing and has stored nothing. It lends nothing before all that its earlier
//! process may have lent has ended ([`Escrow::new`]); its floor was never lent, so it may use that at once.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::mutation::{ActiveMutation, Mutation};
use super::shares::{InitialShare, max_min_fair};
use super::{Slot, Violation};

/// Leases that a grantor books at once.
pub const MAX_GRANTED_LEASES: usize = 256;
/// Grantors that a holder has leases of at once.
pub const MAX_LEASES: usize = 64;

/// The lengths of leases; the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// How long a lease lasts, by the holder, from its request.
    pub duration: Duration,
    /// How much longer it is booked, by the grantor, from its grant: for clocks that run at different rates, and for
    /// steps back that are too short to be noticed (shorter than the time between two calls).
    pub margin: Duration,
    /// Time that passes between two calls beyond this may be a clock that jumped, and ends nothing that is booked. Call
    /// [`Escrow::advance_to`] twice as often; a jump that is shorter is for the margin to cover.
    pub max_clock_gap: Duration,
}

impl LeaseConfig {
    /// How long a lease is booked by its grantor.
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

/// A holder requests units of a grantor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The requester's incarnation.
    pub incarnation: u64,
    /// Rises with every request of that incarnation for this budget.
    pub sequence: u32,
    /// Units that it would hold of this grantor, all told.
    pub wanted_units: u64,
    /// The most units that it holds of this grantor from now on, until a grant of this request or a later one.
    pub leased_units: u64,
}

/// A grantor's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The requester's incarnation.
    pub incarnation: u64,
    /// The request that this answers.
    pub sequence: u32,
    /// Units that the holder has of this grantor from now on, all told.
    pub units: u64,
    /// Units that the grantor could lend beyond them.
    pub spare_units: u64,
}

/// Why a request or a grant changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum LeaseRejected {
    /// A request whose number is not above the last one taken, or a grant of no outstanding one: late or repeated.
    #[error("late or repeated")]
    Duplicate,
    /// This process began less than a lease ago, or another has its slot.
    #[error("nothing is lent yet")]
    NotLendingYet,
    /// There is no room for another lease.
    #[error("no room for another")]
    Full,
    /// The grant took so long to arrive that its lease has ended.
    #[error("the lease is over")]
    Expired,
}

impl LeaseRejected {
    /// What an operator can do.
    #[must_use]
    pub fn help(self) -> &'static str {
        match self {
            Self::Duplicate => "nothing, if few: the network repeats or delays datagrams",
            Self::NotLendingYet => {
                "nothing: after a start a gateway lends after one lease; if it stays, two processes share a name"
            }
            Self::Full => "fewer gateways should lend this budget: name more of them in the settings",
            Self::Expired => "datagrams take longer than a lease: look for a swamped host or network",
        }
    }
}

/// A lease as its grantor books it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct GrantedLease {
    sequence: u32,
    units: u64,
    wanted_units: u64,
    expires_at: Duration,
}

/// A lease as its holder has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Lease {
    units: u64,
    expires_at: Duration,
}

/// A request that has not been answered.
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

/// One gateway's rights of one budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Escrow {
    own_slot: Slot,
    incarnation: u64,
    config: LeaseConfig,
    share: InitialShare,
    /// Units that may be lent: more than the share's for as long as leases of an earlier, larger share last.
    lendable_limit: u64,
    now: Duration,
    lending_starts_at: Duration,
    is_relinquished: bool,
    wanted_units: u64,
    last_sequence: u32,
    granted: BTreeMap<Holder, GrantedLease>,
    leases: BTreeMap<Slot, Lease>,
    outstanding_requests: BTreeMap<Slot, OutstandingRequest>,
    mutation: ActiveMutation,
}

impl Escrow {
    /// The rights of the gateway at `own_slot`, in this incarnation. `first` means that nobody can have lent this
    /// gateway's share before (a budget made just now, as for a server that was never listed); else nothing is lent for
    /// as long as the leases of an earlier process may last.
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

    /// Puts a mutation in.
    #[cfg(feature = "mutation")]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation.mutation = Some(mutation);
        if mutation == Mutation::NoLendingDelay {
            self.lending_starts_at = self.now;
        }
    }

    /// Lets time pass. Where it goes backwards, held leases end at once, as how long they have lasted is not known;
    /// where it leaps, what is booked lasts longer by the leap.
    pub fn advance_to(&mut self, now: Duration) {
        if now < self.now {
            self.leases.clear();
            self.outstanding_requests.clear();
        }
        let leap = now.saturating_sub(self.now).saturating_sub(self.config.max_clock_gap);
        if !leap.is_zero() {
            self.extend_booked(leap);
        }
        self.now = now;
        self.granted.retain(|_, lease| lease.expires_at > now);
        if !self.mutation.is(Mutation::NoExpiry) {
            self.leases.retain(|_, lease| lease.expires_at > now);
        }
        self.update_lendable_limit();
    }

    fn extend_booked(&mut self, leap: Duration) {
        if self.lending_starts_at > self.now {
            self.lending_starts_at += leap;
        }
        self.granted.values_mut().for_each(|lease| lease.expires_at += leap);
    }

    fn update_lendable_limit(&mut self) {
        self.lendable_limit = self.share.lendable.max(self.lendable_limit.min(self.lent_units()));
    }

    /// Sets another share from now on. What is lent beyond it stays so until it ends: nothing is lent meanwhile, and
    /// nothing but the floor is used. When a share may become larger is for
    /// [`AllocationAgreement`](super::AllocationAgreement) to say.
    pub fn set_share(&mut self, share: InitialShare) {
        self.share = share;
        self.update_lendable_limit();
    }

    /// Whether no more than the share allows is lent, also by an earlier process.
    #[must_use]
    pub fn is_within_share(&self) -> bool {
        self.now >= self.lending_starts_at
            && !self.is_relinquished
            && self.lent_units() <= self.share.lendable
    }

    /// Uses and lends the share no more, as another process has this gateway's slot now. Held leases stay its own until
    /// they end.
    pub fn relinquish(&mut self) {
        self.is_relinquished = true;
    }

    /// Goes on as a later incarnation of this gateway: it holds nothing of others, and lends nothing for as long as
    /// leases of a process between may last. What this one has lent stays booked.
    pub fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.leases.clear();
        self.outstanding_requests.clear();
        self.lending_starts_at = self.now + self.config.booked_duration();
    }

    /// The lengths of leases.
    #[must_use]
    pub fn config(&self) -> LeaseConfig {
        self.config
    }

    /// Units that are lent, by this gateway's book.
    #[must_use]
    pub fn lent_units(&self) -> u64 {
        self.granted.values().map(|lease| lease.units).sum()
    }

    /// Units of other gateways' shares that this one holds.
    #[must_use]
    pub fn leased_units(&self) -> u64 {
        self.leases.values().map(|lease| lease.units).sum()
    }

    /// Units of `grantor`'s share that this one holds.
    #[must_use]
    pub fn units_leased_from(&self, grantor: Slot) -> u64 {
        self.leases.get(&grantor).map_or(0, |lease| lease.units)
    }

    /// Units that this gateway may use now.
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

    /// When each held lease ends, and its units, the first first.
    #[must_use]
    pub fn lease_expiries(&self) -> Vec<(Duration, u64)> {
        let mut expiries: Vec<_> =
            self.leases.values().map(|lease| (lease.expires_at, lease.units)).collect();
        expiries.sort_unstable();
        expiries
    }

    /// Sets what this gateway would use itself: it lends by that, too.
    pub fn set_wanted_units(&mut self, units: u64) {
        self.wanted_units = units;
    }

    /// Requests `wanted_units` of `grantor`, all told; what is held beyond them is given back by it, at once.
    pub fn request_lease(&mut self, grantor: Slot, wanted_units: u64) -> LeaseRequest {
        self.last_sequence += 1;
        let mut leased_units = 0;
        if let Some(lease) = self.leases.get_mut(&grantor) {
            lease.units = lease.units.min(wanted_units);
            leased_units = lease.units;
        }
        self.leases.retain(|_, lease| lease.units > 0);
        let requests = &mut self.outstanding_requests;
        let has_room = requests.len() < MAX_LEASES || requests.contains_key(&grantor);
        if wanted_units > 0 && has_room {
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

    /// Answers a request of the gateway at `slot`; `in_use` units of this gateway's rights are in use and stay.
    ///
    /// # Errors
    ///
    /// Says why it is not answered; nothing has changed.
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
        // It can hold no more than is booked; more is a liar's, or of a lease that has ended.
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

    /// Units that may be lent to `holder`, beside those that others hold and that are in use here.
    fn free_units(&self, holder: Holder, in_use: u64) -> u64 {
        let others: u64 = self.leases_of_others(holder).map(|lease| lease.units).sum();
        let in_use = in_use.saturating_sub(self.share.floor + self.leased_units());
        self.share.lendable.saturating_sub(others).saturating_sub(in_use)
    }

    /// The fair part of what may be lent for one holder, by what all want. This gateway itself is one of them, with
    /// what its floor does not cover.
    fn fair_portion(&self, holder: Holder, wanted_units: u64) -> u64 {
        let mut wanted = vec![wanted_units, self.wanted_units.saturating_sub(self.share.floor)];
        wanted.extend(self.leases_of_others(holder).map(|lease| lease.wanted_units));
        max_min_fair(self.share.lendable, &wanted)[0]
    }

    /// Accepts a lease that `grantor` has granted.
    ///
    /// # Errors
    ///
    /// Says why it is not used; nothing has changed.
    pub fn accept_lease(&mut self, grantor: Slot, grant: LeaseGrant) -> Result<(), LeaseRejected> {
        let request = self.outstanding_requests.get(&grantor).copied();
        let is_own = grant.incarnation == self.incarnation;
        let is_current = is_own && request.is_some_and(|request| request.sequence == grant.sequence);
        let is_blind = is_own && self.mutation.is(Mutation::AcceptRepeatedGrant);
        if !is_current && !is_blind {
            return Err(LeaseRejected::Duplicate);
        }
        let counts_from_grant = is_blind || self.mutation.is(Mutation::LeaseFromGrantTime);
        let starts_at = match request {
            Some(request) if !counts_from_grant => request.sent_at,
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

    /// Checks the invariants of the rights.
    ///
    /// # Errors
    ///
    /// Names the first that does not hold.
    pub fn check(&self) -> Result<(), Violation> {
        let lent = self.lent_units();
        if lent > self.lendable_limit {
            return Err(Violation::OverLent { lent, lendable: self.lendable_limit });
        }
        let longest = self.config.duration;
        for (&slot, lease) in &self.leases {
            let left = lease.expires_at.saturating_sub(self.now);
            if left > longest || left.is_zero() {
                return Err(Violation::LongLease { slot, left, longest });
            }
        }
        Violation::check_size("loans", self.granted.len(), MAX_GRANTED_LEASES)?;
        Violation::check_size("leases", self.leases.len(), MAX_LEASES)
    }
}

/// Checks the invariant B4, which no gateway can see: what all may use at one moment against the total.
///
/// # Errors
///
/// Fails where it is more.
pub fn check_total(total: u64, usable_units: impl IntoIterator<Item = u64>) -> Result<(), Violation> {
    let usable = usable_units.into_iter().sum();
    if usable > total { Err(Violation::OverTotal { usable, total }) } else { Ok(()) }
}
