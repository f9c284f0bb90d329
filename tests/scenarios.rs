//! The module driven by hand-written events, one scenario a rule or guard.

use ashtide::*;

const SECOND: i64 = 1_000_000;

fn at(seconds: f64) -> Time {
    Time::from_micros((seconds * 1e6) as i64)
}

fn settings(effect: Idempotency) -> Settings {
    Settings {
        classes: vec![RequestClass {
            latency_objective: Span::from_micros(SECOND / 2),
            message_latency_objective: Span::from_micros(SECOND / 10),
            priority_weight: 1.0,
            idempotency: effect,
        }],
        max_attempts: 3,
        answer_slack: Span::from_micros(20_000),
        cancellation: true,
        warm_up_time: Span::from_micros(8 * SECOND),
        initial_capacity_share: 0.3,
        overload_factor: 2.5,
        ..Settings::for_zone(ZoneId(0))
    }
}

fn listing(number: u32) -> EndpointEntry {
    EndpointEntry::ready(ServerId(number), ZoneId(0))
}

fn request(id: u32) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        group: None,
        time_left: Span::from_micros(2 * SECOND),
        load: None,
    }
}

/// A module with its actions kept from call to call.
struct Relay {
    module: Balancer,
    actions: Vec<Action>,
}

impl Relay {
    fn new(settings: Settings, servers: u32) -> Self {
        let mut relay = Self { module: Balancer::new(settings, 1), actions: Vec::new() };
        relay.list(0.0, ListUpdate::Snapshot, (0..servers).map(listing).collect());
        relay
    }

    fn event(&mut self, now: f64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.handle(at(now), event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    fn list(&mut self, now: f64, news: ListUpdate, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.event(now, Event::EndpointList { update: news, entries })
    }

    fn request(&mut self, now: f64, id: u32) -> Option<ServerId> {
        attempt(&self.event(now, Event::Request(request(id))))
    }

    fn ended(&mut self, now: f64, id: u32, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let request_over = outcome == Outcome::Ok;
        self.event(
            now,
            Event::AttemptEnded { id: RequestId(id), attempt, outcome, request_done: request_over },
        )
    }

    fn established(&mut self, now: f64, id: u32, attempt: u32) {
        let after = Span::from_micros(10_000);
        self.event(now, Event::Established { id: RequestId(id), attempt, elapsed: after });
    }
}

fn attempt(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Attempt { server, .. } => Some(*server),
        _ => None,
    })
}

#[test]
fn fewer_own_connections_win_the_draw() {
    let mut relay = Relay::new(settings(Idempotency::Idempotent), 2);
    let mut counts = [0u32; 2];
    for id in 0..400 {
        let server = relay.request(1.0, id).expect("two servers are ready");
        relay.established(1.0, id, 0);
        counts[server.0 as usize] += 1;
    }
    assert!(counts[0].abs_diff(counts[1]) < 20, "{counts:?}");
}

#[test]
fn nothing_new_goes_to_a_draining_server_also_on_retry() {
    let mut relay = Relay::new(settings(Idempotency::Idempotent), 2);
    let first = relay.request(1.0, 1).expect("ready");
    let other = ServerId(1 - first.0);
    let draining = EndpointEntry { state: ServerState::Draining, ..listing(other.0) };
    relay.list(1.1, ListUpdate::Delta, vec![draining]);
    let retry = attempt(&relay.ended(1.2, 1, 0, Outcome::Failed));
    assert_ne!(retry, Some(other));
    for id in 2..50 {
        assert_ne!(relay.request(1.3, id), Some(other));
    }
}

/// A relay that holds `each` established connections on every server, placed at second `now`.
fn filled(settings: Settings, servers: u32, each: u32, now: f64) -> Relay {
    let mut relay = Relay::new(settings, servers);
    for id in 0..servers * each {
        let existing =
            Event::ExistingConnection { request: request(100_000 + id), server: ServerId(id % servers) };
        relay.event(now, existing);
    }
    relay
}

fn slow(server: u32, takes_ms: i64) -> Event {
    Event::SlowResponses { server: ServerId(server), response_time: Span::from_micros(takes_ms * 1_000) }
}

fn final_answers(actions: &[Action], id: u32) -> usize {
    let answer = |a: &&Action| match a {
        Action::Reject { id: of, .. } | Action::Fail { id: of } => of.0 == id,
        _ => false,
    };
    actions.iter().filter(answer).count()
}

