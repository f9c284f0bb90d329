//! Fleets that share a budget under load and random faults. The usable units of all gateways never exceed the
//! total (B4), their spends never exceed the rate of the total plus one burst (B5), and each budget satisfies
//! its own invariants.

mod faulty_network;

use std::collections::BTreeMap;
use std::time::Duration;

use ashtide_fleet::state::{
    Budget, BudgetKind, Escrow, InitialShare, LeaseConfig, LeaseGrant, LeaseRequest, Mutation, Slot,
    Violation, check_total, initial_shares, max_min_fair, split_proportionally,
};
use faulty_network::{Clock, FaultyNetwork, LongDelay, STEP, seeds};
use rand::RngExt;

const BURST: Duration = Duration::from_millis(800);

#[derive(Clone)]
enum Message {
    Request(LeaseRequest),
    Grant(LeaseGrant),
}

struct Gateway {
    budget: Option<Budget>,
    clock: Clock,
    incarnation: u64,
    /// Virtual time until which the process does not run.
    stalled_until: Duration,
    wanted_units: u64,
    /// Virtual time of the last clock jump.
    last_jump: Duration,
}

struct Simulation {
    network: FaultyNetwork<Message>,
    gateways: Vec<Gateway>,
    shares: Vec<InitialShare>,
    total: u64,
    mutation: Option<Mutation>,
    kind: BudgetKind,
    /// Virtual times of all spends.
    spent_at: Vec<Duration>,
    /// Maximum of the units that all gateways together had leased at a time.
    max_leased_units: u64,
}

impl Simulation {
    fn new(seed: u64, mutation: Option<Mutation>, kind: BudgetKind) -> Self {
        let mut network = FaultyNetwork::new(seed);
        let size = 3 + network.random_below(4);
        let total = network.rng.random_range(5_000..60_000);
        let weights: Vec<u64> = (0..size).map(|_| network.rng.random_range(0..4)).collect();
        let weights = if weights.iter().sum::<u64>() == 0 { vec![1; size] } else { weights };
        let floors = split_proportionally(total / 10, &vec![1; size]);
        let lendable = split_proportionally(total - total / 10, &weights);
        let shares: Vec<InitialShare> = floors
            .into_iter()
            .zip(lendable)
            .map(|(floor, lendable)| InitialShare { floor, lendable })
            .collect();
        let mut gateways = Vec::new();
        for _ in 0..size {
            let clock = Clock::new(&mut network);
            let last_jump = network.now;
            gateways.push(Gateway {
                budget: None,
                clock,
                incarnation: 50,
                stalled_until: network.now,
                wanted_units: 0,
                last_jump,
            });
        }
        let spent_at = Vec::new();
        let max_leased_units = 0;
        let mut simulation =
            Self { network, gateways, shares, total, mutation, kind, spent_at, max_leased_units };
        (0..size).for_each(|number| simulation.start(number, true));
        simulation
    }

    fn start(&mut self, number: usize, first: bool) {
        let gateway = &mut self.gateways[number];
        let now = gateway.clock.read(self.network.now);
        // With the same incarnation other gateways could not detect the restart.
        gateway.incarnation += 1;
        let slot = Slot(number as u16);
        let mut escrow =
            Escrow::new(slot, gateway.incarnation, self.shares[number], LeaseConfig::default(), first, now);
        if let Some(mutation) = self.mutation {
            escrow.set_mutation(mutation);
        }
        gateway.budget = Some(Budget::new(escrow, self.kind, now));
    }

