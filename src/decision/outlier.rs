//! Detection of outliers, servers that perform worse than others: ejection after failures, slow or saturated
//! responses, load shedding, and silence.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Balancer;
use super::interface::{Action, Outcome, RequestId, ServerId, Span, Time};

/// Number of consecutive failures that eject a server.
const OUTLIER_CONSECUTIVE_FAILURES: u32 = 2;
/// Duration of the first ejection, as a share of the warm-up time. The duration doubles with each
/// [`OUTLIER_CONSECUTIVE_FAILURES`] further consecutive failures, up to the entire warm-up time.
const INITIAL_EJECTION_SHARE: f64 = 0.1;
/// Maximum number of doublings of the ejection duration, plus one.
const MAX_EJECTION_STEPS: u32 = 8;

/// Response time from which a server is slow, as a share of the shortest latency objective for messages.
const SLOW_RESPONSE_SHARE: f64 = 0.34;
/// Response time from which a server is saturated, as a share of the shortest latency objective for messages.
/// A further connection to a saturated server would be of no use.
const SATURATED_RESPONSE_SHARE: f64 = 0.67;
/// Interval between two reports of a slow server's response time.
pub(super) const RESPONSE_TIME_INTERVAL: Span = Span::from_micros(1_000_000);
/// Number of report intervals without a report after which a slow server is used again. A random number from
/// 0 to 1 is added.
const SLOW_INTERVALS: f64 = 1.5;

/// Number of established connections that a server must drop within [`DROP_WINDOW`] to count as shedding
/// load.
const SHEDDING_DROPS: f64 = 3.0;
/// Time within which dropped connections are counted.
const DROP_WINDOW: Span = Span::from_micros(2_000_000);
/// First time for which a shedding server is avoided, as a share of the warm-up time. The time doubles each
/// time that the server sheds load again within a warm-up time.
const INITIAL_SHEDDING_SHARE: f64 = 0.1;
/// Longest time for which a shedding server is avoided, as a share of the warm-up time.
const MAX_SHEDDING_SHARE: f64 = 0.5;
/// Maximum number of doublings of the time for which a shedding server is avoided.
const MAX_SHEDDING_DOUBLINGS: u32 = 8;
/// Capacity estimate of a server that has shed load, as a share of the connections that it had before.
const CAPACITY_ESTIMATE_SHARE: f64 = 0.75;
/// Time after which the capacity estimate has doubled.
const CAPACITY_RECOVERY_TIME: Span = Span::from_micros(40_000_000);

/// Draws a factor between 0.75 and 1.25, so that gateways do not return to a server at the same time.
fn draw_jitter(rng: &mut ChaCha8Rng) -> f64 {
    0.75 + 0.5 * rng.random::<f64>()
}

/// Ejection of a server after consecutive failures.
#[derive(Default)]
pub(super) struct Ejection {
    consecutive_failures: u32,
    /// End of the last ejection; `None` if there was none since the last success.
    ejected_until: Option<Time>,
    /// Whether the server became silent and has not responded since. On probation it receives one connection
    /// at a time.
    on_probation: bool,
}

impl Ejection {
    /// Checks whether the server is ejected, given the number of its open connections.
    pub(super) fn is_ejected(&self, now: Time, open_connections: u32) -> bool {
        (self.on_probation && open_connections > 0) || self.is_ejection_running(now)
    }

    fn is_ejection_running(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Counts failures, and ejects the server once there are enough. Each ejection is longer than the one
    /// before, up to `max_time`. Failures of an ejected server are ignored, since their attempts began before
    /// the ejection.
    fn record_failures(&mut self, now: Time, failures: u32, max_time: Span, jitter: f64) {
        if self.is_ejection_running(now) {
            return;
        }
        self.consecutive_failures += failures;
        if self.consecutive_failures < OUTLIER_CONSECUTIVE_FAILURES {
            return;
        }
        let step = (self.consecutive_failures / OUTLIER_CONSECUTIVE_FAILURES).min(MAX_EJECTION_STEPS) - 1;
        let share = INITIAL_EJECTION_SHARE * f64::from(1 << step);
        let time = max_time.scale(share).min(max_time);
        self.ejected_until = Some(now + time.scale(jitter));
    }

    /// Ends the ejection after a success, except on probation: then the server has to respond, and a mere
    /// established connection is not enough.
    fn record_success(&mut self) {
        if !self.on_probation {
            self.consecutive_failures = 0;
            self.ejected_until = None;
        }
    }

    fn begin_probation(&mut self) {
        self.on_probation = true;
    }

    fn end_probation(&mut self) {
        self.on_probation = false;
    }
}

/// Level of a server's response time, by the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ResponseLevel {
    /// Responses are fast, or no report has arrived.
    #[default]
    Normal,
    /// The server is used only if there is no better one.
    Slow { until: Time },
    /// Responses take longer than clients are willing to wait. The server receives no new connections.
    Saturated { until: Time },
}

