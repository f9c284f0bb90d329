//! Rare events crossing each other: some gateways' cores, with fronts, servers, lists and a network that do at random
//! whatever they may, and invariants that hold after each step. A failing run prints its seed;
//! `CROSSINGS_SEED=17 cargo test --test crossings` plays that one alone.

mod crossings {
    pub mod faults;
    pub mod front;
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

/// Seeds that are played without a fault.
const SEEDS: u64 = 48;
/// Real time within which one seed is played: it takes a tenth of a second.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);
/// Seeds within which a fault must be found.
const MAX_SEEDS_TO_FIND: u64 = 16;
/// So many seeds are played with forged rights, and so many of them have to find these.
const FORGED_PERMIT_SEEDS: u64 = 64;
const MIN_FORGED_PERMITS_FOUND: usize = 6;

/// Each fault, and the invariant by whose name it is found; forged rights have a test of their own below.
const FAULTS_AND_INVARIANTS: [(Fault, Invariant); 14] = [
    (Fault::AnswersServedClient, Invariant::OneFinalAnswer),
    (Fault::LosesAnswers, Invariant::OneFinalAnswer),
    (Fault::KeepsEndedAttempt, Invariant::OneAttemptInFlight),
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

/// Plays one seed; a core that goes round in circles is a failure, too, and has no end to wait for.
fn run_seed(seed: u64, fault: Option<Fault>) -> (Result<(), Violation>, EventCounts) {
    let (sender, played) = mpsc::channel();
    std::thread::spawn(move || {
        let played = with_time(async {
            let mut world = Simulation::new(seed, fault);
            (world.run().await, world.counts)
        });
        // Whoever waited may have given up.
        let _ = sender.send(played);
    });
    played
        .recv_timeout(RUN_TIMEOUT)
        .unwrap_or_else(|_| panic!("CROSSINGS_SEED={seed}: stands still or panics"))
}

/// What the runs must come to, or they have shown nothing.
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
        let (held, seen) = run_seed(seed.parse().expect("CROSSINGS_SEED is a number"), None);
        held.unwrap_or_else(|violation| panic!("CROSSINGS_SEED={seed}: {violation}"));
        return eprintln!("{seen:?}");
    }
    let mut seen = EventCounts::new();
    for seed in 0..SEEDS {
        let (held, counts) = run_seed(seed, None);
        held.unwrap_or_else(|violation| panic!("CROSSINGS_SEED={seed}: {violation}"));
        for (what, count) in counts {
            *seen.entry(what).or_default() += count;
        }
    }
    eprintln!("{seen:?}");
    let never: Vec<&str> = REQUIRED_EVENTS.into_iter().filter(|it| !seen.contains_key(it)).collect();
    assert!(never.is_empty(), "never came about: {never:?}");
}

#[test]
fn each_invariant_detects_its_fault() {
    let mut unfound = Vec::new();
    for (fault, invariant) in FAULTS_AND_INVARIANTS {
        let by_name = |seed: &u64| run_seed(*seed, Some(fault)).0.is_err_and(|it| it.invariant == invariant);
        match (0..MAX_SEEDS_TO_FIND).find(by_name) {
            Some(seed) => eprintln!("{fault:?}: {invariant:?}, seed {seed}"),
            None => unfound.push((fault, invariant)),
        }
    }
    assert!(unfound.is_empty(), "not found within {MAX_SEEDS_TO_FIND} seeds: {unfound:?}");
}

/// Servers fall over forged rights in some plays only: which ones changes with every datagram more or less, how many
/// they are does not. Found in 6 of these seeds with one copy of each grant, in 9 with two.
#[test]
fn forged_permits_are_detected_in_at_least_six_of_64_seeds() {
    let by_name = |&seed: &u64| {
        run_seed(seed, Some(Fault::ForgesPermits))
            .0
            .is_err_and(|it| it.invariant == Invariant::PermitsWithinLimit)
    };
    let found: Vec<u64> = (0..FORGED_PERMIT_SEEDS).filter(by_name).collect();
    assert!(
        found.len() >= MIN_FORGED_PERMITS_FOUND,
        "found by seeds {found:?} of {FORGED_PERMIT_SEEDS} alone"
    );
}

fn engine(peers: bool, effect: ashtide::Idempotency) -> (Engine, Time) {
    let (now, ms) = (Time::from_micros(1_000_000), |ms: i64| Span::from_micros(ms * 1_000));
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
    let (id, class, time_left) = (RequestId(1), ClassId(0), Span::from_micros(2_000_000));
    Request { id, class, tenant: None, group: None, time_left, load: None }
}

/// Found by seeds 0 to 47: the owner that refuses is this process, and a server called back was asked for again at
/// once, for ever.
#[test]
fn a_server_called_back_that_its_owner_refuses_is_not_asked_for_in_a_circle() {
    let (sender, over) = mpsc::channel();
    std::thread::spawn(move || {
        with_time(async {
            let ((mut engine, now), mut effects) =
                (engine(true, ashtide::Idempotency::Idempotent), Vec::new());
            let (server, zone) = (ServerId(0), ZoneId(0));
            engine.handle_list_update(
                now,
                ListUpdate::Snapshot,
                vec![EndpointEntry::ready(server, zone)],
                &mut effects,
            );
            engine.set_cordon(now, server, true, &mut effects);
            engine.set_cordon(now, server, false, &mut effects);
            engine.handle_request(now, request(), &mut effects);
            let _ = sender.send(engine.open_request_count());
        });
    });
    assert_eq!(over.recv_timeout(Duration::from_secs(20)), Ok(1), "it waits, and the core goes on");
}

/// Found by seed 5: what had been tried was refused as the process ended, which says that a repeat does no harm.
#[test]
fn a_process_that_ends_does_not_refuse_what_may_have_run() {
    for (servers, answer) in
        [(1, FinalAnswer::Failed), (0, FinalAnswer::Rejected(Span::from_micros(1_000_000)))]
    {
        with_time(async {
            let ((mut engine, now), mut effects) =
                (engine(false, ashtide::Idempotency::NotIdempotent), Vec::new());
            let entries = (0..servers).map(|it| EndpointEntry::ready(ServerId(it), ZoneId(0))).collect();
            engine.handle_list_update(now, ListUpdate::Snapshot, entries, &mut effects);
            engine.handle_request(now, request(), &mut effects);
            engine.handle_timer(now, TimerEvent::ShutdownDeadline, &mut effects);
            assert_eq!(effects.last(), Some(&Command::Answer { id: RequestId(1), answer }));
        });
    }
}
