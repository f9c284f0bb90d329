//! Escrow and lease, checked exhaustively: three gateways, every order of asking, delivery, loss, repetition, time,
//! crash and restart to a stated depth, on the code that the daemon is to run.

use std::time::Duration;

use ashtide_fleet::state::{
    Escrow, InitialShare, LeaseConfig, LeaseGrant, LeaseRequest, Mutation, Slot, check_total,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const TERMS: LeaseConfig = LeaseConfig {
    duration: Duration::from_secs(2),
    margin: Duration::from_secs(1),
    max_clock_gap: Duration::from_secs(1),
};
const ROOT: InitialShare = InitialShare { floor: 1, lendable: 2 };
const TOTAL: u64 = 9;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request(LeaseRequest),
    Grant(LeaseGrant),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    gateways: [Option<Escrow>; 3],
    generations: [u64; 3],
    /// What is on its way: a set of all ever sent that is not lost. Delivery keeps it there where repeats are left.
    wire: Vec<(usize, usize, Message)>,
    now: u64,
    requests: u8,
    repeats: u8,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Request(usize, usize, u64),
    Deliver(usize, bool),
    Lose(usize),
    Second,
    Crash(usize),
    Start(usize),
}

struct Cluster {
    broken: Option<Mutation>,
    requests: u8,
    repeats: u8,
    crashes: u8,
    seconds: u64,
}

impl Cluster {
    fn start(&self, number: usize, generation: u64, now: u64) -> Escrow {
        let mut escrow = Escrow::new(
            Slot(number as u16),
            generation,
            ROOT,
            TERMS,
            generation == 1,
            Duration::from_secs(now),
        );
        if let Some(broken) = self.broken {
            escrow.set_mutation(broken);
        }
        escrow
    }
}

impl Model for Cluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let gateways = [0, 1, 2].map(|number| Some(self.start(number, 1, 0)));
        let wire = Vec::new();
        let generations = [1; 3];
        vec![State { gateways, generations, wire, now: 0, requests: 0, repeats: 0, crashes: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        // Gateways 1 and 2 ask gateway 0, the grantor, for its whole root, for some of it, or give all back; gateway 1
        // asks 2 as well, so that one is holder and grantor at once.
        if state.requests < self.requests {
            for (from, to) in [(1, 0), (2, 0), (1, 2)] {
                if state.gateways[from].is_some() {
                    actions.extend([0, 2].map(|wants| Action::Request(from, to, wants)));
                }
            }
        }
        for at in 0..state.wire.len() {
            actions.extend([Action::Deliver(at, false), Action::Lose(at)]);
            if state.repeats < self.repeats {
                actions.push(Action::Deliver(at, true));
            }
        }
        if state.now < self.seconds {
            actions.push(Action::Second);
        }
        for number in 0..2 {
            match state.gateways[number] {
                Some(_) if state.crashes < self.crashes => actions.push(Action::Crash(number)),
                None => actions.push(Action::Start(number)),
                Some(_) => {}
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Request(from, to, wants) => {
                let request = state.gateways[from].as_mut()?.request_lease(Slot(to as u16), wants);
                state.requests += 1;
                state.wire.push((from, to, Message::Request(request)));
            }
            Action::Deliver(at, again) => {
                let (from, to, message) = state.wire[at].clone();
                if again {
                    state.repeats += 1;
                } else {
                    state.wire.remove(at);
                }
                if let Some(escrow) = &mut state.gateways[to] {
                    match message {
                        Message::Request(request) => {
                            if let Ok(grant) = escrow.grant_lease(Slot(from as u16), request, 0) {
                                state.wire.push((to, from, Message::Grant(grant)));
                            }
                        }
                        Message::Grant(grant) => {
                            let _ = escrow.accept_lease(Slot(from as u16), grant);
                        }
                    }
                }
            }
            Action::Lose(at) => {
                state.wire.remove(at);
            }
            Action::Second => {
                state.now += 1;
                let now = Duration::from_secs(state.now);
                state.gateways.iter_mut().flatten().for_each(|escrow| escrow.advance_to(now));
            }
            Action::Crash(number) => {
                state.gateways[number] = None;
                state.crashes += 1;
            }
            Action::Start(number) => {
                state.generations[number] += 1;
                state.gateways[number] = Some(self.start(number, state.generations[number], state.now));
            }
        }
        state.wire.sort();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("B4", |_, state: &State| {
                check_total(TOTAL, state.gateways.iter().flatten().map(Escrow::usable_units)).is_ok()
            }),
            Property::always("B1, B2", |_, state: &State| {
                state.gateways.iter().flatten().all(|escrow| escrow.check().is_ok())
            }),
            Property::sometimes("a right is moved", |_, state: &State| {
                state
                    .gateways
                    .iter()
                    .flatten()
                    .any(|escrow| escrow.usable_units() > ROOT.floor + ROOT.lendable)
            }),
        ]
    }
}

