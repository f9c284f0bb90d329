//! Serialized form of the settings object. Unknown keys are ignored.

use serde::{Deserialize, Deserializer};
use serde_inline_default::serde_inline_default;
use serde_json::Value;
use smart_default::SmartDefault;

use super::span_from_seconds;
use crate::decision::interface::{DeduplicationScope, Idempotency};

/// Alias that retains the name `FactsClass` for [`ClassSettings`] in serde's error messages.
type FactsClass = ClassSettings;

/// Entry of the list of classes. Times are in seconds.
#[serde_inline_default]
#[derive(Deserialize)]
#[serde(remote = "FactsClass", rename_all = "camelCase")]
pub(super) struct ClassSettings {
    pub(super) name: String,
    #[serde(default, rename = "aim")]
    pub(super) latency_objective: f64,
    #[serde(default)]
    pub(super) deadline: f64,
    #[serde_inline_default(1.0)]
    #[serde(rename = "worth")]
    pub(super) priority_weight: f64,
    #[serde(default)]
    effect: EffectSetting,
    #[serde(default)]
    group: String,
    #[serde(default)]
    key_ttl: f64,
}

impl<'de> Deserialize<'de> for ClassSettings {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Calls the inherent function that `serde(remote)` derives.
        Self::deserialize(deserializer)
    }
}

/// Side effects of a class's requests, which determine whether a request may be repeated.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum FactsEffect")]
enum EffectSetting {
    #[default]
    Pure,
    Token,
    SideEffect,
}

impl ClassSettings {
    pub(super) fn idempotency(&self) -> Idempotency {
        match self.effect {
            EffectSetting::Pure => Idempotency::Idempotent,
            EffectSetting::Token => Idempotency::WithKey {
                scope: self.deduplication_scope(),
                remembered_for: span_from_seconds(self.key_ttl),
            },
            EffectSetting::SideEffect => Idempotency::NotIdempotent,
        }
    }

    fn deduplication_scope(&self) -> DeduplicationScope {
        match self.group.as_str() {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            _ => DeduplicationScope::Cell,
        }
    }
}

/// Alias that retains the name `Customer` for [`CustomerSettings`] in serde's error messages.
type Customer = CustomerSettings;

/// Entry of the list of customers, which are the tenants.
#[derive(Deserialize)]
#[serde(remote = "Customer", rename_all = "camelCase")]
pub(super) struct CustomerSettings {
    pub(super) name: String,
    #[serde(default)]
    pub(super) quota_per_s: f64,
}

impl<'de> Deserialize<'de> for CustomerSettings {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Calls the inherent function that `serde(remote)` derives.
        Self::deserialize(deserializer)
    }
}

/// Lists of values for classes and customers. Each entry applies to the class or the customer at the same
/// index.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct FamilyInfo {
    #[serde(rename = "messageAim")]
    pub(super) message_latency_objectives: Vec<f64>,
    #[serde(rename = "tenantQuotaConnections")]
    pub(super) connection_quotas: Vec<f64>,
}

/// Limits of the gateway's behaviour, and functions that it may use. Times are in seconds.
#[derive(Deserialize, SmartDefault)]
#[serde(rename_all = "camelCase", default, expecting = "struct Limits")]
pub(super) struct LimitSettings {
    #[default = 1]
    pub(super) max_attempts: u32,
    pub(super) max_retry_after: f64,
    pub(super) retry_after: bool,
    #[serde(rename = "probes")]
    pub(super) health_checks: bool,
    pub(super) peers: bool,
    #[serde(rename = "cancelling")]
    pub(super) cancellation: bool,
    #[default = 0.2]
    pub(super) connect_timeout: f64,
}

/// Prices of operations, which the decision module takes into account.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default, expecting = "struct FactsPrices")]
pub(super) struct PriceSettings {
    #[serde(rename = "crossZone")]
    pub(super) cross_zone: f64,
    #[serde(rename = "probe")]
    pub(super) health_check: f64,
    #[serde(rename = "moves")]
    pub(super) migration: f64,
}

/// Rules that the decisions of the gateway have to observe. Times are in seconds.
#[derive(Deserialize, SmartDefault)]
#[serde(rename_all = "camelCase", default, expecting = "struct Rules")]
pub(super) struct RuleSettings {
    pub(super) answer_slack: f64,
    #[default = 10.0]
    #[serde(rename = "askWithin")]
    pub(super) list_poll_limit: f64,
    #[default = 2.0]
    #[serde(rename = "stopSendingWithin")]
    pub(super) drain_grace: f64,
    #[default = 1.0]
    #[serde(rename = "coldFrom")]
    pub(super) initial_capacity_share: f64,
    #[serde(rename = "warmWithin")]
    pub(super) warm_up_time: f64,
    #[default = 1.0]
    #[serde(rename = "fallMultiple")]
    pub(super) overload_factor: f64,
    #[default = 1.0]
    #[serde(rename = "overloadFor")]
    pub(super) overload_window: f64,
}

/// Removes every key whose value is `null`, which is equivalent to a missing key. In a list, `null` is
/// replaced by zero.
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
