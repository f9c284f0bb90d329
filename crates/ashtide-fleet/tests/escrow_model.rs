//! Model checking of escrow and leases with the code that the daemon runs. The checker explores every order
//! of requests, deliveries, losses, repetitions, time steps, crashes and restarts of three gateways, up to a
//! fixed depth.

use std::time::Duration;

use ashtide_fleet::state::{
    Escrow, InitialShare, LeaseConfig, LeaseGrant, LeaseRequest, Mutation, Slot, check_total,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LEASE_CONFIG: LeaseConfig = LeaseConfig {
    duration: Duration::from_secs(2),
    margin: Duration::from_secs(1),
    max_clock_gap: Duration::from_secs(1),
};
const SHARE: InitialShare = InitialShare { floor: 1, lendable: 2 };
/// Total of the budget: the shares of three gateways.
const TOTAL: u64 = 9;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request(LeaseRequest),
    Grant(LeaseGrant),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    gateways: [Option<Escrow>; 3],
    incarnations: [u64; 3],
    /// Messages in flight: sent, and neither lost nor delivered. A repeated delivery leaves the message in
    /// flight.
    in_flight: Vec<(usize, usize, Message)>,
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
    AdvanceSecond,
    Crash(usize),
    Start(usize),
}

struct Cluster {
    mutation: Option<Mutation>,
    requests: u8,
    repeats: u8,
    crashes: u8,
    seconds: u64,
}

impl Cluster {
    fn start(&self, number: usize, incarnation: u64, now: u64) -> Escrow {
        let mut escrow = Escrow::new(
            Slot(number as u16),
            incarnation,
            SHARE,
            LEASE_CONFIG,
            incarnation == 1,
            Duration::from_secs(now),
        );
        if let Some(mutation) = self.mutation {
            escrow.set_mutation(mutation);
        }
        escrow
    }
}

impl Model for Cluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let gateways = [0, 1, 2].map(|number| Some(self.start(number, 1, 0)));
        let in_flight = Vec::new();
        let incarnations = [1; 3];
        vec![State { gateways, incarnations, in_flight, now: 0, requests: 0, repeats: 0, crashes: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        // Gateways 1 and 2 request all lendable units of gateway 0, or return all. Gateway 1 also requests
        // units of gateway 2, so that gateway 2 is holder and grantor at the same time.
        if state.requests < self.requests {
            for (from, to) in [(1, 0), (2, 0), (1, 2)] {
                if state.gateways[from].is_some() {
                    actions.extend([0, 2].map(|wanted_units| Action::Request(from, to, wanted_units)));
                }
            }
        }
        for index in 0..state.in_flight.len() {
            actions.extend([Action::Deliver(index, false), Action::Lose(index)]);
            if state.repeats < self.repeats {
                actions.push(Action::Deliver(index, true));
            }
        }
        if state.now < self.seconds {
            actions.push(Action::AdvanceSecond);
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
            Action::Request(from, to, wanted_units) => {
                let request = state.gateways[from].as_mut()?.request_lease(Slot(to as u16), wanted_units);
                state.requests += 1;
                state.in_flight.push((from, to, Message::Request(request)));
            }
            Action::Deliver(index, is_repeated) => {
                let (from, to, message) = state.in_flight[index].clone();
                if is_repeated {
                    state.repeats += 1;
                } else {
                    state.in_flight.remove(index);
                }
                if let Some(escrow) = &mut state.gateways[to] {
                    match message {
                        Message::Request(request) => {
                            if let Ok(grant) = escrow.grant_lease(Slot(from as u16), request, 0) {
                                state.in_flight.push((to, from, Message::Grant(grant)));
                            }
                        }
                        Message::Grant(grant) => {
                            let _ = escrow.accept_lease(Slot(from as u16), grant);
                        }
                    }
                }
            }
            Action::Lose(index) => {
                state.in_flight.remove(index);
            }
            Action::AdvanceSecond => {
                state.now += 1;
                let now = Duration::from_secs(state.now);
                state.gateways.iter_mut().flatten().for_each(|escrow| escrow.advance_to(now));
            }
            Action::Crash(number) => {
                state.gateways[number] = None;
                state.crashes += 1;
            }
            Action::Start(number) => {
                state.incarnations[number] += 1;
                state.gateways[number] = Some(self.start(number, state.incarnations[number], state.now));
            }
        }
        state.in_flight.sort();
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
            Property::sometimes("a unit is leased", |_, state: &State| {
                state
                    .gateways
                    .iter()
                    .flatten()
                    .any(|escrow| escrow.usable_units() > SHARE.floor + SHARE.lendable)
            }),
        ]
    }
}

