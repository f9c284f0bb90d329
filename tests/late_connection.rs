//! A connection to a server that is established late, after its server was reported as draining: the daemon
//! must apply the list updates received meanwhile before it writes to the connection.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::{MockBackend, chunk};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Time limit for each step of the test.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a connection that is not established shows that the accept queue is full. It is also the
/// interval of heartbeats and the time for the daemon to act on an event.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A mock discovery service that serves one watch.
struct MockDiscovery {
    address: SocketAddr,
    /// Triggers sending the second list.
    send_update: oneshot::Sender<()>,
}

/// Starts a discovery service that sends the first list to its watch, heartbeats, and the second list when
/// triggered.
async fn start_discovery(first_list: Value, second_list: Value) -> MockDiscovery {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (send_update, update_requested) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a watch");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("a call"));
        }
        let first = format!("{RESPONSE_HEAD}{}", chunk(&format!("{first_list}\n")));
        stream.write_all(first.as_bytes()).await.expect("sent");
        tokio::pin!(update_requested);
        loop {
            let text = match timeout(CONNECT_TIMEOUT, &mut update_requested).await {
                Ok(_) => break,
                Err(_) => chunk("\n"),
            };
            stream.write_all(text.as_bytes()).await.expect("sent");
        }
        let mut text = chunk(&format!("{second_list}\n"));
        while stream.write_all(text.as_bytes()).await.is_ok() {
            text = chunk("\n");
            tokio::time::sleep(CONNECT_TIMEOUT).await;
        }
    });
    MockDiscovery { address, send_update }
}

/// A listener with a full accept queue. Further connections are established only after the queue is emptied.
struct FullListener {
    listener: TcpListener,
    /// The connections that fill the queue.
    fillers: Vec<TcpStream>,
}

async fn listen_with_full_queue() -> FullListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("bound");
    let mut fillers = Vec::new();
    while let Ok(Ok(filler)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        fillers.push(filler);
    }
    FullListener { listener, fillers }
}

/// An endpoint entry of the list.
struct ListedServer<'a> {
    name: &'a str,
    address: SocketAddr,
    status: &'a str,
}

fn list_json(index: u64, servers: &[ListedServer<'_>]) -> Value {
    let entry = |server: &ListedServer<'_>| {
        json!({"name": server.name, "address": server.address, "zone": "here", "type": "one", "group": 0,
               "status": server.status, "weight": 1.0, "since_ms": 0})
    };
    let entries: Vec<Value> = servers.iter().map(entry).collect();
    json!({"index": index, "snapshot": true, "endpoints": entries})
}

/// Connects clients until the other server accepts one, which shows that the daemon has applied the second
/// list.
async fn expect_placement(daemon: &Daemon) {
    let mut placed = false;
    for number in 10..200 {
        let (_, answer) = LineClient::open(daemon.lines, number).await.expect("answered");
        placed |= answer.starts_with("UP ");
        if placed {
            break;
        }
    }
    assert!(placed, "the other server accepts new clients");
}

/// Empties the accept queue, and accepts the connection that is established afterwards.
async fn accept_after_fillers(listener: &TcpListener, fillers: Vec<TcpStream>) -> TcpStream {
    for _ in &fillers {
        drop(timeout(STEP_TIMEOUT, listener.accept()).await.expect("a queued connection").expect("accepted"));
    }
    drop(fillers);
    let (connection, _) =
        timeout(STEP_TIMEOUT, listener.accept()).await.expect("the late connection").expect("accepted");
    connection
}

/// Returns settings with a class that is not idempotent and a short grace period for draining servers.
fn config() -> Value {
    json!({"settings": {
        "limits": {"connectTimeout": 5.0},
        "classes": [{"name": "meter", "aim": 2.0, "deadline": 8.0, "effect": "side_effect", "worth": 1.0}],
        "rules": {"stopSendingWithin": 0.2},
    }})
}

#[tokio::test]
async fn a_connection_established_after_its_server_was_drained_carries_no_byte() {
    let mut backend = MockBackend::start(1).await.expect("mock servers");
    let FullListener { listener: late_listener, fillers } = listen_with_full_queue().await;
    let late_address = late_listener.local_addr().expect("bound");
    let other_address = backend.servers[0].address;
    let list = |index, late_status, other_status| {
        let late = ListedServer { name: "late", address: late_address, status: late_status };
        let other = ListedServer { name: "other", address: other_address, status: other_status };
        list_json(index, &[late, other])
    };
    // At first only the late server is serving, then only the other one.
    let first_list = list(1, "SERVING", "DRAINING");
    let second_list = list(2, "DRAINING", "SERVING");
    let discovery = start_discovery(first_list.clone(), second_list).await;
    backend.discovery = discovery.address;
    let options = Options { known: Some(first_list), config: config(), ..Options::default() };
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    let daemon = Daemon::start(program, &backend, &options).await.expect("a daemon");
    daemon.wait_for_log_line("discovery: ").await.expect("a watch");

    let mut client = LineClient::connect(daemon.lines).await.expect("accepted");
    client.send_line("OPEN 0000000000000001 01 c=meter,d=8000,g=1").await.expect("sent");
    tokio::time::sleep(CONNECT_TIMEOUT).await;
    discovery.send_update.send(()).expect("a watch");
    tokio::time::sleep(CONNECT_TIMEOUT).await;
    expect_placement(&daemon).await;
    // The queue is emptied after the grace period. The kernel's next retransmission then establishes the
    // connection of the first attempt.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut connection = accept_after_fillers(&late_listener, fillers).await;
    let mut bytes = Vec::new();
    let _ = timeout(STEP_TIMEOUT, connection.read_to_end(&mut bytes)).await.expect("an end");
    assert_eq!(String::from_utf8_lossy(&bytes), "", "sent to a draining server after the grace period");
    // The request was not sent, so the other server may serve it although it is not idempotent.
    let answer = client.next().await.expect("an answer");
    assert!(answer.as_deref().is_some_and(|line| line.starts_with("UP ")), "{answer:?}");
}
