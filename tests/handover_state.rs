//! Messages, datagrams and state files of the processes of one gateway, under random splits, random bytes and
//! input of older versions; and the rules by which ranks, cordons and deployments are compared.

use std::collections::{BTreeMap, BTreeSet};

use ashtide::handover::{
    CordonChange, CordonTransition, Cordons, Deployment, EstablishedConnection, IdDigest, MAX_HANDOFF_LENGTH,
    MAX_MESSAGE_LENGTH, OpenIdChanges, PendingBytes, PersistedState, ProcessState, ServerUsage,
    SiblingMessage, SiblingMessageCodec, SiblingSummary, rank_after,
};
use ashtide::net::handover::StateFolder;
use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngAlgorithm, TestRng, TestRunner};
use tokio_util::codec::Decoder;

/// Returns a property test runner with a fixed seed.
fn seeded_runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[12; 32]);
    let config = ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() };
    TestRunner::new_with_rng(config, rng)
}

/// Returns the state of a process that adopts connections if its rank is odd, and has cordoned `s-0` if it is
/// ready.
fn process_state(rank: u64, ready: bool, open_connections: u32) -> ProcessState {
    let server_usage = BTreeMap::from([(
        "s-0".to_owned(),
        ServerUsage {
            open_connections,
            recovery_tokens: 0.5,
            last_used_permit: rank,
            last_granted_permit: 20 - rank,
        },
    )]);
    let mut cordons = Cordons::default();
    cordons.record("s-0", CordonChange { timestamp: rank, cordoned: ready });
    ProcessState {
        rank,
        ready,
        adopts_connections: rank % 2 == 1,
        restore_phase_over: true,
        descriptors: 40,
        server_usage,
        cordons,
        deployment: None,
        open_id_changes: Box::new(OpenIdChanges {
            opened: vec!["a".to_owned(), "b \"c\"\n".to_owned()],
            closed: vec!["d".to_owned()],
            used: vec![IdDigest::new("d")],
        }),
    }
}

#[test]
fn messages_decode_the_same_however_they_are_split() {
    let messages =
        [SiblingMessage::State(process_state(7, true, 3)), SiblingMessage::State(ProcessState::default())];
    let bytes: Vec<u8> = messages.iter().flat_map(|message| message.encode_line().to_vec()).collect();
    seeded_runner()
        .run(&vec(1..bytes.len(), 0..5), |mut split_offsets| {
            split_offsets.extend([0, bytes.len()]);
            split_offsets.sort_unstable();
            let (mut codec, mut buffer, mut decoded) =
                (SiblingMessageCodec::default(), BytesMut::new(), Vec::new());
            for range in split_offsets.windows(2) {
                buffer.extend_from_slice(&bytes[range[0]..range[1]]);
                while let Some(message) = codec.decode(&mut buffer).expect("valid message") {
                    decoded.push(message);
                }
            }
            prop_assert_eq!(&decoded[..], &messages[..]);
            Ok(())
        })
        .unwrap();
}

#[test]
fn random_bytes_are_an_error_and_never_a_message() {
    seeded_runner()
        .run(&vec(any::<u8>(), 1..64), |mut bytes| {
            bytes.push(b'\n');
            prop_assert!(SiblingMessageCodec::default().decode(&mut BytesMut::from(&bytes[..])).is_err());
            Ok(())
        })
        .unwrap();
    let without_end_of_line = vec![b'x'; MAX_MESSAGE_LENGTH];
    assert!(SiblingMessageCodec::default().decode(&mut BytesMut::from(&without_end_of_line[..])).is_err());
}

#[test]
fn only_a_ready_process_of_higher_rank_is_the_successor_and_usage_is_summed() {
    let summarize = |states: &[ProcessState]| SiblingSummary::aggregate(10, states.iter());
    let unready_successor = [process_state(9, true, 3), process_state(11, false, 1)];
    assert!(!summarize(&unready_successor).has_ready_successor);
    let both_ready = summarize(&[process_state(9, true, 3), process_state(11, true, 1)]);
    assert!(both_ready.has_ready_successor && both_ready.restore_phase_over);
    // The successor has the highest rank of those that are ready and adopt connections: the process of rank
    // 12 adopts none, and that of rank 13 is not ready.
    let four_siblings = [
        process_state(9, true, 0),
        process_state(11, true, 0),
        process_state(12, true, 0),
        process_state(13, false, 0),
    ];
    assert_eq!(
        (
            both_ready.successor_rank,
            summarize(&four_siblings).successor_rank,
            summarize(&four_siblings[2..]).successor_rank
        ),
        (Some(11), Some(11), None)
    );
    // Connections and recovery tokens are summed; a permit that one process has used is used for all.
    let total_usage = ServerUsage {
        open_connections: 4,
        recovery_tokens: 1.0,
        last_used_permit: 11,
        last_granted_permit: 11,
    };
    assert_eq!((both_ready.descriptors, both_ready.server_usage["s-0"]), (80, total_usage));
}

