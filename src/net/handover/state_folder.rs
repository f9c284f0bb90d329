//! Folder with the sockets of a gateway's processes and its state file, which persists across processes.

use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use tracing::info;

use super::clock::unix_micros;
use crate::handover::{Deployment, MAX_MESSAGE_LENGTH, PersistedState, ProcessState, rank_after};
use crate::net::connection_handoff::HandoffReceiver;
use crate::net::storage::StagedFile;

/// Maximum number of sockets with the gateway's name that are tried, the most recent first. Some may belong
/// to other deployments.
const MAX_SOCKETS_TRIED: usize = 16;
/// Maximum number of state files with the gateway's name that are read. Some may belong to other deployments.
const MAX_STATE_FILES: usize = 8;
/// Maximum length of a state file in bytes. A longer file was not written by a gateway.
const MAX_STATE_FILE_LENGTH: u64 = MAX_MESSAGE_LENGTH as u64;

/// Reason that a file at a state file's path is left unchanged.
#[derive(Debug, thiserror::Error)]
enum ForeignFile {
    #[error("not a regular file of at most {MAX_STATE_FILE_LENGTH} bytes")]
    NotAStateFile,
    #[error(transparent)]
    Unreadable(io::Error),
    #[error("it belongs to the deployment {0}")]
    OtherDeployment(Deployment),
}

/// Content found at a state file's path.
enum StateFile {
    /// No file exists at the path.
    Missing,
    /// The file was written by this deployment, or by a version that did not name its deployment.
    Own(PersistedState),
    /// The file cannot be decoded by any deployment.
    Corrupt(serde_json::Error),
    /// The file is not this deployment's and is left unchanged.
    Foreign(ForeignFile),
}

/// Candidate path for the state file, and the content found there.
struct Candidate {
    path: PathBuf,
    file: StateFile,
}

impl Candidate {
    /// Returns whether this candidate is preferred to the best earlier one: a file of this deployment is
    /// preferred to any other, otherwise the first candidate is.
    fn is_better_than(&self, best: Option<&Self>) -> bool {
        let Some(best) = best else { return true };
        matches!(self.file, StateFile::Own(_)) && !matches!(best.file, StateFile::Own(_))
    }
}

/// Socket at which a process may listen. The derived order is by rank.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RankedSocket {
    rank: u64,
    path: PathBuf,
}

/// Folder with the sockets and the state file of one gateway's processes.
#[derive(Debug, Clone)]
pub struct StateFolder {
    folder: PathBuf,
    /// Prefix of all file names, because several gateways may share a folder.
    file_prefix: String,
    deployment: Arc<Deployment>,
}

impl StateFolder {
    /// Creates the state folder of a gateway. Only the name of the gateway is known.
    pub fn for_gateway(folder: &Path, name: &str) -> Self {
        Self::for_deployment(folder, Deployment { name: name.to_owned(), ..Deployment::default() })
    }

    /// Creates the state folder of a deployment.
    pub fn for_deployment(folder: &Path, deployment: Deployment) -> Self {
        let is_replaced = |character: char| !character.is_ascii_alphanumeric() && character != '-';
        Self {
            folder: folder.to_owned(),
            file_prefix: format!("ashtide.{}", deployment.name.replace(is_replaced, "_")),
            deployment: Arc::new(deployment),
        }
    }

