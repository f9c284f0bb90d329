//! Idle clients fill the descriptors while discovery is down: all that the daemon needs for itself is kept free.

use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::fleet::{Fleet, chunk};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// What the system lets the daemon have; it is told of more.
const DESCRIPTORS: usize = 100;
/// Idle clients that come again as soon as they are let go.
const CROWD: usize = 200;
/// From the return of discovery on, a client is served within this time: a call is made every 3 s at least.
const SERVED: Duration = Duration::from_secs(8);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A client that never asks.
async fn idle(daemon: std::net::SocketAddr) {
    loop {
        if let Ok(mut client) = TcpStream::connect(daemon).await {
            let _ = client.read(&mut [0; 64]).await;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Discovery at last: tells the list to all that call.
async fn answer(listener: TcpListener, list: String) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let list = list.clone();
        tokio::spawn(async move {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let Ok(byte) = stream.read_u8().await else { return };
                head.push(byte);
            }
            let mut text = format!("{HEAD}{}", chunk(&format!("{list}\n")));
            while stream.write_all(text.as_bytes()).await.is_ok() {
                text = chunk("\n");
                sleep(Duration::from_secs(1)).await;
            }
        });
    }
}

#[tokio::test]
async fn idle_clients_keep_nobody_from_discovery_from_servers_or_from_the_door() {
    let mut fleet = Fleet::start(2).await.expect("a fleet");
    let list = fleet.known().to_string();
    let down = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    fleet.discovery = down.local_addr().expect("bound");
    drop(down);
    let folder = std::env::temp_dir().join(format!("ashtide-descriptors-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let program = folder.join("limited");
    let ashtide = env!("CARGO_BIN_EXE_ashtide");
    std::fs::write(&program, format!("#!/bin/sh\nulimit -n {DESCRIPTORS}\nexec {ashtide} \"$@\"\n"))
        .expect("written");
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).expect("set");
    let options = Options {
        known: Some(json!({"index": 0, "snapshot": true, "endpoints": []})),
        config: json!({"operator": "127.0.0.1:0"}),
        ..Options::default()
    };
    let mut daemon = Daemon::start(Path::new(&program), &fleet, &options).await.expect("a daemon");
    let crowd: Vec<_> = (0..CROWD).map(|_| tokio::spawn(idle(daemon.lines))).collect();
    // Until they are all that the daemon has room for.
    daemon.says("discovery: ").await.expect("a call that failed");
    sleep(Duration::from_millis(1500)).await;
    let not_yet = timeout(SERVED, daemon.call("health")).await.expect("an answer at the door");
    assert!(not_yet.expect("answered").contains("not ready"), "it has no list");

    let back = TcpListener::bind(fleet.discovery).await.expect("the same port");
    let asked = Instant::now();
    let discovery = tokio::spawn(answer(back, list));
    let (mut standing, mut said) = (Vec::new(), Vec::new());
    while standing.len() < 5 && asked.elapsed() < SERVED {
        if let Ok((client, answer)) = LineClient::open(daemon.lines, said.len() as u64).await {
            if answer.starts_with("UP ") {
                standing.push(client);
            }
            said.push(answer);
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(standing.len(), 5, "within {SERVED:?}: {said:?}");
    assert!(daemon.call("health").await.expect("answered").contains("ready"));
    for client in &mut standing {
        assert!(client.echoes("still here").await.expect("an echo"), "whoever comes");
    }
    assert!(daemon.runs());
    crowd.iter().chain([&discovery]).for_each(tokio::task::JoinHandle::abort);
    let _ = std::fs::remove_dir_all(&folder);
}
