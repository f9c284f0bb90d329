//! Which servers hold connections of a group. Each server that holds some of a group pays for the whole group, so that
//! further ones are better sent there.

use std::collections::BTreeMap;

use super::interface::{GroupId, ServerId};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GroupOnServer {
    group: GroupId,
    server: ServerId,
}

/// A server and how many connections of a group it holds.
#[derive(Clone, Copy)]
pub(super) struct GroupShare {
    pub(super) server: ServerId,
    pub(super) connections: u32,
}

/// How many connections of each group this gateway holds on each server.
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

    /// The servers that hold connections of the group, in the order of their ids.
    pub(super) fn servers_of(&self, group: GroupId) -> impl Iterator<Item = GroupShare> {
        let first = GroupOnServer { group, server: ServerId(0) };
        let last = GroupOnServer { group, server: ServerId(u32::MAX) };
        let counts = self.counts.range(first..=last);
        counts.map(|(key, &connections)| GroupShare { server: key.server, connections })
    }
}
