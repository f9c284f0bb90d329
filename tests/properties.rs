//! Property tests of the decision module: random legal sequences of events with a fixed seed, and the rules
//! that its actions must follow.
//!
//! - Rule 1: each request receives exactly one final answer, in time, and has no attempt after its end.
//! - Rule 2: a request is never in flight twice. It is repeated or rejected only if its idempotency allows
//!   that.
//! - Rule 3: attempts are sent only to servers that are listed as ready.

use std::collections::BTreeMap;

use ashtide::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Time between two events, in microseconds.
const STEP_US: i64 = 5_000;
/// Time after the deadline within which an answer counts, in microseconds.
const ANSWER_SLACK_US: i64 = 20_000;
/// Number of servers in the endpoint list.
const SERVERS: u32 = 6;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 3;
/// Idempotency window of requests with an idempotency key, in microseconds.
const IDEMPOTENCY_WINDOW_US: i64 = 60_000;

fn zone(server: ServerId) -> ZoneId {
    ZoneId(server.0 % 2)
}

fn cell(server: ServerId) -> CellId {
    CellId(server.0 / 3)
}

/// State of a request in the simulation; times in microseconds.
struct RequestState {
    deadline: i64,
    /// Whether the request is answered, or its client has left.
    finished: bool,
    established: bool,
    attempts: u32,
    in_flight: Option<Attempt>,
    /// First attempt that a server may have executed.
    first_possible_execution: Option<Attempt>,
}

/// Attempt that was sent; times in microseconds.
#[derive(Clone, Copy)]
struct Attempt {
    server: ServerId,
    times_out_at: i64,
    sent_at: i64,
}

/// Timer that the module has set; time in microseconds.
#[derive(Clone, Copy)]
struct Timer {
    due_at: i64,
    token: TimerToken,
}

impl RequestState {
    /// Checks whether the attempt in flight has reached its timeout without being established.
    fn has_timed_out(&self, now: i64) -> bool {
        !self.established && self.in_flight.is_some_and(|attempt| attempt.times_out_at <= now)
    }
}

/// Simulated environment of a decision module. It sends legal events only, and checks the module's actions.
struct Simulation {
    module: Balancer,
    idempotency: Idempotency,
    /// Current time in microseconds.
    now: i64,
    requests: BTreeMap<RequestId, RequestState>,
    state: Vec<ServerState>,
    timers: Vec<Timer>,
    next_id: u32,
    answers: u32,
    attempts: u32,
}

impl Simulation {
    fn new(idempotency: Idempotency, seed: u64) -> Self {
        let class = RequestClass {
            latency_objective: Span::from_micros(100_000),
            message_latency_objective: Span::from_micros(50_000),
            priority_weight: 1.0,
            idempotency,
        };
        let settings = Settings {
            classes: vec![class],
            max_attempts: MAX_ATTEMPTS,
            answer_slack: Span::from_micros(ANSWER_SLACK_US),
            cancellation: true,
            batch_interval: Span::from_micros(STEP_US),
            prices: Prices { cross_zone: 0.1, ..Prices::default() },
            discovery: DiscoveryMode::OnRequest,
            health_checks: true,
            fleet_permits: true,
            gateways: 3,
            initial_capacity_share: 0.3,
            warm_up_time: Span::from_micros(500_000),
            overload_factor: 2.0,
            max_retry_after: Span::from_micros(1_000_000),
            ..Settings::for_zone(ZoneId(0))
        };
        let mut simulation = Simulation {
            module: Balancer::new(settings, seed),
            idempotency,
            now: 1_000_000,
            requests: BTreeMap::new(),
            state: vec![ServerState::Ready; SERVERS as usize],
            timers: Vec::new(),
            next_id: 0,
            answers: 0,
            attempts: 0,
        };
        let entries = (0..SERVERS).map(|number| simulation.endpoint(ServerId(number), None)).collect();
        simulation.send(Event::EndpointList { update: ListUpdate::Cached, entries });
        simulation
    }

