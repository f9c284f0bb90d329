//! Delivery: who is told what, when, in how many datagrams.
//!
//! Nothing is passed on, so nobody can speak for another and a late word is late by the network alone; a snapshot for
//! a gateway that starts is the one exception, and holds counts only. What a gateway sends does not grow with the
//! fleet: of each key [`SAMPLE`] gateways tell their count to [`KEEPERS`] others, both by rendezvous; a gateway asks
//! [`ASKED`] of a budget's grantors; evidence goes to a few peers at a time by chance, and as those who saw the same
//! are many where it matters, each hears a quorum of them within seconds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::counts::{CounterKey, MAX_CELLS, ReplicaCounts, ReplicatedCounts};
use super::delta::{self, StateMessage};
use super::{
    Allocation, AllocationAgreement, Budget, BudgetKind, Escrow, FleetTotal, InitialShare, LeaseConfig,
    OutlierLimits, OutlierReports, Slot, StaleAllocation, Violation, mix, rendezvous,
};
use crate::{DecodeError, MAX_DATAGRAM};

/// Gateways that tell a key's count: up to so many gateways the sum is exact, beyond it is a sample's.
pub const SAMPLE_SIZE: usize = 64;
/// Gateways that a key's count is told to.
pub const REPLICAS: usize = 2;
/// Groups of keys, at least, and one for so many slots.
const MIN_KEY_GROUPS: u64 = 8;
const SLOTS_PER_GROUP: u16 = 16;
/// Grantors that a gateway asks for a budget.
pub const GRANTORS_PER_BUDGET: usize = 3;
/// Peers that own evidence is told to at a time, and how often.
const EVIDENCE_FANOUT: (usize, Duration) = (2, Duration::from_millis(500));
/// How often rights are asked for.
const LEASE_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// How often counts that changed are told, and in how many of these all are told to be the same.
const COUNT_INTERVAL: (Duration, u32) = (Duration::from_millis(1_000), 3);
/// How often a gateway that starts asks for a snapshot, and for how long it waits for one.
const SNAPSHOT_TIMING: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(2));
/// Cells that a snapshot has.
const MAX_SNAPSHOT_COUNTS: usize = 96;
/// Items that wait for one peer, and peers that any wait for.
const MAX_QUEUED: (usize, usize) = (128, 512);
/// Sums that are kept.
const MAX_CACHED_TOTALS: usize = 256;

/// How an exchange is set up.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeConfig {
    /// A number that the gateways of one tier have in common, and no other tier.
    pub tier: u32,
    /// Slots of the settings' list: all that may be there.
    pub slot_count: u16,
    /// Datagrams that may be sent a second.
    pub datagrams_per_second: u32,
    /// The lengths of leases.
    pub lease: LeaseConfig,
    /// What judgements may do.
    pub outlier_limits: OutlierLimits,
}

/// What has been counted since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Items that there was no room for: later ones say as much.
    pub dropped_messages: u64,
    /// Datagrams not heard, by reason.
    pub rejected: BTreeMap<DecodeError, u64>,
}

struct SharedBudget {
    budget: Budget,
    grantors: Vec<Slot>,
    wanted_units: u64,
    /// The part that was asked for last.
    requested_portion: u64,
}

/// One gateway's shared state, and what it tells of it.
pub struct Exchange {
    own_slot: Slot,
    incarnation: u64,
    config: ExchangeConfig,
    counts: ReplicatedCounts,
    outlier_reports: OutlierReports,
    budgets: BTreeMap<u32, SharedBudget>,
    agreement: Option<AllocationAgreement>,
    peers: Vec<Slot>,
    rng: ChaCha8Rng,
    now: Duration,
    next_due: [Duration; 3],
    count_round: u32,
    /// The peer that evidence was told to last.
    next_evidence_peer: usize,
    started_at: Duration,
    is_started: bool,
    next_snapshot_request: Duration,
    send_tokens: f64,
    outgoing: BTreeMap<Slot, BTreeMap<(u8, u64), StateMessage>>,
    last_message_id: u64,
    /// Keys of the own counts, with whom they are told to; reckoned anew where the peers change.
    count_recipients: BTreeMap<CounterKey, Vec<Slot>>,
    changed_counts: BTreeSet<CounterKey>,
    /// Which keys this gateway keeps; forgotten where the peers change.
    replicated_keys: BTreeMap<CounterKey, bool>,
    last_digests: BTreeMap<Slot, (u64, u32)>,
    cached_totals: BTreeMap<CounterKey, (FleetTotal, Duration)>,
    traffic: Traffic,
}

