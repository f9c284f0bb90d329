//! The core of a gateway: requests, attempts and their outcomes, independent of the transport.
//!
//! The engine owns the decision module and records the state around it. Front ends report requests and the
//! outcomes of attempts; the engine returns [`Command`]s for them to execute. Regardless of what the decision
//! module or a front end does, a request gets one final answer and has at most one attempt in flight. The
//! engine reads no clock: every call passes the time, and [`Engine::next_timer_event`] wakes the driver.
//!
//! A successful request passes through `handle_request`, [`Command::Attempt`], `may_send_first_byte`,
//! `handle_established`, and `handle_attempt_end` when the connection ends. If no attempt succeeds, the
//! request ends with [`Command::Answer`].

use std::collections::{BTreeMap, VecDeque};

use crate::decision::Balancer;
use crate::decision::interface::{Action, Event, Outcome, ServerId, Settings, Span, Time};
use crate::decision::slow_start::SlowStartConfig;
use crate::discovery::MAX_LIST_STALENESS;
use crate::fleet::permits::{Permits, ServerKey};
use crate::fleet::shared_state::{OutcomeReport, OutcomeReporter};

mod attempts;
mod command;
mod drain;
mod endpoint_list;
pub mod health_check_budget;
pub mod invariants;
mod list_lease;
pub mod open_ids;
mod permits;
mod response_times;
mod timers;
mod used_ids;

pub use attempts::EstablishedCounts;
pub use command::{Command, FinalAnswer};
pub use list_lease::ListLease;
pub use timers::{MonotonicEpoch, TimerEvent};

use attempts::RequestTable;
use drain::ShutdownPhase;
use endpoint_list::{OverriddenList, ServerRecord};
use health_check_budget::HealthCheckBudget;
use invariants::{RequestInvariants, Violation};
use response_times::SWEEP_INTERVAL;
use timers::Timers;

/// Finest granularity of timers.
const MIN_TIMER_GRANULARITY: Span = Span::from_micros(1_000);

/// Numbers of health checks since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthCheckCounts {
    /// Health checks that were sent.
    pub sent: usize,
    /// Health checks that the decision module requested and the budget did not allow.
    pub withheld: usize,
}

/// Detected violations of request invariants.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestViolations {
    /// Violations since the last call of [`Engine::take_request_violations`]; only the first ones if there
    /// are many.
    pub recent: Vec<Violation>,
    /// Number of violations since the start.
    pub total: u64,
}

/// The core of one gateway.
pub struct Engine {
    balancer: Balancer,
    requests: RequestTable,
    servers: BTreeMap<ServerId, ServerRecord>,
    endpoints: OverriddenList,
    list_lease: ListLease,
    timers: Timers,
    /// Response time from which a server is slow; zero if no server is ever reported as slow.
    slow_threshold: Span,
    /// Permits for warming servers; `None` if gateways don't exchange permits.
    permits: Option<Permits>,
    servers_by_key: BTreeMap<ServerKey, ServerId>,
    health_check_budget: HealthCheckBudget,
    invariants: RequestInvariants,
    /// Outcomes of attempts for reports to other gateways; `None` if these are disabled.
    outcome_reporter: Option<OutcomeReporter>,
    next_sweep_at: Time,
    shutdown: ShutdownPhase,
    /// Events that the decision module has not handled yet.
    pending_events: VecDeque<Event>,
}

impl Engine {
    /// Creates an engine whose time begins at `epoch`.
    ///
    /// The engine must be created and used inside a tokio runtime with a timer.
    pub fn new(settings: Settings, seed: u64, epoch: MonotonicEpoch) -> Self {
        let started_at = epoch.time;
        let granularity = settings.batch_interval.max(MIN_TIMER_GRANULARITY);
        let slow_start = SlowStartConfig::new(&settings);
        let permits = settings
            .fleet_permits
            .then(|| Permits::new(settings.gateway_id, settings.gateways, slow_start, started_at));
        let phase = f64::from((seed >> 32) as u32) / f64::from(u32::MAX);
        let mut engine = Self {
            slow_threshold: response_times::slow_threshold(&settings),
            health_check_budget: HealthCheckBudget::new(settings.health_checks, settings.gateways, phase),
            invariants: RequestInvariants::new(&settings),
            balancer: Balancer::new(settings, seed),
            requests: RequestTable::default(),
            servers: BTreeMap::new(),
            endpoints: OverriddenList::default(),
            list_lease: ListLease::new(started_at),
            timers: Timers::new(epoch, granularity),
            permits,
            servers_by_key: BTreeMap::new(),
            outcome_reporter: None,
            next_sweep_at: started_at + SWEEP_INTERVAL,
            shutdown: ShutdownPhase::default(),
            pending_events: VecDeque::new(),
        };
        engine.timers.schedule(started_at + SWEEP_INTERVAL, TimerEvent::Sweep);
        engine.timers.schedule(started_at + MAX_LIST_STALENESS, TimerEvent::ListExpired);
        engine
    }

