//! Budgets: rights that are moved between gateways and never copied.
//!
//! **Roots.** The total of a budget is split among gateways by the settings ([`split`]): the same at all of them, so
//! the roots make up the total exactly, whoever is there. No gateway elects or counts another to know its own.
//!
//! **Leases.** Of its root a gateway lends what is above its floor, on being asked, for [`Terms::lease`]. The holder
//! counts a lease from its own time of *asking*; the grantor books it from its own time of *granting*, which is later,
//! and for [`Terms::margin`] longer. So a lease has ended at its holder before its grantor uses the right again,
//! whatever the network did meanwhile and whatever the clocks show: only the lengths of two intervals are compared.
//!
//! **Asks.** An ask tells all that is wanted and all that is held, never a difference: taken in twice, it books the
//! same once. It is numbered within the asker's life; the grantor takes only later numbers, the holder only the grant
//! of its latest ask. What is booked is the larger of what the holder had and what it is granted, so neither a lost
//! grant nor a lost ask lets a right be lent again; it is lowered by the next ask, which tells what is held by then.
//!
//! **Restarts.** A new life holds nothing and has stored nothing. It lends nothing before all that its earlier life may
//! have lent has ended ([`Escrow::new`]); its floor was never lent, so it may use that at once.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::broken::{ActiveMutation, Mutation};
use super::{Slot, Violation, mix, rendezvous};

/// Loans that a grantor books at once.
pub const MAX_GRANTED_LEASES: usize = 256;
/// Grantors that a holder has leases of at once.
pub const MAX_HELD_LEASES: usize = 64;

/// The lengths of leases; the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// How long a lease lasts, by the holder, from its asking.
    pub duration: Duration,
    /// How much longer it is booked, by the grantor, from its granting: for clocks that run at different rates, and for
    /// steps back that are too short to be seen (shorter than the time between two calls).
    pub margin: Duration,
    /// Time that passes between two calls beyond this may be a clock that jumped, and ends nothing that is booked. Call
    /// [`Escrow::at`] twice as often; a jump that is shorter is for the margin to bear.
    pub max_clock_gap: Duration,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self { duration: ms(2_000), margin: ms(300), max_clock_gap: ms(100) }
    }
}

/// A gateway's part of a budget by the settings, in units.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InitialShare {
    /// Never lent: what a gateway that hears nobody has for certain.
    pub floor: u64,
    /// May be lent.
    pub lendable: u64,
}

/// Splits `total` among `weights`, by largest remainder: the parts make up the total exactly, and are the same
/// wherever they are reckoned.
#[must_use]
pub fn split_proportionally(total: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u128 = weights.iter().map(|&weight| u128::from(weight)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let exact = |weight: u64| u128::from(total) * u128::from(weight);
    // Below the total, so it fits.
    let mut parts: Vec<u64> = weights.iter().map(|&weight| (exact(weight) / sum) as u64).collect();
    let left = total - parts.iter().sum::<u64>();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|&at| (std::cmp::Reverse(exact(weights[at]) % sum), at));
    for &at in order.iter().take(left as usize) {
        parts[at] += 1;
    }
    parts
}

/// The roots of the budget `id` over all slots of the settings' list: `floors` thousandths of the total are floors,
/// equal ones; the rest may be lent, by one slot in 16 and at least three, which follow from the budget's id.
#[must_use]
pub fn initial_shares(id: u32, total: u64, slots: u16, floors: u64) -> BTreeMap<Slot, InitialShare> {
    let all: Vec<Slot> = (0..slots).map(Slot).collect();
    let lenders = rendezvous(mix(9, u64::from(id)), all.iter().copied(), usize::from(slots / 16).max(3));
    let floor = (u128::from(total) * u128::from(floors.min(1_000)) / 1_000) as u64;
    let parts = split_proportionally(floor, &vec![1; all.len()]);
    let lendable = split_proportionally(total - floor, &vec![1; lenders.len()]);
    let mut roots: BTreeMap<Slot, InitialShare> =
        all.into_iter().zip(parts).map(|(slot, floor)| (slot, InitialShare { floor, lendable: 0 })).collect();
    for (slot, lendable) in lenders.into_iter().zip(lendable) {
        roots.entry(slot).or_default().lendable = lendable;
    }
    roots
}

