//! Taking machines out for maintenance, in the daemon: its settings, operators' commands, and what they are shown. The
//! state machine is [`ashtide_maintenance`]. No sockets, no clock.

mod settings;
mod text;

pub use settings::{MAX_GATEWAYS, MaintenanceError, Settings, schema};
pub use text::{metrics_text, queue_text};

/// What an operator requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MaintenanceCommand {
    /// Show the queue and the grants.
    List,
    /// Take a machine out, and why.
    Request(String, String),
    /// Do not take a machine out.
    Cancel(String),
    /// The work on a machine is done.
    Done(String),
}
