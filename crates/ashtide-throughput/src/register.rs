//! Reports of the gateways on each server: one register per gateway, merged in any order and never added up.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM: usize = 256;
/// Maximum number of gateways whose registers are stored.
pub const MAX_GATEWAYS: usize = 8192;
/// Maximum number of servers in one register.
pub const MAX_SERVERS: usize = 1024;
/// Maximum number of set-ups, and of overload signals, that a gateway stores for one server: the latest ones.
pub const MAX_SAMPLES: u8 = 64;
/// Version byte of a datagram with entries.
const VERSION: u8 = 0x57;
/// Length of a datagram's header, in bytes.
const HEADER_LEN: usize = 12;
/// Length of an encoded entry, in bytes.
const ENTRY_LEN: usize = 27;
/// Version byte of a datagram with a digest.
const DIGEST_VERSION: u8 = 0x58;
/// Length of a digest's row for one gateway, in bytes.
const DIGEST_ROW_LEN: usize = 14;
/// Maximum number of entries in one datagram.
pub const MAX_ENTRIES: usize = (MAX_DATAGRAM - HEADER_LEN) / ENTRY_LEN;
/// Maximum number of gateways in one page of a digest.
pub const MAX_DIGEST: usize = (MAX_DATAGRAM - 1) / DIGEST_ROW_LEN;
/// Encoded units per unit of a natural logarithm.
const LOG_SCALE: f64 = 1000.0;

/// Number of a gateway in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GatewayId(pub u16);

/// Number of a server, derived from its name and therefore the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct ServerKey(pub u32);

/// Incarnation of a server, derived from its start time: a restarted server has another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Incarnation(pub u32);

/// Natural logarithm of a positive value, in thousandths; [`Log::NONE`] stands for zero or an unknown value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Log(i16);

impl Log {
    /// Logarithm of zero or of an unknown value.
    pub const NONE: Log = Log(i16::MIN);

    /// Returns the logarithm of `value`; [`Log::NONE`] if `value` is not positive and finite.
    pub fn of(value: f64) -> Self {
        if value > 0.0 && value.is_finite() { Self::from_ln(value.ln()) } else { Self::NONE }
    }

    /// Converts a natural logarithm, clamped to the range of 16 bits.
    pub fn from_ln(ln: f64) -> Self {
        Log((ln * LOG_SCALE).round().clamp(f64::from(i16::MIN + 1), f64::from(i16::MAX)) as i16)
    }

    /// Returns the natural logarithm; `None` for [`Log::NONE`].
    pub fn ln(self) -> Option<f64> {
        (self != Self::NONE).then(|| f64::from(self.0) / LOG_SCALE)
    }

    /// Returns the value of which this is the logarithm; zero for [`Log::NONE`].
    pub fn value(self) -> f64 {
        self.ln().map_or(0.0, f64::exp)
    }
}

/// Observations of one gateway on one server. Entries are ordered by their fields, so the version decides
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Entry {
    /// Number of this change in the gateway's register; the entry with the higher version wins.
    pub version: u32,
    /// Incarnation of the observed server.
    pub incarnation: Incarnation,
    /// Number of set-ups in the window.
    pub setups: u8,
    /// Time in seconds for which this incarnation has been observed.
    pub observed_s: u16,
    /// Median rate of set-ups per second: set-ups in flight over the duration of one.
    pub setup_rate: Log,
    /// Median load that all gateways held when these set-ups were made, as known to this gateway.
    pub load_at_setup: Log,
    /// Median of the capacities that the set-ups show; [`Log::NONE`] while the work of a set-up is unknown.
    pub capacity: Log,
    /// Mean load that this gateway has held over the last few seconds.
    pub load: Log,
    /// Number of this gateway's connections when the entry was sent.
    pub connections: u16,
    /// Number of overload signals (connection shed or server slowed) in the window.
    pub overloads: u8,
    /// Median load that all gateways held at the overload signals, as known to this gateway.
    pub load_at_overload: Log,
}

/// Reason why a datagram is rejected. For all reasons but [`Unheard::Full`], the datagram has had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Unheard {
    /// The length is not that of any datagram.
    #[error(
        "weights: datagram of {found} bytes; expected a header of {HEADER_LEN} and entries of {ENTRY_LEN} \
         bytes, at most 256 together"
    )]
    Length {
        /// Length in bytes.
        found: usize,
    },
    /// The version is not supported.
    #[error("weights: datagram of version {found:#04x}; expected {VERSION:#04x}")]
    Version {
        /// First byte of the datagram.
        found: u8,
    },
    /// An entry has a count that no gateway of this version sends.
    #[error(
        "weights: gateway {gateway} reports {found} set-ups or overloads of one server; expected at most \
         {MAX_SAMPLES}"
    )]
    Malformed {
        /// Gateway named as the sender.
        gateway: u16,
        /// Number of set-ups or of overload signals, whichever is larger.
        found: u8,
    },
    /// The datagram names this gateway as its sender.
    #[error(
        "weights: datagram from a peer names this gateway, {gateway}, as its sender; expected another one"
    )]
    Own {
        /// Gateway named as the sender.
        gateway: u16,
    },
    /// The number of stored gateways or servers is at its limit.
    #[error(
        "weights: no capacity for the report of gateway {gateway}; expected at most {MAX_GATEWAYS} gateways \
         and {MAX_SERVERS} servers"
    )]
    Full {
        /// Gateway that sent the report.
        gateway: u16,
    },
}

