//! The ids of requests that are open at this gateway, so that no two open requests have the same id.
//!
//! During an upgrade the gateway consists of two processes. Each sends the changes of its ids to the other
//! one ([`OpenIds::follow`]), and claims no id that the other one has ([`OpenIds::apply_sibling_changes`]).

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::handover::OpenIdChanges;

/// The ids of open requests and connections of all clients of a gateway.
#[derive(Debug, Clone, Default)]
pub struct OpenIds {
    tables: Arc<Mutex<Tables>>,
    /// Notifies the followers of a change.
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Tables {
    /// Ids of this process.
    own: HashSet<String>,
    /// Ids of each sibling process, by the number of its connection.
    siblings: BTreeMap<u64, HashSet<String>>,
    /// Changes of `own` that each follower has not taken yet, by the follower's number.
    untaken: BTreeMap<u64, UntakenChanges>,
    last_follower: u64,
}

#[derive(Debug, Default)]
struct UntakenChanges {
    opened: BTreeSet<String>,
    closed: BTreeSet<String>,
}

/// A claim of a request id, released on drop.
#[derive(Debug)]
pub struct RequestIdClaim {
    ids: OpenIds,
    id: String,
}

/// Follows the changes of the ids of this process, beginning with all ids that are open.
#[derive(Debug)]
pub struct OpenIdFollower {
    ids: OpenIds,
    number: u64,
    changed: watch::Receiver<()>,
}

impl OpenIds {
    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claims an id; returns `None` if the id is already claimed, here or by a sibling process. A server
    /// treats a second request with the same id as a copy of the first.
    pub fn claim(&self, id: &[u8]) -> Option<RequestIdClaim> {
        let id = String::from_utf8_lossy(id).into_owned();
        let is_open_at_sibling = self.tables().siblings.values().any(|ids| ids.contains(&id));
        if is_open_at_sibling { None } else { self.claim_own(id) }
    }

    /// Claims the id of a connection that a sibling process hands off; returns `None` if a request of this
    /// process has claimed it.
    pub fn adopt(&self, id: &[u8]) -> Option<RequestIdClaim> {
        self.claim_own(String::from_utf8_lossy(id).into_owned())
    }

    fn claim_own(&self, id: String) -> Option<RequestIdClaim> {
        let mut tables = self.tables();
        if !tables.own.insert(id.clone()) {
            return None;
        }
        for untaken in tables.untaken.values_mut() {
            untaken.record_opened(&id);
        }
        drop(tables);
        self.changed.send_replace(());
        Some(RequestIdClaim { ids: self.clone(), id })
    }

    fn release(&self, id: &str) {
        let mut tables = self.tables();
        tables.own.remove(id);
        for untaken in tables.untaken.values_mut() {
            untaken.record_closed(id);
        }
        drop(tables);
        self.changed.send_replace(());
    }

    /// Returns a follower of the ids of this process.
    pub fn follow(&self) -> OpenIdFollower {
        let mut tables = self.tables();
        tables.last_follower += 1;
        let number = tables.last_follower;
        let opened = tables.own.iter().cloned().collect();
        tables.untaken.insert(number, UntakenChanges { opened, closed: BTreeSet::new() });
        OpenIdFollower { ids: self.clone(), number, changed: self.changed.subscribe() }
    }

    /// Applies changes of the ids of the sibling process with this connection number.
    pub fn apply_sibling_changes(&self, sibling: u64, changes: &OpenIdChanges) {
        if changes.is_empty() {
            return;
        }
        let mut tables = self.tables();
        let ids = tables.siblings.entry(sibling).or_default();
        ids.extend(changes.opened.iter().cloned());
        for id in &changes.closed {
            ids.remove(id);
        }
    }

    /// Forgets the ids of a sibling process.
    pub fn forget_sibling(&self, sibling: u64) {
        self.tables().siblings.remove(&sibling);
    }
}

impl UntakenChanges {
    fn record_opened(&mut self, id: &str) {
        if !self.closed.remove(id) {
            self.opened.insert(id.to_owned());
        }
    }

    fn record_closed(&mut self, id: &str) {
        if !self.opened.remove(id) {
            self.closed.insert(id.to_owned());
        }
    }
}

impl OpenIdFollower {
    /// Waits for a change since the last call.
    pub async fn changed(&mut self) {
        // The sender exists as long as the follower, which has a handle to the ids.
        let _ = self.changed.changed().await;
    }

    /// Checks whether changes have not been taken yet.
    pub fn has_untaken(&self) -> bool {
        let tables = self.ids.tables();
        let untaken = tables.untaken.get(&self.number);
        untaken.is_some_and(|untaken| !(untaken.opened.is_empty() && untaken.closed.is_empty()))
    }

    /// Takes changes with ids of `max_length` bytes in total, but at least one change if there is any.
    pub fn take(&self, max_length: usize) -> OpenIdChanges {
        let mut tables = self.ids.tables();
        let Some(untaken) = tables.untaken.get_mut(&self.number) else { return OpenIdChanges::default() };
        let mut length_left = max_length;
        let closed = take_within(&mut untaken.closed, &mut length_left);
        let opened = match length_left {
            0 => Vec::new(),
            _ => take_within(&mut untaken.opened, &mut length_left),
        };
        OpenIdChanges { opened, closed }
    }
}

/// Takes ids until their lengths exceed `length_left`, and reduces it.
fn take_within(ids: &mut BTreeSet<String>, length_left: &mut usize) -> Vec<String> {
    let mut taken = Vec::new();
    while let Some(id) = ids.pop_first() {
        *length_left = length_left.saturating_sub(id.len());
        taken.push(id);
        if *length_left == 0 {
            break;
        }
    }
    taken
}

impl Drop for OpenIdFollower {
    fn drop(&mut self) {
        self.ids.tables().untaken.remove(&self.number);
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        self.ids.release(&self.id);
    }
}
