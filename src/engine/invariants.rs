//! Invariants of requests, checked while the engine runs.
//!
//! The decision module determines what may be sent, retried and answered. This module records independently
//! what the engine did and reports each violated rule of the protocol. It makes no decisions, does no I/O and
//! reads no clock. The driver counts and logs violations; a debug build panics.

use std::collections::BTreeMap;

use crate::decision::interface::{
    CellId, ClassId, DeduplicationScope, EndpointEntry, Idempotency, Outcome, RequestId, ServerId,
    ServerState, Settings, Span, Time, ZoneId,
};

/// Delay after the deadline and slack beyond which a final answer counts as lost (STANDING).
const LOST_ANSWER_DELAY: Span = Span::from_micros(500_000);
/// Largest number of violations stored until they are taken; further ones are only counted.
const MAX_STORED_VIOLATIONS: usize = 16;

/// A violated rule of the protocol and the request concerned.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum Violation {
    /// An attempt was started while another attempt of the same request was in flight.
    #[error("request {}: attempt {attempt} started while attempt {in_flight} is in flight", id.0)]
    ConcurrentAttempts {
        /// Id of the request concerned.
        id: RequestId,
        /// Number of the attempt that was started, from 0.
        attempt: u32,
        /// Number of the attempt that was in flight, from 0.
        in_flight: u32,
    },
    /// An attempt was started after the request had been answered or served, or after its client had
    /// disconnected.
    #[error("request {}: attempt {attempt} started after the request had ended", id.0)]
    AttemptAfterEnd {
        /// Id of the request concerned.
        id: RequestId,
        /// Number of the attempt that was started, from 0.
        attempt: u32,
    },
    /// A request that may have been executed was retried although its class, the server or the elapsed time
    /// forbids this.
    #[error("request {}: attempt {attempt} is a forbidden retry, an earlier attempt may have been executed",
        id.0)]
    ForbiddenRetry {
        /// Id of the request concerned.
        id: RequestId,
        /// Number of the attempt that was started, from 0.
        attempt: u32,
    },
    /// An attempt was started at a server that had been draining or removed for longer than the grace period.
    #[error("request {}: attempt {attempt} started at server {}, not ready for {} us",
        id.0, server.0, not_ready_for.as_micros())]
    AttemptAtDrainingServer {
        /// Id of the request concerned.
        id: RequestId,
        /// Number of the attempt that was started, from 0.
        attempt: u32,
        /// Server to which the attempt was started.
        server: ServerId,
        /// Time for which the server had been draining or removed.
        not_ready_for: Span,
    },
    /// A request was rejected, which promises that it was not executed, although an attempt may have been
    /// executed.
    #[error("request {}: rejected although an attempt may have been executed", id.0)]
    FalseRejection {
        /// Id of the request concerned.
        id: RequestId,
    },
    /// A final answer was sent so late that the request counts as lost.
    #[error("request {}: answered {} us after its deadline and slack", id.0, delay.as_micros())]
    LateAnswer {
        /// Id of the request concerned.
        id: RequestId,
        /// Time from the end of the deadline and slack to the answer.
        delay: Span,
    },
}

impl Violation {
    /// Returns advice to the operator on the violation.
    pub fn help(&self) -> &'static str {
        match self {
            Self::LateAnswer { .. } => {
                "check whether this process or its machine stalled; otherwise report this line"
            }
            _ => "this is a bug: report this line and all others about the same request",
        }
    }
}

/// Place and time of an attempt that may have been executed.
#[derive(Debug, Clone, Copy)]
struct PossibleExecution {
    zone: ZoneId,
    cell: CellId,
    /// Time at which the first byte was allowed.
    started_at: Time,
}

/// An attempt that was allowed to send its first byte.
#[derive(Debug, Clone, Copy)]
struct StartedAttempt {
    attempt: u32,
    execution: PossibleExecution,
}

/// A request without an answer.
#[derive(Debug)]
struct OpenRequest {
    class: ClassId,
    deadline: Time,
    attempt_in_flight: Option<StartedAttempt>,
    /// The first attempt that has ended and may have been executed.
    first_execution: Option<PossibleExecution>,
}

/// Location and state of a server on the endpoint list.
#[derive(Debug)]
struct ServerLocation {
    zone: ZoneId,
    cell: CellId,
    /// Time at which the server stopped accepting new connections; `None` while it is ready.
    not_ready_since: Option<Time>,
}

/// The open requests of one gateway and the violations detected.
#[derive(Debug)]
pub struct RequestInvariants {
    idempotency_by_class: Vec<Idempotency>,
    drain_grace: Span,
    answer_slack: Span,
    servers: BTreeMap<ServerId, ServerLocation>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    recent_violations: Vec<Violation>,
    /// Number of violations since the start.
    violation_count: u64,
}

impl RequestInvariants {
    /// Creates a record without servers and requests.
    pub fn new(settings: &Settings) -> Self {
        Self {
            idempotency_by_class: settings.classes.iter().map(|class| class.idempotency).collect(),
            drain_grace: settings.drain_grace,
            answer_slack: settings.answer_slack,
            servers: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            recent_violations: Vec::new(),
            violation_count: 0,
        }
    }

