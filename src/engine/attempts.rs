//! Requests, their attempts and the connections that successful attempts establish.
//!
//! A request has at most one attempt in flight and gets at most one final answer, regardless of what the
//! decision module or a front end does.

use std::collections::BTreeMap;

use tokio_util::time::delay_queue::Key;

use super::Engine;
use super::command::{Command, FinalAnswer};
use super::drain::REMOVED_MIGRATION_SPAN;
use super::timers::TimerEvent;
use crate::decision::interface::{Event, Outcome, Request, RequestId, ServerId, Span, TenantId, Time};

/// A client message that the server has not answered yet.
#[derive(Clone, Copy)]
pub(super) struct UnansweredMessage {
    /// When the message was forwarded to the server.
    pub(super) forwarded_at: Time,
    /// Whether the server is expected to answer the message immediately.
    pub(super) is_prompt: bool,
}

/// The attempt of a request that is in flight, or the connection that the attempt established.
pub(super) struct CurrentAttempt {
    /// Number of the attempt within its request, from 0.
    pub(super) number: u32,
    pub(super) server: ServerId,
    /// When the attempt was started; for an adopted connection, when it was adopted.
    pub(super) started_at: Time,
    /// Timer of the attempt's timeout; `None` once the connection is established.
    pub(super) timeout_timer: Option<Key>,
    /// Whether the attempt has become an established connection.
    pub(super) established: bool,
    /// The oldest client message without an answer.
    pub(super) oldest_unanswered: Option<UnansweredMessage>,
}

impl CurrentAttempt {
    fn in_flight(number: u32, server: ServerId, started_at: Time, timeout_timer: Key) -> Self {
        let timeout_timer = Some(timeout_timer);
        Self { number, server, started_at, timeout_timer, established: false, oldest_unanswered: None }
    }

    /// Creates the record of a connection that another process established.
    fn adopted(server: ServerId, now: Time) -> Self {
        Self {
            number: 0,
            server,
            started_at: now,
            timeout_timer: None,
            established: true,
            oldest_unanswered: None,
        }
    }
}

/// State of an open request: one that awaits its answer or has an established connection.
#[derive(Default)]
pub(super) struct RequestRecord {
    tenant: Option<TenantId>,
    /// Number of attempts started so far.
    attempts_made: u32,
    current_attempt: Option<CurrentAttempt>,
}

/// Numbers of established connections of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EstablishedCounts {
    /// Number of established connections of each server.
    pub by_server: BTreeMap<ServerId, u32>,
    /// Number of established connections of each tenant; connections without a tenant are not included.
    pub by_tenant: BTreeMap<TenantId, u32>,
}

/// All open requests, including those with an established connection.
#[derive(Default)]
pub(super) struct RequestTable {
    records: BTreeMap<RequestId, RequestRecord>,
}

impl RequestTable {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.records.contains_key(&id)
    }

    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.records.keys().copied().collect()
    }

    pub(super) fn current_attempt(&self, id: RequestId) -> Option<&CurrentAttempt> {
        self.records.get(&id)?.current_attempt.as_ref()
    }

    pub(super) fn current_attempt_mut(&mut self, id: RequestId) -> Option<&mut CurrentAttempt> {
        self.records.get_mut(&id)?.current_attempt.as_mut()
    }

    /// Returns the current attempt if it has this number.
    pub(super) fn attempt_mut(&mut self, id: RequestId, number: u32) -> Option<&mut CurrentAttempt> {
        self.current_attempt_mut(id).filter(|attempt| attempt.number == number)
    }

    /// Returns the established connection of a request, if there is one.
    pub(super) fn established(&self, id: RequestId) -> Option<&CurrentAttempt> {
        self.current_attempt(id).filter(|attempt| attempt.established)
    }

    /// Returns all established connections with their request ids.
    pub(super) fn all_established(&self) -> impl Iterator<Item = (RequestId, &CurrentAttempt)> {
        self.records.iter().filter_map(|(&id, record)| {
            let attempt = record.current_attempt.as_ref().filter(|attempt| attempt.established)?;
            Some((id, attempt))
        })
    }

    pub(super) fn established_ids(&self) -> Vec<RequestId> {
        self.all_established().map(|(id, _)| id).collect()
    }

    fn established_counts(&self) -> EstablishedCounts {
        let mut counts = EstablishedCounts::default();
        for record in self.records.values() {
            let attempt = record.current_attempt.as_ref().filter(|attempt| attempt.established);
            let Some(attempt) = attempt else { continue };
            *counts.by_server.entry(attempt.server).or_default() += 1;
            if let Some(tenant) = record.tenant {
                *counts.by_tenant.entry(tenant).or_default() += 1;
            }
        }
        counts
    }

    fn insert(&mut self, id: RequestId, tenant: Option<TenantId>) {
        self.records.insert(id, RequestRecord { tenant, ..RequestRecord::default() });
    }

    /// Adds a connection that another process established.
    fn insert_established(&mut self, request: &Request, connection: CurrentAttempt) {
        let record =
            RequestRecord { tenant: request.tenant, attempts_made: 1, current_attempt: Some(connection) };
        self.records.insert(request.id, record);
    }

    fn remove(&mut self, id: RequestId) {
        self.records.remove(&id);
    }

    /// Counts a new attempt of a request and returns the number of this attempt.
    fn next_attempt_number(&mut self, id: RequestId) -> Option<u32> {
        let record = self.records.get_mut(&id)?;
        let number = record.attempts_made;
        record.attempts_made += 1;
        Some(number)
    }

    fn set_current_attempt(&mut self, id: RequestId, attempt: CurrentAttempt) {
        self.records.entry(id).or_default().current_attempt = Some(attempt);
    }

    /// Removes and returns the current attempt if it has this number.
    fn take_attempt(&mut self, id: RequestId, number: u32) -> Option<CurrentAttempt> {
        self.records.get_mut(&id)?.current_attempt.take_if(|attempt| attempt.number == number)
    }
}

