//! Seeded simulations of complete fleets in virtual time, with message loss, duplication, delay, partitions,
//! stalls, crashes, lost disks and clock steps. The number of machines that are out at a time stays within
//! its limit, no request is lost, and no grant is repeated.

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
const TIMING: TimingConfig = TimingConfig {
    lease: Duration::from_millis(2_000),
    margin: Duration::from_millis(500),
    proposal_timeout: Duration::from_millis(1_000),
    read_interval: Duration::from_millis(250),
    takeover_step: Duration::from_millis(250),
    max_drain: Duration::from_millis(1_500),
    max_work: Duration::from_millis(1_000),
    return_when_drained: false,
};
const SERVER_COUNT: usize = 10;
const MIN_READY_SERVERS: usize = 7;

struct Gateway {
    replica: Option<Replica>,
    disk: Option<AcceptorState>,
    incarnation: u64,
    stalled: bool,
    /// Time shown by the gateway's own clock.
    clock: Duration,
    /// Rate of the gateway's clock, relative to the simulated time.
    clock_rate: f64,
    /// Datagrams received during a stall.
    inbox: Vec<Vec<u8>>,
    open_connections: BTreeMap<String, u32>,
}

/// Command of an operator to one gateway.
#[derive(Clone, Copy)]
enum OperatorCommand {
    Request,
    Cancel,
    Done,
}

struct Cluster {
    rng: ChaCha8Rng,
    now: Duration,
    limits: Limits,
    configs: Vec<ReplicaConfig>,
    gateways: Vec<Gateway>,
    /// Datagrams by delivery time and number; each with its sender, its receiver and its bytes.
    in_flight: BTreeMap<(Duration, u64), (usize, usize, Vec<u8>)>,
    datagram_count: u64,
    /// Sender and receiver of the links on which all datagrams are lost.
    blocked_links: BTreeSet<(usize, usize)>,
    loss_probability: f64,
    duplicate_probability: f64,
    slow_probability: f64,
    ready_servers: BTreeSet<String>,
    mutation: Option<Mutation>,
    /// Machine names of unanswered requests, by gateway and request id.
    pending_requests: BTreeMap<(usize, u64), String>,
    /// Names of the machines whose requests were committed.
    requested_machines: BTreeSet<String>,
    /// Names of the machines whose maintenance was cancelled. Such a machine may have been in the queue only
    /// between two versions that the gateways learned.
    cancelled_machines: BTreeSet<String>,
    /// Learned queues by version.
    chosen: BTreeMap<u64, MaintenanceQueue>,
    /// Highest number of servers that were cordoned at a time.
    max_servers_cordoned: usize,
}

