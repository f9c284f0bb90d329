//! Settings of the partners' quotas, read from the file that `--quota` names.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ashtide_fleet::state::{Allocation, BudgetKind};
use ashtide_quota::PartnerBudgets;
use serde_json::{Value as Json, json};
use toml::{Table, Value as Toml};

use super::super::settings_keys::{IntegerKey, InvalidKey, check_known_keys, read_flag, required_names};
use super::super::shared_state::name_hash;
use crate::settings::TenantQuota;

/// Maximum number of partners.
pub const MAX_PARTNERS: usize = 128;
/// Maximum rate of a partner in new connections per second.
const MAX_PER_S: f64 = 1e6;
/// Maximum number of open connections of a partner.
const MAX_CONNECTIONS: u64 = 1_000_000_000;
/// Divisor of floors, which are given in thousandths of a quota.
const PERMILLE: u64 = 1_000;

// The descriptions and error texts of the keys are recorded in tests/fixtures/compatibility/fleet.

/// Version number of the file: incremented at each change, the same in identical copies.
const GENERATION: IntegerKey = IntegerKey {
    name: "generation",
    minimum: 1,
    maximum: i32::MAX as u32,
    default: None,
    description: "Version number of this file: increment it at each change. Identical copies have the same \
                  number.",
};
/// Thousandths of each quota that are never lent. Each gateway always has its part of them.
const RESERVE: IntegerKey = IntegerKey {
    name: "reserve",
    minimum: 0,
    maximum: 1000,
    default: Some(100),
    description: "Thousandths of each quota that are never lent, so that each gateway always has its part \
                  of them.",
};
/// Duration in ms for which unused units of the rate of new connections accumulate.
const BURST_MS: IntegerKey = IntegerKey {
    name: "burst_ms",
    minimum: 1,
    maximum: 60_000,
    default: Some(1000),
    description: "Duration in ms for which unused units of the rate of new connections accumulate.",
};
/// Maximum wait in ms that is sent to a rejected client.
const MAX_WAIT_MS: IntegerKey = IntegerKey {
    name: "max_wait_ms",
    minimum: 1,
    maximum: 10_000,
    default: Some(2000),
    description: "Maximum wait in ms that is sent to a rejected client.",
};
const INTEGER_KEYS: [IntegerKey; 4] = [GENERATION, RESERVE, BURST_MS, MAX_WAIT_MS];
const OTHER_KEYS: [&str; 3] = ["vouched", "borrow", "partners"];
const PARTNER_KEYS: [&str; 2] = ["per_s", "connections"];

/// Description of `vouched`: an operator confirms that all running gateways are at this generation, as when
/// one is removed for good.
const CONFIRMED_DESCRIPTION: &str = "Set by an operator to confirm that all running gateways are at this \
                                     generation, as when a gateway is removed for good.";
/// Description of `borrow`: a partner may use units that another partner leaves unused at the same gateway,
/// while no server sheds load.
const BORROW_DESCRIPTION: &str = "Whether a partner may use units that another partner leaves unused at the \
                                  same gateway, while no server sheds load.";
/// Description of `partners`, the quota of each partner over all gateways.
const PARTNERS_DESCRIPTION: &str =
    "Quota of each partner over all gateways. Default: the table 'customers' of the configuration.";
/// Description of `per_s`, the maximum number of new connections per second.
const PER_S_DESCRIPTION: &str = "Maximum number of new connections per second.";
/// Description of `connections`, the maximum number of open connections.
const CONNECTIONS_DESCRIPTION: &str = "Maximum number of open connections. Default: no limit.";

/// An error in the settings of the quotas.
#[derive(Debug, thiserror::Error)]
pub enum QuotaError {
    /// The file cannot be read.
    #[error("quota: {path}: {problem}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error that the operating system returned.
        problem: std::io::Error,
    },
    /// The file is not TOML.
    #[error("quota: found {}; expected TOML", .0.to_string().trim())]
    Syntax(#[from] toml::de::Error),
    /// A key has an invalid value, is unknown, or is required and absent.
    #[error("quota: {0}")]
    Key(#[from] InvalidKey),
    /// The shared state, which has the quota units, is not configured.
    #[error("quota: found no table 'state' in the file of --view; expected one")]
    NoSharedState,
}

impl QuotaError {
    /// Returns the error and the operator's remedy, for the log.
    pub fn with_help(self) -> String {
        format!("{self}; {}", self.help())
    }

    /// Returns the operator's remedy.
    pub fn help(&self) -> &'static str {
        match self {
            Self::File { .. } => "pass a file that this process can read, or omit --quota",
            Self::Syntax(_) => "compare the file with deploy/quota.toml",
            Self::Key(_) => "correct the key; deploy/quota.schema.json describes the valid values",
            Self::NoSharedState => "pass --view with a file that has the table, or omit --quota",
        }
    }
}

