//! Start of a process whose endpoint list is pushed by an agent: the list of the configuration may be old.

mod mock_deployment;

use std::net::SocketAddr;
use std::time::Duration;

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::chunk;
use mock_deployment::{MockDeployment, endpoint_list, request_connection};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// Time for which the agent stays silent.
const SILENCE: Duration = Duration::from_millis(1500);
/// Time for which the clients wait, longer than the silence and the gateway's next call.
const CLIENT_WAIT_MS: u32 = 10_000;
/// Number of clients that connect while the agent is silent.
const CLIENTS: usize = 6;

/// Agent that accepts calls, and answers each with `list` once it is no longer silent.
struct Agent {
    address: SocketAddr,
    silent: watch::Sender<bool>,
}

impl Agent {
    async fn start(silent: bool, list: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (sender, receiver) = watch::channel(silent);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer(stream, list.clone(), receiver.clone()));
            }
        });
        Self { address, silent: sender }
    }
}

async fn answer(mut stream: TcpStream, list: String, mut silent: watch::Receiver<bool>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else { return };
        head.push(byte);
    }
    if silent.wait_for(|&silent| !silent).await.is_err() {
        return;
    }
    let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&list));
    let _ = stream.write_all(text.as_bytes()).await;
    let _ = stream.read_u8().await;
}

/// Starts a daemon whose known list has all servers as serving, with an agent at this address.
async fn start(deployment: &MockDeployment, agent: SocketAddr) -> Daemon {
    let classes = json!([{"name": "meter", "aim": 0.4, "deadline": 10.0, "effect": "pure", "worth": 1.0}]);
    let config = json!({"discovery": agent, "settings": {"classes": classes}});
    deployment.start(&Options { pushed: true, ..deployment.options(&config) }).await
}

async fn open_clients(daemon: &Daemon) -> Vec<LineClient> {
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        clients.push(request_connection(daemon.lines, "meter", CLIENT_WAIT_MS).await);
    }
    clients
}

/// Guards against a new process that treats its old list as current while the agent is silent: a server that
/// has begun to drain or has restarted meanwhile is sent connections as if it were ready and warm.
#[tokio::test]
async fn a_new_process_places_nothing_before_the_agent_has_confirmed_its_list() {
    let deployment = MockDeployment::new(2).await;
    let addresses = deployment.addresses();
    let current = endpoint_list(7, &[(addresses[0], "DRAINING"), (addresses[1], "SERVING")]);
    let agent = Agent::start(true, format!("{current}\n")).await;
    let daemon = start(&deployment, agent.address).await;
    let _clients = open_clients(&daemon).await;
    let early = timeout(SILENCE, deployment.next_attempt()).await;
    assert!(early.is_err(), "an attempt at s-{} before the agent answered", early.expect("one").server);
    agent.silent.send_replace(false);
    for _ in 0..CLIENTS {
        assert_eq!(deployment.next_attempt().await.server, 1, "s-0 drains");
    }
}

/// Guards against a new process that places nothing although no agent runs that could have a newer list.
#[tokio::test]
async fn a_new_process_uses_its_list_if_no_agent_is_running() {
    let deployment = MockDeployment::new(2).await;
    let daemon = start(&deployment, ([127, 0, 0, 1], 1).into()).await;
    let _clients = open_clients(&daemon).await;
    for _ in 0..CLIENTS {
        deployment.next_attempt().await;
    }
}

/// Guards against a delay of the start while the agent answers.
#[tokio::test]
async fn a_new_process_serves_at_once_if_the_agent_answers() {
    let deployment = MockDeployment::new(2).await;
    let agent = Agent::start(false, "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}\n".to_owned()).await;
    let daemon = start(&deployment, agent.address).await;
    let _clients = open_clients(&daemon).await;
    let first = timeout(Duration::from_secs(1), deployment.next_attempt()).await;
    assert!(first.is_ok(), "no attempt within a second");
}
