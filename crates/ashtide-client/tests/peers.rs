//! Tests of the tokio driver against faulty mock gateways that send scripted bytes. Every fault must result
//! in a specific error, and none may cause a hang.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashtide_client::{
    Address, AttemptFailure, Client, ConnectionLoss, GiveUpReason, SendError, ServerCache, Session,
    SessionEvent, SessionRequest, Settings,
};
use ashtide_protocol::PeerFault;
use futures_util::SinkExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time-out of each step of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

fn run_async(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

/// Starts a mock gateway that runs `serve` for every connection, and returns a client for it that makes one
/// attempt.
async fn client_of_mock_gateway<F: Future<Output = ()> + Send + 'static>(
    serve: impl Fn(TcpStream) -> F + Send + 'static,
) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    let settings = Settings { stall_within: Duration::from_millis(200), tries: 1, ..Settings::default() };
    Client::builder().addresses([Address::new(address)]).settings(settings).build().unwrap()
}

fn session_request() -> SessionRequest {
    SessionRequest { reconnects: false, ..SessionRequest::new("meter", "meter-1", Duration::from_secs(2)) }
}

/// Reads the request and sends `bytes` in chunks of `chunk_length`. Then closes the connection if `close` is
/// set, or leaves it open without sending anything.
async fn send_script(mut stream: TcpStream, bytes: Vec<u8>, chunk_length: usize, close: bool) {
    let mut request = [0; 512];
    if !matches!(stream.read(&mut request).await, Ok(1..)) {
        return;
    }
    for chunk in bytes.chunks(chunk_length.max(1)) {
        if stream.write_all(chunk).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
    }
    if !close {
        let _ = stream.read(&mut request).await;
    }
}

/// Connects a client to a mock gateway that runs [`send_script`].
async fn connect_to_script(
    bytes: &'static [u8],
    chunk_length: usize,
    close: bool,
) -> Result<Session, GiveUpReason> {
    let client =
        client_of_mock_gateway(move |stream| send_script(stream, bytes.to_vec(), chunk_length, close)).await;
    timeout(STEP_TIMEOUT, client.connect(session_request()))
        .await
        .expect("step timed out")
        .map_err(|error| error.0)
}

fn attempts_exhausted(last: AttemptFailure) -> Option<GiveUpReason> {
    Some(GiveUpReason::AttemptsExhausted { attempts: 1, last })
}

#[test]
fn invalid_answers_result_in_specific_errors() {
    run_async(async {
        assert_eq!(
            connect_to_script(b"", 1, true).await.err(),
            attempts_exhausted(AttemptFailure::ConnectionLost)
        );
        assert_eq!(
            connect_to_script(b"", 1, false).await.err(),
            Some(GiveUpReason::DeadlineExceeded { last: AttemptFailure::TimedOut })
        );
        assert_eq!(
            connect_to_script(b"ERR\r\n", 2, true).await.err(),
            attempts_exhausted(AttemptFailure::Failed)
        );
        assert_eq!(
            connect_to_script(b"\xff\xfe\r\n", 9, true).await.err(),
            attempts_exhausted(AttemptFailure::Failed)
        );
        assert_eq!(
            connect_to_script(b"UP rec", 4, true).await.err(),
            attempts_exhausted(AttemptFailure::ProtocolViolation(PeerFault::Torn))
        );
        assert_eq!(
            connect_to_script(&[b'x'; 5000], 700, false).await.err(),
            attempts_exhausted(AttemptFailure::ProtocolViolation(PeerFault::TooLong))
        );
        let rejected = connect_to_script(b"BUSY 90\r\nUP late\r\nBUSY 0\r\n", 99, false).await.err();
        assert_eq!(rejected, Some(GiveUpReason::Rejected { retry_after: Duration::from_millis(90) }));
        assert_eq!(
            connect_to_script(b"BUSY soon\r\n", 1, true).await.err(),
            Some(GiveUpReason::Rejected { retry_after: Duration::ZERO })
        );
    });
}

