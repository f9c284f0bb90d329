//! Fault runs with daemon processes whose network is controlled by the harness.

mod fault_runs;

use std::path::Path;
use std::time::Duration;

use ashtide_fault_injection::{
    Event, FaultAction, FaultPlan, FaultRun, Link, Load, ProxiedSocket, RandomPlanLimits, run_plan,
};
use fault_runs::{acquire_run_slot, run_with_retries};
use serde_json::json;

/// Executes a plan and asserts that no invariant is violated. On a failure it prints the violations, the path
/// of the timeline and the plan, which repeats the run.
fn run_without_violations(plan: FaultPlan) -> FaultRun {
    let run = run_with_retries(&plan);
    println!("{}", run.summary);
    if !run.violations.is_empty() {
        let name = format!("ashtide-fault-injection-{}-{}.jsonl", std::process::id(), plan.seed);
        let timeline = std::env::temp_dir().join(name);
        let _ = std::fs::write(&timeline, run.history.to_json_lines());
        for violation in run.violations.iter().take(20) {
            println!("{violation}; {}", violation.help());
        }
        let plan = serde_json::to_string(&plan).unwrap_or_default();
        panic!("{:?}; timeline {}; plan {plan}", run.summary.violations, timeline.display());
    }
    let budget_used = run.summary.slow_start_budget_used;
    assert!(budget_used > 0.1, "the server in slow start got {budget_used} of its budget, expected over 0.1");
    run
}

/// Returns a plan with five gateways in three zones under load. During the load one server is added in slow
/// start and another drains.
fn base_plan() -> FaultPlan {
    FaultPlan { load_duration_ms: 9_000, ..FaultPlan::typical(5, 10.0) }
        .with_action(1_500, FaultAction::Add { zone: 1 })
        .with_action(2_500, FaultAction::Drain { server: 0 })
}

fn link(from: &[usize], to: &[usize], link: Link) -> FaultAction {
    FaultAction::Link { from: from.to_vec(), to: to.to_vec(), link }
}

/// Counts the events of a run that match.
fn count(run: &FaultRun, matches: impl Fn(&Event) -> bool) -> usize {
    run.history.0.iter().filter(|entry| matches(&entry.event)).count()
}

#[test]
fn thirty_percent_of_messages_are_lost() {
    let run = run_without_violations(
        base_plan().with_action(500, link(&[], &[], Link::lossy(0.3))).with_action(6_500, FaultAction::Heal),
    );
    let datagrams = run.summary.datagrams;
    assert!(datagrams.lost > 0 && datagrams.lost * 20 > datagrams.sent, "{datagrams:?}");
}

#[test]
fn a_link_is_cut_in_one_direction_only() {
    let run = run_without_violations(base_plan().with_action(500, link(&[0], &[1], Link::CUT)));
    let sent_and_lost = |from, to| {
        run.history.0.iter().find_map(|entry| match entry.event {
            Event::LinkTraffic { from: sender, to: receiver, traffic, .. }
                if (sender, receiver) == (from, to) =>
            {
                Some((traffic.sent, traffic.lost))
            }
            _ => None,
        })
    };
    let (forward, backward) = (sent_and_lost(0, 1).unwrap(), sent_and_lost(1, 0).unwrap());
    assert_eq!(
        (forward.0, backward.1),
        (forward.1, 0),
        "sent and lost: from 0 to 1 {forward:?}, from 1 to 0 {backward:?}"
    );
}

#[test]
fn a_gateway_stalls_for_three_seconds() {
    let run = run_without_violations(
        base_plan()
            .with_action(2_500, FaultAction::Stall { gateway: 1 })
            .with_action(5_500, FaultAction::Resume { gateway: 1 }),
    );
    let unanswered_sample =
        |event: &Event| matches!(event, Event::AdminSample { process: 1, ready: None, .. });
    assert!(count(&run, unanswered_sample) >= 3, "the admin endpoint answered while the process was stalled");
}

