//! The named scenarios. Each starts its own fleet and daemon, and says what it looked at.

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

/// The names of all scenarios.
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
/// Clients of the migration scenario, unless told otherwise.
pub const MIGRATION_CLIENTS: usize = 2000;
/// Sockets over which many stand-in clients speak.
const SOCKETS: usize = 32;
/// Sockets towards servers for scenarios with few clients.
const FEW_PATHS: usize = 200;
/// Clients of each front in scenarios with few.
const FEW: usize = 24;
/// Tries of what takes a moment to become so.
const PATIENT: usize = 60;

/// Plays one scenario.
///
/// # Errors
///
/// Fails where it cannot be played to its end.
pub async fn run_scenario(name: &str, program: &Path, migrants: usize) -> Result<Checks, ScenarioError> {
    match name {
        "migration" => migration(program, migrants).await,
        "unknown-id" => unknown_id(program).await,
        "refusal" => refusal(program).await,
        "drain" => drain(program).await,
        "loss" => loss(program).await,
        "stop" => stop(program).await,
        "reload" => reload(program).await,
        "pushed" => pushed(program).await,
        "rude" => rude(program).await,
        "upgrade" => upgrade(program).await,
        "inheritance" => inheritance(program).await,
        "vrrp-failover" => vrrp_failover(program).await,
        "return" => mass_return(program).await,
        other => Err(ScenarioError::UnknownScenario(other.to_owned())),
    }
}

/// A fleet, a daemon with the QUIC front, and where that listens.
async fn set_up(program: &Path, servers: usize, paths: usize) -> Result<Stage, ScenarioError> {
    let backend = MockBackend::start(servers).await?;
    let daemon = Daemon::start(program, &backend, &Options { paths, ..Options::default() }).await?;
    let quic = daemon.quic.ok_or(ScenarioError::TimedOut("the QUIC front"))?;
    Ok(Stage { backend, daemon, pool: SocketPool::open(SOCKETS, quic).await? })
}

struct Stage {
    backend: MockBackend,
    daemon: Daemon,
    pool: SocketPool,
}

impl Stage {
    async fn line_clients(&self, count: usize) -> Result<(Vec<LineClient>, usize), ScenarioError> {
        let (mut clients, mut up) = (Vec::new(), 0);
        for number in 0..count as u64 {
            let (client, answer) = LineClient::open(self.daemon.lines, number).await?;
            up += usize::from(answer.starts_with("UP "));
            clients.push(client);
        }
        Ok((clients, up))
    }
}

/// Clients that change their address mid-session, half of them under a new id.
async fn migration(program: &Path, count: usize) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let Stage { backend, mut daemon, mut pool } = set_up(program, 4, 2 * count + 64).await?;
    let quic = daemon.quic.ok_or(ScenarioError::TimedOut("the QUIC front"))?;
    let mut clients = QuicClients::new(count, 1);
    let all: Vec<usize> = (0..count).collect();
    checks.record_equal("every connection comes up", clients.open(&mut pool).await, 0);
    checks.record_equal(
        "every client is answered before it moves",
        clients.exchange_message(&mut pool, &all, 1).await,
        0,
    );
    let servers: std::collections::BTreeSet<_> = clients.all.iter().map(|c| c.server).collect();
    checks.record_equal("all servers are in use", servers.len(), 4);

    let mut elsewhere = SocketPool::open(SOCKETS, quic).await?;
    for client in clients.all.iter_mut().skip(1).step_by(2) {
        client.id = client.spare;
    }
    let unanswered = clients.exchange_message(&mut elsewhere, &all, 2).await;
    checks.record_equal("every client is answered at its new address", unanswered, 0);
    checks.record_equal("and goes on there", clients.exchange_message(&mut elsewhere, &all, 3).await, 0);
    checks.record_equal("no answer came from another server", clients.wrong_server, 0);
    checks.record_equal(
        "no server got a packet of another's client",
        backend.sum(|counters| &counters.misrouted),
        0,
    );
    checks.record_equal(
        "no client was placed twice",
        backend.sum(|counters| &counters.accepted),
        count as u64,
    );
    checks.record_equal("no client was reset", clients.all.iter().map(|c| c.resets).sum::<u32>(), 0);
    checks.record("the daemon still runs", daemon.is_running(), "its process");
    Ok(checks)
}

