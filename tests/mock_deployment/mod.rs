//! Stand-in servers whose every attempt a test holds in its hand, and a folder for what daemons keep.

// Each file of tests uses its own part.
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

/// Discovery's empty line.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Servers, discovery and a folder.
pub struct MockDeployment {
    /// What daemons may write to.
    pub folder: PathBuf,
    servers: Vec<TcpListener>,
    discovery: SocketAddr,
    known: Value,
    backend: MockBackend,
    _tasks: JoinSet<()>,
}

/// An attempt as its server has it: the line has been read and nothing answered.
pub struct Attempt {
    /// Which server.
    pub server: usize,
    /// Its line.
    pub line: String,
    /// The connection.
    pub stream: TcpStream,
}

impl Attempt {
    /// Says this.
    pub async fn send_line(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\r\n").as_bytes()).await.expect("heard");
    }
}

async fn line_of(stream: &mut TcpStream) -> String {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        line.push(stream.read_u8().await.expect("a whole line"));
    }
    String::from_utf8(line).expect("text").trim_end().to_owned()
}

async fn discover(listener: TcpListener, list: String) {
    let mut watches = JoinSet::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        let list = list.clone();
        watches.spawn(async move {
            while !line_of(&mut stream).await.is_empty() {}
            let mut text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&list));
            while stream.write_all(text.as_bytes()).await.is_ok() {
                tokio::time::sleep(KEEPALIVE_INTERVAL).await;
                text = chunk("\n");
            }
        });
    }
}

/// The list as discovery tells it: these servers `s-0`, `s-1`, ... in these states.
pub fn endpoint_list(index: u64, servers: &[(SocketAddr, &str)]) -> Value {
    let entry = |(number, (address, status)): (usize, &(SocketAddr, &str))| {
        json!({"name": format!("s-{number}"), "address": address, "zone": "here", "type": "one", "group": 0,
               "status": status, "weight": 1.0, "since_ms": 0})
    };
    let endpoints: Vec<Value> = servers.iter().enumerate().map(entry).collect();
    json!({"index": index, "snapshot": true, "endpoints": endpoints})
}

impl MockDeployment {
    /// So many servers.
    pub async fn new(servers: usize) -> Self {
        static SITES: AtomicU32 = AtomicU32::new(0);
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("ashtide-site-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut all = Vec::new();
        for _ in 0..servers {
            all.push(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
        }
        let each: Vec<_> = all.iter().map(|it| (it.local_addr().expect("bound"), "SERVING")).collect();
        let known = endpoint_list(1, &each);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let discovery = listener.local_addr().expect("bound");
        let mut tasks = JoinSet::new();
        tasks.spawn(discover(listener, format!("{known}\n")));
        let backend = MockBackend::start(0).await.expect("mock servers");
        Self { folder, servers: all, discovery, known, backend, _tasks: tasks }
    }

    /// Where the servers are.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|it| it.local_addr().expect("bound")).collect()
    }

    /// A daemon's options: a door, this site's servers and folder, and `config` over it all.
    pub fn options(&self, config: &Value) -> Options {
        let mut all = json!({"operator": "127.0.0.1:0", "discovery": self.discovery});
        merge_json(config, &mut all);
        Options {
            known: Some(self.known.clone()),
            config: all,
            environment: vec![("TMPDIR".to_owned(), self.folder.to_str().expect("plain").to_owned())],
            ..Options::default()
        }
    }

    /// What the processes of one balancer share here, and where its clients come.
    pub fn shared(&self) -> (Shared, SocketAddr) {
        let listener = Arc::new(std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
        let at = listener.local_addr().expect("bound");
        (Shared { listener, folder: self.folder.clone() }, at)
    }

    /// Starts a daemon with these options.
    pub async fn start(&self, options: &Options) -> Daemon {
        let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
        Daemon::start(program, &self.backend, options).await.expect("a daemon")
    }

    /// The next attempt at any server.
    pub async fn next_attempt(&self) -> Attempt {
        let accepts = self.servers.iter().map(|it| it.accept().boxed());
        let (accepted, server, _) = within("an attempt", select_all(accepts)).await.expect("in time");
        let mut stream = accepted.expect("there").0;
        let line = within("its line", line_of(&mut stream)).await.expect("in time");
        Attempt { server, line, stream }
    }

    /// A client of this class that has asked and waits for so many milliseconds, and its attempt.
    pub async fn requesting_client(&self, at: SocketAddr, class: &str, wait: u32) -> (LineClient, Attempt) {
        let client = request_connection(at, class, wait).await;
        (client, self.next_attempt().await)
    }

    /// A client whose connection stands, and its server's end.
    pub async fn established_client(&self, at: SocketAddr) -> (LineClient, Attempt) {
        let (mut client, mut attempt) = self.requesting_client(at, "meter", 30_000).await;
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

/// A client of this class that has asked and waits for so many milliseconds.
pub async fn request_connection(at: SocketAddr, class: &str, wait: u32) -> LineClient {
    static ASKED: AtomicU32 = AtomicU32::new(1);
    let id = ASKED.fetch_add(1, Ordering::Relaxed);
    let mut client = LineClient::connect(at).await.expect("taken");
    client.send_line(&format!("OPEN {id:016x} {id:016x} c={class},d={wait},g={id:x}")).await.expect("heard");
    client
}
