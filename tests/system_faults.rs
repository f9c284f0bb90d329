//! System call failures that Linux documents, injected into the daemon. Failures on the daemon's own host
//! must not count against a client or a server.

mod mock_deployment;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::MockBackend;
use ashtide_testkit::system_faults::{Preload, SystemFaults};
use ashtide_testkit::within;
use futures_util::future::join_all;
use mock_deployment::MockDeployment;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Number of clients in one test run. They connect one after the other, and their waits add up to one or two
/// seconds.
const CLIENTS: u64 = 60;
/// Smallest number of injected faults for a test run to be conclusive.
const MIN_FAULTS: u64 = 10;
/// Interval at which the daemon updates its gauges, plus a margin.
const METRICS_UPDATE_INTERVAL: Duration = Duration::from_millis(300);
/// One hour, in milliseconds.
const HOUR_MS: i64 = 3_600_000;

/// Starts a daemon for the servers of `backend` with these faults injected into its system calls.
async fn start_daemon(backend: &MockBackend, faults: SystemFaults, options: Options) -> (Daemon, Preload) {
    let preload = faults.preload().expect("building the fault injection library");
    let mut options = options;
    options.environment.extend(preload.environment.iter().cloned());
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    (Daemon::start(program, backend, &options).await.expect("starting the daemon"), preload)
}

/// Returns options with an admin endpoint.
fn options_with_admin_endpoint() -> Options {
    Options { config: json!({"operator": "127.0.0.1:0"}), ..Options::default() }
}

/// Requests the daemon's metrics and returns one of them.
async fn read_metric(daemon: &Daemon, name: &str) -> u64 {
    let text = daemon.send_command("counters").await.expect("an answer to counters");
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or_else(|| panic!("no metric {name} in {text}"))
}

/// Opens `clients` connections one after the other. Returns the established clients, and the answers or
/// errors of the others.
async fn open_clients(daemon: SocketAddr, clients: u64) -> (Vec<LineClient>, Vec<String>) {
    let mut established = Vec::new();
    let mut failures = Vec::new();
    for number in 0..clients {
        match LineClient::open(daemon, number).await {
            Ok((client, answer)) if answer.starts_with("UP ") => established.push(client),
            Ok((_, answer)) => failures.push(answer),
            Err(error) => failures.push(error.to_string()),
        }
    }
    (established, failures)
}

/// Checks whether a connection receives no answer and is not closed until a point in time.
async fn stays_open(client: &mut TcpStream, until: Instant) -> bool {
    let wait = until.saturating_duration_since(Instant::now());
    timeout(wait, client.read_u8()).await.is_err()
}

#[tokio::test]
async fn temporary_accept_failures_evict_no_idle_client() {
    let backend = MockBackend::start(2).await.expect("starting the servers");
    let faults = SystemFaults { accept: 2, ..SystemFaults::default() };
    let (daemon, preload) = start_daemon(&backend, faults, Options::default()).await;
    let mut idle_clients = Vec::new();
    for _ in 0..24 {
        idle_clients.push(TcpStream::connect(daemon.lines).await.expect("connecting an idle client"));
    }
    let until = Instant::now() + Duration::from_millis(1500);
    let (established, failures) = open_clients(daemon.lines, CLIENTS).await;
    assert!(established.len() as u64 == CLIENTS, "clients not established: {failures:?}");
    let open = join_all(idle_clients.iter_mut().map(|client| stays_open(client, until))).await;
    let evicted = open.iter().filter(|stays_open| !**stays_open).count();
    assert_eq!(evicted, 0, "evicted clients of {} idle ones", open.len());
    let counts = preload.counts().expect("counts of the injected faults");
    assert!(counts.accept >= MIN_FAULTS, "{counts:?}");
}

#[tokio::test]
async fn accept_failures_while_a_process_exits_drop_no_waiting_client() {
    let backend = MockBackend::start(1).await.expect("starting the servers");
    let faults = SystemFaults { accept: 2, ..SystemFaults::default() };
    let (daemon, preload) = start_daemon(&backend, faults, Options::default()).await;
    // In the last part of its shutdown the process does not accept clients. All of them wait in the accept
    // queue.
    daemon.terminate().expect("terminating the running daemon");
    sleep(Duration::from_millis(500)).await;
    let mut clients = Vec::new();
    for id in 0.. {
        let Ok(mut client) = LineClient::connect(daemon.lines).await else { break };
        clients.push(tokio::spawn(async move {
            // The process may exit before it has accepted this connection.
            let _ = client.send_line(&format!("OPEN {id:016x} {id:016x} c=meter,d=3000,g={id:x}")).await;
            let answer = client.next().await.ok().flatten();
            answer.is_some_and(|answer| answer.starts_with("BUSY") || answer.starts_with("UP "))
        }));
        sleep(Duration::from_millis(1)).await;
    }
    let answered = join_all(clients).await;
    let dropped = answered.iter().filter(|answered| !matches!(answered, Ok(true))).count();
    let counts = preload.counts().expect("counts of the injected faults");
    assert!(
        answered.len() > 40 && dropped <= 3,
        "{dropped} of {} clients closed without an answer, {counts:?}",
        answered.len()
    );
    assert!(counts.accept >= MIN_FAULTS, "{counts:?}");
}

