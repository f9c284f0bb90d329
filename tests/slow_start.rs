//! Turns at a cold server: what all their holders can spend within a window, each at the worst moment, against the
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

fn settings(peers: bool, fall_multiple: f64, overload_for: Span, cold_from: f64, warm: Span) -> Settings {
    let base = Settings::for_zone(ZoneId(0));
    Settings {
        fleet_permits: peers,
        gateways: 30,
        overload_factor: fall_multiple,
        overload_window: overload_for,
        initial_capacity_share: cold_from,
        warm_up_time: warm,
        ..base
    }
}

/// N + 2 x root of N + 2, N what the settings allow at this age. Not the code under test.
fn falls_at(settings: &Settings, age: Span, full: f64) -> f64 {
    let warm = settings.warm_up_time.as_secs();
    let part = settings.initial_capacity_share
        + (1.0 - settings.initial_capacity_share) * (age.as_secs() / warm).min(1.0);
    let n = settings.overload_factor * part * full / warm * settings.overload_window.as_secs();
    n + 2.0 * n.sqrt() + 2.0
}

/// When each turn may be used first and last: by then it is lost, and a lease has passed. `lost` off: the broken variant, in
/// which what is not spent is kept.
fn usable(schedule: PermitSchedule, full: f64, until: Span, lease: Span, lost: bool) -> Vec<(i64, i64)> {
    let (mut turns, mut gone) = (Vec::<(i64, i64)>::new(), 0);
    for at in (0..until.as_micros()).step_by(STEP as usize) {
        let age = Span::from_micros(at);
        let come = schedule.permits_issued(age, full).floor().max(0.0) as usize;
        turns.resize(turns.len().max(come).min(20_000), (at, i64::MAX));
        // Turns up to this one are lost.
        let edge = schedule.permits_expired(age, full).max(0.0) as usize;
        for turn in gone..edge.min(turns.len()).max(gone) {
            turns[turn].1 = if lost { (at + lease.as_micros()).max(turns[turn].0) } else { i64::MAX };
        }
        gone = gone.max(edge.min(turns.len()));
    }
    // One that was lost before it came is nobody's.
    turns.retain(|(first, last)| *last > first + lease.as_micros() || lease == Span::ZERO && last > first);
    turns
}

/// How much the worst window has more than the rule allows it, if any.
fn worst(settings: &Settings, full: f64, until: Span, lost: bool) -> f64 {
    let mut turns = usable(PermitSchedule::ungranted_permits(settings), full, until, Span::ZERO, lost);
    if settings.fleet_permits {
        turns.extend(usable(
            SlowStartConfig::new(settings).granted_permits(PERMIT_LIFETIME),
            full,
            until,
            PERMIT_LIFETIME,
            lost,
        ));
    }
    let window = settings.overload_window.as_micros();
    // One step of slack on each side, as turns are looked for in steps.
    let over = |from: i64| {
        let seen = turns.iter().filter(|&&(first, last)| first < from + window - STEP && last > from + STEP);
        seen.count() as f64 - falls_at(settings, Span::from_micros(from), full)
    };
    (0..until.as_micros() - window).step_by(5 * STEP as usize).map(over).fold(f64::MIN, f64::max)
}

#[test]
fn all_turns_together_are_never_more_than_the_rule_allows() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[21; 32]);
    let mut runner =
        TestRunner::new_with_rng(Cases { cases: 160, failure_persistence: None, ..Cases::default() }, rng);
    let cases = (any::<bool>(), 0.5..4.0, 0.3..4.0, 0.01..1.0, 0.2..30.0, -2.0..3.5f64);
    runner
        .run(&cases, |(peers, multiple, overload, cold_from, warm, full)| {
            let settings = settings(peers, multiple, secs(overload), cold_from, secs(warm));
            let (full, until) = (10f64.powf(full), secs(2.0 * warm + 2.0 * overload));
            let over = worst(&settings, full, until, true);
            prop_assert!(over <= 0.0, "{over} over the rule with {settings:?} filled by {full}");
            Ok(())
        })
        .unwrap();
}

#[test]
fn turns_that_are_kept_break_the_rule() {
    for peers in [false, true] {
        let settings = settings(peers, 2.5, secs(2.0), 0.13, secs(24.0));
        assert!(worst(&settings, 54.0, secs(48.0), true) <= 0.0);
        assert!(worst(&settings, 54.0, secs(48.0), false) > 0.0, "the check finds nothing");
    }
}

#[test]
fn each_turn_has_one_holder_who_spends_it_once_and_none_of_an_earlier_process() {
    let settings = settings(false, 2.5, secs(2.0), 0.13, secs(24.0));
    let (born, schedule) = (Time::from_micros(1_000_000), PermitSchedule::ungranted_permits(&settings));
    let mut spent = std::collections::BTreeMap::new();
    for own in 0..30 {
        let gateway = Settings { gateway_id: GatewayId(own), ..settings.clone() };
        let (mut began, mut last) = (Time::from_micros(0), 0);
        for now in (1_000_000..60_000_000).step_by(100_000) {
            let now = Time::from_micros(now);
            // Every third gateway is started anew every 7 s, and knows nothing of before.
            if own % 3 == 0 && now.as_micros() % 7_000_000 == 0 {
                (began, last) = (now, 0);
            }
            let holder = PermitHolder::for_gateway(&gateway, 0x5be2_a07c, began, last);
            if let Ok(turn) = schedule.next_permit(now, born, 54.0, holder) {
                last = turn;
                assert_eq!(spent.insert(turn, own), None, "turn {turn} is spent twice");
                assert!(turn as f64 <= schedule.permits_issued(now.since(born), 54.0));
            }
        }
    }
    let come = schedule.permits_issued(secs(58.0), 54.0);
    assert!(spent.len() as f64 > 0.9 * come, "{} of {come} turns spent", spent.len());
}

#[test]
fn a_turn_told_by_another_process_counts_unless_it_cannot_have_come() {
    let settings = settings(false, 2.5, secs(2.0), 0.13, secs(24.0));
    let (schedule, born) = (PermitSchedule::ungranted_permits(&settings), Time::from_micros(0));
    let now = Time::from_micros(10_000_000);
    let come = schedule.permits_issued(now.since(born), 54.0) as u64;
    assert_eq!(schedule.accept_reported_permit(now, Some(born), 54.0, come), come);
    assert_eq!(
        schedule.accept_reported_permit(now, Some(born), 54.0, come + 3),
        0,
        "it is of the server's last life"
    );
}
