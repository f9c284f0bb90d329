//! Exhaustive model check of grants and leases: three gateways that are all acceptors, and two servers of
//! which one may be out at a time. The checker explores every order of proposals, deliveries, losses,
//! duplicates, reads, clock ticks, crashes and restarts up to a stated depth, on the types that a
//! [`Replica`](ashtide_maintenance::Replica) consists of.

use std::collections::BTreeSet;
use std::time::Duration;

use ashtide_fleet::state::Slot;
use ashtide_maintenance::{
    Acceptor, AcceptorState, Ballot, Change, LeasedState, Limits, MachineKind, MaintenanceQueue, Mutation,
    Phase, Proposal, check_machines_out,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LIMITS: Limits = Limits { max_servers_out: 1, max_gateways_out: 0, min_ready_servers: 0 };
const LEASE_S: u64 = 2;
const MARGIN_S: u64 = 1;
const PROPOSAL_TIMEOUT_S: u64 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Prepare(Ballot),
    Accept(Ballot, MaintenanceQueue),
}

/// Proposal of a gateway according to its copy of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Plan {
    /// Grants the first queued machine.
    Grant,
    /// Ends the maintenance of `a` for an operator.
    Done,
    /// Removes the released `a`, and grants `b`.
    GrantNext,
    /// Removes the released `a`, requests it again and grants it again.
    RequestAgain,
}

/// Phase of `a` as one gateway knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KnownPhase {
    /// Version of the queue in which the phase started.
    version: u64,
    /// Time in seconds at which the gateway learned of the phase.
    since: u64,
}

/// Answer to a read that has not been received yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReadAnswer {
    /// Time of the read in seconds.
    requested_at: u64,
    queue: MaintenanceQueue,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    /// Acceptor, `None` after a crash.
    acceptor: Option<Acceptor>,
    disk: AcceptorState,
    incarnation: u64,
    /// Proposal in progress, and its changes.
    proposal: Option<(Proposal, Vec<Change>)>,
    leased_state: LeasedState,
    phase_of_a: KnownPhase,
    read_answer: Option<ReadAnswer>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    gateways: Vec<Gateway>,
    /// Sender, receiver and content of the messages in flight. A message that is never delivered is lost.
    in_flight: Vec<(usize, usize, Message)>,
    /// Time in seconds.
    now: u64,
    used: EventCounts,
}

/// Numbers of events, limited because each of them multiplies the number of states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct EventCounts {
    proposals: u8,
    reads: u8,
    /// Duplicated messages and lost answers.
    network_faults: u8,
    crashes: u8,
}

impl EventCounts {
    const NONE: Self = Self { proposals: 0, reads: 0, network_faults: 0, crashes: 0 };
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A gateway proposes a plan.
    Propose(usize, Plan),
    /// The message in flight with this index is delivered to an acceptor, whose answer arrives at once.
    Deliver(usize),
    /// The message is delivered and its answer arrives at once, but a duplicate of the message remains in
    /// flight.
    DeliverDuplicate(usize),
    /// The message is delivered, but its answer is lost.
    DeliverLosingAnswer(usize),
    /// A gateway reads from the acceptors other than the second index. The answer is received later.
    Read(usize, usize),
    /// A gateway receives the answer to its read.
    Receive(usize),
    /// One second passes.
    Tick,
    Crash(usize),
    Start(usize),
}

struct Cluster {
    mutation: Option<Mutation>,
    limits: EventCounts,
    /// Time in seconds at which the clock stops.
    max_time_s: u64,
    /// Index of the only initial state, `None` for all initial states.
    initial_state: Option<usize>,
}

/// Depth of a search, and limits on the events in it.
const SEARCHES: [(usize, EventCounts); 3] = [
    (7, EventCounts { proposals: 3, reads: 1, network_faults: 1, crashes: 1 }),
    (10, EventCounts { proposals: 2, reads: 1, network_faults: 0, crashes: 0 }),
    (10, EventCounts { proposals: 2, reads: 0, network_faults: 0, crashes: 1 }),
];

/// Index of the initial state in which both machines are queued.
const ALL_QUEUED: usize = 0;
/// Index of the initial state in which `a` is out.
const A_OUT: usize = 1;
/// Index of the initial state in which `a` is released.
const A_RELEASED: usize = 2;
/// Index of the initial state in which `a` was released during a stall of the third gateway.
const A_RELEASED_DURING_STALL: usize = 3;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn request(request_id: u64, name: &str) -> Change {
    let name = name.to_owned();
    let reason = String::new();
    Change::Request { request_id, kind: MachineKind::Server, name, reason, requested_at_ms: request_id }
}

