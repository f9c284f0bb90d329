//! Joining by seeds, and probing the dead, which heals a partition.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use super::Membership;
use crate::member::Member;

/// First wait between two announcements to seeds while nobody is known; it doubles, with jitter.
const JOIN_BACKOFF_BASE: Duration = Duration::from_millis(500);
/// Doublings of that wait at most.
const MAX_JOIN_DOUBLINGS: u32 = 3;
/// How often a seed that is not there is announced to while others are: two partitions may never have met.
const SEED_PROBE_INTERVAL: Duration = Duration::from_secs(8);
/// How often members that are held dead are probed.
const DEAD_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Probes that each dead member gets in that time, from all members together.
const PROBES_PER_DEAD_MEMBER: f64 = 2.0;
/// Probes of dead members that one member sends in that time at most.
const MAX_DEAD_PROBES: f64 = 3.0;

/// When seeds are announced to and dead members probed next.
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

    /// When a seed is announced to next; none without seeds.
    pub(super) fn next_attempt(&self) -> Option<Duration> {
        (!self.seeds.is_empty()).then_some(self.next_attempt_at)
    }

    pub(super) fn retry_at(&mut self, at: Duration) {
        self.next_attempt_at = at;
    }
}

impl Membership {
    /// Announces this member to a seed: often while nobody is known, and now and then while a seed is not there.
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

    fn absent_seeds(&self) -> Vec<SocketAddr> {
        let is_up = |seed: &SocketAddr| self.runtime.records.get(seed).is_some_and(|record| record.is_up);
        self.join.seeds.iter().copied().filter(|seed| !is_up(seed)).collect()
    }

    /// Announces this member to some of those that are held dead.
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
        let share = (PROBES_PER_DEAD_MEMBER * dead.len() as f64 / members).min(MAX_DEAD_PROBES);
        let count = share as usize + usize::from(self.rng.random::<f64>() < share.fract());
        for _ in 0..count.min(dead.len()) {
            let chosen = dead.swap_remove(self.rng.random_range(0..dead.len()));
            let _ = self.foca.announce(chosen, &mut self.runtime);
        }
    }
}