    fn inject_fault(&mut self, jumps: bool) {
        let size = self.gateways.len();
        let number = self.network.random_below(size);
        match self.network.random_below(11) {
            0 => self.network.loss = self.network.rng.random_range(0.0..0.5),
            1 => self.network.duplication = self.network.rng.random_range(0.0..0.5),
            2 => {
                self.network.long_delay =
                    LongDelay { max_ms: 3_000, probability: self.network.rng.random_range(0.0..0.6) }
            }
            3 => self.network.partition_randomly(size),
            4 => {
                let to = self.network.random_below(size);
                self.network.blocked_links.insert((number, to));
            }
            5 | 6 => self.network.blocked_links.clear(),
            7 => {
                let stall_ms = self.network.rng.random_range(100..4_000);
                self.gateways[number].stalled_until = self.network.now + Duration::from_millis(stall_ms);
            }
            8 => self.gateways[number].budget = None,
            // A crash with an immediate restart.
            9 => self.start(number, false),
            _ if jumps && self.network.now > self.gateways[number].last_jump + Duration::from_secs(3) => {
                let jump_ms = self.network.rng.random_range(-3_000..3_000);
                self.gateways[number].clock.jump(jump_ms);
                self.gateways[number].last_jump = self.network.now;
            }
            _ => {}
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.network.next_arrival() {
            let gateway = &mut self.gateways[to];
            // Messages for a stalled process are queued in its socket.
            if gateway.stalled_until > self.network.now {
                let remaining = gateway.stalled_until - self.network.now;
                if remaining < Duration::from_millis(1_500) {
                    self.network.deliver_later(from, to, message);
                }
                continue;
            }
            let now = gateway.clock.read(self.network.now);
            let Some(budget) = &mut gateway.budget else { continue };
            match message {
                Message::Request(request) => {
                    if let Ok(grant) = budget.grant_lease(now, Slot(from as u16), request) {
                        self.network.send(to, from, Message::Grant(grant));
                    }
                }
                Message::Grant(grant) => {
                    let _ = budget.accept_lease(now, Slot(from as u16), grant);
                }
            }
        }
    }

    fn run_gateway(&mut self, number: usize) {
        let size = self.gateways.len();
        let gateway = &mut self.gateways[number];
        let now = gateway.clock.read(self.network.now);
        if gateway.stalled_until > self.network.now {
            return;
        }
        let Some(budget) = &mut gateway.budget else { return };
        budget.with_escrow(now, |escrow| escrow.set_wanted_units(gateway.wanted_units));
        let attempts = gateway.wanted_units * 2 * STEP.as_millis() as u64 / 1_000_000 + 1;
        for _ in 0..attempts {
            if gateway.wanted_units > 0 && budget.try_spend(now) {
                self.spent_at.push(self.network.now);
            }
        }
        if self.kind == BudgetKind::Concurrency && self.network.one_in(10) {
            budget.release();
        }
        if self.network.one_in(12) {
            for other in (0..size).filter(|&other| other != number) {
                let request =
                    budget.request_lease(now, Slot(other as u16), gateway.wanted_units / (size as u64 - 1));
                self.network.send(number, other, Message::Request(request));
            }
        }
        if self.network.one_in(80) {
            gateway.wanted_units = [0, self.total / 5, self.total][self.network.random_below(3)];
        }
    }

    fn check(&mut self) -> Result<(), Violation> {
        let mut usable = Vec::new();
        let mut leased_units = 0;
        for gateway in &mut self.gateways {
            if gateway.stalled_until > self.network.now {
                continue;
            }
            let now = gateway.clock.read(self.network.now);
            if let Some(budget) = &mut gateway.budget {
                budget.advance_to(now);
                budget.check()?;
                usable.push(budget.escrow().usable_units());
                leased_units += budget.escrow().leased_units();
            }
        }
        self.max_leased_units = self.max_leased_units.max(leased_units);
        check_total(self.total, usable)
    }

    /// Checks B5 in every window of length `window` that starts with a spend.
    fn check_spent(&self, window: Duration) -> Result<(), Violation> {
        let mut end = 0;
        // Clocks run up to 2% fast.
        let limit = self.total as f64 / 1_000.0 * (window.as_secs_f64() * 1.02 + BURST.as_secs_f64());
        let most = limit.floor() as u64;
        for (start, &started_at) in self.spent_at.iter().enumerate() {
            while end < self.spent_at.len() && self.spent_at[end] <= started_at + window {
                end += 1;
            }
            let spent = (end - start) as u64;
            if spent > most {
                return Err(Violation::OverSpent { spent, most, window });
            }
        }
        Ok(())
    }
}

fn run_simulation(
    seed: u64,
    mutation: Option<Mutation>,
    kind: BudgetKind,
    steps: usize,
) -> Result<Simulation, Violation> {
    let mut simulation = Simulation::new(seed, mutation, kind);
    let jumps = seed % 2 == 1;
    for _ in 0..steps {
        simulation.network.now += STEP;
        if simulation.network.one_in(20) {
            simulation.inject_fault(jumps);
        }
        for number in 0..simulation.gateways.len() {
            if simulation.gateways[number].budget.is_none() && simulation.network.one_in(60) {
                simulation.start(number, false);
            }
            simulation.run_gateway(number);
        }
        simulation.deliver();
        simulation.check()?;
    }
    if !jumps && matches!(kind, BudgetKind::Rate { .. }) {
        for ms in [50, 500, 2_000] {
            simulation.check_spent(Duration::from_millis(ms))?;
        }
    }
    Ok(simulation)
}

#[test]
fn gateways_never_use_more_than_the_total() {
    let mut seeds_with_leases = 0;
    let mut spend_count = 0;
    let count = 2_000;
    for seed in seeds(count) {
        let kind = if seed % 5 == 4 { BudgetKind::Concurrency } else { BudgetKind::Rate { burst: BURST } };
        match run_simulation(seed, None, kind, 400) {
            Ok(simulation) => {
                seeds_with_leases += u64::from(simulation.max_leased_units > simulation.total / 10);
                spend_count += simulation.spent_at.len();
            }
            Err(violation) => panic!("ASHTIDE_SEED={seed}: {violation}"),
        }
    }
    assert!(
        std::env::var("ASHTIDE_SEED").is_ok() || seeds_with_leases > count / 2,
        "more than a tenth of the total was leased in {seeds_with_leases} of {count} simulations; \
         expected more than half"
    );
    assert!(spend_count > 0);
}

#[test]
fn initial_shares_sum_to_the_total() {
    for (total, slots, floor_permille) in
        [(0, 3, 100), (1, 9, 100), (7, 3, 1_000), (60_001, 300, 100), (9, 5_000, 0)]
    {
        let shares = initial_shares(5, total, slots, floor_permille);
        let sum: u64 = shares.values().map(|share| share.floor + share.lendable).sum();
        assert_eq!((sum, shares.len()), (total, usize::from(slots)), "{total} over {slots}");
    }
    assert_eq!(split_proportionally(10, &[1, 0, 2]), [3, 0, 7]);
    assert_eq!(max_min_fair(10, &[1, 20, 3, 20]), [1, 3, 3, 3]);
}

#[test]
fn each_mutation_violates_its_invariant() {
    let mutations = [
        (Mutation::AcceptRepeatedRequest, "B4"),
        (Mutation::ForgetUnconfirmedGrant, "B4"),
        (Mutation::AcceptRepeatedGrant, "B4"),
        (Mutation::LeaseFromGrantTime, "B4"),
        (Mutation::NoLendingDelay, "B4"),
        (Mutation::NoExpiry, "B2"),
    ];
    let mut undetected = Vec::new();
    for (mutation, invariant_id) in mutations {
        let mut found = BTreeMap::new();
        for seed in 0..100 {
            if let Err(violation) =
                run_simulation(seed, Some(mutation), BudgetKind::Rate { burst: BURST }, 400)
            {
                *found.entry(violation.invariant_id()).or_insert(0) += 1;
            }
        }
        println!("{mutation:?}: violations in 100 seeds: {found:?}");
        if !found.contains_key(invariant_id) {
            undetected.push((mutation, found));
        }
    }
    assert!(undetected.is_empty(), "mutations without the expected violation: {undetected:?}");
}
