//! The front of one client as the session driver is (`src/net/session.rs`): what it does on a command, and on what
//! its server and its client do. It knows no time; what it does comes back as moves for the world to carry out.

use std::time::Duration;

use ashtide::engine::Answer;
use ashtide::{Outcome, ServerId, Span};
use ashtide_wire::{ClientEvent, ClientSide, Open, ServerEvent, ServerSide};
use bytes::Bytes;

use super::faults::Fault;
use super::invariants::Final;

/// What the core asks of a front.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    Attempt { attempt: u32, server: ServerId, timeout: Span },
    Close { attempt: u32 },
    Begin { attempt: u32 },
    Pass { attempt: u32 },
    Answer(Answer),
    Move,
    Hand(ServerId),
}

/// What a front tells its core.
#[derive(Debug, Clone, PartialEq)]
pub enum Word {
    Connected(u32),
    Up(u32),
    Ended(u32, Outcome),
    Left,
    Asked,
    Answered,
    Load(f64),
}

/// What a front does.
#[derive(Debug, Clone, PartialEq)]
pub enum Move {
    Tell(Word),
    Dial(u32, ServerId),
    FirstByte(u32),
    LastByte(u32),
    /// The server's socket is closed.
    Close(u32, Option<Outcome>),
    Final(Final),
    /// The client stands here now.
    Stands(u32),
    /// The connection goes to the process that succeeds this one.
    Hand(ServerId),
    /// The client has been told that it is over, or knows.
    Over,
}

/// What becomes of a dialled connection.
#[derive(Debug, Clone, PartialEq)]
pub enum Wire {
    Connected,
    Refused,
    /// The last byte is written.
    Written,
    /// It breaks.
    Broken,
    Line(Bytes),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Connecting,
    Asking,
    Writing,
    Written,
    /// The server's line has come, the core has not yet agreed.
    Up,
    Standing,
}

#[derive(Debug)]
struct Dial {
    attempt: u32,
    server: ServerId,
    stage: Stage,
    side: ServerSide,
    /// It is broken, which shows once it is written to or read.
    broken: bool,
}

/// One client's front.
pub struct Front {
    pub open: Open,
    side: ClientSide,
    dial: Option<Dial>,
    over: bool,
    fault: Option<Fault>,
}

impl Front {
    /// The front of a client that has said this; none where it is not understood.
    pub fn new(line: Bytes, fault: Option<Fault>) -> Option<Self> {
        let mut side = ClientSide::default();
        let ClientEvent::Open(open) = side.line(line) else { return None };
        Some(Self { open: *open, side, dial: None, over: false, fault })
    }

    /// The front of a connection that an older process has passed on.
    pub fn standing(open: Open, server: ServerId, fault: Option<Fault>) -> Self {
        let (mut side, wire) = (ClientSide::default(), ServerSide::standing());
        side.up();
        let dial = Dial { attempt: 0, server, stage: Stage::Standing, side: wire, broken: false };
        Self { open, side, dial: Some(dial), over: false, fault }
    }

    pub fn wait(&self) -> Duration {
        self.open.wait.unwrap_or_default()
    }

    pub fn is_over(&self) -> bool {
        self.over
    }

    pub fn stands(&self) -> bool {
        self.dial.as_ref().is_some_and(|it| it.stage == Stage::Standing)
    }

    /// The attempt whose socket is there, and its server.
    pub fn dials(&self) -> Option<(u32, ServerId)> {
        self.dial.as_ref().map(|it| (it.attempt, it.server))
    }

    /// Whether a line of the server would be read now.
    pub fn reads(&self) -> bool {
        self.dial.as_ref().is_some_and(|it| it.stage != Stage::Up)
    }

