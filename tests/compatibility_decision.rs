//! Compatibility of the decision module with recorded actions, which must stay the same byte for byte.
//!
//! A random sequence of events is generated from each seed and sent to one [`Balancer`]. A hash covers all
//! actions, and at intervals the results of all its queries. Output that differs from the recording is
//! written to the target folder for comparison.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;
use std::process::{Command, Stdio};

use ashtide::decision::slow_start::{PermitHolder, PermitSchedule, SlowStartConfig};
use ashtide::*;
use sha2::{Digest, Sha256};

/// Number of simulations, each with its own seed.
const SEEDS: u64 = 20;
/// Number of random steps in a simulation.
const STEPS: u32 = 1_200;
/// Number of steps between two hashes of all query results.
const STEPS_PER_QUERY: u32 = 20;
/// Number of steps between two checkpoints of the hash.
const STEPS_PER_CHECKPOINT: u32 = 200;
/// Number of kinds of actions, the variants of [`Action`].
const ACTION_KINDS: usize = 9;
/// Index of [`Action::CheckHealth`] among the kinds of actions.
const CHECK_HEALTH: usize = 7;

/// SplitMix64 generator. Unlike a library's generator it does not change with the version of a dependency.
struct Generator(u64);

impl Generator {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn micros_below(&mut self, limit: i64) -> i64 {
        self.below(limit as u64) as i64
    }

    fn pick<T: Copy>(&mut self, items: &[T]) -> T {
        items[self.below(items.len() as u64) as usize]
    }
}

fn span(micros: i64) -> Span {
    Span::from_micros(micros)
}

/// Returns a request class with these latency objectives, in microseconds.
fn class(
    latency_objective: i64,
    message_latency_objective: i64,
    priority_weight: f64,
    idempotency: Idempotency,
) -> RequestClass {
    RequestClass {
        latency_objective: span(latency_objective),
        message_latency_objective: span(message_latency_objective),
        priority_weight,
        idempotency,
    }
}

/// Returns settings that vary with the seed.
fn settings(seed: u64) -> Settings {
    let with_key = |scope, window| Idempotency::WithKey { scope, remembered_for: span(window) };
    let tenants = match seed % 3 {
        0 => Vec::new(),
        1 => vec![Tenant { quota_per_s: 10.0, quota_connections: 40.0 }],
        _ => {
            let large = Tenant { quota_per_s: 500.0, quota_connections: 20_000.0 };
            vec![large.clone(), Tenant { quota_per_s: 1.0, quota_connections: 0.0 }, large]
        }
    };
    let slow_start = seed % 7 != 6;
    Settings {
        gateways: [3, 30, 1, 100][(seed / 2 % 4) as usize],
        gateway_id: GatewayId((seed % 2) as u32 * u32::from(seed / 2 % 4 != 2)),
        zone: ZoneId((seed % 3) as u32),
        discovery: if (seed / 3).is_multiple_of(2) {
            DiscoveryMode::Pushed
        } else {
            DiscoveryMode::OnRequest
        },
        weights: [WeightMode::Off, WeightMode::Nominal, WeightMode::Live][(seed % 3) as usize],
        classes: vec![
            class(500_000, 100_000, 1.0, Idempotency::Idempotent),
            class(200_000, 100_000, 3.5, with_key(DeduplicationScope::All, 3_000_000)),
            class(300_000, 150_000, 0.5, with_key(DeduplicationScope::Zone, 900_000)),
            class(300_000, 400_000, 2.0, with_key(DeduplicationScope::Cell, 5_000_000)),
            class(800_000, 250_000, 9.0, Idempotency::NotIdempotent),
        ],
        tenants,
        priority_scales_with_load: seed % 4 == 1,
        batch_interval: span(5_000),
        prices: Prices {
            cross_zone: if seed.is_multiple_of(4) { 0.0 } else { 0.1 },
            health_check: 0.001,
            migration: 0.01,
        },
        max_attempts: [3, 1, 4, 2, 6][(seed % 5) as usize],
        max_retry_after: span(if seed % 6 == 5 { 0 } else { 4_000_000 }),
        health_checks: seed.is_multiple_of(2),
        fleet_permits: seed / 2 % 2 == 1,
        cancellation: seed % 3 != 2,
        answer_slack: span(20_000),
        list_poll_limit: span(10_000_000),
        drain_grace: span(2_000_000),
        initial_capacity_share: if slow_start { 0.13 } else { 1.0 },
        warm_up_time: if slow_start {
            span([24_000_000, 8_000_000, 900_000][(seed / 3 % 3) as usize])
        } else {
            Span::ZERO
        },
        overload_factor: if slow_start { 2.5 } else { 1.0 },
        overload_window: span(2_000_000),
    }
}

