//! State shared by the gateways of a fleet, in the daemon: settings, the observations of this gateway, and
//! the outliers and counts derived from those of all gateways. Free of sockets and clocks. The state machine
//! is in [`ashtide_fleet::state`].

mod gateway_state;
mod outcomes;
mod settings;
mod slots;
mod text;

use std::time::Duration;

pub use gateway_state::{GatewayState, LocalObservation, OutlierDecision, ServerObservation};
pub use outcomes::{OBSERVED_KINDS, OutcomeReport, OutcomeReporter};
pub use settings::{OutlierMode, Settings, schema};
pub use slots::{GatewaySlots, MAX_GATEWAYS};
pub use text::MAX_DISPLAYED_COUNTERS;

use crate::quic::load_balancing::server_id_for_name;

/// Interval at which [`GatewayState::advance_to`] must be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the hash that identifies a server or tenant in datagrams, from its name.
pub fn name_hash(name: &str) -> u32 {
    u32::from_be_bytes(server_id_for_name(name))
}
