//! Compares the settings, state files and texts of the daemon's fleet modules (view, shared state, quotas,
//! maintenance) with stored ones, so that an incompatible change is detected.

use std::fmt::Write;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use ashtide::RequestId;
use ashtide::fleet::shared_state::{
    GatewaySlots, GatewayState, LocalObservation, OutcomeReport, OutlierMode, ServerObservation, name_hash,
};
use ashtide::fleet::{maintenance, quota, shared_state, view};
use ashtide::net::fleet as driver;
use ashtide::net::handover::StateFolder;
use ashtide::settings::TenantQuota;
use ashtide_fleet::state::{
    BudgetKind, Exchange, ExchangeConfig, InitialShare, LeaseConfig, OutlierLimits, PersistedAllocation, Slot,
};
use ashtide_fleet::{DecodeError, Membership, ViewConfig};
use ashtide_maintenance::{AcceptorState, Action, MachineKind, Observations, PersistedVote, Replica};
use ashtide_quota::ConnectionKind;
use toml::{Table, Value};

/// Returns the text of a fixture; empty if there is none.
fn fixture(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility/fleet").join(name);
    std::fs::read_to_string(path).unwrap_or_default()
}

/// Checks that the text equals the fixture. Reports the first line that differs.
fn assert_matches_fixture(name: &str, found: &str) {
    let expected = fixture(name);
    for (index, (found, expected)) in found.lines().zip(expected.lines()).enumerate() {
        assert_eq!(found, expected, "{name}, line {}", index + 1);
    }
    if found != expected {
        let found_path = std::env::temp_dir().join(format!("ashtide-compatibility-fleet-{name}"));
        std::fs::write(&found_path, found).expect("the found text is written");
        panic!("{name} differs in length from the text found, stored as {}", found_path.display());
    }
}

/// A temporary folder, removed on drop.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new(suffix: &str) -> Self {
        let name = format!("ashtide-compatibility-fleet-{}-{suffix}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the folder is created");
        Self(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

// ---- Settings files ---------------------------------------------------------------------------------------

/// Returns values of all TOML types, some of which are valid for each key.
fn sample_values() -> Vec<Value> {
    let text = "a = [\"\", \"off\", \"log\", \"tell\", \"use\", \"10.0.0.1:1\", \"10.0.0.1\", 0, 1, 5, 300, -1, \
                99999999999, 0.0, 0.5, 2e6, true, false, [], [\"10.0.0.1:1\"], \
                [\"10.0.0.1:1\", \"10.0.0.1:1\"], [1], {}, { x = 1 }, 1979-05-27]";
    text.parse::<Table>().expect("the text is TOML")["a"].as_array().expect("an array").clone()
}

/// Returns the table that contains the key at this dotted path, and the last part of the path.
fn parent_table<'a>(table: &'a mut Table, path: &str) -> (&'a mut Table, String) {
    match path.split_once('.') {
        Some((first, rest)) => parent_table(table[first].as_table_mut().expect("a table"), rest),
        None => (table, path.to_owned()),
    }
}

/// Returns the result of `parse` for a complete settings file, for variants in which each key is missing, has
/// each of the sample values or has an unknown neighbour, and for invalid TOML.
fn parse_variants(complete: &str, keys: &[&str], parse: impl Fn(&str) -> String) -> String {
    let mut text = format!("whole: {}\n", parse(complete));
    let complete: Table = complete.parse().expect("the settings are TOML");
    for key in keys {
        let mut table = complete.clone();
        let (parent, name) = parent_table(&mut table, key);
        parent.remove(&name);
        let _ = writeln!(text, "no {key}: {}", parse(&table.to_string()));
        for value in sample_values() {
            let mut table = complete.clone();
            let (parent, name) = parent_table(&mut table, key);
            parent.insert(name, value.clone());
            let _ = writeln!(text, "{key} = {value}: {}", parse(&table.to_string()));
        }
        let mut table = complete.clone();
        let (parent, name) = parent_table(&mut table, key);
        parent.insert(format!("{name}_"), Value::Integer(1));
        let _ = writeln!(text, "unknown {key}_: {}", parse(&table.to_string()));
    }
    for invalid in ["x", "x =", "= 1", "[", "x = 1\nx = 2"] {
        let _ = writeln!(text, "broken {invalid:?}: {}", parse(invalid).replace('\n', " / "));
    }
    text
}

