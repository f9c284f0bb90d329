//! What the gateways of a tier share, in the daemon: its settings, what is fed in, what comes of it and what is shown.
//! The cores are `ashtide_fleet::state`. Knows no socket and no clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ashtide_fleet::DecodeError;
use ashtide_fleet::state::{
    CounterKey, EvidenceKind, Exchange, ExchangeConfig, FleetTotal, LeaseConfig, MAX_CELLS, OutlierLimits,
    Slot, Violation,
};
use serde_json::{Value, json};
use toml::Value as Toml;

use crate::decision::interface::{Outcome, ServerId, Span, Time};
use crate::fleet::view::{ViewError, invalid_key, parse_address};
use crate::metrics::METRIC_PREFIX;
use crate::quic::load_balancing::server_id_for_name;

/// Gateways that a list may name.
pub const MAX_GATEWAYS: usize = 8192;
/// Servers and tenants whose counts are shown at the door.
pub const MAX_DISPLAYED_COUNTERS: usize = 128;
/// Names that are remembered for what is shown.
const MAX_TRACKED_NAMES: usize = 8192;
/// How often time is to pass for it.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// What attempts came to is evidence for so long.
const OBSERVATION_WINDOW: Span = Span::from_micros(10_000_000);
/// Thousandths of a server that a size of one is.
const CAPACITY_UNITS_PER_SERVER: f64 = 1_000.0;

const GATEWAYS_DESCRIPTION: &str = "All gateways that may be there, by what others know them by, in one order everywhere. Without \
                        it: the configuration's 'peers', at the port of 'listen'.";
const DATAGRAMS_DESCRIPTION: &str =
    "Datagrams a second that this gateway sends of it at most, beside the view's.";
const CHECK_DESCRIPTION: &str = "Whether all of it is held against its invariants four times a second.";
const JUDGEMENTS_DESCRIPTION: &str =
    "What gateways see of servers: not told, told and shown, or used as well.";
const COUNTS_DESCRIPTION: &str =
    "Whether open connections by server and tenant are counted over all gateways.";

/// What becomes of judgements on servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutlierMode {
    /// Nothing is told.
    Off,
    /// What is seen is told; what follows is shown.
    Report,
    /// Servers that are out by judgement get nothing new.
    Enforce,
}

/// The table `state` of the view's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// All gateways that may be there; none where the file leaves that to the configuration.
    pub gateways: Option<Vec<SocketAddr>>,
    /// Datagrams a second at most.
    pub max_datagrams_per_second: u32,
    /// Whether invariants are checked at each look.
    pub check_invariants: bool,
    /// What becomes of judgements.
    pub outlier_mode: OutlierMode,
    /// Whether connections are counted.
    pub count_connections: bool,
}

const DATAGRAM_RATE_KEY: (&str, u32, u32, u32) = ("datagrams_per_s", 4, 1000, 24);
const OUTLIER_MODES: [(&str, OutlierMode); 3] =
    [("off", OutlierMode::Off), ("tell", OutlierMode::Report), ("use", OutlierMode::Enforce)];
const CHECK_MODES: [(&str, bool); 2] = [("off", false), ("log", true)];

fn parse_choice<T: Copy>(
    key: &str,
    value: Option<&Toml>,
    all: &[(&str, T)],
    usual: T,
) -> Result<T, ViewError> {
    let Some(value) = value else { return Ok(usual) };
    let found = all.iter().find(|it| value.as_str() == Some(it.0)).map(|it| it.1);
    let names: Vec<&str> = all.iter().map(|it| it.0).collect();
    found.ok_or_else(|| {
        invalid_key(&format!("state.{key}"), value, format_args!("one of {}", names.join(", ")))
    })
}

