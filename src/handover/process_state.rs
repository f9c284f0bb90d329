//! State that a process publishes to its siblings, the other processes of the same gateway.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Cordons, Deployment};

/// What a process uses of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, expecting = "struct Share")]
pub struct ServerUsage {
    /// Open connections, attempts included.
    #[serde(rename = "open")]
    pub open_connections: u32,
    /// Connections that it may still send while the server recovers.
    #[serde(rename = "budget")]
    pub recovery_tokens: f64,
    /// The last of this gateway's slow-start permits at the server that it has used.
    #[serde(rename = "spent")]
    pub last_used_permit: u64,
    /// The last slow-start permit that it has granted as the server's grantor.
    #[serde(rename = "granted")]
    pub last_granted_permit: u64,
}

/// State of a process, as it publishes it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, expecting = "struct State")]
pub struct ProcessState {
    /// Deployment of the process; `None` for older versions.
    #[serde(rename = "whose")]
    pub deployment: Option<Deployment>,
    /// Rank among the processes of the gateway: the highest is the successor. See [`rank_after`].
    #[serde(rename = "started")]
    pub rank: u64,
    /// Whether it accepts clients.
    pub ready: bool,
    /// Whether it takes over the established connections of a process that shuts down.
    #[serde(rename = "adopts")]
    pub adopts_connections: bool,
    /// Whether clients no longer restore connections of before the start.
    #[serde(rename = "begun")]
    pub restore_phase_over: bool,
    /// Descriptors in use or reserved.
    #[serde(rename = "sockets")]
    pub descriptors: usize,
    /// Usage of each server, by its name.
    #[serde(rename = "shares")]
    pub server_usage: BTreeMap<String, ServerUsage>,
    /// Servers that operators have cordoned.
    pub cordons: Cordons,
}

/// The rank of a process that starts at `unix_micros` beside processes of these ranks.
///
/// It is higher than all of them, even where the wall clock was stepped back between two starts, and differs from that
/// of a process that starts at the same time.
pub fn rank_after(unix_micros: u64, existing_ranks: impl Iterator<Item = u64>, process_id: u32) -> u64 {
    let rank_above = |highest: u64| highest.saturating_add(1).saturating_add(process_id.into());
    let least_rank = existing_ranks.max().map_or(0, rank_above);
    unix_micros.max(least_rank)
}

/// Summary of all siblings of a process.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SiblingSummary {
    /// Whether a younger one accepts the clients.
    pub has_ready_successor: bool,
    /// Rank of the youngest of those that takes over established connections.
    pub successor_rank: Option<u64>,
    /// Whether the restore phase is over for one of them.
    pub restore_phase_over: bool,
    /// Descriptors that they use, in total.
    pub descriptors: usize,
    /// Usage of each server, in total, by its name.
    pub server_usage: BTreeMap<String, ServerUsage>,
    /// Servers that operators have cordoned at any of them.
    pub cordons: Cordons,
}

impl SiblingSummary {
    /// Aggregates the states of siblings, as seen by the process of `own_rank`.
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
    /// Adds what a sibling uses. A permit that any process has used or granted is used or granted for all.
    fn add(&mut self, sibling: &Self) {
        self.open_connections += sibling.open_connections;
        self.recovery_tokens += sibling.recovery_tokens;
        self.last_used_permit = self.last_used_permit.max(sibling.last_used_permit);
        self.last_granted_permit = self.last_granted_permit.max(sibling.last_granted_permit);
    }
}
