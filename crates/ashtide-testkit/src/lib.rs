//! Test kit for the daemon: mock clients, mock servers, a mock discovery service, and bounded scenarios
//! that check the daemon's behaviour.
//!
//! All traffic uses loopback addresses. The kit checks correctness and doesn't measure load.

pub mod attempt_log;
pub mod clients;
pub mod daemon;
pub mod mock_backend;
pub mod relay;
pub mod scenarios;
pub mod system_faults;

use std::io;
use std::time::Duration;

/// Stateless reset key that mock servers share with the daemon, in hex.
pub const RESET_KEY: &str = "00112233445566778899aabbccddeeff";
/// Length in bytes of the connection ids that mock servers issue.
pub const ID_LENGTH: usize = 12;
/// Time limit of a single step of a scenario.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Error that prevents a scenario from running to completion.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// An expected event or resource, named here, was not available within the time limit.
    #[error("{0}: not available within the time limit")]
    TimedOut(&'static str),
    /// No scenario has this name.
    #[error("unknown scenario '{0}'")]
    UnknownScenario(String),
}

/// Result of one check of a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// Name of the expected condition.
    pub name: String,
    /// Whether the condition was met.
    pub passed: bool,
    /// Description of the observed value.
    pub observed: String,
}

/// Checks of one scenario, in the order in which they were made.
#[derive(Debug, Default)]
pub struct Checks(pub Vec<Check>);

impl Checks {
    /// Records the result of a check.
    pub fn record(&mut self, name: &str, passed: bool, observed: impl ToString) {
        self.0.push(Check { name: name.to_owned(), passed, observed: observed.to_string() });
    }

    /// Records a check that two values are equal.
    pub fn record_equal<T: PartialEq + std::fmt::Debug>(&mut self, name: &str, actual: T, expected: T) {
        self.record(name, actual == expected, format!("{actual:?}, expected {expected:?}"));
    }

    /// Returns whether there is at least one check and all checks passed.
    pub fn passed(&self) -> bool {
        !self.0.is_empty() && self.0.iter().all(|check| check.passed)
    }
}

/// Waits for `event` for at most [`STEP_TIMEOUT`]. `what` names the event in the error.
///
/// # Errors
///
/// Returns [`ScenarioError::TimedOut`] if the event does not occur in that time.
pub async fn within<T>(what: &'static str, event: impl Future<Output = T>) -> Result<T, ScenarioError> {
    tokio::time::timeout(STEP_TIMEOUT, event).await.map_err(|_| ScenarioError::TimedOut(what))
}
