//! The front end of the line protocol: the state shared by all its clients.

use std::collections::HashSet;
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

/// Wait sent with `BUSY` to a client that exceeds a limit of this process or that is evicted.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) static CLIENT_ERRORS: RateLimitedLog = RateLimitedLog::new("client");

/// Time limits from the settings.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time limit for connecting to a server.
    pub connect: Duration,
}

/// State shared by all clients of the line protocol.
#[derive(Clone)]
pub struct Frontend {
    /// Clients without a session, and the limit on sessions.
    pub pending_clients: PendingClients,
    pub(super) timeouts: Timeouts,
    pub(super) event_loop: EventLoopHandle,
    pub(super) open_ids: OpenIds,
    /// Names of the classes whose requests may not be executed twice.
    unrepeatable_classes: Arc<HashSet<String>>,
    /// The process that adopts established connections when this one shuts down, once it is known.
    pub(super) successor: watch::Receiver<Option<Arc<Successor>>>,
}

impl Frontend {
    /// Creates a front end without clients.
    pub fn new(
        pending_clients: PendingClients,
        timeouts: Timeouts,
        event_loop: EventLoopHandle,
        successor: watch::Receiver<Option<Arc<Successor>>>,
    ) -> Self {
        Self {
            pending_clients,
            timeouts,
            event_loop,
            open_ids: OpenIds::default(),
            unrepeatable_classes: Arc::default(),
            successor,
        }
    }

    /// Sets the names of the classes whose requests may not be executed twice. An id of such a request is not
    /// accepted again once the request may have been executed.
    #[must_use]
    pub fn with_unrepeatable_classes(self, classes: impl IntoIterator<Item = String>) -> Self {
        Self { unrepeatable_classes: Arc::new(classes.into_iter().collect()), ..self }
    }

    /// Returns whether requests of this class may be executed twice.
    pub(super) fn is_repeatable(&self, class: &str) -> bool {
        !self.unrepeatable_classes.contains(class)
    }

    /// Returns the ids of open requests.
    pub fn open_ids(&self) -> &OpenIds {
        &self.open_ids
    }

    /// Sends a client its last line and closes its connection; counts a client that did not read the line.
    pub(super) async fn finish_client(&self, client: LineConnection, last_line: &[u8]) {
        if !client.finish(last_line).await {
            self.event_loop.count_closed(CloseReason::AnswerUnread);
        }
    }

    /// Logs a client's error, and returns the answer to the client.
    pub(super) fn answer_client_error(&self, error: &ClientError) -> Bytes {
        CLIENT_ERRORS.log(error);
        Bytes::from_static(FAILED)
    }
}

/// Converts an `OPEN` line into a request of the event loop, without the client's time limit.
pub(super) fn connection_request(open: &Open) -> ConnectionRequest {
    ConnectionRequest {
        class: open.class.clone(),
        tenant: open.tenant.clone(),
        group: open.group.clone(),
        expected_load: open.expected_load,
        is_retry: open.is_retry,
        is_reconnect: open.is_reconnect,
        ..ConnectionRequest::default()
    }
}
