//! Admission of one client of the line protocol: its first line, the checks of its request, and the start of
//! its session.

use ashtide_protocol::{ClientSide, Open, busy};
use bytes::{Bytes, BytesMut};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::attempt::Session;
use super::connection::LineConnection;
use super::first_line::{ClientError, FirstLine, read_first_line};
use super::frontend::{DEFAULT_RETRY_AFTER, Frontend, connection_request};
use crate::engine::open_ids::RequestIdClaim;
use crate::metrics::{CloseReason, Counter};
use crate::net::messages::{
    ConnectionRequest, RESTORE_TIMEOUT, SESSION_COMMAND_QUEUE, SessionEvent, to_span,
};
use crate::net::pending_clients::{PendingSlot, SessionPermit};
use crate::net::rate_limited_log::RateLimitedLog;

static LIMIT_REJECTIONS: RateLimitedLog = RateLimitedLog::new("clients");

/// An admitted request with the permit and the id claim that it has until its session ends.
struct Admission {
    open: Box<Open>,
    permit: SessionPermit,
    id_claim: RequestIdClaim,
}

/// The rejection of a request without a session: the counter to increment and the answer to the client.
struct Rejection {
    counter: Counter,
    answer: Bytes,
}

impl Frontend {
    /// Serves one client until its connection ends. The client has its slot until it has a session or its
    /// connection is closed.
    pub async fn serve_client(self, client: TcpStream, mut slot: PendingSlot) {
        let mut client = LineConnection::new(client);
        let mut side = ClientSide::default();
        let activity = slot.activity_notifier();
        let first_line = tokio::select! {
            biased;
            first_line = read_first_line(&mut client, &mut side, &activity) => first_line,
            () = slot.evicted() => return self.evict(client).await,
        };
        let last_line = match first_line {
            FirstLine::Open(open) => match self.admit(open) {
                Ok(admission) => {
                    drop(slot);
                    return self.run_session(client, side, admission).await;
                }
                Err(answer) => answer,
            },
            FirstLine::Invalid(error) => self.answer_client_error(&error),
            // A request that the client sends at this moment is answered by the same line.
            FirstLine::OnlyPinged => {
                self.event_loop.count_closed(CloseReason::NoRequest);
                busy(DEFAULT_RETRY_AFTER)
            }
            FirstLine::Closed => return self.event_loop.count_closed(CloseReason::NoRequest),
        };
        tokio::select! {
            biased;
            () = self.finish_client(client, &last_line) => {}
            () = slot.evicted() => {}
        }
    }

    /// Answers an evicted client, which has not sent a complete first line, with `BUSY` and closes its
    /// connection. When descriptors are short, at most a few clients are closed gracefully at a time, and the
    /// others immediately. During shutdown no other client needs the descriptor, and all are closed
    /// gracefully.
    async fn evict(&self, client: LineConnection) {
        let stopping = self.pending_clients.is_closed();
        let graceful_close = if stopping { None } else { self.pending_clients.try_acquire_graceful_close() };
        if graceful_close.is_none() && !stopping {
            self.event_loop.count_closed(CloseReason::EvictedImmediately);
            return client.close_immediately(&busy(DEFAULT_RETRY_AFTER));
        }
        let reason = if stopping { CloseReason::ProcessStopped } else { CloseReason::Evicted };
        self.event_loop.count_closed(reason);
        self.finish_client(client, &busy(DEFAULT_RETRY_AFTER)).await;
        drop(graceful_close);
    }

    /// Checks whether the client may have a session, and counts a rejection.
    ///
    /// # Errors
    ///
    /// Returns the answer to a client that may not have one.
    fn admit(&self, open: Box<Open>) -> Result<Admission, Bytes> {
        let class = open.class.clone();
        self.check_admission(open).map_err(|rejection| {
            self.event_loop.count(rejection.counter, &class);
            rejection.answer
        })
    }

    fn check_admission(&self, open: Box<Open>) -> Result<Admission, Rejection> {
        let invalid =
            |error| Rejection { counter: Counter::Failed, answer: self.answer_client_error(&error) };
        if open.restored_server.is_some() && self.pending_clients.restore_phase_is_over() {
            return Err(invalid(ClientError::RestoreAfterStart));
        }
        if self.open_ids.was_used(&open.id) {
            return Err(invalid(ClientError::UsedId));
        }
        let Some(id_claim) = self.open_ids.claim(&open.id) else {
            return Err(invalid(ClientError::DuplicateId));
        };
        let Some(permit) = self.pending_clients.try_acquire_session() else {
            LIMIT_REJECTIONS.log("session limit reached; rejecting a client with BUSY");
            return Err(Rejection { counter: Counter::Rejected, answer: busy(DEFAULT_RETRY_AFTER) });
        };
        Ok(Admission { open, permit, id_claim })
    }

    /// Reports the request to the event loop, and runs its session until it ends.
    async fn run_session(self, client: LineConnection, side: ClientSide, admission: Admission) {
        let Admission { open, permit, id_claim } = admission;
        let id = self.event_loop.next_request_id();
        let (sender, commands) = mpsc::channel(SESSION_COMMAND_QUEUE);
        let client_timeout = to_span(open.client_timeout.unwrap_or(RESTORE_TIMEOUT));
        let request = ConnectionRequest { client_timeout, ..connection_request(&open) };
        let event = match &open.restored_server {
            Some(server) => {
                SessionEvent::RestoreRequested { id, request, server: server.clone(), commands: sender }
            }
            None => SessionEvent::ConnectionRequested { id, request, commands: sender },
        };
        self.event_loop.send(event).await;
        let session = Session {
            id,
            open: *open,
            client,
            side,
            early_lines: BytesMut::new(),
            commands,
            frontend: self,
            id_claim,
        };
        session.run().await;
        drop(permit);
    }
}
