//! Operators' maintenance commands and the driver that executes them. The driver has its own thread, so that
//! a slow disk does not delay clients.

mod driver;

use std::sync::{Arc, Mutex, PoisonError};

use ashtide_maintenance::ChangeRejected;
use tokio::sync::{mpsc, oneshot, watch};
use tracing::info;

use crate::fleet::maintenance::{MaintenanceCommand, Settings};
use crate::net::messages::EventLoopHandle;

/// Maximum number of commands queued for the driver.
const MAX_QUEUED_COMMANDS: usize = 16;

/// The reason why a command was not executed or its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The command queue of the driver, or the request queue of the replica, is full.
    #[error("too many calls wait")]
    TooManyCommands,
    /// The driver is not running.
    #[error("not carried out: no socket or no vote of this gateway's own so far; see the log")]
    NotRunning,
    /// The rules of the maintenance queue do not allow the change.
    #[error("{0}; {help}", help = .0.help())]
    Rejected(ChangeRejected),
    /// No majority of the acceptors answered in time; the command may still be executed.
    #[error("no majority of the voters answered; ask again, which does no harm")]
    NoMajority,
}

type CommandResult = Result<String, CommandError>;

/// A command and the channel for its result.
struct QueuedCommand {
    command: MaintenanceCommand,
    reply: oneshot::Sender<CommandResult>,
}

/// The maintenance interface of the admin endpoint: queues commands for the driver and returns its metrics.
pub struct MaintenanceService {
    commands: mpsc::Sender<QueuedCommand>,
    metrics: Arc<Mutex<String>>,
}

impl MaintenanceService {
    /// Creates a service and the receiver of its commands.
    #[must_use]
    pub fn new() -> (Self, CommandReceiver) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let metrics = Arc::<Mutex<String>>::default();
        (Self { commands: sender, metrics: metrics.clone() }, CommandReceiver { commands: receiver, metrics })
    }

    /// Executes a command and waits for its result.
    ///
    /// # Errors
    ///
    /// Returns the reason if the command is not executed, or if its outcome is unknown.
    pub async fn execute(&self, command: MaintenanceCommand) -> CommandResult {
        let (reply, result) = oneshot::channel();
        let queued = QueuedCommand { command, reply };
        self.commands.try_send(queued).map_err(|_| CommandError::TooManyCommands)?;
        result.await.unwrap_or(Err(CommandError::NotRunning))
    }

    /// Returns the metrics as text; empty before the driver has published any.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        self.metrics.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The driver's end of a [`MaintenanceService`].
pub struct CommandReceiver {
    commands: mpsc::Receiver<QueuedCommand>,
    metrics: Arc<Mutex<String>>,
}

impl CommandReceiver {
    fn publish_metrics(&self, text: String) {
        *self.metrics.lock().unwrap_or_else(PoisonError::into_inner) = text;
    }
}

/// Starts the driver's thread. It ends when `stop` becomes true, or when the acceptor state cannot be read or
/// persisted.
///
/// # Errors
///
/// Returns an error if the runtime or the thread cannot be created.
pub fn start(
    settings: Settings,
    name: String,
    receiver: CommandReceiver,
    event_loop: EventLoopHandle,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("maintenance".to_owned()).spawn(move || {
        runtime.block_on(async {
            let mut stopped = stop.clone();
            tokio::select! {
                ended = driver::run(settings, name, receiver, event_loop, stop) => if let Err(error) = ended {
                    let help = error.help();
                    info!("{error}; {help}; maintenance is disabled on this gateway until it restarts");
                },
                _ = stopped.wait_for(|&stop| stop) => {}
            }
        });
    })?;
    Ok(())
}
