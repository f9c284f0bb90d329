//! Persistent files, which are replaced atomically and synced to disk before the caller continues.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Number of attempts to read an existing file before the error is returned.
const MAX_READ_ATTEMPTS: u32 = 3;
/// Delay between two attempts to read a file.
const READ_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Temporary file that is written and synced in the folder of its destination. It is removed when dropped,
/// unless it was moved to its destination.
pub struct StagedFile {
    path: PathBuf,
}

impl StagedFile {
    /// Writes and syncs a file in the folder of `destination`, with the process id in its name so that no
    /// other process uses the same one.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be written.
    pub fn stage(destination: &Path, contents: &[u8]) -> io::Result<Self> {
        let mut name = destination.file_name().unwrap_or_default().to_owned();
        name.push(format!(".{}.next", std::process::id()));
        let staged = Self { path: destination.with_file_name(name) };
        let mut file = File::create(&staged.path)?;
        file.write_all(contents)?;
        file.sync_all()?;
        Ok(staged)
    }

    /// Moves the file to its destination and replaces an existing file.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be written. The destination is then either the old file or the
    /// new one.
    pub fn replace_destination(self, destination: &Path) -> io::Result<()> {
        fs::rename(&self.path, destination)?;
        sync_parent_folder(destination)
    }

    /// Creates the destination as a hard link to the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the destination exists, the folder cannot be written, or the file system does not
    /// support hard links.
    pub fn create_destination(&self, destination: &Path) -> io::Result<()> {
        fs::hard_link(&self.path, destination)?;
        sync_parent_folder(destination)
    }
}

impl Drop for StagedFile {
    fn drop(&mut self) {
        // Fails if the file has been renamed.
        let _ = fs::remove_file(&self.path);
    }
}

/// Replaces a file atomically. The new file has been synced to disk when this function returns.
///
/// # Errors
///
/// Returns an error if the folder cannot be written.
pub fn replace_file(destination: &Path, contents: &[u8]) -> io::Result<()> {
    StagedFile::stage(destination, contents)?.replace_destination(destination)
}

/// Reads a text file; returns `None` if it does not exist. A failed read is retried.
///
/// # Errors
///
/// Returns an error if the file exists and cannot be read as text.
pub fn read_optional(path: &Path) -> io::Result<Option<String>> {
    let mut attempts = 1;
    loop {
        match fs::read_to_string(path) {
            Ok(text) => return Ok(Some(text)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) if attempts >= MAX_READ_ATTEMPTS => return Err(error),
            Err(_) => std::thread::sleep(READ_RETRY_DELAY),
        }
        attempts += 1;
    }
}

/// Syncs the folder of a file. Without the sync, a new name in the folder may be lost in a power failure.
fn sync_parent_folder(path: &Path) -> io::Result<()> {
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
