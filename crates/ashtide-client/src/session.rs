//! What an application asks for, and what it is told.

use std::net::SocketAddr;
use std::time::Duration;

use ashtide_protocol::{Asking, AskingError, PeerFault};
use bytes::Bytes;

use crate::Moment;

/// A session of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// The number of an attempt within its session, from 1 on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Attempt(pub u32);

/// What an application wants: a connection of a class for a key, up by a certain time.
#[derive(Debug, Clone, PartialEq)]
pub struct Wish {
    /// Class, key, tenant and group. The pool marks retries and returns itself.
    pub asking: Asking,
    /// The connection is to stand within this time of being asked for.
    pub wait: Duration,
    /// An attempt without an answer is given up after this time, and another may follow. Without it an
    /// attempt has all that is left of the deadline, as on sites whose servers are rarely silent.
    pub try_wait: Option<Duration>,
    /// The session ends after this time, whatever it is doing.
    pub life: Option<Duration>,
    /// Whether an attempt may be repeated that may have had an effect: after `ERR`, silence or a break.
    pub repeatable: bool,
    /// Whether the session comes back after a move or a break.
    pub returns: bool,
}

impl Wish {
    /// A connection of this class for this key within `wait`, repeated and returned to where needed.
    pub fn new(class: impl Into<String>, key: impl Into<String>, wait: Duration) -> Self {
        let asking = Asking { class: class.into(), key: key.into(), ..Asking::default() };
        Self { asking, wait, try_wait: None, life: None, repeatable: true, returns: true }
    }
}

/// Why an attempt came to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Setback {
    /// Nothing has been tried yet.
    #[error("nothing could be tried")]
    Untried,
    /// No connection came up: it never ran.
    #[error("no balancer could be reached")]
    Unreached,
    /// Refused: it never ran. The advised wait, where there was one.
    #[error("refused")]
    Refused(Option<Duration>),
    /// A failed answer: it may have run.
    #[error("failed")]
    Failed,
    /// No answer in time: it may have run.
    #[error("not answered")]
    Silent,
    /// The connection ended before the answer: it may have run.
    #[error("cut off before the answer")]
    Broke,
    /// The peer broke the protocol: it may have run.
    #[error("the balancer {0}")]
    Fault(PeerFault),
    /// The network went away in mid-attempt: it may have run.
    #[error("the network went away")]
    Offline,
}

impl Setback {
    /// Whether it proves that the attempt had no effect.
    pub const fn never_ran(self) -> bool {
        matches!(self, Setback::Untried | Setback::Unreached | Setback::Refused(_))
    }
}

/// Why a session is over. Every session ends once, with one of these.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum GaveUp {
    /// The application closed it.
    #[error("closed by the application")]
    Closed,
    /// The server served it to its end.
    #[error("served to its end")]
    Served,
    /// It was not up in time.
    #[error("not up in time: {last}")]
    Deadline {
        /// What became of the last attempt.
        last: Setback,
    },
    /// Refused, and there is no time or try left to come again: the application may, after this time.
    #[error("refused, come again after {come_back:?}")]
    Refused {
        /// The wait that is left of what the refusal asked for.
        come_back: Duration,
    },
    /// No balancer answers; the first to be tried again is so after this time.
    #[error("no balancer answers, the next is tried after {next:?}")]
    NoAddress {
        /// Until then all addresses are set aside.
        next: Duration,
    },
    /// All tries are used up.
    #[error("{tries} tries came to nothing: {last}")]
    Tries {
        /// How many there were.
        tries: u32,
        /// What became of the last one.
        last: Setback,
    },
    /// The process has no retry left to spend.
    #[error("the retry budget of this process is spent: {last}")]
    Budget {
        /// What became of the attempt.
        last: Setback,
    },
    /// The attempt may have had an effect and must not be repeated.
    #[error("not to be repeated: {last}")]
    NotRepeatable {
        /// What became of the attempt.
        last: Setback,
    },
    /// Its connections broke soon after they stood, again and again.
    #[error("{breaks} connections in a row broke at once")]
    Unstable {
        /// How many.
        breaks: u32,
    },
    /// Its connection ended, and it was not to return.
    #[error("the connection ended")]
    Ended,
    /// Its time is up.
    #[error("its time is up")]
    Expired,
    /// The pool holds as many as it may.
    #[error("over {most} sessions")]
    TooMany {
        /// How many it may hold.
        most: usize,
    },
    /// No line can be written for it.
    #[error("{0}")]
    Wish(AskingError),
}

/// Why a standing connection is no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The balancer sent the client away.
    Moved,
    /// It broke; the peer's fault where there was one.
    Broke(Option<PeerFault>),
    /// The network went away.
    Offline,
}

/// What a session is told, beside its lines and its end.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// The connection stands.
    Up {
        /// By which balancer.
        at: SocketAddr,
        /// The server's receipt.
        receipt: Bytes,
        /// Attempts that it took.
        tries: u32,
        /// Whether it stood before.
        again: bool,
    },
    /// The connection is no more; the session will return.
    Dropped(Loss),
    /// It tries to come back after this time.
    Returning {
        /// The wait that was drawn.
        after: Duration,
    },
    /// An attempt came to nothing; another follows after this time.
    Retrying {
        /// What became of it.
        last: Setback,
        /// The wait.
        after: Duration,
    },
}

/// What follows once the driver says that the socket is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum After {
    Wait(Moment),
    Gather,
    Offline,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// Dropped; sees how many dropped with it before it draws its wait.
    Gathering,
    Waiting,
    /// There is no address at all.
    Starved,
    Offline,
    Dialling,
    Asked,
    Standing,
    Closing(After),
}

impl State {
    /// Whether a socket of the session is, or may be, open.
    pub(crate) const fn has_socket(self) -> bool {
        matches!(self, State::Dialling | State::Asked | State::Standing | State::Closing(_))
    }
}

#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) wish: Wish,
    pub(crate) state: State,
    pub(crate) attempt: Attempt,
    pub(crate) address: Option<SocketAddr>,
    /// When the state's own time is over.
    pub(crate) timer: Option<Moment>,
    /// When it must stand; none while it stands, or before its wait after a drop is drawn.
    pub(crate) deadline: Option<Moment>,
    /// When it ends whatever it does.
    pub(crate) expires: Option<Moment>,
    /// The tick at which the pool looks after it.
    pub(crate) due: Option<u64>,
    pub(crate) tries: u32,
    pub(crate) refusals: u32,
    /// It has stood before.
    pub(crate) again: bool,
    pub(crate) dropped: Loss,
    pub(crate) last: Setback,
    pub(crate) since: Moment,
    /// Quick breaks in a row.
    pub(crate) quick: u32,
}

impl Session {
    pub(crate) fn new(wish: Wish, now: Moment) -> Self {
        Self {
            state: State::Waiting,
            attempt: Attempt::default(),
            address: None,
            timer: None,
            deadline: Some(now + wish.wait),
            expires: wish.life.map(|life| now + life),
            due: None,
            tries: 0,
            refusals: 0,
            again: false,
            dropped: Loss::Moved,
            last: Setback::Untried,
            since: now,
            quick: 0,
            wish,
        }
    }

    /// When the pool has to look after it next.
    pub(crate) fn next(&self) -> Option<Moment> {
        [self.timer, self.deadline, self.expires].into_iter().flatten().min()
    }
}
