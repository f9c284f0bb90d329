//! Counts: a register a gateway.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::broken::{ActiveMutation, Mutation};
use super::{Slot, Violation};

/// How long a row counts after the last news of it. Gateways say their rows again three times as often.
pub const ROW_LIFETIME: Duration = Duration::from_secs(10);
/// Rows that a table has room for.
pub const MAX_ROWS: usize = 8192;
/// Cells that a row has room for.
pub const MAX_CELLS: usize = 512;

/// What is counted. Servers and partners are told by a hash of their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CounterKey {
    /// Open connections on a server.
    OpenOnServer(u32),
    /// Open connections of a partner.
    OpenForPartner(u32),
    /// Connections that this life of the gateway has sent to a new server, all told.
    SentToServer(u32),
}

/// What a gateway has said last of one key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionedCount {
    /// Counts on within a life. The later one is kept; the order goes on to the value so that a merge has one result
    /// even for what no sound gateway says.
    pub version: u32,
    /// The count.
    pub value: u32,
}

/// One life of a gateway: what it has said.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ReplicaCounts {
    /// The life, as the view has it.
    pub incarnation: u64,
    /// What it has said.
    pub cells: BTreeMap<CounterKey, VersionedCount>,
}

impl ReplicaCounts {
    fn merge(&mut self, other: &Self, fault: ActiveMutation) {
        if other.incarnation > self.incarnation && !fault.is(Mutation::IgnoreIncarnation) {
            self.clone_from(other);
        } else if other.incarnation == self.incarnation || fault.is(Mutation::IgnoreIncarnation) {
            for (&key, &cell) in &other.cells {
                let kept = self.cells.entry(key).or_default();
                if fault.is(Mutation::MergeBySum) {
                    let value = kept.value.saturating_add(cell.value);
                    *kept = VersionedCount { version: kept.version.max(cell.version), value };
                } else {
                    *kept = (*kept).max(cell);
                }
            }
        }
    }
}

/// All rows: a join semilattice (Shapiro and others 2011). [`merge`](Self::merge) is commutative, associative and
/// idempotent: a later life replaces an earlier one, and within a life the later word of each key is kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct CountTable {
    rows: BTreeMap<Slot, ReplicaCounts>,
    mutation: ActiveMutation,
}

impl CountTable {
    /// Takes in what another has; true where that was news of `slot`.
    pub fn merge_row(&mut self, slot: Slot, row: &ReplicaCounts) -> bool {
        let before = self.rows.get(&slot);
        let same = before == Some(row);
        let mut after = before
            .cloned()
            .unwrap_or_else(|| ReplicaCounts { incarnation: row.incarnation, ..ReplicaCounts::default() });
        after.merge(row, self.mutation);
        let news = !same && before != Some(&after);
        if news {
            self.rows.insert(slot, after);
        }
        news
    }

    /// Takes in all rows of another.
    pub fn merge(&mut self, other: &Self) {
        for (&slot, row) in &other.rows {
            self.merge_row(slot, row);
        }
    }

    /// All rows.
    #[must_use]
    pub fn rows(&self) -> &BTreeMap<Slot, ReplicaCounts> {
        &self.rows
    }
}

/// A sum with what it is made of: not heard is not zero.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetTotal {
    /// The sum.
    pub sum: u64,
    /// Gateways whose rows are in it, this one among them.
    pub gateway_count: usize,
    /// The age of the oldest row in it.
    pub max_age: Duration,
}

/// One gateway's counts, and what it has heard of the others'.
#[derive(Debug, Clone)]
pub struct ReplicatedCounts {
    own_slot: Slot,
    incarnation: u64,
    now: Duration,
    version: u32,
    table: CountTable,
    heard_at: BTreeMap<Slot, Duration>,
    /// The last of each row that was aged out, so that a late datagram does not bring it back.
    expired_rows: BTreeMap<Slot, (u64, u32)>,
    superseded_by: Option<u64>,
}

impl ReplicatedCounts {
    /// The counts of the gateway at `own`, whose life began at `generation`.
    #[must_use]
    pub fn new(own: Slot, generation: u64, now: Duration) -> Self {
        let mut table = CountTable::default();
        table.rows.insert(own, ReplicaCounts { incarnation: generation, ..ReplicaCounts::default() });
        let (heard, gone) = (BTreeMap::new(), BTreeMap::new());
        Self {
            own_slot: own,
            incarnation: generation,
            now,
            version: 0,
            table,
            heard_at: heard,
            expired_rows: gone,
            superseded_by: None,
        }
    }

    /// Breaks it on purpose.
    #[cfg(feature = "broken")]
    pub fn set_mutation(&mut self, broken: Mutation) {
        self.table.mutation.mutation = Some(broken);
    }

    /// Sets one of this gateway's own counts.
    pub fn set(&mut self, key: CounterKey, value: u32) {
        let version = self.version + 1;
        let Some(row) = self.table.rows.get_mut(&self.own_slot) else { return };
        if row.cells.len() >= MAX_CELLS && !row.cells.contains_key(&key) {
            return;
        }
        let cell = row.cells.entry(key).or_default();
        if cell.value != value || cell.version == 0 {
            *cell = VersionedCount { version, value };
            self.version = version;
        }
    }

