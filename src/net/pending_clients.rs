//! Pending clients, which have no session: those that have not sent their first line, and those whose
//! connection is being closed after an error. They share the descriptors that sessions do not use. If there
//! are too many, the oldest client that has sent nothing is evicted, and only if there is none, the oldest
//! that has begun to send.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};

use crate::config::Capacity;

/// Maximum number of evicted clients that are closed gracefully at a time. Their descriptors are not part of
/// the capacity, so that they do not block new clients; they are among those that the process reserves for
/// itself.
const MAX_GRACEFUL_CLOSES: usize = 8;

/// The set of pending clients, and the number of clients with a session. Clones are handles to the same set.
#[derive(Clone)]
pub struct PendingClients {
    capacity: Capacity,
    state: Arc<Mutex<State>>,
    /// Whether the restore phase has ended, in which clients may name the server of their earlier connection.
    restore_phase_over: Arc<AtomicBool>,
    graceful_closes: Arc<Semaphore>,
}

#[derive(Default)]
struct State {
    /// Whether new clients are evicted immediately.
    closed: bool,
    /// Number of clients with a session.
    sessions: usize,
    /// Number of descriptors used by a sibling process. The limit applies to both processes together.
    sibling_sockets: usize,
    /// Number of the client that was added last.
    last_arrival: u64,
    /// Senders that evict the clients that have not sent a byte, by arrival number.
    silent: BTreeMap<u64, oneshot::Sender<()>>,
    /// Senders that evict the clients that have sent at least one byte, by arrival number.
    sending: BTreeMap<u64, oneshot::Sender<()>>,
}

impl State {
    fn pending(&self) -> usize {
        self.silent.len() + self.sending.len()
    }

    /// Evicts the oldest client that has not sent a byte, or else the oldest that has.
    fn evict_oldest(&mut self) {
        if let Some((_, oldest)) = self.silent.pop_first().or_else(|| self.sending.pop_first()) {
            let _ = oldest.send(());
        }
    }
}

/// The slot of one pending client. The slot is released when dropped.
pub struct PendingSlot {
    pending_clients: PendingClients,
    arrival: u64,
    evicted: oneshot::Receiver<()>,
}

/// The permit for one session. The permit is released when dropped.
pub struct SessionPermit {
    pending_clients: PendingClients,
}

/// The result of adding a client.
pub struct AddedClient {
    /// Slot of the added client.
    pub slot: PendingSlot,
    /// Whether other clients were evicted to make capacity for it.
    pub evicted_others: bool,
}

impl PendingClients {
    /// Creates an empty set with the given capacity.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            state: Arc::default(),
            restore_phase_over: Arc::default(),
            graceful_closes: Arc::new(Semaphore::new(MAX_GRACEFUL_CLOSES)),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a permit for a session, or `None` if the limit is reached.
    pub fn try_acquire_session(&self) -> Option<SessionPermit> {
        let mut state = self.state();
        if state.sessions >= self.capacity.session_limit(state.sibling_sockets) {
            return None;
        }
        state.sessions += 1;
        drop(state);
        Some(SessionPermit { pending_clients: self.clone() })
    }

    /// Returns a permit for a session adopted from a sibling process. A permit is always available, as the
    /// session's descriptors are already counted for the sibling, until it reports its number again.
    pub fn adopt_session(&self) -> SessionPermit {
        let mut state = self.state();
        state.sessions += 1;
        state.sibling_sockets = state.sibling_sockets.saturating_sub(2);
        drop(state);
        SessionPermit { pending_clients: self.clone() }
    }

    /// Adds a client, and evicts others if the capacity is exceeded.
    pub fn add(&self) -> AddedClient {
        let (sender, evicted) = oneshot::channel();
        let mut state = self.state();
        let capacity = self.capacity.pending_limit(state.sessions, state.sibling_sockets);
        let mut evicted_others = false;
        while state.pending() >= capacity {
            evicted_others = true;
            state.evict_oldest();
        }
        state.last_arrival += 1;
        let arrival = state.last_arrival;
        if state.closed {
            let _ = sender.send(());
        } else {
            state.silent.insert(arrival, sender);
        }
        drop(state);
        let slot = PendingSlot { pending_clients: self.clone(), arrival, evicted };
        AddedClient { slot, evicted_others }
    }

    /// Evicts the oldest clients when the system has no free descriptor although the limits are observed.
    pub fn evict_for_descriptors(&self) {
        let mut state = self.state();
        for _ in 0..MAX_GRACEFUL_CLOSES {
            state.evict_oldest();
        }
    }

    /// Returns a permit to close an evicted client gracefully, or `None` if all are in use.
    pub fn try_acquire_graceful_close(&self) -> Option<OwnedSemaphorePermit> {
        self.graceful_closes.clone().try_acquire_owned().ok()
    }

    /// Evicts all clients, and those that are added later, as this process exits.
    pub fn close(&self) {
        let mut state = self.state();
        state.closed = true;
        let silent = std::mem::take(&mut state.silent);
        let sending = std::mem::take(&mut state.sending);
        for client in silent.into_values().chain(sending.into_values()) {
            let _ = client.send(());
        }
    }

    /// Checks whether the set has been closed.
    pub fn is_closed(&self) -> bool {
        self.state().closed
    }

    /// Sets the number of descriptors that a sibling process uses.
    pub fn set_sibling_sockets(&self, sockets: usize) {
        self.state().sibling_sockets = sockets;
    }

    /// Returns the number of descriptors that clients and the servers of their sessions use.
    pub fn sockets_in_use(&self) -> usize {
        let state = self.state();
        2 * state.sessions + state.pending()
    }

    /// Ends the restore phase, in which clients may name the server of their connection before the start
    /// (`at=`). It ends with the first new connection. Its end is necessary because such a request bypasses
    /// all balancing decisions.
    pub fn end_restore_phase(&self) {
        self.restore_phase_over.store(true, Ordering::Relaxed);
    }

    /// Checks whether the restore phase has ended.
    pub fn restore_phase_is_over(&self) -> bool {
        self.restore_phase_over.load(Ordering::Relaxed)
    }
}

/// Records that the client of a slot has begun to send.
pub struct ActivityNotifier {
    pending_clients: PendingClients,
    arrival: u64,
}

impl ActivityNotifier {
    /// Records that the client has sent a byte. Valid clients may need seconds to send their line, but all
    /// begin to send it immediately.
    pub fn mark_sending(&self) {
        let mut state = self.pending_clients.state();
        if let Some(sender) = state.silent.remove(&self.arrival) {
            state.sending.insert(self.arrival, sender);
        }
    }
}

impl PendingSlot {
    /// Returns a notifier that records that the slot's client has begun to send.
    pub fn activity_notifier(&self) -> ActivityNotifier {
        ActivityNotifier { pending_clients: self.pending_clients.clone(), arrival: self.arrival }
    }

    /// Waits until the client is evicted.
    pub async fn evicted(&mut self) {
        // The sender is dropped without sending only when the slot is dropped.
        let _ = (&mut self.evicted).await;
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        let mut state = self.pending_clients.state();
        state.silent.remove(&self.arrival);
        state.sending.remove(&self.arrival);
    }
}

impl Drop for SessionPermit {
    fn drop(&mut self) {
        self.pending_clients.state().sessions -= 1;
    }
}
