//! The daemon: one balancer on sockets.

mod cli;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use ashtide::config::{Config, FrontendConfig};
use ashtide::fleet::maintenance::{self as work, MaintenanceError};
use ashtide::fleet::quota::{self, QuotaError};
use ashtide::fleet::shared_state::OutlierMode;
use ashtide::fleet::view::{Settings, ViewError};
use ashtide::handover::ProcessState;
use ashtide::net::event_loop::EventLoop;
use ashtide::net::fleet::quota::QuotaService;
use ashtide::net::fleet::{maintenance, permits, view};
use ashtide::net::handover::{self, SiblingLink, StateFolder};
use ashtide::net::messages::{DriverEvent, to_duration};
use ashtide::net::pending_clients::PendingClients;
use ashtide::net::{admin, bind_retry, discovery, listen, quic, rate_limited_log, reload, session, vrrp};
use ashtide::settings::TenantQuota;
use clap::Parser;
use cli::{Action, Arguments, ConfigFiles};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tracing::{error, info};

/// How long the fleet view may take to say that this gateway leaves.
const VIEW_DEPARTURE_TIMEOUT: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let files = match Arguments::parse().execute() {
        Action::Serve(files) => files,
        Action::Exit(code) => return code,
    };
    rate_limited_log::init();
    match run_daemon(files) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!("ashtide: {problem}");
            ExitCode::from(2)
        }
    }
}

