//! A site and its clients in virtual time.
//!
//! **The model.** A balancer hands each attempt to the shorter of two random servers' queues, at most three
//! servers in turn. A server sets connections up one after the other; a set-up takes exponential time, and
//! is paid for also when the client has gone meanwhile, as is a small part of one for each refusal. A queue
//! has a most; beyond it the server refuses. Who is refused by three is told `BUSY MS`. Who has waited for
//! its `d` is told the same. Standing connections cost nothing here: the study is of set-ups, which is what
//! retries and returns are made of. The way there and the way back take the same fixed time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ashtide_client::{
    Address, Attempt, GiveUpReason, Instant, PoolCommand, PoolEvent, SessionId, SessionNotification,
    SessionPool, SessionRequest, Settings,
};
use ashtide_protocol::{GatewayEvent, Open};
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::naive::Naive;

/// Servers that a balancer asks for one attempt.
const ASKS: usize = 3;
/// A try is given up after this time: the class's own.
pub const TRY: Duration = Duration::from_millis(3200);
/// Virtual time begins here, so that nothing is before the clock's origin.
pub const ORIGIN: u64 = 10_000_000;

/// How clients behave.
#[derive(Debug, Clone)]
pub enum Behaviour {
    /// The library: its settings, and how long a user's press lasts. A try has 3.2 s at most.
    Library(Box<Settings>, Duration),
    /// Again after a wait within these bounds, for ever.
    Naive(Duration, Duration),
}

/// The site.
#[derive(Debug, Clone)]
pub struct SitePlan {
    /// Servers.
    pub servers: usize,
    /// Set-ups a second that one of them makes.
    pub rate: f64,
    /// Most that wait at one.
    pub queue: usize,
    /// What a refusal costs, in parts of a set-up.
    pub refusal: f64,
    /// What a refused client is asked to wait.
    pub busy: Duration,
    /// One way between clients and the site.
    pub way: Duration,
}

/// Something that goes wrong, or is well again.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// All servers work at this part of their speed.
    Speed(f64),
    /// This part of the servers refuses everything.
    Refusing(f64),
    /// This part of the standing connections breaks at one moment.
    Cut(f64),
}

/// Who owns the session and what the user does.
#[derive(Debug, Clone)]
pub struct People {
    /// New users a second.
    pub rate: f64,
    /// How long one wants to be connected, on average, in seconds.
    pub life: f64,
    /// How long one waits in all before leaving for good.
    pub patience: Duration,
    /// After a session that ended without success, one presses again within these bounds.
    pub press: (Duration, Duration),
}

#[derive(Debug)]
enum Client {
    Library(Box<SessionPool>),
    Naive(Box<Naive>),
}

#[derive(Debug)]
struct Device {
    client: Client,
    wish: SessionRequest,
    session: SessionId,
    /// The wake that is in the heap.
    wake: Option<u64>,
    /// Its connection stands on this server since then.
    standing: Option<(usize, u64)>,
    waiting_since: Option<u64>,
    /// Microseconds connected that it still wants.
    wants: u64,
    waited: u64,
    gone: bool,
    /// Attempts at the site that have neither an answer nor an end.
    out: Vec<Attempt>,
}

