//! A voter's memory on disk: a snapshot, written aside and renamed, and a short log of what came after it.
//!
//! A vote that [`Store::keep`] has returned for is read back after any crash. A last record that is not all there was
//! never returned for, and is left out; anything else that does not fit its checksum is named, and the memory is lost:
//! then the voter asks the others before it votes.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use rustix::fs::{FlockOperation, flock};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::node::PersistedVote;
use crate::register::AcceptorState;

/// The first word of a snapshot, and the form that follows.
const FILE_HEADER: &[u8] = b"ashtide-maintenance 1\n";
/// Records of the log before a new snapshot is written.
const MAX_LOG_RECORDS: u64 = 64;
/// Length, its complement, and the first half of a SHA-256.
const RECORD_HEADER_LEN: usize = 4 + 4 + 16;
/// Longest record; a full table takes less.
const MAX_RECORD_LEN: usize = 8192;
/// Longest file that is read.
const MAX_FILE_LEN: u64 =
    (MAX_LOG_RECORDS + 1) * (MAX_RECORD_LEN + RECORD_HEADER_LEN) as u64 + FILE_HEADER.len() as u64;

/// Why a memory could not be kept or read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder or a file in it.
    #[error("maintenance: {0}: {1}")]
    Io(PathBuf, io::Error),
    /// Another process has it.
    #[error("maintenance: {0}: found another process of this name, expected none")]
    Busy(PathBuf),
    /// Not whole, or not written by this program. The memory is lost.
    #[error("maintenance: {path}: byte {at}: found {found}, expected what this program wrote")]
    Corrupt {
        /// Which file.
        path: PathBuf,
        /// Where the record begins that is wrong.
        at: usize,
        /// What is wrong there.
        found: &'static str,
    },
    /// The last record is not all there. It was never answered for, and is left out.
    #[error("maintenance: {path}: byte {at}: found a last record that is not all there, left it out")]
    TruncatedTail {
        /// Which file.
        path: PathBuf,
        /// Where it begins.
        at: usize,
    },
    /// An earlier vote could not be kept; nothing is kept from then on.
    #[error("maintenance: {0}: an earlier vote could not be kept")]
    Failed(PathBuf),
}

impl StoreError {
    /// What an operator can do.
    #[must_use]
    pub fn help(&self) -> &'static str {
        match self {
            Self::Io(..) => "see that the folder is there, writable and not full, then restart this gateway",
            Self::Busy(_) => "end the other process, or give this one a name of its own",
            Self::Corrupt { .. } => {
                "look at the disk; this gateway votes again once enough others have told it what it forgot"
            }
            Self::TruncatedTail { .. } => "nothing: the machine or the process ended while it wrote",
            Self::Failed(_) => "mend what the log says of the first failure, then restart this gateway",
        }
    }
}

#[derive(Serialize, Deserialize)]
struct Record {
    sequence: u64,
    state: AcceptorState,
}

/// A folder with one voter's memory, which no other process may have at the same time.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    name: String,
    log: File,
    _lock: File,
    sequence: u64,
    log_records: u64,
    has_failed: bool,
}

impl Store {
    /// Opens the memory of the gateway of this name; says what was in it, and what was wrong with it.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be used, or another process has the memory.
    pub fn open(folder: &Path, name: &str) -> Result<(Self, PersistedVote, Option<StoreError>), StoreError> {
        let folder = folder.to_owned();
        fs::create_dir_all(&folder).map_err(io_error(&folder))?;
        let path = |what: &str| folder.join(format!("maintenance.{name}.{what}"));
        let (locked, logged) = (path("lock"), path("log"));
        let open = |path: &Path| {
            let options = OpenOptions::new().create(true).append(true).read(true).open(path);
            options.map_err(io_error(path))
        };
        let lock = open(&locked)?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|_| StoreError::Busy(locked))?;
        let log = open(&logged)?;
        let (read, wrong) = match load(&path("snapshot"), &logged) {
            Ok((read, wrong)) => (read, wrong),
            Err(error @ StoreError::Corrupt { .. }) => (None, Some(error)),
            Err(error) => return Err(error),
        };
        let number = read.as_ref().map_or(0, |read| read.sequence);
        let name = name.to_owned();
        let mut store =
            Self { folder, name, log, _lock: lock, sequence: number, log_records: 0, has_failed: false };
        let memory = match read {
            Some(Record { state: vote, .. }) => {
                // Whatever follows is written behind what is whole.
                store.write_snapshot(&vote)?;
                PersistedVote::Stored(vote)
            }
            None => {
                store.set_aside()?;
                PersistedVote::Lost
            }
        };
        Ok((store, memory, wrong))
    }

    fn path(&self, what: &str) -> PathBuf {
        self.folder.join(format!("maintenance.{}.{what}", self.name))
    }

    /// Keeps a vote: after this has returned, no crash loses it.
    ///
    /// # Errors
    ///
    /// Fails where it cannot be written. Then the voter must not answer, and the store keeps nothing more.
    pub fn persist(&mut self, vote: &AcceptorState) -> Result<(), StoreError> {
        if self.has_failed {
            return Err(StoreError::Failed(self.path("log")));
        }
        self.sequence += 1;
        let kept = match self.sequence == 1 || self.log_records >= MAX_LOG_RECORDS {
            true => self.write_snapshot(vote),
            false => self.append(vote),
        };
        self.has_failed = kept.is_err();
        kept
    }

    /// Puts aside what cannot be used. The snapshot goes first: without it the log is not read, and a log that is
    /// gone must not make an older snapshot look whole.
    fn set_aside(&mut self) -> Result<(), StoreError> {
        let (path, torn, logged) = (self.path("snapshot"), self.path("torn"), self.path("log"));
        match fs::rename(&path, &torn) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(StoreError::Io(path, error)),
            _ => {}
        }
        File::open(&self.folder).and_then(|folder| folder.sync_all()).map_err(io_error(&self.folder))?;
        self.log.set_len(0).and_then(|()| self.log.sync_all()).map_err(io_error(&logged))
    }

    fn append(&mut self, vote: &AcceptorState) -> Result<(), StoreError> {
        let path = self.path("log");
        let record = encode_record(self.sequence, vote).map_err(io_error(&path))?;
        self.log.write_all(&record).and_then(|()| self.log.sync_data()).map_err(io_error(&path))?;
        self.log_records += 1;
        Ok(())
    }

    fn write_snapshot(&mut self, vote: &AcceptorState) -> Result<(), StoreError> {
        let (path, aside, logged) = (self.path("snapshot"), self.path("next"), self.path("log"));
        let record = encode_record(self.sequence, vote).map_err(io_error(&path))?;
        let written = File::create(&aside).and_then(|mut file| {
            file.write_all(FILE_HEADER)?;
            file.write_all(&record)?;
            file.sync_all()
        });
        written.and_then(|()| fs::rename(&aside, &path)).map_err(io_error(&aside))?;
        File::open(&self.folder).and_then(|folder| folder.sync_all()).map_err(io_error(&self.folder))?;
        // Records that are in the snapshot are passed over by their number, so a crash here does no harm.
        self.log.set_len(0).and_then(|()| self.log.sync_all()).map_err(io_error(&logged))?;
        self.log_records = 0;
        Ok(())
    }
}

