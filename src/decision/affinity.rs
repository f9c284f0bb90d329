//! Affinity of groups to servers: the servers that have connections of each group.
//!
//! A server that has any connections of a group incurs the cost of the entire group. Therefore further
//! connections of the group are preferably sent to the same server.

use std::collections::BTreeMap;

use super::interface::{GroupId, ServerId};

/// Key of a connection count: a group and a server that has connections of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GroupOnServer {
    group: GroupId,
    server: ServerId,
}

/// Server, and the number of its connections that belong to a group.
#[derive(Clone, Copy)]
pub(super) struct GroupShare {
    pub(super) server: ServerId,
    pub(super) connections: u32,
}

/// Number of this gateway's connections by group and server.
#[derive(Default)]
pub(super) struct GroupConnections {
    counts: BTreeMap<GroupOnServer, u32>,
}

impl GroupConnections {
    pub(super) fn add(&mut self, group: GroupId, server: ServerId) {
        let count = self.counts.entry(GroupOnServer { group, server }).or_insert(0);
        *count = count.saturating_add(1);
    }

    pub(super) fn remove(&mut self, group: GroupId, server: ServerId) {
        let key = GroupOnServer { group, server };
        let Some(count) = self.counts.get_mut(&key) else { return };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&key);
        }
    }

    /// Returns the servers that have connections of the group, in the order of their ids.
    pub(super) fn servers_of(&self, group: GroupId) -> impl Iterator<Item = GroupShare> {
        let first = GroupOnServer { group, server: ServerId(0) };
        let last = GroupOnServer { group, server: ServerId(u32::MAX) };
        let counts = self.counts.range(first..=last);
        counts.map(|(key, &connections)| GroupShare { server: key.server, connections })
    }
}
