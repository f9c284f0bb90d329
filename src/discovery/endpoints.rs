//! Entries of the endpoint list, as discovery sends them in JSON.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_inline_default::serde_inline_default;

use crate::decision::interface::ServerState;

/// One entry of the list.
// `expecting` keeps the type names of published error texts.
#[serde_inline_default]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Entry")]
pub struct Endpoint {
    /// The server's name.
    pub name: String,
    /// The address at which this gateway reaches it.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its cell.
    #[serde(default, rename = "group")]
    pub cell: u32,
    /// Its state.
    pub status: EndpointStatus,
    /// Its size.
    #[serde_inline_default(1.0)]
    pub weight: f64,
    /// Its last start, in milliseconds of Unix time; 0 means long ago.
    #[serde(default)]
    pub since_ms: f64,
}

/// The state of a server on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE", expecting = "enum Status")]
pub enum EndpointStatus {
    /// It accepts new connections.
    Serving,
    /// It finishes the connections it has.
    Draining,
    /// It is off the list.
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

/// The complete list, or changes to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "News")]
pub struct EndpointList {
    /// Version of the list.
    pub index: u64,
    /// Whether this is the complete list.
    pub snapshot: bool,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}

/// The JSON form of [`EndpointList`], under the name that published error texts give it.
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
    /// Whether it can be applied to a list of this version: a snapshot always, changes unless they are older. A service
    /// that restarts counts its versions anew, and what it changed before these changes is unknown.
    pub fn applies_to(&self, version: u64) -> bool {
        self.snapshot || self.index >= version
    }
}