impl Settings {
    /// Checks the table.
    ///
    /// # Errors
    ///
    /// Says which key is at fault.
    pub fn parse(table: &Toml) -> Result<Self, ViewError> {
        const KEYS: [&str; 5] = ["gateways", "datagrams_per_s", "check", "judgements", "counts"];
        let table = table.as_table().ok_or_else(|| invalid_key("state", table, "a table"))?;
        if let Some(key) = table.keys().find(|key| !KEYS.contains(&key.as_str())) {
            return Err(invalid_key(&format!("state.{key}"), "an unknown key", KEYS.join(", ")));
        }
        let gateways = table.get("gateways").map(|value| {
            let expected = || {
                invalid_key("state.gateways", value, format_args!("a list of 1 to {MAX_GATEWAYS} addresses"))
            };
            let each =
                value.as_array().filter(|it| (1..=MAX_GATEWAYS).contains(&it.len())).ok_or_else(expected)?;
            each.iter().map(|it| parse_address("state.gateways", it)).collect::<Result<Vec<_>, _>>()
        });
        let (rate, least, most, usual) = DATAGRAM_RATE_KEY;
        let datagrams = table.get(rate).map_or(Ok(usual), |value| {
            let told = value.as_integer().and_then(|it| u32::try_from(it).ok());
            let expected = format!("a whole number from {least} to {most}");
            told.filter(|it| (least..=most).contains(it))
                .ok_or_else(|| invalid_key(&format!("state.{rate}"), value, expected))
        })?;
        let counts = table.get("counts").map_or(Ok(true), |value| {
            value.as_bool().ok_or_else(|| invalid_key("state.counts", value, "true or false"))
        })?;
        Ok(Self {
            gateways: gateways.transpose()?,
            max_datagrams_per_second: datagrams,
            check_invariants: parse_choice("check", table.get("check"), &CHECK_MODES, false)?,
            outlier_mode: parse_choice(
                "judgements",
                table.get("judgements"),
                &OUTLIER_MODES,
                OutlierMode::Report,
            )?,
            count_connections: counts,
        })
    }
}

/// The JSON Schema of the table.
pub fn schema() -> Value {
    let (rate, least, most, usual) = DATAGRAM_RATE_KEY;
    let names = |all: Vec<&'static str>| json!(all);
    json!({
        "type": "object", "additionalProperties": false,
        "description": "What the gateways share beside the view. Without the table: nothing.",
        "properties": {
            "gateways": {"type": "array", "items": {"type": "string"}, "minItems": 1, "maxItems": MAX_GATEWAYS,
                         "description": GATEWAYS_DESCRIPTION},
            rate: {"type": "integer", "minimum": least, "maximum": most, "default": usual,
                   "description": DATAGRAMS_DESCRIPTION},
            "check": {"enum": names(CHECK_MODES.iter().map(|it| it.0).collect()), "default": "off",
                      "description": CHECK_DESCRIPTION},
            "judgements": {"enum": names(OUTLIER_MODES.iter().map(|it| it.0).collect()), "default": "tell",
                           "description": JUDGEMENTS_DESCRIPTION},
            "counts": {"type": "boolean", "default": true, "description": COUNTS_DESCRIPTION},
        },
    })
}

/// All gateways that may be there, by slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySlots {
    gateways: Vec<SocketAddr>,
    slot_by_address: BTreeMap<SocketAddr, Slot>,
    own: Slot,
}

impl GatewaySlots {
    /// The slots of this list, of which the gateway at `own` has one.
    ///
    /// # Errors
    ///
    /// Fails where it has none, or an address is there twice.
    pub fn new(gateways: Vec<SocketAddr>, own: SocketAddr) -> Result<Self, ViewError> {
        let key = "state.gateways";
        if gateways.len() > MAX_GATEWAYS {
            return Err(invalid_key(
                key,
                format_args!("{} addresses", gateways.len()),
                format_args!("at most {MAX_GATEWAYS}"),
            ));
        }
        let mut places = BTreeMap::new();
        for (number, &gateway) in gateways.iter().enumerate() {
            // At most MAX_GATEWAYS.
            if places.insert(gateway, Slot(number as u16)).is_some() {
                return Err(invalid_key(key, format_args!("{gateway} twice"), "each gateway once"));
            }
        }
        let expected = "a list that names this gateway, or 'peers' in the configuration that do";
        let own =
            places.get(&own).copied().ok_or_else(|| invalid_key(key, format_args!("no {own}"), expected))?;
        Ok(Self { gateways, slot_by_address: places, own })
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
    pub fn slot_of(&self, address: SocketAddr) -> Option<Slot> {
        self.slot_by_address.get(&address).copied()
    }
}

/// How a name of a server or tenant is told.
pub fn name_hash(name: &str) -> u32 {
    u32::from_be_bytes(server_id_for_name(name))
}

// ---- What this gateway sees -----------------------------------------------------------------------------------

/// Kinds of evidence that attempts give.
pub const OBSERVED_KINDS: [EvidenceKind; 3] =
    [EvidenceKind::Failing, EvidenceKind::Silent, EvidenceKind::Overrun];

/// Of these, what takes a server out of use. One that is overrun sheds by itself what it cannot bear; without it the
/// others are overrun next.
const EJECTING_KINDS: [EvidenceKind; 2] = [EvidenceKind::Failing, EvidenceKind::Silent];

/// Attempts at one server, and on how many of them each of [`SEEN`] was seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeReport {
    /// Attempts.
    pub attempts: u32,
    /// Those on which it was seen.
    pub observations: [u32; OBSERVED_KINDS.len()],
}

