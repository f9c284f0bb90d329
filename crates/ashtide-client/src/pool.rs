//! State machine for all sessions of a process. It receives events and returns commands for the driver.

mod backoff;
mod messages;
mod metrics;
mod network_change;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use ashtide_protocol::{GatewayEvent, PeerFault};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::budget::{DisconnectCounter, RetryBudget};
use crate::selection::{AddressBook, Selection};
use crate::server_cache::{CachedFailure, CachedRejection, ServerCache};
use crate::session::{AfterClose, Session, SessionState};
use crate::{
    Attempt, AttemptFailure, ConnectionLoss, GiveUpReason, Instant, SessionId, SessionNotification,
    SessionRequest, Settings, SettingsError,
};

pub use messages::{PoolCommand, PoolEvent};
pub use metrics::Metrics;

/// Duration for which a disconnected session counts concurrent disconnects before it chooses its reconnect
/// delay.
pub const DISCONNECT_COLLECTION_WINDOW: Duration = Duration::from_millis(200);
/// Window over which sessions that had no address spread their attempts after a new address list arrives.
const NEW_LIST_WINDOW: Duration = Duration::from_millis(500);

/// Whether a session continues or has ended.
enum Outcome {
    Continue,
    Ended,
}

/// All sessions of a process.
#[derive(Debug)]
pub struct SessionPool {
    sessions: HashMap<SessionId, Session>,
    shared: PoolState,
}

/// State that all sessions share.
#[derive(Debug)]
struct PoolState {
    settings: Settings,
    rng: Xoshiro256PlusPlus,
    address_book: AddressBook,
    retry_budget: RetryBudget,
    disconnects: DisconnectCounter,
    /// Scheduled sessions, ordered by tick number.
    timers: BTreeSet<(u64, SessionId)>,
    metrics: Metrics,
    offline: bool,
    /// Latest time that the driver has passed in; it never decreases.
    now: Instant,
    last_session_id: u64,
    open_sessions: usize,
}

