//! Taking machines out for maintenance, in an order that the gateways of a tier settle among themselves.
//!
//! Operators ask any gateway; requests wait in one queue of all gateways. At most so many machines are out at once,
//! whatever is lost, late, cut off, stalled or restarted meanwhile, and none is taken out while too few would be left.
//! `docs/design/maintenance.md` says why this holds and what was not built.
//!
//! - [`MaintenanceQueue`]: the queue and the grants, with fencing tokens. One value, changed by [`Change`].
//! - [`Acceptor`], [`Proposal`]: how a majority of the settings' list keeps that value (Paxos).
//! - [`LeasedState`]: what one gateway knows of it, and for how long it may act on that.
//! - [`Replica`]: all of it for one gateway, without a socket, a file or a clock.
//! - [`Store`]: an acceptor's state on disk.

#![deny(
    clippy::enum_glob_use,
    clippy::many_single_char_names,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    rustdoc::broken_intra_doc_links
)]

mod assembler;
mod leased_state;
mod message;
mod mutation;
mod paxos;
mod queue;
mod replica;
mod store;
mod violation;

pub use assembler::MessageAssembler;
pub use leased_state::LeasedState;
pub use message::{DecodeError, MAX_PARTS, Message, encode_message};
#[cfg(feature = "mutation")]
pub use mutation::Mutation;
pub use paxos::{Acceptor, AcceptorState, Ballot, Proposal, StaleBallot, majority};
pub use queue::{
    Change, ChangeRejected, Limits, MAX_COMPLETED_REQUESTS, MAX_ENTRIES, MAX_NAME, MAX_REASON, MachineKind,
    MaintenanceEntry, MaintenanceQueue, Phase,
};
pub use replica::{
    Action, MAX_PENDING_REQUESTS, Observations, PersistedVote, Replica, ReplicaConfig, ReplicaMetrics,
    RequestOutcome, TimingConfig, check_machines_out,
};
pub use store::{Store, StoreError};
pub use violation::Violation;
