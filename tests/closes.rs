//! How clients and attempts end: sessions on loopback, with the test as their event loop. Every client reads the last
//! line that is due, and nothing of a cancelled attempt reaches anyone.

mod frontend;

use std::io::Write;
use std::time::Duration;

use ashtide::config::Capacity;
use ashtide::engine::FinalAnswer;
use ashtide::net::messages::{SessionCommand, SessionEvent};
use ashtide::{Outcome, Span};
use frontend::{
    AMPLE_CAPACITY, CONNECT, ClientRequest, ClientWithAttempt, OPEN_LINE, STEP, SessionHarness, read_to_end,
    send_command,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

const ONE: Capacity = Capacity { descriptors: 1, max_sessions: 1 };

#[tokio::test]
async fn a_displaced_client_reads_its_refusal_whatever_it_has_just_sent() {
    let harness = SessionHarness::new(ONE).await;
    let closers: Vec<_> =
        std::iter::from_fn(|| harness.frontend.pending_clients.try_acquire_graceful_close()).collect();
    assert_eq!(closers.len(), 8, "few are waited for, as descriptors are short");
    for (closer, cause) in [(closers, "hurried"), (Vec::new(), "displaced")] {
        let client = harness.client("").await.into_std().expect("a socket");
        client.set_nonblocking(false).expect("blocks");
        // It speaks at the moment at which another comes: the runtime has not heard of it yet.
        (&client).write_all(OPEN_LINE.as_bytes()).expect("sent");
        let _next = harness.frontend.pending_clients.add();
        tokio::task::yield_now().await;
        client.set_nonblocking(true).expect("waits");
        let mut client = TcpStream::from_std(client).expect("a socket");
        assert_eq!(read_to_end(&mut client).await.expect("no reset"), "BUSY 1000\r\n", "{cause}");
        assert_eq!(harness.closed_count(cause), 1);
        drop(closer);
    }
}

#[tokio::test]
async fn a_stop_tells_those_that_have_not_asked_yet_and_those_that_still_come() {
    let harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let mut clients = vec![harness.client("").await, harness.client("OPEN 1").await];
    harness.frontend.pending_clients.close();
    clients.push(harness.client("").await);
    for client in &mut clients {
        assert_eq!(read_to_end(client).await.expect("no reset"), "BUSY 1000\r\n");
    }
    assert_eq!((harness.closed_count("stopped"), harness.frontend.pending_clients.sockets_in_use()), (3, 0));
}

#[tokio::test]
async fn a_first_line_that_ends_half_way_is_answered_and_silence_is_not() {
    let harness = SessionHarness::new(AMPLE_CAPACITY).await;
    for (says, answer) in [("OPEN 1 2 c=me", "ERR\r\n"), ("PING\r\nOPEN", "PONG\r\nERR\r\n"), ("", "")] {
        let mut client = harness.client(says).await;
        client.shutdown().await.expect("ends");
        assert_eq!(read_to_end(&mut client).await.expect("no reset"), answer, "{says:?}");
    }
    assert_eq!(harness.closed_count("unasked"), 1);
}

#[tokio::test]
async fn a_client_whom_the_core_forgets_is_refused() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    for attempt in [false, true] {
        let mut client = harness.client(OPEN_LINE).await;
        let ClientRequest { id, commands } = harness.next_request().await;
        if attempt {
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
async fn an_attempt_that_comes_up_as_it_is_given_up_serves_nobody() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let ClientWithAttempt { mut client, id, commands, server: mut first } =
        harness.client_with_attempt().await;
    first.write_all(b"UP first\r\n").await.expect("read");
    // The event loop does not know of it when the attempt's time is up, and starts another.
    assert!(matches!(harness.next_event().await, SessionEvent::AttemptEstablished { attempt: 0, .. }));
    send_command(&commands, id, SessionCommand::CancelAttempt { attempt: 0 });
    send_command(&commands, id, harness.attempt_command(1));
    assert_eq!(read_to_end(&mut first).await.expect("an end"), "", "closed before the second is sent");
    harness.expect_connected(id, 1).await;
    send_command(&commands, id, SessionCommand::SendFirstLine { attempt: 1 });
    let mut second = harness.accept_attempt().await;
    second.write_all(b"UP second\r\n").await.expect("read");
    assert!(matches!(harness.next_event().await, SessionEvent::AttemptEstablished { attempt: 1, .. }));
    send_command(&commands, id, SessionCommand::ConfirmEstablished { attempt: 1 });
    let mut received = [0; 11];
    timeout(STEP, client.read_exact(&mut received)).await.expect("an answer").expect("stands");
    assert_eq!(&received, b"UP second\r\n");
    send_command(&commands, id, SessionCommand::Migrate);
    assert_eq!(read_to_end(&mut client).await.expect("no reset"), "MOVE\r\n");
}

#[tokio::test]
async fn a_spoilt_answer_is_no_answer_and_what_follows_it_reaches_nobody() {
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
    for (spoilt, outcome) in cases {
        let what = String::from_utf8_lossy(spoilt);
        let ClientWithAttempt { mut client, id, commands, mut server } = harness.client_with_attempt().await;
        server.write_all(spoilt).await.expect("sent");
        server.shutdown().await.expect("ended");
        let ended = harness.next_event().await;
        let is = matches!(&ended, SessionEvent::AttemptEnded { id: ended, attempt: 0, outcome: what } if *ended == id && *what == outcome);
        assert!(is, "{what:?}: {ended:?}");
        // A second answer some milliseconds late finds nobody.
        let _ = server.write_all(b"UP later\r\n").await;
        send_command(&commands, id, SessionCommand::Answer(FinalAnswer::Rejected(Span::from_micros(7_000))));
        assert_eq!(read_to_end(&mut client).await.expect("no reset"), "BUSY 7\r\n", "{what:?}");
    }
}

#[tokio::test]
async fn what_a_server_says_behind_its_answer_passes_as_it_came() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let ClientWithAttempt { mut client, id, commands, mut server } = harness.client_with_attempt().await;
    server.write_all(b"UP one\r\nUP two\r\nhalf a").await.expect("sent");
    assert!(matches!(harness.next_event().await, SessionEvent::AttemptEstablished { attempt: 0, .. }));
    send_command(&commands, id, SessionCommand::ConfirmEstablished { attempt: 0 });
    assert!(
        matches!(harness.next_event().await, SessionEvent::ServerResponded { id: responded } if responded == id),
        "its second line"
    );
    server.write_all(b" line\r\nBUSY\r\nhalf").await.expect("sent");
    for _ in 0..2 {
        assert!(
            matches!(harness.next_event().await, SessionEvent::ServerResponded { id: responded } if responded == id),
            "a line, and no answer"
        );
    }
    send_command(&commands, id, SessionCommand::Migrate);
    let received = read_to_end(&mut client).await.expect("no reset");
    assert_eq!(received, "UP one\r\nUP two\r\nhalf a line\r\nBUSY\r\nMOVE\r\n", "between two lines");
}

#[tokio::test]
async fn a_connection_given_up_before_it_comes_up_sends_nothing_later() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    // A full queue keeps connections from coming up, until it is emptied.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    harness.server = socket.listen(1).expect("listens");
    let at = harness.server.local_addr().expect("bound");
    let mut fillers = Vec::new();
    while let Ok(Ok(filler)) = timeout(CONNECT, TcpStream::connect(at)).await {
        fillers.push(filler);
    }
    let mut client = harness.client(OPEN_LINE).await;
    let ClientRequest { id, commands } = harness.next_request().await;
    send_command(&commands, id, harness.attempt_command(0));
    assert!(matches!(
        harness.next_event().await,
        SessionEvent::AttemptEnded { attempt: 0, outcome: Outcome::ConnectError, .. }
    ));
    // Longer than a system waits before it tries to connect again.
    let late = async {
        let mut bytes = Vec::new();
        loop {
            let (mut stream, _) = harness.server.accept().await.expect("listens");
            let _ = timeout(CONNECT, stream.read_to_end(&mut bytes)).await;
            assert_eq!(String::from_utf8_lossy(&bytes), "", "sent after it was given up");
        }
    };
    assert!(timeout(Duration::from_millis(1400), late).await.is_err());
    send_command(&commands, id, SessionCommand::Answer(FinalAnswer::Failed));
    assert_eq!(read_to_end(&mut client).await.expect("no reset"), "ERR\r\n");
}

