//! Clients that have no session: those that have not said what they want, and those that wait for
//! the end after an error. They share what descriptors the sessions leave, and the one that has been
//! there longest makes room for the next: a client that means well speaks at once.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};

use crate::config::Room;

/// Clients without a session, and permits for those with one.
#[derive(Clone)]
pub struct Lobby {
    room: Room,
    sessions: Arc<Semaphore>,
    waiting: Arc<Mutex<BTreeMap<u64, oneshot::Sender<()>>>>,
    arrivals: Arc<AtomicU64>,
}

/// A client's place. It is given back when dropped.
pub struct Place {
    lobby: Lobby,
    number: u64,
    displaced: oneshot::Receiver<()>,
}

impl Lobby {
    /// An empty one.
    pub fn new(room: Room) -> Self {
        Self {
            room,
            sessions: Arc::new(Semaphore::new(room.sessions)),
            waiting: Arc::default(),
            arrivals: Arc::default(),
        }
    }

    /// A permit for a session, unless all are taken.
    pub fn session(&self) -> Option<OwnedSemaphorePermit> {
        self.sessions.clone().try_acquire_owned().ok()
    }

    /// Takes a client in, and whether others had to go for it.
    pub fn enter(&self) -> (Place, bool) {
        let (sender, displaced) = oneshot::channel();
        let number = self.arrivals.fetch_add(1, Ordering::Relaxed);
        let open = self.room.sessions - self.sessions.available_permits();
        let most = self.room.waiting(open);
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let mut crowded = false;
        while waiting.len() >= most {
            crowded = true;
            if let Some((_, oldest)) = waiting.pop_first() {
                let _ = oldest.send(());
            }
        }
        waiting.insert(number, sender);
        drop(waiting);
        (Place { lobby: self.clone(), number, displaced }, crowded)
    }
}

impl Place {
    /// Waits until another client needs the place.
    pub async fn displaced(&mut self) {
        // The sender is only dropped with the place.
        let _ = (&mut self.displaced).await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.lobby.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.number);
    }
}
