//! Drivers: what reads and writes sockets, one file a concern. They decide nothing.

pub mod accept;
pub mod connect;
pub mod core;
pub mod discovery;
pub mod door;
pub mod files;
pub mod handover;
pub mod listen;
pub mod lobby;
pub mod log;
pub mod maintenance;
pub mod passing;
pub mod probe;
pub mod quic;
pub mod quota;
pub mod reload;
pub mod report;
pub mod rights;
pub mod session;
pub mod socket;
pub mod state;
pub mod view;
pub mod vrrp;