impl Exchange {
    /// The exchange of the gateway at `own`, whose life began at `generation`. `seed` feeds its random choices.
    #[must_use]
    pub fn new(setup: ExchangeConfig, own: Slot, generation: u64, seed: u64, now: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Not all at once after a release.
        let due = [LEASE_REQUEST_INTERVAL, EVIDENCE_FANOUT.1, COUNT_INTERVAL.0]
            .map(|every| now + every.mul_f64(rng.random::<f64>()));
        let next_told = mix(seed, u64::from(own.0)) as usize % usize::from(u16::MAX);
        Self {
            own_slot: own,
            incarnation: generation,
            config: setup,
            counts: ReplicatedCounts::new(own, generation, now),
            outlier_reports: OutlierReports::new(own, generation, setup.outlier_limits, now),
            budgets: BTreeMap::new(),
            agreement: None,
            peers: Vec::new(),
            rng,
            now,
            next_due: due,
            count_round: 0,
            next_evidence_peer: next_told,
            started_at: now,
            is_started: false,
            next_snapshot_request: Duration::ZERO,
            send_tokens: 0.0,
            outgoing: BTreeMap::new(),
            last_message_id: 0,
            count_recipients: BTreeMap::new(),
            changed_counts: BTreeSet::new(),
            replicated_keys: BTreeMap::new(),
            last_digests: BTreeMap::new(),
            cached_totals: BTreeMap::new(),
            traffic: Traffic::default(),
        }
    }

