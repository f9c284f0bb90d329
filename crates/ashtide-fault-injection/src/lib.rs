//! Fault injection: several real daemons on loopback, with faults between them.
//!
//! A [`FaultPlan`] is data: gateways, zones, servers, the load of each tenant in each zone, and the faults with their
//! times. [`run_plan`] starts the processes, sends the datagrams between gateways through a [`ProxyMesh`] that loses,
//! delays, duplicates and reorders them, carries the plan out in real time, and returns a [`History`]: a timeline in JSON
//! lines. [`violations`] reads a history, just recorded or from a file, and names the invariants that did not hold; it
//! knows no process and no clock.
//!
//! Every run is bounded in time and count, and every process that it starts ends with it, also after a panic.

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

/// Why a plan could not be played, or a timeline not be read. It says nothing of the daemon's conduct:
/// that is a [`Violation`].
#[derive(Debug, thiserror::Error)]
pub enum FaultRunError {
    /// A figure of the plan is outside what the rig can play.
    #[error("plan: {what} is {found}, expected {expected}")]
    Plan {
        /// Which figure.
        what: &'static str,
        /// What the plan says.
        found: String,
        /// What it may say.
        expected: String,
    },
    /// A process did not start, or did not do what its stand-ins waited for.
    #[error("gateway {gateway}: {problem}")]
    Gateway {
        /// Which gateway.
        gateway: usize,
        /// What went wrong.
        problem: ScenarioError,
    },
    /// Stand-in servers or discovery could not be started.
    #[error("stand-ins: {0}")]
    StandIns(#[from] ScenarioError),
    /// The play went on for longer than its plan says, and was given up.
    #[error("the play took over {found_ms} ms, expected {expected_ms} ms at most")]
    DeadlineExceeded {
        /// How long it has taken.
        found_ms: u64,
        /// How long its plan and its ends may take.
        expected_ms: u64,
    },
    /// The machine was too busy: what came late may be its doing and not the daemon's, so nothing is judged.
    #[error("the rig itself was late for {found_ms} ms, expected {expected_ms} ms at most")]
    HarnessDelayed {
        /// How long.
        found_ms: u64,
        /// How long it may be: the plan's `late_ms`.
        expected_ms: u64,
    },
    /// A line of a timeline cannot be read.
    #[error("timeline, line {line}: {problem}; expected one entry of JSON")]
    Timeline {
        /// Which line, from 1.
        line: usize,
        /// What is wrong with it.
        problem: serde_json::Error,
    },
    /// The system failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl FaultRunError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Plan { .. } => "correct the plan; docs/fault-injection.md lists each figure's bounds",
            Self::Gateway { .. } => {
                "build the daemon and start it by hand with the same settings; ASHTIDE_REHEARSE_LOG=1 shows its log"
            }
            Self::StandIns(_) => {
                "look for free ports and descriptors: a play of n gateways needs about 12 n + 300"
            }
            Self::DeadlineExceeded { .. } => {
                "give the machine's cores back and play again; fewer gateways need fewer"
            }
            Self::HarnessDelayed { .. } => {
                "play again when less else runs; a longer late_ms makes late verdicts doubtful"
            }
            Self::Timeline { .. } => "play the plan again: timelines of other versions cannot be read",
            Self::Io(_) => "look at the system's error: ports, descriptors, or the folder for files",
        }
    }
}