impl Unheard {
    /// Returns what an operator can do about the rejected datagram.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Length { .. } | Self::Malformed { .. } => {
                "Look for a foreign program that sends to the peers' port; its datagrams have no effect."
            }
            Self::Version { .. } => {
                "Another gateway runs another release, which is expected during a rolling upgrade."
            }
            Self::Own { .. } => "Two gateways have the same number: check their configurations.",
            Self::Full { .. } => {
                "The fleet has more gateways or servers than are supported: split the fleet."
            }
        }
    }
}

/// Encodes entries of one gateway as a datagram of at most [`MAX_DATAGRAM`] bytes. Entries beyond
/// [`MAX_ENTRIES`] are left out, and a number of connections above 255 is sent as 255.
pub fn encode(gateway: GatewayId, generation: u64, entries: &[(ServerKey, Entry)]) -> Bytes {
    let mut out = BytesMut::with_capacity(MAX_DATAGRAM);
    out.put_u8(VERSION);
    out.put_u8(0);
    out.put_u16(gateway.0);
    out.put_u64(generation);
    for (server, entry) in entries.iter().take(MAX_ENTRIES) {
        out.put_u32(server.0);
        out.put_u32(entry.incarnation.0);
        out.put_u32(entry.version);
        out.put_u8(entry.setups);
        out.put_u16(entry.observed_s);
        out.put_i16(entry.setup_rate.0);
        out.put_i16(entry.load_at_setup.0);
        out.put_i16(entry.capacity.0);
        out.put_i16(entry.load.0);
        out.put_u8(entry.connections.min(255) as u8);
        out.put_u8(entry.overloads);
        out.put_i16(entry.load_at_overload.0);
    }
    out.freeze()
}

/// Contents of a datagram: entries of one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Gateway that sent the report.
    pub gateway: GatewayId,
    /// Generation of the gateway: its start time in Unix milliseconds.
    pub generation: u64,
    /// Entries by server.
    pub entries: Vec<(ServerKey, Entry)>,
}

/// Decodes a datagram.
pub fn decode(mut datagram: &[u8]) -> Result<Report, Unheard> {
    let found = datagram.len();
    if !(HEADER_LEN..=MAX_DATAGRAM).contains(&found) || (found - HEADER_LEN) % ENTRY_LEN != 0 {
        return Err(Unheard::Length { found });
    }
    let found = datagram.get_u8();
    if found != VERSION {
        return Err(Unheard::Version { found });
    }
    datagram.advance(1);
    let gateway = datagram.get_u16();
    let generation = datagram.get_u64();
    let mut entries = Vec::with_capacity(datagram.len() / ENTRY_LEN);
    while datagram.has_remaining() {
        let server = ServerKey(datagram.get_u32());
        let entry = decode_entry(&mut datagram);
        let found = entry.setups.max(entry.overloads);
        if found > MAX_SAMPLES {
            return Err(Unheard::Malformed { gateway, found });
        }
        entries.push((server, entry));
    }
    Ok(Report { gateway: GatewayId(gateway), generation, entries })
}

/// Decodes an entry without its server; `bytes` must contain a complete one.
fn decode_entry(bytes: &mut &[u8]) -> Entry {
    let incarnation = Incarnation(bytes.get_u32());
    let version = bytes.get_u32();
    Entry {
        version,
        incarnation,
        setups: bytes.get_u8(),
        observed_s: bytes.get_u16(),
        setup_rate: Log(bytes.get_i16()),
        load_at_setup: Log(bytes.get_i16()),
        capacity: Log(bytes.get_i16()),
        load: Log(bytes.get_i16()),
        connections: u16::from(bytes.get_u8()),
        overloads: bytes.get_u8(),
        load_at_overload: Log(bytes.get_i16()),
    }
}

/// An entry with the time at which it was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedEntry {
    /// Entry as reported.
    pub entry: Entry,
    /// Time at which it was received here.
    pub received_at: Duration,
}

/// Reports of one gateway.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Register {
    /// Generation of the gateway; a later one replaces everything that an earlier one reported.
    pub generation: u64,
    /// Latest entry of each server.
    pub entries: BTreeMap<ServerKey, ReceivedEntry>,
    /// Digest updated with each merged entry; the invariant check compares it with the digest of `entries`.
    pub(crate) checksum: u32,
}

impl Register {
    /// Returns a digest of the entries that does not depend on the order of their arrival.
    pub fn digest(&self) -> u32 {
        let hash = |(server, received): (&ServerKey, &ReceivedEntry)| entry_hash(*server, &received.entry);
        self.entries.iter().map(hash).fold(0, |digest, hash| digest ^ hash)
    }
}

