//! `ashtide-bench`: repeatable benchmarks and simulations, one per command.

use std::path::PathBuf;
use std::process::ExitCode;

use ashtide_bench::fault_comparison::{FaultKind, Outcome};
use ashtide_bench::reconnect_burst::ReconnectBurst;
use ashtide_bench::{cost, fault_comparison, live, reconnect_burst};
use ashtide_client::{Address, Settings};
use clap::{Parser, Subcommand};
use serde_json::json;

/// Benchmarks and simulations of large deployments. Every command prints its figures, and writes them to a
/// file with --json FILE.
#[derive(Debug, Parser)]
#[command(name = "ashtide-bench", version)]
struct Arguments {
    /// Write the figures to this file as JSON
    #[arg(long, global = true)]
    json: Option<PathBuf>,
    #[command(subcommand)]
    study: Study,
}

#[derive(Debug, Subcommand)]
enum Study {
    /// The client library
    #[command(subcommand)]
    Client(ClientStudy),
}

#[derive(Debug, Subcommand)]
enum ClientStudy {
    /// Reconnect burst in virtual time: all connections break at the same time
    #[command(name = "wave")]
    ReconnectBurst {
        /// Number of devices, each with one session
        #[arg(long, default_value_t = 100_000)]
        sessions: usize,
        /// Connections that the deployment accepts per second; others are rejected with BUSY 1000
        #[arg(long, default_value_t = 1e9)]
        admits: f64,
        /// Run all sessions in one process, such as a relay's
        #[arg(long)]
        one_process: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print a bar chart of the attempts by 100 ms
        #[arg(long)]
        picture: bool,
    },
    /// Reconnect burst over sockets: two daemons are killed, and all sessions reconnect to two others
    #[command(name = "wave-real")]
    LiveReconnectBurst {
        /// Program of the daemon
        #[arg(long, default_value = "target/release/ashtide")]
        daemon: PathBuf,
        /// Number of devices, each with one session
        #[arg(long, default_value_t = 10_000)]
        sessions: usize,
        /// Number of client processes
        #[arg(long, default_value_t = 4)]
        processes: usize,
        /// Print a bar chart of the attempts by 100 ms
        #[arg(long)]
        picture: bool,
    },
    /// Compare the client library with baseline clients when servers are slow and when half of them reject
    #[command(name = "storm")]
    FaultComparison {
        /// Scale of the deployment; 1 is 10 servers and 7,200 established connections
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
        /// Number of seeds, with one run for each
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Memory and processor time per session of the client core
    Cost {
        /// Numbers of sessions, each measured in a process of its own
        #[arg(long, value_delimiter = ',', default_value = "100,1000,10000,100000")]
        sessions: Vec<usize>,
    },
    #[command(hide = true)]
    CostOne { sessions: usize },
    #[command(hide = true)]
    Devices { count: usize, process: usize, addresses: Vec<String> },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(&error),
    };
    let (text, figures) = match runtime.block_on(run_study(arguments.study)) {
        Ok(result) => result,
        Err(error) => return report_failure(&*error),
    };
    print!("{text}");
    if let Some(file) = arguments.json {
        let written = serde_json::to_vec_pretty(&figures).map_err(std::io::Error::from);
        if let Err(error) = written.and_then(|text| std::fs::write(&file, text)) {
            return report_failure(&format!("{}: {error}", file.display()));
        }
    }
    ExitCode::SUCCESS
}

fn report_failure(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("ashtide-bench: {error}");
    ExitCode::FAILURE
}

/// Printed report and the figures for the JSON file.
type StudyResult = Result<(String, serde_json::Value), Box<dyn std::error::Error>>;