#[tokio::test]
async fn who_asks_as_a_resting_connection_ends_has_an_answer_and_is_not_sent_on() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let mut client = harness.client("PING\r\n").await;
    let mut pong = [0; 6];
    client.read_exact(&mut pong).await.expect("there");
    assert_eq!(&pong, b"PONG\r\n");
    // It rests until it is ended, and asks in that moment: the sending has been shut down, and it is read on.
    let mut received = String::new();
    let mut byte = [0];
    while client.read(&mut byte).await.expect("no reset") > 0 {
        received.push(char::from(byte[0]));
        if received.len() == 1 {
            client.write_all(OPEN_LINE.as_bytes()).await.expect("taken");
        }
    }
    assert_eq!(received, "BUSY 1000\r\n");
    client.write_all(b"and more\r\n").await.expect("no reset");
    assert!(timeout(CONNECT, harness.events.recv()).await.is_err(), "no request of it");
}

#[tokio::test]
async fn a_stop_waits_for_all_that_rest_however_many() {
    let harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let mut clients = Vec::new();
    for _ in 0..20 {
        clients.push(harness.client("").await.into_std().expect("a socket"));
    }
    harness.frontend.pending_clients.close();
    // Each asks before it has heard of the stop: unread, that would be a reset at its end.
    for client in &clients {
        client.set_nonblocking(false).expect("blocks");
        (&*client).write_all(OPEN_LINE.as_bytes()).expect("sent");
    }
    tokio::time::sleep(CONNECT).await;
    for client in clients {
        (&client).write_all(b"more\r\n").expect("not reset");
        client.set_nonblocking(true).expect("waits");
        let mut client = TcpStream::from_std(client).expect("a socket");
        assert_eq!(read_to_end(&mut client).await.expect("no reset"), "BUSY 1000\r\n");
    }
    assert_eq!((harness.closed_count("stopped"), harness.closed_count("hurried")), (20, 0));
}

