//! What the gateways of a tier share, in the daemon: its settings, what is fed in, what comes of it and what is shown.
//! The cores are `ashtide_fleet::state`. Knows no socket and no clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ashtide_fleet::Unheard;
use ashtide_fleet::state::{Exchange, Key, Kind, MAX_CELLS, Reading, Rules, Setup, Slot, Terms, Violation};
use serde_json::{Value, json};
use toml::Value as Toml;

use crate::figures::PREFIX;
use crate::interface::{Outcome, ServerId, Span, Time};
use crate::quic::placing::server_key;
use crate::view::{ViewError, address, wrong};

/// Gateways that a list may name.
pub const MAX_GATEWAYS: usize = 8192;
/// Servers and tenants whose counts are shown at the door.
pub const MAX_SHOWN: usize = 128;
/// Names that are remembered for what is shown.
const MAX_NAMES: usize = 8192;
/// How often time is to pass for it.
pub const TICK: Duration = Duration::from_millis(50);
/// What attempts came to is evidence for so long.
const SEEN_FOR: Span = Span::from_micros(10_000_000);
/// Thousandths of a server that a size of one is.
const THOUSAND: f64 = 1_000.0;

const GATEWAYS: &str = "All gateways that may be there, by what others know them by, in one order everywhere. Without \
                        it: the configuration's 'peers', at the port of 'listen'.";
const DATAGRAMS: &str = "Datagrams a second that this gateway sends of it at most, beside the view's.";
const CHECK: &str = "Whether all of it is held against its invariants four times a second.";
const JUDGEMENTS: &str = "What gateways see of servers: not told, told and shown, or used as well.";
const COUNTS: &str = "Whether open connections by server and tenant are counted over all gateways.";

/// What becomes of judgements on servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Judging {
    /// Nothing is told.
    Off,
    /// What is seen is told; what follows is shown.
    Tell,
    /// Servers that are out by judgement get nothing new.
    Use,
}

/// The table `state` of the view's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// All gateways that may be there; none where the file leaves that to the configuration.
    pub gateways: Option<Vec<SocketAddr>>,
    /// Datagrams a second at most.
    pub datagrams: u32,
    /// Whether invariants are checked at each look.
    pub check: bool,
    /// What becomes of judgements.
    pub judgements: Judging,
    /// Whether connections are counted.
    pub counts: bool,
}

const RATE: (&str, u32, u32, u32) = ("datagrams_per_s", 4, 1000, 24);
const JUDGING: [(&str, Judging); 3] = [("off", Judging::Off), ("tell", Judging::Tell), ("use", Judging::Use)];
const CHECKING: [(&str, bool); 2] = [("off", false), ("log", true)];

fn one_of<T: Copy>(key: &str, value: Option<&Toml>, all: &[(&str, T)], usual: T) -> Result<T, ViewError> {
    let Some(value) = value else { return Ok(usual) };
    let found = all.iter().find(|it| value.as_str() == Some(it.0)).map(|it| it.1);
    let names: Vec<&str> = all.iter().map(|it| it.0).collect();
    found.ok_or_else(|| wrong(&format!("state.{key}"), value, format_args!("one of {}", names.join(", "))))
}

