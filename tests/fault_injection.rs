//! Processes and faults: real daemons, the network between them in the rig's hands.

mod fault_runs;

use std::path::Path;
use std::time::Duration;

use ashtide_fault_injection::{
    Event, FaultAction, FaultPlan, FaultRun, Link, Load, ProxiedSocket, RandomPlanLimits, run_plan,
};
use fault_runs::{played, turn};
use serde_json::json;

/// Plays a plan and expects that all holds. What fails is printed, with all that is needed to play it again.
fn holds(plan: FaultPlan) -> FaultRun {
    let played = played(&plan);
    println!("{}", played.summary);
    if !played.violations.is_empty() {
        let name = format!("ashtide-fault-injection-{}-{}.jsonl", std::process::id(), plan.seed);
        let timeline = std::env::temp_dir().join(name);
        let _ = std::fs::write(&timeline, played.history.to_json_lines());
        for violation in played.violations.iter().take(20) {
            println!("{violation}; {}", violation.help());
        }
        let plan = serde_json::to_string(&plan).unwrap_or_default();
        panic!("{:?}; timeline {}; plan {plan}", played.summary.violations, timeline.display());
    }
    assert!(played.summary.cold_used > 0.1, "the cold server was sent next to nothing");
    played
}

/// Five gateways in three zones under load; in the midst of it a server starts cold and another drains.
fn tier() -> FaultPlan {
    FaultPlan { last_ms: 9_000, ..FaultPlan::typical(5, 10.0) }
        .with_action(1_500, FaultAction::Add { zone: 1 })
        .with_action(2_500, FaultAction::Drain { server: 0 })
}

fn link(from: &[usize], to: &[usize], link: Link) -> FaultAction {
    FaultAction::Link { from: from.to_vec(), to: to.to_vec(), link }
}

/// How many entries of a history are like this.
fn count(played: &FaultRun, like: impl Fn(&Event) -> bool) -> usize {
    played.history.0.iter().filter(|entry| like(&entry.event)).count()
}

#[test]
fn three_in_ten_messages_are_lost() {
    let played = holds(
        tier().with_action(500, link(&[], &[], Link::lossy(0.3))).with_action(6_500, FaultAction::Heal),
    );
    let datagrams = played.summary.datagrams;
    assert!(datagrams.lost > 0 && datagrams.lost * 20 > datagrams.sent, "{datagrams:?}");
}

#[test]
fn a_link_carries_one_way_only() {
    let played = holds(tier().with_action(500, link(&[0], &[1], Link::CUT)));
    let passed = |from, to| {
        played.history.0.iter().find_map(|entry| match entry.event {
            Event::LinkTraffic { from: sender, to: receiver, traffic, .. }
                if (sender, receiver) == (from, to) =>
            {
                Some((traffic.sent, traffic.lost))
            }
            _ => None,
        })
    };
    let (one, other) = (passed(0, 1).unwrap(), passed(1, 0).unwrap());
    assert_eq!((one.0, other.1), (one.1, 0), "sent and lost one way {one:?}, the other way {other:?}");
}

#[test]
fn a_gateway_stalls_for_three_seconds() {
    let played = holds(
        tier()
            .with_action(2_500, FaultAction::Stall { gateway: 1 })
            .with_action(5_500, FaultAction::Resume { gateway: 1 }),
    );
    let mute = |event: &Event| matches!(event, Event::AdminSample { process: 1, ready: None, .. });
    assert!(count(&played, mute) >= 3, "its door kept answering");
}

#[test]
fn a_gateway_is_killed_and_comes_back() {
    let plan = tier()
        .with_action(2_500, FaultAction::Kill { gateway: 1 })
        .with_action(4_000, FaultAction::Start { gateway: 1, clock_ms: 0 });
    let played = holds(plan);
    let started = |event: &Event| matches!(event, Event::Started { gateway: 1, .. });
    assert_eq!(count(&played, started), 2);
    let back = |event: &Event| matches!(event, Event::Request { process: 5, .. });
    assert!(count(&played, back) > 10, "nobody came to it again");
}

#[test]
fn a_partition_of_three_and_two_heals() {
    let parts = vec![vec![0, 1, 2], vec![3, 4]];
    let played =
        holds(tier().with_action(500, FaultAction::Split { parts }).with_action(5_500, FaultAction::Heal));
    assert!(played.summary.datagrams.lost > 0, "{:?}", played.summary.datagrams);
}

