//! One client of the lines front, from its first line to its end.
//!
//! Each direction has one buffer: that of the `FramedRead` it is read by, bounded by the codec. A
//! line leaves it only to be written straight to the other socket, and nothing more is read that
//! way until it has been: that is the back-pressure. `Framed`'s buffer moves its rest to the front
//! where a ring would wrap; no second buffer stands behind it.

use std::io::{Cursor, Read, Write};
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use std::time::Duration;

use ashtide_stream::{TcpReader, TcpWriter, split_tcp};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Chain};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::codec::FramedRead;

use ashtide_wire::{
    ClientEvent, ClientSide, FAILED, LineCodec, LineError, MOVE, Open, OpenError, PONG, ServerEvent,
    ServerSide, busy,
};

use super::connect::{ConnectFailure, connect};
use super::lobby::{Heard, Lobby, Permit, Place};
use super::log::Limited;
use super::passing::Heir;
use super::report::{Ask, COMMANDS, Command, Handle, Report, duration, span};

use crate::engine::Answer;
use crate::figures::{Closed, Count};
use crate::handover::Standing;
use crate::interface::{Outcome, RequestId};
use crate::open_ids::{Claim, OpenIds};

/// From its arrival on, a client has so long to say what it wants, whatever it says before: a true one
/// may take 2 s to write its line, and a bad one is owed an end within 3 s.
const FIRST_LINE: Duration = Duration::from_millis(2600);
/// How long a last line may take to be written. It waits only behind what a client has not read yet, and a
/// client that stops for so long and then reads on is not cut off in the middle of a line.
const LAST_LINE: Duration = Duration::from_secs(2);
/// How long a socket that has been ended waits for its other end, so that no reset overtakes the
/// last line.
const LINGER: Duration = Duration::from_millis(500);
/// What is read meanwhile and thrown away, at most: who sends more gets the reset.
const DRAIN: usize = 256 << 10;
/// What is read at a time to be thrown away.
const DRAIN_ROOM: usize = 4096;
/// A connection from before the run is lost if it is not up by then.
const EXISTING: Duration = Duration::from_secs(40);
/// Wait between tries to reach the server of a connection from before the run.
const EXISTING_AGAIN: Duration = Duration::from_millis(300);
/// What a client over the limit is told to wait.
const OVER_LIMIT: Duration = Duration::from_secs(1);
/// Room for a line to begin with; lines are short, and a longer one makes more.
const LINE_ROOM: usize = 1024;

static BAD: Limited = Limited::new("client");
static CROWD: Limited = Limited::new("clients");
static LOCAL: Limited = Limited::new("connect");

/// Limits on time that the settings give.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// A server that has not accepted by then is not there.
    pub connect: Duration,
}

/// What another process has read of the socket and not passed on comes first.
type Source = Chain<Cursor<Bytes>, TcpReader>;
type Lines = FramedRead<Source, LineCodec>;

struct Peer {
    lines: Lines,
    write: TcpWriter,
}

impl Peer {
    fn new(stream: TcpStream) -> Self {
        Self::taken_over(stream, Bytes::new())
    }

    /// A socket of which so much has been read already.
    fn taken_over(stream: TcpStream, read_before: Bytes) -> Self {
        let _ = stream.set_nodelay(true);
        let (read, write) = split_tcp(stream);
        let source = AsyncReadExt::chain(Cursor::new(read_before), read);
        Self { lines: FramedRead::with_capacity(source, LineCodec::default(), LINE_ROOM), write }
    }

    /// The socket, and what has been read of it and not been taken as a line.
    fn into_parts(self) -> std::io::Result<(std::net::TcpStream, Bytes)> {
        let mut unread = self.lines.read_buffer().clone();
        let (before, read) = self.lines.into_inner().into_inner();
        let from = usize::try_from(before.position()).unwrap_or(usize::MAX).min(before.get_ref().len());
        unread.extend_from_slice(&before.get_ref()[from..]);
        let stream = read.reunite(self.write)?;
        Ok((stream.into_std()?, unread.freeze()))
    }

