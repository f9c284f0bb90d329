//! Outlier reports: the observations of gateways about servers, not their conclusions.
//!
//! Evidence is accepted only from the gateway that observed it, so no gateway can report in the name of
//! another. Evidence includes successful attempts: a server that three gateways cannot reach and thirty can
//! is no outlier. Each gateway computes the outliers itself.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::mutation::{ActiveMutation, Mutation};
use super::{Slot, Violation, mix};

/// Age at which evidence expires and has no weight.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(24);
/// Half-life of the weight of evidence.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(6);
/// Maximum number of observers stored per server and kind of evidence. A hash selects them, so that no
/// observer can influence the selection.
pub const MAX_OBSERVERS: usize = 16;
/// Maximum number of evidence sets, one per server and kind of evidence.
pub const MAX_EVIDENCE_SETS: usize = 2048;
/// Number of successful attempts added to those of each observer: one failure in one attempt has a weight of
/// one half, two failures in two attempts of two thirds. A gateway that ejects a server makes no further
/// attempts for seconds.
const PRIOR_ATTEMPTS: u32 = 1;
/// Weight of one full observer, in thousandths.
const FULL_WEIGHT: u32 = 1_000;
/// Minimum weight at which an observer counts for the quorum, in thousandths.
const QUORUM_WEIGHT: u32 = 250;
/// Minimum mean weight of all observers at which a server becomes an outlier, in thousandths.
const EJECT_WEIGHT: u32 = 500;
/// Minimum mean weight at which an ejected server remains an outlier, in thousandths. It is lower than
/// [`EJECT_WEIGHT`] because the weight decays while no gateway tries the server; with one limit the server
/// would alternate between ejected and in use with each attempt.
const RETAIN_WEIGHT: u32 = 350;

/// A kind of evidence against a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EvidenceKind {
    /// Connections to the server are refused, reset or cannot be established.
    Failing,
    /// The server does not answer.
    Silent,
    /// The server sheds load, or reports that it is overloaded.
    Overrun,
    /// The server has longer response times than similar servers.
    Slow,
}

/// The evidence of one observer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Evidence {
    /// Incarnation of the observer, and a sequence number that increases within it. Later evidence replaces
    /// earlier.
    pub stamp: (u64, u32),
    /// Number of attempts in which the kind of evidence was observed.
    pub observed: u16,
    /// Total number of attempts.
    pub attempts: u16,
    /// Time of the observation, on the clock of the gateway that stores it: the earliest of all received
    /// copies.
    pub observed_at: Duration,
}

impl Evidence {
    /// Joins two pieces of evidence of one observer: the one with the later stamp. For equal stamps, the
    /// result has the larger counts and the earlier time, which gives less weight by age.
    fn join(self, other: Self) -> Self {
        match self.stamp.cmp(&other.stamp) {
            Ordering::Less => other,
            Ordering::Greater => self,
            Ordering::Equal => {
                let (observed, attempts) =
                    (self.observed, self.attempts).max((other.observed, other.attempts));
                let observed_at = self.observed_at.min(other.observed_at);
                Self { observed, attempts, observed_at, ..self }
            }
        }
    }

    fn has_expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.observed_at) >= EVIDENCE_LIFETIME
    }

    /// Returns the weight at `now`: the part of attempts in which the evidence was observed, with
    /// [`PRIOR_ATTEMPTS`] and exponential decay. It is at most [`FULL_WEIGHT`].
    fn weight_at(self, now: Duration) -> u32 {
        if self.has_expired(now) {
            return 0;
        }
        let observed = u32::from(self.observed.min(self.attempts));
        let part = FULL_WEIGHT * observed / (u32::from(self.attempts) + PRIOR_ATTEMPTS);
        let age = now.saturating_sub(self.observed_at);
        let decay = 0.5f64.powf(age.as_secs_f64() / EVIDENCE_HALF_LIFE.as_secs_f64());
        (f64::from(part) * decay) as u32
    }
}

