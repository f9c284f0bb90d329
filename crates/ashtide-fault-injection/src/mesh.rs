//! The network between gateways: UDP relays that forward, drop, delay, duplicate and reorder datagrams
//! without inspecting their content.
//!
//! Each member has one public address, which is a socket of the mesh. Only the mesh sends to the member's own
//! socket. A datagram that member a sends to the public address of b is forwarded to b from the public
//! address of a. So every member reaches the others at the addresses of one common list, and the source
//! address identifies the sender.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// The largest number of delayed datagrams in flight; further ones are dropped, as on a full link.
const MAX_IN_FLIGHT: usize = 8192;
/// The longest datagram that is forwarded, in bytes; longer ones are truncated to this length.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Treatment of datagrams in one direction between two members. Probabilities are between 0 and 1.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Link {
    /// The probability that a datagram is dropped; 1 cuts the link.
    pub loss: f64,
    /// The delay of each datagram, in milliseconds.
    pub delay_ms: u64,
    /// The upper bound of the additional delay, in milliseconds, uniformly distributed. A jitter above the
    /// interval between two datagrams reorders them.
    pub jitter_ms: u64,
    /// The probability that a datagram is delivered twice.
    pub duplicate: f64,
    /// The probability that a datagram is delayed by [`Link::REORDER_DELAY_MS`], so that later ones overtake
    /// it.
    pub reorder: f64,
}

impl Link {
    /// The additional delay of a reordered datagram, in milliseconds.
    pub const REORDER_DELAY_MS: u64 = 60;
    /// A link that forwards every datagram immediately.
    pub const PERFECT: Self = Self { loss: 0.0, delay_ms: 0, jitter_ms: 0, duplicate: 0.0, reorder: 0.0 };
    /// A link that drops every datagram.
    pub const CUT: Self = Self { loss: 1.0, ..Self::PERFECT };

    /// Returns a link that drops datagrams with this probability.
    pub fn lossy(loss: f64) -> Self {
        Self { loss, ..Self::PERFECT }
    }
}

impl Default for Link {
    fn default() -> Self {
        Self::PERFECT
    }
}

/// Traffic from one member to another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// The number of datagrams sent.
    pub sent: u64,
    /// The size of the datagrams sent, in bytes.
    pub bytes: u64,
    /// The number of datagrams or copies dropped.
    pub lost: u64,
    /// The number of additional copies.
    #[serde(rename = "doubled")]
    pub duplicated: u64,
}

/// One direction between two members.
struct Lane {
    link: Link,
    rng: Xoshiro256PlusPlus,
    traffic: Traffic,
}

impl Lane {
    /// Returns the delay of each copy of the next datagram; empty if it is dropped.
    fn copy_delays(&mut self, bytes: usize) -> Vec<Duration> {
        self.traffic.sent += 1;
        self.traffic.bytes += bytes as u64;
        // All numbers are drawn each time, so that the treatment of a datagram depends on its number and the
        // link only.
        let [loss_draw, duplicate_draw, reorder_draw]: [f64; 3] = self.rng.random();
        let jitter_draws: [f64; 2] = self.rng.random();
        let link = self.link;
        if loss_draw < link.loss {
            self.traffic.lost += 1;
            return Vec::new();
        }
        let reorder_ms = if reorder_draw < link.reorder { Link::REORDER_DELAY_MS } else { 0 };
        let copies = 1 + usize::from(duplicate_draw < link.duplicate);
        self.traffic.duplicated += copies as u64 - 1;
        let delay = |jitter_draw: f64| {
            Duration::from_millis(link.delay_ms + reorder_ms)
                + Duration::from_millis(link.jitter_ms).mul_f64(jitter_draw)
        };
        jitter_draws[..copies].iter().map(|&jitter_draw| delay(jitter_draw)).collect()
    }
}

/// The state that all relays share.
struct MeshState {
    /// The lanes by sender, then receiver.
    lanes: Vec<Vec<Lane>>,
    members: HashMap<SocketAddr, usize>,
    /// The number of datagrams from addresses of no member.
    unknown_sender_datagrams: u64,
}

/// UDP relays between members.
pub struct ProxyMesh {
    public: Vec<SocketAddr>,
    multicast: Vec<SocketAddr>,
    state: Arc<Mutex<MeshState>>,
    _tasks: JoinSet<()>,
}

