//! Weights of the servers, computed from the registers of all gateways.
//!
//! The capacity of a server, in units of load, is the load that it has plus its free capacity: `L + w x`. `L`
//! is the load of all gateways on the server, `x` the rate at which it completes one set-up, and `w` the work
//! of a set-up. A processor that is shared by all jobs completes a job of work `w` in `w / (c - L)` on
//! average (M/G/1-PS, Kleinrock 1967). A server that is given less load thus has less load and as much more
//! free capacity, so the load that it was given cancels out. `w` is not reported: its value is the one at
//! which the throughput of the whole fleet equals the listed throughput. If the listed throughput is too
//! high, `w` is too large and servers that were given less load appear faster. The remaining error therefore
//! makes the loads converge instead of diverging.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::options::{Options, Unusable};
use crate::pooling::{Measurement, Pooled, Row, max_gamma, pool};
use crate::register::{
    Entry, GatewayId, Incarnation, MAX_SERVERS, ReceivedEntry, Registers, Report, ServerKey, Unheard,
};
use crate::robust::{Weighted, median, weighted_median};
use crate::violation::{Defect, Violation};

/// Utilization of the fleet that is assumed if the load per unit of weight is unknown.
const ASSUMED_UTILIZATION: f64 = 0.5;
/// Minimum fraction of the listed throughput that is taken to be free. A larger minimum would be wrong where
/// servers are overloaded.
const MIN_FREE_FRACTION: f64 = 0.25;
/// Limit of one gateway's set-ups at all servers together, as a multiple of those of the median gateway.
const MAX_SETUPS_RATIO: f64 = 2.0;
/// Minimum of the limit of one gateway's set-ups at all servers together.
const MIN_SETUPS_LIMIT: f64 = 4.0;
/// Limit of one gateway's set-ups at one server, as a multiple of the median gateway's mean per server. The
/// limit is at least one set-up.
const MAX_SERVER_SETUPS_RATIO: f64 = 3.0;
/// Limit of one gateway's load on all servers together, as a multiple of that of the median gateway.
const MAX_LOAD_RATIO: f64 = 1.5;
/// Limit of one gateway's load on one server, as a multiple of the median gateway's mean per server.
const MAX_SERVER_LOAD_RATIO: f64 = 6.0;
/// Minimum of the limit of one gateway's load on one server, as a number of connections of typical load.
const MIN_SERVER_LOAD_CONNECTIONS: f64 = 6.0;
/// Deviation of a gateway's capacity estimates from those of all gateways above which the gateway is an
/// outlier, as a multiple of the median deviation.
const OUTLIER_DEVIATION_RATIO: f64 = 2.5;
/// Minimum number of servers that a gateway must report on to be an outlier.
const OUTLIER_MIN_SERVERS: usize = 5;
/// Maximum fraction of the gateways that are treated as outliers.
const MAX_OUTLIER_FRACTION: f64 = 0.25;
/// Minimum standard deviation of one set-up's rate (logarithm).
const NOISE_MIN: f64 = 0.45;
/// Standard deviation of one set-up's rate (logarithm) that is assumed until there are enough residuals.
const NOISE_DEFAULT: f64 = 0.6;
/// Maximum standard deviation of one set-up's rate (logarithm).
const NOISE_MAX: f64 = 1.2;
/// Minimum number of residuals for an estimate of the standard deviation of one set-up's rate.
const NOISE_MIN_RESIDUALS: usize = 30;
/// Ratio of the median absolute deviation to the standard deviation of a normal distribution.
const NORMAL_MAD_RATIO: f64 = 0.6745;
/// Ratio of the variance of a median to that of a mean, for a normal distribution.
const MEDIAN_VARIANCE_RATIO: f64 = std::f64::consts::FRAC_PI_2;
/// Standard deviation of the known load (logarithm).
const LOAD_STD_DEV: f64 = 0.07;
/// Standard deviation of the known load at an overload signal (logarithm).
const OVERLOAD_STD_DEV: f64 = 0.25;
/// Minimum standard deviation of a measurement (logarithm).
const MIN_STD_DEV: f64 = 0.02;
/// Minimum number of overloaded servers for an estimate of the load per unit of weight.
const MIN_OVERLOADED_SERVERS: usize = 3;
/// Distance from the target at which a changing weight stops, as a fraction of the hysteresis.
const STOP_FRACTION: f64 = 0.2;
/// Longest time between two updates that counts for the change of a weight.
const MAX_STEP: Duration = Duration::from_secs(2);
/// Tolerance of the invariant checks for rounding errors.
const TOLERANCE: f64 = 1e-6;
/// Age at which entries are removed, as a multiple of the time for which they count.
const RETENTION_FACTOR: u32 = 10;