fn addresses_text(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}

fn outlier_mode_text(mode: OutlierMode) -> &'static str {
    match mode {
        OutlierMode::Off => "off",
        OutlierMode::Report => "tell",
        OutlierMode::Enforce => "use",
    }
}

fn shared_state_settings_text(settings: &shared_state::Settings) -> String {
    let gateways = settings.gateways.as_deref().map_or("none".to_owned(), addresses_text);
    let outlier_mode = outlier_mode_text(settings.outlier_mode);
    format!(
        "[{gateways} {} {} {outlier_mode} {}]",
        settings.max_datagrams_per_second, settings.check_invariants, settings.count_connections
    )
}

fn view_settings_text(text: &str) -> String {
    match view::Settings::parse(text) {
        Ok(settings) => {
            let seeds = settings.seeds.as_deref().map_or("none".to_owned(), addresses_text);
            let config = settings.view;
            let shared_state =
                settings.shared_state.as_ref().map_or("none".to_owned(), shared_state_settings_text);
            format!(
                "{} {} {seeds} {} {} {} {} {shared_state}",
                settings.listen,
                settings.public,
                config.fleet_id,
                config.expected_members,
                config.datagrams_per_second,
                config.burst
            )
        }
        Err(error) => error.with_help(),
    }
}

const VIEW_SETTINGS: &str = r#"
listen = "127.0.0.1:7946"
public = "127.0.0.2:7947"
seeds = ["127.0.0.3:1", "[::1]:2"]
tier = 77
size = 10
datagrams_per_s = 100
burst = 200
[state]
gateways = ["127.0.0.1:7946", "127.0.0.2:7947"]
datagrams_per_s = 50
check = "log"
judgements = "use"
counts = false
"#;

#[test]
fn view_settings_are_parsed_as_in_the_fixture() {
    let keys = [
        "listen",
        "public",
        "seeds",
        "tier",
        "size",
        "datagrams_per_s",
        "burst",
        "state.gateways",
        "state.datagrams_per_s",
        "state.check",
        "state.judgements",
        "state.counts",
        "state",
    ];
    let mut text = parse_variants(VIEW_SETTINGS, &keys, view_settings_text);
    let result_text =
        |result: Result<String, view::ViewError>| result.unwrap_or_else(view::ViewError::with_help);
    let slots_text = |slots: GatewaySlots| format!("{} of {}", slots.own().0, slots.len());
    let peers: Vec<SocketAddr> =
        ["127.0.0.1:9", "127.0.0.2:9"].map(|peer| peer.parse().expect("a socket address")).into();
    let minimal = "listen = \"127.0.0.2:7946\"\ntier = 1\n";
    let minimal = view::Settings::parse(minimal).expect("the settings are valid");
    let complete = view::Settings::parse(VIEW_SETTINGS).expect("the settings are valid");
    for (name, settings) in [("plain", &minimal), ("whole", &complete)] {
        let first_peer = Vec::from(&peers[..1]);
        for (by, peers) in [("nobody", None), ("peers", Some(peers.clone())), ("others", Some(first_peer))] {
            let slots = settings.gateway_slots(peers.as_deref()).map(slots_text);
            let _ = writeln!(text, "{name} slots by {by}: {}", result_text(slots));
            let seeds = settings.seeds_or_peers(peers).map(|seeds| addresses_text(&seeds));
            let _ = writeln!(text, "{name} seeds by {by}: {}", result_text(seeds));
        }
    }
    let slots_result = |gateways: Vec<SocketAddr>| {
        result_text(GatewaySlots::new(gateways, peers[0]).map(slots_text).map_err(view::ViewError::from))
    };
    let _ = writeln!(text, "twice: {}", slots_result(vec![peers[0], peers[0]]));
    let too_many =
        (0..=shared_state::MAX_GATEWAYS as u16).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let _ = writeln!(text, "many: {}", slots_result(too_many.collect()));
    let missing = view::Settings::read(Path::new("/nowhere/view.toml")).map(|_| String::new());
    let _ = writeln!(text, "missing: {}", result_text(missing));
    let _ = writeln!(text, "schema: {}", view::schema());
    for name in ["s-1", "north", ""] {
        let _ = writeln!(text, "key of {name:?}: {:08x}", name_hash(name));
    }
    assert_matches_fixture("view-settings.txt", &text);
}

