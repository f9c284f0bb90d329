//! What may never happen to a request, checked as it happens.
//!
//! The decisions say what may be sent, repeated and answered; this module keeps a record of its own of what the engine
//! did, by other means, and names what broke a rule of the protocol. It decides nothing, and has no socket and no
//! clock. The driver counts and logs what it finds; a debug build ends.

use std::collections::BTreeMap;

use crate::decision::interface::{
    CellId, ClassId, DeduplicationScope, EndpointEntry, Idempotency, Outcome, RequestId, ServerId,
    ServerState, Settings, Span, Time, ZoneId,
};

/// A final answer earns nothing this long after its time, and counts as lost later (STANDING).
const LOST_ANSWER_DELAY: Span = Span::from_micros(500_000);
/// Violations that wait to be logged at most; further ones are counted alone.
const MAX_KEPT_VIOLATIONS: usize = 16;

/// A broken rule, and the request that it befell.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum Violation {
    /// An attempt was begun while another of the same request was out.
    #[error("request {}: attempt {attempt} begun while attempt {out} is out", id.0)]
    ConcurrentAttempts {
        /// The request.
        id: RequestId,
        /// The attempt begun.
        attempt: u32,
        /// The attempt that was out.
        out: u32,
    },
    /// An attempt was begun for a request that had its answer, or whose client had left.
    #[error("request {}: attempt {attempt} begun after its end", id.0)]
    AttemptAfterEnd {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// A request that must not be repeated was, or not where or when it may be.
    #[error("request {}: attempt {attempt} repeats what may have run", id.0)]
    ForbiddenRetry {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt was begun at a server that was told to drain, or gone, beyond the grace.
    #[error("request {}: attempt {attempt} begun at server {} that left {} us ago", id.0, server.0, ago.as_micros())]
    AttemptAtDrainingServer {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// How long ago it was told.
        ago: Span,
    },
    /// A refusal promised that nothing had run, which may not be so.
    #[error("request {}: refused though an attempt may have run", id.0)]
    FalseRejection {
        /// The request.
        id: RequestId,
    },
    /// A final answer came so late that the request is lost.
    #[error("request {}: answered {} us after its deadline", id.0, late.as_micros())]
    LateAnswer {
        /// The request.
        id: RequestId,
        /// By how much.
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

/// A request that has not had its answer.
#[derive(Debug)]
struct OpenRequest {
    class: ClassId,
    deadline: Time,
    attempt_in_flight: Option<StartedAttempt>,
    first_execution: Option<PossibleExecution>,
}

/// A server as the list tells it.
#[derive(Debug)]
struct ServerLocation {
    zone: ZoneId,
    cell: CellId,
    /// Since when it takes nothing new.
    not_ready_since: Option<Time>,
}

/// The record of all open requests of one gateway, and what was found.
#[derive(Debug)]
pub struct RequestInvariants {
    idempotency_by_class: Vec<Idempotency>,
    drain_grace: Span,
    answer_slack: Span,
    servers: BTreeMap<ServerId, ServerLocation>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    kept_violations: Vec<Violation>,
    violations_found: u64,
}

impl RequestInvariants {
    /// An empty record under these settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            idempotency_by_class: settings.classes.iter().map(|class| class.idempotency).collect(),
            drain_grace: settings.drain_grace,
            answer_slack: settings.answer_slack,
            servers: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            kept_violations: Vec::new(),
            violations_found: 0,
        }
    }

    /// The list tells this of a server, or operators do.
    pub fn record_listing(&mut self, now: Time, entry: &EndpointEntry) {
        let ready = entry.state == ServerState::Ready;
        let left = self.servers.get(&entry.server).and_then(|server| server.not_ready_since);
        let left = if ready { None } else { Some(left.unwrap_or(now)) };
        self.servers.insert(
            entry.server,
            ServerLocation { zone: entry.zone, cell: entry.cell, not_ready_since: left },
        );
    }

    /// A whole list has come, which lacks all servers but those that are told next.
    pub fn record_snapshot(&mut self, now: Time) {
        for server in self.servers.values_mut() {
            server.not_ready_since.get_or_insert(now);
        }
    }

    /// A request was taken.
    pub fn record_request(&mut self, now: Time, id: RequestId, class: ClassId, time_left: Span) {
        self.open_requests.insert(
            id,
            OpenRequest { class, deadline: now + time_left, attempt_in_flight: None, first_execution: None },
        );
    }

    /// The first byte of an attempt is allowed now.
    pub fn record_first_byte(&mut self, now: Time, id: RequestId, attempt: u32, server: ServerId) {
        let known = self.servers.get(&server);
        let left = known.and_then(|server| server.not_ready_since).map(|at| now.since(at));
        if let Some(ago) = left.filter(|&ago| ago > self.drain_grace) {
            self.record_violation(Violation::AttemptAtDrainingServer { id, attempt, server, ago });
        }
        let known = self.servers.get(&server);
        let ran = PossibleExecution {
            zone: known.map_or_else(ZoneId::default, |server| server.zone),
            cell: known.map_or_else(CellId::default, |server| server.cell),
            started_at: now,
        };
        let Some(open) = self.open_requests.get_mut(&id) else {
            return self.record_violation(Violation::AttemptAfterEnd { id, attempt });
        };
        let before = open.attempt_in_flight.replace(StartedAttempt { attempt, execution: ran });
        let effect = self
            .idempotency_by_class
            .get(open.class.0 as usize)
            .copied()
            .unwrap_or(Idempotency::NotIdempotent);
        let repeats = open.first_execution.is_some_and(|first| !may_retry(effect, first, ran));
        if let Some(before) = before {
            self.record_violation(Violation::ConcurrentAttempts { id, attempt, out: before.attempt });
        }
        if repeats {
            self.record_violation(Violation::ForbiddenRetry { id, attempt });
        }
    }

    /// An attempt has ended.
    pub fn record_attempt_end(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        let Some(begun) = open.attempt_in_flight.take_if(|begun| begun.attempt == attempt) else { return };
        if !outcome.proves_not_executed() {
            open.first_execution.get_or_insert(begun.execution);
        }
    }

    /// The request has its final answer, which is a refusal or a failure.
    pub fn record_answer(&mut self, now: Time, id: RequestId, rejected: bool) {
        let Some(open) = self.open_requests.remove(&id) else { return };
        let late = now.since(open.deadline + self.answer_slack);
        if late > LOST_ANSWER_DELAY {
            self.record_violation(Violation::LateAnswer { id, late });
        }
        let effect = self
            .idempotency_by_class
            .get(open.class.0 as usize)
            .copied()
            .unwrap_or(Idempotency::NotIdempotent);
        let harmless = matches!(
            effect,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        );
        if rejected && !harmless && (open.first_execution.is_some() || open.attempt_in_flight.is_some()) {
            self.record_violation(Violation::FalseRejection { id });
        }
    }

    /// The request is served, or its client has gone: nothing is owed any more.
    pub fn release_request(&mut self, id: RequestId) {
        self.open_requests.remove(&id);
    }

    /// What was found since the last call, as far as it was kept.
    pub fn take_violations(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.kept_violations)
    }

    /// How many were found since the start.
    pub fn violation_count(&self) -> u64 {
        self.violations_found
    }

    fn record_violation(&mut self, violation: Violation) {
        self.violations_found += 1;
        if self.kept_violations.len() < MAX_KEPT_VIOLATIONS {
            self.kept_violations.push(violation);
        }
    }
}

/// Whether an attempt may follow one that may have run.
fn may_retry(effect: Idempotency, first: PossibleExecution, next: PossibleExecution) -> bool {
    match effect {
        Idempotency::Idempotent => true,
        Idempotency::NotIdempotent => false,
        Idempotency::WithKey { scope: group, remembered_for: window } => {
            let known = match group {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.zone == next.zone,
                DeduplicationScope::Cell => first.cell == next.cell,
            };
            known && next.started_at.since(first.started_at) < window
        }
    }
}
