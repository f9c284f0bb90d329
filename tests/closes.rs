//! The ends of client connections and attempts, in sessions over loopback sockets with the test in the place
//! of the event loop. Every client receives its last line, and no data of a cancelled attempt reaches a
//! client or server.

mod frontend;

use std::io::Write;
use std::time::Duration;

use ashtide::config::Capacity;
use ashtide::engine::FinalAnswer;
use ashtide::net::messages::{SessionCommand, SessionEvent};
use ashtide::{Outcome, Span};
use frontend::{
    AMPLE_CAPACITY, CONNECT_TIMEOUT, ClientRequest, ClientWithAttempt, OPEN_LINE, STEP_TIMEOUT,
    SessionHarness, read_to_end, send_command,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

const SINGLE_CLIENT_CAPACITY: Capacity = Capacity { descriptors: 1, max_sessions: 1 };

#[tokio::test]
async fn an_evicted_client_reads_its_rejection_even_if_it_has_just_sent_its_request() {
    let harness = SessionHarness::new(SINGLE_CLIENT_CAPACITY).await;
    let close_permits: Vec<_> =
        std::iter::from_fn(|| harness.frontend.pending_clients.try_acquire_graceful_close()).collect();
    assert_eq!(close_permits.len(), 8, "few graceful closes at a time, as descriptors are short");
    for (close_permits, cause) in [(close_permits, "hurried"), (Vec::new(), "displaced")] {
        let client = harness.connect_client("").await.into_std().expect("a socket");
        client.set_nonblocking(false).expect("blocking mode");
        // The client sends while another client is added; the runtime has not yet polled its socket.
        (&client).write_all(OPEN_LINE.as_bytes()).expect("sent");
        let _next = harness.frontend.pending_clients.add();
        tokio::task::yield_now().await;
        client.set_nonblocking(true).expect("non-blocking mode");
        let mut client = TcpStream::from_std(client).expect("a socket");
        assert_eq!(read_to_end(&mut client).await.expect("no reset"), "BUSY 1000\r\n", "{cause}");
        assert_eq!(harness.closed_count(cause), 1);
        drop(close_permits);
    }
}

#[tokio::test]
async fn shutdown_answers_clients_without_a_request_and_clients_that_connect_later() {
    let harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let mut clients = vec![harness.connect_client("").await, harness.connect_client("OPEN 1").await];
    harness.frontend.pending_clients.close();
    clients.push(harness.connect_client("").await);
    for client in &mut clients {
        assert_eq!(read_to_end(client).await.expect("no reset"), "BUSY 1000\r\n");
    }
    assert_eq!((harness.closed_count("stopped"), harness.frontend.pending_clients.sockets_in_use()), (3, 0));
}

#[tokio::test]
async fn an_incomplete_first_line_is_answered_and_a_client_that_sends_nothing_is_not() {
    let harness = SessionHarness::new(AMPLE_CAPACITY).await;
    for (sent, answer) in [("OPEN 1 2 c=me", "ERR\r\n"), ("PING\r\nOPEN", "PONG\r\nERR\r\n"), ("", "")] {
        let mut client = harness.connect_client(sent).await;
        client.shutdown().await.expect("half-closed");
        assert_eq!(read_to_end(&mut client).await.expect("no reset"), answer, "{sent:?}");
    }
    assert_eq!(harness.closed_count("unasked"), 1);
}

#[tokio::test]
async fn a_client_whose_command_queue_closes_without_an_answer_is_rejected() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    for makes_attempt in [false, true] {
        let mut client = harness.connect_client(OPEN_LINE).await;
        let ClientRequest { id, commands } = harness.next_request().await;
        if makes_attempt {
            drop(harness.start_attempt(id, &commands, 0).await);
            assert!(matches!(
                harness.next_event().await,
                SessionEvent::AttemptEnded { attempt: 0, outcome: Outcome::Reset, .. }
            ));
        }
        drop(commands);
        assert_eq!(read_to_end(&mut client).await.expect("no reset"), "BUSY 1000\r\n");
        assert!(matches!(harness.next_event().await, SessionEvent::ClientLeft { id: left } if left == id));
    }
    assert_eq!(harness.closed_count("forgotten"), 2);
}

