//! Packet headers: the invariants of RFC 8999, and version 1 of RFC 9000.

use bytes::{Buf, BufMut};

/// Longest connection id of version 1.
pub const MAX_CONNECTION_ID_LENGTH: usize = 20;
/// The only version that this gateway places.
pub const VERSION_1: u32 = 1;
/// A client's Initial fills at least this much of a datagram.
pub const MIN_INITIAL_DATAGRAM: usize = 1200;

/// A connection id.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId {
    length: u8,
    bytes: [u8; MAX_CONNECTION_ID_LENGTH],
}

impl ConnectionId {
    /// An id of these bytes, unless they are too many.
    pub fn new(id: &[u8]) -> Option<Self> {
        let mut bytes = [0; MAX_CONNECTION_ID_LENGTH];
        bytes.get_mut(..id.len())?.copy_from_slice(id);
        Some(Self { length: id.len() as u8, bytes })
    }
}

impl std::ops::Deref for ConnectionId {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        &self.bytes[..usize::from(self.length)]
    }
}

impl std::fmt::Debug for ConnectionId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// What kind of long-header packet of version 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongPacketType {
    /// Begins a connection.
    Initial,
    /// Early data.
    ZeroRtt,
    /// The rest of the handshake.
    Handshake,
    /// Asks the client to prove its address.
    Retry,
}

/// The first packet's header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Header {
    /// A list of versions; ids as on any long header.
    VersionNegotiation {
        /// Whom it is for.
        destination_id: ConnectionId,
        /// Whom it is from.
        source_id: ConnectionId,
    },
    /// A long header of a version that is not 1.
    OtherVersion {
        /// Whom it is for.
        destination_id: ConnectionId,
        /// Whom it is from.
        source_id: ConnectionId,
    },
    /// A long header of version 1.
    Long {
        /// Its kind.
        packet_type: LongPacketType,
        /// Whom it is for.
        destination_id: ConnectionId,
        /// Whom it is from.
        source_id: ConnectionId,
    },
    /// A short header, whose id is as long as its issuer has made it.
    Short {
        /// Whom it is for.
        destination_id: ConnectionId,
    },
}

/// Why a datagram is not QUIC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// It ends within the header.
    #[error("the datagram ends within its header")]
    Truncated,
    /// An id of over 20 bytes.
    #[error("a connection id of over {MAX_CONNECTION_ID_LENGTH} bytes")]
    ConnectionIdTooLong,
    /// The bit that version 1 fixes is not set.
    #[error("the fixed bit is not set")]
    FixedBitUnset,
}

impl Header {
    /// Reads the header of a datagram's first packet; ids on short headers have `id_length` bytes.
    ///
    /// # Errors
    ///
    /// Fails on what cannot be a packet of version 1 nor of the invariants.
    pub fn parse(datagram: &[u8], id_length: usize) -> Result<Self, HeaderError> {
        let mut rest = datagram;
        let first = rest.try_get_u8().map_err(|_| HeaderError::Truncated)?;
        if first & 0x80 == 0 {
            if first & 0x40 == 0 {
                return Err(HeaderError::FixedBitUnset);
            }
            let id = rest.get(..id_length).ok_or(HeaderError::Truncated)?;
            return Ok(Header::Short {
                destination_id: ConnectionId::new(id).ok_or(HeaderError::ConnectionIdTooLong)?,
            });
        }
        let version = rest.try_get_u32().map_err(|_| HeaderError::Truncated)?;
        let (to, from) = (read_connection_id(&mut rest)?, read_connection_id(&mut rest)?);
        match version {
            0 => Ok(Header::VersionNegotiation { destination_id: to, source_id: from }),
            VERSION_1 if first & 0x40 == 0 => Err(HeaderError::FixedBitUnset),
            VERSION_1 => {
                let kind = match (first >> 4) & 3 {
                    0 => LongPacketType::Initial,
                    1 => LongPacketType::ZeroRtt,
                    2 => LongPacketType::Handshake,
                    _ => LongPacketType::Retry,
                };
                Ok(Header::Long { packet_type: kind, destination_id: to, source_id: from })
            }
            _ => Ok(Header::OtherVersion { destination_id: to, source_id: from }),
        }
    }
}

/// Takes an id with its length before it.
pub(super) fn read_connection_id(rest: &mut &[u8]) -> Result<ConnectionId, HeaderError> {
    let length = usize::from(rest.try_get_u8().map_err(|_| HeaderError::Truncated)?);
    if length > MAX_CONNECTION_ID_LENGTH {
        return Err(HeaderError::ConnectionIdTooLong);
    }
    let id = rest.get(..length).ok_or(HeaderError::Truncated)?;
    rest.advance(length);
    ConnectionId::new(id).ok_or(HeaderError::ConnectionIdTooLong)
}

/// Writes the part that all long headers share.
pub fn write_long_header(out: &mut Vec<u8>, first: u8, version: u32, to: &[u8], from: &[u8]) {
    out.put_u8(first);
    out.put_u32(version);
    for id in [to, from] {
        out.put_u8(id.len() as u8);
        out.put_slice(id);
    }
}

/// The answer to a client of a version that is not spoken here.
pub fn encode_version_negotiation(to: &[u8], from: &[u8], noise: u8) -> Vec<u8> {
    let mut out = Vec::with_capacity(7 + to.len() + from.len() + 4);
    write_long_header(&mut out, 0x80 | noise, 0, to, from);
    out.put_u32(VERSION_1);
    out
}

/// Reads a variable-length integer.
pub fn read_varint(rest: &mut &[u8]) -> Option<u64> {
    let first = *rest.first()?;
    let length = 1 << (first >> 6);
    let bytes = rest.get(..length)?;
    let value = bytes[1..].iter().fold(u64::from(first & 0x3f), |v, &b| (v << 8) | u64::from(b));
    rest.advance(length);
    Some(value)
}

/// Writes a variable-length integer below 2^14, in two bytes.
pub fn write_two_byte_varint(out: &mut Vec<u8>, value: u16) {
    out.put_u16(0x4000 | (value & 0x3fff));
}
