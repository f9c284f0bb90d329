//! The checks of a history, on histories written by hand.

use std::collections::BTreeMap;

use ashtide_fault_injection::{
    Answer, CloseReason, Entry, Event, ExitCause, FaultPlan, History, Violation, violations,
    worst_slow_start_window,
};

fn sound() -> Vec<Entry> {
    let up = |receipt: &str| Answer::Up { receipt: receipt.to_owned() };
    let plan = FaultPlan { last_ms: 10_000, settle_ms: 1_000, ..FaultPlan::default() };
    let request = |request: &str, process| Event::Request {
        request: request.to_owned(),
        process,
        zone: 0,
        tenant: 0,
        again: false,
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
        (2_000_000, Event::Closed { request: "a".to_owned(), how: CloseReason::Moved }),
        (2_000_000, Event::Closed { request: "b".to_owned(), how: CloseReason::ClientFinished }),
        (11_000_000, Event::Settled { differs: Vec::new() }),
        (12_000_000, Event::Ended { process: 0, how: ExitCause::Terminated, well: true }),
    ];
    events.into_iter().map(|(at_us, event)| Entry { at_us, event }).collect()
}

fn attempt(request: &str, server: &str, number: u64, until_us: Option<u64>) -> Event {
    let receipt = format!("{server}.{number}");
    Event::Attempt { request: request.to_owned(), server: server.to_owned(), receipt, until_us }
}

/// The names of what is found once this has happened as well.
fn found(at_us: u64, event: Event) -> Vec<&'static str> {
    found_among(vec![Entry { at_us, event }], |_| true)
}

fn found_among(more: Vec<Entry>, keep: impl Fn(&Event) -> bool) -> Vec<&'static str> {
    let mut entries: Vec<Entry> = sound().into_iter().filter(|entry| keep(&entry.event)).collect();
    entries.extend(more);
    entries.sort_by_key(|entry| entry.at_us);
    let mut names: Vec<_> = violations(&History(entries)).iter().map(Violation::name).collect();
    names.dedup();
    names
}

#[test]
fn a_sound_history_has_no_violation_and_survives_its_timeline() {
    let history = History(sound());
    assert_eq!(violations(&history), []);
    assert_eq!(History::read(&history.to_json_lines()).unwrap(), history);
}

#[test]
fn broken_ledgers_are_found_by_name() {
    let again = |answer| Event::Answered { request: "a".to_owned(), answer };
    let busy = Answer::Busy { ms: Some(100) };
    assert_eq!(found(500, again(busy)), ["two-answers"]);
    let unanswered = |event: &Event| !matches!(event, Event::Answered { request, .. } if request == "a");
    assert_eq!(found_among(Vec::new(), unanswered), ["no-answer"]);
    let ended = Entry { at_us: 500, event: again(Answer::Ended) };
    assert_eq!(found_among(vec![ended], unanswered), ["no-answer"]);
    let unsent = |event: &Event| !matches!(event, Event::Attempt { request, .. } if request == "a");
    assert_eq!(found_among(Vec::new(), unsent), ["made-up"]);
    assert_eq!(found(540_000, attempt("b", "s-2", 9, None)), ["two-out"]);
    assert_eq!(found(3_200_000, attempt("a", "s-1", 9, Some(3_200_100))), ["after-drain"]);
    let broken = Event::Closed { request: "a".to_owned(), how: CloseReason::Broken };
    assert_eq!(found(2_100_000, broken), ["cut-off"]);
    assert_eq!(
        found(3_000_000, Event::Ended { process: 1, how: ExitCause::Unexpected, well: true }),
        ["died"]
    );
    assert_eq!(
        found(3_000_000, Event::Ended { process: 1, how: ExitCause::Terminated, well: false }),
        ["died"]
    );
    assert_eq!(found(9_000_000, Event::Settled { differs: vec!["x".to_owned()] }), ["unsettled"]);
    assert_eq!(found_among(Vec::new(), |event| !matches!(event, Event::Settled { .. })), ["unsettled"]);
    let out = |judged: f64| {
        let figures = [("state_judged_capacity", judged), ("state_most_judged_capacity", 1_200.0)];
        let figures = figures.into_iter().map(|(name, figure)| (name.to_owned(), figure)).collect();
        found(
            3_000_000,
            Event::AdminSample { process: 1, ready: Some(true), figures, calls: BTreeMap::new() },
        )
    };
    assert_eq!(out(1_200.0), [""; 0]);
    assert_eq!(out(2_000.0), ["out-of-use"]);
}

#[test]
fn what_a_killed_or_stalled_process_owed_is_excused_and_nothing_else() {
    let broken = Event::Closed { request: "a".to_owned(), how: CloseReason::Broken };
    for (process, names) in [(0, vec![]), (1, vec!["cut-off"])] {
        let killed = Event::Ended { process, how: ExitCause::Killed, well: false };
        let entries = vec![
            Entry { at_us: 1_900_000, event: killed },
            Entry { at_us: 2_100_000, event: broken.clone() },
        ];
        assert_eq!(found_among(entries, |_| true), names, "process {process} is killed");
    }
    for (from, names) in [(2_500_000, vec![]), (20_000_000, vec!["after-drain"])] {
        let stalled = |at_us, stalled| Entry { at_us, event: Event::Stalled { process: 0, stalled } };
        let late = Entry { at_us: 3_900_000, event: attempt("a", "s-1", 9, Some(3_900_100)) };
        let entries = vec![stalled(from, true), stalled(from + 1_000_000, false), late];
        assert_eq!(found_among(entries, |_| true), names, "stalled from {from}");
    }
}

#[test]
fn the_cold_budget_is_what_the_settings_allow_a_window() {
    let plan = FaultPlan::default();
    // 180 connections fill 6 servers, 30 each; in 2 s from its start a server may take
    // N = 2.5 * (0.2 + 0.8 * 2 / 12) * 30 / 12 * 2 = 4.17, so 4.17 + 3 * 2.04 + 3 = 13.3.
    let began = 1_000_000;
    let sends: Vec<u64> = (0..14).map(|at| began + at * 100_000).collect();
    let (at, used, most) =
        worst_slow_start_window(&sends, began, &plan.slow_start, plan.connections_when_full()).unwrap();
    assert_eq!((at, used), (began, 14));
    assert!((13.2..13.4).contains(&most), "{most}");
    let burst = |count: u64| {
        let sends = (0..count).map(|at| {
            let id = format!("c{at}");
            Entry { at_us: began + at * 100_000, event: attempt(&id, "s-6", 100 + at, Some(began + at)) }
        });
        found_among(sends.collect(), |_| true)
    };
    assert_eq!(burst(13), [""; 0]);
    assert_eq!(burst(14), ["cold-budget"]);
}
