//! Drives one decision module by hand-written events.

use ashtide::*;

pub const SECOND: i64 = 1_000_000;

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

/// A module with all of its actions so far.
pub struct Gateway {
    pub module: Balancer,
    pub actions: Vec<Action>,
}

impl Gateway {
    pub fn new(settings: Settings, servers: u32) -> Self {
        let mut gateway = Self { module: Balancer::new(settings, 1), actions: Vec::new() };
        gateway.list(0.0, ListUpdate::Snapshot, (0..servers).map(endpoint).collect());
        gateway
    }

    pub fn event(&mut self, now: f64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.handle(time_at(now), event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn list(&mut self, now: f64, update: ListUpdate, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.event(now, Event::EndpointList { update, entries })
    }

    pub fn request(&mut self, now: f64, id: u32) -> Option<ServerId> {
        attempt(&self.event(now, Event::Request(request(id))))
    }

    pub fn ended(&mut self, now: f64, id: u32, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let request_done = outcome == Outcome::Ok;
        self.event(now, Event::AttemptEnded { id: RequestId(id), attempt, outcome, request_done })
    }

    pub fn established(&mut self, now: f64, id: u32, attempt: u32) {
        let elapsed = Span::from_micros(10_000);
        self.event(now, Event::Established { id: RequestId(id), attempt, elapsed });
    }
}

pub fn attempt(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Attempt { server, .. } => Some(*server),
        _ => None,
    })
}

/// A gateway with `each` established connections on every server, placed at second `now`.
pub fn filled(settings: Settings, servers: u32, each: u32, now: f64) -> Gateway {
    let mut gateway = Gateway::new(settings, servers);
    for id in 0..servers * each {
        let existing =
            Event::ExistingConnection { request: request(100_000 + id), server: ServerId(id % servers) };
        gateway.event(now, existing);
    }
    gateway
}

pub fn slow(server: u32, response_ms: i64) -> Event {
    Event::SlowResponses { server: ServerId(server), response_time: Span::from_micros(response_ms * 1_000) }
}