/// What each of `wants` gets of `supply`: the smallest in full, the others alike (max-min fairness).
#[must_use]
pub fn max_min_fair(supply: u64, wants: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|&at| wants[at]);
    let (mut left, mut parts) = (supply, vec![0; wants.len()]);
    for (done, &at) in order.iter().enumerate() {
        let part = wants[at].min(left / (wants.len() - done) as u64);
        parts[at] = part;
        left -= part;
    }
    parts
}

/// A holder asks a grantor for units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The asker's life.
    pub incarnation: u64,
    /// Counts on with every ask of that life for this budget.
    pub sequence: u32,
    /// Units that it would hold of this grantor, all told.
    pub wanted_units: u64,
    /// The most units that it holds of this grantor from now on, until a grant of this ask or a later one.
    pub held_units: u64,
}

/// A grantor's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The asker's life.
    pub incarnation: u64,
    /// The ask that this answers.
    pub sequence: u32,
    /// Units that the holder has of this grantor from now on, all told.
    pub units: u64,
    /// Units that the grantor could lend beyond them.
    pub spare_units: u64,
}

/// Why an ask or a grant changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum LeaseRejected {
    /// An ask whose number is not above the last one taken, or a grant to none that is out: late or repeated.
    #[error("late or repeated")]
    Duplicate,
    /// This life began less than a lease ago, and another has its number.
    #[error("nothing is lent yet")]
    NotLendingYet,
    /// There is no room for another loan or lease.
    #[error("no room for another")]
    Full,
    /// The grant was so long on its way that its lease is over.
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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct GrantedLease {
    sequence: u32,
    units: u64,
    wanted_units: u64,
    expires_at: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HeldLease {
    units: u64,
    expires_at: Duration,
}

/// One gateway's rights of one budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Escrow {
    own_slot: Slot,
    incarnation: u64,
    config: LeaseConfig,
    share: InitialShare,
    /// What may be on loan: more than the root's part for as long as an earlier, larger root's loans last.
    lendable_limit: u64,
    now: Duration,
    lending_starts_at: Duration,
    is_relinquished: bool,
    wanted_units: u64,
    last_sequence: u32,
    granted: BTreeMap<(Slot, u64), GrantedLease>,
    held: BTreeMap<Slot, HeldLease>,
    outstanding_requests: BTreeMap<Slot, (u32, Duration)>,
    mutation: ActiveMutation,
}

impl Escrow {
    /// The rights of the gateway at `own`, whose life began at `generation`. `first` says that nobody can have lent
    /// this gateway's root before (a budget made just now, as for a server that was never listed); else nothing is
    /// lent for as long as an earlier life's loans may last.
    #[must_use]
    pub fn new(
        own: Slot,
        generation: u64,
        root: InitialShare,
        terms: LeaseConfig,
        first: bool,
        now: Duration,
    ) -> Self {
        let quiet = if first { now } else { now + terms.duration + terms.margin };
        Self {
            own_slot: own,
            incarnation: generation,
            config: terms,
            share: root,
            lendable_limit: root.lendable,
            now,
            lending_starts_at: quiet,
            is_relinquished: false,
            wanted_units: 0,
            last_sequence: 0,
            granted: BTreeMap::new(),
            held: BTreeMap::new(),
            outstanding_requests: BTreeMap::new(),
            mutation: ActiveMutation::default(),
        }
    }

    /// Breaks it on purpose.
    #[cfg(feature = "broken")]
    pub fn set_mutation(&mut self, broken: Mutation) {
        self.mutation.mutation = Some(broken);
        if broken == Mutation::NoLendingDelay {
            self.lending_starts_at = self.now;
        }
    }

    /// Lets time pass. Where it goes backwards, leases end at once, as how long they have lasted is not known; where
    /// it leaps, what is booked lasts longer by the leap.
    pub fn advance_to(&mut self, now: Duration) {
        if now < self.now {
            self.held.clear();
            self.outstanding_requests.clear();
        }
        let leap = now.saturating_sub(self.now).saturating_sub(self.config.max_clock_gap);
        if !leap.is_zero() {
            self.lending_starts_at += if self.lending_starts_at > self.now { leap } else { Duration::ZERO };
            self.granted.values_mut().for_each(|loan| loan.expires_at += leap);
        }
        self.now = now;
        self.granted.retain(|_, loan| loan.expires_at > now);
        if !self.mutation.is(Mutation::NoExpiry) {
            self.held.retain(|_, lease| lease.expires_at > now);
        }
        self.lendable_limit = self.share.lendable.max(self.lendable_limit.min(self.lent_units()));
    }

