//! The settings object, as the simulator's first message and the daemon's configuration carry it.
//! Unknown keys are skipped.

use std::collections::{HashMap, HashSet};

use serde::Deserialize;
use serde_inline_default::serde_inline_default;
use serde_json::Value;
use smart_default::SmartDefault;

use crate::decision::interface::{
    DeduplicationScope, DiscoveryMode, GatewayId, GroupId, Idempotency, Prices, RequestClass, Settings, Span,
    Tenant, WeightMode, ZoneId,
};

/// Seconds as whole microseconds; what is no number counts as zero.
pub fn span_from_seconds(seconds: f64) -> Span {
    Span::from_micros((seconds * 1e6).round() as i64)
}

/// The group's number, the same at all gateways; a table of names would grow for ever.
pub fn group_id(name: &str) -> GroupId {
    let mut hash = 0x811c_9dc5_u32;
    for byte in name.bytes() {
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    GroupId(hash)
}

/// Numbers names in the order of their first appearance.
#[derive(Default)]
pub struct Interner {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl Interner {
    /// The name's number, a new one where it is new.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// The number of a name met before.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// All names, by number.
    pub fn names(&self) -> &[String] {
        &self.names
    }
}

/// The names that the settings define, numbered as the module's ids.
pub struct NameTables {
    /// Zones, those of the settings first.
    pub zones: Interner,
    /// Kinds of machine, those of the settings first.
    pub kinds: Interner,
    /// Servers, in the order of their first mention.
    pub servers: Interner,
    /// Classes: index in [`Settings::classes`].
    pub classes: Interner,
    /// Tenants: index in [`Settings::tenants`].
    pub tenants: Interner,
}

/// A tenant's quota over all gateways.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantQuota {
    /// The tenant's name.
    pub name: String,
    /// New connections a second.
    pub connections_per_second: f64,
    /// Open connections; none where they are not limited.
    pub max_open_connections: Option<u64>,
}

/// The settings object as it is written.
#[derive(Deserialize, SmartDefault)]
#[serde(rename_all = "camelCase", default)]
pub struct PlatformSettings {
    azs: Vec<String>,
    shapes: Vec<String>,
    zone: String,
    classes: Vec<ClassSettings>,
    customers: Vec<CustomerSettings>,
    #[default = 1]
    balancers: u32,
    index: u32,
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

#[serde_inline_default]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassSettings {
    name: String,
    #[serde(default)]
    aim: f64,
    #[serde(default)]
    deadline: f64,
    #[serde_inline_default(1.0)]
    worth: f64,
    #[serde(default)]
    effect: EffectSetting,
    #[serde(default)]
    group: String,
    #[serde(default)]
    key_ttl: f64,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EffectSetting {
    #[default]
    Pure,
    Token,
    SideEffect,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct CustomerSettings {
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    message_aim: Vec<f64>,
    tenant_quota_connections: Vec<f64>,
}

#[derive(Deserialize, SmartDefault)]
#[serde(rename_all = "camelCase", default)]
struct LimitSettings {
    #[default = 1]
    max_attempts: u32,
    max_retry_after: f64,
    retry_after: bool,
    probes: bool,
    peers: bool,
    cancelling: bool,
    #[default = 0.2]
    connect_timeout: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct PriceSettings {
    cross_zone: f64,
    probe: f64,
    moves: f64,
}

#[derive(Deserialize, SmartDefault)]
#[serde(rename_all = "camelCase", default)]
struct RuleSettings {
    answer_slack: f64,
    #[default = 10.0]
    ask_within: f64,
    #[default = 2.0]
    stop_sending_within: f64,
    #[default = 1.0]
    cold_from: f64,
    warm_within: f64,
    #[default = 1.0]
    fall_multiple: f64,
    #[default = 1.0]
    overload_for: f64,
}

/// A name that stands twice in a list of the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct DuplicateNameError {
    /// The second place where it stands.
    pub key: String,
    /// The name, and why it may stand once only.
    pub problem: String,
}

/// Takes out every `null`: it says no more than a missing key does.
pub(crate) fn remove_nulls(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, value| !value.is_null());
            fields.values_mut().for_each(remove_nulls);
        }
        Value::Array(items) => {
            for item in items {
                if item.is_null() {
                    *item = Value::from(0.0);
                }
                remove_nulls(item);
            }
        }
        _ => {}
    }
}

