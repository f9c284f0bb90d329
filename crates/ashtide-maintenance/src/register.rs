//! One value that a majority of voters keeps, changed as a whole: CASPaxos (Rystsov 2018), single-decree Paxos whose
//! value is read, changed and written in each round. No leader and no log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashtide_fleet::state::Slot;
use serde::{Deserialize, Serialize};

use crate::broken::{ActiveMutation, Mutation};
use crate::table::MaintenanceQueue;

/// One attempt to change the value. No two attempts share one: a gateway counts rounds up within a life, and no two
/// lives of it are of one number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than every round its proposer has heard of.
    pub round: u32,
    /// Its proposer.
    pub slot: u16,
    /// Its proposer's life.
    pub incarnation: u64,
}

impl Ballot {
    /// That of a value which nobody has written: the empty table.
    pub const NONE: Self = Self { round: 0, slot: 0, incarnation: 0 };
}

/// What a voter must never forget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AcceptorState {
    /// No ballot below this is answered any more.
    pub promised: Ballot,
    /// The ballot of the value.
    pub accepted: Ballot,
    /// The value.
    pub queue: MaintenanceQueue,
}

/// A ballot that comes too late, and the one that has been promised since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a later round has begun")]
pub struct StaleBallot(pub Ballot);

/// One voter. What changes here must be on disk before the answer leaves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    state: AcceptorState,
}

impl Acceptor {
    /// A voter with this memory.
    #[must_use]
    pub fn new(vote: AcceptorState) -> Self {
        Self { state: vote }
    }

    /// What it must never forget.
    #[must_use]
    pub fn state(&self) -> &AcceptorState {
        &self.state
    }

    /// Answers no earlier ballot from now on; says whether that is news that has to be on disk.
    ///
    /// # Errors
    ///
    /// Fails where a later ballot has been promised.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<bool, StaleBallot> {
        if ballot < self.state.promised {
            return Err(StaleBallot(self.state.promised));
        }
        let news = ballot > self.state.promised;
        self.state.promised = ballot;
        Ok(news)
    }

    /// Takes the value of a ballot; says whether that is news that has to be on disk.
    ///
    /// # Errors
    ///
    /// Fails where a later ballot has been promised.
    pub fn accept(&mut self, ballot: Ballot, table: &MaintenanceQueue) -> Result<bool, StaleBallot> {
        if ballot < self.state.promised {
            return Err(StaleBallot(self.state.promised));
        }
        if ballot == self.state.accepted {
            return Ok(false);
        }
        self.state = AcceptorState { promised: ballot, accepted: ballot, queue: table.clone() };
        Ok(true)
    }
}

/// How many of so many voters are a majority.
#[must_use]
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// A proposer's round: first a majority promises, then a majority takes the changed value. It is given up after a
/// while, so that what voters answered is of no use to it for longer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// Its ballot.
    pub ballot: Ballot,
    /// When it began; what it ends with is known as of then.
    pub started_at: Duration,
    acceptors: BTreeSet<Slot>,
    quorum: usize,
    promises: BTreeSet<Slot>,
    newest_accepted: (Ballot, MaintenanceQueue),
    value: Option<MaintenanceQueue>,
    accepts: BTreeSet<Slot>,
}

impl Proposal {
    /// A round among these voters.
    #[must_use]
    pub fn new(ballot: Ballot, began: Duration, voters: impl IntoIterator<Item = Slot>) -> Self {
        let voters: BTreeSet<Slot> = voters.into_iter().collect();
        let needed = majority(voters.len());
        let (promises, accepts) = (BTreeSet::new(), BTreeSet::new());
        let best = (Ballot::NONE, MaintenanceQueue::default());
        Self {
            ballot,
            started_at: began,
            acceptors: voters,
            quorum: needed,
            promises,
            newest_accepted: best,
            value: None,
            accepts,
        }
    }

    #[cfg(feature = "broken")]
    pub(crate) fn set_quorum(&mut self, needed: usize) {
        self.quorum = needed;
    }

