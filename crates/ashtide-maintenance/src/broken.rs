//! Faults put in on purpose, to show that the checks find them. Without the feature `broken`, which only tests turn
//! on, none can be chosen and [`Fault::is`] is a constant `false`.

/// One fault put in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// A change made under an old token is taken.
    NoFencing,
    /// A voter answers before its vote is on disk.
    UnsyncedVote,
    /// What is known of the table holds from when it was heard, not from when it was asked for.
    LeaseFromAnswerTime,
    /// A majority of those that answer is enough, not of the settings' list.
    MajorityOfResponders,
    /// What has been released makes room at once.
    NoCooling,
    /// What is known of the table never becomes too old to act on.
    NoLease,
    /// A restarted gateway acts on what its disk says.
    #[cfg(feature = "broken")]
    ActOnPersistedGrant,
    /// A voter that has lost its memory votes at once.
    #[cfg(feature = "broken")]
    VoteWithoutCatchUp,
}

/// The fault of a core, if any.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(crate) struct ActiveMutation {
    #[cfg(feature = "broken")]
    pub(crate) mutation: Option<Mutation>,
}

impl ActiveMutation {
    #[cfg(feature = "broken")]
    pub(crate) fn is(self, which: Mutation) -> bool {
        self.mutation == Some(which)
    }

    #[cfg(not(feature = "broken"))]
    #[allow(clippy::unused_self)]
    pub(crate) fn is(self, _: Mutation) -> bool {
        false
    }
}
