//! The command line: `serve`, which is what the platform runs without arguments, and what checks lists.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use ashtide_endpoints::{Fragment, Generation, Limits, MAX_FILE, Problems, schema};
use clap::{Parser, Subcommand};
use ipnet::IpNet;
use serde_json::json;

/// How long a door may take to answer.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest answer that is read.
const MAX_RESPONSE_BYTES: u64 = 65536;

/// A balancer for long-lived connections.
///
/// Without a subcommand it serves, configured by the JSON file that ROUTER_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "ashtide", version, args_conflicts_with_subcommands = true)]
pub struct Arguments {
    /// The deploy file of the QUIC front and VRRP
    #[arg(long, value_name = "FILE")]
    fronts: Option<PathBuf>,
    /// The file of the fleet view, which is off without it
    #[arg(long, value_name = "FILE")]
    view: Option<PathBuf>,
    /// The file of taking machines out for work, which is off without it
    #[arg(long, value_name = "FILE")]
    maintenance: Option<PathBuf>,
    /// The file of partners' quotas, which are off without it; needs --view
    #[arg(long, value_name = "FILE")]
    quota: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve, as without a subcommand
    Serve {
        /// The deploy file of the QUIC front and VRRP
        #[arg(long, value_name = "FILE")]
        fronts: Option<PathBuf>,
        /// The file of the fleet view, which is off without it
        #[arg(long, value_name = "FILE")]
        view: Option<PathBuf>,
        /// The file of taking machines out for work, which is off without it
        #[arg(long, value_name = "FILE")]
        maintenance: Option<PathBuf>,
        /// The file of partners' quotas, which are off without it; needs --view
        #[arg(long, value_name = "FILE")]
        quota: Option<PathBuf>,
    },
    /// Check server lists, each by itself and then all together as one list
    ///
    /// Exit code 0: they can be used; 1: they cannot, and all that is wrong is printed; 2: a file cannot be
    /// read.
    Check {
        /// Files in TOML or JSON
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Networks outside of which no server may be
        #[arg(long, value_name = "NETWORK")]
        allow: Vec<IpNet>,
        /// Print one JSON object instead of text
        #[arg(long)]
        json: bool,
    },
    /// Print the JSON Schema of server lists
    Schema,
    /// Take machines out for work, in the order that the gateways settle
    ///
    /// Exit code 0: settled; 1: not, and why is printed; 2: no gateway answers at that address.
    Maintenance {
        /// The operators' door of any gateway; ROUTER_OPERATOR where it is left out
        #[arg(long, value_name = "ADDRESS")]
        door: Option<SocketAddr>,
        #[command(subcommand)]
        order: MaintenanceCommand,
    },
}

#[derive(Debug, Subcommand)]
enum MaintenanceCommand {
    /// Ask for a machine: a server's name, or a gateway's address as in the file
    Request {
        /// Which
        name: String,
        /// Why, in at most 48 bytes
        #[arg(long, default_value = "")]
        reason: String,
    },
    /// Show the queue, and who has which grant
    List,
    /// The work on a machine is done
    Done {
        /// Which
        name: String,
    },
    /// A machine is no longer to be taken out
    Cancel {
        /// Which
        name: String,
    },
}

/// The files that serving may be given beside its configuration.
pub struct ConfigFiles {
    /// The deploy file of the fronts.
    pub fronts: Option<PathBuf>,
    /// The file of the fleet view.
    pub view: Option<PathBuf>,
    /// The file of taking machines out.
    pub maintenance: Option<PathBuf>,
    /// The file of partners' quotas.
    pub quota: Option<PathBuf>,
}

/// What the program is to do.
pub enum Action {
    /// Serve, with these files.
    Serve(ConfigFiles),
    /// It is done.
    Exit(ExitCode),
}