/// Ids that belong to nobody.
async fn unknown_id(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let Stage { backend, mut daemon, mut pool } = set_up(program, 2, FEW_PATHS).await?;
    let mut clients = QuicClients::new(3, 2);
    let strangers = [
        ConnectionId::new(&[0xff; ID_LENGTH]).unwrap_or_default(),
        encode_routable_id(0, server_id_for_name("no such server"), ID_LENGTH, 1),
    ];
    for (at, stranger) in strangers.iter().enumerate() {
        clients.expect_resets(&[*stranger], at);
        for message in 0..4 {
            pool.send(0, &short_header_packet(stranger, message)).await;
        }
    }
    for garbage in
        [&b""[..], b"\x00", b"\x40", b"GET / HTTP/1.1\r\n", &[0xff; 1300], &[0xc0, 0, 0, 0, 1, 255]]
    {
        pool.send(0, garbage).await;
    }
    let mut small = clients.initial(2);
    small.truncate(600);
    pool.send(0, &small).await;
    checks.record("the daemon answers a version that it does not speak", clients.flush(&mut pool).await, "");
    checks.record_equal("an id of no server is reset exactly once", clients.all[0].resets, 1);
    checks.record_equal("an id of a server not listed is reset exactly once", clients.all[1].resets, 1);
    checks.record_equal("garbage gets no answer", clients.unexpected, 0);
    checks.record_equal("nothing reached a server", backend.sum(|counters| &counters.misrouted), 0);
    checks.record_equal(
        "a connection still comes up",
        clients.exchange(&mut pool, &[2], QuicClients::initial, |c| c.id.is_some()).await,
        0,
    );
    // An id that its server does not know goes to that server, which is the one to answer.
    pool.send(
        0,
        &short_header_packet(&encode_routable_id(0, server_id_for_name("s-0"), ID_LENGTH, 1 << 40), 9),
    )
    .await;
    let mut tries = 0;
    while backend.sum(|counters| &counters.misrouted) == 0 && tries < PATIENT {
        clients.flush(&mut pool).await;
        tries += 1;
    }
    checks.record_equal(
        "an unknown id of a listed server goes there",
        backend.sum(|counters| &counters.misrouted),
        1,
    );
    checks.record("the daemon still runs", daemon.is_running(), "its process");
    Ok(checks)
}

/// Servers that turn away, say nothing, or are not there.
async fn refusal(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    for behavior in [ServerBehavior::Reject, ServerBehavior::Silent] {
        let Stage { backend, mut daemon, mut pool } = set_up(program, 2, FEW_PATHS).await?;
        backend.servers.iter().for_each(|server| server.set_behavior(behavior));
        let mut clients = QuicClients::new(1, 3);
        let start = Instant::now();
        let unanswered =
            clients.exchange(&mut pool, &[0], QuicClients::initial, |c| !c.closed.is_empty()).await;
        let took = start.elapsed();
        checks.record_equal(&format!("{behavior:?}: the client is told"), unanswered, 0);
        // Said again, the same Initial is no second request.
        pool.send(0, &clients.initial(0)).await;
        clients.flush(&mut pool).await;
        checks.record_equal(&format!("{behavior:?}: exactly once"), clients.all[0].closed.len(), 1);
        let answer = clients.all[0].closed.first().cloned().unwrap_or_default();
        let refused = answer.0 == CONNECTION_REFUSED && answer.1.starts_with("BUSY ");
        checks.record(
            &format!("{behavior:?}: as a refusal that says when to return"),
            refused,
            format!("{answer:?}"),
        );
        let within = Duration::from_millis(u64::from(INITIAL_DEADLINE_MS) + 100);
        checks.record(&format!("{behavior:?}: within the deadline"), took <= within, format!("{took:?}"));
        if behavior == ServerBehavior::Reject {
            let half = Duration::from_millis(u64::from(INITIAL_DEADLINE_MS) * 2 / 3);
            checks.record("Refuses: long before the deadline", took <= half, format!("{took:?}"));
        }
        checks.record_equal(
            &format!("{behavior:?}: no server took it"),
            backend.sum(|counters| &counters.accepted),
            0,
        );
        checks.record("the daemon still runs", daemon.is_running(), "its process");
    }
    Ok(checks)
}

