//! The rules, over random legal sequences of events with a fixed seed.

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
struct Owed {
    deadline: i64,
    over: bool,
    established: bool,
    attempts: u32,
    /// The attempt that is out: server, when it times out, when it was sent.
    out: Option<(ServerId, i64, i64)>,
    may_have_run: Option<(ServerId, i64)>,
}

/// A relay's surroundings, which keep to the wire's rules and hold the module to its own.
struct World {
    module: Balancer,
    effect: Idempotency,
    now: i64,
    owed: BTreeMap<RequestId, Owed>,
    state: Vec<ServerState>,
    timers: Vec<(i64, TimerToken)>,
    next_id: u32,
    answers: u32,
    attempts: u32,
}

impl World {
    fn new(effect: Idempotency, seed: u64) -> Self {
        let class = RequestClass {
            latency_objective: Span::from_micros(100_000),
            message_latency_objective: Span::from_micros(50_000),
            priority_weight: 1.0,
            idempotency: effect,
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
            effect,
            now: 1_000_000,
            owed: BTreeMap::new(),
            state: vec![ServerState::Ready; SERVERS as usize],
            timers: Vec::new(),
            next_id: 0,
            answers: 0,
            attempts: 0,
        };
        let entries = (0..SERVERS).map(|s| world.listing(ServerId(s), None)).collect();
        world.send(Event::EndpointList { update: ListUpdate::Cached, entries });
        world
    }

    fn listing(&self, server: ServerId, started: Option<Time>) -> EndpointEntry {
        let state = self.state[server.0 as usize];
        EndpointEntry {
            cell: cell(server),
            state,
            started_at: started,
            ..EndpointEntry::ready(server, zone(server))
        }
    }

    fn request(&mut self, ttl: i64) -> Request {
        self.next_id += 1;
        let owed = Owed {
            deadline: self.now + ttl,
            over: false,
            established: false,
            attempts: 0,
            out: None,
            may_have_run: None,
        };
        self.owed.insert(RequestId(self.next_id), owed);
        Request {
            id: RequestId(self.next_id),
            class: ClassId(0),
            tenant: None,
            group: Some(GroupId(self.next_id % 3)),
            time_left: Span::from_micros(ttl),
            load: (self.next_id % 2 == 0).then_some(0.01),
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
            Action::Attempt { id, server, timeout } => {
                self.attempts += 1;
                let effect = self.effect;
                let now = self.now;
                assert_eq!(self.state[server.0 as usize], ServerState::Ready, "rule 3: {server:?}");
                let owed = self.owed.get_mut(&id).expect("a request this relay was given");
                assert!(!owed.over, "rule 1: an attempt after the end of {id:?}");
                assert!(owed.out.is_none(), "rule 2: two attempts of {id:?} out together");
                if let Some((first, sent)) = owed.may_have_run {
                    match effect {
                        Idempotency::Idempotent => {}
                        Idempotency::NotIdempotent => panic!("rule 2: {id:?} may have run and is unsafe"),
                        Idempotency::WithKey { scope: group, remembered_for: window } => {
                            assert!(now - sent <= window.as_micros(), "rule 2: {id:?} past its window");
                            assert!(match group {
                                DeduplicationScope::All => true,
                                DeduplicationScope::Zone => zone(first) == zone(server),
                                DeduplicationScope::Cell => cell(first) == cell(server),
                            });
                        }
                    }
                }
                owed.attempts += 1;
                assert!(owed.attempts <= MAX_ATTEMPTS);
                let end = match timeout.as_micros() {
                    0 => owed.deadline,
                    cap => owed.deadline.min(now + cap),
                };
                owed.out = Some((server, end, now));
            }
            Action::Reject { id, .. } => {
                let owed = &self.owed[&id];
                let may_have_run = owed.may_have_run.is_some() || owed.out.is_some();
                let all = matches!(
                    self.effect,
                    Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
                );
                assert!(all || !may_have_run, "rule 2: {id:?} refused, but may have run");
                self.answer(id);
            }
            Action::Fail { id } => self.answer(id),
            Action::CancelAttempt { id, attempt } => assert!(attempt < self.owed[&id].attempts),
            Action::SetTimer { token, due_at: at } => self.timers.push((at.as_micros(), token)),
            Action::Migrate { id } => assert!(self.owed[&id].established),
            Action::CheckHealth { server } => assert!(server.0 < SERVERS),
            Action::RequestPermit { server } => assert!(server.0 < SERVERS, "of a server that was listed"),
            Action::Subscribe => {}
        }
    }

