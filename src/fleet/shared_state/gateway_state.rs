//! Shared state at one gateway: its inputs are this gateway's observations and the other gateways' datagrams,
//! its outputs are outliers and fleet-wide counts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ashtide_fleet::DecodeError;
use ashtide_fleet::state::{
    CounterKey, EvidenceKind, Exchange, ExchangeConfig, LeaseConfig, MAX_CELLS, OutlierLimits, Violation,
};

use super::text::kind_name;
use super::{GatewaySlots, OBSERVED_KINDS, OutcomeReport, OutlierMode, Settings, name_hash};

/// Maximum number of counter names that are retained for the admin endpoint.
const MAX_TRACKED_NAMES: usize = 8192;
/// Capacity units of a server of size 1.
const CAPACITY_UNITS_PER_SERVER: f64 = 1_000.0;

/// Kinds of evidence that eject a server. An overrun server is not ejected: it sheds its excess load itself,
/// and without it the other servers would be overrun next.
const EJECTING_KINDS: [EvidenceKind; 2] = [EvidenceKind::Failing, EvidenceKind::Silent];

/// Observation of a server of the endpoint list.
#[derive(Debug, Clone, Copy)]
pub struct ServerObservation<'a> {
    /// Hash of the server's name.
    pub key: u32,
    /// Name of the server.
    pub name: &'a str,
    /// Size of the server by the endpoint list, relative to a server of size 1.
    pub size: f64,
    /// Whether the server is ready by the endpoint list and not cordoned by an operator.
    pub ready: bool,
    /// Number of open connections from this gateway to the server.
    pub open_connections: u32,
}

/// Observations of this gateway at one time.
#[derive(Debug, Clone, Default)]
pub struct LocalObservation<'a> {
    /// Servers of the endpoint list.
    pub servers: Vec<ServerObservation<'a>>,
    /// Name of each tenant, with the number of its open connections at this gateway.
    pub tenants: Vec<(&'a str, u32)>,
    /// Outcome reports of the servers that have new outcomes, by the hash of their names.
    pub outcome_reports: Vec<(u32, OutcomeReport)>,
}

/// Result of an observation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OutlierDecision {
    /// Ejected servers, which get no new connections, by the hash of their names.
    pub ejected: BTreeSet<u32>,
    /// Log lines about changes.
    pub log_lines: Vec<String>,
    /// Violated invariant, if the check found one.
    pub violation: Option<Violation>,
}

/// Key and capacity units of a ready server, as the outlier detection takes them.
type ReadyServer = (u32, u64);

/// Counter of this gateway that is published to the others.
#[derive(Debug, Clone, Copy)]
struct OwnCounter<'a> {
    name: &'a str,
    open_connections: u32,
}

/// Metrics of the shared state. Capacities are in units of [`CAPACITY_UNITS_PER_SERVER`].
#[derive(Debug, Default)]
pub(super) struct Metrics {
    pub(super) received_datagrams: u64,
    pub(super) superseded: u64,
    pub(super) checks: u64,
    pub(super) check_time: Duration,
    pub(super) violations: u64,
    pub(super) ready_capacity: u64,
    pub(super) ejected_capacity: u64,
}

/// Shared state at one gateway.
pub struct GatewayState {
    settings: Settings,
    pub(super) slots: GatewaySlots,
    /// Incarnation of this process in the membership view.
    view_incarnation: u64,
    /// Incarnation in datagrams. It is later than the one in the view once counts were reset.
    pub(super) incarnation: u64,
    pub(super) exchange: Exchange,
    /// Names of servers and tenants by their counters.
    pub(super) names: BTreeMap<CounterKey, String>,
    /// Counters of this gateway that have been published.
    published_counters: BTreeSet<CounterKey>,
    /// Outliers and their kinds of evidence, whether or not this gateway ejects them.
    pub(super) outliers: BTreeMap<u32, EvidenceKind>,
    pub(super) is_started: bool,
    is_leaving: bool,
    pub(super) metrics: Metrics,
}