#[test]
fn chunk_length_does_not_affect_parsing() {
    run_async(async {
        let answer = b"UP receipt 7\r\nfirst\r\nBYE\r\n";
        for chunk_length in 1..=answer.len() {
            let mut session =
                connect_to_script(answer, chunk_length, false).await.expect("connection failed");
            let mut events = Vec::new();
            while let Some(event) = timeout(STEP_TIMEOUT, session.next_event()).await.expect("step timed out")
            {
                events.push(event);
            }
            assert_eq!(
                events,
                [SessionEvent::Line("first".into()), SessionEvent::Ended(GiveUpReason::Completed)]
            );
        }
    });
}

#[test]
fn answer_before_the_request_is_a_protocol_violation() {
    run_async(async {
        let client = client_of_mock_gateway(|mut stream| async move {
            let _ = stream.write_all(b"UP early\r\n").await;
            let _ = stream.read(&mut [0; 512]).await;
            let _ = stream.read(&mut [0; 512]).await;
        })
        .await;
        // If the client reads the line only after it has written the request, the line is a valid answer.
        match timeout(STEP_TIMEOUT, client.connect(session_request())).await.expect("step timed out") {
            Ok(_) => {}
            Err(error) => {
                assert_eq!(
                    Some(error.0),
                    attempts_exhausted(AttemptFailure::ProtocolViolation(PeerFault::Unasked))
                )
            }
        }
    });
}

#[test]
fn protocol_violation_after_up_ends_the_connection() {
    run_async(async {
        for (bytes, expected_loss) in [
            (&b"UP a\r\nUP b\r\n"[..], ConnectionLoss::Broken(Some(PeerFault::UpTwice))),
            (b"UP a\r\nhalf a li", ConnectionLoss::Broken(Some(PeerFault::Torn))),
            (b"UP a\r\nMOVE\r\nmore\r\n", ConnectionLoss::Migrated),
        ] {
            let client =
                client_of_mock_gateway(move |stream| send_script(stream, bytes.to_vec(), 64, true)).await;
            let mut session = client
                .connect(SessionRequest { reconnects: true, ..session_request() })
                .await
                .expect("connection failed");
            let event = timeout(STEP_TIMEOUT, session.next_event()).await.expect("step timed out");
            match expected_loss {
                ConnectionLoss::Migrated => assert_eq!(event, Some(SessionEvent::Migrated)),
                reason => {
                    assert_eq!(event, Some(SessionEvent::Disconnected { reason, interrupted_line: None }))
                }
            }
        }
    });
}

#[test]
fn peer_that_does_not_read_is_disconnected_and_the_interrupted_line_is_reported() {
    run_async(async {
        let client = client_of_mock_gateway(|mut stream| async move {
            let mut request = [0; 512];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(b"UP a\r\n").await;
            // The connection stays open, and the mock gateway never reads again.
            std::future::pending::<()>().await;
            drop(stream);
        })
        .await;
        let mut session = client
            .connect(SessionRequest { reconnects: true, ..session_request() })
            .await
            .expect("connection failed");
        let line = vec![b'x'; 4000];
        let fill_queue = async {
            loop {
                tokio::select! {
                    sent = send_line(&mut session, &line) => sent.expect("sending failed"),
                    () = tokio::time::sleep(Duration::from_millis(100)) => return,
                }
            }
        };
        timeout(STEP_TIMEOUT, fill_queue).await.expect("the line queue never became full");
        let event = timeout(STEP_TIMEOUT, session.next_event()).await.expect("step timed out");
        let Some(SessionEvent::Disconnected { reason, interrupted_line }) = event else {
            panic!("{event:?}")
        };
        assert_eq!(
            (reason, interrupted_line.as_deref()),
            (ConnectionLoss::Broken(Some(PeerFault::Stalled)), Some(&line[..]))
        );
    });
}

async fn send_line(session: &mut Session, line: &[u8]) -> Result<(), SendError> {
    session.send(line).await
}

