//! Some gateways, their fronts, servers, clients, discovery and the network between them, in one virtual time and
//! by one seed.
//!
//! Everything falls on ticks of 5 ms, so that what rarely meets meets often: in each tick what the wheels of the
//! cores have due and what has arrived are carried out in random order, but that what one says to another stays in
//! its order, as in the driver's queues.

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
use super::invariants::{History, MAX_DELIVERY_DELAY, Occurrence, Violation};

const TICK_MS: i64 = 5;
/// Things that happen in one tick, at most: more, and somebody goes round in circles.
const MAX_STEPS_PER_TICK: u32 = 20_000;
/// How long clients come, and how long is waited after that: for the longest wait, and connections that leave.
const CLIENTS_ARRIVE_MS: i64 = 12_000;
const SETTLE_MS: i64 = 4_000;
const SERVERS: u32 = 6;
/// The longest that a connection takes to come up.
const MAX_CONNECT_MS: i64 = 1_500;
/// From the call to leave to the end of all answers, and from there to the end of the process.
const SHUTDOWN_MS: i64 = 2_800;
const FLUSH_MS: i64 = 150;
/// Connections within all partners' quotas.
const QUOTA_CONNECTIONS: f64 = 600.0;
const CLASSES: [&str; 6] = ["plain", "slow", "all", "zone", "cell", "once"];

fn ms(ms: i64) -> Span {
    Span::from_micros(ms * 1_000)
}

fn classes() -> Vec<RequestClass> {
    let keyed = |group, window| ashtide::Idempotency::WithKey { scope: group, remembered_for: ms(window) };
    let effects = [
        (400, ashtide::Idempotency::Idempotent),
        (1_100, ashtide::Idempotency::Idempotent),
        (500, keyed(DeduplicationScope::All, 600)),
        (600, keyed(DeduplicationScope::Zone, 800)),
        (700, keyed(DeduplicationScope::Cell, 700)),
        (300, ashtide::Idempotency::NotIdempotent),
    ];
    let class = |(aim, effect)| RequestClass {
        latency_objective: ms(aim),
        message_latency_objective: ms(300),
        priority_weight: 1.0,
        idempotency: effect,
    };
    effects.into_iter().map(class).collect()
}

/// What the gateways' reports are about.
#[derive(Debug, Clone, PartialEq)]
enum DriverReport {
    Request(RequestId),
    Frontend(RequestId, FrontendEvent),
    AdoptedConnection(RequestId, ServerId),
    ListUpdate(ListUpdate, Vec<EndpointEntry>),
    /// The same, but that the core hears it late.
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

/// What comes at its time.
#[derive(Debug, Clone, PartialEq)]
enum SimulationEvent {
    ClientArrives,
    Report(usize, DriverReport),
    Command(RequestId, FrontendCommand),
    Connection(RequestId, u32, ConnectionEvent),
    ClientLine(RequestId, &'static [u8]),
    ClientLeaves(RequestId),
    InjectFault,
    /// A watch is found silent or broken, and is there again.
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
    /// When it was told to leave, and whether to a successor.
    shutdown_began_at: Option<Time>,
    /// Nothing arrives earlier than what was sent before.
    last_report_at: Time,
    last_list_update_at: Time,
    is_watching: bool,
    /// The list as told, and what operators have taken out.
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

/// The whole of it.
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
    /// How often each rare thing came about.
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
        let places = servers.iter().map(|it| (it.server, (it.zone.0, it.cell.0))).collect();
        let mut world = Self {
            rng,
            fault,
            now,
            epoch: MonotonicEpoch { time: now, instant: Instant::now() },
            history: History::new(settings.clone(), places),
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
            world.start_process(gateway, None);
        }
        // The module tries twice as fast while it has seen little go wrong: some servers hang from the start.
        for at in 0..world.rng.random_range(0..3) {
            world.hung_until[at] = now + ms(world.rng.random_range(500..3_000));
        }
        world.schedule_after(0, SimulationEvent::ClientArrives);
        world.schedule_after(200, SimulationEvent::InjectFault);
        world
    }

    /// Runs to the end.
    ///
    /// # Errors
    ///
    /// Says which invariant was broken, and what led there.
    pub async fn run(&mut self) -> Result<(), Violation> {
        while self.now < self.clients_end_at + ms(SETTLE_MS) {
            tokio::time::advance(Duration::from_millis(TICK_MS as u64)).await;
            self.now = self.now + ms(TICK_MS);
            let mut steps = 0;
            while self.violation.is_none() && self.process_next() {
                steps += 1;
                let next: Vec<_> = self.events.iter().take(3).collect();
                assert!(steps < MAX_STEPS_PER_TICK, "the world goes round in circles; next: {next:?}");
            }
            self.record(Occurrence::TimeAdvanced);
            if let Some(mut violation) = self.violation.take() {
                violation.what = format!("{}\n{}", violation.what, self.trace());
                return Err(violation);
            }
        }
        Ok(())
    }

    // ---- Time -------------------------------------------------------------------------------

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

