//! Recovery from a failed accept. No error of accept(2) concerns clients that are already connected.

use std::io;
use std::time::Duration;

use rustix::io::Errno;

/// Delay before the next accept if the system lacks descriptors or memory.
pub const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Number of consecutive transient failures after which the listener pauses, so that other tasks can run.
const MAX_IMMEDIATE_RETRIES: u32 = 64;

/// Category of an accept failure, which determines the recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The connection was lost in the accept queue, or the call was interrupted. Other connections may be
    /// queued behind it.
    Transient,
    /// This process or this machine has no descriptor or memory left.
    Shortage,
}

impl AcceptFailure {
    /// Classifies an error of accept(2), which also returns pending network errors of the new connection.
    pub fn classify(error: &io::Error) -> Self {
        match Errno::from_io_error(error) {
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => Self::Shortage,
            _ => Self::Transient,
        }
    }
}

/// Recovery action after a failed accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptRecovery {
    /// Accept again immediately.
    Retry,
    /// Accept again after [`SHORTAGE_RETRY_DELAY`].
    RetryLater,
    /// The shortage persists: evict clients without a session, and accept again after
    /// [`SHORTAGE_RETRY_DELAY`].
    EvictClients,
}

/// Counts the consecutive accept failures of one listener.
#[derive(Debug, Default)]
pub struct AcceptRetries {
    transient_failures: u32,
    shortage_failures: u32,
}

impl AcceptRetries {
    /// Records a successful accept.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed accept and returns the recovery action. A shortage is often brief, so clients are
    /// evicted only if it persists.
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
