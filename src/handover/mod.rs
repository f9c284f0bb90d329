//! State that the processes of one gateway exchange during an upgrade, and state that is stored across
//! restarts.
//!
//! This module encodes and decodes messages, files and datagrams, and merges the states that several
//! processes report. It performs no I/O: [`crate::net::handover`] and [`crate::net::connection_handoff`]
//! drive the sockets and files.

mod cordons;
mod deployment;
mod established_connection;
mod message;
mod open_id_changes;
mod persisted_state;
mod process_state;

pub use cordons::{CordonChange, CordonTransition, Cordons};
pub use deployment::Deployment;
pub use established_connection::{
    EstablishedConnection, HandoffDecodeError, MAX_HANDOFF_LENGTH, PendingBytes,
};
pub use message::{MAX_MESSAGE_LENGTH, SiblingMessage, SiblingMessageCodec, SiblingMessageError};
pub use open_id_changes::{IdDigest, OpenIdChanges};
pub use persisted_state::PersistedState;
pub use process_state::{ProcessState, ServerUsage, SiblingSummary, rank_after};
