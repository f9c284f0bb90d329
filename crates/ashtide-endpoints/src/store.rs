//! Generations on disk, with one file each. A file that is incomplete or corrupt is not used; the newest
//! valid one is read.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::document::{Document, Entry};
use crate::generation::{Generation, Server};
use crate::problem::Problems;
use crate::rules::{Fragment, Limits, MAX_FILE_BYTES, hex};

/// Maximum number of generations that are stored; the oldest are removed.
pub const MAX_STORED_GENERATIONS: usize = 16;
/// Start of a file's header line: the name that the crate had when the format was defined, and the version
/// of the format. The name is part of the format and does not follow renames of the crate.
const HEADER_PREFIX: &str = "ashtide-servers 1";
/// Length limit of the header line, in bytes, including its newline.
const MAX_HEADER_BYTES: usize = 160;

/// Error of storing or reading a generation.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// I/O error of the folder or a file in it.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// File that is incomplete or corrupt, or was not written by [`Store::write`].
    #[error("{0}: {1}")]
    Torn(PathBuf, &'static str),
    /// Complete file whose list does not pass the checks of server lists.
    #[error("{0}")]
    Problems(#[from] Problems),
    /// Number of a generation that is not stored.
    #[error("generation {0} is not stored")]
    Unknown(u64),
}

/// JSON body of a generation's file.
#[derive(Serialize, Deserialize)]
struct Body {
    number: u64,
    published: Option<u64>,
    list: Document,
}

/// Folder of stored generations.
#[derive(Debug, Clone)]
pub struct Store {
    folder: PathBuf,
}

impl Store {
    /// Creates a store in this folder, which does not need to exist.
    pub fn new(folder: impl Into<PathBuf>) -> Self {
        Self { folder: folder.into() }
    }

    fn path(&self, number: u64) -> PathBuf {
        self.folder.join(format!("servers.{number:020}"))
    }

    /// Returns the numbers of all stored generations, the newest first.
    ///
    /// # Errors
    ///
    /// Fails if the folder exists and cannot be read.
    pub fn numbers(&self) -> Result<Vec<u64>, StoreError> {
        let entries = match fs::read_dir(&self.folder) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            entries => entries.map_err(|error| StoreError::Io(self.folder.clone(), error))?,
        };
        let number = |entry: fs::DirEntry| entry.file_name().to_str()?.strip_prefix("servers.")?.parse().ok();
        let mut numbers: Vec<u64> = entries.flatten().filter_map(number).collect();
        numbers.sort_unstable_by(|a, b| b.cmp(a));
        Ok(numbers)
    }

    /// Stores a generation durably and atomically: a crash after the return does not lose it, and a crash
    /// before that leaves the previous generation in place.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be written; the generations already stored are not changed.
    pub fn write(&self, generation: &Generation) -> Result<(), StoreError> {
        let path = self.path(generation.number());
        let staged = self.folder.join(format!("next.{}", std::process::id()));
        let io = |path: &Path| {
            let path = path.to_owned();
            move |error| StoreError::Io(path, error)
        };
        fs::create_dir_all(&self.folder).map_err(io(&self.folder))?;
        let text = encode(generation).map_err(io(&path))?;
        let written = File::create(&staged).and_then(|mut file| {
            file.write_all(&text)?;
            file.sync_all()
        });
        if let Err(error) = written {
            // The staged file may be incomplete.
            let _ = fs::remove_file(&staged);
            return Err(StoreError::Io(staged, error));
        }
        fs::rename(&staged, &path).map_err(io(&path))?;
        File::open(&self.folder).and_then(|folder| folder.sync_all()).map_err(io(&self.folder))?;
        for old in self.numbers()?.into_iter().skip(MAX_STORED_GENERATIONS) {
            let path = self.path(old);
            fs::remove_file(&path).map_err(io(&path))?;
        }
        Ok(())
    }

    /// Reads one generation.
    ///
    /// # Errors
    ///
    /// Fails if the generation is not stored, if its file cannot be read or is corrupt, or if the list does
    /// not comply with these limits.
    pub fn read(&self, number: u64, limits: &Limits) -> Result<Generation, StoreError> {
        let path = self.path(number);
        let file = match File::open(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Err(StoreError::Unknown(number)),
            file => file.map_err(|error| StoreError::Io(path.clone(), error))?,
        };
        let mut bytes = Vec::new();
        let max_bytes = (MAX_FILE_BYTES + MAX_HEADER_BYTES) as u64;
        file.take(max_bytes + 1)
            .read_to_end(&mut bytes)
            .map_err(|error| StoreError::Io(path.clone(), error))?;
        let generation = decode(&path, &bytes, limits)?;
        if generation.number() != number {
            return Err(StoreError::Torn(
                path,
                "the generation number in the body is not that in the file name",
            ));
        }
        Ok(generation)
    }

    /// Returns the newest generation that is valid, `None` if no generation is, and the errors of newer ones.
    ///
    /// # Errors
    ///
    /// Fails if the folder exists and cannot be read.
    pub fn latest_valid(&self, limits: &Limits) -> Result<(Option<Generation>, Vec<StoreError>), StoreError> {
        let mut errors = Vec::new();
        for number in self.numbers()? {
            match self.read(number, limits) {
                Ok(generation) => return Ok((Some(generation), errors)),
                Err(error) => errors.push(error),
            }
        }
        Ok((None, errors))
    }
}

