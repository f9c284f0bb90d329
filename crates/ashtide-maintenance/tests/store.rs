//! The voter's memory on disk, after kills, torn and spoilt files.

use std::fs;
use std::path::{Path, PathBuf};

use ashtide_maintenance::{
    AcceptorState, Ballot, Change, Limits, MachineKind, MaintenanceQueue, PersistedVote, Store, StoreError,
};

/// A folder of its own, gone at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(what: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ashtide-maintenance-{}-{what}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    fn file(&self, what: &str) -> PathBuf {
        self.0.join(format!("maintenance.n0.{what}"))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn vote(round: u32) -> AcceptorState {
    let rules = Limits { max_servers_out: 1, max_gateways_out: 1, min_ready_servers: 0 };
    let mut table = MaintenanceQueue::default();
    for call in 1..=u64::from(round.min(3)) {
        let name = format!("s-{call}");
        let reason = "disk".to_owned();
        let change =
            Change::Request { request_id: call, kind: MachineKind::Server, name, reason, requested_at_ms: 5 };
        table.apply(&change, &rules, &Default::default()).expect("there is room");
    }
    let ballot = Ballot { round, slot: 1, incarnation: 7 };
    AcceptorState { promised: ballot, accepted: ballot, queue: table }
}

fn read(folder: &Path) -> (PersistedVote, Option<StoreError>) {
    let (_, memory, wrong) = Store::open(folder, "n0").expect("it opens");
    (memory, wrong)
}

#[test]
fn persisted_votes_are_read_back_over_many_snapshots() {
    let folder = Folder::new("kept");
    assert_eq!(read(&folder.0).0, PersistedVote::Lost);
    let (mut store, ..) = Store::open(&folder.0, "n0").expect("it opens");
    assert!(matches!(Store::open(&folder.0, "n0"), Err(StoreError::Busy(_))), "two have one memory");
    for round in 1..=200 {
        store.persist(&vote(round)).expect("it is kept");
        if round % 17 == 0 {
            // As after a kill: the next life finds it.
            drop(store);
            let (next, memory, wrong) = Store::open(&folder.0, "n0").expect("it opens");
            assert!(wrong.is_none(), "{wrong:?}");
            assert_eq!(memory, PersistedVote::Stored(vote(round)));
            store = next;
        }
    }
    let log = fs::metadata(folder.file("log")).expect("a log").len();
    assert!(log < 64 * 400, "the log has {log} bytes after 200 votes");
}

#[test]
fn a_log_torn_at_any_byte_gives_the_last_whole_vote() {
    let folder = Folder::new("torn");
    let (mut store, ..) = Store::open(&folder.0, "n0").expect("it opens");
    let mut ends = vec![0];
    for round in 1..=4 {
        store.persist(&vote(round)).expect("it is kept");
        ends.push(fs::metadata(folder.file("log")).expect("a log").len() as usize);
    }
    drop(store);
    let snapshot = fs::read(folder.file("snapshot")).unwrap();
    let log = fs::read(folder.file("log")).unwrap();
    for length in 0..log.len() {
        fs::write(folder.file("snapshot"), &snapshot).unwrap();
        fs::write(folder.file("log"), &log[..length]).unwrap();
        let whole = ends.iter().skip(1).filter(|&&end| end <= length).count() as u32;
        let (memory, wrong) = read(&folder.0);
        assert_eq!(memory, PersistedVote::Stored(vote(whole)), "cut at {length}");
        assert_eq!(wrong.is_some(), !ends.contains(&length), "cut at {length}: {wrong:?}");
        assert!(wrong.is_none_or(|it| matches!(it, StoreError::TruncatedTail { .. })), "cut at {length}");
        // What follows is written behind what is whole.
        let (mut store, ..) = Store::open(&folder.0, "n0").expect("it opens");
        store.persist(&vote(9)).expect("it is kept");
        drop(store);
        assert_eq!(read(&folder.0).0, PersistedVote::Stored(vote(9)), "cut at {length}");
    }
}

#[test]
fn a_flipped_bit_anywhere_loses_the_state_and_is_reported() {
    let folder = Folder::new("flipped");
    let (mut store, ..) = Store::open(&folder.0, "n0").expect("it opens");
    (1..=3).for_each(|round| store.persist(&vote(round)).expect("it is kept"));
    drop(store);
    let snapshot = fs::read(folder.file("snapshot")).unwrap();
    let log = fs::read(folder.file("log")).unwrap();
    for (what, whole) in [("snapshot", &snapshot), ("log", &log)] {
        for at in 0..whole.len() {
            fs::write(folder.file("snapshot"), &snapshot).unwrap();
            fs::write(folder.file("log"), &log).unwrap();
            let mut spoilt = whole.clone();
            spoilt[at] ^= 1 << (at % 8);
            fs::write(folder.file(what), spoilt).unwrap();
            let (memory, wrong) = read(&folder.0);
            assert_eq!(memory, PersistedVote::Lost, "byte {at} of the {what}");
            let wrong = wrong.expect("it is named");
            assert!(
                matches!(&wrong, StoreError::Corrupt { path, .. } if *path == folder.file(what)),
                "{wrong}"
            );
            // It stays lost until something is kept, however often it is opened.
            assert_eq!(read(&folder.0).0, PersistedVote::Lost, "byte {at} of the {what}, opened again");
        }
    }
}
