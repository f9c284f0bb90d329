//! Partners' quotas on real processes, with faults between them.

mod fault_runs;

use ashtide_fault_injection::{
    Event, FaultAction, FaultPlan, FaultRun, Link, Load, ProxiedSocket, QuotaPeriod, Tenant,
    placed_connections,
};
use fault_runs::played;
use serde_json::json;

/// What the two partners may have, new connections a second.
const NORTH: f64 = 30.0;
const SOUTH: f64 = 15.0;

fn file(generation: u32, north: f64) -> String {
    format!(
        "generation = {generation}\nburst_ms = 1000\n[partners.north]\nper_s = {north}\nconnections = 60\n\
         [partners.south]\nper_s = {SOUTH}\n"
    )
}

fn held(from_ms: u64, north: f64) -> QuotaPeriod {
    QuotaPeriod { from_ms, burst_ms: 1_000, per_s: vec![north, SOUTH], open: vec![60.0] }
}

/// Six gateways in three zones; one partner offers twice its quota, the other four fifths of its own.
fn partnered(steps_until_ms: u64) -> FaultPlan {
    let view = "listen = \"{listen}\"\npublic = \"{public}\"\nseeds = {others}\ntier = 31\nsize = 6\n\
                [state]\ngateways = {peers}\ncheck = \"log\"\njudgements = \"off\"\n";
    let socket = |flag: &str, file: &str| ProxiedSocket {
        arguments: vec![flag.to_owned(), "{file}".to_owned()],
        file: file.to_owned(),
    };
    let tenant =
        |name: &str, quota_per_s| Tenant { name: name.to_owned(), quota_per_s, quota_connections: 200.0 };
    let plan = FaultPlan {
        gateways: 6,
        tenants: vec![tenant("north", NORTH), tenant("south", SOUTH)],
        stay_ms: 1_200,
        last_ms: steps_until_ms + 500,
        settle_ms: 3_000,
        keeps_files: true,
        calls: vec!["quota".to_owned()],
        config: json!({"settings": {"limits": {"retryAfter": true, "maxRetryAfter": 2.0}}}),
        quotas: vec![held(0, NORTH)],
        sockets: vec![socket("--view", view), socket("--quota", &file(1, NORTH))],
        ..FaultPlan::default()
    };
    loaded(plan, [NORTH * 2.0 / 3.0; 3], [SOUTH * 0.8 / 3.0; 3])
}

fn loaded(mut plan: FaultPlan, north: [f64; 3], south: [f64; 3]) -> FaultPlan {
    let cells = [north, south].into_iter().enumerate();
    let load = |tenant, (zone, per_s)| Load { tenant, zone, per_s };
    plan.load =
        cells.flat_map(|(tenant, all)| all.into_iter().enumerate().map(move |it| load(tenant, it))).collect();
    plan
}

fn link(from: &[usize], to: &[usize], link: Link) -> FaultAction {
    FaultAction::Link { from: from.to_vec(), to: to.to_vec(), link }
}

fn holds(plan: FaultPlan) -> FaultRun {
    let played = played(&plan);
    println!("{}", played.summary);
    if !played.violations.is_empty() {
        let timeline =
            std::env::temp_dir().join(format!("ashtide-fault-injection-quota-{}.jsonl", std::process::id()));
        let _ = std::fs::write(&timeline, played.history.to_json_lines());
        for violation in played.violations.iter().take(20) {
            println!("{violation}; {}", violation.help());
        }
        panic!("{:?}; timeline {}", played.summary.violations, timeline.display());
    }
    assert_eq!(figure(&played, "state_violations_total"), 0.0);
    played
}

/// The most that any door said.
fn figure(played: &FaultRun, name: &str) -> f64 {
    let told = |event: &Event| match event {
        Event::AdminSample { figures, .. } => figures.get(name).copied(),
        _ => None,
    };
    played.history.0.iter().filter_map(|it| told(&it.event)).fold(0.0, f64::max)
}

/// New connections a second that a partner was given from one moment to another, in seconds.
fn given(played: &FaultRun, tenant: usize, from: u64, until: u64) -> f64 {
    let all = placed_connections(&played.history);
    let within = |at: u64| (from * 1_000_000..until * 1_000_000).contains(&at);
    let count = all
        .iter()
        .filter(|it| it.tenant == tenant && !it.is_reconnect && within(it.established_at_us))
        .count();
    count as f64 / (until - from) as f64
}

#[test]
fn partners_have_their_quotas_and_no_more_though_clocks_are_two_seconds_off() {
    let played = holds(FaultPlan { clocks_ms: vec![2_000, -2_000], ..partnered(8_500) });
    let (north, south) = (given(&played, 0, 4, 8), given(&played, 1, 4, 8));
    assert!(north >= NORTH * 0.85, "{north} a second of {NORTH}");
    assert!(south >= SOUTH * 0.8 * 0.85, "{south} a second of {} offered", SOUTH * 0.8);
    assert!(figure(&played, "quota_refused_total") > 10.0 && figure(&played, "quota_agreed") == 1.0);
}

