//! Some gateways, their fronts, servers, clients, discovery and the network between them, in one virtual time and
//! by one seed.
//!
//! Everything falls on ticks of 5 ms, so that what rarely meets meets often: in each tick what the wheels of the
//! cores have due and what has arrived are carried out in random order, but that what one says to another stays in
//! its order, as in the driver's queues.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

use ashtide::discovery::End;
use ashtide::engine::{Due, Effect, Engine};
use ashtide::handover::Share;
use ashtide::{
    CellId, Class, ClassId, Discovery, GroupId, KeyedGroup, ListNews, Listing, Outcome, PeerId, Request,
    RequestId, ServerId, ServerState, Settings, Span, Tenant, TenantId, Time, ZoneId,
};
use futures_util::FutureExt;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::faults::Fault;
use super::front::{Command, Front, Move, Wire, Word};
use super::invariants::{CROSSING, Fact, Ledger, Violation};

const TICK: i64 = 5;
/// Things that happen in one tick, at most: more, and somebody goes round in circles.
const BUSIEST: u32 = 20_000;
/// How long clients come, and how long is waited after that: for the longest wait, and connections that leave.
const RUNS: i64 = 12_000;
const AFTER: i64 = 4_000;
const SERVERS: u32 = 6;
/// The longest that a connection takes to come up.
const LATE: i64 = 1_500;
/// From the call to leave to the end of all answers, and from there to the end of the process.
const LEAVES_WITHIN: i64 = 2_800;
const FLUSH: i64 = 150;
/// Connections within all partners' quotas.
const SHARES: f64 = 600.0;
const CLASSES: [&str; 6] = ["plain", "slow", "all", "zone", "cell", "once"];

fn ms(ms: i64) -> Span {
    Span::from_micros(ms * 1_000)
}

fn classes() -> Vec<Class> {
    let keyed = |group, window| ashtide::Effect::Keyed { group, window: ms(window) };
    let effects = [
        (400, ashtide::Effect::Safe),
        (1_100, ashtide::Effect::Safe),
        (500, keyed(KeyedGroup::All, 600)),
        (600, keyed(KeyedGroup::Zone, 800)),
        (700, keyed(KeyedGroup::Cell, 700)),
        (300, ashtide::Effect::Unsafe),
    ];
    let class = |(aim, effect)| Class { aim: ms(aim), message_aim: ms(300), worth: 1.0, effect };
    effects.into_iter().map(class).collect()
}

/// What the gateways' reports are about.
#[derive(Debug, Clone, PartialEq)]
enum Report {
    Request(RequestId),
    Word(RequestId, Word),
    Adopted(RequestId, ServerId),
    News(ListNews, Vec<Listing>),
    /// The same, but that the core hears it late.
    Belated(ListNews, Vec<Listing>),
    Watching,
    WatchEnded(Option<Time>),
    Heard(PeerId, Vec<u8>),
    Cordon(ServerId, bool),
    Judge(BTreeSet<u32>),
    Beside(ServerId, Share),
    Leave,
    HandOver,
}

