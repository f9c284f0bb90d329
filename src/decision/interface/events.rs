//! What the gateway tells the module.

use super::{
    CellId, ClassId, GroupId, KindId, RequestId, ServerId, Span, TenantId, Time, TimerToken, ZoneId,
};

/// A server's state in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts new connections.
    #[default]
    Ready,
    /// It finishes its work; nothing new may be sent.
    Draining,
    /// It was removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Which server.
    pub server: ServerId,
    /// A hash of its name, the same at all gateways.
    pub hash_key: u32,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub machine_kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: ServerState,
    /// Its weight; see [`WeightMode`](super::WeightMode).
    pub weight: f64,
    /// When it last started; `None` if long ago.
    pub started_at: Option<Time>,
}

impl EndpointEntry {
    /// Returns a ready server of `zone` about which nothing else is known.
    pub fn ready(server: ServerId, zone: ZoneId) -> Self {
        Self { server, hash_key: server.0, zone, weight: 1.0, ..Self::default() }
    }
}

/// A load report. A field is `None` where the site does not report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requested load divided by capacity.
    pub load_ratio: Option<f64>,
    /// Share of its cores in use.
    pub utilisation: Option<f64>,
}

/// A client's request for a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// The group of connections it shares work with, if any.
    pub group: Option<GroupId>,
    /// Time until the client gives up.
    pub time_left: Span,
    /// Expected load, in seconds of standard-core work a second; `None` where unknown.
    pub load: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served, or its connection ended regularly.
    Ok,
    /// The server returned an error; it may have executed the request.
    Failed,
    /// The server rejected it unread.
    QueueFull,
    /// No answer in time; the server may have executed it, or do so later.
    TimedOut,
    /// No connection could be made; it was not executed.
    ConnectError,
    /// The connection was reset; the server may have executed the request.
    Reset,
    /// The attempt was cancelled; the server may have executed it.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// This machine had no port, descriptor or buffer: it was not executed, and says nothing of the server.
    LocalFailure,
}

impl Outcome {
    /// Whether the server cannot have executed the attempt.
    pub const fn proves_not_executed(self) -> bool {
        matches!(self, Outcome::QueueFull | Outcome::ConnectError | Outcome::NotSent | Outcome::LocalFailure)
    }
}

/// What kind of list update arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only the entries that changed.
    Delta,
    /// The complete list; what it lacks has been removed.
    Snapshot,
    /// The complete list as cached before a restart, perhaps out of date.
    Cached,
    /// A poll failed or the subscription broke; the earlier list remains.
    WatchFailed,
}

/// The reply to a request for a permit to send one connection to a warming server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitReply {
    /// One may be sent.
    Granted {
        /// Until when.
        expires_at: Time,
        /// Whether the server holds fewer connections of the fleet than others.
        below_fair_share: bool,
    },
    /// None may be sent now.
    Denied {
        /// The wait before the next request.
        retry_after: Span,
        /// As above.
        below_fair_share: bool,
    },
    /// No gateway that could grant one answers.
    NoReply,
}

/// What one process of a gateway has to tell the others about a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiblingState {
    /// Its open connections, attempts included.
    pub open_connections: u32,
    /// Connections that it may still send while the server recovers.
    pub recovery_tokens: f64,
    /// The last of the gateway's own numbered permits that it has used.
    pub last_used_permit: u64,
}

/// What the gateway tells the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list was updated, or could not be.
    EndpointList {
        /// What kind of update.
        update: ListUpdate,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A client requests a connection; it gets exactly one final answer.
    Request(Request),
    /// A connection was already open when this module started.
    ExistingConnection {
        /// The request it came from.
        request: Request,
        /// Its server.
        server: ServerId,
    },
    /// An attempt's connection is established; neither timeout nor deadline applies any more.
    Established {
        /// Which request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// Time since the attempt began.
        elapsed: Span,
    },
    /// An attempt or a connection has ended.
    AttemptEnded {
        /// Which request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request is done with it, or was before.
        request_done: bool,
    },
    /// The client left, or the answer was overdue; none is due any more.
    ClientLeft {
        /// Which request.
        id: RequestId,
    },
    /// A server's responses take long.
    SlowResponses {
        /// The server.
        server: ServerId,
        /// Time until a message is answered.
        response_time: Span,
    },
    /// A server has sent nothing for long on any connection of this gateway, though responses were due.
    ServerSilent {
        /// The server.
        server: ServerId,
    },
    /// Operators have put a cordoned server back. It may have been restarted meanwhile.
    Uncordoned {
        /// The server.
        server: ServerId,
    },
    /// Another process of this gateway, as in an upgrade, reports its state.
    SiblingState {
        /// The server.
        server: ServerId,
        /// Its state there.
        state: SiblingState,
    },
    /// A connection's load has changed.
    LoadChanged {
        /// Which request.
        id: RequestId,
        /// Its load now, in seconds of standard-core work a second.
        load: f64,
    },
    /// A health check was answered.
    HealthChecked {
        /// Which server.
        server: ServerId,
        /// Whether the answer was valid.
        healthy: bool,
        /// The load report, if it has one.
        report: Option<LoadReport>,
    },
    /// A timer is due.
    Timer(TimerToken),
    /// The reply to [`Action::RequestPermit`](super::Action::RequestPermit).
    PermitReply {
        /// For which server.
        server: ServerId,
        /// The reply.
        reply: PermitReply,
    },
}

impl Event {
    /// The server whose state this reports, if any.
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
