//! Catch-up: an acceptor that has lost its state restores the state from the other acceptors before it votes.

use std::collections::BTreeMap;
use std::time::Duration;

use ashtide_fleet::state::Slot;

use super::{RETRANSMIT_INTERVAL, Replica};
use crate::message::Message;
use crate::paxos::{Acceptor, AcceptorState, majority};

/// Interval between catch-up requests, in multiples of [`RETRANSMIT_INTERVAL`].
const REQUEST_INTERVALS: u32 = 3;

/// Catch-up in progress.
#[derive(Default)]
pub(super) struct CatchUp {
    started_at: Duration,
    next_request_at: Duration,
    /// Replies by acceptor: its state, or `None` if it has lost its own state too.
    replies: BTreeMap<Slot, Option<AcceptorState>>,
}

impl CatchUp {
    fn states(&self) -> impl Iterator<Item = &AcceptorState> {
        self.replies.values().flatten()
    }

    /// Checks whether all states received so far are initial.
    fn is_initial(&self) -> bool {
        self.states().all(|state| *state == AcceptorState::default())
    }

    /// Returns the newest accepted value, with the highest promise of all replies.
    fn newest_state(&self) -> AcceptorState {
        let newest = self.states().max_by_key(|state| state.accepted).cloned().unwrap_or_default();
        let promised = self.states().map(|state| state.promised).max().unwrap_or_default();
        AcceptorState { promised, ..newest }
    }
}

impl Replica {
    pub(super) fn continue_catch_up(&mut self) {
        let now = self.observed_time;
        // Proposals that may use an answer that this acceptor sent before it lost its state have ended by
        // then.
        let initial_wait = self.config.timing.proposal_timeout * 2 + self.config.timing.margin;
        let Some(catch_up) = &mut self.catch_up else { return };
        if now < catch_up.started_at + initial_wait || now < catch_up.next_request_at {
            return;
        }
        catch_up.next_request_at = now + RETRANSMIT_INTERVAL * REQUEST_INTERVALS;
        let request = Message::CatchUpRequest { incarnation: self.incarnation };
        for acceptor in self.config.acceptors.clone() {
            if acceptor != self.config.own_slot {
                self.send(acceptor, request.clone());
            }
        }
        self.finish_catch_up();
    }

    pub(super) fn handle_catch_up_reply(&mut self, from: Slot, state: Option<AcceptorState>) {
        if let Some(catch_up) = &mut self.catch_up {
            catch_up.replies.insert(from, state);
        }
        self.finish_catch_up();
    }

    /// Ends the catch-up and starts to vote once enough replies have arrived. That is the case if the number
    /// of states is large enough to intersect every majority that included this acceptor. In a new fleet, it
    /// is also the case if all other acceptors have replied and all states are initial.
    fn finish_catch_up(&mut self) {
        let Some(catch_up) = &self.catch_up else { return };
        let acceptors = self.config.acceptors.len();
        let needed = acceptors - majority(acceptors) + 1;
        let has_enough = catch_up.states().count() >= needed;
        let is_new_fleet = catch_up.replies.len() == acceptors - 1
            && catch_up.is_initial()
            && self.observed_time >= catch_up.started_at + self.config.timing.proposal_timeout;
        if !has_enough && !is_new_fleet {
            return;
        }
        let state = catch_up.newest_state();
        let version = state.queue.version;
        self.catch_up = None;
        self.acceptor = Some(Acceptor::new(state));
        self.persist_vote();
        let reason = match is_new_fleet {
            true => "no other acceptor has a stored state",
            false => "restored its state from other gateways",
        };
        self.log(&format!("this gateway votes from now on: {reason} (version {version})"));
    }
}
