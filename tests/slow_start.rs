//! Permits for a warming server: what all their holders can use within a window, each at the worst moment, against the
//! rule as the page states it.

use ashtide::decision::slow_start::{PermitHolder, PermitSchedule, SlowStartConfig};
use ashtide::fleet::permits::PERMIT_LIFETIME;
use ashtide::{GatewayId, Settings, Span, Time, ZoneId};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};

const STEP: i64 = 20_000;

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

/// N + 2 x root of N + 2, N what the settings allow at this age. Not the code under test.
fn overload_threshold(settings: &Settings, age: Span, full: f64) -> f64 {
    let warm = settings.warm_up_time.as_secs();
    let share = settings.initial_capacity_share
        + (1.0 - settings.initial_capacity_share) * (age.as_secs() / warm).min(1.0);
    let allowed = settings.overload_factor * share * full / warm * settings.overload_window.as_secs();
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// Whether permits that are not used expire; if they are kept, the rule is broken.
#[derive(Clone, Copy, PartialEq)]
enum Unused {
    Expire,
    NeverExpire,
}

/// When a permit can be used first and last, in microseconds of the server's age.
struct Usable {
    first: i64,
    last: i64,
}

/// When each permit can be used: from its issue until it has expired and a lease has passed.
fn usable(schedule: PermitSchedule, full: f64, until: Span, lease: Span, unused: Unused) -> Vec<Usable> {
    let mut permits = Vec::new();
    let mut expired = 0;
    for micros in (0..until.as_micros()).step_by(STEP as usize) {
        let age = Span::from_micros(micros);
        let issued = schedule.permits_issued(age, full).floor().max(0.0) as usize;
        let count = permits.len().max(issued).min(20_000);
        permits.resize_with(count, || Usable { first: micros, last: i64::MAX });
        let last_expired = schedule.permits_expired(age, full).max(0.0) as usize;
        for number in expired..last_expired.min(permits.len()).max(expired) {
            let permit = &mut permits[number];
            permit.last = match unused {
                Unused::Expire => (micros + lease.as_micros()).max(permit.first),
                Unused::NeverExpire => i64::MAX,
            };
        }
        expired = expired.max(last_expired.min(permits.len()));
    }
    // One that expired before it was issued is nobody's.
    permits.retain(|permit| {
        permit.last > permit.first + lease.as_micros() || lease == Span::ZERO && permit.last > permit.first
    });
    permits
}

/// How much the worst window has more than the rule allows it, if any.
fn worst_excess(settings: &Settings, full: f64, until: Span, unused: Unused) -> f64 {
    let ungranted = PermitSchedule::ungranted_permits(settings);
    let mut permits = usable(ungranted, full, until, Span::ZERO, unused);
    if settings.fleet_permits {
        let granted = SlowStartConfig::new(settings).granted_permits(PERMIT_LIFETIME);
        permits.extend(usable(granted, full, until, PERMIT_LIFETIME, unused));
    }
    let window = settings.overload_window.as_micros();
    // One step of slack on each side, as permits are looked for in steps.
    let excess = |from: i64| {
        let is_usable = |permit: &&Usable| permit.first < from + window - STEP && permit.last > from + STEP;
        let count = permits.iter().filter(is_usable).count();
        count as f64 - overload_threshold(settings, Span::from_micros(from), full)
    };
    (0..until.as_micros() - window).step_by(5 * STEP as usize).map(excess).fold(f64::MIN, f64::max)
}

#[test]
fn all_permits_together_never_exceed_the_overload_threshold() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[21; 32]);
    let mut runner =
        TestRunner::new_with_rng(Cases { cases: 160, failure_persistence: None, ..Cases::default() }, rng);
    let cases = (any::<bool>(), 0.5..4.0, 0.3..4.0, 0.01..1.0, 0.2..30.0, -2.0..3.5f64);
    runner
        .run(&cases, |(peers, multiple, overload, cold_from, warm, full)| {
            let settings = settings(peers, multiple, secs(overload), cold_from, secs(warm));
            let full = 10f64.powf(full);
            let until = secs(2.0 * warm + 2.0 * overload);
            let excess = worst_excess(&settings, full, until, Unused::Expire);
            prop_assert!(excess <= 0.0, "{excess} over the rule with {settings:?} filled by {full}");
            Ok(())
        })
        .unwrap();
}

#[test]
fn permits_that_never_expire_break_the_rule() {
    for fleet_permits in [false, true] {
        let settings = settings(fleet_permits, 2.5, secs(2.0), 0.13, secs(24.0));
        assert!(worst_excess(&settings, 54.0, secs(48.0), Unused::Expire) <= 0.0);
        assert!(
            worst_excess(&settings, 54.0, secs(48.0), Unused::NeverExpire) > 0.0,
            "the check finds nothing"
        );
    }
}

#[test]
fn each_permit_has_one_holder_who_uses_it_once_and_none_of_an_earlier_process() {
    let settings = settings(false, 2.5, secs(2.0), 0.13, secs(24.0));
    let server_started_at = Time::from_micros(1_000_000);
    let schedule = PermitSchedule::ungranted_permits(&settings);
    let mut used = std::collections::BTreeMap::new();
    for index in 0..30 {
        let gateway = Settings { gateway_id: GatewayId(index), ..settings.clone() };
        let mut started_at = Time::from_micros(0);
        let mut last_used = 0;
        for now in (1_000_000..60_000_000).step_by(100_000) {
            let now = Time::from_micros(now);
            // Every third gateway is restarted every 7 s, and knows nothing of before.
            if index % 3 == 0 && now.as_micros() % 7_000_000 == 0 {
                started_at = now;
                last_used = 0;
            }
            let holder = PermitHolder::for_gateway(&gateway, 0x5be2_a07c, started_at, last_used);
            if let Ok(permit) = schedule.next_permit(now, server_started_at, 54.0, holder) {
                last_used = permit;
                assert_eq!(used.insert(permit, index), None, "permit {permit} is used twice");
                assert!(permit as f64 <= schedule.permits_issued(now.since(server_started_at), 54.0));
            }
        }
    }
    let issued = schedule.permits_issued(secs(58.0), 54.0);
    assert!(used.len() as f64 > 0.9 * issued, "{} of {issued} permits used", used.len());
}

#[test]
fn permit_reported_by_another_process_counts_unless_it_cannot_have_been_issued() {
    let settings = settings(false, 2.5, secs(2.0), 0.13, secs(24.0));
    let schedule = PermitSchedule::ungranted_permits(&settings);
    let started_at = Time::from_micros(0);
    let now = Time::from_micros(10_000_000);
    let issued = schedule.permits_issued(now.since(started_at), 54.0) as u64;
    assert_eq!(schedule.accept_reported_permit(now, Some(started_at), 54.0, issued), issued);
    assert_eq!(
        schedule.accept_reported_permit(now, Some(started_at), 54.0, issued + 3),
        0,
        "it is of the server's previous process"
    );
}
