//! History of a fault run: entries in the order of time, written as one JSON object per line.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::{Deserialize, Serialize};

use crate::FaultRunError;
use crate::mesh::Traffic;
use crate::plan::{FaultAction, FaultPlan};

/// The result of a request, as the client observed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum Answer {
    /// `UP`, with the receipt of the server.
    Up {
        /// The receipt from the answer.
        receipt: String,
    },
    /// `BUSY`, with the optional wait before a retry.
    Busy {
        /// The wait in milliseconds; `None` if the answer has none.
        ms: Option<u64>,
    },
    /// Any other line.
    Failed {
        /// The line as received.
        line: String,
    },
    /// The connection could not be established, or failed before the request was written: no gateway accepted
    /// it.
    #[serde(rename = "untaken")]
    NotSent,
    /// The connection ended without an answer.
    Ended,
    /// No answer before the client stopped waiting.
    #[serde(rename = "nothing")]
    TimedOut,
}

/// The way in which an established connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseReason {
    /// The client closed it at the end of its session.
    #[serde(rename = "done")]
    ClientFinished,
    /// The gateway sent `MOVE`.
    Moved,
    /// The connection was closed without `MOVE`.
    Broken,
    /// A line was not echoed within 7 s.
    Silent,
}

/// The cause of the exit of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The harness had sent SIGTERM.
    #[serde(rename = "asked")]
    Terminated,
    /// The harness had sent SIGKILL.
    Killed,
    /// The harness had sent neither signal.
    #[serde(rename = "alone")]
    Unexpected,
}

/// An event of a fault run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// The run started. This event is always the first.
    #[serde(rename = "begun")]
    RunStarted {
        /// The plan of the run.
        plan: Box<FaultPlan>,
    },
    /// A step of the plan is executed.
    Step {
        /// The action of the step.
        #[serde(rename = "did")]
        action: FaultAction,
    },
    /// A process has started and accepts clients.
    Started {
        /// The number of the process, from 0, in the order of starts.
        process: usize,
        /// The number of its gateway.
        gateway: usize,
    },
    /// SIGTERM was sent to a process.
    #[serde(rename = "asked")]
    TerminationRequested {
        /// The number of the process.
        process: usize,
    },
    /// SIGSTOP or SIGCONT was sent to a process.
    Stalled {
        /// The number of the process.
        process: usize,
        /// Whether the process was suspended (SIGSTOP) or resumed (SIGCONT).
        stalled: bool,
    },
    /// A process has exited.
    Ended {
        /// The number of the process.
        process: usize,
        /// The cause of the exit.
        #[serde(rename = "how")]
        cause: ExitCause,
        /// Whether the exit status was 0.
        #[serde(rename = "well")]
        success: bool,
    },
    /// Discovery lists a server with a new state.
    #[serde(rename = "listed")]
    EndpointListed {
        /// The name of the server.
        server: String,
        /// The listed state; `DELETED` if the server was removed from the endpoint list.
        status: String,
        /// Whether the server has just started and is in slow start.
        cold: bool,
    },
    /// A client sent an `OPEN` line, or tried to send one.
    Request {
        /// The request id in the line.
        request: String,
        /// The number of the process that the line was sent to.
        process: usize,
        /// The number of the zone of the client.
        zone: usize,
        /// The number of the tenant of the client.
        tenant: usize,
        /// Whether the client reconnects after a `MOVE` or a broken connection.
        #[serde(rename = "again")]
        is_reconnect: bool,
    },
    /// A request ended for its client, or a further answer was received.
    Answered {
        /// The id of the request.
        request: String,
        /// The result of the request.
        #[serde(flatten)]
        answer: Answer,
    },
    /// An established connection ended.
    Closed {
        /// The id of the request that established the connection.
        request: String,
        /// The way in which the connection ended.
        #[serde(rename = "how")]
        reason: CloseReason,
    },
    /// An attempt reached a server.
    Attempt {
        /// The id of the request.
        request: String,
        /// The name of the server.
        server: String,
        /// The receipt that the server issued for the attempt.
        receipt: String,
        /// The time at which the attempt was answered or cancelled, in microseconds since the start; `None`
        /// if it is still in progress.
        until_us: Option<u64>,
    },
    /// A sample from the admin endpoint of a process.
    #[serde(rename = "door")]
    AdminSample {
        /// The number of the process.
        process: usize,
        /// Whether `health` was answered with `200`; `None` if no answer was received in time.
        ready: Option<bool>,
        /// The metrics by name, summed over classes.
        #[serde(rename = "figures")]
        metrics: BTreeMap<String, f64>,
        /// The answers to the additional calls of the plan, by call.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        calls: BTreeMap<String, String>,
    },
    /// The load stopped. No client connects or disconnects from here on, so that counts can be compared.
    #[serde(rename = "still")]
    LoadStopped {
        /// The number of established connections of the clients, by process.
        #[serde(rename = "standing")]
        open_connections: BTreeMap<usize, u64>,
    },
    /// The admin endpoints agreed with the clients, or the time for convergence ended.
    Settled {
        /// The remaining differences; empty if admin endpoints and clients agreed.
        #[serde(rename = "differs")]
        differences: Vec<String>,
    },
    /// The sum of the delays of the harness up to this entry.
    #[serde(rename = "late")]
    HarnessDelay {
        /// The sum in milliseconds.
        ms: u64,
    },
    /// The traffic from one gateway to another, recorded at the end of the run.
    #[serde(rename = "passed")]
    LinkTraffic {
        /// The number of the network: 0 is that of `peer_listen`, then those of the additional sockets of the
        /// plan.
        net: usize,
        /// The number of the sending gateway.
        from: usize,
        /// The number of the receiving gateway.
        to: usize,
        /// The counts of datagrams and bytes.
        #[serde(flatten)]
        traffic: Traffic,
    },
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The time in microseconds since the start of the run.
    pub at_us: u64,
    /// The event that occurred at this time.
    #[serde(flatten)]
    pub event: Event,
}

/// All entries of a fault run, in the order of time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History(pub Vec<Entry>);

impl History {
    /// Returns the history as a timeline: one JSON object per line.
    pub fn to_json_lines(&self) -> String {
        let mut text = String::new();
        for entry in &self.0 {
            // All keys are strings and all numbers finite, so serialization does not fail.
            let line = serde_json::to_string(entry).unwrap_or_default();
            let _ = writeln!(text, "{line}");
        }
        text
    }

    /// Parses a timeline.
    ///
    /// # Errors
    ///
    /// Returns [`FaultRunError::Timeline`] with the line number if a line is no valid entry.
    pub fn read(text: &str) -> Result<Self, FaultRunError> {
        let parse = |(index, line): (usize, &str)| {
            serde_json::from_str(line).map_err(|problem| FaultRunError::Timeline { line: index + 1, problem })
        };
        let lines = text.lines().enumerate().filter(|(_, line)| !line.is_empty());
        Ok(Self(lines.map(parse).collect::<Result<_, _>>()?))
    }

    /// Returns the plan of the run; `None` if the history has no start event.
    pub fn plan(&self) -> Option<&FaultPlan> {
        self.0.iter().find_map(|entry| match &entry.event {
            Event::RunStarted { plan } => Some(&**plan),
            _ => None,
        })
    }
}