/// Calls `make` with an owned copy of `name`.
fn with_name<T>(make: impl Fn(String) -> T, name: &str) -> T {
    make(name.to_owned())
}

impl Cluster {
    fn apply(&self, queue: &mut MaintenanceQueue, changes: &[Change]) {
        for change in changes {
            let _ = queue.apply_with_mutation(change, &LIMITS, &BTreeSet::new(), self.mutation);
        }
    }

    fn new_leased_state(&self) -> LeasedState {
        let mut leased_state = LeasedState::new(seconds(LEASE_S));
        if let Some(mutation) = self.mutation {
            leased_state.set_mutation(mutation);
        }
        leased_state
    }

    /// Returns a state in which these changes have been chosen. All gateways have read the queue one second
    /// ago, and have known the phase of `a` for `age` seconds.
    fn state_after(&self, changes: &[Change], now: u64, age: u64) -> State {
        let mut queue = MaintenanceQueue::default();
        self.apply(&mut queue, changes);
        let ballot = Ballot { round: 1, slot: 0, incarnation: 1 };
        let vote = AcceptorState { promised: ballot, accepted: ballot, queue: queue.clone() };
        let gateway = || {
            let mut leased_state = self.new_leased_state();
            leased_state.learn(seconds(now - 1), seconds(now), &queue);
            let version =
                queue.entries.iter().find(|entry| entry.name == "a").map_or(0, |entry| entry.phase_version);
            Gateway {
                acceptor: Some(Acceptor::new(vote.clone())),
                disk: vote.clone(),
                incarnation: 1,
                proposal: None,
                leased_state,
                phase_of_a: KnownPhase { version, since: now - age },
                read_answer: None,
            }
        };
        let gateways = (0..3).map(|_| gateway()).collect();
        State { gateways, in_flight: Vec::new(), now, used: EventCounts::NONE }
    }

    /// Returns the changes of a plan, `None` if the gateway may not propose it in this state.
    fn changes(&self, state: &State, index: usize, plan: Plan) -> Option<Vec<Change>> {
        let gateway = &state.gateways[index];
        gateway.leased_state.valid_as_of(seconds(state.now))?;
        let queue = gateway.leased_state.queue();
        let holder = Slot(index as u16);
        let grant = |name: &str| Change::Grant { name: name.to_owned(), holder };
        let entry = queue.entries.iter().find(|entry| entry.name == "a");
        let remove_released = || {
            let entry = entry.filter(|entry| matches!(entry.phase, Phase::Released { .. }))?;
            let has_learned = |other: &Gateway| {
                other.leased_state.valid_as_of(seconds(state.now)).is_some()
                    && other.leased_state.queue().version >= entry.phase_version
            };
            let leases_expired = gateway.phase_of_a.version == entry.phase_version
                && state.now >= gateway.phase_of_a.since + LEASE_S + MARGIN_S;
            let token = entry.phase.token()?;
            (leases_expired || state.gateways.iter().all(has_learned))
                .then(|| with_name(|name| Change::Removed { name, token }, "a"))
        };
        Some(match plan {
            Plan::Grant => vec![grant(&queue.next_queued(MachineKind::Server)?.name)],
            Plan::Done => {
                entry.filter(|entry| entry.phase.holder().is_some())?;
                vec![with_name(|name| Change::Done { request_id: 9, name }, "a")]
            }
            Plan::GrantNext => vec![remove_released()?, grant("b")],
            Plan::RequestAgain => vec![remove_released()?, request(3, "a"), grant("a")],
        })
    }

    fn persist(&self, gateway: &mut Gateway) {
        if let (Some(acceptor), true) = (&gateway.acceptor, self.mutation != Some(Mutation::UnsyncedVote)) {
            gateway.disk = acceptor.state().clone();
        }
    }

