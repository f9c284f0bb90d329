//! Outlier reports: what gateways observed of servers, never what they concluded from it.
//!
//! Evidence counts only from the gateway that observed it, so nobody can speak for another, and it includes what
//! succeeded, too: a server that three cannot reach and thirty can is no outlier. What follows from it is computed by
//! each gateway anew.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::mutation::{ActiveMutation, Mutation};
use super::{Slot, Violation, mix};

/// Evidence that is older has no weight.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(24);
/// Time in which the weight of evidence falls by half.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(6);
/// Observers that are kept of one server and kind; which ones, no observer can choose.
pub const MAX_OBSERVERS: usize = 16;
/// Servers and kinds that are kept.
pub const MAX_EVIDENCE_SETS: usize = 2048;
/// Successful attempts that each observer is given: one failure of one attempt weighs a half, two of two two thirds. A
/// gateway that ejects a server makes no more attempts than these for seconds.
const PRIOR_ATTEMPTS: u32 = 1;
/// The weight of one full observer.
const FULL_WEIGHT: u32 = 1_000;
/// The weight from which an observer counts for the quorum.
const QUORUM_WEIGHT: u32 = 250;
/// The mean weight of all observers from which a server is an outlier.
const EJECT_WEIGHT: u32 = 500;
/// The weight down to which an outlier remains one: evidence falls while nobody tries the server, and it would come and
/// go with each attempt.
const RETAIN_WEIGHT: u32 = 350;

/// What was observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EvidenceKind {
    /// It refuses, resets or cannot be connected to.
    Failing,
    /// It does not answer.
    Silent,
    /// It sheds load, or reports that it is overrun.
    Overrun,
    /// It takes longer than similar servers.
    Slow,
}

/// What one observer observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Evidence {
    /// The observer's incarnation and, within it, a rising number: the later evidence replaces the earlier.
    pub stamp: (u64, u32),
    /// Attempts on which it was observed.
    pub observed: u16,
    /// Attempts in all.
    pub attempts: u16,
    /// When, by the time of the gateway that keeps it; the earliest that it was received with.
    pub observed_at: Duration,
}

impl Evidence {
    /// The later stamp; of two with one, that which weighs less by its age.
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

    /// The part of attempts on which it was observed, with the prior, falling with age; [`FULL_WEIGHT`] at most.
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

/// The evidence on one server of one kind: a join semilattice. An observer's later evidence replaces its earlier; of
/// more than [`MAX_OBSERVERS`] those that come first by the server's name are kept, so any order ends alike.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvidenceSet {
    by_observer: BTreeMap<(u64, Slot), Evidence>,
}

impl EvidenceSet {
    /// Where the evidence of an observer is kept.
    fn key(server: u32, observer: Slot) -> (u64, Slot) {
        (mix(u64::from(server), u64::from(observer.0)), observer)
    }

    /// Inserts what `observer` observed of `server`; true where that was news.
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

    /// The weights that have not expired, each with its observer.
    fn weights(&self, now: Duration) -> impl Iterator<Item = (Slot, u32)> {
        let current = self.by_observer.iter().filter(move |(_, evidence)| !evidence.has_expired(now));
        current.map(move |(&(_, observer), evidence)| (observer, evidence.weight_at(now)))
    }
}

/// What a gateway sends of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceMessage {
    /// The server, by a hash of its name.
    pub server: u32,
    /// What was observed.
    pub kind: EvidenceKind,
    /// The observer's incarnation.
    pub incarnation: u64,
    /// Rises within it.
    pub sequence: u32,
    /// Attempts on which it was observed.
    pub observed: u16,
    /// Attempts in all.
    pub attempts: u16,
    /// How long ago, in milliseconds: times are not compared between gateways.
    pub age_ms: u16,
}

/// What outlier reports may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutlierLimits {
    /// Observers needed for an effect on all gateways.
    pub quorum: usize,
    /// Thousandths of the ready capacity that may be ejected together.
    pub max_ejected_permille: u64,
    /// Kinds of evidence that eject a server.
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

/// A server that may be ejected, in the order in which they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    weight: Reverse<u32>,
    server: u32,
    kind: EvidenceKind,
    capacity: u64,
}

