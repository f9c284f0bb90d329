//! Named scenarios. Each starts its own mock backend and daemon, and records its checks.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ashtide_client::{Address, Client, SessionEvent, SessionRequest, Settings};
use tokio::net::UdpSocket;
use tokio::time::{Duration, Instant};

use crate::clients::{LineClient, QuicClients, SocketPool, short_header_packet};
use crate::daemon::{Daemon, INITIAL_DEADLINE_MS, Options, Shared};
use crate::mock_backend::{MockBackend, ServerBehavior};
use crate::{Checks, ID_LENGTH, ScenarioError, within};
use ashtide::discovery::EndpointStatus;
use ashtide::quic::ConnectionId;
use ashtide::quic::initial::CONNECTION_REFUSED;
use ashtide::quic::load_balancing::{encode_routable_id, server_id_for_name};

/// Names of all scenarios.
pub const NAMES: [&str; 13] = [
    "migration",
    "unknown-id",
    "refusal",
    "drain",
    "loss",
    "stop",
    "reload",
    "pushed",
    "rude",
    "upgrade",
    "inheritance",
    "vrrp-failover",
    "return",
];
/// Default number of clients of the migration scenario.
pub const MIGRATION_CLIENTS: usize = 2000;
/// Number of sockets shared by the mock QUIC clients.
const CLIENT_SOCKETS: usize = 32;
/// Number of the QUIC front end's sockets to servers in scenarios with few clients.
const FEW_PATHS: usize = 200;
/// Number of clients of each front end in scenarios with few clients.
const FEW_CLIENTS: usize = 24;
/// Maximum number of tries until an expected state is reached.
const MAX_TRIES: usize = 60;

/// Runs the scenario with this name against the daemon `program`. `migration_clients` is the number of
/// clients of the migration scenario.
///
/// # Errors
///
/// Returns an error if the scenario is unknown or cannot run to completion.
pub async fn run_scenario(
    name: &str,
    program: &Path,
    migration_clients: usize,
) -> Result<Checks, ScenarioError> {
    match name {
        "migration" => migration(program, migration_clients).await,
        "unknown-id" => unknown_id(program).await,
        "refusal" => refusal(program).await,
        "drain" => drain(program).await,
        "loss" => loss(program).await,
        "stop" => stop(program).await,
        "reload" => reload(program).await,
        "pushed" => pushed(program).await,
        "rude" => misbehaving_clients(program).await,
        "upgrade" => upgrade(program).await,
        "inheritance" => inheritance(program).await,
        "vrrp-failover" => vrrp_failover(program).await,
        "return" => mass_reconnection(program).await,
        other => Err(ScenarioError::UnknownScenario(other.to_owned())),
    }
}

/// Starts a mock backend and a daemon with a QUIC front end, and opens sockets to that front end.
async fn start_environment(
    program: &Path,
    servers: usize,
    paths: usize,
) -> Result<Environment, ScenarioError> {
    let backend = MockBackend::start(servers).await?;
    let daemon = Daemon::start(program, &backend, &Options { paths, ..Options::default() }).await?;
    let quic = daemon.quic.ok_or(ScenarioError::TimedOut("the QUIC front end"))?;
    Ok(Environment { backend, daemon, pool: SocketPool::open(CLIENT_SOCKETS, quic).await? })
}

/// Mock backend, daemon and client sockets of a scenario.
struct Environment {
    backend: MockBackend,
    daemon: Daemon,
    pool: SocketPool,
}

impl Environment {
    /// Opens line clients. Returns them and the number of those whose connection was established.
    async fn open_line_clients(&self, count: usize) -> Result<(Vec<LineClient>, usize), ScenarioError> {
        let (mut clients, mut up) = (Vec::new(), 0);
        for number in 0..count as u64 {
            let (client, answer) = LineClient::open(self.daemon.lines, number).await?;
            up += usize::from(answer.starts_with("UP "));
            clients.push(client);
        }
        Ok((clients, up))
    }
}

/// Checks that clients can change their address during a session, half of them with a new connection id.
async fn migration(program: &Path, count: usize) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let Environment { backend, mut daemon, mut pool } = start_environment(program, 4, 2 * count + 64).await?;
    let quic = daemon.quic.ok_or(ScenarioError::TimedOut("the QUIC front end"))?;
    let mut clients = QuicClients::new(count, 1);
    let all: Vec<usize> = (0..count).collect();
    checks.record_equal("every connection is established", clients.open(&mut pool).await, 0);
    checks.record_equal(
        "every client is answered before its address changes",
        clients.exchange_message(&mut pool, &all, 1).await,
        0,
    );
    let servers: std::collections::BTreeSet<_> = clients.all.iter().map(|c| c.server).collect();
    checks.record_equal("all servers are in use", servers.len(), 4);

    let mut new_address_pool = SocketPool::open(CLIENT_SOCKETS, quic).await?;
    for client in clients.all.iter_mut().skip(1).step_by(2) {
        client.id = client.spare;
    }
    let unanswered = clients.exchange_message(&mut new_address_pool, &all, 2).await;
    checks.record_equal("every client is answered at its new address", unanswered, 0);
    checks.record_equal(
        "every client is answered again at its new address",
        clients.exchange_message(&mut new_address_pool, &all, 3).await,
        0,
    );
    checks.record_equal("no answer came from another server", clients.wrong_server, 0);
    checks.record_equal(
        "no server received a packet of another server's client",
        backend.sum(|counters| &counters.misrouted),
        0,
    );
    checks.record_equal(
        "no client was assigned to a server twice",
        backend.sum(|counters| &counters.accepted),
        count as u64,
    );
    checks.record_equal("no client was reset", clients.all.iter().map(|c| c.resets).sum::<u32>(), 0);
    checks.record("the daemon is still running", daemon.is_running(), "process state");
    Ok(checks)
}

