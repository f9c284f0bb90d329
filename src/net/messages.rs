//! Messages between the event loop and the tasks around it: events to the event loop, and commands to
//! sessions. Drivers depend on this module and not on each other.

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

/// Capacity of one session's command queue, which is more than all attempts of a request need.
pub const SESSION_COMMAND_QUEUE: usize = 32;

/// Time limit for restoring a connection that existed before the start, unless the client waits longer. A
/// connection that is not established by then is lost.
pub const RESTORE_TIMEOUT: Duration = Duration::from_secs(40);

/// A client's request for a connection, with the class, tenant and group by name.
#[derive(Debug, Clone, Default)]
pub struct ConnectionRequest {
    /// Name of the class.
    pub class: String,
    /// Name of the tenant, if the client has one.
    pub tenant: Option<String>,
    /// Name of the group, if the client has one.
    pub group: Option<String>,
    /// Time for which the client waits for a connection.
    pub client_timeout: Span,
    /// Expected load, in the unit of the settings.
    pub expected_load: Option<f64>,
    /// Whether the client repeats a request that was rejected or failed.
    pub is_retry: bool,
    /// Whether the client reconnects after its connection was migrated or lost.
    pub is_reconnect: bool,
}

/// A command of the event loop to a session.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionCommand {
    /// Starts an attempt to connect to a server.
    StartAttempt {
        /// Number of the attempt among those of the request, from 0.
        attempt: u32,
        /// Address of the server.
        address: SocketAddr,
        /// Time for which the event loop waits for the attempt's result.
        timeout: Span,
    },
    /// Cancels an attempt of the request.
    CancelAttempt {
        /// Number of the attempt among those of the request, from 0.
        attempt: u32,
    },
    /// Permits use of the attempt's connection. Its first byte is written immediately or not at all.
    SendFirstLine {
        /// Number of the attempt among those of the request, from 0.
        attempt: u32,
    },
    /// Confirms that the attempt's connection is established. The server's line may be sent to the client.
    ConfirmEstablished {
        /// Number of the attempt among those of the request, from 0.
        attempt: u32,
    },
    /// Sends the final answer to the client.
    Answer(FinalAnswer),
    /// Sends `MOVE` to the client of the established connection and ends the connection.
    Migrate,
    /// Transfers the established connection to the successor (handoff).
    HandOff {
        /// Name of the connection's server.
        server: String,
    },
}

/// A command with the request to which it applies, as one queue may serve many requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestCommand {
    /// Id of the request.
    pub id: RequestId,
    /// Command that the session executes for the request.
    pub command: SessionCommand,
}

/// The sender of the queue from which a front end receives its commands.
pub type CommandSender = mpsc::Sender<RequestCommand>;