/// One gateway's evidence, its own and what it has received.
#[derive(Debug, Clone)]
pub struct OutlierReports {
    own_slot: Slot,
    incarnation: u64,
    limits: OutlierLimits,
    now: Duration,
    last_sequence: u32,
    evidence: BTreeMap<(u32, EvidenceKind), EvidenceSet>,
    /// What was an outlier last.
    ejected: BTreeSet<u32>,
    mutation: ActiveMutation,
}

impl OutlierReports {
    /// The evidence of the gateway at `own_slot`, in this incarnation.
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

    /// Puts a mutation in.
    #[cfg(feature = "mutation")]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation.mutation = Some(mutation);
    }

    /// Goes on as a later incarnation: what is observed from now on replaces what the earlier observed.
    pub fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
    }

    /// Whether anybody has evidence against a server.
    #[must_use]
    pub fn has_evidence_against(&self, server: u32, kind: EvidenceKind) -> bool {
        let evidence = self.evidence.get(&(server, kind));
        evidence.is_some_and(|evidence| evidence.weights(self.now).any(|(_, weight)| weight > 0))
    }

    /// Records what this gateway itself observed, on `observed` of `attempts` attempts up to now. It replaces what it
    /// observed before.
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

    /// Handles what `observer` itself sends; true where that was news. The caller knows who sent the datagram.
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

    /// Lets time pass; evidence that has expired is dropped.
    pub fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let now = self.now;
        for set in self.evidence.values_mut() {
            set.by_observer.retain(|_, evidence| !evidence.has_expired(now));
        }
        self.evidence.retain(|_, set| !set.by_observer.is_empty());
    }

    /// This gateway's own evidence, to be sent.
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

    /// The weight of one kind of evidence against a server, in thousandths: the mean over its observers, and over a
    /// quorum where there are fewer. One observer moves it by at most a quorum's part.
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

    /// Observers that count for the quorum.
    fn observer_count(&self, server: u32, kind: EvidenceKind) -> usize {
        let Some(set) = self.evidence.get(&(server, kind)) else { return 0 };
        set.weights(self.now).filter(|&(_, weight)| weight >= QUORUM_WEIGHT).count()
    }

    /// As [`outliers`](Self::outliers), and those are ejected from now on: a server stays so until little evidence
    /// against it is left.
    pub fn update_outliers(&mut self, ready: &[(u32, u64)]) -> Vec<(u32, EvidenceKind)> {
        let outliers = self.outliers(ready);
        self.ejected = outliers.iter().map(|&(server, _)| server).collect();
        outliers
    }

    /// Which of the `ready` servers, each with its capacity, are outliers, by each server's worst kind: those with most
    /// evidence against them, as far as the limit allows.
    #[must_use]
    pub fn outliers(&self, ready: &[(u32, u64)]) -> Vec<(u32, EvidenceKind)> {
        let mut candidates: Vec<Candidate> =
            ready.iter().filter_map(|&(server, capacity)| self.candidate(server, capacity)).collect();
        candidates.sort_unstable();
        let mut room = self.ejectable_capacity(ready);
        let mut outliers = Vec::new();
        for candidate in candidates {
            if candidate.capacity <= room {
                room -= candidate.capacity;
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
        let least = if self.ejected.contains(&server) { RETAIN_WEIGHT } else { EJECT_WEIGHT };
        (weight >= least).then_some(Candidate { weight: Reverse(weight), server, kind, capacity })
    }

    fn ejectable_capacity(&self, ready: &[(u32, u64)]) -> u64 {
        total_capacity(ready).saturating_mul(self.limits.max_ejected_permille) / 1_000
    }

    /// Checks the invariants of the evidence, and of the outliers of `ready`.
    ///
    /// # Errors
    ///
    /// Names the first that does not hold.
    pub fn check(&self, ready: &[(u32, u64)]) -> Result<(), Violation> {
        let mut out = 0;
        let most = self.ejectable_capacity(ready);
        for (server, kind) in self.outliers(ready) {
            let quorum = self.limits.quorum;
            let observers = self.observer_count(server, kind);
            if observers < quorum {
                return Err(Violation::NoQuorum { server, observers, quorum });
            }
            out +=
                ready.iter().filter(|&&(key, _)| key == server).map(|&(_, capacity)| capacity).sum::<u64>();
        }
        if out > most {
            return Err(Violation::TooMuchEjected { out, ready: total_capacity(ready), most });
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