/// Checks packets with unknown connection ids and malformed datagrams.
async fn unknown_id(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let Environment { backend, mut daemon, mut pool } = start_environment(program, 2, FEW_PATHS).await?;
    let mut clients = QuicClients::new(3, 2);
    let unknown_ids = [
        ConnectionId::new(&[0xff; ID_LENGTH]).unwrap_or_default(),
        encode_routable_id(0, server_id_for_name("no such server"), ID_LENGTH, 1),
    ];
    clients.expect_resets(&unknown_ids[..1], 0);
    clients.expect_resets(&unknown_ids[1..], 1);
    // An unlisted server may be new, so its ids get no answer before discovery has confirmed the list.
    daemon.wait_for_log_line("discovery: watching").await?;
    let mut tries = 0;
    while clients.all[1].resets == 0 && tries < MAX_TRIES {
        pool.send(0, &short_header_packet(&unknown_ids[1], 0)).await;
        clients.flush(&mut pool).await;
        tries += 1;
    }
    for unknown_id in &unknown_ids {
        for message in 1..5 {
            pool.send(0, &short_header_packet(unknown_id, message)).await;
        }
    }
    for malformed in
        [&b""[..], b"\x00", b"\x40", b"GET / HTTP/1.1\r\n", &[0xff; 1300], &[0xc0, 0, 0, 0, 1, 255]]
    {
        pool.send(0, malformed).await;
    }
    let mut small = clients.initial(2);
    small.truncate(600);
    pool.send(0, &small).await;
    checks.record("the daemon answers an unsupported version", clients.flush(&mut pool).await, "");
    checks.record_equal("an id without a server is reset exactly once", clients.all[0].resets, 1);
    checks.record_equal("an id of an unlisted server is reset exactly once", clients.all[1].resets, 1);
    checks.record_equal("malformed datagrams get no answer", clients.unexpected, 0);
    checks.record_equal("no packet reached a server", backend.sum(|counters| &counters.misrouted), 0);
    checks.record_equal(
        "a connection is still established",
        clients.exchange(&mut pool, &[2], QuicClients::initial, |c| c.id.is_some()).await,
        0,
    );
    // A packet with an id that names a listed server is sent to that server, even if the server doesn't know
    // the id. The server is responsible for the answer.
    pool.send(
        0,
        &short_header_packet(&encode_routable_id(0, server_id_for_name("s-0"), ID_LENGTH, 1 << 40), 9),
    )
    .await;
    let mut tries = 0;
    while backend.sum(|counters| &counters.misrouted) == 0 && tries < MAX_TRIES {
        clients.flush(&mut pool).await;
        tries += 1;
    }
    checks.record_equal(
        "a packet with an unknown id of a listed server is sent to that server",
        backend.sum(|counters| &counters.misrouted),
        1,
    );
    checks.record("the daemon is still running", daemon.is_running(), "process state");
    Ok(checks)
}

/// Checks that clients receive exactly one refusal when servers reject or don't answer.
async fn refusal(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    for behavior in [ServerBehavior::Reject, ServerBehavior::Silent] {
        let Environment { backend, mut daemon, mut pool } = start_environment(program, 2, FEW_PATHS).await?;
        backend.servers.iter().for_each(|server| server.set_behavior(behavior));
        let mut clients = QuicClients::new(1, 3);
        let start = Instant::now();
        let unanswered =
            clients.exchange(&mut pool, &[0], QuicClients::initial, |c| !c.closed.is_empty()).await;
        let took = start.elapsed();
        checks.record_equal(&format!("{behavior:?}: the client receives an answer"), unanswered, 0);
        // The same Initial sent again is not a second request.
        pool.send(0, &clients.initial(0)).await;
        clients.flush(&mut pool).await;
        checks.record_equal(
            &format!("{behavior:?}: the client receives one answer only"),
            clients.all[0].closed.len(),
            1,
        );
        let answer = clients.all[0].closed.first().cloned().unwrap_or_default();
        let refused = answer.0 == CONNECTION_REFUSED && answer.1.starts_with("BUSY ");
        checks.record(
            &format!("{behavior:?}: the answer is a refusal with a retry delay"),
            refused,
            format!("{answer:?}"),
        );
        let within = Duration::from_millis(u64::from(INITIAL_DEADLINE_MS) + 100);
        checks.record(
            &format!("{behavior:?}: the answer is received within the deadline"),
            took <= within,
            format!("{took:?}"),
        );
        if behavior == ServerBehavior::Reject {
            let half = Duration::from_millis(u64::from(INITIAL_DEADLINE_MS) * 2 / 3);
            checks.record(
                "Reject: the answer is received long before the deadline",
                took <= half,
                format!("{took:?}"),
            );
        }
        checks.record_equal(
            &format!("{behavior:?}: no server accepted the connection"),
            backend.sum(|counters| &counters.accepted),
            0,
        );
        checks.record("the daemon is still running", daemon.is_running(), "process state");
    }
    Ok(checks)
}

