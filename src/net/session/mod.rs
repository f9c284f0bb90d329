//! Sessions of the line protocol: one client each, from its first line to the end of its connection.
//!
//! - `frontend`: state shared by all clients.
//! - `admission`: the first line, the admission checks and the start of the session.
//! - `first_line`: reading and validating the first line.
//! - `attempt`: a request that waits for a connection to a server.
//! - `relay`: an established connection, copied in both directions.
//! - `handoff`: established connections passed between processes.
//! - `connection`: a socket that is read as lines.

mod admission;
mod attempt;
mod connection;
mod first_line;
mod frontend;
mod handoff;
mod relay;

pub use frontend::{Frontend, Timeouts};