    /// Delivers a message to an acceptor, and its answer to the proposer. The proposer ignores the answer if
    /// its proposal has ended.
    fn deliver_to_acceptor(&self, state: &mut State, from: usize, to: usize, message: &Message) {
        let Some(acceptor) = &mut state.gateways[from].acceptor else { return };
        match message {
            Message::Prepare(ballot) => {
                if acceptor.prepare(*ballot).is_err() {
                    return;
                }
                let AcceptorState { accepted, queue, .. } = acceptor.state().clone();
                self.persist(&mut state.gateways[from]);
                self.handle_promise(state, from, to, *ballot, accepted, queue);
            }
            Message::Accept(ballot, queue) => {
                if acceptor.accept(*ballot, queue).is_err() {
                    return;
                }
                self.persist(&mut state.gateways[from]);
                self.handle_accepted(state, from, to, *ballot);
            }
        }
    }

    fn handle_promise(
        &self,
        state: &mut State,
        from: usize,
        to: usize,
        ballot: Ballot,
        accepted: Ballot,
        queue: MaintenanceQueue,
    ) {
        let Some((proposal, changes)) = &mut state.gateways[to].proposal else { return };
        let Some(mut queue) = proposal.handle_promise(Slot(from as u16), ballot, accepted, queue) else {
            return;
        };
        self.apply(&mut queue, changes);
        proposal.propose(queue.clone());
        let message = Message::Accept(ballot, queue);
        for other in (0..3).filter(|&other| other != to) {
            state.in_flight.push((to, other, message.clone()));
        }
        self.deliver_to_acceptor(state, to, to, &message);
    }

    fn handle_accepted(&self, state: &mut State, from: usize, to: usize, ballot: Ballot) {
        let Some((proposal, _)) = &mut state.gateways[to].proposal else { return };
        if proposal.handle_accepted(Slot(from as u16), ballot) {
            let started_at = proposal.started_at;
            let queue = proposal.proposed().cloned().unwrap_or_default();
            state.gateways[to].proposal = None;
            Self::learn(state, to, started_at, &queue);
        }
    }

    /// Updates a gateway's copy of the queue and its lease.
    fn learn(state: &mut State, index: usize, requested_at: Duration, queue: &MaintenanceQueue) {
        let now = state.now;
        let gateway = &mut state.gateways[index];
        gateway.leased_state.learn(requested_at, seconds(now), queue);
        let entry = gateway.leased_state.queue().entries.iter().find(|entry| entry.name == "a");
        let version = entry.map_or(0, |entry| entry.phase_version);
        if version != gateway.phase_of_a.version {
            gateway.phase_of_a = KnownPhase { version, since: now };
        }
    }

    /// Returns the machines that the running gateways cordon.
    fn machines_out(state: &State) -> Vec<String> {
        let running = state.gateways.iter().filter(|gateway| gateway.acceptor.is_some());
        running
            .flat_map(|gateway| gateway.leased_state.machines_out(seconds(state.now)).into_keys())
            .collect()
    }

    /// Starts a proposal with its `Prepare` messages, `None` if the plan is not possible.
    fn start_proposal(&self, state: &mut State, index: usize, plan: Plan) -> Option<()> {
        let changes = self.changes(state, index, plan)?;
        state.used.proposals += 1;
        let gateway = &mut state.gateways[index];
        let slot = index as u16;
        let incarnation = gateway.incarnation;
        let round = gateway.acceptor.as_ref()?.state().promised.round + 1;
        let ballot = Ballot { round, slot, incarnation };
        let acceptors = match self.mutation {
            Some(Mutation::MajorityOfResponders) => vec![Slot(slot)],
            _ => (0..3).map(Slot).collect(),
        };
        gateway.proposal = Some((Proposal::new(ballot, seconds(state.now), acceptors), changes));
        for other in (0..3).filter(|&other| other != index) {
            state.in_flight.push((index, other, Message::Prepare(ballot)));
        }
        self.deliver_to_acceptor(state, index, index, &Message::Prepare(ballot));
        Some(())
    }

    /// Reads from the acceptors other than `without`, `None` if they do not run or have different values.
    fn read(state: &mut State, index: usize, without: usize) -> Option<()> {
        let others = state.gateways.iter().enumerate().filter(|&(other, _)| other != without);
        let votes: Vec<&AcceptorState> =
            others.filter_map(|(_, gateway)| Some(gateway.acceptor.as_ref()?.state())).collect();
        let [one, other] = votes[..] else { return None };
        if one.accepted != other.accepted {
            return None;
        }
        let queue = one.queue.clone();
        state.used.reads += 1;
        state.gateways[index].read_answer = Some(ReadAnswer { requested_at: state.now, queue });
        Some(())
    }

