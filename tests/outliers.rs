//! Servers that do worse than others: each rule driven by hand-written events.

mod decision_driver;

use ashtide::*;
use decision_driver::*;

#[test]
fn slow_server_is_avoided_until_it_is_reported_as_fast() {
    let mut gateway = filled(settings(Idempotency::Idempotent), 3, 5, 1.0);
    gateway.event(2.0, slow(1, 50));
    for id in 0..60 {
        assert_ne!(gateway.request(2.1, id), Some(ServerId(1)));
        gateway.established(2.1, id, 0);
    }
    gateway.event(3.0, slow(1, 10));
    let back = (100..200).filter(|&id| gateway.request(3.1, id) == Some(ServerId(1))).count();
    assert!(back > 0);
}

#[test]
fn saturated_server_loses_a_small_share_and_gets_nothing_new() {
    let mut gateway = filled(settings(Idempotency::Idempotent), 1, 100, 1.0);
    let moved = gateway.event(2.0, slow(0, 200));
    let moved = moved.iter().filter(|action| matches!(action, Action::Migrate { .. })).count();
    assert!((10..=11).contains(&moved), "{moved}");
    assert_eq!(gateway.request(2.1, 1), None, "queued while the only server is saturated");
    let mut quiet = filled(settings(Idempotency::Idempotent), 1, 100, 1.0);
    assert!(quiet.event(2.0, slow(0, 40)).is_empty(), "connections that are served stay");
}

#[test]
fn recovered_server_is_paced() {
    let mut gateway = filled(settings(Idempotency::Idempotent), 2, 100, 1.0);
    gateway.request(1.5, 1).expect("connections are counted by now");
    gateway.event(2.0, slow(0, 200));
    gateway.event(2.0, slow(1, 200));
    for id in 10..210 {
        gateway.request(2.5, id);
    }
    let before = gateway.module.open_connections(ServerId(0));
    gateway.event(3.0, slow(0, 0));
    for id in 300..400 {
        gateway.request(3.05, id);
    }
    let sent = gateway.module.open_connections(ServerId(0)) - before;
    assert!(sent <= 2, "{sent} sent in the instant it recovered");
}

#[test]
fn heavy_connections_of_low_priority_are_migrated_first() {
    let mut two = settings(Idempotency::Idempotent);
    two.classes.push(RequestClass { priority_weight: 9.0, ..two.classes[0].clone() });
    let mut gateway = Gateway::new(two, 1);
    for id in 0..20 {
        let class = ClassId(id % 2);
        let load = Some(if id == 4 { 0.5 } else { 0.01 });
        let request = Request { class, load, ..request(id) };
        gateway.event(1.0, Event::ExistingConnection { request, server: ServerId(0) });
    }
    let moved = gateway.event(2.0, slow(0, 300));
    assert_eq!(moved.first(), Some(&Action::Migrate { id: RequestId(4) }));
}

#[test]
fn server_that_fails_to_connect_is_ejected_and_retried_sparingly() {
    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 4);
    let mut tries = 0;
    for id in 0..400 {
        let now = 1.0 + 0.01 * f64::from(id);
        match gateway.request(now, id) {
            Some(ServerId(0)) => {
                tries += 1;
                let again = attempt(&gateway.ended(now, id, 0, Outcome::ConnectError));
                assert!(again.is_some_and(|server| server != ServerId(0)), "not drawn again for it");
            }
            _ => gateway.established(now, id, 0),
        }
    }
    assert!((1..8).contains(&tries), "{tries} tries in four seconds");
}

#[test]
fn server_that_drops_connections_does_not_get_them_all_back() {
    let mut gateway = filled(settings(Idempotency::Idempotent), 3, 8, 1.0);
    let there = |number: u32| 100_000 + 3 * number;
    // A single one may be a fault of the network.
    gateway.ended(2.0, there(0), 0, Outcome::Reset);
    assert!((50..60).any(|id| gateway.request(2.0, id) == Some(ServerId(0))));
    (1..8).for_each(|number| _ = gateway.ended(2.1, there(number), 0, Outcome::Reset));
    // Its count is the lowest now: it would be selected each time.
    assert!((100..110).all(|id| gateway.request(2.2, id).is_some_and(|server| server.0 > 0)));
    // It is used again, and avoided for longer when it drops them again.
    let back: Vec<u32> = (200..220).filter(|&id| gateway.request(4.5, id) == Some(ServerId(0))).collect();
    assert!(back.len() > 4, "{back:?}");
    for &id in &back {
        gateway.established(4.5, id, 0);
        gateway.ended(4.6, id, 0, Outcome::Reset);
    }
    assert!((300..310).all(|id| gateway.request(5.8, id).is_some_and(|server| server.0 > 0)));
}

