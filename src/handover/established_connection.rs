//! Handoff of an established connection to the successor: the datagram that is sent together with its two
//! sockets.

use bytes::{Buf, Bytes};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Maximum length of a handoff datagram in bytes. It has to contain, for each side, the remainder of a line
/// and the bytes that were read after that line.
pub const MAX_HANDOFF_LENGTH: usize = 64 << 10;

/// Error of decoding a handoff datagram.
#[derive(Debug, thiserror::Error)]
pub enum HandoffDecodeError {
    /// The datagram contains no end of the header line.
    #[error("handoff datagram has no complete header line")]
    MissingHeader,
    /// The header line is not a JSON header of this version.
    #[error("handoff header is invalid: {0}")]
    MalformedHeader(#[from] serde_json::Error),
    /// The total length of the sections differs from the length that the header declares.
    #[error("handoff header declares {declared} bytes, but {found} bytes follow it")]
    LengthMismatch {
        /// Length of all sections in bytes as the header declares it.
        declared: usize,
        /// Number of bytes after the header.
        found: usize,
    },
}

/// Bytes that were read from one side and are not yet written to the other.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PendingBytes {
    /// Remainder of a line whose beginning has already been written.
    pub line_remainder: Bytes,
    /// Bytes that were read from the socket after that line.
    pub read_ahead: Bytes,
}

/// Established connection that is handed off, without its two sockets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EstablishedConnection {
    /// Name of the connection's server.
    pub server: String,
    /// `OPEN` line of the client as received, with its end of line.
    pub open_line: Bytes,
    /// Bytes from the server that are still to be written to the client.
    pub to_client: PendingBytes,
    /// Bytes from the client that are still to be written to the server.
    pub to_server: PendingBytes,
}

/// Alias that retains the name `Head` for [`HandoffHeader`] in serde's error messages.
type Head = HandoffHeader;

/// First line of the datagram, which precedes the sections.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Head")]
struct HandoffHeader {
    server: String,
    #[serde(rename = "lengths")]
    section_lengths: [usize; 5],
}

impl<'de> Deserialize<'de> for HandoffHeader {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Calls the inherent function that `serde(remote)` derives.
        Self::deserialize(deserializer)
    }
}

impl Serialize for HandoffHeader {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        Self::serialize(self, serializer)
    }
}

impl EstablishedConnection {
    /// Returns the sections in the order in which they follow the header.
    fn sections(&self) -> [&Bytes; 5] {
        [
            &self.open_line,
            &self.to_client.line_remainder,
            &self.to_client.read_ahead,
            &self.to_server.line_remainder,
            &self.to_server.read_ahead,
        ]
    }

    /// Encodes the datagram; returns `None` if it would exceed [`MAX_HANDOFF_LENGTH`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let sections = self.sections();
        let header = HandoffHeader { server: self.server.clone(), section_lengths: sections.map(Bytes::len) };
        let mut datagram = serde_json::to_vec(&header).ok()?;
        datagram.push(b'\n');
        sections.iter().for_each(|section| datagram.extend_from_slice(section));
        (datagram.len() <= MAX_HANDOFF_LENGTH).then_some(datagram)
    }

    /// Decodes an established connection from a handoff datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is incomplete or malformed.
    pub fn decode(mut datagram: Bytes) -> Result<Self, HandoffDecodeError> {
        let header_length =
            datagram.iter().position(|&byte| byte == b'\n').ok_or(HandoffDecodeError::MissingHeader)?;
        let HandoffHeader { server, section_lengths } =
            serde_json::from_slice(&datagram.split_to(header_length))?;
        datagram.advance(1);
        let declared = section_lengths.iter().copied().fold(0, usize::saturating_add);
        let found = datagram.len();
        if declared != found {
            return Err(HandoffDecodeError::LengthMismatch { declared, found });
        }
        let [open_line, client_remainder, client_read_ahead, server_remainder, server_read_ahead] =
            section_lengths.map(|length| datagram.split_to(length));
        Ok(Self {
            server,
            open_line,
            to_client: PendingBytes { line_remainder: client_remainder, read_ahead: client_read_ahead },
            to_server: PendingBytes { line_remainder: server_remainder, read_ahead: server_read_ahead },
        })
    }
}
