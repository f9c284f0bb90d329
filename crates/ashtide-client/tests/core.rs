//! Tests of the session pool with random interleavings of events: a simulated environment loses, delays,
//! repeats and invents events, and the pool's invariants must hold in each of them. Seeds are fixed and time
//! is virtual.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use ashtide_client::*;
use ashtide_protocol::{GatewayEvent, Open, PeerFault};
use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const MS: Duration = Duration::from_millis(1);

fn address(number: u16) -> Address {
    Address {
        socket_addr: ([127, 0, 0, 1], 4000 + number).into(),
        zone: format!("z{}", number % 2),
        site: "site".into(),
    }
}

fn session_request(key: u64) -> SessionRequest {
    SessionRequest {
        idempotent: key % 5 != 4,
        reconnects: key % 7 != 6,
        ..SessionRequest::new("meter", format!("k{key}"), 3200 * MS)
    }
}

/// Record of a session's commands and events, which the invariants are checked against.
#[derive(Default)]
struct SessionRecord {
    key: String,
    opened: Instant,
    /// Attempts whose sockets are or may be open, each with a flag whether the request was sent on it.
    sockets: BTreeMap<Attempt, bool>,
    /// Deadline of the first connection; `None` once it has been established.
    deadline: Option<Instant>,
    established_before: bool,
    /// Number of attempts for the current connection.
    attempts: u32,
    /// Time before which the session must not make another attempt, because of a rejection.
    rejected_until: Instant,
    /// Number of `EndSession` commands.
    ended: u32,
    /// Attempts for which a `Close` command was returned.
    closing: BTreeSet<Attempt>,
}

