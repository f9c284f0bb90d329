//! Encoding of the datagrams in which gateways request permits and reply to requests. Integers are
//! big-endian.
//!
//! | byte | request | reply |
//! | --- | --- | --- |
//! | 0 | 18 | 19 |
//! | 1, 2 | request number | number of the request that it replies to |
//! | 3 to 6 | key of the server, as in connection ids | key of the server |
//! | 7 | absent | bit 0: granted; bit 1: the server is below its fair share |
//! | 8 | absent | if denied: wait before the next request, in steps of 16 ms |

use crate::decision::interface::{GatewayId, Span};

/// Key of a server: the first four bytes of the SHA-256 hash of its name.
pub type ServerKey = u32;

/// Length of a request in bytes.
pub const REQUEST_LENGTH: usize = 7;
/// Maximum length of a datagram in bytes, which is the length of a reply.
pub const MAX_DATAGRAM_LENGTH: usize = 9;
const REQUEST_TAG: u8 = 18;
const REPLY_TAG: u8 = 19;
const GRANTED_FLAG: u8 = 1;
const BELOW_FAIR_SHARE_FLAG: u8 = 2;
/// Unit in microseconds of the wait in a reply.
const WAIT_STEP_MICROS: i64 = 16_000;

/// An error for which a datagram is ignored. An ignored datagram changes no state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram, of this length in bytes, is neither a request nor a reply.
    #[error("datagram of {0} bytes is neither a permit request nor a permit reply")]
    Malformed(usize),
    /// The sender is not a gateway of this fleet, or is this gateway itself.
    #[error("sender is not another gateway of this fleet")]
    UnknownSender,
    /// The request is for a permit that other gateways grant.
    #[error("permit request is for a server whose permits another gateway grants")]
    NotGrantor,
    /// The reply matches no pending request: it arrived after the time-out, or was for another gateway.
    #[error("permit reply matches no pending request")]
    UnexpectedReply,
}

impl DecodeError {
    /// Returns the operator's remedy.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Malformed(_) => {
                "run one version on all gateways, and check which program sends to `peer_listen`"
            }
            Self::UnknownSender => {
                "check that `peers` lists the same gateways in the same order on all of them"
            }
            Self::NotGrantor => "check that `peers` and `balancers` are the same at all gateways",
            Self::UnexpectedReply => {
                "no action if rare, such as after a network delay; if frequent, find the gateway that stalls"
            }
        }
    }
}

/// An encoded datagram to another gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDatagram {
    /// Gateway that the datagram is sent to.
    pub to: GatewayId,
    bytes: [u8; MAX_DATAGRAM_LENGTH],
    length: usize,
}

impl PermitDatagram {
    /// Encodes a request for a permit.
    pub(super) fn request(to: GatewayId, number: u16, server: ServerKey) -> Self {
        Self { to, bytes: encode(REQUEST_TAG, number, server, [0, 0]), length: REQUEST_LENGTH }
    }

    /// Encodes the reply to the request `number`.
    pub(super) fn reply(to: GatewayId, number: u16, server: ServerKey, reply: Reply) -> Self {
        let content = [reply.flags(), reply.wait_steps];
        Self { to, bytes: encode(REPLY_TAG, number, server, content), length: MAX_DATAGRAM_LENGTH }
    }

    /// Returns the key of the server that the datagram refers to.
    pub fn key(&self) -> ServerKey {
        ServerKey::from_be_bytes([self.bytes[3], self.bytes[4], self.bytes[5], self.bytes[6]])
    }

    /// Returns the encoded datagram.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[..self.length]
    }
}

fn encode(tag: u8, number: u16, server: ServerKey, content: [u8; 2]) -> [u8; MAX_DATAGRAM_LENGTH] {
    let mut bytes = [0; MAX_DATAGRAM_LENGTH];
    bytes[0] = tag;
    bytes[1..3].copy_from_slice(&number.to_be_bytes());
    bytes[3..7].copy_from_slice(&server.to_be_bytes());
    bytes[7..].copy_from_slice(&content);
    bytes
}

/// Content of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Reply {
    pub(super) granted: bool,
    pub(super) below_fair_share: bool,
    /// Wait before the next request after a denial, in units of [`WAIT_STEP_MICROS`].
    wait_steps: u8,
}

impl Reply {
    pub(super) fn granted(below_fair_share: bool) -> Self {
        Self { granted: true, below_fair_share, wait_steps: 0 }
    }

    /// Creates a denial. `retry_after` is rounded up, and limited to the longest wait that a reply can
    /// encode.
    pub(super) fn denied(retry_after: Span, below_fair_share: bool) -> Self {
        let steps = retry_after.as_micros() / WAIT_STEP_MICROS + 1;
        Self { granted: false, below_fair_share, wait_steps: u8::try_from(steps).unwrap_or(u8::MAX) }
    }

    /// Creates a denial with the longest wait that a reply can encode.
    pub(super) fn unavailable() -> Self {
        Self { granted: false, below_fair_share: false, wait_steps: u8::MAX }
    }

    pub(super) fn retry_after(self) -> Span {
        Span::from_micros(i64::from(self.wait_steps) * WAIT_STEP_MICROS)
    }

    fn flags(self) -> u8 {
        let granted = if self.granted { GRANTED_FLAG } else { 0 };
        let below_fair_share = if self.below_fair_share { BELOW_FAIR_SHARE_FLAG } else { 0 };
        granted | below_fair_share
    }

    fn decode(flags: u8, wait_steps: u8) -> Self {
        Self {
            granted: flags & GRANTED_FLAG != 0,
            below_fair_share: flags & BELOW_FAIR_SHARE_FLAG != 0,
            wait_steps,
        }
    }
}

/// A decoded datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Message {
    pub(super) request_number: u16,
    pub(super) server: ServerKey,
    pub(super) content: MessageContent,
}

/// Kind of a datagram, with the fields that only this kind has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageContent {
    Request,
    Reply(Reply),
}

impl Message {
    /// Decodes a message from a datagram.
    ///
    /// # Errors
    ///
    /// Fails with [`DecodeError::Malformed`] if `bytes` is neither a request nor a reply.
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let malformed = DecodeError::Malformed(bytes.len());
        let head: &[u8; REQUEST_LENGTH] = bytes.first_chunk().ok_or(malformed)?;
        let content = match (head[0], &bytes[REQUEST_LENGTH..]) {
            (REQUEST_TAG, []) => MessageContent::Request,
            (REPLY_TAG, &[flags, wait_steps]) => MessageContent::Reply(Reply::decode(flags, wait_steps)),
            _ => return Err(malformed),
        };
        Ok(Self {
            request_number: u16::from_be_bytes([head[1], head[2]]),
            server: ServerKey::from_be_bytes([head[3], head[4], head[5], head[6]]),
            content,
        })
    }
}
