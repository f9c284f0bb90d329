//! Handover between two processes of one gateway during an upgrade. Mock processes take the place of siblings
//! that exit, hang or do not answer at a given moment.

mod mock_deployment;

use std::os::unix::net::UnixDatagram;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

use ashtide::handover::{PendingBytes, ProcessState, SiblingMessage};
use ashtide::net::connection_handoff::{HandoffReceiver, ReceivedConnection};
use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::within;
use futures_util::future::select_all;
use mock_deployment::{Attempt, MockDeployment, endpoint_list};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::time::Instant;

/// Minimum time between SIGTERM and SIGKILL, for the class deadline of 3 s that the daemons are configured
/// with.
const MIN_KILL_DELAY: Duration = Duration::from_millis(3700);

/// Rank of the mock successor. It is higher than the ranks of all daemons.
const SUCCESSOR_RANK: u64 = u64::MAX / 2;

/// Mock successor that reports itself ready and receives handed off connections.
struct MockSuccessor {
    _link: UnixStream,
    handoff_receiver: HandoffReceiver,
    handoff_path: PathBuf,
}

/// Returns the sockets at which processes accept links from their siblings.
fn sibling_sockets(deployment: &MockDeployment) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(&deployment.folder).expect("readable state folder").flatten();
    let paths = entries.map(|entry| entry.path());
    paths.filter(|path| path.extension().is_some_and(|extension| extension == "sock")).collect()
}

impl MockSuccessor {
    /// Links to the daemon and waits until the daemon has logged that its successor accepts clients.
    async fn start(deployment: &MockDeployment, daemon: &Daemon) -> Self {
        let handoff_path = deployment.folder.join(format!("ashtide.shared.{SUCCESSOR_RANK}.inbox"));
        let handoff_receiver = HandoffReceiver::bind(&handoff_path).expect("bound handoff socket");
        let mut link =
            UnixStream::connect(&sibling_sockets(deployment)[0]).await.expect("link to the daemon");
        let state = ProcessState {
            rank: SUCCESSOR_RANK,
            ready: true,
            adopts_connections: true,
            ..ProcessState::default()
        };
        link.write_all(&SiblingMessage::State(state).encode_line()).await.expect("sent state");
        daemon
            .wait_for_log_line("handover: the successor accepts clients")
            .await
            .expect("log line of the daemon");
        Self { _link: link, handoff_receiver, handoff_path }
    }
}

/// Starts a daemon and establishes `count` connections through it.
async fn start_with_connections(
    deployment: &MockDeployment,
    count: usize,
) -> (Daemon, Options, Vec<(LineClient, Attempt)>) {
    let (shared, gateway_address) = deployment.shared();
    let options = Options { shared: Some(shared), ..deployment.options(&json!({})) };
    let daemon = deployment.start(&options).await;
    let mut connections = Vec::new();
    for _ in 0..count {
        connections.push(deployment.established_client(gateway_address).await);
    }
    (daemon, options, connections)
}

/// Asserts that all clients are sent `MOVE`, and that the daemon exits successfully before SIGKILL would be
/// sent. Returns the daemon's log lines.
async fn assert_all_moved(
    daemon: Daemon,
    connections: Vec<(LineClient, Attempt)>,
    terminated_at: Instant,
) -> Vec<String> {
    for (mut client, _server) in connections {
        assert!(client.receives_move().await.expect("end of the connection"), "closed without MOVE");
    }
    let (status, log_lines) = daemon.wait_for_exit().await.expect("exit of the daemon");
    let elapsed = terminated_at.elapsed();
    assert!(status.success() && elapsed < MIN_KILL_DELAY, "{status} after {elapsed:?}");
    log_lines
}

#[tokio::test]
async fn clients_are_moved_if_the_successor_exits_before_the_handoff() {
    let deployment = MockDeployment::new(2).await;
    let (daemon, _options, connections) = start_with_connections(&deployment, 6).await;
    let successor = MockSuccessor::start(&deployment, &daemon).await;
    // The link stays open, so the daemon starts the handoff. The file of the handoff socket still exists, but
    // no process receives from it.
    drop(successor.handoff_receiver);
    assert!(successor.handoff_path.exists());
    let terminated_at = Instant::now();
    daemon.terminate().expect("running daemon");
    let log_lines = assert_all_moved(daemon, connections, terminated_at).await;
    let handoff_line = "handover: passes 6 connections to its successor";
    assert!(log_lines.iter().any(|line| line == handoff_line), "{log_lines:?}");
}