#[tokio::test]
async fn an_attempt_that_is_cancelled_while_its_server_accepts_it_is_not_used() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let ClientWithAttempt { mut client, id, commands, server: mut first } =
        harness.client_with_attempt().await;
    first.write_all(b"UP first\r\n").await.expect("sent");
    // The event loop has not processed this event when the attempt times out, and starts another attempt.
    assert!(matches!(harness.next_event().await, SessionEvent::AttemptEstablished { attempt: 0, .. }));
    send_command(&commands, id, SessionCommand::CancelAttempt { attempt: 0 });
    send_command(&commands, id, harness.attempt_command(1));
    assert_eq!(read_to_end(&mut first).await.expect("a clean end"), "", "closed before the second is sent");
    harness.expect_connected(id, 1).await;
    send_command(&commands, id, SessionCommand::SendFirstLine { attempt: 1 });
    let mut second = harness.accept_attempt().await;
    second.write_all(b"UP second\r\n").await.expect("sent");
    assert!(matches!(harness.next_event().await, SessionEvent::AttemptEstablished { attempt: 1, .. }));
    send_command(&commands, id, SessionCommand::ConfirmEstablished { attempt: 1 });
    let mut received = [0; 11];
    timeout(STEP_TIMEOUT, client.read_exact(&mut received))
        .await
        .expect("an answer")
        .expect("an open connection");
    assert_eq!(&received, b"UP second\r\n");
    send_command(&commands, id, SessionCommand::Migrate);
    assert_eq!(read_to_end(&mut client).await.expect("no reset"), "MOVE\r\n");
}

#[tokio::test]
async fn an_invalid_answer_fails_the_attempt_and_later_lines_are_not_forwarded() {
    let long = "UP ".to_owned() + &"x".repeat(8192);
    let cases: [(&[u8], Outcome); 13] = [
        (b"UP\r\n", Outcome::Failed),
        (b"UP \r\n", Outcome::Failed),
        (b"UP a\nUP b\r\n", Outcome::Failed),
        (b"UP \x00\xff\r\n", Outcome::Failed),
        (b"\x16\x03\x01\x02\r\nUP late\r\n", Outcome::Failed),
        (b"ERR\r\nUP late\r\n", Outcome::Failed),
        (b"BUSY\r\nUP late\r\n", Outcome::QueueFull),
        (b"BUSY 40\r\nBUSY 40\r\n", Outcome::QueueFull),
        (b"BUSYUP x\r\n", Outcome::Failed),
        (b"MOVED\r\n", Outcome::Failed),
        (b"MOVE\r\nUP late\r\n", Outcome::Cancelled),
        (long.as_bytes(), Outcome::Reset),
        (b"UP without an end", Outcome::Reset),
    ];
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    for (answer, expected_outcome) in cases {
        let text = String::from_utf8_lossy(answer);
        let ClientWithAttempt { mut client, id, commands, mut server } = harness.client_with_attempt().await;
        server.write_all(answer).await.expect("sent");
        server.shutdown().await.expect("half-closed");
        let event = harness.next_event().await;
        let is_expected = matches!(&event, SessionEvent::AttemptEnded { id: ended, attempt: 0, outcome }
            if *ended == id && *outcome == expected_outcome);
        assert!(is_expected, "{text:?}: {event:?}");
        // A second answer that the server sends after the end of the attempt is not forwarded.
        let _ = server.write_all(b"UP later\r\n").await;
        send_command(&commands, id, SessionCommand::Answer(FinalAnswer::Rejected(Span::from_micros(7_000))));
        assert_eq!(read_to_end(&mut client).await.expect("no reset"), "BUSY 7\r\n", "{text:?}");
    }
}

