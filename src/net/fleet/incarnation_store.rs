//! Stores the incarnation of a gateway's process, so that the next process takes a later one even if the
//! clock has been set back.

use std::fmt::Display;
use std::path::{Path, PathBuf};

use tracing::info;

use crate::fleet::view::next_incarnation;
use crate::net::handover::{StateFolder, unix_micros};
use crate::net::storage;

/// The file that stores the last incarnation of a gateway.
pub struct IncarnationStore {
    path: Option<PathBuf>,
}

impl IncarnationStore {
    /// Returns the store of the gateway `name` in `folder`. Without a folder nothing is stored, and the
    /// incarnation depends on the clock alone.
    pub fn new(folder: Option<&Path>, name: &str) -> Self {
        Self { path: folder.map(|folder| StateFolder::for_gateway(folder, name).file_path("generation")) }
    }

    /// Chooses the incarnation of this process and stores it.
    pub(super) fn start_next(&self) -> u64 {
        let incarnation = next_incarnation(unix_micros() / 1000, self.load_previous());
        self.store(incarnation);
        incarnation
    }

    /// Returns the incarnation of the previous process; `None` if there is none or it cannot be read.
    fn load_previous(&self) -> Option<u64> {
        let path = self.path.as_deref()?;
        let report = |problem: &dyn Display| {
            let path = path.display();
            info!("view: cannot read {path}: {problem}; this process uses the clock alone as its generation");
        };
        let text = storage::read_optional(path).map_err(|error| report(&error)).ok()??;
        text.trim().parse().map_err(|error| report(&error)).ok()
    }

    /// Stores the incarnation of this process.
    pub(super) fn store(&self, incarnation: u64) {
        if let Some(path) = &self.path
            && let Err(error) = storage::replace_file(path, format!("{incarnation}\n").as_bytes())
        {
            let path = path.display();
            info!(
                "view: cannot write {path}: {error}; the next process uses the clock alone as its generation"
            );
        }
    }
}