#[test]
fn a_later_process_ranks_higher_and_a_later_cordon_wins_if_the_clock_is_stepped_back() {
    // The wall clock is stepped back by an hour between the starts.
    const HOUR_MICROS: u64 = 3_600_000_000;
    let first = 1_800_000_000_000_000;
    let stepped_back = first - HOUR_MICROS;
    let second = rank_after(stepped_back, [first].into_iter(), 4321);
    let third = rank_after(stepped_back, [first, second].into_iter(), 4322);
    assert!(first < second && second < third, "{first}, {second}, {third}");
    // Two processes that start concurrently read the same ranks.
    assert_ne!(second, rank_after(stepped_back, [first].into_iter(), 4322));
    assert_eq!(
        rank_after(first, std::iter::empty(), 4321),
        first,
        "the rank is the time if there are no higher ranks"
    );
    assert_eq!(
        rank_after(first, [u64::MAX].into_iter(), 4321),
        u64::MAX,
        "a socket with the highest rank, which no process has, causes no overflow"
    );

    let mut cordons = Cordons::default();
    cordons.record_now("s-0", first, true);
    cordons.record_now("s-0", stepped_back, false);
    assert!(!cordons.is_cordoned("s-0"), "the uncordon is the later change");
    let mut older_copy = Cordons::default();
    older_copy.record_now("s-0", first, true);
    older_copy.merge(&cordons);
    assert!(!older_copy.is_cordoned("s-0"), "the later change wins in a merge, too");
}

