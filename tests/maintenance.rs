//! Maintenance of servers: its settings, admin requests, and five daemons under faults of processes and
//! network.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ashtide::admin::protocol::AdminRequest;
use ashtide::fleet::maintenance::{MaintenanceCommand, MaintenanceError, Settings, schema};
use ashtide_fault_injection::{Link, ProxyMesh};
use ashtide_testkit::daemon::{Daemon, Options, send_admin_command};
use ashtide_testkit::mock_backend::MockBackend;
use serde_json::json;
use tokio::time::{sleep, timeout};

const VALID_SETTINGS: &str = "gateways = [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]\nslot = 1\ntier = 1\n\
                              folder = \"/tmp\"\nmax_out = 2\n";

#[test]
fn schema_deploy_file_and_parser_have_the_same_keys_and_bounds() {
    let schema = schema();
    let stored: serde_json::Value =
        serde_json::from_str(include_str!("../deploy/maintenance.schema.json")).expect("the schema is JSON");
    assert_eq!(stored, schema, "deploy/maintenance.schema.json should be:\n{schema:#}");
    let file = include_str!("../deploy/maintenance.toml");
    Settings::parse(file).expect("deploy/maintenance.toml is valid");
    let table: toml::Table = file.parse().expect("the deploy file is TOML");
    let keys = schema["properties"].as_object().expect("the schema has properties");
    let present: BTreeSet<&String> = table.keys().collect();
    assert_eq!(
        keys.keys().collect::<BTreeSet<_>>(),
        present,
        "deploy/maintenance.toml should contain each key of the schema"
    );
    for (key, property) in keys.iter().filter(|(_, property)| property["type"] == "integer") {
        for out_of_range in
            [property["minimum"].as_i64().unwrap() - 1, property["maximum"].as_i64().unwrap() + 1]
        {
            let mut table: toml::Table = VALID_SETTINGS.parse().expect("the settings are TOML");
            table.insert(key.clone(), out_of_range.into());
            let parsed = Settings::parse(&table.to_string());
            let problem = parsed.err().map(|error| error.to_string()).unwrap_or_default();
            assert!(problem.contains(&format!("{key}: found {out_of_range}; expected")), "{key}: {problem}");
        }
    }
}

#[test]
fn errors_name_the_key_what_was_found_and_what_was_expected() {
    let settings = Settings::parse(VALID_SETTINGS).expect("the settings are valid");
    // `listen` defaults to the gateway's own address in `gateways`.
    assert_eq!(settings.listen, "127.0.0.1:2".parse::<SocketAddr>().expect("a socket address"));
    for (from, to, expected) in [
        ("slot = 1", "slot = 3", "slot: found 3; expected an index in the list of 3 gateways, from 0"),
        ("127.0.0.1:3", "127.0.0.1:1", "gateways: found 127.0.0.1:1 twice; expected"),
        ("max_out = 2", "max_out = 2\nvoters = 5", "voters: found 5; expected at most the 3"),
        ("max_out = 2", "max_out = 2\nmax_gateways = 2", "max_gateways: found 2; expected at most 1"),
        ("tier = 1", "", "tier: found nothing; expected a whole number"),
        ("folder = \"/tmp\"", "", "folder: found nothing; expected the path of a folder"),
        ("tier = 1", "tier = 1\nquorum = 1", "quorum: found an unknown key; expected listen"),
        ("slot = 1", "slot =", "expected TOML"),
    ] {
        let with_help = |error: MaintenanceError| error.with_help();
        let problem =
            Settings::parse(&VALID_SETTINGS.replace(from, to)).err().map(with_help).unwrap_or_default();
        assert!(problem.contains(expected), "{to}: {problem}");
    }
}

#[test]
fn admin_requests_are_parsed_or_rejected() {
    let server = || "s-1".to_owned();
    for (line, command) in [
        ("maintenance list", MaintenanceCommand::List),
        ("maintenance request s-1", MaintenanceCommand::Request(server(), String::new())),
        (
            "maintenance request s-1  a new disk",
            MaintenanceCommand::Request(server(), "a new disk".to_owned()),
        ),
        ("maintenance cancel s-1", MaintenanceCommand::Cancel(server())),
        ("maintenance done s-1", MaintenanceCommand::Done(server())),
    ] {
        assert_eq!(
            AdminRequest::parse(line.as_bytes()).expect("the request is valid"),
            AdminRequest::Maintenance(command),
            "{line}"
        );
    }
    let parse_error = |line: &str| AdminRequest::parse(line.as_bytes()).err().map(|error| error.to_string());
    for line in ["maintenance list s-1", "maintenance request", "maintenance done s-1 now"] {
        assert_eq!(parse_error(line).as_deref(), Some("wrong number of words"), "{line}");
    }
    assert_eq!(parse_error("maintenance take s-1").as_deref(), Some("no such call"));
}