/// Attempt in progress, as the simulated environment records it.
#[derive(Clone, Copy)]
struct InFlight {
    server: ServerId,
    attempt: u32,
    /// Time at which the attempt was sent, in microseconds.
    sent_at: i64,
    established: bool,
}

/// Open request, as the simulated environment records it.
#[derive(Clone, Copy, Default)]
struct OpenRequest {
    /// Number of attempts so far.
    attempts: u32,
    in_flight: Option<InFlight>,
    /// Whether the client is connected, has an answer or has left, so that the end of the attempt ends the
    /// request.
    answered: bool,
}

impl OpenRequest {
    fn is_connecting(&self) -> bool {
        self.in_flight.is_some_and(|attempt| !attempt.established)
    }

    fn is_established(&self) -> bool {
        self.in_flight.is_some_and(|attempt| attempt.established)
    }
}

/// Timer that the balancer has set.
struct Timer {
    /// Time at which the timer expires, in microseconds.
    due_at: i64,
    token: u64,
}

/// Attempt that the balancer has cancelled.
struct CancelledAttempt {
    request: u32,
    attempt: u32,
}

/// Simulated environment of one [`Balancer`].
struct Simulation {
    balancer: Balancer,
    generator: Generator,
    /// Hash of all actions and query results so far.
    digest: Sha256,
    /// Virtual time, in microseconds.
    now: i64,
    entries: Vec<EndpointEntry>,
    requests: BTreeMap<u32, OpenRequest>,
    /// Id of the newest request.
    last_id: u32,
    timers: Vec<Timer>,
    /// Servers for which a permit has been requested and not yet answered.
    permit_requests: Vec<ServerId>,
    /// Attempts whose cancellation has been requested and not yet confirmed.
    cancelled_attempts: Vec<CancelledAttempt>,
    /// Number of actions of each kind, in the order of the variants of [`Action`].
    action_counts: [u64; ACTION_KINDS],
    event_count: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let server_count = [6, 24, 220, 60, 12][(seed % 5) as usize];
        let mut generator = Generator(seed ^ 0x00a5_a5a5);
        let entries = (0..server_count)
            .map(|number| EndpointEntry {
                server: ServerId(number),
                hash_key: generator.next() as u32,
                zone: ZoneId(number % 3),
                machine_kind: KindId(number % 2),
                cell: CellId(number / 4),
                state: ServerState::Ready,
                weight: 1.0 + f64::from(number % 5) * 0.75,
                started_at: None,
            })
            .collect();
        Self {
            balancer: Balancer::new(settings(seed), seed),
            generator,
            digest: Sha256::new(),
            now: 1_000_000,
            entries,
            requests: BTreeMap::new(),
            last_id: 0,
            timers: Vec::new(),
            permit_requests: Vec::new(),
            cancelled_attempts: Vec::new(),
            action_counts: [0; ACTION_KINDS],
            event_count: 0,
        }
    }

    /// Sends an event to the balancer and handles the resulting actions.
    fn send(&mut self, event: Event) {
        self.event_count += 1;
        let mut actions = Vec::new();
        self.balancer.handle(Time::from_micros(self.now), event, &mut actions);
        self.digest.update((actions.len() as u32).to_le_bytes());
        for action in actions {
            self.handle_action(&action);
        }
    }

    /// Adds an action to the hash. `kind` is the index of its variant in [`Action`].
    fn record(&mut self, kind: u8, fields: &[u64]) {
        self.action_counts[usize::from(kind)] += 1;
        self.digest.update([kind]);
        for field in fields {
            self.digest.update(field.to_le_bytes());
        }
    }

    fn handle_action(&mut self, action: &Action) {
        match *action {
            Action::Attempt { id, server, timeout } => {
                self.record(0, &[id.0.into(), server.0.into(), timeout.as_micros() as u64]);
                let sent_at = self.now;
                let request = self.requests.get_mut(&id.0).expect("an attempt is for an open request");
                let attempt = request.attempts;
                request.in_flight = Some(InFlight { server, attempt, sent_at, established: false });
                request.attempts += 1;
            }
            Action::Reject { id, retry_after } => {
                self.record(1, &[id.0.into(), retry_after.as_micros() as u64]);
                self.mark_answered(id);
            }
            Action::Fail { id } => {
                self.record(2, &[id.0.into()]);
                self.mark_answered(id);
            }
            Action::CancelAttempt { id, attempt } => {
                self.record(3, &[id.0.into(), attempt.into()]);
                self.cancelled_attempts.push(CancelledAttempt { request: id.0, attempt });
            }
            Action::Migrate { id } => self.record(4, &[id.0.into()]),
            Action::SetTimer { token, due_at } => {
                self.record(5, &[token.0, due_at.as_micros() as u64]);
                self.timers.push(Timer { due_at: due_at.as_micros(), token: token.0 });
            }
            Action::RequestPermit { server } => {
                self.record(6, &[server.0.into()]);
                self.permit_requests.push(server);
            }
            Action::CheckHealth { server } => self.record(7, &[server.0.into()]),
            Action::Subscribe => self.record(8, &[]),
        }
    }

    fn mark_answered(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id.0) {
            request.answered = true;
            if request.in_flight.is_none() {
                self.requests.remove(&id.0);
            }
        }
    }

    /// Sends the events of all timers that are due, the earliest first.
    fn fire_timers(&mut self) {
        loop {
            let now = self.now;
            let due = self.timers.iter().enumerate().filter(|(_, timer)| timer.due_at <= now);
            let Some((index, _)) = due.min_by_key(|(index, timer)| (timer.due_at, *index)) else { return };
            let Timer { token, .. } = self.timers.remove(index);
            self.send(Event::Timer(TimerToken(token)));
        }
    }

    fn random_server(&mut self) -> ServerId {
        // Half of the events about single servers concern three servers, so that the events of one server
        // accumulate.
        let count = self.entries.len() as u64;
        let limit = if self.generator.chance(50) { 3 } else { count };
        ServerId(self.generator.below(limit) as u32)
    }

    /// Returns a random open request that matches the predicate, with its id.
    fn random_request(&mut self, matches: impl Fn(&OpenRequest) -> bool) -> Option<(u32, OpenRequest)> {
        let open = self.requests.iter().filter(|(_, request)| matches(request));
        let candidates: Vec<(u32, OpenRequest)> = open.map(|(&id, &request)| (id, request)).collect();
        if candidates.is_empty() { None } else { Some(self.generator.pick(&candidates)) }
    }

    fn new_request(&mut self) -> Request {
        self.last_id += 1;
        let generator = &mut self.generator;
        Request {
            id: RequestId(self.last_id),
            class: ClassId(generator.below(5) as u32),
            tenant: if generator.chance(30) { Some(TenantId(0)) } else { None },
            group: if generator.chance(40) { Some(GroupId(generator.below(9) as u32)) } else { None },
            time_left: span(if generator.chance(2) {
                0
            } else {
                100_000 + generator.micros_below(3_000_000)
            }),
            load: match generator.below(5) {
                0 => None,
                1 => Some(-1.0),
                2 => Some(f64::NAN),
                _ => Some(0.001 * (1 + generator.below(50)) as f64),
            },
        }
    }

    fn send_request(&mut self) {
        let request = self.new_request();
        self.requests.insert(request.id.0, OpenRequest::default());
        self.send(Event::Request(request));
    }

    /// Changes up to three endpoint entries and sends an endpoint list of this kind.
    fn send_endpoint_list(&mut self, update: ListUpdate) {
        let mut changed = Vec::new();
        let count = self.entries.len() as u64;
        for _ in 0..1 + self.generator.below(3) {
            let index = self.generator.below(count) as usize;
            let state = self.generator.pick(&[
                ServerState::Ready,
                ServerState::Ready,
                ServerState::Draining,
                ServerState::Removed,
            ]);
            let restarted = self.generator.chance(40);
            let age = self.generator.micros_below(400_000);
            let entry = &mut self.entries[index];
            entry.state = state;
            if restarted {
                entry.started_at = Some(Time::from_micros(self.now - age));
            }
            if self.generator.chance(5) {
                self.entries[index].weight =
                    self.generator.pick(&[0.0, f64::NAN, f64::INFINITY, -2.0, 0.5, 8.0]);
            }
            changed.push(self.entries[index].clone());
        }
        let entries = match update {
            ListUpdate::WatchFailed => Vec::new(),
            ListUpdate::Delta => changed,
            ListUpdate::Snapshot | ListUpdate::Cached => {
                let omitted = self.generator.below(3 * count);
                let listed = self.entries.iter().enumerate().filter(|(index, _)| *index as u64 != omitted);
                listed.map(|(_, entry)| entry.clone()).collect()
            }
        };
        self.send(Event::EndpointList { update, entries });
    }

    fn establish_connection(&mut self) {
        let Some((id, request)) = self.random_request(OpenRequest::is_connecting) else { return };
        let in_flight = request.in_flight.expect("a connecting request has an attempt");
        let elapsed = if self.generator.chance(70) {
            self.generator.micros_below(90_000)
        } else {
            self.now - in_flight.sent_at
        };
        let request = self.requests.get_mut(&id).expect("the request is open");
        request.answered = true;
        request.in_flight = Some(InFlight { established: true, ..in_flight });
        let report_unknown_attempt = self.generator.chance(3);
        if report_unknown_attempt {
            self.send(Event::Established {
                id: RequestId(id),
                attempt: in_flight.attempt + 1,
                elapsed: span(elapsed),
            });
        }
        self.send(Event::Established {
            id: RequestId(id),
            attempt: in_flight.attempt,
            elapsed: span(elapsed),
        });
    }

    /// Ends the attempt of a request, and the request too if it is answered or `request_done` is set.
    fn end_attempt(&mut self, id: u32, outcome: Outcome, request_done: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(in_flight) = request.in_flight.take() else { return };
        let request_done = request.answered || request_done;
        if request_done {
            self.requests.remove(&id);
        }
        let attempt = in_flight.attempt;
        self.send(Event::AttemptEnded { id: RequestId(id), attempt, outcome, request_done });
    }

    fn end_random_attempt(&mut self) {
        let Some((id, _)) = self.random_request(OpenRequest::is_connecting) else { return };
        let outcome = self.generator.pick(&[
            Outcome::Failed,
            Outcome::QueueFull,
            Outcome::TimedOut,
            Outcome::ConnectError,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::NotSent,
            Outcome::LocalFailure,
            Outcome::Ok,
        ]);
        let request_done = self.generator.chance(10);
        self.end_attempt(id, outcome, request_done);
    }

    fn end_random_connection(&mut self) {
        let Some((id, _)) = self.random_request(OpenRequest::is_established) else { return };
        let outcome = self.generator.pick(&[Outcome::Ok, Outcome::Ok, Outcome::Reset, Outcome::Failed]);
        self.end_attempt(id, outcome, true);
    }

    /// Resets all connections of a server, one after the other.
    fn reset_server_connections(&mut self) {
        let server = self.random_server();
        let has_connection = |request: &OpenRequest| {
            request.in_flight.is_some_and(|attempt| attempt.established && attempt.server == server)
        };
        let pause = self.generator.pick(&[1_000, 100_000, 500_000, 900_000]);
        let connected = self.requests.iter().filter(|(_, request)| has_connection(request));
        let ids: Vec<u32> = connected.map(|(&id, _)| id).collect();
        for id in ids {
            self.now += pause;
            self.end_attempt(id, Outcome::Reset, true);
        }
    }

    fn send_client_left(&mut self) {
        let Some((id, request)) = self.random_request(|request| !request.answered) else { return };
        if request.in_flight.is_none() {
            self.requests.remove(&id);
        } else {
            self.requests.get_mut(&id).expect("the request is open").answered = true;
        }
        self.send(Event::ClientLeft { id: RequestId(id) });
    }

    /// Ends the cancelled attempts that are still in progress.
    fn finish_cancellations(&mut self) {
        for cancelled in std::mem::take(&mut self.cancelled_attempts) {
            let in_flight = self.requests.get(&cancelled.request).and_then(|request| request.in_flight);
            if in_flight.is_some_and(|current| current.attempt == cancelled.attempt) {
                let outcome = self.generator.pick(&[Outcome::Cancelled, Outcome::TimedOut, Outcome::NotSent]);
                self.end_attempt(cancelled.request, outcome, true);
            }
        }
    }

    fn reply_to_permit_request(&mut self) {
        let unrequested = self.generator.chance(3);
        let server = if self.permit_requests.is_empty() || unrequested {
            if !unrequested {
                return;
            }
            self.random_server()
        } else {
            self.permit_requests.remove(0)
        };
        let below_fair_share = self.generator.chance(50);
        let reply = match self.generator.below(8) {
            0..=3 => {
                let expires_at =
                    Time::from_micros(self.now + self.generator.micros_below(1_500_000) - 50_000);
                PermitReply::Granted { expires_at, below_fair_share }
            }
            4..=6 => PermitReply::Denied {
                retry_after: span(self.generator.micros_below(600_000)),
                below_fair_share,
            },
            _ => PermitReply::NoReply,
        };
        self.send(Event::PermitReply { server, reply });
    }

    fn send_sibling_state(&mut self) {
        let server = self.random_server();
        let state = SiblingState {
            open_connections: self.generator.below(6) as u32,
            recovery_tokens: self.generator.below(300) as f64 / 100.0,
            last_used_permit: self.generator.below(400),
        };
        self.send(Event::SiblingState { server, state });
    }

    fn send_slow_responses(&mut self) {
        let server = self.random_server();
        let response_time = span(self.generator.micros_below(130_000));
        self.send(Event::SlowResponses { server, response_time });
    }

    fn send_existing_connection(&mut self) {
        let request = self.new_request();
        let server = self.random_server();
        let in_flight = InFlight { server, attempt: 0, sent_at: self.now, established: true };
        let open_request = OpenRequest { attempts: 1, in_flight: Some(in_flight), answered: true };
        self.requests.insert(request.id.0, open_request);
        self.send(Event::ExistingConnection { request, server });
    }

    /// Sends an event about an unknown server or request, or the result of a health check that was not
    /// requested.
    fn send_unexpected_event(&mut self) {
        let unknown_server = ServerId(self.entries.len() as u32 + 50);
        let id = RequestId(4_000_000_000);
        match self.generator.below(8) {
            0 => self.send(Event::ServerSilent { server: unknown_server }),
            1 => self.send(Event::Uncordoned { server: unknown_server }),
            2 => self.send(Event::SiblingState { server: unknown_server, state: SiblingState::default() }),
            3 => self.send(Event::ClientLeft { id }),
            4 => self.send(Event::AttemptEnded { id, attempt: 0, outcome: Outcome::Ok, request_done: true }),
            5 => self.send(Event::Established { id, attempt: 0, elapsed: Span::ZERO }),
            6 => self.send(Event::HealthChecked {
                server: ServerId(0),
                healthy: true,
                report: Some(LoadReport::default()),
            }),
            _ => self.send(Event::LoadChanged { id, load: 1.0 }),
        }
    }

    /// Advances the virtual time and sends one random event.
    fn step(&mut self) {
        let elapsed = match self.generator.below(100) {
            0 => 30_000_000,
            1..=4 => self.generator.micros_below(3_000_000),
            5..=39 => 0,
            _ => self.generator.micros_below(40_000),
        };
        self.now += elapsed;
        self.fire_timers();
        self.finish_cancellations();
        match self.generator.below(1000) {
            0..=379 => self.send_request(),
            380..=609 => self.establish_connection(),
            610..=679 => self.end_random_attempt(),
            680..=759 => self.end_random_connection(),
            760..=784 => self.reset_server_connections(),
            785..=804 => self.send_client_left(),
            805..=824 => self.send_endpoint_list(ListUpdate::Delta),
            825..=829 => self.send_endpoint_list(ListUpdate::Snapshot),
            830..=832 => self.send_endpoint_list(ListUpdate::Cached),
            833..=839 => self.send_endpoint_list(ListUpdate::WatchFailed),
            840..=899 => self.reply_to_permit_request(),
            900..=914 => self.send_sibling_state(),
            915..=939 => self.send_slow_responses(),
            940..=944 => {
                let server = self.random_server();
                self.send(Event::ServerSilent { server });
            }
            945..=959 => {
                let server = self.random_server();
                self.send(Event::Uncordoned { server });
            }
            960..=974 => self.send_existing_connection(),
            975..=989 => {
                let Some((id, _)) = self.random_request(|_| true) else { return };
                let load = self.generator.pick(&[0.5, 0.0, f64::INFINITY, 0.02, 0.003]);
                self.send(Event::LoadChanged { id: RequestId(id), load });
            }
            _ => self.send_unexpected_event(),
        }
    }

    /// Adds the results of all the balancer's queries to the hash, without sending an event.
    fn hash_queries(&mut self) {
        let now = Time::from_micros(self.now);
        for number in 0..self.entries.len() as u32 + 2 {
            let server = ServerId(number);
            let SiblingState { open_connections, recovery_tokens, last_used_permit } =
                self.balancer.sibling_state(server);
            self.digest.update(self.balancer.open_connections(server).to_le_bytes());
            self.digest.update([u8::from(self.balancer.is_avoided(now, server))]);
            self.digest.update(open_connections.to_le_bytes());
            self.digest.update(recovery_tokens.to_bits().to_le_bytes());
            self.digest.update(last_used_permit.to_le_bytes());
        }
        for id in self.requests.keys().copied().chain([0, 4_000_000_000]) {
            let id = RequestId(id);
            let answers = [self.balancer.is_safe_to_retry(id), self.balancer.may_begin_attempt(now, id)];
            self.digest.update(answers.map(u8::from));
        }
        self.digest.update(self.balancer.fleet_connections_when_full(now).to_bits().to_le_bytes());
    }

    /// Runs all steps. Returns the line of the recording for this seed, and the number of actions of each
    /// kind.
    fn run(mut self, seed: u64) -> (String, [u64; ACTION_KINDS]) {
        let first_update = self.generator.pick(&[ListUpdate::Cached, ListUpdate::Snapshot]);
        self.send_endpoint_list(first_update);
        let mut checkpoints = String::new();
        for step in 1..=STEPS {
            self.step();
            if step % STEPS_PER_QUERY == 0 {
                self.hash_queries();
            }
            if step % STEPS_PER_CHECKPOINT == 0 {
                let digest = hex(&self.digest.clone().finalize()[..4]);
                write!(checkpoints, " {digest}").expect("writing to a string does not fail");
            }
        }
        let digest = hex(&self.digest.finalize());
        let counts = self.action_counts.map(|count| count.to_string()).join(",");
        let line = format!("seed={seed} events={} actions={counts}{checkpoints} {digest}", self.event_count);
        (line, self.action_counts)
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Formats the bits of a number, so that a comparison is exact.
fn bits(value: f64) -> String {
    format!("{:016x}", value.to_bits())
}

/// Asserts that `actual` equals the recorded file. If it differs, `actual` is written to the target folder.
fn assert_recorded(file: &str, actual: &str) {
    let fixtures = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility/decision");
    let recorded = std::fs::read_to_string(fixtures.join(file)).unwrap_or_default();
    if recorded == actual {
        return;
    }
    let actual_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("decision-{file}"));
    std::fs::write(&actual_file, actual).expect("writing to the target folder");
    let differing = recorded.lines().zip(actual.lines()).find(|(old_line, new_line)| old_line != new_line);
    panic!(
        "{file} differs from the recording, the actual text is in {}; first difference: {differing:?}",
        actual_file.display()
    );
}

