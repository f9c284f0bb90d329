//! System calls that fail in ways that Linux documents, under the real daemon: what fails on the daemon's own machine is
//! never held against a client or a server.

mod site;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::fleet::Fleet;
use ashtide_testkit::system_faults::{Preload, SystemFaults};
use ashtide_testkit::within;
use futures_util::future::join_all;
use serde_json::json;
use site::Site;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Clients of one play: one after the other they wait a second or two in all.
const CLIENTS: u64 = 60;
/// Faults without which a play has shown nothing.
const FAULTS: u64 = 10;
/// The daemon sets its gauges this often, and a little more.
const METRICS_EVERY: Duration = Duration::from_millis(300);
const HOUR_MS: i64 = 3_600_000;

/// A daemon before this fleet whose system calls fail so.
async fn start(fleet: &Fleet, faults: SystemFaults, options: Options) -> (Daemon, Preload) {
    let preload = faults.preload().expect("a library");
    let mut options = options;
    options.environment.extend(preload.environment.iter().cloned());
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    (Daemon::start(program, fleet, &options).await.expect("a daemon"), preload)
}

fn with_operator() -> Options {
    Options { config: json!({"operator": "127.0.0.1:0"}), ..Options::default() }
}

/// One of the daemon's metrics.
async fn metric(daemon: &Daemon, name: &str) -> u64 {
    let text = daemon.call("counters").await.expect("an answer");
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    value.unwrap_or_else(|| panic!("no {name} in {text}"))
}

/// How many of so many clients come up, one after the other.
async fn come_up(daemon: SocketAddr, clients: u64) -> (Vec<LineClient>, Vec<String>) {
    let mut up = Vec::new();
    let mut others = Vec::new();
    for number in 0..clients {
        match LineClient::open(daemon, number).await {
            Ok((client, answer)) if answer.starts_with("UP ") => up.push(client),
            Ok((_, answer)) => others.push(answer),
            Err(error) => others.push(error.to_string()),
        }
    }
    (up, others)
}

/// Whether the connection has neither been answered nor ended by then.
async fn rests(client: &mut TcpStream, until: Instant) -> bool {
    let wait = until.saturating_duration_since(Instant::now());
    timeout(wait, client.read_u8()).await.is_err()
}

#[tokio::test]
async fn accepts_that_fail_for_a_moment_evict_no_client_that_rests() {
    let fleet = Fleet::start(2).await.expect("a fleet");
    let faults = SystemFaults { accept: 2, ..SystemFaults::default() };
    let (daemon, preload) = start(&fleet, faults, Options::default()).await;
    let mut resting = Vec::new();
    for _ in 0..24 {
        resting.push(TcpStream::connect(daemon.lines).await.expect("taken"));
    }
    let until = Instant::now() + Duration::from_millis(1500);
    let (up, others) = come_up(daemon.lines, CLIENTS).await;
    assert!(up.len() as u64 == CLIENTS, "not up: {others:?}");
    let rest = join_all(resting.iter_mut().map(|client| rests(client, until))).await;
    let evicted = rest.iter().filter(|rests| !**rests).count();
    assert_eq!(evicted, 0, "of {} clients that rest", rest.len());
    let counts = preload.counts().expect("counted");
    assert!(counts.accept >= FAULTS, "{counts:?}");
}

#[tokio::test]
async fn accepts_that_fail_as_a_process_ends_drop_nobody() {
    let fleet = Fleet::start(1).await.expect("a fleet");
    let faults = SystemFaults { accept: 2, ..SystemFaults::default() };
    let (daemon, preload) = start(&fleet, faults, Options::default()).await;
    // It does not take clients in as the last of its time passes: all of them wait in the queue.
    daemon.terminate().expect("it runs");
    sleep(Duration::from_millis(500)).await;
    let mut ends = Vec::new();
    for id in 0.. {
        let Ok(mut client) = LineClient::connect(daemon.lines).await else { break };
        ends.push(tokio::spawn(async move {
            // The process may end before it has taken this one in.
            let _ = client.say(&format!("OPEN {id:016x} {id:016x} c=meter,d=3000,g={id:x}")).await;
            let word = client.next().await.ok().flatten();
            word.is_some_and(|word| word.starts_with("BUSY") || word.starts_with("UP "))
        }));
        sleep(Duration::from_millis(1)).await;
    }
    let ends = join_all(ends).await;
    let dropped = ends.iter().filter(|end| !matches!(end, Ok(true))).count();
    let counts = preload.counts().expect("counted");
    assert!(
        ends.len() > 40 && dropped <= 3,
        "{dropped} of {} closed without an answer, {counts:?}",
        ends.len()
    );
    assert!(counts.accept >= FAULTS, "{counts:?}");
}

