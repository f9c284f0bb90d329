//! Behaviour of the daemon when its watch becomes silent, until discovery answers again.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::{MockBackend, chunk};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

/// Head of the response to an accepted watch request.
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNAVAILABLE_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Times at which watch requests were received; the silence begins at the first one.
type RequestTimes = Arc<Mutex<Vec<Instant>>>;

/// A mock discovery service whose first watch becomes silent.
struct MockDiscovery {
    address: SocketAddr,
    requests: RequestTimes,
}

/// Starts a mock discovery service. It answers the first request with `list` and one heartbeat and then sends
/// nothing more. It rejects other requests during the outage and answers them with `later_list` afterwards.
async fn start_discovery(list: Value, outage: Duration, later_list: String) -> MockDiscovery {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let requests = RequestTimes::default();
    let request_times = requests.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (is_first, since_first) = {
                let mut times = request_times.lock().expect("no panic");
                times.push(Instant::now());
                (times.len() == 1, times[0].elapsed())
            };
            let text = if is_first { format!("{list}\n") } else { later_list.clone() };
            tokio::spawn(answer(stream, text, !is_first && since_first < outage));
        }
    });
    MockDiscovery { address, requests }
}

/// Reads a request and rejects it with a 503, or sends `text` and one heartbeat and leaves the connection
/// open.
async fn answer(mut stream: TcpStream, text: String, rejected: bool) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else { return };
        head.push(byte);
    }
    if rejected {
        let _ = stream.write_all(UNAVAILABLE_RESPONSE).await;
        return;
    }
    let _ = stream.write_all(format!("{RESPONSE_HEAD}{}{}", chunk(&text), chunk("\n")).as_bytes()).await;
    sleep(Duration::from_secs(60)).await;
}

/// Clients that have sent their request; they disconnect on drop.
struct OpenedClients {
    clients: Vec<LineClient>,
    /// Number of rejected clients.
    rejected: usize,
}

/// Opens `count` clients one after the other.
async fn open_clients(daemon: &Daemon, count: u64) -> OpenedClients {
    let mut clients = Vec::new();
    let mut rejected = 0;
    for number in 0..count {
        let (client, answer) = LineClient::open(daemon.lines, number).await.expect("an answer");
        rejected += usize::from(answer.starts_with("BUSY"));
        assert!(answer.starts_with("BUSY") || answer.starts_with("UP"), "{answer}");
        clients.push(client);
    }
    OpenedClients { clients, rejected }
}

fn accepted_connections(backend: &MockBackend, server: usize) -> u64 {
    backend.servers[server].counters.accepted.load(std::sync::atomic::Ordering::Relaxed)
}

/// A daemon whose watch is silent, with its mock servers and the times of the watch requests.
struct Deployment {
    backend: MockBackend,
    daemon: Daemon,
    requests: RequestTimes,
    /// When the first watch request was received and the silence began.
    silence_start: Instant,
}

/// Starts a daemon whose watch becomes silent immediately while server 0 begins to drain. The first request
/// after the outage is answered with this change as an indented list.
async fn deploy_with_silent_watch(outage: Duration) -> Deployment {
    let mut backend = MockBackend::start(2).await.expect("mock servers");
    let initial_list = backend.endpoint_list();
    let mut later_list = initial_list.clone();
    later_list["index"] = json!(2);
    later_list["endpoints"][0]["status"] = json!("DRAINING");
    let MockDiscovery { address, requests } =
        start_discovery(initial_list, outage, format!("{later_list:#}\n")).await;
    backend.discovery = address;
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    let daemon = Daemon::start(program, &backend, &Options::default()).await.expect("a daemon");
    while requests.lock().expect("no panic").is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    let silence_start = requests.lock().expect("no panic")[0];
    Deployment { backend, daemon, requests, silence_start }
}

#[tokio::test]
async fn a_silent_watch_is_closed_and_an_indented_list_is_read_after_a_503() {
    let Deployment { backend, daemon, requests, silence_start } =
        deploy_with_silent_watch(Duration::from_millis(3600)).await;
    let OpenedClients { clients: _clients_during_silence, rejected } = open_clients(&daemon, 16).await;
    assert!(rejected == 0 && accepted_connections(&backend, 0) > 0, "both servers are in use");
    // The heartbeat at the start was the last message, so the list is valid for 6 s from then.
    sleep_until(silence_start + Duration::from_millis(6000)).await;
    let delays: Vec<Duration> =
        requests.lock().expect("no panic").iter().map(|&time| time - silence_start).collect();
    assert!(delays.len() >= 3, "requests are repeated after a 503: {delays:?}");
    assert!(delays[1] < Duration::from_millis(3500), "the first request after the silence: {delays:?}");
    let before = accepted_connections(&backend, 0);
    let OpenedClients { clients: _clients_after_update, rejected } = open_clients(&daemon, 16).await;
    assert_eq!(
        (rejected, accepted_connections(&backend, 0)),
        (0, before),
        "all clients are connected to the server that is not draining"
    );
}

#[tokio::test]
async fn nothing_is_placed_after_the_list_has_expired() {
    let Deployment { backend, daemon, requests: _requests, silence_start } =
        deploy_with_silent_watch(Duration::from_millis(9000)).await;
    let OpenedClients { clients, .. } = open_clients(&daemon, 8).await;
    sleep_until(silence_start + Duration::from_millis(6600)).await;
    let before = (accepted_connections(&backend, 0), accepted_connections(&backend, 1));
    let OpenedClients { clients: _rejected_clients, rejected } = open_clients(&daemon, 1).await;
    assert_eq!(
        (rejected, (accepted_connections(&backend, 0), accepted_connections(&backend, 1))),
        (1, before),
        "rejected, not placed"
    );
    daemon
        .wait_for_log_line("discovery: endpoint list is older than 6 s")
        .await
        .expect("a log line for operators");
    // Established connections are served in the meantime.
    for mut client in clients.into_iter().take(2) {
        assert!(client.receives_echo("still here").await.expect("an echo"));
    }
    sleep_until(silence_start + Duration::from_millis(11000)).await;
    let OpenedClients { clients: _clients_after_update, rejected } = open_clients(&daemon, 4).await;
    assert_eq!(
        (rejected, accepted_connections(&backend, 0)),
        (0, before.0),
        "clients are accepted again, and the draining server gets none"
    );
}