#[tokio::test]
async fn lines_after_a_servers_answer_are_forwarded_unchanged() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let ClientWithAttempt { mut client, id, commands, mut server } = harness.client_with_attempt().await;
    server.write_all(b"UP one\r\nUP two\r\nhalf a").await.expect("sent");
    assert!(matches!(harness.next_event().await, SessionEvent::AttemptEstablished { attempt: 0, .. }));
    send_command(&commands, id, SessionCommand::ConfirmEstablished { attempt: 0 });
    assert!(
        matches!(harness.next_event().await, SessionEvent::ServerResponded { id: from } if from == id),
        "the server's second line"
    );
    server.write_all(b" line\r\nBUSY\r\nhalf").await.expect("sent");
    for _ in 0..2 {
        assert!(
            matches!(harness.next_event().await, SessionEvent::ServerResponded { id: from } if from == id),
            "a forwarded line, not an answer to the attempt"
        );
    }
    send_command(&commands, id, SessionCommand::Migrate);
    let received = read_to_end(&mut client).await.expect("no reset");
    assert_eq!(received, "UP one\r\nUP two\r\nhalf a line\r\nBUSY\r\nMOVE\r\n", "MOVE only between lines");
}

#[tokio::test]
async fn an_attempt_that_times_out_while_connecting_sends_nothing_later() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    // While the accept queue is full, no further connection is established.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    harness.server = socket.listen(1).expect("a listener");
    let address = harness.server.local_addr().expect("bound");
    let mut queue_fillers = Vec::new();
    while let Ok(Ok(filler)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        queue_fillers.push(filler);
    }
    let mut client = harness.connect_client(OPEN_LINE).await;
    let ClientRequest { id, commands } = harness.next_request().await;
    send_command(&commands, id, harness.attempt_command(0));
    assert!(matches!(
        harness.next_event().await,
        SessionEvent::AttemptEnded { attempt: 0, outcome: Outcome::ConnectError, .. }
    ));
    let accept_connections = async {
        let mut bytes = Vec::new();
        loop {
            let (mut stream, _) = harness.server.accept().await.expect("a connection");
            let _ = timeout(CONNECT_TIMEOUT, stream.read_to_end(&mut bytes)).await;
            assert_eq!(String::from_utf8_lossy(&bytes), "", "sent after the attempt timed out");
        }
    };
    // 1.4 s is longer than the kernel waits before it retransmits a connection request.
    assert!(timeout(Duration::from_millis(1400), accept_connections).await.is_err());
    send_command(&commands, id, SessionCommand::Answer(FinalAnswer::Failed));
    assert_eq!(read_to_end(&mut client).await.expect("no reset"), "ERR\r\n");
}

#[tokio::test]
async fn a_request_sent_while_an_idle_connection_is_closed_is_answered_and_not_forwarded() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let mut client = harness.connect_client("PING\r\n").await;
    let mut pong = [0; 6];
    client.read_exact(&mut pong).await.expect("a PONG");
    assert_eq!(&pong, b"PONG\r\n");
    // The client is idle until its connection is closed, and then sends a request. The session has shut its
    // sending side down by then, and discards the input.
    let mut received = String::new();
    let mut byte = [0];
    while client.read(&mut byte).await.expect("no reset") > 0 {
        received.push(char::from(byte[0]));
        if received.len() == 1 {
            client.write_all(OPEN_LINE.as_bytes()).await.expect("sent");
        }
    }
    assert_eq!(received, "BUSY 1000\r\n");
    client.write_all(b"and more\r\n").await.expect("no reset");
    assert!(timeout(CONNECT_TIMEOUT, harness.events.recv()).await.is_err(), "no request is reported");
}

