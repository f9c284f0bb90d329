//! Guards what clients of the lines front read, byte for byte, from the real daemon on loopback sockets, and what
//! it writes to servers, against fixtures that were recorded once and never change.

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

/// Whatever takes longer has failed.
const STEP: Duration = Duration::from_secs(10);
/// What has been sent has been read by then.
const MOMENT: Duration = Duration::from_millis(300);
/// Longer than a client may take to ask.
const FIRST_LINE: Duration = Duration::from_millis(3200);

/// Compares with a fixture. What was found instead is left beside the build's temporary files.
fn assert_fixture(name: &str, found: &str) {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility/client_lines").join(name);
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    if expected == found {
        return;
    }
    let kept = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&kept, found).expect("the build's folder");
    let line = expected.lines().zip(found.lines()).position(|(expected, found)| expected != found);
    let line = line.unwrap_or_else(|| expected.lines().count().min(found.lines().count()));
    panic!(
        "{name}, line {}:\nexpected: {:?}\nfound:    {:?}\nall that was found: {}",
        line + 1,
        expected.lines().nth(line),
        found.lines().nth(line),
        kept.display()
    );
}

async fn start(backend: &MockBackend, options: Options) -> Daemon {
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    let daemon = Daemon::start(program, backend, &options).await.expect("a daemon");
    daemon.wait_for_log_line("discovery: ").await.expect("it watches");
    daemon
}

/// Bytes as printable text; long runs of one byte are shortened without loss.
fn shown(bytes: &[u8]) -> String {
    let mut text = String::new();
    let mut rest = bytes;
    while let Some(&first) = rest.first() {
        let run = rest.iter().take_while(|&&byte| byte == first).count();
        let shown = [first].escape_ascii().to_string();
        if run > 16 {
            let _ = write!(text, "<{shown} {run} times>");
        } else {
            text += &shown.repeat(run);
        }
        rest = &rest[run..];
    }
    text
}

/// One client, and all that it has read.
struct Client {
    stream: TcpStream,
    said: Vec<u8>,
}

impl Client {
    async fn connect(address: SocketAddr) -> Self {
        let stream = timeout(STEP, TcpStream::connect(address)).await.expect("in time").expect("taken");
        Self { stream, said: Vec::new() }
    }

    /// Sends until all is sent or the other side has had enough.
    async fn send(&mut self, bytes: &[u8]) {
        let _ = timeout(STEP, self.stream.write_all(bytes)).await.expect("in time");
    }