const QUOTA_SETTINGS: &str = r#"
generation = 7
vouched = true
reserve = 250
burst_ms = 1500
max_wait_ms = 900
borrow = true
[partners.north]
per_s = 24.5
connections = 120
[partners.south]
per_s = 12
"#;

fn quota_settings_text(text: &str) -> String {
    let tenants =
        [TenantQuota { name: "east".to_owned(), connections_per_second: 3.0, max_open_connections: Some(4) }];
    match quota::Settings::parse(text, &tenants) {
        Ok(settings) => {
            let partner_text = |partner: &TenantQuota| {
                let connections =
                    partner.max_open_connections.map_or("none".to_owned(), |count| count.to_string());
                format!("{} {} {connections}", partner.name, partner.connections_per_second)
            };
            let partners: Vec<String> = settings.partners.iter().map(partner_text).collect();
            let allocation = settings.allocation(9);
            let kind_text = |kind: BudgetKind| match kind {
                BudgetKind::Rate { burst } => format!("pace {}", burst.as_millis()),
                BudgetKind::Concurrency => "hold".to_owned(),
            };
            let totals = allocation
                .totals
                .iter()
                .map(|(id, &(units, kind))| format!("{id:08x} {units} {}", kind_text(kind)));
            format!(
                "{} {} {} {} {} {} [{}] {} {} {} [{}] {:x}",
                settings.generation,
                settings.operator_confirmed,
                settings.floor_permille,
                settings.burst.as_millis(),
                settings.max_wait.as_millis(),
                settings.allow_borrowing,
                partners.join(", "),
                allocation.generation,
                allocation.slot_count,
                allocation.floor_permille,
                totals.collect::<Vec<_>>().join(", "),
                allocation.digest()
            )
        }
        Err(error) => error.with_help(),
    }
}

#[test]
fn quota_settings_are_parsed_as_in_the_fixture() {
    let keys = [
        "generation",
        "vouched",
        "reserve",
        "burst_ms",
        "max_wait_ms",
        "borrow",
        "partners.north.per_s",
        "partners.north.connections",
        "partners.north",
        "partners",
    ];
    let mut text = parse_variants(QUOTA_SETTINGS, &keys, quota_settings_text);
    let without_partners =
        quota::Settings::parse("generation = 1", &[]).err().map(quota::QuotaError::with_help);
    let _ = writeln!(text, "nobody: {}", without_partners.unwrap_or_default());
    let missing = quota::Settings::read(Path::new("/nowhere/quota.toml"), &[]).err();
    let _ = writeln!(text, "missing: {}", missing.map(quota::QuotaError::with_help).unwrap_or_default());
    let _ = writeln!(text, "alone: {}", quota::QuotaError::NoSharedState.with_help());
    let _ = writeln!(text, "schema: {}", quota::schema());
    assert_matches_fixture("quota-settings.txt", &text);
}

const MAINTENANCE_SETTINGS: &str = r#"
listen = "127.0.0.9:7947"
gateways = ["127.0.0.1:7947", "127.0.0.2:7947", "127.0.0.3:7947", "127.0.0.4:7947", "127.0.0.5:7947"]
slot = 1
tier = 77
folder = "/var/lib/ashtide"
voters = 3
max_out = 2
max_gateways = 1
floor = 3
lease_s = 7
drain_s = 61
work_s = 3601
"#;

