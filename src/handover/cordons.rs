//! Servers that operators have cordoned, as a map that merges in any order.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Name of [`CordonChange`] in the texts of errors, which operators know.
type Call = CordonChange;

/// The last cordon or uncordon of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(remote = "Call")]
pub struct CordonChange {
    /// Orders the changes of a server: microseconds of Unix time, or more where the clock was stepped back.
    #[serde(rename = "at")]
    pub timestamp: u64,
    /// Whether the server is cordoned since.
    #[serde(rename = "out")]
    pub cordoned: bool,
}

impl<'de> Deserialize<'de> for CordonChange {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // The derived function.
        Self::deserialize(deserializer)
    }
}

impl Serialize for CordonChange {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        Self::serialize(self, serializer)
    }
}

/// A server whose state a merge has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CordonTransition {
    /// Name of the server.
    pub server: String,
    /// Whether it is cordoned now.
    pub cordoned: bool,
}

/// The last change of each server that an operator has cordoned or uncordoned.
///
/// A merge is commutative, associative and idempotent: the change with the latest timestamp wins.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordons(BTreeMap<String, CordonChange>);

impl Cordons {
    /// Records a change that is made now. Its timestamp exceeds those of all known changes of the server, even where
    /// the wall clock, in microseconds of Unix time, was stepped back.
    pub fn record_now(&mut self, server: &str, unix_micros: u64, cordoned: bool) {
        let next_timestamp = self.0.get(server).map_or(0, |last| last.timestamp.saturating_add(1));
        let timestamp = unix_micros.max(next_timestamp);
        self.record(server, CordonChange { timestamp, cordoned });
    }

    /// Records a change; returns whether the server is cordoned or uncordoned by it.
    pub fn record(&mut self, server: &str, change: CordonChange) -> bool {
        let last = self.0.get(server).copied();
        if last.is_some_and(|last| last >= change) {
            return false;
        }
        self.0.insert(server.to_owned(), change);
        last.is_some_and(|last| last.cordoned) != change.cordoned
    }

    /// Records all changes of another process; returns the servers that are cordoned or uncordoned by them.
    pub fn merge(&mut self, other: &Self) -> Vec<CordonTransition> {
        let mut transitions = Vec::new();
        for (server, change) in &other.0 {
            if self.record(server, *change) {
                transitions.push(CordonTransition { server: server.clone(), cordoned: change.cordoned });
            }
        }
        transitions
    }

    /// Whether a server is cordoned.
    pub fn is_cordoned(&self, server: &str) -> bool {
        self.0.get(server).is_some_and(|last| last.cordoned)
    }

    /// The names of the cordoned servers.
    pub fn cordoned_servers(&self) -> impl Iterator<Item = &str> {
        self.0.iter().filter(|(_, last)| last.cordoned).map(|(server, _)| server.as_str())
    }
}
