//! Accepts clients of the lines front.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Semaphore;

use super::core::Handle;
use super::session;

/// Connections that wait to be accepted: all clients of a restart at once.
const BACKLOG: u32 = 1024;
/// After an accept that failed (no descriptor left, say), the next one waits a little.
const AFTER_FAILURE: Duration = Duration::from_millis(20);
/// Clients above the limit that may be told so at the same time.
const TURNED_AWAY: usize = 32;

/// Binds the address on which clients come.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub fn bind(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A balancer comes back at once on the address of its predecessor.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts for ever; at most `sessions` clients are served at once, the others turned away.
pub async fn serve(listener: TcpListener, sessions: usize, times: session::Times, core: Handle) {
    let free = Arc::new(Semaphore::new(sessions));
    let spare = Arc::new(Semaphore::new(TURNED_AWAY));
    loop {
        match listener.accept().await {
            Ok((client, _)) => {
                if let Ok(permit) = free.clone().try_acquire_owned() {
                    let core = core.clone();
                    tokio::spawn(async move {
                        session::serve(client, times, core).await;
                        drop(permit);
                    });
                } else if let Ok(permit) = spare.clone().try_acquire_owned() {
                    tokio::spawn(async move {
                        session::turn_away(client).await;
                        drop(permit);
                    });
                } else {
                    eprintln!("clients: over the limit of {sessions}, one dropped");
                }
            }
            Err(error) => {
                eprintln!("clients: accept failed: {error}");
                tokio::time::sleep(AFTER_FAILURE).await;
            }
        }
    }
}
