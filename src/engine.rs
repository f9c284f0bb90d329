//! The core: requests, attempts and outcomes, whatever wire they came by.
//!
//! The engine owns the decision module and does the bookkeeping round it. Fronts tell it of
//! requests and of what became of attempts; it returns effects for them to carry out. It holds two
//! promises whatever the module or a front does: a request gets one final answer, and never has two
//! attempts out. It reads no clock: every call is told the time, and its wheel wakes the driver.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::poll_fn;
use std::task::Poll;

use ashtide_fleet::state::Kind;
use tokio::time::Instant;
use tokio_util::time::{DelayQueue, delay_queue::Key};

use crate::brain::Balancer;
use crate::discovery::{End, TOLD, Vouching};
use crate::handover::Share;
use crate::interface::*;
use crate::probing::Probing;
use crate::ramp::Ramp;
use crate::request_invariants::{RequestInvariants, Violation as RequestViolation};
use crate::rights::{Datagram, Key as ServerKey, PATIENCE, Rights, Step, Unheard, Violation};
use crate::state::{Sight, Witness};

/// A connection whose oldest message has waited this long for the server is moved: the protocol
/// allows 7 s from the last line returned, and clients send one every 2 s.
const SILENT: Span = Span::from_micros(4_300_000);
/// A server is silent when connections of it wait this long for answers that are due at once and it
/// has said nothing on any meanwhile: sound ones answer a line in a millisecond, also when overrun.
const HUSHED: Span = Span::from_micros(1_000_000);
/// Connections that must wait for that; one alone waits twice as long.
const HUSHED_WAITING: u32 = 2;
/// How often standing connections are looked over for silence, and servers for slow messages.
const SWEEP: Span = Span::from_micros(250_000);
/// How often the module hears of a server whose messages are slow.
const NOTE_EVERY: Span = Span::from_micros(1_000_000);
/// Messages are slow from this part of the shortest message aim on.
const SLOW_PART: f64 = 1.0 / 3.0;
/// Connections of a server that drains are moved within this time, unless it sends them away itself.
const DRAINED_OVER: Span = Span::from_micros(8_000_000);
/// Connections of a server that is gone from the list are moved within this time.
const GONE_OVER: Span = Span::from_micros(1_000_000);
/// Connections taken over from another process are moved in so many groups, where they must be.
const ADOPTED_SPREAD: u32 = 16;
/// A process that leaves keeps its connections for this part of the time it has to move them: they are
/// served meanwhile, and where others restart in turn, the one before is back.
const LEAVE_FROM: f64 = 0.4;
/// Longest wait that the wheel is asked for.
const LONGEST: Span = Span::from_micros(86_400_000_000);

/// A final answer that is not service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Turned away; trying again is harmless after this long (zero: no advice).
    Refused(Span),
    /// Failed; nothing is promised.
    Failed,
}

/// What a front or a driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
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
        answer: Answer,
    },
    /// Send the client of this standing connection away politely, and end it.
    Move {
        /// Which request.
        id: RequestId,
    },
    /// Pass this standing connection to the process that succeeds this one.
    Hand {
        /// Which request.
        id: RequestId,
        /// The server that holds it.
        server: ServerId,
    },
    /// Probe a server.
    Probe {
        /// Which.
        server: ServerId,
    },
    /// Follow the server list from now on.
    Subscribe,
    /// Send another gateway this.
    Send(Datagram),
}

/// What has come due on the wheel. Opaque to drivers: hand it back to [`Engine::fire`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// A timer of the module.
    Module(TimerToken),
    /// An attempt's time is up.
    Attempt(RequestId, u32),
    /// A standing connection's turn to be moved.
    Move(RequestId),
    /// Time to look over the standing connections.
    Sweep,
    /// What was missed of the list may count as told.
    Unvouched,
    /// The owner of a server's allowance that was asked under this number has had its time.
    Overdue(ServerKey, u16),
    /// No request may be left open any longer: this process is leaving.
    Leave,
}

struct Out {
    attempt: u32,
    server: ServerId,
    sent: Time,
    timeout: Option<Key>,
    established: bool,
    /// When the oldest message that the server has not answered was passed on, and whether its
    /// answer is due at once.
    asked: Option<(Time, bool)>,
}

#[derive(Default)]
struct Record {
    tenant: Option<TenantId>,
    attempts: u32,
    out: Option<Out>,
}

/// How long messages take at a server, as the connections here show it.
#[derive(Default)]
struct Pulse {
    state: ServerState,
    /// The shortest answer since the last look.
    took: Option<Span>,
    noted: Option<Time>,
    slow: bool,
    /// When it last said anything on any connection.
    heard: Option<Time>,
}

