//! Pages of a member's view: what is written is read.

use std::net::{IpAddr, SocketAddr};

use ashtide_fleet::Member;
use ashtide_fleet::page::{PageEntry, PageHeader, PageRequest, decode, encode};
use foca::State;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[test]
fn a_page_is_read_as_it_was_written_as_far_as_it_has_room() {
    let cases = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(cases, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let ip = prop_oneof![
        any::<u32>().prop_map(|ip| IpAddr::from(ip.to_be_bytes())),
        any::<u128>().prop_map(|ip| IpAddr::from(ip.to_be_bytes())),
    ];
    let entry = (ip, any::<u16>(), any::<u64>(), any::<bool>(), 0..4_u16, 0..3_u8).prop_map(
        |(ip, port, generation, leaving, incarnation, state)| PageEntry {
            member: Member { address: SocketAddr::new(ip, port), incarnation: generation, leaving },
            refutations: incarnation,
            state: [State::Alive, State::Suspect, State::Down][usize::from(state)],
        },
    );
    runner
        .run(&(vec(entry, 1..60), any::<bool>(), any::<u64>()), |(mut entries, last, digest)| {
            entries.sort_unstable_by_key(|it| it.member.address);
            let from = entries[0].member;
            let after = last.then_some(from.address);
            let head = PageHeader {
                sender: from,
                refutations: 3,
                digest,
                request: PageRequest::NewerEntries,
                after,
            };
            let (bytes, count) = encode(&head, &entries, last, 250);
            prop_assert!(bytes.len() <= 250 && count > 0);
            let page = decode(&bytes).expect("a page");
            prop_assert_eq!((page.header, &page.entries[..]), (head, &entries[..count]));
            prop_assert_eq!(page.is_last, last && count == entries.len());
            prop_assert!(
                (0..bytes.len()).all(|cut| decode(&bytes[..cut]).is_none_or(|it| it.entries.len() < count))
            );
            Ok(())
        })
        .unwrap();
}