fn maintenance_settings_text(text: &str) -> String {
    let ms = |duration: Duration| duration.as_millis();
    let slots_text =
        |slots: &[Slot]| slots.iter().map(|slot| slot.0.to_string()).collect::<Vec<_>>().join(",");
    match maintenance::Settings::parse(text) {
        Ok(settings) => {
            let config = settings.replica;
            let (limits, timing) = (config.limits, config.timing);
            format!(
                "{} {} {} tier {} own {} members {} voters {} rules {} {} {} terms {} {} {} {} {} {} {} {}",
                settings.listen,
                addresses_text(&settings.gateways),
                settings.state_directory.display(),
                config.fleet_id,
                config.own_slot.0,
                slots_text(&config.members),
                slots_text(&config.acceptors),
                limits.max_servers_out,
                limits.max_gateways_out,
                limits.min_ready_servers,
                ms(timing.lease),
                ms(timing.margin),
                ms(timing.proposal_timeout),
                ms(timing.read_interval),
                ms(timing.takeover_step),
                ms(timing.max_drain),
                ms(timing.max_work),
                timing.return_when_drained
            )
        }
        Err(error) => error.with_help(),
    }
}

#[test]
fn maintenance_settings_are_parsed_as_in_the_fixture() {
    let keys = [
        "listen",
        "gateways",
        "slot",
        "tier",
        "folder",
        "voters",
        "max_out",
        "max_gateways",
        "floor",
        "lease_s",
        "drain_s",
        "work_s",
    ];
    let mut text = parse_variants(MAINTENANCE_SETTINGS, &keys, maintenance_settings_text);
    let missing = maintenance::Settings::read(Path::new("/nowhere/maintenance.toml")).err();
    let missing = missing.map(maintenance::MaintenanceError::with_help).unwrap_or_default();
    let _ = writeln!(text, "missing: {missing}");
    let settings = maintenance::Settings::parse(MAINTENANCE_SETTINGS).expect("the settings are valid");
    for name in ["127.0.0.4:7947", "127.0.0.9:7947", "s-1"] {
        let kind = match settings.machine_kind(name) {
            MachineKind::Server => "server",
            MachineKind::Gateway => "gateway",
        };
        let _ = writeln!(text, "{name} is a {kind}");
    }
    let _ = writeln!(text, "schema: {}", maintenance::schema());
    assert_matches_fixture("maintenance-settings.txt", &text);
}

// ---- State files ------------------------------------------------------------------------------------------

fn sample_allocation() -> PersistedAllocation {
    let roots = [
        (1, InitialShare { floor: 10, lendable: 0 }),
        (u32::MAX, InitialShare { floor: 0, lendable: 70_000 }),
    ];
    PersistedAllocation {
        generation: 7,
        digest: u64::MAX,
        agreed: false,
        slots: 300,
        listed: true,
        active_shares: roots.into(),
    }
}

#[test]
fn the_persisted_allocation_is_encoded_as_in_the_fixture() {
    let parse = |text: &str| serde_json::from_str::<PersistedAllocation>(text);
    let encoded = serde_json::to_string(&sample_allocation()).expect("the allocation is encoded");
    assert_matches_fixture("promise.json", &encoded);
    let stored = fixture("promise.json");
    assert_eq!(parse(&stored).expect("the fixture is valid"), sample_allocation());
    // White space and unknown keys are accepted.
    let reformatted = stored.replace(',', " ,\n").replace("{\"generation", "{\"new\":1, \"generation");
    assert_eq!(parse(&reformatted).expect("the reformatted text is valid"), sample_allocation());
    let mut text = String::new();
    for (from, to) in [
        ("\"generation\":7,", ""),
        (",\"digest\":18446744073709551615", ""),
        (",\"agreed\":false", ""),
        (",\"slots\":300", ""),
        (",\"listed\":true", ""),
        ("\"floor\":10,", ""),
        (",\"lendable\":0", ""),
        ("7", "-7"),
        ("false", "0"),
        ("300", "70000"),
        ("\"1\"", "\"x\""),
        ("}}}", "}}"),
    ] {
        let error = parse(&encoded.replacen(from, to, 1)).err();
        let result = error.map_or("read".to_owned(), |error| error.to_string());
        let _ = writeln!(text, "{from} -> {to}: {result}");
    }
    assert_matches_fixture("promise-errors.txt", &text);
}

