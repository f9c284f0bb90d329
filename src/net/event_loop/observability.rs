//! Metrics, and the log of faults and violated invariants.

use tracing::info;

use super::EventLoop;
use crate::decision::interface::*;
use crate::discovery::MAX_LIST_STALENESS;
use crate::engine::{HealthCheckCounts, RequestViolations};
use crate::metrics::Gauge;
use crate::net::rate_limited_log::RateLimitedLog;

static SERVER_FAULTS: RateLimitedLog = RateLimitedLog::new("server");
static DATAGRAM_ERRORS: RateLimitedLog = RateLimitedLog::new("permits");
static PERMIT_VIOLATIONS: RateLimitedLog = RateLimitedLog::new("permits");
static REQUEST_VIOLATIONS: RateLimitedLog = RateLimitedLog::new("request");

impl EventLoop {
    /// Logs and counts violations of the request invariants. A debug build panics.
    pub(super) fn report_violations(&mut self) {
        let RequestViolations { recent: violations, total } = self.engine.take_request_violations();
        for violation in &violations {
            REQUEST_VIOLATIONS.log(format_args!("invariant violated: {violation}; {}", violation.help()));
        }
        if !violations.is_empty() {
            let total = usize::try_from(total).unwrap_or(usize::MAX);
            self.handle.metrics().set_gauge(Gauge::InvariantViolations, total);
        }
        debug_assert!(violations.is_empty(), "an invariant is violated: {violations:?}");
    }

    /// Checks the invariants of the permits that this gateway grants, and logs a violation.
    pub(super) fn check_permits(&self) {
        if let Err(violation) = self.engine.check_permits() {
            PERMIT_VIOLATIONS.log(format_args!("invariant violated: {violation}; {}", violation.help()));
        }
    }

    /// Logs that new connections are rejected if the lease on the endpoint list has expired.
    pub(super) fn log_list_expiry(&self) {
        if self.engine.list_expired() {
            let seconds = MAX_LIST_STALENESS.as_micros() / 1_000_000;
            info!(
                "discovery: endpoint list is older than {seconds} s; \
                 rejecting new connections until discovery answers"
            );
        }
    }

    /// Publishes the gauges, and this process's readiness and server usage to its siblings.
    pub(super) fn update_gauges(&mut self, now: Time) {
        let metrics = self.handle.metrics();
        metrics.set_gauge(Gauge::InProgress, self.engine.open_request_count());
        metrics.set_gauge(Gauge::KnownServers, self.endpoints.entries.len());
        metrics.set_gauge(Gauge::SkippedServers, self.engine.avoided_server_count(now));
        let HealthCheckCounts { sent, withheld } = self.engine.health_check_counts();
        metrics.set_gauge(Gauge::HealthChecks, sent);
        metrics.set_gauge(Gauge::HealthChecksWithheld, withheld);
        let usage = self.endpoints.entries.keys().filter_map(|name| {
            let server = self.names.servers.find(name).map(ServerId)?;
            Some((name.clone(), self.engine.sibling_usage(server)))
        });
        let usage = usage.collect();
        self.sibling_link.publish(self.health.is_ready(), usage);
    }

    /// Logs the outcome of a failed attempt or connection with its server's name.
    pub(super) fn log_server_fault(&self, id: RequestId, attempt: u32, outcome: Outcome) {
        if let Some(server) = self.engine.server_of(id) {
            let name = &self.names.servers.names()[server.0 as usize];
            SERVER_FAULTS.log(format_args!("{name}: request {} attempt {attempt}: {outcome:?}", id.0));
        }
    }

    /// Handles a permit datagram of another gateway, and logs an invalid one.
    pub(super) fn handle_datagram(&mut self, now: Time, from: GatewayId, payload: &[u8]) {
        if let Err(error) = self.engine.handle_datagram(now, from, payload, &mut self.commands) {
            DATAGRAM_ERRORS.log(format_args!("datagram of gateway {}: {error}; {}", from.0, error.help()));
        }
    }
}
