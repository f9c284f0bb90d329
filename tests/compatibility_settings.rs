//! Every key of the settings object, of the configuration file, of the environment and of the front ends' file:
//! what it is read as, and the text of each error.

mod transcripts;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;

use ashtide::config::{Config, ConfigError, Fronts, Limits, Peers, QuicFront, Reloaded, VrrpFront};
use ashtide::discovery::Status;
use ashtide::facts::{Facts, Interner};
use ashtide::{Class, Discovery, Effect, KeyedGroup, Prices, Settings, Span, Tenant, Weights};
use transcripts::assert_outcomes;

fn micros(span: Span) -> i64 {
    span.as_micros()
}

fn optional<T: ToString>(value: Option<T>) -> String {
    value.map_or("none".to_owned(), |value| value.to_string())
}

fn joined(names: &Interner) -> String {
    names.names().iter().map(|name| format!("[{name}]")).collect()
}

fn encode_class(class: &Class) -> String {
    let Class { aim, message_aim, worth, effect } = class;
    let effect = match effect {
        Effect::Safe => "safe".to_owned(),
        Effect::Unsafe => "unsafe".to_owned(),
        Effect::Keyed { group, window } => {
            let group = match group {
                KeyedGroup::All => "all",
                KeyedGroup::Zone => "zone",
                KeyedGroup::Cell => "cell",
            };
            format!("keyed {group} {}", micros(*window))
        }
    };
    format!("aim {} message aim {} worth {worth} effect {effect}", micros(*aim), micros(*message_aim))
}

fn encode_settings(settings: &Settings) -> String {
    let mut text = String::new();
    for class in &settings.classes {
        let _ = writeln!(text, "class {}", encode_class(class));
    }
    for Tenant { quota_per_s, quota_connections } in &settings.tenants {
        let _ = writeln!(text, "tenant {quota_per_s} {quota_connections}");
    }
    let discovery = match settings.discovery {
        Discovery::Pushed => "pushed",
        Discovery::OnRequest => "on request",
    };
    let weights = match settings.weights {
        Weights::Off => "off",
        Weights::Nominal => "nominal",
        Weights::Live => "live",
    };
    let Prices { cross_zone, probe, moves } = settings.prices;
    let _ = writeln!(text, "relays {} own {} zone {}", settings.relays, settings.own.0, settings.zone.0);
    let _ = writeln!(text, "discovery {discovery} weights {weights} by load {}", settings.worth_by_load);
    let _ = writeln!(text, "prices cross zone {cross_zone} probe {probe} moves {moves}");
    let _ = writeln!(text, "tick {} attempts {}", micros(settings.tick), settings.max_attempts);
    let _ = writeln!(text, "max retry after {}", micros(settings.max_retry_after));
    let _ =
        writeln!(text, "probes {} peers {} recalls {}", settings.probes, settings.peers, settings.recalls);
    let _ = writeln!(text, "answer slack {}", micros(settings.answer_slack));
    let _ = writeln!(text, "ask within {}", micros(settings.ask_within));
    let _ = writeln!(text, "drain grace {}", micros(settings.drain_grace));
    let _ = writeln!(text, "cold from {} warm within {}", settings.cold_from, micros(settings.warm_within));
    let _ = write!(text, "fall {} overload {}", settings.fall_multiple, micros(settings.overload_for));
    text
}

fn encode_facts(facts: &Facts) -> String {
    let names = facts.names();
    let mut text = format!("zones {} kinds {}\n", joined(&names.zones), joined(&names.kinds));
    let _ = writeln!(text, "servers {}", joined(&names.servers));
    let _ = writeln!(text, "classes {} tenants {}", joined(&names.classes), joined(&names.tenants));
    text += &encode_settings(&facts.settings(&names));
    let _ = write!(text, "\nconnect timeout {}", micros(facts.connect_timeout()));
    let _ = write!(text, " longest deadline {}", micros(facts.longest_deadline()));
    let _ = write!(text, "\nindex {} may tell peers {}", facts.index(), facts.peers());
    for it in facts.allowances() {
        let _ = write!(text, "\nallowance {} {} {}", it.name, it.per_s, optional(it.connections));
    }
    for remark in facts.remarks() {
        let _ = write!(text, "\nremark {remark}");
    }
    text
}