    /// A final answer by the module.
    fn answer(&mut self, id: RequestId) {
        self.answers += 1;
        let owed = self.owed.get_mut(&id).expect("a request this relay was given");
        assert!(!owed.over, "rule 1: {id:?} answered twice");
        assert!(self.now <= owed.deadline + SLACK, "rule 1: {id:?} answered late");
        owed.over = true;
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) {
        let owed = self.owed.get_mut(&id).expect("known");
        let Some((server, _, sent)) = owed.out.take() else { return };
        if !outcome.proves_not_executed() && owed.may_have_run.is_none() {
            owed.may_have_run = Some((server, sent));
        }
        if owed.established || outcome == Outcome::Ok {
            owed.over = true;
        }
        let (attempt, request_over) = (owed.attempts - 1, owed.over);
        self.send(Event::AttemptEnded { id, attempt, outcome, request_done: request_over });
    }

    /// The `pick`-th attempt that is out, counted around.
    fn out(&self, pick: u32) -> Option<RequestId> {
        let out: Vec<_> = self.owed.iter().filter(|(_, o)| o.out.is_some()).map(|(&id, _)| id).collect();
        (!out.is_empty()).then(|| out[pick as usize % out.len()])
    }

    fn step(&mut self, kind: u32, pick: u32) {
        self.now += STEP;
        let due: Vec<_> = self.timers.iter().filter(|(at, _)| *at <= self.now).copied().collect();
        self.timers.retain(|(at, _)| *at > self.now);
        let late = |o: &Owed, now| !o.established && o.out.is_some_and(|(_, end, _)| end <= now);
        let late: Vec<_> = self.owed.iter().filter(|(_, o)| late(o, self.now)).map(|(&id, _)| id).collect();
        for id in late {
            self.end(id, Outcome::TimedOut);
        }
        for (_, token) in due {
            self.send(Event::Timer(token));
        }
        let server = ServerId(pick % SERVERS);
        match kind {
            0..=5 => {
                let ttl = [0, 1, 40_000, 200_000, 600_000][pick as usize % 5];
                let request = self.request(ttl);
                self.send(Event::Request(request));
            }
            6..=9 => {
                if let Some(id) = self.out(pick) {
                    let outcomes = [
                        Outcome::Failed,
                        Outcome::QueueFull,
                        Outcome::ConnectError,
                        Outcome::Reset,
                        Outcome::Cancelled,
                        Outcome::Ok,
                    ];
                    self.end(id, outcomes[(pick / 7) as usize % outcomes.len()]);
                }
            }
            10 | 11 => {
                if let Some(id) = self.out(pick) {
                    let owed = self.owed.get_mut(&id).expect("known");
                    if !owed.established && !owed.over {
                        (owed.established, owed.over) = (true, true);
                        let attempt = owed.attempts - 1;
                        self.send(Event::Established { id, attempt, elapsed: Span::from_micros(STEP) });
                    }
                }
            }
            12 | 13 => {
                let states = [ServerState::Ready, ServerState::Draining, ServerState::Removed];
                self.state[server.0 as usize] = states[(pick / 7) as usize % 3];
                let started = (pick % 2 == 0).then(|| Time::from_micros(self.now));
                let entries = vec![self.listing(server, started)];
                self.send(Event::EndpointList { update: ListUpdate::Delta, entries });
            }
            14 => {
                let open = self.owed.iter().find(|(_, o)| !o.over).map(|(&id, _)| id);
                if let Some(id) = open {
                    self.owed.get_mut(&id).expect("known").over = true;
                    self.send(Event::ClientLeft { id });
                }
            }
            15 => {
                let takes = Span::from_micros(i64::from(pick % 100) * 1_000);
                self.send(Event::SlowResponses { server, response_time: takes });
            }
            16 => {
                let value = [f64::NAN, -1.0, 0.2, 1e300, f64::INFINITY][pick as usize % 5];
                let report = Some(LoadReport { load_ratio: Some(value), utilisation: None });
                self.send(Event::HealthChecked {
                    server,
                    healthy: pick % 3 > 0,
                    report: report.filter(|_| pick % 4 > 0),
                });
                self.send(Event::LoadChanged { id: RequestId(pick % 50), load: value });
            }
            17 => {
                let request = self.request(0);
                let id = request.id;
                let owed = self.owed.get_mut(&id).expect("just made");
                (owed.over, owed.established, owed.attempts) = (true, true, 1);
                owed.out = Some((server, i64::MAX, self.now));
                self.send(Event::ExistingConnection { request, server });
            }
            18 => self.send(Event::EndpointList { update: ListUpdate::WatchFailed, entries: Vec::new() }),
            _ => {
                let (until, lacks) = (Time::from_micros(self.now + 250_000), pick % 3 == 0);
                let right = match pick % 4 {
                    0 => PermitReply::NoReply,
                    1 => PermitReply::Denied {
                        retry_after: Span::from_micros(90_000),
                        below_fair_share: lacks,
                    },
                    _ => PermitReply::Granted { expires_at: until, below_fair_share: lacks },
                };
                self.send(Event::PermitReply { server: ServerId(pick % 8), reply: right });
            }
        }
        for (id, owed) in &self.owed {
            let held_to = owed.deadline + SLACK + STEP;
            assert!(owed.over || self.now <= held_to, "rule 1: {id:?} never answered");
        }
    }

