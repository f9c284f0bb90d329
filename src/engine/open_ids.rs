//! The ids of requests that are open at this gateway.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;

/// The ids of requests and connections that are not over, for all clients of a gateway.
#[derive(Debug, Clone, Default)]
pub struct OpenIds(Arc<Mutex<HashSet<Bytes>>>);

/// Holds an id; gives it back when dropped.
#[derive(Debug)]
pub struct RequestIdClaim {
    ids: OpenIds,
    id: Bytes,
}

impl OpenIds {
    /// Takes an id that no one else holds. A second bearer would be a second copy of the first's
    /// request at a server, so it gets none.
    pub fn claim(&self, id: &[u8]) -> Option<RequestIdClaim> {
        // A copy, so that it does not keep the whole line in memory.
        let id = Bytes::copy_from_slice(id);
        let new = self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        new.then(|| RequestIdClaim { ids: self.clone(), id })
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        self.ids.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}
