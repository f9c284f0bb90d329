//! Outlier reports: merges do not depend on order, one observer cannot eject a server, and the ejected
//! capacity stays within its limit.

use std::time::Duration;

use ashtide_fleet::state::{
    EVIDENCE_LIFETIME, Evidence, EvidenceKind, EvidenceMessage, EvidenceSet, MAX_OBSERVERS, Mutation,
    OutlierLimits, OutlierReports, Slot, Violation,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};

fn evidence_set() -> impl Strategy<Value = EvidenceSet> {
    let evidence = (0..40u16, 0..2u64, 0..3u32, 0..4u16, 0..4u16, 0..3u64);
    vec(evidence, 0..30).prop_map(|all| {
        let mut evidence_set = EvidenceSet::default();
        for (observer, incarnation, sequence, observed, attempts, observed_at_s) in all {
            let observed_at = Duration::from_secs(observed_at_s);
            evidence_set.insert(
                7,
                Slot(observer),
                Evidence { stamp: (incarnation, sequence), observed, attempts, observed_at },
            );
        }
        evidence_set
    })
}

fn merge_all<'a>(sets: impl IntoIterator<Item = &'a EvidenceSet>) -> EvidenceSet {
    let mut all = EvidenceSet::default();
    sets.into_iter().for_each(|evidence_set| all.merge(evidence_set, 7));
    all
}

fn runner() -> TestRunner {
    let cases = Cases { cases: 512, failure_persistence: None, ..Cases::default() };
    TestRunner::new_with_rng(cases, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn a_merge_is_commutative_associative_and_idempotent() {
    runner()
        .run(&(evidence_set(), evidence_set(), evidence_set()), |(a, b, c)| {
            prop_assert_eq!(merge_all([&a, &b]), merge_all([&b, &a]));
            prop_assert_eq!(merge_all([&merge_all([&a, &b]), &c]), merge_all([&a, &merge_all([&b, &c])]));
            prop_assert_eq!(merge_all([&a, &a]), a);
            Ok(())
        })
        .unwrap();
}

fn failing_evidence(server: u32, sequence: u32, observed: u16, attempts: u16) -> EvidenceMessage {
    EvidenceMessage {
        server,
        kind: EvidenceKind::Failing,
        incarnation: 1,
        sequence,
        observed,
        attempts,
        age_ms: 100,
    }
}

/// Ready servers and their capacities, 880 in total.
const READY: [(u32, u64); 10] =
    [(0, 60), (1, 100), (2, 100), (3, 100), (4, 60), (5, 100), (6, 100), (7, 100), (8, 60), (9, 100)];

#[test]
fn invariants_are_true_for_any_evidence_and_a_missing_quorum_is_detected() {
    let events = vec((0..6u16, 0..10u32, any::<u16>(), any::<u16>(), 0..3_000u64), 1..80);
    let run_events = |mutation: Option<Mutation>, events: &[(u16, u32, u16, u16, u64)]| {
        let mut now = Duration::from_secs(50);
        let mut reports = OutlierReports::new(Slot(0), 1, OutlierLimits::default(), now);
        if let Some(mutation) = mutation {
            reports.set_mutation(mutation);
        }
        for (number, &(observer, server, observed, attempts, elapsed_ms)) in events.iter().enumerate() {
            now += Duration::from_millis(elapsed_ms);
            if observer == 0 {
                reports.record_observation(now, server, EvidenceKind::Failing, observed, attempts);
            } else {
                reports.handle_message(
                    now,
                    Slot(observer),
                    failing_evidence(server, number as u32, observed, attempts),
                );
            }
            reports.check(&READY)?;
        }
        Ok::<_, Violation>(())
    };
    runner()
        .run(&events, |events| {
            prop_assert_eq!(run_events(None, &events), Ok(()));
            Ok(())
        })
        .unwrap();
    let found = runner().run(&events, |events| {
        prop_assert_eq!(run_events(Some(Mutation::NoQuorum), &events), Ok(()));
        Ok(())
    });
    let found = format!("{:?}", found.expect_err("the mutation must violate J1"));
    assert!(found.contains("NoQuorum {"), "expected NoQuorum, found {found}");
}

#[test]
fn one_gateway_changes_the_evidence_weight_by_at_most_one_part_in_a_quorum() {
    let now = Duration::from_secs(50);
    let rows = (vec((0..20u16, 0..20u16), 0..12), any::<u16>(), any::<u16>());
    runner()
        .run(&rows, |(honest, observed, attempts)| {
            let mut reports = OutlierReports::new(Slot(0), 1, OutlierLimits::default(), now);
            for (observer, &(observed, attempts)) in honest.iter().enumerate() {
                reports.handle_message(
                    now,
                    Slot(observer as u16 + 2),
                    failing_evidence(3, 1, observed, attempts),
                );
            }
            let before = reports.evidence_weight(3, EvidenceKind::Failing);
            reports.handle_message(now, Slot(1), failing_evidence(3, 1, observed, attempts));
            let after = reports.evidence_weight(3, EvidenceKind::Failing);
            prop_assert!(before.abs_diff(after) <= 334, "{} to {}", before, after);
            // Repeated false evidence of one observer counts once, and cannot be sent in the name of another
            // observer.
            for number in 2..50 {
                reports.handle_message(now, Slot(1), failing_evidence(3, number, 65_000, 65_000));
            }
            let repeated = reports.evidence_weight(3, EvidenceKind::Failing);
            prop_assert!(before.abs_diff(repeated) <= 334, "{} to {}", before, repeated);
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_failing_server_is_ejected_by_a_quorum_and_returns_when_the_evidence_expires() {
    let mut now = Duration::from_secs(50);
    let mut reports = OutlierReports::new(Slot(0), 1, OutlierLimits::default(), now);
    reports.record_observation(now, 3, EvidenceKind::Failing, 9, 9);
    reports.handle_message(now, Slot(1), failing_evidence(3, 1, 9, 9));
    assert_eq!(reports.outliers(&READY), []);
    reports.handle_message(now, Slot(2), failing_evidence(3, 1, 9, 9));
    assert_eq!(reports.outliers(&READY), [(3, EvidenceKind::Failing)]);
    // Evidence of successful attempts by other gateways outweighs the failures.
    for observer in 3..8 {
        reports.handle_message(now, Slot(observer), failing_evidence(3, 1, 0, 9));
    }
    assert_eq!(reports.outliers(&READY), []);
    // All servers fail, as seen by a gateway without connectivity: at most a fifth of the capacity of 880 is
    // ejected.
    for server in 0..10 {
        for observer in 1..8 {
            reports.handle_message(now, Slot(observer), failing_evidence(server, 2, 20, 20));
        }
    }
    let ejected_capacity: u64 = reports.outliers(&READY).iter().map(|it| READY[it.0 as usize].1).sum();
    assert!(ejected_capacity > 0 && ejected_capacity <= 176, "ejected capacity: {ejected_capacity}");
    now += EVIDENCE_LIFETIME;
    reports.advance_to(now);
    assert_eq!((reports.outliers(&READY), reports.check(&READY)), (vec![], Ok(())));
    assert_eq!(reports.own_evidence().count(), 0);
    assert!(MAX_OBSERVERS >= 2 * OutlierLimits::default().quorum);
}
