//! A deployment in virtual time: servers of several kinds, long-lived connections, and gateways that select
//! the less loaded of two random servers for each connection.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::time::Duration;

use ashtide_throughput::{
    Entry, GatewayId, Incarnation, Log, Observer, Options, Server, ServerKey, Weights, decode, encode,
    perturbed_weight,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Work per second of a server of speed 1, in units of load.
pub const CORE: f64 = 1e6;
/// Mean number of established connections on a server of speed 1, as in the simulated days of the
/// deployments.
const CONNECTIONS_PER_SPEED: f64 = 27.0;
/// Minimum lifetime of a connection, in seconds. Lifetimes are uniformly distributed.
const MIN_LIFETIME_S: f64 = 31.0;
/// Maximum lifetime of a connection, in seconds.
const MAX_LIFETIME_S: f64 = 270.0;
/// Mean work of a set-up, in units of load times seconds.
const SETUP_WORK: f64 = 0.004 * CORE;
/// Standard deviation of the logarithm of a set-up's work.
const SETUP_SIGMA: f64 = 0.4;
/// Standard deviation of the logarithm of a random factor on the duration of a set-up.
const DURATION_SIGMA: f64 = 0.25;
/// Network time of a set-up, in seconds; unknown to the gateway.
const NETWORK_S: f64 = 0.0005;
/// Number of zones. Each has one reader of the registers for all of its gateways, as they receive the same
/// reports.
pub const ZONES: usize = 3;
/// Time between two steps of the simulation, in seconds.
const STEP_S: f64 = 0.1;

/// Source of the weights by which connections are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightSource {
    Equal,
    List,
    Measured,
    True,
}

/// A server that is slow for a time.
#[derive(Debug, Clone)]
pub struct Slowdown {
    pub server: usize,
    /// Period in seconds.
    pub period_s: Range<f64>,
    /// Factor on the server's speed.
    pub factor: f64,
}

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub gateways: usize,
    pub servers: usize,
    pub weight_source: WeightSource,
    /// Speed of each kind; the kinds alternate over the servers.
    pub kind_speeds: Vec<f64>,
    /// Largest relative deviation of a server's speed from that of its kind; uniformly distributed.
    pub speed_deviation: f64,
    /// Standard deviation of the logarithm of the error of a listed weight.
    pub list_sigma: f64,
    /// Standard deviation of the logarithm of a connection's load.
    pub load_sigma: f64,
    /// Mean utilization of the servers.
    pub utilization: f64,
    /// Factor on the arrival rate during bursts, which last 5 s in every 30 s.
    pub burst: f64,
    /// Number of gateways that send false reports.
    pub faulty_gateways: usize,
    /// Period in seconds during which zone 0 is partitioned from the other zones.
    pub partition_s: Option<Range<f64>>,
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    pub slowdown: Option<Slowdown>,
    /// Whether each gateway perturbs its weights.
    pub perturb: bool,
    /// Whether `open / weight` is compared instead of `(open + 1) / weight`.
    pub open_over_weight: bool,
    /// Load that a listed weight of 1 stands for, as configured at the gateways.
    pub load_per_weight: Option<f64>,
}

impl Scenario {
    pub fn new(seed: u64, gateways: usize, servers: usize, weight_source: WeightSource) -> Self {
        Self {
            seed,
            gateways,
            servers,
            weight_source,
            kind_speeds: vec![1.0, 0.6],
            speed_deviation: 0.15,
            list_sigma: 0.25,
            load_sigma: 0.75,
            utilization: 0.6,
            burst: 1.0,
            faulty_gateways: 0,
            partition_s: None,
            loss: 0.02,
            slowdown: None,
            perturb: false,
            open_over_weight: false,
            load_per_weight: Some(CORE),
        }
    }
}

#[derive(Clone, Copy)]
struct Connection {
    gateway: usize,
    server: usize,
    load: f64,
    started_s: f64,
    /// Set-ups of the gateway in progress at the server, this one included.
    in_flight: u32,
}

/// Established connections of one gateway on one server.
#[derive(Clone, Copy, Default)]
struct Established {
    connections: u32,
    load: f64,
}

/// A scheduled event; events are ordered by time, then connection, and ends before completions.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at_us: u64,
    connection: usize,
    /// Whether the set-up completes; otherwise the connection ends.
    completes_setup: bool,
}