#[test]
fn actions_for_random_events_match_the_recording() {
    let mut lines = String::new();
    let mut total_counts = [0; ACTION_KINDS];
    for seed in 0..SEEDS {
        let (line, counts) = Simulation::new(seed).run(seed);
        writeln!(lines, "{line}").expect("writing to a string does not fail");
        for (total, count) in total_counts.iter_mut().zip(counts) {
            *total += count;
        }
    }
    assert_recorded("actions.txt", &lines);
    // The decision module requests all kinds of actions except health checks.
    for (kind, &count) in total_counts.iter().enumerate() {
        assert_eq!(count > 0, kind != CHECK_HEALTH, "number of actions of kind {kind}: {count}");
    }
}

/// Returns settings with different slow start parameters, each with and without fleet permits.
fn slow_start_settings() -> Vec<Settings> {
    let base = settings(0);
    let mut all = Vec::new();
    for (overload_factor, overload_window, initial_capacity_share, warm_up_time) in [
        (2.5, 2_000_000, 0.13, 24_000_000),
        (1.0, 1_000_000, 1.0, 0),
        (3.3, 300_000, 0.01, 1_000_000),
        (0.5, 60_000_000, 0.5, 8_000_000),
    ] {
        for fleet_permits in [false, true] {
            all.push(Settings {
                gateways: 30,
                gateway_id: GatewayId(7),
                fleet_permits,
                overload_factor,
                overload_window: span(overload_window),
                initial_capacity_share,
                warm_up_time: span(warm_up_time),
                ..base.clone()
            });
        }
    }
    all
}

