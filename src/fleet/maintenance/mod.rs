//! Maintenance of servers and gateways in the daemon: settings, operators' commands and status texts. Free of
//! sockets and clocks. The state machine is in [`ashtide_maintenance`].

mod settings;
mod text;

pub use settings::{MAX_GATEWAYS, MaintenanceError, Settings, schema};
pub use text::{metrics_text, queue_text};

/// A command of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MaintenanceCommand {
    /// Shows the queue and its grants.
    List,
    /// Requests maintenance: the name of the machine, and the reason.
    Request(String, String),
    /// Cancels the maintenance of the machine of this name.
    Cancel(String),
    /// Reports that the work on the machine of this name is done.
    Done(String),
}
