//! Pages of a membership view. A page has the entries of one address range, so that two members can find and
//! reconcile the differences between their views.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use foca::State;
use serde::{Deserialize, Serialize};

use crate::member::Member;

/// The entry of one member in a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageEntry {
    /// The member that the entry describes.
    pub member: Member,
    /// The number of suspicions that the member has refuted.
    pub refutations: u16,
    /// The state of the member in the view of the page's sender.
    pub state: State,
}

impl PageEntry {
    /// Returns the sort key that decides between two entries of the same address: the entry with the higher
    /// key wins. A later incarnation comes first, then a deliberate leave, then a death, then a later
    /// refutation, then a suspicion.
    pub(crate) fn precedence(&self) -> (u64, bool, bool, u16, bool) {
        let is_down = self.state == State::Down;
        let refutations = if is_down { 0 } else { self.refutations };
        let is_suspect = self.state == State::Suspect;
        (self.member.incarnation, self.member.leaving, is_down, refutations, is_suspect)
    }
}

/// The header of a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageHeader {
    /// The member that sends the page.
    pub sender: Member,
    /// The number of suspicions that the sender has refuted.
    pub refutations: u16,
    /// The digest of the sender's view.
    pub digest: u64,
    /// The reply that the sender requests from the receiver.
    pub request: PageRequest,
    /// The exclusive lower bound of the page's address range. `None` if the range begins at the first
    /// address.
    pub after: Option<SocketAddr>,
}

/// The reply that a page requests from its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PageRequest {
    /// Requests a page if the digests differ. The requesting page has no entries.
    CompareDigests,
    /// Requests the receiver's digest and those of its entries in the page's address range that are newer.
    NewerEntries,
    /// Requests no reply. The page answers [`NewerEntries`](Self::NewerEntries) with the sender's newer entries
    /// and digest.
    Nothing,
}

/// A decoded page.
#[derive(Debug, Clone)]
pub struct Page {
    /// The header of the page.
    pub header: PageHeader,
    /// Whether the page's range extends to the last address of the sender's view. Otherwise the range ends at
    /// the last entry.
    pub is_last: bool,
    /// The entries in ascending order of address.
    pub entries: Vec<PageEntry>,
}

const STATE_MASK: u8 = 0b11;
const LEAVING_FLAG: u8 = 1 << 2;
const REFUTED_FLAG: u8 = 1 << 3;
const PORT_FLAG: u8 = 1 << 4;
const IPV6_FLAG: u8 = 1 << 5;

/// The values that the next entry is delta-encoded against. Neighbouring entries have similar addresses and
/// start times, so the differences are short.
struct DeltaBase {
    ip: u32,
    port: u16,
    incarnation: u64,
}

impl DeltaBase {
    fn new(header: &PageHeader) -> Self {
        Self { ip: 0, port: header.sender.address.port(), incarnation: header.sender.incarnation }
    }

    /// Appends an encoded entry to `bytes`.
    fn encode(&mut self, entry: &PageEntry, bytes: &mut Vec<u8>) {
        let address = entry.member.address;
        let mut flags = state_bits(entry.state);
        flags |= if entry.member.leaving { LEAVING_FLAG } else { 0 };
        flags |= if entry.refutations > 0 { REFUTED_FLAG } else { 0 };
        flags |= if address.port() == self.port { 0 } else { PORT_FLAG };
        flags |= if address.is_ipv6() { IPV6_FLAG } else { 0 };
        bytes.push(flags);
        match address.ip() {
            IpAddr::V4(ip) => {
                append_value(bytes, &u32::from(ip).wrapping_sub(self.ip));
                self.ip = ip.into();
            }
            IpAddr::V6(ip) => bytes.extend_from_slice(&ip.octets()),
        }
        if flags & PORT_FLAG != 0 {
            append_value(bytes, &address.port());
        }
        append_value(bytes, &(entry.member.incarnation.wrapping_sub(self.incarnation) as i64));
        if flags & REFUTED_FLAG != 0 {
            append_value(bytes, &entry.refutations);
        }
    }