#[test]
fn permits_of_a_warming_server_match_the_recording() {
    let mut lines = String::new();
    for (index, settings) in slow_start_settings().iter().enumerate() {
        let config = SlowStartConfig::new(settings);
        let ungranted = PermitSchedule::ungranted_permits(settings);
        let granted = config.granted_permits(span(400_000));
        for age in [0, 1, 100_000, 1_000_000, 5_500_000, 24_000_000, 90_000_000] {
            for full_capacity in [0.0, 0.4, 3.0, 54.0, 1e6, 1e300] {
                let age = span(age);
                write!(lines, "settings={index} age={} full={full_capacity:e}", age.as_micros())
                    .expect("writing to a string does not fail");
                for value in [
                    config.allowed_requests(age, full_capacity),
                    config.overload_threshold(age, full_capacity),
                    ungranted.permits_issued(age, full_capacity),
                    ungranted.permits_expired(age, full_capacity),
                    granted.permits_issued(age, full_capacity),
                    granted.permits_expired(age, full_capacity),
                ] {
                    write!(lines, " {}", bits(value)).expect("writing to a string does not fail");
                }
                let started_at = Time::from_micros(3_000_000);
                let now = started_at + age;
                for (key, holder_started_at, used_permits) in
                    [(0, 0, 0), (0x5be2_a07c, 3_500_000, 2), (u32::MAX, 9_000_000, 40)]
                {
                    let holder = PermitHolder::for_gateway(
                        settings,
                        key,
                        Time::from_micros(holder_started_at),
                        used_permits,
                    );
                    for schedule in [ungranted, granted] {
                        let permit = match schedule.next_permit(now, started_at, full_capacity, holder) {
                            Ok(permit) => format!("ok:{permit}"),
                            Err(wait) => format!("wait:{}", wait.as_micros()),
                        };
                        write!(lines, " {}/{}:{permit}", holder.index, holder.holders)
                            .expect("writing to a string does not fail");
                    }
                }
                let reports = [
                    (Some(started_at), 0),
                    (Some(started_at), 1),
                    (Some(started_at), 20),
                    (None, 1),
                    (None, 0),
                ];
                for (started_at, permit) in reports {
                    write!(
                        lines,
                        " {}",
                        ungranted.accept_reported_permit(now, started_at, full_capacity, permit)
                    )
                    .expect("writing to a string does not fail");
                }
                lines.push('\n');
            }
        }
    }
    assert_recorded("slow_start.txt", &lines);
}

