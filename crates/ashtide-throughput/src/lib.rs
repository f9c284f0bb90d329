//! Estimates of the capacity of servers from what gateways observe, and load-balancing weights derived from
//! them. The crate does no I/O and reads no clock.
//!
//! Each gateway passes its observations of each server (set-ups, load, overload signals) to its
//! [`Throughput`], and the reports of the other gateways, received in datagrams of at most [`MAX_DATAGRAM`]
//! bytes. Registers are merged, never added up: see [`Registers`]. The evidence of all registers is pooled by
//! kind of server ([`pooling`]) and results in weights ([`Weights`]), whose bounds [`Throughput::check`]
//! verifies.
//!
//! ```
//! use std::time::Duration;
//! use ashtide_throughput::{Event, GatewayId, Incarnation, Options, Server, ServerKey, Throughput};
//!
//! let at = Duration::from_secs;
//! let mut gateway = Throughput::new(Options::new(1), GatewayId(0), 1).unwrap();
//! for (key, load) in [(1, 500_000.0), (2, 500_000.0), (3, 200_000.0)] {
//!     let key = ServerKey(key);
//!     let server = Server { key, kind: 0, weight: 1.0, incarnation: Incarnation(7), started: None };
//!     gateway.handle(at(0), Event::ServerListed(server));
//!     gateway.handle(at(0), Event::LoadChanged { server: key, connections: 20, load });
//! }
//! for second in 0..120 {
//!     for (key, ms) in [(1, 10), (2, 10), (3, 30)] {
//!         let duration = Duration::from_millis(ms);
//!         let (server, network) = (ServerKey(key), Duration::ZERO);
//!         gateway.handle(at(second), Event::SetUp { server, duration, network, in_flight: 1 });
//!     }
//!     gateway.update(at(second));
//!     gateway.check(at(second)).unwrap();
//! }
//! let weight = |key| gateway.weights().weight(at(120), ServerKey(key)).unwrap();
//! assert!(weight(3) < 0.7 * weight(1));
//! ```

mod observer;
mod options;
mod perturbation;
pub mod pooling;
mod register;
mod robust;
mod violation;
mod weights;

use std::time::Duration;

use bytes::Bytes;

pub use observer::Observer;
pub use options::{Options, Unusable};
pub use perturbation::perturbed_weight;
pub use register::{
    Entry, GatewayId, Incarnation, Log, MAX_DATAGRAM, MAX_DIGEST, MAX_ENTRIES, MAX_GATEWAYS, MAX_SAMPLES,
    MAX_SERVERS, ReceivedEntry, Register, Registers, Report, ServerKey, Unheard, decode, encode,
};
#[cfg(feature = "broken")]
pub use violation::Defect;
pub use violation::Violation;
pub use weights::{Contribution, Evidence, MeasuredWeight, Server, Weights};

/// An observation of a gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// A server is on the list, or its entry has changed.
    ServerListed(Server),
    /// A server has left the list.
    ServerRemoved(ServerKey),
    /// A connection was set up.
    SetUp {
        /// Server of the connection.
        server: ServerKey,
        /// Time from sending the request to receiving the answer.
        duration: Duration,
        /// Network time contained in `duration`; zero if unknown.
        network: Duration,
        /// Set-ups of this gateway in progress at the server when this one began, itself included.
        in_flight: u32,
    },
    /// The load that this gateway has on a server has changed.
    LoadChanged {
        /// Server of the connections.
        server: ServerKey,
        /// Number of established connections.
        connections: u32,
        /// Total load of the connections: the load that `LOAD X` reported for each, and the typical load for
        /// those without a report.
        load: f64,
    },
    /// The server shed a connection, or reported that it has slowed down.
    ServerOverloaded(ServerKey),
}

/// Capacity observations of one gateway, and the weights that it uses.
#[derive(Debug, Clone)]
pub struct Throughput {
    gateway: GatewayId,
    generation: u64,
    observer: Observer,
    weights: Weights,
}

impl Throughput {
    /// Creates the state of the gateway `gateway`, whose `generation` is its start time in Unix milliseconds.
    pub fn new(options: Options, gateway: GatewayId, generation: u64) -> Result<Self, Unusable> {
        let observer = Observer::new(&options);
        Ok(Self { gateway, generation, observer, weights: Weights::new(options)? })
    }

    /// Injects a defect.
    #[cfg(feature = "broken")]
    pub fn inject(&mut self, defect: Defect) {
        self.weights.defect = Some(defect);
    }

    /// Handles an observation.
    pub fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::ServerListed(server) => {
                self.weights.add_server(server);
                self.observer.add_server(now, server.key, server.incarnation);
            }
            Event::ServerRemoved(server) => {
                self.weights.remove_server(server);
                self.observer.remove_server(server);
            }
            Event::SetUp { server, duration, network, in_flight } => {
                if let Some(load) = self.warm_server_load(now, server) {
                    let duration = duration.saturating_sub(network);
                    self.observer.record_setup(now, server, duration, in_flight, load);
                }
            }
            Event::LoadChanged { server, connections, load } => {
                self.observer.set_load(now, server, connections, load);
            }
            Event::ServerOverloaded(server) => {
                if let Some(load) = self.warm_server_load(now, server) {
                    self.observer.record_overload(now, server, load);
                }
            }
        }
    }

    /// Returns the load of all gateways on a warm server; `None` while it warms up, as its behaviour then
    /// doesn't show the capacity that it will have.
    fn warm_server_load(&self, now: Duration, server: ServerKey) -> Option<f64> {
        self.weights.load(server).filter(|_| self.weights.is_warm(now, server))
    }

    /// Merges a datagram of another gateway. Returns the number of new or changed entries.
    pub fn receive(&mut self, now: Duration, datagram: &[u8]) -> Result<usize, Unheard> {
        let report = decode(datagram)?;
        if report.gateway == self.gateway {
            return Err(Unheard::Own { gateway: report.gateway.0 });
        }
        self.weights.merge(now, &report)
    }

    /// Updates the weights from all evidence and returns the datagram to send to the other gateways; `None`
    /// if nothing is due. To be called every one or two seconds. At most one datagram is due per call, so the
    /// traffic that this gateway sends does not grow with the fleet.
    pub fn update(&mut self, now: Duration) -> Option<Bytes> {
        let entries = self.observer.take_due_entries(now, |load, rate| self.weights.capacity(load, rate));
        let report = Report { gateway: self.gateway, generation: self.generation, entries };
        // This gateway's own register is merged first, so the limit on the number of registers cannot reject
        // it.
        let _ = self.weights.merge(now, &report);
        self.weights.update(now);
        (!report.entries.is_empty()).then(|| encode(report.gateway, report.generation, &report.entries))
    }

    /// Returns the weights and their evidence.
    pub fn weights(&self) -> &Weights {
        &self.weights
    }

    /// Checks all invariants; `now` is the time of the last event.
    pub fn check(&self, now: Duration) -> Result<(), Violation> {
        let (found, max) = (self.observer.max_stored_samples(), usize::from(MAX_SAMPLES));
        if found > max {
            return Err(Violation::TooMany { found, max });
        }
        self.weights.check(now)
    }
}
