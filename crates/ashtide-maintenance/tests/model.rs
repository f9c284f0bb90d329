//! Grant and lease, checked exhaustively: three gateways that all vote, two servers of which one may be out, every order
//! of proposals, delivery, loss, repetition, asking, time, crash and restart to a stated depth, on the types that a
//! [`Node`](ashtide_maintenance::Node) is made of.

use std::collections::BTreeSet;
use std::time::Duration;

use ashtide_fleet::state::Slot;
use ashtide_maintenance::{
    Acceptor, AcceptorState, Ballot, Change, LeasedState, Limits, MachineKind, MaintenanceQueue, Mutation,
    Phase, Proposal, check_machines_out,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const RULES: Limits = Limits { max_servers_out: 1, max_gateways_out: 0, min_ready_servers: 0 };
const LEASE: u64 = 2;
const MARGIN: u64 = 1;
/// How long a round may take.
const ROUND: u64 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Prepare(Ballot),
    Accept(Ballot, MaintenanceQueue),
}

/// What a gateway proposes, by what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Plan {
    /// The first in the queue.
    Grant,
    /// An operator has finished with `a`.
    Done,
    /// What was released has cooled, and the next is granted.
    Next,
    /// What was released has cooled, is asked for anew and granted again.
    Again,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    voter: Option<Acceptor>,
    disk: AcceptorState,
    incarnation: u64,
    round: Option<(Proposal, Vec<Change>)>,
    knowledge: LeasedState,
    /// Since when it knows the phase of `a`: that phase's version.
    watched: (u64, u64),
    /// An answer on its way: when it was asked for, and what it says.
    answer: Option<(u64, MaintenanceQueue)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    gateways: Vec<Gateway>,
    /// What is on its way. What is not delivered is lost.
    wire: Vec<(usize, usize, Message)>,
    now: u64,
    proposals: u8,
    reads: u8,
    repeats: u8,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Propose(usize, Plan),
    /// To a voter, whose answer comes back at once, or is lost; the message may come again.
    Deliver(usize, bool, bool),
    /// A gateway asks two voters; the answer comes when it comes.
    Read(usize, usize),
    Receive(usize),
    Second,
    Crash(usize),
    Start(usize),
}

struct Cluster {
    broken: Option<Mutation>,
    proposals: u8,
    reads: u8,
    /// Messages that come twice, and answers that are lost.
    repeats: u8,
    crashes: u8,
    seconds: u64,
    /// Where it begins: all wait, `a` is out, `a` is released, the same and one has slept; or any of these.
    from: Option<usize>,
}

/// How deep, and how many proposals, asks, repeats or lost answers, and crashes.
const DEPTHS: [(usize, u8, u8, u8, u8); 3] = [(7, 3, 1, 1, 1), (10, 2, 1, 0, 0), (10, 2, 0, 0, 1)];

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn request(call: u64, name: &str) -> Change {
    let name = name.to_owned();
    let reason = String::new();
    Change::Request { request_id: call, kind: MachineKind::Server, name, reason, requested_at_ms: call }
}

fn found_names<T>(make: impl Fn(String) -> T, name: &str) -> T {
    make(name.to_owned())
}

impl Cluster {
    fn apply(&self, table: &mut MaintenanceQueue, changes: &[Change]) {
        for change in changes {
            let _ = table.apply_with_mutation(change, &RULES, &BTreeSet::new(), self.broken);
        }
    }

    fn knowledge(&self) -> LeasedState {
        let mut knowledge = LeasedState::new(seconds(LEASE));
        if let Some(broken) = self.broken {
            knowledge.set_mutation(broken);
        }
        knowledge
    }

    /// A tier in which this has been chosen, known everywhere since a second ago, `a` as it is for so long.
    fn cluster(&self, changes: &[Change], now: u64, age: u64) -> State {
        let mut table = MaintenanceQueue::default();
        self.apply(&mut table, changes);
        let ballot = Ballot { round: 1, slot: 0, incarnation: 1 };
        let vote = AcceptorState { promised: ballot, accepted: ballot, queue: table.clone() };
        let gateway = || {
            let mut knowledge = self.knowledge();
            knowledge.learn(seconds(now - 1), seconds(now), &table);
            let since = table.entries.iter().find(|row| row.name == "a").map_or(0, |row| row.phase_version);
            Gateway {
                voter: Some(Acceptor::new(vote.clone())),
                disk: vote.clone(),
                incarnation: 1,
                round: None,
                knowledge,
                watched: (since, now - age),
                answer: None,
            }
        };
        let gateways = (0..3).map(|_| gateway()).collect();
        State { gateways, wire: Vec::new(), now, proposals: 0, reads: 0, repeats: 0, crashes: 0 }
    }

