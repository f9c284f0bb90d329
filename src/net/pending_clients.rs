//! Clients that have no session: those that have not said what they want, and those that wait for
//! the end after an error. They share what descriptors the sessions leave, and the one that has been
//! there longest without a byte makes room for the next, and only then one that has begun to speak.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};

use crate::config::Capacity;

/// Clients that were displaced and whose end is waited for, at most: their descriptors are beyond the room, so
/// that they keep nobody out, and come of those that the process keeps for itself.
const MAX_GRACEFUL_CLOSES: usize = 8;

/// Clients without a session, and how many there are with one.
#[derive(Clone)]
pub struct PendingClients {
    capacity: Capacity,
    state: Arc<Mutex<State>>,
    restore_phase_over: Arc<AtomicBool>,
    graceful_closes: Arc<Semaphore>,
}

#[derive(Default)]
struct State {
    /// Nobody is let in any more.
    closed: bool,
    /// Clients with a session.
    sessions: usize,
    /// Descriptors that another process of this balancer uses: the limit is for both.
    sibling_sockets: usize,
    last_arrival: u64,
    /// By arrival, those that have not sent a byte, and those that have.
    silent: BTreeMap<u64, oneshot::Sender<()>>,
    speaking: BTreeMap<u64, oneshot::Sender<()>>,
}

impl State {
    fn pending(&self) -> usize {
        self.silent.len() + self.speaking.len()
    }

    /// Sends away the one that has been there longest, of those that have not sent a byte if there are any.
    fn evict_oldest(&mut self) {
        if let Some((_, oldest)) = self.silent.pop_first().or_else(|| self.speaking.pop_first()) {
            let _ = oldest.send(());
        }
    }
}

/// A client's place. It is given back when dropped.
pub struct PendingSlot {
    pending_clients: PendingClients,
    arrival: u64,
    evicted: oneshot::Receiver<()>,
}

/// A client's session. It is given back when dropped.
pub struct SessionPermit {
    pending_clients: PendingClients,
}

impl PendingClients {
    /// An empty one.
    pub fn new(capacity: Capacity) -> Self {
        let closers = Arc::new(Semaphore::new(MAX_GRACEFUL_CLOSES));
        Self { capacity, state: Arc::default(), restore_phase_over: Arc::default(), graceful_closes: closers }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A permit for a session, unless all are taken.
    pub fn try_acquire_session(&self) -> Option<SessionPermit> {
        let mut inside = self.state();
        let free = inside.sessions < self.capacity.session_limit(inside.sibling_sockets);
        inside.sessions += usize::from(free);
        free.then(|| SessionPermit { pending_clients: self.clone() })
    }

    /// A permit for a session that another process of this balancer had: its descriptors are counted there
    /// until it tells anew, so there is always room.
    pub fn adopt_session(&self) -> SessionPermit {
        let mut inside = self.state();
        inside.sessions += 1;
        inside.sibling_sockets = inside.sibling_sockets.saturating_sub(2);
        drop(inside);
        SessionPermit { pending_clients: self.clone() }
    }

    /// Takes a client in, and whether others had to go for it.
    pub fn add(&self) -> (PendingSlot, bool) {
        let (sender, evicted) = oneshot::channel();
        let mut inside = self.state();
        let capacity = self.capacity.pending_limit(inside.sessions, inside.sibling_sockets);
        let mut evicted_others = false;
        while inside.pending() >= capacity {
            evicted_others = true;
            inside.evict_oldest();
        }
        inside.last_arrival += 1;
        let arrival = inside.last_arrival;
        if inside.closed {
            let _ = sender.send(());
        } else {
            inside.silent.insert(arrival, sender);
        }
        drop(inside);
        (PendingSlot { pending_clients: self.clone(), arrival, evicted }, evicted_others)
    }

    /// The system has no descriptor left, whatever the limits say: those that have been there longest without
    /// having asked for anything make room.
    pub fn evict_for_descriptors(&self) {
        let mut inside = self.state();
        for _ in 0..MAX_GRACEFUL_CLOSES {
            inside.evict_oldest();
        }
    }

    /// Leave to wait for the end of a client that was displaced, unless that is done for many already.
    pub fn try_acquire_graceful_close(&self) -> Option<OwnedSemaphorePermit> {
        self.graceful_closes.clone().try_acquire_owned().ok()
    }

    /// Sends everyone away who has not asked yet, and whoever still comes: this process ends.
    pub fn close(&self) {
        let mut inside = self.state();
        inside.closed = true;
        let State { silent, speaking: spoken, .. } = &mut *inside;
        for (_, client) in std::mem::take(silent).into_iter().chain(std::mem::take(spoken)) {
            let _ = client.send(());
        }
    }

    /// Whether it has been closed.
    pub fn is_closed(&self) -> bool {
        self.state().closed
    }

    /// Another process of this balancer uses so many descriptors.
    pub fn set_sibling_sockets(&self, sockets: usize) {
        self.state().sibling_sockets = sockets;
    }

    /// Descriptors that clients use.
    pub fn sockets_in_use(&self) -> usize {
        let inside = self.state();
        2 * inside.sessions + inside.pending()
    }

    /// A connection has come up that did not stand before: the run has begun, and with it the time
    /// of `at=` is over. It names a server past all decisions, so it must not stay open to anyone.
    pub fn end_restore_phase(&self) {
        self.restore_phase_over.store(true, Ordering::Relaxed);
    }

    /// Whether the run has begun.
    pub fn restore_phase_is_over(&self) -> bool {
        self.restore_phase_over.load(Ordering::Relaxed)
    }
}

/// Who is at a place, for the lobby to hear of.
pub struct ActivityNotifier {
    pending_clients: PendingClients,
    arrival: u64,
}

impl ActivityNotifier {
    /// The client has sent a byte: some that mean well need seconds for their line, but all begin.
    pub fn mark_speaking(&self) {
        let mut inside = self.pending_clients.state();
        if let Some(sender) = inside.silent.remove(&self.arrival) {
            inside.speaking.insert(self.arrival, sender);
        }
    }
}

impl PendingSlot {
    /// Tells the lobby when the client is heard.
    pub fn activity_notifier(&self) -> ActivityNotifier {
        ActivityNotifier { pending_clients: self.pending_clients.clone(), arrival: self.arrival }
    }

    /// Waits until another client needs the place.
    pub async fn evicted(&mut self) {
        // The sender is only dropped with the place.
        let _ = (&mut self.evicted).await;
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        let mut inside = self.pending_clients.state();
        inside.silent.remove(&self.arrival);
        inside.speaking.remove(&self.arrival);
    }
}

impl Drop for SessionPermit {
    fn drop(&mut self) {
        self.pending_clients.state().sessions -= 1;
    }
}
