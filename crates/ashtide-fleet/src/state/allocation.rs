//! A change of totals, of floors or of the list of gateways, and when each gateway may use what is new.
//!
//! The settings are numbered by whoever writes them ([`Allocation::generation`]); a digest tells two texts of one number
//! apart. A gateway that reads a later generation uses, of each budget, at most the smaller of what it had and what it
//! has now. It *commits* to that: it says that it is at the generation once no more of its share is lent than that
//! ([`AllocationAgreement::commit`]), and its commitment is persisted ([`AllocationAgreement::persisted`]), so that a
//! restart keeps it. A commitment stands until a later generation is agreed, so others may pass it on, in any order, any
//! number of times. Once all that are or were on the list have committed, the generation is *agreed*, and the whole of
//! the new share is used. So all gateways together have at no time more than the last generation that any has agreed.
//!
//! Nothing is waited for by time: a gateway that is cut off may use its old share for ever. Where one is gone for good,
//! an operator says so ([`AllocationAgreement::confirm`]).

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::mutation::{ActiveMutation, Mutation};
use super::{BudgetKind, InitialShare, Slot, Violation, initial_shares, mix};

/// Gateways whose commitments one message has.
const GATEWAYS_PER_MESSAGE: usize = 256;
/// Gateways that one number of a bitmap has.
const GATEWAYS_PER_U64: usize = 64;
const BITMAP_LEN: usize = GATEWAYS_PER_MESSAGE / GATEWAYS_PER_U64;
/// Gateways with other settings that are remembered.
const MAX_MISMATCHES: usize = 64;

/// The shared part of the settings, from which the shares follow: the same at all gateways under one generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// Rises with every change, from 1, which nothing was before.
    pub generation: u32,
    /// Length of the list of gateways.
    pub slot_count: u16,
    /// Thousandths of each total that are floors.
    pub floor_permille: u64,
    /// Each budget's total, and what a unit of it permits.
    pub totals: BTreeMap<u32, (u64, BudgetKind)>,
}

impl Allocation {
    /// Tells it from another text under the same number.
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

    /// All gateways' shares of one of its budgets.
    #[must_use]
    pub fn initial_shares(&self, id: u32) -> BTreeMap<Slot, InitialShare> {
        match self.totals.get(&id) {
            Some(&(total, _)) => initial_shares(id, total, self.slot_count, self.floor_permille),
            None => BTreeMap::new(),
        }
    }

    /// One gateway's shares of all budgets.
    fn shares_of(&self, slot: Slot) -> BTreeMap<u32, InitialShare> {
        let share = |id: u32| self.initial_shares(id).get(&slot).copied().unwrap_or_default();
        self.totals.keys().map(|&id| (id, share(id))).collect()
    }
}

/// What a gateway has committed to, for its next process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedAllocation {
    /// The generation it is at.
    pub generation: u32,
    /// The digest of that.
    pub digest: u64,
    /// Whether all gateways are.
    pub agreed: bool,
    /// Gateways that must be at it, by the lists since the last agreement.
    pub slots: u16,
    /// Whether its list has this gateway.
    pub listed: bool,
    /// What it uses of each budget, at most.
    pub roots: BTreeMap<u32, InitialShare>,
}

/// Settings that are not taken over; those in use stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StaleAllocation {
    /// Their generation is below the one in use.
    #[error("generation {found}, expected {at} or a later one")]
    Older {
        /// Theirs.
        found: u32,
        /// The one in use.
        at: u32,
    },
    /// They differ from the settings of the same generation before.
    #[error(
        "generation {generation} has other totals or another list than before, expected a later generation"
    )]
    Conflicting {
        /// Which.
        generation: u32,
    },
}

impl StaleAllocation {
    /// What an operator can do.
    #[must_use]
    pub fn help(self) -> &'static str {
        match self {
            Self::Older { .. } => {
                "bring the newest file to this gateway, or write the old one under a later generation"
            }
            Self::Conflicting { .. } => {
                "count generation on with every change, and bring the same file to all gateways"
            }
        }
    }
}

