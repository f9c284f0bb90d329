//! Clients as they are without a library: they time out and try again, at once or after a short wait, with
//! no budget, deaf to what a refusal asks for.

use std::time::Duration;

use ashtide_client::{Attempt, Effect, Event, Loss, Moment, Notice, SessionId, Wish};
use ashtide_protocol::GatewayEvent;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// One client with one session. It speaks the events and effects of the library's core, so that a world can
/// drive either.
#[derive(Debug)]
pub struct Naive {
    wish: Wish,
    wait: (Duration, Duration),
    address: std::net::SocketAddr,
    attempt: Attempt,
    state: State,
    stood: bool,
    rng: Xoshiro256PlusPlus,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    Waiting(Moment),
    Out(Moment),
    Standing,
}

const ID: SessionId = SessionId(1);

impl Naive {
    /// A client that waits between these bounds before it tries again.
    pub fn new(wait: (Duration, Duration), address: std::net::SocketAddr, wish: Wish, seed: u64) -> Self {
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        Self { wish, wait, address, attempt: Attempt(0), state: State::Idle, stood: false, rng }
    }

    /// Begins to try.
    pub fn open(&mut self, now: Moment, out: &mut Vec<Effect>) {
        self.attempt.0 += 1;
        self.state = State::Out(now + self.wish.wait);
        out.push(Effect::Dial { session: ID, attempt: self.attempt, at: self.address });
    }

    /// The number of its latest attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// When it wants to be told the time.
    pub fn next_wake(&self) -> Option<Moment> {
        match self.state {
            State::Waiting(at) | State::Out(at) => Some(at),
            State::Idle | State::Standing => None,
        }
    }

    /// Takes one event in.
    pub fn handle(&mut self, now: Moment, event: Event, out: &mut Vec<Effect>) {
        let ours = match &event {
            Event::Connected(_, attempt)
            | Event::ConnectFailed(_, attempt)
            | Event::Heard(_, attempt, _)
            | Event::Ended(_, attempt, _) => *attempt == self.attempt,
            _ => true,
        };
        if !ours {
            return;
        }
        match (event, self.state) {
            (Event::Time, State::Waiting(at)) if at <= now => self.open(now, out),
            (Event::Time, State::Out(at)) if at <= now => self.again(now, true, out),
            (Event::Connected(..), State::Out(_)) => {
                let name = format!("{:016x}", self.rng.random::<u64>());
                let line = self.wish.asking.line(&name, self.wish.wait).unwrap_or_default();
                out.push(Effect::Write { session: ID, attempt: self.attempt, line });
            }
            (Event::Heard(_, _, Ok(GatewayEvent::Up(receipt))), State::Out(_)) => {
                let up = Notice::Up { at: self.address, receipt, tries: 1, again: self.stood };
                (self.state, self.stood) = (State::Standing, true);
                out.push(Effect::Tell(ID, up));
            }
            (Event::Heard(..), State::Out(_)) => self.again(now, true, out),
            (Event::ConnectFailed(..) | Event::Ended(..), State::Out(_)) => self.again(now, false, out),
            (Event::Ended(..), State::Standing) => {
                out.push(Effect::Tell(ID, Notice::Dropped(Loss::Broke(None))));
                self.again(now, false, out);
            }
            (Event::Leave(_), _) => {
                out.push(Effect::Close { session: ID, attempt: self.attempt });
                self.state = State::Idle;
            }
            _ => {}
        }
    }

    fn again(&mut self, now: Moment, close: bool, out: &mut Vec<Effect>) {
        if close {
            out.push(Effect::Close { session: ID, attempt: self.attempt });
        }
        let (from, to) = self.wait;
        let wait = from + (to - from).mul_f64(self.rng.random::<f64>());
        self.state = State::Waiting(now + wait);
    }
}
