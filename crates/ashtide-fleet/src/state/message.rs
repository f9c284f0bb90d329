//! Encoding of the datagrams of shared state: a header, followed by messages up to the end of the datagram.

use serde::{Deserialize, Serialize};

use super::counts::{CounterKey, VersionedCount};
use super::outliers::EvidenceMessage;
use super::{AllocationVersion, LeaseGrant, LeaseRequest, Slot};
use crate::{DecodeError, MAX_DATAGRAM};

/// First byte of each datagram of shared state. Datagrams of the membership view and of servers have other
/// first bytes.
const VERSION: u8 = 0x53;
/// Length of the header in bytes: version, fleet ID, slot of the sender and incarnation of the sender.
const HEADER_LEN: usize = 1 + 4 + 2 + 8;
/// Maximum length of an encoded message, in bytes.
const MAX_MESSAGE_LEN: usize = 64;

/// A message of shared state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateMessage {
    /// A request for a lease of the budget with this ID.
    LeaseRequest(u32, LeaseRequest),
    /// A grant of a lease of the budget with this ID.
    LeaseGrant(u32, LeaseGrant),
    /// Evidence that the sender observed.
    Evidence(EvidenceMessage),
    /// A count of the sender.
    Count(CounterKey, VersionedCount),
    /// A round number and a digest of all counts that the sender has sent to the receiver.
    CountsDigest(u32, u64),
    /// A request to the receiver to send all its counts again, as those stored at the sender do not match the
    /// receiver's digest.
    ResendCounts,
    /// A request for the total of a count.
    TotalRequest(CounterKey),
    /// The total of a count: key, sum, number of gateways included, and age of the oldest row in
    /// milliseconds.
    Total(CounterKey, u64, u16, u16),
    /// A request for a snapshot by a gateway that has just started.
    SnapshotRequest,
    /// A count in a snapshot: slot and incarnation of the gateway that counted, key and count.
    SnapshotCount(Slot, u64, CounterKey, VersionedCount),
    /// The end of a snapshot.
    SnapshotEnd,
    /// The allocation that the sender uses, and the gateways that have committed to it.
    AllocationVersion(AllocationVersion),
}

impl StateMessage {
    /// Returns the priority of the message when the datagram rate is limited; 0 is the highest. Leases come
    /// first, as they expire, followed by evidence, snapshot requests, and changes and digests of counts.
    /// Totals, their requests and snapshots come last, so that frequent requests do not delay the counts
    /// themselves.
    pub(super) fn priority(&self) -> u8 {
        match self {
            Self::LeaseGrant(..) | Self::LeaseRequest(..) | Self::AllocationVersion(_) => 0,
            Self::Evidence(_) => 1,
            Self::SnapshotRequest => 2,
            Self::Count(..) | Self::ResendCounts | Self::CountsDigest(..) => 3,
            Self::Total(..) | Self::TotalRequest(_) | Self::SnapshotCount(..) | Self::SnapshotEnd => 4,
        }
    }

    /// Returns whether `newer`, queued for the same gateway, makes this queued message obsolete.
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

/// Returns whether a datagram is one of shared state. Other kinds of datagrams may use the same socket.
#[must_use]
pub fn is_shared_state(datagram: &[u8]) -> bool {
    datagram.first() == Some(&VERSION)
}

/// A decoded datagram.
pub(super) struct Received {
    pub(super) sender: Slot,
    pub(super) incarnation: u64,
    pub(super) messages: Vec<StateMessage>,
}

/// Returns a datagram that has only a header.
pub(super) fn encode_header(fleet_id: u32, sender: Slot, incarnation: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM);
    bytes.push(VERSION);
    bytes.extend(fleet_id.to_be_bytes());
    bytes.extend(sender.0.to_be_bytes());
    bytes.extend(incarnation.to_be_bytes());
    bytes
}

/// Appends a message to a datagram. Returns false if the datagram would exceed `max_len` bytes.
pub(super) fn append_message(bytes: &mut Vec<u8>, message: &StateMessage, max_len: usize) -> bool {
    let mut buffer = [0; MAX_MESSAGE_LEN];
    let Ok(encoded) = postcard::to_slice(message, &mut buffer) else { return false };
    let fits = bytes.len() + encoded.len() <= max_len;
    if fits {
        bytes.extend_from_slice(encoded);
    }
    fits
}

/// Decodes a datagram, or returns the reason why it is rejected.
pub(super) fn decode_datagram(fleet_id: u32, datagram: &[u8]) -> Result<Received, DecodeError> {
    if datagram.len() > MAX_DATAGRAM {
        return Err(DecodeError::Length);
    }
    let (header, mut remaining) = datagram.split_at_checked(HEADER_LEN).ok_or(DecodeError::Length)?;
    let [VERSION, fleet0, fleet1, fleet2, fleet3, slot0, slot1, incarnation @ ..] = header else {
        return Err(DecodeError::Version);
    };
    if fleet_id != u32::from_be_bytes([*fleet0, *fleet1, *fleet2, *fleet3]) {
        return Err(DecodeError::OtherFleet);
    }
    let incarnation = incarnation.try_into().map_err(|_| DecodeError::Length)?;
    let mut messages = Vec::new();
    while !remaining.is_empty() {
        let (message, after) = postcard::take_from_bytes(remaining).map_err(|_| DecodeError::Malformed)?;
        messages.push(message);
        remaining = after;
    }
    let sender = Slot(u16::from_be_bytes([*slot0, *slot1]));
    Ok(Received { sender, incarnation: u64::from_be_bytes(incarnation), messages })
}
