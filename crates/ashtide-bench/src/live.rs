//! Reconnect burst over sockets, with daemons, mock servers and client processes.
//!
//! All sessions are established through two gateways in the clients' own zone. These are killed at the same
//! time, and the sessions reconnect through two others. The attempt log of the mock servers has the time of
//! each attempt and the overlaps of attempts of one session. Each client process runs many devices, each with
//! a client of its own, as on a phone.

use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use ashtide_client::{Address, Client, Session, SessionEvent, SessionRequest, Settings};
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::MockBackend;
use ashtide_testkit::{ScenarioError, within};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::reconnect_burst::ReconnectBurst;

/// Number of gateways in each zone.
const GATEWAYS_PER_ZONE: usize = 2;
/// Maximum number of devices of one process that connect at the same time.
const MAX_CONNECTING: usize = 50;
/// Time-out of a device's first connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which all sessions are established before the gateways are killed.
const ESTABLISHED_TIME: Duration = Duration::from_secs(6);
/// Time limit for establishing all sessions, and for their reconnection.
const ALL_SESSIONS_TIMEOUT: Duration = Duration::from_secs(120);

/// Runs the reconnect burst of `sessions` devices in `processes` client processes, with the program `daemon`.
///
/// # Errors
///
/// Returns an error if a process cannot be started or an expected event does not occur in time.
pub async fn run_reconnect_burst(
    daemon: &Path,
    sessions: usize,
    processes: usize,
) -> Result<ReconnectBurst, ScenarioError> {
    let backend = MockBackend::start(4).await?;
    // Two descriptors per session, for a gateway whose share of the sessions exceeds the mean by a fifth, and
    // a margin.
    let sockets = (2 * sessions / GATEWAYS_PER_ZONE * 6 / 5 + 512).min(19_900);
    let options = Options { sockets, memory_mb: 1024, ..Options::default() };
    let mut near = Vec::new();
    let mut far = Vec::new();
    for _ in 0..GATEWAYS_PER_ZONE {
        near.push(Daemon::start(daemon, &backend, &options).await?);
        far.push(Daemon::start(daemon, &backend, &options).await?);
    }
    let near_at = near.iter().map(|daemon| format!("{}@near", daemon.lines));
    let addresses: Vec<String> =
        near_at.chain(far.iter().map(|daemon| format!("{}@far", daemon.lines))).collect();
    let (line_sender, mut lines) = mpsc::channel(processes * 2);
    let mut clients: Vec<(Child, ChildStdin)> = Vec::new();
    for process in 0..processes {
        let share = sessions / processes + usize::from(process < sessions % processes);
        let mut child = Command::new(std::env::current_exe()?)
            .args(["client", "devices", &share.to_string(), &process.to_string()])
            .args(&addresses)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let (stdin, stdout) = (child.stdin.take(), child.stdout.take());
        let (Some(stdin), Some(stdout)) = (stdin, stdout) else {
            return Err(ScenarioError::TimedOut("a client process"));
        };
        let line_sender = line_sender.clone();
        tokio::spawn(async move {
            let mut output = BufReader::new(stdout).lines();
            while let Ok(Some(line)) = output.next_line().await {
                if line_sender.send(line).await.is_err() {
                    return;
                }
            }
        });
        clients.push((child, stdin));
    }
    wait_for_processes(&mut lines, processes, "up").await?;
    // After a quick break the library spreads the attempts over a wider window. These breaks must not be
    // quick.
    tokio::time::sleep(ESTABLISHED_TIME).await;
    let before = backend.attempt_log.arrivals().len();
    let killed_at = Instant::now();
    for daemon in &mut near {
        daemon.kill().await?;
    }
    let waits = wait_for_processes(&mut lines, processes, "back").await?;
    let arrivals = backend.attempt_log.arrivals()[before..]
        .iter()
        .map(|arrival| arrival.at.duration_since(killed_at).as_micros() as u64)
        .collect();
    for (mut child, stdin) in clients {
        // A client process exits at the end of its input.
        drop(stdin);
        within("the end of a client process", child.wait()).await??;
    }
    Ok(ReconnectBurst::of(sessions, arrivals, waits, backend.attempt_log.overlap_count()))
}