#[tokio::test]
async fn local_connect_failures_do_not_count_against_servers() {
    for faults in
        [SystemFaults { connect: 3, ..Default::default() }, SystemFaults { socket: 3, ..Default::default() }]
    {
        let backend = MockBackend::start(3).await.expect("starting the servers");
        let (daemon, preload) = start_daemon(&backend, faults, options_with_admin_endpoint()).await;
        let mut avoided = 0;
        for round in 0..6 {
            let (established, failures) = open_clients(daemon.lines, CLIENTS / 6).await;
            assert!(
                established.len() as u64 == CLIENTS / 6,
                "clients not established in round {round}: {failures:?}"
            );
            sleep(METRICS_UPDATE_INTERVAL).await;
            avoided = avoided.max(read_metric(&daemon, "router_skipped_reading_servers").await);
        }
        assert_eq!(avoided, 0, "avoided servers although all are healthy, {faults:?}");
        assert_eq!(read_metric(&daemon, "router_upstream_tries_total{category=\"meter\"}").await, CLIENTS);
        let counts = preload.counts().expect("counts of the injected faults");
        assert!(counts.connect + counts.socket >= MIN_FAULTS, "{counts:?}");
    }
}

#[tokio::test]
async fn short_reads_and_writes_and_interrupted_waits_lose_no_bytes() {
    let deployment = MockDeployment::new(1).await;
    let faults = SystemFaults { short: 2, interrupt: 3, ..SystemFaults::default() };
    let preload = faults.preload().expect("building the fault injection library");
    let mut options = deployment.options(&json!({}));
    options.environment.extend(preload.environment.iter().cloned());
    let daemon = deployment.start(&options).await;
    for length in [1, 2, 300, 3000] {
        let (mut client, mut attempt) = deployment.established_client(daemon.lines).await;
        let line = "x".repeat(length);
        client.send_line(&line).await.expect("sending a line to the server");
        let mut received = vec![0; length + 2];
        within("the line", attempt.stream.read_exact(&mut received))
            .await
            .expect("the line in time")
            .expect("the complete line");
        assert_eq!(received, format!("{line}\r\n").as_bytes());
        let lines = format!("{line}\r\nand {line}\r\n");
        attempt.stream.write_all(lines.as_bytes()).await.expect("sending lines to the client");
        assert_eq!(client.next().await.expect("the first line in time").as_deref(), Some(&*line));
        assert_eq!(client.next().await.expect("the second line in time"), Some(format!("and {line}")));
    }
    // The endpoint list and operators' calls are subject to the same faults.
    daemon.wait_for_log_line("discovery: ").await.expect("the daemon opens a watch");
    assert!(daemon.send_command("health").await.expect("an answer to health").starts_with("200"));
    let counts = preload.counts().expect("counts of the injected faults");
    assert!(counts.short >= MIN_FAULTS && counts.interrupt >= MIN_FAULTS, "{counts:?}");
}

#[tokio::test]
async fn handoff_and_cordons_do_not_depend_on_the_wall_clock() {
    for clock_step_ms in [-HOUR_MS, HOUR_MS] {
        let deployment = MockDeployment::new(2).await;
        let (shared, at) = deployment.shared();
        let options = Options { shared: Some(shared), ..deployment.options(&json!({})) };
        let first = deployment.start(&options).await;
        let mut clients = Vec::new();
        for _ in 0..4 {
            clients.push(deployment.established_client(at).await);
        }
        let preload = SystemFaults { clock_step_ms, ..Default::default() }
            .preload()
            .expect("building the fault injection library");
        let mut options = options;
        options.environment.extend(preload.environment.iter().cloned());
        let second = deployment.start(&options).await;
        first
            .wait_for_log_line("handover: the successor accepts clients")
            .await
            .expect("the predecessor reports its successor");
        // Both processes apply a call that either of them receives, and the later call overrides the earlier
        // one.
        for (process, call, log_line) in [
            (&first, "cordon s-0", "operator: s-0 is out"),
            (&second, "uncordon s-0", "operator: s-0 is back"),
            (&first, "cordon s-1", "operator: s-1 is out"),
            (&second, "uncordon s-1", "operator: s-1 is back"),
        ] {
            assert!(
                process.send_command(call).await.expect("an answer to the call").starts_with("200"),
                "{call}"
            );
            first.wait_for_log_line(log_line).await.expect("the predecessor applies the call");
            second.wait_for_log_line(log_line).await.expect("the successor applies the call");
        }
        first.terminate().expect("terminating the predecessor");
        let (status, log) = first.wait_for_exit().await.expect("the predecessor exits");
        assert!(status.success(), "{status}");
        assert!(log.iter().any(|line| line == "handover: passes 4 connections to its successor"), "{log:?}");
        for (client, server) in &mut clients {
            client.send_line("still there").await.expect("the connection is still established");
            let mut received = [0; 13];
            within("a line", server.stream.read_exact(&mut received))
                .await
                .expect("the line in time")
                .expect("the connection is still established");
        }
        assert!(preload.counts().expect("counts of the injected faults").clock > 0);
    }
}

