//! What each gateway says of each server: a register a gateway, never sums, joined in any order.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Longest datagram.
pub const MAX_DATAGRAM: usize = 256;
/// Gateways whose registers are kept, and servers in one.
pub const MAX_GATEWAYS: usize = 8192;
/// Servers in one register.
pub const MAX_SERVERS: usize = 1024;
/// Set-ups of one server that a gateway counts at most: the latest ones.
pub const MAX_SAMPLES: u8 = 64;
const VERSION: u8 = 0x57;
const HEAD: usize = 12;
const ENTRY: usize = 27;
const DIGEST: u8 = 0x58;
const DIGEST_ROW: usize = 14;
/// Entries in one datagram at most.
pub const MAX_ENTRIES: usize = (MAX_DATAGRAM - HEAD) / ENTRY;
/// Gateways in one page of a digest at most.
pub const MAX_DIGEST: usize = (MAX_DATAGRAM - 1) / DIGEST_ROW;
/// Logarithms are told in thousandths.
const MILLI: f64 = 1000.0;

/// A gateway of the tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GatewayId(pub u16);

/// A server, by a number drawn from its name: the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct ServerKey(pub u32);

/// One life of a server: drawn from its start time, so that another start is another life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Life(pub u32);

/// The natural logarithm of something positive, in thousandths; `None` for zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Log(i16);

impl Log {
    /// Nothing at all.
    pub const NONE: Log = Log(i16::MIN);

    /// The logarithm of `value`; [`Log::NONE`] where there is none.
    pub fn of(value: f64) -> Self {
        if value > 0.0 && value.is_finite() { Self::from_ln(value.ln()) } else { Self::NONE }
    }

    /// From a natural logarithm; held within what 16 bits tell.
    pub fn from_ln(ln: f64) -> Self {
        Log((ln * MILLI).round().clamp(f64::from(i16::MIN + 1), f64::from(i16::MAX)) as i16)
    }

    /// The natural logarithm.
    pub fn ln(self) -> Option<f64> {
        (self != Self::NONE).then(|| f64::from(self.0) / MILLI)
    }

    /// What it is the logarithm of; zero for [`Log::NONE`].
    pub fn value(self) -> f64 {
        self.ln().map_or(0.0, f64::exp)
    }
}

/// What one gateway has seen of one server, with its exposure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Entry {
    /// Which change of its gateway's register this is: the later wins.
    pub version: u32,
    /// The server's life that was seen.
    pub life: Life,
    /// Set-ups seen in the window.
    pub setups: u8,
    /// Seconds for which this life has been watched.
    pub seconds: u16,
    /// Median free rate: set-ups out over the time one took, a second.
    pub rate: Log,
    /// Median load that all gateways held when these set-ups were made, as this gateway knew it.
    pub beside: Log,
    /// Median of what it would bear by each set-up; [`Log::NONE`] where the work of a set-up is not known yet.
    pub bears: Log,
    /// Load this gateway has held of late.
    pub load: Log,
    /// Connections held when this was said.
    pub connections: u16,
    /// How often it shed or slowed in the window.
    pub strains: u8,
    /// Median load that all gateways held then, as this gateway knew it.
    pub held: Log,
}

/// Why a datagram is not heard. It has changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Unheard {
    /// A length that no datagram has.
    #[error(
        "weights: a datagram of {found} bytes; expected a head of {HEAD}, entries of {ENTRY}, 256 at most"
    )]
    Length {
        /// Its bytes.
        found: usize,
    },
    /// Another version.
    #[error("weights: version {found:#04x}; expected {VERSION:#04x}")]
    Version {
        /// The first byte.
        found: u8,
    },
    /// An entry that no gateway of this version says.
    #[error("weights: gateway {gateway} says {found} set-ups of a server; expected at most {MAX_SAMPLES}")]
    Malformed {
        /// Who says so.
        gateway: u16,
        /// How many.
        found: u8,
    },
    /// It says that this gateway itself has sent it.
    #[error("weights: a datagram in the name of this gateway, {gateway}; expected another's")]
    Own {
        /// The name.
        gateway: u16,
    },
    /// No room for another gateway or server.
    #[error(
        "weights: no room for what gateway {gateway} says; expected {MAX_GATEWAYS} gateways, {MAX_SERVERS} servers"
    )]
    Full {
        /// Who says so.
        gateway: u16,
    },
}