#[test]
fn all_restart_in_turn_while_load_runs() {
    let turns = (0..5).map(|gateway| (1_800 + 900 * gateway as u64, FaultAction::Restart { gateway }));
    let plan = turns
        .fold(FaultPlan { last_ms: 12_000, ..tier() }, |plan, (at_ms, act)| plan.with_action(at_ms, act));
    let played = holds(plan);
    assert_eq!(count(&played, |event| matches!(event, Event::Started { .. })), 10);
}

#[test]
fn a_zone_hears_nothing_for_ten_seconds_while_its_traffic_doubles() {
    let load = |tenant, per_s| FaultAction::Load(Load { tenant, zone: 1, per_s });
    let plan = FaultPlan { last_ms: 13_500, ..tier() }
        .with_action(500, link(&[0, 2, 3], &[1, 4], Link::CUT))
        .with_action(500, load(0, 20.0))
        .with_action(500, load(1, 20.0))
        .with_action(10_500, FaultAction::Heal)
        .with_action(10_500, load(0, 10.0))
        .with_action(10_500, load(1, 10.0));
    let played = holds(plan);
    let there = |event: &Event| matches!(event, Event::Request { zone: 1, .. });
    let elsewhere = |event: &Event| matches!(event, Event::Request { zone: 0, .. });
    let (there, elsewhere) = (count(&played, there), count(&played, elsewhere));
    assert!(there * 2 > elsewhere * 3, "{there} requests there, {elsewhere} in another zone");
}

#[test]
fn clocks_are_two_seconds_off() {
    let clocks_ms = vec![2_000, -2_000];
    holds(FaultPlan { clocks_ms, ..tier() });
}

#[test]
fn two_processes_have_one_name() {
    let plan = tier()
        .with_action(1_000, FaultAction::StartDuplicate { gateway: 1 })
        .with_action(6_000, FaultAction::StopDuplicate { gateway: 1 });
    let played = holds(plan);
    let served = |event: &Event| matches!(event, Event::Request { process: 5, .. });
    assert!(count(&played, served) > 10, "nobody came to the second");
}

#[test]
fn a_gateway_joins() {
    let played = holds(
        FaultPlan { absent: vec![4], ..tier() }
            .with_action(2_000, FaultAction::Start { gateway: 4, clock_ms: 0 }),
    );
    let served = |event: &Event| matches!(event, Event::Request { process: 4, .. });
    assert!(count(&played, served) > 10, "nobody came to it");
}

#[test]
fn plans_of_fixed_seeds_hold() {
    let range = RandomPlanLimits {
        gateways: 3..=5,
        faults: 2..=4,
        faults_within_ms: 1_000..=4_000,
        fault_ms: 500..=3_000,
    };
    for seed in [11, 12, 13] {
        let plan = FaultPlan::random(seed, &range);
        let played = played(&plan);
        println!("{}", played.summary);
        let plan = serde_json::to_string(&plan).unwrap();
        assert_eq!(played.violations, [], "seed {seed}: {plan}");
    }
}

/// The rig knows no format: virtual routers' advertisements go through relays as gateways' words do.
#[test]
fn a_further_socket_of_the_daemon_is_led_through_relays() {
    let file = "[quic]\nlisten = \"127.0.0.1:0\"\nclass = \"meter\"\ndeadline_ms = 1500\npaths = 4\n\
                [vrrp]\nrouter = 7\npriority = 10{gateway}\ninterval_ms = 50\nlisten = \"{listen}\"\n\
                peers = {others}\n";
    let socket =
        ProxiedSocket { arguments: vec!["--fronts".to_owned(), "{file}".to_owned()], file: file.to_owned() };
    let plan = FaultPlan { sockets: vec![socket], last_ms: 4_000, ..FaultPlan::typical(3, 5.0) };
    let played = played(&plan.with_action(500, link(&[2], &[1], Link::CUT)));
    assert_eq!(played.violations, []);
    let passed = |from: usize, to: usize| {
        let of = played.history.0.iter().find_map(|entry| match entry.event {
            Event::LinkTraffic { net: 1, from: one, to: other, traffic } if (one, other) == (from, to) => {
                Some(traffic)
            }
            _ => None,
        });
        of.expect("what went between two gateways")
    };
    // The highest is active: the lowest hears it and stays silent, the other hears nothing and speaks, too.
    let (whole, cut, other, lowest) = (passed(2, 0), passed(2, 1), passed(1, 0), passed(0, 1));
    assert!(whole.sent > 30 && whole.lost == 0 && cut.lost > 30, "{whole:?}, {cut:?}");
    assert!(other.sent > 30 && lowest.sent < 15, "{other:?}, {lowest:?}");
}

// ---- What gateways share ------------------------------------------------------------------

