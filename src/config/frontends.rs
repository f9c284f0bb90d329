//! Deploy file of the front ends that the platform does not configure: QUIC, and the virtual router (VRRP)
//! that gates it.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

use serde::{Deserialize, Deserializer};
use serde_inline_default::serde_inline_default;

use super::ConfigError;
use super::error::invalid_value;
use crate::quic::header::MAX_CONNECTION_ID_LENGTH;
use crate::quic::load_balancing::MIN_ROUTABLE_ID_LENGTH;
use crate::vrrp::VirtualRouterConfig;

/// Minimum length of the reset key in bytes.
const MIN_RESET_KEY_LENGTH: usize = 16;
/// Minimum idle time-out of a QUIC connection in milliseconds.
const MIN_IDLE_MS: u32 = 1000;
/// Exclusive upper limit of the configuration number in routable connection ids. QUIC-LB has three bits for
/// it and reserves the value 7 for ids that are not routable.
const CONFIG_ROTATION_LIMIT: u8 = 7;
/// Maximum interval between advertisements in milliseconds: VRRP encodes it in 12 bits as hundredths of a
/// second.
const MAX_INTERVAL_MS: u32 = 40_950;
/// Maximum number of virtual addresses of a virtual router.
const MAX_ADDRESSES: usize = 16;

/// Configuration of the front ends.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Fronts")]
pub struct FrontendConfig {
    /// Configuration of the QUIC front end; `None` if the gateway has none.
    pub quic: Option<QuicConfig>,
    /// Configuration of the virtual router that gates the QUIC front end; `None` if it is not gated.
    pub vrrp: Option<VrrpConfig>,
}

/// Alias that retains the name `QuicFront` for [`QuicConfig`] in serde's error messages.
type QuicFront = QuicConfig;

/// Configuration of the QUIC front end.
#[serde_inline_default]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, remote = "QuicFront")]
pub struct QuicConfig {
    /// UDP address on which the front end receives datagrams of clients.
    pub listen: SocketAddr,
    /// Name of the class of all QUIC connections, which the settings have to define.
    pub class: String,
    /// Name of the tenant of all QUIC connections; `None` if they belong to no tenant.
    pub tenant: Option<String>,
    /// Client timeout of a connection's request: the maximum time that an Initial waits for its server, in
    /// milliseconds.
    pub deadline_ms: u32,
    /// Length of the connection ids that servers issue, in bytes.
    #[serde_inline_default(12)]
    pub id_length: usize,
    /// Configuration number (config rotation) in the connection ids that servers issue.
    #[serde(default)]
    pub rotation: u8,
    /// Key of stateless reset tokens in hex, which the gateways and servers of a site share. If it is `None`,
    /// the key is random: clients do not recognize resets then, and detect the end of a connection by their
    /// own time-outs.
    pub reset_key: Option<String>,
    /// Maximum number of sockets to servers. A connection has one for each client address from which it
    /// sends.
    #[serde_inline_default(256)]
    pub paths: usize,
    /// Idle time-out of a connection in milliseconds: the time without datagrams after which it is removed.
    #[serde_inline_default(30_000)]
    pub idle_ms: u32,
}

impl<'de> Deserialize<'de> for QuicConfig {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Calls the inherent function that `serde(remote)` derives.
        Self::deserialize(deserializer)
    }
}

/// Alias that retains the name `VrrpFront` for [`VrrpConfig`] in serde's error messages.
type VrrpFront = VrrpConfig;

/// Configuration of the virtual router that gates the QUIC front end.
#[serde_inline_default]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, remote = "VrrpFront")]
pub struct VrrpConfig {
    /// Virtual router id (VRID).
    #[serde(rename = "router")]
    pub virtual_router_id: u8,
    /// Priority in the election of the active router. The owner of the virtual addresses has 255.
    pub priority: u8,
    /// Interval between advertisements in milliseconds. It is a multiple of 10, as VRRP encodes hundredths of
    /// a second.
    #[serde_inline_default(1000)]
    pub interval_ms: u32,
    /// Whether the router takes over from an active router of lower priority.
    #[serde_inline_default(true)]
    pub preempt: bool,
    /// Address on which the router receives advertisements.
    pub listen: SocketAddr,
    /// Addresses of the other routers with the same virtual router id.
    pub peers: Vec<SocketAddr>,
    /// Virtual addresses of the router.
    #[serde(default)]
    pub addresses: Vec<Ipv4Addr>,
}

