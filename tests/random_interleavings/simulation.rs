//! A simulation of two to five gateways with their front ends, servers, clients, discovery and the network
//! between them. It runs in virtual time, and one seed determines all random choices.
//!
//! All events occur on ticks of 5 ms, which makes rare coincidences frequent. In each tick, due timers and
//! delivered messages are handled in random order. Messages from one part to another are delivered in order,
//! as in the queues of the driver.

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
use super::frontend::{ConnectionEvent, FrontendAction, FrontendCommand, FrontendEvent, SimulatedFrontend};
use super::history::{ClientAnswer, History, MAX_DELIVERY_DELAY, Occurrence};
use super::invariants::{self, Invariant, Violation};

mod clients;
mod discovery;
mod processes;
mod random_events;
mod servers;

/// The duration of a tick.
const TICK_MS: i64 = 5;
/// The maximum number of steps in one tick. More steps mean an infinite loop.
const MAX_STEPS_PER_TICK: u32 = 20_000;
/// The duration in which new clients arrive.
const ARRIVAL_PERIOD_MS: i64 = 12_000;
/// The duration of the simulation after the last arrival. It covers the longest deadline of a request and a
/// shutdown.
const COMPLETION_MS: i64 = 4_000;
const SERVERS: u32 = 6;
/// The longest time until a connection to a server is open.
const MAX_CONNECT_MS: i64 = 1_500;
/// The time from the start of a shutdown until every request has an answer.
const SHUTDOWN_MS: i64 = 2_800;
/// The time from the shutdown deadline until the process exits, in which it writes its last answers.
const FLUSH_MS: i64 = 150;
/// The connection quota of all tenants together.
const QUOTA_CONNECTIONS: f64 = 600.0;
/// The names of the request classes, in the order of [`classes`].
const CLASSES: [&str; 6] = ["plain", "slow", "all", "zone", "cell", "once"];

fn ms(ms: i64) -> Span {
    Span::from_micros(ms * 1_000)
}

fn classes() -> Vec<RequestClass> {
    let keyed = |scope, window_ms| ashtide::Idempotency::WithKey { scope, remembered_for: ms(window_ms) };
    let objectives_and_idempotencies = [
        (400, ashtide::Idempotency::Idempotent),
        (1_100, ashtide::Idempotency::Idempotent),
        (500, keyed(DeduplicationScope::All, 600)),
        (600, keyed(DeduplicationScope::Zone, 800)),
        (700, keyed(DeduplicationScope::Cell, 700)),
        (300, ashtide::Idempotency::NotIdempotent),
    ];
    let class = |(objective_ms, idempotency)| RequestClass {
        latency_objective: ms(objective_ms),
        message_latency_objective: ms(300),
        priority_weight: 1.0,
        idempotency,
    };
    objectives_and_idempotencies.into_iter().map(class).collect()
}

/// A report to the engine of a process.
#[derive(Debug, Clone, PartialEq)]
enum DriverReport {
    /// A client has sent a request.
    Request(RequestId),
    /// A front end reports an event.
    Frontend(RequestId, FrontendEvent),
    /// The predecessor process has handed off an established connection to this server.
    AdoptedConnection(RequestId, ServerId),
    /// Discovery has sent a list update.
    ListUpdate(ListUpdate, Vec<EndpointEntry>),
    /// A list update whose delivery to the engine an injected fault has delayed.
    LateListUpdate(ListUpdate, Vec<EndpointEntry>),
    /// The watch is restored and the list is in sync.
    WatchRestored,
    /// The watch has ended: it is silent since this time, or was closed if `None`.
    WatchEnded(Option<Time>),
    /// Another gateway has sent a datagram.
    Datagram(GatewayId, Vec<u8>),
    /// A server is cordoned (`true`) or uncordoned.
    Cordon(ServerId, bool),
    /// The hash keys of the servers that a quorum of gateways has ejected.
    QuorumEjections(BTreeSet<u32>),
    /// A sibling process reports its use of a server.
    SiblingState(ServerId, ServerUsage),
    /// The process shuts down without a successor.
    GracefulShutdown,
    /// The process shuts down and transfers its connections to its successor.
    HandOver,
}