/// Checks that clients leave a server that drains and is then removed from the list.
async fn drain(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let mut environment = start_environment(program, 3, FEW_PATHS).await?;
    let (mut lines, up) = environment.open_line_clients(FEW_CLIENTS).await?;
    checks.record_equal("line connections are established", up, FEW_CLIENTS);
    let mut clients = QuicClients::new(FEW_CLIENTS, 4);
    checks.record_equal("QUIC connections are established", clients.open(&mut environment.pool).await, 0);
    let server = &environment.backend.servers[0];
    let taken = server.counters.accepted.load(Ordering::Relaxed);
    checks.record("the server has clients before its drain", taken > 0, taken);
    let draining = server_id_for_name(&server.name);
    let quic_on_draining = clients.all.iter().filter(|c| c.server == Some(draining)).count();
    environment.backend.set_status(0, EndpointStatus::Draining);

    // The first MOVE shows that the daemon has received the list update.
    let first_move = {
        let first = lines.iter_mut().map(|client| Box::pin(client.next()));
        let (first, index, _) = within("a first MOVE", futures_util::future::select_all(first)).await?;
        (first?, index)
    };
    checks.record_equal(
        "the first line to a client of the draining server",
        first_move.0.as_deref(),
        Some("MOVE"),
    );
    lines.swap_remove(first_move.1);
    let offered = server.counters.offered.load(Ordering::Relaxed);
    let (_new_clients, up) = environment.open_line_clients(FEW_CLIENTS).await?;
    checks.record_equal("connections of new clients are established", up, FEW_CLIENTS);
    let offered = server.counters.offered.load(Ordering::Relaxed) - offered;
    checks.record_equal("no new client is offered to the draining server", offered, 0);

    environment.backend.remove(0);
    let final_lines = lines.iter_mut().map(|client| async move {
        client.send_line("still there").await?;
        let mut line = client.next().await?;
        // If the line and the MOVE cross, the echo is received first.
        if line.as_deref() == Some("still there") {
            if let Ok(moved) = tokio::time::timeout(REMOVAL_TIMEOUT, client.next()).await {
                line = moved?;
            }
        }
        Ok::<_, ScenarioError>(line)
    });
    let (mut moved_count, mut stayed) = (1, 0);
    for line in futures_util::future::join_all(final_lines).await {
        match line?.as_deref() {
            Some("MOVE") => moved_count += 1,
            Some("still there") => stayed += 1,
            _ => {}
        }
    }
    let lines_on_draining = taken as usize - quic_on_draining;
    checks.record_equal("line clients of the draining server receive MOVE", moved_count, lines_on_draining);
    checks.record_equal("the other line clients remain connected", stayed, FEW_CLIENTS - lines_on_draining);
    let mut tries = 0;
    while clients.all.iter().any(|c| c.server == Some(draining) && c.resets == 0) && tries < MAX_TRIES {
        clients.flush(&mut environment.pool).await;
        tries += 1;
    }
    let resets = clients.all.iter().filter(|c| c.server == Some(draining) && c.resets == 1).count();
    checks.record_equal("QUIC clients of the draining server are reset once", resets, quic_on_draining);
    let others: Vec<usize> =
        (0..FEW_CLIENTS).filter(|&index| clients.all[index].server != Some(draining)).collect();
    checks.record_equal(
        "QUIC clients of other servers are still answered",
        clients.exchange_message(&mut environment.pool, &others, 1).await,
        0,
    );
    checks.record("the daemon is still running", environment.daemon.is_running(), "process state");
    Ok(checks)
}

/// Time limit for the MOVE to a client whose server was removed from the list.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(2500);

/// Checks that clients of silent servers and of stopped servers are moved.
async fn loss(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let mut environment = start_environment(program, 2, FEW_PATHS).await?;
    let (mut lines, up) = environment.open_line_clients(4).await?;
    checks.record_equal("line connections are established", up, 4);
    let mut clients = QuicClients::new(4, 5);
    checks.record_equal("QUIC connections are established", clients.open(&mut environment.pool).await, 0);
    let all: Vec<usize> = (0..4).collect();

    // Silent servers: a line without an answer.
    let start = Instant::now();
    environment.backend.servers.iter().for_each(|server| server.set_behavior(ServerBehavior::Silent));
    for client in &mut lines {
        client.send_line("anyone there?").await?;
    }
    let mut moved = 0;
    for client in &mut lines {
        moved += usize::from(client.receives_move().await?);
    }
    checks.record_equal("clients of silent servers receive MOVE", moved, 4);
    checks.record(
        "MOVE is received within 7 s",
        start.elapsed() < Duration::from_secs(7),
        format!("{:?}", start.elapsed()),
    );
    // The QUIC clients send only now, after a pause, so that each of their messages expects an answer.
    let datagram = |clients: &QuicClients, index: usize| clients.message(index, 1);
    let unanswered = clients.exchange(&mut environment.pool, &all, datagram, |c| c.resets > 0).await;
    checks.record_equal("QUIC clients of silent servers are reset", unanswered, 0);

    // Stopped servers, with a new daemon that has no ejected servers.
    let mut environment = start_environment(program, 2, FEW_PATHS).await?;
    let mut clients = QuicClients::new(4, 6);
    checks.record_equal(
        "QUIC connections are established before the servers stop",
        clients.open(&mut environment.pool).await,
        0,
    );
    let (mut lines, up) = environment.open_line_clients(4).await?;
    checks.record_equal("line connections are established before the servers stop", up, 4);
    let start = Instant::now();
    for server in &mut environment.backend.servers {
        server.stop().await;
    }
    let mut moved = 0;
    for client in &mut lines {
        moved += usize::from(client.receives_move().await?);
    }
    checks.record_equal("clients of stopped servers receive MOVE", moved, 4);
    checks.record(
        "MOVE is received within 1 s",
        start.elapsed() < Duration::from_secs(1),
        format!("{:?}", start.elapsed()),
    );
    let unanswered = clients.exchange(&mut environment.pool, &all, datagram, |c| c.resets > 0).await;
    checks.record_equal("QUIC clients of stopped servers are reset", unanswered, 0);
    checks.record("the daemon is still running", environment.daemon.is_running(), "process state");
    Ok(checks)
}

