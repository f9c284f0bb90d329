//! Quotas of partners in fault runs with daemon processes.

mod fault_runs;

use ashtide_fault_injection::{
    Event, FaultAction, FaultPlan, FaultRun, Link, Load, ProxiedSocket, QuotaPeriod, Tenant,
    placed_connections,
};
use fault_runs::run_with_retries;
use serde_json::json;

/// The quota of partner `north`, in new connections per second.
const NORTH_PER_S: f64 = 30.0;
/// The quota of partner `south`, in new connections per second.
const SOUTH_PER_S: f64 = 15.0;

/// Returns a quota file. `north_per_s` is the quota of partner `north`.
fn quota_file(generation: u32, north_per_s: f64) -> String {
    format!(
        "generation = {generation}\nburst_ms = 1000\n[partners.north]\nper_s = {north_per_s}\nconnections = 60\n\
         [partners.south]\nper_s = {SOUTH_PER_S}\n"
    )
}

/// Returns the quotas that the checks apply from a time on.
fn quota_period(from_ms: u64, north_per_s: f64) -> QuotaPeriod {
    QuotaPeriod { from_ms, burst_ms: 1_000, per_s: vec![north_per_s, SOUTH_PER_S], connections: vec![60.0] }
}

/// Returns a plan with six gateways in three zones. Partner `north` offers twice its quota, `south` four
/// fifths.
fn plan_with_quotas(steps_until_ms: u64) -> FaultPlan {
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
        tenants: vec![tenant("north", NORTH_PER_S), tenant("south", SOUTH_PER_S)],
        mean_session_ms: 1_200,
        load_duration_ms: steps_until_ms + 500,
        settle_ms: 3_000,
        preserves_files: true,
        calls: vec!["quota".to_owned()],
        config: json!({"settings": {"limits": {"retryAfter": true, "maxRetryAfter": 2.0}}}),
        quotas: vec![quota_period(0, NORTH_PER_S)],
        sockets: vec![socket("--view", view), socket("--quota", &quota_file(1, NORTH_PER_S))],
        ..FaultPlan::default()
    };
    with_load(plan, [NORTH_PER_S * 2.0 / 3.0; 3], [SOUTH_PER_S * 0.8 / 3.0; 3])
}

/// Sets the load of each partner by zone, in requests per second.
fn with_load(mut plan: FaultPlan, north: [f64; 3], south: [f64; 3]) -> FaultPlan {
    let loads_by_tenant = [north, south].into_iter().enumerate();
    let load = |tenant, (zone, per_s)| Load { tenant, zone, per_s };
    plan.load = loads_by_tenant
        .flat_map(|(tenant, zones)| {
            zones.into_iter().enumerate().map(move |zone_load| load(tenant, zone_load))
        })
        .collect();
    plan
}

fn link(from: &[usize], to: &[usize], link: Link) -> FaultAction {
    FaultAction::Link { from: from.to_vec(), to: to.to_vec(), link }
}

/// Executes a plan and asserts that neither the history nor the gateways report a violation.
fn run_without_violations(plan: FaultPlan) -> FaultRun {
    let run = run_with_retries(&plan);
    println!("{}", run.summary);
    if !run.violations.is_empty() {
        let timeline =
            std::env::temp_dir().join(format!("ashtide-fault-injection-quota-{}.jsonl", std::process::id()));
        let _ = std::fs::write(&timeline, run.history.to_json_lines());
        for violation in run.violations.iter().take(20) {
            println!("{violation}; {}", violation.help());
        }
        panic!("{:?}; timeline {}", run.summary.violations, timeline.display());
    }
    assert_eq!(max_metric(&run, "state_violations_total"), 0.0);
    run
}

/// Returns the largest value of a metric in all admin samples.
fn max_metric(run: &FaultRun, name: &str) -> f64 {
    let sampled = |event: &Event| match event {
        Event::AdminSample { metrics, .. } => metrics.get(name).copied(),
        _ => None,
    };
    run.history.0.iter().filter_map(|entry| sampled(&entry.event)).fold(0.0, f64::max)
}

/// Returns the new connections per second of a partner between two times, in seconds since the start.
/// Reconnects do not count.
fn placed_per_s(run: &FaultRun, tenant: usize, from_s: u64, until_s: u64) -> f64 {
    let connections = placed_connections(&run.history);
    let within = |at: u64| (from_s * 1_000_000..until_s * 1_000_000).contains(&at);
    let count = connections
        .iter()
        .filter(|connection| {
            connection.tenant == tenant && !connection.is_reconnect && within(connection.established_at_us)
        })
        .count();
    count as f64 / (until_s - from_s) as f64
}

#[test]
fn partners_have_their_quotas_and_no_more_though_clocks_are_two_seconds_off() {
    let run = run_without_violations(FaultPlan { clocks_ms: vec![2_000, -2_000], ..plan_with_quotas(8_500) });
    let (north, south) = (placed_per_s(&run, 0, 4, 8), placed_per_s(&run, 1, 4, 8));
    assert!(north >= NORTH_PER_S * 0.85, "{north} per second, quota {NORTH_PER_S}");
    assert!(south >= SOUTH_PER_S * 0.8 * 0.85, "{south} per second, {} offered", SOUTH_PER_S * 0.8);
    assert!(max_metric(&run, "quota_refused_total") > 10.0 && max_metric(&run, "quota_agreed") == 1.0);
}

