//! The daemon after the end of its watch: validity of the endpoint list, list updates and file descriptors.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::{MockBackend, chunk};
use ashtide_testkit::within;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

use super::harness::{MockDiscovery, RESPONSE_HEAD, UNAVAILABLE_RESPONSE, WatchRequest, unused_address};

/// Opened clients, which remain connected until this value is dropped.
struct OpenedClients {
    clients: Vec<LineClient>,
    /// The number of clients that were rejected.
    rejected: usize,
}

/// A daemon and its servers, with the mock as its discovery service.
struct Deployment {
    backend: MockBackend,
    daemon: Daemon,
}

/// Returns the number of connections that a server has accepted.
fn accepted_connections(backend: &MockBackend, server: usize) -> u64 {
    backend.servers[server].counters.accepted.load(std::sync::atomic::Ordering::Relaxed)
}

/// Opens `count` clients one after the other.
async fn open_clients(daemon: &Daemon, count: u64) -> OpenedClients {
    let mut clients = Vec::new();
    let mut rejected = 0;
    for number in 0..count {
        let (client, answer) = LineClient::open(daemon.lines, number).await.expect("a response");
        assert!(answer.starts_with("BUSY") || answer.starts_with("UP"), "{answer}");
        rejected += usize::from(answer.starts_with("BUSY"));
        clients.push(client);
    }
    OpenedClients { clients, rejected }
}

async fn start_daemon(service: &MockDiscovery, servers: usize, options: Options) -> Deployment {
    let mut backend = MockBackend::start(servers).await.expect("started servers");
    backend.discovery = service.address;
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    let daemon = Daemon::start(program, &backend, &options).await.expect("a started daemon");
    Deployment { backend, daemon }
}

/// Answers no watch request with a list. With `resets`, resets each connection, every second one after a
/// response with status 503. Without it, leaves the connections open and sends nothing.
fn never_answer(service: MockDiscovery, resets: bool) {
    tokio::spawn(async move {
        let mut requests = VecDeque::new();
        loop {
            let Ok((mut stream, _)) = service.listener.accept().await else { return };
            if resets {
                let _ = stream.read(&mut [0; 512]).await;
                let response = if requests.len() % 2 == 0 { UNAVAILABLE_RESPONSE.as_bytes() } else { b"" };
                let _ = stream.write_all(response).await;
                stream.set_zero_linger().expect("an open socket");
                requests.push_back(None);
            } else {
                requests.push_back(Some(stream));
            }
        }
    });
}

/// Expects that clients are served 5 s after the last synchronisation, and rejected 6.5 s after it.
async fn expect_validity_of_six_seconds(daemon: &Daemon, synced_at: Instant) {
    sleep_until(synced_at + Duration::from_millis(5000)).await;
    let OpenedClients { clients: _placed_clients, rejected } = open_clients(daemon, 2).await;
    assert_eq!(rejected, 0, "the list is valid for 6 s");
    sleep_until(synced_at + Duration::from_millis(6500)).await;
    let OpenedClients { clients: _rejected_clients, rejected } = open_clients(daemon, 2).await;
    assert_eq!(rejected, 2, "the list has expired after 6 s");
    daemon
        .wait_for_log_line("discovery: endpoint list is older than 6 s")
        .await
        .expect("a log line on the expired list");
}

#[tokio::test]
async fn six_seconds_after_a_reset_nothing_is_placed_while_requests_fail() {
    let service = MockDiscovery::start().await;
    let Deployment { backend, daemon } = start_daemon(&service, 2, Options::default()).await;
    let mut watch = service.accept_request().await;
    watch.send_list(&backend.endpoint_list()).await;
    watch.send_heartbeat().await;
    let synced_at = Instant::now();
    daemon.wait_for_log_line("discovery: ").await.expect("the log line of the watch");
    watch.reset();
    never_answer(service, true);
    expect_validity_of_six_seconds(&daemon, synced_at).await;
}