/// Checks that a planned stop moves all clients before the kill deadline.
async fn stop(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let mut environment = start_environment(program, 2, FEW_PATHS).await?;
    let (mut lines, up) = environment.open_line_clients(FEW_CLIENTS).await?;
    checks.record_equal("line connections are established", up, FEW_CLIENTS);
    let mut clients = QuicClients::new(FEW_CLIENTS, 7);
    checks.record_equal("QUIC connections are established", clients.open(&mut environment.pool).await, 0);
    let start = Instant::now();
    environment.daemon.terminate()?;
    let (late_client, answer) = LineClient::open(environment.daemon.lines, 99).await?;
    checks.record("a client that connects during the stop is accepted", answer.starts_with("UP "), answer);
    lines.push(late_client);
    let mut moved = 0;
    for client in &mut lines {
        moved += usize::from(client.receives_move().await?);
    }
    checks.record_equal("line clients receive MOVE", moved, FEW_CLIENTS + 1);
    while let Some(datagram) = environment.pool.next().await {
        clients.handle_datagram(&datagram);
    }
    let resets = clients.all.iter().filter(|c| c.resets == 1).count();
    checks.record_equal("QUIC clients are reset once", resets, FEW_CLIENTS);
    let (status, _) = environment.daemon.wait_for_exit().await?;
    checks.record("the daemon exits with success", status.success(), status);
    let took = start.elapsed();
    checks.record(
        "the daemon exits before the kill deadline",
        took < Duration::from_millis(3700),
        format!("{took:?}"),
    );
    Ok(checks)
}

/// Checks configuration reloads: one with an invalid file, one with another discovery address, and one
/// during a planned stop.
async fn reload(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(2).await?;
    // The versions of the old service are higher than those of the new one.
    (0..4).for_each(|_| backend.set_status(1, EndpointStatus::Serving));
    let daemon = Daemon::start(program, &backend, &Options::default()).await?;
    let mut environment =
        Environment { backend, daemon, pool: SocketPool::open(1, ([127, 0, 0, 1], 9).into()).await? };
    let (mut lines, up) = environment.open_line_clients(FEW_CLIENTS).await?;
    checks.record_equal("line connections are established", up, FEW_CLIENTS);
    environment.daemon.reload("discovery", "nowhere".into())?;
    environment.daemon.wait_for_log_line("reload: discovery: 'nowhere'").await?;
    let (new_clients, up) = environment.open_line_clients(1).await?;
    checks.record_equal("a client is accepted after an invalid configuration", up, 1);
    lines.extend(new_clients);
    environment.backend.move_discovery().await?;
    let discovery = environment.backend.discovery.to_string();
    for _ in 0..3 {
        environment.daemon.reload("discovery", discovery.as_str().into())?;
    }
    // Only the new service publishes this change.
    environment.backend.set_status(0, EndpointStatus::Draining);
    let taken = environment.backend.servers[0].counters.accepted.load(Ordering::Relaxed) as usize;
    let next = lines.iter_mut().map(|client| Box::pin(client.next()));
    let (first, index, _) = within("a first MOVE", futures_util::future::select_all(next)).await?;
    checks.record_equal(
        "a drain in the new service's list reaches a client",
        first?.as_deref(),
        Some("MOVE"),
    );
    lines.swap_remove(index);
    environment.daemon.terminate()?;
    environment.daemon.reload("listen", "127.0.0.1:1".into())?;
    environment.daemon.wait_for_log_line("reload: listen has changed").await?;
    let mut moved = 1;
    for client in &mut lines {
        moved += usize::from(client.receives_move().await?);
    }
    checks.record_equal("all clients receive MOVE", moved, FEW_CLIENTS + 1);
    checks.record("the draining server had clients", taken > 0, taken);
    let (status, _) = environment.daemon.wait_for_exit().await?;
    checks.record("the daemon exits with success", status.success(), status);
    Ok(checks)
}

