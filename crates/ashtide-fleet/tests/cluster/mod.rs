//! A tier of cores in virtual time, with a network that delays, loses, repeats and parts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use ashtide_fleet::{Membership, ViewChange, ViewConfig, digest};
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const FLEET_ID: u32 = 0x7157_1de0;

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7946))
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub struct Cluster {
    pub now: Duration,
    pub fleets: Vec<Option<Membership>>,
    /// Which directions lose everything.
    pub cut: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub repeat: f64,
    /// Members that stand still, and what has come for them meanwhile.
    pub stalled: BTreeMap<usize, Vec<Bytes>>,
    pub changes: Vec<(Duration, usize, ViewChange)>,
    wire: BTreeMap<(Duration, u64), (usize, Bytes)>,
    number: u64,
    rng: ChaCha8Rng,
    size: usize,
}

impl Cluster {
    pub fn new(size: usize, seed: u64) -> Self {
        let mut cluster = Self {
            now: ms(0),
            fleets: Vec::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            repeat: 0.0,
            stalled: BTreeMap::new(),
            changes: Vec::new(),
            wire: BTreeMap::new(),
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            size,
        };
        for number in 0..size {
            cluster.fleets.push(None);
            cluster.start(number, 1_000_000);
        }
        cluster
    }

    /// A process starts at this number's address, knowing one seed.
    pub fn start(&mut self, number: usize, unix_ms: u64) {
        if self.fleets.len() <= number {
            self.fleets.resize_with(number + 1, || None);
        }
        let seeds = vec![address(0), address(1)];
        let options = ViewConfig::new(FLEET_ID, self.size as u32);
        let fleet = Membership::new(options, address(number), unix_ms, seeds, self.rng.random(), self.now);
        self.fleets[number] = Some(fleet);
    }

    pub fn kill(&mut self, number: usize) {
        self.fleets[number] = None;
    }

    /// A process is told to stop: it says what it has to say, and ends.
    pub fn leave(&mut self, number: usize) {
        if let Some(fleet) = &mut self.fleets[number] {
            fleet.leave(self.now);
        }
        self.send(number);
        self.kill(number);
    }

    pub fn part(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            for &b in other {
                self.cut.extend([(a, b), (b, a)]);
            }
        }
    }

    fn send(&mut self, number: usize) {
        let Some(fleet) = &mut self.fleets[number] else { return };
        while let Some((to, datagram)) = fleet.next_datagram() {
            assert!(datagram.len() <= 256, "{} bytes", datagram.len());
            let std::net::IpAddr::V4(ip) = to.ip() else { continue };
            let to = usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]);
            let copies = 1 + usize::from(self.rng.random_bool(self.repeat));
            for _ in 0..copies {
                if self.cut.contains(&(number, to)) || self.rng.random_bool(self.loss) {
                    continue;
                }
                self.number += 1;
                let at = self.now + Duration::from_micros(self.rng.random_range(200..40_000));
                self.wire.insert((at, self.number), (to, datagram.clone()));
            }
        }
    }

    fn note(&mut self, number: usize) {
        let Some(fleet) = &mut self.fleets[number] else { return };
        while let Some(change) = fleet.next_change() {
            self.changes.push((self.now, number, change));
        }
    }

    /// A member goes on after a stall: its timers come late, and what has come lies unread.
    pub fn wake(&mut self, number: usize) {
        let unread = self.stalled.remove(&number).unwrap_or_default();
        if let Some(fleet) = &mut self.fleets[number] {
            fleet.handle_timeout(self.now);
            for datagram in unread {
                let _ = fleet.handle_datagram(self.now, &datagram);
            }
        }
        self.send(number);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(5);
            while let Some(entry) = self.wire.first_entry().filter(|it| it.key().0 <= self.now) {
                let (to, datagram) = entry.remove();
                if let Some(unread) = self.stalled.get_mut(&to) {
                    // As much as a socket's buffer holds.
                    if unread.len() < 200 {
                        unread.push(datagram);
                    }
                } else if let Some(fleet) = self.fleets.get_mut(to).and_then(Option::as_mut) {
                    let _ = fleet.handle_datagram(self.now, &datagram);
                    self.send(to);
                }
            }
            for number in 0..self.fleets.len() {
                if self.stalled.contains_key(&number) {
                    continue;
                }
                let now = self.now;
                if let Some(fleet) =
                    self.fleets[number].as_mut().filter(|it| it.next_timeout().is_some_and(|at| at <= now))
                {
                    fleet.handle_timeout(now);
                    self.send(number);
                }
                self.note(number);
            }
        }
    }

    /// Datagrams, and their bytes, that a member sends a second, over so many.
    pub fn sent_a_second(&mut self, seconds: u64) -> (f64, f64) {
        let sent = |cluster: &Self| {
            let each = cluster.fleets.iter().flatten().map(|it| it.metrics().sent);
            each.fold((0, 0), |sum, sent| (sum.0 + sent.datagrams, sum.1 + sent.bytes))
        };
        let before = sent(self);
        self.run(ms(1_000 * seconds));
        let after = sent(self);
        let a_second = |total: u64| total as f64 / self.live().len() as f64 / seconds as f64;
        (a_second(after.0 - before.0), a_second(after.1 - before.1))
    }

    pub fn live(&self) -> Vec<usize> {
        (0..self.fleets.len()).filter(|&number| self.fleets[number].is_some()).collect()
    }

    /// Which part of the live members hold the truth of all: who is there, in which life, and nobody suspected. By
    /// digests: what it costs grows with the members' number squared, and no more.
    pub fn agree(&self) -> f64 {
        let live: Vec<&Membership> = self.fleets.iter().flatten().collect();
        let truth = digest(live.iter().map(|it| it.own()));
        let right = live.iter().filter(|it| it.digest() == truth).count();
        right as f64 / live.len().max(1) as f64
    }

    /// Runs until this part of the views are the truth; how long that took, if it did not take longer than `within`.
    pub fn until(&mut self, part: f64, within: Duration) -> Option<Duration> {
        let start = self.now;
        while self.agree() < part {
            if self.now - start >= within {
                return None;
            }
            // A look at all views costs as much as a tenth of a second of a tier of a thousand.
            self.run(ms(if self.size < 1000 { 100 } else { 500 }));
        }
        Some(self.now - start)
    }

    /// Runs until all views are the truth; how long that took.
    pub fn settle(&mut self, within: Duration) -> Duration {
        let took = self.until(1.0, within);
        took.unwrap_or_else(|| panic!("{:.2} of the views agree after {within:?}", self.agree()))
    }

    /// How often a member held one dead that was there all the time, and the longest such time. What is still so
    /// lasts until now.
    pub fn false_deaths(&self) -> (usize, Duration) {
        let mut dead_since = BTreeMap::new();
        let mut count = 0;
        let mut longest = ms(0);
        for &(at, by, change) in &self.changes {
            match change {
                ViewChange::Dead(member) => {
                    count += 1;
                    dead_since.insert((by, member.address), at);
                }
                ViewChange::Up(member) => {
                    if let Some(since) = dead_since.remove(&(by, member.address)) {
                        longest = longest.max(at - since);
                    }
                }
                _ => {}
            }
        }
        (count, dead_since.values().map(|&since| self.now - since).fold(longest, Duration::max))
    }
}
