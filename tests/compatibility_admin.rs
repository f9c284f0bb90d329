//! Compatibility of the admin endpoint: requests, responses and metrics, byte for byte.

mod mock_deployment;
mod transcripts;

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use ashtide::admin::protocol::{
    AdminRequest, AdminRequestCodec, AdminRequestError, error_response, success_response,
};
use ashtide::fleet::maintenance::MaintenanceCommand;
use ashtide::metrics::{CloseReason, Counter, Gauge, Metrics};
use ashtide::net::admin::{self, AdminContext, CordonRequest};
use ashtide_testkit::daemon::Options;
use bytes::BytesMut;
use mock_deployment::MockDeployment;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Decoder;
use transcripts::{assert_outcomes, assert_written, escape, unescape};

/// Formats a request as in the fixtures.
fn format_request(request: AdminRequest) -> String {
    match request {
        AdminRequest::Health => "health".to_owned(),
        AdminRequest::Metrics => "counters".to_owned(),
        AdminRequest::Members => "members".to_owned(),
        AdminRequest::SharedState => "state".to_owned(),
        AdminRequest::Quota => "quota".to_owned(),
        AdminRequest::Maintenance(MaintenanceCommand::List) => "maintenance list".to_owned(),
        AdminRequest::Maintenance(MaintenanceCommand::Request(name, reason)) => {
            format!("maintenance request [{name}] [{reason}]")
        }
        AdminRequest::Maintenance(MaintenanceCommand::Cancel(name)) => format!("maintenance cancel [{name}]"),
        AdminRequest::Maintenance(MaintenanceCommand::Done(name)) => format!("maintenance done [{name}]"),
        AdminRequest::Cordon { server, cordon: true } => format!("out [{server}]"),
        AdminRequest::Cordon { server, cordon: false } => format!("back [{server}]"),
    }
}

/// Formats the outcome of decoding a request as in the fixtures.
fn format_outcome(outcome: Result<Option<AdminRequest>, AdminRequestError>) -> String {
    match outcome {
        Ok(Some(request)) => format_request(request),
        Ok(None) => "nothing".to_owned(),
        Err(error) => format!("error {error}"),
    }
}

#[test]
fn requests_decode_as_recorded() {
    assert_outcomes("admin/calls.txt", 61, |input| {
        let mut buffer = BytesMut::from(&unescape(input)[..]);
        let outcome = format_outcome(AdminRequestCodec.decode_eof(&mut buffer));
        format!("{outcome}\nrest {}", escape(&buffer))
    });
}

#[test]
fn a_request_has_at_most_512_bytes_including_its_end_of_line() {
    let decode_length = |length: usize, line_end: &str| {
        let line = format!("cordon {}{line_end}", "x".repeat(length - "cordon ".len() - line_end.len()));
        format_outcome(AdminRequestCodec.decode_eof(&mut BytesMut::from(line.as_bytes())))
    };
    assert_eq!(decode_length(512, "\n"), format!("out [{}]", "x".repeat(504)));
    assert_eq!(decode_length(512, "\r\n"), format!("out [{}]", "x".repeat(503)));
    assert_eq!(decode_length(513, "\n"), "error over 512 bytes");
    assert_eq!(decode_length(512, ""), "error over 512 bytes");
    assert_eq!(decode_length(511, ""), "error no end of line");
}

#[test]
fn a_response_is_a_line_that_starts_with_a_code() {
    assert_eq!(&success_response("ready")[..], b"200 ready\n");
    assert_eq!(&error_response("not ready")[..], b"400 not ready\n");
}

/// Returns metrics in which every value is different.
fn distinct_metrics() -> Arc<Metrics> {
    let metrics = Metrics::new(&["read".to_owned(), "a\\b\"c\nd".to_owned()]);
    let mut value = 0;
    for counter in [Counter::Established, Counter::Rejected, Counter::Failed, Counter::Attempts] {
        for class in ["read", "a\\b\"c\nd", "undefined"] {
            value += 1;
            (0..value).for_each(|_| metrics.increment(counter, class));
        }
    }
    let reasons = [
        CloseReason::Evicted,
        CloseReason::EvictedImmediately,
        CloseReason::ProcessStopped,
        CloseReason::NoRequest,
        CloseReason::ClientLeft,
        CloseReason::AnswerUnread,
        CloseReason::Unanswered,
    ];
    for reason in reasons {
        value += 1;
        (0..value).for_each(|_| metrics.record_close(reason));
    }
    let gauges = [
        Gauge::InProgress,
        Gauge::KnownServers,
        Gauge::SkippedServers,
        Gauge::HealthChecks,
        Gauge::HealthChecksWithheld,
        Gauge::InvariantViolations,
    ];
    for gauge in gauges {
        value += 1;
        metrics.set_gauge(gauge, 1_000 * value);
    }
    Arc::new(metrics)
}

#[test]
fn metrics_are_rendered_as_recorded() {
    assert_written("admin/metrics.txt", distinct_metrics().render("").as_bytes());
    assert_written("admin/metrics_and_more.txt", distinct_metrics().render("router_more 1\n").as_bytes());
    assert_written("admin/no_metrics.txt", Metrics::new(&[]).render("").as_bytes());
}

