//! All decisions of ashtide. The types, events and actions are in `interface.rs`.
//! Read it as a connection travels: list, draw and compare, attempt, outcome, final answer; then cold starts,
//! health and timers. The ordinary path is two ready servers drawn at random, the one with fewer of this
//! relay's own open connections wins, and placed connections stay put (Luczak and McDiarmid).

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::interface::*;
use crate::{discovery::WAIT, ramp::Holder, ramp::Schedule};

/// Draws in search of a fit server before the whole list is walked.
const QUICK_DRAWS: u32 = 6;
/// How often new servers are looked for between list changes, as a part of the warm-up time.
const RECOUNT: f64 = 0.25;
/// How often this relay's connections are counted, as a part of the time between notes.
const RECKON: f64 = 0.1;
/// How many times the burden of the other draw a server may carry and still keep its group.
const GROUP_KEEP: f64 = 2.0;
/// For this long a relay that nobody answers goes by its own turns.
const ALONE_FOR: Span = Span::from_micros(1_000_000);
/// Part of the tenants' shares that servers hold at least: a fleet in use by half.
const SHARES_HELD: f64 = 0.5;
/// What a recovering server is not sent now may be sent later, up to this part of `overload_for`.
const BURST: f64 = 0.25;
/// Multiple of the warm-up time in which a new server is paced; else all relays would turn to it just after.
const PACED_FOR: f64 = 2.0;
/// A server of another zone counts as this much fuller: a crossing costs little beside a full server.
const FAR: f64 = 1.25;
/// Rungs of the ladder on which fit servers stand, and the one of those set aside; see `rung`.
const LADDER: u8 = 4;
const SET_ASIDE: u8 = 3;
/// First-attempt time-out, as a part of the time left. Half leaves as much for a second server.
const FIRST_TRY: f64 = 0.5;
/// Set-ups out at once grow by one for each window of quick ones, and shrink to this part with each other.
const WINDOW_SHRINKS: f64 = 0.9;
/// Set-ups out at once to begin with: ample, until the first sign of congestion.
const WINDOW_FIRST: f64 = 64.0;
/// First wait before another attempt after an error, as a part of the class's aim; doubles each time.
const AGAIN_AFTER: f64 = 0.2;
/// A set-up is quick within this part of the class's aim.
const QUICK: f64 = 0.5;
/// Set-up is slow everywhere once the window has shrunk to this part.
const CONGESTED: f64 = 0.5;
/// Failures in a row, of any kind that may be the server's, that set a server aside.
const FAILS_TO_SET_ASIDE: u32 = 2;
/// First wait after setting a server aside, as a part of the warm-up time; doubles up to all of it.
const ASIDE_FIRST: f64 = 0.1;
/// Part of the time left for which a request may be held when no server is fit.
const HOLD: f64 = 0.5;
/// How often held requests are looked at again, as a part of the shortest aim.
const HELD_AGAIN: f64 = 0.1;
/// First subscription after a start: spread over this part of `ask_within`, as all relays restart at once.
const SUBSCRIBE_SPREAD: f64 = 0.1;

/// A server is hot when a message there takes this part of the shortest message aim; told from a third on.
const HOT_MESSAGES: f64 = 0.34;
/// A server is swamped when a message takes this multiple of it: one more connection would earn nothing.
const SWAMPED: f64 = 0.67;
/// How often a hot server's state is told anew.
const NOTE_EVERY: Span = Span::from_micros(1_000_000);
/// Notes that must fail to come before a hot server is drawn again; one more, by chance.
const HOT_NOTES: f64 = 1.5;
/// Part of a relay's connections to a swamped server that each note moves off it.
const MOVE_PART: f64 = 0.1;
/// Connections that a server must drop within [`DROPS_WITHIN`] to count as shedding.
const SHEDDING: f64 = 3.0;
const DROPS_WITHIN: Span = Span::from_micros(2_000_000);
/// First time for which a server that sheds is hot, as a part of the warm-up time; doubles with each...
const SHED_FIRST: f64 = 0.1;
/// ...up to this part, and begins anew when it has not for the warm-up time.
const SHED_LONGEST: f64 = 0.5;
/// A server that sheds bears this part of what it held when it began to...
const BEARS: f64 = 0.75;
/// ...and as much again after this time.
const BEARS_AGAIN: Span = Span::from_micros(40_000_000);
/// After it was swamped, a server is paced for the warm-up time at this part of the pace of its moves.
const RETURN_PART: f64 = 0.5;

/// Timers, beside the deadlines of requests.
const HELD: TimerToken = TimerToken(0);
const SUBSCRIBE: TimerToken = TimerToken(1);
const FIRST_DEADLINE: u64 = 2;

