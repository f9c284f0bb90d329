//! Table that maps connection ids to connections.

use std::collections::{HashMap, VecDeque};

use super::header::ConnectionId;
use crate::decision::interface::RequestId;

/// Largest number of ids of one connection in the table. Inserting another id removes the oldest.
const MAX_IDS_PER_CONNECTION: usize = 8;

/// Routing entry for datagrams with a connection id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The datagrams belong to this connection.
    Connection(RequestId),
    /// The datagrams are dropped, because the final answer for this id has been sent.
    Answered,
}

/// Table of the connection ids in use and of the most recent ids that have received their final answer.
pub struct ConnectionIdTable {
    routes: HashMap<ConnectionId, Route>,
    ids: HashMap<RequestId, VecDeque<ConnectionId>>,
    answered_ids: VecDeque<ConnectionId>,
    max_answered_ids: usize,
}

impl ConnectionIdTable {
    /// Creates an empty table that retains up to `max_answered_ids` answered ids.
    pub fn new(max_answered_ids: usize) -> Self {
        Self { routes: HashMap::new(), ids: HashMap::new(), answered_ids: VecDeque::new(), max_answered_ids }
    }

    /// Returns the route of an id; `None` if the id is unknown.
    pub fn route(&self, id: &ConnectionId) -> Option<Route> {
        self.routes.get(id).copied()
    }

    /// Adds an id of a connection. The route of an id that is already in the table does not change, so that a
    /// client cannot take over a connection by sending its id.
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

    /// Removes a connection. Its ids become unknown.
    pub fn remove_connection(&mut self, connection: RequestId) {
        for id in self.ids.remove(&connection).unwrap_or_default() {
            self.routes.remove(&id);
        }
    }

    /// Closes a connection whose client has received the final answer. Its ids are marked as answered, so
    /// that no further answer is sent.
    pub fn close_connection(&mut self, connection: RequestId) {
        for id in self.ids.remove(&connection).unwrap_or_default() {
            self.routes.remove(&id);
            self.mark_answered(id);
        }
    }

    /// Marks an id as answered. Above the table's limit the oldest answered id is removed.
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

    /// Returns the number of ids in the table.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Checks whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
