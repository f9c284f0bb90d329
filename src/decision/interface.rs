//! The interface of the decision module: settings, events, actions, ids and time.
//!
//! Nothing here decides anything. Times are whole microseconds, names are opaque numbers that may
//! only be compared for equality, and every number of a settings field keeps the unit in its name
//! or in its type.

use std::ops::{Add, Sub};

/// A point on the relay's monotonic clock, in microseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(i64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(i64);

impl Time {
    /// The point `us` microseconds after the clock's origin.
    pub const fn from_micros(us: i64) -> Self {
        Self(us)
    }
    /// Microseconds since the clock's origin.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
    /// The time passed since `earlier`, zero if `earlier` lies ahead.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0).max(0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);
    /// A span of `us` microseconds.
    pub const fn from_micros(us: i64) -> Self {
        Self(us)
    }
    /// The span in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
    /// The span in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The span multiplied by a ratio; saturating, and zero where the ratio is not a number.
    pub fn scale(self, ratio: f64) -> Span {
        Span((self.0 as f64 * ratio) as i64)
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A server, numbered by the embedder in the order in which its relay first heard of it.
    ServerId(u32);
    /// A request, and the connection that comes of it. Never used twice by one relay.
    RequestId(u32);
    /// A zone; only "the same or not" has a meaning.
    ZoneId(u32);
    /// A kind of machine; only "the same or not" has a meaning.
    KindId(u32);
    /// A small group of servers that share which keyed requests they have seen.
    CellId(u32);
    /// A request class: its index in [`Settings::classes`].
    ClassId(u32);
    /// A tenant: its index in [`Settings::tenants`].
    TenantId(u32);
    /// A group of connections that share work on the server that holds them.
    GroupId(u32);
    /// Another relay of the same tier.
    GatewayId(u32);
    /// A timer's token, chosen by the module.
    TimerToken(u64);
}

impl GroupId {
    /// What the group draws of the server of this key: chance, but the same at all relays, whatever they
    /// are built with. The finish of SplitMix64.
    pub fn rendezvous_hash(self, server_hash: u32, round: u32) -> u64 {
        let salt = u64::from(round).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mixed = ((u64::from(self.0) << 32) | u64::from(server_hash)) ^ salt;
        let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat at any server.
    Idempotent,
    /// Repeats are dropped by the servers of one group, for a while.
    WithKey {
        /// Which servers drop a repeat.
        scope: DeduplicationScope,
        /// For how long, from the sending of the first attempt that may have run.
        remembered_for: Span,
    },
    /// Never to be repeated once an attempt may have run.
    NotIdempotent,
}

/// The servers that recognise a keyed request's repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// Those of the first server's zone.
    Zone,
    /// Those of the first server's cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Set-up within this time earns full worth.
    pub latency_objective: Span,
    /// The aim for a message on an open connection; zero where none is stated.
    pub message_latency_objective: Span,
    /// Worth of a request, or of a second of its connection.
    pub priority_weight: f64,
    /// What a repeat does.
    pub idempotency: Idempotency,
}

/// A tenant that shares the fleet with others. No decision looks at tenants so far.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all relays.
    pub quota_per_s: f64,
    /// Open connections within its share, over all relays; zero where none is stated.
    pub quota_connections: f64,
}

/// How the relay hears of changes to the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive unasked.
    Pushed,
    /// Changes arrive only after a subscription.
    OnRequest,
}

/// What a server's listed size means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMode {
    /// Nothing: always the same.
    Off,
    /// Registered or approximate size.
    Nominal,
    /// Size divided by one plus the requests held a core, a little late.
    Live,
}

/// What a day's result loses for each unit, as a share of the whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// For each attempt that crosses zones, per first try.
    pub cross_zone: f64,
    /// For each probe, per first try.
    pub health_check: f64,
    /// For each connection moved, per first try.
    pub migration: f64,
}