    fn endpoint(&self, server: ServerId, started_at: Option<Time>) -> EndpointEntry {
        let state = self.state[server.0 as usize];
        EndpointEntry { cell: cell(server), state, started_at, ..EndpointEntry::ready(server, zone(server)) }
    }

    fn request(&mut self, time_left_us: i64) -> Request {
        self.next_id += 1;
        let request = RequestState {
            deadline: self.now + time_left_us,
            finished: false,
            established: false,
            attempts: 0,
            in_flight: None,
            first_possible_execution: None,
        };
        self.requests.insert(RequestId(self.next_id), request);
        Request {
            id: RequestId(self.next_id),
            class: ClassId(0),
            tenant: None,
            group: Some(GroupId(self.next_id % 3)),
            time_left: Span::from_micros(time_left_us),
            load: self.next_id.is_multiple_of(2).then_some(0.01),
        }
    }

    fn send(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.module.handle(Time::from_micros(self.now), event, &mut actions);
        for action in actions {
            self.check_action(action);
        }
    }

    fn check_action(&mut self, action: Action) {
        match action {
            Action::Attempt { id, server, timeout } => self.check_attempt(id, server, timeout),
            Action::Reject { id, .. } => self.check_rejection(id),
            Action::Fail { id } => self.record_answer(id),
            Action::CancelAttempt { id, attempt } => assert!(attempt < self.requests[&id].attempts),
            Action::SetTimer { token, due_at } => {
                self.timers.push(Timer { due_at: due_at.as_micros(), token })
            }
            Action::Migrate { id } => assert!(self.requests[&id].established),
            Action::CheckHealth { server } => assert!(server.0 < SERVERS),
            Action::RequestPermit { server } => {
                assert!(server.0 < SERVERS, "permit requested for {server:?}, which was never listed")
            }
            Action::Subscribe => {}
        }
    }

    fn check_attempt(&mut self, id: RequestId, server: ServerId, timeout: Span) {
        self.attempts += 1;
        assert_eq!(self.state[server.0 as usize], ServerState::Ready, "rule 3: {server:?}");
        let request = &self.requests[&id];
        assert!(!request.finished, "rule 1: attempt of {id:?} after its end");
        assert!(request.in_flight.is_none(), "rule 2: {id:?} has two attempts in flight");
        if let Some(first) = request.first_possible_execution {
            self.check_repeat(id, first, server);
        }
        let now = self.now;
        let request = self.requests.get_mut(&id).expect("the request was sent");
        request.attempts += 1;
        assert!(request.attempts <= MAX_ATTEMPTS);
        let times_out_at = match timeout.as_micros() {
            0 => request.deadline,
            timeout_us => request.deadline.min(now + timeout_us),
        };
        request.in_flight = Some(Attempt { server, times_out_at, sent_at: now });
    }