/// Ids of a partner's budgets in the exchange, the same at all gateways. They are hashes of the partner's
/// name, so they stay the same when other partners are added or removed.
struct BudgetIds {
    rate: u32,
    connections: Option<u32>,
}

impl BudgetIds {
    fn of(quota: &TenantQuota) -> Self {
        let id = |prefix: &str| name_hash(&format!("{prefix}/{}", quota.name));
        Self { rate: id("pace"), connections: quota.max_open_connections.map(|_| id("held")) }
    }
}

/// Settings of the partners' quotas.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Version number of the file.
    pub generation: u32,
    /// Whether an operator confirms that all running gateways are at this generation.
    pub operator_confirmed: bool,
    /// Thousandths of each quota that are never lent.
    pub floor_permille: u32,
    /// Duration for which unused units of a rate accumulate.
    pub burst: Duration,
    /// Maximum wait that is sent to a rejected client.
    pub max_wait: Duration,
    /// Whether a partner may use units that another partner leaves unused.
    pub allow_borrowing: bool,
    /// Quotas of all partners.
    pub partners: Vec<TenantQuota>,
}

impl Settings {
    /// Reads the settings from the file at `path`. If the file has no partners, `tenants` are the partners.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not TOML, or has an invalid key.
    pub fn read(path: &Path, tenants: &[TenantQuota]) -> Result<Self, QuotaError> {
        let text = std::fs::read_to_string(path)
            .map_err(|problem| QuotaError::File { path: path.to_owned(), problem })?;
        Self::parse(&text, tenants)
    }

    /// Parses the text of a settings file. If it has no partners, `tenants` are the partners.
    ///
    /// # Errors
    ///
    /// Fails if the text is not TOML or has an invalid key, which the error names.
    pub fn parse(text: &str, tenants: &[TenantQuota]) -> Result<Self, QuotaError> {
        let table: Table = text.parse()?;
        let known: Vec<&str> = INTEGER_KEYS.iter().map(|key| key.name).chain(OTHER_KEYS).collect();
        check_known_keys(&table, "", &known)?;
        let read_ms =
            |key: &IntegerKey| Ok::<_, InvalidKey>(Duration::from_millis(key.read(&table, "")?.into()));
        let settings = Self {
            generation: GENERATION.read(&table, "")?,
            floor_permille: RESERVE.read(&table, "")?,
            burst: read_ms(&BURST_MS)?,
            max_wait: read_ms(&MAX_WAIT_MS)?,
            operator_confirmed: read_flag(&table, "", "vouched", false)?,
            allow_borrowing: read_flag(&table, "", "borrow", false)?,
            partners: match table.get("partners") {
                Some(partners) => parse_partners(partners)?,
                None => tenants.to_vec(),
            },
        };
        check_partners(&settings.partners)?;
        Ok(settings)
    }

    /// Returns the allocation over `slot_count` gateways, which must be the same at all of them.
    pub fn allocation(&self, slot_count: u16) -> Allocation {
        let rate_kind = BudgetKind::Rate { burst: self.burst };
        let rates = self.partners.iter().map(|partner| {
            let thousandths = (partner.connections_per_second * 1_000.0).round() as u64;
            (BudgetIds::of(partner).rate, (thousandths, rate_kind))
        });
        let connections = self.partners.iter().filter_map(|partner| {
            Some((
                BudgetIds::of(partner).connections?,
                (partner.max_open_connections?, BudgetKind::Concurrency),
            ))
        });
        Allocation {
            generation: self.generation,
            slot_count,
            floor_permille: self.floor_permille.into(),
            totals: rates.chain(connections).collect(),
        }
    }

    /// Returns the allocation of a gateway that does not share state yet, which has only the floors.
    pub(super) fn standalone_allocation(&self, slot_count: u16) -> Allocation {
        let mut allocation = self.allocation(slot_count);
        allocation.generation = 1;
        for total in allocation.totals.values_mut() {
            total.0 = total.0 * allocation.floor_permille / PERMILLE;
        }
        allocation.floor_permille = PERMILLE;
        allocation
    }

