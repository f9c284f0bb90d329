//! Migration of established connections: paced away from servers that drain, and all of them when the process shuts
//! down or hands over to its successor.

use super::Engine;
use super::command::{Command, FinalAnswer};
use super::timers::TimerEvent;
use crate::decision::interface::{Outcome, Request, RequestId, ServerId, ServerState, Span, Time};

/// Connections of a draining server are migrated within this time, unless it sends them away itself.
pub(super) const DRAINING_MIGRATION_SPAN: Span = Span::from_micros(8_000_000);
/// Connections of a server that is gone from the list are migrated within this time.
pub(super) const REMOVED_MIGRATION_SPAN: Span = Span::from_micros(1_000_000);
/// Adopted connections that have to be migrated are migrated in this many groups.
const ADOPTED_MIGRATION_GROUPS: u32 = 16;
/// Migration starts after this fraction of the shutdown time: clients are served meanwhile, and in a rolling restart
/// the previous gateway is back by then.
const MIGRATION_START_FRACTION: f64 = 0.4;

/// What happens to established connections.
#[derive(Clone, Copy, Default)]
enum Phase {
    /// They stay.
    #[default]
    Serving,
    /// They are migrated, later ones at this time.
    Migrating(Time),
    /// They are handed over at once; adopted ones are migrated at this time.
    Handover(Time),
}

/// How far the process has shut down.
#[derive(Clone, Copy, Default)]
pub(super) struct ShutdownPhase {
    phase: Phase,
    deadline_passed: bool,
}

impl ShutdownPhase {
    /// Whether requests are rejected as they come.
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
    /// Takes over an established connection from an older process of this gateway. If its server drains or is gone, the
    /// migration that the older process has begun starts anew.
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
        let span = match state {
            ServerState::Ready => None,
            ServerState::Draining => Some(DRAINING_MIGRATION_SPAN),
            ServerState::Removed => Some(REMOVED_MIGRATION_SPAN),
        };
        let group = f64::from(id.0 % ADOPTED_MIGRATION_GROUPS + 1) / f64::from(ADOPTED_MIGRATION_GROUPS);
        let due_at = span.map(|span| now + span.scale(group));
        if let Some(due_at) = due_at.into_iter().chain(self.shutdown.migrate_until()).min() {
            self.timers.schedule(due_at, TimerEvent::Migrate(id));
        }
    }

    /// Hands established connections over to the successor of this process: all at once, later ones when they are
    /// established. No request stays open after `deadline`.
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
            self.transfer_to_successor(id, commands);
        }
        self.process_pending_events(now, commands);
    }

    /// Begins a graceful shutdown: established connections are migrated over the later part of `migrate_within`, those
    /// established later at its end. No request stays open after `deadline`.
    pub fn begin_shutdown(&mut self, now: Time, migrate_within: Span, deadline: Span) {
        let established = self.requests.established_ids();
        let start = now + migrate_within.scale(MIGRATION_START_FRACTION);
        self.schedule_migrations(start, migrate_within.scale(1.0 - MIGRATION_START_FRACTION), &established);
        self.shutdown.begin_migration(now + migrate_within);
        self.timers.schedule(now + deadline, TimerEvent::ShutdownDeadline);
    }

    /// Migrates what is still established, and answers what still waits.
    pub(super) fn end_all_requests(&mut self, now: Time, commands: &mut Vec<Command>) {
        self.shutdown.deadline_passed = true;
        for id in self.requests.ids() {
            self.migrate(id, Outcome::Cancelled, commands);
            // A rejection promises that a retry does no harm.
            let is_safe_to_retry = self.balancer.is_safe_to_retry(id);
            let answer = if is_safe_to_retry {
                FinalAnswer::Rejected(REMOVED_MIGRATION_SPAN)
            } else {
                FinalAnswer::Failed
            };
            self.answer_request(now, id, answer, commands);
        }
    }

    /// Does what the shutdown asks of a connection that has just been established.
    pub(super) fn apply_shutdown_phase(&mut self, now: Time, id: RequestId, commands: &mut Vec<Command>) {
        match self.shutdown.phase {
            Phase::Serving => {}
            Phase::Migrating(until) => {
                self.timers.schedule(until, TimerEvent::Migrate(id));
            }
            Phase::Handover(_) => {
                self.transfer_to_successor(id, commands);
                self.process_pending_events(now, commands);
            }
        }
    }

    fn transfer_to_successor(&mut self, id: RequestId, commands: &mut Vec<Command>) {
        let Some(connection) = self.requests.established(id) else { return };
        let attempt = connection.number;
        commands.push(Command::HandOff { id, server: connection.server });
        self.end_attempt(id, attempt, Outcome::Cancelled);
    }

    /// Migrates connections one after the other, evenly over this span.
    pub(super) fn schedule_migrations(&mut self, start: Time, span: Span, connections: &[RequestId]) {
        for (index, &id) in connections.iter().enumerate() {
            let wait = span.scale((index + 1) as f64 / connections.len() as f64);
            self.timers.schedule(start + wait, TimerEvent::Migrate(id));
        }
    }

    /// Migrates a connection, if it is established.
    pub(super) fn migrate(&mut self, id: RequestId, outcome: Outcome, commands: &mut Vec<Command>) {
        let Some(attempt) = self.requests.established(id).map(|connection| connection.number) else { return };
        commands.push(Command::Migrate { id });
        self.end_attempt(id, attempt, outcome);
    }
}