/// What waits for answers of one server.
#[derive(Default)]
struct Waits {
    longest: Span,
    /// Of answers that are due at once: how many, and the one asked for longest ago.
    prompt: u32,
    since: Option<Time>,
}

/// The core of one gateway.
pub struct Engine {
    module: Balancer,
    records: BTreeMap<RequestId, Record>,
    pulses: BTreeMap<ServerId, Pulse>,
    /// What the list says of each server, and those that operators have taken out whatever it says.
    listed: BTreeMap<ServerId, Listing>,
    cordoned: BTreeSet<ServerId>,
    /// Until when the list is vouched for; and whether nothing is placed as that is past.
    vouching: Vouching,
    unvouched: bool,
    wheel: DelayQueue<Due>,
    tick: Span,
    slow_from: Span,
    /// Rights to send to new servers, where gateways can ask each other, and which server a key means.
    rights: Option<Rights>,
    keys: BTreeMap<ServerKey, ServerId>,
    probing: Probing,
    /// What must hold for each request, checked as things happen.
    invariants: RequestInvariants,
    /// What attempts came to, where other gateways are told; and servers that are out by what they all saw.
    witness: Option<Witness>,
    judged: BTreeSet<ServerId>,
    anchor: (Time, Instant),
    /// The latest time told.
    told: Time,
    /// When the standing connections are next to be looked over.
    next_sweep: Time,
    /// Set while leaving: connections that come up are moved at this time, or handed on at once.
    leaving: Option<Time>,
    handing: bool,
    /// Whether the time of leaving is up: requests are refused as they come.
    left: bool,
    inbox: VecDeque<Event>,
}

impl Engine {
    /// An engine whose `Time` runs from `anchor`, a pair of simultaneous readings.
    ///
    /// Must be called, and used, inside a tokio runtime with a timer: the wheel lives there.
    pub fn new(settings: Settings, seed: u64, anchor: (Time, Instant)) -> Self {
        let aims = settings.classes.iter().map(|c| c.message_aim).filter(|&aim| aim > Span::ZERO);
        let slow_from = aims.min().map_or(Span::ZERO, |aim| aim.scale(SLOW_PART));
        let tick = settings.tick.max(Span::from_micros(1_000));
        let ramp = Ramp::new(&settings);
        let rights = settings.peers.then(|| Rights::new(settings.own, settings.relays, ramp, anchor.0));
        let phase = f64::from((seed >> 32) as u32) / f64::from(u32::MAX);
        let probing = Probing::new(settings.probes, settings.relays, phase);
        let invariants = RequestInvariants::new(&settings);
        let mut engine = Self {
            module: Balancer::new(settings, seed),
            records: BTreeMap::new(),
            pulses: BTreeMap::new(),
            listed: BTreeMap::new(),
            cordoned: BTreeSet::new(),
            vouching: Vouching::new(anchor.0),
            unvouched: false,
            wheel: DelayQueue::new(),
            tick,
            slow_from,
            rights,
            keys: BTreeMap::new(),
            probing,
            invariants,
            witness: None,
            judged: BTreeSet::new(),
            anchor,
            told: anchor.0,
            next_sweep: anchor.0 + SWEEP,
            leaving: None,
            handing: false,
            left: false,
            inbox: VecDeque::new(),
        };
        engine.schedule(anchor.0 + SWEEP, Due::Sweep);
        engine.schedule(anchor.0 + TOLD, Due::Unvouched);
        engine
    }

    /// Waits for the next thing due on the wheel.
    pub async fn due(&mut self) -> Due {
        poll_fn(|cx| match self.wheel.poll_expired(cx) {
            Poll::Ready(Some(expired)) => Poll::Ready(expired.into_inner()),
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        })
        .await
    }

    /// How many requests and connections are not over.
    pub fn open(&self) -> usize {
        self.records.len()
    }

    /// Whether a request or its connection is not over.
    pub fn holds(&self, id: RequestId) -> bool {
        self.records.contains_key(&id)
    }

    /// The server of the attempt or connection that is out.
    pub fn server_of(&self, id: RequestId) -> Option<ServerId> {
        self.records.get(&id)?.out.as_ref().map(|open| open.server)
    }

    /// How many connections the module counts on a server, attempts included.
    pub fn open_on(&self, server: ServerId) -> u32 {
        self.module.open_connections(server)
    }

    /// How many servers on the list get nothing new for now, by the list's word or the module's.
    pub fn avoided(&self, now: Time) -> usize {
        let avoided = |(&server, pulse): (&ServerId, &Pulse)| match pulse.state {
            ServerState::Ready => self.module.avoids(now, server),
            ServerState::Draining => true,
            ServerState::Gone => false,
        };
        self.pulses.iter().filter(|&it| avoided(it)).count()
    }

