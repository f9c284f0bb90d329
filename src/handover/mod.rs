//! State that the processes of one gateway exchange during an upgrade, and state that outlives them.
//!
//! Encodes and decodes messages, files and datagrams and merges what several processes report. Performs no I/O:
//! [`crate::net::handover`] and [`crate::net::connection_handoff`] drive the sockets and files.

mod cordons;
mod deployment;
mod established_connection;
mod message;
mod persisted_state;
mod process_state;

pub use cordons::{CordonChange, CordonTransition, Cordons};
pub use deployment::Deployment;
pub use established_connection::{
    EstablishedConnection, HandoffDecodeError, MAX_HANDOFF_LENGTH, PendingBytes,
};
pub use message::{MAX_MESSAGE_LENGTH, SiblingMessage, SiblingMessageCodec, SiblingMessageError};
pub use persisted_state::PersistedState;
pub use process_state::{ProcessState, ServerUsage, SiblingSummary, rank_after};
