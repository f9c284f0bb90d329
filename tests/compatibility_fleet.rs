//! Files, settings and texts of the fleet's parts in the daemon, against stored ones.

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

fn stored(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/compatibility/fleet").join(name);
    std::fs::read_to_string(path).unwrap_or_default()
}

/// Compares with the stored text; the first line that differs is named.
fn same_as_stored(name: &str, found: &str) {
    let stored = stored(name);
    for (number, (found, stored)) in found.lines().zip(stored.lines()).enumerate() {
        assert_eq!(found, stored, "{name}, line {}", number + 1);
    }
    if found != stored {
        let aside = std::env::temp_dir().join(format!("ashtide-compatibility-fleet-{name}"));
        std::fs::write(&aside, found).expect("written aside");
        panic!("{name} has another length, see {}", aside.display());
    }
}

/// A folder of its own, gone at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(what: &str) -> Self {
        let name = format!("ashtide-compatibility-fleet-{}-{what}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

// ---- Settings files -----------------------------------------------------------------------------------------

/// Values of all kinds that TOML has, some of which each key takes.
fn values() -> Vec<Value> {
    let text = "a = [\"\", \"off\", \"log\", \"tell\", \"use\", \"10.0.0.1:1\", \"10.0.0.1\", 0, 1, 5, 300, -1, \
                99999999999, 0.0, 0.5, 2e6, true, false, [], [\"10.0.0.1:1\"], \
                [\"10.0.0.1:1\", \"10.0.0.1:1\"], [1], {}, { x = 1 }, 1979-05-27]";
    text.parse::<Table>().expect("TOML")["a"].as_array().expect("a list").clone()
}

/// The table that holds the last word of a key's path, and that word.
fn place<'a>(table: &'a mut Table, path: &str) -> (&'a mut Table, String) {
    match path.split_once('.') {
        Some((first, rest)) => place(table[first].as_table_mut().expect("a table"), rest),
        None => (table, path.to_owned()),
    }
}

/// What `read` makes of a whole file, of one without each of its keys, and of one with each of all values there.
fn cases(whole: &str, keys: &[&str], read: impl Fn(&str) -> String) -> String {
    let mut text = format!("whole: {}\n", read(whole));
    let table: Table = whole.parse().expect("TOML");
    for key in keys {
        let mut without = table.clone();
        let (within, last) = place(&mut without, key);
        within.remove(&last);
        let _ = writeln!(text, "no {key}: {}", read(&without.to_string()));
        for value in values() {
            let mut with = table.clone();
            let (within, last) = place(&mut with, key);
            within.insert(last, value.clone());
            let _ = writeln!(text, "{key} = {value}: {}", read(&with.to_string()));
        }
        let mut unknown = table.clone();
        let (within, last) = place(&mut unknown, key);
        within.insert(format!("{last}_"), Value::Integer(1));
        let _ = writeln!(text, "unknown {key}_: {}", read(&unknown.to_string()));
    }
    for broken in ["x", "x =", "= 1", "[", "x = 1\nx = 2"] {
        let _ = writeln!(text, "broken {broken:?}: {}", read(broken).replace('\n', " / "));
    }
    text
}

fn addresses(all: &[SocketAddr]) -> String {
    all.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}

fn judging_text(judging: OutlierMode) -> &'static str {
    match judging {
        OutlierMode::Off => "off",
        OutlierMode::Report => "tell",
        OutlierMode::Enforce => "use",
    }
}

fn state_text(it: &shared_state::Settings) -> String {
    let gateways = it.gateways.as_deref().map_or("none".to_owned(), addresses);
    let judgements = judging_text(it.outlier_mode);
    format!(
        "[{gateways} {} {} {judgements} {}]",
        it.max_datagrams_per_second, it.check_invariants, it.count_connections
    )
}

fn view_text(text: &str) -> String {
    match view::Settings::parse(text) {
        Ok(it) => {
            let seeds = it.seeds.as_deref().map_or("none".to_owned(), addresses);
            let (options, state) = (it.view, it.shared_state.as_ref().map_or("none".to_owned(), state_text));
            format!(
                "{} {} {seeds} {} {} {} {} {state}",
                it.listen,
                it.public,
                options.fleet_id,
                options.expected_members,
                options.datagrams_per_second,
                options.burst
            )
        }
        Err(why) => why.with_help(),
    }
}

