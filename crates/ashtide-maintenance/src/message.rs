//! What gateways tell each other, in datagrams of at most [`MAX_DATAGRAM`] bytes: a message that is longer goes in
//! several, told apart by a digest of the whole, so that what is sent again fills the gaps.

use std::collections::VecDeque;

use ashtide_fleet::MAX_DATAGRAM;
use ashtide_fleet::state::{Slot, mix};
use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::register::{AcceptorState, Ballot};
use crate::table::MaintenanceQueue;

/// The version spoken here; other datagrams of the tier begin with other bytes.
const VERSION: u8 = 0x4d;
/// Version, tier, sender, digest, part, parts.
const HEADER_LEN: usize = 1 + 4 + 2 + 8 + 1 + 1;
const MAX_PAYLOAD: usize = MAX_DATAGRAM - HEADER_LEN;
/// Datagrams that one message may take; a full table's vote takes fewer.
pub const MAX_PARTS: usize = 24;
/// Messages that are put together at a time; the oldest goes.
const MAX_PARTIAL_MESSAGES: usize = 64;

/// What a gateway says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Message {
    /// A proposer asks for a promise.
    Prepare {
        /// Its round.
        ballot: Ballot,
    },
    /// A voter promises, and tells its value.
    Promise {
        /// The round.
        ballot: Ballot,
        /// The value's ballot.
        accepted: Ballot,
        /// The value.
        queue: MaintenanceQueue,
    },
    /// A proposer offers the changed value.
    Accept {
        /// Its round.
        ballot: Ballot,
        /// The value.
        queue: MaintenanceQueue,
    },
    /// A voter has taken it.
    Accepted {
        /// The round.
        ballot: Ballot,
    },
    /// A voter has promised a later round.
    Nack {
        /// The round that is refused.
        ballot: Ballot,
        /// The later one.
        promised: Ballot,
    },
    /// A gateway asks a voter for its value, and says how it stands.
    ReadRequest {
        /// The asker's life.
        incarnation: u64,
        /// Counts its asks.
        sequence: u64,
        /// The ballot of the newest value that it has.
        known_ballot: Ballot,
        /// The version that it acts on; nothing where what it knows is too old.
        acting_version: u64,
        /// How many connections it still has, by token.
        open_connections: Vec<(u64, u32)>,
    },
    /// A voter's value.
    ReadReply {
        /// The asker's life.
        incarnation: u64,
        /// The ask.
        sequence: u64,
        /// The value's ballot.
        accepted: Ballot,
        /// The value, where the asker does not have it.
        queue: Option<MaintenanceQueue>,
    },
    /// A voter without a memory asks another what it remembers.
    CatchUpRequest {
        /// The asker's life.
        incarnation: u64,
    },
    /// What a voter remembers, if it does.
    CatchUpReply {
        /// The asker's life.
        incarnation: u64,
        /// Its memory.
        state: Option<AcceptorState>,
    },
}

/// Why a datagram is not heard. It has changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DecodeError {
    /// Over [`MAX_DATAGRAM`] bytes, or too few for a frame.
    #[error("a length that no datagram has")]
    Length,
    /// Another version's.
    #[error("another version")]
    Version,
    /// Another tier's.
    #[error("another tier")]
    Tier,
    /// Its inside cannot be read, or its parts do not make up what they should.
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
            Self::Tier => "see that each tier has a key of its own, the same at all its gateways",
            Self::UnknownSender => {
                "compare the list of gateways on all of them, and that no two have one slot"
            }
        }
    }
}

fn message_digest(bytes: &[u8]) -> u64 {
    let word = |chunk: &[u8]| chunk.iter().fold(0, |word, &byte| word << 8 | u64::from(byte));
    bytes.chunks(8).fold(bytes.len() as u64, |so_far, chunk| mix(so_far, word(chunk)))
}

/// The datagrams of one message.
pub fn encode_message(tier: u32, from: Slot, message: &Message) -> Vec<Bytes> {
    // Writing to memory does not fail; what it could not write would be no message, and is not sent.
    let Ok(all) = postcard::to_allocvec(message) else { return Vec::new() };
    let digest = message_digest(&all);
    let parts = all.chunks(MAX_PAYLOAD);
    let count = parts.len();
    let part = |(number, part): (usize, &[u8])| {
        let mut datagram = BytesMut::with_capacity(HEADER_LEN + part.len());
        datagram.put_u8(VERSION);
        datagram.put_u32(tier);
        datagram.put_u16(from.0);
        datagram.put_u64(digest);
        datagram.put_u8(number as u8);
        datagram.put_u8(count as u8);
        datagram.extend_from_slice(part);
        datagram.freeze()
    };
    if count > MAX_PARTS {
        return Vec::new();
    }
    parts.enumerate().map(part).collect()
}

/// Messages of which some parts are here.
#[derive(Debug, Clone, Default)]
pub struct MessageAssembler(VecDeque<PartialMessage>);

#[derive(Debug, Clone)]
struct PartialMessage {
    sender: Slot,
    digest: u64,
    parts: Vec<Option<Bytes>>,
}

impl MessageAssembler {
    /// One more datagram; gives the message that it completes, and its sender.
    ///
    /// # Errors
    ///
    /// Says why it is not heard.
    pub fn add_datagram(
        &mut self,
        tier: u32,
        datagram: &[u8],
    ) -> Result<Option<(Slot, Message)>, DecodeError> {
        if datagram.len() > MAX_DATAGRAM {
            return Err(DecodeError::Length);
        }
        let (frame, inside) = datagram.split_at_checked(HEADER_LEN).ok_or(DecodeError::Length)?;
        let frame: [u8; HEADER_LEN] = frame.try_into().map_err(|_| DecodeError::Length)?;
        let [version, t0, t1, t2, t3, f0, f1, digested @ .., number, count] = frame;
        if version != VERSION {
            return Err(DecodeError::Version);
        }
        if u32::from_be_bytes([t0, t1, t2, t3]) != tier {
            return Err(DecodeError::Tier);
        }
        let from = Slot(u16::from_be_bytes([f0, f1]));
        let (number, count) = (usize::from(number), usize::from(count));
        if count == 0
            || count > MAX_PARTS
            || number >= count
            || (inside.len() != MAX_PAYLOAD && number + 1 < count)
        {
            return Err(DecodeError::Malformed);
        }
        let whole = u64::from_be_bytes(digested);
        let same =
            |half: &PartialMessage| (half.sender, half.digest, half.parts.len()) == (from, whole, count);
        let at = match self.0.iter().position(same) {
            Some(at) => at,
            None => {
                if self.0.len() >= MAX_PARTIAL_MESSAGES {
                    self.0.pop_front();
                }
                self.0.push_back(PartialMessage { sender: from, digest: whole, parts: vec![None; count] });
                self.0.len() - 1
            }
        };
        let half = &mut self.0[at];
        half.parts[number] = Some(Bytes::copy_from_slice(inside));
        let Some(parts) = half.parts.iter().cloned().collect::<Option<Vec<Bytes>>>() else { return Ok(None) };
        self.0.remove(at);
        let all = parts.concat();
        if message_digest(&all) != whole {
            return Err(DecodeError::Malformed);
        }
        match postcard::take_from_bytes(&all) {
            Ok((message, [])) => Ok(Some((from, message))),
            _ => Err(DecodeError::Malformed),
        }
    }

    /// How many messages are half here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