    /// News of the server list.
    pub fn list(&mut self, now: Time, news: ListNews, mut entries: Vec<Listing>, out: &mut Vec<Effect>) {
        if matches!(news, ListNews::Whole | ListNews::Stale) {
            self.listed.values_mut().for_each(|listing| listing.state = ServerState::Gone);
        }
        for entry in &mut entries {
            self.listed.insert(entry.server, entry.clone());
            *entry = self.in_use(entry);
        }
        self.apply(now, news, entries, out);
    }

    /// A call or watch has ended, and the list was last in step at `since`: any server may have been drained
    /// unheard.
    pub fn unheard(&mut self, now: Time, since: Time, end: End) {
        if let Some(until) = self.vouching.ended(now, since, end) {
            self.schedule(until.max(now), Due::Unvouched);
        }
    }

    /// Discovery has answered, and what came with the answer is on the list, which stands from now on.
    pub fn vouched(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.vouching.in_step();
        let again = std::mem::take(&mut self.unvouched);
        // The module hears of an answer with nothing new as well: its next call is soon again.
        let listed = self.listed.values().filter(|_| again);
        let entries = listed.map(|listing| self.masked(self.in_use(listing))).collect();
        self.run(now, Event::List { news: ListNews::Changes, entries }, out);
    }

    /// Whether nothing may be placed for want of a list.
    pub fn unvouched(&self) -> bool {
        self.unvouched
    }

    /// The module places nothing on a server that drains; standing connections stay, as none may have been
    /// told to go. To refuse for some seconds costs these seconds, to place on one server that was drained
    /// breaks a rule.
    fn unvouch(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.unvouched || self.vouching.holds(now) {
            return;
        }
        self.unvouched = true;
        let entries = self.listed.values().map(|listing| self.masked(self.in_use(listing))).collect();
        // No word of discovery: the waits between calls go on as they have grown.
        self.run(now, Event::List { news: ListNews::Stale, entries }, out);
    }

    /// An entry of the list as the module is to see it.
    fn in_use(&self, listing: &Listing) -> Listing {
        let out = listing.state == ServerState::Ready && self.cordoned.contains(&listing.server);
        Listing { state: if out { ServerState::Draining } else { listing.state }, ..listing.clone() }
    }

    /// Such an entry, where servers that are out by judgement, and all while nothing is vouched for, drain for
    /// the module alone.
    fn masked(&self, listing: Listing) -> Listing {
        let out = self.unvouched || self.judged.contains(&listing.server);
        let out = out && listing.state == ServerState::Ready;
        Listing { state: if out { ServerState::Draining } else { listing.state }, ..listing }
    }

    /// These servers, by key, are out by what the gateways saw together, and no others: they get nothing new, and what
    /// stands there stays.
    pub fn judge(&mut self, now: Time, keys: &BTreeSet<u32>, out: &mut Vec<Effect>) {
        if keys.is_empty() && self.judged.is_empty() {
            return;
        }
        let judged = self.listed.values().filter(|it| keys.contains(&it.key)).map(|it| it.server);
        let before = std::mem::replace(&mut self.judged, judged.collect());
        let changed: Vec<ServerId> = self.judged.symmetric_difference(&before).copied().collect();
        // What is not vouched for drains as it is, and is used again with these left out.
        if changed.is_empty() || self.unvouched {
            return;
        }
        let listings = changed.iter().filter_map(|server| self.listed.get(server));
        let entries = listings.map(|listing| self.masked(self.in_use(listing))).collect();
        self.run(now, Event::List { news: ListNews::Changes, entries }, out);
    }

    /// Notes from now on what attempts come to.
    pub fn witness(&mut self) {
        self.witness.get_or_insert_default();
    }

    /// What attempts came to lately, by the key of each server of which there is something new.
    pub fn seen(&mut self, now: Time) -> Vec<(u32, Sight)> {
        let sights = self.witness.as_mut().map(|it| it.look(now)).unwrap_or_default();
        sights
            .into_iter()
            .filter_map(|(server, sight)| Some((self.listed.get(&server)?.key, sight)))
            .collect()
    }

    /// Whether a server is ready by the list and by operators.
    pub fn ready(&self, server: ServerId) -> bool {
        self.listed.get(&server).is_some_and(|it| self.in_use(it).state == ServerState::Ready)
    }

