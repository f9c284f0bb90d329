//! Agreement on changed allocations: when each gateway may use its share under new totals, floors or a new
//! list of gateways.
//!
//! The author of the settings numbers them ([`Allocation::generation`]). A digest distinguishes two versions
//! with the same number. A gateway that reads a later generation uses at most the smaller of its old and its
//! new share of each budget. It *commits* to the generation once no more of its share is lent than that
//! ([`AllocationAgreement::commit`]). The commitment is persisted ([`AllocationAgreement::persisted`]), so
//! that it survives a restart. A commitment is valid until a later generation is agreed, so other gateways
//! may forward it in any order and any number of times. Once all gateways that are or were on the list have
//! committed, the generation is *agreed* and the entire new share is used. So all gateways together never
//! have more than the last generation gives that any gateway has agreed.
//!
//! No time-out completes an agreement: a partitioned gateway may use its old share indefinitely. When a
//! gateway is permanently removed, an operator confirms that ([`AllocationAgreement::confirm`]).

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::mutation::{ActiveMutation, Mutation};
use super::{BudgetKind, InitialShare, Slot, Violation, initial_shares, mix};

/// Number of gateways whose commitments fit into one message.
const GATEWAYS_PER_MESSAGE: usize = 256;
/// Number of gateways per `u64` of a bitmap.
const GATEWAYS_PER_U64: usize = 64;
/// Length of the bitmap in one message, in `u64`s.
const BITMAP_LEN: usize = GATEWAYS_PER_MESSAGE / GATEWAYS_PER_U64;
/// Maximum number of gateways with other settings that are recorded.
const MAX_MISMATCHES: usize = 64;

/// The shared part of the settings, which determines the shares. It is the same at all gateways of one
/// generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// Number of this version, incremented with every change. The first version is 1.
    pub generation: u32,
    /// Number of slots in the list of gateways.
    pub slot_count: u16,
    /// Part of each total that is split into floors, in thousandths.
    pub floor_permille: u64,
    /// Total of each budget in units, and what one unit permits, by budget ID.
    pub totals: BTreeMap<u32, (u64, BudgetKind)>,
}

impl Allocation {
    /// Returns a digest that distinguishes this allocation from others of the same generation.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let kind_digest = |kind: &BudgetKind| match kind {
            BudgetKind::Rate { burst } => burst.as_millis() as u64,
            BudgetKind::Concurrency => u64::MAX,
        };
        let head = [u64::from(self.generation), u64::from(self.slot_count), self.floor_permille];
        let totals =
            self.totals.iter().flat_map(|(id, (total, kind))| [u64::from(*id), *total, kind_digest(kind)]);
        head.into_iter().chain(totals).fold(0, mix)
    }

    /// Returns the shares of all gateways in the budget `id`; empty if there is no such budget.
    #[must_use]
    pub fn initial_shares(&self, id: u32) -> BTreeMap<Slot, InitialShare> {
        match self.totals.get(&id) {
            Some(&(total, _)) => initial_shares(id, total, self.slot_count, self.floor_permille),
            None => BTreeMap::new(),
        }
    }

    /// Returns the shares of one gateway in all budgets.
    fn shares_of(&self, slot: Slot) -> BTreeMap<u32, InitialShare> {
        let share = |id: u32| self.initial_shares(id).get(&slot).copied().unwrap_or_default();
        self.totals.keys().map(|&id| (id, share(id))).collect()
    }
}

/// The allocation state that a gateway stores for its next process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedAllocation {
    /// The generation in use.
    pub generation: u32,
    /// The digest of the allocation in use.
    pub digest: u64,
    /// Whether all gateways have committed to the generation.
    pub agreed: bool,
    /// Number of gateways that must commit: the longest list since the last agreement.
    pub slots: u16,
    /// Whether the list includes this gateway.
    pub listed: bool,
    /// The most that the gateway uses of each budget, by budget ID.
    #[serde(rename = "roots")]
    pub active_shares: BTreeMap<u32, InitialShare>,
}

/// The reason why settings are not adopted. The settings in use remain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StaleAllocation {
    /// The new generation is below the one in use.
    #[error("generation {found}, expected {at} or a later one")]
    Older {
        /// The generation of the rejected settings.
        found: u32,
        /// The generation in use.
        at: u32,
    },
    /// The new settings differ from earlier settings of the same generation.
    #[error(
        "generation {generation} has other totals or another list than before, expected a later generation"
    )]
    Conflicting {
        /// The generation of both settings.
        generation: u32,
    },
}

