//! Carries the fleet view's datagrams over a UDP socket of its own, and keeps its time.

use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ashtide_fleet::state::is_shared_state;
use ashtide_fleet::{MAX_DATAGRAM, MemberState, Membership, ViewChange};
use tokio::sync::watch;
use tokio::time::sleep_until;
use tracing::info;

use crate::fleet::shared_state::{GatewaySlots, GatewayState, TICK_INTERVAL};
use crate::fleet::view::{Settings, change_log_line, members_text, metrics_text, next_incarnation};
use crate::net::bind_retry;
use crate::net::fleet::shared_state;
use crate::net::handover::{StateFolder, unix_micros};
use crate::net::storage;

/// So long is slept where nothing is due.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// The view, for whoever wants to look at it: the operators' door does from a thread of its own.
pub struct SharedView {
    epoch: Instant,
    membership: Mutex<Option<Membership>>,
}

impl Default for SharedView {
    fn default() -> Self {
        Self { epoch: Instant::now(), membership: Mutex::default() }
    }
}

impl SharedView {
    fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Membership>> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The members as text; none before there is a socket.
    pub fn members_text(&self) -> Option<String> {
        self.lock().as_ref().map(|fleet| members_text(fleet, self.now()))
    }

    /// The figures as text; empty before there is a socket.
    pub fn metrics_text(&self) -> String {
        self.lock().as_ref().map(metrics_text).unwrap_or_default()
    }
}

/// What outlives a process, so that its next life is a later one whatever the clock says.
pub struct IncarnationStore(Option<PathBuf>);

impl IncarnationStore {
    /// Of the gateway of this name, in this folder; without one, the clock alone tells lives apart.
    pub fn new(folder: Option<&Path>, name: &str) -> Self {
        Self(folder.map(|folder| StateFolder::for_gateway(folder, name).file_path("generation")))
    }

    pub(super) fn start_next(&self) -> u64 {
        let next = next_incarnation(unix_micros() / 1000, self.load_previous());
        self.store(next);
        next
    }

    /// The generation of the life before; none where there was none, or it cannot be known.
    fn load_previous(&self) -> Option<u64> {
        let path = self.0.as_deref()?;
        let unreadable = |why: &dyn std::fmt::Display| {
            info!("view: {}: {why}; the clock alone tells this life from the last", path.display());
        };
        let text = storage::read_optional(path).map_err(|error| unreadable(&error)).ok()??;
        text.trim().parse().map_err(|error| unreadable(&error)).ok()
    }

    fn store(&self, generation: u64) {
        if let Some(path) = &self.0
            && let Err(error) = storage::replace_file(path, format!("{generation}\n").as_bytes())
        {
            info!("view: {}: {error}; the clock alone tells this life from the next", path.display());
        }
    }
}

/// What is shared beside the view, and the slots of all gateways.
pub struct SharedStateHandle {
    /// Where it is kept.
    pub state: Arc<shared_state::SharedState>,
    /// All gateways that may be there.
    pub slots: GatewaySlots,
}

/// Keeps the view, and carries what is shared beside it, until `stop` turns true; then the others are told that this gateway leaves.
pub async fn run(
    settings: Settings,
    seeds: Vec<SocketAddr>,
    lives: IncarnationStore,
    board: Arc<SharedView>,
    shared: Option<SharedStateHandle>,
    mut stop: watch::Receiver<bool>,
) {
    let socket = tokio::select! {
        socket = bind_retry::bind_udp_with_retry("view", settings.listen) => socket,
        _ = stop.wait_for(|&stop| stop) => return,
    };
    let life = lives.start_next();
    let Settings { listen, public, view: options, shared_state: state, .. } = settings;
    info!("view: hears on {listen} tier={} generation={life} seeds={}", options.tier, seeds.len());
    // Keys of a hash map are random, and that is all that is asked here: members are not to choose alike.
    let seed = std::hash::RandomState::new().build_hasher().finish();
    *board.lock() = Some(Membership::new(options, public, life, seeds, seed, board.now()));
    let shared = shared.zip(state).map(|(SharedStateHandle { state: board, slots }, settings)| {
        info!("state: slot={} slots={} generation={life}", slots.own().0, slots.len());
        board.start(|now| GatewayState::new(settings, options.tier, slots, life, seed.rotate_left(32), now));
        board
    });
    let mut tick = Instant::now();
    // One byte more than a datagram: a longer one shows.
    let mut packet = [0; MAX_DATAGRAM + 1];
    loop {
        let (out, due) = {
            let mut fleet = board.lock();
            let Some(fleet) = fleet.as_mut() else { return };
            let mut changed = false;
            while let Some(change) = fleet.next_change() {
                info!("{}", change_log_line(&change));
                changed = true;
                if let ViewChange::Rejoined(own) = change {
                    lives.store(own.incarnation);
                    let outdone = shared.as_ref().and_then(|it| {
                        it.with(|hub, _| hub.handle_new_incarnation(own.incarnation)).flatten()
                    });
                    outdone.into_iter().for_each(|line| info!("{line}"));
                }
            }
            if let Some(shared) = shared.as_ref().filter(|_| changed) {
                let there = fleet
                    .members()
                    .filter(|it| matches!(it.state, MemberState::Alive | MemberState::Suspect));
                shared.with(|hub, _| hub.set_peers(there.map(|it| it.member.address)));
            }
            (std::iter::from_fn(|| fleet.next_datagram()).collect::<Vec<_>>(), fleet.next_timeout())
        };
        for (to, datagram) in out {
            // Late or never: nobody waits for it.
            let _ = socket.send_to(&datagram, to).await;
        }
        let told: Option<Vec<_>> = shared
            .as_ref()
            .and_then(|it| it.with(|hub, _| std::iter::from_fn(|| hub.next_datagram()).collect()));
        for (to, datagram) in told.unwrap_or_default() {
            let _ = socket.send_to(&datagram, to).await;
        }
        if *stop.borrow() {
            return;
        }
        // Where nobody is known there is nothing to be done until somebody is heard.
        let due = due.map_or_else(|| Instant::now() + IDLE_TIMEOUT, |due| board.epoch + due);
        let next = if shared.is_some() { due.min(tick) } else { due };
        // Time first: after a stall, what has come meanwhile must not be taken for news of this moment.
        tokio::select! {
            biased;
            _ = stop.wait_for(|&stop| stop) => {
                if let Some(fleet) = board.lock().as_mut() {
                    fleet.leave(board.now());
                }
                if let Some(shared) = &shared {
                    shared.with(|hub, _| hub.leave());
                }
            }
            () = sleep_until(next.into()) => {
                let now = Instant::now();
                if due <= now && let Some(fleet) = board.lock().as_mut() {
                    fleet.handle_timeout(board.now());
                }
                if let Some(shared) = shared.as_ref().filter(|_| tick <= now) {
                    shared.with(|hub, now| hub.advance_to(now));
                    tick = now + TICK_INTERVAL;
                }
            }
            heard = socket.recv_from(&mut packet) => {
                // A peer that is not there shows as an error of the socket; it is no concern of ours.
                let Ok((length, from)) = heard else { continue };
                if let Some(shared) = shared.as_ref().filter(|_| is_shared_state(&packet[..length])) {
                    // Counted by reason, too.
                    shared.with(|hub, now| {
                        hub.advance_to(now);
                        let _ = hub.handle_datagram(from, &packet[..length]);
                    });
                } else if let Some(fleet) = board.lock().as_mut() {
                    // Counted by reason, and shown among the figures.
                    let _ = fleet.handle_datagram(board.now(), &packet[..length]);
                }
            }
        }
    }
}
