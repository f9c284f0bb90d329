//! Encryption and decryption of Initial packets (RFC 9001).
//!
//! Their keys are derived from the Destination Connection ID of the client's first Initial packet. A gateway
//! can therefore read a server's rejection and send its own.

use aes_gcm::aead::{AeadInPlace, KeyInit};
use aes_gcm::aes::Aes128;
use aes_gcm::aes::cipher::{BlockEncrypt, generic_array::GenericArray};
use aes_gcm::{Aes128Gcm, Nonce, Tag};
use bytes::{Buf, BufMut};
use hkdf::Hkdf;
use sha2::Sha256;

use super::header::{
    ConnectionId, VERSION_1, read_connection_id, read_varint, write_long_header, write_two_byte_varint,
};

/// Salt for the Initial secret of version 1 (RFC 9001, section 5.2).
const INITIAL_SALT: [u8; 20] = [
    0x38, 0x76, 0x2c, 0xf7, 0xf5, 0x59, 0x34, 0xb3, 0x4d, 0x17, 0x9a, 0xe6, 0xa4, 0xc8, 0x0c, 0xad, 0xcc,
    0xbb, 0x7f, 0x0a,
];
/// Length of the AEAD authentication tag, in bytes.
const TAG_LENGTH: usize = 16;
/// Length of the packet number in the packets that the gateway sends, in bytes.
const PACKET_NUMBER_LENGTH: usize = 4;
/// Offset of the header protection sample from the start of the packet number, in bytes.
const SAMPLE_OFFSET: usize = 4;
/// Length of the header protection sample, in bytes.
const SAMPLE_LENGTH: usize = 16;
/// First byte of an Initial packet with a packet number of four bytes, before header protection.
const INITIAL_FIRST_BYTE: u8 = 0xc3;
/// Mask of the first byte's bits that identify an Initial packet: Header Form, Fixed Bit and Long Packet
/// Type.
const INITIAL_TYPE_MASK: u8 = 0xf0;
/// Value of the bits under [`INITIAL_TYPE_MASK`] in an Initial packet.
const INITIAL_TYPE: u8 = 0xc0;
/// Mask of the bits in a long header's first byte that header protection covers.
const PROTECTED_BITS: u8 = 0x0f;
/// Largest number of frames, apart from PADDING, that are searched for a CONNECTION_CLOSE.
const MAX_FRAMES: usize = 64;
/// Largest number of range fields and ECN counts that are skipped in an ACK frame.
const MAX_ACK_FIELDS: u64 = 1 << 12;
/// Largest length of the reason in a CONNECTION_CLOSE that the gateway sends, in bytes.
const MAX_REASON_LENGTH: usize = 64;

/// Transport error code CONNECTION_REFUSED, with which a server rejects a connection.
pub const CONNECTION_REFUSED: u64 = 0x02;
/// Transport error code INTERNAL_ERROR, which denotes a failure without a more specific code.
pub const INTERNAL_ERROR: u64 = 0x01;

/// Frame types (RFC 9000, section 19).
mod frame_type {
    pub(super) const PADDING: u8 = 0x00;
    pub(super) const PING: u8 = 0x01;
    pub(super) const ACK: u8 = 0x02;
    pub(super) const ACK_ECN: u8 = 0x03;
    pub(super) const CRYPTO: u8 = 0x06;
    pub(super) const CONNECTION_CLOSE: u8 = 0x1c;
}

/// Endpoint that sends and encrypts a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Client. Its secret is derived with the label `client in`.
    Client,
    /// Server. Its secret is derived with the label `server in`.
    Server,
}

/// Keys for the Initial packets of one side. The type is public only for tests, which compare the keys with
/// the example in RFC 9001, appendix A.
#[doc(hidden)]
pub struct InitialKeys {
    aead: Aes128Gcm,
    /// Initialization vector, which is combined with the packet number into the nonce.
    pub iv: [u8; 12],
    header_protection: Aes128,
}

/// Derives a key with HKDF-Expand-Label of TLS 1.3 (RFC 8446, section 7.1).
fn expand_label<const LENGTH: usize>(secret: &Hkdf<Sha256>, label: &str) -> [u8; LENGTH] {
    const PREFIX: &[u8] = b"tls13 ";
    let mut info = Vec::with_capacity(10 + label.len());
    info.put_u16(LENGTH as u16);
    info.put_u8((PREFIX.len() + label.len()) as u8);
    info.put_slice(PREFIX);
    info.put_slice(label.as_bytes());
    info.put_u8(0);
    let mut output = [0; LENGTH];
    secret.expand(&info, &mut output).expect("key lengths are within the limits of HKDF");
    output
}

