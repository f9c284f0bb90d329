//! Limits on resources, and the capacity for clients that follows from them.

use serde::Deserialize;
use smart_default::SmartDefault;

/// Connections to the admin endpoint at most.
pub const MAX_ADMIN_CONNECTIONS: usize = 12;
/// Descriptors of the admin endpoint: its connections, its listener and its runtime.
pub(super) const ADMIN_DESCRIPTORS: usize = MAX_ADMIN_CONNECTIONS + 4;
/// Descriptors for what is neither a client nor its server: the runtime and standard streams, listeners, discovery, health
/// checks, and sockets that are closed a moment after they stop counting, as those of evicted clients.
pub(super) const RESERVED_DESCRIPTORS: usize = 32;
/// Clients without a session that can always connect.
const MIN_PENDING_CLIENTS: usize = 52;
/// Memory that the two sockets of a session may use at most: a line each way and the bookkeeping.
const BYTES_PER_SESSION: usize = 32 << 10;

/// Limits that the platform sets.
#[derive(Debug, Clone, Deserialize, SmartDefault)]
#[serde(default, expecting = "struct Limits")]
pub struct ResourceLimits {
    /// Memory in megabytes.
    #[default = 256]
    pub memory_mb: usize,
    /// Open descriptors.
    #[default = 1024]
    #[serde(rename = "sockets")]
    pub descriptors: usize,
}

impl ResourceLimits {
    /// The capacity for clients beside `other_descriptors`, within the memory.
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

/// Descriptors that are kept free of sessions.
fn min_pending_clients(descriptors: usize) -> usize {
    MIN_PENDING_CLIENTS.min(descriptors / 3)
}

/// Capacity for clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Descriptors of clients and of the connections to their servers.
    pub descriptors: usize,
    /// Clients with a session, which has two descriptors.
    pub max_sessions: usize,
}

impl Capacity {
    /// Clients that may have a session while a sibling uses `sibling_descriptors`.
    pub fn session_limit(&self, sibling_descriptors: usize) -> usize {
        let unavailable = sibling_descriptors + min_pending_clients(self.descriptors);
        self.max_sessions.min(self.descriptors.saturating_sub(unavailable) / 2)
    }

    /// Clients that may be without a session while so many have one and a sibling uses `sibling_descriptors`.
    pub fn pending_limit(&self, sessions: usize, sibling_descriptors: usize) -> usize {
        self.descriptors.saturating_sub(2 * sessions + sibling_descriptors).max(1)
    }
}
