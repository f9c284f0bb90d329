//! Mutations: deliberate faults in the protocol, with which tests verify that the invariant checks detect
//! them. Without the feature `mutation`, which only tests enable, no mutation can be activated and
//! [`ActiveMutation::is`] always returns `false`.

/// Deliberate fault in the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// A change with an outdated fencing token is applied.
    NoFencing,
    /// An acceptor answers before its vote is persisted.
    UnsyncedVote,
    /// The lease on the queue starts when the answer arrived, not when the read was sent.
    LeaseFromAnswerTime,
    /// A majority of the present acceptors is a quorum, instead of a majority of the configured acceptors.
    MajorityOfResponders,
    /// A released machine stops counting as out at once.
    NoCooling,
    /// The lease on the queue never expires.
    NoLease,
    /// A restarted gateway acts on the grants in its persisted state.
    #[cfg(feature = "mutation")]
    ActOnPersistedGrant,
    /// An acceptor that has lost its state votes without catching up.
    #[cfg(feature = "mutation")]
    VoteWithoutCatchUp,
}

/// Mutation that is active, `None` in production.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(crate) struct ActiveMutation {
    #[cfg(feature = "mutation")]
    pub(crate) mutation: Option<Mutation>,
}

impl ActiveMutation {
    #[cfg(feature = "mutation")]
    pub(crate) fn is(self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    #[cfg(not(feature = "mutation"))]
    #[allow(clippy::unused_self)] // The same signature as with the feature.
    pub(crate) fn is(self, _: Mutation) -> bool {
        false
    }
}
