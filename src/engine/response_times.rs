//! Response times of servers, measured on the connections of this process, and detection of slow and silent
//! servers.

use std::collections::BTreeMap;

use ashtide_fleet::state::EvidenceKind;

use super::Engine;
use super::attempts::{RequestTable, UnansweredMessage};
use super::command::Command;
use super::timers::TimerEvent;
use crate::decision::interface::{Event, Outcome, RequestId, ServerId, Settings, Span, Time};

/// Time without an answer to its oldest message after which a connection is migrated. The protocol allows 7 s
/// after the last line that the server returned, and clients send a line every 2 s.
const SILENT_CONNECTION_TIMEOUT: Span = Span::from_micros(4_300_000);
/// Time after which a prompt answer is overdue. A server with overdue prompt answers is silent if it has not
/// sent anything on any connection in the meantime.
const SILENT_SERVER_TIMEOUT: Span = Span::from_micros(1_000_000);
/// Number of connections with an overdue prompt answer that shows a silent server. A single connection
/// suffices after twice [`SILENT_SERVER_TIMEOUT`].
const SILENT_SERVER_MIN_OVERDUE: u32 = 2;
/// Interval between checks of all established connections.
pub(super) const SWEEP_INTERVAL: Span = Span::from_micros(250_000);
/// Shortest time between two reports of a slow server to the decision module.
const SLOW_REPORT_INTERVAL: Span = Span::from_micros(1_000_000);
/// Fraction of the shortest message latency objective from which a response is slow.
const SLOW_FRACTION_OF_OBJECTIVE: f64 = 1.0 / 3.0;

/// Returns the response time from which a server is slow; zero if no class has an objective.
pub(super) fn slow_threshold(settings: &Settings) -> Span {
    let objectives = settings.classes.iter().map(|class| class.message_latency_objective);
    let shortest = objectives.filter(|&objective| objective > Span::ZERO).min();
    shortest.map_or(Span::ZERO, |objective| objective.scale(SLOW_FRACTION_OF_OBJECTIVE))
}

/// Response times of one server.
#[derive(Default)]
pub(super) struct ResponseTimes {
    /// The shortest response time since the last report.
    shortest_response: Option<Span>,
    /// When a response time of this server was last reported.
    reported_at: Option<Time>,
    /// Whether the last report showed a slow server.
    reported_slow: bool,
    /// When the server last sent anything on any connection.
    last_message_at: Option<Time>,
}

impl ResponseTimes {
    /// Records that the server has sent something.
    pub(super) fn record_message(&mut self, now: Time) {
        self.last_message_at = Some(now);
    }

    /// Records that the server has answered a message after `elapsed`.
    fn record_answer(&mut self, elapsed: Span) {
        let shortest = self.shortest_response.map_or(elapsed, |shortest| shortest.min(elapsed));
        self.shortest_response = Some(shortest);
    }

    fn is_silent_since(&self, time: Time) -> bool {
        self.last_message_at.is_none_or(|last_message_at| last_message_at <= time)
    }

    /// Returns the response time to report now, and records it as reported. A slow server is reported once
    /// per [`SLOW_REPORT_INTERVAL`], and once more when it is no longer slow.
    fn take_slow_report(&mut self, now: Time, threshold: Span, longest_wait: Span) -> Option<Span> {
        let is_due =
            self.reported_at.is_none_or(|reported_at| now.since(reported_at) >= SLOW_REPORT_INTERVAL);
        if !is_due || threshold == Span::ZERO {
            return None;
        }
        let outstanding = (longest_wait > Span::ZERO).then_some(longest_wait);
        let measured = self.shortest_response.take().or(outstanding)?;
        // A message that has been unanswered for an entire report interval outweighs the last answers.
        let response_time =
            if longest_wait >= SLOW_REPORT_INTERVAL { measured.max(longest_wait) } else { measured };
        let is_slow = response_time >= threshold;
        if !is_slow && !self.reported_slow {
            return None;
        }
        self.reported_at = Some(now);
        self.reported_slow = is_slow;
        Some(response_time)
    }
}

/// Messages that one server has not answered.
#[derive(Default)]
struct OutstandingMessages {
    /// Time since the oldest message was forwarded.
    longest_wait: Span,
    /// Number of prompt answers that are overdue.
    overdue_prompt_answers: u32,
    /// When the oldest message that expects a prompt answer was forwarded.
    oldest_prompt_at: Option<Time>,
}

impl OutstandingMessages {
    fn add(&mut self, now: Time, message: UnansweredMessage) {
        let waited = now.since(message.forwarded_at);
        self.longest_wait = self.longest_wait.max(waited);
        if message.is_prompt {
            self.overdue_prompt_answers += u32::from(waited >= SILENT_SERVER_TIMEOUT);
            let oldest =
                self.oldest_prompt_at.map_or(message.forwarded_at, |oldest| oldest.min(message.forwarded_at));
            self.oldest_prompt_at = Some(oldest);
        }
    }