#[test]
fn server_usage_of_an_older_version_without_permits_is_decoded() {
    let usage: ServerUsage = serde_json::from_str(r#"{"open":3,"budget":0.5}"#).expect("valid usage");
    assert_eq!(
        usage,
        ServerUsage {
            open_connections: 3,
            recovery_tokens: 0.5,
            last_used_permit: 0,
            last_granted_permit: 0
        }
    );
}

#[test]
fn a_connection_decodes_completely_or_not_at_all() {
    let random_bytes = || vec(any::<u8>(), 0..40).prop_map(bytes::Bytes::from);
    let random_pair = || (random_bytes(), random_bytes());
    seeded_runner()
        .run(
            &(random_bytes(), random_pair(), random_pair(), any::<prop::sample::Index>()),
            |(open_line, to_client, to_server, truncated_length)| {
                let pending = |(line_remainder, read_ahead)| PendingBytes { line_remainder, read_ahead };
                let connection = EstablishedConnection {
                    server: "s-\n0".to_owned(),
                    open_line,
                    to_client: pending(to_client),
                    to_server: pending(to_server),
                };
                let datagram = bytes::Bytes::from(connection.encode().expect("within the maximum length"));
                prop_assert_eq!(
                    &EstablishedConnection::decode(datagram.clone()).expect("valid datagram"),
                    &connection
                );
                let truncated = datagram.slice(..truncated_length.index(datagram.len()));
                prop_assert!(EstablishedConnection::decode(truncated).is_err());
                Ok(())
            },
        )
        .unwrap();
    seeded_runner()
        .run(&vec(any::<u8>(), 0..80), |bytes| {
            prop_assert!(EstablishedConnection::decode(bytes.into()).is_err());
            Ok(())
        })
        .unwrap();
    let overflowing = format!("{{\"server\":\"s\",\"lengths\":[{},1,0,0,0]}}\nx", usize::MAX);
    assert!(EstablishedConnection::decode(overflowing.into()).is_err(), "the sum of the lengths overflows");
    let too_long = EstablishedConnection {
        open_line: vec![0; MAX_HANDOFF_LENGTH].into(),
        ..EstablishedConnection::default()
    };
    assert_eq!(too_long.encode(), None);
}

#[test]
fn cordons_merge_to_the_same_state_in_any_order() {
    let random_changes = vec((0..3_usize, 0..6_u64, any::<bool>()), 0..12);
    seeded_runner()
        .run(&(random_changes, any::<prop::sample::Index>()), |(changes, split_index)| {
            let record_all = |changes: &[(usize, u64, bool)]| {
                let mut cordons = Cordons::default();
                for &(server, timestamp, cordoned) in changes {
                    cordons.record(["a", "b", "c"][server], CordonChange { timestamp, cordoned });
                }
                cordons
            };
            let all = record_all(&changes);
            let (first_changes, second_changes) = changes.split_at(split_index.index(changes.len() + 1));
            let first = record_all(first_changes);
            let second = record_all(second_changes);
            let mut second_into_first = first.clone();
            let mut first_into_second = second.clone();
            second_into_first.merge(&second);
            let transitions = first_into_second.merge(&first);
            prop_assert_eq!((&second_into_first, &first_into_second), (&all, &all));
            for CordonTransition { server, cordoned } in transitions {
                prop_assert_eq!(first_into_second.is_cordoned(&server), cordoned);
            }
            prop_assert!(second_into_first.merge(&all).is_empty());
            Ok(())
        })
        .unwrap();
}

#[test]
fn stored_state_is_loaded_and_a_corrupt_file_is_ignored() {
    let folder = std::env::temp_dir().join(format!("ashtide-kept-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("created folder");
    let (state_folder, other_gateway) =
        (StateFolder::for_gateway(&folder, "n0/../x"), StateFolder::for_gateway(&folder, "n1"));
    assert_eq!(state_folder.load(), PersistedState::default());
    let deployment = Some(state_folder.deployment().clone());
    let persisted =
        PersistedState { deployment, restore_phase_over: true, cordons: process_state(7, true, 0).cordons };
    state_folder.store(&persisted).expect("stored state");
    assert!(state_folder.load().cordons.is_cordoned("s-0"));
    assert_eq!((state_folder.load(), other_gateway.load()), (persisted, PersistedState::default()));
    for entry in std::fs::read_dir(&folder).expect("readable folder") {
        std::fs::write(entry.expect("directory entry").path(), b"{\"begun\":").expect("truncated file");
    }
    assert_eq!(state_folder.load(), PersistedState::default());
    std::fs::remove_dir_all(folder).expect("removed folder");
}

/// Returns a deployment; its address is `None` if `listen_address` is empty.
fn deployment(name: &str, listen_address: &str, classes: &[&str], tenants: &[&str]) -> Deployment {
    let name_set = |names: &[&str]| names.iter().map(|&name| name.to_owned()).collect::<BTreeSet<_>>();
    Deployment {
        name: name.to_owned(),
        listen_address: listen_address.parse().ok(),
        listener_inode: None,
        classes: name_set(classes),
        tenants: name_set(tenants),
    }
}

#[test]
fn a_deployment_is_identified_by_its_name_its_address_and_its_clients() {
    let own_address = "10.0.0.1:80";
    let own = deployment("n0", own_address, &["read", "pay"], &["acme"]);
    for (case, is_same, other) in [
        ("the same deployment", true, own.clone()),
        (
            "another name with the same file name",
            false,
            deployment("n.0", own_address, &["read", "pay"], &["acme"]),
        ),
        ("another address", false, deployment("n0", "10.0.0.1:81", &["read", "pay"], &["acme"])),
        ("an unknown address", true, deployment("n0", "", &["read"], &["acme"])),
        ("all classes renamed", true, deployment("n0", own_address, &["reads", "pays"], &["acme"])),
        (
            "a class and a tenant added",
            true,
            deployment("n0", own_address, &["new", "read"], &["acme", "bolt"]),
        ),
        ("another tenant", false, deployment("n0", own_address, &["read", "pay"], &["bolt"])),
        ("no tenants defined, a common class", true, deployment("n0", own_address, &["read"], &[])),
        ("no tenants defined, no common class", false, deployment("n0", own_address, &["feed"], &[])),
        ("only the name", true, deployment("n0", "", &[], &[])),
    ] {
        assert_eq!(
            (own.is_same_deployment(&other), other.is_same_deployment(&own)),
            (is_same, is_same),
            "{case}"
        );
    }
    // Processes that inherit the same listener belong to one deployment, even if all classes and tenants are
    // renamed.
    let inherited =
        |listener_inode, address| Deployment { listener_inode, ..deployment("n0", address, &["a"], &["x"]) };
    let renamed =
        |listener_inode| Deployment { listener_inode, ..deployment("n0", own_address, &["b"], &["y"]) };
    assert!(inherited(Some(7), own_address).is_same_deployment(&renamed(Some(7))));
    assert!(!inherited(Some(7), own_address).is_same_deployment(&renamed(Some(8))));
    assert!(
        !inherited(Some(7), "10.0.0.1:81").is_same_deployment(&renamed(Some(7))),
        "a reused inode number"
    );
    assert!(!inherited(None, own_address).is_same_deployment(&renamed(None)));
}
