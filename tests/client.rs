//! The client library against the daemon's binary: what becomes of sessions when servers, balancers and the
//! network fail, and that no two attempts of a session are ever out, as the stand-in servers count them.

use std::path::Path;
use std::time::Duration;

use ashtide::discovery::EndpointStatus;
use ashtide_client::{
    Address, AttemptFailure, Client, ConnectionLoss, GiveUpReason, Session, SessionEvent, SessionRequest,
    Settings,
};
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::fleet::{Fleet, Mood};
use ashtide_testkit::relay::{Relay, Weather};
use tokio::time::timeout;

const DAEMON: &str = env!("CARGO_BIN_EXE_ashtide");
/// Any step ends by then.
const STEP: Duration = Duration::from_secs(20);

fn play(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(test);
}

/// Narrow windows, so that a return is a matter of moments.
fn swift() -> Settings {
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
    let addresses = addresses.iter().map(|&at| Address::new(at));
    Client::builder().addresses(addresses).settings(settings).build().expect("a client")
}

fn wish(number: usize) -> SessionRequest {
    SessionRequest::new("meter", format!("meter-{number}"), Duration::from_millis(2500))
}

async fn sessions(client: &Client, count: usize) -> Vec<Session> {
    let mut all = Vec::new();
    for number in 0..count {
        all.push(client.connect(wish(number)).await.expect("a session"));
    }
    all
}

/// The next event that `which` wants.
async fn until(session: &mut Session, which: impl Fn(&SessionEvent) -> bool) -> SessionEvent {
    let wanted = async {
        loop {
            let event = session.next_event().await.expect("no end before");
            if which(&event) || matches!(event, SessionEvent::Ended(_)) {
                return event;
            }
        }
    };
    timeout(STEP, wanted).await.expect("it comes")
}

async fn stands_again(session: &mut Session) {
    let event = until(session, |event| matches!(event, SessionEvent::Connected { .. })).await;
    assert!(matches!(event, SessionEvent::Connected { reconnected: true, .. }), "{event:?}");
}

async fn echoes(session: &mut Session, line: &str) {
    session.send(line.as_bytes()).await.expect("it is taken");
    let event = until(session, |event| matches!(event, SessionEvent::Line(_))).await;
    assert_eq!(event, SessionEvent::Line(line.to_owned().into()));
}

async fn daemon(fleet: &Fleet) -> Daemon {
    Daemon::start(Path::new(DAEMON), fleet, &Options::default()).await.expect("a daemon")
}

#[test]
fn clients_of_a_drained_server_go_on_elsewhere() {
    play(async {
        let fleet = Fleet::start(3).await.unwrap();
        let daemon = daemon(&fleet).await;
        let client = client(&[daemon.lines], swift());
        let mut all = sessions(&client, 24).await;
        let before = fleet.ledger.arrivals().len();
        let there = fleet.servers[0].seen.taken.load(std::sync::atomic::Ordering::Relaxed);
        assert!(there > 0 && before == 24);
        fleet.set(0, EndpointStatus::Draining);
        for (number, session) in all.iter_mut().enumerate() {
            echoes_through_moves(session, &format!("reading {number}")).await;
        }
        // All that were there have come back, marked, and were placed once more each.
        let back = wait_for(&fleet, before + there as usize).await;
        assert_eq!(back.iter().filter(|arrival| arrival.again).count() as u64, there);
        assert_eq!((client.metrics().await.0.moved, fleet.ledger.overlapping()), (there, 0));
        assert_eq!(fleet.servers[0].seen.offered.load(std::sync::atomic::Ordering::Relaxed), there);
    });
}

/// Sends a line until its echo comes: what was written when a connection ended may be lost.
async fn echoes_through_moves(session: &mut Session, line: &str) {
    for _ in 0..10 {
        if session.send(line.as_bytes()).await.is_err() {
            break;
        }
        let said =
            timeout(Duration::from_secs(1), until(session, |event| matches!(event, SessionEvent::Line(_))));
        if said.await.is_ok_and(|event| event == SessionEvent::Line(line.to_owned().into())) {
            return;
        }
    }
    panic!("no echo of '{line}'");
}