const VIEW: &str = r#"
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
fn the_views_file_is_read_the_same() {
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
    let mut text = cases(VIEW, &keys, view_text);
    let told = |it: Result<String, view::ViewError>| it.unwrap_or_else(view::ViewError::with_help);
    let slots_text = |it: GatewaySlots| format!("{} of {}", it.own().0, it.len());
    let peers: Vec<SocketAddr> = ["127.0.0.1:9", "127.0.0.2:9"].map(|it| it.parse().expect("one")).into();
    let plain = view::Settings::parse("listen = \"127.0.0.2:7946\"\ntier = 1\n").expect("good");
    let whole = view::Settings::parse(VIEW).expect("good");
    for (name, settings) in [("plain", &plain), ("whole", &whole)] {
        let alone = Vec::from(&peers[..1]);
        for (by, peers) in [("nobody", None), ("peers", Some(peers.clone())), ("others", Some(alone))] {
            let slots = settings.gateway_slots(peers.as_deref()).map(slots_text);
            let _ = writeln!(text, "{name} slots by {by}: {}", told(slots));
            let seeds = settings.seeds_or_peers(peers).map(|it| addresses(&it));
            let _ = writeln!(text, "{name} seeds by {by}: {}", told(seeds));
        }
    }
    let twice =
        GatewaySlots::new(vec![peers[0], peers[0]], peers[0]).map(slots_text).map_err(view::ViewError::from);
    let _ = writeln!(text, "twice: {}", told(twice));
    let many = (0..=shared_state::MAX_GATEWAYS as u16).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let _ = writeln!(
        text,
        "many: {}",
        told(GatewaySlots::new(many.collect(), peers[0]).map(slots_text).map_err(view::ViewError::from))
    );
    let missing = view::Settings::read(Path::new("/nowhere/view.toml")).map(|_| String::new());
    let _ = writeln!(text, "missing: {}", told(missing));
    let _ = writeln!(text, "schema: {}", view::schema());
    for name in ["s-1", "north", ""] {
        let _ = writeln!(text, "key of {name:?}: {:08x}", name_hash(name));
    }
    same_as_stored("view-settings.txt", &text);
}

const QUOTA: &str = r#"
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

fn quota_text(text: &str) -> String {
    let customers =
        [TenantQuota { name: "east".to_owned(), connections_per_second: 3.0, max_open_connections: Some(4) }];
    match quota::Settings::parse(text, &customers) {
        Ok(it) => {
            let partner = |it: &TenantQuota| {
                let connections = it.max_open_connections.map_or("none".to_owned(), |it| it.to_string());
                format!("{} {} {connections}", it.name, it.connections_per_second)
            };
            let partners: Vec<String> = it.partners.iter().map(partner).collect();
            let split = it.allocation(9);
            let usage = |usage: BudgetKind| match usage {
                BudgetKind::Rate { burst } => format!("pace {}", burst.as_millis()),
                BudgetKind::Concurrency => "hold".to_owned(),
            };
            let totals = split.totals.iter().map(|(id, it)| format!("{id:08x} {} {}", it.0, usage(it.1)));
            format!(
                "{} {} {} {} {} {} [{}] {} {} {} [{}] {:x}",
                it.generation,
                it.operator_confirmed,
                it.floor_permille,
                it.burst.as_millis(),
                it.max_wait.as_millis(),
                it.allow_borrowing,
                partners.join(", "),
                split.generation,
                split.slot_count,
                split.floor_permille,
                totals.collect::<Vec<_>>().join(", "),
                split.digest()
            )
        }
        Err(why) => why.with_help(),
    }
}

#[test]
fn the_quotas_file_is_read_the_same() {
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
    let mut text = cases(QUOTA, &keys, quota_text);
    let none = quota::Settings::parse("generation = 1", &[]).err().map(quota::QuotaError::with_help);
    let _ = writeln!(text, "nobody: {}", none.unwrap_or_default());
    let missing = quota::Settings::read(Path::new("/nowhere/quota.toml"), &[]).err();
    let _ = writeln!(text, "missing: {}", missing.map(quota::QuotaError::with_help).unwrap_or_default());
    let _ = writeln!(text, "alone: {}", quota::QuotaError::NoSharedState.with_help());
    let _ = writeln!(text, "schema: {}", quota::schema());
    same_as_stored("quota-settings.txt", &text);
}

const MAINTENANCE: &str = r#"
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

