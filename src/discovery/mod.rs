//! Discovery: the endpoint list, and the watch by which its changes come. There is no I/O and no clock here.

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

/// A watch on which nothing changes sends a heartbeat this often (PROTOCOL, "Discovery").
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2000);
/// A watch without a complete object or heartbeat for this long is silent, whatever bytes come. Less than two
/// intervals: a list expires [`MAX_LIST_STALENESS`] after the silence began, and the next call may take 3 s.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);
/// A call has failed unless something complete has come this long after its start. Discovery itself fails a call
/// after 3 s.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(3500);
/// A gateway counts as told of a change this long after discovery had it and could be reached (STANDING, "One clock
/// for silence").
pub const MAX_LIST_STALENESS: Span = Span::from_micros(6_000_000);
