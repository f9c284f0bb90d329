//! Probes: one `PING` on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use ashtide_stream::split_tcp;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use ashtide_protocol::{LineCodec, PONG};

/// Probes once; whether the server answered properly within `limit`.
pub async fn check_health(address: SocketAddr, limit: Duration) -> bool {
    let exchange = async {
        let (read, mut write) = split_tcp(TcpStream::connect(address).await.ok()?);
        write.write_all(b"PING\r\n").await.ok()?;
        FramedRead::new(read, LineCodec::default()).next().await?.ok()
    };
    matches!(timeout(limit, exchange).await, Ok(Some(line)) if line == PONG)
}
