//! The incarnation of this gateway's last process, so that the next one's is later whatever the clock shows.

use std::fmt::Display;
use std::path::{Path, PathBuf};

use tracing::info;

use crate::fleet::view::next_incarnation;
use crate::net::handover::{StateFolder, unix_micros};
use crate::net::storage;

/// Keeps incarnations on disk.
pub struct IncarnationStore {
    path: Option<PathBuf>,
}

impl IncarnationStore {
    /// The store of the gateway `name` in `folder`; without a folder, the clock alone tells incarnations apart.
    pub fn new(folder: Option<&Path>, name: &str) -> Self {
        Self { path: folder.map(|folder| StateFolder::for_gateway(folder, name).file_path("generation")) }
    }

    /// The incarnation of this process, which is stored.
    pub(super) fn start_next(&self) -> u64 {
        let incarnation = next_incarnation(unix_micros() / 1000, self.load_previous());
        self.store(incarnation);
        incarnation
    }

    /// The incarnation of the process before; none where there was none, or it cannot be read.
    fn load_previous(&self) -> Option<u64> {
        let path = self.path.as_deref()?;
        let report = |problem: &dyn Display| {
            let path = path.display();
            info!(
                "view: cannot read {path}: {problem}; this process takes its generation from the clock alone"
            );
        };
        let text = storage::read_optional(path).map_err(|error| report(&error)).ok()??;
        text.trim().parse().map_err(|error| report(&error)).ok()
    }

    /// Stores the incarnation that this process has taken.
    pub(super) fn store(&self, incarnation: u64) {
        if let Some(path) = &self.path
            && let Err(error) = storage::replace_file(path, format!("{incarnation}\n").as_bytes())
        {
            let path = path.display();
            info!(
                "view: cannot write {path}: {error}; the next process takes its generation from the clock alone"
            );
        }
    }
}
