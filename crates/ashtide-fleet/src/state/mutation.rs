//! Mutations: deliberate faults, which show that the invariant checks detect them. Only tests enable the
//! feature `mutation`. Without it no mutation can be activated, and [`ActiveMutation::is`] always returns
//! `false`.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// Merges counts by addition.
    MergeBySum,
    /// Ignores the incarnation of a row.
    IgnoreIncarnation,
    /// Accepts a delayed or repeated lease request as a new one.
    AcceptRepeatedRequest,
    /// Books only the units that the holder has confirmed.
    ForgetUnconfirmedGrant,
    /// Accepts a delayed or repeated grant as the answer to the outstanding request.
    AcceptRepeatedGrant,
    /// Does not end a lease at its holder.
    NoExpiry,
    /// Measures a lease from the receipt of its grant.
    LeaseFromGrantTime,
    /// Lets a restarted grantor immediately lend the units that its earlier process had lent.
    #[cfg(feature = "mutation")]
    NoLendingDelay,
    /// Requires one observer instead of a quorum.
    NoQuorum,
    /// Uses a larger share as soon as it is read.
    RaiseShareImmediately,
    /// Commits to new settings while more units are lent than the new share allows.
    CommitBeforeLeasesEnd,
    /// Counts a gateway at a later generation as committed to the current one.
    CountLaterGeneration,
    /// Ignores the persisted allocation after a restart and uses the shares of the settings.
    #[cfg(feature = "mutation")]
    ForgetCommitment,
}

/// The active mutation of a component, if any.
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
    #[allow(clippy::unused_self)] // The signature must match the one with the feature.
    pub(crate) fn is(self, _: Mutation) -> bool {
        false
    }
}
