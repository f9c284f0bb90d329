//! From the registers of all gateways to a weight for each server.
//!
//! What a server bears, in load, is what it holds and what it has free: `L + w x`, with `L` the load held of all
//! gateways, `x` the rate at which it serves one set-up (a processor shared by all serves a job of work `w` in
//! `w / (c - L)` on average: M/G/1-PS, Kleinrock 1967), and `w` the work of a set-up. So a server given less holds
//! less and is free for as much more: what it was given cancels. `w` is not told: it is what makes the whole fleet's
//! throughput the list's. Where the list says too much, `w` is too large, and who was given less looks faster, so
//! what error is left drives loads together and not apart.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::options::{Options, Unusable};
use crate::pooling::{Pooled, Row, pool};
use crate::register::{Entry, GatewayId, Life, MAX_SERVERS, Registers, Said, ServerKey, Unheard};
use crate::robust::{median, weighted_median};
use crate::violation::{Broken, Violation};

/// Where no unit is known, the fleet is taken to be in use by this part.
const USED: f64 = 0.5;
/// At least this part of the list's throughput is taken to be free: more where servers are overrun is an error.
const LEAST_FREE: f64 = 0.25;
/// A gateway's set-ups, all servers together, count at most this many times those of the median gateway...
const SETUPS_OVER: f64 = 2.0;
/// ...and at least so many do.
const SETUPS_LEAST: f64 = 4.0;
/// Of one server, this many times what the median gateway would have of each, and at least one.
const SETUPS_ONE: f64 = 3.0;
/// A gateway's load, all servers together, against that of the median gateway...
const LOAD_OVER: f64 = 1.5;
/// ...and of one server, against the median gateway's mean; or so many usual connections.
const LOAD_ONE: f64 = 6.0;
const LOAD_CONNECTIONS: f64 = 6.0;
/// A gateway whose words on what servers bear are off the others' by so many times what is usual is passed over...
const DISCREDIT: f64 = 2.5;
/// ...if it speaks of so many servers; and no more than this part of the gateways.
const DISCREDIT_SERVERS: usize = 5;
const DISCREDIT_PART: f64 = 0.25;
/// Spread of one set-up's rate (logarithm): least, before any is known, most.
const NOISE: (f64, f64, f64) = (0.45, 0.6, 1.2);
/// Residuals needed to reckon it.
const NOISE_KNOWN: usize = 30;
/// A median has this many times the variance of a mean.
const MEDIAN_COST: f64 = std::f64::consts::FRAC_PI_2;
/// Doubt of the load held, and of the load at a strain (logarithms).
const LOAD_DOUBT: f64 = 0.07;
const STRAIN_DOUBT: f64 = 0.25;
const LEAST_DOUBT: f64 = 0.02;
/// Servers that must have strained for them to tell the unit.
const STRAINED_KNOWN: usize = 3;
/// A weight that moves comes to rest within this part of the hysteresis.
const AT_REST: f64 = 0.2;
/// However long ago the last turn was, a weight moves no further than in this time.
const LONGEST_STEP: Duration = Duration::from_secs(2);
/// Registers are forgotten after this many times the time for which they count.
const FORGET: u32 = 10;

/// A server as the list has it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Server {
    /// Which.
    pub key: ServerKey,
    /// Its kind; only "the same or not" has a meaning.
    pub kind: u32,
    /// The list's weight; what is not above zero counts as 1.
    pub weight: f64,
    /// Its present life: another start is another life.
    pub life: Life,
    /// When that began, by the caller's time; `None` if long ago.
    pub started: Option<Duration>,
}

/// What stands behind a server's weight.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Evidence {
    /// Set-ups counted, after the bounds on what one gateway may say.
    pub setups: f64,
    /// Gateways that saw them.
    pub gateways: u32,
    /// Free rate, set-ups a second, and the load that all gateways held when they were made.
    pub rate: f64,
    /// See `rate`.
    pub beside: f64,
    /// Load held of all gateways now.
    pub load: f64,
    /// What it would bear, as the set-ups show it; zero where the work of a set-up was not known.
    pub bears: f64,
    /// Gateways that have told their load there of late.
    pub told: u32,
    /// Most that was counted of one gateway, and the most that may be.
    pub loudest: (f64, f64),
    /// Entries counted that are of another life: none.
    pub other_lives: u32,
}

