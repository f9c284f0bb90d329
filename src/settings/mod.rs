//! Settings of the platform, which the simulator's first message and the configuration file contain.

mod document;
mod error;
mod names;

use std::collections::HashSet;

use serde::Deserialize;
use smart_default::SmartDefault;

use crate::decision::interface::{
    DiscoveryMode, GatewayId, Idempotency, Prices, RequestClass, Settings, Span, Tenant, WeightMode, ZoneId,
};
pub(crate) use document::remove_nulls;
use document::{ClassSettings, CustomerSettings, FamilyInfo, LimitSettings, PriceSettings, RuleSettings};
pub use error::{DuplicateNameError, SettingsError};
pub use names::{Interner, NameTables, group_id};

/// Converts seconds to a span, rounded to the nearest microsecond. NaN is converted to zero.
pub fn span_from_seconds(seconds: f64) -> Span {
    Span::from_micros((seconds * 1e6).round() as i64)
}

/// Quota of a tenant, which applies to all gateways together.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantQuota {
    /// Name of the tenant.
    pub name: String,
    /// Maximum rate of new connections per second.
    pub connections_per_second: f64,
    /// Maximum number of open connections; `None` if it is not limited.
    pub max_open_connections: Option<u64>,
}

/// Settings of the platform. Missing keys have defaults.
#[derive(Deserialize, SmartDefault)]
#[serde(rename_all = "camelCase", default, expecting = "struct Facts")]
pub struct PlatformSettings {
    #[serde(rename = "azs")]
    zones: Vec<String>,
    #[serde(rename = "shapes")]
    machine_kinds: Vec<String>,
    zone: String,
    classes: Vec<ClassSettings>,
    customers: Vec<CustomerSettings>,
    #[default = 1]
    #[serde(rename = "balancers")]
    gateways: u32,
    #[serde(rename = "index")]
    gateway_index: u32,
    #[default = "pushed"]
    discovery: String,
    weights: String,
    value_by: String,
    family_info: FamilyInfo,
    limits: LimitSettings,
    prices: PriceSettings,
    rules: RuleSettings,
    #[default = 0.001]
    tick: f64,
}

impl PlatformSettings {
    /// Parses and validates the JSON settings object.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON, if a key has the wrong type or an unknown value, or if a name occurs
    /// twice in a list; the error names the key.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut value = serde_json::from_str(text)?;
        remove_nulls(&mut value);
        let settings: Self = serde_path_to_error::deserialize(&value)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Checks that the names in each list are unique.
    ///
    /// Requests refer to an entry by its name, and all other code by its index. After a duplicate, the
    /// numbers of the names would differ from the indices, and the settings of another name would apply to
    /// requests. An empty name is valid, as a request with `c=` refers to it.
    ///
    /// # Errors
    ///
    /// Fails if a name occurs twice; the error names the key of the first duplicate.
    pub fn validate(&self) -> Result<(), DuplicateNameError> {
        require_unique("classes", self.classes.iter().map(|class| class.name.as_str()))?;
        require_unique("customers", self.customers.iter().map(|customer| customer.name.as_str()))
    }

    /// Returns warnings about settings that are valid but possibly unintended.
    ///
    /// A warning is returned for a list whose length differs from that of the list it refers to. A missing
    /// entry means no limit, and a superfluous entry is ignored.
    pub fn warnings(&self) -> Vec<String> {
        let info = &self.family_info;
        let classes = self.classes.len();
        let customers = self.customers.len();
        let objectives =
            length_warning("messageAim", info.message_latency_objectives.len(), "classes", classes);
        let quotas =
            length_warning("tenantQuotaConnections", info.connection_quotas.len(), "customers", customers);
        objectives.into_iter().chain(quotas).collect()
    }

    /// Assigns numbers to the names that the settings define.
    pub fn name_tables(&self) -> NameTables {
        NameTables {
            zones: self.zones.iter().chain([&self.zone]).collect(),
            kinds: self.machine_kinds.iter().collect(),
            servers: Interner::default(),
            classes: self.classes.iter().map(|class| &class.name).collect(),
            tenants: self.customers.iter().map(|customer| &customer.name).collect(),
        }
    }

    /// Returns the time after which an attempt to connect to a server has failed if the connection is not
    /// established.
    pub fn connect_timeout(&self) -> Span {
        span_from_seconds(self.limits.connect_timeout)
    }

    /// Returns the index of this gateway in the fleet.
    pub fn gateway_index(&self) -> u32 {
        self.gateway_index
    }

    /// Checks whether gateways may send messages to each other.
    pub fn allows_peer_messages(&self) -> bool {
        self.limits.peers
    }

    /// Returns the names of the classes whose requests may not be executed twice.
    pub fn unrepeatable_classes(&self) -> Vec<String> {
        let unrepeatable = self.classes.iter().filter(|class| class.idempotency() != Idempotency::Idempotent);
        unrepeatable.map(|class| class.name.clone()).collect()
    }

