//! TCP connects that distinguish local errors from errors of the network and of the peer.
//!
//! connect(2) and socket(2) fail temporarily while this machine lacks a port, a descriptor, a buffer or a
//! route. Such an error is no evidence against the peer, so the connect is retried until its deadline.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::io::Errno;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

/// Delay before the first retry after a local error. It doubles with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Maximum delay between two connects.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(16);

/// Reason that no connection was established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFailure {
    /// The peer refused the connection, the network reported it as unreachable, or there was no route to it
    /// until the deadline.
    #[error(transparent)]
    Unreachable(io::Error),
    /// The peer did not answer before the deadline.
    #[error("connection not established before the deadline")]
    TimedOut,
    /// This machine had no port, descriptor or buffer until the deadline. Nothing was sent.
    #[error("not attempted, because this machine lacks resources: {0}")]
    LocalResources(io::Error),
}

impl ConnectFailure {
    /// Converts the failure to an [`io::Error`].
    pub fn into_io(self) -> io::Error {
        match self {
            Self::Unreachable(error) | Self::LocalResources(error) => error,
            Self::TimedOut => io::ErrorKind::TimedOut.into(),
        }
    }
}

/// Origin of an error of connect(2) or socket(2).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ErrorOrigin {
    /// The peer, or the network on the path to it.
    Remote,
    /// A shortage of local resources.
    Resources,
    /// The local routes or interfaces. A persistent error may affect only the route to this peer.
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

/// Connects to a peer, and retries until `deadline` after local errors.
///
/// # Errors
///
/// Returns the origin of the failure and the error of the system.
pub async fn connect(address: SocketAddr, deadline: Instant) -> Result<TcpStream, ConnectFailure> {
    let mut delay = INITIAL_RETRY_DELAY;
    loop {
        let error = match timeout_at(deadline, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) => error,
            Err(_) => return Err(ConnectFailure::TimedOut),
        };
        let origin = ErrorOrigin::classify(&error);
        let can_retry = origin != ErrorOrigin::Remote && Instant::now() + delay < deadline;
        if !can_retry {
            return Err(match origin {
                ErrorOrigin::Resources => ConnectFailure::LocalResources(error),
                ErrorOrigin::Remote | ErrorOrigin::Route => ConnectFailure::Unreachable(error),
            });
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}