#[test]
fn one_zone_of_three_is_cut_off_and_reconnected() {
    let parts = vec![vec![0, 1, 3, 4], vec![2, 5]];
    let run = run_without_violations(
        plan_with_quotas(10_500)
            .with_action(4_000, FaultAction::Split { parts })
            .with_action(8_000, FaultAction::Heal),
    );
    assert!(run.summary.datagrams.lost > 0);
    let north = placed_per_s(&run, 0, 4, 8);
    assert!(north >= NORTH_PER_S * 0.5, "{north} per second during the partition, quota {NORTH_PER_S}");
}

#[test]
fn a_zone_that_receives_no_datagrams_keeps_its_quota_while_its_load_doubles() {
    let load = |tenant, per_s| FaultAction::Load(Load { tenant, zone: 1, per_s });
    let plan = plan_with_quotas(10_500)
        .with_action(3_500, link(&[0, 2, 3, 5], &[1, 4], Link::CUT))
        .with_action(3_500, load(0, NORTH_PER_S * 4.0 / 3.0))
        .with_action(3_500, load(1, SOUTH_PER_S * 1.6 / 3.0))
        .with_action(8_500, FaultAction::Heal);
    run_without_violations(plan);
}

#[test]
fn leases_follow_the_traffic_of_a_partner_to_another_zone() {
    let load = |zone, per_s| FaultAction::Load(Load { tenant: 0, zone, per_s });
    let plan =
        with_load(plan_with_quotas(11_000), [NORTH_PER_S * 2.0, 0.0, 0.0], [SOUTH_PER_S * 0.8 / 3.0; 3]);
    let run = run_without_violations(
        plan.with_action(5_000, load(0, 0.0)).with_action(5_000, load(2, NORTH_PER_S * 2.0)),
    );
    let (before, after) = (placed_per_s(&run, 0, 4, 5), placed_per_s(&run, 0, 8, 11));
    assert!(
        after >= NORTH_PER_S * 0.85 && before >= NORTH_PER_S * 0.6,
        "{before} per second before, {after} after, quota {NORTH_PER_S}"
    );
}

#[test]
fn the_gateway_with_the_most_leases_is_killed_and_restarted() {
    // All clients of the larger partner are in the first zone, so the two gateways there have nearly all of
    // its leases.
    let plan =
        with_load(plan_with_quotas(11_000), [NORTH_PER_S * 2.0, 0.0, 0.0], [SOUTH_PER_S * 0.8 / 3.0; 3]);
    let restart = FaultAction::Start { gateway: 0, clock_ms: -2_000 };
    let run = run_without_violations(
        plan.with_action(4_500, FaultAction::Kill { gateway: 0 }).with_action(5_500, restart),
    );
    let after = placed_per_s(&run, 0, 9, 11);
    assert!(after >= NORTH_PER_S * 0.85, "{after} per second after the restart, quota {NORTH_PER_S}");
}

#[test]
fn all_gateways_restart_one_after_another_under_load() {
    let restarts = (0..6).map(|gateway| (3_500 + 900 * gateway as u64, FaultAction::Restart { gateway }));
    let plan =
        restarts.fold(plan_with_quotas(13_500), |plan, (at_ms, action)| plan.with_action(at_ms, action));
    let run = run_without_violations(plan);
    let after = placed_per_s(&run, 0, 12, 14);
    assert!(after >= NORTH_PER_S * 0.75, "{after} per second after the restart, quota {NORTH_PER_S}");
}

#[test]
fn quotas_change_by_sighup_and_one_gateway_gets_the_change_late() {
    let rewrite = |gateways: &[usize], generation, north_per_s| FaultAction::Rewrite {
        socket: 1,
        gateways: gateways.to_vec(),
        file: quota_file(generation, north_per_s),
    };
    let plan = FaultPlan {
        // A larger quota applies once the last gateway has read it, a smaller one once the leases have
        // expired.
        quotas: vec![
            quota_period(0, NORTH_PER_S),
            quota_period(6_000, NORTH_PER_S * 1.6),
            quota_period(12_500, NORTH_PER_S / 2.0),
        ],
        ..plan_with_quotas(15_500)
    };
    let plan = plan
        .with_action(4_000, rewrite(&[0, 1, 2, 3, 4], 2, NORTH_PER_S * 1.6))
        .with_action(6_000, rewrite(&[5], 2, NORTH_PER_S * 1.6))
        .with_action(10_000, rewrite(&[], 3, NORTH_PER_S / 2.0));
    let run = run_without_violations(plan);
    let (raised, lowered) = (placed_per_s(&run, 0, 8, 10), placed_per_s(&run, 0, 13, 15));
    assert!(raised >= NORTH_PER_S * 1.3, "{raised} per second, quota {}", NORTH_PER_S * 1.6);
    assert!(lowered >= NORTH_PER_S * 0.4, "{lowered} per second, quota {}", NORTH_PER_S / 2.0);
    assert_eq!(max_metric(&run, "quota_generation"), 3.0);
}

/// The checks apply lower quotas than the gateways are configured with, and the harness reports the
/// violations.
#[test]
fn the_harness_detects_gateways_that_exceed_quotas() {
    let quotas = vec![QuotaPeriod { connections: vec![20.0], ..quota_period(0, NORTH_PER_S * 0.5) }];
    let run = run_with_retries(&FaultPlan { quotas, ..plan_with_quotas(6_500) });
    let names: Vec<&str> = run.summary.violations.keys().copied().collect();
    assert_eq!(names, ["open-quota", "quota"]);
}