    /// Writes a last line and ends politely: half-close, then wait for the other end, as a close
    /// with unread input would reset the connection and take the line along. False where the line could not
    /// be written.
    async fn finish(mut self, last: &[u8]) -> bool {
        if !matches!(timeout(LAST_LINE, self.write.write_all(last)).await, Ok(Ok(()))) {
            return false;
        }
        let _ = self.write.shutdown().await;
        self.drain().await;
        true
    }

    /// Reads on, within bounds, after the sending has been shut down: a close over unread bytes would be a
    /// reset, and take along what has been written and not been read yet.
    async fn drain(self) {
        let mut read = self.lines.into_inner();
        let mut rest = BytesMut::with_capacity(DRAIN_ROOM);
        let drain = async {
            let mut left = DRAIN;
            while let Ok(read @ 1..) = read.read_buf(&mut rest).await {
                left = left.saturating_sub(read);
                if left == 0 {
                    return;
                }
                rest.clear();
            }
        };
        let _ = timeout(LINGER, drain).await;
    }

    /// Writes a last line and closes at once, after what has come so far has been thrown away: unread, it
    /// would make the close a reset. What is still on its way makes it one all the same.
    fn hurry(self, last: &[u8]) {
        // The socket itself, as the runtime may not have heard yet what can be read from it.
        let Ok((mut stream, _)) = self.into_parts() else { return };
        let _ = stream.write(last);
        let mut rest = [0; DRAIN_ROOM];
        for _ in 0..DRAIN / DRAIN_ROOM {
            if !matches!(stream.read(&mut rest), Ok(1..)) {
                return;
            }
        }
    }

    /// Ends as the other side did: with a reset.
    fn reset(self) {
        if let Ok(stream) = self.lines.into_inner().into_inner().1.reunite(self.write) {
            let _ = stream.set_zero_linger();
        }
    }
}

/// What all clients of the lines front share.
#[derive(Clone)]
pub struct Front {
    /// Who may stay.
    pub lobby: Lobby,
    times: Times,
    core: Handle,
    ids: OpenIds,
    /// Who takes standing connections over when this process leaves.
    heir: watch::Receiver<Option<Arc<Heir>>>,
}

/// How a client's first lines ended.
enum First {
    Open(Box<Open>),
    Bad(LineOrOpen),
    /// It has asked whether this gateway is there, and rested since.
    Rested,
    /// Nothing more is owed.
    Over,
}

/// Why a client is bad.
#[derive(Debug, thiserror::Error)]
enum LineOrOpen {
    #[error(transparent)]
    Line(#[from] LineError),
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error("nothing asked for within {FIRST_LINE:?}")]
    Late,
    #[error("ended within its first line")]
    Cut,
    #[error("the id of a request that is still open")]
    Id,
    #[error("'at' after the start")]
    At,
}

impl Front {
    /// The front, with no clients yet.
    pub fn new(lobby: Lobby, times: Times, core: Handle, heir: watch::Receiver<Option<Arc<Heir>>>) -> Self {
        Self { lobby, times, core, ids: OpenIds::default(), heir }
    }

    /// Goes on with a connection that an older process has passed on.
    pub async fn adopt(self, standing: Standing, client: OwnedFd, server: OwnedFd) {
        let stream = |socket: OwnedFd| TcpStream::from_std(std::net::TcpStream::from(socket));
        let (Ok(client), Ok(server)) = (stream(client), stream(server)) else { return };
        let client = Peer::taken_over(client, standing.to_server.1);
        let server = Peer::taken_over(server, standing.to_client.1);
        let open = Open::parse(standing.open);
        let claim = open.as_ref().ok().and_then(|open| self.ids.claim(&open.id));
        let (Ok(open), Some(claim)) = (open, claim) else {
            // Neither can come of a process that read the line and held the id; the client is owed a word.
            return self.end(client, &rest(standing.to_client.0, MOVE)).await;
        };
        let permit = self.lobby.adopt();
        let (id, (port, commands)) = (self.core.next_id(), mpsc::channel(COMMANDS));
        self.core.tell(Report::Adopted(id, ask(&open), standing.server, port)).await;
        let (front, early) = (self, BytesMut::from(&standing.to_server.0[..]));
        let side = ClientSide::default();
        let session = Session { id, open, client, side, early, commands, front, claim };
        session.relay(0, server, ServerSide::standing(), standing.to_client.0, true).await;
        drop(permit);
    }