/// A server that drains and then leaves the list.
async fn drain(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let mut stage = set_up(program, 3, FEW_PATHS).await?;
    let (mut lines, up) = stage.line_clients(FEW).await?;
    checks.record_equal("line clients come up", up, FEW);
    let mut clients = QuicClients::new(FEW, 4);
    checks.record_equal("QUIC clients come up", clients.open(&mut stage.pool).await, 0);
    let server = &stage.backend.servers[0];
    let taken = server.counters.accepted.load(Ordering::Relaxed);
    checks.record("the server that is to drain has clients", taken > 0, taken);
    let there = server_id_for_name(&server.name);
    let quic_there = clients.all.iter().filter(|c| c.server == Some(there)).count();
    stage.backend.set_status(0, EndpointStatus::Draining);

    // The first client that is sent away shows that the daemon has been told.
    let moved = {
        let first = lines.iter_mut().map(|client| Box::pin(client.next()));
        let (first, at, _) = within("a first MOVE", futures_util::future::select_all(first)).await?;
        (first?, at)
    };
    checks.record_equal("the first word to a client there", moved.0.as_deref(), Some("MOVE"));
    lines.swap_remove(moved.1);
    let offered = server.counters.offered.load(Ordering::Relaxed);
    let (_more, up) = stage.line_clients(FEW).await?;
    checks.record_equal("new clients come up", up, FEW);
    let offered = server.counters.offered.load(Ordering::Relaxed) - offered;
    checks.record_equal("none of them is offered to the draining server", offered, 0);

    stage.backend.remove(0);
    let fates = lines.iter_mut().map(|client| async move {
        client.send_line("still there").await?;
        let mut said = client.next().await?;
        // Where both cross, the echo comes first.
        if said.as_deref() == Some("still there") {
            if let Ok(moved) = tokio::time::timeout(GONE, client.next()).await {
                said = moved?;
            }
        }
        Ok::<_, ScenarioError>(said)
    });
    let (mut sent_away, mut stayed) = (1, 0);
    for said in futures_util::future::join_all(fates).await {
        match said?.as_deref() {
            Some("MOVE") => sent_away += 1,
            Some("still there") => stayed += 1,
            _ => {}
        }
    }
    let lines_there = taken as usize - quic_there;
    checks.record_equal("line clients there are told to move", sent_away, lines_there);
    checks.record_equal("the others stay", stayed, FEW - lines_there);
    let mut tries = 0;
    while clients.all.iter().any(|c| c.server == Some(there) && c.resets == 0) && tries < PATIENT {
        clients.flush(&mut stage.pool).await;
        tries += 1;
    }
    let resets = clients.all.iter().filter(|c| c.server == Some(there) && c.resets == 1).count();
    checks.record_equal("QUIC clients there are reset once", resets, quic_there);
    let others: Vec<usize> = (0..FEW).filter(|&at| clients.all[at].server != Some(there)).collect();
    checks.record_equal(
        "QUIC clients elsewhere go on",
        clients.exchange_message(&mut stage.pool, &others, 1).await,
        0,
    );
    checks.record("the daemon still runs", stage.daemon.is_running(), "its process");
    Ok(checks)
}

/// By then a client of a server that has left the list has been told.
const GONE: Duration = Duration::from_millis(2500);

/// A server that dies, and one that goes silent.
async fn loss(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let mut stage = set_up(program, 2, FEW_PATHS).await?;
    let (mut lines, up) = stage.line_clients(4).await?;
    checks.record_equal("line clients come up", up, 4);
    let mut clients = QuicClients::new(4, 5);
    checks.record_equal("QUIC clients come up", clients.open(&mut stage.pool).await, 0);
    let all: Vec<usize> = (0..4).collect();

    // Silence: a line that no one answers.
    let start = Instant::now();
    stage.backend.servers.iter().for_each(|server| server.set_behavior(ServerBehavior::Silent));
    for client in &mut lines {
        client.send_line("anyone there?").await?;
    }
    let mut moved = 0;
    for client in &mut lines {
        moved += usize::from(client.receives_move().await?);
    }
    checks.record_equal("clients of silent servers are told to move", moved, 4);
    checks.record("within 7 s", start.elapsed() < Duration::from_secs(7), format!("{:?}", start.elapsed()));
    // The QUIC clients speak only now, after a pause, so that each of their messages wants an answer.
    let say = |clients: &QuicClients, at: usize| clients.message(at, 1);
    let unheard = clients.exchange(&mut stage.pool, &all, say, |c| c.resets > 0).await;
    checks.record_equal("QUIC clients of silent servers are reset", unheard, 0);

    // Death, before a daemon that holds nothing against the servers.
    let mut stage = set_up(program, 2, FEW_PATHS).await?;
    let mut clients = QuicClients::new(4, 6);
    checks.record_equal("QUIC clients come up before a death", clients.open(&mut stage.pool).await, 0);
    let (mut lines, up) = stage.line_clients(4).await?;
    checks.record_equal("line clients come up before a death", up, 4);
    let start = Instant::now();
    for server in &mut stage.backend.servers {
        server.stop().await;
    }
    let mut moved = 0;
    for client in &mut lines {
        moved += usize::from(client.receives_move().await?);
    }
    checks.record_equal("clients of dead servers are told to move", moved, 4);
    checks.record(
        "within a second",
        start.elapsed() < Duration::from_secs(1),
        format!("{:?}", start.elapsed()),
    );
    let unheard = clients.exchange(&mut stage.pool, &all, say, |c| c.resets > 0).await;
    checks.record_equal("QUIC clients of dead servers are reset", unheard, 0);
    checks.record("the daemon still runs", stage.daemon.is_running(), "its process");
    Ok(checks)
}

