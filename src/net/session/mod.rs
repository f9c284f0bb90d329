//! One client of the line protocol, from its first line to its end.
//!
//! - [`frontend`]: what all clients share.
//! - [`admission`]: the way of one client up to its session.
//! - [`first_line`]: what a client asks for.
//! - [`attempt`]: a request that waits for a connection to a server.
//! - [`relay`]: an established connection, copied in both directions.
//! - [`handoff`]: established connections passed between processes.
//! - [`connection`]: a socket that is read as lines.

mod admission;
mod attempt;
mod connection;
mod first_line;
mod frontend;
mod handoff;
mod relay;

pub use frontend::{Frontend, Timeouts};
