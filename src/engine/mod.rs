//! The core: requests, attempts and outcomes, whatever wire they came by.
//!
//! The engine owns the decision module and does the bookkeeping round it. Fronts tell it of
//! requests and of what became of attempts; it returns effects for them to carry out. It holds two
//! promises whatever the module or a front does: a request gets one final answer, and never has two
//! attempts out. It reads no clock: every call is told the time, and its wheel wakes the driver.

pub mod health_check_budget;
pub mod invariants;
pub mod open_ids;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::poll_fn;
use std::task::Poll;

use ashtide_fleet::state::EvidenceKind;
use tokio::time::Instant;
use tokio_util::time::{DelayQueue, delay_queue::Key};

use crate::decision::Balancer;
use crate::decision::interface::*;
use crate::decision::slow_start::SlowStartConfig;
use crate::discovery::{ListLease, MAX_LIST_STALENESS, WatchEnd};
use crate::engine::health_check_budget::HealthCheckBudget;
use crate::engine::invariants::{RequestInvariants, Violation as RequestViolation};
use crate::fleet::permits::{
    DecodeError, PermitDatagram, PermitStep, PermitViolation, Permits, REPLY_TIMEOUT, ServerKey,
};
use crate::fleet::shared_state::{OutcomeReport, OutcomeReporter};
use crate::handover::ServerUsage;

/// A connection whose oldest message has waited this long for the server is moved: the protocol
/// allows 7 s from the last line returned, and clients send one every 2 s.
const SILENT_CONNECTION_TIMEOUT: Span = Span::from_micros(4_300_000);
/// A server is silent when connections of it wait this long for answers that are due at once and it
/// has said nothing on any meanwhile: sound ones answer a line in a millisecond, also when overrun.
const SILENT_SERVER_TIMEOUT: Span = Span::from_micros(1_000_000);
/// Connections that must wait for that; one alone waits twice as long.
const SILENT_SERVER_MIN_WAITING: u32 = 2;
/// How often standing connections are looked over for silence, and servers for slow messages.
const SWEEP_INTERVAL: Span = Span::from_micros(250_000);
/// How often the module hears of a server whose messages are slow.
const SLOW_REPORT_INTERVAL: Span = Span::from_micros(1_000_000);
/// Messages are slow from this part of the shortest message aim on.
const SLOW_FRACTION_OF_OBJECTIVE: f64 = 1.0 / 3.0;
/// Connections of a server that drains are moved within this time, unless it sends them away itself.
const DRAINING_MIGRATION_SPAN: Span = Span::from_micros(8_000_000);
/// Connections of a server that is gone from the list are moved within this time.
const REMOVED_MIGRATION_SPAN: Span = Span::from_micros(1_000_000);
/// Connections taken over from another process are moved in so many groups, where they must be.
const ADOPTED_MIGRATION_GROUPS: u32 = 16;
/// A process that leaves keeps its connections for this part of the time it has to move them: they are
/// served meanwhile, and where others restart in turn, the one before is back.
const MIGRATION_START_FRACTION: f64 = 0.4;
/// Longest wait that the wheel is asked for.
const MAX_TIMER_WAIT: Span = Span::from_micros(86_400_000_000);

/// A final answer that is not service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Turned away; trying again is harmless after this long (zero: no advice).
    Rejected(Span),
    /// Failed; nothing is promised.
    Failed,
}

/// What a front or a driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Make this attempt; the engine itself ends it after `timeout`.
    Attempt {
        /// Which request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Where.
        server: ServerId,
        /// How long the engine will wait.
        timeout: Span,
    },
    /// Give this attempt up now: nothing of it may be out afterwards.
    Close {
        /// Which request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Give the client this final answer.
    Answer {
        /// Which request.
        id: RequestId,
        /// What to answer.
        answer: FinalAnswer,
    },
    /// Send the client of this standing connection away politely, and end it.
    Migrate {
        /// Which request.
        id: RequestId,
    },
    /// Pass this standing connection to the process that succeeds this one.
    HandOff {
        /// Which request.
        id: RequestId,
        /// The server that holds it.
        server: ServerId,
    },
    /// Probe a server.
    CheckHealth {
        /// Which.
        server: ServerId,
    },
    /// Follow the server list from now on.
    Subscribe,
    /// Send another gateway this.
    SendDatagram(PermitDatagram),
}

/// What has come due on the wheel. Opaque to drivers: hand it back to [`Engine::fire`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer of the module.
    Decision(TimerToken),
    /// An attempt's time is up.
    AttemptTimeout(RequestId, u32),
    /// A standing connection's turn to be moved.
    Migrate(RequestId),
    /// Time to look over the standing connections.
    Sweep,
    /// What was missed of the list may count as told.
    ListExpired,
    /// The owner of a server's allowance that was asked under this number has had its time.
    PermitReplyTimeout(ServerKey, u16),
    /// No request may be left open any longer: this process is leaving.
    ShutdownDeadline,
}

struct CurrentAttempt {
    attempt: u32,
    server: ServerId,
    sent_at: Time,
    timeout_timer: Option<Key>,
    established: bool,
    /// When the oldest message that the server has not answered was passed on, and whether its
    /// answer is due at once.
    oldest_unanswered: Option<(Time, bool)>,
}

#[derive(Default)]
struct RequestRecord {
    tenant: Option<TenantId>,
    attempts_made: u32,
    current_attempt: Option<CurrentAttempt>,
}