/// The evidence of one kind against one server: a join semilattice. Later evidence of an observer replaces
/// its earlier evidence. Of more than [`MAX_OBSERVERS`] observers, those that are first by a hash of server
/// and observer are retained, so that the result does not depend on the order of insertion.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvidenceSet {
    by_observer: BTreeMap<(u64, Slot), Evidence>,
}

impl EvidenceSet {
    /// Returns the key of the evidence of `observer`.
    fn key(server: u32, observer: Slot) -> (u64, Slot) {
        (mix(u64::from(server), u64::from(observer.0)), observer)
    }

    /// Inserts the evidence of `observer` against `server`. Returns true if the set changed and includes the
    /// evidence.
    pub fn insert(&mut self, server: u32, observer: Slot, evidence: Evidence) -> bool {
        let key = Self::key(server, observer);
        let before = self.by_observer.get(&key).copied();
        let after = before.map_or(evidence, |known| known.join(evidence));
        self.by_observer.insert(key, after);
        if self.by_observer.len() > MAX_OBSERVERS {
            self.by_observer.pop_last();
        }
        before != Some(after) && self.by_observer.contains_key(&key)
    }

    /// Merges another set of the same server and kind.
    pub fn merge(&mut self, other: &Self, server: u32) {
        for (&(_, observer), &evidence) in &other.by_observer {
            self.insert(server, observer, evidence);
        }
    }

    fn get(&self, server: u32, observer: Slot) -> Option<&Evidence> {
        self.by_observer.get(&Self::key(server, observer))
    }

    /// Returns the observers whose evidence has not expired, with their weights.
    fn weights(&self, now: Duration) -> impl Iterator<Item = (Slot, u32)> {
        let current = self.by_observer.iter().filter(move |(_, evidence)| !evidence.has_expired(now));
        current.map(move |(&(_, observer), evidence)| (observer, evidence.weight_at(now)))
    }
}

/// The evidence of a gateway against a server, as it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceMessage {
    /// The server, by a hash of its name.
    pub server: u32,
    /// The kind of evidence.
    pub kind: EvidenceKind,
    /// The incarnation of the observer.
    pub incarnation: u64,
    /// Sequence number of the evidence, increasing within the incarnation.
    pub sequence: u32,
    /// Number of attempts in which the kind of evidence was observed.
    pub observed: u16,
    /// Total number of attempts.
    pub attempts: u16,
    /// Age of the evidence in milliseconds. An age is sent because clocks of different gateways are not
    /// compared.
    pub age_ms: u16,
}

/// Limits on the effect of outlier reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutlierLimits {
    /// Number of observers required to eject a server.
    pub quorum: usize,
    /// Maximum part of the ready capacity that may be ejected at a time, in thousandths.
    pub max_ejected_permille: u64,
    /// Kinds of evidence that can eject a server.
    pub ejecting_kinds: &'static [EvidenceKind],
}

impl Default for OutlierLimits {
    fn default() -> Self {
        Self {
            quorum: 3,
            max_ejected_permille: 200,
            ejecting_kinds: &[
                EvidenceKind::Failing,
                EvidenceKind::Silent,
                EvidenceKind::Overrun,
                EvidenceKind::Slow,
            ],
        }
    }
}

/// A candidate for ejection. Candidates are ejected in ascending order, so those with the highest weight come
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    weight: Reverse<u32>,
    server: u32,
    kind: EvidenceKind,
    capacity: u64,
}

/// The evidence at one gateway: its own, and that received from other gateways.
#[derive(Debug, Clone)]
pub struct OutlierReports {
    own_slot: Slot,
    incarnation: u64,
    limits: OutlierLimits,
    now: Duration,
    last_sequence: u32,
    evidence: BTreeMap<(u32, EvidenceKind), EvidenceSet>,
    /// Servers that were outliers at the last update.
    ejected: BTreeSet<u32>,
    mutation: ActiveMutation,
}

impl OutlierReports {
    /// Creates the reports of the gateway at `own_slot` in this incarnation.
    #[must_use]
    pub fn new(own_slot: Slot, incarnation: u64, limits: OutlierLimits, now: Duration) -> Self {
        Self {
            own_slot,
            incarnation,
            limits,
            now,
            last_sequence: 0,
            evidence: BTreeMap::new(),
            ejected: BTreeSet::new(),
            mutation: ActiveMutation::default(),
        }
    }

