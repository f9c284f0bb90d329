//! Received datagrams: each is either handled or counted as rejected, and malformed ones do no harm.

use std::net::SocketAddr;
use std::time::Duration;

use ashtide_fleet::{DecodeError, MAX_DATAGRAM, Membership, ViewConfig};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn member(port: u16, fleet_id: u32, seeds: Vec<SocketAddr>) -> Membership {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Membership::new(ViewConfig::new(fleet_id, 3), address, 1_000, seeds, u64::from(port), Duration::ZERO)
}

/// Returns the datagram with which the member at port 1 announces itself to the seed at port 2.
fn join_datagram(fleet_id: u32) -> Vec<u8> {
    let mut sender = member(1, fleet_id, vec![SocketAddr::from(([127, 0, 0, 1], 2))]);
    sender.handle_timeout(Duration::ZERO);
    let (_, datagram) = sender.next_datagram().expect("the announcement to the seed");
    datagram.to_vec()
}

#[test]
fn foreign_own_and_overlong_datagrams_are_counted_by_reason() {
    let valid = join_datagram(5);
    let mut receiver = member(2, 5, vec![]);
    let mut other_version = valid.clone();
    other_version[0] ^= 1;
    let mut cases = vec![(other_version, DecodeError::Version), (join_datagram(6), DecodeError::OtherFleet)];
    cases.push((vec![0; 3], DecodeError::Length));
    cases.push((vec![0x41; MAX_DATAGRAM + 1], DecodeError::Length));
    cases.push((valid[..valid.len() - 4].to_vec(), DecodeError::Malformed));
    for (bytes, error) in cases {
        assert_eq!(receiver.handle_datagram(Duration::ZERO, &bytes), Err(error), "{bytes:?}");
        assert!(receiver.metrics().rejected[&error] > 0);
        assert_eq!(receiver.members().count(), 0);
    }
    let mut sender = member(1, 5, vec![]);
    assert_eq!(sender.handle_datagram(Duration::ZERO, &valid), Err(DecodeError::Own));
    assert_eq!(receiver.handle_datagram(Duration::ZERO, &valid), Ok(()));
    assert_eq!((receiver.members().count(), receiver.metrics().received.datagrams), (1, 1));
}

#[test]
fn no_bytes_panic_or_create_more_members_than_they_list() {
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let valid = join_datagram(5);
    // The version and the fleet ID. The payload kind and random bytes follow.
    let frame_start = valid[..5].to_vec();
    runner
        .run(&(vec(any::<u8>(), 0..300), vec((0..valid.len(), any::<u8>()), 0..4)), |(tail, changes)| {
            let mut receiver = member(2, 5, vec![]);
            let _ = receiver.handle_datagram(Duration::ZERO, &tail);
            for kind in [0, 1] {
                let datagram = [&frame_start[..], &[kind], &tail[..]].concat();
                let _ = receiver.handle_datagram(Duration::ZERO, &datagram);
            }
            let mut changed = valid.clone();
            for (index, byte) in changes {
                changed[index] = byte;
            }
            let _ = receiver.handle_datagram(Duration::ZERO, &changed);
            // A datagram of 256 bytes lists a dozen members at most.
            prop_assert!(receiver.members().count() < 40);
            let mut sent = 0;
            while let Some((_, datagram)) = receiver.next_datagram() {
                prop_assert!(datagram.len() <= MAX_DATAGRAM);
                sent += 1;
            }
            prop_assert!(sent <= 48, "{sent} datagrams sent, the budget allows 48");
            for second in 1..4 {
                receiver.handle_timeout(Duration::from_secs(second));
            }
            Ok(())
        })
        .unwrap();
}