/// A planned stop.
async fn stop(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let mut stage = set_up(program, 2, FEW_PATHS).await?;
    let (mut lines, up) = stage.line_clients(FEW).await?;
    checks.record_equal("line clients come up", up, FEW);
    let mut clients = QuicClients::new(FEW, 7);
    checks.record_equal("QUIC clients come up", clients.open(&mut stage.pool).await, 0);
    let start = Instant::now();
    stage.daemon.terminate()?;
    let (late, answer) = LineClient::open(stage.daemon.lines, 99).await?;
    checks.record("a client that still comes is answered", answer.starts_with("UP "), answer);
    lines.push(late);
    let mut moved = 0;
    for client in &mut lines {
        moved += usize::from(client.receives_move().await?);
    }
    checks.record_equal("line clients are told to move", moved, FEW + 1);
    while let Some(datagram) = stage.pool.next().await {
        clients.handle_datagram(&datagram);
    }
    let resets = clients.all.iter().filter(|c| c.resets == 1).count();
    checks.record_equal("QUIC clients are reset once", resets, FEW);
    let (status, _) = stage.daemon.wait_for_exit().await?;
    checks.record("the daemon ends well", status.success(), status);
    let took = start.elapsed();
    checks.record("before it would be killed", took < Duration::from_millis(3700), format!("{took:?}"));
    Ok(checks)
}

/// The configuration is replaced: once by one that cannot be used, once by one with another
/// discovery, and again during a planned stop.
async fn reload(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(2).await?;
    // The old service's versions are ahead of those of the new one.
    (0..4).for_each(|_| backend.set_status(1, EndpointStatus::Serving));
    let daemon = Daemon::start(program, &backend, &Options::default()).await?;
    let mut stage = Stage { backend, daemon, pool: SocketPool::open(1, ([127, 0, 0, 1], 9).into()).await? };
    let (mut lines, up) = stage.line_clients(FEW).await?;
    checks.record_equal("line clients come up", up, FEW);
    stage.daemon.reload("discovery", "nowhere".into())?;
    stage.daemon.wait_for_log_line("reload: discovery: 'nowhere'").await?;
    let (more, up) = stage.line_clients(1).await?;
    checks.record_equal("an unusable file does no harm", up, 1);
    lines.extend(more);
    stage.backend.move_discovery().await?;
    let discovery = stage.backend.discovery.to_string();
    for _ in 0..3 {
        stage.daemon.reload("discovery", discovery.as_str().into())?;
    }
    // Only the new service tells of this.
    stage.backend.set_status(0, EndpointStatus::Draining);
    let taken = stage.backend.servers[0].counters.accepted.load(Ordering::Relaxed) as usize;
    let next = lines.iter_mut().map(|client| Box::pin(client.next()));
    let (first, at, _) = within("a first MOVE", futures_util::future::select_all(next)).await?;
    checks.record_equal(
        "a client hears of a drain that the new service tells",
        first?.as_deref(),
        Some("MOVE"),
    );
    lines.swap_remove(at);
    stage.daemon.terminate()?;
    stage.daemon.reload("listen", "127.0.0.1:1".into())?;
    stage.daemon.wait_for_log_line("reload: listen has changed").await?;
    let mut moved = 1;
    for client in &mut lines {
        moved += usize::from(client.receives_move().await?);
    }
    checks.record_equal("all clients are told to move", moved, FEW + 1);
    checks.record("the draining server had clients", taken > 0, taken);
    let (status, _) = stage.daemon.wait_for_exit().await?;
    checks.record("the daemon ends well", status.success(), status);
    Ok(checks)
}

/// A list that is pushed is followed like one that is asked for.
async fn pushed(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(2).await?;
    let options = Options { pushed: true, ..Options::default() };
    let daemon = Daemon::start(program, &backend, &options).await?;
    let stage = Stage { backend, daemon, pool: SocketPool::open(1, ([127, 0, 0, 1], 9).into()).await? };
    let (mut lines, up) = stage.line_clients(FEW).await?;
    checks.record_equal("line clients come up", up, FEW);
    let taken = |stage: &Stage| stage.backend.servers[0].counters.accepted.load(Ordering::Relaxed);
    checks.record("the server that is to drain has clients", taken(&stage) > 0, taken(&stage));
    stage.backend.set_status(0, EndpointStatus::Draining);
    let next = lines.iter_mut().map(|client| Box::pin(client.next()));
    let (first, ..) = within("a first MOVE", futures_util::future::select_all(next)).await?;
    checks.record_equal(
        "a client hears of a drain that only the agent tells",
        first?.as_deref(),
        Some("MOVE"),
    );
    let before = taken(&stage);
    let (_more, up) = stage.line_clients(FEW).await?;
    checks.record_equal("new clients come up", up, FEW);
    checks.record_equal("none of them at the draining server", taken(&stage), before);
    stage.backend.set_status(0, EndpointStatus::Serving);
    let mut tries = 0;
    while taken(&stage) == before && tries < PATIENT {
        tries += 1;
        drop(stage.line_clients(1).await?);
    }
    checks.record(
        "it is used again once the agent says so",
        taken(&stage) > before,
        format!("{tries} tries"),
    );
    Ok(checks)
}

