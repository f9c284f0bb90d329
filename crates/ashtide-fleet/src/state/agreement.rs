//! A change of totals, of floors or of the list of gateways, and when each gateway may use what is new.
//!
//! The settings are numbered by whoever writes them ([`Split::generation`]); a digest tells two texts of one number
//! apart. A gateway that reads a later generation uses, of each budget, at most the smaller of what it had and what it
//! has now. It *promises* that to all: it says that it is at the generation once no more of its root is on loan than
//! that ([`Agreement::settle`]), and its promise is written down ([`Agreement::kept`]), so that a restart keeps it. A
//! promise stands until a later generation is agreed on, so it may be told on by others, in any order, any number of
//! times. Once all that are or were on the list have promised, the generation is *agreed* on, and the whole of the new
//! root is used. So all gateways together have at no time more than the last generation that any has agreed on.
//!
//! No time is waited for: a gateway that nobody hears may use its old root for ever. Where one is gone for good,
//! an operator says so ([`Agreement::vouch`]).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::broken::{ActiveMutation, Mutation};
use super::{BudgetKind, InitialShare, Slot, Violation, initial_shares, mix};

/// Gateways whose promises are told in one item.
const GATEWAYS_PER_MESSAGE: usize = 256;
const BITMAP_WORDS: usize = GATEWAYS_PER_MESSAGE / 64;

/// The shared part of the settings, of which the roots follow: the same at all gateways under one generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// Counts on with every change, from 1, which nothing was before.
    pub generation: u32,
    /// Length of the list of gateways.
    pub slot_count: u16,
    /// Thousandths of each total that are floors.
    pub floor_permille: u64,
    /// Each budget's total, and what a unit of it permits.
    pub totals: BTreeMap<u32, (u64, BudgetKind)>,
}

impl Allocation {
    /// What tells it from another text under the same number.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let usage = |usage: &BudgetKind| match usage {
            BudgetKind::Rate { burst } => burst.as_millis() as u64,
            BudgetKind::Concurrency => u64::MAX,
        };
        let head = [u64::from(self.generation), u64::from(self.slot_count), self.floor_permille];
        let totals = self.totals.iter().flat_map(|(id, it)| [u64::from(*id), it.0, usage(&it.1)]);
        head.into_iter().chain(totals).fold(0, mix)
    }

    /// All gateways' roots of one of its budgets.
    #[must_use]
    pub fn initial_shares(&self, id: u32) -> BTreeMap<Slot, InitialShare> {
        self.totals
            .get(&id)
            .map(|it| initial_shares(id, it.0, self.slot_count, self.floor_permille))
            .unwrap_or_default()
    }

    fn own_shares(&self, own: Slot) -> BTreeMap<u32, InitialShare> {
        self.totals
            .keys()
            .map(|&id| (id, self.initial_shares(id).get(&own).copied().unwrap_or_default()))
            .collect()
    }
}

/// What a gateway has promised, for its next life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedAllocation {
    /// The generation it is at.
    pub generation: u32,
    /// The digest of that.
    pub digest: u64,
    /// Whether all are.
    pub agreed: bool,
    /// Gateways that must be at it, by the lists since the last agreement.
    pub slots: u16,
    /// Whether its list has this gateway.
    pub listed: bool,
    /// What it uses of each budget, at most.
    pub roots: BTreeMap<u32, InitialShare>,
}

/// Settings that are not taken; what was in use stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StaleAllocation {
    /// Their generation is below the one in use.
    #[error("generation {found}, expected {at} or a later one")]
    Older {
        /// What they say.
        found: u32,
        /// What is in use.
        at: u32,
    },
    /// They say something else than the settings of the same generation did before.
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

/// What a gateway says of the generation it is at, and who has promised as far as it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationVersion {
    /// The generation.
    pub generation: u32,
    /// Its digest.
    pub digest: u64,
    /// Whether it is agreed on.
    pub agreed: bool,
    /// Which gateways `promised` is about: 256 from so many times 256 on.
    pub bitmap_part: u16,
    /// A bit a gateway.
    pub commitments: [u64; BITMAP_WORDS],
}

/// Why somebody's word was of no use, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mismatch {
    /// It is at a later generation: this one's settings are old.
    LaterGeneration(u32),
    /// It is at an earlier one.
    EarlierGeneration(u32),
    /// Its settings under the same number are others.
    DifferentContent,
}