/// Simulated environment of a session pool.
struct Simulation {
    pool: SessionPool,
    now: Instant,
    sessions: BTreeMap<SessionId, SessionRecord>,
    /// Identifiers of all requests that were sent.
    request_ids: BTreeSet<Bytes>,
    commands: Vec<PoolCommand>,
    /// Time until which the only site rejects the only class.
    site_rejected_until: Instant,
    /// Time of the last `TimerFired` event.
    woken: Instant,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let now = Instant::from_micros(1_000_000);
        let mut simulation = Self {
            pool: SessionPool::new(Settings { zone: Some("z0".into()), ..Settings::default() }, seed)
                .unwrap(),
            now,
            sessions: BTreeMap::new(),
            request_ids: BTreeSet::new(),
            commands: Vec::new(),
            site_rejected_until: Instant::default(),
            woken: now,
        };
        simulation.handle_event(PoolEvent::AddressesChanged((0..4).map(address).collect()));
        simulation
    }

    fn open(&mut self, key: u64) {
        let request = session_request(key);
        let record = SessionRecord {
            key: request.parameters.key.clone(),
            opened: self.now,
            deadline: Some(self.now + request.timeout),
            ..SessionRecord::default()
        };
        let mut commands = Vec::new();
        let id = self.pool.open(self.now, request, &mut commands);
        assert!(self.sessions.insert(id, record).is_none(), "the pool reused a session id");
        self.commands = commands;
        self.check_invariants();
    }

    fn handle_event(&mut self, event: PoolEvent) {
        let mut commands = Vec::new();
        self.pool.handle(self.now, event, &mut commands);
        self.commands = commands;
        self.check_invariants();
    }

    /// Advances the virtual time and wakes the pool at the times that it requests.
    fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some(wake) = self.pool.next_wake().filter(|&wake| wake <= until) {
            self.now = wake.max(self.now);
            self.woken = self.now;
            self.handle_event(PoolEvent::TimerFired);
        }
        self.now = until;
    }

    /// Checks the commands that the pool returned last and the invariants of all sessions.
    fn check_invariants(&mut self) {
        let now = self.now;
        for command in std::mem::take(&mut self.commands) {
            match command {
                PoolCommand::Connect { session, attempt, .. } => {
                    let record = self.sessions.get_mut(&session).unwrap();
                    assert_eq!(record.ended, 0, "the session connects after its end");
                    assert!(record.sockets.is_empty(), "connects while {:?} may be open", record.sockets);
                    assert!(now >= record.rejected_until, "connects before its rejection ends");
                    assert!(
                        now >= self.site_rejected_until,
                        "connects to a site that rejected another session"
                    );
                    record.sockets.insert(attempt, false);
                    record.attempts += 1;
                }
                PoolCommand::SendRequest { session, attempt, line } => {
                    let record = self.sessions.get_mut(&session).unwrap();
                    assert_eq!(
                        record.sockets.insert(attempt, true),
                        Some(false),
                        "a request must be sent once, on a connected socket"
                    );
                    assert_eq!(record.sockets.len(), 1, "more than one attempt at a time");
                    let text = String::from_utf8(line.to_vec()).unwrap();
                    let open = Open::parse(line).unwrap();
                    assert!(self.request_ids.insert(open.id.clone()), "the request id was used before");
                    assert_eq!(text.split(' ').nth(2), Some(&*record.key), "wrong key");
                    assert_eq!(text.contains(",r=1"), record.attempts > 1, "wrong retry flag: {text}");
                    assert_eq!(
                        text.contains(",again=1"),
                        record.established_before,
                        "wrong reconnect flag: {text}"
                    );
                    let timeout = open.client_timeout.unwrap();
                    match record.deadline {
                        Some(deadline) => {
                            assert!(
                                timeout <= deadline.duration_since(now).max(MS),
                                "the request states {timeout:?}, but {:?} remain",
                                deadline.duration_since(now)
                            )
                        }
                        None => assert!(timeout <= Duration::from_secs(30)),
                    }
                }
                PoolCommand::Close { session, attempt } => {
                    let record = self.sessions.get_mut(&session).unwrap();
                    assert!(record.closing.insert(attempt), "an attempt was closed twice");
                }
                PoolCommand::Notify(session, notification) => {
                    let record = self.sessions.get_mut(&session).unwrap();
                    assert_eq!(record.ended, 0, "a notification follows the end of the session");
                    match notification {
                        SessionNotification::Connected { .. } => {
                            assert!(
                                record.deadline.is_none_or(|deadline| now < deadline),
                                "established after its deadline"
                            );
                            (record.established_before, record.deadline, record.attempts) = (true, None, 0);
                        }
                        SessionNotification::Disconnected(_) => record.attempts = 0,
                        // A reconnect starts, or restarts after the network was restored.
                        SessionNotification::Reconnecting { delay } => {
                            record.attempts = 0;
                            assert!(delay <= Duration::from_secs(20));
                        }
                        SessionNotification::Retrying { .. } => {}
                    }
                }
                PoolCommand::EndSession(session, _) => {
                    let record = self.sessions.get_mut(&session).unwrap();
                    record.ended += 1;
                    assert_eq!(record.ended, 1, "a session ended twice");
                }
            }
        }
        for record in self.sessions.values().filter(|record| record.ended == 0) {
            // The pool is woken at the time that it requests, so a deadline is exceeded by one tick at most.
            if let Some(deadline) = record.deadline {
                assert!(
                    self.woken <= deadline + TICK,
                    "session has not ended after {:?}",
                    self.woken.duration_since(record.opened)
                );
            }
        }
        // The number of retries is limited by the tokens that first attempts, disconnects and time earned.
        let settings = Settings::default();
        let minutes = now.duration_since(Instant::from_micros(1_000_000)).as_secs_f64() / 60.0;
        let metrics = self.pool.metrics();
        let deposits =
            (metrics.first_attempts + metrics.reconnects + metrics.opened + metrics.moved + metrics.broken)
                as f64;
        let limit =
            settings.budget_first + settings.budget_ratio * deposits + settings.budget_minute * minutes;
        assert!(
            metrics.retries as f64 <= limit + 1e-6,
            "{} retries, the budget permits {limit}",
            metrics.retries
        );
    }

    /// Returns a session and attempt whose socket is or may be open, if there is any.
    fn select_attempt(&self, selector: u32) -> Option<(SessionId, Attempt)> {
        let attempts: Vec<_> = self
            .sessions
            .iter()
            .flat_map(|(&id, record)| record.sockets.keys().map(move |&attempt| (id, attempt)))
            .collect();
        attempts.get(selector as usize % attempts.len().max(1)).copied()
    }

    /// Executes one random step: an event of a current attempt, of an ended one or of one that never existed.
    fn execute_step(&mut self, kind: u8, selector: u32) {
        match kind {
            0 | 1 => return self.open(u64::from(selector)),
            2 => return self.handle_event(PoolEvent::NetworkLost),
            3 => return self.handle_event(PoolEvent::NetworkRestored),
            4 => {
                let addresses = (0..4).filter(|number| selector >> number & 1 == 1).map(address).collect();
                return self.handle_event(PoolEvent::AddressesChanged(addresses));
            }
            5 => {
                let id = self.sessions.keys().nth(selector as usize % self.sessions.len().max(1)).copied();
                id.into_iter().for_each(|id| self.handle_event(PoolEvent::CloseSession(id)));
                return;
            }
            6 => {
                // Events of sessions or attempts that never existed.
                let (id, attempt) = (SessionId(u64::from(selector % 9)), Attempt(selector % 11 + 40));
                self.handle_event(PoolEvent::Connected(id, attempt));
                self.handle_event(PoolEvent::Received(id, attempt, Ok(GatewayEvent::Up(Bytes::new()))));
                return self.handle_event(PoolEvent::ConnectionEnded(id, attempt, None));
            }
            _ => {}
        }
        let Some((id, attempt)) = self.select_attempt(selector) else { return };
        let record = self.sessions.get_mut(&id).unwrap();
        let request_sent = record.sockets[&attempt];
        let is_current = record.ended == 0 && !record.closing.contains(&attempt);
        match kind {
            // The driver executes a `Close` command after an arbitrary delay.
            7..=9 => {
                if record.closing.contains(&attempt) {
                    record.sockets.remove(&attempt);
                    self.handle_event(PoolEvent::SocketClosed(id, attempt));
                }
            }
            10..=13 if !request_sent => self.handle_event(PoolEvent::Connected(id, attempt)),
            14 if !request_sent => {
                record.sockets.remove(&attempt);
                self.handle_event(PoolEvent::ConnectFailed(id, attempt));
            }
            15 => {
                record.sockets.remove(&attempt);
                self.handle_event(PoolEvent::ConnectionEnded(
                    id,
                    attempt,
                    (selector % 3 == 0).then_some(PeerFault::Torn),
                ));
            }
            16 => {
                let retry_after = match selector % 4 {
                    0 => None,
                    1 => Some(Duration::from_secs(u64::from(selector) * 1000)),
                    _ => Some(Duration::from_millis(u64::from(selector % 1500))),
                };
                // A rejection takes effect when it is received, if it is an answer to a request.
                let established = self.pool.is_established(id);
                let in_time = self.sessions[&id].deadline.is_none_or(|deadline| self.now < deadline);
                self.handle_event(PoolEvent::Received(id, attempt, Ok(GatewayEvent::Busy(retry_after))));
                if is_current && request_sent && !established && in_time {
                    let until = self.now + retry_after.unwrap_or_default().min(Settings::default().busy_most);
                    self.sessions.get_mut(&id).unwrap().rejected_until = until;
                }
            }
            17 => self.handle_event(PoolEvent::Received(id, attempt, Ok(GatewayEvent::Failed(Bytes::new())))),
            18 => self.handle_event(PoolEvent::Received(id, attempt, Err(PeerFault::UpTwice))),
            19 => self.handle_event(PoolEvent::Received(id, attempt, Ok(GatewayEvent::Move))),
            20 => self.handle_event(PoolEvent::Received(id, attempt, Ok(GatewayEvent::Bye))),
            _ => self.handle_event(PoolEvent::Received(id, attempt, Ok(GatewayEvent::Up(Bytes::from("r"))))),
        }
    }
}

