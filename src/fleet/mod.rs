//! State that the gateways of a fleet agree on and share: settings, logic and texts. Free of sockets and
//! clocks.
//!
//! Each subsystem is off unless the command line names its settings file. The exception is [`permits`], the
//! permits for connections to warming servers.

pub mod maintenance;
pub mod permits;
pub mod quota;
pub(crate) mod settings_keys;
pub mod shared_state;
pub mod view;
