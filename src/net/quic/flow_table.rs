//! All flows, with their paths.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::flow::{Flow, FlowState, Path};
use crate::decision::interface::RequestId;

/// Addresses that a connection may be seen under at once.
const MAX_PATHS_PER_FLOW: usize = 4;
/// A path on which its client has sent nothing for this time is closed once another one is in use.
const PATH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A client's address and a server's address.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct PathKey {
    client: SocketAddr,
    server: SocketAddr,
}

/// An established connection that is idle.
pub(super) struct IdleFlow {
    pub(super) id: RequestId,
    pub(super) attempt: u32,
}

/// Whether a path can be opened.
pub(super) enum PathAdmission {
    /// The path is open already.
    AlreadyOpen,
    /// A path may be opened, in this attempt and to this server.
    Allowed {
        /// The attempt.
        attempt: u32,
        /// The server.
        server: SocketAddr,
    },
    /// All paths are in use by other connections.
    NoCapacity,
    /// The flow has no server.
    NoServer,
}

/// The flows of a front end, with at most `max_paths` open paths.
pub(super) struct FlowTable {
    flows: HashMap<RequestId, Flow>,
    flows_by_path: HashMap<PathKey, RequestId>,
    open_paths: usize,
    max_paths: usize,
}

impl FlowTable {
    pub(super) fn new(max_paths: usize) -> Self {
        Self { flows: HashMap::new(), flows_by_path: HashMap::new(), open_paths: 0, max_paths }
    }

    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(super) fn open_paths(&self) -> usize {
        self.open_paths
    }

    /// Whether one more path can be opened without closing another one.
    pub(super) fn has_free_path(&self) -> bool {
        self.open_paths < self.max_paths
    }

    /// Whether a new connection can be accepted.
    pub(super) fn has_capacity(&self) -> bool {
        self.has_free_path() && self.flows.len() < self.max_paths
    }

    pub(super) fn insert(&mut self, id: RequestId, flow: Flow) {
        self.flows.insert(id, flow);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&Flow> {
        self.flows.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Flow> {
        self.flows.get_mut(&id)
    }

    /// The path of a flow for an address of its client.
    pub(super) fn path_mut(&mut self, id: RequestId, client: SocketAddr) -> Option<&mut Path> {
        let flow = self.flows.get_mut(&id)?;
        flow.paths.iter_mut().find(|path| path.client == client)
    }

    /// The flow of a client's address at a server.
    pub(super) fn flow_on_path(&self, client: SocketAddr, server: SocketAddr) -> Option<RequestId> {
        self.flows_by_path.get(&PathKey { client, server }).copied()
    }

    /// Checks whether a path for a client's address may be opened, and makes room for it among the flow's own paths.
    pub(super) fn admit_path(&mut self, id: RequestId, client: SocketAddr) -> PathAdmission {
        let is_full = !self.has_free_path();
        let Some(flow) = self.flows.get_mut(&id) else { return PathAdmission::NoServer };
        let Some(server) = flow.server else { return PathAdmission::NoServer };
        let Some(attempt) = flow.attempt() else { return PathAdmission::NoServer };
        if flow.paths.iter().any(|path| path.client == client) {
            return PathAdmission::AlreadyOpen;
        }
        if is_full && flow.paths.is_empty() {
            return PathAdmission::NoCapacity;
        }
        if is_full || flow.paths.len() >= MAX_PATHS_PER_FLOW {
            let oldest = close_oldest_path(flow);
            self.open_paths -= 1;
            self.flows_by_path.remove(&PathKey { client: oldest, server });
        }
        PathAdmission::Allowed { attempt, server }
    }

    /// Adds an open path.
    pub(super) fn add_path(&mut self, id: RequestId, path: Path, server: SocketAddr) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        self.flows_by_path.insert(PathKey { client: path.client, server }, id);
        self.open_paths += 1;
        flow.paths.push(path);
    }

    /// Closes all paths of a flow.
    pub(super) fn close_paths(&mut self, id: RequestId) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        for path in flow.paths.drain(..) {
            self.open_paths -= 1;
            if let Some(server) = flow.server {
                self.flows_by_path.remove(&PathKey { client: path.client, server });
            }
        }
    }

    /// Removes a flow and closes its paths.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<Flow> {
        self.close_paths(id);
        self.flows.remove(&id)
    }

    /// Closes paths that their clients no longer use; returns the established connections that are idle.
    pub(super) fn sweep(&mut self, now: Instant, idle_timeout: Duration) -> Vec<IdleFlow> {
        let mut idle_flows = Vec::new();
        for (&id, flow) in &mut self.flows {
            if let FlowState::Established(attempt) = flow.state
                && now.duration_since(flow.last_activity_at) >= idle_timeout
            {
                idle_flows.push(IdleFlow { id, attempt });
            }
            let Some(server) = flow.server else { continue };
            for client in close_unused_paths(flow, now) {
                self.open_paths -= 1;
                self.flows_by_path.remove(&PathKey { client, server });
            }
        }
        idle_flows
    }
}

/// Closes the path that was used least recently; returns its client's address.
fn close_oldest_path(flow: &mut Flow) -> SocketAddr {
    let oldest = (0..flow.paths.len()).min_by_key(|&index| flow.paths[index].last_used_at);
    flow.paths.swap_remove(oldest.unwrap_or_default()).client
}

/// Closes the paths that the client has left; returns its addresses there.
fn close_unused_paths(flow: &mut Flow, now: Instant) -> Vec<SocketAddr> {
    let mut closed = Vec::new();
    let current = flow.client;
    flow.paths.retain(|path| {
        let is_used = path.client == current || now.duration_since(path.last_used_at) < PATH_IDLE_TIMEOUT;
        if !is_used {
            closed.push(path.client);
        }
        is_used
    });
    closed
}