#[test]
fn one_zone_of_three_is_cut_off_and_comes_back() {
    let parts = vec![vec![0, 1, 3, 4], vec![2, 5]];
    let played = holds(
        partnered(10_500)
            .with_action(4_000, FaultAction::Split { parts })
            .with_action(8_000, FaultAction::Heal),
    );
    assert!(played.summary.datagrams.lost > 0);
    let north = given(&played, 0, 4, 8);
    assert!(north >= NORTH * 0.5, "{north} a second of {NORTH} while cut");
}

#[test]
fn a_zone_that_hears_nothing_has_no_more_though_its_traffic_doubles() {
    let load = |tenant, per_s| FaultAction::Load(Load { tenant, zone: 1, per_s });
    let plan = partnered(10_500)
        .with_action(3_500, link(&[0, 2, 3, 5], &[1, 4], Link::CUT))
        .with_action(3_500, load(0, NORTH * 4.0 / 3.0))
        .with_action(3_500, load(1, SOUTH * 1.6 / 3.0))
        .with_action(8_500, FaultAction::Heal);
    holds(plan);
}

#[test]
fn a_partners_whole_traffic_moves_to_one_zone_and_its_rights_follow() {
    let load = |zone, per_s| FaultAction::Load(Load { tenant: 0, zone, per_s });
    let plan = loaded(partnered(11_000), [NORTH * 2.0, 0.0, 0.0], [SOUTH * 0.8 / 3.0; 3]);
    let played = holds(plan.with_action(5_000, load(0, 0.0)).with_action(5_000, load(2, NORTH * 2.0)));
    let (before, after) = (given(&played, 0, 4, 5), given(&played, 0, 8, 11));
    assert!(after >= NORTH * 0.85 && before >= NORTH * 0.6, "{before} before, {after} after, of {NORTH}");
}

#[test]
fn the_gateway_that_holds_most_is_killed_and_comes_back() {
    // All of the larger partner's clients are in the first zone, so its two gateways hold nearly all.
    let plan = loaded(partnered(11_000), [NORTH * 2.0, 0.0, 0.0], [SOUTH * 0.8 / 3.0; 3]);
    let back = FaultAction::Start { gateway: 0, clock_ms: -2_000 };
    let played = holds(plan.with_action(4_500, FaultAction::Kill { gateway: 0 }).with_action(5_500, back));
    let after = given(&played, 0, 9, 11);
    assert!(after >= NORTH * 0.85, "{after} a second of {NORTH}");
}

#[test]
fn all_restart_in_turn_under_load() {
    let turns = (0..6).map(|gateway| (3_500 + 900 * gateway as u64, FaultAction::Restart { gateway }));
    let plan = turns.fold(partnered(13_500), |plan, (at_ms, act)| plan.with_action(at_ms, act));
    let played = holds(plan);
    let after = given(&played, 0, 12, 14);
    assert!(after >= NORTH * 0.75, "{after} a second of {NORTH}");
}

#[test]
fn quotas_are_raised_and_lowered_by_sighup_and_one_gateway_hears_of_it_late() {
    let rewrite = |gateways: &[usize], generation, north| FaultAction::Rewrite {
        socket: 1,
        gateways: gateways.to_vec(),
        file: file(generation, north),
    };
    let plan = FaultPlan {
        // A larger one holds from when the last has read it, a smaller one when what is on loan has ended.
        quotas: vec![held(0, NORTH), held(6_000, NORTH * 1.6), held(12_500, NORTH / 2.0)],
        ..partnered(15_500)
    };
    let plan = plan
        .with_action(4_000, rewrite(&[0, 1, 2, 3, 4], 2, NORTH * 1.6))
        .with_action(6_000, rewrite(&[5], 2, NORTH * 1.6))
        .with_action(10_000, rewrite(&[], 3, NORTH / 2.0));
    let played = holds(plan);
    let (raised, lowered) = (given(&played, 0, 8, 10), given(&played, 0, 13, 15));
    assert!(raised >= NORTH * 1.3, "{raised} a second of {}", NORTH * 1.6);
    assert!(lowered >= NORTH * 0.4, "{lowered} a second of {}", NORTH / 2.0);
    assert_eq!(figure(&played, "quota_generation"), 3.0);
}

/// A quota that is less than what the gateways were told shows by name.
#[test]
fn the_rig_catches_gateways_that_give_more() {
    let quotas = vec![QuotaPeriod { open: vec![20.0], ..held(0, NORTH * 0.5) }];
    let played = played(&FaultPlan { quotas, ..partnered(6_500) });
    let names: Vec<&str> = played.summary.violations.keys().copied().collect();
    assert_eq!(names, ["open-quota", "quota"]);
}