#[test]
fn a_gateway_is_killed_and_restarted() {
    let plan = base_plan()
        .with_action(2_500, FaultAction::Kill { gateway: 1 })
        .with_action(4_000, FaultAction::Start { gateway: 1, clock_ms: 0 });
    let run = run_without_violations(plan);
    let started = |event: &Event| matches!(event, Event::Started { gateway: 1, .. });
    assert_eq!(count(&run, started), 2);
    let request_to_restarted = |event: &Event| matches!(event, Event::Request { process: 5, .. });
    assert!(count(&run, request_to_restarted) > 10, "the restarted gateway got too few requests");
}

#[test]
fn a_partition_of_three_and_two_heals() {
    let parts = vec![vec![0, 1, 2], vec![3, 4]];
    let run = run_without_violations(
        base_plan().with_action(500, FaultAction::Split { parts }).with_action(5_500, FaultAction::Heal),
    );
    assert!(run.summary.datagrams.lost > 0, "{:?}", run.summary.datagrams);
}

#[test]
fn all_gateways_restart_one_after_another_under_load() {
    let restarts = (0..5).map(|gateway| (1_800 + 900 * gateway as u64, FaultAction::Restart { gateway }));
    let plan = restarts
        .fold(FaultPlan { load_duration_ms: 12_000, ..base_plan() }, |plan, (at_ms, action)| {
            plan.with_action(at_ms, action)
        });
    let run = run_without_violations(plan);
    assert_eq!(count(&run, |event| matches!(event, Event::Started { .. })), 10);
}

#[test]
fn a_zone_receives_no_datagrams_for_ten_seconds_while_its_load_doubles() {
    let load = |tenant, per_s| FaultAction::Load(Load { tenant, zone: 1, per_s });
    let plan = FaultPlan { load_duration_ms: 13_500, ..base_plan() }
        .with_action(500, link(&[0, 2, 3], &[1, 4], Link::CUT))
        .with_action(500, load(0, 20.0))
        .with_action(500, load(1, 20.0))
        .with_action(10_500, FaultAction::Heal)
        .with_action(10_500, load(0, 10.0))
        .with_action(10_500, load(1, 10.0));
    let run = run_without_violations(plan);
    let in_cut_zone = |event: &Event| matches!(event, Event::Request { zone: 1, .. });
    let in_other_zone = |event: &Event| matches!(event, Event::Request { zone: 0, .. });
    let (cut_zone, other_zone) = (count(&run, in_cut_zone), count(&run, in_other_zone));
    assert!(cut_zone * 2 > other_zone * 3, "{cut_zone} requests in the cut zone, {other_zone} in another");
}

#[test]
fn clocks_are_two_seconds_off() {
    let clocks_ms = vec![2_000, -2_000];
    run_without_violations(FaultPlan { clocks_ms, ..base_plan() });
}

#[test]
fn two_processes_have_the_same_name() {
    let plan = base_plan()
        .with_action(1_000, FaultAction::StartDuplicate { gateway: 1 })
        .with_action(6_000, FaultAction::StopDuplicate { gateway: 1 });
    let run = run_without_violations(plan);
    let served = |event: &Event| matches!(event, Event::Request { process: 5, .. });
    assert!(count(&run, served) > 10, "the second process got too few requests");
}

#[test]
fn a_gateway_joins() {
    let run = run_without_violations(
        FaultPlan { absent: vec![4], ..base_plan() }
            .with_action(2_000, FaultAction::Start { gateway: 4, clock_ms: 0 }),
    );
    let served = |event: &Event| matches!(event, Event::Request { process: 4, .. });
    assert!(count(&run, served) > 10, "the new gateway got too few requests");
}

#[test]
fn random_plans_of_fixed_seeds_have_no_violations() {
    let limits = RandomPlanLimits {
        gateways: 3..=5,
        faults: 2..=4,
        faults_within_ms: 1_000..=4_000,
        fault_ms: 500..=3_000,
    };
    for seed in [11, 12, 13] {
        let plan = FaultPlan::random(seed, &limits);
        let run = run_with_retries(&plan);
        println!("{}", run.summary);
        let plan = serde_json::to_string(&plan).unwrap();
        assert_eq!(run.violations, [], "seed {seed}: {plan}");
    }
}

