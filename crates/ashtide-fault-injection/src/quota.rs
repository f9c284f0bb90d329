//! Checks of the connections of partners against their quotas.

use std::collections::HashMap;

use crate::history::{Answer, Event, History};
use crate::plan::{FaultPlan, QuotaPeriod};
use crate::violation::Violation;

/// The lengths of the windows that are checked, in microseconds.
const WINDOWS_US: [u64; 3] = [500_000, 2_000_000, 5_000_000];

/// A connection that a gateway placed on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacedConnection {
    /// The time of the request, in microseconds since the start. The gateway admitted the connection between
    /// this time and `established_at_us`.
    pub requested_at_us: u64,
    /// The time at which the client received `UP`, in microseconds since the start.
    pub established_at_us: u64,
    /// The time at which the connection ended, in microseconds since the start; `u64::MAX` if it did not end.
    pub closed_at_us: u64,
    /// The number of the tenant.
    pub tenant: usize,
    /// The number of the zone of the client.
    pub zone: usize,
    /// Whether the client reconnected after a `MOVE` or a broken connection.
    pub is_reconnect: bool,
}

/// Returns all connections that were placed, in the order of their requests.
#[must_use]
pub fn placed_connections(history: &History) -> Vec<PlacedConnection> {
    let (mut connections, mut indices) = (Vec::new(), HashMap::new());
    let mut requests = HashMap::new();
    for entry in &history.0 {
        match &entry.event {
            Event::Request { request, zone, tenant, is_reconnect, .. } => {
                requests.insert(request.as_str(), (entry.at_us, *zone, *tenant, *is_reconnect));
            }
            Event::Answered { request, answer: Answer::Up { .. } } => {
                if let Some(&(requested_at_us, zone, tenant, is_reconnect)) = requests.get(request.as_str()) {
                    indices.insert(request.as_str(), connections.len());
                    connections.push(PlacedConnection {
                        requested_at_us,
                        established_at_us: entry.at_us,
                        closed_at_us: u64::MAX,
                        tenant,
                        zone,
                        is_reconnect,
                    });
                }
            }
            Event::Closed { request, .. } => {
                if let Some(&index) = indices.get(request.as_str()) {
                    let connection: &mut PlacedConnection = &mut connections[index];
                    connection.closed_at_us = entry.at_us;
                }
            }
            _ => {}
        }
    }
    connections.sort_by_key(|connection| connection.requested_at_us);
    connections
}

/// Returns the largest number of new connections of a tenant that the quotas allow in a window. `from_us` and
/// `window_us` are in microseconds.
fn placement_limit(quotas: &[QuotaPeriod], tenant: usize, from_us: u64, window_us: u64) -> f64 {
    let period_limit = |(index, period): (usize, &QuotaPeriod)| {
        let until_us = quotas.get(index + 1).map_or(u64::MAX, |next| next.from_ms * 1000);
        let per_s = period.per_s.get(tenant).copied()?;
        let limit = per_s * (window_us + period.burst_ms * 1000) as f64 / 1e6;
        (period.from_ms * 1000 <= from_us + window_us && from_us < until_us).then_some(limit)
    };
    quotas.iter().enumerate().filter_map(period_limit).fold(0.0, f64::max)
}

/// Returns the window of this length in which a tenant used the largest part of its quota: its start in
/// microseconds, the number of connections and the limit. Only connections that were both requested and
/// established in the window count, because they were certainly admitted in it. Reconnects after a `MOVE` or
/// a broken connection have an allowance of their own and do not count.
fn worst_window(
    connections: &[PlacedConnection],
    quotas: &[QuotaPeriod],
    tenant: usize,
    window_us: u64,
) -> Option<(u64, usize, f64)> {
    let own: Vec<&PlacedConnection> = connections
        .iter()
        .filter(|connection| connection.tenant == tenant && !connection.is_reconnect)
        .collect();
    let windows = own.iter().enumerate().map(|(first, start)| {
        let start_us = start.requested_at_us;
        let end_us = start_us + window_us;
        let placed = own[first..]
            .iter()
            .take_while(|connection| connection.requested_at_us < end_us)
            .filter(|connection| connection.established_at_us <= end_us);
        (start_us, placed.count(), placement_limit(quotas, tenant, start_us, window_us))
    });
    windows.max_by(|(_, count, limit), (_, other_count, other_limit)| {
        (*count as f64 / limit).total_cmp(&(*other_count as f64 / other_limit))
    })
}

/// Returns the overshoot of each tenant in its worst window of `window_ms` milliseconds: the number of
/// connections above its quota and one burst, as a part of quota and burst. The value is negative if the
/// tenant never reached its limit.
#[must_use]
pub fn quota_overshoot(history: &History, window_ms: u64) -> Vec<f64> {
    let plan = history.plan().cloned().unwrap_or_default();
    let connections = placed_connections(history);
    let overshoot = |tenant| {
        worst_window(&connections, &plan.quotas, tenant, window_ms * 1000)
            .map_or(-1.0, |(_, count, limit)| count as f64 / limit - 1.0)
    };
    (0..plan.tenants.len()).map(overshoot).collect()
}

pub(crate) fn check_quotas(history: &History, plan: &FaultPlan, found: &mut Vec<Violation>) {
    if plan.quotas.is_empty() {
        return;
    }
    let connections = placed_connections(history);
    for (tenant, name) in plan.tenants.iter().map(|tenant| &tenant.name).enumerate() {
        for window_us in WINDOWS_US {
            if let Some((at_us, count, limit)) = worst_window(&connections, &plan.quotas, tenant, window_us)
                && count as f64 > limit
            {
                let window_ms = window_us / 1000;
                found.push(Violation::RateQuotaExceeded {
                    tenant: name.clone(),
                    at_us,
                    window_ms,
                    found: count,
                    limit,
                });
            }
        }
        check_open_connections(&connections, plan, tenant, found);
    }
}

/// Checks the number of open connections of a tenant, counted by its clients, against its quota at all times.
fn check_open_connections(
    connections: &[PlacedConnection],
    plan: &FaultPlan,
    tenant: usize,
    found: &mut Vec<Violation>,
) {
    let mut changes: Vec<(u64, i64)> = Vec::new();
    for connection in connections.iter().filter(|connection| connection.tenant == tenant) {
        changes.extend([(connection.established_at_us, 1), (connection.closed_at_us, -1)]);
    }
    changes.sort_unstable();
    let mut open = 0;
    for (at_us, change) in changes {
        open += change;
        let quota = plan.quotas.iter().rev().find(|period| period.from_ms * 1000 <= at_us);
        let Some(&limit) = quota.and_then(|period| period.connections.get(tenant)) else { continue };
        if change > 0 && open as f64 > limit {
            let tenant = plan.tenants[tenant].name.clone();
            found.push(Violation::ConnectionQuotaExceeded { tenant, at_us, found: open as usize, limit });
            return;
        }
    }
}
