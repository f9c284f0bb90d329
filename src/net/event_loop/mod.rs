//! The task that owns the engine: fronts report to it, and it sends them commands.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ashtide_quota::ConnectionKind;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tracing::info;

use super::admin::{AdminContext, CordonRequest, Health};
use super::fleet::quota::QuotaService;
use super::fleet::shared_state::SharedState;
use super::handover::{SiblingLink, unix_micros};
use super::messages::{
    CommandSender, ConnectionRequest, DriverEvent, EventLoopHandle, ServerObservations, SessionCommand,
    to_duration, to_span,
};
use super::rate_limited_log::RateLimitedLog;
use crate::config::Config;
use crate::decision::interface::*;
use crate::discovery::start_times::StartTimes;
use crate::discovery::{Endpoint, EndpointList, EndpointStatus};
use crate::engine::{Command, Engine, FinalAnswer, TimerEvent};
use crate::fleet::permits::PermitDatagram;
use crate::fleet::quota;
use crate::fleet::shared_state::{LocalObservation, ServerObservation, name_hash};
use crate::handover::CordonTransition;
use crate::metrics::{Gauge, Metrics};
use crate::quic::load_balancing::server_id_for_name;
use crate::settings::{NameTables, group_id};

/// Reports that may wait for the core before fronts have to.
const EVENT_QUEUE: usize = 1024;
/// Servers whose names are remembered; further new ones are passed over.
const MAX_KNOWN_SERVERS: usize = 4096;
/// Of the time between SIGTERM and SIGKILL, the last part is kept free for closing.
const CLOSE_MARGIN: Duration = Duration::from_millis(400);
/// Clients keep coming for a while after SIGTERM: no exit before.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(900);
/// After a server has refused, what is beyond a quota is not placed for so long.
const REJECTION_COOLDOWN: Duration = Duration::from_secs(2);
/// A final answer that waits for its client to read it, at most.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

static SERVER_FAULTS: RateLimitedLog = RateLimitedLog::new("server");
static DATAGRAM_ERRORS: RateLimitedLog = RateLimitedLog::new("rights");
static ENGINE_VIOLATIONS: RateLimitedLog = RateLimitedLog::new("rights");
static REQUEST_VIOLATIONS: RateLimitedLog = RateLimitedLog::new("request");
static SHARED_STATE_VIOLATIONS: RateLimitedLog = RateLimitedLog::new("state");

/// The core's driver.
pub struct EventLoop {
    engine: Engine,
    names: NameTables,
    addresses: HashMap<ServerId, SocketAddr>,
    sessions: BTreeMap<RequestId, CommandSender>,
    epoch: (Time, Instant),
    events: mpsc::Receiver<DriverEvent>,
    handle: EventLoopHandle,
    subscribe: mpsc::Sender<()>,
    /// Where datagrams to other gateways go.
    datagrams: mpsc::Sender<PermitDatagram>,
    /// The list as it stands, its version, and whether discovery has told any of it to this process.
    endpoints: BTreeMap<String, Endpoint>,
    list_index: u64,
    updated_by_discovery: bool,
    /// When its servers started.
    start_times: StartTimes,
    /// Who wants to know of the servers on it.
    server_addresses: watch::Sender<BTreeMap<String, SocketAddr>>,
    connect_timeout: Duration,
    commands: Vec<Command>,
    health: Arc<Health>,
    post: SiblingLink,
    /// Operators' calls; they go before all reports.
    cordon_calls: mpsc::Receiver<CordonRequest>,
    /// Servers kept out for work, as the gateways have settled.
    under_maintenance: BTreeSet<String>,
    /// What the gateways share, where they do.
    shared_state: Option<Arc<SharedState>>,
    /// Partners' quotas, where they are kept; when time is next to pass for them.
    quota: Option<(Arc<QuotaService>, Instant)>,
    /// When a server last refused, and the longest wait that clients may be told.
    server_rejected_at: Option<Instant>,
    max_retry_after: Span,
    /// No exit before the first; exit at the second whatever is left.
    shutdown: Option<(Instant, Instant)>,
    /// Whether only what has been said is still written, and nobody else is to be taken in.
    closing: watch::Sender<bool>,
}

