//! What gateways send each other, in datagrams of at most [`MAX_DATAGRAM`] bytes: a longer message goes in several
//! parts, which [`MessageAssembler`](crate::MessageAssembler) puts together.

use ashtide_fleet::MAX_DATAGRAM;
use ashtide_fleet::state::{Slot, mix};
use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::paxos::{AcceptorState, Ballot};
use crate::queue::MaintenanceQueue;

/// The version spoken here; other datagrams of the tier begin with other bytes.
pub(crate) const VERSION: u8 = 0x4d;
/// Version, tier, sender, digest, part, parts.
pub(crate) const HEADER_LEN: usize = 1 + 4 + 2 + 8 + 1 + 1;
/// Bytes of a message that one datagram takes.
pub(crate) const MAX_PAYLOAD: usize = MAX_DATAGRAM - HEADER_LEN;
/// Datagrams that one message may take; the state of an acceptor with a full queue takes fewer.
pub const MAX_PARTS: usize = 24;

/// A message between gateways.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// A proposer asks for a promise.
    Prepare {
        /// Its ballot.
        ballot: Ballot,
    },
    /// An acceptor promises, and sends its value.
    Promise {
        /// The ballot that is promised.
        ballot: Ballot,
        /// The value's ballot.
        accepted: Ballot,
        /// The value.
        queue: MaintenanceQueue,
    },
    /// A proposer proposes the changed value.
    Accept {
        /// Its ballot.
        ballot: Ballot,
        /// The value.
        queue: MaintenanceQueue,
    },
    /// An acceptor has accepted it.
    Accepted {
        /// The ballot.
        ballot: Ballot,
    },
    /// An acceptor has promised a later ballot.
    Nack {
        /// The ballot that is rejected.
        ballot: Ballot,
        /// The later one.
        promised: Ballot,
    },
    /// A gateway reads an acceptor's value, and reports its own state.
    ReadRequest {
        /// The reader's incarnation.
        incarnation: u64,
        /// Counts its reads.
        sequence: u64,
        /// The ballot of the newest value that it has.
        known_ballot: Ballot,
        /// The version that it acts on; 0 where its lease has ended.
        acting_version: u64,
        /// How many connections it still has, by token.
        open_connections: Vec<(u64, u32)>,
    },
    /// An acceptor's value.
    ReadReply {
        /// The reader's incarnation.
        incarnation: u64,
        /// The read.
        sequence: u64,
        /// The value's ballot.
        accepted: Ballot,
        /// The value, where the reader does not have it.
        queue: Option<MaintenanceQueue>,
    },
    /// An acceptor that has lost its state asks another for its own.
    CatchUpRequest {
        /// The sender's incarnation.
        incarnation: u64,
    },
    /// An acceptor's state, if it has one.
    CatchUpReply {
        /// The receiver's incarnation.
        incarnation: u64,
        /// The state.
        state: Option<AcceptorState>,
    },
}

/// Why a datagram is rejected. It has changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DecodeError {
    /// Over [`MAX_DATAGRAM`] bytes, or too few for a header.
    #[error("a length that no datagram has")]
    Length,
    /// Another version's.
    #[error("another version")]
    Version,
    /// Another tier's.
    #[error("another tier")]
    OtherFleet,
    /// Its payload cannot be read, or its parts do not make up what they should.
    #[error("malformed")]
    Malformed,
    /// Its sender is not on the settings' list, or is this gateway itself.
    #[error("of nobody on the list")]
    UnknownSender,
}

impl DecodeError {
    /// What an operator can do.
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

/// Tells apart the parts of different messages, and detects a wrong part.
pub(crate) fn message_digest(bytes: &[u8]) -> u64 {
    let number = |chunk: &[u8]| chunk.iter().fold(0, |number, &byte| number << 8 | u64::from(byte));
    bytes.chunks(8).fold(bytes.len() as u64, |digest, chunk| mix(digest, number(chunk)))
}

/// The datagrams of one message; none where it takes more than [`MAX_PARTS`].
pub fn encode_message(fleet_id: u32, from: Slot, message: &Message) -> Vec<Bytes> {
    // Writing to memory does not fail.
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