impl Cluster {
    fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let members = rng.random_range(3..=6);
        let acceptors = [3, 5][rng.random_range(0..2)].min(members);
        let slots = |count: usize| (0..count as u16).map(Slot).collect::<Vec<_>>();
        let limits = Limits {
            max_servers_out: rng.random_range(1..=3),
            max_gateways_out: 1,
            min_ready_servers: MIN_READY_SERVERS,
        };
        let timing = TimingConfig { return_when_drained: rng.random_bool(0.3), ..TIMING };
        let config = |own: u16| ReplicaConfig {
            fleet_id: 1,
            own_slot: Slot(own),
            members: slots(members),
            acceptors: slots(acceptors),
            limits,
            timing,
        };
        let configs: Vec<ReplicaConfig> = (0..members as u16).map(config).collect();
        let gateway = |_| Gateway {
            replica: None,
            disk: None,
            incarnation: 0,
            stalled: false,
            clock: Duration::from_secs(50),
            clock_rate: 1.0,
            inbox: Vec::new(),
            open_connections: BTreeMap::new(),
        };
        let mut cluster = Self {
            rng,
            now: Duration::ZERO,
            limits,
            gateways: configs.iter().map(gateway).collect(),
            configs,
            in_flight: BTreeMap::new(),
            datagram_count: 0,
            blocked_links: BTreeSet::new(),
            loss_probability: 0.0,
            duplicate_probability: 0.0,
            slow_probability: 0.0,
            ready_servers: (0..SERVER_COUNT).map(|server| format!("s-{server}")).collect(),
            mutation,
            pending_requests: BTreeMap::new(),
            requested_machines: BTreeSet::new(),
            cancelled_machines: BTreeSet::new(),
            chosen: BTreeMap::new(),
            max_servers_cordoned: 0,
        };
        for index in 0..members {
            cluster.gateways[index].clock_rate = cluster.rng.random_range(0.98..1.02);
            cluster.start(index);
        }
        cluster
    }

    fn one_in(&mut self, times: u32) -> bool {
        self.rng.random_range(0..times) == 0
    }

    fn start(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        gateway.incarnation += 1;
        let persisted = gateway.disk.clone().map_or(PersistedVote::Lost, PersistedVote::Stored);
        let mut replica =
            Replica::new(self.configs[index].clone(), gateway.incarnation, persisted, gateway.clock);
        if let Some(mutation) = self.mutation {
            replica.set_mutation(mutation);
        }
        gateway.replica = Some(replica);
        gateway.stalled = false;
        gateway.inbox.clear();
        gateway.open_connections = self.ready_servers.iter().map(|name| (name.clone(), 3)).collect();
    }

    fn crash(&mut self, index: usize) {
        self.gateways[index].replica = None;
        self.gateways[index].stalled = false;
    }

    /// Checks whether the disk of a gateway may be lost, which is the case while all other acceptors vote and
    /// have a persisted state.
    fn may_lose_disk(&self, index: usize) -> bool {
        let acceptors = &self.configs[index].acceptors;
        let is_unaffected = |(other, gateway): (usize, &Gateway)| {
            other == index
                || !acceptors.contains(&Slot(other as u16))
                || (gateway.disk.is_some() && gateway.replica.as_ref().is_some_and(Replica::is_voting))
        };
        self.gateways.iter().enumerate().all(is_unaffected)
    }

    fn run_operator_command(&mut self, index: usize, name: &str, command: OperatorCommand) {
        let requested_at_ms = self.now.as_millis() as u64;
        let Some(replica) = &mut self.gateways[index].replica else { return };
        let kind = if name.starts_with('g') { MachineKind::Gateway } else { MachineKind::Server };
        match command {
            OperatorCommand::Request => {
                if let Some(request_id) = replica.request(kind, name, "work", requested_at_ms) {
                    self.pending_requests.insert((index, request_id), name.to_owned());
                }
            }
            OperatorCommand::Cancel => {
                replica.cancel(name);
                self.cancelled_machines.insert(name.to_owned());
            }
            OperatorCommand::Done => drop(replica.complete(name)),
        }
    }

    fn execute_actions(&mut self, index: usize) {
        while let Some(action) = self.gateways[index].replica.as_mut().and_then(Replica::next_action) {
            match action {
                Action::Persist(vote) => self.gateways[index].disk = Some(*vote),
                Action::Send(to, datagram) => {
                    assert!(datagram.len() <= 256);
                    let to = usize::from(to.0);
                    let copies = 1 + usize::from(self.rng.random_bool(self.duplicate_probability));
                    for _ in 0..copies {
                        if self.blocked_links.contains(&(index, to))
                            || self.rng.random_bool(self.loss_probability)
                        {
                            continue;
                        }
                        let max_delay_ms =
                            if self.rng.random_bool(self.slow_probability) { 3_000 } else { 60 };
                        let delay = Duration::from_millis(self.rng.random_range(1..=max_delay_ms));
                        self.datagram_count += 1;
                        self.in_flight
                            .insert((self.now + delay, self.datagram_count), (index, to, datagram.to_vec()));
                    }
                }
                Action::Answer { request_id, outcome } => {
                    if let Some(name) = self.pending_requests.remove(&(index, request_id))
                        && outcome == RequestOutcome::Committed
                    {
                        self.requested_machines.insert(name);
                    }
                }
                Action::Drain { .. } | Action::Return { .. } | Action::Log(_) => {}
            }
            // The gateway may crash between two actions.
            if self.loss_probability > 0.0 && self.one_in(400) {
                self.crash(index);
            }
        }
    }

    fn step(&mut self) -> Result<(), Violation> {
        self.now += STEP;
        for index in 0..self.gateways.len() {
            let gateway = &mut self.gateways[index];
            gateway.clock += STEP.mul_f64(gateway.clock_rate);
            if gateway.stalled {
                continue;
            }
            let Some(replica) = &mut gateway.replica else { continue };
            let cordoned: Vec<String> =
                replica.cordoned_machines(MachineKind::Server).map(str::to_owned).collect();
            for name in &cordoned {
                let open = gateway.open_connections.entry(name.clone()).or_default();
                if *open > 0 && self.rng.random_bool(0.05) {
                    *open -= 1;
                }
            }
            let present_gateways = (0..self.configs.len() as u16)
                .map(Slot)
                .filter(|slot| !self.blocked_links.contains(&(usize::from(slot.0), index)))
                .collect();
            replica.set_observations(Observations {
                ready_servers: self.ready_servers.clone(),
                open_connections: gateway.open_connections.clone(),
                present_gateways,
            });
            replica.advance_to(gateway.clock);
            for datagram in std::mem::take(&mut gateway.inbox) {
                replica.handle_datagram(gateway.clock, &datagram).expect("the datagram is valid");
            }
            replica.check()?;
            self.execute_actions(index);
        }
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (from, to, datagram) = entry.remove();
            let gateway = &mut self.gateways[to];
            if self.blocked_links.contains(&(from, to)) {
                continue;
            }
            if gateway.stalled {
                gateway.inbox.push(datagram);
            } else if let Some(replica) = &mut gateway.replica {
                replica.handle_datagram(gateway.clock, &datagram).expect("the datagram is valid");
                self.execute_actions(to);
            }
        }
        self.check_invariants()
    }

    fn check_invariants(&mut self) -> Result<(), Violation> {
        let running = || {
            let not_stalled = self.gateways.iter().filter(|gateway| !gateway.stalled);
            not_stalled.filter_map(|gateway| gateway.replica.as_ref())
        };
        let cordoned = |kind| running().flat_map(move |replica| replica.cordoned_machines(kind));
        check_machines_out(self.limits.max_servers_out, cordoned(MachineKind::Server))?;
        check_machines_out(self.limits.max_gateways_out, cordoned(MachineKind::Gateway))?;
        let servers_cordoned = cordoned(MachineKind::Server).collect::<BTreeSet<_>>().len();
        self.max_servers_cordoned = self.max_servers_cordoned.max(servers_cordoned);
        for replica in self.gateways.iter().filter_map(|gateway| gateway.replica.as_ref()) {
            let queue = replica.queue().0;
            let chosen = self.chosen.entry(queue.version).or_insert_with(|| queue.clone());
            if chosen != queue {
                return Err(Violation::DivergentValues { version: queue.version });
            }
        }
        Ok(())
    }

    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..self.gateways.len());
        let other = self.rng.random_range(0..self.gateways.len());
        match self.rng.random_range(0..12) {
            0 => self.loss_probability = [0.0001, 0.1, 0.3, 0.5][self.rng.random_range(0..4)],
            1 => self.slow_probability = [0.0, 0.05, 0.3][self.rng.random_range(0..3)],
            2 => drop(self.blocked_links.insert((index, other))),
            3 => {
                let partition: Vec<bool> = self.gateways.iter().map(|_| self.rng.random_bool(0.5)).collect();
                let count = partition.len();
                let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
                self.blocked_links.extend(pairs.filter(|&(from, to)| partition[from] != partition[to]));
            }
            4 | 5 => self.blocked_links.clear(),
            6 => self.gateways[index].stalled = self.gateways[index].replica.is_some(),
            7 => self.gateways.iter_mut().for_each(|gateway| gateway.stalled = false),
            8 => self.crash(index),
            9 => {
                if self.may_lose_disk(index) {
                    self.crash(index);
                    self.gateways[index].disk = None;
                }
            }
            10 => {
                for index in 0..self.gateways.len() {
                    if self.gateways[index].replica.is_none() {
                        self.start(index);
                    }
                }
            }
            _ => {
                let step = Duration::from_millis(self.rng.random_range(0..3_000));
                let gateway = &mut self.gateways[index];
                if !gateway.stalled {
                    let is_backward = self.rng.random_bool(0.5);
                    gateway.clock = if is_backward { gateway.clock - step } else { gateway.clock + step };
                }
            }
        }
    }

    /// Simulates 30 s with faults, followed by up to 80 s without faults in which all requests are completed.
    fn simulate(&mut self) -> Result<(), Violation> {
        // All acceptors start without a persisted state; the fleet is fault-free until they vote.
        let acceptors = self.configs[0].acceptors.clone();
        for _ in 0..200 {
            self.step()?;
        }
        assert!(
            acceptors.iter().all(|slot| self.gateways[usize::from(slot.0)]
                .replica
                .as_ref()
                .unwrap()
                .is_voting())
        );
        for server in 0..6 {
            let index = self.rng.random_range(0..self.gateways.len());
            self.run_operator_command(index, &format!("s-{server}"), OperatorCommand::Request);
        }
        self.run_operator_command(0, "g-1", OperatorCommand::Request);
        self.loss_probability = 0.0001;
        self.duplicate_probability = 0.05;
        for step in 0..600 {
            if step % 5 == 0 && self.one_in(3) {
                self.inject_fault();
            }
            if self.one_in(20) {
                let index = self.rng.random_range(0..self.gateways.len());
                // Half of the commands are requests.
                let command = [
                    OperatorCommand::Request,
                    OperatorCommand::Request,
                    OperatorCommand::Cancel,
                    OperatorCommand::Done,
                ][self.rng.random_range(0..4_usize)];
                let name = format!("s-{}", self.rng.random_range(0..6));
                self.run_operator_command(index, &name, command);
            }
            self.step()?;
        }
        self.loss_probability = 0.0;
        self.duplicate_probability = 0.0;
        self.slow_probability = 0.0;
        self.blocked_links.clear();
        for index in 0..self.gateways.len() {
            self.gateways[index].stalled = false;
            if self.gateways[index].replica.is_none() {
                self.start(index);
            }
        }
        for _ in 0..1_600 {
            self.step()?;
            let is_idle = |gateway: &Gateway| {
                gateway.replica.as_ref().is_some_and(|replica| {
                    let (queue, has_lease) = replica.queue();
                    has_lease && queue.entries.is_empty()
                })
            };
            if self.pending_requests.is_empty() && self.gateways.iter().all(is_idle) {
                break;
            }
        }
        Ok(())
    }

    /// Asserts that all requests were processed: no committed request is lost, no entry remains in the queue,
    /// and no entry returns to an earlier phase.
    fn assert_queue_finished(&self, seed: u64) {
        for gateway in &self.gateways {
            let (queue, has_lease) = gateway.replica.as_ref().expect("the gateway runs").queue();
            assert!(has_lease, "seed {seed}: a gateway has no valid lease on the queue");
            assert!(
                queue.entries.is_empty(),
                "seed {seed}: entries remain in the queue: {:?}",
                queue.entries
            );
        }
        // Rank of the last phase and last version of the queue, by request id.
        let mut phases_by_request: BTreeMap<u64, (u8, u64)> = BTreeMap::new();
        let mut queued_machines = BTreeSet::new();
        for (version, queue) in &self.chosen {
            for entry in &queue.entries {
                queued_machines.insert(entry.name.clone());
                let phase_rank = match entry.phase {
                    Phase::Queued => 0,
                    Phase::Draining { .. } => 1,
                    Phase::Out { .. } => 2,
                    Phase::Released { .. } => 3,
                };
                let (previous_rank, previous_version) = phases_by_request
                    .insert(entry.request_id, (phase_rank, *version))
                    .unwrap_or((phase_rank, *version));
                assert!(
                    previous_rank <= phase_rank,
                    "seed {seed}: {} returned to an earlier phase",
                    entry.name
                );
                let gap = (previous_version < *version)
                    .then(|| self.chosen.range(previous_version + 1..*version).next())
                    .flatten();
                assert!(gap.is_none(), "seed {seed}: {} was removed and is queued again", entry.name);
            }
        }
        for name in self.requested_machines.difference(&self.cancelled_machines) {
            assert!(queued_machines.contains(name), "seed {seed}: the committed request for {name} is lost");
        }
    }
}

