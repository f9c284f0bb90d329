//! The endpoint list as this gateway uses it: the entries of discovery, overridden by cordons, by ejections of the
//! quorum and by an expired lease.

use std::collections::{BTreeMap, BTreeSet};

use super::Engine;
use super::command::Command;
use super::drain::{DRAINING_MIGRATION_SPAN, REMOVED_MIGRATION_SPAN};
use super::response_times::ResponseTimes;
use crate::decision::interface::{
    EndpointEntry, Event, ListUpdate, RequestId, ServerId, ServerState, Span, Time,
};

/// What the engine keeps of a server, listed or not.
#[derive(Default)]
pub(super) struct ServerRecord {
    /// By the list and by cordons.
    pub(super) state: ServerState,
    pub(super) response_times: ResponseTimes,
}

/// The endpoint list, and what overrides it.
#[derive(Default)]
pub(super) struct ListOverrides {
    entries: BTreeMap<ServerId, EndpointEntry>,
    cordoned: BTreeSet<ServerId>,
    ejected_by_quorum: BTreeSet<ServerId>,
    is_expired: bool,
}

/// An entry that is drained if it is ready and `drains` holds.
fn with_drain_if(drains: bool, entry: EndpointEntry) -> EndpointEntry {
    let drains = drains && entry.state == ServerState::Ready;
    let state = if drains { ServerState::Draining } else { entry.state };
    EndpointEntry { state, ..entry }
}

impl ListOverrides {
    pub(super) fn hash_key(&self, server: ServerId) -> Option<u32> {
        self.entries.get(&server).map(|entry| entry.hash_key)
    }

    /// Whether the lease of the list has ended.
    pub(super) fn is_expired(&self) -> bool {
        self.is_expired
    }

    pub(super) fn set_expired(&mut self, is_expired: bool) {
        self.is_expired = is_expired;
    }

    /// An entry of the list with cordons applied.
    fn effective_entry(&self, entry: &EndpointEntry) -> EndpointEntry {
        with_drain_if(self.cordoned.contains(&entry.server), entry.clone())
    }

    /// An effective entry as the decision module sees it: for it alone, all servers drain while the list is expired, and
    /// ejected ones drain always.
    fn as_decision_sees_it(&self, entry: EndpointEntry) -> EndpointEntry {
        with_drain_if(self.is_expired || self.ejected_by_quorum.contains(&entry.server), entry)
    }

    /// All entries as the decision module sees them.
    pub(super) fn decision_entries(&self) -> Vec<EndpointEntry> {
        let entries = self.entries.values();
        entries.map(|entry| self.as_decision_sees_it(self.effective_entry(entry))).collect()
    }

    /// Ready servers whose start is known: hash key and start.
    fn started_servers(&self) -> impl Iterator<Item = (u32, Time)> {
        let ready = self.entries.values().filter(|entry| entry.state == ServerState::Ready);
        ready.filter_map(|entry| Some((entry.hash_key, entry.started_at?)))
    }

    /// Stores an update, and returns its entries with cordons applied.
    fn store(&mut self, update: ListUpdate, entries: Vec<EndpointEntry>) -> Vec<EndpointEntry> {
        if is_complete(update) {
            self.entries.values_mut().for_each(|entry| entry.state = ServerState::Removed);
        }
        let mut effective = Vec::with_capacity(entries.len());
        for entry in entries {
            effective.push(self.effective_entry(&entry));
            self.entries.insert(entry.server, entry);
        }
        effective
    }

    fn set_cordoned(&mut self, server: ServerId, is_cordoned: bool) -> bool {
        if is_cordoned { self.cordoned.insert(server) } else { self.cordoned.remove(&server) }
    }

    /// Replaces the ejected servers, and returns those that were or are ejected, but not both.
    fn replace_ejected(&mut self, hash_keys: &BTreeSet<u32>) -> Vec<ServerId> {
        let matching = self.entries.values().filter(|entry| hash_keys.contains(&entry.hash_key));
        let ejected: BTreeSet<ServerId> = matching.map(|entry| entry.server).collect();
        let before = std::mem::replace(&mut self.ejected_by_quorum, ejected);
        self.ejected_by_quorum.symmetric_difference(&before).copied().collect()
    }
}

/// Whether an update replaces all entries.
const fn is_complete(update: ListUpdate) -> bool {
    matches!(update, ListUpdate::Snapshot | ListUpdate::Cached)
}

impl Engine {
    /// Handles an update of the endpoint list.
    pub fn handle_list_update(
        &mut self,
        now: Time,
        update: ListUpdate,
        entries: Vec<EndpointEntry>,
        commands: &mut Vec<Command>,
    ) {
        let effective = self.endpoints.store(update, entries);
        self.apply_list_update(now, update, effective, commands);
    }

    /// How many listed servers get nothing new for now, by their state or by decision.
    pub fn avoided_server_count(&self, now: Time) -> usize {
        let avoided = self.servers.iter().filter(|(server, record)| match record.state {
            ServerState::Ready => self.balancer.is_avoided(now, **server),
            ServerState::Draining => true,
            ServerState::Removed => false,
        });
        avoided.count()
    }