    /// Checks a further attempt of a request whose attempt `first` may have been executed.
    fn check_repeat(&self, id: RequestId, first: Attempt, server: ServerId) {
        match self.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => {
                panic!("rule 2: {id:?} is repeated, but may have been executed and is not idempotent")
            }
            Idempotency::WithKey { scope, remembered_for } => {
                let age = self.now - first.sent_at;
                assert!(
                    age <= remembered_for.as_micros(),
                    "rule 2: {id:?} is repeated {age} us after its first attempt, past its idempotency window"
                );
                assert!(match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => zone(first.server) == zone(server),
                    DeduplicationScope::Cell => cell(first.server) == cell(server),
                });
            }
        }
    }

    fn check_rejection(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let may_have_run = request.first_possible_execution.is_some() || request.in_flight.is_some();
        let is_repeatable = matches!(
            self.idempotency,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        );
        assert!(is_repeatable || !may_have_run, "rule 2: {id:?} rejected, but may have been executed");
        self.record_answer(id);
    }

    /// Records and checks a final answer by the module.
    fn record_answer(&mut self, id: RequestId) {
        self.answers += 1;
        let request = self.requests.get_mut(&id).expect("the request was sent");
        assert!(!request.finished, "rule 1: {id:?} answered twice");
        assert!(self.now <= request.deadline + ANSWER_SLACK_US, "rule 1: {id:?} answered too late");
        request.finished = true;
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) {
        let request = self.requests.get_mut(&id).expect("the request was sent");
        let Some(ended) = request.in_flight.take() else { return };
        if !outcome.proves_not_executed() && request.first_possible_execution.is_none() {
            request.first_possible_execution = Some(ended);
        }
        if request.established || outcome == Outcome::Ok {
            request.finished = true;
        }
        let attempt = request.attempts - 1;
        let request_done = request.finished;
        self.send(Event::AttemptEnded { id, attempt, outcome, request_done });
    }

    /// Returns the request with index `choice`, modulo their number, among those with an attempt in flight.
    fn choose_in_flight(&self, choice: u32) -> Option<RequestId> {
        let requests = self.requests.iter().filter(|(_, request)| request.in_flight.is_some());
        let ids: Vec<_> = requests.map(|(&id, _)| id).collect();
        (!ids.is_empty()).then(|| ids[choice as usize % ids.len()])
    }

    /// Advances the time by one step, sends an event of this kind, and checks that no answer is overdue.
    fn step(&mut self, kind: u32, choice: u32) {
        self.advance_time();
        let server = ServerId(choice % SERVERS);
        match kind {
            0..=5 => self.send_request(choice),
            6..=9 => self.end_attempt(choice),
            10 | 11 => self.establish(choice),
            12 | 13 => self.change_server(server, choice),
            14 => self.client_leaves(),
            15 => {
                let response_time = Span::from_micros(i64::from(choice % 100) * 1_000);
                self.send(Event::SlowResponses { server, response_time });
            }
            16 => self.report_load(server, choice),
            17 => self.send_existing_connection(server),
            18 => self.send(Event::EndpointList { update: ListUpdate::WatchFailed, entries: Vec::new() }),
            _ => self.reply_to_permit_request(choice),
        }
        for (id, request) in &self.requests {
            let latest = request.deadline + ANSWER_SLACK_US + STEP_US;
            assert!(request.finished || self.now <= latest, "rule 1: {id:?} not answered in time");
        }
    }

    fn advance_time(&mut self) {
        self.now += STEP_US;
        let now = self.now;
        let due: Vec<_> = self.timers.iter().filter(|timer| timer.due_at <= now).copied().collect();
        self.timers.retain(|timer| timer.due_at > now);
        let timed_out = self.requests.iter().filter(|(_, request)| request.has_timed_out(now));
        let timed_out: Vec<_> = timed_out.map(|(&id, _)| id).collect();
        for id in timed_out {
            self.end(id, Outcome::TimedOut);
        }
        for timer in due {
            self.send(Event::Timer(timer.token));
        }
    }

    fn send_request(&mut self, choice: u32) {
        let time_left_us = [0, 1, 40_000, 200_000, 600_000][choice as usize % 5];
        let request = self.request(time_left_us);
        self.send(Event::Request(request));
    }

    fn end_attempt(&mut self, choice: u32) {
        let outcomes = [
            Outcome::Failed,
            Outcome::QueueFull,
            Outcome::ConnectError,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::Ok,
        ];
        if let Some(id) = self.choose_in_flight(choice) {
            self.end(id, outcomes[(choice / 7) as usize % outcomes.len()]);
        }
    }

    fn establish(&mut self, choice: u32) {
        let Some(id) = self.choose_in_flight(choice) else { return };
        let request = self.requests.get_mut(&id).expect("the request was sent");
        if !request.established && !request.finished {
            request.established = true;
            request.finished = true;
            let attempt = request.attempts - 1;
            self.send(Event::Established { id, attempt, elapsed: Span::from_micros(STEP_US) });
        }
    }

    fn change_server(&mut self, server: ServerId, choice: u32) {
        let states = [ServerState::Ready, ServerState::Draining, ServerState::Removed];
        self.state[server.0 as usize] = states[(choice / 7) as usize % 3];
        let started_at = choice.is_multiple_of(2).then(|| Time::from_micros(self.now));
        let entries = vec![self.endpoint(server, started_at)];
        self.send(Event::EndpointList { update: ListUpdate::Delta, entries });
    }

    fn client_leaves(&mut self) {
        let open = self.requests.iter().find(|(_, request)| !request.finished).map(|(&id, _)| id);
        if let Some(id) = open {
            self.requests.get_mut(&id).expect("the request was sent").finished = true;
            self.send(Event::ClientLeft { id });
        }
    }

    fn report_load(&mut self, server: ServerId, choice: u32) {
        let value = [f64::NAN, -1.0, 0.2, 1e300, f64::INFINITY][choice as usize % 5];
        let report = Some(LoadReport { load_ratio: Some(value), utilisation: None });
        self.send(Event::HealthChecked {
            server,
            healthy: !choice.is_multiple_of(3),
            report: report.filter(|_| !choice.is_multiple_of(4)),
        });
        self.send(Event::LoadChanged { id: RequestId(choice % 50), load: value });
    }

    fn send_existing_connection(&mut self, server: ServerId) {
        let request = self.request(0);
        let state = self.requests.get_mut(&request.id).expect("the request was created above");
        state.finished = true;
        state.established = true;
        state.attempts = 1;
        state.in_flight = Some(Attempt { server, times_out_at: i64::MAX, sent_at: self.now });
        self.send(Event::ExistingConnection { request, server });
    }

    fn reply_to_permit_request(&mut self, choice: u32) {
        let expires_at = Time::from_micros(self.now + 250_000);
        let below_fair_share = choice.is_multiple_of(3);
        let reply = match choice % 4 {
            0 => PermitReply::NoReply,
            1 => PermitReply::Denied { retry_after: Span::from_micros(90_000), below_fair_share },
            _ => PermitReply::Granted { expires_at, below_fair_share },
        };
        self.send(Event::PermitReply { server: ServerId(choice % 8), reply });
    }

    /// Ends all attempts and connections, and checks that all connection counts return to zero.
    fn end_all_attempts(&mut self) {
        for _ in 0..400 {
            self.step(14, 0);
            while let Some(id) = self.choose_in_flight(0) {
                self.end(id, Outcome::Cancelled);
            }
        }
        for server in 0..SERVERS {
            let open = self.module.open_connections(ServerId(server));
            assert_eq!(open, 0, "server {server} still counts connections after all have ended");
        }
    }
}

