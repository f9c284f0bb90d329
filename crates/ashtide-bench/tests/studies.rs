//! Small runs of the studies: the same result for the same seed, and the advantage of the client library over
//! baseline clients.

use std::time::Duration;

use ashtide_bench::fault_comparison::{FaultKind, library_client, run_comparison};
use ashtide_bench::reconnect_burst;
use ashtide_bench::simulation::ClientBehavior;
use ashtide_client::Settings;

#[test]
fn a_reconnect_burst_is_spread_and_repeatable_from_its_seed() {
    let run_burst = || reconnect_burst::simulate_devices(3000, library_client(Settings::default()), 1e9, 5);
    let burst = run_burst();
    assert_eq!((burst.back, burst.attempts, burst.overlaps), (3000, 3000, 0));
    assert!(burst.span_ms >= 2000.0 && burst.peak_to_mean <= 1.6, "{burst:?}");
    assert!(
        burst.back_ms[2] <= 4500.0,
        "a session waited longer than the reconnect window: {:?}",
        burst.back_ms
    );
    assert_eq!(run_burst(), burst);
    let baseline = reconnect_burst::simulate_devices(
        3000,
        ClientBehavior::Baseline(Duration::ZERO, Duration::ZERO),
        1e9,
        5,
    );
    assert!(
        baseline.peak_to_mean > 3.0 || baseline.span_ms < 200.0,
        "expected a peak with baseline clients: {baseline:?}"
    );
}

#[test]
fn rejections_spread_a_reconnect_burst_further() {
    let burst = reconnect_burst::simulate_devices(3000, library_client(Settings::default()), 300.0, 5);
    assert!(burst.span_ms > 6000.0 && burst.overlaps == 0, "{burst:?}");
    assert_eq!(burst.back, 3000);
}

#[test]
fn sessions_of_one_process_reconnect_at_its_rate_limit() {
    let burst =
        reconnect_burst::simulate_process(5000, Settings { return_rate: 500.0, ..Settings::default() }, 5);
    assert_eq!((burst.back, burst.attempts), (5000, 5000));
    assert!((9_000.0..10_500.0).contains(&burst.span_ms) && burst.peak_to_mean <= 1.6, "{burst:?}");
}

#[test]
fn slowed_servers_recover_sooner_and_with_fewer_attempts_with_the_library() {
    let settings = Settings { tries: 6, ..Settings::default() };
    let with = run_comparison(
        "library",
        ClientBehavior::Library(Box::new(settings), Duration::from_secs(30)),
        FaultKind::Slowed,
        0.2,
        1,
    );
    let wait = (Duration::from_millis(200), Duration::from_millis(1700));
    let without =
        run_comparison("naive", ClientBehavior::Baseline(wait.0, wait.1), FaultKind::Slowed, 0.2, 1);
    let sooner = |with: u64| without.recovered_s.is_none_or(|without| with + 20 < without);
    assert!(with.recovered_s.is_some_and(sooner), "{with:?}\n{without:?}");
    assert!(with.attempts_per_useful * 4.0 < without.attempts_per_useful, "{with:?}\n{without:?}");
    assert!(with.share_served > without.share_served, "{with:?}\n{without:?}");
    assert_eq!(with.overlaps, 0);
}
