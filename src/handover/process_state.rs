//! State that a process publishes to its siblings, which are the other processes of the same gateway.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Cordons, Deployment, OpenIdChanges};

/// Connections, recovery tokens and permits of one server that a process uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, expecting = "struct Share")]
pub struct ServerUsage {
    /// Number of open connections to the server, attempts included.
    #[serde(rename = "open")]
    pub open_connections: u32,
    /// Recovery tokens that the process has left: the number of connections that it may still send to the
    /// server while the server recovers.
    #[serde(rename = "budget")]
    pub recovery_tokens: f64,
    /// Number of the last slow-start permit of this gateway for the server that the process has used.
    #[serde(rename = "spent")]
    pub last_used_permit: u64,
    /// Number of the last slow-start permit that the process has granted while its gateway was a
    /// grantor of the server.
    #[serde(rename = "granted")]
    pub last_granted_permit: u64,
}

/// State of a process as published to its siblings.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, expecting = "struct State")]
pub struct ProcessState {
    /// Deployment of the process; `None` if it runs an older version.
    #[serde(rename = "whose")]
    pub deployment: Option<Deployment>,
    /// Rank of the process among those of the gateway, as [`rank_after`] assigns it. The ready process of the
    /// highest rank is the successor of the others.
    #[serde(rename = "started")]
    pub rank: u64,
    /// Whether the process accepts clients.
    pub ready: bool,
    /// Whether the process adopts the established connections of a sibling that shuts down.
    #[serde(rename = "adopts")]
    pub adopts_connections: bool,
    /// Whether the restore phase is over, in which clients restore connections that they had before the
    /// start.
    #[serde(rename = "begun")]
    pub restore_phase_over: bool,
    /// Number of descriptors that the process uses or reserves.
    #[serde(rename = "sockets")]
    pub descriptors: usize,
    /// Usage of each server by the process, keyed by server name.
    #[serde(rename = "shares")]
    pub server_usage: BTreeMap<String, ServerUsage>,
    /// Cordons and uncordons by operators.
    pub cordons: Cordons,
    /// Changes of the open request ids since the previous state on the same connection. Older versions send
    /// and read none.
    #[serde(rename = "ids", skip_serializing_if = "OpenIdChanges::is_empty")]
    pub open_id_changes: Box<OpenIdChanges>,
}

/// Returns the rank of a process that starts at `unix_micros` while siblings have `existing_ranks`.
///
/// The rank is higher than all existing ranks, even if the wall clock was stepped back between two starts. In
/// that case the process id is part of the rank, so that two processes that start concurrently get different
/// ranks.
pub fn rank_after(unix_micros: u64, existing_ranks: impl Iterator<Item = u64>, process_id: u32) -> u64 {
    let rank_above = |highest: u64| highest.saturating_add(1).saturating_add(process_id.into());
    let minimum_rank = existing_ranks.max().map_or(0, rank_above);
    unix_micros.max(minimum_rank)
}

/// Aggregated state of all siblings of a process.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SiblingSummary {
    /// Whether a sibling of higher rank accepts clients.
    pub has_ready_successor: bool,
    /// Highest rank of a successor that adopts established connections; `None` if there is none.
    pub successor_rank: Option<u64>,
    /// Whether the restore phase is over for at least one sibling.
    pub restore_phase_over: bool,
    /// Total number of descriptors that the siblings use or reserve.
    pub descriptors: usize,
    /// Total usage of each server by the siblings, keyed by server name.
    pub server_usage: BTreeMap<String, ServerUsage>,
    /// Merged cordons and uncordons of all siblings.
    pub cordons: Cordons,
}

impl SiblingSummary {
    /// Aggregates the states of the siblings of the process with rank `own_rank`.
    pub fn aggregate<'a>(own_rank: u64, siblings: impl Iterator<Item = &'a ProcessState>) -> Self {
        let mut summary = Self::default();
        siblings.for_each(|sibling| summary.add(own_rank, sibling));
        summary
    }

    fn add(&mut self, own_rank: u64, sibling: &ProcessState) {
        if sibling.ready && sibling.rank > own_rank {
            self.has_ready_successor = true;
            if sibling.adopts_connections {
                self.successor_rank = self.successor_rank.max(Some(sibling.rank));
            }
        }
        self.restore_phase_over |= sibling.restore_phase_over;
        self.descriptors += sibling.descriptors;
        self.cordons.merge(&sibling.cordons);
        for (server, usage) in &sibling.server_usage {
            self.server_usage.entry(server.clone()).or_default().add(usage);
        }
    }
}

impl ServerUsage {
    /// Adds the usage of a sibling. Counts are summed. Of permit numbers the maximum applies, because a
    /// permit that one process has used or granted counts as used or granted in all processes.
    fn add(&mut self, sibling: &Self) {
        self.open_connections += sibling.open_connections;
        self.recovery_tokens += sibling.recovery_tokens;
        self.last_used_permit = self.last_used_permit.max(sibling.last_used_permit);
        self.last_granted_permit = self.last_granted_permit.max(sibling.last_granted_permit);
    }
}