    /// Serves one client. Its place is kept until it has a session or has gone.
    pub async fn meet(self, client: TcpStream, mut place: Place) {
        let (mut client, mut side) = (Peer::new(client), ClientSide::default());
        let heard = place.heard();
        let first = tokio::select! {
            biased;
            first = first(&mut client, &mut side, &heard) => first,
            () = place.displaced() => return self.displace(client).await,
        };
        let admitted = match first {
            First::Open(open) => {
                let class = open.class.clone();
                self.admit(open).map_err(|(count, answer)| {
                    self.core.count(count, &class);
                    answer
                })
            }
            First::Bad(why) => Err(self.refuse(&why)),
            // It may ask at this very moment: what it reads then is an answer, and harmless.
            First::Rested => {
                self.core.closed(Closed::Unasked);
                Err(busy(OVER_LIMIT))
            }
            First::Over => return self.core.closed(Closed::Unasked),
        };
        match admitted {
            Ok((open, permit, claim)) => {
                drop(place);
                self.open(client, side, open, claim).await;
                drop(permit);
            }
            Err(answer) => tokio::select! {
                biased;
                () = self.end(client, &answer) => {}
                () = place.displaced() => {}
            },
        }
    }

    /// Ends a client with a last line, and counts one that did not read it.
    async fn end(&self, client: Peer, last: &[u8]) {
        if !client.finish(last).await {
            self.core.closed(Closed::Unread);
        }
    }

    /// Sends a client away that has not asked yet. Where another needs its descriptor only a few are waited
    /// for; at a stop nobody does, and all are.
    async fn displace(&self, client: Peer) {
        let stops = self.lobby.is_closed();
        let closer = if stops { None } else { self.lobby.closer() };
        if closer.is_none() && !stops {
            self.core.closed(Closed::Hurried);
            return client.hurry(&busy(OVER_LIMIT));
        }
        self.core.closed(if stops { Closed::Stopped } else { Closed::Displaced });
        self.end(client, &busy(OVER_LIMIT)).await;
        drop(closer);
    }

    fn refuse(&self, why: &LineOrOpen) -> Bytes {
        BAD.say(why);
        Bytes::from_static(FAILED)
    }

    /// Whether the client may have what it asks for, or what it is answered at once.
    fn admit(&self, open: Box<Open>) -> Result<(Box<Open>, Permit, Claim), (Count, Bytes)> {
        if open.at.is_some() && self.lobby.begun() {
            return Err((Count::BadGateway, self.refuse(&LineOrOpen::At)));
        }
        let claim =
            self.ids.claim(&open.id).ok_or_else(|| (Count::BadGateway, self.refuse(&LineOrOpen::Id)))?;
        let Some(permit) = self.lobby.session() else {
            CROWD.say("all sessions are taken, one told to come again");
            return Err((Count::Dropped, busy(OVER_LIMIT)));
        };
        Ok((open, permit, claim))
    }

    async fn open(&self, client: Peer, side: ClientSide, open: Box<Open>, claim: Claim) {
        let id = self.core.next_id();
        let (port, commands) = mpsc::channel(COMMANDS);
        let wait = span(open.wait.unwrap_or(EXISTING));
        let ask = Ask { wait, ..ask(&open) };
        self.core
            .tell(match &open.at {
                Some(server) => Report::Existing(id, ask, server.clone(), port),
                None => Report::Request(id, ask, port),
            })
            .await;
        let (front, early) = (self.clone(), BytesMut::new());
        Session { id, open: *open, client, side, early, commands, front, claim }.run().await;
    }
}

/// What a client asks for, whatever it waits.
fn ask(open: &Open) -> Ask {
    Ask {
        class: open.class.clone(),
        tenant: open.tenant.clone(),
        group: open.group.clone(),
        load: open.load,
        retry: open.retry,
        again: open.again,
        ..Ask::default()
    }
}