/// A datagram on its way to a zone's reader.
struct InTransit {
    arrival_us: u64,
    zone: usize,
    datagram: Vec<u8>,
}

pub struct Simulation {
    pub scenario: Scenario,
    /// Virtual time in seconds.
    pub now: f64,
    /// Speed of each server.
    pub speeds: Vec<f64>,
    /// Listed weight of each server.
    pub listed_weights: Vec<f64>,
    /// Present load on each server.
    pub loads: Vec<f64>,
    /// Number of connections that servers have shed.
    pub rejected: u64,
    /// Total length of all datagrams sent, in bytes.
    pub sent_bytes: u64,
    /// Established connections by gateway and server.
    established: Vec<Vec<Established>>,
    /// Number of set-ups in progress by gateway and server.
    setting_up: Vec<Vec<u32>>,
    schedule: BinaryHeap<Reverse<Scheduled>>,
    connections: Vec<Connection>,
    observers: Vec<Observer>,
    /// Version of the latest false entry.
    false_entries: u32,
    /// Reader of the registers in each zone.
    pub readers: Vec<Weights>,
    in_transit: Vec<InTransit>,
    arrival_rng: ChaCha8Rng,
    service_rng: ChaCha8Rng,
    network_rng: ChaCha8Rng,
    /// Whether connections are placed by the scenario's weights; by the listed ones until then.
    weights_enabled: bool,
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Returns a standard normal variable (Box-Muller transform).
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let (radius, angle): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
    (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let mut speeds = Vec::new();
        let mut listed_weights = Vec::new();
        for server in 0..scenario.servers {
            let kind_speed = scenario.kind_speeds[server % scenario.kind_speeds.len()];
            let speed = kind_speed * (1.0 + scenario.speed_deviation * (2.0 * rng.random::<f64>() - 1.0));
            speeds.push(speed);
            listed_weights.push(speed * (scenario.list_sigma * normal(&mut rng)).exp());
        }
        let options =
            Options { load_per_weight: scenario.load_per_weight, ..Options::new(scenario.gateways as u32) };
        let mut simulation = Self {
            now: 0.0,
            loads: vec![0.0; scenario.servers],
            rejected: 0,
            sent_bytes: 0,
            established: vec![vec![Established::default(); scenario.servers]; scenario.gateways],
            setting_up: vec![vec![0; scenario.servers]; scenario.gateways],
            schedule: BinaryHeap::new(),
            connections: Vec::new(),
            observers: vec![Observer::new(&options); scenario.gateways],
            false_entries: 0,
            readers: (0..ZONES).map(|_| Weights::new(options.clone()).expect("valid options")).collect(),
            in_transit: Vec::new(),
            service_rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ 0xff),
            network_rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ 0xff00),
            arrival_rng: rng,
            weights_enabled: false,
            speeds,
            listed_weights,
            scenario,
        };
        for server in 0..simulation.scenario.servers {
            simulation.add_server(server, Incarnation(1), None);
        }
        simulation
    }

    fn add_server(&mut self, index: usize, incarnation: Incarnation, started: Option<Duration>) {
        let key = ServerKey(index as u32);
        let kind = (index % self.scenario.kind_speeds.len()) as u32;
        let server = Server { key, kind, weight: self.listed_weights[index], incarnation, started };
        self.readers.iter_mut().for_each(|reader| reader.add_server(server));
        let now = at(self.now);
        self.observers.iter_mut().for_each(|observer| observer.add_server(now, key, incarnation));
    }

    /// Makes the gateways use the scenario's weights instead of the listed ones.
    pub fn enable_weights(&mut self) {
        self.weights_enabled = true;
    }

    fn current_speed(&self, server: usize) -> f64 {
        let slowdown = self.scenario.slowdown.as_ref();
        let active = slowdown.filter(|it| it.server == server && it.period_s.contains(&self.now));
        self.speeds[server] * active.map_or(1.0, |it| it.factor)
    }

    /// Returns the weight that the gateways of a zone use for a server.
    pub fn weight(&self, zone: usize, server: usize) -> f64 {
        match self.scenario.weight_source {
            _ if !self.weights_enabled && self.scenario.weight_source != WeightSource::Equal => {
                self.listed_weights[server]
            }
            WeightSource::Equal => 1.0,
            WeightSource::List => self.listed_weights[server],
            WeightSource::True => self.speeds[server],
            WeightSource::Measured => {
                self.readers[zone].weight(at(self.now), ServerKey(server as u32)).expect("a listed server")
            }
        }
    }

    /// Returns the number by which a gateway compares servers: connections over weight.
    fn relative_load(&self, gateway: usize, server: usize, connections_per_server: f64) -> f64 {
        let mut weight = self.weight(gateway % ZONES, server);
        if self.scenario.perturb {
            let (id, key) = (GatewayId(gateway as u16), ServerKey(server as u32));
            weight = perturbed_weight(weight, id, key, self.now as u64, connections_per_server);
        }
        let open = self.established[gateway][server].connections + self.setting_up[gateway][server];
        f64::from(open + u32::from(!self.scenario.open_over_weight)) / weight
    }

    /// Returns the number of arrivals per second that results in the scenario's number of connections.
    fn arrivals_per_second(&self) -> f64 {
        let speed: f64 = self.speeds.iter().sum();
        let connections = CONNECTIONS_PER_SPEED * speed;
        connections / ((MIN_LIFETIME_S + MAX_LIFETIME_S) / 2.0)
    }

    /// Returns the mean load of a connection that results in the scenario's utilization.
    fn mean_connection_load(&self) -> f64 {
        self.scenario.utilization * CORE / CONNECTIONS_PER_SPEED
    }

    /// Places a new connection. With `remaining_s`, it is established at once and ends after this time.
    fn connect(&mut self, remaining_s: Option<f64>) {
        let gateway = self.arrival_rng.random_range(0..self.scenario.gateways);
        let sigma = self.scenario.load_sigma;
        let ln_factor = sigma * normal(&mut self.arrival_rng) - sigma * sigma / 2.0;
        let load = self.mean_connection_load() * ln_factor.exp();
        let lifetime_s =
            remaining_s.unwrap_or_else(|| self.arrival_rng.random_range(MIN_LIFETIME_S..MAX_LIFETIME_S));
        let servers = self.scenario.servers;
        let first = self.arrival_rng.random_range(0..servers);
        let second = (first + self.arrival_rng.random_range(1..servers)) % servers;
        let connections: u32 = self.established[gateway].iter().map(|it| it.connections).sum();
        let per_server = f64::from(connections) / servers as f64;
        let second_is_less_loaded =
            self.relative_load(gateway, second, per_server) < self.relative_load(gateway, first, per_server);
        let mut server = if second_is_less_loaded { second } else { first };
        for _ in 0..3 {
            // The probability that an overloaded server sheds the connection grows with its overload.
            let utilization = self.loads[server] / (CORE * self.current_speed(server));
            if remaining_s.is_some()
                || utilization <= 1.0
                || self.service_rng.random::<f64>() > 2.0 * (utilization - 1.0) + 0.2
            {
                self.begin_setup(gateway, server, load, lifetime_s, remaining_s.is_some());
                return;
            }
            self.rejected += 1;
            if let Some(known_load) = self.known_load(gateway, server) {
                let key = ServerKey(server as u32);
                self.observers[gateway].record_overload(at(self.now), key, known_load);
            }
            server = self.service_rng.random_range(0..servers);
        }
    }

    /// Returns the load of all gateways on a server as known to a gateway; `None` if unknown or while it
    /// warms up.
    fn known_load(&self, gateway: usize, server: usize) -> Option<f64> {
        let (reader, key) = (&self.readers[gateway % ZONES], ServerKey(server as u32));
        reader.load(key).filter(|_| reader.is_warm(at(self.now), key))
    }

    fn begin_setup(&mut self, gateway: usize, server: usize, load: f64, lifetime_s: f64, at_once: bool) {
        let speed = self.current_speed(server);
        let free = (CORE * speed - self.loads[server]).max(0.05 * CORE * speed);
        let others: u32 = self.setting_up.iter().map(|by_server| by_server[server]).sum();
        let work = SETUP_WORK * (SETUP_SIGMA * normal(&mut self.service_rng)).exp();
        let noise = (DURATION_SIGMA * normal(&mut self.service_rng)).exp();
        let duration_s = if at_once { 0.0 } else { work * f64::from(others + 1) / free * noise + NETWORK_S };
        self.setting_up[gateway][server] += 1;
        let in_flight = self.setting_up[gateway][server];
        let connection = self.connections.len();
        self.connections.push(Connection { gateway, server, load, started_s: self.now, in_flight });
        let established_s = self.now + duration_s;
        for (at_s, completes_setup) in [(established_s, true), (established_s + lifetime_s, false)] {
            self.schedule.push(Reverse(Scheduled { at_us: micros(at_s), connection, completes_setup }));
        }
    }

    /// Completes the set-up of a connection or ends it.
    fn run_event(&mut self, connection: usize, completes_setup: bool) {
        let Connection { gateway, server, load, started_s, in_flight } = self.connections[connection];
        let (now, key) = (at(self.now), ServerKey(server as u32));
        let established = &mut self.established[gateway][server];
        if completes_setup {
            self.setting_up[gateway][server] -= 1;
            established.connections += 1;
            established.load += load;
            self.loads[server] += load;
            let duration_s = self.now - started_s;
            if let Some(known_load) = self.known_load(gateway, server).filter(|_| duration_s > 0.0) {
                self.observers[gateway].record_setup(now, key, at(duration_s), in_flight, known_load);
            }
        } else {
            established.connections -= 1;
            established.load = (established.load - load).max(0.0);
            self.loads[server] = (self.loads[server] - load).max(0.0);
        }
        let Established { connections, load } = self.established[gateway][server];
        self.observers[gateway].set_load(now, key, connections, load);
    }

    /// Returns the entries of a faulty gateway: half of the servers are slow and full, the others fast and
    /// empty.
    fn false_report(&mut self) -> Vec<(ServerKey, Entry)> {
        let mut entries = Vec::new();
        for index in 0..ashtide_throughput::MAX_ENTRIES {
            self.false_entries += 1;
            let position = self.now as usize * ashtide_throughput::MAX_ENTRIES + index;
            let server = position % self.scenario.servers;
            let slow = (server / 2) % 2 == 0;
            let entry = Entry {
                version: self.false_entries,
                incarnation: Incarnation(1),
                setups: ashtide_throughput::MAX_SAMPLES,
                observed_s: 80,
                setup_rate: Log::of(if slow { 20.0 } else { 2000.0 }),
                load_at_setup: Log::of(0.3 * CORE),
                capacity: Log::of(if slow { 0.3 * CORE } else { 3.0 * CORE }),
                load: Log::of(if slow { 1.0 } else { 0.5 * CORE }),
                connections: 10,
                overloads: 0,
                load_at_overload: Log::NONE,
            };
            entries.push((ServerKey(server as u32), entry));
        }
        entries
    }

    /// Sends one datagram per gateway, delivers those that are due, and updates the readers of the zones,
    /// each every second time. Called every second.
    fn exchange_reports(&mut self, second: usize) {
        for gateway in 0..self.scenario.gateways {
            self.send_report(gateway);
        }
        let now_us = micros(self.now);
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|it| it.arrival_us <= now_us);
        self.in_transit = later;
        for InTransit { zone, datagram, .. } in due {
            let report = decode(&datagram).expect("a datagram of this version");
            self.readers[zone].merge(at(self.now), &report).expect("capacity for the report");
        }
        for zone in 0..ZONES {
            if second % 2 == zone % 2 && self.weights_enabled {
                self.readers[zone].update(at(self.now));
                self.readers[zone].check(at(self.now)).expect("all invariants are satisfied");
            }
        }
    }

    /// Sends a gateway's report to the readers of all zones, with random loss and delay.
    fn send_report(&mut self, gateway: usize) {
        let own_zone = gateway % ZONES;
        let entries = if gateway < self.scenario.faulty_gateways {
            self.false_report()
        } else {
            let reader = &self.readers[own_zone];
            self.observers[gateway].take_due_entries(at(self.now), |load, rate| reader.capacity(load, rate))
        };
        if entries.is_empty() {
            return;
        }
        let datagram = encode(GatewayId(gateway as u16), 1, &entries);
        self.sent_bytes += datagram.len() as u64;
        for zone in 0..ZONES {
            let across = zone != own_zone && (zone == 0 || own_zone == 0);
            let partitioned =
                across && self.scenario.partition_s.as_ref().is_some_and(|it| it.contains(&self.now));
            if !partitioned && self.network_rng.random::<f64>() >= self.scenario.loss {
                let delay_s = self.network_rng.random_range(0.0..1.5);
                let arrival_us = micros(self.now + delay_s);
                self.in_transit.push(InTransit { arrival_us, zone, datagram: datagram.to_vec() });
            }
        }
    }

    /// Establishes the connections of a deployment in steady state, placed by the listed weights.
    pub fn fill(&mut self) {
        let connections = (self.arrivals_per_second() * (MIN_LIFETIME_S + MAX_LIFETIME_S) / 2.0) as usize;
        for _ in 0..connections {
            // A connection observed at a random time has a length-biased lifetime.
            let lifetime_s = loop {
                let lifetime_s = self.arrival_rng.random_range(MIN_LIFETIME_S..MAX_LIFETIME_S);
                if self.arrival_rng.random::<f64>() < lifetime_s / MAX_LIFETIME_S {
                    break lifetime_s;
                }
            };
            let remaining_s = lifetime_s * self.arrival_rng.random::<f64>();
            self.connect(Some(remaining_s.max(0.1)));
            self.run_events(micros(self.now));
        }
    }

    /// Runs the scheduled events up to and including a time.
    fn run_events(&mut self, until_us: u64) {
        while let Some(&Reverse(Scheduled { at_us, connection, completes_setup })) = self.schedule.peek() {
            if at_us > until_us {
                break;
            }
            self.schedule.pop();
            self.now = self.now.max(at_us as f64 / 1e6);
            self.run_event(connection, completes_setup);
        }
    }

    pub fn run(&mut self, seconds: f64) {
        let arrivals_per_second = self.arrivals_per_second();
        let from = self.now;
        let steps = (seconds / STEP_S).round() as usize;
        for step in 1..=steps {
            let until = from + step as f64 * STEP_S;
            // The rate between bursts is lower, so that bursts don't change the mean rate.
            let burst = self.scenario.burst;
            let base = 30.0 / (25.0 + 5.0 * burst);
            let factor = if until % 30.0 < 5.0 { burst * base } else { base };
            let expected = arrivals_per_second * factor * STEP_S;
            let arrivals =
                expected as usize + usize::from(self.arrival_rng.random::<f64>() < expected.fract());
            let mut times: Vec<f64> =
                (0..arrivals).map(|_| until - STEP_S * self.arrival_rng.random::<f64>()).collect();
            times.sort_by(f64::total_cmp);
            for time in times {
                self.run_events(micros(time));
                self.now = self.now.max(time);
                self.connect(None);
            }
            self.run_events(micros(until));
            self.now = until;
            let second = (until + STEP_S / 2.0) as usize;
            let second_begins = second > (until - STEP_S / 2.0) as usize;
            if second_begins && self.scenario.weight_source == WeightSource::Measured {
                self.exchange_reports(second);
            }
        }
    }

    /// Returns the load of all servers over their total speed.
    fn mean_utilization(&self) -> f64 {
        self.loads.iter().sum::<f64>() / self.speeds.iter().sum::<f64>()
    }

    /// Returns the largest load over speed of any server, relative to the mean.
    pub fn max_relative_utilization(&self) -> f64 {
        let utilizations = self.loads.iter().zip(&self.speeds).map(|(load, speed)| load / speed);
        utilizations.fold(0.0, f64::max) / self.mean_utilization()
    }

    /// Returns the standard deviation of load over speed, weighted by speed and relative to the mean.
    pub fn utilization_deviation(&self) -> f64 {
        let mean = self.mean_utilization();
        let square = |(load, speed): (&f64, &f64)| speed * (load / speed / mean - 1.0).powi(2);
        let sum: f64 = self.loads.iter().zip(&self.speeds).map(square).sum();
        (sum / self.speeds.iter().sum::<f64>()).sqrt()
    }

    /// Returns the standard deviation of the logarithm of weight over speed in a zone.
    pub fn weight_error(&self, zone: usize) -> f64 {
        let errors: Vec<f64> = (0..self.scenario.servers)
            .map(|server| (self.weight(zone, server) / self.speeds[server]).ln())
            .collect();
        let mean = errors.iter().sum::<f64>() / errors.len() as f64;
        (errors.iter().map(|error| (error - mean).powi(2)).sum::<f64>() / errors.len() as f64).sqrt()
    }

    /// Replaces a server by one of another speed under the same name.
    pub fn replace_server(&mut self, server: usize, speed: f64, incarnation: Incarnation) {
        self.speeds[server] = speed;
        self.add_server(server, incarnation, Some(at(self.now)));
    }
}