/// How long messages take at a server, as the connections here show it.
#[derive(Default)]
struct ResponseTimes {
    state: ServerState,
    /// The shortest answer since the last look.
    shortest_answer: Option<Span>,
    reported_at: Option<Time>,
    is_slow: bool,
    /// When it last said anything on any connection.
    last_heard_at: Option<Time>,
}

/// What waits for answers of one server.
#[derive(Default)]
struct OutstandingMessages {
    longest_wait: Span,
    /// Of answers that are due at once: how many, and the one asked for longest ago.
    overdue_prompt_answers: u32,
    oldest_prompt_at: Option<Time>,
}

/// The core of one gateway.
pub struct Engine {
    balancer: Balancer,
    requests: BTreeMap<RequestId, RequestRecord>,
    response_times: BTreeMap<ServerId, ResponseTimes>,
    /// What the list says of each server, and those that operators have taken out whatever it says.
    listings: BTreeMap<ServerId, EndpointEntry>,
    cordoned: BTreeSet<ServerId>,
    /// Until when the list is vouched for; and whether nothing is placed as that is past.
    list_lease: ListLease,
    list_expired: bool,
    timers: DelayQueue<TimerEvent>,
    timer_granularity: Span,
    slow_threshold: Span,
    /// Rights to send to new servers, where gateways can ask each other, and which server a key means.
    permits: Option<Permits>,
    servers_by_key: BTreeMap<ServerKey, ServerId>,
    health_check_budget: HealthCheckBudget,
    /// What must hold for each request, checked as things happen.
    invariants: RequestInvariants,
    /// What attempts came to, where other gateways are told; and servers that are out by what they all saw.
    outcome_reporter: Option<OutcomeReporter>,
    ejected_by_quorum: BTreeSet<ServerId>,
    anchor: (Time, Instant),
    /// The latest time told.
    latest_time: Time,
    /// When the standing connections are next to be looked over.
    next_sweep_at: Time,
    /// Set while leaving: connections that come up are moved at this time, or handed on at once.
    migrate_new_at: Option<Time>,
    is_handing_over: bool,
    /// Whether the time of leaving is up: requests are refused as they come.
    rejects_requests: bool,
    pending_events: VecDeque<Event>,
}

impl Engine {
    /// An engine whose `Time` runs from `anchor`, a pair of simultaneous readings.
    ///
    /// Must be called, and used, inside a tokio runtime with a timer: the wheel lives there.
    pub fn new(settings: Settings, seed: u64, anchor: (Time, Instant)) -> Self {
        let aims =
            settings.classes.iter().map(|c| c.message_latency_objective).filter(|&aim| aim > Span::ZERO);
        let slow_from = aims.min().map_or(Span::ZERO, |aim| aim.scale(SLOW_FRACTION_OF_OBJECTIVE));
        let tick = settings.batch_interval.max(Span::from_micros(1_000));
        let ramp = SlowStartConfig::new(&settings);
        let rights = settings
            .fleet_permits
            .then(|| Permits::new(settings.gateway_id, settings.gateways, ramp, anchor.0));
        let phase = f64::from((seed >> 32) as u32) / f64::from(u32::MAX);
        let probing = HealthCheckBudget::new(settings.health_checks, settings.gateways, phase);
        let invariants = RequestInvariants::new(&settings);
        let mut engine = Self {
            balancer: Balancer::new(settings, seed),
            requests: BTreeMap::new(),
            response_times: BTreeMap::new(),
            listings: BTreeMap::new(),
            cordoned: BTreeSet::new(),
            list_lease: ListLease::new(anchor.0),
            list_expired: false,
            timers: DelayQueue::new(),
            timer_granularity: tick,
            slow_threshold: slow_from,
            permits: rights,
            servers_by_key: BTreeMap::new(),
            health_check_budget: probing,
            invariants,
            outcome_reporter: None,
            ejected_by_quorum: BTreeSet::new(),
            anchor,
            latest_time: anchor.0,
            next_sweep_at: anchor.0 + SWEEP_INTERVAL,
            migrate_new_at: None,
            is_handing_over: false,
            rejects_requests: false,
            pending_events: VecDeque::new(),
        };
        engine.schedule(anchor.0 + SWEEP_INTERVAL, TimerEvent::Sweep);
        engine.schedule(anchor.0 + MAX_LIST_STALENESS, TimerEvent::ListExpired);
        engine
    }

    /// Waits for the next thing due on the wheel.
    pub async fn next_timer_event(&mut self) -> TimerEvent {
        poll_fn(|cx| match self.timers.poll_expired(cx) {
            Poll::Ready(Some(expired)) => Poll::Ready(expired.into_inner()),
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        })
        .await
    }