    /// Standing connections by server, and by tenant.
    pub fn standing_by(&self) -> (BTreeMap<ServerId, u32>, BTreeMap<TenantId, u32>) {
        let (mut servers, mut tenants) = (BTreeMap::new(), BTreeMap::new());
        for record in self.records.values() {
            let Some(open) = record.out.as_ref().filter(|open| open.established) else { continue };
            *servers.entry(open.server).or_default() += 1;
            if let Some(tenant) = record.tenant {
                *tenants.entry(tenant).or_default() += 1;
            }
        }
        (servers, tenants)
    }

    /// Operators take a server out, or put it back: until then it drains, whatever the list says.
    pub fn cordon(&mut self, now: Time, server: ServerId, take_out: bool, out: &mut Vec<Effect>) {
        let changed = if take_out { self.cordoned.insert(server) } else { self.cordoned.remove(&server) };
        let Some(listing) = self.listed.get(&server).cloned().filter(|_| changed) else { return };
        // One put back while nothing is vouched for is used again with the rest.
        if listing.state != ServerState::Ready || (self.unvouched && !take_out) {
            return;
        }
        let state = if take_out { ServerState::Draining } else { ServerState::Ready };
        self.apply(now, ListNews::Changes, vec![Listing { state, ..listing }], out);
        if !take_out {
            self.run(now, Event::CalledBack { server }, out);
        }
    }

    fn apply(&mut self, now: Time, news: ListNews, entries: Vec<Listing>, out: &mut Vec<Effect>) {
        let before: BTreeMap<ServerId, ServerState> =
            self.pulses.iter().map(|(&server, pulse)| (server, pulse.state)).collect();
        if matches!(news, ListNews::Whole | ListNews::Stale) {
            self.pulses.values_mut().for_each(|pulse| pulse.state = ServerState::Gone);
            self.invariants.listed_anew(now);
        }
        for entry in &entries {
            self.invariants.listed(now, entry);
            if before.get(&entry.server) != Some(&entry.state) && entry.state == ServerState::Gone {
                self.probing.forget(entry.server);
            }
            self.pulses.entry(entry.server).or_default().state = entry.state;
        }
        if let Some(rights) = self.rights.as_mut().filter(|_| news != ListNews::Broken) {
            self.keys.extend(entries.iter().map(|entry| (entry.key, entry.server)));
            let new = self.listed.values().filter(|it| it.state == ServerState::Ready);
            rights.list(new.filter_map(|it| Some((it.key, it.started?))));
        }
        let entries = entries.into_iter().map(|entry| self.masked(entry)).collect();
        self.run(now, Event::List { news, entries }, out);
        // What is still on a server when it stops would be cut off without a word.
        for (state, over) in [(ServerState::Draining, DRAINED_OVER), (ServerState::Gone, GONE_OVER)] {
            let newly = |server: &ServerId| {
                let is = self.pulses.get(server).is_some_and(|pulse| pulse.state == state);
                is && before.get(server) != Some(&state)
            };
            let left: Vec<RequestId> =
                self.standing().filter(|(_, open)| newly(&open.server)).map(|(id, _)| id).collect();
            self.pace_moves(now, over, &left);
        }
    }

    /// A client asks for a connection.
    pub fn request(&mut self, now: Time, request: Request, out: &mut Vec<Effect>) {
        // An id in use would give one request two answers, so its second bearer gets none here.
        if self.records.contains_key(&request.id) {
            return;
        }
        if self.left {
            let answer = Answer::Refused(GONE_OVER);
            return out.push(Effect::Answer { id: request.id, answer });
        }
        self.records.insert(request.id, Record { tenant: request.tenant, ..Record::default() });
        self.invariants.requested(now, request.id, request.class, request.time_left);
        self.run(now, Event::Request(request), out);
    }

    /// A connection that stood at `server` before this process did.
    pub fn existing(&mut self, now: Time, request: Request, server: ServerId, out: &mut Vec<Effect>) {
        let connection = Out { attempt: 0, server, sent: now, timeout: None, established: true, asked: None };
        let record = Record { tenant: request.tenant, attempts: 1, out: Some(connection) };
        if self.records.contains_key(&request.id) {
            return;
        }
        self.records.insert(request.id, record);
        self.run(now, Event::Existing { request, server }, out);
    }

    /// Whether an attempt whose connection has come up may write its first byte now. This is where a send is
    /// decided for good: since it was chosen its server may have been told to drain, the list may no longer be
    /// vouched for, and a repeat's window may have ended. False where the attempt is over, here or before: its
    /// front has been told to close it.
    pub fn may_begin(&mut self, now: Time, id: RequestId, attempt: u32, out: &mut Vec<Effect>) -> bool {
        let Some(server) = self.out(id, attempt).map(|open| open.server) else { return false };
        let vouched = !self.unvouched && self.vouching.holds(now);
        let allowed = vouched && self.module.may_begin(now, id);
        if allowed && self.ready(server) {
            self.invariants.begun(now, id, attempt, server);
            return true;
        }
        out.push(Effect::Close { id, attempt });
        // Another server may take what this one may not; what none may have now is answered.
        self.end(id, attempt, if allowed { Outcome::ConnectError } else { Outcome::Ignored });
        self.drain(now, out);
        false
    }

