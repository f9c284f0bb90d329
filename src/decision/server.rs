//! What this gateway knows of one server.

use super::interface::{EndpointEntry, ServerState, SiblingState, Span, Time};
use super::outlier::{Ejection, ResponseLevel, Shedding};
use super::permits::ServerPermits;
use super::recovery::RecoveryBucket;

/// A server as this gateway knows it.
#[derive(Default)]
pub(super) struct Server {
    /// Its entry in the endpoint list.
    pub(super) endpoint: EndpointEntry,
    /// This gateway's own connections to it, attempts included.
    open_connections: u32,
    /// Connections of another process of this gateway, once that has reported them.
    sibling_connections: Option<u32>,
    /// When it started, as far as is known here, if it may still be warming up.
    started_at: Option<Time>,
    /// Whether it has been uncordoned and waits for its first connection.
    needs_first_connection: bool,
    pub(super) permits: ServerPermits,
    pub(super) recovery: RecoveryBucket,
    pub(super) ejection: Ejection,
    pub(super) response_level: ResponseLevel,
    pub(super) shedding: Shedding,
    /// When its responses last took longer than clients want to wait.
    saturated_at: Option<Time>,
}

impl Server {
    pub(super) fn open_connections(&self) -> u32 {
        self.open_connections
    }

    /// Connections of all processes of this gateway.
    pub(super) fn total_connections(&self) -> u32 {
        self.open_connections + self.sibling_connections.unwrap_or(0)
    }

    pub(super) fn started_at(&self) -> Option<Time> {
        self.started_at
    }

    pub(super) fn saturated_at(&self) -> Option<Time> {
        self.saturated_at
    }

    /// Whether it started less than this time ago, as far as is known here.
    pub(super) fn is_warming_up(&self, now: Time, slow_start_time: Span) -> bool {
        self.started_at.is_some_and(|started_at| now.since(started_at) < slow_start_time)
    }

    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.state == ServerState::Ready
    }

    /// Whether the next request goes to it, as the first one after it was uncordoned.
    pub(super) fn wants_first_connection(&self, now: Time) -> bool {
        self.needs_first_connection && self.permits.may_request(now)
    }

    /// What another process of this gateway has to know.
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

    /// Accounts for an attempt that is sent now, with the numbered permit that it uses, if any.
    pub(super) fn begin_attempt(&mut self, permit: Option<u64>) {
        self.needs_first_connection = false;
        self.permits.use_permit(permit);
        self.recovery.take();
    }

    /// Takes over what another process of this gateway reports. Its first report limits what may be sent during a
    /// recovery, so that it is not sent by both.
    pub(super) fn record_sibling(&mut self, sibling: &SiblingState) {
        if self.sibling_connections.is_none() {
            self.recovery.limit_to(sibling.recovery_tokens);
        }
        self.sibling_connections = Some(sibling.open_connections);
    }

    /// Forgets what was known of the server's previous process.
    pub(super) fn restart(&mut self, now: Time, started_at: Option<Time>) {
        self.ejection = Ejection::default();
        self.response_level = ResponseLevel::Normal;
        self.saturated_at = None;
        self.shedding.end();
        self.permits.restart(now, self.started_at == started_at);
        self.started_at = started_at;
    }

    /// Starts anew because it was uncordoned; permits up to this one count as used.
    pub(super) fn uncordon(&mut self, now: Time, started_at: Time, last_permit: u64) {
        self.restart(now, Some(started_at));
        self.permits.set_last_used(last_permit);
        self.needs_first_connection = true;
    }

    /// Paces what it is sent from now on, beginning with this part of a connection.
    pub(super) fn saturate(&mut self, now: Time, initial_tokens: f64) {
        self.saturated_at = Some(now);
        self.recovery.reset(now, initial_tokens);
    }
}