/// Runs a property test with random seeds and scripts. Each step of a script has a delay in ms, a kind and a
/// selector.
fn run_property(cases: u32, test: impl Fn(u64, Vec<(u32, u8, u32)>) -> Result<(), TestCaseError>) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..ProptestConfig::default()
    };
    let step = (prop_oneof![4 => 0_u32..400, 1 => 0_u32..8000, 1 => Just(0)], 0_u8..26, any::<u32>());
    TestRunner::new_with_rng(config, rng)
        .run(&(any::<u64>(), vec(step, 1..250)), |(seed, script)| test(seed, script))
        .unwrap();
}

#[test]
fn invariants_hold_with_random_interleavings() {
    run_property(400, |seed, script| {
        let mut simulation = Simulation::new(seed);
        for (delay_ms, kind, selector) in script {
            simulation.advance(delay_ms * MS);
            simulation.execute_step(kind, selector);
        }
        // Every session has to end or be established afterwards: the network is up and all requested closes
        // are done.
        simulation.handle_event(PoolEvent::NetworkRestored);
        for _ in 0..2000 {
            simulation.advance(200 * MS);
            let closing: Vec<_> = simulation
                .sessions
                .iter()
                .flat_map(|(&id, record)| record.closing.iter().map(move |&attempt| (id, attempt)))
                .collect();
            for (id, attempt) in closing {
                if simulation.sessions.get_mut(&id).unwrap().sockets.remove(&attempt).is_some() {
                    simulation.handle_event(PoolEvent::SocketClosed(id, attempt));
                }
            }
        }
        for id in simulation.sessions.keys().copied().collect::<Vec<_>>() {
            if simulation.sessions[&id].ended == 0 {
                prop_assert!(
                    simulation.pool.is_established(id),
                    "the session is neither established nor ended after 400 s"
                );
                simulation.handle_event(PoolEvent::CloseSession(id));
            }
        }
        prop_assert!(
            simulation.sessions.values().all(|record| record.ended == 1) && simulation.pool.is_empty()
        );
        prop_assert_eq!(simulation.pool.next_wake(), None);
        prop_assert_eq!(simulation.pool.metrics().ended, simulation.pool.metrics().opened);
        Ok(())
    });
}

