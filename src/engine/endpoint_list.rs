//! The endpoint list as this gateway uses it: the entries from discovery, overridden by cordons, quorum
//! ejections and the expiry of the list lease.

use std::collections::{BTreeMap, BTreeSet};

use super::Engine;
use super::command::Command;
use super::drain::{DRAINING_MIGRATION_SPAN, REMOVED_MIGRATION_SPAN};
use super::response_times::ResponseTimes;
use crate::decision::interface::{
    EndpointEntry, Event, ListUpdate, RequestId, ServerId, ServerState, Span, Time,
};

/// State of a server, including servers that are no longer on the endpoint list.
#[derive(Default)]
pub(super) struct ServerRecord {
    /// State according to the endpoint list, with cordons applied.
    pub(super) state: ServerState,
    pub(super) response_times: ResponseTimes,
}

/// The endpoint list and its overrides.
#[derive(Default)]
pub(super) struct OverriddenList {
    /// Entries as discovery sent them.
    entries: BTreeMap<ServerId, EndpointEntry>,
    cordoned: BTreeSet<ServerId>,
    ejected_by_quorum: BTreeSet<ServerId>,
    /// Whether the lease of the list has ended.
    is_expired: bool,
}

/// Returns the entry with state `Draining` if `is_overridden` is set and the entry is ready; otherwise
/// unchanged.
fn with_drain_if(is_overridden: bool, entry: EndpointEntry) -> EndpointEntry {
    let is_drained = is_overridden && entry.state == ServerState::Ready;
    let state = if is_drained { ServerState::Draining } else { entry.state };
    EndpointEntry { state, ..entry }
}

impl OverriddenList {
    pub(super) fn hash_key(&self, server: ServerId) -> Option<u32> {
        self.entries.get(&server).map(|entry| entry.hash_key)
    }

    /// Checks whether the lease of the list has ended.
    pub(super) fn is_expired(&self) -> bool {
        self.is_expired
    }

    pub(super) fn set_expired(&mut self, is_expired: bool) {
        self.is_expired = is_expired;
    }

    /// Returns an entry of the list with cordons applied.
    fn effective_entry(&self, entry: &EndpointEntry) -> EndpointEntry {
        with_drain_if(self.cordoned.contains(&entry.server), entry.clone())
    }

    /// Returns an effective entry in the form that the decision module receives. There, and only there, all
    /// ready servers are draining while the list is expired, and ejected ones are always draining.
    fn decision_entry(&self, entry: EndpointEntry) -> EndpointEntry {
        with_drain_if(self.is_expired || self.ejected_by_quorum.contains(&entry.server), entry)
    }

    /// Returns all entries in the form that the decision module receives.
    pub(super) fn decision_entries(&self) -> Vec<EndpointEntry> {
        let entries = self.entries.values();
        entries.map(|entry| self.decision_entry(self.effective_entry(entry))).collect()
    }

    /// Returns the hash keys and start times of ready servers whose start time is known.
    fn started_servers(&self) -> impl Iterator<Item = (u32, Time)> {
        let ready = self.entries.values().filter(|entry| entry.state == ServerState::Ready);
        ready.filter_map(|entry| Some((entry.hash_key, entry.started_at?)))
    }

    /// Stores an update and returns its entries with cordons applied.
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

    /// Sets or removes a cordon, and returns whether that was a change.
    fn set_cordoned(&mut self, server: ServerId, is_cordoned: bool) -> bool {
        if is_cordoned { self.cordoned.insert(server) } else { self.cordoned.remove(&server) }
    }

    /// Replaces the ejected servers and returns the servers that are newly ejected or no longer ejected.
    fn replace_ejected(&mut self, hash_keys: &BTreeSet<u32>) -> Vec<ServerId> {
        let matching = self.entries.values().filter(|entry| hash_keys.contains(&entry.hash_key));
        let ejected: BTreeSet<ServerId> = matching.map(|entry| entry.server).collect();
        let before = std::mem::replace(&mut self.ejected_by_quorum, ejected);
        self.ejected_by_quorum.symmetric_difference(&before).copied().collect()
    }
}

/// Checks whether an update replaces all entries.
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

    /// Returns the number of listed servers that currently get no new connections, because of their state or
    /// because the decision module avoids them.
    pub fn avoided_server_count(&self, now: Time) -> usize {
        let avoided = self.servers.iter().filter(|(server, record)| match record.state {
            ServerState::Ready => self.balancer.is_avoided(now, **server),
            ServerState::Draining => true,
            ServerState::Removed => false,
        });
        avoided.count()
    }

    /// Checks whether a server is ready on the endpoint list and not cordoned.
    pub fn is_ready(&self, server: ServerId) -> bool {
        let entry = self.endpoints.entries.get(&server);
        entry.is_some_and(|entry| self.endpoints.effective_entry(entry).state == ServerState::Ready)
    }

    /// Sets the servers, by hash key, that a quorum of gateways has ejected. They get no new connections;
    /// established connections remain.
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
        // While the list is expired, all servers drain anyway. The renewal of the lease applies these
        // ejections.
        if changed.is_empty() || self.endpoints.is_expired {
            return;
        }
        let changed = changed.iter().filter_map(|server| self.endpoints.entries.get(server));
        let entries = changed.map(|entry| {
            let effective = self.endpoints.effective_entry(entry);
            self.endpoints.decision_entry(effective)
        });
        let entries = entries.collect();
        self.handle_event(now, Event::EndpointList { update: ListUpdate::Delta, entries }, commands);
    }

    /// Cordons or uncordons a server. A cordoned server drains even if the endpoint list reports it as ready.
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
        // While the list is expired, an uncordoned server stays draining until the lease is renewed, like all
        // others.
        if self.endpoints.is_expired && !is_cordoned {
            return;
        }
        let entry = with_drain_if(is_cordoned, entry);
        self.apply_list_update(now, ListUpdate::Delta, vec![entry], commands);
        if !is_cordoned {
            self.handle_event(now, Event::Uncordoned { server }, commands);
        }
    }

    /// Applies effective entries to server states, invariants, permits, the decision module and established
    /// connections.
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
        let entries = entries.into_iter().map(|entry| self.endpoints.decision_entry(entry)).collect();
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
                self.health_check_budget.remove_server(entry.server);
            }
            self.servers.entry(entry.server).or_default().state = entry.state;
        }
    }

    fn update_permits(&mut self, entries: &[EndpointEntry]) {
        let Some(permits) = &mut self.permits else { return };
        self.servers_by_key.extend(entries.iter().map(|entry| (entry.hash_key, entry.server)));
        permits.update_servers(self.endpoints.started_servers());
    }

    /// Migrates connections from servers that have begun to drain or were removed, as a server that exits
    /// would reset them.
    fn migrate_from_unready_servers(&mut self, now: Time, states_before: &BTreeMap<ServerId, ServerState>) {
        self.migrate_from_servers_entering(
            now,
            ServerState::Draining,
            DRAINING_MIGRATION_SPAN,
            states_before,
        );
        self.migrate_from_servers_entering(now, ServerState::Removed, REMOVED_MIGRATION_SPAN, states_before);
    }

    /// Migrates connections, over `span`, from servers that are in `state` now and were not before.
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
