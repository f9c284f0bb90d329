//! Merges of replicated counts: they do not depend on order or repetition, a restart replaces a row, and the
//! row of a dead gateway expires.

use std::collections::BTreeMap;
use std::time::Duration;

use ashtide_fleet::state::{
    CountTable, CounterKey, Mutation, ROW_LIFETIME, ReplicaCounts, ReplicatedCounts, Slot, VersionedCount,
    Violation,
};
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};

fn runner() -> TestRunner {
    let cases = Cases { cases: 512, failure_persistence: None, ..Cases::default() };
    TestRunner::new_with_rng(cases, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Generates tables with few slots, incarnations, keys and versions, so that they often collide.
fn any_table() -> impl Strategy<Value = CountTable> {
    let key = prop_oneof![
        (0..2u32).prop_map(CounterKey::OpenOnServer),
        (0..2u32).prop_map(CounterKey::SentToServer)
    ];
    let cell = (1..4u32, 0..4u32).prop_map(|(version, value)| VersionedCount { version, value });
    let row = (0..3u64, btree_map(key, cell, 0..4))
        .prop_map(|(incarnation, cells)| ReplicaCounts { incarnation, cells });
    btree_map(0..3u16, row, 0..4).prop_map(|rows| {
        let mut table = CountTable::default();
        rows.iter().for_each(|(&slot, row)| {
            table.merge_row(Slot(slot), row);
        });
        table
    })
}

fn merge_all<'a>(tables: impl IntoIterator<Item = &'a CountTable>) -> CountTable {
    let mut all = CountTable::default();
    tables.into_iter().for_each(|table| all.merge(table));
    all
}

#[test]
fn a_merge_is_commutative_associative_and_idempotent() {
    runner()
        .run(&(any_table(), any_table(), any_table()), |(a, b, c)| {
            prop_assert_eq!(merge_all([&a, &b]), merge_all([&b, &a]));
            prop_assert_eq!(merge_all([&merge_all([&a, &b]), &c]), merge_all([&a, &merge_all([&b, &c])]));
            prop_assert_eq!(merge_all([&a, &a]), a);
            Ok(())
        })
        .unwrap();
}

/// Simulates a gateway that counts and restarts by `events`, and a receiver of its rows. `order` selects the
/// rows that are delivered, in any order, with repetitions and gaps; the last row always arrives. Checks C3:
/// afterwards the receiver has the counts of the sender.
fn deliver_rows(
    mutation: Option<Mutation>,
    events: &[(bool, u32, u32)],
    order: &[u8],
) -> Result<(), Violation> {
    let now = Duration::ZERO;
    let mut sender = ReplicatedCounts::new(Slot(1), 5, now);
    let mut receiver = ReplicatedCounts::new(Slot(2), 9, now);
    if let Some(mutation) = mutation {
        receiver.set_mutation(mutation);
    }
    let mut incarnation = 5;
    let mut sent_rows = Vec::new();
    for &(restart, key, value) in events {
        if restart {
            incarnation += 1;
            sender = ReplicatedCounts::new(Slot(1), incarnation, now);
        }
        sender.set(CounterKey::OpenOnServer(key), value);
        sent_rows.push(sender.own_row().clone());
    }
    for &at in order {
        receiver.merge_remote(now, Slot(1), &sent_rows[usize::from(at) % sent_rows.len()]);
    }
    receiver.merge_remote(now, Slot(1), &sent_rows[sent_rows.len() - 1]);
    receiver.check()?;
    let empty = BTreeMap::new();
    let received = receiver.table().rows().get(&Slot(1)).map_or(&empty, |row| &row.cells);
    for key in 0..3 {
        let value = |cells: &BTreeMap<CounterKey, VersionedCount>| {
            cells.get(&CounterKey::OpenOnServer(key)).map_or(0, |cell| cell.value)
        };
        let found = value(received);
        let expected = value(&sender.own_row().cells);
        if found != expected {
            return Err(Violation::MiscountedRow { slot: Slot(1), found, expected });
        }
    }
    Ok(())
}

#[test]
fn delayed_repeated_and_superseded_rows_are_not_counted() {
    let events = vec((prop::bool::weighted(0.2), 0..3u32, 0..5u32), 1..12);
    let cases = (events, vec(any::<u8>(), 0..20));
    runner()
        .run(&cases, |(events, order)| {
            prop_assert_eq!(deliver_rows(None, &events, &order), Ok(()));
            Ok(())
        })
        .unwrap();
    for mutation in [Mutation::MergeBySum, Mutation::IgnoreIncarnation] {
        let found = runner().run(&cases, |(events, order)| {
            prop_assert_eq!(deliver_rows(Some(mutation), &events, &order), Ok(()));
            Ok(())
        });
        let found = format!("{:?}", found.expect_err("the mutation must violate C3"));
        assert!(found.contains("MiscountedRow {"), "{mutation:?}: expected MiscountedRow, found {found}");
    }
}

#[test]
fn the_row_of_a_dead_gateway_expires_and_no_late_datagram_restores_it() {
    let second = Duration::from_secs(1);
    let mut sender = ReplicatedCounts::new(Slot(1), 5, second);
    let mut receiver = ReplicatedCounts::new(Slot(2), 9, second);
    sender.set(CounterKey::OpenForPartner(7), 3);
    receiver.set(CounterKey::OpenForPartner(7), 4);
    assert!(receiver.merge_remote(second, Slot(1), sender.own_row()));
    let total = receiver.total(CounterKey::OpenForPartner(7));
    assert_eq!((total.sum, total.gateway_count), (7, 2));
    receiver.advance_to(second + ROW_LIFETIME - Duration::from_millis(1));
    assert_eq!(receiver.total(CounterKey::OpenForPartner(7)).sum, 7);
    receiver.advance_to(second + ROW_LIFETIME);
    assert_eq!(receiver.total(CounterKey::OpenForPartner(7)).sum, 4);
    assert!(
        !receiver.merge_remote(second + ROW_LIFETIME, Slot(1), sender.own_row()),
        "a repeated row does not restore an expired one"
    );
    sender.refresh();
    assert!(
        receiver.merge_remote(second + ROW_LIFETIME, Slot(1), sender.own_row()),
        "a refreshed row is accepted again"
    );
    assert_eq!(receiver.check(), Ok(()));
    assert!(!receiver.merge_remote(
        second,
        Slot(2),
        &ReplicaCounts { incarnation: 10, ..ReplicaCounts::default() }
    ));
    assert_eq!(receiver.superseded_by(), Some(10), "another process uses the slot");
}
