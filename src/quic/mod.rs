//! QUIC for a gateway that does not terminate connections: headers, connection ids, and the packets that can be sent
//! without the keys of a connection. Performs no I/O: [`crate::net::quic`] drives the sockets.

pub mod connection_id_table;
pub mod header;
pub mod initial;
pub mod load_balancing;
pub mod reset;

pub use header::{ConnectionId, Header, HeaderError, LongPacketType};
