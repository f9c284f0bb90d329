//! Drivers of what the gateways of a fleet agree on and share: sockets, timers and files.

pub mod incarnation_store;
pub mod maintenance;
pub mod permits;
pub mod quota;
pub mod shared_state;
pub mod view;