    /// Returns the time from which prompt answers are due, if enough of them are overdue for a silent server.
    fn silent_since(&self, now: Time) -> Option<Time> {
        let since = self.oldest_prompt_at?;
        let suffices = self.overdue_prompt_answers >= SILENT_SERVER_MIN_OVERDUE
            || now.since(since) >= SILENT_SERVER_TIMEOUT + SILENT_SERVER_TIMEOUT;
        (self.overdue_prompt_answers > 0 && suffices).then_some(since)
    }
}

/// Unanswered messages of all established connections.
#[derive(Default)]
struct OutstandingSurvey {
    by_server: BTreeMap<ServerId, OutstandingMessages>,
    /// Connections without an answer for at least [`SILENT_CONNECTION_TIMEOUT`].
    silent_connections: Vec<RequestId>,
}

impl OutstandingSurvey {
    fn new(now: Time, requests: &RequestTable) -> Self {
        let mut survey = Self::default();
        for (id, connection) in requests.all_established() {
            let Some(message) = connection.oldest_unanswered else { continue };
            survey.by_server.entry(connection.server).or_default().add(now, message);
            if now.since(message.forwarded_at) >= SILENT_CONNECTION_TIMEOUT {
                survey.silent_connections.push(id);
            }
        }
        survey
    }

    fn longest_wait(&self, server: ServerId) -> Span {
        self.by_server.get(&server).map_or(Span::ZERO, |outstanding| outstanding.longest_wait)
    }
}

impl Engine {
    /// Records that a client message was forwarded to the server. If `is_prompt`, the server is expected to
    /// answer it immediately.
    pub fn handle_client_message(&mut self, now: Time, id: RequestId, is_prompt: bool) {
        if let Some(current) = self.requests.current_attempt_mut(id) {
            current.oldest_unanswered.get_or_insert(UnansweredMessage { forwarded_at: now, is_prompt });
        }
    }

    /// Records that the server has sent something on the connection.
    pub fn handle_server_message(&mut self, now: Time, id: RequestId) {
        let Some(current) = self.requests.current_attempt_mut(id) else { return };
        let response_times = &mut self.servers.entry(current.server).or_default().response_times;
        response_times.record_message(now);
        if let Some(message) = current.oldest_unanswered.take() {
            response_times.record_answer(now.since(message.forwarded_at));
        }
    }

    /// Migrates silent connections and reports silent and slow servers to the decision module.
    pub(super) fn sweep_established(&mut self, now: Time, commands: &mut Vec<Command>) {
        // After a stall of this process, answers may be unread in sockets, so no server is reported as
        // silent.
        let has_stalled = now.since(self.next_sweep_at) >= SWEEP_INTERVAL;
        self.next_sweep_at = now + SWEEP_INTERVAL;
        self.timers.schedule(self.next_sweep_at, TimerEvent::Sweep);
        let survey = OutstandingSurvey::new(now, &self.requests);
        self.report_slow_servers(now, &survey);
        if !has_stalled {
            self.report_silent_servers(now, &survey);
        }
        self.migrate_silent_connections(survey.silent_connections, commands);
    }

    fn report_slow_servers(&mut self, now: Time, survey: &OutstandingSurvey) {
        for (&server, record) in &mut self.servers {
            let longest_wait = survey.longest_wait(server);
            let report = record.response_times.take_slow_report(now, self.slow_threshold, longest_wait);
            if let Some(response_time) = report {
                self.pending_events.push_back(Event::SlowResponses { server, response_time });
            }
        }
    }

    fn report_silent_servers(&mut self, now: Time, survey: &OutstandingSurvey) {
        for (&server, outstanding) in &survey.by_server {
            let Some(since) = outstanding.silent_since(now) else { continue };
            let record = self.servers.get(&server);
            if record.is_some_and(|record| !record.response_times.is_silent_since(since)) {
                continue;
            }
            self.pending_events.push_back(Event::ServerSilent { server });
            if let Some(reporter) = &mut self.outcome_reporter {
                reporter.record(server, Some(EvidenceKind::Silent));
            }
        }
    }

    /// Migrates connections without reporting their ends as outcomes, as silent servers are reported
    /// separately.
    fn migrate_silent_connections(&mut self, silent: Vec<RequestId>, commands: &mut Vec<Command>) {
        let reporter = self.outcome_reporter.take();
        for id in silent {
            self.migrate(id, Outcome::Reset, commands);
        }
        self.outcome_reporter = reporter;
    }
}