impl InitialKeys {
    /// Derives the keys from the Destination Connection ID of the client's first Initial packet.
    pub fn derive(client_destination_id: &[u8], side: Side) -> Self {
        let initial_secret = Hkdf::<Sha256>::new(Some(&INITIAL_SALT), client_destination_id);
        let label = match side {
            Side::Client => "client in",
            Side::Server => "server in",
        };
        let side_secret: [u8; 32] = expand_label(&initial_secret, label);
        let side_secret =
            Hkdf::<Sha256>::from_prk(&side_secret).expect("the secret has the length of a SHA-256 hash");
        let aead_key: [u8; 16] = expand_label(&side_secret, "quic key");
        let header_protection_key: [u8; 16] = expand_label(&side_secret, "quic hp");
        Self {
            aead: Aes128Gcm::new(&aead_key.into()),
            iv: expand_label(&side_secret, "quic iv"),
            header_protection: Aes128::new(&header_protection_key.into()),
        }
    }

    fn nonce(&self, packet_number: u32) -> Nonce<aes_gcm::aead::consts::U12> {
        let mut nonce = self.iv;
        for (byte, number_byte) in nonce[8..].iter_mut().zip(packet_number.to_be_bytes()) {
            *byte ^= number_byte;
        }
        nonce.into()
    }

    /// Computes the header protection mask of the first byte and the packet number from a sample of the
    /// encrypted payload.
    pub fn header_protection_mask(&self, sample: &[u8]) -> [u8; 5] {
        let mut block = GenericArray::clone_from_slice(sample);
        self.header_protection.encrypt_block(&mut block);
        [block[0], block[1], block[2], block[3], block[4]]
    }
}

/// Decrypted Initial packet.
#[derive(Debug, PartialEq, Eq)]
pub struct InitialPacket {
    /// Destination Connection ID.
    pub destination_id: ConnectionId,
    /// Source Connection ID.
    pub source_id: ConnectionId,
    /// Encoded frames, including padding.
    pub frames: Vec<u8>,
}

/// Header fields of an Initial packet that are not protected, with the offsets of the packet number and the
/// packet end.
struct InitialHeader {
    destination_id: ConnectionId,
    source_id: ConnectionId,
    packet_number_offset: usize,
    packet_end: usize,
}

impl InitialHeader {
    fn parse(datagram: &[u8]) -> Option<Self> {
        let mut remaining = datagram;
        let first_byte = remaining.try_get_u8().ok()?;
        if first_byte & INITIAL_TYPE_MASK != INITIAL_TYPE || remaining.try_get_u32().ok()? != VERSION_1 {
            return None;
        }
        let destination_id = read_connection_id(&mut remaining).ok()?;
        let source_id = read_connection_id(&mut remaining).ok()?;
        let token_length = usize::try_from(read_varint(&mut remaining)?).ok()?;
        remaining = remaining.get(token_length..)?;
        let length = usize::try_from(read_varint(&mut remaining)?).ok()?;
        let packet_number_offset = datagram.len() - remaining.len();
        let packet_end = packet_number_offset.checked_add(length)?;
        Some(Self { destination_id, source_id, packet_number_offset, packet_end })
    }
}

/// Decrypts the Initial packet at the start of a datagram; returns `None` if there is none or it is not
/// authentic.
pub fn open(datagram: &[u8], client_destination_id: &[u8], side: Side) -> Option<InitialPacket> {
    let header = InitialHeader::parse(datagram)?;
    let mut packet = datagram.get(..header.packet_end)?.to_vec();
    let keys = InitialKeys::derive(client_destination_id, side);
    let sample_start = header.packet_number_offset + SAMPLE_OFFSET;
    let mask = keys.header_protection_mask(packet.get(sample_start..sample_start + SAMPLE_LENGTH)?);
    packet[0] ^= mask[0] & PROTECTED_BITS;
    let packet_number_length = usize::from(packet[0] & 3) + 1;
    let payload_start = header.packet_number_offset + packet_number_length;
    let packet_number = unmask_packet_number(&mut packet[header.packet_number_offset..payload_start], &mask);
    let tag_start = packet.len().checked_sub(TAG_LENGTH).filter(|&start| start >= payload_start)?;
    let tag = Tag::clone_from_slice(&packet[tag_start..]);
    packet.truncate(tag_start);
    let (associated_data, payload) = packet.split_at_mut(payload_start);
    let nonce = keys.nonce(packet_number);
    keys.aead.decrypt_in_place_detached(&nonce, associated_data, payload, &tag).ok()?;
    Some(InitialPacket {
        destination_id: header.destination_id,
        source_id: header.source_id,
        frames: payload.to_vec(),
    })
}

/// Removes the header protection of a packet number in place and returns the number.
fn unmask_packet_number(bytes: &mut [u8], mask: &[u8; 5]) -> u32 {
    let mut packet_number = 0;
    for (byte, mask_byte) in bytes.iter_mut().zip(&mask[1..]) {
        *byte ^= mask_byte;
        packet_number = (packet_number << 8) | u32::from(*byte);
    }
    packet_number
}

