//! The way of one client up to its session: its first line, and whether it may have what it asks for.

use ashtide_protocol::{ClientSide, Open, busy};
use bytes::{Bytes, BytesMut};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::attempt::{RESTORE_TIMEOUT, Session};
use super::connection::LineConnection;
use super::first_line::{ClientError, FirstLine, read_first_line};
use super::frontend::{DEFAULT_RETRY_AFTER, Frontend, connection_request};
use crate::engine::open_ids::RequestIdClaim;
use crate::metrics::{CloseReason, Counter};
use crate::net::messages::{ConnectionRequest, SESSION_COMMAND_QUEUE, SessionEvent, to_span};
use crate::net::pending_clients::{PendingSlot, SessionPermit};
use crate::net::rate_limited_log::RateLimitedLog;

static LIMIT_REJECTIONS: RateLimitedLog = RateLimitedLog::new("clients");

/// A request that may have a session, and what it holds until its end.
struct Admission {
    open: Box<Open>,
    permit: SessionPermit,
    id_claim: RequestIdClaim,
}

/// A request that gets no session: how it is counted, and its answer.
struct Rejection {
    counter: Counter,
    answer: Bytes,
}

impl Frontend {
    /// Serves one client to its end. Its slot is kept until it has a session or has gone.
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
            // It may ask at this very moment: what it reads then is an answer, and harmless.
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

    /// Sends a client away that has not asked yet. Where another client needs its descriptor, few are waited for; at a
    /// stop none does, and all are.
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

    /// Whether the client may have a session; the answer where it may not.
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
        if open.at.is_some() && self.pending_clients.restore_phase_is_over() {
            return Err(invalid(ClientError::RestoreAfterStart));
        }
        let Some(id_claim) = self.open_ids.claim(&open.id) else {
            return Err(invalid(ClientError::DuplicateId));
        };
        let Some(permit) = self.pending_clients.try_acquire_session() else {
            LIMIT_REJECTIONS.log("all sessions are in use; rejecting a client");
            return Err(Rejection { counter: Counter::Rejected, answer: busy(DEFAULT_RETRY_AFTER) });
        };
        Ok(Admission { open, permit, id_claim })
    }

    /// Reports the request, and runs its session to its end.
    async fn run_session(self, client: LineConnection, side: ClientSide, admission: Admission) {
        let Admission { open, permit, id_claim } = admission;
        let id = self.event_loop.next_request_id();
        let (sender, commands) = mpsc::channel(SESSION_COMMAND_QUEUE);
        let client_timeout = to_span(open.wait.unwrap_or(RESTORE_TIMEOUT));
        let request = ConnectionRequest { client_timeout, ..connection_request(&open) };
        let event = match &open.at {
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
