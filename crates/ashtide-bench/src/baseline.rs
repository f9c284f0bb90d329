//! Baseline clients without the client library: after a time-out or failure they try again, at once or after
//! a short wait. They have no retry budget and ignore the retry delay of a refusal.

use std::time::Duration;

use ashtide_client::{
    Attempt, ConnectionLoss, Instant, PoolCommand, PoolEvent, SessionId, SessionNotification, SessionRequest,
};
use ashtide_protocol::GatewayEvent;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Baseline client with one session. It has the events and commands of the client core, so that a simulation
/// can drive either.
#[derive(Debug)]
pub struct BaselineClient {
    request: SessionRequest,
    /// Shortest and longest wait before a further attempt.
    wait: (Duration, Duration),
    address: std::net::SocketAddr,
    /// Number of the latest attempt.
    attempt: Attempt,
    state: State,
    /// Whether the session has been established before.
    was_established: bool,
    rng: Xoshiro256PlusPlus,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    /// Waits until this time before the next attempt.
    Waiting(Instant),
    /// An attempt is in progress until this deadline.
    Connecting(Instant),
    Established,
}

/// Id of the client's only session.
const SESSION: SessionId = SessionId(1);

impl BaselineClient {
    /// Creates a client that waits between these bounds before each further attempt.
    pub fn new(
        wait: (Duration, Duration),
        address: std::net::SocketAddr,
        request: SessionRequest,
        seed: u64,
    ) -> Self {
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        Self { request, wait, address, attempt: Attempt(0), state: State::Idle, was_established: false, rng }
    }

    /// Starts an attempt.
    pub fn open(&mut self, now: Instant, out: &mut Vec<PoolCommand>) {
        self.attempt.0 += 1;
        self.state = State::Connecting(now + self.request.timeout);
        out.push(PoolCommand::Connect { session: SESSION, attempt: self.attempt, gateway: self.address });
    }

    /// Returns the number of the latest attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the time of the next timer event, or `None` if none is needed.
    pub fn next_wake(&self) -> Option<Instant> {
        match self.state {
            State::Waiting(time) | State::Connecting(time) => Some(time),
            State::Idle | State::Established => None,
        }
    }

    /// Handles an event, and appends the resulting commands to `out`.
    pub fn handle(&mut self, now: Instant, event: PoolEvent, out: &mut Vec<PoolCommand>) {
        let is_current = match &event {
            PoolEvent::Connected(_, attempt)
            | PoolEvent::ConnectFailed(_, attempt)
            | PoolEvent::Received(_, attempt, _)
            | PoolEvent::ConnectionEnded(_, attempt, _) => *attempt == self.attempt,
            _ => true,
        };
        if !is_current {
            return;
        }
        match (event, self.state) {
            (PoolEvent::TimerFired, State::Waiting(time)) if time <= now => self.open(now, out),
            (PoolEvent::TimerFired, State::Connecting(time)) if time <= now => self.retry(now, true, out),
            (PoolEvent::Connected(..), State::Connecting(_)) => {
                let name = format!("{:016x}", self.rng.random::<u64>());
                let line = self.request.parameters.line(&name, self.request.timeout).unwrap_or_default();
                out.push(PoolCommand::SendRequest { session: SESSION, attempt: self.attempt, line });
            }
            (PoolEvent::Received(_, _, Ok(GatewayEvent::Up(receipt))), State::Connecting(_)) => {
                let connected = SessionNotification::Connected {
                    gateway: self.address,
                    receipt,
                    attempts: 1,
                    reconnected: self.was_established,
                };
                (self.state, self.was_established) = (State::Established, true);
                out.push(PoolCommand::Notify(SESSION, connected));
            }
            (PoolEvent::Received(..), State::Connecting(_)) => self.retry(now, true, out),
            (PoolEvent::ConnectFailed(..) | PoolEvent::ConnectionEnded(..), State::Connecting(_)) => {
                self.retry(now, false, out)
            }
            (PoolEvent::ConnectionEnded(..), State::Established) => {
                out.push(PoolCommand::Notify(
                    SESSION,
                    SessionNotification::Disconnected(ConnectionLoss::Broken(None)),
                ));
                self.retry(now, false, out);
            }
            (PoolEvent::CloseSession(_), _) => {
                out.push(PoolCommand::Close { session: SESSION, attempt: self.attempt });
                self.state = State::Idle;
            }
            _ => {}
        }
    }

    fn retry(&mut self, now: Instant, close: bool, out: &mut Vec<PoolCommand>) {
        if close {
            out.push(PoolCommand::Close { session: SESSION, attempt: self.attempt });
        }
        let (min_wait, max_wait) = self.wait;
        let wait = min_wait + (max_wait - min_wait).mul_f64(self.rng.random::<f64>());
        self.state = State::Waiting(now + wait);
    }
}
