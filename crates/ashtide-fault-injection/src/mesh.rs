//! The network between gateways: UDP relays that pass, lose, delay, double and reorder datagrams, and never
//! look into one.
//!
//! Each member has one public address, a socket of the mesh; its own socket is known to the mesh alone. A
//! datagram that member a sends to b's public address goes on to b from a's public address. So every member
//! sees the others at the addresses of one and the same list, and who sent is told by the source.

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

/// Datagrams that are on their way at the same time; further ones are lost, as on a full link.
const ON_THE_WAY: usize = 8192;
/// Longest datagram that is passed on, in bytes; what is longer is cut off like that.
const LONGEST: usize = 2048;

/// What one direction between two members does to datagrams. Parts lie between 0 and 1.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Link {
    /// Part that is lost: 1 is a cut.
    pub loss: f64,
    /// How long each takes, in milliseconds.
    pub delay_ms: u64,
    /// Up to so much longer, in milliseconds, evenly drawn: over the time between two it reorders them.
    pub jitter_ms: u64,
    /// Part that comes twice.
    pub duplicate: f64,
    /// Part that is held back until others have passed it, for [`Link::REORDER_DELAY_MS`].
    pub reorder: f64,
}

impl Link {
    /// How long a reordered datagram is held back, in milliseconds.
    pub const REORDER_DELAY_MS: u64 = 60;
    /// Passes all at once.
    pub const PERFECT: Self = Self { loss: 0.0, delay_ms: 0, jitter_ms: 0, duplicate: 0.0, reorder: 0.0 };
    /// Passes nothing.
    pub const CUT: Self = Self { loss: 1.0, ..Self::PERFECT };

    /// Loses this part.
    pub fn lossy(loss: f64) -> Self {
        Self { loss, ..Self::PERFECT }
    }
}

impl Default for Link {
    fn default() -> Self {
        Self::PERFECT
    }
}

/// What has gone from one member to another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// Bytes of those.
    pub bytes: u64,
    /// Datagrams lost.
    pub lost: u64,
    /// Further copies passed on.
    pub doubled: u64,
}

struct Lane {
    link: Link,
    rng: Xoshiro256PlusPlus,
    traffic: Traffic,
}

impl Lane {
    /// When copies of the next datagram arrive; none where it is lost.
    fn fate(&mut self, bytes: usize) -> Vec<Duration> {
        self.traffic.sent += 1;
        self.traffic.bytes += bytes as u64;
        // All are drawn each time, so that a datagram's fate rests on its number and the link alone.
        let [lost, twice, held]: [f64; 3] = self.rng.random();
        let late: [f64; 2] = self.rng.random();
        let link = self.link;
        if lost < link.loss {
            self.traffic.lost += 1;
            return Vec::new();
        }
        let held = if held < link.reorder { Link::REORDER_DELAY_MS } else { 0 };
        let copies = 1 + usize::from(twice < link.duplicate);
        self.traffic.doubled += copies as u64 - 1;
        let takes = |late: f64| {
            Duration::from_millis(link.delay_ms + held) + Duration::from_millis(link.jitter_ms).mul_f64(late)
        };
        late[..copies].iter().map(|&late| takes(late)).collect()
    }
}

struct Inside {
    /// By sender, then receiver.
    lanes: Vec<Vec<Lane>>,
    members: HashMap<SocketAddr, usize>,
    strange: u64,
}

/// Relays between members.
pub struct ProxyMesh {
    public: Vec<SocketAddr>,
    all: Vec<SocketAddr>,
    inside: Arc<Mutex<Inside>>,
    _tasks: JoinSet<()>,
}

