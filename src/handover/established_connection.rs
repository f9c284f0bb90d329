//! An established connection on its way to the successor: the datagram that travels with its two sockets.

use bytes::{Buf, Bytes};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Longest datagram in bytes: the rest of a line for each side, and what was read behind it.
pub const MAX_HANDOFF_LENGTH: usize = 64 << 10;

/// Why a datagram cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum HandoffDecodeError {
    /// No end of the header.
    #[error("no head")]
    MissingHeader,
    /// Not a header of this version.
    #[error("{0}")]
    MalformedHeader(#[from] serde_json::Error),
    /// The sections do not have the length that the header declares.
    #[error("{declared} bytes told, {found} found")]
    LengthMismatch {
        /// Bytes that the header declares.
        declared: usize,
        /// Bytes behind the header.
        found: usize,
    },
}

/// Bytes that were read of one side and are still to be written to the other.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PendingBytes {
    /// Rest of a line whose beginning has been written already.
    pub line_remainder: Bytes,
    /// Bytes read from the socket behind that line.
    pub read_ahead: Bytes,
}

/// An established connection that is handed over, apart from its two sockets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EstablishedConnection {
    /// Name of its server.
    pub server: String,
    /// The client's `OPEN` line as it came.
    pub open_line: Bytes,
    /// Bytes from the server for the client.
    pub to_client: PendingBytes,
    /// Bytes from the client for the server.
    pub to_server: PendingBytes,
}

/// Name of [`HandoffHeader`] in the texts of errors, which operators know.
type Head = HandoffHeader;

/// First line of the datagram, before the sections.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Head")]
struct HandoffHeader {
    server: String,
    #[serde(rename = "lengths")]
    section_lengths: [usize; 5],
}

impl<'de> Deserialize<'de> for HandoffHeader {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // The derived function.
        Self::deserialize(deserializer)
    }
}

impl Serialize for HandoffHeader {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        Self::serialize(self, serializer)
    }
}

impl EstablishedConnection {
    fn sections(&self) -> [&Bytes; 5] {
        [
            &self.open_line,
            &self.to_client.line_remainder,
            &self.to_client.read_ahead,
            &self.to_server.line_remainder,
            &self.to_server.read_ahead,
        ]
    }

    /// Encodes the datagram; `None` where it would exceed [`MAX_HANDOFF_LENGTH`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let sections = self.sections();
        let header = HandoffHeader { server: self.server.clone(), section_lengths: sections.map(Bytes::len) };
        let mut datagram = serde_json::to_vec(&header).ok()?;
        datagram.push(b'\n');
        sections.iter().for_each(|section| datagram.extend_from_slice(section));
        (datagram.len() <= MAX_HANDOFF_LENGTH).then_some(datagram)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails where the datagram is incomplete or has another form.
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
        let [open_line, client_line, client_read_ahead, server_line, server_read_ahead] =
            section_lengths.map(|length| datagram.split_to(length));
        Ok(Self {
            server,
            open_line,
            to_client: PendingBytes { line_remainder: client_line, read_ahead: client_read_ahead },
            to_server: PendingBytes { line_remainder: server_line, read_ahead: server_read_ahead },
        })
    }
}
