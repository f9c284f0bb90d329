//! Connections that were established before the start of a process, with servers that its list lacks.

mod mock_deployment;

use std::path::Path;
use std::time::Duration;

use ashtide_testkit::clients::{LineClient, QuicClients, SocketPool};
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::MockBackend;
use mock_deployment::MockDeployment;
use serde_json::{Value, json};

/// Delay with which discovery answers, long enough that the clients come first.
const DISCOVERY_DELAY: Duration = Duration::from_millis(800);
/// Delay of a discovery service that does not answer during a test.
const NO_ANSWER: Duration = Duration::from_secs(60);

async fn start(backend: &MockBackend, options: &Options) -> Daemon {
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    Daemon::start(program, backend, options).await.expect("a running daemon")
}

/// Returns the backend's list as it was before its last server was added.
fn old_list(backend: &MockBackend) -> Value {
    let mut list = backend.endpoint_list();
    list["endpoints"].as_array_mut().expect("a list of servers").pop();
    list["index"] = json!(list["index"].as_u64().expect("a version") - 1);
    list
}

/// Starts a backend with two servers whose discovery answers after `delay`, and returns it with the options
/// of a daemon that knows the first server only.
async fn backend_with_new_server(delay: Duration) -> (MockBackend, Options) {
    let mut backend = MockBackend::start(1).await.expect("mock servers");
    backend.add("here", 0).await.expect("a further server");
    backend.set_discovery_delay(delay);
    let options = Options { known: Some(old_list(&backend)), ..Options::default() };
    (backend, options)
}

/// Sends a request to restore a connection with this server.
async fn restore(daemon: &Daemon, server: &str) -> LineClient {
    let mut client = LineClient::connect(daemon.lines).await.expect("a connection");
    client.send_line(&format!("OPEN 1 2 c=meter,d=2000,at={server}")).await.expect("a sent line");
    client
}

/// Guards against `ERR` for a connection with a running server that only the list of the start lacks.
#[tokio::test]
async fn a_connection_is_restored_once_discovery_lists_its_server() {
    let (backend, options) = backend_with_new_server(DISCOVERY_DELAY).await;
    let daemon = start(&backend, &options).await;
    let answer = restore(&daemon, "s-1").await.next().await.expect("an answer");
    assert!(answer.as_deref().is_some_and(|line| line.starts_with("UP ")), "{answer:?}");
}

/// Guards against a wait for a server that discovery does not list.
#[tokio::test]
async fn a_connection_with_an_unknown_server_fails_once_discovery_has_answered() {
    let (backend, options) = backend_with_new_server(DISCOVERY_DELAY).await;
    let daemon = start(&backend, &options).await;
    let answer = restore(&daemon, "s-9").await.next().await.expect("an answer");
    assert_eq!(answer.as_deref(), Some("ERR"));
}

/// Guards against a waiting request without a final answer at the exit of the process.
#[tokio::test]
async fn a_waiting_restore_request_is_rejected_when_the_process_stops() {
    let (backend, options) = backend_with_new_server(NO_ANSWER).await;
    let daemon = start(&backend, &options).await;
    let mut client = restore(&daemon, "s-1").await;
    daemon.wait_for_log_line("session: a client restores").await.expect("a waiting request");
    daemon.terminate().expect("a running daemon");
    let answer = client.next().await.expect("an answer");
    assert!(answer.as_deref().is_some_and(|line| line.starts_with("BUSY")), "{answer:?}");
    let (status, _) = daemon.wait_for_exit().await.expect("an exit");
    assert!(status.success(), "{status}");
}

/// Guards against an exit of the process: a cordon names a server that its list lacks, and a client restores
/// a connection with that server.
#[tokio::test]
async fn a_connection_with_a_cordoned_server_is_restored_once_discovery_lists_it() {
    let deployment = MockDeployment::new(0).await;
    let (backend, options) = backend_with_new_server(DISCOVERY_DELAY).await;
    let options = Options { shared: Some(deployment.shared().0), ..options };
    let mut first = start(&backend, &Options { known: None, ..options.clone() }).await;
    assert!(first.send_command("cordon s-1").await.expect("a response").starts_with("200"));
    first.kill().await.expect("a running daemon");
    let mut second = start(&backend, &options).await;
    let address = options.shared.as_ref().expect("a listener").listener.local_addr().expect("bound");
    let mut client = LineClient::connect(address).await.expect("a connection");
    client.send_line("OPEN 1 2 c=meter,d=2000,at=s-1").await.expect("a sent line");
    let answer = client.next().await.expect("an answer");
    assert!(answer.as_deref().is_some_and(|line| line.starts_with("UP ")), "{answer:?}");
    assert!(second.is_running());
}

/// Guards against a reset of QUIC connections with a running server that only the list of the start lacks.
#[tokio::test]
async fn quic_connections_continue_once_discovery_lists_their_server() {
    const CLIENTS: usize = 8;
    let (backend, options) = backend_with_new_server(Duration::ZERO).await;
    let options = Options { paths: 4 * CLIENTS, ..options };
    let mut first = start(&backend, &Options { known: None, ..options.clone() }).await;
    let address = first.quic.expect("the QUIC front end");
    let mut pool = SocketPool::open(CLIENTS, address).await.expect("sockets");
    let mut clients = QuicClients::new(CLIENTS, 1);
    assert_eq!(clients.open(&mut pool).await, 0, "every connection is established");
    first.kill().await.expect("a running daemon");
    backend.set_discovery_delay(DISCOVERY_DELAY);
    let second = start(&backend, &Options { quic_address: Some(address), ..options }).await;
    second.wait_for_log_line("quic: listens on").await.expect("the QUIC front end");
    let all: Vec<usize> = (0..CLIENTS).collect();
    let unanswered = clients.exchange_message(&mut pool, &all, 1).await;
    let resets: Vec<u32> = clients.all.iter().map(|client| client.resets).collect();
    assert_eq!((unanswered, resets), (0, vec![0; CLIENTS]));
}
