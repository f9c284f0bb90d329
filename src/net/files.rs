//! Files that outlive the process: replaced whole or not at all, and on disk before anyone is told so.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Reads that are tried before a file that is there counts as unreadable.
const READS: u32 = 3;
/// Wait between them.
const READ_RETRY: Duration = Duration::from_millis(20);

/// A file that is written and synced beside its place, and removed unless it is put there.
pub struct Aside {
    path: PathBuf,
}

impl Aside {
    /// Writes these bytes beside `place`, under a name of this process's own, and syncs them.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be written.
    pub fn write(place: &Path, bytes: &[u8]) -> io::Result<Self> {
        let mut name = place.file_name().unwrap_or_default().to_owned();
        name.push(format!(".{}.next", std::process::id()));
        let aside = Self { path: place.with_file_name(name) };
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
    pub fn replace(self, place: &Path) -> io::Result<()> {
        fs::rename(&self.path, place)?;
        sync_folder(place)
    }

    /// Puts the file in its place, where there is none.
    ///
    /// # Errors
    ///
    /// Fails where there is a file already, or the folder cannot be written or has no links.
    pub fn put_new(&self, place: &Path) -> io::Result<()> {
        fs::hard_link(&self.path, place)?;
        sync_folder(place)
    }
}

impl Drop for Aside {
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
pub fn replace(place: &Path, bytes: &[u8]) -> io::Result<()> {
    Aside::write(place, bytes)?.replace(place)
}

/// Reads a file that may be missing, which is no error. One that cannot be read for a moment is tried again.
///
/// # Errors
///
/// Fails where there is a file that cannot be read as text.
pub fn read_if_there(path: &Path) -> io::Result<Option<String>> {
    let mut reads = 1;
    loop {
        match fs::read_to_string(path) {
            Ok(text) => return Ok(Some(text)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) if reads >= READS => return Err(error),
            Err(_) => std::thread::sleep(READ_RETRY),
        }
        reads += 1;
    }
}

/// A new name is on disk once its folder is.
fn sync_folder(place: &Path) -> io::Result<()> {
    let folder = place.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
}
