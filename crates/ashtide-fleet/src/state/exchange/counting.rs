//! Replication of counts: which gateways store which counts, and how the replicas stay up to date.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::message::StateMessage;
use super::super::{CounterKey, FleetTotal, MAX_CELLS, ReplicatedCounts, Slot, mix, rendezvous};
use super::Exchange;

/// Number of gateways that send their count of a key. In a fleet of at most this size the sum is exact; in a
/// larger one it is the sum of a sample.
pub const SAMPLE_SIZE: usize = 64;
/// Number of gateways that store the counts of a key.
pub const REPLICAS: usize = 2;
/// Minimum number of key groups.
const MIN_KEY_GROUPS: u64 = 8;
/// Number of slots per key group.
const SLOTS_PER_GROUP: u16 = 16;
/// Distinguishes key groups from other rendezvous hashes.
const GROUP_SALT: u64 = 4;
/// Number of rounds between two digests of the sent counts.
const ROUNDS_PER_DIGEST: u32 = 3;
/// Maximum number of counts in a snapshot.
const MAX_SNAPSHOT_COUNTS: usize = 96;
/// Maximum number of cached totals of other gateways.
const MAX_CACHED_TOTALS: usize = 256;

/// A total received from another gateway.
struct CachedTotal {
    total: FleetTotal,
    received_at: Duration,
}

/// The position of a digest in the sequence of digests of a gateway.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DigestNumber {
    incarnation: u64,
    round: u32,
}

/// The counts and the state of their replication.
pub(super) struct CountSync {
    pub(super) counts: ReplicatedCounts,
    /// Gateways that each key of this gateway is sent to. They are chosen again when the peers change.
    recipients: BTreeMap<CounterKey, Vec<Slot>>,
    /// Keys whose counts have changed since the last round.
    changed: BTreeSet<CounterKey>,
    /// Cache of whether this gateway is a replica of a key. It is cleared when the peers change.
    is_replica: BTreeMap<CounterKey, bool>,
    last_digests: BTreeMap<Slot, DigestNumber>,
    cached_totals: BTreeMap<CounterKey, CachedTotal>,
    round: u32,
}

impl CountSync {
    pub(super) fn new(own_slot: Slot, incarnation: u64, now: Duration) -> Self {
        Self {
            counts: ReplicatedCounts::new(own_slot, incarnation, now),
            recipients: BTreeMap::new(),
            changed: BTreeSet::new(),
            is_replica: BTreeMap::new(),
            last_digests: BTreeMap::new(),
            cached_totals: BTreeMap::new(),
            round: 0,
        }
    }

    /// Returns the digest of the counts of this gateway that are sent to `recipient`.
    fn digest_for(&self, recipient: Slot) -> u64 {
        let sent = self.recipients.iter().filter(|(_, slots)| slots.contains(&recipient));
        let own = &self.counts.own_row().cells;
        counts_digest(sent.filter_map(|(key, _)| own.get(key).map(|count| (*key, count.version))))
    }

    fn all_recipients(&self) -> BTreeSet<Slot> {
        self.recipients.values().flatten().copied().collect()
    }
}

impl Exchange {
    /// Returns the replicated counts.
    #[must_use]
    pub fn counts(&self) -> &ReplicatedCounts {
        &self.counting.counts
    }

    /// Chooses the recipients of all counts again after the peers have changed.
    pub(super) fn rechoose_recipients(&mut self) {
        self.counting.is_replica.clear();
        let keys: Vec<CounterKey> = std::mem::take(&mut self.counting.recipients).into_keys().collect();
        for key in keys {
            let recipients = self.choose_recipients(key);
            self.counting.recipients.insert(key, recipients);
        }
    }

    /// Removes the counts of this gateway that are zero, at all gateways. The other counts are sent again
    /// under `incarnation`, which must be later than the current incarnation and earlier than that of any
    /// later process.
    pub fn reset_counts(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        let counting = &mut self.counting;
        counting.counts.restart(incarnation);
        let own = counting.counts.own_row();
        counting.recipients.retain(|key, _| own.cells.contains_key(key));
        counting.changed = counting.recipients.keys().copied().collect();
    }

    /// Sets a count of this gateway.
    pub fn set_count(&mut self, key: CounterKey, value: u32) {
        let before = self.counting.counts.own_row().cells.get(&key).copied();
        self.counting.counts.set(key, value);
        if before == self.counting.counts.own_row().cells.get(&key).copied() {
            return;
        }
        self.counting.changed.insert(key);
        if !self.counting.recipients.contains_key(&key) {
            let recipients = self.choose_recipients(key);
            self.counting.recipients.insert(key, recipients);
        }
    }

    /// Returns the group of a key. All keys of a group have the same sample and replicas, so that a gateway
    /// sends a few long datagrams and not many short ones.
    fn key_group(&self, key: CounterKey) -> u64 {
        let groups = u64::from(self.config.slot_count / SLOTS_PER_GROUP).max(MIN_KEY_GROUPS);
        mix(GROUP_SALT, key_hash(key) % groups)
    }

    fn replicas(&self, key: CounterKey) -> Vec<Slot> {
        rendezvous(self.key_group(key), self.all_gateways(), REPLICAS)
    }

