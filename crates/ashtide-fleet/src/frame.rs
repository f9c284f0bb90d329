//! The frame of every datagram: protocol version, fleet ID and payload kind.

use bytes::{BufMut, Bytes, BytesMut};

/// The maximum length of a datagram in bytes, including the frame. The platform invalidates a run that sends
/// a longer datagram.
pub const MAX_DATAGRAM: usize = 256;
/// The length of the frame in bytes: version (1), fleet ID (4, big-endian), payload kind (1).
pub(crate) const HEADER_LEN: usize = 6;
/// The protocol version, the first byte of a frame. Messages of servers begin with other bytes.
const VERSION: u8 = 0x42;

/// The payload kind of a frame. The discriminants are wire values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PayloadKind {
    /// A SWIM message, encoded by `foca`.
    Protocol = 0,
    /// A page of a membership view.
    SnapshotPage = 1,
}

/// The reason for rejecting a datagram. A rejected datagram changes no state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is longer than [`MAX_DATAGRAM`] or shorter than a frame.
    #[error("datagram length is below the header length or above the maximum")]
    Length,
    /// The datagram has another protocol version.
    #[error("datagram has a different protocol version")]
    Version,
    /// The datagram belongs to another fleet.
    #[error("datagram belongs to a different fleet")]
    OtherFleet,
    /// The payload cannot be decoded.
    #[error("datagram payload cannot be decoded")]
    Malformed,
    /// The datagram names this member as its sender.
    #[error("datagram names this gateway as its sender")]
    Own,
    /// The sender is unknown and the member table has no capacity for it.
    #[error("sender is unknown and the member table is full")]
    Full,
    /// The source address differs from the configured address of the gateway named as the sender.
    #[error("source address differs from the configured address of the sending gateway")]
    Foreign,
}

impl DecodeError {
    /// Returns advice for the operator on resolving the cause.
    #[must_use]
    pub fn help(self) -> &'static str {
        match self {
            Self::Length | Self::Malformed => "find the other program that sends datagrams to this port",
            Self::Version => "gateways run different builds: complete the upgrade",
            Self::OtherFleet => "gateways of two fleets send to each other's ports: compare their settings",
            Self::Own => "find the second process with this gateway's name and stop one of them",
            Self::Full => "compare the lists of gateways in the settings: the list here lacks the sender",
            Self::Foreign => {
                "compare the lists of gateways in the settings: all gateways need the same list in \
                 the same order"
            }
        }
    }
}

/// Counters of datagrams and their bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DatagramCount {
    /// The number of datagrams.
    pub datagrams: u64,
    /// The total length of the datagrams in bytes.
    pub bytes: u64,
}

impl DatagramCount {
    /// Counts one datagram of `length` bytes.
    pub fn record(&mut self, length: usize) {
        self.datagrams += 1;
        self.bytes += length as u64;
    }
}

/// Encodes a datagram: the frame, followed by the payload.
pub(crate) fn encode_frame(fleet_id: u32, kind: PayloadKind, payload: &[u8]) -> Bytes {
    let mut datagram = BytesMut::with_capacity(HEADER_LEN + payload.len());
    datagram.put_u8(VERSION);
    datagram.put_u32(fleet_id);
    datagram.put_u8(kind as u8);
    datagram.extend_from_slice(payload);
    datagram.freeze()
}

/// Checks the frame of a datagram and returns the payload kind and the payload.
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
