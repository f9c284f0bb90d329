//! Maintenance of servers: settings, admin requests, and five daemons with faults between them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ashtide::admin::protocol::AdminRequest;
use ashtide::fleet::maintenance::{MaintenanceCommand, MaintenanceError, Settings, schema};
use ashtide_fault_injection::{Link, ProxyMesh};
use ashtide_testkit::daemon::{Daemon, Options, ask};
use ashtide_testkit::fleet::Fleet;
use serde_json::json;
use tokio::time::{sleep, timeout};

const VALID_SETTINGS: &str = "gateways = [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]\nslot = 1\ntier = 1\nfolder = \
                    \"/tmp\"\nmax_out = 2\n";

#[test]
fn schema_deploy_file_and_parser_have_the_same_keys_and_bounds() {
    let schema = schema();
    let stored: serde_json::Value =
        serde_json::from_str(include_str!("../deploy/maintenance.schema.json")).expect("the schema is JSON");
    assert_eq!(stored, schema, "deploy/maintenance.schema.json should be:\n{schema:#}");
    let file = include_str!("../deploy/maintenance.toml");
    Settings::parse(file).expect("deploy/maintenance.toml is good");
    let table: toml::Table = file.parse().expect("TOML");
    let keys = schema["properties"].as_object().expect("properties");
    let present: BTreeSet<&String> = table.keys().collect();
    assert_eq!(keys.keys().collect::<BTreeSet<_>>(), present, "each key stands in the deploy file");
    for (key, property) in keys.iter().filter(|(_, property)| property["type"] == "integer") {
        for out_of_range in
            [property["minimum"].as_i64().unwrap() - 1, property["maximum"].as_i64().unwrap() + 1]
        {
            let mut table: toml::Table = VALID_SETTINGS.parse().expect("TOML");
            table.insert(key.clone(), out_of_range.into());
            let parsed = Settings::parse(&table.to_string());
            let problem = parsed.err().map(|error| error.to_string()).unwrap_or_default();
            assert!(problem.contains(&format!("{key}: found {out_of_range}; expected")), "{key}: {problem}");
        }
    }
}

