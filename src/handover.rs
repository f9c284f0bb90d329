//! What two processes of one balancer tell each other, and what outlives them. Knows no socket and no
//! file: lines of JSON in and out.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::Decoder;

use crate::discovery::News;

/// Longest word: a list of thousands of servers.
pub const MAX_WORD: usize = 1 << 20;

/// Why a word cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum WordError {
    /// More than [`MAX_WORD`] bytes without an end of line.
    #[error("over {MAX_WORD} bytes")]
    TooLong,
    /// Not a word of this version.
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Whose a process, its words and its file are: several deployments may share a folder, also under one name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Deployment {
    /// The balancer's whole name; in names of files some characters are replaced.
    pub name: String,
    /// Where it takes clients; none where the system chose the port.
    pub listen: Option<SocketAddr>,
    /// The kernel's number of the listener, where it is inherited.
    pub socket: Option<u64>,
    /// The classes of its settings.
    pub classes: BTreeSet<String>,
    /// The customers of its settings.
    pub tenants: BTreeSet<String>,
}

impl Deployment {
    /// Whether two are the same deployment, so that one goes by what the other has told or kept.
    ///
    /// What does not say whose it is never comes here and is taken: versions before 2026-12-02 told only the
    /// place, and an upgrade from one must not lose what operators have called out.
    ///
    /// - Another name is another balancer's: it is what stays the same over restarts.
    /// - Who shares a listener has the same clients, whatever else differs: an upgrade may rename
    ///   all classes.
    /// - One that listens elsewhere is another: only one can have an address, and an upgrade keeps it.
    /// - One that serves none of the same customers is another customer's. Where either names none, that goes
    ///   for classes. A name in common is enough, as any may be added, removed or renamed.
    pub fn same(&self, other: &Self) -> bool {
        if self.name != other.name {
            return false;
        }
        if self.listen == other.listen && self.socket.is_some() && self.socket == other.socket {
            return true;
        }
        if self.listen.zip(other.listen).is_some_and(|(one, two)| one != two) {
            return false;
        }
        let common = |one: &BTreeSet<String>, two: &BTreeSet<String>| {
            let told = !one.is_empty() && !two.is_empty();
            told.then(|| !one.is_disjoint(two))
        };
        common(&self.tenants, &other.tenants).or(common(&self.classes, &other.classes)).unwrap_or(true)
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "'{}'", self.name)?;
        self.listen.map_or(Ok(()), |listen| write!(to, " on {listen}"))
    }
}

/// What a process holds on one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Share {
    /// Open connections, attempts included.
    pub open: u32,
    /// Connections that it may still send while the server recovers.
    pub budget: f64,
    /// The last of this balancer's own turns at the server, while it is new, that it has spent.
    pub spent: u64,
    /// The last turn that it has granted as an owner of the server's allowance.
    pub granted: u64,
}

/// How a process stands.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// Whose process it is.
    pub whose: Option<Deployment>,
    /// Its rank among the processes of its gateway: the highest is the successor. See [`rank`].
    pub started: u64,
    /// Whether it takes clients.
    pub ready: bool,
    /// Whether it takes over the standing connections of one that leaves.
    pub adopts: bool,
    /// The run has begun: `at=` is over.
    pub begun: bool,
    /// Descriptors that it holds or keeps for itself.
    pub sockets: usize,
    /// By server's name, what it holds there.
    pub shares: BTreeMap<String, Share>,
    /// What operators have called out.
    pub cordons: Cordons,
}

/// The rank of a process that starts at `unix_micros` of a wall clock, which may be stepped between two starts, and
/// finds processes of these ranks: higher than all of them, and another than that of a process which starts beside it.
pub fn rank(unix_micros: u64, found: impl Iterator<Item = u64>, process_id: u32) -> u64 {
    let above = found.max().map_or(0, |highest| highest.saturating_add(1).saturating_add(process_id.into()));
    unix_micros.max(above)
}

/// One word from process to process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// The server list as the sender has it.
    List(News),
    /// How the sender stands.
    State(State),
}

impl Word {
    /// The word as a line.
    pub fn line(&self) -> Bytes {
        // Names and numbers only: this does not fail.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line.into()
    }
}

/// Cuts a stream into words.
#[derive(Debug, Default)]
pub struct WordCodec {
    /// How much of the buffer has been searched.
    seen: usize,
}

impl Decoder for WordCodec {
    type Item = Word;
    type Error = WordError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Word>, WordError> {
        let from = self.seen.min(buffer.len());
        let end = buffer[from..].iter().position(|&byte| byte == b'\n').map(|at| from + at);
        self.seen = if end.is_some() { 0 } else { buffer.len() };
        match end {
            Some(end) if end < MAX_WORD => {
                Ok(Some(serde_json::from_slice(&buffer.split_to(end + 1)[..end])?))
            }
            None if buffer.len() < MAX_WORD => Ok(None),
            _ => Err(WordError::TooLong),
        }
    }

    /// What is left without an end of line is no word.
    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<Word>, WordError> {
        self.decode(buffer)
    }
}

/// What all other processes of this balancer are, together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Others {
    /// Whether a younger one takes the clients.
    pub succeeded: bool,
    /// When the youngest of those started that takes over standing connections.
    pub heir: Option<u64>,
    /// The run has begun for one of them.
    pub begun: bool,
    /// Descriptors that they use.
    pub sockets: usize,
    /// By server's name, what they hold there.
    pub shares: BTreeMap<String, Share>,
    /// What operators have called out at them.
    pub cordons: Cordons,
}

