//! Texts of the log and the admin endpoint about quotas.

use std::fmt::Write;

use ashtide_fleet::state::{AllocationAgreement, Budget, Exchange, Mismatch, Slot};
use ashtide_quota::PartnerBudgets;

use super::Admission;
use super::admission::DecisionCounts;
use crate::metrics::METRIC_PREFIX;
use crate::settings::TenantQuota;

/// Maximum number of uncommitted gateways that the status text lists.
const MAX_DISPLAYED_SLOTS: usize = 16;

/// Units of one budget at this gateway.
#[derive(Debug, Clone, Copy, Default)]
struct BudgetUnits {
    usable: u64,
    lent: u64,
    leased: u64,
    in_use: u64,
}

impl BudgetUnits {
    fn of(exchange: &mut Exchange, id: u32) -> Self {
        let units = |budget: &mut Budget| Self {
            usable: budget.escrow().usable_units(),
            lent: budget.escrow().lent_units(),
            leased: budget.escrow().leased_units(),
            in_use: budget.in_use(),
        };
        exchange.budget_mut(id).map(units).unwrap_or_default()
    }
}

/// Converts units of a rate, which are thousandths of a connection per second, to connections per second.
fn per_second(units: u64) -> f64 {
    units as f64 / 1_000.0
}

impl Admission {
    /// Returns the usable units and the use of each partner at this gateway, for the admin endpoint.
    pub fn status_text(&self, exchange: &mut Exchange) -> String {
        let mut text = String::new();
        if !self.is_shared {
            text.push_str("alone\n");
        } else if let Some(agreement) = exchange.agreement() {
            write_agreement(&mut text, agreement);
        }
        for (index, (quota, budgets)) in self.partners().enumerate() {
            self.write_partner(&mut text, exchange, index, quota, budgets);
        }
        text
    }

    fn write_partner(
        &self,
        text: &mut String,
        exchange: &mut Exchange,
        index: usize,
        quota: &TenantQuota,
        budgets: &PartnerBudgets,
    ) {
        let rate = BudgetUnits::of(exchange, budgets.rate_budget);
        let _ = write!(
            text,
            "partner {} quota_per_s={} rights_per_s={} wants_per_s={} lent_per_s={} leased_per_s={}",
            quota.name,
            quota.connections_per_second,
            per_second(rate.usable),
            per_second(self.quota.wanted_rate(index)),
            per_second(rate.lent),
            per_second(rate.leased)
        );
        if let (Some(limit), Some(id)) = (quota.max_open_connections, budgets.connections_budget) {
            let BudgetUnits { usable, in_use, .. } = BudgetUnits::of(exchange, id);
            let _ = write!(text, " quota_open={limit} rights_open={usable} open={in_use}");
        }
        let DecisionCounts { within, migrated, borrowed, rejected } =
            self.decision_counts(budgets.rate_budget);
        let _ = writeln!(text, " within={within} moved={migrated} borrowed={borrowed} refused={rejected}");
    }

    /// Returns the metrics, one per line.
    pub fn metrics_text(&self, exchange: &mut Exchange) -> String {
        let mut text = String::new();
        let is_agreed = exchange.agreement().is_some_and(AllocationAgreement::is_agreed);
        let generation = exchange.agreement().map_or(0, |agreement| agreement.allocation().generation);
        let _ = writeln!(text, "{METRIC_PREFIX}_quota_generation {generation}");
        let _ = writeln!(text, "{METRIC_PREFIX}_quota_agreed {}", u64::from(is_agreed));
        for (quota, budgets) in self.partners() {
            let counts = self.decision_counts(budgets.rate_budget);
            let units = BudgetUnits::of(exchange, budgets.rate_budget);
            for (name, value) in [
                ("within_total", counts.within),
                ("moved_total", counts.migrated),
                ("borrowed_total", counts.borrowed),
                ("refused_total", counts.rejected),
                ("rights_thousandths_per_s", units.usable),
                ("open", self.open_connections(budgets.rate_budget)),
            ] {
                let _ = writeln!(text, "{METRIC_PREFIX}_quota_{name}{{partner=\"{}\"}} {value}", quota.name);
            }
        }
        text
    }
}

fn write_agreement(text: &mut String, agreement: &AllocationAgreement) {
    let uncommitted = agreement.uncommitted();
    let slots: Vec<String> =
        uncommitted.iter().take(MAX_DISPLAYED_SLOTS).map(|slot| slot.0.to_string()).collect();
    let agreed = if agreement.is_agreed() { "yes" } else { "no" };
    let generation = agreement.allocation().generation;
    let _ = writeln!(text, "generation {generation} agreed={agreed} missing={}", slots.join(","));
    for (slot, mismatch) in agreement.mismatches() {
        let _ = writeln!(text, "gateway {} {}", slot.0, mismatch_text(*mismatch));
    }
}

/// Returns the log line about another gateway whose settings differ from those of this gateway, at
/// `generation`.
pub(super) fn mismatch_log_line(generation: u32, slot: Slot, mismatch: Mismatch) -> String {
    let gateway = slot.0;
    match mismatch {
        Mismatch::LaterGeneration(later) => format!(
            "quota: gateway {gateway} is at generation {later}, this one at {generation}; \
             copy its file to this one"
        ),
        Mismatch::EarlierGeneration(earlier) => format!(
            "quota: gateway {gateway} is at generation {earlier}, this one at {generation}; \
             copy the file of this one to it"
        ),
        Mismatch::DifferentContent => format!(
            "quota: gateway {gateway} has a different file of generation {generation}; \
             copy one file to all gateways"
        ),
    }
}

/// Describes how another gateway's settings differ from those of this gateway, for the admin endpoint.
fn mismatch_text(mismatch: Mismatch) -> String {
    match mismatch {
        Mismatch::LaterGeneration(generation) => format!("is_at={generation} behind=here"),
        Mismatch::EarlierGeneration(generation) => format!("is_at={generation} behind=there"),
        Mismatch::DifferentContent => "has another text under this generation".to_owned(),
    }
}
