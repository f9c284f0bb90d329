//! Changes of the request ids that are open at a process, as sent to its siblings.

use serde::{Deserialize, Serialize};

/// Request ids that were opened or closed since the previous message. The first message has all open ids.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OpenIdChanges {
    /// Ids that were opened.
    pub opened: Vec<String>,
    /// Ids that were closed.
    pub closed: Vec<String>,
}

impl OpenIdChanges {
    /// Returns whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.opened.is_empty() && self.closed.is_empty()
    }
}
