//! The driver against bad peers, each a script of bytes: every one ends in a named error, none in a hang.

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

const STEP: Duration = Duration::from_secs(10);

fn play(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

/// A peer that plays `act` with every client.
async fn peer<F: Future<Output = ()> + Send + 'static>(
    act: impl Fn(TcpStream) -> F + Send + 'static,
) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(act(client));
        }
    });
    let settings = Settings { stall_within: Duration::from_millis(200), tries: 1, ..Settings::default() };
    Client::builder().addresses([Address::new(at)]).settings(settings).build().unwrap()
}

fn wish() -> SessionRequest {
    SessionRequest { reconnects: false, ..SessionRequest::new("meter", "meter-1", Duration::from_secs(2)) }
}

/// Reads the request and answers these bytes in these pieces; then ends, or says nothing.
async fn script(mut client: TcpStream, bytes: Vec<u8>, piece: usize, ends: bool) {
    let mut request = [0; 512];
    if !matches!(client.read(&mut request).await, Ok(1..)) {
        return;
    }
    for part in bytes.chunks(piece.max(1)) {
        if client.write_all(part).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
    }
    if !ends {
        let _ = client.read(&mut request).await;
    }
}

async fn connect(bytes: &'static [u8], piece: usize, ends: bool) -> Result<Session, GiveUpReason> {
    let client = peer(move |stream| script(stream, bytes.to_vec(), piece, ends)).await;
    timeout(STEP, client.connect(wish())).await.expect("no hang").map_err(|error| error.0)
}

fn tries(last: AttemptFailure) -> Option<GiveUpReason> {
    Some(GiveUpReason::AttemptsExhausted { attempts: 1, last })
}

#[test]
fn every_bad_answer_has_a_name() {
    play(async {
        assert_eq!(connect(b"", 1, true).await.err(), tries(AttemptFailure::ConnectionLost));
        assert_eq!(
            connect(b"", 1, false).await.err(),
            Some(GiveUpReason::DeadlineExceeded { last: AttemptFailure::TimedOut })
        );
        assert_eq!(connect(b"ERR\r\n", 2, true).await.err(), tries(AttemptFailure::Failed));
        assert_eq!(connect(b"\xff\xfe\r\n", 9, true).await.err(), tries(AttemptFailure::Failed));
        assert_eq!(
            connect(b"UP rec", 4, true).await.err(),
            tries(AttemptFailure::ProtocolViolation(PeerFault::Torn))
        );
        assert_eq!(
            connect(&[b'x'; 5000], 700, false).await.err(),
            tries(AttemptFailure::ProtocolViolation(PeerFault::TooLong))
        );
        let refused = connect(b"BUSY 90\r\nUP late\r\nBUSY 0\r\n", 99, false).await.err();
        assert_eq!(refused, Some(GiveUpReason::Rejected { retry_after: Duration::from_millis(90) }));
        assert_eq!(
            connect(b"BUSY soon\r\n", 1, true).await.err(),
            Some(GiveUpReason::Rejected { retry_after: Duration::ZERO })
        );
    });
}

#[test]
fn an_answer_cut_at_any_byte_is_the_same_answer() {
    play(async {
        let whole = b"UP receipt 7\r\nfirst\r\nBYE\r\n";
        for piece in 1..=whole.len() {
            let mut session = connect(whole, piece, false).await.expect("it is up");
            let mut rest = Vec::new();
            while let Some(event) = timeout(STEP, session.next_event()).await.expect("no hang") {
                rest.push(event);
            }
            assert_eq!(
                rest,
                [SessionEvent::Line("first".into()), SessionEvent::Ended(GiveUpReason::Completed)]
            );
        }
    });
}

#[test]
fn who_speaks_before_it_is_asked_is_left() {
    play(async {
        let client = peer(|mut stream| async move {
            let _ = stream.write_all(b"UP early\r\n").await;
            let _ = stream.read(&mut [0; 512]).await;
            let _ = stream.read(&mut [0; 512]).await;
        })
        .await;
        // The answer may be read before or after the request is written: then it cannot be told from one.
        match timeout(STEP, client.connect(wish())).await.expect("no hang") {
            Ok(_) => {}
            Err(error) => {
                assert_eq!(Some(error.0), tries(AttemptFailure::ProtocolViolation(PeerFault::Unasked)))
            }
        }
    });
}

#[test]
fn what_breaks_the_protocol_later_ends_the_connection() {
    play(async {
        for (bytes, why) in [
            (&b"UP a\r\nUP b\r\n"[..], ConnectionLoss::Broken(Some(PeerFault::UpTwice))),
            (b"UP a\r\nhalf a li", ConnectionLoss::Broken(Some(PeerFault::Torn))),
            (b"UP a\r\nMOVE\r\nmore\r\n", ConnectionLoss::Migrated),
        ] {
            let client = peer(move |stream| script(stream, bytes.to_vec(), 64, true)).await;
            let mut session =
                client.connect(SessionRequest { reconnects: true, ..wish() }).await.expect("it is up");
            let event = timeout(STEP, session.next_event()).await.expect("no hang");
            match why {
                ConnectionLoss::Migrated => assert_eq!(event, Some(SessionEvent::Migrated)),
                why => assert_eq!(
                    event,
                    Some(SessionEvent::Disconnected { reason: why, interrupted_line: None })
                ),
            }
        }
    });
}

