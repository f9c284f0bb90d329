//! Admin requests and metrics: the request decoder under random splits and random bytes, the rendered
//! metrics, and the endpoint over sockets.

use std::net::SocketAddr;
use std::sync::Arc;

use ashtide::admin::protocol::{AdminRequest, AdminRequestCodec, AdminRequestError, MAX_REQUEST_LENGTH};
use ashtide::metrics::{Counter, Gauge, Metrics};
use ashtide::net::admin::{self, AdminContext};
use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngAlgorithm, TestRng, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;

/// Returns a property test runner with a fixed seed.
fn seeded_runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() };
    TestRunner::new_with_rng(config, rng)
}

/// Decodes a stream that is received in `pieces` and then ends.
fn decode_pieces(pieces: &[&[u8]]) -> Result<Option<AdminRequest>, AdminRequestError> {
    let mut buffer = BytesMut::new();
    for piece in pieces {
        buffer.extend_from_slice(piece);
        if let Some(request) = AdminRequestCodec.decode(&mut buffer)? {
            return Ok(Some(request));
        }
    }
    AdminRequestCodec.decode_eof(&mut buffer)
}

#[test]
fn a_request_decodes_the_same_however_it_is_split() {
    let cordon_request = |cordon| AdminRequest::Cordon { server: "s-5be2a07c".to_owned(), cordon };
    let requests = [
        ("health\n", AdminRequest::Health),
        ("health\r\n", AdminRequest::Health),
        (" counters \n", AdminRequest::Metrics),
        ("cordon s-5be2a07c\r\n", cordon_request(true)),
        ("uncordon  s-5be2a07c\n", cordon_request(false)),
    ];
    seeded_runner()
        .run(&(0..requests.len(), vec(any::<prop::sample::Index>(), 0..4)), |(request_index, splits)| {
            let (line, request) = &requests[request_index];
            let mut offsets: Vec<usize> = splits.iter().map(|split| split.index(line.len())).collect();
            offsets.extend([0, line.len()]);
            offsets.sort_unstable();
            let pieces: Vec<&[u8]> =
                offsets.windows(2).map(|range| &line.as_bytes()[range[0]..range[1]]).collect();
            let decoded = decode_pieces(&pieces).expect("valid request");
            prop_assert_eq!(decoded.as_ref(), Some(request));
            Ok(())
        })
        .unwrap();
}

#[test]
fn random_bytes_are_rejected_and_at_most_one_line_is_buffered() {
    seeded_runner()
        .run(&vec(any::<u8>(), 1..2 * MAX_REQUEST_LENGTH), |bytes| {
            prop_assert!(decode_pieces(&[&bytes]).is_err());
            Ok(())
        })
        .unwrap();
    assert!(matches!(decode_pieces(&[&[b'h'; MAX_REQUEST_LENGTH]]), Err(AdminRequestError::TooLong)));
    for line in [&b"health now\n"[..], b"cordon\n", b"cordon s-0 s-1\n"] {
        assert!(matches!(decode_pieces(&[line]), Err(AdminRequestError::WrongArgumentCount)));
    }
    assert!(matches!(decode_pieces(&[b"health"]), Err(AdminRequestError::Truncated)));
}

#[test]
fn metrics_include_all_classes_from_the_start_and_no_others() {
    let metrics = Metrics::new(&["a".to_owned(), "b\"x".to_owned()]);
    let initial_text = metrics.render("");
    // Consumers of the metrics depend on their names and their order.
    let classes = ["passed", "dropped", "bad_gateway", "upstream_tries"].into_iter().flat_map(|name| {
        ["a", "b\\\"x"].map(|class| format!("router_{name}_total{{category=\"{class}\"}} 0\n"))
    });
    let closed = ["displaced", "hurried", "stopped", "unasked", "left", "unread", "forgotten"]
        .map(|reason| format!("router_closed_{reason}_total 0\n"));
    let server_counts = ["known_reading_servers", "skipped_reading_servers"];
    let totals = ["probes_total", "probes_withheld_total", "invariant_violations_total"];
    let gauges = ["in_progress"].into_iter().chain(server_counts).chain(totals);
    let gauges = gauges.map(|name| format!("router_{name} 0\n"));
    let expected = classes.chain(closed).chain(gauges).chain(["EOF\n".to_owned()]).collect::<String>();
    assert_eq!(initial_text, expected);
    metrics.increment(Counter::Attempts, "a");
    metrics.increment(Counter::Rejected, "undefined");
    metrics.set_gauge(Gauge::InProgress, 14);
    let text = metrics.render("");
    assert!(text.contains("\nrouter_upstream_tries_total{category=\"a\"} 1\n"), "{text}");
    assert!(text.contains("router_dropped_total{category=\"b\\\"x\"} 0\n"), "{text}");
    assert!(text.contains("\nrouter_in_progress 14\n") && text.ends_with("\nEOF\n"), "{text}");
    assert_eq!(text.lines().count(), initial_text.lines().count());
}

/// Sends a request and returns the response.
async fn send_request(endpoint: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(endpoint).await.expect("connected to the endpoint");
    stream.write_all(request.as_bytes()).await.expect("sent request");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("response");
    response
}

#[tokio::test]
async fn the_endpoint_responds_despite_many_silent_connections() {
    let (context, mut cordon_requests) = AdminContext::new(Arc::new(Metrics::new(&["a".to_owned()])));
    let health = context.health.clone();
    let endpoint =
        admin::start("127.0.0.1:0".parse().expect("valid address"), context).expect("started endpoint");
    let mut silent_connections = Vec::new();
    for _ in 0..3 * ashtide::config::MAX_ADMIN_CONNECTIONS {
        silent_connections.push(TcpStream::connect(endpoint).await.expect("connected to the endpoint"));
    }
    assert!(send_request(endpoint, "health\r\n").await.starts_with("400"), "no endpoint list yet");
    health.mark_ready();
    assert!(send_request(endpoint, "health\n").await.starts_with("200"));
    assert!(send_request(endpoint, "counters\n").await.ends_with("\nEOF\n"));
    assert!(send_request(endpoint, "helth\n").await.starts_with("400"));
    assert!(send_request(endpoint, &"x".repeat(MAX_REQUEST_LENGTH)).await.starts_with("400"));
    let event_loop = tokio::spawn(async move {
        for (server, reply) in [("s-0", Ok(())), ("s-9", Err("no server".to_owned()))] {
            let request = cordon_requests.recv().await.expect("cordon request");
            assert_eq!((&request.server[..], request.cordon), (server, true));
            request.reply.send(reply).expect("waiting endpoint");
        }
        cordon_requests.recv().await
    });
    assert!(send_request(endpoint, "cordon s-0\n").await.starts_with("200"));
    assert!(send_request(endpoint, "cordon s-9\n").await.starts_with("400"));
    // If the event loop does not reply, the endpoint has to respond with an error within a second.
    let start = std::time::Instant::now();
    assert!(send_request(endpoint, "uncordon s-0\n").await.starts_with("400"));
    assert!(start.elapsed() < std::time::Duration::from_secs(1));
    assert!(event_loop.await.expect("finished task").is_some_and(|request| !request.cordon));
    health.mark_draining();
    health.mark_ready();
    assert!(send_request(endpoint, "health\n").await.starts_with("400"), "the process is draining");
    drop(silent_connections);
}
