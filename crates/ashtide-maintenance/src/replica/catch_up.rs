//! Catching up: an acceptor that has lost its state learns from others what it must not forget, before it votes.

use std::collections::BTreeMap;
use std::time::Duration;

use ashtide_fleet::state::Slot;

use super::{RETRANSMIT_INTERVAL, Replica};
use crate::message::Message;
use crate::paxos::{Acceptor, AcceptorState, majority};

/// How often other acceptors are asked, in retransmit intervals.
const REQUEST_INTERVALS: u32 = 3;

/// The answers so far, by acceptor: a state, or none where that acceptor has lost its own.
#[derive(Default)]
pub(super) struct CatchUp {
    started_at: Duration,
    next_request_at: Duration,
    replies: BTreeMap<Slot, Option<AcceptorState>>,
}

impl CatchUp {
    fn states(&self) -> impl Iterator<Item = &AcceptorState> {
        self.replies.values().flatten()
    }

    /// Whether nobody that has answered has anything to remember.
    fn is_blank(&self) -> bool {
        self.states().all(|state| *state == AcceptorState::default())
    }

    /// The newest value, with the latest promise of all.
    fn newest_state(&self) -> AcceptorState {
        let newest = self.states().max_by_key(|state| state.accepted).cloned().unwrap_or_default();
        let promised = self.states().map(|state| state.promised).max().unwrap_or_default();
        AcceptorState { promised, ..newest }
    }
}

impl Replica {
    pub(super) fn continue_catch_up(&mut self) {
        let now = self.observed_time;
        // Longer than any proposal may use what this acceptor answered before.
        let quiet_time = self.config.timing.proposal_timeout * 2 + self.config.timing.margin;
        let Some(catch_up) = &mut self.catch_up else { return };
        if now < catch_up.started_at + quiet_time || now < catch_up.next_request_at {
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

    /// Votes from now on where enough have answered: as many as meet every majority that this acceptor was part of, or
    /// all, and nobody has anything to remember.
    fn finish_catch_up(&mut self) {
        let Some(catch_up) = &self.catch_up else { return };
        let acceptors = self.config.acceptors.len();
        let needed = acceptors - majority(acceptors) + 1;
        let has_enough = catch_up.states().count() >= needed;
        let founds = catch_up.replies.len() == acceptors - 1
            && catch_up.is_blank()
            && self.observed_time >= catch_up.started_at + self.config.timing.proposal_timeout;
        if !has_enough && !founds {
            return;
        }
        let state = catch_up.newest_state();
        let version = state.queue.version;
        self.catch_up = None;
        self.acceptor = Some(Acceptor::new(state));
        self.persist_vote();
        let reason = match founds {
            true => "no acceptor has anything to remember",
            false => "restored its state from other gateways",
        };
        self.log(&format!("this gateway votes: {reason} (version {version})"));
    }
}