    /// A voter's promise, and the value it has. Gives the value to be changed once a majority has promised.
    pub fn handle_promise(
        &mut self,
        from: Slot,
        ballot: Ballot,
        accepted: Ballot,
        table: MaintenanceQueue,
    ) -> Option<MaintenanceQueue> {
        if ballot != self.ballot || self.value.is_some() || !self.acceptors.contains(&from) {
            return None;
        }
        self.promises.insert(from);
        if accepted > self.newest_accepted.0 {
            self.newest_accepted = (accepted, table);
        }
        (self.promises.len() >= self.quorum).then(|| self.newest_accepted.1.clone())
    }

    /// The changed value, from now on offered to the voters.
    pub fn propose(&mut self, table: MaintenanceQueue) {
        self.value = Some(table);
    }

    /// What is offered.
    #[must_use]
    pub fn proposed(&self) -> Option<&MaintenanceQueue> {
        self.value.as_ref()
    }

    /// A voter has taken the value. True once a majority has.
    pub fn handle_accepted(&mut self, from: Slot, ballot: Ballot) -> bool {
        if ballot != self.ballot || self.value.is_none() || !self.acceptors.contains(&from) {
            return false;
        }
        self.accepts.insert(from);
        self.accepts.len() >= self.quorum
    }

    /// Who has not answered yet what the round waits for.
    pub fn unanswered(&self) -> impl Iterator<Item = Slot> + '_ {
        let answered = if self.value.is_some() { &self.accepts } else { &self.promises };
        self.acceptors.iter().copied().filter(move |voter| !answered.contains(voter))
    }
}

/// What a gateway knows of the value, and since when at least it was so.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeasedState {
    lease: Duration,
    /// When it was asked for, by this gateway's own clock.
    requested_at: Option<Duration>,
    queue: MaintenanceQueue,
    mutation: ActiveMutation,
}

impl LeasedState {
    /// Knows nothing; what it will know may be acted on for so long.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            requested_at: None,
            queue: MaintenanceQueue::default(),
            mutation: ActiveMutation::default(),
        }
    }

    /// Puts a fault in.
    #[cfg(feature = "broken")]
    pub fn set_mutation(&mut self, broken: Mutation) {
        self.mutation.mutation = Some(broken);
    }

    /// The value was at least this new when it was asked for. Older ones than what is known are left.
    pub fn learn(&mut self, asked: Duration, now: Duration, table: &MaintenanceQueue) -> bool {
        let asked = if self.mutation.is(Mutation::LeaseFromAnswerTime) { now } else { asked };
        if table.version < self.queue.version {
            return false;
        }
        let (later, news) =
            (self.requested_at.is_none_or(|it| asked > it), table.version > self.queue.version);
        if later {
            self.requested_at = Some(asked);
        }
        if news {
            self.queue.clone_from(table);
        }
        news || later
    }

    /// Forgets since when it knows: time went back, so nobody knows how long that was.
    pub fn invalidate(&mut self) {
        self.requested_at = None;
    }

    /// When it asked for what it acts on now, if that is not too long ago.
    #[must_use]
    pub fn valid_as_of(&self, now: Duration) -> Option<Duration> {
        let lasts = |asked: &Duration| now < *asked + self.lease || self.mutation.is(Mutation::NoLease);
        self.requested_at.filter(lasts)
    }

    /// When it asked for what it knows.
    #[must_use]
    pub fn requested_at(&self) -> Option<Duration> {
        self.requested_at
    }

    /// The last value that it heard of, however long ago.
    #[must_use]
    pub fn queue(&self) -> &MaintenanceQueue {
        &self.queue
    }

    /// The machines it keeps out now, with their tokens.
    #[must_use]
    pub fn machines_out(&self, now: Duration) -> BTreeMap<String, u64> {
        match self.valid_as_of(now) {
            Some(_) => self.queue.machines_out().map(|(row, token)| (row.name.clone(), token)).collect(),
            None => BTreeMap::new(),
        }
    }
}
