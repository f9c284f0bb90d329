//! Machines taken out for work by real daemons: their settings, and five processes with faults between them.

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

const GOOD: &str = "gateways = [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]\nslot = 1\ntier = 1\nfolder = \
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
    for (key, about) in keys.iter().filter(|it| it.1["type"] == "integer") {
        for beyond in [about["minimum"].as_i64().unwrap() - 1, about["maximum"].as_i64().unwrap() + 1] {
            let mut table: toml::Table = GOOD.parse().expect("TOML");
            table.insert(key.clone(), beyond.into());
            let expected =
                Settings::parse(&table.to_string()).err().map(|it| it.to_string()).unwrap_or_default();
            assert!(expected.contains(&format!("{key}: found {beyond}; expected")), "{key}: {expected}");
        }
    }
}

#[test]
fn errors_name_the_key_what_was_found_and_what_was_expected() {
    let settings = Settings::parse(GOOD).expect("good");
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
        let with_help = |it: MaintenanceError| it.with_help();
        let problem = Settings::parse(&GOOD.replace(from, to)).err().map(with_help).unwrap_or_default();
        assert!(problem.contains(expected), "{to}: {problem}");
    }
}

#[test]
fn admin_requests_are_parsed_or_rejected() {
    let s = || "s-1".to_owned();
    for (line, order) in [
        ("maintenance list", MaintenanceCommand::List),
        ("maintenance request s-1", MaintenanceCommand::Request(s(), String::new())),
        ("maintenance request s-1  a new disk", MaintenanceCommand::Request(s(), "a new disk".to_owned())),
        ("maintenance cancel s-1", MaintenanceCommand::Cancel(s())),
        ("maintenance done s-1", MaintenanceCommand::Done(s())),
    ] {
        assert_eq!(
            AdminRequest::parse(line.as_bytes()).expect("a call"),
            AdminRequest::Maintenance(order),
            "{line}"
        );
    }
    let expected = |line: &str| AdminRequest::parse(line.as_bytes()).err().map(|it| it.to_string());
    for line in ["maintenance list s-1", "maintenance request", "maintenance done s-1 now"] {
        assert_eq!(expected(line).as_deref(), Some("wrong number of words"), "{line}");
    }
    assert_eq!(expected("maintenance take s-1").as_deref(), Some("no such call"));
}

const GATEWAYS: usize = 5;
const SERVERS: usize = 10;

/// What a gateway's door said: when it was asked and had answered, what it keeps out by name and token, and how far
/// each machine is; nothing where it did not answer.
#[derive(Clone, Debug)]
struct Snapshot {
    requested_at: Instant,
    answered_at: Instant,
    agreed: bool,
    out: BTreeSet<(String, u64)>,
    states: BTreeMap<String, String>,
}

#[derive(Default)]
struct Seen(Mutex<[Vec<Option<Snapshot>>; GATEWAYS]>);

impl Seen {
    fn last(&self, gateway: usize) -> Option<Snapshot> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)[gateway].last().cloned().flatten()
    }

    /// The servers out at one moment at all gateways together, at most. A server counts as out at a gateway between two
    /// answers that both say so, under one token: late answers make it fewer, never more.
    fn most_out(&self) -> (usize, usize) {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut edges = Vec::new();
        let mut tokens = BTreeSet::new();
        for snapshot in all.iter() {
            for two in snapshot.windows(2) {
                let [Some(one), Some(other)] = two else { continue };
                for (name, token) in one.out.intersection(&other.out) {
                    tokens.insert(*token);
                    if one.answered_at < other.requested_at {
                        edges.extend([
                            (one.answered_at, true, name.clone()),
                            (other.requested_at, false, name.clone()),
                        ]);
                    }
                }
            }
        }
        // Ends first: what begins at that very moment came after.
        edges.sort_by_key(|edge| (edge.0, edge.1));
        let (mut out, mut most) = (BTreeMap::<String, usize>::new(), 0);
        for (_, begins, name) in edges {
            let count = out.entry(name).or_default();
            *count = if begins { *count + 1 } else { *count - 1 };
            most = most.max(out.values().filter(|&&count| count > 0).count());
        }
        (most, tokens.len())
    }

    /// No machine is given out again once it was back, as any gateway has seen it.
    fn went_back(&self) -> Option<String> {
        let course = ["queued", "draining", "out", "released"];
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for snapshot in all.iter() {
            let mut last: BTreeMap<&str, usize> = BTreeMap::new();
            for snapshot in snapshot.iter().flatten().filter(|it| it.agreed) {
                for (name, state) in &snapshot.states {
                    let now = course.iter().position(|it| it == state)?;
                    let before = last.insert(name, now).unwrap_or(now);
                    if before > now {
                        return Some(format!("{name} was {} and is {state}", course[before]));
                    }
                }
                // What is gone from the table was released.
                for (name, course) in &mut last {
                    if !snapshot.states.contains_key(*name) {
                        *course = 3;
                    }
                }
            }
        }
        None
    }
}

