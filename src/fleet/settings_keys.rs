//! Reading single keys of the fleet's settings files, shared by all of its subsystems.

use std::net::SocketAddr;

use serde_json::{Value as Json, json};
use toml::{Table, Value as Toml};

/// A key whose value, or whose absence, cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: found {found}; expected {expected}")]
pub struct InvalidKey {
    /// The key, with the tables that it stands in.
    pub key: String,
    /// What stands there.
    pub found: String,
    /// What should stand there.
    pub expected: String,
}

impl InvalidKey {
    /// An error that names what was found and what was expected.
    pub fn new(key: impl ToString, found: impl ToString, expected: impl ToString) -> Self {
        Self { key: key.to_string(), found: found.to_string(), expected: expected.to_string() }
    }

    /// The error for a required key that is absent.
    pub fn missing(key: impl ToString, expected: impl ToString) -> Self {
        Self::new(key, "nothing", expected)
    }
}

/// A key that holds a whole number.
#[derive(Debug, Clone, Copy)]
pub struct IntegerKey {
    /// Name in its table.
    pub name: &'static str,
    /// Smallest value.
    pub minimum: u32,
    /// Largest value.
    pub maximum: u32,
    /// Value where the key is absent; none where it is required.
    pub default: Option<u32>,
    /// Description in the JSON Schema.
    pub description: &'static str,
}

impl IntegerKey {
    /// Reads the key from `table`, whose own name, with a dot after it, is `prefix`.
    ///
    /// # Errors
    ///
    /// Fails where the value is no whole number within the bounds, or a required key is absent.
    pub fn read(&self, table: &Table, prefix: &str) -> Result<u32, InvalidKey> {
        let Self { name, minimum, maximum, default, .. } = *self;
        let key = format!("{prefix}{name}");
        let expected = format!("a whole number from {minimum} to {maximum}");
        match table.get(name) {
            Some(value) => value
                .as_integer()
                .and_then(|number| u32::try_from(number).ok())
                .filter(|number| (minimum..=maximum).contains(number))
                .ok_or_else(|| InvalidKey::new(key, value, expected)),
            None => default.ok_or_else(|| InvalidKey::missing(key, expected)),
        }
    }

    /// The JSON Schema of the key.
    pub fn schema(&self) -> Json {
        let mut schema = json!({
            "type": "integer",
            "minimum": self.minimum,
            "maximum": self.maximum,
            "description": self.description,
        });
        if let Some(default) = self.default {
            schema["default"] = default.into();
        }
        schema
    }
}

/// The names of those keys that have no default.
pub fn required_names(keys: &[IntegerKey]) -> impl Iterator<Item = &'static str> {
    keys.iter().filter(|key| key.default.is_none()).map(|key| key.name)
}

/// Reads a flag from `table`, whose own name, with a dot after it, is `prefix`.
///
/// # Errors
///
/// Fails where the value is neither true nor false.
pub fn read_flag(table: &Table, prefix: &str, name: &str, default: bool) -> Result<bool, InvalidKey> {
    match table.get(name) {
        Some(value) => {
            value.as_bool().ok_or_else(|| InvalidKey::new(format!("{prefix}{name}"), value, "true or false"))
        }
        None => Ok(default),
    }
}

/// Parses an address with a port.
///
/// # Errors
///
/// Fails where `value` is no such address.
pub fn parse_address(key: &str, value: &Toml) -> Result<SocketAddr, InvalidKey> {
    let expected = "an address and a port, as \"127.0.0.1:7946\"";
    let text = value.as_str().ok_or_else(|| InvalidKey::new(key, value, expected))?;
    text.parse().map_err(|_| InvalidKey::new(key, format_args!("\"{text}\""), expected))
}

/// Checks that `table`, whose own name, with a dot after it, is `prefix`, has no keys but the `known` ones.
///
/// # Errors
///
/// Names the first unknown key.
pub fn check_known_keys(table: &Table, prefix: &str, known: &[&str]) -> Result<(), InvalidKey> {
    match table.keys().find(|key| !known.contains(&key.as_str())) {
        Some(key) => Err(InvalidKey::new(format!("{prefix}{key}"), "an unknown key", known.join(", "))),
        None => Ok(()),
    }
}