    fn changes(&self, state: &State, at: usize, plan: Plan) -> Option<Vec<Change>> {
        let gateway = &state.gateways[at];
        gateway.knowledge.valid_as_of(seconds(state.now))?;
        let table = gateway.knowledge.queue();
        let holder = Slot(at as u16);
        let grant = |name: &str| Change::Grant { name: name.to_owned(), holder };
        let row = table.entries.iter().find(|row| row.name == "a");
        let cooled = || {
            let row = row.filter(|row| matches!(row.phase, Phase::Released { .. }))?;
            let acts = |it: &Gateway| {
                it.knowledge.valid_as_of(seconds(state.now)).is_some()
                    && it.knowledge.queue().version >= row.phase_version
            };
            let known =
                gateway.watched.0 == row.phase_version && state.now >= gateway.watched.1 + LEASE + MARGIN;
            let token = row.phase.token()?;
            (known || state.gateways.iter().all(acts))
                .then(|| found_names(|name| Change::Removed { name, token }, "a"))
        };
        Some(match plan {
            Plan::Grant => vec![grant(&table.next_queued(MachineKind::Server)?.name)],
            Plan::Done => {
                row.filter(|row| row.phase.holder().is_some())?;
                vec![found_names(|name| Change::Done { request_id: 9, name }, "a")]
            }
            Plan::Next => vec![cooled()?, grant("b")],
            Plan::Again => vec![cooled()?, request(3, "a"), grant("a")],
        })
    }

    fn persist(&self, gateway: &mut Gateway) {
        if let (Some(voter), true) = (&gateway.voter, self.broken != Some(Mutation::UnsyncedVote)) {
            gateway.disk = voter.state().clone();
        }
    }

    /// A voter's answer to a proposer that is still there.
    fn answer(&self, state: &mut State, from: usize, to: usize, message: &Message) {
        let Some(voter) = &mut state.gateways[from].voter else { return };
        match message {
            Message::Prepare(ballot) => {
                if voter.prepare(*ballot).is_err() {
                    return;
                }
                let AcceptorState { accepted, queue: table, .. } = voter.state().clone();
                self.persist(&mut state.gateways[from]);
                self.promised(state, from, to, *ballot, accepted, table);
            }
            Message::Accept(ballot, table) => {
                if voter.accept(*ballot, table).is_err() {
                    return;
                }
                self.persist(&mut state.gateways[from]);
                self.accepted(state, from, to, *ballot);
            }
        }
    }

    fn promised(
        &self,
        state: &mut State,
        from: usize,
        to: usize,
        ballot: Ballot,
        accepted: Ballot,
        table: MaintenanceQueue,
    ) {
        let Some((round, changes)) = &mut state.gateways[to].round else { return };
        let Some(mut table) = round.handle_promise(Slot(from as u16), ballot, accepted, table) else {
            return;
        };
        self.apply(&mut table, changes);
        round.propose(table.clone());
        let message = Message::Accept(ballot, table);
        for other in (0..3).filter(|&other| other != to) {
            state.wire.push((to, other, message.clone()));
        }
        self.answer(state, to, to, &message);
    }

    fn accepted(&self, state: &mut State, from: usize, to: usize, ballot: Ballot) {
        let Some((round, _)) = &mut state.gateways[to].round else { return };
        if round.handle_accepted(Slot(from as u16), ballot) {
            let began = round.started_at;
            let table = round.proposed().cloned().unwrap_or_default();
            state.gateways[to].round = None;
            Self::learn(state, to, began, &table);
        }
    }

    fn learn(state: &mut State, at: usize, requested_at: Duration, table: &MaintenanceQueue) {
        let now = state.now;
        let gateway = &mut state.gateways[at];
        gateway.knowledge.learn(requested_at, seconds(now), table);
        let row = gateway.knowledge.queue().entries.iter().find(|row| row.name == "a");
        let since = row.map_or(0, |row| row.phase_version);
        if since != gateway.watched.0 {
            gateway.watched = (since, now);
        }
    }