    /// Waits for the next timer that is due.
    pub async fn next_timer_event(&mut self) -> TimerEvent {
        self.timers.next().await
    }

    /// Handles a timer that is due.
    pub fn handle_timer(&mut self, now: Time, event: TimerEvent, commands: &mut Vec<Command>) {
        match event {
            TimerEvent::Decision(token) => self.handle_event(now, Event::Timer(token), commands),
            TimerEvent::AttemptTimeout { id, attempt } => self.time_out_attempt(id, attempt, commands),
            TimerEvent::Migrate(id) => self.migrate(id, Outcome::Cancelled, commands),
            TimerEvent::Sweep => self.sweep_established(now, commands),
            TimerEvent::ListExpired => self.expire_list(now, commands),
            TimerEvent::PermitReplyTimeout { server, request_number } => {
                self.handle_permit_timeout(now, server, request_number, commands);
            }
            TimerEvent::ShutdownDeadline => self.end_all_requests(now, commands),
        }
        self.process_pending_events(now, commands);
    }

    /// Passes an event to the decision module after all pending events.
    fn handle_event(&mut self, now: Time, event: Event, commands: &mut Vec<Command>) {
        self.pending_events.push_back(event);
        self.process_pending_events(now, commands);
    }

    fn process_pending_events(&mut self, now: Time, commands: &mut Vec<Command>) {
        self.timers.advance_to(now);
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform_action(now, action, commands);
            }
        }
    }

    fn perform_action(&mut self, now: Time, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::Attempt { id, server, timeout } => self.start_attempt(now, id, server, timeout, commands),
            Action::Reject { id, retry_after } => {
                self.answer_request(now, id, FinalAnswer::Rejected(retry_after), commands);
            }
            Action::Fail { id } => self.answer_request(now, id, FinalAnswer::Failed, commands),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(id, attempt, commands),
            Action::Migrate { id } => self.migrate(id, Outcome::Cancelled, commands),
            Action::SetTimer { token, due_at } => {
                self.timers.schedule(due_at, TimerEvent::Decision(token));
            }
            Action::CheckHealth { server } => self.check_health(now, server, commands),
            Action::Subscribe => commands.push(Command::Subscribe),
            Action::RequestPermit { server } => self.request_permit(now, server, commands),
        }
    }

    fn check_health(&mut self, now: Time, server: ServerId, commands: &mut Vec<Command>) {
        if self.health_check_budget.try_acquire(now, server) {
            commands.push(Command::CheckHealth { server });
        }
    }

    /// Handles the result of a health check.
    pub fn handle_health_check(
        &mut self,
        now: Time,
        server: ServerId,
        healthy: bool,
        commands: &mut Vec<Command>,
    ) {
        self.handle_event(now, Event::HealthChecked { server, healthy, report: None }, commands);
    }

    /// Returns the numbers of health checks since the start.
    pub fn health_check_counts(&self) -> HealthCheckCounts {
        HealthCheckCounts {
            sent: self.health_check_budget.sent(),
            withheld: self.health_check_budget.withheld(),
        }
    }

    /// Returns the number of connections that the decision module counts on a server, including attempts in
    /// flight.
    pub fn connections_on(&self, server: ServerId) -> u32 {
        self.balancer.open_connections(server)
    }

    /// Enables the recording of outcomes of attempts.
    pub fn enable_outcome_reports(&mut self) {
        self.outcome_reporter.get_or_insert_default();
    }

    /// Returns recent outcomes of attempts, with the hash key of each server that has new ones.
    pub fn take_outcome_reports(&mut self, now: Time) -> Vec<(u32, OutcomeReport)> {
        let Some(reporter) = &mut self.outcome_reporter else { return Vec::new() };
        let reports = reporter.take_reports(now).into_iter();
        reports.filter_map(|(server, report)| Some((self.endpoints.hash_key(server)?, report))).collect()
    }

    /// Returns the violations of request invariants since the last call and their number since the start.
    pub fn take_request_violations(&mut self) -> RequestViolations {
        RequestViolations {
            recent: self.invariants.take_violations(),
            total: self.invariants.violation_count(),
        }
    }
}
