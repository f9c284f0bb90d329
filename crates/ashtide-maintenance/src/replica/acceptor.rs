//! Acceptor role of a replica: votes, and answers reads and catch-up requests.

use ashtide_fleet::state::Slot;

use super::{Action, Replica};
use crate::message::Message;
use crate::mutation::Mutation;
use crate::paxos::Ballot;
use crate::queue::MaintenanceQueue;

impl Replica {
    pub(super) fn handle_prepare(&mut self, from: Slot, ballot: Ballot) {
        let Some(acceptor) = &mut self.acceptor else { return };
        let answer = match acceptor.prepare(ballot) {
            Ok(has_changed) => {
                let state = acceptor.state();
                let accepted = state.accepted;
                let queue = state.queue.clone();
                self.persist_if_changed(has_changed);
                Message::Promise { ballot, accepted, queue }
            }
            Err(stale) => Message::Nack { ballot, promised: stale.0 },
        };
        self.send(from, answer);
    }

    pub(super) fn handle_accept(&mut self, from: Slot, ballot: Ballot, queue: &MaintenanceQueue) {
        let Some(acceptor) = &mut self.acceptor else { return };
        let answer = match acceptor.accept(ballot, queue) {
            Ok(has_changed) => {
                self.persist_if_changed(has_changed);
                Message::Accepted { ballot }
            }
            Err(stale) => Message::Nack { ballot, promised: stale.0 },
        };
        self.send(from, answer);
    }

    pub(super) fn handle_read_request(
        &mut self,
        from: Slot,
        incarnation: u64,
        sequence: u64,
        known_ballot: Ballot,
    ) {
        let Some(acceptor) = &self.acceptor else { return };
        let state = acceptor.state();
        let accepted = state.accepted;
        let queue = (accepted != known_ballot).then(|| state.queue.clone());
        self.send(from, Message::ReadReply { incarnation, sequence, accepted, queue });
    }

    pub(super) fn handle_catch_up_request(&mut self, from: Slot, incarnation: u64) {
        let state = self.acceptor.as_ref().map(|acceptor| acceptor.state().clone());
        self.send(from, Message::CatchUpReply { incarnation, state });
    }

    fn persist_if_changed(&mut self, has_changed: bool) {
        if has_changed && self.mutation.is(Mutation::UnsyncedVote) {
            self.has_unsynced_vote = true;
        } else if has_changed {
            self.persist_vote();
        }
    }

    pub(super) fn persist_vote(&mut self) {
        if let Some(acceptor) = &self.acceptor {
            self.actions.push_back(Action::Persist(Box::new(acceptor.state().clone())));
        }
    }
}
