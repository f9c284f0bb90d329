//! Judgements on servers: what gateways saw, never what they made of it.
//!
//! Evidence counts only from the gateway that saw it, so nobody can speak for another, and it tells what went well, too:
//! a server that three cannot reach and thirty can is not out. What follows from it is reckoned by each gateway anew.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::broken::{ActiveMutation, Mutation};
use super::{Slot, Violation, mix};

/// Evidence that is older weighs nothing.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(24);
/// Time in which the weight of evidence falls by half.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(6);
/// Observers that are kept of one server and kind; which, no observer can choose.
pub const MAX_OBSERVERS: usize = 16;
/// Servers and kinds that are kept.
pub const MAX_EVIDENCE_SETS: usize = 2048;
/// Attempts beyond what is seen that evidence is weighed against (one that went well): one failure of one attempt weighs
/// a half, two of two two thirds. A gateway that sets a server aside has no more than these for seconds.
const PRIOR_ATTEMPTS: u32 = 1;
/// Thousandths from which an observer counts for the quorum.
const QUORUM_WEIGHT: u32 = 250;
/// Thousandths of all observers' weight from which a server is out of use.
const EJECT_WEIGHT: u32 = 500;
/// Thousandths down to which one that is out stays so: evidence falls while nobody tries the server, and it would come
/// and go with each trial.
const RETAIN_WEIGHT: u32 = 350;

/// What was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EvidenceKind {
    /// It refuses, resets or cannot be connected to.
    Failing,
    /// It does not answer.
    Silent,
    /// It sheds, or says that it is overrun.
    Overrun,
    /// It takes longer than its like.
    Slow,
}

/// What one observer saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Evidence {
    /// The observer's life and, within it, a number that counts on: the later evidence replaces the earlier.
    pub stamp: (u64, u32),
    /// Attempts on which it was seen.
    pub observed: u16,
    /// Attempts in all.
    pub attempts: u16,
    /// When, by the time of who keeps it; the earliest that it was told with.
    pub observed_at: Duration,
}

impl Evidence {
    /// The later stamp; of two with one, that which weighs less by its age.
    fn join(self, other: Self) -> Self {
        match self.stamp.cmp(&other.stamp) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => {
                let (saw, of) = (self.observed, self.attempts).max((other.observed, other.attempts));
                Self {
                    observed: saw,
                    attempts: of,
                    observed_at: self.observed_at.min(other.observed_at),
                    ..self
                }
            }
        }
    }

    /// Thousandths of a full observer: the part of attempts on which it was seen, against the prior, falling with age.
    fn weight_at(self, now: Duration) -> u32 {
        let age = now.saturating_sub(self.observed_at);
        if age >= EVIDENCE_LIFETIME {
            return 0;
        }
        let (saw, of) = (u32::from(self.observed.min(self.attempts)), u32::from(self.attempts));
        let fallen = 0.5f64.powf(age.as_secs_f64() / EVIDENCE_HALF_LIFE.as_secs_f64());
        (f64::from(1_000 * saw / (of + PRIOR_ATTEMPTS)) * fallen) as u32
    }
}

/// The evidence on one server of one kind: a join semilattice. An observer's later evidence replaces its earlier; of
/// more than [`MAX_OBSERVERS`] those that come first by the server's name are kept, so any order ends alike.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvidenceSet {
    by_observer: BTreeMap<(u64, Slot), Evidence>,
}

impl EvidenceSet {
    /// Takes in what `observer` saw of `server`; true where that was news.
    pub fn insert(&mut self, server: u32, observer: Slot, evidence: Evidence) -> bool {
        let key = (mix(u64::from(server), u64::from(observer.0)), observer);
        let before = self.by_observer.get(&key).copied();
        let after = before.map_or(evidence, |kept| kept.join(evidence));
        self.by_observer.insert(key, after);
        if self.by_observer.len() > MAX_OBSERVERS {
            self.by_observer.pop_last();
        }
        before != Some(after) && self.by_observer.contains_key(&key)
    }

    /// Takes in all of another board of the same server and kind.
    pub fn merge(&mut self, other: &Self, server: u32) {
        for (&(_, observer), &evidence) in &other.by_observer {
            self.insert(server, observer, evidence);
        }
    }

    /// Weights that are not nought of age, each with its observer.
    fn weights(&self, now: Duration) -> impl Iterator<Item = (Slot, u32)> {
        let fresh = self
            .by_observer
            .iter()
            .filter(move |it| now.saturating_sub(it.1.observed_at) < EVIDENCE_LIFETIME);
        fresh.map(move |(&(_, observer), evidence)| (observer, evidence.weight_at(now)))
    }
}

