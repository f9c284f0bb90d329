//! Request ids that are open at either of the two processes of a gateway during an upgrade.

mod mock_deployment;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use ashtide::engine::open_ids::OpenIds;
use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::within;
use mock_deployment::{Attempt, MockDeployment};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::TestRunner;
use serde_json::{Value, json};
use tokio::io::AsyncReadExt;

/// Time within which a sibling process is told of an id.
const EXCHANGE_TIME: Duration = Duration::from_millis(500);

/// Returns a client that has requested a connection with this id.
async fn request(address: SocketAddr, id: &str) -> LineClient {
    let mut client = LineClient::connect(address).await.expect("an accepted connection");
    client.send_line(&format!("OPEN {id} 7 c=meter,d=3000,g=1")).await.expect("an open connection");
    client
}

/// Establishes a connection with this id.
async fn establish(deployment: &MockDeployment, address: SocketAddr, id: &str) -> (LineClient, Attempt) {
    let mut client = request(address, id).await;
    let mut server = deployment.next_attempt().await;
    server.send_line("UP r").await;
    assert_eq!(client.next().await.expect("an answer").as_deref(), Some("UP r"));
    (client, server)
}

/// Returns the configuration of a class whose requests may not be executed twice.
fn unrepeatable_class() -> Value {
    let class = json!({"name": "meter", "aim": 0.4, "deadline": 3.0, "effect": "side_effect", "worth": 1.0});
    json!({"settings": {"classes": [class]}})
}

/// Waits until the gateway has closed an attempt of a client that left.
async fn await_close(attempt: &mut Attempt) {
    let closed = within("the end of the attempt", attempt.stream.read_u8()).await.expect("in time");
    assert!(closed.is_err(), "the gateway sent {closed:?}");
}

async fn assert_rejected(mut client: LineClient, when: &str) {
    assert_eq!(client.next().await.expect("an answer").as_deref(), Some("ERR"), "{when}");
}

/// Returns the options of the two processes and the address of their listener.
fn shared_options(deployment: &MockDeployment) -> (Options, SocketAddr) {
    let (shared, address) = deployment.shared();
    (Options { shared: Some(shared), ..deployment.options(&json!({})) }, address)
}

async fn await_successor(first: &Daemon) {
    first.wait_for_log_line("handover: the successor accepts clients").await.expect("a ready successor");
}

/// Guards against two attempts with one id: the new process of an upgrade serves a request whose id is open
/// at the old one, and then rejects the connection that the old one hands off.
#[tokio::test]
async fn an_id_that_is_open_at_the_old_process_is_rejected_by_the_new_one() {
    let deployment = MockDeployment::new(2).await;
    let (options, address) = shared_options(&deployment);
    let first = deployment.start(&options).await;
    let (mut client, mut server) = establish(&deployment, address, "aa").await;
    let _second = deployment.start(&options).await;
    await_successor(&first).await;
    assert_rejected(request(address, "aa").await, "beside the old process").await;
    first.terminate().expect("a running daemon");
    let (status, _) = first.wait_for_exit().await.expect("an exit");
    assert!(status.success(), "{status}");
    assert_rejected(request(address, "aa").await, "after the handover").await;
    server.send_line("still").await;
    assert_eq!(client.next().await.expect("a line").as_deref(), Some("still"));
}

/// Guards against two attempts with one id: a client that the old process has accepted sends the id of a
/// request that is open at the new one.
#[tokio::test]
async fn an_id_that_is_open_at_the_new_process_is_rejected_by_the_old_one() {
    let deployment = MockDeployment::new(2).await;
    let (options, address) = shared_options(&deployment);
    let first = deployment.start(&options).await;
    let mut accepted = LineClient::connect(address).await.expect("an accepted connection");
    accepted.send_line("PING").await.expect("an open connection");
    assert_eq!(accepted.next().await.expect("an answer").as_deref(), Some("PONG"));
    let _second = deployment.start(&options).await;
    await_successor(&first).await;
    let _connection = establish(&deployment, address, "aa").await;
    tokio::time::sleep(EXCHANGE_TIME).await;
    accepted.send_line("OPEN aa 7 c=meter,d=3000,g=1").await.expect("an open connection");
    assert_rejected(accepted, "at the old process").await;
}

