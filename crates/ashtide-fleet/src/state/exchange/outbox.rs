//! Messages that wait to be sent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::message::{StateMessage, append_message};
use super::super::{Slot, Violation};
use crate::MAX_DATAGRAM;

/// Messages that wait for one gateway.
pub(super) const MAX_QUEUED_MESSAGES: usize = 128;
/// Gateways that any messages wait for.
const MAX_DESTINATIONS: usize = 512;

/// By priority, then in the order in which they came.
type Queue = BTreeMap<(u8, u64), StateMessage>;

/// The messages that wait, by gateway, and the tokens of the datagrams that may be sent.
#[derive(Default)]
pub(super) struct Outbox {
    queues: BTreeMap<Slot, Queue>,
    last_message_id: u64,
    tokens: f64,
}

impl Outbox {
    /// Drops what waits for other gateways than these.
    pub(super) fn retain_destinations(&mut self, destinations: &BTreeSet<Slot>) {
        self.queues.retain(|slot, _| destinations.contains(slot));
    }

    /// Queues a message for a gateway; gives how many messages were dropped.
    pub(super) fn enqueue(&mut self, to: Slot, message: StateMessage) -> u64 {
        if self.queues.len() >= MAX_DESTINATIONS && !self.queues.contains_key(&to) {
            return 1;
        }
        let queue = self.queues.entry(to).or_default();
        queue.retain(|_, waiting| !waiting.is_replaced_by(&message));
        self.last_message_id += 1;
        queue.insert((message.priority(), self.last_message_id), message);
        if queue.len() <= MAX_QUEUED_MESSAGES {
            return 0;
        }
        queue.pop_last();
        1
    }

    /// Adds the tokens of the time that has passed; a second's tokens are stored at most.
    pub(super) fn add_tokens(&mut self, per_second: f64, passed: Duration) {
        self.tokens = (self.tokens + per_second * passed.as_secs_f64()).min(per_second);
    }

    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(super) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// The gateway that the most useful message waits for.
    pub(super) fn next_destination(&self) -> Option<Slot> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.min_by_key(|(_, queue)| queue.keys().next().copied()).map(|(&slot, _)| slot)
    }

    /// Moves what waits for `to` into a datagram of at most `room` bytes; gives how many messages that were.
    pub(super) fn fill_datagram(&mut self, to: Slot, bytes: &mut Vec<u8>, room: usize) -> usize {
        let Some(queue) = self.queues.get_mut(&to) else { return 0 };
        let mut sent = 0;
        while let Some(entry) = queue.first_entry() {
            if !append_message(bytes, entry.get(), room.min(MAX_DATAGRAM)) {
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
        Violation::check_size("peers waited for", self.queues.len(), MAX_DESTINATIONS)?;
        Violation::check_size("items for a peer", longest, MAX_QUEUED_MESSAGES)
    }
}
