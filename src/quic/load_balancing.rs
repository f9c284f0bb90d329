//! Routable connection ids, which contain the id of their server, as in draft-ietf-quic-load-balancers
//! (QUIC-LB) without encryption.
//!
//! The upper three bits of the first byte are the config rotation, the number of the configuration. The lower
//! five bits are the length of the remaining bytes. The server id and a nonce of the server's choice follow.
//! The server id is the first bytes of the SHA-256 hash of the server's name, so that gateways and servers
//! need no shared table.

use sha2::{Digest, Sha256};

use super::header::{ConnectionId, MAX_CONNECTION_ID_LENGTH};

/// Length of a server id, in bytes.
pub const SERVER_ID_LENGTH: usize = 4;
/// Smallest length of the nonce, in bytes.
pub const MIN_NONCE_LENGTH: usize = 4;
/// Smallest length of a routable connection id, in bytes.
pub const MIN_ROUTABLE_ID_LENGTH: usize = 1 + SERVER_ID_LENGTH + MIN_NONCE_LENGTH;
/// Number of bits of the first byte that contain the length of the remaining bytes.
const LENGTH_BITS: u32 = 5;
/// Mask of the length in the first byte.
const LENGTH_MASK: u8 = (1 << LENGTH_BITS) - 1;

/// Server id in a routable connection id.
pub type QuicServerId = [u8; SERVER_ID_LENGTH];

/// Returns the server id for a server's name.
pub fn server_id_for_name(name: &str) -> QuicServerId {
    let hash = Sha256::digest(name.as_bytes());
    std::array::from_fn(|index| hash[index])
}

/// Encodes a routable connection id of `length` bytes, clamped to the valid lengths. A server must not use a
/// nonce twice.
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
    ConnectionId::new(&id).expect("the length is at most MAX_CONNECTION_ID_LENGTH")
}

/// Decodes the server id in a connection id; returns `None` if the id is not routable or is of another
/// configuration.
pub fn decode_server_id(id: &[u8], config_rotation: u8) -> Option<QuicServerId> {
    if id.len() < MIN_ROUTABLE_ID_LENGTH {
        return None;
    }
    let has_config_rotation = id[0] >> LENGTH_BITS == config_rotation;
    let has_encoded_length = usize::from(id[0] & LENGTH_MASK) == id.len() - 1;
    (has_config_rotation && has_encoded_length).then(|| [id[1], id[2], id[3], id[4]])
}