/// A scheduled event of the simulation. The `usize` numbers are indices of processes.
#[derive(Debug, Clone, PartialEq)]
enum SimulationEvent {
    /// A new client sends a request.
    ClientArrival,
    Report(usize, DriverReport),
    Command(RequestId, FrontendCommand),
    /// An event on the connection of an attempt, with the number of the attempt.
    Connection(RequestId, u32, ConnectionEvent),
    ClientLine(RequestId, &'static [u8]),
    ClientDeparture(RequestId),
    /// A random event occurs, such as a drain or a crash.
    RandomEvent,
    /// The process detects that its watch is silent since this time, or was closed if `None`.
    WatchEnd(usize, Option<Time>),
    WatchRestored(usize),
    /// A gateway without a running process starts one.
    RestartGateway(u32),
    ShutdownDeadline(usize),
    ProcessExit(usize),
    /// The first process reports its state to the second one.
    ShareSiblingState(usize, usize),
}

/// One process of a gateway.
struct Process {
    gateway: u32,
    engine: Engine,
    exited: bool,
    /// The start time of the shutdown, with or without a successor.
    shutdown_began_at: Option<Time>,
    /// The delivery time of the last report. Later reports are not delivered earlier, so that they remain in
    /// order.
    last_report_at: Time,
    /// The delivery time of the last list update that was scheduled.
    last_list_update_at: Time,
    /// Whether the watch delivers list updates.
    is_watching: bool,
    /// The endpoint list that the process has received.
    list: BTreeMap<ServerId, EndpointEntry>,
    cordoned: BTreeSet<ServerId>,
    /// Whether the process has received the report that its watch has ended.
    has_lost_watch: bool,
    /// Whether the full load of a server was recorded, which is done once per process.
    full_load_recorded: bool,
}

/// A client and its front end.
struct Client {
    /// The index of its process.
    process: usize,
    /// The index of its request class.
    class: usize,
    frontend: SimulatedFrontend,
    /// The delivery time of the last command. Later commands are not delivered earlier, so that they remain
    /// in order.
    last_command_at: Time,
}

/// The state of one simulation.
pub struct Simulation {
    rng: ChaCha8Rng,
    fault: Option<Fault>,
    now: Time,
    epoch: MonotonicEpoch,
    settings: Settings,
    /// The number of gateways.
    gateways: u32,
    /// The longest time between the arrivals of two clients, in ms.
    max_arrival_interval_ms: i64,
    servers: Vec<EndpointEntry>,
    /// The time until which each server does not respond.
    hung_until: Vec<Time>,
    processes: Vec<Process>,
    clients: BTreeMap<RequestId, Client>,
    /// The scheduled events, by due time and sequence number.
    events: BTreeMap<(Time, u64), SimulationEvent>,
    last_event_number: u64,
    last_request_id: u32,
    arrivals_end_at: Time,
    /// The commands of an engine that are to be performed next.
    commands: Vec<Command>,
    history: History,
    occurrences: Vec<(Time, Occurrence)>,
    violation: Option<Violation>,
    /// The number of occurrences of each counted event.
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
        let has_high_load = rng.random_bool(0.3);
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
            max_arrival_interval_ms: if has_high_load { 30 } else { 90 },
            hung_until: vec![now; servers.len()],
            servers,
            processes: Vec::new(),
            clients: BTreeMap::new(),
            events: BTreeMap::new(),
            last_event_number: 0,
            last_request_id: 0,
            arrivals_end_at: now + ms(ARRIVAL_PERIOD_MS),
            commands: Vec::new(),
            occurrences: Vec::new(),
            violation: None,
            counts: BTreeMap::new(),
        };
        for gateway in 0..gateways {
            simulation.start_process(gateway, None);
        }
        // Some servers hang from the start, since the decision module retries sooner while it has observed
        // few failures.
        for server in 0..simulation.rng.random_range(0..3) {
            simulation.hung_until[server] = now + ms(simulation.rng.random_range(500..3_000));
        }
        simulation.schedule_after(0, SimulationEvent::ClientArrival);
        simulation.schedule_after(200, SimulationEvent::RandomEvent);
        simulation
    }

    /// Runs the simulation to its end.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant with the events that led to the violation.
    pub async fn run(&mut self) -> Result<(), Violation> {
        while self.now < self.arrivals_end_at + ms(COMPLETION_MS) {
            tokio::time::advance(Duration::from_millis(TICK_MS as u64)).await;
            self.now = self.now + ms(TICK_MS);
            let mut steps = 0;
            while self.violation.is_none() && self.process_next() {
                steps += 1;
                let next: Vec<_> = self.events.iter().take(3).collect();
                assert!(
                    steps < MAX_STEPS_PER_TICK,
                    "more than {MAX_STEPS_PER_TICK} steps in one tick; next events: {next:?}"
                );
            }
            self.record(Occurrence::TimeAdvanced);
            if let Some(mut violation) = self.violation.take() {
                violation.details = format!("{}\n{}", violation.details, self.trace());
                return Err(violation);
            }
        }
        Ok(())
    }

    fn schedule_after(&mut self, delay_ms: i64, event: SimulationEvent) {
        self.schedule_at(self.now + ms(delay_ms), event);
    }

    fn schedule_at(&mut self, due_at: Time, event: SimulationEvent) {
        self.last_event_number += 1;
        self.events.insert((due_at, self.last_event_number), event);
    }

    /// Returns a random number of this range.
    fn random_int(&mut self, range: std::ops::Range<i64>) -> i64 {
        self.rng.random_range(range)
    }

    /// Returns `true` with this probability.
    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    /// Returns a random delivery delay of a report or a command.
    fn delivery_delay(&mut self) -> Span {
        match self.random_int(0..10) {
            0 => MAX_DELIVERY_DELAY,
            1 | 2 => ms(TICK_MS),
            _ => Span::ZERO,
        }
    }

    /// Handles one due timer or message in random order; returns whether there was one.
    fn process_next(&mut self) -> bool {
        let has_due_event = self.events.first_key_value().is_some_and(|((due_at, _), _)| *due_at <= self.now);
        if has_due_event && self.chance(0.5) {
            self.deliver_next();
            return true;
        }
        let first = self.rng.random_range(0..self.processes.len());
        for offset in 0..self.processes.len() {
            let process = (first + offset) % self.processes.len();
            if self.processes[process].exited {
                continue;
            }
            if let Some(event) = self.processes[process].engine.next_timer_event().now_or_never() {
                self.fire_timer(process, event);
                return true;
            }
        }
        if has_due_event {
            self.deliver_next();
        }
        has_due_event
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
            SimulationEvent::ClientArrival => self.handle_client_arrival(),
            SimulationEvent::Report(process, report) => self.handle_report(process, report),
            SimulationEvent::Command(id, command) => {
                self.drive_frontend(id, |frontend, actions| frontend.handle_command(command, actions))
            }
            SimulationEvent::Connection(id, attempt, event) => {
                self.handle_connection_event(id, attempt, event)
            }
            SimulationEvent::ClientLine(id, line) => {
                self.drive_frontend(id, |frontend, actions| frontend.handle_client_line(line.into(), actions))
            }
            SimulationEvent::ClientDeparture(id) => self.handle_client_departure(id),
            SimulationEvent::RandomEvent => self.trigger_random_event(),
            SimulationEvent::WatchEnd(process, silent_since) => self.end_watch(process, silent_since),
            SimulationEvent::WatchRestored(process) => self.restore_watch(process),
            SimulationEvent::RestartGateway(gateway) => _ = self.start_process(gateway, None),
            SimulationEvent::ShutdownDeadline(process) => self.reach_shutdown_deadline(process),
            SimulationEvent::ProcessExit(process) => self.exit_after_shutdown(process),
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

    /// Returns the occurrences of the request that the last occurrence concerns, and the reports on its
    /// servers and watch that its process received.
    fn trace(&self) -> String {
        let mut text = String::new();
        let last_request = self.occurrences.iter().rev().find_map(|(_, occurrence)| occurrence.request_id());
        let process_of = |occurrence: &Occurrence| match occurrence {
            Occurrence::Arrived { id, process, .. } if Some(*id) == last_request => Some(*process),
            _ => None,
        };
        let process = self.occurrences.iter().find_map(|(_, occurrence)| process_of(occurrence));
        let chosen_server = |occurrence: &Occurrence| match *occurrence {
            Occurrence::Chosen { id, server, .. } if Some(id) == last_request => Some(server),
            _ => None,
        };
        let servers: BTreeSet<ServerId> =
            self.occurrences.iter().filter_map(|(_, occurrence)| chosen_server(occurrence)).collect();
        let mut last_listings = BTreeMap::new();
        for (time, occurrence) in &self.occurrences {
            let is_relevant = match occurrence {
                Occurrence::Listed { process: concerned, server, .. } => {
                    Some(*concerned) == process
                        && servers.contains(server)
                        && last_listings.insert(*server, occurrence) != Some(occurrence)
                }
                Occurrence::WatchLost { process: concerned, .. }
                | Occurrence::WatchRestored { process: concerned } => Some(*concerned) == process,
                occurrence => occurrence.request_id().is_some() && occurrence.request_id() == last_request,
            };
            if is_relevant {
                let _ = writeln!(
                    text,
                    "  {:>6} ms {occurrence:?}",
                    time.since(self.epoch.time).as_micros() / 1_000
                );
            }
        }
        text
    }
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_micros().unsigned_abs())
}
