//! What a failed accept calls for. None of its errors says anything against a client that is connected already.

use std::io;
use std::time::Duration;

use rustix::io::Errno;

/// A system that lacks descriptors or memory is asked again after this time.
pub const SHORTAGE_RETRY: Duration = Duration::from_millis(20);
/// Accepts that fail at once in a row before others get their turn.
const RETRIES_IN_A_ROW: u32 = 64;

/// Why an accept failed, as far as it bears on what to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The connection was lost in the queue, or the call was interrupted: others may wait behind it.
    Momentary,
    /// No descriptor or no memory is left, on this machine or for this process.
    Shortage,
}

impl AcceptFailure {
    /// Reads an error of accept(2), which passes on errors of the network that a new connection has met.
    pub fn of(error: &io::Error) -> Self {
        match Errno::from_io_error(error) {
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => Self::Shortage,
            _ => Self::Momentary,
        }
    }
}

/// What to do after a failed accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Accept again at once.
    Retry,
    /// Accept again after [`SHORTAGE_RETRY`].
    Wait,
    /// The shortage lasts: close connections that nobody needs, and accept again after [`SHORTAGE_RETRY`].
    MakeRoom,
}

/// Failures in a row of one listener.
#[derive(Debug, Default)]
pub struct AcceptRetries {
    momentary: u32,
    shortages: u32,
}

impl AcceptRetries {
    /// An accept has succeeded.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// An accept has failed. A shortage may be over in a moment, and costs a client its connection only where it is
    /// not.
    pub fn failed(&mut self, error: &io::Error) -> Next {
        match AcceptFailure::of(error) {
            AcceptFailure::Momentary => {
                self.momentary += 1;
                if self.momentary % RETRIES_IN_A_ROW == 0 { Next::Wait } else { Next::Retry }
            }
            AcceptFailure::Shortage => {
                self.shortages += 1;
                match self.shortages {
                    1 => Next::Retry,
                    2 => Next::Wait,
                    _ => Next::MakeRoom,
                }
            }
        }
    }
}
