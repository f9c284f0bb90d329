//! A simulation of some gateways with their frontends, servers, clients, discovery and the network between them, in
//! virtual time and by one seed.
//!
//! Everything happens on ticks of 5 ms, so that rare coincidences are frequent: in each tick, timers that are due and
//! messages that have arrived are handled in random order. Messages from one part to another keep their order, as in
//! the queues of the driver.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

use ashtide::discovery::WatchEnd;
use ashtide::engine::{Command, Engine, MonotonicEpoch, TimerEvent};
use ashtide::handover::ServerUsage;
use ashtide::{
    CellId, ClassId, DeduplicationScope, DiscoveryMode, EndpointEntry, GatewayId, GroupId, ListUpdate,
    Outcome, Request, RequestClass, RequestId, ServerId, ServerState, Settings, Span, Tenant, TenantId, Time,
    ZoneId,
};
use futures_util::FutureExt;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::faults::Fault;
use super::front::{ConnectionEvent, FrontendAction, FrontendCommand, FrontendEvent, SimulatedFrontend};
use super::history::{ClientAnswer, History, MAX_DELIVERY_DELAY, Occurrence};
use super::invariants::{self, Invariant, Violation};

mod clients;
mod discovery;
mod faults;
mod processes;
mod servers;

const TICK_MS: i64 = 5;
/// Steps in one tick, at most; more of them are a loop.
const MAX_STEPS_PER_TICK: u32 = 20_000;
/// How long new clients arrive.
const CLIENTS_ARRIVE_MS: i64 = 12_000;
/// How long the simulation goes on after that: for the longest wait of a client, and for a shutdown.
const SETTLE_MS: i64 = 4_000;
const SERVERS: u32 = 6;
/// The longest time until a connection is open.
const MAX_CONNECT_MS: i64 = 1_500;
/// From the start of a shutdown until every request has an answer.
const SHUTDOWN_MS: i64 = 2_800;
/// From then until the process exits.
const FLUSH_MS: i64 = 150;
/// Connections within the quotas of all tenants.
const QUOTA_CONNECTIONS: f64 = 600.0;
const CLASSES: [&str; 6] = ["plain", "slow", "all", "zone", "cell", "once"];

fn ms(ms: i64) -> Span {
    Span::from_micros(ms * 1_000)
}

fn classes() -> Vec<RequestClass> {
    let keyed = |group, window| ashtide::Idempotency::WithKey { scope: group, remembered_for: ms(window) };
    let idempotencies = [
        (400, ashtide::Idempotency::Idempotent),
        (1_100, ashtide::Idempotency::Idempotent),
        (500, keyed(DeduplicationScope::All, 600)),
        (600, keyed(DeduplicationScope::Zone, 800)),
        (700, keyed(DeduplicationScope::Cell, 700)),
        (300, ashtide::Idempotency::NotIdempotent),
    ];
    let class = |(aim, command)| RequestClass {
        latency_objective: ms(aim),
        message_latency_objective: ms(300),
        priority_weight: 1.0,
        idempotency: command,
    };
    idempotencies.into_iter().map(class).collect()
}

/// What is reported to a process of a gateway.
#[derive(Debug, Clone, PartialEq)]
enum DriverReport {
    Request(RequestId),
    Frontend(RequestId, FrontendEvent),
    AdoptedConnection(RequestId, ServerId),
    ListUpdate(ListUpdate, Vec<EndpointEntry>),
    /// An update that reaches the engine late.
    DelayedListUpdate(ListUpdate, Vec<EndpointEntry>),
    WatchRestored,
    WatchEnded(Option<Time>),
    Datagram(GatewayId, Vec<u8>),
    Cordon(ServerId, bool),
    QuorumEjections(BTreeSet<u32>),
    SiblingState(ServerId, ServerUsage),
    GracefulShutdown,
    HandOver,
}

