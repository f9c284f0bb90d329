//! One gateway's copy of the agreed queue, and the lease during which the gateway may act on it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::mutation::{ActiveMutation, Mutation};
use crate::queue::MaintenanceQueue;

/// Copy of the queue with a lease. The lease starts when the read of the queue was sent, not when its answer
/// arrived.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeasedState {
    lease: Duration,
    /// Time of the read by this gateway's own clock. `None` before the first read, and after the clock was
    /// set back.
    requested_at: Option<Duration>,
    queue: MaintenanceQueue,
    mutation: ActiveMutation,
}

impl LeasedState {
    /// Creates an empty copy without a lease. A learned queue may be acted on for `lease`.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            requested_at: None,
            queue: MaintenanceQueue::default(),
            mutation: ActiveMutation::default(),
        }
    }

    /// Activates a mutation.
    #[cfg(feature = "mutation")]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation.mutation = Some(mutation);
    }

    /// Stores a queue that was current when it was requested, and renews the lease. A queue with a lower
    /// version than the stored one is ignored. Returns whether the queue or its lease is newer than before.
    pub fn learn(&mut self, requested_at: Duration, now: Duration, queue: &MaintenanceQueue) -> bool {
        let starts_at_answer = self.mutation.is(Mutation::LeaseFromAnswerTime);
        let requested_at = if starts_at_answer { now } else { requested_at };
        if queue.version < self.queue.version {
            return false;
        }
        let renews_lease = self.requested_at.is_none_or(|previous| requested_at > previous);
        let is_newer = queue.version > self.queue.version;
        if renews_lease {
            self.requested_at = Some(requested_at);
        }
        if is_newer {
            self.queue.clone_from(queue);
        }
        is_newer || renews_lease
    }

    /// Ends the lease. Called after the clock was set back, because the remaining time of the lease is then
    /// unknown.
    pub fn invalidate(&mut self) {
        self.requested_at = None;
    }

    /// Returns the time at which the queue was requested, or `None` if the lease has expired.
    #[must_use]
    pub fn valid_as_of(&self, now: Duration) -> Option<Duration> {
        let is_valid =
            |requested_at: &Duration| now < *requested_at + self.lease || self.mutation.is(Mutation::NoLease);
        self.requested_at.filter(is_valid)
    }

    /// Returns the time at which the queue was requested, also after the lease has expired.
    #[must_use]
    pub fn requested_at(&self) -> Option<Duration> {
        self.requested_at
    }

    /// Returns the last learned queue, also after the lease has expired.
    #[must_use]
    pub fn queue(&self) -> &MaintenanceQueue {
        &self.queue
    }

    /// Returns the machines that are cordoned at `now`, with their fencing tokens. Empty if the lease has
    /// expired.
    #[must_use]
    pub fn machines_out(&self, now: Duration) -> BTreeMap<String, u64> {
        match self.valid_as_of(now) {
            Some(_) => self.queue.machines_out().map(|(entry, token)| (entry.name.clone(), token)).collect(),
            None => BTreeMap::new(),
        }
    }
}
