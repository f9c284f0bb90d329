//! Addresses of the other gateways.

use std::net::SocketAddr;

use serde::Deserialize;

/// Addresses of the gateways of a tier, as they reach each other.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(expecting = "struct Peers")]
pub struct PeerAddresses {
    /// Where this gateway receives.
    #[serde(rename = "peer_listen")]
    pub listen: SocketAddr,
    /// Address of each gateway, by its index.
    #[serde(rename = "peers", default)]
    pub by_index: Vec<SocketAddr>,
    /// One address that stands for all of them.
    #[serde(rename = "peers_all")]
    pub shared: Option<SocketAddr>,
    /// Index of this gateway.
    #[serde(skip)]
    pub own_index: u32,
}

impl PeerAddresses {
    /// The addresses of all gateways but this one.
    pub fn other_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let own_index = self.own_index as usize;
        let others = self.by_index.iter().enumerate().filter(move |&(index, _)| index != own_index);
        others.map(|(_, &address)| address)
    }
}
