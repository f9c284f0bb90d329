//! Joining through seeds, and probing dead members so that partitions merge.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use super::Membership;
use crate::member::Member;

/// The initial backoff between two announcements to seeds while no member is up. It doubles, with jitter.
const JOIN_BACKOFF_BASE: Duration = Duration::from_millis(500);
/// The maximum number of times that [`JOIN_BACKOFF_BASE`] is doubled.
const MAX_JOIN_DOUBLINGS: u32 = 3;
/// The interval between announcements to an absent seed while other members are up. Without them, two
/// partitions that never had contact would not merge.
const SEED_PROBE_INTERVAL: Duration = Duration::from_secs(8);
/// The interval between probes of dead members.
const DEAD_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// The mean number of probes that each dead member receives per [`DEAD_PROBE_INTERVAL`] from all members
/// together.
const PROBES_PER_DEAD_MEMBER: f64 = 2.0;
/// The maximum number of probes that one member sends to dead members per [`DEAD_PROBE_INTERVAL`].
const MAX_DEAD_PROBES: f64 = 3.0;

/// The seeds, and the times of the next announcement to a seed and the next probes of dead members.
pub(super) struct JoinState {
    seeds: Vec<SocketAddr>,
    next_attempt_at: Duration,
    attempts: u32,
    pub(super) next_dead_probe_at: Duration,
}

impl JoinState {
    pub(super) fn new(seeds: Vec<SocketAddr>, now: Duration) -> Self {
        Self { seeds, next_attempt_at: now, attempts: 0, next_dead_probe_at: now }
    }

    /// Returns the time of the next announcement to a seed. `None` if there are no seeds.
    pub(super) fn next_attempt(&self) -> Option<Duration> {
        (!self.seeds.is_empty()).then_some(self.next_attempt_at)
    }

    /// Reschedules the next announcement to a seed.
    pub(super) fn retry_at(&mut self, at: Duration) {
        self.next_attempt_at = at;
    }
}

impl Membership {
    /// Announces this member to a random absent seed, if an announcement is due. Announcements are frequent
    /// while no other member is up, and rare otherwise.
    pub(super) fn announce_to_seed(&mut self) {
        let now = self.runtime.now;
        if self.join.next_attempt_at > now || self.join.seeds.is_empty() {
            return;
        }
        let is_alone = self.foca.num_members() == 0;
        let absent = self.absent_seeds();
        if !absent.is_empty() {
            let address = absent[self.rng.random_range(0..absent.len())];
            let seed = Member { address, incarnation: 0, leaving: false };
            let _ = self.foca.announce(seed, &mut self.runtime);
        }
        let wait = match is_alone {
            true => JOIN_BACKOFF_BASE * (1 << self.join.attempts.min(MAX_JOIN_DOUBLINGS)),
            false => SEED_PROBE_INTERVAL,
        };
        self.join.next_attempt_at = now + wait.mul_f64(0.5 + self.rng.random::<f64>());
        self.join.attempts += 1;
    }

    /// Returns the seeds that are not up.
    fn absent_seeds(&self) -> Vec<SocketAddr> {
        let is_up = |seed: &SocketAddr| self.runtime.records.get(seed).is_some_and(|record| record.is_up);
        self.join.seeds.iter().copied().filter(|seed| !is_up(seed)).collect()
    }

    /// Announces this member to randomly chosen dead members, if that is due.
    pub(super) fn probe_dead_members(&mut self) {
        if self.join.next_dead_probe_at > self.runtime.now {
            return;
        }
        self.join.next_dead_probe_at = self.runtime.now + DEAD_PROBE_INTERVAL;
        let records = self.runtime.records.values();
        let mut dead: Vec<Member> = records
            .filter(|record| !record.is_up && !record.member.leaving)
            .map(|record| record.member)
            .collect();
        let members = (self.foca.num_members() + 1) as f64;
        let mean_count = (PROBES_PER_DEAD_MEMBER * dead.len() as f64 / members).min(MAX_DEAD_PROBES);
        let count = mean_count as usize + usize::from(self.rng.random::<f64>() < mean_count.fract());
        for _ in 0..count.min(dead.len()) {
            let chosen = dead.swap_remove(self.rng.random_range(0..dead.len()));
            let _ = self.foca.announce(chosen, &mut self.runtime);
        }
    }
}
