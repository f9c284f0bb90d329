//! A connection to a server that comes up late, before the real daemon: what was told meanwhile counts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::fleet::{Fleet, chunk};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Whatever takes longer has failed.
const STEP: Duration = Duration::from_secs(5);
/// A connection that is not up by then finds the queue full.
const FULL: Duration = Duration::from_millis(100);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Tells `now` to the one watch there is, and `then` once it is told to.
async fn discovery(now: Value, then: Value) -> (SocketAddr, oneshot::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let (tell, told) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a watch");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("a call"));
        }
        let first = format!("{HEAD}{}", chunk(&format!("{now}\n")));
        stream.write_all(first.as_bytes()).await.expect("read");
        tokio::pin!(told);
        loop {
            let text = match timeout(FULL, &mut told).await {
                Ok(_) => break,
                Err(_) => chunk("\n"),
            };
            stream.write_all(text.as_bytes()).await.expect("read");
        }
        let mut text = chunk(&format!("{then}\n"));
        while stream.write_all(text.as_bytes()).await.is_ok() {
            text = chunk("\n");
            tokio::time::sleep(FULL).await;
        }
    });
    (at, tell)
}

/// A listener whose queue is full: connections come up only once it is emptied.
async fn crowded() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(1).expect("listens");
    let at = listener.local_addr().expect("bound");
    let mut fillers = Vec::new();
    while let Ok(Ok(filler)) = timeout(FULL, TcpStream::connect(at)).await {
        fillers.push(filler);
    }
    (listener, fillers)
}

#[tokio::test]
async fn a_connection_that_comes_up_after_its_server_was_drained_carries_no_byte() {
    let mut fleet = Fleet::start(1).await.expect("a fleet");
    let (late, fillers) = crowded().await;
    let list = |index: u64, late_is: &str, other_is: &str| {
        let entry = |name: &str, address: SocketAddr, status: &str| {
            json!({"name": name, "address": address, "zone": "here", "type": "one", "group": 0,
                   "status": status, "weight": 1.0, "since_ms": 0})
        };
        let at = late.local_addr().expect("bound");
        let other = fleet.servers[0].address;
        json!({"index": index, "snapshot": true,
               "endpoints": [entry("late", at, late_is), entry("other", other, other_is)]})
    };
    // At first only the late one takes anything, then only the other.
    let (now, then) = (list(1, "SERVING", "DRAINING"), list(2, "DRAINING", "SERVING"));
    let (at, tell) = discovery(now.clone(), then).await;
    fleet.discovery = at;
    let config = json!({"settings": {
        "limits": {"connectTimeout": 5.0},
        "classes": [{"name": "meter", "aim": 2.0, "deadline": 8.0, "effect": "side_effect", "worth": 1.0}],
        "rules": {"stopSendingWithin": 0.2},
    }});
    let options = Options { known: Some(now), config, ..Options::default() };
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    let daemon = Daemon::start(program, &fleet, &options).await.expect("a daemon");
    daemon.says("discovery: ").await.expect("it watches");

    let mut client = LineClient::connect(daemon.lines).await.expect("taken");
    client.say("OPEN 0000000000000001 01 c=meter,d=8000,g=1").await.expect("heard");
    tokio::time::sleep(FULL).await;
    tell.send(()).expect("told");
    tokio::time::sleep(FULL).await;
    // Who asks now is served by the other: the list has been taken in.
    let mut placed = false;
    for number in 10..200 {
        let (_, answer) = LineClient::open(daemon.lines, number).await.expect("answered");
        placed |= answer.starts_with("UP ");
        if placed {
            break;
        }
    }
    assert!(placed, "the other takes what comes");
    // Past the grace the queue is emptied, and the first connection comes up with the system's next try.
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in &fillers {
        drop(timeout(STEP, late.accept()).await.expect("one that filled the queue").expect("there"));
    }
    drop(fillers);
    let (mut came, _) = timeout(STEP, late.accept()).await.expect("it comes up").expect("there");
    let mut bytes = Vec::new();
    let _ = timeout(STEP, came.read_to_end(&mut bytes)).await.expect("an end");
    assert_eq!(String::from_utf8_lossy(&bytes), "", "sent to a server that drains, past the grace");
    // And its request, of which nothing has run, is served by the other, though it may not be repeated.
    let answer = client.next().await.expect("an answer");
    assert!(answer.as_deref().is_some_and(|line| line.starts_with("UP ")), "{answer:?}");
}
