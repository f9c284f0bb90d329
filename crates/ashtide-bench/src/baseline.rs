//! Clients as they are without a library: they time out and try again, at once or after a short wait, with
//! no budget, deaf to what a refusal asks for.

use std::time::Duration;

use ashtide_client::{
    Attempt, ConnectionLoss, Instant, PoolCommand, PoolEvent, SessionId, SessionNotification, SessionRequest,
};
use ashtide_protocol::GatewayEvent;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// One client with one session. It speaks the events and effects of the library's core, so that a world can
/// drive either.
#[derive(Debug)]
pub struct BaselineClient {
    wish: SessionRequest,
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
    Waiting(Instant),
    Out(Instant),
    Standing,
}

const ID: SessionId = SessionId(1);

impl BaselineClient {
    /// A client that waits between these bounds before it tries again.
    pub fn new(
        wait: (Duration, Duration),
        address: std::net::SocketAddr,
        wish: SessionRequest,
        seed: u64,
    ) -> Self {
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        Self { wish, wait, address, attempt: Attempt(0), state: State::Idle, stood: false, rng }
    }

    /// Begins to try.
    pub fn open(&mut self, now: Instant, out: &mut Vec<PoolCommand>) {
        self.attempt.0 += 1;
        self.state = State::Out(now + self.wish.timeout);
        out.push(PoolCommand::Connect { session: ID, attempt: self.attempt, gateway: self.address });
    }

    /// The number of its latest attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// When it wants to be told the time.
    pub fn next_wake(&self) -> Option<Instant> {
        match self.state {
            State::Waiting(at) | State::Out(at) => Some(at),
            State::Idle | State::Standing => None,
        }
    }

    /// Takes one event in.
    pub fn handle(&mut self, now: Instant, event: PoolEvent, out: &mut Vec<PoolCommand>) {
        let ours = match &event {
            PoolEvent::Connected(_, attempt)
            | PoolEvent::ConnectFailed(_, attempt)
            | PoolEvent::Received(_, attempt, _)
            | PoolEvent::ConnectionEnded(_, attempt, _) => *attempt == self.attempt,
            _ => true,
        };
        if !ours {
            return;
        }
        match (event, self.state) {
            (PoolEvent::TimerFired, State::Waiting(at)) if at <= now => self.open(now, out),
            (PoolEvent::TimerFired, State::Out(at)) if at <= now => self.again(now, true, out),
            (PoolEvent::Connected(..), State::Out(_)) => {
                let name = format!("{:016x}", self.rng.random::<u64>());
                let line = self.wish.parameters.line(&name, self.wish.timeout).unwrap_or_default();
                out.push(PoolCommand::SendRequest { session: ID, attempt: self.attempt, line });
            }
            (PoolEvent::Received(_, _, Ok(GatewayEvent::Up(receipt))), State::Out(_)) => {
                let up = SessionNotification::Connected {
                    gateway: self.address,
                    receipt,
                    attempts: 1,
                    reconnected: self.stood,
                };
                (self.state, self.stood) = (State::Standing, true);
                out.push(PoolCommand::Notify(ID, up));
            }
            (PoolEvent::Received(..), State::Out(_)) => self.again(now, true, out),
            (PoolEvent::ConnectFailed(..) | PoolEvent::ConnectionEnded(..), State::Out(_)) => {
                self.again(now, false, out)
            }
            (PoolEvent::ConnectionEnded(..), State::Standing) => {
                out.push(PoolCommand::Notify(
                    ID,
                    SessionNotification::Disconnected(ConnectionLoss::Broken(None)),
                ));
                self.again(now, false, out);
            }
            (PoolEvent::CloseSession(_), _) => {
                out.push(PoolCommand::Close { session: ID, attempt: self.attempt });
                self.state = State::Idle;
            }
            _ => {}
        }
    }

    fn again(&mut self, now: Instant, close: bool, out: &mut Vec<PoolCommand>) {
        if close {
            out.push(PoolCommand::Close { session: ID, attempt: self.attempt });
        }
        let (from, to) = self.wait;
        let wait = from + (to - from).mul_f64(self.rng.random::<f64>());
        self.state = State::Waiting(now + wait);
    }
}
