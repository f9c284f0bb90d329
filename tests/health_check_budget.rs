//! The rate of health checks stays within the budget, regardless of the number of gateways.

use ashtide::engine::health_check_budget::HealthCheckBudget;
use ashtide::{ServerId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Duration of the run, in seconds.
const SECONDS: usize = 600;

/// Returns the number of health checks that one server gets in each second. All gateways start at the same
/// time and request a check ten times per second.
fn checks_per_second(gateways: u32) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let phase = |_| HealthCheckBudget::new(true, gateways, rng.random());
    let mut budgets: Vec<HealthCheckBudget> = (0..gateways).map(phase).collect();
    let mut seconds = vec![0; SECONDS];
    for step in 0..10 * SECONDS {
        let now = Time::from_micros(step as i64 * 100_000);
        seconds[step / 10] += budgets
            .iter_mut()
            .filter_map(|budget| budget.try_acquire(now, ServerId(0)).then_some(()))
            .count();
    }
    seconds
}

#[test]
fn a_server_is_checked_about_once_a_second_whatever_the_number_of_gateways() {
    for gateways in [1, 3, 100, 300] {
        let seconds = checks_per_second(gateways);
        let total = seconds.iter().sum::<usize>();
        let largest = seconds.iter().max().copied().unwrap_or(0);
        // Each gateway may send one additional check, as its phase is shorter than an interval.
        let limit = SECONDS + gateways as usize;
        assert!(total <= limit && total >= SECONDS / 2, "{gateways} gateways: {total} in {SECONDS} s");
        assert!(largest <= 8, "{gateways} gateways: {largest} in one second");
    }
}

#[test]
fn a_disabled_budget_allows_no_check_and_counts_all_as_withheld() {
    let mut budget = HealthCheckBudget::new(false, 1, 0.0);
    assert!((0..50).all(|second| !budget.try_acquire(Time::from_micros(second * 1_000_000), ServerId(2))));
    assert_eq!((budget.sent(), budget.withheld()), (0, 50));
}
