//! Handling of the loss and the recovery of the device's network.

use std::time::Duration;

use super::{DISCONNECT_COLLECTION_WINDOW, Outcome, PoolCommand, PoolState};
use crate::session::{AfterClose, Session, SessionState};
use crate::{AttemptFailure, ConnectionLoss, GiveUpReason, Instant, SessionId};

impl PoolState {
    pub(super) fn handle_network_lost(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        if session.established_before
            && !matches!(session.state, SessionState::Established | SessionState::Offline)
        {
            session.deadline = Some(now + self.settings.offline_within);
        }
        match session.state {
            SessionState::Established => {
                self.handle_disconnect(now, id, session, ConnectionLoss::Offline, commands)
            }
            SessionState::AwaitingAnswer if !session.request.idempotent => self.end_session(
                id,
                session,
                GiveUpReason::NotIdempotent { last: AttemptFailure::Offline },
                commands,
            ),
            SessionState::Connecting | SessionState::AwaitingAnswer => {
                session.last_failure = AttemptFailure::Offline;
                if let Some(gateway) = session.address {
                    self.address_book.cancel_trial(gateway);
                }
                self.close_socket_then(now, id, session, AfterClose::Offline, commands)
            }
            SessionState::Closing(_) => {
                session.state = SessionState::Closing(AfterClose::Offline);
                Outcome::Continue
            }
            SessionState::CollectingDisconnects
            | SessionState::Waiting
            | SessionState::NoAddresses
            | SessionState::Offline => {
                session.state = SessionState::Offline;
                session.timer = None;
                Outcome::Continue
            }
        }
    }

    /// Handles the recovery of the network. A session that had an established connection reconnects within
    /// the reconnect window. Any other session continues its first connection within the time that remains.
    pub(super) fn handle_network_restored(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        if session.established_before {
            session.last_loss = ConnectionLoss::Offline;
            session.deadline = None;
            // A reconnect that was in progress restarts with all its attempts, since the site did not cause
            // the network loss.
            session.attempts = 0;
            session.rejections = 0;
            self.disconnects.record(now);
            (session.state, session.timer) =
                (SessionState::CollectingDisconnects, Some(now + DISCONNECT_COLLECTION_WINDOW));
            return Outcome::Continue;
        }
        if session.attempts >= self.settings.tries {
            return self.end_session(
                id,
                session,
                GiveUpReason::AttemptsExhausted { attempts: session.attempts, last: session.last_failure },
                commands,
            );
        }
        if session.attempts == 0 {
            self.retry_budget.deposit(now);
        } else if !self.retry_budget.withdraw(now) {
            self.metrics.retry_budget_exhausted += 1;
            return self.end_session(
                id,
                session,
                GiveUpReason::RetryBudgetExhausted { last: session.last_failure },
                commands,
            );
        }
        let remaining = session.deadline.map_or(Duration::ZERO, |deadline| deadline.duration_since(now));
        let delay = self.jitter(self.settings.break_window.min(remaining / 2));
        session.state = SessionState::Waiting;
        session.timer = Some(now + delay);
        Outcome::Continue
    }
}
