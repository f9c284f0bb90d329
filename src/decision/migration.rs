//! Migration: which established connections are moved off a saturated server, and how many.

use std::cmp::Ordering;

use rand::Rng;

use super::Balancer;
use super::interface::{Action, RequestId, ServerId};
use super::request::PendingRequest;

/// Share of this gateway's connections to a server that is migrated with each report that the server is
/// saturated.
pub(super) const MIGRATION_SHARE: f64 = 0.1;
/// Assumed load of a connection if the load of no connection is known, in seconds of standard-core work per
/// second.
const DEFAULT_LOAD: f64 = 1.0;

/// Established connection that may be migrated.
struct MigrationCandidate {
    id: RequestId,
    /// Priority weight per unit of load.
    value: f64,
    /// Load in seconds of standard-core work per second.
    load: f64,
}

impl MigrationCandidate {
    /// Compares two candidates by the order of migration: lower value first, and of equal values the higher
    /// load first.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_value = self.value.total_cmp(&other.value);
        by_value.then(other.load.total_cmp(&self.load)).then(self.id.cmp(&other.id))
    }
}

impl Balancer {
    /// Returns this gateway's established connections to a server.
    pub(super) fn established_on(
        &self,
        server: ServerId,
    ) -> impl Iterator<Item = (RequestId, &PendingRequest)> {
        let established = self.requests.iter().filter(move |(_, request)| request.is_established_on(server));
        established.map(|(&id, request)| (id, request))
    }

    /// Migrates a small share of the connections off a saturated server, so that the remaining ones are
    /// served. This happens even if there is no other server. A fractional number of connections is rounded
    /// at random.
    pub(super) fn migrate_share(&mut self, server: ServerId) {
        let migrations = MIGRATION_SHARE * f64::from(self.server(server).open_connections());
        let mut candidates = self.migration_candidates(server);
        let count = (migrations + self.rng.random::<f64>()) as usize;
        candidates.sort_unstable_by(MigrationCandidate::cmp);
        let migrated = candidates.iter().take(count);
        self.actions.extend(migrated.map(|candidate| Action::Migrate { id: candidate.id }));
    }

    fn migration_candidates(&self, server: ServerId) -> Vec<MigrationCandidate> {
        let mean_load = self.mean_load();
        let mut candidates = Vec::new();
        for (id, request) in self.established_on(server) {
            let load = request.load().unwrap_or(mean_load);
            let weight = self.class(request.class).priority_weight;
            let value = if self.settings.priority_scales_with_load { weight } else { weight / load };
            candidates.push(MigrationCandidate { id, value, load });
        }
        candidates
    }

    /// Returns the mean load of the connections with a known load, or [`DEFAULT_LOAD`] if no load is known.
    fn mean_load(&self) -> f64 {
        let loads = || self.requests.values().filter_map(PendingRequest::load);
        let mean = loads().sum::<f64>() / loads().count() as f64;
        if mean.is_finite() { mean } else { DEFAULT_LOAD }
    }
}