impl Engine {
    /// Returns the number of open requests, including those with an established connection.
    pub fn open_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Checks whether a request is open, which includes having an established connection.
    pub fn has_request(&self, id: RequestId) -> bool {
        self.requests.contains(id)
    }

    /// Returns the server of a request's attempt in flight or established connection.
    pub fn server_of(&self, id: RequestId) -> Option<ServerId> {
        self.requests.current_attempt(id).map(|attempt| attempt.server)
    }

    /// Returns the numbers of established connections by server and by tenant.
    pub fn established_counts(&self) -> EstablishedCounts {
        self.requests.established_counts()
    }

    /// Handles a client's request for a connection. A request whose id is in use is ignored, because that id
    /// would get two answers.
    pub fn handle_request(&mut self, now: Time, request: Request, commands: &mut Vec<Command>) {
        let id = request.id;
        if self.requests.contains(id) {
            return;
        }
        if self.shutdown.rejects_requests() {
            let answer = FinalAnswer::Rejected(REMOVED_MIGRATION_SPAN);
            return commands.push(Command::Answer { id, answer });
        }
        self.requests.insert(id, request.tenant);
        self.invariants.record_request(now, id, request.class, request.time_left);
        self.handle_event(now, Event::Request(request), commands);
    }

    /// Records a connection to `server` that was established before this process started.
    pub fn handle_existing_connection(
        &mut self,
        now: Time,
        request: Request,
        server: ServerId,
        commands: &mut Vec<Command>,
    ) {
        if self.requests.contains(request.id) {
            return;
        }
        self.requests.insert_established(&request, CurrentAttempt::adopted(server, now));
        self.handle_event(now, Event::ExistingConnection { request, server }, commands);
    }

    /// Decides whether an attempt may send its first byte now. The connection of the attempt is open.
    ///
    /// This is the only place where the final decision to send is made. Since the server was chosen, the
    /// server may have begun to drain, the endpoint list may have expired, and the idempotency window of a
    /// retry may have ended. In these cases the attempt ends with [`Command::Close`], and the result is false.
    /// The result is also false for an attempt that has already ended.
    pub fn may_send_first_byte(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(server) = self.requests.attempt_mut(id, attempt).map(|current| current.server) else {
            return false;
        };
        let list_is_valid = !self.endpoints.is_expired() && self.list_lease.is_valid(now);
        let allowed = list_is_valid && self.balancer.may_begin_attempt(now, id);
        if allowed && self.is_ready(server) {
            self.invariants.record_first_byte(now, id, attempt, server);
            return true;
        }
        commands.push(Command::Close { id, attempt });
        // If only this server is unavailable, the request may be retried on another one. If no attempt may
        // begin now, the request is answered.
        let outcome = if allowed { Outcome::ConnectError } else { Outcome::NotSent };
        self.end_attempt(id, attempt, outcome);
        self.process_pending_events(now, commands);
        false
    }

    /// Records that an attempt's connection is established, so that the client may be served on it. Returns
    /// false if the attempt has ended, in which case [`Command::Close`] was returned before.
    pub fn handle_established(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(current) = self.requests.attempt_mut(id, attempt) else { return false };
        if current.established {
            return true;
        }
        current.established = true;
        let timer = current.timeout_timer.take();
        let server = current.server;
        let elapsed = now.since(current.started_at);
        self.invariants.release_request(id);
        self.timers.cancel(timer);
        self.servers.entry(server).or_default().response_times.record_message(now);
        if let Some(reporter) = &mut self.outcome_reporter {
            reporter.record(server, None);
        }
        self.handle_event(now, Event::Established { id, attempt, elapsed }, commands);
        self.apply_shutdown_phase(now, id, commands);
        true
    }