/// Waits until so many attempts have reached the servers.
async fn wait_for(fleet: &Fleet, count: usize) -> Vec<ashtide_testkit::ledger::Arrival> {
    let all = async {
        loop {
            let arrivals = fleet.ledger.arrivals();
            if arrivals.len() >= count {
                return arrivals;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(STEP, all).await.expect("so many attempts")
}

#[test]
fn clients_of_a_stopping_balancer_go_on_through_another() {
    play(async {
        let fleet = Fleet::start(2).await.unwrap();
        let (first, second) = (daemon(&fleet).await, daemon(&fleet).await);
        let client = client(&[first.lines], swift());
        let mut all = sessions(&client, 16).await;
        client.set_addresses([first.lines, second.lines].map(Address::new).to_vec()).await;
        first.terminate().unwrap();
        for session in &mut all {
            let event = until(session, |event| matches!(event, SessionEvent::Migrated)).await;
            assert_eq!(event, SessionEvent::Migrated);
            stands_again(session).await;
            echoes(session, "still here").await;
        }
        assert_eq!(first.end().await.unwrap().0.code(), Some(0));
        let figures = client.metrics().await.0;
        assert_eq!((figures.moved, figures.broken, fleet.ledger.overlapping()), (16, 0, 0));
    });
}

#[test]
fn a_killed_balancer_is_a_break_and_its_address_is_left() {
    play(async {
        let fleet = Fleet::start(2).await.unwrap();
        let (mut first, second) = (daemon(&fleet).await, daemon(&fleet).await);
        let client = client(&[first.lines], swift());
        let mut all = sessions(&client, 16).await;
        client.set_addresses([first.lines, second.lines].map(Address::new).to_vec()).await;
        first.kill().await.unwrap();
        for session in &mut all {
            let event = until(session, |event| matches!(event, SessionEvent::Disconnected { .. })).await;
            assert!(
                matches!(event, SessionEvent::Disconnected { reason: ConnectionLoss::Broken(None), .. }),
                "{event:?}"
            );
            stands_again(session).await;
        }
        let figures = client.metrics().await.0;
        assert_eq!((figures.broken, fleet.ledger.overlapping()), (16, 0));
        assert!(figures.connect_failures <= 3, "one or two find out, the others are spared: {figures:?}");
    });
}

#[test]
fn silent_servers_end_each_session_once_and_in_time() {
    play(async {
        let fleet = Fleet::start(2).await.unwrap();
        let daemon = daemon(&fleet).await;
        fleet.servers.iter().for_each(|server| server.mood(Mood::Silent));
        let client = client(&[daemon.lines], swift());
        let begun = std::time::Instant::now();
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
            assert_eq!(timeout(STEP, end).await.expect("an end").unwrap(), 1);
        }
        assert!(begun.elapsed() < Duration::from_millis(2500 + 3000), "{:?}", begun.elapsed());
        let (figures, open) = client.metrics().await;
        assert_eq!((figures.established, figures.ended, open, fleet.ledger.overlapping()), (0, 12, 0, 0));
    });
}

#[test]
fn servers_that_refuse_are_not_hammered_through_another_balancer() {
    play(async {
        let fleet = Fleet::start(2).await.unwrap();
        let (first, second) = (daemon(&fleet).await, daemon(&fleet).await);
        fleet.servers.iter().for_each(|server| server.mood(Mood::Refuses));
        let client = client(&[first.lines, second.lines], Settings { budget_first: 2.0, ..swift() });
        let all = futures_util::future::join_all((0..20).map(|number| client.connect(wish(number)))).await;
        for refused in all {
            let refused = refused.expect_err("nobody is taken");
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
        let figures = client.metrics().await.0;
        // Twenty first tries pay for four retries, and there were two at the start.
        assert!(figures.first_attempts + figures.retries <= 26, "{figures:?}");
        assert_eq!(fleet.ledger.overlapping(), 0);
        fleet.servers.iter().for_each(|server| server.mood(Mood::Well));
        let later = SessionRequest { timeout: Duration::from_secs(15), ..wish(99) };
        client.connect(later).await.expect("who waits is served once they are well");
    });
}

#[test]
fn a_refused_port_costs_a_retry_and_no_more() {
    play(async {
        let fleet = Fleet::start(1).await.unwrap();
        let daemon = daemon(&fleet).await;
        // Bound and not listening: nobody else can have it, and nobody answers.
        let dead = tokio::net::TcpSocket::new_v4().unwrap();
        dead.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let nobody = dead.local_addr().unwrap();
        let client = client(&[nobody, daemon.lines], swift());
        let _all = sessions(&client, 8).await;
        let figures = client.metrics().await.0;
        assert_eq!((figures.established, fleet.ledger.overlapping()), (8, 0));
        assert!(figures.connect_failures <= 6, "{figures:?}");
        let alone = Client::builder().addresses([Address::new(nobody)]).settings(swift()).build().unwrap();
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
fn a_network_that_cuts_and_one_that_swallows() {
    play(async {
        let fleet = Fleet::start(2).await.unwrap();
        let daemon = daemon(&fleet).await;
        let relay = Relay::start(daemon.lines).await.unwrap();
        let client = client(&[relay.address], swift());
        let mut all = sessions(&client, 16).await;
        relay.weather(Weather::Storm);
        for session in &mut all {
            until(session, |event| matches!(event, SessionEvent::Disconnected { .. })).await;
        }
        relay.weather(Weather::Fair);
        for session in &mut all {
            stands_again(session).await;
            echoes(session, "after the storm").await;
        }
        assert_eq!(client.metrics().await.0.broken, 16);

        // The device hears that the network is gone before any connection does.
        relay.weather(Weather::Fog);
        client.network_lost().await;
        for session in &mut all {
            let event = until(session, |event| matches!(event, SessionEvent::Disconnected { .. })).await;
            assert!(
                matches!(event, SessionEvent::Disconnected { reason: ConnectionLoss::Offline, .. }),
                "{event:?}"
            );
        }
        let during = fleet.ledger.arrivals().len();
        relay.weather(Weather::Fair);
        client.network_restored().await;
        for session in &mut all {
            stands_again(session).await;
            echoes(session, "after the fog").await;
        }
        let arrivals = fleet.ledger.arrivals();
        assert!(arrivals[during..].iter().all(|arrival| arrival.again));
        assert_eq!(fleet.ledger.overlapping(), 0);
    });
}

#[test]
fn who_drops_a_future_or_a_session_leaves_nothing_behind() {
    play(async {
        let fleet = Fleet::start(1).await.unwrap();
        let daemon = daemon(&fleet).await;
        let client = client(&[daemon.lines], swift());
        let session = client.connect(wish(0)).await.unwrap();
        fleet.servers[0].mood(Mood::Silent);
        for number in 1..6 {
            let dropped = timeout(Duration::from_millis(20), client.connect(wish(number))).await;
            assert!(dropped.is_err(), "nobody answers");
        }
        drop(session);
        let none = async {
            while client.metrics().await.1 > 0 {
                tokio::task::yield_now().await;
            }
        };
        timeout(STEP, none).await.expect("no session is left");
        // Its last handle gone, the client's task ends, and what it knew is not needed any more.
        assert_eq!(client.metrics().await.0.ended, 6);
    });
}
