//! Compatibility of the line front end, byte for byte: what clients receive from the daemon over loopback
//! sockets, and what it writes to servers, is compared with recorded fixtures, which never change.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::{MockBackend, ServerBehavior};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Time-out of each step of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);
/// Duration after which the other side is expected to have processed what was sent.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Duration that exceeds the daemon's time-out for a client's first line.
const AFTER_FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(3200);

/// Compares a text with a fixture. If they differ, writes the text to the build's folder for temporary files
/// and panics with the first line that differs.
fn assert_fixture(name: &str, found: &str) {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility/client_lines").join(name);
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    if expected == found {
        return;
    }
    let found_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&found_file, found).expect("write to the build's temporary folder");
    let difference = expected.lines().zip(found.lines()).position(|(expected, found)| expected != found);
    let difference = difference.unwrap_or_else(|| expected.lines().count().min(found.lines().count()));
    panic!(
        "{name}, line {}:\nexpected: {:?}\nfound:    {:?}\nentire text found: {}",
        difference + 1,
        expected.lines().nth(difference),
        found.lines().nth(difference),
        found_file.display()
    );
}

/// Starts a daemon, and waits until it watches discovery.
async fn start_daemon(backend: &MockBackend, options: Options) -> Daemon {
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    let daemon = Daemon::start(program, backend, &options).await.expect("start of the daemon");
    daemon.wait_for_log_line("discovery: ").await.expect("start of the discovery watch");
    daemon
}

/// Returns bytes as printable text. Runs of more than 16 equal bytes are written as the byte and their
/// number.
fn printable(bytes: &[u8]) -> String {
    let mut text = String::new();
    let mut rest = bytes;
    while let Some(&first) = rest.first() {
        let run = rest.iter().take_while(|&&byte| byte == first).count();
        let escaped = [first].escape_ascii().to_string();
        if run > 16 {
            let _ = write!(text, "<{escaped} {run} times>");
        } else {
            text += &escaped.repeat(run);
        }
        rest = &rest[run..];
    }
    text
}

/// A mock client.
struct Client {
    stream: TcpStream,
    /// All bytes received since the connection was opened.
    received: Vec<u8>,
}

impl Client {
    async fn connect(address: SocketAddr) -> Self {
        let stream = timeout(STEP_TIMEOUT, TcpStream::connect(address))
            .await
            .expect("connection in time")
            .expect("connection");
        Self { stream, received: Vec::new() }
    }

    /// Sends bytes. An error is ignored: the daemon may close the connection before it has read them all.
    async fn send(&mut self, bytes: &[u8]) {
        let _ = timeout(STEP_TIMEOUT, self.stream.write_all(bytes)).await.expect("write in time");
    }