#[test]
fn group_hashes_match_the_recording() {
    let mut lines = String::new();
    for group in [0, 1, 77, u32::MAX] {
        for key in [0, 1, 0x5be2_a07c, u32::MAX] {
            for round in [0, 1, 6, 11] {
                let hash = GroupId(group).rendezvous_hash(key, round);
                writeln!(lines, "{group} {key} {round} {hash:016x}")
                    .expect("writing to a string does not fail");
            }
        }
    }
    assert_recorded("group_hashes.txt", &lines);
}

/// Settings of the simulator. `DISCOVERY` is a placeholder for the discovery mode.
const SETTINGS_JSON: &str = concat!(
    r#"{"azs":["east","west"],"balancers":2,"zone":"east","discovery":"DISCOVERY","tick":0.005,"#,
    r#""classes":[{"name":"view","aim":0.5,"deadline":2.0,"effect":"pure","worth":1.0},"#,
    r#"{"name":"edit","aim":0.3,"worth":2.0,"effect":"token","group":"zone","keyTtl":0.4},"#,
    r#"{"name":"pay","aim":0.3,"worth":4.0,"effect":"side_effect"}],"#,
    r#""limits":{"maxAttempts":3,"cancelling":true,"retryAfter":true,"maxRetryAfter":3},"weights":"nominal","#,
    r#""familyInfo":{"messageAim":[0.1,0.1,0.1]},"valueBy":"work","#,
    r#""prices":{"crossZone":0.1},"rules":{"answerSlack":0.02,"warmWithin":8.0,"coldFrom":0.3,"#,
    r#""fallMultiple":2.5,"overloadFor":1.0},"customers":null,"shapes":["fast"]}"#
);

