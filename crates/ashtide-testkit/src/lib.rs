//! The rehearsal kit: stand-ins for all that stands round the daemon, and bounded scenarios that
//! check what the daemon does. It checks correctness and measures no load; everything is loopback.

pub mod attempt_log;
pub mod clients;
pub mod daemon;
pub mod mock_backend;
pub mod relay;
pub mod scenarios;
pub mod system_faults;

use std::io;
use std::time::Duration;

/// The key that stand-in servers share with the daemon for reset tokens, in hex.
pub const RESET_KEY: &str = "00112233445566778899aabbccddeeff";
/// Length of the ids that stand-in servers issue.
pub const ID_LENGTH: usize = 12;
/// Any single step of a scenario ends by then.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a scenario could not be played.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The system failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Something that had to come did not.
    #[error("{0} did not come in time")]
    TimedOut(&'static str),
    /// There is no scenario of this name.
    #[error("no scenario '{0}'")]
    UnknownScenario(String),
}

/// One thing that a scenario looked at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// What should be so.
    pub name: String,
    /// Whether it is.
    pub passed: bool,
    /// What was seen.
    pub observed: String,
}

/// The checks of one scenario.
#[derive(Debug, Default)]
pub struct Checks(pub Vec<Check>);

impl Checks {
    /// Records a check.
    pub fn record(&mut self, name: &str, passed: bool, observed: impl ToString) {
        self.0.push(Check { name: name.to_owned(), passed, observed: observed.to_string() });
    }

    /// Records that two things are equal.
    pub fn record_equal<T: PartialEq + std::fmt::Debug>(&mut self, name: &str, is: T, should: T) {
        self.record(name, is == should, format!("{is:?}, should be {should:?}"));
    }

    /// Whether all passed, and there were any.
    pub fn passed(&self) -> bool {
        !self.0.is_empty() && self.0.iter().all(|check| check.passed)
    }
}

/// Waits for something within [`STEP_TIMEOUT`].
///
/// # Errors
///
/// Fails where it does not come.
pub async fn within<T>(what: &'static str, event: impl Future<Output = T>) -> Result<T, ScenarioError> {
    tokio::time::timeout(STEP_TIMEOUT, event).await.map_err(|_| ScenarioError::TimedOut(what))
}