/// Relays are independent of the protocol: advertisements of virtual routers pass through them like messages
/// between gateways.
#[test]
fn an_additional_socket_of_the_daemon_uses_relays() {
    let file = "[quic]\nlisten = \"127.0.0.1:0\"\nclass = \"meter\"\ndeadline_ms = 1500\npaths = 4\n\
                [vrrp]\nrouter = 7\npriority = 10{gateway}\ninterval_ms = 50\nlisten = \"{listen}\"\n\
                peers = {others}\n";
    let socket =
        ProxiedSocket { arguments: vec!["--fronts".to_owned(), "{file}".to_owned()], file: file.to_owned() };
    let plan = FaultPlan { sockets: vec![socket], load_duration_ms: 4_000, ..FaultPlan::typical(3, 5.0) };
    let run = run_with_retries(&plan.with_action(500, link(&[2], &[1], Link::CUT)));
    assert_eq!(run.violations, []);
    let traffic = |from: usize, to: usize| {
        let found = run.history.0.iter().find_map(|entry| match entry.event {
            Event::LinkTraffic { net: 1, from: sender, to: receiver, traffic }
                if (sender, receiver) == (from, to) =>
            {
                Some(traffic)
            }
            _ => None,
        });
        found.expect("traffic between two gateways")
    };
    // The router of the highest priority is Active. The lowest receives its advertisements and sends none.
    // The link from the highest to the other is cut, so the other becomes Active as well.
    let (intact, cut) = (traffic(2, 0), traffic(2, 1));
    let (other, lowest) = (traffic(1, 0), traffic(0, 1));
    assert!(intact.sent > 30 && intact.lost == 0 && cut.lost > 30, "{intact:?}, {cut:?}");
    assert!(other.sent > 30 && lowest.sent < 15, "{other:?}, {lowest:?}");
}

// ---- State shared between gateways ------------------------------------------------------------------

/// Returns a plan whose gateways maintain a membership and share their state, without servers in slow start.
fn shared_state_plan(judgements: &str) -> FaultPlan {
    let file = format!(
        "listen = \"{{listen}}\"\npublic = \"{{public}}\"\nseeds = {{others}}\ntier = 31\nsize = 5\n\
         [state]\ngateways = {{peers}}\ncheck = \"log\"\ndatagrams_per_s = 60\njudgements = \"{judgements}\"\n"
    );
    let socket = ProxiedSocket { arguments: vec!["--view".to_owned(), "{file}".to_owned()], file };
    let plan = FaultPlan {
        load_duration_ms: 8_000,
        settle_ms: 4_500,
        admin_poll_interval_ms: 500,
        ..FaultPlan::typical(5, 10.0)
    };
    FaultPlan { sockets: vec![socket], calls: vec!["state".to_owned()], ..plan }
}

/// Executes a plan with shared state, and asserts that neither the history nor the gateways report a
/// violation.
fn run_with_shared_state(plan: &FaultPlan) -> FaultRun {
    let run = run_with_retries(plan);
    println!("{}", run.summary);
    let timeline =
        std::env::temp_dir().join(format!("ashtide-fault-injection-state-{}.jsonl", std::process::id()));
    if !run.violations.is_empty() {
        let _ = std::fs::write(&timeline, run.history.to_json_lines());
    }
    assert_eq!(run.violations, [], "timeline {}", timeline.display());
    let sampled = |event: &Event, name: &str| match event {
        Event::AdminSample { metrics, .. } => metrics.get(name).copied(),
        _ => None,
    };
    let max_metric =
        |name| run.history.0.iter().filter_map(|entry| sampled(&entry.event, name)).fold(0.0, f64::max);
    assert_eq!(max_metric("state_violations_total"), 0.0);
    let (checks, total_us) = (max_metric("state_checks_total"), max_metric("state_check_us_total"));
    assert!(checks > 8.0, "{checks} checks of the shared state, expected over 8");
    println!("{checks} checks, {:.0} us each", total_us / checks);
    run
}

