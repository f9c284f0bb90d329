//! Driver for watches of the endpoint list in discovery. The event loop requests each watch.

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

/// Initial capacity of the read buffer of a watch, in bytes.
const READ_BUFFER_BYTES: usize = 4096;

/// Follows the endpoint list: runs one watch for each `()` on `subscribe`, and reports the end of each watch.
///
/// When the address of discovery changes, the current watch is ended and a new one is started immediately,
/// without a request. Versions of one discovery service are meaningless to another, so the new watch starts
/// with a complete list. The last list remains in use until the complete list is received. Returns when the
/// event loop ends.
pub async fn follow_endpoint_list(
    address: watch::Receiver<SocketAddr>,
    list_version: u64,
    subscribe: mpsc::Receiver<()>,
    event_loop: EventLoopHandle,
) {
    let mut triggers = WatchTriggers {
        address,
        requests: subscribe,
        has_watched: false,
        address_changed: false,
        request_outstanding: true,
    };
    let mut follower = WatchFollower {
        event_loop,
        watch_number: 0,
        list_version,
        last_synced_at: Instant::now(),
        has_synced: false,
    };
    while let Some(address) = triggers.next_address().await {
        if std::mem::take(&mut triggers.address_changed) {
            follower.list_version = 0;
        }
        let outcome = triggers.run_until_address_changes(follower.run_watch(address)).await;
        let end = follower.finish_watch(address, &outcome);
        let resubscribe = triggers.take_resubscribe();
        let since_synced = follower.last_synced_at.elapsed();
        follower.event_loop.send(DriverEvent::WatchEnded { since_synced, end, resubscribe }).await;
    }
}

/// Outcome of a watch.
enum WatchOutcome {
    /// The address of discovery changed while the watch was running.
    AddressChanged,
    /// The watch ended, with an error unless discovery closed it.
    Ended(Result<(), WatchError>),
}

/// Triggers for a watch: a request of the event loop, or a change of discovery's address.
struct WatchTriggers {
    address: watch::Receiver<SocketAddr>,
    requests: mpsc::Receiver<()>,
    /// Whether a watch was started before. The first one is always requested by the event loop.
    has_watched: bool,
    /// Whether the address has changed since the last watch was started.
    address_changed: bool,
    /// Whether the event loop has requested a watch that has not been started, or is about to request one. A
    /// second prompt to request a watch would result in two concurrent chains of watches.
    request_outstanding: bool,
}

impl WatchTriggers {
    /// Waits until a watch is to be started, and returns its address. Returns `None` if the event loop has
    /// ended.
    async fn next_address(&mut self) -> Option<SocketAddr> {
        if !self.address_changed {
            tokio::select! {
                request = self.requests.recv() => {
                    request?;
                    self.request_outstanding = false;
                }
                Ok(()) = self.address.changed(), if self.has_watched => self.address_changed = true,
            }
        }
        self.has_watched = true;
        // The address may also have changed before the first watch, or at the same time as the request.
        self.address_changed |= self.address.has_changed().unwrap_or(false);
        Some(*self.address.borrow_and_update())
    }

    /// Runs a watch until it ends or the address of discovery changes.
    async fn run_until_address_changes(
        &mut self,
        watch: impl Future<Output = Result<(), WatchError>>,
    ) -> WatchOutcome {
        tokio::select! {
            biased;
            Ok(()) = self.address.changed() => {
                self.address_changed = true;
                WatchOutcome::AddressChanged
            }
            ended = watch => WatchOutcome::Ended(ended),
        }
    }

    /// Returns whether the event loop must be prompted to request the next watch, and records the prompt.
    fn take_resubscribe(&mut self) -> bool {
        // Requests received during the watch were for the watch that has ended.
        while self.requests.try_recv().is_ok() {
            self.request_outstanding = false;
        }
        let resubscribe = !self.address_changed && !self.request_outstanding;
        self.request_outstanding |= resubscribe;
        resubscribe
    }
}

/// State that is shared by consecutive watches.
struct WatchFollower {
    event_loop: EventLoopHandle,
    /// Number of the current watch.
    watch_number: u64,
    /// Version of the endpoint list.
    list_version: u64,
    /// Time of the last complete object or heartbeat of any watch, initially the start of this driver.
    last_synced_at: Instant,
    /// Whether the current watch has received a complete object or a heartbeat.
    has_synced: bool,
}

impl WatchFollower {
    fn begin_watch(&mut self) {
        self.watch_number = self.event_loop.start_watch();
        self.has_synced = false;
    }

