//! State of one request.

use super::interface::{ClassId, GroupId, Outcome, Request, ServerId, Span, Time};

/// Attempt or connection that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptInFlight {
    pub(super) server: ServerId,
    pub(super) established: bool,
}

/// First attempt of a request that a server may have executed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PossibleExecution {
    pub(super) server: ServerId,
    pub(super) sent_at: Time,
}

/// State of a request, from its arrival until it is answered and its last attempt has ended.
#[derive(Default)]
pub(super) struct PendingRequest {
    pub(super) class: ClassId,
    pub(super) group: Option<GroupId>,
    arrived_at: Time,
    deadline: Time,
    /// Whether the final answer has been sent, or is no longer due.
    answered: bool,
    /// Number of attempts begun so far.
    attempts: u32,
    attempt_in_flight: Option<AttemptInFlight>,
    /// Servers of all attempts begun so far.
    attempted_servers: Vec<ServerId>,
    first_possible_execution: Option<PossibleExecution>,
    /// Time at which the last attempt was sent.
    last_sent_at: Time,
    /// Load in seconds of standard-core work per second: the expected load at first, then the reported load;
    /// `None` if unknown.
    load: Option<f64>,
    /// Earliest time of the next attempt.
    retry_at: Time,
    /// Server for which the request waits for a permit; `None` if it waits for none.
    awaiting_permit_from: Option<ServerId>,
}

impl PendingRequest {
    pub(super) fn new(now: Time, request: &Request) -> Self {
        Self {
            class: request.class,
            group: request.group,
            arrived_at: now,
            deadline: now + request.time_left,
            load: request.load.filter(|&load| is_valid_load(load)),
            retry_at: now,
            ..Self::default()
        }
    }

    /// Returns the state of a connection that was open before the decision module started.
    pub(super) fn existing(now: Time, request: &Request, server: ServerId) -> Self {
        Self {
            answered: true,
            attempts: 1,
            attempt_in_flight: Some(AttemptInFlight { server, established: true }),
            ..Self::new(now, request)
        }
    }

    pub(super) fn deadline(&self) -> Time {
        self.deadline
    }

    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }

    pub(super) fn attempts(&self) -> u32 {
        self.attempts
    }

    pub(super) fn load(&self) -> Option<f64> {
        self.load
    }

    pub(super) fn attempt_in_flight(&self) -> Option<AttemptInFlight> {
        self.attempt_in_flight
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempt_in_flight.is_some()
    }

    pub(super) fn first_possible_execution(&self) -> Option<PossibleExecution> {
        self.first_possible_execution
    }

    /// Checks whether a server may have executed one of the request's attempts.
    pub(super) fn may_have_been_executed(&self) -> bool {
        self.first_possible_execution.is_some()
    }

    pub(super) fn was_attempted_on(&self, server: ServerId) -> bool {
        self.attempted_servers.contains(&server)
    }

    pub(super) fn is_established_on(&self, server: ServerId) -> bool {
        self.attempt_in_flight.is_some_and(|attempt| attempt.established && attempt.server == server)
    }

    /// Checks whether the request is unanswered and has no attempt in flight.
    pub(super) fn awaits_attempt(&self) -> bool {
        !self.answered && !self.has_attempt_in_flight()
    }

    pub(super) fn awaits_permit_from(&self, server: ServerId) -> bool {
        self.awaiting_permit_from == Some(server) && !self.answered
    }

    /// Checks whether the backoff after the last attempt is over.
    pub(super) fn is_retry_due(&self, now: Time) -> bool {
        now >= self.retry_at
    }

    /// Checks whether the request has waited for this share of the time from its arrival to its deadline.
    pub(super) fn has_waited(&self, now: Time, share: f64) -> bool {
        let time_allowed = self.deadline.since(self.arrived_at);
        now >= self.arrived_at + time_allowed.scale(share)
    }

    pub(super) fn begin_attempt(&mut self, now: Time, server: ServerId) {
        self.attempts += 1;
        self.last_sent_at = now;
        self.attempted_servers.push(server);
        self.attempt_in_flight = Some(AttemptInFlight { server, established: false });
    }

    /// Marks the attempt as established and the request as answered. Returns the server of the attempt, or
    /// `None` if it is not the attempt in flight.
    pub(super) fn establish(&mut self, attempt: u32) -> Option<ServerId> {
        if self.attempts != attempt + 1 {
            return None;
        }
        let in_flight = self.attempt_in_flight.as_mut()?;
        in_flight.established = true;
        self.answered = true;
        Some(in_flight.server)
    }

    /// Ends the attempt and returns it, or `None` if it is not the attempt in flight.
    pub(super) fn end_attempt(&mut self, attempt: u32, outcome: Outcome) -> Option<AttemptInFlight> {
        if self.attempts != attempt + 1 {
            return None;
        }
        let ended = self.attempt_in_flight.take()?;
        if !outcome.proves_not_executed() && self.first_possible_execution.is_none() {
            self.first_possible_execution =
                Some(PossibleExecution { server: ended.server, sent_at: self.last_sent_at });
        }
        Some(ended)
    }

    pub(super) fn mark_answered(&mut self) {
        self.answered = true;
    }

    pub(super) fn postpone_until(&mut self, retry_at: Time) {
        self.retry_at = retry_at;
    }

    pub(super) fn await_permit(&mut self, server: ServerId) {
        self.awaiting_permit_from = Some(server);
    }

    pub(super) fn stop_awaiting_permit(&mut self) {
        self.awaiting_permit_from = None;
    }

    pub(super) fn update_load(&mut self, load: f64) {
        if is_valid_load(load) {
            self.load = Some(load);
        }
    }

    /// Returns the time until the client gives up.
    pub(super) fn time_left(&self, now: Time) -> Span {
        self.deadline.since(now)
    }
}

fn is_valid_load(load: f64) -> bool {
    load.is_finite() && load > 0.0
}