/// A process that leaves passes its standing connections to its successor, whatever is on its way in them;
/// a successor that stalls or has gone costs no client more than a `MOVE`.
async fn inheritance(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(2).await?;
    let (shared, at) = one_balancer()?;
    let folder = shared.folder.clone();
    let options = Options { shared: Some(shared), ..Options::default() };
    let first = Daemon::start(program, &backend, &options).await?;
    let mut lines = Vec::new();
    for number in 0..FEW as u64 {
        let (client, answer) = LineClient::open(at, number).await?;
        checks.record("a client comes up", answer.starts_with("UP "), answer);
        lines.push(client);
    }
    let second = Daemon::start(program, &backend, &options).await?;
    first.wait_for_log_line("handover: the successor accepts clients").await?;
    for client in &mut lines {
        client.send_partial_line("whole\r\nhal").await?;
    }
    first.terminate()?;
    let (status, _) = first.wait_for_exit().await?;
    checks.record("the first ends well", status.success(), status);
    let mut whole = 0;
    for client in &mut lines {
        client.send_line("f").await?;
        let said = (client.next().await?, client.next().await?);
        whole += usize::from((said.0.as_deref(), said.1.as_deref()) == (Some("whole"), Some("half")));
    }
    checks.record_equal("no line is lost or cut, and nobody is moved", whole, FEW);
    let taken = backend.sum(|counters| &counters.accepted);
    checks.record_equal("no server saw a connection come anew", taken, FEW as u64);
    let counters = second.send_command("counters").await?;
    let counted = counters.contains(&format!("router_in_progress {FEW}\n"));
    checks.record("the second counts them", counted, counters);

    // One that stalls takes what its queue holds; the others are moved, and those it holds go on later.
    let third = Daemon::start(program, &backend, &options).await?;
    second.wait_for_log_line("handover: the successor accepts clients").await?;
    third.set_suspended(true)?;
    second.terminate()?;
    let (status, _) = second.wait_for_exit().await?;
    checks.record("the second ends well beside a stalled successor", status.success(), status);
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
    checks.record_equal("every client goes on or is moved", stayed.len() + moved, FEW);
    checks.record("some go on", !stayed.is_empty(), stayed.len());
    checks.record("some are moved", moved > 0, moved);

    // Without a successor all are moved, those twice passed on included.
    third.terminate()?;
    let (mut sent_away, there) = (0, stayed.len());
    for client in &mut stayed {
        sent_away += usize::from(client.receives_move().await?);
    }
    checks.record_equal("the last moves its clients", sent_away, there);
    let (status, _) = third.wait_for_exit().await?;
    checks.record("the last ends well", status.success(), status);
    let left = std::fs::read_dir(&folder)?.flatten().map(|it| it.file_name());
    let left: Vec<_> = left.filter(|name| !name.to_string_lossy().ends_with(".kept")).collect();
    checks.record("no socket is left behind", left.is_empty(), format!("{left:?}"));
    std::fs::remove_dir_all(&folder)?;
    Ok(checks)
}