/// What comes at its time.
#[derive(Debug, Clone, PartialEq)]
enum Event {
    Client,
    Report(usize, Report),
    Command(RequestId, Command),
    Wire(RequestId, u32, Wire),
    Says(RequestId, &'static [u8]),
    Leaves(RequestId),
    Trouble,
    /// A watch is found silent or broken, and is there again.
    WatchEnds(usize, Option<Time>),
    WatchAgain(usize),
    Restart(u32),
    End(usize),
    Dead(usize),
    TellBeside(usize, usize),
}

/// One process of a gateway.
struct Process {
    gateway: u32,
    engine: Engine,
    dead: bool,
    /// When it was told to leave, and whether to a successor.
    leaves: Option<Time>,
    /// Nothing arrives earlier than what was sent before.
    heard: Time,
    news: Time,
    watches: bool,
    /// The list as told, and what operators have taken out.
    list: BTreeMap<ServerId, Listing>,
    out: BTreeSet<ServerId>,
    unvouched: bool,
    reckoned: bool,
}

struct Client {
    process: usize,
    class: usize,
    front: Front,
    /// Commands keep their order.
    told: Time,
}

/// The whole of it.
pub struct World {
    rng: ChaCha8Rng,
    fault: Option<Fault>,
    now: Time,
    anchor: (Time, Instant),
    settings: Settings,
    gateways: u32,
    /// The longest time between two clients.
    pace: i64,
    servers: Vec<Listing>,
    hung: Vec<Time>,
    processes: Vec<Process>,
    clients: BTreeMap<RequestId, Client>,
    events: BTreeMap<(Time, u64), Event>,
    number: u64,
    ids: u32,
    ends: Time,
    effects: Vec<Effect>,
    ledger: Ledger,
    facts: Vec<(Time, Fact)>,
    broken: Option<Violation>,
    /// How often each rare thing came about.
    pub seen: BTreeMap<&'static str, u32>,
}

impl World {
    pub fn new(seed: u64, fault: Option<Fault>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = Time::from_micros(1_000_000_000);
        let gateways = rng.random_range(2..=5);
        let tenant = Tenant { quota_per_s: 100.0, quota_connections: SHARES };
        let settings = Settings {
            relays: gateways,
            discovery: if rng.random() { Discovery::Pushed } else { Discovery::OnRequest },
            classes: classes(),
            tenants: vec![tenant],
            tick: ms(TICK),
            max_attempts: rng.random_range(2..=4),
            max_retry_after: ms(500),
            peers: rng.random_bool(0.8),
            recalls: rng.random(),
            answer_slack: ms(50),
            drain_grace: ms(400),
            cold_from: 0.3,
            warm_within: ms(20_000),
            fall_multiple: 2.5,
            overload_for: ms(2_000),
            ..Settings::for_zone(ZoneId(0))
        };
        let busy = rng.random_bool(0.3);
        let server = |number: u32| Listing {
            key: number.wrapping_mul(0x9e37_79b9),
            zone: ZoneId(number % 2),
            cell: CellId(number / 2),
            ..Listing::ready(ServerId(number), ZoneId(0))
        };
        let servers: Vec<Listing> = (0..SERVERS).map(server).collect();
        let places = servers.iter().map(|it| (it.server, (it.zone.0, it.cell.0))).collect();
        let mut world = Self {
            rng,
            fault,
            now,
            anchor: (now, Instant::now()),
            ledger: Ledger::new(settings.clone(), places),
            settings,
            gateways,
            pace: if busy { 30 } else { 90 },
            hung: vec![now; servers.len()],
            servers,
            processes: Vec::new(),
            clients: BTreeMap::new(),
            events: BTreeMap::new(),
            number: 0,
            ids: 0,
            ends: now + ms(RUNS),
            effects: Vec::new(),
            facts: Vec::new(),
            broken: None,
            seen: BTreeMap::new(),
        };
        for gateway in 0..gateways {
            world.start(gateway, None);
        }
        // The module tries twice as fast while it has seen little go wrong: some servers hang from the start.
        for at in 0..world.rng.random_range(0..3) {
            world.hung[at] = now + ms(world.rng.random_range(500..3_000));
        }
        world.after(0, Event::Client);
        world.after(200, Event::Trouble);
        world
    }

    /// Runs to the end.
    ///
    /// # Errors
    ///
    /// Says which invariant was broken, and what led there.
    pub async fn run(&mut self) -> Result<(), Violation> {
        while self.now < self.ends + ms(AFTER) {
            tokio::time::advance(Duration::from_millis(TICK as u64)).await;
            self.now = self.now + ms(TICK);
            let mut steps = 0;
            while self.broken.is_none() && self.step() {
                steps += 1;
                let next: Vec<_> = self.events.iter().take(3).collect();
                assert!(steps < BUSIEST, "the world goes round in circles; next: {next:?}");
            }
            self.fact(Fact::Passed);
            if let Some(mut violation) = self.broken.take() {
                violation.what = format!("{}\n{}", violation.what, self.trace());
                return Err(violation);
            }
        }
        Ok(())
    }

    // ---- Time -------------------------------------------------------------------------------

    fn after(&mut self, wait: i64, event: Event) {
        self.at(self.now + ms(wait), event);
    }

