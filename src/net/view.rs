//! Carries the fleet view's datagrams over a UDP socket of its own, and keeps its time.

use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ashtide_fleet::state::is_state;
use ashtide_fleet::{Change, Fleet, MAX_DATAGRAM, State};
use tokio::sync::watch;
use tokio::time::sleep_until;
use tracing::info;

use super::files;
use super::handover::{Place, unix_micros};
use super::socket;
use super::state;
use crate::state::{Hub, Slots, TICK};
use crate::view::{Settings, figures, generation, line, members};

/// So long is slept where nothing is due.
const NOTHING_DUE: Duration = Duration::from_secs(3600);

/// The view, for whoever wants to look at it: the operators' door does from a thread of its own.
pub struct Board {
    began: Instant,
    fleet: Mutex<Option<Fleet>>,
}

impl Default for Board {
    fn default() -> Self {
        Self { began: Instant::now(), fleet: Mutex::default() }
    }
}

impl Board {
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn fleet(&self) -> MutexGuard<'_, Option<Fleet>> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The members as text; none before there is a socket.
    pub fn members(&self) -> Option<String> {
        self.fleet().as_ref().map(|fleet| members(fleet, self.now()))
    }

    /// The figures as text; empty before there is a socket.
    pub fn figures(&self) -> String {
        self.fleet().as_ref().map(figures).unwrap_or_default()
    }
}

/// What outlives a process, so that its next life is a later one whatever the clock says.
pub struct Lives(Option<PathBuf>);

impl Lives {
    /// Of the gateway of this name, in this folder; without one, the clock alone tells lives apart.
    pub fn new(folder: Option<&Path>, name: &str) -> Self {
        Self(folder.map(|folder| Place::new(folder, name).beside("generation")))
    }

    pub(super) fn begin(&self) -> u64 {
        let next = generation(unix_micros() / 1000, self.earlier());
        self.keep(next);
        next
    }

    /// The generation of the life before; none where there was none, or it cannot be known.
    fn earlier(&self) -> Option<u64> {
        let path = self.0.as_deref()?;
        let unreadable = |why: &dyn std::fmt::Display| {
            info!("view: {}: {why}; the clock alone tells this life from the last", path.display());
        };
        let text = files::read_if_there(path).map_err(|error| unreadable(&error)).ok()??;
        text.trim().parse().map_err(|error| unreadable(&error)).ok()
    }

    fn keep(&self, generation: u64) {
        if let Some(path) = &self.0
            && let Err(error) = files::replace(path, format!("{generation}\n").as_bytes())
        {
            info!("view: {}: {error}; the clock alone tells this life from the next", path.display());
        }
    }
}

/// What is shared beside the view, and the slots of all gateways.
pub struct Shared {
    /// Where it is kept.
    pub board: Arc<state::Board>,
    /// All gateways that may be there.
    pub slots: Slots,
}

/// Keeps the view, and carries what is shared beside it, until `stop` turns true; then the others are told that this gateway leaves.
pub async fn run(
    settings: Settings,
    seeds: Vec<SocketAddr>,
    lives: Lives,
    board: Arc<Board>,
    shared: Option<Shared>,
    mut stop: watch::Receiver<bool>,
) {
    let socket = tokio::select! {
        socket = socket::bind_in_time("view", settings.listen) => socket,
        _ = stop.wait_for(|&stop| stop) => return,
    };
    let life = lives.begin();
    let Settings { listen, public, options, state, .. } = settings;
    info!("view: hears on {listen} tier={} generation={life} seeds={}", options.tier, seeds.len());
    // Keys of a hash map are random, and that is all that is asked here: members are not to choose alike.
    let seed = std::hash::RandomState::new().build_hasher().finish();
    *board.fleet() = Some(Fleet::new(options, public, life, seeds, seed, board.now()));
    let shared = shared.zip(state).map(|(Shared { board, slots }, settings)| {
        info!("state: slot={} slots={} generation={life}", slots.own().0, slots.len());
        board.begin(|now| Hub::new(settings, options.tier, slots, life, seed.rotate_left(32), now));
        board
    });
    let mut tick = Instant::now();
    // One byte more than a datagram: a longer one shows.
    let mut packet = [0; MAX_DATAGRAM + 1];
    loop {
        let (out, due) = {
            let mut fleet = board.fleet();
            let Some(fleet) = fleet.as_mut() else { return };
            let mut changed = false;
            while let Some(change) = fleet.change() {
                info!("{}", line(&change));
                changed = true;
                if let Change::Back(own) = change {
                    lives.keep(own.generation);
                    let outdone = shared
                        .as_ref()
                        .and_then(|it| it.with(|hub, _| hub.lives_on(own.generation)).flatten());
                    outdone.into_iter().for_each(|line| info!("{line}"));
                }
            }
            if let Some(shared) = shared.as_ref().filter(|_| changed) {
                let there = fleet.members().filter(|it| matches!(it.state, State::Alive | State::Suspect));
                shared.with(|hub, _| hub.peers(there.map(|it| it.member.address)));
            }
            (std::iter::from_fn(|| fleet.transmit()).collect::<Vec<_>>(), fleet.due())
        };
        for (to, datagram) in out {
            // Late or never: nobody waits for it.
            let _ = socket.send_to(&datagram, to).await;
        }
        let told: Option<Vec<_>> =
            shared.as_ref().and_then(|it| it.with(|hub, _| std::iter::from_fn(|| hub.transmit()).collect()));
        for (to, datagram) in told.unwrap_or_default() {
            let _ = socket.send_to(&datagram, to).await;
        }
        if *stop.borrow() {
            return;
        }
        // Where nobody is known there is nothing to be done until somebody is heard.
        let due = due.map_or_else(|| Instant::now() + NOTHING_DUE, |due| board.began + due);
        let next = if shared.is_some() { due.min(tick) } else { due };
        // Time first: after a stall, what has come meanwhile must not be taken for news of this moment.
        tokio::select! {
            biased;
            _ = stop.wait_for(|&stop| stop) => {
                if let Some(fleet) = board.fleet().as_mut() {
                    fleet.leave(board.now());
                }
                if let Some(shared) = &shared {
                    shared.with(|hub, _| hub.leave());
                }
            }
            () = sleep_until(next.into()) => {
                let now = Instant::now();
                if due <= now && let Some(fleet) = board.fleet().as_mut() {
                    fleet.fire(board.now());
                }
                if let Some(shared) = shared.as_ref().filter(|_| tick <= now) {
                    shared.with(|hub, now| hub.at(now));
                    tick = now + TICK;
                }
            }
            heard = socket.recv_from(&mut packet) => {
                // A peer that is not there shows as an error of the socket; it is no concern of ours.
                let Ok((length, from)) = heard else { continue };
                if let Some(shared) = shared.as_ref().filter(|_| is_state(&packet[..length])) {
                    // Counted by reason, too.
                    shared.with(|hub, now| {
                        hub.at(now);
                        let _ = hub.hear(from, &packet[..length]);
                    });
                } else if let Some(fleet) = board.fleet().as_mut() {
                    // Counted by reason, and shown among the figures.
                    let _ = fleet.receive(board.now(), &packet[..length]);
                }
            }
        }
    }
}