    /// What a report or a command takes.
    fn delivery_delay(&mut self) -> Span {
        match self.random_ms(0..10) {
            0 => MAX_DELIVERY_DELAY,
            1 | 2 => ms(TICK_MS),
            _ => Span::ZERO,
        }
    }

    /// Carries one thing out that is due now, if there is any.
    fn process_next(&mut self) -> bool {
        let arrived = self.events.first_key_value().is_some_and(|((at, _), _)| *at <= self.now);
        if arrived && self.chance(0.5) {
            self.deliver_next();
            return true;
        }
        let first = self.rng.random_range(0..self.processes.len());
        for turn in 0..self.processes.len() {
            let at = (first + turn) % self.processes.len();
            if self.processes[at].exited {
                continue;
            }
            if let Some(due) = self.processes[at].engine.next_timer_event().now_or_never() {
                self.fire_timer(at, due);
                return true;
            }
        }
        if arrived {
            self.deliver_next();
        }
        arrived
    }

    fn fire_timer(&mut self, process: usize, due: TimerEvent) {
        if matches!(due, TimerEvent::AttemptTimeout { .. }) {
            self.count("time-outs");
        }
        let late = matches!(due, TimerEvent::AttemptTimeout { .. });
        self.processes[process].engine.handle_timer(self.now, due, &mut self.commands);
        self.perform_commands(process, late);
    }