    /// Whether a server is ready by the list and not cordoned.
    pub fn is_ready(&self, server: ServerId) -> bool {
        let entry = self.endpoints.entries.get(&server);
        entry.is_some_and(|entry| self.endpoints.effective_entry(entry).state == ServerState::Ready)
    }

    /// Sets the servers, by hash key, that the gateways have ejected together. They get nothing new; established
    /// connections stay.
    pub fn set_quorum_ejections(
        &mut self,
        now: Time,
        hash_keys: &BTreeSet<u32>,
        commands: &mut Vec<Command>,
    ) {
        if hash_keys.is_empty() && self.endpoints.ejected_by_quorum.is_empty() {
            return;
        }
        let changed = self.endpoints.replace_ejected(hash_keys);
        // An expired list drains as it is, and is used again with these servers ejected.
        if changed.is_empty() || self.endpoints.is_expired {
            return;
        }
        let changed = changed.iter().filter_map(|server| self.endpoints.entries.get(server));
        let entries = changed.map(|entry| {
            let effective = self.endpoints.effective_entry(entry);
            self.endpoints.as_decision_sees_it(effective)
        });
        let entries = entries.collect();
        self.handle_event(now, Event::EndpointList { update: ListUpdate::Delta, entries }, commands);
    }

    /// Cordons a server, or lifts its cordon. A cordoned server drains, whatever the list says.
    pub fn set_cordon(
        &mut self,
        now: Time,
        server: ServerId,
        is_cordoned: bool,
        commands: &mut Vec<Command>,
    ) {
        let changed = self.endpoints.set_cordoned(server, is_cordoned);
        let entry = self.endpoints.entries.get(&server).filter(|_| changed);
        let Some(entry) = entry.filter(|entry| entry.state == ServerState::Ready).cloned() else { return };
        // While the list is expired, a server that is uncordoned is used again with the others.
        if self.endpoints.is_expired && !is_cordoned {
            return;
        }
        let entry = with_drain_if(is_cordoned, entry);
        self.apply_list_update(now, ListUpdate::Delta, vec![entry], commands);
        if !is_cordoned {
            self.handle_event(now, Event::Uncordoned { server }, commands);
        }
    }

    /// Applies effective entries: to the checks, the permits, the decision module, and to established connections.
    fn apply_list_update(
        &mut self,
        now: Time,
        update: ListUpdate,
        entries: Vec<EndpointEntry>,
        commands: &mut Vec<Command>,
    ) {
        let states_before = self.server_states();
        self.record_server_states(now, update, &entries, &states_before);
        if update != ListUpdate::WatchFailed {
            self.update_permits(&entries);
        }
        let entries = entries.into_iter().map(|entry| self.endpoints.as_decision_sees_it(entry)).collect();
        self.handle_event(now, Event::EndpointList { update, entries }, commands);
        self.migrate_from_unready_servers(now, &states_before);
    }

    fn server_states(&self) -> BTreeMap<ServerId, ServerState> {
        self.servers.iter().map(|(&server, record)| (server, record.state)).collect()
    }

    fn record_server_states(
        &mut self,
        now: Time,
        update: ListUpdate,
        entries: &[EndpointEntry],
        states_before: &BTreeMap<ServerId, ServerState>,
    ) {
        if is_complete(update) {
            self.servers.values_mut().for_each(|record| record.state = ServerState::Removed);
            self.invariants.record_snapshot(now);
        }
        for entry in entries {
            self.invariants.record_listing(now, entry);
            let changed = states_before.get(&entry.server) != Some(&entry.state);
            if changed && entry.state == ServerState::Removed {
                self.health_check_budget.forget(entry.server);
            }
            self.servers.entry(entry.server).or_default().state = entry.state;
        }
    }

    fn update_permits(&mut self, entries: &[EndpointEntry]) {
        let Some(permits) = &mut self.permits else { return };
        self.servers_by_key.extend(entries.iter().map(|entry| (entry.hash_key, entry.server)));
        permits.update_servers(self.endpoints.started_servers());
    }

    /// Migrates connections from servers that have begun to drain or are gone: a server that stops would cut them off.
    fn migrate_from_unready_servers(&mut self, now: Time, states_before: &BTreeMap<ServerId, ServerState>) {
        self.migrate_from_servers_entering(
            now,
            ServerState::Draining,
            DRAINING_MIGRATION_SPAN,
            states_before,
        );
        self.migrate_from_servers_entering(now, ServerState::Removed, REMOVED_MIGRATION_SPAN, states_before);
    }

    /// Migrates connections, over this span, from servers that are in this state now and were not before.
    fn migrate_from_servers_entering(
        &mut self,
        now: Time,
        state: ServerState,
        span: Span,
        states_before: &BTreeMap<ServerId, ServerState>,
    ) {
        let has_entered = |server: &ServerId| {
            let is_in_state = self.servers.get(server).is_some_and(|record| record.state == state);
            is_in_state && states_before.get(server) != Some(&state)
        };
        let connections = self.requests.all_established();
        let affected: Vec<RequestId> =
            connections.filter(|(_, connection)| has_entered(&connection.server)).map(|(id, _)| id).collect();
        self.schedule_migrations(now, span, &affected);
    }
}