impl GatewayState {
    /// Creates the state of the gateway with slot `slots.own()`, in its process `incarnation`. `seed` is the
    /// seed of its random choices.
    pub fn new(
        settings: Settings,
        fleet_id: u32,
        slots: GatewaySlots,
        incarnation: u64,
        seed: u64,
        now: Duration,
    ) -> Self {
        let config = ExchangeConfig {
            fleet_id,
            slot_count: slots.len(),
            datagrams_per_second: settings.max_datagrams_per_second,
            lease: LeaseConfig::default(),
            outlier_limits: OutlierLimits { ejecting_kinds: &EJECTING_KINDS, ..OutlierLimits::default() },
        };
        let exchange = Exchange::new(config, slots.own(), incarnation, seed, now);
        Self {
            settings,
            slots,
            view_incarnation: incarnation,
            incarnation,
            exchange,
            names: BTreeMap::new(),
            published_counters: BTreeSet::new(),
            outliers: BTreeMap::new(),
            is_started: false,
            is_leaving: false,
            metrics: Metrics::default(),
        }
    }

    /// Returns the exchange, which has the budgets, counts and outlier reports.
    pub fn exchange(&mut self) -> &mut Exchange {
        &mut self.exchange
    }

    /// Returns the slots of all configured gateways.
    pub fn slots(&self) -> &GatewaySlots {
        &self.slots
    }