    /// Returns the gateways that the count of a key is sent to; empty if this gateway is not in the sample of
    /// the key.
    fn choose_recipients(&self, key: CounterKey) -> Vec<Slot> {
        let sample_key = !self.key_group(key);
        if self.peers.len() >= SAMPLE_SIZE
            && !rendezvous(sample_key, self.all_gateways(), SAMPLE_SIZE).contains(&self.own_slot)
        {
            return Vec::new();
        }
        let mut replicas = self.replicas(key);
        replicas.retain(|&slot| slot != self.own_slot);
        replicas
    }

    fn is_replica_of(&mut self, key: CounterKey) -> bool {
        if let Some(&is_replica) = self.counting.is_replica.get(&key) {
            return is_replica;
        }
        let is_replica = self.replicas(key).contains(&self.own_slot);
        if self.counting.is_replica.len() >= MAX_CELLS * 4 {
            self.counting.is_replica.clear();
        }
        self.counting.is_replica.insert(key, is_replica);
        is_replica
    }

    /// Returns the known total of a count. If this gateway is no replica of the key, requests the total from
    /// a replica and returns the last one received; `None` if none was received, which does not mean zero.
    pub fn fleet_total(&mut self, key: CounterKey) -> Option<FleetTotal> {
        if self.is_replica_of(key) {
            return Some(self.counting.counts.total(key));
        }
        if let Some(&replica) = self.replicas(key).first() {
            self.enqueue(replica, StateMessage::TotalRequest(key));
        }
        let CachedTotal { total, received_at } = self.counting.cached_totals.get(&key)?;
        Some(FleetTotal { max_age: total.max_age + (self.now - *received_at), ..*total })
    }

    pub(super) fn send_counts(&mut self) {
        self.counting.round += 1;
        for key in std::mem::take(&mut self.counting.changed) {
            let recipients = self.counting.recipients.get(&key).cloned().unwrap_or_default();
            for recipient in recipients {
                self.send_count(key, recipient);
            }
        }
        let round = self.counting.round;
        if round.is_multiple_of(ROUNDS_PER_DIGEST) {
            for recipient in self.counting.all_recipients() {
                let digest = self.counting.digest_for(recipient);
                self.enqueue(recipient, StateMessage::CountsDigest(round, digest));
            }
        }
    }

    fn send_count(&mut self, key: CounterKey, recipient: Slot) {
        if let Some(&count) = self.counting.counts.own_row().cells.get(&key) {
            self.enqueue(recipient, StateMessage::Count(key, count));
        }
    }

    /// Sends all counts again that have `recipient` as a replica.
    pub(super) fn resend_counts(&mut self, recipient: Slot) {
        let sent = self.counting.recipients.iter().filter(|(_, slots)| slots.contains(&recipient));
        let keys: Vec<CounterKey> = sent.map(|(&key, _)| key).collect();
        for key in keys {
            self.send_count(key, recipient);
        }
    }

    pub(super) fn cache_total(&mut self, key: CounterKey, total: FleetTotal) {
        let cached = &mut self.counting.cached_totals;
        if cached.len() < MAX_CACHED_TOTALS || cached.contains_key(&key) {
            cached.insert(key, CachedTotal { total, received_at: self.now });
        }
    }

    /// Handles a digest of the counts of `from`. Requests the counts again if the digest of the stored counts
    /// differs.
    pub(super) fn handle_counts_digest(&mut self, from: Slot, incarnation: u64, round: u32, digest: u64) {
        let rows = self.counting.counts.table().rows();
        let row = rows.get(&from).filter(|row| row.incarnation == incarnation);
        let cells = row.into_iter().flat_map(|row| row.cells.iter());
        let mut known: Vec<_> = cells.map(|(&key, count)| (key, count.version)).collect();
        known.retain(|&(key, _)| self.is_replica_of(key));
        let number = DigestNumber { incarnation, round };
        if self.counting.last_digests.get(&from).is_none_or(|&last| last < number) {
            // The sender is alive even if its row has expired: its counts are accepted again.
            self.counting.counts.record_heartbeat(self.now, from, incarnation);
            self.counting.last_digests.insert(from, number);
        }
        if counts_digest(known.into_iter()) != digest {
            self.enqueue(from, StateMessage::ResendCounts);
        }
    }

    /// Sends the known counts to a gateway that has just started.
    pub(super) fn send_snapshot(&mut self, to: Slot) {
        let mut messages = Vec::new();
        for (&slot, row) in self.counting.counts.table().rows() {
            for (&key, &count) in &row.cells {
                if messages.len() < MAX_SNAPSHOT_COUNTS && slot != to {
                    messages.push(StateMessage::SnapshotCount(slot, row.incarnation, key, count));
                }
            }
        }
        messages.push(StateMessage::SnapshotEnd);
        for message in messages {
            self.enqueue(to, message);
        }
    }
}

fn key_hash(key: CounterKey) -> u64 {
    match key {
        CounterKey::OpenOnServer(id) => mix(1, u64::from(id)),
        CounterKey::OpenForPartner(id) => mix(2, u64::from(id)),
        CounterKey::SentToServer(id) => mix(3, u64::from(id)),
    }
}

/// Returns a digest of keys and versions, independent of their order.
fn counts_digest(versions: impl Iterator<Item = (CounterKey, u32)>) -> u64 {
    versions.fold(0, |digest, (key, version)| digest ^ mix(key_hash(key), u64::from(version)))
}
