//! A stand-in for the network between clients and a balancer: it passes bytes until it is told otherwise.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::ScenarioError;

/// What the network does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NetworkState {
    /// Passes everything.
    Forward,
    /// Passes nothing and says nothing: connections stay open and silent.
    Blackhole,
    /// Cuts every connection, and every new one as soon as it is made.
    Reset,
}

/// A relay.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    weather: watch::Sender<NetworkState>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Listens on a free port and passes to `target`.
    ///
    /// # Errors
    ///
    /// Fails where the system has no port for it.
    pub async fn start(target: SocketAddr) -> Result<Self, ScenarioError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, weather) = (listener.local_addr()?, watch::Sender::new(NetworkState::Forward));
        let (seen, mut tasks) = (weather.subscribe(), JoinSet::new());
        tasks.spawn(async move {
            let mut passing = JoinSet::new();
            loop {
                let Ok((client, _)) = listener.accept().await else {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                };
                while passing.try_join_next().is_some() {}
                passing.spawn(pass(client, target, seen.clone()));
            }
        });
        Ok(Self { address, weather, _tasks: tasks })
    }

    /// Changes the weather, for standing connections as well.
    pub fn set_state(&self, weather: NetworkState) {
        self.weather.send_replace(weather);
    }
}

async fn pass(mut client: TcpStream, target: SocketAddr, mut weather: watch::Receiver<NetworkState>) {
    let Ok(mut server) = TcpStream::connect(target).await else { return };
    loop {
        let now = *weather.borrow_and_update();
        match now {
            NetworkState::Forward => tokio::select! {
                // What is under way in it is lost with the weather, as on a network.
                _ = copy_bidirectional(&mut client, &mut server) => return,
                _ = weather.changed() => {}
            },
            NetworkState::Blackhole => {
                if weather.changed().await.is_err() {
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
