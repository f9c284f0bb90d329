//! A client that sends small lines at full speed, while others use the gateway.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use ashtide_testkit::clients::LineClient;
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::MockBackend;

/// Time within which a line has to be passed on.
const MAX_LINE_DELAY: Duration = Duration::from_secs(1);
/// Time within which a client without a request is answered.
const MAX_PENDING_TIME: Duration = Duration::from_secs(3);

async fn start() -> (MockBackend, Daemon) {
    let backend = MockBackend::start(2).await.expect("mock servers");
    let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
    let daemon = Daemon::start(program, &backend, &Options::default()).await.expect("a running daemon");
    (backend, daemon)
}

/// Sends `PING` at full speed and reads the answers, until the connection ends or `limit` has passed. Returns
/// the time for which the connection was open.
fn flood_with_pings(address: SocketAddr, limit: Duration) -> Duration {
    let mut writer = TcpStream::connect(address).expect("a connection");
    let mut reader = writer.try_clone().expect("a second handle");
    let started_at = Instant::now();
    let reader = std::thread::spawn(move || {
        let mut buffer = [0; 1 << 16];
        while matches!(reader.read(&mut buffer), Ok(1..)) {}
        started_at.elapsed()
    });
    let lines = b"PING\r\n".repeat(5000);
    while started_at.elapsed() < limit && writer.write_all(&lines).is_ok() {}
    let _ = writer.shutdown(std::net::Shutdown::Both);
    reader.join().expect("no panic")
}

/// Guards against a client without a request that is never answered, because it always has a line ready.
#[tokio::test]
async fn a_client_that_floods_with_pings_is_answered_in_time() {
    let (_backend, daemon) = start().await;
    let address = daemon.lines;
    let flood = tokio::task::spawn_blocking(move || flood_with_pings(address, 2 * MAX_PENDING_TIME));
    for number in 0..20 {
        let started_at = Instant::now();
        let (mut client, answer) = LineClient::open(address, number).await.expect("an answer");
        assert!(answer.starts_with("UP "), "{answer}");
        assert!(client.receives_echo("line").await.expect("a line"));
        assert!(started_at.elapsed() < MAX_LINE_DELAY, "served after {:?}", started_at.elapsed());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let open_for = flood.await.expect("no panic");
    assert!(open_for < MAX_PENDING_TIME, "the flooding client was answered after {open_for:?}");
}
