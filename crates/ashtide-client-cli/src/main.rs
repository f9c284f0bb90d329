//! `ashtide-client`: opens one or many sessions, sends lines, and prints events with their times and a
//! summary.

mod report;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use ashtide_client::{Address, Client, Session, SessionEvent, SessionRequest, Settings};
use clap::Parser;
use report::{Report, ReportEvent};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::sync::{broadcast, mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// Number of lines of standard input that are buffered for a session that reads them late.
const INPUT_CAPACITY: usize = 256;
/// Number of events that are buffered for the report. When the buffer is full, sessions wait.
const EVENT_CAPACITY: usize = 1024;

/// Opens sessions through the gateways at ADDRESSES, sends lines, and prints events and a summary.
///
/// Lines of standard input are sent by every session, unless --rate is given. Exit code 0: every session was
/// established; 1: at least one was not; 2: the arguments are invalid.
#[derive(Debug, Parser)]
#[command(name = "ashtide-client", version)]
struct Arguments {
    /// Address of a gateway: IP:PORT, IP:PORT@ZONE or IP:PORT@ZONE/SITE
    #[arg(required = true, value_parser = parse_address)]
    addresses: Vec<Address>,
    /// Class of the sessions, as named in the settings of the deployment
    #[arg(short, long, default_value = "resident-reading")]
    class: String,
    /// Key of the session; with several sessions, their keys are this one and a number
    #[arg(short, long, default_value = "trial")]
    key: String,
    /// Tenant, as named in the settings of the deployment
    #[arg(short, long)]
    tenant: Option<String>,
    /// Group of the sessions
    #[arg(short, long)]
    group: Option<String>,
    /// Number of sessions
    #[arg(short = 'n', long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=60_000))]
    sessions: u32,
    /// Number of sessions to open per second; without it, all are opened at once
    #[arg(long, value_parser = parse_rate)]
    open_rate: Option<f64>,
    /// Time within which a session must be established
    #[arg(short = 'w', long = "wait", value_name = "WAIT", default_value = "3200ms",
          value_parser = humantime::parse_duration)]
    connect_timeout: Duration,
    /// Time-out of an attempt without an answer, after which another attempt may follow
    #[arg(long = "try-wait", value_name = "TRY_WAIT", value_parser = humantime::parse_duration)]
    attempt_timeout: Option<Duration>,
    /// Time after which the command closes all sessions, in any state
    #[arg(short = 'f', long = "for", value_parser = humantime::parse_duration)]
    run_for: Option<Duration>,
    /// Number of lines that each session sends per second
    #[arg(short, long, value_parser = parse_rate)]
    rate: Option<f64>,
    /// Line that is sent at that rate
    #[arg(short, long, default_value = "READ")]
    line: String,
    /// Zone of the client; gateways in this zone are tried first
    #[arg(short, long)]
    zone: Option<String>,
    /// Maximum number of attempts for the first connection of a session
    #[arg(long = "tries", value_name = "TRIES", default_value_t = Settings::default().tries)]
    max_attempts: u32,
    /// Time over which reconnections are spread after a connection broke
    #[arg(long, default_value = "4s", value_parser = humantime::parse_duration)]
    break_window: Duration,
    /// File in which the client's observations of the gateways are stored for the next run
    #[arg(long = "state", value_name = "STATE")]
    state_file: Option<PathBuf>,
    /// Do not reconnect after a connection was moved or broke
    #[arg(long = "once")]
    without_reconnects: bool,
    /// Print events and summary as JSON lines
    #[arg(long)]
    json: bool,
    /// Print the summary only
    #[arg(short, long)]
    quiet: bool,
    /// Filter of the log on standard error, such as `debug` or `ashtide_client=debug`
    #[arg(long = "log", value_name = "LOG", default_value = "warn")]
    log_filter: String,
}

fn parse_address(text: &str) -> Result<Address, String> {
    let (socket_addr, place) = text.split_once('@').unwrap_or((text, ""));
    let (zone, site) = place.split_once('/').unwrap_or((place, ""));
    let socket_addr: SocketAddr = socket_addr.parse().map_err(|_| {
        format!("'{socket_addr}' is not IP:PORT, such as 127.0.0.1:8443 (host names are not looked up)")
    })?;
    Ok(Address { socket_addr, zone: zone.to_owned(), site: site.to_owned() })
}

fn parse_rate(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(rate) if rate > 0.0 && rate <= 1e5 => Ok(rate),
        _ => Err("must be a number over 0, at most 100000".to_owned()),
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = match tracing_subscriber::EnvFilter::try_new(&arguments.log_filter) {
        Ok(filter) => filter,
        Err(error) => return startup_failure(format_args!("--log: {error}")),
    };
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    if arguments.json {
        log.json().init()
    } else {
        log.init()
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return startup_failure(format_args!("no runtime: {error}")),
    };
    let code = runtime.block_on(run(arguments));
    // A blocking read of standard input cannot be cancelled, so the runtime must not wait for it.
    runtime.shutdown_background();
    code
}

/// Prints an error to standard error, and returns the exit code of a command that could not be started.
fn startup_failure(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("ashtide-client: {error}");
    ExitCode::from(2)
}

