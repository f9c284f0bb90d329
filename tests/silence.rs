//! A watch that falls silent, and what the daemon does until discovery answers again.

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

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const BUSY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// When each call came; the silence begins with the first.
type Calls = Arc<Mutex<Vec<Instant>>>;

/// Tells `list` and one beat to the first caller, then nothing more; refuses others until `back`, and tells
/// them `then` afterwards.
async fn discovery(list: Value, back: Duration, then: String) -> (SocketAddr, Calls) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let calls = Calls::default();
    let noted = calls.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (first, since) = {
                let mut calls = noted.lock().expect("no panic");
                calls.push(Instant::now());
                (calls.len() == 1, calls[0].elapsed())
            };
            let text = if first { format!("{list}\n") } else { then.clone() };
            tokio::spawn(answer(stream, text, !first && since < back));
        }
    });
    (at, calls)
}

async fn answer(mut stream: TcpStream, text: String, refused: bool) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else { return };
        head.push(byte);
    }
    if refused {
        let _ = stream.write_all(BUSY).await;
        return;
    }
    let _ = stream.write_all(format!("{HEAD}{}{}", chunk(&text), chunk("\n")).as_bytes()).await;
    sleep(Duration::from_secs(60)).await;
}

/// So many clients ask one after the other; those that stay, and how many were refused.
async fn place(daemon: &Daemon, many: u64) -> (Vec<LineClient>, usize) {
    let (mut clients, mut refused) = (Vec::new(), 0);
    for number in 0..many {
        let (client, answer) = LineClient::open(daemon.lines, number).await.expect("an answer");
        refused += usize::from(answer.starts_with("BUSY"));
        assert!(answer.starts_with("BUSY") || answer.starts_with("UP"), "{answer}");
        clients.push(client);
    }
    (clients, refused)
}

fn taken(fleet: &Fleet, server: usize) -> u64 {
    fleet.servers[server].seen.taken.load(std::sync::atomic::Ordering::Relaxed)
}

/// Starts a daemon whose watch falls silent at once, while server 0 is drained; it is told so, indented, by the
/// first call that is answered after `back`.
async fn silent(back: Duration) -> (Fleet, Daemon, Calls, Instant) {
    let mut fleet = Fleet::start(2).await.expect("a fleet");
    let known = fleet.known();
    let mut drained = known.clone();
    drained["index"] = json!(2);
    drained["endpoints"][0]["status"] = json!("DRAINING");
    let (at, calls) = discovery(known, back, format!("{drained:#}\n")).await;
    fleet.discovery = at;
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    let daemon = Daemon::start(program, &fleet, &Options::default()).await.expect("a daemon");
    while calls.lock().expect("no panic").is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    let start = calls.lock().expect("no panic")[0];
    (fleet, daemon, calls, start)
}

#[tokio::test]
async fn a_silent_watch_is_left_soon_and_an_indented_list_is_read_after_a_503() {
    let (fleet, daemon, calls, start) = silent(Duration::from_millis(3600)).await;
    let (_before, refused) = place(&daemon, 16).await;
    assert!(refused == 0 && taken(&fleet, 0) > 0, "both servers are in use");
    // The silence began with the beat at the start; with it, the list is good for 6 s.
    sleep_until(start + Duration::from_millis(6000)).await;
    let at: Vec<Duration> = calls.lock().expect("no panic").iter().map(|&at| at - start).collect();
    assert!(at.len() >= 3, "a 503 is not the end: {at:?}");
    assert!(at[1] < Duration::from_millis(3500), "the first call after the silence: {at:?}");
    let before = taken(&fleet, 0);
    let (_after, refused) = place(&daemon, 16).await;
    assert_eq!((refused, taken(&fleet, 0)), (0, before), "all go to the server that is not drained");
}

#[tokio::test]
async fn without_a_list_nothing_is_placed_once_what_was_missed_counts_as_told() {
    let (fleet, daemon, _, start) = silent(Duration::from_millis(9000)).await;
    let (standing, _) = place(&daemon, 8).await;
    sleep_until(start + Duration::from_millis(6600)).await;
    let before = (taken(&fleet, 0), taken(&fleet, 1));
    let (_refused, refused) = place(&daemon, 1).await;
    assert_eq!((refused, (taken(&fleet, 0), taken(&fleet, 1))), (1, before), "refused, not placed");
    daemon.says("discovery: endpoint list is older than 6 s").await.expect("a line for those on call");
    // Those that stand are served all the while.
    for mut client in standing.into_iter().take(2) {
        assert!(client.echoes("still here").await.expect("an echo"));
    }
    sleep_until(start + Duration::from_millis(11000)).await;
    let (_after, refused) = place(&daemon, 4).await;
    assert_eq!((refused, taken(&fleet, 0)), (0, before.0), "served again, and not by the drained server");
}