fn maintenance_text(text: &str) -> String {
    let ms = |it: Duration| it.as_millis();
    let slots = |all: &[Slot]| all.iter().map(|it| it.0.to_string()).collect::<Vec<_>>().join(",");
    match maintenance::Settings::parse(text) {
        Ok(it) => {
            let (rules, terms) = (it.replica.limits, it.replica.timing);
            format!(
                "{} {} {} tier {} own {} members {} voters {} rules {} {} {} terms {} {} {} {} {} {} {} {}",
                it.listen,
                addresses(&it.gateways),
                it.state_directory.display(),
                it.replica.fleet_id,
                it.replica.own_slot.0,
                slots(&it.replica.members),
                slots(&it.replica.acceptors),
                rules.max_servers_out,
                rules.max_gateways_out,
                rules.min_ready_servers,
                ms(terms.lease),
                ms(terms.margin),
                ms(terms.proposal_timeout),
                ms(terms.read_interval),
                ms(terms.takeover_step),
                ms(terms.max_drain),
                ms(terms.max_work),
                terms.return_when_drained
            )
        }
        Err(why) => why.with_help(),
    }
}

#[test]
fn the_file_of_maintenance_is_read_the_same() {
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
    let mut text = cases(MAINTENANCE, &keys, maintenance_text);
    let missing = maintenance::Settings::read(Path::new("/nowhere/maintenance.toml")).err();
    let told = missing.map(maintenance::MaintenanceError::with_help).unwrap_or_default();
    let _ = writeln!(text, "missing: {told}");
    let settings = maintenance::Settings::parse(MAINTENANCE).expect("good");
    for name in ["127.0.0.4:7947", "127.0.0.9:7947", "s-1"] {
        let kind = match settings.machine_kind(name) {
            MachineKind::Server => "server",
            MachineKind::Gateway => "gateway",
        };
        let _ = writeln!(text, "{name} is a {kind}");
    }
    let _ = writeln!(text, "schema: {}", maintenance::schema());
    same_as_stored("maintenance-settings.txt", &text);
}

// ---- Files --------------------------------------------------------------------------------------------------

fn kept() -> PersistedAllocation {
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
        roots: roots.into(),
    }
}

#[test]
fn what_a_gateway_has_promised_is_on_disk_the_same() {
    let written = serde_json::to_string(&kept()).expect("JSON");
    same_as_stored("promise.json", &written);
    assert_eq!(serde_json::from_str::<PersistedAllocation>(&stored("promise.json")).expect("JSON"), kept());
    let spaced =
        stored("promise.json").replace(',', " ,\n").replace("{\"generation", "{\"new\":1, \"generation");
    assert_eq!(serde_json::from_str::<PersistedAllocation>(&spaced).expect("JSON"), kept());
    let mut text = String::new();
    for (what, with) in [
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
        let why = serde_json::from_str::<PersistedAllocation>(&written.replacen(what, with, 1)).err();
        let _ = writeln!(text, "{what} -> {with}: {}", why.map_or("read".to_owned(), |it| it.to_string()));
    }
    same_as_stored("promise-errors.txt", &text);
}

/// What is on disk after a start with this file there, and what the quotas' text begins with.
fn quota_start(folder: &Path, before: Option<&str>, generation: u32) -> (String, String) {
    let place = StateFolder::for_gateway(folder, "n 0");
    let path = place.file_path("quota");
    let _ = std::fs::remove_file(&path);
    if let Some(before) = before {
        std::fs::write(&path, before).expect("written");
    }
    let gateways: Vec<SocketAddr> = (1..=3).map(|it| SocketAddr::from(([127, 0, 0, it], 7946))).collect();
    let slots = GatewaySlots::new(gateways.clone(), gateways[1]).expect("its own is among them");
    let text = format!("generation = {generation}\n[partners.a]\nper_s = 30\nconnections = 90\n");
    let settings = quota::Settings::parse(&text, &[]).expect("good");
    let shared = Arc::new(driver::shared_state::SharedState::default());
    let view = view::Settings::parse(VIEW).expect("good");
    let hub_settings = view.shared_state.expect("a table");
    let desk = driver::quota::QuotaService::new(settings, &slots, shared.clone(), Some(&place));
    let alone = desk.status_text().lines().next().unwrap_or_default().to_owned();
    assert_eq!(alone, "alone");
    shared.start(|now| GatewayState::new(hub_settings, 7, slots, 100, 1, now));
    desk.tick();
    let first = desk.status_text().lines().next().unwrap_or_default().to_owned();
    (std::fs::read_to_string(&path).unwrap_or_default(), first)
}