impl EventLoop {
    /// A core for this configuration; `subscribe` asks the list's driver to watch.
    pub fn new(
        config: &Config,
        subscribe: mpsc::Sender<()>,
        datagrams: mpsc::Sender<PermitDatagram>,
        post: SiblingLink,
    ) -> (Self, EventLoopHandle, AdminContext) {
        let unix = Duration::from_micros(unix_micros());
        let epoch = (Time::default() + to_span(unix), Instant::now());
        let names = config.settings.name_tables();
        // Peers that are allowed and have no address cannot be asked: each gateway then has turns of its own.
        let settings =
            Settings { fleet_permits: config.peers.is_some(), ..config.settings.balancer_settings(&names) };
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        let metrics = Arc::new(Metrics::new(names.classes.names()));
        let (office, calls) = AdminContext::new(metrics.clone());
        let handle = EventLoopHandle::new(metrics, sender);
        // A list that is pushed comes from an agent of this machine, which has to be watched all the same;
        // the module asks only where the list is one service for all.
        let pushed = settings.discovery == DiscoveryMode::Pushed;
        let max_retry_after = settings.max_retry_after;
        let core = Self {
            engine: Engine::new(settings, config.seed, epoch),
            names,
            addresses: HashMap::new(),
            sessions: BTreeMap::new(),
            epoch,
            events,
            handle: handle.clone(),
            subscribe,
            datagrams,
            endpoints: BTreeMap::new(),
            list_index: 0,
            updated_by_discovery: false,
            start_times: StartTimes::default(),
            server_addresses: watch::Sender::new(BTreeMap::new()),
            connect_timeout: to_duration(config.settings.connect_timeout()),
            commands: pushed.then_some(Command::Subscribe).into_iter().collect(),
            health: office.health.clone(),
            post,
            cordon_calls: calls,
            under_maintenance: BTreeSet::new(),
            shared_state: None,
            quota: None,
            server_rejected_at: None,
            max_retry_after,
            shutdown: None,
            closing: watch::Sender::new(false),
        };
        (core, handle, office)
    }

    /// What the gateways share is fed and used from now on; `witness`, where what attempts came to is told, too.
    pub fn enable_shared_state(&mut self, board: Arc<SharedState>, report_outcomes: bool) {
        self.shared_state = Some(board);
        if report_outcomes {
            self.engine.enable_outcome_reports();
        }
    }

    /// Partners' quotas are kept from now on.
    pub fn enable_quota(&mut self, desk: Arc<QuotaService>) {
        self.quota = Some((desk, Instant::now()));
    }

    /// The servers on the list and their addresses, as they change.
    pub fn server_addresses(&self) -> watch::Receiver<BTreeMap<String, SocketAddr>> {
        self.server_addresses.subscribe()
    }

    /// Whether the process is about to end, after all that wait to be accepted.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Serves until the process is to end.
    pub async fn run(mut self, known: Option<EndpointList>) {
        let out: Vec<String> = self.post.cordons().cordoned_servers().map(str::to_owned).collect();
        for server in out {
            self.cordon(self.now(), &server, true);
        }
        let known = known.unwrap_or(EndpointList { index: 0, snapshot: true, endpoints: Vec::new() });
        self.apply_list(known, ListUpdate::Cached);
        loop {
            self.execute_commands();
            self.report_violations();
            let end = match self.shutdown {
                Some((earliest, _))
                    if self.sessions.is_empty() && self.post.pending_clients.sockets_in_use() == 0 =>
                {
                    Some(earliest)
                }
                Some((_, latest)) => Some(latest),
                None => None,
            };
            let look = self.quota.as_ref().map(|it| it.1);
            tokio::select! {
                biased;
                Some(call) = self.cordon_calls.recv() => self.handle_cordon_call(call),
                () = tokio::time::sleep_until(look.unwrap_or_else(Instant::now)), if look.is_some() => self.advance_quota(),
                () = tokio::time::sleep_until(end.unwrap_or_else(Instant::now)), if end.is_some() => {
                    // Whatever is still open has its answer, also where the wheel comes late.
                    self.handle_timer(TimerEvent::ShutdownDeadline);
                    self.execute_commands();
                    self.closing.send_replace(true);
                    // What has just been answered still has to reach its clients, and what is passed on its
                    // successor.
                    self.flush().await;
                    while self.post.successor().is_some_and(|heir| heir.has_handoffs_in_flight()) {
                        self.flush().await;
                    }
                    return;
                }
                due = self.engine.next_timer_event() => self.handle_timer(due),
                report = self.events.recv() => match report {
                    Some(report) => self.handle_event(report),
                    None => return,
                },
            }
        }
    }

