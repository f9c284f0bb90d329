//! The frame of each datagram: a version, the tier it is meant for, and the kind of its payload.

use bytes::{BufMut, Bytes, BytesMut};

/// Longest datagram, the frame included: a longer one voids the platform's run.
pub const MAX_DATAGRAM: usize = 256;
/// Bytes of the frame: the version, then the tier, the most significant byte first, then the kind.
pub(crate) const HEADER_LEN: usize = 6;
/// The version spoken here; messages of servers begin with other bytes.
const VERSION: u8 = 0x42;

/// The kind of a frame's payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PayloadKind {
    /// A message of the protocol.
    Protocol = 0,
    /// A page of a view.
    SnapshotPage = 1,
}

/// Why a datagram is rejected. It has changed nothing.
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
    OtherFleet,
    /// Its payload cannot be read.
    #[error("malformed")]
    Malformed,
    /// It claims to be sent by this member itself.
    #[error("of this member itself")]
    Own,
    /// Its sender is not known here, and there is no room for more.
    #[error("no room for another member")]
    Full,
    /// It comes from another address than that of the gateway that it claims to be sent by.
    #[error("of another address than the gateway it speaks for")]
    Foreign,
}

impl DecodeError {
    /// What an operator can do.
    #[must_use]
    pub fn help(self) -> &'static str {
        match self {
            Self::Length | Self::Malformed => "look for another program that sends to this port",
            Self::Version => "gateways of two builds are about: end the roll",
            Self::OtherFleet => "two tiers reach each other's ports: compare their settings",
            Self::Own => "look for a second process of this gateway's name, and stop one",
            Self::Full => "compare the settings' list of gateways: its sender is in none here",
            Self::Foreign => {
                "compare the settings' list of gateways: it must be the same, in one order, everywhere"
            }
        }
    }
}

/// Counts datagrams and their bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DatagramCount {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl DatagramCount {
    /// Counts one datagram of `length` bytes.
    pub fn record(&mut self, length: usize) {
        self.datagrams += 1;
        self.bytes += length as u64;
    }
}

/// Puts a frame round a payload.
pub(crate) fn encode_frame(fleet_id: u32, kind: PayloadKind, payload: &[u8]) -> Bytes {
    let mut datagram = BytesMut::with_capacity(HEADER_LEN + payload.len());
    datagram.put_u8(VERSION);
    datagram.put_u32(fleet_id);
    datagram.put_u8(kind as u8);
    datagram.extend_from_slice(payload);
    datagram.freeze()
}

/// The kind and the payload of a datagram.
pub(crate) fn decode_frame(fleet_id: u32, datagram: &[u8]) -> Result<(PayloadKind, &[u8]), DecodeError> {
    if datagram.len() > MAX_DATAGRAM {
        return Err(DecodeError::Length);
    }
    let (header, payload) = datagram.split_at_checked(HEADER_LEN).ok_or(DecodeError::Length)?;
    match header {
        [VERSION, rest @ .., kind] if rest == fleet_id.to_be_bytes() => match kind {
            0 => Ok((PayloadKind::Protocol, payload)),
            1 => Ok((PayloadKind::SnapshotPage, payload)),
            _ => Err(DecodeError::Malformed),
        },
        [VERSION, ..] => Err(DecodeError::OtherFleet),
        _ => Err(DecodeError::Version),
    }
}
