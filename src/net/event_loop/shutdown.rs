//! Shutdown of the process: established connections are handed off or migrated, waiting requests are
//! answered, and the process waits until the answers have been written.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use tracing::info;

use super::EventLoop;
use crate::decision::interface::Time;
use crate::engine::{Command, TimerEvent};
use crate::net::messages::to_span;

/// Time reserved for closing. It is reserved twice: from the exit to the time at which the process is killed,
/// and from the last answers to the exit.
const CLOSE_MARGIN: Duration = Duration::from_millis(400);
/// Minimum time from the signal to stop to the exit, as clients continue to connect for a while.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(900);
/// Duration of one flush, in which final answers are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// State of the process's shutdown.
#[derive(Default)]
pub(super) struct Shutdown {
    limits: Option<ShutdownLimits>,
    /// Whether only final answers are still written, and no client is accepted any more.
    closing: watch::Sender<bool>,
    /// Whether the process hands over to its successor.
    handover_started: watch::Sender<bool>,
}

struct ShutdownLimits {
    /// Time before which the process does not exit.
    earliest_exit_at: Instant,
    /// Time at which the process exits, even with open sessions.
    latest_exit_at: Instant,
}

impl Shutdown {
    /// Returns a receiver that becomes true when the process is about to exit.
    pub(super) fn subscribe(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Returns a receiver that becomes true when the process begins to hand over to its successor.
    pub(super) fn subscribe_to_handover(&self) -> watch::Receiver<bool> {
        self.handover_started.subscribe()
    }
}

impl EventLoop {
    /// Begins the shutdown; `grace` is the time until the process is killed.
    pub(super) fn begin_shutdown(&mut self, now: Time, grace: Duration) {
        self.health.mark_draining();
        let exit_limit = grace.saturating_sub(CLOSE_MARGIN);
        let answer_limit = exit_limit.saturating_sub(CLOSE_MARGIN);
        if self.sibling_link.successor().is_some() {
            self.shutdown.handover_started.send_replace(true);
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

    /// Returns the time at which the process is to exit, or `None` if it is not shutting down.
    pub(super) fn exit_at(&self) -> Option<Instant> {
        let limits = self.shutdown.limits.as_ref()?;
        let is_idle = self.sessions.is_empty() && self.sibling_link.pending_clients.sockets_in_use() == 0;
        Some(if is_idle { limits.earliest_exit_at } else { limits.latest_exit_at })
    }

    /// Answers all open requests, and waits until the answers and the handed-off connections have been
    /// written.
    pub(super) async fn finish_shutdown(&mut self) {
        // Requests that are still open are answered here, even if the engine's timer fires late.
        self.handle_timer(TimerEvent::ShutdownDeadline);
        self.execute_commands();
        self.shutdown.closing.send_replace(true);
        self.flush().await;
        while self.sibling_link.successor().is_some_and(|successor| successor.has_handoffs_in_flight()) {
            self.flush().await;
        }
    }

    /// Handles events for [`FLUSH_TIMEOUT`], so that final answers are written. Requests that arrive
    /// meanwhile are rejected.
    async fn flush(&mut self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while let Ok(Some(event)) = timeout_at(deadline, self.events.recv()).await {
            self.handle_event(event);
            self.execute_commands();
        }
    }
}