impl OutcomeReport {
    /// Whether all went well, of some.
    fn all_succeeded(&self) -> bool {
        self.attempts > 0 && self.observations == [0; OBSERVED_KINDS.len()]
    }

    fn add(&mut self, other: Self) {
        self.attempts += other.attempts;
        self.observations.iter_mut().zip(other.observations).for_each(|(seen, more)| *seen += more);
    }
}

/// What this gateway's own attempts came to since a server last did well, over the last `SEEN_FOR`.
///
/// The module sets a server that fails aside at once and tries it every second or two, so what failed is few beside what
/// went well before; one that does well again is believed at the first attempt.
#[derive(Debug, Clone, Default)]
pub struct OutcomeReporter {
    servers: BTreeMap<ServerId, RecentOutcomes>,
}

#[derive(Debug, Clone, Default)]
struct RecentOutcomes {
    /// Since the last look.
    latest: OutcomeReport,
    earlier: VecDeque<(Time, OutcomeReport)>,
}

impl OutcomeReporter {
    /// An attempt went well, or showed this.
    pub fn record(&mut self, server: ServerId, kind: Option<EvidenceKind>) {
        let lately = self.servers.entry(server).or_default();
        let at = OBSERVED_KINDS.iter().position(|&it| Some(it) == kind);
        if at.is_none() || lately.latest.all_succeeded() {
            *lately = RecentOutcomes::default();
        }
        if at.is_some() && lately.earlier.iter().any(|it| it.1.all_succeeded()) {
            lately.earlier.clear();
        }
        lately.latest.attempts += 1;
        if let Some(at) = at {
            lately.latest.observations[at] += 1;
        }
    }

    /// An attempt, or a connection that stood, has ended like this. What says nothing of the server is passed over.
    pub fn record_end(&mut self, server: ServerId, established: bool, outcome: Outcome) {
        let kind = match outcome {
            Outcome::Failed | Outcome::ConnectError | Outcome::Reset => EvidenceKind::Failing,
            Outcome::TimedOut => EvidenceKind::Silent,
            Outcome::QueueFull if !established => EvidenceKind::Overrun,
            Outcome::QueueFull
            | Outcome::Ok
            | Outcome::Cancelled
            | Outcome::NotSent
            | Outcome::LocalFailure => return,
        };
        self.record(server, Some(kind));
    }