    /// Records that an attempt, or the connection that it established, has ended. Does nothing if the end of
    /// the attempt was recorded before.
    pub fn handle_attempt_end(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        commands: &mut Vec<Command>,
    ) {
        self.end_attempt(id, attempt, outcome);
        self.process_pending_events(now, commands);
    }

    /// Records that the client has disconnected.
    pub fn handle_client_left(&mut self, now: Time, id: RequestId, commands: &mut Vec<Command>) {
        if !self.requests.contains(id) {
            return;
        }
        self.invariants.release_request(id);
        if let Some(number) = self.requests.established(id).map(|connection| connection.number) {
            self.end_attempt(id, number, Outcome::Cancelled);
        } else {
            self.pending_events.push_back(Event::ClientLeft { id });
            self.remove_unserved(id, commands);
        }
        self.process_pending_events(now, commands);
    }

    /// Records the load that a connection reports, in microseconds of work per second.
    pub fn handle_load_report(
        &mut self,
        now: Time,
        id: RequestId,
        load_micros: f64,
        commands: &mut Vec<Command>,
    ) {
        self.handle_event(now, Event::LoadChanged { id, load: load_micros / 1e6 }, commands);
    }

    /// Ends an attempt that has timed out.
    pub(super) fn time_out_attempt(&mut self, id: RequestId, attempt: u32, commands: &mut Vec<Command>) {
        let current = self.requests.attempt_mut(id, attempt).filter(|current| !current.established);
        let Some(current) = current else { return };
        // The timer has fired, and the timer queue may have reused its key for another timer.
        current.timeout_timer = None;
        commands.push(Command::Close { id, attempt });
        self.end_attempt(id, attempt, Outcome::TimedOut);
    }

    /// Starts an attempt that the decision module has requested.
    pub(super) fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        server: ServerId,
        timeout: Span,
        commands: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.requests.next_attempt_number(id) else { return };
        if self.requests.current_attempt(id).is_some() {
            let outcome = Outcome::NotSent;
            let not_sent = Event::AttemptEnded { id, attempt, outcome, request_done: false };
            return self.pending_events.push_back(not_sent);
        }
        let timeout = timeout.max(Span::ZERO);
        let timer = self.timers.schedule(now + timeout, TimerEvent::AttemptTimeout { id, attempt });
        self.requests.set_current_attempt(id, CurrentAttempt::in_flight(attempt, server, now, timer));
        commands.push(Command::Attempt { id, attempt, server, timeout });
    }

    /// Cancels an attempt because the decision module no longer needs its result.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: u32, commands: &mut Vec<Command>) {
        if self.requests.attempt_mut(id, attempt).is_some_and(|current| !current.established) {
            commands.push(Command::Close { id, attempt });
            self.end_attempt(id, attempt, Outcome::Cancelled);
        }
    }

    /// Sends the final answer of a request, at most once. A request that has ended has no record, and one
    /// with an established connection needs no answer.
    pub(super) fn answer_request(
        &mut self,
        now: Time,
        id: RequestId,
        answer: FinalAnswer,
        commands: &mut Vec<Command>,
    ) {
        if !self.requests.contains(id) || self.requests.established(id).is_some() {
            return;
        }
        self.remove_unserved(id, commands);
        self.invariants.record_answer(now, id, matches!(answer, FinalAnswer::Rejected(_)));
        commands.push(Command::Answer { id, answer });
    }

    /// Removes a request without an established connection, together with its attempt in flight, if there is
    /// one.
    fn remove_unserved(&mut self, id: RequestId, commands: &mut Vec<Command>) {
        if let Some(attempt) = self.requests.current_attempt(id).map(|current| current.number) {
            commands.push(Command::Close { id, attempt });
            self.end_attempt(id, attempt, Outcome::Cancelled);
            // The request has ended, so the decision module must not retry it when it handles this event.
            if let Some(Event::AttemptEnded { request_done, .. }) = self.pending_events.back_mut() {
                *request_done = true;
            }
        }
        self.requests.remove(id);
    }

    /// Removes an attempt and queues the event of its end for the decision module.
    pub(super) fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(ended) = self.requests.take_attempt(id, attempt) else { return };
        self.invariants.record_attempt_end(id, attempt, outcome);
        if let Some(reporter) = &mut self.outcome_reporter {
            reporter.record_end(ended.server, ended.established, outcome);
        }
        let request_done = ended.established || outcome == Outcome::Ok;
        if request_done {
            self.requests.remove(id);
        }
        self.timers.cancel(ended.timeout_timer);
        self.pending_events.push_back(Event::AttemptEnded { id, attempt, outcome, request_done });
    }
}