#[derive(Debug, Clone)]
struct Standing {
    server: Server,
    evidence: Evidence,
    /// Logarithm of what was measured in the list's scale, and its variance.
    measured: Option<(f64, f64)>,
    pooled: Pooled,
    /// Logarithm of the weight, without the ramp; what it was a turn before, and how long that was.
    learned: f64,
    before: (f64, f64),
    moving: bool,
    /// First and last news of it shedding or slowing.
    strained: Option<(Duration, Duration)>,
}

/// What one gateway has said of late: by the place of the server among the listed, and together.
struct Heard {
    gateway: GatewayId,
    entries: Vec<(usize, Entry)>,
    setups: f64,
    load: f64,
    connections: f64,
}

/// How much of what one gateway says counts, of all servers together and of one.
struct Bounds {
    setups_all: f64,
    setups_one: f64,
    load_all: f64,
    load_one: f64,
}

impl Bounds {
    fn of<'a>(heard: impl Iterator<Item = &'a Heard> + Clone, servers: usize) -> Self {
        let servers = servers.max(1) as f64;
        let setups = median(heard.clone().map(|it| it.setups)).unwrap_or(0.0);
        let load = median(heard.clone().map(|it| it.load)).unwrap_or(0.0);
        let holding = heard.filter(|it| it.connections > 0.0);
        let each = median(holding.map(|it| it.load / it.connections)).unwrap_or(0.0);
        Self {
            setups_all: (SETUPS_OVER * setups).max(SETUPS_LEAST),
            setups_one: (SETUPS_ONE * setups / servers).max(1.0),
            load_all: LOAD_OVER * load,
            load_one: (LOAD_ONE * load / servers).max(LOAD_CONNECTIONS * each),
        }
    }
}

/// The weights of all listed servers.
#[derive(Debug, Clone)]
pub struct Weights {
    options: Options,
    registers: Registers,
    standing: BTreeMap<ServerKey, Standing>,
    turned: Option<Duration>,
    /// When old words are next to be forgotten.
    sweep: Duration,
    /// Work of a set-up, as it was last reckoned.
    work: f64,
    /// Part of the gateways heard of late.
    heard: f64,
    /// Gateways whose words are passed over, as they were off in the last turn.
    discredited: BTreeSet<GatewayId>,
    #[cfg(feature = "broken")]
    pub(crate) broken: Option<Broken>,
}

impl Weights {
    /// The list's weights, to begin with.
    pub fn new(options: Options) -> Result<Self, Unusable> {
        options.check()?;
        Ok(Self {
            options,
            registers: Registers::default(),
            standing: BTreeMap::new(),
            turned: None,
            sweep: Duration::ZERO,
            work: 0.0,
            heard: 0.0,
            discredited: BTreeSet::new(),
            #[cfg(feature = "broken")]
            broken: None,
        })
    }

    #[cfg(feature = "broken")]
    fn is(&self, broken: Broken) -> bool {
        self.broken == Some(broken)
    }

    #[cfg(not(feature = "broken"))]
    fn is(&self, _broken: Broken) -> bool {
        false
    }

    /// A server is listed, or listed anew. One that is new, or has begun another life, starts from its kind's.
    /// Further servers than [`MAX_SERVERS`] keep the list's weight.
    pub fn listed(&mut self, server: Server) {
        let weight = if server.weight.is_finite() && server.weight > 0.0 { server.weight } else { 1.0 };
        let server = Server { weight, ..server };
        let known = self.standing.get_mut(&server.key);
        if let Some(standing) = known {
            if standing.server.life == server.life && standing.server.kind == server.kind {
                standing.server = server;
                return;
            }
        } else if self.standing.len() >= MAX_SERVERS {
            return;
        }
        let learned = self.newcomer(&server);
        let pooled = Pooled { expected: learned, gamma: 0.0, estimate: learned };
        let standing = Standing {
            server,
            evidence: Evidence::default(),
            measured: None,
            pooled,
            learned,
            before: (learned, 0.0),
            moving: false,
            strained: None,
        };
        self.standing.insert(server.key, standing);
    }

