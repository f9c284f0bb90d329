//! Sends and receives the datagrams of the membership view and of the shared state over one UDP socket, and
//! drives their timers.

use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ashtide_fleet::state::is_shared_state;
use ashtide_fleet::{MAX_DATAGRAM, MemberState, Membership, ViewChange};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep_until;
use tracing::info;

pub use super::incarnation_store::IncarnationStore;
use super::shared_state::SharedState;
use crate::fleet::shared_state::{GatewaySlots, GatewayState, TICK_INTERVAL};
use crate::fleet::view::{Settings, change_log_line, members_text, metrics_text};
use crate::net::bind_retry::bind_udp_with_retry;

/// Longest sleep while no timer is set.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// The membership view, shared by its driver and the admin endpoint, which reads it on another thread.
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

    /// Calls `operation` with the membership and the current time; returns `None` before the socket is bound.
    fn with<T>(&self, operation: impl FnOnce(&mut Membership, Duration) -> T) -> Option<T> {
        self.lock().as_mut().map(|membership| operation(membership, self.now()))
    }

    /// Returns the members as text; `None` before the socket is bound.
    pub fn members_text(&self) -> Option<String> {
        self.with(|membership, now| members_text(membership, now))
    }

    /// Returns the metrics as text; empty before the socket is bound.
    pub fn metrics_text(&self) -> String {
        self.with(|membership, _| metrics_text(membership)).unwrap_or_default()
    }
}

/// The shared state whose datagrams use the view's socket.
pub struct SharedStateHandle {
    /// The state itself, which the driver starts once the socket is bound.
    pub state: Arc<SharedState>,
    /// The slots of all gateways that may be members of the fleet.
    pub slots: GatewaySlots,
}

/// Drives the view, and the shared state if there is one, until `stop` becomes true. It then notifies the
/// other gateways that this one leaves.
pub async fn run(
    settings: Settings,
    seeds: Vec<SocketAddr>,
    incarnations: IncarnationStore,
    view: Arc<SharedView>,
    shared_state: Option<SharedStateHandle>,
    mut stop: watch::Receiver<bool>,
) {
    let socket = tokio::select! {
        socket = bind_udp_with_retry("view", settings.listen) => socket,
        _ = stop.wait_for(|&stop| stop) => return,
    };
    Driver::start(settings, seeds, incarnations, view, shared_state, socket).run(stop).await;
}

struct Driver {
    socket: UdpSocket,
    incarnations: IncarnationStore,
    view: Arc<SharedView>,
    shared_state: Option<Arc<SharedState>>,
    next_tick: Instant,
}

impl Driver {
    fn start(
        settings: Settings,
        seeds: Vec<SocketAddr>,
        incarnations: IncarnationStore,
        view: Arc<SharedView>,
        shared_state: Option<SharedStateHandle>,
        socket: UdpSocket,
    ) -> Self {
        let incarnation = incarnations.start_next();
        let Settings { listen, public, view: config, shared_state: state_settings, .. } = settings;
        let fleet_id = config.fleet_id;
        info!(
            "view: listening on {listen} (fleet {fleet_id}, generation {incarnation}, {} seeds)",
            seeds.len()
        );
        // The random keys of a hash map suffice as a seed: members only must not make the same random
        // choices.
        let seed = std::hash::RandomState::new().build_hasher().finish();
        *view.lock() = Some(Membership::new(config, public, incarnation, seeds, seed, view.now()));
        let shared_state = shared_state.zip(state_settings).map(|(handle, settings)| {
            let SharedStateHandle { state, slots } = handle;
            info!(
                "state: this gateway has slot {} of {} (generation {incarnation})",
                slots.own().0,
                slots.len()
            );
            let seed = seed.rotate_left(32);
            state.start(|now| GatewayState::new(settings, fleet_id, slots, incarnation, seed, now));
            state
        });
        Self { socket, incarnations, view, shared_state, next_tick: Instant::now() }
    }

