//! A fleet of members in virtual time, with a network that delays, loses and duplicates datagrams, and
//! partitions.

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

/// The mean rates at which a member sends.
#[derive(Debug, Default, Clone, Copy)]
pub struct SendRate {
    pub datagrams_per_second: f64,
    pub bytes_per_second: f64,
}

/// The false deaths that members recorded in their views.
pub struct FalseDeaths {
    pub count: usize,
    /// The longest time for which a member was recorded as dead.
    pub longest: Duration,
}

/// A simulated fleet. Members are identified by their numbers, which determine their addresses.
pub struct SimulatedFleet {
    pub now: Duration,
    /// The members by number. `None` if the member's process is not running.
    pub members: Vec<Option<Membership>>,
    /// The directed links, as pairs of sender and receiver, on which all datagrams are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram is duplicated.
    pub duplication: f64,
    /// The members whose processes are stalled, with the datagrams received during the stall.
    pub stalled: BTreeMap<usize, Vec<Bytes>>,
    /// The changes of all views: the time, the number of the member whose view changed, and the change.
    pub changes: Vec<(Duration, usize, ViewChange)>,
    /// The datagrams in flight, by arrival time and sequence number, with the number of the receiver.
    in_flight: BTreeMap<(Duration, u64), (usize, Bytes)>,
    last_sequence: u64,
    rng: ChaCha8Rng,
    size: usize,
}

