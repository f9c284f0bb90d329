//! What a process has learnt and the next one should know: refusals that still hold, addresses that fail,
//! and how many retries are left. An app that its user starts again and again is no retry storm then.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::MAX_ADDRESSES;
use crate::address::MAX_HOLDS;

/// A larger file is not read.
const MAX_FILE: u64 = 256 << 10;
/// The form of the file; others are not read.
const VERSION: u32 = 1;
/// What was learnt longer ago says nothing any more.
const OLD: Duration = Duration::from_secs(600);

/// A refusal that holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Which site.
    pub site: String,
    /// Which class it refuses.
    pub class: String,
    /// For how many milliseconds more.
    pub ms: u64,
}

/// An address that fails.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failing {
    /// Which.
    pub at: SocketAddr,
    /// How often in a row.
    pub streak: u32,
    /// For how many milliseconds more it is left.
    pub ms: u64,
}

/// What a pool has learnt, as of one moment.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Learnt {
    /// Retries that the budget held.
    pub tokens: f64,
    /// Refusals that held.
    pub holds: Vec<Held>,
    /// Addresses that failed.
    pub failing: Vec<Failing>,
}

#[derive(Serialize, Deserialize)]
struct File {
    version: u32,
    /// Unix time in milliseconds.
    saved_ms: u64,
    learnt: Learnt,
}

/// Why a file was not used.
#[derive(Debug, thiserror::Error)]
pub enum LearntError {
    /// The file could not be read or written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Larger than any such file is.
    #[error("over {MAX_FILE} bytes")]
    TooLong,
    /// Not what this library writes.
    #[error("not a file of this form: {0}")]
    Form(#[from] serde_json::Error),
    /// Another form.
    #[error("form {0}, this library reads {VERSION}")]
    Version(u32),
    /// A figure that cannot be.
    #[error("{0}: {1}, must be {2}")]
    Value(&'static str, String, &'static str),
}

impl Learnt {
    /// Reads what [`encode`](Self::encode) wrote, and how long ago that was; nothing where it was too long
    /// ago to mean anything. `unix_ms` is the time now; a clock that went back counts as no time.
    ///
    /// # Errors
    ///
    /// Fails where the text is of another form or has a figure that cannot be.
    pub fn decode(text: &[u8], unix_ms: u64) -> Result<Option<(Self, Duration)>, LearntError> {
        let File { version, saved_ms, learnt } = serde_json::from_slice(text)?;
        if version != VERSION {
            return Err(LearntError::Version(version));
        }
        let most = |key, found: usize, most: usize| match found > most {
            true => Err(LearntError::Value(key, found.to_string(), "fewer entries")),
            false => Ok(()),
        };
        most("holds", learnt.holds.len(), MAX_HOLDS)?;
        most("failing", learnt.failing.len(), MAX_ADDRESSES)?;
        if !(0.0..=1e6).contains(&learnt.tokens) {
            return Err(LearntError::Value("tokens", learnt.tokens.to_string(), "0 to 1000000"));
        }
        let ago = Duration::from_millis(unix_ms.saturating_sub(saved_ms));
        Ok((ago <= OLD).then_some((learnt, ago)))
    }

    /// The text of a file that says this, as of `unix_ms`.
    ///
    /// # Errors
    ///
    /// Fails where a figure has no form in JSON.
    pub fn encode(&self, unix_ms: u64) -> Result<Vec<u8>, LearntError> {
        Ok(serde_json::to_vec(&File { version: VERSION, saved_ms: unix_ms, learnt: self.clone() })?)
    }

    /// Reads a file; nothing where there is none or it is too old.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read or used; the caller goes on without.
    pub fn read(path: &Path, unix_ms: u64) -> Result<Option<(Self, Duration)>, LearntError> {
        let file = match std::fs::File::open(path) {
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            file => file?,
        };
        let mut text = Vec::new();
        file.take(MAX_FILE + 1).read_to_end(&mut text)?;
        if text.len() as u64 > MAX_FILE {
            return Err(LearntError::TooLong);
        }
        Self::decode(&text, unix_ms)
    }

    /// Replaces a file, whole or not at all.
    ///
    /// # Errors
    ///
    /// Fails where the folder cannot be written.
    pub fn write(&self, path: &Path, unix_ms: u64) -> Result<(), LearntError> {
        let next = path.with_extension(format!("{}.next", std::process::id()));
        let mut file = std::fs::File::create(&next)?;
        file.write_all(&self.encode(unix_ms)?)?;
        file.sync_all()?;
        Ok(std::fs::rename(&next, path)?)
    }
}