/// The generation that a gateway is at, and the commitments that it knows of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationVersion {
    /// The generation.
    pub generation: u32,
    /// Its digest.
    pub digest: u64,
    /// Whether it is agreed.
    pub agreed: bool,
    /// Which gateways `commitments` is about: 256 from so many times 256 on.
    pub bitmap_part: u16,
    /// A bit a gateway.
    pub commitments: [u64; BITMAP_LEN],
}

/// How another gateway's settings differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mismatch {
    /// It is at a later generation: this one's settings are old.
    LaterGeneration(u32),
    /// It is at an earlier one.
    EarlierGeneration(u32),
    /// Its settings under the same number are others.
    DifferentContent,
}

/// A bit a gateway.
#[derive(Debug, Clone, Default)]
struct SlotBitmap {
    bits: Vec<u64>,
}

impl SlotBitmap {
    /// A bitmap without any set bit, with room for `slots` gateways.
    fn new(slots: u16) -> Self {
        Self { bits: vec![0; usize::from(slots).div_ceil(GATEWAYS_PER_U64)] }
    }

    fn insert(&mut self, slot: Slot) {
        let index = usize::from(slot.0);
        self.bits[index / GATEWAYS_PER_U64] |= 1 << (index % GATEWAYS_PER_U64);
    }

    fn contains(&self, slot: Slot) -> bool {
        let index = usize::from(slot.0);
        let number = self.bits.get(index / GATEWAYS_PER_U64);
        number.is_some_and(|number| number & (1 << (index % GATEWAYS_PER_U64)) != 0)
    }

    /// How many messages it takes.
    fn parts(&self) -> u16 {
        self.bits.len().div_ceil(BITMAP_LEN).max(1) as u16
    }

    fn part(&self, part: u16) -> [u64; BITMAP_LEN] {
        let mut bits = [0; BITMAP_LEN];
        let from = usize::from(part) * BITMAP_LEN;
        bits.iter_mut().zip(&self.bits[from..]).for_each(|(copy, number)| *copy = *number);
        bits
    }

    fn merge_part(&mut self, part: u16, bits: [u64; BITMAP_LEN]) {
        let from = usize::from(part) * BITMAP_LEN;
        self.bits.iter_mut().skip(from).zip(bits).for_each(|(number, other)| *number |= other);
    }
}

/// One gateway's part in agreeing on an allocation.
#[derive(Debug, Clone)]
pub struct AllocationAgreement {
    own_slot: Slot,
    allocation: Allocation,
    digest: u64,
    is_agreed: bool,
    /// What the settings give this gateway.
    target_shares: BTreeMap<u32, InitialShare>,
    /// What it uses.
    active_shares: BTreeMap<u32, InitialShare>,
    /// Gateways that must commit.
    required_slots: u16,
    commitments: SlotBitmap,
    /// Whether what this gateway commits to is persisted.
    is_persisted: bool,
    next_part: u16,
    mismatches: BTreeMap<Slot, Mismatch>,
    mutation: ActiveMutation,
}

impl AllocationAgreement {
    /// The agreement of a process that begins with these settings, where an earlier one has committed to `persisted`.
    /// One that knows of none and begins under a later generation than the first has nothing before it learns that all
    /// are at it: it cannot know what an earlier process may use still, or the others.
    ///
    /// # Errors
    ///
    /// Fails where an earlier process was at later settings, or at others of the same number.
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

    /// Puts a mutation in.
    #[cfg(feature = "mutation")]
    pub fn set_mutation(&mut self, mutation: Mutation) {
        self.mutation.mutation = Some(mutation);
        if mutation == Mutation::ForgetCommitment {
            self.active_shares = self.target_shares.clone();
        }
    }

    /// Takes over settings that were read while it runs. What they give less is less at once.
    ///
    /// # Errors
    ///
    /// Fails where they are older, or others of the same number; nothing has changed then.
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

