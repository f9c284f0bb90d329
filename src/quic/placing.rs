//! Connection ids that tell their server, after QUIC-LB, unencrypted.
//!
//! The first byte holds the configuration's number in its upper three bits and the length of the
//! rest in its lower five; the server's id follows, then whatever the server likes. A server's id is
//! the head of the SHA-256 of its name, so that gateways and servers need no table in common.

use sha2::{Digest, Sha256};

use super::header::{ConnectionId, MAX_ID};

/// Bytes of a server's id.
pub const SERVER_ID: usize = 4;
/// Least bytes that a server adds of its own.
pub const MIN_NONCE: usize = 4;
/// Shortest id that can tell its server.
pub const MIN_ID: usize = 1 + SERVER_ID + MIN_NONCE;

/// A server's id.
pub type ServerKey = [u8; SERVER_ID];

/// The id that a server of this name puts into the connection ids it issues.
pub fn server_key(name: &str) -> ServerKey {
    let hash = Sha256::digest(name.as_bytes());
    [hash[0], hash[1], hash[2], hash[3]]
}

/// An id of `length` bytes for a connection at this server; `nonce` must not come again.
pub fn issue(rotation: u8, server: ServerKey, length: usize, nonce: u64) -> ConnectionId {
    let length = length.clamp(MIN_ID, MAX_ID);
    let mut id = vec![0; length];
    id[0] = (rotation << 5) | (length - 1) as u8;
    id[1..=SERVER_ID].copy_from_slice(&server);
    let nonce = nonce.to_le_bytes();
    let own = &mut id[1 + SERVER_ID..];
    let take = own.len().min(nonce.len());
    own[..take].copy_from_slice(&nonce[..take]);
    ConnectionId::new(&id).expect("the length was clamped")
}

/// The server that an id tells, if it is of this configuration.
pub fn server_of(id: &[u8], rotation: u8) -> Option<ServerKey> {
    let fits = id.len() >= MIN_ID && id[0] >> 5 == rotation && usize::from(id[0] & 0x1f) == id.len() - 1;
    fits.then(|| [id[1], id[2], id[3], id[4]])
}
