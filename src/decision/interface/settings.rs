//! The settings of a gateway.

use super::{GatewayId, Span, ZoneId};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated on any server.
    Idempotent,
    /// The request has an idempotency key. Some servers recognise a repeat by the key for a limited time, and
    /// drop it.
    WithKey {
        /// Servers that recognise the key.
        scope: DeduplicationScope,
        /// Idempotency window: the time for which they recognise the key, from the sending of the first
        /// attempt that may have been executed.
        remembered_for: Span,
    },
    /// The request must not be repeated once an attempt may have been executed.
    NotIdempotent,
}

/// Servers that recognise the idempotency key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers recognise the key, in every zone and cell.
    All,
    /// The servers in the zone of the first server that may have executed the request recognise the key.
    Zone,
    /// The servers in the cell of the first server that may have executed the request recognise the key.
    Cell,
}

/// Class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Time within which a connection is to be established.
    pub latency_objective: Span,
    /// Time within which a message on the connection is to be answered; zero if the class states no
    /// objective.
    pub message_latency_objective: Span,
    /// Priority weight of a request, or of one second of its connection, relative to other classes.
    pub priority_weight: f64,
    /// Whether requests of the class may be executed more than once.
    pub idempotency: Idempotency,
}

/// Tenant that shares the fleet with others. Only the sum of all quotas is used, to estimate the number of
/// connections that fill a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Quota of requests per second over all gateways.
    pub quota_per_s: f64,
    /// Quota of open connections over all gateways; zero if the tenant has no such quota.
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

/// Meaning of a server's weight in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMode {
    /// Weights have no meaning: all are equal.
    Off,
    /// The weight is the server's registered or approximate capacity.
    Nominal,
    /// The weight is the server's capacity divided by one plus its requests in progress per core, with a
    /// short delay.
    Live,
}

/// Prices that the simulator subtracts from the result of a run for each action, as a share of the total
/// result.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// Price of each attempt that crosses zones, per first attempt.
    pub cross_zone: f64,
    /// Price of each health check, per first attempt.
    pub health_check: f64,
    /// Price of each migrated connection, per first attempt.
    pub migration: f64,
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gateways in the fleet.
    pub gateways: u32,
    /// Id of this gateway within the fleet.
    pub gateway_id: GatewayId,
    /// Zone of this gateway.
    pub zone: ZoneId,
    /// How changes of the endpoint list arrive.
    pub discovery: DiscoveryMode,
    /// Meaning of the weights in the endpoint list.
    pub weights: WeightMode,
    /// Request classes, indexed by [`ClassId`](super::ClassId).
    pub classes: Vec<RequestClass>,
    /// Tenants, indexed by [`TenantId`](super::TenantId); may be empty.
    pub tenants: Vec<Tenant>,
    /// Whether the priority of a connection already grows with its load.
    pub priority_scales_with_load: bool,
    /// Minimum time between two batches of events.
    pub batch_interval: Span,
    /// Prices of operations, which the decision module takes into account.
    pub prices: Prices,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Longest Retry-After that rejected clients follow; zero if they follow none.
    pub max_retry_after: Span,
    /// Whether [`Action::CheckHealth`](super::Action::CheckHealth) is allowed.
    pub health_checks: bool,
    /// Whether [`Action::RequestPermit`](super::Action::RequestPermit) is answered.
    pub fleet_permits: bool,
    /// Whether [`Action::CancelAttempt`](super::Action::CancelAttempt) is allowed.
    pub cancellation: bool,
    /// Time after the client's deadline within which a final answer still counts.
    pub answer_slack: Span,
    /// Maximum age of the endpoint list at a gateway without a subscription: the gateway must know every
    /// change that was listed at least this long ago.
    pub list_poll_limit: Span,
    /// Time after which a server that is known to be draining or removed must receive no new connections.
    pub drain_grace: Span,
    /// Minimum share of its capacity that a server has at its start, from 0 to 1.
    pub initial_capacity_share: f64,
    /// Maximum time from a server's start until it has its full capacity.
    pub warm_up_time: Span,
    /// Multiple of its present capacity above which a warming server is overloaded, if sent for
    /// `overload_window`.
    pub overload_factor: f64,
    /// Time after which a warming server that is sent more than `overload_factor` allows is overloaded.
    pub overload_window: Span,
}

impl Settings {
    /// Returns settings of a single gateway in `zone`, without limits, prices or classes, as a base for
    /// embedders and tests.
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
