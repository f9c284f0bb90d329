//! Restore requests for servers that are not on the endpoint list. The list with which a process starts may
//! be older than the connection that a client wants to restore, so that these requests wait until discovery
//! has confirmed the list.

use std::collections::BTreeMap;

use tokio::time::Instant;
use tracing::info;

use super::EventLoop;
use crate::decision::interface::{RequestId, Time};
use crate::engine::{Command, FinalAnswer};
use crate::net::messages::{ConnectionRequest, RESTORE_TIMEOUT};

/// Request to restore a connection with a server that is not on the list.
struct PendingRestore {
    request: ConnectionRequest,
    /// Name of the server.
    server: String,
    /// Time at which the request is answered if discovery has still not confirmed the list.
    expires_at: Instant,
}

/// Restore requests that wait until discovery has confirmed the list. Each has a session, so the limit on sessions
/// bounds their number.
#[derive(Default)]
pub(super) struct PendingRestores(BTreeMap<RequestId, PendingRestore>);

impl PendingRestores {
    pub(super) fn insert(&mut self, id: RequestId, request: ConnectionRequest, server: String) {
        if self.0.is_empty() {
            info!(
                "session: a client restores a connection with '{server}', which is not listed; waiting for discovery"
            );
        }
        let expires_at = Instant::now() + RESTORE_TIMEOUT;
        self.0.insert(id, PendingRestore { request, server, expires_at });
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        self.0.remove(&id);
    }

    /// Returns the time at which the next request expires; `None` if none is waiting.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        // All requests wait equally long, and ids are assigned in the order of arrival.
        self.0.values().next().map(|restore| restore.expires_at)
    }

    fn matching_ids(&self, condition: impl Fn(&PendingRestore) -> bool) -> Vec<RequestId> {
        self.0.iter().filter(|(_, restore)| condition(restore)).map(|(&id, _)| id).collect()
    }
}

impl EventLoop {
    /// Restores the connections whose servers are listed by now.
    pub(super) fn resume_restores(&mut self, now: Time) {
        let listed =
            self.pending_restores.matching_ids(|restore| self.find_listed(&restore.server).is_some());
        for id in listed {
            if let Some(PendingRestore { request, server, .. }) = self.pending_restores.0.remove(&id) {
                self.restore_connection(now, id, request, server);
            }
        }
    }

    /// Fails the requests whose servers were not listed in time.
    pub(super) fn expire_restores(&mut self) {
        let now = Instant::now();
        let expired = self.pending_restores.matching_ids(|restore| restore.expires_at <= now);
        self.answer_restores(expired, FinalAnswer::Failed);
    }

    /// Fails all requests, as discovery has confirmed the list and their servers are not on it.
    pub(super) fn fail_restores(&mut self) {
        let all = self.pending_restores.matching_ids(|_| true);
        self.answer_restores(all, FinalAnswer::Failed);
    }

    /// Rejects all requests, as the process exits. Nothing has been sent to a server for them.
    pub(super) fn reject_restores(&mut self) {
        let all = self.pending_restores.matching_ids(|_| true);
        self.answer_restores(all, FinalAnswer::Rejected(self.max_retry_after));
    }

    fn answer_restores(&mut self, ids: Vec<RequestId>, answer: FinalAnswer) {
        for id in ids {
            self.pending_restores.remove(id);
            self.commands.push(Command::Answer { id, answer });
        }
    }
}
