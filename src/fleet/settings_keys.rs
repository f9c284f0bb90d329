//! Functions that read single keys of settings files, shared by all subsystems of the fleet.

use std::net::SocketAddr;

use serde_json::{Value as Json, json};
use toml::{Table, Value as Toml};

/// A key that has an invalid value, is unknown, or is required and absent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: found {found}; expected {expected}")]
pub struct InvalidKey {
    /// Dotted name of the key, with the tables that contain it.
    pub key: String,
    /// Value in the file, or a description of it.
    pub found: String,
    /// Description of the valid values.
    pub expected: String,
}

impl InvalidKey {
    /// Creates an error from the key, the value found and the values expected.
    pub fn new(key: impl ToString, found: impl ToString, expected: impl ToString) -> Self {
        Self { key: key.to_string(), found: found.to_string(), expected: expected.to_string() }
    }

    /// Creates the error for a required key that is absent.
    pub fn missing(key: impl ToString, expected: impl ToString) -> Self {
        Self::new(key, "nothing", expected)
    }
}

/// A settings key with an integer value.
#[derive(Debug, Clone, Copy)]
pub struct IntegerKey {
    /// Name of the key in its table.
    pub name: &'static str,
    /// Smallest valid value.
    pub minimum: u32,
    /// Largest valid value.
    pub maximum: u32,
    /// Value used if the key is absent; `None` if the key is required.
    pub default: Option<u32>,
    /// Description of the key in the JSON Schema.
    pub description: &'static str,
}

impl IntegerKey {
    /// Reads the key from `table`. `prefix` is the name of the table followed by a dot, for errors.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a whole number within the bounds, or if a required key is absent.
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

    /// Returns the JSON Schema of the key.
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

/// Returns the names of the keys that have no default.
pub fn required_names(keys: &[IntegerKey]) -> impl Iterator<Item = &'static str> {
    keys.iter().filter(|key| key.default.is_none()).map(|key| key.name)
}

/// Reads the flag `name` from `table`. `prefix` is the name of the table followed by a dot, for errors.
///
/// # Errors
///
/// Fails if the value is neither true nor false.
pub fn read_flag(table: &Table, prefix: &str, name: &str, default: bool) -> Result<bool, InvalidKey> {
    match table.get(name) {
        Some(value) => {
            value.as_bool().ok_or_else(|| InvalidKey::new(format!("{prefix}{name}"), value, "true or false"))
        }
        None => Ok(default),
    }
}

/// Parses the value of `key` as an IP address with a port.
///
/// # Errors
///
/// Fails if `value` is not such an address.
pub fn parse_address(key: &str, value: &Toml) -> Result<SocketAddr, InvalidKey> {
    let expected = "an IP address and a port, such as \"127.0.0.1:7946\"";
    let text = value.as_str().ok_or_else(|| InvalidKey::new(key, value, expected))?;
    text.parse().map_err(|_| InvalidKey::new(key, format_args!("\"{text}\""), expected))
}

/// Checks that `table` has only keys from `known`. `prefix` is the name of the table followed by a dot, for
/// errors.
///
/// # Errors
///
/// Fails if the table has an unknown key; the error names the first one.
pub fn check_known_keys(table: &Table, prefix: &str, known: &[&str]) -> Result<(), InvalidKey> {
    match table.keys().find(|key| !known.contains(&key.as_str())) {
        Some(key) => Err(InvalidKey::new(format!("{prefix}{key}"), "an unknown key", known.join(", "))),
        None => Ok(()),
    }
}
