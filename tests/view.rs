//! The fleet view in the daemon: its settings, and three real processes with faults between them.

use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use ashtide::fleet::view::{Settings, ViewError, next_incarnation, schema};
use ashtide_testkit::daemon::{Daemon, Options};
use ashtide_testkit::fleet::Fleet;
use tokio::time::sleep;

const GOOD: &str = "listen = \"127.0.0.1:7946\"\ntier = 1\n";

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
    for (key, about) in keys.iter().filter(|it| it.1["type"] == "integer") {
        let with = |value: i64| {
            let mut table: toml::Table = GOOD.parse().expect("TOML");
            table.insert(key.clone(), value.into());
            Settings::parse(&table.to_string())
        };
        let bound = |name: &str| about[name].as_i64().expect("a bound");
        assert!(with(bound("minimum")).is_ok() && with(bound("maximum")).is_ok(), "{key}");
        for beyond in [bound("minimum") - 1, bound("maximum") + 1] {
            let expected = with(beyond).err().map(|it| it.to_string()).unwrap_or_default();
            assert!(expected.contains(&format!("{key}: found {beyond}; expected")), "{key}: {expected}");
        }
        let required =
            schema["required"].as_array().is_some_and(|all| all.iter().any(|it| it == key.as_str()));
        assert_eq!(required, about.get("default").is_none(), "{key}");
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
    let settings = Settings::parse(GOOD).expect("good");
    let none = settings.seeds_or_peers(None).err().map(|it| it.to_string()).unwrap_or_default();
    assert!(none.contains("seeds: found nothing; expected"), "{none}");
    let peers = vec!["127.0.0.1:9".parse().expect("one"), "127.0.0.2:9".parse().expect("another")];
    let seeds = settings.seeds_or_peers(Some(peers)).expect("by the peers");
    assert_eq!(seeds, ["127.0.0.2:7946".parse::<SocketAddr>().expect("at the view's port")]);
}

#[test]
fn an_incarnation_is_later_than_the_one_before_whatever_the_clock_shows() {
    assert_eq!(
        [next_incarnation(50, None), next_incarnation(50, Some(20)), next_incarnation(50, Some(70))],
        [50, 50, 71]
    );
}

/// Three daemons that have a view, each at an address that no other test has.
struct Three {
    fleet: Fleet,
    at: Vec<SocketAddr>,
    daemons: Vec<Daemon>,
}

impl Three {
    async fn start() -> Self {
        let fleet = Fleet::start(1).await.expect("stand-ins");
        let free: Vec<_> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
        let at = free.iter().map(|it| it.local_addr().expect("its address")).collect();
        drop(free);
        let mut three = Self { fleet, at, daemons: Vec::new() };
        for number in 0..3 {
            let daemon = three.daemon(number).await;
            three.daemons.push(daemon);
        }
        three
    }

    async fn daemon(&self, number: usize) -> Daemon {
        let view = format!(
            "listen = \"{}\"\nseeds = [\"{}\", \"{}\"]\ntier = 77\nsize = 3\n",
            self.at[number], self.at[0], self.at[1]
        );
        let options = Options { view, ..Options::default() };
        Daemon::start(Path::new(env!("CARGO_BIN_EXE_ashtide")), &self.fleet, &options)
            .await
            .expect("a daemon")
    }

    /// How the daemon of this number holds the other: its state, and its generation.
    async fn state_seen_by(&self, by: usize, other: usize) -> Option<(String, u64)> {
        let text = self.daemons[by].call("members").await.expect("an answer");
        assert!(text.ends_with("EOF\n"), "{text}");
        let row = text.lines().find(|line| line.starts_with(&format!("{} ", self.at[other])))?;
        let mut fields = row.split(' ').skip(1);
        let state = fields.next()?.to_owned();
        Some((state, fields.next()?.strip_prefix("generation=")?.parse().ok()?))
    }

    /// Waits until each of these holds the other so, in a life after that generation; the life.
    async fn until(&self, by: &[usize], other: usize, state: &str, after: u64, within: u64) -> u64 {
        let end = Instant::now() + Duration::from_secs(within);
        let mut incarnation = 0;
        for &by in by {
            loop {
                let state_seen_by = self.state_seen_by(by, other).await;
                if let Some((_, generation)) =
                    state_seen_by.as_ref().filter(|it| it.0 == state && it.1 > after)
                {
                    incarnation = *generation;
                    break;
                }
                assert!(
                    Instant::now() < end,
                    "{by} holds {other} {state_seen_by:?}, should be {state} after {after}"
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
        incarnation
    }

    async fn figure(&self, by: usize, name: &str) -> u64 {
        let text = self.daemons[by].call("counters").await.expect("an answer");
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("router_view_{name} ")));
        line.and_then(|it| it.parse().ok()).unwrap_or_else(|| panic!("{name} in {text}"))
    }
}

#[tokio::test]
async fn three_daemons_notice_a_kill_a_restart_and_a_stall() {
    let mut three = Three::start().await;
    let first = three.until(&[0, 1], 2, "alive", 0, 20).await;
    three.until(&[2], 0, "alive", 0, 20).await;

    // Killed: missed by both, and only then. Restarted at its address: a later life, and alive to both.
    three.daemons[2].kill().await.expect("killed");
    three.until(&[0, 1], 2, "dead", first - 1, 30).await;
    let dead = format!("view: member {} (generation {first}) is dead", three.at[2]);
    three.daemons[0].says(dead.leak()).await.expect("logged");
    three.daemons[2] = three.daemon(2).await;
    let second = three.until(&[0, 1], 2, "alive", first, 20).await;
    assert_eq!(three.figure(0, "false_deaths_total").await, 0, "a restart is no false death");

    // Stopped until it is missed, and on again: it accuses nobody, and comes back in a later life.
    three.daemons[2].stall(true).expect("stopped");
    three.until(&[0, 1], 2, "dead", second - 1, 30).await;
    three.daemons[2].stall(false).expect("on again");
    three.until(&[0, 1], 2, "alive", second, 20).await;
    three.until(&[2], 0, "alive", 0, 20).await;
    three.until(&[2], 1, "alive", 0, 20).await;
    assert_eq!(three.figure(2, "deaths_total").await, 0, "it accused nobody");
    assert!(three.figure(2, "stalls_total").await >= 1 && three.figure(2, "own_deaths_total").await >= 1);

    // Told to go: it has left, and nobody misses it.
    let deaths = three.figure(0, "deaths_total").await;
    three.daemons[2].terminate().expect("told");
    three.until(&[0, 1], 2, "left", second, 20).await;
    assert_eq!(three.figure(0, "deaths_total").await, deaths, "one that leaves is not missed");
}

#[tokio::test]
async fn without_the_option_there_is_no_view_and_no_figure_of_it() {
    let fleet = Fleet::start(1).await.expect("stand-ins");
    let folder = std::env::temp_dir().join(format!("ashtide-view-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let listener = std::sync::Arc::new(std::net::TcpListener::bind("127.0.0.1:0").expect("a listener"));
    let shared = ashtide_testkit::daemon::Shared { listener, folder: folder.clone() };
    let options = Options { shared: Some(shared), ..Options::default() };
    let daemon =
        Daemon::start(Path::new(env!("CARGO_BIN_EXE_ashtide")), &fleet, &options).await.expect("one");
    let members = daemon.call("members").await;
    let figures = daemon.call("counters").await;
    let _ = std::fs::remove_dir_all(&folder);
    assert!(members.expect("an answer").starts_with("400 no view"));
    assert!(!figures.expect("an answer").contains("view"));
}
