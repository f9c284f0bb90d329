//! The settings of a gateway.

use super::{GatewayId, Span, ZoneId};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated on any server.
    Idempotent,
    /// Some servers recognise a repeat by its idempotency key, for a while, and drop it.
    WithKey {
        /// Which servers do.
        scope: DeduplicationScope,
        /// For how long, from the sending of the first attempt that may have been executed.
        remembered_for: Span,
    },
    /// It must not be repeated once an attempt may have been executed.
    NotIdempotent,
}

/// The servers that recognise an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// Those of the zone of the first server.
    Zone,
    /// Those of the cell of the first server.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Time within which a connection is to be established.
    pub latency_objective: Span,
    /// Time within which a message on it is to be answered; zero where none is stated.
    pub message_latency_objective: Span,
    /// Priority of a request, or of a second of its connection, relative to other classes.
    pub priority_weight: f64,
    /// Whether it may be executed more than once.
    pub idempotency: Idempotency,
}

/// A tenant that shares the fleet with others. Only the sum of quotas is used, to estimate how many connections fill a
/// server.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its quota, over all gateways.
    pub quota_per_s: f64,
    /// Open connections within its quota, over all gateways; zero where none is stated.
    pub quota_connections: f64,
}

/// How the gateway learns of changes to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive without a request.
    Pushed,
    /// Changes arrive only after a subscription.
    OnRequest,
}

/// What a server's listed weight means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMode {
    /// Nothing: it is always the same.
    Off,
    /// Registered or approximate capacity.
    Nominal,
    /// Capacity divided by one plus the requests in progress a core, a little late.
    Live,
}

/// What the simulator subtracts from a day's result for each action, as a share of the whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// For each attempt that crosses zones, per first attempt.
    pub cross_zone: f64,
    /// For each health check, per first attempt.
    pub health_check: f64,
    /// For each migrated connection, per first attempt.
    pub migration: f64,
}

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many gateways the fleet has.
    pub gateways: u32,
    /// The number of this one among them.
    pub gateway_id: GatewayId,
    /// The zone of this gateway.
    pub zone: ZoneId,
    /// How list changes arrive.
    pub discovery: DiscoveryMode,
    /// What listed weights mean.
    pub weights: WeightMode,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants, if there are any.
    pub tenants: Vec<Tenant>,
    /// Whether a connection's priority already grows with its load.
    pub priority_scales_with_load: bool,
    /// The shortest time between two batches of events.
    pub batch_interval: Span,
    /// Prices of actions.
    pub prices: Prices,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Longest Retry-After that a rejected client follows; zero where none is followed.
    pub max_retry_after: Span,
    /// Whether [`Action::CheckHealth`](super::Action::CheckHealth) is allowed.
    pub health_checks: bool,
    /// Whether [`Action::RequestPermit`](super::Action::RequestPermit) is answered.
    pub fleet_permits: bool,
    /// Whether [`Action::CancelAttempt`](super::Action::CancelAttempt) is allowed.
    pub cancellation: bool,
    /// After the client's deadline, how long a final answer still counts.
    pub answer_slack: Span,
    /// A gateway without a subscription has to know all that was listed this long ago.
    pub list_poll_limit: Span,
    /// A server that is draining or removed must get nothing new this long after that was known.
    pub drain_grace: Span,
    /// The share of its capacity that a server starts with, at least.
    pub initial_capacity_share: f64,
    /// A server has all of its capacity this long after its start, at most.
    pub warm_up_time: Span,
    /// A warming server is overloaded when sent more than this multiple of its present capacity...
    pub overload_factor: f64,
    /// ...for this long.
    pub overload_window: Span,
}

impl Settings {
    /// Returns settings of a single gateway in `zone` without limits, prices or classes: a base for embedders and tests
    /// to fill in.
    pub fn for_zone(zone: ZoneId) -> Self {
        Self {
            gateways: 1,
            gateway_id: GatewayId(0),
            zone,
            discovery: DiscoveryMode::Pushed,
            weights: WeightMode::Off,
            classes: Vec::new(),
            tenants: Vec::new(),
            priority_scales_with_load: false,
            batch_interval: Span::from_micros(1_000),
            prices: Prices::default(),
            max_attempts: 1,
            max_retry_after: Span::ZERO,
            health_checks: false,
            fleet_permits: false,
            cancellation: false,
            answer_slack: Span::ZERO,
            list_poll_limit: Span::from_micros(10_000_000),
            drain_grace: Span::from_micros(2_000_000),
            initial_capacity_share: 1.0,
            warm_up_time: Span::ZERO,
            overload_factor: 1.0,
            overload_window: Span::from_micros(1_000_000),
        }
    }
}
