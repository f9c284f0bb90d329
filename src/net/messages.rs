//! Messages between the event loop and what runs beside it: events to the event loop, commands to sessions. Drivers
//! import this module and not each other.

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

/// Commands that may be queued for one session: more than all attempts of a request need.
pub const SESSION_COMMAND_QUEUE: usize = 32;

/// What a client asks for, by the names that its front end uses.
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
    /// Expected load, as the settings count it.
    pub expected_load: Option<f64>,
    /// The client repeats a request that was rejected or failed.
    pub is_retry: bool,
    /// The client comes back after its connection was migrated or broke.
    pub is_reconnect: bool,
}

/// What the event loop asks of a session.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionCommand {
    /// Start an attempt.
    StartAttempt {
        /// Its number.
        attempt: u32,
        /// The server's address.
        address: SocketAddr,
        /// How long the event loop waits for it.
        timeout: Span,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// Its number.
        attempt: u32,
    },
    /// The attempt's connection may be used: its first byte is written at once or not at all.
    SendFirstLine {
        /// Its number.
        attempt: u32,
    },
    /// The attempt's connection counts as established: the server's line may go to the client.
    ConfirmEstablished {
        /// Its number.
        attempt: u32,
    },
    /// Give the final answer.
    Answer(FinalAnswer),
    /// Tell the client of the established connection to move.
    Migrate,
    /// Hand the established connection off to the successor.
    HandOff {
        /// The name of the server that holds it.
        server: String,
    },
}

/// A command, and the request that it is for: one queue may serve many requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestCommand {
    /// The request.
    pub id: RequestId,
    /// What is to be done.
    pub command: SessionCommand,
}

/// The queue in which a front end takes its commands.
pub type CommandSender = mpsc::Sender<RequestCommand>;

