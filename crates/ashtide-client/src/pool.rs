//! All sessions of a process: events in, effects out.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use ashtide_protocol::{GatewayEvent, PeerFault};
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::address::{Book, Choice};
use crate::budget::{Budget, Drops};
use crate::learnt::{Failing, Held, Learnt};
use crate::session::{After, Session, State};
use crate::{
    Address, Attempt, GaveUp, Loss, Moment, Notice, SessionId, Setback, Settings, SettingsError, TICK, Wish,
};

/// A session that was dropped sees for so long how many drop with it, before it draws its wait.
pub const GATHER: Duration = Duration::from_millis(200);
/// Sessions without any address that wait for a list start within this time of its coming.
const NEW_LIST: Duration = Duration::from_millis(500);

/// What happens to a pool. Events of an attempt that is over are counted and change nothing.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The connection of an attempt has come up.
    Connected(SessionId, Attempt),
    /// It has not; there is no socket any more.
    ConnectFailed(SessionId, Attempt),
    /// What the balancer said, as [`GatewaySide`](ashtide_protocol::GatewaySide) reads it. Lines of a
    /// standing connection need not be reported. The socket is still open.
    Heard(SessionId, Attempt, Result<GatewayEvent, PeerFault>),
    /// The connection has ended and its socket is closed; the peer's fault where there was one.
    Ended(SessionId, Attempt, Option<PeerFault>),
    /// A socket that was to be closed is closed, or there was none any more.
    Closed(SessionId, Attempt),
    /// The application wants no more of this session.
    Leave(SessionId),
    /// The device has no network.
    NetworkLost,
    /// It has one, perhaps another.
    NetworkBack,
    /// The balancers' addresses are these from now on. Standing connections stay.
    Addresses(Vec<Address>),
    /// Time has passed.
    Time,
}

/// What a driver is to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Connect there and report [`Event::Connected`] or [`Event::ConnectFailed`].
    Dial {
        /// For which session.
        session: SessionId,
        /// For which attempt.
        attempt: Attempt,
        /// Where.
        at: SocketAddr,
    },
    /// Write the request's line on that connection, now: its `d` counts from here.
    Write {
        /// For which session.
        session: SessionId,
        /// For which attempt.
        attempt: Attempt,
        /// The line with its CRLF.
        line: Bytes,
    },
    /// Close the attempt's socket, or give its dialling up, and report [`Event::Closed`].
    Close {
        /// Of which session.
        session: SessionId,
        /// Of which attempt.
        attempt: Attempt,
    },
    /// Tell the application.
    Tell(SessionId, Notice),
    /// The session is over: tell the application, and forget it.
    End(SessionId, GaveUp),
}

/// Counts since the pool began.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Figures {
    /// Sessions asked for.
    pub opened: u64,
    /// First tries of sessions.
    pub first_tries: u64,
    /// First tries of returns after a move or a break.
    pub returns: u64,
    /// Tries that repeat one.
    pub retries: u64,
    /// Connections that came up.
    pub up: u64,
    /// Tries refused.
    pub refused: u64,
    /// Tries failed by an answer.
    pub failed: u64,
    /// Tries that reached nobody.
    pub unreached: u64,
    /// Tries not answered in time.
    pub silent: u64,
    /// Tries cut off before the answer.
    pub cut: u64,
    /// Breaches of the protocol by peers.
    pub faults: u64,
    /// Standing connections moved.
    pub moved: u64,
    /// Standing connections broken.
    pub broken: u64,
    /// Sessions that ended for want of a retry in the budget.
    pub no_budget: u64,
    /// Events of attempts that were over.
    pub late: u64,
    /// Addresses passed over, as there were too many or one stood twice.
    pub passed_over: u64,
    /// Sessions that have ended.
    pub ended: u64,
}

/// Whether a session goes on.
enum Fate {
    GoesOn,
    Over,
}

/// All sessions of a process.
#[derive(Debug)]
pub struct Pool {
    sessions: HashMap<SessionId, Session>,
    shared: Shared,
}

/// What the sessions share.
#[derive(Debug)]
struct Shared {
    settings: Settings,
    rng: Xoshiro256PlusPlus,
    book: Book,
    budget: Budget,
    drops: Drops,
    due: BTreeSet<(u64, SessionId)>,
    figures: Figures,
    offline: bool,
    now: Moment,
    next: u64,
    open: usize,
}

