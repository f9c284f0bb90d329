//! Replicated counts: one row per gateway, merged as a state-based CRDT.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::mutation::{ActiveMutation, Mutation};
use super::{Slot, Violation};

/// Time after the last update of a row at which the row expires. Gateways confirm their rows three times as
/// often.
pub const ROW_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of rows in a table.
pub const MAX_ROWS: usize = 8192;
/// Maximum number of counts in a row.
pub const MAX_CELLS: usize = 512;

/// The key of a count. Servers and partners are identified by a hash of their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CounterKey {
    /// Open connections on a server.
    OpenOnServer(u32),
    /// Open connections of a partner.
    OpenForPartner(u32),
    /// Total number of connections that this incarnation of the gateway has sent to a new server.
    SentToServer(u32),
}

/// The latest count of a gateway for one key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionedCount {
    /// Version of the count, increasing within an incarnation. A merge retains the later version. The order
    /// includes the value, so that a merge is deterministic even for two values of one version, which no
    /// correct gateway sends.
    pub version: u32,
    /// Number of connections.
    pub value: u32,
}

/// The counts of one incarnation of a gateway.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ReplicaCounts {
    /// The incarnation of the gateway, as in the membership view.
    pub incarnation: u64,
    /// The counts, by key.
    pub cells: BTreeMap<CounterKey, VersionedCount>,
}

impl ReplicaCounts {
    fn new(incarnation: u64) -> Self {
        Self { incarnation, cells: BTreeMap::new() }
    }

    fn latest_version(&self) -> u32 {
        self.cells.values().map(|count| count.version).max().unwrap_or(0)
    }

    fn merge(&mut self, other: &Self, mutation: ActiveMutation) {
        let ignores_incarnation = mutation.is(Mutation::IgnoreIncarnation);
        if other.incarnation > self.incarnation && !ignores_incarnation {
            self.clone_from(other);
        } else if other.incarnation == self.incarnation || ignores_incarnation {
            for (&key, &count) in &other.cells {
                let known = self.cells.entry(key).or_default();
                *known = if mutation.is(Mutation::MergeBySum) {
                    let value = known.value.saturating_add(count.value);
                    VersionedCount { version: known.version.max(count.version), value }
                } else {
                    (*known).max(count)
                };
            }
        }
    }
}

/// The rows of all gateways: a join semilattice (Shapiro et al. 2011). [`merge`](Self::merge) is commutative,
/// associative and idempotent: a later incarnation replaces an earlier one, and within an incarnation the
/// later version of each key is retained.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct CountTable {
    rows: BTreeMap<Slot, ReplicaCounts>,
    mutation: ActiveMutation,
}

impl CountTable {
    /// Merges a row of `slot`. Returns true if the table changed.
    pub fn merge_row(&mut self, slot: Slot, row: &ReplicaCounts) -> bool {
        let before = self.rows.get(&slot);
        let is_same = before == Some(row);
        let mut after = before.cloned().unwrap_or_else(|| ReplicaCounts::new(row.incarnation));
        after.merge(row, self.mutation);
        let is_newer = !is_same && before != Some(&after);
        if is_newer {
            self.rows.insert(slot, after);
        }
        is_newer
    }

    /// Merges all rows of another table.
    pub fn merge(&mut self, other: &Self) {
        for (&slot, row) in &other.rows {
            self.merge_row(slot, row);
        }
    }

    /// Returns all rows, by slot.
    #[must_use]
    pub fn rows(&self) -> &BTreeMap<Slot, ReplicaCounts> {
        &self.rows
    }
}

/// A sum of counts and its coverage, which distinguishes an unknown count from zero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetTotal {
    /// Sum of the counts of the included gateways.
    pub sum: u64,
    /// Number of gateways whose rows are included, this gateway among them.
    pub gateway_count: usize,
    /// Age of the oldest row that is included.
    pub max_age: Duration,
}

/// The latest version of an expired row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ExpiredRow {
    incarnation: u64,
    version: u32,
}

impl ExpiredRow {
    fn of(row: &ReplicaCounts) -> Self {
        Self { incarnation: row.incarnation, version: row.latest_version() }
    }
}

/// The counts of one gateway, and those that it has received from other gateways.
#[derive(Debug, Clone)]
pub struct ReplicatedCounts {
    own_slot: Slot,
    incarnation: u64,
    now: Duration,
    version: u32,
    table: CountTable,
    received_at: BTreeMap<Slot, Duration>,
    /// Latest versions of the expired rows, so that a delayed datagram does not restore an expired row.
    expired_rows: BTreeMap<Slot, ExpiredRow>,
    superseded_by: Option<u64>,
}

impl ReplicatedCounts {
    /// Creates the counts of the gateway at `own_slot` in this incarnation.
    #[must_use]
    pub fn new(own_slot: Slot, incarnation: u64, now: Duration) -> Self {
        let mut table = CountTable::default();
        table.rows.insert(own_slot, ReplicaCounts::new(incarnation));
        Self {
            own_slot,
            incarnation,
            now,
            version: 0,
            table,
            received_at: BTreeMap::new(),
            expired_rows: BTreeMap::new(),
            superseded_by: None,
        }
    }