async fn run_study(Study::Client(study): Study) -> StudyResult {
    match study {
        ClientStudy::ReconnectBurst { sessions, admits, one_process, seed, picture } => {
            let burst = if one_process {
                reconnect_burst::simulate_process(sessions, Settings::default(), seed)
            } else {
                reconnect_burst::simulate_devices(
                    sessions,
                    fault_comparison::library_client(Settings::default()),
                    admits,
                    seed,
                )
            };
            burst_report(&burst, picture)
        }
        ClientStudy::LiveReconnectBurst { daemon, sessions, processes, picture } => {
            burst_report(&live::run_reconnect_burst(&daemon, sessions, processes.max(1)).await?, picture)
        }
        ClientStudy::FaultComparison { scale, seeds } => {
            let mut outcomes = Vec::new();
            let mut text = "fault        clients                   seed  attempts  useful  each  peak/s  \
                            recovered  served  lost\n"
                .to_owned();
            for kind in [FaultKind::Slowed, FaultKind::HalfRefuse] {
                for (name, behavior) in fault_comparison::compared_clients() {
                    for seed in 1..=seeds {
                        let outcome =
                            fault_comparison::run_comparison(name, behavior.clone(), kind, scale, seed);
                        text += &comparison_row(&outcome, seed);
                        outcomes.push(outcome);
                    }
                }
            }
            Ok((text, json!(outcomes)))
        }
        ClientStudy::Cost { sessions } => {
            let mut costs = Vec::new();
            let mut text = "sessions  bytes each  open, us  return, us\n".to_owned();
            for size in sessions {
                let cost = cost::measure_in_own_process(&[
                    "client".to_owned(),
                    "cost-one".to_owned(),
                    size.to_string(),
                ])
                .await?;
                text += &format!(
                    "{:8}  {:10.0}  {:8.2}  {:10.2}\n",
                    cost.sessions, cost.bytes, cost.open_us, cost.return_us
                );
                costs.push(cost);
            }
            Ok((text, json!(costs)))
        }
        ClientStudy::CostOne { sessions } => {
            Ok((serde_json::to_string(&cost::measure(sessions.max(1))?)?, json!(null)))
        }
        ClientStudy::Devices { count, process, addresses } => {
            let addresses =
                addresses.iter().map(|text| parse_address(text)).collect::<Result<Vec<_>, _>>()?;
            live::run_devices(count, process, addresses).await?;
            Ok((String::new(), json!(null)))
        }
    }
}

fn parse_address(text: &str) -> Result<Address, std::net::AddrParseError> {
    let (socket_addr, zone) = text.split_once('@').unwrap_or((text, ""));
    Ok(Address { socket_addr: socket_addr.parse()?, zone: zone.to_owned(), site: String::new() })
}

fn burst_report(burst: &ReconnectBurst, picture: bool) -> StudyResult {
    let mut text = if picture { burst.bar_chart(60) } else { String::new() };
    text += &format!(
        "{} connections broken, {} sessions reconnected; {} attempts, {} overlaps\n\
         attempts over {:.2} s, nine tenths within {:.2} s; peak {} in 100 ms, mean {:.1}, ratio {:.2}\n\
         reconnected after {:.2} s (half), {:.2} s (99 of 100), {:.2} s (all)\n",
        burst.sessions,
        burst.back,
        burst.attempts,
        burst.overlaps,
        burst.span_ms / 1e3,
        burst.middle_ms / 1e3,
        burst.peak,
        burst.mean,
        burst.peak_to_mean,
        burst.back_ms[0] / 1e3,
        burst.back_ms[1] / 1e3,
        burst.back_ms[2] / 1e3,
    );
    Ok((text, json!(burst)))
}

fn comparison_row(outcome: &Outcome, seed: u64) -> String {
    let kind = match outcome.kind {
        FaultKind::Slowed => "slowed",
        FaultKind::HalfRefuse => "half refuse",
    };
    let recovered = outcome.recovered_s.map_or("never".to_owned(), |seconds| format!("{seconds} s"));
    format!(
        "{kind:<12} {:<25} {seed:4}  {:8}  {:6}  {:4.1}  {:6}  {recovered:>9}  {:6.3}  {:4}\n",
        outcome.clients,
        outcome.attempts,
        outcome.useful,
        outcome.attempts_per_useful,
        outcome.peak,
        outcome.share_served,
        outcome.lost,
    )
}
