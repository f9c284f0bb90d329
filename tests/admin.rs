//! Admin requests and metrics: random splits and garbage against the parser, and the endpoint itself.

use std::net::SocketAddr;
use std::sync::Arc;

use ashtide::admin::protocol::{AdminRequest, AdminRequestCodec, AdminRequestError, MAX_REQUEST_LENGTH};
use ashtide::metrics::{Counter, Gauge, Metrics};
use ashtide::net::admin::{self, AdminContext};
use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    TestRunner::new_with_rng(Cases { cases: 256, failure_persistence: None, ..Cases::default() }, rng)
}

/// Feeds a codec in pieces, and then the end.
fn decode_pieces(pieces: &[&[u8]]) -> Result<Option<AdminRequest>, AdminRequestError> {
    let mut buffer = BytesMut::new();
    for piece in pieces {
        buffer.extend_from_slice(piece);
        if let Some(call) = AdminRequestCodec.decode(&mut buffer)? {
            return Ok(Some(call));
        }
    }
    AdminRequestCodec.decode_eof(&mut buffer)
}

#[test]
fn a_call_reads_the_same_however_it_is_cut() {
    let cordon = |out| AdminRequest::Cordon { server: "s-5be2a07c".to_owned(), cordon: out };
    let calls = [
        ("health\n", AdminRequest::Health),
        ("health\r\n", AdminRequest::Health),
        (" counters \n", AdminRequest::Metrics),
        ("cordon s-5be2a07c\r\n", cordon(true)),
        ("uncordon  s-5be2a07c\n", cordon(false)),
    ];
    runner()
        .run(&(0..calls.len(), vec(any::<prop::sample::Index>(), 0..4)), |(which, cuts)| {
            let (line, call) = &calls[which];
            let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(line.len())).collect();
            cuts.extend([0, line.len()]);
            cuts.sort_unstable();
            let pieces: Vec<&[u8]> = cuts.windows(2).map(|cut| &line.as_bytes()[cut[0]..cut[1]]).collect();
            let read = decode_pieces(&pieces).expect("a call");
            prop_assert_eq!(read.as_ref(), Some(call));
            Ok(())
        })
        .unwrap();
}

#[test]
fn garbage_is_no_call_and_never_buffers_more_than_a_line() {
    runner()
        .run(&vec(any::<u8>(), 1..2 * MAX_REQUEST_LENGTH), |bytes| {
            prop_assert!(decode_pieces(&[&bytes]).is_err());
            Ok(())
        })
        .unwrap();
    assert!(matches!(decode_pieces(&[&[b'h'; MAX_REQUEST_LENGTH]]), Err(AdminRequestError::TooLong)));
    for words in [&b"health now\n"[..], b"cordon\n", b"cordon s-0 s-1\n"] {
        assert!(matches!(decode_pieces(&[words]), Err(AdminRequestError::WrongArgumentCount)));
    }
    assert!(matches!(decode_pieces(&[b"health"]), Err(AdminRequestError::Truncated)));
}

#[test]
fn all_classes_are_shown_from_the_start_and_no_others_are_added() {
    let metrics = Metrics::new(&["a".to_owned(), "b\"x".to_owned()]);
    let zeros = metrics.render("");
    // Whoever reads these lines knows their names and their order.
    let classes = ["passed", "dropped", "bad_gateway", "upstream_tries"].into_iter().flat_map(|name| {
        ["a", "b\\\"x"].map(|class| format!("router_{name}_total{{category=\"{class}\"}} 0\n"))
    });
    let closed = ["displaced", "hurried", "stopped", "unasked", "left", "unread", "forgotten"]
        .map(|cause| format!("router_closed_{cause}_total 0\n"));
    let servers = ["known_reading_servers", "skipped_reading_servers"];
    let totals = ["probes_total", "probes_withheld_total", "invariant_violations_total"];
    let gauges = ["in_progress"].into_iter().chain(servers).chain(totals);
    let gauges = gauges.map(|name| format!("router_{name} 0\n"));
    assert_eq!(zeros, classes.chain(closed).chain(gauges).chain(["EOF\n".to_owned()]).collect::<String>());
    metrics.increment(Counter::Attempts, "a");
    metrics.increment(Counter::Rejected, "made up");
    metrics.set_gauge(Gauge::InProgress, 14);
    let text = metrics.render("");
    assert!(text.contains("\nrouter_upstream_tries_total{category=\"a\"} 1\n"), "{text}");
    assert!(text.contains("router_dropped_total{category=\"b\\\"x\"} 0\n"), "{text}");
    assert!(text.contains("\nrouter_in_progress 14\n") && text.ends_with("\nEOF\n"), "{text}");
    assert_eq!(text.lines().count(), zeros.lines().count());
}

async fn send_request(endpoint: SocketAddr, call: &str) -> String {
    let mut caller = TcpStream::connect(endpoint).await.expect("the endpoint is open");
    caller.write_all(call.as_bytes()).await.expect("the call is taken");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.expect("an answer");
    answer
}

#[tokio::test]
async fn the_endpoint_answers_past_any_number_of_silent_callers() {
    let (context, mut calls) = AdminContext::new(Arc::new(Metrics::new(&["a".to_owned()])));
    let health = context.health.clone();
    let endpoint = admin::start("127.0.0.1:0".parse().expect("an address"), context).expect("an endpoint");
    let mut silent = Vec::new();
    for _ in 0..3 * ashtide::config::MAX_ADMIN_CONNECTIONS {
        silent.push(TcpStream::connect(endpoint).await.expect("the endpoint is open"));
    }
    assert!(send_request(endpoint, "health\r\n").await.starts_with("400"), "no list yet");
    health.mark_ready();
    assert!(send_request(endpoint, "health\n").await.starts_with("200"));
    assert!(send_request(endpoint, "counters\n").await.ends_with("\nEOF\n"));
    assert!(send_request(endpoint, "helth\n").await.starts_with("400"));
    assert!(send_request(endpoint, &"x".repeat(MAX_REQUEST_LENGTH)).await.starts_with("400"));
    let core = tokio::spawn(async move {
        for (server, answer) in [("s-0", Ok(())), ("s-9", Err("no server".to_owned()))] {
            let call = calls.recv().await.expect("a call");
            assert_eq!((&call.server[..], call.cordon), (server, true));
            call.reply.send(answer).expect("a caller");
        }
        calls.recv().await
    });
    assert!(send_request(endpoint, "cordon s-0\n").await.starts_with("200"));
    assert!(send_request(endpoint, "cordon s-9\n").await.starts_with("400"));
    // A core that does not answer: a no within the second that the caller is owed.
    let start = std::time::Instant::now();
    assert!(send_request(endpoint, "uncordon s-0\n").await.starts_with("400"));
    assert!(start.elapsed() < std::time::Duration::from_secs(1));
    assert!(core.await.expect("the core's part").is_some_and(|call| !call.cordon));
    health.mark_draining();
    health.mark_ready();
    assert!(send_request(endpoint, "health\n").await.starts_with("400"), "it is leaving");
    drop(silent);
}