    /// The other gateways that the view holds to be there.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = Slot>) {
        self.peers = peers.into_iter().filter(|&slot| slot != self.own_slot).collect();
        self.peers.sort_unstable();
        self.peers.dedup();
        self.replicated_keys.clear();
        let keys: Vec<CounterKey> = std::mem::take(&mut self.count_recipients).into_keys().collect();
        for key in keys {
            self.count_recipients.insert(key, self.choose_recipients(key));
        }
        let peers: BTreeSet<Slot> = self.peers.iter().copied().collect();
        self.outgoing.retain(|slot, _| peers.contains(slot));
    }

    fn all_gateways(&self) -> impl Iterator<Item = Slot> {
        self.peers.iter().copied().chain([self.own_slot])
    }

    /// A budget, by the roots of all slots; the gateway's part of it begins now. `first` as in [`Escrow::new`].
    pub fn add_budget(
        &mut self,
        id: u32,
        roots: &BTreeMap<Slot, InitialShare>,
        usage: BudgetKind,
        first: bool,
    ) {
        let root = roots.get(&self.own_slot).copied().unwrap_or_default();
        let escrow = Escrow::new(self.own_slot, self.incarnation, root, self.config.lease, first, self.now);
        let grantors = choose_grantors(id, self.own_slot, roots);
        self.budgets.insert(
            id,
            SharedBudget {
                budget: Budget::new(escrow, usage, self.now),
                grantors,
                wanted_units: 0,
                requested_portion: 0,
            },
        );
    }

    /// Budgets by an agreement, from now on: their roots are those that it says may be used.
    pub fn set_agreement(&mut self, agreement: AllocationAgreement) {
        self.agreement = Some(agreement);
        self.apply_shares();
    }

    /// Settings that were read while it runs.
    ///
    /// # Errors
    ///
    /// As [`Agreement::read`].
    pub fn update_allocation(&mut self, split: Allocation) -> Result<(), StaleAllocation> {
        if let Some(agreement) = &mut self.agreement {
            agreement.update(split)?;
            self.apply_shares();
        }
        Ok(())
    }

    /// The agreement on the budgets' settings, if there is one.
    #[must_use]
    pub fn agreement(&self) -> Option<&AllocationAgreement> {
        self.agreement.as_ref()
    }

    /// Tells the agreement something that does not come by datagram.
    pub fn with_agreement(&mut self, change: impl FnOnce(&mut AllocationAgreement)) {
        let Some(agreement) = &mut self.agreement else { return };
        let before = agreement.is_agreed();
        change(agreement);
        if agreement.is_agreed() != before {
            self.apply_shares();
        }
    }

    /// Takes over the roots that may be used now.
    fn apply_shares(&mut self) {
        let Some(agreement) = self.agreement.take() else { return };
        let split = agreement.allocation();
        self.config.slot_count = self.config.slot_count.max(split.slot_count);
        for (&id, &root) in agreement.active_shares() {
            if !self.budgets.contains_key(&id) {
                let Some(&(_, usage)) = split.totals.get(&id) else { continue };
                // An earlier life may have lent of it.
                self.add_budget(id, &split.initial_shares(id), usage, false);
            }
            let Some(held) = self.budgets.get_mut(&id) else { continue };
            held.budget.with_escrow(self.now, |escrow| escrow.set_share(root));
            if let Some(&(_, usage)) = split.totals.get(&id) {
                held.budget.set_kind(usage);
                held.grantors = choose_grantors(id, self.own_slot, &split.initial_shares(id));
            }
        }
        self.budgets.retain(|id, _| agreement.active_shares().contains_key(id));
        self.agreement = Some(agreement);
    }

    /// A later life under this gateway's number is about: its root is that one's.
    pub fn relinquish(&mut self) {
        let now = self.now;
        self.budgets.values_mut().for_each(|held| held.budget.with_escrow(now, Escrow::relinquish));
    }

    /// Others know a life of this gateway that is later than this one was: it goes on as one that begins at
    /// `generation`. What it held of others is that life's or lost, and for a lease it lends nothing, as that life may
    /// have lent. What is held with its rights stays counted.
    pub fn restart(&mut self, generation: u64) {
        let now = self.now;
        self.reset_counts(generation);
        self.outlier_reports.restart(generation);
        self.budgets.values_mut().for_each(|held| held.budget.with_escrow(now, |it| it.restart(generation)));
    }

    /// Forgets own counts that have come to nought, at all gateways: what is counted is said anew as by a life that
    /// begins at `generation`, which is later than the present one and earlier than any to come.
    pub fn reset_counts(&mut self, generation: u64) {
        self.incarnation = generation;
        self.counts.restart(generation);
        let own = self.counts.own_row();
        self.count_recipients.retain(|key, _| own.cells.contains_key(key));
        self.changed_counts = self.count_recipients.keys().copied().collect();
    }

    /// Tells what this gateway would use of a budget, in units.
    pub fn set_wanted_units(&mut self, id: u32, units: u64) {
        if let Some(held) = self.budgets.get_mut(&id) {
            held.wanted_units = units;
            held.budget.with_escrow(self.now, |escrow| escrow.set_wanted_units(units));
        }
    }

    /// All budgets, by id.
    pub fn budgets(&self) -> impl Iterator<Item = (u32, &Budget)> {
        self.budgets.iter().map(|(&id, held)| (id, &held.budget))
    }

    /// The other gateways that the view holds to be there.
    #[must_use]
    pub fn peers(&self) -> &[Slot] {
        &self.peers
    }

    /// The judgements, to be looked at.
    #[must_use]
    pub fn outlier_reports(&self) -> &OutlierReports {
        &self.outlier_reports
    }

    /// A budget.
    pub fn budget_mut(&mut self, id: u32) -> Option<&mut Budget> {
        self.budgets.get_mut(&id).map(|held| &mut held.budget)
    }

    /// Sets one of the own counts.
    pub fn set_count(&mut self, key: CounterKey, value: u32) {
        let before = self.counts.own_row().cells.get(&key).copied();
        self.counts.set(key, value);
        if before != self.counts.own_row().cells.get(&key).copied() {
            self.changed_counts.insert(key);
            if !self.count_recipients.contains_key(&key) {
                self.count_recipients.insert(key, self.choose_recipients(key));
            }
        }
    }

    /// The group of a key: a group has its sample and its keepers, so that few are told much and not many little.
    fn key_group(&self, key: CounterKey) -> u64 {
        mix(4, key_hash(key) % u64::from(self.config.slot_count / SLOTS_PER_GROUP).max(MIN_KEY_GROUPS))
    }

    /// Who is told this gateway's count of a key: nobody where it is not in the key's sample.
    fn choose_recipients(&self, key: CounterKey) -> Vec<Slot> {
        let hash = self.key_group(key);
        if self.peers.len() >= SAMPLE_SIZE
            && !rendezvous(!hash, self.all_gateways(), SAMPLE_SIZE).contains(&self.own_slot)
        {
            return Vec::new();
        }
        let mut keepers = rendezvous(hash, self.all_gateways(), REPLICAS);
        keepers.retain(|&slot| slot != self.own_slot);
        keepers
    }

    fn is_replica_of(&mut self, key: CounterKey) -> bool {
        if let Some(&keeps) = self.replicated_keys.get(&key) {
            return keeps;
        }
        let keeps = rendezvous(self.key_group(key), self.all_gateways(), REPLICAS).contains(&self.own_slot);
        if self.replicated_keys.len() >= MAX_CELLS * 4 {
            self.replicated_keys.clear();
        }
        self.replicated_keys.insert(key, keeps);
        keeps
    }

    /// The judgements.
    pub fn outlier_reports_mut(&mut self) -> &mut OutlierReports {
        &mut self.outlier_reports
    }

    /// The counts.
    #[must_use]
    pub fn counts(&self) -> &ReplicatedCounts {
        &self.counts
    }

    /// The sum of a count as it is known here, with its age, and how many gateways are in it; asks a keeper for it
    /// where this is none. None: not heard, which is not nought.
    pub fn fleet_total(&mut self, key: CounterKey) -> Option<FleetTotal> {
        if self.is_replica_of(key) {
            return Some(self.counts.total(key));
        }
        let keepers = rendezvous(self.key_group(key), self.all_gateways(), REPLICAS);
        if let Some(&keeper) = keepers.first() {
            self.enqueue(keeper, StateMessage::TotalRequest(key));
        }
        let (reading, at) = self.cached_totals.get(&key)?;
        Some(FleetTotal { max_age: reading.max_age + (self.now - *at), ..*reading })
    }

    /// True once a peer has given a snapshot, or none has for as long as is waited: until then nothing is placed by
    /// shared state, afterwards by what there is.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.is_started
    }

    fn enqueue(&mut self, to: Slot, item: StateMessage) {
        if self.outgoing.len() >= MAX_QUEUED.1 && !self.outgoing.contains_key(&to) {
            self.traffic.dropped_messages += 1;
            return;
        }
        let queue = self.outgoing.entry(to).or_default();
        // The same question, or the same count, waits once.
        queue.retain(|_, kept| match (*kept, item) {
            (StateMessage::Count(kept, _), StateMessage::Count(key, _)) => kept != key,
            (StateMessage::LeaseRequest(kept, _), StateMessage::LeaseRequest(id, _))
            | (StateMessage::LeaseGrant(kept, _), StateMessage::LeaseGrant(id, _)) => kept != id,
            (StateMessage::Evidence(kept), StateMessage::Evidence(told)) => {
                (kept.server, kept.kind) != (told.server, told.kind)
            }
            (StateMessage::CountsDigest(..), StateMessage::CountsDigest(..))
            | (StateMessage::AllocationVersion(_), StateMessage::AllocationVersion(_)) => false,
            (kept, item) => kept != item,
        });
        self.last_message_id += 1;
        queue.insert((item.priority(), self.last_message_id), item);
        if queue.len() > MAX_QUEUED.0 {
            queue.pop_last();
            self.traffic.dropped_messages += 1;
        }
    }

    /// Tells the time and no more: before budgets are spent at a time that [`at`](Self::at) has not been told, as to
    /// them a time before the last is a clock that was put back.
    pub fn set_time(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.now).as_secs_f64();
        let rate = f64::from(self.config.datagrams_per_second);
        self.send_tokens = (self.send_tokens + rate * passed).min(rate);
        self.now = now;
    }

    /// Lets time pass; call it every 50 ms.
    pub fn advance_to(&mut self, now: Duration) {
        self.set_time(now);
        self.counts.advance_to(now);
        self.outlier_reports.advance_to(now);
        for held in self.budgets.values_mut() {
            held.budget.advance_to(now);
        }
        let within = self.budgets.values().all(|held| held.budget.escrow().is_within_share());
        self.with_agreement(|agreement| agreement.commit(within));
        if !self.is_started {
            self.request_snapshot();
        }
        for (which, every) in
            [LEASE_REQUEST_INTERVAL, EVIDENCE_FANOUT.1, COUNT_INTERVAL.0].into_iter().enumerate()
        {
            if self.next_due[which] > now {
                // A clock put back does not silence it.
                self.next_due[which] = self.next_due[which].min(now + 2 * every);
                continue;
            }
            self.next_due[which] = now + every.mul_f64(self.rng.random_range(0.9..1.1));
            match which {
                0 => {
                    self.request_leases();
                    self.send_allocation_version();
                }
                1 => self.send_evidence(),
                _ => self.send_counts(),
            }
        }
    }

    fn request_snapshot(&mut self) {
        let waited = self.now.saturating_sub(self.started_at);
        if waited >= SNAPSHOT_TIMING.1 {
            self.is_started = true;
        } else if waited + SNAPSHOT_TIMING.0 > self.next_snapshot_request && !self.peers.is_empty() {
            self.next_snapshot_request = waited + 2 * SNAPSHOT_TIMING.0;
            let peer = self.peers[self.rng.random_range(0..self.peers.len())];
            self.enqueue(peer, StateMessage::SnapshotRequest);
        }
    }

    fn request_leases(&mut self) {
        let mut asks = Vec::new();
        for (&id, held) in &mut self.budgets {
            let escrow = held.budget.escrow();
            let own = escrow.usable_units() - escrow.held_units();
            let lacks = held.wanted_units.saturating_sub(own);
            if lacks == 0 && escrow.held_units() == 0 {
                continue;
            }
            // Each for an equal part, more than is lacked together: one of them may not answer.
            let part = (lacks * 3 / 2).div_ceil(held.grantors.len().max(1) as u64);
            // Where all is as it was, in time for two more asks before a lease ends.
            let ends = escrow.lease_expiries().first().map_or(self.now, |it| it.0);
            let settled = part == held.requested_portion && escrow.held_units() >= lacks;
            if settled && ends > self.now + self.config.lease.duration.mul_f64(0.6) {
                continue;
            }
            held.requested_portion = part;
            for &grantor in &held.grantors {
                asks.push((
                    grantor,
                    StateMessage::LeaseRequest(id, held.budget.request_lease(self.now, grantor, part)),
                ));
            }
        }
        for (to, item) in asks {
            self.enqueue(to, item);
        }
    }

    /// Who has promised to keep to which settings, until all have.
    fn send_allocation_version(&mut self) {
        let Some(agreement) = self.agreement.as_mut().filter(|it| !it.is_agreed()) else { return };
        let at = StateMessage::AllocationVersion(agreement.next_message());
        for _ in 0..EVIDENCE_FANOUT.0.min(self.peers.len()) {
            let peer = self.peers[self.rng.random_range(0..self.peers.len())];
            self.enqueue(peer, at);
        }
    }

    fn send_evidence(&mut self) {
        let told: Vec<_> = self.outlier_reports.own_evidence().collect();
        if told.is_empty() || self.peers.is_empty() {
            return;
        }
        for _ in 0..EVIDENCE_FANOUT.0.min(self.peers.len()) {
            // In turn, from a place by chance on: by chance alone one in a few hears it when it is old.
            self.next_evidence_peer = (self.next_evidence_peer + 1) % self.peers.len();
            let peer = self.peers[self.next_evidence_peer];
            for &it in told.iter().take(MAX_QUEUED.0 / 4) {
                self.enqueue(peer, StateMessage::Evidence(it));
            }
        }
    }

    fn send_counts(&mut self) {
        self.count_round += 1;
        for key in std::mem::take(&mut self.changed_counts) {
            self.send_count(key, None);
        }
        if self.count_round.is_multiple_of(COUNT_INTERVAL.1) {
            let keepers: BTreeSet<Slot> = self.count_recipients.values().flatten().copied().collect();
            for keeper in keepers {
                let hash = counts_digest(
                    self.count_recipients.iter().filter(|it| it.1.contains(&keeper)).filter_map(
                        |(key, _)| self.counts.own_row().cells.get(key).map(|cell| (*key, cell.version)),
                    ),
                );
                self.enqueue(keeper, StateMessage::CountsDigest(self.count_round, hash));
            }
        }
    }

    fn send_count(&mut self, key: CounterKey, only: Option<Slot>) {
        let Some(&cell) = self.counts.own_row().cells.get(&key) else { return };
        let keepers = self.count_recipients.get(&key).cloned().unwrap_or_default();
        for keeper in keepers.into_iter().filter(|&keeper| only.is_none_or(|only| only == keeper)) {
            self.enqueue(keeper, StateMessage::Count(key, cell));
        }
    }

    /// Takes a datagram in.
    ///
    /// # Errors
    ///
    /// Says why it is not heard; it is counted, and has changed nothing.
    pub fn handle_datagram(&mut self, datagram: &[u8]) -> Result<(), DecodeError> {
        self.decode_and_handle(datagram, Some)
    }

    /// Takes a datagram in that came from the address of this gateway, or of none.
    ///
    /// # Errors
    ///
    /// As [`receive`](Self::receive), and where it speaks for another gateway.
    pub fn handle_datagram_from(&mut self, sender: Option<Slot>, datagram: &[u8]) -> Result<(), DecodeError> {
        self.decode_and_handle(datagram, |_| sender)
    }

    fn decode_and_handle(
        &mut self,
        datagram: &[u8],
        sender: impl Fn(Slot) -> Option<Slot>,
    ) -> Result<(), DecodeError> {
        let read = delta::decode_datagram(self.config.tier, datagram).and_then(|it| {
            if sender(it.0) != Some(it.0) {
                Err(DecodeError::Foreign)
            } else if it.0 == self.own_slot {
                Err(DecodeError::Own)
            } else if it.0.0 >= self.config.slot_count {
                Err(DecodeError::Full)
            } else {
                Ok(it)
            }
        });
        match read {
            Ok((from, generation, items)) => {
                items.into_iter().for_each(|item| self.handle_message(from, generation, item));
                Ok(())
            }
            Err(why) => {
                *self.traffic.rejected.entry(why).or_default() += 1;
                Err(why)
            }
        }
    }

    fn handle_message(&mut self, from: Slot, generation: u64, item: StateMessage) {
        let now = self.now;
        match item {
            StateMessage::LeaseRequest(id, ask) => {
                let lent = self.budgets.get_mut(&id).map(|held| held.budget.grant_lease(now, from, ask));
                if let Some(Ok(grant)) = lent {
                    self.enqueue(from, StateMessage::LeaseGrant(id, grant));
                }
            }
            StateMessage::LeaseGrant(id, grant) => {
                if let Some(held) = self.budgets.get_mut(&id) {
                    // One that comes too late is asked for again.
                    let _ = held.budget.accept_lease(now, from, grant);
                }
            }
            StateMessage::Evidence(told) => {
                self.outlier_reports.handle_message(now, from, told);
            }
            StateMessage::Count(key, cell) => {
                self.counts.merge_remote(
                    now,
                    from,
                    &ReplicaCounts { incarnation: generation, cells: [(key, cell)].into() },
                );
            }
            StateMessage::CountsDigest(number, hash) => {
                self.handle_counts_digest(from, generation, number, hash)
            }
            StateMessage::ResendCounts => {
                let keys: Vec<CounterKey> = self.count_recipients.keys().copied().collect();
                keys.into_iter().for_each(|key| self.send_count(key, Some(from)));
            }
            StateMessage::TotalRequest(key) => {
                let reading = self.counts.total(key);
                let gateways = reading.gateway_count.min(usize::from(u16::MAX)) as u16;
                let age = reading.max_age.as_millis().min(u128::from(u16::MAX)) as u16;
                self.enqueue(from, StateMessage::Total(key, reading.sum, gateways, age));
            }
            StateMessage::Total(key, sum, gateways, age) => {
                if self.cached_totals.len() < MAX_CACHED_TOTALS || self.cached_totals.contains_key(&key) {
                    let oldest = Duration::from_millis(u64::from(age));
                    self.cached_totals.insert(
                        key,
                        (FleetTotal { sum, gateway_count: usize::from(gateways), max_age: oldest }, now),
                    );
                }
            }
            StateMessage::SnapshotRequest => self.send_snapshot(from),
            StateMessage::SnapshotCount(slot, generation, key, cell) if !self.is_started => {
                self.counts.merge_remote(
                    now,
                    slot,
                    &ReplicaCounts { incarnation: generation, cells: [(key, cell)].into() },
                );
            }
            StateMessage::SnapshotCount(..) => {}
            StateMessage::SnapshotEnd => self.is_started = true,
            StateMessage::AllocationVersion(at) => {
                let mut answer = None;
                self.with_agreement(|it| answer = it.handle_message(from, at).then(|| it.next_message()));
                if let Some(at) = answer {
                    self.enqueue(from, StateMessage::AllocationVersion(at));
                }
            }
        }
    }

    /// The sender's counts are as it said last, or it is asked to say them again.
    fn handle_counts_digest(&mut self, from: Slot, generation: u64, number: u32, hash: u64) {
        let row = self.counts.table().rows().get(&from).filter(|row| row.incarnation == generation);
        let mut kept: Vec<_> =
            row.into_iter().flat_map(|row| row.cells.iter().map(|it| (*it.0, it.1.version))).collect();
        kept.retain(|it| self.is_replica_of(it.0));
        let later = self.last_digests.get(&from).is_none_or(|&last| last < (generation, number));
        if later {
            // One that was aged out is there after all: its counts are news again.
            self.counts.record_heartbeat(self.now, from, generation);
            self.last_digests.insert(from, (generation, number));
        }
        if counts_digest(kept.into_iter()) != hash {
            self.enqueue(from, StateMessage::ResendCounts);
        }
    }

    /// What a gateway that starts is to keep, as far as it is known here.
    fn send_snapshot(&mut self, to: Slot) {
        let mut items = Vec::new();
        for (&slot, row) in self.counts.table().rows() {
            for (&key, &cell) in &row.cells {
                if items.len() < MAX_SNAPSHOT_COUNTS && slot != to {
                    items.push(StateMessage::SnapshotCount(slot, row.incarnation, key, cell));
                }
            }
        }
        items.push(StateMessage::SnapshotEnd);
        items.into_iter().for_each(|item| self.enqueue(to, item));
    }

    /// The next datagram to be sent, and to whom: the most useful first, several items in one.
    pub fn next_datagram(&mut self) -> Option<(Slot, Vec<u8>)> {
        if self.send_tokens < 1.0 {
            return None;
        }
        let first = |it: &(&Slot, &BTreeMap<(u8, u64), StateMessage>)| it.1.keys().next().copied();
        let to = *self.outgoing.iter().filter(|it| !it.1.is_empty()).min_by_key(first)?.0;
        let mut bytes = delta::encode_header(self.config.tier, self.own_slot, self.incarnation);
        let sent = self.fill_datagram(to, &mut bytes, MAX_DATAGRAM);
        debug_assert!(sent > 0, "an item is shorter than a datagram");
        self.send_tokens -= 1.0;
        self.traffic.sent.0 += 1;
        self.traffic.sent.1 += bytes.len() as u64;
        Some((to, bytes))
    }

    /// Puts what waits for `to` into a datagram of at most `room` bytes; how many items that were.
    fn fill_datagram(&mut self, to: Slot, bytes: &mut Vec<u8>, room: usize) -> usize {
        let Some(queue) = self.outgoing.get_mut(&to) else { return 0 };
        let mut sent = 0;
        while let Some(entry) = queue.first_entry() {
            if !delta::append_message(bytes, entry.get(), room.min(MAX_DATAGRAM)) {
                break;
            }
            entry.remove();
            sent += 1;
        }
        if queue.is_empty() {
            self.outgoing.remove(&to);
        }
        sent
    }

    /// A datagram of at most `room` bytes for `to`, who is sent to anyway: it rides along with the view's.
    pub fn piggyback_datagram(&mut self, to: Slot, room: usize) -> Option<Vec<u8>> {
        let mut bytes = delta::encode_header(self.config.tier, self.own_slot, self.incarnation);
        (self.fill_datagram(to, &mut bytes, room) > 0).then_some(bytes)
    }

    /// What has been counted.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Holds all of it against the invariants; `ready` as in [`Judgements::check`].
    ///
    /// # Errors
    ///
    /// Names the first that is broken.
    pub fn check(&self, ready: &[(u32, u64)]) -> Result<(), Violation> {
        self.counts.check()?;
        self.outlier_reports.check(ready)?;
        self.agreement.as_ref().map_or(Ok(()), AllocationAgreement::check)?;
        self.budgets.values().try_for_each(|held| held.budget.check())?;
        let most = self.outgoing.values().map(BTreeMap::len).max().unwrap_or(0);
        let tables = [
            ("peers waited for", self.outgoing.len(), MAX_QUEUED.1),
            ("items for a peer", most, MAX_QUEUED.0),
        ];
        match tables.into_iter().find(|&(_, found, most)| found > most) {
            Some((table, found, most)) => Err(Violation::OverFull { table, found, most }),
            None => Ok(()),
        }
    }
}

/// Whom a gateway asks for rights of a budget.
fn choose_grantors(id: u32, own: Slot, roots: &BTreeMap<Slot, InitialShare>) -> Vec<Slot> {
    let lenders = roots.iter().filter(|it| it.1.lendable > 0 && *it.0 != own).map(|it| *it.0);
    rendezvous(mix(u64::from(id), u64::from(own.0)), lenders, GRANTORS_PER_BUDGET)
}

fn key_hash(key: CounterKey) -> u64 {
    match key {
        CounterKey::OpenOnServer(id) => mix(1, u64::from(id)),
        CounterKey::OpenForPartner(id) => mix(2, u64::from(id)),
        CounterKey::SentToServer(id) => mix(3, u64::from(id)),
    }
}

/// The same for the same cells in any order.
fn counts_digest(cells: impl Iterator<Item = (CounterKey, u32)>) -> u64 {
    cells.fold(0, |sum, (key, version)| sum ^ mix(key_hash(key), u64::from(version)))
}