    fn at(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    fn random(&mut self, range: std::ops::Range<i64>) -> i64 {
        self.rng.random_range(range)
    }

    fn chance(&mut self, part: f64) -> bool {
        self.rng.random_bool(part)
    }

    /// What a report or a command takes.
    fn crossing(&mut self) -> Span {
        match self.random(0..10) {
            0 => CROSSING,
            1 | 2 => ms(TICK),
            _ => Span::ZERO,
        }
    }

    /// Carries one thing out that is due now, if there is any.
    fn step(&mut self) -> bool {
        let arrived = self.events.first_key_value().is_some_and(|((at, _), _)| *at <= self.now);
        if arrived && self.chance(0.5) {
            self.arrive();
            return true;
        }
        let first = self.rng.random_range(0..self.processes.len());
        for turn in 0..self.processes.len() {
            let at = (first + turn) % self.processes.len();
            if self.processes[at].dead {
                continue;
            }
            if let Some(due) = self.processes[at].engine.due().now_or_never() {
                self.fire(at, due);
                return true;
            }
        }
        if arrived {
            self.arrive();
        }
        arrived
    }

    fn fire(&mut self, process: usize, due: Due) {
        if matches!(due, Due::Attempt(..)) {
            self.count("time-outs");
        }
        let late = matches!(due, Due::Attempt(..));
        self.processes[process].engine.fire(self.now, due, &mut self.effects);
        self.carry_out(process, late);
    }

    fn arrive(&mut self) {
        let Some((_, event)) = self.events.pop_first() else { return };
        match event {
            Event::Client => self.client(),
            Event::Report(process, report) => self.report(process, report),
            Event::Command(id, command) => self.moves(id, |front, moves| front.command(command, moves)),
            Event::Wire(id, attempt, what) => self.wire(id, attempt, what),
            Event::Says(id, line) => self.moves(id, |front, moves| front.says(line.into(), moves)),
            Event::Leaves(id) => self.leaves(id),
            Event::Trouble => self.trouble(),
            Event::WatchEnds(process, since) => self.watch_ends(process, since),
            Event::WatchAgain(process) => self.watch_again(process),
            Event::Restart(gateway) => _ = self.start(gateway, None),
            Event::End(process) => self.end(process),
            Event::Dead(process) => self.ended(process),
            Event::TellBeside(from, to) => self.tell_beside(from, to),
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.seen.entry(what).or_default() += 1;
    }

    fn fact(&mut self, fact: Fact) {
        if self.broken.is_none() {
            self.broken = self.ledger.note(self.now, &fact).err();
        }
        if fact != Fact::Passed {
            self.facts.push((self.now, fact));
        }
    }

    /// What concerns the request that the last fact is about, and what its process was told of the list.
    fn trace(&self) -> String {
        let mut text = String::new();
        let last = self.facts.iter().rev().find_map(|it| it.1.id());
        let asked = |fact: &Fact| match fact {
            Fact::Asked { id, process, .. } if Some(*id) == last => Some(*process),
            _ => None,
        };
        let process = self.facts.iter().find_map(|it| asked(&it.1));
        let chosen = |fact: &Fact| match *fact {
            Fact::Chosen { id, server, .. } if Some(id) == last => Some(server),
            _ => None,
        };
        let servers: BTreeSet<ServerId> = self.facts.iter().filter_map(|it| chosen(&it.1)).collect();
        let mut told = BTreeMap::new();
        for (at, fact) in &self.facts {
            let shows = match fact {
                Fact::Listed { process: here, server, .. } => {
                    Some(*here) == process
                        && servers.contains(server)
                        && told.insert(*server, fact) != Some(fact)
                }
                Fact::Unheard { process: here, .. } | Fact::Vouched { process: here } => {
                    Some(*here) == process
                }
                fact => fact.id().is_some() && fact.id() == last,
            };
            if shows {
                let _ = writeln!(text, "  {:>6} ms {fact:?}", at.since(self.anchor.0).as_micros() / 1_000);
            }
        }
        text
    }

    // ---- Processes --------------------------------------------------------------------------

    /// Starts a process of a gateway with the list that its predecessor held, if it had one.
    fn start(&mut self, gateway: u32, list: Option<Vec<Listing>>) -> usize {
        let mut settings = Settings { own: PeerId(gateway), ..self.settings.clone() };
        for class in &mut settings.classes {
            if let ashtide::Effect::Keyed { group, window } = &mut class.effect {
                match self.fault {
                    Some(Fault::LongWindow) => *window = window.scale(10.0),
                    Some(Fault::WideGroup) => *group = KeyedGroup::All,
                    _ => {}
                }
            }
        }
        if self.fault == Some(Fault::EachAlone) {
            (settings.relays, settings.own) = (1, PeerId(0));
        }
        let anchor = (self.now, self.anchor.1 + duration(self.now.since(self.anchor.0)));
        let process = Process {
            gateway,
            engine: Engine::new(settings, self.rng.random(), anchor),
            dead: false,
            leaves: None,
            heard: self.now,
            news: self.now,
            watches: true,
            list: BTreeMap::new(),
            out: BTreeSet::new(),
            unvouched: false,
            reckoned: false,
        };
        let at = self.processes.len();
        self.processes.push(process);
        if let Some(list) = list {
            self.tell(at, Report::News(ListNews::Stale, list));
        }
        self.watch_again(at);
        at
    }

    fn live(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|&at| !self.processes[at].dead).collect()
    }

    /// The process of a gateway that new clients come to.
    fn current(&self, gateway: u32) -> Option<usize> {
        let here = |&at: &usize| self.processes[at].gateway == gateway;
        self.live().into_iter().rfind(here)
    }

    /// The call to leave has had its time: all that are open are answered and moved.
    fn end(&mut self, process: usize) {
        if self.processes[process].dead {
            return;
        }
        self.processes[process].engine.fire(self.now, Due::Leave, &mut self.effects);
        self.carry_out(process, false);
        self.after(FLUSH, Event::Dead(process));
    }

    /// It has said all that it had to.
    fn ended(&mut self, process: usize) {
        if self.processes[process].dead {
            return;
        }
        if let Some(id) = self.ledger.forgotten(process) {
            let invariant = super::invariants::Invariant::OneFinalAnswer;
            let what = format!("process {process} ends and {id:?} has no answer");
            self.broken.get_or_insert(Violation { invariant, what });
        }
        self.dead(process);
    }

    fn dead(&mut self, process: usize) {
        if std::mem::replace(&mut self.processes[process].dead, true) {
            return;
        }
        let here: Vec<RequestId> =
            self.clients.iter().filter(|it| it.1.process == process).map(|it| *it.0).collect();
        for id in here {
            self.fact(Fact::Lost { id });
            self.clients.remove(&id);
        }
        let gateway = self.processes[process].gateway;
        if self.current(gateway).is_none() {
            let wait = self.random(0..800);
            self.after(wait, Event::Restart(gateway));
        }
    }

    fn tell_beside(&mut self, from: usize, to: usize) {
        if self.processes[from].dead || self.processes[to].dead {
            return;
        }
        for server in (0..SERVERS).map(ServerId) {
            let share = self.processes[from].engine.share(server);
            self.tell(to, Report::Beside(server, share));
        }
        self.after(500, Event::TellBeside(from, to));
    }

    fn tell(&mut self, process: usize, report: Report) {
        let at = self.now + self.crossing();
        let heard = &mut self.processes[process].heard;
        *heard = at.max(*heard);
        let at = *heard;
        self.at(at, Event::Report(process, report));
    }

    fn report(&mut self, process: usize, report: Report) {
        if self.processes[process].dead {
            return;
        }
        let now = self.now;
        match report {
            Report::Request(id) => {
                self.fact(Fact::Admitted { id });
                self.reckon(process);
                let Some(request) = self.request(id) else { return };
                self.processes[process].engine.request(now, request, &mut self.effects);
            }
            Report::Word(id, word) => return self.word(process, id, word),
            Report::Adopted(id, server) => {
                let Some(request) = self.request(id) else { return };
                self.count("adopted");
                self.processes[process].engine.adopt(now, request, server, &mut self.effects);
            }
            Report::News(kind, entries) => return self.news(process, kind, entries),
            Report::Belated(kind, entries) => {
                self.processes[process].engine.list(now, kind, entries, &mut self.effects);
            }
            Report::Watching => {
                self.processes[process].unvouched = false;
                self.fact(Fact::Vouched { process });
                self.processes[process].engine.vouched(now, &mut self.effects);
            }
            Report::WatchEnded(since) => {
                // One that has ended was in step until then; one that fell silent was not.
                let end = if since.is_some() { End::Failed } else { End::Closed };
                let since = since.unwrap_or(now);
                self.fact(Fact::Unheard { process, since });
                self.processes[process].unvouched = true;
                if self.fault != Some(Fault::LosesSilence) {
                    self.processes[process].engine.unheard(now, since, end);
                }
                let engine = &mut self.processes[process].engine;
                engine.list(now, ListNews::Broken, Vec::new(), &mut self.effects);
            }
            Report::Heard(from, bytes) => {
                self.reckon(process);
                // Late, repeated and foreign ones change nothing.
                let heard = self.processes[process].engine.hear(now, from, &bytes, &mut self.effects);
                self.count(if heard.is_ok() { "datagrams heard" } else { "datagrams unheard" });
            }
            Report::Cordon(server, out) => {
                let set = &mut self.processes[process].out;
                if out {
                    set.insert(server)
                } else {
                    set.remove(&server)
                };
                self.listed(process, server);
                self.processes[process].engine.cordon(now, server, out, &mut self.effects);
            }
            Report::Judge(keys) => self.processes[process].engine.judge(now, &keys, &mut self.effects),
            Report::Beside(server, share) => {
                self.processes[process].engine.beside(now, server, share, &mut self.effects);
            }
            Report::Leave => {
                let (over, last) = (ms(LEAVES_WITHIN - 400), ms(LEAVES_WITHIN));
                self.processes[process].engine.leave(now, over, last);
            }
            Report::HandOver => {
                let (over, last) = (ms(LEAVES_WITHIN - 400), ms(LEAVES_WITHIN));
                self.processes[process].engine.hand_over(now, over, last, &mut self.effects);
            }
        }
        self.carry_out(process, false);
    }

    fn word(&mut self, process: usize, id: RequestId, word: Word) {
        let now = self.now;
        match word {
            Word::Connected(attempt) => {
                let begins = self.processes[process].engine.may_begin(now, id, attempt, &mut self.effects);
                self.carry_out(process, false);
                if begins {
                    self.command(id, Command::Begin { attempt });
                } else {
                    self.count("late connections not used");
                }
                return;
            }
            Word::Up(attempt) => {
                let up = self.processes[process].engine.established(now, id, attempt, &mut self.effects);
                // As in the driver: before what else follows of it.
                if up {
                    self.command(id, Command::Pass { attempt });
                } else {
                    self.count("up too late");
                }
            }
            Word::Ended(attempt, outcome) => {
                self.fact(Fact::Heard { id, attempt, outcome });
                self.processes[process].engine.ended(now, id, attempt, outcome, &mut self.effects);
            }
            Word::Left => {
                self.fact(Fact::LeftTold { id });
                if self.fault != Some(Fault::LosesWhoLeft) {
                    self.processes[process].engine.client_left(now, id, &mut self.effects);
                }
            }
            Word::Asked => self.processes[process].engine.asked(now, id, true),
            Word::Answered => self.processes[process].engine.answered(now, id),
            Word::Load(load) => self.processes[process].engine.load(now, id, load, &mut self.effects),
        }
        self.carry_out(process, false);
    }

    /// The request as the driver makes it of the client's words.
    fn request(&self, id: RequestId) -> Option<Request> {
        let client = self.clients.get(&id)?;
        let open = &client.front.open;
        let class = CLASSES.iter().position(|it| *it == open.class)?;
        let class = if self.fault == Some(Fault::SwapsClasses) { (class + 1) % CLASSES.len() } else { class };
        let group = open.group.as_ref().map(|it| GroupId(it.len() as u32));
        let tenant = open.tenant.as_ref().map(|_| TenantId(0));
        let time_left = Span::from_micros(client.front.wait().as_micros() as i64);
        Some(Request { id, class: ClassId(class as u32), tenant, group, time_left, load: open.load })
    }

    /// The first time that the module looks at how many servers share the quotas: more are never fewer again.
    fn reckon(&mut self, process: usize) {
        let it = &mut self.processes[process];
        if !std::mem::replace(&mut it.reckoned, true) {
            let ready = |listing: &&Listing| {
                listing.state == ServerState::Ready && !it.out.contains(&listing.server) && !it.unvouched
            };
            let most = it.list.values().filter(ready).count().max(1);
            self.ledger.full = self.ledger.full.max(SHARES / most as f64);
        }
    }

    fn carry_out(&mut self, process: usize, late: bool) {
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                Effect::Attempt { id, attempt, server, timeout } => {
                    if attempt > 0 {
                        self.count("repeats");
                    }
                    self.fact(Fact::Chosen { id, attempt, server, timeout });
                    self.command(id, Command::Attempt { attempt, server, timeout });
                }
                Effect::Close { id, attempt } => {
                    self.fact(Fact::GivenUp { id, attempt, late });
                    self.command(id, Command::Close { attempt });
                }
                Effect::Answer { id, answer } => {
                    self.fact(Fact::Answering { id });
                    if self.fault == Some(Fault::LosesAnswers) && self.chance(0.1) {
                        continue;
                    }
                    let answer = match self.fault {
                        Some(Fault::RefusesAll) => ashtide::engine::Answer::Refused(Span::ZERO),
                        _ => answer,
                    };
                    self.command(id, Command::Answer(answer));
                }
                Effect::Move { id } => {
                    self.count("moved");
                    self.command(id, Command::Move);
                }
                Effect::Hand { id, server } => self.command(id, Command::Hand(server)),
                Effect::Send(datagram) => self.send(process, datagram.to, datagram.bytes()),
                Effect::Probe { .. } | Effect::Subscribe => {}
            }
        }
        // What the engine finds itself is found in plays without a fault of the test's as well.
        let (found, _) = self.processes[process].engine.request_violations();
        if let Some(violation) = found.first().filter(|_| self.fault.is_none()) {
            panic!("the engine's own invariant: {violation}");
        }
        if let Err(violation) = self.processes[process].engine.check() {
            let invariant = super::invariants::Invariant::RightsWithinRule;
            self.broken.get_or_insert(Violation { invariant, what: violation.to_string() });
        }
    }