/// Returns the first seed and the number of seeds, which the environment can override.
fn seeds() -> (u64, u64) {
    let parse_variable = |name| std::env::var(name).ok().and_then(|value: String| value.parse().ok());
    match parse_variable("ASHTIDE_SEED") {
        Some(seed) => (seed, 1),
        None => (1, parse_variable("ASHTIDE_SEEDS").unwrap_or(300)),
    }
}

/// Runs `simulate` for each seed and returns the results in the order of the seeds.
fn run_seeds_in_parallel<T: Send>(
    first: u64,
    count: u64,
    simulate: impl Fn(u64) -> Option<T> + Sync,
) -> Vec<T> {
    const THREADS: u64 = 4;
    let seeds_of = |thread| (first..first + count).filter(move |seed| seed % THREADS == thread);
    let results = std::thread::scope(|scope| {
        let spawn = |thread| {
            let simulate = &simulate;
            scope.spawn(move || {
                seeds_of(thread).filter_map(|seed| Some((seed, simulate(seed)?))).collect::<Vec<_>>()
            })
        };
        let threads: Vec<_> = (0..THREADS).map(spawn).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("the simulation does not panic"))
            .collect::<Vec<_>>()
    });
    let results: BTreeMap<u64, T> = results.into_iter().collect();
    results.into_values().collect()
}