#[tokio::test]
async fn clients_are_moved_in_time_if_the_handoff_queue_is_full() {
    let deployment = MockDeployment::new(2).await;
    let (daemon, _options, connections) = start_with_connections(&deployment, 6).await;
    let successor = MockSuccessor::start(&deployment, &daemon).await;
    // The send buffer of one sender is limited, too. The receiver's queue is full when a new sender cannot
    // send its first datagram.
    let mut fillers = Vec::new();
    loop {
        let filler = UnixDatagram::unbound().expect("datagram socket");
        filler.set_nonblocking(true).expect("non-blocking socket");
        filler.connect(&successor.handoff_path).expect("connected handoff socket");
        let sent_count = std::iter::repeat_with(|| filler.send(b"x")).take_while(Result::is_ok).count();
        fillers.push(filler);
        if sent_count == 0 {
            break;
        }
        assert!(fillers.len() < 100, "the queue is not full after {} senders", fillers.len());
    }
    let terminated_at = Instant::now();
    daemon.terminate().expect("running daemon");
    let mut move_delays = Vec::new();
    for (mut client, server) in connections {
        assert!(client.receives_move().await.expect("end of the connection"), "closed without MOVE");
        move_delays.push(terminated_at.elapsed());
        drop(server);
    }
    // The daemon waits 0.8 s for space in the queue. The remaining time allows for a slow machine.
    assert!(move_delays.iter().all(|&delay| delay < Duration::from_millis(2500)), "{move_delays:?}");
    assert_all_moved(daemon, Vec::new(), terminated_at).await;
}

#[tokio::test]
async fn a_handoff_includes_the_bytes_that_were_read_ahead() {
    let deployment = MockDeployment::new(1).await;
    let (shared, gateway_address) = deployment.shared();
    let daemon = deployment.start(&Options { shared: Some(shared), ..deployment.options(&json!({})) }).await;
    // Both sides send more than their first line at once, and end in the middle of a line.
    let mut client = TcpStream::connect(gateway_address).await.expect("connected client");
    client.write_all(b"OPEN 1 2 c=meter,d=3000,g=1\r\nearly\r\nhal").await.expect("sent request");
    let mut server = deployment.next_attempt().await;
    server.stream.write_all(b"UP r\r\nfirst\r\nsec").await.expect("sent answer");
    // Complete lines are forwarded before the handoff.
    let mut received = [0; 13];
    within("the answer", client.read_exact(&mut received)).await.expect("in time").expect("read");
    assert_eq!(&received, b"UP r\r\nfirst\r\n");
    let mut received = [0; 7];
    within("the early line", server.stream.read_exact(&mut received)).await.expect("in time").expect("read");
    assert_eq!(&received, b"early\r\n");
    let successor = MockSuccessor::start(&deployment, &daemon).await;
    daemon.terminate().expect("running daemon");
    let handed_off = within("the connection", successor.handoff_receiver.receive()).await.expect("in time");
    let ReceivedConnection { connection, client: client_socket, server: server_socket } =
        handed_off.expect("valid handoff");
    let (status, _) = daemon.wait_for_exit().await.expect("exit of the daemon");
    assert!(status.success(), "{status}");
    // In both directions, the pending bytes of the handoff and the bytes sent later continue the forwarded
    // lines.
    let to_stream = |descriptor| {
        let stream = std::net::TcpStream::from(descriptor);
        stream.set_nonblocking(true).expect("non-blocking socket");
        TcpStream::from_std(stream).expect("socket of the runtime")
    };
    let directions = [
        (to_stream(client_socket), &connection.to_client, &mut client, &b"sec"[..]),
        (to_stream(server_socket), &connection.to_server, &mut server.stream, &b"hal"[..]),
    ];
    for (mut handed_off, pending, remote, line_start) in directions {
        let PendingBytes { line_remainder, read_ahead } = pending;
        for part in [&line_remainder[..], &read_ahead[..], b"ond\r\n"] {
            handed_off.write_all(part).await.expect("open connection");
        }
        let mut received = vec![0; line_start.len() + 5];
        within("the rest", remote.read_exact(&mut received)).await.expect("in time").expect("read");
        assert_eq!(received, [line_start, b"ond\r\n"].concat(), "{line_remainder:?} {read_ahead:?}");
    }
    assert_eq!(
        (&connection.server[..], &connection.open_line[..]),
        ("s-0", &b"OPEN 1 2 c=meter,d=3000,g=1\r\n"[..])
    );
}

