//! Generations on disk: one file each, whole or not used, the newest whole one read.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::document::{Document, Entry};
use crate::generation::{Generation, Server};
use crate::problem::Problems;
use crate::rules::{Fragment, Limits, MAX_FILE_BYTES, hex};

/// Generations that are kept; the oldest go.
pub const MAX_STORED_GENERATIONS: usize = 16;
/// The first words of a file: the crate's name when the format was made, which files keep, and the format's version.
const HEAD: &str = "ashtide-servers 1";
/// A head is shorter.
const MAX_HEAD: usize = 160;

/// Why a generation could not be kept or read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder or a file in it.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// Not whole, or not written by this program.
    #[error("{0}: {1}")]
    Torn(PathBuf, &'static str),
    /// Whole, and no list that could be used.
    #[error("{0}")]
    Problems(#[from] Problems),
    /// No such generation is kept.
    #[error("generation {0} is not kept")]
    Unknown(u64),
}

#[derive(Serialize, Deserialize)]
struct Body {
    number: u64,
    published: Option<u64>,
    list: Document,
}

/// A folder of generations.
#[derive(Debug, Clone)]
pub struct Store {
    folder: PathBuf,
}

impl Store {
    /// A store in this folder, which need not be there yet.
    pub fn new(folder: impl Into<PathBuf>) -> Self {
        Self { folder: folder.into() }
    }

    fn path(&self, number: u64) -> PathBuf {
        self.folder.join(format!("servers.{number:020}"))
    }

    /// Numbers of the generations that there are files of, the newest first.
    ///
    /// # Errors
    ///
    /// Fails where the folder is there and cannot be read.
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

    /// Keeps a generation: after this has returned, a crash does not lose it, and one before it has returned
    /// leaves the last one.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be written; what was kept before is untouched.
    pub fn write(&self, generation: &Generation) -> Result<(), StoreError> {
        let path = self.path(generation.number());
        let aside = self.folder.join(format!("next.{}", std::process::id()));
        let io = |path: &Path| {
            let path = path.to_owned();
            move |error| StoreError::Io(path, error)
        };
        fs::create_dir_all(&self.folder).map_err(io(&self.folder))?;
        let text = encode(generation).map_err(io(&path))?;
        let written = File::create(&aside).and_then(|mut file| {
            file.write_all(&text)?;
            file.sync_all()
        });
        if let Err(error) = written {
            // What is half written is of no use to anyone.
            let _ = fs::remove_file(&aside);
            return Err(StoreError::Io(aside, error));
        }
        fs::rename(&aside, &path).map_err(io(&path))?;
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
    /// Fails where it is not there, not whole, or no list that these limits allow.
    pub fn read(&self, number: u64, limits: &Limits) -> Result<Generation, StoreError> {
        let path = self.path(number);
        let file = match File::open(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Err(StoreError::Unknown(number)),
            file => file.map_err(|error| StoreError::Io(path.clone(), error))?,
        };
        let mut bytes = Vec::new();
        let most = (MAX_FILE_BYTES + MAX_HEAD) as u64;
        file.take(most + 1).read_to_end(&mut bytes).map_err(|error| StoreError::Io(path.clone(), error))?;
        let generation = decode(&path, &bytes, limits)?;
        if generation.number() != number {
            return Err(StoreError::Torn(path, "the number in it is not that of its name"));
        }
        Ok(generation)
    }

    /// The newest generation that is whole, and what was wrong with newer ones.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be read at all.
    pub fn latest_valid(&self, limits: &Limits) -> Result<(Option<Generation>, Vec<StoreError>), StoreError> {
        let mut wrong = Vec::new();
        for number in self.numbers()? {
            match self.read(number, limits) {
                Ok(generation) => return Ok((Some(generation), wrong)),
                Err(error) => wrong.push(error),
            }
        }
        Ok((None, wrong))
    }
}

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
    let mut text = format!("{HEAD} {} {}\n", body.len(), hex(&Sha256::digest(&body))).into_bytes();
    text.extend_from_slice(&body);
    Ok(text)
}

fn decode(path: &Path, bytes: &[u8], limits: &Limits) -> Result<Generation, StoreError> {
    let torn = |what| StoreError::Torn(path.to_owned(), what);
    let end = bytes.iter().take(MAX_HEAD).position(|&byte| byte == b'\n').ok_or_else(|| torn("no head"))?;
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| torn("no head"))?;
    let rest = head.strip_prefix(HEAD).ok_or_else(|| torn("not a list that this program kept"))?;
    let body = &bytes[end + 1..];
    let expected = format!(" {} {}", body.len(), hex(&Sha256::digest(body)));
    if rest != expected {
        return Err(torn("length or checksum do not hold"));
    }
    let body: Body = serde_json::from_slice(body).map_err(|_| torn("not a list that this program kept"))?;
    // Read as any file is: limits may have become narrower since.
    let text = serde_json::to_vec(&body.list).map_err(|_| torn("not a list that this program kept"))?;
    let fragment = Fragment::read(&path.display().to_string(), &text, limits)?;
    Ok(Generation::restored(body.number, body.published, fragment.servers))
}