    /// A datagram to another gateway: late, twice, or never.
    fn send(&mut self, process: usize, to: PeerId, bytes: &[u8]) {
        let from = PeerId(self.processes[process].gateway);
        let mut bytes = bytes.to_vec();
        if let [19, .., flags, _] = &mut bytes[..]
            && self.fault == Some(Fault::ForgesRights)
        {
            *flags |= 1;
        }
        let copies = match self.random(0..20) {
            0 | 1 => 0,
            2 => 2,
            _ => 1,
        };
        self.count(["datagrams lost", "datagrams", "datagrams doubled"][copies]);
        for _ in 0..copies {
            let heirs: Vec<usize> =
                self.live().into_iter().filter(|&at| self.processes[at].gateway == to.0).collect();
            let Some(&process) = heirs.choose(&mut self.rng) else { continue };
            let wait = if self.chance(0.1) { self.random(60..300) } else { self.random(0..25) };
            self.after(wait, Event::Report(process, Report::Heard(from, bytes.clone())));
        }
    }

    fn command(&mut self, id: RequestId, command: Command) {
        let at = self.now + self.crossing();
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.told = client.told.max(at);
        let at = client.told;
        self.at(at, Event::Command(id, command));
    }

    // ---- Discovery --------------------------------------------------------------------------

