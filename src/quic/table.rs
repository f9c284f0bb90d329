//! Which connection an id belongs to.

use std::collections::{HashMap, VecDeque};

use super::header::ConnectionId;
use crate::decision::interface::RequestId;

/// Ids that one connection may have in the table; a client that shows more loses its oldest.
const MAX_IDS_PER_CONNECTION: usize = 8;

/// What is known of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// It belongs to this connection.
    Connection(RequestId),
    /// Its final answer has been given: nothing more is said.
    Answered,
}

/// The table of ids, bounded on all sides.
pub struct ConnectionIdTable {
    routes: HashMap<ConnectionId, Route>,
    ids: HashMap<RequestId, VecDeque<ConnectionId>>,
    answered_ids: VecDeque<ConnectionId>,
    max_answered_ids: usize,
}

impl ConnectionIdTable {
    /// A table that remembers this many answered ids.
    pub fn new(most_answered: usize) -> Self {
        Self {
            routes: HashMap::new(),
            ids: HashMap::new(),
            answered_ids: VecDeque::new(),
            max_answered_ids: most_answered,
        }
    }

    /// What is known of an id.
    pub fn route(&self, id: &ConnectionId) -> Option<Route> {
        self.routes.get(id).copied()
    }

    /// The id belongs to this connection. An id that is taken stays with its first owner: nobody
    /// gets hold of a connection by naming it.
    pub fn insert(&mut self, id: ConnectionId, owner: RequestId) {
        if id.is_empty() || self.routes.contains_key(&id) {
            return;
        }
        self.routes.insert(id, Route::Connection(owner));
        let ids = self.ids.entry(owner).or_default();
        ids.push_back(id);
        if ids.len() > MAX_IDS_PER_CONNECTION {
            if let Some(oldest) = ids.pop_front() {
                self.routes.remove(&oldest);
            }
        }
    }

    /// The connection is over, and its ids are unknown again.
    pub fn remove_connection(&mut self, owner: RequestId) {
        for id in self.ids.remove(&owner).unwrap_or_default() {
            self.routes.remove(&id);
        }
    }

    /// The connection is over and has been told so: its ids get no further answer.
    pub fn close_connection(&mut self, owner: RequestId) {
        for id in self.ids.remove(&owner).unwrap_or_default() {
            self.routes.remove(&id);
            self.mark_answered(id);
        }
    }

    /// This id has been given its final answer.
    pub fn mark_answered(&mut self, id: ConnectionId) {
        if self.routes.insert(id, Route::Answered).is_none() {
            self.answered_ids.push_back(id);
        }
        if self.answered_ids.len() > self.max_answered_ids {
            if let Some(oldest) = self.answered_ids.pop_front() {
                self.routes.remove(&oldest);
            }
        }
    }

    /// How many ids the table holds.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