/// Clients that say nothing, nonsense, too much, or what belongs to others.
async fn rude(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(2).await?;
    let options = Options { sockets: SMALL, ..Options::default() };
    let daemon = Daemon::start(program, &backend, &options).await?;
    let mut stage = Stage { backend, daemon, pool: SocketPool::open(1, ([127, 0, 0, 1], 9).into()).await? };
    let at = stage.daemon.lines;
    let offered = |stage: &Stage| stage.backend.sum(|counters| &counters.offered);

    // More of the silent than there are descriptors.
    let mut silent = Vec::new();
    for _ in 0..SMALL + FEW {
        silent.push((Instant::now(), LineClient::connect(at).await?));
    }
    let usual = "c=meter,d=3000,g=1";
    let open = |id: u64, list: &str| format!("OPEN {id:016x} 77 {list}\r\n");
    let mut good = LineClient::connect(at).await?;
    let answer = good.send_and_receive(open(1, usual).as_bytes()).await?.unwrap_or_default();
    checks.record("a usual client comes up among the silent", answer.starts_with("UP "), answer);
    let ends = silent.iter_mut().map(|(since, client)| async move {
        let word = client.next().await?;
        Ok::<_, ScenarioError>((word, since.elapsed()))
    });
    let mut late = 0;
    for end in futures_util::future::join_all(ends).await {
        let (word, took) = end?;
        let told = word.is_none_or(|word| word.starts_with("BUSY") || word == "ERR");
        late += usize::from(!told || took > OWED);
    }
    checks.record_equal("every silent client is told or closed within 3 s", late, 0);
    drop(silent);

    let before = offered(&stage);
    for (what, bytes) in [
        ("the id of an open connection", open(1, usual)),
        ("a name twice", open(2, "c=meter,d=3000,d=10,g=1")),
        ("a load that is no number", open(3, "c=meter,d=3000,h=NaN")),
        ("a wait of weeks", open(4, "c=meter,d=1000000000")),
        ("a wait below nothing", open(5, "c=meter,d=-5")),
        ("a class that is none", open(6, "c=metres,d=3000")),
        ("a server named after the start", open(7, "c=meter,d=3000,at=s-0")),
        ("no list", "OPEN 8 77\r\n".to_owned()),
        ("a line without end", "x".repeat(8 << 20)),
    ] {
        let start = Instant::now();
        let word = LineClient::connect(at).await?.send_and_receive(bytes.as_bytes()).await?;
        // One that goes on sending may be told by the reset alone.
        let told = word.as_deref() == Some("ERR") || (word.is_none() && bytes.len() > 1 << 20);
        checks.record(
            &format!("{what}: an error in time"),
            told && start.elapsed() <= OWED,
            format!("{word:?}"),
        );
    }
    checks.record_equal("none of these reached a server", offered(&stage), before);

    // Nobody answers, so that the requests are still open when more comes.
    stage.backend.servers.iter().for_each(|server| server.set_behavior(ServerBehavior::Silent));
    let all: String = (100..200).map(|id| open(id, usual)).collect();
    let word = LineClient::connect(at).await?.send_and_receive(all.as_bytes()).await?;
    checks.record_equal("many requests at once: an error", word.as_deref(), Some("ERR"));
    let mut gone = LineClient::connect(at).await?;
    gone.send_line(open(300, usual).trim_end()).await?;
    gone.send_line("early").await?;
    drop(gone);
    // The id is free again once the daemon has seen that its bearer has left.
    stage.backend.servers.iter().for_each(|server| server.set_behavior(ServerBehavior::Serve));
    let start = Instant::now();
    let mut word: Option<String> = None;
    while start.elapsed() < OWED && !word.as_deref().is_some_and(|word| word.starts_with("UP ")) {
        word = LineClient::connect(at).await?.send_and_receive(open(300, usual).as_bytes()).await?;
    }
    let seen = start.elapsed() < EARLY && word.as_deref().is_some_and(|word| word.starts_with("UP "));
    checks.record("an early line does not hide that the client leaves", seen, format!("{word:?}"));
    checks.record(
        "the usual client has its connection still",
        good.receives_echo("hello").await?,
        "its echo",
    );
    checks.record("the daemon still runs", stage.daemon.is_running(), "its process");
    Ok(checks)
}