#[tokio::test]
async fn an_endpoint_list_of_a_sibling_takes_effect() {
    let deployment = MockDeployment::new(2).await;
    let addresses = deployment.addresses();
    let list_message = |index, first_status, second_status| {
        let list = endpoint_list(index, &[(addresses[0], first_status), (addresses[1], second_status)]);
        SiblingMessage::List(serde_json::from_value(list).expect("endpoint list")).encode_line()
    };
    let older_process =
        UnixListener::bind(deployment.folder.join("ashtide.shared.1.sock")).expect("bound sibling socket");
    let state_message = || {
        SiblingMessage::State(ProcessState { rank: 1, ready: true, ..ProcessState::default() }).encode_line()
    };
    let first_messages = [list_message(5, "SERVING", "DRAINING"), state_message()].concat();
    let accepted_link = tokio::spawn(async move {
        let (mut link, _) = older_process.accept().await.expect("link of the daemon");
        link.write_all(&first_messages).await.expect("sent messages");
        link
    });
    // Discovery is unreachable, so the daemon has only its configured list and the lists of the older
    // process.
    let (shared, gateway_address) = deployment.shared();
    let options = deployment.options(&json!({"discovery": "127.0.0.1:1"}));
    let daemon = deployment.start(&Options { shared: Some(shared), ..options }).await;
    let mut link = accepted_link.await.expect("link of the daemon");
    let mut connections = Vec::new();
    for _ in 0..8 {
        let (client, attempt) = deployment.established_client(gateway_address).await;
        assert_eq!(attempt.server, 0, "the first list has s-1 as draining");
        connections.push((client, attempt));
    }
    link.write_all(&list_message(6, "DRAINING", "SERVING")).await.expect("sent list");
    let next_lines = connections.iter_mut().map(|(client, _)| Box::pin(client.next()));
    let (line, ..) = within("a MOVE", select_all(next_lines)).await.expect("in time");
    assert_eq!(line.expect("a line").as_deref(), Some("MOVE"));
    assert_eq!(
        deployment.established_client(gateway_address).await.1.server,
        1,
        "the second list has s-0 as draining"
    );
    drop(daemon);
}

#[tokio::test]
async fn a_cordon_at_one_process_takes_effect_at_its_sibling() {
    let deployment = MockDeployment::new(3).await;
    let (first, options, _connections) = start_with_connections(&deployment, 1).await;
    let second = deployment.start(&options).await;
    first
        .wait_for_log_line("handover: the successor accepts clients")
        .await
        .expect("log line of the first process");
    assert!(first.send_command("cordon s-0").await.expect("response").starts_with("200"));
    second.wait_for_log_line("operator: s-0 is out").await.expect("log line of the second process");
    assert!(second.send_command("cordon s-1").await.expect("response").starts_with("200"));
    first.wait_for_log_line("operator: s-1 is out").await.expect("log line of the first process");
    assert!(second.send_command("uncordon s-0").await.expect("response").starts_with("200"));
    first.wait_for_log_line("operator: s-0 is back").await.expect("log line of the first process");
}

#[tokio::test]
async fn all_clients_are_moved_if_both_processes_are_terminated_at_once() {
    let deployment = MockDeployment::new(2).await;
    let (first, options, mut connections) = start_with_connections(&deployment, 8).await;
    let second = deployment.start(&options).await;
    first
        .wait_for_log_line("handover: the successor accepts clients")
        .await
        .expect("log line of the first process");
    let listener = &options.shared.as_ref().expect("shared listener").listener;
    let gateway_address = listener.local_addr().expect("bound listener");
    for _ in 0..4 {
        connections.push(deployment.established_client(gateway_address).await);
    }
    let terminated_at = Instant::now();
    first.terminate().expect("running daemon");
    second.terminate().expect("running daemon");
    assert_all_moved(first, connections, terminated_at).await;
    assert_all_moved(second, Vec::new(), terminated_at).await;
    assert!(sibling_sockets(&deployment).is_empty(), "{:?}", sibling_sockets(&deployment));
}

