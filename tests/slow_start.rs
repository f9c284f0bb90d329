//! Permits for a warming server. The number of permits that all holders together can use within a window,
//! each at the worst moment, is compared with the overload threshold, which the test computes independently.

use ashtide::decision::slow_start::{PermitHolder, PermitSchedule, SlowStartConfig};
use ashtide::fleet::permits::PERMIT_LIFETIME;
use ashtide::{GatewayId, Settings, Span, Time, ZoneId};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};

/// Step of the server's age in which permits are looked for, in microseconds.
const AGE_STEP_US: i64 = 20_000;

fn secs(seconds: f64) -> Span {
    Span::from_micros((seconds * 1e6) as i64)
}

fn settings(
    fleet_permits: bool,
    overload_factor: f64,
    overload_window: Span,
    initial_capacity_share: f64,
    warm_up_time: Span,
) -> Settings {
    let base = Settings::for_zone(ZoneId(0));
    Settings {
        fleet_permits,
        gateways: 30,
        overload_factor,
        overload_window,
        initial_capacity_share,
        warm_up_time,
        ..base
    }
}

/// Returns N + 2 sqrt(N) + 2, where N is the number of requests per overload window that the settings allow
/// at this age. The computation is independent of the code under test.
fn overload_threshold(settings: &Settings, age: Span, connections_when_full: f64) -> f64 {
    let warm_up = settings.warm_up_time.as_secs();
    let share = settings.initial_capacity_share
        + (1.0 - settings.initial_capacity_share) * (age.as_secs() / warm_up).min(1.0);
    let window = settings.overload_window.as_secs();
    let allowed = settings.overload_factor * share * connections_when_full / warm_up * window;
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// Whether unused permits expire. If they never expire, the permits exceed the overload threshold.
#[derive(Clone, Copy, PartialEq)]
enum UnusedPermits {
    Expire,
    NeverExpire,
}

/// Period within which a permit can be used, in microseconds of the server's age.
struct UsablePeriod {
    begin: i64,
    end: i64,
}

/// Returns the usable period of each permit: from its issue until one lease after it expired.
fn usable_periods(
    schedule: PermitSchedule,
    connections_when_full: f64,
    until: Span,
    lease: Span,
    unused: UnusedPermits,
) -> Vec<UsablePeriod> {
    let mut periods = Vec::new();
    let mut expired = 0;
    for age_us in (0..until.as_micros()).step_by(AGE_STEP_US as usize) {
        let age = Span::from_micros(age_us);
        let issued = schedule.permits_issued(age, connections_when_full).floor().max(0.0) as usize;
        let count = periods.len().max(issued).min(20_000);
        periods.resize_with(count, || UsablePeriod { begin: age_us, end: i64::MAX });
        let last_expired = schedule.permits_expired(age, connections_when_full).max(0.0) as usize;
        for number in expired..last_expired.min(periods.len()).max(expired) {
            let period = &mut periods[number];
            period.end = match unused {
                UnusedPermits::Expire => (age_us + lease.as_micros()).max(period.begin),
                UnusedPermits::NeverExpire => i64::MAX,
            };
        }
        expired = expired.max(last_expired.min(periods.len()));
    }
    // A permit that expired before it was issued cannot be used.
    periods.retain(|period| {
        period.end > period.begin + lease.as_micros() || lease == Span::ZERO && period.end > period.begin
    });
    periods
}

/// Returns the largest difference over all windows between the permits that can be used and the overload
/// threshold. A positive difference is a violation.
fn worst_excess(settings: &Settings, connections_when_full: f64, until: Span, unused: UnusedPermits) -> f64 {
    let ungranted = PermitSchedule::ungranted_permits(settings);
    let mut periods = usable_periods(ungranted, connections_when_full, until, Span::ZERO, unused);
    if settings.fleet_permits {
        let granted = SlowStartConfig::new(settings).granted_permits(PERMIT_LIFETIME);
        periods.extend(usable_periods(granted, connections_when_full, until, PERMIT_LIFETIME, unused));
    }
    let window = settings.overload_window.as_micros();
    // The window is shortened by one step at each end, because the periods are determined in steps.
    let excess = |window_begin: i64| {
        let is_usable = |period: &&UsablePeriod| {
            period.begin < window_begin + window - AGE_STEP_US && period.end > window_begin + AGE_STEP_US
        };
        let count = periods.iter().filter(is_usable).count();
        count as f64 - overload_threshold(settings, Span::from_micros(window_begin), connections_when_full)
    };
    (0..until.as_micros() - window).step_by(5 * AGE_STEP_US as usize).map(excess).fold(f64::MIN, f64::max)
}

/// Settings of the tests with fixed numbers.
fn example_settings(fleet_permits: bool) -> Settings {
    settings(fleet_permits, 2.5, secs(2.0), 0.13, secs(24.0))
}

/// Number of connections that fill a server in the tests with fixed numbers.
const CONNECTIONS_WHEN_FULL: f64 = 54.0;

#[test]
fn all_permits_together_never_exceed_the_overload_threshold() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[21; 32]);
    let mut runner =
        TestRunner::new_with_rng(Cases { cases: 160, failure_persistence: None, ..Cases::default() }, rng);
    let cases = (any::<bool>(), 0.5..4.0, 0.3..4.0, 0.01..1.0, 0.2..30.0, -2.0..3.5f64);
    runner
        .run(&cases, |(fleet_permits, overload_factor, window, initial_share, warm_up, full_log10)| {
            let settings =
                settings(fleet_permits, overload_factor, secs(window), initial_share, secs(warm_up));
            let connections_when_full = 10f64.powf(full_log10);
            let until = secs(2.0 * warm_up + 2.0 * window);
            let excess = worst_excess(&settings, connections_when_full, until, UnusedPermits::Expire);
            prop_assert!(
                excess <= 0.0,
                "permits exceed the threshold by {excess}: {settings:?}, full at {connections_when_full}"
            );
            Ok(())
        })
        .unwrap();
}

