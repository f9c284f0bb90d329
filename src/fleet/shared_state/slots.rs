//! Slots of all configured gateways.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ashtide_fleet::state::Slot;

use super::super::settings_keys::InvalidKey;

/// Maximum number of gateways in the list.
pub const MAX_GATEWAYS: usize = 8192;

/// All configured gateways by slot. All gateways must have the same order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySlots {
    gateways: Vec<SocketAddr>,
    slot_by_address: BTreeMap<SocketAddr, Slot>,
    own: Slot,
}

impl GatewaySlots {
    /// Assigns a slot to each gateway of the list. `own` is the address of this gateway.
    ///
    /// # Errors
    ///
    /// Fails if the list is too long, has a gateway twice, or lacks `own`.
    pub fn new(gateways: Vec<SocketAddr>, own: SocketAddr) -> Result<Self, InvalidKey> {
        let key = "state.gateways";
        if gateways.len() > MAX_GATEWAYS {
            let found = format_args!("{} addresses", gateways.len());
            return Err(InvalidKey::new(key, found, format_args!("at most {MAX_GATEWAYS}")));
        }
        let mut slot_by_address = BTreeMap::new();
        for (index, &gateway) in gateways.iter().enumerate() {
            // The list has at most MAX_GATEWAYS entries, so the index fits into a u16.
            if slot_by_address.insert(gateway, Slot(index as u16)).is_some() {
                return Err(InvalidKey::new(key, format_args!("{gateway} twice"), "each gateway once"));
            }
        }
        let expected = "a list with this gateway's public address, here or in 'peers' of the configuration";
        let own = slot_by_address
            .get(&own)
            .copied()
            .ok_or_else(|| InvalidKey::new(key, format_args!("no {own}"), expected))?;
        Ok(Self { gateways, slot_by_address, own })
    }

    /// Returns the number of slots.
    pub fn len(&self) -> u16 {
        self.gateways.len() as u16
    }

    /// Returns false, as the list has at least this gateway.
    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }

    /// Returns the slot of this gateway.
    pub fn own(&self) -> Slot {
        self.own
    }

    /// Returns the slot of the gateway at `address`, if the list has it.
    pub fn slot_of(&self, address: SocketAddr) -> Option<Slot> {
        self.slot_by_address.get(&address).copied()
    }

    /// Returns the address of the gateway that has `slot`, if there is one.
    pub fn address_of(&self, slot: Slot) -> Option<SocketAddr> {
        self.gateways.get(usize::from(slot.0)).copied()
    }
}
