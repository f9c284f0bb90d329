//! What the gateways of a tier share, in the daemon: its settings, what this gateway observes, and what follows from
//! it. The state itself is [`ashtide_fleet::state`]. No sockets, no clock.

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

/// How often [`GatewayState::advance_to`] is to be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The hash that stands for the name of a server or tenant in datagrams.
pub fn name_hash(name: &str) -> u32 {
    u32::from_be_bytes(server_id_for_name(name))
}
