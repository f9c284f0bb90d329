//! A member and its generation.

use std::net::SocketAddr;

use foca::Identity;
use serde::{Deserialize, Serialize};

/// One life of a gateway: a restart at the same address is a later one, and what is said of the earlier no
/// longer counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Where it hears.
    pub address: SocketAddr,
    /// Its life: Unix milliseconds of its start, or more where others knew a later one.
    pub incarnation: u64,
    /// It leaves on purpose, and is not to be missed.
    pub leaving: bool,
}

impl Identity for Member {
    type Addr = SocketAddr;

    /// Declared dead while alive: it comes back as the next one.
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