    /// What servers of its kind have been found to bear, against the list's word on them, clamped.
    fn newcomer(&self, server: &Server) -> f64 {
        let others = self.standing.values().filter(|it| it.server.kind == server.kind);
        let others = others.filter(|it| it.server.key != server.key);
        let off = median(others.map(|it| it.learned - it.server.weight.ln())).unwrap_or(0.0);
        let clamp = self.options.clamp.ln();
        server.weight.ln() + off.clamp(-clamp, clamp)
    }

    /// A server has left the list.
    pub fn gone(&mut self, server: ServerKey) {
        self.standing.remove(&server);
    }

    /// Takes in what a gateway said.
    pub fn join(&mut self, now: Duration, said: &Said) -> Result<usize, Unheard> {
        for (key, entry) in &said.2 {
            let before = self.registers.entry(said.0, *key).map_or(0, |old| old.strains);
            let Some(standing) = self.standing.get_mut(key) else { continue };
            if entry.strains > before && entry.life == standing.server.life {
                let lapse = self.options.trouble * 2;
                let going_on = standing.strained.filter(|it| now.saturating_sub(it.1) <= lapse);
                standing.strained = Some((going_on.map_or(now, |it| it.0), now));
            }
        }
        let news = self.registers.join(now, said)?;
        #[cfg(feature = "broken")]
        if self.is(Broken::MergeBySum) {
            for (key, said_entry) in &said.2 {
                if let Some(entry) = self.registers.entry_mut(said.0, *key) {
                    entry.setups = entry.setups.saturating_add(said_entry.setups);
                }
            }
        }
        Ok(news)
    }

    /// What all gateways say of all servers.
    pub fn registers(&self) -> &Registers {
        &self.registers
    }

    /// The load that all gateways together hold there; `None` where too few have told theirs, or the server is not
    /// listed.
    pub fn held(&self, server: ServerKey) -> Option<f64> {
        let evidence = self.standing.get(&server)?.evidence;
        let enough = f64::from(evidence.told) >= self.options.quorum * f64::from(self.options.gateways);
        enough.then_some(evidence.load)
    }

    /// What was measured of a server, as a weight, its doubt (standard deviation of the logarithm), and the part of
    /// its difference from the kind that is believed.
    pub fn measured(&self, server: ServerKey) -> Option<(f64, f64, f64)> {
        let standing = self.standing.get(&server)?;
        standing.measured.map(|(y, v)| (y.exp(), v.sqrt(), standing.pooled.gamma))
    }

    /// What stands behind a server's weight.
    pub fn evidence(&self, server: ServerKey) -> Option<Evidence> {
        self.standing.get(&server).map(|it| it.evidence)
    }

    /// What a server that started then bears now, as a part of what it will.
    fn ramp(&self, now: Duration, started: Option<Duration>) -> f64 {
        let Some(started) = started else { return 1.0 };
        let (age, warm) = (now.saturating_sub(started).as_secs_f64(), self.options.warm_within.as_secs_f64());
        if age >= warm {
            return 1.0;
        }
        self.options.cold_from + (1.0 - self.options.cold_from) * age / warm
    }

    /// Whether the server is warm: what it does before says nothing of what it will bear.
    pub fn warm(&self, now: Duration, server: ServerKey) -> bool {
        self.standing.get(&server).is_some_and(|it| self.ramp(now, it.server.started) >= 1.0)
    }

