//! What gateways of one tier tell each other: one word a datagram, seven bytes long.
//!
//! A datagram comes late or never, and anyone may send one, so a word is taken once, from a gateway of
//! the tier, and while it is young; whatever else comes is an error that says why, and changes nothing.
//! No table grows with what is heard: there is one row a gateway.
//!
//! | byte | holds |
//! | --- | --- |
//! | 0 | which word: 16, the sender has placed a connection on this server, which is new; 17, it is swamped |
//! | 1, 2 | Unix time in steps of 4 ms, modulo 2^16; each datagram of a sender has another |
//! | 3 to 6 | the server's key, as in connection ids: the head of the SHA-256 of its name |

use std::collections::VecDeque;

use crate::interface::{PeerId, Word};
use crate::quic::placing::ServerKey;

/// Bytes of a datagram.
pub const LENGTH: usize = 7;
/// The word for a connection placed on a new server, and that for a swamped server.
const SENT: u8 = 16;
const SWAMPED: u8 = 17;
/// Milliseconds in a step of the stamp.
const STEP_MS: u64 = 4;
/// A word older than this, or from so far ahead, is stale: 5 s of a clock that all share.
const YOUNG: u16 = (5_000 / STEP_MS) as u16;
/// Words of one gateway that are remembered, to tell a repeated one: more than it sends in that time on
/// the busiest days.
const REMEMBERED: usize = 32;

/// Why a datagram is not heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unheard {
    /// It has another length.
    #[error("{0} bytes instead of {LENGTH}")]
    Length(usize),
    /// Its first byte is of no word that is known here.
    #[error("unknown word {0:#04x}")]
    Word(u8),
    /// No gateway of this tier has sent it, or this one itself.
    #[error("of no other gateway of this tier")]
    Foreign,
    /// It is too old, or of the future.
    #[error("stale by {0} ms")]
    Stale(u64),
    /// It has been heard before.
    #[error("repeated")]
    Repeated,
}

fn steps(unix_ms: u64) -> u16 {
    ((unix_ms / STEP_MS) & 0xffff) as u16
}

/// One gateway's mouth and ear.
#[derive(Debug)]
pub struct Gossip {
    own: PeerId,
    last: Option<u16>,
    heard: Vec<VecDeque<u16>>,
}

impl Gossip {
    /// Of gateway `own` among `peers`.
    pub fn new(own: PeerId, peers: usize) -> Self {
        Self { own, last: None, heard: vec![VecDeque::new(); peers] }
    }

    /// The datagram that says this of a server.
    pub fn say(&mut self, unix_ms: u64, server: ServerKey, word: Word) -> [u8; LENGTH] {
        let now = steps(unix_ms);
        // Two words in one step would look like one repeated.
        let stamp = match self.last {
            Some(last) if now.wrapping_sub(last) == 0 || now.wrapping_sub(last) > u16::MAX - YOUNG => {
                last.wrapping_add(1)
            }
            _ => now,
        };
        self.last = Some(stamp);
        let mut bytes = [0; LENGTH];
        bytes[0] = match word {
            Word::Sent => SENT,
            Word::Swamped => SWAMPED,
        };
        bytes[1..3].copy_from_slice(&stamp.to_be_bytes());
        bytes[3..].copy_from_slice(&server);
        bytes
    }

    /// Takes in a datagram of gateway `from`, if it is one.
    ///
    /// # Errors
    ///
    /// Says why it is not heard; nothing is remembered of it.
    pub fn hear(
        &mut self,
        unix_ms: u64,
        from: Option<PeerId>,
        bytes: &[u8],
    ) -> Result<(ServerKey, Word), Unheard> {
        let from = from.filter(|&from| from != self.own).ok_or(Unheard::Foreign)?;
        let heard = self.heard.get_mut(from.0 as usize).ok_or(Unheard::Foreign)?;
        let bytes: &[u8; LENGTH] = bytes.try_into().map_err(|_| Unheard::Length(bytes.len()))?;
        let word = match bytes[0] {
            SENT => Word::Sent,
            SWAMPED => Word::Swamped,
            other => return Err(Unheard::Word(other)),
        };
        let stamp = u16::from_be_bytes([bytes[1], bytes[2]]);
        let age = steps(unix_ms).wrapping_sub(stamp);
        if age.min(age.wrapping_neg()) > YOUNG {
            return Err(Unheard::Stale(u64::from(age.min(age.wrapping_neg())) * STEP_MS));
        }
        if heard.contains(&stamp) {
            return Err(Unheard::Repeated);
        }
        heard.push_back(stamp);
        if heard.len() > REMEMBERED {
            heard.pop_front();
        }
        Ok(([bytes[3], bytes[4], bytes[5], bytes[6]], word))
    }
}