    /// Goes on as a later life: what it has said is said anew, but for what has come to nought.
    pub fn restart(&mut self, generation: u64) {
        self.incarnation = generation;
        if let Some(row) = self.table.rows.get_mut(&self.own_slot) {
            row.incarnation = generation;
            row.cells.retain(|_, cell| cell.value > 0);
        }
    }

    /// Says all own counts again, unchanged, so that they do not age out elsewhere.
    pub fn refresh(&mut self) {
        if let Some(row) = self.table.rows.get_mut(&self.own_slot) {
            self.version += 1;
            row.cells.values_mut().for_each(|cell| cell.version = self.version);
        }
    }

    /// Takes in a row of the gateway at `slot`, or a part of it; true where it was news. A word of an earlier life of
    /// this gateway, or of one aged out, changes nothing.
    pub fn merge_remote(&mut self, now: Duration, slot: Slot, row: &ReplicaCounts) -> bool {
        self.advance_to(now);
        if slot == self.own_slot {
            if row.incarnation > self.incarnation {
                self.superseded_by = Some(row.incarnation);
            }
            return false;
        }
        let latest = row.cells.values().map(|cell| cell.version).max().unwrap_or(0);
        let gone = self.expired_rows.get(&slot).is_some_and(|&gone| (row.incarnation, latest) <= gone);
        let known = self.table.rows.get(&slot);
        let room = known
            .map_or(self.table.rows.len() < MAX_ROWS, |it| it.cells.len() + row.cells.len() <= 2 * MAX_CELLS);
        if gone || !room || row.cells.len() > MAX_CELLS || !self.table.merge_row(slot, row) {
            return false;
        }
        if let Some(row) = self.table.rows.get_mut(&slot) {
            while row.cells.len() > MAX_CELLS {
                row.cells.pop_last();
            }
        }
        self.expired_rows.remove(&slot);
        self.heard_at.insert(slot, self.now);
        true
    }

    /// The gateway at `slot` is there, in the life `generation`: its row counts on, and where it was aged out, what it
    /// says again is news.
    pub fn record_heartbeat(&mut self, now: Duration, slot: Slot, generation: u64) {
        self.advance_to(now);
        if self.expired_rows.get(&slot).is_some_and(|&gone| gone.0 <= generation) {
            self.expired_rows.remove(&slot);
        }
        if slot != self.own_slot
            && self.table.rows.get(&slot).is_some_and(|row| row.incarnation == generation)
        {
            self.heard_at.insert(slot, self.now);
        }
    }

    /// Lets time pass: rows that have not been heard of for [`COUNTED_FOR`] are aged out.
    pub fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let old: Vec<Slot> =
            self.heard_at.iter().filter(|it| self.now - *it.1 >= ROW_LIFETIME).map(|it| *it.0).collect();
        for slot in old {
            self.heard_at.remove(&slot);
            if let Some(row) = self.table.rows.remove(&slot) {
                let latest = row.cells.values().map(|cell| cell.version).max().unwrap_or(0);
                self.expired_rows.insert(slot, (row.incarnation, latest));
            }
        }
    }

    /// The sum over all gateways that are heard.
    #[must_use]
    pub fn total(&self, key: CounterKey) -> FleetTotal {
        let mut reading = FleetTotal::default();
        for (slot, row) in &self.table.rows {
            if let Some(cell) = row.cells.get(&key) {
                reading.sum += u64::from(cell.value);
                reading.gateway_count += 1;
                let age = self.heard_at.get(slot).map_or(Duration::ZERO, |&heard| self.now - heard);
                reading.max_age = reading.max_age.max(age);
            }
        }
        reading
    }

    /// This gateway's own row.
    #[must_use]
    pub fn own_row(&self) -> &ReplicaCounts {
        &self.table.rows[&self.own_slot]
    }

    /// All rows that count.
    #[must_use]
    pub fn table(&self) -> &CountTable {
        &self.table
    }

    /// A later life under this gateway's own number has been heard: this one is to stand down.
    #[must_use]
    pub fn superseded_by(&self) -> Option<u64> {
        self.superseded_by
    }

    /// Holds this core against its invariants.
    ///
    /// # Errors
    ///
    /// Names the first that is broken.
    pub fn check(&self) -> Result<(), Violation> {
        let found = self.own_row().incarnation;
        if found != self.incarnation {
            return Err(Violation::OwnRow { found, expected: self.incarnation });
        }
        for &slot in self.table.rows.keys().filter(|&&slot| slot != self.own_slot) {
            let age = self.heard_at.get(&slot).map_or(Duration::MAX, |&heard| self.now - heard);
            if age >= ROW_LIFETIME {
                return Err(Violation::StaleRow { slot, age });
            }
        }
        let widest = self.table.rows.values().map(|row| row.cells.len()).max().unwrap_or(0);
        for (table, found, most) in
            [("counts", self.table.rows.len(), MAX_ROWS), ("a row of counts", widest, MAX_CELLS)]
        {
            if found > most {
                return Err(Violation::OverFull { table, found, most });
            }
        }
        Ok(())
    }
}
