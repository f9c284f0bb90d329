//! Permits to send a connection to a server that is warming up.
//!
//! A warming server has no connections at first, so that every gateway would select it. Therefore it receives
//! only the connections that permits admit. There are two kinds of permits:
//!
//! - If gateways answer each other, a gateway requests one fleet permit per connection from the gateways that
//!   grant permits for the entire fleet. A fixed share of the permits for each gateway would be less than one
//!   connection, and would remain unused at gateways whose clients stay connected.
//! - Otherwise, and while no grantor answers, each gateway uses its own numbered permits. If there are no
//!   peers, these are all permits. If there are peers, they are the permits that `GRANTED_SHARE` in
//!   `slow_start` leaves, which is only the first permit of a server.

use super::Balancer;
use super::interface::{Action, PermitReply, RequestId, ServerId, Span, Time};
use super::selection::CandidateRank;
use super::slow_start::{PermitHolder, PermitSchedule};

/// Time for which a gateway uses its own permits after no grantor answered a request.
const GRANTORS_UNREACHABLE_TIME: Span = Span::from_micros(1_000_000);
/// Time after a server's start in which its new connections need permits, as a multiple of the warm-up time.
/// If the time ended with the warm-up, all gateways would select the server at that moment.
const SLOW_START_FACTOR: f64 = 2.0;

/// State of this gateway's fleet permit for one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum FleetPermit {
    /// The gateway has no permit and has requested none.
    #[default]
    None,
    /// The gateway has requested a permit, and the reply is outstanding.
    Requested,
    /// The gateway has a permit that it may use before `until`.
    Granted { until: Time },
}

/// Permits of this gateway for one server that is warming up.
#[derive(Default)]
pub(super) struct ServerPermits {
    fleet_permit: FleetPermit,
    /// Earliest time of the next permit request.
    next_request_at: Time,
    /// End of the time for which the gateway uses its own permits, since no grantor answered.
    grantors_unreachable_until: Time,
    /// Whether the server has fewer connections from the fleet than other servers have, as reported by the
    /// grantors.
    below_fair_share: bool,
    /// Number of the last of its own permits that this gateway has used.
    last_used: u64,
}

impl ServerPermits {
    pub(super) fn last_used(&self) -> u64 {
        self.last_used
    }

    pub(super) fn set_last_used(&mut self, permit: u64) {
        self.last_used = permit;
    }

    /// Checks whether a fleet permit can be requested now.
    pub(super) fn may_request(&self, now: Time) -> bool {
        self.fleet_permit != FleetPermit::Requested && now >= self.next_request_at
    }

    fn has_fleet_permit(&self) -> bool {
        matches!(self.fleet_permit, FleetPermit::Granted { .. })
    }

    fn has_valid_fleet_permit(&self, now: Time) -> bool {
        matches!(self.fleet_permit, FleetPermit::Granted { until } if now < until)
    }

    fn release_if_expired(&mut self, now: Time) {
        if self.has_fleet_permit() && !self.has_valid_fleet_permit(now) {
            self.fleet_permit = FleetPermit::None;
        }
    }

    fn request(&mut self) {
        self.fleet_permit = FleetPermit::Requested;
    }

    fn handle_reply(&mut self, now: Time, reply: PermitReply) {
        if self.fleet_permit == FleetPermit::Requested {
            self.fleet_permit = FleetPermit::None;
        }
        match reply {
            PermitReply::Granted { expires_at, below_fair_share } => {
                self.fleet_permit = FleetPermit::Granted { until: expires_at };
                self.below_fair_share = below_fair_share;
            }
            PermitReply::Denied { retry_after, below_fair_share } => {
                self.next_request_at = now + retry_after;
                self.below_fair_share = below_fair_share;
            }
            PermitReply::NoReply => self.grantors_unreachable_until = now + GRANTORS_UNREACHABLE_TIME,
        }
    }

    fn release_fleet_permit(&mut self) {
        if self.has_fleet_permit() {
            self.fleet_permit = FleetPermit::None;
        }
    }

    /// Marks the granted fleet permit as used, and also the numbered permit, unless it is `None`.
    pub(super) fn use_permit(&mut self, numbered: Option<u64>) {
        self.release_fleet_permit();
        self.last_used = numbered.unwrap_or(self.last_used);
    }

    /// Resets the permits for a new process of the server. If the start of that process was known before
    /// (`is_same_start`), numbered permits that were used remain used.
    pub(super) fn restart(&mut self, now: Time, is_same_start: bool) {
        self.release_fleet_permit();
        self.next_request_at = now;
        self.below_fair_share = true;
        if !is_same_start {
            self.last_used = 0;
        }
    }
}

