//! TCP relay between clients and a gateway, with network faults that a test switches on and off.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::ScenarioError;

/// Pause after a failed accept, so that a lasting failure doesn't busy-loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Behaviour of the relayed network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NetworkState {
    /// All bytes are forwarded.
    Forward,
    /// No bytes are forwarded, and connections stay open.
    Blackhole,
    /// Established connections are reset, and so is each new one once it is made.
    Reset,
}

/// Running relay. It stops when this is dropped.
pub struct Relay {
    /// Address at which the relay listens.
    pub address: SocketAddr,
    state: watch::Sender<NetworkState>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Listens on a free port and forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self, ScenarioError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, state) = (listener.local_addr()?, watch::Sender::new(NetworkState::Forward));
        let (state_receiver, mut tasks) = (state.subscribe(), JoinSet::new());
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                let Ok((client, _)) = listener.accept().await else {
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                while connections.try_join_next().is_some() {}
                connections.spawn(relay_connection(client, target, state_receiver.clone()));
            }
        });
        Ok(Self { address, state, _tasks: tasks })
    }

    /// Changes the network state, also for established connections.
    pub fn set_state(&self, state: NetworkState) {
        self.state.send_replace(state);
    }
}

async fn relay_connection(
    mut client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<NetworkState>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else { return };
    loop {
        let current = *state.borrow_and_update();
        match current {
            NetworkState::Forward => tokio::select! {
                // Bytes in the relay's buffers are lost when the state changes, as in a real network.
                _ = copy_bidirectional(&mut client, &mut server) => return,
                _ = state.changed() => {}
            },
            NetworkState::Blackhole => {
                if state.changed().await.is_err() {
                    return;
                }
            }
            NetworkState::Reset => {
                let _ = client.set_zero_linger();
                let _ = server.set_zero_linger();
                return;
            }
        }
    }
}
