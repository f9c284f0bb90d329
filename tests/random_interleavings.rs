//! Random interleavings of rare events. The engines of two to five gateways run with simulated front ends,
//! servers, endpoint lists and a network that behave at random. The invariants are checked after each step.
//!
//! A failing run prints its seed. `INTERLEAVING_SEED=17 cargo test --test random_interleavings` runs only
//! seed 17.

mod random_interleavings {
    pub mod faults;
    pub mod frontend;
    pub mod history;
    pub mod invariants;
    pub mod simulation;
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
use paused::with_paused_time;
use random_interleavings::faults::Fault;
use random_interleavings::invariants::{Invariant, Violation};
use random_interleavings::simulation::Simulation;
use tokio::time::Instant;

/// The number of seeds that are run without an injected fault.
const SEEDS: u64 = 48;
/// The wall-clock time limit of one seed, which usually takes about 0.1 s.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);
/// The number of seeds within which each injected fault has to be detected.
const MAX_SEEDS_TO_DETECT: u64 = 16;
/// The number of seeds that are run with forged permits.
const FORGED_PERMIT_SEEDS: u64 = 64;
/// The minimum number of these seeds that have to detect the forged permits.
const MIN_FORGED_PERMIT_DETECTIONS: usize = 6;

/// Each injected fault and the invariant that has to detect it. Forged permits have a separate test below.
const FAULTS_AND_INVARIANTS: [(Fault, Invariant); 14] = [
    (Fault::AnswersServedClient, Invariant::OneFinalAnswer),
    (Fault::LosesAnswers, Invariant::OneFinalAnswer),
    (Fault::ContinuesEndedAttempt, Invariant::OneAttemptInFlight),
    (Fault::WritesWithoutPermission, Invariant::NothingNewOnDrainingServer),
    (Fault::DelaysDrains, Invariant::NothingNewOnDrainingServer),
    (Fault::LosesWatchEnd, Invariant::NothingNewOnExpiredList),
    (Fault::LosesClientDeparture, Invariant::NothingForDepartedClient),
    (Fault::WritesWithoutPermission, Invariant::RetryWithinIdempotencyWindow),
    (Fault::LongIdempotencyWindow, Invariant::RetryWithinIdempotencyWindow),
    (Fault::WideDeduplicationScope, Invariant::RetryWithinDeduplicationScope),
    (Fault::ResetReportedAsConnectError, Invariant::NonIdempotentOnce),
    (Fault::RejectsUnservedClients, Invariant::RejectionIsHarmless),
    (Fault::SingleGatewaySettings, Invariant::PermitsWithinLimit),
    (Fault::SwapsClasses, Invariant::TimeoutOfOwnClass),
];

type EventCounts = BTreeMap<&'static str, u32>;

/// Runs one seed. The run has a timeout because an engine in an infinite loop would never return.
fn run_seed(seed: u64, fault: Option<Fault>) -> (Result<(), Violation>, EventCounts) {
    let (sender, results) = mpsc::channel();
    std::thread::spawn(move || {
        let result = with_paused_time(async {
            let mut simulation = Simulation::new(seed, fault);
            (simulation.run().await, simulation.counts)
        });
        // Sending fails if the receiver has timed out.
        let _ = sender.send(result);
    });
    results.recv_timeout(RUN_TIMEOUT).unwrap_or_else(|_| {
        panic!("INTERLEAVING_SEED={seed}: the run panicked or did not end within {RUN_TIMEOUT:?}")
    })
}

/// Events that have to occur in at least one run. A run without them does not exercise the rare cases.
const REQUIRED_EVENTS: [&str; 27] = [
    "adopted",
    "client departures",
    "closed watches",
    "connect errors",
    "cordons",
    "crashes",
    "datagrams duplicated",
    "datagrams lost",
    "datagrams rejected",
    "drains",
    "errors",
    "graceful shutdowns",
    "handovers",
    "hung servers",
    "incomplete snapshots",
    "late acceptances",
    "late connections",
    "late connections not used",
    "migrations",
    "resets",
    "retries",
    "second responses",
    "servers ready again",
    "servers removed",
    "servers restarted",
    "silent watches",
    "time-outs",
];

#[test]
fn no_invariant_breaks_under_random_interleavings() {
    if let Ok(seed) = std::env::var("INTERLEAVING_SEED") {
        let (outcome, counts) = run_seed(seed.parse().expect("INTERLEAVING_SEED is a number"), None);
        outcome.unwrap_or_else(|violation| panic!("INTERLEAVING_SEED={seed}: {violation}"));
        return eprintln!("{counts:?}");
    }
    let mut total_counts = EventCounts::new();
    for seed in 0..SEEDS {
        let (outcome, counts) = run_seed(seed, None);
        outcome.unwrap_or_else(|violation| panic!("INTERLEAVING_SEED={seed}: {violation}"));
        for (event, count) in counts {
            *total_counts.entry(event).or_default() += count;
        }
    }
    eprintln!("{total_counts:?}");
    let missing_events: Vec<&str> =
        REQUIRED_EVENTS.into_iter().filter(|name| !total_counts.contains_key(name)).collect();
    assert!(missing_events.is_empty(), "required events that occurred in no run: {missing_events:?}");
}

#[test]
fn each_invariant_detects_its_fault() {
    let mut undetected = Vec::new();
    for (fault, invariant) in FAULTS_AND_INVARIANTS {
        let detects_fault = |seed: &u64| {
            run_seed(*seed, Some(fault)).0.is_err_and(|violation| violation.invariant == invariant)
        };
        match (0..MAX_SEEDS_TO_DETECT).find(detects_fault) {
            Some(seed) => eprintln!("{fault:?}: {invariant:?}, seed {seed}"),
            None => undetected.push((fault, invariant)),
        }
    }
    assert!(undetected.is_empty(), "faults not detected within {MAX_SEEDS_TO_DETECT} seeds: {undetected:?}");
}

/// Forged permits overload a server in some runs only. Which runs these are depends on every datagram, so the
/// test requires a minimum number of detecting seeds instead of particular seeds.
#[test]
fn forged_permits_are_detected_in_at_least_six_of_64_seeds() {
    let detects_forged_permits = |&seed: &u64| {
        run_seed(seed, Some(Fault::ForgesPermits))
            .0
            .is_err_and(|violation| violation.invariant == Invariant::PermitsWithinLimit)
    };
    let detecting_seeds: Vec<u64> = (0..FORGED_PERMIT_SEEDS).filter(detects_forged_permits).collect();
    assert!(
        detecting_seeds.len() >= MIN_FORGED_PERMIT_DETECTIONS,
        "forged permits detected only by seeds {detecting_seeds:?} of {FORGED_PERMIT_SEEDS}, \
         expected at least {MIN_FORGED_PERMIT_DETECTIONS}"
    );
}

fn engine(fleet_permits: bool, idempotency: ashtide::Idempotency) -> (Engine, Time) {
    let now = Time::from_micros(1_000_000);
    let ms = |ms: i64| Span::from_micros(ms * 1_000);
    let class = RequestClass {
        latency_objective: ms(400),
        message_latency_objective: ms(50),
        priority_weight: 1.0,
        idempotency,
    };
    let settings = Settings {
        classes: vec![class],
        fleet_permits,
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

/// Guards against an endless loop in the engine. It occurred when the grantor that denied a permit was this
/// process: the engine requested the permit again at once, without end.
#[test]
fn a_denied_permit_for_an_uncordoned_server_is_not_requested_in_a_loop() {
    let (sender, open_request_counts) = mpsc::channel();
    std::thread::spawn(move || {
        with_paused_time(async {
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
        open_request_counts.recv_timeout(Duration::from_secs(20)),
        Ok(1),
        "the engine returns and the request stays queued"
    );
}

/// Guards against a false promise to clients. A request that the server might have executed was rejected when
/// the process exited, and a rejection promises that a retry is safe.
#[test]
fn a_process_that_ends_does_not_reject_a_request_that_may_have_run() {
    for (servers, answer) in
        [(1, FinalAnswer::Failed), (0, FinalAnswer::Rejected(Span::from_micros(1_000_000)))]
    {
        with_paused_time(async {
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
