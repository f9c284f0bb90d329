//! What two processes of one balancer tell each other, and what outlives them. Knows no socket and no
//! file: lines of JSON in and out.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::Decoder;

use crate::discovery::EndpointList;

/// Longest word: a list of thousands of servers.
pub const MAX_MESSAGE_LENGTH: usize = 1 << 20;

/// Why a word cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum SiblingMessageError {
    /// More than [`MAX_WORD`] bytes without an end of line.
    #[error("over {MAX_MESSAGE_LENGTH} bytes")]
    TooLong,
    /// Not a word of this version.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
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
    pub fn is_same_deployment(&self, other: &Self) -> bool {
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
pub struct ServerUsage {
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
pub struct ProcessState {
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
    pub shares: BTreeMap<String, ServerUsage>,
    /// What operators have called out.
    pub cordons: Cordons,
}

/// The rank of a process that starts at `unix_micros` of a wall clock, which may be stepped between two starts, and
/// finds processes of these ranks: higher than all of them, and another than that of a process which starts beside it.
pub fn rank_after(unix_micros: u64, existing_ranks: impl Iterator<Item = u64>, process_id: u32) -> u64 {
    let above =
        existing_ranks.max().map_or(0, |highest| highest.saturating_add(1).saturating_add(process_id.into()));
    unix_micros.max(above)
}

/// One word from process to process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiblingMessage {
    /// The server list as the sender has it.
    List(EndpointList),
    /// How the sender stands.
    State(ProcessState),
}

impl SiblingMessage {
    /// The word as a line.
    pub fn encode_line(&self) -> Bytes {
        // Names and numbers only: this does not fail.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line.into()
    }
}

/// Cuts a stream into words.
#[derive(Debug, Default)]
pub struct SiblingMessageCodec {
    /// How much of the buffer has been searched.
    scanned_length: usize,
}

impl Decoder for SiblingMessageCodec {
    type Item = SiblingMessage;
    type Error = SiblingMessageError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<SiblingMessage>, SiblingMessageError> {
        let from = self.scanned_length.min(buffer.len());
        let end = buffer[from..].iter().position(|&byte| byte == b'\n').map(|at| from + at);
        self.scanned_length = if end.is_some() { 0 } else { buffer.len() };
        match end {
            Some(end) if end < MAX_MESSAGE_LENGTH => {
                Ok(Some(serde_json::from_slice(&buffer.split_to(end + 1)[..end])?))
            }
            None if buffer.len() < MAX_MESSAGE_LENGTH => Ok(None),
            _ => Err(SiblingMessageError::TooLong),
        }
    }

    /// What is left without an end of line is no word.
    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<SiblingMessage>, SiblingMessageError> {
        self.decode(buffer)
    }
}

/// What all other processes of this balancer are, together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SiblingSummary {
    /// Whether a younger one takes the clients.
    pub has_ready_successor: bool,
    /// When the youngest of those started that takes over standing connections.
    pub successor_rank: Option<u64>,
    /// The run has begun for one of them.
    pub restore_phase_over: bool,
    /// Descriptors that they use.
    pub descriptors: usize,
    /// By server's name, what they hold there.
    pub server_usage: BTreeMap<String, ServerUsage>,
    /// What operators have called out at them.
    pub cordons: Cordons,
}