    /// The weight of a server, its ramp included; `None` where it is not listed.
    pub fn weight(&self, now: Duration, server: ServerKey) -> Option<f64> {
        let standing = self.standing.get(&server)?;
        let cold = if self.is(Broken::ColdWhole) { 1.0 } else { self.ramp(now, standing.server.started) };
        Some(standing.learned.exp() * cold)
    }

    /// All listed servers with their weights.
    pub fn weights(&self, now: Duration) -> impl Iterator<Item = (ServerKey, f64)> {
        self.standing.keys().filter_map(move |&key| Some((key, self.weight(now, key)?)))
    }

    /// Load borne by a server that holds `load` and serves a set-up at `rate`; `None` while the work of a set-up is
    /// not known.
    pub fn capacity(&self, load: f64, rate: f64) -> Option<f64> {
        let all = if self.is(Broken::CapacityIsUse) { load } else { load + self.work * rate };
        (self.work > 0.0 && all > 0.0).then_some(all)
    }

    /// Weighs all evidence anew and moves the weights towards it. To be called every second or two.
    pub fn turn(&mut self, now: Duration) {
        if now >= self.sweep {
            self.registers.forget(now.saturating_sub(self.options.keep * FORGET));
            self.sweep = now + self.options.keep;
        }
        let noise = self.gather(now);
        self.measure(noise);
        let rows: Vec<Row> = self
            .standing
            .values()
            .map(|it| Row { kind: it.server.kind, list: it.server.weight.ln(), measured: it.measured })
            .collect();
        for (standing, pooled) in self.standing.values_mut().zip(pool(&rows)) {
            standing.pooled = pooled;
        }
        if self.is(Broken::NoPooling) {
            for standing in self.standing.values_mut() {
                standing.pooled.estimate = standing.measured.map_or(standing.pooled.expected, |it| it.0);
            }
        }
        self.step(now);
    }

    /// What each gateway has said of late of the listed servers, in their present lives.
    fn fresh(&self, now: Duration) -> Vec<Heard> {
        let any_life = self.is(Broken::OtherLife);
        let mut all = Vec::new();
        for (gateway, register) in self.registers.iter() {
            let mut heard = Heard { gateway, entries: Vec::new(), setups: 0.0, load: 0.0, connections: 0.0 };
            // Both go by the server's key, so one pass finds each in the other.
            let mut listed = self.standing.iter().enumerate().peekable();
            for (key, &(entry, at)) in &register.entries {
                while listed.next_if(|(_, (other, _))| *other < key).is_some() {}
                let Some(&(row, (other, standing))) = listed.peek() else { break };
                let counts = other == key && now.saturating_sub(at) <= self.options.keep;
                if counts && (entry.life == standing.server.life || any_life) {
                    heard.setups += f64::from(entry.setups);
                    heard.load += entry.load.value();
                    heard.connections += f64::from(entry.connections);
                    heard.entries.push((row, entry));
                }
            }
            if !heard.entries.is_empty() {
                all.push(heard);
            }
        }
        all
    }