/// Everything a relay is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many relays share this tier, and the number of this one among them.
    pub gateways: u32,
    /// See above.
    pub gateway_id: GatewayId,
    /// The zone of this relay.
    pub zone: ZoneId,
    /// How list changes arrive.
    pub discovery: DiscoveryMode,
    /// What listed sizes mean.
    pub weights: WeightMode,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants, if there are any.
    pub tenants: Vec<Tenant>,
    /// Whether a connection's worth already grows with its load.
    pub priority_scales_with_load: bool,
    /// The shortest time between two batches of events.
    pub batch_interval: Span,
    /// Prices of what the module may do.
    pub prices: Prices,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Longest wait that a refused client heeds; zero where none heed one.
    pub max_retry_after: Span,
    /// Whether [`Action::Probe`] is allowed.
    pub health_checks: bool,
    /// Whether [`Action::Ask`] is answered.
    pub fleet_permits: bool,
    /// Whether [`Action::Recall`] is allowed.
    pub cancellation: bool,
    /// After the client's deadline, how long a final answer still counts.
    pub answer_slack: Span,
    /// An unsubscribed relay counts as told of all that was listed this long ago.
    pub list_poll_limit: Span,
    /// A server that drains or is gone gets nothing new this long after that was told.
    pub drain_grace: Span,
    /// The share of its capacity that a server starts with, at least.
    pub initial_capacity_share: f64,
    /// A server is warm this long after its start, at most.
    pub warm_up_time: Span,
    /// Sent more than this multiple of its present capacity, a cold server falls over...
    pub overload_factor: f64,
    /// ...when it lasts this long.
    pub overload_window: Span,
}

impl Settings {
    /// Settings of a lone relay in `zone` where nothing is limited, priced or told: a base for
    /// embedders and tests to fill in.
    pub fn for_zone(zone: ZoneId) -> Self {
        Self {
            gateways: 1,
            gateway_id: GatewayId(0),
            zone,
            discovery: DiscoveryMode::Pushed,
            weights: WeightMode::Off,
            classes: Vec::new(),
            tenants: Vec::new(),
            priority_scales_with_load: false,
            batch_interval: Span::from_micros(1_000),
            prices: Prices::default(),
            max_attempts: 1,
            max_retry_after: Span::ZERO,
            health_checks: false,
            fleet_permits: false,
            cancellation: false,
            answer_slack: Span::ZERO,
            list_poll_limit: Span::from_micros(10_000_000),
            drain_grace: Span::from_micros(2_000_000),
            initial_capacity_share: 1.0,
            warm_up_time: Span::ZERO,
            overload_factor: 1.0,
            overload_window: Span::from_micros(1_000_000),
        }
    }
}

/// A server's state in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes new connections.
    #[default]
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Removed from the list.
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Which server.
    pub server: ServerId,
    /// A number drawn from its name, the same at all relays.
    pub hash_key: u32,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub machine_kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: ServerState,
    /// Its size; see [`Weights`].
    pub weight: f64,
    /// When it last started; `None` if long ago.
    pub started_at: Option<Time>,
}

impl EndpointEntry {
    /// A ready server of `zone` about which nothing else is known.
    pub fn ready(server: ServerId, zone: ZoneId) -> Self {
        Self { server, hash_key: server.0, zone, weight: 1.0, ..Self::default() }
    }
}

/// A load report. A field is `None` where the site does not report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Load asked of the server over what it can do.
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
    /// Time until the client gives up this try.
    pub time_left: Span,
    /// Expected load, in seconds of standard-core work a second; `None` where untold.
    pub load: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served, or a connection's regular end.
    Ok,
    /// The server returned an error; it may have run.
    Failed,
    /// Turned away unseen.
    QueueFull,
    /// No answer in time; it may have run, or still run.
    TimedOut,
    /// No connection could be made; it never ran.
    ConnectError,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// This machine could not try, for want of a port, descriptor or buffer: it never ran, and says nothing of the
    /// server.
    LocalFailure,
}

impl Outcome {
    /// Whether the outcome proves that the attempt had no effect.
    pub const fn proves_not_executed(self) -> bool {
        matches!(self, Outcome::QueueFull | Outcome::ConnectError | Outcome::NotSent | Outcome::LocalFailure)
    }
}

/// What kind of list news arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only the entries that changed.
    Delta,
    /// The complete list; what it lacks is gone.
    Snapshot,
    /// The complete list as last held before a restart, perhaps out of date.
    Cached,
    /// A call failed or the subscription broke; the earlier list stands.
    WatchFailed,
}