impl Settings {
    /// Checks the table.
    ///
    /// # Errors
    ///
    /// Says which key is at fault.
    pub fn parse(table: &Toml) -> Result<Self, ViewError> {
        const KEYS: [&str; 5] = ["gateways", "datagrams_per_s", "check", "judgements", "counts"];
        let table = table.as_table().ok_or_else(|| wrong("state", table, "a table"))?;
        if let Some(key) = table.keys().find(|key| !KEYS.contains(&key.as_str())) {
            return Err(wrong(&format!("state.{key}"), "an unknown key", KEYS.join(", ")));
        }
        let gateways = table.get("gateways").map(|value| {
            let expected =
                || wrong("state.gateways", value, format_args!("a list of 1 to {MAX_GATEWAYS} addresses"));
            let each =
                value.as_array().filter(|it| (1..=MAX_GATEWAYS).contains(&it.len())).ok_or_else(expected)?;
            each.iter().map(|it| address("state.gateways", it)).collect::<Result<Vec<_>, _>>()
        });
        let (rate, least, most, usual) = RATE;
        let datagrams = table.get(rate).map_or(Ok(usual), |value| {
            let told = value.as_integer().and_then(|it| u32::try_from(it).ok());
            let expected = format!("a whole number from {least} to {most}");
            told.filter(|it| (least..=most).contains(it))
                .ok_or_else(|| wrong(&format!("state.{rate}"), value, expected))
        })?;
        let counts = table.get("counts").map_or(Ok(true), |value| {
            value.as_bool().ok_or_else(|| wrong("state.counts", value, "true or false"))
        })?;
        Ok(Self {
            gateways: gateways.transpose()?,
            datagrams,
            check: one_of("check", table.get("check"), &CHECKING, false)?,
            judgements: one_of("judgements", table.get("judgements"), &JUDGING, Judging::Tell)?,
            counts,
        })
    }
}

/// The JSON Schema of the table.
pub fn schema() -> Value {
    let (rate, least, most, usual) = RATE;
    let names = |all: Vec<&'static str>| json!(all);
    json!({
        "type": "object", "additionalProperties": false,
        "description": "What the gateways share beside the view. Without the table: nothing.",
        "properties": {
            "gateways": {"type": "array", "items": {"type": "string"}, "minItems": 1, "maxItems": MAX_GATEWAYS,
                         "description": GATEWAYS},
            rate: {"type": "integer", "minimum": least, "maximum": most, "default": usual,
                   "description": DATAGRAMS},
            "check": {"enum": names(CHECKING.iter().map(|it| it.0).collect()), "default": "off",
                      "description": CHECK},
            "judgements": {"enum": names(JUDGING.iter().map(|it| it.0).collect()), "default": "tell",
                           "description": JUDGEMENTS},
            "counts": {"type": "boolean", "default": true, "description": COUNTS},
        },
    })
}

/// All gateways that may be there, by slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slots {
    gateways: Vec<SocketAddr>,
    places: BTreeMap<SocketAddr, Slot>,
    own: Slot,
}

impl Slots {
    /// The slots of this list, of which the gateway at `own` has one.
    ///
    /// # Errors
    ///
    /// Fails where it has none, or an address is there twice.
    pub fn new(gateways: Vec<SocketAddr>, own: SocketAddr) -> Result<Self, ViewError> {
        let key = "state.gateways";
        if gateways.len() > MAX_GATEWAYS {
            return Err(wrong(
                key,
                format_args!("{} addresses", gateways.len()),
                format_args!("at most {MAX_GATEWAYS}"),
            ));
        }
        let mut places = BTreeMap::new();
        for (number, &gateway) in gateways.iter().enumerate() {
            // At most MAX_GATEWAYS.
            if places.insert(gateway, Slot(number as u16)).is_some() {
                return Err(wrong(key, format_args!("{gateway} twice"), "each gateway once"));
            }
        }
        let expected = "a list that names this gateway, or 'peers' in the configuration that do";
        let own = places.get(&own).copied().ok_or_else(|| wrong(key, format_args!("no {own}"), expected))?;
        Ok(Self { gateways, places, own })
    }

    /// How many.
    pub fn len(&self) -> u16 {
        self.gateways.len() as u16
    }

    /// Never.
    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }

    /// This gateway's.
    pub fn own(&self) -> Slot {
        self.own
    }

    /// Who is known by this address.
    pub fn of(&self, address: SocketAddr) -> Option<Slot> {
        self.places.get(&address).copied()
    }
}

/// How a name of a server or tenant is told.
pub fn key_of(name: &str) -> u32 {
    u32::from_be_bytes(server_key(name))
}

// ---- What this gateway sees -----------------------------------------------------------------------------------

