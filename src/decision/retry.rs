//! Retries: the servers on which a request may be attempted again, the time of the next attempt, and the
//! final answer.

use rand::Rng;

use super::Balancer;
use super::interface::{Action, DeduplicationScope, Idempotency, Outcome, RequestId, ServerId, Span, Time};
use super::request::PendingRequest;

/// Timeout of an attempt, as a share of the time left. The same time remains for an attempt on a second
/// server.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.5;
/// First wait before a retry, as a share of the class's latency objective. The wait doubles with each
/// attempt.
const RETRY_BACKOFF_BASE_SHARE: f64 = 0.2;
/// Maximum number of doublings of the wait before a retry.
const MAX_RETRY_BACKOFF_DOUBLINGS: u32 = 6;
/// Latest time after the deadline at which the final answer is sent, as a share of `answer_slack`.
const ANSWER_MARGIN_SHARE: f64 = 0.5;

impl Balancer {
    /// Checks whether a request may be sent to a server now. After a request may have been executed, it may
    /// be sent to any server if it is idempotent, and to no server if it is not. If it has an idempotency
    /// key, it may be sent to servers that recognise the key, within the idempotency window.
    pub(super) fn may_execute_on(&self, now: Time, request: &PendingRequest, server: ServerId) -> bool {
        let Some(first) = request.first_possible_execution() else {
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

    /// Checks whether the server `other` recognises the idempotency keys that the server `first` has seen.
    fn shares_keys(&self, scope: DeduplicationScope, first: ServerId, other: ServerId) -> bool {
        let first = &self.server(first).endpoint;
        let other = &self.server(other).endpoint;
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.zone == other.zone,
            DeduplicationScope::Cell => first.cell == other.cell,
        }
    }

    /// Checks whether the attempt in flight may begin now. The idempotency window may have ended since its
    /// server was selected.
    pub fn may_begin_attempt(&self, now: Time, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            let attempt = request.attempt_in_flight();
            attempt.is_some_and(|attempt| self.may_execute_on(now, request, attempt.server))
        })
    }

    /// Checks whether the client may send the request again without harm, regardless of what has been
    /// executed so far. Only then may the request be rejected.
    pub fn is_safe_to_retry(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        match self.class(request.class).idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => true,
            Idempotency::WithKey { .. } | Idempotency::NotIdempotent => {
                !request.may_have_been_executed() && !request.has_attempt_in_flight()
            }
        }
    }

    /// Returns the timeout of the next attempt of a request. The timeout leaves time for an attempt on a
    /// second server, with three exceptions: on the last attempt, for requests that are not idempotent, and
    /// while connects are slow on all servers, since a retry would add to the congestion.
    pub(super) fn attempt_timeout(&self, now: Time, request: &PendingRequest) -> Span {
        let time_left = request.time_left(now);
        let class = self.class(request.class);
        let is_last = request.attempts() + 1 >= self.settings.max_attempts;
        if is_last || self.connect_window.is_congested() || class.idempotency == Idempotency::NotIdempotent {
            return time_left;
        }
        class.latency_objective.max(time_left.scale(ATTEMPT_TIMEOUT_SHARE)).min(time_left)
    }

    /// Handles the end of an attempt that was not successful: tries to place the request again if its
    /// idempotency, the attempts left and the deadline allow a retry, and sends the final answer otherwise.
    pub(super) fn retry_or_answer(&mut self, now: Time, id: RequestId, outcome: Outcome) {
        if !self.may_retry(now, id, outcome) {
            return self.reject_or_fail(id);
        }
        // The cause of any other failure than a connect error may affect all servers, so the retry is
        // delayed.
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
        let may_execute_twice = request.may_have_been_executed()
            && self.class(request.class).idempotency == Idempotency::NotIdempotent;
        has_attempts_left && !may_execute_twice && now < request.deadline()
    }

    /// Draws the wait before a retry, which doubles with each attempt and has jitter.
    fn draw_retry_backoff(&mut self, id: RequestId) -> Span {
        let request = &self.requests[&id];
        let base = self.class(request.class).latency_objective.scale(RETRY_BACKOFF_BASE_SHARE);
        let doublings = (request.attempts() - 1).min(MAX_RETRY_BACKOFF_DOUBLINGS);
        let backoff = base.scale(f64::from(1 << doublings));
        backoff.scale(0.5 + self.rng.random::<f64>())
    }

    /// Returns the time after the client's deadline for which the result of an attempt is still awaited.
    pub(super) fn answer_margin(&self) -> Span {
        self.settings.answer_slack.scale(ANSWER_MARGIN_SHARE)
    }

    /// Sends the final answer to a request that is still unanswered shortly after its deadline.
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

    /// Sends the final answer to a request that was not served. If the client may send the request again
    /// without harm, the answer is a rejection with a random Retry-After. Otherwise it is a failure, which
    /// leaves open whether the request was executed.
    pub(super) fn reject_or_fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_answered()) else {
            return;
        };
        let has_attempt_in_flight = request.has_attempt_in_flight();
        if self.is_safe_to_retry(id) && !has_attempt_in_flight {
            let retry_after = self.settings.max_retry_after.scale(self.rng.random());
            self.actions.push(Action::Reject { id, retry_after });
        } else {
            self.actions.push(Action::Fail { id });
        }
        self.finish_request(id);
    }

    /// Marks a request as answered. Its state is retained while an attempt is in flight, since the attempt
    /// still counts as a connection.
    pub(super) fn finish_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.mark_answered();
        if !request.has_attempt_in_flight() {
            self.requests.remove(&id);
        }
    }
}
