//! Cordon state of servers: a map whose copies in several processes can be merged in any order.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Alias that retains the name `Call` for [`CordonChange`] in serde's error messages.
type Call = CordonChange;

/// Cordon or uncordon of a server by an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(remote = "Call")]
pub struct CordonChange {
    /// Time of the change in microseconds of Unix time, which orders the changes of a server. It is later
    /// than the wall clock where the clock was stepped back since the preceding change.
    #[serde(rename = "at")]
    pub timestamp: u64,
    /// Whether the server is cordoned from this change on.
    #[serde(rename = "out")]
    pub cordoned: bool,
}

impl<'de> Deserialize<'de> for CordonChange {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Calls the inherent function that `serde(remote)` derives.
        Self::deserialize(deserializer)
    }
}

impl Serialize for CordonChange {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        Self::serialize(self, serializer)
    }
}

/// Change of a server's cordon state by a merge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CordonTransition {
    /// Name of the server.
    pub server: String,
    /// Whether the server is cordoned after the merge.
    pub cordoned: bool,
}

/// Last change of each server that an operator has cordoned or uncordoned.
///
/// Merging is commutative, associative and idempotent: the change with the latest timestamp wins. Of two
/// changes with the same timestamp, the cordon wins.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordons(BTreeMap<String, CordonChange>);

impl Cordons {
    /// Records a change that is made at `unix_micros`, the wall clock in microseconds of Unix time.
    ///
    /// The timestamp of the change exceeds that of every known change of the server, even where the clock was
    /// stepped back.
    pub fn record_now(&mut self, server: &str, unix_micros: u64, cordoned: bool) {
        let next_timestamp = self.0.get(server).map_or(0, |last| last.timestamp.saturating_add(1));
        let timestamp = unix_micros.max(next_timestamp);
        self.record(server, CordonChange { timestamp, cordoned });
    }

    /// Records a change and returns whether it cordons or uncordons the server.
    pub fn record(&mut self, server: &str, change: CordonChange) -> bool {
        let last = self.0.get(server).copied();
        if last.is_some_and(|last| last >= change) {
            return false;
        }
        self.0.insert(server.to_owned(), change);
        last.is_some_and(|last| last.cordoned) != change.cordoned
    }

    /// Merges the changes of another process and returns the servers that they cordon or uncordon.
    pub fn merge(&mut self, other: &Self) -> Vec<CordonTransition> {
        let mut transitions = Vec::new();
        for (server, change) in &other.0 {
            if self.record(server, *change) {
                transitions.push(CordonTransition { server: server.clone(), cordoned: change.cordoned });
            }
        }
        transitions
    }

    /// Checks whether a server is cordoned.
    pub fn is_cordoned(&self, server: &str) -> bool {
        self.0.get(server).is_some_and(|last| last.cordoned)
    }

    /// Returns the names of the cordoned servers.
    pub fn cordoned_servers(&self) -> impl Iterator<Item = &str> {
        self.0.iter().filter(|(_, last)| last.cordoned).map(|(server, _)| server.as_str())
    }
}
