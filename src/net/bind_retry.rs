//! Sockets that this process listens on: TCP listeners, bound or inherited, and UDP sockets that are bound as
//! soon as their address is free.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, Resource, getpid, getrlimit, pidfd_getfd, pidfd_open};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::time::sleep;
use tracing::info;

/// Length of the accept queue. All clients may connect at the same time after a restart.
const LISTEN_BACKLOG: u32 = 1024;

/// Binds a TCP listener to an address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A restarted process binds the same address while connections of its predecessor are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Returns the number of descriptors that the system allows this process to open.
///
/// If it is lower than the configured limit, it determines the capacity for clients. Otherwise clients would
/// exhaust the descriptors that the rest of the process needs.
pub fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(usize::MAX)
}

/// Delay between two attempts to bind a UDP address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds a UDP socket; returns `None` if another process uses the address, as a sibling does during an
/// upgrade.
///
/// # Errors
///
/// Returns an error if the address cannot be bound for any other reason.
pub async fn bind_udp_if_free(address: SocketAddr) -> io::Result<Option<UdpSocket>> {
    match UdpSocket::bind(address).await {
        Ok(socket) => Ok(Some(socket)),
        Err(error) if error.kind() == io::ErrorKind::AddrInUse => Ok(None),
        Err(error) => Err(error),
    }
}

/// Binds a UDP socket as soon as its address is free. During an upgrade, a sibling may still use the address.
///
/// The first failure is logged for `subsystem`.
pub async fn bind_udp_with_retry(subsystem: &str, address: SocketAddr) -> UdpSocket {
    let mut attempts = 0_u64;
    loop {
        let error = match UdpSocket::bind(address).await {
            Ok(socket) => break socket,
            Err(error) => error,
        };
        if attempts == 0 {
            info!("{subsystem}: cannot bind {address}: {error}; retrying until the address is free");
        }
        attempts += 1;
        sleep(BIND_RETRY_DELAY).await;
    }
}

/// Adopts a listener that the process has inherited as descriptor `number`.
///
/// The returned listener uses a duplicate of the descriptor and is never shut down, because other processes
/// share its accept queue.
///
/// # Errors
///
/// Returns an error if there is no such descriptor or it is not a listening socket.
pub fn adopt_listener(number: i32) -> io::Result<TcpListener> {
    let own_process = pidfd_open(getpid(), PidfdFlags::empty())?;
    // pidfd_getfd(2) sets the close-on-exec flag on the duplicate.
    let duplicate = pidfd_getfd(own_process, number, PidfdGetfdFlags::empty())?;
    if !socket_acceptconn(&duplicate)? {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "descriptor is not a listening socket"));
    }
    let listener = std::net::TcpListener::from(duplicate);
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