#[test]
fn equal_seeds_and_events_result_in_equal_commands() {
    run_property(20, |seed, script| {
        let [first_run, second_run] = [(), ()].map(|()| {
            let (mut pool, mut commands, mut now_micros) =
                (SessionPool::new(Settings::default(), seed).unwrap(), Vec::new(), 0);
            pool.handle(
                Instant::default(),
                PoolEvent::AddressesChanged((0..4).map(address).collect()),
                &mut commands,
            );
            for &(delay_ms, kind, selector) in &script {
                now_micros += u64::from(delay_ms) * 1000;
                let (now, id) = (Instant::from_micros(now_micros), SessionId(u64::from(selector % 6) + 1));
                match kind {
                    0..=5 => _ = pool.open(now, session_request(u64::from(selector)), &mut commands),
                    6..=12 => pool.handle(now, PoolEvent::Connected(id, Attempt(1)), &mut commands),
                    13 => pool.handle(now, PoolEvent::NetworkLost, &mut commands),
                    14 => pool.handle(now, PoolEvent::NetworkRestored, &mut commands),
                    _ => pool.handle(
                        now,
                        PoolEvent::Received(id, Attempt(1), Ok(GatewayEvent::Busy(None))),
                        &mut commands,
                    ),
                }
            }
            commands
        });
        prop_assert_eq!(first_run, second_run);
        Ok(())
    });
}

/// Returns a pool with one address and a session whose first request has been sent.
fn pool_with_request(
    settings: Settings,
    request: SessionRequest,
) -> (SessionPool, SessionId, Vec<PoolCommand>) {
    let (mut pool, mut commands) = (SessionPool::new(settings, 7).unwrap(), Vec::new());
    pool.handle(at(0), PoolEvent::AddressesChanged(vec![address(0)]), &mut commands);
    let id = pool.open(at(0), request, &mut commands);
    pool.handle(at(0), PoolEvent::Connected(id, Attempt(1)), &mut commands);
    (pool, id, commands)
}

/// Returns the point in time `ms` milliseconds after the start of a test.
fn at(ms: u64) -> Instant {
    Instant::from_micros(5_000_000 + ms * 1000)
}

fn up() -> Result<GatewayEvent, PeerFault> {
    Ok(GatewayEvent::Up(Bytes::new()))
}