    fn tick(state: &mut State) {
        state.now += 1;
        let now = seconds(state.now);
        for gateway in &mut state.gateways {
            let is_expired = gateway
                .proposal
                .as_ref()
                .is_some_and(|(proposal, _)| now >= proposal.started_at + seconds(PROPOSAL_TIMEOUT_S));
            if is_expired {
                gateway.proposal = None;
            }
            // The mutation `UnsyncedVote` persists votes only here.
            if let Some(acceptor) = &gateway.acceptor {
                gateway.disk = acceptor.state().clone();
            }
        }
    }

    fn crash(&self, state: &mut State, index: usize) {
        state.used.crashes += 1;
        let gateway = &mut state.gateways[index];
        gateway.acceptor = None;
        gateway.proposal = None;
        gateway.read_answer = None;
        gateway.leased_state = self.new_leased_state();
        gateway.phase_of_a = KnownPhase { version: 0, since: 0 };
        if self.mutation == Some(Mutation::VoteWithoutCatchUp) {
            gateway.disk = AcceptorState::default();
        }
    }

    fn start(&self, state: &mut State, index: usize) {
        let now = seconds(state.now);
        let gateway = &mut state.gateways[index];
        gateway.incarnation += 1;
        gateway.acceptor = Some(Acceptor::new(gateway.disk.clone()));
        if self.mutation == Some(Mutation::ActOnPersistedGrant) {
            gateway.leased_state.learn(now, now, &gateway.disk.queue);
        }
    }
}

impl Model for Cluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let requests = [request(1, "a"), request(2, "b")];
        let granted = with_name(|name| Change::Grant { name, holder: Slot(0) }, "a");
        let done = with_name(|name| Change::Done { request_id: 8, name }, "a");
        let out = [requests.to_vec(), vec![granted.clone()]].concat();
        let released = [requests.to_vec(), vec![granted, done]].concat();
        // The third gateway has been stalled since before the release, and has not received the answer to a
        // read from that time yet.
        let mut released_during_stall = self.state_after(&released, 4, 3);
        let mut stalled = self.state_after(&out, 1, 0).gateways.remove(2);
        stalled.read_answer =
            Some(ReadAnswer { requested_at: 1, queue: stalled.leased_state.queue().clone() });
        released_during_stall.gateways[2] = stalled;
        let states = [
            self.state_after(&requests, 1, 0),
            self.state_after(&out, 1, 0),
            self.state_after(&released, 4, 3),
            released_during_stall,
        ];
        match self.initial_state {
            Some(index) => vec![states[index].clone()],
            None => states.to_vec(),
        }
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (index, gateway) in state.gateways.iter().enumerate() {
            match gateway.acceptor {
                Some(_) => {
                    if state.used.proposals < self.limits.proposals && gateway.proposal.is_none() {
                        let plans = [Plan::Grant, Plan::Done, Plan::GrantNext, Plan::RequestAgain];
                        let is_possible = |plan: &Plan| self.changes(state, index, *plan).is_some();
                        actions.extend(
                            plans.into_iter().filter(is_possible).map(|plan| Action::Propose(index, plan)),
                        );
                    }
                    if state.used.reads < self.limits.reads && gateway.read_answer.is_none() {
                        actions.extend((0..3).map(|without| Action::Read(index, without)));
                    }
                    if gateway.read_answer.is_some() {
                        actions.push(Action::Receive(index));
                    }
                    if state.used.crashes < self.limits.crashes {
                        actions.push(Action::Crash(index));
                    }
                }
                None => actions.push(Action::Start(index)),
            }
        }
        for index in 0..state.in_flight.len() {
            actions.push(Action::Deliver(index));
            if state.used.network_faults < self.limits.network_faults {
                actions.extend([Action::DeliverDuplicate(index), Action::DeliverLosingAnswer(index)]);
            }
        }
        if state.now < self.max_time_s {
            actions.push(Action::Tick);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Propose(index, plan) => self.start_proposal(&mut state, index, plan)?,
            Action::Deliver(index) => {
                let (from, to, message) = state.in_flight.remove(index);
                self.deliver_to_acceptor(&mut state, to, from, &message);
            }
            Action::DeliverDuplicate(index) => {
                state.used.network_faults += 1;
                let (from, to, message) = state.in_flight[index].clone();
                self.deliver_to_acceptor(&mut state, to, from, &message);
            }
            Action::DeliverLosingAnswer(index) => {
                state.used.network_faults += 1;
                let (from, to, message) = state.in_flight.remove(index);
                // The proposer ignores an answer while it has no proposal.
                let proposal = state.gateways[from].proposal.take();
                self.deliver_to_acceptor(&mut state, to, from, &message);
                state.gateways[from].proposal = proposal;
            }
            Action::Read(index, without) => Self::read(&mut state, index, without)?,
            Action::Receive(index) => {
                let answer = state.gateways[index].read_answer.take()?;
                Self::learn(&mut state, index, seconds(answer.requested_at), &answer.queue);
            }
            Action::Tick => Self::tick(&mut state),
            Action::Crash(index) => self.crash(&mut state, index),
            Action::Start(index) => self.start(&mut state, index),
        }
        // A `Prepare` of an ended proposal is dropped, because its promise would be ignored. An `Accept` is
        // retained, because an acceptor may still accept its value.
        let gateways = &state.gateways;
        state.in_flight.retain(|(from, _, message)| match message {
            Message::Prepare(ballot) => gateways[*from]
                .proposal
                .as_ref()
                .is_some_and(|(proposal, _)| proposal.ballot == *ballot && proposal.proposed().is_none()),
            Message::Accept(..) => true,
        });
        state.in_flight.sort();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("M1", |_, state: &State| {
                let out = Cluster::machines_out(state);
                check_machines_out(LIMITS.max_servers_out, out.iter().map(String::as_str)).is_ok()
            }),
            Property::always("M2 to M5", |_, state: &State| {
                state.gateways.iter().all(|gateway| gateway.leased_state.queue().check(&LIMITS).is_ok())
            }),
            Property::always("M7", |_, state: &State| {
                let queue = |index: usize| state.gateways[index].leased_state.queue();
                let are_consistent =
                    |one, other| queue(one).version != queue(other).version || queue(one) == queue(other);
                are_consistent(0, 1) && are_consistent(1, 2) && are_consistent(0, 2)
            }),
            Property::sometimes("b is out after a", |_, state: &State| {
                let out = Cluster::machines_out(state);
                out.contains(&"b".to_owned())
                    && state.gateways.iter().any(|gateway| gateway.leased_state.queue().last_token == 2)
            }),
        ]
    }
}