#[tokio::test]
async fn connects_that_fail_on_this_machine_are_held_against_no_server() {
    for faults in
        [SystemFaults { connect: 3, ..Default::default() }, SystemFaults { socket: 3, ..Default::default() }]
    {
        let fleet = Fleet::start(3).await.expect("a fleet");
        let (daemon, preload) = start(&fleet, faults, with_operator()).await;
        let mut avoided = 0;
        for round in 0..6 {
            let (up, others) = come_up(daemon.lines, CLIENTS / 6).await;
            assert!(up.len() as u64 == CLIENTS / 6, "not up in round {round}: {others:?}");
            sleep(METRICS_EVERY).await;
            avoided = avoided.max(metric(&daemon, "router_skipped_reading_servers").await);
        }
        assert_eq!(avoided, 0, "servers avoided that are sound, {faults:?}");
        assert_eq!(metric(&daemon, "router_upstream_tries_total{category=\"meter\"}").await, CLIENTS);
        let counts = preload.counts().expect("counted");
        assert!(counts.connect + counts.socket >= FAULTS, "{counts:?}");
    }
}

#[tokio::test]
async fn short_reads_and_writes_and_interrupted_waits_lose_no_byte() {
    let site = Site::new(1).await;
    let faults = SystemFaults { short: 2, interrupt: 3, ..SystemFaults::default() };
    let preload = faults.preload().expect("a library");
    let mut options = site.options(&json!({}));
    options.environment.extend(preload.environment.iter().cloned());
    let daemon = site.start(&options).await;
    for length in [1, 2, 300, 3000] {
        let (mut client, mut attempt) = site.standing(daemon.lines).await;
        let line = "x".repeat(length);
        client.say(&line).await.expect("heard");
        let mut heard = vec![0; length + 2];
        within("the line", attempt.stream.read_exact(&mut heard)).await.expect("in time").expect("whole");
        assert_eq!(heard, format!("{line}\r\n").as_bytes());
        let lines = format!("{line}\r\nand {line}\r\n");
        attempt.stream.write_all(lines.as_bytes()).await.expect("heard");
        assert_eq!(client.next().await.expect("in time").as_deref(), Some(&*line));
        assert_eq!(client.next().await.expect("in time"), Some(format!("and {line}")));
    }
    // Discovery's list and operators' calls come by the same reads and writes.
    daemon.says("discovery: ").await.expect("a watch");
    assert!(daemon.call("health").await.expect("an answer").starts_with("200"));
    let counts = preload.counts().expect("counted");
    assert!(counts.short >= FAULTS && counts.interrupt >= FAULTS, "{counts:?}");
}

#[tokio::test]
async fn a_successor_takes_over_whatever_the_wall_clock_says() {
    for clock_step_ms in [-HOUR_MS, HOUR_MS] {
        let site = Site::new(2).await;
        let (shared, at) = site.shared();
        let options = Options { shared: Some(shared), ..site.options(&json!({})) };
        let first = site.start(&options).await;
        let mut clients = Vec::new();
        for _ in 0..4 {
            clients.push(site.standing(at).await);
        }
        let preload = SystemFaults { clock_step_ms, ..Default::default() }.preload().expect("a library");
        let mut options = options;
        options.environment.extend(preload.environment.iter().cloned());
        let second = site.start(&options).await;
        first.says("handover: the successor accepts clients").await.expect("the successor is known");
        // A call at either is known to both, and the later one counts.
        for (process, call, said) in [
            (&first, "cordon s-0", "operator: s-0 is out"),
            (&second, "uncordon s-0", "operator: s-0 is back"),
            (&first, "cordon s-1", "operator: s-1 is out"),
            (&second, "uncordon s-1", "operator: s-1 is back"),
        ] {
            assert!(process.call(call).await.expect("an answer").starts_with("200"), "{call}");
            first.says(said).await.expect("known to the first");
            second.says(said).await.expect("known to the second");
        }
        first.terminate().expect("it runs");
        let (status, said) = first.end().await.expect("it ends");
        assert!(status.success(), "{status}");
        assert!(
            said.iter().any(|line| line == "handover: passes 4 connections to its successor"),
            "{said:?}"
        );
        for (client, server) in &mut clients {
            client.say("still there").await.expect("it stands");
            let mut heard = [0; 13];
            within("a line", server.stream.read_exact(&mut heard))
                .await
                .expect("in time")
                .expect("it stands");
        }
        assert!(preload.counts().expect("counted").clock > 0);
    }
}

