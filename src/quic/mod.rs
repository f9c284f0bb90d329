//! QUIC as a gateway sees it that does not end connections: headers, ids, and the few packets that
//! may be spoken without a connection's keys. Fed datagrams; knows no socket.

pub mod header;
pub mod initial;
pub mod placing;
pub mod reset;
pub mod table;

pub use header::{ConnectionId, Header, HeaderError, LongPacketType};
