//! Operators' maintenance commands and the driver that carries them out, on a thread of its own so that a slow disk
//! keeps no client waiting.

mod driver;

use std::sync::{Arc, Mutex, PoisonError};

use ashtide_maintenance::ChangeRejected;
use tokio::sync::{mpsc, oneshot, watch};
use tracing::info;

use crate::fleet::maintenance::{MaintenanceCommand, Settings};
use crate::net::messages::EventLoopHandle;

/// Commands that may wait for the driver.
const MAX_QUEUED_COMMANDS: usize = 16;

/// Why a command is not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The queue of commands, or that of the replica, is full.
    #[error("too many calls wait")]
    TooManyCommands,
    /// The driver does not run.
    #[error("not carried out: no socket or no vote of this gateway's own so far; see the log")]
    NotRunning,
    /// The queue of machines does not allow it.
    #[error("{0}; {help}", help = .0.help())]
    Rejected(ChangeRejected),
    /// It may be carried out yet.
    #[error("no majority of the voters answered; ask again, which does no harm")]
    NoMajority,
}

type CommandResult = Result<String, CommandError>;

/// A command, and where its result goes.
struct QueuedCommand {
    command: MaintenanceCommand,
    reply: oneshot::Sender<CommandResult>,
}

/// Where the admin endpoint leaves commands, and reads metrics.
pub struct MaintenanceService {
    commands: mpsc::Sender<QueuedCommand>,
    metrics: Arc<Mutex<String>>,
}

impl MaintenanceService {
    /// A service, and where its commands are received.
    #[must_use]
    pub fn new() -> (Self, CommandReceiver) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let metrics = Arc::<Mutex<String>>::default();
        (Self { commands: sender, metrics: metrics.clone() }, CommandReceiver { commands: receiver, metrics })
    }

    /// Carries a command out; waits until it is settled.
    ///
    /// # Errors
    ///
    /// Says why it is not carried out.
    pub async fn execute(&self, command: MaintenanceCommand) -> CommandResult {
        let (reply, result) = oneshot::channel();
        let queued = QueuedCommand { command, reply };
        self.commands.try_send(queued).map_err(|_| CommandError::TooManyCommands)?;
        result.await.unwrap_or(Err(CommandError::NotRunning))
    }

    /// The metrics as text; empty before there are any.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        self.metrics.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The other end of a [`MaintenanceService`].
pub struct CommandReceiver {
    commands: mpsc::Receiver<QueuedCommand>,
    metrics: Arc<Mutex<String>>,
}

impl CommandReceiver {
    fn publish_metrics(&self, text: String) {
        *self.metrics.lock().unwrap_or_else(PoisonError::into_inner) = text;
    }
}

/// Starts the driver's thread. It ends when `stop` turns true, or where the acceptor's state cannot be persisted.
///
/// # Errors
///
/// Fails where no thread can be had.
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
                    info!("{error}; {}; this gateway takes no further part in maintenance", error.help());
                },
                _ = stopped.wait_for(|&stop| stop) => {}
            }
        });
    })?;
    Ok(())
}
