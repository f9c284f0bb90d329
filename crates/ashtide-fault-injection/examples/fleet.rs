//! Executes fault plans of any size with a daemon binary and prints their summaries. A benchmark, not timed
//! in CI.

use std::path::PathBuf;
use std::process::ExitCode;

use ashtide_fault_injection::{FaultAction, FaultPlan, FaultRunError, Link, RandomPlanLimits, run_plan};
use clap::Parser;

/// Executes fault plans with a daemon binary.
#[derive(Parser)]
struct Arguments {
    /// The path of the daemon binary.
    #[arg(long, default_value = "target/release/ashtide")]
    program: PathBuf,
    /// The path of a plan in JSON, which replaces the plans by size.
    #[arg(long)]
    plan: Option<PathBuf>,
    /// The seeds of random plans, which replace the plans by size.
    #[arg(long, value_delimiter = ',')]
    seeds: Vec<u64>,
    /// The numbers of gateways, one plan each.
    #[arg(default_values_t = [9, 30, 60])]
    gateways: Vec<usize>,
    /// The path to which the timeline of the last run is written.
    #[arg(long)]
    timeline: Option<PathBuf>,
}

/// Returns a plan in which a server starts during message loss, then a third of the gateways is partitioned
/// from the others, and the partition heals.
fn plan_with_gateways(gateways: usize) -> FaultPlan {
    let (smaller, larger) = ((0..gateways / 3).collect(), (gateways / 3..gateways).collect());
    let loss = FaultAction::Link { from: Vec::new(), to: Vec::new(), link: Link::lossy(0.3) };
    // A person reads the results of a benchmark, so the harness may be delayed for longer than in tests with
    // a verdict.
    let typical = FaultPlan::typical(gateways, gateways as f64);
    FaultPlan { servers: gateways.max(6), load_duration_ms: 20_000, max_harness_delay_ms: 2_000, ..typical }
        .with_action(2_000, loss)
        .with_action(3_000, FaultAction::Add { zone: 1 })
        .with_action(8_000, FaultAction::Heal)
        .with_action(9_000, FaultAction::Split { parts: vec![smaller, larger] })
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
    let limits = RandomPlanLimits {
        gateways: 3..=5,
        faults: 2..=5,
        faults_within_ms: 1_000..=6_000,
        fault_ms: 500..=4_000,
    };
    let plans: Vec<FaultPlan> = match &arguments.plan {
        Some(file) => vec![FaultPlan::read(&std::fs::read_to_string(file)?)?],
        None if arguments.seeds.is_empty() => {
            arguments.gateways.iter().map(|&count| plan_with_gateways(count)).collect()
        }
        None => arguments.seeds.iter().map(|&seed| FaultPlan::random(seed, &limits)).collect(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut all_passed = true;
    for plan in plans {
        let run = runtime.block_on(run_plan(&arguments.program, &plan))?;
        println!("{}", run.summary);
        for violation in run.violations.iter().take(10) {
            println!("  {violation}; {}", violation.help());
        }
        all_passed &= run.violations.is_empty();
        if let Some(file) = &arguments.timeline {
            std::fs::write(file, run.history.to_json_lines())?;
        }
    }
    Ok(all_passed)
}