    /// An attempt's connection stands: the client may be served with it. False where the attempt is over here:
    /// then its front has been told to close it.
    pub fn established(&mut self, now: Time, id: RequestId, attempt: u32, out: &mut Vec<Effect>) -> bool {
        let Some(open) = self.out(id, attempt) else { return false };
        if open.established {
            return true;
        }
        open.established = true;
        let (sent, timeout, server) = (open.sent, open.timeout.take(), open.server);
        self.invariants.over(id);
        self.cancel(timeout);
        self.pulses.entry(server).or_default().heard = Some(now);
        if let Some(witness) = &mut self.witness {
            witness.saw(server, None);
        }
        self.run(now, Event::Established { id, attempt, after: now.since(sent) }, out);
        if self.handing {
            self.hand(id, out);
            self.drain(now, out);
        } else if let Some(at) = self.leaving {
            self.schedule(at, Due::Move(id));
        }
        true
    }

    /// A standing connection that an older process of this gateway has passed on. What that one had begun
    /// there, as a server drains or is gone, is begun anew.
    pub fn adopt(&mut self, now: Time, request: Request, server: ServerId, out: &mut Vec<Effect>) {
        let id = request.id;
        self.existing(now, request, server, out);
        let state = self.pulses.get(&server).map_or(ServerState::Gone, |pulse| pulse.state);
        let spread = f64::from(id.0 % ADOPTED_SPREAD + 1) / f64::from(ADOPTED_SPREAD);
        let over = match state {
            ServerState::Ready => None,
            ServerState::Draining => Some(DRAINED_OVER.scale(spread)),
            ServerState::Gone => Some(GONE_OVER.scale(spread)),
        };
        let at = over.map(|over| now + over).into_iter().chain(self.leaving).min();
        if let Some(at) = at {
            self.schedule(at, Due::Move(id));
        }
    }

    /// An attempt, or the connection that came of it, has ended. Late news of an attempt that the
    /// engine has given up is no news.
    pub fn ended(&mut self, now: Time, id: RequestId, attempt: u32, outcome: Outcome, out: &mut Vec<Effect>) {
        self.end(id, attempt, outcome);
        self.drain(now, out);
    }

    /// The client has gone.
    pub fn client_left(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get(&id) else { return };
        self.invariants.over(id);
        match &record.out {
            Some(Out { established: true, attempt, .. }) => {
                let attempt = *attempt;
                self.end(id, attempt, Outcome::Cancelled);
            }
            open => {
                let attempt = open.as_ref().map(|open| open.attempt);
                self.inbox.push_back(Event::ClientLeft { id });
                self.finish(id, attempt, out);
            }
        }
        self.drain(now, out);
    }

    /// A message of the client was passed on to the server; `prompt`, where its answer is due at once.
    pub fn asked(&mut self, now: Time, id: RequestId, prompt: bool) {
        if let Some(open) = self.records.get_mut(&id).and_then(|r| r.out.as_mut()) {
            open.asked.get_or_insert((now, prompt));
        }
    }

    /// The server has sent something on the connection.
    pub fn answered(&mut self, now: Time, id: RequestId) {
        let Some(open) = self.records.get_mut(&id).and_then(|r| r.out.as_mut()) else { return };
        let pulse = self.pulses.entry(open.server).or_default();
        pulse.heard = Some(now);
        if let Some((asked, _)) = open.asked.take() {
            let took = now.since(asked);
            pulse.took = Some(pulse.took.map_or(took, |before| before.min(took)));
        }
    }

    /// What another process of this gateway holds on a server, has sent it in its turns and has granted.
    pub fn beside(&mut self, now: Time, server: ServerId, share: Share, out: &mut Vec<Effect>) {
        let Share { open, budget, spent, granted } = share;
        let (key, full) = (self.listed.get(&server).map(|it| it.key), self.module.full(now));
        if let Some((rights, key)) = self.rights.as_mut().zip(key) {
            rights.beside(now, key, granted, full);
        }
        let beside = Beside { open, allowance: budget, spent };
        self.run(now, Event::Beside { server, beside }, out);
    }

    /// What other processes of this gateway are to know of this one's on a server.
    pub fn share(&self, server: ServerId) -> Share {
        let Beside { open, allowance, spent } = self.module.beside(server);
        let rights = self.rights.as_ref().zip(self.listed.get(&server));
        let granted = rights.map_or(0, |(rights, it)| rights.spent(it.key));
        Share { open, budget: allowance, spent, granted }
    }

