//! What processes of one balancer tell each other: random cuts, garbage, and the file that outlives them.

use std::collections::BTreeMap;

use ashtide::handover::{
    Call, Cordons, Kept, MAX_STANDING, MAX_WORD, Others, Share, Standing, State, Word, WordCodec,
};
use ashtide::net::handover::Place;
use bytes::BytesMut;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use tokio_util::codec::Decoder;

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[12; 32]);
    TestRunner::new_with_rng(Cases { cases: 256, failure_persistence: None, ..Cases::default() }, rng)
}

fn state(started: u64, ready: bool, open: u32) -> State {
    let shares = BTreeMap::from([(
        "s-0".to_owned(),
        Share { open, budget: 0.5, spent: started, granted: 20 - started },
    )]);
    let mut cordons = Cordons::default();
    cordons.call("s-0", Call { at: started, out: ready });
    State { started, ready, adopts: started % 2 == 1, begun: true, sockets: 40, shares, cordons }
}

#[test]
fn words_read_the_same_however_they_are_cut() {
    let words = [Word::State(state(7, true, 3)), Word::State(State::default())];
    let bytes: Vec<u8> = words.iter().flat_map(|word| word.line().to_vec()).collect();
    runner()
        .run(&vec(1..bytes.len(), 0..5), |mut cuts| {
            cuts.extend([0, bytes.len()]);
            cuts.sort_unstable();
            let (mut codec, mut buffer, mut read) = (WordCodec::default(), BytesMut::new(), Vec::new());
            for cut in cuts.windows(2) {
                buffer.extend_from_slice(&bytes[cut[0]..cut[1]]);
                while let Some(word) = codec.decode(&mut buffer).expect("a word") {
                    read.push(word);
                }
            }
            prop_assert_eq!(&read[..], &words[..]);
            Ok(())
        })
        .unwrap();
}

#[test]
fn garbage_is_an_error_and_never_a_word() {
    runner()
        .run(&vec(any::<u8>(), 1..64), |mut bytes| {
            bytes.push(b'\n');
            prop_assert!(WordCodec::default().decode(&mut BytesMut::from(&bytes[..])).is_err());
            Ok(())
        })
        .unwrap();
    let endless = vec![b'x'; MAX_WORD];
    assert!(WordCodec::default().decode(&mut BytesMut::from(&endless[..])).is_err());
}

#[test]
fn only_a_ready_younger_process_succeeds_and_limits_are_joint() {
    let others = |states: &[State]| Others::sum(10, states.iter());
    assert!(!others(&[state(9, true, 3), state(11, false, 1)]).succeeded);
    let both = others(&[state(9, true, 3), state(11, true, 1)]);
    assert!(both.succeeded && both.begun);
    // The youngest that is ready and can: 12 cannot, 13 is not ready.
    let all = [state(9, true, 0), state(11, true, 0), state(12, true, 0), state(13, false, 0)];
    assert_eq!((both.heir, others(&all).heir, others(&all[2..]).heir), (Some(11), Some(11), None));
    // What may still be sent adds up; a turn that any has spent is spent for all.
    let share = Share { open: 4, budget: 1.0, spent: 11, granted: 11 };
    assert_eq!((both.sockets, both.shares["s-0"]), (80, share));
}

#[test]
fn a_word_of_a_version_without_turns_is_read() {
    let old: Share = serde_json::from_str(r#"{"open":3,"budget":0.5}"#).expect("read");
    assert_eq!(old, Share { open: 3, budget: 0.5, spent: 0, granted: 0 });
}

#[test]
fn what_goes_with_a_connection_is_read_whole_or_not_at_all() {
    let bytes = || vec(any::<u8>(), 0..40).prop_map(bytes::Bytes::from);
    let pairs = || (bytes(), bytes());
    runner()
        .run(
            &(bytes(), pairs(), pairs(), any::<prop::sample::Index>()),
            |(open, to_client, to_server, cut)| {
                let standing = Standing { server: "s-\n0".to_owned(), open, to_client, to_server };
                let datagram = bytes::Bytes::from(standing.datagram().expect("short"));
                prop_assert_eq!(&Standing::read(datagram.clone()).expect("whole"), &standing);
                let part = datagram.slice(..cut.index(datagram.len()));
                prop_assert!(Standing::read(part).is_err());
                Ok(())
            },
        )
        .unwrap();
    runner()
        .run(&vec(any::<u8>(), 0..80), |bytes| {
            prop_assert!(Standing::read(bytes.into()).is_err());
            Ok(())
        })
        .unwrap();
    let lengths = format!("{{\"server\":\"s\",\"lengths\":[{},1,0,0,0]}}\nx", usize::MAX);
    assert!(Standing::read(lengths.into()).is_err(), "lengths that overflow");
    let long = Standing { open: vec![0; MAX_STANDING].into(), ..Standing::default() };
    assert_eq!(long.datagram(), None);
}

#[test]
fn cordons_merge_to_the_same_in_any_order() {
    let calls = vec((0..3_usize, 0..6_u64, any::<bool>()), 0..12);
    runner()
        .run(&(calls, any::<prop::sample::Index>()), |(calls, cut)| {
            let cordons = |calls: &[(usize, u64, bool)]| {
                let mut cordons = Cordons::default();
                for &(server, at, out) in calls {
                    cordons.call(["a", "b", "c"][server], Call { at, out });
                }
                cordons
            };
            let whole = cordons(&calls);
            let (one, two) = calls.split_at(cut.index(calls.len() + 1));
            let (mut left, mut right) = (cordons(one), cordons(two));
            let (first, second) = (left.clone(), right.clone());
            left.merge(&second);
            let changed = right.merge(&first);
            prop_assert_eq!((&left, &right), (&whole, &whole));
            for (server, out) in changed {
                prop_assert_eq!(right.out(&server), out);
            }
            prop_assert!(left.merge(&whole).is_empty());
            Ok(())
        })
        .unwrap();
}

#[test]
fn what_is_kept_is_read_again_and_a_torn_file_is_none() {
    let folder = std::env::temp_dir().join(format!("ashtide-kept-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (place, other) = (Place::new(&folder, "n0/../x"), Place::new(&folder, "n1"));
    assert_eq!(place.kept(), Kept::default());
    let kept = Kept { begun: true, cordons: state(7, true, 0).cordons };
    place.keep(&kept).expect("kept");
    assert!(place.kept().cordons.out("s-0"));
    assert_eq!((place.kept(), other.kept()), (kept, Kept::default()));
    for entry in std::fs::read_dir(&folder).expect("the folder") {
        std::fs::write(entry.expect("an entry").path(), b"{\"begun\":").expect("torn");
    }
    assert_eq!(place.kept(), Kept::default());
    std::fs::remove_dir_all(folder).expect("no folder");
}