/// Sends bytes to the endpoint, shuts down the sending direction and returns the response.
async fn send_request(endpoint: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(endpoint).await.expect("connected to the endpoint");
    stream.write_all(request).await.expect("sent request");
    stream.shutdown().await.expect("shut down sending");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("end of the response");
    response
}

/// Mock event loop: servers whose names start with `s` exist, and requests for the server `silent` get no
/// reply.
async fn run_mock_event_loop(mut requests: mpsc::Receiver<CordonRequest>) {
    let mut unanswered = Vec::new();
    while let Some(request) = requests.recv().await {
        if request.server == "silent" {
            unanswered.push(request);
            continue;
        }
        let reply = match request.server.starts_with('s') {
            true => Ok(()),
            false => Err(format!(
                "no server '{}' ({})",
                request.server,
                if request.cordon { "out" } else { "back" }
            )),
        };
        request.reply.send(reply).expect("waiting endpoint");
    }
}

#[tokio::test]
async fn the_endpoint_responds_as_recorded() {
    let (context, cordon_requests) = AdminContext::new(distinct_metrics());
    let health = context.health.clone();
    let endpoint =
        admin::start("127.0.0.1:0".parse().expect("valid address"), context).expect("started endpoint");
    tokio::spawn(run_mock_event_loop(cordon_requests));
    let runtime = tokio::runtime::Handle::current();
    let compare_with_fixture = move || {
        assert_outcomes("admin/answers.txt", 38, |input| {
            match input {
                "it is ready" => health.mark_ready(),
                "it is leaving" => health.mark_draining(),
                request => return escape(&runtime.block_on(send_request(endpoint, &unescape(request)))),
            }
            "done".to_owned()
        });
    };
    tokio::task::spawn_blocking(compare_with_fixture).await.expect("responses as recorded");
}

#[tokio::test]
async fn an_incomplete_request_times_out_after_five_seconds() {
    let (context, _cordon_requests) = AdminContext::new(distinct_metrics());
    let endpoint =
        admin::start("127.0.0.1:0".parse().expect("valid address"), context).expect("started endpoint");
    let start = std::time::Instant::now();
    let mut stream = TcpStream::connect(endpoint).await.expect("connected to the endpoint");
    stream.write_all(b"heal").await.expect("sent part of a request");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("end of the response");
    assert_eq!(response, b"400 no call in time\n");
    assert!(start.elapsed() >= Duration::from_secs(5), "{:?}", start.elapsed());
}

/// Returns a UDP address that was free when it was chosen.
fn free_udp_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("free port");
    socket.local_addr().expect("bound socket")
}

/// Returns the lines of the metrics without their values.
fn metric_names(metrics: &str) -> String {
    let without_value = |line: &str| line.rsplit_once(' ').map_or(line, |(name, _)| name).to_owned() + "\n";
    metrics.lines().map(without_value).collect()
}

/// Checks the metrics of a daemon in which every subsystem that has metrics is configured.
#[tokio::test]
async fn a_daemon_has_all_metrics_in_their_order() {
    let deployment = MockDeployment::new(2).await;
    let write_file = |name: &str, text: String| {
        let path = deployment.folder.join(name);
        std::fs::write(&path, text).expect("written file");
        path.into_os_string()
    };
    let (view_address, maintenance_address) = (free_udp_address(), free_udp_address());
    let quota =
        "generation = 1\n[partners.north]\nper_s = 24.0\nconnections = 120\n[partners.south]\nper_s = 12.0\n";
    let folder = deployment.folder.join("maintenance");
    let maintenance = format!(
        "gateways = [\"{maintenance_address}\"]\nslot = 0\nlisten = \"{maintenance_address}\"\n\
         tier = 1\nfolder = {folder:?}\nvoters = 1\n\
         max_out = 2\nmax_gateways = 0\nfloor = 3\nlease_s = 6\ndrain_s = 60\nwork_s = 3600\n"
    );
    let arguments = vec![
        "--quota".into(),
        write_file("quota.toml", quota.to_owned()),
        "--maintenance".into(),
        write_file("maintenance.toml", maintenance),
    ];
    std::fs::create_dir_all(&folder).expect("created folder");
    let view = format!(
        "listen = \"{view_address}\"\npublic = \"{view_address}\"\nseeds = []\ntier = 1\nsize = 9\n\
         [state]\ngateways = [\"{view_address}\"]\n"
    );
    let options = Options { view, arguments, ..deployment.options(&json!({})) };
    let daemon = deployment.start(&options).await;
    let subsystems = ["router_view_", "router_state_", "router_quota_", "router_maintenance_"];
    let mut metrics = String::new();
    for _ in 0..200 {
        metrics = daemon.send_command("counters").await.expect("response");
        if subsystems.iter().all(|prefix| metrics.contains(prefix)) {
            break;
        }
        // The addresses of the fleet view and of the maintenance queue are bound after the start.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_written("admin/metric_names.txt", metric_names(&metrics).as_bytes());
}