    /// Decodes an entry from the front of `bytes` and advances `bytes` past it. Returns `None` if the entry
    /// is malformed.
    fn decode(&mut self, bytes: &mut &[u8]) -> Option<PageEntry> {
        let flags: u8 = read_value(bytes)?;
        let state = state_from_bits(flags & STATE_MASK)?;
        let ip = if flags & IPV6_FLAG == 0 {
            self.ip = self.ip.wrapping_add(read_value(bytes)?);
            IpAddr::V4(Ipv4Addr::from(self.ip))
        } else {
            IpAddr::from(read_value::<[u8; 16]>(bytes)?)
        };
        let port = if flags & PORT_FLAG == 0 { self.port } else { read_value(bytes)? };
        let incarnation = self.incarnation.wrapping_add(read_value::<i64>(bytes)? as u64);
        let refutations = if flags & REFUTED_FLAG == 0 { 0 } else { read_value(bytes)? };
        let leaving = flags & LEAVING_FLAG != 0;
        let member = Member { address: SocketAddr::new(ip, port), incarnation, leaving };
        Some(PageEntry { member, refutations, state })
    }

    /// Makes `member` the base of the entry that follows.
    fn rebase(&mut self, member: &Member) {
        self.port = member.address.port();
        self.incarnation = member.incarnation;
    }
}

fn state_bits(state: State) -> u8 {
    match state {
        State::Alive => 0,
        State::Suspect => 1,
        State::Down => 2,
    }
}

fn state_from_bits(bits: u8) -> Option<State> {
    match bits {
        0 => Some(State::Alive),
        1 => Some(State::Suspect),
        2 => Some(State::Down),
        _ => None,
    }
}

fn append_value<T: Serialize>(bytes: &mut Vec<u8>, value: &T) {
    // Encoding into a vector does not fail, because the vector grows as needed.
    if let Ok(encoded) = postcard::to_allocvec(value) {
        bytes.extend_from_slice(&encoded);
    }
}

fn read_value<'a, T: Deserialize<'a>>(bytes: &mut &'a [u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    *bytes = rest;
    Some(value)
}

/// Encodes a page of at most `max_len` bytes with as many of `entries` as fit. `entries` must be in ascending
/// order of address. Returns the page and the number of entries in it.
pub fn encode(header: &PageHeader, entries: &[PageEntry], is_last: bool, max_len: usize) -> (Vec<u8>, usize) {
    let mut bytes = vec![0];
    append_value(&mut bytes, header);
    let mut base = DeltaBase::new(header);
    let mut count = 0;
    let mut encoded = Vec::new();
    for entry in entries {
        encoded.clear();
        base.encode(entry, &mut encoded);
        if bytes.len() + encoded.len() > max_len {
            break;
        }
        bytes.extend_from_slice(&encoded);
        base.rebase(&entry.member);
        count += 1;
    }
    bytes[0] = u8::from(is_last && count == entries.len());
    (bytes, count)
}

/// Decodes a page. Returns `None` if the page is malformed.
pub fn decode(mut bytes: &[u8]) -> Option<Page> {
    let is_last: bool = read_value(&mut bytes)?;
    let header: PageHeader = read_value(&mut bytes)?;
    let mut base = DeltaBase::new(&header);
    let mut entries = Vec::new();
    while !bytes.is_empty() {
        let entry = base.decode(&mut bytes)?;
        base.rebase(&entry.member);
        entries.push(entry);
    }
    Some(Page { header, is_last, entries })
}

/// Returns a digest of the members that are neither down nor leaving, their incarnations and refutations. The
/// digest does not depend on the order of the entries. It is not cryptographic: an attacker can construct two
/// views with the same digest.
pub(crate) fn digest<'a>(entries: impl Iterator<Item = &'a PageEntry>) -> u64 {
    let up = entries.filter(|entry| entry.state != State::Down && !entry.member.leaving);
    up.map(|entry| member_digest(entry.member, u64::from(entry.refutations))).fold(0, u64::wrapping_add)
}

/// Returns the contribution of one member to a digest. `extra` is a further value to include.
pub(crate) fn member_digest(member: Member, extra: u64) -> u64 {
    let ip = match member.address.ip() {
        IpAddr::V4(ip) => u128::from(u32::from(ip)),
        IpAddr::V6(ip) => u128::from(ip),
    };
    let parts = [ip as u64, (ip >> 64) as u64, u64::from(member.address.port()), member.incarnation, extra];
    parts.iter().fold(0x9e37_79b9_7f4a_7c15, |sum, &part| finalize_splitmix64(sum ^ part))
}

/// Applies the finalizer of SplitMix64 (Steele, Lea and Flood 2014).
fn finalize_splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