    /// A server has told a connection's load, in microseconds of work a second.
    pub fn load(&mut self, now: Time, id: RequestId, figure: f64, out: &mut Vec<Effect>) {
        self.run(now, Event::LoadChanged { id, load: figure / 1e6 }, out);
    }

    /// A datagram of another gateway.
    ///
    /// # Errors
    ///
    /// Says why it is not heard; nothing has changed then.
    pub fn hear(
        &mut self,
        now: Time,
        from: PeerId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) -> Result<(), Unheard> {
        let full = self.module.full(now);
        let Some(rights) = &mut self.rights else { return Err(Unheard::Foreign) };
        if let Some(step) = rights.hear(now, from, bytes, full)? {
            self.step(now, step, out);
        }
        self.drain(now, out);
        Ok(())
    }

    /// What broke an invariant of a request since the last call, and how much did since the start.
    pub fn request_violations(&mut self) -> (Vec<RequestViolation>, u64) {
        (self.invariants.take(), self.invariants.count())
    }

    /// Whether the state that is shared with other gateways is as it must be.
    ///
    /// # Errors
    ///
    /// Names what is not.
    pub fn check(&self) -> Result<(), Violation> {
        self.rights.as_ref().map_or(Ok(()), Rights::check)
    }

    fn step(&mut self, now: Time, step: Step, out: &mut Vec<Effect>) {
        match step {
            Step::Send(datagram) => out.push(Effect::Send(datagram)),
            Step::SendTwice(datagram) => out.extend([Effect::Send(datagram), Effect::Send(datagram)]),
            Step::Asked(datagram, number) => {
                out.push(Effect::Send(datagram));
                let key = datagram.key();
                self.schedule(now + PATIENCE, Due::Overdue(key, number));
            }
            Step::Answer(key, right) => {
                if let Some(&server) = self.keys.get(&key) {
                    self.inbox.push_back(Event::Right { server, right });
                }
            }
        }
    }

    /// Probes sent since the start, and those asked for and withheld.
    pub fn probes(&self) -> (usize, usize) {
        (self.probing.sent(), self.probing.withheld())
    }

    /// A probe has come back.
    pub fn probed(&mut self, now: Time, server: ServerId, ok: bool, out: &mut Vec<Effect>) {
        self.run(now, Event::Probed { server, ok, report: None }, out);
    }

    /// This process leaves, and its successor takes over what stands: every standing connection is handed
    /// on now, and what comes up later once it does.
    pub fn hand_over(&mut self, now: Time, over: Span, last: Span, out: &mut Vec<Effect>) {
        self.handing = true;
        self.leaving = Some(now + over);
        self.schedule(now + last, Due::Leave);
        let standing: Vec<RequestId> = self.standing().map(|(id, _)| id).collect();
        for id in standing {
            self.hand(id, out);
        }
        self.drain(now, out);
    }

    fn hand(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        if let Some((attempt, server)) = self.stands(id) {
            out.push(Effect::Hand { id, server });
            self.end(id, attempt, Outcome::Cancelled);
        }
    }

    /// This process leaves: every standing connection is moved, spread over the later part of `over`,
    /// those that come up later at its end; after `last` no request stays unanswered.
    pub fn leave(&mut self, now: Time, over: Span, last: Span) {
        let standing: Vec<RequestId> = self.standing().map(|(id, _)| id).collect();
        let kept = over.scale(LEAVE_FROM);
        self.pace_moves(now + kept, over.scale(1.0 - LEAVE_FROM), &standing);
        self.leaving = Some(now + over);
        self.schedule(now + last, Due::Leave);
    }

    /// Carries out what came due.
    pub fn fire(&mut self, now: Time, due: Due, out: &mut Vec<Effect>) {
        match due {
            Due::Module(token) => self.run(now, Event::Timer(token), out),
            Due::Attempt(id, attempt) => {
                if let Some(open) = self.out(id, attempt).filter(|open| !open.established) {
                    open.timeout = None;
                    out.push(Effect::Close { id, attempt });
                    self.end(id, attempt, Outcome::TimedOut);
                }
            }
            Due::Move(id) => self.send_away(id, Outcome::Cancelled, out),
            Due::Sweep => self.sweep(now, out),
            Due::Unvouched => self.unvouch(now, out),
            Due::Overdue(key, number) => {
                let step = self.rights.as_mut().and_then(|rights| rights.overdue(now, key, number));
                if let Some(step) = step {
                    self.step(now, step, out);
                }
            }
            Due::Leave => {
                self.left = true;
                let open: Vec<RequestId> = self.records.keys().copied().collect();
                for id in open {
                    self.send_away(id, Outcome::Cancelled, out);
                    // A refusal says that trying again does no harm.
                    let harmless = self.module.harmless(id);
                    let answer = if harmless { Answer::Refused(GONE_OVER) } else { Answer::Failed };
                    self.answer(now, id, answer, out);
                }
            }
        }
        self.drain(now, out);
    }

