//! The server list document as it is written in files, and its JSON Schema.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A server list, or one team's part of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "ashtide server list")]
pub struct Document {
    /// Version of the document format.
    #[schemars(range(min = 1, max = 1))]
    pub version: u32,
    /// Publisher's number of this edition, which increases with each one; optional. A list with a smaller
    /// number than the previous one is rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<u64>,
    /// SHA-256 of the servers, in hex; optional. It covers one line per server, in sorted order, each ended
    /// by a newline: name, address, zone, kind, weight, since_ms and state, separated by single spaces, with
    /// `-` for an empty zone or kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(regex(pattern = r"^[0-9a-f]{64}$"))]
    pub digest: Option<String>,
    /// Whether the list may drop most of the servers of the previous one.
    #[serde(default)]
    pub replace: bool,
    /// Precedence of this file: if two files name the same server, the entry with the higher value applies.
    #[serde(default)]
    pub precedence: i32,
    /// Networks in which servers may be.
    #[serde(default)]
    pub networks: Networks,
    /// Names of the zones that servers may be in; any zone is allowed if the list is empty.
    #[serde(default)]
    #[schemars(length(max = 1000))]
    pub zones: Vec<String>,
    /// Values for the fields that an entry omits.
    #[serde(default)]
    pub defaults: Defaults,
    /// Entries of the servers.
    #[schemars(length(max = 100_000))]
    pub servers: Vec<Entry>,
}

/// Networks in CIDR notation, such as `10.1.0.0/16` or `fd00::/8`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Networks {
    /// Networks that contain all servers; any address is allowed if the list is empty.
    #[schemars(length(max = 10_000))]
    pub allow: Vec<String>,
    /// Networks that contain no server.
    #[schemars(length(max = 10_000))]
    pub deny: Vec<String>,
}

/// Values for the fields that an entry omits.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Defaults {
    /// Zone of the server; empty if omitted.
    #[schemars(length(max = 128))]
    pub zone: Option<String>,
    /// Machine type of the server; empty if omitted.
    #[schemars(length(max = 128))]
    pub kind: Option<String>,
    /// Weight of the server; 1 if omitted.
    #[schemars(range(min = 0, max = 1000))]
    pub weight: Option<f64>,
    /// State of the server; `serving` if omitted.
    pub state: Option<Status>,
}

/// Entry of one server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the server, which is stable for as long as it is the same machine.
    #[schemars(length(min = 1, max = 128), regex(pattern = r"^[!-~]+$"))]
    pub name: String,
    /// IP address and port on which the server listens.
    #[schemars(length(max = 64))]
    pub address: String,
    /// Zone of the server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(max = 128))]
    pub zone: Option<String>,
    /// Machine type of the server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(max = 128))]
    pub kind: Option<String>,
    /// Target share of connections, relative to other servers: a server of weight 2 gets twice the
    /// connections of one of weight 1. A server of weight 0 gets no new connections.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0, max = 1000))]
    pub weight: Option<f64>,
    /// Unix time of the server's last start, in milliseconds; 0 (long ago) if omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since_ms: Option<u64>,
    /// Intended state of the server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<Status>,
}

/// Intended state of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// State of a server that gets new connections.
    #[default]
    Serving,
    /// State of a server that retains its established connections and gets no new ones.
    Draining,
    /// State of a server that is listed and not used.
    Out,
}

impl Status {
    /// Returns the name of the state as it is written in files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Status::Serving => "serving",
            Status::Draining => "draining",
            Status::Out => "out",
        }
    }
}

/// Returns the published JSON Schema of [`Document`], against which files are validated.
pub fn schema() -> Value {
    schemars::schema_for!(Document).to_value()
}