    /// What was seen lately of those servers of which there is something new.
    pub fn take_reports(&mut self, now: Time) -> Vec<(ServerId, OutcomeReport)> {
        let mut news = Vec::new();
        self.servers.retain(|&server, RecentOutcomes { latest, earlier }| {
            let new = *latest != OutcomeReport::default();
            if new {
                earlier.push_back((now, std::mem::take(latest)));
            }
            while earlier.front().is_some_and(|it| now.since(it.0) >= OBSERVATION_WINDOW) {
                earlier.pop_front();
            }
            if new {
                let mut sum = OutcomeReport::default();
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
pub struct ServerObservation<'a> {
    /// How its name is told.
    pub key: u32,
    /// Its name.
    pub name: &'a str,
    /// Its size, by the list.
    pub size: f64,
    /// Whether it is ready by the list and by operators.
    pub ready: bool,
    /// Open connections of this gateway on it.
    pub open_connections: u32,
}

/// What the gateway sees at one moment.
#[derive(Debug, Clone, Default)]
pub struct LocalObservation<'a> {
    /// The servers on the list.
    pub servers: Vec<ServerObservation<'a>>,
    /// Open connections of each tenant here.
    pub tenants: Vec<(&'a str, u32)>,
    /// What was seen lately of servers of which there is something new.
    pub outcome_reports: Vec<(u32, OutcomeReport)>,
}

/// What follows of a look.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OutlierDecision {
    /// Servers, by key, that are to get nothing new.
    pub ejected: BTreeSet<u32>,
    /// What has changed, for the log.
    pub log_lines: Vec<String>,
    /// A broken invariant.
    pub violation: Option<Violation>,
}

/// What has been counted, and what was so at the last look.
#[derive(Debug, Default)]
struct Metrics {
    received_datagrams: u64,
    superseded: u64,
    checks: u64,
    check_time: Duration,
    violations: u64,
    ready_capacity: u64,
    ejected_capacity: u64,
}

/// This gateway's part of what is shared.
pub struct GatewayState {
    settings: Settings,
    slots: GatewaySlots,
    /// The life by the view, and by what is told here: the later, where counts were forgotten.
    view_incarnation: u64,
    incarnation: u64,
    exchange: Exchange,
    names: BTreeMap<CounterKey, String>,
    /// Own counts that have been told.
    published_counters: BTreeSet<CounterKey>,
    /// Servers that are out by judgement, used or not.
    ejected_servers: BTreeMap<u32, EvidenceKind>,
    is_started: bool,
    is_leaving: bool,
    metrics: Metrics,
}

impl GatewayState {
    /// Of the gateway of these slots in the life `generation`. `seed` feeds its random choices.
    pub fn new(
        settings: Settings,
        tier: u32,
        slots: GatewaySlots,
        generation: u64,
        seed: u64,
        now: Duration,
    ) -> Self {
        let (terms, rules) = (
            LeaseConfig::default(),
            OutlierLimits { ejecting_kinds: &EJECTING_KINDS, ..OutlierLimits::default() },
        );
        let setup = ExchangeConfig {
            tier,
            slot_count: slots.len(),
            datagrams_per_second: settings.max_datagrams_per_second,
            lease: terms,
            outlier_limits: rules,
        };
        let exchange = Exchange::new(setup, slots.own(), generation, seed, now);
        Self {
            settings,
            slots,
            view_incarnation: generation,
            incarnation: generation,
            exchange,
            names: BTreeMap::new(),
            published_counters: BTreeSet::new(),
            ejected_servers: BTreeMap::new(),
            is_started: false,
            is_leaving: false,
            metrics: Metrics::default(),
        }
    }

    /// The cores: budgets are added, wanted and spent here.
    pub fn exchange(&mut self) -> &mut Exchange {
        &mut self.exchange
    }

    /// All gateways that may be there.
    pub fn slots(&self) -> &GatewaySlots {
        &self.slots
    }

    /// The view holds these to be there.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = SocketAddr>) {
        let slots = &self.slots;
        self.exchange.set_peers(peers.into_iter().filter_map(|peer| slots.slot_of(peer)));
    }

    /// The view goes on in this life. The next number is the same life again, held dead by mistake; a later one follows
    /// on a life of another process, or of one that ended, which the others know of.
    pub fn handle_new_incarnation(&mut self, generation: u64) -> Option<String> {
        let outdone = generation > self.view_incarnation.saturating_add(1);
        self.view_incarnation = generation;
        outdone.then(|| {
            self.incarnation = generation.max(self.incarnation + 1);
            self.metrics.superseded += 1;
            self.exchange.restart(self.incarnation);
            format!("state: outdone generation={generation}; lends nothing for a lease")
        })
    }

    /// This process leaves, and its address goes to the next: what is its own by the list is the next one's.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.exchange.relinquish();
        self.exchange.set_peers([]);
    }

    /// Lets time pass.
    pub fn advance_to(&mut self, now: Duration) {
        self.exchange.advance_to(now);
    }

    /// Takes in a datagram.
    ///
    /// # Errors
    ///
    /// Says why it is not heard; it is counted, and has changed nothing.
    pub fn handle_datagram(&mut self, from: SocketAddr, datagram: &[u8]) -> Result<(), DecodeError> {
        self.exchange.handle_datagram_from(self.slots.slot_of(from), datagram)?;
        self.metrics.received_datagrams += 1;
        Ok(())
    }

    /// The next datagram to be sent, and where to.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let (to, datagram) = self.exchange.next_datagram()?;
        Some((*self.slots.gateways.get(usize::from(to.0))?, datagram))
    }

