//! All sessions of a process as one state machine: events go in, commands for the driver come out.

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

/// A session that was dropped sees for so long how many drop with it, before it draws its wait.
pub const DISCONNECT_COLLECTION_WINDOW: Duration = Duration::from_millis(200);
/// Sessions without any address that wait for a list start within this time of its coming.
const NEW_LIST_WINDOW: Duration = Duration::from_millis(500);

/// Whether a session goes on.
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

/// What the sessions share.
#[derive(Debug)]
struct PoolState {
    settings: Settings,
    rng: Xoshiro256PlusPlus,
    address_book: AddressBook,
    retry_budget: RetryBudget,
    disconnects: DisconnectCounter,
    timers: BTreeSet<(u64, SessionId)>,
    metrics: Metrics,
    offline: bool,
    now: Instant,
    last_session_id: u64,
    open_sessions: usize,
}

impl SessionPool {
    /// A pool without sessions and addresses. Pools whose seeds are equal still differ once they have
    /// sessions under different keys.
    ///
    /// # Errors
    ///
    /// Fails where a setting cannot be so.
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

    /// Asks for a connection. The session's id is its own for as long as the pool lives, also where the
    /// session ends at once.
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
        let most = self.shared.settings.sessions;
        let error = match request.parameters.check() {
            Err(error) => Some(GiveUpReason::InvalidRequest(error)),
            Ok(()) if self.sessions.len() >= most => Some(GiveUpReason::TooManySessions { limit: most }),
            Ok(()) => None,
        };
        if let Some(error) = error {
            self.shared.metrics.ended += 1;
            commands.push(PoolCommand::EndSession(id, error));
            return id;
        }
        self.shared.mix_into_seed(&request);
        self.shared.open_sessions = self.sessions.len() + 1;
        let mut session = Session::new(request, now);
        let fate = if self.shared.offline {
            session.state = SessionState::Offline;
            Outcome::Continue
        } else {
            self.shared.retry_budget.deposit(now);
            self.shared.start_attempt(now, id, &mut session, commands)
        };
        if let Outcome::Continue = fate {
            self.shared.schedule(id, &mut session);
            self.sessions.insert(id, session);
        }
        id
    }

    /// Takes one event in. What is due goes first, so that nothing comes in time after its deadline.
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
            PoolEvent::Received(id, attempt, heard) => {
                self.with_session(id, Some(attempt), commands, |shared, now, id, session, commands| {
                    shared.handle_gateway_event(now, id, session, heard, commands)
                });
            }
            PoolEvent::ConnectionEnded(id, attempt, fault) => {
                self.with_session(id, Some(attempt), commands, |shared, now, id, session, commands| {
                    let setback =
                        fault.map_or(AttemptFailure::ConnectionLost, AttemptFailure::ProtocolViolation);
                    shared.handle_peer_close(now, id, session, setback, fault, commands)
                });
            }
            // Of a session that is over, or an attempt that ended by itself: the usual order of things.
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
            PoolEvent::AddressesChanged(list) => {
                self.shared.metrics.skipped_addresses += self.shared.address_book.replace(list) as u64;
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

    /// When the pool wants [`PoolEvent::TimerFired`] next.
    pub fn next_wake(&self) -> Option<Instant> {
        self.shared.timers.first().map(|&(tick, _)| Instant::from_tick(tick))
    }

    /// Sessions that are not over.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Whether this session's connection stands.
    pub fn is_established(&self, id: SessionId) -> bool {
        self.sessions.get(&id).is_some_and(|session| session.state == SessionState::Established)
    }

    /// The number of this session's latest attempt, if there is such a session.
    pub fn current_attempt(&self, id: SessionId) -> Option<Attempt> {
        self.sessions.get(&id).map(|session| session.attempt)
    }

    /// Counts since the pool began.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Retries that the budget holds now.
    pub fn retry_budget(&self) -> f64 {
        self.shared.retry_budget.tokens()
    }

    /// Addresses that it knows.
    pub fn address_count(&self) -> usize {
        self.shared.address_book.len()
    }

    /// What is worth keeping for the next process.
    pub fn server_cache(&self, now: Instant) -> ServerCache {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let book = &self.shared.address_book;
        let holds = book.active_rejections(now).map(|(site, class, left)| CachedRejection {
            site: site.into(),
            class: class.into(),
            remaining_ms: millis(left),
        });
        let failing = book.failing_addresses(now).map(|(at, streak, left)| CachedFailure {
            gateway: at,
            consecutive_failures: streak,
            remaining_ms: millis(left),
        });
        ServerCache {
            tokens: self.shared.retry_budget.tokens(),
            rejections: holds.collect(),
            failures: failing.collect(),
        }
    }

    /// Takes up what an earlier process had learnt, so long ago. To be called once the addresses are known.
    /// Nothing in it can hold this process longer than its own settings would.
    pub fn restore_cache(&mut self, now: Instant, learnt: &ServerCache, ago: Duration) {
        let left = |ms: u64, most: Duration| Duration::from_millis(ms).min(most).saturating_sub(ago);
        let (busy, aside) = (self.shared.settings.busy_most, self.shared.settings.aside_to);
        for held in &learnt.rejections {
            let left = left(held.remaining_ms, busy);
            if !left.is_zero() {
                self.shared.address_book.restore_rejection(&held.site, &held.class, now + left);
            }
        }
        for failing in &learnt.failures {
            let left = left(failing.remaining_ms, aside);
            if failing.consecutive_failures > 0 && !left.is_zero() {
                self.shared.address_book.restore_failure(
                    failing.gateway,
                    failing.consecutive_failures.min(16),
                    now + left,
                );
            }
        }
        self.shared.retry_budget.restore(learnt.tokens);
    }

    /// Has a session do something, if it is there and the event is of its present attempt.
    fn with_session(
        &mut self,
        id: SessionId,
        attempt: Option<Attempt>,
        commands: &mut Vec<PoolCommand>,
        act: impl FnOnce(&mut PoolState, Instant, SessionId, &mut Session, &mut Vec<PoolCommand>) -> Outcome,
    ) {
        let shared = &mut self.shared;
        let now = shared.now;
        match self.sessions.get_mut(&id) {
            Some(session) if attempt.is_none_or(|attempt| attempt == session.attempt) => {
                // Ticks are coarse; a deadline is not.
                let fate = if session.deadline.is_some_and(|by| by <= now)
                    || session.expires_at.is_some_and(|by| by <= now)
                {
                    shared.run_timer(now, id, session, commands)
                } else {
                    act(shared, now, id, session, commands)
                };
                match fate {
                    Outcome::Continue => shared.schedule(id, session),
                    Outcome::Ended => _ = self.sessions.remove(&id),
                }
            }
            _ => shared.metrics.late_events += 1,
        }
    }

    /// Has all sessions of a kind do something, in the order in which they were opened.
    fn for_each_session(
        &mut self,
        which: impl Fn(&Session) -> bool,
        commands: &mut Vec<PoolCommand>,
        act: impl Fn(&mut PoolState, Instant, SessionId, &mut Session, &mut Vec<PoolCommand>) -> Outcome,
    ) {
        let mut ids: Vec<SessionId> =
            self.sessions.iter().filter(|(_, session)| which(session)).map(|(&id, _)| id).collect();
        ids.sort_unstable();
        for id in ids {
            self.with_session(id, None, commands, &act);
        }
    }

    fn run_due_timers(&mut self, now: Instant, commands: &mut Vec<PoolCommand>) {
        self.shared.now = self.shared.now.max(now);
        let now = self.shared.now;
        let passed = now.elapsed_ticks();
        while let Some(&(tick, id)) = self.shared.timers.first() {
            if tick > passed {
                return;
            }
            self.with_session(id, None, commands, PoolState::run_timer);
        }
    }
}

