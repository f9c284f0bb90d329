//! The platform's line protocol: lines of text over TCP between clients, gateways and servers.
//!
//! The parsers and state machines of this crate take bytes or lines and use neither sockets nor clocks.
//! [`LineCodec`] splits a byte stream into lines. A gateway reads the lines of clients with [`ClientSide`]
//! and those of servers with [`ServerSide`]. A client writes its request with [`OpenParameters`] and reads
//! the gateway's lines with [`GatewaySide`].
//!
//! ```
//! use std::time::Duration;
//! use ashtide_protocol::{GatewayEvent, GatewaySide, OpenParameters};
//!
//! let parameters = OpenParameters {
//!     class: "resident-reading".into(),
//!     key: "meter-77".into(),
//!     ..OpenParameters::default()
//! };
//! let line = parameters.line("9b1f03aa5c7e2d41", Duration::from_millis(2000)).unwrap();
//! assert_eq!(&line[..], b"OPEN 9b1f03aa5c7e2d41 meter-77 c=resident-reading,d=2000\r\n");
//!
//! let mut gateway = GatewaySide::default();
//! gateway.set_request_started();
//! let rejection = gateway.line("BUSY 400\r\n".into()).unwrap();
//! assert_eq!(rejection, GatewayEvent::Busy(Some(Duration::from_millis(400))));
//! ```

mod client;
mod codec;
mod gateway;
mod open;
mod server;

pub use client::{ClientEvent, ClientSide};
pub use codec::{LineCodec, LineError, MAX_LINE};
pub use gateway::{GatewayEvent, GatewaySide, PeerFault};
pub use open::{MAX_FIELD, Open, OpenError, OpenParameters, OpenParametersError};
pub use server::{Ending, ServerEvent, ServerSide};

use std::time::Duration;

use bytes::Bytes;

/// A gateway's answer to `PING`.
pub const PONG: &[u8] = b"PONG\r\n";
/// A gateway's final answer to a request that failed.
pub const FAILED: &[u8] = b"ERR\r\n";
/// A gateway's request to a client to reconnect elsewhere, after which the connection is closed.
pub const MOVE: &[u8] = b"MOVE\r\n";

/// Returns the line that rejects a request. `retry_after` is rounded down to whole milliseconds; if that is
/// zero, the line advises no wait.
pub fn busy(retry_after: Duration) -> Bytes {
    match retry_after.as_millis() {
        0 => Bytes::from_static(b"BUSY\r\n"),
        ms => format!("BUSY {ms}\r\n").into(),
    }
}

/// Returns the text of a line without its CRLF, or `None` if it is not UTF-8.
pub(crate) fn text(line: &[u8]) -> Option<&str> {
    std::str::from_utf8(line.strip_suffix(b"\r\n").unwrap_or(line)).ok()
}
