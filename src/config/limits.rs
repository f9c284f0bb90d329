//! Resource limits of the process, and the capacity for clients that results from them.

use serde::Deserialize;
use smart_default::SmartDefault;

/// Maximum number of connections to the admin endpoint.
pub const MAX_ADMIN_CONNECTIONS: usize = 12;
/// Number of descriptors that are reserved for the admin endpoint: its connections, its listener and its
/// runtime.
pub(super) const ADMIN_DESCRIPTORS: usize = MAX_ADMIN_CONNECTIONS + 4;
/// Number of descriptors that are reserved for purposes other than client and server connections: the
/// runtime, standard streams, listeners, discovery and health checks. They also cover sockets that are closed
/// shortly after they are no longer counted, such as those of evicted clients.
pub(super) const RESERVED_DESCRIPTORS: usize = 32;
/// Number of pending clients (without a session) for which descriptors are always available, if the limits
/// allow it.
const MIN_PENDING_CLIENTS: usize = 52;
/// Upper bound of the memory that a session uses, in bytes: the buffers of its two sockets, with a line in
/// each direction, and bookkeeping.
const BYTES_PER_SESSION: usize = 32 << 10;

/// Resource limits that the platform sets for the process.
#[derive(Debug, Clone, Deserialize, SmartDefault)]
#[serde(default, expecting = "struct Limits")]
pub struct ResourceLimits {
    /// Maximum memory in MiB.
    #[default = 256]
    pub memory_mb: usize,
    /// Maximum number of open descriptors.
    #[default = 1024]
    #[serde(rename = "sockets")]
    pub descriptors: usize,
}

impl ResourceLimits {
    /// Returns the capacity for clients within both limits, if `other_descriptors` are reserved for other
    /// purposes.
    pub fn capacity(&self, other_descriptors: usize) -> Capacity {
        let memory_bytes = self.memory_mb << 20;
        let descriptors_by_memory = 2 * (memory_bytes / 2 / BYTES_PER_SESSION).max(2);
        let descriptors = self
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS + other_descriptors)
            .min(descriptors_by_memory)
            .max(3);
        let max_sessions = (descriptors - min_pending_clients(descriptors)) / 2;
        Capacity { descriptors, max_sessions }
    }
}

/// Returns the number of `descriptors` that sessions may not use, so that pending clients can connect.
fn min_pending_clients(descriptors: usize) -> usize {
    MIN_PENDING_CLIENTS.min(descriptors / 3)
}

/// Capacity for clients, in descriptors and in sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Number of descriptors for clients and for the connections to their servers.
    pub descriptors: usize,
    /// Maximum number of clients with a session. A session uses two descriptors.
    pub max_sessions: usize,
}

impl Capacity {
    /// Returns the maximum number of sessions while siblings use `sibling_descriptors`.
    pub fn session_limit(&self, sibling_descriptors: usize) -> usize {
        let unavailable = sibling_descriptors + min_pending_clients(self.descriptors);
        self.max_sessions.min(self.descriptors.saturating_sub(unavailable) / 2)
    }

    /// Returns the maximum number of pending clients (without a session) while there are `sessions` clients
    /// with a session and siblings use `sibling_descriptors`.
    pub fn pending_limit(&self, sessions: usize, sibling_descriptors: usize) -> usize {
        self.descriptors.saturating_sub(2 * sessions + sibling_descriptors).max(1)
    }
}