/// Checks that a pushed endpoint list is applied like a requested one.
async fn pushed(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(2).await?;
    let options = Options { pushed: true, ..Options::default() };
    let daemon = Daemon::start(program, &backend, &options).await?;
    let environment =
        Environment { backend, daemon, pool: SocketPool::open(1, ([127, 0, 0, 1], 9).into()).await? };
    let (mut lines, up) = environment.open_line_clients(FEW_CLIENTS).await?;
    checks.record_equal("line connections are established", up, FEW_CLIENTS);
    let taken =
        |environment: &Environment| environment.backend.servers[0].counters.accepted.load(Ordering::Relaxed);
    checks.record("the server has clients before its drain", taken(&environment) > 0, taken(&environment));
    environment.backend.set_status(0, EndpointStatus::Draining);
    let next = lines.iter_mut().map(|client| Box::pin(client.next()));
    let (first, ..) = within("a first MOVE", futures_util::future::select_all(next)).await?;
    checks.record_equal("a drain in the pushed list reaches a client", first?.as_deref(), Some("MOVE"));
    let before = taken(&environment);
    let (_new_clients, up) = environment.open_line_clients(FEW_CLIENTS).await?;
    checks.record_equal("connections of new clients are established", up, FEW_CLIENTS);
    checks.record_equal("no new client is accepted by the draining server", taken(&environment), before);
    environment.backend.set_status(0, EndpointStatus::Serving);
    let mut tries = 0;
    while taken(&environment) == before && tries < MAX_TRIES {
        tries += 1;
        drop(environment.open_line_clients(1).await?);
    }
    checks.record(
        "the server is used again once it is listed as serving",
        taken(&environment) > before,
        format!("{tries} tries"),
    );
    Ok(checks)
}

/// Checks that an exiting process transfers its established connections to its successor, with the bytes in
/// transit. If the successor is suspended or has exited, a client receives a `MOVE` at worst.
async fn inheritance(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(2).await?;
    let (shared, address) = shared_gateway_resources()?;
    let folder = shared.folder.clone();
    let options = Options { shared: Some(shared), ..Options::default() };
    let first = Daemon::start(program, &backend, &options).await?;
    let mut lines = Vec::new();
    for number in 0..FEW_CLIENTS as u64 {
        let (client, answer) = LineClient::open(address, number).await?;
        checks.record("a client's connection is established", answer.starts_with("UP "), answer);
        lines.push(client);
    }
    let second = Daemon::start(program, &backend, &options).await?;
    first.wait_for_log_line("handover: the successor accepts clients").await?;
    for client in &mut lines {
        client.send_partial_line("whole\r\nhal").await?;
    }
    first.terminate()?;
    let (status, _) = first.wait_for_exit().await?;
    checks.record("the first process exits with success", status.success(), status);
    let mut complete = 0;
    for client in &mut lines {
        client.send_line("f").await?;
        let received = (client.next().await?, client.next().await?);
        complete +=
            usize::from((received.0.as_deref(), received.1.as_deref()) == (Some("whole"), Some("half")));
    }
    checks.record_equal("no line is lost or truncated, and no client receives MOVE", complete, FEW_CLIENTS);
    let taken = backend.sum(|counters| &counters.accepted);
    checks.record_equal("no server accepted a further connection", taken, FEW_CLIENTS as u64);
    let counters = second.send_command("counters").await?;
    let counted = counters.contains(&format!("router_in_progress {FEW_CLIENTS}\n"));
    checks.record("the second process counts the adopted connections", counted, counters);

    // A suspended successor receives as many connections as its socket queue holds, and these resume later.
    // The other clients are moved.
    let third = Daemon::start(program, &backend, &options).await?;
    second.wait_for_log_line("handover: the successor accepts clients").await?;
    third.set_suspended(true)?;
    second.terminate()?;
    let (status, _) = second.wait_for_exit().await?;
    checks.record(
        "the second process exits with success while its successor is suspended",
        status.success(),
        status,
    );
    third.set_suspended(false)?;
    let (mut stayed, mut moved) = (Vec::new(), 0);
    for mut client in lines {
        client.send_line("and now").await?;
        match client.next().await?.as_deref() {
            Some("and now") => stayed.push(client),
            Some("MOVE") => moved += 1,
            _ => {}
        }
    }
    checks.record_equal("every client remains connected or receives MOVE", stayed.len() + moved, FEW_CLIENTS);
    checks.record("some clients remain connected", !stayed.is_empty(), stayed.len());
    checks.record("some clients receive MOVE", moved > 0, moved);

    // Without a successor all clients are moved, including those that were handed over twice.
    third.terminate()?;
    let (mut moved_count, remaining) = (0, stayed.len());
    for client in &mut stayed {
        moved_count += usize::from(client.receives_move().await?);
    }
    checks.record_equal("clients of the last process receive MOVE", moved_count, remaining);
    let (status, _) = third.wait_for_exit().await?;
    checks.record("the last process exits with success", status.success(), status);
    let leftovers = std::fs::read_dir(&folder)?.flatten().map(|it| it.file_name());
    let leftovers: Vec<_> = leftovers.filter(|name| !name.to_string_lossy().ends_with(".kept")).collect();
    checks.record("no socket is left behind", leftovers.is_empty(), format!("{leftovers:?}"));
    std::fs::remove_dir_all(&folder)?;
    Ok(checks)
}

