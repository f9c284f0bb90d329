//! Evidence joins in any order; one observer decides nothing; what is out of use stays within its part.

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
        for (observer, generation, number, saw, of, at) in all {
            let at = Duration::from_secs(at);
            evidence_set.insert(
                7,
                Slot(observer),
                Evidence { stamp: (generation, number), observed: saw, attempts: of, observed_at: at },
            );
        }
        evidence_set
    })
}

fn joined<'a>(boards: impl IntoIterator<Item = &'a EvidenceSet>) -> EvidenceSet {
    let mut all = EvidenceSet::default();
    boards.into_iter().for_each(|evidence_set| all.merge(evidence_set, 7));
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
            prop_assert_eq!(joined([&a, &b]), joined([&b, &a]));
            prop_assert_eq!(joined([&joined([&a, &b]), &c]), joined([&a, &joined([&b, &c])]));
            prop_assert_eq!(joined([&a, &a]), a);
            Ok(())
        })
        .unwrap();
}

fn evidence(server: u32, number: u32, saw: u16, of: u16) -> EvidenceMessage {
    EvidenceMessage {
        server,
        kind: EvidenceKind::Failing,
        incarnation: 1,
        sequence: number,
        observed: saw,
        attempts: of,
        age_ms: 100,
    }
}

const READY: [(u32, u64); 10] =
    [(0, 60), (1, 100), (2, 100), (3, 100), (4, 60), (5, 100), (6, 100), (7, 100), (8, 60), (9, 100)];

#[test]
fn invariants_survive_any_evidence_and_a_missing_quorum_is_found() {
    let events = vec((0..6u16, 0..10u32, any::<u16>(), any::<u16>(), 0..3_000u64), 1..80);
    let simulate = |broken: Option<Mutation>, events: &[(u16, u32, u16, u16, u64)]| {
        let mut now = Duration::from_secs(50);
        let mut judgements = OutlierReports::new(Slot(0), 1, OutlierLimits::default(), now);
        if let Some(broken) = broken {
            judgements.set_mutation(broken);
        }
        for (number, &(observer, server, saw, of, passed)) in events.iter().enumerate() {
            now += Duration::from_millis(passed);
            if observer == 0 {
                judgements.record_observation(now, server, EvidenceKind::Failing, saw, of);
            } else {
                judgements.handle_message(now, Slot(observer), evidence(server, number as u32, saw, of));
            }
            judgements.check(&READY)?;
        }
        Ok::<_, Violation>(())
    };
    runner()
        .run(&events, |events| {
            prop_assert_eq!(simulate(None, &events), Ok(()));
            Ok(())
        })
        .unwrap();
    let found = runner().run(&events, |events| {
        prop_assert_eq!(simulate(Some(Mutation::NoQuorum), &events), Ok(()));
        Ok(())
    });
    let found = format!("{:?}", found.expect_err("it is broken"));
    assert!(found.contains("NoQuorum {"), "{found}");
}

#[test]
fn one_gateway_moves_a_judgement_by_at_most_a_quorums_part() {
    let now = Duration::from_secs(50);
    let rows = (vec((0..20u16, 0..20u16), 0..12), any::<u16>(), any::<u16>());
    runner()
        .run(&rows, |(honest, saw, of)| {
            let mut judgements = OutlierReports::new(Slot(0), 1, OutlierLimits::default(), now);
            for (observer, &(saw, of)) in honest.iter().enumerate() {
                judgements.handle_message(now, Slot(observer as u16 + 2), evidence(3, 1, saw, of));
            }
            let before = judgements.evidence_weight(3, EvidenceKind::Failing);
            judgements.handle_message(now, Slot(1), evidence(3, 1, saw, of));
            let after = judgements.evidence_weight(3, EvidenceKind::Failing);
            prop_assert!(before.abs_diff(after) <= 334, "{} to {}", before, after);
            // A liar that repeats itself, louder, is still one; for another it cannot speak.
            for number in 2..50 {
                judgements.handle_message(now, Slot(1), evidence(3, number, 65_000, 65_000));
            }
            let louder = judgements.evidence_weight(3, EvidenceKind::Failing);
            prop_assert!(before.abs_diff(louder) <= 334, "{} to {}", before, louder);
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_failing_server_is_out_by_a_quorum_and_back_when_the_evidence_is_old() {
    let mut now = Duration::from_secs(50);
    let mut judgements = OutlierReports::new(Slot(0), 1, OutlierLimits::default(), now);
    judgements.record_observation(now, 3, EvidenceKind::Failing, 9, 9);
    judgements.handle_message(now, Slot(1), evidence(3, 1, 9, 9));
    assert_eq!(judgements.outliers(&READY), []);
    judgements.handle_message(now, Slot(2), evidence(3, 1, 9, 9));
    assert_eq!(judgements.outliers(&READY), [(3, EvidenceKind::Failing)]);
    // Those who reach it speak for it.
    for observer in 3..8 {
        judgements.handle_message(now, Slot(observer), evidence(3, 1, 0, 9));
    }
    assert_eq!(judgements.outliers(&READY), []);
    // Everything fails, as for a gateway that is blind: no more than a fifth of 880.
    for server in 0..10 {
        for observer in 1..8 {
            judgements.handle_message(now, Slot(observer), evidence(server, 2, 20, 20));
        }
    }
    let out: u64 = judgements.outliers(&READY).iter().map(|it| READY[it.0 as usize].1).sum();
    assert!(out > 0 && out <= 176, "{out}");
    now += EVIDENCE_LIFETIME;
    judgements.advance_to(now);
    assert_eq!((judgements.outliers(&READY), judgements.check(&READY)), (vec![], Ok(())));
    assert_eq!(judgements.own_evidence().count(), 0);
    assert!(MAX_OBSERVERS >= 2 * OutlierLimits::default().quorum);
}
