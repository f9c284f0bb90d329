//! The membership view in the daemon: its settings, and three daemon processes under faults.

use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use ashtide::fleet::view::{Settings, ViewError, next_incarnation, schema};
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::mock_backend::MockBackend;
use tokio::time::sleep;

const VALID_SETTINGS: &str = "listen = \"127.0.0.1:7946\"\ntier = 1\n";

fn problem(text: &str) -> String {
    Settings::parse(text).err().map(ViewError::with_help).unwrap_or_default()
}

#[test]
fn schema_deploy_file_and_parser_have_the_same_keys_and_bounds() {
    let schema = schema();
    let stored: serde_json::Value =
        serde_json::from_str(include_str!("../deploy/view.schema.json")).expect("the schema is JSON");
    assert_eq!(stored, schema, "deploy/view.schema.json should be:\n{schema:#}");
    let file = include_str!("../deploy/view.toml");
    Settings::parse(file).expect("deploy/view.toml is valid");
    let keys = schema["properties"].as_object().expect("the schema has properties");
    let table: toml::Table = file.parse().expect("the settings are TOML");
    assert!(keys.keys().eq(table.keys()), "deploy/view.toml should contain each key of the schema");
    for (key, property) in keys.iter().filter(|(_, property)| property["type"] == "integer") {
        let parse_with = |value: i64| {
            let mut table: toml::Table = VALID_SETTINGS.parse().expect("the settings are TOML");
            table.insert(key.clone(), value.into());
            Settings::parse(&table.to_string())
        };
        let bound = |name: &str| property[name].as_i64().expect("an integer key has a bound");
        assert!(parse_with(bound("minimum")).is_ok() && parse_with(bound("maximum")).is_ok(), "{key}");
        for out_of_range in [bound("minimum") - 1, bound("maximum") + 1] {
            let problem = parse_with(out_of_range).err().map(|error| error.to_string()).unwrap_or_default();
            assert!(problem.contains(&format!("{key}: found {out_of_range}; expected")), "{key}: {problem}");
        }
        let required =
            schema["required"].as_array().is_some_and(|names| names.iter().any(|name| name == key.as_str()));
        assert_eq!(required, property.get("default").is_none(), "{key}");
    }
}

#[test]
fn errors_name_the_key_what_was_found_and_what_was_expected() {
    for (text, expected) in [
        ("tier = 1", "listen: found \"\"; expected an IP address and a port"),
        ("listen = \"127.0.0.1:7946\"", "tier: found nothing; expected a whole number"),
        ("listen = \"0.0.0.0:7946\"\ntier = 1", "listen: found 0.0.0.0:7946; expected"),
        ("listen = 7\ntier = 1", "listen: found 7; expected an IP address and a port"),
        ("listen = \"127.0.0.1:7946\"\ntier = 1\nseeds = [\"here\"]", "seeds: found \"here\"; expected"),
        (
            "listen = \"127.0.0.1:7946\"\ntier = 1\nfanout = 3",
            "fanout: found an unknown key; expected listen",
        ),
        ("listen =", "expected TOML"),
    ] {
        let problem = problem(text);
        assert!(problem.contains(expected), "{text}: {problem}");
    }
    let settings = Settings::parse(VALID_SETTINGS).expect("the settings are valid");
    let missing = settings.seeds_or_peers(None).err().map(|error| error.to_string()).unwrap_or_default();
    assert!(missing.contains("seeds: found nothing; expected"), "{missing}");
    let peers = ["127.0.0.1:9", "127.0.0.2:9"].map(|peer| peer.parse().expect("a socket address")).into();
    // A seed has a peer's IP address and the port of the view.
    let seeds = settings.seeds_or_peers(Some(peers)).expect("the peers provide seeds");
    assert_eq!(seeds, ["127.0.0.2:7946".parse::<SocketAddr>().expect("a socket address")]);
}

#[test]
fn an_incarnation_is_later_than_the_previous_one_at_any_clock_reading() {
    assert_eq!(
        [next_incarnation(50, None), next_incarnation(50, Some(20)), next_incarnation(50, Some(70))],
        [50, 50, 71]
    );
}

/// A gateway as a daemon's view reports it.
#[derive(Debug)]
struct MemberStatus {
    state: String,
    incarnation: u64,
}

/// Three daemons with a membership view, each at its own address.
struct Cluster {
    backend: MockBackend,
    addresses: Vec<SocketAddr>,
    daemons: Vec<Daemon>,
}

