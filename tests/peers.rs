//! Gateways that may ask each other, and are told of no address to ask at.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::fleet::Fleet;
use serde_json::json;
use tokio::time::{Instant, sleep};

/// A new server counts as new for twice the 5 s of its warm-up: long before that it gets something.
const USED: Duration = Duration::from_secs(7);

#[tokio::test]
async fn a_new_server_is_used_where_peers_are_allowed_and_have_no_address() {
    let mut fleet = Fleet::start(2).await.expect("a fleet");
    let config = json!({"settings": {"balancers": 3, "limits": {"peers": true}}});
    let options = Options { config, ..Options::default() };
    let daemon = Daemon::start(Path::new(env!("CARGO_BIN_EXE_ashtide")), &fleet, &options).await;
    let daemon = daemon.expect("a daemon");
    let mut standing = Vec::new();
    for number in 0..30 {
        standing.push(LineClient::open(daemon.lines, number).await.expect("answered"));
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
    let new = fleet.add("here", u64::try_from(now).expect("in range")).await.expect("a server");
    let (began, taken) = (Instant::now(), fleet.servers[new].seen.clone());
    while taken.taken.load(Ordering::Relaxed) == 0 {
        assert!(began.elapsed() < USED, "nothing was sent there, {} connections stand", standing.len());
        let number = standing.len() as u64;
        standing.push(LineClient::open(daemon.lines, number).await.expect("answered"));
        sleep(Duration::from_millis(40)).await;
    }
}