#[test]
fn the_quotas_file_on_disk_is_written_and_read_the_same() {
    let folder = Folder::new("quota");
    let mut text = String::new();
    let mut note = |name: &str, before: Option<&str>, generation| {
        let (after, first) = quota_start(&folder.0, before, generation);
        let _ = writeln!(text, "{name}: {after}\n{name}: {first}");
        after
    };
    let written = note("first", None, 1);
    note("same", Some(&written), 1);
    note("later", Some(&written), 2);
    note("unknown", None, 2);
    note("older", Some(&written.replacen("\"generation\":1", "\"generation\":9", 1)), 1);
    note("torn", Some(&written[..20]), 1);
    note("empty", Some(""), 1);
    let names = std::fs::read_dir(&folder.0).expect("a folder");
    let mut names: Vec<String> =
        names.map(|it| it.expect("a file").file_name().to_string_lossy().into_owned()).collect();
    names.sort();
    let _ = writeln!(text, "names: {}", names.join(" "));
    same_as_stored("quota-disk.txt", &text);
}

#[tokio::test]
async fn the_file_that_tells_lives_apart_is_written_and_read_the_same() {
    let folder = Folder::new("lives");
    let path = StateFolder::for_gateway(&folder.0, "n0").file_path("generation");
    assert_eq!(path.file_name().and_then(|it| it.to_str()), Some("ashtide.n0.generation"));
    for (before, expected) in [
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
        if let Some(before) = before {
            std::fs::write(&path, before).expect("written");
        }
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let listen = socket.local_addr().expect("its address");
        drop(socket);
        let text = format!("listen = \"{listen}\"\ntier = 7\nseeds = []\n");
        let settings = view::Settings::parse(&text).expect("good");
        let (board, (stop, stopped)) =
            (Arc::new(driver::view::SharedView::default()), tokio::sync::watch::channel(false));
        let lives = driver::view::IncarnationStore::new(Some(&folder.0), "n0");
        let running =
            tokio::spawn(driver::view::run(settings, Vec::new(), lives, board.clone(), None, stopped));
        while board.members_text().is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let after = std::fs::read_to_string(&path).expect("a file");
        let members = board.members_text().expect("a view");
        assert_eq!(members, format!("{listen} self generation={after}"), "{before:?}");
        match expected {
            Some(expected) => assert_eq!(after, expected, "{before:?}"),
            None => {
                let now: u64 = after.strip_suffix('\n').and_then(|it| it.parse().ok()).expect("a number");
                assert!((1_600_000_000_000..10_000_000_000_000).contains(&now), "{before:?}: {after}");
            }
        }
        stop.send(true).expect("it runs");
        running.await.expect("it ends");
    }
}

// ---- What the admin endpoint shows ----------------------------------------------------------------------------

#[test]
fn the_view_is_shown_the_same() {
    let mut text = String::new();
    let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], 9_000 + number));
    let mut fleets: Vec<Membership> = (0..4)
        .map(|number| {
            let seeds = vec![address(0)];
            let options =
                ViewConfig { fleet_id: 7, expected_members: 4, datagrams_per_second: 24, burst: 48 };
            Membership::new(options, address(number), 1_000, seeds, number.into(), Duration::ZERO)
        })
        .collect();
    for step in 0..1_000_u64 {
        let now = Duration::from_millis(step * 20);
        // One is killed, and another leaves.
        let there = |at: usize| !(at == 3 && step >= 300 || at == 2 && step > 501);
        for at in (0..fleets.len()).filter(|&at| there(at)) {
            if at == 2 && step == 500 {
                fleets[at].leave(now);
            }
            if fleets[at].next_timeout().is_some_and(|due| due <= now) {
                fleets[at].handle_timeout(now);
            }
            while let Some((to, datagram)) = fleets[at].next_datagram() {
                let to = usize::from(to.port() - 9_000);
                if there(to) {
                    let _ = fleets[to].handle_datagram(now, &datagram);
                }
            }
        }
        if step == 700 {
            // As each of another tier, another version, or none is.
            for bytes in [&[][..], &[0x41; 20], &[0x42; 20]] {
                assert!(fleets[0].handle_datagram(now, bytes).is_err());
            }
        }
        if [100, 330, 450, 999].contains(&step) {
            let _ =
                writeln!(text, "{}\n{}", view::members_text(&fleets[0], now), view::metrics_text(&fleets[0]));
        }
    }
    let life = [
        view::next_incarnation(50, None),
        view::next_incarnation(50, Some(20)),
        view::next_incarnation(50, Some(70)),
    ];
    let _ = writeln!(text, "lives {} {} {}", life[0], life[1], life[2]);
    same_as_stored("view-text.txt", &text);
}