const GATEWAYS: usize = 5;
const SERVERS: usize = 10;

/// A gateway's answer to `maintenance list`.
#[derive(Clone, Debug)]
struct QueueReport {
    requested_at: Instant,
    answered_at: Instant,
    /// Whether the gateway reports its copy of the queue as confirmed by a majority.
    agreed: bool,
    /// Grants of the servers that the gateway cordons for maintenance.
    out: BTreeSet<Grant>,
    /// Maintenance states by server.
    states: BTreeMap<String, String>,
}

/// A server that a gateway cordons for maintenance, and the token of its grant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Grant {
    server: String,
    token: u64,
}

/// The start or end of an interval in which a server is out at a gateway.
struct Edge {
    time: Instant,
    begins: bool,
    server: String,
}

/// Totals of the grants over all gateways.
struct GrantTotals {
    /// The most servers that were out at once.
    most_out: usize,
    /// Number of distinct grant tokens.
    tokens: usize,
}

/// All queue reports by gateway; `None` for a request that the gateway did not answer in time.
#[derive(Default)]
struct QueueReports(Mutex<[Vec<Option<QueueReport>>; GATEWAYS]>);

impl QueueReports {
    fn last(&self, gateway: usize) -> Option<QueueReport> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)[gateway].last().cloned().flatten()
    }

    /// Counts the grant tokens and the most servers out at once over all gateways. A server counts as out at
    /// a gateway from one answer to the next request if both answers contain the same grant, so delayed
    /// answers can only lower the count.
    fn grant_totals(&self) -> GrantTotals {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut edges = Vec::new();
        let mut tokens = BTreeSet::new();
        for reports in all.iter() {
            for pair in reports.windows(2) {
                let [Some(earlier), Some(later)] = pair else { continue };
                for grant in earlier.out.intersection(&later.out) {
                    tokens.insert(grant.token);
                    if earlier.answered_at < later.requested_at {
                        edges.extend([
                            Edge { time: earlier.answered_at, begins: true, server: grant.server.clone() },
                            Edge { time: later.requested_at, begins: false, server: grant.server.clone() },
                        ]);
                    }
                }
            }
        }
        // Of edges with the same time, ends sort before beginnings.
        edges.sort_by_key(|edge| (edge.time, edge.begins));
        let mut out = BTreeMap::<String, usize>::new();
        let mut most_out = 0;
        for Edge { begins, server, .. } in edges {
            let count = out.entry(server).or_default();
            *count = if begins { *count + 1 } else { *count - 1 };
            most_out = most_out.max(out.values().filter(|&&count| count > 0).count());
        }
        GrantTotals { most_out, tokens: tokens.len() }
    }

    /// Returns a description of a server whose maintenance returned to an earlier state at some gateway;
    /// `None` if there is none.
    fn find_state_regression(&self) -> Option<String> {
        let order = ["queued", "draining", "out", "released"];
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for reports in all.iter() {
            let mut last: BTreeMap<&str, usize> = BTreeMap::new();
            for report in reports.iter().flatten().filter(|report| report.agreed) {
                for (name, state) in &report.states {
                    let position = order.iter().position(|known| known == state)?;
                    let previous = last.insert(name, position).unwrap_or(position);
                    if previous > position {
                        return Some(format!("{name} changed from {} to {state}", order[previous]));
                    }
                }
                // A server that is no longer listed has been released.
                for (name, position) in &mut last {
                    if !report.states.contains_key(*name) {
                        *position = 3;
                    }
                }
            }
        }
        None
    }
}

fn parse_report(text: &str, requested_at: Instant) -> Option<QueueReport> {
    let mut lines = text.strip_suffix("EOF\n")?.lines();
    let agreed = lines.next()?.contains(" agreed,");
    let token = |line: &str| line.split("token=").nth(1)?.split(' ').next()?.parse().ok();
    let mut report = QueueReport {
        requested_at,
        answered_at: Instant::now(),
        agreed,
        out: BTreeSet::new(),
        states: BTreeMap::new(),
    };
    for line in lines {
        let mut fields = line.split(' ');
        let first = fields.next()?;
        let second = fields.next()?;
        if first == "kept-out" {
            report.out.insert(Grant { server: second.to_owned(), token: token(line)? });
        } else {
            report.states.insert(first.to_owned(), second.to_owned());
        }
    }
    Some(report)
}