impl SiblingSummary {
    /// The sum of these, as one that started at `started` sees them.
    pub fn aggregate<'a>(started: u64, states: impl Iterator<Item = &'a ProcessState>) -> Self {
        states.fold(Self::default(), |mut all, state| {
            let succeeds = state.ready && state.started > started;
            all.has_ready_successor |= succeeds;
            all.successor_rank = all.successor_rank.max((succeeds && state.adopts).then_some(state.started));
            all.restore_phase_over |= state.begun;
            all.descriptors += state.sockets;
            all.cordons.merge(&state.cordons);
            for (server, share) in &state.shares {
                let sum = all.server_usage.entry(server.clone()).or_default();
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
pub const MAX_HANDOFF_LENGTH: usize = 64 << 10;

/// Why what goes with a connection's sockets cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum HandoffDecodeError {
    /// No end of the head.
    #[error("no head")]
    MissingHeader,
    /// Not a head of this version.
    #[error("{0}")]
    MalformedHeader(#[from] serde_json::Error),
    /// The bytes behind the head are not those that it tells of.
    #[error("{told} bytes told, {found} found")]
    LengthMismatch {
        /// By the head.
        told: usize,
        /// Behind it.
        found: usize,
    },
}

/// A standing connection on its way to a younger process: what goes with its two sockets, in one datagram.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EstablishedConnection {
    /// The name of the server that holds it.
    pub server: String,
    /// The client's `OPEN` line as it came.
    pub open_line: Bytes,
    /// The rest of a line that has been begun towards the client, and what was read of the server behind it.
    pub to_client: (Bytes, Bytes),
    /// The same towards the server, and of the client.
    pub to_server: (Bytes, Bytes),
}

#[derive(Serialize, Deserialize)]
struct HandoffHeader {
    server: String,
    lengths: [usize; 5],
}

impl EstablishedConnection {
    fn sections(&self) -> [&Bytes; 5] {
        [&self.open_line, &self.to_client.0, &self.to_client.1, &self.to_server.0, &self.to_server.1]
    }

    /// The datagram; nothing where it would be longer than [`MAX_STANDING`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let parts = self.sections();
        let head = HandoffHeader { server: self.server.clone(), lengths: parts.map(Bytes::len) };
        let mut all = serde_json::to_vec(&head).ok()?;
        all.push(b'\n');
        parts.iter().for_each(|part| all.extend_from_slice(part));
        (all.len() <= MAX_HANDOFF_LENGTH).then_some(all)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Fails where it is not whole or has another form.
    pub fn decode(mut datagram: Bytes) -> Result<Self, HandoffDecodeError> {
        let end = datagram.iter().position(|&byte| byte == b'\n').ok_or(HandoffDecodeError::MissingHeader)?;
        let HandoffHeader { server, lengths } = serde_json::from_slice(&datagram.split_to(end))?;
        datagram.advance(1);
        let told = lengths.iter().fold(0, |sum: usize, &length| sum.saturating_add(length));
        if told != datagram.len() {
            return Err(HandoffDecodeError::LengthMismatch { told, found: datagram.len() });
        }
        let [open, begun, said, begun_back, said_back] = lengths.map(|length| datagram.split_to(length));
        Ok(Self { server, open_line: open, to_client: (begun, said), to_server: (begun_back, said_back) })
    }
}

/// The last call on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CordonChange {
    /// Orders the calls on a server: microseconds of Unix time, or more where the clock was stepped back.
    pub at: u64,
    /// Whether the server is out since.
    pub out: bool,
}

/// The servers that operators have called out or back, with the last call on each. Merging two in any
/// order, any number of times, gives the same: the later call counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordons(BTreeMap<String, CordonChange>);

impl Cordons {
    /// Takes a call that is made now, by a wall clock that may have been stepped back: it comes after all calls on the
    /// server that are known here.
    pub fn record_now(&mut self, server: &str, unix_micros: u64, out: bool) {
        let after = self.0.get(server).map_or(0, |last| last.at.saturating_add(1));
        self.record(server, CordonChange { at: unix_micros.max(after), out });
    }

    /// Takes a call; whether it changes anything for the server.
    pub fn record(&mut self, server: &str, call: CordonChange) -> bool {
        let last = self.0.get(server).copied();
        if last.is_some_and(|last| last >= call) {
            return false;
        }
        self.0.insert(server.to_owned(), call);
        last.is_some_and(|last| last.out) != call.out
    }

    /// Takes another's calls; the servers for which that changes anything, and whether they are out.
    pub fn merge(&mut self, others: &Self) -> Vec<(String, bool)> {
        let calls = others.0.iter().filter(|(server, call)| self.record(server, **call));
        calls.map(|(server, call)| (server.clone(), call.out)).collect()
    }

    /// Whether a server is out.
    pub fn is_cordoned(&self, server: &str) -> bool {
        self.0.get(server).is_some_and(|call| call.out)
    }

    /// The servers that are out.
    pub fn cordoned_servers(&self) -> impl Iterator<Item = &str> {
        self.0.iter().filter(|(_, call)| call.out).map(|(server, _)| server.as_str())
    }
}

/// What outlives a process, as one file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PersistedState {
    /// Whose it is.
    pub whose: Option<Deployment>,
    /// The run has begun.
    pub begun: bool,
    /// What operators have called out.
    pub cordons: Cordons,
}
