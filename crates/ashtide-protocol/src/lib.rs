//! The platform's protocol: lines of text over TCP between clients, gateways and reading servers.
//!
//! All of it is fed bytes or lines and knows no socket and no clock. [`LineCodec`] cuts a stream. The
//! gateway reads clients with [`ClientSide`] and servers with [`ServerSide`]; a client asks with
//! [`OpenParameters`] and reads what comes back with [`GatewaySide`].
//!
//! ```
//! use std::time::Duration;
//! use ashtide_protocol::{OpenParameters, GatewayEvent, GatewaySide};
//!
//! let asking = OpenParameters { class: "resident-reading".into(), key: "meter-77".into(), ..OpenParameters::default() };
//! let line = asking.line("9b1f03aa5c7e2d41", Duration::from_millis(2000)).unwrap();
//! assert_eq!(&line[..], b"OPEN 9b1f03aa5c7e2d41 meter-77 c=resident-reading,d=2000\r\n");
//!
//! let mut gateway = GatewaySide::default();
//! gateway.set_request_started();
//! let refused = gateway.line("BUSY 400\r\n".into()).unwrap();
//! assert_eq!(refused, GatewayEvent::Busy(Some(Duration::from_millis(400))));
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

/// What a gateway answers to `PING`.
pub const PONG: &[u8] = b"PONG\r\n";
/// A failed final answer.
pub const FAILED: &[u8] = b"ERR\r\n";
/// Sends a client away politely.
pub const MOVE: &[u8] = b"MOVE\r\n";

/// A refusal, with the wait in whole milliseconds where one is advised.
pub fn busy(wait: Duration) -> Bytes {
    match wait.as_millis() {
        0 => Bytes::from_static(b"BUSY\r\n"),
        ms => format!("BUSY {ms}\r\n").into(),
    }
}

/// The text of a line without its CRLF, where it is UTF-8.
pub(crate) fn text(line: &[u8]) -> Option<&str> {
    std::str::from_utf8(line.strip_suffix(b"\r\n").unwrap_or(line)).ok()
}