    fn news(&mut self, process: usize, kind: ListNews, entries: Vec<Listing>) {
        let it = &mut self.processes[process];
        if kind != ListNews::Changes {
            it.list.values_mut().for_each(|listing| listing.state = ServerState::Gone);
        }
        for entry in &entries {
            it.list.insert(entry.server, entry.clone());
        }
        (0..SERVERS).for_each(|server| self.listed(process, ServerId(server)));
        let drains = entries.iter().any(|it| it.state != ServerState::Ready);
        if self.fault == Some(Fault::LateDrains) && drains {
            return self.after(1_500, Event::Report(process, Report::Belated(kind, entries)));
        }
        self.processes[process].engine.list(self.now, kind, entries, &mut self.effects);
        self.carry_out(process, false);
    }

    fn listed(&mut self, process: usize, server: ServerId) {
        let it = &self.processes[process];
        let Some(listing) = it.list.get(&server) else { return };
        let ready = listing.state == ServerState::Ready && !it.out.contains(&server);
        let started = listing.started;
        self.fact(Fact::Listed { process, server, ready, started });
    }

    /// A server's entry has changed: those hear it, late, whose watch is there.
    fn changed(&mut self, server: ServerId) {
        let entry = self.servers[server.0 as usize].clone();
        for process in self.live() {
            if !self.processes[process].watches {
                continue;
            }
            let wait = if self.chance(0.2) { self.random(0..1_500) } else { self.random(0..50) };
            let news = &mut self.processes[process].news;
            *news = (self.now + ms(wait)).max(*news);
            let at = *news;
            self.at(at, Event::Report(process, Report::News(ListNews::Changes, vec![entry.clone()])));
        }
    }

