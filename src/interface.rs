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
    PeerId(u32);
    /// A timer's token, chosen by the module.
    TimerToken(u64);
}

impl GroupId {
    /// What the group draws of the server of this key: chance, but the same at all relays, whatever they
    /// are built with. The finish of SplitMix64.
    pub fn lot(self, key: u32, round: u32) -> u64 {
        let salt = u64::from(round).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mixed = ((u64::from(self.0) << 32) | u64::from(key)) ^ salt;
        let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat at any server.
    Safe,
    /// Repeats are dropped by the servers of one group, for a while.
    Keyed {
        /// Which servers drop a repeat.
        group: KeyedGroup,
        /// For how long, from the sending of the first attempt that may have run.
        window: Span,
    },
    /// Never to be repeated once an attempt may have run.
    Unsafe,
}

/// The servers that recognise a keyed request's repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyedGroup {
    /// All servers.
    All,
    /// Those of the first server's zone.
    Zone,
    /// Those of the first server's cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Set-up within this time earns full worth.
    pub aim: Span,
    /// The aim for a message on an open connection; zero where none is stated.
    pub message_aim: Span,
    /// Worth of a request, or of a second of its connection.
    pub worth: f64,
    /// What a repeat does.
    pub effect: Effect,
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
pub enum Discovery {
    /// Changes arrive unasked.
    Pushed,
    /// Changes arrive only after a subscription.
    OnRequest,
}

/// What a server's listed size means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
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
    pub probe: f64,
    /// For each connection moved, per first try.
    pub moves: f64,
}

/// Everything a relay is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many relays share this tier, and the number of this one among them.
    pub relays: u32,
    /// See above.
    pub own: PeerId,
    /// The zone of this relay.
    pub zone: ZoneId,
    /// How list changes arrive.
    pub discovery: Discovery,
    /// What listed sizes mean.
    pub weights: Weights,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants, if there are any.
    pub tenants: Vec<Tenant>,
    /// Whether a connection's worth already grows with its load.
    pub worth_by_load: bool,
    /// The shortest time between two batches of events.
    pub tick: Span,
    /// Prices of what the module may do.
    pub prices: Prices,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Longest wait that a refused client heeds; zero where none heed one.
    pub max_retry_after: Span,
    /// Whether [`Action::Probe`] is allowed.
    pub probes: bool,
    /// Whether [`Action::Ask`] is answered.
    pub peers: bool,
    /// Whether [`Action::Recall`] is allowed.
    pub recalls: bool,
    /// After the client's deadline, how long a final answer still counts.
    pub answer_slack: Span,
    /// An unsubscribed relay counts as told of all that was listed this long ago.
    pub ask_within: Span,
    /// A server that drains or is gone gets nothing new this long after that was told.
    pub drain_grace: Span,
    /// The share of its capacity that a server starts with, at least.
    pub cold_from: f64,
    /// A server is warm this long after its start, at most.
    pub warm_within: Span,
    /// Sent more than this multiple of its present capacity, a cold server falls over...
    pub fall_multiple: f64,
    /// ...when it lasts this long.
    pub overload_for: Span,
}

impl Settings {
    /// Settings of a lone relay in `zone` where nothing is limited, priced or told: a base for
    /// embedders and tests to fill in.
    pub fn for_zone(zone: ZoneId) -> Self {
        Self {
            relays: 1,
            own: PeerId(0),
            zone,
            discovery: Discovery::Pushed,
            weights: Weights::Off,
            classes: Vec::new(),
            tenants: Vec::new(),
            worth_by_load: false,
            tick: Span::from_micros(1_000),
            prices: Prices::default(),
            max_attempts: 1,
            max_retry_after: Span::ZERO,
            probes: false,
            peers: false,
            recalls: false,
            answer_slack: Span::ZERO,
            ask_within: Span::from_micros(10_000_000),
            drain_grace: Span::from_micros(2_000_000),
            cold_from: 1.0,
            warm_within: Span::ZERO,
            fall_multiple: 1.0,
            overload_for: Span::from_micros(1_000_000),
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
    Gone,
}

/// One entry of the server list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Which server.
    pub server: ServerId,
    /// A number drawn from its name, the same at all relays.
    pub key: u32,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: ServerState,
    /// Its size; see [`Weights`].
    pub size: f64,
    /// When it last started; `None` if long ago.
    pub started: Option<Time>,
}

impl Listing {
    /// A ready server of `zone` about which nothing else is known.
    pub fn ready(server: ServerId, zone: ZoneId) -> Self {
        Self { server, key: server.0, zone, size: 1.0, ..Self::default() }
    }
}

/// A load report. A field is `None` where the site does not report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
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
    Ignored,
    /// This machine could not try, for want of a port, descriptor or buffer: it never ran, and says nothing of the
    /// server.
    LocalFailure,
}

