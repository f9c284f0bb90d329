//! What is round each datagram: a version, and the tier it is meant for.

use bytes::{BufMut, Bytes, BytesMut};

/// Longest datagram, the frame included: a longer one voids the platform's run.
pub const MAX_DATAGRAM: usize = 256;
/// Bytes of the frame: the version, then the tier, the most significant byte first, then the kind.
pub(crate) const HEADER_LEN: usize = 6;
/// The version spoken here; words of servers begin with other bytes.
const VERSION: u8 = 0x42;

/// What is inside a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PayloadKind {
    /// A message of the protocol.
    Protocol = 0,
    /// A page of a view.
    SnapshotPage = 1,
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
    /// Its inside cannot be read.
    #[error("malformed")]
    Malformed,
    /// It says that this member itself has sent it.
    #[error("of this member itself")]
    Own,
    /// Its sender is not known here, and there is no room for more.
    #[error("no room for another member")]
    Full,
    /// It speaks for a gateway that is known by another address than it came from.
    #[error("of another address than the gateway it speaks for")]
    Foreign,
}

pub(crate) fn encode_frame(tier: u32, kind: PayloadKind, inside: &[u8]) -> Bytes {
    let mut all = BytesMut::with_capacity(HEADER_LEN + inside.len());
    all.put_u8(VERSION);
    all.put_u32(tier);
    all.put_u8(kind as u8);
    all.extend_from_slice(inside);
    all.freeze()
}

pub(crate) fn decode_frame(tier: u32, datagram: &[u8]) -> Result<(PayloadKind, &[u8]), DecodeError> {
    if datagram.len() > MAX_DATAGRAM {
        return Err(DecodeError::Length);
    }
    let (frame, inside) = datagram.split_at_checked(HEADER_LEN).ok_or(DecodeError::Length)?;
    match frame {
        [VERSION, rest @ .., kind] if rest == tier.to_be_bytes() => match kind {
            0 => Ok((PayloadKind::Protocol, inside)),
            1 => Ok((PayloadKind::SnapshotPage, inside)),
            _ => Err(DecodeError::Malformed),
        },
        [VERSION, ..] => Err(DecodeError::Tier),
        _ => Err(DecodeError::Version),
    }
}
