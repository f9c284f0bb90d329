//! Retries: where a request may be attempted again, when, and its final answer.

use rand::Rng;

use super::Balancer;
use super::interface::{Action, DeduplicationScope, Idempotency, Outcome, RequestId, ServerId, Span, Time};
use super::request::PendingRequest;

/// Timeout of an attempt, as a share of the time left: as much remains for a second server.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.5;
/// First wait before a retry, as a share of the class's latency objective; doubles each time.
const RETRY_BACKOFF_BASE: f64 = 0.2;
const MAX_RETRY_BACKOFF_DOUBLINGS: u32 = 6;
/// Share of `answer_slack`, after the deadline, at which the final answer is given at the latest.
const ANSWER_MARGIN_SHARE: f64 = 0.5;

impl Balancer {
    /// Whether a request may be sent to a server now. Once it may have been executed, one with an idempotency key may
    /// be sent only to servers that recognise the key, while they do, and one that is not idempotent nowhere.
    pub(super) fn may_execute_on(&self, now: Time, request: &PendingRequest, server: ServerId) -> bool {
        let Some(first) = request.first_execution() else {
            return true;
        };
        match self.class(request.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey { scope, remembered_for } => {
                let is_remembered = now.since(first.sent_at) < remembered_for;
                is_remembered && self.shares_keys(scope, first.server, server)
            }
        }
    }

    /// Whether a server recognises the idempotency keys that another one has seen.
    fn shares_keys(&self, scope: DeduplicationScope, first: ServerId, other: ServerId) -> bool {
        let first = &self.server(first).endpoint;
        let other = &self.server(other).endpoint;
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.zone == other.zone,
            DeduplicationScope::Cell => first.cell == other.cell,
        }
    }

    /// Whether the attempt in flight may begin now: the servers may have forgotten its key since it was selected.
    pub fn may_begin_attempt(&self, now: Time, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            let attempt = request.attempt_in_flight();
            attempt.is_some_and(|attempt| self.may_execute_on(now, request, attempt.server))
        })
    }

    /// Whether trying again does no harm, whatever has been executed: only then may the request be rejected.
    pub fn is_safe_to_retry(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        match self.class(request.class).idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
            Idempotency::WithKey { .. } | Idempotency::NotIdempotent => {
                !request.may_have_been_executed() && !request.has_attempt_in_flight()
            }
        }
    }

    /// How long the next attempt of a request may take. It leaves time for a second server, except on the last attempt,
    /// and while connects are slow everywhere, when a retry would only add to it.
    pub(super) fn attempt_timeout(&self, now: Time, request: &PendingRequest) -> Span {
        let time_left = request.time_left(now);
        let class = self.class(request.class);
        let is_last = request.attempts() + 1 >= self.settings.max_attempts;
        if is_last || self.connect_window.is_congested() || class.idempotency == Idempotency::NotIdempotent {
            return time_left;
        }
        class.latency_objective.max(time_left.scale(ATTEMPT_TIMEOUT_SHARE)).min(time_left)
    }

    /// After a failed attempt, tries another server if the rules and the time allow it; else answers the request.
    pub(super) fn retry_or_answer(&mut self, now: Time, id: RequestId, outcome: Outcome) {
        if !self.may_retry(now, id, outcome) {
            return self.reject_or_fail(id);
        }
        // Other failures than of a connect may be common to all servers.
        if outcome != Outcome::ConnectError {
            let backoff = self.draw_retry_backoff(id);
            self.request_mut(id).postpone_until(now + backoff);
        }
        _ = self.place(now, id);
    }

    fn may_retry(&self, now: Time, id: RequestId, outcome: Outcome) -> bool {
        let request = &self.requests[&id];
        let has_attempts_left =
            request.attempts() < self.settings.max_attempts && outcome != Outcome::NotSent;
        let is_harmful = request.may_have_been_executed()
            && self.class(request.class).idempotency == Idempotency::NotIdempotent;
        has_attempts_left && !is_harmful && now < request.deadline()
    }

    /// A wait that doubles with each attempt, with jitter.
    fn draw_retry_backoff(&mut self, id: RequestId) -> Span {
        let request = &self.requests[&id];
        let base = self.class(request.class).latency_objective.scale(RETRY_BACKOFF_BASE);
        let doublings = (request.attempts() - 1).min(MAX_RETRY_BACKOFF_DOUBLINGS);
        let backoff = base.scale(f64::from(1 << doublings));
        backoff.scale(0.5 + self.rng.random::<f64>())
    }

    /// After the client's deadline, for how long an answer is still waited for.
    pub(super) fn answer_margin(&self) -> Span {
        self.settings.answer_slack.scale(ANSWER_MARGIN_SHARE)
    }

    /// Answers a request that is still open just past its deadline.
    pub(super) fn handle_deadline(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_answered()) else {
            return;
        };
        if request.has_attempt_in_flight() && self.settings.cancellation {
            let attempt = request.attempts() - 1;
            self.actions.push(Action::CancelAttempt { id, attempt });
        }
        self.reject_or_fail(id);
    }

    /// Gives the final answer to a request that was not served: a rejection where trying again does no harm, with a
    /// random time to wait; else a failure, which promises nothing.
    pub(super) fn reject_or_fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_answered()) else {
            return;
        };
        let has_attempt_in_flight = request.has_attempt_in_flight();
        if self.is_safe_to_retry(id) && !has_attempt_in_flight {
            let longest = self.settings.max_retry_after;
            let retry_after = longest.scale(self.rng.random());
            self.actions.push(Action::Reject { id, retry_after });
        } else {
            self.actions.push(Action::Fail { id });
        }
        self.finish_request(id);
    }

    /// Closes a request. Its record stays while an attempt is in flight, as that is still counted.
    pub(super) fn finish_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.mark_answered();
        if !request.has_attempt_in_flight() {
            self.requests.remove(&id);
        }
    }
}