/// Checks clients that send nothing, malformed requests, too much data or a foreign request id.
async fn misbehaving_clients(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(2).await?;
    let options = Options { sockets: FEW_DESCRIPTORS, ..Options::default() };
    let daemon = Daemon::start(program, &backend, &options).await?;
    let mut environment =
        Environment { backend, daemon, pool: SocketPool::open(1, ([127, 0, 0, 1], 9).into()).await? };
    let address = environment.daemon.lines;
    let offered = |environment: &Environment| environment.backend.sum(|counters| &counters.offered);

    // More silent clients than file descriptors.
    let mut silent = Vec::new();
    for _ in 0..FEW_DESCRIPTORS + FEW_CLIENTS {
        silent.push((Instant::now(), LineClient::connect(address).await?));
    }
    let parameters = "c=meter,d=3000,g=1";
    let open = |id: u64, parameters: &str| format!("OPEN {id:016x} 77 {parameters}\r\n");
    let mut regular = LineClient::connect(address).await?;
    let answer = regular.send_and_receive(open(1, parameters).as_bytes()).await?.unwrap_or_default();
    checks.record(
        "a regular connection is established among silent clients",
        answer.starts_with("UP "),
        answer,
    );
    let answers = silent.iter_mut().map(|(connected_at, client)| async move {
        let line = client.next().await?;
        Ok::<_, ScenarioError>((line, connected_at.elapsed()))
    });
    let mut unanswered = 0;
    for answer in futures_util::future::join_all(answers).await {
        let (line, took) = answer?;
        let refused = line.is_none_or(|line| line.starts_with("BUSY") || line == "ERR");
        unanswered += usize::from(!refused || took > REFUSAL_TIMEOUT);
    }
    checks.record_equal("every silent client receives a refusal or is closed within 3 s", unanswered, 0);
    drop(silent);

    let before = offered(&environment);
    for (description, bytes) in [
        ("the id of an open connection", open(1, parameters)),
        ("a duplicate parameter", open(2, "c=meter,d=3000,d=10,g=1")),
        ("a load that is not a number", open(3, "c=meter,d=3000,h=NaN")),
        ("a wait of weeks", open(4, "c=meter,d=1000000000")),
        ("a negative wait", open(5, "c=meter,d=-5")),
        ("an unknown class", open(6, "c=metres,d=3000")),
        ("a server name after the start phase", open(7, "c=meter,d=3000,at=s-0")),
        ("a missing parameter list", "OPEN 8 77\r\n".to_owned()),
        ("a line without end", "x".repeat(8 << 20)),
    ] {
        let start = Instant::now();
        let line = LineClient::connect(address).await?.send_and_receive(bytes.as_bytes()).await?;
        // A client that continues to send may receive only a reset.
        let refused = line.as_deref() == Some("ERR") || (line.is_none() && bytes.len() > 1 << 20);
        checks.record(
            &format!("{description}: answered with an error in time"),
            refused && start.elapsed() <= REFUSAL_TIMEOUT,
            format!("{line:?}"),
        );
    }
    checks.record_equal("no malformed request reached a server", offered(&environment), before);

    // The servers don't answer, so that each request is still open when further bytes are received.
    environment.backend.servers.iter().for_each(|server| server.set_behavior(ServerBehavior::Silent));
    let all: String = (100..200).map(|id| open(id, parameters)).collect();
    let line = LineClient::connect(address).await?.send_and_receive(all.as_bytes()).await?;
    checks.record_equal("many requests at once are answered with an error", line.as_deref(), Some("ERR"));
    let mut leaving = LineClient::connect(address).await?;
    leaving.send_line(open(300, parameters).trim_end()).await?;
    leaving.send_line("early").await?;
    drop(leaving);
    // The id is free again once the daemon has detected that the client has left.
    environment.backend.servers.iter().for_each(|server| server.set_behavior(ServerBehavior::Serve));
    let start = Instant::now();
    let mut line: Option<String> = None;
    while start.elapsed() < REFUSAL_TIMEOUT && !line.as_deref().is_some_and(|line| line.starts_with("UP ")) {
        line = LineClient::connect(address).await?.send_and_receive(open(300, parameters).as_bytes()).await?;
    }
    let reconnected = start.elapsed() < BEFORE_ATTEMPT_TIMEOUT
        && line.as_deref().is_some_and(|line| line.starts_with("UP "));
    checks.record(
        "a client's departure is detected despite a line sent early",
        reconnected,
        format!("{line:?}"),
    );
    checks.record("the regular client is still connected", regular.receives_echo("hello").await?, "echo");
    checks.record("the daemon is still running", environment.daemon.is_running(), "process state");
    Ok(checks)
}

