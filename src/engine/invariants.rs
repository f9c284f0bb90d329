//! Invariants of requests, checked while the engine runs.
//!
//! The decision module says what may be sent, retried and answered. This module keeps an independent record of what the
//! engine did, and names each violated rule of the protocol. It decides nothing, and there is no I/O and no clock here.
//! The driver counts and logs violations; a debug build panics.

use std::collections::BTreeMap;

use crate::decision::interface::{
    CellId, ClassId, DeduplicationScope, EndpointEntry, Idempotency, Outcome, RequestId, ServerId,
    ServerState, Settings, Span, Time, ZoneId,
};

/// A final answer that comes later than this after its deadline counts as lost (STANDING).
const LOST_ANSWER_DELAY: Span = Span::from_micros(500_000);
/// Violations that are stored until they are taken, at most; further ones are only counted.
const MAX_STORED_VIOLATIONS: usize = 16;

/// A violated rule, and the request concerned.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum Violation {
    /// An attempt was started while another of the same request was in flight.
    #[error("request {}: attempt {attempt} started while attempt {in_flight} is in flight", id.0)]
    ConcurrentAttempts {
        /// The request.
        id: RequestId,
        /// The attempt that was started.
        attempt: u32,
        /// The attempt that was in flight.
        in_flight: u32,
    },
    /// An attempt was started for a request that had its answer, or whose client had left.
    #[error("request {}: attempt {attempt} started after the request was over", id.0)]
    AttemptAfterEnd {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// A request that may have run was retried although its class, its server or the time does not allow that.
    #[error("request {}: attempt {attempt} retries what may have run", id.0)]
    ForbiddenRetry {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt was started at a server that has been draining, or gone, for longer than the grace.
    #[error("request {}: attempt {attempt} started at server {} that drains since {} us", id.0, server.0, since.as_micros())]
    AttemptAtDrainingServer {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// For how long it has been draining or gone.
        since: Span,
    },
    /// A rejection promised that nothing had run, although an attempt may have.
    #[error("request {}: rejected though an attempt may have run", id.0)]
    FalseRejection {
        /// The request.
        id: RequestId,
    },
    /// A final answer came so late that the request is lost.
    #[error("request {}: answered {} us after its deadline", id.0, late.as_micros())]
    LateAnswer {
        /// The request.
        id: RequestId,
        /// How long after the deadline.
        late: Span,
    },
}

impl Violation {
    /// What an operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::LateAnswer { .. } => {
                "see whether this process or its machine stalled; else report the line"
            }
            _ => "a fault of the program: report the line with those about the same request",
        }
    }
}

/// The first attempt that may have run.
#[derive(Debug, Clone, Copy)]
struct PossibleExecution {
    zone: ZoneId,
    cell: CellId,
    started_at: Time,
}

/// An attempt whose first byte was allowed.
#[derive(Debug, Clone, Copy)]
struct StartedAttempt {
    attempt: u32,
    execution: PossibleExecution,
}

/// A request that has no answer yet.
#[derive(Debug)]
struct OpenRequest {
    class: ClassId,
    deadline: Time,
    attempt_in_flight: Option<StartedAttempt>,
    first_execution: Option<PossibleExecution>,
}

/// A server of the list.
#[derive(Debug)]
struct ServerLocation {
    zone: ZoneId,
    cell: CellId,
    /// Since when it accepts nothing new.
    not_ready_since: Option<Time>,
}

/// The open requests of one gateway, and the violations found.
#[derive(Debug)]
pub struct RequestInvariants {
    idempotency_by_class: Vec<Idempotency>,
    drain_grace: Span,
    answer_slack: Span,
    servers: BTreeMap<ServerId, ServerLocation>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    recent_violations: Vec<Violation>,
    violations_found: u64,
}

impl RequestInvariants {
    /// Creates an empty record.
    pub fn new(settings: &Settings) -> Self {
        Self {
            idempotency_by_class: settings.classes.iter().map(|class| class.idempotency).collect(),
            drain_grace: settings.drain_grace,
            answer_slack: settings.answer_slack,
            servers: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            recent_violations: Vec::new(),
            violations_found: 0,
        }
    }

    /// Records an entry of the list, or a cordon.
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

    /// Records a complete list: it lacks all servers but those that are recorded next.
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
        self.check_server_accepts(now, id, attempt, server);
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

    fn check_server_accepts(&mut self, now: Time, id: RequestId, attempt: u32, server: ServerId) {
        let known = self.servers.get(&server);
        let Some(not_ready_since) = known.and_then(|server| server.not_ready_since) else { return };
        let since = now.since(not_ready_since);
        if since > self.drain_grace {
            self.record_violation(Violation::AttemptAtDrainingServer { id, attempt, server, since });
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

    /// Records the final answer of a request: a rejection, or else a failure.
    pub fn record_answer(&mut self, now: Time, id: RequestId, rejected: bool) {
        let Some(request) = self.open_requests.remove(&id) else { return };
        let late = now.since(request.deadline + self.answer_slack);
        if late > LOST_ANSWER_DELAY {
            self.record_violation(Violation::LateAnswer { id, late });
        }
        let may_run_anywhere_again = matches!(
            self.idempotency(request.class),
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        );
        let may_have_run = request.first_execution.is_some() || request.attempt_in_flight.is_some();
        if rejected && may_have_run && !may_run_anywhere_again {
            self.record_violation(Violation::FalseRejection { id });
        }
    }

    /// Records that no answer is due: the request is served, or its client has gone.
    pub fn release_request(&mut self, id: RequestId) {
        self.open_requests.remove(&id);
    }

    /// The violations since the last call, as far as they were stored.
    pub fn take_violations(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.recent_violations)
    }

    /// How many violations there were since the start.
    pub fn violation_count(&self) -> u64 {
        self.violations_found
    }

    fn record_violation(&mut self, violation: Violation) {
        self.violations_found += 1;
        if self.recent_violations.len() < MAX_STORED_VIOLATIONS {
            self.recent_violations.push(violation);
        }
    }
}

/// Whether an attempt may follow one that may have run.
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
