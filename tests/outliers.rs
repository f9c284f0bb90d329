//! Outlier detection of the decision module, driven by hand-written events: one test for each rule.

mod decision_driver;

use ashtide::*;
use decision_driver::*;

#[test]
fn slow_server_is_avoided_until_its_responses_are_fast() {
    let mut gateway = gateway_with_connections(settings(Idempotency::Idempotent), 3, 5, 1.0);
    gateway.event(2.0, response_time_report(1, 50));
    for id in 0..60 {
        assert_ne!(gateway.request(2.1, id), Some(ServerId(1)));
        gateway.established(2.1, id, 0);
    }
    gateway.event(3.0, response_time_report(1, 10));
    let sent = (100..200).filter(|&id| gateway.request(3.1, id) == Some(ServerId(1))).count();
    assert!(sent > 0);
}

/// Counts the connections that the actions migrate.
fn migrations(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Migrate { .. })).count()
}

#[test]
fn saturated_server_loses_a_small_share_and_receives_no_new_connections() {
    let mut gateway = gateway_with_connections(settings(Idempotency::Idempotent), 1, 100, 1.0);
    let migrated = migrations(&gateway.event(2.0, response_time_report(0, 200)));
    assert!((10..=11).contains(&migrated), "{migrated} of 100 connections migrated");
    assert_eq!(gateway.request(2.1, 1), None, "queued while the only server is saturated");
    let mut with_slow_server = gateway_with_connections(settings(Idempotency::Idempotent), 1, 100, 1.0);
    let actions = with_slow_server.event(2.0, response_time_report(0, 40));
    assert!(actions.is_empty(), "connections to a server that is only slow are not migrated");
}

#[test]
fn new_connections_to_a_recovered_server_are_limited() {
    let mut gateway = gateway_with_connections(settings(Idempotency::Idempotent), 2, 100, 1.0);
    gateway.request(1.5, 1).expect("two servers are ready, and their connections are counted");
    gateway.event(2.0, response_time_report(0, 200));
    gateway.event(2.0, response_time_report(1, 200));
    for id in 10..210 {
        gateway.request(2.5, id);
    }
    let before = gateway.module.open_connections(ServerId(0));
    gateway.event(3.0, response_time_report(0, 0));
    for id in 300..400 {
        gateway.request(3.05, id);
    }
    let sent = gateway.module.open_connections(ServerId(0)) - before;
    assert!(sent <= 2, "{sent} connections sent within 50 ms of the recovery");
}

#[test]
fn heavy_connections_of_low_priority_are_migrated_first() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.classes.push(RequestClass { priority_weight: 9.0, ..settings.classes[0].clone() });
    let mut gateway = Gateway::new(settings, 1);
    for id in 0..20 {
        let class = ClassId(id % 2);
        let load = Some(if id == 4 { 0.5 } else { 0.01 });
        let request = Request { class, load, ..request(id) };
        gateway.event(1.0, Event::ExistingConnection { request, server: ServerId(0) });
    }
    let actions = gateway.event(2.0, response_time_report(0, 300));
    assert_eq!(actions.first(), Some(&Action::Migrate { id: RequestId(4) }));
}

#[test]
fn server_that_refuses_connections_is_ejected_and_rarely_retried() {
    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 4);
    let mut attempts = 0;
    for id in 0..400 {
        let now = 1.0 + 0.01 * f64::from(id);
        match gateway.request(now, id) {
            Some(ServerId(0)) => {
                attempts += 1;
                let retry = attempted_server(&gateway.ended(now, id, 0, Outcome::ConnectError));
                assert!(
                    retry.is_some_and(|server| server != ServerId(0)),
                    "request {id} is not retried on another server: {retry:?}"
                );
            }
            _ => gateway.established(now, id, 0),
        }
    }
    assert!((1..8).contains(&attempts), "{attempts} attempts in four seconds");
}

#[test]
fn server_that_drops_connections_does_not_receive_them_all_again() {
    let mut gateway = gateway_with_connections(settings(Idempotency::Idempotent), 3, 8, 1.0);
    let connection_of_server_0 = |number: u32| FIRST_EXISTING_ID + 3 * number;
    // A network fault may cause a single drop, so the server is not avoided yet.
    gateway.ended(2.0, connection_of_server_0(0), 0, Outcome::Reset);
    assert!((50..60).any(|id| gateway.request(2.0, id) == Some(ServerId(0))));
    (1..8).for_each(|number| _ = gateway.ended(2.1, connection_of_server_0(number), 0, Outcome::Reset));
    // Without load-shedding detection, the server would be selected each time, since its count is the lowest.
    assert!((100..110).all(|id| gateway.request(2.2, id).is_some_and(|server| server.0 > 0)));
    // The server is used again, and is avoided for longer when it drops the connections again.
    let sent: Vec<u32> = (200..220).filter(|&id| gateway.request(4.5, id) == Some(ServerId(0))).collect();
    assert!(sent.len() > 4, "{sent:?}");
    for &id in &sent {
        gateway.established(4.5, id, 0);
        gateway.ended(4.6, id, 0, Outcome::Reset);
    }
    assert!((300..310).all(|id| gateway.request(5.8, id).is_some_and(|server| server.0 > 0)));
}