/// One gateway's part in a change.
#[derive(Debug, Clone)]
pub struct AllocationAgreement {
    own_slot: Slot,
    allocation: Allocation,
    digest: u64,
    is_agreed: bool,
    /// What the settings give this gateway, and what it uses.
    target_shares: BTreeMap<u32, InitialShare>,
    active_shares: BTreeMap<u32, InitialShare>,
    required_slots: u16,
    commitments: Vec<u64>,
    /// Whether what is promised is written down, and what is on loan is within it.
    is_persisted: bool,
    next_part: u16,
    mismatches: BTreeMap<Slot, Mismatch>,
    mutation: ActiveMutation,
}

/// Words that are kept for the log.
const MAX_MISMATCHES: usize = 64;

impl AllocationAgreement {
    /// A life that begins with these settings, where an earlier one has promised `kept`. One that knows of none and
    /// begins under a later generation than the first has nothing before it hears that all are at it: it cannot
    /// know what an earlier life may use still, or the others.
    ///
    /// # Errors
    ///
    /// Where an earlier life was at later settings, or at others of the same number.
    pub fn new(
        own: Slot,
        split: Allocation,
        kept: Option<PersistedAllocation>,
    ) -> Result<Self, StaleAllocation> {
        let mut new = Self {
            own_slot: own,
            digest: split.digest(),
            is_agreed: false,
            target_shares: split.own_shares(own),
            active_shares: BTreeMap::new(),
            required_slots: split.slot_count,
            commitments: Vec::new(),
            is_persisted: false,
            next_part: 0,
            mismatches: BTreeMap::new(),
            mutation: ActiveMutation::default(),
            allocation: split,
        };
        match kept {
            Some(kept) => new.adopt_persisted(&kept)?,
            None if new.allocation.generation <= 1 => new.active_shares = new.target_shares.clone(),
            None => {
                new.active_shares =
                    new.target_shares.keys().map(|&id| (id, InitialShare::default())).collect()
            }
        }
        new.is_agreed |= new.allocation.generation <= 1 && new.active_shares == new.target_shares;
        new.reset_commitments();
        Ok(new)
    }

    /// Breaks it on purpose.
    #[cfg(feature = "broken")]
    pub fn set_mutation(&mut self, broken: Mutation) {
        self.mutation.mutation = Some(broken);
        if broken == Mutation::ForgetCommitment {
            self.active_shares = self.target_shares.clone();
        }
    }

