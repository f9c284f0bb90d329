//! Events: what the gateway reports to the decision module.

use super::{
    CellId, ClassId, GroupId, KindId, RequestId, ServerId, Span, TenantId, Time, TimerToken, ZoneId,
};

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts new connections.
    #[default]
    Ready,
    /// The server finishes its established connections. No new connection may be sent to it.
    Draining,
    /// The server was removed from the list.
    Removed,
}

/// Entry of one server in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Id of the server.
    pub server: ServerId,
    /// Hash of the server's name; equal at all gateways.
    pub hash_key: u32,
    /// Zone of the server.
    pub zone: ZoneId,
    /// Machine kind of the server.
    pub machine_kind: KindId,
    /// Cell of the server.
    pub cell: CellId,
    /// State of the server.
    pub state: ServerState,
    /// Weight of the server. [`WeightMode`](super::WeightMode) defines its meaning.
    pub weight: f64,
    /// Time of the server's last start; `None` if the start was long ago.
    pub started_at: Option<Time>,
}

impl EndpointEntry {
    /// Returns the entry of a ready server in `zone`, with defaults for all other fields.
    pub fn ready(server: ServerId, zone: ZoneId) -> Self {
        Self { server, hash_key: server.0, zone, weight: 1.0, ..Self::default() }
    }
}

/// Load report of a server. A field is `None` if the deployment doesn't report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requested load divided by the server's capacity.
    pub load_ratio: Option<f64>,
    /// Share of the server's cores in use, from 0 to 1.
    pub utilisation: Option<f64>,
}

/// A client's request for a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the client; `None` if the request belongs to no tenant.
    pub tenant: Option<TenantId>,
    /// Group of connections that share work on one server; `None` if the request belongs to no group.
    pub group: Option<GroupId>,
    /// Time until the client gives up.
    pub time_left: Span,
    /// Expected load in seconds of standard-core work per second; `None` if unknown.
    pub load: Option<f64>,
}

/// Outcome of an attempt or of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served, or its connection ended regularly.
    Ok,
    /// The server returned an error; it may have executed the request.
    Failed,
    /// The server rejected the request without reading it.
    QueueFull,
    /// No answer arrived in time. The server may have executed the request, or may execute it later.
    TimedOut,
    /// No connection could be established. The request was not executed.
    ConnectError,
    /// The connection was reset; the server may have executed the request.
    Reset,
    /// The gateway cancelled the attempt; the server may have executed the request.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The gateway's machine had no free port, file descriptor or buffer. The request was not executed, and
    /// the outcome is no evidence about the server.
    LocalFailure,
}

impl Outcome {
    /// Checks whether the outcome proves that the server has not executed the request.
    pub const fn proves_not_executed(self) -> bool {
        matches!(self, Outcome::QueueFull | Outcome::ConnectError | Outcome::NotSent | Outcome::LocalFailure)
    }
}

/// Kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The update contains only the entries that changed.
    Delta,
    /// The update contains the complete list. Servers that are missing from it have been removed.
    Snapshot,
    /// The update contains the complete list as cached before a restart, which may be out of date.
    Cached,
    /// A poll failed or the subscription broke. The previous list remains in use.
    WatchFailed,
}

/// Reply to a request for a permit to send one connection to a warming server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitReply {
    /// The permit is granted: one connection may be sent.
    Granted {
        /// Time at which the permit expires.
        expires_at: Time,
        /// Whether the server has fewer connections from the fleet than other servers have.
        below_fair_share: bool,
    },
    /// The permit is denied: no connection may be sent now.
    Denied {
        /// Wait before the next permit request for this server.
        retry_after: Span,
        /// Whether the server has fewer connections from the fleet than other servers have.
        below_fair_share: bool,
    },
    /// None of the gateways that could grant the permit answers.
    NoReply,
}

/// State of one server that a gateway process reports to its siblings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiblingState {
    /// Number of the process's open connections to the server, attempts included.
    pub open_connections: u32,
    /// Number of connections that the process may still send while the server recovers.
    pub recovery_tokens: f64,
    /// Number of the last of the gateway's own permits that the process has used.
    pub last_used_permit: u64,
}

/// An event that the gateway reports to the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list was updated, or an update failed.
    EndpointList {
        /// Kind of the update.
        update: ListUpdate,
        /// Entries of the update.
        entries: Vec<EndpointEntry>,
    },
    /// A client requests a connection. The request receives exactly one final answer.
    Request(Request),
    /// A connection was already open when the decision module started.
    ExistingConnection {
        /// Request from which the connection was established.
        request: Request,
        /// Server of the connection.
        server: ServerId,
    },
    /// The connection of an attempt is established. Neither timeout nor deadline applies any more.
    Established {
        /// Request of the attempt.
        id: RequestId,
        /// Index of the attempt among those of the request; the first is 0.
        attempt: u32,
        /// Time since the attempt began.
        elapsed: Span,
    },
    /// An attempt or a connection has ended.
    AttemptEnded {
        /// Request of the attempt.
        id: RequestId,
        /// Index of the attempt among those of the request; the first is 0.
        attempt: u32,
        /// Outcome of the attempt or connection.
        outcome: Outcome,
        /// Whether the request is done, by this outcome or before.
        request_done: bool,
    },
    /// The client left, or the final answer was overdue. No answer is due any more.
    ClientLeft {
        /// Request of the client.
        id: RequestId,
    },
    /// A report of how long a server's responses take.
    SlowResponses {
        /// Server that sent the measured responses.
        server: ServerId,
        /// Time from a message until the server answers it.
        response_time: Span,
    },
    /// A server has long sent nothing on any connection of this gateway, although responses were due.
    ServerSilent {
        /// Server that has sent nothing.
        server: ServerId,
    },
    /// Operators have uncordoned a server, which may have been restarted while it was cordoned.
    Uncordoned {
        /// Server that has been uncordoned.
        server: ServerId,
    },
    /// A sibling process of this gateway reports its state, for example during an upgrade.
    SiblingState {
        /// Server that the report is about.
        server: ServerId,
        /// State of that server at the sibling.
        state: SiblingState,
    },
    /// The load of a connection has changed.
    LoadChanged {
        /// Request from which the connection was established.
        id: RequestId,
        /// Current load of the connection, in seconds of standard-core work per second.
        load: f64,
    },
    /// A health check was answered.
    HealthChecked {
        /// Server that was checked.
        server: ServerId,
        /// Whether the answer was valid.
        healthy: bool,
        /// Load report in the answer; `None` if the answer has no report.
        report: Option<LoadReport>,
    },
    /// A timer is due.
    Timer(TimerToken),
    /// A reply to [`Action::RequestPermit`](super::Action::RequestPermit) arrived.
    PermitReply {
        /// Server that the permit was requested for.
        server: ServerId,
        /// Reply to the permit request.
        reply: PermitReply,
    },
}

impl Event {
    /// Returns the server whose state the event reports; `None` for events that report no server's state.
    pub(crate) const fn reported_server(&self) -> Option<ServerId> {
        match self {
            Event::SlowResponses { server, .. }
            | Event::ServerSilent { server }
            | Event::Uncordoned { server }
            | Event::PermitReply { server, .. }
            | Event::SiblingState { server, .. } => Some(*server),
            _ => None,
        }
    }
}
