//! The rules of the decision module, over random legal sequences of events with a fixed seed.

use std::collections::BTreeMap;

use ashtide::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const STEP: i64 = 5_000;
const SLACK: i64 = 20_000;
const SERVERS: u32 = 6;
const MAX_ATTEMPTS: u32 = 3;
const WINDOW: i64 = 60_000;

fn zone(server: ServerId) -> ZoneId {
    ZoneId(server.0 % 2)
}

fn cell(server: ServerId) -> CellId {
    CellId(server.0 / 3)
}

/// What the world knows of a request.
struct RequestState {
    deadline: i64,
    over: bool,
    established: bool,
    attempts: u32,
    in_flight: Option<Attempt>,
    /// The first attempt that may have been executed.
    first_execution: Option<Attempt>,
}

/// An attempt that was sent; times in microseconds.
#[derive(Clone, Copy)]
struct Attempt {
    server: ServerId,
    times_out_at: i64,
    sent_at: i64,
}

/// A timer that the module has set, in microseconds.
#[derive(Clone, Copy)]
struct Timer {
    due_at: i64,
    token: TimerToken,
}

impl RequestState {
    /// Whether its attempt should have been established by now.
    fn is_late(&self, now: i64) -> bool {
        !self.established && self.in_flight.is_some_and(|attempt| attempt.times_out_at <= now)
    }
}

/// A gateway's surroundings, which keep to the protocol and check the module's actions.
struct World {
    module: Balancer,
    idempotency: Idempotency,
    now: i64,
    requests: BTreeMap<RequestId, RequestState>,
    state: Vec<ServerState>,
    timers: Vec<Timer>,
    next_id: u32,
    answers: u32,
    attempts: u32,
}

impl World {
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
            answer_slack: Span::from_micros(SLACK),
            cancellation: true,
            batch_interval: Span::from_micros(STEP),
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
        let mut world = World {
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
        let entries = (0..SERVERS).map(|number| world.endpoint(ServerId(number), None)).collect();
        world.send(Event::EndpointList { update: ListUpdate::Cached, entries });
        world
    }

    fn endpoint(&self, server: ServerId, started_at: Option<Time>) -> EndpointEntry {
        let state = self.state[server.0 as usize];
        EndpointEntry { cell: cell(server), state, started_at, ..EndpointEntry::ready(server, zone(server)) }
    }

    fn request(&mut self, ttl: i64) -> Request {
        self.next_id += 1;
        let request = RequestState {
            deadline: self.now + ttl,
            over: false,
            established: false,
            attempts: 0,
            in_flight: None,
            first_execution: None,
        };
        self.requests.insert(RequestId(self.next_id), request);
        Request {
            id: RequestId(self.next_id),
            class: ClassId(0),
            tenant: None,
            group: Some(GroupId(self.next_id % 3)),
            time_left: Span::from_micros(ttl),
            load: self.next_id.is_multiple_of(2).then_some(0.01),
        }
    }

    fn send(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.module.handle(Time::from_micros(self.now), event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Attempt { id, server, timeout } => self.check_attempt(id, server, timeout),
            Action::Reject { id, .. } => self.check_rejection(id),
            Action::Fail { id } => self.answer(id),
            Action::CancelAttempt { id, attempt } => assert!(attempt < self.requests[&id].attempts),
            Action::SetTimer { token, due_at } => {
                self.timers.push(Timer { due_at: due_at.as_micros(), token })
            }
            Action::Migrate { id } => assert!(self.requests[&id].established),
            Action::CheckHealth { server } => assert!(server.0 < SERVERS),
            Action::RequestPermit { server } => assert!(server.0 < SERVERS, "of a server that was listed"),
            Action::Subscribe => {}
        }
    }

    fn check_attempt(&mut self, id: RequestId, server: ServerId, timeout: Span) {
        self.attempts += 1;
        assert_eq!(self.state[server.0 as usize], ServerState::Ready, "rule 3: {server:?}");
        let request = &self.requests[&id];
        assert!(!request.over, "rule 1: an attempt after the end of {id:?}");
        assert!(request.in_flight.is_none(), "rule 2: two attempts of {id:?} in flight");
        if let Some(first) = request.first_execution {
            self.check_repeat(id, first, server);
        }
        let now = self.now;
        let request = self.requests.get_mut(&id).expect("just seen");
        request.attempts += 1;
        assert!(request.attempts <= MAX_ATTEMPTS);
        let times_out_at = match timeout.as_micros() {
            0 => request.deadline,
            cap => request.deadline.min(now + cap),
        };
        request.in_flight = Some(Attempt { server, times_out_at, sent_at: now });
    }