#[test]
fn at_most_one_server_is_out_in_every_reachable_state() {
    // Each search includes other faults, to the depth that is reached in about a minute.
    for (depth, limits) in SEARCHES {
        let cluster = Cluster { mutation: None, limits, max_time_s: 8, initial_state: None };
        let checker = cluster.checker().threads(3).target_max_depth(depth).spawn_bfs().join();
        let states = checker.state_count();
        let unique = checker.unique_state_count();
        println!("{states} states, {unique} unique, to depth {depth}");
        checker.assert_properties();
    }
}

#[test]
fn the_model_check_detects_each_mutation() {
    let one_proposal = EventCounts { proposals: 1, ..EventCounts::NONE };
    let two_proposals = EventCounts { proposals: 2, ..EventCounts::NONE };
    let with_crash = |limits| EventCounts { crashes: 1, ..limits };
    // Mutation, violated property, and the initial state and the events that the violation needs.
    let expected = [
        (Mutation::NoFencing, "M1", A_RELEASED, two_proposals),
        (Mutation::UnsyncedVote, "M7", ALL_QUEUED, with_crash(two_proposals)),
        (Mutation::LeaseFromAnswerTime, "M1", A_RELEASED_DURING_STALL, one_proposal),
        (Mutation::MajorityOfResponders, "M7", ALL_QUEUED, two_proposals),
        (Mutation::NoCooling, "M1", A_OUT, two_proposals),
        (Mutation::NoLease, "M1", A_OUT, two_proposals),
        (Mutation::ActOnPersistedGrant, "M1", A_RELEASED_DURING_STALL, with_crash(one_proposal)),
        (Mutation::VoteWithoutCatchUp, "M7", ALL_QUEUED, with_crash(two_proposals)),
    ];
    for (mutation, property, initial_state, limits) in expected {
        let cluster =
            Cluster { mutation: Some(mutation), limits, max_time_s: 6, initial_state: Some(initial_state) };
        let checker = cluster
            .checker()
            .threads(3)
            .finish_when(HasDiscoveries::AnyFailures)
            .target_max_depth(14)
            .spawn_bfs()
            .join();
        println!("{mutation:?}: {} states", checker.state_count());
        assert!(checker.discovery(property).is_some(), "{mutation:?} does not violate {property}");
    }
}
