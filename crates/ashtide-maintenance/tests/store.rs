//! Persistence of an acceptor state: restarts, truncated logs and corrupted files.

use std::fs;
use std::path::{Path, PathBuf};

use ashtide_maintenance::{
    AcceptorState, Ballot, Change, Limits, MachineKind, MaintenanceQueue, PersistedVote, Store, StoreError,
};

/// Temporary folder, removed when the value is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(suffix: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ashtide-maintenance-{}-{suffix}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder is created");
        Self(path)
    }

    fn file(&self, suffix: &str) -> PathBuf {
        self.0.join(format!("maintenance.n0.{suffix}"))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns a state whose ballot has this round, with `round` queued machines, at most three.
fn vote(round: u32) -> AcceptorState {
    let limits = Limits { max_servers_out: 1, max_gateways_out: 1, min_ready_servers: 0 };
    let mut queue = MaintenanceQueue::default();
    for request_id in 1..=u64::from(round.min(3)) {
        let name = format!("s-{request_id}");
        let reason = "disk".to_owned();
        let change =
            Change::Request { request_id, kind: MachineKind::Server, name, reason, requested_at_ms: 5 };
        queue.apply(&change, &limits, &Default::default()).expect("the queue has capacity");
    }
    let ballot = Ballot { round, slot: 1, incarnation: 7 };
    AcceptorState { promised: ballot, accepted: ballot, queue }
}

fn read(folder: &Path) -> (PersistedVote, Option<StoreError>) {
    let (_, persisted, problem) = Store::open(folder, "n0").expect("the store opens");
    (persisted, problem)
}

#[test]
fn persisted_votes_are_read_back_over_many_snapshots() {
    let folder = Folder::new("persisted");
    assert_eq!(read(&folder.0).0, PersistedVote::Lost);
    let (mut store, ..) = Store::open(&folder.0, "n0").expect("the store opens");
    assert!(matches!(Store::open(&folder.0, "n0"), Err(StoreError::Busy(_))), "two stores opened one folder");
    for round in 1..=200 {
        store.persist(&vote(round)).expect("the vote is persisted");
        if round % 17 == 0 {
            // Simulates a restart: the next process reads the last vote.
            drop(store);
            let (next, persisted, problem) = Store::open(&folder.0, "n0").expect("the store opens");
            assert!(problem.is_none(), "{problem:?}");
            assert_eq!(persisted, PersistedVote::Stored(vote(round)));
            store = next;
        }
    }
    let log = fs::metadata(folder.file("log")).expect("the log exists").len();
    assert!(log < 64 * 400, "the log has {log} bytes after 200 votes");
}

#[test]
fn a_log_truncated_at_any_byte_yields_the_last_complete_vote() {
    let folder = Folder::new("truncated");
    let (mut store, ..) = Store::open(&folder.0, "n0").expect("the store opens");
    let mut ends = vec![0];
    for round in 1..=4 {
        store.persist(&vote(round)).expect("the vote is persisted");
        ends.push(fs::metadata(folder.file("log")).expect("the log exists").len() as usize);
    }
    drop(store);
    let snapshot = fs::read(folder.file("snapshot")).unwrap();
    let log = fs::read(folder.file("log")).unwrap();
    for length in 0..log.len() {
        fs::write(folder.file("snapshot"), &snapshot).unwrap();
        fs::write(folder.file("log"), &log[..length]).unwrap();
        let complete_records = ends.iter().skip(1).filter(|&&end| end <= length).count() as u32;
        let (persisted, problem) = read(&folder.0);
        assert_eq!(persisted, PersistedVote::Stored(vote(complete_records)), "cut at byte {length}");
        assert_eq!(problem.is_some(), !ends.contains(&length), "cut at byte {length}: {problem:?}");
        assert!(
            problem.is_none_or(|problem| matches!(problem, StoreError::TruncatedTail { .. })),
            "cut at byte {length}"
        );
        // A later vote is stored after the last complete record.
        let (mut store, ..) = Store::open(&folder.0, "n0").expect("the store opens");
        store.persist(&vote(9)).expect("the vote is persisted");
        drop(store);
        assert_eq!(read(&folder.0).0, PersistedVote::Stored(vote(9)), "cut at byte {length}");
    }
}

#[test]
fn a_flipped_bit_anywhere_loses_the_state_and_is_reported() {
    let folder = Folder::new("flipped");
    let (mut store, ..) = Store::open(&folder.0, "n0").expect("the store opens");
    (1..=3).for_each(|round| store.persist(&vote(round)).expect("the vote is persisted"));
    drop(store);
    let snapshot = fs::read(folder.file("snapshot")).unwrap();
    let log = fs::read(folder.file("log")).unwrap();
    for (suffix, intact) in [("snapshot", &snapshot), ("log", &log)] {
        for offset in 0..intact.len() {
            fs::write(folder.file("snapshot"), &snapshot).unwrap();
            fs::write(folder.file("log"), &log).unwrap();
            let mut corrupted = intact.clone();
            corrupted[offset] ^= 1 << (offset % 8);
            fs::write(folder.file(suffix), corrupted).unwrap();
            let (persisted, problem) = read(&folder.0);
            assert_eq!(persisted, PersistedVote::Lost, "byte {offset} of the {suffix}");
            let problem = problem.expect("the corruption is reported");
            assert!(
                matches!(&problem, StoreError::Corrupt { path, .. } if *path == folder.file(suffix)),
                "{problem}"
            );
            // The state remains lost when the store is opened again without a new vote.
            assert_eq!(read(&folder.0).0, PersistedVote::Lost, "byte {offset} of the {suffix}, opened again");
        }
    }
}