    /// Records an entry of the endpoint list or a cordon.
    pub fn record_listing(&mut self, now: Time, entry: &EndpointEntry) {
        let known = self.servers.get(&entry.server);
        let not_ready_since = match entry.state {
            ServerState::Ready => None,
            ServerState::Draining | ServerState::Removed => {
                Some(known.and_then(|server| server.not_ready_since).unwrap_or(now))
            }
        };
        let location = ServerLocation { zone: entry.zone, cell: entry.cell, not_ready_since };
        self.servers.insert(entry.server, location);
    }

    /// Records the start of a complete list. Servers that are not recorded again afterwards count as removed.
    pub fn record_snapshot(&mut self, now: Time) {
        for server in self.servers.values_mut() {
            server.not_ready_since.get_or_insert(now);
        }
    }

    /// Records a new request.
    pub fn record_request(&mut self, now: Time, id: RequestId, class: ClassId, time_left: Span) {
        let deadline = now + time_left;
        let request = OpenRequest { class, deadline, attempt_in_flight: None, first_execution: None };
        self.open_requests.insert(id, request);
    }

    /// Records that the first byte of an attempt may be sent now.
    pub fn record_first_byte(&mut self, now: Time, id: RequestId, attempt: u32, server: ServerId) {
        self.check_server_is_ready(now, id, attempt, server);
        let execution = self.execution_at(now, server);
        let Some(request) = self.open_requests.get_mut(&id) else {
            return self.record_violation(Violation::AttemptAfterEnd { id, attempt });
        };
        let previous = request.attempt_in_flight.replace(StartedAttempt { attempt, execution });
        let class = request.class;
        let first_execution = request.first_execution;
        let idempotency = self.idempotency(class);
        if let Some(previous) = previous {
            let in_flight = previous.attempt;
            self.record_violation(Violation::ConcurrentAttempts { id, attempt, in_flight });
        }
        if first_execution.is_some_and(|first| !may_retry(idempotency, first, execution)) {
            self.record_violation(Violation::ForbiddenRetry { id, attempt });
        }
    }

    fn check_server_is_ready(&mut self, now: Time, id: RequestId, attempt: u32, server: ServerId) {
        let known = self.servers.get(&server);
        let Some(not_ready_since) = known.and_then(|server| server.not_ready_since) else { return };
        let not_ready_for = now.since(not_ready_since);
        if not_ready_for > self.drain_grace {
            self.record_violation(Violation::AttemptAtDrainingServer { id, attempt, server, not_ready_for });
        }
    }

    fn execution_at(&self, now: Time, server: ServerId) -> PossibleExecution {
        let known = self.servers.get(&server);
        PossibleExecution {
            zone: known.map_or_else(ZoneId::default, |server| server.zone),
            cell: known.map_or_else(CellId::default, |server| server.cell),
            started_at: now,
        }
    }

    fn idempotency(&self, class: ClassId) -> Idempotency {
        let known = self.idempotency_by_class.get(class.0 as usize);
        known.copied().unwrap_or(Idempotency::NotIdempotent)
    }

    /// Records the end of an attempt.
    pub fn record_attempt_end(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        let ended = request.attempt_in_flight.take_if(|started| started.attempt == attempt);
        let Some(ended) = ended else { return };
        if !outcome.proves_not_executed() {
            request.first_execution.get_or_insert(ended.execution);
        }
    }

    /// Records the final answer of a request: a rejection if `rejected`, otherwise a failure.
    pub fn record_answer(&mut self, now: Time, id: RequestId, rejected: bool) {
        let Some(request) = self.open_requests.remove(&id) else { return };
        let delay = now.since(request.deadline + self.answer_slack);
        if delay > LOST_ANSWER_DELAY {
            self.record_violation(Violation::LateAnswer { id, delay });
        }
        let may_repeat_anywhere = matches!(
            self.idempotency(request.class),
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        );
        let may_have_been_executed = request.first_execution.is_some() || request.attempt_in_flight.is_some();
        if rejected && may_have_been_executed && !may_repeat_anywhere {
            self.record_violation(Violation::FalseRejection { id });
        }
    }

    /// Records that no answer is due because the request is served or its client has disconnected.
    pub fn release_request(&mut self, id: RequestId) {
        self.open_requests.remove(&id);
    }

    /// Returns the stored violations since the last call.
    pub fn take_violations(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.recent_violations)
    }

    /// Returns the number of violations since the start.
    pub fn violation_count(&self) -> u64 {
        self.violation_count
    }

    fn record_violation(&mut self, violation: Violation) {
        self.violation_count += 1;
        if self.recent_violations.len() < MAX_STORED_VIOLATIONS {
            self.recent_violations.push(violation);
        }
    }
}

/// Checks whether an attempt may follow an earlier one that may have been executed.
fn may_retry(idempotency: Idempotency, first: PossibleExecution, next: PossibleExecution) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NotIdempotent => false,
        Idempotency::WithKey { scope, remembered_for } => {
            let is_recognised = match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.zone == next.zone,
                DeduplicationScope::Cell => first.cell == next.cell,
            };
            is_recognised && next.started_at.since(first.started_at) < remembered_for
        }
    }
}