/// A scheduled event.
#[derive(Debug, Clone, PartialEq)]
enum SimulationEvent {
    ClientArrives,
    Report(usize, DriverReport),
    Command(RequestId, FrontendCommand),
    Connection(RequestId, u32, ConnectionEvent),
    ClientLine(RequestId, &'static [u8]),
    ClientLeaves(RequestId),
    InjectFault,
    /// A watch is found to be silent, since then, or to be closed.
    WatchEnds(usize, Option<Time>),
    WatchRestored(usize),
    RestartGateway(u32),
    ShutdownDeadline(usize),
    ProcessExits(usize),
    ShareSiblingState(usize, usize),
}

/// One process of a gateway.
struct Process {
    gateway: u32,
    engine: Engine,
    exited: bool,
    /// When its shutdown began, with or without a successor.
    shutdown_began_at: Option<Time>,
    /// Reports keep their order: none arrives before an earlier one.
    last_report_at: Time,
    last_list_update_at: Time,
    is_watching: bool,
    /// The list as it was sent, and cordoned servers.
    list: BTreeMap<ServerId, EndpointEntry>,
    cordoned: BTreeSet<ServerId>,
    watch_lost: bool,
    has_measured_load: bool,
}

struct Client {
    process: usize,
    class: usize,
    frontend: SimulatedFrontend,
    /// Commands keep their order.
    last_command_at: Time,
}

/// The simulation.
pub struct Simulation {
    rng: ChaCha8Rng,
    fault: Option<Fault>,
    now: Time,
    epoch: MonotonicEpoch,
    settings: Settings,
    gateways: u32,
    /// The longest time between two clients.
    max_client_gap_ms: i64,
    servers: Vec<EndpointEntry>,
    hung_until: Vec<Time>,
    processes: Vec<Process>,
    clients: BTreeMap<RequestId, Client>,
    events: BTreeMap<(Time, u64), SimulationEvent>,
    last_event_number: u64,
    last_request_id: u32,
    clients_end_at: Time,
    commands: Vec<Command>,
    history: History,
    occurrences: Vec<(Time, Occurrence)>,
    violation: Option<Violation>,
    /// How often each rare event happened.
    pub counts: BTreeMap<&'static str, u32>,
}

impl Simulation {
    pub fn new(seed: u64, fault: Option<Fault>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = Time::from_micros(1_000_000_000);
        let gateways = rng.random_range(2..=5);
        let tenant = Tenant { quota_per_s: 100.0, quota_connections: QUOTA_CONNECTIONS };
        let settings = Settings {
            gateways,
            discovery: if rng.random() { DiscoveryMode::Pushed } else { DiscoveryMode::OnRequest },
            classes: classes(),
            tenants: vec![tenant],
            batch_interval: ms(TICK_MS),
            max_attempts: rng.random_range(2..=4),
            max_retry_after: ms(500),
            fleet_permits: rng.random_bool(0.8),
            cancellation: rng.random(),
            answer_slack: ms(50),
            drain_grace: ms(400),
            initial_capacity_share: 0.3,
            warm_up_time: ms(20_000),
            overload_factor: 2.5,
            overload_window: ms(2_000),
            ..Settings::for_zone(ZoneId(0))
        };
        let busy = rng.random_bool(0.3);
        let server = |number: u32| EndpointEntry {
            hash_key: number.wrapping_mul(0x9e37_79b9),
            zone: ZoneId(number % 2),
            cell: CellId(number / 2),
            ..EndpointEntry::ready(ServerId(number), ZoneId(0))
        };
        let servers: Vec<EndpointEntry> = (0..SERVERS).map(server).collect();
        let locations = servers.iter().map(|entry| (entry.server, (entry.zone.0, entry.cell.0))).collect();
        let mut simulation = Self {
            rng,
            fault,
            now,
            epoch: MonotonicEpoch { time: now, instant: Instant::now() },
            history: History::new(settings.clone(), locations),
            settings,
            gateways,
            max_client_gap_ms: if busy { 30 } else { 90 },
            hung_until: vec![now; servers.len()],
            servers,
            processes: Vec::new(),
            clients: BTreeMap::new(),
            events: BTreeMap::new(),
            last_event_number: 0,
            last_request_id: 0,
            clients_end_at: now + ms(CLIENTS_ARRIVE_MS),
            commands: Vec::new(),
            occurrences: Vec::new(),
            violation: None,
            counts: BTreeMap::new(),
        };
        for gateway in 0..gateways {
            simulation.start_process(gateway, None);
        }
        // The decision module retries sooner while it has seen few failures: some servers hang from the start.
        for at in 0..simulation.rng.random_range(0..3) {
            simulation.hung_until[at] = now + ms(simulation.rng.random_range(500..3_000));
        }
        simulation.schedule_after(0, SimulationEvent::ClientArrives);
        simulation.schedule_after(200, SimulationEvent::InjectFault);
        simulation
    }

    /// Runs to the end.
    ///
    /// # Errors
    ///
    /// The violated invariant, and the events that led to it.
    pub async fn run(&mut self) -> Result<(), Violation> {
        while self.now < self.clients_end_at + ms(SETTLE_MS) {
            tokio::time::advance(Duration::from_millis(TICK_MS as u64)).await;
            self.now = self.now + ms(TICK_MS);
            let mut steps = 0;
            while self.violation.is_none() && self.process_next() {
                steps += 1;
                let next: Vec<_> = self.events.iter().take(3).collect();
                assert!(steps < MAX_STEPS_PER_TICK, "the simulation loops; next: {next:?}");
            }
            self.record(Occurrence::TimeAdvanced);
            if let Some(mut violation) = self.violation.take() {
                violation.what = format!("{}\n{}", violation.what, self.trace());
                return Err(violation);
            }
        }
        Ok(())
    }

    fn schedule_after(&mut self, wait: i64, event: SimulationEvent) {
        self.schedule_at(self.now + ms(wait), event);
    }

    fn schedule_at(&mut self, at: Time, event: SimulationEvent) {
        self.last_event_number += 1;
        self.events.insert((at, self.last_event_number), event);
    }

