//! Daemon that runs one gateway over sockets.

#![deny(
    clippy::enum_glob_use,
    clippy::many_single_char_names,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    rustdoc::broken_intra_doc_links
)]

mod cli;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use ashtide::config::{Config, ConfigError, FrontendConfig, QuicConfig, VrrpConfig};
use ashtide::discovery::EndpointList;
use ashtide::fleet::maintenance::{self as maintenance_settings, MaintenanceError};
use ashtide::fleet::permits::PermitDatagram;
use ashtide::fleet::quota::{self as quota_settings, QuotaError};
use ashtide::fleet::shared_state::OutlierMode;
use ashtide::fleet::view::{Settings as ViewSettings, ViewError};
use ashtide::handover::{Deployment, PersistedState, ProcessState};
use ashtide::net::admin::AdminContext;
use ashtide::net::connection_handoff::{HandoffReceiver, Successor};
use ashtide::net::event_loop::{EventLoop, EventLoopParts};
use ashtide::net::fleet::quota::QuotaService;
use ashtide::net::fleet::{maintenance, permits, view};
use ashtide::net::handover::{self, DiscoveredSiblings, PublishedState, SiblingLink, StateFolder};
use ashtide::net::messages::{DriverEvent, EventLoopHandle, to_duration};
use ashtide::net::pending_clients::PendingClients;
use ashtide::net::{admin, bind_retry, discovery, listen, quic, rate_limited_log, reload, session, vrrp};
use ashtide::settings::TenantQuota;
use clap::Parser;
use cli::{Action, Arguments, ConfigFiles};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};
use tracing::{error, info};

/// Time limit for notifying the fleet's other gateways that this one leaves.
const VIEW_DEPARTURE_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of watches of the endpoint list that may be requested while another one is being opened.
const WATCH_REQUEST_QUEUE: usize = 1;

fn main() -> ExitCode {
    let files = match Arguments::parse().execute() {
        Action::Serve(files) => files,
        Action::Exit(code) => return code,
    };
    rate_limited_log::init();
    match run_daemon(&files) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("ashtide: {error}");
            ExitCode::from(2)
        }
    }
}