impl Unheard {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Length { .. } | Self::Malformed { .. } => {
                "Look for a foreign program on the peers' port; what it sends changes nothing."
            }
            Self::Version { .. } => {
                "Another release runs beside this one: expected during a rolling upgrade."
            }
            Self::Own { .. } => "Two gateways have one number: check their configurations.",
            Self::Full { .. } => "More gateways or servers than one tier holds: split the tier.",
        }
    }
}

/// Entries of one gateway as a datagram of at most [`MAX_DATAGRAM`] bytes; further entries are left out.
pub fn encode(gateway: GatewayId, generation: u64, entries: &[(ServerKey, Entry)]) -> Bytes {
    let mut out = BytesMut::with_capacity(MAX_DATAGRAM);
    out.put_u8(VERSION);
    out.put_u8(0);
    out.put_u16(gateway.0);
    out.put_u64(generation);
    for (server, entry) in entries.iter().take(MAX_ENTRIES) {
        out.put_u32(server.0);
        out.put_u32(entry.life.0);
        out.put_u32(entry.version);
        out.put_u8(entry.setups);
        out.put_u16(entry.seconds);
        out.put_i16(entry.rate.0);
        out.put_i16(entry.beside.0);
        out.put_i16(entry.bears.0);
        out.put_i16(entry.load.0);
        out.put_u8(entry.connections.min(255) as u8);
        out.put_u8(entry.strains);
        out.put_i16(entry.held.0);
    }
    out.freeze()
}

/// What a datagram says: whose, of which generation, of which servers.
pub type Said = (GatewayId, u64, Vec<(ServerKey, Entry)>);

/// Reads a datagram.
pub fn decode(mut datagram: &[u8]) -> Result<Said, Unheard> {
    let found = datagram.len();
    if !(HEAD..=MAX_DATAGRAM).contains(&found) || (found - HEAD) % ENTRY != 0 {
        return Err(Unheard::Length { found });
    }
    let found = datagram.get_u8();
    if found != VERSION {
        return Err(Unheard::Version { found });
    }
    datagram.advance(1);
    let gateway = datagram.get_u16();
    let generation = datagram.get_u64();
    let mut entries = Vec::with_capacity(datagram.len() / ENTRY);
    while datagram.has_remaining() {
        let server = ServerKey(datagram.get_u32());
        let life = Life(datagram.get_u32());
        let version = datagram.get_u32();
        let setups = datagram.get_u8();
        let seconds = datagram.get_u16();
        let rate = Log(datagram.get_i16());
        let beside = Log(datagram.get_i16());
        let bears = Log(datagram.get_i16());
        let load = Log(datagram.get_i16());
        let connections = u16::from(datagram.get_u8());
        let strains = datagram.get_u8();
        let held = Log(datagram.get_i16());
        if setups.max(strains) > MAX_SAMPLES {
            return Err(Unheard::Malformed { gateway, found: setups.max(strains) });
        }
        entries.push((
            server,
            Entry { version, life, setups, seconds, rate, beside, bears, load, connections, strains, held },
        ));
    }
    Ok((GatewayId(gateway), generation, entries))
}

/// What one gateway has said, and when it was heard here.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Register {
    /// The gateway's life: a later one replaces all that the earlier said.
    pub generation: u64,
    /// By server: the entry and when it was heard.
    pub entries: BTreeMap<ServerKey, (Entry, Duration)>,
    /// Kept while joining, of what was said: what is held must give the same.
    pub(crate) seal: u32,
}

impl Register {
    /// Of all that was said, whatever the order in which it was heard.
    pub fn digest(&self) -> u32 {
        let of = |(server, (entry, _)): (&ServerKey, &(Entry, Duration))| mix(u64::from(server.0), entry);
        self.entries.iter().map(of).fold(0, |all, one| all ^ one)
    }
}

fn mix(server: u64, entry: &Entry) -> u32 {
    let seen = [entry.held.0, entry.beside.0, entry.strains.into()];
    let seen = seen.iter().fold(u64::from(entry.seconds), |all, &it| all << 16 | u64::from(it as u16));
    let low = u64::from(entry.version) << 32 | u64::from(entry.life.0);
    let high = [entry.rate.0, entry.bears.0, entry.load.0];
    let high = high.iter().fold(u64::from(entry.setups), |all, &it| all << 16 | u64::from(it as u16));
    (scramble(scramble(scramble(server ^ scramble(seen)) ^ low) ^ high) >> 32) as u32
}