impl SessionPool {
    /// Creates a pool without sessions and addresses. Pools with equal seeds draw different random numbers as
    /// soon as they have sessions with different keys.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let shared = PoolState {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            address_book: AddressBook::new(&settings),
            retry_budget: RetryBudget::new(&settings),
            disconnects: DisconnectCounter::default(),
            timers: BTreeSet::new(),
            metrics: Metrics::default(),
            offline: false,
            now: Instant::default(),
            last_session_id: 0,
            open_sessions: 0,
            settings,
        };
        Ok(Self { sessions: HashMap::new(), shared })
    }

    /// Opens a session. Its id is unique within the pool, even if the session ends immediately.
    pub fn open(
        &mut self,
        now: Instant,
        request: SessionRequest,
        commands: &mut Vec<PoolCommand>,
    ) -> SessionId {
        self.run_due_timers(now, commands);
        let now = self.shared.now;
        self.shared.last_session_id += 1;
        let id = SessionId(self.shared.last_session_id);
        self.shared.metrics.opened += 1;
        let limit = self.shared.settings.sessions;
        let give_up_reason = match request.parameters.check() {
            Err(error) => Some(GiveUpReason::InvalidRequest(error)),
            Ok(()) if self.sessions.len() >= limit => Some(GiveUpReason::TooManySessions { limit }),
            Ok(()) => None,
        };
        if let Some(reason) = give_up_reason {
            self.shared.metrics.ended += 1;
            commands.push(PoolCommand::EndSession(id, reason));
            return id;
        }
        self.shared.mix_into_seed(&request);
        self.shared.open_sessions = self.sessions.len() + 1;
        let mut session = Session::new(request, now);
        let outcome = if self.shared.offline {
            session.state = SessionState::Offline;
            Outcome::Continue
        } else {
            self.shared.retry_budget.deposit(now);
            self.shared.start_attempt(now, id, &mut session, commands)
        };
        if let Outcome::Continue = outcome {
            self.shared.schedule(id, &mut session);
            self.sessions.insert(id, session);
        }
        id
    }

    /// Processes one event. Due timers run first, so that an event after a deadline does not count as in
    /// time.
    pub fn handle(&mut self, now: Instant, event: PoolEvent, commands: &mut Vec<PoolCommand>) {
        self.run_due_timers(now, commands);
        match event {
            PoolEvent::TimerFired => {}
            PoolEvent::Connected(id, attempt) => {
                self.with_session(id, Some(attempt), commands, PoolState::handle_connected)
            }
            PoolEvent::ConnectFailed(id, attempt) => {
                self.with_session(id, Some(attempt), commands, |shared, now, id, session, commands| {
                    shared.handle_peer_close(now, id, session, AttemptFailure::ConnectFailed, None, commands)
                });
            }
            PoolEvent::Received(id, attempt, received) => {
                self.with_session(id, Some(attempt), commands, |shared, now, id, session, commands| {
                    shared.handle_gateway_event(now, id, session, received, commands)
                });
            }
            PoolEvent::ConnectionEnded(id, attempt, fault) => {
                self.with_session(id, Some(attempt), commands, |shared, now, id, session, commands| {
                    let failure =
                        fault.map_or(AttemptFailure::ConnectionLost, AttemptFailure::ProtocolViolation);
                    shared.handle_peer_close(now, id, session, failure, fault, commands)
                });
            }
            // The session or the attempt has already ended. This order of events is normal and not counted as
            // late.
            PoolEvent::SocketClosed(id, attempt)
                if self.sessions.get(&id).is_none_or(|s| s.attempt != attempt) => {}
            PoolEvent::SocketClosed(id, attempt) => {
                self.with_session(id, Some(attempt), commands, |shared, now, id, session, commands| {
                    match session.state {
                        SessionState::Closing(after) => {
                            shared.continue_after_close(now, id, session, after, commands)
                        }
                        _ => Outcome::Continue,
                    }
                });
            }
            PoolEvent::CloseSession(id) => {
                self.with_session(id, None, commands, |shared, _, id, session, commands| {
                    shared.end_session(id, session, GiveUpReason::Closed, commands)
                })
            }
            PoolEvent::NetworkLost => {
                self.shared.offline = true;
                self.for_each_session(|_| true, commands, PoolState::handle_network_lost);
            }
            PoolEvent::NetworkRestored => {
                self.shared.offline = false;
                self.for_each_session(
                    |session| session.state == SessionState::Offline,
                    commands,
                    PoolState::handle_network_restored,
                );
            }
            PoolEvent::AddressesChanged(addresses) => {
                self.shared.metrics.skipped_addresses += self.shared.address_book.replace(addresses) as u64;
                self.for_each_session(
                    |session| session.state == SessionState::NoAddresses,
                    commands,
                    |shared, now, _, session, _| {
                        session.state = SessionState::Waiting;
                        session.timer = Some(now + shared.jitter(NEW_LIST_WINDOW));
                        Outcome::Continue
                    },
                );
            }
        }
    }

    /// Returns the time at which the driver has to send the next [`PoolEvent::TimerFired`], if any.
    pub fn next_wake(&self) -> Option<Instant> {
        self.shared.timers.first().map(|&(tick, _)| Instant::from_tick(tick))
    }

    /// Returns the number of sessions that have not ended.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns whether the pool has no session.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Returns whether the connection of this session is established.
    pub fn is_established(&self, id: SessionId) -> bool {
        self.sessions.get(&id).is_some_and(|session| session.state == SessionState::Established)
    }

    /// Returns the number of the session's latest attempt, or `None` if the session does not exist.
    pub fn current_attempt(&self, id: SessionId) -> Option<Attempt> {
        self.sessions.get(&id).map(|session| session.attempt)
    }

    /// Returns the counters since the pool was created.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Returns the number of retries in the retry budget, as of the last change.
    pub fn retry_budget(&self) -> f64 {
        self.shared.retry_budget.tokens()
    }

    /// Returns the number of addresses in the address list.
    pub fn address_count(&self) -> usize {
        self.shared.address_book.len()
    }

    /// Returns the state that the next process can restore.
    pub fn server_cache(&self, now: Instant) -> ServerCache {
        let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let address_book = &self.shared.address_book;
        let rejections = address_book.active_rejections(now).map(|(site, class, remaining)| {
            CachedRejection { site: site.into(), class: class.into(), remaining_ms: millis(remaining) }
        });
        let failures =
            address_book.failing_addresses(now).map(|(gateway, consecutive_failures, remaining)| {
                CachedFailure { gateway, consecutive_failures, remaining_ms: millis(remaining) }
            });
        ServerCache {
            tokens: self.shared.retry_budget.tokens(),
            rejections: rejections.collect(),
            failures: failures.collect(),
        }
    }

    /// Restores the state of an earlier process, saved `age` ago. It has to be called after the addresses are
    /// set. Restored rejections and ejections last no longer than this process's settings permit.
    pub fn restore_cache(&mut self, now: Instant, cache: &ServerCache, age: Duration) {
        let remaining = |ms: u64, limit: Duration| Duration::from_millis(ms).min(limit).saturating_sub(age);
        let max_rejection = self.shared.settings.busy_most;
        let max_ejection = self.shared.settings.aside_to;
        for rejection in &cache.rejections {
            let remaining = remaining(rejection.remaining_ms, max_rejection);
            if !remaining.is_zero() {
                self.shared.address_book.restore_rejection(
                    &rejection.site,
                    &rejection.class,
                    now + remaining,
                );
            }
        }
        for failure in &cache.failures {
            let remaining = remaining(failure.remaining_ms, max_ejection);
            if failure.consecutive_failures > 0 && !remaining.is_zero() {
                self.shared.address_book.restore_failure(
                    failure.gateway,
                    failure.consecutive_failures.min(16),
                    now + remaining,
                );
            }
        }
        self.shared.retry_budget.restore(cache.tokens);
    }

    /// Calls `handler` for a session if the session exists and `attempt`, if given, is its current attempt.
    /// If the session's deadline or lifetime has passed, its timer is processed instead.
    fn with_session<H>(
        &mut self,
        id: SessionId,
        attempt: Option<Attempt>,
        commands: &mut Vec<PoolCommand>,
        handler: H,
    ) where
        H: FnOnce(&mut PoolState, Instant, SessionId, &mut Session, &mut Vec<PoolCommand>) -> Outcome,
    {
        let shared = &mut self.shared;
        let now = shared.now;
        match self.sessions.get_mut(&id) {
            Some(session) if attempt.is_none_or(|attempt| attempt == session.attempt) => {
                // Timers have the resolution of a tick; deadlines are exact.
                let outcome = if session.deadline.is_some_and(|by| by <= now)
                    || session.expires_at.is_some_and(|by| by <= now)
                {
                    shared.run_timer(now, id, session, commands)
                } else {
                    handler(shared, now, id, session, commands)
                };
                match outcome {
                    Outcome::Continue => shared.schedule(id, session),
                    Outcome::Ended => _ = self.sessions.remove(&id),
                }
            }
            _ => shared.metrics.late_events += 1,
        }
    }

    /// Calls `handler` for all sessions that `filter` selects, in the order in which they were opened.
    fn for_each_session<H>(
        &mut self,
        filter: impl Fn(&Session) -> bool,
        commands: &mut Vec<PoolCommand>,
        handler: H,
    ) where
        H: Fn(&mut PoolState, Instant, SessionId, &mut Session, &mut Vec<PoolCommand>) -> Outcome,
    {
        let mut ids: Vec<SessionId> =
            self.sessions.iter().filter(|(_, session)| filter(session)).map(|(&id, _)| id).collect();
        ids.sort_unstable();
        for id in ids {
            self.with_session(id, None, commands, &handler);
        }
    }

    fn run_due_timers(&mut self, now: Instant, commands: &mut Vec<PoolCommand>) {
        self.shared.now = self.shared.now.max(now);
        let now = self.shared.now;
        let current_tick = now.elapsed_ticks();
        while let Some(&(tick, id)) = self.shared.timers.first() {
            if tick > current_tick {
                return;
            }
            self.with_session(id, None, commands, PoolState::run_timer);
        }
    }
}