    fn is(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    fn close(&mut self, outcome: Option<Outcome>, moves: &mut Vec<Move>) {
        if let Some(dial) = self.dial.take() {
            moves.push(Move::Close(dial.attempt, outcome));
        }
    }

    /// The attempt, or the connection that came of it, is over by the server's doing or the network's.
    fn ended(&mut self, outcome: Outcome, moves: &mut Vec<Move>) {
        let Some((attempt, _)) = self.dials() else { return };
        let stood = self.stands();
        self.close(Some(outcome), moves);
        let told = match outcome {
            Outcome::Reset if self.is(Fault::ResetTakenForRefusal) => Outcome::ConnectError,
            outcome => outcome,
        };
        moves.push(Move::Tell(Word::Ended(attempt, told)));
        if stood {
            self.end(moves);
        }
    }

    fn end(&mut self, moves: &mut Vec<Move>) {
        self.over = true;
        moves.push(Move::Over);
    }

    pub fn command(&mut self, command: Command, moves: &mut Vec<Move>) {
        if self.over {
            return;
        }
        let at = self.dial.as_ref().map(|it| (it.attempt, it.stage));
        match (command, at) {
            (Command::Attempt { attempt, server, .. }, None) => {
                let side = ServerSide::default();
                self.dial = Some(Dial { attempt, server, stage: Stage::Connecting, side, broken: false });
                moves.push(Move::Dial(attempt, server));
            }
            (Command::Answer(answer), None) => {
                moves.push(Move::Final(match answer {
                    Answer::Refused(_) => Final::Refused,
                    Answer::Failed => Final::Failed,
                }));
                self.end(moves);
            }
            (Command::Move, None) => self.end(moves),
            (Command::Close { attempt }, Some((which, stage)))
                if which == attempt && stage != Stage::Standing =>
            {
                self.close(None, moves);
            }
            (Command::Begin { attempt }, Some((which, Stage::Asking))) if which == attempt => {
                self.begin(moves);
            }
            (Command::Pass { attempt }, Some((which, Stage::Up))) if which == attempt => {
                let dial = self.dial.as_mut().expect("just seen");
                dial.stage = Stage::Standing;
                let broken = dial.broken;
                self.side.up();
                moves.push(Move::Final(Final::Served));
                if self.is(Fault::AnswersWhatIsServed) {
                    moves.push(Move::Final(Final::Failed));
                }
                if broken {
                    return self.ended(Outcome::Reset, moves);
                }
                moves.push(Move::Stands(attempt));
            }
            (Command::Move, Some((_, Stage::Standing))) => {
                self.close(None, moves);
                self.end(moves);
            }
            (Command::Move, Some((_, stage))) if stage != Stage::Up => {
                self.ended(Outcome::Cancelled, moves);
            }
            (Command::Hand(server), Some((_, Stage::Standing))) => {
                self.close(None, moves);
                moves.push(Move::Hand(server));
                self.end(moves);
            }
            // Of an attempt that is over, or come while another is made: not heard.
            _ => {}
        }
    }

    fn begin(&mut self, moves: &mut Vec<Move>) {
        let dial = self.dial.as_mut().expect("something is dialled");
        if dial.broken {
            let outcome = dial.side.end().into();
            return self.ended(outcome, moves);
        }
        dial.stage = Stage::Writing;
        moves.push(Move::FirstByte(dial.attempt));
    }

    /// Something happens to the connection of this attempt.
    pub fn wire(&mut self, attempt: u32, what: Wire, moves: &mut Vec<Move>) {
        let Some(dial) = self.dial.as_mut().filter(|it| it.attempt == attempt) else { return };
        match (what, dial.stage) {
            (Wire::Connected, Stage::Connecting) => {
                dial.stage = Stage::Asking;
                if self.is(Fault::WritesUnasked) {
                    return self.begin(moves);
                }
                moves.push(Move::Tell(Word::Connected(attempt)));
            }
            (Wire::Refused, Stage::Connecting) => self.ended(Outcome::ConnectError, moves),
            (Wire::Written, Stage::Writing) => {
                dial.stage = Stage::Written;
                dial.side.written();
                moves.push(Move::LastByte(attempt));
                if self.is(Fault::KeepsWhatHasEnded) {
                    self.dial = None;
                    moves.push(Move::Tell(Word::Ended(attempt, Outcome::ConnectError)));
                }
            }
            (Wire::Broken, Stage::Connecting | Stage::Asking | Stage::Up) => dial.broken = true,
            (Wire::Broken, _) => {
                let outcome = dial.side.end().into();
                self.ended(outcome, moves);
            }
            (Wire::Line(line), Stage::Written) => match dial.side.line(line) {
                ServerEvent::Up(_) => {
                    dial.stage = Stage::Up;
                    moves.push(Move::Tell(Word::Up(attempt)));
                }
                ServerEvent::Over(ending) => self.ended(ending.into(), moves),
                _ => self.ended(Outcome::Failed, moves),
            },
            (Wire::Line(line), Stage::Standing) => match dial.side.line(line) {
                ServerEvent::Load(_, load) => moves.push(Move::Tell(Word::Load(load))),
                ServerEvent::Last(_) => {
                    let outcome = dial.side.end().into();
                    self.ended(outcome, moves);
                }
                _ => moves.push(Move::Tell(Word::Answered)),
            },
            _ => {}
        }
    }

    /// The client says something.
    pub fn says(&mut self, line: Bytes, moves: &mut Vec<Move>) {
        if self.over {
            return;
        }
        match self.side.line(line) {
            ClientEvent::Pass(_) if self.stands() => moves.push(Move::Tell(Word::Asked)),
            ClientEvent::Pass(_) => {}
            // It did not wait for its answer: this is it.
            ClientEvent::Bad(_) | ClientEvent::Ping | ClientEvent::Open(_) => {
                self.close(None, moves);
                moves.extend([Move::Tell(Word::Left), Move::Final(Final::Failed)]);
                self.end(moves);
            }
        }
    }

    /// The client goes.
    pub fn leaves(&mut self, moves: &mut Vec<Move>) {
        if self.over {
            return;
        }
        if self.stands() {
            return self.ended(Outcome::Cancelled, moves);
        }
        self.close(None, moves);
        moves.push(Move::Tell(Word::Left));
        self.end(moves);
    }
}