/// A client whose connection is established; it has read so.
async fn established(harness: &mut SessionHarness) -> ClientWithAttempt {
    let ClientWithAttempt { mut client, id, commands, mut server } = harness.client_with_attempt().await;
    server.write_all(b"UP one\r\n").await.expect("read");
    assert!(matches!(harness.next_event().await, SessionEvent::AttemptEstablished { attempt: 0, .. }));
    send_command(&commands, id, SessionCommand::ConfirmEstablished { attempt: 0 });
    let mut up = [0; 8];
    client.read_exact(&mut up).await.expect("stands");
    ClientWithAttempt { client, id, commands, server }
}

#[tokio::test]
async fn a_clients_last_line_reaches_its_server_whatever_that_says_meanwhile() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    for half in [false, true] {
        let ClientWithAttempt { client, id: _, commands: _commands, server } =
            established(&mut harness).await;
        let client = client.into_std().expect("a socket");
        let server = server.into_std().expect("a socket");
        // The server's line and the client's end are there together; nobody reads the one any more.
        (&client).write_all(b"the last\r\n").expect("sent");
        client.shutdown(std::net::Shutdown::Write).expect("ends");
        for _ in 0..50 {
            (&server).write_all(b"unread by anyone\r\n").expect("sent");
        }
        let rest = half.then_some(client);
        let mut server = TcpStream::from_std(server).expect("a socket");
        let mut line = [0; 10];
        timeout(STEP, server.read_exact(&mut line)).await.expect("a line").expect("whole");
        assert_eq!(&line, b"the last\r\n");
        // A client that is gone answers what comes for it with a reset, and that is passed on as one.
        let end = read_to_end(&mut server).await;
        assert!(!half || end.is_ok_and(|more| more.is_empty()), "a clean end, no reset");
        drop((rest, server));
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
async fn a_server_whose_client_is_moved_has_a_clean_end() {
    let mut harness = SessionHarness::new(AMPLE_CAPACITY).await;
    let ClientWithAttempt { mut client, id, commands, mut server } = established(&mut harness).await;
    client.write_all(b"a line\r\n").await.expect("sent");
    assert!(matches!(harness.next_event().await, SessionEvent::MessageForwarded { .. }));
    let mut line = [0; 8];
    server.read_exact(&mut line).await.expect("passed on");
    send_command(&commands, id, SessionCommand::Migrate);
    let server = server.into_std().expect("a socket");
    (&server).write_all(b"its answer\r\n").expect("sent");
    let mut server = TcpStream::from_std(server).expect("a socket");
    assert_eq!(read_to_end(&mut server).await.expect("no reset"), "");
    server.write_all(b"more\r\n").await.expect("still read");
    drop(server);
    assert!(read_to_end(&mut client).await.expect("no reset").ends_with("MOVE\r\n"));
}