impl StaleAllocation {
    /// Returns advice for the operator.
    #[must_use]
    pub fn help(self) -> &'static str {
        match self {
            Self::Older { .. } => {
                "copy the newest file to this gateway, or store the old content under a later generation"
            }
            Self::Conflicting { .. } => {
                "increment generation at each change, and copy the same file to all gateways"
            }
        }
    }
}

/// The generation that a gateway uses, and the commitments that it has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationVersion {
    /// The generation that the gateway uses.
    pub generation: u32,
    /// The digest of the allocation.
    pub digest: u64,
    /// Whether the generation is agreed.
    pub agreed: bool,
    /// The part of the bitmap in `commitments`: part `n` covers the 256 gateways from slot `n * 256`.
    pub bitmap_part: u16,
    /// One bit per gateway, set if the gateway has committed.
    pub commitments: [u64; BITMAP_LEN],
}

/// The difference between the settings of another gateway and those of this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mismatch {
    /// The other gateway uses this later generation; the settings of this gateway are outdated.
    LaterGeneration(u32),
    /// The other gateway uses this earlier generation.
    EarlierGeneration(u32),
    /// The settings of the other gateway have the same generation but another digest.
    DifferentContent,
}

/// A set of gateways, one bit per slot.
#[derive(Debug, Clone, Default)]
struct SlotBitmap {
    bits: Vec<u64>,
}

impl SlotBitmap {
    /// Creates an empty set with capacity for `slots` gateways.
    fn new(slots: u16) -> Self {
        Self { bits: vec![0; usize::from(slots).div_ceil(GATEWAYS_PER_U64)] }
    }

    fn insert(&mut self, slot: Slot) {
        let index = usize::from(slot.0);
        self.bits[index / GATEWAYS_PER_U64] |= 1 << (index % GATEWAYS_PER_U64);
    }

    fn contains(&self, slot: Slot) -> bool {
        let index = usize::from(slot.0);
        let word = self.bits.get(index / GATEWAYS_PER_U64);
        word.is_some_and(|word| word & (1 << (index % GATEWAYS_PER_U64)) != 0)
    }

    /// Returns the number of messages that transfer the entire set.
    fn parts(&self) -> u16 {
        self.bits.len().div_ceil(BITMAP_LEN).max(1) as u16
    }

    fn part(&self, part: u16) -> [u64; BITMAP_LEN] {
        let mut bits = [0; BITMAP_LEN];
        let from = usize::from(part) * BITMAP_LEN;
        bits.iter_mut().zip(&self.bits[from..]).for_each(|(copy, word)| *copy = *word);
        bits
    }

    fn merge_part(&mut self, part: u16, bits: [u64; BITMAP_LEN]) {
        let from = usize::from(part) * BITMAP_LEN;
        self.bits.iter_mut().skip(from).zip(bits).for_each(|(word, other)| *word |= other);
    }
}

/// The state of the agreement on an allocation at one gateway.
#[derive(Debug, Clone)]
pub struct AllocationAgreement {
    own_slot: Slot,
    allocation: Allocation,
    digest: u64,
    is_agreed: bool,
    /// Shares that the settings assign to this gateway, by budget ID.
    target_shares: BTreeMap<u32, InitialShare>,
    /// Shares in use, by budget ID.
    active_shares: BTreeMap<u32, InitialShare>,
    /// Number of gateways that must commit.
    required_slots: u16,
    commitments: SlotBitmap,
    /// Whether the state that this gateway commits to is persisted.
    is_persisted: bool,
    next_part: u16,
    mismatches: BTreeMap<Slot, Mismatch>,
    mutation: ActiveMutation,
}

impl AllocationAgreement {
    /// Creates the agreement of a process that starts with `allocation`; `persisted` is the state that an
    /// earlier process committed to. Without persisted state, a process that starts at a later generation
    /// than the first has empty shares until it receives that all gateways are at the generation: what an
    /// earlier process or other gateways may still use is unknown.
    ///
    /// # Errors
    ///
    /// Returns an error if an earlier process used later settings, or other settings of the same generation.
    pub fn new(
        own_slot: Slot,
        allocation: Allocation,
        persisted: Option<PersistedAllocation>,
    ) -> Result<Self, StaleAllocation> {
        let is_first = allocation.generation <= 1;
        let mut agreement = Self {
            own_slot,
            digest: allocation.digest(),
            is_agreed: false,
            target_shares: allocation.shares_of(own_slot),
            active_shares: BTreeMap::new(),
            required_slots: allocation.slot_count,
            commitments: SlotBitmap::default(),
            is_persisted: false,
            next_part: 0,
            mismatches: BTreeMap::new(),
            mutation: ActiveMutation::default(),
            allocation,
        };
        match persisted {
            Some(persisted) => agreement.adopt_persisted(&persisted)?,
            None if is_first => agreement.active_shares = agreement.target_shares.clone(),
            None => agreement.active_shares = agreement.empty_shares(),
        }
        agreement.is_agreed |= is_first && agreement.active_shares == agreement.target_shares;
        agreement.reset_commitments();
        Ok(agreement)
    }