#[test]
fn all_simulated_fleets_respect_the_limits_and_complete_all_requests() {
    let (first, count) = seeds();
    let simulated = run_seeds_in_parallel(first, count, |seed| {
        let mut cluster = Cluster::new(seed, None);
        if let Err(violation) = cluster.simulate() {
            panic!("ASHTIDE_SEED={seed}: {violation}; {}", violation.help());
        }
        cluster.assert_queue_finished(seed);
        let metrics = cluster.gateways.iter().filter_map(|gateway| Some(gateway.replica.as_ref()?.metrics()));
        let counters = metrics.map(|metrics| [metrics.chosen, metrics.fenced, metrics.lease_lapses]);
        let reached_limit = cluster.max_servers_cordoned == cluster.limits.max_servers_out;
        Some((reached_limit, counters.fold([0; 3], add_counters)))
    });
    let at_limit = simulated.iter().filter(|(reached_limit, _)| *reached_limit).count();
    let [chosen, fenced, lapses] =
        simulated.iter().fold([0; 3], |sum, (_, counters)| add_counters(sum, *counters));
    println!(
        "{count} seeds: {at_limit} reached the limit, {chosen} rounds, {fenced} fenced, {lapses} lapses"
    );
    assert!(at_limit as u64 * 10 >= count * 9, "only {at_limit} of {count} seeds reached the limit");
}