    // ---- Silence and slowness ---------------------------------------------------------------

    /// Moves connections whose server has gone silent, and tells the module of slow servers as the
    /// simulator does: once a second while they are slow, and once more when they are not.
    fn sweep(&mut self, now: Time, out: &mut Vec<Effect>) {
        // After a stall of this process answers may lie in sockets unread: judge nobody for them.
        let late = now.since(self.next_sweep) >= SWEEP;
        self.next_sweep = now + SWEEP;
        self.schedule(now + SWEEP, Due::Sweep);
        let mut waits: BTreeMap<ServerId, Waits> = BTreeMap::new();
        let mut silent = Vec::new();
        for (id, open) in self.standing() {
            let Some((asked, prompt)) = open.asked else { continue };
            let waited = now.since(asked);
            let here = waits.entry(open.server).or_default();
            here.longest = waited.max(here.longest);
            if prompt {
                here.prompt += u32::from(waited >= HUSHED);
                here.since = Some(here.since.map_or(asked, |since| since.min(asked)));
            }
            if waited >= SILENT {
                silent.push(id);
            }
        }
        for (&server, pulse) in &mut self.pulses {
            let due = pulse.noted.is_none_or(|at| now.since(at) >= NOTE_EVERY);
            if !due || self.slow_from == Span::ZERO {
                continue;
            }
            // A message still out says more than the last that came back.
            let waited = waits.get(&server).map_or(Span::ZERO, |here| here.longest);
            let Some(takes) = pulse.took.take().or((waited > Span::ZERO).then_some(waited)) else {
                continue;
            };
            let takes = takes.max(if waited >= NOTE_EVERY { waited } else { Span::ZERO });
            let slow = takes >= self.slow_from;
            if slow || pulse.slow {
                (pulse.noted, pulse.slow) = (Some(now), slow);
                self.inbox.push_back(Event::SlowMessages { server, takes });
            }
        }
        for (&server, here) in &waits {
            let Some(since) = here.since.filter(|_| !late) else { continue };
            let enough = here.prompt >= HUSHED_WAITING || now.since(since) >= HUSHED + HUSHED;
            let hushed = self.pulses.get(&server).is_none_or(|p| p.heard.is_none_or(|heard| heard <= since));
            if here.prompt > 0 && enough && hushed {
                self.inbox.push_back(Event::Silent { server });
                if let Some(witness) = &mut self.witness {
                    witness.saw(server, Some(Kind::Silent));
                }
            }
        }
        // That they are silent is told above, where it is the server that is.
        let witness = self.witness.take();
        for id in silent {
            self.send_away(id, Outcome::Reset, out);
        }
        self.witness = witness;
    }

    fn standing(&self) -> impl Iterator<Item = (RequestId, &Out)> {
        self.records.iter().filter_map(|(&id, record)| {
            record.out.as_ref().filter(|open| open.established).map(|open| (id, open))
        })
    }

    /// The attempt that a standing connection came of, and its server.
    fn stands(&self, id: RequestId) -> Option<(u32, ServerId)> {
        let open = self.records.get(&id)?.out.as_ref().filter(|open| open.established)?;
        Some((open.attempt, open.server))
    }

    /// Moves these one after the other, over this time from then on.
    fn pace_moves(&mut self, from: Time, over: Span, ids: &[RequestId]) {
        for (at, &id) in ids.iter().enumerate() {
            let wait = over.scale((at + 1) as f64 / ids.len() as f64);
            self.schedule(from + wait, Due::Move(id));
        }
    }

    fn send_away(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Effect>) {
        if let Some((attempt, _)) = self.stands(id) {
            out.push(Effect::Move { id });
            self.end(id, attempt, outcome);
        }
    }

    // ---- The module ---------------------------------------------------------------------------

    fn run(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        self.inbox.push_back(event);
        self.drain(now, out);
    }

    fn drain(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.told = self.told.max(now);
        let mut actions = Vec::new();
        while let Some(event) = self.inbox.pop_front() {
            self.module.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
        }
    }