#[test]
fn counts_return_to_the_truth_on_every_outcome() {
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
        let mut relay = Relay::new(once, 1);
        relay.request(1.0, 1).expect("placed");
        assert_eq!(relay.module.open_connections(ServerId(0)), 1);
        relay.ended(1.1, 1, 0, outcome);
        assert_eq!(relay.module.open_connections(ServerId(0)), 0, "{outcome:?}");
        // Told twice, it changes nothing.
        relay.ended(1.2, 1, 0, outcome);
        assert_eq!(relay.module.open_connections(ServerId(0)), 0, "{outcome:?}");
    }
}

#[test]
fn counts_weigh_by_listed_size() {
    let mut relay = Relay::new(settings(Idempotency::Idempotent), 0);
    let sized = |number, size| EndpointEntry { weight: size, ..listing(number) };
    relay.list(0.5, ListUpdate::Snapshot, vec![sized(0, 1.0), sized(1, 3.0)]);
    let mut counts = [0u32; 2];
    for id in 0..400 {
        counts[relay.request(1.0, id).expect("ready").0 as usize] += 1;
        relay.established(1.0, id, 0);
    }
    let share = f64::from(counts[1]) / 400.0;
    assert!((0.7..0.8).contains(&share), "a server of three times the size got {share}");
}

#[test]
fn a_hot_server_is_left_out_of_the_draw_until_word_that_it_is_back() {
    let mut relay = filled(settings(Idempotency::Idempotent), 3, 5, 1.0);
    relay.event(2.0, slow(1, 50));
    for id in 0..60 {
        assert_ne!(relay.request(2.1, id), Some(ServerId(1)));
        relay.established(2.1, id, 0);
    }
    relay.event(3.0, slow(1, 10));
    let back = (100..200).filter(|&id| relay.request(3.1, id) == Some(ServerId(1))).count();
    assert!(back > 0);
}

#[test]
fn a_swamped_server_lets_a_small_part_go_and_gets_nothing() {
    let mut relay = filled(settings(Idempotency::Idempotent), 1, 100, 1.0);
    let moved = relay.event(2.0, slow(0, 200));
    let moved = moved.iter().filter(|a| matches!(a, Action::Migrate { .. })).count();
    assert!((10..=11).contains(&moved), "{moved}");
    assert_eq!(relay.request(2.1, 1), None, "held while the only server is swamped");
    let mut quiet = filled(settings(Idempotency::Idempotent), 1, 100, 1.0);
    assert!(quiet.event(2.0, slow(0, 40)).is_empty(), "connections that are served stay put");
}

#[test]
fn a_recovered_server_is_not_rushed() {
    let mut relay = filled(settings(Idempotency::Idempotent), 2, 100, 1.0);
    relay.request(1.5, 1).expect("counts are reckoned by now");
    relay.event(2.0, slow(0, 200));
    relay.event(2.0, slow(1, 200));
    for id in 10..210 {
        relay.request(2.5, id);
    }
    let before = relay.module.open_connections(ServerId(0));
    relay.event(3.0, slow(0, 0));
    for id in 300..400 {
        relay.request(3.05, id);
    }
    let sent = relay.module.open_connections(ServerId(0)) - before;
    assert!(sent <= 2, "{sent} sent in the instant it recovered");
}

#[test]
fn heavy_connections_of_little_worth_are_let_go_first() {
    let mut two = settings(Idempotency::Idempotent);
    two.classes.push(RequestClass { priority_weight: 9.0, ..two.classes[0].clone() });
    let mut relay = Relay::new(two, 1);
    for id in 0..20 {
        let class = ClassId(id % 2);
        let load = Some(if id == 4 { 0.5 } else { 0.01 });
        let request = Request { class, load, ..request(id) };
        relay.event(1.0, Event::ExistingConnection { request, server: ServerId(0) });
    }
    let moved = relay.event(2.0, slow(0, 300));
    assert_eq!(moved.first(), Some(&Action::Migrate { id: RequestId(4) }));
}