/// Runs the adapter and returns its output, its exit code and the line number of its error. The error's
/// wording may change.
fn run_adapter(input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ashtide-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starting the adapter");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // The adapter exits at an invalid line, so that the write may fail on a closed pipe. The tests check the
    // exit code.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let output = child.wait_with_output().expect("waiting for the adapter to exit");
    let stdout = String::from_utf8(output.stdout).expect("standard output is UTF-8");
    let error = String::from_utf8(output.stderr).expect("standard error is UTF-8");
    let program_and_line: Vec<&str> = error.split(": ").take(2).collect();
    format!("{stdout}exit {:?}\n{}\n", output.status.code(), program_and_line.join(": "))
}

/// Returns the lines that start gateway 3 and send it an endpoint list.
fn start_lines(discovery: &str) -> String {
    let settings = SETTINGS_JSON.replace("DISCOVERY", discovery);
    let mut lines = format!("START relayId=3 initSeed=9 facts={settings}\nDIRECTORY slot=4 entries=4\n");
    lines += "ROW backend=s1 rackZone=east model=fast cluster=0 state=on size=1\n";
    lines += "ROW backend=s2 rackZone=west model=fast cluster=1 state=on size=2.5 startTime=0\n";
    lines += "ROW backend=s3\nROW backend=s4 state=fading startTime=0.5\n";
    lines + "DISCOVERY relayId=3 how=stale_copy epoch=1 slot=4\n"
}