/// Starts the quotas with this state file, or none. Returns the state file after the start and the first line
/// of the quotas' status.
fn start_quota(folder: &Path, state_file: Option<&str>, generation: u32) -> (String, String) {
    let folder = StateFolder::for_gateway(folder, "n 0");
    let path = folder.file_path("quota");
    let _ = std::fs::remove_file(&path);
    if let Some(state_file) = state_file {
        std::fs::write(&path, state_file).expect("the state file is written");
    }
    let gateways: Vec<SocketAddr> = (1..=3).map(|host| SocketAddr::from(([127, 0, 0, host], 7946))).collect();
    let slots = GatewaySlots::new(gateways.clone(), gateways[1]).expect("the slots are valid");
    let text = format!("generation = {generation}\n[partners.a]\nper_s = 30\nconnections = 90\n");
    let settings = quota::Settings::parse(&text, &[]).expect("the settings are valid");
    let shared_state = Arc::new(driver::shared_state::SharedState::default());
    let view = view::Settings::parse(VIEW_SETTINGS).expect("the settings are valid");
    let state_settings = view.shared_state.expect("the settings have a state table");
    let service = driver::quota::QuotaService::new(settings, &slots, shared_state.clone(), Some(&folder));
    let first_line = || service.status_text().lines().next().unwrap_or_default().to_owned();
    // Without the shared state, the gateway uses its own floors.
    assert_eq!(first_line(), "alone");
    shared_state.start(|now| GatewayState::new(state_settings, 7, slots, 100, 1, now));
    service.tick();
    let status = first_line();
    (std::fs::read_to_string(&path).unwrap_or_default(), status)
}

#[test]
fn the_quota_state_file_is_written_and_read_as_in_the_fixture() {
    let folder = TemporaryFolder::new("quota");
    let mut text = String::new();
    let mut record_start = |name: &str, state_file: Option<&str>, generation| {
        let (written, status) = start_quota(&folder.0, state_file, generation);
        let _ = writeln!(text, "{name}: {written}\n{name}: {status}");
        written
    };
    let written = record_start("first", None, 1);
    record_start("same", Some(&written), 1);
    record_start("later", Some(&written), 2);
    record_start("unknown", None, 2);
    record_start("older", Some(&written.replacen("\"generation\":1", "\"generation\":9", 1)), 1);
    record_start("torn", Some(&written[..20]), 1);
    record_start("empty", Some(""), 1);
    let entries = std::fs::read_dir(&folder.0).expect("the folder is readable");
    let mut names: Vec<String> = entries
        .map(|entry| entry.expect("the entry is readable").file_name().to_string_lossy().into_owned())
        .collect();
    names.sort();
    let _ = writeln!(text, "names: {}", names.join(" "));
    assert_matches_fixture("quota-disk.txt", &text);
}

#[tokio::test]
async fn the_incarnation_file_is_written_and_read_in_the_stored_format() {
    let folder = TemporaryFolder::new("incarnations");
    let path = StateFolder::for_gateway(&folder.0, "n0").file_path("generation");
    assert_eq!(path.file_name().and_then(|name| name.to_str()), Some("ashtide.n0.generation"));
    // If the stored incarnation is earlier than the clock, invalid or missing, the new one is the clock's
    // time.
    for (stored, expected) in [
        (Some("99999999999999\n"), Some("100000000000000\n")),
        (Some("99999999999999"), Some("100000000000000\n")),
        (Some(" 99999999999999 \n\n"), Some("100000000000000\n")),
        (Some("18446744073709551615\n"), Some("18446744073709551615\n")),
        (Some("1\n"), None),
        (Some("-5\n"), None),
        (Some("later\n"), None),
        (Some(""), None),
        (None, None),
    ] {
        let _ = std::fs::remove_file(&path);
        if let Some(stored) = stored {
            std::fs::write(&path, stored).expect("the file is written");
        }
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        let listen = socket.local_addr().expect("a bound socket has an address");
        drop(socket);
        let text = format!("listen = \"{listen}\"\ntier = 7\nseeds = []\n");
        let settings = view::Settings::parse(&text).expect("the settings are valid");
        let shared_view = Arc::new(driver::view::SharedView::default());
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let incarnations = driver::view::IncarnationStore::new(Some(&folder.0), "n0");
        let run = driver::view::run(settings, Vec::new(), incarnations, shared_view.clone(), None, stopped);
        let driver_task = tokio::spawn(run);
        while shared_view.members_text().is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let written = std::fs::read_to_string(&path).expect("the file is readable");
        let members = shared_view.members_text().expect("the view has started");
        assert_eq!(members, format!("{listen} self generation={written}"), "{stored:?}");
        match expected {
            Some(expected) => assert_eq!(written, expected, "{stored:?}"),
            None => {
                let number = written.strip_suffix('\n').and_then(|line| line.parse().ok());
                let incarnation: u64 = number.expect("the file contains a number and a line break");
                assert!(
                    (1_600_000_000_000..10_000_000_000_000).contains(&incarnation),
                    "{stored:?}: {written}, expected the time in milliseconds"
                );
            }
        }
        stop.send(true).expect("the driver runs");
        driver_task.await.expect("the driver ends");
    }
}

