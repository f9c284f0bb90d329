//! Texts of the admin endpoint about the shared state.

use std::fmt::Write;

use ashtide_fleet::DecodeError;
use ashtide_fleet::state::{CounterKey, EvidenceKind, FleetTotal, OutlierLimits};

use super::GatewayState;
use crate::metrics::METRIC_PREFIX;

/// Maximum number of servers and tenants whose counts the admin endpoint shows.
pub const MAX_DISPLAYED_COUNTERS: usize = 128;

impl GatewayState {
    /// Requests the totals for [`status_text`](Self::status_text) that other gateways compute.
    pub fn request_totals(&mut self) {
        for key in self.displayed_counters() {
            let _ = self.exchange.fleet_total(key);
        }
    }

    fn displayed_counters(&self) -> Vec<CounterKey> {
        self.names.keys().copied().take(MAX_DISPLAYED_COUNTERS).collect()
    }

    /// Returns the status of the shared state for the admin endpoint.
    pub fn status_text(&mut self) -> String {
        let mut text = format!(
            "self slot={} slots={} generation={} started={} peers={}\n",
            self.slots.own().0,
            self.slots.len(),
            self.incarnation,
            if self.exchange.is_started() { "yes" } else { "no" },
            self.exchange.peers().len()
        );
        // All totals are read first, as reading one may send a request to another gateway and thus needs
        // `&mut self`.
        let keys = self.displayed_counters();
        let totals: Vec<_> = keys.into_iter().map(|key| (key, self.exchange.fleet_total(key))).collect();
        for (key, total) in totals {
            self.write_counter(&mut text, key, total);
        }
        for (id, budget) in self.exchange.budgets() {
            let escrow = budget.escrow();
            let _ = writeln!(
                text,
                "budget {id:#010x} rights={} lent={} held={} taken={}",
                escrow.usable_units(),
                escrow.lent_units(),
                escrow.leased_units(),
                budget.in_use()
            );
        }
        text
    }

    fn write_counter(&self, text: &mut String, key: CounterKey, total: Option<FleetTotal>) {
        let own = self.exchange.counts().own_row().cells.get(&key).map_or(0, |count| count.value);
        let name = self.names.get(&key).map_or("", String::as_str);
        let (subject, server) = match key {
            CounterKey::OpenOnServer(server) => ("server", Some(server)),
            CounterKey::OpenForPartner(_) | CounterKey::SentToServer(_) => ("tenant", None),
        };
        let _ = write!(text, "{subject} {name} own={own}");
        let _ = match total {
            Some(FleetTotal { sum, gateway_count, max_age }) => {
                write!(text, " open={sum} gateways={gateway_count} age_ms={}", max_age.as_millis())
            }
            None => write!(text, " open=unheard"),
        };
        if let Some((server, &kind)) = server.and_then(|server| Some((server, self.outliers.get(&server)?))) {
            let weight = self.exchange.outlier_reports().evidence_weight(server, kind);
            let _ = write!(text, " judged={} against={weight}", kind_name(kind));
        }
        text.push('\n');
    }

    /// Returns the metrics, one per line.
    pub fn metrics_text(&self) -> String {
        let mut text = String::new();
        let traffic = self.exchange.traffic();
        for (&reason, count) in &traffic.rejected {
            let _ = writeln!(
                text,
                "{METRIC_PREFIX}_state_unheard_datagrams_total{{reason=\"{}\"}} {count}",
                reason_name(reason)
            );
        }
        let metrics = &self.metrics;
        let ejectable = metrics.ready_capacity * OutlierLimits::default().max_ejected_permille / 1_000;
        for (name, value) in [
            ("peers", self.exchange.peers().len() as u64),
            ("started", u64::from(self.is_started)),
            ("judged_servers", self.outliers.len() as u64),
            ("ready_capacity", metrics.ready_capacity),
            ("judged_capacity", metrics.ejected_capacity),
            ("most_judged_capacity", ejectable),
            ("sent_datagrams_total", traffic.sent.datagrams),
            ("sent_bytes_total", traffic.sent.bytes),
            ("heard_datagrams_total", metrics.received_datagrams),
            ("dropped_items_total", traffic.dropped_messages),
            ("outdone_total", metrics.superseded),
            ("checks_total", metrics.checks),
            ("check_us_total", metrics.check_time.as_micros() as u64),
            ("violations_total", metrics.violations),
        ] {
            let _ = writeln!(text, "{METRIC_PREFIX}_state_{name} {value}");
        }
        text
    }
}

/// Returns the name of a kind of evidence in the log and at the admin endpoint.
pub(super) fn kind_name(kind: EvidenceKind) -> &'static str {
    match kind {
        EvidenceKind::Failing => "failing",
        EvidenceKind::Silent => "silent",
        EvidenceKind::Overrun => "overrun",
        EvidenceKind::Slow => "slow",
    }
}

/// Returns the label of a rejected datagram in metrics.
fn reason_name(reason: DecodeError) -> &'static str {
    match reason {
        DecodeError::Length => "length",
        DecodeError::Version => "version",
        DecodeError::OtherFleet => "tier",
        DecodeError::Malformed => "malformed",
        DecodeError::Own => "own",
        DecodeError::Full => "full",
        DecodeError::Foreign => "foreign",
    }
}