/// Reads until the client has said what it wants or its time is up.
async fn first(client: &mut Peer, side: &mut ClientSide, heard: &Heard) -> First {
    let by = Instant::now() + FIRST_LINE;
    let mut asked = false;
    if timeout_at(by, client.lines.get_ref().get_ref().1.readable()).await.is_ok() {
        heard.spoke();
    }
    loop {
        let line = timeout_at(by, client.lines.next()).await;
        let begun = !client.lines.read_buffer().is_empty();
        let line = match line {
            Ok(Some(Ok(line))) => line,
            Ok(None) if begun => return First::Bad(LineOrOpen::Cut),
            Ok(Some(Err(LineError::Io(_))) | None) => return First::Over,
            Ok(Some(Err(error))) => return First::Bad(error.into()),
            // A `PING` has been answered; a client that only asks that is owed no error.
            Err(_) if asked && !begun => return First::Rested,
            Err(_) => return First::Bad(LineOrOpen::Late),
        };
        match side.line(line) {
            ClientEvent::Ping => {
                asked = true;
                // One that does not read its answers has no claim to more of them.
                if !matches!(timeout_at(by, client.write.write_all(PONG)).await, Ok(Ok(()))) {
                    return First::Over;
                }
            }
            ClientEvent::Open(open) => return First::Open(open),
            ClientEvent::Pass(_) => return First::Over,
            ClientEvent::Bad(error) => return First::Bad(error.into()),
        }
    }
}

/// What became of the client while an attempt was out or awaited.
enum Client {
    Spoke(Bytes),
    Left,
    Bad(LineOrOpen),
}

struct Session {
    id: RequestId,
    open: Open,
    client: Peer,
    side: ClientSide,
    /// The few lines that came before the connection stood. The client is read all the time, so that
    /// its leaving is seen.
    early: BytesMut,
    commands: mpsc::Receiver<(RequestId, Command)>,
    front: Front,
    claim: Claim,
}

impl Session {
    async fn run(mut self) {
        loop {
            // The client goes before all else here and below: one that has left gets no attempt, also where it
            // leaves at the moment at which the core decides on one.
            tokio::select! {
                biased;
                seen = watch(&mut self.client.lines, &mut self.side) => match seen {
                    Client::Spoke(line) => self.early.extend_from_slice(&line),
                    Client::Left => return self.left().await,
                    Client::Bad(why) => return self.bad(&why).await,
                },
                command = self.commands.recv() => match command {
                    Some((_, Command::Attempt { attempt, address, timeout })) => {
                        let tried = match self.attempt(attempt, address, duration(timeout)).await {
                            Ok((server, side, line)) => {
                                match self.consent(attempt, Report::Up, Command::Pass { attempt }).await {
                                    Ok(()) => return self.pass(attempt, server, side, line).await,
                                    // Closed before anything else is done, as any attempt that is given up.
                                    Err(tried) => {
                                        drop(server);
                                        tried
                                    }
                                }
                            }
                            Err(tried) => tried,
                        };
                        match tried {
                            Tried::Over(outcome) => {
                                self.front.core.tell(Report::Ended(self.id, attempt, outcome)).await;
                                if self.open.at.is_some() {
                                    self.count(Count::BadGateway);
                                    drop(self.claim);
                                    return self.front.end(self.client, FAILED).await;
                                }
                            }
                            Tried::Closed => {}
                            Tried::Left => return self.left().await,
                            Tried::Bad(why) => return self.bad(&why).await,
                        }
                    }
                    Some((_, Command::Answer(answer))) => return self.answer(answer).await,
                    Some((_, Command::Move)) => return self.front.end(self.client, MOVE).await,
                    // Of an attempt that has ended here meanwhile.
                    Some(_) => {}
                    None => return self.forgotten().await,
                },
            }
        }
    }

    fn count(&self, count: Count) {
        self.front.core.count(count, &self.open.class);
    }

    async fn left(self) {
        self.front.core.closed(Closed::Left);
        self.front.core.tell(Report::Left(self.id)).await;
    }

    /// The core gives no answer any more. It should not come to this, but the client is owed one.
    async fn forgotten(self) {
        self.front.core.closed(Closed::Forgotten);
        self.front.core.tell(Report::Left(self.id)).await;
        drop(self.claim);
        self.front.end(self.client, &busy(OVER_LIMIT)).await;
    }

