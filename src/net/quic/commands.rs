//! Handling of commands from the event loop.

use std::net::SocketAddr;

use super::QuicFrontend;
use super::flow::FlowState;
use crate::decision::interface::{Outcome, RequestId};
use crate::engine::FinalAnswer;
use crate::metrics::Counter;
use crate::net::messages::SessionCommand;
use crate::quic::initial::{CONNECTION_REFUSED, INTERNAL_ERROR};

impl QuicFrontend {
    /// Handles a command for a connection.
    pub(super) async fn handle_command(&mut self, id: RequestId, command: SessionCommand) {
        if self.flows.get(id).is_none() {
            return;
        }
        match command {
            SessionCommand::StartAttempt { attempt, address, .. } => {
                self.start_attempt(id, attempt, address).await;
            }
            // Nothing to do: an attempt has no connection before its first packet, and client and server
            // complete the handshake themselves.
            SessionCommand::SendFirstLine { .. } | SessionCommand::ConfirmEstablished { .. } => {}
            SessionCommand::CancelAttempt { attempt } => self.cancel_attempt(id, attempt),
            SessionCommand::Answer(answer) => self.answer(id, answer).await,
            // The paths are sockets of this process only, so the connection cannot be handed off and is
            // reset.
            SessionCommand::Migrate | SessionCommand::HandOff { .. } => self.reset_flow(id).await,
        }
    }

    async fn start_attempt(&mut self, id: RequestId, attempt: u32, server: SocketAddr) {
        let Some(flow) = self.flows.get_mut(id) else { return };
        let datagrams = flow.start_attempt(attempt, server);
        let client = flow.client;
        let is_new_connection = flow.initial_ids.is_some();
        if !self.open_path(id, client).await {
            // This process has no socket or path left, which is no evidence against the server.
            return self.end_attempt(id, attempt, Outcome::LocalFailure).await;
        }
        for datagram in datagrams {
            self.send_to_server(id, client, &datagram).await;
        }
        if is_new_connection {
            self.event_loop.count(Counter::Attempts, &self.config.class);
        }
    }

    fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let Some(flow) = self.flows.get_mut(id) else { return };
        if flow.attempt() == Some(attempt) {
            flow.state = FlowState::Waiting;
            self.flows.close_paths(id);
        }
    }

    /// Sends a rejection or a failure to a client as its final answer. An established connection is reset.
    async fn answer(&mut self, id: RequestId, answer: FinalAnswer) {
        let Some(flow) = self.flows.get(id) else { return };
        let client = flow.client;
        let Some(initial_ids) = flow.initial_ids else { return self.reset_flow(id).await };
        let (counter, code, reason) = match answer {
            FinalAnswer::Rejected(retry_after) => {
                let reason = format!("BUSY {}", retry_after.as_micros() / 1000);
                (Counter::Rejected, CONNECTION_REFUSED, reason)
            }
            FinalAnswer::Failed => (Counter::Failed, INTERNAL_ERROR, "ERR".to_owned()),
        };
        self.event_loop.count(counter, &self.config.class);
        self.connection_ids.close_connection(id);
        self.flows.remove(id);
        self.reject_initial(initial_ids, client, code, &reason).await;
    }
}