    /// Sets the members that are alive in the view.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = SocketAddr>) {
        let slots = &self.slots;
        self.exchange.set_peers(peers.into_iter().filter_map(|peer| slots.slot_of(peer)));
    }

    /// Handles that the view has rejoined as `incarnation`. If it is the next number, others had wrongly
    /// declared this process dead. A later number shows that another process of this gateway ran in between:
    /// the state restarts, and a line for the log is returned.
    pub fn handle_new_incarnation(&mut self, incarnation: u64) -> Option<String> {
        let is_superseded = incarnation > self.view_incarnation.saturating_add(1);
        self.view_incarnation = incarnation;
        if !is_superseded {
            return None;
        }
        self.incarnation = incarnation.max(self.incarnation + 1);
        self.metrics.superseded += 1;
        self.exchange.restart(self.incarnation);
        Some(format!(
            "state: another process of this gateway ran meanwhile; restarted as generation {incarnation}, \
             lending nothing for one lease"
        ))
    }

    /// Leaves the fleet. The units allocated to this gateway's slot now belong to its successor.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.exchange.relinquish();
        self.exchange.set_peers([]);
    }

    /// Advances the time to `now`.
    pub fn advance_to(&mut self, now: Duration) {
        self.exchange.advance_to(now);
    }

    /// Handles a datagram.
    ///
    /// # Errors
    ///
    /// Returns the reason if the datagram is rejected. A rejected datagram is counted and changes no state.
    pub fn handle_datagram(&mut self, from: SocketAddr, datagram: &[u8]) -> Result<(), DecodeError> {
        self.exchange.handle_datagram_from(self.slots.slot_of(from), datagram)?;
        self.metrics.received_datagrams += 1;
        Ok(())
    }

    /// Returns the next datagram to send, with its destination.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let (slot, datagram) = self.exchange.next_datagram()?;
        Some((self.slots.address_of(slot)?, datagram))
    }

    /// Records the observations of this gateway at `now`, and updates outliers and counts.
    pub fn observe(&mut self, now: Duration, observation: &LocalObservation) -> OutlierDecision {
        self.exchange.advance_to(now);
        let counters = own_counters(observation);
        self.track_names(&counters);
        if self.settings.count_connections && !self.is_leaving {
            self.publish_counts(&counters);
        }
        let mut decision = OutlierDecision::default();
        if self.exchange.is_started() && !self.is_started {
            self.is_started = true;
            let peers = self.exchange.peers().len();
            decision.log_lines.push(format!("state: shared state is in use ({peers} peers)"));
        }
        let ready = ready_servers(observation);
        if self.settings.outlier_mode != OutlierMode::Off {
            self.record_evidence(now, observation);
            self.decide_outliers(&ready, &mut decision);
        }
        if self.settings.check_invariants {
            decision.violation = self.check(&ready);
        }
        decision
    }

    fn track_names(&mut self, counters: &BTreeMap<CounterKey, OwnCounter>) {
        self.names.retain(|key, _| counters.contains_key(key));
        for (&key, counter) in counters {
            self.names.entry(key).or_insert_with(|| counter.name.to_owned());
        }
    }

    fn publish_counts(&mut self, counters: &BTreeMap<CounterKey, OwnCounter>) {
        // A count of zero is published only for a counter whose published count was above zero before.
        let in_use = |key: &CounterKey| counters.get(key).is_some_and(|counter| counter.open_connections > 0);
        self.published_counters.extend(counters.keys().filter(|&key| in_use(key)));
        let used = self.published_counters.iter().filter(|&key| in_use(key)).count();
        // Servers are added and removed. Once the published counters fill half of the cells and most of them
        // are unused, the unused ones are dropped and the counts restart under a later incarnation.
        if self.published_counters.len() > MAX_CELLS / 2 && used < self.published_counters.len() / 2 {
            self.published_counters.retain(in_use);
            self.incarnation += 1;
            self.exchange.reset_counts(self.incarnation);
        }
        for key in &self.published_counters {
            let count = counters.get(key).map_or(0, |counter| counter.open_connections);
            self.exchange.set_count(*key, count);
        }
    }

    /// Records the faults that were observed, and the successes of servers against which any gateway has
    /// evidence.
    fn record_evidence(&mut self, now: Duration, observation: &LocalObservation) {
        let saturate = |count: u32| count.min(u32::from(u16::MAX)) as u16;
        let reports = self.exchange.outlier_reports_mut();
        for &(server, report) in &observation.outcome_reports {
            for (kind, observed) in OBSERVED_KINDS.into_iter().zip(report.observations) {
                if observed > 0 || reports.has_evidence_against(server, kind) {
                    reports.record_observation(
                        now,
                        server,
                        kind,
                        saturate(observed),
                        saturate(report.attempts),
                    );
                }
            }
        }
    }

    fn decide_outliers(&mut self, ready: &[ReadyServer], decision: &mut OutlierDecision) {
        let enforce =
            self.settings.outlier_mode == OutlierMode::Enforce && self.is_started && !self.is_leaving;
        let outliers: BTreeMap<u32, EvidenceKind> =
            self.exchange.outlier_reports_mut().update_outliers(ready).into_iter().collect();
        self.metrics.ready_capacity = ready.iter().map(|&(_, capacity)| capacity).sum();
        self.metrics.ejected_capacity = outliers.keys().map(|&server| capacity_of(ready, server)).sum();
        for (&server, &kind) in outliers.iter().filter(|(server, _)| !self.outliers.contains_key(server)) {
            decision.log_lines.push(self.outlier_line(server, kind, enforce));
        }
        for &server in self.outliers.keys().filter(|server| !outliers.contains_key(server)) {
            let name = self.server_name(server);
            decision.log_lines.push(format!("state: server {name} is no longer an outlier"));
        }
        if enforce {
            decision.ejected = outliers.keys().copied().collect();
        }
        self.outliers = outliers;
    }

    fn outlier_line(&self, server: u32, kind: EvidenceKind, enforce: bool) -> String {
        let name = self.server_name(server);
        let reason = kind_name(kind);
        let weight = self.exchange.outlier_reports().evidence_weight(server, kind);
        let consequence = match enforce {
            true => "it gets no new connections",
            false => "it still gets new connections",
        };
        format!("state: server {name} is an outlier ({reason}, evidence {weight}/1000); {consequence}")
    }

    fn server_name(&self, server: u32) -> String {
        match self.names.get(&CounterKey::OpenOnServer(server)) {
            Some(name) => name.clone(),
            None => format!("{server:#010x}"),
        }
    }

    fn check(&mut self, ready: &[ReadyServer]) -> Option<Violation> {
        let started_at = Instant::now();
        let violation = self.exchange.check(ready).err();
        self.metrics.check_time += started_at.elapsed();
        self.metrics.checks += 1;
        self.metrics.violations += u64::from(violation.is_some());
        violation
    }
}

fn own_counters<'a>(observation: &LocalObservation<'a>) -> BTreeMap<CounterKey, OwnCounter<'a>> {
    let servers = observation.servers.iter().map(|server| {
        let counter = OwnCounter { name: server.name, open_connections: server.open_connections };
        (CounterKey::OpenOnServer(server.key), counter)
    });
    let tenants = observation.tenants.iter().map(|&(name, open_connections)| {
        (CounterKey::OpenForPartner(name_hash(name)), OwnCounter { name, open_connections })
    });
    servers.chain(tenants).take(MAX_TRACKED_NAMES).collect()
}

fn ready_servers(observation: &LocalObservation) -> Vec<ReadyServer> {
    let ready = observation.servers.iter().filter(|server| server.ready);
    ready
        .map(|server| (server.key, (server.size.clamp(0.001, 1e6) * CAPACITY_UNITS_PER_SERVER) as u64))
        .collect()
}

fn capacity_of(ready: &[ReadyServer], server: u32) -> u64 {
    ready.iter().filter(|&&(key, _)| key == server).map(|&(_, capacity)| capacity).sum()
}