#[test]
fn slow_connect_reduces_the_time_out_in_the_request() {
    let (mut pool, mut commands) = (SessionPool::new(Settings::default(), 7).unwrap(), Vec::new());
    pool.handle(at(0), PoolEvent::AddressesChanged(vec![address(0)]), &mut commands);
    let id = pool.open(at(0), SessionRequest::new("meter", "k", 3200 * MS), &mut commands);
    pool.handle(at(900), PoolEvent::Connected(id, Attempt(1)), &mut commands);
    let Some(PoolCommand::SendRequest { line, .. }) = commands.last() else { panic!("{commands:?}") };
    assert_eq!(Open::parse(line.clone()).unwrap().client_timeout, Some(2300 * MS));
}

#[test]
fn session_past_its_deadline_after_suspension_ends_once() {
    let (mut pool, id, mut commands) =
        pool_with_request(Settings::default(), SessionRequest::new("meter", "k", 3200 * MS));
    commands.clear();
    // The answer arrived while the device was suspended, and is the first event after it resumes.
    pool.handle(at(3 * 3_600_000), PoolEvent::Received(id, Attempt(1), up()), &mut commands);
    let end = PoolCommand::EndSession(id, GiveUpReason::DeadlineExceeded { last: AttemptFailure::TimedOut });
    assert_eq!(commands, [PoolCommand::Close { session: id, attempt: Attempt(1) }, end]);
    assert!(pool.is_empty() && pool.next_wake().is_none());
}

#[test]
fn deadlines_are_exact_although_timers_have_tick_resolution() {
    for (ms, established) in [(3202, true), (3203, false), (3206, false)] {
        let (mut pool, id, mut commands) =
            pool_with_request(Settings::default(), SessionRequest::new("meter", "k", 3203 * MS));
        pool.handle(at(ms), PoolEvent::Received(id, Attempt(1), up()), &mut commands);
        assert_eq!(pool.is_established(id), established, "answer after {ms} ms");
    }
}

#[test]
fn connection_that_ends_with_its_answer_counts_as_one_loss() {
    let (mut pool, id, mut commands) =
        pool_with_request(Settings::default(), SessionRequest::new("meter", "k", 3200 * MS));
    commands.clear();
    pool.handle(at(5), PoolEvent::Received(id, Attempt(1), up()), &mut commands);
    pool.handle(at(5), PoolEvent::ConnectionEnded(id, Attempt(1), None), &mut commands);
    assert!(matches!(
        commands[..],
        [
            PoolCommand::Notify(_, SessionNotification::Connected { .. }),
            PoolCommand::Notify(_, SessionNotification::Disconnected(ConnectionLoss::Broken(None)))
        ]
    ));
    assert_eq!((pool.metrics().established, pool.metrics().broken), (1, 1));
}

#[test]
fn consecutive_early_losses_end_the_session() {
    let (mut pool, id, mut commands) =
        pool_with_request(Settings::default(), SessionRequest::new("meter", "k", 3200 * MS));
    let mut now = at(5);
    for attempt in 1..=5 {
        pool.handle(now, PoolEvent::Connected(id, Attempt(attempt)), &mut commands);
        pool.handle(now, PoolEvent::Received(id, Attempt(attempt), up()), &mut commands);
        pool.handle(now, PoolEvent::ConnectionEnded(id, Attempt(attempt), None), &mut commands);
        while let Some(wake) = pool.next_wake() {
            now = wake;
            pool.handle(now, PoolEvent::TimerFired, &mut commands);
            if let Some(PoolCommand::Connect { .. }) = commands.last() {
                break;
            }
        }
    }
    assert_eq!(
        commands.last(),
        Some(&PoolCommand::EndSession(id, GiveUpReason::Unstable { consecutive_losses: 5 }))
    );
    assert!(
        now.duration_since(at(0)) > Duration::from_secs(10),
        "the reconnect window does not grow with each early loss"
    );
}

