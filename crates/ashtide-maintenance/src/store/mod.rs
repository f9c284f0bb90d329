//! An acceptor's state on disk: a snapshot, written aside and renamed, and a short log of what came after it.
//!
//! A vote that [`Store::persist`] has returned for is read back after any crash. An incomplete last record was never
//! returned for, and is ignored; anything else that does not match its checksum is named, and the state is lost: then
//! the acceptor asks the others before it votes.

mod record;

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use rustix::fs::{FlockOperation, flock};

use crate::paxos::AcceptorState;
use crate::replica::PersistedVote;
use record::{FILE_HEADER, MAX_LOG_RECORDS, encode_record, load};

/// Why a state could not be persisted or read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder or a file in it.
    #[error("maintenance: {0}: {1}")]
    Io(PathBuf, io::Error),
    /// Another process has it.
    #[error("maintenance: {0}: found another process of this name, expected none")]
    Busy(PathBuf),
    /// Incomplete, or not written by this program. The state is lost.
    #[error("maintenance: {path}: byte {at}: found {found}, expected what this program wrote")]
    Corrupt {
        /// Which file.
        path: PathBuf,
        /// Where the record begins that is wrong.
        at: usize,
        /// What is wrong there.
        found: &'static str,
    },
    /// The last record is incomplete. It was never answered for, and is ignored.
    #[error("maintenance: {path}: byte {at}: found a last record that is not all there, left it out")]
    TruncatedTail {
        /// Which file.
        path: PathBuf,
        /// Where it begins.
        at: usize,
    },
    /// An earlier vote could not be persisted; nothing is persisted from then on.
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

/// Gives an [`io::Error`] the path that it concerns.
fn io_error(path: &Path) -> impl Fn(io::Error) -> StoreError {
    let path = path.to_owned();
    move |error| StoreError::Io(path.clone(), error)
}

/// The files of one gateway in a folder.
#[derive(Debug)]
struct StoreFiles {
    folder: PathBuf,
    name: String,
}

impl StoreFiles {
    fn path(&self, ending: &str) -> PathBuf {
        self.folder.join(format!("maintenance.{}.{ending}", self.name))
    }

    fn snapshot(&self) -> PathBuf {
        self.path("snapshot")
    }

    fn log(&self) -> PathBuf {
        self.path("log")
    }

    fn sync_folder(&self) -> Result<(), StoreError> {
        File::open(&self.folder).and_then(|folder| folder.sync_all()).map_err(io_error(&self.folder))
    }
}

/// A folder with one acceptor's state, which no other process may have at the same time.
#[derive(Debug)]
pub struct Store {
    files: StoreFiles,
    log: File,
    _lock: File,
    /// The number of the last record.
    sequence: u64,
    /// Records in the log.
    log_records: u64,
    has_failed: bool,
}

impl Store {
    /// Opens the store of the gateway of this name; gives what was in it, and what was wrong with it.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be used, or another process has the store.
    pub fn open(folder: &Path, name: &str) -> Result<(Self, PersistedVote, Option<StoreError>), StoreError> {
        fs::create_dir_all(folder).map_err(io_error(folder))?;
        let files = StoreFiles { folder: folder.to_owned(), name: name.to_owned() };
        let lock_path = files.path("lock");
        let lock = open_for_append(&lock_path)?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|_| StoreError::Busy(lock_path))?;
        let log = open_for_append(&files.log())?;
        let (last_record, problem) = match load(&files.snapshot(), &files.log()) {
            Ok(loaded) => (loaded.last_record, loaded.problem),
            Err(error @ StoreError::Corrupt { .. }) => (None, Some(error)),
            Err(error) => return Err(error),
        };
        let sequence = last_record.as_ref().map_or(0, |record| record.sequence);
        let mut store = Self { files, log, _lock: lock, sequence, log_records: 0, has_failed: false };
        let vote = match last_record {
            Some(record) => {
                // The records that follow must not come after an incomplete one.
                store.write_snapshot(&record.state)?;
                PersistedVote::Stored(record.state)
            }
            None => {
                store.quarantine_files()?;
                PersistedVote::Lost
            }
        };
        Ok((store, vote, problem))
    }

    /// Persists a vote: after this has returned, no crash loses it.
    ///
    /// # Errors
    ///
    /// Fails where it cannot be written. Then the acceptor must not answer, and the store persists nothing more.
    pub fn persist(&mut self, state: &AcceptorState) -> Result<(), StoreError> {
        if self.has_failed {
            return Err(StoreError::Failed(self.files.log()));
        }
        self.sequence += 1;
        let written = match self.sequence == 1 || self.log_records >= MAX_LOG_RECORDS {
            true => self.write_snapshot(state),
            false => self.append(state),
        };
        self.has_failed = written.is_err();
        written
    }

    /// Sets aside files that cannot be used. The snapshot goes first: without it the log is not read, and a log that
    /// is gone must not make an older snapshot look complete.
    fn quarantine_files(&mut self) -> Result<(), StoreError> {
        let snapshot = self.files.snapshot();
        match fs::rename(&snapshot, self.files.path("torn")) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                return Err(StoreError::Io(snapshot, error));
            }
            _ => {}
        }
        self.files.sync_folder()?;
        self.clear_log()
    }

    fn clear_log(&self) -> Result<(), StoreError> {
        self.log.set_len(0).and_then(|()| self.log.sync_all()).map_err(io_error(&self.files.log()))
    }

    fn append(&mut self, state: &AcceptorState) -> Result<(), StoreError> {
        let path = self.files.log();
        let record = encode_record(self.sequence, state).map_err(io_error(&path))?;
        self.log.write_all(&record).and_then(|()| self.log.sync_data()).map_err(io_error(&path))?;
        self.log_records += 1;
        Ok(())
    }

    fn write_snapshot(&mut self, state: &AcceptorState) -> Result<(), StoreError> {
        let path = self.files.snapshot();
        let next = self.files.path("next");
        let record = encode_record(self.sequence, state).map_err(io_error(&path))?;
        let written = File::create(&next).and_then(|mut file| {
            file.write_all(FILE_HEADER)?;
            file.write_all(&record)?;
            file.sync_all()
        });
        written.and_then(|()| fs::rename(&next, &path)).map_err(io_error(&next))?;
        self.files.sync_folder()?;
        // Records that the snapshot includes are skipped by their numbers, so a crash here does no harm.
        self.clear_log()?;
        self.log_records = 0;
        Ok(())
    }
}

fn open_for_append(path: &Path) -> Result<File, StoreError> {
    OpenOptions::new().create(true).append(true).read(true).open(path).map_err(io_error(path))
}