impl Outcome {
    /// Whether the outcome proves that the attempt had no effect.
    pub const fn never_ran(self) -> bool {
        matches!(self, Outcome::QueueFull | Outcome::ConnectError | Outcome::Ignored | Outcome::LocalFailure)
    }
}

/// What kind of list news arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListNews {
    /// Only the entries that changed.
    Changes,
    /// The complete list; what it lacks is gone.
    Whole,
    /// The complete list as last held before a restart, perhaps out of date.
    Stale,
    /// A call failed or the subscription broke; the earlier list stands.
    Broken,
}

/// What came of asking for a right to send one connection to a new server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Right {
    /// It may be sent one, until then.
    Granted {
        /// When the right is lost.
        until: Time,
        /// Whether the server still lacks its part of what all hold.
        lacks: bool,
    },
    /// Not now.
    Refused {
        /// When to ask again, from now.
        wait: Span,
        /// As above.
        lacks: bool,
    },
    /// Nobody answers who could grant one.
    Unheard,
}

/// What one process of a relay holds on a server and has sent it, which others of the relay are to know.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Beside {
    /// Its open connections there, attempts included.
    pub open: u32,
    /// What it may still send there while the server recovers.
    pub allowance: f64,
    /// The last of the relay's own turns that it has spent there while the server was new.
    pub spent: u64,
}

/// What the relay tells the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the server list.
    List {
        /// What kind of news.
        news: ListNews,
        /// The entries.
        entries: Vec<Listing>,
    },
    /// A client asks for a connection; exactly one final answer is owed.
    Request(Request),
    /// A connection that was already open when this relay's module started.
    Existing {
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
        after: Span,
    },
    /// An attempt or a connection has ended.
    Ended {
        /// Which request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// Whether the request is over with it, or was before.
        request_over: bool,
    },
    /// The client left, or the answer was overdue; nothing is owed any more.
    ClientLeft {
        /// Which request.
        id: RequestId,
    },
    /// Messages on a connection of this relay take so long at their server now.
    SlowMessages {
        /// The server.
        server: ServerId,
        /// How long a message takes there.
        takes: Span,
    },
    /// A server has said nothing for long on any of this relay's connections, though answers were due.
    Silent {
        /// The server.
        server: ServerId,
    },
    /// Operators have put a server back that they had taken out. It may have been restarted meanwhile.
    CalledBack {
        /// The server.
        server: ServerId,
    },
    /// Another process of this relay, as in an upgrade, holds and has sent this on a server.
    Beside {
        /// The server.
        server: ServerId,
        /// What.
        beside: Beside,
    },
    /// A connection's load has changed.
    LoadChanged {
        /// Which request.
        id: RequestId,
        /// Its load now, in seconds of standard-core work a second.
        load: f64,
    },
    /// A probe's answer.
    Probed {
        /// Which server.
        server: ServerId,
        /// Whether it answered properly.
        ok: bool,
        /// The load report, where one came along.
        report: Option<Report>,
    },
    /// A timer set earlier has come due.
    Timer(TimerToken),
    /// What came of [`Action::Ask`].
    Right {
        /// For which server.
        server: ServerId,
        /// What.
        right: Right,
    },
}

impl Event {
    /// The server that this is word of, where it is of one server's state.
    pub(crate) const fn server(&self) -> Option<ServerId> {
        match self {
            Event::SlowMessages { server, .. }
            | Event::Silent { server }
            | Event::CalledBack { server }
            | Event::Right { server, .. }
            | Event::Beside { server, .. } => Some(*server),
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
    Refuse {
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
    Recall {
        /// Which request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Ask an open connection's client to connect anew.
    Move {
        /// Which request.
        id: RequestId,
    },
    /// Wake the module with [`Event::Timer`].
    SetTimer {
        /// Handed back with the event.
        token: TimerToken,
        /// When.
        at: Time,
    },
    /// Ask for a right to send one connection to a new server; [`Event::Right`] always follows, soon.
    Ask {
        /// The server.
        server: ServerId,
    },
    /// Ask a server for its load report. The module asks for none so far: notes of slow messages tell
    /// of overload at no price.
    Probe {
        /// Which server.
        server: ServerId,
    },
    /// Subscribe to the changes of the server list.
    Subscribe,
}
