//! An upgrade of a gateway with a QUIC front end: the new process starts beside the old one, whose QUIC and
//! VRRP addresses it uses once they are free.

mod mock_deployment;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ashtide_testkit::clients::{QuicClients, SocketPool};
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::MockBackend;
use mock_deployment::MockDeployment;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Number of QUIC clients, fewer than the paths of a daemon.
const CLIENTS: usize = 8;
/// Number of paths of a daemon.
const PATHS: usize = 32;
/// Time after SIGTERM within which the new process serves QUIC clients. They wait 1.5 s, which
/// [`ashtide_testkit::daemon::INITIAL_DEADLINE_MS`] sets.
const MAX_TAKEOVER: Duration = Duration::from_millis(1500);

async fn free_udp_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.3:0").await.expect("a free port");
    socket.local_addr().expect("a bound socket")
}

async fn start(backend: &MockBackend, options: &Options) -> Daemon {
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    Daemon::start(program, backend, options).await.expect("a running daemon")
}

/// Establishes new connections until `count` of them succeed, as clients repeat their Initials.
async fn open_connections(address: SocketAddr, series: u64) -> (SocketPool, QuicClients) {
    let mut pool = SocketPool::open(CLIENTS, address).await.expect("sockets");
    let mut clients = QuicClients::new(CLIENTS, series);
    assert_eq!(clients.open(&mut pool).await, 0, "every connection is established");
    (pool, clients)
}

/// Upgrades a gateway: starts a second process, then terminates the first one. Returns the second one.
async fn upgrade(backend: &MockBackend, options: &Options, first: Daemon) -> Daemon {
    let second = start(backend, options).await;
    first.wait_for_log_line("handover: the successor accepts clients").await.expect("a ready successor");
    let terminated_at = Instant::now();
    first.terminate().expect("a running daemon");
    second.wait_for_log_line("quic: listens on").await.expect("the QUIC front end of the new process");
    let elapsed = terminated_at.elapsed();
    assert!(elapsed < MAX_TAKEOVER, "the new process served no QUIC client for {elapsed:?}");
    let (status, _) = first.wait_for_exit().await.expect("the exit of the old process");
    assert!(status.success(), "{status}");
    second
}

/// Guards against a new process that exits because the old one still uses the QUIC front end's address.
#[tokio::test]
async fn an_upgrade_with_a_quic_front_end_leaves_the_new_process_running() {
    let deployment = MockDeployment::new(0).await;
    let backend = MockBackend::start(2).await.expect("mock servers");
    let address = free_udp_address().await;
    let options = Options {
        paths: PATHS,
        quic_address: Some(address),
        shared: Some(deployment.shared().0),
        ..Options::default()
    };
    let first = start(&backend, &options).await;
    first.wait_for_log_line("quic: listens on").await.expect("the QUIC front end");
    let (mut pool, mut clients) = open_connections(address, 1).await;
    let mut second = upgrade(&backend, &options, first).await;
    // Each established connection has been migrated with one stateless reset.
    while let Some(datagram) = pool.next().await {
        clients.handle_datagram(&datagram);
    }
    let resets: Vec<u32> = clients.all.iter().map(|client| client.resets).collect();
    assert_eq!(resets, [1; CLIENTS]);
    open_connections(address, 2).await;
    assert!(second.is_running());
}

/// Guards against a new process that never becomes the active router, as the old one used the VRRP address
/// when it started.
#[tokio::test]
async fn an_upgrade_with_vrrp_leaves_the_new_process_active() {
    let deployment = MockDeployment::new(0).await;
    let backend = MockBackend::start(2).await.expect("mock servers");
    let (address, router, peer) =
        (free_udp_address().await, free_udp_address().await, free_udp_address().await);
    let options = Options {
        paths: PATHS,
        quic_address: Some(address),
        vrrp: format!(
            "[vrrp]\nrouter = 7\npriority = 200\ninterval_ms = 50\nlisten = \"{router}\"\n\
             peers = [\"{peer}\"]\naddresses = [\"127.0.0.100\"]\n"
        ),
        shared: Some(deployment.shared().0),
        ..Options::default()
    };
    let first = start(&backend, &options).await;
    first.wait_for_log_line("vrrp: router 7 is Active").await.expect("an active router");
    open_connections(address, 1).await;
    let second = upgrade(&backend, &options, first).await;
    second.wait_for_log_line("vrrp: router 7 is Active").await.expect("an active router");
    open_connections(address, 2).await;
}
