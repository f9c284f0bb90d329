//! Handling of the events of sessions: requests, attempts and connections.

use std::collections::BTreeMap;

use tokio::sync::mpsc;
use tracing::info;

use super::EventLoop;
use crate::decision::interface::*;
use crate::engine::{Command, FinalAnswer};
use crate::net::messages::{
    CommandSender, ConnectionRequest, RequestCommand, SessionCommand, SessionEvent, to_span,
};
use crate::settings::group_id;

/// The number of the only attempt made to restore a connection that existed before the start.
const RESTORE_ATTEMPT: u32 = 0;

/// The command queues of all sessions, by request.
#[derive(Default)]
pub(super) struct SessionTable {
    senders: BTreeMap<RequestId, CommandSender>,
}

impl SessionTable {
    pub(super) fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

    fn insert(&mut self, id: RequestId, commands: CommandSender) {
        self.senders.insert(id, commands);
    }

    fn remove(&mut self, id: RequestId) {
        self.senders.remove(&id);
    }

    pub(super) fn send(&self, id: RequestId, command: SessionCommand) {
        let Some(sender) = self.senders.get(&id) else { return };
        if let Err(error) = sender.try_send(RequestCommand { id, command }) {
            // A closed queue belongs to a session that has just ended, whose last event is still queued.
            if matches!(error, mpsc::error::TrySendError::Full(_)) {
                info!("session: command queue of request {} is full; the command is dropped", id.0);
            }
        }
    }
}

/// The request and the server of a restored or adopted connection, in the engine's form.
struct KnownConnection {
    request: Request,
    server: ServerId,
}

impl EventLoop {
    pub(super) fn handle_session_event(&mut self, now: Time, event: SessionEvent) {
        match event {
            SessionEvent::ConnectionRequested { id, request, commands } => {
                self.handle_connection_requested(now, id, &request, commands);
            }
            SessionEvent::RestoreRequested { id, request, server, commands } => {
                self.sessions.insert(id, commands);
                self.restore_connection(now, id, request, server);
            }
            SessionEvent::ConnectionAdopted { id, request, server, commands } => {
                self.sessions.insert(id, commands);
                self.adopt_connection(now, id, &request, &server);
            }
            SessionEvent::AttemptConnected { id, attempt } => {
                if self.engine.may_send_first_byte(now, id, attempt, &mut self.commands) {
                    self.sessions.send(id, SessionCommand::SendFirstLine { attempt });
                }
            }
            SessionEvent::AttemptEstablished { id, attempt } => {
                if self.engine.handle_established(now, id, attempt, &mut self.commands) {
                    self.sessions.send(id, SessionCommand::ConfirmEstablished { attempt });
                }
            }
            SessionEvent::AttemptEnded { id, attempt, outcome } => {
                self.handle_attempt_ended(now, id, attempt, outcome);
            }
            SessionEvent::ClientLeft { id } => {
                self.engine.handle_client_left(now, id, &mut self.commands);
                self.pending_restores.remove(id);
                self.remove_session(id);
            }
            SessionEvent::MessageForwarded { id, answer_due } => {
                self.engine.handle_client_message(now, id, answer_due);
            }
            SessionEvent::ServerResponded { id } => self.engine.handle_server_message(now, id),
            SessionEvent::LoadReported { id, load } => {
                self.engine.handle_load_report(now, id, load, &mut self.commands);
            }
        }
    }

    fn handle_connection_requested(
        &mut self,
        now: Time,
        id: RequestId,
        requested: &ConnectionRequest,
        commands: CommandSender,
    ) {
        self.sessions.insert(id, commands);
        let Some(request) = self.build_request(id, requested) else {
            return self.commands.push(Command::Answer { id, answer: FinalAnswer::Failed });
        };
        match self.quota.admit(id, requested) {
            Ok(()) => self.engine.handle_request(now, request, &mut self.commands),
            Err(wait) => {
                let answer = FinalAnswer::Rejected(to_span(wait).min(self.max_retry_after));
                self.commands.push(Command::Answer { id, answer });
            }
        }
    }

