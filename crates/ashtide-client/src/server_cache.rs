//! Cache file that passes state from one process to the next: active rejections, failing addresses and the
//! remaining retry budget. It prevents an app that its user restarts repeatedly from causing a retry storm.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::MAX_ADDRESSES;
use crate::selection::MAX_REJECTIONS;

/// Maximum size of a cache file in bytes; a larger file is rejected.
const MAX_FILE_BYTES: u64 = 256 << 10;
/// Version of the file format; files of other versions are rejected.
const VERSION: u32 = 1;
/// Maximum age of a cache file; the state in an older one is out of date and ignored.
const MAX_AGE: Duration = Duration::from_secs(600);

/// Active rejection of a class by a site.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Held")]
pub struct CachedRejection {
    /// Name of the site.
    pub site: String,
    /// Name of the rejected class.
    pub class: String,
    /// Remaining duration of the rejection in milliseconds.
    #[serde(rename = "ms")]
    pub remaining_ms: u64,
}

/// Gateway address whose last attempts failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Failing")]
pub struct CachedFailure {
    /// Address of the gateway.
    #[serde(rename = "at")]
    pub gateway: SocketAddr,
    /// Number of consecutive failures.
    #[serde(rename = "streak")]
    pub consecutive_failures: u32,
    /// Remaining duration of the ejection in milliseconds.
    #[serde(rename = "ms")]
    pub remaining_ms: u64,
}

/// Snapshot of the state that a pool passes to the next process.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename = "Learnt")]
pub struct ServerCache {
    /// Number of retries in the retry budget.
    pub tokens: f64,
    /// Rejections with a retry delay that has not elapsed.
    #[serde(rename = "holds")]
    pub rejections: Vec<CachedRejection>,
    /// Gateway addresses with consecutive failed attempts.
    #[serde(rename = "failing")]
    pub failures: Vec<CachedFailure>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename = "File")]
struct CacheFile {
    version: u32,
    /// Unix time at which the file was written, in milliseconds.
    saved_ms: u64,
    #[serde(rename = "learnt")]
    cache: ServerCache,
}

/// Error of reading or writing a cache file.
#[derive(Debug, thiserror::Error)]
pub enum ServerCacheError {
    /// The file could not be read or written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The file is larger than the maximum size.
    #[error("file is larger than {MAX_FILE_BYTES} bytes")]
    TooLong,
    /// The file is not valid JSON or lacks required fields.
    #[error("invalid cache file: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The file has an unsupported format version.
    #[error("unsupported format version {0}, this library reads version {VERSION}")]
    UnsupportedVersion(u32),
    /// A value is out of range. Contains the field, the value found and the permitted values.
    #[error("{0}: {1}, must be {2}")]
    InvalidValue(&'static str, String, &'static str),
}

impl ServerCache {
    /// Parses the output of [`encode`](Self::encode) and returns it with its age, or `None` if it is too old.
    /// `unix_ms` is the current Unix time in milliseconds; if it is earlier than the time of writing, the age
    /// is zero.
    ///
    /// # Errors
    ///
    /// Fails if the text has another format or version, or a value is out of range.
    pub fn decode(text: &[u8], unix_ms: u64) -> Result<Option<(Self, Duration)>, ServerCacheError> {
        let CacheFile { version, saved_ms, cache } = serde_json::from_slice(text)?;
        if version != VERSION {
            return Err(ServerCacheError::UnsupportedVersion(version));
        }
        let check_count = |key, found: usize, limit: usize| match found > limit {
            true => Err(ServerCacheError::InvalidValue(key, found.to_string(), "fewer entries")),
            false => Ok(()),
        };
        check_count("holds", cache.rejections.len(), MAX_REJECTIONS)?;
        check_count("failing", cache.failures.len(), MAX_ADDRESSES)?;
        if !(0.0..=1e6).contains(&cache.tokens) {
            return Err(ServerCacheError::InvalidValue("tokens", cache.tokens.to_string(), "0 to 1000000"));
        }
        let age = Duration::from_millis(unix_ms.saturating_sub(saved_ms));
        Ok((age <= MAX_AGE).then_some((cache, age)))
    }

    /// Encodes the cache as the text of a cache file that is written at `unix_ms` (Unix time in
    /// milliseconds).
    ///
    /// # Errors
    ///
    /// Fails if a number cannot be represented in JSON.
    pub fn encode(&self, unix_ms: u64) -> Result<Vec<u8>, ServerCacheError> {
        Ok(serde_json::to_vec(&CacheFile { version: VERSION, saved_ms: unix_ms, cache: self.clone() })?)
    }

    /// Reads a cache file. Returns `None` if the file does not exist or is too old.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is invalid; the caller continues without a cache.
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

    /// Replaces a cache file atomically.
    ///
    /// # Errors
    ///
    /// Fails if the folder is not writable.
    pub fn write(&self, path: &Path, unix_ms: u64) -> Result<(), ServerCacheError> {
        let staged_path = path.with_extension(format!("{}.next", std::process::id()));
        let mut file = std::fs::File::create(&staged_path)?;
        file.write_all(&self.encode(unix_ms)?)?;
        file.sync_all()?;
        Ok(std::fs::rename(&staged_path, path)?)
    }
}
