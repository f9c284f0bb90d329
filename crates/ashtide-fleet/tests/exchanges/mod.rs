//! A simulated fleet of exchanges in virtual time, with random faults.

use std::collections::BTreeMap;
use std::time::Duration;

use ashtide_fleet::state::{
    BudgetKind, Exchange, ExchangeConfig, InitialShare, LeaseConfig, OutlierLimits, Slot, Violation,
    check_total, initial_shares,
};
use rand::RngExt;

use super::faulty_network::{Clock, FaultyNetwork, LongDelay, STEP};

/// Ready servers and their capacities.
pub const READY: [(u32, u64); 10] =
    [(0, 100), (1, 100), (2, 100), (3, 100), (4, 100), (5, 100), (6, 100), (7, 100), (8, 100), (9, 100)];
const BURST: Duration = Duration::from_millis(800);

pub struct Gateway {
    pub exchange: Option<Exchange>,
    pub clock: Clock,
    incarnation: u64,
    /// Virtual time until which the process does not run.
    stalled_until: Duration,
}

pub struct Cluster {
    pub network: FaultyNetwork<Vec<u8>>,
    pub gateways: Vec<Gateway>,
    /// Total of each budget, in units.
    pub totals: Vec<u64>,
    /// Initial shares of all gateways, by budget.
    shares: Vec<BTreeMap<Slot, InitialShare>>,
}

impl Cluster {
    pub fn new(seed: u64, size: usize, budgets: usize, total: u64) -> Self {
        let network = FaultyNetwork::new(seed);
        let totals = vec![total; budgets];
        let shares = (0..budgets).map(|id| initial_shares(id as u32, total, size as u16, 100)).collect();
        let mut cluster = Self { network, gateways: Vec::new(), totals, shares };
        for number in 0..size {
            let clock = Clock::new(&mut cluster.network);
            let stalled_until = cluster.network.now;
            cluster.gateways.push(Gateway { exchange: None, clock, incarnation: 50, stalled_until });
            cluster.start(number, true);
        }
        cluster
    }

    pub fn start(&mut self, number: usize, first: bool) {
        let size = self.gateways.len().max(self.shares[0].len());
        let config = ExchangeConfig {
            fleet_id: 7,
            slot_count: size as u16,
            datagrams_per_second: 40,
            lease: LeaseConfig::default(),
            outlier_limits: OutlierLimits::default(),
        };
        let seed = self.network.rng.random();
        let gateway = &mut self.gateways[number];
        gateway.incarnation += 1;
        let now = gateway.clock.read(self.network.now);
        let mut exchange = Exchange::new(config, Slot(number as u16), gateway.incarnation, seed, now);
        exchange.set_peers((0..size as u16).map(Slot));
        for (id, shares) in self.shares.iter().enumerate() {
            exchange.add_budget(id as u32, shares, BudgetKind::Rate { burst: BURST }, first);
        }
        gateway.exchange = Some(exchange);
    }

    pub fn kill(&mut self, number: usize) {
        self.gateways[number].exchange = None;
    }

    pub fn inject_fault(&mut self) {
        let size = self.gateways.len();
        let number = self.network.random_below(size);
        match self.network.random_below(9) {
            0 => self.network.loss = self.network.rng.random_range(0.0..0.5),
            1 => self.network.duplication = self.network.rng.random_range(0.0..0.5),
            2 => {
                self.network.long_delay =
                    LongDelay { max_ms: 3_000, probability: self.network.rng.random_range(0.0..0.5) }
            }
            3 => self.network.partition_randomly(size),
            4 => self.network.blocked_links.clear(),
            5 => {
                let stall_ms = self.network.rng.random_range(100..4_000);
                self.gateways[number].stalled_until = self.network.now + Duration::from_millis(stall_ms);
            }
            6 => self.kill(number),
            7 => self.start(number, false),
            _ => {
                let jump_ms = self.network.rng.random_range(-2_000..2_000);
                // A backward clock step during a stall cannot be detected; monotonic clocks have none.
                if jump_ms > 0 || self.gateways[number].stalled_until <= self.network.now {
                    self.gateways[number].clock.jump(jump_ms);
                }
            }
        }
    }

    pub fn clear_faults(&mut self) {
        self.network.loss = 0.0;
        self.network.duplication = 0.0;
        self.network.long_delay = LongDelay::NONE;
        self.network.blocked_links.clear();
        for number in 0..self.gateways.len() {
            self.gateways[number].stalled_until = self.network.now;
            if self.gateways[number].exchange.is_none() {
                self.start(number, false);
            }
        }
    }

    pub fn step(&mut self) {
        self.network.now += STEP;
        for number in 0..self.gateways.len() {
            let gateway = &mut self.gateways[number];
            let Some(exchange) =
                gateway.exchange.as_mut().filter(|_| gateway.stalled_until <= self.network.now)
            else {
                continue;
            };
            exchange.advance_to(gateway.clock.read(self.network.now));
            while let Some((to, datagram)) = exchange.next_datagram() {
                assert!(datagram.len() <= 256, "{} bytes", datagram.len());
                self.network.send(number, usize::from(to.0), datagram);
            }
        }
        while let Some((from, to, datagram)) = self.network.next_arrival() {
            let gateway = &mut self.gateways[to];
            if gateway.stalled_until > self.network.now {
                self.network.deliver_later(from, to, datagram);
            } else if let Some(exchange) = &mut gateway.exchange {
                exchange.handle_datagram(&datagram).expect("the datagram is valid");
            }
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.network.now + duration;
        while self.network.now < end {
            self.step();
        }
    }

    pub fn check(&mut self) -> Result<(), Violation> {
        let mut usable = vec![0; self.totals.len()];
        for gateway in self.gateways.iter_mut().filter(|it| it.stalled_until <= self.network.now) {
            let now = gateway.clock.read(self.network.now);
            let Some(exchange) = &mut gateway.exchange else { continue };
            exchange.check(&READY)?;
            for (id, sum) in usable.iter_mut().enumerate() {
                let Some(budget) = exchange.budget_mut(id as u32) else { continue };
                budget.advance_to(now);
                *sum += budget.escrow().usable_units();
            }
        }
        let all = self.totals.iter().zip(usable);
        all.into_iter().try_for_each(|(&total, usable)| check_total(total, [usable]))
    }

    /// Runs the fleet for `seconds` and returns the datagrams and the bytes sent per gateway and second.
    pub fn traffic_per_gateway(&mut self, seconds: u64) -> (f64, f64) {
        let sent = |cluster: &Self| {
            let all = cluster.gateways.iter().filter_map(|it| it.exchange.as_ref());
            all.fold((0, 0), |sum, it| (sum.0 + it.traffic().sent.datagrams, sum.1 + it.traffic().sent.bytes))
        };
        let before = sent(self);
        self.run(Duration::from_secs(seconds));
        let after = sent(self);
        let per_gateway = |total: u64| total as f64 / self.gateways.len() as f64 / seconds as f64;
        (per_gateway(after.0 - before.0), per_gateway(after.1 - before.1))
    }
}
