//! The decision module against recordings of its actions: each must stay the same, byte for byte.
//!
//! Random sequences of events are generated from a seed, each fed to one `Balancer`. All actions, and at intervals
//! all that can be asked of it, are hashed. A line that differs is written to the target folder for comparison.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;
use std::process::{Command, Stdio};

use ashtide::decision::slow_start::{PermitHolder, PermitSchedule, SlowStartConfig};
use ashtide::*;
use sha2::{Digest, Sha256};

const SEEDS: u64 = 20;
const STEPS: u32 = 1_200;
const QUERY_EVERY: u32 = 20;
const CHECKPOINT_EVERY: u32 = 200;

/// SplitMix64: does not change with the version of a dependency.
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

    fn micros(&mut self, limit: i64) -> i64 {
        self.below(limit as u64) as i64
    }

    fn pick<T: Copy>(&mut self, items: &[T]) -> T {
        items[self.below(items.len() as u64) as usize]
    }
}

fn span(micros: i64) -> Span {
    Span::from_micros(micros)
}

fn class(latency: i64, message: i64, weight: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: span(latency),
        message_latency_objective: span(message),
        priority_weight: weight,
        idempotency,
    }
}

fn settings(seed: u64) -> Settings {
    let keyed = |scope, window| Idempotency::WithKey { scope, remembered_for: span(window) };
    let tenants = match seed % 3 {
        0 => Vec::new(),
        1 => vec![Tenant { quota_per_s: 10.0, quota_connections: 40.0 }],
        _ => {
            let large = Tenant { quota_per_s: 500.0, quota_connections: 20_000.0 };
            vec![large.clone(), Tenant { quota_per_s: 1.0, quota_connections: 0.0 }, large]
        }
    };
    let cold = seed % 7 != 6;
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
            class(200_000, 100_000, 3.5, keyed(DeduplicationScope::All, 3_000_000)),
            class(300_000, 150_000, 0.5, keyed(DeduplicationScope::Zone, 900_000)),
            class(300_000, 400_000, 2.0, keyed(DeduplicationScope::Cell, 5_000_000)),
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
        initial_capacity_share: if cold { 0.13 } else { 1.0 },
        warm_up_time: if cold {
            span([24_000_000, 8_000_000, 900_000][(seed / 3 % 3) as usize])
        } else {
            Span::ZERO
        },
        overload_factor: if cold { 2.5 } else { 1.0 },
        overload_window: span(2_000_000),
    }
}

/// An attempt the module has asked for, as the world sees it.
#[derive(Clone, Copy)]
struct InFlight {
    server: ServerId,
    attempt: u32,
    sent: i64,
    established: bool,
}

#[derive(Clone, Copy, Default)]
struct Live {
    attempts: u32,
    in_flight: Option<InFlight>,
    answered: bool,
}