impl Balancer {
    /// Returns the time after a server's start in which its new connections need permits.
    pub(super) fn slow_start_time(&self) -> Span {
        self.settings.warm_up_time.scale(SLOW_START_FACTOR)
    }

    pub(super) fn is_warming_up(&self, now: Time, id: ServerId) -> bool {
        self.server(id).is_warming_up(now, self.slow_start_time())
    }

    /// Checks whether a connection to the server can be sent now, or a permit for one can be requested.
    pub(super) fn admits_connection(&mut self, now: Time, id: ServerId) -> bool {
        if self.uses_fleet_permits(now, id) {
            let permits = &mut self.server_mut(id).permits;
            permits.release_if_expired(now);
            return permits.has_fleet_permit() || permits.may_request(now);
        }
        let has_permit = !self.is_warming_up(now, id) || self.next_permit(now, id).is_some();
        has_permit && self.recovery_admits(now, id)
    }

    /// Checks whether connections to the server need fleet permits.
    fn uses_fleet_permits(&self, now: Time, id: ServerId) -> bool {
        self.settings.fleet_permits
            && now >= self.server(id).permits.grantors_unreachable_until
            && self.is_warming_up(now, id)
    }

    /// Checks whether a fleet permit has to be requested before a connection to the server is sent.
    pub(super) fn needs_fleet_permit(&self, now: Time, id: ServerId) -> bool {
        self.uses_fleet_permits(now, id) && !self.server(id).permits.has_fleet_permit()
    }

    /// Returns this gateway's next numbered permit for a server that is warming up; `None` if it has no
    /// permit now or the server needs none. All gateways number the permits by the server's age, so that no
    /// two gateways use the same one.
    pub(super) fn next_permit(&self, now: Time, id: ServerId) -> Option<u64> {
        let server = self.server(id);
        let server_started_at = server.started_at().filter(|_| self.is_warming_up(now, id))?;
        let last_used = server.permits.last_used();
        let hash_key = server.endpoint.hash_key;
        let holder = PermitHolder::for_gateway(&self.settings, hash_key, self.started_at?, last_used);
        let schedule = PermitSchedule::ungranted_permits(&self.settings);
        schedule.next_permit(now, server_started_at, self.last_fleet_connections_when_full(), holder).ok()
    }

    /// Returns the number of numbered permits issued so far for a server that started at `started_at`.
    pub(super) fn permits_issued(&mut self, now: Time, started_at: Time) -> u64 {
        let schedule = PermitSchedule::ungranted_permits(&self.settings);
        let age = now.since(started_at);
        schedule.permits_issued(age, self.fleet_connections_when_full(now)) as u64
    }

    /// Records a numbered permit that a sibling process has used as used in this process, too.
    pub(super) fn record_sibling_permit(&mut self, now: Time, id: ServerId, reported: u64) {
        let schedule = PermitSchedule::ungranted_permits(&self.settings);
        let connections_when_full = self.fleet_connections_when_full(now);
        let server = self.server_mut(id);
        let started_at = server.started_at();
        let used = schedule.accept_reported_permit(now, started_at, connections_when_full, reported);
        let permits = &mut server.permits;
        permits.last_used = permits.last_used.max(used);
    }

    pub(super) fn request_permit(&mut self, id: RequestId, server: ServerId) {
        self.server_mut(server).permits.request();
        self.request_mut(id).await_permit(server);
        self.actions.push(Action::RequestPermit { server });
    }

    /// Handles the reply to a permit request. The request that waits for the permit is sent to the server if
    /// the permit was granted and is usable. Otherwise a server is selected again or the request is queued.
    pub(super) fn handle_permit_reply(&mut self, now: Time, server: ServerId, reply: PermitReply) {
        self.server_mut(server).permits.handle_reply(now, reply);
        let mut waiting = self.requests.iter().filter(|(_, request)| request.awaits_permit_from(server));
        let Some((&id, request)) = waiting.next() else { return };
        let is_usable = self.server(server).is_ready()
            && self.server(server).permits.has_valid_fleet_permit(now)
            && self.candidate_rank(now, request, self.server(server)) == CandidateRank::Preferred;
        self.request_mut(id).stop_awaiting_permit();
        if is_usable {
            self.begin_attempt(now, id, server);
        } else {
            _ = self.place(now, id);
        }
    }

    /// Checks whether a warming server has fewer connections than others, according to the information that
    /// this gateway has.
    pub(super) fn is_below_fair_share(&self, now: Time, id: ServerId) -> bool {
        if self.uses_fleet_permits(now, id) {
            self.server(id).permits.below_fair_share
        } else {
            self.server(id).total_connections() == 0
        }
    }
}