impl ResponseLevel {
    /// Returns the level of a response time, where `objective` is the shortest latency objective for
    /// messages. The level applies until `until`, when the next report is overdue.
    fn classify(response_time: Span, objective: Span, until: Time) -> Self {
        if response_time >= objective.scale(SATURATED_RESPONSE_SHARE) {
            ResponseLevel::Saturated { until }
        } else if response_time >= objective.scale(SLOW_RESPONSE_SHARE) {
            ResponseLevel::Slow { until }
        } else {
            ResponseLevel::Normal
        }
    }

    pub(super) fn is_slow(self, now: Time) -> bool {
        match self {
            ResponseLevel::Normal => false,
            ResponseLevel::Slow { until } | ResponseLevel::Saturated { until } => now < until,
        }
    }

    pub(super) fn is_saturated(self, now: Time) -> bool {
        matches!(self, ResponseLevel::Saturated { until } if now < until)
    }
}

/// Capacity estimate: the number of connections that a server can have, derived from its load shedding.
struct CapacityEstimate {
    /// Number of connections at the time of the estimate.
    connections: f64,
    estimated_at: Time,
}

impl CapacityEstimate {
    /// Returns the estimated number of connections at time `now`. The estimate grows with its age.
    fn at(&self, now: Time) -> f64 {
        self.connections * (1.0 + now.since(self.estimated_at).as_secs() / CAPACITY_RECOVERY_TIME.as_secs())
    }
}

/// Load shedding of a server. A server that drops established connections has more than its capacity. The
/// drops lower its connection count, so that without this state the server would be selected first.
#[derive(Default)]
pub(super) struct Shedding {
    /// Number of dropped connections, which decays to zero over [`DROP_WINDOW`].
    recent_drops: f64,
    /// Time at which `recent_drops` was last updated.
    drops_decayed_at: Time,
    /// Number of times that the server shed load again within a warm-up time.
    consecutive_sheds: u32,
    /// End of the last time for which the server was avoided; `None` if it has not shed load since its last
    /// start.
    shedding_until: Option<Time>,
    /// Number of the server's connections before the first of the recent drops.
    connections_before_drops: u32,
    /// Capacity estimate; `None` if the server has not shed load since its last start.
    capacity: Option<CapacityEstimate>,
}

impl Shedding {
    /// Checks whether the server is avoided, given the number of its connections.
    pub(super) fn is_shedding_or_at_capacity(&self, now: Time, connections: u32) -> bool {
        self.is_shedding(now) || self.is_at_capacity(now, connections)
    }

    fn is_shedding(&self, now: Time) -> bool {
        self.shedding_until.is_some_and(|until| now < until)
    }

    fn is_at_capacity(&self, now: Time, connections: u32) -> bool {
        self.capacity.as_ref().is_some_and(|capacity| f64::from(connections) >= capacity.at(now))
    }

    /// Counts a dropped connection of a server that had `connections` before the drop, and avoids the server
    /// once there are enough drops.
    fn record_drop(&mut self, now: Time, connections: u32, warm_up_time: Span, jitter: f64) {
        let decay = SHEDDING_DROPS * (now.since(self.drops_decayed_at).as_secs() / DROP_WINDOW.as_secs());
        if self.recent_drops <= decay {
            self.connections_before_drops = connections;
        }
        self.recent_drops = (self.recent_drops - decay).max(0.0) + 1.0;
        self.drops_decayed_at = now;
        if self.recent_drops < SHEDDING_DROPS {
            return;
        }
        let connections = CAPACITY_ESTIMATE_SHARE * f64::from(self.connections_before_drops);
        self.capacity = Some(CapacityEstimate { connections, estimated_at: now });
        if !self.is_shedding(now) {
            self.begin_avoidance(now, warm_up_time, jitter);
        }
    }

