//! Files that outlive the process: replaced whole or not at all, and on disk before anyone is told so.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Reads that are tried before a file that is there counts as unreadable.
const MAX_READ_ATTEMPTS: u32 = 3;
/// Wait between them.
const READ_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A file that is written and synced beside its place, and removed unless it is put there.
pub struct StagedFile {
    path: PathBuf,
}

impl StagedFile {
    /// Writes these bytes beside `place`, under a name of this process's own, and syncs them.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be written.
    pub fn stage(destination: &Path, bytes: &[u8]) -> io::Result<Self> {
        let mut name = destination.file_name().unwrap_or_default().to_owned();
        name.push(format!(".{}.next", std::process::id()));
        let aside = Self { path: destination.with_file_name(name) };
        let mut file = File::create(&aside.path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        Ok(aside)
    }

    /// Puts the file in its place, over what is there.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be written; what was there is there still, or the new file.
    pub fn replace_destination(self, destination: &Path) -> io::Result<()> {
        fs::rename(&self.path, destination)?;
        sync_parent_folder(destination)
    }

    /// Puts the file in its place, where there is none.
    ///
    /// # Errors
    ///
    /// Fails where there is a file already, or the folder cannot be written or has no links.
    pub fn create_destination(&self, destination: &Path) -> io::Result<()> {
        fs::hard_link(&self.path, destination)?;
        sync_parent_folder(destination)
    }
}

impl Drop for StagedFile {
    fn drop(&mut self) {
        // It is gone where it has been renamed.
        let _ = fs::remove_file(&self.path);
    }
}

/// Replaces a file: afterwards it is on disk, whole.
///
/// # Errors
///
/// Fails where the folder cannot be written.
pub fn replace_file(destination: &Path, bytes: &[u8]) -> io::Result<()> {
    StagedFile::stage(destination, bytes)?.replace_destination(destination)
}

/// Reads a file that may be missing, which is no error. One that cannot be read for a moment is tried again.
///
/// # Errors
///
/// Fails where there is a file that cannot be read as text.
pub fn read_optional(path: &Path) -> io::Result<Option<String>> {
    let mut reads = 1;
    loop {
        match fs::read_to_string(path) {
            Ok(text) => return Ok(Some(text)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) if reads >= MAX_READ_ATTEMPTS => return Err(error),
            Err(_) => std::thread::sleep(READ_RETRY_DELAY),
        }
        reads += 1;
    }
}

/// A new name is on disk once its folder is.
fn sync_parent_folder(place: &Path) -> io::Result<()> {
    let folder = place.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
