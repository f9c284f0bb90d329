//! Errors of the platform's settings.

/// Error of settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A key has the wrong type or an unknown value; the error names the key.
    #[error(transparent)]
    InvalidValue(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A name occurs twice in a list.
    #[error(transparent)]
    DuplicateName(#[from] DuplicateNameError),
}

/// Error of a name that occurs twice in a list of the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct DuplicateNameError {
    /// Key of the second occurrence of the name.
    pub key: String,
    /// Text that contains the name and the reason why it has to be unique.
    pub problem: String,
}