    /// Returns the quotas of the tenants that have one.
    pub fn tenant_quotas(&self) -> Vec<TenantQuota> {
        let with_quota = self.customers.iter().enumerate().filter(|(_, customer)| customer.quota_per_s > 0.0);
        let quotas = with_quota.map(|(index, customer)| TenantQuota {
            name: customer.name.clone(),
            connections_per_second: customer.quota_per_s,
            max_open_connections: self.max_open_connections(index),
        });
        quotas.collect()
    }

    /// Returns the maximum number of open connections of the customer at index `customer`; `None` if there is
    /// no limit, which a value below one means.
    fn max_open_connections(&self, customer: usize) -> Option<u64> {
        let limit = self.family_info.connection_quotas.get(customer).copied()?;
        (limit >= 1.0).then_some(limit as u64)
    }

    /// Returns the longest deadline of all classes.
    pub fn longest_deadline(&self) -> Span {
        span_from_seconds(self.classes.iter().map(|class| class.deadline).fold(0.0, f64::max))
    }

    /// Returns the settings of the decision module. `names` supplies the number of the gateway's zone.
    pub fn balancer_settings(&self, names: &NameTables) -> Settings {
        let LimitSettings { max_attempts, health_checks, peers, cancellation, .. } = self.limits;
        let rules = &self.rules;
        Settings {
            gateways: self.gateways.max(1),
            gateway_id: GatewayId(self.gateway_index),
            zone: ZoneId(names.zones.find(&self.zone).unwrap_or_default()),
            discovery: self.discovery_mode(),
            weights: self.weight_mode(),
            classes: self.request_classes(),
            tenants: self.tenants(),
            priority_scales_with_load: self.value_by == "work",
            batch_interval: span_from_seconds(self.tick),
            prices: self.prices(),
            max_attempts,
            max_retry_after: self.max_retry_after(),
            health_checks,
            fleet_permits: peers,
            cancellation,
            answer_slack: span_from_seconds(rules.answer_slack),
            list_poll_limit: span_from_seconds(rules.list_poll_limit),
            drain_grace: span_from_seconds(rules.drain_grace),
            initial_capacity_share: rules.initial_capacity_share,
            warm_up_time: span_from_seconds(rules.warm_up_time),
            overload_factor: rules.overload_factor,
            overload_window: span_from_seconds(rules.overload_window),
        }
    }

    fn discovery_mode(&self) -> DiscoveryMode {
        match self.discovery.as_str() {
            "pushed" => DiscoveryMode::Pushed,
            _ => DiscoveryMode::OnRequest,
        }
    }

    fn weight_mode(&self) -> WeightMode {
        match self.weights.as_str() {
            "nominal" | "rough" => WeightMode::Nominal,
            "live" => WeightMode::Live,
            _ => WeightMode::Off,
        }
    }

    fn request_classes(&self) -> Vec<RequestClass> {
        let objectives = &self.family_info.message_latency_objectives;
        let classes = self.classes.iter().enumerate().map(|(index, class)| RequestClass {
            latency_objective: span_from_seconds(class.latency_objective),
            message_latency_objective: span_from_seconds(value_at(objectives, index)),
            priority_weight: class.priority_weight,
            idempotency: class.idempotency(),
        });
        classes.collect()
    }

    fn tenants(&self) -> Vec<Tenant> {
        let connection_quotas = &self.family_info.connection_quotas;
        let tenants = self.customers.iter().enumerate().map(|(index, customer)| Tenant {
            quota_per_s: customer.quota_per_s,
            quota_connections: value_at(connection_quotas, index),
        });
        tenants.collect()
    }

    fn prices(&self) -> Prices {
        Prices {
            cross_zone: self.prices.cross_zone,
            health_check: self.prices.health_check,
            migration: self.prices.migration,
        }
    }

    fn max_retry_after(&self) -> Span {
        if self.limits.retry_after { span_from_seconds(self.limits.max_retry_after) } else { Span::ZERO }
    }
}

/// Returns the value at an index; zero, which means no limit, if the list is shorter.
fn value_at(values: &[f64], index: usize) -> f64 {
    values.get(index).copied().unwrap_or(0.0)
}

/// Returns an error if a name occurs twice; `list` is the key of the list.
fn require_unique<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Result<(), DuplicateNameError> {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        if !seen.insert(name) {
            let key = format!("{list}[{index}].name");
            let problem =
                format!("'{name}' occurs twice; expected unique names, as requests refer to entries by name");
            return Err(DuplicateNameError { key, problem });
        }
    }
    Ok(())
}

/// Returns a warning if the list `key` is not empty and its length differs from `expected_length`, the length
/// of the list it refers to.
fn length_warning(key: &str, length: usize, list: &str, expected_length: usize) -> Option<String> {
    (length > 0 && length != expected_length).then(|| {
        format!(
            "settings.familyInfo.{key}: found {length} values for {expected_length} {list}; \
             values are assigned by position"
        )
    })
}