    fn empty_shares(&self) -> BTreeMap<u32, InitialShare> {
        self.target_shares.keys().map(|&id| (id, InitialShare::default())).collect()
    }

    /// Activates a mutation.
    #[cfg(feature = "mutation")]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation.mutation = Some(mutation);
        if mutation == Mutation::ForgetCommitment {
            self.active_shares = self.target_shares.clone();
        }
    }

    /// Adopts settings that were read while the process runs. Smaller shares apply immediately.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are older, or other settings of the same generation; the state is
    /// unchanged.
    pub fn update(&mut self, allocation: Allocation) -> Result<(), StaleAllocation> {
        let mut next = Self {
            digest: allocation.digest(),
            target_shares: allocation.shares_of(self.own_slot),
            required_slots: allocation.slot_count,
            is_agreed: false,
            mismatches: BTreeMap::new(),
            allocation,
            ..self.clone()
        };
        next.adopt_persisted(&self.persisted())?;
        if next.allocation.generation > self.allocation.generation {
            next.reset_commitments();
        }
        *self = next;
        Ok(())
    }

    fn adopt_persisted(&mut self, before: &PersistedAllocation) -> Result<(), StaleAllocation> {
        let generation = self.allocation.generation;
        if generation < before.generation {
            return Err(StaleAllocation::Older { found: generation, at: before.generation });
        }
        let is_same = generation == before.generation;
        if is_same && before.digest != self.digest {
            return Err(StaleAllocation::Conflicting { generation });
        }
        self.is_agreed = is_same && before.agreed;
        self.required_slots = self.required_slots.max(before.slots);
        self.active_shares = match self.is_agreed || self.mutation.is(Mutation::RaiseShareImmediately) {
            true => self.target_shares.clone(),
            false => self.smaller_shares(before),
        };
        Ok(())
    }

    /// Returns the smaller of the earlier and the new share of each budget.
    fn smaller_shares(&self, before: &PersistedAllocation) -> BTreeMap<u32, InitialShare> {
        // A gateway that was not on the earlier list was not needed for agreements since then: it has no
        // share of new budgets until it receives that all gateways have committed.
        let mut shares = if before.listed { self.target_shares.clone() } else { self.empty_shares() };
        for (&id, &earlier) in &before.active_shares {
            // A budget that is missing on one side is not limited by that side.
            let share = shares.entry(id).or_insert(earlier);
            share.floor = share.floor.min(earlier.floor);
            share.lendable = share.lendable.min(earlier.lendable);
        }
        shares
    }

    fn reset_commitments(&mut self) {
        self.commitments = SlotBitmap::new(self.required_slots.max(self.own_slot.0 + 1));
        self.is_persisted = false;
    }

    /// Returns the settings in use.
    #[must_use]
    pub fn allocation(&self) -> &Allocation {
        &self.allocation
    }

    /// Returns whether all gateways have committed to the settings, so that the entire shares are in use.
    #[must_use]
    pub fn is_agreed(&self) -> bool {
        self.is_agreed
    }

    /// Returns the shares that may be used, by budget ID.
    #[must_use]
    pub fn active_shares(&self) -> &BTreeMap<u32, InitialShare> {
        &self.active_shares
    }

    /// Returns the gateways whose commitment this gateway has not received.
    #[must_use]
    pub fn uncommitted(&self) -> Vec<Slot> {
        let required = if self.is_agreed { 0 } else { self.required_slots };
        (0..required).map(Slot).filter(|&slot| !self.commitments.contains(slot)).collect()
    }

    /// Returns the gateways that have reported other settings since the settings in use were read.
    #[must_use]
    pub fn mismatches(&self) -> &BTreeMap<Slot, Mismatch> {
        &self.mismatches
    }

    /// Returns the state to persist for the next process; call [`mark_persisted`](Self::mark_persisted)
    /// afterwards.
    #[must_use]
    pub fn persisted(&self) -> PersistedAllocation {
        PersistedAllocation {
            generation: self.allocation.generation,
            digest: self.digest,
            agreed: self.is_agreed,
            slots: self.required_slots,
            listed: self.own_slot.0 < self.allocation.slot_count,
            active_shares: self.active_shares.clone(),
        }
    }

    /// Records that the state of [`persisted`](Self::persisted) is stored, or that no storage is configured;
    /// in the latter case a later process starts without shares.
    pub fn mark_persisted(&mut self) {
        self.is_persisted = true;
    }

    /// Commits to the settings if their state is persisted and `is_within_shares` is true: no budget has more
    /// units lent than the active shares allow, and no lease granted by an earlier process can still be
    /// valid.
    pub fn commit(&mut self, is_within_shares: bool) {
        let may_commit = is_within_shares || self.mutation.is(Mutation::CommitBeforeLeasesEnd);
        if self.is_persisted && may_commit {
            self.commitments.insert(self.own_slot);
            self.complete_if_all_committed();
        }
    }

    /// Completes the agreement after an operator confirmed that no gateway runs at another generation.
    pub fn confirm(&mut self) {
        self.complete();
    }

    fn complete_if_all_committed(&mut self) {
        let all_committed = (0..self.required_slots).all(|slot| self.commitments.contains(Slot(slot)));
        if !self.is_agreed && all_committed {
            self.complete();
        }
    }

    fn complete(&mut self) {
        self.is_agreed = true;
        self.active_shares = self.target_shares.clone();
        self.required_slots = self.allocation.slot_count;
    }

    /// Returns the next message for another gateway; consecutive messages have consecutive parts of the
    /// commitments.
    pub fn next_message(&mut self) -> AllocationVersion {
        self.next_part = (self.next_part + 1) % self.commitments.parts();
        let commitments = match self.is_agreed {
            true => [0; BITMAP_LEN],
            false => self.commitments.part(self.next_part),
        };
        AllocationVersion {
            generation: self.allocation.generation,
            digest: self.digest,
            agreed: self.is_agreed,
            bitmap_part: self.next_part,
            commitments,
        }
    }

    /// Handles a message of another gateway. Returns true if that gateway must be notified that the
    /// generation is agreed.
    pub fn handle_message(&mut self, from: Slot, message: AllocationVersion) -> bool {
        let mismatch = self.mismatch_of(&message);
        self.note_mismatch(from, mismatch);
        let is_later = matches!(mismatch, Some(Mismatch::LaterGeneration(_)));
        let is_relevant = mismatch.is_none() || is_later && self.mutation.is(Mutation::CountLaterGeneration);
        if !is_relevant || self.is_agreed {
            return self.is_agreed && mismatch.is_none() && !message.agreed;
        }
        if message.agreed {
            self.complete();
        } else {
            self.commitments.merge_part(message.bitmap_part, message.commitments);
            self.complete_if_all_committed();
        }
        false
    }

    fn mismatch_of(&self, message: &AllocationVersion) -> Option<Mismatch> {
        match message.generation.cmp(&self.allocation.generation) {
            Ordering::Greater => Some(Mismatch::LaterGeneration(message.generation)),
            Ordering::Less => Some(Mismatch::EarlierGeneration(message.generation)),
            Ordering::Equal if message.digest != self.digest => Some(Mismatch::DifferentContent),
            Ordering::Equal => None,
        }
    }

    fn note_mismatch(&mut self, from: Slot, mismatch: Option<Mismatch>) {
        let has_capacity = self.mismatches.len() < MAX_MISMATCHES || self.mismatches.contains_key(&from);
        match mismatch {
            Some(mismatch) if has_capacity => {
                self.mismatches.insert(from, mismatch);
            }
            Some(_) => {}
            None => {
                self.mismatches.remove(&from);
            }
        }
    }

    /// Checks the invariants of the agreement.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        for (&budget, expected) in &self.target_shares {
            let active = self.active_shares.get(&budget).copied().unwrap_or_default();
            let is_over = active.floor > expected.floor || active.lendable > expected.lendable;
            if is_over || (self.is_agreed && active != *expected) {
                return Err(Violation::ShareMismatch { budget, found: active, expected: *expected });
            }
        }
        Violation::check_size("gateways with other settings", self.mismatches.len(), MAX_MISMATCHES)
    }
}