    /// How many requests and connections are not over.
    pub fn open_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request or its connection is not over.
    pub fn has_request(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// The server of the attempt or connection that is out.
    pub fn server_of(&self, id: RequestId) -> Option<ServerId> {
        self.requests.get(&id)?.current_attempt.as_ref().map(|open| open.server)
    }

    /// How many connections the module counts on a server, attempts included.
    pub fn connections_on(&self, server: ServerId) -> u32 {
        self.balancer.open_connections(server)
    }

    /// How many servers on the list get nothing new for now, by the list's word or the module's.
    pub fn avoided_server_count(&self, now: Time) -> usize {
        let avoided = |(&server, pulse): (&ServerId, &ResponseTimes)| match pulse.state {
            ServerState::Ready => self.balancer.is_avoided(now, server),
            ServerState::Draining => true,
            ServerState::Removed => false,
        };
        self.response_times.iter().filter(|&it| avoided(it)).count()
    }

    /// News of the server list.
    pub fn handle_list_update(
        &mut self,
        now: Time,
        update: ListUpdate,
        mut entries: Vec<EndpointEntry>,
        commands: &mut Vec<Command>,
    ) {
        if matches!(update, ListUpdate::Snapshot | ListUpdate::Cached) {
            self.listings.values_mut().for_each(|listing| listing.state = ServerState::Removed);
        }
        for entry in &mut entries {
            self.listings.insert(entry.server, entry.clone());
            *entry = self.effective_listing(entry);
        }
        self.apply_list_update(now, update, entries, commands);
    }

    /// A call or watch has ended, and the list was last in step at `since`: any server may have been drained
    /// unheard.
    pub fn watch_lost(&mut self, now: Time, last_synced_at: Time, end: WatchEnd) {
        if let Some(until) = self.list_lease.handle_watch_end(now, last_synced_at, end) {
            self.schedule(until.max(now), TimerEvent::ListExpired);
        }
    }

    /// Discovery has answered, and what came with the answer is on the list, which stands from now on.
    pub fn renew_list_lease(&mut self, now: Time, commands: &mut Vec<Command>) {
        self.list_lease.renew();
        let again = std::mem::take(&mut self.list_expired);
        // The module hears of an answer with nothing new as well: its next call is soon again.
        let listed = self.listings.values().filter(|_| again);
        let entries =
            listed.map(|listing| self.as_decision_sees_it(self.effective_listing(listing))).collect();
        self.handle_event(now, Event::EndpointList { update: ListUpdate::Delta, entries }, commands);
    }

    /// Whether nothing may be placed for want of a list.
    pub fn list_expired(&self) -> bool {
        self.list_expired
    }

    /// The module places nothing on a server that drains; standing connections stay, as none may have been
    /// told to go. To refuse for some seconds costs these seconds, to place on one server that was drained
    /// breaks a rule.
    fn expire_list(&mut self, now: Time, commands: &mut Vec<Command>) {
        if self.list_expired || self.list_lease.is_valid(now) {
            return;
        }
        self.list_expired = true;
        let entries = self
            .listings
            .values()
            .map(|listing| self.as_decision_sees_it(self.effective_listing(listing)))
            .collect();
        // No word of discovery: the waits between calls go on as they have grown.
        self.handle_event(now, Event::EndpointList { update: ListUpdate::Cached, entries }, commands);
    }

    /// An entry of the list as the module is to see it.
    fn effective_listing(&self, listing: &EndpointEntry) -> EndpointEntry {
        let out = listing.state == ServerState::Ready && self.cordoned.contains(&listing.server);
        EndpointEntry { state: if out { ServerState::Draining } else { listing.state }, ..listing.clone() }
    }

    /// Such an entry, where servers that are out by judgement, and all while nothing is vouched for, drain for
    /// the module alone.
    fn as_decision_sees_it(&self, listing: EndpointEntry) -> EndpointEntry {
        let out = self.list_expired || self.ejected_by_quorum.contains(&listing.server);
        let out = out && listing.state == ServerState::Ready;
        EndpointEntry { state: if out { ServerState::Draining } else { listing.state }, ..listing }
    }

    /// These servers, by key, are out by what the gateways saw together, and no others: they get nothing new, and what
    /// stands there stays.
    pub fn set_quorum_ejections(&mut self, now: Time, keys: &BTreeSet<u32>, commands: &mut Vec<Command>) {
        if keys.is_empty() && self.ejected_by_quorum.is_empty() {
            return;
        }
        let judged = self.listings.values().filter(|it| keys.contains(&it.hash_key)).map(|it| it.server);
        let before = std::mem::replace(&mut self.ejected_by_quorum, judged.collect());
        let changed: Vec<ServerId> = self.ejected_by_quorum.symmetric_difference(&before).copied().collect();
        // What is not vouched for drains as it is, and is used again with these left out.
        if changed.is_empty() || self.list_expired {
            return;
        }
        let listings = changed.iter().filter_map(|server| self.listings.get(server));
        let entries =
            listings.map(|listing| self.as_decision_sees_it(self.effective_listing(listing))).collect();
        self.handle_event(now, Event::EndpointList { update: ListUpdate::Delta, entries }, commands);
    }

    /// Notes from now on what attempts come to.
    pub fn enable_outcome_reports(&mut self) {
        self.outcome_reporter.get_or_insert_default();
    }

    /// What attempts came to lately, by the key of each server of which there is something new.
    pub fn take_outcome_reports(&mut self, now: Time) -> Vec<(u32, OutcomeReport)> {
        let sights = self.outcome_reporter.as_mut().map(|it| it.take_reports(now)).unwrap_or_default();
        sights
            .into_iter()
            .filter_map(|(server, sight)| Some((self.listings.get(&server)?.hash_key, sight)))
            .collect()
    }

    /// Whether a server is ready by the list and by operators.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.listings.get(&server).is_some_and(|it| self.effective_listing(it).state == ServerState::Ready)
    }

