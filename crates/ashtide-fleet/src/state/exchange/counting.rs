//! Counts: which gateway keeps which, and how they stay the same there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::super::message::StateMessage;
use super::super::{CounterKey, FleetTotal, MAX_CELLS, ReplicatedCounts, Slot, mix, rendezvous};
use super::Exchange;

/// Gateways that send a key's count: up to so many gateways the sum is exact, beyond it is a sample's.
pub const SAMPLE_SIZE: usize = 64;
/// Gateways that keep a key's count.
pub const REPLICAS: usize = 2;
/// Groups of keys, at least.
const MIN_KEY_GROUPS: u64 = 8;
/// Slots for which there is a group.
const SLOTS_PER_GROUP: u16 = 16;
/// Tells groups from other choices by rendezvous.
const GROUP_SALT: u64 = 4;
/// Rounds of counts of which the last has a digest of all.
const ROUNDS_PER_DIGEST: u32 = 3;
/// Counts that a snapshot has.
const MAX_SNAPSHOT_COUNTS: usize = 96;
/// Totals of other gateways that are cached.
const MAX_CACHED_TOTALS: usize = 256;

/// A total that another gateway has sent.
struct CachedTotal {
    total: FleetTotal,
    received_at: Duration,
}

/// The last digest of a gateway.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DigestNumber {
    incarnation: u64,
    round: u32,
}

/// The counts, and their state of delivery.
pub(super) struct CountSync {
    pub(super) counts: ReplicatedCounts,
    /// Own keys, with the gateways that are sent them; chosen anew where the peers change.
    recipients: BTreeMap<CounterKey, Vec<Slot>>,
    changed: BTreeSet<CounterKey>,
    /// Whether this gateway keeps a key; forgotten where the peers change.
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

    /// The digest of the own counts that `recipient` is sent.
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
    /// The counts.
    #[must_use]
    pub fn counts(&self) -> &ReplicatedCounts {
        &self.counting.counts
    }

    /// Chooses again who is sent what, as the peers have changed.
    pub(super) fn rechoose_recipients(&mut self) {
        self.counting.is_replica.clear();
        let keys: Vec<CounterKey> = std::mem::take(&mut self.counting.recipients).into_keys().collect();
        for key in keys {
            let recipients = self.choose_recipients(key);
            self.counting.recipients.insert(key, recipients);
        }
    }

    /// Forgets own counts that are zero, at all gateways: counts are sent anew as by a process of this incarnation,
    /// which is later than the present one and earlier than any to come.
    pub fn reset_counts(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        let counting = &mut self.counting;
        counting.counts.restart(incarnation);
        let own = counting.counts.own_row();
        counting.recipients.retain(|key, _| own.cells.contains_key(key));
        counting.changed = counting.recipients.keys().copied().collect();
    }

    /// Sets one of the own counts.
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

    /// The group of a key: a group has its sample and its replicas, so that few gateways are sent much and not many
    /// little.
    fn key_group(&self, key: CounterKey) -> u64 {
        let groups = u64::from(self.config.slot_count / SLOTS_PER_GROUP).max(MIN_KEY_GROUPS);
        mix(GROUP_SALT, key_hash(key) % groups)
    }

    fn replicas(&self, key: CounterKey) -> Vec<Slot> {
        rendezvous(self.key_group(key), self.all_gateways(), REPLICAS)
    }

    /// Who is sent this gateway's count of a key: nobody where it is not in the key's sample.
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

    /// The total of a count as it is known here; requests it of a replica where this gateway is none. None: not
    /// received, which is not zero.
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

    /// Sends all counts again that `recipient` is sent.
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

    /// The sender's counts are as it sent them last, or it is asked to send them again.
    pub(super) fn handle_counts_digest(&mut self, from: Slot, incarnation: u64, round: u32, digest: u64) {
        let rows = self.counting.counts.table().rows();
        let row = rows.get(&from).filter(|row| row.incarnation == incarnation);
        let cells = row.into_iter().flat_map(|row| row.cells.iter());
        let mut known: Vec<_> = cells.map(|(&key, count)| (key, count.version)).collect();
        known.retain(|&(key, _)| self.is_replica_of(key));
        let number = DigestNumber { incarnation, round };
        if self.counting.last_digests.get(&from).is_none_or(|&last| last < number) {
            // One whose row has expired is there after all: its counts are news again.
            self.counting.counts.record_heartbeat(self.now, from, incarnation);
            self.counting.last_digests.insert(from, number);
        }
        if counts_digest(known.into_iter()) != digest {
            self.enqueue(from, StateMessage::ResendCounts);
        }
    }

    /// Sends what a gateway that starts is to keep, as far as it is known here.
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

/// The same for the same versions in any order.
fn counts_digest(versions: impl Iterator<Item = (CounterKey, u32)>) -> u64 {
    versions.fold(0, |digest, (key, version)| digest ^ mix(key_hash(key), u64::from(version)))
}