    /// Reports where an attempt stands, and waits for the core's consent to go on: it may have given the attempt
    /// up at the same moment, and sent another or answered.
    async fn consent(
        &mut self,
        attempt: u32,
        report: fn(RequestId, u32) -> Report,
        consent: Command,
    ) -> Result<(), Tried> {
        self.front.core.tell(report(self.id, attempt)).await;
        loop {
            tokio::select! {
                biased;
                seen = watch(&mut self.client.lines, &mut self.side) => self.saw(seen)?,
                command = self.commands.recv() => match command {
                    Some((_, command)) if command == consent => return Ok(()),
                    Some((_, Command::Close { attempt: which })) if which == attempt => {
                        return Err(Tried::Closed);
                    }
                    Some(_) => {}
                    None => return Err(Tried::Closed),
                },
            }
        }
    }

    /// Does a step of an attempt, unless the client leaves or the core gives the attempt up before its end.
    async fn step<T>(&mut self, attempt: u32, step: impl Future<Output = T>) -> Result<T, Tried> {
        tokio::pin!(step);
        loop {
            tokio::select! {
                biased;
                seen = watch(&mut self.client.lines, &mut self.side) => self.saw(seen)?,
                command = self.commands.recv() => match command {
                    Some((_, Command::Close { attempt: which })) if which == attempt => {
                        return Err(Tried::Closed);
                    }
                    Some((_, Command::Move)) => return Err(Tried::Over(Outcome::Cancelled)),
                    Some(_) => {}
                    None => return Err(Tried::Closed),
                },
                done = &mut step => return Ok(done),
            }
        }
    }

    fn saw(&mut self, seen: Client) -> Result<(), Tried> {
        match seen {
            Client::Spoke(line) => {
                self.early.extend_from_slice(&line);
                Ok(())
            }
            Client::Left => Err(Tried::Left),
            Client::Bad(why) => Err(Tried::Bad(why)),
        }
    }

    /// A client that did not wait for its answer: the request is called off, and this is its answer.
    async fn bad(self, why: &LineOrOpen) {
        self.front.core.tell(Report::Left(self.id)).await;
        let answer = self.front.refuse(why);
        self.count(Count::BadGateway);
        drop(self.claim);
        self.front.end(self.client, &answer).await;
    }

    async fn answer(self, answer: Answer) {
        let (count, line) = match answer {
            Answer::Refused(wait) => (Count::Dropped, busy(duration(wait))),
            Answer::Failed => (Count::BadGateway, Bytes::from_static(FAILED)),
        };
        self.count(count);
        drop(self.claim);
        self.front.end(self.client, &line).await;
    }

    /// Makes one attempt. Its socket is closed before anything else is done when it is given up, and nothing is
    /// written before the core has consented: a connection may come up late.
    async fn attempt(&mut self, attempt: u32, address: SocketAddr, wait: Duration) -> Result<Up, Tried> {
        let begun = Instant::now();
        if self.open.at.is_some() {
            return self.reach_again(attempt, address, wait).await;
        }
        let connect = self.front.times.connect;
        let server = self.step(attempt, connected(address, connect)).await??;
        self.consent(attempt, Report::Connected, Command::Begin { attempt }).await?;
        // The runtime looks at the sockets once more: what the client has done by now counts.
        self.step(attempt, yield_now()).await?;
        let line = self.open.forward(wait.saturating_sub(begun.elapsed()));
        let (core, class) = (self.front.core.clone(), self.open.class.clone());
        self.step(attempt, exchange(server, &line, || core.count(Count::Tries, &class))).await?
    }

    /// Reaches the server of a connection that stood before the run, where there is no hurry, and nowhere else
    /// to go.
    async fn reach_again(&mut self, attempt: u32, address: SocketAddr, wait: Duration) -> Result<Up, Tried> {
        let (by, connect) = (Instant::now() + wait.max(EXISTING), self.front.times.connect);
        let (line, core, class) = (self.open.raw.clone(), self.front.core.clone(), self.open.class.clone());
        let reach = async {
            loop {
                let reached = match connected(address, connect).await {
                    Ok(server) => exchange(server, &line, || core.count(Count::Tries, &class)).await,
                    Err(tried) => Err(tried),
                };
                match reached {
                    Err(Tried::Over(Outcome::ConnectError | Outcome::LocalFailure)) => {
                        sleep(EXISTING_AGAIN).await;
                    }
                    reached => return reached,
                }
            }
        };
        let late = || Err(Tried::Over(Outcome::TimedOut));
        self.step(attempt, async { timeout_at(by, reach).await.unwrap_or_else(|_| late()) }).await?
    }