    /// Checks an attempt of a request that may have been executed before.
    fn check_repeat(&self, id: RequestId, first: Attempt, server: ServerId) {
        match self.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => {
                panic!("rule 2: {id:?} may have been executed and is not idempotent")
            }
            Idempotency::WithKey { scope, remembered_for } => {
                let age = self.now - first.sent_at;
                assert!(age <= remembered_for.as_micros(), "rule 2: {id:?} past its window");
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
        let may_have_run = request.first_execution.is_some() || request.in_flight.is_some();
        let is_repeatable = matches!(
            self.idempotency,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        );
        assert!(is_repeatable || !may_have_run, "rule 2: {id:?} rejected, but may have been executed");
        self.answer(id);
    }

    /// A final answer by the module.
    fn answer(&mut self, id: RequestId) {
        self.answers += 1;
        let request = self.requests.get_mut(&id).expect("a request that was sent");
        assert!(!request.over, "rule 1: {id:?} answered twice");
        assert!(self.now <= request.deadline + SLACK, "rule 1: {id:?} answered late");
        request.over = true;
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) {
        let request = self.requests.get_mut(&id).expect("known");
        let Some(ended) = request.in_flight.take() else { return };
        if !outcome.proves_not_executed() && request.first_execution.is_none() {
            request.first_execution = Some(ended);
        }
        if request.established || outcome == Outcome::Ok {
            request.over = true;
        }
        let attempt = request.attempts - 1;
        let request_done = request.over;
        self.send(Event::AttemptEnded { id, attempt, outcome, request_done });
    }

    /// The `pick`-th request with an attempt in flight, counted around.
    fn pick_in_flight(&self, pick: u32) -> Option<RequestId> {
        let requests = self.requests.iter().filter(|(_, request)| request.in_flight.is_some());
        let ids: Vec<_> = requests.map(|(&id, _)| id).collect();
        (!ids.is_empty()).then(|| ids[pick as usize % ids.len()])
    }

    /// Lets a step of time pass, sends an event of this kind, and checks that nothing is overdue.
    fn step(&mut self, kind: u32, pick: u32) {
        self.pass_time();
        let server = ServerId(pick % SERVERS);
        match kind {
            0..=5 => self.send_request(pick),
            6..=9 => self.end_attempt(pick),
            10 | 11 => self.establish(pick),
            12 | 13 => self.change_server(server, pick),
            14 => self.leave(),
            15 => {
                let response_time = Span::from_micros(i64::from(pick % 100) * 1_000);
                self.send(Event::SlowResponses { server, response_time });
            }
            16 => self.report(server, pick),
            17 => self.send_existing(server),
            18 => self.send(Event::EndpointList { update: ListUpdate::WatchFailed, entries: Vec::new() }),
            _ => self.reply_to_permit_request(pick),
        }
        for (id, request) in &self.requests {
            let latest = request.deadline + SLACK + STEP;
            assert!(request.over || self.now <= latest, "rule 1: {id:?} never answered");
        }
    }

    fn pass_time(&mut self) {
        self.now += STEP;
        let now = self.now;
        let due: Vec<_> = self.timers.iter().filter(|timer| timer.due_at <= now).copied().collect();
        self.timers.retain(|timer| timer.due_at > now);
        let late = self.requests.iter().filter(|(_, request)| request.is_late(now));
        let late: Vec<_> = late.map(|(&id, _)| id).collect();
        for id in late {
            self.end(id, Outcome::TimedOut);
        }
        for timer in due {
            self.send(Event::Timer(timer.token));
        }
    }

    fn send_request(&mut self, pick: u32) {
        let ttl = [0, 1, 40_000, 200_000, 600_000][pick as usize % 5];
        let request = self.request(ttl);
        self.send(Event::Request(request));
    }

    fn end_attempt(&mut self, pick: u32) {
        let outcomes = [
            Outcome::Failed,
            Outcome::QueueFull,
            Outcome::ConnectError,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::Ok,
        ];
        if let Some(id) = self.pick_in_flight(pick) {
            self.end(id, outcomes[(pick / 7) as usize % outcomes.len()]);
        }
    }

    fn establish(&mut self, pick: u32) {
        let Some(id) = self.pick_in_flight(pick) else { return };
        let request = self.requests.get_mut(&id).expect("known");
        if !request.established && !request.over {
            request.established = true;
            request.over = true;
            let attempt = request.attempts - 1;
            self.send(Event::Established { id, attempt, elapsed: Span::from_micros(STEP) });
        }
    }

    fn change_server(&mut self, server: ServerId, pick: u32) {
        let states = [ServerState::Ready, ServerState::Draining, ServerState::Removed];
        self.state[server.0 as usize] = states[(pick / 7) as usize % 3];
        let started_at = pick.is_multiple_of(2).then(|| Time::from_micros(self.now));
        let entries = vec![self.endpoint(server, started_at)];
        self.send(Event::EndpointList { update: ListUpdate::Delta, entries });
    }

    fn leave(&mut self) {
        let open = self.requests.iter().find(|(_, request)| !request.over).map(|(&id, _)| id);
        if let Some(id) = open {
            self.requests.get_mut(&id).expect("known").over = true;
            self.send(Event::ClientLeft { id });
        }
    }

    fn report(&mut self, server: ServerId, pick: u32) {
        let value = [f64::NAN, -1.0, 0.2, 1e300, f64::INFINITY][pick as usize % 5];
        let report = Some(LoadReport { load_ratio: Some(value), utilisation: None });
        self.send(Event::HealthChecked {
            server,
            healthy: !pick.is_multiple_of(3),
            report: report.filter(|_| !pick.is_multiple_of(4)),
        });
        self.send(Event::LoadChanged { id: RequestId(pick % 50), load: value });
    }

    fn send_existing(&mut self, server: ServerId) {
        let request = self.request(0);
        let state = self.requests.get_mut(&request.id).expect("just made");
        state.over = true;
        state.established = true;
        state.attempts = 1;
        state.in_flight = Some(Attempt { server, times_out_at: i64::MAX, sent_at: self.now });
        self.send(Event::ExistingConnection { request, server });
    }

    fn reply_to_permit_request(&mut self, pick: u32) {
        let expires_at = Time::from_micros(self.now + 250_000);
        let below_fair_share = pick.is_multiple_of(3);
        let reply = match pick % 4 {
            0 => PermitReply::NoReply,
            1 => PermitReply::Denied { retry_after: Span::from_micros(90_000), below_fair_share },
            _ => PermitReply::Granted { expires_at, below_fair_share },
        };
        self.send(Event::PermitReply { server: ServerId(pick % 8), reply });
    }

    /// Ends all attempts and connections, and checks that the counts return to zero.
    fn settle(&mut self) {
        for _ in 0..400 {
            self.step(14, 0);
            while let Some(id) = self.pick_in_flight(0) {
                self.end(id, Outcome::Cancelled);
            }
        }
        for server in 0..SERVERS {
            assert_eq!(self.module.open_connections(ServerId(server)), 0, "a count has leaked");
        }
    }
}

fn check_rules(idempotency: Idempotency) {
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = vec((0u32..20, any::<u32>()), 50..400);
    TestRunner::new_with_rng(config, rng)
        .run(&(any::<u64>(), steps), |(seed, steps)| {
            let mut world = World::new(idempotency, seed);
            for (kind, pick) in steps {
                world.step(kind, pick);
            }
            world.settle();
            assert!(world.attempts > 0);
            Ok(())
        })
        .unwrap_or_else(|failure| panic!("{failure}"));
    // The sequences must reach attempts and answers, or nothing above was tested.
    let mut world = World::new(idempotency, 1);
    for step in 0..500u32 {
        world.step(step % 20, step.wrapping_mul(2_654_435_761));
    }
    assert!(world.attempts > 30, "{} attempts", world.attempts);
    assert!(world.answers > 10, "{} answers", world.answers);
}

fn keyed(scope: DeduplicationScope) -> Idempotency {
    Idempotency::WithKey { scope, remembered_for: Span::from_micros(WINDOW) }
}

#[test]
fn rules_apply_to_idempotent_requests() {
    check_rules(Idempotency::Idempotent);
}

#[test]
fn rules_apply_to_requests_with_keys_that_all_servers_share() {
    check_rules(keyed(DeduplicationScope::All));
}

#[test]
fn rules_apply_to_requests_with_keys_that_a_zone_shares() {
    check_rules(keyed(DeduplicationScope::Zone));
}

#[test]
fn rules_apply_to_requests_with_keys_that_a_cell_shares() {
    check_rules(keyed(DeduplicationScope::Cell));
}

#[test]
fn rules_apply_to_non_idempotent_requests() {
    check_rules(Idempotency::NotIdempotent);
}