    fn whole(&self) -> Vec<Listing> {
        self.servers.iter().filter(|it| it.state != ServerState::Gone).cloned().collect()
    }

    fn watch_ends(&mut self, process: usize, since: Option<Time>) {
        self.processes[process].watches = false;
        self.tell(process, Report::WatchEnded(since));
        let wait = if self.chance(0.3) { self.random(2_000..7_000) } else { self.random(0..800) };
        self.after(wait, Event::WatchAgain(process));
    }

    /// Discovery answers: with the whole list, with changes, or with nothing if there are none.
    fn watch_again(&mut self, process: usize) {
        let it = &mut self.processes[process];
        if it.dead {
            return;
        }
        it.watches = true;
        let first = it.list.is_empty();
        let (kind, entries) = match first || self.chance(0.5) {
            true => (ListNews::Whole, self.whole()),
            false => (ListNews::Changes, self.servers.clone()),
        };
        self.tell(process, Report::News(kind, entries));
        self.processes[process].news = self.processes[process].heard;
        self.tell(process, Report::Watching);
    }

    // ---- Troubles ---------------------------------------------------------------------------

    fn trouble(&mut self) {
        if self.now >= self.ends {
            return;
        }
        let wait = self.random(20..400);
        self.after(wait, Event::Trouble);
        let live = self.live();
        let (Some(&process), server) = (live.choose(&mut self.rng), self.rng.random_range(0..SERVERS)) else {
            return;
        };
        let at = server as usize;
        match self.random(0..30) {
            0..=3 => self.turn(at, ServerState::Draining, false),
            4 | 5 => self.turn(at, ServerState::Gone, false),
            6..=10 => self.turn(at, ServerState::Ready, true),
            11 => self.turn(at, ServerState::Ready, false),
            12 => {
                // A whole list that lacks a server, and later one that has it.
                let mut lacks = self.whole();
                lacks.retain(|it| it.server.0 != server);
                self.count("lists that lack a server");
                self.tell(process, Report::News(ListNews::Whole, lacks));
                let wait = self.random(5..1_500);
                self.after(wait, Event::WatchAgain(process));
            }
            13 | 14 if self.processes[process].watches => {
                self.count("broken watches");
                self.watch_ends(process, None);
            }
            15..=17 if self.processes[process].watches => {
                // Found silent some seconds later, while it told nothing.
                self.count("silent watches");
                self.processes[process].watches = false;
                let wait = self.random(2_200..5_500);
                self.after(wait, Event::WatchEnds(process, Some(self.now)));
            }
            18 | 19 => {
                self.count("cordons");
                let out = self.chance(0.5);
                self.tell(process, Report::Cordon(ServerId(server), out));
            }
            20 => {
                let keys = self
                    .servers
                    .iter()
                    .map(|it| it.key)
                    .filter(|key| (key >> 7) % 3 == u32::from(server % 3 == 0));
                let keys = keys.take((server % 3) as usize).collect();
                self.tell(process, Report::Judge(keys));
            }
            21 if live.len() > 1 => {
                self.count("crashes");
                self.dead(process);
            }
            22 if self.processes[process].leaves.is_none() => self.leave(process, false),
            23 | 24 if self.processes[process].leaves.is_none() => self.leave(process, true),
            25 | 26 => {
                self.count("hung servers");
                self.hung[at] = self.now + ms(self.rng.random_range(500..4_000));
            }
            _ => {
                for _ in 0..self.random(3..25) {
                    self.ask();
                }
            }
        }
    }

