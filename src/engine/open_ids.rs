//! The ids of requests that are open at this gateway, so that no two open requests have the same id, and of
//! those that have ended and may not be executed twice.
//!
//! During an upgrade the gateway consists of two processes. Each sends the changes of its ids to the other
//! one ([`OpenIds::follow`]), and claims no id that the other one has ([`OpenIds::apply_sibling_changes`]).

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use super::used_ids::UsedIds;
use crate::handover::{IdDigest, OpenIdChanges};

/// Maximum length of a digest in a message, in bytes, with its separator.
const ENCODED_DIGEST_LENGTH: usize = 21;

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
    /// Ids of ended requests, of this process and its siblings, that may not be opened again.
    used: UsedIds,
    /// Changes of `own` and `used` that each follower has not taken yet, by the follower's number.
    untaken: BTreeMap<u64, UntakenChanges>,
    last_follower: u64,
}

#[derive(Debug, Default)]
struct UntakenChanges {
    opened: BTreeSet<String>,
    closed: BTreeSet<String>,
    used: VecDeque<IdDigest>,
}

/// A claim of a request id, released on drop.
#[derive(Debug)]
pub struct RequestIdClaim {
    ids: OpenIds,
    id: String,
    is_used: bool,
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
        Some(RequestIdClaim { ids: self.clone(), id, is_used: false })
    }

    /// Checks whether a request with this id has ended that may have been executed, and may not be executed
    /// twice.
    pub fn was_used(&self, id: &[u8]) -> bool {
        let tables = self.tables();
        !tables.used.is_empty() && tables.used.contains(IdDigest::new(&String::from_utf8_lossy(id)))
    }

    fn release(&self, id: &str, is_used: bool) {
        let mut tables = self.tables();
        tables.own.remove(id);
        let used = is_used.then(|| IdDigest::new(id)).filter(|&digest| tables.used.insert(digest));
        for untaken in tables.untaken.values_mut() {
            untaken.used.extend(used);
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
        let used = tables.used.iter().collect();
        tables.untaken.insert(number, UntakenChanges { opened, closed: BTreeSet::new(), used });
        OpenIdFollower { ids: self.clone(), number, changed: self.changed.subscribe() }
    }

    /// Applies changes of the ids of the sibling process with this connection number.
    pub fn apply_sibling_changes(&self, sibling: u64, changes: &OpenIdChanges) {
        if changes.is_empty() {
            return;
        }
        let mut tables = self.tables();
        for &digest in &changes.used {
            tables.used.insert(digest);
        }
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
    fn is_empty(&self) -> bool {
        self.opened.is_empty() && self.closed.is_empty() && self.used.is_empty()
    }

    /// Takes digests until their encoded lengths exceed `length_left`, and reduces it.
    fn take_used(&mut self, length_left: &mut usize) -> Vec<IdDigest> {
        let count = (*length_left / ENCODED_DIGEST_LENGTH + 1).min(self.used.len());
        *length_left = length_left.saturating_sub(count * ENCODED_DIGEST_LENGTH);
        self.used.drain(..count).collect()
    }

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
        untaken.is_some_and(|untaken| !untaken.is_empty())
    }

    /// Takes changes with ids of about `max_length` bytes in total, which must not be zero. The result is empty
    /// only if there are no changes.
    pub fn take(&self, max_length: usize) -> OpenIdChanges {
        let mut tables = self.ids.tables();
        let Some(untaken) = tables.untaken.get_mut(&self.number) else { return OpenIdChanges::default() };
        let mut length_left = max_length;
        let opened = take_within(&mut untaken.opened, &mut length_left);
        // An id that was used is sent no later than its close, so that the sibling knows it all the time.
        let used = match length_left {
            0 => Vec::new(),
            _ => untaken.take_used(&mut length_left),
        };
        let closed = match length_left {
            0 => Vec::new(),
            _ => take_within(&mut untaken.closed, &mut length_left),
        };
        OpenIdChanges { opened, closed, used }
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

impl RequestIdClaim {
    /// Returns whether the id may not be opened again after its release.
    pub fn is_used(&self) -> bool {
        self.is_used
    }

    /// Sets whether the id may not be opened again after its release, because its request may have been
    /// executed.
    pub fn set_used(&mut self, is_used: bool) {
        self.is_used = is_used;
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        self.ids.release(&self.id, self.is_used);
    }
}
