//! Faults put in on purpose, to show that the checks find them. Without the feature `broken`, which only tests turn
//! on, none can be chosen and [`Fault::is`] is a constant `false`.

/// One fault put in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// Counts are merged by adding.
    MergeBySum,
    /// A register's generation is not looked at.
    IgnoreIncarnation,
    /// An ask that comes late or twice is taken as new.
    AcceptRepeatedRequest,
    /// A grant that the holder has not confirmed is not booked.
    ForgetUnconfirmedGrant,
    /// A grant that comes late or twice is taken as an answer to the ask that is out.
    AcceptRepeatedGrant,
    /// A lease does not end at its holder.
    NoExpiry,
    /// A lease is counted from the moment the grant is heard.
    LeaseFromGrantTime,
    /// A restarted grantor lends at once what its earlier life had lent.
    #[cfg(feature = "broken")]
    NoLendingDelay,
    /// One observer is enough.
    NoQuorum,
    /// A larger root is used as soon as it is read.
    RaiseShareImmediately,
    /// A gateway says that it is at the new settings while more is on loan by the old.
    CommitBeforeLeasesEnd,
    /// Who is at a later generation counts as being at this one.
    CountLaterGeneration,
    /// A restarted gateway goes by its file alone.
    #[cfg(feature = "broken")]
    ForgetCommitment,
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
