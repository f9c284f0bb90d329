//! Migration of established connections: at a limited pace from draining servers, and of all connections when
//! the process shuts down or hands over to its successor.

use super::Engine;
use super::command::{Command, FinalAnswer};
use super::timers::TimerEvent;
use crate::decision::interface::{Outcome, Request, RequestId, ServerId, ServerState, Span, Time};

/// Time within which the connections of a draining server are migrated, unless the server closes them first.
pub(super) const DRAINING_MIGRATION_SPAN: Span = Span::from_micros(8_000_000);
/// Time within which the connections of a server that was removed from the endpoint list are migrated.
pub(super) const REMOVED_MIGRATION_SPAN: Span = Span::from_micros(1_000_000);
/// Number of groups in which adopted connections are migrated, one group after the other.
const ADOPTED_MIGRATION_GROUPS: u32 = 16;
/// Fraction of the shutdown time after which migration starts. Clients are served until then, and in a
/// rolling restart the previously restarted gateway is available again by then.
const MIGRATION_START_FRACTION: f64 = 0.4;

/// Treatment of established connections during a shutdown.
#[derive(Clone, Copy, Default)]
enum Phase {
    /// Connections remain open.
    #[default]
    Serving,
    /// Connections are migrated; one that is established during the shutdown is migrated at this time.
    Migrating(Time),
    /// Connections are handed off immediately; adopted connections are migrated at this time.
    Handover(Time),
}

/// Progress of the shutdown of this process.
#[derive(Clone, Copy, Default)]
pub(super) struct ShutdownPhase {
    phase: Phase,
    /// Whether the time after which no request may be open has passed.
    deadline_passed: bool,
}

impl ShutdownPhase {
    /// Checks whether new requests are rejected immediately.
    pub(super) fn rejects_requests(&self) -> bool {
        self.deadline_passed
    }

    fn begin_migration(&mut self, until: Time) {
        self.phase = match self.phase {
            Phase::Serving | Phase::Migrating(_) => Phase::Migrating(until),
            Phase::Handover(_) => Phase::Handover(until),
        };
    }

    fn migrate_until(&self) -> Option<Time> {
        match self.phase {
            Phase::Serving => None,
            Phase::Migrating(until) | Phase::Handover(until) => Some(until),
        }
    }
}

impl Engine {
    /// Adopts an established connection from the previous process of this gateway. If the server is draining
    /// or removed, the migration that the previous process began is started again from the beginning.
    pub fn adopt_connection(
        &mut self,
        now: Time,
        request: Request,
        server: ServerId,
        commands: &mut Vec<Command>,
    ) {
        let id = request.id;
        self.handle_existing_connection(now, request, server, commands);
        let state = self.servers.get(&server).map_or(ServerState::Removed, |record| record.state);
        let migration_span = match state {
            ServerState::Ready => None,
            ServerState::Draining => Some(DRAINING_MIGRATION_SPAN),
            ServerState::Removed => Some(REMOVED_MIGRATION_SPAN),
        };
        let group_number = id.0 % ADOPTED_MIGRATION_GROUPS + 1;
        let span_fraction = f64::from(group_number) / f64::from(ADOPTED_MIGRATION_GROUPS);
        let due_at = migration_span.map(|span| now + span.scale(span_fraction));
        if let Some(due_at) = due_at.into_iter().chain(self.shutdown.migrate_until()).min() {
            self.timers.schedule(due_at, TimerEvent::Migrate(id));
        }
    }

    /// Begins the handoff of established connections to the successor of this process: existing ones are
    /// handed off immediately, later ones as soon as they are established. No request remains open after
    /// `deadline`.
    pub fn begin_handover(
        &mut self,
        now: Time,
        migrate_within: Span,
        deadline: Span,
        commands: &mut Vec<Command>,
    ) {
        self.shutdown.phase = Phase::Handover(now + migrate_within);
        self.timers.schedule(now + deadline, TimerEvent::ShutdownDeadline);
        for id in self.requests.established_ids() {
            self.hand_off(id, commands);
        }
        self.process_pending_events(now, commands);
    }

    /// Begins a graceful shutdown: existing connections are migrated over the later part of `migrate_within`,
    /// connections established from now on at its end. No request remains open after `deadline`.
    pub fn begin_shutdown(&mut self, now: Time, migrate_within: Span, deadline: Span) {
        let established = self.requests.established_ids();
        let start = now + migrate_within.scale(MIGRATION_START_FRACTION);
        self.schedule_migrations(start, migrate_within.scale(1.0 - MIGRATION_START_FRACTION), &established);
        self.shutdown.begin_migration(now + migrate_within);
        self.timers.schedule(now + deadline, TimerEvent::ShutdownDeadline);
    }

    /// Migrates all remaining connections and sends final answers to all requests without one.
    pub(super) fn end_all_requests(&mut self, now: Time, commands: &mut Vec<Command>) {
        self.shutdown.deadline_passed = true;
        for id in self.requests.ids() {
            self.migrate(id, Outcome::Cancelled, commands);
            // A rejection promises the client that a retry is safe.
            let is_safe_to_retry = self.balancer.is_safe_to_retry(id);
            let answer = if is_safe_to_retry {
                FinalAnswer::Rejected(REMOVED_MIGRATION_SPAN)
            } else {
                FinalAnswer::Failed
            };
            self.answer_request(now, id, answer, commands);
        }
    }

    /// Schedules the migration of a new established connection, or hands it off, as the shutdown phase
    /// requires.
    pub(super) fn apply_shutdown_phase(&mut self, now: Time, id: RequestId, commands: &mut Vec<Command>) {
        match self.shutdown.phase {
            Phase::Serving => {}
            Phase::Migrating(until) => {
                self.timers.schedule(until, TimerEvent::Migrate(id));
            }
            Phase::Handover(_) => {
                self.hand_off(id, commands);
                self.process_pending_events(now, commands);
            }
        }
    }

    fn hand_off(&mut self, id: RequestId, commands: &mut Vec<Command>) {
        let Some(connection) = self.requests.established(id) else { return };
        let attempt = connection.number;
        commands.push(Command::HandOff { id, server: connection.server });
        self.end_attempt(id, attempt, Outcome::Cancelled);
    }

    /// Schedules the migration of connections at equal intervals over `span`, which begins at `start`.
    pub(super) fn schedule_migrations(&mut self, start: Time, span: Span, connections: &[RequestId]) {
        for (index, &id) in connections.iter().enumerate() {
            let wait = span.scale((index + 1) as f64 / connections.len() as f64);
            self.timers.schedule(start + wait, TimerEvent::Migrate(id));
        }
    }

    /// Migrates the established connection of a request; does nothing if there is none.
    pub(super) fn migrate(&mut self, id: RequestId, outcome: Outcome, commands: &mut Vec<Command>) {
        let Some(attempt) = self.requests.established(id).map(|connection| connection.number) else { return };
        commands.push(Command::Migrate { id });
        self.end_attempt(id, attempt, outcome);
    }
}