#[test]
fn application_that_does_not_read_causes_back_pressure_without_loss_of_lines() {
    run_async(async {
        const LINES: usize = 20_000;
        let (progress, mut lines_written) = tokio::sync::watch::channel(0);
        let client = client_of_mock_gateway(move |mut stream| {
            let progress = progress.clone();
            async move {
                let _ = stream.read(&mut [0; 512]).await;
                let _ = stream.write_all(b"UP a\r\n").await;
                for number in 0..LINES {
                    if stream.write_all(format!("{number:0>1000}\r\n").as_bytes()).await.is_err() {
                        return;
                    }
                    progress.send_replace(number + 1);
                }
                let _ = stream.write_all(b"BYE\r\n").await;
                let _ = stream.read(&mut [0; 512]).await;
            }
        })
        .await;
        let mut session = client.connect(session_request()).await.expect("connection failed");
        // The mock gateway writes until all buffers are full. It counts as blocked after 200 ms without
        // progress.
        let wait_until_blocked =
            async { while timeout(Duration::from_millis(200), lines_written.changed()).await.is_ok() {} };
        timeout(STEP_TIMEOUT, wait_until_blocked).await.expect("the mock gateway was never blocked");
        assert!(*lines_written.borrow() < LINES, "the buffers must be bounded");
        for number in 0..LINES {
            let event = timeout(STEP_TIMEOUT, session.next_event()).await.expect("step timed out");
            assert_eq!(event, Some(SessionEvent::Line(format!("{number:0>1000}").into())));
        }
        let end = timeout(STEP_TIMEOUT, session.next_event()).await.expect("step timed out");
        assert_eq!(end, Some(SessionEvent::Ended(GiveUpReason::Completed)));
        assert_eq!(session.next_event().await, None);
    });
}

#[test]
fn invalid_lines_are_rejected_before_sending() {
    run_async(async {
        let mut session = connect_to_script(b"UP a\r\n", 9, false).await.expect("connection failed");
        assert_eq!(session.send(b"two\r\nlines").await, Err(SendError::InvalidLine));
        assert_eq!(session.send(b"").await, Err(SendError::InvalidLine));
        assert_eq!(session.send(&[b'x'; 4095]).await, Err(SendError::TooLong(4095)));
        assert_eq!(SinkExt::send(&mut session, "fine".into()).await, Ok(()));
    });
}

#[test]
fn cache_file_prevents_a_restarted_application_from_connecting_during_a_rejection() {
    run_async(async {
        let connections = Arc::new(AtomicU32::new(0));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, accepted) = (listener.local_addr().unwrap(), connections.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(send_script(stream, b"BUSY 25000\r\n".to_vec(), 99, false));
            }
        });
        let file = std::env::temp_dir().join(format!("ashtide-client-{}.json", std::process::id()));
        // The first client has to ignore this invalid cache file.
        std::fs::write(&file, b"{\"version\":1,").unwrap();
        let build =
            || Client::builder().addresses([Address::new(address)]).cache_file(&file).build().unwrap();
        let client = build();
        client.connect(session_request()).await.expect_err("the request was not rejected");
        assert_eq!(connections.load(Ordering::Relaxed), 1);
        drop(client);
        let read_cache = async {
            loop {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
                if let Ok(Some((cache, _))) = ServerCache::read(&file, now.as_millis() as u64) {
                    return cache;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let cache =
            timeout(STEP_TIMEOUT, read_cache).await.expect("the cache file was not written at the end");
        assert_eq!(cache.rejections.len(), 1, "{cache:?}");
        let restarted = build();
        for _ in 0..5 {
            let error =
                restarted.connect(session_request()).await.expect_err("the cached rejection was ignored");
            assert!(matches!(error.0, GiveUpReason::Rejected { .. }), "{error}");
        }
        assert_eq!(connections.load(Ordering::Relaxed), 1, "the restarted client must not connect");
        std::fs::remove_file(&file).unwrap();
    });
}