    /// Returns the budgets of each partner, in the order of the settings.
    pub(super) fn partner_budgets(&self) -> Vec<PartnerBudgets> {
        let budgets_of = |partner| {
            let ids = BudgetIds::of(partner);
            PartnerBudgets { rate_budget: ids.rate, burst: self.burst, connections_budget: ids.connections }
        };
        self.partners.iter().map(budgets_of).collect()
    }
}

fn parse_partners(value: &Toml) -> Result<Vec<TenantQuota>, InvalidKey> {
    let partners = value.as_table().ok_or_else(|| InvalidKey::new("partners", value, "a table"))?;
    partners.iter().map(|(name, partner)| parse_partner(name, partner)).collect()
}

fn parse_partner(name: &str, value: &Toml) -> Result<TenantQuota, InvalidKey> {
    let key = format!("partners.{name}");
    let table = value.as_table().ok_or_else(|| InvalidKey::new(&key, value, "a table"))?;
    check_known_keys(table, &format!("{key}."), &PARTNER_KEYS)?;
    let per_s = table
        .get("per_s")
        .ok_or_else(|| InvalidKey::missing(format_args!("{key}.per_s"), "a number above 0"))?;
    Ok(TenantQuota {
        name: name.to_owned(),
        connections_per_second: parse_per_s(&key, per_s)?,
        max_open_connections: table
            .get("connections")
            .map(|value| parse_connections(&key, value))
            .transpose()?,
    })
}

fn parse_per_s(partner: &str, value: &Toml) -> Result<f64, InvalidKey> {
    let number = value.as_float().or(value.as_integer().map(|number| number as f64));
    number.filter(|number| *number > 0.0 && *number <= MAX_PER_S).ok_or_else(|| {
        InvalidKey::new(
            format_args!("{partner}.per_s"),
            value,
            format_args!("a number above 0, at most {MAX_PER_S}"),
        )
    })
}

fn parse_connections(partner: &str, value: &Toml) -> Result<u64, InvalidKey> {
    let number = value.as_integer().and_then(|number| u64::try_from(number).ok());
    number.filter(|number| *number <= MAX_CONNECTIONS).ok_or_else(|| {
        InvalidKey::new(
            format_args!("{partner}.connections"),
            value,
            format_args!("a whole number from 0 to {MAX_CONNECTIONS}"),
        )
    })
}

/// Checks the number of partners, and that no two partners have budgets of the same id.
fn check_partners(partners: &[TenantQuota]) -> Result<(), InvalidKey> {
    if partners.is_empty() || partners.len() > MAX_PARTNERS {
        let found = format_args!("{} partners", partners.len());
        let expected =
            format_args!("1 to {MAX_PARTNERS}, here or in the table 'customers' of the configuration");
        return Err(InvalidKey::new("partners", found, expected));
    }
    let mut partner_by_id = BTreeMap::new();
    for partner in partners {
        let ids = BudgetIds::of(partner);
        for id in ids.connections.into_iter().chain([ids.rate]) {
            if let Some(other) = partner_by_id.insert(id, &partner.name) {
                let key = format_args!("partners.{}", partner.name);
                let found = format_args!("a name with the same hash as {other}");
                return Err(InvalidKey::new(
                    key,
                    found,
                    "partner names with different hashes; rename one of the two",
                ));
            }
        }
    }
    Ok(())
}

/// Returns the JSON Schema of the settings file.
pub fn schema() -> Json {
    let mut properties = serde_json::Map::new();
    for key in &INTEGER_KEYS {
        properties.insert(key.name.to_owned(), key.schema());
    }
    for (key, description) in [("vouched", CONFIRMED_DESCRIPTION), ("borrow", BORROW_DESCRIPTION)] {
        let schema = json!({"type": "boolean", "default": false, "description": description});
        properties.insert(key.to_owned(), schema);
    }
    let partner = json!({
        "type": "object", "required": ["per_s"], "additionalProperties": false,
        "properties": {
            "per_s": {"type": "number", "exclusiveMinimum": 0, "maximum": MAX_PER_S as u64,
                      "description": PER_S_DESCRIPTION},
            "connections": {"type": "integer", "minimum": 0, "maximum": MAX_CONNECTIONS,
                            "description": CONNECTIONS_DESCRIPTION},
        },
    });
    properties.insert(
        "partners".to_owned(),
        json!({"type": "object", "minProperties": 1, "maxProperties": MAX_PARTNERS,
               "additionalProperties": partner, "description": PARTNERS_DESCRIPTION}),
    );
    let required: Vec<&str> = required_names(&INTEGER_KEYS).collect();
    json!({
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "Settings of partners' quotas, read from the file that --quota names",
        "type": "object", "properties": properties, "required": required, "additionalProperties": false,
    })
}
