//! A mass return over real sockets: daemons, stand-in servers that count, and client processes.
//!
//! All sessions stand on two balancers of the clients' own zone, which are killed at one moment; they return
//! to two others. The servers' ledger tells who came when and whether any two attempts of one session
//! overlapped. Each client process holds many devices, each a client of its own as on a phone.

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

/// Balancers of each zone.
const PAIR: usize = 2;
/// Devices that open at the same time in one process.
const AT_ONCE: usize = 50;
/// A device is that patient when it first connects.
const PATIENT: Duration = Duration::from_secs(20);
/// All have stood for so long when they are cut.
const STOOD: Duration = Duration::from_secs(6);
/// Bringing all sessions up, or back, takes less.
const LONGEST: Duration = Duration::from_secs(120);

/// Plays a return of `sessions` devices in `processes` client processes, against `daemon`.
///
/// # Errors
///
/// Fails where something cannot be started or does not come in time.
pub async fn run_reconnect_burst(
    daemon: &Path,
    sessions: usize,
    processes: usize,
) -> Result<ReconnectBurst, ScenarioError> {
    let backend = MockBackend::start(4).await?;
    // Two descriptors a session, on a balancer that may get them all but for its share, and some to spare.
    let sockets = (2 * sessions / PAIR * 6 / 5 + 512).min(19_900);
    let options = Options { sockets, memory_mb: 1024, ..Options::default() };
    let mut near = Vec::new();
    let mut far = Vec::new();
    for _ in 0..PAIR {
        near.push(Daemon::start(daemon, &backend, &options).await?);
        far.push(Daemon::start(daemon, &backend, &options).await?);
    }
    let near_at = near.iter().map(|daemon| format!("{}@near", daemon.lines));
    let addresses: Vec<String> =
        near_at.chain(far.iter().map(|daemon| format!("{}@far", daemon.lines))).collect();
    let (heard, mut hear) = mpsc::channel(processes * 2);
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
        let heard = heard.clone();
        tokio::spawn(async move {
            let mut lines = BufReader::new(stdout).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if heard.send(line).await.is_err() {
                    return;
                }
            }
        });
        clients.push((child, stdin));
    }
    all_say(&mut hear, processes, "up").await?;
    // A connection that breaks soon after it stood is spread wider still; these are to be usual ones.
    tokio::time::sleep(STOOD).await;
    let before = backend.attempt_log.arrivals().len();
    let cut = Instant::now();
    for daemon in &mut near {
        daemon.kill().await?;
    }
    let waits = all_say(&mut hear, processes, "back").await?;
    let arrivals = backend.attempt_log.arrivals()[before..]
        .iter()
        .map(|arrival| arrival.at.duration_since(cut).as_micros() as u64)
        .collect();
    for (mut child, stdin) in clients {
        // The end of its input is its end.
        drop(stdin);
        within("the end of a client process", child.wait()).await??;
    }
    Ok(ReconnectBurst::of(sessions, arrivals, waits, backend.attempt_log.overlap_count()))
}

/// Waits until every process has said this; what figures it said with it.
async fn all_say(
    hear: &mut mpsc::Receiver<String>,
    processes: usize,
    word: &'static str,
) -> Result<Vec<u64>, ScenarioError> {
    let mut figures = Vec::new();
    let all = async {
        for _ in 0..processes {
            let line = hear.recv().await.unwrap_or_default();
            let Some(rest) = line.strip_prefix(word) else { return Err(ScenarioError::TimedOut(word)) };
            figures.extend(rest.split_whitespace().filter_map(|figure| figure.parse::<u64>().ok()));
        }
        Ok(())
    };
    timeout(LONGEST, all).await.map_err(|_| ScenarioError::TimedOut(word))??;
    Ok(figures)
}

/// A client process: devices that open a session each, say when all stand, and when all stand again.
///
/// # Errors
///
/// Fails where a device does not come up.
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
                client.connect(SessionRequest::new("meter", key, PATIENT)).await?,
            )
        }
    };
    let mut sessions: Vec<Session> = Vec::with_capacity(count);
    let mut opening = FuturesUnordered::new();
    let mut next = 0;
    while sessions.len() < count {
        while next < count && opening.len() < AT_ONCE {
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
    let mut ends = std::collections::BTreeMap::new();
    let mut returning: FuturesUnordered<_> = sessions
        .into_iter()
        .map(|mut session| async move {
            let mut dropped = None;
            while let Some(event) = session.next_event().await {
                match (event, dropped) {
                    (SessionEvent::Disconnected { .. } | SessionEvent::Migrated, None) => {
                        dropped = Some(Instant::now())
                    }
                    (SessionEvent::Connected { .. }, Some(since)) => return Ok((session, since.elapsed())),
                    (SessionEvent::Ended(why), _) => return Err(why.to_string()),
                    _ => {}
                }
            }
            Err("its client has gone".to_owned())
        })
        .collect();
    let mut back = Vec::with_capacity(count);
    while let Some(returned) = returning.next().await {
        match returned {
            Ok((session, waited)) => {
                back.push(session);
                waits.push(waited.as_micros().to_string());
            }
            Err(why) => *ends.entry(why).or_insert(0) += 1,
        }
    }
    for (why, count) in ends {
        eprintln!("process {process}: {count} did not return: {why}");
    }
    println!("back {}", waits.join(" "));
    // The parent closes this when it has seen enough.
    let mut rest = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(_)) = rest.next_line().await {}
    Ok(())
}