    /// The connection stands.
    async fn pass(self, attempt: u32, server: Peer, side: ServerSide, up: Bytes) {
        if self.open.at.is_none() {
            self.front.lobby.begin();
        }
        self.relay(attempt, server, side, up, false).await;
    }

    /// Passes lines both ways until either side ends or the core moves the client or hands it on; at first
    /// `to_client`. `told` where the client knows that it stands.
    async fn relay(
        mut self,
        attempt: u32,
        mut server: Peer,
        mut side: ServerSide,
        mut to_client: Bytes,
        mut told: bool,
    ) {
        let id = self.id;
        self.side.up();
        let mut to_server = self.early.split().freeze();
        let (mut last, mut deaf) = (false, false);
        let end = loop {
            if last && to_client.is_empty() {
                break End::Server(side.end().into());
            }
            tokio::select! {
                written = self.client.write.write_buf(&mut to_client), if !to_client.is_empty() => {
                    if written.is_err() {
                        // It has gone and reads nothing more, but what it said before is still on the way.
                        (deaf, to_client) = (true, Bytes::new());
                        continue;
                    }
                    if !told && to_client.is_empty() {
                        told = true;
                        self.front.core.count(Count::Passed, &self.open.class);
                    }
                }
                written = server.write.write_buf(&mut to_server), if !to_server.is_empty() => {
                    if written.is_err() {
                        break End::Server(side.end().into());
                    }
                    if to_server.is_empty() {
                        self.front.core.tell(Report::Asked(id, true)).await;
                    }
                }
                line = server.lines.next(), if to_client.is_empty() && !last && !deaf => match line {
                    Some(Ok(line)) => match side.line(line) {
                        ServerEvent::Load(line, figure) => {
                            to_client = line;
                            self.front.core.tell(Report::Load(id, figure)).await;
                        }
                        ServerEvent::Last(line) => (to_client, last) = (line, true),
                        ServerEvent::Pass(line) | ServerEvent::Up(line) => {
                            to_client = line;
                            self.front.core.tell(Report::Answered(id)).await;
                        }
                        ServerEvent::Over(_) => {}
                    },
                    Some(Err(_)) | None => break End::Server(side.end().into()),
                },
                line = self.client.lines.next(), if to_server.is_empty() => match line {
                    Some(Ok(line)) => to_server = line,
                    None => break End::Client(deaf),
                    Some(Err(LineError::Io(_))) => break End::Client(true),
                    Some(Err(error)) => {
                        BAD.say(error);
                        break End::Client(false);
                    }
                },
                command = self.commands.recv() => match command {
                    Some((_, Command::Move)) | None => break End::Moved,
                    // The server has said its last: there is nothing to hand on.
                    Some((_, Command::Hand(_))) if last => break End::Server(side.end().into()),
                    Some((_, Command::Hand(name))) => return self.hand(name, server, to_client, to_server).await,
                    Some(_) => {}
                },
            }
        };
        // The server's side is ended before anyone else may have the id, and before the core hears. Where it may
        // have said something that nobody reads any more, the sending is shut down first: a reset would take
        // along the client's last line.
        let (outcome, server) = match end {
            End::Client(true) => {
                server.reset();
                (Some(Outcome::Cancelled), None)
            }
            End::Client(false) | End::Moved => {
                let _ = server.write.shutdown().await;
                (matches!(end, End::Client(_)).then_some(Outcome::Cancelled), Some(server))
            }
            End::Server(outcome) => {
                drop(server);
                (Some(outcome), None)
            }
        };
        drop(self.claim);
        if let Some(outcome) = outcome {
            self.front.core.tell(Report::Ended(id, attempt, outcome)).await;
        }
        let drained = async {
            if let Some(server) = server {
                server.drain().await;
            }
        };
        let last_word: &[u8] = match end {
            End::Client(_) => {
                drop(self.client);
                return drained.await;
            }
            // A server that died says nothing: its client is told to move, and comes back soon.
            End::Server(outcome) if !last && outcome != Outcome::Ok => MOVE,
            End::Server(_) => b"",
            End::Moved => MOVE,
        };
        let last_words = rest(to_client, last_word);
        tokio::join!(self.front.end(self.client, &last_words), drained);
    }

