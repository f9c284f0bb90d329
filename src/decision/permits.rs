//! Permits to send a connection to a server that is warming up.
//!
//! Such a server holds nothing, so it wins every comparison at every gateway. It gets what one of two kinds of permits
//! admits. Where gateways answer each other, one permit a connection is requested from those that grant them for the
//! whole fleet: a part of them for each gateway would be less than one connection, and unused where clients stay.
//! Otherwise, and while nobody answers, each gateway uses its own numbered permits: all of them where there are no
//! peers, and what `GRANTED_SHARE` of `slow_start` leaves where there are, which is the first permit of a server alone.

use super::Balancer;
use super::interface::{Action, PermitReply, RequestId, ServerId, Span, Time};
use super::selection::CandidateRank;
use super::slow_start::{PermitHolder, PermitSchedule};

/// For this long a gateway that nobody answers uses its own permits.
const GRANTORS_UNREACHABLE_TIME: Span = Span::from_micros(1_000_000);
/// Multiple of the warm-up time in which a server is paced; else all gateways would turn to it just after.
const SLOW_START_FACTOR: f64 = 2.0;

/// This gateway's permit of the fleet for one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum FleetPermit {
    #[default]
    None,
    Requested,
    Granted {
        until: Time,
    },
}

/// What this gateway may send a server that is warming up.
#[derive(Default)]
pub(super) struct ServerPermits {
    fleet_permit: FleetPermit,
    next_request_at: Time,
    grantors_unreachable_until: Time,
    /// Whether the fleet holds fewer connections there than on others, as its grantors say.
    below_fair_share: bool,
    /// The last numbered permit that this gateway has used.
    last_used: u64,
}

impl ServerPermits {
    pub(super) fn last_used(&self) -> u64 {
        self.last_used
    }

    pub(super) fn set_last_used(&mut self, permit: u64) {
        self.last_used = permit;
    }

    /// Whether a fleet permit can be requested now.
    pub(super) fn may_request(&self, now: Time) -> bool {
        self.fleet_permit != FleetPermit::Requested && now >= self.next_request_at
    }

    fn has_fleet_permit(&self) -> bool {
        matches!(self.fleet_permit, FleetPermit::Granted { .. })
    }

    fn has_valid_fleet_permit(&self, now: Time) -> bool {
        matches!(self.fleet_permit, FleetPermit::Granted { until } if now < until)
    }

    fn drop_expired(&mut self, now: Time) {
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

    fn give_up_fleet_permit(&mut self) {
        if self.has_fleet_permit() {
            self.fleet_permit = FleetPermit::None;
        }
    }

    /// Uses the fleet permit in hand, and this numbered one, if any.
    pub(super) fn use_permit(&mut self, numbered: Option<u64>) {
        self.give_up_fleet_permit();
        self.last_used = numbered.unwrap_or(self.last_used);
    }

    /// Starts over for a new process of the server. Numbered permits used remain so if it is the one known already.
    pub(super) fn restart(&mut self, now: Time, is_same_start: bool) {
        self.give_up_fleet_permit();
        self.next_request_at = now;
        self.below_fair_share = true;
        if !is_same_start {
            self.last_used = 0;
        }
    }
}

impl Balancer {
    /// For how long after its start a server is paced.
    pub(super) fn slow_start_time(&self) -> Span {
        self.settings.warm_up_time.scale(SLOW_START_FACTOR)
    }

    pub(super) fn is_warming_up(&self, now: Time, id: ServerId) -> bool {
        self.server(id).is_warming_up(now, self.slow_start_time())
    }

    /// Whether a server can be sent a connection now, or a permit for one be requested.
    pub(super) fn admits_connection(&mut self, now: Time, id: ServerId) -> bool {
        if self.uses_fleet_permits(now, id) {
            let permits = &mut self.server_mut(id).permits;
            permits.drop_expired(now);
            return permits.has_fleet_permit() || permits.may_request(now);
        }
        let has_permit = !self.is_warming_up(now, id) || self.next_permit(now, id).is_some();
        has_permit && self.recovery_admits(now, id)
    }

    /// Whether connections to a server need permits of the fleet.
    fn uses_fleet_permits(&self, now: Time, id: ServerId) -> bool {
        self.settings.fleet_permits
            && now >= self.server(id).permits.grantors_unreachable_until
            && self.is_warming_up(now, id)
    }

    /// Whether a fleet permit has to be requested before a connection to this server.
    pub(super) fn needs_fleet_permit(&self, now: Time, id: ServerId) -> bool {
        self.uses_fleet_permits(now, id) && !self.server(id).permits.has_fleet_permit()
    }

    /// This gateway's next numbered permit for a server that is warming up. All gateways number them by the server's
    /// age, so that no two have the same.
    pub(super) fn next_permit(&self, now: Time, id: ServerId) -> Option<u64> {
        let server = self.server(id);
        let server_started_at = server.started_at().filter(|_| self.is_warming_up(now, id))?;
        let last_used = server.permits.last_used();
        let hash_key = server.endpoint.hash_key;
        let holder = PermitHolder::for_gateway(&self.settings, hash_key, self.started_at?, last_used);
        let schedule = PermitSchedule::ungranted_permits(&self.settings);
        schedule.next_permit(now, server_started_at, self.last_fleet_connections_when_full(), holder).ok()
    }

    /// How many numbered permits have been issued for a server that started then.
    pub(super) fn permits_issued(&mut self, now: Time, started_at: Time) -> u64 {
        let schedule = PermitSchedule::ungranted_permits(&self.settings);
        let age = now.since(started_at);
        schedule.permits_issued(age, self.fleet_connections_when_full(now)) as u64
    }

    /// Counts a numbered permit that another process of this gateway has used as used here.
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

    /// The request that waits for this permit goes there, or elsewhere without it.
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

    /// Whether a warming server holds fewer connections than others, as far as is known here.
    pub(super) fn is_below_fair_share(&self, now: Time, id: ServerId) -> bool {
        if self.uses_fleet_permits(now, id) {
            self.server(id).permits.below_fair_share
        } else {
            self.server(id).total_connections() == 0
        }
    }
}