/// Returns for each process whether its shared state reported a server as ejected in any sample within a
/// period, in milliseconds.
fn ejected_by_process(
    run: &FaultRun,
    server: &str,
    within_ms: std::ops::Range<u64>,
) -> std::collections::BTreeMap<usize, bool> {
    let mut ejected = std::collections::BTreeMap::new();
    let samples = run.history.0.iter().filter(|entry| within_ms.contains(&(entry.at_us / 1_000)));
    for entry in samples {
        let Event::AdminSample { process, calls, ready: Some(true), .. } = &entry.event else { continue };
        let text = calls.get("state").map_or("", String::as_str);
        let prefix = format!("server {server} ");
        let is_ejected = text.lines().any(|line| line.starts_with(&prefix) && line.contains("judged="));
        *ejected.entry(*process).or_default() |= is_ejected;
    }
    ejected
}

/// Counts the attempts of these gateways that reached a server within a period, in milliseconds.
fn attempts(run: &FaultRun, server: &str, gateways: &[usize], within_ms: std::ops::Range<u64>) -> usize {
    let is_from_gateways =
        |request: &str| gateways.iter().any(|gateway| request.starts_with(&format!("{gateway:04x}")));
    let entries = run.history.0.iter().filter(|entry| within_ms.contains(&(entry.at_us / 1_000)));
    let is_counted = |event: &Event| {
        matches!(event, Event::Attempt { request, server: reached, .. }
            if reached == server && is_from_gateways(request))
    };
    entries.filter(|entry| is_counted(&entry.event)).count()
}

#[test]
fn shared_state_agrees_on_open_connections() {
    run_with_shared_state(&shared_state_plan("tell"));
}

#[test]
fn shared_state_converges_after_loss_and_a_stall() {
    let plan = shared_state_plan("use")
        .with_action(300, link(&[], &[], Link::lossy(0.3)))
        .with_action(1_000, FaultAction::Stall { gateway: 1 })
        .with_action(4_000, FaultAction::Resume { gateway: 1 })
        .with_action(5_000, FaultAction::Heal);
    run_with_shared_state(&plan);
}

#[test]
fn shared_state_converges_after_a_kill_and_a_partition() {
    let plan =
        FaultPlan { clocks_ms: vec![2_000, -2_000], load_duration_ms: 10_000, ..shared_state_plan("use") }
            .with_action(500, FaultAction::Split { parts: vec![vec![0, 1, 2], vec![3, 4]] })
            .with_action(1_500, FaultAction::Kill { gateway: 1 })
            .with_action(3_000, FaultAction::Start { gateway: 1, clock_ms: -2_000 })
            .with_action(5_500, FaultAction::Heal);
    run_with_shared_state(&plan);
}

#[test]
fn only_one_of_two_processes_with_the_same_name_shares_state() {
    let plan = shared_state_plan("use")
        .with_action(800, FaultAction::StartDuplicate { gateway: 1 })
        .with_action(3_500, FaultAction::StopDuplicate { gateway: 1 });
    let run = run_with_shared_state(&plan);
    let without_state = |event: &Event| match event {
        Event::AdminSample { process: 5, calls, .. } => {
            calls.get("state").is_some_and(|text| text.starts_with("400 no state yet"))
        }
        _ => false,
    };
    assert!(count(&run, without_state) > 2, "the second process took part in the shared state");
}