    async fn half_close(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// Reads until so many lines have come.
    async fn lines(&mut self, lines: usize) {
        let come = |said: &[u8]| said.windows(2).filter(|pair| pair == b"\r\n").count();
        while come(&self.said) < lines {
            let read = timeout(STEP, self.stream.read_buf(&mut self.said)).await.expect("a line in time");
            if !matches!(read, Ok(1..)) {
                return;
            }
        }
    }

    /// Reads to the end; all that has come since the beginning, and how it ended.
    async fn end(mut self) -> String {
        let read = timeout(STEP, self.stream.read_to_end(&mut self.said)).await.expect("an end in time");
        let end = if read.is_ok() { "end" } else { "reset" };
        format!("'{}' {end}", shown(&self.said))
    }
}

/// Sends this, half-closes where that is wanted, and reads to the end.
async fn exchange(address: SocketAddr, bytes: &[u8], half_close: bool) -> String {
    let mut client = Client::connect(address).await;
    client.send(bytes).await;
    if half_close {
        client.half_close().await;
    }
    client.end().await
}

/// First lines that are no request, each answered and ended.
fn bad_lines() -> Vec<Vec<u8>> {
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
    let backend = MockBackend::start(1).await.expect("mock servers");
    let daemon = start(&backend, Options::default()).await;
    let mut found = String::new();
    for line in bad_lines() {
        let answer = exchange(daemon.lines, &line, false).await;
        let _ = writeln!(found, "'{}' => {answer}", shown(&line));
    }
    let cut: [&[u8]; 8] = [
        b"",
        b"OPEN",
        b"OPEN 1 2 c=meter,d=3000",
        b"OPEN 1 2 c=meter,d=3000\r",
        b"PING",
        b"PING\r\n",
        b"PING\r\nPING\r\n",
        b"PING\r\nOPEN 1 2",
    ];
    for line in cut {
        let answer = exchange(daemon.lines, line, true).await;
        let _ = writeln!(found, "'{}', half-closed => {answer}", shown(line));
    }
    assert_eq!(backend.attempt_log.arrivals().len(), 0, "nothing was sent on");
    // Those that do not ask in time.
    let mut slow = Vec::new();
    for line in ["", "OPEN 1 2 c=meter", "PING\r\n", "PING\r\nOPEN 1", "PING\r\nPING\r\n"] {
        let mut client = Client::connect(daemon.lines).await;
        client.send(line.as_bytes()).await;
        slow.push((line, client));
    }
    sleep(FIRST_LINE).await;
    for (line, client) in slow {
        let answer = client.end().await;
        let _ = writeln!(found, "'{}', then nothing => {answer}", shown(line.as_bytes()));
    }
    assert_fixture("first_lines.txt", &found);
}

#[tokio::test]
async fn requests_and_their_lines_are_answered_as_recorded() {
    let backend = MockBackend::start(1).await.expect("mock servers");
    let daemon = start(&backend, Options::default()).await;
    let mut found = String::new();

    // Connections from before the start; their time is over with the first other one.
    let mut restored = Client::connect(daemon.lines).await;
    restored.send(b"OPEN r1 2 c=meter,at=s-0\r\n").await;
    restored.lines(1).await;
    let _ = writeln!(found, "at a server => '{}'", shown(&restored.said));
    let unknown = exchange(daemon.lines, b"OPEN r2 2 c=meter,at=s-9\r\n", false).await;
    let _ = writeln!(found, "at an unknown server => {unknown}");
    let class = exchange(daemon.lines, b"OPEN r3 2 c=nosuch,at=s-0\r\n", false).await;
    let _ = writeln!(found, "at a server, of an unknown class => {class}");

    let mut first = Client::connect(daemon.lines).await;
    first.send(b"PING\r\nOPEN a 2 c=meter,d=3000\r\n").await;
    first.lines(2).await;
    first.send(b"one\r\ntwo\r\nPING\r\nOPEN a 2 c=meter,d=3000\r\n").await;
    first.lines(6).await;
    let _ = writeln!(found, "asked, and four lines => '{}'", shown(&first.said));
    let late = exchange(daemon.lines, b"OPEN r4 2 c=meter,at=s-0\r\n", false).await;
    let _ = writeln!(found, "at a server, after the start => {late}");
    let twice = exchange(daemon.lines, b"OPEN a 2 c=meter,d=3000\r\n", false).await;
    let _ = writeln!(found, "an id that is open => {twice}");
    let class = exchange(daemon.lines, b"OPEN b 2 c=nosuch,d=3000\r\n", false).await;
    let _ = writeln!(found, "an unknown class => {class}");
    first.half_close().await;
    let first = first.end().await;
    let _ = writeln!(found, "the first one, half-closed => {first}");
    let again = "OPEN a 2 c=meter,t=nosuch,g=x,h=1.5,r=1,again=1,zz=1,d=3000\r\n";
    let mut client = Client::connect(daemon.lines).await;
    client.send(again.as_bytes()).await;
    client.lines(1).await;
    let _ = writeln!(found, "the id again, now free => '{}'", shown(&client.said));
    drop(client);

    // Lines that come before the answer.
    let ahead = |lines: usize| "x\r\n".repeat(lines);
    let line = |id: u32| format!("OPEN c{id} 2 c=meter,d=3000\r\n");
    for (what, sent, lines) in [
        ("two lines ahead", format!("{}one\r\ntwo\r\n", line(1)), 3),
        ("eight lines ahead", format!("{}{}", line(2), ahead(8)), 9),
        ("half a line ahead", format!("{}hal", line(3)), 1),
    ] {
        let mut client = Client::connect(daemon.lines).await;
        client.send(sent.as_bytes()).await;
        client.lines(lines).await;
        let _ = writeln!(found, "{what} => '{}'", shown(&client.said));
    }
    for (what, sent) in [
        ("nine lines ahead", format!("{}{}", line(4), ahead(9))),
        ("a long line ahead", format!("{}{}\r\n", line(5), "x".repeat(4095))),
        ("two long lines ahead", format!("{}{1}\r\n{1}\r\n", line(6), "x".repeat(2100))),
        ("asked twice", format!("{0}{0}", line(7))),
    ] {
        let answer = exchange(daemon.lines, sent.as_bytes(), false).await;
        let _ = writeln!(found, "{what} => {answer}");
    }

    // A line that is too long once the connection stands.
    let mut client = Client::connect(daemon.lines).await;
    client.send(b"OPEN d 2 c=meter,d=3000\r\n").await;
    client.lines(1).await;
    client.send(&[b'y'; 5000]).await;
    let ended = client.end().await;
    let _ = writeln!(found, "a long line on a connection that stands => {ended}");
    let restored = restored.end_after_stop(&daemon).await;
    let _ = writeln!(found, "the restored one, at the stop => {restored}");
    assert_fixture("requests.txt", &found);
}

impl Client {
    async fn end_after_stop(self, daemon: &Daemon) -> String {
        daemon.terminate().expect("it runs");
        self.end().await
    }
}

#[tokio::test]
async fn a_stop_is_told_as_recorded() {
    let backend = MockBackend::start(1).await.expect("mock servers");
    let daemon = start(&backend, Options::default()).await;
    let mut clients = Vec::new();
    for (what, sent, lines) in [
        ("stands", "OPEN a 2 c=meter,d=3000\r\n", 1),
        ("stands and has spoken", "OPEN b 2 c=meter,d=3000\r\nx\r\n", 2),
        ("has asked for nothing", "", 0),
        ("has begun a line", "OPEN c", 0),
        ("has only said PING", "PING\r\n", 1),
    ] {
        let mut client = Client::connect(daemon.lines).await;
        client.send(sent.as_bytes()).await;
        client.lines(lines).await;
        clients.push((what, client));
    }
    backend.servers[0].set_behavior(ServerBehavior::PartialLine);
    let mut half = Client::connect(daemon.lines).await;
    half.send(b"OPEN d 2 c=meter,d=3000\r\n").await;
    half.lines(1).await;
    clients.push(("reads half a line", half));
    backend.servers[0].set_behavior(ServerBehavior::Silent);
    let mut waiting = Client::connect(daemon.lines).await;
    waiting.send(b"OPEN e 2 c=meter,d=60000\r\n").await;
    clients.push(("waits for an answer", waiting));
    sleep(MOMENT).await;
    daemon.terminate().expect("it runs");
    let mut found = String::new();
    for (what, client) in clients {
        let end = client.end().await;
        let _ = writeln!(found, "{what} => {end}");
    }
    let (status, _) = daemon.wait_for_exit().await.expect("it ends");
    let _ = writeln!(found, "exit code {}", status.code().expect("no signal"));
    assert_fixture("stop.txt", &found);
}

#[tokio::test]
async fn limits_are_told_as_recorded() {
    let backend = MockBackend::start(1).await.expect("mock servers");
    let daemon = start(&backend, Options { sockets: 64, ..Options::default() }).await;
    let mut found = String::new();
    // Sessions until there is no room; the next are refused.
    let mut sessions = Vec::new();
    let refused = loop {
        let mut client = Client::connect(daemon.lines).await;
        client.send(format!("OPEN {:x} 2 c=meter,d=3000\r\n", sessions.len()).as_bytes()).await;
        client.lines(1).await;
        if client.said.starts_with(b"UP ") {
            sessions.push(client);
        } else {
            break client.end().await;
        }
        assert!(sessions.len() < 64, "no limit");
    };
    let _ = writeln!(found, "after {} sessions => {refused}", sessions.len());
    drop(sessions);
    sleep(MOMENT).await;
    // Clients that ask for nothing, until the oldest has to go.
    let mut silent = Vec::new();
    for _ in 0..80 {
        silent.push(Client::connect(daemon.lines).await);
    }
    sleep(MOMENT).await;
    let mut gone = 0;
    for mut client in silent {
        if timeout(Duration::from_millis(1), client.stream.read_buf(&mut client.said)).await.is_ok() {
            gone += 1;
            let end = client.end().await;
            assert_eq!(end, "'BUSY 1000\\r\\n' end", "one that made room");
        }
    }
    let _ = writeln!(found, "{gone} of 80 silent clients made room");
    assert_fixture("limits.txt", &found);
}

/// What a scripted server does with a request, by the request's key.
fn script(key: &str) -> Option<&'static [u8]> {
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

/// Requests as a server has read them.
type Requests = Arc<Mutex<Vec<Vec<u8>>>>;

async fn serve(listener: TcpListener, requests: Requests) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_one(stream, requests.clone()));
    }
}