/// Guards against a request that is executed twice: its client leaves while an attempt is in flight, and its
/// id comes again, at this process and at the next one.
#[tokio::test]
async fn an_id_that_may_have_been_executed_is_rejected_after_its_client_left() {
    let deployment = MockDeployment::new(2).await;
    let (shared, address) = deployment.shared();
    let options = Options { shared: Some(shared), ..deployment.options(&unrepeatable_class()) };
    let first = deployment.start(&options).await;
    let client = request(address, "aa").await;
    let mut attempt = deployment.next_attempt().await;
    drop(client);
    await_close(&mut attempt).await;
    assert_rejected(request(address, "aa").await, "at the same process").await;
    let (client, mut served) = establish(&deployment, address, "bb").await;
    drop(client);
    await_close(&mut served).await;
    assert_rejected(request(address, "bb").await, "after a connection that has ended").await;
    let _second = deployment.start(&options).await;
    await_successor(&first).await;
    assert_rejected(request(address, "aa").await, "at the next process").await;
    assert_rejected(request(address, "bb").await, "at the next process").await;
}

/// Guards against the loss of requests whose ids come again although nothing was executed.
#[tokio::test]
async fn an_id_that_was_not_executed_is_accepted_again() {
    let deployment = MockDeployment::new(1).await;
    let daemon = deployment.start(&deployment.options(&unrepeatable_class())).await;
    let mut client = request(daemon.lines, "aa").await;
    let answer = loop {
        tokio::select! {
            answer = client.next() => break answer.expect("an answer"),
            mut attempt = deployment.next_attempt() => attempt.send_line("BUSY").await,
        }
    };
    assert!(answer.as_deref().is_some_and(|line| line.starts_with("BUSY")), "{answer:?}");
    establish(&deployment, daemon.lines, "aa").await;
}

/// Guards against the loss of requests whose class permits that they are executed twice.
#[tokio::test]
async fn an_id_of_a_repeatable_request_is_accepted_again() {
    let deployment = MockDeployment::new(2).await;
    let daemon = deployment.start(&deployment.options(&json!({}))).await;
    let (client, mut served) = establish(&deployment, daemon.lines, "aa").await;
    drop(client);
    await_close(&mut served).await;
    establish(&deployment, daemon.lines, "aa").await;
}

/// Guards against a sibling's copy of the ids that differs from them, for any order of claims, releases and
/// messages of any length.
#[test]
fn a_sibling_that_has_taken_all_changes_has_the_same_ids() {
    let steps = vec((0_u8..8, any::<bool>(), 0_usize..12), 0..60);
    TestRunner::deterministic()
        .run(&steps, |steps| {
            check_copy(steps);
            Ok(())
        })
        .expect("an equal copy");
}

/// Claims and releases the ids of the steps, and sends the changes to a sibling, which must then have the
/// same ids. A step has the number of an id, whether changes are sent, and the length of the message.
fn check_copy(steps: Vec<(u8, bool, usize)>) {
    let (own, sibling) = (OpenIds::default(), OpenIds::default());
    let mut claims = Vec::new();
    let mut used_ids = HashSet::new();
    let mut follower = None;
    for (number, takes, max_length) in steps {
        let id = format!("id{number}");
        match claims.iter().position(|(claimed, _)| *claimed == id) {
            Some(index) => drop(claims.swap_remove(index)),
            None => claims.push((id.clone(), own.claim(id.as_bytes()).expect("an unclaimed id"))),
        }
        if let Some((used, claim)) = claims.last_mut().filter(|_| takes) {
            claim.set_used(true);
            used_ids.insert(used.clone());
        }
        let follower = follower.get_or_insert_with(|| own.follow());
        if takes {
            sibling.apply_sibling_changes(0, &follower.take(max_length));
        }
    }
    if let Some(follower) = &follower {
        while follower.has_untaken() {
            sibling.apply_sibling_changes(0, &follower.take(1));
        }
    }
    let open: HashSet<&str> = claims.iter().map(|(id, _)| id.as_str()).collect();
    for number in 0..8 {
        let id = format!("id{number}");
        assert_eq!(sibling.claim(id.as_bytes()).is_none(), open.contains(id.as_str()), "{id}");
        assert_eq!(sibling.was_used(id.as_bytes()), own.was_used(id.as_bytes()), "{id}");
        let is_released = !open.contains(id.as_str());
        assert!(!(is_released && used_ids.contains(&id)) || own.was_used(id.as_bytes()), "{id}");
        assert!(sibling.adopt(id.as_bytes()).is_some(), "a handed off connection is adopted");
    }
    sibling.forget_sibling(0);
    assert!(sibling.claim(b"id0").is_some());
}