    fn deliver_next(&mut self) {
        let Some((_, event)) = self.events.pop_first() else { return };
        match event {
            SimulationEvent::ClientArrives => self.client_arrives(),
            SimulationEvent::Report(process, report) => self.handle_report(process, report),
            SimulationEvent::Command(id, command) => {
                self.drive_frontend(id, |front, moves| front.handle_command(command, moves))
            }
            SimulationEvent::Connection(id, attempt, what) => self.handle_connection_event(id, attempt, what),
            SimulationEvent::ClientLine(id, line) => {
                self.drive_frontend(id, |front, moves| front.handle_client_line(line.into(), moves))
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

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn record(&mut self, fact: Occurrence) {
        if self.violation.is_none() {
            self.violation = self.history.record(self.now, &fact).err();
        }
        if fact != Occurrence::TimeAdvanced {
            self.occurrences.push((self.now, fact));
        }
    }

    /// What concerns the request that the last fact is about, and what its process was told of the list.
    fn trace(&self) -> String {
        let mut text = String::new();
        let last = self.occurrences.iter().rev().find_map(|it| it.1.request_id());
        let asked = |fact: &Occurrence| match fact {
            Occurrence::Arrived { id, process, .. } if Some(*id) == last => Some(*process),
            _ => None,
        };
        let process = self.occurrences.iter().find_map(|it| asked(&it.1));
        let chosen = |fact: &Occurrence| match *fact {
            Occurrence::Chosen { id, server, .. } if Some(id) == last => Some(server),
            _ => None,
        };
        let servers: BTreeSet<ServerId> = self.occurrences.iter().filter_map(|it| chosen(&it.1)).collect();
        let mut told = BTreeMap::new();
        for (at, fact) in &self.occurrences {
            let shows = match fact {
                Occurrence::Listed { process: here, server, .. } => {
                    Some(*here) == process
                        && servers.contains(server)
                        && told.insert(*server, fact) != Some(fact)
                }
                Occurrence::WatchLost { process: here, .. } | Occurrence::WatchRestored { process: here } => {
                    Some(*here) == process
                }
                fact => fact.request_id().is_some() && fact.request_id() == last,
            };
            if shows {
                let _ = writeln!(text, "  {:>6} ms {fact:?}", at.since(self.epoch.time).as_micros() / 1_000);
            }
        }
        text
    }

    // ---- Processes --------------------------------------------------------------------------

    /// Starts a process of a gateway with the list that its predecessor held, if it had one.
    fn start_process(&mut self, gateway: u32, list: Option<Vec<EndpointEntry>>) -> usize {
        let mut settings = Settings { gateway_id: GatewayId(gateway), ..self.settings.clone() };
        for class in &mut settings.classes {
            if let ashtide::Idempotency::WithKey { scope: group, remembered_for: window } =
                &mut class.idempotency
            {
                match self.fault {
                    Some(Fault::LongWindow) => *window = window.scale(10.0),
                    Some(Fault::WideGroup) => *group = DeduplicationScope::All,
                    _ => {}
                }
            }
        }
        if self.fault == Some(Fault::EachGatewayAlone) {
            (settings.gateways, settings.gateway_id) = (1, GatewayId(0));
        }
        let elapsed = duration(self.now.since(self.epoch.time));
        let epoch = MonotonicEpoch { time: self.now, instant: self.epoch.instant + elapsed };
        let process = Process {
            gateway,
            engine: Engine::new(settings, self.rng.random(), epoch),
            exited: false,
            shutdown_began_at: None,
            last_report_at: self.now,
            last_list_update_at: self.now,
            is_watching: true,
            list: BTreeMap::new(),
            cordoned: BTreeSet::new(),
            watch_lost: false,
            has_measured_load: false,
        };
        let at = self.processes.len();
        self.processes.push(process);
        if let Some(list) = list {
            self.report_to(at, DriverReport::ListUpdate(ListUpdate::Cached, list));
        }
        self.restore_watch(at);
        at
    }

    fn live_processes(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|&at| !self.processes[at].exited).collect()
    }

    /// The process of a gateway that new clients come to.
    fn current_process(&self, gateway: u32) -> Option<usize> {
        let here = |&at: &usize| self.processes[at].gateway == gateway;
        self.live_processes().into_iter().rfind(here)
    }

    /// The call to leave has had its time: all that are open are answered and moved.
    fn reach_shutdown_deadline(&mut self, process: usize) {
        if self.processes[process].exited {
            return;
        }
        self.processes[process].engine.handle_timer(
            self.now,
            TimerEvent::ShutdownDeadline,
            &mut self.commands,
        );
        self.perform_commands(process, false);
        self.schedule_after(FLUSH_MS, SimulationEvent::ProcessExits(process));
    }

    /// It has said all that it had to.
    fn exit_after_shutdown(&mut self, process: usize) {
        if self.processes[process].exited {
            return;
        }
        if let Some(id) = self.history.unanswered_request(process) {
            let invariant = super::invariants::Invariant::OneFinalAnswer;
            let what = format!("process {process} ends and {id:?} has no answer");
            self.violation.get_or_insert(Violation { invariant, what });
        }
        self.exit_process(process);
    }

    fn exit_process(&mut self, process: usize) {
        if std::mem::replace(&mut self.processes[process].exited, true) {
            return;
        }
        let here: Vec<RequestId> =
            self.clients.iter().filter(|it| it.1.process == process).map(|it| *it.0).collect();
        for id in here {
            self.record(Occurrence::ProcessDied { id });
            self.clients.remove(&id);
        }
        let gateway = self.processes[process].gateway;
        if self.current_process(gateway).is_none() {
            let wait = self.random_ms(0..800);
            self.schedule_after(wait, SimulationEvent::RestartGateway(gateway));
        }
    }

    fn share_sibling_state(&mut self, from: usize, to: usize) {
        if self.processes[from].exited || self.processes[to].exited {
            return;
        }
        for server in (0..SERVERS).map(ServerId) {
            let share = self.processes[from].engine.sibling_share(server);
            self.report_to(to, DriverReport::SiblingState(server, share));
        }
        self.schedule_after(500, SimulationEvent::ShareSiblingState(from, to));
    }

    fn report_to(&mut self, process: usize, report: DriverReport) {
        let at = self.now + self.delivery_delay();
        let heard = &mut self.processes[process].last_report_at;
        *heard = at.max(*heard);
        let at = *heard;
        self.schedule_at(at, SimulationEvent::Report(process, report));
    }

    fn handle_report(&mut self, process: usize, report: DriverReport) {
        if self.processes[process].exited {
            return;
        }
        let now = self.now;
        match report {
            DriverReport::Request(id) => {
                self.record(Occurrence::Admitted { id });
                self.record_full_load(process);
                let Some(request) = self.request(id) else { return };
                self.processes[process].engine.handle_request(now, request, &mut self.commands);
            }
            DriverReport::Frontend(id, word) => return self.handle_frontend_event(process, id, word),
            DriverReport::AdoptedConnection(id, server) => {
                let Some(request) = self.request(id) else { return };
                self.count("adopted");
                self.processes[process].engine.adopt_connection(now, request, server, &mut self.commands);
            }
            DriverReport::ListUpdate(kind, entries) => {
                return self.handle_list_update(process, kind, entries);
            }
            DriverReport::DelayedListUpdate(kind, entries) => {
                self.processes[process].engine.handle_list_update(now, kind, entries, &mut self.commands);
            }
            DriverReport::WatchRestored => {
                self.processes[process].watch_lost = false;
                self.record(Occurrence::WatchRestored { process });
                self.processes[process].engine.renew_list_lease(now, &mut self.commands);
            }
            DriverReport::WatchEnded(since) => {
                // One that has ended was in step until then; one that fell silent was not.
                let end = if since.is_some() { WatchEnd::Failed } else { WatchEnd::Closed };
                let since = since.unwrap_or(now);
                self.record(Occurrence::WatchLost { process, since });
                self.processes[process].watch_lost = true;
                if self.fault != Some(Fault::LosesWatchSilence) {
                    self.processes[process].engine.watch_lost(now, since, end);
                }
                let engine = &mut self.processes[process].engine;
                engine.handle_list_update(now, ListUpdate::WatchFailed, Vec::new(), &mut self.commands);
            }
            DriverReport::Datagram(from, bytes) => {
                self.record_full_load(process);
                // Late, repeated and foreign ones change nothing.
                let heard =
                    self.processes[process].engine.handle_datagram(now, from, &bytes, &mut self.commands);
                self.count(if heard.is_ok() { "datagrams heard" } else { "datagrams unheard" });
            }
            DriverReport::Cordon(server, out) => {
                let set = &mut self.processes[process].cordoned;
                if out {
                    set.insert(server)
                } else {
                    set.remove(&server)
                };
                self.record_listing(process, server);
                self.processes[process].engine.set_cordon(now, server, out, &mut self.commands);
            }
            DriverReport::QuorumEjections(keys) => {
                self.processes[process].engine.set_quorum_ejections(now, &keys, &mut self.commands)
            }
            DriverReport::SiblingState(server, share) => {
                self.processes[process].engine.handle_sibling_state(now, server, share, &mut self.commands);
            }
            DriverReport::GracefulShutdown => {
                let (over, last) = (ms(SHUTDOWN_MS - 400), ms(SHUTDOWN_MS));
                self.processes[process].engine.begin_shutdown(now, over, last);
            }
            DriverReport::HandOver => {
                let (over, last) = (ms(SHUTDOWN_MS - 400), ms(SHUTDOWN_MS));
                self.processes[process].engine.begin_handover(now, over, last, &mut self.commands);
            }
        }
        self.perform_commands(process, false);
    }

    fn handle_frontend_event(&mut self, process: usize, id: RequestId, word: FrontendEvent) {
        let now = self.now;
        match word {
            FrontendEvent::Connected(attempt) => {
                let begins =
                    self.processes[process].engine.may_send_first_byte(now, id, attempt, &mut self.commands);
                self.perform_commands(process, false);
                if begins {
                    self.send_command(id, FrontendCommand::SendFirstByte { attempt });
                } else {
                    self.count("late connections not used");
                }
                return;
            }
            FrontendEvent::Accepted(attempt) => {
                let up =
                    self.processes[process].engine.handle_established(now, id, attempt, &mut self.commands);
                // As in the driver: before what else follows of it.
                if up {
                    self.send_command(id, FrontendCommand::ForwardAccepted { attempt });
                } else {
                    self.count("up too late");
                }
            }
            FrontendEvent::Ended(attempt, outcome) => {
                self.record(Occurrence::AttemptEndReported { id, attempt, outcome });
                self.processes[process].engine.handle_attempt_end(
                    now,
                    id,
                    attempt,
                    outcome,
                    &mut self.commands,
                );
            }
            FrontendEvent::ClientLeft => {
                self.record(Occurrence::DepartureReported { id });
                if self.fault != Some(Fault::LosesClientDeparture) {
                    self.processes[process].engine.handle_client_left(now, id, &mut self.commands);
                }
            }
            FrontendEvent::ClientMessage => {
                self.processes[process].engine.handle_client_message(now, id, true)
            }
            FrontendEvent::ServerMessage => self.processes[process].engine.handle_server_message(now, id),
            FrontendEvent::Load(load) => {
                self.processes[process].engine.handle_load_report(now, id, load, &mut self.commands)
            }
        }
        self.perform_commands(process, false);
    }

    /// The request as the driver makes it of the client's words.
    fn request(&self, id: RequestId) -> Option<Request> {
        let client = self.clients.get(&id)?;
        let open = &client.frontend.open;
        let class = CLASSES.iter().position(|it| *it == open.class)?;
        let class = if self.fault == Some(Fault::SwapsClasses) { (class + 1) % CLASSES.len() } else { class };
        let group = open.group.as_ref().map(|it| GroupId(it.len() as u32));
        let tenant = open.tenant.as_ref().map(|_| TenantId(0));
        let time_left = Span::from_micros(client.frontend.client_patience().as_micros() as i64);
        Some(Request { id, class: ClassId(class as u32), tenant, group, time_left, load: open.load })
    }

    /// The first time that the module looks at how many servers share the quotas: more are never fewer again.
    fn record_full_load(&mut self, process: usize) {
        let it = &mut self.processes[process];
        if !std::mem::replace(&mut it.has_measured_load, true) {
            let ready = |listing: &&EndpointEntry| {
                listing.state == ServerState::Ready
                    && !it.cordoned.contains(&listing.server)
                    && !it.watch_lost
            };
            let most = it.list.values().filter(ready).count().max(1);
            self.history.connections_when_full =
                self.history.connections_when_full.max(QUOTA_CONNECTIONS / most as f64);
        }
    }

    fn perform_commands(&mut self, process: usize, late: bool) {
        for effect in std::mem::take(&mut self.commands) {
            match effect {
                Command::Attempt { id, attempt, server, timeout } => {
                    if attempt > 0 {
                        self.count("repeats");
                    }
                    self.record(Occurrence::Chosen { id, attempt, server, timeout });
                    self.send_command(id, FrontendCommand::Attempt { attempt, server, timeout });
                }
                Command::Close { id, attempt } => {
                    self.record(Occurrence::Abandoned { id, attempt, late });
                    self.send_command(id, FrontendCommand::Close { attempt });
                }
                Command::Answer { id, answer } => {
                    self.record(Occurrence::AnswerDecided { id });
                    if self.fault == Some(Fault::LosesAnswers) && self.chance(0.1) {
                        continue;
                    }
                    let answer = match self.fault {
                        Some(Fault::RejectsAll) => ashtide::engine::FinalAnswer::Rejected(Span::ZERO),
                        _ => answer,
                    };
                    self.send_command(id, FrontendCommand::Answer(answer));
                }
                Command::Migrate { id } => {
                    self.count("moved");
                    self.send_command(id, FrontendCommand::Migrate);
                }
                Command::HandOff { id, server } => self.send_command(id, FrontendCommand::HandOff(server)),
                Command::SendDatagram(datagram) => self.send_datagram(process, datagram.to, datagram.bytes()),
                Command::CheckHealth { .. } | Command::Subscribe => {}
            }
        }
        // What the engine finds itself is found in plays without a fault of the test's as well.
        let found = self.processes[process].engine.take_request_violations().recent;
        if let Some(violation) = found.first().filter(|_| self.fault.is_none()) {
            panic!("the engine's own invariant: {violation}");
        }
        if let Err(violation) = self.processes[process].engine.check_permits() {
            let invariant = super::invariants::Invariant::PermitsWithinLimit;
            self.violation.get_or_insert(Violation { invariant, what: violation.to_string() });
        }
    }

    /// A datagram to another gateway: late, twice, or never.
    fn send_datagram(&mut self, process: usize, to: GatewayId, bytes: &[u8]) {
        let from = GatewayId(self.processes[process].gateway);
        let mut bytes = bytes.to_vec();
        if let [19, .., flags, _] = &mut bytes[..]
            && self.fault == Some(Fault::ForgesPermits)
        {
            *flags |= 1;
        }
        let copies = match self.random_ms(0..20) {
            0 | 1 => 0,
            2 => 2,
            _ => 1,
        };
        self.count(["datagrams lost", "datagrams", "datagrams doubled"][copies]);
        for _ in 0..copies {
            let heirs: Vec<usize> =
                self.live_processes().into_iter().filter(|&at| self.processes[at].gateway == to.0).collect();
            let Some(&process) = heirs.choose(&mut self.rng) else { continue };
            let wait = if self.chance(0.1) { self.random_ms(60..300) } else { self.random_ms(0..25) };
            self.schedule_after(
                wait,
                SimulationEvent::Report(process, DriverReport::Datagram(from, bytes.clone())),
            );
        }
    }

    fn send_command(&mut self, id: RequestId, command: FrontendCommand) {
        let at = self.now + self.delivery_delay();
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.last_command_at = client.last_command_at.max(at);
        let at = client.last_command_at;
        self.schedule_at(at, SimulationEvent::Command(id, command));
    }

    // ---- Discovery --------------------------------------------------------------------------

    fn handle_list_update(&mut self, process: usize, kind: ListUpdate, entries: Vec<EndpointEntry>) {
        let it = &mut self.processes[process];
        if kind != ListUpdate::Delta {
            it.list.values_mut().for_each(|listing| listing.state = ServerState::Removed);
        }
        for entry in &entries {
            it.list.insert(entry.server, entry.clone());
        }
        (0..SERVERS).for_each(|server| self.record_listing(process, ServerId(server)));
        let drains = entries.iter().any(|it| it.state != ServerState::Ready);
        if self.fault == Some(Fault::LateDrains) && drains {
            return self.schedule_after(
                1_500,
                SimulationEvent::Report(process, DriverReport::DelayedListUpdate(kind, entries)),
            );
        }
        self.processes[process].engine.handle_list_update(self.now, kind, entries, &mut self.commands);
        self.perform_commands(process, false);
    }

    fn record_listing(&mut self, process: usize, server: ServerId) {
        let it = &self.processes[process];
        let Some(listing) = it.list.get(&server) else { return };
        let ready = listing.state == ServerState::Ready && !it.cordoned.contains(&server);
        let started = listing.started_at;
        self.record(Occurrence::Listed { process, server, ready, started });
    }

    /// A server's entry has changed: those hear it, late, whose watch is there.
    fn announce_change(&mut self, server: ServerId) {
        let entry = self.servers[server.0 as usize].clone();
        for process in self.live_processes() {
            if !self.processes[process].is_watching {
                continue;
            }
            let wait = if self.chance(0.2) { self.random_ms(0..1_500) } else { self.random_ms(0..50) };
            let news = &mut self.processes[process].last_list_update_at;
            *news = (self.now + ms(wait)).max(*news);
            let at = *news;
            self.schedule_at(
                at,
                SimulationEvent::Report(
                    process,
                    DriverReport::ListUpdate(ListUpdate::Delta, vec![entry.clone()]),
                ),
            );
        }
    }

    fn snapshot(&self) -> Vec<EndpointEntry> {
        self.servers.iter().filter(|it| it.state != ServerState::Removed).cloned().collect()
    }

    fn end_watch(&mut self, process: usize, since: Option<Time>) {
        self.processes[process].is_watching = false;
        self.report_to(process, DriverReport::WatchEnded(since));
        let wait = if self.chance(0.3) { self.random_ms(2_000..7_000) } else { self.random_ms(0..800) };
        self.schedule_after(wait, SimulationEvent::WatchRestored(process));
    }

    /// Discovery answers: with the whole list, with changes, or with nothing if there are none.
    fn restore_watch(&mut self, process: usize) {
        let it = &mut self.processes[process];
        if it.exited {
            return;
        }
        it.is_watching = true;
        let first = it.list.is_empty();
        let (kind, entries) = match first || self.chance(0.5) {
            true => (ListUpdate::Snapshot, self.snapshot()),
            false => (ListUpdate::Delta, self.servers.clone()),
        };
        self.report_to(process, DriverReport::ListUpdate(kind, entries));
        self.processes[process].last_list_update_at = self.processes[process].last_report_at;
        self.report_to(process, DriverReport::WatchRestored);
    }

    // ---- Troubles ---------------------------------------------------------------------------

    fn inject_fault(&mut self) {
        if self.now >= self.clients_end_at {
            return;
        }
        let wait = self.random_ms(20..400);
        self.schedule_after(wait, SimulationEvent::InjectFault);
        let live = self.live_processes();
        let (Some(&process), server) = (live.choose(&mut self.rng), self.rng.random_range(0..SERVERS)) else {
            return;
        };
        let at = server as usize;
        match self.random_ms(0..30) {
            0..=3 => self.change_server_state(at, ServerState::Draining, false),
            4 | 5 => self.change_server_state(at, ServerState::Removed, false),
            6..=10 => self.change_server_state(at, ServerState::Ready, true),
            11 => self.change_server_state(at, ServerState::Ready, false),
            12 => {
                // A whole list that lacks a server, and later one that has it.
                let mut lacks = self.snapshot();
                lacks.retain(|it| it.server.0 != server);
                self.count("lists that lack a server");
                self.report_to(process, DriverReport::ListUpdate(ListUpdate::Snapshot, lacks));
                let wait = self.random_ms(5..1_500);
                self.schedule_after(wait, SimulationEvent::WatchRestored(process));
            }
            13 | 14 if self.processes[process].is_watching => {
                self.count("broken watches");
                self.end_watch(process, None);
            }
            15..=17 if self.processes[process].is_watching => {
                // Found silent some seconds later, while it told nothing.
                self.count("silent watches");
                self.processes[process].is_watching = false;
                let wait = self.random_ms(2_200..5_500);
                self.schedule_after(wait, SimulationEvent::WatchEnds(process, Some(self.now)));
            }
            18 | 19 => {
                self.count("cordons");
                let out = self.chance(0.5);
                self.report_to(process, DriverReport::Cordon(ServerId(server), out));
            }
            20 => {
                let keys = self
                    .servers
                    .iter()
                    .map(|it| it.hash_key)
                    .filter(|key| (key >> 7) % 3 == u32::from(server % 3 == 0));
                let keys = keys.take((server % 3) as usize).collect();
                self.report_to(process, DriverReport::QuorumEjections(keys));
            }
            21 if live.len() > 1 => {
                self.count("crashes");
                self.exit_process(process);
            }
            22 if self.processes[process].shutdown_began_at.is_none() => self.shut_down(process, false),
            23 | 24 if self.processes[process].shutdown_began_at.is_none() => self.shut_down(process, true),
            25 | 26 => {
                self.count("hung servers");
                self.hung_until[at] = self.now + ms(self.rng.random_range(500..4_000));
            }
            _ => {
                for _ in 0..self.random_ms(3..25) {
                    self.send_request();
                }
            }
        }
    }

    fn change_server_state(&mut self, at: usize, state: ServerState, anew: bool) {
        // Some are left to serve.
        let ready = self.servers.iter().filter(|it| it.state == ServerState::Ready).count();
        if state != ServerState::Ready && ready < 3 {
            return;
        }
        self.count(match (state, anew) {
            (ServerState::Draining, _) => "drains",
            (ServerState::Removed, _) => "gone",
            (ServerState::Ready, true) => "back anew",
            (ServerState::Ready, false) => "back",
        });
        let it = &mut self.servers[at];
        it.state = state;
        if anew {
            it.started_at = Some(self.now);
        }
        self.announce_change(ServerId(at as u32));
    }

    fn shut_down(&mut self, process: usize, heir: bool) {
        self.processes[process].shutdown_began_at = Some(self.now);
        if heir {
            self.count("handovers");
            let (gateway, list) = (self.processes[process].gateway, self.processes[process].list.clone());
            let heir = self.start_process(gateway, Some(list.into_values().collect()));
            self.report_to(process, DriverReport::HandOver);
            self.schedule_after(100, SimulationEvent::ShareSiblingState(process, heir));
            self.schedule_after(150, SimulationEvent::ShareSiblingState(heir, process));
        } else {
            self.count("leaves");
            self.report_to(process, DriverReport::GracefulShutdown);
        }
        self.schedule_after(SHUTDOWN_MS, SimulationEvent::ShutdownDeadline(process));
    }

    // ---- Clients ----------------------------------------------------------------------------

    fn client_arrives(&mut self) {
        if self.now < self.clients_end_at {
            let wait = self.random_ms(0..self.max_client_gap_ms);
            self.schedule_after(wait, SimulationEvent::ClientArrives);
            self.send_request();
        }
    }

    /// A client says what it wants to some gateway; some also come to one that leaves.
    fn send_request(&mut self) {
        let gateway = self.rng.random_range(0..self.gateways);
        let here: Vec<usize> =
            self.live_processes().into_iter().filter(|&at| self.processes[at].gateway == gateway).collect();
        let Some(&process) = here.choose(&mut self.rng) else { return };
        if let Some(since) = self.processes[process].shutdown_began_at {
            let passed = self.now.since(since);
            if passed > ms(400) && !self.chance(0.1) {
                return;
            }
            // Its listener is closed before its last answers are written (`src/net/listen.rs`).
            if passed >= ms(SHUTDOWN_MS) {
                return;
            }
        }
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let class = self.rng.random_range(0..CLASSES.len());
        let wait = self.random_ms(300..2_400);
        let group = if self.chance(0.3) {
            format!(",g={}", "x".repeat(self.rng.random_range(1..5)))
        } else {
            String::new()
        };
        let line = format!("OPEN id{} key c={},t=acme,d={wait}{group}\r\n", id.0, CLASSES[class]);
        let front = SimulatedFrontend::new(line.into(), self.fault).expect("a line in the protocol's form");
        self.clients.insert(id, Client { process, class, frontend: front, last_command_at: self.now });
        self.record(Occurrence::Arrived { id, class, process, time_left: ms(wait) });
        self.report_to(process, DriverReport::Request(id));
        match self.random_ms(0..20) {
            0..=2 => {
                let wait = self.random_ms(0..wait + 50);
                self.schedule_after(wait, SimulationEvent::ClientLeaves(id));
            }
            3 => {
                let wait = self.random_ms(0..wait);
                let line: &[u8] = if self.chance(0.5) { b"OPEN again\r\n" } else { b"early\r\n" };
                self.schedule_after(wait, SimulationEvent::ClientLine(id, line));
            }
            _ => {}
        }
    }

    fn client_leaves(&mut self, id: RequestId) {
        let Some(client) = self.clients.get(&id) else { return };
        if client.frontend.is_finished() {
            return;
        }
        if !client.frontend.is_established() {
            self.count("clients left");
            self.record(Occurrence::ClientLeft { id });
        }
        self.drive_frontend(id, SimulatedFrontend::handle_client_departure);
    }

    fn drive_frontend(
        &mut self,
        id: RequestId,
        act: impl FnOnce(&mut SimulatedFrontend, &mut Vec<FrontendAction>),
    ) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let (process, mut moves) = (client.process, Vec::new());
        act(&mut client.frontend, &mut moves);
        for it in moves {
            self.perform_action(process, id, it);
        }
    }

    fn perform_action(&mut self, process: usize, id: RequestId, it: FrontendAction) {
        match it {
            FrontendAction::Report(word) => {
                if let FrontendEvent::Ended(_, outcome) = word {
                    self.count(match outcome {
                        Outcome::ConnectError => "connect errors",
                        Outcome::Reset => "resets",
                        Outcome::QueueFull => "turned away",
                        Outcome::Failed => "errors",
                        _ => "other ends",
                    });
                }
                self.report_to(process, DriverReport::Frontend(id, word));
            }
            FrontendAction::Connect(attempt, server) => self.connect(id, attempt, server),
            FrontendAction::FirstByte(attempt) => {
                self.record(Occurrence::FirstByte { id, attempt });
                let slow = if self.chance(0.2) { self.random_ms(0..60) } else { 0 };
                if slow > 0 && self.chance(0.4) {
                    self.schedule_after(
                        slow,
                        SimulationEvent::Connection(id, attempt, ConnectionEvent::Reset),
                    );
                } else {
                    self.schedule_after(
                        slow,
                        SimulationEvent::Connection(id, attempt, ConnectionEvent::Written),
                    );
                }
            }
            FrontendAction::LastByte(attempt) => {
                self.record(Occurrence::LastByte { id, attempt });
                self.answer_request(id, attempt);
            }
            FrontendAction::Close(attempt, outcome) => {
                self.record(Occurrence::Closed { id, attempt, outcome })
            }
            FrontendAction::FinalAnswer(answer) => {
                self.count(match answer {
                    super::invariants::ClientAnswer::Served => "served",
                    super::invariants::ClientAnswer::Rejected => "refused",
                    super::invariants::ClientAnswer::Failed => "failed",
                });
                self.record(Occurrence::Answered { id, answer });
            }
            FrontendAction::Established(attempt) => self.schedule_established_traffic(id, attempt),
            FrontendAction::HandOff(server) => self.hand_off(process, id, server),
            FrontendAction::Finished => _ = self.clients.remove(&id),
        }
    }

    fn hand_off(&mut self, process: usize, id: RequestId, server: ServerId) {
        let Some(heir) = self.current_process(self.processes[process].gateway).filter(|&it| it != process)
        else {
            return;
        };
        let Some(client) = self.clients.get(&id) else { return };
        let (open, class) = (client.frontend.open.clone(), client.class);
        self.count("handed");
        self.last_request_id += 1;
        let adopted = RequestId(self.last_request_id);
        let front = SimulatedFrontend::established(open, server, self.fault);
        self.clients
            .insert(adopted, Client { process: heir, class, frontend: front, last_command_at: self.now });
        self.report_to(heir, DriverReport::AdoptedConnection(adopted, server));
        self.schedule_established_traffic(adopted, 0);
    }

    // ---- Servers and the network between ----------------------------------------------------

    fn connect(&mut self, id: RequestId, attempt: u32, server: ServerId) {
        let state = self.servers[server.0 as usize].state;
        let wait = match self.random_ms(0..10) {
            0 => self.random_ms(0..MAX_CONNECT_MS),
            1 => self.random_ms(0..300),
            _ => self.random_ms(0..2) * TICK_MS,
        };
        if state == ServerState::Removed || self.chance(0.05) {
            return self
                .schedule_after(wait, SimulationEvent::Connection(id, attempt, ConnectionEvent::Refused));
        }
        if wait > 300 {
            self.count("late connections");
        }
        self.schedule_after(wait, SimulationEvent::Connection(id, attempt, ConnectionEvent::Connected));
        if self.chance(0.04) {
            let wait = self.random_ms(0..wait + 40);
            self.schedule_after(wait, SimulationEvent::Connection(id, attempt, ConnectionEvent::Reset));
        }
    }

    /// What a server does with a line that it has whole.
    fn answer_request(&mut self, id: RequestId, attempt: u32) {
        let Some((_, server)) = self.clients.get(&id).and_then(|it| it.frontend.current_attempt()) else {
            return;
        };
        let at = server.0 as usize;
        if self.hung_until[at] > self.now {
            return;
        }
        let kind = match self.servers[at].state {
            ServerState::Ready => self.random_ms(0..100),
            ServerState::Draining => self.random_ms(55..90),
            ServerState::Removed => 85,
        };
        let wait = match self.random_ms(0..10) {
            0 => self.random_ms(0..1_200),
            1..=3 => self.random_ms(0..200),
            _ => self.random_ms(0..4) * TICK_MS,
        };
        let line: &'static [u8] = match kind {
            0..=59 => b"UP 7c1\r\n",
            60..=71 => b"BUSY 200\r\n",
            72..=79 => b"ERR\r\n",
            80..=82 => b"MOVE\r\n",
            83..=91 => {
                return self
                    .schedule_after(wait, SimulationEvent::Connection(id, attempt, ConnectionEvent::Reset));
            }
            92..=95 => b"UPP \r\n",
            _ => return,
        };
        self.schedule_after(
            wait,
            SimulationEvent::Connection(id, attempt, ConnectionEvent::Line(line.into())),
        );
        if self.chance(0.1) {
            self.count("second answers");
            let line = [&b"UP 9\r\n"[..], b"BUSY\r\n", b"ERR\r\n"].choose(&mut self.rng).copied();
            let wait = wait + self.random_ms(0..25);
            self.schedule_after(
                wait,
                SimulationEvent::Connection(
                    id,
                    attempt,
                    ConnectionEvent::Line(line.unwrap_or_default().into()),
                ),
            );
        }
    }

