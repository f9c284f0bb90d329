//! The ids of ended requests that may have been executed and may not be executed twice.

use std::collections::{HashSet, VecDeque};

use crate::handover::IdDigest;

/// Maximum number of ids. Above it, the oldest one is forgotten.
const MAX_USED_IDS: usize = 65_536;

/// Digests of the most recent ids, in the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct UsedIds {
    digests: HashSet<IdDigest>,
    order: VecDeque<IdDigest>,
}

impl UsedIds {
    /// Adds an id. Returns false if it is already contained.
    pub(super) fn insert(&mut self, digest: IdDigest) -> bool {
        if !self.digests.insert(digest) {
            return false;
        }
        self.order.push_back(digest);
        if self.order.len() > MAX_USED_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.digests.remove(&oldest);
        }
        true
    }

    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    pub(super) fn contains(&self, digest: IdDigest) -> bool {
        self.digests.contains(&digest)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = IdDigest> {
        self.order.iter().copied()
    }
}
