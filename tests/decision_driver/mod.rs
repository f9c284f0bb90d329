//! Driver for tests that send hand-written events to one decision module.

use ashtide::*;

/// One second in microseconds.
pub const SECOND: i64 = 1_000_000;

/// Id of the first connection that exists from the start in [`gateway_with_connections`].
pub const FIRST_EXISTING_ID: u32 = 100_000;

/// Returns the point in time `seconds` after the clock's origin.
pub fn time_at(seconds: f64) -> Time {
    Time::from_micros((seconds * 1e6) as i64)
}

pub fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        classes: vec![RequestClass {
            latency_objective: Span::from_micros(SECOND / 2),
            message_latency_objective: Span::from_micros(SECOND / 10),
            priority_weight: 1.0,
            idempotency,
        }],
        max_attempts: 3,
        answer_slack: Span::from_micros(20_000),
        cancellation: true,
        warm_up_time: Span::from_micros(8 * SECOND),
        initial_capacity_share: 0.3,
        overload_factor: 2.5,
        ..Settings::for_zone(ZoneId(0))
    }
}

pub fn endpoint(number: u32) -> EndpointEntry {
    EndpointEntry::ready(ServerId(number), ZoneId(0))
}

pub fn request(id: u32) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        group: None,
        time_left: Span::from_micros(2 * SECOND),
        load: None,
    }
}

/// Decision module of one gateway, with all of its actions so far.
pub struct Gateway {
    pub module: Balancer,
    pub actions: Vec<Action>,
}

impl Gateway {
    /// Creates a gateway whose endpoint list contains this number of ready servers.
    pub fn new(settings: Settings, servers: u32) -> Self {
        let mut gateway = Self { module: Balancer::new(settings, 1), actions: Vec::new() };
        gateway.list(0.0, ListUpdate::Snapshot, (0..servers).map(endpoint).collect());
        gateway
    }

    /// Sends an event at second `now`, and returns the actions in response.
    pub fn event(&mut self, now: f64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.handle(time_at(now), event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Sends an update of the endpoint list, and returns the actions in response.
    pub fn list(&mut self, now: f64, update: ListUpdate, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.event(now, Event::EndpointList { update, entries })
    }

    /// Sends a request, and returns the server to which the module sends it; `None` if the request is queued.
    pub fn request(&mut self, now: f64, id: u32) -> Option<ServerId> {
        attempted_server(&self.event(now, Event::Request(request(id))))
    }

    /// Reports the end of an attempt or connection, and returns the actions in response.
    pub fn ended(&mut self, now: f64, id: u32, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let request_done = outcome == Outcome::Ok;
        self.event(now, Event::AttemptEnded { id: RequestId(id), attempt, outcome, request_done })
    }

    /// Reports that an attempt was established after 10 ms.
    pub fn established(&mut self, now: f64, id: u32, attempt: u32) {
        let elapsed = Span::from_micros(10_000);
        self.event(now, Event::Established { id: RequestId(id), attempt, elapsed });
    }
}

/// Returns the server of the first attempt among the actions; `None` if they contain no attempt.
pub fn attempted_server(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Attempt { server, .. } => Some(*server),
        _ => None,
    })
}

/// Returns a gateway that has `connections_per_server` established connections to every server from second `now` on.
/// The ids of the connections begin at [`FIRST_EXISTING_ID`] and are assigned to the servers in turn.
pub fn gateway_with_connections(
    settings: Settings,
    servers: u32,
    connections_per_server: u32,
    now: f64,
) -> Gateway {
    let mut gateway = Gateway::new(settings, servers);
    for index in 0..servers * connections_per_server {
        let request = request(FIRST_EXISTING_ID + index);
        gateway.event(now, Event::ExistingConnection { request, server: ServerId(index % servers) });
    }
    gateway
}

/// Returns a report that a server's responses take `response_ms` milliseconds.
pub fn response_time_report(server: u32, response_ms: i64) -> Event {
    Event::SlowResponses { server: ServerId(server), response_time: Span::from_micros(response_ms * 1_000) }
}
