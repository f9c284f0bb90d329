//! Drivers: modules that read and write sockets and files and receive signals. Decisions are made elsewhere.

pub mod accept;
pub mod admin;
pub mod bind_retry;
pub mod connect;
pub mod connection_handoff;
pub mod discovery;
pub mod event_loop;
pub mod fleet;
pub mod handover;
pub mod health_check;
pub mod listen;
pub mod messages;
pub mod pending_clients;
pub mod quic;
pub mod rate_limited_log;
pub mod reload;
pub mod session;
pub mod storage;
pub mod vrrp;
