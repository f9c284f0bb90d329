//! Reloads of the configuration file while the process runs.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;

use super::{Config, ConfigError, file};

/// Keys that take effect at a start only. `seed` and `known` are of a start by nature.
const KEYS_READ_AT_START: [&str; 8] =
    ["name", "listen", "operator", "limits", "settings", "peer_listen", "peers", "peers_all"];

/// What a reload is compared with.
#[derive(Debug, Clone, Default)]
pub struct ReloadBaseline {
    path: PathBuf,
    /// Values of [`KEYS_READ_AT_START`] at the start, whatever was read since.
    active_values: Vec<Value>,
}

/// What a reload changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReloadOutcome {
    /// Address of discovery from now on.
    pub discovery_address: SocketAddr,
    /// Keys that have changed and take effect after a restart.
    pub keys_needing_restart: Vec<&'static str>,
    /// What is valid and perhaps not intended.
    pub warnings: Vec<String>,
}

impl ReloadBaseline {
    /// The baseline of a process that starts with this object.
    pub(super) fn of(json: &Value) -> Self {
        Self { path: PathBuf::new(), active_values: values_read_at_start(json) }
    }

    pub(super) fn set_path(&mut self, path: PathBuf) {
        self.path = path;
    }

    /// Reads the file again. Blocks.
    ///
    /// # Errors
    ///
    /// Fails on a missing or invalid key, which the error names; the running configuration stays in place then.
    pub fn reload_from_file(
        &self,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<ReloadOutcome, ConfigError> {
        let json = file::read_json(&self.path)?;
        self.reload_from_json(json, variable).map_err(|error| error.in_file(&self.path))
    }

    /// Checks the file's new object.
    ///
    /// The environment was set at the start and cannot follow the file, so the file's `discovery` overrides the
    /// environment here.
    ///
    /// # Errors
    ///
    /// Fails on a missing or invalid key, which the error names.
    pub fn reload_from_json(
        &self,
        json: Value,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<ReloadOutcome, ConfigError> {
        let file_names_discovery = json["discovery"] != Value::Null;
        let new_values = values_read_at_start(&json);
        let config = Config::from_json(json, |name| match name {
            "ROUTER_DISCOVERY" if file_names_discovery => None,
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
