//! A member and its incarnation.

use std::net::SocketAddr;

use foca::Identity;
use serde::{Deserialize, Serialize};

/// One incarnation of a gateway: a restart at the same address is a later one, and what is known of the earlier no
/// longer counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Unix milliseconds of its start, or more where others knew a later incarnation.
    pub incarnation: u64,
    /// Whether it leaves on purpose, and is not to be missed.
    pub leaving: bool,
}

impl Identity for Member {
    type Addr = SocketAddr;

    /// Declared dead while alive: it rejoins as the next one.
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
