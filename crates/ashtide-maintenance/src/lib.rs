//! Maintenance queue: takes machines out of service in an order that the gateways of a fleet agree on.
//!
//! Operators send requests to any gateway. All gateways share one queue. The number of machines out at a time
//! never exceeds its limit, whatever messages are lost or delayed and whichever gateways are partitioned,
//! stalled or restarted. No server is taken out while fewer ready servers than the configured minimum would
//! remain. `docs/design/maintenance.md` contains the safety argument and the alternatives that were not
//! implemented.
//!
//! - [`MaintenanceQueue`]: the queue and the grants, with fencing tokens. One replicated value, modified by
//!   [`Change`].
//! - [`Acceptor`], [`Proposal`]: replication of that value to a majority of the configured acceptors (Paxos).
//! - [`LeasedState`]: one gateway's copy of the value, and the lease during which the gateway may act on it.
//! - [`Replica`]: the complete protocol of one gateway, without a socket, a file or a clock.
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