    /// Adds up the registers by server, what one gateway says held within bounds. Says the spread of a set-up.
    fn gather(&mut self, now: Duration) -> f64 {
        let heard = self.fresh(now);
        self.heard = heard.len() as f64 / f64::from(self.options.gateways);
        let credited = || heard.iter().filter(|it| !self.discredited.contains(&it.gateway));
        let bounds = Bounds::of(credited(), self.standing.len());
        let mut evidence = vec![Evidence::default(); self.standing.len()];
        let mut rates: Vec<Vec<[f64; 4]>> = vec![Vec::new(); self.standing.len()];
        let lives: Vec<Life> = self.standing.values().map(|it| it.server.life).collect();
        let unbounded = self.is(Broken::NoCap);
        for it in credited() {
            let part = |all: f64, most: f64| if all > most { most / all } else { 1.0 };
            let setups_part = part(it.setups, bounds.setups_all);
            let load_part = part(it.load, bounds.load_all);
            for &(at, entry) in &it.entries {
                let row = &mut evidence[at];
                row.other_lives += u32::from(entry.life != lives[at]);
                row.told += 1;
                row.load += (entry.load.value() * load_part).min(bounds.load_one);
                let seen = entry.rate.ln().zip(entry.beside.ln()).filter(|_| entry.setups > 0);
                let Some((rate, beside)) = seen else { continue };
                let said = f64::from(entry.setups);
                let counted = if unbounded { said } else { (said * setups_part).min(bounds.setups_one) };
                row.setups += counted;
                row.gateways += 1;
                row.loudest = (row.loudest.0.max(counted), bounds.setups_one);
                rates[at].push([rate, beside, entry.bears.ln().unwrap_or(f64::NAN), counted]);
            }
        }
        let mut residuals = Vec::new();
        for ((standing, mut evidence), seen) in self.standing.values_mut().zip(evidence).zip(rates) {
            // Those who have not told theirs are taken to hold what the others do.
            evidence.load *= (f64::from(self.options.gateways) / f64::from(evidence.told.max(1))).max(1.0);
            let of = |which: usize| weighted_median(seen.iter().map(|it| (it[which], it[3])).collect());
            if let Some((rate, beside)) = of(0).zip(of(1)) {
                (evidence.rate, evidence.beside) = (rate.exp(), beside.exp());
                evidence.bears = of(2).map_or(0.0, f64::exp);
                if seen.len() > 2 {
                    // The one in the middle says nothing of the spread.
                    let off = seen.iter().map(|it| (it[0] - rate).abs() * it[3].max(1.0).sqrt());
                    residuals.extend(off.filter(|&it| it > 0.0));
                }
            }
            standing.evidence = evidence;
        }
        self.discredit(&heard);
        if residuals.len() < NOISE_KNOWN {
            return NOISE.1;
        }
        // The median deviation of a normal spread is 0.6745 of the standard one.
        median(residuals.into_iter()).map_or(NOISE.1, |it| (it / 0.6745).clamp(NOISE.0, NOISE.2))
    }

    /// Finds who is off the others, for the next turn: the furthest first, and not more than may be.
    fn discredit(&mut self, heard: &[Heard]) {
        let bears: Vec<f64> = self.standing.values().map(|it| it.evidence.bears).collect();
        let off = |it: &Heard| {
            let from = |&(at, entry): &(usize, Entry)| {
                let said = entry.bears.ln().filter(|_| entry.setups > 0 && bears[at] > 0.0)?;
                Some((said - bears[at].ln()).abs() * f64::from(entry.setups).sqrt())
            };
            let all: Vec<f64> = it.entries.iter().filter_map(from).collect();
            let enough = all.len() >= DISCREDIT_SERVERS;
            median(all.into_iter()).filter(|_| enough).map(|off| (off, it.gateway))
        };
        let mut rows: Vec<(f64, GatewayId)> = heard.iter().filter_map(off).collect();
        rows.sort_by(|one, two| two.0.total_cmp(&one.0).then(one.1.cmp(&two.1)));
        let usual = median(rows.iter().map(|it| it.0)).unwrap_or(f64::MAX);
        let most = (DISCREDIT_PART * f64::from(self.options.gateways)) as usize;
        let far = rows.into_iter().take(most).filter(|it| it.0 > DISCREDIT * usual);
        self.discredited = far.map(|it| it.1).collect();
    }

    /// Gateways whose words on servers are passed over, as they are off all others'.
    pub fn discredited(&self) -> impl Iterator<Item = GatewayId> {
        self.discredited.iter().copied()
    }

