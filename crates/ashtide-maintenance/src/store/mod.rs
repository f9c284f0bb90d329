//! Acceptor state on disk: a snapshot, which is written to a temporary file and renamed, and a short log of
//! the records since that snapshot.
//!
//! A vote is durable once [`Store::persist`] has returned. An incomplete last record belongs to a call that
//! did not return, and is ignored. Any other record that does not match its checksum is reported, and the
//! state counts as lost: the acceptor then catches up from the other acceptors before it votes.

mod record;

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use rustix::fs::{FlockOperation, flock};

use crate::paxos::AcceptorState;
use crate::replica::PersistedVote;
use record::{FILE_HEADER, MAX_LOG_RECORDS, encode_record, load};

/// Reason why a state cannot be persisted or read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An operation on the folder or on a file in it failed.
    #[error("maintenance: {0}: {1}")]
    Io(PathBuf, io::Error),
    /// Another process has locked the store.
    #[error("maintenance: {0}: found another process of this name, expected none")]
    Busy(PathBuf),
    /// The file is incomplete, or was not written by this program. The state is lost.
    #[error("maintenance: {path}: byte {at}: found {found}, expected what this program wrote")]
    Corrupt {
        /// Path of the file.
        path: PathBuf,
        /// Offset of the invalid record, in bytes.
        at: usize,
        /// Defect of the record.
        found: &'static str,
    },
    /// The last record is incomplete and is ignored. The acceptor has not answered for it.
    #[error("maintenance: {path}: byte {at}: found a last record that is not all there, left it out")]
    TruncatedTail {
        /// Path of the file.
        path: PathBuf,
        /// Offset of the incomplete record, in bytes.
        at: usize,
    },
    /// An earlier vote could not be persisted. The store persists nothing after that.
    #[error("maintenance: {0}: an earlier vote could not be kept")]
    Failed(PathBuf),
}

impl StoreError {
    /// Returns what an operator can do about it.
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

/// Returns a function that adds `path` to an [`io::Error`].
fn io_error(path: &Path) -> impl Fn(io::Error) -> StoreError {
    let path = path.to_owned();
    move |error| StoreError::Io(path.clone(), error)
}

/// Paths of the files of one gateway.
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

/// Store of one acceptor's state in a folder. A file lock prevents its use by two processes at the same time.
#[derive(Debug)]
pub struct Store {
    files: StoreFiles,
    log: File,
    _lock: File,
    /// Sequence number of the last record.
    sequence: u64,
    /// Number of records in the log.
    log_records: u64,
    has_failed: bool,
}

impl Store {
    /// Opens the store of the gateway `name`. Returns the store, the persisted vote, and the defect that was
    /// found in the files, `None` if they are intact.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used, or another process has locked the store.
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
                // Later records must not be appended after an incomplete one, so a new snapshot clears the
                // log.
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

    /// Persists a vote. The vote survives any crash after this method has returned.
    ///
    /// # Errors
    ///
    /// Fails if the vote cannot be written. The acceptor must then not answer, and the store persists nothing
    /// more.
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

    /// Renames an unusable snapshot and clears the log. The snapshot is renamed first, because the log is not
    /// read without a snapshot. In the opposite order, a crash between the two steps would leave the snapshot
    /// without its log, and an outdated vote would be read as complete.
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
        let staged = self.files.path("next");
        let record = encode_record(self.sequence, state).map_err(io_error(&path))?;
        let written = File::create(&staged).and_then(|mut file| {
            file.write_all(FILE_HEADER)?;
            file.write_all(&record)?;
            file.sync_all()
        });
        written.and_then(|()| fs::rename(&staged, &path)).map_err(io_error(&staged))?;
        self.files.sync_folder()?;
        // A crash before the log is cleared is harmless: records that the snapshot includes are skipped by
        // their sequence numbers.
        self.clear_log()?;
        self.log_records = 0;
        Ok(())
    }
}

fn open_for_append(path: &Path) -> Result<File, StoreError> {
    OpenOptions::new().create(true).append(true).read(true).open(path).map_err(io_error(path))
}
