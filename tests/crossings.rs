//! Random interleavings of rare events: the engines of some gateways, with frontends, servers, lists and a network that
//! behave at random, and invariants that are checked after each step. A failing run prints its seed;
//! `CROSSINGS_SEED=17 cargo test --test crossings` runs that one alone.

mod crossings {
    pub mod faults;
    pub mod front;
    pub mod history;
    pub mod invariants;
    pub mod world;
}
mod paused;

use std::collections::BTreeMap;
use std::sync::mpsc;
use std::time::Duration;

use ashtide::engine::{Command, Engine, FinalAnswer, MonotonicEpoch, TimerEvent};
use ashtide::{
    ClassId, EndpointEntry, ListUpdate, Request, RequestClass, RequestId, ServerId, Settings, Span, Time,
    ZoneId,
};
use crossings::faults::Fault;
use crossings::invariants::{Invariant, Violation};
use crossings::world::Simulation;
use paused::with_time;
use tokio::time::Instant;

/// Seeds that are run without an injected fault.
const SEEDS: u64 = 48;
/// Wall time within which one seed ends; it takes about a tenth of a second.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);
/// Seeds within which a fault has to be detected.
const MAX_SEEDS_TO_FIND: u64 = 16;
/// Seeds that are run with forged permits, and how many of them have to detect these.
const FORGED_PERMIT_SEEDS: u64 = 64;
const MIN_FORGED_PERMITS_FOUND: usize = 6;

/// Each fault, and the invariant that has to detect it; forged permits have a test of their own below.
const FAULTS_AND_INVARIANTS: [(Fault, Invariant); 14] = [
    (Fault::AnswersServedClient, Invariant::OneFinalAnswer),
    (Fault::LosesAnswers, Invariant::OneFinalAnswer),
    (Fault::ContinuesEndedAttempt, Invariant::OneAttemptInFlight),
    (Fault::WritesWithoutPermission, Invariant::NothingNewOnDrainingServer),
    (Fault::LateDrains, Invariant::NothingNewOnDrainingServer),
    (Fault::LosesWatchSilence, Invariant::NothingNewOnExpiredList),
    (Fault::LosesClientDeparture, Invariant::NothingForDepartedClient),
    (Fault::WritesWithoutPermission, Invariant::RetryWithinKeyWindow),
    (Fault::LongWindow, Invariant::RetryWithinKeyWindow),
    (Fault::WideGroup, Invariant::RetryWithinKeyGroup),
    (Fault::ResetReportedAsConnectError, Invariant::NonIdempotentOnce),
    (Fault::RejectsAll, Invariant::RejectionIsHarmless),
    (Fault::EachGatewayAlone, Invariant::PermitsWithinLimit),
    (Fault::SwapsClasses, Invariant::TimeoutOfOwnClass),
];

type EventCounts = BTreeMap<&'static str, u32>;

/// Runs one seed. An engine that loops never ends, so the run has a timeout.
fn run_seed(seed: u64, fault: Option<Fault>) -> (Result<(), Violation>, EventCounts) {
    let (sender, finished) = mpsc::channel();
    std::thread::spawn(move || {
        let finished = with_time(async {
            let mut simulation = Simulation::new(seed, fault);
            (simulation.run().await, simulation.counts)
        });
        // The receiver may have timed out.
        let _ = sender.send(finished);
    });
    finished
        .recv_timeout(RUN_TIMEOUT)
        .unwrap_or_else(|_| panic!("CROSSINGS_SEED={seed}: stands still or panics"))
}

/// Events that have to happen in some run, or the runs show nothing.
const REQUIRED_EVENTS: [&str; 27] = [
    "adopted",
    "back",
    "back anew",
    "broken watches",
    "clients left",
    "connect errors",
    "cordons",
    "crashes",
    "datagrams doubled",
    "datagrams lost",
    "datagrams unheard",
    "drains",
    "errors",
    "gone",
    "handovers",
    "hung servers",
    "late connections",
    "late connections not used",
    "leaves",
    "lists that lack a server",
    "moved",
    "repeats",
    "resets",
    "second answers",
    "silent watches",
    "time-outs",
    "up too late",
];

#[test]
fn no_invariant_breaks_under_random_interleavings() {
    if let Ok(seed) = std::env::var("CROSSINGS_SEED") {
        let (outcome, counted) = run_seed(seed.parse().expect("CROSSINGS_SEED is a number"), None);
        outcome.unwrap_or_else(|violation| panic!("CROSSINGS_SEED={seed}: {violation}"));
        return eprintln!("{counted:?}");
    }
    let mut counted = EventCounts::new();
    for seed in 0..SEEDS {
        let (outcome, counts) = run_seed(seed, None);
        outcome.unwrap_or_else(|violation| panic!("CROSSINGS_SEED={seed}: {violation}"));
        for (what, count) in counts {
            *counted.entry(what).or_default() += count;
        }
    }
    eprintln!("{counted:?}");
    let never: Vec<&str> = REQUIRED_EVENTS.into_iter().filter(|name| !counted.contains_key(name)).collect();
    assert!(never.is_empty(), "never came about: {never:?}");
}