/// The finish of SplitMix64.
pub(crate) fn scramble(seed: u64) -> u64 {
    let mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The registers of all gateways. Joining is commutative, associative and idempotent: by gateway the later
/// generation wins, in one generation by server the later version, and of two entries of one version (a gateway
/// that says two things) the greater.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Registers {
    by_gateway: BTreeMap<GatewayId, Register>,
}

impl Registers {
    /// Takes in what a gateway said, heard at `now`. Says how many entries were news.
    pub fn join(&mut self, now: Duration, said: &Said) -> Result<usize, Unheard> {
        let &(gateway, generation, ref entries) = said;
        if !self.by_gateway.contains_key(&gateway) && self.by_gateway.len() >= MAX_GATEWAYS {
            return Err(Unheard::Full { gateway: gateway.0 });
        }
        let register = self.by_gateway.entry(gateway).or_default();
        if generation < register.generation {
            return Ok(0);
        }
        if generation > register.generation {
            *register = Register { generation, ..Register::default() };
        }
        let mut news = 0;
        for &(server, entry) in entries {
            let before = register.entries.get(&server).map(|(old, _)| *old);
            if before.is_none() && register.entries.len() >= MAX_SERVERS {
                return Err(Unheard::Full { gateway: gateway.0 });
            }
            if before.is_none_or(|old| old < entry) {
                let unseal = before.map_or(0, |old| mix(u64::from(server.0), &old));
                register.seal ^= unseal ^ mix(u64::from(server.0), &entry);
                register.entries.insert(server, (entry, now));
                news += 1;
            }
        }
        Ok(news)
    }

    /// What one gateway last said of one server.
    pub fn entry(&self, gateway: GatewayId, server: ServerKey) -> Option<&Entry> {
        self.by_gateway.get(&gateway)?.entries.get(&server).map(|(entry, _)| entry)
    }

    /// Forgets what was heard before `then`, and gateways of which nothing is left.
    pub fn forget(&mut self, then: Duration) {
        self.by_gateway.retain(|_, register| {
            let before = register.entries.len();
            register.entries.retain(|_, (_, heard)| *heard >= then);
            if register.entries.len() < before {
                register.seal = register.digest();
            }
            !register.entries.is_empty()
        });
    }

    /// All registers, by gateway.
    pub fn iter(&self) -> impl Iterator<Item = (GatewayId, &Register)> {
        self.by_gateway.iter().map(|(&gateway, register)| (gateway, register))
    }

    /// Page `page` of the digest, the pages taken in turn: gateways with the state of their registers.
    pub fn digest(&self, page: usize) -> Bytes {
        let pages = self.by_gateway.len().div_ceil(MAX_DIGEST).max(1);
        let mut out = BytesMut::with_capacity(MAX_DATAGRAM);
        out.put_u8(DIGEST);
        for (gateway, register) in self.iter().skip(page % pages * MAX_DIGEST).take(MAX_DIGEST) {
            out.put_u16(gateway.0);
            out.put_u64(register.generation);
            out.put_u32(register.digest());
        }
        out.freeze()
    }

    /// Whose registers differ from a page of another's digest, and are not older than there: what to send it.
    pub fn differing(&self, mut digest: &[u8]) -> Result<Vec<GatewayId>, Unheard> {
        let found = digest.len();
        if found == 0 || found > MAX_DATAGRAM || (found - 1) % DIGEST_ROW != 0 {
            return Err(Unheard::Length { found });
        }
        let found = digest.get_u8();
        if found != DIGEST {
            return Err(Unheard::Version { found });
        }
        let mut differing = Vec::new();
        while digest.has_remaining() {
            let gateway = GatewayId(digest.get_u16());
            let (generation, theirs) = (digest.get_u64(), digest.get_u32());
            let ours = self.by_gateway.get(&gateway);
            if ours.is_some_and(|it| it.generation >= generation && it.digest() != theirs) {
                differing.push(gateway);
            }
        }
        Ok(differing)
    }

    #[cfg(feature = "broken")]
    pub(crate) fn entry_mut(&mut self, gateway: GatewayId, server: ServerKey) -> Option<&mut Entry> {
        self.by_gateway.get_mut(&gateway)?.entries.get_mut(&server).map(|(entry, _)| entry)
    }
}
