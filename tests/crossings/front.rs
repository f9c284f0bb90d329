//! The front of one client as the session driver is (`src/net/session.rs`): what it does on a command, and on what
//! its server and its client do. It knows no time; what it does comes back as moves for the world to carry out.

use std::time::Duration;

use ashtide::engine::FinalAnswer;
use ashtide::{Outcome, ServerId, Span};
use ashtide_protocol::{ClientEvent, ClientSide, Open, ServerEvent, ServerSide};
use bytes::Bytes;

use super::faults::Fault;
use super::invariants::ClientAnswer;

/// What the core asks of a front.
#[derive(Debug, Clone, PartialEq)]
pub enum FrontendCommand {
    Attempt { attempt: u32, server: ServerId, timeout: Span },
    Close { attempt: u32 },
    SendFirstByte { attempt: u32 },
    ForwardAccepted { attempt: u32 },
    Answer(FinalAnswer),
    Migrate,
    HandOff(ServerId),
}

/// What a front tells its core.
#[derive(Debug, Clone, PartialEq)]
pub enum FrontendEvent {
    Connected(u32),
    Accepted(u32),
    Ended(u32, Outcome),
    ClientLeft,
    ClientMessage,
    ServerMessage,
    Load(f64),
}

/// What a front does.
#[derive(Debug, Clone, PartialEq)]
pub enum FrontendAction {
    Report(FrontendEvent),
    Connect(u32, ServerId),
    FirstByte(u32),
    LastByte(u32),
    /// The server's socket is closed.
    Close(u32, Option<Outcome>),
    FinalAnswer(ClientAnswer),
    /// The client stands here now.
    Established(u32),
    /// The connection goes to the process that succeeds this one.
    HandOff(ServerId),
    /// The client has been told that it is over, or knows.
    Finished,
}

/// What becomes of a dialled connection.
#[derive(Debug, Clone, PartialEq)]
pub enum ConnectionEvent {
    Connected,
    Refused,
    /// The last byte is written.
    Written,
    /// It breaks.
    Reset,
    Line(Bytes),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionStage {
    Connecting,
    AwaitingPermission,
    Writing,
    Written,
    /// The server's line has come, the core has not yet agreed.
    Accepted,
    Established,
}

#[derive(Debug)]
struct ServerConnection {
    attempt: u32,
    server: ServerId,
    stage: ConnectionStage,
    side: ServerSide,
    /// It is broken, which shows once it is written to or read.
    reset_pending: bool,
}

/// One client's front.
pub struct SimulatedFrontend {
    pub open: Open,
    side: ClientSide,
    connection: Option<ServerConnection>,
    finished: bool,
    fault: Option<Fault>,
}

impl SimulatedFrontend {
    /// The front of a client that has said this; none where it is not understood.
    pub fn new(line: Bytes, fault: Option<Fault>) -> Option<Self> {
        let mut side = ClientSide::default();
        let ClientEvent::Open(open) = side.line(line) else { return None };
        Some(Self { open: *open, side, connection: None, finished: false, fault })
    }

    /// The front of a connection that an older process has passed on.
    pub fn established(open: Open, server: ServerId, fault: Option<Fault>) -> Self {
        let (mut side, wire) = (ClientSide::default(), ServerSide::standing());
        side.up();
        let dial = ServerConnection {
            attempt: 0,
            server,
            stage: ConnectionStage::Established,
            side: wire,
            reset_pending: false,
        };
        Self { open, side, connection: Some(dial), finished: false, fault }
    }

    pub fn client_patience(&self) -> Duration {
        self.open.wait.unwrap_or_default()
    }

    pub fn is_finished(&self) -> bool {
        self.finished
    }

    pub fn is_established(&self) -> bool {
        self.connection.as_ref().is_some_and(|it| it.stage == ConnectionStage::Established)
    }

    /// The attempt whose socket is there, and its server.
    pub fn current_attempt(&self) -> Option<(u32, ServerId)> {
        self.connection.as_ref().map(|it| (it.attempt, it.server))
    }

