//! One value that a majority of acceptors keeps, changed as a whole: CASPaxos (Rystsov 2018), single-decree Paxos whose
//! value is read, changed and written in each round. No leader and no log.

use std::collections::BTreeSet;
use std::time::Duration;

use ashtide_fleet::state::Slot;
use serde::{Deserialize, Serialize};

use crate::queue::MaintenanceQueue;

/// Identifies one proposal. No two share a ballot: a gateway counts rounds up within an incarnation, and no two
/// incarnations of it have one number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than every round its proposer has heard of.
    pub round: u32,
    /// The proposer's slot.
    pub slot: u16,
    /// The proposer's incarnation.
    pub incarnation: u64,
}

impl Ballot {
    /// The ballot of a value that nobody has written: the empty queue.
    pub const NONE: Self = Self { round: 0, slot: 0, incarnation: 0 };
}

/// What an acceptor must never forget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AcceptorState {
    /// No ballot below this is answered any more.
    pub promised: Ballot,
    /// The ballot of the value.
    pub accepted: Ballot,
    /// The value.
    pub queue: MaintenanceQueue,
}

/// A ballot that comes too late; holds the one that has been promised since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a later round has begun")]
pub struct StaleBallot(pub Ballot);

/// One acceptor. What changes here must be on disk before the answer leaves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    state: AcceptorState,
}

impl Acceptor {
    /// An acceptor that goes on from this state.
    #[must_use]
    pub fn new(state: AcceptorState) -> Self {
        Self { state }
    }

    /// What it must never forget.
    #[must_use]
    pub fn state(&self) -> &AcceptorState {
        &self.state
    }

    /// Promises to answer no earlier ballot. True where that changed the state, which then has to be persisted.
    ///
    /// # Errors
    ///
    /// Fails where a later ballot has been promised.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<bool, StaleBallot> {
        self.check_promise(ballot)?;
        let has_changed = ballot > self.state.promised;
        self.state.promised = ballot;
        Ok(has_changed)
    }

    /// Accepts the value of a ballot. True where that changed the state, which then has to be persisted.
    ///
    /// # Errors
    ///
    /// Fails where a later ballot has been promised.
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

/// How many of so many acceptors are a majority.
#[must_use]
pub fn majority(acceptors: usize) -> usize {
    acceptors / 2 + 1
}

/// A value with the ballot under which it was accepted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct AcceptedValue {
    ballot: Ballot,
    queue: MaintenanceQueue,
}

/// A proposer's round: first a majority promises, then a majority accepts the changed value. It is given up after a
/// while, so that the answers of acceptors are of no use to it for longer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// Its ballot.
    pub ballot: Ballot,
    /// When it began; its result is known as of then.
    pub started_at: Duration,
    acceptors: BTreeSet<Slot>,
    quorum: usize,
    promises: BTreeSet<Slot>,
    newest_accepted: AcceptedValue,
    value: Option<MaintenanceQueue>,
    accepts: BTreeSet<Slot>,
}

impl Proposal {
    /// A round among these acceptors.
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

    /// Handles an acceptor's promise, with the value it has. Gives the value to be changed once a majority has
    /// promised.
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

    /// Proposes the changed value to the acceptors from now on.
    pub fn propose(&mut self, queue: MaintenanceQueue) {
        self.value = Some(queue);
    }

    /// The value that is proposed.
    #[must_use]
    pub fn proposed(&self) -> Option<&MaintenanceQueue> {
        self.value.as_ref()
    }

    /// Handles that an acceptor has accepted the value. True once a majority has.
    pub fn handle_accepted(&mut self, from: Slot, ballot: Ballot) -> bool {
        if ballot != self.ballot || self.value.is_none() || !self.acceptors.contains(&from) {
            return false;
        }
        self.accepts.insert(from);
        self.accepts.len() >= self.quorum
    }

    /// The acceptors that have not answered yet what the round waits for.
    pub fn unanswered(&self) -> impl Iterator<Item = Slot> + '_ {
        let answered = if self.value.is_some() { &self.accepts } else { &self.promises };
        self.acceptors.iter().copied().filter(move |acceptor| !answered.contains(acceptor))
    }
}