    /// Of each budget the smaller of what this gateway had and what it has now.
    fn smaller_shares(&self, before: &PersistedAllocation) -> BTreeMap<u32, InitialShare> {
        // A gateway that was not on the earlier list has not been asked since: it has nothing of what is new until it
        // learns that all are here.
        let mut shares = if before.listed { self.target_shares.clone() } else { self.empty_shares() };
        for (&id, &earlier) in &before.roots {
            // A budget that one side does not have is not limited by it.
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

    /// The settings it is at.
    #[must_use]
    pub fn allocation(&self) -> &Allocation {
        &self.allocation
    }

    /// Whether all gateways are at them, so that the whole of the shares is in use.
    #[must_use]
    pub fn is_agreed(&self) -> bool {
        self.is_agreed
    }

    /// What may be used of each budget.
    #[must_use]
    pub fn active_shares(&self) -> &BTreeMap<u32, InitialShare> {
        &self.active_shares
    }

    /// Gateways that have not committed, as far as is known here.
    #[must_use]
    pub fn uncommitted(&self) -> Vec<Slot> {
        let required = if self.is_agreed { 0 } else { self.required_slots };
        (0..required).map(Slot).filter(|&slot| !self.commitments.contains(slot)).collect()
    }

    /// Gateways with other settings, since these were read.
    #[must_use]
    pub fn mismatches(&self) -> &BTreeMap<Slot, Mismatch> {
        &self.mismatches
    }

    /// What is to be persisted for the next process; [`mark_persisted`](Self::mark_persisted) notes that it is.
    #[must_use]
    pub fn persisted(&self) -> PersistedAllocation {
        PersistedAllocation {
            generation: self.allocation.generation,
            digest: self.digest,
            agreed: self.is_agreed,
            slots: self.required_slots,
            listed: self.own_slot.0 < self.allocation.slot_count,
            roots: self.active_shares.clone(),
        }
    }

    /// Notes that [`persisted`](Self::persisted) is, or that there is no place for it: then a later process begins with
    /// nothing.
    pub fn mark_persisted(&mut self) {
        self.is_persisted = true;
    }

    /// Commits, where `is_within_shares` says that of no budget more is lent than the active shares allow, and none of
    /// an earlier process's leases may be out.
    pub fn commit(&mut self, is_within_shares: bool) {
        let may_commit = is_within_shares || self.mutation.is(Mutation::CommitBeforeLeasesEnd);
        if self.is_persisted && may_commit {
            self.commitments.insert(self.own_slot);
            self.complete_if_all_committed();
        }
    }

    /// Completes the agreement on an operator's word that no gateway runs that is not at this generation.
    pub fn confirm(&mut self) {
        self.complete();
    }

    fn complete_if_all_committed(&mut self) {
        let have_all = (0..self.required_slots).all(|slot| self.commitments.contains(Slot(slot)));
        if !self.is_agreed && have_all {
            self.complete();
        }
    }

    fn complete(&mut self) {
        self.is_agreed = true;
        self.active_shares = self.target_shares.clone();
        self.required_slots = self.allocation.slot_count;
    }

    /// What is sent to another gateway, another part of the commitments each time.
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

    /// Handles what another gateway sends. True where it is to be told that all are at the generation.
    pub fn handle_message(&mut self, from: Slot, message: AllocationVersion) -> bool {
        let mismatch = self.mismatch_of(&message);
        self.note_mismatch(from, mismatch);
        let is_later = matches!(mismatch, Some(Mismatch::LaterGeneration(_)));
        let counts = mismatch.is_none() || is_later && self.mutation.is(Mutation::CountLaterGeneration);
        if !counts || self.is_agreed {
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
        let has_room = self.mismatches.len() < MAX_MISMATCHES || self.mismatches.contains_key(&from);
        match mismatch {
            Some(mismatch) if has_room => {
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
    /// Names the first that does not hold.
    pub fn check(&self) -> Result<(), Violation> {
        for (&budget, due) in &self.target_shares {
            let active = self.active_shares.get(&budget).copied().unwrap_or_default();
            let is_over = active.floor > due.floor || active.lendable > due.lendable;
            if is_over || (self.is_agreed && active != *due) {
                return Err(Violation::ShareMismatch { budget, found: active, due: *due });
            }
        }
        Violation::check_size("gateways with other settings", self.mismatches.len(), MAX_MISMATCHES)
    }
}