/// A tier whose gateways keep a view and share their state, with nothing that is cold.
fn sharing(judgements: &str) -> FaultPlan {
    let file = format!(
        "listen = \"{{listen}}\"\npublic = \"{{public}}\"\nseeds = {{others}}\ntier = 31\nsize = 5\n\
         [state]\ngateways = {{peers}}\ncheck = \"log\"\ndatagrams_per_s = 60\njudgements = \"{judgements}\"\n"
    );
    let socket = ProxiedSocket { arguments: vec!["--view".to_owned(), "{file}".to_owned()], file };
    let plan = FaultPlan {
        last_ms: 8_000,
        settle_ms: 4_500,
        admin_poll_interval_ms: 500,
        ..FaultPlan::typical(5, 10.0)
    };
    FaultPlan { sockets: vec![socket], calls: vec!["state".to_owned()], ..plan }
}

/// Plays a plan of gateways that share, and expects that all holds and no invariant is broken.
fn shares(plan: &FaultPlan) -> FaultRun {
    let played = played(plan);
    println!("{}", played.summary);
    let timeline =
        std::env::temp_dir().join(format!("ashtide-fault-injection-state-{}.jsonl", std::process::id()));
    if !played.violations.is_empty() {
        let _ = std::fs::write(&timeline, played.history.to_json_lines());
    }
    assert_eq!(played.violations, [], "timeline {}", timeline.display());
    let last = |event: &Event, name: &str| match event {
        Event::AdminSample { figures, .. } => figures.get(name).copied(),
        _ => None,
    };
    let figures = |name| played.history.0.iter().filter_map(|it| last(&it.event, name)).fold(0.0, f64::max);
    assert_eq!(figures("state_violations_total"), 0.0);
    let (checks, took) = (figures("state_checks_total"), figures("state_check_us_total"));
    assert!(checks > 8.0, "nothing was checked");
    println!("{checks} checks, {:.0} us each", took / checks);
    played
}

/// The lines of a server or of all that doors said within a time, in milliseconds, by process.
fn judged(
    played: &FaultRun,
    server: &str,
    within_ms: std::ops::Range<u64>,
) -> std::collections::BTreeMap<usize, bool> {
    let mut judged = std::collections::BTreeMap::new();
    let looks = played.history.0.iter().filter(|it| within_ms.contains(&(it.at_us / 1_000)));
    for entry in looks {
        let Event::AdminSample { process, calls, ready: Some(true), .. } = &entry.event else { continue };
        let text = calls.get("state").map_or("", String::as_str);
        let out =
            text.lines().any(|it| it.starts_with(&format!("server {server} ")) && it.contains("judged="));
        *judged.entry(*process).or_default() |= out;
    }
    judged
}

/// How many attempts came to a server within a time, in milliseconds, by these gateways.
fn attempts(played: &FaultRun, server: &str, gateways: &[usize], within_ms: std::ops::Range<u64>) -> usize {
    let by = |request: &str| gateways.iter().any(|gateway| request.starts_with(&format!("{gateway:04x}")));
    let here = played.history.0.iter().filter(|it| within_ms.contains(&(it.at_us / 1_000)));
    here.filter(
        |it| matches!(&it.event, Event::Attempt { request, server: at, .. } if at == server && by(request)),
    )
    .count()
}

#[test]
fn gateways_that_share_agree_on_what_stands() {
    shares(&sharing("tell"));
}

#[test]
fn what_is_shared_agrees_after_loss_and_a_stall() {
    let plan = sharing("use")
        .with_action(300, link(&[], &[], Link::lossy(0.3)))
        .with_action(1_000, FaultAction::Stall { gateway: 1 })
        .with_action(4_000, FaultAction::Resume { gateway: 1 })
        .with_action(5_000, FaultAction::Heal);
    shares(&plan);
}

#[test]
fn what_is_shared_agrees_after_a_kill_and_a_partition() {
    let plan = FaultPlan { clocks_ms: vec![2_000, -2_000], last_ms: 10_000, ..sharing("use") }
        .with_action(500, FaultAction::Split { parts: vec![vec![0, 1, 2], vec![3, 4]] })
        .with_action(1_500, FaultAction::Kill { gateway: 1 })
        .with_action(3_000, FaultAction::Start { gateway: 1, clock_ms: -2_000 })
        .with_action(5_500, FaultAction::Heal);
    shares(&plan);
}

#[test]
fn of_two_processes_of_one_name_one_shares() {
    let plan = sharing("use")
        .with_action(800, FaultAction::StartDuplicate { gateway: 1 })
        .with_action(3_500, FaultAction::StopDuplicate { gateway: 1 });
    let played = shares(&plan);
    let none = |event: &Event| match event {
        Event::AdminSample { process: 5, calls, .. } => {
            calls.get("state").is_some_and(|it| it.starts_with("400 no state yet"))
        }
        _ => false,
    };
    assert!(count(&played, none) > 2, "the second had a part in it");
}

