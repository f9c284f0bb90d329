//! Every key of the settings object, of the configuration file, of the environment and of the front ends' file:
//! what it is read as, and the text of each error.

mod transcripts;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;

use ashtide::config::{
    Config, ConfigError, FrontendConfig, PeerAddresses, QuicConfig, ReloadOutcome, ResourceLimits, VrrpConfig,
};
use ashtide::discovery::EndpointStatus;
use ashtide::settings::{Interner, PlatformSettings};
use ashtide::{
    DeduplicationScope, DiscoveryMode, Idempotency, Prices, RequestClass, Settings, Span, Tenant, WeightMode,
};
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

fn encode_class(class: &RequestClass) -> String {
    let RequestClass {
        latency_objective: aim,
        message_latency_objective: message_aim,
        priority_weight: worth,
        idempotency: effect,
    } = class;
    let effect = match effect {
        Idempotency::Idempotent => "safe".to_owned(),
        Idempotency::NotIdempotent => "unsafe".to_owned(),
        Idempotency::WithKey { scope: group, remembered_for: window } => {
            let group = match group {
                DeduplicationScope::All => "all",
                DeduplicationScope::Zone => "zone",
                DeduplicationScope::Cell => "cell",
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
        DiscoveryMode::Pushed => "pushed",
        DiscoveryMode::OnRequest => "on request",
    };
    let weights = match settings.weights {
        WeightMode::Off => "off",
        WeightMode::Nominal => "nominal",
        WeightMode::Live => "live",
    };
    let Prices { cross_zone, health_check: probe, migration: moves } = settings.prices;
    let _ =
        writeln!(text, "relays {} own {} zone {}", settings.gateways, settings.gateway_id.0, settings.zone.0);
    let _ = writeln!(
        text,
        "discovery {discovery} weights {weights} by load {}",
        settings.priority_scales_with_load
    );
    let _ = writeln!(text, "prices cross zone {cross_zone} probe {probe} moves {moves}");
    let _ = writeln!(text, "tick {} attempts {}", micros(settings.batch_interval), settings.max_attempts);
    let _ = writeln!(text, "max retry after {}", micros(settings.max_retry_after));
    let _ = writeln!(
        text,
        "probes {} peers {} recalls {}",
        settings.health_checks, settings.fleet_permits, settings.cancellation
    );
    let _ = writeln!(text, "answer slack {}", micros(settings.answer_slack));
    let _ = writeln!(text, "ask within {}", micros(settings.list_poll_limit));
    let _ = writeln!(text, "drain grace {}", micros(settings.drain_grace));
    let _ = writeln!(
        text,
        "cold from {} warm within {}",
        settings.initial_capacity_share,
        micros(settings.warm_up_time)
    );
    let _ = write!(text, "fall {} overload {}", settings.overload_factor, micros(settings.overload_window));
    text
}

fn encode_facts(facts: &PlatformSettings) -> String {
    let names = facts.name_tables();
    let mut text = format!("zones {} kinds {}\n", joined(&names.zones), joined(&names.kinds));
    let _ = writeln!(text, "servers {}", joined(&names.servers));
    let _ = writeln!(text, "classes {} tenants {}", joined(&names.classes), joined(&names.tenants));
    text += &encode_settings(&facts.balancer_settings(&names));
    let _ = write!(text, "\nconnect timeout {}", micros(facts.connect_timeout()));
    let _ = write!(text, " longest deadline {}", micros(facts.longest_deadline()));
    let _ = write!(text, "\nindex {} may tell peers {}", facts.gateway_index(), facts.allows_peer_messages());
    for it in facts.tenant_quotas() {
        let _ = write!(
            text,
            "\nallowance {} {} {}",
            it.name,
            it.connections_per_second,
            optional(it.max_open_connections)
        );
    }
    for remark in facts.warnings() {
        let _ = write!(text, "\nremark {remark}");
    }
    text
}

#[test]
fn every_key_of_the_settings_object_is_read() {
    assert_outcomes("settings/platform.txt", 92, |input| match PlatformSettings::parse(input) {
        Ok(facts) => encode_facts(&facts),
        Err(error) => format!("error {error}"),
    });
}

fn encode_config(config: &Config) -> String {
    let mut text = format!(
        "name {} listen {} discovery {}\n",
        config.name, config.listen_address, config.discovery_address
    );
    let _ = writeln!(text, "inherited {}", optional(config.inherited_listener));
    let _ = writeln!(text, "folder {}", optional(config.state_folder.as_ref().map(|it| it.display())));
    let _ = writeln!(text, "operator {} seed {}", optional(config.admin_address), config.seed);
    let ResourceLimits { memory_mb, descriptors: sockets } = config.limits;
    let _ = writeln!(text, "memory {memory_mb} sockets {sockets}");
    match &config.initial_list {
        None => text += "no list\n",
        Some(list) => {
            let _ = writeln!(text, "list {} {}", list.index, list.snapshot);
            for it in &list.endpoints {
                let status = match it.status {
                    EndpointStatus::Serving => "serving",
                    EndpointStatus::Draining => "draining",
                    EndpointStatus::Deleted => "deleted",
                };
                let _ = write!(text, "{} {} [{}] [{}] {}", it.name, it.address, it.zone, it.kind, it.cell);
                let _ = writeln!(text, " {status} {} {}", it.weight, it.since_ms);
            }
        }
    }
    match &config.peers {
        None => text += "no peers\n",
        Some(peers) => {
            let PeerAddresses { listen, by_index: each, shared: all, own_index: own } = peers;
            let each: String = each.iter().map(|it| format!("[{it}]")).collect();
            let others: String = peers.other_addresses().map(|it| format!("[{it}]")).collect();
            let _ = writeln!(text, "peers {listen} {each} all {} own {own} others {others}", optional(*all));
        }
    }
    let _ = writeln!(text, "grace {} ms", config.shutdown_grace.as_millis());
    text + &encode_facts(&config.settings)
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
        match FrontendConfig::read(&path) {
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
        match config.reload_baseline.reload_from_json(objects.next().expect("what is new"), variable) {
            Ok(ReloadOutcome {
                discovery_address: discovery,
                keys_needing_restart: restart,
                warnings: remarks,
            }) => {
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
            let room = ResourceLimits { memory_mb, descriptors: sockets }.capacity(others);
            let _ = write!(text, "{memory_mb} MB {sockets} sockets, {others} others: ");
            let _ = write!(text, "{} sockets {} sessions", room.descriptors, room.max_sessions);
            for beside in [0, 40, 5_000] {
                let _ = write!(text, ", {} {}", room.session_limit(beside), room.pending_limit(7, beside));
            }
            text.push('\n');
        }
    }
    transcripts::assert_written("settings/room.txt", text.as_bytes());
}

fn encode_fronts(fronts: &FrontendConfig) -> String {
    let mut text = String::new();
    match &fronts.quic {
        None => text += "no quic\n",
        Some(quic) => {
            let QuicConfig {
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
            let bytes = quic.reset_key_bytes().map(|key| transcripts::to_hex(&key));
            let _ = writeln!(text, "reset key {} bytes {}", optional(reset_key.as_ref()), optional(bytes));
        }
    }
    match &fronts.vrrp {
        None => text += "no vrrp",
        Some(vrrp) => {
            let VrrpConfig {
                virtual_router_id: router,
                priority,
                interval_ms,
                preempt,
                listen,
                peers,
                addresses,
            } = vrrp;
            let peers: String = peers.iter().map(|it| format!("[{it}]")).collect();
            let addresses: String = addresses.iter().map(|it| format!("[{it}]")).collect();
            let _ =
                writeln!(text, "vrrp {router} priority {priority} interval {interval_ms} preempt {preempt}");
            let _ = writeln!(text, "listen {listen} peers {peers} addresses {addresses}");
            let settings = vrrp.virtual_router_config();
            let _ = write!(text, "settings {} {}", settings.virtual_router_id, settings.priority);
            let _ = write!(text, " {} {}", settings.advertisement_interval, settings.preempt);
            settings.addresses.iter().for_each(|it| text += &format!(" {it}"));
        }
    }
    text
}

#[test]
fn every_key_of_the_front_ends_file_is_read() {
    assert_outcomes("settings/fronts.txt", 83, |input| match FrontendConfig::parse(input) {
        Ok(fronts) => encode_fronts(&fronts),
        Err(error) => format!("error {error}"),
    });
}

#[test]
fn the_deploy_file_is_read() {
    let fronts = FrontendConfig::parse(include_str!("../deploy/quic.toml")).expect("good");
    transcripts::assert_written("settings/deploy_quic.txt", encode_fronts(&fronts).as_bytes());
}
