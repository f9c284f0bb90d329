//! State that a process stores for the processes that start after it.

use serde::{Deserialize, Serialize};

use super::{Cordons, Deployment};

/// Contents of the state file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, expecting = "struct Kept")]
pub struct PersistedState {
    /// Deployment of the process that wrote the file; `None` in files of older versions.
    #[serde(rename = "whose")]
    pub deployment: Option<Deployment>,
    /// Whether the restore phase is over, in which clients restore connections that they had before the
    /// start.
    #[serde(rename = "begun")]
    pub restore_phase_over: bool,
    /// Cordons and uncordons by operators.
    pub cordons: Cordons,
}
