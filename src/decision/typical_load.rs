//! Typical load: the number of this gateway's connections that a server typically has, and the number that
//! fills it.

use super::Balancer;
use super::interface::{Settings, Time};
use super::outlier::RESPONSE_TIME_INTERVAL;

/// Interval at which the ready servers are looked up between list updates, as a share of the warm-up time.
const READY_REFRESH_SHARE: f64 = 0.25;
/// Interval at which connections are counted, as a share of [`RESPONSE_TIME_INTERVAL`].
const TYPICAL_LOAD_REFRESH_SHARE: f64 = 0.1;
/// Minimum share of the tenants' quotas that is assumed to be in use.
const MIN_QUOTA_USE: f64 = 0.5;

/// Counts of this gateway's connections at one point in time.
struct ConnectionCounts {
    /// Number of connections to all servers, in any state.
    total_connections: f64,
    ready_servers: usize,
    /// Number of connections to ready servers that are not warming up.
    warmed_up_connections: f64,
    /// Number of ready servers that are not warming up.
    warmed_up_servers: usize,
}

impl ConnectionCounts {
    fn mean(connections: f64, servers: usize) -> f64 {
        connections / servers.max(1) as f64
    }

    /// Returns the typical number of connections of a server: the mean over the servers that are not warming
    /// up, or the mean over all ready servers if that is larger.
    fn typical(&self) -> f64 {
        let warmed_up_mean = Self::mean(self.warmed_up_connections, self.warmed_up_servers);
        Self::mean(self.total_connections, self.ready_servers).max(warmed_up_mean)
    }
}

/// Typical load of a server, in connections of this gateway.
#[derive(Default)]
pub(super) struct TypicalLoad {
    /// Number of connections that a server typically has.
    connections: f64,
    /// Number of connections that fill a server.
    connections_when_full: f64,
    /// Largest number of ready servers so far.
    peak_ready_servers: usize,
    /// Time of the last update; `None` before the first one.
    updated_at: Option<Time>,
}

impl TypicalLoad {
    /// Returns the number of connections that a server typically has.
    pub(super) fn connections(&self) -> f64 {
        self.connections
    }

    /// Returns the number of connections that fill a server.
    pub(super) fn connections_when_full(&self) -> f64 {
        self.connections_when_full
    }

    fn is_fresh(&self, now: Time) -> bool {
        let interval = RESPONSE_TIME_INTERVAL.scale(TYPICAL_LOAD_REFRESH_SHARE);
        self.updated_at.is_some_and(|updated_at| now.since(updated_at) < interval)
    }

    /// Updates the typical load from new counts. A higher count applies at once. A lower count applies
    /// gradually over one warm-up time, because the connections lost in a deployment or a crash are likely to
    /// return.
    fn update(&mut self, now: Time, counts: &ConnectionCounts, settings: &Settings) {
        self.peak_ready_servers = self.peak_ready_servers.max(counts.ready_servers);
        let quota_connections = Self::connections_within_quotas(settings, self.peak_ready_servers);
        let elapsed = now.since(self.updated_at.unwrap_or(now)).as_secs();
        let decayed = self.connections * (1.0 - elapsed / settings.warm_up_time.as_secs());
        self.connections = counts.typical().max(decayed).max(MIN_QUOTA_USE * quota_connections);
        self.connections_when_full =
            if quota_connections > 0.0 { quota_connections } else { self.connections };
        self.updated_at = Some(now);
    }

    /// Returns one server's part of the connections that the tenants' quotas allow this gateway; zero if no
    /// quotas are configured.
    fn connections_within_quotas(settings: &Settings, servers: usize) -> f64 {
        let quotas: f64 = settings.tenants.iter().map(|tenant| tenant.quota_connections).sum();
        ConnectionCounts::mean(quotas / f64::from(settings.gateways), servers)
    }
}

impl Balancer {
    /// Returns an estimate of the number of connections, over all gateways, that fill a server.
    pub fn fleet_connections_when_full(&mut self, now: Time) -> f64 {
        self.update_typical_load(now);
        self.last_fleet_connections_when_full()
    }

    /// Returns the last estimate of the number of connections, over all gateways, that fill a server.
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
        let warmed_up_servers = || self.endpoints.ready().iter().filter(|id| !warming.contains(id));
        ConnectionCounts {
            total_connections: self
                .endpoints
                .servers()
                .map(|server| f64::from(server.total_connections()))
                .sum(),
            ready_servers: self.endpoints.ready().len(),
            warmed_up_connections: warmed_up_servers()
                .map(|&id| f64::from(self.server(id).total_connections()))
                .sum(),
            warmed_up_servers: warmed_up_servers().count(),
        }
    }
}
