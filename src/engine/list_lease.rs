//! The lease of the endpoint list: how long the list may be used after the last message from discovery.

use super::Engine;
use super::command::Command;
use super::timers::TimerEvent;
use crate::decision::interface::{Event, ListUpdate, Time};
use crate::discovery::{MAX_LIST_STALENESS, WatchEnd};

/// The lease of the endpoint list. It receives events with their times and reads no clock.
///
/// While a watch is in sync, the list is valid. Afterwards it is valid for [`MAX_LIST_STALENESS`] from the
/// last complete object or heartbeat; in a new process, from the start of the process. Later failures don't
/// extend the lease: a 503, a reset or a timeout shows that discovery may be running and may have announced a
/// change in the meantime. A refused connection shows that no process is listening at that moment, so no
/// change can have been announced, and the lease is extended to [`MAX_LIST_STALENESS`] from then. This
/// applies only if every call since the last watch in sync was refused, and only while the list is valid.
///
/// An unconfirmed list is one that an agent on this machine may have replaced before the start: what the
/// agent has counts as announced at once, whether or not it answers. Such a list is not valid before the
/// agent confirms it, or refuses the first call, as an agent that is not running has no newer list.
#[derive(Debug, Clone, Copy)]
pub struct ListLease {
    /// End of the lease; `None` while a watch is in sync.
    valid_until: Option<Time>,
    /// Whether discovery may have been running, and may have announced changes, since a watch was last in
    /// sync.
    discovery_reached: bool,
    /// Whether the list is unconfirmed and no call has ended yet.
    unconfirmed: bool,
}

impl ListLease {
    /// Creates the lease of a process that starts at this time, regardless of the list it has.
    pub fn new(started_at: Time) -> Self {
        let valid_until = Some(started_at + MAX_LIST_STALENESS);
        Self { valid_until, discovery_reached: false, unconfirmed: false }
    }

    /// Creates the lease of a process that starts at this time with an unconfirmed list.
    pub fn unconfirmed(started_at: Time) -> Self {
        Self { valid_until: Some(started_at), discovery_reached: false, unconfirmed: true }
    }

    /// Records that discovery has sent a complete object or a heartbeat, so that the list is up to date.
    pub fn renew(&mut self) {
        self.valid_until = None;
        self.discovery_reached = false;
        self.unconfirmed = false;
    }

    /// Records that a call or watch has ended now and that the list was last in sync at `last_synced_at`.
    /// Returns the end of the lease if it has changed.
    pub fn handle_watch_end(&mut self, now: Time, last_synced_at: Time, end: WatchEnd) -> Option<Time> {
        let before = self.valid_until;
        let valid_until = before.unwrap_or(last_synced_at + MAX_LIST_STALENESS);
        self.discovery_reached |= end == WatchEnd::Failed;
        let is_first_call = std::mem::take(&mut self.unconfirmed);
        let may_extend = !self.discovery_reached && (is_first_call || now < valid_until);
        let extends_lease = end == WatchEnd::ConnectionRefused && may_extend;
        let valid_until = if extends_lease { now + MAX_LIST_STALENESS } else { valid_until };
        self.valid_until = Some(valid_until);
        (before != self.valid_until).then_some(valid_until)
    }

    /// Checks whether the list may be used at this time.
    pub fn is_valid(&self, now: Time) -> bool {
        self.valid_until.is_none_or(|valid_until| now < valid_until)
    }
}

impl Engine {
    /// Places no new connections until the list has been confirmed, as [`ListLease`] describes. Applies to a
    /// process that has just started.
    pub fn require_confirmed_list(&mut self, now: Time) {
        self.list_lease = ListLease::unconfirmed(now);
        self.endpoints.set_expired(true);
    }

    /// Records that a call or watch has ended. The list was last in sync at `last_synced_at`; any server may
    /// have begun to drain since then.
    pub fn handle_watch_end(&mut self, now: Time, last_synced_at: Time, end: WatchEnd) {
        if let Some(valid_until) = self.list_lease.handle_watch_end(now, last_synced_at, end) {
            self.timers.schedule(valid_until.max(now), TimerEvent::ListExpired);
        }
        if self.endpoints.is_expired() && self.list_lease.is_valid(now) {
            self.endpoints.set_expired(false);
            let entries = self.endpoints.decision_entries();
            self.pending_events.push_back(Event::EndpointList { update: ListUpdate::Cached, entries });
        }
    }

    /// Renews the lease after discovery has answered and its answer has been applied to the list.
    pub fn renew_list_lease(&mut self, now: Time, commands: &mut Vec<Command>) {
        self.list_lease.renew();
        let was_expired = self.endpoints.is_expired();
        self.endpoints.set_expired(false);
        let entries = if was_expired { self.endpoints.decision_entries() } else { Vec::new() };
        // The decision module receives the event even without new entries, so that its next poll is soon.
        self.handle_event(now, Event::EndpointList { update: ListUpdate::Delta, entries }, commands);
    }

    /// Checks whether the list has expired, so that no new connections are placed.
    pub fn list_expired(&self) -> bool {
        self.endpoints.is_expired()
    }

    /// Stops placing new connections once the lease has ended. Established connections remain, as possibly no
    /// server is draining. A rejection costs the client some seconds, but placing a connection on a draining
    /// server violates the protocol.
    pub(super) fn expire_list(&mut self, now: Time, commands: &mut Vec<Command>) {
        if self.endpoints.is_expired() || self.list_lease.is_valid(now) {
            return;
        }
        self.endpoints.set_expired(true);
        let entries = self.endpoints.decision_entries();
        // `Cached` leaves the poll backoff unchanged, as this is not an answer from discovery.
        self.handle_event(now, Event::EndpointList { update: ListUpdate::Cached, entries }, commands);
    }
}
