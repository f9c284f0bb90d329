//! Which established connections are moved off a server, and how many.

use std::cmp::Ordering;

use rand::Rng;

use super::Balancer;
use super::interface::{Action, RequestId, ServerId};
use super::request::PendingRequest;

/// Share of this gateway's connections to a saturated server that each report of it moves.
pub(super) const MIGRATION_SHARE: f64 = 0.1;
/// Load of a connection where none is known of any, in seconds of standard-core work a second.
const DEFAULT_LOAD: f64 = 1.0;

/// An established connection that may be moved.
struct MigrationCandidate {
    id: RequestId,
    /// Its priority for each unit of load.
    value: f64,
    load: f64,
}

impl MigrationCandidate {
    /// The order in which connections are moved: those of least value first, and the heaviest of these.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_value = self.value.total_cmp(&other.value);
        by_value.then(other.load.total_cmp(&self.load)).then(self.id.cmp(&other.id))
    }
}

impl Balancer {
    /// This gateway's established connections on a server.
    pub(super) fn established_on(
        &self,
        server: ServerId,
    ) -> impl Iterator<Item = (RequestId, &PendingRequest)> {
        let established = self.requests.iter().filter(move |(_, request)| request.is_established_on(server));
        established.map(|(&id, request)| (id, request))
    }

    /// Moves a small part of the connections off a saturated server, also where there is no other one, so that the rest
    /// are served. A part of a connection is rounded at random.
    pub(super) fn migrate_share(&mut self, server: ServerId) {
        let share = MIGRATION_SHARE * f64::from(self.server(server).open_connections());
        let mut candidates = self.migration_candidates(server);
        let count = (share + self.rng.random::<f64>()) as usize;
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

    /// The mean of all connections whose load is known.
    fn mean_load(&self) -> f64 {
        let loads = || self.requests.values().filter_map(PendingRequest::load);
        let mean = loads().sum::<f64>() / loads().count() as f64;
        if mean.is_finite() { mean } else { DEFAULT_LOAD }
    }
}