/// A server as this relay knows it.
#[derive(Default)]
struct Server {
    listing: Listing,
    /// This relay's own open connections to it, attempts included: what the draw compares.
    open: u32,
    /// What another process of this relay holds there, once it has told.
    beside: Option<u32>,
    /// When this relay takes it to have started, if it may still be cold.
    born: Option<Time>,
    /// What this relay may still send it while it recovers, as of when; the last turn it has spent there.
    allowance: f64,
    reckoned: Time,
    spent: u64,
    /// Until when a right to send it one connection is in hand, and whether one has been asked for.
    right: Option<Time>,
    asked: bool,
    /// No right is asked for before this, and until this nobody answered; whether it lacks its part of all.
    barred: Time,
    alone: Time,
    lacks: bool,
    /// Failures in a row, and until when it is set aside for that.
    fails: u32,
    aside_until: Option<Time>,
    /// Until when it counts as hot: its messages take long.
    hot_until: Option<Time>,
    /// Whether they take longer than clients want to wait, and when they last did.
    swamped: bool,
    swamped_at: Option<Time>,
    /// Connections dropped lately, as of when; how often it shed in a row, and until when it is hot for it.
    drops: f64,
    dropped: Time,
    sheds: u32,
    shed_until: Option<Time>,
    /// How many connections it held when it began to drop them, and how many it bears since then.
    peak: u32,
    bears: Option<(f64, Time)>,
    /// It has been called back, and gets the next request.
    owed: bool,
    /// It went silent, and has not answered a message since: it gets one connection to show itself.
    suspect: bool,
}

/// An attempt or a connection that is out and not yet ended.
struct Attempt {
    server: ServerId,
    established: bool,
}

/// A request from its arrival until its answer is given and its last attempt has ended.
#[derive(Default)]
struct Pending {
    class: ClassId,
    arrived: Time,
    deadline: Time,
    /// The final answer has been given, or is owed no more.
    over: bool,
    attempts: u32,
    out: Option<Attempt>,
    tried: Vec<ServerId>,
    /// The first attempt that may have run: where and when it was sent.
    may_have_run: Option<(ServerId, Time)>,
    sent: Time,
    /// Its load where told: expected at first, then as it changes.
    load: Option<f64>,
    group: Option<GroupId>,
    /// No further attempt before this.
    not_before: Time,
    /// It waits for a right to this server.
    awaits: Option<ServerId>,
}

/// The decisions of one relay.
pub struct Balancer {
    settings: Settings,
    rng: ChaCha8Rng,
    /// What is to be done about the event at hand.
    actions: Vec<Action>,
    servers: Vec<Option<Server>>,
    /// Servers listed as ready, in the order of their ids.
    ready: Vec<ServerId>,
    requests: BTreeMap<RequestId, Pending>,
    /// Requests for which no server was fit, oldest first.
    held: Vec<RequestId>,
    held_timer: bool,
    /// Attempts out that are not yet established, and how many there may be.
    setting_up: u32,
    window: f64,
    /// Own open connections that a server usually holds, and when that was reckoned.
    usual: f64,
    reckoned: Option<Time>,
    /// How many of this relay's connections fill a server, by the shares; the most servers ready at once.
    fills: f64,
    most: usize,
    /// The ready servers that are new, and when that was looked at.
    new: Vec<ServerId>,
    recounted: Time,
    /// How many connections of a group this relay holds on a server.
    groups: BTreeMap<(GroupId, ServerId), u32>,
    list_fails: u32,
    began: Option<Time>,
}

