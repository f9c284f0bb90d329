//! QUIC for a gateway that does not terminate connections.
//!
//! The modules parse headers, route connection ids, and encode the packets that can be sent without the keys
//! of a connection. They perform no I/O; [`crate::net::quic`] drives the sockets.

pub mod answer_limiter;
pub mod connection_id_table;
pub mod header;
pub mod initial;
pub mod load_balancing;
pub mod reset;

pub use header::{ConnectionId, Header, HeaderError, LongPacketType};
