//! Start times of servers on this process's monotonic clock.
//!
//! The endpoint list contains start times in wall time, which may be an hour off and may differ between two
//! processes of a gateway. A start time is converted to monotonic time once, when it is first received.
//! Evidence from the list takes precedence over the wall clock: a server can't have started in the future,
//! nor long before the list was last in sync without it. Otherwise the wall clock is used. In case of doubt
//! the later start time is used, as a recently started server is sent fewer connections.

use std::collections::BTreeMap;

use super::{HEARTBEAT_TIMEOUT, MAX_LIST_STALENESS};
use crate::decision::interface::{ServerId, Span, Time};

/// Start time of a server on the list, and its conversion to this process's clock.
#[derive(Debug, Clone, Copy)]
struct ServerStart {
    /// Start time on the list, in milliseconds of Unix time.
    since_ms: f64,
    /// Start time on this process's clock.
    started_at: Time,
}

/// The start times of all servers, and the time at which the list was last known to be in sync.
#[derive(Debug, Default)]
pub struct StartTimes {
    server_starts: BTreeMap<ServerId, ServerStart>,
    /// When this process last received a complete object or heartbeat in sync; `None` before the first one.
    last_synced_at: Option<Time>,
    /// Whether a watch is in sync, so that an object or heartbeat was received within [`HEARTBEAT_TIMEOUT`].
    is_watching: bool,
}

impl StartTimes {
    /// Records that a watch has sent a complete object or heartbeat now and is in sync.
    pub fn record_watch_synced(&mut self, now: Time) {
        self.last_synced_at = Some(now);
        self.is_watching = true;
    }

    /// Records that an update was received. It counts as the latest synchronisation only on a watch that is
    /// in sync.
    pub fn record_update(&mut self, now: Time) {
        if self.is_watching {
            self.last_synced_at = Some(now);
        }
    }

    /// Records that the watch has ended and that the list was last in sync at `last_synced_at`.
    pub fn record_watch_end(&mut self, last_synced_at: Time) {
        if self.is_watching {
            self.last_synced_at = self.last_synced_at.max(Some(last_synced_at));
        }
        self.is_watching = false;
    }

    /// Returns the earliest time at which a server that is new on a list received now can have appeared;
    /// `None` for the first list.
    pub fn earliest_new_start(&self, now: Time) -> Option<Time> {
        let last_synced_at = self.last_synced_at?;
        if !self.is_watching {
            return Some(last_synced_at);
        }
        let timeout = i64::try_from(HEARTBEAT_TIMEOUT.as_micros()).unwrap_or(i64::MAX);
        Some(last_synced_at.max(now - Span::from_micros(timeout)))
    }

    /// Converts a server's start time on the list, `since_ms` in milliseconds of Unix time, to the clock of
    /// `now`. Returns `None` if the server started long ago. `earliest` is [`StartTimes::earliest_new_start`]
    /// if the list was received from discovery and is not the first one.
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
            // Discovery announces a start within `MAX_LIST_STALENESS`, so the wall clock is wrong.
            Some(earliest) if listed + MAX_LIST_STALENESS < earliest => earliest,
            _ => listed.min(now),
        };
        self.server_starts.insert(server, ServerStart { since_ms, started_at });
        Some(started_at)
    }
}