    /// Takes in what the gateway sees now; what follows of it.
    pub fn observe(&mut self, now: Duration, look: &LocalObservation) -> OutlierDecision {
        self.exchange.advance_to(now);
        let servers =
            look.servers.iter().map(|it| (CounterKey::OpenOnServer(it.key), (it.open_connections, it.name)));
        let tenants =
            look.tenants.iter().map(|it| (CounterKey::OpenForPartner(name_hash(it.0)), (it.1, it.0)));
        let open: BTreeMap<CounterKey, (u32, &str)> =
            servers.chain(tenants).take(MAX_TRACKED_NAMES).collect();
        self.names.retain(|key, _| open.contains_key(key));
        for (&key, &(_, name)) in &open {
            self.names.entry(key).or_insert_with(|| name.to_owned());
        }
        if self.settings.count_connections && !self.is_leaving {
            self.publish_counts(&open);
        }
        let mut judged = OutlierDecision::default();
        if self.exchange.is_started() && !self.is_started {
            self.is_started = true;
            judged.log_lines.push(format!("state: started peers={}", self.exchange.peers().len()));
        }
        let ready: Vec<(u32, u64)> = look
            .servers
            .iter()
            .filter(|it| it.ready)
            .map(|it| (it.key, (it.size.clamp(0.001, 1e6) * CAPACITY_UNITS_PER_SERVER) as u64))
            .collect();
        if self.settings.outlier_mode != OutlierMode::Off {
            self.record_evidence(now, look);
            self.decide_outliers(&ready, &mut judged);
        }
        if self.settings.check_invariants {
            let began = Instant::now();
            judged.violation = self.exchange.check(&ready).err();
            self.metrics.check_time += began.elapsed();
            self.metrics.checks += 1;
            self.metrics.violations += u64::from(judged.violation.is_some());
        }
        judged
    }

    fn publish_counts(&mut self, open: &BTreeMap<CounterKey, (u32, &str)>) {
        // Nought is said of what was more before, and of nothing else.
        let some = |key: &CounterKey| open.get(key).is_some_and(|it| it.0 > 0);
        self.published_counters.extend(open.keys().filter(|&key| some(key)));
        let used = self.published_counters.iter().filter(|&key| some(key)).count();
        // Servers come and go: a row that is mostly of those that went makes room.
        if self.published_counters.len() > MAX_CELLS / 2 && used < self.published_counters.len() / 2 {
            self.published_counters.retain(some);
            self.incarnation += 1;
            self.exchange.reset_counts(self.incarnation);
        }
        for key in &self.published_counters {
            self.exchange.set_count(*key, open.get(key).map_or(0, |it| it.0));
        }
    }

    /// Tells what was seen: what speaks against a server, and of one that somebody speaks against, what went well too.
    fn record_evidence(&mut self, now: Duration, look: &LocalObservation) {
        let judgements = self.exchange.outlier_reports_mut();
        for &(server, sight) in &look.outcome_reports {
            for (kind, seen) in OBSERVED_KINDS.into_iter().zip(sight.observations) {
                if seen > 0 || judgements.has_evidence_against(server, kind) {
                    let least = |count: u32| count.min(u32::from(u16::MAX)) as u16;
                    judgements.record_observation(now, server, kind, least(seen), least(sight.attempts));
                }
            }
        }
    }

    fn decide_outliers(&mut self, ready: &[(u32, u64)], judged: &mut OutlierDecision) {
        let used = self.settings.outlier_mode == OutlierMode::Enforce && self.is_started && !self.is_leaving;
        let now: BTreeMap<u32, EvidenceKind> =
            self.exchange.outlier_reports_mut().update_outliers(ready).into_iter().collect();
        let judgements = self.exchange.outlier_reports();
        let capacity = |server: u32| ready.iter().filter(|it| it.0 == server).map(|it| it.1).sum::<u64>();
        self.metrics.ready_capacity = ready.iter().map(|it| it.1).sum();
        self.metrics.ejected_capacity = now.keys().map(|&it| capacity(it)).sum();
        let name = |server: u32| match self.names.get(&CounterKey::OpenOnServer(server)) {
            Some(name) => name.clone(),
            None => format!("{server:#010x}"),
        };
        for (&server, &kind) in now.iter().filter(|it| !self.ejected_servers.contains_key(it.0)) {
            let against = judgements.evidence_weight(server, kind);
            let (name, word) = (name(server), kind_name(kind));
            judged
                .log_lines
                .push(format!("state: server={name} judged={word} against={against} used={used}"));
        }
        for &server in self.ejected_servers.keys().filter(|it| !now.contains_key(it)) {
            judged.log_lines.push(format!("state: server={} judged=no", name(server)));
        }
        if used {
            judged.ejected = now.keys().copied().collect();
        }
        self.ejected_servers = now;
    }

