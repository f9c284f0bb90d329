//! Pages of a membership view: decoding returns what was encoded.

use std::net::{IpAddr, SocketAddr};

use ashtide_fleet::Member;
use ashtide_fleet::page::{PageEntry, PageHeader, PageRequest, decode, encode};
use foca::State;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[test]
fn a_decoded_page_has_the_entries_that_fit_when_encoding() {
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let ip = prop_oneof![
        any::<u32>().prop_map(|ip| IpAddr::from(ip.to_be_bytes())),
        any::<u128>().prop_map(|ip| IpAddr::from(ip.to_be_bytes())),
    ];
    let entry = (ip, any::<u16>(), any::<u64>(), any::<bool>(), 0..4_u16, 0..3_u8).prop_map(
        |(ip, port, incarnation, leaving, refutations, state)| PageEntry {
            member: Member { address: SocketAddr::new(ip, port), incarnation, leaving },
            refutations,
            state: [State::Alive, State::Suspect, State::Down][usize::from(state)],
        },
    );
    runner
        .run(&(vec(entry, 1..60), any::<bool>(), any::<u64>()), |(mut entries, is_last, digest)| {
            entries.sort_unstable_by_key(|entry| entry.member.address);
            let sender = entries[0].member;
            let after = is_last.then_some(sender.address);
            let header =
                PageHeader { sender, refutations: 3, digest, request: PageRequest::NewerEntries, after };
            let (bytes, count) = encode(&header, &entries, is_last, 250);
            prop_assert!(bytes.len() <= 250 && count > 0);
            let page = decode(&bytes).expect("a valid page");
            prop_assert_eq!((page.header, &page.entries[..]), (header, &entries[..count]));
            prop_assert_eq!(page.is_last, is_last && count == entries.len());
            // A truncated page is malformed or has fewer entries.
            prop_assert!(
                (0..bytes.len())
                    .all(|len| decode(&bytes[..len]).is_none_or(|page| page.entries.len() < count))
            );
            Ok(())
        })
        .unwrap();
}
