//! The daemon: one balancer on sockets.

mod command;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use ashtide::config::{Config, Fronts};
use ashtide::facts::Allowance;
use ashtide::handover::State;
use ashtide::maintenance::{self as work, MaintenanceError};
use ashtide::net::core::Core;
use ashtide::net::handover::{self, Place, Post};
use ashtide::net::lobby::Lobby;
use ashtide::net::quota::Desk;
use ashtide::net::report::{Report, duration};
use ashtide::net::{
    discovery, door, listen, log, maintenance, quic, reload, rights, session, socket, view, vrrp,
};
use ashtide::quota::{self, QuotaError};
use ashtide::state::Judging;
use ashtide::view::{Settings, ViewError};
use clap::Parser;
use command::{Arguments, Files, Todo};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tracing::{error, info};

/// How long the fleet view may take to say that this gateway leaves.
const LAST_WORD: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let files = match Arguments::parse().run() {
        Todo::Serve(files) => files,
        Todo::Done(code) => return code,
    };
    log::start();
    match start(files) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!("ashtide: {problem}");
            ExitCode::from(2)
        }
    }
}

fn start(files: Files) -> Result<(), Box<dyn std::error::Error>> {
    let mut config = Config::read(|name| std::env::var(name).ok())?;
    let descriptors = socket::descriptors();
    if descriptors < config.limits.sockets {
        info!("ashtide: limits.sockets is {}, the system allows {descriptors}", config.limits.sockets);
        config.limits.sockets = descriptors;
    }
    config.facts.remarks().iter().for_each(|remark| info!("ashtide: {remark}"));
    // The platform names no deploy file.
    let fronts = files.fronts.as_deref().map(Fronts::read).transpose()?.unwrap_or_default();
    let view = files.view.as_deref().map(Settings::read).transpose().map_err(ViewError::told)?;
    let quota = match &files.quota {
        Some(_) if view.as_ref().is_none_or(|it| it.state.is_none()) => {
            return Err(QuotaError::Alone.told().into());
        }
        Some(file) => {
            let customers = config.facts.allowances();
            Some((
                file.clone(),
                quota::Settings::read(file, &customers).map_err(QuotaError::told)?,
                customers,
            ))
        }
        None => None,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let work = files.maintenance.as_deref().map(work::Settings::read).transpose();
    let work = work.map_err(MaintenanceError::told)?;
    let end = runtime.block_on(run(config, fronts, view, work, quota));
    // A file that a reload still reads, on a disk that hangs, is not waited for.
    runtime.shutdown_background();
    end
}

async fn run(
    config: Config,
    fronts: Fronts,
    view: Option<Settings>,
    work: Option<work::Settings>,
    quota: Option<(PathBuf, quota::Settings, Vec<Allowance>)>,
) -> Result<(), Box<dyn std::error::Error>> {
    // Both before anything listens: without a handler, either ends the process on the spot. When it was told to
    // stop counts from then on, as it may still be meeting an older process.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let told_to_stop = tokio::spawn(async move { terminate.recv().await.map(|()| Instant::now()) });
    let listener = match config.inherited {
        Some(number) => socket::adopt(number).map_err(|e| format!("ROUTER_INHERITED_FD: '{number}': {e}"))?,
        None => socket::bind(config.listen).map_err(|e| format!("listen {}: {e}", config.listen))?,
    };
    // One call asked for while another runs: the queue's one place says so.
    let (subscribe, subscriptions) = mpsc::channel(1);
    let others = fronts.quic.as_ref().map_or(0, |quic| quic.paths);
    let room = config.room(others);
    let lobby = Lobby::new(room);
    let whose = handover::deployment(&config, &listener);
    let place = config.folder.as_deref().map(|folder| Place::of(folder, whose.clone()));
    let started = place.as_ref().map_or_else(handover::unix_micros, Place::rank);
    let kept = place.as_ref().map(Place::kept).unwrap_or_default();
    let met = match &place {
        Some(place) => Some(handover::meet(place, started).await),
        None => None,
    };
    if kept.begun || met.as_ref().is_some_and(|met| met.others(started).begun) {
        lobby.begin();
    }
    // What an older process has heard is newer than what this one was given.
    let relayed = met.as_ref().and_then(|met| met.list.clone());
    let known = [config.known.clone(), relayed].into_iter().flatten().max_by_key(|list| list.index);
    let inbox = place.as_ref().and_then(|place| place.receive(started));
    let state = State { whose: Some(whose), started, adopts: inbox.is_some(), ..State::default() };
    let (heirs, heir) = watch::channel(None);
    let own = config.kept_sockets(others);
    let post = Post::new(lobby.clone(), place.clone(), kept, own, state, heir.clone());
    let telling = post.telling();
    let (datagrams, sending) = mpsc::channel(rights::QUEUE);
    let (mut core, handle, mut office) = Core::new(&config, subscribe, datagrams, post);
    let listen = listener.local_addr()?;
    info!("ashtide: {} listens on {listen}, at most {} clients", config.name, room.sessions);
    let (stop, stopping) = watch::channel(false);
    let mut leaving = None;
    if let Some(view) = view {
        let seeds = view
            .seeds(config.peers.as_ref().map(|peers| peers.others().collect()))
            .map_err(ViewError::told)?;
        let each = config.peers.as_ref().map(|peers| peers.each.as_slice());
        let slots = view.state.as_ref().map(|_| view.slots(each)).transpose().map_err(ViewError::told)?;
        let shared = slots.map(|slots| {
            let board = office.state.insert(Arc::default()).clone();
            if let Some((_, settings, _)) = &quota {
                let desk = Arc::new(Desk::new(settings.clone(), &slots, board.clone(), place.as_ref()));
                core.quota(office.quota.insert(desk).clone());
            }
            core.share(board.clone(), view.state.as_ref().is_some_and(|it| it.judgements != Judging::Off));
            view::Shared { board, slots }
        });
        let lives = view::Lives::new(config.folder.as_deref(), &config.name);
        let board = office.view.insert(Arc::default()).clone();
        leaving = Some(tokio::spawn(view::run(view, seeds, lives, board, shared, stopping.clone())));
    }
    if let Some(work) = work {
        let (desk, clerk) = maintenance::Desk::new();
        office.maintenance = Some(Arc::new(desk));
        maintenance::start(work, config.name.clone(), clerk, handle.clone(), stopping.clone())?;
    }
    if let Some(operator) = config.operator {
        let at = door::open(operator, office).map_err(|e| format!("operator {operator}: {e}"))?;
        info!("operator: listens on {at}");
    }
    if let Some(peers) = config.peers {
        tokio::spawn(rights::run(peers, sending, handle.clone()));
    }
    let after = known.as_ref().map_or(0, |known| known.index);
    let (found, address) = watch::channel(config.discovery);
    tokio::spawn(discovery::follow(address, after, subscriptions, handle.clone()));
    let quotas = quota.map(|(file, _, customers)| reload::Quotas { file, customers, core: handle.clone() });
    tokio::spawn(reload::follow(hangup, config.standing, found, quotas));
    let times = session::Times { connect: duration(config.facts.connect_timeout()) };
    let (accepts, accepting) = watch::channel(true);
    let front = session::Front::new(lobby.clone(), times, handle.clone(), heir);
    if let Some(inbox) = inbox {
        tokio::spawn(listen::adopt(inbox, front.clone()));
    }
    tokio::spawn(listen::serve(listener, front, accepting, core.closing()));
    if let (Some(met), Some(place)) = (met, place.clone()) {
        tokio::spawn(handover::run(met, telling, lobby, accepts.clone(), handle.clone(), place, heirs));
    }
    if let Some(front) = fronts.quic {
        if config.facts.names().classes.find(&front.class).is_none() {
            return Err(format!("quic.class: '{}' is no class of the settings", front.class).into());
        }
        let (gate, open) = watch::channel(fronts.vrrp.is_none());
        let listen = front.listen;
        let front = quic::Front::bind(front, config.seed, handle.clone(), core.fleet(), open)
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
    let grace = config.grace;
    tokio::spawn(async move {
        if let Ok(Some(told)) = told_to_stop.await {
            info!("ashtide: asked to stop, leaving within {} ms", grace.as_millis());
            stop.send_replace(true);
            handle.tell(Report::Leave(grace.saturating_sub(told.elapsed()))).await;
        }
    });
    core.run(known).await;
    if let Some(leaving) = leaving {
        let _ = tokio::time::timeout(LAST_WORD, leaving).await;
    }
    if let Some(place) = place {
        place.leave(started);
    }
    info!("ashtide: left");
    Ok(())
}
