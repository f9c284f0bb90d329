//! Clients that leave while their request waits, and attempts that are cancelled before their first byte.
//! Sessions run over loopback sockets with the test in the place of the event loop, which determines the
//! order of events.

mod frontend;

use std::time::Duration;

use ashtide::Outcome;
use ashtide::engine::FinalAnswer;
use ashtide::net::messages::{RequestCommand, SessionCommand, SessionEvent};
use ashtide::{RequestId, Span};
use frontend::{
    AMPLE_CAPACITY, ClientRequest, ClientWithAttempt, OPEN_LINE, STEP_TIMEOUT, SessionHarness, read_to_end,
    send_command,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The way in which a client leaves.
#[derive(Debug, Clone, Copy)]
enum LeaveMode {
    Close,
    HalfClose,
    Reset,
}

const ALL_MODES: [LeaveMode; 3] = [LeaveMode::Close, LeaveMode::HalfClose, LeaveMode::Reset];

/// Ends a client's connection before the runtime polls it again. Returns the socket of a half-closed
/// connection, which the caller must keep open.
fn leave(client: TcpStream, mode: LeaveMode) -> Option<std::net::TcpStream> {
    if matches!(mode, LeaveMode::Reset) {
        client.set_zero_linger().expect("set");
    }
    let client = client.into_std().expect("a socket");
    if matches!(mode, LeaveMode::HalfClose) {
        client.shutdown(std::net::Shutdown::Write).expect("half-closed");
        return Some(client);
    }
    None
}

/// Accepts an attempt's connection at the server, and returns all data received until its end.
async fn accept_and_read(harness: &SessionHarness) -> String {
    let (mut attempt, _) =
        timeout(STEP_TIMEOUT, harness.server.accept()).await.expect("a connection").expect("accepted");
    let mut bytes = Vec::new();
    // A reset counts as an end, too.
    let _ = timeout(STEP_TIMEOUT, attempt.read_to_end(&mut bytes)).await.expect("an end");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Checks that the server receives no data after the client and its session have ended. A connection may have
/// been established.
async fn expect_no_data(harness: &SessionHarness, mode: LeaveMode) {
    if let Ok(Ok((mut attempt, _))) = timeout(Duration::from_millis(2), harness.server.accept()).await {
        let mut bytes = Vec::new();
        let _ = timeout(STEP_TIMEOUT, attempt.read_to_end(&mut bytes)).await.expect("an end");
        assert_eq!(String::from_utf8_lossy(&bytes), "", "{mode:?}: data was forwarded");
    }
}

async fn expect_client_left(harness: &mut SessionHarness, id: RequestId, case: &str) {
    let event = harness.next_event().await;
    assert!(matches!(event, SessionEvent::ClientLeft { id: left } if left == id), "{case}: {event:?}");
}

#[tokio::test]
async fn no_attempt_is_made_for_a_client_that_leaves_as_it_is_decided() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    // The client's end and the command are both pending when the session is polled. The end must always be
    // handled first.
    for mode in ALL_MODES.into_iter().cycle().take(30) {
        let client = harness.connect_client(OPEN_LINE).await;
        let ClientRequest { id, commands } = harness.next_request().await;
        let half_closed_client = leave(client, mode);
        send_command(&commands, id, harness.attempt_command(0));
        expect_client_left(&mut harness, id, &format!("{mode:?} while waiting")).await;
        expect_no_data(&harness, mode).await;
        drop(half_closed_client);
    }
}

#[tokio::test]
async fn a_request_is_not_sent_if_its_client_leaves_during_the_connect() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    for mode in ALL_MODES.into_iter().cycle().take(30) {
        let client = harness.connect_client(OPEN_LINE).await;
        let ClientRequest { id, commands } = harness.next_request().await;
        send_command(&commands, id, harness.attempt_command(0));
        harness.expect_connected(id, 0).await;
        let half_closed_client = leave(client, mode);
        send_command(&commands, id, SessionCommand::SendFirstLine { attempt: 0 });
        expect_client_left(&mut harness, id, &format!("{mode:?} during the connect")).await;
        assert_eq!(accept_and_read(&harness).await, "", "{mode:?} during the connect");
        drop(half_closed_client);
    }
}

