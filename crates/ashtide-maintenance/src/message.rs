//! Messages between gateways, in datagrams of at most [`MAX_DATAGRAM`] bytes. A longer message is sent in
//! several parts, which [`MessageAssembler`](crate::MessageAssembler) reassembles.

use ashtide_fleet::MAX_DATAGRAM;
use ashtide_fleet::state::{Slot, mix};
use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::paxos::{AcceptorState, Ballot};
use crate::queue::MaintenanceQueue;

/// Version of this protocol, the first byte of each datagram. The other protocols of the fleet use other
/// first bytes.
pub(crate) const VERSION: u8 = 0x4d;
/// Length of the datagram header in bytes: version, fleet id, sender, digest, part number, part count.
pub(crate) const HEADER_LEN: usize = 1 + 4 + 2 + 8 + 1 + 1;
/// Maximum number of message bytes in one datagram.
pub(crate) const MAX_PAYLOAD: usize = MAX_DATAGRAM - HEADER_LEN;
/// Maximum number of datagrams of one message. The state of an acceptor with a full queue needs fewer.
pub const MAX_PARTS: usize = 24;

/// Message between gateways.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// Request for a promise (phase 1 of a proposal), sent to the acceptors.
    Prepare {
        /// Ballot of the proposal.
        ballot: Ballot,
    },
    /// Promise of an acceptor not to answer earlier ballots, with the value that it has accepted.
    Promise {
        /// Ballot that is promised.
        ballot: Ballot,
        /// Ballot under which the acceptor accepted its value.
        accepted: Ballot,
        /// Value of the acceptor.
        queue: MaintenanceQueue,
    },
    /// Request to accept the changed value (phase 2 of a proposal), sent to the acceptors.
    Accept {
        /// Ballot of the proposal.
        ballot: Ballot,
        /// Changed value.
        queue: MaintenanceQueue,
    },
    /// Confirmation of an acceptor that it has accepted the value of the proposal.
    Accepted {
        /// Ballot of the proposal.
        ballot: Ballot,
    },
    /// Rejection by an acceptor that has promised a later ballot.
    Nack {
        /// Ballot that is rejected.
        ballot: Ballot,
        /// Later ballot that the acceptor has promised.
        promised: Ballot,
    },
    /// Read of an acceptor's value, with a report of the reader's own state.
    ReadRequest {
        /// Incarnation of the reader.
        incarnation: u64,
        /// Sequence number of the read within the incarnation.
        sequence: u64,
        /// Ballot of the newest value that the reader has.
        known_ballot: Ballot,
        /// Version of the queue that the reader acts on; 0 if its lease has expired.
        acting_version: u64,
        /// Number of open connections that the reader has to each cordoned machine, by fencing token.
        open_connections: Vec<(u64, u32)>,
    },
    /// Answer of an acceptor to a read.
    ReadReply {
        /// Incarnation of the reader.
        incarnation: u64,
        /// Sequence number of the read.
        sequence: u64,
        /// Ballot under which the acceptor accepted its value.
        accepted: Ballot,
        /// Value of the acceptor, `None` if the reader already has it.
        queue: Option<MaintenanceQueue>,
    },
    /// Request of an acceptor that has lost its state for the state of another acceptor.
    CatchUpRequest {
        /// Incarnation of the sender.
        incarnation: u64,
    },
    /// Answer of an acceptor to a catch-up request.
    CatchUpReply {
        /// Incarnation of the receiver.
        incarnation: u64,
        /// State of the acceptor, `None` if it has lost its own state.
        state: Option<AcceptorState>,
    },
}

/// Reason why a datagram is rejected. A rejected datagram changes no state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is longer than [`MAX_DATAGRAM`] bytes, or shorter than its header.
    #[error("a length that no datagram has")]
    Length,
    /// The datagram has another protocol version.
    #[error("another version")]
    Version,
    /// The datagram belongs to another fleet.
    #[error("another tier")]
    OtherFleet,
    /// The payload cannot be decoded, or the reassembled parts do not match the digest.
    #[error("malformed")]
    Malformed,
    /// The sender is not a configured member, or is this gateway itself.
    #[error("of nobody on the list")]
    UnknownSender,
}

impl DecodeError {
    /// Returns what an operator can do about it.
    #[must_use]
    pub fn help(self) -> &'static str {
        match self {
            Self::Length | Self::Malformed => {
                "see who sends to this address; gateways of one tier run one version"
            }
            Self::Version => "finish the upgrade of the tier",
            Self::OtherFleet => "see that each tier has a key of its own, the same at all its gateways",
            Self::UnknownSender => {
                "compare the list of gateways on all of them, and that no two have one slot"
            }
        }
    }
}

/// Returns the digest of a message, which distinguishes the parts of different messages and detects a
/// corrupted part.
pub(crate) fn message_digest(bytes: &[u8]) -> u64 {
    let big_endian = |chunk: &[u8]| chunk.iter().fold(0, |value, &byte| value << 8 | u64::from(byte));
    bytes.chunks(8).fold(bytes.len() as u64, |digest, chunk| mix(digest, big_endian(chunk)))
}

/// Encodes a message as datagrams. Returns an empty list if the message needs more than [`MAX_PARTS`]
/// datagrams.
pub fn encode_message(fleet_id: u32, from: Slot, message: &Message) -> Vec<Bytes> {
    // Serialization into a vector does not fail.
    let Ok(encoded) = postcard::to_allocvec(message) else { return Vec::new() };
    let digest = message_digest(&encoded);
    let parts = encoded.chunks(MAX_PAYLOAD);
    let part_count = parts.len();
    if part_count > MAX_PARTS {
        return Vec::new();
    }
    let encode_part = |(number, part): (usize, &[u8])| {
        let mut datagram = BytesMut::with_capacity(HEADER_LEN + part.len());
        datagram.put_u8(VERSION);
        datagram.put_u32(fleet_id);
        datagram.put_u16(from.0);
        datagram.put_u64(digest);
        datagram.put_u8(number as u8);
        datagram.put_u8(part_count as u8);
        datagram.extend_from_slice(part);
        datagram.freeze()
    };
    parts.enumerate().map(encode_part).collect()
}
