//! A model of the session driver (`src/net/session`): the front end of one client.
//!
//! It handles commands of the engine and events of its server and its client. It has no clock and does no
//! I/O, but returns actions for the simulation to perform.

use std::time::Duration;

use ashtide::engine::FinalAnswer;
use ashtide::{Outcome, ServerId, Span};
use ashtide_protocol::{ClientEvent, ClientSide, Open, ServerEvent, ServerSide};
use bytes::Bytes;

use super::faults::Fault;
use super::history::ClientAnswer;

/// A command from the engine to a front end.
#[derive(Debug, Clone, PartialEq)]
pub enum FrontendCommand {
    /// Connects to a server for an attempt.
    Attempt { attempt: u32, server: ServerId, timeout: Span },
    /// Closes the connection of an attempt that is not established.
    Close { attempt: u32 },
    /// Permits the first byte of an attempt.
    SendFirstByte { attempt: u32 },
    /// Confirms an accepted attempt: the front end forwards `UP` to the client.
    ForwardAccepted { attempt: u32 },
    /// Sends the final answer of the engine to the client.
    Answer(FinalAnswer),
    /// Migrates the client: ends its session, or cancels an attempt that the server has not accepted.
    Migrate,
    /// Passes the established connection to this server to the successor process.
    HandOff(ServerId),
}

/// An event that a front end reports to its engine. The numbers are those of attempts.
#[derive(Debug, Clone, PartialEq)]
pub enum FrontendEvent {
    /// The connection to the server is open.
    Connected(u32),
    /// The server has accepted the request of this attempt with `UP`.
    Accepted(u32),
    /// The attempt or its established connection has ended.
    Ended(u32, Outcome),
    /// The client has left before it was served.
    ClientLeft,
    /// The client has sent a message on an established connection.
    ClientMessage,
    /// The server has sent a message on an established connection.
    ServerMessage,
    /// A load report of the server.
    Load(f64),
}

/// An action that the simulation performs for a front end. The numbers are those of attempts.
#[derive(Debug, Clone, PartialEq)]
pub enum FrontendAction {
    /// The front end reports an event to the engine.
    Report(FrontendEvent),
    /// The front end connects to a server.
    Connect(u32, ServerId),
    /// The front end writes the first byte of the request.
    FirstByte(u32),
    /// The front end has written the last byte of the request.
    LastByte(u32),
    /// The front end closes the server's socket, with the outcome of the attempt or connection. The outcome
    /// is `None` if the front end reports no end to the engine.
    Close(u32, Option<Outcome>),
    /// The front end sends the final answer to the client.
    FinalAnswer(ClientAnswer),
    /// The connection is established.
    Established(u32),
    /// The front end passes the connection to the successor process.
    HandOff(ServerId),
    /// The session of the client has ended.
    Finished,
}

/// An event on the connection to a server.
#[derive(Debug, Clone, PartialEq)]
pub enum ConnectionEvent {
    /// The connection is open.
    Connected,
    /// The server has refused the connection.
    Refused,
    /// The last byte of the request is written.
    Written,
    /// The connection is reset.
    Reset,
    /// The server has sent a line.
    Line(Bytes),
}

/// The stage of the connection to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionStage {
    /// The connection is not open yet.
    Connecting,
    /// The connection is open, and the engine has not permitted the first byte yet.
    AwaitingPermission,
    /// The first byte of the request is written, but not the last one.
    Writing,
    /// The request is written, and the server has not responded yet.
    Written,
    /// The server has accepted the request, but the engine has not confirmed that yet.
    Accepted,
    /// The front end has forwarded `UP` to the client.
    Established,
}

/// The connection of an attempt.
#[derive(Debug)]
struct ServerConnection {
    attempt: u32,
    server: ServerId,
    stage: ConnectionStage,
    side: ServerSide,
    /// Whether the connection was reset, which the front end detects at its next write or read.
    reset_pending: bool,
}

/// The simulated front end of one client.
pub struct SimulatedFrontend {
    /// The request line of the client.
    pub open: Open,
    side: ClientSide,
    connection: Option<ServerConnection>,
    finished: bool,
    fault: Option<Fault>,
}

impl SimulatedFrontend {
    /// Returns the front end of a client that has sent this line, or `None` if the line is not a valid `OPEN`
    /// line.
    pub fn new(line: Bytes, fault: Option<Fault>) -> Option<Self> {
        let mut side = ClientSide::default();
        let ClientEvent::Open(open) = side.line(line) else { return None };
        Some(Self { open: *open, side, connection: None, finished: false, fault })
    }