    async fn run(mut self, mut stop: watch::Receiver<bool>) {
        // One byte longer than the longest datagram, so that an overlong one is detected.
        let mut buffer = [0; MAX_DATAGRAM + 1];
        loop {
            self.handle_changes();
            self.send_datagrams().await;
            if *stop.borrow() {
                return;
            }
            let view_timeout = self.view_timeout();
            let wake_at = match self.shared_state {
                Some(_) => view_timeout.min(self.next_tick),
                None => view_timeout,
            };
            // Time is advanced first: after a stall, datagrams that arrived meanwhile must not be handled as
            // if they had just been sent.
            tokio::select! {
                biased;
                _ = stop.wait_for(|&stop| stop) => self.leave(),
                () = sleep_until(wake_at.into()) => self.handle_timeouts(view_timeout),
                received = self.socket.recv_from(&mut buffer) => {
                    // The socket reports an error when a peer is unreachable; it needs no handling.
                    if let Ok((length, from)) = received {
                        self.handle_datagram(from, &buffer[..length]);
                    }
                }
            }
        }
    }

    /// Logs changes of the view and applies them to the incarnation store and the shared state.
    fn handle_changes(&self) {
        let mut guard = self.view.lock();
        let Some(membership) = guard.as_mut() else { return };
        let mut has_changed = false;
        while let Some(change) = membership.next_change() {
            info!("{}", change_log_line(&change));
            has_changed = true;
            if let ViewChange::Rejoined(own) = change {
                self.handle_rejoin(own.incarnation);
            }
        }
        if let Some(state) = self.shared_state.as_ref().filter(|_| has_changed) {
            let present = membership
                .members()
                .filter(|status| matches!(status.state, MemberState::Alive | MemberState::Suspect));
            state.with(|gateway, _| gateway.set_peers(present.map(|status| status.member.address)));
        }
    }

    /// Stores the later incarnation with which this gateway has rejoined, and passes it to the shared state.
    fn handle_rejoin(&self, incarnation: u64) {
        self.incarnations.store(incarnation);
        let line = self
            .shared_state
            .as_ref()
            .and_then(|state| state.with(|gateway, _| gateway.handle_new_incarnation(incarnation)))
            .flatten();
        if let Some(line) = line {
            info!("{line}");
        }
    }

    async fn send_datagrams(&self) {
        let from_view: Vec<_> = self
            .view
            .with(|membership, _| std::iter::from_fn(|| membership.next_datagram()).collect())
            .unwrap_or_default();
        for (to, datagram) in from_view {
            // A send error is equivalent to a loss in the network.
            let _ = self.socket.send_to(&datagram, to).await;
        }
        let from_state: Vec<_> = self
            .shared_state
            .as_ref()
            .and_then(|state| {
                state.with(|gateway, _| std::iter::from_fn(|| gateway.next_datagram()).collect())
            })
            .unwrap_or_default();
        for (to, datagram) in from_state {
            let _ = self.socket.send_to(&datagram, to).await;
        }
    }

    /// Returns the time of the view's next timeout, or a later wake-up if no timer is set.
    fn view_timeout(&self) -> Instant {
        let timeout = self.view.with(|membership, _| membership.next_timeout()).flatten();
        timeout.map_or_else(|| Instant::now() + IDLE_TIMEOUT, |timeout| self.view.epoch + timeout)
    }

    fn handle_timeouts(&mut self, view_timeout: Instant) {
        let now = Instant::now();
        if view_timeout <= now {
            self.view.with(|membership, now| membership.handle_timeout(now));
        }
        if let Some(state) = self.shared_state.as_ref().filter(|_| self.next_tick <= now) {
            state.with(|gateway, now| gateway.advance_to(now));
            self.next_tick = now + TICK_INTERVAL;
        }
    }

    fn handle_datagram(&self, from: SocketAddr, datagram: &[u8]) {
        // Rejected datagrams are counted by reason and exported as metrics.
        if let Some(state) = self.shared_state.as_ref().filter(|_| is_shared_state(datagram)) {
            state.with(|gateway, now| {
                gateway.advance_to(now);
                let _ = gateway.handle_datagram(from, datagram);
            });
        } else {
            let _ = self.view.with(|membership, now| membership.handle_datagram(now, datagram));
        }
    }

    fn leave(&self) {
        self.view.with(|membership, now| membership.leave(now));
        if let Some(state) = &self.shared_state {
            state.with(|gateway, _| gateway.leave());
        }
    }
}
