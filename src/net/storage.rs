//! Files that outlive the process: replaced atomically, and synced before the caller continues.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Reads of an existing file that are attempted before it counts as unreadable.
const MAX_READ_ATTEMPTS: u32 = 3;
/// Wait between two of them.
const READ_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A file that is written and synced beside its destination, and removed unless it is moved there.
pub struct StagedFile {
    path: PathBuf,
}

impl StagedFile {
    /// Writes and syncs a file beside `destination`, under a name that only this process uses.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be written.
    pub fn stage(destination: &Path, contents: &[u8]) -> io::Result<Self> {
        let mut name = destination.file_name().unwrap_or_default().to_owned();
        name.push(format!(".{}.next", std::process::id()));
        let staged = Self { path: destination.with_file_name(name) };
        let mut file = File::create(&staged.path)?;
        file.write_all(contents)?;
        file.sync_all()?;
        Ok(staged)
    }

    /// Moves the file to its destination and replaces what is there.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be written; the destination then holds the old file or the new one.
    pub fn replace_destination(self, destination: &Path) -> io::Result<()> {
        fs::rename(&self.path, destination)?;
        sync_parent_folder(destination)
    }

    /// Links the file to its destination, where nothing may be yet.
    ///
    /// # Errors
    ///
    /// Fails where the destination exists, or where the folder cannot be written or does not support hard links.
    pub fn create_destination(&self, destination: &Path) -> io::Result<()> {
        fs::hard_link(&self.path, destination)?;
        sync_parent_folder(destination)
    }
}

impl Drop for StagedFile {
    fn drop(&mut self) {
        // Fails where the file has been renamed.
        let _ = fs::remove_file(&self.path);
    }
}

/// Replaces a file atomically; once this returns, the new file is on disk.
///
/// # Errors
///
/// Fails where the folder cannot be written.
pub fn replace_file(destination: &Path, contents: &[u8]) -> io::Result<()> {
    StagedFile::stage(destination, contents)?.replace_destination(destination)
}

/// Reads a text file; `None` where there is none. A read that fails is retried.
///
/// # Errors
///
/// Fails where the file exists and cannot be read as text.
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

/// Syncs a folder, without which a new name in it does not survive a power cut.
fn sync_parent_folder(path: &Path) -> io::Result<()> {
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