fn read(text: &str, requested_at: Instant) -> Option<Snapshot> {
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
            snapshot.out.insert((second.to_owned(), token(line)?));
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
    doors: Arc<Mutex<Vec<SocketAddr>>>,
    seen: Arc<Seen>,
    _watchers: tokio::task::JoinSet<()>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    async fn start(what: &str, max_out: usize) -> Self {
        let fleet = Fleet::start(SERVERS).await.expect("stand-ins");
        let free: Vec<_> = (0..GATEWAYS).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
        let own: Vec<SocketAddr> = free.iter().map(|it| it.local_addr().expect("its address")).collect();
        drop(free);
        let mesh = ProxyMesh::open(IpAddr::V4(Ipv4Addr::LOCALHOST), &own, 1).await.expect("relays");
        let folder = std::env::temp_dir().join(format!("ashtide-work-{}-{what}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut cluster = Self {
            fleet,
            mesh,
            own,
            folder,
            max_out,
            daemons: Vec::new(),
            doors: Arc::default(),
            seen: Arc::default(),
            _watchers: tokio::task::JoinSet::new(),
        };
        for number in 0..GATEWAYS {
            let daemon = cluster.daemon(number).await;
            cluster.doors.lock().unwrap_or_else(PoisonError::into_inner).push(daemon.door.expect("a door"));
            cluster.daemons.push(daemon);
        }
        for number in 0..GATEWAYS {
            let doors = cluster.doors.clone();
            let seen = cluster.seen.clone();
            cluster._watchers.spawn(async move {
                loop {
                    let admin_address = doors.lock().unwrap_or_else(PoisonError::into_inner)[number];
                    let requested_at = Instant::now();
                    let snapshot =
                        timeout(Duration::from_millis(400), ask(admin_address, "maintenance list")).await;
                    let snapshot =
                        snapshot.ok().and_then(Result::ok).and_then(|text| read(&text, requested_at));
                    seen.0.lock().unwrap_or_else(PoisonError::into_inner)[number].push(snapshot);
                    sleep(Duration::from_millis(40)).await;
                }
            });
        }
        cluster
            .until("a tier that agrees", 30, |cluster| {
                (0..GATEWAYS).all(|it| cluster.seen.last(it).is_some_and(|snapshot| snapshot.agreed))
            })
            .await;
        cluster
    }

    async fn daemon(&self, number: usize) -> Daemon {
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

    /// Starts a gateway anew, on the disk that it left.
    async fn again(&mut self, number: usize) {
        let daemon = self.daemon(number).await;
        self.doors.lock().unwrap_or_else(PoisonError::into_inner)[number] = daemon.door.expect("a door");
        self.daemons[number] = daemon;
    }

    async fn until(&self, what: &str, seconds: u64, so: impl Fn(&Self) -> bool) {
        let end = Instant::now() + Duration::from_secs(seconds);
        while !so(self) {
            let last: Vec<_> = (0..GATEWAYS).map(|it| self.seen.last(it)).collect();
            assert!(Instant::now() < end, "waited {seconds} s for {what}: {last:#?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn request_six(&self) {
        for server in 0..6 {
            let call = format!("maintenance request s-{server} a new disk");
            let end = Instant::now() + Duration::from_secs(10);
            loop {
                let answer = self.daemons[server % GATEWAYS].call(&call).await.expect("an answer");
                // Settled, or known already where the answer to the first was late.
                if answer.starts_with("200") || answer.contains("waits or is out already") {
                    break;
                }
                assert!(Instant::now() < end, "{answer}");
            }
        }
    }

    /// The one that sees a running grant through, as this gateway knows it.
    async fn holder(&self, requested_at: usize) -> Option<usize> {
        let text = self.daemons[requested_at].call("maintenance list").await.ok()?;
        text.split("holder=").nth(1)?.split(' ').next()?.parse().ok()
    }

    /// All has been worked off, whoever is asked.
    async fn worked_off(&self) {
        self.until("an empty queue", 60, |cluster| {
            (0..GATEWAYS).all(|it| cluster.seen.last(it).is_some_and(|it| it.agreed && it.states.is_empty()))
        })
        .await;
        let (most, tokens) = self.seen.most_out();
        println!("{most} out at most, {tokens} tokens seen");
        assert_eq!(most, self.max_out, "so many were out at once");
        assert_eq!(self.seen.went_back(), None);
        assert!(tokens >= 6, "{tokens} grants were seen, six machines were asked for");
    }
}

#[tokio::test]
async fn the_granting_gateway_dies_in_mid_drain_and_a_stalled_one_wakes_with_an_old_grant() {
    let mut cluster = Cluster::start("killed", 2).await;
    cluster.request_six().await;
    let out = |it: usize| {
        move |cluster: &Cluster| cluster.seen.last(it).is_some_and(|snapshot| !snapshot.out.is_empty())
    };
    cluster.until("a first grant", 10, out(0)).await;
    let holder = cluster.holder(0).await.expect("it has a holder");
    cluster.daemons[holder].kill().await.expect("killed");
    let asleep = (holder + 1) % GATEWAYS;
    cluster.until("a grant that is known to the one that falls asleep", 20, out(asleep)).await;
    cluster.daemons[asleep].stall(true).expect("stopped");
    sleep(Duration::from_secs(6)).await;
    cluster.daemons[asleep].stall(false).expect("on again");
    cluster.again(holder).await;
    cluster.worked_off().await;
}

#[tokio::test]
async fn halves_never_grant_past_the_bound_and_all_restart_while_the_queue_goes_on() {
    let mut cluster = Cluster::start("halves", 3).await;
    cluster.request_six().await;
    for (one, other) in [([0, 1, 2].as_slice(), [3, 4].as_slice())] {
        cluster.mesh.set(one, other, Link::CUT);
        cluster.mesh.set(other, one, Link::CUT);
        sleep(Duration::from_secs(4)).await;
        // The smaller part has no majority: it keeps nothing out any more, and settles nothing.
        let last = cluster.seen.last(4).expect("it answers");
        assert!(!last.agreed && last.out.is_empty(), "{last:?}");
        let answer = cluster.daemons[4].call("maintenance request s-9").await.expect("an answer");
        assert!(answer.starts_with("400"), "{answer}");
        cluster.mesh.set(one, other, Link::PERFECT);
        cluster.mesh.set(other, one, Link::PERFECT);
    }
    for number in 0..GATEWAYS {
        cluster.daemons[number].kill().await.expect("killed");
        cluster.again(number).await;
        cluster
            .until("a restarted gateway that agrees", 20, |cluster| {
                cluster.seen.last(number).is_some_and(|snapshot| snapshot.agreed)
            })
            .await;
    }
    cluster.worked_off().await;
}

#[tokio::test]
async fn without_the_option_nothing_is_settled() {
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