/// A server fails for all gateways, but only those of two zones have load. The gateways of the third zone
/// avoid the server from the start of their load on, and use it again after its recovery.
#[test]
fn gateways_without_own_failures_avoid_a_server_by_the_evidence_of_others() {
    let mut plan = FaultPlan { load_duration_ms: 13_000, ..shared_state_plan("use") };
    plan.load.iter_mut().filter(|load| load.zone == 1).for_each(|load| load.per_s = 0.0);
    let load = |tenant| FaultAction::Load(Load { tenant, zone: 1, per_s: 10.0 });
    let plan = plan
        .with_action(2_000, FaultAction::Fail { server: 0, gateways: Vec::new() })
        .with_action(6_000, load(0))
        .with_action(6_000, load(1))
        .with_action(8_000, FaultAction::Recover { server: 0 });
    let run = run_with_shared_state(&plan);
    let (observers, others) = (&[0, 2, 3][..], &[1, 4][..]);
    let ejected = ejected_by_process(&run, "s-0", 4_000..8_000);
    assert!(ejected.len() == 5 && ejected.values().all(|is_ejected| *is_ejected), "{ejected:?}");
    // The bound is the number of attempts with their own failures alone: two failures eject the server for at
    // most 1.2 s, and each further one for longer. With the evidence of three gateways the ejection is
    // intermittent, so a lower number is not guaranteed.
    let tried = attempts(&run, "s-0", others, 6_000..8_000);
    assert!(
        tried <= 4 * others.len(),
        "{tried} attempts by gateways without own failures, expected at most 4 each"
    );
    let failed = attempts(&run, "s-0", observers, 2_000..8_000);
    assert!((6..=14).contains(&failed), "{failed} attempts by gateways with own failures, expected 6 to 14");
    let after_recovery = attempts(&run, "s-0", &[0, 1, 2, 3, 4], 10_500..13_000);
    assert!(after_recovery > 5, "{after_recovery} attempts after the recovery, expected over 5");
}

/// One gateway cannot reach a server that all others reach. The server is not ejected at any gateway.
#[test]
fn failures_at_one_gateway_do_not_eject_a_server_at_others() {
    let plan =
        shared_state_plan("use").with_action(1_500, FaultAction::Fail { server: 0, gateways: vec![2] });
    let run = run_with_shared_state(&plan);
    let ejected = ejected_by_process(&run, "s-0", 0..7_000);
    assert!(ejected.len() == 5 && ejected.values().all(|is_ejected| !is_ejected), "{ejected:?}");
    let (affected, others) = (attempts(&run, "s-0", &[2], 1_500..7_000), [0, 1, 3, 4]);
    assert!(
        affected > 1 && attempts(&run, "s-0", &others, 3_000..7_000) > 10,
        "{affected} attempts by the affected gateway"
    );
}

/// Gateways that are configured without slow start exceed the budget, and the harness reports the violation.
#[test]
fn the_harness_detects_gateways_without_slow_start() {
    let config = json!({"settings": {"rules": {"coldFrom": 1.0, "warmWithin": 0.0}}});
    let run = run_with_retries(&FaultPlan { config, load_duration_ms: 6_000, ..base_plan() });
    assert_eq!(run.summary.violations.keys().copied().collect::<Vec<_>>(), ["cold-budget"]);
}

/// A run that ends early ends its processes, including a suspended one.
#[test]
fn a_panic_leaves_no_process() {
    let _slot = acquire_run_slot();
    // No other run sets this clock offset, so the processes of other runs are not counted.
    let clock_ms = 1_234_567;
    let plan = FaultPlan { gateways: 3, clocks_ms: vec![clock_ms; 3], ..base_plan() }
        .with_action(100, FaultAction::Stall { gateway: 1 });
    let variable = format!("ASHTIDE_CLOCK_OFFSET_MS={clock_ms}");
    let running = || {
        let processes = std::fs::read_dir("/proc").expect("processes").flatten();
        let has_variable = |path: &Path| {
            std::fs::read(path)
                .is_ok_and(|environment| String::from_utf8_lossy(&environment).contains(&variable))
        };
        processes.filter(|entry| has_variable(&entry.path().join("environ"))).count()
    };
    let result = std::panic::catch_unwind(|| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            tokio::select! {
                finished = run_plan(Path::new(env!("CARGO_BIN_EXE_ashtide")), &plan) => finished.map(|_| 0),
                process_count = async {
                    while running() < 3 {
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                    tokio::time::sleep(Duration::from_millis(500)).await;
                    running()
                } => panic!("{process_count} on purpose"),
            }
        })
    });
    let message =
        result.expect_err("the run finished before the panic").downcast::<String>().expect("a text");
    assert_eq!(*message, "3 on purpose");
    let all_ended = (0..100).find(|_| {
        std::thread::sleep(Duration::from_millis(20));
        running() == 0
    });
    assert!(all_ended.is_some(), "{} processes are still running after 2 s", running());
}
