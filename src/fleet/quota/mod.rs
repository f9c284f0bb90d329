//! Partners' quotas over all gateways, in the daemon: settings, admission of connections, and status texts.
//! Free of sockets and clocks. [`ashtide_quota`] makes the decisions; [`ashtide_fleet::state`] has the quota
//! units.

mod admission;
mod settings;
mod text;

use std::time::Duration;

pub use admission::Admission;
pub use settings::{MAX_PARTNERS, QuotaError, Settings, schema};

/// Interval at which [`Admission::advance_to`] must be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
