//! Tests of the history checks with hand-written histories.

use std::collections::BTreeMap;

use ashtide_fault_injection::{
    Answer, CloseReason, Entry, Event, ExitCause, FaultPlan, History, Violation, violations,
    worst_slow_start_window,
};

/// Returns a history without violations.
fn valid_history() -> Vec<Entry> {
    let up = |receipt: &str| Answer::Up { receipt: receipt.to_owned() };
    let plan = FaultPlan { load_duration_ms: 10_000, settle_ms: 1_000, ..FaultPlan::default() };
    let request = |request: &str, process| Event::Request {
        request: request.to_owned(),
        process,
        zone: 0,
        tenant: 0,
        is_reconnect: false,
    };
    let answered = |request: &str, answer| Event::Answered { request: request.to_owned(), answer };
    let events = vec![
        (0, Event::RunStarted { plan: Box::new(plan) }),
        (0, Event::Started { process: 0, gateway: 0 }),
        (0, Event::Started { process: 1, gateway: 1 }),
        (100, request("a", 0)),
        (200, attempt("a", "s-0", 1, Some(300))),
        (400, answered("a", up("s-0.1"))),
        (500_000, request("b", 1)),
        (501_000, attempt("b", "s-0", 2, Some(600_000))),
        (600_000, attempt("b", "s-1", 3, Some(601_000))),
        (602_000, answered("b", up("s-1.3"))),
        (
            1_000_000,
            Event::EndpointListed { server: "s-6".to_owned(), status: "SERVING".to_owned(), cold: true },
        ),
        (
            1_000_000,
            Event::EndpointListed { server: "s-1".to_owned(), status: "DRAINING".to_owned(), cold: false },
        ),
        (2_000_000, Event::Closed { request: "a".to_owned(), reason: CloseReason::Moved }),
        (2_000_000, Event::Closed { request: "b".to_owned(), reason: CloseReason::ClientFinished }),
        (11_000_000, Event::Settled { differences: Vec::new() }),
        (12_000_000, Event::Ended { process: 0, cause: ExitCause::Terminated, success: true }),
    ];
    events.into_iter().map(|(at_us, event)| Entry { at_us, event }).collect()
}

fn attempt(request: &str, server: &str, number: u64, until_us: Option<u64>) -> Event {
    let receipt = format!("{server}.{number}");
    Event::Attempt { request: request.to_owned(), server: server.to_owned(), receipt, until_us }
}

/// Returns the names of the violations in the valid history with this additional event.
fn violations_with(at_us: u64, event: Event) -> Vec<&'static str> {
    violations_in(vec![Entry { at_us, event }], |_| true)
}

/// Returns the names of the violations in the valid history, reduced to the events for which `retain` is
/// true, with the additional entries.
fn violations_in(additional: Vec<Entry>, retain: impl Fn(&Event) -> bool) -> Vec<&'static str> {
    let mut entries: Vec<Entry> = valid_history().into_iter().filter(|entry| retain(&entry.event)).collect();
    entries.extend(additional);
    entries.sort_by_key(|entry| entry.at_us);
    let mut names: Vec<_> = violations(&History(entries)).iter().map(Violation::name).collect();
    names.dedup();
    names
}

#[test]
fn a_valid_history_has_no_violation_and_can_be_read_back_from_its_timeline() {
    let history = History(valid_history());
    assert_eq!(violations(&history), []);
    assert_eq!(History::read(&history.to_json_lines()).unwrap(), history);
}