    /// Activates a mutation.
    #[cfg(feature = "mutation")]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.table.mutation.mutation = Some(mutation);
    }

    /// Sets a count of this gateway.
    pub fn set(&mut self, key: CounterKey, value: u32) {
        let version = self.version + 1;
        let Some(row) = self.table.rows.get_mut(&self.own_slot) else { return };
        if row.cells.len() >= MAX_CELLS && !row.cells.contains_key(&key) {
            return;
        }
        let count = row.cells.entry(key).or_default();
        if count.value != value || count.version == 0 {
            *count = VersionedCount { version, value };
            self.version = version;
        }
    }

    /// Continues as a later incarnation. All counts except zeros are sent again.
    pub fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        if let Some(row) = self.table.rows.get_mut(&self.own_slot) {
            row.incarnation = incarnation;
            row.cells.retain(|_, count| count.value > 0);
        }
    }

    /// Assigns a new version to all counts of this gateway, so that they do not expire at other gateways. The
    /// values do not change.
    pub fn refresh(&mut self) {
        if let Some(row) = self.table.rows.get_mut(&self.own_slot) {
            self.version += 1;
            row.cells.values_mut().for_each(|count| count.version = self.version);
        }
    }

    /// Merges a row of the gateway at `slot`, or a part of the row. Returns true if the table changed. A row
    /// of this gateway, of an earlier incarnation, or not later than an expired row is ignored.
    pub fn merge_remote(&mut self, now: Duration, slot: Slot, row: &ReplicaCounts) -> bool {
        self.advance_to(now);
        if slot == self.own_slot {
            if row.incarnation > self.incarnation {
                self.superseded_by = Some(row.incarnation);
            }
            return false;
        }
        let is_expired = self.expired_rows.get(&slot).is_some_and(|&expired| ExpiredRow::of(row) <= expired);
        if is_expired || !self.has_capacity_for(slot, row) || !self.table.merge_row(slot, row) {
            return false;
        }
        if let Some(row) = self.table.rows.get_mut(&slot) {
            while row.cells.len() > MAX_CELLS {
                row.cells.pop_last();
            }
        }
        self.expired_rows.remove(&slot);
        self.received_at.insert(slot, self.now);
        true
    }

    fn has_capacity_for(&self, slot: Slot, row: &ReplicaCounts) -> bool {
        let has_capacity = match self.table.rows.get(&slot) {
            Some(known) => known.cells.len() + row.cells.len() <= 2 * MAX_CELLS,
            None => self.table.rows.len() < MAX_ROWS,
        };
        has_capacity && row.cells.len() <= MAX_CELLS
    }

    /// Records that the gateway at `slot` is alive in this incarnation. This extends the lifetime of its row;
    /// if the row has expired, the same row is accepted again.
    pub fn record_heartbeat(&mut self, now: Duration, slot: Slot, incarnation: u64) {
        self.advance_to(now);
        if self.expired_rows.get(&slot).is_some_and(|expired| expired.incarnation <= incarnation) {
            self.expired_rows.remove(&slot);
        }
        let row = self.table.rows.get(&slot);
        if slot != self.own_slot && row.is_some_and(|row| row.incarnation == incarnation) {
            self.received_at.insert(slot, self.now);
        }
    }

    /// Advances the time to `now`. Rows without an update for [`ROW_LIFETIME`] expire.
    pub fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let expired: Vec<Slot> = self
            .received_at
            .iter()
            .filter(|&(_, &received_at)| self.now - received_at >= ROW_LIFETIME)
            .map(|(&slot, _)| slot)
            .collect();
        for slot in expired {
            self.received_at.remove(&slot);
            if let Some(row) = self.table.rows.remove(&slot) {
                self.expired_rows.insert(slot, ExpiredRow::of(&row));
            }
        }
    }

    /// Returns the sum over all gateways with a current row.
    #[must_use]
    pub fn total(&self, key: CounterKey) -> FleetTotal {
        let mut total = FleetTotal::default();
        for (slot, row) in &self.table.rows {
            if let Some(count) = row.cells.get(&key) {
                total.sum += u64::from(count.value);
                total.gateway_count += 1;
                let age = self.received_at.get(slot).map_or(Duration::ZERO, |&at| self.now - at);
                total.max_age = total.max_age.max(age);
            }
        }
        total
    }

    /// Returns the row of this gateway.
    #[must_use]
    pub fn own_row(&self) -> &ReplicaCounts {
        &self.table.rows[&self.own_slot]
    }

    /// Returns the table of all rows that have not expired.
    #[must_use]
    pub fn table(&self) -> &CountTable {
        &self.table
    }

    /// Returns the later incarnation that another process has reported for the slot of this gateway, if any.
    /// This process must then stop.
    #[must_use]
    pub fn superseded_by(&self) -> Option<u64> {
        self.superseded_by
    }

    /// Checks the invariants of the counts.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        let found = self.own_row().incarnation;
        if found != self.incarnation {
            return Err(Violation::OwnRow { found, expected: self.incarnation });
        }
        for &slot in self.table.rows.keys().filter(|&&slot| slot != self.own_slot) {
            let age = self.received_at.get(&slot).map_or(Duration::MAX, |&at| self.now - at);
            if age >= ROW_LIFETIME {
                return Err(Violation::StaleRow { slot, age });
            }
        }
        let widest = self.table.rows.values().map(|row| row.cells.len()).max().unwrap_or(0);
        Violation::check_size("counts", self.table.rows.len(), MAX_ROWS)?;
        Violation::check_size("a row of counts", widest, MAX_CELLS)
    }
}