#[test]
fn errors_name_the_key_what_was_found_and_what_was_expected() {
    let settings = Settings::parse(VALID_SETTINGS).expect("good");
    assert_eq!(settings.listen, "127.0.0.1:2".parse::<SocketAddr>().expect("its own in the list"));
    for (from, to, expected) in [
        ("slot = 1", "slot = 3", "slot: found 3; expected one of 3 gateways"),
        ("127.0.0.1:3", "127.0.0.1:1", "gateways: found 127.0.0.1:1 twice; expected"),
        ("max_out = 2", "max_out = 2\nvoters = 5", "voters: found 5; expected at most the 3"),
        ("max_out = 2", "max_out = 2\nmax_gateways = 2", "max_gateways: found 2; expected at most 1"),
        ("tier = 1", "", "tier: found nothing; expected a whole number"),
        ("folder = \"/tmp\"", "", "folder: found nothing; expected a folder"),
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
            AdminRequest::parse(line.as_bytes()).expect("a call"),
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
struct Snapshot {
    requested_at: Instant,
    answered_at: Instant,
    agreed: bool,
    out: BTreeSet<Grant>,
    /// State of the maintenance by server.
    states: BTreeMap<String, String>,
}

/// A server that a gateway keeps out, and the token of its grant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Grant {
    server: String,
    token: u64,
}

/// The beginning or end of a time in which a server is out at a gateway.
struct Edge {
    time: Instant,
    begins: bool,
    server: String,
}

/// What all gateways together have granted.
struct GrantTotals {
    most_out: usize,
    tokens: usize,
}

/// All snapshots by gateway; `None` where a gateway didn't answer.
#[derive(Default)]
struct SnapshotLog(Mutex<[Vec<Option<Snapshot>>; GATEWAYS]>);

impl SnapshotLog {
    fn last(&self, gateway: usize) -> Option<Snapshot> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)[gateway].last().cloned().flatten()
    }

    /// Counts the tokens and the most servers out at once over all gateways. A server is out at a gateway between two
    /// answers with the same grant, so late answers can only lower the count.
    fn grant_totals(&self) -> GrantTotals {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut edges = Vec::new();
        let mut tokens = BTreeSet::new();
        for snapshots in all.iter() {
            for pair in snapshots.windows(2) {
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
        // At the same time, ends come before beginnings.
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

    /// A server whose maintenance went back to an earlier state at some gateway, if any.
    fn find_state_regression(&self) -> Option<String> {
        let order = ["queued", "draining", "out", "released"];
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for snapshots in all.iter() {
            let mut last: BTreeMap<&str, usize> = BTreeMap::new();
            for snapshot in snapshots.iter().flatten().filter(|snapshot| snapshot.agreed) {
                for (name, state) in &snapshot.states {
                    let now = order.iter().position(|known| known == state)?;
                    let before = last.insert(name, now).unwrap_or(now);
                    if before > now {
                        return Some(format!("{name} was {} and is {state}", order[before]));
                    }
                }
                // A server that is no longer listed was released.
                for (name, position) in &mut last {
                    if !snapshot.states.contains_key(*name) {
                        *position = 3;
                    }
                }
            }
        }
        None
    }
}

fn parse_snapshot(text: &str, requested_at: Instant) -> Option<Snapshot> {
    let mut lines = text.strip_suffix("EOF\n")?.lines();
    let agreed = lines.next()?.contains(" agreed,");
    let token = |line: &str| line.split("token=").nth(1)?.split(' ').next()?.parse().ok();
    let mut snapshot = Snapshot {
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
            snapshot.out.insert(Grant { server: second.to_owned(), token: token(line)? });
        } else {
            snapshot.states.insert(first.to_owned(), second.to_owned());
        }
    }
    Some(snapshot)
}

struct Cluster {
    fleet: Fleet,
    mesh: ProxyMesh,
    own: Vec<SocketAddr>,
    folder: PathBuf,
    max_out: usize,
    daemons: Vec<Daemon>,
    admin_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    snapshots: Arc<SnapshotLog>,
    pollers: tokio::task::JoinSet<()>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    async fn start(folder_suffix: &str, max_out: usize) -> Self {
        let fleet = Fleet::start(SERVERS).await.expect("stand-ins");
        let reserved: Vec<_> =
            (0..GATEWAYS).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
        let own: Vec<SocketAddr> =
            reserved.iter().map(|socket| socket.local_addr().expect("its address")).collect();
        drop(reserved);
        let mesh = ProxyMesh::open(IpAddr::V4(Ipv4Addr::LOCALHOST), &own, 1).await.expect("relays");
        let folder =
            std::env::temp_dir().join(format!("ashtide-work-{}-{folder_suffix}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut cluster = Self {
            fleet,
            mesh,
            own,
            folder,
            max_out,
            daemons: Vec::new(),
            admin_addresses: Arc::default(),
            snapshots: Arc::default(),
            pollers: tokio::task::JoinSet::new(),
        };
        for number in 0..GATEWAYS {
            let daemon = cluster.start_daemon(number).await;
            cluster
                .admin_addresses
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(daemon.door.expect("a door"));
            cluster.daemons.push(daemon);
        }
        cluster.spawn_pollers();
        cluster
            .wait_until("a tier that agrees", 30, |cluster| {
                (0..GATEWAYS)
                    .all(|number| cluster.snapshots.last(number).is_some_and(|snapshot| snapshot.agreed))
            })
            .await;
        cluster
    }

    /// Polls the maintenance list of each gateway.
    fn spawn_pollers(&mut self) {
        for number in 0..GATEWAYS {
            let admin_addresses = self.admin_addresses.clone();
            let snapshots = self.snapshots.clone();
            self.pollers.spawn(async move {
                loop {
                    let admin_address =
                        admin_addresses.lock().unwrap_or_else(PoisonError::into_inner)[number];
                    let requested_at = Instant::now();
                    let snapshot =
                        timeout(Duration::from_millis(400), ask(admin_address, "maintenance list")).await;
                    let snapshot = snapshot
                        .ok()
                        .and_then(Result::ok)
                        .and_then(|text| parse_snapshot(&text, requested_at));
                    snapshots.0.lock().unwrap_or_else(PoisonError::into_inner)[number].push(snapshot);
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
            self.own[number],
            self.folder.display(),
            self.max_out,
        );
        std::fs::write(&file, text).expect("written");
        let options = Options {
            config: json!({"name": format!("g{number}"), "operator": "127.0.0.1:0"}),
            arguments: vec!["--maintenance".into(), file.into()],
            ..Options::default()
        };
        let program = Path::new(env!("CARGO_BIN_EXE_ashtide"));
        Daemon::start(program, &self.fleet, &options).await.expect("a daemon")
    }

    /// Restarts a gateway with its stored state.
    async fn restart(&mut self, number: usize) {
        let daemon = self.start_daemon(number).await;
        self.admin_addresses.lock().unwrap_or_else(PoisonError::into_inner)[number] =
            daemon.door.expect("a door");
        self.daemons[number] = daemon;
    }

    async fn wait_until(&self, what: &str, seconds: u64, condition: impl Fn(&Self) -> bool) {
        let end = Instant::now() + Duration::from_secs(seconds);
        while !condition(self) {
            let last: Vec<_> = (0..GATEWAYS).map(|number| self.snapshots.last(number)).collect();
            assert!(Instant::now() < end, "waited {seconds} s for {what}: {last:#?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn request_six_servers(&self) {
        for server in 0..6 {
            let call = format!("maintenance request s-{server} a new disk");
            let end = Instant::now() + Duration::from_secs(10);
            loop {
                let answer = self.daemons[server % GATEWAYS].call(&call).await.expect("an answer");
                // Accepted, or already known when the first answer was late.
                if answer.starts_with("200") || answer.contains("waits or is out already") {
                    break;
                }
                assert!(Instant::now() < end, "{answer}");
            }
        }
    }

    /// The gateway that executes the current grant, as this gateway reports it.
    async fn grant_holder(&self, gateway: usize) -> Option<usize> {
        let text = self.daemons[gateway].call("maintenance list").await.ok()?;
        text.split("holder=").nth(1)?.split(' ').next()?.parse().ok()
    }

    /// Waits until the queue is empty at all gateways and checks the grants.
    async fn expect_completion(&self) {
        self.wait_until("an empty queue", 60, |cluster| {
            (0..GATEWAYS).all(|number| {
                let last = cluster.snapshots.last(number);
                last.is_some_and(|snapshot| snapshot.agreed && snapshot.states.is_empty())
            })
        })
        .await;
        let GrantTotals { most_out, tokens } = self.snapshots.grant_totals();
        println!("{most_out} out at most, {tokens} tokens seen");
        assert_eq!(most_out, self.max_out, "so many were out at once");
        assert_eq!(self.snapshots.find_state_regression(), None);
        assert!(tokens >= 6, "{tokens} grants were seen, six machines were asked for");
    }
}

#[tokio::test]
async fn the_granting_gateway_is_killed_while_draining_and_a_stalled_one_resumes_with_an_old_grant() {
    let mut cluster = Cluster::start("killed", 2).await;
    cluster.request_six_servers().await;
    let has_grant = |number: usize| {
        move |cluster: &Cluster| {
            cluster.snapshots.last(number).is_some_and(|snapshot| !snapshot.out.is_empty())
        }
    };
    cluster.wait_until("a first grant", 10, has_grant(0)).await;
    let holder = cluster.grant_holder(0).await.expect("it has a holder");
    cluster.daemons[holder].kill().await.expect("killed");
    let stalled = (holder + 1) % GATEWAYS;
    cluster.wait_until("a grant that is known to the one that falls asleep", 20, has_grant(stalled)).await;
    cluster.daemons[stalled].stall(true).expect("stopped");
    sleep(Duration::from_secs(6)).await;
    cluster.daemons[stalled].stall(false).expect("on again");
    cluster.restart(holder).await;
    cluster.expect_completion().await;
}

#[tokio::test]
async fn partitions_never_exceed_the_limit_and_all_gateways_restart_while_servers_are_queued() {
    let mut cluster = Cluster::start("halves", 3).await;
    cluster.request_six_servers().await;
    for (majority, minority) in [([0, 1, 2].as_slice(), [3, 4].as_slice())] {
        cluster.mesh.set(majority, minority, Link::CUT);
        cluster.mesh.set(minority, majority, Link::CUT);
        sleep(Duration::from_secs(4)).await;
        // The minority keeps no server out and accepts no request.
        let last = cluster.snapshots.last(4).expect("it answers");
        assert!(!last.agreed && last.out.is_empty(), "{last:?}");
        let answer = cluster.daemons[4].call("maintenance request s-9").await.expect("an answer");
        assert!(answer.starts_with("400"), "{answer}");
        cluster.mesh.set(majority, minority, Link::PERFECT);
        cluster.mesh.set(minority, majority, Link::PERFECT);
    }
    for number in 0..GATEWAYS {
        cluster.daemons[number].kill().await.expect("killed");
        cluster.restart(number).await;
        cluster
            .wait_until("a restarted gateway that agrees", 20, |cluster| {
                cluster.snapshots.last(number).is_some_and(|snapshot| snapshot.agreed)
            })
            .await;
    }
    cluster.expect_completion().await;
}

#[tokio::test]
async fn maintenance_requests_are_rejected_without_the_option() {
    let fleet = Fleet::start(1).await.expect("stand-ins");
    let options = Options { config: json!({"operator": "127.0.0.1:0"}), ..Options::default() };
    let daemon =
        Daemon::start(Path::new(env!("CARGO_BIN_EXE_ashtide")), &fleet, &options).await.expect("one");
    let answer = daemon.call("maintenance list").await.expect("an answer");
    assert!(answer.starts_with("400 no maintenance"), "{answer}");
    assert!(!daemon.call("counters").await.expect("an answer").contains("maintenance"));
    let admin_address = daemon.door.expect("a door").to_string();
    let program = env!("CARGO_BIN_EXE_ashtide");
    let call = ["maintenance", "--door", &admin_address, "request", "s-0", "--reason", "a new disk"];
    let output = tokio::process::Command::new(program).args(call).output().await.expect("it runs");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).starts_with("400 no maintenance"));
}
