//! Addresses of the gateways of a fleet.

use std::net::SocketAddr;

use serde::Deserialize;

/// Addresses at which the gateways of a fleet receive messages from each other.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(expecting = "struct Peers")]
pub struct PeerAddresses {
    /// Address on which this gateway receives messages.
    #[serde(rename = "peer_listen")]
    pub listen: SocketAddr,
    /// Address of each gateway, in the order of the gateways' indices.
    #[serde(rename = "peers", default)]
    pub by_index: Vec<SocketAddr>,
    /// Single address that represents all gateways; `None` if there is none.
    #[serde(rename = "peers_all")]
    pub shared: Option<SocketAddr>,
    /// Index of this gateway in `by_index`.
    #[serde(skip)]
    pub own_index: u32,
}

impl PeerAddresses {
    /// Returns the addresses of all gateways except this one.
    pub fn other_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let own_index = self.own_index as usize;
        let others = self.by_index.iter().enumerate().filter(move |&(index, _)| index != own_index);
        others.map(|(_, &address)| address)
    }
}
