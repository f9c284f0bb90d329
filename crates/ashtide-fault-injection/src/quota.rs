//! What partners were given, held against their quotas.

use std::collections::HashMap;

use crate::history::{Answer, Event, History};
use crate::plan::{FaultPlan, QuotaPeriod};
use crate::violation::Violation;

/// Windows that are looked at, in microseconds.
const WINDOWS: [u64; 3] = [500_000, 2_000_000, 5_000_000];

/// A connection that was placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacedConnection {
    /// When its client asked, in microseconds since the beginning, and when it was up: admitted between them.
    pub requested_at_us: u64,
    /// See `asked_us`.
    pub established_at_us: u64,
    /// When it was over; the end of time where it was not.
    pub closed_at_us: u64,
    /// Its tenant and zone.
    pub tenant: usize,
    /// See `tenant`.
    pub zone: usize,
    /// Whether it came after a move or a break.
    pub is_reconnect: bool,
}

/// All connections that were placed, in the order in which they were asked for.
#[must_use]
pub fn placed_connections(history: &History) -> Vec<PlacedConnection> {
    let (mut all, mut places) = (Vec::new(), HashMap::new());
    let mut asked = HashMap::new();
    for entry in &history.0 {
        match &entry.event {
            Event::Request { request, zone, tenant, again, .. } => {
                asked.insert(request.as_str(), (entry.at_us, *zone, *tenant, *again));
            }
            Event::Answered { request, answer: Answer::Up { .. } } => {
                if let Some(&(asked_us, zone, tenant, again)) = asked.get(request.as_str()) {
                    places.insert(request.as_str(), all.len());
                    all.push(PlacedConnection {
                        requested_at_us: asked_us,
                        established_at_us: entry.at_us,
                        closed_at_us: u64::MAX,
                        tenant,
                        zone,
                        is_reconnect: again,
                    });
                }
            }
            Event::Closed { request, .. } => {
                if let Some(&at) = places.get(request.as_str()) {
                    let used: &mut PlacedConnection = &mut all[at];
                    used.closed_at_us = entry.at_us;
                }
            }
            _ => {}
        }
    }
    all.sort_by_key(|it| it.requested_at_us);
    all
}

/// The most that a tenant may be given in a window from then on.
fn placement_limit(quotas: &[QuotaPeriod], tenant: usize, from: u64, window: u64) -> f64 {
    let holds = |(at, it): (usize, &QuotaPeriod)| {
        let until = quotas.get(at + 1).map_or(u64::MAX, |next| next.from_ms * 1000);
        let all = it.per_s.get(tenant).copied()?;
        let may = all * (window + it.burst_ms * 1000) as f64 / 1e6;
        (it.from_ms * 1000 <= from + window && from < until).then_some(may)
    };
    quotas.iter().enumerate().filter_map(holds).fold(0.0, f64::max)
}

/// The window of this length, in microseconds, in which a tenant was given the most of what it may: when it began, how
/// many, and how many it may be. Only what was both asked for and up within it counts: it was admitted in it for
/// certain. What came back after a move or a break has a part of its own, and does not count.
fn worst_window(
    all: &[PlacedConnection],
    quotas: &[QuotaPeriod],
    tenant: usize,
    window: u64,
) -> Option<(u64, usize, f64)> {
    let own: Vec<&PlacedConnection> =
        all.iter().filter(|it| it.tenant == tenant && !it.is_reconnect).collect();
    let windows = own.iter().enumerate().map(|(first, start)| {
        let end = start.requested_at_us + window;
        let within = own[first..]
            .iter()
            .take_while(|it| it.requested_at_us < end)
            .filter(|it| it.established_at_us <= end);
        (
            start.requested_at_us,
            within.count(),
            placement_limit(quotas, tenant, start.requested_at_us, window),
        )
    });
    windows.max_by(|one, other| (one.1 as f64 / one.2).total_cmp(&(other.1 as f64 / other.2)))
}

/// By how much each tenant was given more than its quota and one burst in its worst window of so many milliseconds, as a
/// part of that; below nought where it was never given all.
#[must_use]
pub fn quota_overshoot(history: &History, window_ms: u64) -> Vec<f64> {
    let plan = history.plan().cloned().unwrap_or_default();
    let all = placed_connections(history);
    let over = |tenant| worst_window(&all, &plan.quotas, tenant, window_ms * 1000);
    (0..plan.tenants.len()).map(|tenant| over(tenant).map_or(-1.0, |it| it.1 as f64 / it.2 - 1.0)).collect()
}

pub(crate) fn check_quotas(history: &History, plan: &FaultPlan, found: &mut Vec<Violation>) {
    if plan.quotas.is_empty() {
        return;
    }
    let all = placed_connections(history);
    for (tenant, name) in plan.tenants.iter().map(|it| &it.name).enumerate() {
        for window in WINDOWS {
            if let Some((at_us, count, most)) = worst_window(&all, &plan.quotas, tenant, window)
                && count as f64 > most
            {
                let window_ms = window / 1000;
                found.push(Violation::RateQuotaExceeded {
                    tenant: name.clone(),
                    at_us,
                    window_ms,
                    found: count,
                    most,
                });
            }
        }
        check_open_connections(&all, plan, tenant, found);
    }
}

/// The most that stood of a tenant at one moment, as its clients have it.
fn check_open_connections(
    all: &[PlacedConnection],
    plan: &FaultPlan,
    tenant: usize,
    found: &mut Vec<Violation>,
) {
    let mut changes: Vec<(u64, i64)> = Vec::new();
    for it in all.iter().filter(|it| it.tenant == tenant) {
        changes.extend([(it.established_at_us, 1), (it.closed_at_us, -1)]);
    }
    changes.sort_unstable();
    let mut stand = 0;
    for (at_us, change) in changes {
        stand += change;
        let quota = plan.quotas.iter().rev().find(|it| it.from_ms * 1000 <= at_us);
        let Some(&most) = quota.and_then(|it| it.open.get(tenant)) else { continue };
        if change > 0 && stand as f64 > most {
            let tenant = plan.tenants[tenant].name.clone();
            found.push(Violation::ConnectionQuotaExceeded { tenant, at_us, found: stand as usize, most });
            return;
        }
    }
}