/// Returns an input of several batches with every kind of line.
fn input_with_every_line() -> String {
    let mut input = String::new();
    let mut batch = |clock: f64, lines: &str| input += &format!("TURN simTime={clock}\n{lines}EOB\n");
    batch(5.0, &start_lines("onDemand"));
    for step in 0..40_u32 {
        let clock = 5.1 + f64::from(step) * 0.05;
        let band = ["view", "edit", "pay"][(step / 2 % 3) as usize];
        let mut lines =
            format!("QUERY relayId=3 opId={step} ttl=1.5 band={band} room=r{} workHint=0.02\n", step % 3);
        if step % 2 == 0 {
            lines += &format!("UNDER_WAY relayId=3 opId={step} trial=0 backend=s1 delaySeen=0.04\n");
        }
        let outcomes =
            ["Failed", "QueueFull", "TimedOut", "ConnectError", "ResetByPeer", "Canceled", "Ignored", "Ok"];
        let outcome = outcomes[(step % 8) as usize];
        if step % 2 == 1 {
            lines += &format!("RESULT relayId=3 opId={step} verdict={outcome} backend=s1 trial=0 noMore=0\n");
        }
        batch(clock, &lines);
    }
    batch(9.0, "UPDATE_OF relayId=3 opId=2 trial=0 backend=s1 what=2 amount=90000\nGONE relayId=3 opId=5\n");
    batch(
        9.1,
        "UPDATE_OF relayId=3 opId=2 trial=0 backend=s2 what=1 amount=9000\nDISCOVERY relayId=3 how=broken\n",
    );
    batch(9.2, "ALARM relayId=3 handle=0\nALARM relayId=3 handle=1\nALARM relayId=3 handle=7\n");
    batch(
        9.3,
        "EXISTING relayId=3 opId=900 ttl=1 band=view backend=s3 owner=nobody\nALARM relayId=3 handle=41\n",
    );
    batch(9.4, "SAMPLED relayId=3 backend=s1 verdict=Ok delaySeen=1 healthInfo=x0:0.5,cpu_share:0.2,odd:1\n");
    let list_update = "DIRECTORY slot=0 entries=1\nROW backend=s1 state=off\nDISCOVERY relayId=3 how=patch epoch=2 slot=0\n";
    batch(9.5, list_update);
    batch(
        9.6,
        "QUERY relayId=3 opId=901 ttl=0 band=view\nMAIL relayId=3 author=1 body=00ff\nSHUTDOWN relayId=3\n",
    );
    input
}