#[test]
fn a_cold_server_is_thinned_by_each_relay_alone() {
    // A hundred relays hold one connection a server; a cold server must not draw a wave.
    let mut sent = 0;
    for seed in 0..100 {
        let own = GatewayId(seed as u32);
        let settings = Settings { gateways: 100, gateway_id: own, ..settings(Idempotency::Idempotent) };
        let mut relay = Relay { module: Balancer::new(settings, seed), actions: Vec::new() };
        relay.list(0.0, ListUpdate::Snapshot, (0..10).map(listing).collect());
        for id in 0..10 {
            relay
                .event(0.5, Event::ExistingConnection { request: request(1_000 + id), server: ServerId(id) });
        }
        let cold = EndpointEntry { started_at: Some(at(10.0)), ..listing(10) };
        relay.list(10.0, ListUpdate::Delta, vec![cold]);
        for id in 0..20 {
            let now = 10.0 + 0.05 * f64::from(id);
            sent += u32::from(relay.request(now, id) == Some(ServerId(10)));
            relay.established(now, id, 0);
        }
    }
    // Its share once warm is 100; within its first second at three tenths it gets a small part.
    assert!((1..25).contains(&sent), "{sent} sent to a cold server in its first second");
}

#[test]
fn a_server_known_for_long_may_come_back_cold() {
    let mut relay = filled(settings(Idempotency::Idempotent), 5, 4, 1.0);
    let restarted = EndpointEntry { started_at: Some(at(20.0)), ..listing(0) };
    relay.list(20.0, ListUpdate::Delta, vec![restarted]);
    let sent = (0..200).filter(|&id| relay.request(20.1, id) == Some(ServerId(0))).count();
    assert!(sent <= 2, "{sent}");
}

#[test]
fn a_server_that_fails_to_connect_is_set_aside_and_tried_again_sparingly() {
    let mut relay = Relay::new(settings(Idempotency::Idempotent), 4);
    let mut tries = 0;
    for id in 0..400 {
        let now = 1.0 + 0.01 * f64::from(id);
        match relay.request(now, id) {
            Some(ServerId(0)) => {
                tries += 1;
                let again = attempt(&relay.ended(now, id, 0, Outcome::ConnectError));
                assert!(again.is_some_and(|server| server != ServerId(0)), "not drawn again for it");
            }
            _ => relay.established(now, id, 0),
        }
    }
    assert!((1..8).contains(&tries), "{tries} tries in four seconds");
}

#[test]
fn errors_are_not_retried_at_once_and_narrow_the_window() {
    let mut relay = Relay::new(settings(Idempotency::Idempotent), 4);
    relay.request(1.0, 1).expect("ready");
    assert_eq!(attempt(&relay.ended(1.01, 1, 0, Outcome::Failed)), None, "it waits first");
    // A store that fails all set-ups: ever fewer are out at once.
    let mut out = 0;
    for id in 10..600 {
        if relay.request(1.02, id).is_some() {
            out += 1;
            if out > 32 {
                relay.ended(1.02, id, 0, Outcome::Failed);
                out -= 1;
            }
        }
    }
    assert!(out <= 64, "{out} set-ups out at once");
    let refused = relay.actions.iter().filter(|a| matches!(a, Action::Attempt { .. })).count();
    assert!(refused < 300, "{refused} attempts for 590 requests against a failing store");
}

#[test]
fn a_held_request_is_placed_when_a_server_is_ready_and_refused_in_good_time() {
    let mut relay = Relay::new(settings(Idempotency::Idempotent), 0);
    assert_eq!(relay.request(1.0, 1), None);
    let placed = relay.list(1.2, ListUpdate::Delta, vec![listing(0)]);
    assert_eq!(attempt(&placed), Some(ServerId(0)));

    let mut relay = Relay::new(settings(Idempotency::Idempotent), 0);
    relay.request(1.0, 1);
    let mut now = 1.0;
    while final_answers(&relay.actions, 1) == 0 && now < 4.0 {
        let timers: Vec<_> = std::mem::take(&mut relay.actions);
        let due = timers.iter().filter_map(|a| match a {
            Action::SetTimer { token, due_at: at } => Some((*at, *token)),
            _ => None,
        });
        let (when, token) = due.min().expect("a held request has a timer");
        let later = |a: &&Action| !matches!(a, Action::SetTimer { token: t, .. } if *t == token);
        relay.actions = timers.iter().filter(later).cloned().collect();
        now = when.as_micros() as f64 / 1e6;
        relay.event(now, Event::Timer(token));
    }
    assert_eq!(final_answers(&relay.actions, 1), 1);
    assert!(now < 2.5, "refused at {now}, while the client still has time to go elsewhere");
}

