//! The file of the front ends that the platform does not know: QUIC, and the virtual router that gates it.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

use serde::{Deserialize, Deserializer};
use serde_inline_default::serde_inline_default;

use super::ConfigError;
use super::error::invalid_value;
use crate::quic::header::MAX_CONNECTION_ID_LENGTH;
use crate::quic::load_balancing::MIN_ROUTABLE_ID_LENGTH;
use crate::vrrp::VirtualRouterConfig;

/// Shortest reset key in bytes.
const MIN_RESET_KEY_LENGTH: usize = 16;
/// Shortest time in milliseconds after which a QUIC connection counts as idle.
const MIN_IDLE_MS: u32 = 1000;
/// Least number that is no configuration of routable connection ids.
const CONFIG_ROTATION_LIMIT: u8 = 7;
/// Longest interval between advertisements in milliseconds: VRRP has 12 bits of hundredths of a second.
const MAX_INTERVAL_MS: u32 = 40_950;
/// Virtual addresses of a router at most.
const MAX_ADDRESSES: usize = 16;

/// Configuration of the front ends.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Fronts")]
pub struct FrontendConfig {
    /// The QUIC front end.
    pub quic: Option<QuicConfig>,
    /// Its virtual router.
    pub vrrp: Option<VrrpConfig>,
}

/// Name of [`QuicConfig`] in the texts of errors, which operators know.
type QuicFront = QuicConfig;

/// Configuration of the QUIC front end.
#[serde_inline_default]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, remote = "QuicFront")]
pub struct QuicConfig {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Class of its connections, as the settings name it.
    pub class: String,
    /// Tenant of its connections.
    pub tenant: Option<String>,
    /// How long an Initial may wait for its server, in milliseconds.
    pub deadline_ms: u32,
    /// Length in bytes of the connection ids that servers issue.
    #[serde_inline_default(12)]
    pub id_length: usize,
    /// Number of the configuration in those ids.
    #[serde(default)]
    pub rotation: u8,
    /// The site's shared key of reset tokens, in hex. Without it the key is random: clients do not recognize resets and
    /// notice the end of a connection by their own time-outs.
    pub reset_key: Option<String>,
    /// Sockets to servers at most: one for each address that a connection is seen under.
    #[serde_inline_default(256)]
    pub paths: usize,
    /// A connection that has been silent for so many milliseconds is over.
    #[serde_inline_default(30_000)]
    pub idle_ms: u32,
}

impl<'de> Deserialize<'de> for QuicConfig {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // The derived function.
        Self::deserialize(deserializer)
    }
}

/// Name of [`VrrpConfig`] in the texts of errors, which operators know.
type VrrpFront = VrrpConfig;

/// Configuration of the virtual router that gates the QUIC front end.
#[serde_inline_default]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, remote = "VrrpFront")]
pub struct VrrpConfig {
    /// Virtual router id.
    #[serde(rename = "router")]
    pub virtual_router_id: u8,
    /// Priority; the owner of the address has 255.
    pub priority: u8,
    /// Milliseconds between advertisements, a multiple of 10.
    #[serde_inline_default(1000)]
    pub interval_ms: u32,
    /// Whether it takes over from an active router of lower priority.
    #[serde_inline_default(true)]
    pub preempt: bool,
    /// Where it receives advertisements.
    pub listen: SocketAddr,
    /// The other routers of the same id.
    pub peers: Vec<SocketAddr>,
    /// The virtual addresses.
    #[serde(default)]
    pub addresses: Vec<Ipv4Addr>,
}

impl<'de> Deserialize<'de> for VrrpConfig {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // The derived function.
        Self::deserialize(deserializer)
    }
}

impl FrontendConfig {
    /// Reads and checks a file. Blocks.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read, and on a missing or invalid key, which the error names.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| ConfigError::unreadable_file(path, &error))?;
        Self::parse(&text).map_err(|error| ConfigError::unreadable_file(path, &error))
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    ///
    /// Fails on a missing or invalid key, which the error names.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Self = toml::from_str(text).map_err(|error| invalid_value("deploy file", error))?;
        if let Some(quic) = &config.quic {
            quic.validate()?;
        }
        if let Some(vrrp) = &config.vrrp {
            require(config.quic.is_some(), "vrrp", "there is no [quic] that it could gate")?;
            vrrp.validate()?;
        }
        Ok(config)
    }
}

impl QuicConfig {
    /// The bytes of the reset key; `None` where there is none or it is not hex.
    pub fn reset_key_bytes(&self) -> Option<Vec<u8>> {
        self.reset_key.as_deref().and_then(decode_hex)
    }

    fn validate(&self) -> Result<(), ConfigError> {
        let id_lengths = MIN_ROUTABLE_ID_LENGTH..=MAX_CONNECTION_ID_LENGTH;
        require(self.deadline_ms > 0, "quic.deadline_ms", "must be over 0")?;
        require(id_lengths.contains(&self.id_length), "quic.id_length", "must be 9 to 20")?;
        require(self.rotation < CONFIG_ROTATION_LIMIT, "quic.rotation", "must be 0 to 6")?;
        require(self.paths > 0, "quic.paths", "must be over 0")?;
        require(self.idle_ms >= MIN_IDLE_MS, "quic.idle_ms", "must be 1000 or more")?;
        require(self.has_valid_reset_key(), "quic.reset_key", "must be 32 or more hex digits")
    }

    fn has_valid_reset_key(&self) -> bool {
        self.reset_key.is_none()
            || self.reset_key_bytes().is_some_and(|key| key.len() >= MIN_RESET_KEY_LENGTH)
    }
}

impl VrrpConfig {
    /// The configuration of the state machine.
    pub fn virtual_router_config(&self) -> VirtualRouterConfig {
        VirtualRouterConfig {
            virtual_router_id: self.virtual_router_id,
            priority: self.priority,
            advertisement_interval: u16::try_from(self.interval_ms / 10).unwrap_or(u16::MAX),
            preempt: self.preempt,
            addresses: self.addresses.clone(),
        }
    }

    fn validate(&self) -> Result<(), ConfigError> {
        let is_valid_interval =
            self.interval_ms.is_multiple_of(10) && (10..=MAX_INTERVAL_MS).contains(&self.interval_ms);
        require(self.virtual_router_id > 0, "vrrp.router", "must be 1 to 255")?;
        require(self.priority > 0, "vrrp.priority", "must be 1 to 255")?;
        require(is_valid_interval, "vrrp.interval_ms", "must be a multiple of 10 up to 40950")?;
        require(self.addresses.len() <= MAX_ADDRESSES, "vrrp.addresses", "must be 16 at most")
    }
}

fn require(condition: bool, key: &str, problem: &str) -> Result<(), ConfigError> {
    if condition { Ok(()) } else { Err(invalid_value(key, problem)) }
}

/// Decodes hex digits; `None` where they are none or an odd number.
pub fn decode_hex(digits: &str) -> Option<Vec<u8>> {
    if !digits.len().is_multiple_of(2) || !digits.is_ascii() {
        return None;
    }
    let decode_byte = |start| u8::from_str_radix(&digits[start..start + 2], 16).ok();
    (0..digits.len()).step_by(2).map(decode_byte).collect()
}