    async fn half_close(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// Reads until this number of lines has been received in total, or the connection ends.
    async fn read_lines(&mut self, lines: usize) {
        let count_lines = |bytes: &[u8]| bytes.windows(2).filter(|pair| pair == b"\r\n").count();
        while count_lines(&self.received) < lines {
            let read =
                timeout(STEP_TIMEOUT, self.stream.read_buf(&mut self.received)).await.expect("line in time");
            if !matches!(read, Ok(1..)) {
                return;
            }
        }
    }

    /// Reads to the end of the connection. Returns all bytes received since it was opened, and how it ended.
    async fn read_to_end(mut self) -> String {
        let read =
            timeout(STEP_TIMEOUT, self.stream.read_to_end(&mut self.received)).await.expect("end in time");
        let end = if read.is_ok() { "end" } else { "reset" };
        format!("'{}' {end}", printable(&self.received))
    }
}

/// Connects, sends bytes, optionally half-closes the connection, and reads to its end.
async fn exchange(address: SocketAddr, bytes: &[u8], half_close: bool) -> String {
    let mut client = Client::connect(address).await;
    client.send(bytes).await;
    if half_close {
        client.half_close().await;
    }
    client.read_to_end().await
}

/// Returns first lines that are invalid, so that the daemon answers and closes the connection.
fn invalid_first_lines() -> Vec<Vec<u8>> {
    let mut lines: Vec<Vec<u8>> = [
        "OPEN",
        "OPEN 1",
        "OPEN 1 2",
        "OPEN 1 2 ",
        "OPEN  1 2 c=meter,d=3000",
        " OPEN 1 2 c=meter,d=3000",
        "open 1 2 c=meter,d=3000",
        "OPEN 1 2 c=meter,d=3000 x",
        "OPEN 1 2 c=meter",
        "OPEN 1 2 d=3000",
        "OPEN 1 2 c=meter,d=",
        "OPEN 1 2 c=meter,d=-1",
        "OPEN 1 2 c=meter,d=600001",
        "OPEN 1 2 c=meter,d=1e3",
        "OPEN 1 2 c=meter,d=3000,c=meter",
        "OPEN 1 2 c=meter,d=3000,x=1,x=2",
        "OPEN 1 2 c=meter,d=3000,h=x",
        "OPEN 1 2 c=meter,d=3000,",
        "OPEN 1 2 c=m\u{e9}ter,d=3000",
        "OPEN 1 2 c=meter\n,d=3000",
        "PING ",
        "ping",
        "PONG",
        "UP x",
        "",
        "GET / HTTP/1.1",
    ]
    .iter()
    .map(|line| format!("{line}\r\n").into_bytes())
    .collect();
    lines.push(b"\x16\x03\x01\x02\x00\x01\x00\r\n".to_vec());
    lines.push(format!("OPEN {} 2 c=meter,d=3000\r\n", "k".repeat(129)).into_bytes());
    lines.push(format!("OPEN 1 2 c=meter,d=3000,{}=\r\n", "k".repeat(128)).into_bytes());
    lines.push(vec![b'x'; 4096]);
    lines.push(vec![b'x'; 100_000]);
    lines.push([&b"PING\r\n"[..], &[b'x'; 5000]].concat());
    lines.push(b"PING\r\nPING\r\nOPEN\r\n".to_vec());
    lines
}

#[tokio::test]
async fn first_lines_are_answered_as_recorded() {
    let backend = MockBackend::start(1).await.expect("start of the mock servers");
    let daemon = start_daemon(&backend, Options::default()).await;
    let mut found = String::new();
    for line in invalid_first_lines() {
        let answer = exchange(daemon.lines, &line, false).await;
        let _ = writeln!(found, "'{}' => {answer}", printable(&line));
    }
    let incomplete: [&[u8]; 8] = [
        b"",
        b"OPEN",
        b"OPEN 1 2 c=meter,d=3000",
        b"OPEN 1 2 c=meter,d=3000\r",
        b"PING",
        b"PING\r\n",
        b"PING\r\nPING\r\n",
        b"PING\r\nOPEN 1 2",
    ];
    for line in incomplete {
        let answer = exchange(daemon.lines, line, true).await;
        let _ = writeln!(found, "'{}', half-closed => {answer}", printable(line));
    }
    assert_eq!(backend.attempt_log.arrivals().len(), 0, "no request may reach a server");
    // Clients that send no complete request before the time-out.
    let mut slow = Vec::new();
    for line in ["", "OPEN 1 2 c=meter", "PING\r\n", "PING\r\nOPEN 1", "PING\r\nPING\r\n"] {
        let mut client = Client::connect(daemon.lines).await;
        client.send(line.as_bytes()).await;
        slow.push((line, client));
    }
    sleep(AFTER_FIRST_LINE_TIMEOUT).await;
    for (line, client) in slow {
        let answer = client.read_to_end().await;
        let _ = writeln!(found, "'{}', then nothing => {answer}", printable(line.as_bytes()));
    }
    assert_fixture("first_lines.txt", &found);
}

#[tokio::test]
async fn requests_and_their_lines_are_answered_as_recorded() {
    let backend = MockBackend::start(1).await.expect("start of the mock servers");
    let daemon = start_daemon(&backend, Options::default()).await;
    let mut found = String::new();

    // Connections established before the daemon's start. They are restored until the first new connection.
    let mut restored = Client::connect(daemon.lines).await;
    restored.send(b"OPEN r1 2 c=meter,at=s-0\r\n").await;
    restored.read_lines(1).await;
    let _ = writeln!(found, "at a server => '{}'", printable(&restored.received));
    let unknown = exchange(daemon.lines, b"OPEN r2 2 c=meter,at=s-9\r\n", false).await;
    let _ = writeln!(found, "at an unknown server => {unknown}");
    let unknown_class = exchange(daemon.lines, b"OPEN r3 2 c=nosuch,at=s-0\r\n", false).await;
    let _ = writeln!(found, "at a server, of an unknown class => {unknown_class}");

    let mut first = Client::connect(daemon.lines).await;
    first.send(b"PING\r\nOPEN a 2 c=meter,d=3000\r\n").await;
    first.read_lines(2).await;
    first.send(b"one\r\ntwo\r\nPING\r\nOPEN a 2 c=meter,d=3000\r\n").await;
    first.read_lines(6).await;
    let _ = writeln!(found, "asked, and four lines => '{}'", printable(&first.received));
    let restored_late = exchange(daemon.lines, b"OPEN r4 2 c=meter,at=s-0\r\n", false).await;
    let _ = writeln!(found, "at a server, after the start => {restored_late}");
    let duplicate = exchange(daemon.lines, b"OPEN a 2 c=meter,d=3000\r\n", false).await;
    let _ = writeln!(found, "an id that is open => {duplicate}");
    let unknown_class = exchange(daemon.lines, b"OPEN b 2 c=nosuch,d=3000\r\n", false).await;
    let _ = writeln!(found, "an unknown class => {unknown_class}");
    first.half_close().await;
    let answer = first.read_to_end().await;
    let _ = writeln!(found, "the first one, half-closed => {answer}");
    let same_id = "OPEN a 2 c=meter,t=nosuch,g=x,h=1.5,r=1,again=1,zz=1,d=3000\r\n";
    let mut client = Client::connect(daemon.lines).await;
    client.send(same_id.as_bytes()).await;
    client.read_lines(1).await;
    let _ = writeln!(found, "the id again, now free => '{}'", printable(&client.received));
    drop(client);

    // Lines that are sent before the answer.
    let early_lines = |lines: usize| "x\r\n".repeat(lines);
    let open_line = |id: u32| format!("OPEN c{id} 2 c=meter,d=3000\r\n");
    for (case, sent, lines) in [
        ("two lines ahead", format!("{}one\r\ntwo\r\n", open_line(1)), 3),
        ("eight lines ahead", format!("{}{}", open_line(2), early_lines(8)), 9),
        ("half a line ahead", format!("{}hal", open_line(3)), 1),
    ] {
        let mut client = Client::connect(daemon.lines).await;
        client.send(sent.as_bytes()).await;
        client.read_lines(lines).await;
        let _ = writeln!(found, "{case} => '{}'", printable(&client.received));
    }
    for (case, sent) in [
        ("nine lines ahead", format!("{}{}", open_line(4), early_lines(9))),
        ("a long line ahead", format!("{}{}\r\n", open_line(5), "x".repeat(4095))),
        ("two long lines ahead", format!("{}{1}\r\n{1}\r\n", open_line(6), "x".repeat(2100))),
        ("asked twice", format!("{0}{0}", open_line(7))),
    ] {
        let answer = exchange(daemon.lines, sent.as_bytes(), false).await;
        let _ = writeln!(found, "{case} => {answer}");
    }

    // A line that is too long on an established connection.
    let mut client = Client::connect(daemon.lines).await;
    client.send(b"OPEN d 2 c=meter,d=3000\r\n").await;
    client.read_lines(1).await;
    client.send(&[b'y'; 5000]).await;
    let answer = client.read_to_end().await;
    let _ = writeln!(found, "a long line on a connection that stands => {answer}");
    let answer = restored.read_to_end_after_stop(&daemon).await;
    let _ = writeln!(found, "the restored one, at the stop => {answer}");
    assert_fixture("requests.txt", &found);
}

impl Client {
    async fn read_to_end_after_stop(self, daemon: &Daemon) -> String {
        daemon.terminate().expect("signal to the running daemon");
        self.read_to_end().await
    }
}

#[tokio::test]
async fn clients_are_answered_at_a_stop_as_recorded() {
    let backend = MockBackend::start(1).await.expect("start of the mock servers");
    let daemon = start_daemon(&backend, Options::default()).await;
    let mut clients = Vec::new();
    for (case, sent, lines) in [
        ("stands", "OPEN a 2 c=meter,d=3000\r\n", 1),
        ("stands and has spoken", "OPEN b 2 c=meter,d=3000\r\nx\r\n", 2),
        ("has asked for nothing", "", 0),
        ("has begun a line", "OPEN c", 0),
        ("has only said PING", "PING\r\n", 1),
    ] {
        let mut client = Client::connect(daemon.lines).await;
        client.send(sent.as_bytes()).await;
        client.read_lines(lines).await;
        clients.push((case, client));
    }
    backend.servers[0].set_behavior(ServerBehavior::PartialLine);
    let mut reads_partial_line = Client::connect(daemon.lines).await;
    reads_partial_line.send(b"OPEN d 2 c=meter,d=3000\r\n").await;
    reads_partial_line.read_lines(1).await;
    clients.push(("reads half a line", reads_partial_line));
    backend.servers[0].set_behavior(ServerBehavior::Silent);
    let mut waiting = Client::connect(daemon.lines).await;
    waiting.send(b"OPEN e 2 c=meter,d=60000\r\n").await;
    clients.push(("waits for an answer", waiting));
    sleep(SETTLE_TIME).await;
    daemon.terminate().expect("signal to the running daemon");
    let mut found = String::new();
    for (case, client) in clients {
        let answer = client.read_to_end().await;
        let _ = writeln!(found, "{case} => {answer}");
    }
    let (status, _) = daemon.wait_for_exit().await.expect("exit of the daemon");
    let _ = writeln!(found, "exit code {}", status.code().expect("exit code rather than a signal"));
    assert_fixture("stop.txt", &found);
}

#[tokio::test]
async fn clients_over_the_limits_are_answered_as_recorded() {
    let backend = MockBackend::start(1).await.expect("start of the mock servers");
    let daemon = start_daemon(&backend, Options { sockets: 64, ..Options::default() }).await;
    let mut found = String::new();
    // Opens sessions until the limit is reached; the next one is rejected.
    let mut sessions = Vec::new();
    let rejection = loop {
        let mut client = Client::connect(daemon.lines).await;
        client.send(format!("OPEN {:x} 2 c=meter,d=3000\r\n", sessions.len()).as_bytes()).await;
        client.read_lines(1).await;
        if client.received.starts_with(b"UP ") {
            sessions.push(client);
        } else {
            break client.read_to_end().await;
        }
        assert!(sessions.len() < 64, "no rejection within 64 sessions");
    };
    let _ = writeln!(found, "after {} sessions => {rejection}", sessions.len());
    drop(sessions);
    sleep(SETTLE_TIME).await;
    // Opens connections that send no request, until the oldest are evicted.
    let mut silent = Vec::new();
    for _ in 0..80 {
        silent.push(Client::connect(daemon.lines).await);
    }
    sleep(SETTLE_TIME).await;
    let mut evicted = 0;
    for mut client in silent {
        if timeout(Duration::from_millis(1), client.stream.read_buf(&mut client.received)).await.is_ok() {
            evicted += 1;
            let answer = client.read_to_end().await;
            assert_eq!(answer, "'BUSY 1000\\r\\n' end", "answer to an evicted client");
        }
    }
    let _ = writeln!(found, "{evicted} of 80 silent clients made room");
    assert_fixture("limits.txt", &found);
}

/// Returns the bytes that the mock server sends in answer to a request, by the request's key.
fn scripted_answer(key: &str) -> Option<&'static [u8]> {
    Some(match key {
        "up" => b"UP r\r\n",
        "up-empty" => b"UP \r\n",
        "up-bare" => b"UP\r\n",
        "up-more" => b"UP r\r\nline\r\nhalf",
        "up-bye" => b"UP r\r\nline\r\nBYE\r\nafter\r\n",
        "up-move" => b"UP r\r\nMOVE\r\n",
        "up-load" => b"UP r\r\nLOAD 12.5\r\nLOAD x\r\nBUSY\r\nERR\r\nUP s\r\n",
        "err" => b"ERR\r\n",
        "err-more" => b"ERR why\r\nUP late\r\n",
        "busy" => b"BUSY\r\n",
        "busy-40" => b"BUSY 40\r\n",
        "busy-bad" => b"BUSY x\r\n",
        "move" => b"MOVE\r\n",
        "garbage" => b"\x16\x03\x01\x02\r\n",
        "cut" => b"UP without an end",
        "nothing" => b"",
        _ => return None,
    })
}