    /// Asks for the counts that [`text`](Self::text) shows and that are kept elsewhere.
    pub fn request_totals(&mut self) {
        self.fleet_totals();
    }

    fn fleet_totals(&mut self) -> Vec<(CounterKey, Option<FleetTotal>)> {
        let shown: Vec<CounterKey> = self.names.keys().copied().take(MAX_DISPLAYED_COUNTERS).collect();
        shown.into_iter().map(|key| (key, self.exchange.fleet_total(key))).collect()
    }

    /// What is known, as the door tells it.
    pub fn status_text(&mut self) -> String {
        let started = if self.exchange.is_started() { "yes" } else { "no" };
        let mut text = format!(
            "self slot={} slots={} generation={} started={started} peers={}\n",
            self.slots.own().0,
            self.slots.len(),
            self.incarnation,
            self.exchange.peers().len()
        );
        for (key, reading) in self.fleet_totals() {
            let own = self.exchange.counts().own_row().cells.get(&key).map_or(0, |cell| cell.value);
            let name = self.names.get(&key).map_or("", String::as_str);
            let (what, server) = match key {
                CounterKey::OpenOnServer(server) => ("server", Some(server)),
                CounterKey::OpenForPartner(_) | CounterKey::SentToServer(_) => ("tenant", None),
            };
            let _ = write!(text, "{what} {name} own={own}");
            let _ = match reading {
                Some(FleetTotal { sum, gateway_count: gateways, max_age: oldest }) => {
                    write!(text, " open={sum} gateways={gateways} age_ms={}", oldest.as_millis())
                }
                None => write!(text, " open=unheard"),
            };
            if let Some((server, &kind)) = server.and_then(|it| Some((it, self.ejected_servers.get(&it)?))) {
                let against = self.exchange.outlier_reports().evidence_weight(server, kind);
                let _ = write!(text, " judged={} against={against}", kind_name(kind));
            }
            text.push('\n');
        }
        for (id, budget) in self.exchange.budgets() {
            let (escrow, taken) = (budget.escrow(), budget.in_use());
            let (rights, lent, held) = (escrow.usable_units(), escrow.lent_units(), escrow.held_units());
            let _ = writeln!(text, "budget {id:#010x} rights={rights} lent={lent} held={held} taken={taken}");
        }
        text
    }

    /// The figures, one a line.
    pub fn metrics_text(&self) -> String {
        let mut text = String::new();
        let traffic = self.exchange.traffic();
        for (why, count) in &traffic.rejected {
            let why = format!("{why:?}").to_lowercase();
            let _ =
                writeln!(text, "{METRIC_PREFIX}_state_unheard_datagrams_total{{reason=\"{why}\"}} {count}");
        }
        let it = &self.metrics;
        let most = it.ready_capacity * OutlierLimits::default().max_ejected_permille / 1_000;
        let figures = [
            ("peers", self.exchange.peers().len() as u64),
            ("started", u64::from(self.is_started)),
            ("judged_servers", self.ejected_servers.len() as u64),
            ("ready_capacity", it.ready_capacity),
            ("judged_capacity", it.ejected_capacity),
            ("most_judged_capacity", most),
            ("sent_datagrams_total", traffic.sent.0),
            ("sent_bytes_total", traffic.sent.1),
            ("heard_datagrams_total", it.received_datagrams),
            ("dropped_items_total", traffic.dropped_messages),
            ("outdone_total", it.superseded),
            ("checks_total", it.checks),
            ("check_us_total", it.check_time.as_micros() as u64),
            ("violations_total", it.violations),
        ];
        for (name, value) in figures {
            let _ = writeln!(text, "{METRIC_PREFIX}_state_{name} {value}");
        }
        text
    }
}

fn kind_name(kind: EvidenceKind) -> &'static str {
    match kind {
        EvidenceKind::Failing => "failing",
        EvidenceKind::Silent => "silent",
        EvidenceKind::Overrun => "overrun",
        EvidenceKind::Slow => "slow",
    }
}
