//! `ashtide-client`: opens one or many sessions, sends lines, prints what happens and how long it took.

mod report;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use ashtide_client::{Address, Client, Session, SessionEvent, SessionRequest, Settings};
use clap::Parser;
use report::{Report, Seen};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::sync::{broadcast, mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// Lines of standard input that a session may be behind.
const INPUT: usize = 256;
/// Events that may wait to be printed before sessions have to.
const EVENTS: usize = 1024;

/// Opens sessions through the balancers at ADDRESS, sends lines, and prints events and a summary.
///
/// Lines of standard input go to every session, unless --line or --rate is given. Exit code 0: every
/// session came up; 1: some did not; 2: the arguments cannot be used.
#[derive(Debug, Parser)]
#[command(name = "ashtide-client", version)]
struct Arguments {
    /// A balancer: IP:PORT, IP:PORT@ZONE or IP:PORT@ZONE/SITE
    #[arg(required = true, value_parser = address)]
    addresses: Vec<Address>,
    /// Class of the sessions, as the site's settings name it
    #[arg(short, long, default_value = "resident-reading")]
    class: String,
    /// Key of the session; with several, each has this and a number
    #[arg(short, long, default_value = "trial")]
    key: String,
    /// Tenant, as the site's settings name it
    #[arg(short, long)]
    tenant: Option<String>,
    /// Group of the sessions
    #[arg(short, long)]
    group: Option<String>,
    /// How many sessions
    #[arg(short = 'n', long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=60_000))]
    sessions: u32,
    /// New sessions a second; all at once without it
    #[arg(long, value_parser = positive)]
    open_rate: Option<f64>,
    /// A session is to stand within this time
    #[arg(short, long, default_value = "3200ms", value_parser = humantime::parse_duration)]
    wait: Duration,
    /// An attempt without an answer is given up after this time, and another may follow
    #[arg(long, value_parser = humantime::parse_duration)]
    try_wait: Option<Duration>,
    /// Leave after this time, whatever the sessions do
    #[arg(short = 'f', long = "for", value_parser = humantime::parse_duration)]
    run_for: Option<Duration>,
    /// Lines a second that each session sends
    #[arg(short, long, value_parser = positive)]
    rate: Option<f64>,
    /// What is sent at that rate
    #[arg(short, long, default_value = "READ")]
    line: String,
    /// Own zone: balancers of it are tried first
    #[arg(short, long)]
    zone: Option<String>,
    /// Attempts of a first placing, the first among them
    #[arg(long, default_value_t = Settings::default().tries)]
    tries: u32,
    /// Return window after a break
    #[arg(long, default_value = "4s", value_parser = humantime::parse_duration)]
    break_window: Duration,
    /// Keep what was learnt in this file, for the next start
    #[arg(long)]
    state: Option<PathBuf>,
    /// Do not come back after a move or a break
    #[arg(long)]
    once: bool,
    /// Print events and summary as JSON lines
    #[arg(long)]
    json: bool,
    /// Print the summary only
    #[arg(short, long)]
    quiet: bool,
    /// Log to standard error by this filter, such as `debug` or `ashtide_client=debug`
    #[arg(long, default_value = "warn")]
    log: String,
}

fn address(text: &str) -> Result<Address, String> {
    let (at, place) = text.split_once('@').unwrap_or((text, ""));
    let (zone, site) = place.split_once('/').unwrap_or((place, ""));
    let at: SocketAddr = at
        .parse()
        .map_err(|_| format!("'{at}' is no IP:PORT (names are not looked up), such as 127.0.0.1:8443"))?;
    Ok(Address { socket_addr: at, zone: zone.to_owned(), site: site.to_owned() })
}

fn positive(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(figure) if figure > 0.0 && figure <= 1e5 => Ok(figure),
        _ => Err("must be a number over 0, at most 100000".to_owned()),
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = match tracing_subscriber::EnvFilter::try_new(&arguments.log) {
        Ok(filter) => filter,
        Err(error) => return unusable(format_args!("--log: {error}")),
    };
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    if arguments.json {
        log.json().init()
    } else {
        log.init()
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return unusable(format_args!("no runtime: {error}")),
    };
    let code = runtime.block_on(run(arguments));
    // Reading standard input cannot be called off.
    runtime.shutdown_background();
    code
}

fn unusable(why: impl std::fmt::Display) -> ExitCode {
    eprintln!("ashtide-client: {why}");
    ExitCode::from(2)
}

async fn run(arguments: Arguments) -> ExitCode {
    let settings = Settings {
        zone: arguments.zone.clone(),
        tries: arguments.tries,
        break_window: arguments.break_window,
        window_most: Settings::default().window_most.max(arguments.break_window),
        ..Settings::default()
    };
    let mut builder = Client::builder().addresses(arguments.addresses.clone()).settings(settings);
    if let Some(file) = &arguments.state {
        builder = builder.cache_file(file);
    }
    let client = match builder.build() {
        Ok(client) => client,
        Err(error) => return unusable(error),
    };
    let (stop, stopping) = watch::channel(false);
    let (input, _) = broadcast::channel(INPUT);
    if arguments.rate.is_none() {
        tokio::spawn(read(input.clone()));
    }
    let (to_report, mut seen) = mpsc::channel(EVENTS);
    let begun = Instant::now();
    let mut report = Report::new(arguments.json, arguments.quiet, arguments.sessions);
    let opening = open_all(&arguments, &client, &input, &stopping, to_report);
    tokio::pin!(opening);
    let (mut opened, mut left) = (false, false);
    let until = begun + arguments.run_for.unwrap_or(Duration::from_secs(365 * 86_400));
    loop {
        tokio::select! {
            () = &mut opening, if !opened => opened = true,
            event = seen.recv() => match event {
                Some(event) => report.take(begun.elapsed(), event),
                None => break,
            },
            () = sleep_until(until), if !left => {
                left = true;
                stop.send_replace(true);
            }
            _ = tokio::signal::ctrl_c(), if !left => {
                left = true;
                stop.send_replace(true);
            }
        }
    }
    report.summary(begun.elapsed(), &client.metrics().await.0);
    if report.all_up() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Hands lines of standard input to all sessions, until its end.
async fn read(input: broadcast::Sender<String>) {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        // Nobody may be there to take it.
        let _ = input.send(line);
    }
}

async fn open_all(
    arguments: &Arguments,
    client: &Client,
    input: &broadcast::Sender<String>,
    stopping: &watch::Receiver<bool>,
    report: mpsc::Sender<(u32, Seen)>,
) {
    for number in 0..arguments.sessions {
        if *stopping.borrow() {
            return;
        }
        let key = match arguments.sessions {
            1 => arguments.key.clone(),
            _ => format!("{}-{number}", arguments.key),
        };
        let mut wish = SessionRequest::new(&arguments.class, key, arguments.wait);
        wish.parameters.tenant.clone_from(&arguments.tenant);
        wish.parameters.group.clone_from(&arguments.group);
        wish.attempt_timeout = arguments.try_wait;
        wish.reconnects = !arguments.once;
        let lines = Lines {
            every: arguments.rate.map(|rate| Duration::from_secs_f64(1.0 / rate)),
            line: arguments.line.clone(),
            input: input.subscribe(),
        };
        let (client, report, stopping) = (client.clone(), report.clone(), stopping.clone());
        tokio::spawn(async move {
            let session = client.open(wish).await;
            play(number, session, lines, stopping, report).await;
        });
        if let Some(rate) = arguments.open_rate {
            sleep(Duration::from_secs_f64(1.0 / rate)).await;
        }
    }
}

struct Lines {
    every: Option<Duration>,
    line: String,
    input: broadcast::Receiver<String>,
}

/// Waits until all are to leave.
async fn stopped(stopping: &mut watch::Receiver<bool>) {
    // Its sender lives as long as the program; without it, leaving is right too.
    let _ = stopping.wait_for(|&stop| stop).await;
}

async fn play(
    number: u32,
    mut session: Session,
    mut lines: Lines,
    mut stopping: watch::Receiver<bool>,
    report: mpsc::Sender<(u32, Seen)>,
) {
    let (mut up, mut next) = (false, Instant::now());
    loop {
        let to_send = tokio::select! {
            event = session.next_event() => {
                let Some(event) = event else { return };
                up = match event {
                    SessionEvent::Connected { .. } => {
                        next = Instant::now();
                        true
                    }
                    SessionEvent::Migrated | SessionEvent::Disconnected { .. } => false,
                    _ => up,
                };
                if report.send((number, Seen::Event(event))).await.is_err() {
                    return;
                }
                continue;
            }
            () = stopped(&mut stopping) => {
                let _ = report.send((number, Seen::Left)).await;
                return;
            }
            () = sleep_until(next), if up && lines.every.is_some() => {
                next += lines.every.unwrap_or_default();
                lines.line.clone()
            }
            line = lines.input.recv(), if lines.every.is_none() => match line {
                Ok(line) => line,
                Err(broadcast::error::RecvError::Lagged(missed)) => {
                    tracing::warn!(session = number, missed, "input: the session does not keep up");
                    continue;
                }
                // The end of standard input: what comes is still printed.
                Err(broadcast::error::RecvError::Closed) => {
                    lines.input = broadcast::channel(1).1;
                    std::future::pending().await
                }
            },
        };
        let seen = match session.send(to_send.as_bytes()).await {
            Ok(()) => Seen::Sent(to_send),
            Err(error) => Seen::Unsent(error.to_string()),
        };
        if report.send((number, seen)).await.is_err() {
            return;
        }
    }
}
