//! Pages: a piece of one member's view, by address, so that two members find and mend what they hold otherwise.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use foca::State;
use serde::{Deserialize, Serialize};

use crate::member::Member;

/// A member as a page tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageEntry {
    /// Who.
    pub member: Member,
    /// How often it has contradicted a suspicion.
    pub refutations: u16,
    /// What the page's sender holds of it.
    pub state: State,
}

impl PageEntry {
    /// What wins where two differ: the later life, then a death, then the later contradiction.
    pub(crate) fn precedence(&self) -> (u64, bool, bool, u16, bool) {
        let down = self.state == State::Down;
        let incarnation = if down { 0 } else { self.refutations };
        let suspect = self.state == State::Suspect;
        (self.member.incarnation, self.member.leaving, down, incarnation, suspect)
    }
}

/// What stands at the head of a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageHeader {
    /// Who sends it...
    pub sender: Member,
    /// ...and how often it has contradicted a suspicion.
    pub refutations: u16,
    /// The sender's `digest`.
    pub digest: u64,
    /// What is wanted of the receiver.
    pub request: PageRequest,
    /// The page tells all that the sender knows from after this address on; from the first where there is none...
    pub after: Option<SocketAddr>,
}

/// What a page wants of its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PageRequest {
    /// A page, if the digests differ. It has no entries.
    CompareDigests,
    /// What the receiver knows better in this piece, and its digest.
    NewerEntries,
    /// Nothing: it is what the sender knows better, and its digest.
    Nothing,
}

/// A page as it was heard.
#[derive(Debug, Clone)]
pub struct Page {
    /// What stands at its head.
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

/// Where the next entry goes on from: neighbours share most of their address and the day of their start.
struct DeltaBase {
    ip: u32,
    port: u16,
    generation: u64,
}

impl DeltaBase {
    fn new(head: &PageHeader) -> Self {
        Self { ip: 0, port: head.sender.address.port(), generation: head.sender.incarnation }
    }
}

fn append_value<T: Serialize>(bytes: &mut Vec<u8>, value: &T) {
    // A vector grows, so nothing fails here.
    if let Ok(more) = postcard::to_allocvec(value) {
        bytes.extend_from_slice(&more);
    }
}

fn read_value<'a, T: Deserialize<'a>>(bytes: &mut &'a [u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    *bytes = rest;
    Some(value)
}

/// Writes a page of at most `room` bytes with as many of `entries`, by rising address, as fit; how many did.
pub fn encode(head: &PageHeader, entries: &[PageEntry], last: bool, room: usize) -> (Vec<u8>, usize) {
    let mut bytes = vec![0];
    append_value(&mut bytes, head);
    let (mut before, mut count) = (DeltaBase::new(head), 0);
    let mut one = Vec::new();
    for entry in entries {
        one.clear();
        let at = entry.member.address;
        let mut flags = match entry.state {
            State::Alive => 0,
            State::Suspect => 1,
            State::Down => 2,
        };
        flags |= if entry.member.leaving { LEAVING_FLAG } else { 0 };
        flags |= if entry.refutations > 0 { REFUTED_FLAG } else { 0 };
        flags |= if at.port() == before.port { 0 } else { PORT_FLAG };
        one.push(0);
        match at.ip() {
            IpAddr::V4(ip) => {
                append_value(&mut one, &u32::from(ip).wrapping_sub(before.ip));
                before.ip = ip.into();
            }
            IpAddr::V6(ip) => {
                flags |= IPV6_FLAG;
                one.extend_from_slice(&ip.octets());
            }
        }
        one[0] = flags;
        if flags & PORT_FLAG != 0 {
            append_value(&mut one, &at.port());
        }
        append_value(&mut one, &(entry.member.incarnation.wrapping_sub(before.generation) as i64));
        if flags & REFUTED_FLAG != 0 {
            append_value(&mut one, &entry.refutations);
        }
        if bytes.len() + one.len() > room {
            break;
        }
        bytes.extend_from_slice(&one);
        (before.port, before.generation) = (at.port(), entry.member.incarnation);
        count += 1;
    }
    bytes[0] = u8::from(last && count == entries.len());
    (bytes, count)
}

/// Reads a page; nothing where it is none.
pub fn decode(mut bytes: &[u8]) -> Option<Page> {
    let last: bool = read_value(&mut bytes)?;
    let head: PageHeader = read_value(&mut bytes)?;
    let (mut before, mut entries) = (DeltaBase::new(&head), Vec::new());
    while !bytes.is_empty() {
        let flags: u8 = read_value(&mut bytes)?;
        let state = match flags & STATE_MASK {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Down,
            _ => return None,
        };
        let ip = if flags & IPV6_FLAG == 0 {
            let ip = before.ip.wrapping_add(read_value(&mut bytes)?);
            before.ip = ip;
            IpAddr::V4(Ipv4Addr::from(ip))
        } else {
            IpAddr::from(read_value::<[u8; 16]>(&mut bytes)?)
        };
        let port = if flags & PORT_FLAG == 0 { before.port } else { read_value(&mut bytes)? };
        let generation = before.generation.wrapping_add(read_value::<i64>(&mut bytes)? as u64);
        let incarnation = if flags & REFUTED_FLAG == 0 { 0 } else { read_value(&mut bytes)? };
        (before.port, before.generation) = (port, generation);
        let address = SocketAddr::new(ip, port);
        let member = Member { address, incarnation: generation, leaving: flags & LEAVING_FLAG != 0 };
        entries.push(PageEntry { member, refutations: incarnation, state });
    }
    Some(Page { header: head, is_last: last, entries })
}

/// A number that is the same where the same members are held to be there, in the same lives, with the same
/// contradictions; the order does not matter. No defence against anyone who wants two views to look alike.
pub(crate) fn digest<'a>(entries: impl Iterator<Item = &'a PageEntry>) -> u64 {
    let up = entries.filter(|it| it.state != State::Down && !it.member.leaving);
    up.map(|it| member_digest(it.member, u64::from(it.refutations))).fold(0, u64::wrapping_add)
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
