//! The fleet view in the daemon: its settings, and three real processes with faults between them.

use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use ashtide::fleet::view::{Settings, ViewError, next_incarnation, schema};
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::fleet::Fleet;
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
    Settings::parse(file).expect("deploy/view.toml is good");
    let keys = schema["properties"].as_object().expect("properties");
    let table: toml::Table = file.parse().expect("TOML");
    assert!(keys.keys().eq(table.keys()), "each key stands in the deploy file");
    for (key, property) in keys.iter().filter(|(_, property)| property["type"] == "integer") {
        let parse_with = |value: i64| {
            let mut table: toml::Table = VALID_SETTINGS.parse().expect("TOML");
            table.insert(key.clone(), value.into());
            Settings::parse(&table.to_string())
        };
        let bound = |name: &str| property[name].as_i64().expect("a bound");
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
        ("tier = 1", "listen: found \"\"; expected an address"),
        ("listen = \"127.0.0.1:7946\"", "tier: found nothing; expected a whole number"),
        ("listen = \"0.0.0.0:7946\"\ntier = 1", "listen: found 0.0.0.0:7946; expected"),
        ("listen = 7\ntier = 1", "listen: found 7; expected an address"),
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
    let settings = Settings::parse(VALID_SETTINGS).expect("good");
    let missing = settings.seeds_or_peers(None).err().map(|error| error.to_string()).unwrap_or_default();
    assert!(missing.contains("seeds: found nothing; expected"), "{missing}");
    let peers = vec!["127.0.0.1:9".parse().expect("one"), "127.0.0.2:9".parse().expect("another")];
    let seeds = settings.seeds_or_peers(Some(peers)).expect("by the peers");
    assert_eq!(seeds, ["127.0.0.2:7946".parse::<SocketAddr>().expect("at the view's port")]);
}

#[test]
fn an_incarnation_is_later_than_the_previous_one_at_any_clock_reading() {
    assert_eq!(
        [next_incarnation(50, None), next_incarnation(50, Some(20)), next_incarnation(50, Some(70))],
        [50, 50, 71]
    );
}

/// A gateway as a view has it.
#[derive(Debug)]
struct MemberState {
    state: String,
    incarnation: u64,
}

/// Three daemons with a fleet view, each at an address of its own.
struct Cluster {
    fleet: Fleet,
    addresses: Vec<SocketAddr>,
    daemons: Vec<Daemon>,
}

impl Cluster {
    async fn start() -> Self {
        let fleet = Fleet::start(1).await.expect("stand-ins");
        let reserved: Vec<_> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
        let addresses = reserved.iter().map(|socket| socket.local_addr().expect("its address")).collect();
        drop(reserved);
        let mut cluster = Self { fleet, addresses, daemons: Vec::new() };
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
        Daemon::start(Path::new(env!("CARGO_BIN_EXE_ashtide")), &self.fleet, &options)
            .await
            .expect("a daemon")
    }

    /// The other gateway as this daemon's view has it.
    async fn member_seen_by(&self, observer: usize, other: usize) -> Option<MemberState> {
        let text = self.daemons[observer].call("members").await.expect("an answer");
        assert!(text.ends_with("EOF\n"), "{text}");
        let row = text.lines().find(|line| line.starts_with(&format!("{} ", self.addresses[other])))?;
        let mut fields = row.split(' ').skip(1);
        let state = fields.next()?.to_owned();
        let incarnation = fields.next()?.strip_prefix("generation=")?.parse().ok()?;
        Some(MemberState { state, incarnation })
    }

    /// Waits until all observers see the other gateway in this state with a later incarnation; returns that one.
    async fn wait_for_state(
        &self,
        observers: &[usize],
        other: usize,
        state: &str,
        after: u64,
        seconds: u64,
    ) -> u64 {
        let end = Instant::now() + Duration::from_secs(seconds);
        let mut incarnation = 0;
        for &observer in observers {
            loop {
                let member = self.member_seen_by(observer, other).await;
                let is_expected = |member: &&MemberState| member.state == state && member.incarnation > after;
                if let Some(member) = member.as_ref().filter(is_expected) {
                    incarnation = member.incarnation;
                    break;
                }
                assert!(
                    Instant::now() < end,
                    "{observer} sees {other} as {member:?}, expected {state} after {after}"
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
        incarnation
    }

    async fn metric(&self, gateway: usize, name: &str) -> u64 {
        let text = self.daemons[gateway].call("counters").await.expect("an answer");
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("router_view_{name} ")));
        line.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("{name} in {text}"))
    }
}

#[tokio::test]
async fn three_daemons_detect_a_kill_a_restart_and_a_stall() {
    let mut cluster = Cluster::start().await;
    let first = cluster.wait_for_state(&[0, 1], 2, "alive", 0, 20).await;
    cluster.wait_for_state(&[2], 0, "alive", 0, 20).await;

    // Killed, it is dead to both; restarted at its address, it is alive to both with a later incarnation.
    cluster.daemons[2].kill().await.expect("killed");
    cluster.wait_for_state(&[0, 1], 2, "dead", first - 1, 30).await;
    let dead = format!("view: member {} (generation {first}) is dead", cluster.addresses[2]);
    cluster.daemons[0].says(dead.leak()).await.expect("logged");
    cluster.daemons[2] = cluster.start_daemon(2).await;
    let second = cluster.wait_for_state(&[0, 1], 2, "alive", first, 20).await;
    assert_eq!(cluster.metric(0, "false_deaths_total").await, 0, "a restart is no false death");

    // Stalled until it is dead to both and resumed, it suspects nobody and returns with a later incarnation.
    cluster.daemons[2].stall(true).expect("stopped");
    cluster.wait_for_state(&[0, 1], 2, "dead", second - 1, 30).await;
    cluster.daemons[2].stall(false).expect("on again");
    cluster.wait_for_state(&[0, 1], 2, "alive", second, 20).await;
    cluster.wait_for_state(&[2], 0, "alive", 0, 20).await;
    cluster.wait_for_state(&[2], 1, "alive", 0, 20).await;
    assert_eq!(cluster.metric(2, "deaths_total").await, 0, "it accused nobody");
    assert!(cluster.metric(2, "stalls_total").await >= 1 && cluster.metric(2, "own_deaths_total").await >= 1);

    // Terminated, it leaves and isn't reported as dead.
    let deaths = cluster.metric(0, "deaths_total").await;
    cluster.daemons[2].terminate().expect("told");
    cluster.wait_for_state(&[0, 1], 2, "left", second, 20).await;
    assert_eq!(cluster.metric(0, "deaths_total").await, deaths, "one that leaves is not missed");
}

#[tokio::test]
async fn without_the_option_there_are_no_view_and_no_metrics_of_it() {
    let fleet = Fleet::start(1).await.expect("stand-ins");
    let folder = std::env::temp_dir().join(format!("ashtide-view-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let listener = std::sync::Arc::new(std::net::TcpListener::bind("127.0.0.1:0").expect("a listener"));
    let shared = ashtide_testkit::daemon::Shared { listener, folder: folder.clone() };
    let options = Options { shared: Some(shared), ..Options::default() };
    let daemon =
        Daemon::start(Path::new(env!("CARGO_BIN_EXE_ashtide")), &fleet, &options).await.expect("one");
    let members = daemon.call("members").await;
    let counters = daemon.call("counters").await;
    let _ = std::fs::remove_dir_all(&folder);
    assert!(members.expect("an answer").starts_with("400 no view"));
    assert!(!counters.expect("an answer").contains("view"));
}
