//! What servers bear, learnt from what gateways see, and weights out of it: a core without I/O or clock.
//!
//! Each gateway tells its [`Throughput`] what it sees of each server (set-ups, loads held, sheds), and what the
//! others say in datagrams of at most [`MAX_DATAGRAM`] bytes. Registers are joined, never added up: see
//! [`Registers`]. What they show together is pooled by kind ([`pooling`]) and becomes weights ([`Weights`]) within
//! bounds that [`Throughput::check`] names.
//!
//! ```
//! use std::time::Duration;
//! use ashtide_throughput::{Event, GatewayId, Life, Options, Server, ServerKey, Throughput};
//!
//! let at = Duration::from_secs;
//! let mut one = Throughput::new(Options::new(1), GatewayId(0), 1).unwrap();
//! for (key, load) in [(1, 500_000.0), (2, 500_000.0), (3, 200_000.0)] {
//!     let key = ServerKey(key);
//!     one.hear(at(0), Event::Listed(Server { key, kind: 0, weight: 1.0, life: Life(7), started: None }));
//!     one.hear(at(0), Event::Holds { server: key, connections: 20, load });
//! }
//! for second in 0..120 {
//!     for (key, ms) in [(1, 10), (2, 10), (3, 30)] {
//!         let took = Duration::from_millis(ms);
//!         let (server, network) = (ServerKey(key), Duration::ZERO);
//!         one.hear(at(second), Event::SetUp { server, took, network, out: 1 });
//!     }
//!     one.turn(at(second));
//!     one.check(at(second)).unwrap();
//! }
//! let weight = |key| one.weights().weight(at(120), ServerKey(key)).unwrap();
//! assert!(weight(3) < 0.7 * weight(1));
//! ```

mod observer;
mod options;
pub mod pooling;
mod register;
mod robust;
mod spread;
mod violation;
mod weights;

use std::time::Duration;

use bytes::Bytes;

pub use observer::Observer;
pub use options::{Options, Unusable};
pub use register::{
    Entry, GatewayId, Life, Log, MAX_DATAGRAM, MAX_DIGEST, MAX_ENTRIES, MAX_GATEWAYS, MAX_SAMPLES,
    MAX_SERVERS, Register, Registers, Said, ServerKey, Unheard, decode, encode,
};
pub use spread::spread;
#[cfg(feature = "broken")]
pub use violation::Broken;
pub use violation::Violation;
pub use weights::{Evidence, Server, Weights};

/// What a gateway sees.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// A server is on the list, or its entry has changed.
    Listed(Server),
    /// A server has left the list.
    Gone(ServerKey),
    /// A connection was set up.
    SetUp {
        /// Where.
        server: ServerKey,
        /// From the line sent to its answer.
        took: Duration,
        /// Of that, the network's part; zero where that is not known.
        network: Duration,
        /// Set-ups of this gateway out there when it began, itself included.
        out: u32,
    },
    /// What this gateway holds there from now on.
    Holds {
        /// Where.
        server: ServerKey,
        /// Connections that stand.
        connections: u32,
        /// Their loads together: what `LOAD X` told of each, the usual load where it told nothing.
        load: f64,
    },
    /// The server shed a connection, or says that it has slowed.
    Strained(ServerKey),
}

/// One gateway's measuring, and its weights.
#[derive(Debug, Clone)]
pub struct Throughput {
    own: GatewayId,
    generation: u64,
    observer: Observer,
    weights: Weights,
}

impl Throughput {
    /// For the gateway `own`, whose life began at `generation` (Unix milliseconds).
    pub fn new(options: Options, own: GatewayId, generation: u64) -> Result<Self, Unusable> {
        let observer = Observer::new(&options);
        Ok(Self { own, generation, observer, weights: Weights::new(options)? })
    }

    /// Breaks it on purpose.
    #[cfg(feature = "broken")]
    pub fn break_by(&mut self, broken: Broken) {
        self.weights.broken = Some(broken);
    }

    /// Takes in what was seen.
    pub fn hear(&mut self, now: Duration, event: Event) {
        match event {
            Event::Listed(server) => {
                self.weights.listed(server);
                self.observer.listed(now, server.key, server.life);
            }
            Event::Gone(server) => {
                self.weights.gone(server);
                self.observer.gone(server);
            }
            Event::SetUp { server, took, network, out } => {
                if let Some(held) = self.held_warm(now, server) {
                    self.observer.set_up(now, server, took.saturating_sub(network), out, held);
                }
            }
            Event::Holds { server, connections, load } => self.observer.holds(now, server, connections, load),
            Event::Strained(server) => {
                if let Some(held) = self.held_warm(now, server) {
                    self.observer.strained(now, server, held);
                }
            }
        }
    }

    /// What is held of a warm server: what others do says nothing of what they will bear.
    fn held_warm(&self, now: Duration, server: ServerKey) -> Option<f64> {
        self.weights.held(server).filter(|_| self.weights.warm(now, server))
    }

    /// Takes in a datagram of another gateway. Says how many of its entries were news.
    pub fn receive(&mut self, now: Duration, datagram: &[u8]) -> Result<usize, Unheard> {
        let said = decode(datagram)?;
        if said.0 == self.own {
            return Err(Unheard::Own { gateway: said.0.0 });
        }
        self.weights.join(now, &said)
    }

    /// Weighs all evidence anew, and says what the others are to be told, if anything: one datagram a turn, so
    /// what this gateway sends does not grow with the tier. To be called every second or two.
    pub fn turn(&mut self, now: Duration) -> Option<Bytes> {
        let bears = |load, rate| self.weights.capacity(load, rate);
        let said = (self.own, self.generation, self.observer.say(now, bears));
        // Its own register always has room: it is the first to be joined.
        let _ = self.weights.join(now, &said);
        self.weights.turn(now);
        (!said.2.is_empty()).then(|| encode(said.0, said.1, &said.2))
    }

    /// The weights, and what stands behind them.
    pub fn weights(&self) -> &Weights {
        &self.weights
    }

    /// Whether all that must hold does, at the time of the last event.
    pub fn check(&self, now: Duration) -> Result<(), Violation> {
        let (found, most) = (self.observer.most_samples(), usize::from(MAX_SAMPLES));
        if found > most {
            return Err(Violation::TooMany { found, most });
        }
        self.weights.check(now)
    }
}