    /// Gives what has been said the time to be written. Who still asks is refused meanwhile.
    async fn flush(&mut self) {
        let until = Instant::now() + FLUSH_TIMEOUT;
        while let Ok(Some(report)) = tokio::time::timeout_at(until, self.events.recv()).await {
            self.handle_event(report);
            self.execute_commands();
        }
    }

    fn handle_timer(&mut self, timer: TimerEvent) {
        let now = self.now();
        self.engine.handle_timer(now, timer, &mut self.commands);
        match timer {
            TimerEvent::ListExpired if self.engine.list_expired() => {
                info!("discovery: the list is unvouched for; nothing new is placed until it answers");
            }
            TimerEvent::Sweep => {
                if let Err(broken) = self.engine.check_permits() {
                    ENGINE_VIOLATIONS.log(format_args!("invariant broken: {broken}; {}", broken.help()));
                }
                self.update_gauges(now);
                self.update_shared_state(now);
            }
            TimerEvent::ShutdownDeadline => self.post.pending_clients.close(),
            _ => {}
        }
    }

    /// Logs and counts what broke an invariant of a request. A debug build ends.
    fn report_violations(&mut self) {
        let (found, count) = self.engine.take_request_violations();
        for violation in &found {
            REQUEST_VIOLATIONS.log(format_args!("invariant broken: {violation}; {}", violation.help()));
        }
        if !found.is_empty() {
            self.handle
                .metrics()
                .set_gauge(Gauge::InvariantViolations, usize::try_from(count).unwrap_or(usize::MAX));
        }
        debug_assert!(found.is_empty(), "an invariant is broken: {found:?}");
    }

    /// Feeds what the gateways share, and carries out what follows of it.
    fn update_shared_state(&mut self, now: Time) {
        let Some(board) = self.shared_state.clone() else { return };
        let (servers, tenants) = self.engine.established_counts();
        let sights = self.engine.take_outcome_reports(now);
        let listed = self.endpoints.iter().filter_map(|(name, entry)| {
            let server = ServerId(self.names.servers.find(name)?);
            let (key, open) = (name_hash(name), servers.get(&server).copied().unwrap_or_default());
            Some(ServerObservation {
                key,
                name,
                size: entry.weight,
                ready: self.engine.is_ready(server),
                open_connections: open,
            })
        });
        let names = self.names.tenants.names();
        let look = LocalObservation {
            servers: listed.collect(),
            tenants: tenants
                .iter()
                .map(|(tenant, &open)| (names[tenant.0 as usize].as_str(), open))
                .collect(),
            outcome_reports: sights,
        };
        let Some(judged) = board.with(|hub, at| hub.observe(at, &look)) else { return };
        judged.log_lines.iter().for_each(|line| info!("{line}"));
        if let Some(broken) = judged.violation {
            SHARED_STATE_VIOLATIONS.log(format_args!("invariant broken: {broken}; {}", broken.help()));
        }
        self.engine.set_quorum_ejections(now, &judged.ejected, &mut self.commands);
    }

