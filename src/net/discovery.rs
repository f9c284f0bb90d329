//! Keeps a watch on discovery whenever the core asks for one.

use std::io;
use std::net::SocketAddr;

use ashtide_stream::{TcpReader, TcpWriter, split_tcp};
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::Decoder;
use tracing::info;

use super::connect::{ConnectFailure, connect};
use super::report::{Handle, Report};

use crate::discovery::{CALL, End, News, QUIET, WatchCodec, WatchError, WatchEvent, watch_request};

/// What is read of a watch at a time.
const ROOM: usize = 4096;

/// Watches once for each `()` on `subscribe`, and says when a watch has ended. When discovery has
/// another address, the old watch is left at once and the new one begun, unasked: versions of
/// another service say nothing, so it is asked for all, and until it answers the last list stands.
pub async fn follow(
    mut address: watch::Receiver<SocketAddr>,
    after: u64,
    mut subscribe: mpsc::Receiver<()>,
    core: Handle,
) {
    let mut follower = Follower { core, number: 0, after, in_step: Instant::now(), answered: false };
    // Whether the core means to ask, or has asked: of two chains of calls each would be soon.
    let (mut begun, mut moved, mut awaited) = (false, false, true);
    loop {
        if !moved {
            tokio::select! {
                asked = subscribe.recv() => match asked {
                    Some(()) => awaited = false,
                    None => return,
                },
                // Nothing is watched unasked for the first time.
                Ok(()) = address.changed(), if begun => moved = true,
            }
        }
        begun = true;
        // Also one that moved before the first call, or in the moment in which one is asked for.
        moved |= address.has_changed().unwrap_or(false);
        let at = *address.borrow_and_update();
        if std::mem::take(&mut moved) {
            follower.after = 0;
        }
        let why = tokio::select! {
            biased;
            Ok(()) = address.changed() => {
                moved = true;
                None
            }
            ended = follower.call(at) => Some(ended),
        };
        let end = match &why {
            Some(Err(error)) => error.end(follower.answered),
            _ if follower.answered => End::Closed,
            _ => End::Failed,
        };
        if let Some(why) = why {
            let why = why.map_or_else(|error| error.to_string(), |()| "ended".to_owned());
            info!("discovery: {at}: watch after version {}: {why}", follower.after);
        } else {
            // What the old service has told and the core has not heard yet is void from now on.
            follower.begin();
        }
        // Whatever was asked meanwhile was asked of the watch that has ended.
        while subscribe.try_recv().is_ok() {
            awaited = false;
        }
        let ask = !moved && !awaited;
        awaited |= ask;
        let in_step = follower.in_step.elapsed();
        follower.core.tell(Report::WatchEnded { in_step, end, ask }).await;
    }
}

/// What outlives a single watch.
struct Follower {
    core: Handle,
    /// The present watch's.
    number: u64,
    /// The version of the list.
    after: u64,
    /// When the last whole object or beat of any watch came, or the start.
    in_step: Instant,
    /// Whether the present watch has told something whole.
    answered: bool,
}

impl Follower {
    fn begin(&mut self) {
        self.number = self.core.next_watch();
        self.answered = false;
    }

    async fn call(&mut self, address: SocketAddr) -> Result<(), WatchError> {
        self.begin();
        let mut deadline = Instant::now() + CALL;
        let late = || io::Error::from(io::ErrorKind::TimedOut);
        let ask = ask(address, self.after, deadline);
        // The writing half is kept: without it the sending would be shut down.
        let (mut stream, _write) = timeout_at(deadline, ask).await.map_err(|_| late())??;
        let (mut codec, mut buffer) = (WatchCodec::default(), BytesMut::with_capacity(ROOM));
        loop {
            // Bytes alone put nothing off. What has come by the deadline is read first, also by a process
            // that stalled and wakes late.
            let Ok(read) = timeout_at(deadline, stream.read_buf(&mut buffer)).await else {
                let silent = self.in_step.elapsed();
                return Err(if self.answered { WatchError::Silent(silent) } else { late().into() });
            };
            if read? == 0 {
                return Ok(());
            }
            while let Some(event) = codec.decode(&mut buffer)? {
                self.take(address, event).await?;
                deadline = self.in_step + QUIET;
            }
        }
    }

    async fn take(&mut self, address: SocketAddr, event: WatchEvent) -> Result<(), WatchError> {
        let first = !std::mem::replace(&mut self.answered, true);
        if first {
            let what = match &event {
                WatchEvent::News(News { snapshot: true, .. }) => "whole list",
                WatchEvent::News(_) => "changes",
                WatchEvent::Beat => "nothing new",
            };
            info!("discovery: {address}: watching after version {}, {what}", self.after);
        }
        if let WatchEvent::News(news) = event {
            let (index, fits) = (news.index, news.fits(self.after));
            // Only what has been told counts: this may be given up meanwhile.
            self.core.tell(Report::News(self.number, news)).await;
            let had = std::mem::replace(&mut self.after, if fits { index } else { 0 });
            if !fits {
                // What these entries say is so, but not what changed before: that takes a whole list.
                return Err(WatchError::Behind { had, index });
            }
        }
        self.in_step = Instant::now();
        if first {
            self.core.tell(Report::Watching(self.number)).await;
        }
        Ok(())
    }
}

/// Connects and asks for what came after this version.
async fn ask(address: SocketAddr, after: u64, deadline: Instant) -> io::Result<(TcpReader, TcpWriter)> {
    let stream = connect(address, deadline).await.map_err(ConnectFailure::into_io)?;
    stream.set_nodelay(true)?;
    let (read, mut write) = split_tcp(stream);
    write.write_all(watch_request(&address.to_string(), after).as_bytes()).await?;
    Ok((read, write))
}