impl PoolState {
    /// Mixes the key in, so that processes that began with the same seed part ways.
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
        let due = session.next_timer().map(Instant::tick_at_or_after);
        if due != session.scheduled_tick {
            if let Some(tick) = session.scheduled_tick {
                self.timers.remove(&(tick, id));
            }
            if let Some(tick) = due {
                self.timers.insert((tick, id));
            }
            session.scheduled_tick = due;
        }
    }

    /// Ends a session. This is the only place where one ends.
    fn end_session(
        &mut self,
        id: SessionId,
        session: &mut Session,
        why: GiveUpReason,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        if session.state.has_socket() && !matches!(session.state, SessionState::Closing(_)) {
            commands.push(PoolCommand::Close { session: id, attempt: session.attempt });
        }
        if let (SessionState::Connecting | SessionState::AwaitingAnswer, Some(at)) =
            (session.state, session.address)
        {
            self.address_book.cancel_trial(at);
        }
        if let Some(tick) = session.scheduled_tick.take() {
            self.timers.remove(&(tick, id));
        }
        self.metrics.ended += 1;
        commands.push(PoolCommand::EndSession(id, why));
        Outcome::Ended
    }

    /// Tries the next address, or waits until one may be tried.
    fn start_attempt(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        let avoid = session.address;
        let (until, held) =
            match self.address_book.select(now, &session.request.parameters.class, avoid, &mut self.rng) {
                Selection::Selected(at) => {
                    session.attempt.0 += 1;
                    session.attempts += 1;
                    session.address = Some(at);
                    session.state = SessionState::Connecting;
                    session.timer = Some(now + self.settings.connect_within);
                    match (session.attempts, session.established_before) {
                        (1, false) => self.metrics.first_attempts += 1,
                        (1, true) => self.metrics.reconnects += 1,
                        _ => self.metrics.retries += 1,
                    }
                    commands.push(PoolCommand::Connect {
                        session: id,
                        attempt: session.attempt,
                        gateway: at,
                    });
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
        let left = session.deadline.map_or(Duration::MAX, |by| by.duration_since(until));
        if left.is_zero() {
            let wait = until.duration_since(now);
            let why = if held {
                GiveUpReason::Rejected { retry_after: wait }
            } else {
                GiveUpReason::NoAvailableAddress { retry_after: wait }
            };
            return self.end_session(id, session, why, commands);
        }
        // All who wait for this moment would come at once: the more there are, the wider they spread.
        let crowd = Duration::from_secs_f64(self.open_sessions as f64 / self.settings.return_rate);
        let window = self.settings.retry_from.max(crowd).min(self.settings.window_most).min(left / 2);
        session.state = SessionState::Waiting;
        session.timer = Some(until + self.jitter(window));
        Outcome::Continue
    }

    /// The connection is up: the request's line goes out, with what is left of the time now.
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
        let left = session.deadline.map_or(Duration::MAX, |by| by.duration_since(now));
        let wait = session.request.attempt_timeout.map_or(left, |wait| wait.min(left));
        let name = format!("{:016x}", self.rng.random::<u64>());
        session.request.parameters.is_retry = session.attempts > 1;
        session.request.parameters.is_reconnect = session.established_before;
        // A line tells whole milliseconds and one at least.
        if wait < Duration::from_millis(1) {
            session.last_failure = AttemptFailure::NotAttempted;
            return self.end_session(
                id,
                session,
                GiveUpReason::DeadlineExceeded { last: session.last_failure },
                commands,
            );
        }
        match session.request.parameters.line(&name, wait) {
            Ok(line) => {
                session.state = SessionState::AwaitingAnswer;
                session.timer = Some(now + wait);
                commands.push(PoolCommand::SendRequest { session: id, attempt: session.attempt, line });
                Outcome::Continue
            }
            // It was checked when the session was opened; only the length of the whole is left.
            Err(error) => self.end_session(id, session, GiveUpReason::InvalidRequest(error), commands),
        }
    }

    fn handle_gateway_event(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        heard: Result<GatewayEvent, PeerFault>,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        if heard.is_err() {
            self.metrics.protocol_violations += 1;
        }
        match (session.state, heard) {
            (SessionState::AwaitingAnswer, Ok(GatewayEvent::Up(receipt))) => {
                let Some(at) = session.address else { return Outcome::Continue };
                self.address_book.record_answer(at);
                self.metrics.established += 1;
                let up = SessionNotification::Connected {
                    gateway: at,
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
                commands.push(PoolCommand::Notify(id, up));
                Outcome::Continue
            }
            (SessionState::AwaitingAnswer, Ok(GatewayEvent::Busy(wait))) => {
                self.handle_failure(now, id, session, AttemptFailure::Rejected(wait), commands)
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

    /// The attempt's socket is closed without the pool's doing.
    fn handle_peer_close(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        setback: AttemptFailure,
        fault: Option<PeerFault>,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        self.metrics.protocol_violations += u64::from(fault.is_some());
        match session.state {
            // Both ends closed at once; the word that it is closed will be of an attempt that is over.
            SessionState::Closing(after) => self.continue_after_close(now, id, session, after, commands),
            SessionState::Connecting => {
                session.state = SessionState::Waiting;
                self.handle_failure(now, id, session, AttemptFailure::ConnectFailed, commands)
            }
            SessionState::AwaitingAnswer => {
                session.state = SessionState::Waiting;
                self.handle_failure(now, id, session, setback, commands)
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

    /// Closes the socket that there is, and goes on once it is closed.
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

    /// The socket is closed: what was to follow does.
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

    /// A standing connection is no more.
    fn handle_disconnect(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        drop: ConnectionLoss,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        match drop {
            ConnectionLoss::Migrated => self.metrics.moved += 1,
            ConnectionLoss::Broken(_) | ConnectionLoss::Offline => self.metrics.broken += 1,
        }
        if !session.request.reconnects {
            return self.end_session(id, session, GiveUpReason::ConnectionEnded, commands);
        }
        let quick = now.duration_since(session.established_at) < self.settings.quick
            && drop != ConnectionLoss::Offline;
        session.consecutive_early_losses = if quick { session.consecutive_early_losses + 1 } else { 0 };
        if session.consecutive_early_losses >= self.settings.quick_most {
            return self.end_session(
                id,
                session,
                GiveUpReason::Unstable { consecutive_losses: session.consecutive_early_losses },
                commands,
            );
        }
        (session.established_before, session.last_loss, session.last_failure) =
            (true, drop, AttemptFailure::NotAttempted);
        if let (ConnectionLoss::Broken(_), Some(at)) = (drop, session.address) {
            self.address_book.record_connection_loss(now, at);
        }
        session.attempts = 0;
        session.rejections = 0;
        session.timer = None;
        self.disconnects.record(now);
        self.retry_budget.deposit(now);
        // Until its wait is drawn; a driver that never closes the socket must not hold it for ever.
        session.deadline = Some(now + self.settings.window_most + self.settings.return_within);
        commands.push(PoolCommand::Notify(id, SessionNotification::Disconnected(drop)));
        if drop == ConnectionLoss::Offline {
            session.deadline = Some(now + self.settings.offline_within);
            return self.close_socket_then(now, id, session, AfterClose::Offline, commands);
        }
        self.close_socket_then(now, id, session, AfterClose::CollectDisconnects, commands)
    }

    /// It has seen how many dropped with it, and draws its wait from a window that fits them all.
    fn schedule_reconnect(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        let lately = self.disconnects.recent(now);
        let crowd = Duration::from_secs_f64(f64::from(lately) / self.settings.return_rate);
        let own = self
            .reconnect_window(session.last_loss)
            .saturating_mul(1 << session.consecutive_early_losses.min(8));
        let after = self.jitter(own.max(crowd).min(self.settings.window_most));
        session.state = SessionState::Waiting;
        session.timer = Some(now + after);
        session.deadline = Some(now + after + self.settings.return_within);
        commands.push(PoolCommand::Notify(id, SessionNotification::Reconnecting { delay: after }));
        Outcome::Continue
    }

    /// A time is over: the life, the deadline, or the state's own.
    fn run_timer(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        let over = |by: Option<Instant>| by.is_some_and(|by| by <= now);
        if over(session.expires_at) {
            return self.end_session(id, session, GiveUpReason::Expired, commands);
        }
        if over(session.deadline) {
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
        if !over(session.timer) {
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
            // None of these has a time of its own.
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
