//! Drivers of the fleet protocols (membership view, shared state, permits, quotas, maintenance): sockets,
//! timers and files.

pub mod incarnation_store;
pub mod maintenance;
pub mod permits;
pub mod quota;
pub mod shared_state;
pub mod view;