#[tokio::test]
async fn a_stalled_older_process_delays_no_start_and_hands_off_after_it_resumes() {
    let deployment = MockDeployment::new(2).await;
    let (first, options, connections) = start_with_connections(&deployment, 4).await;
    let listener = &options.shared.as_ref().expect("shared listener").listener;
    let gateway_address = listener.local_addr().expect("bound listener");
    first.set_suspended(true).expect("running daemon");
    // Three more siblings do not answer. The daemon has to wait for all of them concurrently.
    let mut silent_siblings = Vec::new();
    for rank in 1..=3 {
        let path = deployment.folder.join(format!("ashtide.shared.{rank}.sock"));
        silent_siblings.push(UnixListener::bind(path).expect("bound sibling socket"));
    }
    let start_time = Instant::now();
    let second = deployment.start(&options).await;
    let start_duration = start_time.elapsed();
    assert!(
        start_duration < Duration::from_millis(1900),
        "start took {start_duration:?}: the daemon waited for its siblings one after the other"
    );
    assert_eq!(
        second
            .log_lines()
            .iter()
            .filter(|line| line.ends_with("handover: the previous process has sent no state in time"))
            .count(),
        4
    );
    let _new_connection = deployment.established_client(gateway_address).await;
    first.set_suspended(false).expect("running daemon");
    first
        .wait_for_log_line("handover: the successor accepts clients")
        .await
        .expect("log line of the first process");
    first.terminate().expect("running daemon");
    let (status, _) = first.wait_for_exit().await.expect("exit of the daemon");
    assert!(status.success(), "{status}");
    for (mut client, mut server) in connections {
        client.send_line("still").await.expect("open connection");
        let mut line = [0; 7];
        within("its line", server.stream.read_exact(&mut line)).await.expect("in time").expect("a line");
        assert_eq!(&line, b"still\r\n");
    }
    drop(second);
}

#[tokio::test]
async fn a_daemon_that_waits_for_a_silent_sibling_stops_in_time() {
    let deployment = MockDeployment::new(1).await;
    let silent_sibling =
        UnixListener::bind(deployment.folder.join("ashtide.n0.1.sock")).expect("bound sibling socket");
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
                        "settings": {"classes": [{"name": "meter", "deadline": 3.0}]}});
    let config_path = deployment.folder.join("config.json");
    std::fs::write(&config_path, config.to_string()).expect("written configuration");
    let mut daemon = tokio::process::Command::from(Command::new(env!("CARGO_BIN_EXE_ashtide")))
        .env("ROUTER_CONFIG", &config_path)
        .env("TMPDIR", &deployment.folder)
        .env_remove("ROUTER_OPERATOR")
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("started daemon");
    let (_link, _) =
        within("a link", silent_sibling.accept()).await.expect("in time").expect("accepted link");
    let terminated_at = Instant::now();
    let process_id =
        daemon.id().and_then(|id| rustix::process::Pid::from_raw(id as i32)).expect("running daemon");
    rustix::process::kill_process(process_id, rustix::process::Signal::TERM).expect("running daemon");
    let status = within("its end", daemon.wait()).await.expect("in time").expect("exit status");
    let elapsed = terminated_at.elapsed();
    assert!(status.success() && elapsed < MIN_KILL_DELAY, "{status} after {elapsed:?}");
}

#[tokio::test]
async fn a_state_message_without_a_deployment_is_accepted_as_of_an_older_version() {
    let deployment = MockDeployment::new(2).await;
    let (daemon, _options, _connections) = start_with_connections(&deployment, 1).await;
    let mut link = UnixStream::connect(&sibling_sockets(&deployment)[0]).await.expect("link to the daemon");
    let message = r#"{"state":{"started":7,"ready":true,"cordons":{"s-0":{"at":9,"out":true}}}}"#;
    link.write_all(format!("{message}\n").as_bytes()).await.expect("sent message");
    daemon.wait_for_log_line("operator: s-0 is out").await.expect("log line of the daemon");
}