/// Kinds of evidence that attempts give.
pub const SEEN: [Kind; 3] = [Kind::Failing, Kind::Silent, Kind::Overrun];

/// Of these, what takes a server out of use. One that is overrun sheds by itself what it cannot bear; without it the
/// others are overrun next.
const ACTS: [Kind; 2] = [Kind::Failing, Kind::Silent];

/// Attempts at one server, and on how many of them each of [`SEEN`] was seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sight {
    /// Attempts.
    pub of: u32,
    /// Those on which it was seen.
    pub seen: [u32; SEEN.len()],
}

impl Sight {
    /// Whether all went well, of some.
    fn well(&self) -> bool {
        self.of > 0 && self.seen == [0; SEEN.len()]
    }

    fn add(&mut self, other: Self) {
        self.of += other.of;
        self.seen.iter_mut().zip(other.seen).for_each(|(seen, more)| *seen += more);
    }
}

/// What this gateway's own attempts came to since a server last did well, over the last `SEEN_FOR`.
///
/// The module sets a server that fails aside at once and tries it every second or two, so what failed is few beside what
/// went well before; one that does well again is believed at the first attempt.
#[derive(Debug, Clone, Default)]
pub struct Witness {
    servers: BTreeMap<ServerId, Lately>,
}

#[derive(Debug, Clone, Default)]
struct Lately {
    /// Since the last look.
    latest: Sight,
    earlier: VecDeque<(Time, Sight)>,
}

impl Witness {
    /// An attempt went well, or showed this.
    pub fn saw(&mut self, server: ServerId, kind: Option<Kind>) {
        let lately = self.servers.entry(server).or_default();
        let at = SEEN.iter().position(|&it| Some(it) == kind);
        if at.is_none() || lately.latest.well() {
            *lately = Lately::default();
        }
        if at.is_some() && lately.earlier.iter().any(|it| it.1.well()) {
            lately.earlier.clear();
        }
        lately.latest.of += 1;
        if let Some(at) = at {
            lately.latest.seen[at] += 1;
        }
    }

    /// An attempt, or a connection that stood, has ended like this. What says nothing of the server is passed over.
    pub fn ended(&mut self, server: ServerId, established: bool, outcome: Outcome) {
        let kind = match outcome {
            Outcome::Failed | Outcome::ConnectError | Outcome::Reset => Kind::Failing,
            Outcome::TimedOut => Kind::Silent,
            Outcome::QueueFull if !established => Kind::Overrun,
            Outcome::QueueFull
            | Outcome::Ok
            | Outcome::Cancelled
            | Outcome::Ignored
            | Outcome::LocalFailure => return,
        };
        self.saw(server, Some(kind));
    }

    /// What was seen lately of those servers of which there is something new.
    pub fn look(&mut self, now: Time) -> Vec<(ServerId, Sight)> {
        let mut news = Vec::new();
        self.servers.retain(|&server, Lately { latest, earlier }| {
            let new = *latest != Sight::default();
            if new {
                earlier.push_back((now, std::mem::take(latest)));
            }
            while earlier.front().is_some_and(|it| now.since(it.0) >= SEEN_FOR) {
                earlier.pop_front();
            }
            if new {
                let mut sum = Sight::default();
                earlier.iter().for_each(|it| sum.add(it.1));
                news.push((server, sum));
            }
            !earlier.is_empty()
        });
        news
    }
}

// ---- All of it ------------------------------------------------------------------------------------------------

/// A server of the list.
#[derive(Debug, Clone, Copy)]
pub struct Watched<'a> {
    /// How its name is told.
    pub key: u32,
    /// Its name.
    pub name: &'a str,
    /// Its size, by the list.
    pub size: f64,
    /// Whether it is ready by the list and by operators.
    pub ready: bool,
    /// Open connections of this gateway on it.
    pub open: u32,
}