impl<'de> Deserialize<'de> for VrrpConfig {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Calls the inherent function that `serde(remote)` derives.
        Self::deserialize(deserializer)
    }
}

impl FrontendConfig {
    /// Reads and validates a deploy file. Blocks.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or if a key is missing or invalid; the error names the key.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| ConfigError::unreadable_file(path, &error))?;
        Self::parse(&text).map_err(|error| ConfigError::unreadable_file(path, &error))
    }

    /// Parses and validates the text of a deploy file.
    ///
    /// # Errors
    ///
    /// Fails if a key is missing or invalid; the error names the key.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Self = toml::from_str(text).map_err(|error| invalid_value("deploy file", error))?;
        if let Some(quic) = &config.quic {
            quic.validate()?;
        }
        if let Some(vrrp) = &config.vrrp {
            require(
                config.quic.is_some(),
                "vrrp",
                || "section [quic] is missing; [vrrp] requires it, as it gates the QUIC front end",
            )?;
            vrrp.validate()?;
        }
        Ok(config)
    }
}

impl QuicConfig {
    /// Returns the bytes of the reset key; `None` if it is absent or not hex.
    pub fn reset_key_bytes(&self) -> Option<Vec<u8>> {
        self.reset_key.as_deref().and_then(decode_hex)
    }

    fn validate(&self) -> Result<(), ConfigError> {
        let id_lengths = MIN_ROUTABLE_ID_LENGTH..=MAX_CONNECTION_ID_LENGTH;
        require(self.deadline_ms > 0, "quic.deadline_ms", || "found 0, expected at least 1")?;
        require(id_lengths.contains(&self.id_length), "quic.id_length", || {
            format!("found {}, expected 9 to 20", self.id_length)
        })?;
        require(self.rotation < CONFIG_ROTATION_LIMIT, "quic.rotation", || {
            format!("found {}, expected 0 to 6", self.rotation)
        })?;
        require(self.paths > 0, "quic.paths", || "found 0, expected at least 1")?;
        require(self.idle_ms >= MIN_IDLE_MS, "quic.idle_ms", || {
            format!("found {}, expected at least 1000", self.idle_ms)
        })?;
        require(
            self.has_valid_reset_key(),
            "quic.reset_key",
            || "expected an even number of hex digits, at least 32",
        )
    }

    fn has_valid_reset_key(&self) -> bool {
        self.reset_key.is_none()
            || self.reset_key_bytes().is_some_and(|key| key.len() >= MIN_RESET_KEY_LENGTH)
    }
}

impl VrrpConfig {
    /// Returns the configuration of the VRRP state machine.
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
        require(self.virtual_router_id > 0, "vrrp.router", || "found 0, expected 1 to 255")?;
        require(self.priority > 0, "vrrp.priority", || "found 0, expected 1 to 255")?;
        require(is_valid_interval, "vrrp.interval_ms", || {
            format!("found {}, expected a multiple of 10 from 10 to 40950", self.interval_ms)
        })?;
        require(self.addresses.len() <= MAX_ADDRESSES, "vrrp.addresses", || {
            format!("found {} addresses, expected at most {MAX_ADDRESSES}", self.addresses.len())
        })
    }
}

/// Returns the error of an invalid value for `key` unless `condition` holds.
fn require<P: ToString>(condition: bool, key: &str, problem: impl FnOnce() -> P) -> Result<(), ConfigError> {
    if condition { Ok(()) } else { Err(invalid_value(key, problem())) }
}

/// Decodes hex digits; returns `None` if the text contains other characters or its length is odd.
pub fn decode_hex(digits: &str) -> Option<Vec<u8>> {
    if !digits.len().is_multiple_of(2) || !digits.is_ascii() {
        return None;
    }
    let decode_byte = |start| u8::from_str_radix(&digits[start..start + 2], 16).ok();
    (0..digits.len()).step_by(2).map(decode_byte).collect()
}