impl Balancer {
    /// The module of a relay that has just started; `seed` feeds all its random draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            actions: Vec::new(),
            servers: Vec::new(),
            ready: Vec::new(),
            requests: BTreeMap::new(),
            held: Vec::new(),
            held_timer: false,
            setting_up: 0,
            window: WINDOW_FIRST,
            usual: 0.0,
            fills: 0.0,
            most: 0,
            reckoned: None,
            new: Vec::new(),
            recounted: Time::default(),
            groups: BTreeMap::new(),
            list_fails: 0,
            began: None,
        }
    }

    /// Takes in one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if self.began.replace(self.began.unwrap_or(now)).is_none() {
            self.first_subscription(now);
        }
        match event {
            Event::List { news, entries } => self.on_list(now, news, entries),
            Event::Request(request) => self.on_request(now, request),
            Event::Existing { request, server } => self.on_existing(now, request, server),
            Event::Established { id, attempt, after } => self.on_established(now, id, attempt, after),
            Event::Ended { id, attempt, outcome, request_over } => {
                self.on_ended(now, id, attempt, outcome, request_over)
            }
            Event::ClientLeft { id } => self.finish(id),
            Event::Timer(token) => self.on_timer(now, token),
            // What is told of a server that no list has named says nothing.
            _ if event.server().is_some_and(|server| !self.known(server)) => {}
            Event::SlowMessages { server, takes } => self.on_slow_messages(now, server, takes),
            Event::Silent { server } => self.on_silent(now, server),
            Event::LoadChanged { id, load } => self.on_load(id, load),
            Event::CalledBack { server } => self.on_called_back(now, server),
            Event::Beside { server, beside } => self.on_beside(now, server, beside),
            Event::Right { server, right } => self.on_right(now, server, right),
            Event::Probed { .. } => {}
        }
        actions.append(&mut self.actions);
    }

    /// How many connections of this relay the module counts on a server, attempts included.
    pub fn open_connections(&self, server: ServerId) -> u32 {
        if self.known(server) { self.server(server).open } else { 0 }
    }

    /// About how many connections of all relays fill a server.
    pub fn full(&mut self, now: Time) -> f64 {
        self.reckon_usual(now);
        self.fills * f64::from(self.settings.relays)
    }

    /// What another process of this relay is to know of its own on a server.
    pub fn beside(&self, server: ServerId) -> Beside {
        let of = |it: &Server| Beside { open: it.open, allowance: it.allowance, spent: it.spent };
        if self.known(server) { of(self.server(server)) } else { Beside::default() }
    }

    /// Whether a ready server gets nothing while others are fit.
    pub fn avoids(&self, now: Time, server: ServerId) -> bool {
        self.known(server) && self.rung(now, &Pending::default(), self.server(server)) > 0
    }

    /// Whether the attempt that is out may begin now: a repeat's window may have ended since it was chosen.
    pub fn may_begin(&self, now: Time, id: RequestId) -> bool {
        let allowed = |r: &Pending| r.out.as_ref().is_some_and(|out| self.may_get(now, r, out.server));
        self.requests.get(&id).is_some_and(allowed)
    }

    // ---- The list -------------------------------------------------------------------------

    fn on_list(&mut self, now: Time, news: ListNews, entries: Vec<Listing>) {
        match news {
            ListNews::Broken => return self.on_broken_list(now),
            ListNews::Whole | ListNews::Stale => {
                // What a complete list lacks has been removed.
                for server in self.servers.iter_mut().flatten() {
                    server.listing.state = ServerState::Gone;
                }
            }
            ListNews::Changes => {}
        }
        if news != ListNews::Stale {
            self.list_fails = 0;
        }
        for entry in entries {
            self.on_listing(now, entry);
        }
        self.recount(now);
        self.try_held(now);
    }

    fn recount(&mut self, now: Time) {
        let listed = self.servers.iter().flatten();
        let ready = listed.filter(|s| s.listing.state == ServerState::Ready);
        self.ready = ready.map(|s| s.listing.server).collect();
        self.new = self.ready.iter().copied().filter(|&s| self.is_new(now, s)).collect();
        self.recounted = now;
    }

    fn on_listing(&mut self, now: Time, entry: Listing) {
        let index = entry.server.0 as usize;
        self.servers.resize_with(self.servers.len().max(index + 1), || None);
        let known = self.servers[index].as_ref().map(|s| s.listing.started);
        let fresh = known != Some(entry.started) && entry.started.is_some();
        let server = self.servers[index].get_or_insert_default();
        let size = Some(entry.size).filter(|size| size.is_finite() && *size > 0.0).unwrap_or(1.0);
        server.listing = Listing { size, ..entry };
        if fresh {
            server.begin_anew(now, server.listing.started);
        }
    }

    /// All relays restart together and the list service has one fixed capacity: spread the calls.
    fn first_subscription(&mut self, now: Time) {
        if self.settings.discovery == Discovery::OnRequest {
            let wait = self.settings.ask_within.scale(SUBSCRIBE_SPREAD * self.rng.random::<f64>());
            self.actions.push(Action::SetTimer { token: SUBSCRIBE, at: now + wait });
        }
    }

    /// A call failed or the subscription broke: call again, with growing, jittered waits, so that it can be
    /// answered before the rules count the list as told. A pushed one counts at once; its agent has no price.
    fn on_broken_list(&mut self, now: Time) {
        let pushed = self.settings.discovery == Discovery::Pushed;
        let longest = if pushed { self.settings.drain_grace } else { self.settings.ask_within }.scale(0.5);
        let wait = longest.scale((0.1 * f64::from(1 << self.list_fails.min(6))).min(1.0)).min(WAIT);
        let at = now + wait.scale(0.5 + 0.5 * self.rng.random::<f64>());
        self.list_fails += 1;
        self.actions.push(Action::SetTimer { token: SUBSCRIBE, at });
    }

    /// The list may not tell of a restart: it is cold, earlier turns are lost, the next request goes there.
    fn on_called_back(&mut self, now: Time, id: ServerId) {
        let born = self.server(id).born.filter(|_| self.is_new(now, id)).unwrap_or(now);
        let come = Schedule::own(&self.settings).come(now.since(born), self.full(now)) as u64;
        let server = self.server_mut(id);
        server.begin_anew(now, Some(born));
        (server.owed, server.spent) = (true, come);
        self.recount(now);
        self.try_held(now);
    }

    /// Two processes of one relay count as one: what the other may send, or has in a turn, is not sent twice.
    fn on_beside(&mut self, now: Time, id: ServerId, it: Beside) {
        let (schedule, full, server) = (Schedule::own(&self.settings), self.full(now), self.server_mut(id));
        let most = server.beside.map_or(it.allowance, |_| server.allowance);
        (server.allowance, server.beside) = (server.allowance.min(most), Some(it.open));
        server.spent = server.spent.max(schedule.told(now, server.born, full, it.spent));
    }

    fn on_request(&mut self, now: Time, request: Request) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        let pending = Pending::new(now, &request);
        self.requests.insert(id, pending);
        let at = now + request.time_left + self.settings.answer_slack.scale(0.5);
        self.actions.push(Action::SetTimer { token: TimerToken(FIRST_DEADLINE + u64::from(id.0)), at });
        if request.time_left <= Span::ZERO {
            return self.answer_unserved(id);
        }
        _ = self.place(now, id);
    }

    /// Connections open at start are counted on the server they are told with.
    fn on_existing(&mut self, now: Time, request: Request, server: ServerId) {
        let mut pending = Pending::new(now, &request);
        (pending.over, pending.attempts) = (true, 1);
        pending.out = Some(Attempt { server, established: true });
        let group = pending.group;
        if self.known(server) && self.requests.insert(request.id, pending).is_none() {
            self.count(server, group, 1);
        }
    }

    /// Places the request, or holds it while no server is fit or its turn has not come; says whether others
    /// may still be placed now. A store that all set-ups share fails more of them the more it is asked: each
    /// relay keeps a window of set-ups out, which widens while they are quick and narrows as they fail.
    fn place(&mut self, now: Time, id: RequestId) -> bool {
        let free = f64::from(self.setting_up) < self.window;
        let due = now >= self.requests[&id].not_before;
        let (mut choice, mut bound) = (None, false);
        if free && due {
            // Taken out once: looking it up for each of many draws took two fifths of all instructions.
            let request = self.requests.get_mut(&id).map(std::mem::take).unwrap_or_default();
            choice = self.choose(now, &request);
            bound = request.may_have_run.is_some();
            self.requests.insert(id, request);
        }
        match choice {
            Some(server) if self.by_right(now, server) && self.server(server).right.is_none() => {
                self.server_mut(server).asked = true;
                self.requests.get_mut(&id).expect("a request being placed is known").awaits = Some(server);
                self.actions.push(Action::Ask { server });
            }
            Some(server) => self.attempt(now, id, server),
            None => self.hold(now, id),
        }
        // What no server may take for its own sake says nothing of the others.
        choice.is_some() || (free && (!due || bound))
    }

    /// The ordinary path: of two fit servers drawn at random with replacement, the one with fewest of this
    /// relay's own open connections; the first drawn wins a tie. A new server goes first while it has an
    /// allowance left: most own counts are zero, and nothing else tells it from the old ones, which are
    /// overrun. No draw keeps to the own zone: its one server would get two thirds of all that comes.
    fn choose(&mut self, now: Time, request: &Pending) -> Option<ServerId> {
        self.reckon_usual(now);
        let owed = |s: &Server| s.owed && !s.asked && now >= s.barred;
        let owes = |id: &&ServerId| owed(self.server(**id)) && self.may_get(now, request, **id);
        if let Some(&owed) = self.new.iter().find(owes) {
            return Some(owed);
        }
        let home = self.home(now, request);
        let new = self.draw(now, request, true, 0);
        if home.is_none() && new.is_some_and(|id| self.lacks(now, id)) {
            return new;
        }
        let first = home.or_else(|| self.draw(now, request, false, 0));
        let second = new.or_else(|| self.draw(now, request, false, QUICK_DRAWS));
        let (first, second) = match (first, second) {
            (Some(first), Some(second)) => (first, second),
            (first, _) => {
                let fit = self.fit(now, request);
                let mut any = || fit.choose(&mut self.rng).copied();
                (first.or_else(&mut any)?, any()?)
            }
        };
        let named = request.group.is_some() && self.fills < 2.0;
        let keep = if home.is_some() || named { GROUP_KEEP } else { 1.0 };
        Some(if keep * self.burden(second) < self.burden(first) { second } else { first })
    }

    /// Draws among the ready servers, or the new ones of them, until one is on the lowest rung; the list is
    /// walked only if a few draws find none. Where a full server holds a connection or two of each relay,
    /// what a group draws follows from its name: drawn anew by each relay, it would spread over all servers.
    fn draw(&mut self, now: Time, request: &Pending, new: bool, from: u32) -> Option<ServerId> {
        for round in from..from + QUICK_DRAWS {
            let pool = if new { &self.new } else { &self.ready };
            let key = |id: &&ServerId| self.server(**id).listing.key;
            let server = *match request.group.filter(|_| self.fills < 2.0) {
                Some(group) => pool.iter().max_by_key(|id| group.lot(key(id), round)),
                None => pool.choose(&mut self.rng),
            }?;
            if self.rung(now, request, self.server(server)) == 0
                && (!new || self.is_new(now, server))
                && self.may_get(now, request, server)
                && self.allows(now, server)
            {
                return Some(server);
            }
        }
        None
    }

    /// Each server that holds some of a group pays for the group: a fit one that holds most of this relay's
    /// connections of it takes the place of the first draw.
    fn home(&mut self, now: Time, request: &Pending) -> Option<ServerId> {
        let group = request.group?;
        let homes = self.groups.range((group, ServerId(0))..=(group, ServerId(u32::MAX)));
        let homes = homes.map(|(&(_, server), &held)| (held, std::cmp::Reverse(server)));
        let fit = |s: ServerId| self.rung(now, request, self.server(s)) == 0 && self.may_get(now, request, s);
        let ready = |s: ServerId| self.server(s).listing.state == ServerState::Ready;
        let home = homes.filter(|&(_, at)| ready(at.0) && fit(at.0)).max()?.1.0;
        self.allows(now, home).then_some(home)
    }

    /// What the draw compares: own open connections, and one more, against the listed size. A live size also
    /// carries, seconds late, what all relays hold there, which decides where most own counts are alike.
    fn burden(&self, id: ServerId) -> f64 {
        let server = self.server(id);
        let priced = self.settings.prices.cross_zone > 0.0 && server.listing.zone != self.settings.zone;
        f64::from(server.held() + 1) / server.listing.size * if priced { FAR } else { 1.0 }
    }

    /// The servers fit for this request, on the first rung that has any: when all are hot, all serve again.
    /// Those set aside come last, unless another's allowance is only spent: the request is held for that one.
    /// A swamped server is on no rung: it is held, and refused in the end, so that those placed are served.
    fn fit(&mut self, now: Time, request: &Pending) -> Vec<ServerId> {
        let (mut lowest, mut fit) = (LADDER, Vec::new());
        for at in 0..self.ready.len() {
            let server = self.ready[at];
            let rung = self.rung(now, request, self.server(server));
            if rung <= lowest && rung < LADDER && self.may_get(now, request, server) {
                let allowed = self.allows(now, server);
                let reach = if allowed { rung } else { rung.max(SET_ASIDE - 1) };
                if reach < lowest {
                    (lowest, fit) = (reach, Vec::new());
                }
                fit.extend(allowed.then_some(server));
            }
        }
        fit
    }

    fn rung(&self, now: Time, request: &Pending, server: &Server) -> u8 {
        let on_trial = server.suspect && server.open > 0;
        let set_aside = on_trial || server.aside_until.is_some_and(|until| now < until);
        let hot = server.hot_until.is_some_and(|until| now < until);
        let sheds = server.shed_until.is_some_and(|until| now < until) || server.laden(now);
        match () {
            () if hot && server.swamped => LADDER,
            () if set_aside => SET_ASIDE,
            () if request.tried.contains(&server.listing.server) => 2,
            () => u8::from(hot || sheds),
        }
    }

    /// Rule 2: once a keyed request may have run, only its group may see it again, and only while
    /// the group remembers it; an unsafe one goes nowhere.
    fn may_get(&self, now: Time, request: &Pending, server: ServerId) -> bool {
        let Some((first, sent)) = request.may_have_run else {
            return true;
        };
        let (first, server) = (&self.server(first).listing, &self.server(server).listing);
        match self.class(request.class).effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { group, window } => {
                now.since(sent) < window
                    && match group {
                        KeyedGroup::All => true,
                        KeyedGroup::Zone => first.zone == server.zone,
                        KeyedGroup::Cell => first.cell == server.cell,
                    }
            }
        }
    }

    fn attempt(&mut self, now: Time, id: RequestId, server: ServerId) {
        let (timeout, turn) = (self.timeout(now, id), self.turn(now, server));
        let at = self.server_mut(server);
        (at.owed, at.right, at.spent) = (false, None, turn.unwrap_or(at.spent));
        at.allowance = (at.allowance - 1.0).max(0.0);
        self.count(server, self.requests[&id].group, 1);
        self.setting_up += 1;
        let request = self.requests.get_mut(&id).expect("a request being placed is known");
        (request.attempts, request.sent) = (request.attempts + 1, now);
        request.tried.push(server);
        request.out = Some(Attempt { server, established: false });
        self.actions.push(Action::Attempt { id, server, timeout });
    }

    /// Leaves room for a second server, except on the last attempt and while set-up is slow
    /// everywhere: that is the shared store's doing, and a repeat would only ask it once more.
    fn timeout(&self, now: Time, id: RequestId) -> Span {
        let request = &self.requests[&id];
        let left = request.deadline.since(now);
        let class = self.class(request.class);
        let last = request.attempts + 1 >= self.settings.max_attempts;
        if last || self.window < WINDOW_FIRST * CONGESTED || class.effect == Effect::Unsafe {
            return left;
        }
        class.aim.max(left.scale(FIRST_TRY)).min(left)
    }

    fn on_established(&mut self, now: Time, id: RequestId, attempt: u32, after: Span) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let latest = request.attempts == attempt + 1;
        let Some(out) = request.out.as_mut().filter(|_| latest) else { return };
        out.established = true;
        let server = out.server;
        request.over = true;
        let aim = self.settings.classes[request.class.0 as usize].aim;
        self.on_set_up(now, server, after < aim.scale(QUICK));
        self.server_did_well(server);
        self.try_held(now);
    }

    fn on_load(&mut self, id: RequestId, load: f64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.load = Some(load).filter(|load| load.is_finite() && *load > 0.0).or(request.load);
        }
    }

    /// A set-up has left the window, quick or not. At a server that stands out it says nothing of others.
    fn on_set_up(&mut self, now: Time, server: ServerId, quick: bool) {
        self.setting_up = self.setting_up.saturating_sub(1);
        if quick || self.avoids(now, server) {
            self.window = (self.window + 1.0 / self.window).min(WINDOW_FIRST);
        } else {
            self.window = (self.window * WINDOW_SHRINKS).max(1.0);
        }
    }

    fn on_ended(&mut self, now: Time, id: RequestId, attempt: u32, outcome: Outcome, request_over: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.attempts != attempt + 1 {
            return;
        }
        let Some(out) = request.out.take() else { return };
        if !outcome.never_ran() && request.may_have_run.is_none() {
            request.may_have_run = Some((out.server, request.sent));
        }
        let group = request.group;
        let over = request.over || request_over;
        if !out.established {
            match outcome {
                Outcome::Failed | Outcome::TimedOut => self.on_set_up(now, out.server, false),
                _ => self.setting_up = self.setting_up.saturating_sub(1),
            }
        }
        if over {
            self.requests.remove(&id);
        }
        self.count(out.server, group, -1);
        self.judge(now, out.server, outcome, out.established);
        if !over {
            self.again(now, id, outcome);
        }
        self.try_held(now);
    }

    /// After a failed attempt: another server if the rules and the time allow it, else the answer.
    fn again(&mut self, now: Time, id: RequestId, outcome: Outcome) {
        let request = &self.requests[&id];
        let spent = request.attempts >= self.settings.max_attempts || outcome == Outcome::Ignored;
        let barred = request.may_have_run.is_some() && self.class(request.class).effect == Effect::Unsafe;
        if spent || barred || now >= request.deadline {
            return self.answer_unserved(id);
        }
        if outcome != Outcome::ConnectError {
            // An error or a full queue may be everybody's: do not hurry from one to the next.
            let wait = self.class(request.class).aim.scale(AGAIN_AFTER);
            let wait = wait.scale(f64::from(1 << (request.attempts - 1).min(6)));
            let not_before = now + wait.scale(0.5 + self.rng.random::<f64>());
            self.requests.get_mut(&id).expect("just seen").not_before = not_before;
        }
        _ = self.place(now, id);
    }

    // ---- Held requests and the final answer -----------------------------------------------

    fn hold(&mut self, now: Time, id: RequestId) {
        self.held.push(id);
        if !self.held_timer {
            self.held_timer = true;
            let aims = self.settings.classes.iter().map(|c| c.aim).min().unwrap_or_default();
            let wait = aims.scale(HELD_AGAIN).max(self.settings.tick);
            self.actions.push(Action::SetTimer { token: HELD, at: now + wait });
        }
    }

    /// Tries held requests again; those held for long are refused while the client still has time
    /// to go elsewhere.
    fn try_held(&mut self, now: Time) {
        // Once one finds no server, the others find none either: many are held on the worst days.
        let mut room = true;
        for id in std::mem::take(&mut self.held) {
            let Some(request) = self.requests.get(&id).filter(|r| !r.over && r.out.is_none()) else {
                continue;
            };
            let whole = request.deadline.since(request.arrived);
            if now >= request.arrived + whole.scale(HOLD) {
                self.answer_unserved(id);
            } else if room {
                room = self.place(now, id);
            } else {
                self.hold(now, id);
            }
        }
    }

    /// The final answer of a request that was not served: a refusal where trying again does no
    /// harm, else a failure, which promises nothing.
    fn answer_unserved(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.over) else { return };
        if self.harmless(id) && request.out.is_none() {
            let most = self.settings.max_retry_after;
            self.actions.push(Action::Refuse { id, retry_after: most.scale(self.rng.random()) });
        } else {
            self.actions.push(Action::Fail { id });
        }
        self.finish(id);
    }

    /// Whether a refusal would be true: trying again does no harm, whatever has run.
    pub fn harmless(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(|r| match self.class(r.class).effect {
            Effect::Safe | Effect::Keyed { group: KeyedGroup::All, .. } => true,
            Effect::Keyed { .. } | Effect::Unsafe => r.may_have_run.is_none() && r.out.is_none(),
        })
    }

    /// The request is over; its record stays while an attempt is out, as that is still counted.
    fn finish(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.over = true;
            if request.out.is_none() {
                self.requests.remove(&id);
            }
        }
    }

    /// Rule 1: a request that is still open just past its deadline is called off and answered now.
    fn on_deadline(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.over) else { return };
        if request.out.is_some() && self.settings.recalls {
            self.actions.push(Action::Recall { id, attempt: request.attempts - 1 });
        }
        self.answer_unserved(id);
    }

    // ---- Cold starts ----------------------------------------------------------------------

    /// Rule 4: a cold server holds nothing, so it wins every comparison at every relay. It gets what comes by
    /// right or in turn; one that recovers is paced, as all that others have let go of wait for it.
    fn allows(&mut self, now: Time, id: ServerId) -> bool {
        if self.by_right(now, id) {
            let server = self.server_mut(id);
            server.right = server.right.filter(|&until| now < until);
            return server.right.is_some() || (!server.asked && now >= server.barred);
        }
        let may = !self.is_new(now, id) || self.turn(now, id).is_some();
        if !may || self.server(id).swamped_at.is_none_or(|at| now.since(at) >= self.settings.warm_within) {
            return may;
        }
        let rate = RETURN_PART * MOVE_PART * self.usual / NOTE_EVERY.as_secs();
        let burst = (rate * self.settings.overload_for.as_secs() * BURST).max(1.0);
        let server = self.server_mut(id);
        let since = now.since(server.reckoned).as_secs();
        (server.allowance, server.reckoned) = ((server.allowance + rate * since).min(burst), now);
        server.allowance >= 1.0
    }

    /// This relay's next turn at a new server. All relays count turns by its age, so no two have one.
    fn turn(&self, now: Time, id: ServerId) -> Option<u64> {
        let (server, settings) = (self.server(id), &self.settings);
        let born = server.born.filter(|_| self.is_new(now, id))?;
        let holder = Holder::gateway(settings, server.listing.key, self.began?, server.spent);
        Schedule::own(settings).turn(now, born, self.fills * f64::from(settings.relays), holder).ok()
    }

    /// Whether all relays spend one allowance of a server, which is asked for. A hundredth of it each is no
    /// whole connection, and idles with those whose clients stay. If nobody answers, each keeps to its turns.
    fn by_right(&self, now: Time, id: ServerId) -> bool {
        self.settings.peers && now >= self.server(id).alone && self.is_new(now, id)
    }

    /// The request that waits for this right goes there, or elsewhere without it.
    fn on_right(&mut self, now: Time, id: ServerId, right: Right) {
        let server = self.server_mut(id);
        server.asked = false;
        match right {
            Right::Granted { until, lacks } => (server.right, server.lacks) = (Some(until), lacks),
            Right::Refused { wait, lacks } => (server.barred, server.lacks) = (now + wait, lacks),
            Right::Unheard => server.alone = now + ALONE_FOR,
        }
        let mut waiting = self.requests.iter().filter(|(_, p)| p.awaits == Some(id) && !p.over);
        let Some((&request, _)) = waiting.next() else { return };
        self.requests.get_mut(&request).expect("just seen").awaits = None;
        let pending = &self.requests[&request];
        let there = self.server(id).listing.state == ServerState::Ready
            && self.server(id).right.is_some_and(|until| now < until)
            && self.rung(now, pending, self.server(id)) == 0;
        if there { self.attempt(now, request, id) } else { _ = self.place(now, request) }
    }

    /// Whether a new server lacks its part of what all hold, as far as is known here.
    fn lacks(&self, now: Time, id: ServerId) -> bool {
        if self.by_right(now, id) { self.server(id).lacks } else { self.server(id).held() == 0 }
    }

    fn is_new(&self, now: Time, id: ServerId) -> bool {
        let paced = self.settings.warm_within.scale(PACED_FOR);
        self.server(id).born.is_some_and(|born| now.since(born) < paced)
    }

    /// What a server usually holds of this relay's connections: the mean over those that are not new, or over
    /// all where that is more, and no less than the tenants' shares let expect. It is forgotten only over a
    /// warm-up time, as in a deploy or after a crash the connections are on their way.
    fn reckon_usual(&mut self, now: Time) {
        if now.since(self.recounted) > self.settings.warm_within.scale(RECOUNT) {
            self.recount(now);
        }
        if self.reckoned.is_some_and(|at| now.since(at) < NOTE_EVERY.scale(RECKON)) {
            return;
        }
        self.most = self.most.max(self.ready.len());
        let held = |server: &Server| f64::from(server.held());
        let all: f64 = self.servers.iter().flatten().map(held).sum();
        let old = self.ready.iter().filter(|id| !self.new.contains(id)).map(|&id| held(self.server(id)));
        let (settled, mean) = (old.clone().sum(), |open: f64, n: usize| open / n.max(1) as f64);
        let shares: f64 = self.settings.tenants.iter().map(|t| t.quota_connections).sum();
        let full = mean(shares / f64::from(self.settings.relays), self.most);
        let mean = mean(all, self.ready.len()).max(mean(settled, old.count()));
        let passed = now.since(self.reckoned.unwrap_or(now)).as_secs() / self.settings.warm_within.as_secs();
        self.usual = mean.max(self.usual * (1.0 - passed)).max(SHARES_HELD * full);
        self.fills = if full > 0.0 { full } else { self.usual };
        self.reckoned = Some(now);
    }

    // ---- Health ---------------------------------------------------------------------------

    fn judge(&mut self, now: Time, id: ServerId, outcome: Outcome, established: bool) {
        match outcome {
            Outcome::Ok => self.server_did_well(id),
            Outcome::Reset if established => self.on_drop(now, id),
            Outcome::ConnectError => self.on_fail(now, id, FAILS_TO_SET_ASIDE),
            Outcome::Cancelled | Outcome::Ignored | Outcome::LocalFailure => {}
            _ => self.on_fail(now, id, 1),
        }
    }

    /// Counts failures towards setting the server aside, each time for longer, with jitter.
    fn on_fail(&mut self, now: Time, id: ServerId, weight: u32) {
        let jitter = 0.75 + 0.5 * self.rng.random::<f64>();
        let longest = self.settings.warm_within;
        let server = self.server_mut(id);
        if server.aside_until.is_some_and(|until| now < until) {
            return;
        }
        server.fails += weight;
        if server.fails >= FAILS_TO_SET_ASIDE {
            let times = (server.fails / FAILS_TO_SET_ASIDE).min(8) - 1;
            let wait = longest.scale(ASIDE_FIRST * f64::from(1 << times)).min(longest);
            server.aside_until = Some(now + wait.scale(jitter));
        }
    }

    fn server_did_well(&mut self, id: ServerId) {
        let server = self.server_mut(id);
        // Taking a connection up is not yet serving it.
        if !server.suspect {
            (server.fails, server.aside_until) = (0, None);
        }
    }

    /// A server that drops standing connections has more than it can hold; those it dropped make its count
    /// the lowest, so that it would be chosen first. It is hot for a while, each time for longer.
    fn on_drop(&mut self, now: Time, id: ServerId) {
        let warm_within = self.settings.warm_within;
        let jitter = 0.75 + 0.5 * self.rng.random::<f64>();
        let server = self.server_mut(id);
        let passed = now.since(server.dropped).as_secs() / DROPS_WITHIN.as_secs();
        if server.drops <= SHEDDING * passed {
            server.peak = server.held() + 1;
        }
        (server.drops, server.dropped) = ((server.drops - SHEDDING * passed).max(0.0) + 1.0, now);
        if server.drops < SHEDDING {
            return;
        }
        server.bears = Some((BEARS * f64::from(server.peak), now));
        if server.shed_until.is_some_and(|until| now < until) {
            return;
        }
        let again = server.shed_until.is_some_and(|until| now.since(until) < warm_within);
        server.sheds = if again { (server.sheds + 1).min(8) } else { 0 };
        let wait = warm_within.scale((SHED_FIRST * f64::from(1 << server.sheds)).min(SHED_LONGEST));
        server.shed_until = Some(now + wait.scale(jitter));
    }

    /// A silent server serves nobody: all that this relay has there are sent away at once, and it is set
    /// aside, each time for longer, then tried with one connection until that is answered.
    fn on_silent(&mut self, now: Time, id: ServerId) {
        self.on_fail(now, id, FAILS_TO_SET_ASIDE);
        self.server_mut(id).suspect = true;
        let here: Vec<RequestId> = self.placed(id).map(|(id, _)| id).collect();
        self.actions.extend(here.into_iter().map(|id| Action::Move { id }));
    }

    /// This relay's standing connections on a server.
    fn placed(&self, id: ServerId) -> impl Iterator<Item = (RequestId, &Pending)> {
        let here = move |p: &Pending| p.out.as_ref().is_some_and(|out| out.established && out.server == id);
        self.requests.iter().filter(move |(_, p)| here(p)).map(|(&id, p)| (id, p))
    }

    /// A server whose messages take long is overrun: left until word comes that it is back, or none comes.
    fn on_slow_messages(&mut self, now: Time, id: ServerId, takes: Span) {
        let aims = self.settings.classes.iter().map(|c| c.message_aim).min().unwrap_or_default();
        let hot = takes >= aims.scale(HOT_MESSAGES);
        let until = now + NOTE_EVERY.scale(HOT_NOTES + self.rng.random::<f64>());
        let server = self.server_mut(id);
        server.suspect &= hot;
        (server.hot_until, server.swamped) = (hot.then_some(until), takes >= aims.scale(SWAMPED));
        if server.swamped {
            let phase = self.rng.random::<f64>();
            let server = self.server_mut(id);
            (server.swamped_at, server.allowance, server.reckoned) = (Some(now), phase, now);
            self.let_go(id, MOVE_PART * f64::from(self.server(id).open));
        }
    }

    /// Lets so many of a server's connections go, those of least worth for their load first, and the heaviest
    /// of these; a part of one by chance. On a swamped server all are lost to their clients: each word of it
    /// lets a small part go, also when there is nowhere to go, so that the rest are served.
    fn let_go(&mut self, id: ServerId, how_many: f64) {
        let loads = || self.requests.values().filter_map(|p| p.load);
        let mean = loads().sum::<f64>() / loads().count() as f64;
        let usual = if mean.is_finite() { mean } else { 1.0 };
        let mut here: Vec<(f64, f64, RequestId)> = Vec::new();
        for (request, p) in self.placed(id) {
            let load = p.load.unwrap_or(usual);
            let worth = self.class(p.class).worth / if self.settings.worth_by_load { 1.0 } else { load };
            here.push((worth, -load, request));
        }
        let part = (how_many + self.rng.random::<f64>()) as usize;
        here.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        self.actions.extend(here.iter().take(part).map(|&(.., id)| Action::Move { id }));
    }

    fn on_timer(&mut self, now: Time, token: TimerToken) {
        match token {
            HELD => {
                self.held_timer = false;
                self.try_held(now);
            }
            SUBSCRIBE => self.actions.push(Action::Subscribe),
            TimerToken(token) => self.on_deadline(RequestId((token - FIRST_DEADLINE) as u32)),
        }
    }

    /// Counts a connection to the server's and its group's, or takes it back.
    fn count(&mut self, id: ServerId, group: Option<GroupId>, change: i32) {
        let server = self.server_mut(id);
        server.open = server.open.saturating_add_signed(change);
        if let Some(group) = group {
            let held = self.groups.entry((group, id)).or_insert(0);
            *held = held.saturating_add_signed(change);
            if *held == 0 {
                self.groups.remove(&(group, id));
            }
        }
    }

    fn class(&self, id: ClassId) -> &Class {
        &self.settings.classes[id.0 as usize]
    }

    fn known(&self, id: ServerId) -> bool {
        self.servers.get(id.0 as usize).is_some_and(Option::is_some)
    }

    fn server(&self, id: ServerId) -> &Server {
        self.servers[id.0 as usize].as_ref().expect("servers in use have been listed")
    }

    fn server_mut(&mut self, id: ServerId) -> &mut Server {
        self.servers[id.0 as usize].as_mut().expect("servers in use have been listed")
    }
}