/// Adds a server and returns the number of connections that it receives of those opened right afterwards. The
/// daemon's wall clock is `clock_step_ms` ahead.
async fn connections_to_a_new_server(clock_step_ms: i64) -> u64 {
    let mut backend = MockBackend::start(2).await.expect("starting the servers");
    let faults = SystemFaults { clock_step_ms, ..SystemFaults::default() };
    let (daemon, _preload) = start_daemon(&backend, faults, Options::default()).await;
    daemon.wait_for_log_line("discovery: ").await.expect("the daemon opens a watch");
    let (_established, failures) = open_clients(daemon.lines, CLIENTS).await;
    assert!(failures.is_empty(), "clients not established: {failures:?}");
    let started_at = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    let new_server = backend.add("here", started_at.as_millis() as u64).await.expect("starting a server");
    // The daemon receives the list update within 50 ms.
    sleep(Duration::from_millis(50)).await;
    let (_established, _failures) = open_clients(daemon.lines, CLIENTS).await;
    backend.servers[new_server].counters.accepted.load(Ordering::Relaxed)
}

#[tokio::test]
async fn slow_start_does_not_depend_on_the_wall_clock() {
    let [correct, ahead, behind] = [
        connections_to_a_new_server(0).await,
        connections_to_a_new_server(HOUR_MS).await,
        connections_to_a_new_server(-HOUR_MS).await,
    ];
    println!(
        "connections to the new server: {correct} with a correct clock, {ahead} with one that is ahead, \
         {behind} with one that is behind"
    );
    // With these settings two seconds of warming up change the number of connections by at most two.
    assert!(
        ahead <= correct + 2,
        "{ahead} of {CLIENTS} connections with a clock that is ahead, {correct} with a correct one"
    );
    assert!(
        behind <= correct + 2,
        "{behind} of {CLIENTS} connections with a clock that is behind, {correct} with a correct one"
    );
}

#[tokio::test]
async fn cordons_persist_across_a_kill_after_temporary_disk_failures() {
    let deployment = MockDeployment::new(3).await;
    let (shared, at) = deployment.shared();
    let options = Options { shared: Some(shared), ..deployment.options(&json!({})) };
    // A write of a state file has four disk operations, so that about every second write fails.
    let faults = SystemFaults { disk: 5, ..SystemFaults::default() };
    let preload = faults.preload().expect("building the fault injection library");
    let mut failing = options.clone();
    failing.environment.extend(preload.environment.iter().cloned());
    let mut first = deployment.start(&failing).await;
    // The established client ensures that the daemon has started, which also writes a state file.
    let _client = deployment.established_client(at).await;
    assert!(
        first.send_command("cordon s-1").await.expect("an answer to cordon").starts_with("200"),
        "the first write must succeed"
    );
    // Send calls until the result of one cannot be persisted. That call is the last one.
    let mut last_call = None;
    for call in ["cordon s-0", "cordon s-2", "uncordon s-2", "uncordon s-0"].into_iter().cycle().take(20) {
        if first.send_command(call).await.expect("an answer to the call").contains("not kept") {
            last_call = Some(call);
            break;
        }
    }
    let last_call = last_call.unwrap_or_else(|| panic!("no call met a disk failure: {:?}", preload.counts()));
    // The daemon persists the accepted call as soon as a write succeeds.
    sleep(Duration::from_millis(1_500)).await;
    first.kill().await.expect("killing the running daemon");
    let second = deployment.start(&options).await;
    second.wait_for_log_line("operator: s-1 is out").await.expect("the cordon of s-1 was persisted");
    // The daemon reads its persisted state before it opens the watch.
    second.wait_for_log_line("discovery: ").await.expect("the daemon opens a watch");
    let (call, server) = last_call.split_once(' ').expect("a call and its server");
    let cordoned = second.log_lines().iter().any(|line| *line == format!("operator: {server} is out"));
    assert_eq!(cordoned, call == "cordon", "after {last_call}: {:?}", second.log_lines());
    assert!(
        second.log_lines().iter().all(|line| !line.contains("starting without it")),
        "{:?}",
        second.log_lines()
    );
    let files =
        std::fs::read_dir(&deployment.folder).expect("the state folder").flatten().map(|entry| entry.path());
    let staged: Vec<_> =
        files.filter(|path| path.extension().is_some_and(|extension| extension == "next")).collect();
    assert!(staged.is_empty(), "staged files were not removed: {staged:?}");
}
