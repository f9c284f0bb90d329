//! What gateways tell each other, as bytes: a frame, then items one after another until the end.

use serde::{Deserialize, Serialize};

use super::counts::{CounterKey, VersionedCount};
use super::judgements::EvidenceMessage;
use super::{AllocationVersion, LeaseGrant, LeaseRequest, Slot};
use crate::{DecodeError, MAX_DATAGRAM};

/// Begins each datagram of shared state; the view's and the servers' words begin with other bytes.
const VERSION: u8 = 0x53;
/// Bytes of the version, the tier, the sender's slot and its life.
pub(crate) const HEADER_LEN: usize = 15;

/// One thing that is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateMessage {
    /// Rights are asked for.
    LeaseRequest(u32, LeaseRequest),
    /// Rights are granted.
    LeaseGrant(u32, LeaseGrant),
    /// What the sender saw.
    Evidence(EvidenceMessage),
    /// One of the sender's counts.
    Count(CounterKey, VersionedCount),
    /// The sender's counts are unchanged: a number that counts on, and a hash of all that it has told the receiver.
    CountsDigest(u32, u64),
    /// The receiver's counts as they are here are not what it said last: it is to tell them again.
    ResendCounts,
    /// The sum of a count is asked for.
    TotalRequest(CounterKey),
    /// The sum of a count, over so many gateways, the oldest word so many milliseconds old.
    Total(CounterKey, u64, u16, u16),
    /// The sender has just started, and asks for a snapshot.
    SnapshotRequest,
    /// Another gateway's count, told to one that has just started.
    SnapshotCount(Slot, u64, CounterKey, VersionedCount),
    /// The snapshot ends.
    SnapshotEnd,
    /// Which settings the sender is at, and who has promised to keep to them.
    AllocationVersion(AllocationVersion),
}

impl StateMessage {
    /// What goes first where not all can go: rights, as they run out; evidence; counts by news, then as they are, and
    /// last what is only asked about them: who asks often is not to hold up what is asked for.
    pub(crate) fn priority(&self) -> u8 {
        match self {
            Self::LeaseGrant(..) | Self::LeaseRequest(..) | Self::AllocationVersion(_) => 0,
            Self::Evidence(_) => 1,
            Self::SnapshotRequest => 2,
            Self::Count(..) | Self::ResendCounts | Self::CountsDigest(..) => 3,
            Self::Total(..) | Self::TotalRequest(_) | Self::SnapshotCount(..) | Self::SnapshotEnd => 4,
        }
    }
}

impl DecodeError {
    /// What an operator can do.
    #[must_use]
    pub fn help(self) -> &'static str {
        match self {
            Self::Length | Self::Malformed => "look for another program that sends to this port",
            Self::Version => "gateways of two builds are about: end the roll",
            Self::Tier => "two tiers reach each other's ports: compare their settings",
            Self::Own => "look for a second process of this gateway's name, and stop one",
            Self::Full => "compare the settings' list of gateways: its sender is in none here",
            Self::Foreign => {
                "compare the settings' list of gateways: it must be the same, in one order, everywhere"
            }
        }
    }
}

/// Whether a datagram is one of shared state, which may share a socket with others.
#[must_use]
pub fn is_shared_state(datagram: &[u8]) -> bool {
    datagram.first() == Some(&VERSION)
}

pub(crate) fn encode_header(tier: u32, from: Slot, generation: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM);
    bytes.push(VERSION);
    bytes.extend(tier.to_be_bytes());
    bytes.extend(from.0.to_be_bytes());
    bytes.extend(generation.to_be_bytes());
    bytes
}

/// Puts an item on where there is room.
pub(crate) fn append_message(bytes: &mut Vec<u8>, item: &StateMessage, most: usize) -> bool {
    let mut one = [0; 64];
    let Ok(encoded) = postcard::to_slice(item, &mut one) else { return false };
    let fits = bytes.len() + encoded.len() <= most;
    if fits {
        bytes.extend_from_slice(encoded);
    }
    fits
}

/// The sender, its life, and all items; or why none is read.
pub(crate) fn decode_datagram(
    tier: u32,
    datagram: &[u8],
) -> Result<(Slot, u64, Vec<StateMessage>), DecodeError> {
    if datagram.len() > MAX_DATAGRAM {
        return Err(DecodeError::Length);
    }
    let (head, mut rest) = datagram.split_at_checked(HEADER_LEN).ok_or(DecodeError::Length)?;
    let [VERSION, t0, t1, t2, t3, s0, s1, generation @ ..] = head else { return Err(DecodeError::Version) };
    if tier != u32::from_be_bytes([*t0, *t1, *t2, *t3]) {
        return Err(DecodeError::Tier);
    }
    let generation = u64::from_be_bytes(generation.try_into().map_err(|_| DecodeError::Length)?);
    let mut items = Vec::new();
    while !rest.is_empty() {
        let (item, after) = postcard::take_from_bytes(rest).map_err(|_| DecodeError::Malformed)?;
        items.push(item);
        rest = after;
    }
    Ok((Slot(u16::from_be_bytes([*s0, *s1])), generation, items))
}
