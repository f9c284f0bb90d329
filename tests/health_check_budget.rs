//! Probes stay under their price however many gateways ask for them.

use ashtide::engine::health_check_budget::HealthCheckBudget;
use ashtide::{ServerId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECONDS: usize = 600;

/// Probes that one server gets in each second from so many gateways, all of which start at once and ask for a
/// probe ten times a second.
fn each_second(gateways: u32) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let phase = |_| HealthCheckBudget::new(true, gateways, rng.random());
    let mut tier: Vec<HealthCheckBudget> = (0..gateways).map(phase).collect();
    let mut seconds = vec![0; SECONDS];
    for step in 0..10 * SECONDS {
        let now = Time::from_micros(step as i64 * 100_000);
        seconds[step / 10] +=
            tier.iter_mut().filter_map(|it| it.try_acquire(now, ServerId(0)).then_some(())).count();
    }
    seconds
}

#[test]
fn a_server_is_probed_about_once_a_second_whatever_the_number_of_gateways() {
    for gateways in [1, 3, 100, 300] {
        let seconds = each_second(gateways);
        let (sum, worst) = (seconds.iter().sum::<usize>(), seconds.iter().max().copied().unwrap_or(0));
        // Each has one for its phase, which is part of a turn.
        let most = SECONDS + gateways as usize;
        assert!(sum <= most && sum >= SECONDS / 2, "{gateways} gateways: {sum} in {SECONDS} s");
        assert!(worst <= 8, "{gateways} gateways: {worst} in one second");
    }
}

#[test]
fn none_is_sent_where_the_settings_allow_none_and_all_are_counted() {
    let mut probing = HealthCheckBudget::new(false, 1, 0.0);
    assert!((0..50).all(|second| !probing.try_acquire(Time::from_micros(second * 1_000_000), ServerId(2))));
    assert_eq!((probing.sent(), probing.withheld()), (0, 50));
}