    /// Standing connections by server, and by tenant.
    pub fn established_counts(&self) -> (BTreeMap<ServerId, u32>, BTreeMap<TenantId, u32>) {
        let (mut servers, mut tenants) = (BTreeMap::new(), BTreeMap::new());
        for record in self.requests.values() {
            let Some(open) = record.current_attempt.as_ref().filter(|open| open.established) else {
                continue;
            };
            *servers.entry(open.server).or_default() += 1;
            if let Some(tenant) = record.tenant {
                *tenants.entry(tenant).or_default() += 1;
            }
        }
        (servers, tenants)
    }

    /// Operators take a server out, or put it back: until then it drains, whatever the list says.
    pub fn set_cordon(&mut self, now: Time, server: ServerId, take_out: bool, commands: &mut Vec<Command>) {
        let changed = if take_out { self.cordoned.insert(server) } else { self.cordoned.remove(&server) };
        let Some(listing) = self.listings.get(&server).cloned().filter(|_| changed) else { return };
        // One put back while nothing is vouched for is used again with the rest.
        if listing.state != ServerState::Ready || (self.list_expired && !take_out) {
            return;
        }
        let state = if take_out { ServerState::Draining } else { ServerState::Ready };
        self.apply_list_update(now, ListUpdate::Delta, vec![EndpointEntry { state, ..listing }], commands);
        if !take_out {
            self.handle_event(now, Event::Uncordoned { server }, commands);
        }
    }

    fn apply_list_update(
        &mut self,
        now: Time,
        update: ListUpdate,
        entries: Vec<EndpointEntry>,
        commands: &mut Vec<Command>,
    ) {
        let before: BTreeMap<ServerId, ServerState> =
            self.response_times.iter().map(|(&server, pulse)| (server, pulse.state)).collect();
        if matches!(update, ListUpdate::Snapshot | ListUpdate::Cached) {
            self.response_times.values_mut().for_each(|pulse| pulse.state = ServerState::Removed);
            self.invariants.record_snapshot(now);
        }
        for entry in &entries {
            self.invariants.record_listing(now, entry);
            if before.get(&entry.server) != Some(&entry.state) && entry.state == ServerState::Removed {
                self.health_check_budget.forget(entry.server);
            }
            self.response_times.entry(entry.server).or_default().state = entry.state;
        }
        if let Some(rights) = self.permits.as_mut().filter(|_| update != ListUpdate::WatchFailed) {
            self.servers_by_key.extend(entries.iter().map(|entry| (entry.hash_key, entry.server)));
            let new = self.listings.values().filter(|it| it.state == ServerState::Ready);
            rights.update_servers(new.filter_map(|it| Some((it.hash_key, it.started_at?))));
        }
        let entries = entries.into_iter().map(|entry| self.as_decision_sees_it(entry)).collect();
        self.handle_event(now, Event::EndpointList { update, entries }, commands);
        // What is still on a server when it stops would be cut off without a word.
        for (state, over) in
            [(ServerState::Draining, DRAINING_MIGRATION_SPAN), (ServerState::Removed, REMOVED_MIGRATION_SPAN)]
        {
            let newly = |server: &ServerId| {
                let is = self.response_times.get(server).is_some_and(|pulse| pulse.state == state);
                is && before.get(server) != Some(&state)
            };
            let left: Vec<RequestId> = self
                .established_connections()
                .filter(|(_, open)| newly(&open.server))
                .map(|(id, _)| id)
                .collect();
            self.schedule_migrations(now, over, &left);
        }
    }

    /// A client asks for a connection.
    pub fn handle_request(&mut self, now: Time, request: Request, commands: &mut Vec<Command>) {
        // An id in use would give one request two answers, so its second bearer gets none here.
        if self.requests.contains_key(&request.id) {
            return;
        }
        if self.rejects_requests {
            let answer = FinalAnswer::Rejected(REMOVED_MIGRATION_SPAN);
            return commands.push(Command::Answer { id: request.id, answer });
        }
        self.requests
            .insert(request.id, RequestRecord { tenant: request.tenant, ..RequestRecord::default() });
        self.invariants.record_request(now, request.id, request.class, request.time_left);
        self.handle_event(now, Event::Request(request), commands);
    }

    /// A connection that stood at `server` before this process did.
    pub fn handle_existing_connection(
        &mut self,
        now: Time,
        request: Request,
        server: ServerId,
        commands: &mut Vec<Command>,
    ) {
        let connection = CurrentAttempt {
            attempt: 0,
            server,
            sent_at: now,
            timeout_timer: None,
            established: true,
            oldest_unanswered: None,
        };
        let record =
            RequestRecord { tenant: request.tenant, attempts_made: 1, current_attempt: Some(connection) };
        if self.requests.contains_key(&request.id) {
            return;
        }
        self.requests.insert(request.id, record);
        self.handle_event(now, Event::ExistingConnection { request, server }, commands);
    }

    /// Whether an attempt whose connection has come up may write its first byte now. This is where a send is
    /// decided for good: since it was chosen its server may have been told to drain, the list may no longer be
    /// vouched for, and a repeat's window may have ended. False where the attempt is over, here or before: its
    /// front has been told to close it.
    pub fn may_send_first_byte(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(server) = self.attempt_mut(id, attempt).map(|open| open.server) else { return false };
        let vouched = !self.list_expired && self.list_lease.is_valid(now);
        let allowed = vouched && self.balancer.may_begin_attempt(now, id);
        if allowed && self.is_ready(server) {
            self.invariants.record_first_byte(now, id, attempt, server);
            return true;
        }
        commands.push(Command::Close { id, attempt });
        // Another server may take what this one may not; what none may have now is answered.
        self.end_attempt(id, attempt, if allowed { Outcome::ConnectError } else { Outcome::NotSent });
        self.process_pending_events(now, commands);
        false
    }

