//! Changes of the request ids that are open at a process or may not be opened again, as sent to its siblings.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Request ids that were opened or closed since the previous message. The first message has all open ids and
/// all that may not be opened again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OpenIdChanges {
    /// Ids that were opened.
    pub opened: Vec<String>,
    /// Ids that were closed.
    pub closed: Vec<String>,
    /// Digests of the ids that may not be opened again.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub used: Vec<IdDigest>,
}

/// Digest of a request id, the same in all processes: the first eight bytes of its SHA-256 hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IdDigest(u64);

impl IdDigest {
    /// Computes the digest of an id.
    pub fn new(id: &str) -> Self {
        let hash = Sha256::digest(id.as_bytes());
        Self(u64::from_be_bytes(std::array::from_fn(|index| hash[index])))
    }
}

impl OpenIdChanges {
    /// Returns whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.opened.is_empty() && self.closed.is_empty() && self.used.is_empty()
    }
}
