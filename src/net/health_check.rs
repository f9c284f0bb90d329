//! Health checks: one `PING` on a separate connection.

use std::net::SocketAddr;
use std::time::Duration;

use ashtide_stream::split_tcp;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use ashtide_protocol::{LineCodec, PONG};

const PING: &[u8] = b"PING\r\n";

/// Checks a server once. Returns whether it answered with `PONG` within `time_limit`, including the time to
/// connect.
pub async fn check_health(address: SocketAddr, time_limit: Duration) -> bool {
    let exchange = async {
        let (reader, mut writer) = split_tcp(TcpStream::connect(address).await.ok()?);
        writer.write_all(PING).await.ok()?;
        FramedRead::new(reader, LineCodec::default()).next().await?.ok()
    };
    matches!(timeout(time_limit, exchange).await, Ok(Some(line)) if line == PONG)
}