#[test]
fn excessive_retry_after_is_limited_and_reported() {
    let (mut pool, id, mut commands) =
        pool_with_request(Settings::default(), SessionRequest::new("meter", "k", 3200 * MS));
    let busy = GatewayEvent::Busy(Some(Duration::from_secs(1 << 40)));
    pool.handle(at(5), PoolEvent::Received(id, Attempt(1), Ok(busy)), &mut commands);
    let retry_after = Settings::default().busy_most;
    assert_eq!(commands.last(), Some(&PoolCommand::EndSession(id, GiveUpReason::Rejected { retry_after })));
    // Another session of the class is rejected within that time without an attempt at any address of the
    // site.
    pool.handle(at(6), PoolEvent::AddressesChanged((0..4).map(address).collect()), &mut commands);
    commands.clear();
    let next = pool.open(at(1005), SessionRequest::new("meter", "other", 3200 * MS), &mut commands);
    assert_eq!(
        commands,
        [PoolCommand::EndSession(next, GiveUpReason::Rejected { retry_after: Duration::from_secs(29) })]
    );
    let other = pool.open(at(1005), SessionRequest::new("sync", "other", 3200 * MS), &mut commands);
    assert!(
        matches!(commands.last(), Some(PoolCommand::Connect { session, .. }) if *session == other),
        "a rejection must not affect another class"
    );
}

/// Answers every attempt in `commands` and returns the number of attempts.
fn answer_all(
    pool: &mut SessionPool,
    now: Instant,
    commands: &mut Vec<PoolCommand>,
    answer: &GatewayEvent,
) -> usize {
    let mut attempts = 0;
    for command in std::mem::take(commands) {
        if let PoolCommand::Connect { session, attempt, .. } = command {
            attempts += 1;
            pool.handle(now, PoolEvent::Connected(session, attempt), commands);
            pool.handle(now, PoolEvent::Received(session, attempt, Ok(answer.clone())), commands);
            pool.handle(now, PoolEvent::SocketClosed(session, attempt), commands);
        }
    }
    attempts
}

#[test]
fn site_that_rejects_all_requests_receives_few_retries() {
    let (mut pool, mut commands) = (SessionPool::new(Settings::default(), 3).unwrap(), Vec::new());
    pool.handle(at(0), PoolEvent::AddressesChanged((0..4).map(address).collect()), &mut commands);
    for number in 0..1000_u64 {
        let now = at(number * 20);
        pool.open(now, SessionRequest::new("meter", format!("k{number}"), 3200 * MS), &mut commands);
        while answer_all(&mut pool, now, &mut commands, &GatewayEvent::Busy(None)) > 0 {}
    }
    let metrics = pool.metrics();
    assert_eq!(metrics.first_attempts, 1000);
    assert!((150..=203).contains(&metrics.retries) && metrics.retry_budget_exhausted > 700, "{metrics:?}");
}

#[test]
fn single_session_makes_the_trial_of_a_failed_address() {
    let (mut pool, mut commands) = (SessionPool::new(Settings::default(), 3).unwrap(), Vec::new());
    pool.handle(at(0), PoolEvent::AddressesChanged(vec![address(0)]), &mut commands);
    let first =
        pool.open(at(0), SessionRequest { timeout: 60_000 * MS, ..session_request(1) }, &mut commands);
    pool.handle(at(1), PoolEvent::ConnectFailed(first, Attempt(1)), &mut commands);
    commands.clear();
    for key in 0..50 {
        pool.open(at(2), SessionRequest::new("meter", format!("k{key}"), 60_000 * MS), &mut commands);
    }
    let connects = |commands: &[PoolCommand]| {
        commands.iter().filter(|command| matches!(command, PoolCommand::Connect { .. })).count()
    };
    assert_eq!(connects(&commands), 0, "a session connects while the address is ejected");
    let mut now_ms = 2;
    while connects(&commands) == 0 {
        now_ms += 10;
        pool.handle(at(now_ms), PoolEvent::TimerFired, &mut commands);
    }
    assert!(
        (500..2500).contains(&now_ms) && connects(&commands) == 1,
        "{} sessions make the trial at {now_ms} ms instead of one at 500 to 2500 ms",
        connects(&commands)
    );
    for tick in 1..50 {
        pool.handle(at(now_ms + tick * 10), PoolEvent::TimerFired, &mut commands);
    }
    assert_eq!(connects(&commands), 1, "another session connects before the trial has a result");
    now_ms += 500;
    answer_all(&mut pool, at(now_ms), &mut commands, &GatewayEvent::Up(Bytes::new()));
    let mut followed = 0;
    for tick in 1..200 {
        let now = at(now_ms + tick * 10);
        pool.handle(now, PoolEvent::TimerFired, &mut commands);
        followed += answer_all(&mut pool, now, &mut commands, &GatewayEvent::Up(Bytes::new()));
    }
    assert_eq!(followed, 50, "all other sessions must connect after the successful trial");
}