    /// A question to which a test wants to know every state.
    fn out(state: &State) -> Vec<String> {
        let running = state.gateways.iter().filter(|it| it.voter.is_some());
        running.flat_map(|it| it.knowledge.machines_out(seconds(state.now)).into_keys()).collect()
    }
}

impl Model for Cluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let queue = [request(1, "a"), request(2, "b")];
        let granted = found_names(|name| Change::Grant { name, holder: Slot(0) }, "a");
        let done = found_names(|name| Change::Done { request_id: 8, name }, "a");
        let out = [queue.to_vec(), vec![granted.clone()]].concat();
        let cooling = [queue.to_vec(), vec![granted, done]].concat();
        // The third has stood still since before the release, and an answer from then waits for it.
        let mut stalled = self.cluster(&cooling, 4, 3);
        let mut before = self.cluster(&out, 1, 0).gateways.remove(2);
        before.answer = Some((1, before.knowledge.queue().clone()));
        stalled.gateways[2] = before;
        let all =
            [self.cluster(&queue, 1, 0), self.cluster(&out, 1, 0), self.cluster(&cooling, 4, 3), stalled];
        match self.from {
            Some(at) => vec![all[at].clone()],
            None => all.to_vec(),
        }
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (at, gateway) in state.gateways.iter().enumerate() {
            match gateway.voter {
                Some(_) => {
                    if state.proposals < self.proposals && gateway.round.is_none() {
                        let plans = [Plan::Grant, Plan::Done, Plan::Next, Plan::Again];
                        let can = |plan: &Plan| self.changes(state, at, *plan).is_some();
                        actions.extend(plans.into_iter().filter(can).map(|plan| Action::Propose(at, plan)));
                    }
                    if state.reads < self.reads && gateway.answer.is_none() {
                        actions.extend((0..3).map(|without| Action::Read(at, without)));
                    }
                    if gateway.answer.is_some() {
                        actions.push(Action::Receive(at));
                    }
                    if state.crashes < self.crashes {
                        actions.push(Action::Crash(at));
                    }
                }
                None => actions.push(Action::Start(at)),
            }
        }
        for at in 0..state.wire.len() {
            actions.push(Action::Deliver(at, true, false));
            if state.repeats < self.repeats {
                actions.extend([Action::Deliver(at, true, true), Action::Deliver(at, false, false)]);
            }
        }
        if state.now < self.seconds {
            actions.push(Action::Second);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Propose(at, plan) => {
                let changes = self.changes(&state, at, plan)?;
                state.proposals += 1;
                let gateway = &mut state.gateways[at];
                let slot = at as u16;
                let incarnation = gateway.incarnation;
                let round = gateway.voter.as_ref()?.state().promised.round + 1;
                let ballot = Ballot { round, slot, incarnation };
                let voters = match self.broken {
                    Some(Mutation::MajorityOfResponders) => vec![Slot(slot)],
                    _ => (0..3).map(Slot).collect(),
                };
                gateway.round = Some((Proposal::new(ballot, seconds(state.now), voters), changes));
                for other in (0..3).filter(|&other| other != at) {
                    state.wire.push((at, other, Message::Prepare(ballot)));
                }
                self.answer(&mut state, at, at, &Message::Prepare(ballot));
            }
            Action::Deliver(at, answered, again) => {
                let (from, to, message) = state.wire[at].clone();
                state.repeats += u8::from(again || !answered);
                if !again {
                    state.wire.remove(at);
                }
                let round = state.gateways[from].round.clone();
                if !answered {
                    state.gateways[from].round = None;
                }
                self.answer(&mut state, to, from, &message);
                if !answered {
                    state.gateways[from].round = round;
                }
            }
            Action::Read(at, without) => {
                let requested_at = state.gateways.iter().enumerate().filter(|&(other, _)| other != without);
                let votes: Vec<&AcceptorState> =
                    requested_at.filter_map(|(_, it)| Some(it.voter.as_ref()?.state())).collect();
                let [one, other] = votes[..] else { return None };
                if one.accepted != other.accepted {
                    return None;
                }
                let table = one.queue.clone();
                state.reads += 1;
                state.gateways[at].answer = Some((state.now, table));
            }
            Action::Receive(at) => {
                let (requested_at, table) = state.gateways[at].answer.take()?;
                Self::learn(&mut state, at, seconds(requested_at), &table);
            }
            Action::Second => {
                state.now += 1;
                let now = state.now;
                for gateway in &mut state.gateways {
                    if gateway
                        .round
                        .as_ref()
                        .is_some_and(|(it, _)| seconds(now) >= it.started_at + seconds(ROUND))
                    {
                        gateway.round = None;
                    }
                    // The broken variant writes at its leisure.
                    if let Some(voter) = &gateway.voter {
                        gateway.disk = voter.state().clone();
                    }
                }
            }
            Action::Crash(at) => {
                state.crashes += 1;
                let knowledge = self.knowledge();
                let gateway = &mut state.gateways[at];
                gateway.voter = None;
                gateway.round = None;
                gateway.answer = None;
                gateway.knowledge = knowledge;
                gateway.watched = (0, 0);
                if self.broken == Some(Mutation::VoteWithoutCatchUp) {
                    gateway.disk = AcceptorState::default();
                }
            }
            Action::Start(at) => {
                let now = seconds(state.now);
                let gateway = &mut state.gateways[at];
                gateway.incarnation += 1;
                gateway.voter = Some(Acceptor::new(gateway.disk.clone()));
                if self.broken == Some(Mutation::ActOnPersistedGrant) {
                    gateway.knowledge.learn(now, now, &gateway.disk.queue);
                }
            }
        }
        // What is asked for a round that is over changes nothing but what its voter still takes.
        let gateways = &state.gateways;
        state.wire.retain(|(from, _, message)| match message {
            Message::Prepare(ballot) => gateways[*from]
                .round
                .as_ref()
                .is_some_and(|(it, _)| it.ballot == *ballot && it.proposed().is_none()),
            Message::Accept(..) => true,
        });
        state.wire.sort();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("M1", |_, state: &State| {
                check_machines_out(RULES.max_servers_out, Cluster::out(state).iter().map(String::as_str))
                    .is_ok()
            }),
            Property::always("M2 to M5", |_, state: &State| {
                state.gateways.iter().all(|it| it.knowledge.queue().check(&RULES).is_ok())
            }),
            Property::always("M7", |_, state: &State| {
                let table = |at: usize| state.gateways[at].knowledge.queue();
                let same =
                    |one, other| table(one).version != table(other).version || table(one) == table(other);
                same(0, 1) && same(1, 2) && same(0, 2)
            }),
            Property::sometimes("b is out after a", |_, state: &State| {
                let out = Cluster::out(state);
                out.contains(&"b".to_owned())
                    && state.gateways.iter().any(|it| it.knowledge.queue().last_token == 2)
            }),
        ]
    }
}

