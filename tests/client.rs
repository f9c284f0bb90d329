//! The client library against the daemon: sessions when servers, gateways and the network fail. The stub servers
//! check that a session never has two attempts at once.

use std::path::Path;
use std::time::Duration;

use ashtide::discovery::EndpointStatus;
use ashtide_client::{
    Address, AttemptFailure, Client, ConnectionLoss, GiveUpReason, Session, SessionEvent, SessionRequest,
    Settings,
};
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::{MockBackend, ServerBehavior};
use ashtide_testkit::relay::{NetworkState, Relay};
use tokio::time::timeout;

const DAEMON: &str = env!("CARGO_BIN_EXE_ashtide");
/// A step that takes longer has failed.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

fn run_with_io(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(test);
}

/// Short windows, so that sessions reconnect quickly.
fn fast_reconnect_settings() -> Settings {
    Settings {
        break_window: Duration::from_millis(300),
        move_window: Duration::from_millis(300),
        connect_within: Duration::from_millis(300),
        aside_from: Duration::from_millis(200),
        budget_first: 10.0,
        ..Settings::default()
    }
}

fn client(addresses: &[std::net::SocketAddr], settings: Settings) -> Client {
    let addresses = addresses.iter().map(|&address| Address::new(address));
    Client::builder().addresses(addresses).settings(settings).build().expect("a client")
}

fn wish(number: usize) -> SessionRequest {
    SessionRequest::new("meter", format!("meter-{number}"), Duration::from_millis(2500))
}

async fn connect_sessions(client: &Client, count: usize) -> Vec<Session> {
    let mut sessions = Vec::new();
    for number in 0..count {
        sessions.push(client.connect(wish(number)).await.expect("a session"));
    }
    sessions
}

/// The next event that matches, or the end of the session.
async fn next_matching(session: &mut Session, matches: impl Fn(&SessionEvent) -> bool) -> SessionEvent {
    let matching = async {
        loop {
            let event = session.next_event().await.expect("no end before");
            if matches(&event) || matches!(event, SessionEvent::Ended(_)) {
                return event;
            }
        }
    };
    timeout(STEP_TIMEOUT, matching).await.expect("it comes")
}

async fn expect_reconnected(session: &mut Session) {
    let event = next_matching(session, |event| matches!(event, SessionEvent::Connected { .. })).await;
    assert!(matches!(event, SessionEvent::Connected { reconnected: true, .. }), "{event:?}");
}

async fn expect_echo(session: &mut Session, line: &str) {
    session.send(line.as_bytes()).await.expect("it is taken");
    let event = next_matching(session, |event| matches!(event, SessionEvent::Line(_))).await;
    assert_eq!(event, SessionEvent::Line(line.to_owned().into()));
}

async fn start_daemon(backend: &MockBackend) -> Daemon {
    Daemon::start(Path::new(DAEMON), backend, &Options::default()).await.expect("a daemon")
}

#[test]
fn sessions_of_a_draining_server_move_to_others() {
    run_with_io(async {
        let backend = MockBackend::start(3).await.unwrap();
        let daemon = start_daemon(&backend).await;
        let client = client(&[daemon.lines], fast_reconnect_settings());
        let mut sessions = connect_sessions(&client, 24).await;
        let before = backend.attempt_log.arrivals().len();
        let moved = backend.servers[0].counters.accepted.load(std::sync::atomic::Ordering::Relaxed);
        assert!(moved > 0 && before == 24);
        backend.set_status(0, EndpointStatus::Draining);
        for (number, session) in sessions.iter_mut().enumerate() {
            expect_echo_through_moves(session, &format!("reading {number}")).await;
        }
        // Each client of the drained server has reconnected once, marked as such.
        let arrivals = wait_for_attempts(&backend, before + moved as usize).await;
        assert_eq!(arrivals.iter().filter(|arrival| arrival.reconnect).count() as u64, moved);
        assert_eq!((client.metrics().await.0.moved, backend.attempt_log.overlap_count()), (moved, 0));
        assert_eq!(backend.servers[0].counters.offered.load(std::sync::atomic::Ordering::Relaxed), moved);
    });
}

/// Sends a line until it is echoed: data written when a connection ends may be lost.
async fn expect_echo_through_moves(session: &mut Session, line: &str) {
    for _ in 0..10 {
        if session.send(line.as_bytes()).await.is_err() {
            break;
        }
        let echo = timeout(
            Duration::from_secs(1),
            next_matching(session, |event| matches!(event, SessionEvent::Line(_))),
        );
        if echo.await.is_ok_and(|event| event == SessionEvent::Line(line.to_owned().into())) {
            return;
        }
    }
    panic!("no echo of '{line}'");
}