#[test]
fn cache_is_restored_in_the_next_process_within_limits() {
    let (mut pool, id, mut commands) =
        pool_with_request(Settings::default(), SessionRequest::new("meter", "k", 3200 * MS));
    let busy = GatewayEvent::Busy(Some(Duration::from_secs(20)));
    pool.handle(at(5), PoolEvent::Received(id, Attempt(1), Ok(busy)), &mut commands);
    let text = pool.server_cache(at(5)).encode(77_000).unwrap();
    let (cache, age) = ServerCache::decode(&text, 82_000).unwrap().unwrap();
    assert_eq!(age, Duration::from_secs(5));

    let mut next = SessionPool::new(Settings::default(), 8).unwrap();
    next.handle(at(0), PoolEvent::AddressesChanged(vec![address(0)]), &mut commands);
    next.restore_cache(at(0), &cache, age);
    commands.clear();
    let id = next.open(at(0), SessionRequest::new("meter", "k", 3200 * MS), &mut commands);
    assert_eq!(
        commands,
        [PoolCommand::EndSession(id, GiveUpReason::Rejected { retry_after: Duration::from_secs(15) })]
    );

    // The clock was set back; the file is too old; the file has another version; the file is truncated.
    assert_eq!(ServerCache::decode(&text, 0).unwrap().unwrap().1, Duration::ZERO);
    assert!(ServerCache::decode(&text, 77_000 + 700_000).unwrap().is_none());
    let other_version = String::from_utf8(text.clone()).unwrap().replace("\"version\":1", "\"version\":2");
    assert!(matches!(
        ServerCache::decode(other_version.as_bytes(), 0),
        Err(ServerCacheError::UnsupportedVersion(2))
    ));
    for length in 0..text.len() {
        assert!(ServerCache::decode(&text[..length], 0).is_err(), "a prefix of {length} bytes was accepted");
    }
    let excessive_cache = ServerCache {
        tokens: 1e5,
        rejections: vec![CachedRejection {
            site: "site".into(),
            class: "meter".into(),
            remaining_ms: u64::MAX,
        }],
        failures: vec![],
    };
    let mut third = SessionPool::new(Settings::default(), 8).unwrap();
    third.handle(at(0), PoolEvent::AddressesChanged(vec![address(0)]), &mut commands);
    third.restore_cache(at(0), &excessive_cache, Duration::ZERO);
    assert!(
        third.retry_budget() <= Settings::default().budget_first,
        "a cache file must not increase the initial retry budget"
    );
    commands.clear();
    let id = third.open(at(0), SessionRequest::new("meter", "k", 3200 * MS), &mut commands);
    assert_eq!(
        commands,
        [PoolCommand::EndSession(id, GiveUpReason::Rejected { retry_after: Settings::default().busy_most })]
    );
}

/// Disconnects `count` sessions, each in its own process, at the same time. Returns the number of first
/// reconnect attempts in each slot of 100 ms.
fn reconnects_by_slot(count: u64, seed: impl Fn(u64) -> u64, loss: PoolEvent) -> HashMap<u64, u32> {
    let mut slots = HashMap::new();
    for number in 0..count {
        let (mut pool, mut commands) =
            (SessionPool::new(Settings::default(), seed(number)).unwrap(), Vec::new());
        pool.handle(at(0), PoolEvent::AddressesChanged(vec![address(0), address(2)]), &mut commands);
        let id = pool.open(
            at(0),
            SessionRequest::new("meter", format!("meter-{number}"), 3200 * MS),
            &mut commands,
        );
        pool.handle(at(0), PoolEvent::Connected(id, Attempt(1)), &mut commands);
        pool.handle(at(0), PoolEvent::Received(id, Attempt(1), up()), &mut commands);
        commands.clear();
        let disconnect = match loss {
            PoolEvent::ConnectionEnded(..) => PoolEvent::ConnectionEnded(id, Attempt(1), None),
            _ => PoolEvent::Received(id, Attempt(1), Ok(GatewayEvent::Move)),
        };
        pool.handle(at(10_000), disconnect, &mut commands);
        pool.handle(at(10_000), PoolEvent::SocketClosed(id, Attempt(1)), &mut commands);
        commands.clear();
        while !commands.iter().any(|command| matches!(command, PoolCommand::Connect { .. })) {
            let wake = pool.next_wake().expect("the session does not reconnect");
            pool.handle(wake, PoolEvent::TimerFired, &mut commands);
            if commands.iter().any(|command| matches!(command, PoolCommand::Connect { .. })) {
                *slots.entry(wake.duration_since(at(10_000)).as_millis() as u64 / 100).or_default() += 1;
            }
        }
    }
    slots
}

