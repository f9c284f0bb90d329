//! Pages: a piece of one member's view, by address, so that two members find and mend what they hold differently.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use foca::State;
use serde::{Deserialize, Serialize};

use crate::member::Member;

/// A member as a page has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageEntry {
    /// Which.
    pub member: Member,
    /// How often it has refuted a suspicion.
    pub refutations: u16,
    /// Its state, as the page's sender sees it.
    pub state: State,
}

impl PageEntry {
    /// Where two differ the higher one wins: the later incarnation, then a death, then the later refutation.
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
    /// Who sends it.
    pub sender: Member,
    /// How often the sender has refuted a suspicion.
    pub refutations: u16,
    /// The sender's `digest`.
    pub digest: u64,
    /// What is wanted of the receiver.
    pub request: PageRequest,
    /// The page has all that the sender knows after this address; from the first where there is none.
    pub after: Option<SocketAddr>,
}

/// What a page wants of its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PageRequest {
    /// A page, if the digests differ. It has no entries.
    CompareDigests,
    /// The entries that are newer at the receiver in this piece, and its digest.
    NewerEntries,
    /// Nothing: it has the entries that are newer at the sender, and its digest.
    Nothing,
}

/// A page as it was received.
#[derive(Debug, Clone)]
pub struct Page {
    /// Its header.
    pub header: PageHeader,
    /// Whether it goes to the last address that the sender knows; else it ends at its last entry.
    pub is_last: bool,
    /// Its entries, by rising address.
    pub entries: Vec<PageEntry>,
}

const STATE_MASK: u8 = 0b11;
const LEAVING_FLAG: u8 = 1 << 2;
const REFUTED_FLAG: u8 = 1 << 3;
const PORT_FLAG: u8 = 1 << 4;
const IPV6_FLAG: u8 = 1 << 5;

/// What the next entry is encoded against: neighbours share most of their addresses and the day of their starts.
struct DeltaBase {
    ip: u32,
    port: u16,
    incarnation: u64,
}

impl DeltaBase {
    fn new(header: &PageHeader) -> Self {
        Self { ip: 0, port: header.sender.address.port(), incarnation: header.sender.incarnation }
    }

    /// Writes an entry into `bytes`.
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

    /// Reads an entry from the front of `bytes`.
    fn decode(&mut self, bytes: &mut &[u8]) -> Option<PageEntry> {
        let flags: u8 = read_value(bytes)?;
        let state = state_of(flags & STATE_MASK)?;
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

    /// Encodes what follows against this entry.
    fn move_to(&mut self, member: &Member) {
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

fn state_of(bits: u8) -> Option<State> {
    match bits {
        0 => Some(State::Alive),
        1 => Some(State::Suspect),
        2 => Some(State::Down),
        _ => None,
    }
}

fn append_value<T: Serialize>(bytes: &mut Vec<u8>, value: &T) {
    // A vector grows, so nothing fails here.
    if let Ok(encoded) = postcard::to_allocvec(value) {
        bytes.extend_from_slice(&encoded);
    }
}

fn read_value<'a, T: Deserialize<'a>>(bytes: &mut &'a [u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    *bytes = rest;
    Some(value)
}

/// Writes a page of at most `room` bytes with as many of `entries`, by rising address, as fit; gives how many did.
pub fn encode(header: &PageHeader, entries: &[PageEntry], is_last: bool, room: usize) -> (Vec<u8>, usize) {
    let mut bytes = vec![0];
    append_value(&mut bytes, header);
    let mut base = DeltaBase::new(header);
    let mut count = 0;
    let mut encoded = Vec::new();
    for entry in entries {
        encoded.clear();
        base.encode(entry, &mut encoded);
        if bytes.len() + encoded.len() > room {
            break;
        }
        bytes.extend_from_slice(&encoded);
        base.move_to(&entry.member);
        count += 1;
    }
    bytes[0] = u8::from(is_last && count == entries.len());
    (bytes, count)
}

/// Reads a page; none where it is malformed.
pub fn decode(mut bytes: &[u8]) -> Option<Page> {
    let is_last: bool = read_value(&mut bytes)?;
    let header: PageHeader = read_value(&mut bytes)?;
    let mut base = DeltaBase::new(&header);
    let mut entries = Vec::new();
    while !bytes.is_empty() {
        let entry = base.decode(&mut bytes)?;
        base.move_to(&entry.member);
        entries.push(entry);
    }
    Some(Page { header, is_last, entries })
}

/// A number that is the same where the same members are held to be there, in the same incarnations, with the same
/// refutations; the order does not matter. No defence against anyone who wants two views to look alike.
pub(crate) fn digest<'a>(entries: impl Iterator<Item = &'a PageEntry>) -> u64 {
    let up = entries.filter(|entry| entry.state != State::Down && !entry.member.leaving);
    up.map(|entry| member_digest(entry.member, u64::from(entry.refutations))).fold(0, u64::wrapping_add)
}

/// One member's part of a digest, with what else is to count.
pub(crate) fn member_digest(member: Member, also: u64) -> u64 {
    let ip = match member.address.ip() {
        IpAddr::V4(ip) => u128::from(u32::from(ip)),
        IpAddr::V6(ip) => u128::from(ip),
    };
    let parts = [ip as u64, (ip >> 64) as u64, u64::from(member.address.port()), member.incarnation, also];
    parts.iter().fold(0x9e37_79b9_7f4a_7c15, |sum, &part| finalize_splitmix64(sum ^ part))
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood 2014).
fn finalize_splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
