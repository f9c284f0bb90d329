//! What gateways send each other, as bytes: a header, then messages one after another until the end.

use serde::{Deserialize, Serialize};

use super::counts::{CounterKey, VersionedCount};
use super::outliers::EvidenceMessage;
use super::{AllocationVersion, LeaseGrant, LeaseRequest, Slot};
use crate::{DecodeError, MAX_DATAGRAM};

/// Begins each datagram of shared state; those of the view and of servers begin with other bytes.
const VERSION: u8 = 0x53;
/// Bytes of the version, the tier, the sender's slot and its incarnation.
const HEADER_LEN: usize = 1 + 4 + 2 + 8;
/// Longest message.
const MAX_MESSAGE_LEN: usize = 64;

/// One message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateMessage {
    /// Requests rights of a budget.
    LeaseRequest(u32, LeaseRequest),
    /// Grants rights of a budget.
    LeaseGrant(u32, LeaseGrant),
    /// What the sender observed.
    Evidence(EvidenceMessage),
    /// One of the sender's counts.
    Count(CounterKey, VersionedCount),
    /// The sender's counts are unchanged: a rising number, and a hash of all that it has sent the receiver.
    CountsDigest(u32, u64),
    /// The receiver's counts as they are here are not what it sent last: it is to send them again.
    ResendCounts,
    /// Requests the total of a count.
    TotalRequest(CounterKey),
    /// The total of a count, over so many gateways, the oldest row so many milliseconds old.
    Total(CounterKey, u64, u16, u16),
    /// The sender has just started, and requests a snapshot.
    SnapshotRequest,
    /// Another gateway's count, for one that has just started.
    SnapshotCount(Slot, u64, CounterKey, VersionedCount),
    /// The snapshot ends.
    SnapshotEnd,
    /// Which settings the sender is at, and which gateways have committed to them.
    AllocationVersion(AllocationVersion),
}

impl StateMessage {
    /// What goes first where not all can go: rights, as they expire; evidence; counts by news, then as they are; and
    /// last what only asks about them, so that a gateway that asks often does not hold up what is asked for.
    pub(super) fn priority(&self) -> u8 {
        match self {
            Self::LeaseGrant(..) | Self::LeaseRequest(..) | Self::AllocationVersion(_) => 0,
            Self::Evidence(_) => 1,
            Self::SnapshotRequest => 2,
            Self::Count(..) | Self::ResendCounts | Self::CountsDigest(..) => 3,
            Self::Total(..) | Self::TotalRequest(_) | Self::SnapshotCount(..) | Self::SnapshotEnd => 4,
        }
    }

    /// Whether this message, which waits for the same gateway, has no use beside `newer`.
    pub(super) fn is_replaced_by(&self, newer: &Self) -> bool {
        match (self, newer) {
            (Self::Count(key, _), Self::Count(newer, _)) => key == newer,
            (Self::LeaseRequest(id, _), Self::LeaseRequest(newer, _))
            | (Self::LeaseGrant(id, _), Self::LeaseGrant(newer, _)) => id == newer,
            (Self::Evidence(evidence), Self::Evidence(newer)) => {
                evidence.server == newer.server && evidence.kind == newer.kind
            }
            (Self::CountsDigest(..), Self::CountsDigest(..))
            | (Self::AllocationVersion(_), Self::AllocationVersion(_)) => true,
            (message, newer) => message == newer,
        }
    }
}

/// Whether a datagram is one of shared state, which may share a socket with others.
#[must_use]
pub fn is_shared_state(datagram: &[u8]) -> bool {
    datagram.first() == Some(&VERSION)
}

/// A datagram as it was received.
pub(super) struct Received {
    pub(super) sender: Slot,
    pub(super) incarnation: u64,
    pub(super) messages: Vec<StateMessage>,
}

/// A datagram without a message yet.
pub(super) fn encode_header(fleet_id: u32, sender: Slot, incarnation: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM);
    bytes.push(VERSION);
    bytes.extend(fleet_id.to_be_bytes());
    bytes.extend(sender.0.to_be_bytes());
    bytes.extend(incarnation.to_be_bytes());
    bytes
}

/// Appends a message to a datagram of at most `room` bytes; false where there is no room.
pub(super) fn append_message(bytes: &mut Vec<u8>, message: &StateMessage, room: usize) -> bool {
    let mut buffer = [0; MAX_MESSAGE_LEN];
    let Ok(encoded) = postcard::to_slice(message, &mut buffer) else { return false };
    let has_room = bytes.len() + encoded.len() <= room;
    if has_room {
        bytes.extend_from_slice(encoded);
    }
    has_room
}

/// Decodes a datagram, or says why it is rejected.
pub(super) fn decode_datagram(fleet_id: u32, datagram: &[u8]) -> Result<Received, DecodeError> {
    if datagram.len() > MAX_DATAGRAM {
        return Err(DecodeError::Length);
    }
    let (header, mut remaining) = datagram.split_at_checked(HEADER_LEN).ok_or(DecodeError::Length)?;
    let [VERSION, t0, t1, t2, t3, s0, s1, incarnation @ ..] = header else {
        return Err(DecodeError::Version);
    };
    if fleet_id != u32::from_be_bytes([*t0, *t1, *t2, *t3]) {
        return Err(DecodeError::OtherFleet);
    }
    let incarnation = incarnation.try_into().map_err(|_| DecodeError::Length)?;
    let mut messages = Vec::new();
    while !remaining.is_empty() {
        let (message, after) = postcard::take_from_bytes(remaining).map_err(|_| DecodeError::Malformed)?;
        messages.push(message);
        remaining = after;
    }
    let sender = Slot(u16::from_be_bytes([*s0, *s1]));
    Ok(Received { sender, incarnation: u64::from_be_bytes(incarnation), messages })
}