/// Returns the content of a generation's file: a header line with the length and SHA-256 of the body, and
/// the body as JSON.
fn encode(generation: &Generation) -> io::Result<Vec<u8>> {
    let entry = |server: &Server| Entry {
        name: server.name.to_string(),
        address: server.address.to_string(),
        zone: Some(server.zone.to_string()),
        kind: Some(server.kind.to_string()),
        weight: Some(server.weight),
        since_ms: Some(server.since_ms),
        state: Some(server.status),
    };
    let list = Document {
        version: 1,
        generation: generation.published(),
        digest: Some(generation.digest()),
        replace: false,
        precedence: 0,
        networks: Default::default(),
        zones: Vec::new(),
        defaults: Default::default(),
        servers: generation.servers().map(entry).collect(),
    };
    let body =
        serde_json::to_vec(&Body { number: generation.number(), published: generation.published(), list })?;
    let mut text = format!("{HEADER_PREFIX} {} {}\n", body.len(), hex(&Sha256::digest(&body))).into_bytes();
    text.extend_from_slice(&body);
    Ok(text)
}

/// Reads the content of a generation's file, as [`encode`] returns it.
fn decode(path: &Path, bytes: &[u8], limits: &Limits) -> Result<Generation, StoreError> {
    const NO_HEADER: &str =
        "found no header line of at most 160 bytes, expected 'ashtide-servers 1 LENGTH SHA256'";
    const OTHER_HEADER: &str = "found another header, expected 'ashtide-servers 1 LENGTH SHA256'";
    const OTHER_CHECKSUM: &str = "length or SHA-256 of the body is not as stated in the header";
    const OTHER_BODY: &str = "found a body of another form, expected the JSON of a generation";
    let torn = |reason| StoreError::Torn(path.to_owned(), reason);
    let newline = bytes.iter().take(MAX_HEADER_BYTES).position(|&byte| byte == b'\n');
    let newline = newline.ok_or_else(|| torn(NO_HEADER))?;
    let header = std::str::from_utf8(&bytes[..newline]).map_err(|_| torn(NO_HEADER))?;
    let stated = header.strip_prefix(HEADER_PREFIX).ok_or_else(|| torn(OTHER_HEADER))?;
    let body = &bytes[newline + 1..];
    let actual = format!(" {} {}", body.len(), hex(&Sha256::digest(body)));
    if stated != actual {
        return Err(torn(OTHER_CHECKSUM));
    }
    let body: Body = serde_json::from_slice(body).map_err(|_| torn(OTHER_BODY))?;
    // The list is checked like any file, because the limits may have become stricter since it was stored.
    let text = serde_json::to_vec(&body.list).map_err(|_| torn(OTHER_BODY))?;
    let fragment = Fragment::read(&path.display().to_string(), &text, limits)?;
    Ok(Generation::restore(body.number, body.published, fragment.servers))
}