#[test]
fn every_key_of_the_settings_object_is_read() {
    assert_outcomes("settings/platform.txt", 92, |input| match Facts::parse(input) {
        Ok(facts) => encode_facts(&facts),
        Err(error) => format!("error {error}"),
    });
}

fn encode_config(config: &Config) -> String {
    let mut text = format!("name {} listen {} discovery {}\n", config.name, config.listen, config.discovery);
    let _ = writeln!(text, "inherited {}", optional(config.inherited));
    let _ = writeln!(text, "folder {}", optional(config.folder.as_ref().map(|it| it.display())));
    let _ = writeln!(text, "operator {} seed {}", optional(config.operator), config.seed);
    let Limits { memory_mb, sockets } = config.limits;
    let _ = writeln!(text, "memory {memory_mb} sockets {sockets}");
    match &config.known {
        None => text += "no list\n",
        Some(list) => {
            let _ = writeln!(text, "list {} {}", list.index, list.snapshot);
            for it in &list.endpoints {
                let status = match it.status {
                    Status::Serving => "serving",
                    Status::Draining => "draining",
                    Status::Deleted => "deleted",
                };
                let _ = write!(text, "{} {} [{}] [{}] {}", it.name, it.address, it.zone, it.kind, it.group);
                let _ = writeln!(text, " {status} {} {}", it.weight, it.since_ms);
            }
        }
    }
    match &config.peers {
        None => text += "no peers\n",
        Some(peers) => {
            let Peers { listen, each, all, own } = peers;
            let each: String = each.iter().map(|it| format!("[{it}]")).collect();
            let others: String = peers.others().map(|it| format!("[{it}]")).collect();
            let _ = writeln!(text, "peers {listen} {each} all {} own {own} others {others}", optional(*all));
        }
    }
    let _ = writeln!(text, "grace {} ms", config.grace.as_millis());
    text + &encode_facts(&config.facts)
}

/// Lines like `NAME=value` before the object are the environment.
fn environment(input: &str) -> (BTreeMap<String, String>, String) {
    let is_variable = |line: &&str| !line.starts_with(['{', '[', '"']) && line.contains('=');
    let variables = input.lines().take_while(is_variable).filter_map(|line| line.split_once('='));
    let variables: BTreeMap<_, _> =
        variables.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
    let rest = input.lines().skip(variables.len()).collect::<Vec<_>>().join("\n");
    (variables, rest)
}

#[test]
fn every_key_of_the_configuration_and_of_the_environment_is_read() {
    assert_outcomes("settings/configuration.txt", 85, |input| {
        let (variables, text) = environment(input);
        let json = serde_json::from_str(&text).expect("JSON");
        match Config::from_json(json, |name| variables.get(name).cloned()) {
            Ok(config) => encode_config(&config),
            Err(error) => format!("error {error}"),
        }
    });
}

#[test]
fn the_environment_is_asked_for_these_variables_alone() {
    let asked = RefCell::new(Vec::new());
    let json =
        serde_json::json!({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {}});
    let config = Config::from_json(json, |name| {
        asked.borrow_mut().push(name.to_owned());
        None
    });
    assert!(config.is_ok());
    let mut asked = asked.into_inner();
    asked.sort();
    asked.dedup();
    let variables = [
        "ROUTER_DISCOVERY",
        "ROUTER_INHERITED_FD",
        "ROUTER_LISTEN",
        "ROUTER_NAME",
        "ROUTER_OPERATOR",
        "TMPDIR",
    ];
    assert_eq!(asked, variables);
}