fn pass(hubs: &mut [GatewayState], gateways: &[SocketAddr], now: Duration) {
    for hub in hubs.iter_mut() {
        hub.advance_to(now);
    }
    for from in 0..hubs.len() {
        while let Some((to, datagram)) = hubs[from].next_datagram() {
            let to = gateways.iter().position(|&it| it == to).expect("a gateway");
            hubs[to].handle_datagram(gateways[from], &datagram).expect("sound");
        }
    }
}

#[test]
fn what_is_shared_is_shown_the_same() {
    let mut text = String::new();
    let gateways: Vec<SocketAddr> = (0..3).map(|it| SocketAddr::from(([127, 0, 0, 1], 9_000 + it))).collect();
    let table = "listen = \"127.0.0.1:9000\"\ntier = 1\n[state]\njudgements = \"use\"\n";
    let settings = view::Settings::parse(table).expect("good").shared_state.expect("a table");
    let mut hubs: Vec<GatewayState> = gateways
        .iter()
        .zip(0..)
        .map(|(&own, number)| {
            let slots = GatewaySlots::new(gateways.clone(), own).expect("its own is among them");
            let mut hub = GatewayState::new(settings.clone(), 1, slots, 100 + number, number, Duration::ZERO);
            hub.set_peers(gateways.iter().copied());
            hub
        })
        .collect();
    let names = ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6"];
    for step in 1..=200_u64 {
        let now = Duration::from_millis(step * 50);
        pass(&mut hubs, &gateways, now);
        if step == 100 {
            hubs[2].exchange().add_budget(
                0xabc,
                &[(Slot(2), InitialShare { floor: 5, lendable: 7 })].into(),
                BudgetKind::Concurrency,
                true,
            );
            hubs[1].handle_new_incarnation(500);
            let stranger = "127.0.0.9:1".parse().expect("an address");
            let good = [0x53, 0, 0, 0, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 100];
            assert_eq!(hubs[0].handle_datagram(stranger, &good), Err(DecodeError::Foreign));
            assert_eq!(hubs[0].handle_datagram(gateways[1], &good[..9]), Err(DecodeError::Length));
            assert_eq!(hubs[0].handle_datagram(gateways[1], &[0x42; 15]), Err(DecodeError::Version));
            assert_eq!(hubs[0].handle_datagram(gateways[1], &[0x53; 15]), Err(DecodeError::OtherFleet));
            assert_eq!(
                hubs[0].handle_datagram(gateways[1], &[&good[..], &[0xff]].concat()),
                Err(DecodeError::Malformed)
            );
            assert_eq!(hubs[1].handle_datagram(gateways[1], &good), Err(DecodeError::Own));
        }
        if step % 5 == 0 {
            for (number, hub) in hubs.iter_mut().enumerate() {
                let sight = |seen| OutcomeReport { attempts: 4, observations: seen };
                let look = LocalObservation {
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
                        true => {
                            vec![(name_hash("s-1"), sight([4, 0, 0])), (name_hash("s-2"), sight([0, 1, 3]))]
                        }
                        false => Vec::new(),
                    },
                };
                hub.observe(now, &look);
                hub.request_totals();
            }
        }
        if [5, 60, 100, 200].contains(&step) {
            for hub in &mut hubs {
                let (shown, figures) = (hub.status_text(), hub.metrics_text());
                let _ = writeln!(text, "{shown}\n{figures}");
            }
        }
    }
    hubs[0].leave();
    let _ = writeln!(text, "{}", hubs[0].status_text());
    same_as_stored("state-text.txt", &text);
}

fn exchange_setup() -> ExchangeConfig {
    ExchangeConfig {
        fleet_id: 1,
        slot_count: 2,
        datagrams_per_second: 10,
        lease: LeaseConfig::default(),
        outlier_limits: OutlierLimits::default(),
    }
}

