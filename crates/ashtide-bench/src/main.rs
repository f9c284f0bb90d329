//! `ashtide-bench`: measurements that anyone can repeat, each a command.

use std::path::PathBuf;
use std::process::ExitCode;

use ashtide_bench::fault_comparison::{FaultKind, Outcome};
use ashtide_bench::reconnect_burst::ReconnectBurst;
use ashtide_bench::{cost, fault_comparison, live, reconnect_burst};
use ashtide_client::{Address, Settings};
use clap::{Parser, Subcommand};
use serde_json::json;

/// Measures what the product does at large size. Every command prints its figures, and writes them with
/// --json FILE.
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
    /// A mass return in virtual time: all sessions cut at one moment
    #[command(name = "wave")]
    ReconnectBurst {
        /// Devices, each with one session
        #[arg(long, default_value_t = 100_000)]
        sessions: usize,
        /// What the site admits a second; the others are refused with BUSY 1000
        #[arg(long, default_value_t = 1e9)]
        admits: f64,
        /// All sessions in one process, as a relay's
        #[arg(long)]
        one_process: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Draw the arrivals by 100 ms
        #[arg(long)]
        picture: bool,
    },
    /// A mass return over real sockets: two daemons killed, two others take all
    #[command(name = "wave-real")]
    LiveReconnectBurst {
        /// The daemon's program
        #[arg(long, default_value = "target/release/ashtide")]
        daemon: PathBuf,
        /// Devices, each with one session
        #[arg(long, default_value_t = 10_000)]
        sessions: usize,
        /// Client processes
        #[arg(long, default_value_t = 4)]
        processes: usize,
        /// Draw the arrivals by 100 ms
        #[arg(long)]
        picture: bool,
    },
    /// The library beside naive clients when servers are slowed, and when half of them refuse
    #[command(name = "storm")]
    FaultComparison {
        /// 1 is 10 servers and 7,200 standing connections
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
        /// Seeds, each a run
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Memory and processor time a session of the core
    Cost {
        /// Sizes, each measured in a process of its own
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
        Err(error) => return failed(&error),
    };
    let (text, figures) = match runtime.block_on(study(arguments.study)) {
        Ok(done) => done,
        Err(error) => return failed(&*error),
    };
    print!("{text}");
    if let Some(file) = arguments.json {
        let written = serde_json::to_vec_pretty(&figures).map_err(std::io::Error::from);
        if let Err(error) = written.and_then(|text| std::fs::write(&file, text)) {
            return failed(&format!("{}: {error}", file.display()));
        }
    }
    ExitCode::SUCCESS
}

fn failed(why: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("ashtide-bench: {why}");
    ExitCode::FAILURE
}

type Done = Result<(String, serde_json::Value), Box<dyn std::error::Error>>;

async fn study(Study::Client(study): Study) -> Done {
    match study {
        ClientStudy::ReconnectBurst { sessions, admits, one_process, seed, picture } => {
            let burst = if one_process {
                reconnect_burst::process(sessions, Settings::default(), seed)
            } else {
                reconnect_burst::devices(
                    sessions,
                    fault_comparison::library(Settings::default()),
                    admits,
                    seed,
                )
            };
            told(&burst, picture)
        }
        ClientStudy::LiveReconnectBurst { daemon, sessions, processes, picture } => {
            told(&live::run_reconnect_burst(&daemon, sessions, processes.max(1)).await?, picture)
        }
        ClientStudy::FaultComparison { scale, seeds } => {
            let mut outcomes = Vec::new();
            let mut text = "trouble      clients                   seed  attempts  useful  each  peak/s  recovered  served  lost\n".to_owned();
            for kind in [FaultKind::Slowed, FaultKind::HalfRefuse] {
                for (name, behaviour) in fault_comparison::clients() {
                    for seed in 1..=seeds {
                        let outcome =
                            fault_comparison::run_comparison(name, behaviour.clone(), kind, scale, seed);
                        text += &row(&outcome, seed);
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
            let addresses = addresses.iter().map(|text| address(text)).collect::<Result<Vec<_>, _>>()?;
            live::run_devices(count, process, addresses).await?;
            Ok((String::new(), json!(null)))
        }
    }
}

fn address(text: &str) -> Result<Address, std::net::AddrParseError> {
    let (at, zone) = text.split_once('@').unwrap_or((text, ""));
    Ok(Address { socket_addr: at.parse()?, zone: zone.to_owned(), site: String::new() })
}

fn told(wave: &ReconnectBurst, picture: bool) -> Done {
    let mut text = if picture { wave.picture(60) } else { String::new() };
    text += &format!(
        "{} sessions cut, {} back; {} attempts, {} overlaps\n\
         arrivals over {:.2} s, nine tenths within {:.2} s; peak {} in 100 ms, mean {:.1}, ratio {:.2}\n\
         back after {:.2} s (half), {:.2} s (99 of 100), {:.2} s (all)\n",
        wave.sessions,
        wave.back,
        wave.attempts,
        wave.overlaps,
        wave.span_ms / 1e3,
        wave.middle_ms / 1e3,
        wave.peak,
        wave.mean,
        wave.peak_to_mean,
        wave.back_ms[0] / 1e3,
        wave.back_ms[1] / 1e3,
        wave.back_ms[2] / 1e3,
    );
    Ok((text, json!(wave)))
}

fn row(outcome: &Outcome, seed: u64) -> String {
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
