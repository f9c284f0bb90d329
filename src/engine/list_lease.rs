//! The lease of the endpoint list: how long the list may be used after discovery was last heard of.

use super::Engine;
use super::command::Command;
use super::timers::TimerEvent;
use crate::decision::interface::{Event, ListUpdate, Time};
use crate::discovery::{MAX_LIST_STALENESS, WatchEnd};

/// How long the endpoint list may be used. It is told events and their times, and reads no clock.
///
/// While a watch is in sync, the list is valid. After that it is valid for [`MAX_LIST_STALENESS`] from the last
/// complete object or heartbeat on; in a new process, from its start on. Failures that follow change nothing: a 503,
/// a reset or a timeout shows that something answers, which may have known of a change meanwhile. A refused
/// connection shows that nothing listens at that moment, so no change can have been announced, and the time starts
/// anew. It does so only if nothing else was found since a watch was in sync, and only while the list is valid.
#[derive(Debug, Clone, Copy)]
pub struct ListLease {
    /// None while a watch is in sync.
    valid_until: Option<Time>,
    /// Whether something may have listened, and known of changes, since a watch was in sync.
    discovery_reached: bool,
}

impl ListLease {
    /// The lease of a process that starts now, whatever list it has.
    pub fn new(started_at: Time) -> Self {
        Self { valid_until: Some(started_at + MAX_LIST_STALENESS), discovery_reached: false }
    }

    /// Discovery has sent a complete object or a heartbeat, and the list is up to date.
    pub fn renew(&mut self) {
        self.valid_until = None;
        self.discovery_reached = false;
    }

    /// A call or watch has ended now; the list was last in sync at `last_synced_at`. Returns the end of the lease if it
    /// has changed.
    pub fn handle_watch_end(&mut self, now: Time, last_synced_at: Time, end: WatchEnd) -> Option<Time> {
        let before = self.valid_until;
        let valid_until = before.unwrap_or(last_synced_at + MAX_LIST_STALENESS);
        self.discovery_reached |= end == WatchEnd::Failed;
        let unreachable = end == WatchEnd::ConnectionRefused && !self.discovery_reached && now < valid_until;
        let valid_until = if unreachable { now + MAX_LIST_STALENESS } else { valid_until };
        self.valid_until = Some(valid_until);
        (before != self.valid_until).then_some(valid_until)
    }

    /// Whether the list may be used at this time.
    pub fn is_valid(&self, now: Time) -> bool {
        self.valid_until.is_none_or(|valid_until| now < valid_until)
    }
}

impl Engine {
    /// Records that a call or watch has ended, and when the list was last in sync: any server may have begun to drain
    /// unnoticed since.
    pub fn handle_watch_end(&mut self, now: Time, last_synced_at: Time, end: WatchEnd) {
        if let Some(valid_until) = self.list_lease.handle_watch_end(now, last_synced_at, end) {
            self.timers.schedule(valid_until.max(now), TimerEvent::ListExpired);
        }
    }

    /// Renews the lease: discovery has answered, and what came with the answer is in the list.
    pub fn renew_list_lease(&mut self, now: Time, commands: &mut Vec<Command>) {
        self.list_lease.renew();
        let was_expired = self.endpoints.is_expired();
        self.endpoints.set_expired(false);
        let entries = if was_expired { self.endpoints.decision_entries() } else { Vec::new() };
        // The decision module is told even if nothing is new: it then polls soon again.
        self.handle_event(now, Event::EndpointList { update: ListUpdate::Delta, entries }, commands);
    }

    /// Whether the list has expired, so that nothing new is placed.
    pub fn list_expired(&self) -> bool {
        self.endpoints.is_expired()
    }

    /// Stops placing connections once the lease has ended. Established ones stay, as no server may have been told to
    /// drain: rejecting costs some seconds, but a connection placed on a draining server breaks a rule.
    pub(super) fn expire_list(&mut self, now: Time, commands: &mut Vec<Command>) {
        if self.endpoints.is_expired() || self.list_lease.is_valid(now) {
            return;
        }
        self.endpoints.set_expired(true);
        let entries = self.endpoints.decision_entries();
        // `Cached`, as this is no answer of discovery: the poll backoff stays as it is.
        self.handle_event(now, Event::EndpointList { update: ListUpdate::Cached, entries }, commands);
    }
}