/// What front ends report of requests and connections.
#[derive(Debug)]
pub enum SessionEvent {
    /// A client asks for a connection.
    ConnectionRequested {
        /// The request.
        id: RequestId,
        /// What is asked for.
        request: ConnectionRequest,
        /// Where its commands go.
        commands: CommandSender,
    },
    /// A client asks for a connection that the named server held before the start.
    RestoreRequested {
        /// The request.
        id: RequestId,
        /// What is asked for.
        request: ConnectionRequest,
        /// The server's name.
        server: String,
        /// Where its commands go.
        commands: CommandSender,
    },
    /// An established connection with the named server was taken over from an older process.
    ConnectionAdopted {
        /// The request.
        id: RequestId,
        /// What was asked for.
        request: ConnectionRequest,
        /// The server's name.
        server: String,
        /// Where its commands go.
        commands: CommandSender,
    },
    /// An attempt has connected. The front end writes nothing before `SendFirstLine`; `CancelAttempt` comes where it
    /// may not write, as much may have changed since the attempt was started.
    AttemptConnected {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// A server has accepted an attempt. The front end waits for `ConfirmEstablished` or `CancelAttempt`, as the event
    /// loop may just have cancelled it.
    AttemptEstablished {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// An attempt or an established connection has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// The client has gone.
    ClientLeft {
        /// The request.
        id: RequestId,
    },
    /// A message was forwarded to the server.
    MessageForwarded {
        /// The request.
        id: RequestId,
        /// Whether the server's answer is due at once.
        answer_due: bool,
    },
    /// The server sent something.
    ServerResponded {
        /// The request.
        id: RequestId,
    },
    /// The server told the connection's load.
    LoadReported {
        /// The request.
        id: RequestId,
        /// Microseconds of work a second, or as the settings count it.
        load: f64,
    },
}

/// What the event loop takes in.
#[derive(Debug)]
pub enum DriverEvent {
    /// Of a request or its connection.
    Session(SessionEvent),
    /// The endpoint list, or changes of it.
    ListUpdated {
        /// The number of the watch that it came on.
        watch: u64,
        /// The list or the changes.
        update: EndpointList,
    },
    /// The endpoint list as another process of this balancer has it.
    SiblingList {
        /// The complete list.
        list: EndpointList,
    },
    /// What other processes of this balancer hold, and the cordons that operators have set there.
    SiblingState {
        /// Connections and permits, by the server's name.
        usage: BTreeMap<String, ServerUsage>,
        /// The cordons.
        cordons: Cordons,
    },
    /// Discovery has answered on a watch, behind all that came with the answer: no change is missed any longer.
    WatchSynced {
        /// The watch's number.
        watch: u64,
    },
    /// A call or watch has ended.
    WatchEnded {
        /// Since when the list may have changed unseen: the last complete list or heartbeat of any watch, or the start.
        since_synced: Duration,
        /// How it ended.
        end: WatchEnd,
        /// Whether the event loop is to ask for another watch: not where one is asked for already.
        resubscribe: bool,
    },
    /// A datagram of another gateway.
    DatagramReceived {
        /// The gateway.
        from: GatewayId,
        /// The datagram.
        payload: Bytes,
    },
    /// A health check has ended.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// Whether it answered as it should.
        healthy: bool,
    },
    /// The gateways together take a server out for maintenance, or back. An operator's cordon is something else.
    MaintenanceCordon {
        /// The server's name.
        server: String,
        /// Whether it is out.
        cordoned: bool,
    },
    /// Asks what this gateway observes.
    InspectServers {
        /// Servers whose connections are asked for.
        names: Vec<String>,
        /// Where the answer goes.
        reply: oneshot::Sender<ServerObservations>,
    },
    /// The quotas' file was read again.
    QuotasReloaded {
        /// What it says now.
        settings: Box<crate::fleet::quota::Settings>,
    },
    /// The process is to shut down.
    ShutdownRequested {
        /// The time until it is killed.
        grace: Duration,
    },
}

impl From<SessionEvent> for DriverEvent {
    fn from(event: SessionEvent) -> Self {
        Self::Session(event)
    }
}

/// What this gateway observes for itself.
#[derive(Debug)]
pub struct ServerObservations {
    /// Servers that are ready by the list, and not cordoned by an operator here.
    pub ready: BTreeSet<String>,
    /// Open connections with the servers that were asked about.
    pub open_connections: BTreeMap<String, u32>,
}

/// What drivers hold of the event loop.
#[derive(Clone)]
pub struct EventLoopHandle {
    metrics: Arc<Metrics>,
    events: mpsc::Sender<DriverEvent>,
    request_ids: Arc<AtomicU32>,
    current_watch: Arc<AtomicU64>,
}

impl EventLoopHandle {
    /// A handle whose events go into this queue.
    pub fn new(metrics: Arc<Metrics>, events: mpsc::Sender<DriverEvent>) -> Self {
        Self { metrics, events, request_ids: Arc::new(AtomicU32::new(1)), current_watch: Arc::default() }
    }

    /// The metrics that all handles count into.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The id of a new request.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.request_ids.fetch_add(1, Ordering::Relaxed))
    }

    /// The number of a watch that begins: queued events of earlier ones are stale from now on.
    pub fn start_watch(&self) -> u64 {
        self.current_watch.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Whether an event came on a watch before the current one.
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

    /// Counts a client whose connection was closed without an answer to a request.
    pub fn count_closed(&self, reason: CloseReason) {
        self.metrics.record_close(reason);
    }

    /// Sends an event; waits while the queue is full.
    pub async fn send(&self, event: impl Into<DriverEvent>) {
        // The event loop only ends with the process.
        let _ = self.events.send(event.into()).await;
    }
}

/// A span of the engine as the runtime's duration; zero where it is negative.
pub fn to_duration(span: Span) -> Duration {
    Duration::from_micros(u64::try_from(span.as_micros()).unwrap_or_default())
}

/// A runtime's duration as the engine's span.
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