/// How many of the clients that come in the first second of a new server go there.
async fn sent_to_a_new_server(clock_step_ms: i64) -> u64 {
    let mut fleet = Fleet::start(2).await.expect("a fleet");
    let faults = SystemFaults { clock_step_ms, ..SystemFaults::default() };
    let (daemon, _preload) = start(&fleet, faults, Options::default()).await;
    daemon.says("discovery: ").await.expect("a watch");
    let (_standing, others) = come_up(daemon.lines, CLIENTS).await;
    assert!(others.is_empty(), "{others:?}");
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
    let new = fleet.add("here", unix.as_millis() as u64).await.expect("a server");
    // Discovery tells it within a moment.
    sleep(Duration::from_millis(50)).await;
    let (_up, _others) = come_up(daemon.lines, CLIENTS).await;
    fleet.servers[new].seen.taken.load(Ordering::Relaxed)
}

#[tokio::test]
async fn a_cold_server_is_spared_whatever_the_wall_clock_says() {
    let [true_clock, ahead, behind] = [
        sent_to_a_new_server(0).await,
        sent_to_a_new_server(HOUR_MS).await,
        sent_to_a_new_server(-HOUR_MS).await,
    ];
    println!(
        "{true_clock} sent with a true clock, {ahead} by one that is ahead, {behind} by one that is behind"
    );
    // Two seconds of warming make no difference of more than two connections with these settings.
    assert!(
        ahead <= true_clock + 2,
        "{ahead} of {CLIENTS} by a clock that is ahead, {true_clock} by a true one"
    );
    assert!(
        behind <= true_clock + 2,
        "{behind} of {CLIENTS} by a clock that is behind, {true_clock} by a true one"
    );
}

#[tokio::test]
async fn a_cordon_outlives_a_kill_though_the_disk_failed_for_a_while() {
    let site = Site::new(3).await;
    let (shared, at) = site.shared();
    let options = Options { shared: Some(shared), ..site.options(&json!({})) };
    // A write has four operations: one write in two or so fails.
    let faults = SystemFaults { disk: 5, ..SystemFaults::default() };
    let preload = faults.preload().expect("a library");
    let mut failing = options.clone();
    failing.environment.extend(preload.environment.iter().cloned());
    let mut first = site.start(&failing).await;
    // The run has begun, which is kept, too.
    let _client = site.standing(at).await;
    assert!(
        first.call("cordon s-1").await.expect("an answer").starts_with("200"),
        "the first write succeeds"
    );
    // Until one call is not kept, which is the last of all.
    let mut last = None;
    for call in ["cordon s-0", "cordon s-2", "uncordon s-2", "uncordon s-0"].into_iter().cycle().take(20) {
        if first.call(call).await.expect("an answer").contains("not kept") {
            last = Some(call);
            break;
        }
    }
    let last = last.unwrap_or_else(|| panic!("no call met the failing disk: {:?}", preload.counts()));
    // What was taken on is kept as soon as the disk allows.
    sleep(Duration::from_millis(1_500)).await;
    first.kill().await.expect("it ran");
    let second = site.start(&options).await;
    second.says("operator: s-1 is out").await.expect("kept");
    // All that was kept has been read by then.
    second.says("discovery: ").await.expect("a watch");
    let (call, server) = last.split_once(' ').expect("a call and its server");
    let out = second.said().iter().any(|line| *line == format!("operator: {server} is out"));
    assert_eq!(out, call == "cordon", "after {last}: {:?}", second.said());
    assert!(second.said().iter().all(|line| !line.contains("starting without it")), "{:?}", second.said());
    let left = std::fs::read_dir(&site.folder).expect("the folder").flatten().map(|it| it.path());
    let aside: Vec<_> = left.filter(|path| path.extension().is_some_and(|it| it == "next")).collect();
    assert!(aside.is_empty(), "{aside:?} left behind");
}