/// A server fails for the gateways of two zones. Those of the third, which have no load, leave it alone once theirs
/// begins, and come back to it when it is well.
#[test]
fn who_has_not_seen_a_server_fail_leaves_it_by_what_the_others_saw() {
    let mut plan = FaultPlan { last_ms: 13_000, ..sharing("use") };
    plan.load.iter_mut().filter(|it| it.zone == 1).for_each(|it| it.per_s = 0.0);
    let load = |tenant| FaultAction::Load(Load { tenant, zone: 1, per_s: 10.0 });
    let plan = plan
        .with_action(2_000, FaultAction::Fail { server: 0, gateways: Vec::new() })
        .with_action(6_000, load(0))
        .with_action(6_000, load(1))
        .with_action(8_000, FaultAction::Recover { server: 0 });
    let played = shares(&plan);
    let (saw, others) = (&[0, 2, 3][..], &[1, 4][..]);
    let out = judged(&played, "s-0", 4_000..8_000);
    assert!(out.len() == 5 && out.values().all(|out| *out), "{out:?}");
    // Never worse than by their own failures alone: two set it aside for 1.2 s or a little less, and each further
    // one for longer. With evidence of three, what is out comes and goes, so fewer are not promised.
    let tried = attempts(&played, "s-0", others, 6_000..8_000);
    assert!(tried <= 4 * others.len(), "{tried} attempts by those that had not seen it");
    let failed = attempts(&played, "s-0", saw, 2_000..8_000);
    assert!((6..=14).contains(&failed), "{failed} attempts by those that had seen it");
    let back = attempts(&played, "s-0", &[0, 1, 2, 3, 4], 10_500..13_000);
    assert!(back > 5, "{back} attempts once it was well");
}

/// One gateway does not reach a server that all others do.
#[test]
fn one_gateway_that_sees_a_server_fail_takes_it_from_nobody() {
    let plan = sharing("use").with_action(1_500, FaultAction::Fail { server: 0, gateways: vec![2] });
    let played = shares(&plan);
    let out = judged(&played, "s-0", 0..7_000);
    assert!(out.len() == 5 && out.values().all(|out| !out), "{out:?}");
    let (blind, others) = (attempts(&played, "s-0", &[2], 1_500..7_000), [0, 1, 3, 4]);
    assert!(blind > 1 && attempts(&played, "s-0", &others, 3_000..7_000) > 10, "{blind} by the blind one");
}

/// Gateways that are told that servers begin warm break the budget, and the rig says so by name.
#[test]
fn the_rig_catches_gateways_that_do_not_spare_cold_servers() {
    let config = json!({"settings": {"rules": {"coldFrom": 1.0, "warmWithin": 0.0}}});
    let played = played(&FaultPlan { config, last_ms: 6_000, ..tier() });
    assert_eq!(played.summary.violations.keys().copied().collect::<Vec<_>>(), ["cold-budget"]);
}

/// Whatever ends a play early ends its processes, too, also one that stands still.
#[test]
fn a_panic_leaves_no_process() {
    let _turn = turn();
    // Told to no other play's processes, so theirs are not counted.
    let clock_ms = 1_234_567;
    let plan = FaultPlan { gateways: 3, clocks_ms: vec![clock_ms; 3], ..tier() }
        .with_action(100, FaultAction::Stall { gateway: 1 });
    let mark = format!("ASHTIDE_CLOCK_OFFSET_MS={clock_ms}");
    let running = || {
        let all = std::fs::read_dir("/proc").expect("processes").flatten();
        let told =
            |path: &Path| std::fs::read(path).is_ok_and(|all| String::from_utf8_lossy(&all).contains(&mark));
        all.filter(|entry| told(&entry.path().join("environ"))).count()
    };
    let ended = std::panic::catch_unwind(|| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            tokio::select! {
                ended = run_plan(Path::new(env!("CARGO_BIN_EXE_ashtide")), &plan) => ended.map(|_| 0),
                seen = async {
                    while running() < 3 {
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                    tokio::time::sleep(Duration::from_millis(500)).await;
                    running()
                } => panic!("{seen} on purpose"),
            }
        })
    });
    let why = ended.expect_err("the play came to its end").downcast::<String>().expect("a text");
    assert_eq!(*why, "3 on purpose");
    let left = (0..100).find(|_| {
        std::thread::sleep(Duration::from_millis(20));
        running() == 0
    });
    assert!(left.is_some(), "{} processes are left after 2 s", running());
}
