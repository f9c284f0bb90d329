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
use super::messages::{DriverEvent, EventLoopHandle};

use crate::discovery::{
    CALL_TIMEOUT, EndpointList, HEARTBEAT_TIMEOUT, WatchCodec, WatchEnd, WatchError, WatchEvent,
    watch_request,
};

/// What is read of a watch at a time.
const READ_BUFFER_BYTES: usize = 4096;

/// Watches once for each `()` on `subscribe`, and says when a watch has ended. When discovery has
/// another address, the old watch is left at once and the new one begun, unasked: versions of
/// another service say nothing, so it is asked for all, and until it answers the last list stands.
pub async fn follow_endpoint_list(
    mut address: watch::Receiver<SocketAddr>,
    list_version: u64,
    mut subscribe: mpsc::Receiver<()>,
    event_loop: EventLoopHandle,
) {
    let mut follower = WatchFollower {
        event_loop,
        watch_number: 0,
        list_version,
        last_synced_at: Instant::now(),
        has_answered: false,
    };
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
            follower.list_version = 0;
        }
        let why = tokio::select! {
            biased;
            Ok(()) = address.changed() => {
                moved = true;
                None
            }
            ended = follower.run_watch(at) => Some(ended),
        };
        let end = match &why {
            Some(Err(error)) => error.watch_end(follower.has_answered),
            _ if follower.has_answered => WatchEnd::Closed,
            _ => WatchEnd::Failed,
        };
        if let Some(why) = why {
            let why = why.map_or_else(|error| error.to_string(), |()| "ended".to_owned());
            info!("discovery: {at}: watch after version {}: {why}", follower.list_version);
        } else {
            // What the old service has told and the core has not heard yet is void from now on.
            follower.begin_watch();
        }
        // Whatever was asked meanwhile was asked of the watch that has ended.
        while subscribe.try_recv().is_ok() {
            awaited = false;
        }
        let ask = !moved && !awaited;
        awaited |= ask;
        let in_step = follower.last_synced_at.elapsed();
        follower
            .event_loop
            .send(DriverEvent::WatchEnded { since_synced: in_step, end, resubscribe: ask })
            .await;
    }
}

/// What outlives a single watch.
struct WatchFollower {
    event_loop: EventLoopHandle,
    /// The present watch's.
    watch_number: u64,
    /// The version of the list.
    list_version: u64,
    /// When the last whole object or beat of any watch came, or the start.
    last_synced_at: Instant,
    /// Whether the present watch has told something whole.
    has_answered: bool,
}

impl WatchFollower {
    fn begin_watch(&mut self) {
        self.watch_number = self.event_loop.start_watch();
        self.has_answered = false;
    }

    async fn run_watch(&mut self, address: SocketAddr) -> Result<(), WatchError> {
        self.begin_watch();
        let mut deadline = Instant::now() + CALL_TIMEOUT;
        let late = || io::Error::from(io::ErrorKind::TimedOut);
        let ask = open_watch(address, self.list_version, deadline);
        // The writing half is kept: without it the sending would be shut down.
        let (mut stream, _write) = timeout_at(deadline, ask).await.map_err(|_| late())??;
        let (mut codec, mut buffer) = (WatchCodec::default(), BytesMut::with_capacity(READ_BUFFER_BYTES));
        loop {
            // Bytes alone put nothing off. What has come by the deadline is read first, also by a process
            // that stalled and wakes late.
            let Ok(read) = timeout_at(deadline, stream.read_buf(&mut buffer)).await else {
                let silent = self.last_synced_at.elapsed();
                return Err(if self.has_answered { WatchError::Silent(silent) } else { late().into() });
            };
            if read? == 0 {
                return Ok(());
            }
            while let Some(event) = codec.decode(&mut buffer)? {
                self.handle_watch_event(address, event).await?;
                deadline = self.last_synced_at + HEARTBEAT_TIMEOUT;
            }
        }
    }

    async fn handle_watch_event(&mut self, address: SocketAddr, event: WatchEvent) -> Result<(), WatchError> {
        let first = !std::mem::replace(&mut self.has_answered, true);
        if first {
            let what = match &event {
                WatchEvent::List(EndpointList { snapshot: true, .. }) => "whole list",
                WatchEvent::List(_) => "changes",
                WatchEvent::Heartbeat => "nothing new",
            };
            info!("discovery: {address}: watching after version {}, {what}", self.list_version);
        }
        if let WatchEvent::List(news) = event {
            let (index, fits) = (news.index, news.applies_to(self.list_version));
            // Only what has been told counts: this may be given up meanwhile.
            self.event_loop.send(DriverEvent::ListUpdated { watch: self.watch_number, update: news }).await;
            let had = std::mem::replace(&mut self.list_version, if fits { index } else { 0 });
            if !fits {
                // What these entries say is so, but not what changed before: that takes a whole list.
                return Err(WatchError::StaleChanges { had, index });
            }
        }
        self.last_synced_at = Instant::now();
        if first {
            self.event_loop.send(DriverEvent::WatchSynced { watch: self.watch_number }).await;
        }
        Ok(())
    }
}

/// Connects and asks for what came after this version.
async fn open_watch(
    address: SocketAddr,
    after: u64,
    deadline: Instant,
) -> io::Result<(TcpReader, TcpWriter)> {
    let stream = connect(address, deadline).await.map_err(ConnectFailure::into_io)?;
    stream.set_nodelay(true)?;
    let (read, mut write) = split_tcp(stream);
    write.write_all(watch_request(&address.to_string(), after).as_bytes()).await?;
    Ok((read, write))
}