struct World {
    module: Balancer,
    generator: Generator,
    digest: Sha256,
    now: i64,
    listings: Vec<EndpointEntry>,
    live: BTreeMap<u32, Live>,
    next_id: u32,
    timers: Vec<(i64, u64)>,
    asked: Vec<ServerId>,
    cancelling: Vec<(u32, u32)>,
    /// How often each kind of action came, in the order of the type.
    counts: [u64; 9],
    events: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let servers = [6, 24, 220, 60, 12][(seed % 5) as usize];
        let mut generator = Generator(seed ^ 0x00a5_a5a5);
        let listings = (0..servers)
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
            module: Balancer::new(settings(seed), seed),
            generator,
            digest: Sha256::new(),
            now: 1_000_000,
            listings,
            live: BTreeMap::new(),
            next_id: 0,
            timers: Vec::new(),
            asked: Vec::new(),
            cancelling: Vec::new(),
            counts: [0; 9],
            events: 0,
        }
    }

    fn send(&mut self, event: Event) {
        self.events += 1;
        let mut actions = Vec::new();
        self.module.handle(Time::from_micros(self.now), event, &mut actions);
        self.digest.update((actions.len() as u32).to_le_bytes());
        for action in actions {
            self.carry_out(&action);
        }
    }

    fn record(&mut self, tag: u8, fields: &[u64]) {
        self.counts[usize::from(tag)] += 1;
        self.digest.update([tag]);
        for field in fields {
            self.digest.update(field.to_le_bytes());
        }
    }

    fn carry_out(&mut self, action: &Action) {
        match *action {
            Action::Attempt { id, server, timeout } => {
                self.record(0, &[id.0.into(), server.0.into(), timeout.as_micros() as u64]);
                let sent = self.now;
                let live = self.live.get_mut(&id.0).expect("an attempt is for a request that was sent");
                let attempt = live.attempts;
                live.in_flight = Some(InFlight { server, attempt, sent, established: false });
                live.attempts += 1;
            }
            Action::Reject { id, retry_after } => {
                self.record(1, &[id.0.into(), retry_after.as_micros() as u64]);
                self.answered(id);
            }
            Action::Fail { id } => {
                self.record(2, &[id.0.into()]);
                self.answered(id);
            }
            Action::CancelAttempt { id, attempt } => {
                self.record(3, &[id.0.into(), attempt.into()]);
                self.cancelling.push((id.0, attempt));
            }
            Action::Migrate { id } => self.record(4, &[id.0.into()]),
            Action::SetTimer { token, due_at: at } => {
                self.record(5, &[token.0, at.as_micros() as u64]);
                self.timers.push((at.as_micros(), token.0));
            }
            Action::RequestPermit { server } => {
                self.record(6, &[server.0.into()]);
                self.asked.push(server);
            }
            Action::CheckHealth { server } => self.record(7, &[server.0.into()]),
            Action::Subscribe => self.record(8, &[]),
        }
    }

    fn answered(&mut self, id: RequestId) {
        if let Some(live) = self.live.get_mut(&id.0) {
            live.answered = true;
            if live.in_flight.is_none() {
                self.live.remove(&id.0);
            }
        }
    }

    fn fire_timers(&mut self) {
        loop {
            let now = self.now;
            let due = self.timers.iter().enumerate().filter(|(_, timer)| timer.0 <= now);
            let Some((index, _)) = due.min_by_key(|(index, timer)| (timer.0, *index)) else { return };
            let (_, token) = self.timers.remove(index);
            self.send(Event::Timer(TimerToken(token)));
        }
    }

    fn random_server(&mut self) -> ServerId {
        // Half of all that is told of single servers is told of three, so that it adds up.
        let count = self.listings.len() as u64;
        let limit = if self.generator.chance(50) { 3 } else { count };
        ServerId(self.generator.below(limit) as u32)
    }

    fn random_live(&mut self, wanted: impl Fn(&Live) -> bool) -> Option<(u32, Live)> {
        let ids: Vec<(u32, Live)> =
            self.live.iter().filter(|(_, l)| wanted(l)).map(|(&id, &l)| (id, l)).collect();
        if ids.is_empty() { None } else { Some(self.generator.pick(&ids)) }
    }

    fn request(&mut self) -> Request {
        self.next_id += 1;
        let draw = &mut self.generator;
        Request {
            id: RequestId(self.next_id),
            class: ClassId(draw.below(5) as u32),
            tenant: if draw.chance(30) { Some(TenantId(0)) } else { None },
            group: if draw.chance(40) { Some(GroupId(draw.below(9) as u32)) } else { None },
            time_left: span(if draw.chance(2) { 0 } else { 100_000 + draw.micros(3_000_000) }),
            load: match draw.below(5) {
                0 => None,
                1 => Some(-1.0),
                2 => Some(f64::NAN),
                _ => Some(0.001 * (1 + draw.below(50)) as f64),
            },
        }
    }

    fn send_request(&mut self) {
        let request = self.request();
        self.live.insert(request.id.0, Live::default());
        self.send(Event::Request(request));
    }

    fn list(&mut self, news: ListUpdate) {
        let mut changed = Vec::new();
        let count = self.listings.len() as u64;
        for _ in 0..1 + self.generator.below(3) {
            let index = self.generator.below(count) as usize;
            let state = self.generator.pick(&[
                ServerState::Ready,
                ServerState::Ready,
                ServerState::Draining,
                ServerState::Removed,
            ]);
            let restarted = self.generator.chance(40);
            let age = self.generator.micros(400_000);
            let listing = &mut self.listings[index];
            listing.state = state;
            if restarted {
                listing.started_at = Some(Time::from_micros(self.now - age));
            }
            if self.generator.chance(5) {
                self.listings[index].weight =
                    self.generator.pick(&[0.0, f64::NAN, f64::INFINITY, -2.0, 0.5, 8.0]);
            }
            changed.push(self.listings[index].clone());
        }
        let entries = match news {
            ListUpdate::WatchFailed => Vec::new(),
            ListUpdate::Delta => changed,
            ListUpdate::Snapshot | ListUpdate::Cached => {
                let omitted = self.generator.below(3 * count);
                let listed = self.listings.iter().enumerate().filter(|(index, _)| *index as u64 != omitted);
                listed.map(|(_, listing)| listing.clone()).collect()
            }
        };
        self.send(Event::EndpointList { update: news, entries });
    }

    fn establish(&mut self) {
        let Some((id, live)) = self.random_live(|l| l.in_flight.is_some_and(|a| !a.established)) else {
            return;
        };
        let in_flight = live.in_flight.expect("chosen for it");
        let elapsed =
            if self.generator.chance(70) { self.generator.micros(90_000) } else { self.now - in_flight.sent };
        let record = self.live.get_mut(&id).expect("chosen from it");
        record.answered = true;
        record.in_flight = Some(InFlight { established: true, ..in_flight });
        let wrong = u32::from(self.generator.chance(3));
        if wrong == 1 {
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

    fn end(&mut self, id: u32, outcome: Outcome, request_over: bool) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let Some(in_flight) = live.in_flight.take() else { return };
        let over = live.answered || request_over;
        if over {
            self.live.remove(&id);
        }
        let attempt = in_flight.attempt;
        self.send(Event::AttemptEnded { id: RequestId(id), attempt, outcome, request_done: over });
    }

    fn end_attempt(&mut self) {
        let Some((id, _)) = self.random_live(|l| l.in_flight.is_some_and(|a| !a.established)) else { return };
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
        let over = self.generator.chance(10);
        self.end(id, outcome, over);
    }

    fn end_connection(&mut self) {
        let Some((id, _)) = self.random_live(|l| l.in_flight.is_some_and(|a| a.established)) else { return };
        let outcome = self.generator.pick(&[Outcome::Ok, Outcome::Ok, Outcome::Reset, Outcome::Failed]);
        self.end(id, outcome, true);
    }

    /// A server drops all its connections.
    fn drop_all(&mut self) {
        let server = self.random_server();
        let here = |l: &Live| l.in_flight.is_some_and(|a| a.established && a.server == server);
        let pause = self.generator.pick(&[1_000, 100_000, 500_000, 900_000]);
        let ids: Vec<u32> = self.live.iter().filter(|(_, l)| here(l)).map(|(&id, _)| id).collect();
        for id in ids {
            self.now += pause;
            self.end(id, Outcome::Reset, true);
        }
    }

    fn leave(&mut self) {
        let Some((id, live)) = self.random_live(|l| !l.answered) else { return };
        if live.in_flight.is_none() {
            self.live.remove(&id);
        } else {
            self.live.get_mut(&id).expect("chosen from it").answered = true;
        }
        self.send(Event::ClientLeft { id: RequestId(id) });
    }

    fn finish_cancelling(&mut self) {
        for (id, attempt) in std::mem::take(&mut self.cancelling) {
            let current = self.live.get(&id).and_then(|l| l.in_flight).is_some_and(|a| a.attempt == attempt);
            if current {
                let outcome = self.generator.pick(&[Outcome::Cancelled, Outcome::TimedOut, Outcome::NotSent]);
                self.end(id, outcome, true);
            }
        }
    }

    fn reply_to_permit_request(&mut self) {
        let unasked = self.generator.chance(3);
        let server = if self.asked.is_empty() || unasked {
            if !unasked {
                return;
            }
            self.random_server()
        } else {
            self.asked.remove(0)
        };
        let below = self.generator.chance(50);
        let right = match self.generator.below(8) {
            0..=3 => {
                let until = Time::from_micros(self.now + self.generator.micros(1_500_000) - 50_000);
                PermitReply::Granted { expires_at: until, below_fair_share: below }
            }
            4..=6 => PermitReply::Denied {
                retry_after: span(self.generator.micros(600_000)),
                below_fair_share: below,
            },
            _ => PermitReply::NoReply,
        };
        self.send(Event::PermitReply { server, reply: right });
    }

    fn sibling(&mut self) {
        let server = self.random_server();
        let beside = SiblingState {
            open_connections: self.generator.below(6) as u32,
            recovery_tokens: self.generator.below(300) as f64 / 100.0,
            last_used_permit: self.generator.below(400),
        };
        self.send(Event::SiblingState { server, state: beside });
    }

    fn slow(&mut self) {
        let server = self.random_server();
        let takes = span(self.generator.micros(130_000));
        self.send(Event::SlowResponses { server, response_time: takes });
    }

    fn existing(&mut self) {
        let request = self.request();
        let server = self.random_server();
        let in_flight = InFlight { server, attempt: 0, sent: self.now, established: true };
        let live = Live { attempts: 1, in_flight: Some(in_flight), answered: true };
        self.live.insert(request.id.0, live);
        self.send(Event::ExistingConnection { request, server });
    }

    fn unknown(&mut self) {
        let beyond = ServerId(self.listings.len() as u32 + 50);
        let id = RequestId(4_000_000_000);
        match self.generator.below(8) {
            0 => self.send(Event::ServerSilent { server: beyond }),
            1 => self.send(Event::Uncordoned { server: beyond }),
            2 => self.send(Event::SiblingState { server: beyond, state: SiblingState::default() }),
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

    fn step(&mut self) {
        let wait = match self.generator.below(100) {
            0 => 30_000_000,
            1..=4 => self.generator.micros(3_000_000),
            5..=39 => 0,
            _ => self.generator.micros(40_000),
        };
        self.now += wait;
        self.fire_timers();
        self.finish_cancelling();
        match self.generator.below(1000) {
            0..=379 => self.send_request(),
            380..=609 => self.establish(),
            610..=679 => self.end_attempt(),
            680..=759 => self.end_connection(),
            760..=784 => self.drop_all(),
            785..=804 => self.leave(),
            805..=824 => self.list(ListUpdate::Delta),
            825..=829 => self.list(ListUpdate::Snapshot),
            830..=832 => self.list(ListUpdate::Cached),
            833..=839 => self.list(ListUpdate::WatchFailed),
            840..=899 => self.reply_to_permit_request(),
            900..=914 => self.sibling(),
            915..=939 => self.slow(),
            940..=944 => {
                let server = self.random_server();
                self.send(Event::ServerSilent { server });
            }
            945..=959 => {
                let server = self.random_server();
                self.send(Event::Uncordoned { server });
            }
            960..=974 => self.existing(),
            975..=989 => {
                let Some((id, _)) = self.random_live(|_| true) else { return };
                let load = self.generator.pick(&[0.5, 0.0, f64::INFINITY, 0.02, 0.003]);
                self.send(Event::LoadChanged { id: RequestId(id), load });
            }
            _ => self.unknown(),
        }
    }

    /// All that can be asked of the module, without an event.
    fn query(&mut self) {
        let now = Time::from_micros(self.now);
        for number in 0..self.listings.len() as u32 + 2 {
            let server = ServerId(number);
            let SiblingState { open_connections: open, recovery_tokens: allowance, last_used_permit: spent } =
                self.module.sibling_state(server);
            self.digest.update(self.module.open_connections(server).to_le_bytes());
            self.digest.update([u8::from(self.module.is_avoided(now, server))]);
            self.digest.update(open.to_le_bytes());
            self.digest.update(allowance.to_bits().to_le_bytes());
            self.digest.update(spent.to_le_bytes());
        }
        for id in self.live.keys().copied().chain([0, 4_000_000_000]) {
            let id = RequestId(id);
            let answers = [self.module.is_safe_to_retry(id), self.module.may_begin_attempt(now, id)];
            self.digest.update(answers.map(u8::from));
        }
        self.digest.update(self.module.fleet_connections_when_full(now).to_bits().to_le_bytes());
    }

    fn run(mut self, seed: u64) -> (String, [u64; 9]) {
        let first = self.generator.pick(&[ListUpdate::Cached, ListUpdate::Snapshot]);
        self.list(first);
        let mut checkpoints = String::new();
        for step in 1..=STEPS {
            self.step();
            if step % QUERY_EVERY == 0 {
                self.query();
            }
            if step % CHECKPOINT_EVERY == 0 {
                let digest = hex(&self.digest.clone().finalize()[..4]);
                write!(checkpoints, " {digest}").expect("a string takes all");
            }
        }
        let digest = hex(&self.digest.finalize());
        let counts = self.counts.map(|count| count.to_string()).join(",");
        (format!("seed={seed} events={} actions={counts}{checkpoints} {digest}", self.events), self.counts)
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bits(value: f64) -> String {
    format!("{:016x}", value.to_bits())
}

/// Compares with the recorded file; what came instead is left in the target folder.
fn assert_recorded(file: &str, actual: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility/decision");
    let recorded = std::fs::read_to_string(folder.join(file)).unwrap_or_default();
    if recorded == actual {
        return;
    }
    let written = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("decision-{file}"));
    std::fs::write(&written, actual).expect("the target folder can be written");
    let differing = recorded.lines().zip(actual.lines()).find(|(old, new)| old != new);
    panic!("{file} differs from what is recorded, see {}: {differing:?}", written.display());
}

#[test]
fn actions_for_random_events_are_those_recorded() {
    let mut lines = String::new();
    let mut total = [0; 9];
    for seed in 0..SEEDS {
        let (line, counts) = World::new(seed).run(seed);
        writeln!(lines, "{line}").expect("a string takes all");
        for (sum, count) in total.iter_mut().zip(counts) {
            *sum += count;
        }
    }
    assert_recorded("actions.txt", &lines);
    // All kinds of actions but the health check, which the module never asks for.
    for (kind, &count) in total.iter().enumerate() {
        assert_eq!(count > 0, kind != 7, "action {kind} came {count} times");
    }
}

fn slow_start_settings() -> Vec<Settings> {
    let base = settings(0);
    let mut all = Vec::new();
    for (fall_multiple, overload, cold_from, warm) in [
        (2.5, 2_000_000, 0.13, 24_000_000),
        (1.0, 1_000_000, 1.0, 0),
        (3.3, 300_000, 0.01, 1_000_000),
        (0.5, 60_000_000, 0.5, 8_000_000),
    ] {
        for peers in [false, true] {
            all.push(Settings {
                gateways: 30,
                gateway_id: GatewayId(7),
                fleet_permits: peers,
                overload_factor: fall_multiple,
                overload_window: span(overload),
                initial_capacity_share: cold_from,
                warm_up_time: span(warm),
                ..base.clone()
            });
        }
    }
    all
}

#[test]
fn permits_of_a_warming_server_are_those_recorded() {
    let mut lines = String::new();
    for (index, settings) in slow_start_settings().iter().enumerate() {
        let ramp = SlowStartConfig::new(settings);
        let (own, granted) =
            (PermitSchedule::ungranted_permits(settings), ramp.granted_permits(span(400_000)));
        for age in [0, 1, 100_000, 1_000_000, 5_500_000, 24_000_000, 90_000_000] {
            for full in [0.0, 0.4, 3.0, 54.0, 1e6, 1e300] {
                let age = span(age);
                write!(lines, "settings={index} age={} full={full:e}", age.as_micros())
                    .expect("a string takes all");
                for value in [
                    ramp.allowed_requests(age, full),
                    ramp.overload_threshold(age, full),
                    own.permits_issued(age, full),
                    own.permits_expired(age, full),
                    granted.permits_issued(age, full),
                    granted.permits_expired(age, full),
                ] {
                    write!(lines, " {}", bits(value)).expect("a string takes all");
                }
                let born = Time::from_micros(3_000_000);
                let now = born + age;
                for (key, began, spent) in [(0, 0, 0), (0x5be2_a07c, 3_500_000, 2), (u32::MAX, 9_000_000, 40)]
                {
                    let holder = PermitHolder::for_gateway(settings, key, Time::from_micros(began), spent);
                    for schedule in [own, granted] {
                        let turn = match schedule.next_permit(now, born, full, holder) {
                            Ok(turn) => format!("ok:{turn}"),
                            Err(wait) => format!("wait:{}", wait.as_micros()),
                        };
                        write!(lines, " {}/{}:{turn}", holder.index, holder.holders)
                            .expect("a string takes all");
                    }
                }
                let told = [(Some(born), 0), (Some(born), 1), (Some(born), 20), (None, 1), (None, 0)];
                for (born, spent) in told {
                    write!(lines, " {}", own.accept_reported_permit(now, born, full, spent))
                        .expect("a string takes all");
                }
                lines.push('\n');
            }
        }
    }
    assert_recorded("slow_start.txt", &lines);
}

#[test]
fn hashes_of_groups_are_those_recorded() {
    let mut lines = String::new();
    for group in [0, 1, 77, u32::MAX] {
        for key in [0, 1, 0x5be2_a07c, u32::MAX] {
            for round in [0, 1, 6, 11] {
                let hash = GroupId(group).rendezvous_hash(key, round);
                writeln!(lines, "{group} {key} {round} {hash:016x}").expect("a string takes all");
            }
        }
    }
    assert_recorded("group_hashes.txt", &lines);
}

const FACTS: &str = concat!(
    r#"{"azs":["east","west"],"balancers":2,"zone":"east","discovery":"DISCOVERY","tick":0.005,"#,
    r#""classes":[{"name":"view","aim":0.5,"deadline":2.0,"effect":"pure","worth":1.0},"#,
    r#"{"name":"edit","aim":0.3,"worth":2.0,"effect":"token","group":"zone","keyTtl":0.4},"#,
    r#"{"name":"pay","aim":0.3,"worth":4.0,"effect":"side_effect"}],"#,
    r#""limits":{"maxAttempts":3,"cancelling":true,"retryAfter":true,"maxRetryAfter":3},"weights":"nominal","#,
    r#""familyInfo":{"messageAim":[0.1,0.1,0.1]},"valueBy":"work","#,
    r#""prices":{"crossZone":0.1},"rules":{"answerSlack":0.02,"warmWithin":8.0,"coldFrom":0.3,"#,
    r#""fallMultiple":2.5,"overloadFor":1.0},"customers":null,"shapes":["fast"]}"#
);

/// What the adapter answers, and how it ends. Of an error the line's number counts, not the wording.
fn adapter(input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ashtide-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    // A rejected line closes the pipe early; what counts is the exit code.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let output = child.wait_with_output().expect("the adapter ends");
    let out = String::from_utf8(output.stdout).expect("UTF-8");
    let error = String::from_utf8(output.stderr).expect("UTF-8");
    let place: Vec<&str> = error.split(": ").take(2).collect();
    format!("{out}exit {:?}\n{}\n", output.status.code(), place.join(": "))
}

fn start(discovery: &str) -> String {
    let facts = FACTS.replace("DISCOVERY", discovery);
    let mut text = format!("START relayId=3 initSeed=9 facts={facts}\nDIRECTORY slot=4 entries=4\n");
    text += "ROW backend=s1 rackZone=east model=fast cluster=0 state=on size=1\n";
    text += "ROW backend=s2 rackZone=west model=fast cluster=1 state=on size=2.5 startTime=0\n";
    text += "ROW backend=s3\nROW backend=s4 state=fading startTime=0.5\n";
    text + "DISCOVERY relayId=3 how=stale_copy epoch=1 slot=4\n"
}

/// One exchange of several batches, with every kind of line.
fn exchange() -> String {
    let mut text = String::new();
    let mut batch = |clock: f64, lines: &str| text += &format!("TURN simTime={clock}\n{lines}EOB\n");
    batch(5.0, &start("onDemand"));
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
    let change = "DIRECTORY slot=0 entries=1\nROW backend=s1 state=off\nDISCOVERY relayId=3 how=patch epoch=2 slot=0\n";
    batch(9.5, change);
    batch(
        9.6,
        "QUERY relayId=3 opId=901 ttl=0 band=view\nMAIL relayId=3 author=1 body=00ff\nSHUTDOWN relayId=3\n",
    );
    text
}

#[test]
fn the_adapter_answers_as_recorded() {
    let started = format!("TURN simTime=1\n{}EOB\n", start("pushed"));
    let in_batch = |lines: &str| format!("{started}TURN simTime=2\n{lines}EOB\n");
    let inputs = [
        exchange(),
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
        write!(answers, "-- {index}\n{}", adapter(input)).expect("a string takes all");
    }
    assert_recorded("adapter.txt", &answers);
}