async fn run(arguments: Arguments) -> ExitCode {
    let settings = Settings {
        zone: arguments.zone.clone(),
        tries: arguments.max_attempts,
        break_window: arguments.break_window,
        window_most: Settings::default().window_most.max(arguments.break_window),
        ..Settings::default()
    };
    let mut builder = Client::builder().addresses(arguments.addresses.clone()).settings(settings);
    if let Some(file) = &arguments.state_file {
        builder = builder.cache_file(file);
    }
    let client = match builder.build() {
        Ok(client) => client,
        Err(error) => return startup_failure(error),
    };
    let (stop_sender, stop) = watch::channel(false);
    let (input, _) = broadcast::channel(INPUT_CAPACITY);
    if arguments.rate.is_none() {
        tokio::spawn(read_input(input.clone()));
    }
    let (event_sender, mut events) = mpsc::channel(EVENT_CAPACITY);
    let start = Instant::now();
    let mut report = Report::new(arguments.json, arguments.quiet, arguments.sessions);
    let opening = open_sessions(&arguments, &client, &input, &stop, event_sender);
    tokio::pin!(opening);
    let (mut all_opened, mut stopping) = (false, false);
    // Without --for, the command runs until all sessions have ended; a year stands for no limit.
    let deadline = start + arguments.run_for.unwrap_or(Duration::from_secs(365 * 86_400));
    loop {
        tokio::select! {
            () = &mut opening, if !all_opened => all_opened = true,
            event = events.recv() => match event {
                Some((session, event)) => report.record(start.elapsed(), session, &event),
                None => break,
            },
            () = sleep_until(deadline), if !stopping => {
                stopping = true;
                stop_sender.send_replace(true);
            }
            _ = tokio::signal::ctrl_c(), if !stopping => {
                stopping = true;
                stop_sender.send_replace(true);
            }
        }
    }
    report.print_summary(start.elapsed(), &client.metrics().await.0);
    if report.all_established() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Forwards lines of standard input to all sessions, until the end of the input.
async fn read_input(input: broadcast::Sender<String>) {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        // Sending fails if there is no session at present; the line is then dropped.
        let _ = input.send(line);
    }
}

/// Opens the sessions at the configured rate, each in a task of its own.
async fn open_sessions(
    arguments: &Arguments,
    client: &Client,
    input: &broadcast::Sender<String>,
    stop: &watch::Receiver<bool>,
    events: mpsc::Sender<(u32, ReportEvent)>,
) {
    for number in 0..arguments.sessions {
        if *stop.borrow() {
            return;
        }
        let key = match arguments.sessions {
            1 => arguments.key.clone(),
            _ => format!("{}-{number}", arguments.key),
        };
        let mut request = SessionRequest::new(&arguments.class, key, arguments.connect_timeout);
        request.parameters.tenant.clone_from(&arguments.tenant);
        request.parameters.group.clone_from(&arguments.group);
        request.attempt_timeout = arguments.attempt_timeout;
        request.reconnects = !arguments.without_reconnects;
        let lines = LineSource {
            interval: arguments.rate.map(|rate| Duration::from_secs_f64(1.0 / rate)),
            line: arguments.line.clone(),
            input: input.subscribe(),
        };
        let (client, events, stop) = (client.clone(), events.clone(), stop.clone());
        tokio::spawn(async move {
            let session = client.open(request).await;
            run_session(number, session, lines, stop, events).await;
        });
        if let Some(rate) = arguments.open_rate {
            sleep(Duration::from_secs_f64(1.0 / rate)).await;
        }
    }
}

/// The lines that a session sends.
struct LineSource {
    /// Interval between two lines, or `None` if the lines are those of standard input.
    interval: Option<Duration>,
    /// The line that is sent at this interval.
    line: String,
    /// Lines of standard input.
    input: broadcast::Receiver<String>,
}

/// Waits until all sessions are to be closed.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender has been dropped, as the program ends: a reason to stop as well.
    let _ = stop.wait_for(|&stop| stop).await;
}

/// Sends the lines of a session and reports its events, until the session ends or all are to be closed.
async fn run_session(
    number: u32,
    mut session: Session,
    mut lines: LineSource,
    mut stop: watch::Receiver<bool>,
    events: mpsc::Sender<(u32, ReportEvent)>,
) {
    let (mut established, mut next_line) = (false, Instant::now());
    loop {
        let to_send = tokio::select! {
            event = session.next_event() => {
                let Some(event) = event else { return };
                established = match event {
                    SessionEvent::Connected { .. } => {
                        next_line = Instant::now();
                        true
                    }
                    SessionEvent::Migrated | SessionEvent::Disconnected { .. } => false,
                    _ => established,
                };
                if events.send((number, ReportEvent::Session(event))).await.is_err() {
                    return;
                }
                continue;
            }
            () = wait_for_stop(&mut stop) => {
                let _ = events.send((number, ReportEvent::Closed)).await;
                return;
            }
            () = sleep_until(next_line), if established && lines.interval.is_some() => {
                next_line += lines.interval.unwrap_or_default();
                lines.line.clone()
            }
            line = lines.input.recv(), if lines.interval.is_none() => match line {
                Ok(line) => line,
                Err(broadcast::error::RecvError::Lagged(missed)) => {
                    tracing::warn!(
                        session = number,
                        missed,
                        "session is too slow for standard input; dropped its oldest lines"
                    );
                    continue;
                }
                // The command retains a sender of the channel, which is therefore not closed before it exits.
                Err(broadcast::error::RecvError::Closed) => {
                    lines.input = broadcast::channel(1).1;
                    std::future::pending().await
                }
            },
        };
        let event = match session.send(to_send.as_bytes()).await {
            Ok(()) => ReportEvent::Sent(to_send),
            Err(error) => ReportEvent::SendFailed(error.to_string()),
        };
        if events.send((number, event)).await.is_err() {
            return;
        }
    }
}
