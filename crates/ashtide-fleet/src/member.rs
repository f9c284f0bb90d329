//! The identity of a member: its address and incarnation.

use std::net::SocketAddr;

use foca::Identity;
use serde::{Deserialize, Serialize};

/// One incarnation of a gateway. A restart at the same address is a later incarnation and supersedes all
/// information about earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
    /// The start time of the process in Unix milliseconds, or a higher value if other members had recorded a
    /// later incarnation.
    pub incarnation: u64,
    /// Whether the member is leaving deliberately, so that its absence is not a failure.
    pub leaving: bool,
}

impl Identity for Member {
    type Addr = SocketAddr;

    /// Returns the next incarnation, under which a member rejoins after it was declared dead while running.
    fn renew(&self) -> Option<Self> {
        Some(Self { incarnation: self.incarnation.saturating_add(1), leaving: false, ..*self })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.leaving) > (other.incarnation, other.leaving)
    }
}