/// Encrypts frames into an Initial packet that is padded to at least `min_length` bytes.
pub fn seal(
    client_destination_id: &[u8],
    side: Side,
    destination_id: &[u8],
    source_id: &[u8],
    packet_number: u32,
    frames: &[u8],
    min_length: usize,
) -> Vec<u8> {
    let mut packet = Vec::with_capacity(min_length + 64);
    write_long_header(&mut packet, INITIAL_FIRST_BYTE, VERSION_1, destination_id, source_id);
    let token_length = 0;
    packet.put_u8(token_length);
    let length_field = 2;
    let overhead = packet.len() + length_field + PACKET_NUMBER_LENGTH + TAG_LENGTH;
    let mut payload = pad_frames(frames, min_length.saturating_sub(overhead));
    write_two_byte_varint(&mut packet, (PACKET_NUMBER_LENGTH + payload.len() + TAG_LENGTH) as u16);
    let packet_number_offset = packet.len();
    packet.put_u32(packet_number);
    let keys = InitialKeys::derive(client_destination_id, side);
    let tag = keys
        .aead
        .encrypt_in_place_detached(&keys.nonce(packet_number), &packet, &mut payload)
        .expect("the packet length is within the limit of AES-GCM");
    packet.put_slice(&payload);
    packet.put_slice(&tag);
    protect_header(&mut packet, packet_number_offset, &keys);
    packet
}

/// Pads frames to at least `min_length` bytes and at least four bytes. The header protection sample ends 16
/// bytes after the packet number; four bytes of frames and the tag cover it.
fn pad_frames(frames: &[u8], min_length: usize) -> Vec<u8> {
    let mut padded = frames.to_vec();
    let length = frames.len().max(min_length).max(SAMPLE_OFFSET + SAMPLE_LENGTH - TAG_LENGTH);
    padded.resize(length, frame_type::PADDING);
    padded
}

fn protect_header(packet: &mut [u8], packet_number_offset: usize, keys: &InitialKeys) {
    let sample_start = packet_number_offset + SAMPLE_OFFSET;
    let mask = keys.header_protection_mask(&packet[sample_start..sample_start + SAMPLE_LENGTH]);
    packet[0] ^= mask[0] & PROTECTED_BITS;
    let packet_number = &mut packet[packet_number_offset..packet_number_offset + PACKET_NUMBER_LENGTH];
    for (byte, mask_byte) in packet_number.iter_mut().zip(&mask[1..]) {
        *byte ^= mask_byte;
    }
}

/// Encodes a CONNECTION_CLOSE frame with a transport error code. The reason is truncated to 64 bytes.
pub fn encode_connection_close(code: u64, reason: &str) -> Vec<u8> {
    let reason = &reason.as_bytes()[..reason.len().min(MAX_REASON_LENGTH)];
    let causing_frame_type = 0;
    let mut frame = Vec::with_capacity(6 + reason.len());
    frame.put_u8(frame_type::CONNECTION_CLOSE);
    write_two_byte_varint(&mut frame, code as u16);
    frame.put_u8(causing_frame_type);
    write_two_byte_varint(&mut frame, reason.len() as u16);
    frame.put_slice(reason);
    frame
}

/// Searches the frames of an Initial packet for a CONNECTION_CLOSE and returns its error code and reason.
pub fn find_connection_close(frames: &[u8]) -> Option<(u64, String)> {
    let mut remaining = frames;
    for _ in 0..MAX_FRAMES {
        while remaining.first() == Some(&frame_type::PADDING) {
            remaining.advance(1);
        }
        match remaining.try_get_u8().ok()? {
            frame_type::PING => {}
            frame_type::ACK => skip_ack(&mut remaining, 0)?,
            frame_type::ACK_ECN => skip_ack(&mut remaining, 3)?,
            frame_type::CRYPTO => skip_crypto(&mut remaining)?,
            frame_type::CONNECTION_CLOSE => return read_connection_close(remaining),
            _ => return None,
        }
    }
    None
}

/// Skips the fields of an ACK frame that has `ecn_counts` ECN counts.
fn skip_ack(remaining: &mut &[u8], ecn_counts: u64) -> Option<()> {
    let _largest_acknowledged = read_varint(remaining)?;
    let _delay = read_varint(remaining)?;
    let range_count = read_varint(remaining)?;
    let _first_range = read_varint(remaining)?;
    let further_fields = range_count.checked_mul(2)?.checked_add(ecn_counts)?;
    for _ in 0..further_fields.min(MAX_ACK_FIELDS) {
        read_varint(remaining)?;
    }
    Some(())
}

/// Skips the fields of a CRYPTO frame.
fn skip_crypto(remaining: &mut &[u8]) -> Option<()> {
    let _offset = read_varint(remaining)?;
    let length = usize::try_from(read_varint(remaining)?).ok()?;
    *remaining = remaining.get(length..)?;
    Some(())
}

/// Reads the error code and the reason of a CONNECTION_CLOSE frame.
fn read_connection_close(mut remaining: &[u8]) -> Option<(u64, String)> {
    let code = read_varint(&mut remaining)?;
    let _causing_frame_type = read_varint(&mut remaining)?;
    let length = usize::try_from(read_varint(&mut remaining)?).ok()?;
    let reason = String::from_utf8_lossy(remaining.get(..length)?).into_owned();
    Some((code, reason))
}