    /// Returns the front end of a connection that the predecessor process has handed off.
    pub fn established(open: Open, server: ServerId, fault: Option<Fault>) -> Self {
        let mut side = ClientSide::default();
        side.set_established();
        let connection = ServerConnection {
            attempt: 0,
            server,
            stage: ConnectionStage::Established,
            side: ServerSide::established(),
            reset_pending: false,
        };
        Self { open, side, connection: Some(connection), finished: false, fault }
    }

    /// Returns the time that the client waits for its answer, or zero if its line gives none.
    pub fn client_timeout(&self) -> Duration {
        self.open.client_timeout.unwrap_or_default()
    }

    pub fn is_finished(&self) -> bool {
        self.finished
    }

    pub fn is_established(&self) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.stage == ConnectionStage::Established)
    }

    /// Returns the number of the attempt that has a socket, and its server.
    pub fn current_attempt(&self) -> Option<(u32, ServerId)> {
        self.connection.as_ref().map(|connection| (connection.attempt, connection.server))
    }

    /// Checks whether the front end reads lines of the server at present.
    pub fn is_reading_from_server(&self) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.stage != ConnectionStage::Accepted)
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    fn close_connection(&mut self, outcome: Option<Outcome>, actions: &mut Vec<FrontendAction>) {
        if let Some(connection) = self.connection.take() {
            actions.push(FrontendAction::Close(connection.attempt, outcome));
        }
    }

    /// Ends the attempt or its established connection because of the server, the network or the client.
    fn handle_connection_end(&mut self, outcome: Outcome, actions: &mut Vec<FrontendAction>) {
        let Some((attempt, _)) = self.current_attempt() else { return };
        let was_established = self.is_established();
        self.close_connection(Some(outcome), actions);
        let reported = match outcome {
            Outcome::Reset if self.has_fault(Fault::ResetReportedAsConnectError) => Outcome::ConnectError,
            outcome => outcome,
        };
        actions.push(FrontendAction::Report(FrontendEvent::Ended(attempt, reported)));
        if was_established {
            self.finish(actions);
        }
    }

    /// Ends the session of the client.
    fn finish(&mut self, actions: &mut Vec<FrontendAction>) {
        self.finished = true;
        actions.push(FrontendAction::Finished);
    }

    /// Handles a command of the engine.
    pub fn handle_command(&mut self, command: FrontendCommand, actions: &mut Vec<FrontendAction>) {
        if self.finished {
            return;
        }
        let current_attempt =
            self.connection.as_ref().map(|connection| (connection.attempt, connection.stage));
        match (command, current_attempt) {
            (FrontendCommand::Attempt { attempt, server, .. }, None) => {
                let side = ServerSide::default();
                self.connection = Some(ServerConnection {
                    attempt,
                    server,
                    stage: ConnectionStage::Connecting,
                    side,
                    reset_pending: false,
                });
                actions.push(FrontendAction::Connect(attempt, server));
            }
            (FrontendCommand::Answer(answer), None) => {
                actions.push(FrontendAction::FinalAnswer(match answer {
                    FinalAnswer::Rejected(_) => ClientAnswer::Rejected,
                    FinalAnswer::Failed => ClientAnswer::Failed,
                }));
                self.finish(actions);
            }
            (FrontendCommand::Migrate, None) => self.finish(actions),
            (FrontendCommand::Close { attempt }, Some((number, stage)))
                if number == attempt && stage != ConnectionStage::Established =>
            {
                self.close_connection(None, actions);
            }
            (
                FrontendCommand::SendFirstByte { attempt },
                Some((number, ConnectionStage::AwaitingPermission)),
            ) if number == attempt => {
                self.send_first_byte(actions);
            }
            (FrontendCommand::ForwardAccepted { attempt }, Some((number, ConnectionStage::Accepted)))
                if number == attempt =>
            {
                let connection = self.connection.as_mut().expect("an accepted connection");
                connection.stage = ConnectionStage::Established;
                let is_reset = connection.reset_pending;
                self.side.set_established();
                actions.push(FrontendAction::FinalAnswer(ClientAnswer::Served));
                if self.has_fault(Fault::AnswersServedClient) {
                    actions.push(FrontendAction::FinalAnswer(ClientAnswer::Failed));
                }
                if is_reset {
                    return self.handle_connection_end(Outcome::Reset, actions);
                }
                actions.push(FrontendAction::Established(attempt));
            }
            (FrontendCommand::Migrate, Some((_, ConnectionStage::Established))) => {
                self.close_connection(None, actions);
                self.finish(actions);
            }
            (FrontendCommand::Migrate, Some((_, stage))) if stage != ConnectionStage::Accepted => {
                self.handle_connection_end(Outcome::Cancelled, actions);
            }
            (FrontendCommand::HandOff(server), Some((_, ConnectionStage::Established))) => {
                self.close_connection(None, actions);
                actions.push(FrontendAction::HandOff(server));
                self.finish(actions);
            }
            // Commands for an attempt that has ended are ignored.
            _ => {}
        }
    }

    fn send_first_byte(&mut self, actions: &mut Vec<FrontendAction>) {
        let connection = self.connection.as_mut().expect("an open connection");
        if connection.reset_pending {
            let outcome = connection.side.ending().into();
            return self.handle_connection_end(outcome, actions);
        }
        connection.stage = ConnectionStage::Writing;
        actions.push(FrontendAction::FirstByte(connection.attempt));
    }

    /// Handles an event on the connection of this attempt.
    pub fn handle_connection_event(
        &mut self,
        attempt: u32,
        event: ConnectionEvent,
        actions: &mut Vec<FrontendAction>,
    ) {
        let Some(connection) = self.connection.as_mut().filter(|connection| connection.attempt == attempt)
        else {
            return;
        };
        match (event, connection.stage) {
            (ConnectionEvent::Connected, ConnectionStage::Connecting) => {
                connection.stage = ConnectionStage::AwaitingPermission;
                if self.has_fault(Fault::WritesWithoutPermission) {
                    return self.send_first_byte(actions);
                }
                actions.push(FrontendAction::Report(FrontendEvent::Connected(attempt)));
            }
            (ConnectionEvent::Refused, ConnectionStage::Connecting) => {
                self.handle_connection_end(Outcome::ConnectError, actions)
            }
            (ConnectionEvent::Written, ConnectionStage::Writing) => {
                connection.stage = ConnectionStage::Written;
                connection.side.set_request_written();
                actions.push(FrontendAction::LastByte(attempt));
                if self.has_fault(Fault::ContinuesEndedAttempt) {
                    self.connection = None;
                    actions
                        .push(FrontendAction::Report(FrontendEvent::Ended(attempt, Outcome::ConnectError)));
                }
            }
            (
                ConnectionEvent::Reset,
                ConnectionStage::Connecting | ConnectionStage::AwaitingPermission | ConnectionStage::Accepted,
            ) => connection.reset_pending = true,
            (ConnectionEvent::Reset, _) => {
                let outcome = connection.side.ending().into();
                self.handle_connection_end(outcome, actions);
            }
            (ConnectionEvent::Line(line), ConnectionStage::Written) => match connection.side.line(line) {
                ServerEvent::Up(_) => {
                    connection.stage = ConnectionStage::Accepted;
                    actions.push(FrontendAction::Report(FrontendEvent::Accepted(attempt)));
                }
                ServerEvent::AttemptEnded(ending) => self.handle_connection_end(ending.into(), actions),
                _ => self.handle_connection_end(Outcome::Failed, actions),
            },
            (ConnectionEvent::Line(line), ConnectionStage::Established) => match connection.side.line(line) {
                ServerEvent::Load(_, load) => actions.push(FrontendAction::Report(FrontendEvent::Load(load))),
                ServerEvent::FinalLine(_) => {
                    let outcome = connection.side.ending().into();
                    self.handle_connection_end(outcome, actions);
                }
                _ => actions.push(FrontendAction::Report(FrontendEvent::ServerMessage)),
            },
            _ => {}
        }
    }

    /// Handles a line of the client.
    pub fn handle_client_line(&mut self, line: Bytes, actions: &mut Vec<FrontendAction>) {
        if self.finished {
            return;
        }
        match self.side.line(line) {
            ClientEvent::Forward(_) if self.is_established() => {
                actions.push(FrontendAction::Report(FrontendEvent::ClientMessage))
            }
            ClientEvent::Forward(_) => {}
            // A further `OPEN`, a ping or a malformed line before the answer ends the session: the request
            // fails.
            ClientEvent::Invalid(_) | ClientEvent::Ping | ClientEvent::Open(_) => {
                self.close_connection(None, actions);
                actions.extend([
                    FrontendAction::Report(FrontendEvent::ClientLeft),
                    FrontendAction::FinalAnswer(ClientAnswer::Failed),
                ]);
                self.finish(actions);
            }
        }
    }

    /// Handles the departure of the client.
    pub fn handle_client_departure(&mut self, actions: &mut Vec<FrontendAction>) {
        if self.finished {
            return;
        }
        if self.is_established() {
            return self.handle_connection_end(Outcome::Cancelled, actions);
        }
        self.close_connection(None, actions);
        actions.push(FrontendAction::Report(FrontendEvent::ClientLeft));
        self.finish(actions);
    }
}
