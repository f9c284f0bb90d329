//! Keeps a watch on discovery whenever the core asks for one.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use super::core::{Handle, Report};
use crate::discovery::{WatchCodec, WatchError, WatchEvent, watch_request};

/// A call that has not begun to answer by then has failed.
const CALL: Duration = Duration::from_millis(3500);
/// A watch says something every 2 s; one this quiet is cut off, whatever the socket says.
const QUIET: Duration = Duration::from_millis(4500);

/// Watches once for each `()` on `subscribe`; says when a watch has ended.
pub async fn follow(address: SocketAddr, mut after: u64, mut subscribe: mpsc::Receiver<()>, core: Handle) {
    while subscribe.recv().await.is_some() {
        let why = match watch(address, &mut after, &core).await {
            Ok(()) => "ended".to_owned(),
            Err(error) => error.to_string(),
        };
        eprintln!("discovery: watch after version {after}: {why}");
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
                    *after = news.index;
                    core.tell(Report::News(news)).await;
                }
            }
        }
        patience = QUIET;
    }
}