impl PoolState {
    /// Mixes the key and class into the random state, so that processes with the same seed draw different
    /// numbers.
    fn mix_into_seed(&mut self, request: &SessionRequest) {
        let mut hash = self.rng.random::<u64>();
        for byte in request.parameters.key.bytes().chain(request.parameters.class.bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        self.rng = Xoshiro256PlusPlus::seed_from_u64(hash);
    }

    fn jitter(&mut self, window: Duration) -> Duration {
        window.mul_f64(self.rng.random::<f64>())
    }

    fn schedule(&mut self, id: SessionId, session: &mut Session) {
        let due_tick = session.next_timer().map(Instant::tick_at_or_after);
        if due_tick != session.scheduled_tick {
            if let Some(tick) = session.scheduled_tick {
                self.timers.remove(&(tick, id));
            }
            if let Some(tick) = due_tick {
                self.timers.insert((tick, id));
            }
            session.scheduled_tick = due_tick;
        }
    }

    /// Ends a session. Every session that was opened successfully ends here.
    fn end_session(
        &mut self,
        id: SessionId,
        session: &mut Session,
        reason: GiveUpReason,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        if session.state.has_socket() && !matches!(session.state, SessionState::Closing(_)) {
            commands.push(PoolCommand::Close { session: id, attempt: session.attempt });
        }
        if let (SessionState::Connecting | SessionState::AwaitingAnswer, Some(gateway)) =
            (session.state, session.address)
        {
            self.address_book.cancel_trial(gateway);
        }
        if let Some(tick) = session.scheduled_tick.take() {
            self.timers.remove(&(tick, id));
        }
        self.metrics.ended += 1;
        commands.push(PoolCommand::EndSession(id, reason));
        Outcome::Ended
    }

    /// Starts an attempt at the next address, or waits until an address is available.
    fn start_attempt(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        let previous = session.address;
        let (until, rejected) =
            match self.address_book.select(now, &session.request.parameters.class, previous, &mut self.rng) {
                Selection::Selected(gateway) => {
                    session.attempt.0 += 1;
                    session.attempts += 1;
                    session.address = Some(gateway);
                    session.state = SessionState::Connecting;
                    session.timer = Some(now + self.settings.connect_within);
                    match (session.attempts, session.established_before) {
                        (1, false) => self.metrics.first_attempts += 1,
                        (1, true) => self.metrics.reconnects += 1,
                        _ => self.metrics.retries += 1,
                    }
                    commands.push(PoolCommand::Connect { session: id, attempt: session.attempt, gateway });
                    return Outcome::Continue;
                }
                Selection::NoAddresses => {
                    session.state = SessionState::NoAddresses;
                    session.timer = None;
                    return Outcome::Continue;
                }
                Selection::Rejected(until) => (until, true),
                Selection::Ejected(until) => (until, false),
            };
        let remaining = session.deadline.map_or(Duration::MAX, |deadline| deadline.duration_since(until));
        if remaining.is_zero() {
            let retry_after = until.duration_since(now);
            let reason = if rejected {
                GiveUpReason::Rejected { retry_after }
            } else {
                GiveUpReason::NoAvailableAddress { retry_after }
            };
            return self.end_session(id, session, reason, commands);
        }
        // All waiting sessions would otherwise start at the same moment. The window grows with the number of
        // sessions.
        let rate_window = Duration::from_secs_f64(self.open_sessions as f64 / self.settings.return_rate);
        let window =
            self.settings.retry_from.max(rate_window).min(self.settings.window_most).min(remaining / 2);
        session.state = SessionState::Waiting;
        session.timer = Some(until + self.jitter(window));
        Outcome::Continue
    }

    /// Handles a completed transport connection: sends the request line with the time that remains.
    fn handle_connected(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        if session.state != SessionState::Connecting {
            self.metrics.late_events += 1;
            return Outcome::Continue;
        }
        let remaining = session.deadline.map_or(Duration::MAX, |deadline| deadline.duration_since(now));
        let answer_timeout =
            session.request.attempt_timeout.map_or(remaining, |timeout| timeout.min(remaining));
        let request_id = format!("{:016x}", self.rng.random::<u64>());
        session.request.parameters.is_retry = session.attempts > 1;
        session.request.parameters.is_reconnect = session.established_before;
        // The request line states the time-out in whole milliseconds, at least one.
        if answer_timeout < Duration::from_millis(1) {
            session.last_failure = AttemptFailure::NotAttempted;
            return self.end_session(
                id,
                session,
                GiveUpReason::DeadlineExceeded { last: session.last_failure },
                commands,
            );
        }
        match session.request.parameters.line(&request_id, answer_timeout) {
            Ok(line) => {
                session.state = SessionState::AwaitingAnswer;
                session.timer = Some(now + answer_timeout);
                commands.push(PoolCommand::SendRequest { session: id, attempt: session.attempt, line });
                Outcome::Continue
            }
            // The parameters were checked when the session was opened; only the total length can be invalid
            // here.
            Err(error) => self.end_session(id, session, GiveUpReason::InvalidRequest(error), commands),
        }
    }

    fn handle_gateway_event(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        received: Result<GatewayEvent, PeerFault>,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        if received.is_err() {
            self.metrics.protocol_violations += 1;
        }
        match (session.state, received) {
            (SessionState::AwaitingAnswer, Ok(GatewayEvent::Up(receipt))) => {
                let Some(gateway) = session.address else { return Outcome::Continue };
                self.address_book.record_answer(gateway);
                self.metrics.established += 1;
                let connected = SessionNotification::Connected {
                    gateway,
                    receipt,
                    attempts: session.attempts,
                    reconnected: session.established_before,
                };
                session.state = SessionState::Established;
                session.timer = None;
                session.deadline = None;
                (session.attempts, session.rejections, session.last_failure) =
                    (0, 0, AttemptFailure::NotAttempted);
                session.established_at = now;
                commands.push(PoolCommand::Notify(id, connected));
                Outcome::Continue
            }
            (SessionState::AwaitingAnswer, Ok(GatewayEvent::Busy(retry_after))) => {
                self.handle_failure(now, id, session, AttemptFailure::Rejected(retry_after), commands)
            }
            (SessionState::AwaitingAnswer, Ok(_)) => {
                self.handle_failure(now, id, session, AttemptFailure::Failed, commands)
            }
            (SessionState::Connecting | SessionState::AwaitingAnswer, Err(fault)) => {
                self.handle_failure(now, id, session, AttemptFailure::ProtocolViolation(fault), commands)
            }
            (SessionState::Established, Ok(GatewayEvent::Bye)) => {
                self.end_session(id, session, GiveUpReason::Completed, commands)
            }
            (SessionState::Established, Ok(GatewayEvent::Move)) => {
                self.handle_disconnect(now, id, session, ConnectionLoss::Migrated, commands)
            }
            (SessionState::Established, Ok(_)) => Outcome::Continue,
            (SessionState::Established, Err(fault)) => {
                self.handle_disconnect(now, id, session, ConnectionLoss::Broken(Some(fault)), commands)
            }
            _ => {
                self.metrics.late_events += 1;
                Outcome::Continue
            }
        }
    }

    /// Handles a socket of the current attempt that was closed without a command of the pool.
    fn handle_peer_close(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        failure: AttemptFailure,
        fault: Option<PeerFault>,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        self.metrics.protocol_violations += u64::from(fault.is_some());
        match session.state {
            // Both ends closed at the same time. The following `SocketClosed` event refers to an ended
            // attempt.
            SessionState::Closing(after) => self.continue_after_close(now, id, session, after, commands),
            SessionState::Connecting => {
                session.state = SessionState::Waiting;
                self.handle_failure(now, id, session, AttemptFailure::ConnectFailed, commands)
            }
            SessionState::AwaitingAnswer => {
                session.state = SessionState::Waiting;
                self.handle_failure(now, id, session, failure, commands)
            }
            SessionState::Established => {
                session.state = SessionState::CollectingDisconnects;
                self.handle_disconnect(now, id, session, ConnectionLoss::Broken(fault), commands)
            }
            _ => {
                self.metrics.late_events += 1;
                Outcome::Continue
            }
        }
    }

    /// Closes the session's socket, if any, and continues with `after` when it is closed.
    fn close_socket_then(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        after: AfterClose,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        if session.state.has_socket() {
            commands.push(PoolCommand::Close { session: id, attempt: session.attempt });
            session.state = SessionState::Closing(after);
            session.timer = None;
            Outcome::Continue
        } else {
            self.continue_after_close(now, id, session, after, commands)
        }
    }

    /// Continues with `after` now that the socket is closed.
    fn continue_after_close(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        after: AfterClose,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        match after {
            _ if self.offline => {
                session.state = SessionState::Offline;
                session.timer = None;
                Outcome::Continue
            }
            AfterClose::Wait(until) => {
                session.state = SessionState::Waiting;
                session.timer = Some(until);
                Outcome::Continue
            }
            AfterClose::CollectDisconnects => {
                (session.state, session.timer) =
                    (SessionState::CollectingDisconnects, Some(now + DISCONNECT_COLLECTION_WINDOW));
                Outcome::Continue
            }
            AfterClose::Offline => self.handle_network_restored(now, id, session, commands),
        }
    }

    /// Handles the loss of an established connection.
    fn handle_disconnect(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        loss: ConnectionLoss,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        match loss {
            ConnectionLoss::Migrated => self.metrics.moved += 1,
            ConnectionLoss::Broken(_) | ConnectionLoss::Offline => self.metrics.broken += 1,
        }
        if !session.request.reconnects {
            return self.end_session(id, session, GiveUpReason::ConnectionEnded, commands);
        }
        let early = now.duration_since(session.established_at) < self.settings.quick
            && loss != ConnectionLoss::Offline;
        session.consecutive_early_losses = if early { session.consecutive_early_losses + 1 } else { 0 };
        if session.consecutive_early_losses >= self.settings.quick_most {
            return self.end_session(
                id,
                session,
                GiveUpReason::Unstable { consecutive_losses: session.consecutive_early_losses },
                commands,
            );
        }
        (session.established_before, session.last_loss, session.last_failure) =
            (true, loss, AttemptFailure::NotAttempted);
        if let (ConnectionLoss::Broken(_), Some(gateway)) = (loss, session.address) {
            self.address_book.record_connection_loss(now, gateway);
        }
        session.attempts = 0;
        session.rejections = 0;
        session.timer = None;
        self.disconnects.record(now);
        self.retry_budget.deposit(now);
        // Provisional deadline until the reconnect delay is chosen. It ends the session if the driver never
        // reports the socket as closed.
        session.deadline = Some(now + self.settings.window_most + self.settings.return_within);
        commands.push(PoolCommand::Notify(id, SessionNotification::Disconnected(loss)));
        if loss == ConnectionLoss::Offline {
            session.deadline = Some(now + self.settings.offline_within);
            return self.close_socket_then(now, id, session, AfterClose::Offline, commands);
        }
        self.close_socket_then(now, id, session, AfterClose::CollectDisconnects, commands)
    }

    /// Chooses the reconnect delay at random from a window that grows with the number of recent disconnects.
    fn schedule_reconnect(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        let disconnects = self.disconnects.recent(now);
        let rate_window = Duration::from_secs_f64(f64::from(disconnects) / self.settings.return_rate);
        let session_window = self
            .reconnect_window(session.last_loss)
            .saturating_mul(1 << session.consecutive_early_losses.min(8));
        let delay = self.jitter(session_window.max(rate_window).min(self.settings.window_most));
        session.state = SessionState::Waiting;
        session.timer = Some(now + delay);
        session.deadline = Some(now + delay + self.settings.return_within);
        commands.push(PoolCommand::Notify(id, SessionNotification::Reconnecting { delay }));
        Outcome::Continue
    }

    /// Processes the expired timer of a session: its lifetime, its deadline, or the time-out of its state.
    fn run_timer(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        let passed = |time: Option<Instant>| time.is_some_and(|time| time <= now);
        if passed(session.expires_at) {
            return self.end_session(id, session, GiveUpReason::Expired, commands);
        }
        if passed(session.deadline) {
            session.last_failure = match session.state {
                SessionState::AwaitingAnswer => AttemptFailure::TimedOut,
                SessionState::Connecting => AttemptFailure::ConnectFailed,
                SessionState::Offline => AttemptFailure::Offline,
                _ => session.last_failure,
            };
            if matches!(session.state, SessionState::AwaitingAnswer | SessionState::Connecting) {
                self.record_failure(now, session);
            }
            return self.end_session(
                id,
                session,
                GiveUpReason::DeadlineExceeded { last: session.last_failure },
                commands,
            );
        }
        if !passed(session.timer) {
            return Outcome::Continue;
        }
        match session.state {
            SessionState::CollectingDisconnects => self.schedule_reconnect(now, id, session, commands),
            SessionState::Waiting => self.start_attempt(now, id, session, commands),
            SessionState::Connecting => {
                self.handle_failure(now, id, session, AttemptFailure::ConnectFailed, commands)
            }
            SessionState::AwaitingAnswer => {
                self.handle_failure(now, id, session, AttemptFailure::TimedOut, commands)
            }
            // These states have no time-out.
            SessionState::NoAddresses
            | SessionState::Offline
            | SessionState::Established
            | SessionState::Closing(_) => {
                session.timer = None;
                Outcome::Continue
            }
        }
    }
}
