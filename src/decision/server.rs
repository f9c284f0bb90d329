//! State of one server at this gateway.

use super::interface::{EndpointEntry, ServerState, SiblingState, Span, Time};
use super::outlier::{Ejection, ResponseLevel, Shedding};
use super::permits::ServerPermits;
use super::recovery::RecoveryBucket;

/// State of a server at this gateway.
#[derive(Default)]
pub(super) struct Server {
    /// The server's entry in the endpoint list.
    pub(super) endpoint: EndpointEntry,
    /// Number of this process's connections to the server, attempts included.
    open_connections: u32,
    /// Number of connections of a sibling process to the server; `None` until the sibling has reported it.
    sibling_connections: Option<u32>,
    /// Time of the server's last start that this gateway knows of; `None` if the start was long ago.
    started_at: Option<Time>,
    /// Whether the server has been uncordoned and has had no connection since.
    awaits_first_connection: bool,
    pub(super) permits: ServerPermits,
    pub(super) recovery: RecoveryBucket,
    pub(super) ejection: Ejection,
    pub(super) response_level: ResponseLevel,
    pub(super) shedding: Shedding,
    /// Last time at which the server was reported as saturated; `None` if it was not, since its last start.
    saturated_at: Option<Time>,
}

impl Server {
    pub(super) fn open_connections(&self) -> u32 {
        self.open_connections
    }

    /// Returns the number of connections of all processes of this gateway.
    pub(super) fn total_connections(&self) -> u32 {
        self.open_connections + self.sibling_connections.unwrap_or(0)
    }

    pub(super) fn started_at(&self) -> Option<Time> {
        self.started_at
    }

    pub(super) fn saturated_at(&self) -> Option<Time> {
        self.saturated_at
    }

    /// Checks whether the server started less than `slow_start_time` ago, according to the start time that
    /// this gateway knows.
    pub(super) fn is_warming_up(&self, now: Time, slow_start_time: Span) -> bool {
        self.started_at.is_some_and(|started_at| now.since(started_at) < slow_start_time)
    }

    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.state == ServerState::Ready
    }

    /// Checks whether the next request is to be sent to the server, as its first one since it was uncordoned.
    pub(super) fn is_due_first_connection(&self, now: Time) -> bool {
        self.awaits_first_connection && self.permits.may_request(now)
    }

    /// Returns the state of the server that is reported to sibling processes.
    pub(super) fn sibling_state(&self) -> SiblingState {
        SiblingState {
            open_connections: self.open_connections,
            recovery_tokens: self.recovery.tokens(),
            last_used_permit: self.permits.last_used(),
        }
    }

    pub(super) fn add_connection(&mut self) {
        self.open_connections = self.open_connections.saturating_add(1);
    }

    pub(super) fn remove_connection(&mut self) {
        self.open_connections = self.open_connections.saturating_sub(1);
    }

    /// Records an attempt that is sent now, and the numbered permit that it uses; `None` if it uses no
    /// numbered permit.
    pub(super) fn begin_attempt(&mut self, permit: Option<u64>) {
        self.awaits_first_connection = false;
        self.permits.use_permit(permit);
        self.recovery.take_token();
    }

    /// Records the state that a sibling process reports. The first report limits the recovery tokens, so that
    /// the two processes do not each send what only one of them may send.
    pub(super) fn record_sibling(&mut self, sibling: &SiblingState) {
        if self.sibling_connections.is_none() {
            self.recovery.limit_to(sibling.recovery_tokens);
        }
        self.sibling_connections = Some(sibling.open_connections);
    }

    /// Resets the state that belongs to the server's previous process.
    pub(super) fn restart(&mut self, now: Time, started_at: Option<Time>) {
        self.ejection = Ejection::default();
        self.response_level = ResponseLevel::Normal;
        self.saturated_at = None;
        self.shedding.reset();
        self.permits.restart(now, self.started_at == started_at);
        self.started_at = started_at;
    }

    /// Resets the state of a server that was uncordoned. Permits up to `last_permit` count as used.
    pub(super) fn uncordon(&mut self, now: Time, started_at: Time, last_permit: u64) {
        self.restart(now, Some(started_at));
        self.permits.set_last_used(last_permit);
        self.awaits_first_connection = true;
    }

    /// Records that the server is saturated, and resets its recovery tokens to `initial_tokens`, a fraction
    /// of a connection.
    pub(super) fn mark_saturated(&mut self, now: Time, initial_tokens: f64) {
        self.saturated_at = Some(now);
        self.recovery.reset(now, initial_tokens);
    }
}
