//! Whole tiers in virtual time under everything that can befall them, from a seed: what is out together never passes
//! the bound, nothing is lost, nothing is given out twice.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashtide_fleet::state::Slot;
use ashtide_maintenance::{
    AcceptorState, Action, Change, Limits, MachineKind, MaintenanceQueue, Mutation, Observations,
    PersistedVote, Phase, Replica, ReplicaConfig, RequestOutcome, TimingConfig, Violation,
    check_machines_out,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(50);
const TERMS: TimingConfig = TimingConfig {
    lease: Duration::from_millis(2_000),
    margin: Duration::from_millis(500),
    proposal_timeout: Duration::from_millis(1_000),
    read_interval: Duration::from_millis(250),
    takeover_step: Duration::from_millis(250),
    max_drain: Duration::from_millis(1_500),
    max_work: Duration::from_millis(1_000),
    return_when_drained: false,
};
const SERVERS: usize = 10;
const FLOOR: usize = 7;

struct Gateway {
    node: Option<Replica>,
    disk: Option<AcceptorState>,
    incarnation: u64,
    stalled: bool,
    /// Its clock, and how fast that runs.
    clock: Duration,
    rate: f64,
    /// What waits while it stands still.
    inbox: Vec<Vec<u8>>,
    open: BTreeMap<String, u32>,
}

struct Cluster {
    rng: ChaCha8Rng,
    now: Duration,
    rules: Limits,
    setups: Vec<ReplicaConfig>,
    gateways: Vec<Gateway>,
    wire: BTreeMap<(Duration, u64), (usize, usize, Vec<u8>)>,
    number: u64,
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    repeat: f64,
    slow: f64,
    ready: BTreeSet<String>,
    broken: Option<Mutation>,
    /// Calls that were said to be done, and what they were.
    wanted: BTreeMap<(usize, u64), String>,
    requested: BTreeSet<String>,
    /// What an operator took back: whoever looks seldom may never see it in a table.
    cancelled: BTreeSet<String>,
    chosen: BTreeMap<u64, MaintenanceQueue>,
    longest: usize,
}

impl Cluster {
    fn new(seed: u64, broken: Option<Mutation>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let members = rng.random_range(3..=6);
        let voters = [3, 5][rng.random_range(0..2)].min(members);
        let slots = |count: usize| (0..count as u16).map(Slot).collect::<Vec<_>>();
        let rules = Limits {
            max_servers_out: rng.random_range(1..=3),
            max_gateways_out: 1,
            min_ready_servers: FLOOR,
        };
        let terms = TimingConfig { return_when_drained: rng.random_bool(0.3), ..TERMS };
        let setup = |own: u16| ReplicaConfig {
            fleet_id: 1,
            own_slot: Slot(own),
            members: slots(members),
            acceptors: slots(voters),
            limits: rules,
            timing: terms,
        };
        let setups: Vec<ReplicaConfig> = (0..members as u16).map(setup).collect();
        let gateway = |_| Gateway {
            node: None,
            disk: None,
            incarnation: 0,
            stalled: false,
            clock: Duration::from_secs(50),
            rate: 1.0,
            inbox: Vec::new(),
            open: BTreeMap::new(),
        };
        let mut cluster = Self {
            rng,
            now: Duration::ZERO,
            rules,
            gateways: setups.iter().map(gateway).collect(),
            setups,
            wire: BTreeMap::new(),
            number: 0,
            cut: BTreeSet::new(),
            loss: 0.0,
            repeat: 0.0,
            slow: 0.0,
            ready: (0..SERVERS).map(|server| format!("s-{server}")).collect(),
            broken,
            wanted: BTreeMap::new(),
            requested: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            chosen: BTreeMap::new(),
            longest: 0,
        };
        for at in 0..members {
            cluster.gateways[at].rate = cluster.rng.random_range(0.98..1.02);
            cluster.start(at);
        }
        cluster
    }

    fn one_in(&mut self, times: u32) -> bool {
        self.rng.random_range(0..times) == 0
    }

    fn start(&mut self, at: usize) {
        let gateway = &mut self.gateways[at];
        gateway.incarnation += 1;
        let memory = gateway.disk.clone().map_or(PersistedVote::Lost, PersistedVote::Stored);
        let mut node = Replica::new(self.setups[at].clone(), gateway.incarnation, memory, gateway.clock);
        if let Some(broken) = self.broken {
            node.set_mutation(broken);
        }
        gateway.node = Some(node);
        gateway.stalled = false;
        gateway.inbox.clear();
        gateway.open = self.ready.iter().map(|name| (name.clone(), 3)).collect();
    }

    fn crash(&mut self, at: usize) {
        self.gateways[at].node = None;
        self.gateways[at].stalled = false;
    }

    /// Whether a voter's disk may be lost: no other is without a memory at that moment.
    fn may_lose(&self, at: usize) -> bool {
        let voters = &self.setups[at].acceptors;
        let whole = |(other, gateway): (usize, &Gateway)| {
            other == at
                || !voters.contains(&Slot(other as u16))
                || (gateway.disk.is_some() && gateway.node.as_ref().is_some_and(Replica::is_voting))
        };
        self.gateways.iter().enumerate().all(whole)
    }

    fn operate(&mut self, at: usize, name: &str, how: usize) {
        let requested_at_ms = self.now.as_millis() as u64;
        let Some(node) = &mut self.gateways[at].node else { return };
        let kind = if name.starts_with('g') { MachineKind::Gateway } else { MachineKind::Server };
        match how {
            0 => {
                if let Some(call) = node.request(kind, name, "work", requested_at_ms) {
                    self.wanted.insert((at, call), name.to_owned());
                }
            }
            1 => {
                node.cancel(name);
                self.cancelled.insert(name.to_owned());
            }
            _ => drop(node.complete(name)),
        }
    }

    fn act(&mut self, at: usize) {
        while let Some(action) = self.gateways[at].node.as_mut().and_then(Replica::next_action) {
            match action {
                Action::Persist(vote) => self.gateways[at].disk = Some(*vote),
                Action::Send(to, datagram) => {
                    assert!(datagram.len() <= 256);
                    let to = usize::from(to.0);
                    let copies = 1 + usize::from(self.rng.random_bool(self.repeat));
                    for _ in 0..copies {
                        if self.cut.contains(&(at, to)) || self.rng.random_bool(self.loss) {
                            continue;
                        }
                        let longest = if self.rng.random_bool(self.slow) { 3_000 } else { 60 };
                        let delay = Duration::from_millis(self.rng.random_range(1..=longest));
                        self.number += 1;
                        self.wire.insert((self.now + delay, self.number), (at, to, datagram.to_vec()));
                    }
                }
                Action::Answer { request_id: call, outcome } => {
                    if let Some(name) = self.wanted.remove(&(at, call))
                        && outcome == RequestOutcome::Committed
                    {
                        self.requested.insert(name);
                    }
                }
                Action::Drain { .. } | Action::Return { .. } | Action::Log(_) => {}
            }
            // In the midst of what it was about to do.
            if self.loss > 0.0 && self.one_in(400) {
                self.crash(at);
            }
        }
    }

    fn step(&mut self) -> Result<(), Violation> {
        self.now += STEP;
        for at in 0..self.gateways.len() {
            let gateway = &mut self.gateways[at];
            gateway.clock += STEP.mul_f64(gateway.rate);
            if gateway.stalled {
                continue;
            }
            let Some(node) = &mut gateway.node else { continue };
            let cordoned: Vec<String> =
                node.cordoned_machines(MachineKind::Server).map(str::to_owned).collect();
            for name in &cordoned {
                let open = gateway.open.entry(name.clone()).or_default();
                if *open > 0 && self.rng.random_bool(0.05) {
                    *open -= 1;
                }
            }
            let there = (0..self.setups.len() as u16)
                .map(Slot)
                .filter(|it| !self.cut.contains(&(usize::from(it.0), at)))
                .collect();
            node.set_observations(Observations {
                ready_servers: self.ready.clone(),
                open_connections: gateway.open.clone(),
                present_gateways: there,
            });
            node.advance_to(gateway.clock);
            for datagram in std::mem::take(&mut gateway.inbox) {
                node.handle_datagram(gateway.clock, &datagram).expect("it is of this tier");
            }
            node.check()?;
            self.act(at);
        }
        while let Some(entry) = self.wire.first_entry().filter(|it| it.key().0 <= self.now) {
            let (from, to, datagram) = entry.remove();
            let gateway = &mut self.gateways[to];
            if self.cut.contains(&(from, to)) {
                continue;
            }
            if gateway.stalled {
                gateway.inbox.push(datagram);
            } else if let Some(node) = &mut gateway.node {
                node.handle_datagram(gateway.clock, &datagram).expect("it is of this tier");
                self.act(to);
            }
        }
        self.check()
    }

    fn check(&mut self) -> Result<(), Violation> {
        let running = || {
            let awake = self.gateways.iter().filter(|gateway| !gateway.stalled);
            awake.filter_map(|gateway| gateway.node.as_ref())
        };
        let out = |kind| running().flat_map(move |node| node.cordoned_machines(kind));
        check_machines_out(self.rules.max_servers_out, out(MachineKind::Server))?;
        check_machines_out(self.rules.max_gateways_out, out(MachineKind::Gateway))?;
        self.longest = self.longest.max(out(MachineKind::Server).collect::<BTreeSet<_>>().len());
        for node in self.gateways.iter().filter_map(|gateway| gateway.node.as_ref()) {
            let table = node.queue().0;
            let chosen = self.chosen.entry(table.version).or_insert_with(|| table.clone());
            if chosen != table {
                return Err(Violation::DivergentValues { version: table.version });
            }
        }
        Ok(())
    }

    fn fault(&mut self) {
        let at = self.rng.random_range(0..self.gateways.len());
        let other = self.rng.random_range(0..self.gateways.len());
        match self.rng.random_range(0..12) {
            0 => self.loss = [0.0001, 0.1, 0.3, 0.5][self.rng.random_range(0..4)],
            1 => self.slow = [0.0, 0.05, 0.3][self.rng.random_range(0..3)],
            2 => drop(self.cut.insert((at, other))),
            3 => {
                let side: Vec<bool> = self.gateways.iter().map(|_| self.rng.random_bool(0.5)).collect();
                let count = side.len();
                let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
                self.cut.extend(pairs.filter(|&(from, to)| side[from] != side[to]));
            }
            4 | 5 => self.cut.clear(),
            6 => self.gateways[at].stalled = self.gateways[at].node.is_some(),
            7 => self.gateways.iter_mut().for_each(|gateway| gateway.stalled = false),
            8 => self.crash(at),
            9 => {
                if self.may_lose(at) {
                    self.crash(at);
                    self.gateways[at].disk = None;
                }
            }
            10 => {
                for at in 0..self.gateways.len() {
                    if self.gateways[at].node.is_none() {
                        self.start(at);
                    }
                }
            }
            _ => {
                let leap = Duration::from_millis(self.rng.random_range(0..3_000));
                let gateway = &mut self.gateways[at];
                if !gateway.stalled {
                    let back = self.rng.random_bool(0.5);
                    gateway.clock = if back { gateway.clock - leap } else { gateway.clock + leap };
                }
            }
        }
    }

    /// Half a minute of faults, then all is well; the queue is worked off.
    fn simulate(&mut self) -> Result<(), Violation> {
        // The first start has no memory to lose.
        let voters = self.setups[0].acceptors.clone();
        for _ in 0..200 {
            self.step()?;
        }
        assert!(voters.iter().all(|it| self.gateways[usize::from(it.0)].node.as_ref().unwrap().is_voting()));
        for server in 0..6 {
            let at = self.rng.random_range(0..self.gateways.len());
            self.operate(at, &format!("s-{server}"), 0);
        }
        self.operate(0, "g-1", 0);
        self.loss = 0.0001;
        self.repeat = 0.05;
        for step in 0..600 {
            if step % 5 == 0 && self.one_in(3) {
                self.fault();
            }
            if self.one_in(20) {
                let at = self.rng.random_range(0..self.gateways.len());
                let how = self.rng.random_range(0..4_usize);
                let name = format!("s-{}", self.rng.random_range(0..6));
                // Requests come again and again, cancels and ends now and then.
                self.operate(at, &name, how.saturating_sub(1));
            }
            self.step()?;
        }
        self.loss = 0.0;
        self.repeat = 0.0;
        self.slow = 0.0;
        self.cut.clear();
        for at in 0..self.gateways.len() {
            self.gateways[at].stalled = false;
            if self.gateways[at].node.is_none() {
                self.start(at);
            }
        }
        for _ in 0..1_600 {
            self.step()?;
            let idle = |gateway: &Gateway| {
                gateway.node.as_ref().is_some_and(|it| it.queue().1 && it.queue().0.entries.is_empty())
            };
            if self.wanted.is_empty() && self.gateways.iter().all(idle) {
                break;
            }
        }
        Ok(())
    }

    /// What was promised to operators: nothing is lost, nothing stays, and nothing goes back in its course.
    fn cordoned(&self, seed: u64) {
        for gateway in &self.gateways {
            let (table, fresh) = gateway.node.as_ref().expect("it runs").queue();
            assert!(fresh, "seed {seed}: a gateway knows nothing of the others");
            assert!(table.entries.is_empty(), "seed {seed}: these stayed: {:?}", table.entries);
        }
        let mut courses: BTreeMap<u64, (u8, u64)> = BTreeMap::new();
        let mut seen = BTreeSet::new();
        for (version, table) in &self.chosen {
            for row in &table.entries {
                seen.insert(row.name.clone());
                let course = match row.phase {
                    Phase::Queued => 0,
                    Phase::Draining { .. } => 1,
                    Phase::Out { .. } => 2,
                    Phase::Released { .. } => 3,
                };
                let (before, last) =
                    courses.insert(row.request_id, (course, *version)).unwrap_or((course, *version));
                assert!(before <= course, "seed {seed}: {} went back", row.name);
                let gap = (last < *version).then(|| self.chosen.range(last + 1..*version).next()).flatten();
                assert!(gap.is_none(), "seed {seed}: {} was gone and is back", row.name);
            }
        }
        for name in self.requested.difference(&self.cancelled) {
            assert!(seen.contains(name), "seed {seed}: {name} was taken on and lost");
        }
    }
}

fn seeds() -> (u64, u64) {
    let number = |name| std::env::var(name).ok().and_then(|it: String| it.parse().ok());
    match number("ASHTIDE_SEED") {
        Some(seed) => (seed, 1),
        None => (1, number("ASHTIDE_SEEDS").unwrap_or(300)),
    }
}

/// What comes of these seeds, in their order.
fn side_by_side<T: Send>(first: u64, count: u64, simulate: impl Fn(u64) -> Option<T> + Sync) -> Vec<T> {
    const THREADS: u64 = 4;
    let part = |thread| (first..first + count).filter(move |seed| seed % THREADS == thread);
    let all = std::thread::scope(|scope| {
        let each = |thread| {
            let simulate = &simulate;
            scope.spawn(move || {
                part(thread).filter_map(|seed| Some((seed, simulate(seed)?))).collect::<Vec<_>>()
            })
        };
        let threads: Vec<_> = (0..THREADS).map(each).collect();
        threads
            .into_iter()
            .flat_map(|it| it.join().expect("a thread's panic is the test's"))
            .collect::<Vec<_>>()
    });
    let all: BTreeMap<u64, T> = all.into_iter().collect();
    all.into_values().collect()
}

#[test]
fn clusters_of_all_seeds_stay_within_the_bound_and_finish_the_queue() {
    let (first, count) = seeds();
    let simulated = side_by_side(first, count, |seed| {
        let mut cluster = Cluster::new(seed, None);
        if let Err(violation) = cluster.simulate() {
            panic!("ASHTIDE_SEED={seed}: {violation}; {}", violation.help());
        }
        cluster.cordoned(seed);
        let nodes = cluster.gateways.iter().filter_map(|it| it.node.as_ref());
        let counts = nodes.map(|it| [it.metrics().chosen, it.metrics().fenced, it.metrics().lease_lapses]);
        let sum = counts.fold([0; 3], |one, other| std::array::from_fn(|at| one[at] + other[at]));
        Some((cluster.longest == cluster.rules.max_servers_out, sum))
    });
    let full = simulated.iter().filter(|it| it.0).count();
    let [chosen, fenced, lapses] =
        simulated.iter().fold([0; 3], |one, (_, other)| std::array::from_fn(|at| one[at] + other[at]));
    println!("{count} seeds: {full} filled the bound, {chosen} rounds, {fenced} fenced, {lapses} lapses");
    assert!(full as u64 * 10 >= count * 9, "the bound was reached in {full} of {count} only");
}

#[test]
fn broken_variants_are_found_by_name() {
    let found = [
        (Mutation::NoCooling, "M1"),
        (Mutation::NoLease, "M"),
        (Mutation::ActOnPersistedGrant, "M"),
        (Mutation::MajorityOfResponders, "M"),
        (Mutation::UnsyncedVote, "M"),
        (Mutation::VoteWithoutCatchUp, "M"),
    ];
    for (broken, name) in found {
        let violations: Vec<String> = side_by_side(1, 300, |seed| {
            let mut cluster = Cluster::new(seed, Some(broken));
            cluster.simulate().err().map(|it| it.to_string())
        });
        let first = violations.first().map(String::as_str).unwrap_or("nothing");
        println!("{broken:?}: {} of 300, first {first}", violations.len());
        assert!(violations.iter().any(|it| it.starts_with(name)), "{broken:?} is not found as {name}");
    }
}

/// Settled, with six requests in the queue and three gateways.
fn queued(seed: u64, broken: Option<Mutation>) -> Cluster {
    let mut cluster = Cluster::new(seed, broken);
    (0..200).for_each(|_| cluster.step().expect("nothing has happened yet"));
    (0..6).for_each(|server| cluster.operate(0, &format!("s-{server}"), 0));
    cluster
}

/// The way a gateway that was asleep comes to act on an old grant: answers to what it asked before lie in its socket.
#[test]
fn a_stalled_gateway_that_wakes_does_not_act_on_an_old_grant() {
    let mut woken = 0;
    for (broken, found) in [(None, false), (Some(Mutation::LeaseFromAnswerTime), true)] {
        let mut violations = 0;
        for seed in 1..=60 {
            let mut cluster = queued(seed, broken);
            let last = cluster.gateways.len() - 1;
            let cordons = |cluster: &Cluster| {
                cluster.gateways[last].node.as_ref().unwrap().cordoned_machines(MachineKind::Server).count()
            };
            while cordons(&cluster) == 0 || cluster.rng.random_range(0..5) > 0 {
                cluster.step().expect("all is well");
            }
            cluster.gateways[last].stalled = true;
            (0..160).for_each(|_| cluster.step().expect("the others go on"));
            cluster.gateways[last].stalled = false;
            woken += usize::from(!cluster.gateways[last].inbox.is_empty());
            violations += usize::from((0..20).any(|_| cluster.step().is_err()));
        }
        println!("{broken:?}: {violations} of 60");
        assert_eq!(violations > 0, found, "{broken:?}: {violations} of 60");
    }
    assert!(woken > 60, "nothing waited for those that woke");
}

/// Only so that a change that nobody proposes is not a change that works.
#[test]
fn a_table_refuses_what_it_should() {
    let rules = Limits { max_servers_out: 1, max_gateways_out: 1, min_ready_servers: 1 };
    let ready: BTreeSet<String> = ["a", "b"].map(str::to_owned).into();
    let mut table = MaintenanceQueue::default();
    let request = |call, name: &str| Change::Request {
        request_id: call,
        kind: MachineKind::Server,
        name: name.to_owned(),
        reason: String::new(),
        requested_at_ms: 1,
    };
    table.apply(&request(1, "a"), &rules, &ready).unwrap();
    table.apply(&request(2, "b"), &rules, &ready).unwrap();
    let grant = |name: &str| Change::Grant { name: name.to_owned(), holder: Slot(0) };
    table.apply(&grant("a"), &rules, &ready).unwrap();
    let refused = table.apply(&grant("b"), &rules, &ready).unwrap_err();
    assert!(refused.to_string().contains("as many are out"), "{refused}");
    let rules = Limits { max_servers_out: 2, ..rules };
    let refused = table.apply(&grant("b"), &rules, &ready).unwrap_err();
    assert!(refused.to_string().contains("floor"), "{refused}: a is out, b would be");
    let take = Change::TakeOver { name: "a".to_owned(), token: 1, holder: Slot(1) };
    table.apply(&take, &rules, &ready).unwrap();
    let old = Change::Drained { name: "a".to_owned(), token: 1, return_at_once: false };
    let refused = table.apply(&old, &rules, &ready).unwrap_err();
    assert!(refused.to_string().contains("fencing token"), "{refused}");
}
