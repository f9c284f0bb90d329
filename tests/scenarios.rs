//! The decision module driven by hand-written events: a scenario a rule.

mod decision_driver;

use ashtide::*;
use decision_driver::*;

#[test]
fn server_with_fewer_own_connections_is_selected() {
    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 2);
    let mut counts = [0u32; 2];
    for id in 0..400 {
        let server = gateway.request(1.0, id).expect("two servers are ready");
        gateway.established(1.0, id, 0);
        counts[server.0 as usize] += 1;
    }
    assert!(counts[0].abs_diff(counts[1]) < 20, "{counts:?}");
}

#[test]
fn draining_server_gets_nothing_new_also_on_retry() {
    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 2);
    let first = gateway.request(1.0, 1).expect("ready");
    let other = ServerId(1 - first.0);
    let draining = EndpointEntry { state: ServerState::Draining, ..endpoint(other.0) };
    gateway.list(1.1, ListUpdate::Delta, vec![draining]);
    let retry = attempted_server(&gateway.ended(1.2, 1, 0, Outcome::Failed));
    assert_ne!(retry, Some(other));
    for id in 2..50 {
        assert_ne!(gateway.request(1.3, id), Some(other));
    }
}

fn final_answers(actions: &[Action], id: u32) -> usize {
    let answer = |action: &&Action| match action {
        Action::Reject { id: answered, .. } | Action::Fail { id: answered } => answered.0 == id,
        _ => false,
    };
    actions.iter().filter(answer).count()
}

#[test]
fn connection_counts_are_right_after_every_outcome() {
    let outcomes = [
        Outcome::Failed,
        Outcome::QueueFull,
        Outcome::TimedOut,
        Outcome::ConnectError,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
        Outcome::Ok,
    ];
    for outcome in outcomes {
        let once = Settings { max_attempts: 1, ..settings(Idempotency::Idempotent) };
        let mut gateway = Gateway::new(once, 1);
        gateway.request(1.0, 1).expect("placed");
        assert_eq!(gateway.module.open_connections(ServerId(0)), 1);
        gateway.ended(1.1, 1, 0, outcome);
        assert_eq!(gateway.module.open_connections(ServerId(0)), 0, "{outcome:?}");
        // The second report changes nothing.
        gateway.ended(1.2, 1, 0, outcome);
        assert_eq!(gateway.module.open_connections(ServerId(0)), 0, "{outcome:?}");
    }
}

#[test]
fn counts_are_weighted_by_listed_weight() {
    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 0);
    let weighted = |number, weight| EndpointEntry { weight, ..endpoint(number) };
    gateway.list(0.5, ListUpdate::Snapshot, vec![weighted(0, 1.0), weighted(1, 3.0)]);
    let mut counts = [0u32; 2];
    for id in 0..400 {
        counts[gateway.request(1.0, id).expect("ready").0 as usize] += 1;
        gateway.established(1.0, id, 0);
    }
    let share = f64::from(counts[1]) / 400.0;
    assert!((0.7..0.8).contains(&share), "a server of three times the weight got {share}");
}

#[test]
fn warming_server_is_paced_by_each_gateway_alone() {
    // Each of a hundred gateways has one connection on a server; a warming one must not get one of each.
    let mut sent = 0;
    for seed in 0..100 {
        let own = GatewayId(seed as u32);
        let settings = Settings { gateways: 100, gateway_id: own, ..settings(Idempotency::Idempotent) };
        let mut gateway = Gateway { module: Balancer::new(settings, seed), actions: Vec::new() };
        gateway.list(0.0, ListUpdate::Snapshot, (0..10).map(endpoint).collect());
        for id in 0..10 {
            gateway
                .event(0.5, Event::ExistingConnection { request: request(1_000 + id), server: ServerId(id) });
        }
        let warming = EndpointEntry { started_at: Some(time_at(10.0)), ..endpoint(10) };
        gateway.list(10.0, ListUpdate::Delta, vec![warming]);
        for id in 0..20 {
            let now = 10.0 + 0.05 * f64::from(id);
            sent += u32::from(gateway.request(now, id) == Some(ServerId(10)));
            gateway.established(now, id, 0);
        }
    }
    // Its share is 100 once warm; within its first second, at three tenths, it gets a small part.
    assert!((1..25).contains(&sent), "{sent} sent to a warming server in its first second");
}

#[test]
fn restarted_server_is_warming_up_again() {
    let mut gateway = gateway_with_connections(settings(Idempotency::Idempotent), 5, 4, 1.0);
    let restarted = EndpointEntry { started_at: Some(time_at(20.0)), ..endpoint(0) };
    gateway.list(20.0, ListUpdate::Delta, vec![restarted]);
    let sent = (0..200).filter(|&id| gateway.request(20.1, id) == Some(ServerId(0))).count();
    assert!(sent <= 2, "{sent}");
}

