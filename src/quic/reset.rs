//! Stateless resets (RFC 9000, section 10.3).
//!
//! Gateways and servers of a site share one key, and the token of a connection id is the head of its HMAC-SHA-256 under
//! that key: a gateway can close a connection in the name of any server.

use hmac::{Hmac, Mac};
use rand::Rng;
use sha2::Sha256;

/// Length of a token, in bytes.
pub const RESET_TOKEN_LENGTH: usize = 16;
/// Length of the shortest datagram that can be a reset, in bytes.
pub const MIN_RESET_LENGTH: usize = 5 + RESET_TOKEN_LENGTH;
/// Length of a reset unless it must be shorter, in bytes: that of a small packet.
const TYPICAL_RESET_LENGTH: usize = 42;
/// First bits of a short header, and the bits behind them.
const SHORT_HEADER: u8 = 0x40;
const SHORT_HEADER_UNPREDICTABLE_BITS: u8 = 0x3f;

/// The site's shared key.
#[derive(Clone)]
pub struct ResetKey(Vec<u8>);

impl ResetKey {
    /// A key of these bytes.
    pub fn new(key: Vec<u8>) -> Self {
        Self(key)
    }

    /// The token of a connection id.
    pub fn token(&self, id: &[u8]) -> [u8; RESET_TOKEN_LENGTH] {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(id);
        let authentication_code = mac.finalize().into_bytes();
        std::array::from_fn(|index| authentication_code[index])
    }

    /// Encodes a reset for the connection of `id`, in response to a datagram of `trigger_length` bytes.
    ///
    /// It is shorter than that datagram, so that two endpoints that reset each other stop; `None` where that cannot be.
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

/// Whether a datagram ends in this token, and so resets the connection that the token belongs to.
pub fn is_reset(datagram: &[u8], token: &[u8; RESET_TOKEN_LENGTH]) -> bool {
    datagram.len() >= MIN_RESET_LENGTH && datagram.ends_with(token)
}