/// What a gateway tells of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceMessage {
    /// The server, by a hash of its name.
    pub server: u32,
    /// What was seen.
    pub kind: EvidenceKind,
    /// The observer's life.
    pub incarnation: u64,
    /// Counts on within it.
    pub sequence: u32,
    /// Attempts on which it was seen.
    pub observed: u16,
    /// Attempts in all.
    pub attempts: u16,
    /// How long ago, in milliseconds: times are not compared between gateways.
    pub age_ms: u16,
}

/// What judgements may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutlierLimits {
    /// Observers needed for a fleet-wide effect.
    pub quorum: usize,
    /// Thousandths of the ready capacity that may be out of use by judgements together.
    pub max_ejected_permille: u64,
    /// Kinds of evidence that take a server out of use.
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

/// One gateway's evidence, its own and what it has heard.
#[derive(Debug, Clone)]
pub struct OutlierReports {
    own_slot: Slot,
    incarnation: u64,
    limits: OutlierLimits,
    now: Duration,
    last_sequence: u32,
    evidence: BTreeMap<(u32, EvidenceKind), EvidenceSet>,
    /// What was out of use last.
    ejected: BTreeSet<u32>,
    mutation: ActiveMutation,
}

impl OutlierReports {
    /// The evidence of the gateway at `own`, whose life began at `generation`.
    #[must_use]
    pub fn new(own: Slot, generation: u64, rules: OutlierLimits, now: Duration) -> Self {
        let (boards, held) = (BTreeMap::new(), BTreeSet::new());
        Self {
            own_slot: own,
            incarnation: generation,
            limits: rules,
            now,
            last_sequence: 0,
            evidence: boards,
            ejected: held,
            mutation: ActiveMutation::default(),
        }
    }

    /// Breaks it on purpose.
    #[cfg(feature = "broken")]
    pub fn set_mutation(&mut self, broken: Mutation) {
        self.mutation.mutation = Some(broken);
    }

    /// Goes on as a later life: what is seen from now on replaces what the earlier saw.
    pub fn restart(&mut self, generation: u64) {
        self.incarnation = generation;
    }

    /// Whether anybody's evidence speaks against a server.
    #[must_use]
    pub fn has_evidence_against(&self, server: u32, kind: EvidenceKind) -> bool {
        self.evidence.get(&(server, kind)).is_some_and(|board| board.weights(self.now).any(|it| it.1 > 0))
    }

    /// What this gateway itself saw, on `saw` of `of` attempts up to now. It replaces what it saw before.
    pub fn record_observation(&mut self, now: Duration, server: u32, kind: EvidenceKind, saw: u16, of: u16) {
        self.advance_to(now);
        self.last_sequence += 1;
        let evidence = Evidence {
            stamp: (self.incarnation, self.last_sequence),
            observed: saw,
            attempts: of,
            observed_at: self.now,
        };
        self.insert(server, kind, self.own_slot, evidence);
    }

    /// Takes in what `observer` itself tells; true where that was news. The caller knows by whom the datagram was sent.
    pub fn handle_message(&mut self, now: Duration, observer: Slot, told: EvidenceMessage) -> bool {
        self.advance_to(now);
        let age = Duration::from_millis(u64::from(told.age_ms));
        if observer == self.own_slot || age >= EVIDENCE_LIFETIME {
            return false;
        }
        let at = self.now.saturating_sub(age);
        let evidence = Evidence {
            stamp: (told.incarnation, told.sequence),
            observed: told.observed,
            attempts: told.attempts,
            observed_at: at,
        };
        self.insert(told.server, told.kind, observer, evidence)
    }

    fn insert(&mut self, server: u32, kind: EvidenceKind, observer: Slot, evidence: Evidence) -> bool {
        let key = (server, kind);
        if self.evidence.len() >= MAX_EVIDENCE_SETS && !self.evidence.contains_key(&key) {
            return false;
        }
        self.evidence.entry(key).or_default().insert(server, observer, evidence)
    }