#[test]
fn each_invariant_detects_its_fault() {
    let mut unfound = Vec::new();
    for (fault, invariant) in FAULTS_AND_INVARIANTS {
        let by_name = |seed: &u64| {
            run_seed(*seed, Some(fault)).0.is_err_and(|violation| violation.invariant == invariant)
        };
        match (0..MAX_SEEDS_TO_FIND).find(by_name) {
            Some(seed) => eprintln!("{fault:?}: {invariant:?}, seed {seed}"),
            None => unfound.push((fault, invariant)),
        }
    }
    assert!(unfound.is_empty(), "not found within {MAX_SEEDS_TO_FIND} seeds: {unfound:?}");
}

/// Forged permits overload a server in some runs only: which ones depends on every datagram, how many does not.
#[test]
fn forged_permits_are_detected_in_at_least_six_of_64_seeds() {
    let by_name = |&seed: &u64| {
        run_seed(seed, Some(Fault::ForgesPermits))
            .0
            .is_err_and(|violation| violation.invariant == Invariant::PermitsWithinLimit)
    };
    let found: Vec<u64> = (0..FORGED_PERMIT_SEEDS).filter(by_name).collect();
    assert!(
        found.len() >= MIN_FORGED_PERMITS_FOUND,
        "found by seeds {found:?} of {FORGED_PERMIT_SEEDS} alone"
    );
}

fn engine(peers: bool, effect: ashtide::Idempotency) -> (Engine, Time) {
    let now = Time::from_micros(1_000_000);
    let ms = |ms: i64| Span::from_micros(ms * 1_000);
    let class = RequestClass {
        latency_objective: ms(400),
        message_latency_objective: ms(50),
        priority_weight: 1.0,
        idempotency: effect,
    };
    let settings = Settings {
        classes: vec![class],
        fleet_permits: peers,
        warm_up_time: ms(5_000),
        ..Settings::for_zone(ZoneId(0))
    };
    let epoch = MonotonicEpoch { time: now, instant: Instant::now() };
    (Engine::new(settings, 7, epoch), now)
}

fn request() -> Request {
    Request {
        id: RequestId(1),
        class: ClassId(0),
        tenant: None,
        group: None,
        time_left: Span::from_micros(2_000_000),
        load: None,
    }
}

/// A regression: the grantor that denies a permit is this process, and the engine requested it again at once, forever.
#[test]
fn a_denied_permit_for_an_uncordoned_server_is_not_requested_in_a_loop() {
    let (sender, over) = mpsc::channel();
    std::thread::spawn(move || {
        with_time(async {
            let (mut engine, now) = engine(true, ashtide::Idempotency::Idempotent);
            let mut commands = Vec::new();
            let server = ServerId(0);
            engine.handle_list_update(
                now,
                ListUpdate::Snapshot,
                vec![EndpointEntry::ready(server, ZoneId(0))],
                &mut commands,
            );
            engine.set_cordon(now, server, true, &mut commands);
            engine.set_cordon(now, server, false, &mut commands);
            engine.handle_request(now, request(), &mut commands);
            let _ = sender.send(engine.open_request_count());
        });
    });
    assert_eq!(
        over.recv_timeout(Duration::from_secs(20)),
        Ok(1),
        "the request waits, and the engine goes on"
    );
}

/// A regression: a request that may have run was rejected as the process ended, which promises that a retry is safe.
#[test]
fn a_process_that_ends_does_not_reject_a_request_that_may_have_run() {
    for (servers, answer) in
        [(1, FinalAnswer::Failed), (0, FinalAnswer::Rejected(Span::from_micros(1_000_000)))]
    {
        with_time(async {
            let (mut engine, now) = engine(false, ashtide::Idempotency::NotIdempotent);
            let mut commands = Vec::new();
            let entries = (0..servers).map(|id| EndpointEntry::ready(ServerId(id), ZoneId(0))).collect();
            engine.handle_list_update(now, ListUpdate::Snapshot, entries, &mut commands);
            engine.handle_request(now, request(), &mut commands);
            engine.handle_timer(now, TimerEvent::ShutdownDeadline, &mut commands);
            assert_eq!(commands.last(), Some(&Command::Answer { id: RequestId(1), answer }));
        });
    }
}