#[test]
fn silent_server_is_emptied_and_probed_with_one_connection_until_it_answers() {
    let mut gateway = filled(settings(Idempotency::Idempotent), 2, 5, 1.0);
    let silent = ServerId(0);
    let there = gateway.module.open_connections(silent);
    let moved = gateway.event(2.0, Event::ServerSilent { server: silent });
    let moves = moved.iter().filter(|action| matches!(action, Action::Migrate { .. })).count();
    assert_eq!(moves, there as usize, "all that were there");
    for action in moved {
        if let Action::Migrate { id } = action {
            gateway.ended(2.0, id.0, 0, Outcome::Cancelled);
        }
    }
    assert!((100..120).all(|id| gateway.request(2.1, id) == Some(ServerId(1))), "ejected");
    let probes: Vec<u32> = (200..220).filter(|&id| gateway.request(4.0, id) == Some(silent)).collect();
    assert_eq!(probes.len(), 1, "one connection shows whether it is back");
    gateway.established(4.0, probes[0], 0);
    assert!((300..320).all(|id| gateway.request(4.1, id) == Some(ServerId(1))), "connecting is not enough");
    gateway.event(5.0, slow(0, 0));
    assert!((400..420).any(|id| gateway.request(5.1, id) == Some(silent)), "a message was answered");
}

/// Resets some of the connections that the gateway was filled with.
fn drop_some(gateway: &mut Gateway, ids: impl Iterator<Item = u32>) {
    for id in ids {
        let id = RequestId(100_000 + id);
        let outcome = Outcome::Reset;
        gateway.event(1.0, Event::AttemptEnded { id, attempt: 0, outcome, request_done: true });
    }
}

#[test]
fn server_that_shed_load_is_not_filled_beyond_its_estimated_capacity() {
    let mut gateway = filled(settings(Idempotency::Idempotent), 3, 20, 1.0);
    drop_some(&mut gateway, (0..36).step_by(3));
    assert_eq!(gateway.module.open_connections(ServerId(0)), 8);
    // Long after it is avoided.
    for id in 0..60 {
        gateway.request(5.0, id).expect("three servers are ready");
        gateway.established(5.0, id, 0);
    }
    let open = gateway.module.open_connections(ServerId(0));
    assert!((14..18).contains(&open), "{open} of the 20 at which it began to drop them");
}

#[test]
fn uncordoned_server_gets_the_next_request_whatever_it_did_before() {
    let mut gateway = filled(settings(Idempotency::Idempotent), 3, 5, 1.0);
    let state = |state| vec![EndpointEntry { state, ..endpoint(2) }];
    drop_some(&mut gateway, (2..15).step_by(3));
    gateway.list(1.0, ListUpdate::Delta, state(ServerState::Draining));
    gateway.event(1.1, Event::ServerSilent { server: ServerId(2) });
    gateway.list(1.2, ListUpdate::Delta, state(ServerState::Ready));
    assert!(gateway.module.is_avoided(time_at(1.2), ServerId(2)));
    gateway.event(1.2, Event::Uncordoned { server: ServerId(2) });
    assert!(!gateway.module.is_avoided(time_at(1.2), ServerId(2)));
    assert_eq!(gateway.request(1.3, 1), Some(ServerId(2)));
    gateway.established(1.3, 1, 0);
    let more = (2..40).filter(|&id| gateway.request(1.3, id) == Some(ServerId(2))).count();
    assert!(more < 3, "it may be warming up: {more}");
}

#[test]
fn request_waits_for_a_paced_server_rather_than_go_to_an_ejected_one() {
    let mut gateway = filled(settings(Idempotency::Idempotent), 2, 20, 1.0);
    let started = EndpointEntry { started_at: Some(time_at(1.0)), ..endpoint(1) };
    gateway.list(1.0, ListUpdate::Delta, vec![started]);
    // The old one is down before the list says so.
    let mut dead = 0;
    let mut queued = 0;
    let mut placed = 0;
    for id in 0..80 {
        let now = 1.0 + 0.02 * f64::from(id);
        let mut out = gateway.request(now, id);
        for attempt_number in 0..3 {
            match out {
                Some(ServerId(0)) => {
                    dead += 1;
                    let ended = gateway.ended(now, id, attempt_number, Outcome::ConnectError);
                    out = attempt(&ended);
                }
                Some(_) => {
                    placed += 1;
                    gateway.established(now, id, attempt_number);
                    break;
                }
                None => {
                    queued += 1;
                    break;
                }
            }
        }
    }
    assert!(dead <= 3, "{dead} attempts at a server that refuses connections");
    assert!(placed > 0 && queued > placed, "{placed} placed and {queued} queued");
}
