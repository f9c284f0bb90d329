//! Plays plans of any size against a daemon's binary and prints their summaries: a benchmark, not timed in CI.

use std::path::PathBuf;
use std::process::ExitCode;

use ashtide_fault_injection::{FaultAction, FaultPlan, FaultRunError, Link, RandomPlanLimits, run_plan};
use clap::Parser;

/// Plays plans against a daemon's binary.
#[derive(Parser)]
struct Arguments {
    /// The daemon.
    #[arg(long, default_value = "target/release/ashtide")]
    program: PathBuf,
    /// A plan in JSON, in place of those of each size.
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Random plans of these seeds, in place of those of each size.
    #[arg(long, value_delimiter = ',')]
    seeds: Vec<u64>,
    /// How many gateways.
    #[arg(default_values_t = [9, 30, 60])]
    gateways: Vec<usize>,
    /// Where the last play's timeline goes.
    #[arg(long)]
    timeline: Option<PathBuf>,
}

/// A cold server joins while messages are lost, then a third of the gateways is cut off and comes back.
fn sized(gateways: usize) -> FaultPlan {
    let (one, two) = ((0..gateways / 3).collect(), (gateways / 3..gateways).collect());
    let loss = FaultAction::Link { from: Vec::new(), to: Vec::new(), link: Link::lossy(0.3) };
    // A benchmark is read by someone, so the rig may be later than where a verdict has to stand.
    let tier = FaultPlan::typical(gateways, gateways as f64);
    FaultPlan { servers: gateways.max(6), last_ms: 20_000, max_harness_delay_ms: 2_000, ..tier }
        .with_action(2_000, loss)
        .with_action(3_000, FaultAction::Add { zone: 1 })
        .with_action(8_000, FaultAction::Heal)
        .with_action(9_000, FaultAction::Split { parts: vec![one, two] })
        .with_action(15_000, FaultAction::Heal)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}; {}", error.help());
            ExitCode::from(2)
        }
    }
}

fn run(arguments: &Arguments) -> Result<bool, FaultRunError> {
    let range = RandomPlanLimits {
        gateways: 3..=5,
        faults: 2..=5,
        faults_within_ms: 1_000..=6_000,
        fault_ms: 500..=4_000,
    };
    let plans: Vec<FaultPlan> = match &arguments.plan {
        Some(file) => vec![FaultPlan::read(&std::fs::read_to_string(file)?)?],
        None if arguments.seeds.is_empty() => arguments.gateways.iter().map(|&n| sized(n)).collect(),
        None => arguments.seeds.iter().map(|&seed| FaultPlan::random(seed, &range)).collect(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut all = true;
    for plan in plans {
        let played = runtime.block_on(run_plan(&arguments.program, &plan))?;
        println!("{}", played.summary);
        for violation in played.violations.iter().take(10) {
            println!("  {violation}; {}", violation.help());
        }
        all &= played.violations.is_empty();
        if let Some(file) = &arguments.timeline {
            std::fs::write(file, played.history.to_json_lines())?;
        }
    }
    Ok(all)
}
