//! Observations of one gateway: samples of each server, and the entries of the gateway's own register.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::options::Options;
use crate::register::{Entry, Incarnation, Log, MAX_ENTRIES, MAX_SAMPLES, MAX_SERVERS, ServerKey};
use crate::robust::median;

/// Time constant in seconds of the exponentially weighted mean load.
const LOAD_TIME_CONSTANT_S: f64 = 5.0;
/// Change of the natural logarithm of a load or capacity above which an entry is sent again.
const SEND_THRESHOLD: f64 = 0.05;
/// Fraction of [`Options::report_ttl`] after which an unchanged entry is sent again.
const REFRESH: f64 = 0.4;

/// One set-up, or one overload signal.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Duration,
    /// Natural logarithm of the rate of set-ups per second; 0 for an overload signal.
    ln_rate: f64,
    /// Natural logarithm of the load that all gateways held on the server.
    ln_load: f64,
}

/// Exponentially weighted integrals for the mean load.
#[derive(Debug, Clone, Copy, Default)]
struct LoadIntegral {
    /// Integral of the load over time.
    load_seconds: f64,
    /// Integral of time, in seconds.
    seconds: f64,
}

/// An entry as it was last sent.
#[derive(Debug, Clone, Copy)]
struct SentEntry {
    entry: Entry,
    at: Duration,
}

/// Observations of one server.
#[derive(Debug, Clone, Default)]
struct Observations {
    incarnation: Incarnation,
    setups: VecDeque<Sample>,
    overloads: VecDeque<Sample>,
    connections: u32,
    load: f64,
    /// Integrals up to `integrated_until`.
    integral: LoadIntegral,
    integrated_until: Duration,
    /// Time since which this incarnation has been observed.
    since: Duration,
    sent: Option<SentEntry>,
}

impl Observations {
    /// Extends the load integrals to `now`.
    fn integrate(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.integrated_until).as_secs_f64();
        let decay = (-elapsed / LOAD_TIME_CONSTANT_S).exp();
        let added = LOAD_TIME_CONSTANT_S * (1.0 - decay);
        self.integral.load_seconds = self.integral.load_seconds * decay + self.load * added;
        self.integral.seconds = self.integral.seconds * decay + added;
        self.integrated_until = self.integrated_until.max(now);
    }

    /// Returns the entry for the gateway's register, without a version.
    fn entry(&self, capacity: &dyn Fn(f64, f64) -> Option<f64>) -> Entry {
        let median_log = |samples: &VecDeque<Sample>, value: fn(&Sample) -> f64| {
            median(samples.iter().map(value)).map_or(Log::NONE, Log::from_ln)
        };
        let LoadIntegral { load_seconds, seconds } = self.integral;
        let mean_load = if seconds > 0.0 { load_seconds / seconds } else { self.load };
        let capacities =
            self.setups.iter().filter_map(|sample| capacity(sample.ln_load.exp(), sample.ln_rate.exp()));
        Entry {
            version: 0,
            incarnation: self.incarnation,
            setups: self.setups.len() as u8,
            observed_s: self.integrated_until.saturating_sub(self.since).as_secs().min(65_535) as u16,
            setup_rate: median_log(&self.setups, |sample| sample.ln_rate),
            load_at_setup: median_log(&self.setups, |sample| sample.ln_load),
            capacity: median(capacities).map_or(Log::NONE, Log::of),
            load: Log::of(mean_load),
            connections: self.connections.min(65_535) as u16,
            overloads: self.overloads.len() as u8,
            load_at_overload: median_log(&self.overloads, |sample| sample.ln_load),
        }
    }
}

/// Observations of one gateway.
#[derive(Debug, Clone)]
pub struct Observer {
    window: Duration,
    report_ttl: Duration,
    servers: BTreeMap<ServerKey, Observations>,
    version: u32,
}

impl Observer {
    /// Creates an observer without observations.
    pub fn new(options: &Options) -> Self {
        Self { window: options.window, report_ttl: options.report_ttl, servers: BTreeMap::new(), version: 0 }
    }

    /// Adds a listed server. A new incarnation discards the observations of the former one.
    pub fn add_server(&mut self, now: Duration, server: ServerKey, incarnation: Incarnation) {
        if self.servers.get(&server).is_some_and(|observations| observations.incarnation == incarnation) {
            return;
        }
        if self.servers.len() < MAX_SERVERS || self.servers.contains_key(&server) {
            let observations =
                Observations { incarnation, integrated_until: now, since: now, ..Observations::default() };
            self.servers.insert(server, observations);
        }
    }