#[test]
fn silent_server_loses_all_connections_and_is_on_probation_until_it_responds() {
    let mut gateway = gateway_with_connections(settings(Idempotency::Idempotent), 2, 5, 1.0);
    let silent = ServerId(0);
    let open = gateway.module.open_connections(silent);
    let actions = gateway.event(2.0, Event::ServerSilent { server: silent });
    assert_eq!(migrations(&actions), open as usize, "all connections are migrated");
    for action in actions {
        if let Action::Migrate { id } = action {
            gateway.ended(2.0, id.0, 0, Outcome::Cancelled);
        }
    }
    assert!((100..120).all(|id| gateway.request(2.1, id) == Some(ServerId(1))), "ejected");
    let probes: Vec<u32> = (200..220).filter(|&id| gateway.request(4.0, id) == Some(silent)).collect();
    assert_eq!(probes.len(), 1, "on probation the server receives one connection at a time");
    gateway.established(4.0, probes[0], 0);
    assert!(
        (300..320).all(|id| gateway.request(4.1, id) == Some(ServerId(1))),
        "an established connection does not end the probation"
    );
    gateway.event(5.0, response_time_report(0, 0));
    assert!(
        (400..420).any(|id| gateway.request(5.1, id) == Some(silent)),
        "an answered message ends the probation"
    );
}

/// Resets connections that existed from the start of the test, given by their indices.
fn reset_connections(gateway: &mut Gateway, indices: impl Iterator<Item = u32>) {
    for index in indices {
        let id = RequestId(FIRST_EXISTING_ID + index);
        let outcome = Outcome::Reset;
        gateway.event(1.0, Event::AttemptEnded { id, attempt: 0, outcome, request_done: true });
    }
}

#[test]
fn server_that_shed_load_is_not_filled_beyond_its_estimated_capacity() {
    let mut gateway = gateway_with_connections(settings(Idempotency::Idempotent), 3, 20, 1.0);
    reset_connections(&mut gateway, (0..36).step_by(3));
    assert_eq!(gateway.module.open_connections(ServerId(0)), 8);
    // At second 5 the server is no longer avoided for its shedding.
    for id in 0..60 {
        gateway.request(5.0, id).expect("three servers are ready");
        gateway.established(5.0, id, 0);
    }
    let open = gateway.module.open_connections(ServerId(0));
    assert!((14..18).contains(&open), "{open} connections; the server had 20 when it began to shed load");
}

#[test]
fn uncordoned_server_receives_the_next_request_despite_earlier_faults() {
    let mut gateway = gateway_with_connections(settings(Idempotency::Idempotent), 3, 5, 1.0);
    let entries = |state| vec![EndpointEntry { state, ..endpoint(2) }];
    reset_connections(&mut gateway, (2..15).step_by(3));
    gateway.list(1.0, ListUpdate::Delta, entries(ServerState::Draining));
    gateway.event(1.1, Event::ServerSilent { server: ServerId(2) });
    gateway.list(1.2, ListUpdate::Delta, entries(ServerState::Ready));
    assert!(gateway.module.is_avoided(time_at(1.2), ServerId(2)));
    gateway.event(1.2, Event::Uncordoned { server: ServerId(2) });
    assert!(!gateway.module.is_avoided(time_at(1.2), ServerId(2)));
    assert_eq!(gateway.request(1.3, 1), Some(ServerId(2)));
    gateway.established(1.3, 1, 0);
    let sent = (2..40).filter(|&id| gateway.request(1.3, id) == Some(ServerId(2))).count();
    assert!(sent < 3, "{sent} further connections sent to a server that may be warming up");
}

#[test]
fn request_waits_for_a_warming_server_instead_of_using_an_ejected_one() {
    let mut gateway = gateway_with_connections(settings(Idempotency::Idempotent), 2, 20, 1.0);
    let warming = EndpointEntry { started_at: Some(time_at(1.0)), ..endpoint(1) };
    gateway.list(1.0, ListUpdate::Delta, vec![warming]);
    // Server 0 refuses connections, but the endpoint list still shows it as ready.
    let mut refused = 0;
    let mut queued = 0;
    let mut placed = 0;
    for id in 0..80 {
        let now = 1.0 + 0.02 * f64::from(id);
        let mut selected = gateway.request(now, id);
        for attempt_number in 0..3 {
            match selected {
                Some(ServerId(0)) => {
                    refused += 1;
                    let actions = gateway.ended(now, id, attempt_number, Outcome::ConnectError);
                    selected = attempted_server(&actions);
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
    assert!(refused <= 3, "{refused} attempts on a server that refuses connections");
    assert!(placed > 0 && queued > placed, "{placed} placed and {queued} queued");
}