fn run_daemon(files: ConfigFiles) -> Result<(), Box<dyn std::error::Error>> {
    let mut config = Config::read(|name| std::env::var(name).ok())?;
    let descriptors = bind_retry::descriptor_limit();
    if descriptors < config.limits.descriptors {
        info!("ashtide: limits.sockets is {}, the system allows {descriptors}", config.limits.descriptors);
        config.limits.descriptors = descriptors;
    }
    config.settings.warnings().iter().for_each(|remark| info!("ashtide: {remark}"));
    // The platform names no deploy file.
    let fronts = files.fronts.as_deref().map(FrontendConfig::read).transpose()?.unwrap_or_default();
    let view = files.view.as_deref().map(Settings::read).transpose().map_err(ViewError::with_help)?;
    let quota = match &files.quota {
        Some(_) if view.as_ref().is_none_or(|it| it.shared_state.is_none()) => {
            return Err(QuotaError::NoSharedState.with_help().into());
        }
        Some(file) => {
            let customers = config.settings.tenant_quotas();
            Some((
                file.clone(),
                quota::Settings::read(file, &customers).map_err(QuotaError::with_help)?,
                customers,
            ))
        }
        None => None,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let work = files.maintenance.as_deref().map(work::Settings::read).transpose();
    let work = work.map_err(MaintenanceError::with_help)?;
    let end = runtime.block_on(run(config, fronts, view, work, quota));
    // A file that a reload still reads, on a disk that hangs, is not waited for.
    runtime.shutdown_background();
    end
}

async fn run(
    config: Config,
    fronts: FrontendConfig,
    view: Option<Settings>,
    work: Option<work::Settings>,
    quota: Option<(PathBuf, quota::Settings, Vec<TenantQuota>)>,
) -> Result<(), Box<dyn std::error::Error>> {
    // Both before anything listens: without a handler, either ends the process on the spot. When it was told to
    // stop counts from then on, as it may still be meeting an older process.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let told_to_stop = tokio::spawn(async move { terminate.recv().await.map(|()| Instant::now()) });
    let listener = match config.inherited_listener {
        Some(number) => {
            bind_retry::adopt_listener(number).map_err(|e| format!("ROUTER_INHERITED_FD: '{number}': {e}"))?
        }
        None => bind_retry::bind_listener(config.listen_address)
            .map_err(|e| format!("listen {}: {e}", config.listen_address))?,
    };
    // One call asked for while another runs: the queue's one place says so.
    let (subscribe, subscriptions) = mpsc::channel(1);
    let others = fronts.quic.as_ref().map_or(0, |quic| quic.paths);
    let room = config.capacity(others);
    let lobby = PendingClients::new(room);
    let whose = handover::describe_deployment(&config, &listener);
    let place =
        config.state_folder.as_deref().map(|folder| StateFolder::for_deployment(folder, whose.clone()));
    let started = place.as_ref().map_or_else(handover::unix_micros, StateFolder::next_rank);
    let kept = place.as_ref().map(StateFolder::load).unwrap_or_default();
    let met = match &place {
        Some(place) => Some(handover::discover_siblings(place, started).await),
        None => None,
    };
    if kept.restore_phase_over || met.as_ref().is_some_and(|met| met.summary(started).restore_phase_over) {
        lobby.end_restore_phase();
    }
    // What an older process has heard is newer than what this one was given.
    let relayed = met.as_ref().and_then(|met| met.endpoint_list.clone());
    let known = [config.initial_list.clone(), relayed].into_iter().flatten().max_by_key(|list| list.index);
    let inbox = place.as_ref().and_then(|place| place.bind_handoff_receiver(started));
    let state = ProcessState {
        deployment: Some(whose),
        rank: started,
        adopts_connections: inbox.is_some(),
        ..ProcessState::default()
    };
    let (heirs, heir) = watch::channel(None);
    let own = config.reserved_descriptors(others);
    let post = SiblingLink::new(lobby.clone(), place.clone(), kept, own, state, heir.clone());
    let telling = post.subscribe();
    let (datagrams, sending) = mpsc::channel(permits::SEND_QUEUE_LENGTH);
    let (mut core, handle, mut office) = EventLoop::new(&config, subscribe, datagrams, post);
    let listen = listener.local_addr()?;
    info!("ashtide: {} listens on {listen}, at most {} clients", config.name, room.max_sessions);
    let (stop, stopping) = watch::channel(false);
    let mut leaving = None;
    if let Some(view) = view {
        let seeds = view
            .seeds_or_peers(config.peers.as_ref().map(|peers| peers.other_addresses().collect()))
            .map_err(ViewError::with_help)?;
        let each = config.peers.as_ref().map(|peers| peers.by_index.as_slice());
        let slots = view
            .shared_state
            .as_ref()
            .map(|_| view.gateway_slots(each))
            .transpose()
            .map_err(ViewError::with_help)?;
        let shared = slots.map(|slots| {
            let board = office.shared_state.insert(Arc::default()).clone();
            if let Some((_, settings, _)) = &quota {
                let desk =
                    Arc::new(QuotaService::new(settings.clone(), &slots, board.clone(), place.as_ref()));
                core.enable_quota(office.quota.insert(desk).clone());
            }
            core.enable_shared_state(
                board.clone(),
                view.shared_state.as_ref().is_some_and(|it| it.outlier_mode != OutlierMode::Off),
            );
            view::SharedStateHandle { state: board, slots }
        });
        let lives = view::IncarnationStore::new(config.state_folder.as_deref(), &config.name);
        let board = office.view.insert(Arc::default()).clone();
        leaving = Some(tokio::spawn(view::run(view, seeds, lives, board, shared, stopping.clone())));
    }
    if let Some(work) = work {
        let (desk, clerk) = maintenance::MaintenanceService::new();
        office.maintenance = Some(Arc::new(desk));
        maintenance::start(work, config.name.clone(), clerk, handle.clone(), stopping.clone())?;
    }
    if let Some(operator) = config.admin_address {
        let at = admin::start(operator, office).map_err(|e| format!("operator {operator}: {e}"))?;
        info!("operator: listens on {at}");
    }
    if let Some(peers) = config.peers {
        tokio::spawn(permits::run(peers, sending, handle.clone()));
    }
    let after = known.as_ref().map_or(0, |known| known.index);
    let (found, address) = watch::channel(config.discovery_address);
    tokio::spawn(discovery::follow_endpoint_list(address, after, subscriptions, handle.clone()));
    let quotas = quota.map(|(file, _, customers)| reload::QuotaReload {
        file,
        allowances: customers,
        event_loop: handle.clone(),
    });
    tokio::spawn(reload::reload_on_hangup(hangup, config.reload_baseline, found, quotas));
    let times = session::Timeouts { connect: to_duration(config.settings.connect_timeout()) };
    let (accepts, accepting) = watch::channel(true);
    let front = session::Frontend::new(lobby.clone(), times, handle.clone(), heir);
    if let Some(inbox) = inbox {
        tokio::spawn(listen::adopt_connections(inbox, front.clone()));
    }
    tokio::spawn(listen::accept_clients(listener, front, accepting, core.closing()));
    if let (Some(met), Some(state_folder)) = (met, place.clone()) {
        let context = handover::SiblingContext {
            published: telling,
            pending_clients: lobby,
            accepting: accepts.clone(),
            event_loop: handle.clone(),
            state_folder,
            successor: heirs,
        };
        tokio::spawn(handover::run(met, context));
    }
    if let Some(front) = fronts.quic {
        if config.settings.name_tables().classes.find(&front.class).is_none() {
            return Err(format!("quic.class: '{}' is no class of the settings", front.class).into());
        }
        let (gate, open) = watch::channel(fronts.vrrp.is_none());
        let listen = front.listen;
        let front =
            quic::QuicFrontend::bind(front, config.seed, handle.clone(), core.server_addresses(), open)
                .await
                .map_err(|e| format!("quic.listen {listen}: {e}"))?;
        info!("quic: listens on {}", front.address()?);
        tokio::spawn(front.run());
        if let Some(router) = fronts.vrrp {
            tokio::spawn(async move {
                if let Err(error) = vrrp::run(router, gate, stopping).await {
                    info!("vrrp: {error}; this copy takes no new connections");
                }
            });
        }
    }
    let grace = config.shutdown_grace;
    tokio::spawn(async move {
        if let Ok(Some(told)) = told_to_stop.await {
            info!("ashtide: asked to stop, leaving within {} ms", grace.as_millis());
            stop.send_replace(true);
            handle.send(DriverEvent::ShutdownRequested(grace.saturating_sub(told.elapsed()))).await;
        }
    });
    core.run(known).await;
    if let Some(leaving) = leaving {
        let _ = tokio::time::timeout(VIEW_DEPARTURE_TIMEOUT, leaving).await;
    }
    if let Some(place) = place {
        place.remove_sockets(started);
    }
    info!("ashtide: left");
    Ok(())
}