#[test]
fn permits_that_never_expire_exceed_the_overload_threshold() {
    for fleet_permits in [false, true] {
        let settings = example_settings(fleet_permits);
        let excess = |unused| worst_excess(&settings, CONNECTIONS_WHEN_FULL, secs(48.0), unused);
        assert!(excess(UnusedPermits::Expire) <= 0.0);
        assert!(
            excess(UnusedPermits::NeverExpire) > 0.0,
            "the check does not detect permits that never expire"
        );
    }
}

#[test]
fn each_permit_is_used_once_by_its_holder_and_never_by_a_later_process() {
    let settings = example_settings(false);
    let server_started_at = Time::from_micros(1_000_000);
    let schedule = PermitSchedule::ungranted_permits(&settings);
    let mut used = std::collections::BTreeMap::new();
    for index in 0..settings.gateways {
        let gateway = Settings { gateway_id: GatewayId(index), ..settings.clone() };
        let mut started_at = Time::from_micros(0);
        let mut last_used = 0;
        for now in (1_000_000..60_000_000).step_by(100_000) {
            let now = Time::from_micros(now);
            // Every third gateway restarts every 7 s and loses its state.
            if index % 3 == 0 && now.as_micros() % 7_000_000 == 0 {
                started_at = now;
                last_used = 0;
            }
            let holder = PermitHolder::for_gateway(&gateway, 0x5be2_a07c, started_at, last_used);
            let next = schedule.next_permit(now, server_started_at, CONNECTIONS_WHEN_FULL, holder);
            if let Ok(permit) = next {
                last_used = permit;
                assert_eq!(used.insert(permit, index), None, "permit {permit} is used twice");
                let age = now.since(server_started_at);
                assert!(permit as f64 <= schedule.permits_issued(age, CONNECTIONS_WHEN_FULL));
            }
        }
    }
    let issued = schedule.permits_issued(secs(58.0), CONNECTIONS_WHEN_FULL);
    assert!(used.len() as f64 > 0.9 * issued, "{} of {issued} permits used", used.len());
}

#[test]
fn permit_reported_by_a_sibling_counts_unless_it_cannot_have_been_issued() {
    let settings = example_settings(false);
    let schedule = PermitSchedule::ungranted_permits(&settings);
    let started_at = Time::from_micros(0);
    let now = Time::from_micros(10_000_000);
    let issued = schedule.permits_issued(now.since(started_at), CONNECTIONS_WHEN_FULL) as u64;
    let accepted =
        |reported| schedule.accept_reported_permit(now, Some(started_at), CONNECTIONS_WHEN_FULL, reported);
    assert_eq!(accepted(issued), issued);
    assert_eq!(accepted(issued + 3), 0, "a permit for the server's previous process");
}
