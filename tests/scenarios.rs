//! Scenarios of the decision module, each with a fixed sequence of events that exercises one rule.

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
fn draining_server_gets_neither_new_requests_nor_retries() {
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

/// Returns the number of actions that reject or fail this request.
fn final_answers(actions: &[Action], id: u32) -> usize {
    let is_final_answer = |action: &&Action| match action {
        Action::Reject { id: answered, .. } | Action::Fail { id: answered } => answered.0 == id,
        _ => false,
    };
    actions.iter().filter(is_final_answer).count()
}

#[test]
fn connection_is_no_longer_counted_after_any_outcome() {
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
        let single_attempt = Settings { max_attempts: 1, ..settings(Idempotency::Idempotent) };
        let mut gateway = Gateway::new(single_attempt, 1);
        gateway.request(1.0, 1).expect("a server is ready");
        assert_eq!(gateway.module.open_connections(ServerId(0)), 1);
        gateway.ended(1.1, 1, 0, outcome);
        assert_eq!(gateway.module.open_connections(ServerId(0)), 0, "{outcome:?}");
        // A second report of the outcome has no effect.
        gateway.ended(1.2, 1, 0, outcome);
        assert_eq!(gateway.module.open_connections(ServerId(0)), 0, "{outcome:?}");
    }
}

#[test]
fn connections_are_distributed_by_listed_weight() {
    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 0);
    let weighted = |number, weight| EndpointEntry { weight, ..endpoint(number) };
    gateway.list(0.5, ListUpdate::Snapshot, vec![weighted(0, 1.0), weighted(1, 3.0)]);
    let mut counts = [0u32; 2];
    for id in 0..400 {
        counts[gateway.request(1.0, id).expect("two servers are ready").0 as usize] += 1;
        gateway.established(1.0, id, 0);
    }
    let share = f64::from(counts[1]) / 400.0;
    assert!((0.7..0.8).contains(&share), "a server of three times the weight got {share}");
}

#[test]
fn warming_server_is_paced_by_each_gateway_alone() {
    // Each of 100 gateways has one connection to each server. A warming server must not get one connection of
    // each gateway at once.
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
    // The server's share is 100 connections once it is warm. It gets only a small part of them within its
    // first second, in which it has three tenths of its capacity.
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
    let retry = attempted_server(&gateway.ended(1.01, 1, 0, Outcome::Failed));
    assert_eq!(retry, None, "the retry follows after a backoff");
    // If all attempts fail, the number of attempts in flight decreases.
    let mut in_flight = 0;
    for id in 10..600 {
        if gateway.request(1.02, id).is_some() {
            in_flight += 1;
            if in_flight > 32 {
                gateway.ended(1.02, id, 0, Outcome::Failed);
                in_flight -= 1;
            }
        }
    }
    assert!(in_flight <= 64, "{in_flight} attempts in flight");
    let attempts = gateway.actions.iter().filter(|action| matches!(action, Action::Attempt { .. })).count();
    assert!(attempts < 300, "{attempts} attempts for 590 requests to failing servers");
}

#[test]
fn queued_request_is_attempted_once_a_server_is_ready_or_rejected_before_its_deadline() {
    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 0);
    assert_eq!(gateway.request(1.0, 1), None);
    let actions = gateway.list(1.2, ListUpdate::Delta, vec![endpoint(0)]);
    assert_eq!(attempted_server(&actions), Some(ServerId(0)));

    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 0);
    gateway.request(1.0, 1);
    let mut now = 1.0;
    while final_answers(&gateway.actions, 1) == 0 && now < 4.0 {
        let actions: Vec<_> = std::mem::take(&mut gateway.actions);
        let timers = actions.iter().filter_map(|action| match action {
            Action::SetTimer { token, due_at } => Some((*due_at, *token)),
            _ => None,
        });
        let (due_at, token) = timers.min().expect("a queued request has a timer");
        let is_other_timer =
            |action: &&Action| !matches!(action, Action::SetTimer { token: other, .. } if *other == token);
        gateway.actions = actions.iter().filter(is_other_timer).cloned().collect();
        now = due_at.as_micros() as f64 / 1e6;
        gateway.event(now, Event::Timer(token));
    }
    assert_eq!(final_answers(&gateway.actions, 1), 1);
    assert!(now < 2.5, "rejected at {now}, too late for the client to try another gateway");
}

#[test]
fn requests_of_a_group_share_a_server_while_its_load_allows() {
    let grouped = |id| Request { group: Some(GroupId(7)), ..request(id) };
    let mut gateway = gateway_with_connections(settings(Idempotency::Idempotent), 20, 3, 1.0);
    let actions = gateway.event(1.0, Event::Request(grouped(1)));
    let affinity_server = attempted_server(&actions).expect("servers are ready");
    gateway.established(1.0, 1, 0);
    for id in 2..4 {
        assert_eq!(attempted_server(&gateway.event(1.0, Event::Request(grouped(id)))), Some(affinity_server));
        gateway.established(1.0, id, 0);
    }
    let mut on_other_servers = 0;
    for id in 4..40 {
        let server = attempted_server(&gateway.event(1.0, Event::Request(grouped(id))));
        on_other_servers += u32::from(server != Some(affinity_server));
        gateway.established(1.0, id, 0);
    }
    assert!(
        on_other_servers > 10,
        "{on_other_servers} of 36 on other servers, although the load is more than twice that of the others"
    );
}

