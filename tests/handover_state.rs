//! What the processes of one gateway send each other and store: random splits, garbage, older versions, and the rules
//! by which ranks, cordons and deployments are compared.

use std::collections::{BTreeMap, BTreeSet};

use ashtide::handover::{
    CordonChange, CordonTransition, Cordons, Deployment, EstablishedConnection, MAX_HANDOFF_LENGTH,
    MAX_MESSAGE_LENGTH, PendingBytes, PersistedState, ProcessState, ServerUsage, SiblingMessage,
    SiblingMessageCodec, SiblingSummary, rank_after,
};
use ashtide::net::handover::StateFolder;
use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use tokio_util::codec::Decoder;

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[12; 32]);
    TestRunner::new_with_rng(Cases { cases: 256, failure_persistence: None, ..Cases::default() }, rng)
}

fn state(started: u64, ready: bool, open: u32) -> ProcessState {
    let shares = BTreeMap::from([(
        "s-0".to_owned(),
        ServerUsage {
            open_connections: open,
            recovery_tokens: 0.5,
            last_used_permit: started,
            last_granted_permit: 20 - started,
        },
    )]);
    let mut cordons = Cordons::default();
    cordons.record("s-0", CordonChange { timestamp: started, cordoned: ready });
    ProcessState {
        rank: started,
        ready,
        adopts_connections: started % 2 == 1,
        restore_phase_over: true,
        descriptors: 40,
        server_usage: shares,
        cordons,
        deployment: None,
    }
}

#[test]
fn messages_decode_the_same_however_they_are_split() {
    let messages = [SiblingMessage::State(state(7, true, 3)), SiblingMessage::State(ProcessState::default())];
    let bytes: Vec<u8> = messages.iter().flat_map(|message| message.encode_line().to_vec()).collect();
    runner()
        .run(&vec(1..bytes.len(), 0..5), |mut cuts| {
            cuts.extend([0, bytes.len()]);
            cuts.sort_unstable();
            let (mut codec, mut buffer, mut read) =
                (SiblingMessageCodec::default(), BytesMut::new(), Vec::new());
            for cut in cuts.windows(2) {
                buffer.extend_from_slice(&bytes[cut[0]..cut[1]]);
                while let Some(message) = codec.decode(&mut buffer).expect("a message") {
                    read.push(message);
                }
            }
            prop_assert_eq!(&read[..], &messages[..]);
            Ok(())
        })
        .unwrap();
}

#[test]
fn garbage_is_an_error_and_never_a_message() {
    runner()
        .run(&vec(any::<u8>(), 1..64), |mut bytes| {
            bytes.push(b'\n');
            prop_assert!(SiblingMessageCodec::default().decode(&mut BytesMut::from(&bytes[..])).is_err());
            Ok(())
        })
        .unwrap();
    let endless = vec![b'x'; MAX_MESSAGE_LENGTH];
    assert!(SiblingMessageCodec::default().decode(&mut BytesMut::from(&endless[..])).is_err());
}

#[test]
fn only_a_ready_younger_process_is_the_successor_and_usage_adds_up() {
    let others = |states: &[ProcessState]| SiblingSummary::aggregate(10, states.iter());
    assert!(!others(&[state(9, true, 3), state(11, false, 1)]).has_ready_successor);
    let both = others(&[state(9, true, 3), state(11, true, 1)]);
    assert!(both.has_ready_successor && both.restore_phase_over);
    // The youngest that is ready and can: 12 cannot, 13 is not ready.
    let all = [state(9, true, 0), state(11, true, 0), state(12, true, 0), state(13, false, 0)];
    assert_eq!(
        (both.successor_rank, others(&all).successor_rank, others(&all[2..]).successor_rank),
        (Some(11), Some(11), None)
    );
    // What may still be sent adds up; a turn that any has spent is spent for all.
    let share = ServerUsage {
        open_connections: 4,
        recovery_tokens: 1.0,
        last_used_permit: 11,
        last_granted_permit: 11,
    };
    assert_eq!((both.descriptors, both.server_usage["s-0"]), (80, share));
}

