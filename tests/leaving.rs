//! Clients that leave while they wait, and attempts whose time is over before their first byte: sessions on loopback,
//! with the test as their event loop, which forces each order.

mod frontend;

use std::time::Duration;

use ashtide::Outcome;
use ashtide::engine::FinalAnswer;
use ashtide::net::messages::{RequestCommand, SessionCommand, SessionEvent};
use ashtide::{RequestId, Span};
use frontend::{
    AMPLE_CAPACITY, ClientRequest, ClientWithAttempt, OPEN_LINE, STEP, SessionHarness, read_to_end,
    send_command,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How a client leaves.
#[derive(Debug, Clone, Copy)]
enum Leaves {
    Closes,
    HalfCloses,
    Resets,
}

const ALL: [Leaves; 3] = [Leaves::Closes, Leaves::HalfCloses, Leaves::Resets];

/// Leaves without the runtime's hearing of it yet: what is returned keeps a half-closed socket.
fn leave(client: TcpStream, how: Leaves) -> Option<std::net::TcpStream> {
    if matches!(how, Leaves::Resets) {
        client.set_zero_linger().expect("set");
    }
    let client = client.into_std().expect("a socket");
    if matches!(how, Leaves::HalfCloses) {
        client.shutdown(std::net::Shutdown::Write).expect("ends");
        return Some(client);
    }
    None
}

/// All that a server gets of an attempt whose connection it has accepted, until its end.
async fn got(harness: &SessionHarness) -> String {
    let (mut attempt, _) =
        timeout(STEP, harness.server.accept()).await.expect("a connection").expect("there");
    let mut bytes = Vec::new();
    // A reset is an end, too.
    let _ = timeout(STEP, attempt.read_to_end(&mut bytes)).await.expect("an end");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The client has gone and its session with it: a connection may have come up, but carries nothing.
async fn nothing_arrives(harness: &SessionHarness, how: Leaves) {
    if let Ok(Ok((mut attempt, _))) = timeout(Duration::from_millis(2), harness.server.accept()).await {
        let mut bytes = Vec::new();
        let _ = timeout(STEP, attempt.read_to_end(&mut bytes)).await.expect("an end");
        assert_eq!(String::from_utf8_lossy(&bytes), "", "{how:?}: sent on");
    }
}

async fn left(harness: &mut SessionHarness, id: RequestId, what: &str) {
    let report = harness.next_event().await;
    assert!(matches!(report, SessionEvent::ClientLeft { id: left } if left == id), "{what}: {report:?}");
}

#[tokio::test]
async fn who_leaves_as_an_attempt_is_decided_gets_none() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    // Both are there when the session looks; it must not be a matter of luck which it sees.
    for how in ALL.into_iter().cycle().take(30) {
        let client = harness.client(OPEN_LINE).await;
        let ClientRequest { id, commands } = harness.next_request().await;
        let rest = leave(client, how);
        send_command(&commands, id, harness.attempt_command(0));
        left(&mut harness, id, &format!("{how:?} while it waits")).await;
        nothing_arrives(&harness, how).await;
        drop(rest);
    }
}

#[tokio::test]
async fn who_leaves_while_the_server_is_being_reached_is_not_sent_on() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    for how in ALL.into_iter().cycle().take(30) {
        let client = harness.client(OPEN_LINE).await;
        let ClientRequest { id, commands } = harness.next_request().await;
        send_command(&commands, id, harness.attempt_command(0));
        harness.expect_connected(id, 0).await;
        let rest = leave(client, how);
        send_command(&commands, id, SessionCommand::SendFirstLine { attempt: 0 });
        left(&mut harness, id, &format!("{how:?} in connect")).await;
        assert_eq!(got(&harness).await, "", "{how:?} in connect");
        drop(rest);
    }
}

#[tokio::test]
async fn who_leaves_in_back_off_or_with_an_attempt_out_is_heard_at_once() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let mut seen = 0;
    for how in ALL {
        for out in [false, true] {
            let ClientWithAttempt { client, id, commands, mut server } = harness.client_with_attempt().await;
            if !out {
                server.write_all(b"BUSY\r\n").await.expect("read");
                let report = harness.next_event().await;
                assert!(
                    matches!(
                        report,
                        SessionEvent::AttemptEnded { attempt: 0, outcome: Outcome::QueueFull, .. }
                    ),
                    "{report:?}"
                );
            }
            let rest = leave(client, how);
            left(&mut harness, id, &format!("{how:?}, attempt out: {out}")).await;
            let mut bytes = Vec::new();
            let _ = timeout(STEP, server.read_to_end(&mut bytes)).await.expect("the attempt's end");
            assert_eq!(harness.closed_count("left"), seen + 1, "counted for the operators' door");
            seen += 1;
            assert!(
                commands.is_closed()
                    || commands.try_send(RequestCommand { id, command: harness.attempt_command(1) }).is_err(),
                "no session is left"
            );
            drop(rest);
        }
    }
}

#[tokio::test]
async fn what_a_client_has_sent_ahead_does_not_hide_its_end() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    // As much as a client may say before it is answered: the end stands behind all of it.
    let ahead = format!("{OPEN_LINE}{}", format!("{}\r\n", "x".repeat(500)).repeat(8));
    for how in [Leaves::Closes, Leaves::HalfCloses] {
        for half in ["", "half a line"] {
            let client = harness.client(&format!("{ahead}{half}")).await;
            let ClientRequest { id, commands } = harness.next_request().await;
            let rest = leave(client, how);
            send_command(&commands, id, harness.attempt_command(0));
            left(&mut harness, id, &format!("{how:?} behind {} bytes", ahead.len() + half.len())).await;
            nothing_arrives(&harness, how).await;
            drop(rest);
        }
    }
    // And who says more than that is told so, and called off.
    for more in ["one more\r\n".to_owned(), "y".repeat(5000)] {
        let mut client = harness.client(&format!("{ahead}{more}")).await;
        let ClientRequest { id, commands: _commands } = harness.next_request().await;
        left(&mut harness, id, "too much ahead").await;
        assert_eq!(read_to_end(&mut client).await.expect("no reset"), "ERR\r\n");
    }
}

#[tokio::test]
async fn a_connection_that_comes_up_too_late_carries_no_byte() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let mut client = harness.client(OPEN_LINE).await;
    let ClientRequest { id, commands } = harness.next_request().await;
    send_command(&commands, id, harness.attempt_command(0));
    harness.expect_connected(id, 0).await;
    // Meanwhile its server was told to drain: the event loop cancels the attempt, and starts another.
    send_command(&commands, id, SessionCommand::CancelAttempt { attempt: 0 });
    send_command(&commands, id, harness.attempt_command(1));
    assert_eq!(got(&harness).await, "", "given up before its first byte");
    harness.expect_connected(id, 1).await;
    // A consent to the first is none to the second.
    send_command(&commands, id, SessionCommand::SendFirstLine { attempt: 0 });
    send_command(&commands, id, SessionCommand::CancelAttempt { attempt: 1 });
    assert_eq!(got(&harness).await, "", "given up before its first byte");
    send_command(&commands, id, SessionCommand::Answer(FinalAnswer::Rejected(Span::ZERO)));
    assert_eq!(read_to_end(&mut client).await.expect("no reset"), "BUSY\r\n");
}
