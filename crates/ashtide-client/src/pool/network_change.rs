//! What a session does when the device loses its network or gets one again.

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
                if let Some(at) = session.address {
                    self.address_book.cancel_trial(at);
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

    /// There is a network again. Who had a connection comes back with the others; who had not goes on
    /// with its first placing, within what is left of its time.
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
            // A return that had begun begins anew: the network's going was no fault of the site.
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
        let left = session.deadline.map_or(Duration::ZERO, |by| by.duration_since(now));
        let after = self.jitter(self.settings.break_window.min(left / 2));
        session.state = SessionState::Waiting;
        session.timer = Some(now + after);
        Outcome::Continue
    }
}