#[test]
fn three_gateways_never_use_more_than_the_total_to_the_stated_depth() {
    let depth = 9;
    let cluster = Cluster { broken: None, requests: 3, repeats: 1, crashes: 1, seconds: 4 };
    let checker = cluster.checker().threads(3).target_max_depth(depth).spawn_bfs().join();
    println!("{} states, {} unique, to depth {depth}", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn the_model_finds_what_is_broken() {
    let found = [
        (Mutation::AcceptRepeatedRequest, "B4"),
        (Mutation::ForgetUnconfirmedGrant, "B4"),
        (Mutation::AcceptRepeatedGrant, "B4"),
        (Mutation::LeaseFromGrantTime, "B4"),
        (Mutation::NoLendingDelay, "B4"),
        (Mutation::NoExpiry, "B1, B2"),
    ];
    for (broken, name) in found {
        let cluster = Cluster { broken: Some(broken), requests: 3, repeats: 1, crashes: 1, seconds: 4 };
        let checker = cluster
            .checker()
            .threads(3)
            .finish_when(HasDiscoveries::AnyFailures)
            .target_max_depth(12)
            .spawn_bfs()
            .join();
        println!("{broken:?}: {} states", checker.state_count());
        assert!(checker.discovery(name).is_some(), "{broken:?} is found as {name}");
    }
}

#[test]
fn a_crashed_holders_right_comes_back_when_its_lease_ends_and_not_before() {
    let second = Duration::from_secs(1);
    let cluster = Cluster { broken: None, requests: 0, repeats: 0, crashes: 0, seconds: 0 };
    let mut grantor = cluster.start(0, 1, 0);
    let mut holder = cluster.start(1, 1, 0);
    let grant = grantor.grant_lease(Slot(1), holder.request_lease(Slot(0), 2), 0).expect("it lends");
    assert_eq!((grant.units, holder.accept_lease(Slot(0), grant)), (2, Ok(())));
    assert_eq!((grantor.usable_units(), holder.usable_units()), (1, 5));
    // It crashes; a new life asks for what the old one had, and so does another.
    let mut holder = cluster.start(1, 2, 0);
    let mut other = cluster.start(2, 1, 0);
    for now in 1..3 {
        [&mut grantor, &mut holder, &mut other].into_iter().for_each(|it| it.advance_to(second * now));
        for (slot, asker) in [(1, &mut holder), (2, &mut other)] {
            let grant =
                grantor.grant_lease(Slot(slot), asker.request_lease(Slot(0), 1), 0).expect("it answers");
            assert_eq!(grant.units, 0, "after {now} s of a lease of 2 s, and 1 s");
        }
    }
    [&mut grantor, &mut other].into_iter().for_each(|it| it.advance_to(second * 3));
    let grant = grantor.grant_lease(Slot(2), other.request_lease(Slot(0), 1), 0).expect("it answers");
    assert_eq!((grant.units, grantor.check()), (1, Ok(())));
    // A later life of the grantor lends nothing until all this has ended.
    let mut grantor = Escrow::new(Slot(0), 2, ROOT, TERMS, false, second * 3);
    (4..=5).for_each(|now| grantor.advance_to(second * now));
    assert!(grantor.grant_lease(Slot(2), other.request_lease(Slot(0), 1), 0).is_err());
    assert_eq!(grantor.usable_units(), ROOT.floor, "its floor it never lent");
    grantor.advance_to(second * 6);
    assert!(grantor.grant_lease(Slot(2), other.request_lease(Slot(0), 1), 0).is_ok());
}

#[test]
fn of_two_processes_of_one_name_the_earlier_lends_and_uses_its_root_no_more() {
    let cluster = Cluster { broken: None, requests: 0, repeats: 0, crashes: 0, seconds: 0 };
    let mut earlier = cluster.start(0, 1, 0);
    let mut other = cluster.start(2, 1, 0);
    let grant = other.grant_lease(Slot(0), earlier.request_lease(Slot(2), 1), 0).expect("it lends");
    earlier.accept_lease(Slot(2), grant).expect("it is the latest");
    earlier.relinquish();
    assert_eq!(earlier.usable_units(), 1, "a lease is its own until it ends");
    assert!(earlier.grant_lease(Slot(1), other.request_lease(Slot(0), 1), 0).is_err());
}

#[test]
fn a_smaller_share_applies_at_once_and_leases_beyond_it_are_not_lent_again() {
    let second = Duration::from_secs(1);
    let cluster = Cluster { broken: None, requests: 0, repeats: 0, crashes: 0, seconds: 0 };
    let mut grantor = cluster.start(0, 1, 0);
    let mut holder = cluster.start(1, 1, 0);
    let grant = grantor.grant_lease(Slot(1), holder.request_lease(Slot(0), 2), 0).expect("it lends");
    holder.accept_lease(Slot(0), grant).expect("it is the latest");
    grantor.set_share(InitialShare { floor: 1, lendable: 1 });
    assert_eq!((grantor.usable_units(), grantor.check()), (1, Ok(())), "two are out, of one");
    let grant = grantor
        .grant_lease(Slot(2), cluster.start(2, 1, 0).request_lease(Slot(0), 1), 0)
        .expect("it answers");
    assert_eq!((grant.units, grantor.is_within_share()), (0, false));
    for now in 1..=3 {
        grantor.advance_to(second * now);
    }
    assert_eq!((grantor.usable_units(), grantor.check(), grantor.is_within_share()), (2, Ok(()), true));
}