    /// Restores a connection with a server. A server that is not listed may be new to this process, so the
    /// request waits until discovery has confirmed the list.
    pub(super) fn restore_connection(
        &mut self,
        now: Time,
        id: RequestId,
        requested: ConnectionRequest,
        server: String,
    ) {
        if self.find_listed(&server).is_none() && !self.endpoints.is_confirmed() {
            return self.pending_restores.insert(id, requested, server);
        }
        match self.register_connection(id, &requested, &server) {
            Some(KnownConnection { request, server }) => {
                let timeout = request.time_left;
                self.engine.handle_existing_connection(now, request, server, &mut self.commands);
                self.commands.push(Command::Attempt { id, attempt: RESTORE_ATTEMPT, server, timeout });
            }
            None => self.commands.push(Command::Answer { id, answer: FinalAnswer::Failed }),
        }
    }

    fn adopt_connection(&mut self, now: Time, id: RequestId, requested: &ConnectionRequest, server: &str) {
        match self.register_connection(id, requested, server) {
            Some(KnownConnection { request, server }) => {
                self.engine.adopt_connection(now, request, server, &mut self.commands);
            }
            None => self.commands.push(Command::Migrate { id }),
        }
    }

    /// Returns the id of a server that is or was on the endpoint list.
    pub(super) fn find_listed(&self, server: &str) -> Option<ServerId> {
        let server = self.names.servers.find(server).map(ServerId)?;
        self.endpoints.was_listed(server).then_some(server)
    }

    fn handle_attempt_ended(&mut self, now: Time, id: RequestId, attempt: u32, outcome: Outcome) {
        if !matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
            self.log_server_fault(id, attempt, outcome);
        }
        if outcome == Outcome::QueueFull {
            self.quota.record_rejection();
        }
        self.engine.handle_attempt_end(now, id, attempt, outcome, &mut self.commands);
        // An ended connection needs no more commands, but a request whose final answer is pending needs that
        // one.
        if !self.engine.has_request(id) && !self.has_pending_answer(id) {
            self.remove_session(id);
        }
    }

    /// Checks whether a final answer to this request is still to be sent.
    fn has_pending_answer(&self, id: RequestId) -> bool {
        let is_answer =
            |command: &Command| matches!(command, Command::Answer { id: answered, .. } if *answered == id);
        self.commands.iter().any(is_answer)
    }

    /// Counts a restored or adopted connection towards its tenant's quota. Returns the connection in the
    /// engine's form, or `None` if its class or server is not known to this process.
    fn register_connection(
        &mut self,
        id: RequestId,
        requested: &ConnectionRequest,
        server: &str,
    ) -> Option<KnownConnection> {
        let server = self.find_listed(server)?;
        let request = self.build_request(id, requested)?;
        self.quota.adopt_connection(id, requested);
        Some(KnownConnection { request, server })
    }

    fn build_request(&self, id: RequestId, requested: &ConnectionRequest) -> Option<Request> {
        let tenant = requested.tenant.as_deref().and_then(|tenant| self.names.tenants.find(tenant));
        Some(Request {
            id,
            class: ClassId(self.names.classes.find(&requested.class)?),
            tenant: tenant.map(TenantId),
            group: requested.group.as_deref().map(group_id),
            time_left: requested.client_timeout,
            load: requested.expected_load,
        })
    }

    /// Removes a request that has been answered, or whose connection has ended, migrated or been handed off.
    pub(super) fn remove_session(&mut self, id: RequestId) {
        self.sessions.remove(id);
        self.quota.release(id);
    }

    /// Sends the last command of a request, and removes the request.
    pub(super) fn send_last_command(&mut self, id: RequestId, command: SessionCommand) {
        self.sessions.send(id, command);
        self.remove_session(id);
    }
}