#[test]
fn quotas_are_shown_the_same() {
    let mut text = String::new();
    let file = "generation = 1\nborrow = true\n[partners.a]\nper_s = 10.5\nconnections = 15\n[partners.b]\nper_s = 4\n";
    let settings = quota::Settings::parse(file, &[]).expect("good");
    let mut now = Duration::from_secs(50);
    let mut exchange = Exchange::new(exchange_setup(), Slot(0), 7, 7, now);
    let mut admission = quota::Admission::new(settings.clone(), Slot(0), 2, now);
    let mut alone = admission.standalone_exchange(now);
    let _ = writeln!(text, "{}\n{}", admission.status_text(&mut alone), admission.metrics_text(&mut alone));
    admission.start_sharing(&mut exchange, None).expect("the first generation");
    let mut id = 0;
    for step in 1..=200_u32 {
        now += Duration::from_millis(50);
        exchange.advance_to(now);
        admission.advance_to(now, &mut exchange);
        if let Some(kept) = admission.allocation_to_persist(&exchange) {
            admission.mark_persisted(&mut exchange, kept);
        }
        let offers: &[(&str, ConnectionKind)] = match step {
            60..100 => &[("a", ConnectionKind::New), ("nobody", ConnectionKind::New)],
            100..140 => {
                &[("a", ConnectionKind::Migrated), ("a", ConnectionKind::Retry), ("b", ConnectionKind::New)]
            }
            _ => &[],
        };
        for &(tenant, offer) in offers {
            id += 1;
            let decided = admission.admit((now, &mut exchange), RequestId(id), tenant, offer, step % 2 == 0);
            let wait = decided.err().map_or("placed".to_owned(), |it| it.as_micros().to_string());
            let _ = writeln!(text, "{step} {tenant}: {wait}");
        }
        if step == 120 {
            admission.adopt_connection(&mut exchange, RequestId(9_000), "a");
            (1..20).for_each(|id| admission.release(&mut exchange, RequestId(id)));
        }
        if step == 150 {
            let later = quota::Settings::parse(&file.replacen('1', "2", 1), &[]).expect("good");
            admission.reload(&mut exchange, later).expect("a later one");
        }
        if [60, 99, 139, 149, 199].contains(&step) {
            let (shown, figures) =
                (admission.status_text(&mut exchange), admission.metrics_text(&mut exchange));
            let _ = writeln!(text, "{shown}\n{figures}");
        }
    }
    same_as_stored("quota-text.txt", &text);
}

#[test]
fn the_queue_of_machines_is_shown_the_same() {
    let mut text = String::new();
    let file = "gateways = [\"127.0.0.1:7947\"]\nslot = 0\ntier = 1\nfolder = \"/tmp\"\nvoters = 1\nmax_out = 1\n\
                drain_s = 5\nwork_s = 10\n";
    let settings = maintenance::Settings::parse(file).expect("good");
    let mut node =
        Replica::new(settings.replica, 9, PersistedVote::Stored(AcceptorState::default()), Duration::ZERO);
    let servers = ["s-1", "s-2", "s-3"].map(str::to_owned);
    for step in 0..800_u64 {
        let now = Duration::from_millis(step * 50);
        let open = [("s-1".to_owned(), 3)].into();
        node.set_observations(Observations {
            ready_servers: servers.clone().into(),
            open_connections: open,
            present_gateways: [Slot(0)].into(),
        });
        let _ = match step {
            10 => node.request(MachineKind::Server, "s-1", "a new disk", 5_000),
            20 => node.request(MachineKind::Server, "s-2", "", 5_001),
            30 => node.request(MachineKind::Server, "s-3", "late", 5_002),
            40 => node.cancel("s-3"),
            190 => node.complete("s-1"),
            _ => None,
        };
        node.advance_to(now);
        while let Some(action) = node.next_action() {
            assert!(!matches!(action, Action::Send(..)), "it is alone");
        }
        if [5, 15, 35, 100, 150, 195, 250, 350, 799].contains(&step) {
            let _ =
                writeln!(text, "{}\n{}", maintenance::queue_text(&node), maintenance::metrics_text(&node));
        }
    }
    // Its clock is put back: what it knows is old until it has asked again.
    node.advance_to(Duration::from_secs(1));
    let _ = writeln!(text, "{}\n{}", maintenance::queue_text(&node), maintenance::metrics_text(&node));
    same_as_stored("maintenance-text.txt", &text);
}