    /// An attempt's connection stands: the client may be served with it. False where the attempt is over here:
    /// then its front has been told to close it.
    pub fn handle_established(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(open) = self.attempt_mut(id, attempt) else { return false };
        if open.established {
            return true;
        }
        open.established = true;
        let (sent, timeout, server) = (open.sent_at, open.timeout_timer.take(), open.server);
        self.invariants.release_request(id);
        self.cancel_timer(timeout);
        self.response_times.entry(server).or_default().last_heard_at = Some(now);
        if let Some(witness) = &mut self.outcome_reporter {
            witness.record(server, None);
        }
        self.handle_event(now, Event::Established { id, attempt, elapsed: now.since(sent) }, commands);
        if self.is_handing_over {
            self.hand_over_connection(id, commands);
            self.process_pending_events(now, commands);
        } else if let Some(at) = self.migrate_new_at {
            self.schedule(at, TimerEvent::Migrate(id));
        }
        true
    }

    /// A standing connection that an older process of this gateway has passed on. What that one had begun
    /// there, as a server drains or is gone, is begun anew.
    pub fn adopt_connection(
        &mut self,
        now: Time,
        request: Request,
        server: ServerId,
        commands: &mut Vec<Command>,
    ) {
        let id = request.id;
        self.handle_existing_connection(now, request, server, commands);
        let state = self.response_times.get(&server).map_or(ServerState::Removed, |pulse| pulse.state);
        let spread = f64::from(id.0 % ADOPTED_MIGRATION_GROUPS + 1) / f64::from(ADOPTED_MIGRATION_GROUPS);
        let over = match state {
            ServerState::Ready => None,
            ServerState::Draining => Some(DRAINING_MIGRATION_SPAN.scale(spread)),
            ServerState::Removed => Some(REMOVED_MIGRATION_SPAN.scale(spread)),
        };
        let at = over.map(|over| now + over).into_iter().chain(self.migrate_new_at).min();
        if let Some(at) = at {
            self.schedule(at, TimerEvent::Migrate(id));
        }
    }

    /// An attempt, or the connection that came of it, has ended. Late news of an attempt that the
    /// engine has given up is no news.
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

    /// The client has gone.
    pub fn handle_client_left(&mut self, now: Time, id: RequestId, commands: &mut Vec<Command>) {
        let Some(record) = self.requests.get(&id) else { return };
        self.invariants.release_request(id);
        match &record.current_attempt {
            Some(CurrentAttempt { established: true, attempt, .. }) => {
                let attempt = *attempt;
                self.end_attempt(id, attempt, Outcome::Cancelled);
            }
            open => {
                let attempt = open.as_ref().map(|open| open.attempt);
                self.pending_events.push_back(Event::ClientLeft { id });
                self.remove_unserved(id, attempt, commands);
            }
        }
        self.process_pending_events(now, commands);
    }

    /// A message of the client was passed on to the server; `prompt`, where its answer is due at once.
    pub fn handle_client_message(&mut self, now: Time, id: RequestId, prompt: bool) {
        if let Some(open) = self.requests.get_mut(&id).and_then(|r| r.current_attempt.as_mut()) {
            open.oldest_unanswered.get_or_insert((now, prompt));
        }
    }

