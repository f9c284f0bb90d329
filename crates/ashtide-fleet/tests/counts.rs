//! Counts are joined in any order, any number of times; a restart replaces, a death ages out.

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

/// Few slots, lives, keys and versions, so that they meet.
fn table() -> impl Strategy<Value = CountTable> {
    let key = prop_oneof![
        (0..2u32).prop_map(CounterKey::OpenOnServer),
        (0..2u32).prop_map(CounterKey::SentToServer)
    ];
    let cell = (1..4u32, 0..4u32).prop_map(|(version, value)| VersionedCount { version, value });
    let row = (0..3u64, btree_map(key, cell, 0..4))
        .prop_map(|(generation, cells)| ReplicaCounts { incarnation: generation, cells });
    btree_map(0..3u16, row, 0..4).prop_map(|rows| {
        let mut table = CountTable::default();
        rows.iter().for_each(|(&slot, row)| {
            table.merge_row(Slot(slot), row);
        });
        table
    })
}

fn joined<'a>(tables: impl IntoIterator<Item = &'a CountTable>) -> CountTable {
    let mut all = CountTable::default();
    tables.into_iter().for_each(|table| all.merge(table));
    all
}

#[test]
fn a_merge_is_commutative_associative_and_idempotent() {
    runner()
        .run(&(table(), table(), table()), |(a, b, c)| {
            prop_assert_eq!(joined([&a, &b]), joined([&b, &a]));
            prop_assert_eq!(joined([&joined([&a, &b]), &c]), joined([&a, &joined([&b, &c])]));
            prop_assert_eq!(joined([&a, &a]), a);
            Ok(())
        })
        .unwrap();
}

/// A gateway counts, restarts and counts again; another hears its words in any order, some twice, some never, and the
/// last one. Then it has what the gateway has: C3.
fn reorder(broken: Option<Mutation>, events: &[(bool, u32, u32)], order: &[u8]) -> Result<(), Violation> {
    let now = Duration::ZERO;
    let mut teller = ReplicatedCounts::new(Slot(1), 5, now);
    let mut listener = ReplicatedCounts::new(Slot(2), 9, now);
    if let Some(broken) = broken {
        listener.set_mutation(broken);
    }
    let mut generation = 5;
    let mut said = Vec::new();
    for &(restart, key, value) in events {
        if restart {
            generation += 1;
            teller = ReplicatedCounts::new(Slot(1), generation, now);
        }
        teller.set(CounterKey::OpenOnServer(key), value);
        said.push(teller.own_row().clone());
    }
    for &at in order {
        listener.merge_remote(now, Slot(1), &said[usize::from(at) % said.len()]);
    }
    listener.merge_remote(now, Slot(1), &said[said.len() - 1]);
    listener.check()?;
    let empty = BTreeMap::new();
    let received = listener.table().rows().get(&Slot(1)).map_or(&empty, |row| &row.cells);
    for key in 0..3 {
        let value = |cells: &BTreeMap<CounterKey, VersionedCount>| {
            cells.get(&CounterKey::OpenOnServer(key)).map_or(0, |cell| cell.value)
        };
        let found = value(received);
        let expected = value(&teller.own_row().cells);
        if found != expected {
            return Err(Violation::MiscountedRow { slot: Slot(1), found, expected });
        }
    }
    Ok(())
}

#[test]
fn late_repeated_and_earlier_rows_are_not_counted() {
    let events = vec((prop::bool::weighted(0.2), 0..3u32, 0..5u32), 1..12);
    let cases = (events, vec(any::<u8>(), 0..20));
    runner()
        .run(&cases, |(events, order)| {
            prop_assert_eq!(reorder(None, &events, &order), Ok(()));
            Ok(())
        })
        .unwrap();
    for broken in [Mutation::MergeBySum, Mutation::IgnoreIncarnation] {
        let found = runner().run(&cases, |(events, order)| {
            prop_assert_eq!(reorder(Some(broken), &events, &order), Ok(()));
            Ok(())
        });
        let found = format!("{:?}", found.expect_err("it is broken"));
        assert!(found.contains("MiscountedRow {"), "{broken:?} is found by its name: {found}");
    }
}

#[test]
fn the_row_of_a_dead_gateway_expires_and_no_late_datagram_restores_it() {
    let second = Duration::from_secs(1);
    let mut one = ReplicatedCounts::new(Slot(1), 5, second);
    let mut two = ReplicatedCounts::new(Slot(2), 9, second);
    one.set(CounterKey::OpenForPartner(7), 3);
    two.set(CounterKey::OpenForPartner(7), 4);
    assert!(two.merge_remote(second, Slot(1), one.own_row()));
    let reading = two.total(CounterKey::OpenForPartner(7));
    assert_eq!((reading.sum, reading.gateway_count), (7, 2));
    two.advance_to(second + ROW_LIFETIME - Duration::from_millis(1));
    assert_eq!(two.total(CounterKey::OpenForPartner(7)).sum, 7);
    two.advance_to(second + ROW_LIFETIME);
    assert_eq!(two.total(CounterKey::OpenForPartner(7)).sum, 4);
    assert!(!two.merge_remote(second + ROW_LIFETIME, Slot(1), one.own_row()), "a repeated word");
    one.refresh();
    assert!(two.merge_remote(second + ROW_LIFETIME, Slot(1), one.own_row()), "it is there after all");
    assert_eq!(two.check(), Ok(()));
    assert!(!two.merge_remote(
        second,
        Slot(2),
        &ReplicaCounts { incarnation: 10, ..ReplicaCounts::default() }
    ));
    assert_eq!(two.superseded_by(), Some(10), "a second process of this number");
}
