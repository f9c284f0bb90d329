//! Taking machines out for work, in an order that the gateways of a tier settle among themselves.
//!
//! Operators ask any gateway; what is asked for waits in one queue of all gateways. At most so many machines are out
//! at once, whatever is lost, late, cut off, stalled or restarted meanwhile, and none is taken out while too few would
//! be left. `docs/design/maintenance.md` says why this holds and what was not built.
//!
//! - [`Table`]: the queue and what is given out, with fencing tokens. One value, changed by [`Change`].
//! - [`Voter`], [`Round`]: how a majority of the settings' list keeps that value.
//! - [`Knowledge`]: what one gateway knows of it, and for how long it may act on that.
//! - [`Node`]: all of it for one gateway, without a socket, a file or a clock.
//! - [`Store`]: a voter's memory on disk.

mod broken;
mod message;
mod node;
mod register;
mod store;
mod table;
mod violation;

#[cfg(feature = "broken")]
pub use broken::Mutation;
pub use message::{DecodeError, MAX_PARTS, Message, MessageAssembler, encode_message};
pub use node::{
    Action, MAX_PENDING_REQUESTS, Observations, PersistedVote, Replica, ReplicaConfig, ReplicaMetrics,
    RequestOutcome, TimingConfig, check_machines_out,
};
pub use register::{Acceptor, AcceptorState, Ballot, LeasedState, Proposal, StaleBallot, majority};
pub use store::{Store, StoreError};
pub use table::{
    Change, ChangeRejected, Limits, MAX_COMPLETED_REQUESTS, MAX_ENTRIES, MAX_NAME, MAX_REASON, MachineKind,
    MaintenanceEntry, MaintenanceQueue, Phase,
};
pub use violation::Violation;
