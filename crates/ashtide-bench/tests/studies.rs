//! Small copies of the studies: the same verdict every time, and what the library is for.

use std::time::Duration;

use ashtide_bench::fault_comparison::{FaultKind, library, run_comparison};
use ashtide_bench::reconnect_burst;
use ashtide_bench::simulation::ClientBehavior;
use ashtide_client::Settings;

#[test]
fn a_mass_return_is_spread_and_repeats_from_its_seed() {
    let run = || reconnect_burst::devices(3000, library(Settings::default()), 1e9, 5);
    let seen = run();
    assert_eq!((seen.back, seen.attempts, seen.overlaps), (3000, 3000, 0));
    assert!(seen.span_ms >= 2000.0 && seen.peak_to_mean <= 1.6, "{seen:?}");
    assert!(seen.back_ms[2] <= 4500.0, "and nobody waits longer than the window: {:?}", seen.back_ms);
    assert_eq!(run(), seen);
    let baseline =
        reconnect_burst::devices(3000, ClientBehavior::Baseline(Duration::ZERO, Duration::ZERO), 1e9, 5);
    assert!(
        baseline.peak_to_mean > 3.0 || baseline.span_ms < 200.0,
        "without it there is one wave: {baseline:?}"
    );
}

#[test]
fn a_site_that_refuses_part_of_a_return_sees_it_spread_wider() {
    let admitted = reconnect_burst::devices(3000, library(Settings::default()), 300.0, 5);
    assert!(admitted.span_ms > 6000.0 && admitted.overlaps == 0, "{admitted:?}");
    assert_eq!(admitted.back, 3000);
}

#[test]
fn many_sessions_of_one_process_return_at_its_rate() {
    let seen = reconnect_burst::process(5000, Settings { return_rate: 500.0, ..Settings::default() }, 5);
    assert_eq!((seen.back, seen.attempts), (5000, 5000));
    assert!((9_000.0..10_500.0).contains(&seen.span_ms) && seen.peak_to_mean <= 1.6, "{seen:?}");
}

#[test]
fn slowed_servers_recover_sooner_and_from_fewer_attempts_under_the_library() {
    let patient = Settings { tries: 6, ..Settings::default() };
    let with = run_comparison(
        "library",
        ClientBehavior::Library(Box::new(patient), Duration::from_secs(30)),
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