    /// The server has sent something on the connection.
    pub fn handle_server_message(&mut self, now: Time, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id).and_then(|r| r.current_attempt.as_mut()) else { return };
        let pulse = self.response_times.entry(open.server).or_default();
        pulse.last_heard_at = Some(now);
        if let Some((asked, _)) = open.oldest_unanswered.take() {
            let took = now.since(asked);
            pulse.shortest_answer = Some(pulse.shortest_answer.map_or(took, |before| before.min(took)));
        }
    }

    /// What another process of this gateway holds on a server, has sent it in its turns and has granted.
    pub fn handle_sibling_state(
        &mut self,
        now: Time,
        server: ServerId,
        share: ServerUsage,
        commands: &mut Vec<Command>,
    ) {
        let ServerUsage {
            open_connections: open,
            recovery_tokens: budget,
            last_used_permit: spent,
            last_granted_permit: granted,
        } = share;
        let (key, full) = (
            self.listings.get(&server).map(|it| it.hash_key),
            self.balancer.fleet_connections_when_full(now),
        );
        if let Some((rights, key)) = self.permits.as_mut().zip(key) {
            rights.record_sibling_grants(now, key, granted, full);
        }
        let beside =
            SiblingState { open_connections: open, recovery_tokens: budget, last_used_permit: spent };
        self.handle_event(now, Event::SiblingState { server, state: beside }, commands);
    }

    /// What other processes of this gateway are to know of this one's on a server.
    pub fn sibling_share(&self, server: ServerId) -> ServerUsage {
        let SiblingState { open_connections: open, recovery_tokens: allowance, last_used_permit: spent } =
            self.balancer.sibling_state(server);
        let rights = self.permits.as_ref().zip(self.listings.get(&server));
        let granted = rights.map_or(0, |(rights, it)| rights.last_granted_permit(it.hash_key));
        ServerUsage {
            open_connections: open,
            recovery_tokens: allowance,
            last_used_permit: spent,
            last_granted_permit: granted,
        }
    }

    /// A server has told a connection's load, in microseconds of work a second.
    pub fn handle_load_report(&mut self, now: Time, id: RequestId, figure: f64, commands: &mut Vec<Command>) {
        self.handle_event(now, Event::LoadChanged { id, load: figure / 1e6 }, commands);
    }

    /// A datagram of another gateway.
    ///
    /// # Errors
    ///
    /// Says why it is not heard; nothing has changed then.
    pub fn handle_datagram(
        &mut self,
        now: Time,
        from: GatewayId,
        bytes: &[u8],
        commands: &mut Vec<Command>,
    ) -> Result<(), DecodeError> {
        let full = self.balancer.fleet_connections_when_full(now);
        let Some(rights) = &mut self.permits else { return Err(DecodeError::UnknownSender) };
        if let Some(step) = rights.handle_datagram(now, from, bytes, full)? {
            self.apply_permit_step(now, step, commands);
        }
        self.process_pending_events(now, commands);
        Ok(())
    }

    /// What broke an invariant of a request since the last call, and how much did since the start.
    pub fn take_request_violations(&mut self) -> (Vec<RequestViolation>, u64) {
        (self.invariants.take_violations(), self.invariants.violation_count())
    }

    /// Whether the state that is shared with other gateways is as it must be.
    ///
    /// # Errors
    ///
    /// Names what is not.
    pub fn check_permits(&self) -> Result<(), PermitViolation> {
        self.permits.as_ref().map_or(Ok(()), Permits::check_invariants)
    }

    fn apply_permit_step(&mut self, now: Time, step: PermitStep, commands: &mut Vec<Command>) {
        match step {
            PermitStep::Send(datagram) => commands.push(Command::SendDatagram(datagram)),
            PermitStep::SendTwice(datagram) => {
                commands.extend([Command::SendDatagram(datagram), Command::SendDatagram(datagram)])
            }
            PermitStep::AwaitReply(datagram, number) => {
                commands.push(Command::SendDatagram(datagram));
                let key = datagram.key();
                self.schedule(now + REPLY_TIMEOUT, TimerEvent::PermitReplyTimeout(key, number));
            }
            PermitStep::Resolved(key, right) => {
                if let Some(&server) = self.servers_by_key.get(&key) {
                    self.pending_events.push_back(Event::PermitReply { server, reply: right });
                }
            }
        }
    }

    /// Probes sent since the start, and those asked for and withheld.
    pub fn health_check_counts(&self) -> (usize, usize) {
        (self.health_check_budget.sent(), self.health_check_budget.withheld())
    }

    /// A probe has come back.
    pub fn handle_health_check(
        &mut self,
        now: Time,
        server: ServerId,
        ok: bool,
        commands: &mut Vec<Command>,
    ) {
        self.handle_event(now, Event::HealthChecked { server, healthy: ok, report: None }, commands);
    }

    /// This process leaves, and its successor takes over what stands: every standing connection is handed
    /// on now, and what comes up later once it does.
    pub fn hand_over_connections(&mut self, now: Time, over: Span, last: Span, commands: &mut Vec<Command>) {
        self.is_handing_over = true;
        self.migrate_new_at = Some(now + over);
        self.schedule(now + last, TimerEvent::ShutdownDeadline);
        let standing: Vec<RequestId> = self.established_connections().map(|(id, _)| id).collect();
        for id in standing {
            self.hand_over_connection(id, commands);
        }
        self.process_pending_events(now, commands);
    }

    fn hand_over_connection(&mut self, id: RequestId, commands: &mut Vec<Command>) {
        if let Some((attempt, server)) = self.established_attempt(id) {
            commands.push(Command::HandOff { id, server });
            self.end_attempt(id, attempt, Outcome::Cancelled);
        }
    }

    /// This process leaves: every standing connection is moved, spread over the later part of `over`,
    /// those that come up later at its end; after `last` no request stays unanswered.
    pub fn begin_shutdown(&mut self, now: Time, over: Span, last: Span) {
        let standing: Vec<RequestId> = self.established_connections().map(|(id, _)| id).collect();
        let kept = over.scale(MIGRATION_START_FRACTION);
        self.schedule_migrations(now + kept, over.scale(1.0 - MIGRATION_START_FRACTION), &standing);
        self.migrate_new_at = Some(now + over);
        self.schedule(now + last, TimerEvent::ShutdownDeadline);
    }

    /// Carries out what came due.
    pub fn handle_timer(&mut self, now: Time, event: TimerEvent, commands: &mut Vec<Command>) {
        match event {
            TimerEvent::Decision(token) => self.handle_event(now, Event::Timer(token), commands),
            TimerEvent::AttemptTimeout(id, attempt) => {
                if let Some(open) = self.attempt_mut(id, attempt).filter(|open| !open.established) {
                    open.timeout_timer = None;
                    commands.push(Command::Close { id, attempt });
                    self.end_attempt(id, attempt, Outcome::TimedOut);
                }
            }
            TimerEvent::Migrate(id) => self.migrate(id, Outcome::Cancelled, commands),
            TimerEvent::Sweep => self.sweep_established(now, commands),
            TimerEvent::ListExpired => self.expire_list(now, commands),
            TimerEvent::PermitReplyTimeout(key, number) => {
                let step =
                    self.permits.as_mut().and_then(|rights| rights.handle_reply_timeout(now, key, number));
                if let Some(step) = step {
                    self.apply_permit_step(now, step, commands);
                }
            }
            TimerEvent::ShutdownDeadline => {
                self.rejects_requests = true;
                let open: Vec<RequestId> = self.requests.keys().copied().collect();
                for id in open {
                    self.migrate(id, Outcome::Cancelled, commands);
                    // A refusal says that trying again does no harm.
                    let harmless = self.balancer.is_safe_to_retry(id);
                    let answer = if harmless {
                        FinalAnswer::Rejected(REMOVED_MIGRATION_SPAN)
                    } else {
                        FinalAnswer::Failed
                    };
                    self.answer_request(now, id, answer, commands);
                }
            }
        }
        self.process_pending_events(now, commands);
    }

    // ---- Silence and slowness ---------------------------------------------------------------

    /// Moves connections whose server has gone silent, and tells the module of slow servers as the
    /// simulator does: once a second while they are slow, and once more when they are not.
    fn sweep_established(&mut self, now: Time, commands: &mut Vec<Command>) {
        // After a stall of this process answers may lie in sockets unread: judge nobody for them.
        let late = now.since(self.next_sweep_at) >= SWEEP_INTERVAL;
        self.next_sweep_at = now + SWEEP_INTERVAL;
        self.schedule(now + SWEEP_INTERVAL, TimerEvent::Sweep);
        let mut waits: BTreeMap<ServerId, OutstandingMessages> = BTreeMap::new();
        let mut silent = Vec::new();
        for (id, open) in self.established_connections() {
            let Some((asked, prompt)) = open.oldest_unanswered else { continue };
            let waited = now.since(asked);
            let here = waits.entry(open.server).or_default();
            here.longest_wait = waited.max(here.longest_wait);
            if prompt {
                here.overdue_prompt_answers += u32::from(waited >= SILENT_SERVER_TIMEOUT);
                here.oldest_prompt_at = Some(here.oldest_prompt_at.map_or(asked, |since| since.min(asked)));
            }
            if waited >= SILENT_CONNECTION_TIMEOUT {
                silent.push(id);
            }
        }
        for (&server, pulse) in &mut self.response_times {
            let due = pulse.reported_at.is_none_or(|at| now.since(at) >= SLOW_REPORT_INTERVAL);
            if !due || self.slow_threshold == Span::ZERO {
                continue;
            }
            // A message still out says more than the last that came back.
            let waited = waits.get(&server).map_or(Span::ZERO, |here| here.longest_wait);
            let Some(takes) = pulse.shortest_answer.take().or((waited > Span::ZERO).then_some(waited)) else {
                continue;
            };
            let takes = takes.max(if waited >= SLOW_REPORT_INTERVAL { waited } else { Span::ZERO });
            let slow = takes >= self.slow_threshold;
            if slow || pulse.is_slow {
                (pulse.reported_at, pulse.is_slow) = (Some(now), slow);
                self.pending_events.push_back(Event::SlowResponses { server, response_time: takes });
            }
        }
        for (&server, here) in &waits {
            let Some(since) = here.oldest_prompt_at.filter(|_| !late) else { continue };
            let enough = here.overdue_prompt_answers >= SILENT_SERVER_MIN_WAITING
                || now.since(since) >= SILENT_SERVER_TIMEOUT + SILENT_SERVER_TIMEOUT;
            let hushed = self
                .response_times
                .get(&server)
                .is_none_or(|p| p.last_heard_at.is_none_or(|heard| heard <= since));
            if here.overdue_prompt_answers > 0 && enough && hushed {
                self.pending_events.push_back(Event::ServerSilent { server });
                if let Some(witness) = &mut self.outcome_reporter {
                    witness.record(server, Some(EvidenceKind::Silent));
                }
            }
        }
        // That they are silent is told above, where it is the server that is.
        let witness = self.outcome_reporter.take();
        for id in silent {
            self.migrate(id, Outcome::Reset, commands);
        }
        self.outcome_reporter = witness;
    }

    fn established_connections(&self) -> impl Iterator<Item = (RequestId, &CurrentAttempt)> {
        self.requests.iter().filter_map(|(&id, record)| {
            record.current_attempt.as_ref().filter(|open| open.established).map(|open| (id, open))
        })
    }

    /// The attempt that a standing connection came of, and its server.
    fn established_attempt(&self, id: RequestId) -> Option<(u32, ServerId)> {
        let open = self.requests.get(&id)?.current_attempt.as_ref().filter(|open| open.established)?;
        Some((open.attempt, open.server))
    }

    /// Moves these one after the other, over this time from then on.
    fn schedule_migrations(&mut self, from: Time, over: Span, ids: &[RequestId]) {
        for (at, &id) in ids.iter().enumerate() {
            let wait = over.scale((at + 1) as f64 / ids.len() as f64);
            self.schedule(from + wait, TimerEvent::Migrate(id));
        }
    }

    fn migrate(&mut self, id: RequestId, outcome: Outcome, commands: &mut Vec<Command>) {
        if let Some((attempt, _)) = self.established_attempt(id) {
            commands.push(Command::Migrate { id });
            self.end_attempt(id, attempt, outcome);
        }
    }

    // ---- The module ---------------------------------------------------------------------------

    fn handle_event(&mut self, now: Time, event: Event, commands: &mut Vec<Command>) {
        self.pending_events.push_back(event);
        self.process_pending_events(now, commands);
    }

    fn process_pending_events(&mut self, now: Time, commands: &mut Vec<Command>) {
        self.latest_time = self.latest_time.max(now);
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
            Action::Attempt { id, server, timeout } => {
                let Some(record) = self.requests.get_mut(&id) else { return };
                let attempt = record.attempts_made;
                record.attempts_made += 1;
                // Never two attempts out, whatever was asked for.
                if record.current_attempt.is_some() {
                    let outcome = Outcome::NotSent;
                    return self.pending_events.push_back(Event::AttemptEnded {
                        id,
                        attempt,
                        outcome,
                        request_done: false,
                    });
                }
                let timeout = timeout.max(Span::ZERO);
                let key = self.schedule(now + timeout, TimerEvent::AttemptTimeout(id, attempt));
                let open = CurrentAttempt {
                    attempt,
                    server,
                    sent_at: now,
                    timeout_timer: Some(key),
                    established: false,
                    oldest_unanswered: None,
                };
                self.requests.entry(id).or_default().current_attempt = Some(open);
                commands.push(Command::Attempt { id, attempt, server, timeout });
            }
            Action::Reject { id, retry_after } => {
                self.answer_request(now, id, FinalAnswer::Rejected(retry_after), commands)
            }
            Action::Fail { id } => self.answer_request(now, id, FinalAnswer::Failed, commands),
            Action::CancelAttempt { id, attempt } => {
                if self.attempt_mut(id, attempt).is_some_and(|open| !open.established) {
                    commands.push(Command::Close { id, attempt });
                    self.end_attempt(id, attempt, Outcome::Cancelled);
                }
            }
            Action::Migrate { id } => self.migrate(id, Outcome::Cancelled, commands),
            Action::SetTimer { token, due_at: at } => _ = self.schedule(at, TimerEvent::Decision(token)),
            Action::CheckHealth { server } => {
                if self.health_check_budget.try_acquire(now, server) {
                    commands.push(Command::CheckHealth { server });
                }
            }
            Action::Subscribe => commands.push(Command::Subscribe),
            Action::RequestPermit { server } => self.request_permit(now, server, commands),
        }
    }

    fn request_permit(&mut self, now: Time, server: ServerId, commands: &mut Vec<Command>) {
        let full = self.balancer.fleet_connections_when_full(now);
        let key = self.listings.get(&server).map(|listing| listing.hash_key);
        match (key, &mut self.permits) {
            (Some(key), Some(rights)) => {
                let step = rights.request_permit(now, key, full);
                self.apply_permit_step(now, step, commands);
            }
            // The module always hears of an ask.
            _ => self.pending_events.push_back(Event::PermitReply { server, reply: PermitReply::NoReply }),
        }
    }

    /// Gives the final answer, once: a request that is over or served is on no record without a
    /// standing connection, and gets none.
    fn answer_request(&mut self, now: Time, id: RequestId, answer: FinalAnswer, commands: &mut Vec<Command>) {
        let Some(record) = self.requests.get(&id) else { return };
        let attempt = record.current_attempt.as_ref().map(|open| (open.attempt, open.established));
        if attempt.is_some_and(|(_, established)| established) {
            return;
        }
        self.remove_unserved(id, attempt.map(|(attempt, _)| attempt), commands);
        self.invariants.record_answer(now, id, matches!(answer, FinalAnswer::Rejected(_)));
        commands.push(Command::Answer { id, answer });
    }

    /// Takes an unserved request off the record, with the attempt that may be out.
    fn remove_unserved(&mut self, id: RequestId, attempt: Option<u32>, commands: &mut Vec<Command>) {
        if let Some(attempt) = attempt {
            commands.push(Command::Close { id, attempt });
            self.end_attempt(id, attempt, Outcome::Cancelled);
            // The request is over, so the module must not try it again on hearing of the end.
            if let Some(Event::AttemptEnded { request_done: request_over, .. }) =
                self.pending_events.back_mut()
            {
                *request_over = true;
            }
        }
        self.requests.remove(&id);
    }

    /// Takes an attempt off the record and queues the module's word of it.
    fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(record) = self.requests.get_mut(&id) else { return };
        let Some(open) = record.current_attempt.take_if(|open| open.attempt == attempt) else { return };
        self.invariants.record_attempt_end(id, attempt, outcome);
        if let Some(witness) = &mut self.outcome_reporter {
            witness.record_end(open.server, open.established, outcome);
        }
        let request_over = open.established || outcome == Outcome::Ok;
        if request_over {
            self.requests.remove(&id);
        }
        self.cancel_timer(open.timeout_timer);
        self.pending_events.push_back(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            request_done: request_over,
        });
    }

    fn attempt_mut(&mut self, id: RequestId, attempt: u32) -> Option<&mut CurrentAttempt> {
        self.requests.get_mut(&id)?.current_attempt.as_mut().filter(|open| open.attempt == attempt)
    }

    // ---- The wheel ----------------------------------------------------------------------------

    /// Puts a thing on the wheel, at the first tick at or past its time.
    fn schedule(&mut self, at: Time, due: TimerEvent) -> Key {
        let wait = at.min(self.latest_time + MAX_TIMER_WAIT).since(self.anchor.0);
        let tick = self.timer_granularity.as_micros();
        let ticks = (wait.as_micros() + tick - 1) / tick;
        let wait = std::time::Duration::from_micros((ticks * tick).unsigned_abs());
        self.timers.insert_at(due, self.anchor.1 + wait)
    }

    fn cancel_timer(&mut self, key: Option<Key>) {
        if let Some(key) = key {
            self.timers.try_remove(&key);
        }
    }
}
