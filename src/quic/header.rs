//! QUIC packet headers: the version-independent fields of RFC 8999 and those of version 1 in RFC 9000.

use bytes::{Buf, BufMut};

/// Largest length of a connection id in version 1, in bytes.
pub const MAX_CONNECTION_ID_LENGTH: usize = 20;
/// QUIC version 1. The gateway accepts connections of this version only.
pub const VERSION_1: u32 = 1;
/// Value of the Version field that identifies a Version Negotiation packet.
const VERSION_NEGOTIATION: u32 = 0;
/// Smallest length of a datagram that carries a client's Initial packet, in bytes.
pub const MIN_INITIAL_DATAGRAM: usize = 1200;
/// Header Form bit, which is set in long headers.
const LONG_HEADER_BIT: u8 = 0x80;
/// Fixed Bit, which is set in all packets of version 1 except Version Negotiation.
const FIXED_BIT: u8 = 0x40;

/// QUIC connection id of up to [`MAX_CONNECTION_ID_LENGTH`] bytes.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId {
    length: u8,
    bytes: [u8; MAX_CONNECTION_ID_LENGTH],
}

impl ConnectionId {
    /// Creates an id from its bytes; returns `None` for more than [`MAX_CONNECTION_ID_LENGTH`] bytes.
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
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Long Packet Type of a long header in version 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongPacketType {
    /// Initial packet, which starts a connection.
    Initial,
    /// 0-RTT packet, which carries early data.
    ZeroRtt,
    /// Handshake packet, which carries the rest of the handshake.
    Handshake,
    /// Retry packet, with which a server requests address validation from the client.
    Retry,
}

/// Header of the first packet in a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Header {
    /// Version Negotiation packet, which lists the versions that a server supports.
    VersionNegotiation {
        /// Destination Connection ID.
        destination_id: ConnectionId,
        /// Source Connection ID.
        source_id: ConnectionId,
    },
    /// Long header of a version other than 1.
    OtherVersion {
        /// Destination Connection ID.
        destination_id: ConnectionId,
        /// Source Connection ID.
        source_id: ConnectionId,
    },
    /// Long header of version 1.
    Long {
        /// Long Packet Type.
        packet_type: LongPacketType,
        /// Destination Connection ID.
        destination_id: ConnectionId,
        /// Source Connection ID.
        source_id: ConnectionId,
    },
    /// Short header. It does not carry the length of its connection id, which only the issuer of the id has.
    Short {
        /// Destination Connection ID.
        destination_id: ConnectionId,
    },
}

/// Error in the header of a datagram's first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The datagram ends within the header.
    #[error("datagram ends within the packet header")]
    Truncated,
    /// A connection id is longer than 20 bytes.
    #[error("connection id exceeds {MAX_CONNECTION_ID_LENGTH} bytes")]
    ConnectionIdTooLong,
    /// The Fixed Bit is not set in a short header or in a long header of version 1.
    #[error("Fixed Bit is 0, expected 1")]
    FixedBitUnset,
}

impl Header {
    /// Parses the header of a datagram's first packet. Connection ids in short headers have `short_id_length`
    /// bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the header follows neither version 1 nor the version-independent format of RFC
    /// 8999.
    pub fn parse(datagram: &[u8], short_id_length: usize) -> Result<Self, HeaderError> {
        let mut remaining = datagram;
        let first_byte = remaining.try_get_u8().map_err(|_| HeaderError::Truncated)?;
        if first_byte & LONG_HEADER_BIT == 0 {
            Self::parse_short(first_byte, remaining, short_id_length)
        } else {
            Self::parse_long(first_byte, remaining)
        }
    }

    fn parse_short(first_byte: u8, remaining: &[u8], id_length: usize) -> Result<Self, HeaderError> {
        if first_byte & FIXED_BIT == 0 {
            return Err(HeaderError::FixedBitUnset);
        }
        let id = remaining.get(..id_length).ok_or(HeaderError::Truncated)?;
        let destination_id = ConnectionId::new(id).ok_or(HeaderError::ConnectionIdTooLong)?;
        Ok(Header::Short { destination_id })
    }

    fn parse_long(first_byte: u8, mut remaining: &[u8]) -> Result<Self, HeaderError> {
        let version = remaining.try_get_u32().map_err(|_| HeaderError::Truncated)?;
        let destination_id = read_connection_id(&mut remaining)?;
        let source_id = read_connection_id(&mut remaining)?;
        match version {
            VERSION_NEGOTIATION => Ok(Header::VersionNegotiation { destination_id, source_id }),
            VERSION_1 if first_byte & FIXED_BIT == 0 => Err(HeaderError::FixedBitUnset),
            VERSION_1 => {
                Ok(Header::Long { packet_type: long_packet_type(first_byte), destination_id, source_id })
            }
            _ => Ok(Header::OtherVersion { destination_id, source_id }),
        }
    }
}

fn long_packet_type(first_byte: u8) -> LongPacketType {
    match (first_byte >> 4) & 3 {
        0 => LongPacketType::Initial,
        1 => LongPacketType::ZeroRtt,
        2 => LongPacketType::Handshake,
        _ => LongPacketType::Retry,
    }
}

/// Reads a connection id that is preceded by its length in one byte.
pub(super) fn read_connection_id(remaining: &mut &[u8]) -> Result<ConnectionId, HeaderError> {
    let length = usize::from(remaining.try_get_u8().map_err(|_| HeaderError::Truncated)?);
    if length > MAX_CONNECTION_ID_LENGTH {
        return Err(HeaderError::ConnectionIdTooLong);
    }
    let id = remaining.get(..length).ok_or(HeaderError::Truncated)?;
    remaining.advance(length);
    ConnectionId::new(id).ok_or(HeaderError::ConnectionIdTooLong)
}

/// Writes the version-independent fields of a long header (RFC 8999, section 5.1).
pub fn write_long_header(
    packet: &mut Vec<u8>,
    first_byte: u8,
    version: u32,
    destination_id: &[u8],
    source_id: &[u8],
) {
    packet.put_u8(first_byte);
    packet.put_u32(version);
    for id in [destination_id, source_id] {
        packet.put_u8(id.len() as u8);
        packet.put_slice(id);
    }
}

/// Encodes a Version Negotiation packet that offers version 1 to a client of another version. `unused_bits`
/// are the lower seven bits of the first byte, which may have any value.
pub fn encode_version_negotiation(destination_id: &[u8], source_id: &[u8], unused_bits: u8) -> Vec<u8> {
    let mut packet = Vec::with_capacity(7 + destination_id.len() + source_id.len() + 4);
    let first_byte = LONG_HEADER_BIT | unused_bits;
    write_long_header(&mut packet, first_byte, VERSION_NEGOTIATION, destination_id, source_id);
    packet.put_u32(VERSION_1);
    packet
}

/// Reads a variable-length integer (RFC 9000, section 16).
pub fn read_varint(remaining: &mut &[u8]) -> Option<u64> {
    let first_byte = *remaining.first()?;
    let length = 1 << (first_byte >> 6);
    let bytes = remaining.get(..length)?;
    let high_bits = u64::from(first_byte & 0x3f);
    let value = bytes[1..].iter().fold(high_bits, |value, &byte| (value << 8) | u64::from(byte));
    remaining.advance(length);
    Some(value)
}

/// Writes a variable-length integer below 2^14 in two bytes.
pub fn write_two_byte_varint(packet: &mut Vec<u8>, value: u16) {
    packet.put_u16(0x4000 | (value & 0x3fff));
}
