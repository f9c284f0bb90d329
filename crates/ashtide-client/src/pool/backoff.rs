//! Failed attempts: whether another one follows, and after which delay.

use std::time::Duration;

use super::{Outcome, PoolCommand, PoolState};
use crate::session::{AfterClose, Session};
use crate::{AttemptFailure, ConnectionLoss, GiveUpReason, Instant, SessionId, SessionNotification, TICK};

impl PoolState {
    /// An attempt came to nothing. Its socket, where the state still has one, is closed before anything
    /// else is done for the session.
    pub(super) fn handle_failure(
        &mut self,
        now: Instant,
        id: SessionId,
        session: &mut Session,
        last: AttemptFailure,
        commands: &mut Vec<PoolCommand>,
    ) -> Outcome {
        session.last_failure = last;
        self.record_failure(now, session);
        let most = if session.established_before { self.settings.return_tries } else { self.settings.tries };
        let advised = match last {
            AttemptFailure::Rejected(wait) => wait.unwrap_or_default().min(self.settings.busy_most),
            _ => Duration::ZERO,
        };
        let refused = matches!(last, AttemptFailure::Rejected(_));
        let stop = if !last.never_executed() && !session.request.idempotent {
            Some(GiveUpReason::NotIdempotent { last })
        } else if session.attempts >= most && refused {
            Some(GiveUpReason::Rejected { retry_after: advised })
        } else if session.attempts >= most {
            Some(GiveUpReason::AttemptsExhausted { attempts: session.attempts, last })
        } else {
            None
        };
        if let Some(why) = stop {
            return self.end_session(id, session, why, commands);
        }
        let after = self.retry_delay(session, refused, advised);
        if session.deadline.is_some_and(|by| now + after >= by) {
            let why = if refused {
                GiveUpReason::Rejected { retry_after: advised }
            } else {
                GiveUpReason::DeadlineExceeded { last }
            };
            return self.end_session(id, session, why, commands);
        }
        if !self.retry_budget.withdraw(now) {
            self.metrics.retry_budget_exhausted += 1;
            return self.end_session(id, session, GiveUpReason::RetryBudgetExhausted { last }, commands);
        }
        commands.push(PoolCommand::Notify(id, SessionNotification::Retrying { last, delay: after }));
        self.close_socket_then(now, id, session, AfterClose::Wait(now + after), commands)
    }

    /// Counts a setback and notes what it says of the address.
    pub(super) fn record_failure(&mut self, now: Instant, session: &mut Session) {
        let at = session.address;
        let figures = &mut self.metrics;
        match session.last_failure {
            AttemptFailure::NotAttempted | AttemptFailure::Offline => return,
            AttemptFailure::ConnectFailed => figures.connect_failures += 1,
            AttemptFailure::Rejected(_) => figures.rejected += 1,
            AttemptFailure::Failed => figures.failed += 1,
            AttemptFailure::TimedOut => figures.timeouts += 1,
            AttemptFailure::ConnectionLost | AttemptFailure::ProtocolViolation(_) => {
                figures.lost_before_answer += 1
            }
        }
        let Some(at) = at else { return };
        match session.last_failure {
            AttemptFailure::Rejected(wait) => {
                session.rejections += 1;
                self.address_book.record_answer(at);
                let wait = wait.unwrap_or_default().min(self.settings.busy_most);
                if !wait.is_zero() {
                    self.address_book.record_rejection(
                        now,
                        at,
                        &session.request.parameters.class,
                        now + wait,
                    );
                }
            }
            AttemptFailure::Failed => self.address_book.record_error(now, at, &mut self.rng),
            _ => self.address_book.record_failure(now, at, &mut self.rng),
        }
    }

    /// The wait before the next try: never less than was advised, and jittered over a window that doubles.
    pub(super) fn retry_delay(&mut self, session: &Session, refused: bool, advised: Duration) -> Duration {
        let window = if session.established_before && refused {
            // A crowd that came back too soon: it spreads wider still.
            let doubled = 1_u32 << session.rejections.min(8);
            self.reconnect_window(session.last_loss).saturating_mul(doubled).min(self.settings.window_most)
        } else {
            let doubled = 1_u32 << session.attempts.saturating_sub(1).min(16);
            self.settings.retry_from.saturating_mul(doubled).min(self.settings.retry_to).max(advised / 2)
        };
        advised + self.jitter(window).max(TICK)
    }

    pub(super) const fn reconnect_window(&self, dropped: ConnectionLoss) -> Duration {
        match dropped {
            ConnectionLoss::Migrated => self.settings.move_window,
            ConnectionLoss::Broken(_) | ConnectionLoss::Offline => self.settings.break_window,
        }
    }
}
