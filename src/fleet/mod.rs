//! What the gateways of a fleet agree on and share: settings, state and texts. No sockets, no clock.
//!
//! All of it is off unless its file is named on the command line, except the permits for warming servers.

pub mod maintenance;
pub mod permits;
pub mod quota;
pub(crate) mod settings_keys;
pub mod shared_state;
pub mod view;