/// What the gateway sees at one moment.
#[derive(Debug, Clone, Default)]
pub struct Look<'a> {
    /// The servers on the list.
    pub servers: Vec<Watched<'a>>,
    /// Open connections of each tenant here.
    pub tenants: Vec<(&'a str, u32)>,
    /// What was seen lately of servers of which there is something new.
    pub sights: Vec<(u32, Sight)>,
}

/// What follows of a look.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Judged {
    /// Servers, by key, that are to get nothing new.
    pub out: BTreeSet<u32>,
    /// What has changed, for the log.
    pub lines: Vec<String>,
    /// A broken invariant.
    pub broken: Option<Violation>,
}

/// What has been counted, and what was so at the last look.
#[derive(Debug, Default)]
struct Figures {
    heard: u64,
    outdone: u64,
    checks: u64,
    check_time: Duration,
    broken: u64,
    ready: u64,
    out: u64,
}

/// This gateway's part of what is shared.
pub struct Hub {
    settings: Settings,
    slots: Slots,
    /// The life by the view, and by what is told here: the later, where counts were forgotten.
    life: u64,
    generation: u64,
    exchange: Exchange,
    names: BTreeMap<Key, String>,
    /// Own counts that have been told.
    counted: BTreeSet<Key>,
    /// Servers that are out by judgement, used or not.
    judged: BTreeMap<u32, Kind>,
    started: bool,
    left: bool,
    figures: Figures,
}

impl Hub {
    /// Of the gateway of these slots in the life `generation`. `seed` feeds its random choices.
    pub fn new(
        settings: Settings,
        tier: u32,
        slots: Slots,
        generation: u64,
        seed: u64,
        now: Duration,
    ) -> Self {
        let (terms, rules) = (Terms::default(), Rules { acts: &ACTS, ..Rules::default() });
        let setup = Setup { tier, slots: slots.len(), datagrams: settings.datagrams, terms, rules };
        let exchange = Exchange::new(setup, slots.own(), generation, seed, now);
        Self {
            settings,
            slots,
            life: generation,
            generation,
            exchange,
            names: BTreeMap::new(),
            counted: BTreeSet::new(),
            judged: BTreeMap::new(),
            started: false,
            left: false,
            figures: Figures::default(),
        }
    }

    /// The cores: budgets are added, wanted and spent here.
    pub fn exchange(&mut self) -> &mut Exchange {
        &mut self.exchange
    }

    /// All gateways that may be there.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// The view holds these to be there.
    pub fn peers(&mut self, peers: impl IntoIterator<Item = SocketAddr>) {
        let slots = &self.slots;
        self.exchange.set_peers(peers.into_iter().filter_map(|peer| slots.of(peer)));
    }

    /// The view goes on in this life. The next number is the same life again, held dead by mistake; a later one follows
    /// on a life of another process, or of one that ended, which the others know of.
    pub fn lives_on(&mut self, generation: u64) -> Option<String> {
        let outdone = generation > self.life.saturating_add(1);
        self.life = generation;
        outdone.then(|| {
            self.generation = generation.max(self.generation + 1);
            self.figures.outdone += 1;
            self.exchange.outdone(self.generation);
            format!("state: outdone generation={generation}; lends nothing for a lease")
        })
    }

    /// This process leaves, and its address goes to the next: what is its own by the list is the next one's.
    pub fn leave(&mut self) {
        self.left = true;
        self.exchange.stand_down();
        self.exchange.set_peers([]);
    }

    /// Lets time pass.
    pub fn at(&mut self, now: Duration) {
        self.exchange.at(now);
    }

    /// Takes in a datagram.
    ///
    /// # Errors
    ///
    /// Says why it is not heard; it is counted, and has changed nothing.
    pub fn hear(&mut self, from: SocketAddr, datagram: &[u8]) -> Result<(), Unheard> {
        self.exchange.receive_from(self.slots.of(from), datagram)?;
        self.figures.heard += 1;
        Ok(())
    }

