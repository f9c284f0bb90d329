//! A watch that stops sending, and the daemon until discovery answers again.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::fleet::{Fleet, chunk};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNAVAILABLE_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// When each watch request was received; the silence begins with the first.
type RequestTimes = Arc<Mutex<Vec<Instant>>>;

/// A discovery service whose first watch falls silent.
struct StubDiscovery {
    address: SocketAddr,
    requests: RequestTimes,
}

/// Sends `list` and one heartbeat to the first request, then nothing more; rejects others during the outage, and sends
/// them `later_list` afterwards.
async fn start_discovery(list: Value, outage: Duration, later_list: String) -> StubDiscovery {
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
    StubDiscovery { address, requests }
}

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

/// Opened clients, which stay connected while this lives.
struct ClientRun {
    clients: Vec<LineClient>,
    rejected: usize,
}

/// Opens this many clients one after the other.
async fn open_clients(daemon: &Daemon, count: u64) -> ClientRun {
    let mut clients = Vec::new();
    let mut rejected = 0;
    for number in 0..count {
        let (client, answer) = LineClient::open(daemon.lines, number).await.expect("an answer");
        rejected += usize::from(answer.starts_with("BUSY"));
        assert!(answer.starts_with("BUSY") || answer.starts_with("UP"), "{answer}");
        clients.push(client);
    }
    ClientRun { clients, rejected }
}

fn accepted_connections(fleet: &Fleet, server: usize) -> u64 {
    fleet.servers[server].seen.taken.load(std::sync::atomic::Ordering::Relaxed)
}

/// A daemon whose watch is silent, with its servers and the watch requests.
struct Deployment {
    fleet: Fleet,
    daemon: Daemon,
    requests: RequestTimes,
    start: Instant,
}

/// Starts a daemon whose watch falls silent at once while server 0 drains. The first request that is answered after
/// the outage gets that change as an indented list.
async fn start_with_silent_watch(outage: Duration) -> Deployment {
    let mut fleet = Fleet::start(2).await.expect("a fleet");
    let known = fleet.known();
    let mut drained = known.clone();
    drained["index"] = json!(2);
    drained["endpoints"][0]["status"] = json!("DRAINING");
    let StubDiscovery { address, requests } = start_discovery(known, outage, format!("{drained:#}\n")).await;
    fleet.discovery = address;
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    let daemon = Daemon::start(program, &fleet, &Options::default()).await.expect("a daemon");
    while requests.lock().expect("no panic").is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    let start = requests.lock().expect("no panic")[0];
    Deployment { fleet, daemon, requests, start }
}

#[tokio::test]
async fn a_silent_watch_is_closed_and_an_indented_list_is_read_after_a_503() {
    let Deployment { fleet, daemon, requests, start } =
        start_with_silent_watch(Duration::from_millis(3600)).await;
    let ClientRun { clients: _before, rejected } = open_clients(&daemon, 16).await;
    assert!(rejected == 0 && accepted_connections(&fleet, 0) > 0, "both servers are in use");
    // The heartbeat at the start was the last message: the list is valid for 6 s from there.
    sleep_until(start + Duration::from_millis(6000)).await;
    let delays: Vec<Duration> = requests.lock().expect("no panic").iter().map(|&time| time - start).collect();
    assert!(delays.len() >= 3, "a 503 is not the end: {delays:?}");
    assert!(delays[1] < Duration::from_millis(3500), "the first request after the silence: {delays:?}");
    let before = accepted_connections(&fleet, 0);
    let ClientRun { clients: _after, rejected } = open_clients(&daemon, 16).await;
    assert_eq!(
        (rejected, accepted_connections(&fleet, 0)),
        (0, before),
        "all go to the server that is not drained"
    );
}

#[tokio::test]
async fn nothing_is_placed_after_the_list_has_expired() {
    let Deployment { fleet, daemon, requests: _requests, start } =
        start_with_silent_watch(Duration::from_millis(9000)).await;
    let ClientRun { clients, .. } = open_clients(&daemon, 8).await;
    sleep_until(start + Duration::from_millis(6600)).await;
    let before = (accepted_connections(&fleet, 0), accepted_connections(&fleet, 1));
    let ClientRun { clients: _rejected_clients, rejected } = open_clients(&daemon, 1).await;
    assert_eq!(
        (rejected, (accepted_connections(&fleet, 0), accepted_connections(&fleet, 1))),
        (1, before),
        "refused, not placed"
    );
    daemon.says("discovery: endpoint list is older than 6 s").await.expect("a line for those on call");
    // Open connections are served meanwhile.
    for mut client in clients.into_iter().take(2) {
        assert!(client.echoes("still here").await.expect("an echo"));
    }
    sleep_until(start + Duration::from_millis(11000)).await;
    let ClientRun { clients: _after, rejected } = open_clients(&daemon, 4).await;
    assert_eq!(
        (rejected, accepted_connections(&fleet, 0)),
        (0, before.0),
        "served again, and not by the drained server"
    );
}
