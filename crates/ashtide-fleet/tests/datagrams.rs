//! Whatever comes is heard or counted, and nothing else.

use std::net::SocketAddr;
use std::time::Duration;

use ashtide_fleet::{DecodeError, MAX_DATAGRAM, Membership, ViewConfig};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};

fn fleet(number: u16, tier: u32, seeds: Vec<SocketAddr>) -> Membership {
    let address = SocketAddr::from(([127, 0, 0, 1], number));
    Membership::new(ViewConfig::new(tier, 3), address, 1_000, seeds, u64::from(number), Duration::ZERO)
}

/// A datagram that one member sends to another to join.
fn join(tier: u32) -> (SocketAddr, Vec<u8>) {
    let mut one = fleet(1, tier, vec![SocketAddr::from(([127, 0, 0, 1], 2))]);
    one.handle_timeout(Duration::ZERO);
    let (to, datagram) = one.next_datagram().expect("it asks its seed");
    (to, datagram.to_vec())
}

#[test]
fn foreign_own_and_overlong_datagrams_are_counted_by_reason() {
    let (_, good) = join(5);
    let mut two = fleet(2, 5, vec![]);
    let mut other = good.clone();
    other[0] ^= 1;
    let mut cases = vec![(other, DecodeError::Version), (join(6).1, DecodeError::OtherFleet)];
    cases.push((vec![0; 3], DecodeError::Length));
    cases.push((vec![0x41; MAX_DATAGRAM + 1], DecodeError::Length));
    cases.push((good[..good.len() - 4].to_vec(), DecodeError::Malformed));
    for (bytes, why) in cases {
        assert_eq!(two.handle_datagram(Duration::ZERO, &bytes), Err(why), "{bytes:?}");
        assert!(two.metrics().rejected[&why] > 0);
        assert_eq!(two.members().count(), 0);
    }
    let mut one = fleet(1, 5, vec![]);
    assert_eq!(one.handle_datagram(Duration::ZERO, &good), Err(DecodeError::Own));
    assert_eq!(two.handle_datagram(Duration::ZERO, &good), Ok(()));
    assert_eq!((two.members().count(), two.metrics().received.datagrams), (1, 1));
}

#[test]
fn no_bytes_panic_or_create_more_members_than_they_list() {
    let cases = Cases { cases: 512, failure_persistence: None, ..Cases::default() };
    let mut runner = TestRunner::new_with_rng(cases, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let (_, good) = join(5);
    // The version and the tier; then either kind, a message or a page.
    let head = good[..5].to_vec();
    runner
        .run(&(vec(any::<u8>(), 0..300), vec((0..good.len(), any::<u8>()), 0..4)), |(tail, flips)| {
            let mut two = fleet(2, 5, vec![]);
            let _ = two.handle_datagram(Duration::ZERO, &tail);
            for kind in [0, 1] {
                let _ = two.handle_datagram(Duration::ZERO, &[&head[..], &[kind], &tail[..]].concat());
            }
            let mut flipped = good.clone();
            for (at, byte) in flips {
                flipped[at] = byte;
            }
            let _ = two.handle_datagram(Duration::ZERO, &flipped);
            // A datagram of 256 bytes holds a dozen members at most.
            prop_assert!(two.members().count() < 40);
            let mut sent = 0;
            while let Some((_, datagram)) = two.next_datagram() {
                prop_assert!(datagram.len() <= MAX_DATAGRAM);
                sent += 1;
            }
            prop_assert!(sent <= 48, "the budget holds");
            for second in 1..4 {
                two.handle_timeout(Duration::from_secs(second));
            }
            Ok(())
        })
        .unwrap();
}