/// Request lines that the mock server has received.
type Requests = Arc<Mutex<Vec<Vec<u8>>>>;

async fn serve(listener: TcpListener, requests: Requests) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, requests.clone()));
    }
}

async fn serve_connection(mut stream: TcpStream, requests: Requests) {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        let Ok(byte) = stream.read_u8().await else { return };
        line.push(byte);
    }
    if line == b"PING\r\n" {
        let _ = stream.write_all(b"PONG\r\n").await;
        return;
    }
    let text = String::from_utf8_lossy(&line).into_owned();
    requests.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    let key = text.split(' ').nth(2).unwrap_or_default();
    match scripted_answer(key) {
        Some(answer) => {
            let _ = stream.write_all(answer).await;
            let _ = stream.shutdown().await;
            // Unread bytes at the close would reset the connection, so reads until the daemon closes it.
            let _ = timeout(STEP_TIMEOUT, stream.read_to_end(&mut Vec::new())).await;
        }
        None if key == "reset" => {
            let _ = stream.set_zero_linger();
        }
        None => sleep(STEP_TIMEOUT).await,
    }
}

/// Returns a request line with its time-out replaced by `LEFT`. Checks that the time-out is at most `max_ms`,
/// the one that the client requested.
fn without_timeout(line: &[u8], max_ms: u64) -> String {
    let text = printable(line);
    let (before, rest) = text.split_once(",d=").expect("a time-out in the line");
    let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
    let timeout_ms: u64 = rest[..digits].parse().expect("a number");
    assert!((1..=max_ms).contains(&timeout_ms), "{text}");
    format!("{before},d=LEFT{}", &rest[digits..])
}

