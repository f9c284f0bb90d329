//! Whole tiers of budgets under load and faults by chance: what all may use is never more than the total (B4), what
//! they spend never more than its pace and one burst (B5), and each core holds to its own invariants.

mod chance;

use std::collections::BTreeMap;
use std::time::Duration;

use ashtide_fleet::state::{
    Budget, BudgetKind, Escrow, InitialShare, LeaseConfig, LeaseGrant, LeaseRequest, Mutation, Slot,
    Violation, check_total, initial_shares, max_min_fair, split_proportionally,
};
use chance::{Chance, Clock, STEP, seeds};
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
    generation: u64,
    stalled: Duration,
    wants: u64,
    jumped: Duration,
}

struct Run {
    chance: Chance<Message>,
    gateways: Vec<Gateway>,
    roots: Vec<InitialShare>,
    total: u64,
    broken: Option<Mutation>,
    usage: BudgetKind,
    spent: Vec<Duration>,
    /// The most units of others' roots that were in use at once.
    moved: u64,
}

impl Run {
    fn new(seed: u64, broken: Option<Mutation>, usage: BudgetKind) -> Self {
        let mut chance = Chance::new(seed);
        let size = 3 + chance.below(4);
        let total = chance.rng.random_range(5_000..60_000);
        let weights: Vec<u64> = (0..size).map(|_| chance.rng.random_range(0..4)).collect();
        let weights = if weights.iter().sum::<u64>() == 0 { vec![1; size] } else { weights };
        let floors = split_proportionally(total / 10, &vec![1; size]);
        let lendable = split_proportionally(total - total / 10, &weights);
        let roots: Vec<InitialShare> = floors
            .into_iter()
            .zip(lendable)
            .map(|(floor, lendable)| InitialShare { floor, lendable })
            .collect();
        let mut gateways = Vec::new();
        for _ in 0..size {
            let clock = Clock::new(&mut chance);
            let jumped = chance.now;
            gateways.push(Gateway {
                budget: None,
                clock,
                generation: 50,
                stalled: chance.now,
                wants: 0,
                jumped,
            });
        }
        let spent = Vec::new();
        let moved = 0;
        let mut simulate = Self { chance, gateways, roots, total, broken, usage, spent, moved };
        (0..size).for_each(|number| simulate.start(number, true));
        simulate
    }

    fn start(&mut self, number: usize, first: bool) {
        let gateway = &mut self.gateways[number];
        let now = gateway.clock.read(self.chance.now);
        // Without a new generation the gateway is the same to all others.
        gateway.generation += 1;
        let slot = Slot(number as u16);
        let mut escrow =
            Escrow::new(slot, gateway.generation, self.roots[number], LeaseConfig::default(), first, now);
        if let Some(broken) = self.broken {
            escrow.set_mutation(broken);
        }
        gateway.budget = Some(Budget::new(escrow, self.usage, now));
    }

    fn fault(&mut self, jumps: bool) {
        let size = self.gateways.len();
        let number = self.chance.below(size);
        match self.chance.below(11) {
            0 => self.chance.loss = self.chance.rng.random_range(0.0..0.5),
            1 => self.chance.repeat = self.chance.rng.random_range(0.0..0.5),
            2 => self.chance.slow = (3_000, self.chance.rng.random_range(0.0..0.6)),
            3 => self.chance.part(size),
            4 => {
                let to = self.chance.below(size);
                self.chance.cut.insert((number, to));
            }
            5 | 6 => self.chance.cut.clear(),
            7 => {
                let long = self.chance.rng.random_range(100..4_000);
                self.gateways[number].stalled = self.chance.now + Duration::from_millis(long);
            }
            8 => self.gateways[number].budget = None,
            // A kill and a start at once.
            9 => self.start(number, false),
            _ if jumps && self.chance.now > self.gateways[number].jumped + Duration::from_secs(3) => {
                let by = self.chance.rng.random_range(-3_000..3_000);
                self.gateways[number].clock.jump(by);
                self.gateways[number].jumped = self.chance.now;
            }
            _ => {}
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, message)) = self.chance.next() {
            let gateway = &mut self.gateways[to];
            // What comes for a stalled process waits in its socket.
            if gateway.stalled > self.chance.now {
                let remaining = gateway.stalled - self.chance.now;
                if remaining < Duration::from_millis(1_500) {
                    self.chance.delay(from, to, message);
                }
                continue;
            }
            let now = gateway.clock.read(self.chance.now);
            let Some(budget) = &mut gateway.budget else { continue };
            match message {
                Message::Request(request) => {
                    if let Ok(grant) = budget.grant_lease(now, Slot(from as u16), request) {
                        self.chance.send(to, from, Message::Grant(grant));
                    }
                }
                Message::Grant(grant) => {
                    let _ = budget.accept_lease(now, Slot(from as u16), grant);
                }
            }
        }
    }

    fn act(&mut self, number: usize) {
        let size = self.gateways.len();
        let gateway = &mut self.gateways[number];
        let now = gateway.clock.read(self.chance.now);
        if gateway.stalled > self.chance.now {
            return;
        }
        let Some(budget) = &mut gateway.budget else { return };
        budget.with_escrow(now, |escrow| escrow.set_wanted_units(gateway.wants));
        let tries = gateway.wants * 2 * STEP.as_millis() as u64 / 1_000_000 + 1;
        for _ in 0..tries {
            if gateway.wants > 0 && budget.try_spend(now) {
                self.spent.push(self.chance.now);
            }
        }
        if self.usage == BudgetKind::Concurrency && self.chance.one_in(10) {
            budget.release();
        }
        if self.chance.one_in(12) {
            for other in (0..size).filter(|&other| other != number) {
                let request =
                    budget.request_lease(now, Slot(other as u16), gateway.wants / (size as u64 - 1));
                self.chance.send(number, other, Message::Request(request));
            }
        }
        if self.chance.one_in(80) {
            gateway.wants = [0, self.total / 5, self.total][self.chance.below(3)];
        }
    }

    fn check(&mut self) -> Result<(), Violation> {
        let mut usable = Vec::new();
        let mut moved = 0;
        for gateway in &mut self.gateways {
            if gateway.stalled > self.chance.now {
                continue;
            }
            let now = gateway.clock.read(self.chance.now);
            if let Some(budget) = &mut gateway.budget {
                budget.advance_to(now);
                budget.check()?;
                usable.push(budget.escrow().usable_units());
                moved += budget.escrow().leased_units();
            }
        }
        self.moved = self.moved.max(moved);
        check_total(self.total, usable)
    }

    /// B5 over every window of `window` that begins with a spend.
    fn check_spent(&self, window: Duration) -> Result<(), Violation> {
        let mut end = 0;
        // Clocks are up to 2% fast.
        let pace = self.total as f64 / 1_000.0 * (window.as_secs_f64() * 1.02 + BURST.as_secs_f64());
        let most = pace.floor() as u64;
        for (begin, &at) in self.spent.iter().enumerate() {
            while end < self.spent.len() && self.spent[end] <= at + window {
                end += 1;
            }
            let spent = (end - begin) as u64;
            if spent > most {
                return Err(Violation::OverSpent { spent, most, window });
            }
        }
        Ok(())
    }
}

