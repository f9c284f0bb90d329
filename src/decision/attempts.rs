//! Attempts and the connections established by them, from beginning to end, and the connection counts.

use super::Balancer;
use super::admission::is_fast_connect;
use super::interface::{Action, GroupId, Outcome, RequestId, ServerId, Span, Time};

impl Balancer {
    /// Begins an attempt: sends a request to a server.
    pub(super) fn begin_attempt(&mut self, now: Time, id: RequestId, server: ServerId) {
        let timeout = self.attempt_timeout(now, &self.requests[&id]);
        let permit = self.next_permit(now, server);
        self.server_mut(server).begin_attempt(permit);
        self.connect_window.begin();
        let request = self.request_mut(id);
        request.begin_attempt(now, server);
        let group = request.group;
        self.add_connection(server, group);
        self.actions.push(Action::Attempt { id, server, timeout });
    }

    /// Records that the connection of an attempt is established, which answers the request.
    pub(super) fn handle_established(&mut self, now: Time, id: RequestId, attempt: u32, elapsed: Span) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(server) = request.establish(attempt) else { return };
        let class = request.class;
        let is_fast = is_fast_connect(self.class(class).latency_objective, elapsed);
        self.record_connect(now, server, is_fast);
        self.record_success(server);
        self.place_queued(now);
    }

    pub(super) fn handle_load_changed(&mut self, id: RequestId, load: f64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.update_load(load);
        }
    }

    /// Ends an attempt or connection: updates the connection counts and the outlier state of the server, and
    /// retries the request if it is not done.
    pub(super) fn handle_attempt_ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        request_done: bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ended) = request.end_attempt(attempt, outcome) else { return };
        let group = request.group;
        let is_done = request.is_answered() || request_done;
        if !ended.established {
            self.record_failed_connect(now, ended.server, outcome);
        }
        if is_done {
            self.requests.remove(&id);
        }
        self.remove_connection(ended.server, group);
        self.record_outcome(now, ended.server, outcome, ended.established);
        if !is_done {
            self.retry_or_answer(now, id, outcome);
        }
        self.place_queued(now);
    }

    /// Removes a connect that was not successful from the connect window. Only failures and timeouts are
    /// signs of congestion.
    fn record_failed_connect(&mut self, now: Time, server: ServerId, outcome: Outcome) {
        match outcome {
            Outcome::Failed | Outcome::TimedOut => self.record_connect(now, server, false),
            _ => self.connect_window.end(),
        }
    }

    pub(super) fn add_connection(&mut self, server: ServerId, group: Option<GroupId>) {
        self.server_mut(server).add_connection();
        if let Some(group) = group {
            self.groups.add(group, server);
        }
    }

    fn remove_connection(&mut self, server: ServerId, group: Option<GroupId>) {
        self.server_mut(server).remove_connection();
        if let Some(group) = group {
            self.groups.remove(group, server);
        }
    }
}
