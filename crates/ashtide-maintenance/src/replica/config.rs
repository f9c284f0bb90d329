//! Configuration, inputs and outputs of a replica.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashtide_fleet::DatagramCount;
use ashtide_fleet::state::Slot;
use bytes::Bytes;

use crate::paxos::AcceptorState;
use crate::queue::{ChangeRejected, Limits, MachineKind};

/// Durations of the protocol. All gateways must have the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TimingConfig {
    /// Duration for which a gateway may act on the queue, starting when the read was sent.
    pub lease: Duration,
    /// Additional time that other gateways wait for the end of a lease, because clocks run at different
    /// rates.
    pub margin: Duration,
    /// Time-out of a proposal.
    pub proposal_timeout: Duration,
    /// Interval between a gateway's reads of the queue.
    pub read_interval: Duration,
    /// Difference between the delays of successive gateways before they propose changes that any acceptor may
    /// propose.
    pub takeover_step: Duration,
    /// Maximum duration of a drain.
    pub max_drain: Duration,
    /// Maximum time for which a drained machine is out.
    pub max_work: Duration,
    /// Whether a drained server is released at once, without maintenance work.
    pub return_when_drained: bool,
}

impl TimingConfig {
    /// Returns the time without a report after which the lease of a gateway must have expired, whatever its
    /// clock rate.
    pub(super) fn silence_limit(&self) -> Duration {
        self.lease + self.margin
    }
}

impl Default for TimingConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            margin: Duration::from_secs(1),
            proposal_timeout: Duration::from_secs(2),
            read_interval: Duration::from_millis(500),
            takeover_step: Duration::from_millis(500),
            max_drain: Duration::from_secs(60),
            max_work: Duration::from_secs(3600),
            return_when_drained: false,
        }
    }
}

/// Configuration of one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaConfig {
    /// Key of the fleet.
    pub fleet_id: u32,
    /// Slot of this gateway.
    pub own_slot: Slot,
    /// Slots of all gateways of the fleet, running or not. All gateways must have the same members.
    pub members: Vec<Slot>,
    /// Slots of the acceptors, a subset of `members`. All gateways must have the same acceptors.
    pub acceptors: Vec<Slot>,
    /// Limits on the machines that are out.
    pub limits: Limits,
    /// Durations of the protocol.
    pub timing: TimingConfig,
}

impl ReplicaConfig {
    pub(super) fn is_acceptor(&self) -> bool {
        self.acceptors.contains(&self.own_slot)
    }
}

/// Acceptor state that the previous incarnation of a gateway has persisted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PersistedVote {
    /// Stored state.
    Stored(AcceptorState),
    /// No state is stored, or it cannot be read.
    Lost,
}

/// Current state of servers and gateways as seen by this gateway.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Observations {
    /// Names of the ready servers.
    pub ready_servers: BTreeSet<String>,
    /// Number of open connections of this gateway by server name.
    pub open_connections: BTreeMap<String, u32>,
    /// Gateways that may have open connections. A drain ends once all of them have reported that they have
    /// none.
    pub present_gateways: BTreeSet<Slot>,
}

impl Observations {
    pub(super) fn open_on(&self, server: &str) -> u32 {
        self.open_connections.get(server).copied().unwrap_or(0)
    }
}

/// Outcome of an operator's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request is applied, and a majority of the acceptors has persisted it.
    Committed,
    /// The request is rejected and not applied.
    Rejected(ChangeRejected),
    /// No majority answered in time. The request may still be applied later; repeating it is safe.
    Unknown,
}

/// Action that the driver must execute. Actions are executed in the order in which they are returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Persist the acceptor state. It must be on disk before any later action is executed.
    Persist(Box<AcceptorState>),
    /// Send a datagram to a gateway.
    Send(Slot, Bytes),
    /// Cordon a machine and migrate its open connections.
    Drain {
        /// Kind of the machine.
        kind: MachineKind,
        /// Name of the machine.
        name: String,
        /// Fencing token of the grant.
        token: u64,
    },
    /// Uncordon a machine.
    Return {
        /// Kind of the machine.
        kind: MachineKind,
        /// Name of the machine.
        name: String,
    },
    /// Answer an operator's request.
    Answer {
        /// Id of the request.
        request_id: u64,
        /// Outcome of the request.
        outcome: RequestOutcome,
    },
    /// Write a log line.
    Log(String),
}

/// Counters of a replica since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaMetrics {
    /// Number of proposals started.
    pub proposals: u64,
    /// Number of proposals that a majority accepted.
    pub chosen: u64,
    /// Number of changes rejected because of an outdated fencing token.
    pub fenced: u64,
    /// Number and bytes of the datagrams sent.
    pub sent: DatagramCount,
    /// Number of received datagrams that were rejected.
    pub rejected_datagrams: u64,
    /// Number of times that this gateway uncordoned its machines because its lease had expired.
    pub lease_lapses: u64,
}