    /// The next datagram to be sent, and where to.
    pub fn transmit(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let (to, datagram) = self.exchange.transmit()?;
        Some((*self.slots.gateways.get(usize::from(to.0))?, datagram))
    }

    /// Takes in what the gateway sees now; what follows of it.
    pub fn look(&mut self, now: Duration, look: &Look) -> Judged {
        self.exchange.at(now);
        let servers = look.servers.iter().map(|it| (Key::OpenAt(it.key), (it.open, it.name)));
        let tenants = look.tenants.iter().map(|it| (Key::OpenFor(key_of(it.0)), (it.1, it.0)));
        let open: BTreeMap<Key, (u32, &str)> = servers.chain(tenants).take(MAX_NAMES).collect();
        self.names.retain(|key, _| open.contains_key(key));
        for (&key, &(_, name)) in &open {
            self.names.entry(key).or_insert_with(|| name.to_owned());
        }
        if self.settings.counts && !self.left {
            self.count(&open);
        }
        let mut judged = Judged::default();
        if self.exchange.started() && !self.started {
            self.started = true;
            judged.lines.push(format!("state: started peers={}", self.exchange.peers().len()));
        }
        let ready: Vec<(u32, u64)> = look
            .servers
            .iter()
            .filter(|it| it.ready)
            .map(|it| (it.key, (it.size.clamp(0.001, 1e6) * THOUSAND) as u64))
            .collect();
        if self.settings.judgements != Judging::Off {
            self.witness(now, look);
            self.judge(&ready, &mut judged);
        }
        if self.settings.check {
            let began = Instant::now();
            judged.broken = self.exchange.check(&ready).err();
            self.figures.check_time += began.elapsed();
            self.figures.checks += 1;
            self.figures.broken += u64::from(judged.broken.is_some());
        }
        judged
    }

    fn count(&mut self, open: &BTreeMap<Key, (u32, &str)>) {
        // Nought is said of what was more before, and of nothing else.
        let some = |key: &Key| open.get(key).is_some_and(|it| it.0 > 0);
        self.counted.extend(open.keys().filter(|&key| some(key)));
        let used = self.counted.iter().filter(|&key| some(key)).count();
        // Servers come and go: a row that is mostly of those that went makes room.
        if self.counted.len() > MAX_CELLS / 2 && used < self.counted.len() / 2 {
            self.counted.retain(some);
            self.generation += 1;
            self.exchange.forget(self.generation);
        }
        for key in &self.counted {
            self.exchange.count(*key, open.get(key).map_or(0, |it| it.0));
        }
    }

    /// Tells what was seen: what speaks against a server, and of one that somebody speaks against, what went well too.
    fn witness(&mut self, now: Duration, look: &Look) {
        let judgements = self.exchange.judgements();
        for &(server, sight) in &look.sights {
            for (kind, seen) in SEEN.into_iter().zip(sight.seen) {
                if seen > 0 || judgements.accused(server, kind) {
                    let least = |count: u32| count.min(u32::from(u16::MAX)) as u16;
                    judgements.saw(now, server, kind, least(seen), least(sight.of));
                }
            }
        }
    }

    fn judge(&mut self, ready: &[(u32, u64)], judged: &mut Judged) {
        let used = self.settings.judgements == Judging::Use && self.started && !self.left;
        let now: BTreeMap<u32, Kind> = self.exchange.judgements().decide(ready).into_iter().collect();
        let judgements = self.exchange.judged();
        let capacity = |server: u32| ready.iter().filter(|it| it.0 == server).map(|it| it.1).sum::<u64>();
        self.figures.ready = ready.iter().map(|it| it.1).sum();
        self.figures.out = now.keys().map(|&it| capacity(it)).sum();
        let name = |server: u32| match self.names.get(&Key::OpenAt(server)) {
            Some(name) => name.clone(),
            None => format!("{server:#010x}"),
        };
        for (&server, &kind) in now.iter().filter(|it| !self.judged.contains_key(it.0)) {
            let against = judgements.against(server, kind);
            let (name, word) = (name(server), word(kind));
            judged.lines.push(format!("state: server={name} judged={word} against={against} used={used}"));
        }
        for &server in self.judged.keys().filter(|it| !now.contains_key(it)) {
            judged.lines.push(format!("state: server={} judged=no", name(server)));
        }
        if used {
            judged.out = now.keys().copied().collect();
        }
        self.judged = now;
    }

