//! What fronts and the core say to each other: reports one way, commands the other. Drivers import
//! this and not each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use ashtide_wire::Ending;
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::discovery::{End, News};
use crate::engine::Answer;
use crate::figures::{Closed, Count, Figures};
use crate::handover::{Cordons, Share};
use crate::interface::{Outcome, PeerId, RequestId, ServerId, Span};

/// Commands that may wait for one session: more than all attempts of a request need.
pub const COMMANDS: usize = 32;

/// What a client asks for, in the words of its front.
#[derive(Debug, Clone, Default)]
pub struct Ask {
    /// The class's name.
    pub class: String,
    /// The tenant's name.
    pub tenant: Option<String>,
    /// The group's name.
    pub group: Option<String>,
    /// How long the client waits.
    pub wait: Span,
    /// Expected load.
    pub load: Option<f64>,
    /// The client asks again, after a refusal or a failure.
    pub retry: bool,
    /// Its connection was moved or broke.
    pub again: bool,
}

/// What the core asks of a front.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Make an attempt.
    Attempt {
        /// Its number.
        attempt: u32,
        /// Where.
        address: SocketAddr,
        /// How long the core will wait.
        timeout: Span,
    },
    /// Give the attempt up.
    Close {
        /// Its number.
        attempt: u32,
    },
    /// The attempt's connection may be used: its first byte may be written, at once or not at all.
    Begin {
        /// Its number.
        attempt: u32,
    },
    /// The attempt's connection counts as standing: its line may go to the client.
    Pass {
        /// Its number.
        attempt: u32,
    },
    /// Give the final answer.
    Answer(Answer),
    /// Send the client of the standing connection away.
    Move,
    /// Pass the standing connection, which the named server holds, to the successor.
    Hand(String),
}

/// Where a front takes its commands.
pub type Port = mpsc::Sender<(RequestId, Command)>;

/// What fronts and drivers tell the core.
#[derive(Debug)]
pub enum Report {
    /// A client asks for a connection.
    Request(RequestId, Ask, Port),
    /// A connection that stood on the named server before.
    Existing(RequestId, Ask, String, Port),
    /// A connection that stands at the named server, taken over from an older process.
    Adopted(RequestId, Ask, String, Port),
    /// An attempt's connection has come up; the front writes nothing before `Begin`, and `Close` comes where it
    /// may not, as much may have changed since the attempt was chosen.
    Connected(RequestId, u32),
    /// An attempt's connection stands; the front waits for `Pass` or `Close`, as the core may just have given
    /// the attempt up.
    Up(RequestId, u32),
    /// An attempt or connection has ended.
    Ended(RequestId, u32, Outcome),
    /// The client has gone.
    Left(RequestId),
    /// A message was passed to the server; and whether its answer is due at once.
    Asked(RequestId, bool),
    /// The server sent something.
    Answered(RequestId),
    /// The connection's load as the server has told it: microseconds of work a second.
    Load(RequestId, f64),
    /// News of the list, on the watch of this number.
    News(u64, News),
    /// The list as an older process of this balancer has it.
    Relayed(News),
    /// What other processes of this balancer hold, by server, and what operators have called out there.
    Beside(BTreeMap<String, Share>, Cordons),
    /// Discovery has answered on the watch of this number, and what came with the answer has been told: nothing
    /// is missed any longer.
    Watching(u64),
    /// A call or watch is over.
    WatchEnded {
        /// How long ago the list was last in step: the last whole object or beat of any watch, or the start.
        in_step: Duration,
        /// How it ended.
        end: End,
        /// Whether the core is to ask for another: not where one is asked for already.
        ask: bool,
    },
    /// A datagram of another gateway.
    Heard(PeerId, Bytes),
    /// A probe is back.
    Probed(ServerId, bool),
    /// A server is to be kept out for work, or no longer: what gateways have settled, not an operator's cordon.
    Keep(String, bool),
    /// What is seen of the list, and of the connections with these servers.
    Look(Vec<String>, oneshot::Sender<Seen>),
    /// Quotas as their file says now.
    Quotas(Box<crate::quota::Settings>),
    /// Leave within this time.
    Leave(Duration),
}

/// What this gateway sees for itself.
#[derive(Debug)]
pub struct Seen {
    /// Servers that are ready by the list, and not taken out by an operator here.
    pub ready: BTreeSet<String>,
    /// Connections with the servers that were asked about.
    pub open: BTreeMap<String, u32>,
}

/// What a front holds of the core.
#[derive(Clone)]
pub struct Handle {
    figures: Arc<Figures>,
    reports: mpsc::Sender<Report>,
    ids: Arc<AtomicU32>,
    watch: Arc<AtomicU64>,
}

impl Handle {
    /// A handle whose reports go here.
    pub fn new(figures: Arc<Figures>, reports: mpsc::Sender<Report>) -> Self {
        Self { figures, reports, ids: Arc::new(AtomicU32::new(1)), watch: Arc::default() }
    }

    /// The figures that all handles count into.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// A new request's id.
    pub fn next_id(&self) -> RequestId {
        RequestId(self.ids.fetch_add(1, Ordering::Relaxed))
    }

    /// The number of a watch that begins: what earlier ones have told and nobody has heard yet is void.
    pub fn next_watch(&self) -> u64 {
        self.watch.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Whether this is what a watch before the present one has told.
    pub fn is_void(&self, report: &Report) -> bool {
        let present = self.watch.load(Ordering::Relaxed);
        matches!(report, Report::News(watch, _) | Report::Watching(watch) if *watch != present)
    }

    /// Counts one of this class.
    pub fn count(&self, count: Count, class: &str) {
        self.figures.count(count, class);
    }

    /// Counts a client that was let go.
    pub fn closed(&self, cause: Closed) {
        self.figures.closed(cause);
    }

    /// Tells the core; waits while it has much to do.
    pub async fn tell(&self, report: Report) {
        // The core only ends with the process.
        let _ = self.reports.send(report).await;
    }
}

/// A span as the runtime counts it.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(u64::try_from(span.as_micros()).unwrap_or_default())
}

/// A runtime's duration as the core counts it.
pub fn span(duration: Duration) -> Span {
    Span::from_micros(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
}

impl From<Ending> for Outcome {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Served => Outcome::Ok,
            Ending::Moved => Outcome::Cancelled,
            Ending::Busy => Outcome::QueueFull,
            Ending::Failed => Outcome::Failed,
            Ending::Unreached => Outcome::ConnectError,
            Ending::Reset => Outcome::Reset,
        }
    }
}
