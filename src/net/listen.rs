//! Accepts clients of the lines front.

use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};

use super::core::Handle;
use super::lobby::Lobby;
use super::log::Limited;
use super::session::{Front, Times};
use crate::config::Room;

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
pub fn bind(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A balancer comes back at once on the address of its predecessor.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts for ever, whoever comes; the room decides who may stay.
pub async fn serve(listener: TcpListener, room: Room, times: Times, core: Handle) {
    let front = Front::new(Lobby::new(room), times, core);
    let mut row = 0;
    loop {
        match listener.accept().await {
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