#[derive(Debug, Clone, PartialEq)]
enum Happens {
    User,
    Wake(usize, u64),
    Connected(usize, Attempt),
    Arrives(usize, Attempt, Duration),
    Closes(usize, Attempt),
    Served(usize),
    Answer(usize, Attempt, Answer),
    Overdue(usize, Attempt),
    Content(usize, u64),
    Press(usize),
    Impatient(usize, u64),
    Trouble(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Up(usize),
    Busy,
}

#[derive(Debug)]
struct Server {
    speed: f64,
    refuses: bool,
    queue: VecDeque<(usize, Attempt)>,
    busy: bool,
    /// Refusals that are still to be paid for, in parts of a set-up.
    debt: f64,
}

/// What was seen in one second of virtual time.
#[derive(Debug, Clone, Default)]
pub struct Second {
    /// Attempts that reached the site.
    pub attempts: u64,
    /// Connections that came up.
    pub up: u64,
    /// Refusals.
    pub refused: u64,
    /// Users that wait for their connection at its end.
    pub waiting: u64,
    /// Users that are connected at its end.
    pub standing: u64,
}

/// What a run has shown.
#[derive(Debug, Default)]
pub struct Tally {
    /// By second since the start.
    pub seconds: Vec<Second>,
    /// When attempts reached the site, in microseconds since the start.
    pub arrivals: Vec<u64>,
    /// Attempts beside an older one of the same session at the site.
    pub overlaps: u64,
    /// How long each wait for a connection took, in microseconds since it was wanted, and when it ended.
    pub waits: Vec<(u64, u64)>,
    /// Microseconds connected and waited, from `from` on.
    pub connected: u64,
    /// See `connected`.
    pub waited: u64,
    /// Users who left for good without what they wanted.
    pub lost: u64,
}

/// Servers, users and what happens next.
pub struct World {
    now: u64,
    order: u64,
    heap: BinaryHeap<Reverse<(u64, u64, Entry)>>,
    rng: Xoshiro256PlusPlus,
    behaviour: Behaviour,
    site: SitePlan,
    people: People,
    troubles: Vec<(u64, Trouble)>,
    servers: Vec<Server>,
    devices: Vec<Device>,
    standing: u64,
    waiting: u64,
    /// Service is counted from here on, in microseconds.
    pub from: u64,
    /// What was seen.
    pub tally: Tally,
    effects: Vec<PoolCommand>,
    /// Users are being placed that stood before: nothing reaches the site.
    placing: bool,
}

/// Keeps what happens out of the heap's order.
#[derive(Debug)]
struct Entry(Happens);

impl PartialEq for Entry {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 8443).into()
}

fn moment(now: u64) -> Instant {
    Instant::from_micros(ORIGIN + now)
}

impl World {
    /// A site and no users yet. Troubles come at their microsecond.
    pub fn new(
        behaviour: Behaviour,
        site: SitePlan,
        people: People,
        troubles: Vec<(u64, Trouble)>,
        seed: u64,
    ) -> Self {
        let server =
            |_| Server { speed: 1.0, refuses: false, queue: VecDeque::new(), busy: false, debt: 0.0 };
        let mut world = Self {
            now: 0,
            order: 0,
            heap: BinaryHeap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            behaviour,
            servers: (0..site.servers).map(server).collect(),
            site,
            people,
            troubles,
            devices: Vec::new(),
            standing: 0,
            waiting: 0,
            from: 0,
            tally: Tally::default(),
            effects: Vec::new(),
            placing: false,
        };
        for at in 0..world.troubles.len() {
            world.at(world.troubles[at].0, Happens::Trouble(at));
        }
        if world.people.rate > 0.0 {
            world.at(0, Happens::User);
        }
        world
    }

    fn at(&mut self, time: u64, what: Happens) {
        self.order += 1;
        self.heap.push(Reverse((time.max(self.now), self.order, Entry(what))));
    }

    /// Users that stand already, placed evenly: the site as it was before.
    pub fn stand(&mut self, count: usize) {
        for number in 0..count {
            let wants = (self.exponential() * self.people.life * 1e6) as u64;
            let device = self.device(wants.max(1));
            self.placing = true;
            self.open(device);
            let attempt = Attempt(1);
            self.tell(device, PoolEvent::Connected(self.devices[device].session, attempt));
            self.stands(device, attempt, number % self.servers.len());
        }
        self.placing = false;
        self.tally = Tally::default();
    }

