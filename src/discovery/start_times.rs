//! Start times of servers, by this process's monotonic clock.
//!
//! The list gives starts in wall time, which may be an hour off and may differ between two processes of a gateway. A
//! start is turned into monotonic time once, when it is first seen, and what the list itself shows goes before the wall
//! clock: a server cannot have started in the future, nor long before the list was last in sync without it. Otherwise
//! the wall clock is believed. Where in doubt a server is taken to be younger: a younger one is sent less.

use std::collections::BTreeMap;

use super::{HEARTBEAT_TIMEOUT, MAX_LIST_STALENESS};
use crate::decision::interface::{ServerId, Span, Time};

/// A start as the list gives it, and as this process takes it.
#[derive(Debug, Clone, Copy)]
struct ServerStart {
    since_ms: f64,
    started_at: Time,
}

/// The starts of all servers, and when the list was last known to be in sync.
#[derive(Debug, Default)]
pub struct StartTimes {
    server_starts: BTreeMap<ServerId, ServerStart>,
    /// When discovery last sent something complete, as far as this process knows.
    last_synced_at: Option<Time>,
    /// Whether a watch is in sync: then something complete has come within the last [`HEARTBEAT_TIMEOUT`].
    is_watching: bool,
}

impl StartTimes {
    /// A watch has sent something complete now, and is in sync.
    pub fn record_watch_synced(&mut self, now: Time) {
        self.last_synced_at = Some(now);
        self.is_watching = true;
    }

    /// An update has come; it brings the list into sync only on a watch that is in sync.
    pub fn record_update(&mut self, now: Time) {
        if self.is_watching {
            self.last_synced_at = Some(now);
        }
    }

    /// The watch has ended; the list was last in sync at `last_synced_at`.
    pub fn record_watch_end(&mut self, last_synced_at: Time) {
        if self.is_watching {
            self.last_synced_at = self.last_synced_at.max(Some(last_synced_at));
        }
        self.is_watching = false;
    }

    /// The earliest time at which a server that is new on a list of this moment can have appeared; none for the first
    /// list.
    pub fn earliest_new_start(&self, now: Time) -> Option<Time> {
        let last_synced_at = self.last_synced_at?;
        if !self.is_watching {
            return Some(last_synced_at);
        }
        let timeout = i64::try_from(HEARTBEAT_TIMEOUT.as_micros()).unwrap_or(i64::MAX);
        Some(last_synced_at.max(now - Span::from_micros(timeout)))
    }

    /// When a server started that the list says to have started at `since_ms`, in milliseconds of Unix time, by the
    /// same clock as `now`; none if that was long ago. `earliest` is [`StartTimes::earliest_new_start`] if the list
    /// comes from discovery and is not the first.
    pub fn start_time(
        &mut self,
        now: Time,
        server: ServerId,
        since_ms: f64,
        earliest: Option<Time>,
    ) -> Option<Time> {
        if since_ms.is_nan() || since_ms <= 0.0 {
            self.server_starts.remove(&server);
            return None;
        }
        let known = self.server_starts.get(&server).filter(|start| start.since_ms == since_ms);
        if let Some(start) = known {
            return Some(start.started_at);
        }
        let listed = Time::from_micros((since_ms * 1e3) as i64);
        let started_at = match earliest {
            // Discovery announces a start within this time: the wall clock is wrong.
            Some(earliest) if listed + MAX_LIST_STALENESS < earliest => earliest,
            _ => listed.min(now),
        };
        self.server_starts.insert(server, ServerStart { since_ms, started_at });
        Some(started_at)
    }
}