    /// Whether a line of the server would be read now.
    pub fn reads_server(&self) -> bool {
        self.connection.as_ref().is_some_and(|it| it.stage != ConnectionStage::Accepted)
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    fn close_connection(&mut self, outcome: Option<Outcome>, moves: &mut Vec<FrontendAction>) {
        if let Some(dial) = self.connection.take() {
            moves.push(FrontendAction::Close(dial.attempt, outcome));
        }
    }

    /// The attempt, or the connection that came of it, is over by the server's doing or the network's.
    fn handle_connection_end(&mut self, outcome: Outcome, moves: &mut Vec<FrontendAction>) {
        let Some((attempt, _)) = self.current_attempt() else { return };
        let stood = self.is_established();
        self.close_connection(Some(outcome), moves);
        let told = match outcome {
            Outcome::Reset if self.has_fault(Fault::ResetReportedAsConnectError) => Outcome::ConnectError,
            outcome => outcome,
        };
        moves.push(FrontendAction::Report(FrontendEvent::Ended(attempt, told)));
        if stood {
            self.finish(moves);
        }
    }

    fn finish(&mut self, moves: &mut Vec<FrontendAction>) {
        self.finished = true;
        moves.push(FrontendAction::Finished);
    }

    pub fn handle_command(&mut self, command: FrontendCommand, moves: &mut Vec<FrontendAction>) {
        if self.finished {
            return;
        }
        let at = self.connection.as_ref().map(|it| (it.attempt, it.stage));
        match (command, at) {
            (FrontendCommand::Attempt { attempt, server, .. }, None) => {
                let side = ServerSide::default();
                self.connection = Some(ServerConnection {
                    attempt,
                    server,
                    stage: ConnectionStage::Connecting,
                    side,
                    reset_pending: false,
                });
                moves.push(FrontendAction::Connect(attempt, server));
            }
            (FrontendCommand::Answer(answer), None) => {
                moves.push(FrontendAction::FinalAnswer(match answer {
                    FinalAnswer::Rejected(_) => ClientAnswer::Rejected,
                    FinalAnswer::Failed => ClientAnswer::Failed,
                }));
                self.finish(moves);
            }
            (FrontendCommand::Migrate, None) => self.finish(moves),
            (FrontendCommand::Close { attempt }, Some((which, stage)))
                if which == attempt && stage != ConnectionStage::Established =>
            {
                self.close_connection(None, moves);
            }
            (
                FrontendCommand::SendFirstByte { attempt },
                Some((which, ConnectionStage::AwaitingPermission)),
            ) if which == attempt => {
                self.send_first_byte(moves);
            }
            (FrontendCommand::ForwardAccepted { attempt }, Some((which, ConnectionStage::Accepted)))
                if which == attempt =>
            {
                let dial = self.connection.as_mut().expect("just seen");
                dial.stage = ConnectionStage::Established;
                let broken = dial.reset_pending;
                self.side.up();
                moves.push(FrontendAction::FinalAnswer(ClientAnswer::Served));
                if self.has_fault(Fault::AnswersServedClient) {
                    moves.push(FrontendAction::FinalAnswer(ClientAnswer::Failed));
                }
                if broken {
                    return self.handle_connection_end(Outcome::Reset, moves);
                }
                moves.push(FrontendAction::Established(attempt));
            }
            (FrontendCommand::Migrate, Some((_, ConnectionStage::Established))) => {
                self.close_connection(None, moves);
                self.finish(moves);
            }
            (FrontendCommand::Migrate, Some((_, stage))) if stage != ConnectionStage::Accepted => {
                self.handle_connection_end(Outcome::Cancelled, moves);
            }
            (FrontendCommand::HandOff(server), Some((_, ConnectionStage::Established))) => {
                self.close_connection(None, moves);
                moves.push(FrontendAction::HandOff(server));
                self.finish(moves);
            }
            // Of an attempt that is over, or come while another is made: not heard.
            _ => {}
        }
    }

    fn send_first_byte(&mut self, moves: &mut Vec<FrontendAction>) {
        let dial = self.connection.as_mut().expect("something is dialled");
        if dial.reset_pending {
            let outcome = dial.side.end().into();
            return self.handle_connection_end(outcome, moves);
        }
        dial.stage = ConnectionStage::Writing;
        moves.push(FrontendAction::FirstByte(dial.attempt));
    }

    /// Something happens to the connection of this attempt.
    pub fn handle_connection_event(
        &mut self,
        attempt: u32,
        what: ConnectionEvent,
        moves: &mut Vec<FrontendAction>,
    ) {
        let Some(dial) = self.connection.as_mut().filter(|it| it.attempt == attempt) else { return };
        match (what, dial.stage) {
            (ConnectionEvent::Connected, ConnectionStage::Connecting) => {
                dial.stage = ConnectionStage::AwaitingPermission;
                if self.has_fault(Fault::WritesWithoutPermission) {
                    return self.send_first_byte(moves);
                }
                moves.push(FrontendAction::Report(FrontendEvent::Connected(attempt)));
            }
            (ConnectionEvent::Refused, ConnectionStage::Connecting) => {
                self.handle_connection_end(Outcome::ConnectError, moves)
            }
            (ConnectionEvent::Written, ConnectionStage::Writing) => {
                dial.stage = ConnectionStage::Written;
                dial.side.written();
                moves.push(FrontendAction::LastByte(attempt));
                if self.has_fault(Fault::KeepsEndedAttempt) {
                    self.connection = None;
                    moves.push(FrontendAction::Report(FrontendEvent::Ended(attempt, Outcome::ConnectError)));
                }
            }
            (
                ConnectionEvent::Reset,
                ConnectionStage::Connecting | ConnectionStage::AwaitingPermission | ConnectionStage::Accepted,
            ) => dial.reset_pending = true,
            (ConnectionEvent::Reset, _) => {
                let outcome = dial.side.end().into();
                self.handle_connection_end(outcome, moves);
            }
            (ConnectionEvent::Line(line), ConnectionStage::Written) => match dial.side.line(line) {
                ServerEvent::Up(_) => {
                    dial.stage = ConnectionStage::Accepted;
                    moves.push(FrontendAction::Report(FrontendEvent::Accepted(attempt)));
                }
                ServerEvent::Over(ending) => self.handle_connection_end(ending.into(), moves),
                _ => self.handle_connection_end(Outcome::Failed, moves),
            },
            (ConnectionEvent::Line(line), ConnectionStage::Established) => match dial.side.line(line) {
                ServerEvent::Load(_, load) => moves.push(FrontendAction::Report(FrontendEvent::Load(load))),
                ServerEvent::Last(_) => {
                    let outcome = dial.side.end().into();
                    self.handle_connection_end(outcome, moves);
                }
                _ => moves.push(FrontendAction::Report(FrontendEvent::ServerMessage)),
            },
            _ => {}
        }
    }

    /// The client says something.
    pub fn handle_client_line(&mut self, line: Bytes, moves: &mut Vec<FrontendAction>) {
        if self.finished {
            return;
        }
        match self.side.line(line) {
            ClientEvent::Pass(_) if self.is_established() => {
                moves.push(FrontendAction::Report(FrontendEvent::ClientMessage))
            }
            ClientEvent::Pass(_) => {}
            // It did not wait for its answer: this is it.
            ClientEvent::Bad(_) | ClientEvent::Ping | ClientEvent::Open(_) => {
                self.close_connection(None, moves);
                moves.extend([
                    FrontendAction::Report(FrontendEvent::ClientLeft),
                    FrontendAction::FinalAnswer(ClientAnswer::Failed),
                ]);
                self.finish(moves);
            }
        }
    }

    /// The client goes.
    pub fn handle_client_departure(&mut self, moves: &mut Vec<FrontendAction>) {
        if self.finished {
            return;
        }
        if self.is_established() {
            return self.handle_connection_end(Outcome::Cancelled, moves);
        }
        self.close_connection(None, moves);
        moves.push(FrontendAction::Report(FrontendEvent::ClientLeft));
        self.finish(moves);
    }
}
