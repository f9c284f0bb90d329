//! Discovery: the endpoint list and the watch that transmits its changes. This module does no I/O and reads
//! no clock.

use std::time::Duration;

use crate::decision::interface::Span;

mod endpoints;
mod http;
pub mod start_times;
mod watch;

pub use crate::decision::MAX_POLL_WAIT;
pub use endpoints::{Endpoint, EndpointList, EndpointStatus};
pub use http::{HttpError, watch_request};
pub use watch::{WatchCodec, WatchEnd, WatchError, WatchEvent};

/// Interval of heartbeats on a watch without changes (PROTOCOL, "Discovery").
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2000);
/// Time without a complete object or heartbeat after which a watch is silent, even if other bytes are
/// received. It is shorter than two heartbeat intervals, because a list expires [`MAX_LIST_STALENESS`] after
/// the last message and the next call may take 3 s.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time from the start of a call after which it has failed if no complete object or heartbeat was received.
/// Discovery itself ends a failing call after 3 s.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time after which a gateway counts as notified of a change, measured from when discovery had the change and
/// was reachable (STANDING, "One clock for silence").
pub const MAX_LIST_STALENESS: Span = Span::from_micros(6_000_000);
