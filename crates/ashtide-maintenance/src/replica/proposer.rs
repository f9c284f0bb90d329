//! The proposer's role: proposes what operators request and what is due.

use std::collections::VecDeque;
use std::time::Duration;

use ashtide_fleet::state::{Slot, mix};

use super::{Action, RETRANSMIT_INTERVAL, Replica, RequestOutcome};
use crate::message::Message;
use crate::paxos::{self, Ballot};
use crate::queue::{Change, ChangeRejected, MaintenanceQueue};
use crate::violation::Violation;

/// Operators' requests that wait at a gateway.
pub const MAX_PENDING_REQUESTS: usize = 16;
/// How long an operator's request is tried.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Changes of one proposal.
const MAX_CHANGES_PER_PROPOSAL: usize = 16;
/// How long a proposer that was rejected waits, in milliseconds: at least, and by how much more at random.
const NACK_BACKOFF_MS: u64 = 50;
const NACK_JITTER_MS: u64 = 350;

/// An operator's request.
struct ClientRequest {
    change: Change,
    request_id: u64,
    expires_at: Duration,
}

/// A proposal, what it is to change, and whether each change was applied.
pub(super) struct ProposalAttempt {
    proposal: paxos::Proposal,
    changes: Vec<Change>,
    results: Vec<Result<(), ChangeRejected>>,
}

/// Since when changes that any gateway may propose have been due, for one version of the queue.
#[derive(Clone, Copy)]
struct DueSince {
    version: u64,
    since: Duration,
}

/// The proposals of this gateway.
#[derive(Default)]
pub(super) struct Proposer {
    pub(super) attempt: Option<ProposalAttempt>,
    retransmit_at: Duration,
    highest_round: u32,
    propose_not_before: Duration,
    pending_requests: VecDeque<ClientRequest>,
    request_count: u64,
    due_since: Option<DueSince>,
}

impl Proposer {
    pub(super) fn note_round(&mut self, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
    }

    /// Gives a proposal up that has taken too long.
    pub(super) fn give_up_after(&mut self, timeout: Duration, now: Duration) {
        if self.attempt.as_ref().is_some_and(|attempt| now >= attempt.proposal.started_at + timeout) {
            self.attempt = None;
        }
    }

    /// Removes the requests that have been tried for too long.
    fn take_expired_requests(&mut self, now: Duration) -> VecDeque<ClientRequest> {
        let requests = std::mem::take(&mut self.pending_requests);
        let (expired, pending) = requests.into_iter().partition(|request| request.expires_at <= now);
        self.pending_requests = pending;
        expired
    }

    fn take_request(&mut self, request_id: u64) -> Option<ClientRequest> {
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
            let what = "the list of calls that wait";
            return Err(Violation::OverFull { what, found, capacity: MAX_PENDING_REQUESTS });
        }
        Ok(())
    }
}

impl Replica {
    /// Queues an operator's request; none where [`MAX_PENDING_REQUESTS`] wait already.
    pub(super) fn enqueue_request(&mut self, change: impl FnOnce(u64) -> Change) -> Option<u64> {
        if self.proposer.pending_requests.len() >= MAX_PENDING_REQUESTS {
            return None;
        }
        self.proposer.request_count += 1;
        let source = mix(self.incarnation, u64::from(self.config.own_slot.0));
        let request_id = mix(source, self.proposer.request_count);
        self.proposer.pending_requests.push_back(ClientRequest {
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
            self.begin_proposal(changes);
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

    fn begin_proposal(&mut self, changes: Vec<Change>) {
        self.proposer.highest_round = self.proposer.highest_round.saturating_add(1);
        let ballot = Ballot {
            round: self.proposer.highest_round,
            slot: self.config.own_slot.0,
            incarnation: self.incarnation,
        };
        let acceptors = self.config.acceptors.iter().copied();
        #[allow(unused_mut)] // Only a mutation changes it.
        let mut proposal = paxos::Proposal::new(ballot, self.now, acceptors);
        #[cfg(feature = "mutation")]
        proposal.set_quorum(self.quorum());
        self.metrics.proposals += 1;
        self.proposer.attempt = Some(ProposalAttempt { proposal, changes, results: Vec::new() });
        self.proposer.retransmit_at = self.observed_time + RETRANSMIT_INTERVAL;
        self.send_to_acceptors(&Message::Prepare { ballot });
    }

    /// Asks those acceptors again that have not answered.
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
            self.log(&format!("a change of {name} under an old token was rejected"));
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
    /// The machines of changes that were rejected because of an old token.
    fn fenced_machines(&self) -> Vec<String> {
        let results = self.changes.iter().zip(&self.results);
        let fenced = results.filter(|(_, result)| **result == Err(ChangeRejected::Fenced));
        fenced.map(|(change, _)| change.machine_name().unwrap_or_default().to_owned()).collect()
    }
}