/// A server of the list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Server {
    /// Number of the server.
    pub key: ServerKey,
    /// Kind of the server. Kinds are compared for equality only.
    pub kind: u32,
    /// Listed weight. A weight that is not positive and finite counts as 1.
    pub weight: f64,
    /// Present incarnation; a restarted server has another one.
    pub incarnation: Incarnation,
    /// Start time of the incarnation by the caller's clock; `None` if it started long ago.
    pub started: Option<Duration>,
}

/// Largest contribution of one gateway to a server's evidence, in set-ups.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Contribution {
    /// Largest number of set-ups counted of one gateway.
    pub largest: f64,
    /// Largest number that may be counted of one gateway.
    pub limit: f64,
}

/// Evidence for a server's weight.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Evidence {
    /// Number of set-ups counted, after the limits per gateway.
    pub setups: f64,
    /// Number of gateways that reported these set-ups.
    pub gateways: u32,
    /// Rate at which the server completes a set-up, per second.
    pub setup_rate: f64,
    /// Load of all gateways on the server when the set-ups were made.
    pub load_at_setup: f64,
    /// Present load of all gateways on the server.
    pub load: f64,
    /// Capacity that the set-ups show; zero if the work of a set-up was unknown.
    pub capacity: f64,
    /// Number of gateways with a recent report of their load on the server.
    pub reporting_gateways: u32,
    /// Largest contribution of one gateway.
    pub contribution: Contribution,
    /// Number of counted entries of another incarnation; always zero unless there is a defect.
    pub other_incarnations: u32,
}

/// Measured capacity of a server, as a weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeasuredWeight {
    /// Weight by the measurement alone.
    pub weight: f64,
    /// Standard deviation of the weight's natural logarithm.
    pub ln_std_dev: f64,
    /// Fraction of the difference from the kind's value that enters the estimate.
    pub gamma: f64,
}

/// Period in which a server has sent overload signals.
#[derive(Debug, Clone, Copy)]
struct OverloadPeriod {
    first: Duration,
    last: Duration,
}

/// State of one listed server.
#[derive(Debug, Clone)]
struct ServerState {
    server: Server,
    evidence: Evidence,
    /// Measured capacity in the scale of the listed weights.
    measurement: Option<Measurement>,
    pooled: Pooled,
    /// Natural logarithm of the weight, without the recovery ramp.
    ln_weight: f64,
    /// Value of `ln_weight` before the last update.
    previous_ln_weight: f64,
    /// Time in seconds between the last two updates.
    step_s: f64,
    /// Whether the weight is changing towards its target.
    changing: bool,
    overload: Option<OverloadPeriod>,
}

/// Recent entries of one gateway.
struct GatewayEntries {
    gateway: GatewayId,
    /// Entries, each with the index of its server among the listed ones.
    entries: Vec<(usize, Entry)>,
    /// Total number of set-ups.
    setups: f64,
    /// Total load.
    load: f64,
    /// Total number of connections.
    connections: f64,
}

/// Set-ups of one gateway at one server; rate, load and capacity are natural logarithms.
struct SetupRow {
    ln_rate: f64,
    ln_load: f64,
    /// Capacity that the set-ups show; not a number if unknown.
    ln_capacity: f64,
    /// Number of set-ups counted.
    weight: f64,
}

/// Returns the weighted median of one column of `rows`.
fn column_median(rows: &[SetupRow], column: fn(&SetupRow) -> f64) -> Option<f64> {
    weighted_median(rows.iter().map(|row| Weighted { value: column(row), weight: row.weight }).collect())
}

/// Limits on the contribution of one gateway.
struct Limits {
    total_setups: f64,
    server_setups: f64,
    total_load: f64,
    server_load: f64,
}