#[test]
fn errors_are_retried_with_backoff_and_shrink_the_connect_window() {
    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 4);
    gateway.request(1.0, 1).expect("ready");
    assert_eq!(attempted_server(&gateway.ended(1.01, 1, 0, Outcome::Failed)), None, "it waits first");
    // A store that fails all connects: ever fewer are in flight.
    let mut out = 0;
    for id in 10..600 {
        if gateway.request(1.02, id).is_some() {
            out += 1;
            if out > 32 {
                gateway.ended(1.02, id, 0, Outcome::Failed);
                out -= 1;
            }
        }
    }
    assert!(out <= 64, "{out} connects in flight");
    let attempts = gateway.actions.iter().filter(|action| matches!(action, Action::Attempt { .. })).count();
    assert!(attempts < 300, "{attempts} attempts for 590 requests against a failing store");
}

#[test]
fn queued_request_is_placed_when_a_server_is_ready_and_rejected_in_time() {
    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 0);
    assert_eq!(gateway.request(1.0, 1), None);
    let placed = gateway.list(1.2, ListUpdate::Delta, vec![endpoint(0)]);
    assert_eq!(attempted_server(&placed), Some(ServerId(0)));

    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 0);
    gateway.request(1.0, 1);
    let mut now = 1.0;
    while final_answers(&gateway.actions, 1) == 0 && now < 4.0 {
        let timers: Vec<_> = std::mem::take(&mut gateway.actions);
        let due = timers.iter().filter_map(|action| match action {
            Action::SetTimer { token, due_at } => Some((*due_at, *token)),
            _ => None,
        });
        let (when, token) = due.min().expect("a queued request has a timer");
        let later =
            |action: &&Action| !matches!(action, Action::SetTimer { token: other, .. } if *other == token);
        gateway.actions = timers.iter().filter(later).cloned().collect();
        now = when.as_micros() as f64 / 1e6;
        gateway.event(now, Event::Timer(token));
    }
    assert_eq!(final_answers(&gateway.actions, 1), 1);
    assert!(now < 2.5, "rejected at {now}, while the client still has time to go elsewhere");
}

#[test]
fn groups_stay_together_while_load_allows() {
    let grouped = |id| Request { group: Some(GroupId(7)), ..request(id) };
    let mut gateway = gateway_with_connections(settings(Idempotency::Idempotent), 20, 3, 1.0);
    let affinity_server = attempted_server(&gateway.event(1.0, Event::Request(grouped(1)))).expect("ready");
    gateway.established(1.0, 1, 0);
    for id in 2..4 {
        assert_eq!(attempted_server(&gateway.event(1.0, Event::Request(grouped(id)))), Some(affinity_server));
        gateway.established(1.0, id, 0);
    }
    let mut away = 0;
    for id in 4..40 {
        away += u32::from(
            attempted_server(&gateway.event(1.0, Event::Request(grouped(id)))) != Some(affinity_server),
        );
        gateway.established(1.0, id, 0);
    }
    assert!(away > 10, "past twice the others' load selection decides again, {away}");
}

#[test]
fn own_zone_is_preferred_but_not_filled_while_others_are_empty() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.prices.cross_zone = 0.014;
    let mut gateway = Gateway::new(settings, 1);
    let far = |number| EndpointEntry { zone: ZoneId(1), ..endpoint(number) };
    gateway.list(0.0, ListUpdate::Snapshot, (1..5).map(far).chain([endpoint(0)]).collect());
    let mut counts = [0u32; 5];
    for id in 0..200 {
        let server = gateway.request(1.0, id).expect("five servers are ready");
        gateway.established(1.0, id, 0);
        counts[server.0 as usize] += 1;
    }
    // As no sign on the sockets tells that the one near server is overrun, its count has to.
    let most_far = counts[1..].iter().max().copied().unwrap_or_default();
    assert!((most_far..most_far * 2).contains(&counts[0]), "{counts:?}");
    // It gets less than an emptier far server, also where others are full.
    let far = |number| EndpointEntry { state: ServerState::Removed, ..far(number) };
    gateway.list(1.5, ListUpdate::Delta, vec![far(1), far(2)]);
    for id in 0..200 {
        gateway.ended(1.6, id, 0, Outcome::Ok);
    }
    for (server, count) in [(0, 15), (3, 5), (4, 25)] {
        for id in 0..count {
            let request = request(1000 * (server + 1) + id);
            gateway.event(1.7, Event::ExistingConnection { request, server: ServerId(server) });
        }
    }
    let placed = (200..224).filter_map(|id| gateway.request(1.8, id));
    let near = placed.filter(|&server| server == ServerId(0)).count();
    assert!(near < 10, "{near} of 24");
    // Where it is slow, it gets nothing.
    gateway.event(2.0, response_time_report(0, 40));
    assert!((300..330).all(|id| gateway.request(2.0, id).is_some_and(|server| server.0 > 0)));
}