    /// Ends all that is out and looks whether the counts return to nothing.
    fn settle(&mut self) {
        for _ in 0..400 {
            self.step(14, 0);
            while let Some(id) = self.out(0) {
                self.end(id, Outcome::Cancelled);
            }
        }
        for server in 0..SERVERS {
            assert_eq!(self.module.open_connections(ServerId(server)), 0, "a count has leaked");
        }
    }
}

fn holds(effect: Idempotency) {
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = vec((0u32..20, any::<u32>()), 50..400);
    let mut seen = (0, 0);
    TestRunner::new_with_rng(config, rng)
        .run(&(any::<u64>(), steps), |(seed, steps)| {
            let mut world = World::new(effect, seed);
            for (kind, pick) in steps {
                world.step(kind, pick);
            }
            world.settle();
            assert!(world.attempts > 0);
            Ok(())
        })
        .unwrap_or_else(|failure| panic!("{failure}"));
    // The sequences must reach attempts and answers, or nothing above was tested.
    let mut world = World::new(effect, 1);
    for step in 0..500u32 {
        world.step(step % 20, step.wrapping_mul(2_654_435_761));
    }
    seen.0 += world.attempts;
    seen.1 += world.answers;
    assert!(seen.0 > 30 && seen.1 > 10, "{seen:?}");
}

fn keyed(group: DeduplicationScope) -> Idempotency {
    Idempotency::WithKey { scope: group, remembered_for: Span::from_micros(WINDOW) }
}

#[test]
fn rules_hold_for_safe_requests() {
    holds(Idempotency::Idempotent);
}

#[test]
fn rules_hold_for_keyed_requests_of_all_servers() {
    holds(keyed(DeduplicationScope::All));
}

#[test]
fn rules_hold_for_keyed_requests_of_a_zone() {
    holds(keyed(DeduplicationScope::Zone));
}

#[test]
fn rules_hold_for_keyed_requests_of_a_cell() {
    holds(keyed(DeduplicationScope::Cell));
}

#[test]
fn rules_hold_for_unsafe_requests() {
    holds(Idempotency::NotIdempotent);
}
