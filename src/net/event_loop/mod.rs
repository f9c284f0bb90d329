//! The task that owns the engine: drivers send it events, and it sends sessions commands.
//!
//! - `sessions`: requests, their attempts and their connections.
//! - `endpoint_list`: the list of servers, and the names and addresses that follow from it.
//! - `cordons`: servers that operators or the gateways together have taken out.
//! - `shared_state`: what the gateways share, and quotas; off unless configured.
//! - `observability`: metrics, and the log of faults and broken invariants.
//! - `shutdown`: the end of the process.

mod cordons;
mod endpoint_list;
mod observability;
mod sessions;
mod shared_state;
mod shutdown;

use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use self::endpoint_list::ServerDirectory;
use self::sessions::SessionTable;
use self::shared_state::QuotaGate;
use self::shutdown::Shutdown;
use super::admin::{AdminContext, CordonRequest, Health};
use super::fleet::shared_state::SharedState;
use super::handover::{SiblingLink, unix_micros};
use super::health_check::check_health;
use super::messages::{DriverEvent, EventLoopHandle, SessionCommand, to_duration, to_span};
use crate::config::Config;
use crate::decision::interface::*;
use crate::discovery::EndpointList;
use crate::engine::{Command, Engine, MonotonicEpoch, TimerEvent};
use crate::fleet::permits::PermitDatagram;
use crate::metrics::Metrics;
use crate::settings::NameTables;

/// Events that may be queued before drivers have to wait.
const EVENT_QUEUE: usize = 1024;

/// The engine and its driver.
pub struct EventLoop {
    engine: Engine,
    /// What the engine's time counts from, and when that was.
    epoch: MonotonicEpoch,
    names: NameTables,
    /// What the engine has decided and is not carried out yet.
    commands: Vec<Command>,
    events: mpsc::Receiver<DriverEvent>,
    /// Operators' requests; they go before all events.
    cordon_requests: mpsc::Receiver<CordonRequest>,
    handle: EventLoopHandle,
    sessions: SessionTable,
    endpoints: ServerDirectory,
    /// Servers that the gateways together have taken out.
    under_maintenance: BTreeSet<String>,
    quota: QuotaGate,
    /// The longest wait that a rejected client may be told.
    max_retry_after: Span,
    shared_state: Option<Arc<SharedState>>,
    sibling_link: SiblingLink,
    health: Arc<Health>,
    shutdown: Shutdown,
    drivers: DriverQueues,
}

/// Where what the engine asks of drivers goes.
struct DriverQueues {
    /// Asks for a watch of the endpoint list.
    watch_requests: mpsc::Sender<()>,
    /// Datagrams to other gateways.
    datagrams: mpsc::Sender<PermitDatagram>,
    health_check_timeout: Duration,
}

/// An event loop that does not run yet, and what others hold of it.
pub struct EventLoopParts {
    /// The event loop.
    pub event_loop: EventLoop,
    /// What drivers hold.
    pub handle: EventLoopHandle,
    /// What the admin endpoint answers from.
    pub admin: AdminContext,
}

impl EventLoop {
    /// An event loop for this configuration; `watch_requests` asks discovery's driver to watch.
    pub fn create(
        config: &Config,
        watch_requests: mpsc::Sender<()>,
        datagrams: mpsc::Sender<PermitDatagram>,
        sibling_link: SiblingLink,
    ) -> EventLoopParts {
        let unix_time = Duration::from_micros(unix_micros());
        let epoch = MonotonicEpoch { time: Time::default() + to_span(unix_time), instant: Instant::now() };
        let names = config.settings.name_tables();
        let settings = engine_settings(config, &names);
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        let metrics = Arc::new(Metrics::new(names.classes.names()));
        let (admin, cordon_requests) = AdminContext::new(metrics.clone());
        let handle = EventLoopHandle::new(metrics, sender);
        let event_loop = Self {
            max_retry_after: settings.max_retry_after,
            commands: initial_commands(&settings),
            engine: Engine::new(settings, config.seed, epoch),
            epoch,
            names,
            events,
            cordon_requests,
            handle: handle.clone(),
            sessions: SessionTable::default(),
            endpoints: ServerDirectory::default(),
            under_maintenance: BTreeSet::new(),
            quota: QuotaGate::default(),
            shared_state: None,
            sibling_link,
            health: admin.health.clone(),
            shutdown: Shutdown::default(),
            drivers: DriverQueues {
                watch_requests,
                datagrams,
                health_check_timeout: to_duration(config.settings.connect_timeout()),
            },
        };
        EventLoopParts { event_loop, handle, admin }
    }

    /// The servers on the list and their addresses, as they change.
    pub fn server_addresses(&self) -> watch::Receiver<BTreeMap<String, SocketAddr>> {
        self.endpoints.subscribe()
    }