#[test]
fn groups_stay_together_while_load_permits() {
    let grouped = |id| Request { group: Some(GroupId(7)), ..request(id) };
    let mut relay = filled(settings(Idempotency::Idempotent), 20, 3, 1.0);
    let home = attempt(&relay.event(1.0, Event::Request(grouped(1)))).expect("ready");
    relay.established(1.0, 1, 0);
    for id in 2..4 {
        assert_eq!(attempt(&relay.event(1.0, Event::Request(grouped(id)))), Some(home));
        relay.established(1.0, id, 0);
    }
    let mut away = 0;
    for id in 4..40 {
        away += u32::from(attempt(&relay.event(1.0, Event::Request(grouped(id)))) != Some(home));
        relay.established(1.0, id, 0);
    }
    assert!(away > 10, "past twice the others' count the draw decides again, {away}");
}

#[test]
fn the_own_zone_serves_first_but_is_not_filled_while_others_are_empty() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.prices.cross_zone = 0.014;
    let mut relay = Relay::new(settings, 1);
    let far = |number| EndpointEntry { zone: ZoneId(1), ..listing(number) };
    relay.list(0.0, ListUpdate::Snapshot, (1..5).map(far).chain([listing(0)]).collect());
    let mut counts = [0u32; 5];
    for id in 0..200 {
        let server = relay.request(1.0, id).expect("five servers are ready");
        relay.established(1.0, id, 0);
        counts[server.0 as usize] += 1;
    }
    // As no sign on the sockets tells that the one near server is overrun, its count has to.
    let most_far = counts[1..].iter().max().copied().unwrap_or_default();
    assert!((most_far..most_far * 2).contains(&counts[0]), "{counts:?}");
    // It gets less than an emptier far server, also where others are full.
    let far = |number| EndpointEntry { state: ServerState::Removed, ..far(number) };
    relay.list(1.5, ListUpdate::Delta, vec![far(1), far(2)]);
    for id in 0..200 {
        relay.ended(1.6, id, 0, Outcome::Ok);
    }
    for (server, count) in [(0, 15), (3, 5), (4, 25)] {
        for id in 0..count {
            let request = request(1000 * (server + 1) + id);
            relay.event(1.7, Event::ExistingConnection { request, server: ServerId(server) });
        }
    }
    let placed = (200..224).filter_map(|id| relay.request(1.8, id));
    let near = placed.filter(|&server| server == ServerId(0)).count();
    assert!(near < 10, "{near} of 24");
    // Kept out by being hot, it is left altogether.
    relay.event(2.0, slow(0, 40));
    assert!((300..330).all(|id| relay.request(2.0, id).is_some_and(|server| server.0 > 0)));
}

#[test]
fn a_server_that_drops_connections_does_not_get_them_all_back() {
    let mut relay = filled(settings(Idempotency::Idempotent), 3, 8, 1.0);
    let there = |number: u32| 100_000 + 3 * number;
    // One alone may be the network's doing.
    relay.ended(2.0, there(0), 0, Outcome::Reset);
    assert!((50..60).any(|id| relay.request(2.0, id) == Some(ServerId(0))));
    (1..8).for_each(|number| _ = relay.ended(2.1, there(number), 0, Outcome::Reset));
    // Its count is the lowest now, and every draw would be won by it.
    assert!((100..110).all(|id| relay.request(2.2, id).is_some_and(|server| server.0 > 0)));
    // It comes back, and is left out for longer when it drops them again.
    let back: Vec<u32> = (200..220).filter(|&id| relay.request(4.5, id) == Some(ServerId(0))).collect();
    assert!(back.len() > 4, "{back:?}");
    for &id in &back {
        relay.established(4.5, id, 0);
        relay.ended(4.6, id, 0, Outcome::Reset);
    }
    assert!((300..310).all(|id| relay.request(5.8, id).is_some_and(|server| server.0 > 0)));
}