/// What the processes of one balancer share, and where its clients come.
fn one_balancer() -> Result<(Shared, std::net::SocketAddr), ScenarioError> {
    static PLAYED: AtomicU64 = AtomicU64::new(0);
    let number = PLAYED.fetch_add(1, Ordering::Relaxed);
    let listener = Arc::new(std::net::TcpListener::bind("127.0.0.1:0")?);
    let at = listener.local_addr()?;
    let folder = std::env::temp_dir().join(format!("ashtide-shared-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok((Shared { listener, folder }, at))
}

/// A new version beside the old: the listener is inherited, and the two meet in their folder.
async fn upgrade(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(2).await?;
    let (shared, at) = one_balancer()?;
    let folder = shared.folder.clone();
    // What a killed process leaves: a name that nobody listens at.
    drop(std::os::unix::net::UnixListener::bind(folder.join("ashtide.shared.1.sock"))?);
    let options = Options { shared: Some(shared), ..Options::default() };

    let first = Daemon::start(program, &backend, &options).await?;
    let mut lines = Vec::new();
    for number in 0..FEW as u64 {
        let (client, answer) = LineClient::open(at, number).await?;
        checks.record("a client comes up at the first", answer.starts_with("UP "), answer);
        lines.push(client);
    }
    let mut second = Daemon::start(program, &backend, &options).await?;
    first.wait_for_log_line("handover: the successor accepts clients").await?;
    let health = second.send_command("health").await?;
    checks.record("the second is ready", health.starts_with("200"), health);
    let open = "OPEN 00000000000000aa 77 c=meter,d=3000,g=1,at=s-0\r\n";
    let word = LineClient::connect(at).await?.send_and_receive(open.as_bytes()).await?;
    checks.record_equal("it knows that the run has begun", word.as_deref(), Some("ERR"));
    let (client, answer) = LineClient::open(at, 200).await?;
    checks.record("a client comes up at the second", answer.starts_with("UP "), answer);
    lines.push(client);
    let passed = |text: &str| text.contains(&format!("passed_total{{category=\"meter\"}} {FEW}\n"));
    checks.record("and not at the first", passed(&first.send_command("counters").await?), "its count");

    let taken = |backend: &MockBackend, server: usize| {
        backend.servers[server].counters.accepted.load(Ordering::Relaxed)
    };
    for (call, answer) in [("cordon s-0", "200"), ("cordon s-0", "200"), ("cordon s-9", "400")] {
        let said = second.send_command(call).await?;
        checks.record(call, said.starts_with(answer), said);
    }
    // It outlives a process, holds in the next, and is taken back there.
    let mut third = Daemon::start(program, &backend, &options).await?;
    second.wait_for_log_line("handover: the successor accepts clients").await?;
    let before = taken(&backend, 0);
    for number in 0..FEW as u64 {
        let (client, answer) = LineClient::open(at, 400 + number).await?;
        checks.record("a client comes up beside the server that is out", answer.starts_with("UP "), answer);
        drop(client);
    }
    checks.record_equal("nothing new is sent to a server that is out", taken(&backend, 0), before);
    let said = third.send_command("uncordon s-0").await?;
    checks.record("a call back is answered", said.starts_with("200"), said);
    second.wait_for_log_line("operator: s-0 is back").await?;
    let mut tries = 0;
    while taken(&backend, 0) == before && tries < PATIENT as u64 {
        tries += 1;
        drop(LineClient::open(at, 500 + tries).await?);
    }
    checks.record("and the server is used again", taken(&backend, 0) > before, format!("{tries} tries"));

    // A third that is killed leaves the clients to the second again.
    third.kill().await?;
    second.wait_for_log_line("handover: this process accepts clients").await?;

    first.terminate()?;
    let (status, _) = first.wait_for_exit().await?;
    let mut kept = 0;
    for client in &mut lines[..FEW] {
        kept += usize::from(client.receives_echo("still here").await?);
    }
    checks.record_equal("all clients of the first go on at the second", kept, FEW);
    checks.record("the first ends well", status.success(), status);
    checks.record("the second still runs", second.is_running(), "its process");
    checks.record("its clients have their connections", lines[FEW].receives_echo("hello").await?, "an echo");
    drop(second);
    std::fs::remove_dir_all(folder)?;
    Ok(checks)
}

/// Descriptors of a daemon that has few.
const SMALL: usize = 256;
/// Bad clients are owed an end by then.
const OWED: Duration = Duration::from_secs(3);
/// Before an attempt at a silent server would be given up.
const EARLY: Duration = Duration::from_millis(1200);

/// Two copies, one virtual router.
async fn vrrp_failover(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(2).await?;
    // An address of their own: other tests pick ports of 127.0.0.1 at the same time.
    let (one, two) = (UdpSocket::bind("127.0.0.2:0").await?, UdpSocket::bind("127.0.0.2:0").await?);
    let ports = (one.local_addr()?, two.local_addr()?);
    drop((one, two));
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
    checks.record("the only copy becomes active", becomes(&first, true, &mut series).await?, "it serves");
    let second = Daemon::start(program, &backend, &low).await?;
    checks.record(
        "a copy of lower priority stays backup",
        !takes(&second, &mut series).await?,
        "it serves not",
    );
    first.terminate()?;
    checks.record(
        "it takes over when the first leaves",
        becomes(&second, true, &mut series).await?,
        "it serves",
    );
    first.wait_for_exit().await?;
    let mut again = Daemon::start(program, &backend, &high).await?;
    checks.record("the first is active again", becomes(&again, true, &mut series).await?, "it serves");
    checks.record("and the second steps back", becomes(&second, false, &mut series).await?, "it serves not");
    again.kill().await?;
    checks.record(
        "it takes over when the first dies",
        becomes(&second, true, &mut series).await?,
        "it serves",
    );
    second.terminate()?;
    let (status, log) = second.wait_for_exit().await?;
    checks.record("the daemon ends well", status.success(), status);
    let states: Vec<&str> = log.iter().filter_map(|line| line.strip_prefix("vrrp: router 7 is ")).collect();
    checks.record_equal("its states", states, vec!["Backup", "Active", "Backup", "Active", "Initialize"]);
    Ok(checks)
}

/// Whether a copy takes a new connection now: an Initial, and a fence behind it.
async fn takes(daemon: &Daemon, series: &mut u64) -> Result<bool, ScenarioError> {
    let quic = daemon.quic.ok_or(ScenarioError::TimedOut("the QUIC front"))?;
    let mut pool = SocketPool::open(1, quic).await?;
    *series += 1;
    let mut clients = QuicClients::new(1, *series);
    pool.send(0, &clients.initial(0)).await;
    clients.flush(&mut pool).await;
    // The server's answer comes a little behind the fence's.
    if let Some(datagram) = pool.next().await {
        clients.handle_datagram(&datagram);
    }
    Ok(clients.all[0].id.is_some())
}

async fn becomes(daemon: &Daemon, taking: bool, series: &mut u64) -> Result<bool, ScenarioError> {
    for _ in 0..PATIENT {
        if takes(daemon, series).await? == taking {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Devices of the mass return: enough for its shape to show.
const DEVICES: usize = 400;
/// Slots in which their arrivals are counted.
const RETURN_SLOT: Duration = Duration::from_millis(500);
/// The fullest slot may hold so many times the mean: with 50 in each, chance alone gives under 1.7.
const RETURN_PEAK: f64 = 2.5;
/// All devices that return by the library are back by then: its widest window, and some to spare.
const RETURNED: Duration = Duration::from_secs(9);

/// A balancer that is killed: devices that use the client library come back spread, one attempt at a time.
async fn mass_return(program: &Path) -> Result<Checks, ScenarioError> {
    let mut checks = Checks::default();
    let backend = MockBackend::start(3).await?;
    let options = Options { sockets: 2 * DEVICES + 128, ..Options::default() };
    let mut first = Daemon::start(program, &backend, &options).await?;
    let mut second = Daemon::start(program, &backend, &options).await?;
    let zone =
        |at, zone: &str| Address { socket_addr: at, zone: zone.to_owned(), site: "rehearsal".to_owned() };
    let addresses = [zone(first.lines, "near"), zone(second.lines, "far")];
    // Opened a moment ago, and so a quick break in the library's eyes: it would spread them wider still.
    let settings =
        Settings { zone: Some("near".to_owned()), quick: Duration::from_millis(1), ..Settings::default() };
    let mut sessions = Vec::new();
    for number in 0..DEVICES {
        let builder = Client::builder().addresses(addresses.clone()).settings(settings.clone());
        let client = builder.build().map_err(|_| ScenarioError::TimedOut("a client"))?;
        let wish = SessionRequest::new("meter", format!("device-{number}"), Duration::from_secs(3));
        sessions.push(client.connect(wish).await.map_err(|_| ScenarioError::TimedOut("a session"))?);
    }
    let before = backend.attempt_log.arrivals().len();
    checks.record_equal("every device comes up with one attempt", before, DEVICES);
    let cut = Instant::now();
    first.kill().await?;
    let returns = sessions.iter_mut().map(|session| async move {
        loop {
            match session.next_event().await {
                Some(SessionEvent::Connected { .. }) => return true,
                Some(SessionEvent::Ended(_)) | None => return false,
                Some(_) => {}
            }
        }
    });
    let back = tokio::time::timeout(RETURNED, futures_util::future::join_all(returns)).await;
    let back = back.map(|all| all.into_iter().filter(|&back| back).count());
    checks.record_equal("every device is back in time", back.ok(), Some(DEVICES));
    let arrivals = backend.attempt_log.arrivals();
    let returned = &arrivals[before..];
    checks.record_equal("with one attempt each", returned.len(), DEVICES);
    checks.record("marked as returns", returned.iter().all(|arrival| arrival.reconnect), returned.len());
    let mut slots = std::collections::BTreeMap::new();
    for arrival in returned {
        let slot = arrival.at.duration_since(cut).as_micros() / RETURN_SLOT.as_micros();
        *slots.entry(slot).or_insert(0_usize) += 1;
    }
    checks.record("over two seconds at least", slots.len() >= 5, format!("{} slots of 500 ms", slots.len()));
    let peak = slots.values().copied().max().unwrap_or_default() as f64;
    let ratio = peak * slots.len() as f64 / returned.len().max(1) as f64;
    checks.record("and in no wave", ratio <= RETURN_PEAK, format!("peak {ratio:.2} times the mean"));
    checks.record_equal("no two attempts of a device overlapped", backend.attempt_log.overlap_count(), 0);
    checks.record("the other balancer still runs", second.is_running(), "its process");
    Ok(checks)
}
