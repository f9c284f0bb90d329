//! Connection ids that tell their server, as in draft-ietf-quic-load-balancers, unencrypted.
//!
//! The first byte holds the number of the configuration in its upper three bits and the length of the rest in its lower
//! five. The server's id follows, then bytes of the server's choice. A server's id is the head of the SHA-256 of its name,
//! so that gateways and servers need no common table.

use sha2::{Digest, Sha256};

use super::header::{ConnectionId, MAX_CONNECTION_ID_LENGTH};

/// Length of a server's id, in bytes.
pub const SERVER_ID_LENGTH: usize = 4;
/// Least number of bytes of the server's choice.
pub const MIN_NONCE_LENGTH: usize = 4;
/// Shortest connection id that tells its server, in bytes.
pub const MIN_ROUTABLE_ID_LENGTH: usize = 1 + SERVER_ID_LENGTH + MIN_NONCE_LENGTH;
/// Bits of the first byte that hold the length of the rest.
const LENGTH_BITS: u32 = 5;
const LENGTH_MASK: u8 = (1 << LENGTH_BITS) - 1;

/// Id of a server.
pub type QuicServerId = [u8; SERVER_ID_LENGTH];

/// The id of the server of this name.
pub fn server_id_for_name(name: &str) -> QuicServerId {
    let hash = Sha256::digest(name.as_bytes());
    std::array::from_fn(|index| hash[index])
}

/// Encodes a connection id of `length` bytes; a server must not use a nonce twice.
pub fn encode_routable_id(
    config_rotation: u8,
    server: QuicServerId,
    length: usize,
    nonce: u64,
) -> ConnectionId {
    let length = length.clamp(MIN_ROUTABLE_ID_LENGTH, MAX_CONNECTION_ID_LENGTH);
    let mut id = vec![0; length];
    id[0] = (config_rotation << LENGTH_BITS) | (length - 1) as u8;
    id[1..=SERVER_ID_LENGTH].copy_from_slice(&server);
    let nonce = nonce.to_le_bytes();
    let nonce_field = &mut id[1 + SERVER_ID_LENGTH..];
    let nonce_length = nonce_field.len().min(nonce.len());
    nonce_field[..nonce_length].copy_from_slice(&nonce[..nonce_length]);
    ConnectionId::new(&id).expect("the length was clamped")
}

/// Decodes the server's id in a connection id; `None` where it is not of this configuration.
pub fn decode_server_id(id: &[u8], config_rotation: u8) -> Option<QuicServerId> {
    if id.len() < MIN_ROUTABLE_ID_LENGTH {
        return None;
    }
    let has_config_rotation = id[0] >> LENGTH_BITS == config_rotation;
    let has_its_length = usize::from(id[0] & LENGTH_MASK) == id.len() - 1;
    (has_config_rotation && has_its_length).then(|| [id[1], id[2], id[3], id[4]])
}