fn simulate(seed: u64, broken: Option<Mutation>, usage: BudgetKind, steps: usize) -> Result<Run, Violation> {
    let mut simulate = Run::new(seed, broken, usage);
    let jumps = seed % 2 == 1;
    for _ in 0..steps {
        simulate.chance.now += STEP;
        if simulate.chance.one_in(20) {
            simulate.fault(jumps);
        }
        for number in 0..simulate.gateways.len() {
            if simulate.gateways[number].budget.is_none() && simulate.chance.one_in(60) {
                simulate.start(number, false);
            }
            simulate.act(number);
        }
        simulate.deliver();
        simulate.check()?;
    }
    if !jumps && matches!(usage, BudgetKind::Rate { .. }) {
        for ms in [50, 500, 2_000] {
            simulate.check_spent(Duration::from_millis(ms))?;
        }
    }
    Ok(simulate)
}

#[test]
fn gateways_never_use_more_than_the_total() {
    let mut moved = 0;
    let mut spent = 0;
    let count = 2_000;
    for seed in seeds(count) {
        let usage = if seed % 5 == 4 { BudgetKind::Concurrency } else { BudgetKind::Rate { burst: BURST } };
        match simulate(seed, None, usage, 400) {
            Ok(simulate) => {
                moved += u64::from(simulate.moved > simulate.total / 10);
                spent += simulate.spent.len();
            }
            Err(violation) => panic!("ASHTIDE_SEED={seed}: {violation}"),
        }
    }
    assert!(std::env::var("ASHTIDE_SEED").is_ok() || moved > count / 2, "rights were moved in {moved} plays");
    assert!(spent > 0);
}

#[test]
fn the_roots_of_a_budget_make_up_its_total() {
    for (total, slots, floors) in [(0, 3, 100), (1, 9, 100), (7, 3, 1_000), (60_001, 300, 100), (9, 5_000, 0)]
    {
        let roots = initial_shares(5, total, slots, floors);
        let sum: u64 = roots.values().map(|root| root.floor + root.lendable).sum();
        assert_eq!((sum, roots.len()), (total, usize::from(slots)), "{total} over {slots}");
    }
    assert_eq!(split_proportionally(10, &[1, 0, 2]), [3, 0, 7]);
    assert_eq!(max_min_fair(10, &[1, 20, 3, 20]), [1, 3, 3, 3]);
}

#[test]
fn each_broken_variant_is_found_by_name() {
    let variants = [
        (Mutation::AcceptRepeatedRequest, "B4"),
        (Mutation::ForgetUnconfirmedGrant, "B4"),
        (Mutation::AcceptRepeatedGrant, "B4"),
        (Mutation::LeaseFromGrantTime, "B4"),
        (Mutation::NoLendingDelay, "B4"),
        (Mutation::NoExpiry, "B2"),
    ];
    let mut missed = Vec::new();
    for (broken, number) in variants {
        let mut found = BTreeMap::new();
        for seed in 0..100 {
            if let Err(violation) = simulate(seed, Some(broken), BudgetKind::Rate { burst: BURST }, 400) {
                *found.entry(violation.invariant_id()).or_insert(0) += 1;
            }
        }
        println!("{broken:?}: found in 100 seeds: {found:?}");
        if !found.contains_key(number) {
            missed.push((broken, found));
        }
    }
    assert!(missed.is_empty(), "{missed:?}");
}