/// Returns the endpoint entry of the mock server.
fn endpoint_entry(address: SocketAddr) -> Value {
    json!({"name": "scripted", "address": address, "zone": "here", "type": "one", "group": 0,
           "status": "SERVING", "weight": 1.0, "since_ms": 0})
}

/// Starts a daemon with the mock server as its only server, and sends one request. Returns what the client
/// received, and the lines that the server received.
async fn exchange_through_daemon(
    key: &str,
    effect: &str,
    address: SocketAddr,
    requests: &Requests,
) -> String {
    const CLIENT_TIMEOUT_MS: u64 = 900;
    let mut backend = MockBackend::start(0).await.expect("start of the mock servers");
    let list = json!({"index": 1, "snapshot": true, "endpoints": [endpoint_entry(address)]});
    backend.discovery = start_discovery(list.clone()).await;
    let classes = json!([{"name": "meter", "aim": 0.4, "deadline": 3.0, "effect": effect, "worth": 1.0}]);
    let config = json!({"settings": {"classes": classes}});
    let daemon = start_daemon(&backend, Options { known: Some(list), config, ..Options::default() }).await;
    let mut client = Client::connect(daemon.lines).await;
    client
        .send(format!("OPEN 00000000000000aa {key} c=meter,g=1,d={CLIENT_TIMEOUT_MS},x=y\r\n").as_bytes())
        .await;
    let answer = client.read_to_end().await;
    let mut text = format!("{effect} {key} => {answer}\n");
    for line in std::mem::take(&mut *requests.lock().unwrap_or_else(PoisonError::into_inner)) {
        let _ = writeln!(text, "    sent on: '{}'", without_timeout(&line, CLIENT_TIMEOUT_MS));
    }
    text
}