#[test]
fn a_silent_server_is_emptied_and_tried_with_one_connection_until_it_answers() {
    let mut relay = filled(settings(Idempotency::Idempotent), 2, 5, 1.0);
    let silent = ServerId(0);
    let there = relay.module.open_connections(silent);
    let moved = relay.event(2.0, Event::ServerSilent { server: silent });
    let moves = moved.iter().filter(|action| matches!(action, Action::Migrate { .. })).count();
    assert_eq!(moves, there as usize, "all that were there");
    for action in moved {
        if let Action::Migrate { id } = action {
            relay.ended(2.0, id.0, 0, Outcome::Cancelled);
        }
    }
    assert!((100..120).all(|id| relay.request(2.1, id) == Some(ServerId(1))), "set aside");
    let tried: Vec<u32> = (200..220).filter(|&id| relay.request(4.0, id) == Some(silent)).collect();
    assert_eq!(tried.len(), 1, "one connection shows whether it is back");
    relay.established(4.0, tried[0], 0);
    assert!((300..320).all(|id| relay.request(4.1, id) == Some(ServerId(1))), "up is not yet served");
    relay.event(5.0, slow(0, 0));
    assert!((400..420).any(|id| relay.request(5.1, id) == Some(silent)), "a message was answered");
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_tried_again() {
    for (outcome, may_run) in
        [(Outcome::Reset, true), (Outcome::TimedOut, true), (Outcome::ConnectError, false)]
    {
        let mut relay = Relay::new(settings(Idempotency::NotIdempotent), 3);
        relay.request(1.0, 1).expect("ready");
        let after = relay.ended(1.1, 1, 0, outcome);
        assert_eq!(after.contains(&Action::Fail { id: RequestId(1) }), may_run, "{outcome:?}");
        assert_eq!(attempt(&after).is_none(), may_run, "{outcome:?}");
    }
}

#[test]
fn the_list_is_subscribed_to_and_again_after_a_break_with_growing_waits() {
    let asked = Settings { discovery: DiscoveryMode::OnRequest, ..settings(Idempotency::Idempotent) };
    let mut relay = Relay::new(asked, 2);
    let timer = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::SetTimer { token, due_at: at } => Some((*token, *at)),
            _ => None,
        })
    };
    let (token, first) = timer(&relay.actions).expect("a first subscription is planned");
    assert!(first <= at(1.0), "soon, but not all relays in the same instant");
    assert!(relay.event(1.0, Event::Timer(token)).contains(&Action::Subscribe));
    let mut waits = Vec::new();
    for step in 0..8 {
        let now = 2.0 + 10.0 * f64::from(step);
        let (token, again) =
            timer(&relay.list(now, ListUpdate::WatchFailed, Vec::new())).expect("another call");
        waits.push(again.since(at(now)));
        assert!(relay.event(now + 9.0, Event::Timer(token)).contains(&Action::Subscribe));
    }
    assert!(waits[0] < waits[5], "{waits:?}");
    let limit = Span::from_micros(10 * SECOND);
    assert!(waits.iter().all(|&wait| wait < limit), "never unasked for longer than allowed: {waits:?}");
    assert!(relay.request(90.0, 1).is_some(), "the last list stands");
}

#[test]
fn a_request_without_time_is_answered_at_once_and_once() {
    let mut relay = Relay::new(settings(Idempotency::Idempotent), 2);
    let late = Request { time_left: Span::ZERO, ..request(1) };
    let actions = relay.event(1.0, Event::Request(late.clone()));
    assert_eq!(final_answers(&actions, 1), 1);
    assert_eq!(attempt(&actions), None);
}

#[test]
fn an_overdue_attempt_is_called_off_and_answered_within_the_slack() {
    let mut relay = Relay::new(settings(Idempotency::Idempotent), 1);
    let actions = relay.event(1.0, Event::Request(request(1)));
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer { token, due_at: at } => Some((*token, *at)),
        _ => None,
    });
    let (token, when) = timer.expect("each request has a last moment");
    assert!(when > at(3.0) && when <= at(3.02));
    let end = relay.event(3.011, Event::Timer(token));
    assert!(end.contains(&Action::CancelAttempt { id: RequestId(1), attempt: 0 }));
    assert_eq!(final_answers(&end, 1), 1);
    assert!(relay.ended(3.02, 1, 0, Outcome::Failed).is_empty(), "nothing goes out after the answer");
}

/// A relay that has just started, before servers of which `cold` began a moment ago.
fn beside_cold_ones(settings: Settings, servers: u32, cold: u32) -> Relay {
    let mut relay = Relay { module: Balancer::new(settings, 1), actions: Vec::new() };
    let started = |number| (number < cold).then(|| at(100.0));
    let entries = (0..servers).map(|number| EndpointEntry { started_at: started(number), ..listing(number) });
    relay.list(101.0, ListUpdate::Snapshot, entries.collect());
    relay
}

