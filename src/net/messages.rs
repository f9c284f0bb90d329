//! What fronts and the core say to each other: reports one way, commands the other. Drivers import
//! this and not each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use ashtide_protocol::Ending;
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::decision::interface::{GatewayId, Outcome, RequestId, ServerId, Span};
use crate::discovery::{EndpointList, WatchEnd};
use crate::engine::FinalAnswer;
use crate::handover::{Cordons, ServerUsage};
use crate::metrics::{CloseReason, Counter, Metrics};

/// Commands that may wait for one session: more than all attempts of a request need.
pub const SESSION_COMMAND_QUEUE: usize = 32;

/// What a client asks for, in the words of its front.
#[derive(Debug, Clone, Default)]
pub struct ConnectionRequest {
    /// The class's name.
    pub class: String,
    /// The tenant's name.
    pub tenant: Option<String>,
    /// The group's name.
    pub group: Option<String>,
    /// How long the client waits.
    pub client_timeout: Span,
    /// Expected load.
    pub expected_load: Option<f64>,
    /// The client asks again, after a refusal or a failure.
    pub is_retry: bool,
    /// Its connection was moved or broke.
    pub is_reconnect: bool,
}

/// What the core asks of a front.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionCommand {
    /// Make an attempt.
    StartAttempt {
        /// Its number.
        attempt: u32,
        /// Where.
        address: SocketAddr,
        /// How long the core will wait.
        timeout: Span,
    },
    /// Give the attempt up.
    CancelAttempt {
        /// Its number.
        attempt: u32,
    },
    /// The attempt's connection may be used: its first byte may be written, at once or not at all.
    SendFirstLine {
        /// Its number.
        attempt: u32,
    },
    /// The attempt's connection counts as standing: its line may go to the client.
    ConfirmEstablished {
        /// Its number.
        attempt: u32,
    },
    /// Give the final answer.
    Answer(FinalAnswer),
    /// Send the client of the standing connection away.
    Migrate,
    /// Pass the standing connection, which the named server holds, to the successor.
    HandOff(String),
}

/// Where a front takes its commands.
pub type CommandSender = mpsc::Sender<(RequestId, SessionCommand)>;

/// What fronts and drivers tell the core.
#[derive(Debug)]
pub enum DriverEvent {
    /// A client asks for a connection.
    ConnectionRequested(RequestId, ConnectionRequest, CommandSender),
    /// A connection that stood on the named server before.
    RestoreRequested(RequestId, ConnectionRequest, String, CommandSender),
    /// A connection that stands at the named server, taken over from an older process.
    ConnectionAdopted(RequestId, ConnectionRequest, String, CommandSender),
    /// An attempt's connection has come up; the front writes nothing before `Begin`, and `Close` comes where it
    /// may not, as much may have changed since the attempt was chosen.
    AttemptConnected(RequestId, u32),
    /// An attempt's connection stands; the front waits for `Pass` or `Close`, as the core may just have given
    /// the attempt up.
    AttemptEstablished(RequestId, u32),
    /// An attempt or connection has ended.
    AttemptEnded(RequestId, u32, Outcome),
    /// The client has gone.
    ClientLeft(RequestId),
    /// A message was passed to the server; and whether its answer is due at once.
    MessageForwarded(RequestId, bool),
    /// The server sent something.
    ServerResponded(RequestId),
    /// The connection's load as the server has told it: microseconds of work a second.
    LoadReported(RequestId, f64),
    /// News of the list, on the watch of this number.
    ListUpdated(u64, EndpointList),
    /// The list as an older process of this balancer has it.
    SiblingList(EndpointList),
    /// What other processes of this balancer hold, by server, and what operators have called out there.
    SiblingState(BTreeMap<String, ServerUsage>, Cordons),
    /// Discovery has answered on the watch of this number, and what came with the answer has been told: nothing
    /// is missed any longer.
    WatchSynced(u64),
    /// A call or watch is over.
    WatchEnded {
        /// How long ago the list was last in step: the last whole object or beat of any watch, or the start.
        since_synced: Duration,
        /// How it ended.
        end: WatchEnd,
        /// Whether the core is to ask for another: not where one is asked for already.
        resubscribe: bool,
    },
    /// A datagram of another gateway.
    DatagramReceived(GatewayId, Bytes),
    /// A probe is back.
    HealthChecked(ServerId, bool),
    /// A server is to be kept out for work, or no longer: what gateways have settled, not an operator's cordon.
    MaintenanceCordon(String, bool),
    /// What is seen of the list, and of the connections with these servers.
    ServersInspected(Vec<String>, oneshot::Sender<ServerObservations>),
    /// Quotas as their file says now.
    QuotasReloaded(Box<crate::fleet::quota::Settings>),
    /// Leave within this time.
    ShutdownRequested(Duration),
}

/// What this gateway sees for itself.
#[derive(Debug)]
pub struct ServerObservations {
    /// Servers that are ready by the list, and not taken out by an operator here.
    pub ready: BTreeSet<String>,
    /// Connections with the servers that were asked about.
    pub open_connections: BTreeMap<String, u32>,
}

/// What a front holds of the core.
#[derive(Clone)]
pub struct EventLoopHandle {
    metrics: Arc<Metrics>,
    events: mpsc::Sender<DriverEvent>,
    request_ids: Arc<AtomicU32>,
    current_watch: Arc<AtomicU64>,
}

impl EventLoopHandle {
    /// A handle whose reports go here.
    pub fn new(metrics: Arc<Metrics>, events: mpsc::Sender<DriverEvent>) -> Self {
        Self { metrics, events, request_ids: Arc::new(AtomicU32::new(1)), current_watch: Arc::default() }
    }

    /// The figures that all handles count into.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// A new request's id.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.request_ids.fetch_add(1, Ordering::Relaxed))
    }

    /// The number of a watch that begins: what earlier ones have told and nobody has heard yet is void.
    pub fn start_watch(&self) -> u64 {
        self.current_watch.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Whether this is what a watch before the present one has told.
    pub fn is_stale(&self, event: &DriverEvent) -> bool {
        let current = self.current_watch.load(Ordering::Relaxed);
        matches!(event, DriverEvent::ListUpdated(watch, _) | DriverEvent::WatchSynced(watch) if *watch != current)
    }

    /// Counts one of this class.
    pub fn count(&self, count: Counter, class: &str) {
        self.metrics.increment(count, class);
    }

    /// Counts a client that was let go.
    pub fn count_closed(&self, reason: CloseReason) {
        self.metrics.record_close(reason);
    }

    /// Tells the core; waits while it has much to do.
    pub async fn send(&self, event: DriverEvent) {
        // The core only ends with the process.
        let _ = self.events.send(event).await;
    }
}

/// A span as the runtime counts it.
pub fn to_duration(span: Span) -> Duration {
    Duration::from_micros(u64::try_from(span.as_micros()).unwrap_or_default())
}

/// A runtime's duration as the core counts it.
pub fn to_span(duration: Duration) -> Span {
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
