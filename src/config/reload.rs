//! Reloading of the configuration file while the process runs.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;

use super::{Config, ConfigError, file};

/// Keys whose changes take effect only at the next start. `seed` and `known` are not listed: they are used
/// only at start by definition, so that a change of them needs no warning.
const KEYS_READ_AT_START: [&str; 8] =
    ["name", "listen", "operator", "limits", "settings", "peer_listen", "peers", "peers_all"];

/// Configuration at the start of the process, with which a reload is compared.
#[derive(Debug, Clone, Default)]
pub struct ReloadBaseline {
    /// Path of the configuration file.
    path: PathBuf,
    /// Values of [`KEYS_READ_AT_START`] at the start of the process, in their order. Reloads do not change
    /// them.
    active_values: Vec<Value>,
}

/// Changes by a reload of the configuration file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReloadOutcome {
    /// Address of the discovery service after the reload.
    pub discovery_address: SocketAddr,
    /// Keys that have changed since the start and take effect only after a restart.
    pub keys_needing_restart: Vec<&'static str>,
    /// Warnings about values that are valid but possibly unintended.
    pub warnings: Vec<String>,
}

impl ReloadBaseline {
    /// Returns the baseline of a process that starts with the JSON object of its configuration file.
    pub(super) fn from_json(json: &Value) -> Self {
        Self { path: PathBuf::new(), active_values: values_read_at_start(json) }
    }

    pub(super) fn set_path(&mut self, path: PathBuf) {
        self.path = path;
    }

    /// Reads the configuration file again. Blocks.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or if a key is missing or invalid; the error names the key. The
    /// running configuration remains in effect then.
    pub fn reload_from_file(
        &self,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<ReloadOutcome, ConfigError> {
        let json = file::read_json(&self.path)?;
        self.reload_from_json(json, variable).map_err(|error| error.in_file(&self.path))
    }

    /// Validates the new JSON object of the configuration file and compares it with the baseline.
    ///
    /// Unlike at the start, `discovery` in the file overrides the environment: environment variables are set
    /// at the start and cannot change with the file.
    ///
    /// # Errors
    ///
    /// Fails if a key is missing or invalid; the error names the key.
    pub fn reload_from_json(
        &self,
        json: Value,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<ReloadOutcome, ConfigError> {
        let file_has_discovery = json["discovery"] != Value::Null;
        let new_values = values_read_at_start(&json);
        let config = Config::from_json(json, |name| match name {
            "ROUTER_DISCOVERY" if file_has_discovery => None,
            _ => variable(name),
        })?;
        Ok(ReloadOutcome {
            discovery_address: config.discovery_address,
            keys_needing_restart: self.changed_keys(&new_values),
            warnings: config.settings.warnings(),
        })
    }

    fn changed_keys(&self, new_values: &[Value]) -> Vec<&'static str> {
        let values = self.active_values.iter().zip(new_values);
        let keys = KEYS_READ_AT_START.into_iter().zip(values);
        keys.filter(|(_, (active, new))| active != new).map(|(key, _)| key).collect()
    }
}

fn values_read_at_start(json: &Value) -> Vec<Value> {
    KEYS_READ_AT_START.iter().map(|&key| json[key].clone()).collect()
}
