//! Connects over TCP, and distinguishes errors of this machine from those of the network and of the peer.
//!
//! connect(2) and socket(2) fail for a moment where this machine lacks a port, a descriptor, a buffer or a route. That
//! says nothing about the peer: it is retried within the time that connecting may take.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::io::Errno;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

/// Wait before the first retry after an error of this machine. It doubles with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Longest wait between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(16);

/// Why no connection was established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFailure {
    /// The peer refused, its network answered for it, or there was no route to it all the time.
    #[error(transparent)]
    Unreachable(io::Error),
    /// No answer came in time.
    #[error("no connection in time")]
    TimedOut,
    /// This machine had no port, descriptor or buffer all the time: nothing has been sent.
    #[error("not tried, for want of resources of this machine: {0}")]
    LocalResources(io::Error),
}

impl ConnectFailure {
    /// The error of the system.
    pub fn into_io(self) -> io::Error {
        match self {
            Self::Unreachable(error) | Self::LocalResources(error) => error,
            Self::TimedOut => io::ErrorKind::TimedOut.into(),
        }
    }
}

/// Where an error of connect(2) or socket(2) comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ErrorOrigin {
    /// The peer or the network on the way.
    Remote,
    /// This machine's resources.
    Resources,
    /// This machine's routes and interfaces; where it lasts, perhaps only those to this peer.
    Route,
}

impl ErrorOrigin {
    fn classify(error: &io::Error) -> Self {
        match Errno::from_io_error(error) {
            Some(
                Errno::ADDRNOTAVAIL
                | Errno::ADDRINUSE
                | Errno::AGAIN
                | Errno::INTR
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM,
            ) => Self::Resources,
            Some(Errno::NETUNREACH | Errno::NETDOWN | Errno::ACCESS | Errno::PERM) => Self::Route,
            _ => Self::Remote,
        }
    }
}

/// Connects, and retries until `deadline` as long as it is this machine that fails.
///
/// # Errors
///
/// Says whose failure it was, and what the system said.
pub async fn connect(address: SocketAddr, deadline: Instant) -> Result<TcpStream, ConnectFailure> {
    let mut delay = INITIAL_RETRY_DELAY;
    loop {
        let error = match timeout_at(deadline, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) => error,
            Err(_) => return Err(ConnectFailure::TimedOut),
        };
        let origin = ErrorOrigin::classify(&error);
        let retries = origin != ErrorOrigin::Remote && Instant::now() + delay < deadline;
        if !retries {
            return Err(match origin {
                ErrorOrigin::Resources => ConnectFailure::LocalResources(error),
                ErrorOrigin::Remote | ErrorOrigin::Route => ConnectFailure::Unreachable(error),
            });
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}