#[test]
fn adapter_answers_match_the_recording() {
    let started = format!("TURN simTime=1\n{}EOB\n", start_lines("pushed"));
    let in_batch = |lines: &str| format!("{started}TURN simTime=2\n{lines}EOB\n");
    let inputs = [
        input_with_every_line(),
        "nonsense\n".to_owned(),
        in_batch("QUERY relayId=9 opId=1 ttl=1 band=view\n"),
        in_batch("WHATEVER relayId=3\n"),
        in_batch("QUERY relayId=3 opId=x ttl=1 band=view\n"),
        in_batch("QUERY relayId=3 opId=4294967296 ttl=1 band=view\n"),
        in_batch("QUERY relayId=3 opId=1 ttl=abc band=view\n"),
        in_batch("QUERY relayId=3 opId=1 ttl=1 band=unknown\n"),
        in_batch("QUERY relayId=3 opId=1 ttl=1\n"),
        in_batch("QUERY relayId=3 opId\n"),
        in_batch("RESULT relayId=3 opId=1 verdict=Odd backend=s1 trial=0\n"),
        in_batch("RESULT relayId=3 opId=1 verdict=Ok backend=s1 trial=0 noMore=2\n"),
        in_batch("MAIL relayId=3 author=1 body=0g\n"),
        in_batch("MAIL relayId=3 author=1 body=000\n"),
        in_batch("DISCOVERY relayId=3 how=whole epoch=3 slot=7\n"),
        in_batch("DISCOVERY relayId=3 how=odd epoch=3 slot=4\n"),
        in_batch("SAMPLED relayId=3 backend=s1 verdict=Ok healthInfo=x0\n"),
        in_batch("DIRECTORY slot=0 entries=1\nROW backend=s1 state=odd\n"),
        in_batch("DIRECTORY slot=0 entries=1\nALARM relayId=3 handle=0\n"),
        "TURN simTime=1\nSTART relayId=0 initSeed=1 facts={\"zone\":\nEOB\n".to_owned(),
        "TURN simTime=inf\nEOB\n".to_owned(),
        "TURN simTime=1\nDIRECTORY slot=0 entries=2\nEOB\n".to_owned(),
        "TURN simTime=1\n".to_owned(),
    ];
    let mut answers = String::new();
    for (index, input) in inputs.iter().enumerate() {
        write!(answers, "-- {index}\n{}", run_adapter(input)).expect("writing to a string does not fail");
    }
    assert_recorded("adapter.txt", &answers);
}