#[tokio::test]
async fn shutdown_closes_any_number_of_idle_clients_gracefully() {
    let harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let mut clients = Vec::new();
    for _ in 0..20 {
        clients.push(harness.connect_client("").await.into_std().expect("a socket"));
    }
    harness.frontend.pending_clients.close();
    // Each client sends a request before it reads the answer. If the request were not read, the close would
    // be a reset.
    for client in &clients {
        client.set_nonblocking(false).expect("blocking mode");
        (&*client).write_all(OPEN_LINE.as_bytes()).expect("sent");
    }
    tokio::time::sleep(CONNECT_TIMEOUT).await;
    for client in clients {
        (&client).write_all(b"more\r\n").expect("no reset");
        client.set_nonblocking(true).expect("non-blocking mode");
        let mut client = TcpStream::from_std(client).expect("a socket");
        assert_eq!(read_to_end(&mut client).await.expect("no reset"), "BUSY 1000\r\n");
    }
    assert_eq!((harness.closed_count("stopped"), harness.closed_count("hurried")), (20, 0));
}

/// Connects a client, and establishes its connection; the client has read its `UP` line.
async fn establish_connection(harness: &mut SessionHarness) -> ClientWithAttempt {
    let ClientWithAttempt { mut client, id, commands, mut server } = harness.client_with_attempt().await;
    server.write_all(b"UP one\r\n").await.expect("sent");
    assert!(matches!(harness.next_event().await, SessionEvent::AttemptEstablished { attempt: 0, .. }));
    send_command(&commands, id, SessionCommand::ConfirmEstablished { attempt: 0 });
    let mut up = [0; 8];
    client.read_exact(&mut up).await.expect("an UP line");
    ClientWithAttempt { client, id, commands, server }
}

#[tokio::test]
async fn a_clients_last_line_reaches_its_server_even_if_the_server_sends_meanwhile() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    for half_close in [false, true] {
        let ClientWithAttempt { client, id: _, commands: _commands, server } =
            establish_connection(&mut harness).await;
        let client = client.into_std().expect("a socket");
        let server = server.into_std().expect("a socket");
        // The server's lines and the client's end arrive together, so that the server's lines are not read.
        (&client).write_all(b"the last\r\n").expect("sent");
        client.shutdown(std::net::Shutdown::Write).expect("half-closed");
        for _ in 0..50 {
            (&server).write_all(b"unread by anyone\r\n").expect("sent");
        }
        let half_closed_client = half_close.then_some(client);
        let mut server = TcpStream::from_std(server).expect("a socket");
        let mut line = [0; 10];
        timeout(STEP_TIMEOUT, server.read_exact(&mut line)).await.expect("a line").expect("a complete line");
        assert_eq!(&line, b"the last\r\n");
        // A closed client socket answers further data with a reset, which is passed on to the server.
        let end = read_to_end(&mut server).await;
        assert!(!half_close || end.is_ok_and(|more| more.is_empty()), "a clean end, no reset");
        drop((half_closed_client, server));
        loop {
            match harness.next_event().await {
                SessionEvent::AttemptEnded { attempt: 0, outcome, .. } => {
                    break assert_eq!(outcome, Outcome::Cancelled);
                }
                SessionEvent::MessageForwarded { .. } | SessionEvent::ServerResponded { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }
}

#[tokio::test]
async fn a_migrated_connection_ends_without_a_reset_for_its_server() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let ClientWithAttempt { mut client, id, commands, mut server } = establish_connection(&mut harness).await;
    client.write_all(b"a line\r\n").await.expect("sent");
    assert!(matches!(harness.next_event().await, SessionEvent::MessageForwarded { .. }));
    let mut line = [0; 8];
    server.read_exact(&mut line).await.expect("forwarded");
    send_command(&commands, id, SessionCommand::Migrate);
    let server = server.into_std().expect("a socket");
    (&server).write_all(b"its answer\r\n").expect("sent");
    let mut server = TcpStream::from_std(server).expect("a socket");
    assert_eq!(read_to_end(&mut server).await.expect("no reset"), "");
    server.write_all(b"more\r\n").await.expect("no reset");
    drop(server);
    assert!(read_to_end(&mut client).await.expect("no reset").ends_with("MOVE\r\n"));
}
