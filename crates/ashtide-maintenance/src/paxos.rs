//! Replicated value stored by a majority of acceptors: CASPaxos (Rystsov 2018), which is single-decree Paxos
//! in which each round reads the complete value, changes it and writes it back. It has no leader and no log.

use std::collections::BTreeSet;
use std::time::Duration;

use ashtide_fleet::state::Slot;
use serde::{Deserialize, Serialize};

use crate::queue::MaintenanceQueue;

/// Identifier of one proposal. Ballots are unique: the rounds of a gateway increase within an incarnation,
/// and the incarnations of a gateway have different numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Round, higher than every round that the proposer has received.
    pub round: u32,
    /// Slot of the proposer.
    pub slot: u16,
    /// Incarnation of the proposer.
    pub incarnation: u64,
}

impl Ballot {
    /// Ballot of the initial value, the empty queue, which no proposer has written.
    pub const NONE: Self = Self { round: 0, slot: 0, incarnation: 0 };
}

/// State that an acceptor must persist across restarts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AcceptorState {
    /// Highest promised ballot. Proposals with lower ballots are rejected.
    pub promised: Ballot,
    /// Ballot under which the value was accepted.
    pub accepted: Ballot,
    /// Accepted value.
    pub queue: MaintenanceQueue,
}

/// Error of a proposal whose ballot is lower than the promised one. Contains the promised ballot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("ballot is stale: the acceptor has promised {0:?}")]
pub struct StaleBallot(pub Ballot);

/// Acceptor. A changed state must be persisted before the answer is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    state: AcceptorState,
}

impl Acceptor {
    /// Creates an acceptor that continues from this state.
    #[must_use]
    pub fn new(state: AcceptorState) -> Self {
        Self { state }
    }

    /// Returns the state that must be persisted.
    #[must_use]
    pub fn state(&self) -> &AcceptorState {
        &self.state
    }

    /// Promises to reject earlier ballots. Returns whether the state has changed and must be persisted.
    ///
    /// # Errors
    ///
    /// Fails if a later ballot has been promised.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<bool, StaleBallot> {
        self.check_promise(ballot)?;
        let has_changed = ballot > self.state.promised;
        self.state.promised = ballot;
        Ok(has_changed)
    }

    /// Accepts the value of a ballot. Returns whether the state has changed and must be persisted.
    ///
    /// # Errors
    ///
    /// Fails if a later ballot has been promised.
    pub fn accept(&mut self, ballot: Ballot, queue: &MaintenanceQueue) -> Result<bool, StaleBallot> {
        self.check_promise(ballot)?;
        if ballot == self.state.accepted {
            return Ok(false);
        }
        self.state = AcceptorState { promised: ballot, accepted: ballot, queue: queue.clone() };
        Ok(true)
    }

    fn check_promise(&self, ballot: Ballot) -> Result<(), StaleBallot> {
        if ballot < self.state.promised { Err(StaleBallot(self.state.promised)) } else { Ok(()) }
    }
}

/// Returns the size of a majority of `acceptors`.
#[must_use]
pub fn majority(acceptors: usize) -> usize {
    acceptors / 2 + 1
}

/// Value with the ballot under which it was accepted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct AcceptedValue {
    ballot: Ballot,
    queue: MaintenanceQueue,
}

/// Round of a proposer: first a majority promises, then a majority accepts the changed value. A proposal is
/// cancelled after a time-out, which bounds the period during which it may use the answers of acceptors.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// Ballot of the proposal.
    pub ballot: Ballot,
    /// Start time. A chosen value is current as of this time.
    pub started_at: Duration,
    acceptors: BTreeSet<Slot>,
    quorum: usize,
    promises: BTreeSet<Slot>,
    newest_accepted: AcceptedValue,
    value: Option<MaintenanceQueue>,
    accepts: BTreeSet<Slot>,
}

impl Proposal {
    /// Creates a proposal to these acceptors.
    #[must_use]
    pub fn new(ballot: Ballot, started_at: Duration, acceptors: impl IntoIterator<Item = Slot>) -> Self {
        let acceptors: BTreeSet<Slot> = acceptors.into_iter().collect();
        Self {
            ballot,
            started_at,
            quorum: majority(acceptors.len()),
            acceptors,
            promises: BTreeSet::new(),
            newest_accepted: AcceptedValue::default(),
            value: None,
            accepts: BTreeSet::new(),
        }
    }

    #[cfg(feature = "mutation")]
    pub(crate) fn set_quorum(&mut self, quorum: usize) {
        self.quorum = quorum;
    }

    /// Handles an acceptor's promise, which contains its accepted value. Returns the value to change once a
    /// majority has promised.
    pub fn handle_promise(
        &mut self,
        from: Slot,
        ballot: Ballot,
        accepted: Ballot,
        queue: MaintenanceQueue,
    ) -> Option<MaintenanceQueue> {
        if ballot != self.ballot || self.value.is_some() || !self.acceptors.contains(&from) {
            return None;
        }
        self.promises.insert(from);
        if accepted > self.newest_accepted.ballot {
            self.newest_accepted = AcceptedValue { ballot: accepted, queue };
        }
        (self.promises.len() >= self.quorum).then(|| self.newest_accepted.queue.clone())
    }

    /// Sets the changed value and starts the second phase, in which acceptors accept it.
    pub fn propose(&mut self, queue: MaintenanceQueue) {
        self.value = Some(queue);
    }

    /// Returns the proposed value, or `None` during the first phase.
    #[must_use]
    pub fn proposed(&self) -> Option<&MaintenanceQueue> {
        self.value.as_ref()
    }

    /// Handles the confirmation of an acceptor that it has accepted the value. Returns whether a majority has
    /// done so.
    pub fn handle_accepted(&mut self, from: Slot, ballot: Ballot) -> bool {
        if ballot != self.ballot || self.value.is_none() || !self.acceptors.contains(&from) {
            return false;
        }
        self.accepts.insert(from);
        self.accepts.len() >= self.quorum
    }

    /// Returns the acceptors that have not answered in the current phase.
    pub fn unanswered(&self) -> impl Iterator<Item = Slot> + '_ {
        let answered = if self.value.is_some() { &self.accepts } else { &self.promises };
        self.acceptors.iter().copied().filter(move |acceptor| !answered.contains(acceptor))
    }
}
