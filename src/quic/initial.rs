//! Initial packets of RFC 9001: their keys follow from the client's first id, so a gateway can read
//! a server's refusal in one and speak its own.

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

/// The salt of version 1 (RFC 9001, section 5.2).
const INITIAL_SALT: [u8; 20] = [
    0x38, 0x76, 0x2c, 0xf7, 0xf5, 0x59, 0x34, 0xb3, 0x4d, 0x17, 0x9a, 0xe6, 0xa4, 0xc8, 0x0c, 0xad, 0xcc,
    0xbb, 0x7f, 0x0a,
];
const TAG_LENGTH: usize = 16;
/// Frames that may stand before the one looked for in a server's Initial.
const MAX_FRAMES: usize = 64;

/// The error code of a server that turns a connection away.
pub const CONNECTION_REFUSED: u64 = 0x02;
/// The error code of a failure that promises nothing.
pub const INTERNAL_ERROR: u64 = 0x01;

/// Which end protects a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The client.
    Client,
    /// The server.
    Server,
}

/// The keys of one side's Initial packets. Public for the tests alone: the standard's example is about them.
#[doc(hidden)]
pub struct InitialKeys {
    aead: Aes128Gcm,
    /// What a packet's number is mixed into.
    pub iv: [u8; 12],
    header_protection: Aes128,
}

fn expand_label<const N: usize>(secret: &Hkdf<Sha256>, label: &str) -> [u8; N] {
    let mut info = Vec::with_capacity(10 + label.len());
    info.put_u16(N as u16);
    info.put_u8((6 + label.len()) as u8);
    info.put_slice(b"tls13 ");
    info.put_slice(label.as_bytes());
    info.put_u8(0);
    let mut out = [0; N];
    secret.expand(&info, &mut out).expect("lengths of keys are within HKDF's bounds");
    out
}

impl InitialKeys {
    /// From the id that the client first chose for the server.
    pub fn derive(client_destination_id: &[u8], side: Side) -> Self {
        let initial = Hkdf::<Sha256>::new(Some(&INITIAL_SALT), client_destination_id);
        let label = match side {
            Side::Client => "client in",
            Side::Server => "server in",
        };
        let secret: [u8; 32] = expand_label(&initial, label);
        let secret = Hkdf::<Sha256>::from_prk(&secret).expect("a hash is long enough");
        let (key, iv, mask): ([u8; 16], _, [u8; 16]) = (
            expand_label(&secret, "quic key"),
            expand_label(&secret, "quic iv"),
            expand_label(&secret, "quic hp"),
        );
        Self { aead: Aes128Gcm::new(&key.into()), iv, header_protection: Aes128::new(&mask.into()) }
    }

    fn nonce(&self, packet_number: u32) -> Nonce<aes_gcm::aead::consts::U12> {
        let mut nonce = self.iv;
        for (byte, number) in nonce[8..].iter_mut().zip(packet_number.to_be_bytes()) {
            *byte ^= number;
        }
        nonce.into()
    }

    /// What hides a packet's first byte and number, from a sample of its seal.
    pub fn header_protection_mask(&self, sample: &[u8]) -> [u8; 5] {
        let mut block = GenericArray::clone_from_slice(sample);
        self.header_protection.encrypt_block(&mut block);
        [block[0], block[1], block[2], block[3], block[4]]
    }
}

/// An Initial packet, opened.
#[derive(Debug, PartialEq, Eq)]
pub struct InitialPacket {
    /// Whom it is for.
    pub destination_id: ConnectionId,
    /// Whom it is from.
    pub source_id: ConnectionId,
    /// Its frames.
    pub frames: Vec<u8>,
}