/// Five daemons with maintenance, and a task for each that polls its queue.
struct Cluster {
    backend: MockBackend,
    /// Proxies between the gateways, which inject network faults.
    mesh: ProxyMesh,
    /// Addresses on which the gateways listen, behind the proxies.
    listen: Vec<SocketAddr>,
    folder: PathBuf,
    max_out: usize,
    daemons: Vec<Daemon>,
    admin_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    reports: Arc<QueueReports>,
    pollers: tokio::task::JoinSet<()>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    async fn start(folder_suffix: &str, max_out: usize) -> Self {
        let backend = MockBackend::start(SERVERS).await.expect("the mock servers start");
        let reserved: Vec<_> =
            (0..GATEWAYS).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port is free")).collect();
        let local_address = |socket: &UdpSocket| socket.local_addr().expect("a bound socket has an address");
        let listen: Vec<SocketAddr> = reserved.iter().map(local_address).collect();
        drop(reserved);
        let mesh =
            ProxyMesh::open(IpAddr::V4(Ipv4Addr::LOCALHOST), &listen, 1).await.expect("the proxies start");
        let folder =
            std::env::temp_dir().join(format!("ashtide-maintenance-{}-{folder_suffix}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder is created");
        let mut cluster = Self {
            backend,
            mesh,
            listen,
            folder,
            max_out,
            daemons: Vec::new(),
            admin_addresses: Arc::default(),
            reports: Arc::default(),
            pollers: tokio::task::JoinSet::new(),
        };
        for number in 0..GATEWAYS {
            let daemon = cluster.start_daemon(number).await;
            cluster
                .admin_addresses
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(daemon.admin_address.expect("the daemon has an admin endpoint"));
            cluster.daemons.push(daemon);
        }
        cluster.spawn_pollers();
        cluster
            .wait_until("agreement of all gateways", 30, |cluster| {
                (0..GATEWAYS).all(|number| cluster.reports.last(number).is_some_and(|report| report.agreed))
            })
            .await;
        cluster
    }

    /// Polls the maintenance queue of each gateway every 40 ms.
    fn spawn_pollers(&mut self) {
        for number in 0..GATEWAYS {
            let admin_addresses = self.admin_addresses.clone();
            let reports = self.reports.clone();
            self.pollers.spawn(async move {
                loop {
                    let admin_address =
                        admin_addresses.lock().unwrap_or_else(PoisonError::into_inner)[number];
                    let requested_at = Instant::now();
                    let report = timeout(
                        Duration::from_millis(400),
                        send_admin_command(admin_address, "maintenance list"),
                    )
                    .await;
                    let report =
                        report.ok().and_then(Result::ok).and_then(|text| parse_report(&text, requested_at));
                    reports.0.lock().unwrap_or_else(PoisonError::into_inner)[number].push(report);
                    sleep(Duration::from_millis(40)).await;
                }
            });
        }
    }

    async fn start_daemon(&self, number: usize) -> Daemon {
        let file = self.folder.join(format!("{number}.toml"));
        let text = format!(
            "gateways = {}\nslot = {number}\nlisten = \"{}\"\ntier = 9\nfolder = \"{}\"\nvoters = {GATEWAYS}\n\
             max_out = {}\nfloor = 7\nlease_s = 2\ndrain_s = 2\nwork_s = 1\n",
            json!(self.mesh.public()),
            self.listen[number],
            self.folder.display(),
            self.max_out,
        );
        std::fs::write(&file, text).expect("the settings file is written");
        let options = Options {
            config: json!({"name": format!("g{number}"), "operator": "127.0.0.1:0"}),
            arguments: vec!["--maintenance".into(), file.into()],
            ..Options::default()
        };
        let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
        Daemon::start(program, &self.backend, &options).await.expect("the daemon starts")
    }

    /// Starts a new process of a gateway with its stored state.
    async fn restart(&mut self, number: usize) {
        let daemon = self.start_daemon(number).await;
        self.admin_addresses.lock().unwrap_or_else(PoisonError::into_inner)[number] =
            daemon.admin_address.expect("the daemon has an admin endpoint");
        self.daemons[number] = daemon;
    }

    async fn wait_until(&self, awaited: &str, timeout_s: u64, condition: impl Fn(&Self) -> bool) {
        let end = Instant::now() + Duration::from_secs(timeout_s);
        while !condition(self) {
            let last: Vec<_> = (0..GATEWAYS).map(|number| self.reports.last(number)).collect();
            assert!(Instant::now() < end, "waited {timeout_s} s for {awaited}; last reports: {last:#?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn request_six_servers(&self) {
        for server in 0..6 {
            let request = format!("maintenance request s-{server} a new disk");
            let end = Instant::now() + Duration::from_secs(10);
            loop {
                let answer = self.daemons[server % GATEWAYS]
                    .send_command(&request)
                    .await
                    .expect("the request is answered");
                // Accepted, or already queued by an earlier request with a delayed answer.
                if answer.starts_with("200") || answer.contains("waits or is out already") {
                    break;
                }
                assert!(Instant::now() < end, "request for s-{server} not accepted within 10 s: {answer}");
            }
        }
    }

    /// Returns the gateway that executes the current grant, as this gateway reports it.
    async fn grant_holder(&self, gateway: usize) -> Option<usize> {
        let text = self.daemons[gateway].send_command("maintenance list").await.ok()?;
        text.split("holder=").nth(1)?.split(' ').next()?.parse().ok()
    }

    /// Waits until the queue is empty at all gateways, then checks the grants.
    async fn expect_completion(&self) {
        self.wait_until("an empty queue", 60, |cluster| {
            (0..GATEWAYS).all(|number| {
                let last = cluster.reports.last(number);
                last.is_some_and(|report| report.agreed && report.states.is_empty())
            })
        })
        .await;
        let GrantTotals { most_out, tokens } = self.reports.grant_totals();
        println!("at most {most_out} servers out at once, {tokens} grants observed");
        assert_eq!(most_out, self.max_out, "the most servers out at once should equal max_out");
        assert_eq!(self.reports.find_state_regression(), None);
        assert!(tokens >= 6, "{tokens} grants observed, expected one for each of the six requests");
    }
}

#[tokio::test]
async fn grants_respect_the_limit_when_the_holder_is_killed_and_a_stalled_gateway_resumes() {
    let mut cluster = Cluster::start("killed", 2).await;
    cluster.request_six_servers().await;
    let has_grant = |number: usize| {
        move |cluster: &Cluster| cluster.reports.last(number).is_some_and(|report| !report.out.is_empty())
    };
    cluster.wait_until("the first grant", 10, has_grant(0)).await;
    let holder = cluster.grant_holder(0).await.expect("the grant has a holder");
    cluster.daemons[holder].kill().await.expect("the daemon is killed");
    // Another gateway is stalled while it reports a grant, and resumes with that grant out of date.
    let stalled = (holder + 1) % GATEWAYS;
    cluster.wait_until("a grant at the gateway that will be stalled", 20, has_grant(stalled)).await;
    cluster.daemons[stalled].set_suspended(true).expect("the daemon is stopped");
    sleep(Duration::from_secs(6)).await;
    cluster.daemons[stalled].set_suspended(false).expect("the daemon is resumed");
    cluster.restart(holder).await;
    cluster.expect_completion().await;
}

#[tokio::test]
async fn grants_respect_the_limit_under_a_partition_and_restarts_of_all_gateways() {
    let mut cluster = Cluster::start("halves", 3).await;
    cluster.request_six_servers().await;
    for (majority, minority) in [([0, 1, 2].as_slice(), [3, 4].as_slice())] {
        cluster.mesh.set(majority, minority, Link::CUT);
        cluster.mesh.set(minority, majority, Link::CUT);
        sleep(Duration::from_secs(4)).await;
        // The minority cordons no server and rejects requests.
        let last = cluster.reports.last(4).expect("gateway 4 answers");
        assert!(!last.agreed && last.out.is_empty(), "{last:?}");
        let answer = cluster.daemons[4]
            .send_command("maintenance request s-9")
            .await
            .expect("the request is answered");
        assert!(answer.starts_with("400"), "{answer}");
        cluster.mesh.set(majority, minority, Link::PERFECT);
        cluster.mesh.set(minority, majority, Link::PERFECT);
    }
    for number in 0..GATEWAYS {
        cluster.daemons[number].kill().await.expect("the daemon is killed");
        cluster.restart(number).await;
        cluster
            .wait_until("agreement of the restarted gateway", 20, |cluster| {
                cluster.reports.last(number).is_some_and(|report| report.agreed)
            })
            .await;
    }
    cluster.expect_completion().await;
}

#[tokio::test]
async fn maintenance_requests_are_rejected_without_the_option() {
    let backend = MockBackend::start(1).await.expect("the mock servers start");
    let options = Options { config: json!({"operator": "127.0.0.1:0"}), ..Options::default() };
    let daemon = Daemon::start(Path::new(env!("CARGO_BIN_EXE_ashtide")), &backend, &options)
        .await
        .expect("the daemon starts");
    let answer = daemon.send_command("maintenance list").await.expect("the request is answered");
    assert!(answer.starts_with("400 no maintenance"), "{answer}");
    assert!(!daemon.send_command("counters").await.expect("the request is answered").contains("maintenance"));
    let admin_address = daemon.admin_address.expect("the daemon has an admin endpoint").to_string();
    let program = env!("CARGO_BIN_EXE_ashtide");
    let arguments = ["maintenance", "--door", &admin_address, "request", "s-0", "--reason", "a new disk"];
    let output =
        tokio::process::Command::new(program).args(arguments).output().await.expect("the program runs");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).starts_with("400 no maintenance"));
}
