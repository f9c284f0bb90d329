//! Proposer role of a replica: proposes the requests of operators and the changes that are due.

use std::collections::VecDeque;
use std::time::Duration;

use ashtide_fleet::state::{Slot, mix};

use super::{Action, RETRANSMIT_INTERVAL, Replica, RequestOutcome};
use crate::message::Message;
use crate::paxos::{self, Ballot};
use crate::queue::{Change, ChangeRejected, MaintenanceQueue};
use crate::violation::Violation;

/// Maximum number of operators' requests that are pending at a gateway.
pub const MAX_PENDING_REQUESTS: usize = 16;
/// Time after which a pending operator's request ends with [`RequestOutcome::Unknown`].
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of changes in one proposal.
const MAX_CHANGES_PER_PROPOSAL: usize = 16;
/// Minimum backoff of a proposer after a rejection, in milliseconds.
const NACK_BACKOFF_MS: u64 = 50;
/// Exclusive upper bound of the random time added to the backoff, in milliseconds.
const NACK_JITTER_MS: u64 = 350;

/// Pending request of an operator.
struct OperatorRequest {
    change: Change,
    request_id: u64,
    expires_at: Duration,
}

/// Proposal in progress.
pub(super) struct ProposalAttempt {
    proposal: paxos::Proposal,
    changes: Vec<Change>,
    /// Result of each change, in the order of `changes`. Empty before a majority has promised.
    results: Vec<Result<(), ChangeRejected>>,
}

/// Period during which changes that any acceptor may propose have been due.
#[derive(Clone, Copy)]
struct DueSince {
    /// Version of the queue in which the changes are due.
    version: u64,
    /// Observed time at which the first change became due.
    since: Duration,
}

/// Proposals of this gateway.
#[derive(Default)]
pub(super) struct Proposer {
    pub(super) attempt: Option<ProposalAttempt>,
    retransmit_at: Duration,
    highest_round: u32,
    propose_not_before: Duration,
    pending_requests: VecDeque<OperatorRequest>,
    request_count: u64,
    due_since: Option<DueSince>,
}

impl Proposer {
    pub(super) fn note_round(&mut self, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
    }

    /// Cancels the proposal if it has not been chosen within `timeout`.
    pub(super) fn cancel_expired(&mut self, timeout: Duration, now: Duration) {
        if self.attempt.as_ref().is_some_and(|attempt| now >= attempt.proposal.started_at + timeout) {
            self.attempt = None;
        }
    }

    /// Removes and returns the expired requests.
    fn take_expired_requests(&mut self, now: Duration) -> VecDeque<OperatorRequest> {
        let requests = std::mem::take(&mut self.pending_requests);
        let (expired, pending) = requests.into_iter().partition(|request| request.expires_at <= now);
        self.pending_requests = pending;
        expired
    }

    fn take_request(&mut self, request_id: u64) -> Option<OperatorRequest> {
        let index = self.pending_requests.iter().position(|request| request.request_id == request_id)?;
        self.pending_requests.remove(index)
    }

    fn track_due(&mut self, version: u64, has_due: bool, now: Duration) {
        if !has_due {
            self.due_since = None;
        } else if self.due_since.is_none_or(|due| due.version != version) {
            self.due_since = Some(DueSince { version, since: now });
        }
    }

    pub(super) fn check(&self) -> Result<(), Violation> {
        let found = self.pending_requests.len();
        if found > MAX_PENDING_REQUESTS {
            let what = "the list of pending requests";
            return Err(Violation::OverFull { what, found, capacity: MAX_PENDING_REQUESTS });
        }
        Ok(())
    }
}

impl Replica {
    /// Adds an operator's request to the pending ones. Returns the request id, or `None` if
    /// [`MAX_PENDING_REQUESTS`] requests are pending.
    pub(super) fn enqueue_request(&mut self, change: impl FnOnce(u64) -> Change) -> Option<u64> {
        if self.proposer.pending_requests.len() >= MAX_PENDING_REQUESTS {
            return None;
        }
        self.proposer.request_count += 1;
        let source = mix(self.incarnation, u64::from(self.config.own_slot.0));
        let request_id = mix(source, self.proposer.request_count);
        self.proposer.pending_requests.push_back(OperatorRequest {
            change: change(request_id),
            request_id,
            expires_at: self.observed_time + REQUEST_TIMEOUT,
        });
        Some(request_id)
    }

    pub(super) fn propose(&mut self) {
        for request in self.proposer.take_expired_requests(self.observed_time) {
            self.answer(request.request_id, RequestOutcome::Unknown);
        }
        if self.proposer.attempt.is_some() {
            self.retransmit();
            return;
        }
        let changes = self.changes_to_propose();
        if !changes.is_empty() && self.observed_time >= self.proposer.propose_not_before {
            self.start_proposal(changes);
        }
    }

    fn answer(&mut self, request_id: u64, outcome: RequestOutcome) {
        self.actions.push_back(Action::Answer { request_id, outcome });
    }

