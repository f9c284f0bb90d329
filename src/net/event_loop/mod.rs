//! The event loop: the task that owns the engine, receives events from drivers and sends commands to
//! sessions.
//!
//! - `sessions`: requests, their attempts and their connections.
//! - `restores`: requests to restore a connection with a server that is not listed.
//! - `endpoint_list`: the endpoint list, and the names, addresses and start times derived from it.
//! - `cordons`: servers cordoned by operators or for maintenance.
//! - `shared_state`: observations shared among the gateways, and quotas; both are off unless configured.
//! - `observability`: metrics, and the log of faults and violated invariants.
//! - `shutdown`: the shutdown of the process.

mod cordons;
mod endpoint_list;
mod observability;
mod restores;
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
use self::restores::PendingRestores;
use self::sessions::SessionTable;
use self::shared_state::QuotaAdmission;
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

/// Capacity of the event queue. Drivers wait while it is full.
const EVENT_QUEUE: usize = 1024;

/// The engine, the state that accompanies it, and the queues that connect it with drivers and sessions.
pub struct EventLoop {
    engine: Engine,
    /// Reference point that maps the runtime's instants to the engine's time.
    epoch: MonotonicEpoch,
    names: NameTables,
    /// How this gateway receives the endpoint list.
    discovery: DiscoveryMode,
    /// Commands of the engine that have not been executed yet.
    commands: Vec<Command>,
    events: mpsc::Receiver<DriverEvent>,
    /// Operators' requests, which have precedence over all events.
    cordon_requests: mpsc::Receiver<CordonRequest>,
    handle: EventLoopHandle,
    sessions: SessionTable,
    pending_restores: PendingRestores,
    endpoints: ServerDirectory,
    /// Servers that the gateways have taken out of service for maintenance.
    under_maintenance: BTreeSet<String>,
    quota: QuotaAdmission,
    /// Upper limit of the Retry-After value sent to a rejected client.
    max_retry_after: Span,
    shared_state: Option<Arc<SharedState>>,
    sibling_link: SiblingLink,
    health: Arc<Health>,
    shutdown: Shutdown,
    drivers: DriverQueues,
}

/// Queues and settings for the engine's requests to drivers.
struct DriverQueues {
    /// Requests for a watch of the endpoint list.
    watch_requests: mpsc::Sender<()>,
    /// Permit datagrams to other gateways.
    datagrams: mpsc::Sender<PermitDatagram>,
    health_check_timeout: Duration,
}

/// An event loop that has not been started, and the handles to it.
pub struct EventLoopParts {
    /// Event loop, which has not been started.
    pub event_loop: EventLoop,
    /// Handle that drivers use to send events to the event loop.
    pub handle: EventLoopHandle,
    /// State that the admin endpoint uses for its answers.
    pub admin: AdminContext,
}

impl EventLoop {
    /// Creates an event loop for a configuration. Through `watch_requests` it requests a watch from the
    /// driver of discovery.
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
            discovery: settings.discovery,
            commands: initial_commands(&settings),
            engine: Engine::new(settings, config.seed, epoch),
            epoch,
            names,
            events,
            cordon_requests,
            handle: handle.clone(),
            sessions: SessionTable::default(),
            pending_restores: PendingRestores::default(),
            endpoints: ServerDirectory::default(),
            under_maintenance: BTreeSet::new(),
            quota: QuotaAdmission::default(),
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

    /// Returns a receiver of the listed servers' addresses by name, updated with each change.
    pub fn server_addresses(&self) -> watch::Receiver<BTreeMap<String, SocketAddr>> {
        self.endpoints.subscribe()
    }

    /// Returns a receiver that becomes true when discovery has confirmed the list to this process.
    pub fn list_confirmed(&self) -> watch::Receiver<bool> {
        self.endpoints.subscribe_to_confirmation()
    }

    /// Returns a receiver that becomes true when the process is about to exit and no longer accepts clients.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.shutdown.subscribe()
    }

    /// Returns a receiver that becomes true when the process begins to hand over to its successor.
    pub fn handover_started(&self) -> watch::Receiver<bool> {
        self.shutdown.subscribe_to_handover()
    }

    /// Runs the event loop until the process is to exit. `known_list` is the cached endpoint list, if there
    /// is one.
    pub async fn run(mut self, known_list: Option<EndpointList>) {
        if self.discovery == DiscoveryMode::Pushed {
            self.engine.require_confirmed_list(self.now());
        }
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
                () = sleep_until_some(self.pending_restores.next_expiry()) => self.expire_restores(),
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
            TimerEvent::ShutdownDeadline => {
                self.reject_restores();
                self.sibling_link.pending_clients.close();
            }
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
                // Sending fails only if the requester no longer waits for the answer.
                let _ = reply.send(self.observe_servers(names));
            }
            DriverEvent::QuotasReloaded { settings } => self.quota.reload(*settings),
            DriverEvent::ShutdownRequested { grace } => self.begin_shutdown(now, grace),
        }
    }

    /// Executes the engine's pending commands in order.
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
            // A full queue already contains a request for a watch.
            Command::Subscribe => _ = self.drivers.watch_requests.try_send(()),
            // If the queue is full the datagram is dropped, as it may be on the network.
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
    // Permits are requested from other gateways only if the peers' addresses are configured. Otherwise each
    // gateway has permits of its own.
    Settings { fleet_permits: config.peers.is_some(), ..config.settings.balancer_settings(names) }
}

/// Returns the commands to execute at the start. A pushed list comes from an agent on this machine, which
/// needs a watch as well, but the decision module requests one only if the list comes from a discovery
/// service.
fn initial_commands(settings: &Settings) -> Vec<Command> {
    match settings.discovery {
        DiscoveryMode::Pushed => vec![Command::Subscribe],
        _ => Vec::new(),
    }
}

/// Sleeps until the deadline, or forever if it is `None`.
async fn sleep_until_some(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => pending().await,
    }
}