#[test]
fn errors_of_a_file_name_it() {
    let folder = std::env::temp_dir().join(format!("ashtide-fixed-config-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("router.json");
    let told = |error: ConfigError| error.to_string().replace(path.to_str().expect("plain"), "<file>");
    assert_outcomes("settings/files.txt", 13, |input| {
        let (variables, text) = environment(input);
        let _ = std::fs::remove_file(&path);
        if text != "no file" {
            std::fs::write(&path, text).expect("written");
        }
        let file = path.to_str().expect("plain").to_owned();
        let variable = |name: &str| match name {
            "ROUTER_CONFIG" if !variables.contains_key("NO_CONFIG") => Some(file.clone()),
            _ => variables.get(name).cloned(),
        };
        match Config::read(variable) {
            Ok(config) => format!("name {}", config.name),
            Err(error) => format!("error {}", told(error)),
        }
    });
    assert_outcomes("settings/front_files.txt", 4, |input| {
        let _ = std::fs::remove_file(&path);
        if input != "no file" {
            std::fs::write(&path, input).expect("written");
        }
        match Fronts::read(&path) {
            Ok(fronts) => encode_fronts(&fronts),
            Err(error) => format!("error {}", told(error)),
        }
    });
    std::fs::remove_dir_all(folder).expect("no folder");
}

/// The first line is the object that runs, the second one the file's new one, and lines before them are the
/// environment.
#[test]
fn a_reload_tells_what_has_changed() {
    assert_outcomes("settings/reloads.txt", 22, |input| {
        let (variables, text) = environment(input);
        let variable = |name: &str| variables.get(name).cloned();
        let mut objects = text.lines().map(|line| serde_json::from_str(line).expect("JSON"));
        let config = Config::from_json(objects.next().expect("what runs"), variable).expect("it runs");
        match config.standing.reload(objects.next().expect("what is new"), variable) {
            Ok(Reloaded { discovery, restart, remarks }) => {
                format!(
                    "discovery {discovery}\nrestart {}\nremarks {}",
                    restart.join(" "),
                    remarks.join("; ")
                )
            }
            Err(error) => format!("error {error}"),
        }
    });
}

#[test]
fn room_is_shared_out_by_the_limits() {
    let mut text = String::new();
    for (memory_mb, sockets) in [(0, 0), (1, 64), (192, 256), (256, 1024), (256, 100_000), (4096, 100_000)] {
        for others in [0, 16, 300] {
            let room = Limits { memory_mb, sockets }.room(others);
            let _ = write!(text, "{memory_mb} MB {sockets} sockets, {others} others: ");
            let _ = write!(text, "{} sockets {} sessions", room.sockets, room.sessions);
            for beside in [0, 40, 5_000] {
                let _ = write!(text, ", {} {}", room.sessions(beside), room.waiting(7, beside));
            }
            text.push('\n');
        }
    }
    transcripts::assert_written("settings/room.txt", text.as_bytes());
}

fn encode_fronts(fronts: &Fronts) -> String {
    let mut text = String::new();
    match &fronts.quic {
        None => text += "no quic\n",
        Some(quic) => {
            let QuicFront {
                listen,
                class,
                tenant,
                deadline_ms,
                id_length,
                rotation,
                reset_key,
                paths,
                idle_ms,
            } = quic;
            let tenant = optional(tenant.as_ref());
            let _ = writeln!(text, "quic {listen} class {class} tenant {tenant} deadline {deadline_ms}");
            let _ = writeln!(text, "id length {id_length} rotation {rotation} paths {paths} idle {idle_ms}");
            let bytes = quic.key().map(|key| transcripts::to_hex(&key));
            let _ = writeln!(text, "reset key {} bytes {}", optional(reset_key.as_ref()), optional(bytes));
        }
    }
    match &fronts.vrrp {
        None => text += "no vrrp",
        Some(vrrp) => {
            let VrrpFront { router, priority, interval_ms, preempt, listen, peers, addresses } = vrrp;
            let peers: String = peers.iter().map(|it| format!("[{it}]")).collect();
            let addresses: String = addresses.iter().map(|it| format!("[{it}]")).collect();
            let _ =
                writeln!(text, "vrrp {router} priority {priority} interval {interval_ms} preempt {preempt}");
            let _ = writeln!(text, "listen {listen} peers {peers} addresses {addresses}");
            let settings = vrrp.settings();
            let _ = write!(text, "settings {} {}", settings.router, settings.priority);
            let _ = write!(text, " {} {}", settings.interval, settings.preempt);
            settings.addresses.iter().for_each(|it| text += &format!(" {it}"));
        }
    }
    text
}

#[test]
fn every_key_of_the_front_ends_file_is_read() {
    assert_outcomes("settings/fronts.txt", 83, |input| match Fronts::parse(input) {
        Ok(fronts) => encode_fronts(&fronts),
        Err(error) => format!("error {error}"),
    });
}

#[test]
fn the_deploy_file_is_read() {
    let fronts = Fronts::parse(include_str!("../deploy/quic.toml")).expect("good");
    transcripts::assert_written("settings/deploy_quic.txt", encode_fronts(&fronts).as_bytes());
}
