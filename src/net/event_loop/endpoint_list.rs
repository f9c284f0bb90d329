//! The current endpoint list, and the names, addresses and start times of servers that are derived from it.

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

/// Maximum number of stored server names. Further new servers are ignored.
const MAX_KNOWN_SERVERS: usize = 4096;

/// The servers on the list, by name.
#[derive(Default)]
pub(super) struct ServerDirectory {
    pub(super) entries: BTreeMap<String, Endpoint>,
    /// The version of the list.
    pub(super) index: u64,
    /// Whether this process has received a list update from discovery.
    pub(super) updated_by_discovery: bool,
    pub(super) start_times: StartTimes,
    /// Addresses of all servers that have ever been listed, also of deleted ones.
    addresses: HashMap<ServerId, SocketAddr>,
    published_addresses: watch::Sender<BTreeMap<String, SocketAddr>>,
    /// Whether discovery has confirmed the list to this process.
    confirmed: watch::Sender<bool>,
}

impl ServerDirectory {
    /// Returns the address of a server that is or was listed.
    pub(super) fn address(&self, server: ServerId) -> SocketAddr {
        self.addresses[&server]
    }

    /// Checks whether a server is or was listed. The name of a server may be known from a cordon alone.
    pub(super) fn was_listed(&self, server: ServerId) -> bool {
        self.addresses.contains_key(&server)
    }

    /// Returns a receiver of the listed servers' addresses by name, updated with each change.
    pub(super) fn subscribe(&self) -> watch::Receiver<BTreeMap<String, SocketAddr>> {
        self.published_addresses.subscribe()
    }

    /// Returns a receiver that becomes true when discovery has confirmed the list to this process. Before, the
    /// list may lack servers that clients are connected with.
    pub(super) fn subscribe_to_confirmation(&self) -> watch::Receiver<bool> {
        self.confirmed.subscribe()
    }

    /// Checks whether discovery has confirmed the list to this process.
    pub(super) fn is_confirmed(&self) -> bool {
        *self.confirmed.borrow()
    }

    /// Returns the complete list.
    fn snapshot(&self) -> EndpointList {
        EndpointList {
            index: self.index,
            snapshot: true,
            endpoints: self.entries.values().cloned().collect(),
        }
    }

    /// Applies a snapshot or a delta, and returns its entries in the engine's form.
    fn apply(
        &mut self,
        now: Time,
        list: EndpointList,
        kind: ListUpdate,
        names: &mut NameTables,
    ) -> Vec<EndpointEntry> {
        self.index = list.index;
        // A server that is first seen in a cached list is not necessarily new.
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

    /// Applies one endpoint. Returns `None` for a new server beyond [`MAX_KNOWN_SERVERS`].
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
            info!("list: limit of {MAX_KNOWN_SERVERS} known servers reached; ignoring new server '{name}'");
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
    /// Applies a list update from discovery.
    pub(super) fn handle_list_update(&mut self, update: EndpointList) {
        self.endpoints.updated_by_discovery = true;
        let kind = if update.snapshot { ListUpdate::Snapshot } else { ListUpdate::Delta };
        self.apply_list(update, kind);
    }

    /// Applies the list of a sibling process if it is newer. It is ignored once discovery has sent a list
    /// update to this process.
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
        self.resume_restores(now);
        if !self.endpoints.entries.is_empty() {
            self.health.mark_ready();
        }
        self.sibling_link.publish_list(self.endpoints.snapshot());
        self.update_gauges(now);
    }

    /// Renews the lease on the list, as the watch has delivered all list updates so far.
    pub(super) fn handle_watch_synced(&mut self, now: Time) {
        self.endpoints.start_times.record_watch_synced(now);
        self.endpoints.confirmed.send_replace(true);
        self.fail_restores();
        self.engine.renew_list_lease(now, &mut self.commands);
    }

    /// Handles the end of a watch; the list was last known to be current at `last_synced_at`.
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