    fn changes_to_propose(&mut self) -> Vec<Change> {
        let requests = self.proposer.pending_requests.iter();
        let mut changes: Vec<Change> = requests.map(|request| request.change.clone()).collect();
        if self.config.is_acceptor() && (self.has_lease() || self.reader.is_split()) {
            let due = self.due_changes();
            let version = self.leased_state.queue().version;
            self.proposer.track_due(version, !due.by_any.is_empty(), self.observed_time);
            changes.extend(due.by_holder);
            if self.proposer.due_since.is_some_and(|due| self.may_take_over(due.since)) {
                changes.extend(due.by_any);
            }
        }
        changes.truncate(MAX_CHANGES_PER_PROPOSAL);
        changes
    }

    fn start_proposal(&mut self, changes: Vec<Change>) {
        self.proposer.highest_round = self.proposer.highest_round.saturating_add(1);
        let ballot = Ballot {
            round: self.proposer.highest_round,
            slot: self.config.own_slot.0,
            incarnation: self.incarnation,
        };
        let acceptors = self.config.acceptors.iter().copied();
        #[allow(unused_mut)] // Modified only with the feature `mutation`.
        let mut proposal = paxos::Proposal::new(ballot, self.now, acceptors);
        #[cfg(feature = "mutation")]
        proposal.set_quorum(self.quorum());
        self.metrics.proposals += 1;
        self.proposer.attempt = Some(ProposalAttempt { proposal, changes, results: Vec::new() });
        self.proposer.retransmit_at = self.observed_time + RETRANSMIT_INTERVAL;
        self.send_to_acceptors(&Message::Prepare { ballot });
    }

    /// Sends the current message again to acceptors that have not answered.
    fn retransmit(&mut self) {
        let Some(ProposalAttempt { proposal, .. }) = &self.proposer.attempt else { return };
        if self.observed_time < self.proposer.retransmit_at {
            return;
        }
        let ballot = proposal.ballot;
        let unanswered: Vec<Slot> = proposal.unanswered().collect();
        let message = match proposal.proposed() {
            Some(queue) => Message::Accept { ballot, queue: queue.clone() },
            None => Message::Prepare { ballot },
        };
        self.proposer.retransmit_at = self.observed_time + RETRANSMIT_INTERVAL;
        for acceptor in unanswered {
            self.send(acceptor, message.clone());
        }
    }

    pub(super) fn handle_promise(
        &mut self,
        from: Slot,
        ballot: Ballot,
        accepted: Ballot,
        queue: MaintenanceQueue,
    ) {
        self.proposer.note_round(accepted);
        let Some(attempt) = &mut self.proposer.attempt else { return };
        let Some(mut queue) = attempt.proposal.handle_promise(from, ballot, accepted, queue) else { return };
        let limits = &self.config.limits;
        let ready = &self.observations.ready_servers;
        let apply = |change: &Change| queue.apply_mutated(change, limits, ready, self.mutation);
        attempt.results = attempt.changes.iter().map(apply).collect();
        attempt.proposal.propose(queue.clone());
        let fenced = attempt.fenced_machines();
        self.metrics.fenced += fenced.len() as u64;
        for name in fenced {
            self.log(&format!("change of {name} rejected: its fencing token is outdated"));
        }
        self.proposer.retransmit_at = self.observed_time + RETRANSMIT_INTERVAL;
        self.send_to_acceptors(&Message::Accept { ballot, queue });
    }

    pub(super) fn handle_accepted(&mut self, from: Slot, ballot: Ballot) {
        let Some(attempt) = &mut self.proposer.attempt else { return };
        if attempt.proposal.handle_accepted(from, ballot) {
            self.handle_chosen();
        }
    }

    fn handle_chosen(&mut self) {
        let Some(ProposalAttempt { proposal, changes, results }) = self.proposer.attempt.take() else {
            return;
        };
        self.metrics.chosen += 1;
        let Some(queue) = proposal.proposed().cloned() else { return };
        self.remember_value(proposal.ballot, queue.clone());
        for (change, result) in changes.iter().zip(results) {
            let request = change.request_id().and_then(|id| self.proposer.take_request(id));
            if let Some(request) = request {
                let outcome = result.map_or_else(RequestOutcome::Rejected, |()| RequestOutcome::Committed);
                self.answer(request.request_id, outcome);
            }
        }
        self.learn_chosen(proposal.started_at, &queue);
    }

    pub(super) fn handle_nack(&mut self, ballot: Ballot, promised: Ballot) {
        self.proposer.note_round(promised);
        let is_current =
            self.proposer.attempt.as_ref().is_some_and(|attempt| attempt.proposal.ballot == ballot);
        if is_current {
            self.proposer.attempt = None;
            let backoff = Duration::from_millis(NACK_BACKOFF_MS + self.random_below(NACK_JITTER_MS));
            self.proposer.propose_not_before = self.observed_time + backoff;
        }
    }
}

impl ProposalAttempt {
    /// Returns the names of the machines whose changes were rejected because of an outdated fencing token.
    fn fenced_machines(&self) -> Vec<String> {
        let results = self.changes.iter().zip(&self.results);
        let fenced = results.filter(|(_, result)| **result == Err(ChangeRejected::Fenced));
        fenced.map(|(change, _)| change.machine_name().unwrap_or_default().to_owned()).collect()
    }
}
