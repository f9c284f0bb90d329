//! Recovery from a failed accept. None of its errors says anything about a client that is connected already.

use std::io;
use std::time::Duration;

use rustix::io::Errno;

/// Wait before accepting again where the system lacks descriptors or memory.
pub const SHORTAGE_RETRY: Duration = Duration::from_millis(20);
/// Accepts that may fail in a row before other tasks run.
const MAX_IMMEDIATE_RETRIES: u32 = 64;

/// Why an accept failed, as far as it bears on what to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The connection was lost in the queue, or the call was interrupted: others may wait behind it.
    Transient,
    /// No descriptor or no memory is left, on this machine or for this process.
    Shortage,
}

impl AcceptFailure {
    /// Classifies an error of accept(2), which also returns errors of the network that a new connection has met.
    pub fn classify(error: &io::Error) -> Self {
        match Errno::from_io_error(error) {
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => Self::Shortage,
            _ => Self::Transient,
        }
    }
}

/// What to do after a failed accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptRecovery {
    /// Accept again at once.
    Retry,
    /// Accept again after [`SHORTAGE_RETRY`].
    RetryLater,
    /// The shortage lasts: evict clients without a session, and accept again after [`SHORTAGE_RETRY`].
    EvictClients,
}

/// Consecutive failures of one listener.
#[derive(Debug, Default)]
pub struct AcceptRetries {
    transient_failures: u32,
    shortage_failures: u32,
}

impl AcceptRetries {
    /// Records that an accept has succeeded.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records that an accept has failed. A shortage may be over in a moment, and costs a client its connection only where
    /// it lasts.
    pub fn record_failure(&mut self, error: &io::Error) -> AcceptRecovery {
        match AcceptFailure::classify(error) {
            AcceptFailure::Transient => {
                self.transient_failures += 1;
                if self.transient_failures.is_multiple_of(MAX_IMMEDIATE_RETRIES) {
                    AcceptRecovery::RetryLater
                } else {
                    AcceptRecovery::Retry
                }
            }
            AcceptFailure::Shortage => {
                self.shortage_failures += 1;
                match self.shortage_failures {
                    1 => AcceptRecovery::Retry,
                    2 => AcceptRecovery::RetryLater,
                    _ => AcceptRecovery::EvictClients,
                }
            }
        }
    }
}