    /// Removes a server that has left the list.
    pub fn remove_server(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// Records the set-up of a connection.
    ///
    /// `duration` is the set-up time at the server, without the network's part. `in_flight` is the number of
    /// set-ups of this gateway in progress at the server when this one began, itself included. `load` is the
    /// known load of all gateways on the server. Set-ups at a server that is warming up must not be recorded:
    /// they don't show the capacity that it will have.
    pub fn record_setup(
        &mut self,
        now: Duration,
        server: ServerKey,
        duration: Duration,
        in_flight: u32,
        load: f64,
    ) {
        let ln_rate = (f64::from(in_flight.max(1)) / duration.as_secs_f64().max(1e-6)).ln();
        // The logarithm needs a positive load: without load the whole server is free, and 0.001 stands for
        // zero.
        let ln_load = if load.is_finite() { load.max(1e-3).ln() } else { return };
        self.push_sample(server, Sample { at: now, ln_rate, ln_load }, |observations| {
            &mut observations.setups
        });
    }

    /// Records that the server shed a connection or slowed down while all gateways together held `load` on
    /// it.
    pub fn record_overload(&mut self, now: Duration, server: ServerKey, load: f64) {
        if load > 0.0 && load.is_finite() {
            let sample = Sample { at: now, ln_rate: 0.0, ln_load: load.ln() };
            self.push_sample(server, sample, |observations| &mut observations.overloads);
        }
    }

    /// Appends a sample and discards the oldest one beyond [`MAX_SAMPLES`].
    fn push_sample(
        &mut self,
        server: ServerKey,
        sample: Sample,
        queue: fn(&mut Observations) -> &mut VecDeque<Sample>,
    ) {
        let Some(observations) = self.servers.get_mut(&server) else { return };
        let samples = queue(observations);
        if samples.len() >= usize::from(MAX_SAMPLES) {
            samples.pop_front();
        }
        samples.push_back(sample);
    }

    /// Sets the number and the total load of the connections that this gateway has on the server.
    pub fn set_load(&mut self, now: Duration, server: ServerKey, connections: u32, load: f64) {
        if let Some(observations) = self.servers.get_mut(&server) {
            observations.integrate(now);
            observations.connections = connections;
            observations.load = if load.is_finite() { load.max(0.0) } else { observations.load };
        }
    }

    /// Returns the entries that are due, at most as many as fit into one datagram: changed ones first, then
    /// those sent longest ago. `capacity` returns the capacity that one set-up shows, from the load at that
    /// time and the set-up rate, as [`crate::Weights::capacity`] does.
    pub fn take_due_entries(
        &mut self,
        now: Duration,
        capacity: impl Fn(f64, f64) -> Option<f64>,
    ) -> Vec<(ServerKey, Entry)> {
        let (window, refresh) = (self.window, self.report_ttl.mul_f64(REFRESH));
        let mut due = Vec::new();
        for (&server, observations) in &mut self.servers {
            observations.integrate(now);
            for samples in [&mut observations.setups, &mut observations.overloads] {
                while samples.front().is_some_and(|sample| now.saturating_sub(sample.at) > window) {
                    samples.pop_front();
                }
            }
            let entry = observations.entry(&capacity);
            let age = observations.sent.map_or(Duration::MAX, |sent| now.saturating_sub(sent.at));
            let changed = observations.sent.is_none_or(|sent| differs(&sent.entry, &entry));
            if changed || age >= refresh {
                due.push((!changed, Reverse(age), server, entry));
            }
        }
        due.sort_by_key(|&(unchanged, age, server, _)| (unchanged, age, server));
        due.truncate(MAX_ENTRIES);
        let mut entries = Vec::with_capacity(due.len());
        for (_, _, server, mut entry) in due {
            self.version += 1;
            entry.version = self.version;
            if let Some(observations) = self.servers.get_mut(&server) {
                observations.sent = Some(SentEntry { entry, at: now });
            }
            entries.push((server, entry));
        }
        entries
    }

    /// Returns the largest number of samples of one kind stored for any server, for
    /// [`crate::Throughput::check`].
    pub(crate) fn max_stored_samples(&self) -> usize {
        let samples = self
            .servers
            .values()
            .map(|observations| observations.setups.len().max(observations.overloads.len()));
        samples.max().unwrap_or(0)
    }
}

/// Returns whether an entry differs enough from the one last sent to be sent again.
fn differs(sent: &Entry, current: &Entry) -> bool {
    let far = |sent: Log, current: Log| match (sent.ln(), current.ln()) {
        (Some(sent), Some(current)) => (sent - current).abs() > SEND_THRESHOLD,
        (sent, current) => sent.is_some() != current.is_some(),
    };
    (sent.incarnation, sent.setups, sent.overloads)
        != (current.incarnation, current.setups, current.overloads)
        || far(sent.load, current.load)
        || far(sent.capacity, current.capacity)
}