    fn random_ms(&mut self, range: std::ops::Range<i64>) -> i64 {
        self.rng.random_range(range)
    }

    fn chance(&mut self, part: f64) -> bool {
        self.rng.random_bool(part)
    }

    /// How long a report or a command is on its way.
    fn delivery_delay(&mut self) -> Span {
        match self.random_ms(0..10) {
            0 => MAX_DELIVERY_DELAY,
            1 | 2 => ms(TICK_MS),
            _ => Span::ZERO,
        }
    }

    /// Handles one timer or message that is due, if there is one.
    fn process_next(&mut self) -> bool {
        let arrived = self.events.first_key_value().is_some_and(|((at, _), _)| *at <= self.now);
        if arrived && self.chance(0.5) {
            self.deliver_next();
            return true;
        }
        let first = self.rng.random_range(0..self.processes.len());
        for offset in 0..self.processes.len() {
            let at = (first + offset) % self.processes.len();
            if self.processes[at].exited {
                continue;
            }
            if let Some(event) = self.processes[at].engine.next_timer_event().now_or_never() {
                self.fire_timer(at, event);
                return true;
            }
        }
        if arrived {
            self.deliver_next();
        }
        arrived
    }

    fn fire_timer(&mut self, process: usize, timer: TimerEvent) {
        if matches!(timer, TimerEvent::AttemptTimeout { .. }) {
            self.count("time-outs");
        }
        let timed_out = matches!(timer, TimerEvent::AttemptTimeout { .. });
        self.processes[process].engine.handle_timer(self.now, timer, &mut self.commands);
        self.perform_commands(process, timed_out);
    }

    fn deliver_next(&mut self) {
        let Some((_, event)) = self.events.pop_first() else { return };
        match event {
            SimulationEvent::ClientArrives => self.client_arrives(),
            SimulationEvent::Report(process, report) => self.handle_report(process, report),
            SimulationEvent::Command(id, command) => {
                self.drive_frontend(id, |frontend, actions| frontend.handle_command(command, actions))
            }
            SimulationEvent::Connection(id, attempt, what) => self.handle_connection_event(id, attempt, what),
            SimulationEvent::ClientLine(id, line) => {
                self.drive_frontend(id, |frontend, actions| frontend.handle_client_line(line.into(), actions))
            }
            SimulationEvent::ClientLeaves(id) => self.client_leaves(id),
            SimulationEvent::InjectFault => self.inject_fault(),
            SimulationEvent::WatchEnds(process, since) => self.end_watch(process, since),
            SimulationEvent::WatchRestored(process) => self.restore_watch(process),
            SimulationEvent::RestartGateway(gateway) => _ = self.start_process(gateway, None),
            SimulationEvent::ShutdownDeadline(process) => self.reach_shutdown_deadline(process),
            SimulationEvent::ProcessExits(process) => self.exit_after_shutdown(process),
            SimulationEvent::ShareSiblingState(from, to) => self.share_sibling_state(from, to),
        }
    }

    fn count(&mut self, label: &'static str) {
        *self.counts.entry(label).or_default() += 1;
    }

    fn record(&mut self, occurrence: Occurrence) {
        if self.violation.is_none() {
            self.history.record(self.now, &occurrence);
            self.violation = invariants::check(&self.history, &occurrence).err();
        }
        if occurrence != Occurrence::TimeAdvanced {
            self.occurrences.push((self.now, occurrence));
        }
    }

    /// The occurrences of the request that the last one is about, and what its process was told of its servers.
    fn trace(&self) -> String {
        let mut text = String::new();
        let last = self.occurrences.iter().rev().find_map(|(_, occurrence)| occurrence.request_id());
        let process_of = |occurrence: &Occurrence| match occurrence {
            Occurrence::Arrived { id, process, .. } if Some(*id) == last => Some(*process),
            _ => None,
        };
        let process = self.occurrences.iter().find_map(|(_, occurrence)| process_of(occurrence));
        let chosen = |occurrence: &Occurrence| match *occurrence {
            Occurrence::Chosen { id, server, .. } if Some(id) == last => Some(server),
            _ => None,
        };
        let servers: BTreeSet<ServerId> =
            self.occurrences.iter().filter_map(|(_, occurrence)| chosen(occurrence)).collect();
        let mut listed = BTreeMap::new();
        for (at, occurrence) in &self.occurrences {
            let shows = match occurrence {
                Occurrence::Listed { process: concerned, server, .. } => {
                    Some(*concerned) == process
                        && servers.contains(server)
                        && listed.insert(*server, occurrence) != Some(occurrence)
                }
                Occurrence::WatchLost { process: concerned, .. }
                | Occurrence::WatchRestored { process: concerned } => Some(*concerned) == process,
                occurrence => occurrence.request_id().is_some() && occurrence.request_id() == last,
            };
            if shows {
                let _ = writeln!(
                    text,
                    "  {:>6} ms {occurrence:?}",
                    at.since(self.epoch.time).as_micros() / 1_000
                );
            }
        }
        text
    }
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_micros().unsigned_abs())
}