    /// Settings that were read while it runs. What they give less is less at once.
    ///
    /// # Errors
    ///
    /// Where they are older, or others of the same number; nothing has changed then.
    pub fn update(&mut self, split: Allocation) -> Result<(), StaleAllocation> {
        let mut next = Self {
            digest: split.digest(),
            target_shares: split.own_shares(self.own_slot),
            required_slots: split.slot_count,
            is_agreed: false,
            mismatches: BTreeMap::new(),
            allocation: split,
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
        let (found, at) = (self.allocation.generation, before.generation);
        if found < at {
            return Err(StaleAllocation::Older { found, at });
        }
        if found == at && before.digest != self.digest {
            return Err(StaleAllocation::Conflicting { generation: found });
        }
        self.is_agreed = found == at && before.agreed;
        self.required_slots = self.required_slots.max(before.slots);
        self.active_shares = if self.is_agreed || self.mutation.is(Mutation::RaiseShareImmediately) {
            self.target_shares.clone()
        } else {
            // A budget that one side does not have is one without a bound there. Who was not on that list has not been
            // asked since: it has nothing of what is new until it hears that all are here.
            let mut least = self.target_shares.clone();
            if !before.listed {
                least.values_mut().for_each(|root| *root = InitialShare::default());
            }
            for (&id, &root) in &before.roots {
                let due = least.entry(id).or_insert(root);
                *due = InitialShare {
                    floor: due.floor.min(root.floor),
                    lendable: due.lendable.min(root.lendable),
                };
            }
            least
        };
        Ok(())
    }

    fn reset_commitments(&mut self) {
        self.commitments = vec![0; usize::from(self.required_slots.max(self.own_slot.0 + 1)).div_ceil(64)];
        self.is_persisted = false;
    }

    /// The settings it is at.
    #[must_use]
    pub fn allocation(&self) -> &Allocation {
        &self.allocation
    }

    /// Whether all are at them, so that the whole of the roots is in use.
    #[must_use]
    pub fn is_agreed(&self) -> bool {
        self.is_agreed
    }

    /// What may be used of each budget.
    #[must_use]
    pub fn active_shares(&self) -> &BTreeMap<u32, InitialShare> {
        &self.active_shares
    }

    /// Gateways that have not promised, as far as is known here.
    #[must_use]
    pub fn uncommitted(&self) -> Vec<Slot> {
        let all = (0..if self.is_agreed { 0 } else { self.required_slots }).map(Slot);
        all.filter(|slot| !self.has_committed(*slot)).collect()
    }

    /// Whose settings are others, since these were read.
    #[must_use]
    pub fn mismatches(&self) -> &BTreeMap<Slot, Mismatch> {
        &self.mismatches
    }

    /// What is to be written down, for the next life; tell with [`Agreement::written`] that it is.
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

    /// What [`Agreement::kept`] says is written down, or there is no place for it: then a later life begins with
    /// nothing.
    pub fn mark_persisted(&mut self) {
        self.is_persisted = true;
    }

    /// Promises, where `within` says that of no budget more is on loan than the roots in use allow, and none of an
    /// earlier life's loans may be out.
    pub fn commit(&mut self, within: bool) {
        if self.is_persisted && (within || self.mutation.is(Mutation::CommitBeforeLeasesEnd)) {
            let at = usize::from(self.own_slot.0);
            self.commitments[at / 64] |= 1 << (at % 64);
            self.complete_if_all_committed();
        }
    }

    /// An operator says that no gateway runs that is not at this generation.
    pub fn confirm(&mut self) {
        self.complete();
    }

    fn has_committed(&self, slot: Slot) -> bool {
        let at = usize::from(slot.0);
        self.commitments.get(at / 64).is_some_and(|word| word & (1 << (at % 64)) != 0)
    }

    fn complete_if_all_committed(&mut self) {
        if !self.is_agreed && (0..self.required_slots).all(|slot| self.has_committed(Slot(slot))) {
            self.complete();
        }
    }

    fn complete(&mut self) {
        self.is_agreed = true;
        self.active_shares = self.target_shares.clone();
        self.required_slots = self.allocation.slot_count;
    }

    /// What is told to somebody, another part each time.
    pub fn next_message(&mut self) -> AllocationVersion {
        let parts = self.commitments.len().div_ceil(BITMAP_WORDS).max(1) as u16;
        self.next_part = (self.next_part + 1) % parts;
        let mut promised = [0; BITMAP_WORDS];
        if !self.is_agreed {
            let from = usize::from(self.next_part) * BITMAP_WORDS;
            promised.iter_mut().zip(&self.commitments[from..]).for_each(|(told, word)| *told = *word);
        }
        let (generation, digest, agreed) = (self.allocation.generation, self.digest, self.is_agreed);
        AllocationVersion { generation, digest, agreed, bitmap_part: self.next_part, commitments: promised }
    }

    /// Takes in what another says. True where it is to be told that all are at the generation.
    pub fn handle_message(&mut self, from: Slot, at: AllocationVersion) -> bool {
        let own = self.allocation.generation;
        let differs = match at.generation.cmp(&own) {
            std::cmp::Ordering::Greater => Some(Mismatch::LaterGeneration(at.generation)),
            std::cmp::Ordering::Less => Some(Mismatch::EarlierGeneration(at.generation)),
            std::cmp::Ordering::Equal if at.digest != self.digest => Some(Mismatch::DifferentContent),
            std::cmp::Ordering::Equal => None,
        };
        match differs {
            Some(differs)
                if self.mismatches.len() < MAX_MISMATCHES || self.mismatches.contains_key(&from) =>
            {
                self.mismatches.insert(from, differs);
            }
            Some(_) => {}
            None => _ = self.mismatches.remove(&from),
        }
        let counts = differs.is_none()
            || matches!(differs, Some(Mismatch::LaterGeneration(_)))
                && self.mutation.is(Mutation::CountLaterGeneration);
        if !counts || self.is_agreed {
            return self.is_agreed && differs.is_none() && !at.agreed;
        }
        if at.agreed {
            self.complete();
            return false;
        }
        let from = usize::from(at.bitmap_part) * BITMAP_WORDS;
        self.commitments.iter_mut().skip(from).zip(at.commitments).for_each(|(word, told)| *word |= told);
        self.complete_if_all_committed();
        false
    }

    /// Holds it against its invariants.
    ///
    /// # Errors
    ///
    /// Names the first that is broken.
    pub fn check(&self) -> Result<(), Violation> {
        for (&budget, due) in &self.target_shares {
            let root = self.active_shares.get(&budget).copied().unwrap_or_default();
            let over = root.floor > due.floor || root.lendable > due.lendable;
            if over || (self.is_agreed && root != *due) {
                return Err(Violation::ShareMismatch { budget, found: root, due: *due });
            }
        }
        match self.mismatches.len() > MAX_MISMATCHES {
            true => Err(Violation::OverFull {
                table: "gateways with other settings",
                found: self.mismatches.len(),
                most: MAX_MISMATCHES,
            }),
            false => Ok(()),
        }
    }
}