    fn act(&mut self, now: Time, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::Attempt { id, server, timeout } => {
                let Some(record) = self.records.get_mut(&id) else { return };
                let attempt = record.attempts;
                record.attempts += 1;
                // Never two attempts out, whatever was asked for.
                if record.out.is_some() {
                    let outcome = Outcome::Ignored;
                    return self.inbox.push_back(Event::Ended { id, attempt, outcome, request_over: false });
                }
                let timeout = timeout.max(Span::ZERO);
                let key = self.schedule(now + timeout, Due::Attempt(id, attempt));
                let open =
                    Out { attempt, server, sent: now, timeout: Some(key), established: false, asked: None };
                self.records.entry(id).or_default().out = Some(open);
                out.push(Effect::Attempt { id, attempt, server, timeout });
            }
            Action::Refuse { id, retry_after } => self.answer(now, id, Answer::Refused(retry_after), out),
            Action::Fail { id } => self.answer(now, id, Answer::Failed, out),
            Action::Recall { id, attempt } => {
                if self.out(id, attempt).is_some_and(|open| !open.established) {
                    out.push(Effect::Close { id, attempt });
                    self.end(id, attempt, Outcome::Cancelled);
                }
            }
            Action::Move { id } => self.send_away(id, Outcome::Cancelled, out),
            Action::SetTimer { token, at } => _ = self.schedule(at, Due::Module(token)),
            Action::Probe { server } => {
                if self.probing.may(now, server) {
                    out.push(Effect::Probe { server });
                }
            }
            Action::Subscribe => out.push(Effect::Subscribe),
            Action::Ask { server } => self.ask(now, server, out),
        }
    }

    fn ask(&mut self, now: Time, server: ServerId, out: &mut Vec<Effect>) {
        let full = self.module.full(now);
        let key = self.listed.get(&server).map(|listing| listing.key);
        match (key, &mut self.rights) {
            (Some(key), Some(rights)) => {
                let step = rights.ask(now, key, full);
                self.step(now, step, out);
            }
            // The module always hears of an ask.
            _ => self.inbox.push_back(Event::Right { server, right: Right::Unheard }),
        }
    }

    /// Gives the final answer, once: a request that is over or served is on no record without a
    /// standing connection, and gets none.
    fn answer(&mut self, now: Time, id: RequestId, answer: Answer, out: &mut Vec<Effect>) {
        let Some(record) = self.records.get(&id) else { return };
        let attempt = record.out.as_ref().map(|open| (open.attempt, open.established));
        if attempt.is_some_and(|(_, established)| established) {
            return;
        }
        self.finish(id, attempt.map(|(attempt, _)| attempt), out);
        self.invariants.answered(now, id, matches!(answer, Answer::Refused(_)));
        out.push(Effect::Answer { id, answer });
    }

    /// Takes an unserved request off the record, with the attempt that may be out.
    fn finish(&mut self, id: RequestId, attempt: Option<u32>, out: &mut Vec<Effect>) {
        if let Some(attempt) = attempt {
            out.push(Effect::Close { id, attempt });
            self.end(id, attempt, Outcome::Cancelled);
            // The request is over, so the module must not try it again on hearing of the end.
            if let Some(Event::Ended { request_over, .. }) = self.inbox.back_mut() {
                *request_over = true;
            }
        }
        self.records.remove(&id);
    }

    /// Takes an attempt off the record and queues the module's word of it.
    fn end(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let Some(record) = self.records.get_mut(&id) else { return };
        let Some(open) = record.out.take_if(|open| open.attempt == attempt) else { return };
        self.invariants.ended(id, attempt, outcome);
        if let Some(witness) = &mut self.witness {
            witness.ended(open.server, open.established, outcome);
        }
        let request_over = open.established || outcome == Outcome::Ok;
        if request_over {
            self.records.remove(&id);
        }
        self.cancel(open.timeout);
        self.inbox.push_back(Event::Ended { id, attempt, outcome, request_over });
    }

    fn out(&mut self, id: RequestId, attempt: u32) -> Option<&mut Out> {
        self.records.get_mut(&id)?.out.as_mut().filter(|open| open.attempt == attempt)
    }

    // ---- The wheel ----------------------------------------------------------------------------

    /// Puts a thing on the wheel, at the first tick at or past its time.
    fn schedule(&mut self, at: Time, due: Due) -> Key {
        let wait = at.min(self.told + LONGEST).since(self.anchor.0);
        let tick = self.tick.as_micros();
        let ticks = (wait.as_micros() + tick - 1) / tick;
        let wait = std::time::Duration::from_micros((ticks * tick).unsigned_abs());
        self.wheel.insert_at(due, self.anchor.1 + wait)
    }

    fn cancel(&mut self, key: Option<Key>) {
        if let Some(key) = key {
            self.wheel.try_remove(&key);
        }
    }
}