// ---- Texts of the admin endpoint --------------------------------------------------------------------------

#[test]
fn view_texts_match_the_fixture() {
    let mut text = String::new();
    let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], 9_000 + number));
    let mut memberships: Vec<Membership> = (0..4)
        .map(|number| {
            let seeds = vec![address(0)];
            let config = ViewConfig { fleet_id: 7, expected_members: 4, datagrams_per_second: 24, burst: 48 };
            Membership::new(config, address(number), 1_000, seeds, number.into(), Duration::ZERO)
        })
        .collect();
    for step in 0..1_000_u64 {
        let now = Duration::from_millis(step * 20);
        // Gateway 3 is killed, and gateway 2 leaves.
        let is_running = |gateway: usize| !(gateway == 3 && step >= 300 || gateway == 2 && step > 501);
        for gateway in (0..memberships.len()).filter(|&gateway| is_running(gateway)) {
            if gateway == 2 && step == 500 {
                memberships[gateway].leave(now);
            }
            if memberships[gateway].next_timeout().is_some_and(|timeout| timeout <= now) {
                memberships[gateway].handle_timeout(now);
            }
            while let Some((to, datagram)) = memberships[gateway].next_datagram() {
                let to = usize::from(to.port() - 9_000);
                if is_running(to) {
                    let _ = memberships[to].handle_datagram(now, &datagram);
                }
            }
        }
        if step == 700 {
            // An empty datagram, one of another version and one of another fleet are rejected.
            for bytes in [&[][..], &[0x41; 20], &[0x42; 20]] {
                assert!(memberships[0].handle_datagram(now, bytes).is_err());
            }
        }
        if [100, 330, 450, 999].contains(&step) {
            let members = view::members_text(&memberships[0], now);
            let _ = writeln!(text, "{members}\n{}", view::metrics_text(&memberships[0]));
        }
    }
    let incarnations = [None, Some(20), Some(70)].map(|previous| view::next_incarnation(50, previous));
    let _ = writeln!(text, "lives {} {} {}", incarnations[0], incarnations[1], incarnations[2]);
    assert_matches_fixture("view-text.txt", &text);
}

/// Advances the states of all gateways and delivers their datagrams.
fn exchange_datagrams(states: &mut [GatewayState], gateways: &[SocketAddr], now: Duration) {
    for state in states.iter_mut() {
        state.advance_to(now);
    }
    for from in 0..states.len() {
        while let Some((to, datagram)) = states[from].next_datagram() {
            let to = gateways.iter().position(|&gateway| gateway == to).expect("the receiver is a gateway");
            states[to].handle_datagram(gateways[from], &datagram).expect("the datagram is valid");
        }
    }
}

