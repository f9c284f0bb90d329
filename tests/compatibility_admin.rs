//! What operators send to the admin endpoint and what it answers, byte for byte.

mod site;
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
use serde_json::json;
use site::Site;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Decoder;
use transcripts::{assert_outcomes, assert_written, escape, unescape};

fn encode_call(call: AdminRequest) -> String {
    match call {
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

fn encode(read: Result<Option<AdminRequest>, AdminRequestError>) -> String {
    match read {
        Ok(Some(call)) => encode_call(call),
        Ok(None) => "nothing".to_owned(),
        Err(error) => format!("error {error}"),
    }
}

#[test]
fn every_call_is_read() {
    assert_outcomes("admin/calls.txt", 61, |input| {
        let mut buffer = BytesMut::from(&unescape(input)[..]);
        let read = encode(AdminRequestCodec.decode_eof(&mut buffer));
        format!("{read}\nrest {}", escape(&buffer))
    });
}

#[test]
fn a_call_has_512_bytes_at_most_with_its_end_of_line() {
    let read = |length: usize, end: &str| {
        let line = format!("cordon {}{end}", "x".repeat(length - 7 - end.len()));
        encode(AdminRequestCodec.decode_eof(&mut BytesMut::from(line.as_bytes())))
    };
    assert_eq!(read(512, "\n"), format!("out [{}]", "x".repeat(504)));
    assert_eq!(read(512, "\r\n"), format!("out [{}]", "x".repeat(503)));
    assert_eq!(read(513, "\n"), "error over 512 bytes");
    assert_eq!(read(512, ""), "error over 512 bytes");
    assert_eq!(read(511, ""), "error no end of line");
}

#[test]
fn answers_are_a_code_and_a_line() {
    assert_eq!(&success_response("ready")[..], b"200 ready\n");
    assert_eq!(&error_response("not ready")[..], b"400 not ready\n");
}

fn figures() -> Arc<Metrics> {
    let figures = Metrics::new(&["read".to_owned(), "a\\b\"c\nd".to_owned()]);
    let mut times = 0;
    for count in [Counter::Established, Counter::Rejected, Counter::Failed, Counter::Attempts] {
        for class in ["read", "a\\b\"c\nd", "made up"] {
            times += 1;
            (0..times).for_each(|_| figures.increment(count, class));
        }
    }
    let causes = [
        CloseReason::Evicted,
        CloseReason::EvictedImmediately,
        CloseReason::ProcessStopped,
        CloseReason::NoRequest,
        CloseReason::ClientLeft,
        CloseReason::AnswerUnread,
        CloseReason::Unanswered,
    ];
    for cause in causes {
        times += 1;
        (0..times).for_each(|_| figures.record_close(cause));
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
        times += 1;
        figures.set_gauge(gauge, 1_000 * times);
    }
    Arc::new(figures)
}

#[test]
fn metrics_have_their_names_their_order_and_their_text() {
    assert_written("admin/metrics.txt", figures().render("").as_bytes());
    assert_written("admin/metrics_and_more.txt", figures().render("router_more 1\n").as_bytes());
    assert_written("admin/no_metrics.txt", Metrics::new(&[]).render("").as_bytes());
}

async fn answer(at: SocketAddr, call: &[u8]) -> Vec<u8> {
    let mut caller = TcpStream::connect(at).await.expect("it listens");
    caller.write_all(call).await.expect("taken");
    caller.shutdown().await.expect("ended");
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.expect("an end");
    answer
}

/// Answers in place of the event loop: a server is known by an `s`, and what is called `silent` gets no answer.
async fn carry_out(mut calls: mpsc::Receiver<CordonRequest>) {
    let mut unanswered = Vec::new();
    while let Some(call) = calls.recv().await {
        if call.server == "silent" {
            unanswered.push(call);
            continue;
        }
        let done = match call.server.starts_with('s') {
            true => Ok(()),
            false => {
                Err(format!("no server '{}' ({})", call.server, if call.cordon { "out" } else { "back" }))
            }
        };
        call.reply.send(done).expect("a caller");
    }
}

#[tokio::test]
async fn the_endpoint_answers_byte_for_byte() {
    let (office, calls) = AdminContext::new(figures());
    let health = office.health.clone();
    let at = admin::start("127.0.0.1:0".parse().expect("an address"), office).expect("an endpoint");
    tokio::spawn(carry_out(calls));
    let runtime = tokio::runtime::Handle::current();
    let check = move || {
        assert_outcomes("admin/answers.txt", 38, |input| {
            match input {
                "it is ready" => health.mark_ready(),
                "it is leaving" => health.mark_draining(),
                call => return escape(&runtime.block_on(answer(at, &unescape(call)))),
            }
            "done".to_owned()
        });
    };
    tokio::task::spawn_blocking(check).await.expect("as it was");
}

#[tokio::test]
async fn a_caller_that_says_nothing_is_told_so_after_five_seconds() {
    let (office, _calls) = AdminContext::new(figures());
    let at = admin::start("127.0.0.1:0".parse().expect("an address"), office).expect("an endpoint");
    let start = std::time::Instant::now();
    let mut caller = TcpStream::connect(at).await.expect("it listens");
    caller.write_all(b"heal").await.expect("taken");
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.expect("an end");
    assert_eq!(answer, b"400 no call in time\n");
    assert!(start.elapsed() >= Duration::from_secs(5), "{:?}", start.elapsed());
}

/// An address of UDP that was free a moment ago.
fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("bound")
}

/// The lines of the metrics without their values.
fn names(metrics: &str) -> String {
    let name = |line: &str| line.rsplit_once(' ').map_or(line, |(name, _)| name).to_owned() + "\n";
    metrics.lines().map(name).collect()
}

/// A daemon's metrics with everything configured that has metrics, in their order.
#[tokio::test]
async fn a_daemon_has_all_metrics_in_their_order() {
    let site = Site::new(2).await;
    let file = |name: &str, text: String| {
        let path = site.folder.join(name);
        std::fs::write(&path, text).expect("written");
        path.into_os_string()
    };
    let (view, work) = (free_address(), free_address());
    let quota =
        "generation = 1\n[partners.north]\nper_s = 24.0\nconnections = 120\n[partners.south]\nper_s = 12.0\n";
    let folder = site.folder.join("maintenance");
    let maintenance = format!(
        "gateways = [\"{work}\"]\nslot = 0\nlisten = \"{work}\"\ntier = 1\nfolder = {folder:?}\nvoters = 1\n\
         max_out = 2\nmax_gateways = 0\nfloor = 3\nlease_s = 6\ndrain_s = 60\nwork_s = 3600\n"
    );
    let arguments = vec![
        "--quota".into(),
        file("quota.toml", quota.to_owned()),
        "--maintenance".into(),
        file("maintenance.toml", maintenance),
    ];
    std::fs::create_dir_all(&folder).expect("a folder");
    let view = format!(
        "listen = \"{view}\"\npublic = \"{view}\"\nseeds = []\ntier = 1\nsize = 9\n[state]\ngateways = [\"{view}\"]\n"
    );
    let options = Options { view, arguments, ..site.options(&json!({})) };
    let daemon = site.start(&options).await;
    let subsystems = ["router_view_", "router_state_", "router_quota_", "router_maintenance_"];
    let mut metrics = String::new();
    for _ in 0..200 {
        metrics = daemon.call("counters").await.expect("an answer");
        if subsystems.iter().all(|prefix| metrics.contains(prefix)) {
            break;
        }
        // The addresses of the fleet view and of the maintenance queue are bound after the start.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_written("admin/metric_names.txt", names(&metrics).as_bytes());
}
