//! Accepts clients of the lines front.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;

use super::core::Handle;
use super::lobby::Lobby;
use super::log::Limited;
use super::session::{Front, Times};

/// Connections that wait to be accepted: all clients of a restart at once.
const BACKLOG: u32 = 1024;
/// After an accept that failed (no descriptor left, say), the next one waits a little.
const AFTER_FAILURE: Duration = Duration::from_millis(20);
/// Clients accepted in a row before those accepted get their turn: a burst must not keep the others
/// and the core waiting, nor displace a client that has not had the chance to be heard.
const IN_A_ROW: usize = 8;

static TROUBLE: Limited = Limited::new("clients");

/// Binds the address on which clients come.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A balancer comes back at once on the address of its predecessor.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Adopts a listener that the process has inherited under this number. Only a copy of the descriptor
/// is held, and it is never shut down: the queue behind it belongs to other processes as well.
///
/// # Errors
///
/// Fails where there is no such descriptor or it does not listen.
pub fn adopt(number: i32) -> io::Result<TcpListener> {
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

/// Accepts for as long as `accepting` says, whoever comes; the lobby decides who may stay. What is not
/// accepted waits in the listener's queue for whoever shares it.
pub async fn serve(
    listener: TcpListener,
    lobby: Lobby,
    times: Times,
    mut accepting: watch::Receiver<bool>,
    core: Handle,
) {
    let front = Front::new(lobby, times, core);
    let mut row = 0;
    loop {
        if accepting.wait_for(|&accepting| accepting).await.is_err() {
            return;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Ok(()) = accepting.changed() => continue,
        };
        match accepted {
            Ok((client, _)) => {
                let (place, crowded) = front.lobby.enter();
                tokio::spawn(front.clone().meet(client, place));
                row += 1;
                if crowded || row >= IN_A_ROW {
                    row = 0;
                    tokio::task::yield_now().await;
                }
            }
            Err(error) => {
                TROUBLE.say(format_args!("accept failed: {error}"));
                tokio::time::sleep(AFTER_FAILURE).await;
            }
        }
    }
}