#[test]
fn three_gateways_never_use_more_than_the_total_to_the_stated_depth() {
    let depth = 9;
    let cluster = Cluster { mutation: None, requests: 3, repeats: 1, crashes: 1, seconds: 4 };
    let checker = cluster.checker().threads(3).target_max_depth(depth).spawn_bfs().join();
    println!("{} states, {} unique, to depth {depth}", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn the_model_detects_each_mutation() {
    let mutations = [
        (Mutation::AcceptRepeatedRequest, "B4"),
        (Mutation::ForgetUnconfirmedGrant, "B4"),
        (Mutation::AcceptRepeatedGrant, "B4"),
        (Mutation::LeaseFromGrantTime, "B4"),
        (Mutation::NoLendingDelay, "B4"),
        (Mutation::NoExpiry, "B1, B2"),
    ];
    for (mutation, property) in mutations {
        let cluster = Cluster { mutation: Some(mutation), requests: 3, repeats: 1, crashes: 1, seconds: 4 };
        let checker = cluster
            .checker()
            .threads(3)
            .finish_when(HasDiscoveries::AnyFailures)
            .target_max_depth(12)
            .spawn_bfs()
            .join();
        println!("{mutation:?}: {} states", checker.state_count());
        assert!(checker.discovery(property).is_some(), "{mutation:?} must violate {property}");
    }
}

#[test]
fn units_of_a_crashed_holder_are_lent_again_only_after_its_lease_ends() {
    let second = Duration::from_secs(1);
    let cluster = Cluster { mutation: None, requests: 0, repeats: 0, crashes: 0, seconds: 0 };
    let mut grantor = cluster.start(0, 1, 0);
    let mut holder = cluster.start(1, 1, 0);
    let grant = grantor.grant_lease(Slot(1), holder.request_lease(Slot(0), 2), 0).expect("the grantor lends");
    assert_eq!((grant.units, holder.accept_lease(Slot(0), grant)), (2, Ok(())));
    assert_eq!((grantor.usable_units(), holder.usable_units()), (1, 5));
    // The holder crashes. Its new process and another gateway request the units of the old process.
    let mut holder = cluster.start(1, 2, 0);
    let mut other = cluster.start(2, 1, 0);
    for now in 1..3 {
        [&mut grantor, &mut holder, &mut other]
            .into_iter()
            .for_each(|escrow| escrow.advance_to(second * now));
        for (slot, requester) in [(1, &mut holder), (2, &mut other)] {
            let grant = grantor
                .grant_lease(Slot(slot), requester.request_lease(Slot(0), 1), 0)
                .expect("the grantor answers");
            assert_eq!(grant.units, 0, "after {now} s of a lease of 2 s with a margin of 1 s");
        }
    }
    [&mut grantor, &mut other].into_iter().for_each(|escrow| escrow.advance_to(second * 3));
    let grant =
        grantor.grant_lease(Slot(2), other.request_lease(Slot(0), 1), 0).expect("the grantor answers");
    assert_eq!((grant.units, grantor.check()), (1, Ok(())));
    // A later process of the grantor lends nothing until the leases of the earlier one have ended.
    let mut grantor = Escrow::new(Slot(0), 2, SHARE, LEASE_CONFIG, false, second * 3);
    (4..=5).for_each(|now| grantor.advance_to(second * now));
    assert!(grantor.grant_lease(Slot(2), other.request_lease(Slot(0), 1), 0).is_err());
    assert_eq!(grantor.usable_units(), SHARE.floor, "the floor is never lent and remains usable");
    grantor.advance_to(second * 6);
    assert!(grantor.grant_lease(Slot(2), other.request_lease(Slot(0), 1), 0).is_ok());
}

#[test]
fn the_earlier_of_two_processes_with_one_slot_stops_using_and_lending_its_share() {
    let cluster = Cluster { mutation: None, requests: 0, repeats: 0, crashes: 0, seconds: 0 };
    let mut earlier = cluster.start(0, 1, 0);
    let mut other = cluster.start(2, 1, 0);
    let grant = other.grant_lease(Slot(0), earlier.request_lease(Slot(2), 1), 0).expect("the grantor lends");
    earlier.accept_lease(Slot(2), grant).expect("the grant answers the latest request");
    earlier.relinquish();
    assert_eq!(earlier.usable_units(), 1, "a lease remains usable until it ends");
    assert!(earlier.grant_lease(Slot(1), other.request_lease(Slot(0), 1), 0).is_err());
}

#[test]
fn a_smaller_share_applies_at_once_and_leases_beyond_it_are_not_lent_again() {
    let second = Duration::from_secs(1);
    let cluster = Cluster { mutation: None, requests: 0, repeats: 0, crashes: 0, seconds: 0 };
    let mut grantor = cluster.start(0, 1, 0);
    let mut holder = cluster.start(1, 1, 0);
    let grant = grantor.grant_lease(Slot(1), holder.request_lease(Slot(0), 2), 0).expect("the grantor lends");
    holder.accept_lease(Slot(0), grant).expect("the grant answers the latest request");
    grantor.set_share(InitialShare { floor: 1, lendable: 1 });
    assert_eq!((grantor.usable_units(), grantor.check()), (1, Ok(())), "two units are lent, one is lendable");
    let grant = grantor
        .grant_lease(Slot(2), cluster.start(2, 1, 0).request_lease(Slot(0), 1), 0)
        .expect("the grantor answers");
    assert_eq!((grant.units, grantor.is_within_share()), (0, false));
    for now in 1..=3 {
        grantor.advance_to(second * now);
    }
    assert_eq!((grantor.usable_units(), grantor.check(), grantor.is_within_share()), (2, Ok(()), true));
}
