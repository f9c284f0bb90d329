//! Mock servers that pass each attempt to the test, a mock discovery service, and a state folder for daemons.

// Each test file uses a part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options, Shared, merge_json};
use ashtide_testkit::mock_backend::{MockBackend, chunk};
use ashtide_testkit::within;
use futures_util::FutureExt;
use futures_util::future::select_all;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Interval of the empty lines that the discovery service sends on an idle watch.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Mock servers, mock discovery service and state folder of a test.
pub struct MockDeployment {
    /// Folder to which the daemons write.
    pub folder: PathBuf,
    servers: Vec<TcpListener>,
    discovery: SocketAddr,
    /// Endpoint list of the discovery service.
    known: Value,
    backend: MockBackend,
    _tasks: JoinSet<()>,
}

/// Attempt at a server, with its request line read and no answer sent.
pub struct Attempt {
    /// Index of the server.
    pub server: usize,
    /// Request line, without its line end.
    pub line: String,
    /// Connection to the gateway.
    pub stream: TcpStream,
}

impl Attempt {
    /// Sends one line to the gateway.
    pub async fn send_line(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\r\n").as_bytes()).await.expect("an open connection");
    }
}

async fn read_line(stream: &mut TcpStream) -> String {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        line.push(stream.read_u8().await.expect("a complete line"));
    }
    String::from_utf8(line).expect("UTF-8 text").trim_end().to_owned()
}

async fn serve_discovery(listener: TcpListener, list: String) {
    let mut watches = JoinSet::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        let list = list.clone();
        watches.spawn(async move {
            while !read_line(&mut stream).await.is_empty() {}
            let mut text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&list));
            while stream.write_all(text.as_bytes()).await.is_ok() {
                tokio::time::sleep(KEEPALIVE_INTERVAL).await;
                text = chunk("\n");
            }
        });
    }
}

/// Returns an endpoint list with this index and the servers `s-0`, `s-1`, ... with these addresses and
/// statuses.
pub fn endpoint_list(index: u64, servers: &[(SocketAddr, &str)]) -> Value {
    let entry = |(number, (address, status)): (usize, &(SocketAddr, &str))| {
        json!({"name": format!("s-{number}"), "address": address, "zone": "here", "type": "one", "group": 0,
               "status": status, "weight": 1.0, "since_ms": 0})
    };
    let endpoints: Vec<Value> = servers.iter().enumerate().map(entry).collect();
    json!({"index": index, "snapshot": true, "endpoints": endpoints})
}

impl MockDeployment {
    /// Creates a deployment with this number of servers, all of them serving.
    pub async fn new(servers: usize) -> Self {
        static CREATED: AtomicU32 = AtomicU32::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("ashtide-site-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut listeners = Vec::new();
        for _ in 0..servers {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
        }
        let addresses: Vec<_> =
            listeners.iter().map(|server| (server.local_addr().expect("bound"), "SERVING")).collect();
        let known = endpoint_list(1, &addresses);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let discovery = listener.local_addr().expect("bound");
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_discovery(listener, format!("{known}\n")));
        let backend = MockBackend::start(0).await.expect("mock servers");
        Self { folder, servers: listeners, discovery, known, backend, _tasks: tasks }
    }

    /// Returns the addresses of the servers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|server| server.local_addr().expect("bound")).collect()
    }

    /// Returns the options of a daemon with an admin endpoint and the servers and folder of this deployment.
    /// `config` is merged over its configuration.
    pub fn options(&self, config: &Value) -> Options {
        let mut merged = json!({"operator": "127.0.0.1:0", "discovery": self.discovery});
        merge_json(config, &mut merged);
        Options {
            known: Some(self.known.clone()),
            config: merged,
            environment: vec![("TMPDIR".to_owned(), self.folder.to_str().expect("a UTF-8 path").to_owned())],
            ..Options::default()
        }
    }

    /// Returns the listener and folder for the processes of one gateway, and the listener's address.
    pub fn shared(&self) -> (Shared, SocketAddr) {
        let listener = Arc::new(std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
        let address = listener.local_addr().expect("bound");
        (Shared { listener, folder: self.folder.clone() }, address)
    }

    /// Starts a daemon with these options.
    pub async fn start(&self, options: &Options) -> Daemon {
        let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
        Daemon::start(program, &self.backend, options).await.expect("a daemon")
    }

    /// Waits for the next attempt at any server.
    pub async fn next_attempt(&self) -> Attempt {
        let accepts = self.servers.iter().map(|server| server.accept().boxed());
        let (accepted, server, _) = within("an attempt", select_all(accepts)).await.expect("in time");
        let mut stream = accepted.expect("an accepted connection").0;
        let line = within("a request line", read_line(&mut stream)).await.expect("in time");
        Attempt { server, line, stream }
    }

    /// Connects a client to `address` and sends a request of this class with a wait of `wait_ms`. Returns the
    /// client and its attempt.
    pub async fn requesting_client(
        &self,
        address: SocketAddr,
        class: &str,
        wait_ms: u32,
    ) -> (LineClient, Attempt) {
        let client = request_connection(address, class, wait_ms).await;
        (client, self.next_attempt().await)
    }

    /// Connects a client to `address` and establishes its connection. Returns the client and the attempt with
    /// the server's side of the connection.
    pub async fn established_client(&self, address: SocketAddr) -> (LineClient, Attempt) {
        let (mut client, mut attempt) = self.requesting_client(address, "meter", 30_000).await;
        attempt.send_line("UP r").await;
        assert_eq!(client.next().await.expect("an answer").as_deref(), Some("UP r"));
        (client, attempt)
    }
}

impl Drop for MockDeployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Connects a client to `address` and sends a request of this class with a wait of `wait_ms`.
pub async fn request_connection(address: SocketAddr, class: &str, wait_ms: u32) -> LineClient {
    static NEXT_ID: AtomicU32 = AtomicU32::new(1);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let mut client = LineClient::connect(address).await.expect("an accepted connection");
    client
        .send_line(&format!("OPEN {id:016x} {id:016x} c={class},d={wait_ms},g={id:x}"))
        .await
        .expect("an open connection");
    client
}