    /// From evidence to what was measured of each server, in the list's scale.
    fn measure(&mut self, noise: f64) {
        let lasting = self.options.trouble;
        let strained: BTreeMap<ServerKey, (f64, f64)> = self.strains(lasting);
        let unit = self.options.unit.or_else(|| {
            let ratio = |(key, row): (&ServerKey, &(f64, f64))| row.0 - self.standing[key].server.weight.ln();
            let known = strained.len() >= STRAINED_KNOWN;
            known.then(|| median(strained.iter().map(ratio)).map(f64::exp)).flatten()
        });
        let seen = || self.standing.values().filter(|it| it.evidence.rate > 0.0);
        let (mut listed, mut load, mut rate) = (0.0, 0.0, 0.0);
        for it in seen() {
            listed += it.server.weight;
            load += it.evidence.beside;
            rate += it.evidence.rate;
        }
        let free = unit.map_or(load * (1.0 - USED) / USED, |unit| {
            (unit * listed - load).max(LEAST_FREE * unit * listed)
        });
        self.work = if rate > 0.0 { free / rate } else { 0.0 };
        // By its own rate alone, a server would be held the better known the slower its few set-ups went.
        let free_usual = if free > 0.0 { free / (load + free) } else { 1.0 };
        let mut measured: BTreeMap<ServerKey, (f64, f64)> = BTreeMap::new();
        for it in seen() {
            let by_medians = self.capacity(it.evidence.beside, it.evidence.rate);
            let Some(all) = Some(it.evidence.bears).filter(|&it| it > 0.0).or(by_medians) else { continue };
            let free = (self.work * it.evidence.rate / all).clamp(free_usual, 1.0);
            let doubt = (free * noise).powi(2) * MEDIAN_COST / it.evidence.setups.max(0.1)
                + ((1.0 - free) * LOAD_DOUBT).powi(2)
                + LEAST_DOUBT.powi(2);
            measured.insert(it.server.key, (all.ln(), doubt));
        }
        if unit.is_some() {
            for (key, &(held, doubt)) in &strained {
                let (one, two) = (measured.get(key).map_or((0.0, 0.0), |it| (it.0, 1.0 / it.1)), 1.0 / doubt);
                let all = one.1 + two;
                measured.insert(*key, ((one.0 * one.1 + held * two) / all, 1.0 / all));
            }
        }
        let off = |(key, it): (&ServerKey, &(f64, f64))| it.0 - self.standing[key].server.weight.ln();
        let shift = median(measured.iter().map(off)).unwrap_or(0.0);
        for (key, standing) in &mut self.standing {
            let clamp = self.options.clamp.ln();
            let list = standing.server.weight.ln();
            standing.measured =
                measured.get(key).map(|it| ((it.0 - shift).clamp(list - clamp, list + clamp), it.1));
        }
    }

    /// Servers that have been shedding or slowing for longer than a trouble lasts: what they held then
    /// (logarithm), and its doubt.
    fn strains(&self, lasting: Duration) -> BTreeMap<ServerKey, (f64, f64)> {
        let long = |it: &&Standing| it.strained.is_some_and(|(first, last)| last - first > lasting);
        let mut rows = BTreeMap::new();
        for standing in self.standing.values().filter(long) {
            let said = self.registers.iter().filter_map(|(_, it)| it.entries.get(&standing.server.key));
            let said = said.filter(|(entry, _)| entry.strains > 0 && entry.life == standing.server.life);
            let held: Vec<f64> = said.filter_map(|(entry, _)| entry.held.ln()).collect();
            let doubt = STRAIN_DOUBT.powi(2) / (held.len() as f64).clamp(1.0, 4.0);
            if let Some(middle) = median(held.into_iter()) {
                rows.insert(standing.server.key, (middle, doubt));
            }
        }
        rows
    }

