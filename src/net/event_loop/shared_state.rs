//! Observations shared among the gateways, and the quotas of partners. Both are off unless configured.

use std::sync::Arc;
use std::time::Duration;

use ashtide_quota::ConnectionKind;
use tokio::time::Instant;
use tracing::info;

use super::EventLoop;
use crate::decision::interface::*;
use crate::engine::EstablishedCounts;
use crate::fleet::quota::{Settings as QuotaSettings, TICK_INTERVAL};
use crate::fleet::shared_state::{LocalObservation, ServerObservation, name_hash};
use crate::net::fleet::quota::QuotaService;
use crate::net::fleet::shared_state::SharedState;
use crate::net::messages::ConnectionRequest;
use crate::net::rate_limited_log::RateLimitedLog;

/// Time after a server's rejection of a connection during which no connection beyond a quota is admitted.
const REJECTION_COOLDOWN: Duration = Duration::from_secs(2);

static VIOLATIONS: RateLimitedLog = RateLimitedLog::new("state");

/// Admission of connections by the quotas of their partners. All are admitted if no quotas are configured.
#[derive(Default)]
pub(super) struct QuotaAdmission {
    active: Option<ActiveQuota>,
    server_rejected_at: Option<Instant>,
}

struct ActiveQuota {
    service: Arc<QuotaService>,
    next_tick_at: Instant,
}

impl QuotaAdmission {
    pub(super) fn enable(&mut self, service: Arc<QuotaService>) {
        self.active = Some(ActiveQuota { service, next_tick_at: Instant::now() });
    }

    /// Returns the time of the next tick of the quota service, or `None` if quotas are off.
    pub(super) fn next_tick_at(&self) -> Option<Instant> {
        self.active.as_ref().map(|active| active.next_tick_at)
    }

    pub(super) fn tick(&mut self) {
        if let Some(active) = &mut self.active {
            active.service.tick();
            active.next_tick_at = Instant::now() + TICK_INTERVAL;
        }
    }

    pub(super) fn reload(&self, settings: QuotaSettings) {
        if let Some(active) = &self.active {
            active.service.reload(settings);
        }
    }

    /// Records that a server has rejected a connection.
    pub(super) fn record_rejection(&mut self) {
        self.server_rejected_at = Some(Instant::now());
    }

    /// Checks whether the quota of its partner allows a request. The attempts of a request count once.
    ///
    /// # Errors
    ///
    /// Returns the time that the client of a rejected request is to wait.
    pub(super) fn admit(&self, id: RequestId, requested: &ConnectionRequest) -> Result<(), Duration> {
        let Some(active) = &self.active else { return Ok(()) };
        let Some(tenant) = &requested.tenant else { return Ok(()) };
        let kind = match (requested.is_reconnect, requested.is_retry) {
            (true, _) => ConnectionKind::Migrated,
            (false, true) => ConnectionKind::Retry,
            (false, false) => ConnectionKind::New,
        };
        let has_capacity =
            self.server_rejected_at.is_none_or(|rejected_at| rejected_at.elapsed() >= REJECTION_COOLDOWN);
        active
            .service
            .with(|admission, now, exchange| admission.admit((now, exchange), id, tenant, kind, has_capacity))
    }

    /// Counts an established connection for its partner, even beyond the quota.
    pub(super) fn adopt_connection(&self, id: RequestId, requested: &ConnectionRequest) {
        if let (Some(active), Some(tenant)) = (&self.active, &requested.tenant) {
            active.service.with(|admission, _, exchange| admission.adopt_connection(exchange, id, tenant));
        }
    }

    /// Releases the quota of a request that has ended or whose connection has ended.
    pub(super) fn release(&self, id: RequestId) {
        if let Some(active) = &self.active {
            active.service.with(|admission, _, exchange| admission.release(exchange, id));
        }
    }
}

impl EventLoop {
    /// Enables sharing this gateway's observations with the other gateways; with `report_outcomes`, also the
    /// outcomes of attempts.
    pub fn enable_shared_state(&mut self, shared_state: Arc<SharedState>, report_outcomes: bool) {
        self.shared_state = Some(shared_state);
        if report_outcomes {
            self.engine.enable_outcome_reports();
        }
    }

    /// Enables the quotas of partners.
    pub fn enable_quota(&mut self, service: Arc<QuotaService>) {
        self.quota.enable(service);
    }

    /// Passes this gateway's observations to the shared state, and applies the decision that results.
    pub(super) fn update_shared_state(&mut self, now: Time) {
        let Some(shared_state) = self.shared_state.clone() else { return };
        let EstablishedCounts { by_server, by_tenant } = self.engine.established_counts();
        let outcome_reports = self.engine.take_outcome_reports(now);
        let servers = self.endpoints.entries.iter().filter_map(|(name, endpoint)| {
            let server = ServerId(self.names.servers.find(name)?);
            Some(ServerObservation {
                key: name_hash(name),
                name,
                size: endpoint.weight,
                ready: self.engine.is_ready(server),
                open_connections: by_server.get(&server).copied().unwrap_or_default(),
            })
        });
        let tenants = self.names.tenants.names();
        let observation = LocalObservation {
            servers: servers.collect(),
            tenants: by_tenant
                .iter()
                .map(|(tenant, &open)| (tenants[tenant.0 as usize].as_str(), open))
                .collect(),
            outcome_reports,
        };
        let decision = shared_state.with(|gateway, since_start| gateway.observe(since_start, &observation));
        let Some(decision) = decision else { return };
        decision.log_lines.iter().for_each(|line| info!("{line}"));
        if let Some(violation) = decision.violation {
            VIOLATIONS.log(format_args!("invariant violated: {violation}; {}", violation.help()));
        }
        self.engine.set_quorum_ejections(now, &decision.ejected, &mut self.commands);
    }
}