#[tokio::test]
async fn a_client_that_leaves_during_backoff_or_an_attempt_is_detected_immediately() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let mut left_count = 0;
    for mode in ALL_MODES {
        for attempt_in_flight in [false, true] {
            let ClientWithAttempt { client, id, commands, mut server } = harness.client_with_attempt().await;
            if !attempt_in_flight {
                server.write_all(b"BUSY\r\n").await.expect("sent");
                let event = harness.next_event().await;
                assert!(
                    matches!(
                        event,
                        SessionEvent::AttemptEnded { attempt: 0, outcome: Outcome::QueueFull, .. }
                    ),
                    "{event:?}"
                );
            }
            let half_closed_client = leave(client, mode);
            let case = format!("{mode:?}, attempt in flight: {attempt_in_flight}");
            expect_client_left(&mut harness, id, &case).await;
            let mut bytes = Vec::new();
            let _ = timeout(STEP_TIMEOUT, server.read_to_end(&mut bytes)).await.expect("the attempt's end");
            assert_eq!(harness.closed_count("left"), left_count + 1, "counted in the metrics");
            left_count += 1;
            assert!(
                commands.is_closed()
                    || commands.try_send(RequestCommand { id, command: harness.attempt_command(1) }).is_err(),
                "the session has ended"
            );
            drop(half_closed_client);
        }
    }
}

#[tokio::test]
async fn lines_sent_ahead_do_not_hide_a_clients_end() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    // The maximum that a client may send before it is answered. The end of its connection follows all of it.
    let ahead = format!("{OPEN_LINE}{}", format!("{}\r\n", "x".repeat(500)).repeat(8));
    for mode in [LeaveMode::Close, LeaveMode::HalfClose] {
        for partial_line in ["", "half a line"] {
            let client = harness.connect_client(&format!("{ahead}{partial_line}")).await;
            let ClientRequest { id, commands } = harness.next_request().await;
            let half_closed_client = leave(client, mode);
            send_command(&commands, id, harness.attempt_command(0));
            let case = format!("{mode:?} after {} bytes", ahead.len() + partial_line.len());
            expect_client_left(&mut harness, id, &case).await;
            expect_no_data(&harness, mode).await;
            drop(half_closed_client);
        }
    }
    // A client that sends more is answered with an error, and its request ends.
    for excess in ["one more\r\n".to_owned(), "y".repeat(5000)] {
        let mut client = harness.connect_client(&format!("{ahead}{excess}")).await;
        let ClientRequest { id, commands: _commands } = harness.next_request().await;
        expect_client_left(&mut harness, id, "too much sent ahead").await;
        assert_eq!(read_to_end(&mut client).await.expect("no reset"), "ERR\r\n");
    }
}

#[tokio::test]
async fn no_byte_is_sent_on_a_connection_whose_attempt_was_cancelled_during_the_connect() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let mut client = harness.connect_client(OPEN_LINE).await;
    let ClientRequest { id, commands } = harness.next_request().await;
    send_command(&commands, id, harness.attempt_command(0));
    harness.expect_connected(id, 0).await;
    // Meanwhile discovery has reported the server as draining. The event loop cancels the attempt and starts
    // another.
    send_command(&commands, id, SessionCommand::CancelAttempt { attempt: 0 });
    send_command(&commands, id, harness.attempt_command(1));
    assert_eq!(accept_and_read(&harness).await, "", "cancelled before its first byte");
    harness.expect_connected(id, 1).await;
    // Consent to the first attempt does not apply to the second.
    send_command(&commands, id, SessionCommand::SendFirstLine { attempt: 0 });
    send_command(&commands, id, SessionCommand::CancelAttempt { attempt: 1 });
    assert_eq!(accept_and_read(&harness).await, "", "cancelled before its first byte");
    send_command(&commands, id, SessionCommand::Answer(FinalAnswer::Rejected(Span::ZERO)));
    assert_eq!(read_to_end(&mut client).await.expect("no reset"), "BUSY\r\n");
}