    /// Avoids the server for a limited time, which is longer if the server shed load within the last warm-up
    /// time.
    fn begin_avoidance(&mut self, now: Time, warm_up_time: Span, jitter: f64) {
        let is_repeated = self.shedding_until.is_some_and(|until| now.since(until) < warm_up_time);
        self.consecutive_sheds =
            if is_repeated { (self.consecutive_sheds + 1).min(MAX_SHEDDING_DOUBLINGS) } else { 0 };
        let share = INITIAL_SHEDDING_SHARE * f64::from(1 << self.consecutive_sheds);
        let time = warm_up_time.scale(share.min(MAX_SHEDDING_SHARE));
        self.shedding_until = Some(now + time.scale(jitter));
    }

    pub(super) fn reset(&mut self) {
        self.shedding_until = None;
        self.capacity = None;
    }
}

impl Balancer {
    /// Updates the outlier state of a server by the outcome of an attempt or connection.
    pub(super) fn record_outcome(&mut self, now: Time, id: ServerId, outcome: Outcome, established: bool) {
        match outcome {
            Outcome::Ok => self.record_success(id),
            Outcome::Reset if established => self.record_drop(now, id),
            Outcome::ConnectError => self.record_failures(now, id, OUTLIER_CONSECUTIVE_FAILURES),
            Outcome::Failed | Outcome::QueueFull | Outcome::TimedOut | Outcome::Reset => {
                self.record_failures(now, id, 1);
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFailure => {}
        }
    }

    pub(super) fn record_success(&mut self, id: ServerId) {
        self.server_mut(id).ejection.record_success();
    }

    fn record_failures(&mut self, now: Time, id: ServerId, failures: u32) {
        let jitter = draw_jitter(&mut self.rng);
        let max_time = self.settings.warm_up_time;
        self.server_mut(id).ejection.record_failures(now, failures, max_time, jitter);
    }

    fn record_drop(&mut self, now: Time, id: ServerId) {
        let warm_up_time = self.settings.warm_up_time;
        let jitter = draw_jitter(&mut self.rng);
        let server = self.server_mut(id);
        let connections = server.total_connections() + 1;
        server.shedding.record_drop(now, connections, warm_up_time, jitter);
    }

    /// Ejects a silent server, which serves no clients, and migrates all connections of this gateway off it
    /// at once.
    pub(super) fn handle_silent_server(&mut self, now: Time, id: ServerId) {
        self.record_failures(now, id, OUTLIER_CONSECUTIVE_FAILURES);
        self.server_mut(id).ejection.begin_probation();
        let affected: Vec<RequestId> = self.established_on(id).map(|(id, _)| id).collect();
        self.actions.extend(affected.into_iter().map(|id| Action::Migrate { id }));
    }

    /// Records a report of a server's response time. A server with slow responses is overloaded, so it is
    /// avoided until a better report arrives or the next report is overdue. A share of the connections is
    /// migrated off a saturated server.
    pub(super) fn handle_slow_responses(&mut self, now: Time, id: ServerId, response_time: Span) {
        let classes = self.settings.classes.iter();
        let objective = classes.map(|class| class.message_latency_objective).min().unwrap_or_default();
        let until = now + RESPONSE_TIME_INTERVAL.scale(SLOW_INTERVALS + self.rng.random::<f64>());
        let level = ResponseLevel::classify(response_time, objective, until);
        let server = self.server_mut(id);
        if level == ResponseLevel::Normal {
            server.ejection.end_probation();
        }
        server.response_level = level;
        if matches!(level, ResponseLevel::Saturated { .. }) {
            let initial_tokens = self.rng.random::<f64>();
            self.server_mut(id).mark_saturated(now, initial_tokens);
            self.migrate_share(id);
        }
    }
}
