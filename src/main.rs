//! The daemon: one gateway on sockets.

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

/// Limit on telling the fleet view that this gateway leaves.
const VIEW_DEPARTURE_TIMEOUT: Duration = Duration::from_millis(100);
/// Watches of the endpoint list that may be asked for while another is being opened.
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

/// Why the daemon does not start. Each text names the key, variable or file at fault.
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
    #[error("quic.class: '{0}' is no class of the settings")]
    UnknownQuicClass(String),
}

/// What the daemon is started with.
struct StartupConfig {
    config: Config,
    frontends: FrontendConfig,
    view: Option<ViewSettings>,
    maintenance: Option<maintenance_settings::Settings>,
    quota: Option<QuotaConfig>,
}

/// The quotas of partners, and what a reload reads them from.
struct QuotaConfig {
    path: PathBuf,
    settings: quota_settings::Settings,
    /// The settings' own quotas, for tenants that the file does not name.
    tenants: Vec<TenantQuota>,
}

impl StartupConfig {
    fn read(files: &ConfigFiles) -> Result<Self, StartupError> {
        let mut config = Config::read(|name| std::env::var(name).ok())?;
        let descriptors = bind_retry::descriptor_limit();
        if descriptors < config.limits.descriptors {
            info!(
                "ashtide: limits.sockets is {}, the system allows {descriptors}",
                config.limits.descriptors
            );
            config.limits.descriptors = descriptors;
        }
        config.settings.warnings().iter().for_each(|warning| info!("ashtide: {warning}"));
        // The platform names no deploy file.
        let frontends = files.fronts.as_deref().map(FrontendConfig::read).transpose()?.unwrap_or_default();
        let view = files.view.as_deref().map(ViewSettings::read).transpose()?;
        let quota = match &files.quota {
            Some(_) if view.as_ref().is_none_or(|view| view.shared_state.is_none()) => {
                return Err(QuotaError::NoSharedState.into());
            }
            Some(path) => {
                let tenants = config.settings.tenant_quotas();
                let settings = quota_settings::Settings::read(path, &tenants)?;
                Some(QuotaConfig { path: path.clone(), settings, tenants })
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
    // A file that a reload still reads, on a disk that hangs, is not waited for.
    runtime.shutdown_background();
    result
}

/// Starts all parts, in order, and serves until the process is to end.
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

/// Signals that the process takes. Each is listened for before any client can come: without a handler, either ends the
/// process at once.
struct Signals {
    hangup: Signal,
    /// When the process was asked to stop. It may still be discovering its siblings then.
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

/// The listener for clients: inherited, or bound anew.
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

/// What earlier and older processes of this gateway have left and told.
struct Siblings {
    deployment: Deployment,
    state_folder: Option<StateFolder>,
    /// The order of this process among its siblings.
    rank: u64,
    persisted: PersistedState,
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

    /// The newest list that is known: what an older process has heard is newer than what this one was given.
    fn known_list(&self, config: &Config) -> Option<EndpointList> {
        let relayed = self.discovered.as_ref().and_then(|siblings| siblings.endpoint_list.clone());
        [config.initial_list.clone(), relayed].into_iter().flatten().max_by_key(|list| list.index)
    }

    /// Prepares what this process publishes to its siblings, and how it takes over from them.
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

/// The event loop's side of the link with siblings, and the rest.
struct LinkedSiblings {
    link: SiblingLink,
    handover: Handover,
}

/// What links this process with its siblings.
struct Handover {
    discovered: Option<DiscoveredSiblings>,
    /// Established connections of an older process.
    receiver: Option<HandoffReceiver>,
    published: watch::Receiver<PublishedState>,
    successor_sender: watch::Sender<Option<Arc<Successor>>>,
    successor: watch::Receiver<Option<Arc<Successor>>>,
}

/// The daemon, and what its parts are started with.
struct DaemonParts {
    daemon: Daemon,
    admin: AdminContext,
    handover: Handover,
    known_list: Option<EndpointList>,
    /// Datagrams to other gateways.
    outgoing_datagrams: mpsc::Receiver<PermitDatagram>,
    /// Each asks discovery's driver for a watch.
    watch_requests: mpsc::Receiver<()>,
}

/// What all parts of the daemon share.
struct Daemon {
    config: Config,
    event_loop: EventLoop,
    handle: EventLoopHandle,
    pending_clients: PendingClients,
    state_folder: Option<StateFolder>,
    rank: u64,
    /// Whether this process accepts clients, and not its successor.
    accepting: watch::Sender<bool>,
    /// Whether the process has been asked to stop.
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

    /// Starts the fleet view, and with it what the gateways share and the quotas, where they are configured.
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

    /// Starts to follow the endpoint list, and to read the configuration again at each hang-up.
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
            allowances: quota.tenants,
            event_loop: self.handle.clone(),
        });
        let baseline = self.config.reload_baseline.clone();
        tokio::spawn(reload::reload_on_hangup(hangup, baseline, address_sender, quota));
    }

    /// Starts to take clients in: those that connect, and those of an older process.
    fn start_clients(&self, listener: TcpListener, handover: Handover) {
        let timeouts = session::Timeouts { connect: to_duration(self.config.settings.connect_timeout()) };
        let pending_clients = self.pending_clients.clone();
        let frontend = session::Frontend::new(
            pending_clients.clone(),
            timeouts,
            self.handle.clone(),
            handover.successor,
        );
        if let Some(receiver) = handover.receiver {
            tokio::spawn(listen::adopt_connections(receiver, frontend.clone()));
        }
        let closing = self.event_loop.closing();
        tokio::spawn(listen::accept_clients(listener, frontend, self.accepting.subscribe(), closing));
        if let (Some(discovered), Some(state_folder)) = (handover.discovered, self.state_folder.clone()) {
            let context = handover::SiblingContext {
                published: handover.published,
                pending_clients,
                accepting: self.accepting.clone(),
                event_loop: self.handle.clone(),
                state_folder,
                successor: handover.successor_sender,
            };
            tokio::spawn(handover::run(discovered, context));
        }
    }

    /// Starts the QUIC front end, and VRRP, which gates it where it is configured.
    async fn start_quic(&self, quic: QuicConfig, vrrp: Option<VrrpConfig>) -> Result<(), StartupError> {
        if self.config.settings.name_tables().classes.find(&quic.class).is_none() {
            return Err(StartupError::UnknownQuicClass(quic.class));
        }
        let (gate_sender, gate) = watch::channel(vrrp.is_none());
        let address = quic.listen;
        let servers = self.event_loop.server_addresses();
        let frontend = quic::QuicFrontend::bind(quic, self.config.seed, self.handle.clone(), servers, gate)
            .await
            .map_err(|error| StartupError::Quic { address, error })?;
        info!("quic: listens on {}", frontend.address()?);
        tokio::spawn(frontend.run());
        if let Some(vrrp) = vrrp {
            let stopping = self.stop.subscribe();
            tokio::spawn(async move {
                if let Err(error) = vrrp::run(vrrp, gate_sender, stopping).await {
                    info!("vrrp: {error}; this copy takes no new connections");
                }
            });
        }
        Ok(())
    }

    /// Begins to shut down once the process is asked to.
    fn stop_on_signal(&self, terminated_at: JoinHandle<Option<Instant>>) {
        let grace = self.config.shutdown_grace;
        let handle = self.handle.clone();
        let stop = self.stop.clone();
        tokio::spawn(async move {
            if let Ok(Some(terminated_at)) = terminated_at.await {
                info!("ashtide: asked to stop, leaving within {} ms", grace.as_millis());
                stop.send_replace(true);
                let grace = grace.saturating_sub(terminated_at.elapsed());
                handle.send(DriverEvent::ShutdownRequested { grace }).await;
            }
        });
    }

    /// Serves until the process is to end.
    async fn run(self, known_list: Option<EndpointList>, view_task: Option<JoinHandle<()>>) {
        self.event_loop.run(known_list).await;
        if let Some(view_task) = view_task {
            let _ = timeout(VIEW_DEPARTURE_TIMEOUT, view_task).await;
        }
        if let Some(state_folder) = self.state_folder {
            state_folder.remove_sockets(self.rank);
        }
        info!("ashtide: left");
    }
}
