//! What a replica is configured with, what it observes, and what it wants done.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashtide_fleet::DatagramCount;
use ashtide_fleet::state::Slot;
use bytes::Bytes;

use crate::paxos::AcceptorState;
use crate::queue::{ChangeRejected, Limits, MachineKind};

/// Times, the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TimingConfig {
    /// How long the queue may be acted on, from when it was requested.
    pub lease: Duration,
    /// By how much longer other gateways wait: for clocks that run at different rates.
    pub margin: Duration,
    /// How long a proposal may take.
    pub proposal_timeout: Duration,
    /// How often a gateway reads the queue.
    pub read_interval: Duration,
    /// How much longer each further gateway waits before it does what another should have done.
    pub takeover_step: Duration,
    /// How long a drain may last.
    pub max_drain: Duration,
    /// How long a machine stays out at most, once drained.
    pub max_work: Duration,
    /// Whether a server that is drained is released at once, without work on it.
    pub return_when_drained: bool,
}

impl TimingConfig {
    /// After this time without a message, a gateway's lease has ended, whatever its clock shows.
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

/// The configuration of one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaConfig {
    /// The tier's key.
    pub fleet_id: u32,
    /// This gateway.
    pub own_slot: Slot,
    /// All gateways that may be there; the same at all of them.
    pub members: Vec<Slot>,
    /// Those that vote, some of `members`; the same at all gateways.
    pub acceptors: Vec<Slot>,
    /// What may be out.
    pub limits: Limits,
    /// How long things last.
    pub timing: TimingConfig,
}

impl ReplicaConfig {
    pub(super) fn is_acceptor(&self) -> bool {
        self.acceptors.contains(&self.own_slot)
    }
}

/// What an acceptor brings from its last process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PersistedVote {
    /// Its state.
    Stored(AcceptorState),
    /// There is none, or it cannot be read.
    Lost,
}

/// What this gateway observes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Observations {
    /// Servers that are ready.
    pub ready_servers: BTreeSet<String>,
    /// Connections that it has with each server.
    pub open_connections: BTreeMap<String, u32>,
    /// Gateways that may still have connections: a drain is over once all of them have reported that they have none.
    pub present_gateways: BTreeSet<Slot>,
}

impl Observations {
    pub(super) fn open_on(&self, server: &str) -> u32 {
        self.open_connections.get(server).copied().unwrap_or(0)
    }
}

/// What has become of an operator's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It is applied, and a majority has it on disk.
    Committed,
    /// It is not applied.
    Rejected(ChangeRejected),
    /// No majority answered in time; it may be applied yet. Requesting it again does no harm.
    Unknown,
}

/// What the driver is to do, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Have this on disk before anything after it is done.
    Persist(Box<AcceptorState>),
    /// Send a datagram.
    Send(Slot, Bytes),
    /// Send no new connections to a machine, and move those it has.
    Drain {
        /// What it is.
        kind: MachineKind,
        /// Which.
        name: String,
        /// The grant's token.
        token: u64,
    },
    /// A machine is back.
    Return {
        /// What it is.
        kind: MachineKind,
        /// Which.
        name: String,
    },
    /// Answer an operator.
    Answer {
        /// The request.
        request_id: u64,
        /// What has become of it.
        outcome: RequestOutcome,
    },
    /// Log a line.
    Log(String),
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaMetrics {
    /// Proposals begun.
    pub proposals: u64,
    /// Proposals that a majority accepted.
    pub chosen: u64,
    /// Changes under an old token that were rejected.
    pub fenced: u64,
    /// Datagrams sent.
    pub sent: DatagramCount,
    /// Datagrams that were rejected.
    pub rejected_datagrams: u64,
    /// How often this gateway returned machines because its lease ended.
    pub lease_lapses: u64,
}
