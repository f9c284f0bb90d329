//! The ids of requests that are open at this gateway, so that none is used twice at a time.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;

/// The ids of requests and connections that are not over, for all clients of a gateway.
#[derive(Debug, Clone, Default)]
pub struct OpenIds(Arc<Mutex<HashSet<Bytes>>>);

/// A claim of an id, which is released when this is dropped.
#[derive(Debug)]
pub struct RequestIdClaim {
    ids: OpenIds,
    id: Bytes,
}

impl OpenIds {
    /// Claims an id; none if it is claimed already. To a server, a second request with an id is a copy of the first.
    pub fn claim(&self, id: &[u8]) -> Option<RequestIdClaim> {
        // Copied, so that the claim does not keep the whole line in memory.
        let id = Bytes::copy_from_slice(id);
        let is_free = self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        is_free.then(|| RequestIdClaim { ids: self.clone(), id })
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        self.ids.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}
