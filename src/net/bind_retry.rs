//! Listeners for clients, bound or inherited, and sockets for datagrams that are bound as soon as their address is free.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, Resource, getpid, getrlimit, pidfd_getfd, pidfd_open};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::time::sleep;
use tracing::info;

/// Connections that may wait to be accepted: all clients may come at once after a restart.
const LISTEN_BACKLOG: u32 = 1024;

/// Binds the address on which clients come.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A balancer comes back at once on the address of its predecessor.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// How many descriptors the system lets this process have. The capacity for clients follows from this where it is lower
/// than the configured limit, or the rest of the process would find none.
pub fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.and_then(|most| usize::try_from(most).ok()).unwrap_or(usize::MAX)
}

/// Wait between two attempts to bind an address for datagrams.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Binds an address for datagrams as soon as it is free: another process of this gateway may still have it, as in an
/// upgrade. The first failure is logged for this subsystem.
pub async fn bind_udp_with_retry(subsystem: &str, address: SocketAddr) -> UdpSocket {
    let mut attempts = 0_u64;
    loop {
        let error = match UdpSocket::bind(address).await {
            Ok(socket) => break socket,
            Err(error) => error,
        };
        if attempts == 0 {
            info!("{subsystem}: {address}: {error}; retrying until the address is free");
        }
        attempts += 1;
        sleep(BIND_RETRY_DELAY).await;
    }
}

/// Adopts a listener that the process has inherited under this descriptor number. Only a copy of the descriptor is held,
/// and it is never shut down: its queue belongs to other processes as well.
///
/// # Errors
///
/// Fails where there is no such descriptor or it does not listen.
pub fn adopt_listener(number: i32) -> io::Result<TcpListener> {
    let own = pidfd_open(getpid(), PidfdFlags::empty())?;
    // Closed on exec, as every descriptor got this way is.
    let copy = pidfd_getfd(own, number, PidfdGetfdFlags::empty())?;
    if !socket_acceptconn(&copy)? {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "does not listen"));
    }
    let listener = std::net::TcpListener::from(copy);
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