#[tokio::test]
async fn six_seconds_after_its_start_a_process_without_an_answer_places_nothing() {
    let service = MockDiscovery::start().await;
    let Deployment { backend: _backend, daemon } = start_daemon(&service, 2, Options::default()).await;
    let start = Instant::now();
    never_answer(service, false);
    expect_validity_of_six_seconds(&daemon, start).await;
}

#[tokio::test]
async fn six_seconds_after_a_change_to_an_unresponsive_discovery_nothing_is_placed() {
    let old = MockDiscovery::start().await;
    let new = MockDiscovery::start().await;
    let Deployment { backend, mut daemon } = start_daemon(&old, 2, Options::default()).await;
    let mut watch = old.accept_request().await;
    watch.send_list(&backend.endpoint_list()).await;
    watch.send_heartbeat().await;
    let synced_at = Instant::now();
    daemon.wait_for_log_line("discovery: ").await.expect("the log line of the watch");
    daemon.reload("discovery", json!(new.address)).expect("a running daemon");
    watch.wait_until_closed().await;
    never_answer(new, false);
    expect_validity_of_six_seconds(&daemon, synced_at).await;
}

#[tokio::test]
async fn the_list_stays_valid_while_connections_to_discovery_are_refused() {
    let service = MockDiscovery::start().await;
    let Deployment { backend, mut daemon } = start_daemon(&service, 2, Options::default()).await;
    let mut watch = service.accept_request().await;
    watch.send_list(&backend.endpoint_list()).await;
    daemon.wait_for_log_line("discovery: ").await.expect("the log line of the watch");
    let unused = unused_address();
    daemon.reload("discovery", json!(unused.address)).expect("a running daemon");
    watch.wait_until_closed().await;
    let closed_at = Instant::now();
    sleep_until(closed_at + Duration::from_millis(7500)).await;
    let OpenedClients { clients: _placed_clients, rejected } = open_clients(&daemon, 4).await;
    assert_eq!(rejected, 0, "the last list remains valid");
}

/// Waits for the log line of a watch that starts after this version.
async fn expect_watch_line(daemon: &Daemon, address: SocketAddr, after_version: u64) {
    let line: &'static str =
        Box::leak(format!("discovery: watching {address} after version {after_version}:").into());
    daemon.wait_for_log_line(line).await.expect("the log line of the watch");
}

#[tokio::test]
async fn draining_removal_and_a_new_address_are_applied_after_resets() {
    let service = MockDiscovery::start().await;
    let deployment = start_daemon(&service, 3, Options::default()).await;
    let Deployment { backend, daemon } = &deployment;
    // The list has two servers. The third one replaces the first one later.
    let mut known = backend.endpoint_list();
    known["index"] = json!(5);
    known["endpoints"].as_array_mut().expect("entries").pop();
    let mut watch = service.accept_request().await;
    watch.send_list(&known).await;
    expect_watch_line(daemon, service.address, 1).await;
    let OpenedClients { clients: mut connections, rejected } = open_clients(daemon, 8).await;
    assert!(rejected == 0 && accepted_connections(backend, 0) > 0 && accepted_connections(backend, 1) > 0);
    // The next watch reports draining in an indented list.
    watch.reset();
    let mut watch = service.accept_request().await;
    assert_eq!(watch.after_version, 5);
    known["index"] = json!(6);
    known["endpoints"][0]["status"] = json!("DRAINING");
    watch.send_raw(&format!("{RESPONSE_HEAD}{}", chunk(&format!("{known:#}\n")))).await;
    expect_watch_line(daemon, service.address, 5).await;
    let accepted_before_drain = accepted_connections(backend, 0);
    let OpenedClients { clients, rejected } = open_clients(daemon, 8).await;
    connections.extend(clients);
    assert_eq!(
        (rejected, accepted_connections(backend, 0)),
        (0, accepted_before_drain),
        "all clients are placed on the server that is not draining"
    );
    let watch =
        remove_first_server(&service, &deployment, watch, &known, &mut connections, accepted_before_drain)
            .await;
    let _watch =
        return_at_new_address(&service, &deployment, watch, known, &mut connections, accepted_before_drain)
            .await;
    assert_eq!(
        accepted_connections(backend, 0),
        accepted_before_drain,
        "no client is placed on the old address"
    );
}

