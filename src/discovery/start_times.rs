//! When servers started, by this process's monotonic clock.
//!
//! The list gives starts in wall time, which may be stepped by an hour between two processes of a gateway. A start is
//! turned into monotonic time once, when it is first seen, and what the list itself shows goes before the wall clock:
//! a server cannot have started in the future, nor long before the list was last in step without it. Where nothing
//! tells, the wall clock is believed. An age is rather too small than too large: what is younger is sent less. It has
//! no socket and no clock.

use std::collections::BTreeMap;

use crate::decision::interface::{ServerId, Span, Time};
use crate::discovery::{HEARTBEAT_TIMEOUT, MAX_LIST_STALENESS};

/// A start as the list tells it, and as this process takes it.
#[derive(Debug, Clone, Copy)]
struct ServerStart {
    since_ms: f64,
    started_at: Time,
}

/// The starts of all servers, and when the list was last known to be in step.
#[derive(Debug, Default)]
pub struct StartTimes {
    server_starts: BTreeMap<ServerId, ServerStart>,
    /// When discovery last told something whole, as far as this process has heard.
    last_synced_at: Option<Time>,
    /// Whether a watch is in step: then it has told something whole within the last [`QUIET`].
    is_watching: bool,
}

impl StartTimes {
    /// A watch has told something whole now, and is in step.
    pub fn record_watch_synced(&mut self, now: Time) {
        (self.last_synced_at, self.is_watching) = (Some(now), true);
    }

    /// News have come; they put the list in step only on a watch that is.
    pub fn record_update(&mut self, now: Time) {
        if self.is_watching {
            self.last_synced_at = Some(now);
        }
    }

    /// The watch has ended; the list was last in step then.
    pub fn record_watch_end(&mut self, last_synced_at: Time) {
        if self.is_watching {
            self.last_synced_at = self.last_synced_at.max(Some(last_synced_at));
        }
        self.is_watching = false;
    }

    /// Since when a server that is new on a list of this moment may be there at the earliest: none for the first list.
    pub fn earliest_new_start(&self, now: Time) -> Option<Time> {
        let quiet = Span::from_micros(i64::try_from(HEARTBEAT_TIMEOUT.as_micros()).unwrap_or(i64::MAX));
        let beat = self.is_watching.then_some(now - quiet);
        self.last_synced_at.map(|at| beat.map_or(at, |beat| at.max(beat)))
    }

    /// When a server started that the list says to have started at `since_ms` of Unix time, by the same clock as `now`;
    /// none where that was long ago. `unlisted_until` where the list comes from discovery and is not the first.
    pub fn start_time(
        &mut self,
        now: Time,
        server: ServerId,
        since_ms: f64,
        unlisted_until: Option<Time>,
    ) -> Option<Time> {
        if since_ms.is_nan() || since_ms <= 0.0 {
            self.server_starts.remove(&server);
            return None;
        }
        if let Some(start) = self.server_starts.get(&server).filter(|start| start.since_ms == since_ms) {
            return Some(start.started_at);
        }
        let told = Time::from_micros((since_ms * 1e3) as i64);
        let started = match unlisted_until {
            // Discovery tells a start within this time: the wall clock is wrong, and what it says is no guide.
            Some(earliest) if told + MAX_LIST_STALENESS < earliest => earliest,
            _ => told.min(now),
        };
        self.server_starts.insert(server, ServerStart { since_ms, started_at: started });
        Some(started)
    }
}