    /// Whether the process is about to end, after all that wait to be accepted.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.shutdown.subscribe()
    }

    /// Serves until the process is to end, at first by the list that is known already.
    pub async fn run(mut self, known_list: Option<EndpointList>) {
        self.restore_cordons();
        let no_list = EndpointList { index: 0, snapshot: true, endpoints: Vec::new() };
        self.apply_list(known_list.unwrap_or(no_list), ListUpdate::Cached);
        loop {
            self.execute_commands();
            self.report_violations();
            let quota_tick_at = self.quota.next_tick_at();
            let exit_at = self.exit_at();
            tokio::select! {
                biased;
                Some(request) = self.cordon_requests.recv() => self.handle_cordon_request(request),
                () = sleep_until_some(quota_tick_at) => self.quota.tick(),
                () = sleep_until_some(exit_at) => return self.finish_shutdown().await,
                event = self.engine.next_timer_event() => self.handle_timer(event),
                event = self.events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
            }
        }
    }

    fn now(&self) -> Time {
        self.epoch.time_at(Instant::now())
    }

    fn handle_timer(&mut self, event: TimerEvent) {
        let now = self.now();
        self.engine.handle_timer(now, event, &mut self.commands);
        match event {
            TimerEvent::ListExpired => self.log_list_expiry(),
            TimerEvent::Sweep => {
                self.check_permits();
                self.update_gauges(now);
                self.update_shared_state(now);
            }
            TimerEvent::ShutdownDeadline => self.sibling_link.pending_clients.close(),
            _ => {}
        }
    }

    fn handle_event(&mut self, event: DriverEvent) {
        let now = self.now();
        match event {
            DriverEvent::Session(event) => self.handle_session_event(now, event),
            event if self.handle.is_stale(&event) => {}
            DriverEvent::ListUpdated { update, .. } => self.handle_list_update(update),
            DriverEvent::SiblingList { list } => self.handle_sibling_list(list),
            DriverEvent::SiblingState { usage, cordons } => self.handle_sibling_state(now, usage, &cordons),
            DriverEvent::WatchSynced { .. } => self.handle_watch_synced(now),
            DriverEvent::WatchEnded { since_synced, end, resubscribe } => {
                self.handle_watch_ended(now, now - to_span(since_synced), end, resubscribe);
            }
            DriverEvent::DatagramReceived { from, payload } => self.handle_datagram(now, from, &payload),
            DriverEvent::HealthChecked { server, healthy } => {
                self.engine.handle_health_check(now, server, healthy, &mut self.commands);
            }
            DriverEvent::MaintenanceCordon { server, cordoned } => {
                self.set_maintenance_cordon(now, server, cordoned);
            }
            DriverEvent::InspectServers { names, reply } => {
                // Whoever asked may have given up.
                let _ = reply.send(self.observe_servers(names));
            }
            DriverEvent::QuotasReloaded { settings } => self.quota.reload(*settings),
            DriverEvent::ShutdownRequested { grace } => self.begin_shutdown(now, grace),
        }
    }

    /// Carries out what the engine has decided, in order.
    fn execute_commands(&mut self) {
        for command in std::mem::take(&mut self.commands) {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Attempt { id, attempt, server, timeout } => {
                let address = self.endpoints.address(server);
                self.sessions.send(id, SessionCommand::StartAttempt { attempt, address, timeout });
            }
            Command::Close { id, attempt } => {
                self.sessions.send(id, SessionCommand::CancelAttempt { attempt });
            }
            Command::Answer { id, answer } => self.send_last_command(id, SessionCommand::Answer(answer)),
            Command::Migrate { id } => self.send_last_command(id, SessionCommand::Migrate),
            Command::HandOff { id, server } => {
                let server = self.names.servers.names()[server.0 as usize].clone();
                self.send_last_command(id, SessionCommand::HandOff { server });
            }
            Command::CheckHealth { server } => self.start_health_check(server),
            // A full queue means that the driver has been asked already.
            Command::Subscribe => _ = self.drivers.watch_requests.try_send(()),
            // With a full queue it is lost, as on any network.
            Command::SendDatagram(datagram) => _ = self.drivers.datagrams.try_send(datagram),
        }
    }

    fn start_health_check(&self, server: ServerId) {
        let check = check_health(self.endpoints.address(server), self.drivers.health_check_timeout);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let healthy = check.await;
            handle.send(DriverEvent::HealthChecked { server, healthy }).await;
        });
    }
}

fn engine_settings(config: &Config, names: &NameTables) -> Settings {
    // Gateways that are allowed and have no address cannot be asked: each then has permits of its own.
    Settings { fleet_permits: config.peers.is_some(), ..config.settings.balancer_settings(names) }
}

/// A list that is pushed comes from an agent of this machine, which has to be watched all the same; the decision module
/// asks only where the list is one service for all.
fn initial_commands(settings: &Settings) -> Vec<Command> {
    match settings.discovery {
        DiscoveryMode::Pushed => vec![Command::Subscribe],
        _ => Vec::new(),
    }
}

/// Sleeps until then, or for ever where there is no such time.
async fn sleep_until_some(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => pending().await,
    }
}