    /// Another root from now on. What is on loan beyond it stays so until it ends: nothing is lent meanwhile, and nothing
    /// but the floor is used. When a root may become larger is for [`Agreement`](super::Agreement) to say.
    pub fn set_share(&mut self, root: InitialShare) {
        self.share = root;
        self.lendable_limit = root.lendable.max(self.lendable_limit.min(self.lent_units()));
    }

    /// Whether no more than the root allows is on loan, also by an earlier life.
    #[must_use]
    pub fn is_within_share(&self) -> bool {
        self.now >= self.lending_starts_at
            && !self.is_relinquished
            && self.lent_units() <= self.share.lendable
    }

    /// A later life under this gateway's number is about: this one uses and lends its root no more. Leases stay its
    /// own until they end.
    pub fn relinquish(&mut self) {
        self.is_relinquished = true;
    }

    /// Goes on as a later life of this gateway: it holds nothing of others, and lends nothing for as long as loans of
    /// a life between may last. What this one has lent stays booked.
    pub fn restart(&mut self, generation: u64) {
        self.incarnation = generation;
        self.held.clear();
        self.outstanding_requests.clear();
        self.lending_starts_at = self.now + self.config.duration + self.config.margin;
    }

    /// The lengths of leases.
    #[must_use]
    pub fn config(&self) -> LeaseConfig {
        self.config
    }

    /// Units on loan, by this gateway's book.
    #[must_use]
    pub fn lent_units(&self) -> u64 {
        self.granted.values().map(|loan| loan.units).sum()
    }

    /// Units of other gateways' roots that this one holds.
    #[must_use]
    pub fn held_units(&self) -> u64 {
        self.held.values().map(|lease| lease.units).sum()
    }

    /// Units that this one holds of `grantor`'s root.
    #[must_use]
    pub fn units_held_from(&self, grantor: Slot) -> u64 {
        self.held.get(&grantor).map_or(0, |lease| lease.units)
    }

    /// Units that this gateway may use now.
    #[must_use]
    pub fn usable_units(&self) -> u64 {
        if self.is_relinquished {
            return self.held_units();
        }
        let lendable = if self.now < self.lending_starts_at {
            0
        } else {
            self.share.lendable.saturating_sub(self.lent_units())
        };
        self.share.floor + lendable + self.held_units()
    }

    /// When the leases held end, and how many units each has, the first first.
    #[must_use]
    pub fn lease_expiries(&self) -> Vec<(Duration, u64)> {
        let mut ends: Vec<_> = self.held.values().map(|lease| (lease.expires_at, lease.units)).collect();
        ends.sort_unstable();
        ends
    }

    /// Tells what this gateway would use itself: it lends by that, too.
    pub fn set_wanted_units(&mut self, units: u64) {
        self.wanted_units = units;
    }

    /// Asks `grantor` for `wants` units, all told; what is held beyond them is given back by it, at once.
    pub fn request_lease(&mut self, grantor: Slot, wants: u64) -> LeaseRequest {
        self.last_sequence += 1;
        let mut holds = 0;
        if let Some(lease) = self.held.get_mut(&grantor) {
            lease.units = lease.units.min(wants);
            holds = lease.units;
        }
        self.held.retain(|_, lease| lease.units > 0);
        if wants > 0
            && (self.outstanding_requests.len() < MAX_HELD_LEASES
                || self.outstanding_requests.contains_key(&grantor))
        {
            self.outstanding_requests.insert(grantor, (self.last_sequence, self.now));
        } else {
            self.outstanding_requests.remove(&grantor);
        }
        LeaseRequest {
            incarnation: self.incarnation,
            sequence: self.last_sequence,
            wanted_units: wants,
            held_units: holds,
        }
    }

