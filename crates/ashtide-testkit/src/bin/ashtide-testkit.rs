//! Runs named scenarios against a daemon and prints the result of each check.
//!
//! Without `--daemon`, the program `ashtide` in the folder of this program is started.

use std::path::PathBuf;
use std::process::ExitCode;

use ashtide_testkit::scenarios::{MIGRATION_CLIENTS, NAMES, run_scenario};

const USAGE: &str = "usage: ashtide-testkit [--daemon FILE] [--clients N] [SCENARIO ...]";
/// Maximum number of mock clients of the migration scenario. The scenario checks correctness and is no load
/// test.
const MAX_CLIENTS: usize = 4000;

/// Parsed command line.
struct Options {
    /// Program of the daemon.
    daemon: PathBuf,
    /// Number of clients of the migration scenario.
    clients: usize,
    /// Names of the scenarios to run, in this order.
    scenarios: Vec<String>,
}

fn parse_arguments() -> Result<Options, String> {
    let own_path = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut options = Options {
        daemon: own_path.with_file_name("ashtide"),
        clients: MIGRATION_CLIENTS,
        scenarios: Vec::new(),
    };
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        let mut value = || arguments.next().ok_or(USAGE);
        match argument.as_str() {
            "--daemon" => options.daemon = value()?.into(),
            "--clients" => {
                let clients = value()?.parse().map_err(|_| USAGE)?;
                if !(1..=MAX_CLIENTS).contains(&clients) {
                    return Err(format!("--clients: must be 1 to {MAX_CLIENTS}"));
                }
                options.clients = clients;
            }
            name if NAMES.contains(&name) => options.scenarios.push(name.to_owned()),
            _ => return Err(format!("{USAGE}\nscenarios: {}", NAMES.join(", "))),
        }
    }
    if options.scenarios.is_empty() {
        options.scenarios = NAMES.iter().map(|&name| name.to_owned()).collect();
    }
    Ok(options)
}

fn main() -> ExitCode {
    let options = match parse_arguments() {
        Ok(options) => options,
        Err(problem) => {
            eprintln!("{problem}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("ashtide-testkit: {error}");
            return ExitCode::from(2);
        }
    };
    let mut failed = 0;
    for name in &options.scenarios {
        match runtime.block_on(run_scenario(name, &options.daemon, options.clients)) {
            Ok(checks) => {
                for check in &checks.0 {
                    let verdict = if check.passed { "pass" } else { "FAIL" };
                    println!("{verdict} {name}: {} ({})", check.name, check.observed);
                    failed += usize::from(!check.passed);
                }
            }
            Err(error) => {
                println!("FAIL {name}: did not run to completion: {error}");
                failed += 1;
            }
        }
    }
    println!("{} scenarios, {failed} checks failed", options.scenarios.len());
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
