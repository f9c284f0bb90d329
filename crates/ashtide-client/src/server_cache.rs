//! What a process has learnt and the next one should know: refusals that still hold, addresses that fail,
//! and how many retries are left. An app that its user starts again and again is no retry storm then.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::MAX_ADDRESSES;
use crate::selection::MAX_REJECTIONS;

/// A larger file is not read.
const MAX_FILE_BYTES: u64 = 256 << 10;
/// The form of the file; others are not read.
const VERSION: u32 = 1;
/// What was learnt longer ago says nothing any more.
const MAX_AGE: Duration = Duration::from_secs(600);

/// A refusal that holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Held")]
pub struct CachedRejection {
    /// Which site.
    pub site: String,
    /// Which class it refuses.
    pub class: String,
    /// For how many milliseconds more.
    #[serde(rename = "ms")]
    pub remaining_ms: u64,
}

/// An address that fails.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Failing")]
pub struct CachedFailure {
    /// Which.
    #[serde(rename = "at")]
    pub gateway: SocketAddr,
    /// How often in a row.
    #[serde(rename = "streak")]
    pub consecutive_failures: u32,
    /// For how many milliseconds more it is left.
    #[serde(rename = "ms")]
    pub remaining_ms: u64,
}

/// What a pool has learnt, as of one moment.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename = "Learnt")]
pub struct ServerCache {
    /// Retries that the budget held.
    pub tokens: f64,
    /// Refusals that held.
    #[serde(rename = "holds")]
    pub rejections: Vec<CachedRejection>,
    /// Addresses that failed.
    #[serde(rename = "failing")]
    pub failures: Vec<CachedFailure>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename = "File")]
struct CacheFile {
    version: u32,
    /// Unix time in milliseconds.
    saved_ms: u64,
    #[serde(rename = "learnt")]
    cache: ServerCache,
}

/// Why a file was not used.
#[derive(Debug, thiserror::Error)]
pub enum ServerCacheError {
    /// The file could not be read or written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Larger than any such file is.
    #[error("over {MAX_FILE_BYTES} bytes")]
    TooLong,
    /// Not what this library writes.
    #[error("not a file of this form: {0}")]
    Syntax(#[from] serde_json::Error),
    /// Another form.
    #[error("form {0}, this library reads {VERSION}")]
    UnsupportedVersion(u32),
    /// A figure that cannot be.
    #[error("{0}: {1}, must be {2}")]
    InvalidValue(&'static str, String, &'static str),
}

impl ServerCache {
    /// Reads what [`encode`](Self::encode) wrote, and how long ago that was; nothing where it was too long
    /// ago to mean anything. `unix_ms` is the time now; a clock that went back counts as no time.
    ///
    /// # Errors
    ///
    /// Fails where the text is of another form or has a figure that cannot be.
    pub fn decode(text: &[u8], unix_ms: u64) -> Result<Option<(Self, Duration)>, ServerCacheError> {
        let CacheFile { version, saved_ms, cache: learnt } = serde_json::from_slice(text)?;
        if version != VERSION {
            return Err(ServerCacheError::UnsupportedVersion(version));
        }
        let most = |key, found: usize, most: usize| match found > most {
            true => Err(ServerCacheError::InvalidValue(key, found.to_string(), "fewer entries")),
            false => Ok(()),
        };
        most("holds", learnt.rejections.len(), MAX_REJECTIONS)?;
        most("failing", learnt.failures.len(), MAX_ADDRESSES)?;
        if !(0.0..=1e6).contains(&learnt.tokens) {
            return Err(ServerCacheError::InvalidValue("tokens", learnt.tokens.to_string(), "0 to 1000000"));
        }
        let ago = Duration::from_millis(unix_ms.saturating_sub(saved_ms));
        Ok((ago <= MAX_AGE).then_some((learnt, ago)))
    }

    /// The text of a file that says this, as of `unix_ms`.
    ///
    /// # Errors
    ///
    /// Fails where a figure has no form in JSON.
    pub fn encode(&self, unix_ms: u64) -> Result<Vec<u8>, ServerCacheError> {
        Ok(serde_json::to_vec(&CacheFile { version: VERSION, saved_ms: unix_ms, cache: self.clone() })?)
    }

    /// Reads a file; nothing where there is none or it is too old.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read or used; the caller goes on without.
    pub fn read(path: &Path, unix_ms: u64) -> Result<Option<(Self, Duration)>, ServerCacheError> {
        let file = match std::fs::File::open(path) {
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            file => file?,
        };
        let mut text = Vec::new();
        file.take(MAX_FILE_BYTES + 1).read_to_end(&mut text)?;
        if text.len() as u64 > MAX_FILE_BYTES {
            return Err(ServerCacheError::TooLong);
        }
        Self::decode(&text, unix_ms)
    }

    /// Replaces a file, whole or not at all.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be written.
    pub fn write(&self, path: &Path, unix_ms: u64) -> Result<(), ServerCacheError> {
        let next = path.with_extension(format!("{}.next", std::process::id()));
        let mut file = std::fs::File::create(&next)?;
        file.write_all(&self.encode(unix_ms)?)?;
        file.sync_all()?;
        Ok(std::fs::rename(&next, path)?)
    }
}