/// Waits until every process has printed a line that starts with `word`. Returns the numbers in these lines.
async fn wait_for_processes(
    lines: &mut mpsc::Receiver<String>,
    processes: usize,
    word: &'static str,
) -> Result<Vec<u64>, ScenarioError> {
    let mut numbers = Vec::new();
    let all = async {
        for _ in 0..processes {
            let line = lines.recv().await.unwrap_or_default();
            let Some(rest) = line.strip_prefix(word) else { return Err(ScenarioError::TimedOut(word)) };
            numbers.extend(rest.split_whitespace().filter_map(|number| number.parse::<u64>().ok()));
        }
        Ok(())
    };
    timeout(ALL_SESSIONS_TIMEOUT, all).await.map_err(|_| ScenarioError::TimedOut(word))??;
    Ok(numbers)
}

/// Runs a client process. Each device opens a session. The process prints `up` once all sessions are
/// established, and `back` with the reconnect times once all have reconnected or ended.
///
/// # Errors
///
/// Returns an error if a session cannot be established.
pub async fn run_devices(
    count: usize,
    process: usize,
    addresses: Vec<Address>,
) -> Result<(), Box<dyn std::error::Error>> {
    let open = |number: usize| {
        let addresses = addresses.clone();
        async move {
            let settings = Settings { zone: Some("near".to_owned()), ..Settings::default() };
            let client = Client::builder().addresses(addresses).settings(settings).build()?;
            let key = format!("device-{process}-{number}");
            Ok::<_, Box<dyn std::error::Error>>(
                client.connect(SessionRequest::new("meter", key, CONNECT_TIMEOUT)).await?,
            )
        }
    };
    let mut sessions: Vec<Session> = Vec::with_capacity(count);
    let mut opening = FuturesUnordered::new();
    let mut next = 0;
    while sessions.len() < count {
        while next < count && opening.len() < MAX_CONNECTING {
            opening.push(open(next));
            next += 1;
        }
        match opening.next().await {
            Some(Ok(session)) => sessions.push(session),
            Some(Err(error)) => return Err(format!("device {process}: {error}").into()),
            None => break,
        }
    }
    println!("up");
    let mut waits = Vec::with_capacity(count);
    let mut end_reasons = std::collections::BTreeMap::new();
    let mut reconnecting: FuturesUnordered<_> = sessions
        .into_iter()
        .map(|mut session| async move {
            let mut lost_at = None;
            while let Some(event) = session.next_event().await {
                match (event, lost_at) {
                    (SessionEvent::Disconnected { .. } | SessionEvent::Migrated, None) => {
                        lost_at = Some(Instant::now())
                    }
                    (SessionEvent::Connected { .. }, Some(lost_at)) => {
                        return Ok((session, lost_at.elapsed()));
                    }
                    (SessionEvent::Ended(reason), _) => return Err(reason.to_string()),
                    _ => {}
                }
            }
            Err("the client was closed".to_owned())
        })
        .collect();
    let mut reconnected = Vec::with_capacity(count);
    while let Some(result) = reconnecting.next().await {
        match result {
            Ok((session, waited)) => {
                reconnected.push(session);
                waits.push(waited.as_micros().to_string());
            }
            Err(reason) => *end_reasons.entry(reason).or_insert(0) += 1,
        }
    }
    for (reason, count) in end_reasons {
        eprintln!("process {process}: {count} did not reconnect: {reason}");
    }
    println!("back {}", waits.join(" "));
    // The parent process closes the input at the end of the run.
    let mut rest = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(_)) = rest.next_line().await {}
    Ok(())
}