    /// Tells the figures what is so now.
    fn update_gauges(&mut self, now: Time) {
        let figures = self.handle.metrics();
        figures.set_gauge(Gauge::InProgress, self.engine.open_request_count());
        figures.set_gauge(Gauge::KnownServers, self.endpoints.len());
        figures.set_gauge(Gauge::SkippedServers, self.engine.avoided_server_count(now));
        let (sent, withheld) = self.engine.health_check_counts();
        figures.set_gauge(Gauge::HealthChecks, sent);
        figures.set_gauge(Gauge::HealthChecksWithheld, withheld);
        let shares = self.endpoints.keys().filter_map(|name| {
            let server = self.names.servers.find(name).map(ServerId)?;
            Some((name.clone(), self.engine.sibling_share(server)))
        });
        let shares = shares.collect();
        self.post.publish(self.health.is_ready(), shares);
    }

    fn now(&self) -> Time {
        self.epoch.0 + to_span(self.epoch.1.elapsed())
    }

    fn handle_event(&mut self, report: DriverEvent) {
        let now = self.now();
        let out = &mut self.commands;
        match report {
            DriverEvent::ConnectionRequested(id, ask, port) => {
                self.sessions.insert(id, port);
                let request = self.build_request(id, &ask);
                match request.map(|request| self.check_quota(id, &ask).map(|()| request)) {
                    Some(Ok(request)) => self.engine.handle_request(now, request, &mut self.commands),
                    Some(Err(wait)) => {
                        let answer = FinalAnswer::Rejected(to_span(wait).min(self.max_retry_after));
                        self.commands.push(Command::Answer { id, answer });
                    }
                    None => self.commands.push(Command::Answer { id, answer: FinalAnswer::Failed }),
                }
            }
            DriverEvent::RestoreRequested(id, ask, server, port) => {
                match self.register_connection(id, &ask, &server, port) {
                    Some((request, server)) => {
                        let timeout = request.time_left;
                        self.engine.handle_existing_connection(now, request, server, &mut self.commands);
                        self.commands.push(Command::Attempt { id, attempt: 0, server, timeout });
                    }
                    None => self.commands.push(Command::Answer { id, answer: FinalAnswer::Failed }),
                }
            }
            DriverEvent::ConnectionAdopted(id, ask, server, port) => {
                match self.register_connection(id, &ask, &server, port) {
                    Some((request, server)) => {
                        self.engine.adopt_connection(now, request, server, &mut self.commands)
                    }
                    None => self.commands.push(Command::Migrate { id }),
                }
            }
            DriverEvent::AttemptConnected(id, attempt) => {
                if self.engine.may_send_first_byte(now, id, attempt, out) {
                    self.send_command(id, SessionCommand::SendFirstLine { attempt });
                }
            }
            DriverEvent::AttemptEstablished(id, attempt) => {
                if self.engine.handle_established(now, id, attempt, out) {
                    self.send_command(id, SessionCommand::ConfirmEstablished { attempt });
                }
            }
            DriverEvent::AttemptEnded(id, attempt, outcome) => {
                if !matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
                    self.log_server_fault(id, attempt, outcome);
                }
                if outcome == Outcome::QueueFull {
                    self.server_rejected_at = Some(Instant::now());
                }
                let out = &mut self.commands;
                self.engine.handle_attempt_end(now, id, attempt, outcome, out);
                if !self.engine.has_request(id) {
                    self.remove_session_unless_answered(id);
                }
            }
            DriverEvent::ClientLeft(id) => {
                self.engine.handle_client_left(now, id, out);
                self.remove_session(id);
            }
            DriverEvent::MessageForwarded(id, prompt) => self.engine.handle_client_message(now, id, prompt),
            DriverEvent::ServerResponded(id) => self.engine.handle_server_message(now, id),
            DriverEvent::LoadReported(id, figure) => self.engine.handle_load_report(now, id, figure, out),
            report if self.handle.is_stale(&report) => {}
            DriverEvent::ListUpdated(_, news) => {
                self.updated_by_discovery = true;
                let kind = if news.snapshot { ListUpdate::Snapshot } else { ListUpdate::Delta };
                self.apply_list(news, kind);
            }
            // Discovery's own word goes before what another process has heard of it.
            DriverEvent::SiblingList(news) => {
                if !self.updated_by_discovery && news.index > self.list_index {
                    self.apply_list(news, ListUpdate::Cached);
                }
            }
            DriverEvent::SiblingState(shares, cordons) => {
                for CordonTransition { server, cordoned: out } in self.post.merge_cordons(&cordons) {
                    self.cordon(now, &server, out);
                }
                for (name, share) in shares {
                    if let Some(server) = self.names.servers.find(&name).map(ServerId) {
                        self.engine.handle_sibling_state(now, server, share, &mut self.commands);
                    }
                }
            }
            DriverEvent::DatagramReceived(from, bytes) => {
                if let Err(why) = self.engine.handle_datagram(now, from, &bytes, out) {
                    DATAGRAM_ERRORS.log(format_args!(
                        "datagram of gateway {}: {why}; {}",
                        from.0,
                        why.help()
                    ));
                }
            }
            // Behind the news that came with it: what is vouched for again may have changed.
            DriverEvent::WatchSynced(_) => {
                self.start_times.record_watch_synced(now);
                self.engine.renew_list_lease(now, out);
            }
            DriverEvent::WatchEnded { since_synced: in_step, end, resubscribe: ask } => {
                self.start_times.record_watch_end(now - to_span(in_step));
                self.engine.watch_lost(now, now - to_span(in_step), end);
                if ask {
                    self.engine.handle_list_update(now, ListUpdate::WatchFailed, Vec::new(), out);
                }
            }
            DriverEvent::HealthChecked(server, ok) => self.engine.handle_health_check(now, server, ok, out),
            DriverEvent::MaintenanceCordon(server, out) => {
                if out {
                    self.under_maintenance.insert(server.clone());
                } else {
                    self.under_maintenance.remove(&server);
                }
                self.apply_maintenance_cordon(now, &server);
            }
            DriverEvent::ServersInspected(names, reply) => {
                // Whoever asked may have given up.
                let _ = reply.send(self.observe_servers(names));
            }
            DriverEvent::QuotasReloaded(settings) => {
                if let Some((desk, _)) = &self.quota {
                    desk.reload(*settings);
                }
            }
            DriverEvent::ShutdownRequested(grace) => {
                self.health.mark_draining();
                let last = grace.saturating_sub(CLOSE_MARGIN);
                let over = last.saturating_sub(CLOSE_MARGIN);
                if self.post.successor().is_some() {
                    self.engine.hand_over_connections(now, to_span(over), to_span(last), &mut self.commands);
                    let handed =
                        self.commands.iter().filter(|it| matches!(it, Command::HandOff { .. })).count();
                    info!("handover: passes {handed} connections to its successor");
                } else {
                    self.engine.begin_shutdown(now, to_span(over), to_span(last));
                }
                let start = Instant::now();
                self.shutdown = Some((start + MIN_SHUTDOWN_TIME.min(last), start + last));
            }
        }
    }

    /// Carries an operator's call out. Out twice or back twice is a yes, too; an id that was never on
    /// the list is a no.
    fn handle_cordon_call(&mut self, call: CordonRequest) {
        let CordonRequest { server, cordon: out, reply: done } = call;
        let known = self.names.servers.find(&server).is_some();
        let kept = if known {
            self.cordon(self.now(), &server, out);
            self.post.record_cordon(&server, out).map_err(|error| format!("not kept: {error}"))
        } else {
            Err(format!("no server '{server}'"))
        };
        self.update_gauges(self.now());
        // A caller that has gone has no use for the answer.
        let _ = done.send(kept);
    }

    fn cordon(&mut self, now: Time, server: &str, out: bool) {
        info!("operator: {server} is {}", if out { "out" } else { "back" });
        let out = out || self.under_maintenance.contains(server);
        let server = ServerId(self.names.servers.intern(server));
        self.engine.set_cordon(now, server, out, &mut self.commands);
    }

    /// Out as long as an operator here or the gateways together want it so.
    fn apply_maintenance_cordon(&mut self, now: Time, server: &str) {
        let out = self.under_maintenance.contains(server) || self.post.cordons().is_cordoned(server);
        let server = ServerId(self.names.servers.intern(server));
        self.engine.set_cordon(now, server, out, &mut self.commands);
    }

    fn observe_servers(&self, names: Vec<String>) -> ServerObservations {
        let serving = |it: &(&String, &Endpoint)| it.1.status == EndpointStatus::Serving;
        let here = |it: &&String| !self.post.cordons().is_cordoned(it);
        let ready = self.endpoints.iter().filter(serving).map(|it| it.0).filter(here).cloned().collect();
        let count = |name: String| {
            let server = self.names.servers.find(&name).map(ServerId);
            let open = server.map_or(0, |server| self.engine.connections_on(server));
            (name, open)
        };
        ServerObservations { ready, open_connections: names.into_iter().map(count).collect() }
    }

    /// Logs trouble with a server.
    fn log_server_fault(&self, id: RequestId, attempt: u32, outcome: Outcome) {
        if let Some(server) = self.engine.server_of(id) {
            let name = &self.names.servers.names()[server.0 as usize];
            SERVER_FAULTS.log(format_args!("{name}: request {} attempt {attempt}: {outcome:?}", id.0));
        }
    }

    /// A connection that has ended has no use for commands; a request that was just answered does.
    fn remove_session_unless_answered(&mut self, id: RequestId) {
        let answered = |effect: &Command| matches!(effect, Command::Answer { id: it, .. } if *it == id);
        if !self.commands.iter().any(answered) {
            self.remove_session(id);
        }
    }

    /// A request, or its connection, is over here.
    fn remove_session(&mut self, id: RequestId) {
        self.sessions.remove(&id);
        if let Some((desk, _)) = &self.quota {
            desk.with(|admission, _, exchange| admission.release(exchange, id));
        }
    }

    /// Whether a partner's quota allows a request: all its attempts are one.
    ///
    /// # Errors
    ///
    /// Says how long its client is to wait.
    fn check_quota(&mut self, id: RequestId, requested: &ConnectionRequest) -> Result<(), Duration> {
        let (Some((desk, _)), Some(tenant)) = (&self.quota, &requested.tenant) else { return Ok(()) };
        let offer = match (requested.is_reconnect, requested.is_retry) {
            (true, _) => ConnectionKind::Migrated,
            (false, true) => ConnectionKind::Retry,
            (false, false) => ConnectionKind::New,
        };
        let room = self.server_rejected_at.is_none_or(|at| at.elapsed() >= REJECTION_COOLDOWN);
        desk.with(|admission, now, exchange| admission.admit((now, exchange), id, tenant, offer, room))
    }

    /// A connection that stands is counted for its partner, whatever its quota.
    fn count_adopted_connection(&mut self, id: RequestId, requested: &ConnectionRequest) {
        if let (Some((desk, _)), Some(tenant)) = (&self.quota, &requested.tenant) {
            desk.with(|admission, _, exchange| admission.adopt_connection(exchange, id, tenant));
        }
    }

    /// Lets time pass for quotas.
    fn advance_quota(&mut self) {
        if let Some((desk, next)) = &mut self.quota {
            desk.tick();
            *next = Instant::now() + quota::TICK_INTERVAL;
        }
    }

    /// Notes the port of a connection that stood before; what it is and where, if both are known here.
    fn register_connection(
        &mut self,
        id: RequestId,
        requested: &ConnectionRequest,
        server: &str,
        sender: CommandSender,
    ) -> Option<(Request, ServerId)> {
        self.sessions.insert(id, sender);
        let server = self.names.servers.find(server).map(ServerId)?;
        let request = self.build_request(id, requested)?;
        self.count_adopted_connection(id, requested);
        Some((request, server))
    }

    fn build_request(&mut self, id: RequestId, requested: &ConnectionRequest) -> Option<Request> {
        Some(Request {
            id,
            class: ClassId(self.names.classes.find(&requested.class)?),
            tenant: requested.tenant.as_deref().and_then(|t| self.names.tenants.find(t)).map(TenantId),
            group: requested.group.as_deref().map(group_id),
            time_left: requested.client_timeout,
            load: requested.expected_load,
        })
    }

    fn apply_list(&mut self, news: EndpointList, kind: ListUpdate) {
        self.list_index = news.index;
        let now = self.now();
        // What older lists say is not known to be new.
        let unlisted_until =
            if kind == ListUpdate::Cached { None } else { self.start_times.earliest_new_start(now) };
        let mut entries = Vec::with_capacity(news.endpoints.len());
        if kind != ListUpdate::Delta {
            self.endpoints.clear();
        }
        for entry in news.endpoints {
            let servers = &mut self.names.servers;
            if servers.find(&entry.name).is_none() && servers.names().len() >= MAX_KNOWN_SERVERS {
                info!("list: too many servers, '{}' is passed over", entry.name);
                continue;
            }
            let server = ServerId(servers.intern(&entry.name));
            match entry.status {
                EndpointStatus::Deleted => _ = self.endpoints.remove(&entry.name),
                _ => _ = self.endpoints.insert(entry.name.clone(), entry.clone()),
            }
            self.addresses.insert(server, entry.address);
            entries.push(EndpointEntry {
                server,
                hash_key: u32::from_be_bytes(server_id_for_name(&entry.name)),
                zone: ZoneId(self.names.zones.intern(&entry.zone)),
                machine_kind: KindId(self.names.kinds.intern(&entry.kind)),
                cell: CellId(entry.group),
                state: entry.status.into(),
                weight: entry.weight,
                started_at: self.start_times.start_time(now, server, entry.since_ms, unlisted_until),
            });
        }
        if kind != ListUpdate::Cached {
            self.start_times.record_update(now);
        }
        self.server_addresses.send_if_modified(|fleet| {
            let now: BTreeMap<_, _> =
                self.endpoints.iter().map(|(name, it)| (name.clone(), it.address)).collect();
            let changed = *fleet != now;
            *fleet = now;
            changed
        });
        self.engine.handle_list_update(now, kind, entries, &mut self.commands);
        if !self.endpoints.is_empty() {
            self.health.mark_ready();
        }
        let endpoints = self.endpoints.values().cloned().collect();
        self.post.publish_list(EndpointList { index: self.list_index, snapshot: true, endpoints });
        self.update_gauges(now);
    }

    fn execute_commands(&mut self) {
        for effect in std::mem::take(&mut self.commands) {
            match effect {
                Command::Attempt { id, attempt, server, timeout } => {
                    let address = self.addresses[&server];
                    self.send_command(id, SessionCommand::StartAttempt { attempt, address, timeout });
                }
                Command::Close { id, attempt } => {
                    self.send_command(id, SessionCommand::CancelAttempt { attempt })
                }
                Command::Answer { id, answer } => {
                    self.send_command(id, SessionCommand::Answer(answer));
                    self.remove_session(id);
                }
                Command::Migrate { id } => {
                    self.send_command(id, SessionCommand::Migrate);
                    self.remove_session(id);
                }
                Command::HandOff { id, server } => {
                    let server = self.names.servers.names()[server.0 as usize].clone();
                    self.send_command(id, SessionCommand::HandOff(server));
                    self.remove_session(id);
                }
                Command::CheckHealth { server } => {
                    let probe =
                        super::health_check::check_health(self.addresses[&server], self.connect_timeout);
                    let handle = self.handle.clone();
                    tokio::spawn(async move {
                        let ok = probe.await;
                        handle.send(DriverEvent::HealthChecked(server, ok)).await;
                    });
                }
                // A full queue means that the driver has been asked already.
                Command::Subscribe => _ = self.subscribe.try_send(()),
                // With a full queue it is lost, as on any network.
                Command::SendDatagram(datagram) => _ = self.datagrams.try_send(datagram),
            }
        }
    }

    fn send_command(&mut self, id: RequestId, command: SessionCommand) {
        let Some(sender) = self.sessions.get(&id) else { return };
        if let Err(error) = sender.try_send((id, command)) {
            // A closed port is a session that has just ended; its report is on the way.
            if matches!(error, mpsc::error::TrySendError::Full(_)) {
                info!("core: request {} takes no commands", id.0);
            }
        }
    }
}