impl Others {
    /// The sum of these, as one that started at `started` sees them.
    pub fn sum<'a>(started: u64, states: impl Iterator<Item = &'a State>) -> Self {
        states.fold(Self::default(), |mut all, state| {
            let succeeds = state.ready && state.started > started;
            all.succeeded |= succeeds;
            all.heir = all.heir.max((succeeds && state.adopts).then_some(state.started));
            all.begun |= state.begun;
            all.sockets += state.sockets;
            all.cordons.merge(&state.cordons);
            for (server, share) in &state.shares {
                let sum = all.shares.entry(server.clone()).or_default();
                sum.open += share.open;
                sum.budget += share.budget;
                sum.spent = sum.spent.max(share.spent);
                sum.granted = sum.granted.max(share.granted);
            }
            all
        })
    }
}

/// Most bytes that go with a connection's sockets: a line of each side that has been begun, and what was
/// read behind it.
pub const MAX_STANDING: usize = 64 << 10;

/// Why what goes with a connection's sockets cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum StandingError {
    /// No end of the head.
    #[error("no head")]
    NoHead,
    /// Not a head of this version.
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    /// The bytes behind the head are not those that it tells of.
    #[error("{told} bytes told, {found} found")]
    Length {
        /// By the head.
        told: usize,
        /// Behind it.
        found: usize,
    },
}

/// A standing connection on its way to a younger process: what goes with its two sockets, in one datagram.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Standing {
    /// The name of the server that holds it.
    pub server: String,
    /// The client's `OPEN` line as it came.
    pub open: Bytes,
    /// The rest of a line that has been begun towards the client, and what was read of the server behind it.
    pub to_client: (Bytes, Bytes),
    /// The same towards the server, and of the client.
    pub to_server: (Bytes, Bytes),
}

#[derive(Serialize, Deserialize)]
struct Head {
    server: String,
    lengths: [usize; 5],
}

impl Standing {
    fn parts(&self) -> [&Bytes; 5] {
        [&self.open, &self.to_client.0, &self.to_client.1, &self.to_server.0, &self.to_server.1]
    }

    /// The datagram; nothing where it would be longer than [`MAX_STANDING`].
    pub fn datagram(&self) -> Option<Vec<u8>> {
        let parts = self.parts();
        let head = Head { server: self.server.clone(), lengths: parts.map(Bytes::len) };
        let mut all = serde_json::to_vec(&head).ok()?;
        all.push(b'\n');
        parts.iter().for_each(|part| all.extend_from_slice(part));
        (all.len() <= MAX_STANDING).then_some(all)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Fails where it is not whole or has another form.
    pub fn read(mut datagram: Bytes) -> Result<Self, StandingError> {
        let end = datagram.iter().position(|&byte| byte == b'\n').ok_or(StandingError::NoHead)?;
        let Head { server, lengths } = serde_json::from_slice(&datagram.split_to(end))?;
        datagram.advance(1);
        let told = lengths.iter().fold(0, |sum: usize, &length| sum.saturating_add(length));
        if told != datagram.len() {
            return Err(StandingError::Length { told, found: datagram.len() });
        }
        let [open, begun, said, begun_back, said_back] = lengths.map(|length| datagram.split_to(length));
        Ok(Self { server, open, to_client: (begun, said), to_server: (begun_back, said_back) })
    }
}

/// The last call on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Call {
    /// Orders the calls on a server: microseconds of Unix time, or more where the clock was stepped back.
    pub at: u64,
    /// Whether the server is out since.
    pub out: bool,
}

/// The servers that operators have called out or back, with the last call on each. Merging two in any
/// order, any number of times, gives the same: the later call counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordons(BTreeMap<String, Call>);

impl Cordons {
    /// Takes a call that is made now, by a wall clock that may have been stepped back: it comes after all calls on the
    /// server that are known here.
    pub fn call_now(&mut self, server: &str, unix_micros: u64, out: bool) {
        let after = self.0.get(server).map_or(0, |last| last.at.saturating_add(1));
        self.call(server, Call { at: unix_micros.max(after), out });
    }

    /// Takes a call; whether it changes anything for the server.
    pub fn call(&mut self, server: &str, call: Call) -> bool {
        let last = self.0.get(server).copied();
        if last.is_some_and(|last| last >= call) {
            return false;
        }
        self.0.insert(server.to_owned(), call);
        last.is_some_and(|last| last.out) != call.out
    }

    /// Takes another's calls; the servers for which that changes anything, and whether they are out.
    pub fn merge(&mut self, others: &Self) -> Vec<(String, bool)> {
        let calls = others.0.iter().filter(|(server, call)| self.call(server, **call));
        calls.map(|(server, call)| (server.clone(), call.out)).collect()
    }

    /// Whether a server is out.
    pub fn out(&self, server: &str) -> bool {
        self.0.get(server).is_some_and(|call| call.out)
    }

    /// The servers that are out.
    pub fn all_out(&self) -> impl Iterator<Item = &str> {
        self.0.iter().filter(|(_, call)| call.out).map(|(server, _)| server.as_str())
    }
}

/// What outlives a process, as one file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Kept {
    /// Whose it is.
    pub whose: Option<Deployment>,
    /// The run has begun.
    pub begun: bool,
    /// What operators have called out.
    pub cordons: Cordons,
}