    /// Returns the deployment that uses the folder.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns the deployment of a process in state `state` if it differs from this one.
    pub(super) fn foreign_deployment<'a>(&self, state: &'a ProcessState) -> Option<&'a Deployment> {
        state.deployment.as_ref().filter(|other| !self.deployment.is_same_deployment(other))
    }

    /// Returns the path of the gateway's file with this suffix.
    pub fn file_path(&self, suffix: &str) -> PathBuf {
        self.folder.join(format!("{}.{suffix}", self.file_prefix))
    }

    /// Returns a rank for this process, higher than those of all processes with sockets in the folder.
    pub fn next_rank(&self) -> u64 {
        let existing_ranks = self.ranked_sockets().into_iter().map(|socket| socket.rank);
        rank_after(unix_micros(), existing_ranks, std::process::id())
    }

    /// Returns the path of the socket where the process of this rank accepts its siblings.
    pub(super) fn socket_path(&self, rank: u64) -> PathBuf {
        self.file_path(&format!("{rank}.sock"))
    }

    /// Returns the path of the socket where the process of this rank receives handed off connections.
    pub(super) fn handoff_path(&self, rank: u64) -> PathBuf {
        self.file_path(&format!("{rank}.inbox"))
    }

    /// Binds the socket where this process receives established connections. Logs a failure and returns
    /// `None`.
    pub fn bind_handoff_receiver(&self, rank: u64) -> Option<HandoffReceiver> {
        let path = self.handoff_path(rank);
        match HandoffReceiver::bind(&path) {
            Ok(receiver) => Some(receiver),
            Err(error) => {
                info!(
                    "handover: cannot bind {}: {error}; \
                     this process cannot take over established connections",
                    path.display()
                );
                None
            }
        }
    }

    /// Removes the sockets of the process of this rank, which exits.
    pub fn remove_sockets(&self, rank: u64) {
        let _ = fs::remove_file(self.socket_path(rank));
        let _ = fs::remove_file(self.handoff_path(rank));
    }

    /// Returns the paths of other processes' sockets, the most recent first.
    pub(super) fn sibling_sockets(&self) -> Vec<PathBuf> {
        self.ranked_sockets().into_iter().take(MAX_SOCKETS_TRIED).map(|socket| socket.path).collect()
    }

    /// Returns all sockets with the gateway's name, the highest rank first.
    fn ranked_sockets(&self) -> Vec<RankedSocket> {
        let entries = fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let ranked_socket = |path: PathBuf| Some(RankedSocket { rank: self.rank_of(&path)?, path });
        let mut sockets: Vec<_> = entries.map(|entry| entry.path()).filter_map(ranked_socket).collect();
        sockets.sort_unstable_by(|first, second| second.cmp(first));
        sockets
    }

    /// Returns the rank in a socket's file name; `None` if the file is not a socket of this gateway.
    fn rank_of(&self, path: &Path) -> Option<u64> {
        let name = path.file_name()?.to_str()?.strip_prefix(&self.file_prefix)?.strip_prefix('.')?;
        name.strip_suffix(".sock")?.parse().ok()
    }

    /// Loads the state that earlier processes of this deployment have stored; returns the default if there is
    /// no valid state file.
    pub fn load(&self) -> PersistedState {
        match self.find_state_file(log_foreign_file) {
            Some(Candidate { file: StateFile::Own(state), .. }) => state,
            Some(Candidate { file: StateFile::Corrupt(error), path }) => {
                info!("handover: state file {}: {error}; starting without it", path.display());
                PersistedState::default()
            }
            _ => PersistedState::default(),
        }
    }

    /// Stores the state atomically.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be written, or if all files with the gateway's name belong to
    /// other deployments.
    pub fn store(&self, state: &PersistedState) -> io::Result<()> {
        let state = PersistedState { deployment: Some(self.deployment().clone()), ..state.clone() };
        let staged = StagedFile::stage(&self.file_path("kept"), &serde_json::to_vec(&state)?)?;
        for _ in 0..MAX_STATE_FILES {
            let Some(Candidate { path, file }) = self.find_state_file(|_, _| ()) else { break };
            if matches!(file, StateFile::Missing) {
                // If another deployment creates the file at the same time, only one of the two succeeds.
                match staged.create_destination(&path) {
                    Ok(()) => return Ok(()),
                    Err(error) if error.kind() == io::ErrorKind::AlreadyExists => continue,
                    // Not all file systems have hard links.
                    Err(_) => {}
                }
            }
            return staged.replace_destination(&path);
        }
        Err(io::Error::other(format!(
            "all {MAX_STATE_FILES} paths for the state file are in use by other deployments' files"
        )))
    }

    /// Returns the state file of this deployment, or the best path for a new one.
    ///
    /// Files of other deployments are passed to `on_foreign_file` and left unchanged. This deployment then
    /// uses the path with the next number.
    fn find_state_file(&self, mut on_foreign_file: impl FnMut(&Path, &ForeignFile)) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for number in 1..=MAX_STATE_FILES {
            let path = self.state_file_path(number);
            let file = self.read_state_file(&path);
            if let StateFile::Foreign(reason) = &file {
                on_foreign_file(&path, reason);
                continue;
            }
            let candidate = Candidate { path, file };
            if matches!(candidate.file, StateFile::Own(PersistedState { deployment: Some(_), .. })) {
                return Some(candidate);
            }
            if candidate.is_better_than(best.as_ref()) {
                best = Some(candidate);
            }
        }
        best
    }

    fn state_file_path(&self, number: usize) -> PathBuf {
        match number {
            1 => self.file_path("kept"),
            _ => self.file_path(&format!("{number}.kept")),
        }
    }

    fn read_state_file(&self, path: &Path) -> StateFile {
        let contents = match read_limited(path) {
            Ok(Some(contents)) => contents,
            Ok(None) => return StateFile::Foreign(ForeignFile::NotAStateFile),
            Err(error) if error.kind() == io::ErrorKind::NotFound => return StateFile::Missing,
            Err(error) => return StateFile::Foreign(ForeignFile::Unreadable(error)),
        };
        match serde_json::from_slice::<PersistedState>(&contents) {
            Err(error) => StateFile::Corrupt(error),
            Ok(state) => match &state.deployment {
                Some(other) if !self.deployment.is_same_deployment(other) => {
                    StateFile::Foreign(ForeignFile::OtherDeployment(other.clone()))
                }
                _ => StateFile::Own(state),
            },
        }
    }
}

/// Reads a regular file. Returns `None` if it is too long or another kind of file, which could block the
/// read.
fn read_limited(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let metadata = fs::metadata(path)?;
    if !metadata.is_file() || metadata.len() > MAX_STATE_FILE_LENGTH {
        return Ok(None);
    }
    let mut contents = Vec::new();
    File::open(path)?.take(MAX_STATE_FILE_LENGTH + 1).read_to_end(&mut contents)?;
    Ok(Some(contents).filter(|contents| contents.len() as u64 <= MAX_STATE_FILE_LENGTH))
}

fn log_foreign_file(path: &Path, reason: &ForeignFile) {
    info!(
        "handover: state file {}: {reason}; leaving it alone and using another one in the same folder; \
         configure a different name or TMPDIR for each gateway, or remove the file if it is unused",
        path.display()
    );
}
