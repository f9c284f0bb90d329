//! The endpoint list: its updates, the servers that may be used, and the time of the next poll after a
//! failure.

use rand::Rng;

use super::Balancer;
use super::interface::{DiscoveryMode, EndpointEntry, ListUpdate, ServerId, ServerState, Span, Time};
use super::server::Server;
use super::timer::Timer;

/// Maximum random delay of the first subscription after a start, as a share of the poll limit. The delay
/// spreads the load, since all gateways may restart at the same time.
const INITIAL_SUBSCRIBE_JITTER_SHARE: f64 = 0.1;
/// First wait after a failed poll, as a share of the longest wait. The wait doubles with each failure.
const POLL_BACKOFF_BASE_SHARE: f64 = 0.1;
/// Maximum number of doublings of the wait after a failed poll.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 6;
/// Longest wait before the next poll, as a share of the time within which a change must be known at the
/// gateway.
pub const MAX_POLL_WAIT_SHARE: f64 = 0.5;
/// Longest wait between two polls. After this wait, a call may take another 3 s before the list is too old to
/// be used (`discovery::MAX_LIST_STALENESS`).
pub const MAX_POLL_WAIT: Span = Span::from_micros(3_000_000);

/// State of all servers that have ever been in the endpoint list, and the subsets that may be used.
#[derive(Default)]
pub(super) struct ServerRecords {
    /// Servers, indexed by the number of their ids.
    servers: Vec<Option<Server>>,
    /// Servers that are listed as ready, in the order of their ids.
    ready: Vec<ServerId>,
    /// Ready servers that are warming up, in the order of their ids.
    warming: Vec<ServerId>,
    /// Time at which `ready` and `warming` were last updated.
    refreshed_at: Time,
    /// Number of polls that have failed since the last successful one.
    consecutive_failures: u32,
}

impl ServerRecords {
    pub(super) fn contains(&self, id: ServerId) -> bool {
        self.servers.get(id.0 as usize).is_some_and(Option::is_some)
    }

    /// Returns the state of a server.
    ///
    /// # Panics
    ///
    /// Panics if the server has never been in the endpoint list.
    pub(super) fn server(&self, id: ServerId) -> &Server {
        self.servers[id.0 as usize].as_ref().expect("servers in use have been in the endpoint list")
    }

    /// Returns the mutable state of a server.
    ///
    /// # Panics
    ///
    /// Panics if the server has never been in the endpoint list.
    pub(super) fn server_mut(&mut self, id: ServerId) -> &mut Server {
        self.servers[id.0 as usize].as_mut().expect("servers in use have been in the endpoint list")
    }

    /// Returns all servers, in the order of their ids.
    pub(super) fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().flatten()
    }

    pub(super) fn ready(&self) -> &[ServerId] {
        &self.ready
    }

    pub(super) fn warming(&self) -> &[ServerId] {
        &self.warming
    }

    pub(super) fn refreshed_at(&self) -> Time {
        self.refreshed_at
    }

    fn mark_all_removed(&mut self) {
        for server in self.servers.iter_mut().flatten() {
            server.endpoint.state = ServerState::Removed;
        }
    }

    /// Applies an entry of the endpoint list. A start time that differs from the known one means a new
    /// process.
    fn update(&mut self, now: Time, entry: EndpointEntry) {
        let index = entry.server.0 as usize;
        self.servers.resize_with(self.servers.len().max(index + 1), || None);
        let known_start = self.servers[index].as_ref().map(|server| server.endpoint.started_at);
        let is_new_process = entry.started_at.is_some() && known_start != Some(entry.started_at);
        let server = self.servers[index].get_or_insert_default();
        let weight = Some(entry.weight).filter(|weight| weight.is_finite() && *weight > 0.0);
        server.endpoint = EndpointEntry { weight: weight.unwrap_or(1.0), ..entry };
        if is_new_process {
            server.restart(now, server.endpoint.started_at);
        }
    }

    fn refresh(&mut self, now: Time, slow_start_time: Span) {
        let ready = self.servers.iter().flatten().filter(|server| server.is_ready());
        let warming = ready.clone().filter(|server| server.is_warming_up(now, slow_start_time));
        self.warming = warming.map(|server| server.endpoint.server).collect();
        self.ready = ready.map(|server| server.endpoint.server).collect();
        self.refreshed_at = now;
    }

    fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Counts a failed poll; returns the wait before the next poll, without jitter.
    fn record_failure(&mut self, max_wait: Span) -> Span {
        let doublings = self.consecutive_failures.min(MAX_POLL_BACKOFF_DOUBLINGS);
        let share = (POLL_BACKOFF_BASE_SHARE * f64::from(1 << doublings)).min(1.0);
        self.consecutive_failures += 1;
        max_wait.scale(share).min(MAX_POLL_WAIT)
    }
}

impl Balancer {
    pub(super) fn handle_list_update(&mut self, now: Time, update: ListUpdate, entries: Vec<EndpointEntry>) {
        match update {
            ListUpdate::WatchFailed => return self.handle_watch_failure(now),
            // Servers that are missing from a complete list have been removed.
            ListUpdate::Snapshot | ListUpdate::Cached => self.endpoints.mark_all_removed(),
            ListUpdate::Delta => {}
        }
        if update != ListUpdate::Cached {
            self.endpoints.record_success();
        }
        for entry in entries {
            self.endpoints.update(now, entry);
        }
        self.refresh_ready(now);
        self.place_queued(now);
    }

    /// Updates the sets of ready servers and of those that are warming up.
    pub(super) fn refresh_ready(&mut self, now: Time) {
        let slow_start_time = self.slow_start_time();
        self.endpoints.refresh(now, slow_start_time);
    }

    /// Schedules the first subscription with a random delay, because all gateways may restart at the same
    /// time and the list service has a fixed capacity.
    pub(super) fn schedule_first_subscription(&mut self, now: Time) {
        if self.settings.discovery == DiscoveryMode::OnRequest {
            let share = INITIAL_SUBSCRIBE_JITTER_SHARE * self.rng.random::<f64>();
            let wait = self.settings.list_poll_limit.scale(share);
            self.set_timer(Timer::Subscribe, now + wait);
        }
    }

    /// Schedules the next poll with backoff and jitter, early enough that its answer can arrive within the
    /// time in which a change must be known. A pushed change counts as known at once.
    fn handle_watch_failure(&mut self, now: Time) {
        let limit = match self.settings.discovery {
            DiscoveryMode::Pushed => self.settings.drain_grace,
            DiscoveryMode::OnRequest => self.settings.list_poll_limit,
        };
        let wait = self.endpoints.record_failure(limit.scale(MAX_POLL_WAIT_SHARE));
        let jitter = 0.5 + 0.5 * self.rng.random::<f64>();
        self.set_timer(Timer::Subscribe, now + wait.scale(jitter));
    }

    /// Begins the slow start of a server that operators have uncordoned, because the endpoint list may not
    /// show a restart. Permits issued before become void, and the next request is sent to the server.
    pub(super) fn handle_uncordoned(&mut self, now: Time, id: ServerId) {
        let known_start = self.server(id).started_at().filter(|_| self.is_warming_up(now, id));
        let started_at = known_start.unwrap_or(now);
        let issued = self.permits_issued(now, started_at);
        self.server_mut(id).uncordon(now, started_at, issued);
        self.refresh_ready(now);
        self.place_queued(now);
    }
}
