//! Admission of requests: the limit of connects in flight, and the queue of the requests that have to wait.

use super::Balancer;
use super::interface::{Request, RequestId, ServerId, Span, Time};
use super::request::PendingRequest;
use super::timer::Timer;

/// Initial and maximum size of the connect window, in connects in flight. The size is ample, since there is
/// no congestion until the first slow connect.
const INITIAL_CONNECT_WINDOW: f64 = 64.0;
/// Factor by which the connect window shrinks with each slow connect. With each window of fast connects it
/// grows by one.
const CONNECT_WINDOW_DECREASE: f64 = 0.9;
/// Share of its initial size below which the connect window indicates slow connects on all servers.
const CONGESTED_WINDOW_SHARE: f64 = 0.5;
/// Time below which a connect counts as fast, as a share of the class's latency objective.
const FAST_CONNECT_SHARE: f64 = 0.5;

/// Longest time for which a request is queued, as a share of the time from its arrival to its deadline. The
/// rest of the time lets the client try another gateway.
const MAX_QUEUE_TIME_SHARE: f64 = 0.5;
/// Interval at which queued requests are tried again, as a share of the shortest latency objective.
const QUEUE_RETRY_SHARE: f64 = 0.1;

/// Limit of the connects in flight, with additive increase and multiplicative decrease.
///
/// All servers use a common store for connects. The more connects it has to handle, the more of them fail.
pub(super) struct ConnectWindow {
    /// Maximum number of connects in flight; not an integer, since it grows by fractions.
    size: f64,
    /// Number of connects in flight.
    in_flight: u32,
}

impl ConnectWindow {
    pub(super) fn new() -> Self {
        Self { size: INITIAL_CONNECT_WINDOW, in_flight: 0 }
    }

    fn has_capacity(&self) -> bool {
        f64::from(self.in_flight) < self.size
    }

    pub(super) fn is_congested(&self) -> bool {
        self.size < INITIAL_CONNECT_WINDOW * CONGESTED_WINDOW_SHARE
    }

    pub(super) fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Removes a connect from the window without changing the window's size.
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

/// Checks whether a connect that took `elapsed` counts as fast for a class with this latency objective.
pub(super) fn is_fast_connect(objective: Span, elapsed: Span) -> bool {
    elapsed < objective.scale(FAST_CONNECT_SHARE)
}

/// Queue of the requests that wait for a server, oldest first.
#[derive(Default)]
pub(super) struct RequestQueue {
    ids: Vec<RequestId>,
    /// Whether a timer is set that tries the queued requests again.
    timer_set: bool,
}

impl RequestQueue {
    fn push(&mut self, id: RequestId) {
        self.ids.push(id);
    }

    fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.ids)
    }

    /// Records that the queue timer is set; returns `true` if it was not set before.
    fn arm_timer(&mut self) -> bool {
        !std::mem::replace(&mut self.timer_set, true)
    }

    fn disarm_timer(&mut self) {
        self.timer_set = false;
    }
}

/// Result of placing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placement {
    /// An attempt has begun, or a permit for an attempt has been requested.
    Started,
    /// The request was queued for a reason that applies to this request only. Other requests may still be
    /// placed.
    Postponed,
    /// The request was queued for a reason that applies to all requests: the connect window is full, or no
    /// server is eligible.
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

    /// Records a connection that was open before the decision module started.
    pub(super) fn handle_existing_connection(&mut self, now: Time, request: Request, server: ServerId) {
        let existing = PendingRequest::existing(now, &request, server);
        if self.is_listed(server) && self.requests.insert(request.id, existing).is_none() {
            self.add_connection(server, request.group);
        }
    }

    /// Selects a server for a request, and begins an attempt or requests a permit for it. Queues the request
    /// if neither is possible now.
    pub(super) fn place(&mut self, now: Time, id: RequestId) -> Placement {
        if !self.connect_window.has_capacity() {
            self.enqueue(now, id);
            return Placement::Blocked;
        }
        if !self.requests[&id].is_retry_due(now) {
            self.enqueue(now, id);
            return Placement::Postponed;
        }
        // The request is moved out of the map during the selection, to avoid a look-up for each sample.
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

    /// Tries to place queued requests. Requests that have waited too long receive their final answer while
    /// the client still has time to try another gateway. Once one request is blocked, the others are not
    /// tried, since there may be many.
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

    /// Removes a connect from the connect window and adjusts the window's size. A slow connect to an avoided
    /// server is no sign of congestion at the other servers, so it counts like a fast one.
    pub(super) fn record_connect(&mut self, now: Time, server: ServerId, is_fast: bool) {
        self.connect_window.end();
        if is_fast || self.is_avoided(now, server) {
            self.connect_window.grow();
        } else {
            self.connect_window.shrink();
        }
    }
}