impl PlatformSettings {
    /// Reads the object; keys of the wrong type, unknown effects and names that stand twice are errors, and
    /// name the key.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut value = serde_json::from_str(text).map_err(|e| e.to_string())?;
        remove_nulls(&mut value);
        let facts: Self = serde_path_to_error::deserialize(&value).map_err(|e| e.to_string())?;
        facts.validate().map_err(|e| e.to_string())?;
        Ok(facts)
    }

    /// Requests ask by name and everything else goes by place, so each name of a list stands once: behind a
    /// second one every place would be another's, and requests would be judged by settings not their own. An
    /// empty name is one like others, as `c=` asks for it.
    ///
    /// # Errors
    ///
    /// Says which name stands twice, and where.
    pub fn validate(&self) -> Result<(), DuplicateNameError> {
        let classes: Vec<&str> = self.classes.iter().map(|it| it.name.as_str()).collect();
        let customers: Vec<&str> = self.customers.iter().map(|it| it.name.as_str()).collect();
        for (list, names) in [("classes", classes), ("customers", customers)] {
            let mut seen = HashSet::new();
            if let Some(at) = names.iter().position(|name| !seen.insert(*name)) {
                let problem =
                    format!("'{}' stands twice; requests ask by name, so name each once", names[at]);
                return Err(DuplicateNameError { key: format!("{list}[{at}].name"), problem });
            }
        }
        Ok(())
    }

    /// What is legal and perhaps not meant: a list that goes by the places of another and has another length.
    /// The pages give these lists a figure for each class and each customer and don't say what a shorter one
    /// means, so nothing is refused: what has no figure counts as not limited, and what is over is not used.
    pub fn warnings(&self) -> Vec<String> {
        let info = &self.family_info;
        let (aims, quotas) = (info.message_aim.len(), info.tenant_quota_connections.len());
        let lists = [
            ("messageAim", aims, "classes", self.classes.len()),
            ("tenantQuotaConnections", quotas, "customers", self.customers.len()),
        ];
        let odd = lists.into_iter().filter(|&(_, told, _, due)| told > 0 && told != due);
        odd.map(|(key, told, of, due)| {
            format!("settings.familyInfo.{key}: {told} figures for {due} {of}, taken by place")
        })
        .collect()
    }

    /// The names that the settings define.
    pub fn name_tables(&self) -> NameTables {
        let numbered = |names: &mut dyn Iterator<Item = &String>| {
            let mut interner = Interner::default();
            names.for_each(|name| _ = interner.intern(name));
            interner
        };
        NameTables {
            zones: numbered(&mut self.azs.iter().chain([&self.zone])),
            kinds: numbered(&mut self.shapes.iter()),
            servers: Interner::default(),
            classes: numbered(&mut self.classes.iter().map(|c| &c.name)),
            tenants: numbered(&mut self.customers.iter().map(|c| &c.name)),
        }
    }

    /// A connection that is not up by then could not be made.
    pub fn connect_timeout(&self) -> Span {
        span_from_seconds(self.limits.connect_timeout)
    }

    /// The relay's own number among those of its tier.
    pub fn gateway_index(&self) -> u32 {
        self.index
    }

    /// Whether relays may tell each other anything.
    pub fn allows_peer_messages(&self) -> bool {
        self.limits.peers
    }

    /// The tenants with their quotas, where they are stated.
    pub fn tenant_quotas(&self) -> Vec<TenantQuota> {
        let stated = |it: f64| (it >= 1.0).then_some(it as u64);
        let connections = &self.family_info.tenant_quota_connections;
        let each = self.customers.iter().enumerate().map(|(at, it)| TenantQuota {
            name: it.name.clone(),
            connections_per_second: it.quota_per_s,
            max_open_connections: connections.get(at).copied().and_then(stated),
        });
        each.filter(|it| it.connections_per_second > 0.0).collect()
    }

    /// The longest deadline of any class.
    pub fn longest_deadline(&self) -> Span {
        span_from_seconds(self.classes.iter().map(|c| c.deadline).fold(0.0, f64::max))
    }

    /// The module's settings, for a relay whose zone `names` holds.
    pub fn balancer_settings(&self, names: &NameTables) -> Settings {
        let zone = ZoneId(names.zones.find(&self.zone).unwrap_or_default());
        let info = &self.family_info;
        let secs = |list: &[f64], i: usize| list.get(i).copied().unwrap_or(0.0);
        let classes = self.classes.iter().enumerate().map(|(i, class)| RequestClass {
            latency_objective: span_from_seconds(class.aim),
            message_latency_objective: span_from_seconds(secs(&info.message_aim, i)),
            priority_weight: class.worth,
            idempotency: class.idempotency(),
        });
        let tenants = self.customers.iter().enumerate().map(|(i, customer)| Tenant {
            quota_per_s: customer.quota_per_s,
            quota_connections: secs(&info.tenant_quota_connections, i),
        });
        Settings {
            gateways: self.balancers.max(1),
            gateway_id: GatewayId(self.index),
            zone,
            discovery: match self.discovery.as_str() {
                "pushed" => DiscoveryMode::Pushed,
                _ => DiscoveryMode::OnRequest,
            },
            weights: match self.weights.as_str() {
                "nominal" | "rough" => WeightMode::Nominal,
                "live" => WeightMode::Live,
                _ => WeightMode::Off,
            },
            classes: classes.collect(),
            tenants: tenants.collect(),
            priority_scales_with_load: self.value_by == "work",
            batch_interval: span_from_seconds(self.tick),
            prices: Prices {
                cross_zone: self.prices.cross_zone,
                health_check: self.prices.probe,
                migration: self.prices.moves,
            },
            max_attempts: self.limits.max_attempts,
            max_retry_after: match self.limits.retry_after {
                true => span_from_seconds(self.limits.max_retry_after),
                false => Span::ZERO,
            },
            health_checks: self.limits.probes,
            fleet_permits: self.limits.peers,
            cancellation: self.limits.cancelling,
            answer_slack: span_from_seconds(self.rules.answer_slack),
            list_poll_limit: span_from_seconds(self.rules.ask_within),
            drain_grace: span_from_seconds(self.rules.stop_sending_within),
            initial_capacity_share: self.rules.cold_from,
            warm_up_time: span_from_seconds(self.rules.warm_within),
            overload_factor: self.rules.fall_multiple,
            overload_window: span_from_seconds(self.rules.overload_for),
        }
    }
}

impl ClassSettings {
    fn idempotency(&self) -> Idempotency {
        match self.effect {
            EffectSetting::Pure => Idempotency::Idempotent,
            EffectSetting::Token => Idempotency::WithKey {
                scope: match self.group.as_str() {
                    "all" => DeduplicationScope::All,
                    "zone" => DeduplicationScope::Zone,
                    _ => DeduplicationScope::Cell,
                },
                remembered_for: span_from_seconds(self.key_ttl),
            },
            EffectSetting::SideEffect => Idempotency::NotIdempotent,
        }
    }
}