impl Limits {
    /// Derives the limits from the median gateway.
    fn new<'a>(gateways: impl Iterator<Item = &'a GatewayEntries> + Clone, servers: usize) -> Self {
        let servers = servers.max(1) as f64;
        let setups = median(gateways.clone().map(|it| it.setups)).unwrap_or(0.0);
        let load = median(gateways.clone().map(|it| it.load)).unwrap_or(0.0);
        let connected = gateways.filter(|it| it.connections > 0.0);
        let connection_load = median(connected.map(|it| it.load / it.connections)).unwrap_or(0.0);
        Self {
            total_setups: (MAX_SETUPS_RATIO * setups).max(MIN_SETUPS_LIMIT),
            server_setups: (MAX_SERVER_SETUPS_RATIO * setups / servers).max(1.0),
            total_load: MAX_LOAD_RATIO * load,
            server_load: (MAX_SERVER_LOAD_RATIO * load / servers)
                .max(MIN_SERVER_LOAD_CONNECTIONS * connection_load),
        }
    }
}

/// Returns the factor that reduces `total` to `limit`; 1 if the limit is not exceeded.
fn reduction(total: f64, limit: f64) -> f64 {
    if total > limit { limit / total } else { 1.0 }
}

/// Weights of all listed servers.
#[derive(Debug, Clone)]
pub struct Weights {
    options: Options,
    registers: Registers,
    servers: BTreeMap<ServerKey, ServerState>,
    /// Time of the last update.
    updated_at: Option<Duration>,
    /// Time from which old entries are removed again.
    next_removal: Duration,
    /// Work of a set-up by the last update, in units of load times seconds; zero if unknown.
    setup_work: f64,
    /// Fraction of the gateways with recent reports, by the last update.
    reporting: f64,
    /// Gateways whose reports are ignored, by the last update.
    outliers: BTreeSet<GatewayId>,
    #[cfg(feature = "broken")]
    pub(crate) defect: Option<Defect>,
}

impl Weights {
    /// Creates the state without servers. A new server starts with its listed weight.
    pub fn new(options: Options) -> Result<Self, Unusable> {
        options.check()?;
        Ok(Self {
            options,
            registers: Registers::default(),
            servers: BTreeMap::new(),
            updated_at: None,
            next_removal: Duration::ZERO,
            setup_work: 0.0,
            reporting: 0.0,
            outliers: BTreeSet::new(),
            #[cfg(feature = "broken")]
            defect: None,
        })
    }

    #[cfg(feature = "broken")]
    fn has_defect(&self, defect: Defect) -> bool {
        self.defect == Some(defect)
    }

    #[cfg(not(feature = "broken"))]
    fn has_defect(&self, _defect: Defect) -> bool {
        false
    }

    /// Adds or updates a listed server. A new server, or a new incarnation of one, starts with the weight of
    /// its kind. Servers beyond [`MAX_SERVERS`] are ignored, so the caller uses their listed weights.
    pub fn add_server(&mut self, server: Server) {
        let weight = if server.weight.is_finite() && server.weight > 0.0 { server.weight } else { 1.0 };
        let server = Server { weight, ..server };
        if let Some(state) = self.servers.get_mut(&server.key) {
            if state.server.incarnation == server.incarnation && state.server.kind == server.kind {
                state.server = server;
                return;
            }
        } else if self.servers.len() >= MAX_SERVERS {
            return;
        }
        let ln_weight = self.initial_ln_weight(&server);
        let state = ServerState {
            server,
            evidence: Evidence::default(),
            measurement: None,
            pooled: Pooled { expected: ln_weight, gamma: 0.0, estimate: ln_weight },
            ln_weight,
            previous_ln_weight: ln_weight,
            step_s: 0.0,
            changing: false,
            overload: None,
        };
        self.servers.insert(server.key, state);
    }

    /// Returns the logarithm of a new server's weight: its listed weight, corrected by the median ratio of
    /// weight to listed weight among the other servers of its kind.
    fn initial_ln_weight(&self, server: &Server) -> f64 {
        let same_kind = self.servers.values().filter(|state| state.server.kind == server.kind);
        let others = same_kind.filter(|state| state.server.key != server.key);
        let correction =
            median(others.map(|state| state.ln_weight - state.server.weight.ln())).unwrap_or(0.0);
        let clamp = self.options.clamp.ln();
        server.weight.ln() + correction.clamp(-clamp, clamp)
    }

