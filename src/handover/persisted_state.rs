//! State that outlives a process.

use serde::{Deserialize, Serialize};

use super::{Cordons, Deployment};

/// Contents of the state file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, expecting = "struct Kept")]
pub struct PersistedState {
    /// Deployment that wrote it; `None` in files of older versions.
    #[serde(rename = "whose")]
    pub deployment: Option<Deployment>,
    /// Whether clients no longer restore connections of before the start.
    #[serde(rename = "begun")]
    pub restore_phase_over: bool,
    /// Servers that operators have cordoned.
    pub cordons: Cordons,
}