fn check_rules(idempotency: Idempotency) {
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = vec((0u32..20, any::<u32>()), 50..400);
    TestRunner::new_with_rng(config, rng)
        .run(&(any::<u64>(), steps), |(seed, steps)| {
            let mut simulation = Simulation::new(idempotency, seed);
            for (kind, choice) in steps {
                simulation.step(kind, choice);
            }
            simulation.end_all_attempts();
            assert!(simulation.attempts > 0);
            Ok(())
        })
        .unwrap_or_else(|failure| panic!("{failure}"));
    // Ensures that such sequences lead to attempts and answers, without which the checks above test nothing.
    let mut simulation = Simulation::new(idempotency, 1);
    for step in 0..500u32 {
        simulation.step(step % 20, step.wrapping_mul(2_654_435_761));
    }
    assert!(simulation.attempts > 30, "{} attempts", simulation.attempts);
    assert!(simulation.answers > 10, "{} answers", simulation.answers);
}

fn with_key(scope: DeduplicationScope) -> Idempotency {
    Idempotency::WithKey { scope, remembered_for: Span::from_micros(IDEMPOTENCY_WINDOW_US) }
}

#[test]
fn rules_apply_to_idempotent_requests() {
    check_rules(Idempotency::Idempotent);
}

#[test]
fn rules_apply_to_requests_with_keys_that_all_servers_share() {
    check_rules(with_key(DeduplicationScope::All));
}

#[test]
fn rules_apply_to_requests_with_keys_that_a_zone_shares() {
    check_rules(with_key(DeduplicationScope::Zone));
}

#[test]
fn rules_apply_to_requests_with_keys_that_a_cell_shares() {
    check_rules(with_key(DeduplicationScope::Cell));
}

#[test]
fn rules_apply_to_non_idempotent_requests() {
    check_rules(Idempotency::NotIdempotent);
}