#[test]
fn a_later_process_ranks_higher_and_a_later_cordon_wins_whatever_the_clock_says() {
    // The wall clock was put back by an hour between the starts.
    let hour = 3_600_000_000;
    let first = 1_800_000_000_000_000;
    let second = rank_after(first - hour, [first].into_iter(), 4321);
    let third = rank_after(first - hour, [first, second].into_iter(), 4322);
    assert!(first < second && second < third, "{first}, {second}, {third}");
    // Two that start beside each other, and see the same.
    assert_ne!(second, rank_after(first - hour, [first].into_iter(), 4322));
    assert_eq!(rank_after(first, std::iter::empty(), 4321), first, "alone, or with older ones: the time");
    assert_eq!(rank_after(first, [u64::MAX].into_iter(), 4321), u64::MAX, "a name that no process has");

    let mut cordons = Cordons::default();
    cordons.record_now("s-0", first, true);
    cordons.record_now("s-0", first - hour, false);
    assert!(!cordons.is_cordoned("s-0"), "the later call");
    let mut older = Cordons::default();
    older.record_now("s-0", first, true);
    older.merge(&cordons);
    assert!(!older.is_cordoned("s-0"), "also where it is heard of");
}

#[test]
fn usage_without_permits_of_an_older_version_is_read() {
    let old: ServerUsage = serde_json::from_str(r#"{"open":3,"budget":0.5}"#).expect("read");
    assert_eq!(
        old,
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
    let bytes = || vec(any::<u8>(), 0..40).prop_map(bytes::Bytes::from);
    let pairs = || (bytes(), bytes());
    runner()
        .run(
            &(bytes(), pairs(), pairs(), any::<prop::sample::Index>()),
            |(open, to_client, to_server, cut)| {
                let pending = |(line_remainder, read_ahead)| PendingBytes { line_remainder, read_ahead };
                let connection = EstablishedConnection {
                    server: "s-\n0".to_owned(),
                    open_line: open,
                    to_client: pending(to_client),
                    to_server: pending(to_server),
                };
                let datagram = bytes::Bytes::from(connection.encode().expect("short"));
                prop_assert_eq!(
                    &EstablishedConnection::decode(datagram.clone()).expect("whole"),
                    &connection
                );
                let part = datagram.slice(..cut.index(datagram.len()));
                prop_assert!(EstablishedConnection::decode(part).is_err());
                Ok(())
            },
        )
        .unwrap();
    runner()
        .run(&vec(any::<u8>(), 0..80), |bytes| {
            prop_assert!(EstablishedConnection::decode(bytes.into()).is_err());
            Ok(())
        })
        .unwrap();
    let lengths = format!("{{\"server\":\"s\",\"lengths\":[{},1,0,0,0]}}\nx", usize::MAX);
    assert!(EstablishedConnection::decode(lengths.into()).is_err(), "lengths that overflow");
    let long = EstablishedConnection {
        open_line: vec![0; MAX_HANDOFF_LENGTH].into(),
        ..EstablishedConnection::default()
    };
    assert_eq!(long.encode(), None);
}

#[test]
fn cordons_merge_to_the_same_in_any_order() {
    let calls = vec((0..3_usize, 0..6_u64, any::<bool>()), 0..12);
    runner()
        .run(&(calls, any::<prop::sample::Index>()), |(calls, cut)| {
            let cordons = |calls: &[(usize, u64, bool)]| {
                let mut cordons = Cordons::default();
                for &(server, at, out) in calls {
                    cordons.record(["a", "b", "c"][server], CordonChange { timestamp: at, cordoned: out });
                }
                cordons
            };
            let whole = cordons(&calls);
            let (one, two) = calls.split_at(cut.index(calls.len() + 1));
            let first = cordons(one);
            let second = cordons(two);
            let mut left = first.clone();
            let mut right = second.clone();
            left.merge(&second);
            let changed = right.merge(&first);
            prop_assert_eq!((&left, &right), (&whole, &whole));
            for CordonTransition { server, cordoned: out } in changed {
                prop_assert_eq!(right.is_cordoned(&server), out);
            }
            prop_assert!(left.merge(&whole).is_empty());
            Ok(())
        })
        .unwrap();
}

#[test]
fn stored_state_is_loaded_again_and_a_corrupt_file_is_none() {
    let folder = std::env::temp_dir().join(format!("ashtide-kept-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (state_folder, other) =
        (StateFolder::for_gateway(&folder, "n0/../x"), StateFolder::for_gateway(&folder, "n1"));
    assert_eq!(state_folder.load(), PersistedState::default());
    let deployment = Some(state_folder.deployment().clone());
    let persisted =
        PersistedState { deployment, restore_phase_over: true, cordons: state(7, true, 0).cordons };
    state_folder.store(&persisted).expect("kept");
    assert!(state_folder.load().cordons.is_cordoned("s-0"));
    assert_eq!((state_folder.load(), other.load()), (persisted, PersistedState::default()));
    for entry in std::fs::read_dir(&folder).expect("the folder") {
        std::fs::write(entry.expect("an entry").path(), b"{\"begun\":").expect("torn");
    }
    assert_eq!(state_folder.load(), PersistedState::default());
    std::fs::remove_dir_all(folder).expect("no folder");
}

fn deployment(name: &str, listen: &str, classes: &[&str], tenants: &[&str]) -> Deployment {
    let all = |names: &[&str]| names.iter().map(|&name| name.to_owned()).collect::<BTreeSet<_>>();
    let listen = listen.parse().ok();
    Deployment {
        name: name.to_owned(),
        listen_address: listen,
        listener_inode: None,
        classes: all(classes),
        tenants: all(tenants),
    }
}

#[test]
fn a_deployment_is_identified_by_its_name_its_address_and_its_clients() {
    let here = "10.0.0.1:80";
    let ours = deployment("n0", here, &["read", "pay"], &["acme"]);
    for (what, same, other) in [
        ("itself", true, ours.clone()),
        (
            "another name that comes to one file name",
            false,
            deployment("n.0", here, &["read", "pay"], &["acme"]),
        ),
        ("another address", false, deployment("n0", "10.0.0.1:81", &["read", "pay"], &["acme"])),
        ("an address that is not known", true, deployment("n0", "", &["read"], &["acme"])),
        ("all classes renamed", true, deployment("n0", here, &["reads", "pays"], &["acme"])),
        ("a class and a customer added", true, deployment("n0", here, &["new", "read"], &["acme", "bolt"])),
        ("another customer", false, deployment("n0", here, &["read", "pay"], &["bolt"])),
        ("customers no longer named", true, deployment("n0", here, &["read"], &[])),
        ("neither customers nor classes in common", false, deployment("n0", here, &["feed"], &[])),
        ("no more than the name", true, deployment("n0", "", &[], &[])),
    ] {
        assert_eq!(
            (ours.is_same_deployment(&other), other.is_same_deployment(&ours)),
            (same, same),
            "{what}"
        );
    }
    // One listener that both inherit is one balancer's, whatever is renamed.
    let inherited =
        |socket, listen| Deployment { listener_inode: socket, ..deployment("n0", listen, &["a"], &["x"]) };
    let renamed = |socket| Deployment { listener_inode: socket, ..deployment("n0", here, &["b"], &["y"]) };
    assert!(inherited(Some(7), here).is_same_deployment(&renamed(Some(7))));
    assert!(!inherited(Some(7), here).is_same_deployment(&renamed(Some(8))));
    assert!(
        !inherited(Some(7), "10.0.0.1:81").is_same_deployment(&renamed(Some(7))),
        "a number that is used again"
    );
    assert!(!inherited(None, here).is_same_deployment(&renamed(None)));
}
