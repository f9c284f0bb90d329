//! Clients that have no session: those that have not said what they want, and those that wait for
//! the end after an error. They share what descriptors the sessions leave, and the one that has been
//! there longest without a byte makes room for the next, and only then one that has begun to speak.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};

use crate::config::Room;

/// Clients that were displaced and whose end is waited for, at most: their descriptors are beyond the room, so
/// that they keep nobody out, and come of those that the process keeps for itself.
const CLOSERS: usize = 8;

/// Clients without a session, and how many there are with one.
#[derive(Clone)]
pub struct Lobby {
    room: Room,
    inside: Arc<Mutex<Inside>>,
    begun: Arc<AtomicBool>,
    closers: Arc<Semaphore>,
}

#[derive(Default)]
struct Inside {
    /// Nobody is let in any more.
    closed: bool,
    /// Clients with a session.
    sessions: usize,
    /// Descriptors that another process of this balancer uses: the limit is for both.
    beside: usize,
    arrivals: u64,
    /// By arrival, those that have not sent a byte, and those that have.
    silent: BTreeMap<u64, oneshot::Sender<()>>,
    spoken: BTreeMap<u64, oneshot::Sender<()>>,
}

impl Inside {
    fn waiting(&self) -> usize {
        self.silent.len() + self.spoken.len()
    }

    /// Sends away the one that has been there longest, of those that have not sent a byte if there are any.
    fn make_room(&mut self) {
        if let Some((_, oldest)) = self.silent.pop_first().or_else(|| self.spoken.pop_first()) {
            let _ = oldest.send(());
        }
    }
}

/// A client's place. It is given back when dropped.
pub struct Place {
    lobby: Lobby,
    number: u64,
    displaced: oneshot::Receiver<()>,
}

/// A client's session. It is given back when dropped.
pub struct Permit {
    lobby: Lobby,
}

impl Lobby {
    /// An empty one.
    pub fn new(room: Room) -> Self {
        let closers = Arc::new(Semaphore::new(CLOSERS));
        Self { room, inside: Arc::default(), begun: Arc::default(), closers }
    }

    fn inside(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A permit for a session, unless all are taken.
    pub fn session(&self) -> Option<Permit> {
        let mut inside = self.inside();
        let free = inside.sessions < self.room.sessions(inside.beside);
        inside.sessions += usize::from(free);
        free.then(|| Permit { lobby: self.clone() })
    }

    /// A permit for a session that another process of this balancer had: its descriptors are counted there
    /// until it tells anew, so there is always room.
    pub fn adopt(&self) -> Permit {
        let mut inside = self.inside();
        inside.sessions += 1;
        inside.beside = inside.beside.saturating_sub(2);
        drop(inside);
        Permit { lobby: self.clone() }
    }

    /// Takes a client in, and whether others had to go for it.
    pub fn enter(&self) -> (Place, bool) {
        let (sender, displaced) = oneshot::channel();
        let mut inside = self.inside();
        let most = self.room.waiting(inside.sessions, inside.beside);
        let mut crowded = false;
        while inside.waiting() >= most {
            crowded = true;
            inside.make_room();
        }
        inside.arrivals += 1;
        let number = inside.arrivals;
        if inside.closed {
            let _ = sender.send(());
        } else {
            inside.silent.insert(number, sender);
        }
        drop(inside);
        (Place { lobby: self.clone(), number, displaced }, crowded)
    }

    /// The system has no descriptor left, whatever the limits say: those that have been there longest without
    /// having asked for anything make room.
    pub fn short(&self) {
        let mut inside = self.inside();
        for _ in 0..CLOSERS {
            inside.make_room();
        }
    }

    /// Leave to wait for the end of a client that was displaced, unless that is done for many already.
    pub fn closer(&self) -> Option<OwnedSemaphorePermit> {
        self.closers.clone().try_acquire_owned().ok()
    }

    /// Sends everyone away who has not asked yet, and whoever still comes: this process ends.
    pub fn close(&self) {
        let mut inside = self.inside();
        inside.closed = true;
        let Inside { silent, spoken, .. } = &mut *inside;
        for (_, client) in std::mem::take(silent).into_iter().chain(std::mem::take(spoken)) {
            let _ = client.send(());
        }
    }

    /// Whether it has been closed.
    pub fn is_closed(&self) -> bool {
        self.inside().closed
    }

    /// Another process of this balancer uses so many descriptors.
    pub fn beside(&self, sockets: usize) {
        self.inside().beside = sockets;
    }

    /// Descriptors that clients use.
    pub fn sockets(&self) -> usize {
        let inside = self.inside();
        2 * inside.sessions + inside.waiting()
    }

    /// A connection has come up that did not stand before: the run has begun, and with it the time
    /// of `at=` is over. It names a server past all decisions, so it must not stay open to anyone.
    pub fn begin(&self) {
        self.begun.store(true, Ordering::Relaxed);
    }

    /// Whether the run has begun.
    pub fn begun(&self) -> bool {
        self.begun.load(Ordering::Relaxed)
    }
}

/// Who is at a place, for the lobby to hear of.
pub struct Heard {
    lobby: Lobby,
    number: u64,
}

impl Heard {
    /// The client has sent a byte: some that mean well need seconds for their line, but all begin.
    pub fn spoke(&self) {
        let mut inside = self.lobby.inside();
        if let Some(sender) = inside.silent.remove(&self.number) {
            inside.spoken.insert(self.number, sender);
        }
    }
}

impl Place {
    /// Tells the lobby when the client is heard.
    pub fn heard(&self) -> Heard {
        Heard { lobby: self.lobby.clone(), number: self.number }
    }

    /// Waits until another client needs the place.
    pub async fn displaced(&mut self) {
        // The sender is only dropped with the place.
        let _ = (&mut self.displaced).await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut inside = self.lobby.inside();
        inside.silent.remove(&self.number);
        inside.spoken.remove(&self.number);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.lobby.inside().sessions -= 1;
    }
}
