//! What happened in a play: entries in the order of time, one JSON object a line.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::{Deserialize, Serialize};

use crate::FaultRunError;
use crate::mesh::Traffic;
use crate::plan::{FaultAction, FaultPlan};

/// What a client got for its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum Answer {
    /// `UP`, with the server's receipt.
    Up {
        /// The receipt.
        receipt: String,
    },
    /// `BUSY`, with the wait that it told.
    Busy {
        /// In milliseconds.
        ms: Option<u64>,
    },
    /// Another line.
    Failed {
        /// The line.
        line: String,
    },
    /// The connection could not be made, or broke before the request was written: nobody has taken it.
    #[serde(rename = "untaken")]
    NotSent,
    /// The connection ended with no answer.
    Ended,
    /// Nothing, until the client stopped waiting.
    #[serde(rename = "nothing")]
    TimedOut,
}

/// How a standing connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseReason {
    /// The client had had enough.
    #[serde(rename = "done")]
    ClientFinished,
    /// It was sent away with `MOVE`.
    Moved,
    /// It was cut off.
    Broken,
    /// A line was not returned within 7 s.
    Silent,
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The rig had sent SIGTERM.
    #[serde(rename = "asked")]
    Terminated,
    /// The rig had sent SIGKILL.
    Killed,
    /// Nobody had asked it to.
    #[serde(rename = "alone")]
    Unexpected,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// The play began. Always the first.
    #[serde(rename = "begun")]
    RunStarted {
        /// Its plan.
        plan: Box<FaultPlan>,
    },
    /// A step of the plan was played.
    Step {
        /// What it did.
        did: FaultAction,
    },
    /// A process takes clients.
    Started {
        /// Its number, from 0, in the order of starts.
        process: usize,
        /// The gateway that it is.
        gateway: usize,
    },
    /// SIGTERM was sent to it.
    #[serde(rename = "asked")]
    TerminationRequested {
        /// Which process.
        process: usize,
    },
    /// SIGSTOP was sent to it, or SIGCONT.
    Stalled {
        /// Which process.
        process: usize,
        /// Whether it stands still from now on.
        stalled: bool,
    },
    /// It has ended.
    Ended {
        /// Which process.
        process: usize,
        /// How.
        how: ExitCause,
        /// Whether its exit status was 0.
        well: bool,
    },
    /// Discovery tells this of a server from now on.
    #[serde(rename = "listed")]
    EndpointListed {
        /// Its name.
        server: String,
        /// Its state; `DELETED` where it is off the list.
        status: String,
        /// Whether it has just started.
        cold: bool,
    },
    /// A client sent its `OPEN` line, or tried to.
    Request {
        /// The line's id.
        request: String,
        /// Where it was sent.
        process: usize,
        /// The client's zone and tenant.
        zone: usize,
        /// The tenant's number.
        tenant: usize,
        /// Whether the client comes back after a move or a break.
        again: bool,
    },
    /// The client's request is over for it, or a second word came.
    Answered {
        /// Which request.
        request: String,
        /// What it got.
        #[serde(flatten)]
        answer: Answer,
    },
    /// A standing connection is over.
    Closed {
        /// The request by which it came up.
        request: String,
        /// How.
        how: CloseReason,
    },
    /// An attempt reached a server.
    Attempt {
        /// The request's id.
        request: String,
        /// The server.
        server: String,
        /// The receipt that goes with it.
        receipt: String,
        /// When it was answered or given up, in microseconds since the beginning; none where it is out still.
        until_us: Option<u64>,
    },
    /// What an operators' door said.
    #[serde(rename = "door")]
    AdminSample {
        /// Whose.
        process: usize,
        /// Whether `health` was answered `200`; none where nothing came in time.
        ready: Option<bool>,
        /// Its figures, by name, classes summed up.
        figures: BTreeMap<String, f64>,
        /// Answers to the plan's further calls.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        calls: BTreeMap<String, String>,
    },
    /// No client comes or goes from here on, so that counts can be compared.
    #[serde(rename = "still")]
    LoadStopped {
        /// Standing connections at each process, as the clients have them.
        standing: BTreeMap<usize, u64>,
    },
    /// The operators' doors agreed with the clients, or did not in the time that the plan gives.
    Settled {
        /// What still differed; empty where nothing did.
        differs: Vec<String>,
    },
    /// How long the rig itself was late, up to here.
    #[serde(rename = "late")]
    HarnessDelay {
        /// In milliseconds.
        ms: u64,
    },
    /// What has gone between two members; written at the end.
    #[serde(rename = "passed")]
    LinkTraffic {
        /// Which network: 0 is that of `peer_listen`, then the plan's further sockets.
        net: usize,
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// How much.
        #[serde(flatten)]
        traffic: Traffic,
    },
}

/// Something, and when.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Microseconds since the beginning.
    pub at_us: u64,
    /// What.
    #[serde(flatten)]
    pub event: Event,
}

/// All that happened, in the order of time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History(pub Vec<Entry>);

impl History {
    /// As a timeline: one JSON object a line.
    pub fn to_json_lines(&self) -> String {
        let mut text = String::new();
        for entry in &self.0 {
            // All keys are strings and all figures finite, so each entry has its JSON.
            let line = serde_json::to_string(entry).unwrap_or_default();
            let _ = writeln!(text, "{line}");
        }
        text
    }

    /// Reads a timeline.
    ///
    /// # Errors
    ///
    /// Fails on a line that is no entry, and says which.
    pub fn read(text: &str) -> Result<Self, FaultRunError> {
        let entry = |(at, line): (usize, &str)| {
            serde_json::from_str(line).map_err(|problem| FaultRunError::Timeline { line: at + 1, problem })
        };
        let lines = text.lines().enumerate().filter(|(_, line)| !line.is_empty());
        Ok(Self(lines.map(entry).collect::<Result<_, _>>()?))
    }

    /// The plan that was played.
    pub fn plan(&self) -> Option<&FaultPlan> {
        self.0.iter().find_map(|entry| match &entry.event {
            Event::RunStarted { plan } => Some(&**plan),
            _ => None,
        })
    }
}