fn io_error(path: &Path) -> impl Fn(io::Error) -> StoreError {
    let path = path.to_owned();
    move |error| StoreError::Io(path.clone(), error)
}

fn encode_record(number: u64, vote: &AcceptorState) -> io::Result<Vec<u8>> {
    let body =
        postcard::to_allocvec(&Record { sequence: number, state: vote.clone() }).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut all = Vec::with_capacity(RECORD_HEADER_LEN + body.len());
    all.extend_from_slice(&length.to_be_bytes());
    all.extend_from_slice(&(!length).to_be_bytes());
    all.extend_from_slice(&Sha256::digest(&body)[..16]);
    all.extend_from_slice(&body);
    Ok(all)
}

/// One record of what is left of a file, and its length; none where it is not all there.
fn decode_record(rest: &[u8]) -> Result<Option<(Record, usize)>, &'static str> {
    let Some((frame, rest)) = rest.split_at_checked(RECORD_HEADER_LEN) else { return Ok(None) };
    let number = |at: usize| frame[at..at + 4].iter().fold(0, |so_far: u32, &it| so_far << 8 | u32::from(it));
    let length = number(0) as usize;
    if number(4) != !number(0) || length > MAX_RECORD_LEN {
        return Err("a length that does not hold");
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    if Sha256::digest(body)[..16] != frame[8..] {
        return Err("a checksum that does not hold");
    }
    match postcard::take_from_bytes(body) {
        Ok((record, [])) => Ok(Some((record, RECORD_HEADER_LEN + length))),
        _ => Err("a record of another form"),
    }
}

fn read_file(path: &Path) -> Result<Option<Vec<u8>>, StoreError> {
    let file = match File::open(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        file => file.map_err(io_error(path))?,
    };
    let mut bytes = Vec::new();
    file.take(MAX_FILE_LEN + 1).read_to_end(&mut bytes).map_err(io_error(path))?;
    Ok(Some(bytes))
}

fn load(snapshot: &Path, log: &Path) -> Result<(Option<Record>, Option<StoreError>), StoreError> {
    let torn = |path: &Path, at, found| StoreError::Corrupt { path: path.to_owned(), at, found };
    let logged = read_file(log)?.unwrap_or_default();
    let Some(whole) = read_file(snapshot)? else {
        return match logged.is_empty() {
            true => Ok((None, None)),
            false => Err(torn(log, 0, "a log without its snapshot")),
        };
    };
    let rest = whole.strip_prefix(FILE_HEADER).ok_or_else(|| torn(snapshot, 0, "another head"))?;
    let mut last = match decode_record(rest) {
        Ok(Some((record, length))) if length == rest.len() => record,
        Ok(_) => return Err(torn(snapshot, FILE_HEADER.len(), "a length that does not hold")),
        Err(found) => return Err(torn(snapshot, FILE_HEADER.len(), found)),
    };
    let mut at = 0;
    while at < logged.len() {
        match decode_record(&logged[at..]) {
            Ok(Some((record, length))) => {
                if record.sequence > last.sequence + 1 {
                    return Err(torn(log, at, "a gap before it"));
                }
                if record.sequence == last.sequence + 1 {
                    last = record;
                }
                at += length;
            }
            Ok(None) => {
                return Ok((Some(last), Some(StoreError::TruncatedTail { path: log.to_owned(), at })));
            }
            Err(found) => return Err(torn(log, at, found)),
        }
    }
    Ok((Some(last), None))
}