    /// Moves each weight towards its estimate, as far as it may go since the last turn.
    fn step(&mut self, now: Duration) {
        let passed = self.turned.map_or(Duration::ZERO, |it| now.saturating_sub(it)).min(LONGEST_STEP);
        self.turned = Some(now.max(self.turned.unwrap_or_default()));
        let may = if self.is(Broken::NoBound) { f64::MAX } else { self.options.rate * passed.as_secs_f64() };
        let listed: f64 = self.standing.values().map(|it| it.server.weight).sum();
        let estimated: f64 = self.standing.values().map(|it| it.pooled.estimate.exp()).sum();
        let shift = if estimated > 0.0 { (listed / estimated).ln() } else { 0.0 };
        let hold = self.heard < self.options.quorum && !self.is(Broken::MovesUnheard);
        let (clamp, begin) = (self.options.clamp.ln(), self.options.hysteresis);
        for it in self.standing.values_mut() {
            it.before = (it.learned, passed.as_secs_f64());
            let list = it.server.weight.ln();
            if hold {
                continue;
            }
            let target = (it.pooled.estimate + shift).clamp(list - clamp, list + clamp);
            let off = target - it.learned;
            it.moving = off.abs() > if it.moving { begin * AT_REST } else { begin };
            if it.moving {
                it.learned += off.clamp(-may, may);
            }
        }
    }

    /// Whether all that must hold does. `now` is the time of the last event.
    pub fn check(&self, now: Duration) -> Result<(), Violation> {
        for (gateway, register) in self.registers.iter() {
            if register.seal != register.digest() {
                return Err(Violation::Altered { gateway: gateway.0 });
            }
        }
        for (&key, it) in &self.standing {
            self.check_one(now, key.0, it)?;
        }
        Ok(())
    }

    fn check_one(&self, now: Duration, server: u32, it: &Standing) -> Result<(), Violation> {
        const SLACK: f64 = 1e-6;
        let weight = self.weight(now, it.server.key).unwrap_or(f64::NAN);
        let list = it.server.weight.ln();
        let off = (it.learned - list).abs();
        if !(off <= self.options.clamp.ln() + SLACK && weight > 0.0) {
            return Err(Violation::OutOfClamp { server, weight, list: it.server.weight });
        }
        let (before, passed) = it.before;
        let moved = (it.learned - before).abs();
        let most = self.options.rate * passed;
        if moved > most + SLACK {
            return Err(Violation::Jumped { server, moved, most });
        }
        if moved > 0.0 && self.heard < self.options.quorum {
            return Err(Violation::MovedUnheard { server, heard: self.heard });
        }
        let most = it.learned.exp() * self.ramp(now, it.server.started);
        if weight > most * (1.0 + SLACK) {
            return Err(Violation::ColdWhole { server, weight, most });
        }
        if it.evidence.other_lives > 0 {
            return Err(Violation::OtherLife { server, entries: it.evidence.other_lives });
        }
        let (loudest, most) = it.evidence.loudest;
        if loudest > most + SLACK {
            return Err(Violation::TooLoud { server, counted: loudest, most });
        }
        let believed = match it.measured {
            Some((y, _)) if (y - it.pooled.expected).abs() > SLACK => {
                (it.pooled.estimate - it.pooled.expected) / (y - it.pooled.expected)
            }
            _ => 0.0,
        };
        let most = it.measured.map_or(0.0, |it| crate::pooling::most_believed(it.1));
        if !(-SLACK..=most + SLACK).contains(&believed) {
            return Err(Violation::NotPooled { server, believed, most });
        }
        if self.work > 0.0 && it.evidence.beside > 0.0 {
            let (load, rate) = (it.evidence.beside, it.evidence.rate);
            let half = self.capacity(load / 2.0, rate + load / 2.0 / self.work);
            let both = self.capacity(load, rate).zip(half);
            if let Some((as_is, half)) = both.filter(|(as_is, half)| (half / as_is - 1.0).abs() > SLACK) {
                return Err(Violation::FollowsLoad { server, found: half, expected: as_is });
            }
        }
        Ok(())
    }

    /// Part of the gateways heard of late; below the quorum, weights are held.
    pub fn heard(&self) -> f64 {
        self.heard
    }

    /// Who has said something that counts at `now`.
    pub fn heard_of(&self, now: Duration) -> Vec<GatewayId> {
        let fresh = |at: &Duration| now.saturating_sub(*at) <= self.options.keep;
        let fresh = self.registers.iter().filter(|(_, it)| it.entries.values().any(|(_, at)| fresh(at)));
        fresh.map(|(gateway, _)| gateway).collect()
    }
}