async fn serve_one(mut stream: TcpStream, requests: Requests) {
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
    match script(key) {
        Some(answer) => {
            let _ = stream.write_all(answer).await;
            let _ = stream.shutdown().await;
            // What the other side still sends is read, so that the end is no reset.
            let _ = timeout(STEP, stream.read_to_end(&mut Vec::new())).await;
        }
        None if key == "reset" => {
            let _ = stream.set_zero_linger();
        }
        None => sleep(STEP).await,
    }
}

/// A line without the time that is left in it, which is at most what was asked for.
fn without_time(line: &[u8], asked: u64) -> String {
    let text = shown(line);
    let (before, rest) = text.split_once(",d=").expect("a wait");
    let digits = rest.bytes().take_while(u8::is_ascii_digit).count();
    let left: u64 = rest[..digits].parse().expect("a number");
    assert!((1..=asked).contains(&left), "{text}");
    format!("{before},d=LEFT{}", &rest[digits..])
}

fn entry(address: SocketAddr) -> Value {
    json!({"name": "scripted", "address": address, "zone": "here", "type": "one", "group": 0,
           "status": "SERVING", "weight": 1.0, "since_ms": 0})
}

/// What a client of a daemon with this one server reads, and what the server was sent.
async fn before_server(key: &str, effect: &str, address: SocketAddr, requests: &Requests) -> String {
    const ASKED: u64 = 900;
    let mut backend = MockBackend::start(0).await.expect("mock servers");
    let list = json!({"index": 1, "snapshot": true, "endpoints": [entry(address)]});
    backend.discovery = discovery(list.clone()).await;
    let classes = json!([{"name": "meter", "aim": 0.4, "deadline": 3.0, "effect": effect, "worth": 1.0}]);
    let config = json!({"settings": {"classes": classes}});
    let daemon = start(&backend, Options { known: Some(list), config, ..Options::default() }).await;
    let mut client = Client::connect(daemon.lines).await;
    client.send(format!("OPEN 00000000000000aa {key} c=meter,g=1,d={ASKED},x=y\r\n").as_bytes()).await;
    let answer = client.end().await;
    let mut text = format!("{effect} {key} => {answer}\n");
    for line in std::mem::take(&mut *requests.lock().unwrap_or_else(PoisonError::into_inner)) {
        let _ = writeln!(text, "    sent on: '{}'", without_time(&line, ASKED));
    }
    text
}

/// Tells the list to all that call, and nothing new after that.
async fn discovery(list: Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
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
async fn what_servers_do_is_told_as_recorded() {
    let requests = Requests::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(serve(listener, requests.clone()));
    let mut found = String::new();
    for key in [
        "up", "up-empty", "up-bare", "up-more", "up-bye", "up-move", "up-load", "err", "err-more", "busy",
        "busy-40", "busy-bad", "move", "garbage", "cut", "nothing", "reset", "silent",
    ] {
        for effect in ["pure", "side_effect"] {
            found += &before_server(key, effect, address, &requests).await;
        }
    }
    let free =
        TcpListener::bind("127.0.0.1:0").await.and_then(|listener| listener.local_addr()).expect("a port");
    found += &before_server("unreachable", "pure", free, &requests).await;
    found += &before_server("unreachable", "side_effect", free, &requests).await;
    assert_fixture("servers.txt", &found);
}
