//! Faults by chance, from a seed: a network between numbered gateways, and each one's clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const STEP: Duration = Duration::from_millis(25);

pub struct Chance<M> {
    pub now: Duration,
    pub rng: ChaCha8Rng,
    pub loss: f64,
    pub repeat: f64,
    /// Longest delay, in milliseconds, and how often it is drawn up to that and not up to 40.
    pub slow: (u64, f64),
    /// Directions in which all is lost.
    pub cut: BTreeSet<(usize, usize)>,
    wire: BTreeMap<(Duration, u64), (usize, usize, M)>,
    number: u64,
}

impl<M: Clone> Chance<M> {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Duration::from_secs(100),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            repeat: 0.0,
            slow: (40, 0.0),
            cut: BTreeSet::new(),
            wire: BTreeMap::new(),
            number: 0,
        }
    }

    pub fn one_in(&mut self, times: u32) -> bool {
        self.rng.random_range(0..times) == 0
    }

    pub fn below(&mut self, end: usize) -> usize {
        self.rng.random_range(0..end)
    }

    pub fn send(&mut self, from: usize, to: usize, message: M) {
        let copies = 1 + usize::from(self.rng.random_bool(self.repeat));
        for _ in 0..copies {
            if self.cut.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let longest = if self.rng.random_bool(self.slow.1) { self.slow.0 } else { 40 };
            let delay = Duration::from_millis(self.rng.random_range(1..=longest));
            self.number += 1;
            self.wire.insert((self.now + delay, self.number), (from, to, message.clone()));
        }
    }

    /// A message that waits at its receiver, unread.
    pub fn delay(&mut self, from: usize, to: usize, message: M) {
        self.number += 1;
        self.wire.insert((self.now + STEP, self.number), (from, to, message));
    }

    /// The next message that has come by now: from, to, what.
    pub fn next(&mut self) -> Option<(usize, usize, M)> {
        let entry = self.wire.first_entry().filter(|it| it.key().0 <= self.now)?;
        Some(entry.remove())
    }

    /// Parts the gateways of `size` into two by chance, in one direction or both.
    pub fn part(&mut self, size: usize) {
        let both = self.one_in(2);
        let left: Vec<bool> = (0..size).map(|_| self.rng.random_bool(0.5)).collect();
        for from in 0..size {
            for to in 0..size {
                if left[from] != left[to] && (both || left[from]) {
                    self.cut.insert((from, to));
                }
            }
        }
    }
}

/// A clock that starts anywhere, goes up to 2% wrong, and jumps.
pub struct Clock {
    offset: i64,
    rate: f64,
}

impl Clock {
    pub fn new<M: Clone>(chance: &mut Chance<M>) -> Self {
        Self { offset: chance.rng.random_range(0..5_000_000), rate: chance.rng.random_range(0.98..1.02) }
    }

    pub fn jump(&mut self, ms: i64) {
        self.offset += ms * 1_000;
    }

    pub fn read(&self, now: Duration) -> Duration {
        let micros = (now.as_micros() as f64 * self.rate) as i64 + self.offset;
        Duration::from_micros(micros.max(0) as u64)
    }
}

/// The seeds to play: all up to `count`, or the one that the environment names.
pub fn seeds(count: u64) -> std::ops::Range<u64> {
    match std::env::var("ASHTIDE_SEED").ok().and_then(|seed| seed.parse::<u64>().ok()) {
        Some(seed) => seed..seed + 1,
        None => 0..count,
    }
}
