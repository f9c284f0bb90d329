//! A network between numbered gateways with random faults, and the inaccurate clocks of the gateways. All
//! random choices derive from a seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The step by which simulations advance the virtual time.
pub const STEP: Duration = Duration::from_millis(25);

/// The maximum delay of a message that has no long delay, in milliseconds.
const MAX_SHORT_DELAY_MS: u64 = 40;

/// The long delays of a network, which affect randomly chosen messages.
#[derive(Clone, Copy)]
pub struct LongDelay {
    /// The maximum delay in milliseconds.
    pub max_ms: u64,
    /// The probability that a message has a long delay.
    pub probability: f64,
}

impl LongDelay {
    /// No message has a long delay.
    pub const NONE: Self = Self { max_ms: MAX_SHORT_DELAY_MS, probability: 0.0 };
}

/// A network that delays, loses and duplicates messages, and blocks links. It also has the virtual time and
/// the random number generator of a simulation.
pub struct FaultyNetwork<M> {
    pub now: Duration,
    pub rng: ChaCha8Rng,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message is duplicated.
    pub duplication: f64,
    /// The long delays of messages.
    pub long_delay: LongDelay,
    /// The directed links, as pairs of sender and receiver, on which all messages are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// The messages in flight with their senders and receivers, by arrival time and sequence number.
    in_flight: BTreeMap<(Duration, u64), (usize, usize, M)>,
    last_sequence: u64,
}

impl<M: Clone> FaultyNetwork<M> {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Duration::from_secs(100),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            duplication: 0.0,
            long_delay: LongDelay::NONE,
            blocked_links: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Returns `true` with the probability 1 / `count`.
    pub fn one_in(&mut self, count: u32) -> bool {
        self.rng.random_range(0..count) == 0
    }

    /// Returns a random number less than `end`.
    pub fn random_below(&mut self, end: usize) -> usize {
        self.rng.random_range(0..end)
    }

    /// Sends a message, subject to the faults of the network.
    pub fn send(&mut self, from: usize, to: usize, message: M) {
        let copies = 1 + usize::from(self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            if self.blocked_links.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let max_delay_ms = match self.rng.random_bool(self.long_delay.probability) {
                true => self.long_delay.max_ms,
                false => MAX_SHORT_DELAY_MS,
            };
            let delay = Duration::from_millis(self.rng.random_range(1..=max_delay_ms));
            self.insert(self.now + delay, from, to, message.clone());
        }
    }

    /// Delivers a message again in the next step, because its receiver is stalled and has not read it.
    pub fn deliver_later(&mut self, from: usize, to: usize, message: M) {
        self.insert(self.now + STEP, from, to, message);
    }

    fn insert(&mut self, arrival: Duration, from: usize, to: usize, message: M) {
        self.last_sequence += 1;
        self.in_flight.insert((arrival, self.last_sequence), (from, to, message));
    }

    /// Removes and returns the next message that has arrived, with its sender and receiver.
    pub fn next_arrival(&mut self) -> Option<(usize, usize, M)> {
        let entry = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now)?;
        Some(entry.remove())
    }

    /// Divides `size` gateways randomly into two groups, and blocks the links between them in one direction
    /// or both.
    pub fn partition_randomly(&mut self, size: usize) {
        let both_directions = self.one_in(2);
        let is_in_first: Vec<bool> = (0..size).map(|_| self.rng.random_bool(0.5)).collect();
        for from in 0..size {
            for to in 0..size {
                if is_in_first[from] != is_in_first[to] && (both_directions || is_in_first[from]) {
                    self.blocked_links.insert((from, to));
                }
            }
        }
    }
}

/// A clock of a gateway with a random offset below 5 s, a rate error of at most 2%, and jumps.
pub struct Clock {
    offset_us: i64,
    rate: f64,
}

impl Clock {
    pub fn new<M: Clone>(network: &mut FaultyNetwork<M>) -> Self {
        Self { offset_us: network.rng.random_range(0..5_000_000), rate: network.rng.random_range(0.98..1.02) }
    }

    /// Shifts the clock by `ms` milliseconds, forwards or backwards.
    pub fn jump(&mut self, ms: i64) {
        self.offset_us += ms * 1_000;
    }

    /// Returns the time of the clock at the virtual time `now`.
    pub fn read(&self, now: Duration) -> Duration {
        let micros = (now.as_micros() as f64 * self.rate) as i64 + self.offset_us;
        Duration::from_micros(micros.max(0) as u64)
    }
}

/// Returns the seeds to simulate: the one in the environment variable `ASHTIDE_SEED`, otherwise all below
/// `count`.
pub fn seeds(count: u64) -> std::ops::Range<u64> {
    match std::env::var("ASHTIDE_SEED").ok().and_then(|seed| seed.parse::<u64>().ok()) {
        Some(seed) => seed..seed + 1,
        None => 0..count,
    }
}
