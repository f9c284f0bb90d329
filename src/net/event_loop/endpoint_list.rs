//! The endpoint list as it stands, and what follows from it: names, addresses and start times of servers.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use tokio::sync::watch;
use tracing::info;

use super::EventLoop;
use crate::decision::interface::*;
use crate::discovery::start_times::StartTimes;
use crate::discovery::{Endpoint, EndpointList, EndpointStatus, WatchEnd};
use crate::quic::load_balancing::server_id_for_name;
use crate::settings::NameTables;

/// Servers whose names are remembered; further new ones are ignored.
const MAX_KNOWN_SERVERS: usize = 4096;

/// The servers on the list, by name.
#[derive(Default)]
pub(super) struct ServerDirectory {
    pub(super) entries: BTreeMap<String, Endpoint>,
    /// The list's version.
    pub(super) index: u64,
    /// Whether discovery has told this process any of it.
    pub(super) updated_by_discovery: bool,
    pub(super) start_times: StartTimes,
    /// Addresses of all servers that were ever listed.
    addresses: HashMap<ServerId, SocketAddr>,
    published_addresses: watch::Sender<BTreeMap<String, SocketAddr>>,
}

impl ServerDirectory {
    /// The address of a server that was listed before.
    pub(super) fn address(&self, server: ServerId) -> SocketAddr {
        self.addresses[&server]
    }

    /// The listed servers and their addresses, as they change.
    pub(super) fn subscribe(&self) -> watch::Receiver<BTreeMap<String, SocketAddr>> {
        self.published_addresses.subscribe()
    }

    /// The complete list.
    fn snapshot(&self) -> EndpointList {
        EndpointList {
            index: self.index,
            snapshot: true,
            endpoints: self.entries.values().cloned().collect(),
        }
    }

    /// Takes a list or changes in; the entries as the engine takes them.
    fn apply(
        &mut self,
        now: Time,
        list: EndpointList,
        kind: ListUpdate,
        names: &mut NameTables,
    ) -> Vec<EndpointEntry> {
        self.index = list.index;
        // What a cached list says is not known to be new.
        let unlisted_until = match kind {
            ListUpdate::Cached => None,
            _ => self.start_times.earliest_new_start(now),
        };
        if kind != ListUpdate::Delta {
            self.entries.clear();
        }
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for endpoint in list.endpoints {
            entries.extend(self.apply_endpoint(now, endpoint, unlisted_until, names));
        }
        if kind != ListUpdate::Cached {
            self.start_times.record_update(now);
        }
        entries
    }

    /// Takes one endpoint in; nothing where too many servers are known.
    fn apply_endpoint(
        &mut self,
        now: Time,
        endpoint: Endpoint,
        unlisted_until: Option<Time>,
        names: &mut NameTables,
    ) -> Option<EndpointEntry> {
        let is_known = names.servers.find(&endpoint.name).is_some();
        if !is_known && names.servers.names().len() >= MAX_KNOWN_SERVERS {
            let name = &endpoint.name;
            info!("list: {MAX_KNOWN_SERVERS} servers are known already; ignoring new server '{name}'");
            return None;
        }
        let server = ServerId(names.servers.intern(&endpoint.name));
        let entry = EndpointEntry {
            server,
            hash_key: u32::from_be_bytes(server_id_for_name(&endpoint.name)),
            zone: ZoneId(names.zones.intern(&endpoint.zone)),
            machine_kind: KindId(names.kinds.intern(&endpoint.kind)),
            cell: CellId(endpoint.cell),
            state: endpoint.status.into(),
            weight: endpoint.weight,
            started_at: self.start_times.start_time(now, server, endpoint.since_ms, unlisted_until),
        };
        self.addresses.insert(server, endpoint.address);
        match endpoint.status {
            EndpointStatus::Deleted => _ = self.entries.remove(&endpoint.name),
            _ => _ = self.entries.insert(endpoint.name.clone(), endpoint),
        }
        Some(entry)
    }

    fn publish_addresses(&self) {
        self.published_addresses.send_if_modified(|published| {
            let current: BTreeMap<_, _> =
                self.entries.iter().map(|(name, endpoint)| (name.clone(), endpoint.address)).collect();
            let changed = *published != current;
            *published = current;
            changed
        });
    }
}

impl EventLoop {
    /// Takes in what discovery has told.
    pub(super) fn handle_list_update(&mut self, update: EndpointList) {
        self.endpoints.updated_by_discovery = true;
        let kind = if update.snapshot { ListUpdate::Snapshot } else { ListUpdate::Delta };
        self.apply_list(update, kind);
    }

    /// Takes in the list of another process. What discovery itself has told goes before it.
    pub(super) fn handle_sibling_list(&mut self, list: EndpointList) {
        if !self.endpoints.updated_by_discovery && list.index > self.endpoints.index {
            self.apply_list(list, ListUpdate::Cached);
        }
    }

    pub(super) fn apply_list(&mut self, list: EndpointList, kind: ListUpdate) {
        let now = self.now();
        let entries = self.endpoints.apply(now, list, kind, &mut self.names);
        self.endpoints.publish_addresses();
        self.engine.handle_list_update(now, kind, entries, &mut self.commands);
        if !self.endpoints.entries.is_empty() {
            self.health.mark_ready();
        }
        self.sibling_link.publish_list(self.endpoints.snapshot());
        self.update_gauges(now);
    }

    /// The watch is in step behind all list updates that came with it: the lease on the list is renewed.
    pub(super) fn handle_watch_synced(&mut self, now: Time) {
        self.endpoints.start_times.record_watch_synced(now);
        self.engine.renew_list_lease(now, &mut self.commands);
    }

    /// A watch has ended; the list was last in step at `last_synced_at`.
    pub(super) fn handle_watch_ended(
        &mut self,
        now: Time,
        last_synced_at: Time,
        end: WatchEnd,
        resubscribe: bool,
    ) {
        self.endpoints.start_times.record_watch_end(last_synced_at);
        self.engine.handle_watch_end(now, last_synced_at, end);
        if resubscribe {
            self.engine.handle_list_update(now, ListUpdate::WatchFailed, Vec::new(), &mut self.commands);
        }
    }
}
