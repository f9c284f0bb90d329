//! A client that resets its connection while the gateway holds much of what it has sent.

mod mock_deployment;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use ashtide_testkit::daemon::Daemon;
use ashtide_testkit::within;
use mock_deployment::MockDeployment;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Time within which the end of one side is passed on to the other.
const MAX_END_DELAY: Duration = Duration::from_secs(1);
/// Number of bytes that fill all buffers between client and server.
const MAX_BACKLOG: usize = 64 << 20;
/// Time without progress after which all buffers between client and server are full.
const STALL: Duration = Duration::from_millis(200);

/// Establishes a connection, and returns the client's and the server's side.
async fn establish(deployment: &MockDeployment, address: SocketAddr) -> (std::net::TcpStream, TcpStream) {
    let mut client = std::net::TcpStream::connect(address).expect("a connection");
    client.write_all(b"OPEN aa 7 c=meter,d=3000,g=1\r\n").expect("a sent request");
    let mut attempt = deployment.next_attempt().await;
    attempt.send_line("UP r").await;
    let mut answer = [0; 6];
    client.read_exact(&mut answer).expect("the answer");
    assert_eq!(&answer, b"UP r\r\n");
    (client, attempt.stream)
}

/// Writes lines until no more are accepted.
async fn write_backlog(client: &TcpStream) {
    let line = [&[b'x'; 1000][..], b"\r\n"].concat();
    let mut written = 0;
    while tokio::time::timeout(STALL, client.writable()).await.is_ok() {
        match client.try_write(&line) {
            Ok(length) => written += length,
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock, "an open connection"),
        }
        assert!(written < MAX_BACKLOG, "the buffers are not full after {written} bytes");
    }
}

async fn await_no_connection(daemon: &Daemon) {
    let started_at = Instant::now();
    loop {
        let counters = daemon.send_command("counters").await.expect("counters");
        if counters.contains("router_in_progress 0\n") {
            return;
        }
        assert!(started_at.elapsed() < MAX_END_DELAY, "the connection remains: {counters}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against lines that are forwarded after their client has reset its connection, and against a server
/// that is not told of the reset before it has read them.
#[tokio::test]
async fn a_reset_is_passed_on_while_lines_of_the_client_are_unread() {
    let deployment = MockDeployment::new(1).await;
    let daemon = deployment.start(&deployment.options(&json!({}))).await;
    let (client, mut server) = establish(&deployment, daemon.lines).await;
    client.set_nonblocking(true).expect("a non-blocking socket");
    let client = TcpStream::from_std(client).expect("a socket of the runtime");
    write_backlog(&client).await;
    client.set_zero_linger().expect("a socket option");
    drop(client);
    await_no_connection(&daemon).await;
    let mut received = Vec::new();
    let end = within("the end", server.read_to_end(&mut received)).await.expect("in time");
    let error = end.expect_err("a reset, not an orderly end");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

/// Guards against the loss of lines that a client sent before it closed its connection in an orderly way.
#[tokio::test]
async fn lines_sent_before_an_orderly_close_are_all_forwarded() {
    let deployment = MockDeployment::new(1).await;
    let daemon = deployment.start(&deployment.options(&json!({}))).await;
    let (mut client, mut server) = establish(&deployment, daemon.lines).await;
    let lines = b"line\r\n".repeat(5000);
    client.write_all(&lines).expect("sent lines");
    drop(client);
    let mut received = Vec::new();
    within("the end", server.read_to_end(&mut received)).await.expect("in time").expect("an end");
    assert_eq!(received.len(), lines.len());
}
