//! Retry policy: decides whether a failed attempt is retried, and after which delay.

use std::time::Duration;

use super::{Outcome, PoolCommand, PoolState};
use crate::session::{AfterClose, Session};
use crate::{AttemptFailure, ConnectionLoss, GiveUpReason, Instant, SessionId, SessionNotification, TICK};

impl PoolState {
    /// Handles a failed attempt: ends the session or schedules a retry. The attempt's socket, if any, is
    /// closed before the retry is scheduled.
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
        let max_attempts =
            if session.established_before { self.settings.return_tries } else { self.settings.tries };
        let retry_after = match last {
            AttemptFailure::Rejected(advised) => advised.unwrap_or_default().min(self.settings.busy_most),
            _ => Duration::ZERO,
        };
        let rejected = matches!(last, AttemptFailure::Rejected(_));
        let give_up_reason = if !last.never_executed() && !session.request.idempotent {
            Some(GiveUpReason::NotIdempotent { last })
        } else if session.attempts >= max_attempts && rejected {
            Some(GiveUpReason::Rejected { retry_after })
        } else if session.attempts >= max_attempts {
            Some(GiveUpReason::AttemptsExhausted { attempts: session.attempts, last })
        } else {
            None
        };
        if let Some(reason) = give_up_reason {
            return self.end_session(id, session, reason, commands);
        }
        let delay = self.retry_delay(session, rejected, retry_after);
        if session.deadline.is_some_and(|deadline| now + delay >= deadline) {
            let reason = if rejected {
                GiveUpReason::Rejected { retry_after }
            } else {
                GiveUpReason::DeadlineExceeded { last }
            };
            return self.end_session(id, session, reason, commands);
        }
        if !self.retry_budget.withdraw(now) {
            self.metrics.retry_budget_exhausted += 1;
            return self.end_session(id, session, GiveUpReason::RetryBudgetExhausted { last }, commands);
        }
        commands.push(PoolCommand::Notify(id, SessionNotification::Retrying { last, delay }));
        self.close_socket_then(now, id, session, AfterClose::Wait(now + delay), commands)
    }

    /// Counts the session's last failure and updates the address book accordingly.
    pub(super) fn record_failure(&mut self, now: Instant, session: &mut Session) {
        let metrics = &mut self.metrics;
        match session.last_failure {
            AttemptFailure::NotAttempted | AttemptFailure::Offline => return,
            AttemptFailure::ConnectFailed => metrics.connect_failures += 1,
            AttemptFailure::Rejected(_) => metrics.rejected += 1,
            AttemptFailure::Failed => metrics.failed += 1,
            AttemptFailure::TimedOut => metrics.timeouts += 1,
            AttemptFailure::ConnectionLost | AttemptFailure::ProtocolViolation(_) => {
                metrics.lost_before_answer += 1
            }
        }
        let Some(gateway) = session.address else { return };
        match session.last_failure {
            AttemptFailure::Rejected(advised) => {
                session.rejections += 1;
                self.address_book.record_answer(gateway);
                let retry_after = advised.unwrap_or_default().min(self.settings.busy_most);
                if !retry_after.is_zero() {
                    self.address_book.record_rejection(
                        now,
                        gateway,
                        &session.request.parameters.class,
                        now + retry_after,
                    );
                }
            }
            AttemptFailure::Failed => self.address_book.record_error(now, gateway, &mut self.rng),
            _ => self.address_book.record_failure(now, gateway, &mut self.rng),
        }
    }

    /// Returns the delay before the next attempt: the advised delay `retry_after` plus jitter from a window
    /// that doubles with each attempt or rejection.
    pub(super) fn retry_delay(
        &mut self,
        session: &Session,
        rejected: bool,
        retry_after: Duration,
    ) -> Duration {
        let window = if session.established_before && rejected {
            // Many sessions reconnected too soon after a disconnect, so the reconnect window is widened.
            let factor = 1_u32 << session.rejections.min(8);
            self.reconnect_window(session.last_loss).saturating_mul(factor).min(self.settings.window_most)
        } else {
            let factor = 1_u32 << session.attempts.saturating_sub(1).min(16);
            self.settings.retry_from.saturating_mul(factor).min(self.settings.retry_to).max(retry_after / 2)
        };
        retry_after + self.jitter(window).max(TICK)
    }

    pub(super) const fn reconnect_window(&self, loss: ConnectionLoss) -> Duration {
        match loss {
            ConnectionLoss::Migrated => self.settings.move_window,
            ConnectionLoss::Broken(_) | ConnectionLoss::Offline => self.settings.break_window,
        }
    }
}
