//! Rehearses named scenarios against the daemon beside it, and prints pass or fail for each check.

use std::path::PathBuf;
use std::process::ExitCode;

use ashtide_testkit::scenarios::{MIGRATION_CLIENTS, NAMES, run_scenario};

const USAGE: &str = "usage: ashtide-testkit [--daemon FILE] [--clients N] [SCENARIO ...]";
/// Stand-in clients that a rehearsal may have: it checks correctness and is no load.
const MOST_CLIENTS: usize = 4000;

struct Asked {
    daemon: PathBuf,
    clients: usize,
    names: Vec<String>,
}

fn asked() -> Result<Asked, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut asked =
        Asked { daemon: own.with_file_name("ashtide"), clients: MIGRATION_CLIENTS, names: Vec::new() };
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        let mut value = || arguments.next().ok_or(USAGE);
        match argument.as_str() {
            "--daemon" => asked.daemon = value()?.into(),
            "--clients" => {
                let clients = value()?.parse().map_err(|_| USAGE)?;
                if !(1..=MOST_CLIENTS).contains(&clients) {
                    return Err(format!("--clients: must be 1 to {MOST_CLIENTS}"));
                }
                asked.clients = clients;
            }
            name if NAMES.contains(&name) => asked.names.push(name.to_owned()),
            _ => return Err(format!("{USAGE}\nscenarios: {}", NAMES.join(", "))),
        }
    }
    if asked.names.is_empty() {
        asked.names = NAMES.iter().map(|&name| name.to_owned()).collect();
    }
    Ok(asked)
}

fn main() -> ExitCode {
    let asked = match asked() {
        Ok(asked) => asked,
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
    for name in &asked.names {
        match runtime.block_on(run_scenario(name, &asked.daemon, asked.clients)) {
            Ok(checks) => {
                for check in &checks.0 {
                    let word = if check.passed { "pass" } else { "FAIL" };
                    println!("{word} {name}: {} ({})", check.name, check.observed);
                    failed += usize::from(!check.passed);
                }
            }
            Err(error) => {
                println!("FAIL {name}: not played to its end: {error}");
                failed += 1;
            }
        }
    }
    println!("{} scenarios, {failed} checks failed", asked.names.len());
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