/// Starts a mock discovery that sends this endpoint list to each watch, and then only heartbeats. Returns its
/// address.
async fn start_discovery(list: Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("address of the listener");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let text = format!("{list}\n");
            tokio::spawn(async move {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    let Ok(byte) = stream.read_u8().await else { return };
                    head.push(byte);
                }
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut chunk = format!("{head}{:x}\r\n{text}\r\n", text.len());
                while stream.write_all(chunk.as_bytes()).await.is_ok() {
                    chunk = "1\r\n\n\r\n".to_owned();
                    sleep(Duration::from_millis(300)).await;
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn server_answers_are_relayed_as_recorded() {
    let requests = Requests::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("address of the listener");
    tokio::spawn(serve(listener, requests.clone()));
    let mut found = String::new();
    for key in [
        "up", "up-empty", "up-bare", "up-more", "up-bye", "up-move", "up-load", "err", "err-more", "busy",
        "busy-40", "busy-bad", "move", "garbage", "cut", "nothing", "reset", "silent",
    ] {
        for effect in ["pure", "side_effect"] {
            found += &exchange_through_daemon(key, effect, address, &requests).await;
        }
    }
    let unused_address = TcpListener::bind("127.0.0.1:0")
        .await
        .and_then(|listener| listener.local_addr())
        .expect("a free port");
    found += &exchange_through_daemon("unreachable", "pure", unused_address, &requests).await;
    found += &exchange_through_daemon("unreachable", "side_effect", unused_address, &requests).await;
    assert_fixture("servers.txt", &found);
}
