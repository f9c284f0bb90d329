//! The slots of all gateways that may be there.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ashtide_fleet::state::Slot;

use super::super::settings_keys::InvalidKey;

/// Gateways that a list may name.
pub const MAX_GATEWAYS: usize = 8192;

/// All gateways that may be there, by slot: the same order at all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySlots {
    gateways: Vec<SocketAddr>,
    slot_by_address: BTreeMap<SocketAddr, Slot>,
    own: Slot,
}

impl GatewaySlots {
    /// The slots of this list, one of which is that of the gateway at `own`.
    ///
    /// # Errors
    ///
    /// Fails where the list is too long, names a gateway twice, or does not name `own`.
    pub fn new(gateways: Vec<SocketAddr>, own: SocketAddr) -> Result<Self, InvalidKey> {
        let key = "state.gateways";
        if gateways.len() > MAX_GATEWAYS {
            let found = format_args!("{} addresses", gateways.len());
            return Err(InvalidKey::new(key, found, format_args!("at most {MAX_GATEWAYS}")));
        }
        let mut slot_by_address = BTreeMap::new();
        for (number, &gateway) in gateways.iter().enumerate() {
            // At most MAX_GATEWAYS, so it fits.
            if slot_by_address.insert(gateway, Slot(number as u16)).is_some() {
                return Err(InvalidKey::new(key, format_args!("{gateway} twice"), "each gateway once"));
            }
        }
        let expected = "a list that names this gateway, or 'peers' in the configuration that do";
        let own = slot_by_address
            .get(&own)
            .copied()
            .ok_or_else(|| InvalidKey::new(key, format_args!("no {own}"), expected))?;
        Ok(Self { gateways, slot_by_address, own })
    }

    /// Number of slots.
    pub fn len(&self) -> u16 {
        self.gateways.len() as u16
    }

    /// Always false: the list names this gateway.
    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }

    /// The slot of this gateway.
    pub fn own(&self) -> Slot {
        self.own
    }

    /// The slot of the gateway at `address`.
    pub fn slot_of(&self, address: SocketAddr) -> Option<Slot> {
        self.slot_by_address.get(&address).copied()
    }

    /// The address of the gateway that has `slot`.
    pub fn address_of(&self, slot: Slot) -> Option<SocketAddr> {
        self.gateways.get(usize::from(slot.0)).copied()
    }
}