    /// Activates a mutation.
    #[cfg(feature = "mutation")]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation.mutation = Some(mutation);
    }

    /// Continues as a later incarnation, whose evidence replaces that of the earlier one.
    pub fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
    }

    /// Returns whether any observer has evidence of the given kind against a server.
    #[must_use]
    pub fn has_evidence_against(&self, server: u32, kind: EvidenceKind) -> bool {
        let evidence = self.evidence.get(&(server, kind));
        evidence.is_some_and(|evidence| evidence.weights(self.now).any(|(_, weight)| weight > 0))
    }

    /// Records an observation of this gateway in `observed` of the latest `attempts` attempts. It replaces
    /// the earlier evidence of this gateway.
    pub fn record_observation(
        &mut self,
        now: Duration,
        server: u32,
        kind: EvidenceKind,
        observed: u16,
        attempts: u16,
    ) {
        self.advance_to(now);
        self.last_sequence += 1;
        let stamp = (self.incarnation, self.last_sequence);
        let evidence = Evidence { stamp, observed, attempts, observed_at: self.now };
        self.insert(server, kind, self.own_slot, evidence);
    }

    /// Handles evidence sent by `observer` itself. Returns true if the evidence is new. The caller must
    /// verify the sender of the datagram.
    pub fn handle_message(&mut self, now: Duration, observer: Slot, message: EvidenceMessage) -> bool {
        self.advance_to(now);
        let age = Duration::from_millis(u64::from(message.age_ms));
        if observer == self.own_slot || age >= EVIDENCE_LIFETIME {
            return false;
        }
        let evidence = Evidence {
            stamp: (message.incarnation, message.sequence),
            observed: message.observed,
            attempts: message.attempts,
            observed_at: self.now.saturating_sub(age),
        };
        self.insert(message.server, message.kind, observer, evidence)
    }

    fn insert(&mut self, server: u32, kind: EvidenceKind, observer: Slot, evidence: Evidence) -> bool {
        let key = (server, kind);
        if self.evidence.len() >= MAX_EVIDENCE_SETS && !self.evidence.contains_key(&key) {
            return false;
        }
        self.evidence.entry(key).or_default().insert(server, observer, evidence)
    }

    /// Advances the time to `now` and drops expired evidence.
    pub fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let now = self.now;
        for set in self.evidence.values_mut() {
            set.by_observer.retain(|_, evidence| !evidence.has_expired(now));
        }
        self.evidence.retain(|_, set| !set.by_observer.is_empty());
    }

    /// Returns the evidence of this gateway, to be sent.
    pub fn own_evidence(&self) -> impl Iterator<Item = EvidenceMessage> {
        self.evidence.iter().filter_map(|(&(server, kind), set)| {
            let evidence = set.get(server, self.own_slot)?;
            let age = self.now.saturating_sub(evidence.observed_at);
            let (incarnation, sequence) = evidence.stamp;
            Some(EvidenceMessage {
                server,
                kind,
                incarnation,
                sequence,
                observed: evidence.observed,
                attempts: evidence.attempts,
                age_ms: age.as_millis().min(u128::from(u16::MAX)) as u16,
            })
        })
    }

    fn quorum(&self) -> usize {
        if self.mutation.is(Mutation::NoQuorum) { 1 } else { self.limits.quorum }
    }

    /// Returns the weight of one kind of evidence against a server, in thousandths: the sum of the weights
    /// divided by the number of observers, or by the quorum if there are fewer observers. So one observer
    /// changes the weight by at most one part in a quorum.
    #[must_use]
    pub fn evidence_weight(&self, server: u32, kind: EvidenceKind) -> u32 {
        let Some(set) = self.evidence.get(&(server, kind)) else { return 0 };
        let mut sum = 0;
        let mut observers = 0;
        for (_, weight) in set.weights(self.now) {
            sum += weight;
            observers += 1;
        }
        sum / observers.max(self.quorum()).max(1) as u32
    }

    /// Returns the number of observers that count for the quorum.
    fn observer_count(&self, server: u32, kind: EvidenceKind) -> usize {
        let Some(set) = self.evidence.get(&(server, kind)) else { return 0 };
        set.weights(self.now).filter(|&(_, weight)| weight >= QUORUM_WEIGHT).count()
    }

    /// Returns the [`outliers`](Self::outliers) and records them as ejected. An ejected server remains an
    /// outlier until the weight of the evidence falls below `RETAIN_WEIGHT`.
    pub fn update_outliers(&mut self, ready: &[(u32, u64)]) -> Vec<(u32, EvidenceKind)> {
        let outliers = self.outliers(ready);
        self.ejected = outliers.iter().map(|&(server, _)| server).collect();
        outliers
    }

    /// Returns the outliers among the `ready` servers (pairs of server and capacity), each with the kind of
    /// evidence of the highest weight. Servers with the highest weight come first, up to the limit on the
    /// ejected capacity.
    #[must_use]
    pub fn outliers(&self, ready: &[(u32, u64)]) -> Vec<(u32, EvidenceKind)> {
        let mut candidates: Vec<Candidate> =
            ready.iter().filter_map(|&(server, capacity)| self.candidate(server, capacity)).collect();
        candidates.sort_unstable();
        let mut remaining_capacity = self.ejectable_capacity(ready);
        let mut outliers = Vec::new();
        for candidate in candidates {
            if candidate.capacity <= remaining_capacity {
                remaining_capacity -= candidate.capacity;
                outliers.push((candidate.server, candidate.kind));
            }
        }
        outliers
    }

    fn candidate(&self, server: u32, capacity: u64) -> Option<Candidate> {
        let quorum = self.quorum();
        let has_quorum = |kind: &&EvidenceKind| self.observer_count(server, **kind) >= quorum;
        let kinds = self.limits.ejecting_kinds.iter().filter(has_quorum);
        let (weight, kind) = kinds.map(|&kind| (self.evidence_weight(server, kind), kind)).max()?;
        let min_weight = if self.ejected.contains(&server) { RETAIN_WEIGHT } else { EJECT_WEIGHT };
        (weight >= min_weight).then_some(Candidate { weight: Reverse(weight), server, kind, capacity })
    }

    fn ejectable_capacity(&self, ready: &[(u32, u64)]) -> u64 {
        total_capacity(ready).saturating_mul(self.limits.max_ejected_permille) / 1_000
    }

    /// Checks the invariants of the evidence, and of the outliers among the `ready` servers.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn check(&self, ready: &[(u32, u64)]) -> Result<(), Violation> {
        let mut ejected_capacity = 0;
        let most = self.ejectable_capacity(ready);
        for (server, kind) in self.outliers(ready) {
            let quorum = self.limits.quorum;
            let observers = self.observer_count(server, kind);
            if observers < quorum {
                return Err(Violation::NoQuorum { server, observers, quorum });
            }
            ejected_capacity +=
                ready.iter().filter(|&&(key, _)| key == server).map(|&(_, capacity)| capacity).sum::<u64>();
        }
        if ejected_capacity > most {
            return Err(Violation::TooMuchEjected {
                ejected: ejected_capacity,
                ready: total_capacity(ready),
                most,
            });
        }
        for (&(server, _), set) in &self.evidence {
            if let Some((observer, weight)) = set.weights(self.now).find(|&(_, weight)| weight > FULL_WEIGHT)
            {
                return Err(Violation::OverWeight { observer, server, weight });
            }
        }
        let widest = self.evidence.values().map(|set| set.by_observer.len()).max().unwrap_or(0);
        Violation::check_size("judgements", self.evidence.len(), MAX_EVIDENCE_SETS)?;
        Violation::check_size("observers", widest, MAX_OBSERVERS)
    }
}

fn total_capacity(ready: &[(u32, u64)]) -> u64 {
    ready.iter().map(|&(_, capacity)| capacity).sum()
}
