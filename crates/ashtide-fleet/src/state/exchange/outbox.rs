//! The queues of messages to be sent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::message::{StateMessage, append_message};
use super::super::{Slot, Violation};
use crate::MAX_DATAGRAM;

/// Maximum number of messages queued for one gateway.
pub(super) const MAX_QUEUED_MESSAGES: usize = 128;
/// Maximum number of gateways with queued messages.
const MAX_DESTINATIONS: usize = 512;

/// Queued messages, ordered by priority and then by message ID.
type Queue = BTreeMap<(u8, u64), StateMessage>;

/// The queued messages of each gateway, and a token bucket that limits the rate of datagrams.
#[derive(Default)]
pub(super) struct Outbox {
    queues: BTreeMap<Slot, Queue>,
    last_message_id: u64,
    /// Number of datagrams that may be sent now.
    tokens: f64,
}

impl Outbox {
    /// Drops the messages queued for gateways outside `destinations`.
    pub(super) fn retain_destinations(&mut self, destinations: &BTreeSet<Slot>) {
        self.queues.retain(|slot, _| destinations.contains(slot));
    }

    /// Queues a message for a gateway. Returns the number of messages dropped for it.
    pub(super) fn enqueue(&mut self, to: Slot, message: StateMessage) -> u64 {
        if self.queues.len() >= MAX_DESTINATIONS && !self.queues.contains_key(&to) {
            return 1;
        }
        let queue = self.queues.entry(to).or_default();
        queue.retain(|_, queued| !queued.is_replaced_by(&message));
        self.last_message_id += 1;
        queue.insert((message.priority(), self.last_message_id), message);
        if queue.len() <= MAX_QUEUED_MESSAGES {
            return 0;
        }
        queue.pop_last();
        1
    }

    /// Adds the tokens of the elapsed time. The bucket stores at most the tokens of one second.
    pub(super) fn add_tokens(&mut self, per_second: f64, elapsed: Duration) {
        self.tokens = (self.tokens + per_second * elapsed.as_secs_f64()).min(per_second);
    }

    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(super) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the gateway that the queued message of the highest priority is for.
    pub(super) fn next_destination(&self) -> Option<Slot> {
        let nonempty = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        nonempty.min_by_key(|(_, queue)| queue.keys().next().copied()).map(|(&slot, _)| slot)
    }

    /// Moves queued messages for `to` into a datagram of at most `max_len` bytes. Returns the number of moved
    /// messages.
    pub(super) fn fill_datagram(&mut self, to: Slot, bytes: &mut Vec<u8>, max_len: usize) -> usize {
        let Some(queue) = self.queues.get_mut(&to) else { return 0 };
        let mut sent = 0;
        while let Some(entry) = queue.first_entry() {
            if !append_message(bytes, entry.get(), max_len.min(MAX_DATAGRAM)) {
                break;
            }
            entry.remove();
            sent += 1;
        }
        if queue.is_empty() {
            self.queues.remove(&to);
        }
        sent
    }

    pub(super) fn check(&self) -> Result<(), Violation> {
        let longest = self.queues.values().map(BTreeMap::len).max().unwrap_or(0);
        Violation::check_size("destinations with queued messages", self.queues.len(), MAX_DESTINATIONS)?;
        Violation::check_size("messages queued for a gateway", longest, MAX_QUEUED_MESSAGES)
    }
}
