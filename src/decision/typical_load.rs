//! How many of this gateway's connections a server holds typically, and how many fill it.

use super::Balancer;
use super::interface::{Settings, Time};
use super::outlier::RESPONSE_TIME_INTERVAL;

/// How often the ready servers are looked up between list updates, as a share of the warm-up time.
const READY_REFRESH_SHARE: f64 = 0.25;
/// How often connections are counted, as a share of [`RESPONSE_TIME_INTERVAL`].
const TYPICAL_LOAD_REFRESH_SHARE: f64 = 0.1;
/// Share of the tenants' quotas that is taken to be in use at least.
const MIN_QUOTA_USE: f64 = 0.5;

/// This gateway's connections, counted at one time.
struct ConnectionCounts {
    total: f64,
    ready_servers: usize,
    /// Those of ready servers that are not warming up.
    settled: f64,
    settled_servers: usize,
}

impl ConnectionCounts {
    fn mean(connections: f64, servers: usize) -> f64 {
        connections / servers.max(1) as f64
    }

    /// Connections of a server: the mean of those that are not warming up, or of all where that is more.
    fn typical(&self) -> f64 {
        let settled = Self::mean(self.settled, self.settled_servers);
        Self::mean(self.total, self.ready_servers).max(settled)
    }
}

/// The typical load of a server, in connections of this gateway.
#[derive(Default)]
pub(super) struct TypicalLoad {
    connections: f64,
    connections_when_full: f64,
    peak_ready_servers: usize,
    updated_at: Option<Time>,
}

impl TypicalLoad {
    /// Connections that a server holds typically.
    pub(super) fn connections(&self) -> f64 {
        self.connections
    }

    /// Connections that fill a server.
    pub(super) fn connections_when_full(&self) -> f64 {
        self.connections_when_full
    }

    fn is_fresh(&self, now: Time) -> bool {
        let interval = RESPONSE_TIME_INTERVAL.scale(TYPICAL_LOAD_REFRESH_SHARE);
        self.updated_at.is_some_and(|updated_at| now.since(updated_at) < interval)
    }

    /// Follows a higher count at once. A lower one is followed over a warm-up time only, as in a deploy or after a
    /// crash the connections are about to come back.
    fn update(&mut self, now: Time, counts: &ConnectionCounts, settings: &Settings) {
        self.peak_ready_servers = self.peak_ready_servers.max(counts.ready_servers);
        let full = Self::connections_within_quotas(settings, self.peak_ready_servers);
        let elapsed = now.since(self.updated_at.unwrap_or(now)).as_secs();
        let remaining = self.connections * (1.0 - elapsed / settings.warm_up_time.as_secs());
        self.connections = counts.typical().max(remaining).max(MIN_QUOTA_USE * full);
        self.connections_when_full = if full > 0.0 { full } else { self.connections };
        self.updated_at = Some(now);
    }

    /// A server's part of the connections that the tenants' quotas allow this gateway; zero where none are stated.
    fn connections_within_quotas(settings: &Settings, servers: usize) -> f64 {
        let quotas: f64 = settings.tenants.iter().map(|tenant| tenant.quota_connections).sum();
        ConnectionCounts::mean(quotas / f64::from(settings.gateways), servers)
    }
}

impl Balancer {
    /// Returns about how many connections of all gateways fill a server.
    pub fn fleet_connections_when_full(&mut self, now: Time) -> f64 {
        self.update_typical_load(now);
        self.last_fleet_connections_when_full()
    }

    /// The same as of the last update.
    pub(super) fn last_fleet_connections_when_full(&self) -> f64 {
        self.typical_load.connections_when_full() * f64::from(self.settings.gateways)
    }

    pub(super) fn update_typical_load(&mut self, now: Time) {
        let refresh_interval = self.settings.warm_up_time.scale(READY_REFRESH_SHARE);
        if now.since(self.endpoints.refreshed_at()) > refresh_interval {
            self.refresh_ready(now);
        }
        if self.typical_load.is_fresh(now) {
            return;
        }
        let counts = self.count_connections();
        self.typical_load.update(now, &counts, &self.settings);
    }

    fn count_connections(&self) -> ConnectionCounts {
        let warming = self.endpoints.warming();
        let settled = || self.endpoints.ready().iter().filter(|id| !warming.contains(id));
        ConnectionCounts {
            total: self.endpoints.servers().map(|server| f64::from(server.total_connections())).sum(),
            ready_servers: self.endpoints.ready().len(),
            settled: settled().map(|&id| f64::from(self.server(id).total_connections())).sum(),
            settled_servers: settled().count(),
        }
    }
}