/// Reason that the daemon cannot start. Each message names the key, variable, address or file concerned.
#[derive(Debug, thiserror::Error)]
enum StartupError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    System(#[from] io::Error),
    #[error("{0}; {help}", help = .0.help())]
    View(#[from] ViewError),
    #[error("{0}; {help}", help = .0.help())]
    Quota(#[from] QuotaError),
    #[error("{0}; {help}", help = .0.help())]
    Maintenance(#[from] MaintenanceError),
    #[error("ROUTER_INHERITED_FD: '{number}': {error}")]
    InheritedListener { number: i32, error: io::Error },
    #[error("listen {address}: {error}")]
    Listen { address: SocketAddr, error: io::Error },
    #[error("operator {address}: {error}")]
    Admin { address: SocketAddr, error: io::Error },
    #[error("quic.listen {address}: {error}")]
    Quic { address: SocketAddr, error: io::Error },
    #[error("quic.class: found '{0}', expected the name of a class in the settings")]
    UnknownQuicClass(String),
}

/// Configuration that the daemon reads when it starts.
struct StartupConfig {
    config: Config,
    frontends: FrontendConfig,
    view: Option<ViewSettings>,
    maintenance: Option<maintenance_settings::Settings>,
    quota: Option<QuotaConfig>,
}

/// Quotas of partners, and the sources from which a reload reads them.
struct QuotaConfig {
    /// Path of the quota file.
    path: PathBuf,
    settings: quota_settings::Settings,
    /// Quotas from the settings, for tenants that the quota file does not name.
    default_quotas: Vec<TenantQuota>,
}

impl StartupConfig {
    fn read(files: &ConfigFiles) -> Result<Self, StartupError> {
        let mut config = Config::read(|name| std::env::var(name).ok())?;
        let descriptors = bind_retry::descriptor_limit();
        if descriptors < config.limits.descriptors {
            info!(
                "ashtide: limits.sockets is {}, but the system allows {descriptors}; using {descriptors}",
                config.limits.descriptors
            );
            config.limits.descriptors = descriptors;
        }
        config.settings.warnings().iter().for_each(|warning| info!("ashtide: {warning}"));
        // The platform starts the daemon without a file for the front ends.
        let frontends = files.frontends.as_deref().map(FrontendConfig::read).transpose()?.unwrap_or_default();
        let view = files.view.as_deref().map(ViewSettings::read).transpose()?;
        let quota = match &files.quota {
            Some(_) if view.as_ref().is_none_or(|view| view.shared_state.is_none()) => {
                return Err(QuotaError::NoSharedState.into());
            }
            Some(path) => {
                let default_quotas = config.settings.tenant_quotas();
                let settings = quota_settings::Settings::read(path, &default_quotas)?;
                Some(QuotaConfig { path: path.clone(), settings, default_quotas })
            }
            None => None,
        };
        let maintenance =
            files.maintenance.as_deref().map(maintenance_settings::Settings::read).transpose()?;
        Ok(Self { config, frontends, view, maintenance, quota })
    }
}

fn run_daemon(files: &ConfigFiles) -> Result<(), StartupError> {
    let startup = StartupConfig::read(files)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = runtime.block_on(run(startup));
    // Does not wait for a reload that is still reading a file, because its disk may hang.
    runtime.shutdown_background();
    result
}

/// Starts all parts in order, and serves until the process is stopped.
async fn run(startup: StartupConfig) -> Result<(), StartupError> {
    let StartupConfig { config, frontends, view, maintenance, quota } = startup;
    let signals = Signals::listen()?;
    let listener = bind_listener(&config)?;
    let quic_sockets = frontends.quic.as_ref().map_or(0, |quic| quic.paths);
    let capacity = config.capacity(quic_sockets);
    let pending_clients = PendingClients::new(capacity);
    let siblings = Siblings::discover(&config, &listener, &pending_clients).await;
    let DaemonParts { mut daemon, mut admin, handover, known_list, outgoing_datagrams, watch_requests } =
        Daemon::create(config, pending_clients, siblings, quic_sockets);
    let address = listener.local_addr()?;
    let name = &daemon.config.name;
    info!("ashtide: {name} listens on {address}, at most {} clients", capacity.max_sessions);
    let view_task = view.map(|view| daemon.start_view(view, quota.as_ref(), &mut admin)).transpose()?;
    if let Some(settings) = maintenance {
        daemon.start_maintenance(settings, &mut admin)?;
    }
    daemon.start_admin(admin)?;
    daemon.start_permits(outgoing_datagrams);
    let known_version = known_list.as_ref().map_or(0, |list| list.index);
    daemon.start_discovery(known_version, watch_requests, signals.hangup, quota);
    daemon.start_clients(listener, handover);
    if let Some(quic) = frontends.quic {
        daemon.start_quic(quic, frontends.vrrp).await?;
    }
    daemon.stop_on_signal(signals.terminated_at);
    daemon.run(known_list, view_task).await;
    Ok(())
}

/// Signals that the process handles. The handlers are installed before any client can connect, because
/// without a handler either signal terminates the process immediately.
struct Signals {
    /// SIGHUP, which reloads the configuration.
    hangup: Signal,
    /// Time of SIGTERM, which may be received while the process is still discovering its siblings.
    terminated_at: JoinHandle<Option<Instant>>,
}

impl Signals {
    fn listen() -> io::Result<Self> {
        let mut terminate = signal(SignalKind::terminate())?;
        let hangup = signal(SignalKind::hangup())?;
        let terminated_at = tokio::spawn(async move { terminate.recv().await.map(|()| Instant::now()) });
        Ok(Self { hangup, terminated_at })
    }
}

/// Returns the listener for clients, which is either inherited or newly bound.
fn bind_listener(config: &Config) -> Result<TcpListener, StartupError> {
    match config.inherited_listener {
        Some(number) => bind_retry::adopt_listener(number)
            .map_err(|error| StartupError::InheritedListener { number, error }),
        None => {
            let address = config.listen_address;
            bind_retry::bind_listener(address).map_err(|error| StartupError::Listen { address, error })
        }
    }
}

/// State that this process has from earlier processes of the gateway and from running siblings.
struct Siblings {
    deployment: Deployment,
    state_folder: Option<StateFolder>,
    /// Rank of this process among its siblings, higher than those of older ones.
    rank: u64,
    /// State stored by earlier processes.
    persisted: PersistedState,
    /// Running siblings; `None` without a state folder.
    discovered: Option<DiscoveredSiblings>,
}

impl Siblings {
    async fn discover(config: &Config, listener: &TcpListener, pending_clients: &PendingClients) -> Self {
        let deployment = handover::describe_deployment(config, listener);
        let state_folder = config
            .state_folder
            .as_deref()
            .map(|folder| StateFolder::for_deployment(folder, deployment.clone()));
        let rank = state_folder.as_ref().map_or_else(handover::unix_micros, StateFolder::next_rank);
        let persisted = state_folder.as_ref().map(StateFolder::load).unwrap_or_default();
        let discovered = match &state_folder {
            Some(folder) => Some(handover::discover_siblings(folder, rank).await),
            None => None,
        };
        let restore_phase_over =
            discovered.as_ref().is_some_and(|siblings| siblings.summary(rank).restore_phase_over);
        if persisted.restore_phase_over || restore_phase_over {
            pending_clients.end_restore_phase();
        }
        Self { deployment, state_folder, rank, persisted, discovered }
    }

    /// Returns the most recent known endpoint list. A sibling's list may be more recent than the configured
    /// one.
    fn known_list(&self, config: &Config) -> Option<EndpointList> {
        let from_sibling = self.discovered.as_ref().and_then(|siblings| siblings.endpoint_list.clone());
        [config.initial_list.clone(), from_sibling].into_iter().flatten().max_by_key(|list| list.index)
    }

    /// Creates the link through which this process publishes its state, and the receiver for connections that
    /// siblings hand off.
    fn link(self, pending_clients: &PendingClients, reserved_descriptors: usize) -> LinkedSiblings {
        let receiver = self.state_folder.as_ref().and_then(|folder| folder.bind_handoff_receiver(self.rank));
        let process = ProcessState {
            deployment: Some(self.deployment),
            rank: self.rank,
            adopts_connections: receiver.is_some(),
            ..ProcessState::default()
        };
        let (successor_sender, successor) = watch::channel(None);
        let link = SiblingLink::new(
            pending_clients.clone(),
            self.state_folder,
            self.persisted,
            reserved_descriptors,
            process,
            successor.clone(),
        );
        let published = link.subscribe();
        let discovered = self.discovered;
        LinkedSiblings {
            link,
            handover: Handover { discovered, receiver, published, successor_sender, successor },
        }
    }
}

/// The event loop's link with siblings, and the parts of the handover outside the event loop.
struct LinkedSiblings {
    link: SiblingLink,
    handover: Handover,
}

/// Connections and channels between this process and its siblings.
struct Handover {
    discovered: Option<DiscoveredSiblings>,
    /// Receiver of established connections that a sibling hands off; `None` if it cannot be bound.
    receiver: Option<HandoffReceiver>,
    /// State that is sent to the siblings.
    published: watch::Receiver<PublishedState>,
    successor_sender: watch::Sender<Option<Arc<Successor>>>,
    successor: watch::Receiver<Option<Arc<Successor>>>,
}

/// The daemon, and the inputs with which its parts are started.
struct DaemonParts {
    daemon: Daemon,
    admin: AdminContext,
    handover: Handover,
    /// Most recent known endpoint list.
    known_list: Option<EndpointList>,
    /// Datagrams to other gateways.
    outgoing_datagrams: mpsc::Receiver<PermitDatagram>,
    /// Requests of the event loop to discovery's driver, one per watch.
    watch_requests: mpsc::Receiver<()>,
}

/// State that all parts of the daemon share.
struct Daemon {
    config: Config,
    event_loop: EventLoop,
    handle: EventLoopHandle,
    pending_clients: PendingClients,
    state_folder: Option<StateFolder>,
    rank: u64,
    /// Whether this process accepts clients; false once its successor accepts them.
    accepting: watch::Sender<bool>,
    /// Whether the process has received a request to stop.
    stop: watch::Sender<bool>,
}

impl Daemon {
    fn create(
        config: Config,
        pending_clients: PendingClients,
        siblings: Siblings,
        quic_sockets: usize,
    ) -> DaemonParts {
        let known_list = siblings.known_list(&config);
        let rank = siblings.rank;
        let state_folder = siblings.state_folder.clone();
        let LinkedSiblings { link, handover } =
            siblings.link(&pending_clients, config.reserved_descriptors(quic_sockets));
        let (watch_request_sender, watch_requests) = mpsc::channel(WATCH_REQUEST_QUEUE);
        let (datagram_sender, outgoing_datagrams) = mpsc::channel(permits::SEND_QUEUE_LENGTH);
        let EventLoopParts { event_loop, handle, admin } =
            EventLoop::create(&config, watch_request_sender, datagram_sender, link);
        DaemonParts {
            daemon: Self {
                config,
                event_loop,
                handle,
                pending_clients,
                state_folder,
                rank,
                accepting: watch::Sender::new(true),
                stop: watch::Sender::new(false),
            },
            admin,
            handover,
            known_list,
            outgoing_datagrams,
            watch_requests,
        }
    }

    /// Starts the fleet view, and with it the shared state and the quotas if they are configured.
    fn start_view(
        &mut self,
        view: ViewSettings,
        quota: Option<&QuotaConfig>,
        admin: &mut AdminContext,
    ) -> Result<JoinHandle<()>, StartupError> {
        let peers = self.config.peers.as_ref();
        let seeds = view.seeds_or_peers(peers.map(|peers| peers.other_addresses().collect()))?;
        let by_index = peers.map(|peers| peers.by_index.as_slice());
        let shared_state = match &view.shared_state {
            Some(settings) => {
                let slots = view.gateway_slots(by_index)?;
                let state = admin.shared_state.insert(Arc::default()).clone();
                if let Some(quota) = quota {
                    let folder = self.state_folder.as_ref();
                    let service =
                        Arc::new(QuotaService::new(quota.settings.clone(), &slots, state.clone(), folder));
                    self.event_loop.enable_quota(admin.quota.insert(service).clone());
                }
                let report_outcomes = settings.outlier_mode != OutlierMode::Off;
                self.event_loop.enable_shared_state(state.clone(), report_outcomes);
                Some(view::SharedStateHandle { state, slots })
            }
            None => None,
        };
        let incarnations =
            view::IncarnationStore::new(self.config.state_folder.as_deref(), &self.config.name);
        let shared_view = admin.view.insert(Arc::default()).clone();
        let stopping = self.stop.subscribe();
        Ok(tokio::spawn(view::run(view, seeds, incarnations, shared_view, shared_state, stopping)))
    }

    fn start_maintenance(
        &self,
        settings: maintenance_settings::Settings,
        admin: &mut AdminContext,
    ) -> io::Result<()> {
        let (service, commands) = maintenance::MaintenanceService::new();
        admin.maintenance = Some(Arc::new(service));
        let name = self.config.name.clone();
        maintenance::start(settings, name, commands, self.handle.clone(), self.stop.subscribe())
    }

    fn start_admin(&self, admin: AdminContext) -> Result<(), StartupError> {
        if let Some(address) = self.config.admin_address {
            let bound =
                admin::start(address, admin).map_err(|error| StartupError::Admin { address, error })?;
            info!("operator: listens on {bound}");
        }
        Ok(())
    }

    fn start_permits(&self, outgoing_datagrams: mpsc::Receiver<PermitDatagram>) {
        if let Some(peers) = self.config.peers.clone() {
            tokio::spawn(permits::run(peers, outgoing_datagrams, self.handle.clone()));
        }
    }

    /// Starts following the endpoint list, and reloading the configuration at each SIGHUP.
    fn start_discovery(
        &self,
        known_version: u64,
        watch_requests: mpsc::Receiver<()>,
        hangup: Signal,
        quota: Option<QuotaConfig>,
    ) {
        let (address_sender, address) = watch::channel(self.config.discovery_address);
        let handle = self.handle.clone();
        tokio::spawn(discovery::follow_endpoint_list(address, known_version, watch_requests, handle));
        let quota = quota.map(|quota| reload::QuotaReload {
            file: quota.path,
            default_quotas: quota.default_quotas,
            event_loop: self.handle.clone(),
        });
        let baseline = self.config.reload_baseline.clone();
        tokio::spawn(reload::reload_on_hangup(hangup, baseline, address_sender, quota));
    }

    /// Starts accepting new clients, and adopting the connections that a sibling hands off.
    fn start_clients(&self, listener: TcpListener, handover: Handover) {
        let timeouts = session::Timeouts { connect: to_duration(self.config.settings.connect_timeout()) };
        let frontend = session::Frontend::new(
            self.pending_clients.clone(),
            timeouts,
            self.handle.clone(),
            handover.successor,
        )
        .with_unrepeatable_classes(self.config.settings.unrepeatable_classes());
        if let (Some(discovered), Some(state_folder)) = (handover.discovered, self.state_folder.clone()) {
            let context = handover::SiblingContext {
                published: handover.published,
                pending_clients: self.pending_clients.clone(),
                accepting: self.accepting.clone(),
                event_loop: self.handle.clone(),
                state_folder,
                successor: handover.successor_sender,
                open_ids: frontend.open_ids().clone(),
            };
            handover::start(discovered, context);
        }
        if let Some(receiver) = handover.receiver {
            tokio::spawn(listen::adopt_connections(receiver, frontend.clone()));
        }
        let closing = self.event_loop.closing();
        tokio::spawn(listen::accept_clients(listener, frontend, self.accepting.subscribe(), closing));
    }

    /// Starts the QUIC front end. If VRRP is configured, starts it as well, and the front end accepts new
    /// connections only while the virtual router is active.
    ///
    /// Both start as soon as their addresses are free: during an upgrade, the previous process uses them until
    /// it has ended its connections.
    async fn start_quic(&self, quic: QuicConfig, vrrp: Option<VrrpConfig>) -> Result<(), StartupError> {
        if self.config.settings.name_tables().classes.find(&quic.class).is_none() {
            return Err(StartupError::UnknownQuicClass(quic.class));
        }
        let address = quic.listen;
        let socket = bind_retry::bind_udp_if_free(address)
            .await
            .map_err(|error| StartupError::Quic { address, error })?;
        let (active_sender, accepts_connections) = watch::channel(vrrp.is_none());
        let inputs = quic::FrontendInputs {
            endpoint_addresses: self.event_loop.server_addresses(),
            list_confirmed: self.event_loop.list_confirmed(),
            accepts_connections,
            handover_started: self.event_loop.handover_started(),
        };
        let seed = self.config.seed;
        let handle = self.handle.clone();
        let stopping = self.stop.subscribe();
        tokio::spawn(async move {
            let socket = match socket {
                Some(socket) => socket,
                None => bind_retry::bind_udp_with_retry("quic", address).await,
            };
            let frontend = quic::QuicFrontend::new(quic, seed, socket, handle, inputs);
            match frontend.address() {
                Ok(bound) => info!("quic: listens on {bound}"),
                Err(error) => info!("quic: cannot read the bound address: {error}"),
            }
            if let Some(vrrp) = vrrp {
                tokio::spawn(vrrp::run(vrrp, active_sender, stopping));
            }
            frontend.run().await;
        });
        Ok(())
    }

    /// Starts the shutdown when the process receives SIGTERM.
    fn stop_on_signal(&self, terminated_at: JoinHandle<Option<Instant>>) {
        let grace = self.config.shutdown_grace;
        let handle = self.handle.clone();
        let stop = self.stop.clone();
        tokio::spawn(async move {
            if let Ok(Some(terminated_at)) = terminated_at.await {
                info!("ashtide: stop requested; exiting within {} ms", grace.as_millis());
                stop.send_replace(true);
                let grace = grace.saturating_sub(terminated_at.elapsed());
                handle.send(DriverEvent::ShutdownRequested { grace }).await;
            }
        });
    }

    /// Serves until the event loop ends, then notifies the fleet and removes the sockets of this process.
    async fn run(self, known_list: Option<EndpointList>, view_task: Option<JoinHandle<()>>) {
        self.event_loop.run(known_list).await;
        if let Some(view_task) = view_task {
            let _ = timeout(VIEW_DEPARTURE_TIMEOUT, view_task).await;
        }
        if let Some(state_folder) = self.state_folder {
            state_folder.remove_sockets(self.rank);
        }
        info!("ashtide: stopped");
    }
}