    /// Answers an ask of `holder`; `kept` units of this gateway's rights are in use and stay.
    ///
    /// # Errors
    ///
    /// Says why it is not answered; nothing has changed.
    pub fn grant_lease(
        &mut self,
        holder: Slot,
        ask: LeaseRequest,
        kept: u64,
    ) -> Result<LeaseGrant, LeaseRejected> {
        if self.now < self.lending_starts_at || self.is_relinquished {
            return Err(LeaseRejected::NotLendingYet);
        }
        let key = (holder, ask.incarnation);
        let before = self.granted.get(&key).copied();
        if before.is_some_and(|loan| ask.sequence <= loan.sequence)
            && !self.mutation.is(Mutation::AcceptRepeatedRequest)
        {
            return Err(LeaseRejected::Duplicate);
        }
        if before.is_none() && self.granted.len() >= MAX_GRANTED_LEASES {
            return Err(LeaseRejected::Full);
        }
        // It can hold no more than is booked; more is a liar's, or of a lease that has ended.
        let holds = ask.held_units.min(before.map_or(0, |loan| loan.units));
        let others: u64 = self.granted.iter().filter(|it| *it.0 != key).map(|it| it.1.units).sum();
        let kept = kept.saturating_sub(self.share.floor + self.held_units());
        let free = self.share.lendable.saturating_sub(others).saturating_sub(kept);
        let units = self.fair_portion(key, ask.wanted_units).min(free);
        let booked =
            if self.mutation.is(Mutation::ForgetUnconfirmedGrant) { holds } else { units.max(holds) };
        let until = self.now + self.config.duration + self.config.margin;
        self.granted.insert(
            key,
            GrantedLease {
                sequence: ask.sequence,
                units: booked,
                wanted_units: ask.wanted_units,
                expires_at: until,
            },
        );
        let spare = free.saturating_sub(units.max(holds));
        Ok(LeaseGrant { incarnation: ask.incarnation, sequence: ask.sequence, units, spare_units: spare })
    }

    /// What one holder is due of what may be lent, by what all want. The gateway itself is one of them, with what its
    /// floor does not cover.
    fn fair_portion(&self, key: (Slot, u64), wants: u64) -> u64 {
        let mut all = vec![wants, self.wanted_units.saturating_sub(self.share.floor)];
        all.extend(self.granted.iter().filter(|it| *it.0 != key).map(|it| it.1.wanted_units));
        max_min_fair(self.share.lendable, &all)[0]
    }

    /// Takes in a grant of `grantor`.
    ///
    /// # Errors
    ///
    /// Says why it is not used; nothing has changed.
    pub fn accept_lease(&mut self, grantor: Slot, grant: LeaseGrant) -> Result<(), LeaseRejected> {
        let asked = self.outstanding_requests.get(&grantor).copied();
        let current = grant.incarnation == self.incarnation && asked.is_some_and(|it| it.0 == grant.sequence);
        let blind = self.mutation.is(Mutation::AcceptRepeatedGrant) && grant.incarnation == self.incarnation;
        if !current && !blind {
            return Err(LeaseRejected::Duplicate);
        }
        let mut from = asked.map_or(self.now, |it| it.1);
        if blind || self.mutation.is(Mutation::LeaseFromGrantTime) {
            from = self.now;
        }
        self.outstanding_requests.remove(&grantor);
        let until = from + self.config.duration;
        if until <= self.now {
            return Err(LeaseRejected::Expired);
        }
        if grant.units == 0 {
            self.held.remove(&grantor);
            return Ok(());
        }
        if self.held.len() >= MAX_HELD_LEASES && !self.held.contains_key(&grantor) {
            return Err(LeaseRejected::Full);
        }
        self.held.insert(grantor, HeldLease { units: grant.units, expires_at: until });
        Ok(())
    }

    /// Holds this core against its invariants.
    ///
    /// # Errors
    ///
    /// Names the first that is broken.
    pub fn check(&self) -> Result<(), Violation> {
        let (lent, lendable) = (self.lent_units(), self.lendable_limit);
        if lent > lendable {
            return Err(Violation::OverLent { lent, lendable });
        }
        for (&slot, lease) in &self.held {
            let left = lease.expires_at.saturating_sub(self.now);
            if left > self.config.duration || left.is_zero() {
                return Err(Violation::LongLease { slot, left, longest: self.config.duration });
            }
        }
        let tables =
            [("loans", self.granted.len(), MAX_GRANTED_LEASES), ("leases", self.held.len(), MAX_HELD_LEASES)];
        match tables.into_iter().find(|&(_, found, most)| found > most) {
            Some((table, found, most)) => Err(Violation::OverFull { table, found, most }),
            None => Ok(()),
        }
    }
}

/// B4, which no gateway can see: what all may use at one moment against the total.
///
/// # Errors
///
/// Where it is more.
pub fn check_total(total: u64, rights: impl IntoIterator<Item = u64>) -> Result<(), Violation> {
    let rights = rights.into_iter().sum();
    if rights > total { Err(Violation::OverTotal { rights, total }) } else { Ok(()) }
}