    /// Removes a server that has left the list.
    pub fn remove_server(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// Merges a gateway's report. Returns the number of new or changed entries.
    pub fn merge(&mut self, now: Duration, report: &Report) -> Result<usize, Unheard> {
        for (key, entry) in &report.entries {
            let previous = self.registers.entry(report.gateway, *key).map_or(0, |entry| entry.overloads);
            let Some(state) = self.servers.get_mut(key) else { continue };
            if entry.overloads > previous && entry.incarnation == state.server.incarnation {
                let max_pause = self.options.max_fault * 2;
                let ongoing = state.overload.filter(|period| now.saturating_sub(period.last) <= max_pause);
                let first = ongoing.map_or(now, |period| period.first);
                state.overload = Some(OverloadPeriod { first, last: now });
            }
        }
        let changed = self.registers.merge(now, report)?;
        #[cfg(feature = "broken")]
        if self.has_defect(Defect::MergeBySum) {
            for (key, reported) in &report.entries {
                if let Some(entry) = self.registers.entry_mut(report.gateway, *key) {
                    entry.setups = entry.setups.saturating_add(reported.setups);
                }
            }
        }
        Ok(changed)
    }

    /// Returns the registers of all gateways.
    pub fn registers(&self) -> &Registers {
        &self.registers
    }

    /// Returns the load that all gateways together have on a server; `None` if too few gateways have reported
    /// theirs, or if the server is not listed.
    pub fn load(&self, server: ServerKey) -> Option<f64> {
        let evidence = self.servers.get(&server)?.evidence;
        let quorum = self.options.quorum * f64::from(self.options.gateways);
        (f64::from(evidence.reporting_gateways) >= quorum).then_some(evidence.load)
    }

    /// Returns the measured capacity of a server, as a weight; `None` if there is no measurement.
    pub fn measured(&self, server: ServerKey) -> Option<MeasuredWeight> {
        let state = self.servers.get(&server)?;
        state.measurement.map(|measurement| MeasuredWeight {
            weight: measurement.ln_capacity.exp(),
            ln_std_dev: measurement.variance.sqrt(),
            gamma: state.pooled.gamma,
        })
    }

    /// Returns the evidence for a server's weight.
    pub fn evidence(&self, server: ServerKey) -> Option<Evidence> {
        self.servers.get(&server).map(|state| state.evidence)
    }

    /// Returns the fraction of its throughput that a server has at `now` by its recovery ramp.
    fn ramp(&self, now: Duration, started: Option<Duration>) -> f64 {
        let Some(started) = started else { return 1.0 };
        let (age, warm) = (now.saturating_sub(started).as_secs_f64(), self.options.warm_within.as_secs_f64());
        if age >= warm {
            return 1.0;
        }
        self.options.cold_from + (1.0 - self.options.cold_from) * age / warm
    }

    /// Returns whether the server is warm. Before that, its behaviour doesn't show the capacity that it will
    /// have.
    pub fn is_warm(&self, now: Duration, server: ServerKey) -> bool {
        self.servers.get(&server).is_some_and(|state| self.ramp(now, state.server.started) >= 1.0)
    }

    /// Returns the weight of a server, including its recovery ramp; `None` if it is not listed.
    pub fn weight(&self, now: Duration, server: ServerKey) -> Option<f64> {
        let state = self.servers.get(&server)?;
        let ramp = if self.has_defect(Defect::NoRamp) { 1.0 } else { self.ramp(now, state.server.started) };
        Some(state.ln_weight.exp() * ramp)
    }

    /// Returns all listed servers with their weights.
    pub fn weights(&self, now: Duration) -> impl Iterator<Item = (ServerKey, f64)> {
        self.servers.keys().filter_map(move |&key| Some((key, self.weight(now, key)?)))
    }

    /// Returns the capacity of a server that has `load` and completes a set-up at `setup_rate` per second;
    /// `None` while the work of a set-up is unknown.
    pub fn capacity(&self, load: f64, setup_rate: f64) -> Option<f64> {
        let capacity =
            if self.has_defect(Defect::CapacityIsLoad) { load } else { load + self.setup_work * setup_rate };
        (self.setup_work > 0.0 && capacity > 0.0).then_some(capacity)
    }

    /// Evaluates all evidence and changes the weights towards the estimates. To be called every one or two
    /// seconds.
    pub fn update(&mut self, now: Duration) {
        if now >= self.next_removal {
            let retention = self.options.report_ttl * RETENTION_FACTOR;
            self.registers.remove_older(now.saturating_sub(retention));
            self.next_removal = now + self.options.report_ttl;
        }
        let noise = self.collect_evidence(now);
        self.measure(noise);
        let row = |state: &ServerState| Row {
            kind: state.server.kind,
            ln_listed: state.server.weight.ln(),
            measurement: state.measurement,
        };
        let rows: Vec<Row> = self.servers.values().map(row).collect();
        for (state, pooled) in self.servers.values_mut().zip(pool(&rows)) {
            state.pooled = pooled;
        }
        if self.has_defect(Defect::NoPooling) {
            for state in self.servers.values_mut() {
                let expected = state.pooled.expected;
                state.pooled.estimate = state.measurement.map_or(expected, |it| it.ln_capacity);
            }
        }
        self.change_weights(now);
    }

    /// Returns the recent entries of each gateway on the present incarnations of the listed servers.
    fn recent_entries(&self, now: Duration) -> Vec<GatewayEntries> {
        let any_incarnation = self.has_defect(Defect::FormerIncarnation);
        let mut gateways = Vec::new();
        for (gateway, register) in self.registers.iter() {
            let mut recent =
                GatewayEntries { gateway, entries: Vec::new(), setups: 0.0, load: 0.0, connections: 0.0 };
            // Both maps are ordered by the server's key, so one pass over both finds the common servers.
            let mut listed = self.servers.iter().enumerate().peekable();
            for (key, &ReceivedEntry { entry, received_at }) in &register.entries {
                while listed.next_if(|(_, (listed_key, _))| *listed_key < key).is_some() {}
                let Some(&(index, (listed_key, state))) = listed.peek() else { break };
                let counts = listed_key == key && now.saturating_sub(received_at) <= self.options.report_ttl;
                if counts && (entry.incarnation == state.server.incarnation || any_incarnation) {
                    recent.setups += f64::from(entry.setups);
                    recent.load += entry.load.value();
                    recent.connections += f64::from(entry.connections);
                    recent.entries.push((index, entry));
                }
            }
            if !recent.entries.is_empty() {
                gateways.push(recent);
            }
        }
        gateways
    }

    /// Combines the registers to the evidence of each server, with limits per gateway. Returns the standard
    /// deviation of one set-up's rate (logarithm).
    fn collect_evidence(&mut self, now: Duration) -> f64 {
        let gateways = self.recent_entries(now);
        self.reporting = gateways.len() as f64 / f64::from(self.options.gateways);
        let accepted = || gateways.iter().filter(|it| !self.outliers.contains(&it.gateway));
        let limits = Limits::new(accepted(), self.servers.len());
        let mut evidence = vec![Evidence::default(); self.servers.len()];
        let mut setups: Vec<Vec<SetupRow>> = self.servers.values().map(|_| Vec::new()).collect();
        let incarnations: Vec<Incarnation> =
            self.servers.values().map(|state| state.server.incarnation).collect();
        let unlimited = self.has_defect(Defect::NoContributionLimit);
        for gateway in accepted() {
            let setups_factor = reduction(gateway.setups, limits.total_setups);
            let load_factor = reduction(gateway.load, limits.total_load);
            for &(index, entry) in &gateway.entries {
                let server = &mut evidence[index];
                server.other_incarnations += u32::from(entry.incarnation != incarnations[index]);
                server.reporting_gateways += 1;
                server.load += (entry.load.value() * load_factor).min(limits.server_load);
                let logs = entry.setup_rate.ln().zip(entry.load_at_setup.ln());
                let Some((ln_rate, ln_load)) = logs.filter(|_| entry.setups > 0) else { continue };
                let reported = f64::from(entry.setups);
                let counted =
                    if unlimited { reported } else { (reported * setups_factor).min(limits.server_setups) };
                server.setups += counted;
                server.gateways += 1;
                server.contribution = Contribution {
                    largest: server.contribution.largest.max(counted),
                    limit: limits.server_setups,
                };
                let ln_capacity = entry.capacity.ln().unwrap_or(f64::NAN);
                setups[index].push(SetupRow { ln_rate, ln_load, ln_capacity, weight: counted });
            }
        }
        let residuals = self.store_evidence(evidence, &setups);
        self.find_outliers(&gateways);
        if residuals.len() < NOISE_MIN_RESIDUALS {
            return NOISE_DEFAULT;
        }
        median(residuals.into_iter())
            .map_or(NOISE_DEFAULT, |deviation| (deviation / NORMAL_MAD_RATIO).clamp(NOISE_MIN, NOISE_MAX))
    }

    /// Stores the evidence of each server with the medians of its set-ups. Returns the absolute deviations of
    /// the set-up rates (logarithms) from their medians, each scaled to one set-up.
    fn store_evidence(&mut self, evidence: Vec<Evidence>, setups: &[Vec<SetupRow>]) -> Vec<f64> {
        let mut residuals = Vec::new();
        for ((state, mut evidence), rows) in self.servers.values_mut().zip(evidence).zip(setups) {
            // Gateways without a report are assumed to have the mean load of the others.
            evidence.load *=
                (f64::from(self.options.gateways) / f64::from(evidence.reporting_gateways.max(1))).max(1.0);
            let ln_rate = column_median(rows, |row| row.ln_rate);
            let ln_load = column_median(rows, |row| row.ln_load);
            if let Some((ln_rate, ln_load)) = ln_rate.zip(ln_load) {
                (evidence.setup_rate, evidence.load_at_setup) = (ln_rate.exp(), ln_load.exp());
                evidence.capacity = column_median(rows, |row| row.ln_capacity).map_or(0.0, f64::exp);
                if rows.len() > 2 {
                    // The row at the median has no deviation by construction and is left out.
                    let deviations =
                        rows.iter().map(|row| (row.ln_rate - ln_rate).abs() * row.weight.max(1.0).sqrt());
                    residuals.extend(deviations.filter(|&deviation| deviation > 0.0));
                }
            }
            state.evidence = evidence;
        }
        residuals
    }

    /// Finds the gateways whose capacity estimates deviate from those of all gateways, for the next update:
    /// those with the largest deviations, up to the maximum fraction of the gateways.
    fn find_outliers(&mut self, gateways: &[GatewayEntries]) {
        let capacities: Vec<f64> = self.servers.values().map(|state| state.evidence.capacity).collect();
        let deviation = |gateway: &GatewayEntries| {
            let server_deviation = |&(index, entry): &(usize, Entry)| {
                let reported = entry.capacity.ln().filter(|_| entry.setups > 0 && capacities[index] > 0.0)?;
                Some((reported - capacities[index].ln()).abs() * f64::from(entry.setups).sqrt())
            };
            let deviations: Vec<f64> = gateway.entries.iter().filter_map(server_deviation).collect();
            let enough = deviations.len() >= OUTLIER_MIN_SERVERS;
            median(deviations.into_iter()).filter(|_| enough).map(|deviation| (deviation, gateway.gateway))
        };
        let mut rows: Vec<(f64, GatewayId)> = gateways.iter().filter_map(deviation).collect();
        rows.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        let typical = median(rows.iter().map(|row| row.0)).unwrap_or(f64::MAX);
        let max_outliers = (MAX_OUTLIER_FRACTION * f64::from(self.options.gateways)) as usize;
        let largest = rows.into_iter().take(max_outliers);
        self.outliers = largest
            .filter(|&(deviation, _)| deviation > OUTLIER_DEVIATION_RATIO * typical)
            .map(|(_, gateway)| gateway)
            .collect();
    }

    /// Returns the gateways whose reports are ignored because they deviate from those of the other gateways.
    pub fn outliers(&self) -> impl Iterator<Item = GatewayId> {
        self.outliers.iter().copied()
    }

    /// Computes the measured capacity of each server from the evidence, in the scale of the listed weights.
    fn measure(&mut self, noise: f64) {
        let overloaded = self.overload_measurements(self.options.max_fault);
        let load_per_weight = self.options.load_per_weight.or_else(|| {
            let enough = overloaded.len() >= MIN_OVERLOADED_SERVERS;
            enough.then(|| median(self.ln_ratios(&overloaded)).map(f64::exp)).flatten()
        });
        let mut measured = self.setup_measurements(load_per_weight, noise);
        if load_per_weight.is_some() {
            for (key, overload) in &overloaded {
                let (ln_capacity, precision) =
                    measured.get(key).map_or((0.0, 0.0), |it| (it.ln_capacity, 1.0 / it.variance));
                let overload_precision = 1.0 / overload.variance;
                let total = precision + overload_precision;
                let mean = (ln_capacity * precision + overload.ln_capacity * overload_precision) / total;
                measured.insert(*key, Measurement { ln_capacity: mean, variance: 1.0 / total });
            }
        }
        let shift = median(self.ln_ratios(&measured)).unwrap_or(0.0);
        for (key, state) in &mut self.servers {
            let clamp = self.options.clamp.ln();
            let ln_listed = state.server.weight.ln();
            state.measurement = measured.get(key).map(|it| Measurement {
                ln_capacity: (it.ln_capacity - shift).clamp(ln_listed - clamp, ln_listed + clamp),
                variance: it.variance,
            });
        }
    }

    /// Returns the logarithm of the ratio of each measured capacity to the listed weight.
    fn ln_ratios(&self, measured: &BTreeMap<ServerKey, Measurement>) -> impl Iterator<Item = f64> {
        measured
            .iter()
            .map(|(key, measurement)| measurement.ln_capacity - self.servers[key].server.weight.ln())
    }

    /// Estimates the work of a set-up, and from it the capacity of each server with set-ups, in units of
    /// load.
    fn setup_measurements(
        &mut self,
        load_per_weight: Option<f64>,
        noise: f64,
    ) -> BTreeMap<ServerKey, Measurement> {
        let (mut listed, mut load, mut setup_rate) = (0.0, 0.0, 0.0);
        for state in self.servers.values().filter(|state| state.evidence.setup_rate > 0.0) {
            listed += state.server.weight;
            load += state.evidence.load_at_setup;
            setup_rate += state.evidence.setup_rate;
        }
        let free = load_per_weight.map_or(
            load * (1.0 - ASSUMED_UTILIZATION) / ASSUMED_UTILIZATION,
            |load_per_weight| {
                (load_per_weight * listed - load).max(MIN_FREE_FRACTION * load_per_weight * listed)
            },
        );
        let setup_work = if setup_rate > 0.0 { free / setup_rate } else { 0.0 };
        self.setup_work = setup_work;
        let mean_free_fraction = if free > 0.0 { free / (load + free) } else { 1.0 };
        let mut measured = BTreeMap::new();
        for state in self.servers.values().filter(|state| state.evidence.setup_rate > 0.0) {
            let evidence = &state.evidence;
            let by_medians = self.capacity(evidence.load_at_setup, evidence.setup_rate);
            let by_setups = Some(evidence.capacity).filter(|&capacity| capacity > 0.0);
            let Some(capacity) = by_setups.or(by_medians) else { continue };
            // Without the fleet's mean as the lower bound, a server's variance would be the smaller, the
            // slower its few set-ups were.
            let free_fraction = (setup_work * evidence.setup_rate / capacity).clamp(mean_free_fraction, 1.0);
            let variance = (free_fraction * noise).powi(2) * MEDIAN_VARIANCE_RATIO / evidence.setups.max(0.1)
                + ((1.0 - free_fraction) * LOAD_STD_DEV).powi(2)
                + MIN_STD_DEV.powi(2);
            measured.insert(state.server.key, Measurement { ln_capacity: capacity.ln(), variance });
        }
        measured
    }

    /// Returns the loads at the overload signals, in units of load, of the servers that have been shedding
    /// connections or slow for longer than `max_fault`.
    fn overload_measurements(&self, max_fault: Duration) -> BTreeMap<ServerKey, Measurement> {
        let lasting = |state: &&ServerState| {
            state.overload.is_some_and(|period| period.last - period.first > max_fault)
        };
        let mut measured = BTreeMap::new();
        for state in self.servers.values().filter(lasting) {
            let received =
                self.registers.iter().filter_map(|(_, register)| register.entries.get(&state.server.key));
            let entries = received
                .map(|received| &received.entry)
                .filter(|entry| entry.overloads > 0 && entry.incarnation == state.server.incarnation);
            let loads: Vec<f64> = entries.filter_map(|entry| entry.load_at_overload.ln()).collect();
            let variance = OVERLOAD_STD_DEV.powi(2) / (loads.len() as f64).clamp(1.0, 4.0);
            if let Some(ln_capacity) = median(loads.into_iter()) {
                measured.insert(state.server.key, Measurement { ln_capacity, variance });
            }
        }
        measured
    }

    /// Changes each weight towards its estimate, by at most the configured rate since the last update.
    fn change_weights(&mut self, now: Duration) {
        let step =
            self.updated_at.map_or(Duration::ZERO, |updated_at| now.saturating_sub(updated_at)).min(MAX_STEP);
        self.updated_at = Some(now.max(self.updated_at.unwrap_or_default()));
        let max_change = if self.has_defect(Defect::NoRateLimit) {
            f64::MAX
        } else {
            self.options.max_rate * step.as_secs_f64()
        };
        let listed: f64 = self.servers.values().map(|state| state.server.weight).sum();
        let estimated: f64 = self.servers.values().map(|state| state.pooled.estimate.exp()).sum();
        let shift = if estimated > 0.0 { (listed / estimated).ln() } else { 0.0 };
        let frozen = self.reporting < self.options.quorum && !self.has_defect(Defect::NoQuorum);
        let (clamp, hysteresis) = (self.options.clamp.ln(), self.options.hysteresis);
        for state in self.servers.values_mut() {
            (state.previous_ln_weight, state.step_s) = (state.ln_weight, step.as_secs_f64());
            if frozen {
                continue;
            }
            let ln_listed = state.server.weight.ln();
            let target = (state.pooled.estimate + shift).clamp(ln_listed - clamp, ln_listed + clamp);
            let distance = target - state.ln_weight;
            state.changing =
                distance.abs() > if state.changing { hysteresis * STOP_FRACTION } else { hysteresis };
            if state.changing {
                state.ln_weight += distance.clamp(-max_change, max_change);
            }
        }
    }

    /// Checks all invariants; `now` is the time of the last event.
    pub fn check(&self, now: Duration) -> Result<(), Violation> {
        for (gateway, register) in self.registers.iter() {
            if register.checksum != register.digest() {
                return Err(Violation::Altered { gateway: gateway.0 });
            }
        }
        for (&key, state) in &self.servers {
            self.check_weight(now, key.0, state)?;
            self.check_estimate(key.0, state)?;
        }
        Ok(())
    }

    /// Checks the clamp, the rate of change, the quorum and the recovery ramp of one server's weight.
    fn check_weight(&self, now: Duration, server: u32, state: &ServerState) -> Result<(), Violation> {
        let weight = self.weight(now, state.server.key).unwrap_or(f64::NAN);
        let distance = (state.ln_weight - state.server.weight.ln()).abs();
        if !(distance <= self.options.clamp.ln() + TOLERANCE && weight > 0.0) {
            return Err(Violation::OutOfClamp { server, weight, listed: state.server.weight });
        }
        let change = (state.ln_weight - state.previous_ln_weight).abs();
        let max = self.options.max_rate * state.step_s;
        if change > max + TOLERANCE {
            return Err(Violation::Jumped { server, change, max });
        }
        if change > 0.0 && self.reporting < self.options.quorum {
            return Err(Violation::MovedUnheard { server, reporting: self.reporting });
        }
        let max = state.ln_weight.exp() * self.ramp(now, state.server.started);
        if weight > max * (1.0 + TOLERANCE) {
            return Err(Violation::ColdWhole { server, weight, max });
        }
        Ok(())
    }

    /// Checks the evidence and the capacity estimate of one server.
    fn check_estimate(&self, server: u32, state: &ServerState) -> Result<(), Violation> {
        let evidence = &state.evidence;
        if evidence.other_incarnations > 0 {
            return Err(Violation::OtherLife { server, entries: evidence.other_incarnations });
        }
        let Contribution { largest, limit } = evidence.contribution;
        if largest > limit + TOLERANCE {
            return Err(Violation::TooLoud { server, counted: largest, max: limit });
        }
        let Pooled { expected, estimate, .. } = state.pooled;
        let gamma = match state.measurement {
            Some(Measurement { ln_capacity, .. }) if (ln_capacity - expected).abs() > TOLERANCE => {
                (estimate - expected) / (ln_capacity - expected)
            }
            _ => 0.0,
        };
        let max = state.measurement.map_or(0.0, |measurement| max_gamma(measurement.variance));
        if !(-TOLERANCE..=max + TOLERANCE).contains(&gamma) {
            return Err(Violation::NotPooled { server, gamma, max });
        }
        if self.setup_work > 0.0 && evidence.load_at_setup > 0.0 {
            let (load, setup_rate) = (evidence.load_at_setup, evidence.setup_rate);
            let expected = self.capacity(load, setup_rate);
            let found = self.capacity(load / 2.0, setup_rate + load / 2.0 / self.setup_work);
            if let Some((expected, found)) =
                expected.zip(found).filter(|(expected, found)| (found / expected - 1.0).abs() > TOLERANCE)
            {
                return Err(Violation::FollowsLoad { server, found, expected });
            }
        }
        Ok(())
    }

    /// Returns the fraction of the gateways with recent reports. Below the quorum, weights don't change.
    pub fn reporting(&self) -> f64 {
        self.reporting
    }

    /// Returns the gateways that have an entry that counts at `now`.
    pub fn reporting_gateways(&self, now: Duration) -> Vec<GatewayId> {
        let recent =
            |received: &ReceivedEntry| now.saturating_sub(received.received_at) <= self.options.report_ttl;
        let reporting = self.registers.iter().filter(|(_, register)| register.entries.values().any(recent));
        reporting.map(|(gateway, _)| gateway).collect()
    }
}