#[test]
fn each_violation_is_reported_by_name() {
    let answer_to_a = |answer| Event::Answered { request: "a".to_owned(), answer };
    let busy = Answer::Busy { ms: Some(100) };
    assert_eq!(violations_with(500, answer_to_a(busy)), ["two-answers"]);
    let without_answer = |event: &Event| !matches!(event, Event::Answered { request, .. } if request == "a");
    assert_eq!(violations_in(Vec::new(), without_answer), ["no-answer"]);
    let ended = Entry { at_us: 500, event: answer_to_a(Answer::Ended) };
    assert_eq!(violations_in(vec![ended], without_answer), ["no-answer"]);
    let without_attempt = |event: &Event| !matches!(event, Event::Attempt { request, .. } if request == "a");
    assert_eq!(violations_in(Vec::new(), without_attempt), ["made-up"]);
    assert_eq!(violations_with(540_000, attempt("b", "s-2", 9, None)), ["two-out"]);
    assert_eq!(violations_with(3_200_000, attempt("a", "s-1", 9, Some(3_200_100))), ["after-drain"]);
    let broken = Event::Closed { request: "a".to_owned(), reason: CloseReason::Broken };
    assert_eq!(violations_with(2_100_000, broken), ["cut-off"]);
    assert_eq!(
        violations_with(3_000_000, Event::Ended { process: 1, cause: ExitCause::Unexpected, success: true }),
        ["died"]
    );
    assert_eq!(
        violations_with(3_000_000, Event::Ended { process: 1, cause: ExitCause::Terminated, success: false }),
        ["died"]
    );
    assert_eq!(
        violations_with(9_000_000, Event::Settled { differences: vec!["x".to_owned()] }),
        ["unsettled"]
    );
    assert_eq!(violations_in(Vec::new(), |event| !matches!(event, Event::Settled { .. })), ["unsettled"]);
    let with_ejected_capacity = |ejected: f64| {
        let metrics = [("state_judged_capacity", ejected), ("state_most_judged_capacity", 1_200.0)];
        let metrics = metrics.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
        violations_with(
            3_000_000,
            Event::AdminSample { process: 1, ready: Some(true), metrics, calls: BTreeMap::new() },
        )
    };
    assert_eq!(with_ejected_capacity(1_200.0), [""; 0]);
    assert_eq!(with_ejected_capacity(2_000.0), ["out-of-use"]);
}

#[test]
fn only_obligations_of_a_killed_or_stalled_process_are_waived() {
    let broken = Event::Closed { request: "a".to_owned(), reason: CloseReason::Broken };
    for (process, names) in [(0, vec![]), (1, vec!["cut-off"])] {
        let killed = Event::Ended { process, cause: ExitCause::Killed, success: false };
        let entries = vec![
            Entry { at_us: 1_900_000, event: killed },
            Entry { at_us: 2_100_000, event: broken.clone() },
        ];
        assert_eq!(violations_in(entries, |_| true), names, "process {process} is killed");
    }
    for (from, names) in [(2_500_000, vec![]), (20_000_000, vec!["after-drain"])] {
        let stalled = |at_us, stalled| Entry { at_us, event: Event::Stalled { process: 0, stalled } };
        let late_attempt = Entry { at_us: 3_900_000, event: attempt("a", "s-1", 9, Some(3_900_100)) };
        let entries = vec![stalled(from, true), stalled(from + 1_000_000, false), late_attempt];
        assert_eq!(violations_in(entries, |_| true), names, "stalled from {from}");
    }
}

#[test]
fn the_slow_start_budget_follows_from_the_settings_of_the_window() {
    let plan = FaultPlan::default();
    // 180 connections fill 6 servers, 30 each. In the first 2 s after its start a server may accept
    // N = 2.5 * (0.2 + 0.8 * 2 / 12) * 30 / 12 * 2 = 4.17, so 4.17 + 3 * 2.04 + 3 = 13.3.
    let started_at = 1_000_000;
    let sends: Vec<u64> = (0..14).map(|number| started_at + number * 100_000).collect();
    let (at, used, budget) =
        worst_slow_start_window(&sends, started_at, &plan.slow_start, plan.connections_when_full()).unwrap();
    assert_eq!((at, used), (started_at, 14));
    assert!((13.2..13.4).contains(&budget), "{budget}");
    let burst = |count: u64| {
        let sends = (0..count).map(|number| {
            let id = format!("c{number}");
            let event = attempt(&id, "s-6", 100 + number, Some(started_at + number));
            Entry { at_us: started_at + number * 100_000, event }
        });
        violations_in(sends.collect(), |_| true)
    };
    assert_eq!(burst(13), [""; 0]);
    assert_eq!(burst(14), ["cold-budget"]);
}