/// Waits until this many attempts have reached the servers.
async fn wait_for_attempts(
    backend: &MockBackend,
    count: usize,
) -> Vec<ashtide_testkit::attempt_log::Arrival> {
    let attempts = async {
        loop {
            let arrivals = backend.attempt_log.arrivals();
            if arrivals.len() >= count {
                return arrivals;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(STEP_TIMEOUT, attempts).await.expect("so many attempts")
}

#[test]
fn sessions_of_a_stopping_gateway_move_to_another() {
    run_with_io(async {
        let backend = MockBackend::start(2).await.unwrap();
        let first = start_daemon(&backend).await;
        let second = start_daemon(&backend).await;
        let client = client(&[first.lines], fast_reconnect_settings());
        let mut sessions = connect_sessions(&client, 16).await;
        client.set_addresses([first.lines, second.lines].map(Address::new).to_vec()).await;
        first.terminate().unwrap();
        for session in &mut sessions {
            let event = next_matching(session, |event| matches!(event, SessionEvent::Migrated)).await;
            assert_eq!(event, SessionEvent::Migrated);
            expect_reconnected(session).await;
            expect_echo(session, "still here").await;
        }
        assert_eq!(first.wait_for_exit().await.unwrap().0.code(), Some(0));
        let metrics = client.metrics().await.0;
        assert_eq!((metrics.moved, metrics.broken, backend.attempt_log.overlap_count()), (16, 0, 0));
    });
}

#[test]
fn a_killed_gateway_breaks_sessions_and_its_address_is_avoided() {
    run_with_io(async {
        let backend = MockBackend::start(2).await.unwrap();
        let mut first = start_daemon(&backend).await;
        let second = start_daemon(&backend).await;
        let client = client(&[first.lines], fast_reconnect_settings());
        let mut sessions = connect_sessions(&client, 16).await;
        client.set_addresses([first.lines, second.lines].map(Address::new).to_vec()).await;
        first.kill().await.unwrap();
        for session in &mut sessions {
            let event =
                next_matching(session, |event| matches!(event, SessionEvent::Disconnected { .. })).await;
            assert!(
                matches!(event, SessionEvent::Disconnected { reason: ConnectionLoss::Broken(None), .. }),
                "{event:?}"
            );
            expect_reconnected(session).await;
        }
        let metrics = client.metrics().await.0;
        assert_eq!((metrics.broken, backend.attempt_log.overlap_count()), (16, 0));
        assert!(metrics.connect_failures <= 3, "one or two find out, the others are spared: {metrics:?}");
    });
}

#[test]
fn silent_servers_end_each_session_once_and_in_time() {
    run_with_io(async {
        let backend = MockBackend::start(2).await.unwrap();
        let daemon = start_daemon(&backend).await;
        backend.servers.iter().for_each(|server| server.set_behavior(ServerBehavior::Silent));
        let client = client(&[daemon.lines], fast_reconnect_settings());
        let started_at = std::time::Instant::now();
        let mut ends = Vec::new();
        for session in futures_util::future::join_all((0..12).map(|number| client.open(wish(number)))).await {
            ends.push(tokio::spawn(async move {
                let mut session = session;
                let mut ended = 0;
                while let Some(event) = session.next_event().await {
                    ended += u32::from(matches!(event, SessionEvent::Ended(_)));
                }
                ended
            }));
        }
        for end in ends {
            assert_eq!(timeout(STEP_TIMEOUT, end).await.expect("an end").unwrap(), 1);
        }
        assert!(started_at.elapsed() < Duration::from_millis(2500 + 3000), "{:?}", started_at.elapsed());
        let (metrics, open) = client.metrics().await;
        assert_eq!(
            (metrics.established, metrics.ended, open, backend.attempt_log.overlap_count()),
            (0, 12, 0, 0)
        );
    });
}

#[test]
fn rejections_are_not_retried_without_limit_through_another_gateway() {
    run_with_io(async {
        let backend = MockBackend::start(2).await.unwrap();
        let first = start_daemon(&backend).await;
        let second = start_daemon(&backend).await;
        backend.servers.iter().for_each(|server| server.set_behavior(ServerBehavior::Reject));
        let client =
            client(&[first.lines, second.lines], Settings { budget_first: 2.0, ..fast_reconnect_settings() });
        let results =
            futures_util::future::join_all((0..20).map(|number| client.connect(wish(number)))).await;
        for result in results {
            let refused = result.expect_err("nobody is taken");
            assert!(
                matches!(
                    refused.0,
                    GiveUpReason::Rejected { .. }
                        | GiveUpReason::RetryBudgetExhausted { .. }
                        | GiveUpReason::DeadlineExceeded { .. }
                ),
                "{refused}"
            );
        }
        let metrics = client.metrics().await.0;
        // Twenty first attempts add four retries to the initial budget of two.
        assert!(metrics.first_attempts + metrics.retries <= 26, "{metrics:?}");
        assert_eq!(backend.attempt_log.overlap_count(), 0);
        backend.servers.iter().for_each(|server| server.set_behavior(ServerBehavior::Serve));
        let later = SessionRequest { timeout: Duration::from_secs(15), ..wish(99) };
        client.connect(later).await.expect("who waits is served once they are well");
    });
}

#[test]
fn a_refused_connection_costs_one_retry() {
    run_with_io(async {
        let backend = MockBackend::start(1).await.unwrap();
        let daemon = start_daemon(&backend).await;
        // Bound but not listening: the port is reserved and refuses connections.
        let dead = tokio::net::TcpSocket::new_v4().unwrap();
        dead.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let unused = dead.local_addr().unwrap();
        let client = client(&[unused, daemon.lines], fast_reconnect_settings());
        let _sessions = connect_sessions(&client, 8).await;
        let metrics = client.metrics().await.0;
        assert_eq!((metrics.established, backend.attempt_log.overlap_count()), (8, 0));
        assert!(metrics.connect_failures <= 6, "{metrics:?}");
        let alone = Client::builder()
            .addresses([Address::new(unused)])
            .settings(fast_reconnect_settings())
            .build()
            .unwrap();
        let Err(refused) = alone.connect(wish(9)).await else { panic!("nobody is there") };
        assert!(
            matches!(
                refused.0,
                GiveUpReason::NoAvailableAddress { .. }
                    | GiveUpReason::AttemptsExhausted { last: AttemptFailure::ConnectFailed, .. }
                    | GiveUpReason::DeadlineExceeded { .. }
            ),
            "{refused}"
        );
    });
}

#[test]
fn sessions_survive_resets_and_a_network_that_drops_packets() {
    run_with_io(async {
        let backend = MockBackend::start(2).await.unwrap();
        let daemon = start_daemon(&backend).await;
        let network = Relay::start(daemon.lines).await.unwrap();
        let client = client(&[network.address], fast_reconnect_settings());
        let mut sessions = connect_sessions(&client, 16).await;
        network.set_state(NetworkState::Reset);
        for session in &mut sessions {
            next_matching(session, |event| matches!(event, SessionEvent::Disconnected { .. })).await;
        }
        network.set_state(NetworkState::Forward);
        for session in &mut sessions {
            expect_reconnected(session).await;
            expect_echo(session, "after the storm").await;
        }
        assert_eq!(client.metrics().await.0.broken, 16);

        // The client is notified of the network loss before any connection fails.
        network.set_state(NetworkState::Blackhole);
        client.network_lost().await;
        for session in &mut sessions {
            let event =
                next_matching(session, |event| matches!(event, SessionEvent::Disconnected { .. })).await;
            assert!(
                matches!(event, SessionEvent::Disconnected { reason: ConnectionLoss::Offline, .. }),
                "{event:?}"
            );
        }
        let during = backend.attempt_log.arrivals().len();
        network.set_state(NetworkState::Forward);
        client.network_restored().await;
        for session in &mut sessions {
            expect_reconnected(session).await;
            expect_echo(session, "after the fog").await;
        }
        let arrivals = backend.attempt_log.arrivals();
        assert!(arrivals[during..].iter().all(|arrival| arrival.reconnect));
        assert_eq!(backend.attempt_log.overlap_count(), 0);
    });
}

#[test]
fn a_dropped_future_or_session_leaves_no_state() {
    run_with_io(async {
        let backend = MockBackend::start(1).await.unwrap();
        let daemon = start_daemon(&backend).await;
        let client = client(&[daemon.lines], fast_reconnect_settings());
        let session = client.connect(wish(0)).await.unwrap();
        backend.servers[0].set_behavior(ServerBehavior::Silent);
        for number in 1..6 {
            let dropped = timeout(Duration::from_millis(20), client.connect(wish(number))).await;
            assert!(dropped.is_err(), "nobody answers");
        }
        drop(session);
        let no_sessions = async {
            while client.metrics().await.1 > 0 {
                tokio::task::yield_now().await;
            }
        };
        timeout(STEP_TIMEOUT, no_sessions).await.expect("no session is left");
        // The client's task ends with its last handle.
        assert_eq!(client.metrics().await.0.ended, 6);
    });
}