#[test]
fn a_peer_that_does_not_read_is_left_and_what_was_cut_is_told() {
    play(async {
        let client = peer(|mut stream| async move {
            let mut request = [0; 512];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(b"UP a\r\n").await;
            // Open, and never read again.
            std::future::pending::<()>().await;
            drop(stream);
        })
        .await;
        let mut session =
            client.connect(SessionRequest { reconnects: true, ..wish() }).await.expect("it is up");
        let line = vec![b'x'; 4000];
        let stuck = async {
            loop {
                tokio::select! {
                    sent = session_send(&mut session, &line) => sent.expect("taken, until nothing is"),
                    () = tokio::time::sleep(Duration::from_millis(100)) => return,
                }
            }
        };
        timeout(STEP, stuck).await.expect("the queue fills, and no more is taken");
        let event = timeout(STEP, session.next_event()).await.expect("no hang");
        let Some(SessionEvent::Disconnected { reason: why, interrupted_line: cut }) = event else {
            panic!("{event:?}")
        };
        assert_eq!(
            (why, cut.as_deref()),
            (ConnectionLoss::Broken(Some(PeerFault::Stalled)), Some(&line[..]))
        );
    });
}

async fn session_send(session: &mut Session, line: &[u8]) -> Result<(), SendError> {
    session.send(line).await
}

#[test]
fn an_application_that_does_not_read_holds_its_server_back_and_loses_nothing() {
    play(async {
        const LINES: usize = 20_000;
        let (sent, mut written) = tokio::sync::watch::channel(0);
        let client = peer(move |mut stream| {
            let sent = sent.clone();
            async move {
                let _ = stream.read(&mut [0; 512]).await;
                let _ = stream.write_all(b"UP a\r\n").await;
                for number in 0..LINES {
                    if stream.write_all(format!("{number:0>1000}\r\n").as_bytes()).await.is_err() {
                        return;
                    }
                    sent.send_replace(number + 1);
                }
                let _ = stream.write_all(b"BYE\r\n").await;
                let _ = stream.read(&mut [0; 512]).await;
            }
        })
        .await;
        let mut session = client.connect(wish()).await.expect("it is up");
        // The peer goes on until all buffers are full, and then waits: nothing new within a while.
        let held = async { while timeout(Duration::from_millis(200), written.changed()).await.is_ok() {} };
        timeout(STEP, held).await.expect("it is held back");
        assert!(*written.borrow() < LINES, "bounded buffers");
        for number in 0..LINES {
            let event = timeout(STEP, session.next_event()).await.expect("no hang");
            assert_eq!(event, Some(SessionEvent::Line(format!("{number:0>1000}").into())));
        }
        let end = timeout(STEP, session.next_event()).await.expect("no hang");
        assert_eq!(end, Some(SessionEvent::Ended(GiveUpReason::Completed)));
        assert_eq!(session.next_event().await, None);
    });
}

#[test]
fn what_cannot_be_a_line_is_refused_before_it_is_sent() {
    play(async {
        let mut session = connect(b"UP a\r\n", 9, false).await.expect("it is up");
        assert_eq!(session.send(b"two\r\nlines").await, Err(SendError::InvalidLine));
        assert_eq!(session.send(b"").await, Err(SendError::InvalidLine));
        assert_eq!(session.send(&[b'x'; 4095]).await, Err(SendError::TooLong(4095)));
        assert_eq!(SinkExt::send(&mut session, "fine".into()).await, Ok(()));
    });
}

#[test]
fn a_state_file_keeps_a_restarted_app_from_knocking_again() {
    play(async {
        let knocks = Arc::new(AtomicU32::new(0));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (at, counted) = (listener.local_addr().unwrap(), knocks.clone());
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                counted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(script(client, b"BUSY 25000\r\n".to_vec(), 99, false));
            }
        });
        let file = std::env::temp_dir().join(format!("ashtide-client-{}.json", std::process::id()));
        // A file that cannot be used is left out.
        std::fs::write(&file, b"{\"version\":1,").unwrap();
        let build = || Client::builder().addresses([Address::new(at)]).cache_file(&file).build().unwrap();
        let client = build();
        client.connect(wish()).await.expect_err("refused");
        assert_eq!(knocks.load(Ordering::Relaxed), 1);
        drop(client);
        let written = async {
            loop {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
                if let Ok(Some((learnt, _))) = ServerCache::read(&file, now.as_millis() as u64) {
                    return learnt;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let learnt = timeout(STEP, written).await.expect("the state is written at the end");
        assert_eq!(learnt.rejections.len(), 1, "{learnt:?}");
        let again = build();
        for _ in 0..5 {
            let refused = again.connect(wish()).await.expect_err("it knows that nobody is taken yet");
            assert!(matches!(refused.0, GiveUpReason::Rejected { .. }), "{refused}");
        }
        assert_eq!(knocks.load(Ordering::Relaxed), 1, "and does not ask");
        std::fs::remove_file(&file).unwrap();
    });
}