/// Checks that each kind of invalid datagram is rejected with its own error.
fn assert_invalid_datagrams_are_rejected(states: &mut [GatewayState], gateways: &[SocketAddr]) {
    let unknown_address = "127.0.0.9:1".parse().expect("a socket address");
    let valid = [0x53, 0, 0, 0, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 100];
    assert_eq!(states[0].handle_datagram(unknown_address, &valid), Err(DecodeError::Foreign));
    assert_eq!(states[0].handle_datagram(gateways[1], &valid[..9]), Err(DecodeError::Length));
    assert_eq!(states[0].handle_datagram(gateways[1], &[0x42; 15]), Err(DecodeError::Version));
    assert_eq!(states[0].handle_datagram(gateways[1], &[0x53; 15]), Err(DecodeError::OtherFleet));
    assert_eq!(
        states[0].handle_datagram(gateways[1], &[&valid[..], &[0xff]].concat()),
        Err(DecodeError::Malformed)
    );
    assert_eq!(states[1].handle_datagram(gateways[1], &valid), Err(DecodeError::Own));
}

#[test]
fn shared_state_texts_match_the_fixture() {
    let mut text = String::new();
    let gateways: Vec<SocketAddr> =
        (0..3).map(|number| SocketAddr::from(([127, 0, 0, 1], 9_000 + number))).collect();
    let view = "listen = \"127.0.0.1:9000\"\ntier = 1\n[state]\njudgements = \"use\"\n";
    let view = view::Settings::parse(view).expect("the settings are valid");
    let settings = view.shared_state.expect("the settings have a state table");
    let mut states: Vec<GatewayState> = gateways
        .iter()
        .zip(0..)
        .map(|(&own, number)| {
            let slots = GatewaySlots::new(gateways.clone(), own).expect("the slots are valid");
            let mut state =
                GatewayState::new(settings.clone(), 1, slots, 100 + number, number, Duration::ZERO);
            state.set_peers(gateways.iter().copied());
            state
        })
        .collect();
    let names = ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6"];
    for step in 1..=200_u64 {
        let now = Duration::from_millis(step * 50);
        exchange_datagrams(&mut states, &gateways, now);
        if step == 100 {
            states[2].exchange().add_budget(
                0xabc,
                &[(Slot(2), InitialShare { floor: 5, lendable: 7 })].into(),
                BudgetKind::Concurrency,
                true,
            );
            states[1].handle_new_incarnation(500);
            assert_invalid_datagrams_are_rejected(&mut states, &gateways);
        }
        if step % 5 == 0 {
            for (number, state) in states.iter_mut().enumerate() {
                let outcome_report = |observations| OutcomeReport { attempts: 4, observations };
                let observation = LocalObservation {
                    servers: (1..)
                        .zip(names)
                        .map(|(open, name)| ServerObservation {
                            key: name_hash(name),
                            name,
                            size: 1.5,
                            ready: name != "s-6",
                            open_connections: open * number as u32,
                        })
                        .collect(),
                    tenants: vec![("north", 2), ("south", number as u32)],
                    outcome_reports: match step > 60 {
                        true => vec![
                            (name_hash("s-1"), outcome_report([4, 0, 0])),
                            (name_hash("s-2"), outcome_report([0, 1, 3])),
                        ],
                        false => Vec::new(),
                    },
                };
                state.observe(now, &observation);
                state.request_totals();
            }
        }
        if [5, 60, 100, 200].contains(&step) {
            for state in &mut states {
                let (status, metrics) = (state.status_text(), state.metrics_text());
                let _ = writeln!(text, "{status}\n{metrics}");
            }
        }
    }
    states[0].leave();
    let _ = writeln!(text, "{}", states[0].status_text());
    assert_matches_fixture("state-text.txt", &text);
}

fn exchange_config() -> ExchangeConfig {
    ExchangeConfig {
        fleet_id: 1,
        slot_count: 2,
        datagrams_per_second: 10,
        lease: LeaseConfig::default(),
        outlier_limits: OutlierLimits::default(),
    }
}

