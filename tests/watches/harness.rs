//! A mock discovery service that the test controls, and the values that all tests of watches share.

use std::net::SocketAddr;
use std::time::Duration;

use ashtide::*;
use ashtide_testkit::mock_backend::chunk;
use ashtide_testkit::within;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep};

/// The head of a successful watch response.
pub const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The response to a watch request that fails with status 503.
pub const UNAVAILABLE_RESPONSE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// A watch request that the mock has received. The test decides on the response and its time.
pub struct WatchRequest {
    pub stream: TcpStream,
    /// The list version that the watch starts after.
    pub after_version: u64,
    pub received_at: Instant,
}

impl WatchRequest {
    pub async fn send_raw(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("an open watch connection");
    }

    /// Answers with a list as one line of JSON.
    pub async fn send_list(&mut self, list: &Value) {
        self.send_raw(&format!("{RESPONSE_HEAD}{}", chunk(&format!("{list}\n")))).await;
    }

    pub async fn send_heartbeat(&mut self) {
        self.send_raw(&chunk("\n")).await;
    }

    /// Sends one byte per interval until the client closes the connection; returns the time of the close.
    pub async fn send_bytes_until_closed(mut self, interval: Duration) -> Instant {
        loop {
            let mut buffer = [0; 1];
            tokio::select! {
                // The read is polled first, so that a closed connection is detected also when the send buffer
                // is full.
                biased;
                _ = self.stream.read(&mut buffer) => return Instant::now(),
                () = sleep(interval) => { let _ = self.stream.write_all(b" ").await; }
            }
        }
    }

    /// Waits until the client has closed the connection.
    pub async fn wait_until_closed(&mut self) {
        let mut buffer = [0; 1];
        let read = within("the end of a watch", self.stream.read(&mut buffer)).await.expect("closed in time");
        assert!(
            matches!(read, Ok(0) | Err(_)),
            "expected the client to close the watch, found further data: {read:?}"
        );
    }

    pub fn reset(self) {
        self.stream.set_zero_linger().expect("an open socket");
    }
}

/// A discovery service that responds only when the test sends a response.
pub struct MockDiscovery {
    pub address: SocketAddr,
    pub listener: TcpListener,
}

impl MockDiscovery {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        Self { address: listener.local_addr().expect("an address"), listener }
    }

    pub async fn accept_request(&self) -> WatchRequest {
        let (mut stream, _) = within("a connection", self.listener.accept())
            .await
            .expect("connected in time")
            .expect("a connection");
        let received_at = Instant::now();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(within("a request", stream.read_u8()).await.expect("sent in time").expect("a byte"));
        }
        let text = String::from_utf8(head).expect("UTF-8");
        let after_version =
            text.split_once("after=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        WatchRequest { stream, after_version: after_version.expect("a version after `after=`"), received_at }
    }

    /// Checks whether a connection waits to be accepted.
    pub fn has_pending_request(&self) -> bool {
        futures_util::FutureExt::now_or_never(self.listener.accept()).is_some()
    }
}

/// An address without a listener, which is reserved until this value is dropped.
pub struct UnusedAddress {
    pub address: SocketAddr,
    _socket: TcpSocket,
}

/// Reserves an address without a listener.
pub fn unused_address() -> UnusedAddress {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = socket.local_addr().expect("an address");
    UnusedAddress { address, _socket: socket }
}

/// Returns a list message with serving endpoints of these names.
pub fn list_json(index: u64, snapshot: bool, names: &[&str]) -> Value {
    let entry = |name| json!({"name": name, "address": "127.0.0.1:1", "status": "SERVING"});
    let entries: Vec<Value> = names.iter().map(entry).collect();
    json!({"index": index, "snapshot": snapshot, "endpoints": entries})
}

/// Returns the time this many seconds after the epoch.
pub fn time_at(seconds: f64) -> Time {
    Time::from_micros((seconds * 1e6) as i64)
}

/// Returns settings with one idempotent class and discovery on request.
pub fn settings() -> Settings {
    let class = RequestClass {
        latency_objective: Span::from_micros(400_000),
        message_latency_objective: Span::from_micros(50_000),
        priority_weight: 1.0,
        idempotency: ashtide::Idempotency::Idempotent,
    };
    Settings { classes: vec![class], discovery: DiscoveryMode::OnRequest, ..Settings::for_zone(ZoneId(0)) }
}