    /// Lets time pass; evidence that weighs nothing any more is dropped.
    pub fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let now = self.now;
        for board in self.evidence.values_mut() {
            board.by_observer.retain(|_, it| now.saturating_sub(it.observed_at) < EVIDENCE_LIFETIME);
        }
        self.evidence.retain(|_, board| !board.by_observer.is_empty());
    }

    /// This gateway's own evidence, to be told.
    pub fn own_evidence(&self) -> impl Iterator<Item = EvidenceMessage> {
        self.evidence.iter().filter_map(|(&(server, kind), board)| {
            let it = board
                .by_observer
                .get(&(mix(u64::from(server), u64::from(self.own_slot.0)), self.own_slot))?;
            let age_ms = self.now.saturating_sub(it.observed_at).as_millis().min(u128::from(u16::MAX)) as u16;
            let (generation, number) = it.stamp;
            Some(EvidenceMessage {
                server,
                kind,
                incarnation: generation,
                sequence: number,
                observed: it.observed,
                attempts: it.attempts,
                age_ms,
            })
        })
    }

    /// How much speaks against a server by one kind of evidence, in thousandths: the mean over its observers, of whom
    /// as many as a quorum are reckoned with where fewer are heard. One observer moves it by at most a quorum's part.
    #[must_use]
    pub fn evidence_weight(&self, server: u32, kind: EvidenceKind) -> u32 {
        let Some(board) = self.evidence.get(&(server, kind)) else { return 0 };
        let (sum, count) = board.weights(self.now).fold((0, 0), |(sum, count), it| (sum + it.1, count + 1));
        let quorum = if self.mutation.is(Mutation::NoQuorum) { 1 } else { self.limits.quorum };
        sum / count.max(quorum).max(1) as u32
    }

    fn observer_count(&self, server: u32, kind: EvidenceKind) -> usize {
        let board = self.evidence.get(&(server, kind));
        board.map_or(0, |it| it.weights(self.now).filter(|it| it.1 >= QUORUM_WEIGHT).count())
    }

    /// As [`out`](Self::out), and those are out of use from now on: one stays so until little speaks against it.
    pub fn update_outliers(&mut self, ready: &[(u32, u64)]) -> Vec<(u32, EvidenceKind)> {
        let out = self.outliers(ready);
        self.ejected = out.iter().map(|it| it.0).collect();
        out
    }

    /// Which of the `ready` servers, each with its capacity, are out of use by judgements, by each server's worst kind:
    /// those that most speaks against, as far as the part allows.
    #[must_use]
    pub fn outliers(&self, ready: &[(u32, u64)]) -> Vec<(u32, EvidenceKind)> {
        let quorum = if self.mutation.is(Mutation::NoQuorum) { 1 } else { self.limits.quorum };
        let mut candidates: Vec<_> = ready
            .iter()
            .filter_map(|&(server, capacity)| {
                let judged = self
                    .limits
                    .ejecting_kinds
                    .iter()
                    .filter(|&&kind| self.observer_count(server, kind) >= quorum);
                let worst = judged.map(|&kind| (self.evidence_weight(server, kind), kind)).max()?;
                let least = if self.ejected.contains(&server) { RETAIN_WEIGHT } else { EJECT_WEIGHT };
                (worst.0 >= least).then_some((std::cmp::Reverse(worst.0), server, worst.1, capacity))
            })
            .collect();
        candidates.sort_unstable();
        let mut room = self.ejectable_capacity(ready);
        let within = candidates.into_iter().filter(|&(.., capacity)| {
            let fits = capacity <= room;
            room -= if fits { capacity } else { 0 };
            fits
        });
        within.map(|(_, server, kind, _)| (server, kind)).collect()
    }

    fn ejectable_capacity(&self, ready: &[(u32, u64)]) -> u64 {
        ready.iter().map(|it| it.1).sum::<u64>().saturating_mul(self.limits.max_ejected_permille) / 1_000
    }

    /// Holds this core, and what it has out of use of `ready`, against its invariants.
    ///
    /// # Errors
    ///
    /// Names the first that is broken.
    pub fn check(&self, ready: &[(u32, u64)]) -> Result<(), Violation> {
        let (mut out, most) = (0, self.ejectable_capacity(ready));
        for (server, kind) in self.outliers(ready) {
            let (observers, quorum) = (self.observer_count(server, kind), self.limits.quorum);
            if observers < quorum {
                return Err(Violation::NoQuorum { server, observers, quorum });
            }
            out += ready.iter().filter(|it| it.0 == server).map(|it| it.1).sum::<u64>();
        }
        if out > most {
            return Err(Violation::TooMuchEjected { out, ready: ready.iter().map(|it| it.1).sum(), most });
        }
        for (&(server, _), board) in &self.evidence {
            if let Some((observer, weight)) = board.weights(self.now).find(|it| it.1 > 1_000) {
                return Err(Violation::OverWeight { observer, server, weight });
            }
        }
        let widest = self.evidence.values().map(|board| board.by_observer.len()).max().unwrap_or(0);
        let tables =
            [("judgements", self.evidence.len(), MAX_EVIDENCE_SETS), ("observers", widest, MAX_OBSERVERS)];
        match tables.into_iter().find(|&(_, found, most)| found > most) {
            Some((table, found, most)) => Err(Violation::OverFull { table, found, most }),
            None => Ok(()),
        }
    }
}