/// Resets the watch and answers the next one with a snapshot that lacks the first server.
async fn remove_first_server(
    service: &MockDiscovery,
    deployment: &Deployment,
    watch: WatchRequest,
    known: &Value,
    connections: &mut Vec<LineClient>,
    accepted_before_drain: u64,
) -> WatchRequest {
    let Deployment { backend, daemon } = deployment;
    watch.reset();
    let mut watch = service.accept_request().await;
    let mut without_server = known.clone();
    without_server["index"] = json!(7);
    without_server["endpoints"].as_array_mut().expect("entries").remove(0);
    watch.send_list(&without_server).await;
    expect_watch_line(daemon, service.address, 6).await;
    let OpenedClients { clients, rejected } = open_clients(daemon, 8).await;
    connections.extend(clients);
    assert_eq!((rejected, accepted_connections(backend, 0)), (0, accepted_before_drain));
    watch
}

/// Resets the watch and answers the next one with the first server at a new address, started 1 s ago.
async fn return_at_new_address(
    service: &MockDiscovery,
    deployment: &Deployment,
    watch: WatchRequest,
    mut known: Value,
    connections: &mut Vec<LineClient>,
    accepted_before_drain: u64,
) -> WatchRequest {
    let Deployment { backend, daemon } = deployment;
    watch.reset();
    let mut watch = service.accept_request().await;
    known["index"] = json!(8);
    known["endpoints"][0]["status"] = json!("SERVING");
    known["endpoints"][0]["address"] = json!(backend.servers[2].address);
    let since_epoch =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time after 1970");
    known["endpoints"][0]["since_ms"] = json!(since_epoch.as_millis() as u64 - 1_000);
    watch.send_list(&known).await;
    expect_watch_line(daemon, service.address, 7).await;
    let other_before = accepted_connections(backend, 1);
    let OpenedClients { clients, rejected } = open_clients(daemon, 8).await;
    connections.extend(clients);
    assert_eq!(
        (rejected, accepted_connections(backend, 0)),
        (0, accepted_before_drain),
        "no client is placed on the old address"
    );
    let at_new_address = accepted_connections(backend, 2);
    let at_other_server = accepted_connections(backend, 1) - other_before;
    assert!(
        at_new_address < at_other_server,
        "a warming server gets fewer clients: {at_new_address} at the new address, \
         {at_other_server} at the other server"
    );
    let used = async {
        while accepted_connections(backend, 2) == 0 {
            open_clients(daemon, 1).await;
            sleep(Duration::from_millis(50)).await;
        }
    };
    within("a client at the new address", used).await.expect("a client at the new address");
    watch
}

#[tokio::test]
async fn a_watch_request_has_a_descriptor_when_clients_use_all_others() {
    let service = MockDiscovery::start().await;
    let Deployment { backend, daemon } =
        start_daemon(&service, 2, Options { sockets: 100, ..Options::default() }).await;
    let mut watch = service.accept_request().await;
    watch.send_list(&backend.endpoint_list()).await;
    daemon.wait_for_log_line("discovery: ").await.expect("the log line of the watch");
    let id = daemon.process_id().expect("a running daemon");
    let limit = rustix::process::Rlimit { current: Some(100), maximum: Some(100) };
    let pid = rustix::process::Pid::from_raw(id.cast_signed());
    rustix::process::prlimit(pid, rustix::process::Resource::Nofile, limit)
        .expect("a changed descriptor limit");
    let mut idle_connections = Vec::new();
    for _ in 0..160 {
        idle_connections
            .push(within("a connection", TcpStream::connect(daemon.lines)).await.expect("connected in time"));
    }
    let open_descriptors = || std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
    let filled = async {
        while open_descriptors() < 70 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    within("descriptors in use", filled).await.expect("clients use descriptors");
    for round in 0..3 {
        watch.reset();
        watch = service.accept_request().await;
        watch.send_list(&backend.endpoint_list()).await;
        assert!(open_descriptors() <= 100, "round {round}");
    }
}
