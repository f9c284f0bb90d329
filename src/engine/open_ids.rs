//! The ids of requests that are open at this gateway, so that no two open requests have the same id.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;

/// The ids of open requests and connections of all clients of a gateway.
#[derive(Debug, Clone, Default)]
pub struct OpenIds(Arc<Mutex<HashSet<Bytes>>>);

/// A claim of a request id, released on drop.
#[derive(Debug)]
pub struct RequestIdClaim {
    ids: OpenIds,
    id: Bytes,
}

impl OpenIds {
    /// Claims an id; returns `None` if the id is already claimed. A server treats a second request with the
    /// same id as a copy of the first.
    pub fn claim(&self, id: &[u8]) -> Option<RequestIdClaim> {
        // The copy prevents the claim from retaining the entire line in memory.
        let id = Bytes::copy_from_slice(id);
        let is_unclaimed = self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        is_unclaimed.then(|| RequestIdClaim { ids: self.clone(), id })
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        self.ids.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}