impl SimulatedFleet {
    /// Starts a fleet of `size` members.
    pub fn new(size: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: ms(0),
            members: Vec::new(),
            blocked_links: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            stalled: BTreeMap::new(),
            changes: Vec::new(),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            size,
        };
        for number in 0..size {
            fleet.members.push(None);
            fleet.start(number, 1_000_000);
        }
        fleet
    }

    /// Starts a member with the given incarnation in Unix milliseconds. Members 0 and 1 are its seeds.
    pub fn start(&mut self, number: usize, incarnation: u64) {
        if self.members.len() <= number {
            self.members.resize_with(number + 1, || None);
        }
        let seeds = vec![address(0), address(1)];
        let config = ViewConfig::new(FLEET_ID, self.size as u32);
        let member =
            Membership::new(config, address(number), incarnation, seeds, self.rng.random(), self.now);
        self.members[number] = Some(member);
    }

    pub fn kill(&mut self, number: usize) {
        self.members[number] = None;
    }

    /// Stops a member deliberately: it sends its leave messages and exits.
    pub fn leave(&mut self, number: usize) {
        if let Some(member) = &mut self.members[number] {
            member.leave(self.now);
        }
        self.send(number);
        self.kill(number);
    }

    /// Blocks all links between two groups of members, in both directions.
    pub fn partition(&mut self, group: &[usize], other_group: &[usize]) {
        for &number in group {
            for &other in other_group {
                self.blocked_links.extend([(number, other), (other, number)]);
            }
        }
    }

    /// Puts the queued datagrams of a member on the network.
    fn send(&mut self, number: usize) {
        let Some(member) = &mut self.members[number] else { return };
        while let Some((to, datagram)) = member.next_datagram() {
            assert!(datagram.len() <= 256, "{} bytes", datagram.len());
            let std::net::IpAddr::V4(ip) = to.ip() else { continue };
            let to = usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]);
            let copies = 1 + usize::from(self.rng.random_bool(self.duplication));
            for _ in 0..copies {
                if self.blocked_links.contains(&(number, to)) || self.rng.random_bool(self.loss) {
                    continue;
                }
                self.last_sequence += 1;
                let arrival = self.now + Duration::from_micros(self.rng.random_range(200..40_000));
                self.in_flight.insert((arrival, self.last_sequence), (to, datagram.clone()));
            }
        }
    }

    /// Records the changes in the view of a member.
    fn collect_changes(&mut self, number: usize) {
        let Some(member) = &mut self.members[number] else { return };
        while let Some(change) = member.next_change() {
            self.changes.push((self.now, number, change));
        }
    }

    /// Ends the stall of a member: its overdue timers run first, then it reads the datagrams received
    /// meanwhile.
    pub fn resume(&mut self, number: usize) {
        let unread = self.stalled.remove(&number).unwrap_or_default();
        if let Some(member) = &mut self.members[number] {
            member.handle_timeout(self.now);
            for datagram in unread {
                let _ = member.handle_datagram(self.now, &datagram);
            }
        }
        self.send(number);
    }

    /// Advances the virtual time by `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += ms(5);
            while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (to, datagram) = entry.remove();
                if let Some(unread) = self.stalled.get_mut(&to) {
                    // The limit models the capacity of a socket buffer.
                    if unread.len() < 200 {
                        unread.push(datagram);
                    }
                } else if let Some(member) = self.members.get_mut(to).and_then(Option::as_mut) {
                    let _ = member.handle_datagram(self.now, &datagram);
                    self.send(to);
                }
            }
            for number in 0..self.members.len() {
                if self.stalled.contains_key(&number) {
                    continue;
                }
                let now = self.now;
                let is_due = |member: &&mut Membership| member.next_timeout().is_some_and(|due| due <= now);
                if let Some(member) = self.members[number].as_mut().filter(is_due) {
                    member.handle_timeout(now);
                    self.send(number);
                }
                self.collect_changes(number);
            }
        }
    }

    /// Runs for `seconds` and returns the mean send rate per running member.
    pub fn measure_send_rate(&mut self, seconds: u64) -> SendRate {
        let total_sent = |fleet: &Self| {
            let sent = fleet.members.iter().flatten().map(|member| member.metrics().sent);
            sent.fold((0, 0), |sum, sent| (sum.0 + sent.datagrams, sum.1 + sent.bytes))
        };
        let (datagrams_before, bytes_before) = total_sent(self);
        self.run(ms(1_000 * seconds));
        let (datagrams_after, bytes_after) = total_sent(self);
        let rate = |total: u64| total as f64 / self.running().len() as f64 / seconds as f64;
        SendRate {
            datagrams_per_second: rate(datagrams_after - datagrams_before),
            bytes_per_second: rate(bytes_after - bytes_before),
        }
    }

    /// Returns the numbers of the members whose processes are running.
    pub fn running(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|&number| self.members[number].is_some()).collect()
    }

    /// Returns the fraction of running members with a correct view: exactly the running members are up, with
    /// their current incarnations, and none is suspected. Views are compared by digest, so that the cost is
    /// quadratic in the number of members and not higher.
    pub fn converged_fraction(&self) -> f64 {
        let running: Vec<&Membership> = self.members.iter().flatten().collect();
        let expected = digest(running.iter().map(|member| member.own()));
        let correct = running.iter().filter(|member| member.digest() == expected).count();
        correct as f64 / running.len().max(1) as f64
    }

    /// Runs until the given fraction of views is correct, and returns the time that this took. Returns `None`
    /// if the fraction is not reached within `limit`.
    pub fn run_until_converged(&mut self, fraction: f64, limit: Duration) -> Option<Duration> {
        let start = self.now;
        while self.converged_fraction() < fraction {
            if self.now - start >= limit {
                return None;
            }
            // Checking all views of a fleet of 1000 costs as much as simulating it for 100 ms.
            self.run(ms(if self.size < 1000 { 100 } else { 500 }));
        }
        Some(self.now - start)
    }

    /// Runs until all views are correct, and returns the time that this took. Panics if it takes longer than
    /// `limit`.
    pub fn converge(&mut self, limit: Duration) -> Duration {
        let took = self.run_until_converged(1.0, limit);
        took.unwrap_or_else(|| {
            panic!("fraction of correct views after {limit:?}: {:.2}, expected 1", self.converged_fraction())
        })
    }

    /// Evaluates the recorded changes of a run in which no process ended, so that all deaths are false. A
    /// death that is still recorded lasts until now.
    pub fn false_deaths(&self) -> FalseDeaths {
        let mut dead_since = BTreeMap::new();
        let mut count = 0;
        let mut longest = ms(0);
        for &(at, observer, change) in &self.changes {
            match change {
                ViewChange::Dead(member) => {
                    count += 1;
                    dead_since.insert((observer, member.address), at);
                }
                ViewChange::Up(member) => {
                    if let Some(since) = dead_since.remove(&(observer, member.address)) {
                        longest = longest.max(at - since);
                    }
                }
                _ => {}
            }
        }
        let longest = dead_since.values().map(|&since| self.now - since).fold(longest, Duration::max);
        FalseDeaths { count, longest }
    }
}