impl Server {
    /// What this relay holds there, in all its processes.
    fn held(&self) -> u32 {
        self.open + self.beside.unwrap_or(0)
    }

    /// Whether it holds as much as it is taken to bear.
    fn laden(&self, now: Time) -> bool {
        let grown = |since| 1.0 + now.since(since).as_secs() / BEARS_AGAIN.as_secs();
        self.bears.is_some_and(|(bears, since)| f64::from(self.held()) >= bears * grown(since))
    }

    /// A new process: what held against the old is void, and it is cold.
    fn begin_anew(&mut self, now: Time, born: Option<Time>) {
        (self.fails, self.aside_until, self.suspect, self.shed_until) = (0, None, false, None);
        (self.hot_until, self.swamped, self.swamped_at, self.bears) = (None, false, None, None);
        (self.spent, self.born) = (self.spent * u64::from(self.born == born), born);
        (self.right, self.barred, self.lacks) = (None, now, true);
    }
}

impl Pending {
    fn new(now: Time, request: &Request) -> Self {
        let load = request.load.filter(|load| load.is_finite() && *load > 0.0);
        let deadline = now + request.time_left;
        let (class, group) = (request.class, request.group);
        Self { class, arrived: now, deadline, load, group, not_before: now, ..Self::default() }
    }
}