#[test]
fn own_zone_is_preferred_until_its_servers_are_loaded_more_than_others() {
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
    // The connection count of the near server limits its load, as no measurement of its connections shows an
    // overload.
    let max_far = counts[1..].iter().max().copied().unwrap_or_default();
    assert!((max_far..max_far * 2).contains(&counts[0]), "{counts:?}");
    // The near server gets fewer requests than a far server with fewer connections, even if another far
    // server has more.
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
    let servers = (200..224).filter_map(|id| gateway.request(1.8, id));
    let near = servers.filter(|&server| server == ServerId(0)).count();
    assert!(near < 10, "{near} of 24 on the near server");
    // The near server gets no requests while its response time is long.
    gateway.event(2.0, response_time_report(0, 40));
    assert!((300..330).all(|id| gateway.request(2.0, id).is_some_and(|server| server.0 > 0)));
}

#[test]
fn non_idempotent_request_that_may_have_been_executed_fails_without_retry() {
    for (outcome, possibly_executed) in
        [(Outcome::Reset, true), (Outcome::TimedOut, true), (Outcome::ConnectError, false)]
    {
        let mut gateway = Gateway::new(settings(Idempotency::NotIdempotent), 3);
        gateway.request(1.0, 1).expect("servers are ready");
        let actions = gateway.ended(1.1, 1, 0, outcome);
        assert_eq!(actions.contains(&Action::Fail { id: RequestId(1) }), possibly_executed, "{outcome:?}");
        assert_eq!(attempted_server(&actions).is_none(), possibly_executed, "{outcome:?}");
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
    let (token, first_due_at) = timer(&gateway.actions).expect("a first subscription is scheduled");
    assert!(first_due_at <= time_at(1.0), "gateways subscribe at different times within the first second");
    assert!(gateway.event(1.0, Event::Timer(token)).contains(&Action::Subscribe));
    let mut backoffs = Vec::new();
    for step in 0..8 {
        let now = 2.0 + 10.0 * f64::from(step);
        let (token, due_at) =
            timer(&gateway.list(now, ListUpdate::WatchFailed, Vec::new())).expect("another poll");
        backoffs.push(due_at.since(time_at(now)));
        assert!(gateway.event(now + 9.0, Event::Timer(token)).contains(&Action::Subscribe));
    }
    assert!(backoffs[0] < backoffs[5], "{backoffs:?}");
    let limit = Span::from_micros(10 * SECOND);
    assert!(backoffs.iter().all(|&backoff| backoff < limit), "polled within the limit: {backoffs:?}");
    assert!(gateway.request(90.0, 1).is_some(), "the last list remains in effect");
}

#[test]
fn request_without_time_left_is_answered_immediately_and_once() {
    let mut gateway = Gateway::new(settings(Idempotency::Idempotent), 2);
    let expired = Request { time_left: Span::ZERO, ..request(1) };
    let actions = gateway.event(1.0, Event::Request(expired.clone()));
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
    let (token, due_at) = timer.expect("each request has a deadline");
    assert!(due_at > time_at(3.0) && due_at <= time_at(3.02));
    let actions = gateway.event(3.011, Event::Timer(token));
    assert!(actions.contains(&Action::CancelAttempt { id: RequestId(1), attempt: 0 }));
    assert_eq!(final_answers(&actions, 1), 1);
    assert!(gateway.ended(3.02, 1, 0, Outcome::Failed).is_empty(), "no actions follow the answer");
}

/// Returns a gateway that has just started, with `servers` servers, the first `warming` of which started one
/// second before the gateway received its endpoint list.
fn restarted_with_warming_servers(settings: Settings, servers: u32, warming: u32) -> Gateway {
    let mut gateway = Gateway { module: Balancer::new(settings, 1), actions: Vec::new() };
    let started_at = |number| (number < warming).then(|| time_at(100.0));
    let entries =
        (0..servers).map(|number| EndpointEntry { started_at: started_at(number), ..endpoint(number) });
    gateway.list(101.0, ListUpdate::Snapshot, entries.collect());
    gateway
}

#[test]
fn restarted_gateway_fills_warming_servers_by_the_tenants_quotas() {
    let tenants_with_quota = |quota_connections| vec![Tenant { quota_per_s: 9.0, quota_connections }];
    let placed_on_warming_servers = |tenants| {
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
    let without_quotas = placed_on_warming_servers(Vec::new());
    let with_quotas = placed_on_warming_servers(tenants_with_quota(360.0));
    assert!(
        with_quotas >= 2 * without_quotas && with_quotas < 20,
        "{without_quotas} without quotas, {with_quotas} with them"
    );
}
