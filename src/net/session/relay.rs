//! The relay of an established connection. It copies lines in both directions until either side ends or the
//! event loop commands a migration or a handoff.

use ashtide_protocol::{LineError, MOVE, ServerEvent, ServerSide};
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;

use super::attempt::{EstablishedServer, Session};
use super::connection::{Input, LineConnection, complete_line};
use super::frontend::CLIENT_ERRORS;
use crate::decision::interface::Outcome;
use crate::metrics::Counter;
use crate::net::messages::{RequestCommand, SessionCommand, SessionEvent};

/// Bytes still to be written to each side, and the progress of both sides.
struct RelayState {
    server_side: ServerSide,
    to_client: Bytes,
    to_server: Bytes,
    /// Whether the server's last line has been read.
    server_finished: bool,
    /// Whether writing to the client has failed. Lines that it sent before may still be unread.
    client_gone: bool,
    /// Whether the `UP` line has been written to the client completely.
    client_informed: bool,
}

/// Reason for which copying stops.
enum RelayStop {
    Ended(RelayEnd),
    HandOff { server: String },
}

/// End of a relay that is not handed off.
enum RelayEnd {
    ClientClosed,
    ClientReset,
    ServerEnded(Outcome),
    Migrated,
}

impl RelayEnd {
    /// Returns the outcome to report for the connection, or `None` if the event loop has ended it.
    fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::ClientClosed | Self::ClientReset => Some(Outcome::Cancelled),
            Self::ServerEnded(outcome) => Some(*outcome),
            Self::Migrated => None,
        }
    }
}

impl RelayState {
    fn server_ended(&self) -> RelayStop {
        RelayStop::Ended(RelayEnd::ServerEnded(self.server_side.ending().into()))
    }

    fn handle_client_input(&mut self, input: Input) -> Option<RelayStop> {
        let end = match input {
            Input::Line(Some(Ok(line))) => {
                self.to_server = line;
                return None;
            }
            Input::Line(None) if self.client_gone => RelayEnd::ClientReset,
            Input::Line(None) => RelayEnd::ClientClosed,
            Input::Reset | Input::Line(Some(Err(LineError::Io(_)))) => RelayEnd::ClientReset,
            Input::Line(Some(Err(error))) => {
                CLIENT_ERRORS.log(error);
                RelayEnd::ClientClosed
            }
        };
        Some(RelayStop::Ended(end))
    }

    fn handle_command(&self, command: Option<RequestCommand>) -> Option<RelayStop> {
        match command.map(|command| command.command) {
            Some(SessionCommand::Migrate) | None => Some(RelayStop::Ended(RelayEnd::Migrated)),
            // The server has sent its last line, so the connection needs no handoff.
            Some(SessionCommand::HandOff { .. }) if self.server_finished => Some(self.server_ended()),
            Some(SessionCommand::HandOff { server }) => Some(RelayStop::HandOff { server }),
            Some(_) => None,
        }
    }
}

impl Session {
    /// Relays until either side ends or the event loop ends the relay. `client_informed` states whether the
    /// client has received the `UP` line already.
    pub(super) async fn relay(mut self, attempt: u32, server: EstablishedServer, client_informed: bool) {
        let EstablishedServer { connection: mut server, side, accept_line } = server;
        self.side.set_established();
        let mut state = RelayState {
            server_side: side,
            to_client: accept_line,
            to_server: self.early_lines.split().freeze(),
            server_finished: false,
            client_gone: false,
            client_informed,
        };
        let stop = loop {
            if state.server_finished && state.to_client.is_empty() {
                break state.server_ended();
            }
            let can_read_server = state.to_client.is_empty() && !state.server_finished && !state.client_gone;
            let can_read_client = state.to_server.is_empty();
            let stop = tokio::select! {
                written = self.client.writer.write_buf(&mut state.to_client), if !state.to_client.is_empty() => {
                    self.handle_client_write(&mut state, written.is_ok());
                    None
                }
                written = server.writer.write_buf(&mut state.to_server), if !state.to_server.is_empty() => {
                    self.handle_server_write(&state, written.is_ok()).await
                }
                line = server.lines.next(), if can_read_server => self.handle_server_line(&mut state, line).await,
                input = LineConnection::next_input(&mut self.client.lines, can_read_client) => {
                    state.handle_client_input(input)
                }
                command = self.commands.recv() => state.handle_command(command),
            };
            if let Some(stop) = stop {
                break stop;
            }
        };
        match stop {
            RelayStop::Ended(end) => self.end_relay(attempt, server, state, end).await,
            RelayStop::HandOff { server: name } => {
                self.hand_off(name, server, state.to_client, state.to_server).await;
            }
        }
    }

    fn handle_client_write(&self, state: &mut RelayState, written: bool) {
        if !written {
            state.client_gone = true;
            state.to_client = Bytes::new();
        } else if !state.client_informed && state.to_client.is_empty() {
            state.client_informed = true;
            self.count(Counter::Established);
        }
    }

    async fn handle_server_write(&self, state: &RelayState, written: bool) -> Option<RelayStop> {
        if !written {
            return Some(state.server_ended());
        }
        if state.to_server.is_empty() {
            self.send(SessionEvent::MessageForwarded { id: self.id, answer_due: true }).await;
        }
        None
    }

    async fn handle_server_line(
        &self,
        state: &mut RelayState,
        line: Option<Result<Bytes, LineError>>,
    ) -> Option<RelayStop> {
        let Some(Ok(line)) = line else { return Some(state.server_ended()) };
        match state.server_side.line(line) {
            ServerEvent::Load(line, load) => {
                state.to_client = line;
                self.send(SessionEvent::LoadReported { id: self.id, load }).await;
            }
            ServerEvent::FinalLine(line) => {
                state.to_client = line;
                state.server_finished = true;
            }
            ServerEvent::Forward(line) | ServerEvent::Up(line) => {
                state.to_client = line;
                self.send(SessionEvent::ServerResponded { id: self.id }).await;
            }
            ServerEvent::AttemptEnded(_) => {}
        }
        None
    }

    /// Ends both sides. The server's side is ended first, before the id becomes available to another request
    /// and before the end is reported to the event loop. If the server may have sent data that is no longer
    /// read, only the sending side is shut down at first, as a reset would discard the client's last line.
    async fn end_relay(self, attempt: u32, mut server: LineConnection, state: RelayState, end: RelayEnd) {
        let Self { id, client, frontend, id_claim, .. } = self;
        let draining = match end {
            RelayEnd::ClientReset => {
                server.reset();
                None
            }
            RelayEnd::ClientClosed | RelayEnd::Migrated => {
                let _ = server.writer.shutdown().await;
                Some(server)
            }
            RelayEnd::ServerEnded(_) => {
                drop(server);
                None
            }
        };
        drop(id_claim);
        if let Some(outcome) = end.outcome() {
            frontend.event_loop.send(SessionEvent::AttemptEnded { id, attempt, outcome }).await;
        }
        let drain_server = async {
            if let Some(server) = draining {
                server.discard_input().await;
            }
        };
        let last_line: &[u8] = match end {
            RelayEnd::ClientClosed | RelayEnd::ClientReset => {
                drop(client);
                return drain_server.await;
            }
            // If the server failed, `MOVE` makes the client reconnect soon.
            RelayEnd::ServerEnded(outcome) if !state.server_finished && outcome != Outcome::Ok => MOVE,
            RelayEnd::ServerEnded(_) => b"",
            RelayEnd::Migrated => MOVE,
        };
        let last_bytes = complete_line(state.to_client, last_line);
        tokio::join!(frontend.finish_client(client, &last_bytes), drain_server);
    }
}
