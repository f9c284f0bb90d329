//! Keeps a watch on discovery whenever the core asks for one.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use super::report::{Handle, Report};
use crate::discovery::{WatchCodec, WatchError, WatchEvent, watch_request};

/// A call that has not begun to answer by then has failed.
const CALL: Duration = Duration::from_millis(3500);
/// A watch says something every 2 s; one this quiet is cut off, whatever the socket says.
const QUIET: Duration = Duration::from_millis(4500);

/// Watches once for each `()` on `subscribe`, and says when a watch has ended. When discovery has
/// another address, the old watch is left at once and the new one begun, unasked: versions of
/// another service say nothing, so it is asked for all, and until it answers the last list stands.
pub async fn follow(
    mut address: watch::Receiver<SocketAddr>,
    mut after: u64,
    mut subscribe: mpsc::Receiver<()>,
    core: Handle,
) {
    let (mut begun, mut moved) = (false, false);
    let mut at = *address.borrow();
    loop {
        if !moved {
            tokio::select! {
                asked = subscribe.recv() => if asked.is_none() { return },
                // Nothing is watched unasked for the first time.
                Ok(()) = address.changed(), if begun => {}
            }
        }
        begun = true;
        let now = *address.borrow_and_update();
        if now != at {
            (at, after) = (now, 0);
        }
        let why = tokio::select! {
            ended = watch(at, &mut after, &core) => ended,
            Ok(()) = address.changed() => {
                moved = true;
                continue;
            }
        };
        moved = false;
        let why = why.map_or_else(|error| error.to_string(), |()| "ended".to_owned());
        eprintln!("discovery: {at}: watch after version {after}: {why}");
        // Whatever was asked meanwhile was asked of the watch that has ended.
        while subscribe.try_recv().is_ok() {}
        core.tell(Report::WatchEnded).await;
    }
}

async fn watch(address: SocketAddr, after: &mut u64, core: &Handle) -> Result<(), WatchError> {
    let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let connection = timeout(CALL, TcpStream::connect(address)).await.map_err(|_| late())??;
    let (read, mut write) = connection.into_split();
    write.write_all(watch_request(&address.to_string(), *after).as_bytes()).await?;
    let mut events = FramedRead::new(read, WatchCodec::default());
    let mut patience = CALL;
    loop {
        match timeout(patience, events.next()).await.map_err(|_| late())? {
            None => return Ok(()),
            Some(event) => {
                if let WatchEvent::News(news) = event? {
                    if patience == CALL {
                        let what = if news.snapshot { "whole list" } else { "changes" };
                        eprintln!("discovery: {address}: watching from version {}, {what}", news.index);
                    }
                    *after = news.index;
                    core.tell(Report::News(news)).await;
                }
            }
        }
        patience = QUIET;
    }
}