    async fn run_watch(&mut self, address: SocketAddr) -> Result<(), WatchError> {
        self.begin_watch();
        let mut deadline = Instant::now() + CALL_TIMEOUT;
        let opening = WatchConnection::open(address, self.list_version, deadline);
        let mut connection = timeout_at(deadline, opening).await.map_err(|_| timed_out())??;
        let mut codec = WatchCodec::default();
        let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        loop {
            // Only complete events extend the deadline. The read is polled before the deadline, so that a
            // process that resumes late from a stall still handles the bytes that it has received.
            let Ok(read_result) = timeout_at(deadline, connection.reader.read_buf(&mut buffer)).await else {
                return Err(self.deadline_error());
            };
            if read_result? == 0 {
                return Ok(());
            }
            while let Some(event) = codec.decode(&mut buffer)? {
                self.handle_watch_event(address, event).await?;
                deadline = self.last_synced_at + HEARTBEAT_TIMEOUT;
            }
        }
    }

    fn deadline_error(&self) -> WatchError {
        if self.has_synced { WatchError::Silent(self.last_synced_at.elapsed()) } else { timed_out().into() }
    }

    async fn handle_watch_event(&mut self, address: SocketAddr, event: WatchEvent) -> Result<(), WatchError> {
        let is_first = !std::mem::replace(&mut self.has_synced, true);
        if is_first {
            self.log_first_event(address, &event);
        }
        if let WatchEvent::List(update) = event {
            self.forward_update(update).await?;
        }
        self.last_synced_at = Instant::now();
        if is_first {
            self.event_loop.send(DriverEvent::WatchSynced { watch: self.watch_number }).await;
        }
        Ok(())
    }

    fn log_first_event(&self, address: SocketAddr, event: &WatchEvent) {
        let content = match event {
            WatchEvent::List(EndpointList { snapshot: true, .. }) => "complete list",
            WatchEvent::List(_) => "changes",
            WatchEvent::Heartbeat => "no changes",
        };
        info!("discovery: watching {address} after version {}: {content}", self.list_version);
    }

    async fn forward_update(&mut self, update: EndpointList) -> Result<(), WatchError> {
        let index = update.index;
        let applies = update.applies_to(self.list_version);
        // The version is set only after the update is sent, because this future may be dropped during the
        // send.
        self.event_loop.send(DriverEvent::ListUpdated { watch: self.watch_number, update }).await;
        let next_version = if applies { index } else { 0 };
        let previous_version = std::mem::replace(&mut self.list_version, next_version);
        if applies {
            return Ok(());
        }
        // The entries are correct, but earlier changes were missed, so the next watch must start with a
        // complete list.
        Err(WatchError::StaleChanges { list_version: previous_version, changes_version: index })
    }

    /// Logs the end of a watch, and classifies it for the event loop.
    fn finish_watch(&mut self, address: SocketAddr, outcome: &WatchOutcome) -> WatchEnd {
        let end = match outcome {
            WatchOutcome::Ended(Err(error)) => error.watch_end(self.has_synced),
            _ if self.has_synced => WatchEnd::Closed,
            _ => WatchEnd::Failed,
        };
        let reason = match outcome {
            WatchOutcome::AddressChanged => {
                // A new watch number invalidates updates of the old service that the event loop has not
                // handled yet.
                self.begin_watch();
                return end;
            }
            WatchOutcome::Ended(Ok(())) => "closed by discovery".to_owned(),
            WatchOutcome::Ended(Err(error)) => error.to_string(),
        };
        info!("discovery: watch of {address} after version {} ended: {reason}", self.list_version);
        end
    }
}

fn timed_out() -> io::Error {
    io::Error::from(io::ErrorKind::TimedOut)
}

/// Connection on which a watch was requested.
struct WatchConnection {
    reader: TcpReader,
    /// Write half, which is retained because dropping it would shut down the sending direction.
    _writer: TcpWriter,
}

impl WatchConnection {
    /// Connects to discovery, and requests the changes after version `after`.
    async fn open(address: SocketAddr, after: u64, deadline: Instant) -> io::Result<Self> {
        let stream = connect(address, deadline).await.map_err(ConnectFailure::into_io)?;
        stream.set_nodelay(true)?;
        let (reader, mut writer) = split_tcp(stream);
        writer.write_all(watch_request(&address.to_string(), after).as_bytes()).await?;
        Ok(Self { reader, _writer: writer })
    }
}
