//! The one place where configuration is read, checked and given defaults.
//!
//! A balancer is told of itself by the environment and by the JSON file that it names. Every error
//! names the key at fault.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::discovery::News;
use crate::facts::Facts;

/// What is wrong with the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A key that must be there is not.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A key's value cannot be used.
    #[error("{key}: {problem}")]
    Value {
        /// Which key.
        key: String,
        /// What is wrong with it.
        problem: String,
    },
    /// A file cannot be read.
    #[error("{path}: {problem}")]
    File {
        /// Which file.
        path: PathBuf,
        /// What is wrong with it.
        problem: String,
    },
}

fn bad(key: impl Into<String>, problem: impl ToString) -> ConfigError {
    ConfigError::Value { key: key.into(), problem: problem.to_string() }
}

/// Descriptors kept for what is neither a client nor its server: listeners, discovery, the runtime.
const KEPT_SOCKETS: usize = 64;
/// What a pair of sockets may hold in memory, at most: a line each way and the bookkeeping.
const BYTES_A_SESSION: usize = 32 << 10;

/// What the platform sets as limits.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory in megabytes.
    pub memory_mb: usize,
    /// Open descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 256, sockets: 1024 }
    }
}

impl Limits {
    /// How many clients may be held at once: two sockets each, within the memory.
    pub fn sessions(&self) -> usize {
        let by_sockets = self.sockets.saturating_sub(KEPT_SOCKETS) / 2;
        by_sockets.min((self.memory_mb << 20) / 2 / BYTES_A_SESSION).max(1)
    }
}

/// All that a balancer is told.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// The server list as last held, perhaps old.
    pub known: Option<News>,
    /// The settings object.
    pub facts: Facts,
    /// How long a planned stop may take.
    pub grace: Duration,
}

/// The longest deadline counts as this where it is longer, for the time between SIGTERM and SIGKILL.
const LONGEST_GRACE: Duration = Duration::from_secs(3);
/// What the platform adds to that.
const GRACE_ADDED: Duration = Duration::from_millis(700);

impl Config {
    /// Reads the environment through `var`, and the file that it names.
    ///
    /// # Errors
    ///
    /// Fails on a missing or unusable key, and says which.
    pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = PathBuf::from(var("ROUTER_CONFIG").ok_or(ConfigError::Missing("ROUTER_CONFIG"))?);
        let file = |problem: String| ConfigError::File { path: path.clone(), problem };
        let text = std::fs::read_to_string(&path).map_err(|e| file(e.to_string()))?;
        let json: Value = serde_json::from_str(&text).map_err(|e| file(e.to_string()))?;
        Self::from_json(json, var)
    }

    /// Checks the object of the configuration file; the environment goes before it.
    ///
    /// # Errors
    ///
    /// Fails on a missing or unusable key, and says which.
    pub fn from_json(mut json: Value, var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let told = |name: &str, key: &'static str| -> Result<(String, String), ConfigError> {
            if let Some(value) = var(name) {
                return Ok((name.to_owned(), value));
            }
            match &json[key] {
                Value::String(value) => Ok((key.to_owned(), value.clone())),
                Value::Null => Err(ConfigError::Missing(key)),
                _ => Err(bad(key, "not a string")),
            }
        };
        let address = |(key, value): (String, String)| {
            value.parse::<SocketAddr>().map_err(|e| bad(key, format!("'{value}': {e}")))
        };
        let (_, name) = told("ROUTER_NAME", "name")?;
        let listen = address(told("ROUTER_LISTEN", "listen")?)?;
        let discovery = address(told("ROUTER_DISCOVERY", "discovery")?)?;
        let seed = match &json["seed"] {
            Value::Null => 0,
            Value::String(hex) => u64::from_str_radix(hex, 16).map_err(|e| bad("seed", e))?,
            other => other.as_u64().ok_or_else(|| bad("seed", "not a whole number"))?,
        };
        let limits = match json["limits"].take() {
            Value::Null => Limits::default(),
            object => serde_json::from_value(object).map_err(|e| bad("limits", e))?,
        };
        let known = match json["known"].take() {
            Value::Null => None,
            list => Some(serde_json::from_value(list).map_err(|e| bad("known", e))?),
        };
        let facts = match json["settings"].take() {
            Value::Null => return Err(ConfigError::Missing("settings")),
            object => Facts::read(object).map_err(|e| bad("settings", e))?,
        };
        facts.settings(&facts.names()).map_err(|e| bad("settings", e))?;
        let longest = u64::try_from(facts.longest_deadline().as_micros()).unwrap_or_default();
        let grace = Duration::from_micros(longest).min(LONGEST_GRACE) + GRACE_ADDED;
        Ok(Self { name, listen, discovery, seed, limits, known, facts, grace })
    }
}
