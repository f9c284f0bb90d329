//! Errors of the settings.

/// Why the settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A key has the wrong type or an unknown value; the error names the key.
    #[error(transparent)]
    InvalidValue(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A name stands twice in a list.
    #[error(transparent)]
    DuplicateName(#[from] DuplicateNameError),
}

/// A name that stands twice in a list of the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct DuplicateNameError {
    /// The second place where the name stands.
    pub key: String,
    /// The name, and why it may stand once only.
    pub problem: String,
}
