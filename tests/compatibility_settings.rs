//! Compatibility of the settings object, the configuration file, the environment variables and the deploy
//! file of the front ends: the value of every key, and the text of each error.

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

fn format_optional<T: ToString>(value: Option<T>) -> String {
    value.map_or("none".to_owned(), |value| value.to_string())
}

fn format_names(names: &Interner) -> String {
    names.names().iter().map(|name| format!("[{name}]")).collect()
}

/// Formats a class as in the fixtures.
fn format_class(class: &RequestClass) -> String {
    let RequestClass { latency_objective, message_latency_objective, priority_weight, idempotency } = class;
    let effect = match idempotency {
        Idempotency::Idempotent => "safe".to_owned(),
        Idempotency::NotIdempotent => "unsafe".to_owned(),
        Idempotency::WithKey { scope, remembered_for } => {
            let scope = match scope {
                DeduplicationScope::All => "all",
                DeduplicationScope::Zone => "zone",
                DeduplicationScope::Cell => "cell",
            };
            format!("keyed {scope} {}", micros(*remembered_for))
        }
    };
    let objectives =
        format!("aim {} message aim {}", micros(*latency_objective), micros(*message_latency_objective));
    format!("{objectives} worth {priority_weight} effect {effect}")
}

/// Formats the settings of the decision module as in the fixtures.
fn format_settings(settings: &Settings) -> String {
    let mut text = String::new();
    for class in &settings.classes {
        let _ = writeln!(text, "class {}", format_class(class));
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
    let Prices { cross_zone, health_check, migration } = settings.prices;
    let _ =
        writeln!(text, "relays {} own {} zone {}", settings.gateways, settings.gateway_id.0, settings.zone.0);
    let _ = writeln!(
        text,
        "discovery {discovery} weights {weights} by load {}",
        settings.priority_scales_with_load
    );
    let _ = writeln!(text, "prices cross zone {cross_zone} probe {health_check} moves {migration}");
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

/// Formats the settings of the platform as in the fixtures.
fn format_platform_settings(platform: &PlatformSettings) -> String {
    let names = platform.name_tables();
    let mut text = format!("zones {} kinds {}\n", format_names(&names.zones), format_names(&names.kinds));
    let _ = writeln!(text, "servers {}", format_names(&names.servers));
    let (classes, tenants) = (format_names(&names.classes), format_names(&names.tenants));
    let _ = writeln!(text, "classes {classes} tenants {tenants}");
    text += &format_settings(&platform.balancer_settings(&names));
    let _ = write!(text, "\nconnect timeout {}", micros(platform.connect_timeout()));
    let _ = write!(text, " longest deadline {}", micros(platform.longest_deadline()));
    let _ = write!(text, "\nindex {}", platform.gateway_index());
    let _ = write!(text, " may tell peers {}", platform.allows_peer_messages());
    for quota in platform.tenant_quotas() {
        let max_open_connections = format_optional(quota.max_open_connections);
        let _ = write!(text, "\nallowance {} {}", quota.name, quota.connections_per_second);
        let _ = write!(text, " {max_open_connections}");
    }
    for warning in platform.warnings() {
        let _ = write!(text, "\nremark {warning}");
    }
    text
}

#[test]
fn every_key_of_the_settings_object_is_parsed_as_recorded() {
    assert_outcomes("settings/platform.txt", 92, |input| match PlatformSettings::parse(input) {
        Ok(platform) => format_platform_settings(&platform),
        Err(error) => format!("error {error}"),
    });
}

/// Formats a configuration as in the fixtures.
fn format_config(config: &Config) -> String {
    let mut text = format!(
        "name {} listen {} discovery {}\n",
        config.name, config.listen_address, config.discovery_address
    );
    let _ = writeln!(text, "inherited {}", format_optional(config.inherited_listener));
    let state_folder = config.state_folder.as_ref().map(|folder| folder.display());
    let _ = writeln!(text, "folder {}", format_optional(state_folder));
    let _ = writeln!(text, "operator {} seed {}", format_optional(config.admin_address), config.seed);
    let ResourceLimits { memory_mb, descriptors } = config.limits;
    let _ = writeln!(text, "memory {memory_mb} sockets {descriptors}");
    match &config.initial_list {
        None => text += "no list\n",
        Some(list) => {
            let _ = writeln!(text, "list {} {}", list.index, list.snapshot);
            for entry in &list.endpoints {
                let status = match entry.status {
                    EndpointStatus::Serving => "serving",
                    EndpointStatus::Draining => "draining",
                    EndpointStatus::Deleted => "deleted",
                };
                let _ = write!(text, "{} {} [{}] [{}]", entry.name, entry.address, entry.zone, entry.kind);
                let _ = writeln!(text, " {} {status} {} {}", entry.cell, entry.weight, entry.since_ms);
            }
        }
    }
    match &config.peers {
        None => text += "no peers\n",
        Some(peers) => {
            let PeerAddresses { listen, by_index, shared, own_index } = peers;
            let by_index: String = by_index.iter().map(|address| format!("[{address}]")).collect();
            let others: String = peers.other_addresses().map(|address| format!("[{address}]")).collect();
            let shared = format_optional(*shared);
            let _ = writeln!(text, "peers {listen} {by_index} all {shared} own {own_index} others {others}");
        }
    }
    let _ = writeln!(text, "grace {} ms", config.shutdown_grace.as_millis());
    text + &format_platform_settings(&config.settings)
}

/// Splits an input into environment variables, which are lines like `NAME=value` at its start, and the rest.
fn split_environment(input: &str) -> (BTreeMap<String, String>, String) {
    let is_variable = |line: &&str| !line.starts_with(['{', '[', '"']) && line.contains('=');
    let variables = input.lines().take_while(is_variable).filter_map(|line| line.split_once('='));
    let variables: BTreeMap<_, _> =
        variables.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
    let rest = input.lines().skip(variables.len()).collect::<Vec<_>>().join("\n");
    (variables, rest)
}

#[test]
fn every_key_of_the_configuration_and_the_environment_is_parsed_as_recorded() {
    assert_outcomes("settings/configuration.txt", 85, |input| {
        let (variables, text) = split_environment(input);
        let json = serde_json::from_str(&text).expect("JSON");
        match Config::from_json(json, |name| variables.get(name).cloned()) {
            Ok(config) => format_config(&config),
            Err(error) => format!("error {error}"),
        }
    });
}

#[test]
fn a_configuration_reads_no_other_environment_variables() {
    let requested = RefCell::new(Vec::new());
    let json =
        serde_json::json!({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {}});
    let config = Config::from_json(json, |name| {
        requested.borrow_mut().push(name.to_owned());
        None
    });
    assert!(config.is_ok());
    let mut requested = requested.into_inner();
    requested.sort();
    requested.dedup();
    let variables = [
        "ROUTER_DISCOVERY",
        "ROUTER_INHERITED_FD",
        "ROUTER_LISTEN",
        "ROUTER_NAME",
        "ROUTER_OPERATOR",
        "TMPDIR",
    ];
    assert_eq!(requested, variables);
}

#[test]
fn errors_of_a_file_contain_its_path() {
    let folder = std::env::temp_dir().join(format!("ashtide-fixed-config-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("created folder");
    let path = folder.join("router.json");
    let without_path =
        |error: ConfigError| error.to_string().replace(path.to_str().expect("UTF-8 path"), "<file>");
    assert_outcomes("settings/files.txt", 13, |input| {
        let (variables, text) = split_environment(input);
        let _ = std::fs::remove_file(&path);
        if text != "no file" {
            std::fs::write(&path, text).expect("written file");
        }
        let config_path = path.to_str().expect("UTF-8 path").to_owned();
        let variable = |name: &str| match name {
            "ROUTER_CONFIG" if !variables.contains_key("NO_CONFIG") => Some(config_path.clone()),
            _ => variables.get(name).cloned(),
        };
        match Config::read(variable) {
            Ok(config) => format!("name {}", config.name),
            Err(error) => format!("error {}", without_path(error)),
        }
    });
    assert_outcomes("settings/front_files.txt", 4, |input| {
        let _ = std::fs::remove_file(&path);
        if input != "no file" {
            std::fs::write(&path, input).expect("written file");
        }
        match FrontendConfig::read(&path) {
            Ok(frontends) => format_frontends(&frontends),
            Err(error) => format!("error {}", without_path(error)),
        }
    });
    std::fs::remove_dir_all(folder).expect("removed folder");
}

/// Checks the outcomes of reloads. An input has the environment variables, a line with the object at the
/// start, and a line with the object of the reload.
#[test]
fn a_reload_reports_the_changes() {
    assert_outcomes("settings/reloads.txt", 22, |input| {
        let (variables, text) = split_environment(input);
        let variable = |name: &str| variables.get(name).cloned();
        let mut objects = text.lines().map(|line| serde_json::from_str(line).expect("JSON"));
        let initial = objects.next().expect("object at the start");
        let reloaded = objects.next().expect("object of the reload");
        let config = Config::from_json(initial, variable).expect("valid configuration");
        match config.reload_baseline.reload_from_json(reloaded, variable) {
            Ok(ReloadOutcome { discovery_address, keys_needing_restart, warnings }) => {
                let (restart, warnings) = (keys_needing_restart.join(" "), warnings.join("; "));
                format!("discovery {discovery_address}\nrestart {restart}\nremarks {warnings}")
            }
            Err(error) => format!("error {error}"),
        }
    });
}

#[test]
fn capacity_results_from_the_limits_as_recorded() {
    let mut text = String::new();
    let limits = [(0, 0), (1, 64), (192, 256), (256, 1024), (256, 100_000), (4096, 100_000)];
    for (memory_mb, descriptors) in limits {
        for other_descriptors in [0, 16, 300] {
            let capacity = ResourceLimits { memory_mb, descriptors }.capacity(other_descriptors);
            let _ = write!(text, "{memory_mb} MB {descriptors} sockets, {other_descriptors} others: ");
            let _ = write!(text, "{} sockets {} sessions", capacity.descriptors, capacity.max_sessions);
            for sibling_descriptors in [0, 40, 5_000] {
                let session_limit = capacity.session_limit(sibling_descriptors);
                let pending_limit = capacity.pending_limit(7, sibling_descriptors);
                let _ = write!(text, ", {session_limit} {pending_limit}");
            }
            text.push('\n');
        }
    }
    transcripts::assert_written("settings/room.txt", text.as_bytes());
}

/// Formats the configuration of the front ends as in the fixtures.
fn format_frontends(frontends: &FrontendConfig) -> String {
    let mut text = String::new();
    match &frontends.quic {
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
            let tenant = format_optional(tenant.as_ref());
            let _ = writeln!(text, "quic {listen} class {class} tenant {tenant} deadline {deadline_ms}");
            let _ = writeln!(text, "id length {id_length} rotation {rotation} paths {paths} idle {idle_ms}");
            let reset_key = format_optional(reset_key.as_ref());
            let key_bytes = format_optional(quic.reset_key_bytes().map(|key| transcripts::to_hex(&key)));
            let _ = writeln!(text, "reset key {reset_key} bytes {key_bytes}");
        }
    }
    match &frontends.vrrp {
        None => text += "no vrrp",
        Some(vrrp) => {
            let VrrpConfig { virtual_router_id, priority, interval_ms, preempt, listen, peers, addresses } =
                vrrp;
            let peers: String = peers.iter().map(|peer| format!("[{peer}]")).collect();
            let addresses: String = addresses.iter().map(|address| format!("[{address}]")).collect();
            let _ = write!(text, "vrrp {virtual_router_id} priority {priority}");
            let _ = writeln!(text, " interval {interval_ms} preempt {preempt}");
            let _ = writeln!(text, "listen {listen} peers {peers} addresses {addresses}");
            let settings = vrrp.virtual_router_config();
            let _ = write!(text, "settings {} {}", settings.virtual_router_id, settings.priority);
            let _ = write!(text, " {} {}", settings.advertisement_interval, settings.preempt);
            settings.addresses.iter().for_each(|address| text += &format!(" {address}"));
        }
    }
    text
}

#[test]
fn every_key_of_the_front_ends_file_is_parsed_as_recorded() {
    assert_outcomes("settings/fronts.txt", 83, |input| match FrontendConfig::parse(input) {
        Ok(frontends) => format_frontends(&frontends),
        Err(error) => format!("error {error}"),
    });
}

#[test]
fn the_example_deploy_file_is_parsed_as_recorded() {
    let frontends = FrontendConfig::parse(include_str!("../deploy/quic.toml")).expect("valid deploy file");
    transcripts::assert_written("settings/deploy_quic.txt", format_frontends(&frontends).as_bytes());
}
