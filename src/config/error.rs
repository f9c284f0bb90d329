//! Errors of the configuration.

use std::path::{Path, PathBuf};

/// Error of a configuration that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required key is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The value of a key is invalid.
    #[error("{key}: {problem}")]
    InvalidValue {
        /// Path of the key, or name of the environment variable.
        key: String,
        /// Reason why the value is invalid.
        problem: String,
    },
    /// A file cannot be read or parsed.
    #[error("{path}: {problem}")]
    UnreadableFile {
        /// Path of the file.
        path: PathBuf,
        /// Reason why the file cannot be read or parsed.
        problem: String,
    },
    /// A key of a file is missing or invalid.
    #[error("{error}, in {path}")]
    InFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the key.
        error: Box<ConfigError>,
    },
}

impl ConfigError {
    /// Returns the error of a file that cannot be read or parsed.
    pub(super) fn unreadable_file(path: &Path, problem: &impl ToString) -> Self {
        Self::UnreadableFile { path: path.to_owned(), problem: problem.to_string() }
    }

    /// Adds the path of the file to the error of a key.
    ///
    /// Errors of environment variables are returned unchanged, as the file is not at fault. `ROUTER_CONFIG`
    /// is the exception: its error concerns the contents of the file that it names.
    pub(super) fn in_file(self, path: &Path) -> Self {
        let key = match &self {
            Self::Missing(key) => key,
            Self::InvalidValue { key, .. } => key.as_str(),
            Self::UnreadableFile { .. } | Self::InFile { .. } => return self,
        };
        if key.starts_with("ROUTER_") && key != "ROUTER_CONFIG" {
            return self;
        }
        Self::InFile { path: path.to_owned(), error: Box::new(self) }
    }
}

/// Returns the error of a key with an invalid value.
pub(super) fn invalid_value(key: impl Into<String>, problem: impl ToString) -> ConfigError {
    ConfigError::InvalidValue { key: key.into(), problem: problem.to_string() }
}