fn add_counters(sum: [u64; 3], counters: [u64; 3]) -> [u64; 3] {
    std::array::from_fn(|index| sum[index] + counters[index])
}

#[test]
fn each_mutation_violates_its_invariant() {
    // Start of the name of the violated invariant, by mutation.
    let expected = [
        (Mutation::NoCooling, "M1"),
        (Mutation::NoLease, "M"),
        (Mutation::ActOnPersistedGrant, "M"),
        (Mutation::MajorityOfResponders, "M"),
        (Mutation::UnsyncedVote, "M"),
        (Mutation::VoteWithoutCatchUp, "M"),
    ];
    for (mutation, name) in expected {
        let violations: Vec<String> = run_seeds_in_parallel(1, 300, |seed| {
            let mut cluster = Cluster::new(seed, Some(mutation));
            cluster.simulate().err().map(|violation| violation.to_string())
        });
        let first = violations.first().map(String::as_str).unwrap_or("none");
        println!("{mutation:?}: {} of 300, first {first}", violations.len());
        assert!(
            violations.iter().any(|violation| violation.starts_with(name)),
            "{mutation:?} does not violate {name}"
        );
    }
}

/// Returns a cluster whose acceptors vote, after requests for six servers.
fn cluster_with_requests(seed: u64, mutation: Option<Mutation>) -> Cluster {
    let mut cluster = Cluster::new(seed, mutation);
    (0..200).for_each(|_| cluster.step().expect("no invariant is violated during the start"));
    (0..6).for_each(|server| {
        cluster.run_operator_command(0, &format!("s-{server}"), OperatorCommand::Request);
    });
    cluster
}