    fn handle_connection_event(&mut self, id: RequestId, attempt: u32, what: ConnectionEvent) {
        let Some(client) = self.clients.get(&id) else { return };
        // A line waits in the socket until it is read.
        if matches!(what, ConnectionEvent::Line(_))
            && client.frontend.current_attempt().is_some_and(|it| it.0 == attempt)
            && !client.frontend.reads_server()
        {
            return self.schedule_after(TICK_MS, SimulationEvent::Connection(id, attempt, what));
        }
        self.drive_frontend(id, |front, moves| front.handle_connection_event(attempt, what, moves));
    }

    /// What is said on a connection that stands, and how it ends.
    fn schedule_established_traffic(&mut self, id: RequestId, attempt: u32) {
        let hung = self.chance(0.1);
        for _ in 0..self.random_ms(0..3) {
            let wait = self.random_ms(0..2_500);
            self.schedule_after(wait, SimulationEvent::ClientLine(id, b"reading 17\r\n"));
            if !hung {
                let line: &[u8] = if self.chance(0.3) { b"LOAD 1200\r\n" } else { b"ok\r\n" };
                self.schedule_after(
                    wait + 5,
                    SimulationEvent::Connection(id, attempt, ConnectionEvent::Line(line.into())),
                );
            }
        }
        let wait = self.random_ms(50..6_000);
        match self.random_ms(0..10) {
            0..=3 => self.schedule_after(wait, SimulationEvent::ClientLeaves(id)),
            4 => self.schedule_after(
                wait,
                SimulationEvent::Connection(id, attempt, ConnectionEvent::Line(b"BYE\r\n"[..].into())),
            ),
            5 => self.schedule_after(
                wait,
                SimulationEvent::Connection(id, attempt, ConnectionEvent::Line(b"MOVE\r\n"[..].into())),
            ),
            6 | 7 => {
                self.schedule_after(wait, SimulationEvent::Connection(id, attempt, ConnectionEvent::Reset))
            }
            _ => {}
        }
    }
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_micros().unsigned_abs())
}