/// Returns the listener and folder for the processes of one gateway, and the listener's address.
fn shared_gateway_resources() -> Result<(Shared, std::net::SocketAddr), ScenarioError> {
    static CREATED: AtomicU64 = AtomicU64::new(0);
    let number = CREATED.fetch_add(1, Ordering::Relaxed);
    let listener = Arc::new(std::net::TcpListener::bind("127.0.0.1:0")?);
    let address = listener.local_addr()?;
    let folder = std::env::temp_dir().join(format!("ashtide-shared-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok((Shared { listener, folder }, address))
}

/// Checks an upgrade: the new process inherits the listener and finds the old one through the shared folder.
async fn upgrade(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(2).await?;
    let (shared, address) = shared_gateway_resources()?;
    let folder = shared.folder.clone();
    // A killed process leaves a socket file without a listener.
    drop(std::os::unix::net::UnixListener::bind(folder.join("ashtide.shared.1.sock"))?);
    let options = Options { shared: Some(shared), ..Options::default() };

    let first = Daemon::start(program, &backend, &options).await?;
    let mut lines = Vec::new();
    for number in 0..FEW_CLIENTS as u64 {
        let (client, answer) = LineClient::open(address, number).await?;
        checks.record("the first process accepts a client", answer.starts_with("UP "), answer);
        lines.push(client);
    }
    let mut second = Daemon::start(program, &backend, &options).await?;
    first.wait_for_log_line("handover: the successor accepts clients").await?;
    let health = second.send_command("health").await?;
    checks.record("the second process is ready", health.starts_with("200"), health);
    let open = "OPEN 00000000000000aa 77 c=meter,d=3000,g=1,at=s-0\r\n";
    let line = LineClient::connect(address).await?.send_and_receive(open.as_bytes()).await?;
    checks.record_equal(
        "the second process rejects a request that is valid only at the start",
        line.as_deref(),
        Some("ERR"),
    );
    let (client, answer) = LineClient::open(address, 200).await?;
    checks.record("the second process accepts a client", answer.starts_with("UP "), answer);
    lines.push(client);
    let passed = |text: &str| text.contains(&format!("passed_total{{category=\"meter\"}} {FEW_CLIENTS}\n"));
    checks.record(
        "the first process accepted no further client",
        passed(&first.send_command("counters").await?),
        "counters",
    );

    let taken = |backend: &MockBackend, server: usize| {
        backend.servers[server].counters.accepted.load(Ordering::Relaxed)
    };
    for (call, answer) in [("cordon s-0", "200"), ("cordon s-0", "200"), ("cordon s-9", "400")] {
        let response = second.send_command(call).await?;
        checks.record(call, response.starts_with(answer), response);
    }
    // The cordon remains in effect in the next process, and is removed there.
    let mut third = Daemon::start(program, &backend, &options).await?;
    second.wait_for_log_line("handover: the successor accepts clients").await?;
    let before = taken(&backend, 0);
    for number in 0..FEW_CLIENTS as u64 {
        let (client, answer) = LineClient::open(address, 400 + number).await?;
        checks.record(
            "a connection is established while a server is cordoned",
            answer.starts_with("UP "),
            answer,
        );
        drop(client);
    }
    checks.record_equal("no new request is sent to a cordoned server", taken(&backend, 0), before);
    let response = third.send_command("uncordon s-0").await?;
    checks.record("uncordon is answered", response.starts_with("200"), response);
    second.wait_for_log_line("operator: s-0 is back").await?;
    let mut tries = 0;
    while taken(&backend, 0) == before && tries < MAX_TRIES as u64 {
        tries += 1;
        drop(LineClient::open(address, 500 + tries).await?);
    }
    checks.record(
        "the uncordoned server is used again",
        taken(&backend, 0) > before,
        format!("{tries} tries"),
    );

    // After a kill of the third process the second accepts clients again.
    third.kill().await?;
    second.wait_for_log_line("handover: this process accepts clients").await?;

    first.terminate()?;
    let (status, _) = first.wait_for_exit().await?;
    let mut connected = 0;
    for client in &mut lines[..FEW_CLIENTS] {
        connected += usize::from(client.receives_echo("still here").await?);
    }
    checks.record_equal(
        "all clients of the first process remain connected to the second",
        connected,
        FEW_CLIENTS,
    );
    checks.record("the first process exits with success", status.success(), status);
    checks.record("the second process is still running", second.is_running(), "process state");
    checks.record(
        "the second process's own client is still connected",
        lines[FEW_CLIENTS].receives_echo("hello").await?,
        "echo",
    );
    drop(second);
    std::fs::remove_dir_all(folder)?;
    Ok(checks)
}

/// Descriptor limit of a daemon with few descriptors.
const FEW_DESCRIPTORS: usize = 256;
/// Time limit for the answer to a misbehaving client or the end of its connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Duration that is shorter than the time-out of an attempt at a silent server.
const BEFORE_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Checks the failover of a virtual router between two daemons.
async fn vrrp_failover(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(2).await?;
    // A separate address, as other tests bind ports of 127.0.0.1 at the same time.
    let (high_socket, low_socket) =
        (UdpSocket::bind("127.0.0.2:0").await?, UdpSocket::bind("127.0.0.2:0").await?);
    let ports = (high_socket.local_addr()?, low_socket.local_addr()?);
    drop((high_socket, low_socket));
    let options = |priority: u8, own, peer| Options {
        paths: FEW_PATHS,
        vrrp: format!(
            "[vrrp]\nrouter = 7\npriority = {priority}\ninterval_ms = 50\nlisten = \"{own}\"\n\
             peers = [\"{peer}\"]\naddresses = [\"127.0.0.100\"]\n"
        ),
        ..Options::default()
    };
    let (high, low) = (options(200, ports.0, ports.1), options(100, ports.1, ports.0));
    let first = Daemon::start(program, &backend, &high).await?;
    let mut series = 100;
    checks.record(
        "the only gateway of the virtual router becomes active",
        wait_for_acceptance(&first, true, &mut series).await?,
        "accepts connections",
    );
    let second = Daemon::start(program, &backend, &low).await?;
    checks.record(
        "a gateway of lower priority remains backup",
        !accepts_connection(&second, &mut series).await?,
        "accepts no connections",
    );
    first.terminate()?;
    checks.record(
        "the second takes over when the first exits",
        wait_for_acceptance(&second, true, &mut series).await?,
        "accepts connections",
    );
    first.wait_for_exit().await?;
    let mut restarted = Daemon::start(program, &backend, &high).await?;
    checks.record(
        "the first becomes active again",
        wait_for_acceptance(&restarted, true, &mut series).await?,
        "accepts connections",
    );
    checks.record(
        "the second becomes backup again",
        wait_for_acceptance(&second, false, &mut series).await?,
        "accepts no connections",
    );
    restarted.kill().await?;
    checks.record(
        "the second takes over when the first is killed",
        wait_for_acceptance(&second, true, &mut series).await?,
        "accepts connections",
    );
    second.terminate()?;
    let (status, log) = second.wait_for_exit().await?;
    checks.record("the daemon exits with success", status.success(), status);
    let states: Vec<&str> = log.iter().filter_map(|line| line.strip_prefix("vrrp: router 7 is ")).collect();
    checks.record_equal(
        "the VRRP states of the second",
        states,
        vec!["Backup", "Active", "Backup", "Active", "Initialize"],
    );
    Ok(checks)
}

/// Returns whether the daemon currently accepts a new connection. It sends an Initial, followed by a flush.
async fn accepts_connection(daemon: &Daemon, series: &mut u64) -> Result<bool, ScenarioError> {
    let quic = daemon.quic.ok_or(ScenarioError::TimedOut("the QUIC front end"))?;
    let mut pool = SocketPool::open(1, quic).await?;
    *series += 1;
    let mut clients = QuicClients::new(1, *series);
    pool.send(0, &clients.initial(0)).await;
    clients.flush(&mut pool).await;
    // The server's answer is received shortly after that to the flush.
    if let Some(datagram) = pool.next().await {
        clients.handle_datagram(&datagram);
    }
    Ok(clients.all[0].id.is_some())
}

/// Waits until the daemon accepts connections or not, as `accepting` demands. Returns whether it did in time.
async fn wait_for_acceptance(
    daemon: &Daemon,
    accepting: bool,
    series: &mut u64,
) -> Result<bool, ScenarioError> {
    for _ in 0..MAX_TRIES {
        if accepts_connection(daemon, series).await? == accepting {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Number of devices in the mass reconnection, enough to show the distribution of the attempts.
const DEVICES: usize = 400;
/// Duration of the slots in which reconnect attempts are counted.
const RECONNECT_SLOT: Duration = Duration::from_millis(500);
/// Maximum ratio of the fullest slot to the mean. With 50 attempts in each slot, chance alone gives under
/// 1.7.
const MAX_PEAK_RATIO: f64 = 2.5;
/// Time limit for all devices to reconnect: the client library's widest reconnect window and a margin.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(9);

/// Checks that, after a gateway is killed, devices with the client library reconnect spread over time and
/// with one attempt each.
async fn mass_reconnection(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(3).await?;
    let options = Options { sockets: 2 * DEVICES + 128, ..Options::default() };
    let mut first = Daemon::start(program, &backend, &options).await?;
    let mut second = Daemon::start(program, &backend, &options).await?;
    let gateway_address =
        |at, zone: &str| Address { socket_addr: at, zone: zone.to_owned(), site: "rehearsal".to_owned() };
    let addresses = [gateway_address(first.lines, "near"), gateway_address(second.lines, "far")];
    // The sessions are young. Without this setting the library would treat the loss as a quick break and
    // spread the attempts over a wider window.
    let settings =
        Settings { zone: Some("near".to_owned()), quick: Duration::from_millis(1), ..Settings::default() };
    let mut sessions = Vec::new();
    for number in 0..DEVICES {
        let builder = Client::builder().addresses(addresses.clone()).settings(settings.clone());
        let client = builder.build().map_err(|_| ScenarioError::TimedOut("a client"))?;
        let request = SessionRequest::new("meter", format!("device-{number}"), Duration::from_secs(3));
        sessions.push(client.connect(request).await.map_err(|_| ScenarioError::TimedOut("a session"))?);
    }
    let before = backend.attempt_log.arrivals().len();
    checks.record_equal("every device connects with one attempt", before, DEVICES);
    let killed_at = Instant::now();
    first.kill().await?;
    let reconnects = sessions.iter_mut().map(|session| async move {
        loop {
            match session.next_event().await {
                Some(SessionEvent::Connected { .. }) => return true,
                Some(SessionEvent::Ended(_)) | None => return false,
                Some(_) => {}
            }
        }
    });
    let reconnected =
        tokio::time::timeout(RECONNECT_TIMEOUT, futures_util::future::join_all(reconnects)).await;
    let reconnected = reconnected.map(|all| all.into_iter().filter(|&reconnected| reconnected).count());
    checks.record_equal("every device reconnects in time", reconnected.ok(), Some(DEVICES));
    let arrivals = backend.attempt_log.arrivals();
    let reconnect_attempts = &arrivals[before..];
    checks.record_equal("every device reconnects with one attempt", reconnect_attempts.len(), DEVICES);
    checks.record(
        "the attempts are marked as reconnects",
        reconnect_attempts.iter().all(|arrival| arrival.reconnect),
        reconnect_attempts.len(),
    );
    let mut slots = std::collections::BTreeMap::new();
    for arrival in reconnect_attempts {
        let slot = arrival.at.duration_since(killed_at).as_micros() / RECONNECT_SLOT.as_micros();
        *slots.entry(slot).or_insert(0_usize) += 1;
    }
    checks.record(
        "the attempts are spread over at least 2 s",
        slots.len() >= 5,
        format!("{} slots of 500 ms", slots.len()),
    );
    let peak = slots.values().copied().max().unwrap_or_default() as f64;
    let ratio = peak * slots.len() as f64 / reconnect_attempts.len().max(1) as f64;
    checks.record(
        "the attempts have no pronounced peak",
        ratio <= MAX_PEAK_RATIO,
        format!("peak {ratio:.2} times the mean"),
    );
    checks.record_equal("no two attempts of a device overlapped", backend.attempt_log.overlap_count(), 0);
    checks.record("the other gateway is still running", second.is_running(), "process state");
    Ok(checks)
}
