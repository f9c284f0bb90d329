//! Admission of requests: how many connects may be in flight, and the queue of those that have to wait.

use super::Balancer;
use super::interface::{Request, RequestId, ServerId, Span, Time};
use super::request::PendingRequest;
use super::timer::Timer;

/// Connects in flight to begin with, and at most: ample, until the first sign of congestion.
const INITIAL_CONNECT_WINDOW: f64 = 64.0;
/// The window grows by one for each window of fast connects, and shrinks to this share with each slow one.
const CONNECT_WINDOW_DECREASE: f64 = 0.9;
/// Connects are slow everywhere once the window has shrunk to this share.
const CONGESTED_WINDOW_SHARE: f64 = 0.5;
/// A connect is fast within this share of the class's latency objective.
const FAST_CONNECT_SHARE: f64 = 0.5;

/// Share of its time for which a request may be queued. The rest lets the client go elsewhere.
const MAX_QUEUE_TIME_SHARE: f64 = 0.5;
/// How often the queue is looked through, as a share of the shortest latency objective.
const QUEUE_RETRY_SHARE: f64 = 0.1;

/// Limits the connects in flight: additive increase, multiplicative decrease.
///
/// Connects share a store behind all servers, which fails more of them the more it is asked.
pub(super) struct ConnectWindow {
    size: f64,
    in_flight: u32,
}

impl ConnectWindow {
    pub(super) fn new() -> Self {
        Self { size: INITIAL_CONNECT_WINDOW, in_flight: 0 }
    }

    fn has_room(&self) -> bool {
        f64::from(self.in_flight) < self.size
    }

    pub(super) fn is_congested(&self) -> bool {
        self.size < INITIAL_CONNECT_WINDOW * CONGESTED_WINDOW_SHARE
    }

    pub(super) fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Takes out a connect that says nothing of congestion.
    pub(super) fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn grow(&mut self) {
        self.size = (self.size + 1.0 / self.size).min(INITIAL_CONNECT_WINDOW);
    }

    fn shrink(&mut self) {
        self.size = (self.size * CONNECT_WINDOW_DECREASE).max(1.0);
    }
}

/// Whether a connect that took this long counts as fast for a class of this latency objective.
pub(super) fn is_fast_connect(objective: Span, elapsed: Span) -> bool {
    elapsed < objective.scale(FAST_CONNECT_SHARE)
}

/// Requests that wait for a server, oldest first.
#[derive(Default)]
pub(super) struct RequestQueue {
    ids: Vec<RequestId>,
    timer_set: bool,
}

impl RequestQueue {
    fn push(&mut self, id: RequestId) {
        self.ids.push(id);
    }

    fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.ids)
    }

    /// Notes that the timer is set; returns whether it was not set before.
    fn arm_timer(&mut self) -> bool {
        !std::mem::replace(&mut self.timer_set, true)
    }

    fn disarm_timer(&mut self) {
        self.timer_set = false;
    }
}

/// What came of placing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placement {
    /// An attempt has begun, or a permit for one has been requested.
    Started,
    /// Queued for a reason of its own: others may still be placed.
    Postponed,
    /// Queued, as others would be: no connect may begin, or no server is eligible.
    Blocked,
}

impl Balancer {
    pub(super) fn handle_request(&mut self, now: Time, request: Request) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        self.requests.insert(id, PendingRequest::new(now, &request));
        let answer_due_at = now + request.time_left + self.answer_margin();
        self.set_timer(Timer::Deadline(id), answer_due_at);
        if request.time_left <= Span::ZERO {
            return self.reject_or_fail(id);
        }
        _ = self.place(now, id);
    }

    /// Counts a connection that was open before this module started.
    pub(super) fn handle_existing_connection(&mut self, now: Time, request: Request, server: ServerId) {
        let existing = PendingRequest::existing(now, &request, server);
        if self.is_listed(server) && self.requests.insert(request.id, existing).is_none() {
            self.add_connection(server, request.group);
        }
    }

    /// Begins an attempt on a selected server, or queues the request.
    pub(super) fn place(&mut self, now: Time, id: RequestId) -> Placement {
        if !self.connect_window.has_room() {
            self.enqueue(now, id);
            return Placement::Blocked;
        }
        if !self.requests[&id].is_retry_due(now) {
            self.enqueue(now, id);
            return Placement::Postponed;
        }
        // Taken out meanwhile, as it would be looked up for each sample.
        let request = std::mem::take(self.request_mut(id));
        let selected = self.select_server(now, &request);
        let is_restricted = request.may_have_been_executed();
        *self.request_mut(id) = request;
        match selected {
            Some(server) if self.needs_fleet_permit(now, server) => self.request_permit(id, server),
            Some(server) => self.begin_attempt(now, id, server),
            None => {
                self.enqueue(now, id);
                return if is_restricted { Placement::Postponed } else { Placement::Blocked };
            }
        }
        Placement::Started
    }

    fn enqueue(&mut self, now: Time, id: RequestId) {
        self.queue.push(id);
        if self.queue.arm_timer() {
            let objectives = self.settings.classes.iter().map(|class| class.latency_objective);
            let shortest = objectives.min().unwrap_or_default();
            let wait = shortest.scale(QUEUE_RETRY_SHARE).max(self.settings.batch_interval);
            self.set_timer(Timer::PlaceQueued, now + wait);
        }
    }

    pub(super) fn handle_queue_timer(&mut self, now: Time) {
        self.queue.disarm_timer();
        self.place_queued(now);
    }

    /// Tries queued requests again. Those that have waited for long are answered while the client still has time to go
    /// elsewhere. Once one is blocked, the others are not tried: there may be many.
    pub(super) fn place_queued(&mut self, now: Time) {
        let mut is_blocked = false;
        for id in self.queue.take_all() {
            let waiting = self.requests.get(&id).filter(|request| request.awaits_attempt());
            let Some(request) = waiting else { continue };
            if request.has_waited(now, MAX_QUEUE_TIME_SHARE) {
                self.reject_or_fail(id);
            } else if is_blocked {
                self.enqueue(now, id);
            } else {
                is_blocked = self.place(now, id) == Placement::Blocked;
            }
        }
    }

    /// Takes a connect out of the window. A slow one on a server that stands out says nothing of the others.
    pub(super) fn record_connect(&mut self, now: Time, server: ServerId, is_fast: bool) {
        self.connect_window.end();
        if is_fast || self.is_avoided(now, server) {
            self.connect_window.grow();
        } else {
            self.connect_window.shrink();
        }
    }
}
