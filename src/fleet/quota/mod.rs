//! Partners' quotas over all gateways, in the daemon: settings, admission, and what operators are shown. The decisions
//! are [`ashtide_quota`], the rights [`ashtide_fleet::state`]. No sockets, no clock.

mod admission;
mod settings;
mod text;

use std::time::Duration;

pub use admission::Admission;
pub use settings::{MAX_PARTNERS, QuotaError, Settings, schema};

/// How often [`Admission::advance_to`] is to be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
