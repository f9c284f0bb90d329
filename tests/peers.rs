//! A gateway that is allowed to poll its peers but has no address of a peer.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::MockBackend;
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Time-out for the first connection to the new server. It is shorter than the 10 s for which a server counts
/// as new, twice its slow start of 5 s.
const FIRST_USE_TIMEOUT: Duration = Duration::from_secs(7);

#[tokio::test]
async fn a_new_server_is_used_when_peers_are_allowed_but_have_no_address() {
    let mut backend = MockBackend::start(2).await.expect("mock servers");
    let config = json!({"settings": {"balancers": 3, "limits": {"peers": true}}});
    let options = Options { config, ..Options::default() };
    let daemon = Daemon::start(Path::new(env!("CARGO_BIN_EXE_ashtide")), &backend, &options).await;
    let daemon = daemon.expect("a daemon");
    let mut connections = Vec::new();
    for number in 0..30 {
        connections.push(LineClient::open(daemon.lines, number).await.expect("an established connection"));
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
    let new_server = backend.add("here", u64::try_from(now).expect("in range")).await.expect("a server");
    let started_at = Instant::now();
    let statistics = backend.servers[new_server].counters.clone();
    while statistics.accepted.load(Ordering::Relaxed) == 0 {
        assert!(
            started_at.elapsed() < FIRST_USE_TIMEOUT,
            "the new server got no connection of {} that are open",
            connections.len()
        );
        let number = connections.len() as u64;
        connections.push(LineClient::open(daemon.lines, number).await.expect("an established connection"));
        sleep(Duration::from_millis(40)).await;
    }
}