    /// Runs until this microsecond.
    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((time, ..))) = self.heap.peek() {
            if *time > until {
                break;
            }
            let Some(Reverse((time, _, Entry(what)))) = self.heap.pop() else { break };
            self.pass(time);
            self.happen(what);
        }
        self.pass(until);
    }

    /// Time goes by for all who are connected or wait.
    fn pass(&mut self, time: u64) {
        while self.now < time {
            let second = self.now / 1_000_000;
            let next = ((second + 1) * 1_000_000).min(time);
            let passed = next.saturating_sub(self.now.max(self.from));
            self.tally.connected += passed * self.standing;
            self.tally.waited += passed * self.waiting;
            self.now = next;
            let (standing, waiting) = (self.standing, self.waiting);
            let second = self.second(second);
            (second.standing, second.waiting) = (standing, waiting);
        }
    }

    fn second(&mut self, second: u64) -> &mut Second {
        let second = second as usize;
        if self.tally.seconds.len() <= second {
            self.tally.seconds.resize(second + 1, Second::default());
        }
        &mut self.tally.seconds[second]
    }

    fn this_second(&mut self) -> &mut Second {
        self.second(self.now / 1_000_000)
    }

    fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.rng)
    }

    fn device(&mut self, wants: u64) -> usize {
        let number = self.devices.len();
        let mut wish = SessionRequest::new("resident-reading", format!("meter-{number}"), TRY);
        let seed = self.rng.random();
        let client = match &self.behaviour {
            Behaviour::Library(settings, wait) => {
                (wish.timeout, wish.attempt_timeout) = (*wait, Some(TRY));
                // The settings have been checked by whoever made them.
                let mut pool = SessionPool::new(Settings::clone(settings), seed)
                    .unwrap_or_else(|error| unreachable!("settings that cannot be: {error}"));
                pool.handle(
                    moment(self.now),
                    PoolEvent::AddressesChanged(vec![Address::new(address())]),
                    &mut Vec::new(),
                );
                Client::Library(Box::new(pool))
            }
            Behaviour::Naive(from, to) => {
                Client::Naive(Box::new(Naive::new((*from, *to), address(), wish.clone(), seed)))
            }
        };
        self.devices.push(Device {
            client,
            wish,
            session: SessionId(0),
            wake: None,
            standing: None,
            waiting_since: None,
            wants,
            waited: 0,
            gone: false,
            out: Vec::new(),
        });
        number
    }

    /// The user wants the connection from now on.
    fn wait(&mut self, at: usize) {
        let device = &mut self.devices[at];
        if device.waiting_since.is_none() {
            device.waiting_since = Some(self.now);
            self.waiting += 1;
            let left = micros(self.people.patience).saturating_sub(device.waited);
            let since = self.now;
            self.at(since + left, Happens::Impatient(at, since));
        }
    }

    fn waits_no_more(&mut self, at: usize) -> u64 {
        let device = &mut self.devices[at];
        let Some(since) = device.waiting_since.take() else { return 0 };
        device.waited += self.now - since;
        self.waiting -= 1;
        self.now - since
    }

    fn open(&mut self, at: usize) {
        self.wait(at);
        let now = moment(self.now);
        let device = &mut self.devices[at];
        match &mut device.client {
            Client::Library(pool) => device.session = pool.open(now, device.wish.clone(), &mut self.effects),
            Client::Naive(naive) => {
                device.session = SessionId(1);
                naive.open(now, &mut self.effects);
            }
        }
        self.carry_out(at);
    }

    fn tell(&mut self, at: usize, event: PoolEvent) {
        let now = moment(self.now);
        match &mut self.devices[at].client {
            Client::Library(pool) => pool.handle(now, event, &mut self.effects),
            Client::Naive(naive) => naive.handle(now, event, &mut self.effects),
        }
        self.carry_out(at);
    }

    fn carry_out(&mut self, at: usize) {
        let mut effects = VecDeque::from(std::mem::take(&mut self.effects));
        while let Some(effect) = effects.pop_front() {
            match effect {
                PoolCommand::Connect { .. } | PoolCommand::SendRequest { .. } if self.placing => {}
                // There and back, as a connection's first packets go.
                PoolCommand::Connect { attempt, .. } => {
                    let when = self.now + 2 * micros(self.site.way);
                    self.at(when, Happens::Connected(at, attempt));
                }
                PoolCommand::SendRequest { attempt, line, .. } => {
                    let wait =
                        Open::parse(line).ok().and_then(|open| open.client_timeout).unwrap_or_default();
                    self.at(self.now + micros(self.site.way), Happens::Arrives(at, attempt, wait));
                }
                PoolCommand::Close { session, attempt } => {
                    self.at(self.now + micros(self.site.way), Happens::Closes(at, attempt));
                    let now = moment(self.now);
                    if let Client::Library(pool) = &mut self.devices[at].client {
                        pool.handle(now, PoolEvent::SocketClosed(session, attempt), &mut self.effects);
                    }
                    effects.extend(std::mem::take(&mut self.effects));
                }
                PoolCommand::Notify(_, SessionNotification::Disconnected(_)) => self.dropped(at),
                PoolCommand::Notify(..) => {}
                PoolCommand::EndSession(_, GiveUpReason::Closed) => {}
                PoolCommand::EndSession(..) => {
                    let (from, to) = self.people.press;
                    let wait = from + (to - from).mul_f64(self.rng.random::<f64>());
                    self.at(self.now + micros(wait), Happens::Press(at));
                }
            }
        }
        let device = &mut self.devices[at];
        let wake = match &device.client {
            Client::Library(pool) => pool.next_wake(),
            Client::Naive(naive) => naive.next_wake(),
        };
        let wake = wake.map(|wake| wake.as_micros().saturating_sub(ORIGIN));
        if wake != device.wake {
            device.wake = wake;
            if let Some(wake) = wake {
                self.at(wake, Happens::Wake(at, wake));
            }
        }
    }

    fn dropped(&mut self, at: usize) {
        let device = &mut self.devices[at];
        if let Some((_, since)) = device.standing.take() {
            device.wants = device.wants.saturating_sub(self.now - since).max(1);
            self.standing -= 1;
        }
        self.wait(at);
    }

    fn stands(&mut self, at: usize, attempt: Attempt, server: usize) {
        let session = self.devices[at].session;
        self.tell(at, PoolEvent::Received(session, attempt, Ok(GatewayEvent::Up(Bytes::new()))));
        // The client may have given up meanwhile.
        let stands = match &self.devices[at].client {
            Client::Library(pool) => pool.is_established(session),
            Client::Naive(naive) => naive.next_wake().is_none(),
        };
        if stands && self.devices[at].standing.is_none() && !self.devices[at].gone {
            let waited = self.waits_no_more(at);
            self.tally.waits.push((waited, self.now));
            let device = &mut self.devices[at];
            device.standing = Some((server, self.now));
            self.standing += 1;
            let (since, content) = (self.now, self.now + device.wants);
            self.at(content, Happens::Content(at, since));
            self.this_second().up += 1;
        }
    }

    fn happen(&mut self, what: Happens) {
        match what {
            Happens::User => {
                let wants = (self.exponential() * self.people.life * 1e6) as u64;
                let device = self.device(wants.max(1));
                self.open(device);
                let next = self.exponential() / self.people.rate * 1e6;
                self.at(self.now + next as u64, Happens::User);
            }
            Happens::Wake(at, wake) => {
                if self.devices[at].wake == Some(wake) {
                    self.devices[at].wake = None;
                    self.tell(at, PoolEvent::TimerFired);
                }
            }
            Happens::Connected(at, attempt) => {
                let session = self.devices[at].session;
                self.tell(at, PoolEvent::Connected(session, attempt));
            }
            Happens::Arrives(at, attempt, wait) => self.arrives(at, attempt, wait),
            Happens::Closes(at, attempt) => self.devices[at].out.retain(|out| *out != attempt),
            Happens::Served(server) => self.served(server),
            Happens::Answer(at, attempt, Answer::Up(server)) => self.stands(at, attempt, server),
            Happens::Answer(at, attempt, Answer::Busy) => {
                let (session, wait) = (self.devices[at].session, self.site.busy);
                self.tell(at, PoolEvent::Received(session, attempt, Ok(GatewayEvent::Busy(Some(wait)))));
            }
            Happens::Overdue(at, attempt) => {
                if self.devices[at].out.contains(&attempt) {
                    self.answer(at, attempt, Answer::Busy);
                }
            }
            Happens::Content(at, since) => {
                if self.devices[at].standing.is_some_and(|(_, from)| from == since) {
                    self.leave(at);
                }
            }
            Happens::Press(at) => {
                if !self.devices[at].gone {
                    self.open(at);
                }
            }
            Happens::Impatient(at, since) => {
                if self.devices[at].waiting_since == Some(since) {
                    self.tally.lost += 1;
                    self.leave(at);
                }
            }
            Happens::Trouble(number) => self.trouble(self.troubles[number].1),
        }
    }

    fn leave(&mut self, at: usize) {
        self.waits_no_more(at);
        let device = &mut self.devices[at];
        device.gone = true;
        if device.standing.take().is_some() {
            self.standing -= 1;
        }
        let session = self.devices[at].session;
        self.tell(at, PoolEvent::CloseSession(session));
    }

    fn trouble(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Speed(speed) => self.servers.iter_mut().for_each(|server| server.speed = speed),
            Trouble::Refusing(part) => {
                let count = (self.servers.len() as f64 * part).round() as usize;
                for (number, server) in self.servers.iter_mut().enumerate() {
                    server.refuses = number < count;
                }
            }
            Trouble::Cut(part) => {
                for at in 0..self.devices.len() {
                    if self.devices[at].standing.is_some() && self.rng.random::<f64>() < part {
                        let attempt = self.attempt_of(at);
                        let session = self.devices[at].session;
                        self.tell(at, PoolEvent::ConnectionEnded(session, attempt, None));
                    }
                }
            }
        }
    }

    /// The attempt of a standing connection: both kinds of clients number them one after the other.
    fn attempt_of(&self, at: usize) -> Attempt {
        match &self.devices[at].client {
            Client::Library(pool) => pool.current_attempt(self.devices[at].session).unwrap_or_default(),
            Client::Naive(naive) => naive.attempt(),
        }
    }

    fn arrives(&mut self, at: usize, attempt: Attempt, wait: Duration) {
        self.tally.arrivals.push(self.now);
        self.this_second().attempts += 1;
        let device = &mut self.devices[at];
        self.tally.overlaps += u64::from(!device.out.is_empty());
        device.out.push(attempt);
        for _ in 0..ASKS.min(self.servers.len()) {
            let draw = |rng: &mut Xoshiro256PlusPlus| rng.random_range(0..self.servers.len());
            let (one, two) = (draw(&mut self.rng), draw(&mut self.rng));
            let server =
                if self.servers[two].queue.len() < self.servers[one].queue.len() { two } else { one };
            let (most, refusal) = (self.site.queue, self.site.refusal);
            let chosen = &mut self.servers[server];
            if chosen.refuses || chosen.queue.len() >= most {
                chosen.debt += if chosen.refuses { 0.0 } else { refusal };
                continue;
            }
            chosen.queue.push_back((at, attempt));
            if !chosen.busy {
                self.serve(server);
            }
            return self.at(self.now + micros(wait), Happens::Overdue(at, attempt));
        }
        self.answer(at, attempt, Answer::Busy);
    }

    fn answer(&mut self, at: usize, attempt: Attempt, answer: Answer) {
        self.devices[at].out.retain(|out| *out != attempt);
        self.this_second().refused += u64::from(answer == Answer::Busy);
        self.at(self.now + micros(self.site.way), Happens::Answer(at, attempt, answer));
    }

    /// The next set-up begins, with what refusals have cost meanwhile.
    fn serve(&mut self, server: usize) {
        let work = self.exponential();
        let chosen = &mut self.servers[server];
        let work = work + std::mem::take(&mut chosen.debt);
        chosen.busy = true;
        let time = work / (self.site.rate * chosen.speed) * 1e6;
        self.at(self.now + time as u64, Happens::Served(server));
    }

    fn served(&mut self, server: usize) {
        self.servers[server].busy = false;
        if let Some((at, attempt)) = self.servers[server].queue.pop_front() {
            if self.devices[at].out.contains(&attempt) {
                self.answer(at, attempt, Answer::Up(server));
            }
        }
        if !self.servers[server].queue.is_empty() {
            self.serve(server);
        }
    }
}
