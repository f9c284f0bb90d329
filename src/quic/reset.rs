//! Stateless resets (RFC 9000, section 10.3).
//!
//! The gateways and servers of a deployment share one key. The token of a connection id is the first 16 bytes
//! of its HMAC-SHA-256 under this key, so that a gateway can close a connection on behalf of any server.

use hmac::{Hmac, Mac};
use rand::Rng;
use sha2::Sha256;

/// Length of a stateless reset token, in bytes.
pub const RESET_TOKEN_LENGTH: usize = 16;
/// Smallest length of a datagram that can be a stateless reset, in bytes.
pub const MIN_RESET_LENGTH: usize = 5 + RESET_TOKEN_LENGTH;
/// Length of a stateless reset unless the datagram that caused it requires a shorter one, in bytes. It is the
/// length of a small packet.
const TYPICAL_RESET_LENGTH: usize = 42;
/// First two bits of a short header: Header Form unset and Fixed Bit set.
const SHORT_HEADER: u8 = 0x40;
/// Mask of the remaining bits of the first byte, which are random in a stateless reset.
const SHORT_HEADER_UNPREDICTABLE_BITS: u8 = 0x3f;

/// Key for stateless reset tokens that the gateways and servers of a deployment share.
#[derive(Clone)]
pub struct ResetKey(Vec<u8>);

impl ResetKey {
    /// Creates a key from its bytes.
    pub fn new(key: Vec<u8>) -> Self {
        Self(key)
    }

    /// Computes the stateless reset token of a connection id.
    pub fn token(&self, id: &[u8]) -> [u8; RESET_TOKEN_LENGTH] {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        mac.update(id);
        let authentication_code = mac.finalize().into_bytes();
        std::array::from_fn(|index| authentication_code[index])
    }

    /// Encodes a stateless reset for the connection id `id` in response to a datagram of `trigger_length`
    /// bytes.
    ///
    /// The reset is shorter than that datagram, so that an exchange of resets between two endpoints ends.
    /// Returns `None` if a reset cannot be shorter.
    pub fn encode_reset(&self, id: &[u8], trigger_length: usize, rng: &mut impl Rng) -> Option<Vec<u8>> {
        let length = TYPICAL_RESET_LENGTH.min(trigger_length.checked_sub(1)?);
        if length < MIN_RESET_LENGTH {
            return None;
        }
        let mut datagram = vec![0; length];
        rng.fill(&mut datagram[..]);
        datagram[0] = SHORT_HEADER | (datagram[0] & SHORT_HEADER_UNPREDICTABLE_BITS);
        datagram[length - RESET_TOKEN_LENGTH..].copy_from_slice(&self.token(id));
        Some(datagram)
    }
}

/// Checks whether a datagram ends in `token`, and is thus a stateless reset of the token's connection.
pub fn is_reset(datagram: &[u8], token: &[u8; RESET_TOKEN_LENGTH]) -> bool {
    datagram.len() >= MIN_RESET_LENGTH && datagram.ends_with(token)
}