fn locked(state: &Mutex<MeshState>) -> MutexGuard<'_, MeshState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ProxyMesh {
    /// Opens relays on `host` for members with the sockets `own`. All links are [`Link::PERFECT`]. Each
    /// direction has its own random generator, derived from `seed`.
    ///
    /// # Errors
    ///
    /// Returns the system error if a socket cannot be opened.
    pub async fn open(host: IpAddr, own: &[SocketAddr], seed: u64) -> std::io::Result<Self> {
        let lane = |from: usize, to: usize| Lane {
            link: Link::PERFECT,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed ^ ((from as u64) << 40) ^ ((to as u64) << 20)),
            traffic: Traffic::default(),
        };
        let lanes = (0..own.len()).map(|from| (0..own.len()).map(|to| lane(from, to)).collect()).collect();
        let members = own.iter().enumerate().map(|(member, &address)| (address, member)).collect();
        let state = Arc::new(Mutex::new(MeshState { lanes, members, unknown_sender_datagrams: 0 }));
        let (mut sockets, mut multicast_sockets) = (Vec::new(), Vec::new());
        for _ in own {
            sockets.push(UdpSocket::bind((host, 0)).await?);
            multicast_sockets.push(UdpSocket::bind((host, 0)).await?);
        }
        let addresses =
            |sockets: &[UdpSocket]| sockets.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>();
        let (public, multicast) = (addresses(&sockets)?, addresses(&multicast_sockets)?);
        let sockets: Arc<[UdpSocket]> = sockets.into();
        let relays = Arc::new(Relays { own: own.to_vec(), sockets, state: state.clone() });
        let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        let mut tasks = JoinSet::new();
        for to in 0..own.len() {
            let (relays, in_flight) = (relays.clone(), in_flight.clone());
            tasks.spawn(async move {
                let mut buffer = [0; MAX_DATAGRAM_BYTES];
                loop {
                    // An error means that a member is not running; the next datagram is awaited.
                    let Ok((length, from)) = relays.sockets[to].recv_from(&mut buffer).await else {
                        continue;
                    };
                    relays.forward(from, [to].into_iter(), &buffer[..length], &in_flight).await;
                }
            });
        }
        for (member, socket) in multicast_sockets.into_iter().enumerate() {
            let (relays, in_flight) = (relays.clone(), in_flight.clone());
            tasks.spawn(async move {
                let mut buffer = [0; MAX_DATAGRAM_BYTES];
                loop {
                    let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
                    let others = (0..relays.own.len()).filter(|&to| to != member);
                    relays.forward(from, others, &buffer[..length], &in_flight).await;
                }
            });
        }
        Ok(Self { public, multicast, state, _tasks: tasks })
    }

    /// Returns the addresses at which members reach each other, by member.
    pub fn public(&self) -> &[SocketAddr] {
        &self.public
    }

    /// Returns the address at which this member reaches all others.
    pub fn all(&self, member: usize) -> SocketAddr {
        self.multicast[member]
    }

    /// Sets the treatment of datagrams from any member in `from` to any member in `to`.
    pub fn set(&self, from: &[usize], to: &[usize], link: Link) {
        let mut state = locked(&self.state);
        for &sender in from {
            for &receiver in to {
                if let Some(lane) = state.lanes.get_mut(sender).and_then(|row| row.get_mut(receiver)) {
                    lane.link = link;
                }
            }
        }
    }

    /// Returns the traffic from each member (first index) to each other member (second index).
    pub fn traffic(&self) -> Vec<Vec<Traffic>> {
        let state = locked(&self.state);
        state.lanes.iter().map(|row| row.iter().map(|lane| lane.traffic).collect()).collect()
    }

    /// Returns the number of datagrams that were received from no member. They are not forwarded.
    pub fn unknown_sender_datagrams(&self) -> u64 {
        locked(&self.state).unknown_sender_datagrams
    }
}

struct Relays {
    own: Vec<SocketAddr>,
    sockets: Arc<[UdpSocket]>,
    state: Arc<Mutex<MeshState>>,
}

impl Relays {
    async fn forward(
        self: &Arc<Self>,
        from: SocketAddr,
        to: impl Iterator<Item = usize>,
        datagram: &[u8],
        in_flight: &Arc<Semaphore>,
    ) {
        let (sender, deliveries) = {
            let mut state = locked(&self.state);
            let Some(&sender) = state.members.get(&from) else {
                state.unknown_sender_datagrams += 1;
                return;
            };
            let delivery = |to: usize| (to, state.lanes[sender][to].copy_delays(datagram.len()));
            (sender, to.map(delivery).collect::<Vec<_>>())
        };
        for (to, delays) in deliveries {
            for delay in delays {
                if delay.is_zero() {
                    let _ = self.sockets[sender].send_to(datagram, self.own[to]).await;
                    continue;
                }
                let Ok(permit) = in_flight.clone().try_acquire_owned() else {
                    locked(&self.state).lanes[sender][to].traffic.lost += 1;
                    continue;
                };
                let (relays, datagram) = (self.clone(), datagram.to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = relays.sockets[sender].send_to(&datagram, relays.own[to]).await;
                    drop(permit);
                });
            }
        }
    }
}
