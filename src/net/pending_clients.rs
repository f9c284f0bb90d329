//! Clients without a session: those that have not sent their first line, and those that wait for the end after an
//! error. They share the descriptors that sessions leave. Where there are too many, the oldest that has sent nothing is
//! evicted, and only then the oldest that has begun to send.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};

use crate::config::Capacity;

/// Evicted clients whose end is waited for, at most. Their descriptors are beyond the capacity, so that they keep nobody
/// out, and come from those that the process reserves for itself.
const MAX_GRACEFUL_CLOSES: usize = 8;

/// Clients without a session, and the number of those with one. Clones are handles to the same one.
#[derive(Clone)]
pub struct PendingClients {
    capacity: Capacity,
    state: Arc<Mutex<State>>,
    /// Whether clients may no longer name the server that held their connection before the start.
    restore_phase_over: Arc<AtomicBool>,
    graceful_closes: Arc<Semaphore>,
}

#[derive(Default)]
struct State {
    /// Whether new clients are evicted at once.
    closed: bool,
    /// Clients with a session.
    sessions: usize,
    /// Descriptors that another process of this balancer uses: the limit is for both.
    sibling_sockets: usize,
    last_arrival: u64,
    /// Clients that have not sent a byte, by arrival.
    silent: BTreeMap<u64, oneshot::Sender<()>>,
    /// Clients that have, by arrival.
    speaking: BTreeMap<u64, oneshot::Sender<()>>,
}

impl State {
    fn pending(&self) -> usize {
        self.silent.len() + self.speaking.len()
    }

    /// Evicts the oldest client, of those that have not sent a byte if there are any.
    fn evict_oldest(&mut self) {
        if let Some((_, oldest)) = self.silent.pop_first().or_else(|| self.speaking.pop_first()) {
            let _ = oldest.send(());
        }
    }
}

/// A client's slot. It is released when dropped.
pub struct PendingSlot {
    pending_clients: PendingClients,
    arrival: u64,
    evicted: oneshot::Receiver<()>,
}

/// The permit for one session. It is released when dropped.
pub struct SessionPermit {
    pending_clients: PendingClients,
}

/// A client that was added.
pub struct AddedClient {
    /// Its slot.
    pub slot: PendingSlot,
    /// Whether others were evicted for it.
    pub evicted_others: bool,
}

impl PendingClients {
    /// No clients yet, and at most as many as this capacity allows.
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

    /// A permit for a session, unless all are in use.
    pub fn try_acquire_session(&self) -> Option<SessionPermit> {
        let mut state = self.state();
        if state.sessions >= self.capacity.session_limit(state.sibling_sockets) {
            return None;
        }
        state.sessions += 1;
        drop(state);
        Some(SessionPermit { pending_clients: self.clone() })
    }

    /// A permit for a session of another process of this balancer. Its descriptors are counted there until that process
    /// reports again, so a permit is always available.
    pub fn adopt_session(&self) -> SessionPermit {
        let mut state = self.state();
        state.sessions += 1;
        state.sibling_sockets = state.sibling_sockets.saturating_sub(2);
        drop(state);
        SessionPermit { pending_clients: self.clone() }
    }

    /// Adds a client; others are evicted where there are too many.
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

    /// Evicts the oldest clients, where the system has no descriptor left whatever the limits say.
    pub fn evict_for_descriptors(&self) {
        let mut state = self.state();
        for _ in 0..MAX_GRACEFUL_CLOSES {
            state.evict_oldest();
        }
    }

    /// A permit to wait for the end of an evicted client, unless that is done for many already.
    pub fn try_acquire_graceful_close(&self) -> Option<OwnedSemaphorePermit> {
        self.graceful_closes.clone().try_acquire_owned().ok()
    }

    /// Evicts all clients, and those that are added from now on: this process ends.
    pub fn close(&self) {
        let mut state = self.state();
        state.closed = true;
        let silent = std::mem::take(&mut state.silent);
        let speaking = std::mem::take(&mut state.speaking);
        for client in silent.into_values().chain(speaking.into_values()) {
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
        let state = self.state();
        2 * state.sessions + state.pending()
    }

    /// Ends the time in which clients may name the server that held their connection before the start (`at=`). It ends
    /// with the first new connection: such a request goes past all decisions, so nobody may make one for ever.
    pub fn end_restore_phase(&self) {
        self.restore_phase_over.store(true, Ordering::Relaxed);
    }

    /// Whether that time has ended.
    pub fn restore_phase_is_over(&self) -> bool {
        self.restore_phase_over.load(Ordering::Relaxed)
    }
}

/// Tells that the client of a slot has begun to send.
pub struct ActivityNotifier {
    pending_clients: PendingClients,
    arrival: u64,
}

impl ActivityNotifier {
    /// The client has sent a byte: good clients may need seconds for their line, but all begin at once.
    pub fn mark_speaking(&self) {
        let mut state = self.pending_clients.state();
        if let Some(sender) = state.silent.remove(&self.arrival) {
            state.speaking.insert(self.arrival, sender);
        }
    }
}

impl PendingSlot {
    /// What tells that the slot's client has begun to send.
    pub fn activity_notifier(&self) -> ActivityNotifier {
        ActivityNotifier { pending_clients: self.pending_clients.clone(), arrival: self.arrival }
    }

    /// Waits until the client is evicted.
    pub async fn evicted(&mut self) {
        // The sender is only dropped with the slot.
        let _ = (&mut self.evicted).await;
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        let mut state = self.pending_clients.state();
        state.silent.remove(&self.arrival);
        state.speaking.remove(&self.arrival);
    }
}

impl Drop for SessionPermit {
    fn drop(&mut self) {
        self.pending_clients.state().sessions -= 1;
    }
}