    /// Passes the connection to the successor as it is; where there is none or it will not, the client is
    /// told to move.
    async fn hand(self, name: String, server: Peer, to_client: Bytes, to_server: Bytes) {
        let Self { open, client, front, claim, .. } = self;
        drop(claim);
        let (Ok((client, client_said)), Ok((server, server_said))) =
            (client.into_parts(), server.into_parts())
        else {
            return;
        };
        let standing = Standing {
            server: name,
            open: open.raw,
            to_client: (to_client.clone(), server_said),
            to_server: (to_server, client_said),
        };
        let heir = front.heir.borrow().clone();
        if let (Some(heir), Some(datagram)) = (heir, standing.datagram()) {
            if heir.pass(&datagram, [client.as_fd(), server.as_fd()]).await.is_ok() {
                return;
            }
        }
        drop(server);
        if let Ok(client) = TcpStream::from_std(client) {
            front.end(Peer::new(client), &rest(to_client, MOVE)).await;
        }
    }
}

/// The rest of a line that has been begun, and a last one: `MOVE` stands only between lines.
fn rest(mut begun: Bytes, last: &[u8]) -> Bytes {
    let length = begun.remaining() + last.len();
    let mut all = begun.copy_to_bytes(begun.remaining()).to_vec();
    all.reserve_exact(length - all.len());
    all.extend_from_slice(last);
    all.into()
}

enum End {
    /// The client ended, with a reset or without.
    Client(bool),
    Server(Outcome),
    Moved,
}

/// An attempt's connection that stands: the server, and the line that says so.
type Up = (Peer, ServerSide, Bytes);

/// How an attempt ended.
enum Tried {
    Over(Outcome),
    /// The core has given it up.
    Closed,
    /// The client has gone.
    Left,
    Bad(LineOrOpen),
}

/// What the client does while it waits for its answer.
///
/// One that ends its side has left, with a close, a half-close or a reset: the protocol has a client wait for
/// its answer, knows no end of one direction alone, and a close cannot be told from a half-close before
/// something has been written. That is decided here and nowhere else.
async fn watch(lines: &mut Lines, side: &mut ClientSide) -> Client {
    match lines.next().await {
        Some(Ok(line)) => match side.line(line) {
            ClientEvent::Pass(line) => Client::Spoke(line),
            ClientEvent::Bad(error) => Client::Bad(error.into()),
            // Neither comes behind an `OPEN`.
            ClientEvent::Ping | ClientEvent::Open(_) => Client::Left,
        },
        Some(Err(LineError::Io(_))) | None => Client::Left,
        Some(Err(error)) => Client::Bad(error.into()),
    }
}

/// A connection to a server, if it comes up in time. One that comes up later has been closed before.
async fn connected(address: SocketAddr, within: Duration) -> Result<Peer, Tried> {
    let failure = match connect(address, Instant::now() + within).await {
        Ok(stream) => return Ok(Peer::new(stream)),
        Err(failure) => failure,
    };
    Err(Tried::Over(match failure {
        ConnectFailure::Local(error) => {
            LOCAL.say(format_args!("{address}: {error}"));
            Outcome::LocalFailure
        }
        ConnectFailure::Unreached(_) | ConnectFailure::Late => Outcome::ConnectError,
    }))
}

/// Writes the first line to a server, and reads its answer.
async fn exchange(mut server: Peer, line: &[u8], written: impl Fn()) -> Result<Up, Tried> {
    let mut side = ServerSide::default();
    if server.write.write_all(line).await.is_err() {
        return Err(Tried::Over(side.end().into()));
    }
    side.written();
    written();
    let outcome = match server.lines.next().await {
        Some(Ok(line)) => match side.line(line) {
            ServerEvent::Up(line) => return Ok((server, side, line)),
            ServerEvent::Over(ending) => ending.into(),
            ServerEvent::Pass(_) | ServerEvent::Load(..) | ServerEvent::Last(_) => Outcome::Failed,
        },
        Some(Err(_)) | None => side.end().into(),
    };
    Err(Tried::Over(outcome))
}
