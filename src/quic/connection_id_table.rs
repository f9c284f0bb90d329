//! Table from connection ids to connections.

use std::collections::{HashMap, VecDeque};

use super::header::ConnectionId;
use crate::decision::interface::RequestId;

/// Ids of one connection in the table; with more of them, the oldest is removed.
const MAX_IDS_PER_CONNECTION: usize = 8;

/// Where datagrams with an id go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To this connection.
    Connection(RequestId),
    /// Nowhere: the final answer has been given.
    Answered,
}

/// The connection ids in use and those that were answered last.
pub struct ConnectionIdTable {
    routes: HashMap<ConnectionId, Route>,
    ids: HashMap<RequestId, VecDeque<ConnectionId>>,
    answered_ids: VecDeque<ConnectionId>,
    max_answered_ids: usize,
}

impl ConnectionIdTable {
    /// A table that remembers so many answered ids.
    pub fn new(max_answered_ids: usize) -> Self {
        Self { routes: HashMap::new(), ids: HashMap::new(), answered_ids: VecDeque::new(), max_answered_ids }
    }

    /// The route of an id; `None` where it is unknown.
    pub fn route(&self, id: &ConnectionId) -> Option<Route> {
        self.routes.get(id).copied()
    }

    /// Adds an id of a connection. An id in use stays with its connection: nobody can take a connection over by naming
    /// its id.
    pub fn insert(&mut self, id: ConnectionId, connection: RequestId) {
        if id.is_empty() || self.routes.contains_key(&id) {
            return;
        }
        self.routes.insert(id, Route::Connection(connection));
        let ids = self.ids.entry(connection).or_default();
        ids.push_back(id);
        if ids.len() > MAX_IDS_PER_CONNECTION
            && let Some(oldest) = ids.pop_front()
        {
            self.routes.remove(&oldest);
        }
    }

    /// Removes a connection: its ids are unknown again.
    pub fn remove_connection(&mut self, connection: RequestId) {
        for id in self.ids.remove(&connection).unwrap_or_default() {
            self.routes.remove(&id);
        }
    }

    /// Closes a connection that has had its final answer: its ids get no further one.
    pub fn close_connection(&mut self, connection: RequestId) {
        for id in self.ids.remove(&connection).unwrap_or_default() {
            self.routes.remove(&id);
            self.mark_answered(id);
        }
    }

    /// Marks an id that has had its final answer.
    pub fn mark_answered(&mut self, id: ConnectionId) {
        if self.routes.insert(id, Route::Answered).is_none() {
            self.answered_ids.push_back(id);
        }
        if self.answered_ids.len() > self.max_answered_ids
            && let Some(oldest) = self.answered_ids.pop_front()
        {
            self.routes.remove(&oldest);
        }
    }

    /// Number of ids in the table.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