/// Returns a hash of an entry and its server.
fn entry_hash(server: ServerKey, entry: &Entry) -> u32 {
    let observed = [entry.load_at_overload.0, entry.load_at_setup.0, entry.overloads.into()];
    let observed = observed
        .iter()
        .fold(u64::from(entry.observed_s), |bits, &value| bits << 16 | u64::from(value as u16));
    let low = u64::from(entry.version) << 32 | u64::from(entry.incarnation.0);
    let high = [entry.setup_rate.0, entry.capacity.0, entry.load.0];
    let high = high.iter().fold(u64::from(entry.setups), |bits, &value| bits << 16 | u64::from(value as u16));
    (scramble(scramble(scramble(u64::from(server.0) ^ scramble(observed)) ^ low) ^ high) >> 32) as u32
}

/// Returns the output of one step of SplitMix64 from the state `seed`.
pub(crate) fn scramble(seed: u64) -> u64 {
    let mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Registers of all gateways.
///
/// Merging is commutative, associative and idempotent. For each gateway the later generation wins; within a
/// generation, the later version of each server's entry wins. Of two different entries with the same version,
/// which only a faulty gateway sends, the greater one wins.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Registers {
    by_gateway: BTreeMap<GatewayId, Register>,
}

impl Registers {
    /// Merges a report received at `now`. Returns the number of new or changed entries.
    pub fn merge(&mut self, now: Duration, report: &Report) -> Result<usize, Unheard> {
        let &Report { gateway, generation, ref entries } = report;
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
        let mut changed = 0;
        for &(server, entry) in entries {
            let previous = register.entries.get(&server).map(|received| received.entry);
            if previous.is_none() && register.entries.len() >= MAX_SERVERS {
                return Err(Unheard::Full { gateway: gateway.0 });
            }
            if previous.is_none_or(|previous| previous < entry) {
                let previous_hash = previous.map_or(0, |previous| entry_hash(server, &previous));
                register.checksum ^= previous_hash ^ entry_hash(server, &entry);
                register.entries.insert(server, ReceivedEntry { entry, received_at: now });
                changed += 1;
            }
        }
        Ok(changed)
    }

    /// Returns the latest entry of one gateway on one server.
    pub fn entry(&self, gateway: GatewayId, server: ServerKey) -> Option<&Entry> {
        self.by_gateway.get(&gateway)?.entries.get(&server).map(|received| &received.entry)
    }

    /// Removes the entries received before `cutoff`, and the registers that have no entries left.
    pub fn remove_older(&mut self, cutoff: Duration) {
        self.by_gateway.retain(|_, register| {
            let entries_before = register.entries.len();
            register.entries.retain(|_, received| received.received_at >= cutoff);
            if register.entries.len() < entries_before {
                register.checksum = register.digest();
            }
            !register.entries.is_empty()
        });
    }

    /// Returns all registers, ordered by gateway.
    pub fn iter(&self) -> impl Iterator<Item = (GatewayId, &Register)> {
        self.by_gateway.iter().map(|(&gateway, register)| (gateway, register))
    }

    /// Encodes one page of the digest, with the generation and digest of each gateway's register. Page
    /// numbers wrap around, so a caller sends all pages in turn by counting up.
    pub fn digest(&self, page: usize) -> Bytes {
        let pages = self.by_gateway.len().div_ceil(MAX_DIGEST).max(1);
        let mut out = BytesMut::with_capacity(MAX_DATAGRAM);
        out.put_u8(DIGEST_VERSION);
        for (gateway, register) in self.iter().skip(page % pages * MAX_DIGEST).take(MAX_DIGEST) {
            out.put_u16(gateway.0);
            out.put_u64(register.generation);
            out.put_u32(register.digest());
        }
        out.freeze()
    }

    /// Returns the gateways whose registers differ from a page of another gateway's digest and are of at
    /// least the same generation: those to send to it.
    pub fn differing(&self, mut digest: &[u8]) -> Result<Vec<GatewayId>, Unheard> {
        let found = digest.len();
        if found == 0 || found > MAX_DATAGRAM || (found - 1) % DIGEST_ROW_LEN != 0 {
            return Err(Unheard::Length { found });
        }
        let found = digest.get_u8();
        if found != DIGEST_VERSION {
            return Err(Unheard::Version { found });
        }
        let mut differing = Vec::new();
        while digest.has_remaining() {
            let gateway = GatewayId(digest.get_u16());
            let (generation, remote_digest) = (digest.get_u64(), digest.get_u32());
            let local = self.by_gateway.get(&gateway);
            if local.is_some_and(|it| it.generation >= generation && it.digest() != remote_digest) {
                differing.push(gateway);
            }
        }
        Ok(differing)
    }

    /// Returns a stored entry, for tests that inject a defect.
    #[cfg(feature = "broken")]
    pub(crate) fn entry_mut(&mut self, gateway: GatewayId, server: ServerKey) -> Option<&mut Entry> {
        self.by_gateway.get_mut(&gateway)?.entries.get_mut(&server).map(|received| &mut received.entry)
    }
}
