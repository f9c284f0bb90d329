//! Mutations: faults put in on purpose, to show that the checks find them. Without the feature `mutation`, which only
//! tests turn on, none can be chosen and [`ActiveMutation::is`] is a constant `false`.

/// One fault put in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// A change under an old token is applied.
    NoFencing,
    /// An acceptor answers before its vote is on disk.
    UnsyncedVote,
    /// A lease on the queue runs from when the answer came, not from when it was requested.
    LeaseFromAnswerTime,
    /// A majority of those that answer is enough, not of the settings' list.
    MajorityOfResponders,
    /// A released machine makes room at once.
    NoCooling,
    /// A lease on the queue never ends.
    NoLease,
    /// A restarted gateway acts on what its disk says.
    #[cfg(feature = "mutation")]
    ActOnPersistedGrant,
    /// An acceptor that has lost its state votes at once.
    #[cfg(feature = "mutation")]
    VoteWithoutCatchUp,
}

/// The mutation of a core, if any.
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