/// Opens the Initial at the head of a datagram; `None` if it is none or its seal is not good.
pub fn open(datagram: &[u8], client_destination_id: &[u8], side: Side) -> Option<InitialPacket> {
    let mut rest = datagram;
    let first = rest.try_get_u8().ok()?;
    if first & 0xf0 != 0xc0 || rest.try_get_u32().ok()? != VERSION_1 {
        return None;
    }
    let (to, from) = (read_connection_id(&mut rest).ok()?, read_connection_id(&mut rest).ok()?);
    let token = usize::try_from(read_varint(&mut rest)?).ok()?;
    rest = rest.get(token..)?;
    let length = usize::try_from(read_varint(&mut rest)?).ok()?;
    let at = datagram.len() - rest.len();
    let packet = datagram.get(..at.checked_add(length)?)?;
    let keys = InitialKeys::derive(client_destination_id, side);
    let mask = keys.header_protection_mask(packet.get(at + 4..at + 20)?);
    let mut packet = packet.to_vec();
    packet[0] ^= mask[0] & 0x0f;
    let digits = usize::from(packet[0] & 3) + 1;
    let mut number = 0;
    for (byte, mask) in packet[at..at + digits].iter_mut().zip(&mask[1..]) {
        *byte ^= mask;
        number = (number << 8) | u32::from(*byte);
    }
    let body = at + digits;
    let seal = packet.len().checked_sub(TAG_LENGTH).filter(|&seal| seal >= body)?;
    let tag = Tag::clone_from_slice(&packet[seal..]);
    packet.truncate(seal);
    let (head, frames) = packet.split_at_mut(body);
    keys.aead.decrypt_in_place_detached(&keys.nonce(number), head, frames, &tag).ok()?;
    Some(InitialPacket { destination_id: to, source_id: from, frames: frames.to_vec() })
}

/// Seals an Initial of these frames, padded so that the packet has at least `at_least` bytes.
pub fn seal(
    first_id: &[u8],
    side: Side,
    to: &[u8],
    from: &[u8],
    packet_number: u32,
    frames: &[u8],
    min_length: usize,
) -> Vec<u8> {
    let mut packet = Vec::with_capacity(min_length + 64);
    write_long_header(&mut packet, 0xc3, VERSION_1, to, from);
    packet.put_u8(0);
    let mut frames = frames.to_vec();
    // A header sample reaches 16 bytes past the number, which four bytes of frames and the seal fill.
    let room = packet.len() + 2 + 4 + TAG_LENGTH;
    frames.resize(frames.len().max(min_length.saturating_sub(room)).max(4), 0);
    write_two_byte_varint(&mut packet, (4 + frames.len() + TAG_LENGTH) as u16);
    let at = packet.len();
    packet.put_u32(packet_number);
    let keys = InitialKeys::derive(first_id, side);
    let tag = keys
        .aead
        .encrypt_in_place_detached(&keys.nonce(packet_number), &packet, &mut frames)
        .expect("a packet is within the cipher's bounds");
    packet.put_slice(&frames);
    packet.put_slice(&tag);
    let mask = keys.header_protection_mask(&packet[at + 4..at + 20]);
    packet[0] ^= mask[0] & 0x0f;
    for (byte, mask) in packet[at..at + 4].iter_mut().zip(&mask[1..]) {
        *byte ^= mask;
    }
    packet
}

/// A `CONNECTION_CLOSE` frame of the transport, with a short reason.
pub fn encode_connection_close(code: u64, reason: &str) -> Vec<u8> {
    let reason = &reason.as_bytes()[..reason.len().min(64)];
    let mut out = Vec::with_capacity(6 + reason.len());
    out.put_u8(0x1c);
    write_two_byte_varint(&mut out, code as u16);
    out.put_u8(0);
    write_two_byte_varint(&mut out, reason.len() as u16);
    out.put_slice(reason);
    out
}

/// The error code and the reason, if frames of an Initial close the connection.
pub fn find_connection_close(frames: &[u8]) -> Option<(u64, String)> {
    let mut rest = frames;
    for _ in 0..MAX_FRAMES {
        while rest.first() == Some(&0) {
            rest.advance(1);
        }
        match rest.try_get_u8().ok()? {
            0x01 => {}
            kind @ (0x02 | 0x03) => {
                for _ in 0..2 {
                    read_varint(&mut rest)?;
                }
                let ranges = read_varint(&mut rest)?;
                read_varint(&mut rest)?;
                let counts = if kind == 0x03 { 3 } else { 0 };
                for _ in 0..ranges.checked_mul(2)?.checked_add(counts)?.min(1 << 12) {
                    read_varint(&mut rest)?;
                }
            }
            0x06 => {
                read_varint(&mut rest)?;
                let length = usize::try_from(read_varint(&mut rest)?).ok()?;
                rest = rest.get(length..)?;
            }
            0x1c => {
                let code = read_varint(&mut rest)?;
                read_varint(&mut rest)?;
                let length = usize::try_from(read_varint(&mut rest)?).ok()?;
                return Some((code, String::from_utf8_lossy(rest.get(..length)?).into_owned()));
            }
            _ => return None,
        }
    }
    None
}
