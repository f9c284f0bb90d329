//! Stateless resets of RFC 9000, section 10.3.
//!
//! Gateways and servers of a site share one key, and a token is the head of the HMAC-SHA-256 of the
//! id under it; so a gateway can end a connection of any server in its name.

use hmac::{Hmac, Mac};
use rand::Rng;
use sha2::Sha256;

/// Bytes of a token.
pub const RESET_TOKEN_LENGTH: usize = 16;
/// Shortest datagram that can be a reset.
pub const MIN_RESET_LENGTH: usize = 5 + RESET_TOKEN_LENGTH;
/// Usual size of a reset: like that of a small packet.
const TYPICAL_RESET_LENGTH: usize = 42;

/// The site's shared key.
#[derive(Clone)]
pub struct ResetKey(Vec<u8>);

impl ResetKey {
    /// A key of these bytes.
    pub fn new(key: Vec<u8>) -> Self {
        Self(key)
    }

    /// The token of an id.
    pub fn token(&self, id: &[u8]) -> [u8; RESET_TOKEN_LENGTH] {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(id);
        let full = mac.finalize().into_bytes();
        std::array::from_fn(|at| full[at])
    }

    /// A reset for the connection of `id`, in answer to a datagram of `length` bytes. Always shorter
    /// than that, so that two ends that reset each other come to an end; `None` where none can be.
    pub fn encode_reset(&self, id: &[u8], length: usize, rng: &mut impl Rng) -> Option<Vec<u8>> {
        let size = TYPICAL_RESET_LENGTH.min(length.checked_sub(1)?);
        if size < MIN_RESET_LENGTH {
            return None;
        }
        let mut out = vec![0; size];
        rng.fill(&mut out[..]);
        out[0] = 0x40 | (out[0] & 0x3f);
        out[size - RESET_TOKEN_LENGTH..].copy_from_slice(&self.token(id));
        Some(out)
    }
}

/// Whether a datagram ends in this token, and so resets the connection that it was given with.
pub fn is_reset(datagram: &[u8], token: &[u8; RESET_TOKEN_LENGTH]) -> bool {
    datagram.len() >= MIN_RESET_LENGTH && datagram.ends_with(token)
}
