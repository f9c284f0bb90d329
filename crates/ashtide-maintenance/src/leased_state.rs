//! What one gateway knows of the agreed queue, and for how long it may act on that.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::mutation::{ActiveMutation, Mutation};
use crate::queue::MaintenanceQueue;

/// The queue as one gateway knows it, with a lease that runs from the time at which it was requested.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeasedState {
    lease: Duration,
    /// By this gateway's own clock; none where nothing is known, or the clock was put back.
    requested_at: Option<Duration>,
    queue: MaintenanceQueue,
    mutation: ActiveMutation,
}

impl LeasedState {
    /// Knows nothing; what it learns may be acted on for `lease`.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            requested_at: None,
            queue: MaintenanceQueue::default(),
            mutation: ActiveMutation::default(),
        }
    }

    /// Puts a mutation in.
    #[cfg(feature = "mutation")]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation.mutation = Some(mutation);
    }

    /// Learns that the value was at least this new when it was requested. An older one than what is known changes
    /// nothing. True where the value or its lease is newer now.
    pub fn learn(&mut self, requested_at: Duration, now: Duration, queue: &MaintenanceQueue) -> bool {
        let from_answer = self.mutation.is(Mutation::LeaseFromAnswerTime);
        let requested_at = if from_answer { now } else { requested_at };
        if queue.version < self.queue.version {
            return false;
        }
        let renews_lease = self.requested_at.is_none_or(|known| requested_at > known);
        let is_newer = queue.version > self.queue.version;
        if renews_lease {
            self.requested_at = Some(requested_at);
        }
        if is_newer {
            self.queue.clone_from(queue);
        }
        is_newer || renews_lease
    }

    /// Ends the lease: the clock was put back, so nobody knows how much of it is left.
    pub fn invalidate(&mut self) {
        self.requested_at = None;
    }

    /// When the value was requested, while its lease lasts.
    #[must_use]
    pub fn valid_as_of(&self, now: Duration) -> Option<Duration> {
        let lasts =
            |requested_at: &Duration| now < *requested_at + self.lease || self.mutation.is(Mutation::NoLease);
        self.requested_at.filter(lasts)
    }

    /// When the value was requested, however long ago.
    #[must_use]
    pub fn requested_at(&self) -> Option<Duration> {
        self.requested_at
    }

    /// The last value learned, however long ago.
    #[must_use]
    pub fn queue(&self) -> &MaintenanceQueue {
        &self.queue
    }

    /// The machines that are to be kept out now, with their tokens.
    #[must_use]
    pub fn machines_out(&self, now: Duration) -> BTreeMap<String, u64> {
        match self.valid_as_of(now) {
            Some(_) => self.queue.machines_out().map(|(entry, token)| (entry.name.clone(), token)).collect(),
            None => BTreeMap::new(),
        }
    }
}
