//! Command line of the daemon: `serve`, which is the default without arguments, and commands for operators.
//!
//! The doc comments of arguments and commands are printed as help texts.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use ashtide_endpoints::{Fragment, Generation, Limits, MAX_FILE_BYTES, Problem, Problems, schema};
use clap::{Parser, Subcommand};
use ipnet::IpNet;
use serde_json::json;

/// Environment variable with the address of the admin endpoint, used if the command line names none.
const ADMIN_ADDRESS_VARIABLE: &str = "ROUTER_OPERATOR";
/// Status at the start of an answer to a rejected request.
const REJECTED_STATUS: &str = "400";
/// Time limit for connecting to the admin endpoint, and for each read of its answer.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum length of an answer that is read, in bytes.
const MAX_RESPONSE_BYTES: u64 = 65536;

/// A balancer for long-lived connections.
///
/// Without a subcommand it runs `serve`. The environment variable ROUTER_CONFIG contains the path of its JSON
/// configuration file.
#[derive(Debug, Parser)]
#[command(name = "ashtide", version, args_conflicts_with_subcommands = true)]
pub struct Arguments {
    /// Deploy file of the QUIC front end and VRRP
    #[arg(long = "fronts", value_name = "FILE")]
    frontends: Option<PathBuf>,
    /// Settings file of the fleet view, which is disabled without it
    #[arg(long, value_name = "FILE")]
    view: Option<PathBuf>,
    /// Settings file of maintenance, which is disabled without it
    #[arg(long, value_name = "FILE")]
    maintenance: Option<PathBuf>,
    /// Settings file of partners' quotas, which are disabled without it; requires --view
    #[arg(long, value_name = "FILE")]
    quota: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the gateway (default without a subcommand)
    Serve {
        /// Deploy file of the QUIC front end and VRRP
        #[arg(long = "fronts", value_name = "FILE")]
        frontends: Option<PathBuf>,
        /// Settings file of the fleet view, which is disabled without it
        #[arg(long, value_name = "FILE")]
        view: Option<PathBuf>,
        /// Settings file of maintenance, which is disabled without it
        #[arg(long, value_name = "FILE")]
        maintenance: Option<PathBuf>,
        /// Settings file of partners' quotas, which are disabled without it; requires --view
        #[arg(long, value_name = "FILE")]
        quota: Option<PathBuf>,
    },
    /// Check server lists separately, and then merged into one list
    ///
    /// Exit code 0: the lists are valid; 1: a list or the merged list is invalid, and its problems are
    /// printed; 2: a file cannot be read.
    Check {
        /// Server lists in TOML or JSON
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Network in which servers are permitted; may be repeated
        #[arg(long, value_name = "NETWORK")]
        allow: Vec<IpNet>,
        /// Print one JSON object instead of text
        #[arg(long)]
        json: bool,
    },
    /// Print the JSON Schema of server lists
    Schema,
    /// Request, list and end the maintenance of machines, which the gateways schedule
    ///
    /// Exit code 0: a gateway answered and did not reject the command; 1: it rejected the command, and the
    /// reason is printed; 2: no address is specified, or no gateway answers.
    Maintenance {
        /// Address of any gateway's admin endpoint; the default is the value of ROUTER_OPERATOR
        #[arg(long = "door", value_name = "ADDRESS")]
        admin_address: Option<SocketAddr>,
        #[command(subcommand)]
        command: MaintenanceCommand,
    },
}

#[derive(Debug, Subcommand)]
enum MaintenanceCommand {
    /// Request maintenance of a machine
    Request {
        /// Name of the server, or address of the gateway as in the maintenance settings
        name: String,
        /// Reason for the maintenance, at most 48 bytes
        #[arg(long, default_value = "")]
        reason: String,
    },
    /// List the queued requests and the granted ones
    List,
    /// Report that the maintenance of a machine is done
    Done {
        /// Name of the server, or address of the gateway as in the maintenance settings
        name: String,
    },
    /// Cancel the maintenance request for a machine
    Cancel {
        /// Name of the server, or address of the gateway as in the maintenance settings
        name: String,
    },
}

/// Optional files of the daemon in addition to its configuration.
pub struct ConfigFiles {
    /// Path of the front ends' settings; `None` to run without QUIC and VRRP.
    pub frontends: Option<PathBuf>,
    /// Path of the fleet view's settings; `None` to disable the view.
    pub view: Option<PathBuf>,
    /// Path of the maintenance settings; `None` to disable maintenance.
    pub maintenance: Option<PathBuf>,
    /// Path of the partners' quotas; `None` to disable quotas.
    pub quota: Option<PathBuf>,
}

/// Next step of the program after the command line has been executed.
pub enum Action {
    /// Serve with these files.
    Serve(ConfigFiles),
    /// Exit with this code.
    Exit(ExitCode),
}

