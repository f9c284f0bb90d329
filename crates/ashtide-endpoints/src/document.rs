//! The document as it is written, and its schema.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A list of servers, or one team's part of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "ashtide server list")]
pub struct Document {
    /// The form of this document.
    #[schemars(range(min = 1, max = 1))]
    pub version: u32,
    /// A number that grows with each edition, where the publisher keeps one. A smaller one than the last is
    /// refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<u64>,
    /// SHA-256 over the servers, in hex: one line a server, sorted by name (see the page).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(regex(pattern = r"^[0-9a-f]{64}$"))]
    pub digest: Option<String>,
    /// The list may lose most of what the last one had.
    #[serde(default)]
    pub replace: bool,
    /// Where two files name one server, the higher counts.
    #[serde(default)]
    pub precedence: i32,
    /// Where servers may be.
    #[serde(default)]
    pub networks: Networks,
    /// The zones that there are; any, where none is named.
    #[serde(default)]
    #[schemars(length(max = 1000))]
    pub zones: Vec<String>,
    /// What an entry has that does not say otherwise.
    #[serde(default)]
    pub defaults: Defaults,
    /// The servers.
    #[schemars(length(max = 100_000))]
    pub servers: Vec<Entry>,
}

/// Networks, as `10.1.0.0/16` or `fd00::/8`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Networks {
    /// Servers are in one of these; anywhere, where none is named.
    #[schemars(length(max = 10_000))]
    pub allow: Vec<String>,
    /// And in none of these.
    #[schemars(length(max = 10_000))]
    pub deny: Vec<String>,
}

/// What an entry has that does not say otherwise.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Defaults {
    /// The zone.
    #[schemars(length(max = 128))]
    pub zone: Option<String>,
    /// The kind of machine.
    #[schemars(length(max = 128))]
    pub kind: Option<String>,
    /// The weight; 1 without it.
    #[schemars(range(min = 0, max = 1000))]
    pub weight: Option<f64>,
    /// The state; `serving` without it.
    pub state: Option<Status>,
}

/// One server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its name, the same for as long as it is the same machine.
    #[schemars(length(min = 1, max = 128), regex(pattern = r"^[!-~]+$"))]
    pub name: String,
    /// Where it listens: IP and port.
    #[schemars(length(max = 64))]
    pub address: String,
    /// Its zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(max = 128))]
    pub zone: Option<String>,
    /// Its kind of machine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(max = 128))]
    pub kind: Option<String>,
    /// One of weight 2 is to hold twice what one of weight 1 holds; weight 0 takes nothing new.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0, max = 1000))]
    pub weight: Option<f64>,
    /// Its last start in Unix time, in milliseconds; long ago without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since_ms: Option<u64>,
    /// What it is to do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<Status>,
}

/// What a server is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Takes new connections.
    #[default]
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Is listed and not used.
    Out,
}

impl Status {
    /// As it stands in files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Status::Serving => "serving",
            Status::Draining => "draining",
            Status::Out => "out",
        }
    }
}

/// The JSON Schema of [`Document`], as it is published and as files are checked by.
pub fn schema() -> Value {
    schemars::schema_for!(Document).to_value()
}