#[test]
fn quota_texts_match_the_fixture() {
    let mut text = String::new();
    let file = "generation = 1\nborrow = true\n[partners.a]\nper_s = 10.5\nconnections = 15\n\
                [partners.b]\nper_s = 4\n";
    let settings = quota::Settings::parse(file, &[]).expect("the settings are valid");
    let mut now = Duration::from_secs(50);
    let mut exchange = Exchange::new(exchange_config(), Slot(0), 7, 7, now);
    let mut admission = quota::Admission::new(settings.clone(), Slot(0), 2, now);
    let mut standalone = admission.standalone_exchange(now);
    let (status, metrics) = (admission.status_text(&mut standalone), admission.metrics_text(&mut standalone));
    let _ = writeln!(text, "{status}\n{metrics}");
    admission.start_sharing(&mut exchange, None).expect("the generation is not stale");
    let mut request_id = 0;
    for step in 1..=200_u32 {
        now += Duration::from_millis(50);
        exchange.advance_to(now);
        admission.advance_to(now, &mut exchange);
        if let Some(allocation) = admission.allocation_to_persist(&exchange) {
            admission.mark_persisted(&mut exchange, allocation);
        }
        let connections: &[(&str, ConnectionKind)] = match step {
            60..100 => &[("a", ConnectionKind::New), ("nobody", ConnectionKind::New)],
            100..140 => {
                &[("a", ConnectionKind::Migrated), ("a", ConnectionKind::Retry), ("b", ConnectionKind::New)]
            }
            _ => &[],
        };
        for &(tenant, kind) in connections {
            request_id += 1;
            let id = RequestId(request_id);
            let admitted = admission.admit((now, &mut exchange), id, tenant, kind, step % 2 == 0);
            let result = admitted.err().map_or("placed".to_owned(), |wait| wait.as_micros().to_string());
            let _ = writeln!(text, "{step} {tenant}: {result}");
        }
        if step == 120 {
            admission.adopt_connection(&mut exchange, RequestId(9_000), "a");
            (1..20).for_each(|id| admission.release(&mut exchange, RequestId(id)));
        }
        if step == 150 {
            let next_generation = file.replacen('1', "2", 1);
            let next_settings =
                quota::Settings::parse(&next_generation, &[]).expect("the settings are valid");
            admission.reload(&mut exchange, next_settings).expect("the generation is later");
        }
        if [60, 99, 139, 149, 199].contains(&step) {
            let (status, metrics) =
                (admission.status_text(&mut exchange), admission.metrics_text(&mut exchange));
            let _ = writeln!(text, "{status}\n{metrics}");
        }
    }
    assert_matches_fixture("quota-text.txt", &text);
}

#[test]
fn maintenance_texts_match_the_fixture() {
    let mut text = String::new();
    let file = "gateways = [\"127.0.0.1:7947\"]\nslot = 0\ntier = 1\nfolder = \"/tmp\"\nvoters = 1\n\
                max_out = 1\ndrain_s = 5\nwork_s = 10\n";
    let settings = maintenance::Settings::parse(file).expect("the settings are valid");
    let mut replica =
        Replica::new(settings.replica, 9, PersistedVote::Stored(AcceptorState::default()), Duration::ZERO);
    let servers = ["s-1", "s-2", "s-3"].map(str::to_owned);
    for step in 0..800_u64 {
        let now = Duration::from_millis(step * 50);
        replica.set_observations(Observations {
            ready_servers: servers.clone().into(),
            open_connections: [("s-1".to_owned(), 3)].into(),
            present_gateways: [Slot(0)].into(),
        });
        let _ = match step {
            10 => replica.request(MachineKind::Server, "s-1", "a new disk", 5_000),
            20 => replica.request(MachineKind::Server, "s-2", "", 5_001),
            30 => replica.request(MachineKind::Server, "s-3", "late", 5_002),
            40 => replica.cancel("s-3"),
            190 => replica.complete("s-1"),
            _ => None,
        };
        replica.advance_to(now);
        while let Some(action) = replica.next_action() {
            assert!(!matches!(action, Action::Send(..)), "a single gateway sends no datagrams");
        }
        if [5, 15, 35, 100, 150, 195, 250, 350, 799].contains(&step) {
            let _ = writeln!(
                text,
                "{}\n{}",
                maintenance::queue_text(&replica),
                maintenance::metrics_text(&replica)
            );
        }
    }
    // After its clock is set back, the replica's state is out of date until it has been read from a majority
    // again.
    replica.advance_to(Duration::from_secs(1));
    let _ = writeln!(text, "{}\n{}", maintenance::queue_text(&replica), maintenance::metrics_text(&replica));
    assert_matches_fixture("maintenance-text.txt", &text);
}
