//! The JSON format in which discovery sends entries of the endpoint list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_inline_default::serde_inline_default;

use crate::decision::interface::ServerState;

/// One entry of the endpoint list.
// The `expecting` attributes retain the type names that published error texts contain.
#[serde_inline_default]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Entry")]
pub struct Endpoint {
    /// Name of the server.
    pub name: String,
    /// Address at which this gateway reaches the server.
    pub address: SocketAddr,
    /// Zone of the server.
    #[serde(default)]
    pub zone: String,
    /// Machine kind of the server.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Number of the server's cell.
    #[serde(default, rename = "group")]
    pub cell: u32,
    /// State of the server.
    pub status: EndpointStatus,
    /// Relative capacity of the server.
    #[serde_inline_default(1.0)]
    pub weight: f64,
    /// Time of the server's last start, in milliseconds of Unix time; 0 if the server started long ago.
    #[serde(default)]
    pub since_ms: f64,
}

/// State of a server on the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE", expecting = "enum Status")]
pub enum EndpointStatus {
    /// The server accepts new connections.
    Serving,
    /// The server accepts no new connections, and its established connections are migrated.
    Draining,
    /// The server was removed from the list.
    Deleted,
}

impl From<EndpointStatus> for ServerState {
    fn from(status: EndpointStatus) -> Self {
        match status {
            EndpointStatus::Serving => ServerState::Ready,
            EndpointStatus::Draining => ServerState::Draining,
            EndpointStatus::Deleted => ServerState::Removed,
        }
    }
}

/// An endpoint list update: the complete list, or changes to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "News")]
pub struct EndpointList {
    /// Version of the list.
    pub index: u64,
    /// Whether this update is the complete list.
    pub snapshot: bool,
    /// Entries of the complete list, or only the changed entries.
    pub endpoints: Vec<Endpoint>,
}

/// The JSON format of [`EndpointList`], under the type name that published error texts contain.
#[derive(Deserialize)]
struct News {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

impl From<News> for EndpointList {
    fn from(json: News) -> Self {
        Self { index: json.index, snapshot: json.snapshot, endpoints: json.endpoints }
    }
}

impl EndpointList {
    /// Checks whether this update can be applied to a list of this version. A snapshot always applies;
    /// changes apply unless their version is older. Older changes show that discovery has restarted its
    /// version numbers, so that earlier changes may have been missed.
    pub fn applies_to(&self, version: u64) -> bool {
        self.snapshot || self.index >= version
    }
}