    fn turn(&mut self, at: usize, state: ServerState, anew: bool) {
        // Some are left to serve.
        let ready = self.servers.iter().filter(|it| it.state == ServerState::Ready).count();
        if state != ServerState::Ready && ready < 3 {
            return;
        }
        self.count(match (state, anew) {
            (ServerState::Draining, _) => "drains",
            (ServerState::Gone, _) => "gone",
            (ServerState::Ready, true) => "back anew",
            (ServerState::Ready, false) => "back",
        });
        let it = &mut self.servers[at];
        it.state = state;
        if anew {
            it.started = Some(self.now);
        }
        self.changed(ServerId(at as u32));
    }

    fn leave(&mut self, process: usize, heir: bool) {
        self.processes[process].leaves = Some(self.now);
        if heir {
            self.count("handovers");
            let (gateway, list) = (self.processes[process].gateway, self.processes[process].list.clone());
            let heir = self.start(gateway, Some(list.into_values().collect()));
            self.tell(process, Report::HandOver);
            self.after(100, Event::TellBeside(process, heir));
            self.after(150, Event::TellBeside(heir, process));
        } else {
            self.count("leaves");
            self.tell(process, Report::Leave);
        }
        self.after(LEAVES_WITHIN, Event::End(process));
    }

    // ---- Clients ----------------------------------------------------------------------------

    fn client(&mut self) {
        if self.now < self.ends {
            let wait = self.random(0..self.pace);
            self.after(wait, Event::Client);
            self.ask();
        }
    }

    /// A client says what it wants to some gateway; some also come to one that leaves.
    fn ask(&mut self) {
        let gateway = self.rng.random_range(0..self.gateways);
        let here: Vec<usize> =
            self.live().into_iter().filter(|&at| self.processes[at].gateway == gateway).collect();
        let Some(&process) = here.choose(&mut self.rng) else { return };
        if let Some(since) = self.processes[process].leaves {
            let passed = self.now.since(since);
            if passed > ms(400) && !self.chance(0.1) {
                return;
            }
            // Its listener is closed before its last answers are written (`src/net/listen.rs`).
            if passed >= ms(LEAVES_WITHIN) {
                return;
            }
        }
        self.ids += 1;
        let id = RequestId(self.ids);
        let class = self.rng.random_range(0..CLASSES.len());
        let wait = self.random(300..2_400);
        let group = if self.chance(0.3) {
            format!(",g={}", "x".repeat(self.rng.random_range(1..5)))
        } else {
            String::new()
        };
        let line = format!("OPEN id{} key c={},t=acme,d={wait}{group}\r\n", id.0, CLASSES[class]);
        let front = Front::new(line.into(), self.fault).expect("a line in the protocol's form");
        self.clients.insert(id, Client { process, class, front, told: self.now });
        self.fact(Fact::Asked { id, class, process, time_left: ms(wait) });
        self.tell(process, Report::Request(id));
        match self.random(0..20) {
            0..=2 => {
                let wait = self.random(0..wait + 50);
                self.after(wait, Event::Leaves(id));
            }
            3 => {
                let wait = self.random(0..wait);
                let line: &[u8] = if self.chance(0.5) { b"OPEN again\r\n" } else { b"early\r\n" };
                self.after(wait, Event::Says(id, line));
            }
            _ => {}
        }
    }

    fn leaves(&mut self, id: RequestId) {
        let Some(client) = self.clients.get(&id) else { return };
        if client.front.is_over() {
            return;
        }
        if !client.front.stands() {
            self.count("clients left");
            self.fact(Fact::Left { id });
        }
        self.moves(id, Front::leaves);
    }

