//! The end of the process: established connections are handed off or migrated, what waits is answered, and what has
//! been answered is given the time to be written.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use tracing::info;

use super::EventLoop;
use crate::decision::interface::Time;
use crate::engine::{Command, TimerEvent};
use crate::net::messages::to_span;

/// Time kept free for closing, twice: before the process is killed, and before that for last answers.
const CLOSE_MARGIN: Duration = Duration::from_millis(400);
/// Clients keep coming for a while after the signal to stop.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(900);
/// Limit on writing final answers.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// Whether, and until when, the process is shutting down.
#[derive(Default)]
pub(super) struct Shutdown {
    limits: Option<ShutdownLimits>,
    /// Whether only final answers are still written, and nobody is accepted any more.
    closing: watch::Sender<bool>,
}

struct ShutdownLimits {
    /// No exit before.
    earliest_exit_at: Instant,
    /// Exit then, whatever is left.
    latest_exit_at: Instant,
}

impl Shutdown {
    /// Whether the process is about to end, as it changes.
    pub(super) fn subscribe(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }
}

impl EventLoop {
    /// Begins to shut down, within the time until the process is killed.
    pub(super) fn begin_shutdown(&mut self, now: Time, grace: Duration) {
        self.health.mark_draining();
        let exit_limit = grace.saturating_sub(CLOSE_MARGIN);
        let answer_limit = exit_limit.saturating_sub(CLOSE_MARGIN);
        if self.sibling_link.successor().is_some() {
            self.engine.begin_handover(now, to_span(answer_limit), to_span(exit_limit), &mut self.commands);
            let is_handoff = |command: &&Command| matches!(command, Command::HandOff { .. });
            let handed_off = self.commands.iter().filter(is_handoff).count();
            info!("handover: passes {handed_off} connections to its successor");
        } else {
            self.engine.begin_shutdown(now, to_span(answer_limit), to_span(exit_limit));
        }
        let start = Instant::now();
        self.shutdown.limits = Some(ShutdownLimits {
            earliest_exit_at: start + MIN_SHUTDOWN_TIME.min(exit_limit),
            latest_exit_at: start + exit_limit,
        });
    }

    /// When the process is to end, where it is shutting down.
    pub(super) fn exit_at(&self) -> Option<Instant> {
        let limits = self.shutdown.limits.as_ref()?;
        let is_idle = self.sessions.is_empty() && self.sibling_link.pending_clients.sockets_in_use() == 0;
        Some(if is_idle { limits.earliest_exit_at } else { limits.latest_exit_at })
    }

    /// Answers what is still open, and waits until answers and handed-off connections have been written.
    pub(super) async fn finish_shutdown(&mut self) {
        // What is still open is answered here, also where the timer comes late.
        self.handle_timer(TimerEvent::ShutdownDeadline);
        self.execute_commands();
        self.shutdown.closing.send_replace(true);
        self.flush().await;
        while self.sibling_link.successor().is_some_and(|successor| successor.has_handoffs_in_flight()) {
            self.flush().await;
        }
    }

    /// Gives final answers the time to be written. Requests that come meanwhile are rejected.
    async fn flush(&mut self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while let Ok(Some(event)) = timeout_at(deadline, self.events.recv()).await {
            self.handle_event(event);
            self.execute_commands();
        }
    }
}