fn locked(inside: &Mutex<Inside>) -> MutexGuard<'_, Inside> {
    inside.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ProxyMesh {
    /// Opens relays on `host` for members that hear and send at `own`, all links whole. Fates are drawn
    /// from `seed`, for each direction apart.
    ///
    /// # Errors
    ///
    /// Fails where the system has no sockets for them.
    pub async fn open(host: IpAddr, own: &[SocketAddr], seed: u64) -> std::io::Result<Self> {
        let lane = |from: usize, to: usize| Lane {
            link: Link::PERFECT,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed ^ ((from as u64) << 40) ^ ((to as u64) << 20)),
            traffic: Traffic::default(),
        };
        let lanes = (0..own.len()).map(|from| (0..own.len()).map(|to| lane(from, to)).collect()).collect();
        let members = own.iter().enumerate().map(|(at, &address)| (address, at)).collect();
        let inside = Arc::new(Mutex::new(Inside { lanes, members, strange: 0 }));
        let (mut sockets, mut shouts) = (Vec::new(), Vec::new());
        for _ in own {
            sockets.push(UdpSocket::bind((host, 0)).await?);
            shouts.push(UdpSocket::bind((host, 0)).await?);
        }
        let addresses = |all: &[UdpSocket]| all.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>();
        let (public, all) = (addresses(&sockets)?, addresses(&shouts)?);
        let sockets: Arc<[UdpSocket]> = sockets.into();
        let ways = Arc::new(Ways { own: own.to_vec(), sockets, inside: inside.clone() });
        let room = Arc::new(Semaphore::new(ON_THE_WAY));
        let mut tasks = JoinSet::new();
        for to in 0..own.len() {
            let (ways, room) = (ways.clone(), room.clone());
            tasks.spawn(async move {
                let mut buffer = [0; LONGEST];
                loop {
                    // An error here is a member that is not there: nothing comes of it.
                    let Ok((length, from)) = ways.sockets[to].recv_from(&mut buffer).await else { continue };
                    ways.pass(from, [to].into_iter(), &buffer[..length], &room).await;
                }
            });
        }
        for (speaker, shout) in shouts.into_iter().enumerate() {
            let (ways, room) = (ways.clone(), room.clone());
            tasks.spawn(async move {
                let mut buffer = [0; LONGEST];
                loop {
                    let Ok((length, from)) = shout.recv_from(&mut buffer).await else { continue };
                    let others = (0..ways.own.len()).filter(|&to| to != speaker);
                    ways.pass(from, others, &buffer[..length], &room).await;
                }
            });
        }
        Ok(Self { public, all, inside, _tasks: tasks })
    }

    /// The addresses at which members see each other, by number.
    pub fn public(&self) -> &[SocketAddr] {
        &self.public
    }

    /// The address by which this member reaches all others.
    pub fn all(&self, member: usize) -> SocketAddr {
        self.all[member]
    }

    /// From now on, what goes from any of `from` to any of `to` is treated like this.
    pub fn set(&self, from: &[usize], to: &[usize], link: Link) {
        let mut inside = locked(&self.inside);
        for &sender in from {
            for &receiver in to {
                if let Some(lane) = inside.lanes.get_mut(sender).and_then(|row| row.get_mut(receiver)) {
                    lane.link = link;
                }
            }
        }
    }

    /// What has gone from each member to each other.
    pub fn traffic(&self) -> Vec<Vec<Traffic>> {
        let inside = locked(&self.inside);
        inside.lanes.iter().map(|row| row.iter().map(|lane| lane.traffic).collect()).collect()
    }

    /// Datagrams that came from none of the members, which are not passed on.
    pub fn strange(&self) -> u64 {
        locked(&self.inside).strange
    }
}

struct Ways {
    own: Vec<SocketAddr>,
    sockets: Arc<[UdpSocket]>,
    inside: Arc<Mutex<Inside>>,
}

impl Ways {
    async fn pass(
        self: &Arc<Self>,
        from: SocketAddr,
        to: impl Iterator<Item = usize>,
        datagram: &[u8],
        room: &Arc<Semaphore>,
    ) {
        let (sender, fates) = {
            let mut inside = locked(&self.inside);
            let Some(&sender) = inside.members.get(&from) else {
                inside.strange += 1;
                return;
            };
            let fate = |to: usize| (to, inside.lanes[sender][to].fate(datagram.len()));
            (sender, to.map(fate).collect::<Vec<_>>())
        };
        for (to, copies) in fates {
            for takes in copies {
                if takes.is_zero() {
                    let _ = self.sockets[sender].send_to(datagram, self.own[to]).await;
                    continue;
                }
                let Ok(permit) = room.clone().try_acquire_owned() else {
                    locked(&self.inside).lanes[sender][to].traffic.lost += 1;
                    continue;
                };
                let (ways, datagram) = (self.clone(), datagram.to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(takes).await;
                    let _ = ways.sockets[sender].send_to(&datagram, ways.own[to]).await;
                    drop(permit);
                });
            }
        }
    }
}
