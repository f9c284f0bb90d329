//! Connection ids that tell their server, after QUIC-LB, unencrypted.
//!
//! The first byte holds the configuration's number in its upper three bits and the length of the
//! rest in its lower five; the server's id follows, then whatever the server likes. A server's id is
//! the head of the SHA-256 of its name, so that gateways and servers need no table in common.

use sha2::{Digest, Sha256};

use super::header::{ConnectionId, MAX_CONNECTION_ID_LENGTH};

/// Bytes of a server's id.
pub const SERVER_ID_LENGTH: usize = 4;
/// Least bytes that a server adds of its own.
pub const MIN_NONCE_LENGTH: usize = 4;
/// Shortest id that can tell its server.
pub const MIN_ROUTABLE_ID_LENGTH: usize = 1 + SERVER_ID_LENGTH + MIN_NONCE_LENGTH;

/// A server's id.
pub type QuicServerId = [u8; SERVER_ID_LENGTH];

/// The id that a server of this name puts into the connection ids it issues.
pub fn server_id_for_name(name: &str) -> QuicServerId {
    let hash = Sha256::digest(name.as_bytes());
    [hash[0], hash[1], hash[2], hash[3]]
}

/// An id of `length` bytes for a connection at this server; `nonce` must not come again.
pub fn encode_routable_id(
    config_rotation: u8,
    server: QuicServerId,
    length: usize,
    nonce: u64,
) -> ConnectionId {
    let length = length.clamp(MIN_ROUTABLE_ID_LENGTH, MAX_CONNECTION_ID_LENGTH);
    let mut id = vec![0; length];
    id[0] = (config_rotation << 5) | (length - 1) as u8;
    id[1..=SERVER_ID_LENGTH].copy_from_slice(&server);
    let nonce = nonce.to_le_bytes();
    let own = &mut id[1 + SERVER_ID_LENGTH..];
    let take = own.len().min(nonce.len());
    own[..take].copy_from_slice(&nonce[..take]);
    ConnectionId::new(&id).expect("the length was clamped")
}

/// The server that an id tells, if it is of this configuration.
pub fn decode_server_id(id: &[u8], config_rotation: u8) -> Option<QuicServerId> {
    let fits = id.len() >= MIN_ROUTABLE_ID_LENGTH
        && id[0] >> 5 == config_rotation
        && usize::from(id[0] & 0x1f) == id.len() - 1;
    fits.then(|| [id[1], id[2], id[3], id[4]])
}
