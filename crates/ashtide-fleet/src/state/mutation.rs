//! Mutations: faults put in on purpose, to show that the checks find them. Without the feature `mutation`, which only
//! tests turn on, none can be chosen and [`ActiveMutation::is`] is a constant `false`.

/// One fault put in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// Counts are merged by adding.
    MergeBySum,
    /// A row's incarnation is ignored.
    IgnoreIncarnation,
    /// A lease request that comes late or twice is taken as new.
    AcceptRepeatedRequest,
    /// A grant that the holder has not confirmed is not booked.
    ForgetUnconfirmedGrant,
    /// A grant that comes late or twice is taken as the answer to the outstanding request.
    AcceptRepeatedGrant,
    /// A lease does not end at its holder.
    NoExpiry,
    /// A lease runs from the moment at which its grant is received.
    LeaseFromGrantTime,
    /// A restarted grantor lends at once what its earlier process had lent.
    #[cfg(feature = "mutation")]
    NoLendingDelay,
    /// One observer is enough.
    NoQuorum,
    /// A larger share is used as soon as it is read.
    RaiseShareImmediately,
    /// A gateway commits to new settings while more is lent by the old ones.
    CommitBeforeLeasesEnd,
    /// A gateway at a later generation counts as committed to this one.
    CountLaterGeneration,
    /// A restarted gateway goes by its file alone.
    #[cfg(feature = "mutation")]
    ForgetCommitment,
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