/// An event of a request or connection, reported by a front end.
#[derive(Debug)]
pub enum SessionEvent {
    /// A client requests a connection.
    ConnectionRequested {
        /// Id of the request.
        id: RequestId,
        /// The client's request.
        request: ConnectionRequest,
        /// Sender of the session's commands.
        commands: CommandSender,
    },
    /// A client requests to restore a connection that it had with the named server before the start.
    RestoreRequested {
        /// Id of the request.
        id: RequestId,
        /// The client's request.
        request: ConnectionRequest,
        /// Name of the server.
        server: String,
        /// Sender of the session's commands.
        commands: CommandSender,
    },
    /// An established connection with the named server was adopted from an older process.
    ConnectionAdopted {
        /// Id of the request.
        id: RequestId,
        /// The client's request, as sent to the older process.
        request: ConnectionRequest,
        /// Name of the server.
        server: String,
        /// Sender of the session's commands.
        commands: CommandSender,
    },
    /// An attempt has connected. The front end writes nothing before `SendFirstLine`. It receives
    /// `CancelAttempt` if it may not write, as the server's state may have changed since the attempt was
    /// started.
    AttemptConnected {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A server has accepted an attempt. The front end waits for `ConfirmEstablished` or `CancelAttempt`, as
    /// the event loop may have cancelled the attempt at the same moment.
    AttemptEstablished {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt or an established connection has ended.
    AttemptEnded {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Outcome of the attempt or connection.
        outcome: Outcome,
    },
    /// The request ended without an answer of the event loop: the client left or sent invalid input, or the
    /// session's commands ended.
    ClientLeft {
        /// Id of the request.
        id: RequestId,
    },
    /// A message of the client was forwarded to the server.
    MessageForwarded {
        /// Id of the request.
        id: RequestId,
        /// Whether the server is expected to answer immediately.
        answer_due: bool,
    },
    /// The server sent a message.
    ServerResponded {
        /// Id of the request.
        id: RequestId,
    },
    /// The server reported the load of the connection.
    LoadReported {
        /// Id of the request.
        id: RequestId,
        /// Load in microseconds of work per second, or in the unit of the settings.
        load: f64,
    },
}

/// An event sent to the event loop.
#[derive(Debug)]
pub enum DriverEvent {
    /// An event of a request or its connection.
    Session(SessionEvent),
    /// A list update from discovery.
    ListUpdated {
        /// Number of the watch that received the update.
        watch: u64,
        /// Snapshot or delta of the endpoint list.
        update: EndpointList,
    },
    /// The endpoint list of a sibling process.
    SiblingList {
        /// Complete endpoint list of the sibling.
        list: EndpointList,
    },
    /// The connections, permits and operators' cordons of the sibling processes.
    SiblingState {
        /// Connections and permits by server name.
        usage: BTreeMap<String, ServerUsage>,
        /// Cordons set by operators at the sibling processes.
        cordons: Cordons,
    },
    /// A watch has delivered all list changes so far: discovery has answered, and the updates sent with the
    /// answer precede this event.
    WatchSynced {
        /// Number of the watch.
        watch: u64,
    },
    /// A discovery call or watch has ended.
    WatchEnded {
        /// Time during which list changes may have been missed: since the last complete list or heartbeat of
        /// any watch, or since the start.
        since_synced: Duration,
        /// Reason for the end.
        end: WatchEnd,
        /// Whether the event loop is to request another watch; false if one has been requested already.
        resubscribe: bool,
    },
    /// A permit datagram of another gateway was received.
    DatagramReceived {
        /// Id of the sending gateway.
        from: GatewayId,
        /// Content of the datagram.
        payload: Bytes,
    },
    /// A health check has ended.
    HealthChecked {
        /// Id of the checked server.
        server: ServerId,
        /// Whether the server passed the check.
        healthy: bool,
    },
    /// The gateways have decided to cordon or uncordon a server for maintenance. Operators' cordons are
    /// separate.
    MaintenanceCordon {
        /// Name of the server.
        server: String,
        /// Whether the server is cordoned.
        cordoned: bool,
    },
    /// Requests the observations of this gateway.
    InspectServers {
        /// Names of the servers whose connections are to be counted.
        names: Vec<String>,
        /// Sender of the reply.
        reply: oneshot::Sender<ServerObservations>,
    },
    /// The quota file was reloaded.
    QuotasReloaded {
        /// The new quota settings.
        settings: Box<crate::fleet::quota::Settings>,
    },
    /// Shutdown of the process was requested.
    ShutdownRequested {
        /// Time until the process is killed.
        grace: Duration,
    },
}

impl From<SessionEvent> for DriverEvent {
    fn from(event: SessionEvent) -> Self {
        Self::Session(event)
    }
}

/// This gateway's own observations of servers.
#[derive(Debug)]
pub struct ServerObservations {
    /// Names of the servers that are serving according to the endpoint list and not cordoned by an operator.
    pub ready: BTreeSet<String>,
    /// Number of open connections with each requested server.
    pub open_connections: BTreeMap<String, u32>,
}

/// A handle through which drivers send events to the event loop, count metrics and number requests and
/// watches.
#[derive(Clone)]
pub struct EventLoopHandle {
    metrics: Arc<Metrics>,
    events: mpsc::Sender<DriverEvent>,
    request_ids: Arc<AtomicU32>,
    current_watch: Arc<AtomicU64>,
}

impl EventLoopHandle {
    /// Creates a handle that sends events into a queue.
    pub fn new(metrics: Arc<Metrics>, events: mpsc::Sender<DriverEvent>) -> Self {
        Self { metrics, events, request_ids: Arc::new(AtomicU32::new(1)), current_watch: Arc::default() }
    }

    /// Returns the metrics shared by all handles.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the id for a new request.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.request_ids.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the number of a new watch. Queued events of earlier watches are stale from then on.
    pub fn start_watch(&self) -> u64 {
        self.current_watch.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Checks whether an event was received on a watch before the current one.
    pub fn is_stale(&self, event: &DriverEvent) -> bool {
        let current = self.current_watch.load(Ordering::Relaxed);
        match event {
            DriverEvent::ListUpdated { watch, .. } | DriverEvent::WatchSynced { watch } => *watch != current,
            _ => false,
        }
    }

    /// Counts a request of this class.
    pub fn count(&self, counter: Counter, class: &str) {
        self.metrics.increment(counter, class);
    }

    /// Counts a client whose connection was closed before its request was answered, or that did not read its
    /// answer.
    pub fn count_closed(&self, reason: CloseReason) {
        self.metrics.record_close(reason);
    }

    /// Sends an event, and waits while the queue is full.
    pub async fn send(&self, event: impl Into<DriverEvent>) {
        // Sending fails only when the event loop has ended, which ends the process.
        let _ = self.events.send(event.into()).await;
    }
}

/// Converts a span of the engine into a duration of the runtime. A negative span results in zero.
pub fn to_duration(span: Span) -> Duration {
    Duration::from_micros(u64::try_from(span.as_micros()).unwrap_or_default())
}

/// Converts a duration of the runtime into a span of the engine. A duration out of range results in the
/// maximum.
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