/// Guards against a gateway that acts on an outdated grant after a stall: the answers to reads that it sent
/// before the stall are still in its socket buffer.
#[test]
fn a_gateway_does_not_act_on_an_outdated_grant_after_a_stall() {
    let mut resumed_with_backlog = 0;
    for (mutation, violates) in [(None, false), (Some(Mutation::LeaseFromAnswerTime), true)] {
        let mut violations = 0;
        for seed in 1..=60 {
            let mut cluster = cluster_with_requests(seed, mutation);
            let last = cluster.gateways.len() - 1;
            let cordoned_count = |cluster: &Cluster| {
                cluster.gateways[last]
                    .replica
                    .as_ref()
                    .unwrap()
                    .cordoned_machines(MachineKind::Server)
                    .count()
            };
            while cordoned_count(&cluster) == 0 || cluster.rng.random_range(0..5) > 0 {
                cluster.step().expect("no invariant is violated before the stall");
            }
            cluster.gateways[last].stalled = true;
            (0..160).for_each(|_| cluster.step().expect("no invariant is violated during the stall"));
            cluster.gateways[last].stalled = false;
            resumed_with_backlog += usize::from(!cluster.gateways[last].inbox.is_empty());
            violations += usize::from((0..20).any(|_| cluster.step().is_err()));
        }
        println!("{mutation:?}: {violations} of 60 seeds violate an invariant");
        assert_eq!(violations > 0, violates, "{mutation:?}: {violations} of 60 seeds violate an invariant");
    }
    assert!(resumed_with_backlog > 60, "only {resumed_with_backlog} gateways had a backlog after the stall");
}

/// Checks the rejections by the queue itself. In a simulation, replicas do not propose changes that would be
/// rejected.
#[test]
fn the_queue_rejects_changes_beyond_its_limits_and_with_outdated_tokens() {
    let limits = Limits { max_servers_out: 1, max_gateways_out: 1, min_ready_servers: 1 };
    let ready: BTreeSet<String> = ["a", "b"].map(str::to_owned).into();
    let mut queue = MaintenanceQueue::default();
    let request = |request_id, name: &str| Change::Request {
        request_id,
        kind: MachineKind::Server,
        name: name.to_owned(),
        reason: String::new(),
        requested_at_ms: 1,
    };
    queue.apply(&request(1, "a"), &limits, &ready).unwrap();
    queue.apply(&request(2, "b"), &limits, &ready).unwrap();
    let grant = |name: &str| Change::Grant { name: name.to_owned(), holder: Slot(0) };
    queue.apply(&grant("a"), &limits, &ready).unwrap();
    let rejected = queue.apply(&grant("b"), &limits, &ready).unwrap_err();
    assert!(rejected.to_string().contains("as many are out"), "{rejected}");
    let limits = Limits { max_servers_out: 2, ..limits };
    let rejected = queue.apply(&grant("b"), &limits, &ready).unwrap_err();
    assert!(rejected.to_string().contains("floor"), "no server would be ready without a and b: {rejected}");
    let takeover = Change::TakeOver { name: "a".to_owned(), token: 1, holder: Slot(1) };
    queue.apply(&takeover, &limits, &ready).unwrap();
    let outdated = Change::Drained { name: "a".to_owned(), token: 1, return_at_once: false };
    let rejected = queue.apply(&outdated, &limits, &ready).unwrap_err();
    assert!(rejected.to_string().contains("fencing token"), "{rejected}");
}
