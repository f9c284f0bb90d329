//! What all clients of the line protocol share.

use std::sync::Arc;
use std::time::Duration;

use ashtide_protocol::{FAILED, Open};
use bytes::Bytes;
use tokio::sync::watch;

use super::connection::LineConnection;
use super::first_line::ClientError;
use crate::engine::open_ids::OpenIds;
use crate::metrics::CloseReason;
use crate::net::connection_handoff::Successor;
use crate::net::messages::{ConnectionRequest, EventLoopHandle};
use crate::net::pending_clients::PendingClients;
use crate::net::rate_limited_log::RateLimitedLog;

/// Wait that a client over a limit is told.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) static CLIENT_ERRORS: RateLimitedLog = RateLimitedLog::new("client");

/// Time limits that the settings give.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Limit on connecting to a server.
    pub connect: Duration,
}

/// What all clients of the line protocol share.
#[derive(Clone)]
pub struct Frontend {
    /// Clients without a session, and the limit on those with one.
    pub pending_clients: PendingClients,
    pub(super) timeouts: Timeouts,
    pub(super) event_loop: EventLoopHandle,
    pub(super) open_ids: OpenIds,
    /// The process that takes established connections over when this one shuts down.
    pub(super) successor: watch::Receiver<Option<Arc<Successor>>>,
}

impl Frontend {
    /// A front end without clients.
    pub fn new(
        pending_clients: PendingClients,
        timeouts: Timeouts,
        event_loop: EventLoopHandle,
        successor: watch::Receiver<Option<Arc<Successor>>>,
    ) -> Self {
        Self { pending_clients, timeouts, event_loop, open_ids: OpenIds::default(), successor }
    }

    /// Ends a client with a last line, and counts a client that did not read it.
    pub(super) async fn finish_client(&self, client: LineConnection, last_line: &[u8]) {
        if !client.finish(last_line).await {
            self.event_loop.count_closed(CloseReason::AnswerUnread);
        }
    }

    /// Logs what a client did wrong; its answer.
    pub(super) fn answer_client_error(&self, error: &ClientError) -> Bytes {
        CLIENT_ERRORS.log(error);
        Bytes::from_static(FAILED)
    }
}

/// What a client asks for, without the time that it waits.
pub(super) fn connection_request(open: &Open) -> ConnectionRequest {
    ConnectionRequest {
        class: open.class.clone(),
        tenant: open.tenant.clone(),
        group: open.group.clone(),
        expected_load: open.load,
        is_retry: open.retry,
        is_reconnect: open.again,
        ..ConnectionRequest::default()
    }
}