impl Pool {
    /// A pool without sessions and addresses. Pools whose seeds are equal still differ once they have
    /// sessions under different keys.
    ///
    /// # Errors
    ///
    /// Fails where a setting cannot be so.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let shared = Shared {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            book: Book::new(&settings),
            budget: Budget::new(&settings),
            drops: Drops::default(),
            due: BTreeSet::new(),
            figures: Figures::default(),
            offline: false,
            now: Moment::default(),
            next: 0,
            open: 0,
            settings,
        };
        Ok(Self { sessions: HashMap::new(), shared })
    }

    /// Asks for a connection. The session's id is its own for as long as the pool lives, also where the
    /// session ends at once.
    pub fn open(&mut self, now: Moment, wish: Wish, out: &mut Vec<Effect>) -> SessionId {
        self.run_due(now, out);
        let now = self.shared.now;
        self.shared.next += 1;
        let id = SessionId(self.shared.next);
        self.shared.figures.opened += 1;
        let most = self.shared.settings.sessions;
        let error = match wish.asking.check() {
            Err(error) => Some(GaveUp::Wish(error)),
            Ok(()) if self.sessions.len() >= most => Some(GaveUp::TooMany { most }),
            Ok(()) => None,
        };
        if let Some(error) = error {
            self.shared.figures.ended += 1;
            out.push(Effect::End(id, error));
            return id;
        }
        self.shared.stir(&wish);
        self.shared.open = self.sessions.len() + 1;
        let mut session = Session::new(wish, now);
        let fate = if self.shared.offline {
            session.state = State::Offline;
            Fate::GoesOn
        } else {
            self.shared.budget.deposit(now);
            self.shared.place(now, id, &mut session, out)
        };
        if let Fate::GoesOn = fate {
            self.shared.schedule(id, &mut session);
            self.sessions.insert(id, session);
        }
        id
    }

    /// Takes one event in. What is due goes first, so that nothing comes in time after its deadline.
    pub fn handle(&mut self, now: Moment, event: Event, out: &mut Vec<Effect>) {
        self.run_due(now, out);
        match event {
            Event::Time => {}
            Event::Connected(id, attempt) => self.step(id, Some(attempt), out, Shared::connected),
            Event::ConnectFailed(id, attempt) => {
                self.step(id, Some(attempt), out, |shared, now, id, session, out| {
                    shared.socket_gone(now, id, session, Setback::Unreached, None, out)
                });
            }
            Event::Heard(id, attempt, heard) => {
                self.step(id, Some(attempt), out, |shared, now, id, session, out| {
                    shared.heard(now, id, session, heard, out)
                });
            }
            Event::Ended(id, attempt, fault) => {
                self.step(id, Some(attempt), out, |shared, now, id, session, out| {
                    let setback = fault.map_or(Setback::Broke, Setback::Fault);
                    shared.socket_gone(now, id, session, setback, fault, out)
                });
            }
            // Of a session that is over, or an attempt that ended by itself: the usual order of things.
            Event::Closed(id, attempt) if self.sessions.get(&id).is_none_or(|s| s.attempt != attempt) => {}
            Event::Closed(id, attempt) => {
                self.step(id, Some(attempt), out, |shared, now, id, session, out| match session.state {
                    State::Closing(after) => shared.closed(now, id, session, after, out),
                    _ => Fate::GoesOn,
                });
            }
            Event::Leave(id) => self.step(id, None, out, |shared, _, id, session, out| {
                shared.over(id, session, GaveUp::Closed, out)
            }),
            Event::NetworkLost => {
                self.shared.offline = true;
                self.each(|_| true, out, Shared::network_lost);
            }
            Event::NetworkBack => {
                self.shared.offline = false;
                self.each(|session| session.state == State::Offline, out, Shared::network_back);
            }
            Event::Addresses(list) => {
                self.shared.figures.passed_over += self.shared.book.replace(list) as u64;
                self.each(
                    |session| session.state == State::Starved,
                    out,
                    |shared, now, _, session, _| {
                        session.state = State::Waiting;
                        session.timer = Some(now + shared.draw(NEW_LIST));
                        Fate::GoesOn
                    },
                );
            }
        }
    }

    /// When the pool wants [`Event::Time`] next.
    pub fn next_wake(&self) -> Option<Moment> {
        self.shared.due.first().map(|&(tick, _)| Moment::of_tick(tick))
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
    pub fn stands(&self, id: SessionId) -> bool {
        self.sessions.get(&id).is_some_and(|session| session.state == State::Standing)
    }

    /// The number of this session's latest attempt, if there is such a session.
    pub fn attempt(&self, id: SessionId) -> Option<Attempt> {
        self.sessions.get(&id).map(|session| session.attempt)
    }

    /// Counts since the pool began.
    pub fn figures(&self) -> &Figures {
        &self.shared.figures
    }

    /// Retries that the budget holds now.
    pub fn budget(&self) -> f64 {
        self.shared.budget.tokens()
    }

    /// Addresses that it knows.
    pub fn addresses(&self) -> usize {
        self.shared.book.len()
    }

    /// What is worth keeping for the next process.
    pub fn learnt(&self, now: Moment) -> Learnt {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let book = &self.shared.book;
        let holds = book.held(now).map(|(site, class, left)| Held {
            site: site.into(),
            class: class.into(),
            ms: millis(left),
        });
        let failing = book.failing(now).map(|(at, streak, left)| Failing { at, streak, ms: millis(left) });
        Learnt { tokens: self.shared.budget.tokens(), holds: holds.collect(), failing: failing.collect() }
    }

    /// Takes up what an earlier process had learnt, so long ago. To be called once the addresses are known.
    /// Nothing in it can hold this process longer than its own settings would.
    pub fn recall(&mut self, now: Moment, learnt: &Learnt, ago: Duration) {
        let left = |ms: u64, most: Duration| Duration::from_millis(ms).min(most).saturating_sub(ago);
        let (busy, aside) = (self.shared.settings.busy_most, self.shared.settings.aside_to);
        for held in &learnt.holds {
            let left = left(held.ms, busy);
            if !left.is_zero() {
                self.shared.book.recall_hold(&held.site, &held.class, now + left);
            }
        }
        for failing in &learnt.failing {
            let left = left(failing.ms, aside);
            if failing.streak > 0 && !left.is_zero() {
                self.shared.book.recall_failing(failing.at, failing.streak.min(16), now + left);
            }
        }
        self.shared.budget.recall(learnt.tokens);
    }

    /// Has a session do something, if it is there and the event is of its present attempt.
    fn step(
        &mut self,
        id: SessionId,
        attempt: Option<Attempt>,
        out: &mut Vec<Effect>,
        act: impl FnOnce(&mut Shared, Moment, SessionId, &mut Session, &mut Vec<Effect>) -> Fate,
    ) {
        let shared = &mut self.shared;
        let now = shared.now;
        match self.sessions.get_mut(&id) {
            Some(session) if attempt.is_none_or(|attempt| attempt == session.attempt) => {
                // Ticks are coarse; a deadline is not.
                let fate = if session.deadline.is_some_and(|by| by <= now)
                    || session.expires.is_some_and(|by| by <= now)
                {
                    shared.fire(now, id, session, out)
                } else {
                    act(shared, now, id, session, out)
                };
                match fate {
                    Fate::GoesOn => shared.schedule(id, session),
                    Fate::Over => _ = self.sessions.remove(&id),
                }
            }
            _ => shared.figures.late += 1,
        }
    }

    /// Has all sessions of a kind do something, in the order in which they were opened.
    fn each(
        &mut self,
        which: impl Fn(&Session) -> bool,
        out: &mut Vec<Effect>,
        act: impl Fn(&mut Shared, Moment, SessionId, &mut Session, &mut Vec<Effect>) -> Fate,
    ) {
        let mut ids: Vec<SessionId> =
            self.sessions.iter().filter(|(_, session)| which(session)).map(|(&id, _)| id).collect();
        ids.sort_unstable();
        for id in ids {
            self.step(id, None, out, &act);
        }
    }

    fn run_due(&mut self, now: Moment, out: &mut Vec<Effect>) {
        self.shared.now = self.shared.now.max(now);
        let now = self.shared.now;
        let passed = now.ticks_passed();
        while let Some(&(tick, id)) = self.shared.due.first() {
            if tick > passed {
                return;
            }
            self.step(id, None, out, Shared::fire);
        }
    }
}