impl Arguments {
    /// Does what was asked for, unless that is to serve.
    pub fn execute(self) -> Action {
        match self.command {
            None => {
                let Self { fronts, view, maintenance, quota, .. } = self;
                Action::Serve(ConfigFiles { fronts, view, maintenance, quota })
            }
            Some(Command::Serve { fronts, view, maintenance, quota }) => {
                Action::Serve(ConfigFiles { fronts, view, maintenance, quota })
            }
            Some(Command::Maintenance { door, order }) => Action::Exit(call_admin_endpoint(door, order)),
            Some(Command::Check { files, allow, json }) => {
                Action::Exit(check_server_lists(&files, &Limits { allow, ..Limits::default() }, json))
            }
            Some(Command::Schema) => {
                println!("{:#}", schema());
                Action::Exit(ExitCode::SUCCESS)
            }
        }
    }
}

/// Makes a call at a door, and prints the answer.
fn call_admin_endpoint(door: Option<SocketAddr>, command: MaintenanceCommand) -> ExitCode {
    use std::io::{Read, Write};
    let from_environment = || std::env::var("ROUTER_OPERATOR").ok().and_then(|it| it.parse().ok());
    let Some(door) = door.or_else(from_environment) else {
        eprintln!("ashtide: --door: found nothing; expected the address of a gateway's operators' door");
        return ExitCode::from(2);
    };
    let request = match command {
        MaintenanceCommand::Request { name, reason } => format!("request {name} {reason}"),
        MaintenanceCommand::List => "list".to_owned(),
        MaintenanceCommand::Done { name } => format!("done {name}"),
        MaintenanceCommand::Cancel { name } => format!("cancel {name}"),
    };
    let exchange = || {
        let mut stream = std::net::TcpStream::connect_timeout(&door, ADMIN_TIMEOUT)?;
        stream.set_read_timeout(Some(ADMIN_TIMEOUT))?;
        stream.write_all(format!("maintenance {}\n", request.trim_end()).as_bytes())?;
        let mut answer = String::new();
        stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut answer).map(|_| answer)
    };
    match exchange() {
        Ok(answer) => {
            print!("{answer}");
            if answer.starts_with("400") { ExitCode::FAILURE } else { ExitCode::SUCCESS }
        }
        Err(error) => {
            eprintln!("ashtide: {door}: {error}");
            ExitCode::from(2)
        }
    }
}

/// A file's bytes; one that is too large is read no further than to see that.
fn read_bounded(file: &Path) -> std::io::Result<Vec<u8>> {
    use std::io::Read;
    let mut bytes = Vec::new();
    std::fs::File::open(file)?.take(MAX_FILE as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn check_server_lists(files: &[PathBuf], limits: &Limits, as_json: bool) -> ExitCode {
    let (mut fragments, mut invalid) = (Vec::new(), Vec::new());
    for file in files {
        let name = file.display().to_string();
        match read_bounded(file) {
            Ok(bytes) => match Fragment::read(&name, &bytes, limits) {
                Ok(fragment) => fragments.push(fragment),
                Err(problems) => invalid.push(problems),
            },
            Err(error) => {
                eprintln!("ashtide: {name}: {error}");
                return ExitCode::from(2);
            }
        }
    }
    let mut list = Generation::default();
    if invalid.is_empty() {
        match list.next(&fragments, limits) {
            Ok(next) => list = next,
            Err(problems) => invalid.push(problems),
        }
    }
    let count: usize = invalid.iter().map(Problems::count).sum();
    if as_json {
        let each = |problem: &ashtide_endpoints::Problem| json!({"file": problem.file, "at": problem.at, "found": problem.found, "expected": problem.expected});
        let problems: Vec<_> = invalid.iter().flat_map(Problems::iter).map(each).collect();
        let digest = invalid.is_empty().then(|| list.digest());
        let summary = json!({"usable": invalid.is_empty(), "files": files.len(), "servers": list.len(),
                          "digest": digest, "count": count, "problems": problems});
        println!("{summary}");
    } else if invalid.is_empty() {
        println!("{} servers in {} files, digest {}", list.len(), files.len(), list.digest());
    } else {
        invalid.iter().for_each(|problems| println!("{problems}"));
        println!("{count} problems: the list cannot be used");
    }
    if invalid.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