    /// Asks for the counts that [`text`](Self::text) shows and that are kept elsewhere.
    pub fn ask(&mut self) {
        self.readings();
    }

    fn readings(&mut self) -> Vec<(Key, Option<Reading>)> {
        let shown: Vec<Key> = self.names.keys().copied().take(MAX_SHOWN).collect();
        shown.into_iter().map(|key| (key, self.exchange.read(key))).collect()
    }

    /// What is known, as the door tells it.
    pub fn text(&mut self) -> String {
        let started = if self.exchange.started() { "yes" } else { "no" };
        let mut text = format!(
            "self slot={} slots={} generation={} started={started} peers={}\n",
            self.slots.own().0,
            self.slots.len(),
            self.generation,
            self.exchange.peers().len()
        );
        for (key, reading) in self.readings() {
            let own = self.exchange.counts().own().cells.get(&key).map_or(0, |cell| cell.value);
            let name = self.names.get(&key).map_or("", String::as_str);
            let (what, server) = match key {
                Key::OpenAt(server) => ("server", Some(server)),
                Key::OpenFor(_) | Key::SentTo(_) => ("tenant", None),
            };
            let _ = write!(text, "{what} {name} own={own}");
            let _ = match reading {
                Some(Reading { sum, gateways, oldest }) => {
                    write!(text, " open={sum} gateways={gateways} age_ms={}", oldest.as_millis())
                }
                None => write!(text, " open=unheard"),
            };
            if let Some((server, &kind)) = server.and_then(|it| Some((it, self.judged.get(&it)?))) {
                let against = self.exchange.judged().against(server, kind);
                let _ = write!(text, " judged={} against={against}", word(kind));
            }
            text.push('\n');
        }
        for (id, budget) in self.exchange.budgets() {
            let (escrow, taken) = (budget.escrow(), budget.taken());
            let (rights, lent, held) = (escrow.rights(), escrow.lent(), escrow.held());
            let _ = writeln!(text, "budget {id:#010x} rights={rights} lent={lent} held={held} taken={taken}");
        }
        text
    }

    /// The figures, one a line.
    pub fn figures(&self) -> String {
        let mut text = String::new();
        let traffic = self.exchange.traffic();
        for (why, count) in &traffic.unheard {
            let why = format!("{why:?}").to_lowercase();
            let _ = writeln!(text, "{PREFIX}_state_unheard_datagrams_total{{reason=\"{why}\"}} {count}");
        }
        let it = &self.figures;
        let most = it.ready * Rules::default().most_out / 1_000;
        let figures = [
            ("peers", self.exchange.peers().len() as u64),
            ("started", u64::from(self.started)),
            ("judged_servers", self.judged.len() as u64),
            ("ready_capacity", it.ready),
            ("judged_capacity", it.out),
            ("most_judged_capacity", most),
            ("sent_datagrams_total", traffic.sent.0),
            ("sent_bytes_total", traffic.sent.1),
            ("heard_datagrams_total", it.heard),
            ("dropped_items_total", traffic.dropped),
            ("outdone_total", it.outdone),
            ("checks_total", it.checks),
            ("check_us_total", it.check_time.as_micros() as u64),
            ("violations_total", it.broken),
        ];
        for (name, value) in figures {
            let _ = writeln!(text, "{PREFIX}_state_{name} {value}");
        }
        text
    }
}

fn word(kind: Kind) -> &'static str {
    match kind {
        Kind::Failing => "failing",
        Kind::Silent => "silent",
        Kind::Overrun => "overrun",
        Kind::Slow => "slow",
    }
}
