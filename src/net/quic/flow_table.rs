//! Table of all flows and their paths.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::flow::{Flow, FlowState, Path};
use crate::decision::interface::RequestId;

/// Maximum number of client addresses of one connection that have a path at the same time.
const MAX_PATHS_PER_FLOW: usize = 4;
/// Time without a datagram from the client after which a path is closed, if the client uses another one.
const PATH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Key of a path: the client's address and the server's address.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct PathKey {
    client: SocketAddr,
    server: SocketAddr,
}

/// Established connection that has reached the idle timeout.
pub(super) struct IdleFlow {
    pub(super) id: RequestId,
    pub(super) attempt: u32,
}

/// Result of a request to open a path.
pub(super) enum PathAdmission {
    /// The path is open already.
    AlreadyOpen,
    /// The path may be opened.
    Allowed {
        /// Number of the attempt to which the path belongs.
        attempt: u32,
        /// Address of the server.
        server: SocketAddr,
    },
    /// Other connections use all paths.
    NoCapacity,
    /// The flow does not exist, or has no server or attempt.
    NoServer,
}

/// Flows of a front end, with at most `max_paths` open paths.
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

    pub(super) fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    pub(super) fn open_paths(&self) -> usize {
        self.open_paths
    }

    /// Returns whether a path can be opened without closing another one.
    pub(super) fn has_free_path(&self) -> bool {
        self.open_paths < self.max_paths
    }

    /// Returns whether a new connection can be accepted.
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

    /// Returns the path of a flow for an address of its client.
    pub(super) fn path_mut(&mut self, id: RequestId, client: SocketAddr) -> Option<&mut Path> {
        let flow = self.flows.get_mut(&id)?;
        flow.paths.iter_mut().find(|path| path.client == client)
    }

    /// Returns the flow that has a path between a client's address and a server.
    pub(super) fn flow_on_path(&self, client: SocketAddr, server: SocketAddr) -> Option<RequestId> {
        self.flows_by_path.get(&PathKey { client, server }).copied()
    }

    /// Checks whether a path for a client's address may be opened. Closes the flow's least recently used path
    /// if that is necessary.
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
            let closed = close_oldest_path(flow);
            self.open_paths -= 1;
            self.flows_by_path.remove(&PathKey { client: closed, server });
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

    /// Closes paths that their clients no longer use; returns the established connections that have reached
    /// `idle_timeout`.
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

/// Closes the least recently used path; returns its client address.
fn close_oldest_path(flow: &mut Flow) -> SocketAddr {
    let oldest = (0..flow.paths.len()).min_by_key(|&index| flow.paths[index].last_used_at);
    flow.paths.swap_remove(oldest.unwrap_or_default()).client
}

/// Closes the paths that the client no longer uses; returns their client addresses.
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