#[test]
fn non_idempotent_request_that_may_have_been_executed_fails_without_retry() {
    for (outcome, may_run) in
        [(Outcome::Reset, true), (Outcome::TimedOut, true), (Outcome::ConnectError, false)]
    {
        let mut gateway = Gateway::new(settings(Idempotency::NotIdempotent), 3);
        gateway.request(1.0, 1).expect("ready");
        let after = gateway.ended(1.1, 1, 0, outcome);
        assert_eq!(after.contains(&Action::Fail { id: RequestId(1) }), may_run, "{outcome:?}");
        assert_eq!(attempted_server(&after).is_none(), may_run, "{outcome:?}");
    }
}

#[test]
fn list_is_subscribed_to_and_polled_with_backoff_after_failures() {
    let settings = Settings { discovery: DiscoveryMode::OnRequest, ..settings(Idempotency::Idempotent) };
    let mut gateway = Gateway::new(settings, 2);
    let timer = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::SetTimer { token, due_at } => Some((*token, *due_at)),
            _ => None,
        })
    };
    let (token, first) = timer(&gateway.actions).expect("a first subscription is scheduled");
    assert!(first <= time_at(1.0), "soon, but not all gateways at the same time");
    assert!(gateway.event(1.0, Event::Timer(token)).contains(&Action::Subscribe));
    let mut waits = Vec::new();
    for step in 0..8 {
        let now = 2.0 + 10.0 * f64::from(step);
        let (token, again) =
            timer(&gateway.list(now, ListUpdate::WatchFailed, Vec::new())).expect("another poll");
        waits.push(again.since(time_at(now)));
        assert!(gateway.event(now + 9.0, Event::Timer(token)).contains(&Action::Subscribe));
    }
    assert!(waits[0] < waits[5], "{waits:?}");
    let limit = Span::from_micros(10 * SECOND);
    assert!(waits.iter().all(|&wait| wait < limit), "polled within the limit: {waits:?}");
    assert!(gateway.request(90.0, 1).is_some(), "the last list remains");
}

#[test]
fn request_without_time_is_answered_at_once_and_once() {
    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 2);
    let late = Request { time_left: Span::ZERO, ..request(1) };
    let actions = gateway.event(1.0, Event::Request(late.clone()));
    assert_eq!(final_answers(&actions, 1), 1);
    assert_eq!(attempted_server(&actions), None);
}

#[test]
fn overdue_attempt_is_cancelled_and_answered_within_the_slack() {
    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 1);
    let actions = gateway.event(1.0, Event::Request(request(1)));
    let timer = actions.iter().find_map(|action| match action {
        Action::SetTimer { token, due_at } => Some((*token, *due_at)),
        _ => None,
    });
    let (token, when) = timer.expect("each request has a deadline");
    assert!(when > time_at(3.0) && when <= time_at(3.02));
    let end = gateway.event(3.011, Event::Timer(token));
    assert!(end.contains(&Action::CancelAttempt { id: RequestId(1), attempt: 0 }));
    assert_eq!(final_answers(&end, 1), 1);
    assert!(gateway.ended(3.02, 1, 0, Outcome::Failed).is_empty(), "nothing is done after the answer");
}

/// A gateway that has just started, with servers of which `warming` started a moment ago.
fn restarted_with_warming_servers(settings: Settings, servers: u32, warming: u32) -> Gateway {
    let mut gateway = Gateway { module: Balancer::new(settings, 1), actions: Vec::new() };
    let started = |number| (number < warming).then(|| time_at(100.0));
    let entries =
        (0..servers).map(|number| EndpointEntry { started_at: started(number), ..endpoint(number) });
    gateway.list(101.0, ListUpdate::Snapshot, entries.collect());
    gateway
}

#[test]
fn restarted_gateway_fills_warming_servers_by_the_tenants_quotas() {
    let quota = |quota_connections| vec![Tenant { quota_per_s: 9.0, quota_connections }];
    let placed = |tenants| {
        let mut gateway =
            restarted_with_warming_servers(Settings { tenants, ..settings(Idempotency::Idempotent) }, 3, 2);
        let servers = (0..24).map(|id| {
            let now = 101.0 + f64::from(id) * 0.05;
            let server = gateway.request(now, id).expect("a server is ready");
            gateway.established(now, id, 0);
            server.0
        });
        servers.filter(|&server| server < 2).count()
    };
    let none = placed(Vec::new());
    let some = placed(quota(360.0));
    assert!(some >= 2 * none && some < 20, "{none} without quotas, {some} with them");
}