/// What came of asking for a right to send one connection to a new server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitReply {
    /// It may be sent one, until then.
    Granted {
        /// When the right is lost.
        expires_at: Time,
        /// Whether the server still lacks its part of what all hold.
        below_fair_share: bool,
    },
    /// Not now.
    Denied {
        /// When to ask again, from now.
        retry_after: Span,
        /// As above.
        below_fair_share: bool,
    },
    /// Nobody answers who could grant one.
    NoReply,
}

/// What one process of a relay holds on a server and has sent it, which others of the relay are to know.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiblingState {
    /// Its open connections there, attempts included.
    pub open_connections: u32,
    /// What it may still send there while the server recovers.
    pub recovery_tokens: f64,
    /// The last of the relay's own turns that it has spent there while the server was new.
    pub last_used_permit: u64,
}

/// What the relay tells the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the server list.
    EndpointList {
        /// What kind of news.
        update: ListUpdate,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A client asks for a connection; exactly one final answer is owed.
    Request(Request),
    /// A connection that was already open when this relay's module started.
    ExistingConnection {
        /// The request it came from.
        request: Request,
        /// The server that holds it.
        server: ServerId,
    },
    /// An attempt's connection stands; neither time-out nor deadline runs any more.
    Established {
        /// Which request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// Time since the attempt went out.
        elapsed: Span,
    },
    /// An attempt or a connection has ended.
    AttemptEnded {
        /// Which request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// Whether the request is over with it, or was before.
        request_done: bool,
    },
    /// The client left, or the answer was overdue; nothing is owed any more.
    ClientLeft {
        /// Which request.
        id: RequestId,
    },
    /// Messages on a connection of this relay take so long at their server now.
    SlowResponses {
        /// The server.
        server: ServerId,
        /// How long a message takes there.
        response_time: Span,
    },
    /// A server has said nothing for long on any of this relay's connections, though answers were due.
    ServerSilent {
        /// The server.
        server: ServerId,
    },
    /// Operators have put a server back that they had taken out. It may have been restarted meanwhile.
    Uncordoned {
        /// The server.
        server: ServerId,
    },
    /// Another process of this relay, as in an upgrade, holds and has sent this on a server.
    SiblingState {
        /// The server.
        server: ServerId,
        /// What.
        state: SiblingState,
    },
    /// A connection's load has changed.
    LoadChanged {
        /// Which request.
        id: RequestId,
        /// Its load now, in seconds of standard-core work a second.
        load: f64,
    },
    /// A probe's answer.
    HealthChecked {
        /// Which server.
        server: ServerId,
        /// Whether it answered properly.
        healthy: bool,
        /// The load report, where one came along.
        report: Option<LoadReport>,
    },
    /// A timer set earlier has come due.
    Timer(TimerToken),
    /// What came of [`Action::Ask`].
    PermitReply {
        /// For which server.
        server: ServerId,
        /// What.
        reply: PermitReply,
    },
}

impl Event {
    /// The server that this is word of, where it is of one server's state.
    pub(crate) const fn server(&self) -> Option<ServerId> {
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

/// What the module asks of the relay.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Try to place the request's connection on a server.
    Attempt {
        /// Which request.
        id: RequestId,
        /// Where.
        server: ServerId,
        /// Give up after this long.
        timeout: Span,
    },
    /// Final answer: refused; trying again does no harm.
    Reject {
        /// Which request.
        id: RequestId,
        /// The wait advised to the client; zero for no advice.
        retry_after: Span,
    },
    /// Final answer: failed; nothing is promised about effects.
    Fail {
        /// Which request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// Which request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Ask an open connection's client to connect anew.
    Migrate {
        /// Which request.
        id: RequestId,
    },
    /// Wake the module with [`Event::Timer`].
    SetTimer {
        /// Handed back with the event.
        token: TimerToken,
        /// When.
        due_at: Time,
    },
    /// Ask for a right to send one connection to a new server; [`Event::Right`] always follows, soon.
    RequestPermit {
        /// The server.
        server: ServerId,
    },
    /// Ask a server for its load report. The module asks for none so far: notes of slow messages tell
    /// of overload at no price.
    CheckHealth {
        /// Which server.
        server: ServerId,
    },
    /// Subscribe to the changes of the server list.
    Subscribe,
}