impl Cluster {
    async fn start() -> Self {
        let backend = MockBackend::start(1).await.expect("the mock servers start");
        let reserved: Vec<_> =
            (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port is free")).collect();
        let local_address = |socket: &UdpSocket| socket.local_addr().expect("a bound socket has an address");
        let addresses = reserved.iter().map(local_address).collect();
        drop(reserved);
        let mut cluster = Self { backend, addresses, daemons: Vec::new() };
        for number in 0..3 {
            let daemon = cluster.start_daemon(number).await;
            cluster.daemons.push(daemon);
        }
        cluster
    }

    async fn start_daemon(&self, number: usize) -> Daemon {
        let view = format!(
            "listen = \"{}\"\nseeds = [\"{}\", \"{}\"]\ntier = 77\nsize = 3\n",
            self.addresses[number], self.addresses[0], self.addresses[1]
        );
        let options = Options { view, ..Options::default() };
        Daemon::start(Path::new(env!("CARGO_BIN_EXE_ashtide")), &self.backend, &options)
            .await
            .expect("the daemon starts")
    }

    /// Returns the other gateway's status in this daemon's view; `None` if the view does not list it.
    async fn member_seen_by(&self, observer: usize, other: usize) -> Option<MemberStatus> {
        let text = self.daemons[observer].send_command("members").await.expect("members is answered");
        assert!(text.ends_with("EOF\n"), "{text}");
        let row = text.lines().find(|line| line.starts_with(&format!("{} ", self.addresses[other])))?;
        let mut fields = row.split(' ').skip(1);
        let state = fields.next()?.to_owned();
        let incarnation = fields.next()?.strip_prefix("generation=")?.parse().ok()?;
        Some(MemberStatus { state, incarnation })
    }

    /// Waits until all observers report the other gateway in this state with an incarnation after `previous`.
    /// Returns the new incarnation.
    async fn wait_for_state(
        &self,
        observers: &[usize],
        other: usize,
        state: &str,
        previous: u64,
        timeout_s: u64,
    ) -> u64 {
        let end = Instant::now() + Duration::from_secs(timeout_s);
        let mut incarnation = 0;
        for &observer in observers {
            loop {
                let member = self.member_seen_by(observer, other).await;
                let is_expected =
                    |member: &&MemberStatus| member.state == state && member.incarnation > previous;
                if let Some(member) = member.as_ref().filter(is_expected) {
                    incarnation = member.incarnation;
                    break;
                }
                assert!(
                    Instant::now() < end,
                    "gateway {observer} reports {other} as {member:?}; expected {state} after {previous}"
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
        incarnation
    }

    async fn metric(&self, gateway: usize, name: &str) -> u64 {
        let text = self.daemons[gateway].send_command("counters").await.expect("counters is answered");
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("router_view_{name} ")));
        line.and_then(|value| value.parse().ok())
            .unwrap_or_else(|| panic!("metric {name} not found in: {text}"))
    }
}

#[tokio::test]
async fn three_daemons_detect_a_kill_a_restart_and_a_stall() {
    let mut cluster = Cluster::start().await;
    let first = cluster.wait_for_state(&[0, 1], 2, "alive", 0, 20).await;
    cluster.wait_for_state(&[2], 0, "alive", 0, 20).await;

    // Both others report a killed gateway as dead and, after a restart at its address, as alive with a later
    // incarnation.
    cluster.daemons[2].kill().await.expect("the daemon is killed");
    cluster.wait_for_state(&[0, 1], 2, "dead", first - 1, 30).await;
    let dead = format!("view: member {} (generation {first}) is dead", cluster.addresses[2]);
    cluster.daemons[0].wait_for_log_line(dead.leak()).await.expect("the death is logged");
    cluster.daemons[2] = cluster.start_daemon(2).await;
    let second = cluster.wait_for_state(&[0, 1], 2, "alive", first, 20).await;
    assert_eq!(cluster.metric(0, "false_deaths_total").await, 0, "a restart does not count as a false death");

    // A gateway that is stalled until both others report it as dead rejoins with a later incarnation once it
    // resumes, and suspects no other gateway meanwhile.
    cluster.daemons[2].set_suspended(true).expect("the daemon is stopped");
    cluster.wait_for_state(&[0, 1], 2, "dead", second - 1, 30).await;
    cluster.daemons[2].set_suspended(false).expect("the daemon is resumed");
    cluster.wait_for_state(&[0, 1], 2, "alive", second, 20).await;
    cluster.wait_for_state(&[2], 0, "alive", 0, 20).await;
    cluster.wait_for_state(&[2], 1, "alive", 0, 20).await;
    assert_eq!(cluster.metric(2, "deaths_total").await, 0, "the stalled gateway reported no deaths");
    assert!(cluster.metric(2, "stalls_total").await >= 1 && cluster.metric(2, "own_deaths_total").await >= 1);

    // A terminated gateway leaves and is not counted as dead.
    let deaths = cluster.metric(0, "deaths_total").await;
    cluster.daemons[2].terminate().expect("the daemon receives the signal");
    cluster.wait_for_state(&[0, 1], 2, "left", second, 20).await;
    assert_eq!(cluster.metric(0, "deaths_total").await, deaths, "leaving does not count as a death");
}

#[tokio::test]
async fn without_the_option_there_is_no_view_and_no_view_metrics() {
    let backend = MockBackend::start(1).await.expect("the mock servers start");
    let folder = std::env::temp_dir().join(format!("ashtide-view-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let listener = std::sync::Arc::new(std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free"));
    let shared = ashtide_testkit::daemon::Shared { listener, folder: folder.clone() };
    let options = Options { shared: Some(shared), ..Options::default() };
    let daemon = Daemon::start(Path::new(env!("CARGO_BIN_EXE_ashtide")), &backend, &options)
        .await
        .expect("the daemon starts");
    let members = daemon.send_command("members").await;
    let counters = daemon.send_command("counters").await;
    let _ = std::fs::remove_dir_all(&folder);
    assert!(members.expect("members is answered").starts_with("400 no view"));
    assert!(!counters.expect("counters is answered").contains("view"));
}