#[test]
fn mass_reconnection_is_spread_evenly_even_with_equal_seeds() {
    let broken = PoolEvent::ConnectionEnded(SessionId(1), Attempt(1), None);
    let moved = PoolEvent::Received(SessionId(1), Attempt(1), Ok(GatewayEvent::Move));
    for (loss, min_span, window_slots) in [(broken, 35, 40.0), (moved, 20, 25.0)] {
        let slots = reconnects_by_slot(10_000, |_| 42, loss);
        let span = slots.keys().max().unwrap() - slots.keys().min().unwrap();
        assert!(span >= min_span, "reconnects span {span} slots of 100 ms, expected at least {min_span}");
        let (peak, mean) = (f64::from(*slots.values().max().unwrap()), 10_000.0 / window_slots);
        assert!(peak <= 1.4 * mean, "peak of {peak} reconnects per slot, mean {mean}");
        assert_eq!(slots.values().sum::<u32>(), 10_000);
    }
}

/// Lets many devices connect and fails their first attempt. Returns the number of devices by address of the
/// first attempt, and by the addresses of the first and second attempt.
fn address_choices(devices: u64, zone: Option<&str>) -> (BTreeMap<u16, u32>, BTreeMap<(u16, u16), u32>) {
    let (mut first, mut first_and_second) = (BTreeMap::new(), BTreeMap::new());
    for number in 0..devices {
        let settings = Settings { zone: zone.map(str::to_owned), ..Settings::default() };
        let (mut pool, mut commands) = (SessionPool::new(settings, 42).unwrap(), Vec::new());
        pool.handle(at(0), PoolEvent::AddressesChanged((0..6).map(address).collect()), &mut commands);
        let id = pool.open(
            at(0),
            SessionRequest::new("meter", format!("meter-{number}"), 3200 * MS),
            &mut commands,
        );
        let address_number = |commands: &[PoolCommand]| match commands.last() {
            Some(PoolCommand::Connect { gateway, .. }) => gateway.port() - 4000,
            other => panic!("{other:?}"),
        };
        let first_address = address_number(&commands);
        *first.entry(first_address).or_default() += 1;
        pool.handle(at(1), PoolEvent::ConnectFailed(id, Attempt(1)), &mut commands);
        while !matches!(commands.last(), Some(PoolCommand::Connect { attempt: Attempt(2), .. })) {
            let wake = pool.next_wake().expect("the session does not retry");
            pool.handle(wake, PoolEvent::TimerFired, &mut commands);
        }
        *first_and_second.entry((first_address, address_number(&commands))).or_default() += 1;
    }
    (first, first_and_second)
}

#[test]
fn attempts_and_retries_spread_evenly_over_the_local_zone() {
    let (first, first_and_second) = address_choices(9000, Some("z0"));
    assert_eq!(first.keys().copied().collect::<Vec<_>>(), [0, 2, 4], "addresses of the local zone only");
    assert!(first.values().all(|count| (2700..3300).contains(count)), "{first:?}");
    assert_eq!(
        first_and_second.len(),
        6,
        "each device must retry at one of the two other local addresses: {first_and_second:?}"
    );
    assert!(first_and_second.values().all(|count| (1250..1750).contains(count)), "{first_and_second:?}");
    let (first, _) = address_choices(9000, None);
    assert!(first.len() == 6 && first.values().all(|count| (1250..1750).contains(count)), "{first:?}");
}
