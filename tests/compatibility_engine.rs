//! Guards the behaviour of the engine: a hash of everything that it returns to random calls from twenty seeds
//! has to match the recorded one.
//!
//! All values are encoded by explicit matches, never by `Debug`, so that names may change but behaviour may
//! not.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::time::Duration;

use ashtide::discovery::WatchEnd;
use ashtide::engine::invariants::Violation;
use ashtide::engine::{
    Command, Engine, EstablishedCounts, FinalAnswer, HealthCheckCounts, MonotonicEpoch, RequestViolations,
    TimerEvent,
};
use ashtide::fleet::permits::DecodeError;
use ashtide::handover::ServerUsage;
use ashtide::{
    CellId, ClassId, DeduplicationScope, DiscoveryMode, EndpointEntry, GatewayId, GroupId, KindId,
    ListUpdate, Outcome, Prices, Request, RequestClass, RequestId, ServerId, ServerState, Settings, Span,
    Tenant, TenantId, Time, ZoneId,
};
use futures_util::FutureExt;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

mod paused;
use paused::with_paused_time;

const RECORDED: &str = include_str!("fixtures/compatibility/engine/runs.txt");
const SEEDS: u64 = 20;
/// Number of random calls in a run.
const STEPS: u32 = 900;
const SERVERS: u32 = 6;
const GATEWAYS: u32 = 5;
/// Step of the simulated time, in milliseconds.
const TICK_MS: i64 = 5;
/// First byte of a permit request.
const PERMIT_REQUEST_TYPE: u8 = 18;
/// First byte of a permit reply.
const PERMIT_REPLY_TYPE: u8 = 19;

/// Commands, timers and results that each occur at least once in all runs together, so that the runs cover
/// enough.
const REQUIRED_KINDS: [&str; 25] = [
    "attempt closed",
    "attempt timer",
    "decision timer",
    "failed",
    "failing server",
    "first attempt",
    "first byte denied",
    "handed off",
    "list expired",
    "list expiry timer",
    "malformed datagram",
    "migrated",
    "migration timer",
    "permit reply",
    "permit request",
    "rejected",
    "reply timer",
    "retry",
    "saturated server",
    "shutdown deadline",
    "silent server",
    "subscribe",
    "sweep timer",
    "unexpected reply",
    "unknown sender",
];

fn ms(ms: i64) -> Span {
    Span::from_micros(ms * 1_000)
}

fn settings(rng: &mut ChaCha8Rng) -> Settings {
    let with_key = |scope, window_ms| ashtide::Idempotency::WithKey { scope, remembered_for: ms(window_ms) };
    let classes = [
        (400, ashtide::Idempotency::Idempotent),
        (500, with_key(DeduplicationScope::All, 600)),
        (600, with_key(DeduplicationScope::Zone, 800)),
        (700, with_key(DeduplicationScope::Cell, 700)),
        (300, ashtide::Idempotency::NotIdempotent),
    ];
    let class = |(objective_ms, idempotency)| RequestClass {
        latency_objective: ms(objective_ms),
        message_latency_objective: ms(50),
        priority_weight: 1.0,
        idempotency,
    };
    Settings {
        gateways: GATEWAYS,
        gateway_id: GatewayId(rng.random_range(0..GATEWAYS)),
        discovery: if rng.random() { DiscoveryMode::Pushed } else { DiscoveryMode::OnRequest },
        classes: classes.into_iter().map(class).collect(),
        tenants: vec![Tenant { quota_per_s: 100.0, quota_connections: 300.0 }],
        batch_interval: ms(TICK_MS),
        prices: Prices { cross_zone: 0.014, ..Prices::default() },
        max_attempts: rng.random_range(2..=4),
        max_retry_after: ms(500),
        fleet_permits: rng.random_bool(0.7),
        cancellation: rng.random(),
        answer_slack: ms(20),
        drain_grace: ms(400),
        initial_capacity_share: 0.3,
        warm_up_time: ms(20_000),
        overload_factor: 2.5,
        overload_window: ms(2_000),
        ..Settings::for_zone(ZoneId(0))
    }
}