#[test]
fn a_relay_that_has_seen_nothing_fills_new_servers_by_the_tenants_shares() {
    let share = |quota_connections| vec![Tenant { quota_per_s: 9.0, quota_connections }];
    let placed = |tenants| {
        let mut relay = beside_cold_ones(Settings { tenants, ..settings(Idempotency::Idempotent) }, 3, 2);
        let servers = (0..24).map(|id| {
            let now = 101.0 + f64::from(id) * 0.05;
            let server = relay.request(now, id).expect("a server is ready");
            relay.established(now, id, 0);
            server.0
        });
        servers.filter(|&server| server < 2).count()
    };
    let (none, some) = (placed(Vec::new()), placed(share(360.0)));
    assert!(some >= 2 * none && some < 20, "{none} without shares, {some} with them");
}

/// Some of the connections that the relay was filled with break.
fn drop_some(relay: &mut Relay, ids: impl Iterator<Item = u32>) {
    for id in ids {
        let (id, outcome) = (RequestId(100_000 + id), Outcome::Reset);
        relay.event(1.0, Event::AttemptEnded { id, attempt: 0, outcome, request_done: true });
    }
}

#[test]
fn a_server_that_shed_is_not_filled_beyond_what_it_bears() {
    let mut relay = filled(settings(Idempotency::Idempotent), 3, 20, 1.0);
    drop_some(&mut relay, (0..36).step_by(3));
    assert_eq!(relay.module.open_connections(ServerId(0)), 8);
    // Long after the rest that it is given at first.
    for id in 0..60 {
        relay.request(5.0, id).expect("three servers are ready");
        relay.established(5.0, id, 0);
    }
    let open = relay.module.open_connections(ServerId(0));
    assert!((14..18).contains(&open), "{open} of the 20 at which it began to drop them");
}

#[test]
fn a_server_that_was_called_back_gets_the_next_request_whatever_was_held_against_it() {
    let mut relay = filled(settings(Idempotency::Idempotent), 3, 5, 1.0);
    let state = |state| vec![EndpointEntry { state, ..listing(2) }];
    drop_some(&mut relay, (2..15).step_by(3));
    relay.list(1.0, ListUpdate::Delta, state(ServerState::Draining));
    relay.event(1.1, Event::ServerSilent { server: ServerId(2) });
    relay.list(1.2, ListUpdate::Delta, state(ServerState::Ready));
    assert!(relay.module.is_avoided(at(1.2), ServerId(2)));
    relay.event(1.2, Event::Uncordoned { server: ServerId(2) });
    assert!(!relay.module.is_avoided(at(1.2), ServerId(2)));
    assert_eq!(relay.request(1.3, 1), Some(ServerId(2)));
    relay.established(1.3, 1, 0);
    let more = (2..40).filter(|&id| relay.request(1.3, id) == Some(ServerId(2))).count();
    assert!(more < 3, "it may be cold: {more}");
}

#[test]
fn a_request_waits_for_a_paced_server_rather_than_go_to_one_set_aside() {
    let mut relay = filled(settings(Idempotency::Idempotent), 2, 20, 1.0);
    let started = EndpointEntry { started_at: Some(at(1.0)), ..listing(1) };
    relay.list(1.0, ListUpdate::Delta, vec![started]);
    // The old one is gone before the list says so.
    let mut dead = 0;
    let (mut held, mut placed) = (0, 0);
    for id in 0..80 {
        let now = 1.0 + 0.02 * f64::from(id);
        let mut out = relay.request(now, id);
        for attempt_number in 0..3 {
            match out {
                Some(ServerId(0)) => {
                    dead += 1;
                    let ended = relay.ended(now, id, attempt_number, Outcome::ConnectError);
                    out = attempt(&ended);
                }
                Some(_) => {
                    placed += 1;
                    relay.established(now, id, attempt_number);
                    break;
                }
                None => {
                    held += 1;
                    break;
                }
            }
        }
    }
    assert!(dead <= 3, "{dead} attempts at a server that refuses connections");
    assert!(placed > 0 && held > placed, "{placed} placed and {held} held");
}
