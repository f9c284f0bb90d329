//! Errors of the configuration.

use std::path::{Path, PathBuf};

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required key is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The value of a key is invalid.
    #[error("{key}: {problem}")]
    InvalidValue {
        /// The key.
        key: String,
        /// What is wrong with its value.
        problem: String,
    },
    /// A file cannot be read.
    #[error("{path}: {problem}")]
    UnreadableFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        problem: String,
    },
    /// A key of a file is missing or invalid.
    #[error("{error}, in {path}")]
    InFile {
        /// The file.
        path: PathBuf,
        /// The error of the key.
        error: Box<ConfigError>,
    },
}

impl ConfigError {
    /// The error of a file that cannot be read.
    pub(super) fn unreadable_file(path: &Path, problem: &impl ToString) -> Self {
        Self::UnreadableFile { path: path.to_owned(), problem: problem.to_string() }
    }

    /// Adds the file to the error of a key; keys of the environment are not the file's.
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

/// The error of a key with an invalid value.
pub(super) fn invalid_value(key: impl Into<String>, problem: impl ToString) -> ConfigError {
    ConfigError::InvalidValue { key: key.into(), problem: problem.to_string() }
}
