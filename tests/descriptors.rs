//! Idle clients use all descriptors while discovery is unavailable. The daemon must reserve those that it
//! needs itself, or it could not reach discovery and its servers again.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::{MockBackend, chunk};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// The daemon's limit of open file descriptors, which is below the one in its settings.
const DESCRIPTORS: usize = 100;
/// Number of idle clients, which reconnect whenever their connection is closed.
const IDLE_CLIENTS: usize = 200;
/// Time limit for serving clients after discovery is available again. The daemon calls discovery at most 3 s
/// after a failed call.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Connects repeatedly as a client that sends no request.
async fn run_idle_client(daemon: std::net::SocketAddr) {
    loop {
        if let Ok(mut client) = TcpStream::connect(daemon).await {
            let _ = client.read(&mut [0; 64]).await;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Runs a mock discovery service that sends the list in answer to each call, and heartbeats after it.
async fn serve_list(listener: TcpListener, list: String) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let list = list.clone();
        tokio::spawn(async move {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let Ok(byte) = stream.read_u8().await else { return };
                head.push(byte);
            }
            let mut text = format!("{RESPONSE_HEAD}{}", chunk(&format!("{list}\n")));
            while stream.write_all(text.as_bytes()).await.is_ok() {
                text = chunk("\n");
                sleep(Duration::from_secs(1)).await;
            }
        });
    }
}

/// Writes a script that runs the daemon with a limit of open file descriptors, and returns its path.
fn write_limited_program(folder: &Path) -> PathBuf {
    let program = folder.join("limited");
    let ashtide = env!("CARGO_BIN_EXE_ashtide");
    std::fs::write(&program, format!("#!/bin/sh\nulimit -n {DESCRIPTORS}\nexec {ashtide} \"$@\"\n"))
        .expect("written");
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).expect("set");
    program
}

/// Connects clients until five have an established connection.
async fn connect_clients(daemon: &Daemon, recovered_at: Instant) -> Vec<LineClient> {
    let mut connections = Vec::new();
    let mut answers = Vec::new();
    while connections.len() < 5 && recovered_at.elapsed() < RECOVERY_TIMEOUT {
        if let Ok((client, answer)) = LineClient::open(daemon.lines, answers.len() as u64).await {
            if answer.starts_with("UP ") {
                connections.push(client);
            }
            answers.push(answer);
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(connections.len(), 5, "within {RECOVERY_TIMEOUT:?}: {answers:?}");
    connections
}

#[tokio::test]
async fn idle_clients_block_neither_discovery_nor_servers_nor_the_admin_endpoint() {
    let mut backend = MockBackend::start(2).await.expect("mock servers");
    let list = backend.endpoint_list().to_string();
    let unused_port = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    backend.discovery = unused_port.local_addr().expect("bound");
    drop(unused_port);
    let folder = std::env::temp_dir().join(format!("ashtide-descriptors-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let program = write_limited_program(&folder);
    let options = Options {
        known: Some(json!({"index": 0, "snapshot": true, "endpoints": []})),
        config: json!({"operator": "127.0.0.1:0"}),
        ..Options::default()
    };
    let mut daemon = Daemon::start(&program, &backend, &options).await.expect("a daemon");
    let idle_clients: Vec<_> =
        (0..IDLE_CLIENTS).map(|_| tokio::spawn(run_idle_client(daemon.lines))).collect();
    // Waits until the idle clients use the daemon's entire capacity.
    daemon.wait_for_log_line("discovery: ").await.expect("a failed call");
    sleep(Duration::from_millis(1500)).await;
    let health = timeout(RECOVERY_TIMEOUT, daemon.send_command("health"))
        .await
        .expect("an answer of the admin endpoint");
    assert!(health.expect("answered").contains("not ready"), "not ready without an endpoint list");

    let listener = TcpListener::bind(backend.discovery).await.expect("the same port");
    let recovered_at = Instant::now();
    let discovery = tokio::spawn(serve_list(listener, list));
    let mut connections = connect_clients(&daemon, recovered_at).await;
    assert!(daemon.send_command("health").await.expect("answered").contains("ready"));
    for client in &mut connections {
        assert!(
            client.receives_echo("still here").await.expect("an echo"),
            "established connections remain usable"
        );
    }
    assert!(daemon.is_running());
    idle_clients.iter().chain([&discovery]).for_each(tokio::task::JoinHandle::abort);
    let _ = std::fs::remove_dir_all(&folder);
}
