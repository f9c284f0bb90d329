//! Fault injection: runs several daemon processes on loopback and injects faults into them and their network.
//!
//! A [`FaultPlan`] is data: gateways, zones, servers, the load of each tenant in each zone, and the faults
//! with their times. [`run_plan`] starts the processes, sends the datagrams between gateways through a
//! [`ProxyMesh`] that drops, delays, duplicates and reorders them, executes the plan in real time, and
//! returns a [`History`]: a timeline in JSON lines. [`violations`] reads a history, just recorded or loaded
//! from a file, and returns the invariants that were violated. It depends on no process and no clock.
//!
//! Every run is bounded in duration, processes and clients. Every process that a run starts is ended with the
//! run, also after a panic.

mod checks;
mod clients;
mod history;
mod mesh;
mod plan;
mod quota;
mod run;
mod summary;
mod violation;

use std::io;

use ashtide_testkit::ScenarioError;

pub use checks::{violations, worst_slow_start_window};
pub use history::{Answer, CloseReason, Entry, Event, ExitCause, History};
pub use mesh::{Link, ProxyMesh, Traffic};
pub use plan::{
    FaultAction, FaultPlan, Load, ProxiedSocket, QuotaPeriod, RandomPlanLimits, SlowStart, Step, Tenant,
};
pub use quota::{PlacedConnection, placed_connections, quota_overshoot};
pub use run::{FaultRun, run_plan};
pub use summary::Summary;
pub use violation::Violation;

/// The reason why a plan could not be executed or a timeline could not be read. Faulty behaviour of the
/// daemon is a [`Violation`] instead.
#[derive(Debug, thiserror::Error)]
pub enum FaultRunError {
    /// A value of the plan is outside the range that the harness supports.
    #[error("plan: {what} is {found}, expected {expected}")]
    Plan {
        /// The name of the value.
        what: &'static str,
        /// The value in the plan.
        found: String,
        /// The permitted range or format.
        expected: String,
    },
    /// A daemon process did not start, or did not do what the mock clients and servers waited for.
    #[error("gateway {gateway}: {problem}")]
    Gateway {
        /// The number of the gateway.
        gateway: usize,
        /// The error that the test kit reported.
        problem: ScenarioError,
    },
    /// The mock servers or the mock discovery could not be started.
    #[error("mock servers and discovery: {0}")]
    Mocks(#[from] ScenarioError),
    /// The run exceeded the time limit that follows from its plan, and was aborted.
    #[error("the fault run took over {found_ms} ms, expected {expected_ms} ms at most; it was aborted")]
    DeadlineExceeded {
        /// The elapsed time in milliseconds.
        found_ms: u64,
        /// The time limit for start, plan and shutdown, in milliseconds.
        expected_ms: u64,
    },
    /// The machine was too busy: delays may be caused by the machine and not by the daemon, so the run has no
    /// verdict.
    #[error("the harness itself was delayed for {found_ms} ms, expected {expected_ms} ms at most")]
    HarnessDelayed {
        /// The sum of the delays of the harness, in milliseconds.
        found_ms: u64,
        /// The permitted sum in milliseconds: `late_ms` of the plan.
        expected_ms: u64,
    },
    /// A line of a timeline is no valid entry.
    #[error("timeline, line {line}: {problem}; expected one entry of JSON")]
    Timeline {
        /// The number of the line, from 1.
        line: usize,
        /// The error that the JSON parser reported.
        problem: serde_json::Error,
    },
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl FaultRunError {
    /// Returns what an operator can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Plan { .. } => "correct the plan; docs/fault-injection.md lists the bounds of each value",
            Self::Gateway { .. } => {
                "build the daemon and start it by hand with the same settings; ASHTIDE_REHEARSE_LOG=1 shows its log"
            }
            Self::Mocks(_) => {
                "check for free ports and descriptors: a run of n gateways needs about 12 n + 300"
            }
            Self::DeadlineExceeded { .. } => {
                "run again when more cores are idle; fewer gateways need fewer cores"
            }
            Self::HarnessDelayed { .. } => {
                "run again when the machine is less busy; \
                 with a larger late_ms, verdicts on delays are unreliable"
            }
            Self::Timeline { .. } => "run the plan again: timelines of other versions cannot be read",
            Self::Io(_) => {
                "check what the system error refers to: ports, descriptors, or the temporary folder"
            }
        }
    }
}