    fn moves(&mut self, id: RequestId, act: impl FnOnce(&mut Front, &mut Vec<Move>)) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let (process, mut moves) = (client.process, Vec::new());
        act(&mut client.front, &mut moves);
        for it in moves {
            self.carry(process, id, it);
        }
    }

    fn carry(&mut self, process: usize, id: RequestId, it: Move) {
        match it {
            Move::Tell(word) => {
                if let Word::Ended(_, outcome) = word {
                    self.count(match outcome {
                        Outcome::ConnectError => "connect errors",
                        Outcome::Reset => "resets",
                        Outcome::QueueFull => "turned away",
                        Outcome::Failed => "errors",
                        _ => "other ends",
                    });
                }
                self.tell(process, Report::Word(id, word));
            }
            Move::Dial(attempt, server) => self.dial(id, attempt, server),
            Move::FirstByte(attempt) => {
                self.fact(Fact::FirstByte { id, attempt });
                let slow = if self.chance(0.2) { self.random(0..60) } else { 0 };
                if slow > 0 && self.chance(0.4) {
                    self.after(slow, Event::Wire(id, attempt, Wire::Broken));
                } else {
                    self.after(slow, Event::Wire(id, attempt, Wire::Written));
                }
            }
            Move::LastByte(attempt) => {
                self.fact(Fact::LastByte { id, attempt });
                self.serve(id, attempt);
            }
            Move::Close(attempt, outcome) => self.fact(Fact::Closed { id, attempt, outcome }),
            Move::Final(answer) => {
                self.count(match answer {
                    super::invariants::Final::Served => "served",
                    super::invariants::Final::Refused => "refused",
                    super::invariants::Final::Failed => "failed",
                });
                self.fact(Fact::Answered { id, answer });
            }
            Move::Stands(attempt) => self.stands(id, attempt),
            Move::Hand(server) => self.hand(process, id, server),
            Move::Over => _ = self.clients.remove(&id),
        }
    }

    fn hand(&mut self, process: usize, id: RequestId, server: ServerId) {
        let Some(heir) = self.current(self.processes[process].gateway).filter(|&it| it != process) else {
            return;
        };
        let Some(client) = self.clients.get(&id) else { return };
        let (open, class) = (client.front.open.clone(), client.class);
        self.count("handed");
        self.ids += 1;
        let adopted = RequestId(self.ids);
        let front = Front::standing(open, server, self.fault);
        self.clients.insert(adopted, Client { process: heir, class, front, told: self.now });
        self.tell(heir, Report::Adopted(adopted, server));
        self.stands(adopted, 0);
    }

    // ---- Servers and the network between ----------------------------------------------------

    fn dial(&mut self, id: RequestId, attempt: u32, server: ServerId) {
        let state = self.servers[server.0 as usize].state;
        let wait = match self.random(0..10) {
            0 => self.random(0..LATE),
            1 => self.random(0..300),
            _ => self.random(0..2) * TICK,
        };
        if state == ServerState::Gone || self.chance(0.05) {
            return self.after(wait, Event::Wire(id, attempt, Wire::Refused));
        }
        if wait > 300 {
            self.count("late connections");
        }
        self.after(wait, Event::Wire(id, attempt, Wire::Connected));
        if self.chance(0.04) {
            let wait = self.random(0..wait + 40);
            self.after(wait, Event::Wire(id, attempt, Wire::Broken));
        }
    }

    /// What a server does with a line that it has whole.
    fn serve(&mut self, id: RequestId, attempt: u32) {
        let Some((_, server)) = self.clients.get(&id).and_then(|it| it.front.dials()) else { return };
        let at = server.0 as usize;
        if self.hung[at] > self.now {
            return;
        }
        let kind = match self.servers[at].state {
            ServerState::Ready => self.random(0..100),
            ServerState::Draining => self.random(55..90),
            ServerState::Gone => 85,
        };
        let wait = match self.random(0..10) {
            0 => self.random(0..1_200),
            1..=3 => self.random(0..200),
            _ => self.random(0..4) * TICK,
        };
        let line: &'static [u8] = match kind {
            0..=59 => b"UP 7c1\r\n",
            60..=71 => b"BUSY 200\r\n",
            72..=79 => b"ERR\r\n",
            80..=82 => b"MOVE\r\n",
            83..=91 => return self.after(wait, Event::Wire(id, attempt, Wire::Broken)),
            92..=95 => b"UPP \r\n",
            _ => return,
        };
        self.after(wait, Event::Wire(id, attempt, Wire::Line(line.into())));
        if self.chance(0.1) {
            self.count("second answers");
            let line = [&b"UP 9\r\n"[..], b"BUSY\r\n", b"ERR\r\n"].choose(&mut self.rng).copied();
            let wait = wait + self.random(0..25);
            self.after(wait, Event::Wire(id, attempt, Wire::Line(line.unwrap_or_default().into())));
        }
    }

    fn wire(&mut self, id: RequestId, attempt: u32, what: Wire) {
        let Some(client) = self.clients.get(&id) else { return };
        // A line waits in the socket until it is read.
        if matches!(what, Wire::Line(_))
            && client.front.dials().is_some_and(|it| it.0 == attempt)
            && !client.front.reads()
        {
            return self.after(TICK, Event::Wire(id, attempt, what));
        }
        self.moves(id, |front, moves| front.wire(attempt, what, moves));
    }

    /// What is said on a connection that stands, and how it ends.
    fn stands(&mut self, id: RequestId, attempt: u32) {
        let hung = self.chance(0.1);
        for _ in 0..self.random(0..3) {
            let wait = self.random(0..2_500);
            self.after(wait, Event::Says(id, b"reading 17\r\n"));
            if !hung {
                let line: &[u8] = if self.chance(0.3) { b"LOAD 1200\r\n" } else { b"ok\r\n" };
                self.after(wait + 5, Event::Wire(id, attempt, Wire::Line(line.into())));
            }
        }
        let wait = self.random(50..6_000);
        match self.random(0..10) {
            0..=3 => self.after(wait, Event::Leaves(id)),
            4 => self.after(wait, Event::Wire(id, attempt, Wire::Line(b"BYE\r\n"[..].into()))),
            5 => self.after(wait, Event::Wire(id, attempt, Wire::Line(b"MOVE\r\n"[..].into()))),
            6 | 7 => self.after(wait, Event::Wire(id, attempt, Wire::Broken)),
            _ => {}
        }
    }
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_micros().unsigned_abs())
}