/// State of a client as its front end would record it.
#[derive(Clone, Copy, Default)]
struct Client {
    /// Number of the current attempt.
    attempt: Option<u32>,
    /// Whether the current attempt was allowed to send its first byte.
    first_byte_sent: bool,
    /// Whether the current attempt is an established connection.
    established: bool,
    /// Number of attempts started.
    attempts: u32,
}

/// A run of random calls from one seed, with the record of the engine's results.
struct RandomRun {
    rng: ChaCha8Rng,
    engine: Engine,
    now: Time,
    hash: Sha256,
    commands: Vec<Command>,
    /// Number of commands that the engine has returned.
    command_count: u32,
    /// Kinds of commands, timers and results that have occurred.
    kinds: BTreeSet<&'static str>,
    clients: BTreeMap<RequestId, Client>,
    next_id: u32,
    servers: Vec<EndpointEntry>,
    /// Permit requests of this gateway that have no reply yet.
    permit_requests: VecDeque<(GatewayId, Vec<u8>)>,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = Time::from_micros(1_000_000_000);
        let settings = settings(&mut rng);
        let server = |number: u32| EndpointEntry {
            hash_key: number.wrapping_mul(0x9e37_79b9) | 1,
            zone: ZoneId(number % 2),
            machine_kind: KindId(number % 3),
            cell: CellId(number / 2),
            ..EndpointEntry::ready(ServerId(number), ZoneId(0))
        };
        let mut engine =
            Engine::new(settings, rng.random(), MonotonicEpoch { time: now, instant: Instant::now() });
        if rng.random() {
            engine.enable_outcome_reports();
        }
        Self {
            rng,
            engine,
            now,
            hash: Sha256::new(),
            commands: Vec::new(),
            command_count: 0,
            kinds: BTreeSet::new(),
            clients: BTreeMap::new(),
            next_id: 0,
            servers: (0..SERVERS).map(server).collect(),
            permit_requests: VecDeque::new(),
        }
    }

    async fn run_random_calls(&mut self) -> String {
        let servers = self.servers.clone();
        self.engine.handle_list_update(self.now, ListUpdate::Snapshot, servers, &mut self.commands);
        self.record_commands();
        self.engine.renew_list_lease(self.now, &mut self.commands);
        self.record_commands();
        for step in 0..STEPS {
            if step == STEPS * 4 / 5 {
                self.shut_down();
            }
            self.make_random_call().await;
            self.record_commands();
            self.record_state();
        }
        self.advance(3_000).await;
        self.record_state();
        let digest: [u8; 32] = std::mem::take(&mut self.hash).finalize().into();
        let mut line = String::new();
        digest.iter().for_each(|byte| write!(line, "{byte:02x}").expect("written to a string"));
        line
    }

    // ---- Calls ------------------------------------------------------------------------------

    async fn make_random_call(&mut self) {
        match self.rng.random_range(0..100) {
            0..=16 => self.send_requests(),
            17..=18 => self.add_existing_connection(),
            19..=38 => self.finish_connect(),
            39..=50 => self.advance_attempt(),
            51..=55 => self.disconnect_client(),
            56..=57 => self.report_outdated_event(),
            58..=65 => (0..4).for_each(|_| self.exchange_message()),
            66..=71 => self.update_list(),
            72..=73 => self.change_cordon(),
            74 => self.change_quorum_ejections(),
            75..=76 => self.change_watch(),
            77 => self.update_sibling_state(),
            78..=84 => self.receive_datagram(),
            85 => {
                let server = self.random_server();
                let healthy = self.rng.random();
                self.engine.handle_health_check(self.now, server, healthy, &mut self.commands);
            }
            86 => {
                let span = self.rng.random_range(1_000..2_500);
                self.advance(span).await;
            }
            87 if self.rng.random_bool(0.15) => self.advance(7_000).await,
            _ => {
                let span = self.rng.random_range(5..120);
                self.advance(span).await;
            }
        }
    }

    fn random_server(&mut self) -> ServerId {
        ServerId(self.rng.random_range(0..SERVERS))
    }

    /// Returns a random client to which the predicate applies.
    fn pick_client(&mut self, predicate: impl Fn(&Client) -> bool) -> Option<(RequestId, Client)> {
        let clients = self.clients.iter().map(|(&id, &client)| (id, client));
        let matching: Vec<_> = clients.filter(|(_, client)| predicate(client)).collect();
        (!matching.is_empty()).then(|| matching[self.rng.random_range(0..matching.len())])
    }

    fn new_request(&mut self) -> Request {
        self.next_id += 1;
        Request {
            id: RequestId(self.next_id),
            class: ClassId(self.rng.random_range(0..5)),
            tenant: self.rng.random_bool(0.5).then_some(TenantId(0)),
            group: self.rng.random_bool(0.3).then(|| GroupId(self.rng.random_range(0..4))),
            time_left: ms(self.rng.random_range(200..2_500)),
            load: self.rng.random_bool(0.3).then(|| f64::from(self.rng.random_range(1..40)) / 1_000.0),
        }
    }

    fn send_requests(&mut self) {
        for _ in 0..self.rng.random_range(1..4) {
            let request = self.new_request();
            self.clients.insert(request.id, Client::default());
            self.engine.handle_request(self.now, request.clone(), &mut self.commands);
            self.record_commands();
            if self.rng.random_bool(0.05) {
                // A second request with the same id is ignored.
                self.engine.handle_request(self.now, request, &mut self.commands);
            }
        }
    }

    fn add_existing_connection(&mut self) {
        let (request, server) = (self.new_request(), self.random_server());
        let client = Client { attempt: Some(0), first_byte_sent: true, established: true, attempts: 1 };
        self.clients.insert(request.id, client);
        if self.rng.random() {
            self.engine.handle_existing_connection(self.now, request, server, &mut self.commands);
        } else {
            self.engine.adopt_connection(self.now, request, server, &mut self.commands);
        }
    }

    /// Reports that the connection of an attempt is open or has failed.
    fn finish_connect(&mut self) {
        let Some((id, client)) =
            self.pick_client(|client| client.attempt.is_some() && !client.first_byte_sent)
        else {
            return;
        };
        let attempt = client.attempt.expect("a client with an attempt");
        if self.rng.random_bool(0.1) {
            return self.end_attempt(id, attempt, Outcome::ConnectError);
        }
        if self.rng.random_bool(0.03) {
            return self.end_attempt(id, attempt, Outcome::LocalFailure);
        }
        let may_send = self.engine.may_send_first_byte(self.now, id, attempt, &mut self.commands);
        self.record_byte(u8::from(may_send));
        if may_send {
            self.clients.get_mut(&id).expect("a client").first_byte_sent = true;
        } else {
            self.kinds.insert("first byte denied");
        }
    }

    /// Ends an established connection with a probability of 0.4, or reports the outcome of an attempt in
    /// flight.
    fn advance_attempt(&mut self) {
        let Some((id, client)) =
            self.pick_client(|client| client.first_byte_sent && client.attempt.is_some())
        else {
            return;
        };
        let attempt = client.attempt.expect("a client with an attempt");
        if client.established {
            let outcomes =
                [Outcome::Ok, Outcome::Reset, Outcome::Failed, Outcome::QueueFull, Outcome::Cancelled];
            let outcome = outcomes[self.rng.random_range(0..outcomes.len())];
            if self.rng.random_bool(0.4) {
                self.end_attempt(id, attempt, outcome);
            }
            return;
        }
        match self.rng.random_range(0..10) {
            0..=5 => {
                self.clients.get_mut(&id).expect("a client").established = true;
                let is_current = self.engine.handle_established(self.now, id, attempt, &mut self.commands);
                self.record_byte(u8::from(is_current));
            }
            6 | 7 => self.end_attempt(id, attempt, Outcome::QueueFull),
            8 => self.end_attempt(id, attempt, Outcome::Reset),
            _ => self.end_attempt(id, attempt, Outcome::Failed),
        }
    }

    fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        if let Some(client) = self.clients.get_mut(&id) {
            let request_done = client.established || outcome == Outcome::Ok;
            client.attempt = None;
            client.first_byte_sent = false;
            if request_done {
                self.clients.remove(&id);
            }
        }
        self.engine.handle_attempt_end(self.now, id, attempt, outcome, &mut self.commands);
    }

    fn disconnect_client(&mut self) {
        let Some((id, _)) = self.pick_client(|_| true) else { return };
        self.clients.remove(&id);
        self.engine.handle_client_left(self.now, id, &mut self.commands);
        self.record_commands();
        self.clients.remove(&id);
    }

    /// Reports an event of an attempt that was cancelled, or of a request that has ended.
    fn report_outdated_event(&mut self) {
        let id = RequestId(self.rng.random_range(0..self.next_id + 2));
        let attempts = self.clients.get(&id).map_or(1, |client| client.attempts);
        let current = self.clients.get(&id).and_then(|client| client.attempt);
        let attempt = self.rng.random_range(0..attempts.max(1));
        if current == Some(attempt) {
            return;
        }
        match self.rng.random_range(0..4) {
            0 => self.engine.handle_attempt_end(self.now, id, attempt, Outcome::Reset, &mut self.commands),
            1 => {
                let is_current = self.engine.handle_established(self.now, id, attempt, &mut self.commands);
                self.record_byte(u8::from(is_current));
            }
            2 => {
                let may_send = self.engine.may_send_first_byte(self.now, id, attempt, &mut self.commands);
                self.record_byte(u8::from(may_send));
            }
            _ => self.engine.handle_server_message(self.now, id),
        }
    }

    fn exchange_message(&mut self) {
        let Some((id, _)) = self.pick_client(|client| client.established) else { return };
        match self.rng.random_range(0..6) {
            0..=3 => {
                let is_prompt = self.rng.random_bool(0.7);
                self.engine.handle_client_message(self.now, id, is_prompt);
            }
            4 => self.engine.handle_server_message(self.now, id),
            _ => {
                let load = f64::from(self.rng.random_range(0..20_000));
                self.engine.handle_load_report(self.now, id, load, &mut self.commands);
            }
        }
    }

    fn update_list(&mut self) {
        let index = self.rng.random_range(0..self.servers.len());
        let state = [ServerState::Ready, ServerState::Ready, ServerState::Draining, ServerState::Removed]
            [self.rng.random_range(0..4)];
        self.servers[index].state = state;
        if state == ServerState::Ready && self.rng.random() {
            self.servers[index].started_at = Some(self.now);
        }
        let listed = self.servers.iter().filter(|server| server.state != ServerState::Removed);
        let complete_list: Vec<EndpointEntry> = listed.cloned().collect();
        let (update, entries) = match self.rng.random_range(0..10) {
            0..=5 => (ListUpdate::Delta, vec![self.servers[index].clone()]),
            6 | 7 => (ListUpdate::Snapshot, complete_list),
            8 => (ListUpdate::Cached, complete_list),
            _ => (ListUpdate::WatchFailed, Vec::new()),
        };
        self.engine.handle_list_update(self.now, update, entries, &mut self.commands);
    }

    fn change_cordon(&mut self) {
        let (server, is_cordoned) = (self.random_server(), self.rng.random());
        self.engine.set_cordon(self.now, server, is_cordoned, &mut self.commands);
    }

    fn change_quorum_ejections(&mut self) {
        let count = self.rng.random_range(0..3);
        let hash_keys: BTreeSet<u32> =
            (0..count).map(|_| self.servers[self.rng.random_range(0..self.servers.len())].hash_key).collect();
        self.engine.set_quorum_ejections(self.now, &hash_keys, &mut self.commands);
    }

    fn change_watch(&mut self) {
        if self.rng.random_bool(0.5) {
            return self.engine.renew_list_lease(self.now, &mut self.commands);
        }
        let end =
            [WatchEnd::Closed, WatchEnd::ConnectionRefused, WatchEnd::Failed][self.rng.random_range(0..3)];
        let last_synced_at = self.now - ms(self.rng.random_range(0..2_500));
        self.engine.handle_watch_end(self.now, last_synced_at, end);
    }

    fn update_sibling_state(&mut self) {
        let server = self.random_server();
        let usage = ServerUsage {
            open_connections: self.rng.random_range(0..8),
            recovery_tokens: f64::from(self.rng.random_range(0..30)) / 4.0,
            last_used_permit: self.rng.random_range(0..6),
            last_granted_permit: self.rng.random_range(0..6),
        };
        self.engine.handle_sibling_state(self.now, server, usage, &mut self.commands);
    }

    fn receive_datagram(&mut self) {
        let hash_key = self.servers[self.rng.random_range(0..self.servers.len())].hash_key;
        let from = GatewayId(self.rng.random_range(0..GATEWAYS + 1));
        let request_number: u16 = self.rng.random();
        let request =
            [&[PERMIT_REQUEST_TYPE][..], &request_number.to_be_bytes(), &hash_key.to_be_bytes()].concat();
        match self.rng.random_range(0..8) {
            0..=2 => self.deliver_datagram(from, &request),
            3..=6 => {
                let Some((peer, own_request)) = self.permit_requests.pop_front() else {
                    return self.deliver_datagram(from, &request);
                };
                let flags = self.rng.random_range(0..4);
                let steps = if flags & 1 == 0 { self.rng.random_range(0..60) } else { 0 };
                let reply = [&[PERMIT_REPLY_TYPE], &own_request[1..], &[flags, steps]].concat();
                self.deliver_datagram(peer, &reply);
                if self.rng.random() {
                    // Replies are sent twice.
                    self.deliver_datagram(peer, &reply);
                }
            }
            _ => {
                let length = self.rng.random_range(0..12);
                let mut bytes: Vec<u8> = (0..length).map(|_| self.rng.random()).collect();
                if let Some(first) = bytes.first_mut() {
                    *first = self.rng.random_range(PERMIT_REQUEST_TYPE..=PERMIT_REPLY_TYPE);
                }
                self.deliver_datagram(from, &bytes);
            }
        }
    }

    fn deliver_datagram(&mut self, from: GatewayId, bytes: &[u8]) {
        let result = self.engine.handle_datagram(self.now, from, bytes, &mut self.commands);
        let (code, kind) = match result {
            Ok(()) => (0, None),
            Err(DecodeError::Malformed(_)) => (1, Some("malformed datagram")),
            Err(DecodeError::UnknownSender) => (2, Some("unknown sender")),
            Err(DecodeError::NotGrantor) => (3, None),
            Err(DecodeError::UnexpectedReply) => (4, Some("unexpected reply")),
        };
        self.record_byte(code);
        self.kinds.extend(kind);
        self.record_commands();
    }

    fn shut_down(&mut self) {
        if self.rng.random() {
            self.engine.begin_handover(self.now, ms(2_400), ms(2_800), &mut self.commands);
        } else {
            self.engine.begin_shutdown(self.now, ms(2_400), ms(2_800));
        }
        self.record_commands();
    }

    async fn advance(&mut self, span_ms: i64) {
        for _ in 0..(span_ms + TICK_MS - 1) / TICK_MS {
            tokio::time::advance(Duration::from_millis(TICK_MS.unsigned_abs())).await;
            self.now = self.now + ms(TICK_MS);
            while let Some(due) = self.engine.next_timer_event().now_or_never() {
                self.record_timer(due);
                self.engine.handle_timer(self.now, due, &mut self.commands);
                self.record_commands();
            }
        }
    }

    // ---- Records ----------------------------------------------------------------------------

    fn record_byte(&mut self, byte: u8) {
        self.hash.update([byte]);
    }

    fn record_numbers<const N: usize>(&mut self, tag: u8, numbers: [u64; N]) {
        self.hash.update([tag]);
        numbers.iter().for_each(|number| self.hash.update(number.to_be_bytes()));
    }

    fn record_timer(&mut self, due: TimerEvent) {
        match due {
            TimerEvent::Decision(token) => self.record_timer_kind("decision timer", 20, [token.0]),
            TimerEvent::AttemptTimeout { id, attempt } => {
                self.record_timer_kind("attempt timer", 21, [u64::from(id.0), u64::from(attempt)])
            }
            TimerEvent::Migrate(id) => self.record_timer_kind("migration timer", 22, [u64::from(id.0)]),
            TimerEvent::Sweep => self.record_timer_kind("sweep timer", 23, []),
            TimerEvent::ListExpired => self.record_timer_kind("list expiry timer", 24, []),
            TimerEvent::PermitReplyTimeout { server, request_number } => {
                self.record_timer_kind("reply timer", 25, [u64::from(server), u64::from(request_number)])
            }
            TimerEvent::ShutdownDeadline => self.record_timer_kind("shutdown deadline", 26, []),
        }
    }

    fn record_timer_kind<const N: usize>(&mut self, kind: &'static str, tag: u8, numbers: [u64; N]) {
        self.kinds.insert(kind);
        self.record_numbers(tag, numbers);
    }

    fn record_commands(&mut self) {
        for command in std::mem::take(&mut self.commands) {
            self.command_count += 1;
            self.record_command(command);
        }
    }

    fn record_command(&mut self, command: Command) {
        match command {
            Command::Attempt { id, attempt, server, timeout } => {
                self.kinds.insert(if attempt > 0 { "retry" } else { "first attempt" });
                let timeout = timeout.as_micros().unsigned_abs();
                self.record_numbers(1, [u64::from(id.0), u64::from(attempt), u64::from(server.0), timeout]);
                if let Some(client) = self.clients.get_mut(&id) {
                    *client = Client { attempt: Some(attempt), attempts: attempt + 1, ..Client::default() };
                }
            }
            Command::Close { id, attempt } => {
                self.kinds.insert("attempt closed");
                self.record_numbers(2, [u64::from(id.0), u64::from(attempt)]);
                if let Some(client) = self.clients.get_mut(&id) {
                    client.attempt = None;
                    client.first_byte_sent = false;
                }
            }
            Command::Answer { id, answer } => {
                let id_number = u64::from(id.0);
                match answer {
                    FinalAnswer::Rejected(retry_after) => {
                        self.kinds.insert("rejected");
                        self.record_numbers(3, [id_number, retry_after.as_micros().unsigned_abs()]);
                    }
                    FinalAnswer::Failed => {
                        self.kinds.insert("failed");
                        self.record_numbers(4, [id_number]);
                    }
                }
                self.clients.remove(&id);
            }
            Command::Migrate { id } => {
                self.kinds.insert("migrated");
                self.record_numbers(5, [u64::from(id.0)]);
                self.clients.remove(&id);
            }
            Command::HandOff { id, server } => {
                self.kinds.insert("handed off");
                self.record_numbers(6, [u64::from(id.0), u64::from(server.0)]);
                self.clients.remove(&id);
            }
            Command::CheckHealth { server } => self.record_numbers(7, [u64::from(server.0)]),
            Command::Subscribe => {
                self.kinds.insert("subscribe");
                self.record_numbers(8, []);
            }
            Command::SendDatagram(datagram) => {
                let bytes = datagram.bytes().to_vec();
                let is_request = bytes[0] == PERMIT_REQUEST_TYPE;
                self.kinds.insert(if is_request { "permit request" } else { "permit reply" });
                self.record_numbers(9, [u64::from(datagram.to.0), bytes.len() as u64]);
                self.hash.update(&bytes);
                if is_request {
                    self.permit_requests.push_back((datagram.to, bytes));
                }
            }
        }
    }

    /// Records the results of the engine's getters.
    fn record_state(&mut self) {
        let now = self.now;
        let is_expired = self.engine.list_expired();
        if is_expired {
            self.kinds.insert("list expired");
        }
        let open = self.engine.open_request_count() as u64;
        let avoided = self.engine.avoided_server_count(now) as u64;
        let HealthCheckCounts { sent, withheld } = self.engine.health_check_counts();
        self.record_numbers(30, [open, avoided, u64::from(is_expired), sent as u64, withheld as u64]);
        for server in (0..SERVERS).map(ServerId) {
            let ServerUsage { open_connections, recovery_tokens, last_used_permit, last_granted_permit } =
                self.engine.sibling_usage(server);
            let ready = u64::from(self.engine.is_ready(server));
            let connections = u64::from(self.engine.connections_on(server));
            let open = u64::from(open_connections);
            let tokens = recovery_tokens.to_bits();
            self.record_numbers(
                31,
                [ready, connections, open, tokens, last_used_permit, last_granted_permit],
            );
        }
        let EstablishedCounts { by_server, by_tenant } = self.engine.established_counts();
        by_server
            .iter()
            .for_each(|(server, &count)| self.record_numbers(32, [u64::from(server.0), u64::from(count)]));
        by_tenant
            .iter()
            .for_each(|(tenant, &count)| self.record_numbers(33, [u64::from(tenant.0), u64::from(count)]));
        for (hash_key, report) in self.engine.take_outcome_reports(now) {
            let [failing, silent, saturated] = report.observations.map(u64::from);
            for (kind, count) in
                [("failing server", failing), ("silent server", silent), ("saturated server", saturated)]
            {
                self.kinds.extend((count > 0).then_some(kind));
            }
            let attempts = u64::from(report.attempts);
            self.record_numbers(34, [u64::from(hash_key), attempts, failing, silent, saturated]);
        }
        let id = RequestId(self.rng.random_range(0..self.next_id + 1));
        let server = self.engine.server_of(id).map_or(u64::MAX, |server| u64::from(server.0));
        let is_open = u64::from(self.engine.has_request(id));
        self.record_numbers(35, [is_open, server]);
        self.record_violations();
    }

    fn record_violations(&mut self) {
        let RequestViolations { recent, total } = self.engine.take_request_violations();
        self.record_numbers(36, [total, u64::from(self.engine.check_permits().is_ok())]);
        for violation in recent {
            let code = match violation {
                Violation::ConcurrentAttempts { .. } => 1,
                Violation::AttemptAfterEnd { .. } => 2,
                Violation::ForbiddenRetry { .. } => 3,
                Violation::AttemptAtDrainingServer { .. } => 4,
                Violation::FalseRejection { .. } => 5,
                Violation::LateAnswer { .. } => 6,
            };
            self.record_byte(code);
        }
    }
}

#[test]
fn the_engine_returns_the_recorded_results() {
    let mut kinds = BTreeSet::new();
    let mut lines = String::new();
    for seed in 0..SEEDS {
        let (digest, command_count, run_kinds) = with_paused_time(async {
            let mut run = RandomRun::new(seed);
            (run.run_random_calls().await, run.command_count, run.kinds)
        });
        writeln!(lines, "{seed} {command_count} {digest}").expect("written to a string");
        kinds.extend(run_kinds);
    }
    let missing: Vec<_> = REQUIRED_KINDS.iter().filter(|kind| !kinds.contains(*kind)).collect();
    assert!(missing.is_empty(), "kinds that occur in no run: {missing:?}");
    for (actual, recorded) in lines.lines().zip(RECORDED.lines()) {
        assert_eq!(actual, recorded, "seed, number of commands, hash of all results");
    }
    assert_eq!(lines, RECORDED);
}