impl Shared {
    /// Mixes the key in, so that processes that began with the same seed part ways.
    fn stir(&mut self, wish: &Wish) {
        let mut hash = self.rng.random::<u64>();
        for byte in wish.asking.key.bytes().chain(wish.asking.class.bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        self.rng = Xoshiro256PlusPlus::seed_from_u64(hash);
    }

    fn draw(&mut self, window: Duration) -> Duration {
        window.mul_f64(self.rng.random::<f64>())
    }

    fn schedule(&mut self, id: SessionId, session: &mut Session) {
        let due = session.next().map(Moment::tick);
        if due != session.due {
            if let Some(tick) = session.due {
                self.due.remove(&(tick, id));
            }
            if let Some(tick) = due {
                self.due.insert((tick, id));
            }
            session.due = due;
        }
    }

    /// Ends a session. This is the only place where one ends.
    fn over(&mut self, id: SessionId, session: &mut Session, why: GaveUp, out: &mut Vec<Effect>) -> Fate {
        if session.state.has_socket() && !matches!(session.state, State::Closing(_)) {
            out.push(Effect::Close { session: id, attempt: session.attempt });
        }
        if let (State::Dialling | State::Asked, Some(at)) = (session.state, session.address) {
            self.book.untried(at);
        }
        if let Some(tick) = session.due.take() {
            self.due.remove(&(tick, id));
        }
        self.figures.ended += 1;
        out.push(Effect::End(id, why));
        Fate::Over
    }

    /// Tries the next address, or waits until one may be tried.
    fn place(&mut self, now: Moment, id: SessionId, session: &mut Session, out: &mut Vec<Effect>) -> Fate {
        let avoid = session.address;
        let (until, held) = match self.book.choose(now, &session.wish.asking.class, avoid, &mut self.rng) {
            Choice::At(at) => {
                session.attempt.0 += 1;
                session.tries += 1;
                session.address = Some(at);
                session.state = State::Dialling;
                session.timer = Some(now + self.settings.connect_within);
                match (session.tries, session.again) {
                    (1, false) => self.figures.first_tries += 1,
                    (1, true) => self.figures.returns += 1,
                    _ => self.figures.retries += 1,
                }
                out.push(Effect::Dial { session: id, attempt: session.attempt, at });
                return Fate::GoesOn;
            }
            Choice::Nothing => {
                (session.state, session.timer) = (State::Starved, None);
                return Fate::GoesOn;
            }
            Choice::Held(until) => (until, true),
            Choice::Aside(until) => (until, false),
        };
        let left = session.deadline.map_or(Duration::MAX, |by| by.since(until));
        if left.is_zero() {
            let wait = until.since(now);
            let why =
                if held { GaveUp::Refused { come_back: wait } } else { GaveUp::NoAddress { next: wait } };
            return self.over(id, session, why, out);
        }
        // All who wait for this moment would come at once: the more there are, the wider they spread.
        let crowd = Duration::from_secs_f64(self.open as f64 / self.settings.return_rate);
        let window = self.settings.retry_from.max(crowd).min(self.settings.window_most).min(left / 2);
        (session.state, session.timer) = (State::Waiting, Some(until + self.draw(window)));
        Fate::GoesOn
    }

    /// The connection is up: the request's line goes out, with what is left of the time now.
    fn connected(
        &mut self,
        now: Moment,
        id: SessionId,
        session: &mut Session,
        out: &mut Vec<Effect>,
    ) -> Fate {
        if session.state != State::Dialling {
            self.figures.late += 1;
            return Fate::GoesOn;
        }
        let left = session.deadline.map_or(Duration::MAX, |by| by.since(now));
        let wait = session.wish.try_wait.map_or(left, |wait| wait.min(left));
        let name = format!("{:016x}", self.rng.random::<u64>());
        session.wish.asking.retry = session.tries > 1;
        session.wish.asking.again = session.again;
        // A line tells whole milliseconds and one at least.
        if wait < Duration::from_millis(1) {
            session.last = Setback::Untried;
            return self.over(id, session, GaveUp::Deadline { last: session.last }, out);
        }
        match session.wish.asking.line(&name, wait) {
            Ok(line) => {
                (session.state, session.timer) = (State::Asked, Some(now + wait));
                out.push(Effect::Write { session: id, attempt: session.attempt, line });
                Fate::GoesOn
            }
            // It was checked when the session was opened; only the length of the whole is left.
            Err(error) => self.over(id, session, GaveUp::Wish(error), out),
        }
    }

    fn heard(
        &mut self,
        now: Moment,
        id: SessionId,
        session: &mut Session,
        heard: Result<GatewayEvent, PeerFault>,
        out: &mut Vec<Effect>,
    ) -> Fate {
        if heard.is_err() {
            self.figures.faults += 1;
        }
        match (session.state, heard) {
            (State::Asked, Ok(GatewayEvent::Up(receipt))) => {
                let Some(at) = session.address else { return Fate::GoesOn };
                self.book.answered(at);
                self.figures.up += 1;
                let up = Notice::Up { at, receipt, tries: session.tries, again: session.again };
                (session.state, session.timer, session.deadline) = (State::Standing, None, None);
                (session.tries, session.refusals, session.last) = (0, 0, Setback::Untried);
                session.since = now;
                out.push(Effect::Tell(id, up));
                Fate::GoesOn
            }
            (State::Asked, Ok(GatewayEvent::Busy(wait))) => {
                self.setback(now, id, session, Setback::Refused(wait), out)
            }
            (State::Asked, Ok(_)) => self.setback(now, id, session, Setback::Failed, out),
            (State::Dialling | State::Asked, Err(fault)) => {
                self.setback(now, id, session, Setback::Fault(fault), out)
            }
            (State::Standing, Ok(GatewayEvent::Bye)) => self.over(id, session, GaveUp::Served, out),
            (State::Standing, Ok(GatewayEvent::Move)) => self.dropped(now, id, session, Loss::Moved, out),
            (State::Standing, Ok(_)) => Fate::GoesOn,
            (State::Standing, Err(fault)) => self.dropped(now, id, session, Loss::Broke(Some(fault)), out),
            _ => {
                self.figures.late += 1;
                Fate::GoesOn
            }
        }
    }

    /// The attempt's socket is closed without the pool's doing.
    fn socket_gone(
        &mut self,
        now: Moment,
        id: SessionId,
        session: &mut Session,
        setback: Setback,
        fault: Option<PeerFault>,
        out: &mut Vec<Effect>,
    ) -> Fate {
        self.figures.faults += u64::from(fault.is_some());
        match session.state {
            // Both ends closed at once; the word that it is closed will be of an attempt that is over.
            State::Closing(after) => self.closed(now, id, session, after, out),
            State::Dialling => {
                session.state = State::Waiting;
                self.setback(now, id, session, Setback::Unreached, out)
            }
            State::Asked => {
                session.state = State::Waiting;
                self.setback(now, id, session, setback, out)
            }
            State::Standing => {
                session.state = State::Gathering;
                self.dropped(now, id, session, Loss::Broke(fault), out)
            }
            _ => {
                self.figures.late += 1;
                Fate::GoesOn
            }
        }
    }

    /// An attempt came to nothing. Its socket, where the state still has one, is closed before anything
    /// else is done for the session.
    fn setback(
        &mut self,
        now: Moment,
        id: SessionId,
        session: &mut Session,
        last: Setback,
        out: &mut Vec<Effect>,
    ) -> Fate {
        session.last = last;
        self.note(now, session);
        let most = if session.again { self.settings.return_tries } else { self.settings.tries };
        let advised = match last {
            Setback::Refused(wait) => wait.unwrap_or_default().min(self.settings.busy_most),
            _ => Duration::ZERO,
        };
        let refused = matches!(last, Setback::Refused(_));
        let stop = if !last.never_ran() && !session.wish.repeatable {
            Some(GaveUp::NotRepeatable { last })
        } else if session.tries >= most && refused {
            Some(GaveUp::Refused { come_back: advised })
        } else if session.tries >= most {
            Some(GaveUp::Tries { tries: session.tries, last })
        } else {
            None
        };
        if let Some(why) = stop {
            return self.over(id, session, why, out);
        }
        let after = self.back_off(session, refused, advised);
        if session.deadline.is_some_and(|by| now + after >= by) {
            let why =
                if refused { GaveUp::Refused { come_back: advised } } else { GaveUp::Deadline { last } };
            return self.over(id, session, why, out);
        }
        if !self.budget.withdraw(now) {
            self.figures.no_budget += 1;
            return self.over(id, session, GaveUp::Budget { last }, out);
        }
        out.push(Effect::Tell(id, Notice::Retrying { last, after }));
        self.close_then(now, id, session, After::Wait(now + after), out)
    }

    /// Counts a setback and notes what it says of the address.
    fn note(&mut self, now: Moment, session: &mut Session) {
        let at = session.address;
        let figures = &mut self.figures;
        match session.last {
            Setback::Untried | Setback::Offline => return,
            Setback::Unreached => figures.unreached += 1,
            Setback::Refused(_) => figures.refused += 1,
            Setback::Failed => figures.failed += 1,
            Setback::Silent => figures.silent += 1,
            Setback::Broke | Setback::Fault(_) => figures.cut += 1,
        }
        let Some(at) = at else { return };
        match session.last {
            Setback::Refused(wait) => {
                session.refusals += 1;
                self.book.answered(at);
                let wait = wait.unwrap_or_default().min(self.settings.busy_most);
                if !wait.is_zero() {
                    self.book.refused(now, at, &session.wish.asking.class, now + wait);
                }
            }
            Setback::Failed => self.book.erred(now, at, &mut self.rng),
            _ => self.book.failed(now, at, &mut self.rng),
        }
    }

    /// The wait before the next try: never less than was advised, and jittered over a window that doubles.
    fn back_off(&mut self, session: &Session, refused: bool, advised: Duration) -> Duration {
        let window = if session.again && refused {
            // A crowd that came back too soon: it spreads wider still.
            let doubled = 1_u32 << session.refusals.min(8);
            self.base(session.dropped).saturating_mul(doubled).min(self.settings.window_most)
        } else {
            let doubled = 1_u32 << session.tries.saturating_sub(1).min(16);
            self.settings.retry_from.saturating_mul(doubled).min(self.settings.retry_to).max(advised / 2)
        };
        advised + self.draw(window).max(TICK)
    }

    const fn base(&self, dropped: Loss) -> Duration {
        match dropped {
            Loss::Moved => self.settings.move_window,
            Loss::Broke(_) | Loss::Offline => self.settings.break_window,
        }
    }

    /// Closes the socket that there is, and goes on once it is closed.
    fn close_then(
        &mut self,
        now: Moment,
        id: SessionId,
        session: &mut Session,
        after: After,
        out: &mut Vec<Effect>,
    ) -> Fate {
        if session.state.has_socket() {
            out.push(Effect::Close { session: id, attempt: session.attempt });
            (session.state, session.timer) = (State::Closing(after), None);
            Fate::GoesOn
        } else {
            self.closed(now, id, session, after, out)
        }
    }

    /// The socket is closed: what was to follow does.
    fn closed(
        &mut self,
        now: Moment,
        id: SessionId,
        session: &mut Session,
        after: After,
        out: &mut Vec<Effect>,
    ) -> Fate {
        match after {
            _ if self.offline => {
                (session.state, session.timer) = (State::Offline, None);
                Fate::GoesOn
            }
            After::Wait(until) => {
                (session.state, session.timer) = (State::Waiting, Some(until));
                Fate::GoesOn
            }
            After::Gather => {
                (session.state, session.timer) = (State::Gathering, Some(now + GATHER));
                Fate::GoesOn
            }
            After::Offline => self.network_back(now, id, session, out),
        }
    }

    /// A standing connection is no more.
    fn dropped(
        &mut self,
        now: Moment,
        id: SessionId,
        session: &mut Session,
        drop: Loss,
        out: &mut Vec<Effect>,
    ) -> Fate {
        match drop {
            Loss::Moved => self.figures.moved += 1,
            Loss::Broke(_) | Loss::Offline => self.figures.broken += 1,
        }
        if !session.wish.returns {
            return self.over(id, session, GaveUp::Ended, out);
        }
        let quick = now.since(session.since) < self.settings.quick && drop != Loss::Offline;
        session.quick = if quick { session.quick + 1 } else { 0 };
        if session.quick >= self.settings.quick_most {
            return self.over(id, session, GaveUp::Unstable { breaks: session.quick }, out);
        }
        (session.again, session.dropped, session.last) = (true, drop, Setback::Untried);
        if let (Loss::Broke(_), Some(at)) = (drop, session.address) {
            self.book.broke(now, at);
        }
        (session.tries, session.refusals, session.timer) = (0, 0, None);
        self.drops.note(now);
        self.budget.deposit(now);
        // Until its wait is drawn; a driver that never closes the socket must not hold it for ever.
        session.deadline = Some(now + self.settings.window_most + self.settings.return_within);
        out.push(Effect::Tell(id, Notice::Dropped(drop)));
        if drop == Loss::Offline {
            session.deadline = Some(now + self.settings.offline_within);
            return self.close_then(now, id, session, After::Offline, out);
        }
        self.close_then(now, id, session, After::Gather, out)
    }

    /// It has seen how many dropped with it, and draws its wait from a window that fits them all.
    fn gathered(&mut self, now: Moment, id: SessionId, session: &mut Session, out: &mut Vec<Effect>) -> Fate {
        let lately = self.drops.lately(now);
        let crowd = Duration::from_secs_f64(f64::from(lately) / self.settings.return_rate);
        let own = self.base(session.dropped).saturating_mul(1 << session.quick.min(8));
        let after = self.draw(own.max(crowd).min(self.settings.window_most));
        (session.state, session.timer) = (State::Waiting, Some(now + after));
        session.deadline = Some(now + after + self.settings.return_within);
        out.push(Effect::Tell(id, Notice::Returning { after }));
        Fate::GoesOn
    }

    /// A time is over: the life, the deadline, or the state's own.
    fn fire(&mut self, now: Moment, id: SessionId, session: &mut Session, out: &mut Vec<Effect>) -> Fate {
        let over = |by: Option<Moment>| by.is_some_and(|by| by <= now);
        if over(session.expires) {
            return self.over(id, session, GaveUp::Expired, out);
        }
        if over(session.deadline) {
            session.last = match session.state {
                State::Asked => Setback::Silent,
                State::Dialling => Setback::Unreached,
                State::Offline => Setback::Offline,
                _ => session.last,
            };
            if matches!(session.state, State::Asked | State::Dialling) {
                self.note(now, session);
            }
            return self.over(id, session, GaveUp::Deadline { last: session.last }, out);
        }
        if !over(session.timer) {
            return Fate::GoesOn;
        }
        match session.state {
            State::Gathering => self.gathered(now, id, session, out),
            State::Waiting => self.place(now, id, session, out),
            State::Dialling => self.setback(now, id, session, Setback::Unreached, out),
            State::Asked => self.setback(now, id, session, Setback::Silent, out),
            // None of these has a time of its own.
            State::Starved | State::Offline | State::Standing | State::Closing(_) => {
                session.timer = None;
                Fate::GoesOn
            }
        }
    }

    fn network_lost(
        &mut self,
        now: Moment,
        id: SessionId,
        session: &mut Session,
        out: &mut Vec<Effect>,
    ) -> Fate {
        if session.again && !matches!(session.state, State::Standing | State::Offline) {
            session.deadline = Some(now + self.settings.offline_within);
        }
        match session.state {
            State::Standing => self.dropped(now, id, session, Loss::Offline, out),
            State::Asked if !session.wish.repeatable => {
                self.over(id, session, GaveUp::NotRepeatable { last: Setback::Offline }, out)
            }
            State::Dialling | State::Asked => {
                session.last = Setback::Offline;
                if let Some(at) = session.address {
                    self.book.untried(at);
                }
                self.close_then(now, id, session, After::Offline, out)
            }
            State::Closing(_) => {
                session.state = State::Closing(After::Offline);
                Fate::GoesOn
            }
            State::Gathering | State::Waiting | State::Starved | State::Offline => {
                (session.state, session.timer) = (State::Offline, None);
                Fate::GoesOn
            }
        }
    }

    /// There is a network again. Who had a connection comes back with the others; who had not goes on
    /// with its first placing, within what is left of its time.
    fn network_back(
        &mut self,
        now: Moment,
        id: SessionId,
        session: &mut Session,
        out: &mut Vec<Effect>,
    ) -> Fate {
        if session.again {
            session.dropped = Loss::Offline;
            session.deadline = None;
            // A return that had begun begins anew: the network's going was no fault of the site.
            (session.tries, session.refusals) = (0, 0);
            self.drops.note(now);
            (session.state, session.timer) = (State::Gathering, Some(now + GATHER));
            return Fate::GoesOn;
        }
        if session.tries >= self.settings.tries {
            return self.over(id, session, GaveUp::Tries { tries: session.tries, last: session.last }, out);
        }
        if session.tries == 0 {
            self.budget.deposit(now);
        } else if !self.budget.withdraw(now) {
            self.figures.no_budget += 1;
            return self.over(id, session, GaveUp::Budget { last: session.last }, out);
        }
        let left = session.deadline.map_or(Duration::ZERO, |by| by.since(now));
        let after = self.draw(self.settings.break_window.min(left / 2));
        (session.state, session.timer) = (State::Waiting, Some(now + after));
        Fate::GoesOn
    }
}