impl Arguments {
    /// Executes the command. `serve` is returned for the caller to execute.
    pub fn execute(self) -> Action {
        match self.command {
            None => {
                let Self { frontends, view, maintenance, quota, .. } = self;
                Action::Serve(ConfigFiles { frontends, view, maintenance, quota })
            }
            Some(Command::Serve { frontends, view, maintenance, quota }) => {
                Action::Serve(ConfigFiles { frontends, view, maintenance, quota })
            }
            Some(Command::Maintenance { admin_address, command }) => {
                Action::Exit(run_maintenance_command(admin_address, command))
            }
            Some(Command::Check { files, allow, json }) => Action::Exit(check_server_lists(
                &files,
                &Limits { allowed_networks: allow, ..Limits::default() },
                json,
            )),
            Some(Command::Schema) => {
                println!("{:#}", schema());
                Action::Exit(ExitCode::SUCCESS)
            }
        }
    }
}

/// Sends a maintenance command to the admin endpoint of a gateway, and prints the answer.
fn run_maintenance_command(admin_address: Option<SocketAddr>, command: MaintenanceCommand) -> ExitCode {
    let address_from_environment =
        || std::env::var(ADMIN_ADDRESS_VARIABLE).ok().and_then(|address| address.parse().ok());
    let Some(address) = admin_address.or_else(address_from_environment) else {
        eprintln!(
            "ashtide: no valid address in --door or ROUTER_OPERATOR; \
             expected the address of a gateway's admin endpoint"
        );
        return ExitCode::from(2);
    };
    let request = match command {
        MaintenanceCommand::Request { name, reason } => format!("request {name} {reason}"),
        MaintenanceCommand::List => "list".to_owned(),
        MaintenanceCommand::Done { name } => format!("done {name}"),
        MaintenanceCommand::Cancel { name } => format!("cancel {name}"),
    };
    match call_admin_endpoint(address, &request) {
        Ok(answer) => {
            print!("{answer}");
            if answer.starts_with(REJECTED_STATUS) { ExitCode::FAILURE } else { ExitCode::SUCCESS }
        }
        Err(error) => {
            eprintln!("ashtide: {address}: {error}");
            ExitCode::from(2)
        }
    }
}

/// Sends one maintenance request to the admin endpoint and returns the answer.
fn call_admin_endpoint(address: SocketAddr, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, ADMIN_TIMEOUT)?;
    stream.set_read_timeout(Some(ADMIN_TIMEOUT))?;
    stream.write_all(format!("maintenance {}\n", request.trim_end()).as_bytes())?;
    let mut answer = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut answer)?;
    Ok(answer)
}

/// Reads a file up to one byte more than the maximum size, so that the caller can detect a file that is too
/// large.
fn read_bounded(file: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(file)?.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Checks server lists, each separately and then all together, and prints the result.
fn check_server_lists(files: &[PathBuf], limits: &Limits, as_json: bool) -> ExitCode {
    let mut fragments = Vec::new();
    let mut invalid = Vec::new();
    for file in files {
        let name = file.display().to_string();
        let bytes = match read_bounded(file) {
            Ok(bytes) => bytes,
            Err(error) => {
                eprintln!("ashtide: {name}: {error}");
                return ExitCode::from(2);
            }
        };
        match Fragment::read(&name, &bytes, limits) {
            Ok(fragment) => fragments.push(fragment),
            Err(problems) => invalid.push(problems),
        }
    }
    let mut list = Generation::default();
    if invalid.is_empty() {
        match list.next(&fragments, limits) {
            Ok(next) => list = next,
            Err(problems) => invalid.push(problems),
        }
    }
    if as_json {
        print_check_as_json(files.len(), &list, &invalid);
    } else {
        print_check_as_text(files.len(), &list, &invalid);
    }
    if invalid.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn problem_count(invalid: &[Problems]) -> usize {
    invalid.iter().map(Problems::count).sum()
}

fn print_check_as_json(files: usize, list: &Generation, invalid: &[Problems]) {
    let usable = invalid.is_empty();
    let describe = |problem: &Problem| {
        json!({
            "file": problem.file, "at": problem.location, "found": problem.found, "expected": problem.expected,
        })
    };
    let problems: Vec<_> = invalid.iter().flat_map(Problems::iter).map(describe).collect();
    let summary = json!({
        "usable": usable, "files": files, "servers": list.len(), "digest": usable.then(|| list.digest()),
        "count": problem_count(invalid), "problems": problems,
    });
    println!("{summary}");
}

fn print_check_as_text(files: usize, list: &Generation, invalid: &[Problems]) {
    if invalid.is_empty() {
        println!("{} servers in {files} files, digest {}", list.len(), list.digest());
        return;
    }
    invalid.iter().for_each(|problems| println!("{problems}"));
    println!("{} problems: the list cannot be used", problem_count(invalid));
}