#[test]
fn one_server_is_out_in_every_state_to_the_stated_depth() {
    // Each with other faults, as deep as a minute's work allows.
    for (depth, proposals, reads, repeats, crashes) in DEPTHS {
        let cluster = Cluster { broken: None, proposals, reads, repeats, crashes, seconds: 8, from: None };
        let checker = cluster.checker().threads(3).target_max_depth(depth).spawn_bfs().join();
        let states = checker.state_count();
        let unique = checker.unique_state_count();
        println!("{states} states, {unique} unique, to depth {depth}");
        checker.assert_properties();
    }
}

#[test]
fn the_model_finds_what_is_broken() {
    // With the faults that each needs.
    let found = [
        (Mutation::NoFencing, "M1", 2, (2, 0, 0)),
        (Mutation::UnsyncedVote, "M7", 0, (2, 0, 1)),
        (Mutation::LeaseFromAnswerTime, "M1", 3, (1, 0, 0)),
        (Mutation::MajorityOfResponders, "M7", 0, (2, 0, 0)),
        (Mutation::NoCooling, "M1", 1, (2, 0, 0)),
        (Mutation::NoLease, "M1", 1, (2, 0, 0)),
        (Mutation::ActOnPersistedGrant, "M1", 3, (1, 0, 1)),
        (Mutation::VoteWithoutCatchUp, "M7", 0, (2, 0, 1)),
    ];
    for (broken, name, from, (proposals, reads, crashes)) in found {
        let seconds = 6;
        let cluster = Cluster {
            broken: Some(broken),
            proposals,
            reads,
            repeats: 0,
            crashes,
            seconds,
            from: Some(from),
        };
        let checker = cluster
            .checker()
            .threads(3)
            .finish_when(HasDiscoveries::AnyFailures)
            .target_max_depth(14)
            .spawn_bfs()
            .join();
        println!("{broken:?}: {} states", checker.state_count());
        assert!(checker.discovery(name).is_some(), "{broken:?} is found as {name}");
    }
}
